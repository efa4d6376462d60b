"""Requests that wait for a connection to a searcher of their service."""

import math
from collections import Counter
from collections.abc import Callable, Hashable
from enum import Enum, auto

import trio

__all__ = ["ConnectionCount", "ConnectionQueue", "Retry"]

#: Share of the limit from which on no idle connections are kept, so that those to some searchers do
#: not use up what requests to others need.
KEPT_SHARE = 0.9


class Retry(Enum):
    """Outcome of an attempt to send a request that waited for a connection."""

    SENT = auto()
    #: No connection is free yet.
    WAITING = auto()
    #: The request needs no connection any more.
    DONE = auto()


class ConnectionCount:
    """Connections to all searchers together, whose number the descriptors of the process limit.

    A service gets no more of them than remain for others, so that requests to one whose searchers
    are slow never use up all.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.open = 0
        self.by_service: Counter[str] = Counter()
        #: Called when a connection is closed while services may wait for it.
        self.freed: Callable[[], None] = lambda: None

    def room(self, service: str) -> bool:
        """Return whether another connection to a searcher of a service may be opened."""
        return self.by_service[service] < self.limit - self.open

    @property
    def keeps_idle(self) -> bool:
        """Whether idle connections are kept."""
        return self.open <= KEPT_SHARE * self.limit

    def add(self, service: str) -> None:
        """Count a connection."""
        self.open += 1
        self.by_service[service] += 1

    def remove(self, service: str) -> None:
        """Count a connection no longer."""
        self.open -= 1
        self.by_service[service] -= 1
        if not self.by_service[service]:
            del self.by_service[service]
        # No service has more than all together, so that none waits while half of them are free.
        if self.open + 1 >= self.limit / 2:
            self.freed()


class ConnectionQueue:
    """Sends waiting requests in the order of their arrival as soon as connections are free."""

    def __init__(self) -> None:
        self.waiting: dict[str, dict[Hashable, Callable[[float], Retry]]] = {}
        self._freed: set[str] = set()
        self._wake = trio.Event()

    def add(self, service: str, key: Hashable, retry: Callable[[float], Retry]) -> None:
        """Let a request wait; `retry` attempts to send it and has no checkpoint."""
        self.waiting.setdefault(service, {}).setdefault(key, retry)

    def remove(self, service: str, key: Hashable) -> None:
        """Let a request wait no longer."""
        waiting = self.waiting.get(service)
        if waiting is not None:
            waiting.pop(key, None)
            if not waiting:
                del self.waiting[service]

    def freed(self, service: str) -> None:
        """Record that a connection to a searcher of a service is idle or closed."""
        if service in self.waiting:
            self._freed.add(service)
            self._wake.set()

    def freed_all(self) -> None:
        """Record that a connection to a searcher of any service may be opened."""
        for service in self.waiting:
            self.freed(service)

    async def run(self) -> None:
        """Send waiting requests until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._freed:
                self._retry(self._freed.pop(), trio.current_time())

    def _retry(self, service: str, now: float) -> None:
        for key, retry in list(self.waiting.get(service, {}).items()):
            if retry(now) is Retry.WAITING:
                return
            self.remove(service, key)
