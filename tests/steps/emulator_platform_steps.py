"""Steps for the emulated store, network, balancer, instance list, and their processes."""

import json
import random

import msgspec
import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from trio.testing import MockClock

from rattanrelay.emulator.balancer import Balancer
from rattanrelay.emulator.config import (
    BalancerConfig,
    InstanceListConfig,
    ProxyConfig,
    StoreConfig,
)
from rattanrelay.emulator.endpoint import Endpoint
from rattanrelay.emulator.faultproxy import ProxyFaults, ProxyRoute
from rattanrelay.emulator.instances import InstanceList
from rattanrelay.emulator.store import KeyValueStore, StoreFaults
from rattanrelay.emulator.store_data import Stored, StoreData
from rattanrelay.errors import RelayError
from rattanrelay.http import HttpConnection, Request, Response
from rattanrelay.store import StoreClient
from rattanrelay.table import decode_catalog
from tests.harness import Fleet, HarnessError, Processes, free_ports, wait_until
from tests.harness.client import ControlClient, http_call

UNIX_START_S = 1_800_000_000.0
HANG_LIMIT_S = 100.0
IDLE_S = 0.05
HOST = "127.0.0.1"


def unix_now():
    return UNIX_START_S + trio.current_time()


def check_equal(found, expected):
    assert found == expected, f"found {found!r}, expected {expected!r}"


def on_mock_clock(make, flow):
    """Run a flow with the service that `make` creates inside the run; returns its result."""

    async def main():
        service = make()
        with trio.fail_after(HANG_LIMIT_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(service.run)
                result = await flow(service)
                nursery.cancel_scope.cancel()
        return result

    return trio.run(main, clock=MockClock(autojump_threshold=IDLE_S))


async def outcome_of(call):
    """Return the result of a store call, or the `code/ran` of its error."""
    try:
        return await call
    except RelayError as error:
        return f"{error.code}/{error.ran}"


# Store


def run_store(context, flow, **config):
    """Run a flow `(store, client)` against a new store; keeps the store and the result."""

    async def with_client(store):
        context.store = store
        store.set_faults(msgspec.convert(getattr(context, "store_faults", {}), StoreFaults))
        return await flow(store, StoreClient(HOST, store.endpoint.port.port))

    context.result = on_mock_clock(
        lambda: KeyValueStore(StoreConfig(**config), unix_now), with_client
    )


@given("store faults {faults}")
def store_faults(context, faults):
    context.store_faults = json.loads(faults)


@given("a key with a value that changes every 100 ms")
def changing_key(context):
    async def write(store):
        for number in range(1, 6):
            store.put("key", b"value-%d" % number)
            await trio.sleep(0.1)

    context.write = write


@when("a key is created, created again, swapped, swapped with the old version and removed")
def swaps(context):
    async def flow(store, client):
        seen = [
            await outcome_of(client.put("a/b c", b"1", 0)),
            await outcome_of(client.put("a/b c", b"2", 0)),
            await outcome_of(client.put("a/b c", b"3", 1)),
            await outcome_of(client.put("a/b c", b"4", 1)),
        ]
        check_equal(await client.get("a/b c"), ("a/b c", b"3", 2))
        await client.delete("a/b c", 2)
        return [*seen, store.data.get("a/b c")]

    run_store(context, flow)


@then("the results are version 1, conflict, version 2, conflict, absent")
def swap_results(context):
    conflict = "version_conflict/not_run"
    expected = [("a/b c", b"1", 1), conflict, ("a/b c", b"3", 2), conflict, None]
    check_equal(context.result, expected)


@then("the counted calls are {expected}")
def counted_calls(context, expected):
    check_equal(dict(context.store.log.counts), json.loads(expected))


@when("a watch waits while another key and then its key change")
def watch_waits(context):
    async def flow(store, client):
        seen = []

        async def watch():
            seen.append(await client.watch("key", 0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(1)
            await client.put("other", b"x", None)
            await trio.sleep(1)
            check_equal(seen, [])
            await client.put("key", b"y", None)
        return seen

    run_store(context, flow)


@then("the watch returns the change of its key")
def watch_result(context):
    check_equal(context.result, [("key", b"y", 2)])


@when("a watch of 20 s on an unchanged key is made")
def unchanged_watch(context):
    async def flow(store, client):
        store.put("key", b"x")
        connection = await HttpConnection.open(HOST, store.endpoint.port.port)
        request = Request("GET", "/v1/watch/key?after=1&timeout=20")
        response = await connection.request(request)
        return response.status, round(trio.current_time(), 3)

    run_store(context, flow)


@then("it ends with 204 after 20 s")
def watch_ended(context):
    check_equal(context.result, (204, 20.0))


@when("a key is written and read back")
def write_and_read(context):
    async def flow(store, client):
        written = await outcome_of(client.put("key", b"x", 0))
        return written, await client.get("key")

    run_store(context, flow)


@then("the write is store_unavailable and may have run")
def write_unknown(context):
    check_equal(context.result[0], "store_unavailable/unknown")


@then("the value read is the written one")
def value_written(context):
    check_equal(context.result[1], ("key", b"x", 1))


@when("a key is written, the fault ends and the key is read")
def write_while_down(context):
    async def flow(store, client):
        written = await outcome_of(client.put("key", b"x", 0))
        store.set_faults(StoreFaults())
        await trio.sleep(0.5)
        return written, await client.get("key")

    run_store(context, flow)


@then("the write is store_unavailable")
def write_unavailable(context):
    assert context.result[0].startswith("store_unavailable"), context.result


@then("the key is absent")
def key_absent(context):
    check_equal(context.result[1], None)


@when("a key is written and looked at after 100 ms")
def late_write(context):
    async def flow(store, client):
        stored = []

        async def look():
            await trio.sleep(0.1)
            stored.append(store.data.get("key"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(look)
            await client.put("key", b"x", 0)
        return stored, round(trio.current_time(), 3)

    run_store(context, flow)


@then("the effect is there and the answer comes after 400 ms")
def late_answer(context):
    check_equal(context.result, ([Stored(b"x", 1)], 0.4))


@when("it is read with data that is 250 ms old")
def stale_read(context):
    async def flow(store, client):
        await context.write(store)
        store.set_faults(StoreFaults(stale_ms=250))
        return await client.get("key")

    run_store(context, flow)


@then("the value of that time is returned")
def stale_value(context):
    # At the read, values 5, 4 and 3 are 100, 200 and 300 ms old.
    check_equal(context.result, ("key", b"value-3", 3))


@when("the store returns to the second version while a watch waits")
def restore_backup(context):
    async def flow(store, client):
        await context.write(store)
        seen = []

        async def watch():
            seen.append(await client.watch("key", 5))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(1)
            store.roll_back(2)
        return seen[0], (await client.put("key", b"new", 2)).version

    run_store(context, flow)


@then("the watch returns the second version")
def watch_of_rollback(context):
    check_equal(context.result[0], ("key", b"value-2", 2))


@then("the next write gets version 3")
def version_again(context):
    check_equal(context.result[1], 3)


@when("5 reads are made at once with a limit of 3 a second, and 3 a second later")
def limited_reads(context):
    async def flow(store, client):
        async def burst(count):
            seen = []

            async def read():
                seen.append(await outcome_of(client.get("key")))

            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(read)
            return sum(one is not None for one in seen)

        first = await burst(5)
        await trio.sleep(1.01)
        return first, await burst(3), store.log.limited["read"]

    run_store(context, flow, read_rate=3)


@then("2 of the first reads and none of the later ones are refused")
def refused_reads(context):
    check_equal(context.result, (2, 0, 2))


@when("two holders ask for a lease of 2 s, the first renews it once and then pauses")
def lease_calls(context):
    async def flow(store, client):
        connection = await HttpConnection.open(HOST, store.endpoint.port.port)

        async def lease(**body):
            data = json.dumps({"ttl": 2, **body}).encode()
            return await connection.request(Request("POST", "/v1/leases", body=data))

        first = await lease(name="watcher", holder="a")
        seen = [first.status, (await lease(name="watcher", holder="b")).status]
        await trio.sleep(1.5)
        number = first.json()["lease"]
        seen.append((await lease(lease=number)).status)
        await trio.sleep(1.9)
        seen.append((await lease(name="watcher", holder="b")).status)
        await trio.sleep(0.2)
        seen.append((await lease(name="watcher", holder="b")).status)
        return [*seen, (await lease(lease=number)).status]

    run_store(context, flow)


@then("the second holder gets it 2 s after the renewal, and the first cannot renew")
def lease_results(context):
    check_equal(context.result, [200, 409, 200, 409, 200, 404])


@then("reads of the past and rollbacks agree with the model for random writes")
def history_agrees(context):
    keys = st.sampled_from("abc")
    writes = st.lists(st.tuples(keys, st.booleans()), min_size=1, max_size=20)

    @settings(max_examples=60)
    @for_all(writes, st.integers(0, 20), st.integers(0, 20))
    def agree(operations, past, target):
        data = StoreData()
        states = [{}]
        versions = [0]
        for time, (key, remove) in enumerate(operations, start=1):
            if remove:
                assert data.delete(key, None, float(time))
            else:
                data.put(key, b"%d" % time, None, float(time))
            states.append(dict(data.values))
            versions.append(data.version)
        past, target = min(past, len(operations)), min(target, len(operations))
        for key in "abc":
            check_equal(data.get_as_of(key, past + 0.5), states[past].get(key))
        data.roll_back(versions[target], reuse_versions=True)
        check_equal((data.values, data.version), (states[target], versions[target]))

    agree()


# Network


class Echo:
    """A TCP server that returns what it receives, behind a proxy route."""

    def __init__(self):
        self.received = bytearray()
        self.route = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            [listener] = await trio.open_tcp_listeners(0, host=HOST)
            port = listener.socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, self._serve, [listener])
            self.route = ProxyRoute(ProxyConfig(name="route", target=f"{HOST}:{port}"))
            await nursery.start(self.route.run)
            task_status.started()

    async def connect(self, source=HOST):
        return await trio.open_tcp_stream(HOST, self.route.port.port, local_address=source)

    async def _serve(self, stream):
        try:
            async for data in stream:
                self.received += data
                await stream.send_all(data)
        except trio.BrokenResourceError:
            return


async def exchange(stream, data):
    """Send data and an end of stream; returns what was received and whether a reset ended it."""
    echoed = bytearray()

    async def send():
        try:
            await stream.send_all(data)
            await stream.send_eof()
        except trio.BrokenResourceError:
            return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        try:
            async for part in stream:
                echoed += part
        except trio.BrokenResourceError:
            return bytes(echoed), True
    return bytes(echoed), False


@given("route faults {faults}")
def route_faults(context, faults):
    context.route_faults = json.loads(faults)


def run_echo(context, flow):
    async def with_faults(echo):
        context.echo = echo
        faults = getattr(context, "route_faults", {})
        echo.route.set_faults(msgspec.convert(faults, ProxyFaults))
        return await flow(echo)

    context.result = on_mock_clock(Echo, with_faults)


@when("{size:d} random bytes are sent through a route to an echo")
def send_random(context, size):
    context.data = random.Random(5).randbytes(size)

    async def flow(echo):
        return await exchange(await echo.connect(), context.data)

    run_echo(context, flow)


@then("the echo is the same bytes")
def same_echo(context):
    check_equal(context.result, (context.data, False))


@then("the {end} received exactly the first {count:d} bytes before the reset")
def cut_exactly(context, end, count):
    echoed, was_reset = context.result
    assert was_reset
    received = bytes(context.echo.received) if end == "target" else echoed
    check_equal(received, context.data[:count])
    check_equal(context.echo.route.bytes[f"to_{end}"], count)


@when("the route gets a black hole {direction} and a request is sent")
def black_hole(context, direction):
    async def flow(echo):
        stream = await echo.connect()
        await stream.send_all(b"before")
        check_equal(await stream.receive_some(), b"before")
        echo.route.set_faults(ProxyFaults(black_hole=direction))
        await stream.send_all(b"request")
        answer = b""
        with trio.move_on_after(5):
            answer = await stream.receive_some()
        during = bytes(echo.received) == b"beforerequest", answer == b"request"
        echo.route.heal()
        return during, answer or await stream.receive_some()

    run_echo(context, flow)


@then("the target {target} it, the client {client} the echo, and after healing all is delivered")
def black_hole_result(context, target, client):
    check_equal(context.result, ((target == "gets", client == "gets"), b"request"))


@when("a request and its echo pass through the route")
def delayed_echo(context):
    async def flow(echo):
        stream = await echo.connect()
        start = trio.current_time()
        await stream.send_all(b"request")
        check_equal(await stream.receive_some(), b"request")
        return round((trio.current_time() - start) * 1000, 3)

    run_echo(context, flow)


@then("they take 60 ms")
def delay_result(context):
    check_equal(context.result, 60.0)


@given("faults {faults} for source host {source}")
def source_faults(context, faults, source):
    context.source_faults = (msgspec.convert(json.loads(faults), ProxyFaults), source)


@when("clients connect from {first} and {second}")
def clients_connect(context, first, second):
    async def flow(echo):
        echo.route.set_faults(*context.source_faults)
        return [await exchange(await echo.connect(host), b"x") for host in (first, second)]

    run_echo(context, flow)


@then("only the client from 127.0.0.1 is served")
def one_client_served(context):
    check_equal(context.result, [(b"x", False), (b"", True)])


@when("open connections of a route are cut")
def cut_open(context):
    async def flow(echo):
        stream = await echo.connect()
        await stream.send_all(b"x")
        check_equal(await stream.receive_some(), b"x")
        check_equal(echo.route.cut(), 1)
        try:
            ended = await stream.receive_some()
        except trio.BrokenResourceError:
            ended = "reset"
        return ended, await exchange(await echo.connect(), b"y")

    run_echo(context, flow)


@then("both ends see a reset, and a new connection is served")
def cut_result(context):
    check_equal(context.result, ("reset", (b"y", False)))
    check_equal(context.echo.route.open, {})


@when("open connections go silent {direction} and a request is sent on an open and a new one")
def silence_open(context, direction):
    async def flow(echo):
        stream = await echo.connect()
        await stream.send_all(b"before")
        check_equal(await stream.receive_some(), b"before")
        check_equal(echo.route.silence(direction), 1)
        await stream.send_all(b"request")
        answer = None
        with trio.move_on_after(60):
            answer = await stream.receive_some()
        got = bytes(echo.received) == b"beforerequest"
        return got, answer, await exchange(await echo.connect(), b"new")

    run_echo(context, flow)


@then("the target {target} the first one, and only the new connection has an echo")
def silence_result(context, target):
    check_equal(context.result, (target == "gets", None, (b"new", False)))


# Balancer and instance list


class Instances:
    """Entry instances that answer 200 to everything, behind a balancer."""

    def __init__(self, count, lag_ms):
        self.calls = [0] * count
        self.endpoints = [Endpoint(HOST, 0, self._handler(number)) for number in range(count)]
        targets = [endpoint.address for endpoint in self.endpoints]
        config = BalancerConfig(targets=targets, lag_ms=lag_ms, check_ms=250)
        self.balancer = Balancer(config)

    def _handler(self, number):
        async def handle(request):
            if request.path != "/readyz":
                self.calls[number] += 1
            return Response(200)

        return handle

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            for endpoint in self.endpoints:
                await nursery.start(endpoint.serve_until_shut)
            await nursery.start(self.balancer.run)
            task_status.started()

    async def call(self):
        try:
            connection = await HttpConnection.open(HOST, self.balancer.port.port)
            response = await connection.request(Request("GET", "/"))
            await connection.aclose()
        except RelayError:
            return False
        return response.status == 200


@given("a balancer over {count:d} entry instances with a lag of {lag:d} ms")
def balancer_of(context, count, lag):
    context.make = lambda: Instances(count, lag)


@when("6 calls are made, one instance stops, and calls go on for 3 s")
def stop_instance(context):
    async def flow(instances):
        assert all([await instances.call() for _ in range(6)])
        calls = list(instances.calls)
        instances.endpoints[0].shut()
        start = trio.current_time()
        failures = []
        while trio.current_time() < start + 3:
            at = trio.current_time() - start
            if not await instances.call():
                failures.append(at)
            await trio.sleep(0.05)
        return calls, failures

    context.result = on_mock_clock(context.make, flow)


@then("each instance got 2 of the 6 calls")
def calls_in_turn(context):
    check_equal(context.result[0], [2, 2, 2])


@then("calls fail only in the first 1500 ms after the stop, and some do")
def failures_in_lag(context):
    failures = context.result[1]
    assert failures and max(failures) < 1.5, failures
    assert max(failures) >= 1.0 - 3 * 0.05, failures


@given("an instance list with a lag of {lag:d} ms")
def instance_list(context, lag):
    context.make = lambda: InstanceList(InstanceListConfig(lag_ms=lag), unix_now)


@when("an instance is added, changed and removed 100 ms apart")
def change_instance(context):
    async def flow(service):
        connection = await HttpConnection.open(HOST, service.endpoint.port.port)

        async def call(method, path, **body):
            data = json.dumps(body).encode() if body else b""
            return await connection.request(Request(method, path, body=data))

        async def shown_at(time):
            await trio.sleep_until(time)
            listed = (await call("GET", "/v1/instances")).json()
            return [(one["instance"], one["state"]) for one in listed]

        entry = {"address": "127.0.0.1:1", "failure_domain": "domain-1"}
        await call("PUT", "/v1/instances/entry-1", **entry)
        await trio.sleep_until(0.1)
        await call("PUT", "/v1/instances/entry-1", state="leaving", **entry)
        await trio.sleep_until(0.2)
        await call("DELETE", "/v1/instances/entry-1")
        return [await shown_at(time) for time in (0.79, 0.81, 0.89, 0.91, 0.99, 1.01)]

    context.result = on_mock_clock(context.make, flow)


@then("the list shows each state 800 ms after its change")
def shown_after_lag(context):
    live, leaving = [("entry-1", "live")], [("entry-1", "leaving")]
    check_equal(context.result, [[], live, live, leaving, leaving, []])


# Processes

EMULATOR_FILE = """
[control]
port = {control}
[store]
port = {store}
[[servers]]
name = "server-1"
service = "service"
failure_domain = "domain-1"
ports = [0]
"""


@when("an emulator process with a store and a searcher is started, called and stopped")
def run_process(context):
    ports = free_ports(2)
    text = EMULATOR_FILE.format(control=ports[0], store=ports[1])
    with Processes() as processes:
        path = processes.write("emulator.toml", text.encode())
        process = processes.start_emulator("emulator", path)
        control = ControlClient(f"{HOST}:{ports[0]}")
        process.wait_ready(lambda: control.get("hosts"))
        context.hosts = control.get("hosts")
        control.set_faults({"servers": ["server-1"]}, shed=True)
        body = json.dumps({"shard": "s", "snapshot": "n", "query": None}).encode()
        http_call(context.hosts["searchers"]["server-1/0"], "POST", "/search", body)
        context.journal = control.journals()["server-1/0"]
        context.faults = control.searchers()["server-1/0"]["faults"]
        context.store_address = f"{HOST}:{ports[1]}"
        context.status = process.stop()


@then("the control listener named both, faults took effect, and the status was 0")
def process_result(context):
    check_equal(context.hosts["store"], context.store_address)
    check_equal(context.journal["outcomes"], {"snapshot_gone": 1})
    check_equal(context.faults["shed"], True)
    check_equal(context.status, 0)


@when("an emulator process is started on a file with {content}")
def start_faulty(context, content):
    with Processes() as processes:
        path = processes.write("emulator.toml", content.replace("\\n", "\n").encode())
        process = processes.start_emulator("emulator", path)
        context.status = process.wait()
        context.output = process.tail()


@then('it ends with status 2 and names "{cause}"')
def faulty_result(context, cause):
    check_equal(context.status, 2)
    assert cause in context.output, context.output


@when("a test with a paused process in its fleet fails")
def fleet_of_failing_test(context):
    try:
        with Fleet("norte", scale=0.1, services=("logging",)) as fleet:
            context.fleet = fleet
            check_equal(len(fleet.searchers()), 4)
            fleet.processes.processes["platform"].pause()
            raise HarnessError("the test fails")
    except HarnessError as error:
        context.error = error


@then("none of its processes runs and its directory is gone")
def cleaned_up(context):
    check_equal(str(context.error), "the test fails")
    processes = context.fleet.processes
    check_equal(len(processes.processes), 2)
    wait_until(lambda: not any(one.running for one in processes.processes.values()), "the end")
    assert not processes.directory.exists()


@when("a fleet without entry instances gets a snapshot of 3 shards and drops the old one")
def flip_snapshot(context):
    with Fleet("norte", scale=0.2, services=("logging",), backend_processes=2) as fleet:
        fleet.add_snapshot("logging", "logging-2", 3)
        fleet.drop_snapshot("logging", "logging-1")
        context.searchers = fleet.searchers()
        context.stored = http_call(fleet.store_address, "GET", "/v1/kv/catalog%2Flogging").body


@then("the searchers hold only the new snapshot as the stored catalog says")
def flipped(context):
    snapshot = decode_catalog(context.stored).snapshots[0]
    check_equal((snapshot.name, len(snapshot.shards)), ("logging-2", 3))
    check_equal(len(context.searchers), 8)
    for name, searcher in context.searchers.items():
        named = [shard.name for shard in snapshot.shards if name in shard.searchers]
        check_equal(searcher["holdings"], {"logging-2": named} if named else {})


@when("a searcher behind a route is called before, during and after a cut")
def call_through_route(context):
    with Fleet("norte", scale=0.1, services=("logging",), proxied_servers=True) as fleet:
        name = "logging-01/0"
        address = fleet.deployment.table.servers["logging-01"].addresses.split()[0]
        shard = fleet.searchers()[name]["holdings"]["logging-1"][0]
        body = json.dumps({"shard": shard, "snapshot": "logging-1", "query": None}).encode()

        def call():
            try:
                return http_call(address, "POST", "/search", body).status
            except OSError:
                return "broken"

        context.statuses = [call()]
        fleet.platform.set_proxy_faults(name, cut_after_to_client=50)
        context.statuses.append(call())
        fleet.platform.post("proxies/heal")
        context.statuses.append(call())
        context.outcomes = [run.outcome for run in fleet.runs(searchers=[name])]


@then("the calls end as 200, broken, 200 and the searcher recorded all three")
def called_through_route(context):
    check_equal(context.statuses, [200, "broken", 200])
    check_equal(context.outcomes, ["done"] * 3)
