"""Reads the request that the command `explain` is asked about."""

from typing import Any
from urllib.parse import urlsplit

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import SettingError


def parse_inquiry(method: str, url: str, *, headers: str, body: str) -> dict[str, Any]:
    """Return a request as the administration API takes it; raises SettingError.

    The URL may lack its scheme; `headers` has the form "Name: value; Name: value".
    """
    parts = urlsplit(url if "://" in url else f"//{url}")
    if not parts.netloc:
        raise _bad_value("url", url, "host/path")
    target = parts.path or "/"
    return {
        "method": method.upper(),
        "host": parts.netloc,
        "target": f"{target}?{parts.query}" if parts.query else target,
        "headers": [_parse_header(text) for text in headers.split(";") if text.strip()],
        "body": body,
    }


def _parse_header(text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not colon or not name.strip():
        raise _bad_value("headers", name.strip(), "Name: value; Name: value")
    return name.strip(), value.strip()


def _bad_value(name: str, value: str, allowed: str) -> SettingError:
    return SettingError(
        Failure(
            kind=Kind.INVALID_SETTING,
            detail=f"{name}: expected {allowed}",
            fields={"setting": name, "value": value, "allowed": allowed},
        )
    )
