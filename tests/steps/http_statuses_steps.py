"""Steps for responses with invalid statuses, at each reader of responses and in a relay."""

import trio
from behave import given, then, when

from rattanrelay.cli.client import Address, exchange
from rattanrelay.emulator.balancer import _is_ready
from rattanrelay.errors import RelayError
from rattanrelay.http import HttpConnection, Request
from rattanrelay.http.parsing import MalformedResponse, ResponseParser
from rattanrelay.load.runner import Clients
from rattanrelay.node.instances import InstanceList
from rattanrelay.platform.documents import HEADERS
from rattanrelay.platform.store import PlatformStore
from rattanrelay.store import StoreClient
from tests.harness.relay_world import RelayWorld, StandInSearcher, run_on_mock_clock

LINES = {
    "a status in full-width digits": "HTTP/1.1 \uff12\uff10\uff10 OK",
    "a status line that ends early": "HTTP/1.1",
    "a status line with only a reason": "HTTP/1.1 OK",
    "a status line without a reason": "HTTP/1.1 200",
    "100 that is final": "HTTP/1.1 100 Continue",
    "199 that is final": "HTTP/1.1 199 Unknown",
    "100 without a request for it": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
    "101 without an upgrade": "HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK",
    "101 with an upgrade": "HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: h2c",
    "103 with a body": "HTTP/1.1 103 Early Hints\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK",
    "103 without end": "HTTP/1.1 103 Early Hints\r\n\r\n" * 40 + "HTTP/1.1 200 OK",
    "103 and then status 000": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None",
    "103 before the final response": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK",
}
#: End of the response in the test of the readers; each of them accepts such a body.
REST = b"content-length: 2\r\nx-version: 1\r\nstore-era: 1\r\n\r\n[]"
#: Time of the mock clock after which a reader that does not return has failed.
READER_LIMIT_S = 0.9
#: Time of the mock clock in which an answer is sent at once; requests have 1 s.
AT_ONCE_S = 0.15


def status_bytes(status):
    """Return the first bytes of a response, up to its headers."""
    line = LINES.get(status) or f"HTTP/1.1 {status.removeprefix('status ')} Text"
    return line.encode() + b"\r\n"


async def request_once(host, port):
    connection = await HttpConnection.open(host, port)
    try:
        return (await connection.request(Request("GET", "/x"))).status
    finally:
        assert not connection.usable or connection.reusable
        connection.close_now()


async def read_platform_store(host, port):
    store = PlatformStore(host, port)
    return (await store.call("read", Request("GET", "/kv-range"), READER_LIMIT_S + 1.0)).status


async def read_store(host, port):
    entry = await StoreClient(host, port, timeout=READER_LIMIT_S + 1.0).get("name")
    return entry.value


async def send_load(host, port):
    return (await Clients().send(f"{host}:{port}", Request("GET", "/x"))).status


async def call_command_line(host, port):
    return (await exchange(Address(host, port), Request("GET", "/x"))).status


async def check_health(host, port):
    return await _is_ready(f"{host}:{port}")


async def list_instances(host, port):
    return await InstanceList(host, port)._fetch()


#: Readers of responses in the package, each with what it returns for a response that it accepts.
READERS = {
    "connection": (request_once, lambda status: status),
    "platform store": (read_platform_store, lambda status: status),
    "store": (read_store, lambda status: b"[]"),
    "load": (send_load, lambda status: status),
    "command line": (call_command_line, lambda status: status),
    "health check": (check_health, lambda status: status == 200),
    "list of instances": (list_instances, lambda status: []),
}


async def read(reader, data):
    """Return what a reader made of a response, and whether it closed the connection."""
    closed = trio.Event()

    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(data)
        try:
            ended = not await stream.receive_some(1)
        except trio.BrokenResourceError:
            ended = True
        if ended:
            closed.set()

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listener.socket.getsockname()
    result = "no answer"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        with trio.move_on_after(READER_LIMIT_S):
            try:
                result = await reader(host, port)
            except RelayError as error:
                result = "malformed" if "malformed response" in str(error) else str(error)
            except Exception as error:
                result = repr(error)
            await trio.sleep(0.05)
            was_closed = closed.is_set()
            nursery.cancel_scope.cancel()
            return result, was_closed
        nursery.cancel_scope.cancel()
    return result, closed.is_set()


def parse_in_pieces(data, size):
    parser = ResponseParser(4096)
    try:
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])
            if parser.complete:
                return parser.status
    except MalformedResponse:
        return "malformed"
    return "no answer"


@when("each reader of responses gets {status}")
def read_everywhere(context, status):
    data = status_bytes(status) + REST
    sizes = (1, 7, 64, len(data))
    context.parsed = {f"parser, {size} bytes": parse_in_pieces(data, size) for size in sizes}
    context.read = {
        name: run_on_mock_clock(read, reader, data) for name, (reader, _) in READERS.items()
    }


@then("it fails in each with a malformed response, and each connection is closed")
def malformed_everywhere(context):
    # A health check that fails returns False instead of an error.
    expected = dict.fromkeys(READERS, ("malformed", True)) | {"health check": (False, True)}
    wrong = {name: got for name, got in context.read.items() if got != expected[name]}
    wrong |= {name: got for name, got in context.parsed.items() if got != "malformed"}
    assert not wrong, wrong


@then("each accepts it with status {final:d}")
def accepted_everywhere(context, final):
    expected = {name: result(final) for name, (_, result) in READERS.items()}
    if final != 200:
        # Only status 200 is a list of instances.
        expected["list of instances"] = []
    found = {name: got for name, (got, _) in context.read.items()}
    assert found == expected, (found, expected)
    assert set(context.parsed.values()) == {final}, context.parsed


@given("searchers that answer with {status}, alone and beside good ones")
def searchers_with_status(context, status):
    services = ("mixed", "bad", *(f"m{number}" for number in range(5)), "b0")
    searchers = [
        StandInSearcher(
            f"{service}-{copy}",
            service,
            # The other instance gathers the parts whose searchers are in its domain.
            "a" if service in ("mixed", "bad") else "b",
            records=bytes(16),
        )
        for service in services
        for copy in range(3 if service in ("bad", "b0") else 2)
    ]
    for searcher in searchers:
        if searcher.service in ("bad", "b0") or searcher.name.endswith("-0"):
            searcher.mode, searcher.status_bytes = "status", status_bytes(status)
    instances = (("entry-1", "a"), ("entry-2", "b"))
    world = context.world = RelayWorld(searchers, instances=instances)
    world.route("mixed", service="mixed")
    world.route("bad", service="bad")
    world.route("once", service="bad", type="non_idempotent")
    gathered = [f"m{number}" for number in range(5)]
    world.route("all", gather=gathered, top_k=5, min_shard_ratio=1.0, target_latency_ms=500)
    world.route("none", gather=[*gathered, "b0"], top_k=5, min_shard_ratio=1.0)


@when("clients send single requests, non-idempotent ones and gathered ones")
def send_each_kind(context):
    context.replies = {}

    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(0.5)
            for route, count in (("mixed", 4), ("all", 4), ("bad", 1), ("once", 1), ("none", 1)):
                method = "POST" if route == "once" else "GET"
                for _ in range(count):
                    started = trio.current_time()
                    request_id, response = await world.ask(route, method=method)
                    seconds = trio.current_time() - started
                    context.replies.setdefault(route, []).append((request_id, response, seconds))
            await trio.sleep(0.5)
            context.rates = {
                name: max(
                    daemon.deployment.searchers[name].estimate.failure_rate
                    for daemon in world.daemons.values()
                )
                for name in world.searchers
            }

    run_on_mock_clock(scenario)


@then("requests that may be repeated are answered by the good searchers")
def good_answers(context):
    for request_id, response, _ in context.replies["mixed"]:
        assert response.status == 200, response
        assert response.headers[HEADERS.signature] == f"mixed-1.{request_id}", response
    for request_id, response, _ in context.replies["all"]:
        assert response.status == 200, response
        named = response.headers[HEADERS.part_signatures].split(", ")
        assert sorted(named) == [f"m{number}-1.{request_id}" for number in range(5)], response


@then("the others get status 502 at once, and each instance asks a searcher at most once")
def bad_gateway_at_once(context):
    found = {
        route: [(response.status, round(seconds, 3)) for _, response, seconds in replies]
        for route, replies in context.replies.items()
        if route in ("bad", "once", "none")
    }
    for route, ((status, seconds),) in found.items():
        assert status == 502 and seconds <= AT_ONCE_S, (route, found)
    # Both instances of a gathered request may send it to the searcher that they share.
    ((shared, _, _),) = context.replies["none"]
    for searcher in context.world.searchers.values():
        for request_id in searcher.ran:
            most = 2 if request_id == shared else 1
            assert searcher.ran.count(request_id) <= most, (searcher.name, searcher.ran)
    once = context.replies["once"][0][0]
    assert sum(once in one.ran for one in context.world.searchers.values()) == 1


@then("each failure counts against its searcher, and its connection is closed")
def failures_count(context):
    for name, searcher in context.world.searchers.items():
        if searcher.mode == "status" and searcher.ran:
            assert context.rates[name] > 0.0, name
            assert searcher.not_closed == 0, (name, searcher.not_closed)
