"""Nodes of a YAML text that know where they stand in it."""

from attrs import field, frozen

from comfreytray.configuration.languages import normalise
from comfreytray.configuration.rejections import Cause

MAX_TEXT_BYTES = 64 * 1024
MAX_DEPTH = 8
MAX_NODES = 20_000


@frozen(kw_only=True)
class Mark:
    """Stand for a place in a text, counted from one."""

    line: int = 1
    column: int = 1


@frozen(kw_only=True)
class Problem:
    """Say why a text can't be read, as a cause of the catalogues."""

    cause: Cause
    mark: Mark = Mark()
    fields: dict[str, str] = field(factory=dict)


@frozen(kw_only=True)
class Scalar:
    """Hold a value and the part of the text that spells it."""

    value: str
    mark: Mark
    start: int
    end: int
    quoted: bool
    """In quotes, or in a block: the text isn't the value as it stands."""
    block: bool
    in_flow: bool


@frozen(kw_only=True)
class Sequence:
    """Hold a list."""

    items: tuple["Node", ...]
    mark: Mark


@frozen(kw_only=True)
class Mapping:
    """Hold keys with their values, in the order of the text."""

    entries: tuple[tuple[Scalar, "Node"], ...]
    mark: Mark


Node = Scalar | Sequence | Mapping


def normalise_text(text: str) -> str:
    """Bring a text to composed Unicode, plain line ends and no byte order mark."""
    return normalise(text.removeprefix("\ufeff").replace("\r\n", "\n"))
