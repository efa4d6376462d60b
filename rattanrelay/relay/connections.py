"""Requests that wait for a connection to a searcher of their service."""

from collections.abc import Callable, Hashable
from enum import Enum, auto

import trio

__all__ = ["ConnectionQueue", "Retry"]


class Retry(Enum):
    """Outcome of an attempt to send a request that waited for a connection."""

    SENT = auto()
    #: No connection is free yet.
    WAITING = auto()
    #: The request needs no connection any more.
    DONE = auto()


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
