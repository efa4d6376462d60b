"""Kinds of rows and their columns: type, unit, range and meaning of each cell."""

import math
import re
from typing import NamedTuple

from ..errors import RelayError
from .model import DomainRow, InstanceRow, ServerRow, ServiceRow, Table, TenantRow

__all__ = [
    "COLUMNS",
    "KINDS",
    "NAME_ALLOWED",
    "Column",
    "bad_cell",
    "column_of",
    "kind_of",
    "parse_cell",
    "row_of",
    "rows_of",
]

#: Row class of each kind; the kinds are the fields of `Table` that hold rows.
KINDS: dict[str, type] = {
    "services": ServiceRow,
    "domains": DomainRow,
    "servers": ServerRow,
    "instances": InstanceRow,
    "tenants": TenantRow,
}

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_ALLOWED = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"

MAX_COUNT = 1_000_000
MAX_WEIGHT = 1000
MAX_TIME_MS = 600_000
MAX_SLOTS = 1024
MAX_CONNECTIONS = 65_535


class Column(NamedTuple):
    """A column; numbers are in `minimum` to `maximum`, texts in `choices` if there are any."""

    kind: str
    name: str
    type: type
    unit: str
    meaning: str
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()
    #: Description of the allowed texts, for columns without choices.
    text: str = ""

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for error messages."""
        if self.type is bool:
            return "true or false"
        if self.choices:
            return " or ".join(self.choices)
        if self.type is str:
            return self.text
        noun = "a whole number" if self.type is int else "a number"
        return f"{noun} from {self.minimum} to {self.maximum}"


#: Columns by kind and name, in the order of the row's fields.
COLUMNS: dict[str, dict[str, Column]] = {kind: {} for kind in KINDS}


def _add_column(kind: str, name: str, type_: type, unit: str, meaning: str, **limits) -> None:
    COLUMNS[kind][name] = Column(kind, name, type_, unit, meaning, **limits)


def _add_name(kind: str, meaning: str) -> None:
    _add_column(kind, "name", str, "", meaning, text=NAME_ALLOWED)


def _add_reference(kind: str, name: str, target: str, meaning: str) -> None:
    _add_column(kind, name, str, "", meaning, text=f"the name of a row in {target}")


def _add_count(kind: str, name: str, unit: str, meaning: str, low: int, high: int) -> None:
    _add_column(kind, name, int, unit, meaning, minimum=low, maximum=high)


def _add_weight_and_state(kind: str, weight: str, lowest: int = 1) -> None:
    _add_count(kind, "weight", "", weight, lowest, MAX_WEIGHT)
    meaning = "in takes work, out takes no new work"
    _add_column(kind, "state", str, "", meaning, choices=("in", "out"))


_add_name("services", "Name that callers use in the path")
_add_column(
    "services", "policy", str, "",
    "tail responds at the soft deadline with what it has; coverage retries until the timeout",
    choices=("tail", "coverage"),
)  # fmt: skip
_add_count(
    "services",
    "timeout_ms",
    "ms",
    "Longest time for a request; callers may ask for less",
    1,
    MAX_TIME_MS,
)
_add_count(
    "services", "soft_deadline_ms", "ms", "When a tail service responds with what it has",
    1, MAX_TIME_MS,
)  # fmt: skip
_add_column(
    "services", "min_answered", float, "",
    "Share of the shards that a tail service needs to respond at the soft deadline",
    minimum=0.0, maximum=1.0,
)  # fmt: skip
_add_count(
    "services", "max_in_flight", "sub-requests", "Sub-requests in flight over the fleet",
    1, MAX_COUNT,
)  # fmt: skip
# Every sub-request passes through the queue, so a length of 0 would refuse all of them.
_add_count(
    "services", "queue", "sub-requests", "Longest queue of one searcher at its owner", 1, MAX_COUNT
)
_add_column(
    "services", "warm_latency_ms", float, "ms", "Latency of a warm searcher",
    minimum=0.01, maximum=MAX_TIME_MS,
)  # fmt: skip
_add_column("services", "hedge", bool, "", "Whether slow sub-requests are sent to a second replica")
_add_column("services", "canary", bool, "", "Whether a new query first runs on one shard")
_add_weight_and_state("services", "Share of the service where the limit of a domain is divided")

_add_name("domains", "Name of the failure domain")
_add_count(
    "domains", "max_in_flight", "sub-requests", "Sub-requests in flight over the fleet",
    1, MAX_COUNT,
)  # fmt: skip
_add_weight_and_state(
    "domains", "Preference among replicas in several domains, and share of service limits"
)

_add_name("servers", "Name of the backend server")
_add_reference("servers", "service", "services", "Service that the server runs")
_add_reference("servers", "failure_domain", "domains", "Failure domain of the server")
_add_column(
    "servers", "addresses", str, "", "One IPv4 address and port for each searcher",
    text="IPv4:port for each searcher, separated by one blank, each address once in the table",
)  # fmt: skip
_add_count(
    "servers", "slots", "sub-requests", "Concurrent sub-requests of a warm searcher", 1, MAX_SLOTS
)
_add_count(
    "servers",
    "connections",
    "connections",
    "Connections that a searcher accepts; its owner uses a quarter",
    1,
    MAX_CONNECTIONS,
)
_add_column(
    "servers", "connect_ms", float, "ms", "Cost of a new connection", minimum=0, maximum=MAX_TIME_MS
)
_add_count(
    "servers", "cold_slots", "sub-requests", "Concurrent sub-requests of a cold searcher",
    1, MAX_SLOTS,
)  # fmt: skip
_add_weight_and_state("servers", "Preference among replicas, and share where limits are divided")

_add_name("instances", "Name of the entry instance, as in its settings")
_add_reference("instances", "failure_domain", "domains", "Failure domain of the instance")
_add_weight_and_state(
    "instances", "Share of the backend servers that the instance owns, 0 owns none", 0
)

_add_name("tenants", "Name that callers send in X-Tenant")
_add_column(
    "tenants", "team", str, "", "Team that the tenant belongs to", text=f"empty, or {NAME_ALLOWED}"
)
_add_count(
    "tenants",
    "weight",
    "",
    "Share of the tenant when a service is used up, and in queues",
    1,
    MAX_WEIGHT,
)
_add_count("tenants", "max_in_flight", "queries", "Queries in flight over the fleet", 1, MAX_COUNT)


def kind_of(word: str) -> str:
    """Return the kind with this plural or singular name; raises `bad_request`."""
    for kind in KINDS:
        if word in (kind, kind.removesuffix("s")):
            return kind
    text = f"kind {word!r} is not known; allowed: {', '.join(KINDS)}"
    raise RelayError("bad_request", text, step="read kind")


def column_of(kind: str, name: str) -> Column:
    """Return a column; raises `bad_request`."""
    column = COLUMNS[kind].get(name)
    if column is None:
        text = f"{kind} have no column {name!r}; allowed: {', '.join(COLUMNS[kind])}"
        raise RelayError("bad_request", text, step="read column")
    return column


def rows_of(table: Table, kind: str) -> dict:
    """Return the rows of a kind by name."""
    return getattr(table, kind)


def row_of(table: Table, kind: str, name: str):
    """Return a row; raises `not_found`."""
    row = rows_of(table, kind).get(name)
    if row is None:
        raise RelayError("not_found", f"{kind} have no row {name!r}", step="find row")
    return row


def bad_cell(kind: str, name: str, column: str, value, allowed: str) -> RelayError:
    """Return the error for a cell whose value is not allowed."""
    text = f"{kind} row {name!r}, column {column}: value {value!r} is not allowed: {allowed}"
    return RelayError("bad_table", text, step="check table")


def parse_cell(column: Column, row: str, raw):
    """Convert a text or JSON value to the type of the column; raises `bad_table`.

    Ranges are not checked here but by the checks of the whole table.
    """
    try:
        return _CONVERTERS[column.type](raw)
    except (ValueError, TypeError, OverflowError):
        raise bad_cell(column.kind, row, column.name, raw, column.allowed) from None


def _to_str(raw) -> str:
    if not isinstance(raw, str):
        raise TypeError
    return raw


def _to_int(raw) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int | str):
        raise TypeError
    if isinstance(raw, str) and not re.fullmatch(r"-?[0-9]{1,18}", raw):
        raise ValueError
    return int(raw)


def _to_float(raw) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float | str):
        raise TypeError
    value = float(raw)
    if not math.isfinite(value):
        raise ValueError
    return value


def _to_bool(raw) -> bool:
    if isinstance(raw, bool):
        return raw
    word = _to_str(raw).lower()
    if word not in ("true", "false"):
        raise ValueError
    return word == "true"


_CONVERTERS = {str: _to_str, int: _to_int, float: _to_float, bool: _to_bool}
