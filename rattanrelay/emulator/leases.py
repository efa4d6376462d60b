"""Leases of the emulated store: one holder for each name until its time to live has passed."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["Lease", "Leases"]


class Lease(NamedTuple):
    """A lease; `expires` on the clock that was given to `Leases`, in seconds."""

    id: int
    name: str
    holder: str
    expires: float


class Leases:
    """Leases by name; ids are never used again."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.by_name: dict[str, Lease] = {}
        self.ids = itertools.count(1)

    def acquire(self, name: str, holder: str, ttl: float) -> Lease | None:
        """Take a lease; None while another holder has it."""
        held = self.held(name)
        if held is not None and held.holder != holder:
            return None
        number = held.id if held else next(self.ids)
        return self._set(Lease(number, name, holder, self.clock() + ttl))

    def renew(self, number: int, ttl: float) -> Lease | None:
        """Extend a lease by its id; None when it has expired."""
        for lease in list(self.by_name.values()):
            if lease.id == number and self.held(lease.name):
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
