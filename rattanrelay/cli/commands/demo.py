"""`rattanrelay demo`: runs both example deployments, daemons and emulators in one process."""

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
READY_TIMEOUT_S = 25.0
RUN_TIMEOUT_S = 55.0
#: Time for an edit to come into force on each instance before the next queries.
EDIT_PAUSE_S = 1.0
QUERIES = 2

#: By deployment: the service that takes non-idempotent requests, and the body of one.
ACTIONS = {
    "norte": ("sample-booking", {"route": "box-17", "action": {"reserve": "box-17"}}),
    "nl-midden": ("child-care-card", {"route": "child-5", "action": {"check_in": "child-5"}}),
}


@command("demo")
def demo() -> int:
    """Run both example deployments, query them, take a failure domain out and back."""
    eliot.add_destinations(_discard)
    counts = trio.run(_run)
    print(
        f"\ndemo: {counts['complete']} answers complete, {counts['partial']} partial, ",
        end="",
    )
    print(f"{counts['refused']} refused, {counts['repeated']} non-idempotent requests run twice")
    return 1 if counts["refused"] or counts["repeated"] else 0


def _discard(message: dict) -> None:
    """Discard log messages so that only the report is printed."""


async def _run() -> Counter[str]:
    counts: Counter[str] = Counter()
    with trio.fail_after(RUN_TIMEOUT_S):
        for build in (norte, nl_midden):
            async with open_world(build(), INSTANCES) as world:
                await world.wait_ready(READY_TIMEOUT_S)
                await _demonstrate(world, counts)
    return counts


async def _demonstrate(world: World, counts: Counter[str]) -> None:
    name = world.deployment.name
    services = world.deployment.table.services
    domain = next(iter(world.deployment.table.domains))
    print(f"\n{name}: {len(world.daemons)} instances, {len(world.deployment.servers)} servers")
    await _query_all(world, services, counts)
    await _send_action(world, counts)
    print(f"  operators take failure domain {domain} out")
    await _set_domain_state(world, domain, "out")
    await _query_all(world, services, counts)
    print(f"  operators take failure domain {domain} back")
    await _set_domain_state(world, domain, "in")
    await _query_all(world, services, counts)


async def _query_all(world: World, services, counts: Counter[str]) -> None:
    for number, service in enumerate(services):
        for offset in range(QUERIES):
            counts[await _query(world, service, number + offset)] += 1


async def _query(world: World, service: str, instance: int) -> str:
    """Send a query and print its answer; return `complete`, `partial` or `refused`."""
    started = trio.current_time()
    body = {"filter": {"term": "granite"}, "limit": 3}
    response = await world.call(service, body, "tenant-1", instance)
    time_ms = (trio.current_time() - started) * 1000
    answer = response.json()
    if response.status != 200:
        print(f"  {service:18} {time_ms:7.1f} ms  {answer['code']}: {answer['message']}")
        return "refused"
    coverage = answer["coverage"]
    gaps = "".join(f" {item['shard']}:{item['reason']}" for item in coverage["missing"])
    print(
        f"  {service:18} {time_ms:7.1f} ms  shards {coverage['answered']:2}/{coverage['shards']:2}"
        f"  snapshot {answer['snapshot']}  {answer['count']} matches{gaps}"
    )
    return "partial" if coverage["missing"] else "complete"


async def _send_action(world: World, counts: Counter[str]) -> None:
    """Send one non-idempotent request twice through two instances; it must run once."""
    service, body = ACTIONS[world.deployment.name]
    key = str(uuid6.uuid7())
    outcomes = []
    for instance in range(2):
        response = await world.act(service, body, "tenant-1", key, instance)
        outcomes.append(response.json()["outcome"])
    searchers = world.emulator.backends.searchers.values()
    runs = sum(run.kind == "action" and run.ran for one in searchers for run in one.journal.runs)
    counts["refused"] += outcomes.count("not_run")
    counts["repeated"] += runs > 1
    outcome_list = ", ".join(outcomes)
    print(
        f"  {service:18} same request through two instances: {outcome_list}; it ran {runs} time(s)"
    )


async def _set_domain_state(world: World, domain: str, state: str) -> None:
    response = await world.administer("POST", f"/v1/domains/{domain}/{state}")
    if response.status >= 300:
        raise RelayError("internal", f"status {response.status}: {response.body.decode()}")
    await trio.sleep(EDIT_PAUSE_S)
