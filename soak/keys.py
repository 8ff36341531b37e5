"""Customers with API keys: what the configuration grants and what callers send."""

import itertools
import math
import random
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from attrs import define, field, frozen

FIRST_SEED_WITH_ACCOUNTS = 9000
"""Earlier seeds, which stand in tests and pages, run without accounts."""
CUSTOMERS = ("vela", "brisa", "orla")
KEY_MARK = "soak-key-"
"""Start of every key, right or wrong; the checks look for it in heads and logs."""
KEYS_AT_START = 2
"""Keys of each customer in the first configuration; one of them is never withdrawn."""
PUBLIC_SHARE = 0.2
WRONG_SHARE = 0.1
WITHDRAWN_SHARE = 0.15
"""Shares of calls on public routes, and on others with wrong or withdrawn keys."""
PUBLIC_WITH_KEY_SHARE = 0.5


@define(kw_only=True, eq=False)
class Key:
    """An API key, and when the configuration granted and withdrew it."""

    text: str
    customer: str
    is_lasting: bool = False
    """Whether it is never withdrawn."""
    added_at: float = -math.inf
    withdrawn_at: float = math.inf


@frozen(kw_only=True, eq=False)
class Credentials:
    """What a caller sends about itself on one call."""

    key_text: str = ""
    key: Key | None = None
    """The key that was granted with this text; None for a wrong one."""
    is_public: bool = False

    @property
    def customer(self) -> str:
        """The customer that the upstream must see; empty for none."""
        return self.key.customer if self.key else ""

    def headers(self) -> dict[str, str]:
        """Return the header fields, with a customer's name that must not count."""
        claimed = next(name for name in CUSTOMERS if name != self.customer)
        fields = {"X-Tenant": claimed}
        if self.key_text:
            fields["Authorization"] = f"Token {self.key_text}"
        return fields


class Keyring:
    """The keys of a run: those in force, those withdrawn and wrong ones."""

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(f"{seed} keys")
        self._numbers = itertools.count()
        self.keys = [
            self._draw(customer, is_lasting=number == 0)
            for customer in CUSTOMERS
            for number in range(KEYS_AT_START)
        ]

    def resources(self) -> list[dict[str, Any]]:
        """Return the customers as resources of the configuration."""
        return [
            {
                "resource_kind": "tenants",
                "metadata": {"name": customer},
                "spec": {
                    "api_keys": [
                        key.text for key in self.in_force() if key.customer == customer
                    ]
                },
            }
            for customer in CUSTOMERS
        ]

    def in_force(self) -> list[Key]:
        """Return the keys that the newest configuration grants."""
        return [key for key in self.keys if key.withdrawn_at == math.inf]

    def withdrawn(self) -> list[Key]:
        """Return the keys that the newest configuration no longer grants."""
        return [key for key in self.keys if key.withdrawn_at < math.inf]

    def add(self) -> None:
        """Grant another key to one of the customers in the next configuration."""
        key = self._draw(self._random.choice(CUSTOMERS), added_at=time.monotonic())
        self.keys.append(key)

    def withdraw(self) -> None:
        """Leave one key out of the next configuration, if one may be withdrawn."""
        candidates = [key for key in self.in_force() if not key.is_lasting]
        if candidates:
            self._random.choice(candidates).withdrawn_at = time.monotonic()

    def lasting_credentials(self) -> Credentials:
        """Return the credentials of a key that is never withdrawn."""
        return _credentials_of(self.keys[0])

    def draw_credentials(self, generator: random.Random) -> Credentials:
        """Draw what a caller sends: a key, a wrong or withdrawn one, or none."""
        wrong = f"{KEY_MARK}wrong-{generator.randrange(1000)}"
        share = generator.random()
        if share < PUBLIC_SHARE:
            return self._draw_public(generator, wrong)
        share -= PUBLIC_SHARE
        if share < WRONG_SHARE:
            return Credentials(key_text=generator.choice(["", wrong, wrong]))
        share -= WRONG_SHARE
        withdrawn = self.withdrawn()
        if share < WITHDRAWN_SHARE and withdrawn:
            return _credentials_of(generator.choice(withdrawn))
        return _credentials_of(generator.choice(self.in_force()))

    def _draw_public(self, generator: random.Random, wrong: str) -> Credentials:
        """Draw what a caller of a public route sends."""
        if generator.random() < PUBLIC_WITH_KEY_SHARE:
            lasting = [key for key in self.keys if key.is_lasting]
            return _credentials_of(generator.choice(lasting), is_public=True)
        return Credentials(key_text=generator.choice(["", wrong]), is_public=True)

    def _draw(self, customer: str, **options: Any) -> Key:
        text = f"{KEY_MARK}{next(self._numbers)}-{self._random.getrandbits(64):016x}"
        return Key(text=text, customer=customer, **options)


def _credentials_of(key: Key, *, is_public: bool = False) -> Credentials:
    return Credentials(key_text=key.text, key=key, is_public=is_public)


def every_credentials(ring: Keyring) -> Iterator[Credentials]:
    """Yield the credentials of each key that was ever granted."""
    for key in ring.keys:
        yield _credentials_of(key)


@define(kw_only=True)
class Disturbances:
    """When faults last kept each node from learning the newest configuration."""

    _running_by_node: Counter[int] = field(factory=Counter)
    _ended_at_by_node: dict[int, float] = field(factory=dict)

    @contextmanager
    def during(self, nodes: Iterable[int]) -> Iterator[None]:
        """Count nodes as disturbed until the context is left."""
        affected = list(nodes)
        self._running_by_node.update(affected)
        try:
            yield
        finally:
            self._running_by_node.subtract(affected)
            now = time.monotonic()
            self._ended_at_by_node.update(dict.fromkeys(affected, now))

    def until(self, node: int) -> float:
        """Return when the last disturbance of a node ended; infinite during one."""
        if self._running_by_node[node] > 0:
            return math.inf
        return self._ended_at_by_node.get(node, -math.inf)
