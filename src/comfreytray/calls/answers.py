"""Build HTTP answers from replies and failures."""

import itertools
import json
import math
from collections.abc import Callable, Iterator
from typing import Protocol

from attrs import define, field

from comfreytray.calls.call import (
    ERROR_HEADER,
    LENGTH_HEADER,
    MAX_BODY_BYTES,
    RAN_HEADER,
    CallCutError,
    Outcome,
    Reply,
    fail,
)
from comfreytray.calls.dialect import NATIVE, Dialect
from comfreytray.calls.transitmemory import ANSWERS_SHED, TransitMemory
from comfreytray.common.errors import Failure, Kind

MessageFor = Callable[[Failure, str], str]
"""Returns a failure's text in a language that an Accept-Language value allows."""


class AnswerTarget(Protocol):
    """Takes the bytes of an answer on their way to the caller."""

    is_started: bool
    """Whether any byte was sent to the caller."""
    failure: Failure | None
    """Why the answer was given up."""

    def wait_for_room(self) -> None:
        """Wait until a further part may be written."""
        ...

    def fail(self, failure: Failure) -> None:
        """Give the answer up, and report the failure in its place."""
        ...


@define(kw_only=True, eq=False)
class StreamedBody:
    """The WSGI body of a streamed answer; calls `on_end` when it is closed."""

    reply: Reply
    on_end: Callable[[], None]
    target: AnswerTarget | None = None

    def __iter__(self) -> Iterator[bytes]:
        try:
            if self.reply.body:
                body, self.reply.body = self.reply.body, b""
                yield body
                del body
            rest = iter(self.reply.rest or ())
            while (part := self._next(rest)) is not None:
                yield part
        except CallCutError as error:
            if self.target is not None and not self.target.is_started:
                self.target.fail(error.failure)
            raise

    def _next(self, rest: Iterator[bytes]) -> bytes | None:
        """Return the next part once it may be written; raises CallCutError."""
        if self.target is not None:
            self.target.wait_for_room()
            if self.target.failure is not None:
                raise CallCutError(self.target.failure)
        return next(rest, None)

    def close(self) -> None:
        """Release the resources of the answer, even if it was not read to its end."""
        self.reply.close()
        self.on_end()


def plain_message(failure: Failure, accept_language: str) -> str:
    """Return a failure's kind as its text, for use without a message catalogue."""
    del accept_language
    return failure.kind.value


def build_refusal(
    outcome: Outcome, text: str, dialect: Dialect = NATIVE
) -> tuple[str, list[tuple[str, str]], bytes]:
    """Return the status (code and reason), headers and body that report a failure."""
    failure = outcome.failure
    retry_after_s = failure.retry_after_s or failure.answer.retry_after_s
    status = dialect.status_of(outcome)
    headers = _challenge(failure, dialect)
    if not dialect.has_refusal_body:
        headers += _retry_after(retry_after_s)
        return f"{status} {failure.kind.value}", headers, b""
    if retry_after_s is not None and dialect.integer_retry_after:
        retry_after_s = math.ceil(retry_after_s)
    body = json.dumps(
        {
            "kind": failure.kind.value,
            "ran": outcome.ran.value,
            "message": text,
            "retry_after_s": retry_after_s,
        },
        ensure_ascii=False,
    ).encode()
    headers += [
        ("Content-Type", "application/json; charset=utf-8"),
        (ERROR_HEADER, failure.kind.value),
        (RAN_HEADER, outcome.ran.value),
    ]
    headers.extend(_retry_after(retry_after_s))
    return f"{status} {failure.kind.value}", headers, body


def _challenge(failure: Failure, dialect: Dialect) -> list[tuple[str, str]]:
    """Return the header that tells a caller without a valid key to send one."""
    if failure.kind is not Kind.UNKNOWN_KEY or not dialect.key_scheme:
        return []
    return [("WWW-Authenticate", dialect.key_scheme)]


def _retry_after(seconds: float | None) -> list[tuple[str, str]]:
    return [] if seconds is None else [("Retry-After", f"{seconds:.3g}")]


def encode_refusal(
    outcome: Outcome,
    text: str,
    dialect: Dialect = NATIVE,
    *,
    closes: bool,
    with_body: bool = True,
) -> bytes:
    """Return the complete HTTP answer that reports a failure.

    `closes` tells that the connection closes after it; an answer to a HEAD request has
    no body.
    """
    status, headers, body = build_refusal(outcome, text, dialect)
    lines = [f"HTTP/1.1 {status}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"{LENGTH_HEADER}: {len(body)}")
    if closes:
        lines.append("Connection: close")
    head = "\r\n".join((*lines, "", "")).encode("latin-1")
    return head + body if with_body else head


@define(kw_only=True, eq=False)
class _BufferedAnswer:
    """The parts of an answer that is read into memory whole."""

    held_bytes: int = 0
    parts: list[bytes] = field(factory=list)
    is_shed: bool = False

    def shed(self) -> None:
        """Give the answer up; it ends when its next part comes."""
        self.is_shed = True
        self.parts.clear()


def buffer_reply(reply: Reply, memory: TransitMemory) -> Reply | Outcome:
    """Read a streamed answer into memory.

    For callers whose connection can't show that an answer was cut short.
    """
    buffered = _BufferedAnswer()
    try:
        for part in itertools.chain((reply.body,), reply.rest or ()):
            buffered.parts.append(part)
            memory.hold(buffered, len(part))
            if buffered.is_shed:
                return Outcome.of(ANSWERS_SHED)
            if buffered.held_bytes > MAX_BODY_BYTES:
                return fail(Kind.ANSWER_CUT, "too large without a length")
        reply.body, reply.rest = b"".join(buffered.parts), None
    except CallCutError as error:
        return Outcome.of(error.failure)
    finally:
        memory.release(buffered, buffered.held_bytes)
        reply.close()
    return reply
