"""Checks of a whole table; each problem names the row, column, value and allowed values."""

import ipaddress
from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from ..errors import RelayError
from .columns import COLUMNS, KINDS, NAME_ALLOWED, NAME_PATTERN, rows_of
from .model import Table, encode_document

__all__ = ["CHECKS", "Check", "Problem", "check", "check_table", "new_problems", "problems"]

#: Largest value that the store accepts, 1 MB.
MAX_TABLE_BYTES = 1_000_000

#: Maximum number of problems or row names listed in one error message.
MAX_LISTED = 10


class Problem(NamedTuple):
    """A cell whose value is not allowed."""

    kind: str
    name: str
    column: str
    value: object
    allowed: str

    def __str__(self) -> str:
        where = f"{self.kind} row {self.name!r}, column {self.column}"
        return f"{where}: value {self.value!r} is not allowed: {self.allowed}"


class Check(NamedTuple):
    """A registered check and the kinds of which it needs all rows."""

    function: Callable[[Table], Iterator[Problem]]
    needs: tuple[str, ...]


CHECKS: dict[str, Check] = {}


def check(name: str, *, needs: tuple[str, ...] = ()):
    """Register a check; `needs` lists the kinds that it looks rows up in."""

    def register(function):
        if name in CHECKS:
            raise ValueError(f"check {name!r} is registered twice")
        CHECKS[name] = Check(function, needs)
        return function

    return register


def problems(table: Table, kinds: tuple[str, ...] = tuple(KINDS)) -> list[Problem]:
    """Return all problems; checks that need a kind not in `kinds` are skipped."""
    found = []
    for entry in CHECKS.values():
        if set(entry.needs) <= set(kinds):
            found += entry.function(table)
    return found


def new_problems(old: Table, new: Table) -> list[Problem]:
    """Return the problems of `new` that `old` does not have.

    A table accepted under earlier rules can contain a problem, which must not prevent other
    edits, such as taking a failure domain out of service.
    """
    old_problems = set(map(str, problems(old)))
    return [problem for problem in problems(new) if str(problem) not in old_problems]


def check_table(found: list[Problem]) -> None:
    """Raise `bad_table` with a list of the problems if there are any."""
    if not found:
        return
    text = "; ".join(map(str, found[:MAX_LISTED]))
    more = len(found) - MAX_LISTED
    if more > 0:
        text += f"; and {more} more"
    raise RelayError("bad_table", text, step="check table")


def _cells(table: Table):
    for kind, columns in COLUMNS.items():
        for row in rows_of(table, kind).values():
            for column in columns.values():
                yield row, column, getattr(row, column.name)


@check("names")
def check_names(table: Table) -> Iterator[Problem]:
    """Row names have the allowed form and equal the key under which the row is stored."""
    for kind in KINDS:
        for key, row in rows_of(table, kind).items():
            if not NAME_PATTERN.fullmatch(row.name):
                yield Problem(kind, key, "name", row.name, NAME_ALLOWED)
            elif key != row.name:
                yield Problem(kind, key, "name", row.name, f"the key of the row, {key!r}")


@check("ranges")
def check_ranges(table: Table) -> Iterator[Problem]:
    """Numbers are within the range of their column, which excludes NaN."""
    for row, column, value in _cells(table):
        if column.type not in (int, float):
            continue
        if not column.minimum <= value <= column.maximum:
            yield Problem(column.kind, row.name, column.name, value, column.allowed)


@check("choices")
def check_choices(table: Table) -> Iterator[Problem]:
    """States and policies are among the choices of their column."""
    for row, column, value in _cells(table):
        if column.choices and value not in column.choices:
            yield Problem(column.kind, row.name, column.name, value, column.allowed)


@check("references", needs=("services", "domains"))
def check_references(table: Table) -> Iterator[Problem]:
    """Services and failure domains that rows refer to exist."""
    for row in table.servers.values():
        if row.service not in table.services:
            yield Problem(
                "servers", row.name, "service", row.service, _allowed_names(table.services)
            )
    for kind in ("servers", "instances"):
        for row in rows_of(table, kind).values():
            domain = row.failure_domain
            if domain not in table.domains:
                yield Problem(
                    kind, row.name, "failure_domain", domain, _allowed_names(table.domains)
                )


def _allowed_names(rows: dict) -> str:
    """Return up to `MAX_LISTED` row names; teams may see all domain and service names."""
    listed = sorted(rows)[:MAX_LISTED]
    return f"the name of a row, such as {', '.join(listed)}" if listed else "no row exists yet"


@check("slots")
def check_slots(table: Table) -> Iterator[Problem]:
    """A cold searcher has at most the slots of a warm one, and each slot has a connection."""
    for row in table.servers.values():
        if row.cold_slots > row.slots:
            allowed = f"at most slots, {row.slots}"
            yield Problem("servers", row.name, "cold_slots", row.cold_slots, allowed)
        if row.connections < row.slots:
            allowed = f"at least slots, {row.slots}"
            yield Problem("servers", row.name, "connections", row.connections, allowed)


@check("deadlines")
def check_deadlines(table: Table) -> Iterator[Problem]:
    """The soft deadline does not exceed the timeout."""
    for row in table.services.values():
        if row.soft_deadline_ms > row.timeout_ms:
            allowed = f"at most timeout_ms, {row.timeout_ms}"
            yield Problem("services", row.name, "soft_deadline_ms", row.soft_deadline_ms, allowed)


@check("addresses")
def check_addresses(table: Table) -> Iterator[Problem]:
    """Each searcher has a unique IPv4 address and port.

    A duplicate is reported for each of its rows, without the name of the other row, which may
    belong to another team.
    """
    allowed = COLUMNS["servers"]["addresses"].allowed
    counts = Counter(
        address for row in table.servers.values() for address in row.addresses.split(" ")
    )
    for row in table.servers.values():
        for address in row.addresses.split(" "):
            if not _is_address(address) or counts[address] > 1:
                yield Problem("servers", row.name, "addresses", address, allowed)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65535:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


@check("teams")
def check_teams(table: Table) -> Iterator[Problem]:
    """Team names have the form that the token settings allow."""
    for row in table.tenants.values():
        if row.team and not NAME_PATTERN.fullmatch(row.team):
            allowed = COLUMNS["tenants"]["team"].allowed
            yield Problem("tenants", row.name, "team", row.team, allowed)


@check("size")
def check_size(table: Table) -> Iterator[Problem]:
    """The encoded table fits into one value of the store."""
    size = len(encode_document(table))
    if size > MAX_TABLE_BYTES:
        yield Problem("table", "*", "*", f"{size} bytes", f"at most {MAX_TABLE_BYTES} bytes")
