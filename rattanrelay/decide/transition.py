"""Limits of the searchers during table changes, derived incrementally from the changed rows."""

import math
from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from itertools import compress
from operator import ne
from typing import NamedTuple

from ..table import ServerRow, Table, server_of
from .limits import Group, Limit, groups_of, limit_of, own_slots, row_weight, share

__all__ = ["TransitionLimits"]


class Allocation(NamedTuple):
    """The slots of a searcher under one table and the groups whose limits they count towards."""

    slots: int
    groups: tuple[Group, Group]


#: The allocations that a change of the table replaced, None for a searcher without one.
Replaced = dict[str, Allocation | None]


class TransitionLimits:
    """The limits of `limits.transition_limits`, updated incrementally with each table.

    A change recomputes only the domains and services that a changed row can affect. Earlier tables
    are kept as the allocations that each change replaced. Times are seconds on any clock.
    """

    def __init__(self) -> None:
        self.table: Table | None = None
        #: Sorted names of the servers in each group.
        self.servers: dict[Group, list[str]] = {}
        #: Names of the searchers of each server.
        self.searchers: dict[str, tuple[str, ...]] = {}
        #: Sum of the slots that each server's own row allows its searchers.
        self.own_totals: dict[str, int] = {}
        #: Slots of each searcher after the limit of its domain, before that of its service.
        self.domain_slots: dict[str, int] = {}
        #: Sum of the slots in each group before the limit of the group.
        self.requested: Counter[Group] = Counter()
        #: Groups whose limit lowers the slots of their searchers.
        self.binding: set[Group] = set()
        self.allocations: dict[str, Allocation] = {}
        #: Sum of the slots in each group under the table in force.
        self.sums: Counter[Group] = Counter()
        #: Until when the table before each change may be in use, and what the change replaced.
        self.changes: deque[tuple[float, Replaced]] = deque()
        #: By how much allocations of earlier tables may exceed the sum of each group.
        self.excess: Counter[Group] = Counter()

    def replace(self, table: Table, until: float) -> None:
        """Replace the table; other instances may use the previous one until `until`."""
        old = self.table or Table(0)
        first = self.table is None
        self.table = table
        replaced: Replaced = {}
        domains, services = self._move_servers(old, table, replaced)
        whole_domains, whole_services = self._affected(old, table)
        domains.update(dict.fromkeys(whole_domains))
        for name, servers in domains.items():
            for searcher in self._share_domain(name, servers):
                service = self.table.servers[server_of(searcher)].service
                services.setdefault(service, set()).add(searcher)
        services.update(dict.fromkeys(whole_services))
        for name, searchers in services.items():
            self._share_service(name, searchers, replaced)
        if replaced and not first:
            self.changes.append((until, replaced))
            self._sum_excess()

    def _move_servers(
        self, old: Table, new: Table, replaced: Replaced
    ) -> tuple[dict[str, list[str] | None], dict[str, set[str] | None]]:
        """Regroup the changed servers.

        Returns the domains with the servers that are new in them, and the services that lost
        servers with an empty set of searchers.
        """
        domains: dict[str, list[str] | None] = {}
        services: dict[str, set[str] | None] = {}
        for name in _changed(old.servers, new.servers, _server_cells):
            before = old.servers.get(name)
            after = new.servers.get(name)
            if before is not None:
                self._remove(before, after, replaced)
                domains.setdefault(before.failure_domain, [])
                services.setdefault(before.service, set())
            if after is not None:
                self._add(after)
                domains.setdefault(after.failure_domain, []).append(name)
        return domains, services

    def expire(self, now: float) -> None:
        """Discard earlier tables that are no longer in use."""
        if now < self.next_expiry():
            return
        while now >= self.next_expiry():
            self.changes.popleft()
        self._sum_excess()

    def next_expiry(self) -> float:
        """Return when the oldest earlier table is no longer in use, infinity without one."""
        return self.changes[0][0] if self.changes else math.inf

    def limit(self, searcher: str) -> Limit:
        """Return the limit of a searcher of the table; raises `KeyError` for another one."""
        allocation = self.allocations[searcher]
        slots = allocation.slots
        if not all(self._is_within_row(group) for group in allocation.groups):
            slots = min([slots, *self._replaced_slots(searcher)])
        return limit_of(self.table.servers[server_of(searcher)], slots)

    def _is_within_row(self, group: Group) -> bool:
        """Return whether a group stays within its row whichever table each instance uses."""
        kind, name = group
        row = (self.table.domains if kind == "domain" else self.table.services).get(name)
        cap = row.max_in_flight if row else 0
        return self.sums[group] + self.excess[group] <= cap

    def _replaced_slots(self, searcher: str) -> Iterator[int]:
        for _, replaced in self.changes:
            if searcher in replaced:
                allocation = replaced[searcher]
                yield allocation.slots if allocation else 0

    def _sum_excess(self) -> None:
        """Sum for each group by how much earlier tables exceed the one in force."""
        highest: dict[tuple[Group, str], int] = {}
        for _, replaced in self.changes:
            for searcher, allocation in replaced.items():
                for group in allocation.groups if allocation else ():
                    known = highest.get((group, searcher), 0)
                    highest[group, searcher] = max(allocation.slots, known)
        self.excess = Counter()
        for (group, searcher), slots in highest.items():
            allocation = self.allocations.get(searcher)
            now = allocation.slots if allocation and group in allocation.groups else 0
            self.excess[group] += max(0, slots - now)

    # Determining what a change affects.

    def _affected(self, old: Table, new: Table) -> tuple[set[str], set[str]]:
        """Return the domains and services to recompute entirely because their rows changed."""
        domains = set(_changed(old.domains, new.domains, _group_cells))
        services = set(_changed(old.services, new.services, _group_cells))
        for name in _changed(old.services, new.services, _weight_cells):
            domains.update(row.failure_domain for row in self._rows(("service", name)))
        for name in _changed(old.domains, new.domains, _weight_cells):
            services.update(row.service for row in self._rows(("domain", name)))
        return domains, services

    def _rows(self, group: Group) -> Iterator[ServerRow]:
        for name in self.servers.get(group, ()):
            yield self.table.servers[name]

    def _add(self, row: ServerRow) -> None:
        """Add a server to its groups."""
        for group in groups_of(row):
            insort(self.servers.setdefault(group, []), row.name)
        self.searchers[row.name] = row.searchers

    def _remove(self, row: ServerRow, after: ServerRow | None, replaced: Replaced) -> None:
        """Remove a server from its groups, and the searchers that it no longer has."""
        domain, service = groups_of(row)
        for group in (domain, service):
            names = self.servers[group]
            del names[bisect_left(names, row.name)]
        self.requested[domain] -= self.own_totals.pop(row.name)
        kept = after.searchers if after else ()
        for searcher in self.searchers.pop(row.name):
            self.requested[service] -= self.domain_slots.pop(searcher)
            if searcher not in kept:
                self._set_allocation(searcher, None, replaced)

    # Computing one group.

    def _share_domain(self, name: str, servers: list[str] | None) -> list[str]:
        """Recompute a domain, or only its new servers while the limit of the domain is not reached.

        Returns the searchers whose slots changed.
        """
        group = ("domain", name)
        row = self.table.domains.get(name)
        cap = row.max_in_flight if row else 0
        if servers is not None and group not in self.binding:
            slots = self._own_row_slots(servers)
            self.requested[group] += sum(slots.values())
            if self.requested[group] <= cap:
                return self._set_domain_slots(slots)
        slots = self._own_row_slots(self.servers.get(group, ()))
        self.requested[group] = sum(slots.values())
        self._share(group, cap, slots)
        return self._set_domain_slots(slots)

    def _own_row_slots(self, servers: Iterable[str]) -> dict[str, int]:
        """Return the slots that the servers' own rows allow each of their searchers."""
        slots = {}
        for name in servers:
            count = own_slots(self.table, self.table.servers[name])
            searchers = self.searchers[name]
            slots.update(dict.fromkeys(searchers, count))
            self.own_totals[name] = count * len(searchers)
        return slots

    def _set_domain_slots(self, slots: dict[str, int]) -> list[str]:
        """Set the slots under the domain's limit; return the searchers whose slots changed."""
        changed = [
            searcher
            for searcher, count in slots.items()
            if self.domain_slots.get(searcher) != count
        ]
        for searcher in changed:
            service = ("service", self.table.servers[server_of(searcher)].service)
            self.requested[service] += slots[searcher] - self.domain_slots.get(searcher, 0)
            self.domain_slots[searcher] = slots[searcher]
        return changed

    def _share_service(self, name: str, searchers: set[str] | None, replaced: Replaced) -> None:
        """Recompute a service, or only some searchers while the service limit is not reached."""
        group = ("service", name)
        row = self.table.services.get(name)
        cap = row.max_in_flight if row else 0
        whole = searchers is None or group in self.binding or self.requested[group] > cap
        if whole:
            searchers = [key for row in self._rows(group) for key in self.searchers[row.name]]
        slots = {searcher: self.domain_slots[searcher] for searcher in searchers}
        if whole:
            self._share(group, cap, slots)
        for searcher, count in slots.items():
            groups = groups_of(self.table.servers[server_of(searcher)])
            self._set_allocation(searcher, Allocation(count, groups), replaced)

    def _share(self, group: Group, cap: int, slots: dict[str, int]) -> None:
        """Lower the slots of a whole group to its limit; record whether the limit is binding."""
        if sum(slots.values()) <= cap:
            self.binding.discard(group)
            return
        self.binding.add(group)
        share(slots, list(slots), cap, self._weight)

    def _weight(self, searcher: str) -> float:
        return row_weight(self.table, self.table.servers[server_of(searcher)])

    def _set_allocation(
        self, searcher: str, allocation: Allocation | None, replaced: Replaced
    ) -> None:
        """Set or remove the allocation of a searcher and record the one that it replaces."""
        before = self.allocations.get(searcher)
        if allocation == before:
            return
        replaced.setdefault(searcher, before)
        for group in before.groups if before else ():
            self.sums[group] -= before.slots
        if allocation is None:
            del self.allocations[searcher]
            return
        for group in allocation.groups:
            self.sums[group] += allocation.slots
        self.allocations[searcher] = allocation


def _changed(old: dict, new: dict, cells: Callable[[tuple], tuple]) -> list[str]:
    """Return the names of rows whose given cells differ or that only one of the maps has."""
    gone = [name for name in old if name not in new]
    other = compress(new, map(ne, new.values(), map(old.get, new)))
    return gone + [
        name for name in other if name not in old or cells(old[name]) != cells(new[name])
    ]


def _server_cells(row: ServerRow) -> tuple:
    return groups_of(row), row.searchers, row.slots, row.weight, row.state


def _weight_cells(row) -> tuple:
    return row.weight, row.state


def _group_cells(row) -> tuple:
    return row.weight, row.state, row.max_in_flight
