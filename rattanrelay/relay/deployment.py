"""State of the deployment as one instance knows it: configuration, searchers, instances, store."""

import math
from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from ..decide.access import RevocationBound
from ..decide.cold_start import ColdLimits, Fleet
from ..decide.connections import keeps_connection
from ..decide.extra_window import ExtraLimits, ExtraWindow, floor_divisor
from ..decide.grouping import own_askers, shared_searcher
from ..decide.load import ToldLoad
from ..decide.missing_entries import grace_until
from ..decide.pacing import Terms, limit_senders
from ..decide.placement import Costs, Kind, ServiceLoad
from ..decide.quota import QuotaBounds
from ..decide.split import SmoothSplit
from ..decide.timing import RecentLag, RecentLatency, RecentRate
from ..log import event
from .connections import ConnectionCount, ConnectionQueue
from .model import Catalog, HeaderNames, Route, SearcherRecord, ServiceRow
from .searchers import CONNECTION_SHARE, Searcher, SubRequest

__all__ = ["Bounds", "DeploymentState"]

#: Time in seconds for which an instance counts after it was last listed; leases of instances that
#: cannot reach the store expire although they still serve.
INSTANCE_EXPIRY_S = 30.0
#: Expected latency of a route, as a share of its target, until one was measured.
INITIAL_LATENCY_SHARE = 0.2
#: Time in seconds without another new service after which the new ones count as a complete set: its
#: searchers start together, and their entries arrive within two of a reader's longest pauses.
NEW_SERVICES_S = 0.5
#: Time in seconds for which a searcher that has left is remembered: state from before it left may
#: arrive later, from another instance or from a store that was restored.
LEFT_MEMORY_S = 60.0
#: Time in seconds for which the limits of searchers are looked at before a request is sent.
RESTRICTED_S = 5.0


class Bounds(NamedTuple):
    """Limits that the platform's operators set for all instances; times in seconds."""

    extra: ExtraLimits
    cold: ColdLimits
    #: Time for which a draining searcher still serves.
    drain: float
    #: Time from the stop signal until the process is killed.
    stop_grace: float
    #: How long a key may be used after its removal.
    revocation: RevocationBound = RevocationBound(5.0)
    #: By how much the requests of a workspace may exceed its quota.
    quota: QuotaBounds = QuotaBounds()


class DeploymentState:
    """State that the platform's feed updates and that requests read."""

    def __init__(self, instance: str, domain: str, names: HeaderNames, bounds: Bounds) -> None:
        self.instance = instance
        self.domain = domain
        self.names = names
        self.bounds = bounds
        #: Whether each choice of a searcher that tells its load is logged.
        self.log_choices = False
        #: Speed of the processor that this instance may use, in cores.
        self.cores = 1.0
        #: The same of all listed instances and of this one, by name.
        self.cores_of: dict[str, float] = {}
        self.catalog: Catalog | None = None
        #: Time as of which the configuration is known to be the newest in the store.
        self.configuration_known_at = -math.inf
        #: Whether the searchers have been read once.
        self.searchers_listed = False
        self.searchers: dict[str, Searcher] = {}
        self.by_service: dict[str, list[Searcher]] = {}
        #: Incarnations of searchers that have left, and the time until which each is remembered.
        self.left: dict[tuple, float] = {}
        #: The same of those whose entry was missing for too long; they may come back.
        self.gone: dict[tuple, float] = {}
        #: History and revision of the store up to which changes are known, by prefix.
        self.positions: dict[str, tuple[int, int]] = {}
        #: Failure domains whose searchers get no requests.
        self.excluded_domains: frozenset[str] = frozenset()
        #: Time since which the store answers; None while it does not.
        self.store_available_since: float | None = None
        #: How late this instance acts on the soft deadline of gathered responses.
        self.lag = RecentLag()
        #: Requests of callers to this instance that are gathered from shards.
        self.gather_rate = RecentRate()
        #: Number of instances that send requests for a shard, by each shard of this instance.
        self.own_shards: dict[str, int] = {}
        #: Services to which all instances send requests.
        self.shared_services: set[str] = set()
        #: Services that appeared after the first list of searchers, and the time of the last one.
        self.new_services: set[str] = set()
        self.new_service_at = 0.0
        #: Time at which each instance was last listed.
        self._instances: dict[str, float] = {}
        self._domains: dict[str, str] = {}
        self._extras: dict[str, ExtraWindow] = {}
        self._latency: dict[str, RecentLatency] = {}
        #: Costs of the kinds of requests to searchers that tell their load.
        self.costs = Costs()
        #: What is learned of the load of each service.
        self._service_loads: dict[str, ServiceLoad] = {}
        #: Path prefix of each route.
        self._prefixes: dict[str, str] = {}
        self._splits: dict[str, SmoothSplit] = {}
        #: Requests that wait for a connection.
        self.connections = ConnectionQueue()
        #: Connections to all searchers.
        self.all_connections = ConnectionCount()
        self.all_connections.freed = self.connections.freed_all
        #: Called if a request waits for a permit of another instance.
        self.permit_needed: Callable[[Searcher], None] = lambda searcher: None
        #: Time at which a searcher was last found to take only a limited rate of requests.
        self._restricted_at = -math.inf

    @property
    def complete(self) -> bool:
        """Whether configuration and searchers have been read, so that requests can be served."""
        return self.catalog is not None and self.searchers_listed

    @property
    def has_workspaces(self) -> bool:
        """Whether the configuration has workspaces, whose callers compete for the capacity."""
        return self.catalog is not None and self.catalog.workspaces is not None

    def apply_catalog(self, catalog: Catalog) -> bool:
        """Apply a configuration and return whether it is newer; an older one is ignored."""
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return False
        before = None if self.catalog is None else self.catalog.version
        self.catalog = catalog
        self._splits.clear()
        self._prefixes = {
            route.name: route.prefix for rows in catalog.routes.values() for route in rows
        }
        self.costs.keep_routes(self._prefixes)
        event("configuration.in_force", version=catalog.version, before=before)
        return True

    def record_configuration_known(self, at: float) -> None:
        """Record that the configuration is known to be the newest in the store as of a time."""
        self.configuration_known_at = max(self.configuration_known_at, at)

    def configuration_age(self, now: float) -> float:
        """Return the seconds in which a newer configuration may have been written."""
        return now - self.configuration_known_at

    def apply_record(self, record: SearcherRecord, now: float) -> None:
        """Apply the entry of a searcher; another address or start time means a new incarnation.

        An incarnation that is draining never serves again, whatever an older entry says.
        """
        known = self.searchers.get(record.searcher)
        same = known is not None and _incarnation(known.record) == _incarnation(record)
        if _incarnation(record) in self.left or (same and known.record.draining):
            record = record._replace(draining=True)
        if same:
            was_draining = known.record.draining
            known.update(record, now)
            if record.draining and not was_draining:
                known.close_idle()
                event("searcher.draining", searcher=record.searcher, service=record.service)
            return
        if known is not None:
            self._remove(known, "restarted", now)
        load = self._service_loads.setdefault(record.service, ServiceLoad())
        searcher = Searcher(record, self.names, now, load)
        searcher.all_connections = self.all_connections
        searcher.freed = partial(self.connections.freed, record.service)
        if known is not None:
            # Requests that the new process has got before its entry was read count as well.
            searcher.pacer.cold_window = known.pacer.cold_window
        self.searchers[record.searcher] = searcher
        if self.searchers_listed and record.service not in self.by_service:
            self.new_services.add(record.service)
            self.new_service_at = now
        self.by_service.setdefault(record.service, []).append(searcher)

    def apply_shared_records(self, records: list[SearcherRecord], now: float) -> None:
        """Replace all entries by those of an instance that reaches the store."""
        for record in records:
            # `cold_for` counts from the time at which the other instance read the entry.
            self.apply_record(record, now)
        missing = self.searchers.keys() - {record.searcher for record in records}
        for name in missing:
            searcher = self.searchers[name]
            if searcher.grace_until is None or now < searcher.grace_until:
                self._remove(searcher, "not shared", now)
        self.searchers_listed = True

    def mark_missing(self, name: str, now: float, age: float = 0.0) -> None:
        """Start the grace period of a searcher without an entry; remove a draining one at once.

        The entry may have been missing for `age` seconds already.
        """
        searcher = self.searchers.get(name)
        if searcher is None or searcher.grace_until is not None:
            return
        if searcher.record.draining:
            self._remove(searcher, "left", now)
            return
        searcher.grace_until = grace_until(
            now, self.store_available_since, self.bounds.drain, age=age
        )
        event("searcher.missing", searcher=name, usable_for=round(searcher.grace_until - now, 3))

    def has_gone(self, record: SearcherRecord) -> bool:
        """Return whether an incarnation was removed because its entry was missing."""
        return record.searcher not in self.searchers and _incarnation(record) in self.gone

    def remove_expired(self, now: float) -> None:
        """Remove searchers whose grace period has ended, and close expired connections.

        While the store does not answer, grace periods are extended instead.
        """
        for searcher in list(self.searchers.values()):
            if searcher.grace_until is None:
                searcher.close_expired_idle(now)
            elif now >= searcher.grace_until:
                if self.store_available_since is None:
                    searcher.grace_until = grace_until(now, None, self.bounds.drain)
                else:
                    self._remove(searcher, "missing", now)
        for memory in (self.left, self.gone):
            for incarnation in [one for one, until in memory.items() if now >= until]:
                del memory[incarnation]

    def set_excluded_domains(self, domains: frozenset[str]) -> None:
        """Set the failure domains whose searchers get no requests."""
        if domains != self.excluded_domains:
            event("domains.out", domains=sorted(domains), before=sorted(self.excluded_domains))
            self.excluded_domains = domains

    def update_instances(self, domains: dict[str, str], now: float) -> None:
        """Record the instances that the store lists, with their failure domains; expire others."""
        self._domains.update(domains)
        for name in domains:
            self._instances[name] = now
        for name, seen in list(self._instances.items()):
            if now - seen > INSTANCE_EXPIRY_S:
                del self._instances[name]
                del self._domains[name]

    def mark_store_unavailable(self, reason: str) -> None:
        """Record that the store does not answer this instance."""
        if self.store_available_since is not None:
            event("store.lost", reason=reason)
        self.store_available_since = None

    def mark_store_restored(self, now: float) -> None:
        """Record that the store has returned from a copy, in which entries may be missing."""
        self.store_available_since = now

    def mark_store_available(self, now: float) -> None:
        """Record that the store answers; restart the grace periods if it did not answer before."""
        if self.store_available_since is None:
            event("store.regained")
            self.store_available_since = now
            for searcher in self.searchers.values():
                if searcher.grace_until is not None:
                    searcher.grace_until = grace_until(now, now, self.bounds.drain)

    @property
    def fleet(self) -> Fleet:
        """Instances that may be sending requests to searchers."""
        return Fleet(self.instance, tuple(self._instances))

    @property
    def instances(self) -> int:
        """Number of instances that may be sending requests to searchers, including this one."""
        return len(self._instances.keys() | {self.instance})

    @property
    def domains(self) -> int:
        """Number of failure domains with instances."""
        return len({*self._domains.values(), self.domain})

    def usable(self, service: str, now: float) -> list[Searcher]:
        """Return the searchers of a service to which a request can be sent now."""
        limit = self.connections_to(service)
        return [
            searcher
            for searcher in self.by_service.get(service, ())
            if searcher.usable(now)
            and searcher.record.domain not in self.excluded_domains
            and searcher.connection_available(limit)
            and self._pacer_allows(searcher, now)
        ]

    def domains_of(self, service: str, now: float) -> frozenset[str]:
        """Return the failure domains in which a service has a searcher that is not paused."""
        return frozenset(
            searcher.record.domain
            for searcher in self.serving(service, now)
            if searcher.paused_until <= now
        )

    def serves(self, service: str, now: float) -> bool:
        """Return whether a service has a searcher that may get requests, now or after a pause."""
        return any(self.serving(service, now))

    def serving(self, service: str, now: float) -> Iterator[Searcher]:
        """Yield the searchers of a service that may get requests, now or after a pause."""
        for searcher in self.by_service.get(service, ()):
            if searcher.usable(now) and searcher.record.domain not in self.excluded_domains:
                yield searcher

    def searcher_near(
        self, service: str, domain: str, request_id: str, now: float
    ) -> Searcher | None:
        """Return a searcher of a service, in the given failure domain if possible, else None."""
        domains = {one.record.searcher: one.record.domain for one in self.serving(service, now)}
        if not domains:
            return None
        return self.searchers[shared_searcher(domains, domain, request_id)]

    def connections_to(self, service: str) -> int:
        """Return how many connections this instance may have to each searcher of a service."""
        return self.connection_limit(self.catalog.services.get(service) if self.catalog else None)

    def keeps_connection(self, searcher: Searcher) -> bool:
        """Return whether this instance keeps idle connections to a searcher.

        If more instances send to it than it accepts connections, the others close theirs. Few
        instances send to the searchers of a shard.
        """
        service = searcher.record.service
        row = self.catalog.services.get(service) if self.catalog else None
        if row is None or service not in self.shared_services:
            return True
        connections = int(CONNECTION_SHARE * row.max_connections)
        if self.instances <= connections:
            return True
        return keeps_connection(searcher.record.searcher, max(1, connections), self.fleet)

    def connection_limit(self, row: ServiceRow | None) -> int:
        """Return how many connections this instance may have to each searcher of a service.

        The instances that regularly send requests for a shard divide the connections. For the
        shards of others, this instance gets an equal share among all instances.
        """
        if row is None:
            return 1
        instances = self.own_shards.get(row.name, self.instances)
        return max(1, int(CONNECTION_SHARE * row.max_connections / instances))

    def to_preconnect(self, now: float) -> list[Searcher]:
        """Return the searchers in this failure domain that need a connection in advance."""
        if self.catalog is None:
            return []
        smallest_limit = min(
            (row.max_connections for row in self.catalog.services.values()), default=1
        )
        if self.instances_in(self.domain) > CONNECTION_SHARE * smallest_limit:
            return []
        own = self.own_shards.keys() | self._single_services()
        return [
            searcher
            for searcher in self.searchers.values()
            if not searcher.preconnected
            and not searcher.open_connections
            and searcher.record.domain == self.domain
            and searcher.record.service in own
            and searcher.usable(now)
            and self.keeps_connection(searcher)
            and searcher.record.domain not in self.excluded_domains
        ]

    def instances_in(self, domain: str) -> int:
        """Return the number of instances in a failure domain, at least 1."""
        names = {name for name, place in self._domains.items() if place == domain}
        return len(names | {self.instance} if domain == self.domain else names) or 1

    def update_own_shards(self, now: float) -> None:
        """Update the shards for which this instance itself sends requests.

        New services that no route names yet count as shards: when an index is divided anew, its
        searchers start before the configuration names them.
        """
        sets = {route.shards for route in self._routes() if route.shards}
        unnamed = self.new_services.difference(*sets, self._single_services())
        if unnamed and now >= self.new_service_at + NEW_SERVICES_S:
            sets.add(tuple(unnamed))
        others = {name: place for name, place in self._domains.items() if name != self.instance}
        own_shards: dict[str, int] = {}
        for shards in sets:
            domains_of = {shard: self.domains_of(shard, now) for shard in shards}
            own_shards |= own_askers(
                self.instance, self.domain, shards, domains_of, others, self.cores_of
            )
        self.own_shards = own_shards
        self.shared_services = self._single_services()

    def _single_services(self) -> set[str]:
        """Return the services of routes without shards."""
        return {part.service for route in self._routes() for part in route.split}

    def _routes(self) -> list[Route]:
        rows = self.catalog.routes.values() if self.catalog else ()
        return [route for row in rows for route in row]

    def wait(self, searcher: Searcher, now: float) -> float:
        """Return the seconds for which a searcher has stated to take no request."""
        pacer = searcher.pacer
        if not pacer.restricts(now):
            return 0.0
        terms = self._terms(searcher)
        if pacer.needs_permit(terms, now):
            self.permit_needed(searcher)
        return pacer.wait(terms, now)

    def lend(self, searcher: Searcher, now: float) -> bool:
        """Return whether another instance may send a request to a searcher, and count it if so."""
        return searcher.pacer.lend(self._terms(searcher), now)

    def limit_ages(self, now: float) -> dict[bool, list[float]]:
        """Return the ages in seconds of the limits that searchers have stated.

        They are listed by whether this instance has a part of the rate.
        """
        ages: dict[bool, list[float]] = {True: [], False: []}
        for searcher in self.searchers.values():
            if searcher.pacer.limit is not None:
                part = math.isfinite(self._terms(searcher).senders)
                ages[part].append(now - searcher.pacer.heard_at)
        return ages

    def restricted(self, now: float) -> bool:
        """Return whether a searcher took only a limited rate of requests some seconds ago."""
        return now - self._restricted_at < RESTRICTED_S

    def record_send(self, searcher: Searcher, now: float) -> bool:
        """Count a request to a searcher that takes only a limited rate of them.

        Return whether it counts as one to a cold searcher.
        """
        pacer = searcher.pacer
        return pacer.restricts(now) and pacer.record_send(self._terms(searcher), now)

    def extra_window(self, service: str) -> ExtraWindow:
        """Return the budget window for the hedges and retries of a service."""
        window = self._extras.get(service)
        if window is None:
            window = self._extras[service] = ExtraWindow()
        return window

    def floor_divisor(self, service: str) -> float:
        """Return by what the floor of a service's budget is divided for this instance."""
        if service in self.shared_services:
            return float(self.instances)
        return floor_divisor(self.instances, self.own_shards.get(service))

    def latency(self, route: Route) -> RecentLatency:
        """Return the recent latencies of a route."""
        recent = self._latency.get(route.name)
        if recent is None:
            recent = self._latency[route.name] = RecentLatency(INITIAL_LATENCY_SHARE * route.target)
        return recent

    def kind(self, route: Route, sub: SubRequest, now: float) -> Kind:
        """Return the kind of a request, by which its cost is expected."""
        # A route of another instance's request has no prefix.
        path = sub.target.removeprefix(self._prefixes.get(route.name, ""))
        median = self.latency(route).median
        return self.costs.kind(route.name, sub.method, len(sub.body), path, now, median)

    @property
    def told_loads(self) -> list[ToldLoad]:
        """Load that each searcher has told last, without those that have told none."""
        return [one.told for one in self.searchers.values() if one.told is not None]

    def next_service(self, route: Route) -> str:
        """Return the service of a route that gets the next request."""
        if len(route.split) == 1:
            return route.split[0].service
        split = self._splits.get(route.name)
        if split is None:
            weights = {part.service: part.weight for part in route.split}
            split = self._splits[route.name] = SmoothSplit(weights)
        return split.next()

    def _pacer_allows(self, searcher: Searcher, now: float) -> bool:
        if not searcher.pacer.restricts(now):
            return True
        self._restricted_at = now
        return searcher.pacer.allows(self._terms(searcher), now)

    def _terms(self, searcher: Searcher) -> Terms:
        service = searcher.record.service
        row = self.catalog.services.get(service) if self.catalog else None
        senders = limit_senders(
            searcher.record.searcher,
            searcher.pacer.limit,
            self.fleet,
            askers=self.own_shards.get(service),
            shared=service in self.shared_services,
        )
        cold_rate = None if row is None else row.cold_rate
        return Terms(senders, cold_rate, self.bounds.cold, self.fleet)

    def _remove(self, searcher: Searcher, reason: str, now: float) -> None:
        searcher.removed = True
        searcher.close_idle()
        record = searcher.record
        if record.draining or searcher.pacer.leaving:
            self.left[_incarnation(record)] = now + LEFT_MEMORY_S
        else:
            self.gone[_incarnation(record)] = now + LEFT_MEMORY_S
        if self.searchers.get(record.searcher) is searcher:
            del self.searchers[record.searcher]
        self.by_service[record.service].remove(searcher)
        event("searcher.removed", searcher=record.searcher, service=record.service, reason=reason)


def _incarnation(record: SearcherRecord) -> tuple:
    return record.searcher, record.host, record.port, record.service, record.started
