"""One run of a command: its settings, its requests and how it prints results."""

import json
import os
import sys
import time
import uuid
from collections.abc import Callable
from typing import Any, NoReturn

from comfreytray.commands import display
from comfreytray.commands.client import AdminClient
from comfreytray.common import messages, settings
from comfreytray.common.errors import Failure, Kind

CHANGE_ATTEMPTS = 3
RETRY_DELAY_S = 1.0

# Kinds of failure after which a change may still have been accepted.
_RETRIED_KINDS = frozenset(
    {Kind.STORE_OUTCOME_UNKNOWN, Kind.NODE_UNREACHABLE, Kind.INTERNAL}
)


class Session:
    """The settings of one command, and how it sends requests and prints results."""

    def __init__(self, flags: dict[str, object]) -> None:
        self.as_json = bool(flags.pop("json", False))
        self.change_id = str(flags.pop("change", "")) or None
        self.settings = settings.load(flags, os.environ)
        self.language = self.settings.language

    def client(self) -> AdminClient:
        """Return a client of the administration API."""
        return AdminClient(
            url=self.settings.admin_url,
            token=self.settings.admin_token,
            operator=self.settings.operator,
            language=self.language,
        )

    def run(
        self,
        ask: Callable[[AdminClient], Any],
        format_result: Callable[[Any, str], str],
    ) -> Any:
        """Send a request, print its result and return it; exit on a failure."""
        with self.client() as client:
            result = ask(client)
        if isinstance(result, Failure):
            self.fail(result)
        self.print(result, format_result)
        return result

    def change(self, *request: str, **options: Any) -> None:
        """Request a change and print it; retry while its outcome is unknown.

        All attempts carry the same change id, so the change is accepted once. If the
        outcome stays unknown, the `--change` flag for another retry is printed.
        """
        change_id = self.change_id or uuid.uuid4().hex

        def ask(client: AdminClient) -> Any:
            result: Any = None
            for _ in range(CHANGE_ATTEMPTS):
                result = client.ask(*request, change_id=change_id, **options)
                if not isinstance(result, Failure) or result.kind not in _RETRIED_KINDS:
                    return result
                time.sleep(RETRY_DELAY_S)
            print(f"--change={change_id}", file=sys.stderr)
            return result

        self.run(ask, display.change)

    def print(self, result: Any, format_result: Callable[[Any, str], str]) -> None:
        """Print a result as JSON or as text, as the flags ask."""
        if self.as_json:
            print(json.dumps(result, ensure_ascii=False))
            return
        print(format_result(result, self.language))

    def fail(self, failure: Failure) -> NoReturn:
        """Print why the command failed and exit with the code of its kind."""
        message = messages.text(failure, language=self.language)
        if failure.detail and failure.kind is not Kind.NODE_UNREACHABLE:
            message = failure.detail
        if self.as_json:
            body = {"error": {"kind": failure.kind.value, "message": message}}
            print(json.dumps(body, ensure_ascii=False))
        else:
            print(message, file=sys.stderr)
        raise SystemExit(failure.answer.exit_code)
