"""Handlers of the requests that are held back because instances end under them."""

from comfreytray.administration.api import Request
from comfreytray.calls.fingerprints import parse_name
from comfreytray.calls.guard import Guard
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.logs import Event, log


class HoldRoutes:
    """Show held requests and let them go."""

    def __init__(self, *, guard: Guard) -> None:
        self._guard = guard

    def list_all(self, request: Request, /, **parts: str) -> object:
        """Return the held requests, the earliest hold first."""
        return self._guard.report()

    def release(self, request: Request, /, **parts: str) -> object:
        """Let a request run again, at all nodes."""
        name = parts["request"]
        try:
            was_held = self._guard.release(parse_name(name))
        except ValueError:
            was_held = False
        if not was_held:
            return Failure(kind=Kind.NOT_FOUND, detail=name, fields={"name": name})
        log(Event.CHANGE_ACCEPTED, operator=request.operator, path=request.path)
        return {"released": name}
