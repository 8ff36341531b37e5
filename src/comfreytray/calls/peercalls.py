"""Messages between nodes that share the call streams with the calls."""

from collections.abc import Callable
from typing import Protocol

from comfreytray.calls.call import Call, Outcome, Reply, fail
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.records import NodeRecord

SERVICE = ""
"""Service of the calls that carry messages; real services have names."""

Handler = Callable[[bytes], bytes | Failure]
"""Takes a message of another node and returns the answer, or why it is refused."""


class CallSender(Protocol):
    """Sends calls to the node beside an endpoint."""

    def call(self, record: NodeRecord, call: Call) -> Reply | Outcome:
        """Run a call at another node."""
        ...


class PeerCalls:
    """Sends messages to other nodes by topic, and hands theirs to the handlers."""

    def __init__(self, *, client: CallSender, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._handler_by_topic: dict[str, Handler] = {}

    def register(self, topic: str, handler: Handler) -> None:
        """Handle the messages of a topic from now on."""
        self._handler_by_topic[topic] = handler

    def ask(
        self, record: NodeRecord, topic: str, message: bytes, *, timeout_s: float
    ) -> bytes | Failure:
        """Send a message to a node and wait for its answer, at most `timeout_s`."""
        call = Call(
            service=SERVICE,
            customer="",
            share=1.0,
            method="POST",
            target=topic,
            headers=(),
            body=message,
            deadline=self._clock.monotonic() + timeout_s,
            idempotent=True,
        )
        result = self._client.call(record, call)
        if isinstance(result, Outcome):
            return result.failure
        if result.rest is not None:
            result.close()
            return Failure(kind=Kind.FRAME_TOO_LARGE, detail="answer of a node")
        return result.body

    def answer(self, call: Call) -> Reply | Outcome:
        """Answer a message of another node."""
        handler = self._handler_by_topic.get(call.target)
        if handler is None:
            return fail(Kind.BAD_REQUEST, f"no handler for {call.target!r:.60}")
        answer = handler(call.body)
        if isinstance(answer, Failure):
            logs.warn(logs.Event.FRAME_REFUSED, topic=call.target, reason=answer.detail)
            return Outcome.of(answer)
        return Reply(status=200, reason="Taken", headers=(), body=answer)
