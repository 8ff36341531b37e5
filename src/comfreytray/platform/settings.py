"""Load and check the settings file that the platform writes for a node."""

import json
import math
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from attrs import frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import SettingError
from comfreytray.common.interfaces import Address
from comfreytray.customers.quotaterms import QuotaBounds
from comfreytray.node.options import NodeOptions, RetryBudget
from comfreytray.replication.freshness import (
    DEFAULT_PROPAGATION_S,
    DEFAULT_RECOVERY_S,
    FreshnessLimits,
)
from comfreytray.rollouts.bounds import (
    DEFAULT_EXPOSURE_SHARE,
    DEFAULT_EXPOSURE_SLACK,
    DEFAULT_ROLLBACK_S,
    RolloutBounds,
)

PERCENT = 100
BYTES_PER_MEGABYTE = 1_000_000
BYTES_PER_MEGABIT = 125_000
DEFAULT_QUOTAS = QuotaBounds()
MIN_WINDOW_S = 0.1
ROLLOUT_CONTRACT = "rollout"


@frozen(kw_only=True)
class PlatformSettings:
    """Hold the settings that the platform gives a node at its start."""

    node_options: NodeOptions
    ready_address: Address
    """Where the platform asks whether the node is ready."""
    heartbeat_address: Address
    """Where the instance beside the node sends its heartbeats."""
    store_address: Address
    """Where the platform's object store answers."""


def load(path: Path) -> PlatformSettings:
    """Load a settings file; raise a SettingError that names the field at fault."""
    try:
        document = json.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise _setting_error(
            str(path), type(error).__name__, "a readable JSON file"
        ) from error
    if not isinstance(document, dict):
        raise _setting_error(str(path), type(document).__name__, "a JSON object")
    return _decode(document)


def _decode(document: Mapping[str, Any]) -> PlatformSettings:
    listen = _json_object(document, "listen")
    bounds = _bounds(document)
    options = NodeOptions(
        node_id=_text(document, "node_name"),
        service=_text(document, "service"),
        region=_text(document, "region"),
        data_centre=_text(document, "zone"),
        host=_text(document, "ip"),
        # The instance beside the node; only this machine can reach its address.
        upstream=_address(document, "app_address"),
        # `inbound` is free for the streams between nodes, which are the project's own.
        call_port=_address(listen, "inbound")[1],
        replication_port=_first_free_port(document),
        http_address=_address(listen, "outbound"),
        capacity=_capacity(_json_object(document, "limits")),
        link_bytes_per_s=_link_bytes_per_s(_json_object(document, "limits")),
        memory_bytes=_memory_bytes(_json_object(document, "limits")),
        max_fds=_max_fds(_json_object(document, "limits")),
        heartbeat_s=_number(document, "heartbeat_s"),
        grace_s=_bound(bounds, "grace_s"),
        retries=RetryBudget(
            ratio=_bound(bounds, "retry_budget_ratio"),
            slack=_bound(bounds, "retry_slack"),
            window_s=_bound(bounds, "budget_window_s"),
        ),
        freshness=FreshnessLimits(
            propagation_s=bounds.get("config_deadline_s", DEFAULT_PROPAGATION_S),
            recovery_s=bounds.get("stable_window_s", DEFAULT_RECOVERY_S),
        ),
        is_first_start=document.get("bootstrap") is True,
        quotas=QuotaBounds(
            window_s=_bound_from(
                bounds, "quota_window_s", DEFAULT_QUOTAS.window_s, low=MIN_WINDOW_S
            ),
            overage=_bound_from(bounds, "quota_overage", DEFAULT_QUOTAS.overage),
            slack=_bound_from(bounds, "quota_slack", DEFAULT_QUOTAS.slack),
        ),
        rollouts=_rollout_bounds(document, bounds),
    )
    return PlatformSettings(
        node_options=options,
        ready_address=_address(listen, "ready"),
        heartbeat_address=_address(listen, "control"),
        store_address=_address(_json_object(document, "platform"), "address"),
    )


def _rollout_bounds(
    document: Mapping[str, Any], bounds: Mapping[str, float]
) -> RolloutBounds | None:
    """Return the bounds of roll-outs; None without their contract."""
    contracts = document.get("contracts")
    if not isinstance(contracts, list) or ROLLOUT_CONTRACT not in contracts:
        return None
    return RolloutBounds(
        exposure_share=_bound_from(bounds, "exposure_share", DEFAULT_EXPOSURE_SHARE),
        exposure_slack=_bound_from(bounds, "exposure_slack", DEFAULT_EXPOSURE_SLACK),
        rollback_s=_bound_from(
            bounds, "rollback_s", DEFAULT_ROLLBACK_S, low=MIN_WINDOW_S
        ),
    )


def _capacity(limits: Mapping[str, Any]) -> int:
    """Return the processor share of the machine, in percent of a core."""
    return round(PERCENT * _number(limits, "cpu_share") * _number(limits, "cores"))


def _link_bytes_per_s(limits: Mapping[str, Any]) -> float:
    """Return the speed of the machine's link; infinite if the settings have none."""
    if "link_mbps" not in limits:
        return math.inf
    return _number(limits, "link_mbps") * BYTES_PER_MEGABIT


def _memory_bytes(limits: Mapping[str, Any]) -> float:
    """Return the memory of a process; infinite if the settings have none."""
    if "memory_mb" not in limits:
        return math.inf
    return _number(limits, "memory_mb") * BYTES_PER_MEGABYTE


def _max_fds(limits: Mapping[str, Any]) -> float:
    """Return the descriptors of a process; infinite if the settings have none."""
    return _number(limits, "max_fds") if "max_fds" in limits else math.inf


def _first_free_port(document: Mapping[str, Any]) -> int:
    """Return the first of the ports that are free for traffic between nodes."""
    ports = document.get("port_range")
    if not isinstance(ports, list) or not ports or type(ports[0]) is not int:
        raise _setting_error("port_range", ports, "[first, last]")
    return int(ports[0])


def _bounds(document: Mapping[str, Any]) -> dict[str, float]:
    """Parse the `name=value` bounds; those that are not numbers are ignored."""
    texts = document.get("bounds")
    if not isinstance(texts, list):
        raise _setting_error("bounds", texts, "a list of name=value")
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
        raise _setting_error(f"bounds.{name}", None, "a number")
    return bounds[name]


def _bound_from(
    bounds: Mapping[str, float], name: str, default: float, *, low: float = 0.0
) -> float:
    """Return a bound that may be absent; raises SettingError if it is out of range."""
    value = bounds.get(name, default)
    if not low <= value < math.inf:
        raise _setting_error(f"bounds.{name}", value, f"a number from {low:g}")
    return value


def _json_object(document: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = document.get(name)
    if not isinstance(value, dict):
        raise _setting_error(name, value, "an object")
    return value


def _text(document: Mapping[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise _setting_error(name, value, "a non-empty string")
    return value


def _number(document: Mapping[str, Any], name: str) -> float:
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise _setting_error(name, value, "a number above 0")
    return float(value)


def _address(document: Mapping[str, Any], name: str) -> Address:
    address = parse_address(document.get(name))
    if address is None:
        raise _setting_error(name, document.get(name), "ip:port")
    return address


def parse_address(value: object) -> Address | None:
    """Parse `ip:port`; None if the value is not of this form."""
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65_535:
        return None
    return host, int(port)


def _setting_error(name: str, value: object, allowed: str) -> SettingError:
    fields = {"setting": name, "value": str(value), "allowed": allowed}
    detail = f"setting {name}={value!s}: allowed is {allowed}"
    return SettingError(
        Failure(kind=Kind.INVALID_SETTING, detail=detail, fields=fields)
    )
