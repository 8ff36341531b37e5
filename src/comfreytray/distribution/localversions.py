"""Hold this node's versions: only complete ones, each newer than the last."""

from collections import deque
from collections.abc import Callable

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock
from comfreytray.configuration.content import Content, Head
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.distribution import deltas
from comfreytray.distribution.lifecycles import Lifecycles

MAX_RECENT_VERSIONS = 3
"""How many versions' blobs are kept, as bases for deltas."""
RECENT_LIFETIME_S = 120.0
"""How long versions before the held one are kept."""


class LocalVersions:
    """Hold the blobs of recent versions and the snapshot in force."""

    def __init__(
        self,
        *,
        clock: Clock,
        content: Content,
        lifecycles: Lifecycles,
        compile_snapshot: Callable[[Head, Content], Snapshot | Failure],
        on_applied: Callable[[Snapshot], None],
    ) -> None:
        self.content = content
        self.snapshot: Snapshot | None = None
        self.held: Head | None = None
        """Newest complete version; not in force if it was refused."""
        self.refusal: Failure | None = None
        """Why `held` was refused, None if it was not."""
        self._clock = clock
        self._lifecycles = lifecycles
        self._compile = compile_snapshot
        self._on_applied = on_applied
        self._recent: deque[tuple[Head, float]] = deque(maxlen=MAX_RECENT_VERSIONS)
        """Held versions, the newest last, with the time at which each was adopted."""

    def is_newer(self, head: Head) -> bool:
        """Whether a version is newer than the one held."""
        return self.held is None or head.version > self.held.version

    def decode(self, received: tuple[deltas.Delta, ...]) -> dict[bytes, bytes]:
        """Decode the blobs whose bases are held; log and leave out invalid ones."""
        blob_by_digest: dict[bytes, bytes] = {}
        for delta in received:
            base = self.content.get(delta.base) if delta.base else None
            blob = deltas.decode_blob(delta, base)
            if not isinstance(blob, Failure):
                blob_by_digest[delta.digest] = blob
            elif blob.kind is not Kind.INCOMPLETE_VERSION:
                _log_refused_blob(blob)
        return blob_by_digest

    def add_blobs(
        self, head: Head, blob_by_digest: dict[bytes, bytes]
    ) -> list[bytes] | Failure:
        """Store the blobs that a version lacks and list the ones still missing.

        Blobs that the version lacked are removed from `blob_by_digest`.
        """
        while True:
            missing = self.content.missing(head)
            if isinstance(missing, Failure):
                _log_refused_blob(missing)
                return missing
            needed = [digest for digest in missing if digest in blob_by_digest]
            for digest in needed:
                failed = self.content.put(digest, blob_by_digest.pop(digest))
                if failed is not None:
                    _log_refused_blob(failed)
            if not needed:
                return missing

    def adopt(self, head: Head) -> None:
        """Take a complete version as the held one; put it in force if it compiles."""
        invariant(self.is_newer(head), "a node never moves to an older version")
        invariant(self.content.missing(head) == [], "a node holds all of a version")
        self._lifecycles.step(head, "completed")
        self.held = head
        self._recent.append((head, self._clock.monotonic()))
        compiled = self._compile_safely(head)
        if isinstance(compiled, Failure):
            self._refuse(head, compiled)
        else:
            self._apply(compiled)
        self._lifecycles.drop_overtaken(head)

    def difference(self, old: Head | None, new: Head) -> dict[bytes, bytes]:
        """Map the digest of each blob that `new` adds to that of its base in `old`."""
        is_recent = any(head == old for head, _ in self._recent)
        return deltas.difference(self.content, old if is_recent else None, new)

    def parent(self) -> Head | None:
        """Return the version before the held one, if it is still kept."""
        if self.held is None:
            return None
        record = self.content.record(self.held)
        if isinstance(record, Failure):
            return None
        heads = (head for head, _ in self._recent if head.digest == record.parent)
        return next(heads, None)

    def retain(self, wanted: list[Head]) -> None:
        """Drop the blobs that no recent or wanted version uses."""
        now = self._clock.monotonic()
        while len(self._recent) > 1 and now - self._recent[0][1] > RECENT_LIFETIME_S:
            self._recent.popleft()
        self.content.retain([*(head for head, _ in self._recent), *wanted])

    def _compile_safely(self, head: Head) -> Snapshot | Failure:
        try:
            return self._compile(head, self.content)
        except Exception as error:
            # If an operator's text breaks the compiler, the old version stays in force.
            return Failure(kind=Kind.INTERNAL, detail=f"compile: {error!r}")

    def _refuse(self, head: Head, failure: Failure) -> None:
        self.refusal = failure
        self._lifecycles.step(head, "rejected")
        logs.warn(
            logs.Event.VERSION_REFUSED,
            version=head.version,
            reason=failure.kind.value,
            detail=failure.detail,
        )

    def _apply(self, snapshot: Snapshot) -> None:
        """Put a version in force.

        The snapshot is replaced by one assignment: calls keep the one they began with.
        """
        old = self.snapshot
        invariant(snapshot.head == self.held, "the version in force is the one held")
        invariant(
            old is None or snapshot.head.version > old.head.version,
            "a node never moves to an older version",
        )
        self.refusal = None
        self.snapshot = snapshot
        self._lifecycles.step(snapshot.head, "compiled")
        logs.log(logs.Event.VERSION_APPLIED, version=snapshot.head.version)
        self._on_applied(snapshot)


def _log_refused_blob(failure: Failure) -> None:
    logs.warn(
        logs.Event.FRAME_REFUSED, reason=failure.kind.value, detail=failure.detail
    )
