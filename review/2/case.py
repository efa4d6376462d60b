"""Machines refuse a service for good after its searchers have named a low limit for a time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import CONTACT_S, Answer, Client, World, play

LIMIT_PER_S = "1.0"
NEED_S = 10.0
#: Time in seconds for which requests are counted, from `CONTACT_S` after the need.
STEADY_S = 30.0
#: Fewest requests on a route that was added later, and the share of the first route's service below
#: which the rule is broken.
ENOUGH = 20
QUARTER = 0.25
FIRST = {"name": "box", "prefix": "/box/", "service": "shelf-locator"}
ADDED = {"name": "book", "prefix": "/book/", "service": "sample-booking"}


async def case(world: World) -> bool:
    await world.store.start()
    for number in range(6):
        zone = world.ZONES[number % 3]
        await world.searcher(f"i-{number}", "shelf-locator", zone, work=0.03).start()
    needy = []
    for number in range(2):
        zone = world.ZONES[number]
        needy.append(world.searcher(f"k-{number}", "sample-booking", zone, work=0.03, slots=6))
        await needy[-1].start()
    world.configure([FIRST])
    await world.start_machines()
    world.configure([FIRST, ADDED])
    world.record("a route is added")
    await asyncio.sleep(5.0)
    answers: list[tuple[str, str, Answer]] = []

    async def client(number: int) -> None:
        """Ask on both routes in turn, at the same pace whatever the answer.

        The pause is longer than a third of the deadline, for which clients wait as they are told.
        """
        machine = world.machines[number % len(world.machines)]
        client = Client(world.record, machine)
        while True:
            for route in ("box", "book"):
                answer = await client.ask(f"/{route}/{number}", deadline=2.0)
                answers.append((route, machine.name, answer))
                await asyncio.sleep(0.7)

    clients = [asyncio.create_task(client(number)) for number in range(18)]
    await asyncio.sleep(4.0)
    if world.trouble:
        world.record(f"the searchers of sample-booking name a limit of {LIMIT_PER_S} a second")
        for one in needy:
            one.limit = LIMIT_PER_S
    await asyncio.sleep(NEED_S)
    for one in needy:
        one.limit = ""
    world.record("their answers name no limit any more")
    await asyncio.sleep(CONTACT_S)
    start = world.record.now
    await asyncio.sleep(STEADY_S)
    for one in clients:
        one.cancel()
    counted = [row for row in answers if row[2].sent >= start]
    share = {}
    for route in ("box", "book"):
        statuses = [answer.outcome for name, _, answer in counted if name == route]
        share[route] = statuses.count("200") / max(1, len(statuses))
        world.record(f"/{route}/: {len(statuses)} requests, served {share[route]:.3f}")
    added = sum(name == "book" for name, _, _ in counted)
    serving = {
        name for route, name, answer in counted if (route, answer.outcome) == ("book", "200")
    }
    told = [float(a.headers["retry-after"]) for _, _, a in counted if "retry-after" in a.headers]
    text = (
        f"{added} requests on the added route, {share['book']:.3f} served, {share['box']:.3f} on "
        f"the first one; {len(serving)} of {len(world.machines)} machines serve it; "
        f"longest Retry-After {max(told, default=0.0):.0f} s"
    )
    world.record(text)
    print(text)
    return added < ENOUGH or share["book"] >= QUARTER * share["box"]


if __name__ == "__main__":
    play(str(Path(__file__).parent), case, machines=9)
