"""Routes, services, searchers and header names that the relay works with."""

from typing import NamedTuple

__all__ = [
    "Catalog",
    "ClientLimits",
    "HeaderNames",
    "Route",
    "SearcherRecord",
    "ServiceRow",
    "SplitPart",
]


class HeaderNames(NamedTuple):
    """Names of the headers that callers, instances and searchers exchange, in lower case."""

    #: Identifies one attempt of a caller; searchers repeat it in their responses.
    request_id: str
    #: Milliseconds for which the sender still waits.
    deadline_ms: str
    #: Incarnation that must run the request; any other one refuses.
    expected_searcher: str
    #: Present when a searcher states that it has not run the request.
    not_run: str
    #: Identifies the response of a searcher.
    signature: str
    #: Requests running and waiting at a searcher, and its slots, separated by commas.
    load: str
    #: Signatures of the parts of a gathered response, separated by commas.
    part_signatures: str
    #: Number of shards that a gathered response leaves out.
    missing_shards: str


class SplitPart(NamedTuple):
    """A service that takes a share of the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests with a host and a path prefix are served; times in seconds.

    A route has either `split`, of which one service gets each request, or `shards`, each of which
    contributes a part to the response.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    #: Longest time that a request may be kept waiting.
    timeout: float
    #: A response within this time after the caller's first attempt has its full value.
    target: float
    #: Rank of the route; 0 is the most urgent.
    priority: int
    #: Searchers to which one request may be sent, for each shard.
    attempts: int
    split: tuple[SplitPart, ...] = ()
    shards: tuple[str, ...] = ()
    #: Records in a gathered response.
    top_k: int = 0
    #: Least share of the shards in a gathered response.
    min_share: float = 1.0


class ServiceRow(NamedTuple):
    """What the searchers of a service bear."""

    name: str
    #: Connections that a searcher accepts from all instances together.
    max_connections: int
    #: Requests a second that a cold searcher bears from all instances together.
    cold_rate: float | None


class ClientLimits(NamedTuple):
    """Limits of client connections; sizes in bytes, times in seconds."""

    max_header: int = 16 * 1024
    max_body: int = 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


class Catalog(NamedTuple):
    """One version of the configuration."""

    version: int
    #: Routes by host, longest prefix first.
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceRow]
    limits: ClientLimits

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None when none matches."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class SearcherRecord(NamedTuple):
    """What a searcher states about itself in the store."""

    searcher: str
    service: str
    host: str
    port: int
    domain: str
    #: Requests that it runs concurrently.
    slots: int
    draining: bool
    #: Seconds for which it stays cold.
    cold_for: float
    #: Start of the process; a change means that nothing of before is known to it.
    started: int
