"""Nodes of a YAML text with their positions."""

from attrs import field, frozen

from comfreytray.configuration.languages import normalise
from comfreytray.configuration.rejections import Cause

MAX_TEXT_BYTES = 64 * 1024
MAX_DEPTH = 8
MAX_NODES = 20_000  # counted as events of the parser


@frozen(kw_only=True)
class Mark:
    """A position in a text; line and column count from 1."""

    line: int = 1
    column: int = 1


@frozen(kw_only=True)
class Problem:
    """Why a text is refused, and where; `fields` fill the text of the cause."""

    cause: Cause
    mark: Mark = Mark()
    fields: dict[str, str] = field(factory=dict)


@frozen(kw_only=True)
class Scalar:
    """A single value, with its range in the text."""

    value: str
    mark: Mark
    start: int
    """Index of the first character."""
    end: int
    """Index after the last character."""
    quoted: bool
    """In quotes or a block, where the text differs from the value."""
    block: bool
    """Written as a block scalar (`|` or `>`)."""
    in_flow: bool
    """Inside a flow collection (`[…]` or `{…}`)."""


@frozen(kw_only=True)
class Sequence:
    """A list of nodes."""

    items: tuple["Node", ...]
    mark: Mark


@frozen(kw_only=True)
class Mapping:
    """Keys with their values, in the order of the text."""

    entries: tuple[tuple[Scalar, "Node"], ...]
    mark: Mark


Node = Scalar | Sequence | Mapping


def normalise_text(text: str) -> str:
    """Return a text in NFC, with LF line ends and without a byte order mark."""
    return normalise(text.removeprefix("\ufeff").replace("\r\n", "\n"))
