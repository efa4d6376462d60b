"""Bounded queue of one searcher that is fair by tenant weight and discards late entries."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["Entry", "FairQueue", "Popped", "Pushed"]


class Entry(NamedTuple):
    """A queued item; `deadline` is the latest useful start in seconds on the caller's clock."""

    key: Hashable
    tenant: str
    deadline: float


class Pushed(NamedTuple):
    """Whether the entry was queued, and the entry of another tenant that was evicted for it."""

    accepted: bool
    evicted: Entry | None = None


class Popped(NamedTuple):
    """The next entry, None if the queue is empty, and the late entries that were discarded."""

    entry: Entry | None
    late: tuple[Entry, ...] = ()


class _Flow:
    """Entries of one tenant in order of arrival."""

    def __init__(self, weight: float, start: float) -> None:
        self.entries: OrderedDict[Hashable, Entry] = OrderedDict()
        self.weight = weight
        #: Start tag of the next entry in virtual time.
        self.start = start


class FairQueue:
    """Serves tenants in proportion to their weights (start-time fair queueing).

    When the queue is full, an entry of a tenant below its share evicts the newest entry of the
    tenant that has the most entries for its weight, so one tenant cannot block all others.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.flows: dict[str, _Flow] = {}
        self.tenant_of: dict[Hashable, str] = {}
        self.virtual_time = 0.0

    def __len__(self) -> int:
        return len(self.tenant_of)

    def push(self, entry: Entry, weight: float = 1.0) -> Pushed:
        """Queue an entry; a weight that is not positive counts as a very small one."""
        if entry.key in self.tenant_of:
            return Pushed(False)
        weight = max(weight, 1e-6)
        evicted = None
        if len(self) >= self.capacity:
            evicted = self._make_room(entry.tenant, weight)
            if evicted is None:
                return Pushed(False)
        flow = self.flows.get(entry.tenant)
        if flow is None:
            flow = self.flows[entry.tenant] = _Flow(weight, self.virtual_time)
        flow.weight = weight
        flow.entries[entry.key] = entry
        self.tenant_of[entry.key] = entry.tenant
        return Pushed(True, evicted)

    def pop(self, now: float) -> Popped:
        """Remove and return the next entry that is not late."""
        late = []
        while self.tenant_of:
            tenant = min(self._waiting(), key=lambda name: (self.flows[name].start, name))
            flow = self.flows[tenant]
            _, entry = flow.entries.popitem(last=False)
            del self.tenant_of[entry.key]
            if entry.deadline <= now:
                late.append(entry)
                self._discard_if_idle(tenant)
                continue
            self.virtual_time = flow.start
            flow.start += 1.0 / flow.weight
            self._discard_idle_flows()
            return Popped(entry, tuple(late))
        return Popped(None, tuple(late))

    def cancel(self, key: Hashable) -> Entry | None:
        """Remove an entry; None if it is not queued."""
        tenant = self.tenant_of.pop(key, None)
        if tenant is None:
            return None
        entry = self.flows[tenant].entries.pop(key)
        self._discard_if_idle(tenant)
        return entry

    def drain(self) -> tuple[Entry, ...]:
        """Remove and return all entries."""
        entries = tuple(entry for flow in self.flows.values() for entry in flow.entries.values())
        self.flows.clear()
        self.tenant_of.clear()
        return entries

    def _waiting(self) -> list[str]:
        return [name for name, flow in self.flows.items() if flow.entries]

    def _make_room(self, tenant: str, weight: float) -> Entry | None:
        waiting = self._waiting()
        if not waiting:
            return None
        fullest = max(waiting, key=lambda name: (self._load(name), name))
        flow = self.flows.get(tenant)
        mine = len(flow.entries) if flow else 0
        if fullest == tenant or (mine + 1) / weight >= self._load(fullest):
            return None
        newest = next(reversed(self.flows[fullest].entries))
        return self.cancel(newest)

    def _load(self, tenant: str) -> float:
        flow = self.flows[tenant]
        return len(flow.entries) / flow.weight

    def _discard_if_idle(self, tenant: str) -> None:
        """Discard an empty flow unless its start tag is ahead of the virtual time."""
        flow = self.flows[tenant]
        if not flow.entries and flow.start <= self.virtual_time:
            del self.flows[tenant]

    def _discard_idle_flows(self) -> None:
        for name in [name for name, flow in self.flows.items() if not flow.entries]:
            self._discard_if_idle(name)
