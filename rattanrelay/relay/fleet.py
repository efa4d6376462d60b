"""What this instance knows: the configuration, the searchers, the instances and the store."""

from collections.abc import Iterator
from typing import NamedTuple

from ..decide.departure import doubt_until
from ..decide.extras import ExtraLimits, ExtraWindow
from ..decide.grouping import first_searcher, own_askers
from ..decide.patience import RecentLag, RecentLatency
from ..decide.split import SmoothSplit
from ..decide.warmth import ColdLimits, Fleet
from ..log import event
from .model import Catalog, HeaderNames, Route, SearcherRecord, ServiceRow
from .searchers import CONNECTION_SHARE, Searcher

__all__ = ["Bounds", "Knowledge"]

#: Time for which an instance counts after it was last listed, in seconds; leases of instances that
#: cannot reach the store lapse although they still serve.
INSTANCE_MEMORY_S = 30.0
#: Part of a route's target that its requests are taken to need before one was measured.
INITIAL_LATENCY_SHARE = 0.2
#: Time without another new service after which new ones count as a whole set, in seconds: a set's
#: searchers start together, and their entries arrive within two of the longest pauses of a reader.
NEW_SERVICES_S = 0.5


class Bounds(NamedTuple):
    """Figures that the operators of the platform set for all instances; times in seconds."""

    extra: ExtraLimits
    cold: ColdLimits
    #: Time for which a leaving searcher still serves.
    drain: float
    #: Time from the request to stop until the process is killed.
    stop_grace: float


class Knowledge:
    """State of one instance; changes come from the platform's feed, readers are the requests."""

    def __init__(self, instance: str, domain: str, names: HeaderNames, bounds: Bounds) -> None:
        self.instance = instance
        self.domain = domain
        self.names = names
        self.bounds = bounds
        self.catalog: Catalog | None = None
        self.listed = False
        self.searchers: dict[str, Searcher] = {}
        self.by_service: dict[str, list[Searcher]] = {}
        self.out_domains: frozenset[str] = frozenset()
        #: When the store was last regained; None while it is away.
        self.store_back: float | None = None
        #: How late this instance answers gathers that are due.
        self.lag = RecentLag()
        #: Shards that this instance asks itself, with how many instances do so.
        self.askers: dict[str, int] = {}
        #: Services that appeared after the first list of searchers, with the time of the last one.
        self.new_services: set[str] = set()
        self.new_service_at = 0.0
        self._instances: dict[str, float] = {}
        self._domains: dict[str, str] = {}
        self._extras: dict[str, ExtraWindow] = {}
        self._latency: dict[str, RecentLatency] = {}
        self._splits: dict[str, SmoothSplit] = {}

    @property
    def complete(self) -> bool:
        """Whether requests can be served: configuration and searchers have been read."""
        return self.catalog is not None and self.listed

    def take_catalog(self, catalog: Catalog) -> bool:
        """Put a newer version in force; an older one is ignored."""
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return False
        before = None if self.catalog is None else self.catalog.version
        self.catalog = catalog
        self._splits.clear()
        event("configuration.in_force", version=catalog.version, before=before)
        return True

    def take_record(self, record: SearcherRecord, now: float) -> None:
        """Take the entry of a searcher; another address or start is another incarnation."""
        known = self.searchers.get(record.searcher)
        if known is not None and _same_process(known.record, record):
            was = known.record.draining
            known.update(record, now)
            if record.draining and not was:
                known.drop_idle()
                event("searcher.draining", searcher=record.searcher, service=record.service)
            return
        if known is not None:
            self._remove(known, "restarted")
        searcher = Searcher(record, self.names, now)
        self.searchers[record.searcher] = searcher
        if self.listed and record.service not in self.by_service:
            self.new_services.add(record.service)
            self.new_service_at = now
        self.by_service.setdefault(record.service, []).append(searcher)

    def take_shared_records(self, records: list[SearcherRecord], now: float) -> None:
        """Take all entries from an instance that reaches the store, while this one does not."""
        for record in records:
            # The time for which it stays cold was counted when the other instance read it.
            self.take_record(record, now)
        missing = self.searchers.keys() - {record.searcher for record in records}
        for name in missing:
            searcher = self.searchers[name]
            if searcher.doubt_until is None or now < searcher.doubt_until:
                self._remove(searcher, "not shared")
        self.listed = True

    def lose_record(self, name: str, now: float) -> None:
        """Note that the entry of a searcher is missing."""
        searcher = self.searchers.get(name)
        if searcher is None or searcher.doubt_until is not None:
            return
        if searcher.record.draining:
            self._remove(searcher, "left")
            return
        searcher.doubt_until = doubt_until(now, self.store_back, self.bounds.drain)
        event("searcher.missing", searcher=name, usable_for=round(searcher.doubt_until - now, 3))

    def forget_missing(self, now: float) -> None:
        """Remove the searchers that stayed missing, and close old connections."""
        for searcher in list(self.searchers.values()):
            if searcher.doubt_until is None:
                searcher.drop_expired(now)
            elif now >= searcher.doubt_until:
                if self.store_back is None:
                    searcher.doubt_until = doubt_until(now, None, self.bounds.drain)
                else:
                    self._remove(searcher, "missing")

    def take_out_domains(self, domains: frozenset[str]) -> None:
        """Set the failure domains whose searchers get no requests."""
        if domains != self.out_domains:
            event("domains.out", domains=sorted(domains), before=sorted(self.out_domains))
            self.out_domains = domains

    def take_instances(self, domains: dict[str, str], now: float) -> None:
        """Note the instances that the store lists, with their failure domains."""
        self._domains.update(domains)
        for name in domains:
            self._instances[name] = now
        for name, seen in list(self._instances.items()):
            if now - seen > INSTANCE_MEMORY_S:
                del self._instances[name]
                del self._domains[name]

    def lost_store(self, reason: str) -> None:
        """Note that the store does not answer this instance."""
        if self.store_back is not None:
            event("store.lost", reason=reason)
        self.store_back = None

    def regained_store(self, now: float) -> None:
        """Note that the store answers."""
        if self.store_back is None:
            event("store.regained")
            self.store_back = now
            for searcher in self.searchers.values():
                if searcher.doubt_until is not None:
                    searcher.doubt_until = doubt_until(now, now, self.bounds.drain)

    @property
    def fleet(self) -> Fleet:
        """The instances that may be sending."""
        return Fleet(self.instance, tuple(self._instances))

    @property
    def instances(self) -> int:
        """Number of instances that may be sending, this one included."""
        return len(self._instances.keys() | {self.instance})

    @property
    def domains(self) -> int:
        """Number of failure domains with instances."""
        return len({*self._domains.values(), self.domain})

    def usable(self, service: str, now: float, *, fresh: bool = False) -> list[Searcher]:
        """Return the searchers of a service that may get a request now."""
        row = self.catalog.services.get(service) if self.catalog else None
        limit = self.connection_limit(row)
        return [
            searcher
            for searcher in self.by_service.get(service, ())
            if searcher.usable(now)
            and searcher.record.domain not in self.out_domains
            and searcher.has_room(limit, fresh=fresh)
            and self._warm_enough(searcher, row, now)
        ]

    def domains_of(self, service: str, now: float) -> frozenset[str]:
        """Return the failure domains in which a service has a searcher to use."""
        return frozenset(
            searcher.record.domain
            for searcher in self.serving(service, now)
            if searcher.paused_until <= now
        )

    def serves(self, service: str, now: float) -> bool:
        """Return whether a service has a searcher that may get requests, now or soon."""
        return any(self.serving(service, now))

    def serving(self, service: str, now: float) -> Iterator[Searcher]:
        """Yield the searchers of a service that may get requests, now or soon."""
        for searcher in self.by_service.get(service, ()):
            if searcher.usable(now) and searcher.record.domain not in self.out_domains:
                yield searcher

    def near(self, service: str, domain: str, request_id: str, now: float) -> Searcher | None:
        """Return a searcher of a service that may get requests, in a failure domain if possible."""
        domains = {one.record.searcher: one.record.domain for one in self.serving(service, now)}
        if not domains:
            return None
        return self.searchers[first_searcher(domains, domain, request_id)]

    def connection_limit(self, row: ServiceRow | None) -> int:
        """Return the connections that this instance may have to each searcher of a service.

        The instances that ask it all the time divide them; one that stands in for another one for
        a moment gets no more than an equal part.
        """
        if row is None:
            return 1
        askers = self.askers.get(row.name, self.instances)
        return max(1, int(CONNECTION_SHARE * row.max_connections / askers))

    def to_warm_up(self, now: float) -> list[Searcher]:
        """Return the searchers in the own failure domain that have no connection yet."""
        if self.catalog is None:
            return []
        least = min((row.max_connections for row in self.catalog.services.values()), default=1)
        if self.instances_in(self.domain) > CONNECTION_SHARE * least:
            return []
        own = self.askers.keys() | self._single_services()
        return [
            searcher
            for searcher in self.searchers.values()
            if not searcher.warmed
            and not searcher.open
            and searcher.record.domain == self.domain
            and searcher.record.service in own
            and searcher.usable(now)
            and searcher.record.domain not in self.out_domains
        ]

    def instances_in(self, domain: str) -> int:
        """Return the number of instances in a failure domain, at least 1."""
        names = {name for name, place in self._domains.items() if place == domain}
        return len(names | {self.instance} if domain == self.domain else names) or 1

    def divide_shards(self, now: float) -> None:
        """Note which shards this instance asks itself.

        Those of services that no route names yet count too: an index that is divided anew starts
        its searchers before the configuration names them.
        """
        sets = {route.shards for route in self._routes() if route.shards}
        unnamed = self.new_services.difference(*sets, self._single_services())
        if unnamed and now >= self.new_service_at + NEW_SERVICES_S:
            sets.add(tuple(unnamed))
        others = {name: place for name, place in self._domains.items() if name != self.instance}
        askers: dict[str, int] = {}
        for shards in sets:
            domains_of = {shard: self.domains_of(shard, now) for shard in shards}
            askers |= own_askers(self.instance, self.domain, shards, domains_of, others)
        self.askers = askers

    def _single_services(self) -> set[str]:
        """Return the services whose requests go to one searcher."""
        return {part.service for route in self._routes() for part in route.split}

    def _routes(self) -> list[Route]:
        rows = self.catalog.routes.values() if self.catalog else ()
        return [route for row in rows for route in row]

    def sending(self, searcher: Searcher, now: float) -> None:
        """Count a request to a searcher where that is limited."""
        if now < searcher.cold_until:
            searcher.cold_pace.send(now)

    def extras(self, service: str) -> ExtraWindow:
        """Return the window of extra requests of a service."""
        window = self._extras.get(service)
        if window is None:
            window = self._extras[service] = ExtraWindow()
        return window

    def latency(self, route: Route) -> RecentLatency:
        """Return the recent latencies of the requests of a route."""
        recent = self._latency.get(route.name)
        if recent is None:
            recent = self._latency[route.name] = RecentLatency(INITIAL_LATENCY_SHARE * route.target)
        return recent

    def next_service(self, route: Route) -> str:
        """Return the service of a route that gets the next request."""
        if len(route.split) == 1:
            return route.split[0].service
        split = self._splits.get(route.name)
        if split is None:
            weights = {part.service: part.weight for part in route.split}
            split = self._splits[route.name] = SmoothSplit(weights)
        return split.next()

    def _warm_enough(self, searcher: Searcher, row: ServiceRow | None, now: float) -> bool:
        if now >= searcher.cold_until or row is None or row.cold_rate is None:
            return True
        return searcher.cold_pace.allows(
            now, searcher.record.searcher, row.cold_rate, self.bounds.cold, self.fleet
        )

    def _remove(self, searcher: Searcher, reason: str) -> None:
        searcher.gone = True
        searcher.drop_idle()
        record = searcher.record
        if self.searchers.get(record.searcher) is searcher:
            del self.searchers[record.searcher]
        self.by_service[record.service].remove(searcher)
        event("searcher.removed", searcher=record.searcher, service=record.service, reason=reason)


def _same_process(known: SearcherRecord, new: SearcherRecord) -> bool:
    return (known.host, known.port, known.service, known.started) == (
        new.host,
        new.port,
        new.service,
        new.started,
    )
