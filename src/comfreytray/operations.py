"""What operators do with templates, customers and versions."""

import difflib
import random
from collections.abc import Callable, Sequence
from datetime import UTC, datetime

from attrs import field, frozen

from comfreytray import messages
from comfreytray.compiler import compile_catalogue, compile_customer
from comfreytray.content import Content, Head, VersionRecord, digest_of
from comfreytray.documents import (
    Catalogue,
    Customer,
    Document,
    ItemKind,
    Template,
    decode_catalogue,
    item_key,
    split_key,
)
from comfreytray.drafts import Draft, ItemText, Pause, prepare
from comfreytray.errors import Failure, Kind
from comfreytray.garbage import (
    DEFAULT_KEEP_VERSIONS,
    Collected,
    collect_garbage,
)
from comfreytray.interfaces import Clock, ObjectStore
from comfreytray.languages import nearest, vocabulary
from comfreytray.rendering import render, translate
from comfreytray.templates import Parsed, parse
from comfreytray.versions import NO_VERSION, Accepted, Edited, Versions

__all__ = [
    "ChangeResult",
    "CheckResult",
    "DiffResult",
    "HistoryEntry",
    "ItemKind",
    "ItemSummary",
    "ItemText",
    "ItemView",
    "Operations",
]
DEFAULT_HISTORY = 20
ROLL_BACK = "roll-back"


@frozen(kw_only=True)
class ItemSummary:
    """Describe an item in a list."""

    kind: ItemKind
    name: str
    language: str
    """Language that the item was written in."""
    digest: str
    """What `edit` takes as its base."""


@frozen(kw_only=True)
class ItemView:
    """Show an item in a language."""

    kind: ItemKind
    name: str
    text: str
    language: str
    source_language: str
    digest: str
    """What `edit` takes as its base."""
    version: int


@frozen(kw_only=True)
class CheckResult:
    """Say that a text would be accepted now, and what to think of before."""

    warnings: tuple[str, ...] = ()


@frozen(kw_only=True)
class ChangeResult:
    """Describe a change that was accepted."""

    head: Head
    change_id: str
    summary: str
    changed_keys: tuple[str, ...]
    new_blobs: dict[bytes, bytes] = field(factory=dict)
    """Blobs that nodes need and that the version before did not have."""
    warnings: tuple[str, ...] = ()


@frozen(kw_only=True)
class DiffResult:
    """Show how an item differs between two versions."""

    text: str


@frozen(kw_only=True)
class HistoryEntry:
    """Describe an accepted version to an operator."""

    version: int
    change_id: str
    operator: str
    language: str
    accepted_at: str
    """UTC, ISO 8601."""
    summary: str
    changed_keys: tuple[str, ...]


class Operations:
    """Carry out what operators ask for on the store's versions."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        random: random.Random,
        content: Content | None = None,
        services: Callable[[], frozenset[str]] | None = None,
        pause: Pause | None = None,
    ) -> None:
        """Share `content` with a node to read what it holds without store calls.

        `services` gives those with an endpoint now; `pause` lets other work run.
        """
        self._store = store
        self._clock = clock
        self._random = random
        self._own_content = content is None
        self._content = Content() if content is None else content
        self._versions = Versions(
            store=store, clock=clock, random=random, content=self._content
        )
        self._services = services
        self._pause = pause

    def head(self) -> Head | Failure:
        """Read the newest accepted version; version 0 means none yet."""
        held = self._versions.held()
        return held if isinstance(held, Failure) else held.head

    def history(
        self, limit: int = DEFAULT_HISTORY, *, language: str = "en"
    ) -> tuple[HistoryEntry, ...] | Failure:
        """List the newest accepted versions, newest first."""
        head = self.head()
        if isinstance(head, Failure):
            return head
        entries: list[HistoryEntry] = []
        for step in self._versions.walk(head):
            if len(entries) >= limit or _is_horizon(step):
                break
            if isinstance(step, Failure):
                return step
            entries.append(_entry(step[1], language))
        return tuple(entries)

    def list_items(self, kind: ItemKind) -> tuple[ItemSummary, ...] | Failure:
        """List the items of a kind in the newest version."""
        head = self.head()
        items = head if isinstance(head, Failure) else self._items(head)
        if isinstance(items, Failure):
            return items
        catalogue = decode_catalogue(items)
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
        """Show an item, by default as it was written and in the newest version."""
        head = self._find(version)
        items = head if isinstance(head, Failure) else self._items(head)
        if isinstance(items, Failure):
            return items
        assert not isinstance(head, Failure)
        catalogue = decode_catalogue(items)
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
        """Compare an item in two versions, both shown in one language."""
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

    def check(
        self, kind: ItemKind, name: str, text: str, *, language: str
    ) -> CheckResult | Failure:
        """Check a text against the newest version and accept nothing."""
        head = self.head()
        items = head if isinstance(head, Failure) else self._items(head)
        if isinstance(items, Failure):
            return items
        item = ItemText(kind=kind, name=name, text=text)
        draft = prepare([item], items, language=language, pause=self._pause)
        if isinstance(draft, Failure):
            return draft
        return CheckResult(warnings=self._warnings(draft, language))

    def edit(
        self,
        kind: ItemKind,
        name: str,
        text: str,
        *,
        operator: str,
        language: str,
        base: str | None = None,
        change_id: str | None = None,
    ) -> ChangeResult | Failure:
        """Accept a text as a new version.

        `base` is the digest that the operator began from, empty for a new item; a
        repeated `change_id` is accepted once.
        """
        item = ItemText(kind=kind, name=name, text=text, base=base)
        return self.edit_many(
            [item], operator=operator, language=language, change_id=change_id
        )

    def remove(
        self,
        kind: ItemKind,
        name: str,
        *,
        operator: str,
        language: str,
        base: str | None = None,
        change_id: str | None = None,
    ) -> ChangeResult | Failure:
        """Accept a version without an item."""
        item = ItemText(kind=kind, name=name, text=None, base=base)
        return self.edit_many(
            [item], operator=operator, language=language, change_id=change_id
        )

    def edit_many(
        self,
        items: Sequence[ItemText],
        *,
        operator: str,
        language: str,
        change_id: str | None = None,
    ) -> ChangeResult | Failure:
        """Accept several items as one version, all or none."""
        base_by_key = {
            item_key(item.kind, item.name): item.base
            for item in items
            if item.base is not None
        }
        drafts: list[Draft] = []

        def build(head: Head, body_by_key: dict[str, bytes]) -> Edited | Failure:
            for item in items:
                key = item_key(item.kind, item.name)
                current = _digest_hex(body_by_key.get(key))
                if base_by_key.setdefault(key, current) != current:
                    return self._conflict(head, key, item.text or "", language)
            draft = prepare(items, body_by_key, language=language, pause=self._pause)
            if isinstance(draft, Failure):
                return draft
            drafts.append(draft)
            return draft.edited

        return self._accept(build, drafts, operator, language, change_id)

    def roll_back(
        self,
        version: int,
        *,
        operator: str,
        language: str,
        change_id: str | None = None,
    ) -> ChangeResult | Failure:
        """Accept the content of an older version as a new version."""
        began_at: list[Head] = []

        def build(head: Head, body_by_key: dict[str, bytes]) -> Edited | Failure:
            began_at.append(head)
            if head != began_at[0]:
                return self._conflict(head, "", "", language)
            old_head = self._versions.find(head, version)
            if isinstance(old_head, Failure):
                return old_head
            old = self._items(old_head)
            if isinstance(old, Failure):
                return old
            changed = {
                key: old.get(key)
                for key in {*old, *body_by_key}
                if old.get(key) != body_by_key.get(key)
            }
            if not changed:
                return Failure(kind=Kind.NOTHING_CHANGED)
            catalogue = decode_catalogue(old)
            if isinstance(catalogue, Failure):
                return catalogue
            compiled = compile_catalogue(head, catalogue)
            if isinstance(compiled, Failure):
                return compiled
            texts = self._texts(catalogue, changed)
            if isinstance(texts, Failure):
                return texts
            return Edited(
                body_by_key=changed,
                extra_blobs=texts,
                summary=f"{ROLL_BACK} {version}",
            )

        return self._accept(build, [], operator, language, change_id)

    def collect_garbage(
        self, *, keep_versions: int = DEFAULT_KEEP_VERSIONS
    ) -> Collected | Failure:
        """Delete what only versions older than the newest ones use."""
        content = Content()
        reader = Versions(
            store=self._store,
            clock=self._clock,
            random=self._random,
            content=content,
        )
        return collect_garbage(
            store=self._store,
            reader=reader,
            content=content,
            keep_versions=keep_versions,
        )

    def _accept(
        self,
        build: Callable[[Head, dict[str, bytes]], Edited | Failure],
        drafts: list[Draft],
        operator: str,
        language: str,
        change_id: str | None,
    ) -> ChangeResult | Failure:
        if not operator.strip():
            return Failure(kind=Kind.OPERATOR_MISSING)
        accepted = self._versions.accept(
            build,
            operator=operator,
            language=language,
            change_id=change_id,
        )
        if isinstance(accepted, Failure):
            return accepted
        self._tidy(accepted.head)
        warnings = self._warnings(drafts[-1], language) if drafts else ()
        return _change_result(accepted, warnings, language)

    def _tidy(self, head: Head) -> None:
        if self._own_content:
            self._content.retain([head])

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
        """Read the text that was written; translate it if need be."""
        source = document.source
        target = vocabulary(language or source.language)
        parts: list[bytes] = []
        for digest in source.parts:
            part = self._versions.blob(digest)
            if isinstance(part, Failure):
                return part
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

    def _texts(
        self, catalogue: Catalogue, changed: dict[str, bytes | None]
    ) -> tuple[bytes, ...] | Failure:
        texts: list[bytes] = []
        for key, body in changed.items():
            document = catalogue.get(*split_key(key))
            if body is None or document is None:
                continue
            for digest in document.source.parts:
                part = self._versions.blob(digest)
                if isinstance(part, Failure):
                    return part
                texts.append(part)
        return tuple(texts)

    def _conflict(self, head: Head, key: str, text: str, language: str) -> Failure:
        """Tell who changed an item last; an empty key stands for any item."""
        fields = {"text": text, "key": key}
        detail = f"{key} moved on"
        for step in self._versions.walk(head):
            if isinstance(step, Failure):
                detail += f"; by whom is unread: {step.kind.value} {step.detail}"
                break
            record = step[1]
            if not key or key in record.changed_keys:
                entry = _entry(record, language)
                fields.update(
                    operator=entry.operator,
                    at=entry.accepted_at,
                    version=str(entry.version),
                    item=_items_text([key] if key else record.changed_keys, language),
                    summary=entry.summary,
                )
                break
        return Failure(kind=Kind.CONFLICT, detail=detail, fields=fields)

    def _warnings(self, draft: Draft, language: str) -> tuple[str, ...]:
        """Name the services that changed routes need and no endpoint serves now."""
        if self._services is None:
            return ()
        present = self._services()
        needed: set[str] = set()
        for customer in _touched(draft):
            routes = compile_customer(customer, draft.catalogue)
            if not isinstance(routes, Failure):
                needed.update(route.service for route in routes)
        return tuple(
            messages.text(
                "warning.service-absent",
                language=language,
                service=service,
                nearest=nearest(service, sorted(present)) or "–",
            )
            for service in sorted(needed - present)
        )


def _touched(draft: Draft) -> list[Customer]:
    """List the customers whose routes a draft may change."""
    touched: dict[str, Customer] = {}
    for key in draft.edited.body_by_key:
        document = draft.catalogue.get(*split_key(key))
        if isinstance(document, Customer):
            touched[document.name] = document
        if isinstance(document, Template):
            users = draft.catalogue.users(document.name)
            touched.update({customer.name: customer for customer in users})
    return list(touched.values())


def _is_horizon(step: object) -> bool:
    """Tell whether a walk came to versions that were collected."""
    return isinstance(step, Failure) and step.kind is Kind.INCOMPLETE_VERSION


def _digest_hex(body: bytes | None) -> str:
    return "" if body is None else digest_of(body).hex()


def _not_found(kind: ItemKind, name: str, catalogue: Catalogue) -> Failure:
    names = (
        catalogue.template_by_name
        if kind is ItemKind.TEMPLATE
        else catalogue.customer_by_name
    )
    fields = {"name": name, "nearest": nearest(name, sorted(names)) or "–"}
    return Failure(kind=Kind.NOT_FOUND, detail=item_key(kind, name), fields=fields)


def _entry(record: VersionRecord, language: str) -> HistoryEntry:
    at = datetime.fromtimestamp(record.accepted_at_s, UTC)
    return HistoryEntry(
        version=record.version,
        change_id=record.change_id,
        operator=record.operator,
        language=record.language,
        accepted_at=at.isoformat(timespec="seconds"),
        summary=summary_text(record, language),
        changed_keys=record.changed_keys,
    )


def summary_text(record: VersionRecord, language: str) -> str:
    """Say in a language what a version changed."""
    action, _, older = record.summary.partition(" ")
    return messages.text(
        f"summary.{action}",
        language=language,
        operator=record.operator,
        items=_items_text(record.changed_keys, language),
        version=older,
    )


def _items_text(keys: Sequence[str], language: str) -> str:
    return ", ".join(item_text(key, language) for key in keys)


def item_text(key: str, language: str) -> str:
    """Name an item in a language."""
    kind, name = split_key(key)
    return messages.text(f"item.{kind.value}", language=language, name=name)


def _change_result(
    accepted: Accepted, warnings: tuple[str, ...], language: str
) -> ChangeResult:
    return ChangeResult(
        head=accepted.head,
        change_id=accepted.record.change_id,
        summary=summary_text(accepted.record, language),
        changed_keys=accepted.record.changed_keys,
        new_blobs=accepted.new_blobs,
        warnings=warnings,
    )
