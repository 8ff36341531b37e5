"""Send a streamed body to the node beside an upstream."""

from collections.abc import Callable

from comfreytray.calls.call import Call, Outcome, Reply, fail
from comfreytray.calls.streams import CallStream, CallStreams
from comfreytray.calls.streamwriter import Writer
from comfreytray.calls.uploadpump import UploadPump
from comfreytray.calls.uploads import PART_BYTES, Upload
from comfreytray.common.errors import Kind
from comfreytray.common.signals import Signal

UPLOADS_TOPIC = "uploads"
"""Topic of the message by which a node finds out whether another takes bodies in
parts. Nodes of earlier versions would close the connection at the first such frame."""
MAX_OUTBOX_BYTES = 131_072
"""Unsent bytes on a connection above which bodies wait, so that a call without one
does not queue behind many bodies."""
WAIT_S = 1.0
"""Time after which a waiting body looks again; it is woken before."""


class StreamSink:
    """Writes the parts of a body to a call stream, within the owner's credit."""

    def __init__(
        self, *, streams: CallStreams, stream: CallStream, writer: Writer
    ) -> None:
        self.has_sent = False
        """Whether any part was sent."""
        self._streams = streams
        self._stream = stream
        self._writer = writer
        self._signal = Signal()
        stream.notify_credit = self._signal.fire

    def wait_until_ready(self) -> None:
        """Wait for credit for a part, and until few bytes wait on the connection."""
        while self._stream.upload_credit < PART_BYTES:
            self._signal.wait(WAIT_S)
        while self._streams.outbox.size > MAX_OUTBOX_BYTES:
            self._writer.drain_waiters.append(self._signal.fire)
            self._signal.wait(WAIT_S)

    def write_part(self, part: bytes, *, last: bool) -> None:
        """Send a part; raises OSError if the connection is lost."""
        if self._streams.closed:
            raise ConnectionError("call stream is closed")
        self.has_sent = True
        self._streams.send_part(self._stream, part, last=last)
        self._writer.flush()

    def abort_upload(self) -> None:
        """Cancel the call, unless its answer is already there."""
        if self._stream.status or self._stream.outcome is not None:
            return
        self._streams.cancel(self._stream)
        if not self._streams.closed:
            self._writer.flush()
        self._stream.outcome = fail(Kind.BODY_CUT)
        self._stream.notify()


def send_upload(
    upload: Upload, sink: StreamSink, wait_for_head: Callable[[], Reply | Outcome]
) -> Reply | Outcome:
    """Send a body until the answer begins, and return the answer."""
    with UploadPump(upload=upload, sink=sink) as pump:
        pump.start()
        result = wait_for_head()
    if pump.failure is not None and isinstance(result, Outcome):
        return pump.outcome(sent=sink.has_sent)
    return result


def ask_for_uploads(call: Call) -> Call:
    """Return the message that asks a node whether it takes bodies in parts."""
    return Call(
        service="",
        customer="",
        share=1.0,
        method="POST",
        target=UPLOADS_TOPIC,
        headers=(),
        body=b"",
        deadline=call.deadline,
        idempotent=True,
    )
