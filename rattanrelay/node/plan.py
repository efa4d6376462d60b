"""The replicas that a query may use, computed again when the table, view or snapshot changes."""

from typing import NamedTuple

from ..decide.selection import Replica
from ..table import Snapshot, Table, server_of
from .ports import Member, MembersPort

__all__ = ["Plan", "PlannedShard", "build_plan"]


class PlannedShard(NamedTuple):
    """A shard and its usable replicas; `reason` is the failure reason if there are none."""

    name: str
    candidates: tuple[Replica, ...]
    reason: str


class Plan(NamedTuple):
    """The shards of one snapshot and the owner of each usable backend server."""

    snapshot: str
    shards: tuple[PlannedShard, ...]
    owners: dict[str, Member]


def build_plan(
    table: Table, members: MembersPort, snapshot: Snapshot, knowledge, replicas: dict[str, Replica]
) -> Plan:
    """Return the plan for a snapshot: its replicas filtered by table, ownership and knowledge.

    `replicas` keeps the `Replica` objects by searcher name; missing ones are added.
    """
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
                _add_owner(table, members, server, owners, reasons)
            if server in owners:
                usable.append(_replica(table, replicas, searcher, server))
            elif reasons[server] == "no_owner":
                reason = "no_owner"
        shards.append(PlannedShard(shard.name, tuple(usable), reason))
    return Plan(snapshot.name, tuple(shards), owners)


def _add_owner(table, members, server, owners, reasons) -> None:
    """Record the owner of a server in `owners`, or in `reasons` why the server is not usable."""
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
