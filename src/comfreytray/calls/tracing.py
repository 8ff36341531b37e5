"""Tracing: a span for each hop of a call, propagated as W3C trace context.

With tracing off, the SDK is not imported and a call costs one comparison.
"""

import sys
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack
from types import TracebackType
from typing import Any, Protocol

import eventlet

from comfreytray.calls.call import Call, Outcome, Reply
from comfreytray.common.repeating import repeat

MAX_QUEUED_SPANS = 2048
FLUSH_INTERVAL_S = 0.5
FLUSH_BATCH_SPANS = 200
"""Spans written at a time, before other greenlets run."""
STANDARD_OUTPUT = "-"
"""Path that stands for the standard output."""

Run = Callable[[Call], Reply | Outcome]


class Span(Protocol):
    """The span of one hop of a call."""

    traceparent: str

    def end(self, result: Reply | Outcome | None) -> None:
        """End the span; the result is None if the call raised an exception."""
        ...


class Tracer(Protocol):
    """Starts spans."""

    def begin(self, name: str, call: Call) -> Span:
        """Start a span as a child of the call's trace context."""
        ...


def traced(tracer: Tracer | None, name: str, call: Call, run: Run) -> Reply | Outcome:
    """Run a call, within a span of its own if tracing is on."""
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
    """A span of the OpenTelemetry SDK."""

    def __init__(self, span: Any) -> None:
        self._span = span
        context = span.get_span_context()
        self.traceparent = (
            f"00-{context.trace_id:032x}-{context.span_id:016x}"
            f"-{int(context.trace_flags):02x}"
        )

    def end(self, result: Reply | Outcome | None) -> None:
        """End the span; the result is None if the call raised an exception."""
        if isinstance(result, Reply):
            self._span.set_attribute("http.response.status_code", result.status)
        elif result is None:
            self._span.set_attribute("error.type", "given-up")
        else:
            self._span.set_attribute("error.type", result.failure.kind.value)
            self._span.set_attribute("comfreytray.ran", result.ran.value)
        self._span.end()


class SpanQueue:
    """A span processor that queues finished spans and drops those beyond its limit."""

    def __init__(
        self, *, write: Callable[[str], object], limit: int = MAX_QUEUED_SPANS
    ):
        self.write = write
        self.limit = limit
        self.dropped = 0
        self._spans: deque[Any] = deque()

    def on_start(self, span: Any, parent_context: Any = None) -> None:
        """Do nothing: only finished spans are processed."""

    def _on_ending(self, span: Any) -> None:
        """Do nothing: only finished spans are processed."""

    def on_end(self, span: Any) -> None:
        """Queue a finished span, or drop it if the queue is full."""
        if len(self._spans) >= self.limit:
            self.dropped += 1
            return
        self._spans.append(span)

    def flush(self) -> int:
        """Write a batch of queued spans as JSON lines; return how many."""
        count = min(FLUSH_BATCH_SPANS, len(self._spans))
        lines = [self._spans.popleft().to_json(indent=None) for _ in range(count)]
        if lines:
            self.write("\n".join(lines) + "\n")
        return count

    def shutdown(self) -> None:
        """Write all queued spans."""
        while self.flush():
            continue

    def force_flush(self, timeout_millis: int = 0) -> bool:
        """Write all queued spans."""
        self.shutdown()
        return True


class SdkTracer:
    """Creates spans with the OpenTelemetry SDK and writes them as JSON lines."""

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
        """Start a span as a child of the call's trace context."""
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
        repeat("spans", self._flush_some)

    def _flush_some(self) -> float:
        return 0.0 if self.queue.flush() else FLUSH_INTERVAL_S
