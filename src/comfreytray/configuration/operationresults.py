"""Results of operations, and the names of versions and items shown to operators."""

from collections.abc import Sequence
from datetime import UTC, datetime

from attrs import field, frozen

from comfreytray.common import messages
from comfreytray.configuration.acceptance import Accepted
from comfreytray.configuration.content import Head, VersionRecord
from comfreytray.configuration.documents import ItemKind, split_key


@frozen(kw_only=True)
class ItemSummary:
    """One item in a list."""

    kind: ItemKind
    name: str
    language: str
    """Language that the text was written in."""
    digest: str
    """Digest of the body; the base of an edit."""


@frozen(kw_only=True)
class ItemView:
    """An item's text in a language."""

    kind: ItemKind
    name: str
    text: str
    language: str
    source_language: str
    digest: str
    """Digest of the body; the base of an edit."""
    version: int


@frozen(kw_only=True)
class CheckResult:
    """A text would be accepted now, with these warnings."""

    warnings: tuple[str, ...] = ()


@frozen(kw_only=True)
class ChangeResult:
    """An accepted change."""

    head: Head
    change_id: str
    summary: str
    changed_keys: tuple[str, ...]
    new_blobs: dict[bytes, bytes] = field(factory=dict)
    """Blobs by digest that nodes need and the version before did not have."""
    warnings: tuple[str, ...] = ()


@frozen(kw_only=True)
class DiffResult:
    """The difference of an item between two versions."""

    text: str


@frozen(kw_only=True)
class HistoryEntry:
    """An accepted version, as shown to operators."""

    version: int
    change_id: str
    operator: str
    language: str
    accepted_at: str
    """UTC, ISO 8601."""
    summary: str
    changed_keys: tuple[str, ...]


def history_entry(record: VersionRecord, language: str) -> HistoryEntry:
    """Describe a version in a language."""
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
    """Summarize in a language what a version changed."""
    action, _, older = record.summary.partition(" ")
    return messages.text(
        f"summary.{action}",
        language=language,
        operator=record.operator,
        items=items_text(record.changed_keys, language),
        version=older,
    )


def items_text(keys: Sequence[str], language: str) -> str:
    """List items by kind and name in a language."""
    return ", ".join(item_text(key, language) for key in keys)


def item_text(key: str, language: str) -> str:
    """Return the kind and name of an item in a language."""
    kind, name = split_key(key)
    return messages.text(f"item.{kind.value}", language=language, name=name)


def change_result(
    accepted: Accepted, warnings: tuple[str, ...], language: str
) -> ChangeResult:
    """Describe an accepted change in a language."""
    return ChangeResult(
        head=accepted.head,
        change_id=accepted.record.change_id,
        summary=summary_text(accepted.record, language),
        changed_keys=accepted.record.changed_keys,
        new_blobs=accepted.new_blobs,
        warnings=warnings,
    )
