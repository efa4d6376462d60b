"""Which shards of a request this instance gathers itself, and which it hands to another instance.

The decision answers two loads. Where the searchers of many shards stand in another failure domain,
an instance there gathers them and sends one message across instead of one response for each shard.
Where there are more shards than one instance can ask in time, instances gather a run of them each.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import xxhash

__all__ = ["Plan", "Run", "first_searcher", "own_askers", "plan_groups"]

#: Fewer shards than this are asked directly; a message costs about as much as four responses.
MIN_GROUP = 5
#: Shards that one instance gathers at most; each costs it about 0.4 ms of processor time.
MAX_GROUP = 20
#: The same where there are more than two such groups: a message costs the instance that asks about
#: as much as two shards, so its work is least with groups of this size.
MANY_GROUP = 10


class Run(NamedTuple):
    """Shards to hand over, and the instances of which one gets them."""

    shards: tuple[str, ...]
    instances: tuple[str, ...]


class Plan(NamedTuple):
    """Shards to gather here and runs to hand over."""

    direct: tuple[str, ...]
    runs: tuple[Run, ...]


def plan_groups(
    me: str,
    domain: str,
    shards: Sequence[str],
    domains_of: Mapping[str, frozenset[str]],
    instances: Mapping[str, str],
) -> Plan:
    """Divide shards by the failure domains of their searchers.

    `domains_of` has the domains in which each shard has a usable searcher, and `instances` the
    domain of each other instance. The same instances get the same run each time, so that their
    connections to its searchers stay in use.
    """
    direct: list[str] = []
    runs: list[Run] = []
    for where, group in _by_domain(domain, shards, domains_of, instances).items():
        members = sorted(name for name, place in instances.items() if place == where)
        if where == domain:
            members = sorted([*members, me])
        # The order depends on the names only, so that a run is the same for every route and caller.
        group.sort(key=_order)
        size = MAX_GROUP if len(group) <= 2 * MAX_GROUP else MANY_GROUP
        count = -(-len(group) // size)
        count = min(count, len(members)) if members else 0
        if not count or (where != domain and len(group) < MIN_GROUP):
            direct += group
            continue
        for number in range(count):
            run = tuple(group[number::count])
            candidates = tuple(members[number::count])
            if me in candidates:
                direct += run
            else:
                runs.append(Run(run, candidates))
    return Plan(tuple(direct), tuple(runs))


def own_askers(
    me: str,
    domain: str,
    shards: Sequence[str],
    domains_of: Mapping[str, frozenset[str]],
    instances: Mapping[str, str],
) -> dict[str, int]:
    """Return the shards that this instance asks itself, with how many instances ask each of them.

    These are the instances with the same run in each domain that has searchers of the shard. Others
    ask only for a run whose instance has fallen silent.
    """
    plan = plan_groups(me, domain, shards, domains_of, instances)
    own_runs = 1 + sum(instances[run.instances[0]] == domain for run in plan.runs)
    places = Counter([domain, *instances.values()])
    return {
        shard: sum(-(-places[place] // own_runs) for place in domains_of[shard]) or 1
        for shard in plan.direct
    }


def first_searcher(domains: Mapping[str, str], home: str, request_id: str) -> str:
    """Return one of some searchers, of which `domains` has the failure domains.

    One in the domain `home` goes first: a part from another domain costs more bytes there than the
    whole message of the instance that gathers it. Which one of several differs by request.
    """

    def rank(name: str) -> tuple[bool, int]:
        key = f"{request_id}/{name}".encode()
        return domains[name] != home, xxhash.xxh64_intdigest(key)

    return min(domains, key=rank)


def _order(shard: str) -> int:
    return xxhash.xxh64_intdigest(shard.encode())


def _by_domain(
    domain: str,
    shards: Sequence[str],
    domains_of: Mapping[str, frozenset[str]],
    instances: Mapping[str, str],
) -> dict[str, list[str]]:
    """Return the shards of each domain; one that serves many shards is taken before others."""
    reach: dict[str, int] = {}
    for shard in shards:
        for place in domains_of[shard]:
            reach[place] = reach.get(place, 0) + 1
    staffed = frozenset(instances.values())
    groups: dict[str, list[str]] = {}
    for shard in shards:
        places = domains_of[shard]
        if domain in places or not places & staffed:
            where = domain
        else:
            where = max(places & staffed, key=lambda place: (reach[place], place))
        groups.setdefault(where, []).append(shard)
    return groups
