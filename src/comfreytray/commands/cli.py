"""The command line: the node daemon and the operator's commands.

Every command takes the settings as flags (`--admin_url=…`, `--language=fr`), and
`--json` for machine-readable output. Exit codes are listed in docs/OPERATORS.md.
"""

import contextlib
import json
import os
import sys
import time
import warnings
from pathlib import Path
from typing import NoReturn

import fire

from comfreytray.administration.api import to_jsonable
from comfreytray.commands import display
from comfreytray.commands.inquiries import parse_inquiry
from comfreytray.commands.session import Session
from comfreytray.common import messages, settings
from comfreytray.common.errors import EXIT_NOT_YET_IN_FORCE, EXIT_USAGE, Failure
from comfreytray.common.exceptions import SettingError

POLL_INTERVAL_S = 0.2
WAIT_TIMEOUT_S = 60.0


def _read_text(file: str) -> str:
    return sys.stdin.read() if file == "-" else Path(file).read_text("utf-8")


class _ItemCommands:
    """List, show, check, edit, remove and compare templates or customers."""

    def __init__(self, kind: str) -> None:
        self._kind = kind

    def list(self, **flags: object) -> None:
        """List the items of the newest version.

        Example: comfreytray template list --language=fr
        """
        Session(flags).run(
            lambda client: client.ask("GET", "items", self._kind), display.items
        )

    def show(self, name: str, version: int | None = None, **flags: object) -> None:
        """Show one item in the language of --language.

        Example: comfreytray customer show clb-ha-noi --language=vi
        """
        session = Session(flags)
        query: dict[str, object] = {"version": version, "language": session.language}
        session.run(
            lambda client: client.ask("GET", "items", self._kind, name, query=query),
            display.item,
        )

    def check(self, name: str, file: str, **flags: object) -> None:
        """Check a file (- for standard input) without changing anything.

        Example: comfreytray template check dat-san dat-san.yaml
        """
        body = _read_text(file).encode()
        Session(flags).run(
            lambda client: client.ask(
                "POST", "items", self._kind, name, "check", body=body
            ),
            display.check,
        )

    def edit(
        self, name: str, file: str, base: str | None = None, **flags: object
    ) -> None:
        """Accept a file as the item's new text; --base refuses a concurrent change.

        Example: comfreytray customer edit clb-hue clb-hue.yaml --operator=lan
        """
        body = _read_text(file).encode()
        Session(flags).change("PUT", "items", self._kind, name, body=body, base=base)

    def remove(self, name: str, **flags: object) -> None:
        """Remove an item in a new version.

        Example: comfreytray customer remove clb-hue --operator=lan
        """
        Session(flags).change("DELETE", "items", self._kind, name)

    def diff(
        self, name: str, from_version: int, to_version: int, **flags: object
    ) -> None:
        """Show what changed in an item between two versions.

        Example: comfreytray template diff dat-san 3 5
        """
        query: dict[str, object] = {"from": from_version, "to": to_version}
        Session(flags).run(
            lambda client: client.ask(
                "GET", "items", self._kind, name, "diff", query=query
            ),
            display.diff,
        )


class Commands:
    """Comfreytray: configuration for a service mesh, in each operator's language."""

    def __init__(self) -> None:
        self.template = _ItemCommands("template")
        self.customer = _ItemCommands("customer")

    def node(self, **flags: object) -> None:
        """Run the node of an upstream instance until it receives a stop signal.

        Example: comfreytray node --region=mien-bac --data_centre=ha-noi-1
        """
        # The users require Eventlet, so its deprecation warning only fills their logs.
        warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
        import eventlet

        eventlet.monkey_patch()
        from comfreytray.node.daemon import run

        raise SystemExit(run(settings.load(flags, os.environ)))

    def load(self, folder: str, **flags: object) -> None:
        """Accept all templates and customers of a folder as one version.

        Example: comfreytray load examples/clubs --operator=lan
        """
        from comfreytray.configuration.folders import read_folder

        session = Session(flags)
        items = read_folder(Path(folder), language=session.language)
        if isinstance(items, Failure):
            session.fail(items)
        body = json.dumps(to_jsonable(items)).encode()
        session.change("POST", "load", body=body)

    def versions(self, limit: int = 20, **flags: object) -> None:
        """List the newest versions.

        Example: comfreytray versions --limit=5
        """
        Session(flags).run(
            lambda client: client.ask("GET", "versions", query={"limit": limit}),
            display.versions,
        )

    def roll_back(self, version: int, **flags: object) -> None:
        """Accept the content of an older version as a new version.

        Example: comfreytray roll_back 4 --operator=lan
        """
        Session(flags).change("POST", "versions", str(version), "roll-back")

    def status(
        self, version: int | None = None, wait: bool = False, **flags: object
    ) -> None:
        """Show the rollout of a version; --wait until it is in force everywhere.

        Example: comfreytray status 7 --wait --language=vi
        """
        session = Session(flags)
        name = "newest" if version is None else str(version)
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        shown = ""
        with session.client() as client:
            while True:
                result = client.ask("GET", "versions", name, "status")
                if isinstance(result, Failure):
                    session.fail(result)
                if not wait or result["complete"] or time.monotonic() > deadline:
                    break
                progress = display.status(result, session.language)
                if progress != shown and not session.as_json:
                    print(progress, file=sys.stderr)
                shown = progress
                time.sleep(POLL_INTERVAL_S)
        session.print(result, display.status)
        if not result["complete"]:
            raise SystemExit(EXIT_NOT_YET_IN_FORCE)

    def nodes(self, **flags: object) -> None:
        """List the nodes that the node at --admin_url knows.

        Example: comfreytray nodes --json
        """
        Session(flags).run(lambda client: client.ask("GET", "nodes"), display.nodes)

    def endpoints(self, **flags: object) -> None:
        """List the endpoints that take calls, by service.

        Example: comfreytray endpoints --language=fr
        """
        Session(flags).run(
            lambda client: client.ask("GET", "endpoints"), display.endpoints
        )

    def circuits(self, **flags: object) -> None:
        """Show the state of calls: calls in flight, ejected endpoints, limits.

        Example: comfreytray circuits
        """
        Session(flags).run(lambda client: client.ask("GET", "circuits"), display.tree)

    def holds(self, **flags: object) -> None:
        """List the requests that are held back, since instances end under them.

        Example: comfreytray holds
        """
        Session(flags).run(lambda client: client.ask("GET", "holds"), display.holds)

    def release(self, request: str, **flags: object) -> None:
        """Let a request run again, by the name that `holds` lists.

        Example: comfreytray release r21b7adbacee73eb0a2f6b4b878f9824d
        """
        Session(flags).run(
            lambda client: client.ask("DELETE", "holds", str(request)), display.tree
        )

    def explain(
        self, method: str, url: str, headers: str = "", body: str = "", **flags: object
    ) -> None:
        """Show where a request would be sent now and why, without sending it.

        `--headers` takes "Name: value; Name: value", `--body` a file (- for standard
        input).

        Example: comfreytray explain GET hanoi.canhdieu.example/san/me-tri/lich
        """
        text = _read_text(body) if body else ""
        inquiry = parse_inquiry(method, url, headers=str(headers), body=text)
        data = json.dumps(inquiry).encode()
        Session(flags).run(
            lambda client: client.ask("POST", "explain", body=data),
            display.explanation,
        )

    def metrics(self, **flags: object) -> None:
        """Show the counters, byte counts and durations of a node.

        Example: comfreytray metrics --json
        """
        Session(flags).run(lambda client: client.ask("GET", "metrics"), display.tree)

    def settings(self, **flags: object) -> None:
        """Print the effective settings, with secrets masked.

        Example: comfreytray settings --language=vi
        """
        session = Session(flags)
        session.print(settings.effective(session.settings), display.tree)


_HELP_FLAGS = frozenset({"--help", "-h"})


def _show_help(words: list[str]) -> NoReturn:
    """Show the help of a command, then the settings that every command takes."""
    with contextlib.suppress(SystemExit):
        fire.Fire(Commands, command=[*words, "--", "--help"], name="comfreytray")
    print("SETTINGS")
    for name, default, text in settings.describe():
        print(f"    --{name}={default}  {text}".rstrip())
    raise SystemExit(0)


def main() -> None:
    """Run the command line."""
    arguments = sys.argv[1:]
    if _HELP_FLAGS & set(arguments):
        _show_help([word for word in arguments if not word.startswith("-")])
    try:
        fire.Fire(Commands, name="comfreytray")
    except SettingError as error:
        language = os.environ.get("COMFREYTRAY_LANGUAGE", "en")
        supported = language if language in ("vi", "fr", "en") else "en"
        print(messages.text(error.failure, language=supported), file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from None
    except FileNotFoundError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from None
