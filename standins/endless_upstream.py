"""An upstream whose answers never end or break off; run as a process."""

import itertools
import socket
import threading
import time
from collections.abc import Iterator

SLOW_PAUSE_S = 0.2
BLOCK_BYTES = 16_384
CALL_ID_FIELD = b"X-Attempt-Id: "
CALL_ID = b"{call-id}"
"""Stands for the id of the request that is answered."""
SUCCESS = (
    b"HTTP/1.1 200 Fine\r\nX-Response-Seal: s\r\n" + CALL_ID_FIELD + CALL_ID + b"\r\n"
)
ANSWER = SUCCESS + b"Content-Length: 2\r\n\r\nok"
WHOLE_BYTES = 200_000
WHOLE = SUCCESS + b"Content-Length: %d\r\n\r\n" % WHOLE_BYTES + b"w" * WHOLE_BYTES
OTHER_ANSWER = (
    b"HTTP/1.1 200 Fine\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
)
BLANKS = b" " * 4000
LATE_S = 1.5
"""Time after which the target `/late` is answered."""

PARTS_BY_KIND: dict[str, tuple[bytes, bytes]] = {
    "status-line": (b"HTTP/1.1 200 ", b"f"),
    "header-line": (SUCCESS + b"X-Long: ", b"a"),
    "headers": (SUCCESS, b"X-More: a\r\n"),
    "blanks": (SUCCESS + b"X-Note:", b" "),
    "blank-headers": (SUCCESS, b"A: c" + BLANKS + b"d\r\n"),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk-size": (SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
    "chunks": (SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\na\r\n"),
    "trailers": (SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-T: a\r\n"),
    "body": (SUCCESS + b"\r\n", b"a"),
    "long-body": (SUCCESS + b"Content-Length: 900000000000\r\n\r\n", b"a"),
    "other-answers": (b"", OTHER_ANSWER + b"1\r\na\r\n0\r\n\r\n"),
    "other-answer": (OTHER_ANSWER, b"1\r\na\r\n"),
    "junk": (b"", b"\x00\xff"),
}
"""What each kind of answer begins with, and what then repeats without end."""
CUT_BY_KIND: dict[str, bytes] = {
    "cut-blanks": SUCCESS + b"X-Note:" + BLANKS,
    "cut-value": SUCCESS + b"X-Note:" + BLANKS + b"a" + BLANKS,
}
"""Answers that break off with the connection."""


def _answer(target: str, call_id: bytes) -> Iterator[bytes]:
    """Yield the answer to a target such as `/trailers/slow`."""
    kind, _, speed = target.strip("/").partition("/")
    if kind in CUT_BY_KIND:
        yield CUT_BY_KIND[kind].replace(CALL_ID, call_id)
        raise ConnectionAbortedError
    if kind == "late":
        time.sleep(LATE_S)
    if kind == "whole":
        yield WHOLE.replace(CALL_ID, call_id)
        return
    if kind not in PARTS_BY_KIND:
        yield ANSWER.replace(CALL_ID, call_id)
        return
    first, repeated = PARTS_BY_KIND[kind]
    yield first.replace(CALL_ID, call_id)
    if speed == "slow":
        for byte in itertools.cycle(repeated):
            time.sleep(SLOW_PAUSE_S)
            yield bytes([byte])
    while True:
        yield repeated * (BLOCK_BYTES // len(repeated))


def _serve(sock: socket.socket) -> None:
    received = b""
    with sock:
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    part = sock.recv(BLOCK_BYTES)
                    if not part:
                        return
                    received += part
                head, _, received = received.partition(b"\r\n\r\n")
                call_id = head.partition(CALL_ID_FIELD)[2].partition(b"\r\n")[0]
                target = head.decode("latin-1").split(" ")[1]
                for part in _answer(target, call_id):
                    sock.sendall(part)
        except OSError:
            return


def main() -> None:
    """Serve on a free port of loopback, which is printed, until killed."""
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=_serve, args=(sock,), daemon=True).start()


if __name__ == "__main__":
    main()
