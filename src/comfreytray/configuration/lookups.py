"""Read-only operations on templates, customers and versions."""

import difflib
import random
from collections.abc import Callable

from comfreytray.common import messages
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock, ObjectStore
from comfreytray.configuration.acceptance import Acceptance
from comfreytray.configuration.changes import Pause
from comfreytray.configuration.compiler import CompileCache
from comfreytray.configuration.content import Content, Head, digest_of
from comfreytray.configuration.documents import (
    Catalogue,
    Document,
    ItemKind,
    decode_catalogue,
    item_key,
    split_key,
)
from comfreytray.configuration.garbage import DEFAULT_KEEP_VERSIONS
from comfreytray.configuration.languages import nearest, vocabulary
from comfreytray.configuration.operationresults import (
    DiffResult,
    HistoryEntry,
    ItemSummary,
    ItemView,
    history_entry,
)
from comfreytray.configuration.rendering import render, translate
from comfreytray.configuration.templates import Parsed, parse
from comfreytray.configuration.versions import NO_VERSION, Versions

DEFAULT_HISTORY_LIMIT = 20


class Lookups:
    """Read items and the history of versions for operators."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        random: random.Random,
        content: Content | None = None,
        services: Callable[[], frozenset[str]] | None = None,
        pause: Pause | None = None,
        keep_versions: int = DEFAULT_KEEP_VERSIONS,
    ) -> None:
        """Create the operations; share a node's `content` to save store calls.

        `services` returns the services that have an endpoint now; `pause` is
        called to let other work run; `keep_versions` is how many versions garbage
        collection keeps.
        """
        self._keep_versions = keep_versions
        self._store = store
        self._own_content = content is None
        self._content = Content() if content is None else content
        self._versions = Versions(store=store, content=self._content)
        self._acceptance = Acceptance(
            store=store,
            clock=clock,
            random=random,
            content=self._content,
            versions=self._versions,
        )
        self._cache = CompileCache()
        self._services = services
        self._pause = pause

    def head(self) -> Head | Failure:
        """Return the newest accepted version; version 0 means none yet."""
        stored = self._versions.read_head()
        return stored if isinstance(stored, Failure) else stored.head

    def history(
        self, limit: int = DEFAULT_HISTORY_LIMIT, *, language: str = "en"
    ) -> tuple[HistoryEntry, ...] | Failure:
        """Return up to `limit` accepted versions, newest first."""
        head = self.head()
        if isinstance(head, Failure):
            return head
        entries: list[HistoryEntry] = []
        for step in self._versions.walk(head):
            if len(entries) >= limit or _is_garbage_collected(step):
                break
            if isinstance(step, Failure):
                return step
            entries.append(history_entry(step[1], language))
        return tuple(entries)

    def list_items(self, kind: ItemKind) -> tuple[ItemSummary, ...] | Failure:
        """Return the items of a kind in the newest version, sorted by name."""
        head = self.head()
        items = head if isinstance(head, Failure) else self._items(head)
        if isinstance(items, Failure):
            return items
        catalogue = decode_catalogue(items, self._cache.document_by_digest)
        if isinstance(catalogue, Failure):
            return catalogue
        summaries: list[ItemSummary] = []
        for key in sorted(items):
            key_kind, name = split_key(key)
            document = catalogue.get(kind, name)
            if key_kind is not kind or document is None:
                continue
            summaries.append(
                ItemSummary(
                    kind=kind,
                    name=name,
                    language=document.source.language,
                    digest=digest_of(items[key]).hex(),
                )
            )
        return tuple(summaries)

    def show(
        self,
        kind: ItemKind,
        name: str,
        *,
        version: int | None = None,
        language: str | None = None,
    ) -> ItemView | Failure:
        """Return an item, by default of the newest version and in its own language."""
        if language is not None and language not in messages.LANGUAGES:
            return Failure(kind=Kind.BAD_REQUEST, detail=f"language {language!r}")
        head = self._find(version)
        items = head if isinstance(head, Failure) else self._items(head)
        if isinstance(items, Failure):
            return items
        assert not isinstance(head, Failure)
        catalogue = decode_catalogue(items, self._cache.document_by_digest)
        if isinstance(catalogue, Failure):
            return catalogue
        document = catalogue.get(kind, name)
        if document is None:
            return _not_found(kind, name, catalogue)
        text = self._text(kind, document, catalogue, language)
        if isinstance(text, Failure):
            return text
        return ItemView(
            kind=kind,
            name=name,
            text=text,
            language=language or document.source.language,
            source_language=document.source.language,
            digest=digest_of(items[item_key(kind, name)]).hex(),
            version=head.version,
        )

    def diff(
        self,
        kind: ItemKind,
        name: str,
        *,
        from_version: int,
        to_version: int,
        language: str | None = None,
    ) -> DiffResult | Failure:
        """Return the unified diff of an item's texts in two versions.

        Without a language, each text is in the one it was written in.
        """
        lines_by_version: dict[int, list[str]] = {}
        absent: list[Failure] = []
        for version in (from_version, to_version):
            view = self.show(kind, name, version=version, language=language)
            if isinstance(view, Failure) and view.kind is not Kind.NOT_FOUND:
                return view
            if isinstance(view, Failure):
                absent.append(view)
            text = "" if isinstance(view, Failure) else view.text
            lines_by_version[version] = text.splitlines(keepends=True)
        if len(absent) > 1:
            return absent[0]
        difference = difflib.unified_diff(
            lines_by_version[from_version],
            lines_by_version[to_version],
            fromfile=f"{item_key(kind, name)}@{from_version}",
            tofile=f"{item_key(kind, name)}@{to_version}",
        )
        return DiffResult(text="".join(difference))

    def _items(self, head: Head) -> dict[str, bytes] | Failure:
        return self._versions.items(head)

    def _find(self, version: int | None) -> Head | Failure:
        head = self.head()
        if isinstance(head, Failure) or version is None:
            return head
        if version == 0:
            return NO_VERSION
        return self._versions.find(head, version)

    def _text(
        self,
        kind: ItemKind,
        document: Document,
        catalogue: Catalogue,
        language: str | None,
    ) -> str | Failure:
        """Return an item's stored text, translated if another language is wanted.

        Nodes hold no texts: one that the store has lost is rendered from the item,
        without the operator's comments.
        """
        source = document.source
        target = vocabulary(language or source.language)
        parts: list[bytes] = []
        for digest in source.parts:
            part = self._versions.blob(digest)
            if isinstance(part, Failure):
                is_lost = part.kind is Kind.INCOMPLETE_VERSION
                return render(document, target) if is_lost else part
            parts.append(part)
        text = b"".join(parts).decode()
        if target.language == source.language:
            return text
        templates = catalogue.template_by_name
        parsed = parse(
            kind,
            text,
            vocabulary(source.language),
            file=item_key(kind, document.name),
            templates=templates,
            pause=self._pause,
        )
        if isinstance(parsed, Parsed):
            return translate(text, parsed, target, templates=templates)
        return render(document, target)


def _is_garbage_collected(step: object) -> bool:
    """Whether a walk reached versions that garbage collection has removed."""
    return isinstance(step, Failure) and step.kind is Kind.INCOMPLETE_VERSION


def _not_found(kind: ItemKind, name: str, catalogue: Catalogue) -> Failure:
    names = (
        catalogue.template_by_name
        if kind is ItemKind.TEMPLATE
        else catalogue.customer_by_name
    )
    fields = {"name": name, "nearest": nearest(name, sorted(names)) or "–"}
    return Failure(kind=Kind.NOT_FOUND, detail=item_key(kind, name), fields=fields)
