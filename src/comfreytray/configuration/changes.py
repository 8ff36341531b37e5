"""Parse and check operators' texts and turn them into a change of a version."""

from collections.abc import Callable, Mapping, Sequence

from attrs import evolve, field, frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.acceptance import VersionChange
from comfreytray.configuration.compiler import (
    CompileCache,
    compile_catalogue,
    compile_failure,
)
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
"""Yields to other green threads; called between the steps of long work."""


@frozen(kw_only=True)
class ItemText:
    """An operator's text for an item; a text of None removes the item."""

    kind: ItemKind
    name: str
    text: str | None
    language: str | None = None
    """Language of the text, if it differs from the operator's."""
    base: str | None = None
    """Digest of the body that was edited, empty for a new item."""
    file: str = ""
    """Path of the file that the text was read from, for messages."""

    @property
    def key(self) -> str:
        """Key of the item within a version."""
        return item_key(self.kind, self.name)

    @property
    def label(self) -> str:
        """How messages refer to the text: by file, else by item key."""
        return self.file or self.key


@frozen(kw_only=True)
class Draft:
    """A checked change and the documents of the version that it leads to."""

    change: VersionChange
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
    """Parse texts and check them against a version's items.

    Messages are in `language`; `pause` is called between the steps of parsing.
    """
    catalogue = decode_catalogue(body_by_key, cache.document_by_digest)
    if isinstance(catalogue, Failure):
        return catalogue
    parsed_by_key: dict[str, Parsed] = {}
    document_by_key: dict[str, Document | None] = {}
    texts_by_key: dict[str, list[bytes]] = {}
    for item in sorted(items, key=_templates_first):
        if item.key in document_by_key:
            problem = Problem(cause=Cause.NAME_TWICE, fields={"name": item.name})
            return content_failure(problem, "", language, item.label)
        if item.text is None:
            failed = _remove(item, catalogue)
            if failed is not None:
                return failed
            document_by_key[item.key] = None
            continue
        parsed = _parse_item(
            item, catalogue, vocabulary(item.language or language), pause
        )
        if isinstance(parsed, Failure):
            return parsed
        document = _with_source(parsed.document, item, language, texts_by_key)
        parsed_by_key[item.key] = parsed
        document_by_key[item.key] = document
        _insert(document, catalogue)
    failed = _check_catalogue(items, catalogue, parsed_by_key, language, cache)
    if failed is not None:
        return failed
    return _build_draft(
        document_by_key, body_by_key, texts_by_key, catalogue, parsed_by_key
    )


def _templates_first(item: ItemText) -> tuple[bool, bool]:
    """Sort templates before customers and removals before new texts."""
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


def _parse_item(
    item: ItemText, catalogue: Catalogue, words: Vocabulary, pause: Pause | None
) -> Parsed | Failure:
    assert item.text is not None
    parsed = parse(
        item.kind,
        item.text,
        words,
        file=item.label,
        templates=catalogue.template_by_name,
        pause=pause,
    )
    if isinstance(parsed, Failure) or parsed.document.name == item.name:
        return parsed
    mark = parsed.mark_by_part[item.kind.value]
    fields = {"name": parsed.document.name, "wanted": item.name}
    problem = Problem(cause=Cause.OTHER_NAME, mark=mark, fields=fields)
    return content_failure(problem, item.name, words.language, item.label)


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


def _check_catalogue(
    items: Sequence[ItemText],
    catalogue: Catalogue,
    parsed_by_key: Mapping[str, Parsed],
    language: str,
    cache: CompileCache,
) -> Failure | None:
    """Compile the changed catalogue as a node would; locate failures in the texts."""
    failed: object = _check_removals(items, catalogue)
    if failed is None:
        failed = compile_catalogue(NO_VERSION, catalogue, cache=cache)
    if not isinstance(failed, Failure):
        return None
    return _locate(failed, items, parsed_by_key, language)


def _check_removals(items: Sequence[ItemText], catalogue: Catalogue) -> Failure | None:
    """Refuse to remove a template that customers use."""
    for item in items:
        if item.text is not None or item.kind is not ItemKind.TEMPLATE:
            continue
        users = [customer.name for customer in catalogue.customers_of(item.name)]
        if users:
            return compile_failure(
                Cause.TEMPLATE_IN_USE, template=item.name, customers=", ".join(users)
            )
    return None


def _locate(
    failure: Failure,
    items: Sequence[ItemText],
    parsed_by_key: Mapping[str, Parsed],
    language: str,
) -> Failure:
    """Add the line of the text that caused a failure, and words in the language."""
    fields = dict(failure.fields)
    cause = fields.pop("cause_id", "")
    if not cause:
        return failure
    key = item_key(ItemKind.CUSTOMER, fields.get("customer", ""))
    refused_item = next((item for item in items if item.key == key), items[0])
    parsed = parsed_by_key.get(refused_item.key)
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
    return content_failure(problem, "", language, refused_item.label)


def _build_draft(
    document_by_key: Mapping[str, Document | None],
    body_by_key: Mapping[str, bytes],
    texts_by_key: Mapping[str, list[bytes]],
    catalogue: Catalogue,
    parsed_by_key: dict[str, Parsed],
) -> Draft | Failure:
    changed_body_by_key: dict[str, bytes | None] = {}
    for key, document in document_by_key.items():
        body = None if document is None else encode_document(document)
        if body != body_by_key.get(key):
            changed_body_by_key[key] = body
    if not changed_body_by_key:
        return Failure(kind=Kind.NOTHING_CHANGED)
    summary = (
        REMOVE if all(body is None for body in changed_body_by_key.values()) else EDIT
    )
    texts = [part for key in changed_body_by_key for part in texts_by_key.get(key, ())]
    change = VersionChange(
        body_by_key=changed_body_by_key, extra_blobs=tuple(texts), summary=summary
    )
    return Draft(change=change, catalogue=catalogue, parsed_by_key=parsed_by_key)
