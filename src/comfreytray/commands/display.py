"""Format results of the administration API as text for the terminal."""

from collections.abc import Iterable
from typing import Any

from comfreytray.common import messages

MS_PER_S = 1000
CANDIDATE_COLUMNS = (
    "node",
    "data-centre",
    "expected",
    "cost",
    "in-flight",
    "slowdown",
    "failures",
    "state",
)


def _table(rows: Iterable[Iterable[object]]) -> str:
    cells = [[str(cell) for cell in row] for row in rows]
    if not cells:
        return ""
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def items(result: Any, language: str) -> str:
    """Format a list of items: name, original language, digest for `--base`."""
    if not result:
        return messages.text("display.nothing", language=language)
    return _table(
        [entry["name"], entry["language"], entry["digest"]] for entry in result
    )


def item(result: Any, language: str) -> str:
    """Format an item as its text."""
    return str(result["text"]).rstrip("\n")


def check(result: Any, language: str) -> str:
    """Format the result of a check of a valid text, with its warnings."""
    valid = messages.text("display.valid", language=language)
    return "\n".join([valid, *result["warnings"]])


def change(result: Any, language: str) -> str:
    """Format an accepted change: its version and its warnings."""
    accepted = messages.text(
        "display.accepted",
        language=language,
        version=str(result["head"]["version"]),
    )
    return "\n".join([accepted, *result["warnings"]])


def diff(result: Any, language: str) -> str:
    """Format the differences between two texts of an item."""
    lines = result["text"] if isinstance(result, dict) else result
    return str(lines).rstrip("\n") or messages.text(
        "display.nothing", language=language
    )


def versions(result: Any, language: str) -> str:
    """Format a list of versions."""
    if not result:
        return messages.text("display.nothing", language=language)
    return _table(
        [
            entry["version"],
            entry["accepted_at"],
            entry["operator"],
            entry["summary"],
        ]
        for entry in result
    )


def status(result: Any, language: str) -> str:
    """Format the rollout status of a version."""
    lines = [
        messages.text(
            "display.status",
            language=language,
            version=str(result["version"]),
            in_force=str(result["in_force"]),
            total=str(result["total"]),
        )
    ]
    for node in result["lagging"]:
        lines.append(f"  {node['node_id']}: {node['message']}")
    for route in result["unreachable_routes"]:
        lines.append(f"  {route['message']}")
    return "\n".join(lines)


def nodes(result: Any, language: str) -> str:
    """Format a list of nodes."""
    return _table(
        [
            record["node_id"],
            record["state"],
            record["region"],
            record["data_centre"],
            f"{record['host']}:{record['control_port']}",
            (record["endpoint"] or {}).get("service", "-"),
        ]
        for record in result
    )


def endpoints(result: Any, language: str) -> str:
    """Format the endpoints, grouped by service."""
    rows = [
        [service, record["node_id"], record["data_centre"], record["endpoint"]["state"]]
        for service, records in result.items()
        for record in records
    ]
    return _table(rows) or messages.text("display.nothing", language=language)


def holds(result: Any, language: str) -> str:
    """Format the requests that are held back, one a line."""
    rows = [
        [hold["request"], str(hold["ends"]), f"{hold['left_s']:g} s", hold["label"]]
        for hold in result
    ]
    return _table(rows) or messages.text("display.nothing", language=language)


def explanation(result: Any, language: str) -> str:
    """Format where a request would be sent, and why."""
    lines = []
    if result["route"]:
        lines.append(messages.text("explain.route", language=language, **result))
    if result["rejection"]:
        lines += _rejection(result["rejection"], language)
    for service in result["services"]:
        lines += ["", *_service(service, language)]
    return "\n".join(lines)


def _rejection(rejection: Any, language: str) -> list[str]:
    kind = rejection["kind"]
    reason = messages.text(f"kind.{kind}", language=language, **rejection["fields"])
    status = rejection["status"]
    lines = [
        messages.text("explain.rejected", language=language, status=status, kind=kind),
        f"  {reason}",
    ]
    if rejection["detail"]:
        lines.append(f"  {rejection['detail']}")
    return lines


def _service(service: Any, language: str) -> list[str]:
    ranking = service["ranking"]
    share = f"{service['share']:.0%}"
    name = service["service"]
    lines = [
        messages.text("explain.service", language=language, service=name, share=share)
    ]
    if service["rejection"]:
        lines += _rejection(service["rejection"], language)
    if service["isolated_node_id"]:
        node = service["isolated_node_id"]
        lines.append(messages.text("explain.isolated", language=language, node=node))
    for flag in ("ignores_ejections", "is_sampled"):
        if ranking[flag]:
            key = f"explain.{flag.replace('_', '-')}"
            lines.append(messages.text(key, language=language))
    lines.append(_candidates(service, language))
    for excluded in ranking["excluded"]:
        reason = messages.text(f"explain.{excluded['reason']}", language=language)
        left = f" ({excluded['left_s']:.1f} s)" if excluded["left_s"] else ""
        lines.append(
            f"{excluded['node_id']}  {excluded['data_centre']}  {reason}{left}"
        )
    return [line for line in lines if line]


def _candidates(service: Any, language: str) -> str:
    rows = [
        [
            candidate["node_id"],
            candidate["data_centre"],
            f"{candidate['expected_s'] * MS_PER_S:.1f} ms",
            f"{candidate['cost']:.4f}",
            f"{candidate['in_flight']}/{_slots(service, candidate)}",
            f"{candidate['slowdown']:.2f}",
            f"{candidate['failure_share']:.1%}",
            candidate["state"],
        ]
        for candidate in service["ranking"]["candidates"]
    ]
    if not rows:
        return ""
    titles = [
        messages.text(f"explain.title-{name}", language=language)
        for name in CANDIDATE_COLUMNS
    ]
    return _table([titles, *rows])


def _slots(service: Any, candidate: Any) -> int:
    """Return the concurrency limit of an endpoint, or its slots if none is known."""
    limit: int = service["limit_by_node"].get(candidate["node_id"], candidate["slots"])
    return limit


def tree(result: Any, language: str, indent: int = 0) -> str:
    """Format nested values as indented lines."""
    pad = "  " * indent
    if isinstance(result, dict):
        return "\n".join(
            f"{pad}{name}: {value}"
            if not isinstance(value, (dict, list))
            else f"{pad}{name}:\n{tree(value, language, indent + 1)}"
            for name, value in result.items()
        )
    if isinstance(result, list):
        return "\n".join(f"{pad}- {value}" for value in result)
    return f"{pad}{result}"
