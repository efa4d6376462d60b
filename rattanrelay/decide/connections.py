"""Which instances keep idle connections to a searcher that accepts fewer than there are instances.

Answers a light load that callers spread over a large fleet: each instance needs a connection for
some milliseconds now and then, and would keep it for some seconds.
"""

from functools import lru_cache

from .cold_start import Fleet
from .ownership import ranked

__all__ = ["keeps_connection"]

#: Cached selections; a fleet has one for each searcher with few connections.
CACHED_SELECTIONS = 1024


def keeps_connection(searcher: str, connections: int, fleet: Fleet) -> bool:
    """Return whether this instance is one of those that may keep a connection to a searcher."""
    names = frozenset(fleet.names) | {fleet.me}
    return fleet.me in _keepers(searcher, connections, names)


@lru_cache(maxsize=CACHED_SELECTIONS)
def _keepers(searcher: str, connections: int, names: frozenset[str]) -> frozenset[str]:
    return frozenset(ranked(names, searcher)[:connections])
