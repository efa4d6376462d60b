"""Choice of the shard of a non-idempotent request and of the searchers that may run it."""

import xxhash

from ..table import Table, server_of

__all__ = ["action_targets", "is_out", "shard_of"]


def shard_of(shards: list[str], route: str) -> str:
    """Return the shard of a route by rendezvous hashing; repartitioning moves few routes."""
    return max(shards, key=lambda shard: xxhash.xxh64_intdigest(f"{shard}\0{route}".encode()))


def is_out(table: Table, searcher: str) -> bool:
    """Return whether operators have taken a searcher's server, domain or service out of service."""
    row = table.servers.get(server_of(searcher))
    if row is None or row.state == "out":
        return True
    domain = table.domains.get(row.failure_domain)
    if domain is None or domain.state == "out":
        return True
    service = table.services.get(row.service)
    return service is None or service.state == "out"


def action_targets(configuration, service: str, route: str) -> list[tuple[str, str]]:
    """Return `(shard, searcher)` pairs in the catalog's order, without those that are out."""
    catalog = configuration.catalogs.get(service)
    if catalog is None or not catalog.snapshots or configuration.table is None:
        return []
    shards = {shard.name: shard for shard in catalog.snapshots[0].shards}
    if not shards:
        return []
    shard = shards[shard_of(sorted(shards), route)]
    table = configuration.table
    return [(shard.name, name) for name in shard.searchers if not is_out(table, name)]
