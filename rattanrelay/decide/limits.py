"""Slots and connections of each searcher, from the rows of servers, domains and services."""

from collections.abc import Callable, Iterable
from math import floor
from typing import NamedTuple

import xxhash

from ..table import ServerRow, Table, server_of

__all__ = [
    "CONNECTION_DIVISOR",
    "Group",
    "Limit",
    "apportion",
    "effective_limits",
    "groups_of",
    "limit_of",
    "own_slots",
    "row_weight",
    "share",
    "transition_limits",
]

#: One owner uses a row's connections divided by this number, which leaves room for three former
#: owners whose connections are not confirmed to be closed.
CONNECTION_DIVISOR = 4


class Limit(NamedTuple):
    """Limits for the owner of a searcher: sub-requests in flight and open connections."""

    slots: int = 0
    connections: int = 0


#: A row that limits several servers together: its kind, `domain` or `service`, and its name.
Group = tuple[str, str]


class _Demand(NamedTuple):
    """The slots that a searcher requests from the row of its domain or service."""

    searcher: str
    weight: float
    cap: int


def effective_limits(table: Table) -> dict[str, Limit]:
    """Return the limit of each searcher in the table.

    The sum of the slots in a failure domain or a service never exceeds its row. A searcher whose
    server, domain or service is out, or whose rows have weight 0, has neither slots nor
    connections.
    """
    servers = {
        searcher: row for _, row in sorted(table.servers.items()) for searcher in row.searchers
    }
    slots = {searcher: own_slots(table, row) for searcher, row in servers.items()}
    for name, row in table.domains.items():
        members = [key for key, server in servers.items() if server.failure_domain == name]
        share(slots, members, row.max_in_flight, lambda key: row_weight(table, servers[key]))
    for name, row in table.services.items():
        members = [key for key, server in servers.items() if server.service == name]
        share(slots, members, row.max_in_flight, lambda key: row_weight(table, servers[key]))
    return {key: limit_of(servers[key], count) for key, count in slots.items()}


def transition_limits(recent: Iterable[Table], table: Table) -> dict[str, Limit]:
    """Return the limits to use while some instance may still use a table in `recent`.

    Work sent under a recent table may still be running. A limit is raised at once only if its
    domain and service stay within their rows even then; it is always lowered at once.
    """
    new = effective_limits(table)
    olds = [(old, effective_limits(old)) for old in recent]
    safe = _safe_groups([*olds, (table, new)])
    result = {}
    for key, limit in new.items():
        row = table.servers[server_of(key)]
        slots = limit.slots
        if not safe.issuperset(groups_of(row)):
            slots = min([slots, *(limits.get(key, Limit()).slots for _, limits in olds)])
        result[key] = limit_of(row, slots)
    return result


def apportion(total: int, claims: Iterable[tuple[str, float, int]]) -> dict[str, int]:
    """Split `total` by weight with the largest-remainder method; claims are (name, weight, cap).

    No part exceeds its cap, and what a cap cuts off goes to the others. Equal remainders are
    ordered by a hash of the name, so that it is not always the same names that get less.
    """
    unfilled = [_Demand(*claim) for claim in claims]
    result = {demand.searcher: 0 for demand in unfilled}
    unfilled = [demand for demand in unfilled if demand.weight > 0 and demand.cap > 0]
    left = max(total, 0)
    while unfilled:
        weights = sum(demand.weight for demand in unfilled)
        full = [demand for demand in unfilled if left * demand.weight >= demand.cap * weights]
        if not full:
            break
        for demand in full:
            result[demand.searcher] = demand.cap
            left -= demand.cap
        unfilled = [demand for demand in unfilled if result[demand.searcher] == 0]
    _share_remainders(result, unfilled, left)
    return result


def _share_remainders(result: dict[str, int], demands: list[_Demand], left: int) -> None:
    weights = sum(demand.weight for demand in demands)
    quotas = {demand.searcher: left * demand.weight / weights for demand in demands}
    for name, quota in quotas.items():
        result[name] = floor(quota)
    spare = left - sum(result[name] for name in quotas)
    order = sorted(quotas, key=lambda name: (result[name] - quotas[name], _tie_break(name)))
    for name in order[:spare]:
        result[name] += 1


def _tie_break(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def own_slots(table: Table, row: ServerRow) -> int:
    """Return the slots that the server's own row allows, 0 if one of its rows is out or missing."""
    domain = table.domains.get(row.failure_domain)
    service = table.services.get(row.service)
    if domain is None or service is None or row_weight(table, row) <= 0:
        return 0
    states = (row.state, domain.state, service.state)
    return max(row.slots, 0) if states == ("in", "in", "in") else 0


def row_weight(table: Table, row: ServerRow) -> float:
    """Return the product of a server's weight and those of its domain and service."""
    domain = table.domains[row.failure_domain]
    service = table.services[row.service]
    return row.weight * domain.weight * service.weight


def share(
    slots: dict[str, int], members: list[str], total: int, weight_of: Callable[[str], float]
) -> None:
    """Lower the slots of the searchers of a domain or service so that their sum fits `total`."""
    members = [key for key in members if slots[key] > 0]
    if sum(slots[key] for key in members) <= total:
        return
    claims = [(key, weight_of(key) * slots[key], slots[key]) for key in members]
    slots.update(apportion(total, claims))


def limit_of(row: ServerRow, slots: int) -> Limit:
    """Return the limit of a searcher of this server with the given number of slots."""
    if slots <= 0:
        return Limit()
    return Limit(slots, max(1, row.connections // CONNECTION_DIVISOR))


def groups_of(row: ServerRow) -> tuple[Group, Group]:
    """Return the domain and the service of a server."""
    return ("domain", row.failure_domain), ("service", row.service)


def _safe_groups(tables: list[tuple[Table, dict[str, Limit]]]) -> set[Group]:
    """Return the groups that stay within their newest rows whichever of the tables is used."""
    highest: dict[tuple[Group, str], int] = {}
    for table, limits in tables:
        for key, limit in limits.items():
            for group in groups_of(table.servers[server_of(key)]):
                highest[group, key] = max(limit.slots, highest.get((group, key), 0))
    sums: dict[Group, int] = {}
    for (group, _), slots in highest.items():
        sums[group] = sums.get(group, 0) + slots
    newest = tables[-1][0]
    caps = {("domain", name): row.max_in_flight for name, row in newest.domains.items()}
    caps |= {("service", name): row.max_in_flight for name, row in newest.services.items()}
    return {group for group, total in sums.items() if total <= caps.get(group, 0)}
