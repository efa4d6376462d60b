"""Checks of a configuration before it is written: entries without effect and what it changes.

A check is a function that yields findings; it is registered by a decorator. Errors are what an
instance does not load; all findings of the registered checks are warnings.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Literal, NamedTuple

from .model import Catalog, Route, ServiceRow, Workspace

__all__ = [
    "CHECKS",
    "Configuration",
    "Difference",
    "Finding",
    "RouteRow",
    "Searchers",
    "WorkspaceRow",
    "check_configuration",
    "config_check",
    "differences",
    "version_findings",
]

#: Number of searchers by service, as far as it is known.
Searchers = Mapping[str, int]


class Finding(NamedTuple):
    """A fault in a configuration; `entry` names its place, such as `routes/search`."""

    severity: Literal["error", "warning"]
    code: str
    entry: str
    message: str


class Difference(NamedTuple):
    """A field of an entry that two configurations state differently.

    An entry that only one of them has is one difference without a field.
    """

    entry: str
    field: str
    before: Any
    after: Any


class RouteRow(NamedTuple):
    """A route as it was written."""

    route: Route
    #: Services that the row names, and to which it sends nothing since it names others as well.
    ignored: tuple[str, ...] = ()
    #: Whether the row says in a known word whether its requests may run more than once.
    known_type: bool = True
    #: Attempts as stated; a route has at least 1.
    attempts: int = 1


class WorkspaceRow(NamedTuple):
    """A workspace as it was written."""

    workspace: Workspace
    #: Digests of its keys that a request can carry, with repeats.
    keys: tuple[str, ...] = ()
    #: Number of keys that no request can carry: empty ones, and those with other characters than
    #: the visible ones of ASCII.
    unusable_keys: int = 0


class Configuration(NamedTuple):
    """A configuration, and its entries in their order, also those that the catalog drops."""

    catalog: Catalog
    routes: tuple[RouteRow, ...]
    services: tuple[ServiceRow, ...]
    #: None if callers need no keys.
    workspaces: tuple[WorkspaceRow, ...] | None


Check = Callable[[Configuration, Searchers], Iterator[tuple[str, str]]]

#: Checks by the code of their findings; each yields the entry and the message of its findings.
CHECKS: dict[str, Check] = {}


def config_check(code: str) -> Callable[[Check], Check]:
    """Register a check under the code of its findings; raises `ValueError` if it is taken."""

    def register(check: Check) -> Check:
        if code in CHECKS:
            raise ValueError(f"check {code!r} is registered twice")
        CHECKS[code] = check
        return check

    return register


def check_configuration(
    configuration: Configuration, searchers: Searchers | None = None
) -> list[Finding]:
    """Return the findings of all checks; `searchers` has the services whose searchers are known."""
    return [
        Finding("warning", code, entry, message)
        for code, check in CHECKS.items()
        for entry, message in check(configuration, searchers or {})
    ]


def version_findings(configuration: Configuration, in_force: Configuration) -> list[Finding]:
    """Return an error if instances ignore a changed configuration because of its version."""
    version, current = configuration.catalog.version, in_force.catalog.version
    if version > current or not differences(in_force, configuration):
        return []
    text = f"version {version} is not above version {current} in force, so instances ignore it"
    return [Finding("error", "version_not_above", "version", text)]


def differences(before: Configuration, after: Configuration) -> list[Difference]:
    """Return what differs between two configurations; keys are named by their digests."""
    found: list[Difference] = []
    old, new = _entries(before), _entries(after)
    for entry in [*old, *(name for name in new if name not in old)]:
        if entry not in new or entry not in old:
            found.append(Difference(entry, "", old.get(entry), new.get(entry)))
            continue
        fields = old[entry].keys() | new[entry].keys()
        found += [
            Difference(entry, field, old[entry].get(field), new[entry].get(field))
            for field in sorted(fields)
            if old[entry].get(field) != new[entry].get(field)
        ]
    return found


def _entries(configuration: Configuration) -> dict[str, dict[str, Any]]:
    """Return the fields of each entry that takes effect, by the entry's place."""
    catalog = configuration.catalog
    entries: dict[str, dict[str, Any]] = {
        "version": {"version": catalog.version},
        "limits": catalog.limits._asdict(),
        "workspaces": {"needed": catalog.workspaces is not None},
    }
    seen: Counter[str] = Counter()
    for row in configuration.routes:
        name = row.route.name
        seen[name] += 1
        place = f"routes/{name}" if seen[name] == 1 else f"routes/{name}#{seen[name]}"
        entries[place] = {**row.route._asdict(), "split": _split_text(row.route)}
    entries |= {f"services/{name}": row._asdict() for name, row in catalog.services.items()}
    workspaces = catalog.workspaces or {}
    entries |= {f"workspaces/{name}": row._asdict() for name, row in workspaces.items()}
    entries |= {f"keys/{digest}": {"workspace": name} for digest, name in catalog.keys.items()}
    return entries


def _split_text(route: Route) -> str:
    return ", ".join(f"{part.service} {part.weight:g}" for part in route.split)


def _named_services(configuration: Configuration) -> set[str]:
    """Return the services to which a route sends requests."""
    routes = [row.route for row in configuration.routes]
    return {
        name
        for route in routes
        for name in (*route.shards, *(part.service for part in route.split if not route.shards))
    }


def _repeated(names: Iterable[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]


@config_check("route_hidden")
def _hidden_routes(configuration: Configuration, searchers: Searchers):
    """Routes with the host and prefix of an earlier one, which gets all their requests."""
    first: dict[tuple[str, str], str] = {}
    for row in configuration.routes:
        match = row.route.host, row.route.prefix
        if match in first:
            text = f"never matches: {first[match]!r}, before it, has the same host and prefix"
            yield f"routes/{row.route.name}", text
        else:
            first[match] = row.route.name


@config_check("route_never_matches")
def _unmatched_routes(configuration: Configuration, searchers: Searchers):
    """Routes whose host or prefix no request has."""
    for row in configuration.routes:
        route = row.route
        if route.prefix and not route.prefix.startswith("/"):
            yield f"routes/{route.name}", f"never matches: no path starts with {route.prefix!r}"
        elif "?" in route.prefix:
            yield f"routes/{route.name}", f"never matches: {route.prefix!r} is compared to paths"
        if ":" in route.host or not route.host:
            yield f"routes/{route.name}", f"never matches: {route.host!r} is no host without a port"


@config_check("route_name_repeated")
def _repeated_routes(configuration: Configuration, searchers: Searchers):
    """Routes of one name, which share the state of their split."""
    for name in _repeated(row.route.name for row in configuration.routes):
        yield f"routes/{name}", "several routes have this name and share one traffic split"


@config_check("route_without_service")
def _empty_routes(configuration: Configuration, searchers: Searchers):
    for row in configuration.routes:
        if not row.route.split and not row.route.shards:
            yield f"routes/{row.route.name}", "names no service, so each of its requests fails"


@config_check("route_service_ignored")
def _ignored_services(configuration: Configuration, searchers: Searchers):
    for row in configuration.routes:
        ignored = list(row.ignored)
        if row.route.shards:
            ignored += [part.service for part in row.route.split]
        if ignored:
            text = f"gets no requests, since the route names other services too: {_listed(ignored)}"
            yield f"routes/{row.route.name}", text


@config_check("route_type_unknown")
def _unknown_types(configuration: Configuration, searchers: Searchers):
    for row in configuration.routes:
        if not row.known_type:
            yield f"routes/{row.route.name}", "has an unknown type; its requests run at most once"


@config_check("split_weight")
def _split_weights(configuration: Configuration, searchers: Searchers):
    """Parts of a split that get no requests, or not the share that they state."""
    for row in configuration.routes:
        place, split = f"routes/{row.route.name}", row.route.split
        for name in _repeated(part.service for part in split):
            yield place, f"service {name!r} has several weights, of which the last counts"
        if split and all(part.weight == 0 for part in split):
            yield place, f"all weights are 0, so {split[0].service!r} gets all requests"
            continue
        for part in split:
            if part.weight == 0:
                yield place, f"service {part.service!r} has weight 0 and never gets a request"
            elif part.weight < 0:
                yield place, f"service {part.service!r} has the negative weight {part.weight:g}"


@config_check("gather")
def _gathers(configuration: Configuration, searchers: Searchers):
    for row in configuration.routes:
        place, route = f"routes/{row.route.name}", row.route
        if not route.shards:
            continue
        for name in _repeated(route.shards):
            yield place, f"shard {name!r} is named several times, so a part is always missing"
        if route.top_k <= 0:
            yield place, f"keeps {route.top_k} records, so its responses are empty"
        if not 0.0 < route.min_share <= 1.0:
            yield place, f"the least share of its shards is {route.min_share:g}, not in (0, 1]"


@config_check("route_limits")
def _route_limits(configuration: Configuration, searchers: Searchers):
    """Limits of a route that contradict each other or the searchers."""
    for row in configuration.routes:
        place, route = f"routes/{row.route.name}", row.route
        if route.timeout <= 0:
            yield place, f"the timeout of {_ms(route.timeout)} lets each request fail"
        elif route.target > route.timeout:
            text = f"the target of {_ms(route.target)} is above the timeout of {_ms(route.timeout)}"
            yield place, text
        if route.target < 0:
            yield place, f"the target of {_ms(route.target)} is negative"
        if row.attempts < 1:
            yield place, f"states {row.attempts} attempts; 1 is made"
        services = dict.fromkeys(route.shards or (part.service for part in route.split))
        few = [name for name in services if searchers.get(name, route.attempts) < route.attempts]
        if few:
            numbers = _listed(f"{name} ({searchers[name]})" for name in few)
            text = f"{route.attempts} attempts are more than the searchers of these: {numbers}"
            yield place, text


@config_check("service_unused")
def _unused_services(configuration: Configuration, searchers: Searchers):
    named = _named_services(configuration)
    for row in configuration.services:
        if row.name not in named:
            yield f"services/{row.name}", "no route sends requests to it"


@config_check("service_not_listed")
def _unlisted_services(configuration: Configuration, searchers: Searchers):
    for name in sorted(_named_services(configuration) - configuration.catalog.services.keys()):
        text = "a route names it, but it has no entry; each instance opens one connection"
        yield f"services/{name}", text


@config_check("service_limits")
def _service_limits(configuration: Configuration, searchers: Searchers):
    for name in _repeated(row.name for row in configuration.services):
        yield f"services/{name}", "has several entries, of which the last counts"
    for row in configuration.services:
        if row.max_connections < 1:
            yield f"services/{row.name}", f"allows {row.max_connections} connections"
        if row.cold_rate is not None and row.cold_rate < 0:
            yield f"services/{row.name}", f"the rate of cold searchers is {row.cold_rate:g}"


@config_check("key_shared")
def _shared_keys(configuration: Configuration, searchers: Searchers):
    """Keys that several workspaces hold; the last one gets the requests."""
    holders: dict[str, list[str]] = defaultdict(list)
    for row in configuration.workspaces or ():
        for digest in row.keys:
            holders[digest].append(row.workspace.name)
    for digest, names in holders.items():
        if len(set(names)) > 1:
            text = f"key {digest} is held by {_listed(dict.fromkeys(names))}; the last one counts"
            yield f"workspaces/{names[0]}", text
        elif len(names) > 1:
            yield f"workspaces/{names[0]}", f"key {digest} is listed {len(names)} times"


@config_check("key_unusable")
def _unusable_keys(configuration: Configuration, searchers: Searchers):
    for row in configuration.workspaces or ():
        if row.unusable_keys:
            text = f"{row.unusable_keys} of its keys can be in no request"
            yield f"workspaces/{row.workspace.name}", text


@config_check("workspace")
def _workspaces(configuration: Configuration, searchers: Searchers):
    """Workspaces that no request belongs to, or whose limits have no effect."""
    rows = configuration.workspaces or ()
    for name in _repeated(row.workspace.name for row in rows):
        yield f"workspaces/{name}", "has several entries, of which the last counts"
    for row in rows:
        place = f"workspaces/{row.workspace.name}"
        if not row.keys:
            yield place, "has no key that a request can carry"
        if row.workspace.burst and not row.workspace.rate:
            yield place, "states a burst without a rate, so it has no limit"


@config_check("client_limits")
def _client_limits(configuration: Configuration, searchers: Searchers):
    for name, value in configuration.catalog.limits._asdict().items():
        if value <= 0:
            yield "limits", f"{name} is {value:g}, so no request is accepted"


def _listed(names: Iterable[str], most: int = 10) -> str:
    """Return names as text, the first ones if there are many."""
    listed = list(names)
    rest = f" and {len(listed) - most} more" if len(listed) > most else ""
    return ", ".join(listed[:most]) + rest


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:g} ms"
