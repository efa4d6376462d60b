"""Steps for kept connections that go silent for good while new ones work."""

import trio
from behave import given, then, when
from relay_steps import signatures_of

from rattanrelay.decide.extra_window import ExtraLimits
from rattanrelay.platform.documents import HEADERS
from tests.harness.relay_world import BOUNDS, run_on_mock_clock

#: Time in seconds in which the instances connect to each other and to searchers.
SETTLE_S = 1.0
#: The same for a fleet in which some read the store for the others.
FLEET_SETTLE_S = 16.0
#: Time in seconds in which the use of a searcher that has left is observed.
MEASURED_S = 12.0
#: Words for the things to which connections go, by kind of proxy.
KINDS = {"instance": "links", "store": "to the store"}


@given("all connections go through proxies")
def proxied(context):
    context.world.proxied = True


@given("a budget of {count:d} extra requests for each service, whatever the first ones")
def small_budget(context, count):
    context.world.bounds = BOUNDS._replace(extra=ExtraLimits(0.0, float(count), 10.0))


@given("the searchers of {count:d} shards take {work:d} ms")
def slow_shards(context, count, work):
    for searcher in context.searchers:
        if searcher.service in context.set[:count]:
            searcher.work = work / 1000


def _sent(world):
    """Return the number of requests that the instance in a has sent to searchers."""
    return sum(world.daemons["entry-1"].metrics.subrequest_counts.values())


async def _ask(context, world, route="all"):
    started = trio.current_time()
    _, response = await world.ask(route)
    context.results.append((started, trio.current_time() - started, response))


@when(
    "the links between instances go silent {direction} and a client gathers each {gap:d} ms "
    "for {seconds:g} s"
)
def gather_after_silence(context, direction, gap, seconds):
    _ask_after_silence(context, "instance", direction, "all", gap, seconds)


@when(
    "the connections to searchers go silent {direction} and a client {asks} each {gap:d} ms "
    "for {seconds:g} s"
)
def ask_after_silence(context, direction, asks, gap, seconds):
    route = {"asks": "one", "gathers": "all"}[asks]
    _ask_after_silence(context, "searcher", direction, route, gap, seconds)


def _ask_after_silence(context, kind, direction, route, gap, seconds):
    async def scenario():
        context.results, context.sent = [], []
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            async with trio.open_nursery() as clients:
                # Several at once, so that several connections are kept.
                for _ in range(4):
                    clients.start_soon(world.ask, route)
            assert world.silence(kind, direction)
            end = trio.current_time() + seconds
            async with trio.open_nursery() as clients:
                while trio.current_time() < end:
                    clients.start_soon(_ask, context, world, route)
                    context.sent.append((end - trio.current_time(), _sent(world)))
                    await trio.sleep(gap / 1000)
            context.sent.append((0.0, _sent(world)))

    run_on_mock_clock(scenario)


@when("the links between instances go silent {delay:d} ms after a client began to gather")
def silence_amid_gather(context, delay):
    async def scenario():
        context.results = []
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            await world.ask("all")
            async with trio.open_nursery() as clients:
                clients.start_soon(_ask, context, world)
                await trio.sleep(delay / 1000)
                assert world.silence("instance")

    run_on_mock_clock(scenario)


@when("a client gathers at the instance in a and gives up after {wait:d} ms")
def gather_and_give_up(context, wait):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            before = world.proxies["instance/entry-2"].connections
            with trio.move_on_after(wait / 1000):
                await world.ask("all")
            await trio.sleep(SETTLE_S)
            context.links = world.proxies["instance/entry-2"].connections - before

    run_on_mock_clock(scenario)


@then("there has been one link from the instance in a")
def one_link(context):
    assert context.links == 1, context.links


@then("each response misses 0 and comes within {most:d} ms")
def all_complete(context, most):
    total = len(context.world.routes[-1]["gather"])
    found = [
        (round(at, 3), response.status, _parts(response), round(seconds, 3))
        for at, seconds, response in context.results
    ]
    wrong = [row for row in found if row[1:3] != (200, total) or row[3] > most / 1000]
    assert found and not wrong, wrong


@then(
    "each response comes within {most:d} ms, and within the target of {target:d} ms "
    "in the last {lately:g} s"
)
def all_answered(context, most, target, lately):
    end = max(at for at, _, _ in context.results)
    slow = [
        (round(at, 3), response.status, round(seconds, 3))
        for at, seconds, response in context.results
        if response.status != 200 or seconds > (target if at > end - lately else most) / 1000
    ]
    assert not slow, slow


def _parts(response):
    return len(signatures_of(response)) if response.status == 200 else 0


@then("in the last {seconds:g} s the instance in a sent no request to a searcher")
def none_sent_lately(context, seconds):
    late = [count for left, count in context.sent if left <= seconds]
    assert late[0] == late[-1], context.sent


def _silence(world, what):
    """Make connections silent; a reader's are those to the store and from its followers."""
    if what == "the connections of a reader":
        readers = [name for name, one in world.daemons.items() if one.feed.sharing.followed]
        counts = [world.silence(f"{kind}/{readers[0]}") for kind in ("store", "instance")]
    else:
        kinds = [kind for kind in ("instance", "store") if KINDS[kind] in what]
        counts = [world.silence(kind) for kind in kinds]
    assert all(counts), counts


@when("{what} go silent and then a searcher {leaves}")
def silent_and_leaves(context, what, leaves):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(FLEET_SETTLE_S)
            _silence(world, what)
            await trio.sleep(0.1)
            world.let_leave("s1", leaves)
            context.used = (await world.record_use(MEASURED_S))["s1"]

    run_on_mock_clock(scenario)


@then("no instance uses that searcher {seconds:g} s later")
def left_alone(context, seconds):
    assert max(context.used.values()) <= seconds, context.used


@given("their responses have {size:d} MB")
def large_responses(context, size):
    for searcher in context.searchers:
        searcher.records = bytes(size * 1024 * 1024)


@when("a caller sends a request and reads nothing for {seconds:g} s")
def silent_caller(context, seconds):
    async def scenario():
        async with context.world.open() as world:
            daemon = world.daemons["entry-1"]
            stream = await trio.open_tcp_stream(*daemon.settings.clients)
            async with stream:
                head = (
                    f"GET /one/x HTTP/1.1\r\nhost: test.example\r\n{HEADERS.request_id}: q1\r\n\r\n"
                )
                await stream.send_all(head.encode())
                await trio.sleep(SETTLE_S)
                assert daemon.connections
                await trio.sleep(seconds)
                context.connections = set(daemon.connections)

    run_on_mock_clock(scenario)


@then("the instance has no connection left")
def no_connection(context):
    assert not context.connections
