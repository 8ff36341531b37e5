"""Where calls may go while a roll-out moves them to another version of a service."""

from collections.abc import Callable
from typing import Protocol

from comfreytray.calls.call import Call, Outcome, Reply
from comfreytray.common.records import NodeRecord

Endpoints = tuple[NodeRecord, ...]
Select = Callable[[Endpoints], Endpoints]
"""Return the endpoints of a service to which a call may go."""


class VersionRules(Protocol):
    """Restrict the endpoints of calls by version, and learn how the calls ended."""

    def choose(self, service: str, kind: str, *, is_repeat: bool) -> Select | None:
        """Return the rule for an attempt at a call; None if any endpoint will do."""
        ...

    def ended(
        self, call: Call, record: NodeRecord, result: Reply | Outcome, took_s: float
    ) -> None:
        """Learn how an attempt ended at an endpoint."""
        ...


class NoVersionRules:
    """Versions play no part."""

    def choose(self, service: str, kind: str, *, is_repeat: bool) -> None:
        """Return no rule."""

    def ended(
        self, call: Call, record: NodeRecord, result: Reply | Outcome, took_s: float
    ) -> None:
        """Learn nothing."""
