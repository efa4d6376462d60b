"""Decode documents of the platform's store into the relay's types."""

import ipaddress
import re
from typing import Annotated, TypeVar

import msgspec

from ..decide.access import key_digest
from ..errors import DECODE_ERRORS
from ..relay import (
    Catalog,
    ClientLimits,
    HeaderNames,
    Route,
    SearcherRecord,
    ServiceRow,
    SplitPart,
    Workspace,
)
from ..settings import MAX_PORT

__all__ = ["CONFIG_KEY", "DOMAIN_PREFIX", "HEADERS", "OPERATOR_PREFIX", "SEARCHER_PREFIX"]
__all__ += ["catalog", "decode_json", "out_domain", "searcher_record"]

HEADERS = HeaderNames(
    request_id="x-rattanrelay-request-id",
    deadline_ms="x-rattanrelay-deadline-ms",
    expected_searcher="x-rattanrelay-expected-instance",
    not_run="x-rattanrelay-not-executed",
    signature="x-rattanrelay-server-signature",
    load="x-rattanrelay-server-load",
    limit="server-limit",
    leaving="server-leaving",
    part_signatures="x-rattanrelay-shard-stamps",
    missing_shards="x-rattanrelay-missing-shards",
    api_key="api-key",
    workspace="x-rattanrelay-tenant",
)

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
#: Prefix of the keys that exclude a failure domain each.
DOMAIN_PREFIX = "op/evacuate/"
SEARCHER_PREFIX = "servers/"


#: Names of hosts in DNS; an address of IPv6 has no brackets.
HOST_NAME = re.compile(r"(?=.{1,253}\Z)[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*", re.ASCII)
#: Names of interfaces in the scope of an IPv6 address; Linux allows up to 15 characters.
SCOPE = re.compile(r"(?=.{1,15}\Z)[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*", re.ASCII)
PORT = re.compile(r"[1-9][0-9]{0,4}", re.ASCII)
#: The longest time in milliseconds for which a searcher can be cold, one day.
MAX_COLD_MS = 86_400_000
#: Names of searchers are sent in headers.
SEARCHER_NAME = re.compile(r"[!-~]{1,200}")

T = TypeVar("T")


#: Integers that instances can send to each other.
_Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
_Int32 = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]


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
    priority: _Int64 = 0
    attempts: _Int32 = 1
    service: str = ""
    traffic_split: list[_Split] = []
    #: Services that are the shards of the route.
    gather: list[str] = []
    top_k: _Int32 = 0
    min_shard_ratio: float = 1.0
    #: Whether callers need no key.
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    #: Connections that each searcher accepts from all callers together.
    max_connections: _Int64 = 8
    #: Requests per second that a cold searcher can serve; 0 if no limit is stated.
    warmup_per_s: float = 0.0


class _Tenant(msgspec.Struct):
    """A workspace in the product's words."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}\Z")]
    api_keys: list[str] = []
    priority: _Int64 | None = None
    #: Requests per second through all instances together; 0 for no limit.
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: _Int64 = 16 * 1024
    max_body_bytes: _Int64 = 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


class _Config(msgspec.Struct):
    version: _Int64
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: Missing if callers need no keys.
    tenants: list[_Tenant] | None = None


class _Entry(msgspec.Struct):
    """Entry of a searcher, which has all fields; one that lacks a field is of another writer."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    state: str
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    version: str
    #: Number of requests that the searcher runs concurrently.
    concurrency: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    #: Time for which the searcher stays cold.
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    sequence: int
    #: Unix milliseconds of the start of the process.
    born: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 0


def decode_json(value: bytes, kind: type[T]) -> T:
    """Decode a document; raises `ValueError` if it is malformed or nested too deeply."""
    try:
        return msgspec.json.decode(value, type=kind)
    except DECODE_ERRORS as error:
        raise ValueError(str(error)) from error


def catalog(value: bytes) -> Catalog:
    """Decode the configuration; raises `ValueError` if it is malformed."""
    config = decode_json(value, _Config)
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
        workspaces=_workspaces(config.tenants),
        keys={
            key_digest(key): row.name for row in config.tenants or () for key in row.api_keys if key
        },
    )


def _workspaces(rows: list[_Tenant] | None) -> dict[str, Workspace] | None:
    if rows is None:
        return None
    return {row.name: Workspace(row.name, row.priority, row.rate_per_s, row.burst) for row in rows}


def searcher_record(key: str, value: bytes) -> SearcherRecord | None:
    """Decode the entry of a searcher; return None if it does not name one that can be used."""
    name = key.removeprefix(SEARCHER_PREFIX)
    try:
        entry = decode_json(value, _Entry)
    except ValueError:
        return None
    host, _, port = entry.address.rpartition(":")
    if entry.state not in ("ready", "draining") or not SEARCHER_NAME.fullmatch(name):
        return None
    if not _is_host(host) or not PORT.fullmatch(port) or int(port) > MAX_PORT:
        return None
    return SearcherRecord(
        searcher=name,
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


def _is_host(text: str) -> bool:
    """Return whether a text is an IP address or a host name."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return HOST_NAME.fullmatch(text) is not None
    scope = getattr(address, "scope_id", None)
    return scope is None or SCOPE.fullmatch(scope) is not None


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
        public=row.public,
    )
