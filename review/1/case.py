"""One unreadable entry among the searchers ends the machines of its zone, again and again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import HEARTBEAT_S, Client, World, play

#: The rule allows three kept connections that are closed without an answer.
ALLOWED = 3
#: Ends of a process by itself on a machine that count as a fault, on two machines or more.
ENDS = 3


async def case(world: World) -> bool:
    await world.store.start()
    for number in range(6):
        zone = world.ZONES[number % 3]
        await world.searcher(f"i-{number}", "shelf-locator", zone, work=0.05).start()
    world.configure([{"name": "box", "prefix": "/box/", "service": "shelf-locator"}])
    await world.start_machines()
    outcomes: dict[str, int] = {}
    #: Requests on kept connections that were closed without an answer.
    unanswered: set[str] = set()

    async def client(number: int) -> None:
        client = Client(world.record, world.machines[number % len(world.machines)])
        while True:
            answer = await client.ask(f"/box/{number}")
            outcomes[answer.outcome] = outcomes.get(answer.outcome, 0) + 1
            if answer.outcome == "cut" and answer.kept:
                unanswered.add(answer.request_id)
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(number)) for number in range(24)]
    await asyncio.sleep(6.0)
    if world.trouble:
        # Another writer's entry: the bytes after the address cannot be read. The address is that of
        # the loopback interface; nothing is sent there.
        entry = {
            "service": "shelf-locator",
            "address": "::1%\0:9000",
            "zone": "oviedo",
            "version": "v1",
            "concurrency": 2,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1765000000000,
        }
        world.record("another writer writes servers/other-1")
        for sequence in range(1, 12):
            world.store.write("servers/other-1", {**entry, "sequence": sequence})
            await asyncio.sleep(HEARTBEAT_S)
    else:
        await asyncio.sleep(11 * HEARTBEAT_S)
    for one in clients:
        one.cancel()
    ends = world.machine_ends()
    ran = {request_id for one in world.searchers for _, request_id in one.ran}
    lost = len(unanswered & ran)
    text = (
        f"{lost} requests passed on and then lost on kept connections, {ALLOWED} allowed; "
        f"processes that ended by themselves: {ends}; outcomes: {outcomes}"
    )
    world.record(text)
    print(text)
    return lost <= ALLOWED and sum(count >= ENDS for count in ends.values()) < 2


if __name__ == "__main__":
    play(str(Path(__file__).parent), case)
