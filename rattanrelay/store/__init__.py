"""Client of the platform's key-value service."""

from .client import Entry, StoreClient
from .watching import watch_while

__all__ = ["Entry", "StoreClient", "watch_while"]
