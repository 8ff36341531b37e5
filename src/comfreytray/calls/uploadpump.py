"""Move a streamed body to where its call runs, while the call waits for its answer."""

from types import TracebackType
from typing import Any, Protocol

import eventlet

from comfreytray.calls.call import Outcome, fail
from comfreytray.calls.uploads import Upload, UploadError
from comfreytray.common.errors import Failure, Kind


class Sink(Protocol):
    """Takes the parts of a body."""

    def wait_until_ready(self) -> None:
        """Wait until a part may be written."""
        ...

    def write_part(self, part: bytes, *, last: bool) -> None:
        """Write a part; raises OSError if the connection is lost."""
        ...

    def abort_upload(self) -> None:
        """End the call, as the rest of its body will not come."""
        ...


class UploadPump:
    """Reads the parts of a body and writes them, in a greenlet of its own."""

    def __init__(self, *, upload: Upload, sink: Sink) -> None:
        self.failure: Failure | None = None
        """Why the body broke off."""
        self._upload = upload
        self._sink = sink
        self._first = b""
        self._greenlet: Any = None

    def __enter__(self) -> "UploadPump":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def read_first(self) -> bool:
        """Wait for the first part, which is written after the start."""
        try:
            self._first = self._upload.read()
        except UploadError as error:
            self.failure = error.failure
        return self.failure is None

    def start(self) -> None:
        """Begin to move the body."""
        self._greenlet = eventlet.spawn(self._run)

    def stop(self) -> None:
        """End the sending, also within a part."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def outcome(self, *, sent: bool) -> Outcome:
        """Return the outcome of a call whose body broke off.

        `sent` tells whether any of it may have reached the upstream.
        """
        failure = self.failure or Failure(kind=Kind.BODY_CUT)
        if not sent:
            return Outcome.of(failure)
        if failure.kind is Kind.DEADLINE_BEFORE_RUN:
            outcome = fail(Kind.DEADLINE_WHILE_RUNNING, "within the body")
        else:
            outcome = fail(Kind.BODY_CUT, f"{failure.kind.value}: {failure.detail}")
        outcome.sent = True
        return outcome

    def _run(self) -> None:
        try:
            if self._first:
                self._sink.write_part(self._first, last=self._upload.complete)
                self._first = b""
            while not self._upload.complete:
                self._sink.wait_until_ready()
                part = self._upload.read()
                self._sink.write_part(part, last=self._upload.complete)
                # Neither a read nor a write waits where both ends are fast.
                eventlet.sleep(0)
        except UploadError as error:
            self.failure = error.failure
            self._sink.abort_upload()
        except OSError:
            # The greenlet that waits for the answer sees the loss, too, and may find
            # an answer that was sent before it.
            return
