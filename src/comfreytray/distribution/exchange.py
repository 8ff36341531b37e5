"""Messages by which nodes exchange configuration versions."""

from attrs import frozen

from comfreytray.common.interfaces import Address
from comfreytray.configuration.content import Head
from comfreytray.distribution.deltas import Delta
from comfreytray.transport import wire


@wire.message(21)
@frozen(kw_only=True)
class Digest:
    """Say which version the sender holds whole."""

    head: Head | None
    answer: bool = False
    """Sent in answer, so not to be answered again."""
    root: bool = False
    """Asks the receiver to pass the version on to its whole region."""


@wire.message(22)
@frozen(kw_only=True)
class Push:
    """Carry a new version as the difference from its parent."""

    head: Head
    root: bool
    """Asks the receiver to pass the version on to its whole region."""
    deltas: tuple[Delta, ...]


@wire.message(23)
@frozen(kw_only=True)
class Pull:
    """Ask a holder for blobs of a version."""

    head: Head
    have: Head | None
    """The version that the asker holds whole, as a base for differences."""
    digests: tuple[bytes, ...]
    """Blobs to send; none for all that `have` lacks."""


@wire.message(24)
@frozen(kw_only=True)
class Blobs:
    """Answer a pull with as many blobs as one answer may hold."""

    head: Head
    deltas: tuple[Delta, ...]


@wire.message(25)
@frozen(kw_only=True)
class Unserved:
    """Answer a pull that is not served."""

    head: Head
    held: bool
    retry_after_ms: int
    others: tuple[Address, ...]
    """Nodes that were served of late, so hold some of the blobs or all."""
