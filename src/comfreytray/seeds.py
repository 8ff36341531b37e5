"""First peers: addresses of a few members in the store, in settings and at hand."""

import json
import random
from collections.abc import Iterable
from hashlib import blake2b

from attrs import define, field, frozen

from comfreytray import logs
from comfreytray.errors import Failure, Kind
from comfreytray.interfaces import Address, Clock, ObjectStore
from comfreytray.records import MembershipView, NodeRecord, NodeState

KEY_PREFIX = "seeds/"
SEEDS_PER_DATA_CENTRE = 3
RENEW_INTERVAL_S = 60.0
EXPIRY_S = 240.0
"""Age at which a listed seed may be replaced by another member."""
FIRST_WRITE_SPREAD_S = 2.0
"""Longest random wait before the first write into an empty list."""
RELIST_MIN_S = 2.0
RELIST_MAX_S = 60.0
RETRY_MIN_S = 0.5
RETRY_MAX_S = 30.0
MAX_SEED_BYTES = 16_384


@frozen(kw_only=True)
class Seed:
    """Name a member that others may join through."""

    node_id: str
    address: Address
    renewed_at_s: float
    """Wall clock of the writer."""


def parse_addresses(text: str) -> tuple[Address, ...] | Failure:
    """Read a comma-separated list of IP numbers with ports."""
    addresses: list[Address] = []
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        host, _, port = part.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= 65_535:
            return Failure(kind=Kind.INVALID_SETTING, detail=f"peer {part!r}")
        addresses.append((host.strip("[]"), int(port)))
    return tuple(addresses)


def encode_seeds(seeds: Iterable[Seed]) -> bytes:
    """Write a list of seeds as JSON."""
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
    """Read a list of seeds, leaving out what is malformed."""
    try:
        rows = json.loads(data[:MAX_SEED_BYTES])["seeds"]
        return tuple(seed for row in rows if (seed := _decode_seed(row)) is not None)
    except (ValueError, KeyError, TypeError, RecursionError):
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
    """Find first peers, and keep this data centre's list while it is this node's turn.

    Few members write: the ones with the highest rendezvous weight in their data
    centre, each once in a renewal interval and only if the list is as it was read.
    """

    store: ObjectStore
    clock: Clock
    random: random.Random
    me: NodeRecord
    peers: tuple[Address, ...] = ()
    """Addresses from the settings."""
    _found: tuple[Address, ...] = ()
    _due_at: float = 0.0
    _retry_s: float = RETRY_MIN_S
    _relist_at: float = 0.0
    _relist_s: float = RELIST_MIN_S
    _store_down: bool = field(default=False)

    @property
    def key(self) -> str:
        """Name the object that lists the seeds of this data centre."""
        return KEY_PREFIX + self.me.data_centre

    @property
    def addresses(self) -> tuple[Address, ...]:
        """List the first peers that are known now, those of the store first."""
        unique = dict.fromkeys((*self._found, *self.peers))
        unique.pop(self.me.control_address, None)
        return tuple(unique)

    def find(self) -> Failure | None:
        """Read all lists from the store; one call."""
        objects = self.store.list(KEY_PREFIX)
        if isinstance(objects, Failure):
            self._failed(objects)
            return objects
        self._succeeded()
        near: list[Address] = []
        far: list[Address] = []
        for stored in objects:
            listed = [seed.address for seed in decode_seeds(stored.value)]
            self.random.shuffle(listed)
            (near if stored.key == self.key else far).extend(listed)
        self._found = (*near, *far)
        wait = RENEW_INTERVAL_S if near else FIRST_WRITE_SPREAD_S
        now = self.clock.monotonic()
        self._due_at = now + self.random.uniform(0.0, wait)
        self._relist_at = now + self._relist_s * self.random.uniform(0.8, 1.2)
        self._relist_s = min(RELIST_MAX_S, self._relist_s * 2)
        return None

    def tick(self, view: MembershipView) -> None:
        """Find peers or renew this node's entry when that is due."""
        now = self.clock.monotonic()
        if now < self._due_at and now < self._relist_at:
            return
        alone = len(view.by_id) <= 1
        elected = alone or self._is_elected(view)
        if now >= self._due_at:
            self._due_at = now + RENEW_INTERVAL_S * self.random.uniform(0.8, 1.2)
            if elected:
                self._renew(alone)
        if now >= self._relist_at:
            self._relist_at = now + RELIST_MAX_S
            if elected:
                self._list_again()

    def strangers(self, view: MembershipView) -> tuple[Address, ...]:
        """List the first peers that are no members: groups that never met."""
        met = {record.control_address for record in view.by_id.values()}
        return tuple(address for address in self.addresses if address not in met)

    def _list_again(self) -> None:
        """Read the lists, so that groups that formed apart find each other."""
        due_at = self._due_at
        if self.find() is None:
            self._due_at = due_at

    def _is_elected(self, view: MembershipView) -> bool:
        here = self.me.data_centre
        candidates = [
            record.node_id
            for record in view.by_id.values()
            if record.data_centre == here and record.state is NodeState.ALIVE
        ]
        candidates.sort(key=lambda node_id: _weight(here, node_id), reverse=True)
        return self.me.node_id in candidates[:SEEDS_PER_DATA_CENTRE]

    def _renew(self, alone: bool) -> None:
        stored = self.store.get(self.key)
        version = 0
        listed: tuple[Seed, ...] = ()
        if not isinstance(stored, Failure):
            version = stored.version
            listed = decode_seeds(stored.value)
        elif stored.kind is not Kind.NOT_FOUND:
            self._failed(stored)
            return
        self._succeeded()
        others = self._keep(listed, alone)
        if alone and others:
            self._found = tuple(seed.address for seed in others)
        if len(others) >= SEEDS_PER_DATA_CENTRE:
            return
        mine = Seed(
            node_id=self.me.node_id,
            address=self.me.control_address,
            renewed_at_s=self.clock.wall(),
        )
        written = self.store.put(
            self.key, encode_seeds((*others, mine)), expected_version=version
        )
        if isinstance(written, Failure):
            self._failed(written)

    def _keep(self, listed: tuple[Seed, ...], alone: bool) -> list[Seed]:
        oldest = self.clock.wall() - EXPIRY_S
        return [
            seed
            for seed in listed
            if seed.renewed_at_s > oldest
            and seed.node_id != self.me.node_id
            and seed.address != self.me.control_address
        ]

    def _failed(self, failure: Failure) -> None:
        if failure.kind is Kind.STORE_UNAVAILABLE and not self._store_down:
            self._store_down = True
            logs.warn(logs.Event.STORE_UNAVAILABLE, purpose="seeds")
        self._due_at = self.clock.monotonic() + self.random.uniform(0, self._retry_s)
        self._retry_s = min(RETRY_MAX_S, self._retry_s * 2)

    def _succeeded(self) -> None:
        if self._store_down:
            logs.log(logs.Event.STORE_BACK, purpose="seeds")
        self._store_down = False
        self._retry_s = RETRY_MIN_S
