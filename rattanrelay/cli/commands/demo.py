"""`rattanrelay demo`: both example deployments with daemons and emulators in one process."""

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
    complete = trio.run(_run)
    print("demo: all answers complete" if complete else "demo: some answers were incomplete")
    return 0 if complete else 1


def _discard(message: dict) -> None:
    """Drop log messages, so that only the report is printed."""


async def _run() -> bool:
    complete = True
    with trio.fail_after(RUN_LIMIT_S):
        for build in (norte, nl_midden):
            async with open_world(build(), INSTANCES) as world:
                await world.wait_ready(READY_LIMIT_S)
                complete &= await _show(world)
    return complete


async def _show(world: World) -> bool:
    name = world.deployment.name
    services = world.deployment.table.services
    domain = next(iter(world.deployment.table.domains))
    print(f"\n{name}: {len(world.daemons)} instances, {len(world.deployment.servers)} servers")
    complete = await _query_all(world, services)
    complete &= await _act(world)
    print(f"  operators take failure domain {domain} out")
    await _operate(world, domain, "out")
    complete &= await _query_all(world, services)
    print(f"  operators take failure domain {domain} back")
    await _operate(world, domain, "in")
    return complete & await _query_all(world, services)


async def _query_all(world: World, services) -> bool:
    complete = True
    for number, service in enumerate(services):
        for turn in range(QUERIES):
            complete &= await _query(world, service, number + turn)
    return complete


async def _query(world: World, service: str, instance: int) -> bool:
    started = trio.current_time()
    body = {"filter": {"term": "granite"}, "limit": 3}
    response = await world.call(service, body, "tenant-1", instance)
    took = (trio.current_time() - started) * 1000
    answer = response.json()
    if response.status != 200:
        print(f"  {service:18} {took:7.1f} ms  {answer['code']}: {answer['message']}")
        return False
    coverage = answer["coverage"]
    gaps = "".join(f" {item['shard']}:{item['reason']}" for item in coverage["missing"])
    print(
        f"  {service:18} {took:7.1f} ms  shards {coverage['answered']:2}/{coverage['shards']:2}"
        f"  snapshot {answer['snapshot']}  {answer['count']} matches{gaps}"
    )
    return coverage["answered"] == coverage["shards"]


async def _act(world: World) -> bool:
    """Send one non-idempotent request twice through two instances; it must run once."""
    service, body = ACTIONS[world.deployment.name]
    key = str(uuid6.uuid7())
    outcomes = []
    for instance in range(2):
        response = await world.act(service, body, "tenant-1", key, instance)
        outcomes.append(response.json()["outcome"])
    print(f"  {service:18} same reservation through two instances: {', '.join(outcomes)}")
    return outcomes == ["done", "done"]


async def _operate(world: World, domain: str, direction: str) -> None:
    response = await world.administer("POST", f"/v1/domains/{domain}/{direction}")
    if response.status >= 300:
        raise RelayError("internal", f"status {response.status}: {response.body.decode()}")
    await trio.sleep(EDIT_PAUSE_S)
