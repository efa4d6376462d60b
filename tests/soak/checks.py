"""Check the guarantees of a soak run against what callers and searchers recorded."""

from typing import NamedTuple

from rattanrelay.http import Response
from rattanrelay.platform.documents import HEADERS

from .world import DRAIN_S, SHARDS, SoakWorld

__all__ = ["NOT_RUN_STATUSES", "Sent", "violations"]

#: Response statuses which state that a request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Seconds beyond its deadline within which a request must have ended.
LATE_S = 1.5
#: Seconds during which requests may still arrive after the store shows a searcher as draining.
DRAINED_S = DRAIN_S + 1.0
MIN_SHARD_RATIO = 0.75
RATIO, FLOOR, WINDOW_S = 0.2, 30.0, 10.0
#: Share of the requests after the last fault that must succeed.
RECOVERED = 0.9


class Sent(NamedTuple):
    """One request of a caller; times are seconds of `trio.current_time()`."""

    request_id: str
    route: str
    instance: str
    started: float
    ended: float
    deadline: float
    #: None when the connection ended without an answer.
    response: Response | None
    #: The instance and the store had been without faults for `CALM_S` when it began and ended.
    undisturbed: bool
    #: False when the connection closed before an instance can have read the request.
    connected: bool


def violations(
    world: SoakWorld, sent: list[Sent], healed_at: float, crowd_ids: set[str]
) -> list[str]:
    """Return a line for each violated guarantee; `crowd_ids` are of clients that misbehave."""
    found = []
    runs: dict[str, list[str]] = {}
    for searcher in world.searchers:
        for request_id in searcher.ran:
            runs.setdefault(request_id, []).append(searcher.service)
    for one in sent:
        found += _request_violations(world, one, runs.get(one.request_id, []))
    known = {one.request_id for one in sent} | crowd_ids
    found += [f"UNASKED {request_id}" for request_id in runs if request_id not in known]
    found += _drain_violations(world, sent)
    found += _budget_violations(world)
    late = [one for one in sent if one.started >= healed_at]
    good = sum(one.response is not None and one.response.status == 200 for one in late)
    if not late or good < RECOVERED * len(late):
        found.append(f"RECOVER {good} of {len(late)} requests after the last fault succeeded")
    return found


def _request_violations(world: SoakWorld, one: Sent, runs: list[str]) -> list[str]:
    found = []
    name = f"{one.request_id} {one.route} at {one.instance}"
    if one.ended - one.started > one.deadline + LATE_S and one.undisturbed:
        found.append(f"HELD {name}: {one.ended - one.started:.2f} s of {one.deadline:.2f} s")
    if one.route == "once" and len(runs) > 1:
        found.append(f"TWICE {name}: {runs}")
    if one.response is None:
        if one.undisturbed and one.connected:
            found.append(f"LOST {name}: no answer on an open connection")
        return found
    status = one.response.status
    if status in NOT_RUN_STATUSES and runs:
        found.append(f"REFUSED {name}: {status}, but it ran")
    if status == 200:
        found += [f"MIXED {name}: {text}" for text in _wrong_answer(world, one)]
    if 300 <= status < 500 and status not in NOT_RUN_STATUSES:
        found.append(f"DENIED {name}: {status}")
    return found


def _wrong_answer(world: SoakWorld, one: Sent) -> list[str]:
    """Return the errors in a response with status 200."""
    own = {searcher.signature(one.request_id): searcher for searcher in world.searchers}
    headers, body = one.response.headers, one.response.body
    if one.route != "all":
        searcher = own.get(headers.get(HEADERS.signature, ""))
        if searcher is None or body != searcher.records:
            return ["signature or body of no searcher"]
        return [] if searcher.service in world.split else [f"ran at {searcher.service}"]
    signatures = [part.strip() for part in headers[HEADERS.part_signatures].split(",")]
    if len(set(signatures)) < len(signatures) or not set(signatures) <= own.keys():
        return [f"signatures {signatures}"]
    searchers = [own[signature] for signature in signatures]
    services = {searcher.service for searcher in searchers}
    missing = int(headers[HEADERS.missing_shards])
    if not any(services <= one_set for one_set in world.sets):
        return ["parts of no single version"]
    if len(services) != len(signatures) or len(services) + missing != SHARDS:
        return [f"{len(services)} parts and {missing} missing"]
    if len(services) < MIN_SHARD_RATIO * SHARDS:
        return [f"only {len(services)} parts"]
    records = [
        searcher.records[start : start + 16]
        for searcher in searchers
        for start in range(0, len(searcher.records), 16)
    ]
    return [] if body == b"".join(sorted(records, reverse=True)[:10]) else ["records"]


def _drain_violations(world: SoakWorld, sent: list[Sent]) -> list[str]:
    """Return the requests that undisturbed instances sent to a searcher long after it drained."""
    undisturbed = {one.request_id for one in sent if one.undisturbed}
    return [
        f"DRAIN {request_id} at {searcher.name}: {at - searcher.drained_at:.2f} s after it drained"
        for searcher in world.searchers
        if searcher.drained_at is not None
        for at, request_id in searcher.arrivals
        if at > searcher.drained_at + DRAINED_S and request_id in undisturbed
    ]


def _budget_violations(world: SoakWorld) -> list[str]:
    """Return the services with more repeated arrivals in a window than the retry budget allows."""
    arrivals: dict[str, list[tuple[float, str]]] = {}
    for searcher in world.searchers:
        arrivals.setdefault(searcher.service, []).extend(searcher.arrivals)
    found = []
    for service, rows in arrivals.items():
        rows.sort()
        seen: set[str] = set()
        firsts, extras = [], []
        for at, request_id in rows:
            (extras if request_id in seen else firsts).append(at)
            seen.add(request_id)
        for end in extras:
            window = [at for at in extras if end - WINDOW_S <= at <= end]
            counted = sum(end - 2 * WINDOW_S <= at <= end for at in firsts)
            if len(window) > RATIO * counted + FLOOR:
                found.append(f"BUDGET {service}: {len(window)} extras for {counted} requests")
                break
    return found
