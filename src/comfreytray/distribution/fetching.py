"""Track the versions that are known to exist and not complete on this node yet."""

import random

from attrs import define, field, frozen

from comfreytray.common.interfaces import Address, Clock
from comfreytray.configuration.content import Head
from comfreytray.distribution.lifecycles import Lifecycles

MAX_CANDIDATES = 4
MAX_HOLDERS = 8
MAX_VERSION = 2**53
"""Limit on version numbers: higher ones are ignored."""
PULL_TIMEOUT_S = 1.0
"""How long an answer to a pull may take, without jitter."""
PULL_JITTER_S = 0.5
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 4.0
MAX_BUSY_PAUSE_S = 0.3
"""Longest pause after a busy holder, before another one is asked."""
STALL_ATTEMPTS = 4
"""After every so many failed pulls without progress, the back-off is longer."""
STALL_BACKOFF_S = 3.0
"""Longest back-off after `STALL_ATTEMPTS` failures, unless the usual one is longer."""
FORGET_AFTER_S = 30.0
"""After so long without progress, a version without a known holder is dropped."""


@define(kw_only=True)
class Candidate:
    """A version that is known to exist and not complete on this node yet."""

    head: Head
    progress_at_s: float
    """When the version became known or useful blobs last came, by monotonic time."""
    busy_at_s: float = 0.0
    """When a holder last answered that it is busy."""
    root: bool = False
    """Whether this node was asked to forward the version to its whole region."""
    from_store: bool = False
    """Whether the store named it as the newest version."""
    reading_store: bool = False
    """Whether this node reads it from the store, as no peer sent it in time."""
    holders: list[Address] = field(factory=list)
    """Nodes that may hold blobs of it, the latest known last."""
    busy_until_by_holder: dict[Address, float] = field(factory=dict)
    """Times before which no pull is sent to a busy holder."""
    missing: tuple[bytes, ...] = ()
    """Digests of the blobs known to be missing; empty before the first progress."""
    asked: Address | None = None
    """Holder of the pull that is under way, None for none."""
    answer_due_s: float = 0.0
    next_try_s: float = 0.0
    """Time before which no pull is sent."""
    attempts: int = 0
    """Pulls that failed since the last progress."""


@frozen(kw_only=True)
class Request:
    """A pull to send to a holder."""

    to: Address
    candidate: Candidate


@define(kw_only=True)
class Candidates:
    """Hold the few versions that are being fetched, and schedule the pulls."""

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
        """Return the newest candidate that the store named, else the newest one."""
        return max(
            self.by_head.values(),
            key=lambda item: (item.from_store, item.head.version),
            default=None,
        )

    def observe(
        self,
        head: Head,
        holder: Address | None,
        *,
        root: bool = False,
        from_store: bool = False,
    ) -> Candidate | None:
        """Record that a version exists and who holds it.

        Return its candidate, or None if the version number is out of range.
        """
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

    def record_progress(self, candidate: Candidate, missing: list[bytes]) -> None:
        """Record that useful blobs came in and which ones are still missing."""
        candidate.missing = tuple(missing)
        candidate.progress_at_s = self.clock.monotonic()
        candidate.asked = None
        candidate.attempts = 0
        candidate.next_try_s = 0.0

    def record_failure(
        self, head: Head, holder: Address, *, held: bool, retry_after_s: float
    ) -> None:
        """Record that the holder of the current pull sent nothing useful.

        With `held` it is only busy for `retry_after_s`; without, it is dropped.
        """
        candidate = self.by_head.get(head)
        if candidate is None or candidate.asked != holder:
            return
        if not held:
            if holder in candidate.holders:
                candidate.holders.remove(holder)
            self._retry_later(candidate)
            return
        # Another holder may have budget left: the next pull follows soon.
        candidate.asked = None
        candidate.busy_at_s = self.clock.monotonic()
        candidate.busy_until_by_holder[holder] = candidate.busy_at_s + retry_after_s
        pause_s = self.random.uniform(MIN_BACKOFF_S, MAX_BUSY_PAUSE_S)
        candidate.next_try_s = candidate.busy_at_s + pause_s

    def drop_through(self, version: int) -> None:
        """Drop the candidates up to and including a version number."""
        for head in [head for head in self.by_head if head.version <= version]:
            del self.by_head[head]

    def remove(self, head: Head) -> None:
        """Remove a candidate that is complete."""
        del self.by_head[head]

    def reject(self, head: Head) -> None:
        """Drop a candidate whose content is malformed."""
        self._drop(head, "malformed")

    def tick(self) -> None:
        """Time out late answers and drop candidates that have no holder."""
        now = self.clock.monotonic()
        for candidate in list(self.by_head.values()):
            if candidate.asked is not None and now >= candidate.answer_due_s:
                self.record_failure(
                    candidate.head, candidate.asked, held=False, retry_after_s=0.0
                )
            if now - candidate.progress_at_s > FORGET_AFTER_S and not candidate.holders:
                self._drop(candidate.head, "unavailable")

    def next_request(
        self, region: str, region_by_address: dict[Address, str]
    ) -> Request | None:
        """Return the pull to send now, None for none; one is under way at a time."""
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
        same_region = [
            holder
            for holder in candidate.holders
            if region_by_address.get(holder) == region
        ]
        idle = [
            holder
            for holder in same_region or candidate.holders
            if candidate.busy_until_by_holder.get(holder, 0.0) <= now
        ]
        return self.random.choice(idle) if idle else None

    def _retry_later(self, candidate: Candidate) -> None:
        candidate.asked = None
        candidate.attempts += 1
        longest = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(candidate.attempts, 16))
        if candidate.attempts % STALL_ATTEMPTS == 0:
            # Lets other candidates be pulled: nobody may have this version.
            longest = max(longest, STALL_BACKOFF_S)
        delay = self.random.uniform(MIN_BACKOFF_S, longest)
        candidate.next_try_s = self.clock.monotonic() + delay

    def _drop_excess(self, observed: Head) -> None:
        """Drop candidates over the limit: most failed pulls first, then the oldest.

        The one that was just observed stays, and so does one with a pull under way.
        """
        while len(self.by_head) > MAX_CANDIDATES:
            others = [
                item
                for item in self.by_head.values()
                if item.asked is None and item.head != observed
            ]
            worst = max(others, key=lambda item: (item.attempts, -item.head.version))
            self._drop(worst.head, "unavailable")

    def _drop(self, head: Head, event: str) -> None:
        del self.by_head[head]
        if head in self.lifecycles.state_by_head:
            self.lifecycles.step(head, event)
