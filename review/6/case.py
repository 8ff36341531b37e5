"""Clients that send further safe requests, behind a link that loses packets."""

import os
import random
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOSS = 0.025
"""Share of the packets that the link loses, as the site file has it for `lossy`."""
RETRANSMIT_S = 0.1
"""Time after which a lost packet comes again; kernels take 0.2 s or more where few
packets follow it, and less where many do."""
PACKET_BYTES = 1460
WINDOW_BYTES = 16_384
CLIENTS = 8
LASTS_S = 5.5
"""Length of the disturbance, as in the site file."""
CALM_S = 2.0
WORK = ((0.3, 2_000), (0.05, 400_000), (0.5, 2_000), (1.5, 2_000))
"""Seconds of work and size of the answer for each request of a connection. The largest
answers of a `download` have 540 KB."""


def handle(endpoint: rig.Endpoint, request: rig.Request, sock: socket.socket) -> bytes:
    """Run a request: work for a moment and answer with a body that names it."""
    endpoint.ran(request)
    work_s, size = WORK[int(request.target.rpartition("/")[2])]
    time.sleep(work_s)
    name = request.attempt_id.encode()
    return rig.answer(request, 200, (name * (size // len(name) + 1))[:size])


class Link:
    """The link between a client and its node: a proxy that delays what is lost."""

    def __init__(self, node: tuple[str, int]) -> None:
        self.node = node
        self.loses = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, _ = self.listener.accept()
            up = socket.socket()
            up.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            up.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, PACKET_BYTES)
            up.connect(self.node)
            for sock in (client, up):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pairs = ((client, up, False), (up, client, True))
            for source, target, answers in pairs:
                threading.Thread(
                    target=self._pass_on, args=(source, target, answers), daemon=True
                ).start()

    def _pass_on(
        self, source: socket.socket, target: socket.socket, answers: bool
    ) -> None:
        try:
            while part := source.recv(PACKET_BYTES):
                if answers and self.loses and random.random() < LOSS:
                    time.sleep(RETRANSMIT_S)
                target.sendall(part)
        except OSError:
            pass
        for sock in (source, target):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


class Client:
    """Sends some safe requests at once on one connection and reads the answers."""

    def __init__(self, link: Link, record: rig.Record) -> None:
        self.link = link
        self.record = record
        self.answered = 0
        self.foreign: list[tuple[str, str]] = []
        """The id of each request that got the answer to another, and that one's."""

    def run(self, until: float) -> None:
        """Send again and again until a time."""
        while time.monotonic() < until:
            ids = [rig.new_id() for _ in WORK]
            try:
                with socket.create_connection(self.link.address, timeout=5.0) as sock:
                    self._exchange(sock, ids)
            except OSError as error:
                self.record.line(f"client lost a connection: {type(error).__name__}")

    def _exchange(self, sock: socket.socket, ids: list[str]) -> None:
        for number, attempt_id in enumerate(ids):
            self.record.line(f"sent {attempt_id}")
            sock.sendall(
                rig.request_bytes(
                    "GET", f"/albums/{number}", attempt_id, deadline_ms=4470
                )
            )
        buffer = bytearray()
        for attempt_id in ids:
            message = rig.read_message(sock, buffer)
            if message is None:
                self.record.line(f"no answer to {attempt_id}")
                return
            answer = rig.Answer(*message)
            named = answer.headers.get("x-attempt-id", "")
            body_of = answer.body[:16].decode("latin-1")
            self.record.line(
                f"answered {attempt_id}: status {answer.status}, named {named},"
                f" {len(answer.body)} bytes of {body_of}"
            )
            self.answered += 1
            if answer.status == 200 and body_of != attempt_id:
                self.foreign.append((attempt_id, body_of))


def main() -> int:
    """Play the case; return the exit code."""
    machines = [("hanoi-a", "mien-bac", "huvo11a"), ("hanoi-b", "mien-bac", "huvo11a")]
    with rig.deployment(
        str(Path(__file__).resolve().parent), machines=machines, handle=handle
    ) as (record, store, nodes, _, _):
        route = {
            "name": "r-ji9n73h",
            "path_prefix": "/albums/",
            "type": "safe",
            "timeout_s": 4.47,
            "service": "huvo11a",
        }
        store.write("config", "main", rig.configuration(7, [route], {"huvo11a": 110}))
        rig.start_all(nodes)
        time.sleep(2.0)
        links = [Link(nodes[n % 2].outbound) for n in range(CLIENTS)]
        clients = [Client(link, record) for link in links]
        until = time.monotonic() + CALM_S + LASTS_S + CALM_S
        threads = [threading.Thread(target=c.run, args=(until,)) for c in clients]
        for thread in threads:
            thread.start()
        time.sleep(CALM_S)
        for link in links:
            link.loses = TROUBLE
        record.line(f"links lose {LOSS if TROUBLE else 0} of the packets")
        time.sleep(LASTS_S)
        for link in links:
            link.loses = False
        record.line("links lose nothing")
        for thread in threads:
            thread.join()
        answered = sum(client.answered for client in clients)
        foreign = [pair for client in clients for pair in client.foreign]
        for asked, got in foreign:
            record.line(f"BROKEN: request {asked} got the answer to {got}")
        record.line(f"{answered} answers, {len(foreign)} of them foreign")
        print(f"{answered} answers, {len(foreign)} of them foreign")
        if answered < 20:
            return rig.EXIT_NOT_RUN
        return rig.EXIT_BROKEN if foreign else rig.EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
