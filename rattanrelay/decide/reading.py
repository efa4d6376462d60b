"""Which instances read the store and pass its changes on to the others.

The decision answers the calls of a large fleet: if every instance watched the store, each change
would wake all of them, and the calls would grow with the square of the fleet.
"""

from collections.abc import Mapping

import xxhash

__all__ = ["MANY_INSTANCES", "readers_for"]

#: Smaller fleets have no readers: all their watches cost less than the doubt about a reader.
MANY_INSTANCES = 30


def readers_for(
    me: str, domain: str, instances: Mapping[str, str], many: int = MANY_INSTANCES
) -> tuple[str, ...]:
    """Return the readers to follow, the best one first; none if this instance has to read.

    `instances` has the failure domain of each other instance; a fleet of less than `many` has no
    readers. Each domain has one reader, the first by a hash of the names, so that all instances
    choose the same without a message. That of the own domain goes first: what it sends costs no
    bytes between domains.
    """
    places = {**instances, me: domain}
    if len(places) < many:
        return ()
    readers: dict[str, str] = {}
    for name in sorted(places, key=_rank):
        readers.setdefault(places[name], name)
    if readers[domain] == me:
        return ()
    own = readers.pop(domain)
    return own, *sorted(readers.values(), key=lambda name: _rank(f"{me}/{name}"))


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
