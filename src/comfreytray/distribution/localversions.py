"""Hold this node's versions: whole or not at all, and never an older one."""

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

KEEP_VERSIONS = 3
KEEP_S = 120.0


class LocalVersions:
    """Hold blobs of versions and the one that is in force."""

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
        """Newest version held whole; not in force when it was refused."""
        self.refusal: Failure | None = None
        self._clock = clock
        self._lifecycles = lifecycles
        self._compile = compile_snapshot
        self._on_applied = on_applied
        self._recent: deque[tuple[Head, float]] = deque(maxlen=KEEP_VERSIONS)

    def is_news(self, head: Head) -> bool:
        """Say whether a version is newer than the one held."""
        return self.held is None or head.version > self.held.version

    def decode(self, received: tuple[deltas.Delta, ...]) -> dict[bytes, bytes]:
        """Restore the blobs whose bases are held; wrong ones are left out."""
        blob_by_digest: dict[bytes, bytes] = {}
        for delta in received:
            base = self.content.get(delta.base) if delta.base else None
            blob = deltas.decode_blob(delta, base)
            if not isinstance(blob, Failure):
                blob_by_digest[delta.digest] = blob
            elif blob.kind is not Kind.INCOMPLETE_VERSION:
                _log_refused(blob)
        return blob_by_digest

    def absorb(
        self, head: Head, blob_by_digest: dict[bytes, bytes]
    ) -> list[bytes] | Failure:
        """Keep the blobs that a version lacks and list what it lacks after that."""
        while True:
            missing = self.content.missing(head)
            if isinstance(missing, Failure):
                _log_refused(missing)
                return missing
            useful = [digest for digest in missing if digest in blob_by_digest]
            for digest in useful:
                failed = self.content.put(digest, blob_by_digest.pop(digest))
                if failed is not None:
                    _log_refused(failed)
            if not useful:
                return missing

    def hold(self, head: Head) -> None:
        """Take over a whole version, and put it in force if it compiles."""
        invariant(self.is_news(head), "a node never moves to an older version")
        invariant(self.content.missing(head) == [], "a node holds all of a version")
        self._lifecycles.step(head, "completed")
        self.held = head
        self._recent.append((head, self._clock.monotonic()))
        compiled = self._compile_safely(head)
        if isinstance(compiled, Failure):
            self._refuse(head, compiled)
        else:
            self._apply(compiled)
        self._lifecycles.overtake(head)

    def difference(self, old: Head | None, new: Head) -> dict[bytes, bytes]:
        """Map each blob that a version adds to an old one to its base there."""
        is_recent = any(head == old for head, _ in self._recent)
        return deltas.difference(self.content, old if is_recent else None, new)

    def parent(self) -> Head | None:
        """Return the version before the one held, if that is held still."""
        if self.held is None:
            return None
        record = self.content.record(self.held)
        if isinstance(record, Failure):
            return None
        heads = (head for head, _ in self._recent if head.digest == record.parent)
        return next(heads, None)

    def retain(self, wanted: list[Head]) -> None:
        """Drop blobs that neither held, recent nor wanted versions use."""
        now = self._clock.monotonic()
        while len(self._recent) > 1 and now - self._recent[0][1] > KEEP_S:
            self._recent.popleft()
        self.content.retain([*(head for head, _ in self._recent), *wanted])

    def _compile_safely(self, head: Head) -> Snapshot | Failure:
        try:
            return self._compile(head, self.content)
        except Exception as error:
            # Whatever an operator's text does to the compiler, the old version stays.
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
        """Switch to a version by one assignment; calls keep the one they began with."""
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


def _log_refused(failure: Failure) -> None:
    logs.warn(
        logs.Event.FRAME_REFUSED, reason=failure.kind.value, detail=failure.detail
    )
