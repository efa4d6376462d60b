"""Client of the platform's key-value service."""

from .calls import NoResponse, StoreCalls
from .client import Entry, StoreClient
from .watching import WATCHERS, follow, watch_while

__all__ = ["WATCHERS", "Entry", "NoResponse", "StoreCalls", "StoreClient", "follow", "watch_while"]
