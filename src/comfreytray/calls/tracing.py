"""Spans of calls: one for each hop, W3C trace context in and out.

With tracing off nothing of the SDK is imported and a call pays one comparison.
"""

import sys
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack
from types import TracebackType
from typing import Any, Protocol

import eventlet

from comfreytray.calls.call import Call, Outcome, Reply
from comfreytray.common import logs

QUEUE_SPANS = 2048
FLUSH_INTERVAL_S = 0.5
FLUSH_SPANS = 200
"""Spans written at a time before other greenlets get their turn."""
STANDARD_OUTPUT = "-"

Run = Callable[[Call], Reply | Outcome]


class Span(Protocol):
    """Stand for one hop of a call."""

    traceparent: str

    def end(self, result: Reply | Outcome | None) -> None:
        """Finish with the result, or with None when the call was given up."""
        ...


class Tracer(Protocol):
    """Begin spans."""

    def begin(self, name: str, call: Call) -> Span:
        """Begin a span under the call's own parent."""
        ...


def traced(tracer: Tracer | None, name: str, call: Call, run: Run) -> Reply | Outcome:
    """Run a call within a span of its own, if tracing is on."""
    if tracer is None:
        return run(call)
    span = tracer.begin(name, call)
    parent, call.trace = call.trace, span.traceparent
    result: Reply | Outcome | None = None
    try:
        result = run(call)
    finally:
        call.trace = parent
        span.end(result)
    return result


class _SdkSpan:
    """Wrap a span of the SDK."""

    def __init__(self, span: Any) -> None:
        self._span = span
        context = span.get_span_context()
        self.traceparent = (
            f"00-{context.trace_id:032x}-{context.span_id:016x}"
            f"-{int(context.trace_flags):02x}"
        )

    def end(self, result: Reply | Outcome | None) -> None:
        """Finish with the result, or with None when the call was given up."""
        if isinstance(result, Reply):
            self._span.set_attribute("http.response.status_code", result.status)
        elif result is None:
            self._span.set_attribute("error.type", "given-up")
        else:
            self._span.set_attribute("error.type", result.failure.kind.value)
            self._span.set_attribute("comfreytray.ran", result.ran.value)
        self._span.end()


class SpanQueue:
    """Keep finished spans until they are written; drop rather than wait."""

    def __init__(self, *, write: Callable[[str], object], limit: int = QUEUE_SPANS):
        self.write = write
        self.limit = limit
        self.dropped = 0
        self._spans: deque[Any] = deque()

    def on_start(self, span: Any, parent_context: Any = None) -> None:
        """Take no notice of a span that begins."""

    def _on_ending(self, span: Any) -> None:
        """Take no notice of a span that is about to end."""

    def on_end(self, span: Any) -> None:
        """Keep a finished span, or drop it when the queue is full."""
        if len(self._spans) >= self.limit:
            self.dropped += 1
            return
        self._spans.append(span)

    def flush(self) -> int:
        """Write some of the spans and return how many."""
        count = min(FLUSH_SPANS, len(self._spans))
        lines = [self._spans.popleft().to_json(indent=None) for _ in range(count)]
        if lines:
            self.write("\n".join(lines) + "\n")
        return count

    def shutdown(self) -> None:
        """Write all that is left."""
        while self.flush():
            continue

    def force_flush(self, timeout_millis: int = 0) -> bool:
        """Write all that is left."""
        self.shutdown()
        return True


class SdkTracer:
    """Make spans with the OpenTelemetry SDK and write them as JSON lines."""

    def __init__(self, *, path: str, node_id: str) -> None:
        self.path = path
        self.node_id = node_id
        self._stack = ExitStack()

    def __enter__(self) -> "SdkTracer":
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.sampling import ALWAYS_ON, ParentBased
        from opentelemetry.trace import SpanKind
        from opentelemetry.trace.propagation import tracecontext

        out = self._open()
        self.queue = SpanQueue(write=out)
        resource = {"service.name": "comfreytray", "service.instance.id": self.node_id}
        provider = TracerProvider(
            sampler=ParentBased(ALWAYS_ON),
            resource=Resource(resource),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self.queue)  # type: ignore[arg-type]
        self._tracer = provider.get_tracer("comfreytray")
        self._propagator = tracecontext.TraceContextTextMapPropagator()
        self._kind = SpanKind.SERVER
        flusher = eventlet.spawn(self._flush)
        self._stack.callback(self.queue.shutdown)
        self._stack.callback(flusher.kill)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()

    def begin(self, name: str, call: Call) -> Span:
        """Begin a span under the call's own parent."""
        context = self._propagator.extract({"traceparent": call.trace})
        attributes = {
            "http.request.method": call.method,
            "comfreytray.customer": call.customer,
            "comfreytray.service": call.service,
        }
        return _SdkSpan(
            self._tracer.start_span(
                name, context=context, kind=self._kind, attributes=attributes
            )
        )

    def _open(self) -> Callable[[str], object]:
        if self.path == STANDARD_OUTPUT:
            return sys.stdout.write
        return self._stack.enter_context(open(self.path, "a", buffering=1)).write

    def _flush(self) -> None:
        while True:
            eventlet.sleep(FLUSH_INTERVAL_S)
            try:
                while self.queue.flush():
                    eventlet.sleep(0)
            except OSError as error:
                logs.warn(logs.Event.INTERNAL_ERROR, error=repr(error))
