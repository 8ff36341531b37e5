"""Build HTTP answers from replies and failures."""

import json
import math
from collections.abc import Callable, Iterator

from attrs import define

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
from comfreytray.common.errors import Failure, Kind

MessageFor = Callable[[Failure, str], str]
"""Returns a failure's text in a language that an Accept-Language value allows."""


@define(kw_only=True, eq=False)
class StreamedBody:
    """The WSGI body of a streamed answer; calls `on_end` when it is closed."""

    reply: Reply
    on_end: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        if self.reply.body:
            yield self.reply.body
        yield from self.reply.rest or ()

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


def encode_closing_refusal(
    outcome: Outcome, text: str, dialect: Dialect = NATIVE
) -> bytes:
    """Return a complete HTTP answer after which the connection closes."""
    status, headers, body = build_refusal(outcome, text, dialect)
    lines = [f"HTTP/1.1 {status}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.extend((f"{LENGTH_HEADER}: {len(body)}", "Connection: close", "", ""))
    return "\r\n".join(lines).encode("latin-1") + body


def buffer_reply(reply: Reply) -> Reply | Outcome:
    """Read a streamed answer into memory.

    For callers whose connection can't show that an answer was cut short.
    """
    parts = [reply.body]
    size = len(reply.body)
    try:
        for part in reply.rest or ():
            parts.append(part)
            size += len(part)
            if size > MAX_BODY_BYTES:
                return fail(Kind.ANSWER_CUT, "too large without a length")
    except CallCutError as error:
        return Outcome.of(error.failure)
    finally:
        reply.close()
    reply.body, reply.rest = b"".join(parts), None
    return reply
