"""Templates and customers in canonical form, independent of the language."""

import re
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

import attrs
import msgpack
from attrs import field, frozen
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.content import digest_of

FORMAT_VERSION = 1
"""Version of the encoding of documents."""
REFERENCE = re.compile(r"\$\(([^()]*)\)")
"""Matches `$(name)`, a reference to a parameter."""
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
DEFAULT_TIMEOUT_S = 5.0
DEFAULT_SHARE = 1.0
Value = str | float | bool
_converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


class ItemKind(Enum):
    """Kinds of items that operators edit."""

    TEMPLATE = "template"
    CUSTOMER = "customer"


class ParameterType(Enum):
    """Types of template parameters."""

    TEXT = "text"
    DURATION = "duration"
    SHARE = "share"
    BOOLEAN = "boolean"


@frozen(kw_only=True)
class Source:
    """Refer to the stored text that an operator wrote."""

    language: str
    parts: tuple[bytes, ...]
    """Digests of the blobs that make up the text."""


@frozen(kw_only=True)
class Parameter:
    """A parameter of a template; required if it has no default."""

    name: str
    type: ParameterType
    default: Value | None = None


@frozen(kw_only=True)
class Setting:
    """A value, or the name of the parameter that gives it."""

    value: Value | None = None
    parameter: str = ""


@frozen(kw_only=True)
class RouteTemplate:
    """A route of a template; path and service may refer to text parameters."""

    name: str
    path: str
    methods: tuple[str, ...]
    service: str
    idempotent: Setting = Setting(value=False)
    timeout_s: Setting = Setting(value=DEFAULT_TIMEOUT_S)
    share: Setting = Setting(value=DEFAULT_SHARE)


@frozen(kw_only=True)
class Template:
    """Routes that are instantiated for each customer with its arguments."""

    name: str
    description: str
    parameters: tuple[Parameter, ...]
    routes: tuple[RouteTemplate, ...]
    source: Source

    @property
    def parameter_by_name(self) -> dict[str, Parameter]:
        """Parameters by name."""
        return {parameter.name: parameter for parameter in self.parameters}


@frozen(kw_only=True)
class Argument:
    """The value that a customer gives to a parameter."""

    name: str
    type: ParameterType
    value: Value


@frozen(kw_only=True)
class Customer:
    """One customer: its hosts, and its arguments for a template."""

    name: str
    template: str
    hosts: tuple[str, ...]
    arguments: tuple[Argument, ...]
    source: Source


Document = Template | Customer
_CLASS_BY_KIND: dict[ItemKind, type[Template] | type[Customer]] = {
    ItemKind.TEMPLATE: Template,
    ItemKind.CUSTOMER: Customer,
}


@frozen(kw_only=True)
class Catalogue:
    """The documents of one version."""

    template_by_name: dict[str, Template] = field(factory=dict)
    customer_by_name: dict[str, Customer] = field(factory=dict)

    def get(self, kind: ItemKind, name: str) -> Document | None:
        """Return a document, or None if there is none."""
        if kind is ItemKind.TEMPLATE:
            return self.template_by_name.get(name)
        return self.customer_by_name.get(name)

    def customers_of(self, template: str) -> list[Customer]:
        """List the customers that use a template, by name."""
        customers = sorted(self.customer_by_name.values(), key=lambda one: one.name)
        return [one for one in customers if one.template == template]


def _row_hook(cls: type) -> Callable[[Any, Any], Any]:
    """Structure a class from a list of its fields; absent last ones get defaults."""
    attributes = attrs.fields(cls)

    def structure(row: Any, _: Any) -> Any:
        if not isinstance(row, list) or len(row) > len(attributes):
            raise ValueError(
                f"{cls.__name__} is not a list of up to {len(attributes)} fields"
            )
        pairs = zip(attributes, row, strict=False)
        return cls(
            **{one.name: _converter.structure(part, one.type) for one, part in pairs}
        )

    return structure


_converter.register_structure_hook_factory(attrs.has, _row_hook)


def item_key(kind: ItemKind, name: str) -> str:
    """Return the key of an item within a version."""
    return f"{kind.value}/{name}"


def split_key(key: str) -> tuple[ItemKind, str]:
    """Split an item key into kind and name."""
    kind, _, name = key.partition("/")
    return ItemKind(kind), name


def kind_of(document: Document) -> ItemKind:
    """Return the kind of a document."""
    return ItemKind.TEMPLATE if isinstance(document, Template) else ItemKind.CUSTOMER


def encode_document(document: Document) -> bytes:
    """Encode a document as an item's body."""
    plain = _converter.unstructure(document)
    return msgpack.packb([FORMAT_VERSION, kind_of(document).value, plain])  # type: ignore[no-any-return]


def decode_document(body: bytes) -> Document | Failure:
    """Decode an item's body."""
    try:
        number, kind, plain = msgpack.unpackb(body)
        if number != FORMAT_VERSION:
            return Failure(kind=Kind.BAD_FRAME, detail=f"document format {number!r}")
        return _converter.structure(plain, _CLASS_BY_KIND[ItemKind(kind)])
    except Exception as error:
        return Failure(kind=Kind.BAD_FRAME, detail=f"document: {type(error).__name__}")


def decode_catalogue(
    body_by_key: Mapping[str, bytes],
    document_by_digest: dict[bytes, Document] | None = None,
) -> Catalogue | Failure:
    """Decode all items of a version.

    `document_by_digest` is a cache of documents by the digests of their bodies; it
    is left with the documents of this version.
    """
    catalogue = Catalogue()
    used: dict[bytes, Document] = {}
    for key, body in body_by_key.items():
        digest = digest_of(body)
        document = (
            document_by_digest.get(digest) if document_by_digest is not None else None
        )
        decoded = decode_document(body) if document is None else document
        if isinstance(decoded, Failure):
            return decoded
        if item_key(kind_of(decoded), decoded.name) != key:
            return Failure(kind=Kind.BAD_FRAME, detail=f"{key} holds {decoded.name}")
        used[digest] = decoded
        if isinstance(decoded, Template):
            catalogue.template_by_name[decoded.name] = decoded
        else:
            catalogue.customer_by_name[decoded.name] = decoded
    if document_by_digest is not None:
        document_by_digest.clear()
        document_by_digest.update(used)
    return catalogue
