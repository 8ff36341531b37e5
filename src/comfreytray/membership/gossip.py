"""Messages between members; each is sent as an array in the order of its fields."""

from attrs import frozen

from comfreytray.transport.wire import message


@message(1)
@frozen(kw_only=True)
class Ping:
    """Ask a member to answer with an ack."""

    sequence: int
    sender_id: str
    target_id: str
    target_claim: bytes
    """Claim that the target is suspect, leaving, dead or left; empty if it is alive."""
    updates: tuple[bytes, ...]


@message(2)
@frozen(kw_only=True)
class Ack:
    """Answer a ping, directly or through a helper."""

    sequence: int
    sender_id: str
    """Member that was pinged."""
    updates: tuple[bytes, ...]


@message(3)
@frozen(kw_only=True)
class PingRequest:
    """Ask a helper to ping a member that did not answer."""

    sequence: int
    sender_id: str
    target_id: str
    host: str
    port: int


@message(4)
@frozen(kw_only=True)
class Nack:
    """Report to the sender of a ping request that the member did not answer."""

    sequence: int
    sender_id: str


@message(5)
@frozen(kw_only=True)
class Gossip:
    """Send updates that no other message carries."""

    sender_id: str
    updates: tuple[bytes, ...]


@message(6)
@frozen(kw_only=True)
class Digest:
    """Offer to compare tables of members by the hashes of their buckets."""

    sender_id: str
    record: bytes
    count: int
    """Members that the sender knows, including itself."""
    hashes: bytes
    """Concatenated hashes of the buckets."""


@message(7)
@frozen(kw_only=True)
class Summary:
    """List the members in some buckets: id, incarnation, state rank and revision."""

    sender_id: str
    buckets: tuple[int, ...]
    entries: tuple[tuple[str, int, int, int], ...]


@message(8)
@frozen(kw_only=True)
class Delta:
    """Send records that the receiver lacks, and the ids of records to be sent back."""

    sender_id: str
    records: tuple[bytes, ...]
    wanted: tuple[str, ...]
