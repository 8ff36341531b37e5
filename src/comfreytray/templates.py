"""Read templates and customers from an operator's text, checked by schema."""

import re
import unicodedata
from collections.abc import Callable, Collection
from typing import NoReturn

from attrs import field, frozen

from comfreytray import messages
from comfreytray.causes import Cause
from comfreytray.compiler import MAX_TIMEOUT_S, is_path, is_service
from comfreytray.documents import (
    DEFAULT_SHARE,
    DEFAULT_TIMEOUT_S,
    METHODS,
    REFERENCE,
    Argument,
    Customer,
    Document,
    ItemKind,
    Parameter,
    ParameterType,
    RouteTemplate,
    Setting,
    Source,
    Template,
    Value,
)
from comfreytray.errors import Failure, Kind
from comfreytray.languages import Vocabulary, Word, nearest, normalise, vocabulary
from comfreytray.yamltext import (
    Mapping,
    Mark,
    Node,
    Problem,
    Scalar,
    Sequence,
    clean,
    read,
)

MAX_ROUTES = 200
MAX_PARAMETERS = 100
MAX_HOSTS = 100
MAX_TEXT_VALUE = 2000
_NAME = re.compile(r"[^\W_](?:[\w-]{0,62}[^\W_])?")
_PARAMETER_NAME = re.compile(r"[^\W_](?:[\w -]{0,62}[^\W_])?")
_HOST = re.compile(r"(?!-)[a-z0-9-]{1,63}(?<!-)(\.(?!-)[a-z0-9-]{1,63}(?<!-))*")
_CONTROL = frozenset({"Cc", "Cs", "Zl", "Zp"})
_SAMPLE = "x"
TYPE_BY_WORD = {
    Word.TYPE_TEXT: ParameterType.TEXT,
    Word.TYPE_DURATION: ParameterType.DURATION,
    Word.TYPE_SHARE: ParameterType.SHARE,
    Word.TYPE_BOOLEAN: ParameterType.BOOLEAN,
}
WORD_BY_TYPE = {kind: word for word, kind in TYPE_BY_WORD.items()}
TEMPLATE_WORDS = (Word.TEMPLATE, Word.DESCRIPTION, Word.PARAMETERS, Word.ROUTES)
CUSTOMER_WORDS = (Word.CUSTOMER, Word.TEMPLATE, Word.HOSTS, Word.PARAMETERS)
KIND_BY_WORD = {
    Word.CUSTOMER: ItemKind.CUSTOMER,
    Word.TEMPLATE: ItemKind.TEMPLATE,
}
PARAMETER_WORDS = (Word.TYPE, Word.DEFAULT)
ROUTE_WORDS = (
    Word.NAME,
    Word.PATH,
    Word.METHODS,
    Word.SERVICE,
    Word.IDEMPOTENT,
    Word.TIMEOUT,
    Word.SHARE,
)
NO_SOURCE = Source(language="", parts=())


@frozen(kw_only=True)
class Token:
    """Mark a part of a text that depends on the language it is written in."""

    scalar: Scalar
    meaning: Word | ParameterType
    """The keyword, or the type of the value."""
    value: Value | None = None


@frozen(kw_only=True)
class Parsed:
    """Hold a document, its tokens and where its parts stand in the text."""

    document: Document
    tokens: tuple[Token, ...]
    mark_by_part: dict[str, Mark] = field(factory=dict)


class _Refusal(Exception):  # noqa: N818 - leaves the recursion, never the module
    def __init__(self, problem: Problem, instead: str = "") -> None:
        super().__init__(problem.cause.value)
        self.problem = problem
        self.instead = instead


def identify(text: str, words: Vocabulary) -> tuple[ItemKind, str] | Problem:
    """Tell which item a text describes."""
    node = read(clean(text))
    if isinstance(node, Problem):
        return node
    if not isinstance(node, Mapping):
        return Problem(cause=Cause.NEEDS_MAPPING, mark=node.mark)
    name_by_word = {
        words.word(key.value, CUSTOMER_WORDS): normalise(value.value.strip())
        for key, value in node.entries
        if isinstance(value, Scalar)
    }
    for word, kind in KIND_BY_WORD.items():
        if word in name_by_word:
            return kind, name_by_word[word]
    spelling = words.spelling(Word.TEMPLATE)
    fields = {"keyword": spelling}
    return Problem(cause=Cause.KEYWORD_MISSING, mark=node.mark, fields=fields)


def parse(
    kind: ItemKind,
    text: str,
    words: Vocabulary,
    *,
    file: str,
    templates: dict[str, Template] | None = None,
    pause: Callable[[], None] | None = None,
) -> Parsed | Failure:
    """Read a document; a customer's values are typed by its template."""
    node = read(clean(text), pause=pause)
    if isinstance(node, Problem):
        return invalid(node, "", words.language, file)
    reader = _Reader(vocabulary=words)
    try:
        document = (
            reader.template(node)
            if kind is ItemKind.TEMPLATE
            else reader.customer(node, templates or {})
        )
    except _Refusal as refusal:
        return invalid(refusal.problem, refusal.instead, words.language, file)
    return Parsed(
        document=document,
        tokens=tuple(reader.tokens),
        mark_by_part=reader.mark_by_part,
    )


def invalid(problem: Problem, instead: str, language: str, file: str) -> Failure:
    """Describe a problem to an operator in their language."""
    cause = messages.text(
        f"cause.{problem.cause.value}", language=language, **problem.fields
    )
    hint = ""
    if instead:
        hint = messages.text("instead.write", language=language, instead=instead)
    fields = {
        **problem.fields,
        "file": file,
        "line": str(problem.mark.line),
        "column": str(problem.mark.column),
        "cause_id": problem.cause.value,
        "cause": cause,
        "instead": hint,
    }
    detail = f"{file}:{problem.mark.line}:{problem.mark.column} {problem.cause.value}"
    return Failure(kind=Kind.INVALID_CONTENT, detail=detail, fields=fields)


class _Reader:
    """Walk the nodes of one text under the schema."""

    def __init__(self, *, vocabulary: Vocabulary) -> None:
        self.vocabulary = vocabulary
        self.tokens: list[Token] = []
        self.mark_by_part: dict[str, Mark] = {}

    def template(self, node: Node) -> Template:
        by_word = self._fields(node, TEMPLATE_WORDS, "")
        name = self._name(by_word, Word.TEMPLATE, node.mark)
        description = by_word.get(Word.DESCRIPTION)
        parameters = self._parameters(by_word.get(Word.PARAMETERS))
        type_by_name = {one.name: one.type for one in parameters}
        listed = self._items(by_word, Word.ROUTES, node.mark, MAX_ROUTES)
        routes: dict[str, RouteTemplate] = {}
        for number, item in enumerate(listed):
            route = self._route(item, type_by_name, f"routes/{number}/")
            if route.name in routes:
                self._refuse(Cause.NAME_TWICE, item.mark, name=route.name)
            routes[route.name] = route
        return Template(
            name=name,
            description=self._text(description) if description is not None else "",
            parameters=parameters,
            routes=tuple(routes.values()),
            source=NO_SOURCE,
        )

    def customer(self, node: Node, templates: dict[str, Template]) -> Customer:
        by_word = self._fields(node, CUSTOMER_WORDS, "")
        name = self._name(by_word, Word.CUSTOMER, node.mark)
        template_name = self._name(by_word, Word.TEMPLATE, node.mark)
        template = templates.get(template_name)
        if template is None:
            self._refuse(
                Cause.NO_SUCH_TEMPLATE,
                by_word[Word.TEMPLATE].mark,
                instead=nearest(template_name, templates),
                customer=name,
                template=template_name,
            )
        hosts: dict[str, None] = {}
        for item in self._items(by_word, Word.HOSTS, node.mark, MAX_HOSTS):
            host = self._host(item)
            if host in hosts:
                self._refuse(Cause.NAME_TWICE, item.mark, name=host)
            self.mark_by_part[f"hosts/{host}"] = item.mark
            hosts[host] = None
        return Customer(
            name=name,
            template=template_name,
            hosts=tuple(hosts),
            arguments=self._arguments(by_word.get(Word.PARAMETERS), template),
            source=NO_SOURCE,
        )

    def _refuse(
        self, cause: Cause, mark: Mark, *, instead: str = "", **fields: str
    ) -> NoReturn:
        raise _Refusal(Problem(cause=cause, mark=mark, fields=fields), instead)

    def _fields(
        self, node: Node, allowed: Collection[Word], part: str
    ) -> dict[Word, Node]:
        """Match a mapping's keys with keywords, each at most once."""
        if not isinstance(node, Mapping):
            choices = ", ".join(self.vocabulary.spelling(word) for word in allowed)
            self._refuse(Cause.NEEDS_MAPPING, node.mark, instead=choices)
        by_word: dict[Word, Node] = {}
        for key, value in node.entries:
            word = self.vocabulary.word(key.value, allowed)
            if word is None:
                instead = self.vocabulary.nearest(key.value, allowed)
                self._refuse(
                    Cause.UNKNOWN_KEYWORD, key.mark, instead=instead, keyword=key.value
                )
            if word in by_word:
                self._refuse(Cause.KEYWORD_TWICE, key.mark, keyword=key.value)
            by_word[word] = value
            self.tokens.append(Token(scalar=key, meaning=word))
            self.mark_by_part[part + word.value] = value.mark
        return by_word

    def _need(self, by_word: dict[Word, Node], word: Word, mark: Mark) -> Node:
        node = by_word.get(word)
        if node is None:
            spelling = self.vocabulary.spelling(word)
            self._refuse(
                Cause.KEYWORD_MISSING, mark, instead=f"{spelling}: …", keyword=spelling
            )
        return node

    def _text(self, node: Node) -> str:
        if not isinstance(node, Scalar):
            self._refuse(Cause.NEEDS_TEXT, node.mark)
        if len(node.value) > MAX_TEXT_VALUE:
            limit = str(MAX_TEXT_VALUE)
            self._refuse(Cause.VALUE_TOO_LONG, node.mark, limit=limit)
        text = normalise(node.value.strip())
        if any(unicodedata.category(one) in _CONTROL for one in text if one != "\n"):
            self._refuse(Cause.YAML_CHARACTER, node.mark)
        return text

    def _name(self, by_word: dict[Word, Node], word: Word, mark: Mark) -> str:
        node = self._need(by_word, word, mark)
        return self._checked_name(node, _NAME)

    def _checked_name(self, node: Node, pattern: re.Pattern[str]) -> str:
        name = self._text(node)
        if pattern.fullmatch(name) is None:
            self._refuse(Cause.BAD_NAME, node.mark, name=name)
        return name

    def _items(
        self, by_word: dict[Word, Node], word: Word, mark: Mark, limit: int
    ) -> tuple[Node, ...]:
        node = self._need(by_word, word, mark)
        items = node.items if isinstance(node, Sequence) else (node,)
        if not 0 < len(items) <= limit:
            self._refuse(Cause.LIST_SIZE, node.mark, limit=str(limit))
        return items

    def _parameters(self, node: Node | None) -> tuple[Parameter, ...]:
        if node is None or _is_empty(node):
            return ()
        parameters: dict[str, Parameter] = {}
        for name, key, value in self._named(node):
            part = f"parameters/{name}/"
            by_word = self._fields(value, PARAMETER_WORDS, part)
            type_node = self._need(by_word, Word.TYPE, key.mark)
            type_ = TYPE_BY_WORD[self._keyword(type_node, tuple(TYPE_BY_WORD))]
            default = by_word.get(Word.DEFAULT)
            parameters[name] = Parameter(
                name=name,
                type=type_,
                default=None if default is None else self._value(default, type_),
            )
        return tuple(parameters.values())

    def _named(self, node: Node) -> list[tuple[str, Scalar, Node]]:
        """Read a mapping whose keys are names of the operator's choice."""
        if not isinstance(node, Mapping):
            self._refuse(Cause.NEEDS_MAPPING, node.mark)
        if len(node.entries) > MAX_PARAMETERS:
            self._refuse(Cause.LIST_SIZE, node.mark, limit=str(MAX_PARAMETERS))
        named: dict[str, tuple[str, Scalar, Node]] = {}
        for key, value in node.entries:
            name = self._checked_name(key, _PARAMETER_NAME)
            if name in named:
                self._refuse(Cause.NAME_TWICE, key.mark, name=name)
            named[name] = (name, key, value)
            self.mark_by_part[f"parameters/{name}"] = key.mark
        return list(named.values())

    def _keyword(self, node: Node, allowed: Collection[Word]) -> Word:
        spelling = self._text(node)
        word = self.vocabulary.word(spelling, allowed)
        if word is None:
            instead = self.vocabulary.nearest(spelling, allowed)
            self._refuse(
                Cause.UNKNOWN_KEYWORD, node.mark, instead=instead, keyword=spelling
            )
        assert isinstance(node, Scalar)
        self._need_one_line(node)
        self.tokens.append(Token(scalar=node, meaning=word))
        return word

    def _need_one_line(self, node: Scalar) -> None:
        if node.block:
            self._refuse(Cause.NEEDS_ONE_LINE, node.mark)

    def _value(self, node: Node, type_: ParameterType) -> Value:
        """Read a value of a type."""
        text = self._text(node)
        assert isinstance(node, Scalar)
        if type_ is ParameterType.TEXT:
            return text
        self._need_one_line(node)
        value = parse_value(self.vocabulary, text, type_)
        if value is None:
            instead = self._suggest_value(text, type_)
            cause = CAUSE_BY_TYPE[type_]
            self._refuse(cause, node.mark, instead=instead, value=text)
        self._check_range(node, value, type_)
        self.tokens.append(Token(scalar=node, meaning=type_, value=value))
        return value

    def _suggest_value(self, text: str, type_: ParameterType) -> str:
        """Write what was meant if another language can read it, or a sample."""
        meant = [
            parse_value(vocabulary(language), text, type_)
            for language in messages.LANGUAGES
        ]
        known = [value for value in meant if value is not None]
        value = known[0] if known else SAMPLE_BY_TYPE[type_]
        return format_value(self.vocabulary, value, type_)

    def _check_range(self, node: Scalar, value: Value, type_: ParameterType) -> None:
        if type_ is ParameterType.DURATION and not 0 < float(value) <= MAX_TIMEOUT_S:
            limit = self.vocabulary.format_duration(MAX_TIMEOUT_S)
            self._refuse(Cause.DURATION_RANGE, node.mark, limit=limit)
        if type_ is ParameterType.SHARE and not 0 < float(value) <= 1:
            limit = self.vocabulary.format_share(1.0)
            self._refuse(Cause.SHARE_RANGE, node.mark, limit=limit)

    def _setting(
        self,
        node: Node | None,
        type_: ParameterType,
        default: Value,
        type_by_name: dict[str, ParameterType],
    ) -> Setting:
        if node is None:
            return Setting(value=default)
        text = self._text(node)
        match = REFERENCE.fullmatch(text)
        if match is None:
            return Setting(value=self._value(node, type_))
        name = normalise(match[1])
        self._check_reference(name, node.mark, type_, type_by_name)
        return Setting(parameter=name)

    def _check_reference(
        self,
        name: str,
        mark: Mark,
        type_: ParameterType,
        type_by_name: dict[str, ParameterType],
    ) -> None:
        if name not in type_by_name:
            self._refuse(
                Cause.UNKNOWN_REFERENCE,
                mark,
                instead=", ".join(f"$({one})" for one in [nearest(name, type_by_name)]),
                parameter=name,
            )
        if type_by_name[name] is not type_:
            wanted = self.vocabulary.spelling(WORD_BY_TYPE[type_])
            self._refuse(Cause.WRONG_TYPE, mark, parameter=name, type=wanted)

    def _filled_text(
        self, node: Node, type_by_name: dict[str, ParameterType]
    ) -> tuple[str, str]:
        """Read a text with references; also return it with samples filled in."""
        text = self._text(node)
        for name in REFERENCE.findall(text):
            self._check_reference(name, node.mark, ParameterType.TEXT, type_by_name)
        return text, REFERENCE.sub(_SAMPLE, text)

    def _route(
        self, node: Node, type_by_name: dict[str, ParameterType], part: str
    ) -> RouteTemplate:
        by_word = self._fields(node, ROUTE_WORDS, part)
        path_node = self._need(by_word, Word.PATH, node.mark)
        path, sample = self._filled_text(path_node, type_by_name)
        if not is_path(sample):
            self._refuse(Cause.BAD_PATH, path_node.mark, path=path)
        service_node = self._need(by_word, Word.SERVICE, node.mark)
        service, sample = self._filled_text(service_node, type_by_name)
        if not is_service(sample):
            self._refuse(Cause.BAD_SERVICE, service_node.mark, service=service)
        return RouteTemplate(
            name=self._name(by_word, Word.NAME, node.mark),
            path=path,
            methods=self._methods(by_word, node.mark),
            service=service,
            idempotent=self._setting(
                by_word.get(Word.IDEMPOTENT),
                ParameterType.BOOLEAN,
                False,
                type_by_name,
            ),
            timeout_s=self._setting(
                by_word.get(Word.TIMEOUT),
                ParameterType.DURATION,
                DEFAULT_TIMEOUT_S,
                type_by_name,
            ),
            share=self._setting(
                by_word.get(Word.SHARE),
                ParameterType.SHARE,
                DEFAULT_SHARE,
                type_by_name,
            ),
        )

    def _methods(self, by_word: dict[Word, Node], mark: Mark) -> tuple[str, ...]:
        methods: dict[str, None] = {}
        for item in self._items(by_word, Word.METHODS, mark, len(METHODS)):
            method = self._text(item).upper()
            if method not in METHODS:
                instead = nearest(method, METHODS)
                self._refuse(
                    Cause.BAD_METHOD, item.mark, instead=instead, method=method
                )
            methods[method] = None
        return tuple(sorted(methods))

    def _host(self, node: Node) -> str:
        text = self._text(node).lower()
        try:
            host = text.encode("idna").decode("ascii")
        except UnicodeError:
            host = ""
        if _HOST.fullmatch(host) is None:
            self._refuse(Cause.BAD_HOST, node.mark, host=text)
        return host

    def _arguments(self, node: Node | None, template: Template) -> tuple[Argument, ...]:
        if node is None or _is_empty(node):
            return ()
        arguments: list[Argument] = []
        parameter_by_name = template.parameter_by_name
        for name, key, value in self._named(node):
            parameter = parameter_by_name.get(name)
            if parameter is None:
                self._refuse(
                    Cause.UNKNOWN_PARAMETER,
                    key.mark,
                    instead=nearest(name, parameter_by_name),
                    parameter=name,
                    template=template.name,
                )
            read_value = self._value(value, parameter.type)
            arguments.append(Argument(name=name, type=parameter.type, value=read_value))
        return tuple(sorted(arguments, key=lambda one: one.name))


CAUSE_BY_TYPE = {
    ParameterType.DURATION: Cause.NEEDS_DURATION,
    ParameterType.SHARE: Cause.NEEDS_SHARE,
    ParameterType.BOOLEAN: Cause.NEEDS_BOOLEAN,
}
SAMPLE_BY_TYPE: dict[ParameterType, Value] = {
    ParameterType.TEXT: "x",
    ParameterType.DURATION: 2.5,
    ParameterType.SHARE: 0.5,
    ParameterType.BOOLEAN: True,
}


def _is_empty(node: Node) -> bool:
    return isinstance(node, Scalar) and not node.value and not node.quoted


def parse_value(words: Vocabulary, text: str, type_: ParameterType) -> Value | None:
    """Read a value of a type in a language; None if it is not one."""
    if type_ is ParameterType.DURATION:
        return words.parse_duration(text)
    if type_ is ParameterType.SHARE:
        return words.parse_share(text)
    return words.parse_boolean(text)


def format_value(words: Vocabulary, value: Value, type_: ParameterType) -> str:
    """Write a value of a type in a language."""
    if type_ is ParameterType.DURATION:
        return words.format_duration(float(value))
    if type_ is ParameterType.SHARE:
        return words.format_share(float(value))
    if type_ is ParameterType.BOOLEAN:
        return words.format_boolean(bool(value))
    return str(value)
