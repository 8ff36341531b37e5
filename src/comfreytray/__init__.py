"""Configuration distribution for a service mesh, in each operator's own language."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from comfreytray.errors import ANSWER_BY_KIND, Answer, Failure, Kind, Ran, Retry
from comfreytray.exceptions import ComfreytrayError, InvariantError, SettingError
from comfreytray.interfaces import Clock, Network, ObjectStore
from comfreytray.snapshots import Route, Snapshot

if TYPE_CHECKING:
    from comfreytray.compiler import Compiler
    from comfreytray.content import Content, Head
    from comfreytray.distribution import Distributor
    from comfreytray.membership import Membership
    from comfreytray.node import Node
    from comfreytray.operations import ItemKind, Operations
    from comfreytray.proxy import CallPath
    from comfreytray.settings import Settings
    from comfreytray.storeclient import StoreClient

# Loaded on first use: a command needs no event loop, a node no YAML.
_MODULE_BY_NAME = {
    "CallPath": "proxy",
    "Compiler": "compiler",
    "Content": "content",
    "Distributor": "distribution",
    "Head": "content",
    "ItemKind": "operations",
    "Membership": "membership",
    "Node": "node",
    "Operations": "operations",
    "Settings": "settings",
    "StoreClient": "storeclient",
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
