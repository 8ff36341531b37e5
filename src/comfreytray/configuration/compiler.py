"""Compile the documents of a version into the routes that a node serves."""

import re

from attrs import define, field, frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.content import Content, Head
from comfreytray.configuration.documents import (
    METHODS,
    REFERENCE,
    Argument,
    Catalogue,
    Customer,
    Document,
    RouteTemplate,
    Setting,
    Template,
    Value,
    decode_catalogue,
)
from comfreytray.configuration.rejections import Cause
from comfreytray.configuration.snapshots import Route, Snapshot

MAX_PATH_LENGTH = 512
"""Characters of a path prefix."""
MAX_TIMEOUT_S = 300.0
_PATH = re.compile(
    r"/(?:[A-Za-z0-9._~!$&'*+,;=:@%-]++/)*+(?:[A-Za-z0-9._~!$&'*+,;=:@%-]++)?"
)
_SEGMENT = re.compile(r"[A-Za-z0-9_~-][A-Za-z0-9._~-]{0,99}")
_SERVICE = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")


@frozen(kw_only=True)
class _CompiledCustomer:
    """The routes of a customer and the documents that they were compiled from."""

    customer: Customer
    template: Template
    routes: tuple[Route, ...]


@define(kw_only=True)
class CompileCache:
    """Decoded documents and compiled customers of the version compiled last."""

    document_by_digest: dict[bytes, Document] = field(factory=dict)
    compiled_by_customer: dict[str, _CompiledCustomer] = field(factory=dict)


class Compiler:
    """Compile versions incrementally: only what changed since the one before."""

    def __init__(self) -> None:
        self._cache = CompileCache()

    def compile(self, head: Head, content: Content) -> Snapshot | Failure:
        """Compile a version whose blobs are all present."""
        return compile_snapshot(head, content, cache=self._cache)


def compile_snapshot(
    head: Head, content: Content, *, cache: CompileCache | None = None
) -> Snapshot | Failure:
    """Compile a version whose blobs are all present; with a cache, only changes."""
    body_by_key = content.items(head)
    if isinstance(body_by_key, Failure):
        return body_by_key
    cache = CompileCache() if cache is None else cache
    catalogue = decode_catalogue(body_by_key, cache.document_by_digest)
    if isinstance(catalogue, Failure):
        return catalogue
    return compile_catalogue(head, catalogue, cache=cache)


def compile_catalogue(
    head: Head, catalogue: Catalogue, *, cache: CompileCache | None = None
) -> Snapshot | Failure:
    """Compile decoded documents; store the result in the cache if one is given."""
    cache = CompileCache() if cache is None else cache
    compiled_by_customer: dict[str, _CompiledCustomer] = {}
    customer_by_host: dict[str, str] = {}
    for name in sorted(catalogue.customer_by_name):
        customer = catalogue.customer_by_name[name]
        compiled = _compile_if_changed(customer, catalogue, cache)
        if isinstance(compiled, Failure):
            return compiled
        compiled_by_customer[name] = compiled
        for host in customer.hosts:
            if host in customer_by_host:
                other = customer_by_host[host]
                return compile_failure(
                    Cause.HOST_TAKEN, customer=name, host=host, other=other
                )
            customer_by_host[host] = name
    cache.compiled_by_customer = compiled_by_customer
    return Snapshot(
        head=head,
        routes_by_customer={
            name: compiled.routes for name, compiled in compiled_by_customer.items()
        },
        customer_by_host=customer_by_host,
    )


def _compile_if_changed(
    customer: Customer, catalogue: Catalogue, cache: CompileCache
) -> _CompiledCustomer | Failure:
    """Compile a customer, unless the cache holds it for the same two documents."""
    template = catalogue.template_by_name.get(customer.template)
    previous = cache.compiled_by_customer.get(customer.name)
    if (
        previous is not None
        and previous.customer is customer
        and previous.template is template
    ):
        return previous
    routes = compile_customer(customer, catalogue)
    if isinstance(routes, Failure):
        return routes
    assert template is not None
    return _CompiledCustomer(customer=customer, template=template, routes=routes)


def compile_failure(cause: Cause, **fields: str) -> Failure:
    """Build the failure for invalid content; `cause.<name>` is its catalogue text."""
    detail = " ".join(
        [cause.value, *(f"{name}={value}" for name, value in fields.items())]
    )
    return Failure(
        kind=Kind.INVALID_CONTENT,
        detail=detail,
        fields={"cause_id": cause.value, **fields},
    )


def compile_customer(
    customer: Customer, catalogue: Catalogue
) -> tuple[Route, ...] | Failure:
    """Build the routes of a customer from its template, longest path first."""
    template = catalogue.template_by_name.get(customer.template)
    if template is None:
        return compile_failure(
            Cause.NO_SUCH_TEMPLATE, customer=customer.name, template=customer.template
        )
    values = bind_arguments(template, customer)
    if isinstance(values, Failure):
        return values
    routes: list[Route] = []
    name_by_path_and_method: dict[tuple[str, str], str] = {}
    for route_template in template.routes:
        route = _compile_route(customer.name, route_template, values)
        if isinstance(route, Failure):
            return route
        for method in sorted(route.methods):
            other = name_by_path_and_method.setdefault((route.path, method), route.name)
            if other != route.name:
                return compile_failure(
                    Cause.ROUTE_UNREACHABLE,
                    customer=customer.name,
                    route=route.name,
                    other=other,
                    path=route.path,
                )
        routes.append(route)
    return tuple(sorted(routes, key=lambda one: (-len(one.path), one.path, one.name)))


def bind_arguments(
    template: Template, customer: Customer
) -> dict[str, Value] | Failure:
    """Return the value of each template parameter: the argument, else the default."""
    values: dict[str, Value] = {}
    argument_by_name = {argument.name: argument for argument in customer.arguments}
    parameter_by_name = template.parameter_by_name
    for name in argument_by_name:
        if name not in parameter_by_name:
            return compile_failure(
                Cause.UNKNOWN_PARAMETER,
                customer=customer.name,
                parameter=name,
                template=template.name,
            )
    for name, parameter in parameter_by_name.items():
        argument: Argument | None = argument_by_name.get(name)
        if argument is not None and argument.type is not parameter.type:
            return compile_failure(
                Cause.WRONG_TYPE,
                customer=customer.name,
                parameter=name,
                type=parameter.type.value,
            )
        value = argument.value if argument is not None else parameter.default
        if value is None:
            return compile_failure(
                Cause.MISSING_PARAMETER, customer=customer.name, parameter=name
            )
        values[name] = value
    return values


def _compile_route(
    customer: str, template: RouteTemplate, values: dict[str, Value]
) -> Route | Failure:
    """Build one route; stored documents are checked as strictly as texts."""
    for name in REFERENCE.findall(template.path + template.service):
        if name not in values:
            return compile_failure(
                Cause.UNKNOWN_REFERENCE, customer=customer, parameter=name
            )
    path = substitute_references(template.path, values)
    unsafe = _unsafe_parameters(template.path, values)
    if unsafe or not is_path(path):
        return compile_failure(
            Cause.BAD_PATH,
            customer=customer,
            route=template.name,
            path=path,
            parameter=unsafe[0] if unsafe else "",
        )
    service = substitute_references(template.service, values)
    if not is_service(service):
        return compile_failure(
            Cause.BAD_SERVICE, customer=customer, route=template.name, service=service
        )
    if not template.methods or not set(template.methods) <= set(METHODS):
        methods = ", ".join(template.methods)
        return compile_failure(Cause.BAD_METHOD, customer=customer, method=methods)
    timeout_s = _resolve_number(template.timeout_s, values)
    if not 0 < timeout_s <= MAX_TIMEOUT_S:
        return compile_failure(
            Cause.BAD_TIMEOUT, customer=customer, route=template.name
        )
    share = _resolve_number(template.share, values)
    if not 0 < share <= 1:
        return compile_failure(Cause.BAD_SHARE, customer=customer, route=template.name)
    return Route(
        customer=customer,
        name=template.name,
        path=path,
        methods=frozenset(template.methods),
        service=service,
        idempotent=_resolve(template.idempotent, values) is True,
        timeout_s=timeout_s,
        share=share,
    )


def substitute_references(text: str, values: dict[str, Value]) -> str:
    """Replace each reference by its parameter's value; values are not expanded."""
    return REFERENCE.sub(lambda match: str(values[match[1]]), text)


def is_path(path: str) -> bool:
    """Whether a text is a path prefix without dot segments and empty segments."""
    if len(path) > MAX_PATH_LENGTH or _PATH.fullmatch(path) is None:
        return False
    return not any(segment in (".", "..") for segment in path.split("/"))


def is_service(service: str) -> bool:
    """Whether a text is a valid service name."""
    return _SERVICE.fullmatch(service) is not None


def _unsafe_parameters(path: str, values: dict[str, Value]) -> list[str]:
    """List the parameters in a path whose values are not safe within a segment."""
    names = REFERENCE.findall(path)
    return [name for name in names if _SEGMENT.fullmatch(str(values[name])) is None]


def _resolve(setting: Setting, values: dict[str, Value]) -> Value | None:
    return values.get(setting.parameter) if setting.parameter else setting.value


def _resolve_number(setting: Setting, values: dict[str, Value]) -> float:
    """Resolve a setting as a number; 0, which no field allows, if it is not one."""
    value = _resolve(setting, values)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and value is not None else 0.0
