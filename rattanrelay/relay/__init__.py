"""Relay that sends requests of callers directly to the searchers of their route."""

from .clock import BootClock
from .daemon import Feed, Listen, RelayDaemon, RelaySettings
from .fleet import Bounds, Knowledge
from .model import Catalog, ClientLimits, HeaderNames, Route, SearcherRecord, ServiceRow, SplitPart
from .peers import Instance, Peer, Peers
from .sharing import Change, Item, StoreSharing

__all__ = [
    "BootClock",
    "Bounds",
    "Catalog",
    "Change",
    "ClientLimits",
    "Feed",
    "HeaderNames",
    "Instance",
    "Item",
    "Knowledge",
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
]
