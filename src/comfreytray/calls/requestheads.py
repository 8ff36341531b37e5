"""Heads of callers' requests: what they may hold, and their WSGI variables."""

import functools
import re
from typing import Any
from urllib.parse import unquote

from comfreytray.calls.heads import Fields, HeadError, body_framing

REQUEST_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (/[\x21-\x7e]*) (HTTP/1\.[01])\r?\n"
)
_KEPT_KEYS = ("HTTP_ACCEPT_LANGUAGE", "comfreytray.deadline")


def check_head(version: str, headers: Fields) -> None:
    """Check the framing and the host of a request; raises HeadError."""
    chunked, _ = body_framing(headers)
    if chunked and version == "HTTP/1.0":
        raise HeadError("transfer coding in HTTP/1.0")
    hosts = headers.get_all("host")
    if len(hosts) > 1 or (not hosts and version == "HTTP/1.1"):
        raise HeadError(f"expected one Host header, got {len(hosts)}")


def has_body(headers: Fields) -> bool:
    """Whether a request has a body that may not be empty."""
    length = headers.get("content-length")
    return headers.get("transfer-encoding") is not None or length not in (None, "0")


def build_environ(command: str, target: str, headers: Fields) -> dict[str, Any]:
    """Return the WSGI variables of a request's head."""
    path, _, query = target.partition("?")
    pairs = tuple(headers.pairs)
    environ: dict[str, Any] = {
        "REQUEST_METHOD": command,
        "RAW_PATH_INFO": path,
        "PATH_INFO": unquote(path, "latin-1") if "%" in path else path,
        "QUERY_STRING": query,
        "headers_raw": pairs,
        "eventlet.posthooks": [],
    }
    for name, value in pairs:
        if "_" in name:
            # Its key would be the same as that of the name with a hyphen.
            continue
        key = _environ_key(name)
        previous = environ.get(key)
        environ[key] = value if previous is None else f"{previous},{value}"
    return environ


@functools.lru_cache(maxsize=512)
def _environ_key(name: str) -> str:
    """Return the WSGI environ key of a header."""
    key = name.upper().replace("-", "_")
    return key if key == "CONTENT_LENGTH" else f"HTTP_{key}"


def forget_head(exchange: Any) -> None:
    """Keep of a request what its answer may need once it has ended."""
    environ = exchange.environ
    exchange.headers, exchange.raw_requestline = None, b""
    exchange.environ = {key: environ[key] for key in _KEPT_KEYS if key in environ}
