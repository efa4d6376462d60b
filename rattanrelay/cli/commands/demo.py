"""`rattanrelay demo`: both example deployments with daemons and emulators in one process."""

from collections import Counter

import eliot
import trio
import uuid6

from ...emulator.deployments import nl_midden, norte
from ...emulator.world import World, open_world
from ...errors import RelayError
from ..registry import command

__all__ = ["demo"]

INSTANCES = 6
READY_LIMIT_S = 25.0
RUN_LIMIT_S = 55.0
#: Time for an edit to take hold on each instance before the next queries, in seconds.
EDIT_PAUSE_S = 1.0
QUERIES = 2

#: The service with non-idempotent requests, and the body of one, by deployment.
ACTIONS = {
    "norte": ("sample-booking", {"route": "box-17", "action": {"reserve": "box-17"}}),
    "nl-midden": ("child-care-card", {"route": "child-5", "action": {"check_in": "child-5"}}),
}


@command("demo")
def demo() -> int:
    """Run both example deployments, query them, take a failure domain out and back."""
    eliot.add_destinations(_discard)
    tally = trio.run(_run)
    print(
        f"\ndemo: {tally['complete']} answers complete, {tally['partial']} with named gaps, ",
        end="",
    )
    print(f"{tally['refused']} refused, {tally['repeated']} non-idempotent requests run twice")
    return 1 if tally["refused"] or tally["repeated"] else 0


def _discard(message: dict) -> None:
    """Drop log messages, so that only the report is printed."""


async def _run() -> Counter[str]:
    tally: Counter[str] = Counter()
    with trio.fail_after(RUN_LIMIT_S):
        for build in (norte, nl_midden):
            async with open_world(build(), INSTANCES) as world:
                await world.wait_ready(READY_LIMIT_S)
                await _show(world, tally)
    return tally


async def _show(world: World, tally: Counter[str]) -> None:
    name = world.deployment.name
    services = world.deployment.table.services
    domain = next(iter(world.deployment.table.domains))
    print(f"\n{name}: {len(world.daemons)} instances, {len(world.deployment.servers)} servers")
    await _query_all(world, services, tally)
    await _act(world, tally)
    print(f"  operators take failure domain {domain} out")
    await _operate(world, domain, "out")
    await _query_all(world, services, tally)
    print(f"  operators take failure domain {domain} back")
    await _operate(world, domain, "in")
    await _query_all(world, services, tally)


async def _query_all(world: World, services, tally: Counter[str]) -> None:
    for number, service in enumerate(services):
        for turn in range(QUERIES):
            tally[await _query(world, service, number + turn)] += 1


async def _query(world: World, service: str, instance: int) -> str:
    """Send a query and print its answer; return `complete`, `partial` or `refused`."""
    started = trio.current_time()
    body = {"filter": {"term": "granite"}, "limit": 3}
    response = await world.call(service, body, "tenant-1", instance)
    took = (trio.current_time() - started) * 1000
    answer = response.json()
    if response.status != 200:
        print(f"  {service:18} {took:7.1f} ms  {answer['code']}: {answer['message']}")
        return "refused"
    coverage = answer["coverage"]
    gaps = "".join(f" {item['shard']}:{item['reason']}" for item in coverage["missing"])
    print(
        f"  {service:18} {took:7.1f} ms  shards {coverage['answered']:2}/{coverage['shards']:2}"
        f"  snapshot {answer['snapshot']}  {answer['count']} matches{gaps}"
    )
    return "partial" if coverage["missing"] else "complete"


async def _act(world: World, tally: Counter[str]) -> None:
    """Send one non-idempotent request twice through two instances; it must run once."""
    service, body = ACTIONS[world.deployment.name]
    key = str(uuid6.uuid7())
    outcomes = []
    for instance in range(2):
        response = await world.act(service, body, "tenant-1", key, instance)
        outcomes.append(response.json()["outcome"])
    searchers = world.emulator.backends.searchers.values()
    runs = sum(run.kind == "action" and run.ran for one in searchers for run in one.journal.runs)
    tally["refused"] += outcomes.count("not_run")
    tally["repeated"] += runs > 1
    told = ", ".join(outcomes)
    print(f"  {service:18} same request through two instances: {told}; it ran {runs} time(s)")


async def _operate(world: World, domain: str, direction: str) -> None:
    response = await world.administer("POST", f"/v1/domains/{domain}/{direction}")
    if response.status >= 300:
        raise RelayError("internal", f"status {response.status}: {response.body.decode()}")
    await trio.sleep(EDIT_PAUSE_S)
