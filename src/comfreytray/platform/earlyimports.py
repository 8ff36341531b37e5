"""Keeps modules that a node on the platform never uses out of its memory.

TLS: callers, nodes, upstreams and the store speak plain HTTP there. The import system
documents None in `sys.modules` as an absent module, and each library that a node uses
supports a Python without these two: eventlet (patcher, convenience, wsgi), urllib3 and
http.client without `ssl`; hashlib and hmac without `_hashlib`, the binding to OpenSSL.
hashlib then takes Python's own digests; a node's digests are BLAKE2, which is Python's
own in either case.

asyncio: eventlet imports it for its hub on an asyncio loop, which a node doesn't use.
It is loaded at its first use instead, so that hub works as before.

Only the standard library is imported here.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module
from types import ModuleType
from typing import Any

_UNUSED = ("ssl", "_hashlib")


class LazyModule(ModuleType):
    """Stands for a module that is loaded when one of its attributes is first read."""

    def __getattr__(self, name: str) -> Any:
        return getattr(import_module(self.__name__), name)


def leave_out_tls() -> None:
    """Let later imports of TLS modules fail as in a Python without OpenSSL."""
    for name in _UNUSED:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]


@contextmanager
def load_at_first_use(name: str) -> Iterator[None]:
    """Give importers within the context a `LazyModule`, unless it is loaded already."""
    if name in sys.modules:
        yield
        return
    late = LazyModule(name)
    sys.modules[name] = late
    try:
        yield
    finally:
        if sys.modules.get(name) is late:
            del sys.modules[name]
