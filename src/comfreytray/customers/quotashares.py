"""The part of a quota that a node may use without an answer of the coordinator."""

import math
from collections.abc import Callable, Collection, Iterable

from attrs import define, frozen

from comfreytray.customers.quotaterms import QuotaTerms, hash01

FIRST_SHARE = 0.25
"""Part of its tokens with which a filled share begins: the calls that were admitted
until the loss of contact was noticed have used the others."""


@frozen(kw_only=True)
class FallbackShare:
    """The part of a quota that a node may use without hearing from a coordinator."""

    rate_per_s: float = 0.0
    capacity: float = 0.0


def fallback_share(
    terms: QuotaTerms, customer: str, node_id: str, node_ids: Iterable[str]
) -> FallbackShare:
    """Return the share of a node; the shares of all nodes together keep to the bound.

    A node needs at least one token to admit a call. Where the quota and the excess
    have fewer tokens than there are nodes, only some nodes, chosen by hash, get one.
    """
    ids = set(node_ids) | {node_id}
    if terms.burst >= len(ids):
        share = 1.0 / len(ids)
        return FallbackShare(
            rate_per_s=terms.rate_per_s * share, capacity=terms.burst * share
        )
    holders = min(len(ids), int(terms.burst + terms.leased_excess))
    if holders < 1:
        return FallbackShare()
    own = hash01(customer, node_id)
    rank = sum(hash01(customer, other) < own for other in ids)
    if rank >= holders:
        return FallbackShare()
    return FallbackShare(rate_per_s=terms.rate_per_s / holders, capacity=1.0)


class FallbackShares:
    """The shares of one node, computed again when the members or a quota change."""

    def __init__(
        self, *, node_id: str, member_ids: Callable[[], Collection[str]]
    ) -> None:
        self._node_id = node_id
        self._member_ids = member_ids
        self._known_ids: Collection[str] = ()
        self._share_by_customer: dict[str, tuple[QuotaTerms, FallbackShare]] = {}

    def of(self, customer: str, terms: QuotaTerms) -> FallbackShare:
        """Return the share of a customer's quota."""
        ids = self._member_ids()
        if ids is not self._known_ids:
            self._known_ids = ids
            self._share_by_customer.clear()
        known = self._share_by_customer.get(customer)
        if known is None or known[0] != terms:
            known = (terms, fallback_share(terms, customer, self._node_id, ids))
            self._share_by_customer[customer] = known
        return known[1]


@define(kw_only=True)
class FallbackBucket:
    """The tokens of one customer's fallback share at this node."""

    tokens: float = 0.0
    refilled_at: float = -math.inf

    def wait_s(
        self,
        share: FallbackShare,
        *,
        rate_per_s: float,
        since: float,
        filled: bool,
        now: float,
    ) -> float | None:
        """Return the seconds until there is a token; None if there is one.

        The bucket begins anew, `filled` or empty, if it was last used before `since`.
        """
        if self.refilled_at < since:
            self.refilled_at = since
            first = max(min(1.0, share.capacity), share.capacity * FIRST_SHARE)
            self.tokens = first if filled else 0.0
        added = (now - self.refilled_at) * rate_per_s
        self.tokens = min(share.capacity, self.tokens + added)
        self.refilled_at = now
        if self.tokens >= 1.0:
            return None
        return (1.0 - self.tokens) / rate_per_s if rate_per_s > 0 else math.inf
