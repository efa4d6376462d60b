"""Choice of the instances that read the store and pass its changes on to the others.

If every instance of a large fleet watched the store, each change would wake all of them, and the
calls would grow with the square of the number of instances. The fastest instances read: after a
loss of power they have started first, so that the others find a reader when they start.
"""

from collections.abc import Mapping

import xxhash

__all__ = ["MIN_FLEET_WITH_READERS", "readers_for"]

#: Smaller fleets have no readers: a watch of each instance costs less than the handling of readers
#: that may fail.
MIN_FLEET_WITH_READERS = 30


def readers_for(
    me: str,
    domain: str,
    instances: Mapping[str, str],
    min_fleet: int = MIN_FLEET_WITH_READERS,
    cores: Mapping[str, float] | None = None,
) -> tuple[str, ...]:
    """Return the readers to follow in order of preference, none if this instance reads the store.

    `instances` has the failure domain of each other instance; a fleet of less than `min_fleet`
    instances has no readers. `cores` has the speed of each instance's processor, also of this one.
    Each domain has one reader, the first by a hash of the names among its fastest instances, so
    that all instances choose the same ones without messages. The reader of the instance's own
    domain comes first, since what it sends costs no bytes between domains.
    """
    places = {**instances, me: domain}
    if len(places) < min_fleet:
        return ()
    speeds = cores or {}
    readers: dict[str, str] = {}
    for name in sorted(places, key=lambda name: (-speeds.get(name, 1.0), _rank(name))):
        readers.setdefault(places[name], name)
    if readers[domain] == me:
        return ()
    own = readers.pop(domain)
    return own, *sorted(readers.values(), key=lambda name: _rank(f"{me}/{name}"))


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
