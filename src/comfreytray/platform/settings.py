"""Read the settings file of a process."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from attrs import frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import SettingError
from comfreytray.common.interfaces import Address
from comfreytray.node.proxynode import Place, RetryBudget

FILE_VARIABLE = "COMFREYTRAY_NODE_FILE"


@frozen(kw_only=True)
class PlatformSettings:
    """Hold what the platform tells a process at its start."""

    place: Place
    ready: Address
    """Where the platform asks whether the node is ready."""
    heartbeats: Address
    """Where the instance beside the node sends its heartbeats."""
    store: Address


def load(path: Path) -> PlatformSettings:
    """Read and check a settings file; raises SettingError that names the field."""
    try:
        plain = json.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise _refuse(
            str(path), type(error).__name__, "a readable JSON file"
        ) from error
    if not isinstance(plain, dict):
        raise _refuse(str(path), type(plain).__name__, "a JSON object")
    return _decode(plain)


def _decode(plain: Mapping[str, Any]) -> PlatformSettings:
    listen = _table(plain, "listen")
    bounds = _bounds(plain)
    place = Place(
        node_id=_text(plain, "node_name"),
        service=_text(plain, "service"),
        region=_text(plain, "region"),
        data_centre=_text(plain, "zone"),
        host=_text(plain, "ip"),
        # The address of the one instance that only this machine can reach.
        upstream=_address(plain, "app_address"),
        # The peer-facing address is the project's own; `inbound` is free for it.
        call_port=_address(listen, "inbound")[1],
        entry=_address(listen, "outbound"),
        heartbeat_s=_number(plain, "heartbeat_s"),
        grace_s=_bound(bounds, "grace_s"),
        retries=RetryBudget(
            ratio=_bound(bounds, "retry_budget_ratio"),
            slack=_bound(bounds, "retry_slack"),
            window_s=_bound(bounds, "budget_window_s"),
        ),
    )
    return PlatformSettings(
        place=place,
        ready=_address(listen, "ready"),
        heartbeats=_address(listen, "control"),
        store=_address(_table(plain, "platform"), "address"),
    )


def _bounds(plain: Mapping[str, Any]) -> dict[str, float]:
    """Read the texts `name=value`; bounds that are not numbers are not used here."""
    texts = plain.get("bounds")
    if not isinstance(texts, list):
        raise _refuse("bounds", texts, "a list of name=value")
    bounds: dict[str, float] = {}
    for text in texts:
        name, _, value = str(text).partition("=")
        try:
            bounds[name] = float(value)
        except ValueError:
            continue
    return bounds


def _bound(bounds: Mapping[str, float], name: str) -> float:
    if name not in bounds:
        raise _refuse(f"bounds.{name}", None, "a number")
    return bounds[name]


def _table(plain: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = plain.get(name)
    if not isinstance(value, dict):
        raise _refuse(name, value, "an object")
    return value


def _text(plain: Mapping[str, Any], name: str) -> str:
    value = plain.get(name)
    if not isinstance(value, str) or not value:
        raise _refuse(name, value, "a text")
    return value


def _number(plain: Mapping[str, Any], name: str) -> float:
    value = plain.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise _refuse(name, value, "a number above 0")
    return float(value)


def _address(plain: Mapping[str, Any], name: str) -> Address:
    address = parse_address(plain.get(name))
    if address is None:
        raise _refuse(name, plain.get(name), "ip:port")
    return address


def parse_address(value: object) -> Address | None:
    """Read `ip:port`; None if it is none."""
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65_535:
        return None
    return host, int(port)


def _refuse(name: str, value: object, allowed: str) -> SettingError:
    fields = {"setting": name, "value": str(value), "allowed": allowed}
    detail = f"setting {name}={value!s}: allowed is {allowed}"
    return SettingError(
        Failure(kind=Kind.INVALID_SETTING, detail=detail, fields=fields)
    )
