"""Steps for responses with invalid statuses, at each reader of responses and in a relay."""

import trio
from behave import given, then, when
from http_parsing_steps import _outcome

from rattanrelay.cli.client import Address, exchange
from rattanrelay.emulator.balancer import _is_ready
from rattanrelay.errors import RelayError
from rattanrelay.http import Request
from rattanrelay.load.runner import Clients
from rattanrelay.node.instances import InstanceList
from rattanrelay.platform.documents import HEADERS
from rattanrelay.platform.store import PlatformStore
from rattanrelay.store import StoreClient
from tests.harness.relay_world import RelayWorld, StandInSearcher, run_on_mock_clock

LINES = {
    "a line without a status": "HTTP/1.1 OK",
    "200 without a reason": "HTTP/1.1 200",
    "199 that is final": "HTTP/1.1 199 Unknown",
    "100 that was not asked for": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
    "101 without an upgrade": "HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK",
    "101 with an upgrade": "HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: h2c",
    "103 with a body": "HTTP/1.1 103 Hints\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK",
    "103 without end": "HTTP/1.1 103 Hints\r\n\r\n" * 40 + "HTTP/1.1 200 OK",
    "103 before the final response": "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK",
}
#: End of the response in the test of the readers; each of them accepts such a body.
REST = b"content-length: 2\r\nx-version: 1\r\nstore-era: 1\r\n\r\n[]"
#: Times of the mock clock in seconds in which a reader returns, and in which an answer comes at
#: once; requests have 1 s.
READER_S, AT_ONCE_S = 0.9, 0.15
ASK = Request("GET", "/x")
READERS = {
    "command line": lambda host, port: exchange(Address(host, port), ASK),
    "load": lambda host, port: Clients().send(f"{host}:{port}", ASK),
    "platform store": lambda host, port: PlatformStore(host, port).call("read", ASK, 2.0),
    "store": lambda host, port: StoreClient(host, port, timeout=2.0).get("name"),
    "list of instances": lambda host, port: InstanceList(host, port)._fetch(),
    "health check": lambda host, port: _is_ready(f"{host}:{port}"),
}
MIXED = [f"m{number}" for number in range(5)]


def first_bytes(status):
    """Return the first bytes of a response, up to its headers."""
    line = LINES.get(status) or f"HTTP/1.1 {status.removeprefix('status ')} Text"
    return line.encode() + b"\r\n"


async def _read(reader, data):
    """Return what a reader made of a response, and whether it closed the connection."""
    result, closed = "no answer", trio.Event()

    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(data)
        if not await stream.receive_some():
            closed.set()

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        try:
            with trio.move_on_after(READER_S):
                result = await reader(*listener.socket.getsockname())
        except RelayError as error:
            result = "malformed" if "malformed response" in str(error) else str(error)
        await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    return result, closed.is_set()


def read_everywhere(status):
    data = first_bytes(status) + REST
    read = {name: run_on_mock_clock(_read, reader, data) for name, reader in READERS.items()}
    return read, _outcome(data, ()), _outcome(data, range(len(data)))


@given("searchers that answer with {status}, alone and beside good ones")
def searchers_with_status(context, status):
    searchers = [
        # The other instance gathers the parts whose searchers are in its domain.
        StandInSearcher(f"{service}-{copy}", service, zone, records=bytes(16))
        for service, zone in [("mixed", "a"), ("bad", "a"), *((name, "b") for name in MIXED), "Bb"]
        for copy in range(3 if service in ("bad", "B") else 2)
    ]
    for searcher in searchers:
        if searcher.service in ("bad", "B") or searcher.name.endswith("-0"):
            searcher.mode, searcher.status_bytes = "status", first_bytes(status)
    instances = (("entry-1", "a"), ("entry-2", "b"))
    world = context.world = RelayWorld(searchers, instances=instances)
    world.route("mixed", service="mixed")
    world.route("bad", service="bad")
    world.route("once", service="bad", type="non_idempotent")
    world.route("all", gather=MIXED, top_k=5, target_latency_ms=500)
    world.route("none", gather=[*MIXED, "B"], top_k=5)


@when("each reader gets {status}, and clients send single and gathered requests")
def send_each_kind(context, status):
    context.read, *context.parsed = read_everywhere(status)
    context.replies = {}

    async def scenario():
        async with context.world.open() as world:
            for route in ("mixed", "all") * 4 + ("bad", "once", "none"):
                started = trio.current_time()
                reply = await world.ask(route, method="POST" if route == "once" else "GET")
                replies = context.replies.setdefault(route, [])
                replies.append((*reply, trio.current_time() - started))
            await trio.sleep(0.5)
            states = [daemon.deployment.searchers for daemon in world.daemons.values()]
            context.failing = {
                name for one in states for name in one if one[name].estimate.failure_rate > 0.0
            }

    run_on_mock_clock(scenario)


@then("it fails in each reader as malformed, and each connection is closed")
def malformed_everywhere(context):
    # A health check that fails returns False instead of an error.
    expected = dict.fromkeys(READERS, ("malformed", True)) | {"health check": (False, True)}
    assert context.read == expected, context.read
    assert context.parsed == ["malformed"] * 2, context.parsed
    assert not any(searcher.not_closed for searcher in context.world.searchers.values())


@then("each reader accepts {status}")
def accepted_everywhere(context, status):
    read, *parsed = read_everywhere(status)
    assert read.pop("list of instances")[0] == [] and read.pop("health check")[0] is True
    assert read.pop("store")[0].value == b"[]"
    assert {result.status for result in [*parsed, *(got for got, _ in read.values())]} == {200}


@then("requests that may be repeated are answered by the good searchers")
def good_answers(context):
    for request_id, response, _ in context.replies["mixed"]:
        assert response.headers[HEADERS.signature] == f"mixed-1.{request_id}", response
    for request_id, response, _ in context.replies["all"]:
        named = response.headers[HEADERS.part_signatures].split(", ")
        assert sorted(named) == [f"{name}-1.{request_id}" for name in MIXED], response


@then("the others get status 502 at once, and each instance asks a searcher at most once")
def bad_gateway_at_once(context):
    ids = {}
    for route in ("bad", "once", "none"):
        ((ids[route], response, seconds),) = context.replies[route]
        assert (response.status, seconds <= AT_ONCE_S) == (502, True), (route, response, seconds)
    searchers = context.world.searchers.values()
    for one in searchers:
        # Both instances of a gathered request may send it to the searcher that they share.
        assert all(one.ran.count(name) <= 1 + (name == ids["none"]) for name in one.ran), one.ran
    assert sum(ids["once"] in one.ran for one in searchers) == 1


@then("each failure counts against its searcher")
def failures_count(context):
    searchers = context.world.searchers.items()
    asked = {name for name, one in searchers if one.mode == "status" and one.ran}
    assert asked and asked <= context.failing, (asked, context.failing)
