"""Backend servers of one process, and the selection of their searchers."""

from collections.abc import Callable, Iterable

import msgspec
import trio

from .config import ServerConfig
from .journal import Run
from .searcher import Searcher

__all__ = ["Backends", "Selection"]


class Selection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Searchers by name, server, failure domain and service; an empty list means any."""

    searchers: list[str] = []
    servers: list[str] = []
    domains: list[str] = []
    services: list[str] = []

    def matches(self, searcher: Searcher) -> bool:
        """Return whether a searcher is selected."""
        server = searcher.server
        return (
            searcher.name in (self.searchers or [searcher.name])
            and server.name in (self.servers or [server.name])
            and server.failure_domain in (self.domains or [server.failure_domain])
            and server.service in (self.services or [server.service])
        )


class Backends:
    """All searchers of one process by name (`server/index`); `now` returns Unix seconds."""

    def __init__(self, servers: Iterable[ServerConfig], now: Callable[[], float]) -> None:
        self.searchers: dict[str, Searcher] = {}
        for server in servers:
            for index in range(len(server.ports)):
                name = f"{server.name}/{index}"
                self.searchers[name] = Searcher(name, server, index, now)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve all searchers until cancelled."""
        async with trio.open_nursery() as nursery:
            for searcher in self.searchers.values():
                await nursery.start(searcher.run)
            task_status.started()

    def select(self, selection: Selection) -> list[Searcher]:
        """Return the selected searchers."""
        return [searcher for searcher in self.searchers.values() if selection.matches(searcher)]

    def runs(self) -> list[Run]:
        """Return the requests in the journals of all searchers."""
        return [run for searcher in self.searchers.values() for run in searcher.journal.runs]

    def addresses(self) -> dict[str, str]:
        """Return `host:port` by searcher name."""
        return {name: searcher.address for name, searcher in self.searchers.items()}
