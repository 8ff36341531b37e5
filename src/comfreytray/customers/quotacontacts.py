"""Which nodes are in contact with a coordinator, and the time that accrues for them."""

from collections.abc import Callable, Collection, Iterator

from attrs import define

from comfreytray.customers.quotamessages import Report
from comfreytray.customers.quotaterms import report_period_s

CONTACT_MARGIN_S = 0.4
"""Time beyond the period of reports for which a node counts as bound by leases. The
sum is shorter than their validity at the node, so that a fallback share is reserved
before it is used."""


@define(kw_only=True)
class Contact:
    """A node that has reported."""

    session: int
    number: int
    contact_at: float


class Contacts:
    """The nodes that have reported, in contact or silent.

    Each node stands for an equal part of each rate; the parts of nodes out of contact
    are what those admit on their own.
    """

    def __init__(
        self, *, now: float, began_at: float, member_ids: Callable[[], Collection[str]]
    ) -> None:
        """Create it; `began_at` is when this process began, before its imports.

        After a restart of all nodes no call ran from then on.
        """
        self._member_ids = member_ids
        self.by_id: dict[str, Contact] = {}
        """Nodes in contact, the longest silent first."""
        self._silent_by_id: dict[str, tuple[float, Contact]] = {}
        """Nodes out of contact, with the time from which they are."""
        self._began_at = min(now, began_at)
        self._accrued_at = now
        self.accrued_s = 0.0
        """Time that has passed, less the parts of the nodes out of contact."""

    @property
    def share(self) -> float:
        """Part of the members that is in contact."""
        return len(self.by_id) / max(len(self._member_ids()), len(self.by_id), 1)

    @property
    def contact_s(self) -> float:
        """Time for which a node counts as in contact after a message."""
        return report_period_s(len(self._member_ids())) + CONTACT_MARGIN_S

    def advance(self, now: float) -> None:
        """Accrue time for the nodes in contact, and let silent ones go."""
        while self.by_id:
            node_id, node = next(iter(self.by_id.items()))
            lapses_at = node.contact_at + self.contact_s
            if lapses_at > now:
                break
            self._accrue(lapses_at)
            del self.by_id[node_id]
            self._silent_by_id[node_id] = (max(lapses_at, self._accrued_at), node)
        self._accrue(now)

    def note(self, report: Report, sent_at: float, *, returns: bool) -> Contact | None:
        """Note a report; return what was known of its node.

        A node that `returns` has admitted its own part since it fell silent, and
        reports it. A report that was seen before is returned as its own contact.
        """
        node_id = report.node_id
        silent_since, node = self._silent_by_id.get(node_id, (self._began_at, None))
        node = self.by_id.get(node_id, node)
        if node is not None and self.is_old(report, node):
            return node
        is_same = node is None or node.session == report.session
        if node_id not in self.by_id and returns and is_same:
            # What accrued for the node while it was silent; its usage is subtracted.
            members = max(len(self._member_ids()), 1)
            self.accrued_s += max(0.0, sent_at - silent_since) / members
        self._silent_by_id.pop(node_id, None)
        self.by_id.pop(node_id, None)
        self.by_id[node_id] = Contact(
            session=report.session, number=report.number, contact_at=sent_at
        )
        return node

    @staticmethod
    def is_old(report: Report, node: Contact | None) -> bool:
        """Whether a report is no newer than what is known of its node."""
        if node is None:
            return False
        return (report.session, report.number) <= (node.session, node.number)

    def begin_anew(self, now: float) -> None:
        """Count from now on: what accrued before, another coordinator has granted."""
        self._began_at = now
        for node_id, (_, node) in self._silent_by_id.items():
            self._silent_by_id[node_id] = (now, node)

    def forget_departed(self, members: Collection[str]) -> Iterator[str]:
        """Drop and yield silent nodes that are no members any more."""
        if len(self._silent_by_id) <= len(members):
            return
        for node_id in [known for known in self._silent_by_id if known not in members]:
            del self._silent_by_id[node_id]
            yield node_id

    def _accrue(self, until: float) -> None:
        if until > self._accrued_at:
            self.accrued_s += (until - self._accrued_at) * self.share
            self._accrued_at = until
