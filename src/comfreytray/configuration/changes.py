"""Turn operators' texts into a checked change of a version's items."""

from collections.abc import Callable, Mapping, Sequence

from attrs import evolve, field, frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.acceptance import Edited
from comfreytray.configuration.compiler import CompileCache, compile_catalogue, refuse
from comfreytray.configuration.content import digest_of, split_body
from comfreytray.configuration.documents import (
    Catalogue,
    Document,
    ItemKind,
    ParameterType,
    Source,
    Template,
    decode_catalogue,
    encode_document,
    item_key,
)
from comfreytray.configuration.fieldreader import WORD_BY_TYPE
from comfreytray.configuration.languages import Vocabulary, nearest, vocabulary
from comfreytray.configuration.rejections import Cause
from comfreytray.configuration.templates import Parsed, content_failure, parse
from comfreytray.configuration.versions import NO_VERSION
from comfreytray.configuration.yamltext import Mark, Problem, normalise_text

EDIT = "edit"
REMOVE = "remove"
Pause = Callable[[], None]


@frozen(kw_only=True)
class ItemText:
    """Hold an operator's text for an item; None removes the item."""

    kind: ItemKind
    name: str
    text: str | None
    language: str | None = None
    """Language of the text if it isn't the operator's."""
    base: str | None = None
    """Digest that the operator began from, empty for a new item."""
    file: str = ""
    """Where the text came from, for messages."""

    @property
    def key(self) -> str:
        """Name the item within a version."""
        return item_key(self.kind, self.name)

    @property
    def place(self) -> str:
        """Name the text in messages."""
        return self.file or self.key


@frozen(kw_only=True)
class Draft:
    """Hold a checked change and the documents that it leads to."""

    edited: Edited
    catalogue: Catalogue
    parsed_by_key: dict[str, Parsed] = field(factory=dict)


def prepare(
    items: Sequence[ItemText],
    body_by_key: Mapping[str, bytes],
    *,
    language: str,
    cache: CompileCache,
    pause: Pause | None = None,
) -> Draft | Failure:
    """Read and check texts on top of a version's items."""
    catalogue = decode_catalogue(body_by_key, cache.document_by_digest)
    if isinstance(catalogue, Failure):
        return catalogue
    parsed_by_key: dict[str, Parsed] = {}
    documents: dict[str, Document | None] = {}
    texts_by_key: dict[str, list[bytes]] = {}
    for item in sorted(items, key=_templates_first):
        if item.key in documents:
            problem = Problem(cause=Cause.NAME_TWICE, fields={"name": item.name})
            return content_failure(problem, "", language, item.place)
        if item.text is None:
            failed = _remove(item, catalogue)
            if failed is not None:
                return failed
            documents[item.key] = None
            continue
        parsed = _read(item, catalogue, vocabulary(item.language or language), pause)
        if isinstance(parsed, Failure):
            return parsed
        document = _with_source(parsed.document, item, language, texts_by_key)
        parsed_by_key[item.key] = parsed
        documents[item.key] = document
        _insert(document, catalogue)
    failed = _check(items, catalogue, parsed_by_key, language, cache)
    if failed is not None:
        return failed
    return _draft(documents, body_by_key, texts_by_key, catalogue, parsed_by_key)


def _templates_first(item: ItemText) -> tuple[bool, bool]:
    return (item.kind is not ItemKind.TEMPLATE, item.text is not None)


def _remove(item: ItemText, catalogue: Catalogue) -> Failure | None:
    if catalogue.get(item.kind, item.name) is None:
        names = (
            catalogue.template_by_name
            if item.kind is ItemKind.TEMPLATE
            else catalogue.customer_by_name
        )
        fields = {"name": item.name, "nearest": nearest(item.name, sorted(names))}
        return Failure(kind=Kind.NOT_FOUND, detail=item.key, fields=fields)
    if item.kind is ItemKind.TEMPLATE:
        del catalogue.template_by_name[item.name]
    else:
        del catalogue.customer_by_name[item.name]
    return None


def _read(
    item: ItemText, catalogue: Catalogue, words: Vocabulary, pause: Pause | None
) -> Parsed | Failure:
    assert item.text is not None
    parsed = parse(
        item.kind,
        item.text,
        words,
        file=item.place,
        templates=catalogue.template_by_name,
        pause=pause,
    )
    if isinstance(parsed, Failure) or parsed.document.name == item.name:
        return parsed
    mark = parsed.mark_by_part[item.kind.value]
    fields = {"name": parsed.document.name, "wanted": item.name}
    problem = Problem(cause=Cause.OTHER_NAME, mark=mark, fields=fields)
    return content_failure(problem, item.name, words.language, item.place)


def _with_source(
    document: Document,
    item: ItemText,
    language: str,
    texts_by_key: dict[str, list[bytes]],
) -> Document:
    assert item.text is not None
    parts = split_body(normalise_text(item.text).encode())
    texts_by_key[item.key] = parts
    source = Source(
        language=item.language or language,
        parts=tuple(digest_of(part) for part in parts),
    )
    return evolve(document, source=source)


def _insert(document: Document, catalogue: Catalogue) -> None:
    if isinstance(document, Template):
        catalogue.template_by_name[document.name] = document
    else:
        catalogue.customer_by_name[document.name] = document


def _check(
    items: Sequence[ItemText],
    catalogue: Catalogue,
    parsed_by_key: Mapping[str, Parsed],
    language: str,
    cache: CompileCache,
) -> Failure | None:
    """Compile the outcome as a node would; place a refusal in the operator's text."""
    failed: object = _check_removals(items, catalogue)
    if failed is None:
        failed = compile_catalogue(NO_VERSION, catalogue, cache=cache)
    if not isinstance(failed, Failure):
        return None
    return _localise(failed, items, parsed_by_key, language)


def _check_removals(items: Sequence[ItemText], catalogue: Catalogue) -> Failure | None:
    for item in items:
        if item.text is not None or item.kind is not ItemKind.TEMPLATE:
            continue
        users = [customer.name for customer in catalogue.users(item.name)]
        if users:
            return refuse(
                Cause.TEMPLATE_IN_USE, template=item.name, customers=", ".join(users)
            )
    return None


def _localise(
    failure: Failure,
    items: Sequence[ItemText],
    parsed_by_key: Mapping[str, Parsed],
    language: str,
) -> Failure:
    fields = dict(failure.fields)
    cause = fields.pop("cause_id", "")
    if not cause:
        return failure
    key = item_key(ItemKind.CUSTOMER, fields.get("customer", ""))
    place = next((item for item in items if item.key == key), items[0])
    parsed = parsed_by_key.get(place.key)
    mark = Mark()
    if parsed is not None:
        for part in (
            f"parameters/{fields.get('parameter', '')}",
            f"hosts/{fields.get('host', '')}",
            "parameters" if "parameter" in fields else "",
        ):
            mark = parsed.mark_by_part.get(part, mark)
            if part in parsed.mark_by_part:
                break
    if "type" in fields:
        word = WORD_BY_TYPE[ParameterType(fields["type"])]
        fields["type"] = vocabulary(language).spelling(word)
    problem = Problem(cause=Cause(cause), mark=mark, fields=fields)
    return content_failure(problem, "", language, place.place)


def _draft(
    documents: Mapping[str, Document | None],
    body_by_key: Mapping[str, bytes],
    texts_by_key: Mapping[str, list[bytes]],
    catalogue: Catalogue,
    parsed_by_key: dict[str, Parsed],
) -> Draft | Failure:
    changed: dict[str, bytes | None] = {}
    for key, document in documents.items():
        body = None if document is None else encode_document(document)
        if body != body_by_key.get(key):
            changed[key] = body
    if not changed:
        return Failure(kind=Kind.NOTHING_CHANGED)
    summary = REMOVE if all(body is None for body in changed.values()) else EDIT
    texts = [part for key in changed for part in texts_by_key.get(key, ())]
    edited = Edited(body_by_key=changed, extra_blobs=tuple(texts), summary=summary)
    return Draft(edited=edited, catalogue=catalogue, parsed_by_key=parsed_by_key)
