"""Hand answers and refusals to the WSGI server."""

from collections.abc import Callable, Iterable
from typing import Any

from comfreytray.calls.answers import (
    AnswerTarget,
    MessageFor,
    StreamedBody,
    build_refusal,
    encode_refusal,
)
from comfreytray.calls.call import Outcome, Reply
from comfreytray.calls.dialect import Dialect
from comfreytray.calls.requestbodies import (
    close_after,
    close_behind_last,
    has_unread_body,
    has_unread_upload,
)
from comfreytray.common.errors import Failure
from comfreytray.common.metrics import Metrics

Environ = dict[str, Any]


class Responder:
    """Answers callers, in the words of one dialect."""

    def __init__(
        self, *, dialect: Dialect, metrics: Metrics, message_for: MessageFor
    ) -> None:
        self.dialect = dialect
        self.metrics = metrics
        self.message_for = message_for
        self.closes_connections = False
        """Whether connections of callers close behind the requests that were read."""

    def answer(
        self,
        environ: Environ,
        start_response: Callable[..., Any],
        reply: Reply,
        *,
        on_end: Callable[[], None],
    ) -> Iterable[bytes]:
        """Answer a call; `on_end` is called at the end of a streamed answer."""
        # After an early answer, the rest of a streamed body must not be read as a
        # request.
        if has_unread_upload(environ):
            close_after(environ)
        elif self.closes_connections:
            close_behind_last(environ)
        status = f"{reply.status} {reply.reason or 'Status'}"
        start_response(status, list(reply.headers))
        if reply.rest is None:
            return [reply.body]
        return StreamedBody(reply=reply, on_end=on_end, target=_target_of(environ))

    def refuse(
        self,
        environ: Environ,
        start_response: Callable[..., Any],
        outcome: Outcome,
    ) -> Iterable[bytes]:
        """Report to the caller why a call failed."""
        kind = outcome.failure.kind
        self.metrics.count(f"refused_{kind.value}")
        language = environ.get("HTTP_ACCEPT_LANGUAGE", "")
        text = self.message_for(outcome.failure, language)
        status, headers, body = build_refusal(outcome, text, self.dialect)
        if has_unread_body(environ):
            close_after(environ)
        elif self.closes_connections:
            close_behind_last(environ)
        start_response(status, headers)
        return [body]

    def encode_refusal(
        self,
        failure: Failure,
        accept_language: str,
        *,
        closes: bool = True,
        with_body: bool = True,
    ) -> bytes:
        """Return the complete HTTP response that reports a failure."""
        text = self.message_for(failure, accept_language)
        return encode_refusal(
            Outcome.of(failure), text, self.dialect, closes=closes, with_body=with_body
        )


def _target_of(environ: Environ) -> AnswerTarget | None:
    """Return where the answer to a request is written, if its server tells."""
    return getattr(environ.get("comfreytray.protocol"), "wfile", None)
