"""Track the versions that a node has heard of and does not hold yet."""

import random

from attrs import define, field, frozen

from comfreytray.common.interfaces import Address, Clock
from comfreytray.configuration.content import Head
from comfreytray.distribution.lifecycles import Lifecycles

MAX_CANDIDATES = 4
MAX_HOLDERS = 8
MAX_VERSION = 2**53
PULL_TIMEOUT_S = 1.0
PULL_JITTER_S = 0.5
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 4.0
MAX_BUSY_PAUSE_S = 0.3
STALL_ATTEMPTS = 4
STALL_S = 3.0
FORGET_S = 30.0


@define(kw_only=True)
class Candidate:
    """A version that was heard of and is not whole yet."""

    head: Head
    progress_at_s: float
    busy_at_s: float = 0.0
    """When a holder last said that it is busy."""
    root: bool = False
    """This node is to pass it on to its region."""
    from_store: bool = False
    """The store itself named it as the newest version."""
    reading_store: bool = False
    """No peer gave it in time, so this node reads it from the store."""
    holders: list[Address] = field(factory=list)
    busy_until_by_holder: dict[Address, float] = field(factory=dict)
    missing: tuple[bytes, ...] = ()
    """Blobs known to be missing; empty before the record is held."""
    asked: Address | None = None
    answer_due_s: float = 0.0
    next_try_s: float = 0.0
    attempts: int = 0


@frozen(kw_only=True)
class Request:
    """A pull to send to a holder."""

    to: Address
    candidate: Candidate


@define(kw_only=True)
class Candidates:
    """Hold the few versions that are being fetched, and say what to ask next."""

    clock: Clock
    random: random.Random
    lifecycles: Lifecycles
    by_head: dict[Head, Candidate] = field(factory=dict)

    def newest(self) -> Candidate | None:
        """Return the candidate of the highest version."""
        return max(
            self.by_head.values(), key=lambda item: item.head.version, default=None
        )

    def newest_for_store(self) -> Candidate | None:
        """Return what to read from the store: what it named before what nodes say."""
        return max(
            self.by_head.values(),
            key=lambda item: (item.from_store, item.head.version),
            default=None,
        )

    def hear(
        self,
        head: Head,
        holder: Address | None,
        *,
        root: bool = False,
        from_store: bool = False,
    ) -> Candidate | None:
        """Note that a version exists and who holds it; None if it is not followed."""
        if not 0 < head.version < MAX_VERSION:
            return None
        candidate = self.by_head.get(head)
        if candidate is None:
            now = self.clock.monotonic()
            candidate = Candidate(head=head, progress_at_s=now)
            self.by_head[head] = candidate
            self._drop_excess(head)
        self.lifecycles.announce(head)
        candidate.from_store = candidate.from_store or from_store
        candidate.root = candidate.root or root
        if holder is not None and holder not in candidate.holders:
            candidate.holders.append(holder)
            for dropped in candidate.holders[:-MAX_HOLDERS]:
                candidate.holders.remove(dropped)
                candidate.busy_until_by_holder.pop(dropped, None)
        return candidate

    def progress(self, candidate: Candidate, missing: list[bytes]) -> None:
        """Note that blobs came in and which are still missing."""
        candidate.missing = tuple(missing)
        candidate.progress_at_s = self.clock.monotonic()
        candidate.asked = None
        candidate.attempts = 0
        candidate.next_try_s = 0.0

    def fail(
        self, head: Head, holder: Address, *, held: bool, retry_after_s: float
    ) -> None:
        """Note that a holder did not serve."""
        candidate = self.by_head.get(head)
        if candidate is None or candidate.asked != holder:
            return
        if not held:
            if holder in candidate.holders:
                candidate.holders.remove(holder)
            self._retry_later(candidate)
            return
        # Another holder may have budget left now.
        candidate.asked = None
        candidate.busy_at_s = self.clock.monotonic()
        candidate.busy_until_by_holder[holder] = candidate.busy_at_s + retry_after_s
        pause_s = self.random.uniform(MIN_BACKOFF_S, MAX_BUSY_PAUSE_S)
        candidate.next_try_s = candidate.busy_at_s + pause_s

    def drop_through(self, version: int) -> None:
        """Forget the candidates up to a version."""
        for head in [head for head in self.by_head if head.version <= version]:
            del self.by_head[head]

    def take(self, head: Head) -> None:
        """Hand over a candidate that is whole."""
        del self.by_head[head]

    def reject(self, head: Head) -> None:
        """Forget a candidate whose content cannot be right."""
        self._forget(head, "malformed")

    def tick(self) -> None:
        """Give up answers that are late and candidates that nobody can serve."""
        now = self.clock.monotonic()
        for candidate in list(self.by_head.values()):
            if candidate.asked is not None and now >= candidate.answer_due_s:
                self.fail(
                    candidate.head, candidate.asked, held=False, retry_after_s=0.0
                )
            if now - candidate.progress_at_s > FORGET_S and not candidate.holders:
                self._forget(candidate.head, "unavailable")

    def next_request(
        self, region: str, region_by_address: dict[Address, str]
    ) -> Request | None:
        """Choose what to pull now and from whom; one pull is under way at a time."""
        now = self.clock.monotonic()
        if any(item.asked is not None for item in self.by_head.values()):
            return None
        order = sorted(
            self.by_head.values(), key=lambda item: item.head.version, reverse=True
        )
        for candidate in order:
            if now < candidate.next_try_s:
                continue
            holder = self._choose_holder(candidate, region, region_by_address)
            if holder is None:
                continue
            candidate.asked = holder
            jitter = self.random.uniform(0, PULL_JITTER_S)
            candidate.answer_due_s = now + PULL_TIMEOUT_S + jitter
            return Request(to=holder, candidate=candidate)
        return None

    def _choose_holder(
        self, candidate: Candidate, region: str, region_by_address: dict[Address, str]
    ) -> Address | None:
        now = self.clock.monotonic()
        near = [
            holder
            for holder in candidate.holders
            if region_by_address.get(holder) == region
        ]
        idle = [
            holder
            for holder in near or candidate.holders
            if candidate.busy_until_by_holder.get(holder, 0.0) <= now
        ]
        return self.random.choice(idle) if idle else None

    def _retry_later(self, candidate: Candidate) -> None:
        candidate.asked = None
        candidate.attempts += 1
        longest = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(candidate.attempts, 16))
        if candidate.attempts % STALL_ATTEMPTS == 0:
            # Others get their turn: the head may name a version that nobody has.
            longest = max(longest, STALL_S)
        delay = self.random.uniform(MIN_BACKOFF_S, longest)
        candidate.next_try_s = self.clock.monotonic() + delay

    def _drop_excess(self, heard: Head) -> None:
        """Drop the candidates that failed most, then the oldest."""
        while len(self.by_head) > MAX_CANDIDATES:
            others = [
                item
                for item in self.by_head.values()
                if item.asked is None and item.head != heard
            ]
            worst = max(others, key=lambda item: (item.attempts, -item.head.version))
            self._forget(worst.head, "unavailable")

    def _forget(self, head: Head, event: str) -> None:
        del self.by_head[head]
        if head in self.lifecycles.state_by_head:
            self.lifecycles.step(head, event)
