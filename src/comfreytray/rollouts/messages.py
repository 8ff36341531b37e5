"""Messages between the decider of an order and the other nodes, as msgpack arrays.

A report carries sums since the node first saw the order, so that a lost or repeated one
does no harm. Its answer is a grant.
"""

from collections.abc import Mapping
from typing import Any

import msgpack
from attrs import field, frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.rollouts.evidence import MAX_BUCKET, RouteTally, Tally
from comfreytray.rollouts.orders import State

MAX_ROUTES = 64
"""Routes of a service that are told apart; the others count as one."""
MAX_TEXT_CHARACTERS = 1024
MAX_COUNT = 2**53
MAX_REVISION = 2**63 - 1
SHARE_UNITS = 10_000
"""Shares travel as integers of this part."""
_STATES = (None, *State)


@frozen(kw_only=True)
class Report:
    """What a node tells of its calls to a service under a roll-out."""

    service: str
    order: int
    """Id of the order that the node follows."""
    node_id: str
    incarnation: int
    sequence: int
    age_ms: int
    """Time since the node first saw the order."""
    offered: int
    """Calls to the service, whichever version they went to."""
    sent: int
    """Calls that the new version got."""
    is_rejected: bool = False
    """Whether a decider has told the node that the version is rolled back."""
    tally_by_kind: Mapping[str, RouteTally] = field(factory=dict)
    """Sums of the routes that have changed since the decider's last grant."""


@frozen(kw_only=True)
class Grant:
    """What the decider lets a node do, until a short time after its report."""

    order: int = 0
    generation: int = 0
    """0 if the answering node does not decide on the order."""
    state: State | None = None
    share: float = 0.0
    """Share of calls that may go to the new version."""
    share_by_kind: Mapping[str, float] = field(factory=dict)
    """The same for routes with a share of their own."""
    most: int = 0
    """Calls that may go there before the next grant."""
    instances: int = 0
    """Instances of the new version that get calls, so that each is under load."""
    turn: int = 0
    """Changes when others of its instances should get calls."""
    is_approved: bool = False
    """Whether the version will be completed, so that the old upstreams may stop."""


NO_GRANT = Grant()


def pack_report(report: Report) -> bytes:
    """Pack a report."""
    rows = [
        (kind, _plain_tally(tally.old), _plain_tally(tally.new))
        for kind, tally in report.tally_by_kind.items()
    ]
    return msgpack.packb(  # type: ignore[no-any-return]
        (
            report.service,
            report.order,
            report.node_id,
            report.incarnation,
            report.sequence,
            report.age_ms,
            report.offered,
            report.sent,
            report.is_rejected,
            rows,
        )
    )


def unpack_report(data: bytes) -> Report | Failure:
    """Unpack and check a report."""
    try:
        plain = msgpack.unpackb(data, use_list=False)
        service, order, node_id, incarnation, sequence, age_ms, *rest = plain
        offered, sent, is_rejected, rows = rest
        if len(rows) > MAX_ROUTES + 1:
            raise ValueError(f"expected up to {MAX_ROUTES + 1} routes, got {len(rows)}")
        return Report(
            service=_text(service),
            order=_number(order, MAX_REVISION),
            node_id=_text(node_id),
            incarnation=_number(incarnation),
            sequence=_number(sequence),
            age_ms=_number(age_ms),
            offered=_number(offered),
            sent=_number(sent),
            is_rejected=is_rejected is True,
            tally_by_kind={
                _text(kind): RouteTally(old=_tally(*old), new=_tally(*new))
                for kind, old, new in rows
            },
        )
    except Exception as error:
        return _malformed(error)


def pack_grant(grant: Grant) -> bytes:
    """Pack a grant."""
    return msgpack.packb(  # type: ignore[no-any-return]
        (
            grant.order,
            grant.generation,
            _STATES.index(grant.state),
            round(grant.share * SHARE_UNITS),
            [(k, round(s * SHARE_UNITS)) for k, s in grant.share_by_kind.items()],
            grant.most,
            grant.instances,
            grant.turn,
            grant.is_approved,
        )
    )


def unpack_grant(data: bytes) -> Grant | Failure:
    """Unpack and check a grant."""
    try:
        plain = msgpack.unpackb(data, use_list=False)
        order, generation, state, share, shares, most, *rest = plain
        instances, turn, is_approved = rest
        return Grant(
            order=_number(order, MAX_REVISION),
            generation=_number(generation),
            state=_STATES[_number(state, len(_STATES) - 1)],
            share=_share(share),
            share_by_kind={_text(kind): _share(value) for kind, value in shares},
            most=_number(most),
            instances=_number(instances),
            turn=_number(turn),
            is_approved=is_approved is True,
        )
    except Exception as error:
        return _malformed(error)


def _plain_tally(tally: Tally) -> tuple[object, ...]:
    return (tally.failed, list(tally.count_by_bucket.items()))


def _tally(failed: Any, buckets: Any) -> Tally:
    return Tally(
        failed=_number(failed),
        count_by_bucket={
            _number(bucket, MAX_BUCKET): _number(count) for bucket, count in buckets
        },
    )


def _text(value: object) -> str:
    if type(value) is not str or len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError("expected a text of limited length")
    return value


def _number(value: object, most: int = MAX_COUNT) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"expected a number up to {most}")
    return value


def _share(value: object) -> float:
    return _number(value, SHARE_UNITS) / SHARE_UNITS


def _malformed(error: Exception) -> Failure:
    detail = f"{type(error).__name__}: {error}"[:200]
    return Failure(kind=Kind.BAD_REQUEST, detail=detail)
