import random
import tempfile
import time
from pathlib import Path

import eventlet
from behave import given, then, when
from eventlet.green import socket
from misbehaving_rig import (
    AFTERWARDS_S,
    CONTROL,
    INBOUND,
    MAX_FDS,
    MEMORY_MB,
    OUTBOUND,
    PATIENCE_S,
    PORT_BY_NAME,
    READY,
    REPLICATION,
    RESERVED_FDS,
    START_S,
    Crowd,
    Mesh,
    call,
    digest_answer,
    head_of,
    padded_head_of,
    post,
    send_until_stuck,
)

MIB = 1_048_576
SETTLE_S = 8.0
"""Longest wait for a crowd to have sent what the node takes."""
HOLD_S = 5.0
"""Time in which the node works on what a crowd has sent ahead."""
TRICKLE_S = 5.0
READINESS = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
MAX_HEAD_BYTES = 16_384
FRAME_BYTES_BY_PORT = {"nodes": 1_200_000, "replication": 4_000_000}
"""Sizes of frames, inside what the nodes allow each other."""


def _start(context, machines):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.mesh = Mesh(machines=machines, folder=Path(folder.name))
    context.add_cleanup(context.mesh.close)
    context.machine = context.mesh.machines[0]
    context.crowd = Crowd(context.machine.host)
    for machine in context.mesh.machines:
        answer = _call_until_answered(machine, START_S)
        assert answer == 200, (answer, machine.log_tail())


def _call_until_answered(machine, wait_s):
    """Try an ordinary call again until it is answered; return the last status."""
    end = time.monotonic() + wait_s
    status = None
    while status != 200 and time.monotonic() < end:
        left_s = end - time.monotonic()
        status, _ = call(machine.host, post("/a/x", b"hi"), patience_s=left_s)
        eventlet.sleep(0.05)
    return status


@given("a node on a machine of 64 MB")
def start_one(context):
    _start(context, 1)


@given("two nodes on machines of 64 MB")
def start_two(context):
    _start(context, 2)


def _shown(context):
    """Return what the machine of the node shows, for a message."""
    machine = context.machine
    if not machine.is_alive:
        return "the process has ended", machine.log_tail()
    rss, peak = machine.memory_mb()
    return f"rss={rss:.1f} MB, peak={peak:.1f} MB, most sockets={machine.most_sockets}"


def _send_whole(sizes):
    """Return the script of a client that sends one body of a size, whole."""

    def script(sock, number):
        send_until_stuck(sock, post("/a/up", bytes(sizes[number % len(sizes)])))

    return script


def _send_short(sizes):
    """Return the script of a client that holds the last bytes of a body back."""

    def script(sock, number):
        send_until_stuck(sock, post("/a/up", bytes(sizes[number % len(sizes)]))[:-100])

    return script


def _send_pieces(sock, number):
    """Send 900 KB in chunks, and no end."""
    del number
    sock.sendall(head_of("/a/up", method="POST", fields=["Transfer-Encoding: chunked"]))
    for _ in range(30):
        send_until_stuck(sock, b"7530\r\n" + bytes(30_000) + b"\r\n")
        eventlet.sleep(0.02)


def _send_ahead(data, count):
    """Return the script of a client that sends requests ahead and reads nothing."""

    def script(sock, number):
        del number
        send_until_stuck(sock, data * count)

    return script


@when("40 callers send bodies of 1 MiB and 16 MB at once")
def send_whole(context):
    context.crowd.add(40, _send_whole((MIB, 16_000_000)))
    context.crowd.settle(SETTLE_S)


@when("60 callers send bodies of 1 MiB and 8 MB but for the last bytes")
def send_short(context):
    context.crowd.add(60, _send_short((MIB, 8_000_000)))
    context.crowd.settle(SETTLE_S)


@when("60 callers send bodies of 8 MB but for the last bytes")
def send_streams_short(context):
    context.crowd.add(60, _send_short((8_000_000,)))
    context.crowd.settle(SETTLE_S)


@when("60 callers send chunked bodies piece by piece and stall")
def send_pieces(context):
    context.crowd.add(60, _send_pieces)
    context.crowd.settle(SETTLE_S)


@when(
    "{clients:d} clients send {count:d} requests of {size:d} bytes for {path} ahead "
    "to the {place} port and read nothing"
)
def send_ahead(context, clients, count, size, path, place):
    script = _send_ahead(padded_head_of(path, size), count)
    context.crowd.add(clients, script, port=PORT_BY_NAME[place])
    context.crowd.settle(SETTLE_S)
    eventlet.sleep(HOLD_S)


@when(
    "80 clients each connect to the readiness, heartbeats and metrics ports "
    "and send nothing"
)
def connect_to_interfaces(context):
    for place in ("readiness", "heartbeats", "metrics"):
        context.crowd.add(80, lambda sock, number: None, port=PORT_BY_NAME[place])
    context.crowd.settle(SETTLE_S)
    eventlet.sleep(0.5)


@when("100 clients send random bytes or nothing to the nodes and replication ports")
def send_random(context):
    def script(sock, number):
        if number % 2:
            send_until_stuck(sock, random.Random(number).randbytes(200_000))

    for place in ("nodes", "replication"):
        context.crowd.add(50, script, port=PORT_BY_NAME[place])
    context.crowd.settle(SETTLE_S)


@when(
    "60 clients send frames but for the last bytes to the nodes and replication ports"
)
def send_frames_short(context):
    for place, size in FRAME_BYTES_BY_PORT.items():
        # An array of two: a number, and bytes of which some never come.
        data = b"\x92\x01\xc6" + size.to_bytes(4, "big") + bytes(size - 100)
        context.crowd.add(
            30,
            lambda sock, _, data=data: send_until_stuck(sock, data),
            port=PORT_BY_NAME[place],
        )
    context.crowd.settle(SETTLE_S)


@when("350 clients connect to the {place} port and send nothing")
def connect_silently(context, place):
    context.crowd.add(350, lambda sock, number: None, port=PORT_BY_NAME[place])
    context.crowd.settle(SETTLE_S)
    eventlet.sleep(0.5)


@when("80 callers send a head or a body byte by byte")
def trickle(context):
    def script(sock, number):
        data = post("/a/up", bytes(MIB))
        first = 20 if number % 2 else len(data) - MIB
        sock.sendall(data[:first])
        for at in range(first, first + int(TRICKLE_S / 0.2)):
            sock.sendall(data[at : at + 1])
            eventlet.sleep(0.2)

    context.crowd.add(80, script)
    context.crowd.settle(SETTLE_S)


@when("40 callers read answers of 4 MB byte by byte")
def read_slowly(context):
    def script(sock, number):
        sock.sendall(head_of("/a/large", attempt=f"q-{number}"))
        for _ in range(int(TRICKLE_S / 0.05)):
            sock.recv(1)
            eventlet.sleep(0.05)

    context.crowd.add(40, script)
    context.crowd.settle(SETTLE_S)


@when("20 clients open and close 50 connections each at every port")
def open_and_close(context):
    def script(sock, number):
        sock.close()
        for turn in range(50):
            for port in (OUTBOUND, INBOUND, READY, CONTROL, REPLICATION):
                other = socket.create_connection((context.machine.host, port))
                if (number + turn) % 2:
                    other.sendall(b"GET /a/x HT")
                other.close()

    context.crowd.add(20, script)
    context.crowd.settle(SETTLE_S)


@then("an ordinary call is answered beside them")
def check_answered_beside(context):
    status, _ = call(context.machine.host, head_of("/a/x"))
    assert status == 200, (status, _shown(context))


@then("5 ordinary calls with a body of 2 bytes are answered beside them")
def check_small_bodies(context):
    statuses = [call(context.machine.host, post("/a/x", b"hi"))[0] for _ in range(5)]
    assert statuses == [200] * 5, (statuses, _shown(context))


@then("the platform's own readiness check is answered")
def check_readiness(context):
    status, _ = call(context.machine.host, READINESS, port=READY)
    assert status == 200, (status, _shown(context))


@then("one is answered after they have hung up")
def check_answered_after(context):
    context.crowd.leave()
    status = _call_until_answered(context.machine, AFTERWARDS_S)
    assert status == 200, (status, _shown(context))


@then("the node lives within the memory and the descriptors of its machine")
def check_within_machine(context):
    for machine in context.mesh.machines:
        assert machine.is_alive, machine.log_tail()
        assert machine.memory_mb()[1] <= MEMORY_MB, _shown(context)
        assert machine.most_sockets <= MAX_FDS - RESERVED_FDS, _shown(context)


@then("5 s later the node lives within the memory and the descriptors of its machine")
def check_within_machine_later(context):
    eventlet.sleep(5.0)
    check_within_machine(context)


@then("the node's memory and what it has not read are within its machine")
def check_unread(context):
    rss, unread = context.machine.memory_mb()[0], context.machine.unread_mb()
    context.crowd.leave()
    assert rss + unread <= MEMORY_MB, f"rss={rss:.1f} MB, unread={unread:.1f} MB"


@when("a caller sends a body of 64 MiB to the {order} node")
def send_largest(context, order):
    machine = context.mesh.machines[order == "second"]
    context.body = random.Random(64).randbytes(64 * MIB)
    context.got = call(
        machine.host, post("/a/up", context.body), patience_s=AFTERWARDS_S
    )


@then("the endpoint has got it whole")
def check_whole(context):
    assert context.got == (200, digest_answer("/a/up", context.body)), context.got


@when(
    "a caller of each node sends 32 requests ahead, with heads up to 16 KB, and reads"
)
def send_and_read(context):
    context.got = []
    for machine in context.mesh.machines:
        sock = socket.create_connection((machine.host, OUTBOUND))
        targets = [f"/a/{number}" for number in range(32)]
        data = [
            padded_head_of(target, 500 * (n + 1)) for n, target in enumerate(targets)
        ]
        data[-1] = padded_head_of(targets[-1], MAX_HEAD_BYTES)
        with eventlet.Timeout(PATIENCE_S):
            sender = eventlet.spawn(sock.sendall, b"".join(data))
            source = sock.makefile("rb")
            context.got.append([_read(source) for _ in targets])
            sender.wait()
        sock.close()


def _read(source):
    status = int(source.readline().split(b" ")[1])
    length = 0
    while (line := source.readline()) not in (b"\r\n", b""):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return status, source.read(length)


@then("each answer is the right one")
def check_each_answer(context):
    expected = [(200, digest_answer(f"/a/{number}", b"")) for number in range(32)]
    assert context.got == [expected, expected], context.got
