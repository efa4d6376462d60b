"""The replicas that a query may use, computed once for each change of table, view or snapshot."""

from typing import NamedTuple

from ..decide.selection import Replica
from ..table import Snapshot, Table, server_of
from .ports import Member, MembersPort

__all__ = ["Plan", "PlannedShard", "build_plan"]


class PlannedShard(NamedTuple):
    """A shard and the replicas that may be asked; `reason` says why there is none."""

    name: str
    candidates: tuple[Replica, ...]
    reason: str


class Plan(NamedTuple):
    """The shards of one snapshot and the owner of each backend server that may be asked."""

    snapshot: str
    shards: tuple[PlannedShard, ...]
    owners: dict[str, Member]


def build_plan(
    table: Table, members: MembersPort, snapshot: Snapshot, knowledge, replicas: dict[str, Replica]
) -> Plan:
    """Filter the replicas of a snapshot by table, ownership and held snapshots."""
    owners: dict[str, Member] = {}
    reasons: dict[str, str] = {}
    shards = []
    for shard in snapshot.shards:
        held = knowledge.replicas(shard, snapshot.name)
        reason = "no_replica" if held else "snapshot_gone"
        usable = []
        for searcher in held:
            server = server_of(searcher)
            if server not in owners and server not in reasons:
                _find_owner(table, members, server, owners, reasons)
            if server in owners:
                usable.append(_replica(table, replicas, searcher, server))
            elif reasons[server] == "no_owner":
                reason = "no_owner"
        shards.append(PlannedShard(shard.name, tuple(usable), reason))
    return Plan(snapshot.name, tuple(shards), owners)


def _find_owner(table, members, server, owners, reasons) -> None:
    """Note the owner of a server, or why it cannot be asked."""
    row = table.servers.get(server)
    if row is None or row.state == "out" or _domain_out(table, row.failure_domain):
        reasons[server] = "no_replica"
        return
    owner = members.owner(server)
    if owner is None or _instance_out(table, owner):
        reasons[server] = "no_owner"
        return
    owners[server] = owner


def _domain_out(table: Table, name: str) -> bool:
    domain = table.domains.get(name)
    return domain is not None and domain.state == "out"


def _instance_out(table: Table, member: Member) -> bool:
    row = table.instances.get(member.instance)
    return (row is not None and row.state == "out") or _domain_out(table, member.failure_domain)


def _replica(table, replicas, searcher: str, server: str) -> Replica:
    replica = replicas.get(searcher)
    if replica is None:
        replica = replicas[searcher] = Replica(searcher, server)
    row = table.servers[server]
    domain = table.domains.get(row.failure_domain)
    replica.row_weight = max(1, row.weight) * max(1, domain.weight if domain else 1)
    replica.slots = max(1, row.slots)
    return replica
