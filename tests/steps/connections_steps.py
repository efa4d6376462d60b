"""Steps for the connections that instances open to searchers."""

from functools import partial

import trio
from behave import given, then, when
from relay_steps import build

from tests.harness.relay_world import StandInSearcher, run_on_mock_clock

WORK_S = 0.008


@given("{count:d} instances, and {number:d} searchers that accept {accepted:d} connections each")
def few_connections(context, count, number, accepted):
    names = [(f"entry-{index}", "abc"[index % 3]) for index in range(count)]
    searchers = [
        StandInSearcher(f"s{index}", "svc", "abc"[index % 3], work=WORK_S)
        for index in range(number)
    ]
    build(context, searchers, instances=names)
    for searcher in searchers:
        searcher.max_connections = accepted
    context.world.service_fields["max_connections"] = accepted
    common = {"service": "svc", "timeout_ms": 2000, "target_latency_ms": 400}
    context.world.route("read", **common)
    context.world.route("pay", type="non_idempotent", **common)
    context.statuses = []


async def _ask(context, world, route, at):
    _, response = await world.ask(route, at=at, method="POST" if route == "pay" else "GET")
    context.statuses.append((route, at, response.status))


async def _send_pages(context, world, at, page, until):
    while trio.current_time() < until:
        async with trio.open_nursery() as requests:
            for _ in range(page):
                requests.start_soon(_ask, context, world, "read", at)
        await trio.sleep(1.0)


async def _pay(context, world, at, until):
    while trio.current_time() < until:
        await _ask(context, world, "pay", at)
        await trio.sleep(0.7)


@when(
    "clients of each instance send pages of {page:d} requests at once for {seconds:g} s, and "
    "others non-idempotent ones"
)
def send_pages(context, page, seconds):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(3.0)
            until = trio.current_time() + seconds
            async with trio.open_nursery() as clients:
                for at in world.daemons:
                    clients.start_soon(_send_pages, context, world, at, page, until)
                    clients.start_soon(_pay, context, world, at, until)

    run_on_mock_clock(scenario)


@when("a client sends an idempotent request, and then a non-idempotent one, {count:d} times")
def send_both(context, count):
    async def scenario():
        async with context.world.open() as world:
            for _ in range(count):
                for route in ("read", "pay"):
                    await _ask(context, world, route, "entry-0")

    run_on_mock_clock(scenario)


@when("a client sends a page of {page:d} requests at once that take {work:d} ms each")
def send_page(context, page, work):
    for searcher in context.searchers:
        searcher.work = work / 1000

    async def scenario():
        async with context.world.open() as world:
            started = trio.current_time()
            await _send_pages(context, world, "entry-0", page, started + 0.001)
            context.took = trio.current_time() - started - 1.0

    run_on_mock_clock(scenario)


@then("all of these requests are answered, and no searcher has reset a connection")
def all_answered(context):
    failed = [row for row in context.statuses if row[2] != 200]
    assert context.statuses and not failed, (len(context.statuses), failed[:5], len(failed))
    resets = {searcher.name: searcher.resets for searcher in context.searchers}
    assert not any(resets.values()), resets


@then("the last one is answered within {most:d} ms")
def last_answered_within(context, most):
    assert context.took * 1000 <= most, context.took


@when("a client of each instance asks twice a second for {seconds:g} s")
def ask_steadily(context, seconds):
    async def client(world, at, number):
        await trio.sleep(0.04 * number)
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await _ask(context, world, "read", at)
            await trio.sleep(0.5)

    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(3.0)
            async with trio.open_nursery() as clients:
                for number, at in enumerate(world.daemons):
                    clients.start_soon(client, world, at, number)

    run_on_mock_clock(scenario)


@given("a process with {limit:d} connections to searchers, and a service whose requests take 20 s")
def limited_process(context, limit):
    context.limit = limit
    slow = [StandInSearcher(f"slow-{index}", "slow", "a", work=20.0) for index in range(2)]
    build(context, [*slow, StandInSearcher("quick", "quick", "a")])
    context.world.service_fields["max_connections"] = 400
    for service in ("slow", "quick"):
        common = {"timeout_ms": 30_000, "target_latency_ms": 10_000, "attempts": 1}
        context.world.route(service, service=service, **common)


@when("{count:d} clients send requests to the slow service")
def send_slow(context, count):
    async def scenario():
        async with context.world.open() as world, trio.open_nursery() as clients:
            daemon = world.daemons["entry-1"]
            daemon.deployment.all_connections.limit = context.limit
            for _ in range(count):
                clients.start_soon(partial(world.ask, "slow", deadline_ms=30_000))
            # Until the connection that was kept in advance has expired.
            await trio.sleep(8.0)
            context.opened = sum(one.open_connections for one in context.searchers)
            context.status = 0
            with trio.move_on_after(3.0):
                _, response = await world.ask("quick", deadline_ms=2000)
                context.status = response.status
            clients.cancel_scope.cancel()

    run_on_mock_clock(scenario)


@then("the process has opened at most {most:d} connections")
def opened_at_most(context, most):
    assert 0 < context.opened <= most, context.opened


@then("a request to another service is answered with {status:d}")
def other_service_answered(context, status):
    assert context.status == status, context.status
