"""Steps for the quotas of workspaces, through instances with sockets."""

from types import SimpleNamespace

import trio
from behave import given, then, when
from keys_steps import KEY, isolate
from relay_steps import build

from rattanrelay.platform.documents import HEADERS
from tests.harness.quota_fleet import most_in_window
from tests.harness.relay_world import StandInSearcher, run_on_mock_clock

#: Time in seconds after the start in which instances lend no shares, and until the trouble begins.
SETTLE_S = 3.0
TROUBLE_AFTER_S = 2.0


@given("3 instances with a workspace of {rate:d} requests/s and a burst of {burst:d}")
def limited(context, rate, burst):
    services = [f"shard-{number}" for number in range(4)]
    searchers = [StandInSearcher(f"{name}-0", name, "a") for name in services]
    searchers += [StandInSearcher(f"s{number}", "svc", "a") for number in range(2)]
    build(context, searchers, instances=[("entry-1", "a"), ("entry-2", "b"), ("entry-3", "c")])
    for searcher in searchers:
        searcher.slots = 50
    world = context.world
    world.route("one", service="svc")
    world.route("many", gather=services, top_k=5, min_shard_ratio=1.0)
    world.route("none", service="gone")
    world.tenants = [
        {"name": "crew", "api_keys": [KEY], "rate_per_s": rate, "burst": burst},
    ]
    world.proxied = True
    #: Each request: the time of sending, its status and Retry-After (None without a response).
    context.asked = []


async def ask(context, world, route, at):
    row = SimpleNamespace(sent=trio.current_time(), at=at, status=None, retry_after=None)
    context.asked.append(row)
    try:
        row.id, response = await world.ask(route, at=at, headers={HEADERS.api_key: KEY})
    except Exception:
        return
    row.status, row.retry_after = response.status, response.headers.get("retry-after")


async def kill(world, *, again=False):
    owner = next(iter(world.daemons.values())).quotas.ranking.top("crew")[0]
    world.kill(owner)
    if again:
        await world.start(owner)


async def cut_off(world):
    isolate(world)


TROUBLES = {
    "the owner is killed": kill,
    "the owner restarts": lambda world: kill(world, again=True),
    "one instance is cut off": cut_off,
}


@when("{rate:d} requests/s come for {seconds:d} s while {trouble}")
def load(context, rate, seconds, trouble):
    play(context, "one", rate, seconds, trouble)


@when("{rate:d} gathered requests/s come for {seconds:d} s while {trouble}")
def load_gathered(context, rate, seconds, trouble):
    play(context, "many", rate, seconds, trouble)


def play(context, route, rate, seconds, trouble):
    async def scenario():
        async with context.world.open() as world, trio.open_nursery() as nursery:
            await trio.sleep(SETTLE_S)
            if trouble == "the store refuses all instances":
                world.store.set_mode("refuse")
            start = trio.current_time()
            for number in range(rate * seconds):
                if number == TROUBLE_AFTER_S * rate and trouble in TROUBLES:
                    nursery.start_soon(TROUBLES[trouble], world)
                names = sorted(world.daemons)
                nursery.start_soon(ask, context, world, route, names[number % len(names)])
                await trio.sleep_until(start + (number + 1) / rate)

    run_on_mock_clock(scenario)


@then("all of them are answered")
def all_answered(context):
    other = [row for row in context.asked if row.status != 200]
    assert context.asked and not other, other[:5]


@then("no 5 s have more than {most:d} requests that ran, and 12 s have at least {least:d}")
def bounded(context, most, least):
    ran = sorted({(request, at) for one in context.searchers for at, request in one.arrivals})
    times = list(dict(reversed(ran)).values())
    assert most_in_window(times) <= most, most_in_window(times)
    assert len(times) >= least, len(times)


@then("each other request got 429 with a Retry-After and has not run, or met a killed instance")
def refused(context):
    ran = {request for one in context.searchers for _, request in one.arrivals}
    for row in context.asked:
        if row.status is not None and row.status != 200:
            assert row.status == 429 and float(row.retry_after) > 0.0, row
            assert row.id not in ran, row


@when("{count:d} requests to a service without searchers and then {others:d} others come at once")
def unserved(context, count, others):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            for route, number in (("none", count), ("one", others)):
                async with trio.open_nursery() as nursery:
                    for index in range(number):
                        at = f"entry-{index % 3 + 1}"
                        nursery.start_soon(ask, context, world, route, at)
                        await trio.sleep(0.01)
                await trio.sleep(0.1)

    run_on_mock_clock(scenario)
    context.first, context.others = context.asked[:count], context.asked[count:]


@then("the first ones get 503 and the others 200")
def unserved_not_counted(context):
    statuses = [{row.status for row in rows} for rows in (context.first, context.others)]
    assert statuses == [{503}, {200}], statuses
