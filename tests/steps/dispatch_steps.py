"""Steps for the dispatch of sub-requests by the owner of a backend server."""

from functools import partial

import msgspec
import trio
from behave import given, then, when
from dispatch_bench import Bench

from rattanrelay.node.ports import Configuration
from rattanrelay.table import DomainRow
from rattanrelay.wire import Cancel, Handlers, open_link, serve_peers

#: Faults of random work; most requests have none, so that the ramp reaches the limit.
FAULTS = ["crossed", "other_shard", "other_snapshot", "incomplete", "reset", "hang", "shedding"]


def on_bench(step):
    """Run an asynchronous step while the dispatcher of the scenario runs."""

    def run(context, **arguments):
        context.bench.run(partial(step, context, **arguments))

    return run


@given("a dispatcher with {slots:d} slots and {connections:d} connections")
def bench(context, slots, connections):
    context.bench = Bench(slots=slots, connections=connections)


@given("a dispatcher with canaries")
def canary_bench(context):
    context.bench = Bench(canary=True)


@given("a dispatcher with a queue of {queue:d}")
def queue_bench(context, queue):
    context.bench = Bench(queue=queue)


@given("a dispatcher over TCP with {slots:d} slots")
def tcp_bench(context, slots):
    context.bench = Bench(tcp=True, slots=slots, connect_ms=0.0)
    context.bench.searcher.service_s = 0.001


@given('the searcher\'s work has the fault "{fault}"')
def set_fault(context, fault):
    context.bench.searcher.reachable = fault != "unreachable"
    context.bench.searcher.fault = lambda body: fault


@given("each search takes {seconds:g} s")
@when("each search takes {seconds:g} s")
def search_time(context, seconds):
    context.bench.searcher.service_s = seconds


@then("the searcher got {count:d} searches")
def searches(context, count):
    assert len(context.bench.searcher.requests) == count, context.bench.searcher.requests


@given("the searcher ignores cancellations")
def ignore_cancels(context):
    context.bench.searcher.ignores_cancel = True


@when("{count:d} random sub-queries run, with cancellations and faults")
def random_work(context, count):
    bench = context.bench
    rng, searcher = bench.rng, bench.searcher
    searcher.fault = lambda body: rng.choice(FAULTS) if rng.random() < 0.06 else ""
    context.emitted = {}

    async def one(number):
        await trio.sleep(rng.uniform(0, 30))
        shards = [f"sh{index}" for index in range(rng.randint(1, 4))]
        query = bench.query(f"q{number}", shards, rng.uniform(0.02, 3.0))
        results = context.emitted[number] = []

        async def emit(item):
            results.extend(item.results)

        with trio.move_on_after(rng.choice([0.02, 0.1, 1e3, 1e3])) as scope:
            await bench.dispatcher.run(query, emit)
        if not scope.cancelled_caught and f"q{number}" not in cancelled:
            assert sorted(result.shard for result in results) == shards, results

    async def use(bench):
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(one, number)
            for _ in range(count):
                await trio.sleep(rng.uniform(0, 0.2))
                name = f"q{rng.randrange(count)}"
                cancelled.add(name)
                searcher.service_s = rng.choice([0.001, 0.01, 0.03, 0.2])
                searcher.ignores_cancel = rng.random() < 0.3
                await bench.dispatcher.cancel(Cancel(name, "sh0", "s1/0"))
        await trio.sleep(5)
        context.end = bench.status()

    cancelled = set()
    bench.run(use)


@then("no limit was exceeded and each answer reached its own request")
def limits_kept(context):
    searcher, end = context.bench.searcher, context.end
    assert searcher.peak_work == context.bench.row.slots, searcher.peak_work
    assert searcher.peak_connections <= context.bench.row.connections // 4
    assert searcher.late_deadlines == 0, searcher.late_deadlines
    assert end.slots_in_use == end.queued == 0, end
    assert not context.bench.dispatcher.open_jobs, context.bench.dispatcher.open_jobs
    answered = 0
    for results in context.emitted.values():
        for result in results:
            assert result.limit <= context.bench.row.slots, result
            if result.status == "ok":
                answered += 1
                payload = msgspec.json.decode(result.payload)
                assert payload["of"]["shard"] == payload["shard"] == result.shard
                assert payload["snapshot"] == result.snapshot
    assert answered > len(context.emitted) / 4, answered


@when('shards "{shards}" are asked for within {timeout:g} s')
@on_bench
async def run_shards(context, bench, shards, timeout):
    await trio.sleep(1)
    await bench.dispatcher.run(bench.query("q", shards.split(), timeout), bench.emit)
    context.end = bench.status()
    await trio.sleep(5)
    context.later = bench.status()


@then('the results are "{expected}"')
def results_are(context, expected):
    found = " ".join(f"{shard}={reason}" for shard, reason in sorted(context.bench.outcomes()))
    assert found == expected, found


@then('the last result is "{expected}"')
def last_result_is(context, expected):
    assert "=".join(context.bench.outcomes()[-1]) == expected, context.bench.outcomes()


@then("{count:d} slots are in use at once and none {later:g} s later")
def slots_then(context, count, later):
    assert context.end.slots_in_use == count, context.end
    assert context.later.slots_in_use == 0, context.later


@then("no more than {count:d} connections were open and {opened:d} were opened")
def connections_opened(context, count, opened):
    assert context.bench.searcher.peak_connections <= count
    assert len(context.bench.searcher.opened_at) == opened, context.bench.searcher.opened_at


@when('an action runs while the searcher\'s fault is "{fault}"')
@on_bench
async def act(context, bench, fault):
    bench.searcher.fault = lambda body: "" if fault == "none" else fault
    bench.searcher.reachable = fault != "unreachable"
    context.result = await bench.dispatcher.run_action(bench.order("a"))


@then('its outcome is "{outcome}" with code "{code}", and it was sent {count:d} times')
def check_action_outcome(context, outcome, code, count):
    result = context.result
    assert (result.outcome, result.code or "none") == (outcome, code), result
    assert context.bench.searcher.paths["/action"] == count


@then("nothing is sent after the lease has expired with {running:d} sent and {queued:d} queued")
@on_bench
async def lose_lease(context, bench, running, queued):
    await bench.warm_up()
    shards = [f"s{index}" for index in range(running + queued)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.dispatcher.run, bench.query("q", shards), bench.emit)
        await trio.sleep(0.005)
        bench.members.lease = 0.0
        context.before = len(bench.searcher.requests)
    await bench.dispatcher.run(bench.query("r", ["z"]), bench.emit)
    result = await bench.dispatcher.run_action(bench.order("a"))
    assert (result.outcome, result.code) == ("not_run", "no_quorum"), result
    await trio.sleep(5)
    context.after = len(bench.searcher.requests)
    assert context.before == context.after, context.bench.searcher.requests


@when("the requester abandons {count:d} sub-requests of {service:g} s after {after:g} s")
@on_bench
async def abandon_requests(context, bench, count, service, after):
    await bench.warm_up()
    bench.searcher.service_s = service
    shards = [f"s{index}" for index in range(count)]
    with trio.move_on_after(after):
        await bench.dispatcher.run(bench.query("q", shards, 1.5), bench.emit)
    context.counts = [bench.status().slots_in_use]
    for _ in range(4):
        await trio.sleep(0.45)
        context.counts.append(bench.status().slots_in_use)
    context.cancels = bench.searcher.paths["/cancel"]


@then('{cancels:d} cancellations were sent and the slots in use went "{counts}"')
def cancels_sent(context, cancels, counts):
    found = " ".join(map(str, context.counts))
    assert (context.cancels, found) == (cancels, counts), (context.cancels, found)


@then("a warm searcher that restarts between two bursts of {count:d} is not overloaded")
@on_bench
async def reboot(context, bench, count):
    await bench.warm_up()
    for number in range(2):
        shards = [f"s{index}" for index in range(count)]
        await bench.dispatcher.run(bench.query(f"q{number}", shards, 5.0), bench.emit)
        if not number:
            bench.searcher.service_s, bench.searcher.status_s = 0.03, 0.05
            await bench.searcher.reboot()
    context.end = bench.status()
    reasons = [reason for _, reason in context.bench.outcomes()]
    assert reasons.count("ok") == 2 * count, reasons
    assert context.bench.searcher.violations == 0
    assert context.bench.searcher.allowed, "the searcher did not restart"


@when("work arrives all the time and the searcher {action} after {seconds:d} s")
@on_bench
async def steady_work(context, bench, action, seconds):
    with trio.move_on_after(seconds + 6):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_steadily, bench)
            await trio.sleep(seconds)
            context.since = trio.current_time()
            ACTIONS[action](bench)
    context.state = bench.status().state
    context.times = [time for time, _, _ in bench.searcher.requests]


async def _send_steadily(bench):
    for number in range(10_000):
        await bench.dispatcher.run(bench.query(f"q{number}", ["a", "b"]), bench.emit)
        await trio.sleep(0.01)


def _leave_by_status(bench):
    bench.searcher.state, bench.searcher.announces = "leaving", ("status",)


def _leave_by_header(bench):
    bench.searcher.state, bench.searcher.announces = "leaving", ("header",)


def _take_out(bench):
    bench.edit(state="out")


ACTIONS = {
    "leaves by status": _leave_by_status,
    "leaves by header": _leave_by_header,
    "row is taken out": _take_out,
}


@then('it got work before, none after {seconds:g} s more, and is in state "{state}"')
def no_new_work(context, seconds, state):
    assert [time for time in context.times if time < context.since]
    late = [time - context.since for time in context.times if time > context.since + seconds]
    assert not late and context.state == state, (late, context.state)


@then("a server with {count:d} sub-requests in flight is held for its new owner until they end")
@on_bench
async def hand_over(context, bench, count):
    await bench.warm_up()
    bench.searcher.service_s = 0.5
    shards = [f"s{index}" for index in range(count + 1)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.dispatcher.run, bench.query("q", shards), bench.emit)
        await trio.sleep(0.1)
        assert bench.dispatcher.unreleased_servers() == ()
        bench.view(owned=False)
        context.holding = [bench.dispatcher.unreleased_servers()]
    await trio.sleep(0.01)
    context.holding.append(bench.dispatcher.unreleased_servers())
    context.open = bench.searcher.connections
    bench.view(owned=True)
    await bench.dispatcher.run(bench.query("r", ["z"]), bench.emit)
    assert context.holding == [("s1",), ()], context.holding
    assert context.open == 0, context.open


@then("a release with {count:d} sub-requests returns when they and the connections have ended")
@on_bench
async def release(context, bench, count):
    shards = [f"s{index}" for index in range(count)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.dispatcher.run, bench.query("q", shards), bench.emit)
        await trio.sleep(0.01)
        await bench.dispatcher.release("s1")
        context.open = bench.searcher.connections
        await bench.dispatcher.run(bench.query("r", ["z"]), bench.emit)
    assert context.open == 0, context.open


@when("{count:d} copies of a request that crashes its server run as canaries of kind {kind}")
@on_bench
async def run_crashing_canaries(context, bench, count, kind):
    bench.searcher.fault = lambda body: "crash"
    for number in range(count):
        name = "canary" if kind == "canary" else ("canary", "suspect")[number % 2]
        query = bench.query(f"q{number}", ["a"], 1.0, canary=True, kind=name)
        await bench.dispatcher.run(query, bench.emit)
        await trio.sleep(1)
    context.shared = bench.dispatcher.blocked()


@when("{count:d} copies of a request whose connection is cut run as canaries")
@on_bench
async def cut_canaries(context, bench, count):
    bench.searcher.fault = lambda body: "reset"
    await trio.sleep(2)
    for number in range(count):
        await bench.dispatcher.run(bench.query(f"q{number}", ["a"], 1.0, canary=True), bench.emit)
        await trio.sleep(1)
    context.shared = bench.dispatcher.blocked()


@then("it ran {count:d} times and {shared:d} entry is shared")
def check_canary_runs(context, count, shared):
    assert context.bench.searcher.paths["/search"] == count
    assert len(context.shared) == shared, context.shared


@when("the requester abandons a canary that crashes its server later")
@on_bench
async def abandoned_canary(context, bench):
    bench.searcher.fault = lambda body: "crash"
    bench.searcher.service_s = 0.2
    bench.searcher.ignores_cancel = True
    with trio.move_on_after(0.1):
        await bench.dispatcher.run(bench.query("q", ["a"], canary=True), bench.emit)
    await trio.sleep(1)
    context.shared = bench.dispatcher.blocked()


@given("a dispatcher for two servers of 3 slots in a domain of {cap:d}")
def shared_domain(context, cap):
    context.bench = bench = Bench(slots=3)
    servers = {name: bench.row._replace(name=name) for name in ("s1", "s2")}
    bench.table = bench.table._replace(domains={"d1": DomainRow("d1", cap)}, servers=servers)
    bench.configuration.set(Configuration(bench.table))


@when("one of them is taken out")
@on_bench
async def take_out_one(context, bench):
    context.limits = [bench.status().limit]
    out = {**bench.table.servers, "s2": bench.row._replace(name="s2", state="out")}
    bench.configuration.set(Configuration(bench.table._replace(revision=2, servers=out)))
    for pause in (0.5, 8.0, 2.0):
        await trio.sleep(pause)
        context.limits.append(bench.status().limit)


@then('the limit of the other one went "{limits}"')
def limits_went(context, limits):
    assert " ".join(map(str, context.limits)) == limits, context.limits


@then(
    "an instance that leaves a stream of {count:d} shards after the first result cancels the others"
)
@on_bench
async def leave_stream(context, bench, count):
    handlers = Handlers()
    bench.dispatcher.register(handlers)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    bench.searcher.fault = lambda body: "" if body["shard"] == "s0" else "hang"
    query = bench.query("q", [f"s{index}" for index in range(count)], 5.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_peers, handlers, listeners)
        async with open_link("127.0.0.1", port) as link:
            async with link.open_stream(query) as items:
                async for item in items:
                    await bench.emit(item)
                    break
            while bench.dispatcher.open_jobs or bench.status().slots_in_use:  # noqa: ASYNC110
                await trio.sleep(0.01)
            action = bench.order("a")
            bench.searcher.fault = lambda body: ""
            context.result = await link.call(action)
        nursery.cancel_scope.cancel()

    assert context.bench.searcher.paths["/cancel"] >= 1
    assert context.bench.outcomes() == [("s0", "ok")], context.bench.results
    assert context.result.outcome == "done", context.result
