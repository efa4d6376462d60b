"""Division of the shards of a request between this instance and others that gather for it.

If the searchers of many shards are in another failure domain, an instance there gathers them and
sends one message between the domains instead of one response for each shard. If there are more
shards than one instance can ask in time, each of several instances gathers a group of them.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import xxhash

__all__ = ["Plan", "Run", "own_askers", "plan_groups", "shared_searcher"]

#: Fewer shards than this are asked directly, since a message costs about as much as four responses.
MIN_GROUP = 5
#: Most shards that one instance gathers; each costs it about 0.4 ms of processor time.
MAX_GROUP = 20
#: The same if there would be more than two such groups. A message costs the instance that asks
#: about as much as two shards, so its work is least with groups of this size.
MANY_GROUP = 10


class Run(NamedTuple):
    """Group of shards to hand over, and the instances of which one gathers them."""

    shards: tuple[str, ...]
    instances: tuple[str, ...]


class Plan(NamedTuple):
    """Shards that this instance gathers itself, and the groups to hand over."""

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

    `me` and `domain` are this instance's name and domain, `domains_of` has the domains in which
    each shard has a usable searcher, and `instances` the domain of each other instance. The same
    instances get the same group each time, so that their connections to its searchers stay in use.
    """
    direct: list[str] = []
    runs: list[Run] = []
    for target, group in _by_domain(domain, shards, domains_of, instances).items():
        members = sorted(name for name, place in instances.items() if place == target)
        if target == domain:
            members = sorted([*members, me])
        # The order depends on the names only, so a group is the same for every route and caller.
        group.sort(key=_name_hash)
        size = MAX_GROUP if len(group) <= 2 * MAX_GROUP else MANY_GROUP
        count = -(-len(group) // size)
        count = min(count, len(members)) if members else 0
        if not count or (target != domain and len(group) < MIN_GROUP):
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
    """Return the shards that this instance asks itself, with the number of instances that ask each.

    These are the instances with the same group in each domain that has searchers of the shard.
    Others ask for a group only when the instance that gathers it does not respond.
    """
    plan = plan_groups(me, domain, shards, domains_of, instances)
    own_runs = 1 + sum(instances[run.instances[0]] == domain for run in plan.runs)
    places = Counter([domain, *instances.values()])
    return {
        shard: sum(-(-places[place] // own_runs) for place in domains_of[shard]) or 1
        for shard in plan.direct
    }


def shared_searcher(domains: Mapping[str, str], home: str, request_id: str) -> str:
    """Return the searcher of a shard that two instances may ask; `domains` has the domain of each.

    Searchers in `home`, the domain where the part is gathered, are preferred: a part from another
    domain costs more bytes there than the whole message of the instance that gathers it. Among
    several, a hash with the request identifier decides, so that requests spread over them.
    """

    def rank(name: str) -> tuple[bool, int]:
        key = f"{request_id}/{name}".encode()
        return domains[name] != home, xxhash.xxh64_intdigest(key)

    return min(domains, key=rank)


def _name_hash(shard: str) -> int:
    return xxhash.xxh64_intdigest(shard.encode())


def _by_domain(
    domain: str,
    shards: Sequence[str],
    domains_of: Mapping[str, frozenset[str]],
    instances: Mapping[str, str],
) -> dict[str, list[str]]:
    """Group the shards by the domain in which they are gathered.

    This is the instance's own domain if possible, else the one with searchers of the most shards.
    """
    shard_counts: dict[str, int] = {}
    for shard in shards:
        for place in domains_of[shard]:
            shard_counts[place] = shard_counts.get(place, 0) + 1
    instance_domains = frozenset(instances.values())
    groups: dict[str, list[str]] = {}
    for shard in shards:
        places = domains_of[shard]
        if domain in places or not places & instance_domains:
            target = domain
        else:
            target = max(places & instance_domains, key=lambda place: (shard_counts[place], place))
        groups.setdefault(target, []).append(shard)
    return groups
