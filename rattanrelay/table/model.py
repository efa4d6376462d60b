"""Rows of the operators' table and the catalog of a service."""

from typing import Literal, NamedTuple

import msgspec

__all__ = [
    "Catalog",
    "CellChange",
    "CellValue",
    "DomainRow",
    "HistoryEntry",
    "InstanceRow",
    "Policy",
    "RowState",
    "ServerRow",
    "ServiceRow",
    "Shard",
    "Snapshot",
    "Table",
    "TenantRow",
    "decode_catalog",
    "decode_table",
    "encode_document",
    "searcher_name",
    "server_of",
]

#: `in` takes work; `out` takes no new work.
RowState = Literal["in", "out"]

#: `tail` answers from the soft deadline on, listing missing shards, once the share `min_answered`
#: has answered; `coverage` retries missing shards until the deadline.
Policy = Literal["tail", "coverage"]


class ServiceRow(NamedTuple):
    """A service; times in milliseconds, limits in sub-requests across all instances."""

    name: str
    policy: Policy = "tail"
    timeout_ms: int = 1000
    soft_deadline_ms: int = 100
    #: Share of the shards, 0 to 1, that a `tail` service needs to answer at the soft deadline.
    min_answered: float = 0.9
    max_in_flight: int = 1000
    queue: int = 16
    warm_latency_ms: float = 20.0
    hedge: bool = True
    canary: bool = True
    weight: int = 1
    state: RowState = "in"


class DomainRow(NamedTuple):
    """A failure domain; `max_in_flight` counts sub-requests across all instances."""

    name: str
    max_in_flight: int = 1000
    weight: int = 1
    state: RowState = "in"


class ServerRow(NamedTuple):
    """A backend server; slots, connections and cold slots are per searcher."""

    name: str
    service: str
    failure_domain: str
    #: One `host:port` for each searcher, separated by spaces.
    addresses: str
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0
    cold_slots: int = 1
    weight: int = 1
    state: RowState = "in"

    @property
    def searchers(self) -> tuple[str, ...]:
        """Names of the searchers, in the order of `addresses`."""
        count = len(self.addresses.split())
        return tuple(searcher_name(self.name, index) for index in range(count))


class InstanceRow(NamedTuple):
    """An entry instance."""

    name: str
    failure_domain: str
    weight: int = 1
    state: RowState = "in"


class TenantRow(NamedTuple):
    """A caller's tenant; `max_in_flight` counts its queries across all instances."""

    name: str
    team: str = ""
    weight: int = 1
    max_in_flight: int = 100


#: A cell, a whole row as a tuple in column order, or None for a row that does not exist.
CellValue = bool | int | float | str | tuple[bool | int | float | str, ...] | None


class CellChange(NamedTuple):
    """A change of one cell; an empty `column` means the whole row.

    `before` is the value that the author saw, `after` the value that the author wrote.
    """

    kind: str
    name: str
    column: str
    before: CellValue
    after: CellValue


class HistoryEntry(NamedTuple):
    """The author, time (Unix time in seconds), reason and changes of a revision.

    `edit` identifies the request, so that its author can find out whether it was applied.
    """

    revision: int
    author: str
    time: float
    note: str
    changes: tuple[CellChange, ...]
    edit: str = ""


class Table(NamedTuple):
    """The whole table; the keys of each map are the row names."""

    revision: int
    services: dict[str, ServiceRow] = {}
    domains: dict[str, DomainRow] = {}
    servers: dict[str, ServerRow] = {}
    instances: dict[str, InstanceRow] = {}
    tenants: dict[str, TenantRow] = {}
    #: Author and summary of this revision.
    author: str = ""
    change: str = ""
    #: Latest changes, oldest first; in this document so that one write replaces rows and history.
    history: tuple[HistoryEntry, ...] = ()


class Shard(NamedTuple):
    """A shard of a snapshot and the searchers that hold a replica of it."""

    name: str
    searchers: tuple[str, ...]


class Snapshot(NamedTuple):
    """A version of the index and all of its shards."""

    name: str
    shards: tuple[Shard, ...]


class Catalog(NamedTuple):
    """Snapshots of a service, newest first."""

    service: str
    revision: int
    snapshots: tuple[Snapshot, ...]


def searcher_name(server: str, index: int) -> str:
    """Return the name of a searcher of a backend server."""
    return f"{server}/{index}"


def server_of(searcher: str) -> str:
    """Return the name of the backend server that runs a searcher."""
    return searcher.rpartition("/")[0]


def encode_document(value: tuple) -> bytes:
    """Return a table or catalog as JSON, with named tuples as arrays in field order."""
    return msgspec.json.encode(value)


def decode_table(data: bytes) -> Table:
    """Return a table decoded from JSON; raises `msgspec.ValidationError`."""
    return msgspec.json.decode(data, type=Table)


def decode_catalog(data: bytes) -> Catalog:
    """Return a catalog decoded from JSON; raises `msgspec.ValidationError`."""
    return msgspec.json.decode(data, type=Catalog)
