"""Client of the platform's key-value service."""

from .client import Entry, StoreClient

__all__ = ["Entry", "StoreClient"]
