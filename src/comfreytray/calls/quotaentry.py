"""Admission of a caller's calls within the quota of their customer."""

from collections.abc import Callable

from comfreytray.calls.call import Call, Outcome, Reply
from comfreytray.common.errors import Ran
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.customers.quotaadmission import QuotaAdmission


def run_within_quota(
    call: Call,
    run: Callable[[Call], Reply | Outcome],
    *,
    quota: QuotaAdmission | None,
    snapshot: Snapshot | None,
) -> Reply | Outcome:
    """Run a call if the quota has a token; one that did not run gives it back."""
    if quota is None or snapshot is None or snapshot.accounts is None:
        return run(call)
    failure = quota.admit(call.customer)
    if failure is not None:
        return Outcome.of(failure)
    result = run(call)
    if isinstance(result, Outcome) and result.ran is Ran.NO:
        quota.refund(call.customer)
    return result
