"""Configuration distribution for a service mesh, in each operator's own language."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from comfreytray.calls.proxy import CallPath
    from comfreytray.common.errors import (
        ANSWER_BY_KIND,
        Answer,
        Failure,
        Kind,
        Ran,
        Retry,
    )
    from comfreytray.common.exceptions import (
        ComfreytrayError,
        InvariantError,
        SettingError,
    )
    from comfreytray.common.interfaces import Clock, Network, ObjectStore
    from comfreytray.common.settings import Settings
    from comfreytray.configuration.compiler import Compiler
    from comfreytray.configuration.content import Content, Head
    from comfreytray.configuration.operations import ItemKind, Operations
    from comfreytray.configuration.snapshots import Route, Snapshot
    from comfreytray.distribution.distribution import Distributor
    from comfreytray.membership.membership import Membership
    from comfreytray.node.node import Node
    from comfreytray.store.storeclient import StoreClient

# Imported on first use: a command needs no event loop, a node no YAML parser, and a
# node listens to callers before its other imports.
_MODULE_BY_NAME = {
    "ANSWER_BY_KIND": "common.errors",
    "Answer": "common.errors",
    "CallPath": "calls.proxy",
    "Clock": "common.interfaces",
    "ComfreytrayError": "common.exceptions",
    "Compiler": "configuration.compiler",
    "Content": "configuration.content",
    "Distributor": "distribution.distribution",
    "Failure": "common.errors",
    "Head": "configuration.content",
    "InvariantError": "common.exceptions",
    "ItemKind": "configuration.operations",
    "Kind": "common.errors",
    "Membership": "membership.membership",
    "Network": "common.interfaces",
    "Node": "node.node",
    "ObjectStore": "common.interfaces",
    "Operations": "configuration.operations",
    "Ran": "common.errors",
    "Retry": "common.errors",
    "Route": "configuration.snapshots",
    "SettingError": "common.exceptions",
    "Settings": "common.settings",
    "Snapshot": "configuration.snapshots",
    "StoreClient": "store.storeclient",
}

__all__ = [
    "ANSWER_BY_KIND",
    "Answer",
    "CallPath",
    "Clock",
    "ComfreytrayError",
    "Compiler",
    "Content",
    "Distributor",
    "Failure",
    "Head",
    "InvariantError",
    "ItemKind",
    "Kind",
    "Membership",
    "Network",
    "Node",
    "ObjectStore",
    "Operations",
    "Ran",
    "Retry",
    "Route",
    "SettingError",
    "Settings",
    "Snapshot",
    "StoreClient",
]


def __getattr__(name: str) -> Any:
    """Load a public class from its module on first use."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
