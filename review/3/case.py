"""Non-idempotent requests find no connection while idempotent ones keep those of the service."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import CONTACT_S, Answer, Client, World, play

#: Connections that a searcher accepts from all machines, as the users' sheet states.
MAX_CONNECTIONS = 26
#: Requests of a page that a user opens, all sent at once, and the mean time between two pages.
PAGE = 6
PAGE_S = 1.0
STEADY_S = 30.0
#: Fewest requests on a route that was added later, and the share of the first route's service below
#: which the rule is broken.
ENOUGH = 20
QUARTER = 0.25
FIRST = {"name": "read", "prefix": "/read/", "service": "member-billing"}
ADDED = {"name": "pay", "prefix": "/pay/", "service": "member-billing", "type": "non_idempotent"}


async def case(world: World) -> bool:
    await world.store.start()
    for number in range(2):
        zone = world.ZONES[number]
        await world.searcher(f"m-{number}", "member-billing", zone, work=0.008).start()
    world.configure([FIRST], max_connections=MAX_CONNECTIONS)
    await world.start_machines()
    answers: list[tuple[str, Answer]] = []

    async def reader(machine) -> None:
        """Open a page now and then; its requests are sent at once on kept connections."""
        clients = [Client(world.record, machine) for _ in range(PAGE)]
        while True:
            page = await asyncio.gather(
                *(client.ask(f"/read/{part}") for part, client in enumerate(clients))
            )
            answers.extend(("read", answer) for answer in page)
            await asyncio.sleep(random.uniform(0.6, 1.4) * PAGE_S)

    async def payer(machine) -> None:
        client = Client(world.record, machine)
        while True:
            answers.append(("pay", await client.ask("/pay/1")))
            await asyncio.sleep(0.7)

    readers = [asyncio.create_task(reader(machine)) for machine in world.machines]
    await asyncio.sleep(6.0)
    if world.trouble:
        world.configure([FIRST, ADDED], max_connections=MAX_CONNECTIONS)
        world.record("a version adds the route /pay/")
        await asyncio.sleep(CONTACT_S)
        readers += [asyncio.create_task(payer(machine)) for machine in world.machines]
    await asyncio.sleep(CONTACT_S)
    start = world.record.now
    await asyncio.sleep(STEADY_S)
    for one in readers:
        one.cancel()
    share, count = {}, {}
    for route in ("read", "pay"):
        statuses = [one.outcome for name, one in answers if name == route and one.sent >= start]
        count[route] = len(statuses)
        share[route] = statuses.count("200") / max(1, len(statuses))
    connections = [len(one.open) for one in world.searchers]
    text = (
        f"{count['pay']} requests on the added route, {share['pay']:.3f} served; "
        f"{count['read']} on the first one, {share['read']:.3f} served; "
        f"connections that the searchers have: {connections}, {MAX_CONNECTIONS} allowed"
    )
    world.record(text)
    print(text)
    return count["pay"] < ENOUGH or share["pay"] >= QUARTER * share["read"]


if __name__ == "__main__":
    play(str(Path(__file__).parent), case, machines=9)
