# Answers of a store that are too large for the memory of a node, or have no end.

import contextlib
import itertools

import eventlet
from behave import given, then, when
from calls_rig import WAIT_S
from eventlet import tpool

from comfreytray.common.errors import Failure, Kind
from comfreytray.platform.objectstore import PlatformStore
from comfreytray.store.storebodies import body_limit
from comfreytray.store.storeclient import StoreClient

MEGABYTE = 1_000_000
LARGE_BYTES = 32 * MEGABYTE
NODE_BYTES = 64 * MEGABYTE
PART = b" " * 65_536
PAGE = (
    b'{"items":[{"metadata":{"name":"main","revision":5},"spec":{}}],'
    b'"more":false,"store_revision":7}'
)


def _serve(context, handle):
    listener = eventlet.listen(("127.0.0.1", 0))
    greenlet = eventlet.spawn(eventlet.serve, listener, handle)
    context.add_cleanup(listener.close)
    context.add_cleanup(greenlet.kill)
    return listener.getsockname()


def _send(context, sock, parts):
    """Send parts until the client closes; count what it took."""
    with contextlib.suppress(OSError):
        sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        for part in parts:
            sock.sendall(part)
            context.most_bytes = context.most_bytes + len(part)
            eventlet.sleep(0)
    sock.close()


@given("a store whose watches answer with 32 MB, and a node of 64 MB")
def make_store(context):
    def handle(sock, _):
        is_watch = b"watch=" in sock.recv(65536)
        parts = itertools.repeat(PART, LARGE_BYTES // len(PART)) if is_watch else [PAGE]
        _send(context, sock, parts)

    context.store = PlatformStore(
        address=_serve(context, handle), max_answer_bytes=body_limit(NODE_BYTES)
    )
    context.add_cleanup(context.store.__exit__, None, None, None)


def _call(context, call):
    """Make a call in a thread, and note its result."""
    context.most_bytes = 0
    with eventlet.Timeout(2 * WAIT_S):
        context.got = tpool.execute(call)


@when("the node watches the configuration")
def watch(context):
    _call(
        context,
        lambda: context.store.watch("config/", after_revision=1, timeout_s=1.0),
    )


@then("it gets the objects, and took at most 12 MB of the answer")
def check_list(context):
    assert not isinstance(context.got, Failure), context.got
    assert [stored.key for stored in context.got.objects] == ["config/main"]
    assert context.most_bytes <= 12 * MEGABYTE, context.most_bytes


@given("a store of the product's own whose answers never end")
def make_endless(context):
    def handle(sock, _):
        sock.recv(65536)
        _send(context, sock, itertools.repeat(PART))

    host, port = _serve(context, handle)
    context.client = StoreClient(url=f"http://{host}:{port}", timeout_s=1.0)
    context.add_cleanup(context.client.close)


@when("a client reads an object of it")
def read_endless(context):
    _call(context, lambda: context.client.get("config/main"))


@then("the read fails, and the client took at most 80 MB of the answer")
def check_endless(context):
    assert context.got.kind is Kind.STORE_UNAVAILABLE, context.got
    assert context.most_bytes <= 80 * MEGABYTE, context.most_bytes
