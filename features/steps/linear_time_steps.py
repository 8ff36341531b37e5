import importlib
import io
import pkgutil
import re
import signal
from http.client import HTTPException
from re import _constants as ops
from re import _parser as parser

from behave import given, then, when
from eventlet import wsgi

import comfreytray
from comfreytray.calls import bodies, heads, requestheads
from comfreytray.common import outerjson, stalls
from comfreytray.common.logs import Event
from comfreytray.common.metrics import Metrics
from comfreytray.common.stalls import StallMonitor
from comfreytray.configuration import languages
from comfreytray.platform import instances
from comfreytray.testing import FakeClock

HANG_S = 15
"""Time after which the test gives up on an input that takes no measurable time."""
MAX_BOUND = 128
"""Repeats up to this often count as bounded."""
CHARACTERS = [chr(code) for code in range(256)]
OBJECT_BYTES = 1_048_576
"""Size of the largest object that another writer can store."""


@when("the patterns of all modules are read")
def find_patterns(context):
    context.pattern_by_name = {}
    for info in pkgutil.walk_packages(comfreytray.__path__, "comfreytray."):
        if info.name.endswith("__main__"):
            continue
        module = importlib.import_module(info.name)
        for name, value in vars(module).items():
            if isinstance(value, re.Pattern):
                context.pattern_by_name[f"{info.name}.{name}"] = value
    assert len(context.pattern_by_name) > 10, context.pattern_by_name


@then("none has two repeats that can take the same characters without a bound")
def check_patterns(context):
    # The check itself must find the patterns that it is there for.
    for known in (
        rb"a:[ \t]*([^\n]*?)[ \t]*\n",
        r"[\d.,]+\s*\D*",
        r"(?:a+)*",
        r".*=.*",
    ):
        assert _ambiguous(known), known
    ambiguous = [
        name
        for name, pattern in context.pattern_by_name.items()
        if _ambiguous(pattern.pattern, pattern.flags & re.DOTALL)
    ]
    assert not ambiguous, ambiguous


def _ambiguous(pattern, flags=0):
    return _has_overlap(list(parser.parse(pattern, flags)), [])


def _has_overlap(items, following):
    """Whether a repeat is followed by another one of the same characters."""
    for number, (op, value) in enumerate(items):
        rest = [*items[number + 1 :], *following]
        if op in (ops.MAX_REPEAT, ops.MIN_REPEAT):
            _, most, body = value
            body = list(body)
            if most > MAX_BOUND:
                if _meets_repeat(_characters(body), rest):
                    return True
                # A body that can end where the next round begins.
                if _has_repeat(body) and _has_overlap(body, [*body, *rest]):
                    return True
                continue
            if _has_overlap(body, rest):
                return True
        elif op is ops.SUBPATTERN:
            if _has_overlap(list(value[-1]), rest):
                return True
        elif op is ops.BRANCH and any(
            _has_overlap(list(branch), rest) for branch in value[1]
        ):
            return True
    return False


def _meets_repeat(taken, rest):
    """Whether a repeat of `taken` reaches another one before what it can't take."""
    for op, value in rest:
        if op is ops.SUBPATTERN:
            if _meets_repeat(taken, list(value[-1])):
                return True
        elif op is ops.BRANCH:
            if any(_meets_repeat(taken, list(branch)) for branch in value[1]):
                return True
        elif op in _REPEATS:
            _, most, body = value
            if most > MAX_BOUND and taken & _characters(body):
                return True
            if _meets_repeat(taken, list(body)):
                return True
        if not _may_be_empty([(op, value)]) and not taken & _characters([(op, value)]):
            return False
    return False


_REPEATS = (ops.MAX_REPEAT, ops.MIN_REPEAT, ops.POSSESSIVE_REPEAT)


def _has_repeat(items):
    for op, value in items:
        if op in _REPEATS and value[1] > MAX_BOUND:
            return True
        if op is ops.SUBPATTERN and _has_repeat(value[-1]):
            return True
        if op is ops.BRANCH and any(_has_repeat(branch) for branch in value[1]):
            return True
    return False


def _may_be_empty(items):
    for op, value in items:
        if op in _REPEATS and (value[0] == 0 or _may_be_empty(value[2])):
            continue
        if op is ops.SUBPATTERN and _may_be_empty(value[-1]):
            continue
        if op is ops.BRANCH and any(_may_be_empty(branch) for branch in value[1]):
            continue
        if op in (ops.AT, ops.ASSERT, ops.ASSERT_NOT):
            continue
        return False
    return True


def _characters(items):
    """Return the characters that can occur in what items match."""
    found = set()
    for op, value in items:
        if op is ops.LITERAL:
            found.add(chr(value))
        elif op is ops.NOT_LITERAL:
            found |= set(CHARACTERS) - {chr(value)}
        elif op is ops.ANY:
            found |= set(CHARACTERS)
        elif op is ops.IN:
            found |= _class_characters(value)
        elif op in _REPEATS:
            found |= _characters(value[2])
        elif op is ops.SUBPATTERN:
            found |= _characters(value[-1])
        elif op is ops.BRANCH:
            for branch in value[1]:
                found |= _characters(branch)
    return found


_PATTERN_BY_CATEGORY = {
    ops.CATEGORY_DIGIT: r"\d",
    ops.CATEGORY_NOT_DIGIT: r"\D",
    ops.CATEGORY_SPACE: r"\s",
    ops.CATEGORY_NOT_SPACE: r"\S",
    ops.CATEGORY_WORD: r"\w",
    ops.CATEGORY_NOT_WORD: r"\W",
}


def _class_characters(members):
    found = set()
    for op, value in members:
        if op is ops.LITERAL:
            found.add(chr(value))
        elif op is ops.RANGE:
            found |= {chr(code) for code in range(value[0], min(value[1], 255) + 1)}
        elif op is ops.CATEGORY:
            pattern = re.compile(_PATTERN_BY_CATEGORY[value])
            found |= {c for c in CHARACTERS if pattern.fullmatch(c)}
    if members[0][0] is ops.NEGATE:
        return set(CHARACTERS) - found
    return found


def _read_head(data):
    heads.read_fields(io.BytesIO(data))


def _read_status(data):
    class Socket:
        def makefile(self, mode):
            return io.BytesIO(data)

    heads.StrictResponse(Socket(), method="GET").begin()


def _read_chunk(data):
    bodies.CHUNK_LINE.fullmatch(data)
    heads._CHUNK_LINE.fullmatch(data)


def _read_heartbeat(data):
    data = data[: instances.MAX_BODY_BYTES + 1]
    instances.decode_heartbeat("i", data, service="s", upstream=("h", 1))


@given("a monitor of stalls with a period of 0.25 s")
def make_monitor(context):
    context.clock, context.metrics = FakeClock(), Metrics()
    context.processor_s = 0.0
    context.monitor = StallMonitor(
        period_s=0.25,
        clock=context.clock,
        metrics=context.metrics,
        processor_s=lambda: context.processor_s,
    )


@when("checks come in time, 3 s late at work, and 3 s late without processor time")
def check_late(context):
    context.lines = []
    warn = stalls.logs.warn
    stalls.logs.warn = lambda event, **fields: context.lines.append((event, fields))
    try:
        for passed_s, worked_s in ((0.25, 0.01), (0.3, 0.1), (3.25, 3.0), (3.25, 0.0)):
            context.monitor.check()
            context.clock.now += passed_s
            context.processor_s += worked_s
        context.monitor.check()
    finally:
        stalls.logs.warn = warn


@then("the two late ones are logged and counted with the processor time used")
def check_stalls(context):
    assert [event for event, _ in context.lines] == [Event.LOOP_STALLED] * 2
    got = [(f["late_s"], round(f["processor_s"], 6)) for _, f in context.lines]
    assert got == [(3.0, 3.0), (3.0, 0.0)], got
    assert context.metrics.count_by_name["loop_stalls"] == 2
    assert context.metrics.gauge_by_name["loop_stall_longest_s"] == 3.0


LINE = heads.MAX_LINE_BYTES - 16
DEEP = b"[" * 3000
INPUT_BY_KIND = {
    "header line of blanks": (_read_head, b"X-A:" + b" " * LINE + b"\r\n"),
    "header line of blanks behind a value": (
        _read_head,
        b"X-A: b" + b" " * LINE + b"\r\n",
    ),
    "header line of tokens": (_read_head, b"!" * (LINE // 2) + b":" + b"!" * 4000),
    "head of blank lines": (
        _read_head,
        (b"A: c" + b" " * 8000 + b"d\r\n") * (heads.MAX_HEAD_BYTES // 8007),
    ),
    "chunk size line": (_read_chunk, b"a" * 12 + b" " * 1000 + b";\t" * 20 + b"\r\n"),
    "trailer": (
        lambda data: bodies._read_trailer(io.BytesIO(data)),
        (b"A:" + b" " * 1000 + b"\r\n") * heads.MAX_FIELDS,
    ),
    "request line": (
        requestheads.REQUEST_LINE.fullmatch,
        b"GET" * 900 + b" /" + b"/HTTP" * 1000 + b" HTTP/1.1\r\n",
    ),
    "status line": (_read_status, b"HTTP/1.1 200 " + b" " * 65_000 + b"\r\n\r\n"),
    "deep JSON with quotes": (
        outerjson.loads,
        DEEP + b'"' + b'\\"' * ((OBJECT_BYTES - 4000) // 2) + b'"',
    ),
    "deep JSON": (outerjson.loads, b'[{"a":' * (OBJECT_BYTES // 6)),
    "JSON number": (outerjson.loads, b"-0." + b"1" * OBJECT_BYTES + b"e9"),
    "heartbeat": (_read_heartbeat, DEEP + b'\\"' * 600),
    "duration": (
        lambda data: languages.vocabulary("vi").parse_duration(data.decode()),
        b"1," * 20_000 + b" " * 20_000 + b"s 5",
    ),
}


@given("the longest {kind}, whole, broken off and wrong in its last byte")
def make_inputs(context, kind):
    context.read, whole = INPUT_BY_KIND[kind]
    context.inputs = [whole, whole.rstrip(b"\r\n"), whole[:-1], whole[:-1] + b"\x01"]


_REFUSALS = (HTTPException, ValueError, wsgi.ChunkReadError)


def _give_up(*_):
    raise TimeoutError(f"read for {HANG_S} s")


@when("each of them is read")
def read_inputs(context):
    context.stalls = []
    signal.signal(signal.SIGALRM, _give_up)
    for number, data in enumerate(context.inputs):
        signal.alarm(HANG_S)
        try:
            context.read(data)
        except TimeoutError as error:
            context.stalls.append((number, str(error)))
        except _REFUSALS:
            continue
        finally:
            signal.alarm(0)


@then("none of them holds up the process")
def check_inputs(context):
    assert not context.stalls, context.stalls
