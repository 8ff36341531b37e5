"""The closed list of error kinds, and the answer that each kind gives."""

from enum import Enum

from attrs import field, frozen


class Ran(Enum):
    """Whether the request reached the upstream's own code."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Retry(Enum):
    """When a caller may send the request again."""

    NEVER = "never"
    LATER = "later"
    IF_IDEMPOTENT = "if-idempotent"


class Kind(Enum):
    """Every way in which a request or an operation can fail."""

    BAD_REQUEST = "bad-request"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TOO_SLOW = "head-too-slow"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    BODY_CUT = "body-cut"
    METHOD_NOT_SUPPORTED = "method-not-supported"
    UNKNOWN_CUSTOMER = "unknown-customer"
    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    NO_ENDPOINT = "no-endpoint"
    OVERLOADED = "overloaded"
    CUSTOMER_OVER_SHARE = "customer-over-share"
    UNKNOWN_KEY = "unknown-key"
    QUOTA_EXCEEDED = "quota-exceeded"
    REQUEST_HELD = "request-held"
    REQUEST_ISOLATED = "request-isolated"
    LEAVING = "leaving"
    WRONG_NODE = "wrong-node"
    CHAIN_TOO_DEEP = "chain-too-deep"
    DEADLINE_BEFORE_RUN = "deadline-before-run"
    DEADLINE_WHILE_RUNNING = "deadline-while-running"
    CONNECT_FAILED = "connect-failed"
    LOST_AFTER_SEND = "lost-after-send"
    INSTANCE_ENDED = "instance-ended"
    ANSWER_CUT = "answer-cut"
    CANCELLED = "cancelled"
    REPEAT_RUNNING = "repeat-running"
    REPEAT_UNKNOWN = "repeat-unknown"
    REPEAT_RAN = "repeat-ran"
    KEY_REUSED = "key-reused"
    CLAIMS_UNAVAILABLE = "claims-unavailable"
    INVALID_CONTENT = "invalid-content"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    NOTHING_CHANGED = "nothing-changed"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_OUTCOME_UNKNOWN = "store-outcome-unknown"
    VALUE_TOO_LARGE = "value-too-large"
    UNAUTHORIZED = "unauthorized"
    OPERATOR_MISSING = "operator-missing"
    INVALID_SETTING = "invalid-setting"
    NODE_UNREACHABLE = "node-unreachable"
    BAD_FRAME = "bad-frame"
    FRAME_TOO_LARGE = "frame-too-large"
    DIGEST_MISMATCH = "digest-mismatch"
    STALE_VERSION = "stale-version"
    INCOMPLETE_VERSION = "incomplete-version"
    INTERNAL = "internal"


@frozen(kw_only=True)
class Answer:
    """The HTTP answer and the exit code of a command for one error kind."""

    status: int
    ran: Ran
    retry: Retry
    retry_after_s: int | None = None
    exit_code: int = 1


def _answer(
    status: int,
    ran: Ran,
    retry: Retry,
    retry_after_s: int | None = None,
    exit_code: int = 1,
) -> Answer:
    return Answer(
        status=status,
        ran=ran,
        retry=retry,
        retry_after_s=retry_after_s,
        exit_code=exit_code,
    )


# Exit codes of commands; 1 stands for any other failure.
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_NOT_FOUND = 6
EXIT_UNAUTHORIZED = 7
EXIT_UNKNOWN_OUTCOME = 8
EXIT_NOT_YET_IN_FORCE = 9

ANSWER_BY_KIND: dict[Kind, Answer] = {
    Kind.BAD_REQUEST: _answer(400, Ran.NO, Retry.NEVER, None, EXIT_USAGE),
    Kind.HEAD_TOO_LARGE: _answer(431, Ran.NO, Retry.NEVER),
    Kind.HEAD_TOO_SLOW: _answer(408, Ran.NO, Retry.LATER, 1),
    Kind.BODY_TOO_LARGE: _answer(413, Ran.NO, Retry.NEVER),
    Kind.BODY_TOO_SLOW: _answer(408, Ran.NO, Retry.LATER, 1),
    Kind.BODY_CUT: _answer(400, Ran.UNKNOWN, Retry.IF_IDEMPOTENT),
    Kind.METHOD_NOT_SUPPORTED: _answer(405, Ran.NO, Retry.NEVER),
    Kind.UNKNOWN_CUSTOMER: _answer(404, Ran.NO, Retry.NEVER, None, EXIT_NOT_FOUND),
    Kind.NO_ROUTE: _answer(404, Ran.NO, Retry.NEVER, None, EXIT_NOT_FOUND),
    Kind.NO_CONFIGURATION: _answer(503, Ran.NO, Retry.LATER, 2),
    Kind.NO_ENDPOINT: _answer(503, Ran.NO, Retry.LATER, 2),
    Kind.OVERLOADED: _answer(503, Ran.NO, Retry.LATER, 1),
    Kind.CUSTOMER_OVER_SHARE: _answer(429, Ran.NO, Retry.LATER, 1),
    Kind.UNKNOWN_KEY: _answer(401, Ran.NO, Retry.NEVER, None, EXIT_UNAUTHORIZED),
    Kind.QUOTA_EXCEEDED: _answer(429, Ran.NO, Retry.LATER, 1),
    Kind.REQUEST_HELD: _answer(422, Ran.NO, Retry.NEVER),
    Kind.REQUEST_ISOLATED: _answer(503, Ran.NO, Retry.LATER, 1),
    Kind.LEAVING: _answer(503, Ran.NO, Retry.LATER, 1),
    Kind.WRONG_NODE: _answer(503, Ran.NO, Retry.LATER, 1),
    Kind.CHAIN_TOO_DEEP: _answer(508, Ran.NO, Retry.NEVER),
    Kind.DEADLINE_BEFORE_RUN: _answer(504, Ran.NO, Retry.LATER, 1),
    Kind.DEADLINE_WHILE_RUNNING: _answer(504, Ran.UNKNOWN, Retry.IF_IDEMPOTENT),
    Kind.CONNECT_FAILED: _answer(503, Ran.NO, Retry.LATER, 1),
    Kind.LOST_AFTER_SEND: _answer(502, Ran.UNKNOWN, Retry.IF_IDEMPOTENT),
    Kind.INSTANCE_ENDED: _answer(502, Ran.UNKNOWN, Retry.IF_IDEMPOTENT),
    Kind.ANSWER_CUT: _answer(502, Ran.YES, Retry.IF_IDEMPOTENT),
    Kind.CANCELLED: _answer(499, Ran.UNKNOWN, Retry.IF_IDEMPOTENT),
    Kind.REPEAT_RUNNING: _answer(409, Ran.UNKNOWN, Retry.LATER, 1),
    Kind.REPEAT_UNKNOWN: _answer(409, Ran.UNKNOWN, Retry.NEVER),
    Kind.REPEAT_RAN: _answer(409, Ran.YES, Retry.NEVER),
    Kind.KEY_REUSED: _answer(422, Ran.NO, Retry.NEVER),
    Kind.CLAIMS_UNAVAILABLE: _answer(503, Ran.NO, Retry.LATER, 2),
    Kind.INVALID_CONTENT: _answer(422, Ran.NO, Retry.NEVER, None, EXIT_INVALID),
    Kind.NOT_FOUND: _answer(404, Ran.NO, Retry.NEVER, None, EXIT_NOT_FOUND),
    Kind.CONFLICT: _answer(409, Ran.NO, Retry.NEVER, None, EXIT_CONFLICT),
    Kind.NOTHING_CHANGED: _answer(422, Ran.NO, Retry.NEVER, None, EXIT_INVALID),
    Kind.STORE_UNAVAILABLE: _answer(503, Ran.NO, Retry.LATER, 5, EXIT_UNAVAILABLE),
    Kind.STORE_OUTCOME_UNKNOWN: _answer(
        503, Ran.UNKNOWN, Retry.IF_IDEMPOTENT, 5, EXIT_UNKNOWN_OUTCOME
    ),
    Kind.VALUE_TOO_LARGE: _answer(413, Ran.NO, Retry.NEVER, None, EXIT_INVALID),
    Kind.UNAUTHORIZED: _answer(401, Ran.NO, Retry.NEVER, None, EXIT_UNAUTHORIZED),
    Kind.OPERATOR_MISSING: _answer(400, Ran.NO, Retry.NEVER, None, EXIT_USAGE),
    Kind.INVALID_SETTING: _answer(400, Ran.NO, Retry.NEVER, None, EXIT_USAGE),
    Kind.NODE_UNREACHABLE: _answer(503, Ran.NO, Retry.LATER, 1, EXIT_UNAVAILABLE),
    Kind.BAD_FRAME: _answer(400, Ran.NO, Retry.NEVER),
    Kind.FRAME_TOO_LARGE: _answer(413, Ran.NO, Retry.NEVER),
    Kind.DIGEST_MISMATCH: _answer(422, Ran.NO, Retry.LATER, 1),
    Kind.STALE_VERSION: _answer(409, Ran.NO, Retry.NEVER),
    Kind.INCOMPLETE_VERSION: _answer(409, Ran.NO, Retry.LATER, 1),
    Kind.INTERNAL: _answer(500, Ran.UNKNOWN, Retry.IF_IDEMPOTENT),
}


@frozen(kw_only=True)
class Failure:
    """Why an operation failed; returned in place of its result.

    `detail` is English for logs; `fields` fill the translated message.
    """

    kind: Kind
    detail: str = ""
    fields: dict[str, str] = field(factory=dict)
    retry_after_s: float | None = None

    @property
    def answer(self) -> Answer:
        """The answer for this kind."""
        return ANSWER_BY_KIND[self.kind]
