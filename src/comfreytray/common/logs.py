"""Event log: a line of key=value pairs per event, from a closed list of names."""

import json
import logging as standard_logging
import sys
from datetime import UTC, datetime
from enum import Enum

from absl import flags, logging


class Event(Enum):
    """Every event that the product logs."""

    NODE_STARTED = "node-started"
    NODE_STOPPING = "node-stopping"
    NODE_STOPPED = "node-stopped"
    SETTING_REFUSED = "setting-refused"
    VERSION_APPLIED = "version-applied"
    VERSION_REFUSED = "version-refused"
    ACCOUNT_REFUSED = "account-refused"
    LIMIT_REFUSED = "limit-refused"
    VERSION_IGNORED = "version-ignored"
    VERSION_RESTORED = "version-restored"
    CHANGE_ACCEPTED = "change-accepted"
    CHANGE_REFUSED = "change-refused"
    MEMBER_JOINED = "member-joined"
    MEMBER_SUSPECTED = "member-suspected"
    MEMBER_DEAD = "member-dead"
    MEMBER_LEFT = "member-left"
    MEMBER_REFUTED = "member-refuted"
    MEMBER_CHANGED = "member-changed"
    MEMBER_REFUSED = "member-refused"
    HEARTBEAT_REFUSED = "heartbeat-refused"
    HEARTBEAT_STALE = "heartbeat-stale"
    CALLER_LOST = "caller-lost"
    ANSWERS_DROPPED = "answers-dropped"
    BYTES_SHED = "bytes-shed"
    CONNECTION_SHED = "connection-shed"
    CALL_ANSWERED = "call-answered"
    LINES_LEFT_OUT = "lines-left-out"
    CALLS_CUT = "calls-cut"
    CALL_CUT = "call-cut"
    CONNECTIONS_TAKEN = "connections-taken"
    REQUEST_HELD = "request-held"
    REQUEST_RELEASED = "request-released"
    DEPARTURE_NOT_STORED = "departure-not-stored"
    RECORD_NOT_STORED = "record-not-stored"
    RECORD_REPLACED = "record-replaced"
    SETTINGS_RELOADED = "settings-reloaded"
    ENDPOINT_ANNOUNCED = "endpoint-announced"
    ENDPOINT_LAPSED = "endpoint-lapsed"
    ENDPOINT_ENDED = "endpoint-ended"
    ENDPOINT_LEAVING = "endpoint-leaving"
    ENDPOINT_LIMITED = "endpoint-limited"
    ENDPOINT_CONCURRENCY = "endpoint-concurrency"
    ENDPOINT_EJECTED = "endpoint-ejected"
    ENDPOINT_RESTORED = "endpoint-restored"
    AGE_EXCEEDED = "age-exceeded"
    AGE_RENEWED = "age-renewed"
    LOOP_STALLED = "loop-stalled"
    LOOP_HELD = "loop-held"
    ACCEPT_FAILED = "accept-failed"
    DEPARTURES_TOLD = "departures-told"
    LOOP_NOT_WAITING = "loop-not-waiting"
    LOOP_WAITS_AGAIN = "loop-waits-again"
    SELF_DOUBT = "self-doubt"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_BACK = "store-back"
    STORE_RESTORED = "store-restored"
    OBJECT_IGNORED = "object-ignored"
    OBJECT_REFUSED = "object-refused"
    SOURCES_CHOSEN = "sources-chosen"
    SOURCE_LOST = "source-lost"
    FRAME_REFUSED = "frame-refused"
    STREAM_OPENED = "stream-opened"
    STREAM_CLOSED = "stream-closed"
    CALL_REFUSED = "call-refused"
    CALL_FAILED = "call-failed"
    ROLLOUT_SEEN = "rollout-seen"
    ROLLOUT_REFUSED = "rollout-refused"
    ROLLOUT_CLAIMED = "rollout-claimed"
    ROLLOUT_ADVANCED = "rollout-advanced"
    ROLLOUT_APPROVED = "rollout-approved"
    ROLLOUT_REJECTED = "rollout-rejected"
    ROLLOUT_STOPPED = "rollout-stopped"
    ROLLOUT_ENDED = "rollout-ended"
    ROLLOUT_FENCED = "rollout-fenced"
    ROLLOUT_NOT_STORED = "rollout-not-stored"
    CLAIMS_TAKEN_OVER = "claims-taken-over"
    CLAIMS_FENCED = "claims-fenced"
    QUOTA_LIMITED = "quota-limited"
    QUOTA_FREE = "quota-free"
    QUOTA_COORDINATOR = "quota-coordinator"
    INTERNAL_ERROR = "internal-error"


_UNQUOTED = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,"
)


def _quote(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and all(character in _UNQUOTED for character in text):
        return text
    return json.dumps(text)


def format_event(event: Event, fields: dict[str, object]) -> str:
    """Return the line of an event; no value can add a line or a pair to it."""
    pairs = [f"event={event.value}"]
    pairs.extend(f"{name}={_quote(value)}" for name, value in fields.items())
    return " ".join(pairs)


def log(event: Event, **fields: object) -> None:
    """Log an event at info level."""
    logging.info("%s", format_event(event, fields))


def warn(event: Event, **fields: object) -> None:
    """Log an event at warning level, for an operator to look at."""
    logging.warning("%s", format_event(event, fields))


class _LineFormatter(standard_logging.Formatter):
    """Prefix each event with its time and level, as key=value pairs."""

    def format(self, record: standard_logging.LogRecord) -> str:
        created = datetime.fromtimestamp(record.created, UTC)
        timestamp = created.isoformat(timespec="milliseconds")
        text = record.getMessage()
        if not text.startswith("event="):
            text = f"message={json.dumps(text)}"
        return f"time={timestamp} level={record.levelname.lower()} {text}"


def configure(level: str, *, to_standard_output: bool = False) -> None:
    """Log events at or above a level to standard error, or to standard output."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_LineFormatter())
    if to_standard_output:
        handler.python_handler.stream = sys.stdout
    logging.set_verbosity(level)
