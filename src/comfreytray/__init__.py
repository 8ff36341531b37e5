"""Configuration distribution for a service mesh, in each operator's own language."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from comfreytray.common.errors import ANSWER_BY_KIND, Answer, Failure, Kind, Ran, Retry
from comfreytray.common.exceptions import ComfreytrayError, InvariantError, SettingError
from comfreytray.common.interfaces import Clock, Network, ObjectStore
from comfreytray.configuration.snapshots import Route, Snapshot

if TYPE_CHECKING:
    from comfreytray.calls.proxy import CallPath
    from comfreytray.common.settings import Settings
    from comfreytray.configuration.compiler import Compiler
    from comfreytray.configuration.content import Content, Head
    from comfreytray.configuration.operations import ItemKind, Operations
    from comfreytray.distribution.distribution import Distributor
    from comfreytray.membership.membership import Membership
    from comfreytray.node.node import Node
    from comfreytray.store.storeclient import StoreClient

# Imported on first use: a command needs no event loop, a node no YAML parser.
_MODULE_BY_NAME = {
    "CallPath": "calls.proxy",
    "Compiler": "configuration.compiler",
    "Content": "configuration.content",
    "Distributor": "distribution.distribution",
    "Head": "configuration.content",
    "ItemKind": "configuration.operations",
    "Membership": "membership.membership",
    "Node": "node.node",
    "Operations": "configuration.operations",
    "Settings": "common.settings",
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
