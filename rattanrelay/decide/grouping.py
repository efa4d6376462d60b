"""Division of the shards of a request between this instance and others that gather for it.

If the searchers of many shards are in another failure domain, an instance there gathers them and
sends one message between the domains instead of one response for each shard. If there are more
shards than one instance can ask in time, each of several instances gathers a group of them.

A large fleet with few queries would be cold if they were spread over all of it: latencies,
connections to searchers and links to other instances are known only where requests go. So a few
instances gather each group, and more of them as the rate of queries grows.

An instance with a faster processor gathers several groups in the time in which another one gathers
one, and gets them in one message. So instances that ask, which are often slow, send fewer messages.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from functools import lru_cache
from itertools import pairwise
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
#: Fewest instances that gather a group: one and another that is as warm if the first one fails.
MIN_GATHERERS = 2
#: Requests per second for a group at which an instance is warm. More of them for one instance bring
#: no gain, so that another one gathers the group as well.
WARM_RATE = 10.0
#: The fastest instance of a domain counts as at most this many times as fast as the slowest one, so
#: that the loss of one instance delays few shards.
MAX_SPEED_RATIO = 4.0
#: Requests per second of its own callers at which an instance gathers a group itself that one
#: instance can gather; they then keep its connections in use.
OWN_WARM_RATE = 1.0
#: Cached divisions; a fleet has one for each set of shards and failure domain, and another one for
#: some seconds when an instance fails.
CACHED_DIVISIONS = 64


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
    rate: float = math.inf,
    cores: Mapping[str, float] | None = None,
) -> Plan:
    """Divide shards by the failure domains of their searchers.

    `me` and `domain` are this instance's name and domain, `domains_of` has the domains in which
    each shard has a usable searcher, and `instances` the domain of each other instance. `rate` is
    the number of requests with these shards per second that callers send to this instance; the
    others are taken to get as many. `cores` has the speed of the processor of each instance, also
    of this one; it is 1 where none is given.
    """
    speeds = cores or {}
    direct: list[str] = []
    runs: list[Run] = []
    places = frozenset().union(*domains_of.values()) & {domain, *instances.values()}
    domain_rate = rate * (len(instances) + 1) / max(len(places), 1)
    for target, group in _by_domain(me, domain, shards, domains_of, instances).items():
        members = [name for name, place in instances.items() if place == target]
        if target == domain:
            members.append(me)
        if not members or (target != domain and len(group) < MIN_GROUP):
            direct += group
            continue
        group_count = _group_count(len(group), len(members))
        warm = group_count == 1 and rate >= OWN_WARM_RATE
        in_group = frozenset(group)
        members.sort()
        member_speeds = tuple(speeds.get(name, 1.0) for name in members)
        for run in _divide(tuple(members), member_speeds, tuple(shards), group_count):
            gathered = tuple(shard for shard in run.shards if shard in in_group)
            gatherers = run.instances[: _gatherer_count(domain_rate, len(run.instances))]
            if me in gatherers or (warm and me in run.instances):
                direct += gathered
            elif gathered:
                runs.append(Run(gathered, gatherers))
    return Plan(tuple(direct), tuple(runs))


def own_askers(
    me: str,
    domain: str,
    shards: Sequence[str],
    domains_of: Mapping[str, frozenset[str]],
    instances: Mapping[str, str],
    cores: Mapping[str, float] | None = None,
) -> dict[str, int]:
    """Return the shards for which this instance may be asked, with the number of such instances.

    These are the instances with the same group in each domain that has searchers of the shard.
    Others ask for a group only when the instance that gathers it does not respond.
    """
    plan = plan_groups(me, domain, shards, domains_of, instances, cores=cores)
    sizes = Counter([domain, *instances.values()])
    shard_counts = Counter(place for shard in shards for place in domains_of[shard])
    askers = {
        place: -(-sizes[place] // _group_count(shard_counts[place], sizes[place]))
        for place in shard_counts
        if sizes[place]
    }
    return {
        shard: sum(askers.get(place, 0) for place in domains_of[shard]) or 1
        for shard in plan.direct
    }


def _group_count(shards: int, members: int) -> int:
    """Return into how many groups the instances of a domain divide shards, both at least 1."""
    size = MAX_GROUP if shards <= 2 * MAX_GROUP else MANY_GROUP
    return min(-(-shards // size), members)


def _gatherer_count(rate: float, available: int) -> int:
    """Return how many instances gather a group that is requested `rate` times per second."""
    return max(MIN_GATHERERS, math.ceil(min(rate / WARM_RATE, available)))


@lru_cache(maxsize=CACHED_DIVISIONS)
def _divide(
    members: tuple[str, ...], speeds: tuple[float, ...], shards: tuple[str, ...], count: int
) -> tuple[Run, ...]:
    """Divide shards into groups, each with the instances that may gather it, preferred ones first.

    An instance is the first of a number of groups that is about proportional to its speed, and
    likewise the second of others. The order depends on speeds and names only, so that all instances
    divide alike for every route and caller. Few groups move when an instance leaves, and none when
    a shard is gathered elsewhere for a time.
    """
    ordered = sorted(shards, key=_name_hash)
    edges = [-(-number * len(ordered) // count) for number in range(count + 1)]
    each = -(-len(members) // count)
    ranked = [
        sorted(members, key=lambda name: _name_hash(f"{number}/{name}")) for number in range(count)
    ]
    chosen: list[list[str]] = [[] for _ in range(count)]
    fastest = MAX_SPEED_RATIO * min(speeds)
    speed_of = {name: min(speed, fastest) for name, speed in zip(members, speeds, strict=True)}
    load: Counter[str] = Counter()
    for _ in range(each):
        round_load: Counter[str] = Counter()

        def load_with_another(name: str, round_load=round_load) -> tuple[float, float, int]:
            # The faster one of several, so that few instances are asked.
            return (round_load[name] + 1) / speed_of[name], -speed_of[name], load[name]

        for names, own in zip(ranked, chosen, strict=True):
            # `min` returns the first of several, which is the one that is ranked highest.
            name = min((name for name in names if name not in own), key=load_with_another)
            load[name] += 1
            round_load[name] += 1
            own.append(name)
    return tuple(
        Run(tuple(ordered[start:end]), tuple(own))
        for (start, end), own in zip(pairwise(edges), chosen, strict=True)
    )


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


def _name_hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def _by_domain(
    me: str,
    domain: str,
    shards: Sequence[str],
    domains_of: Mapping[str, frozenset[str]],
    instances: Mapping[str, str],
) -> dict[str, list[str]]:
    """Group the shards by the domain in which they are gathered.

    This is the instance's own domain if possible, else the one with searchers of the most shards.
    Among equal ones a hash decides, so that the instances of a domain use all of them.
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
            target = max(
                places & instance_domains,
                key=lambda place: (shard_counts[place], _name_hash(f"{me}/{place}")),
            )
        groups.setdefault(target, []).append(shard)
    return groups
