"""Messages with which nodes exchange configuration versions."""

from attrs import frozen

from comfreytray.common.interfaces import Address
from comfreytray.configuration.content import Head
from comfreytray.distribution.deltas import Delta
from comfreytray.transport import wire


@wire.message(21)
@frozen(kw_only=True)
class Digest:
    """Tell which complete version the sender holds."""

    head: Head | None
    answer: bool = False
    """Whether this is an answer, which must not be answered in turn."""
    root: bool = False
    """Whether the receiver is asked to forward the version to its whole region."""


@wire.message(22)
@frozen(kw_only=True)
class Push:
    """Carry a new version as the difference from its parent."""

    head: Head
    root: bool
    """Whether the receiver is asked to forward the version to its whole region."""
    deltas: tuple[Delta, ...]


@wire.message(23)
@frozen(kw_only=True)
class Pull:
    """Request blobs of a version from a node that may hold them."""

    head: Head
    have: Head | None
    """The complete version that the sender holds, as a base for deltas."""
    digests: tuple[bytes, ...]
    """Blobs to send; if empty, all that `have` lacks."""


@wire.message(24)
@frozen(kw_only=True)
class Blobs:
    """Answer a pull with as many blobs as fit into one answer."""

    head: Head
    deltas: tuple[Delta, ...]


@wire.message(25)
@frozen(kw_only=True)
class Unserved:
    """Decline a pull."""

    head: Head
    held: bool
    """True if the sender is only busy, false if it holds none of the blobs."""
    retry_after_ms: int
    others: tuple[Address, ...]
    """Nodes that blobs were sent to lately, so that probably hold some."""
