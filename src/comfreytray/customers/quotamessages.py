"""Messages about quotas between a node and the coordinator, as msgpack arrays.

Counters are totals since the start of the node's process, so that a repeated or a lost
message can't count a call twice or leave it out.
"""

from collections.abc import Iterator, Mapping
from typing import Any

import msgpack
from attrs import frozen

from comfreytray.customers.quotahistory import CustomerHistory, Slot, Total

FORMAT = 1
HISTORY_FORMAT = 2
"""Format of a report with a history, which is rare."""
TOTALS_FORMAT = 3
"""Format of an answer with totals, for the node that would follow the coordinator."""
MAX_SLOTS = 256
MS_PER_S = 1000
MAX_MESSAGE_BYTES = 262_144
MAX_TEXT = 256
MAX_ROWS = 4096
MAX_COUNT = 2**53


@frozen(kw_only=True)
class Usage:
    """Calls of a customer at a node, counted since the start of its process."""

    customer: str
    admitted: int
    rejected: int
    """Calls that were rejected, and those that wait for an answer now."""
    acknowledged: int
    """Value of `admitted` in the newest report that was answered."""


@frozen(kw_only=True)
class Report:
    """What a node tells its coordinator."""

    node_id: str
    session: int
    """Distinguishes the processes of a node; later ones are greater."""
    number: int
    """Increases with each report of a session."""
    prior: str = ""
    """Coordinator whose answer was valid until now; empty if none."""
    prior_limited: tuple[str, ...] = ()
    """Customers that the prior coordinator had limited."""
    usage: tuple[Usage, ...] = ()
    history: tuple[CustomerHistory, ...] = ()
    """Calls of the last window, for a coordinator that does not know them."""
    history_s: float | None = None
    """Seconds for which the history has all calls; None if it is not told."""


@frozen(kw_only=True)
class Lease:
    """How many calls of a limited customer a node may admit."""

    customer: str
    tokens: int
    """Calls that the node may admit beyond the total in the report that is named."""
    rate_per_s: float
    """Rate at which the node can expect further tokens; 0 if unknown."""
    has_more: bool = False
    """Whether a node that needs more tokens may get some by asking at once."""


@frozen(kw_only=True)
class Answer:
    """What the coordinator tells a node; customers without a lease are free."""

    coordinator: str
    """Id of the node and session of its process."""
    number: int
    """Increases with each answer of a coordinator's process."""
    report: int
    """Number of the newest report that the coordinator has of the node."""
    is_gathering: bool = False
    """Whether most nodes have not yet reported, so that a call may wait a moment."""
    leases: tuple[Lease, ...] = ()
    totals: tuple[Total, ...] = ()
    """What was counted, for the node that would follow as coordinator."""


def encode_report(report: Report) -> bytes:
    """Encode a report."""
    rows = [
        [row.customer, row.admitted, row.rejected, row.admitted - row.acknowledged]
        for row in report.usage
    ]
    values = [
        FORMAT if report.history_s is None else HISTORY_FORMAT,
        report.node_id,
        report.session,
        report.number,
        report.prior,
        list(report.prior_limited),
        rows,
    ]
    if report.history_s is not None:
        told = [
            [row.customer, row.admitted, *_pack_slots(row.slots)]
            for row in report.history
        ]
        values += [int(report.history_s * MS_PER_S), told]
    return _pack(values)


def _pack_slots(slots: tuple[Slot, ...]) -> Iterator[int]:
    for slot in slots:
        # A call that counts as younger counts for longer.
        yield max(0, int(slot.age_s * MS_PER_S))
        yield slot.calls


def decode_report(message: bytes) -> Report | str:
    """Decode a report; a text says what is malformed."""
    try:
        values = _unpack(message, {FORMAT: 7, HISTORY_FORMAT: 9})
        node_id, session, number, prior, limited, rows = values[:6]
        has_history = len(values) > 6
        return Report(
            node_id=_text(node_id),
            session=_count(session),
            number=_count(number),
            prior=_text(prior),
            prior_limited=tuple(_text(customer) for customer in _list(limited)),
            usage=tuple(
                Usage(
                    customer=_text(customer),
                    admitted=_count(admitted),
                    rejected=_count(rejected),
                    acknowledged=_count(admitted - _count(open_calls, low=-MAX_COUNT)),
                )
                for customer, admitted, rejected, open_calls in _list(rows)
            ),
            history_s=_count(values[6]) / MS_PER_S if has_history else None,
            history=(
                tuple(_customer_history(row) for row in _list(values[7]))
                if has_history
                else ()
            ),
        )
    except (ValueError, TypeError) as error:
        return f"{type(error).__name__}: {error!s:.80}"


def _customer_history(row: object) -> CustomerHistory:
    customer, admitted, *numbers = _list(row)
    if len(numbers) % 2 or len(numbers) > 2 * MAX_SLOTS:
        raise ValueError("expected pairs of an age and a count")
    return CustomerHistory(
        customer=_text(customer),
        admitted=_count(admitted),
        slots=tuple(
            Slot(age_s=_count(age_ms) / MS_PER_S, calls=_count(calls))
            for age_ms, calls in zip(numbers[::2], numbers[1::2], strict=True)
        ),
    )


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer."""
    rows = [
        [lease.customer, lease.tokens, round(lease.rate_per_s, 3), lease.has_more]
        for lease in answer.leases
    ]
    values = [
        TOTALS_FORMAT if answer.totals else FORMAT,
        answer.coordinator,
        answer.number,
        answer.report,
        answer.is_gathering,
        rows,
    ]
    if answer.totals:
        values.append([[row.customer, row.calls, row.recent] for row in answer.totals])
    return _pack(values)


def decode_answer(message: bytes) -> Answer | str:
    """Decode an answer; a text says what is malformed."""
    try:
        values = _unpack(message, {FORMAT: 6, TOTALS_FORMAT: 7})
        coordinator, number, report, is_gathering, rows = values[:5]
        totals = _list(values[5]) if len(values) > 5 else []
        return Answer(
            coordinator=_text(coordinator),
            number=_count(number),
            report=_count(report),
            is_gathering=is_gathering is True,
            leases=tuple(
                Lease(
                    customer=_text(customer),
                    tokens=_count(tokens),
                    rate_per_s=_rate(rate_per_s),
                    has_more=has_more is True,
                )
                for customer, tokens, rate_per_s, has_more in _list(rows)
            ),
            totals=tuple(
                Total(
                    customer=_text(customer), calls=_count(calls), recent=_count(recent)
                )
                for customer, calls, recent in totals
            ),
        )
    except (ValueError, TypeError) as error:
        return f"{type(error).__name__}: {error!s:.80}"


def _pack(values: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(values)
    return packed


def _unpack(message: bytes, length_by_format: Mapping[int, int]) -> list[Any]:
    if len(message) > MAX_MESSAGE_BYTES:
        raise ValueError(f"message of {len(message)} bytes")
    values = msgpack.unpackb(message)
    if not isinstance(values, list) or not values or type(values[0]) is not int:
        raise ValueError("unknown format")
    if len(values) != length_by_format.get(values[0]):
        raise ValueError("unknown format")
    return values[1:]


def _list(value: object) -> list[Any]:
    if not isinstance(value, list) or len(value) > MAX_ROWS:
        raise ValueError("expected a list")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT:
        raise ValueError("expected a short text")
    return value


def _count(value: object, *, low: int = 0) -> int:
    if type(value) is not int or not low <= value <= MAX_COUNT:
        raise ValueError("expected a count")
    return value


def _rate(value: object) -> float:
    if type(value) not in (int, float):
        raise ValueError("expected a rate")
    rate_per_s = float(value)  # type: ignore[arg-type]
    if not 0.0 <= rate_per_s < MAX_COUNT:
        raise ValueError("expected a rate")
    return rate_per_s
