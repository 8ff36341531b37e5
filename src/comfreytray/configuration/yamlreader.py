"""Build nodes with positions from the events of the YAML library."""

from collections.abc import Callable, Iterator

from ruamel.yaml import YAML, events
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.reader import ReaderError

from comfreytray.configuration.rejections import Cause
from comfreytray.configuration.yamltext import (
    MAX_DEPTH,
    MAX_NODES,
    MAX_TEXT_BYTES,
    Mapping,
    Mark,
    Node,
    Problem,
    Scalar,
    Sequence,
)

EVENTS_PER_PAUSE = 200
# Problem texts of the YAML library that have a cause of their own.
_CAUSE_BY_LIBRARY_MESSAGE = {
    "mapping values are not allowed here": Cause.YAML_COLON,
    "found character '\\t' that cannot start any token": Cause.YAML_TAB,
    "found unexpected end of stream": Cause.YAML_QUOTE,
}


class _ProblemError(Exception):
    """Raised by the composer; `read` catches it and returns the problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.cause.value)
        self.problem = problem


def read(text: str, *, pause: Callable[[], None] | None = None) -> Node | Problem:
    """Parse a text of one document; `pause` is called every EVENTS_PER_PAUSE events."""
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_TEXT_BYTES:
        fields = {"size": str(size), "limit": str(MAX_TEXT_BYTES)}
        return Problem(cause=Cause.TEXT_TOO_LARGE, fields=fields)
    try:
        return _Composer(stream=_events(text), pause=pause).document()
    except _ProblemError as error:
        return error.problem
    except ReaderError as error:
        return _character_problem(text, error)
    except MarkedYAMLError as error:
        return _syntax_problem(error)
    except (YAMLError, ValueError, RecursionError):
        return Problem(cause=Cause.YAML_SYNTAX)


def _events(text: str) -> Iterator[events.Event]:
    stream: Iterator[events.Event] = YAML(typ="safe", pure=True).parse(text)
    return stream


def _character_problem(text: str, error: ReaderError) -> Problem:
    before = text[: int(error.position or 0)]
    line = before.count("\n") + 1
    column = len(before) - (before.rfind("\n") + 1) + 1
    return Problem(cause=Cause.YAML_CHARACTER, mark=Mark(line=line, column=column))


def _syntax_problem(error: MarkedYAMLError) -> Problem:
    library_mark = error.problem_mark or error.context_mark
    mark = Mark()
    if library_mark is not None:
        mark = Mark(line=library_mark.line + 1, column=library_mark.column + 1)
    return Problem(
        cause=_CAUSE_BY_LIBRARY_MESSAGE.get(error.problem or "", Cause.YAML_SYNTAX),
        mark=mark,
    )


class _Composer:
    """Build nodes from events; refuse anchors, tags, and too many or deep nodes."""

    def __init__(
        self, *, stream: Iterator[events.Event], pause: Callable[[], None] | None
    ) -> None:
        self._stream = stream
        self._pause = pause
        self._count = 0

    def document(self) -> Node:
        self._next()  # start of the stream
        first = self._next()  # start of the document, or end of an empty stream
        if isinstance(first, events.StreamEndEvent):
            raise _ProblemError(Problem(cause=Cause.YAML_EMPTY))
        node = self._node(self._next(), depth=1, in_flow=False)
        self._next()  # end of the document
        last = self._next()
        if not isinstance(last, events.StreamEndEvent):
            raise _ProblemError(Problem(cause=Cause.YAML_DOCUMENTS, mark=_mark(last)))
        return node

    def _next(self) -> events.Event:
        self._count += 1
        event = next(self._stream)
        if self._count > MAX_NODES:
            raise _ProblemError(Problem(cause=Cause.YAML_LIMITS, mark=_mark(event)))
        if self._pause is not None and self._count % EVENTS_PER_PAUSE == 0:
            self._pause()
        return event

    def _node(self, event: events.Event, *, depth: int, in_flow: bool) -> Node:
        if getattr(event, "anchor", None) is not None:
            raise _ProblemError(Problem(cause=Cause.YAML_ANCHOR, mark=_mark(event)))
        if getattr(event, "tag", None) is not None:
            raise _ProblemError(Problem(cause=Cause.YAML_TAG, mark=_mark(event)))
        if depth > MAX_DEPTH:
            raise _ProblemError(Problem(cause=Cause.YAML_LIMITS, mark=_mark(event)))
        if isinstance(event, events.ScalarEvent):
            return _scalar(event, in_flow)
        in_flow = in_flow or bool(getattr(event, "flow_style", False))
        if isinstance(event, events.SequenceStartEvent):
            return self._sequence(event, depth, in_flow)
        return self._mapping(event, depth, in_flow)

    def _sequence(self, start: events.Event, depth: int, in_flow: bool) -> Sequence:
        items: list[Node] = []
        while not isinstance(event := self._next(), events.SequenceEndEvent):
            items.append(self._node(event, depth=depth + 1, in_flow=in_flow))
        return Sequence(items=tuple(items), mark=_mark(start))

    def _mapping(self, start: events.Event, depth: int, in_flow: bool) -> Mapping:
        entries: list[tuple[Scalar, Node]] = []
        while not isinstance(event := self._next(), events.MappingEndEvent):
            key = self._node(event, depth=depth + 1, in_flow=in_flow)
            if not isinstance(key, Scalar) or key.block:
                raise _ProblemError(Problem(cause=Cause.YAML_KEY, mark=_mark(event)))
            value = self._node(self._next(), depth=depth + 1, in_flow=in_flow)
            entries.append((key, value))
        return Mapping(entries=tuple(entries), mark=_mark(start))


def _scalar(event: events.ScalarEvent, in_flow: bool) -> Scalar:
    return Scalar(
        value=event.value,
        mark=_mark(event),
        start=event.start_mark.index,
        end=event.end_mark.index,
        quoted=bool(event.style),
        block=event.style in ("|", ">"),
        in_flow=in_flow,
    )


def _mark(event: events.Event) -> Mark:
    mark = event.start_mark
    return Mark(line=mark.line + 1, column=mark.column + 1)
