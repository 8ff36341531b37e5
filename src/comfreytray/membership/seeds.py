"""Seeds: addresses through which nodes join, from the store and the settings."""

import json
import random
from collections.abc import Iterable
from hashlib import blake2b

from attrs import define, frozen

from comfreytray.common import logs, outerjson
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address, Clock, ObjectStore, StoredObject
from comfreytray.common.records import MembershipView, NodeRecord, NodeState

KEY_PREFIX = "seeds/"
SEEDS_PER_DATA_CENTRE = 3
RENEW_INTERVAL_S = 60.0
REWRITE_AGE_S = 40.0
"""Age up to which a node does not rewrite its own entry."""
EXPIRY_S = 240.0
"""Age at which an entry is dropped."""
UNKNOWN_EXPIRY_S = 90.0
"""Age at which the entry of a node that is not known as alive is dropped."""
FIRST_WRITE_JITTER_S = 2.0
"""Longest random wait before a lone node writes its own entry."""
JOIN_WAIT_S = 3.0
"""Time for newly found seeds to answer."""
RETRY_MIN_S = 0.5
"""Back-off after the first failed store call; it doubles up to RETRY_MAX_S."""
RETRY_MAX_S = 30.0
MAX_SEED_BYTES = 16_384


@frozen(kw_only=True)
class Seed:
    """Entry of a seed list: a member through which other nodes may join."""

    node_id: str
    address: Address
    renewed_at_s: float
    """Seconds since the epoch, by the wall clock of the writer."""


def parse_addresses(text: str) -> tuple[Address, ...] | Failure:
    """Parse a comma-separated list of IP addresses with ports."""
    addresses: list[Address] = []
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        host, _, port = part.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= 65_535:
            return Failure(kind=Kind.INVALID_SETTING, detail=f"peer {part!r}")
        addresses.append((host.strip("[]"), int(port)))
    return tuple(addresses)


def encode_seeds(seeds: Iterable[Seed]) -> bytes:
    """Encode a list of seeds as JSON."""
    rows = [
        {
            "node_id": seed.node_id,
            "address": f"{seed.address[0]}:{seed.address[1]}",
            "renewed_at_s": round(seed.renewed_at_s, 1),
        }
        for seed in seeds
    ]
    return json.dumps({"seeds": rows}).encode()


def decode_seeds(data: bytes) -> tuple[Seed, ...]:
    """Decode a list of seeds, skipping malformed entries."""
    try:
        rows = outerjson.loads(data[:MAX_SEED_BYTES])["seeds"]
        return tuple(seed for row in rows if (seed := _decode_seed(row)) is not None)
    except (ValueError, KeyError, TypeError, OverflowError):
        return ()


def _decode_seed(row: object) -> Seed | None:
    if not isinstance(row, dict):
        return None
    addresses = parse_addresses(str(row.get("address", "")))
    renewed = row.get("renewed_at_s")
    if isinstance(addresses, Failure) or len(addresses) != 1:
        return None
    if not isinstance(renewed, int | float):
        return None
    return Seed(
        node_id=str(row.get("node_id")),
        address=addresses[0],
        renewed_at_s=float(renewed),
    )


def _weight(data_centre: str, node_id: str) -> bytes:
    return blake2b(f"{data_centre}|{node_id}".encode(), digest_size=8).digest()


@define(kw_only=True)
class Seeds:
    """Find seeds for this node, and list it as a seed for other nodes.

    The list of a data centre is written by its members with the highest rendezvous
    weights, once per renewal interval each, and by a node that reached no live member.
    Each write is conditional on the version that was read.
    """

    store: ObjectStore
    clock: Clock
    random: random.Random
    me: NodeRecord
    peers: tuple[Address, ...] = ()
    """Addresses from the settings."""
    _found: tuple[Address, ...] = ()
    _own_list: StoredObject | None = None
    """The list of this data centre as last read."""
    _asked: frozenset[Address] = frozenset()
    _has_waited: bool = False
    _due_at: float = 0.0
    _interval_s: float = JOIN_WAIT_S
    _retry_s: float = RETRY_MIN_S
    _store_down: bool = False

    @property
    def key(self) -> str:
        """Return the key of the object that lists the seeds of this data centre."""
        return KEY_PREFIX + self.me.data_centre

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all known seeds, those from the store first."""
        unique = dict.fromkeys((*self._found, *self.peers))
        unique.pop(self.me.control_address, None)
        return tuple(unique)

    def tick(self, view: MembershipView) -> bool:
        """Read and write the lists if that is due; may block.

        Returns whether `Membership.start` should be called with `addresses`.
        """
        now = self.clock.monotonic()
        if now < self._due_at:
            return False
        alone = len(view.by_id) <= 1
        if not alone and not self._is_elected(view):
            self._schedule_next()
            return False
        if not self._read_lists():
            return bool(self.peers)
        if alone and not self._may_start_alone():
            return True
        self._schedule_next()
        self._write(view, alone)
        return True

    def _schedule_next(self) -> None:
        """Schedule the next read, with waits that grow up to the renewal interval."""
        wait = self._interval_s * self.random.uniform(0.8, 1.2)
        self._due_at = self.clock.monotonic() + wait
        self._interval_s = min(RENEW_INTERVAL_S, self._interval_s * 2)

    def _may_start_alone(self) -> bool:
        """Whether all seeds had time to answer, so that this node may list itself."""
        now = self.clock.monotonic()
        if set(self.addresses) - self._asked:
            self._asked |= set(self.addresses)
            self._due_at = (
                now + JOIN_WAIT_S + self.random.uniform(0, FIRST_WRITE_JITTER_S)
            )
            return False
        if not self._has_waited:
            self._has_waited = True
            self._due_at = now + self.random.uniform(0, FIRST_WRITE_JITTER_S)
            return False
        return True

    def _is_elected(self, view: MembershipView) -> bool:
        here = self.me.data_centre
        candidates = [
            record.node_id
            for record in view.by_id.values()
            if record.data_centre == here and record.state is NodeState.ALIVE
        ]
        candidates.sort(key=lambda node_id: _weight(here, node_id), reverse=True)
        return self.me.node_id in candidates[:SEEDS_PER_DATA_CENTRE]

    def _read_lists(self) -> bool:
        objects = self.store.list(KEY_PREFIX)
        if isinstance(objects, Failure):
            self._back_off(objects)
            return False
        self._reset_backoff()
        near: list[Address] = []
        far: list[Address] = []
        self._own_list = None
        for stored in objects:
            listed = [seed.address for seed in decode_seeds(stored.value)]
            self.random.shuffle(listed)
            (near if stored.key == self.key else far).extend(listed)
            if stored.key == self.key:
                self._own_list = stored
        self._found = (*near, *far)
        return True

    def _write(self, view: MembershipView, alone: bool) -> None:
        now = self.clock.wall()
        if self._is_listed(now):
            return
        kept = self._entries_to_keep(view, now)
        if len(kept) >= SEEDS_PER_DATA_CENTRE:
            if not alone:
                return
            kept = kept[-SEEDS_PER_DATA_CENTRE + 1 :]
        entry = Seed(
            node_id=self.me.node_id, address=self.me.control_address, renewed_at_s=now
        )
        version = self._own_list.version if self._own_list is not None else 0
        written = self.store.put(
            self.key, encode_seeds((*kept, entry)), expected_version=version
        )
        if isinstance(written, Failure):
            self._back_off(written)

    def _is_listed(self, now: float) -> bool:
        listed = (
            decode_seeds(self._own_list.value) if self._own_list is not None else ()
        )
        return any(
            seed.node_id == self.me.node_id
            and seed.address == self.me.control_address
            and now - seed.renewed_at_s < REWRITE_AGE_S
            for seed in listed
        )

    def _entries_to_keep(self, view: MembershipView, now: float) -> list[Seed]:
        """Return the entries of other nodes to keep, oldest first."""
        listed = (
            decode_seeds(self._own_list.value) if self._own_list is not None else ()
        )
        kept = [
            seed
            for seed in listed
            if seed.node_id != self.me.node_id
            and seed.address != self.me.control_address
            and now - seed.renewed_at_s < self._expiry_of(seed, view)
        ]
        return sorted(kept, key=lambda seed: seed.renewed_at_s)

    def _expiry_of(self, seed: Seed, view: MembershipView) -> float:
        known = view.by_id.get(seed.node_id)
        is_alive = known is not None and known.state is NodeState.ALIVE
        return EXPIRY_S if is_alive else UNKNOWN_EXPIRY_S

    def _back_off(self, failure: Failure) -> None:
        """Schedule a retry with exponential back-off and jitter."""
        if failure.kind is Kind.STORE_UNAVAILABLE and not self._store_down:
            self._store_down = True
            logs.warn(logs.Event.STORE_UNAVAILABLE, purpose="seeds")
        wait = self.random.uniform(self._retry_s / 2, self._retry_s)
        self._due_at = self.clock.monotonic() + wait
        self._retry_s = min(RETRY_MAX_S, self._retry_s * 2)

    def _reset_backoff(self) -> None:
        if self._store_down:
            logs.log(logs.Event.STORE_BACK, purpose="seeds")
        self._store_down = False
        self._retry_s = RETRY_MIN_S
