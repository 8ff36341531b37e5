"""Parse and check operators' texts of templates and customers."""

import re
from collections.abc import Callable

from attrs import field, frozen

from comfreytray.common import messages
from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.compiler import is_path, is_service
from comfreytray.configuration.documents import (
    DEFAULT_SHARE,
    DEFAULT_TIMEOUT_S,
    METHODS,
    Argument,
    Customer,
    Document,
    ItemKind,
    Parameter,
    ParameterType,
    RouteTemplate,
    Source,
    Template,
)
from comfreytray.configuration.fieldreader import (
    TYPE_BY_WORD,
    FieldReader,
    ProblemError,
    Token,
    is_empty,
)
from comfreytray.configuration.languages import Vocabulary, Word, nearest, normalise
from comfreytray.configuration.rejections import Cause
from comfreytray.configuration.yamltext import (
    Mapping,
    Mark,
    Node,
    Problem,
    Scalar,
    normalise_text,
)

MAX_ROUTES = 200
MAX_HOSTS = 100
_HOST = re.compile(r"(?!-)[a-z0-9-]{1,63}(?<!-)(\.(?!-)[a-z0-9-]{1,63}(?<!-))*")
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
NO_SOURCE = Source(language="", parts=())  # replaced before the document is stored


@frozen(kw_only=True)
class Parsed:
    """A document, with its tokens and the positions of its parts in the text."""

    document: Document
    tokens: tuple[Token, ...]
    mark_by_part: dict[str, Mark] = field(factory=dict)
    """Keys are paths of keywords and names, such as `hosts/<host>`."""


def identify(text: str, words: Vocabulary) -> tuple[ItemKind, str] | Problem:
    """Return the kind and name of the item that a text describes."""
    node = _read_nodes(text)
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
    """Parse a text; `templates` give the types of a customer's parameters.

    `pause` is called at intervals while a long text is read.
    """
    node = _read_nodes(text, pause)
    if isinstance(node, Problem):
        return content_failure(node, "", words.language, file)
    reader = _DocumentReader(vocabulary=words)
    try:
        document = (
            reader.read_template(node)
            if kind is ItemKind.TEMPLATE
            else reader.read_customer(node, templates or {})
        )
    except ProblemError as error:
        return content_failure(error.problem, error.instead, words.language, file)
    return Parsed(
        document=document,
        tokens=tuple(reader.tokens),
        mark_by_part=reader.mark_by_part,
    )


def content_failure(
    problem: Problem, instead: str, language: str, file: str
) -> Failure:
    """Build the failure for a problem, worded in the operator's language."""
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


class _DocumentReader(FieldReader):
    """Read whole templates and customers."""

    def read_template(self, node: Node) -> Template:
        by_word = self.read_fields(node, TEMPLATE_WORDS, "")
        name = self.read_name(by_word, Word.TEMPLATE, node.mark)
        description = by_word.get(Word.DESCRIPTION)
        parameters = self._parameters(by_word.get(Word.PARAMETERS))
        type_by_name = {one.name: one.type for one in parameters}
        listed = self.read_list(by_word, Word.ROUTES, node.mark, MAX_ROUTES)
        routes: dict[str, RouteTemplate] = {}
        for number, item in enumerate(listed):
            route = self._route(item, type_by_name, f"routes/{number}/")
            if route.name in routes:
                self.refuse(Cause.NAME_TWICE, item.mark, name=route.name)
            routes[route.name] = route
        return Template(
            name=name,
            description=self.read_text(description) if description is not None else "",
            parameters=parameters,
            routes=tuple(routes.values()),
            source=NO_SOURCE,
        )

    def read_customer(self, node: Node, templates: dict[str, Template]) -> Customer:
        by_word = self.read_fields(node, CUSTOMER_WORDS, "")
        name = self.read_name(by_word, Word.CUSTOMER, node.mark)
        template_name = self.read_name(by_word, Word.TEMPLATE, node.mark)
        template = templates.get(template_name)
        if template is None:
            self.refuse(
                Cause.NO_SUCH_TEMPLATE,
                by_word[Word.TEMPLATE].mark,
                instead=nearest(template_name, templates),
                customer=name,
                template=template_name,
            )
        hosts: dict[str, None] = {}
        for item in self.read_list(by_word, Word.HOSTS, node.mark, MAX_HOSTS):
            host = self._host(item)
            if host in hosts:
                self.refuse(Cause.NAME_TWICE, item.mark, name=host)
            self.mark_by_part[f"hosts/{host}"] = item.mark
            hosts[host] = None
        return Customer(
            name=name,
            template=template_name,
            hosts=tuple(hosts),
            arguments=self._arguments(by_word.get(Word.PARAMETERS), template),
            source=NO_SOURCE,
        )

    def _parameters(self, node: Node | None) -> tuple[Parameter, ...]:
        if node is None or is_empty(node):
            return ()
        parameters: dict[str, Parameter] = {}
        for name, key, value in self.read_named_entries(node):
            part = f"parameters/{name}/"
            by_word = self.read_fields(value, PARAMETER_WORDS, part)
            type_node = self.require(by_word, Word.TYPE, key.mark)
            type_ = TYPE_BY_WORD[self.read_keyword(type_node, tuple(TYPE_BY_WORD))]
            default = by_word.get(Word.DEFAULT)
            parameters[name] = Parameter(
                name=name,
                type=type_,
                default=None if default is None else self.read_value(default, type_),
            )
        return tuple(parameters.values())

    def _route(
        self, node: Node, type_by_name: dict[str, ParameterType], part: str
    ) -> RouteTemplate:
        by_word = self.read_fields(node, ROUTE_WORDS, part)
        path_node = self.require(by_word, Word.PATH, node.mark)
        path, sample = self.read_text_with_references(path_node, type_by_name)
        if not is_path(sample):
            self.refuse(Cause.BAD_PATH, path_node.mark, path=path)
        service_node = self.require(by_word, Word.SERVICE, node.mark)
        service, sample = self.read_text_with_references(service_node, type_by_name)
        if not is_service(sample):
            self.refuse(Cause.BAD_SERVICE, service_node.mark, service=service)
        return RouteTemplate(
            name=self.read_name(by_word, Word.NAME, node.mark),
            path=path,
            methods=self._methods(by_word, node.mark),
            service=service,
            idempotent=self.read_setting(
                by_word.get(Word.IDEMPOTENT),
                ParameterType.BOOLEAN,
                False,
                type_by_name,
            ),
            timeout_s=self.read_setting(
                by_word.get(Word.TIMEOUT),
                ParameterType.DURATION,
                DEFAULT_TIMEOUT_S,
                type_by_name,
            ),
            share=self.read_setting(
                by_word.get(Word.SHARE),
                ParameterType.SHARE,
                DEFAULT_SHARE,
                type_by_name,
            ),
        )

    def _methods(self, by_word: dict[Word, Node], mark: Mark) -> tuple[str, ...]:
        methods: dict[str, None] = {}
        for item in self.read_list(by_word, Word.METHODS, mark, len(METHODS)):
            method = self.read_text(item).upper()
            if method not in METHODS:
                instead = nearest(method, METHODS)
                self.refuse(Cause.BAD_METHOD, item.mark, instead=instead, method=method)
            methods[method] = None
        return tuple(sorted(methods))

    def _host(self, node: Node) -> str:
        text = self.read_text(node).lower()
        try:
            host = text.encode("idna").decode("ascii")
        except UnicodeError:
            host = ""
        if _HOST.fullmatch(host) is None:
            self.refuse(Cause.BAD_HOST, node.mark, host=text)
        return host

    def _arguments(self, node: Node | None, template: Template) -> tuple[Argument, ...]:
        if node is None or is_empty(node):
            return ()
        arguments: list[Argument] = []
        parameter_by_name = template.parameter_by_name
        for name, key, value in self.read_named_entries(node):
            parameter = parameter_by_name.get(name)
            if parameter is None:
                self.refuse(
                    Cause.UNKNOWN_PARAMETER,
                    key.mark,
                    instead=nearest(name, parameter_by_name),
                    parameter=name,
                    template=template.name,
                )
            read_value = self.read_value(value, parameter.type)
            arguments.append(Argument(name=name, type=parameter.type, value=read_value))
        return tuple(sorted(arguments, key=lambda one: one.name))


def _read_nodes(text: str, pause: Callable[[], None] | None = None) -> Node | Problem:
    # Imported on use: a node that only applies versions does not load the YAML library.
    from comfreytray.configuration.yamlreader import read

    return read(normalise_text(text), pause=pause)
