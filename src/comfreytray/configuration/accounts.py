"""Customers that identify themselves by API keys, and what each is granted."""

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from attrs import field, frozen

KEY_DIGEST_BYTES = 16


@frozen(kw_only=True)
class Account:
    """What a customer is granted."""

    customer: str
    priority: int | None = None
    """Ranks before the priority of a route; 0 is the highest, None if not set."""
    rate_per_s: float = 0.0
    """Calls a second allowed through all nodes together; 0 if they are not limited."""
    burst: float = 0.0
    """Calls allowed at once beyond the rate."""

    @property
    def is_limited(self) -> bool:
        """Whether the customer has a quota."""
        return self.rate_per_s > 0


@frozen(kw_only=True)
class Accounts:
    """The accounts of a configuration, by customer and by API key.

    Only digests of the keys are kept, so that no log line or message can hold a key.
    """

    account_by_customer: Mapping[str, Account] = field(factory=dict)
    customer_by_key_digest: Mapping[bytes, str] = field(factory=dict)

    def find(self, key: str) -> Account | None:
        """Return the account that an API key belongs to."""
        customer = self.customer_by_key_digest.get(_digest_of(key))
        return None if customer is None else self.account_by_customer[customer]


def build_accounts(granted: Iterable[tuple[Account, Iterable[str]]]) -> Accounts:
    """Index accounts by their keys; raises ValueError if two customers share a key."""
    account_by_customer: dict[str, Account] = {}
    customer_by_key_digest: dict[bytes, str] = {}
    for account, keys in granted:
        account_by_customer[account.customer] = account
        for key in keys:
            digest = _digest_of(key)
            other = customer_by_key_digest.setdefault(digest, account.customer)
            if other != account.customer:
                raise ValueError(
                    f"customers {other!r} and {account.customer!r} share an API key"
                )
    return Accounts(
        account_by_customer=account_by_customer,
        customer_by_key_digest=customer_by_key_digest,
    )


def _digest_of(key: str) -> bytes:
    data = key.encode("utf-8", "surrogateescape")
    return blake2b(data, digest_size=KEY_DIGEST_BYTES).digest()
