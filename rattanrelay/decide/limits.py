"""Slots and connections of each searcher, from the rows of servers, domains and services."""

from collections.abc import Callable, Iterable
from math import floor
from typing import NamedTuple

import xxhash

from ..table import ServerRow, Table, server_of

__all__ = [
    "CONNECTION_SHARE",
    "Group",
    "Limit",
    "apportion",
    "effective_limits",
    "groups_of",
    "limit_of",
    "own_slots",
    "row_weight",
    "settling_limits",
    "share",
]

#: Part of a row's connections that one owner uses: room for three unconfirmed former holders.
CONNECTION_SHARE = 4


class Limit(NamedTuple):
    """What the owner of a searcher may use: sub-requests in progress and open connections."""

    slots: int = 0
    connections: int = 0


#: A row that limits several servers: its kind, `domain` or `service`, and its name.
Group = tuple[str, str]


class _Claim(NamedTuple):
    """What a searcher asks of a domain's or service's row."""

    searcher: str
    weight: float
    cap: int


def effective_limits(table: Table) -> dict[str, Limit]:
    """Return the limit of each searcher in the table.

    The sum of the slots over a failure domain or a service never exceeds its row. A searcher
    whose server, domain or service is out, or whose rows have weight 0, has no slots. Without
    slots it has no connections.
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


def settling_limits(recent: Iterable[Table], table: Table) -> dict[str, Limit]:
    """Return the limits to use until the tables in `recent` are no longer in use anywhere.

    Another instance may still use a recent table, and work sent under it may still run. A searcher
    is raised at once only if its domain and service rows hold even then; it is lowered at once.
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

    No part exceeds its cap, and what a cap leaves over goes to the others. Equal remainders are
    ordered by a hash of the name, so that the same few names are not always last.
    """
    open_claims = [_Claim(*claim) for claim in claims]
    result = {claim.searcher: 0 for claim in open_claims}
    open_claims = [claim for claim in open_claims if claim.weight > 0 and claim.cap > 0]
    left = max(total, 0)
    while open_claims:
        weights = sum(claim.weight for claim in open_claims)
        full = [claim for claim in open_claims if left * claim.weight >= claim.cap * weights]
        if not full:
            break
        for claim in full:
            result[claim.searcher] = claim.cap
            left -= claim.cap
        open_claims = [claim for claim in open_claims if result[claim.searcher] == 0]
    _share_remainders(result, open_claims, left)
    return result


def _share_remainders(result: dict[str, int], claims: list[_Claim], left: int) -> None:
    weights = sum(claim.weight for claim in claims)
    quotas = {claim.searcher: left * claim.weight / weights for claim in claims}
    for name, quota in quotas.items():
        result[name] = floor(quota)
    spare = left - sum(result[name] for name in quotas)
    order = sorted(quotas, key=lambda name: (result[name] - quotas[name], _tie(name)))
    for name in order[:spare]:
        result[name] += 1


def _tie(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def own_slots(table: Table, row: ServerRow) -> int:
    """Return the slots that the server's own row allows, 0 if a row is out or missing."""
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
    """Lower the slots of the members of a domain or service so that their sum is within `total`."""
    members = [key for key in members if slots[key] > 0]
    if sum(slots[key] for key in members) <= total:
        return
    claims = [(key, weight_of(key) * slots[key], slots[key]) for key in members]
    slots.update(apportion(total, claims))


def limit_of(row: ServerRow, slots: int) -> Limit:
    """Return the limit of a searcher with this many slots."""
    if slots <= 0:
        return Limit()
    return Limit(slots, max(1, row.connections // CONNECTION_SHARE))


def groups_of(row: ServerRow) -> tuple[Group, Group]:
    """Return the rows that limit a server together with others."""
    return ("domain", row.failure_domain), ("service", row.service)


def _safe_groups(tables: list[tuple[Table, dict[str, Limit]]]) -> set[Group]:
    """Return the domains and services whose newest rows hold if any of the tables is in use."""
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
