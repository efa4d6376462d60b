"""Capacity that remains when a failure domain, backend server or instance is taken out."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from .cells import apply_changes, set_state
from .model import Catalog, Shard, Table, server_of

__all__ = [
    "CapacityLine",
    "CapacityReport",
    "capacity_without",
    "has_work",
    "slots_by_service_and_domain",
]


class CapacityLine(NamedTuple):
    """Slots of a service in a failure domain (`*` for all) before and after the change.

    `load_factor` is the factor by which the load of each remaining slot grows, None if no slot
    remains.
    """

    service: str
    domain: str
    before: int
    after: int
    load_factor: float | None


class CapacityReport(NamedTuple):
    """Effect of taking a row out of service; instances are counted by failure domain."""

    lines: tuple[CapacityLine, ...]
    instances_before: dict[str, int]
    instances_after: dict[str, int]
    warnings: tuple[str, ...]


def capacity_without(
    table: Table, catalogs: Mapping[str, Catalog], kind: str, name: str
) -> CapacityReport:
    """Return the capacity without a row; raises `not_found` or `bad_request`."""
    after = apply_changes(table, [set_state(table, kind, name, "out")])
    lines = tuple(
        _capacity_lines(slots_by_service_and_domain(table), slots_by_service_and_domain(after))
    )
    warnings = (
        *_service_warnings(lines),
        *_shard_warnings(table, after, catalogs),
        *_instance_warnings(after),
    )
    return CapacityReport(lines, _instances_by_domain(table), _instances_by_domain(after), warnings)


def has_work(table: Table, server: str) -> bool:
    """Return whether a server's row, its service and its failure domain are all `in`."""
    row = table.servers.get(server)
    if row is None or row.state == "out":
        return False
    service = table.services.get(row.service)
    domain = table.domains.get(row.failure_domain)
    return bool(service and domain and service.state == "in" and domain.state == "in")


def slots_by_service_and_domain(table: Table) -> Counter[tuple[str, str]]:
    """Return the slots of searchers in service, when warm, by service and failure domain.

    The limits of services and failure domains can lower the number in use further.
    """
    slots: Counter[tuple[str, str]] = Counter()
    for row in table.servers.values():
        key = (row.service, row.failure_domain)
        slots[key] += row.slots * len(row.searchers) if has_work(table, row.name) else 0
    return slots


def _capacity_lines(before: Counter, after: Counter) -> Iterator[CapacityLine]:
    for service in sorted({key[0] for key in before}):
        domains = sorted(domain for name, domain in before if name == service)
        total_before = sum(before[service, domain] for domain in domains)
        total_after = sum(after[service, domain] for domain in domains)
        yield CapacityLine(
            service, "*", total_before, total_after, _load_factor(total_before, total_after)
        )
        for domain in domains:
            slots_before, slots_after = before[service, domain], after[service, domain]
            # Load moves between failure domains, so the factor of the service applies to each.
            factor = _load_factor(total_before, total_after) if slots_after else None
            yield CapacityLine(service, domain, slots_before, slots_after, factor)


def _load_factor(before: int, after: int) -> float | None:
    return round(before / after, 3) if after else None


def _instances_by_domain(table: Table) -> dict[str, int]:
    counts = {row.failure_domain: 0 for row in table.instances.values()}
    for row in table.instances.values():
        counts[row.failure_domain] += _instance_in_service(table, row)
    return dict(sorted(counts.items()))


def _instance_in_service(table: Table, row) -> bool:
    domain = table.domains.get(row.failure_domain)
    return row.state == "in" and domain is not None and domain.state == "in"


def _service_warnings(lines: Iterable[CapacityLine]) -> Iterator[str]:
    for line in lines:
        if line.domain == "*" and line.before and not line.after:
            yield f"service {line.service} keeps no slot"


def _shard_warnings(before: Table, after: Table, catalogs: Mapping[str, Catalog]) -> Iterator[str]:
    """Warn for each shard of the newest snapshot that loses its last replica."""
    for service, catalog in sorted(catalogs.items()):
        if not catalog.snapshots:
            continue
        snapshot = catalog.snapshots[0]
        for shard in snapshot.shards:
            if _replicas(before, shard) and not _replicas(after, shard):
                yield (
                    f"service {service}: shard {shard.name} of snapshot {snapshot.name} "
                    "loses its last replica"
                )


def _replicas(table: Table, shard: Shard) -> int:
    return sum(has_work(table, server_of(searcher)) for searcher in shard.searchers)


def _instance_warnings(after: Table) -> Iterator[str]:
    if after.instances and not any(_instances_by_domain(after).values()):
        yield "no instance remains in service"
    elif after.instances and not any(
        row.weight and _instance_in_service(after, row) for row in after.instances.values()
    ):
        yield "no instance with a weight above 0 remains, so no server has an owner"
