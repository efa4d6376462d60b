"""Types of routes, services, searchers and header names."""

from typing import NamedTuple

__all__ = [
    "Catalog",
    "ClientLimits",
    "HeaderNames",
    "Route",
    "SearcherRecord",
    "ServiceRow",
    "SplitPart",
    "Workspace",
]


class HeaderNames(NamedTuple):
    """Names of the headers that callers, instances and searchers exchange, in lower case."""

    #: Identifies one attempt of a caller; searchers repeat it in their responses.
    request_id: str
    #: Remaining time in milliseconds for which the sender waits.
    deadline_ms: str
    #: Name of the searcher that must run the request; any other one refuses it.
    expected_searcher: str
    #: Present if a searcher states that it has not run the request.
    not_run: str
    #: Identifies the response of a searcher.
    signature: str
    #: Requests running and waiting at a searcher, and its slots, separated by commas.
    load: str
    #: Requests per second that a searcher takes from all instances together.
    limit: str
    #: Present with the value 1 if a searcher is leaving.
    leaving: str
    #: Signatures of the shards in a gathered response, separated by commas.
    part_signatures: str
    #: Number of shards that a gathered response leaves out.
    missing_shards: str
    #: Key of a caller, which no searcher gets.
    api_key: str
    #: Name of the workspace that holds the caller's key.
    workspace: str


class SplitPart(NamedTuple):
    """A service that takes a share of the requests of a route."""

    service: str
    weight: float


class Workspace(NamedTuple):
    """A party on whose behalf callers send requests; they name it by one of its keys."""

    name: str
    #: Rank of its requests, in place of the route's; None if it has none of its own.
    priority: int | None = None
    #: Requests per second through all instances together; 0 for no limit.
    rate: float = 0.0
    #: Requests beyond the rate that may come at once.
    burst: float = 0.0


class Route(NamedTuple):
    """How requests with a host and a path prefix are served; times in seconds.

    A route has either `split`, of which one service gets each request, or `shards`, the services
    whose responses are merged.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    #: Longest time from the arrival of a request to its response.
    timeout: float
    #: A response within this time after the caller's first attempt has its full value.
    target: float
    #: Rank of the route; 0 is the most urgent.
    priority: int
    #: Maximum number of searchers per shard to which one request may be sent.
    attempts: int
    split: tuple[SplitPart, ...] = ()
    shards: tuple[str, ...] = ()
    #: Number of records in a gathered response.
    top_k: int = 0
    #: Minimum share of the shards in a gathered response.
    min_share: float = 1.0
    #: Whether callers need no key.
    public: bool = False


class ServiceRow(NamedTuple):
    """Limits of the searchers of a service."""

    name: str
    #: Connections that a searcher accepts from all instances together.
    max_connections: int
    #: Requests per second to a cold searcher from all instances together; None for no limit.
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
    #: Workspaces by name; None if callers need no keys.
    workspaces: dict[str, Workspace] | None = None
    #: Name of the workspace that holds a key, by the digest of the key.
    keys: dict[str, str] = {}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None if none matches."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class SearcherRecord(NamedTuple):
    """Entry of a searcher in the store."""

    searcher: str
    service: str
    host: str
    port: int
    domain: str
    #: Number of requests that it runs concurrently.
    slots: int
    draining: bool
    #: Time in seconds for which it stays cold.
    cold_for: float
    #: Start time of the process; another value means a new incarnation without earlier state.
    started: int
