"""Steps for searchers that state what they take."""

import math

import trio
from behave import given, then, when
from relay_steps import build, one_service

from rattanrelay.decide.ownership import ranked
from tests.harness.relay_world import StandInSearcher, run_on_mock_clock

INSTANCES = [(f"entry-{number}", "ab"[number % 2]) for number in range(6)]
#: Length in seconds of the windows in which requests to a searcher are counted.
WINDOW_S = 4.0
#: Time in milliseconds for which a searcher is cold after it has started again.
COLD_MS = 5000


@given(
    "6 instances in 2 domains, and 2 searchers of each of {count:d} shards that state a rate "
    "of {rate}"
)
def limited(context, count, rate):
    names = [f"shard-{number}" for number in range(count)]
    searchers = [
        StandInSearcher(f"{name}-{copy}", name, copy, records=bytes([number]) * 16)
        for number, name in enumerate(names)
        for copy in "ab"
    ]
    build(context, searchers, instances=INSTANCES)
    for searcher in searchers:
        searcher.limit = rate
    if count == 1:
        context.world.route("load", service=names[0], target_latency_ms=100)
    else:
        context.world.route("load", gather=names, top_k=5, min_shard_ratio=0.9)


async def _send_load(context, world, rate, seconds, how):
    """Send requests at a steady rate; keep the time of each, its duration, id and response."""
    names = list(world.daemons)

    async def ask(number):
        at = names[0] if how == "to one instance" else names[number % len(names)]
        if at not in world.daemons:
            return
        sent = trio.current_time()
        try:
            request_id, response = await world.ask("load", at=at, path=f"n{number}")
        except Exception:
            return
        context.replies.append((sent, trio.current_time() - sent, request_id, response))

    async with trio.open_nursery() as clients:
        if how == "while instances end and start":
            clients.start_soon(_restart_instances, world, seconds)
        for number in range(round(rate * seconds)):
            clients.start_soon(ask, number)
            await trio.sleep(1.0 / rate)


async def _restart_instances(world, seconds):
    for number in range(int(seconds)):
        name = f"entry-{number % 3}"
        world.kill(name)
        await trio.sleep(0.5)
        await world.start(name)
        await trio.sleep(0.5)


@when("clients send {rate:g} requests a second for {seconds:g} s {how}")
def load(context, rate, seconds, how):
    context.replies = []

    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(1.0)
            await _send_load(context, world, rate, seconds, how)

    run_on_mock_clock(scenario)


@then("no searcher gets over 1.5 times its rate and 5 requests in 4 s, from 1 s after it stated it")
def within_rate(context):
    for searcher in context.searchers:
        times = sorted(at for at, _ in searcher.arrivals)
        times = [at for at in times if at > times[0] + 1.0]
        most = max(sum(at <= other < at + WINDOW_S for other in times) for at in times)
        allowed = 1.5 * float(searcher.limit) * WINDOW_S + 5
        assert most <= allowed, (searcher.name, most, allowed)


@then("the searchers get at least {share:g} of the rates that they state")
def rates_used(context, share):
    times = sorted(at for searcher in context.searchers for at, _ in searcher.arrivals)
    stated = sum(float(searcher.limit) for searcher in context.searchers)
    used = len(times) / (times[-1] - times[0]) / stated
    assert used >= share, used


@then("each request is answered, or refused within {seconds:g} s as not run with a Retry-After")
def refused_at_once(context, seconds):
    statuses = {response.status for _, _, _, response in context.replies}
    assert statuses == {200, 503}, statuses
    ran = {one for searcher in context.searchers for one in searcher.ran}
    for _, took, request_id, response in context.replies:
        if response.status == 503:
            assert took <= seconds, took
            assert request_id not in ran
            assert 0.0 < float(response.headers["retry-after"]) < math.inf


@then("at least {share:g} of the refused requests have reached no searcher")
def refused_whole(context, share):
    reached = {one for searcher in context.searchers for _, one in searcher.arrivals}
    refused = [request for _, _, request, response in context.replies if response.status != 200]
    assert len(refused) > 20, len(refused)
    untouched = sum(request not in reached for request in refused) / len(refused)
    assert untouched >= share, untouched


@when(
    "clients send {rate:g} requests a second for {first:g} s, and for {second:g} s after the "
    "searchers state none"
)
def limit_ends(context, rate, first, second):
    context.replies = []

    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(1.0)
            await _send_load(context, world, rate, first, "")
            for searcher in context.searchers:
                searcher.limit = ""
            context.ended = trio.current_time()
            await _send_load(context, world, rate, second, "")

    run_on_mock_clock(scenario)


@then("all requests of the last 3 s are answered")
def last_answered(context):
    statuses = [reply.status for sent, _, _, reply in context.replies if sent > context.ended + 1.0]
    assert len(statuses) > 50 and set(statuses) == {200}, statuses


@given("a service with 2 searchers, of which one is leaving")
def one_leaving(context):
    one_service(context, 2)
    context.searchers[0].leaving = True
    # The other one is slower, so that it is not preferred at first.
    context.searchers[1].work = 0.05


@then("all are answered, and the one that is leaving got 1")
def leaving_got(context):
    assert {response.status for _, response in context.replies} == {200}
    assert len(context.searchers[0].arrivals) <= 1, context.searchers[0].arrivals
    assert len(context.searchers[1].arrivals) >= 19


@when("both have started again after a client has asked {count:d} times")
def start_again(context, count):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(0.5)
            for _ in range(count):
                await world.ask("one")
            for searcher in context.searchers:
                searcher.leaving = False
                searcher.arrivals.clear()
                searcher.born += 1
                world.store.write(f"servers/{searcher.name}", searcher.entry())
            await trio.sleep(1.0)
            for _ in range(count):
                await world.ask("one")

    run_on_mock_clock(scenario)


@then("a client that asks 20 times more reaches the one that was leaving")
def leaving_reached(context):
    assert context.searchers[0].arrivals


@given("a service with {count:d} searchers that turn requests away for 3 s")
def turning_away(context, count):
    one_service(context, count)
    for searcher in context.searchers:
        searcher.mode = "shed"
        searcher.retry_after = "3"


@when("a client asks each {pause:g} s for {seconds:g} s")
def ask_each(context, pause, seconds):
    context.replies = []

    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(0.5)
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                context.replies.append(await world.ask("one", deadline_ms=600))
                await trio.sleep(pause)

    run_on_mock_clock(scenario)


@then(
    "each searcher got at most 1, and those refused later are told to come back within {most:g} s"
)
def left_alone(context, most):
    counts = [len(searcher.arrivals) for searcher in context.searchers]
    assert max(counts) <= 1, counts
    for _, response in context.replies[3:]:
        assert response.status == 503
        assert 0.0 < float(response.headers["retry-after"]) <= most


@given('a service with 1 searchers that states a rate of "{text}"')
def odd_limit(context, text):
    one_service(context, 1)
    context.searchers[0].limit = text


@when("a client asks 4 times, and once each second for 12 s after the searcher states none")
def zero_ends(context):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(0.5)
            for _ in range(4):
                await world.ask("one")
            context.before = len(context.searchers[0].arrivals)
            context.searchers[0].limit = ""
            for _ in range(12):
                await trio.sleep(1.0)
                _, context.last = await world.ask("one")

    run_on_mock_clock(scenario)


@then("the searcher got at most 2 requests before, and the last client is answered")
def asked_again(context):
    assert context.before <= 2, context.before
    assert context.last.status == 200, context.last


@given(
    "{count:d} instances in 2 domains, and {number:d} searchers of a service that state a rate "
    "of {rate}"
)
def limited_service(context, count, number, rate):
    names = [(f"entry-{number}", "ab"[number % 2]) for number in range(count)]
    searchers = [StandInSearcher(f"s{index}", "svc", "ab"[index % 2]) for index in range(number)]
    build(context, searchers, instances=names)
    for searcher in searchers:
        searcher.limit = rate
    context.rate = float(rate)
    context.world.route("load", service="svc", target_latency_ms=400)


def _with_part(context):
    """Return the names of the instances that have a part of the first searcher's rate."""
    names = list(context.world.domains)
    return ranked(names, context.searchers[0].name)[: max(1, int(context.rate))]


async def _ask_steadily(context, world, names, seconds):
    """Let a client of each instance ask twice a second, whatever the answers."""
    until = trio.current_time() + seconds

    async def client(at):
        await trio.sleep(0.02 * names.index(at))
        while trio.current_time() < until:
            _, response = await world.ask("load", at=at)
            context.replies.append((trio.current_time(), at, response.status))
            await trio.sleep(0.5)

    async with trio.open_nursery() as clients:
        for name in names:
            clients.start_soon(client, name)


async def _while_limited_and_after(context, world, names, first, second):
    context.replies = []
    await _ask_steadily(context, world, names, first)
    for searcher in context.searchers:
        searcher.limit = ""
    context.limit_ended = trio.current_time()
    await _ask_steadily(context, world, names, second)
    context.ended = trio.current_time()


@when(
    "clients of {callers} ask for {first:g} s, and for {second:g} s after the searchers state none"
)
def ask_while_limited(context, callers, first, second):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(1.0)
            names = list(world.daemons)
            if callers != "all instances":
                names = [name for name in names if name not in _with_part(context)][:1]
            await _while_limited_and_after(context, world, names, first, second)

    run_on_mock_clock(scenario)


@when(
    "the instance with a part {fault}, and clients of one instance without a part ask until "
    "{second:g} s after the searchers state none"
)
def ask_without_part(context, fault, second):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(1.0)
            (gone,) = _with_part(context)
            name = next(name for name in world.daemons if name != gone)
            await world.ask("load", at=name)
            if fault == "ends":
                world.kill(gone)
            else:
                del world.daemons[gone].deployment.searchers[context.searchers[0].name]
            await _while_limited_and_after(context, world, [name], 10.0, second)

    run_on_mock_clock(scenario)


@then("all requests of the last {seconds:g} s are answered at each instance that was asked")
def answered_everywhere(context, seconds):
    last = [reply for reply in context.replies if reply[0] > context.ended - seconds]
    refused = {at: status for _, at, status in last if status != 200}
    asked = {at for _, at, _ in context.replies}
    assert not refused and {at for _, at, _ in last} == asked, refused


@then("no searcher got over 1.5 times its rate and 5 requests in 4 s while it stated it")
def within_stated_rate(context):
    for searcher in context.searchers:
        times = [at for at, _ in searcher.arrivals if at < context.limit_ended]
        times = [at for at in times if at > times[0] + 1.0]
        most = max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)
        assert most <= 1.5 * context.rate * WINDOW_S + 5, (searcher.name, most)


@given(
    "6 instances in 2 domains, and 3 searchers that take {rate:g} requests a second while they "
    "are cold"
)
def cold_service(context, rate):
    searchers = [StandInSearcher(f"s{index}", "svc", "ab"[index % 2]) for index in range(3)]
    build(context, searchers, instances=INSTANCES)
    context.world.service_fields["warmup_per_s"] = rate
    context.world.route("load", service="svc", target_latency_ms=400, timeout_ms=2000)


@when(
    "they end under a load of {rate:g} requests a second, and are back after {down:g} s, with an "
    "entry {delay:g} s later"
)
def come_back_cold(context, rate, down, delay):
    context.replies = []

    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(1.0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send_load, context, world, rate, 12.0, "to all instances")
                await trio.sleep(1.0)
                for searcher in context.searchers:
                    searcher.down, searcher.entry_delay = down, delay
                    searcher.cold_ms = COLD_MS
                    searcher.end()
                context.back = trio.current_time() + down
                context.warm = context.back + COLD_MS / 1000

    run_on_mock_clock(scenario)


@then("none of them gets more than {most:d} requests in one second while it is cold")
def cold_bounded(context, most):
    for searcher in context.searchers:
        times = [at for at, _ in searcher.arrivals if context.back <= at < context.warm]
        counts = [sum(at <= other < at + 1.0 for other in times) for at in times]
        assert max(counts, default=0) <= most, (searcher.name, max(counts))


@then(
    "they get at least {least:g} requests a second then, and all requests are answered at the end"
)
def cold_used(context, least):
    times = [at for searcher in context.searchers for at, _ in searcher.arrivals]
    cold = sum(context.back + 1.0 <= at < context.warm for at in times)
    assert cold >= least * (context.warm - context.back - 1.0), cold
    end = max(sent for sent, _, _, _ in context.replies)
    statuses = [reply.status for sent, _, _, reply in context.replies if sent > end - 1.0]
    assert len(statuses) > 50 and set(statuses) == {200}, statuses
