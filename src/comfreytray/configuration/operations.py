"""The operations on templates, customers and versions that operators call."""

from collections.abc import Callable, Sequence

from comfreytray.common import messages
from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.acceptance import VersionChange
from comfreytray.configuration.changes import Draft, ItemText, prepare
from comfreytray.configuration.compiler import compile_catalogue, compile_customer
from comfreytray.configuration.content import Content, Head, digest_of
from comfreytray.configuration.documents import (
    Catalogue,
    Customer,
    ItemKind,
    Template,
    decode_catalogue,
    item_key,
    split_key,
)
from comfreytray.configuration.garbage import (
    CollectionResult,
    collect_garbage,
)
from comfreytray.configuration.languages import nearest
from comfreytray.configuration.lookups import Lookups
from comfreytray.configuration.operationresults import (
    ChangeResult,
    CheckResult,
    DiffResult,
    HistoryEntry,
    ItemSummary,
    ItemView,
    change_result,
    history_entry,
    items_text,
)
from comfreytray.configuration.versions import Versions

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
ROLL_BACK = "roll-back"
MAX_NAME_LENGTH = 100
"""Characters of an operator's name or a change id."""


class Operations(Lookups):
    """Check, edit, remove and roll back items of the stored configuration."""

    def check(
        self, kind: ItemKind, name: str, text: str, *, language: str
    ) -> CheckResult | Failure:
        """Check a text against the newest version without accepting it."""
        refused = _check_names("", language, None)
        if refused is not None:
            return refused
        head = self.head()
        items = head if isinstance(head, Failure) else self._items(head)
        if isinstance(items, Failure):
            return items
        item = ItemText(kind=kind, name=name, text=text)
        draft = prepare(
            [item], items, language=language, cache=self._cache, pause=self._pause
        )
        if isinstance(draft, Failure):
            return draft
        return CheckResult(warnings=self._warnings(draft, language))

    def _prepare(
        self, items: Sequence[ItemText], body_by_key: dict[str, bytes], language: str
    ) -> Draft | Failure:
        return prepare(
            items,
            body_by_key,
            language=language,
            cache=self._cache,
            pause=self._pause,
        )

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

        `base` is the digest of the body that was edited, empty for a new item; a
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
        """Accept a version that lacks the item."""
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
        """Accept several texts and removals as one version, all or none."""
        base_by_key = {
            item_key(item.kind, item.name): item.base
            for item in items
            if item.base is not None
        }
        drafts: list[Draft] = []

        def build(head: Head, body_by_key: dict[str, bytes]) -> VersionChange | Failure:
            for item in items:
                key = item_key(item.kind, item.name)
                current = _digest_hex(body_by_key.get(key))
                if base_by_key.setdefault(key, current) != current:
                    return self._conflict(head, key, item.text or "", language)
            draft = prepare(
                items,
                body_by_key,
                language=language,
                cache=self._cache,
                pause=self._pause,
            )
            if isinstance(draft, Failure):
                return draft
            drafts.append(draft)
            return draft.change

        return self._accept(build, drafts, operator, language, change_id)

    def roll_back(
        self,
        version: int,
        *,
        operator: str,
        language: str,
        change_id: str | None = None,
    ) -> ChangeResult | Failure:
        """Accept the content of an older version as a new version.

        If another change is accepted meanwhile, the roll-back fails as a conflict.
        """
        first_heads: list[Head] = []

        def build(head: Head, body_by_key: dict[str, bytes]) -> VersionChange | Failure:
            first_heads.append(head)
            if head != first_heads[0]:
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
            catalogue = decode_catalogue(old, self._cache.document_by_digest)
            if isinstance(catalogue, Failure):
                return catalogue
            compiled = compile_catalogue(head, catalogue, cache=self._cache)
            if isinstance(compiled, Failure):
                return compiled
            texts = self._source_texts(catalogue, changed)
            if isinstance(texts, Failure):
                return texts
            return VersionChange(
                body_by_key=changed,
                extra_blobs=texts,
                summary=f"{ROLL_BACK} {version}",
            )

        return self._accept(build, [], operator, language, change_id)

    def collect_garbage(
        self, *, keep_versions: int | None = None
    ) -> CollectionResult | Failure:
        """Delete the blobs that only versions older than the retained ones use."""
        content = Content()
        reader = Versions(store=self._store, content=content)
        return collect_garbage(
            store=self._store,
            reader=reader,
            content=content,
            keep_versions=keep_versions or self._keep_versions,
        )

    def _accept(
        self,
        build: Callable[[Head, dict[str, bytes]], VersionChange | Failure],
        drafts: list[Draft],
        operator: str,
        language: str,
        change_id: str | None,
    ) -> ChangeResult | Failure:
        if not operator.strip():
            return Failure(kind=Kind.OPERATOR_MISSING)
        refused = _check_names(operator, language, change_id)
        if refused is not None:
            return refused
        accepted = self._acceptance.accept(
            build,
            operator=operator,
            language=language,
            change_id=change_id,
        )
        if isinstance(accepted, Failure):
            return accepted
        self._drop_old_blobs(accepted.head)
        if accepted.head.version % max(1, self._keep_versions // 2) == 0:
            # A failure is ignored: the next collection deletes the same blobs.
            self.collect_garbage()
        warnings = self._warnings(drafts[-1], language) if drafts else ()
        return change_result(accepted, warnings, language)

    def _drop_old_blobs(self, head: Head) -> None:
        """Evict older versions' blobs, unless a node shares the content."""
        if self._own_content:
            self._content.retain([head])

    def _source_texts(
        self, catalogue: Catalogue, changed: dict[str, bytes | None]
    ) -> tuple[bytes, ...] | Failure:
        """Read the blobs of the operators' texts of the changed items."""
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
        """Build a conflict failure that describes the last change of an item.

        An empty key stands for any item.
        """
        fields = {"text": text, "key": key}
        detail = f"{key} changed since it was read"
        for step in self._versions.walk(head):
            if isinstance(step, Failure):
                detail += f"; last change not read: {step.kind.value} {step.detail}"
                break
            record = step[1]
            if not key or key in record.changed_keys:
                entry = history_entry(record, language)
                fields.update(
                    operator=entry.operator,
                    at=entry.accepted_at,
                    version=str(entry.version),
                    item=items_text([key] if key else record.changed_keys, language),
                    summary=entry.summary,
                )
                break
        return Failure(kind=Kind.CONFLICT, detail=detail, fields=fields)

    def _warnings(self, draft: Draft, language: str) -> tuple[str, ...]:
        """Warn of services that changed routes need and no endpoint serves now."""
        if self._services is None:
            return ()
        served = self._services()
        needed: set[str] = set()
        for customer in _affected_customers(draft):
            routes = compile_customer(customer, draft.catalogue)
            if not isinstance(routes, Failure):
                needed.update(route.service for route in routes)
        return tuple(
            messages.text(
                "warning.service-absent",
                language=language,
                service=service,
                nearest=nearest(service, sorted(served)) or "–",
            )
            for service in sorted(needed - served)
        )


def _check_names(operator: str, language: str, change_id: str | None) -> Failure | None:
    """Check the language, operator and change id that a version record stores."""
    if language not in messages.LANGUAGES:
        return Failure(kind=Kind.BAD_REQUEST, detail=f"language {language!r}")
    for name in (operator, change_id or ""):
        if len(name) > MAX_NAME_LENGTH or not name.isprintable():
            return Failure(
                kind=Kind.BAD_REQUEST,
                detail=f"name not printable or over {MAX_NAME_LENGTH} characters",
            )
    return None


def _affected_customers(draft: Draft) -> list[Customer]:
    """List the customers whose routes a draft may affect."""
    customer_by_name: dict[str, Customer] = {}
    for key in draft.change.body_by_key:
        document = draft.catalogue.get(*split_key(key))
        if isinstance(document, Customer):
            customer_by_name[document.name] = document
        if isinstance(document, Template):
            users = draft.catalogue.customers_of(document.name)
            customer_by_name.update({customer.name: customer for customer in users})
    return list(customer_by_name.values())


def _digest_hex(body: bytes | None) -> str:
    return "" if body is None else digest_of(body).hex()
