"""Log how calls end: every failure, and a sample of the other calls."""

import zlib

from comfreytray.calls.call import Call, Outcome, Reply
from comfreytray.calls.fingerprints import fingerprint_of, name_of
from comfreytray.calls.instanceends import EndedInstance
from comfreytray.calls.retries import FAILED_STATUSES
from comfreytray.common import logs
from comfreytray.common.budgets import TokenBucket
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import Clock

SAMPLE_ONE_IN = 256
"""Of the calls that don't fail, one in this many is logged, chosen by a hash of the
id so that every node logs the same calls."""
MAX_LINES_PER_S = 50.0
BURST_LINES = 200.0
MAX_NAMES = 64
"""Names of requests in one line."""
MS_PER_S = 1000


class CallLog:
    """Write log lines at a limited rate and count those left out."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.left_out = 0
        self._budget = TokenBucket(
            rate_per_s=MAX_LINES_PER_S,
            capacity=BURST_LINES,
            refilled_at_s=clock.monotonic(),
        )

    def refused_at_entry(self, call_id: str, failure: Failure, version: int) -> None:
        """Log a request that was refused before it became a call."""
        if self._take_line():
            logs.log(
                logs.Event.CALL_REFUSED,
                id=call_id,
                at="entry",
                version=version,
                kind=failure.kind.value,
                reason=failure.detail,
            )

    def ended(self, call: Call, result: Reply | Outcome, version: int) -> None:
        """Log how a call ended for its caller."""
        failed = isinstance(result, Outcome) or result.status in FAILED_STATUSES
        if not (failed or _is_sampled(call.call_id)) or not self._take_line():
            return
        now = self.clock.monotonic()
        fields: dict[str, object] = {
            "id": call.call_id,
            "route": call.kind,
            "service": call.service,
            "version": version,
            "attempts": ",".join(call.attempts) or "none",
            "left_ms": int((call.deadline - now) * MS_PER_S),
            "due_ms": int((call.due - now) * MS_PER_S) if call.due else "",
        }
        if isinstance(result, Reply):
            logs.log(logs.Event.CALL_ANSWERED, status=result.status, **fields)
            return
        logs.log(
            logs.Event.CALL_FAILED,
            kind=result.failure.kind.value,
            reason=result.failure.detail,
            ran=result.ran.value,
            retry_after_s=result.failure.retry_after_s or 0,
            **fields,
        )

    def refused_at_owner(
        self,
        call: Call,
        failure: Failure,
        *,
        held: int,
        queued: int,
        slots: int,
        limit_per_s: float,
    ) -> None:
        """Log a call that the node beside the upstream did not admit."""
        if self._take_line():
            logs.log(
                logs.Event.CALL_REFUSED,
                id=call.call_id,
                at="owner",
                kind=failure.kind.value,
                reason=failure.detail,
                priority=call.priority,
                held=held,
                queued=queued,
                slots=slots,
                limit_per_s=limit_per_s,
            )

    def failed_at_upstream(
        self, call: Call, outcome: Outcome, *, instance: str
    ) -> None:
        """Log a call that failed at the upstream."""
        if self._take_line():
            logs.log(
                logs.Event.CALL_FAILED,
                id=call.call_id,
                at="owner",
                instance=instance,
                kind=outcome.failure.kind.value,
                reason=outcome.failure.detail,
                ran=outcome.ran.value,
                sent=outcome.sent,
                request=name_of(fingerprint_of(call)),
            )

    def instance_ended(self, ended: EndedInstance) -> None:
        """Log the end of an instance with the requests that were under way."""
        logs.warn(
            logs.Event.ENDPOINT_ENDED,
            instance=ended.instance_id,
            under_way=len(ended.calls),
            requests=",".join(
                name_of(fingerprint_of(call)) for call in ended.calls[:MAX_NAMES]
            ),
        )

    def _take_line(self) -> bool:
        """Take a line from the rate limit; return whether one was left."""
        now = self.clock.monotonic()
        if not self._budget.can_spend(now):
            self.left_out += 1
            return False
        self._budget.spend(1.0, now)
        if self.left_out:
            logs.log(logs.Event.LINES_LEFT_OUT, count=self.left_out)
            self.left_out = 0
        return True


def _is_sampled(call_id: str) -> bool:
    return bool(call_id) and zlib.crc32(call_id.encode()) % SAMPLE_ONE_IN == 0
