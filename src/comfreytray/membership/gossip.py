"""Messages between members."""

from attrs import frozen

from comfreytray.transport.wire import message


@message(1)
@frozen(kw_only=True)
class Ping:
    """Ask a member whether it lives."""

    sequence: int
    sender_id: str
    target_id: str
    target_claim: bytes
    """What the sender holds against the target, or nothing."""
    updates: tuple[bytes, ...]


@message(2)
@frozen(kw_only=True)
class Ack:
    """Answer a ping, straight or through a helper."""

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
    """Tell the sender of a ping request that the member did not answer the helper."""

    sequence: int
    sender_id: str


@message(5)
@frozen(kw_only=True)
class Gossip:
    """Spread updates."""

    sender_id: str
    updates: tuple[bytes, ...]


@message(6)
@frozen(kw_only=True)
class Digest:
    """Offer to compare tables of members by the hashes of their buckets."""

    sender_id: str
    record: bytes
    count: int
    """Members that the sender knows, itself included."""
    hashes: bytes


@message(7)
@frozen(kw_only=True)
class Summary:
    """List what is held in some buckets: id, incarnation, state rank and revision."""

    sender_id: str
    buckets: tuple[int, ...]
    entries: tuple[tuple[str, int, int, int], ...]


@message(8)
@frozen(kw_only=True)
class Delta:
    """Send records that the other side lacks, and name those that are wanted."""

    sender_id: str
    records: tuple[bytes, ...]
    wanted: tuple[str, ...]
