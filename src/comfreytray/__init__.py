"""Configuration distribution for a service mesh, in each operator's own language."""

from comfreytray.errors import ANSWER_BY_KIND, Answer, Failure, Kind, Ran, Retry
from comfreytray.exceptions import ComfreytrayError, InvariantError, SettingError
from comfreytray.interfaces import Clock, Network, ObjectStore
from comfreytray.snapshots import Route, Snapshot

__all__ = [
    "ANSWER_BY_KIND",
    "Answer",
    "Clock",
    "ComfreytrayError",
    "Failure",
    "InvariantError",
    "Kind",
    "Network",
    "ObjectStore",
    "Ran",
    "Retry",
    "Route",
    "SettingError",
    "Snapshot",
]
