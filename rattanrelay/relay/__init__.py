"""Relay that sends requests of callers directly to the searchers of their route."""

from .clock import BootClock
from .daemon import Feed, Listen, RelayDaemon, RelaySettings
from .deployment import Bounds, DeploymentState
from .model import (
    Catalog,
    ClientLimits,
    HeaderNames,
    Route,
    SearcherRecord,
    ServiceRow,
    SplitPart,
    Workspace,
)
from .peers import Instance, Peer, Peers
from .sharing import Change, Item, StoreSharing

__all__ = [
    "BootClock",
    "Bounds",
    "Catalog",
    "Change",
    "ClientLimits",
    "DeploymentState",
    "Feed",
    "HeaderNames",
    "Instance",
    "Item",
    "Listen",
    "Peer",
    "Peers",
    "RelayDaemon",
    "RelaySettings",
    "Route",
    "SearcherRecord",
    "ServiceRow",
    "SplitPart",
    "StoreSharing",
    "Workspace",
]
