"""Relaying: requests of callers go directly to the searchers of their route."""

from .clock import BootClock
from .daemon import Feed, Listen, RelayDaemon, RelaySettings
from .fleet import Bounds, Knowledge
from .model import Catalog, ClientLimits, HeaderNames, Route, SearcherRecord, ServiceRow, SplitPart
from .peers import Instance, Peers

__all__ = [
    "BootClock",
    "Bounds",
    "Catalog",
    "ClientLimits",
    "Feed",
    "HeaderNames",
    "Instance",
    "Knowledge",
    "Listen",
    "Peers",
    "RelayDaemon",
    "RelaySettings",
    "Route",
    "SearcherRecord",
    "ServiceRow",
    "SplitPart",
]
