"""Received claims: each is unpacked once and refused if malformed."""

from collections.abc import Iterable, Iterator

from attrs import define, field

from comfreytray.common import logs
from comfreytray.common.metrics import Metrics
from comfreytray.membership.updates import Claim, unpack_claim

MAX_REMEMBERED_CLAIMS = 4096


@define(kw_only=True)
class ClaimInbox:
    """Unpack received claims, skipping those already seen."""

    metrics: Metrics
    _seen: dict[bytes, None] = field(factory=dict)

    def unseen(self, payloads: Iterable[bytes]) -> Iterator[tuple[Claim, bytes]]:
        """Yield the claims not seen before, each with its payload."""
        for payload in payloads:
            if payload in self._seen:
                continue
            claim = unpack_claim(payload)
            if claim is None:
                self.metrics.count("membership.bad_claims")
                logs.warn(logs.Event.FRAME_REFUSED, reason="bad-claim")
                continue
            self._remember(payload)
            yield claim, payload

    def _remember(self, payload: bytes) -> None:
        self._seen[payload] = None
        if len(self._seen) > MAX_REMEMBERED_CLAIMS:
            del self._seen[next(iter(self._seen))]
