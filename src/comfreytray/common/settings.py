"""Settings of a process; flags take precedence over the environment."""

import difflib
import ipaddress
from collections.abc import Callable, Mapping
from typing import Any, cast

import attrs
import environ

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import SettingError

PREFIX = "COMFREYTRAY"
MAX_PORT = 65535
MASK = "***"
_ENTRY = "environ_config"
"""Key under which the settings library keeps the default and help of a setting."""
LOG_LEVELS = ("debug", "info", "warning", "error")


def _setting_error(name: str, value: object, allowed: str) -> SettingError:
    fields = {"setting": name, "value": str(value), "allowed": allowed}
    detail = f"setting {name}={value!s}: allowed is {allowed}"
    return SettingError(
        Failure(kind=Kind.INVALID_SETTING, detail=detail, fields=fields)
    )


def _number_between(low: float, high: float) -> Callable[[object, object, float], None]:
    def check(_: object, attribute: object, value: float) -> None:
        if not low <= value <= high:
            name = getattr(attribute, "name", "?")
            raise _setting_error(name, value, f"a number from {low:g} to {high:g}")

    return check


def _check_ip_address(_: object, attribute: object, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        name = getattr(attribute, "name", "?")
        raise _setting_error(name, value, "an IP address") from None


def _check_name(_: object, attribute: object, value: str) -> None:
    if not value or any(c.isspace() for c in value):
        name = getattr(attribute, "name", "?")
        raise _setting_error(name, value, "a name without spaces")


def _check_language(_: object, attribute: object, value: str) -> None:
    if value not in ("vi", "fr", "en"):
        raise _setting_error(getattr(attribute, "name", "?"), value, "vi, fr or en")


def _check_log_level(_: object, attribute: object, value: str) -> None:
    if value not in LOG_LEVELS:
        name = getattr(attribute, "name", "?")
        raise _setting_error(name, value, ", ".join(LOG_LEVELS))


def _port_setting(default: int) -> int:
    return environ.var(  # type: ignore[no-any-return]
        default=default, converter=int, validator=_number_between(0, MAX_PORT)
    )


@environ.config(prefix=PREFIX, frozen=True)
class Settings:
    """The checked settings of a node or a command."""

    node_id: str = environ.var(default="", help="Name of the node; generated if empty")
    region: str = environ.var(
        default="local", validator=_check_name, help="Region of the instance"
    )
    data_centre: str = environ.var(
        default="local-1", validator=_check_name, help="Data centre of the instance"
    )
    host: str = environ.var(
        default="127.0.0.1",
        validator=_check_ip_address,
        help="IP address that the node listens on",
    )
    http_port: int = _port_setting(8080)
    admin_port: int = _port_setting(8081)
    control_port: int = _port_setting(8082)
    call_port: int = _port_setting(8083)
    store_url: str = environ.var(
        default="http://127.0.0.1:8090",
        validator=_check_name,
        help="URL of the platform's object API",
    )
    store_region: str = environ.var(
        default="", help="Region of the platform's store; empty if unknown"
    )
    store_timeout_s: float = environ.var(
        default=2.0, converter=float, validator=_number_between(0.05, 60.0)
    )
    peers: str = environ.var(
        default="", help="Control addresses of peers to contact first, comma-separated"
    )
    drain_timeout_s: float = environ.var(
        default=30.0, converter=float, validator=_number_between(0.0, 3600.0)
    )
    language: str = environ.var(
        default="en",
        validator=_check_language,
        help="Language of messages: vi, fr or en",
    )
    operator: str = environ.var(default="", help="Name of the operator of a command")
    admin_url: str = environ.var(
        default="http://127.0.0.1:8081", help="Administration API that commands use"
    )
    admin_token: str = environ.var(
        default="", help="Token of the administration API; required off loopback"
    )
    trace_file: str = environ.var(
        default="", help="File or - for finished spans; empty turns tracing off"
    )
    log_level: str = environ.var(default="info", validator=_check_log_level)


SECRETS = frozenset({"admin_token"})


def names() -> list[str]:
    """Return the names of all settings."""
    return [attribute.name for attribute in attrs.fields(cast(Any, Settings))]


def describe() -> list[tuple[str, str, str]]:
    """Return name, default and help text of each setting."""
    described: list[tuple[str, str, str]] = []
    for attribute in attrs.fields(cast(Any, Settings)):
        entry = attribute.metadata[_ENTRY]
        described.append((attribute.name, str(entry.default), entry.help or ""))
    return described


def load(flags: Mapping[str, object], environment: Mapping[str, str]) -> Settings:
    """Merge flags over the environment and check every value.

    Raises a SettingError that names the setting, its value and what is allowed.
    """
    known = set(names())
    merged: dict[str, str] = {}
    for variable, value in environment.items():
        if not variable.startswith(PREFIX + "_"):
            continue
        name = variable.removeprefix(PREFIX + "_").lower()
        # COMFREYTRAY_SOAK_* are read by the soak test, not by the product.
        if name not in known and not name.startswith("soak_"):
            raise _unknown_setting(variable, name, value)
        merged[variable] = value
    for name, flag in flags.items():
        if name not in known:
            raise _unknown_setting(f"--{name}", name, flag)
        merged[f"{PREFIX}_{name.upper()}"] = str(flag)
    try:
        settings: Settings = environ.to_config(Settings, environ=merged)
    except ValueError as error:
        raise _conversion_error(merged, error) from error
    return settings


def _unknown_setting(spelling: str, name: str, value: object) -> SettingError:
    close = difflib.get_close_matches(name, names(), n=1)
    allowed = f"{close[0]} (nearest known name)" if close else ", ".join(names())
    return _setting_error(spelling, value, allowed)


def _conversion_error(merged: Mapping[str, str], error: ValueError) -> SettingError:
    for attribute in attrs.fields(cast(Any, Settings)):
        variable = f"{PREFIX}_{attribute.name.upper()}"
        value = merged.get(variable)
        if value is None or attribute.converter is None:
            continue
        try:
            attribute.converter(value)
        except ValueError:
            return _setting_error(attribute.name, value, "a number")
    return _setting_error("?", "?", str(error))


def effective(settings: Settings) -> dict[str, str]:
    """Return the settings in force, with secrets masked."""
    return {
        name: MASK
        if name in SECRETS and getattr(settings, name)
        else str(getattr(settings, name))
        for name in names()
    }
