"""Relaying: requests of callers go directly to the searchers of their route."""

from .clock import BootClock
from .daemon import Feed, Listen, RelayDaemon, RelaySettings
from .fleet import Bounds, Knowledge
from .model import Catalog, ClientLimits, HeaderNames, Route, SearcherRecord, ServiceRow, SplitPart

__all__ = [
    "BootClock",
    "Bounds",
    "Catalog",
    "ClientLimits",
    "Feed",
    "HeaderNames",
    "Knowledge",
    "Listen",
    "RelayDaemon",
    "RelaySettings",
    "Route",
    "SearcherRecord",
    "ServiceRow",
    "SplitPart",
]
