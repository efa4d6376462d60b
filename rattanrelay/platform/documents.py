"""Decode documents of the platform's store into the relay's types."""

import msgspec

from ..relay import (
    Catalog,
    ClientLimits,
    HeaderNames,
    Route,
    SearcherRecord,
    ServiceRow,
    SplitPart,
)

__all__ = ["CONFIG_KEY", "DOMAIN_PREFIX", "HEADERS", "OPERATOR_PREFIX", "SEARCHER_PREFIX"]
__all__ += ["catalog", "out_domain", "searcher_record"]

HEADERS = HeaderNames(
    request_id="x-rattanrelay-request-id",
    deadline_ms="x-rattanrelay-deadline-ms",
    expected_searcher="x-rattanrelay-expected-instance",
    not_run="x-rattanrelay-not-executed",
    signature="x-rattanrelay-server-signature",
    load="x-rattanrelay-server-load",
    part_signatures="x-rattanrelay-shard-stamps",
    missing_shards="x-rattanrelay-missing-shards",
)

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
#: Prefix of the keys that exclude a failure domain each.
DOMAIN_PREFIX = "op/evacuate/"
SEARCHER_PREFIX = "servers/"


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    hostname: str
    prefix: str
    #: `idempotent` if a request may run more than once.
    type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    service: str = ""
    traffic_split: list[_Split] = []
    #: Services that are the shards of the route.
    gather: list[str] = []
    top_k: int = 0
    min_shard_ratio: float = 1.0


class _Service(msgspec.Struct):
    name: str
    #: Connections that each searcher accepts from all callers together.
    max_connections: int = 8
    #: Requests per second that a cold searcher can serve; 0 if no limit is stated.
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Entry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    #: Number of requests that the searcher runs concurrently.
    concurrency: int = 1
    #: Time for which the searcher stays cold.
    warmup_left_ms: float = 0.0
    #: Unix milliseconds of the start of the process.
    born: int = 0


def catalog(value: bytes) -> Catalog:
    """Decode the configuration; raises `ValueError` if it is malformed."""
    config = msgspec.json.decode(value, type=_Config)
    routes: dict[str, list[Route]] = {}
    for row in config.routes:
        routes.setdefault(row.hostname.lower(), []).append(_route(row))
    limits = config.limits
    return Catalog(
        version=config.version,
        routes={
            host: tuple(sorted(rows, key=lambda route: len(route.prefix), reverse=True))
            for host, rows in routes.items()
        },
        services={
            row.name: ServiceRow(row.name, row.max_connections, row.warmup_per_s or None)
            for row in config.services
        },
        limits=ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000.0,
            limits.idle_timeout_ms / 1000.0,
        ),
    )


def searcher_record(key: str, value: bytes) -> SearcherRecord | None:
    """Decode the entry of a searcher; return None if it is malformed or its state is unknown."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    host, _, port = entry.address.rpartition(":")
    known_state = entry.state in ("ready", "draining")
    if not known_state or not host or not port.isdigit() or entry.concurrency < 1:
        return None
    return SearcherRecord(
        searcher=key.removeprefix(SEARCHER_PREFIX),
        service=entry.service,
        host=host,
        port=int(port),
        domain=entry.zone,
        slots=entry.concurrency,
        draining=entry.state == "draining",
        cold_for=entry.warmup_left_ms / 1000.0,
        started=entry.born,
    )


def out_domain(key: str) -> str | None:
    """Return the failure domain that a key excludes, or None for other keys."""
    return key.removeprefix(DOMAIN_PREFIX) if key.startswith(DOMAIN_PREFIX) else None


def _route(row: _Route) -> Route:
    split = tuple(SplitPart(part.service, part.weight) for part in row.traffic_split)
    if row.service:
        split = (SplitPart(row.service, 1.0),)
    return Route(
        name=row.name,
        host=row.hostname.lower(),
        prefix=row.prefix,
        idempotent=row.type == "idempotent",
        timeout=row.timeout_ms / 1000.0,
        target=(row.target_latency_ms or row.timeout_ms) / 1000.0,
        priority=row.priority,
        attempts=max(1, row.attempts),
        split=split,
        shards=tuple(row.gather),
        top_k=row.top_k,
        min_share=row.min_shard_ratio,
    )
