"""Steps that send requests through relay instances with searchers and a store."""

import random
from collections import Counter
from functools import partial
from types import SimpleNamespace

import trio
from behave import given, then, when
from http_parsing_steps import ENDLESS

from rattanrelay.http import Response
from rattanrelay.http.plain import PlainStream
from rattanrelay.platform.documents import HEADERS
from rattanrelay.relay import (
    Catalog,
    ClientLimits,
    DeploymentState,
    Instance,
    Route,
    SearcherRecord,
    ServiceRow,
)
from rattanrelay.wire import FrameKind, FrameReader, GatheredParts, encode_frame
from tests.harness.relay_world import (
    BOUNDS,
    RelayWorld,
    StandInSearcher,
    free_port,
    run_on_mock_clock,
)

MODES = {
    "shed": "shed",
    "sheds": "shed",
    "reset after they ran a request": "reset",
    "resets after it ran a request": "reset",
    "send truncated answers": "truncate",
    "send unsigned answers": "unsigned",
    "send answers with an empty signature": "blank",
    "send extra answers": "extra",
    "sends late failures without an id": "stray failure",
    "fail": "fail",
}
#: Time that a wake-up may take on the mock clock, on which the loopback takes none.
WAKE_S = 0.03


def build(context, searchers, **options):
    """Create the world in which the next step runs."""
    context.world = RelayWorld(searchers, **options)
    context.searchers = list(context.world.searchers.values())
    context.prepare = []


def one_service(context, count, **options):
    searchers = [
        StandInSearcher(f"s{index}", "svc", "a", records=b"whole body", **options)
        for index in range(count)
    ]
    build(context, searchers)
    context.world.route("one", service="svc", timeout_ms=5000)
    context.world.route("once", service="svc", timeout_ms=5000, type="non_idempotent")
    context.world.route("short", service="svc", timeout_ms=400)


@given("a service with {count:d} good searchers")
def good_searchers(context, count):
    one_service(context, count)


@given("a service with {count:d} searchers of which one {fault}")
def one_faulty(context, count, fault):
    one_service(context, count)
    if fault == "was replaced at its address":
        context.prepare.append(lambda world: setattr(context.searchers[0], "name", "other"))
    else:
        context.searchers[0].mode = MODES[fault]


@given("a service with {count:d} searchers, one answering with {part} without an end")
def one_endless(context, count, part):
    one_service(context, count)
    answer_endlessly(context.searchers[0], part)


def answer_endlessly(searcher, part):
    """Let a searcher answer with repeated bytes until its connection is closed."""
    start, more = ENDLESS[part]
    searcher.mode = "endless"
    searcher.endless = (start, more * (4096 // len(more)))


@given("one searcher of each shard answers with a body without an end")
def endless_parts(context):
    for searcher in context.searchers:
        if searcher.name.endswith("-0"):
            answer_endlessly(searcher, "a body without a length")


@then("no endless response got further than {most:d} KiB")
def endless_ended(context, most):
    sent = [count for searcher in context.searchers for count in searcher.endless_sent]
    assert sent and max(sent) <= 1024 * most, sent


@given("a service with {count:d} searchers of which both {fault}")
def both_faulty(context, count, fault):
    one_service(context, count)
    if fault == "drain":
        context.prepare.append(drain_all)
        return
    if fault == "refuse connections":
        context.prepare.append(move_all)
        return
    for searcher in context.searchers:
        searcher.mode = MODES[fault]


def drain_all(world):
    for searcher in world.searchers.values():
        world.store.write(f"servers/{searcher.name}", searcher.entry(state="draining"))


def move_all(world):
    """Write entries with addresses at which nothing listens."""
    for searcher in world.searchers.values():
        entry = searcher.entry(address=f"127.0.0.1:{free_port()}")
        world.store.write(f"servers/{searcher.name}", entry)


@given("{count:d} extra requests were sent in the last seconds")
def extras_sent(context, count):
    def send(world):
        window = world.daemons["entry-1"].deployment.extra_window("svc")
        for _ in range(count):
            assert window.reserve(trio.current_time(), BOUNDS.extra, 1, hedge=False)

    context.prepare.append(send)


@then("the {count:d} extra requests still count")
def extras_count(context, count):
    window = context.world.daemons["entry-1"].deployment.extra_window("svc")
    assert len(window.extras) == count, window.extras


@given("a service with 1 cold searcher that states no rate")
def cold_searcher(context):
    cold_service(context, 0.0)


@given("a service with 1 cold searcher that states a rate of {rate:g} a second")
def cold_searcher_with_rate(context, rate):
    cold_service(context, rate)


def cold_service(context, rate):
    one_service(context, 1)

    def chill(world):
        world.configure(warmup_per_s=rate)
        (searcher,) = world.searchers.values()
        world.store.write(f"servers/{searcher.name}", searcher.entry(warmup_left_ms=30_000))

    context.prepare.append(chill)


@when("clients ask {count:d} times at once")
def ask_at_once(context, count):
    async def scenario():
        async with context.world.open() as world:
            for action in context.prepare:
                action(world)
            await trio.sleep(0.5)
            async with trio.open_nursery() as clients:
                for _ in range(count):
                    clients.start_soon(partial(world.ask, "one", deadline_ms=800))

    run_on_mock_clock(scenario)


@then("the searcher got {count:d} requests")
def searcher_got(context, count):
    (searcher,) = context.searchers
    assert len(searcher.arrivals) == count, len(searcher.arrivals)


@given("a service with 1 searcher that needs 5 s")
def slow_service(context):
    one_service(context, 1, work=5.0)


@given("two services with weights 3 and 1")
def two_services(context):
    build(context, [StandInSearcher(name, name, "a") for name in ("first", "second")])
    parts = [{"service": "first", "weight": 3}, {"service": "second", "weight": 1}]
    context.world.route("one", traffic_split=parts)


async def send_requests(context, count, route="one", **options):
    """Open the world, send requests one after the other, and keep the responses and durations."""
    context.replies, context.seconds = [], []
    async with context.world.open() as world:
        for action in context.prepare:
            action(world)
        await trio.sleep(0.5)
        for _ in range(count):
            started = trio.current_time()
            context.replies.append(await world.ask(route, **options))
            context.seconds.append(trio.current_time() - started)
        await trio.sleep(1.0)


@when("a client posts a body")
def post_body(context):
    run_on_mock_clock(lambda: send_requests(context, 1, method="POST", body=b"some bytes"))


@when("a client asks with a deadline of {deadline:d} ms")
def ask_deadline(context, deadline):
    run_on_mock_clock(lambda: send_requests(context, 1, deadline_ms=deadline))


@when("a client asks with a deadline of {deadline:d} ms on a route with a time limit of 400 ms")
def ask_limited(context, deadline):
    run_on_mock_clock(lambda: send_requests(context, 1, route="short", deadline_ms=deadline))


@when("a client asks for an unknown path")
def ask_unknown(context):
    run_on_mock_clock(lambda: send_requests(context, 1, route="nowhere"))


@when("a client asks once")
def ask_once(context):
    run_on_mock_clock(lambda: send_requests(context, 1))


@when("a client asks {count:d} times")
def ask_times(context, count):
    run_on_mock_clock(lambda: send_requests(context, count))


@when("a client asks once with a non-idempotent request")
def ask_non_idempotent(context):
    run_on_mock_clock(lambda: send_requests(context, 1, route="once", method="POST", body=b"x"))


@when("a client asks {count:d} times with a non-idempotent request")
def ask_many_non_idempotent(context, count):
    run_on_mock_clock(lambda: send_requests(context, count, route="once", method="POST", body=b"x"))


@when("a client asks and leaves after 100 ms")
def ask_and_leave(context):
    async def scenario():
        async with context.world.open() as world:
            with trio.move_on_after(0.1):
                await world.ask("one", deadline_ms=4000)
            context.left_at = trio.current_time()
            await trio.sleep(0.5)
            context.cancelled = len(context.searchers[0].cancelled)

    run_on_mock_clock(scenario)


@then("the searcher got the same method, path, query, body and request id")
def same_request(context):
    requests = [request for searcher in context.searchers for request in searcher.requests]
    (request,) = requests
    request_id, _ = context.replies[0]
    assert (request.method, request.target, request.body) == ("POST", "/one/x?y=1", b"some bytes")
    assert request.headers[HEADERS.request_id] == request_id


@then("the client gets the searcher's status, body and signature")
def same_answer(context):
    request_id, response = context.replies[0]
    signatures = {searcher.signature(request_id) for searcher in context.searchers}
    assert response.status == 200 and response.body == b"whole body"
    assert response.headers[HEADERS.signature] in signatures


@then("the searcher's deadline is at most {most:d} ms and at least {least:d} ms")
def searcher_deadline(context, most, least):
    requests = [request for searcher in context.searchers for request in searcher.requests]
    assert requests
    for request in requests:
        assert least <= int(request.headers[HEADERS.deadline_ms]) <= most


def runs_of(context, request_id):
    return sum(searcher.ran.count(request_id) for searcher in context.searchers)


@then("it gets status {status:d} and no searcher ran it")
def status_unrun(context, status):
    for request_id, response in context.replies:
        assert response.status == status, response
        assert runs_of(context, request_id) == 0


@then("it gets status {status:d} with a Retry-After and no searcher ran it")
def status_retry(context, status):
    status_unrun(context, status)
    assert float(context.replies[0][1].headers["retry-after"]) > 0.0


@then("it gets status {status:d} each time")
def status_each(context, status):
    assert [response.status for _, response in context.replies] == [status] * len(context.replies)


@then("it gets status {status:d} each time and each request ran once")
def status_each_once(context, status):
    status_each(context, status)
    assert {runs_of(context, request_id) for request_id, _ in context.replies} == {1}


@then("it gets status {status:d} each time and each response has the request's own signature")
def status_each_own(context, status):
    status_each(context, status)
    for request_id, response in context.replies:
        assert response.headers[HEADERS.signature].endswith(f".{request_id}")


@then("it gets status {status:d} and the request ran once")
def status_ran_once(context, status):
    ((request_id, response),) = context.replies
    assert response.status == status, response
    assert "retry-after" not in response.headers
    assert runs_of(context, request_id) == 1


@then("it gets status {status:d} with the signature of a searcher")
def status_signed(context, status):
    ((request_id, response),) = context.replies
    assert response.status == status and response.body == b"broken"
    signatures = {searcher.signature(request_id) for searcher in context.searchers}
    assert response.headers[HEADERS.signature] in signatures


@then("it gets status {status:d} within {limit:d} ms")
def status_within(context, status, limit):
    assert [response.status for _, response in context.replies] == [status]
    assert context.seconds[0] <= limit / 1000 + WAKE_S, context.seconds


@then("the searcher's work ends within 500 ms")
def work_ends(context):
    assert context.cancelled == 1


@then("the first service ran {first:d} and the second {second:d}")
def split_runs(context, first, second):
    assert [len(searcher.ran) for searcher in context.searchers] == [first, second]


def shards(context, count, copies, *, zones=("a",), instances=(("entry-1", "a"),), work=0.0165):
    rng = random.Random(7)
    searchers = []
    for shard in range(count):
        for copy in range(copies):
            records = b"".join(rng.randbytes(16) for _ in range(25))
            searcher = StandInSearcher(
                f"s{shard}-{copy}",
                f"shard{shard}",
                zones[copy % len(zones)],
                records=records,
                work=work * rng.choice([0.8, 1.0, 1.3]),
            )
            searcher.phase = rng.uniform(0.0, 3.0)
            searchers.append(searcher)
    build(context, searchers, instances=instances)
    context.set = [f"shard{shard}" for shard in range(count)]
    context.world.route(
        "all",
        gather=context.set,
        top_k=20,
        min_shard_ratio=0.89,
        target_latency_ms=118,
        timeout_ms=1000,
    )


@given("{count:d} shards with {copies:d} searchers each")
def plain_shards(context, count, copies):
    shards(context, count, copies)


@given("{count:d} shards with {copies:d} searchers each, which pause for 120 ms every 3 s")
def pausing_shards(context, count, copies):
    shards(context, count, copies)
    for searcher in context.searchers:
        searcher.pause = 0.12


@given("{count:d} shards with {copies:d} searchers each, of which one in seven is ten times slower")
def slow_shards(context, count, copies):
    shards(context, count, copies)
    for searcher in context.searchers[::7]:
        searcher.work *= 10.0


def remove_shards(world, names):
    for searcher in list(world.searchers.values()):
        if searcher.service in names:
            world.store.write(f"servers/{searcher.name}", searcher.entry(state="draining"))


@given("one shard has no searchers left")
def one_empty_shard(context):
    context.prepare.append(lambda world: remove_shards(world, {"shard3"}))


@given("3 shards have no searchers left")
def three_empty_shards(context):
    context.prepare.append(lambda world: remove_shards(world, {"shard3", "shard4", "shard5"}))


@given("both searchers of one shard hang")
def shard_hangs(context):
    for searcher in context.searchers[:2]:
        searcher.work = 30.0


@given("one searcher of a shard hangs")
def searcher_hangs(context):
    context.searchers[0].work = 30.0


@when("a client gathers")
def gather_once(context):
    run_on_mock_clock(lambda: send_requests(context, 1, route="all"))


def expected_records(context, request_id, signatures):
    by_signature = {searcher.signature(request_id): searcher for searcher in context.searchers}
    records = []
    for signature in signatures:
        body = by_signature[signature].records
        records += [body[start : start + 16] for start in range(0, len(body), 16)]
    return b"".join(sorted(records, reverse=True)[:20])


def signatures_of(response: Response) -> list[str]:
    return [part.strip() for part in response.headers[HEADERS.part_signatures].split(",")]


@then(
    "the response has {parts:d} parts, misses {missing:d} "
    "and holds the greatest records of its parts"
)
def merged_answer(context, parts, missing):
    ((request_id, response),) = context.replies
    assert response.status == 200, response
    signatures = signatures_of(response)
    assert len(set(signatures)) == len(signatures) == parts
    assert int(response.headers[HEADERS.missing_shards]) == missing
    assert response.body == expected_records(context, request_id, signatures)


@when("clients gather {rate:d} times a second for {seconds:d} s")
def gather_load(context, rate, seconds):
    async def one(world):
        started = trio.current_time()
        reply = await world.ask("all")
        context.replies.append(reply)
        context.seconds.append(trio.current_time() - started)

    async def scenario():
        context.replies, context.seconds = [], []
        async with context.world.open() as world, trio.open_nursery() as clients:
            for _ in range(rate * seconds):
                clients.start_soon(one, world)
                await trio.sleep(1.0 / rate)

    run_on_mock_clock(scenario)


@given(
    "{count:d} shards with a searcher in each of domains a and b, "
    "which close idle connections after {idle:d} s"
)
def shards_with_idle_timeout(context, count, idle):
    shards(context, count, 2, zones="ab", work=0.0057)
    for searcher in context.searchers:
        searcher.connect_time = 0.006
        searcher.keep_alive = idle
    context.world.routes[-1]["target_latency_ms"] = 58


@given("{count:d} instances in each of domains a, b and c")
def fleet_of_three_domains(context, count):
    context.world.domains = {
        f"entry-{place}{number}": place for place in "abc" for number in range(count)
    }


@when("callers gather {rate:d} times a second for {seconds:d} s, each at another instance")
def gather_spread(context, rate, seconds):
    async def one(world, at):
        started = trio.current_time()
        context.replies.append(await world.ask("all", at=at))
        context.seconds.append(trio.current_time() - started)

    async def scenario():
        context.replies, context.seconds = [], []
        async with context.world.open() as world:
            await trio.sleep(12.0)
            before = sum(searcher.connections for searcher in context.searchers)
            names = list(world.domains)
            async with trio.open_nursery() as clients:
                for number in range(rate * seconds):
                    clients.start_soon(one, world, names[number * 7 % len(names)])
                    await trio.sleep(1.0 / rate)
            context.opened = sum(searcher.connections for searcher in context.searchers) - before

    run_on_mock_clock(scenario)


@then("at most {share:d} of 100 requests to searchers opened a connection")
def few_opened(context, share):
    sent = sum(len(searcher.arrivals) for searcher in context.searchers)
    assert context.opened * 100 <= share * sent, (context.opened, sent)


@then("{share:d} of 100 responses come within the target of {target:d} ms")
def within_target(context, share, target):
    good = [
        seconds
        for seconds, (_, response) in zip(context.seconds, context.replies, strict=True)
        if response.status == 200 and seconds <= target / 1000
    ]
    assert len(good) * 100 >= share * len(context.seconds), (len(good), len(context.seconds))


@then("no shard got more extra requests than its budget")
def extra_budget(context):
    limits = BOUNDS.extra
    arrivals: dict[str, list[tuple[float, str]]] = {}
    for searcher in context.searchers:
        arrivals.setdefault(searcher.service, []).extend(searcher.arrivals)
    for rows in arrivals.values():
        rows.sort()
        seen, extras, firsts = set(), [], []
        for at, request_id in rows:
            (extras if request_id in seen else firsts).append(at)
            seen.add(request_id)
        for end in extras:
            start = end - limits.window
            within = sum(start <= at <= end for at in extras)
            paid = sum(start <= at <= end for at in firsts)
            assert within <= limits.ratio * paid + limits.floor


@then("the response comes within the target of {target:d} ms and misses {missing:d}")
def in_target(context, target, missing):
    ((_, response),) = context.replies
    assert response.status == 200, response
    assert context.seconds[0] <= target / 1000, context.seconds
    assert int(response.headers[HEADERS.missing_shards]) == missing


@then("no request reached more than {most:d} searchers of a shard")
def attempts_kept(context, most):
    reached = Counter()
    for searcher in context.searchers:
        for request_id in {request_id for _, request_id in searcher.arrivals}:
            reached[searcher.service, request_id] += 1
    assert max(reached.values()) <= most


@then("no searcher is still at work after 500 ms")
def none_at_work(context):
    for searcher in context.searchers:
        assert len(searcher.ran) == len(searcher.finished) + len(searcher.cancelled)


@when("the shards are replaced by {count:d} others while clients gather")
def reshard(context, count):
    new = [
        StandInSearcher(f"n{index}-{copy}", f"new{index}", "a", records=bytes(16))
        for index in range(count)
        for copy in range(2)
    ]

    async def one(world):
        context.replies.append(await world.ask("all"))

    async def scenario():
        context.replies = []
        async with context.world.open() as world:
            for searcher in new:
                await world.add(searcher)
            await trio.sleep(1.0)
            async with trio.open_nursery() as clients:
                for number in range(60):
                    clients.start_soon(one, world)
                    await trio.sleep(0.05)
                    if number == 20:
                        names = [f"new{index}" for index in range(count)]
                        world.routes[0]["gather"] = names
                        world.configure()
                    if number == 50:
                        remove_shards(world, set(context.set))

    run_on_mock_clock(scenario)
    context.sets = [set(context.set), {f"new{index}" for index in range(count)}]


@then("each response names parts of one of the two sets")
def one_set(context):
    used = []
    for request_id, response in context.replies:
        assert response.status == 200, response
        service_of = {
            searcher.signature(request_id): searcher.service
            for searcher in context.world.searchers.values()
        }
        services = [service_of[signature] for signature in signatures_of(response)]
        missing = int(response.headers[HEADERS.missing_shards])
        (found,) = [one for one in context.sets if set(services) <= one]
        assert len(set(services)) == len(services) and len(services) + missing == len(found)
        used.append(context.sets.index(found))
    assert set(used) == {0, 1}, "both versions were used"


TWO_INSTANCES = (("entry-1", "a"), ("entry-2", "b"))


@given("{count:d} shards with searchers in domain b, an instance in a and one in b")
def remote_shards(context, count):
    shards(context, count, 2, zones=("b",), instances=TWO_INSTANCES)


@given("20 shards with 3 searchers in domain b, an instance in a and one in b")
def remote_shards_with_three(context):
    shards(context, 20, 3, zones=("b",), instances=TWO_INSTANCES)


@given("all searchers hang")
def all_hang(context):
    for searcher in context.searchers:
        searcher.work = 30.0


@given("two searchers of each shard hang")
def two_hang(context):
    for searcher in context.searchers:
        if not searcher.name.endswith("-2"):
            searcher.work = 30.0


@when("a client gathers {count:d} times at the instance in a")
def gather_times(context, count):
    run_on_mock_clock(lambda: send_requests(context, count, route="all"))


@then(
    "the last {count:d} responses have {parts:d} parts or more within the target of {target:d} ms"
)
def last_answers(context, count, parts, target):
    found = []
    for seconds, (_, response) in list(zip(context.seconds, context.replies, strict=True))[-count:]:
        shard_count = len(signatures_of(response)) if response.status == 200 else 0
        found.append((response.status, shard_count, seconds))
    assert all(
        shard_count >= parts and seconds <= target / 1000 for _, shard_count, seconds in found
    ), found


@given("all searchers shed")
def all_shed(context):
    for searcher in context.searchers:
        searcher.mode = "shed"


@given("the instance in b does not know the first searcher of each shard")
def unknown_searchers(context):
    def forget(world):
        deployment = world.daemons["entry-2"].deployment
        for shard in context.set:
            name = f"s{shard.removeprefix('shard')}-0"
            searcher = deployment.searchers.pop(name)
            deployment.by_service[shard].remove(searcher)

    context.prepare.append(forget)


@when("the instance in b is killed while it gathers for the one in a")
def killed_while_gathering(context):
    async def scenario():
        async with context.world.open() as world:
            for action in context.prepare:
                action(world)
            async with trio.open_nursery() as clients:
                clients.start_soon(world.ask, "all")
                # By then the instance in b has sent its hedges.
                await trio.sleep(0.08)
                world.kill("entry-2")

    run_on_mock_clock(scenario)


@when("the instance in b leaves the list while it gathers for the one in a")
def unlisted_while_gathering(context):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(0.5)

            async def one():
                context.replies = [await world.ask("all")]

            async with trio.open_nursery() as clients:
                clients.start_soon(one)
                await trio.sleep(0.008)
                world.daemons["entry-1"].peers.update_instances([])

    run_on_mock_clock(scenario)


@when("a client gathers at the instance in a")
def gather_remote(context):
    run_on_mock_clock(lambda: send_requests(context, 1, route="all"))


@then("the instance in a sent no request to a searcher")
def none_sent(context):
    daemon = context.world.daemons["entry-1"]
    searchers = daemon.deployment.searchers.values()
    assert searchers and all(searcher.open_connections == 0 for searcher in searchers)


@when("the instance in b is killed and a client gathers at the instance in a")
def gather_after_kill(context):
    context.prepare.append(lambda world: world.kill("entry-2"))
    run_on_mock_clock(lambda: send_requests(context, 1, route="all"))


@given("60 shards with searchers in domain b, an instance in a and three in b")
def remote_shards_three_instances(context):
    places = (("entry-1", "a"), ("entry-2", "b"), ("entry-3", "b"), ("entry-4", "b"))
    shards(context, 60, 2, zones=("b",), instances=places)


@then("it sent requests for at most {count:d} shards in any {span:d} ms")
def suspected_in_turn(context, count, span):
    arrivals = sorted(at for searcher in context.searchers for at, _ in searcher.arrivals)
    assert len(arrivals) >= 3 * count, len(arrivals)
    for start in arrivals:
        within = sum(start <= at <= start + span / 1000 for at in arrivals)
        assert within <= count, within


@when("the instance in b is silent and a client gathers at the instance in a")
@when("the instances in b are silent and a client gathers at the instance in a")
def gather_beside_silent(context):
    async def scenario():
        async with context.world.open() as world:
            port = free_port()
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            names = [name for name in world.daemons if name != "entry-1"]
            peers = world.daemons["entry-1"].peers
            peers.update_instances([Instance(name, "127.0.0.1", port, "b") for name in names])
            world._nursery.start_soon(trio.serve_listeners, swallow, listeners)
            started = trio.current_time()
            context.replies = [await world.ask("all")]
            context.seconds = [trio.current_time() - started]

    async def swallow(stream):
        while await stream.receive_some(65536):
            pass

    run_on_mock_clock(scenario)


@when("the instance in a is busy for {busy:d} ms while the first message of the one in b arrives")
def busy_at_first_message(context, busy):
    _gather_at_stand_in(context, lambda message: 0.01, busy / 1000)


@when(
    "both have half a core, and the first message of the one in b comes {late:d} ms later than "
    "planned"
)
def late_first_message(context, late):
    context.world.cores = 0.5
    _gather_at_stand_in(context, lambda message: message.first_us / 1e6 + late / 1000, 0.0)


def _gather_at_stand_in(context, first_after, busy):
    """Gather through a stand-in whose first message comes `first_after` its question, in seconds.

    This instance is busy for `busy` seconds when it comes.
    """

    async def scenario():
        async with context.world.open() as world:
            port = free_port()
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            peers = world.daemons["entry-1"].peers
            peers.update_instances([Instance("entry-2", "127.0.0.1", port, "b")])
            world._nursery.start_soon(trio.serve_listeners, gather_late, listeners)
            with trio.move_on_after(0.09):
                await world.ask("all")

    async def gather_late(stream):
        reader, stream = FrameReader(), PlainStream.adopt(stream)
        while data := await stream.receive_some(65536):
            for frame in reader.feed(data):
                if frame.kind is FrameKind.STREAM:
                    await trio.sleep(first_after(frame.message))
                    first = encode_frame(FrameKind.ITEM, frame.call_id, GatheredParts(()))
                    stream.socket.send(first)
                    trio.lowlevel.current_clock().jump(busy)

    run_on_mock_clock(scenario)


@when("the store refuses the calls of the instance in a and the configuration adds a route")
def refused_by_store(context):
    async def scenario():
        async with context.world.open() as world:
            refused = world.daemons["entry-1"]
            world.store.set_mode("refuse", "entry-1")
            await trio.sleep(5.0)
            world.route("added", service="shard0")
            world.configure()
            await trio.sleep(3.0)
            context.reply = await world.ask("added")
            context.state = SimpleNamespace(
                unavailable=refused.deployment.store_available_since is None
            )

    run_on_mock_clock(scenario)


@then("the instance in a serves the new route within 3 s")
def serves_new_route(context):
    assert context.state.unavailable
    assert context.reply[1].status == 200, context.reply


@when("the searchers of another set start")
def other_set_starts(context):
    new = [StandInSearcher(f"n{index}", f"new{index}", "a") for index in range(30)]

    async def scenario():
        async with context.world.open() as world:
            for searcher in new:
                await world.add(searcher)
            await trio.sleep(2.0)
            context.connections = [searcher.connections for searcher in new]

    run_on_mock_clock(scenario)


@then("the instance has a connection to each of them within 2 s")
def all_connected(context):
    assert context.connections == [1] * 30, context.connections


@given("an instance of 85 knows 90 shards with 3 searchers of 64 connections")
def large_fleet(context):
    context.deployment = deployment = DeploymentState("entry-0", "a", HEADERS, BOUNDS)
    shards = tuple(f"shard{index}" for index in range(90))
    route = Route("all", "test.example", "/", True, 1.0, 0.1, 1, 2, shards=shards)
    services = {name: ServiceRow(name, 64, None) for name in shards}
    services["one"] = ServiceRow("one", 570, None)
    deployment.apply_catalog(Catalog(1, {"test.example": (route,)}, services, ClientLimits()))
    for shard in shards:
        for domain in "abc":
            record = SearcherRecord(
                f"{shard}-{domain}", shard, "127.0.0.1", 1, domain, 2, False, 0.0, 0
            )
            deployment.apply_record(record, 0.0)
    deployment.update_instances({f"entry-{index}": "abc"[index % 3] for index in range(85)}, 0.0)
    deployment.update_own_shards(0.0)


@then("it may have {own:d} connections to a searcher of its own shards and {others:d} to others")
def own_connections(context, own, others):
    deployment = context.deployment
    limits = {
        name: deployment.connection_limit(deployment.catalog.services[name])
        for name in deployment.by_service
    }
    assert 5 <= len(deployment.own_shards) <= 15, deployment.own_shards
    for name, limit in limits.items():
        assert limit == (own if name in deployment.own_shards else others), (name, limit)


@then("it may have {count:d} connections to a searcher of a service with 570 connections")
def single_connections(context, count):
    deployment = context.deployment
    assert deployment.connection_limit(deployment.catalog.services["one"]) == count
