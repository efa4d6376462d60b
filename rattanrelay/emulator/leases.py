"""Leases of the emulated store: each name has one holder until its lease expires."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["Lease", "Leases"]


class Lease(NamedTuple):
    """A lease; `expires` is in seconds on the clock of `Leases`."""

    id: int
    name: str
    holder: str
    expires: float


class Leases:
    """Leases by name; ids are never reused."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.by_name: dict[str, Lease] = {}
        self.ids = itertools.count(1)

    def acquire(self, name: str, holder: str, ttl: float) -> Lease | None:
        """Acquire or extend a lease for `ttl` seconds; None while another holder has it."""
        held = self.held(name)
        if held is not None and held.holder != holder:
            return None
        lease_id = held.id if held else next(self.ids)
        return self._set(Lease(lease_id, name, holder, self.clock() + ttl))

    def renew(self, lease_id: int, ttl: float) -> Lease | None:
        """Extend a lease to `ttl` seconds from now; None if it has expired."""
        for lease in list(self.by_name.values()):
            if lease.id == lease_id and self.held(lease.name):
                return self._set(lease._replace(expires=self.clock() + ttl))
        return None

    def held(self, name: str) -> Lease | None:
        """Return the lease of a name if it has not expired."""
        lease = self.by_name.get(name)
        if lease is not None and lease.expires <= self.clock():
            del self.by_name[name]
            return None
        return lease

    def _set(self, lease: Lease) -> Lease:
        self.by_name[lease.name] = lease
        return lease
