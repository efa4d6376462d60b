"""Builders of the deployments Norte and Nl-midden at any scale: servers, table and catalogs."""

from collections.abc import Callable, Iterator, Mapping
from itertools import count
from typing import NamedTuple

import msgspec

from ..table import (
    Catalog,
    DomainRow,
    InstanceRow,
    Policy,
    ServerRow,
    ServiceRow,
    Shard,
    Snapshot,
    Table,
    TenantRow,
    encode_document,
    searcher_name,
)
from .config import ServerConfig

__all__ = [
    "DEPLOYMENTS",
    "REPLICAS",
    "Deployment",
    "ServiceShape",
    "build",
    "first_snapshot",
    "located",
    "next_snapshot",
    "nl_midden",
    "norte",
]

REPLICAS = 2

#: Lower limit at any scale: one server for each replica.
MIN_SERVERS = REPLICAS

#: Ratio of `warm_latency_ms` in the table to the emulated median service time.
WARM_LATENCY_RATIO = 1.5

TENANTS = ("tenant-1", "tenant-2", "tenant-3")
TENANT_MAX_IN_FLIGHT = 200

INSTANCES = 6


class ServiceShape(NamedTuple):
    """Size of a service; slots and connections are per searcher, times in ms."""

    name: str
    servers: int
    searchers: int
    slots: int
    connections: int
    connect_ms: float
    service_ms: float = 10.0


class Deployment(NamedTuple):
    """Emulated servers, and the table and the catalogs (by service) that describe them."""

    name: str
    servers: tuple[ServerConfig, ...]
    table: Table
    catalogs: dict[str, Catalog]

    def store_values(self) -> dict[str, str]:
        """Return the documents by store key, `table` and `catalog/{service}`, as JSON text."""
        values = {"table": encode_document(self.table).decode()}
        for service, catalog in self.catalogs.items():
            values[f"catalog/{service}"] = encode_document(catalog).decode()
        return values

    def shards(self, service: str) -> list[str]:
        """Return the shard names of the newest snapshot of a service."""
        return [shard.name for shard in self.catalogs[service].snapshots[0].shards]


class Profile(NamedTuple):
    """Parameters of a deployment; times in ms."""

    name: str
    domains: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    policy: Policy
    timeout_ms: int
    soft_deadline_ms: int


NORTE = Profile(
    name="norte",
    domains=("oviedo", "torrelavega", "ponferrada"),
    services=(
        ServiceShape("logging", 20, 2, 2, 25, 6.0),
        ServiceShape("member-billing", 30, 2, 2, 25, 6.0),
        ServiceShape("shelf-locator", 6, 1, 2, 110, 1.0),
        ServiceShape("sample-booking", 3, 1, 2, 110, 1.0),
    ),
    policy="tail",
    timeout_ms=1000,
    soft_deadline_ms=100,
)

NL_MIDDEN = Profile(
    name="nl-midden",
    domains=("domain-1", "domain-2", "domain-3"),
    services=(
        ServiceShape("register-search", 20, 2, 2, 25, 6.0),
        ServiceShape("volunteer-portal", 30, 2, 2, 25, 6.0),
        ServiceShape("child-care-card", 3, 1, 6, 50, 1.0),
        ServiceShape("subsidy-export", 3, 1, 6, 50, 1.0),
    ),
    policy="coverage",
    timeout_ms=2000,
    soft_deadline_ms=500,
)


def norte(**options) -> Deployment:
    """Build Norte; for the options see `build`."""
    return build(NORTE, **options)


def nl_midden(**options) -> Deployment:
    """Build Nl-midden; for the options see `build`."""
    return build(NL_MIDDEN, **options)


DEPLOYMENTS: dict[str, Callable[..., Deployment]] = {"norte": norte, "nl-midden": nl_midden}


def build(
    profile: Profile,
    *,
    base_port: int = 0,
    scale: float = 1.0,
    services: tuple[str, ...] = (),
    instances: int = INSTANCES,
    host: str = "127.0.0.1",
    **server_options,
) -> Deployment:
    """Build a deployment; `scale` multiplies the number of servers, `services` selects by name.

    The searchers get consecutive ports from `base_port`. With 0 the kernel chooses the ports, and
    the table must then be given the actual addresses. `server_options` are fields of `ServerConfig`
    that replace those of the service's shape.
    """
    ports = count(base_port) if base_port else _zeros()
    shapes = [shape for shape in profile.services if not services or shape.name in services]
    servers: list[ServerConfig] = []
    catalogs: dict[str, Catalog] = {}
    for shape in shapes:
        unassigned = _servers(shape, profile.domains, scale, host, ports, server_options)
        snapshot = _place_shards(
            unassigned, first_snapshot(shape.name), _shard_names(shape.name, unassigned)
        )
        catalogs[shape.name] = Catalog(shape.name, 1, (snapshot,))
        servers += [_with_holdings(server, snapshot) for server in unassigned]
    table = _table(profile, shapes, servers, instances)
    return Deployment(profile.name, tuple(servers), table, catalogs)


def first_snapshot(service: str) -> str:
    """Return the name of the first snapshot of a service."""
    return f"{service}-1"


def located(deployment: Deployment, addresses: Mapping[str, str]) -> Deployment:
    """Return the deployment with the given `host:port` of each searcher in its table."""
    rows = {
        name: row._replace(addresses=" ".join(addresses[one] for one in row.searchers))
        for name, row in deployment.table.servers.items()
    }
    return deployment._replace(table=deployment.table._replace(servers=rows))


def next_snapshot(
    deployment: Deployment, service: str, name: str, shards: int = 0
) -> tuple[Deployment, dict[str, dict[str, list[str]]]]:
    """Return the deployment with a newer snapshot, and its holdings by searcher and snapshot.

    `shards` repartitions the service into that number of shards; 0 keeps the number.
    """
    catalog = deployment.catalogs[service]
    servers = [server for server in deployment.servers if server.service == service]
    total = shards or len(catalog.snapshots[0].shards)
    names = [_shard_name(service, number) for number in range(total)]
    snapshot = _place_shards(servers, name, names)
    newer = Catalog(service, catalog.revision + 1, (snapshot, *catalog.snapshots))
    holdings: dict[str, dict[str, list[str]]] = {}
    for shard in snapshot.shards:
        for searcher in shard.searchers:
            holdings.setdefault(searcher, {name: []})[name].append(shard.name)
    catalogs = {**deployment.catalogs, service: newer}
    return deployment._replace(catalogs=catalogs), holdings


def _zeros() -> Iterator[int]:
    while True:
        yield 0


def _servers(
    shape: ServiceShape,
    domains: tuple[str, ...],
    scale: float,
    host: str,
    ports: Iterator[int],
    options: dict,
) -> list[ServerConfig]:
    total = max(MIN_SERVERS, round(shape.servers * scale))
    fields = {
        "slots": shape.slots,
        "connections": shape.connections,
        "connect_ms": shape.connect_ms,
        "service_ms": shape.service_ms,
        **options,
    }
    return [
        ServerConfig(
            name=f"{shape.name}-{number + 1:02d}",
            service=shape.name,
            failure_domain=domains[number % len(domains)],
            host=host,
            ports=[next(ports) for _ in range(shape.searchers)],
            **fields,
        )
        for number in range(total)
    ]


def _shard_name(service: str, number: int) -> str:
    return f"{service}-s{number + 1:02d}"


def _shard_names(service: str, servers: list[ServerConfig]) -> list[str]:
    """Return the names of as many shards as give each searcher an equal number of replicas."""
    searchers = sum(len(server.ports) for server in servers)
    total = searchers if searchers % REPLICAS else searchers // REPLICAS
    return [_shard_name(service, number) for number in range(total)]


def _place_shards(servers: list[ServerConfig], snapshot: str, shards: list[str]) -> Snapshot:
    """Place each shard on the least loaded searchers in different failure domains."""
    domain_of = _domains_by_searcher(servers)
    load = dict.fromkeys(domain_of, 0)
    placed = []
    for shard in shards:
        chosen: list[str] = []
        for _ in range(REPLICAS):
            used = {domain_of[searcher] for searcher in chosen}
            free = [searcher for searcher in load if domain_of[searcher] not in used]
            best = min(free, key=load.__getitem__)
            load[best] += 1
            chosen.append(best)
        placed.append(Shard(shard, tuple(chosen)))
    return Snapshot(snapshot, tuple(placed))


def _domains_by_searcher(servers: list[ServerConfig]) -> dict[str, str]:
    """Return failure domains by searcher, ordered by the index of the searcher."""
    most = max(len(server.ports) for server in servers)
    return {
        searcher_name(server.name, index): server.failure_domain
        for index in range(most)
        for server in servers
        if index < len(server.ports)
    }


def _with_holdings(server: ServerConfig, snapshot: Snapshot) -> ServerConfig:
    holdings = {}
    for index in range(len(server.ports)):
        name = searcher_name(server.name, index)
        held = [shard.name for shard in snapshot.shards if name in shard.searchers]
        holdings[str(index)] = {snapshot.name: held}
    return msgspec.structs.replace(server, holdings=holdings)


def _table(
    profile: Profile, shapes: list[ServiceShape], servers: list[ServerConfig], instances: int
) -> Table:
    return Table(
        revision=1,
        services={shape.name: _service_row(profile, shape, servers) for shape in shapes},
        domains={
            name: DomainRow(name, _total_slots(servers, domain=name)) for name in profile.domains
        },
        servers={server.name: _server_row(server) for server in servers},
        instances=_instance_rows(profile, instances),
        tenants={
            name: TenantRow(name, team=name, max_in_flight=TENANT_MAX_IN_FLIGHT) for name in TENANTS
        },
        author="emulator",
        change="first table",
    )


def _service_row(profile: Profile, shape: ServiceShape, servers: list[ServerConfig]) -> ServiceRow:
    own = [server for server in servers if server.service == shape.name]
    return ServiceRow(
        shape.name,
        policy=profile.policy,
        timeout_ms=profile.timeout_ms,
        soft_deadline_ms=profile.soft_deadline_ms,
        max_in_flight=_total_slots(own),
        warm_latency_ms=own[0].service_ms * WARM_LATENCY_RATIO,
    )


def _server_row(server: ServerConfig) -> ServerRow:
    return ServerRow(
        server.name,
        server.service,
        server.failure_domain,
        " ".join(f"{server.host}:{port}" for port in server.ports),
        slots=server.slots,
        connections=server.connections,
        connect_ms=server.connect_ms,
        cold_slots=server.cold_slots,
    )


def _instance_rows(profile: Profile, instances: int) -> dict[str, InstanceRow]:
    names = [f"entry-{number + 1}" for number in range(instances)]
    domains = profile.domains
    return {
        name: InstanceRow(name, domains[number % len(domains)]) for number, name in enumerate(names)
    }


def _total_slots(servers: list[ServerConfig], domain: str = "") -> int:
    chosen = [one for one in servers if not domain or one.failure_domain == domain]
    return sum(one.slots * len(one.ports) for one in chosen)
