"""Callers with the habits that a planned stop may lose calls to."""

import contextlib
import itertools
import random
import socket
import threading
from typing import Any

import eventlet
from attrs import define, field, frozen

from soak.configuration import HOST
from soak.endings import Ending, SentCall
from soak.site import OUTBOUND, Site

LIMIT_S = 4.0
GIVE_UP_AFTER_S = LIMIT_S + 1.0
READ_BYTES = 65_536
REFUSED_PAUSE_S = 0.05
"""Pause after a node has refused a connection."""


@frozen(kw_only=True)
class Habit:
    """How a caller calls; ranges are drawn from for each call."""

    name: str
    callers: int = 1
    """Callers with this habit at each node."""
    ahead: tuple[int, int] = (1, 1)
    """Calls sent at once; those that are sent behind another are safe."""
    work_s: tuple[float, float] = (0.01, 0.05)
    answer_bytes: int = 0
    read_s: float = 0.0
    """Time over which an answer is read."""
    body_wait_s: tuple[float, float] | None = None
    """Time from the head to the body; None if there is no body."""
    keeps: bool = True
    """Whether the caller keeps its connection."""
    gap_s: tuple[float, float] = (0.0, 0.1)


HABITS = (
    Habit(name="single", callers=3),
    Habit(name="ahead", callers=2, ahead=(2, 4)),
    Habit(name="body", callers=2, body_wait_s=(0.1, 2.5)),
    Habit(name="long", callers=3, work_s=(0.5, 3.3)),
    Habit(name="longest", callers=3, work_s=(2.9, 3.3)),
    Habit(name="large", answer_bytes=3_000_000, read_s=2.0),
    Habit(name="new", callers=2, keeps=False, gap_s=(0.0, 0.03)),
)


class EndOfInputError(Exception):
    """Raised if a connection ends before the next byte of an answer."""


@define(kw_only=True, eq=False)
class Connection:
    """A connection to a node."""

    sock: Any
    reader: Any = field(init=False)
    calls: int = 0
    """Calls that were sent on it."""

    def __attrs_post_init__(self) -> None:
        self.reader = self.sock.makefile("rb")

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.reader.close()
        self.sock.close()

    def read_head(self) -> tuple[int, dict[str, str]]:
        """Read the head of an answer; return its status and its fields."""
        status = self._line().split(b" ")[1]
        fields: dict[str, str] = {}
        while line := self._line():
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.lower()] = value.strip()
        return int(status), fields

    def read_body(self, length: int, read_s: float) -> bytes:
        """Read a body over a time."""
        parts, left = [], length
        while left > 0:
            part = self.reader.read(min(left, READ_BYTES))
            if not part:
                raise EndOfInputError
            left -= len(part)
            parts.append(part)
            eventlet.sleep(read_s * len(part) / length)
        return b"".join(parts)

    def _line(self) -> bytes:
        line: bytes = self.reader.readline()
        if not line.endswith(b"\n"):
            raise EndOfInputError
        return line.rstrip(b"\r\n")


class HabitualCaller:
    """Call one node again and again, with one habit."""

    def __init__(self, *, site: Site, node: int, habit: Habit, name: str) -> None:
        self._site, self._node, self._habit, self._name = site, node, habit, name
        self._random = random.Random(f"{site.seed} {name}")
        self._numbers = itertools.count()
        self._connection: Connection | None = None

    def keep_calling(self, stop: threading.Event) -> None:
        """Call until told to stop."""
        while not stop.is_set():
            if self._connection is None:
                self._connection = self._connect()
            if self._connection is None:
                eventlet.sleep(REFUSED_PAUSE_S)
                continue
            if not self._call(self._connection) or not self._habit.keeps:
                self._connection.close()
                self._connection = None
            eventlet.sleep(self._random.uniform(*self._habit.gap_s))

    def _connect(self) -> Connection | None:
        address = self._site.hosts[self._node], OUTBOUND
        try:
            return Connection(sock=socket.create_connection(address, timeout=1.0))
        except OSError:
            return None

    def _call(self, connection: Connection) -> bool:
        """Make one call, or some at once; return whether the connection stays open."""
        connection.sock.settimeout(GIVE_UP_AFTER_S)
        number = self._random.randint(*self._habit.ahead)
        calls = [self._begin(connection, number, place) for place in range(number)]
        unread = list(calls)
        # An answer may come even where the call could not be sent whole.
        with contextlib.suppress(OSError):
            self._send(connection, calls)
        stays = True
        with eventlet.Timeout(GIVE_UP_AFTER_S, False):
            while unread and stays:
                stays = self._read_answer(connection, unread[0])
                read = unread.pop(0)
            for call in unread:
                call.is_behind_close = read.is_answered
                self._end(call, Ending.CLOSED)
            return stays
        for call in unread:
            self._end(call, Ending.GIVEN_UP)
        return False

    def _begin(self, connection: Connection, number: int, place: int) -> SentCall:
        is_kept = connection.calls > 0
        connection.calls += 1
        safe = number > 1 or (
            self._habit.body_wait_s is None and self._random.random() < 0.5
        )
        call = SentCall(
            call_id=f"{self._name}.{next(self._numbers)}",
            node=self._node,
            limit_s=LIMIT_S,
            is_kept=is_kept,
            is_behind=place > 0,
            is_safe=safe,
        )
        return self._site.endings.begin(call)

    def _send(self, connection: Connection, calls: list[SentCall]) -> None:
        connection.sock.sendall(b"".join(self._head(call) for call in calls))
        if self._habit.body_wait_s is not None:
            eventlet.sleep(self._random.uniform(*self._habit.body_wait_s))
            connection.sock.sendall(b"body")
        for call in calls:
            call.record_sent()

    def _head(self, call: SentCall) -> bytes:
        kind, method = ("safe", "GET") if call.is_safe else ("unsafe", "POST")
        work_ms = round(1000 * self._random.uniform(*self._habit.work_s))
        lines = [
            f"{method} /{kind}/work-{work_ms}-{self._habit.answer_bytes} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {call.call_id}",
            f"X-Deadline-Ms: {LIMIT_S * 1000:.0f}",
        ]
        if not call.is_safe:
            has_body = self._habit.body_wait_s is not None
            lines.append(f"Content-Length: {4 if has_body else 0}")
        return "\r\n".join([*lines, "", ""]).encode()

    def _read_answer(self, connection: Connection, call: SentCall) -> bool:
        """Read one answer; return whether another may follow."""
        status, body, ending = 0, b"", Ending.CLOSED
        fields: dict[str, str] = {}
        try:
            if connection.reader.peek(1):
                ending = Ending.CUT
                status, fields = connection.read_head()
                length = int(fields.get("content-length", 0))
                body = connection.read_body(length, self._habit.read_s)
                is_sealed = "x-response-seal" in fields
                ending = Ending.WHOLE if is_sealed else Ending.OWN
        except (OSError, EndOfInputError):
            status = 0
        self._end(call, ending, status, body, fields.get("x-attempt-id", ""))
        return status != 0 and fields.get("connection", "").lower() != "close"

    def _end(
        self,
        call: SentCall,
        ending: Ending,
        status: int = 0,
        body: bytes = b"",
        answered_id: str = "",
    ) -> None:
        self._site.endings.end(call, ending)
        self._site.promises.record_answer(
            call.call_id,
            idempotent=call.is_safe,
            status=status,
            body=body.rstrip(b"."),
            answered_id=answered_id,
        )
