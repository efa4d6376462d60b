"""Steps for clients that send without end or without use."""

import trio
from behave import given, then, when

from tests.harness.relay_world import HOST, RelayWorld, StandInSearcher, run_on_mock_clock

MAX_BODY = 262_144
HEAD = "POST /one/ HTTP/1.1\r\nhost: test.example\r\nx-rattanrelay-deadline-ms: 900000\r\n"


@given("an instance whose clients may send bodies of 262144 bytes and be idle for 15 s")
def one_instance(context):
    context.searcher = StandInSearcher("s1", "svc", "a")
    context.world = RelayWorld([context.searcher])
    context.world.route("one", service="svc", timeout_ms=900_000)
    context.messages = None


@given("memory for messages of {size:d} bytes")
def small_memory(context, size):
    context.messages = size


def _play(context, scenario) -> None:
    async def play():
        async with context.world.open() as world:
            daemon = context.daemon = world.daemons["entry-1"]
            limits = daemon.deployment.catalog.limits
            catalog = daemon.deployment.catalog._replace(
                limits=limits._replace(max_body=MAX_BODY, idle_timeout=15.0, max_header=16_384)
            )
            daemon.deployment.catalog = catalog
            if context.messages is not None:
                intake = daemon.account.intake
                intake.limits = intake.limits._replace(messages=context.messages)
            await scenario(daemon)

    run_on_mock_clock(play)


async def _status(stream) -> str:
    data = b""
    while not data.endswith(b"\r\n\r\n") and b"\r\n\r\n" not in data:
        piece = await stream.receive_some(65536)
        if not piece:
            break
        data += piece
    return data[9:12].decode()


async def _drip(stream, pieces: list[bytes], gap: float) -> None:
    try:
        for piece in pieces:
            await trio.sleep(gap)
            await stream.send_all(piece)
    except trio.BrokenResourceError:
        return


#: Lines of the head, pieces of the body and seconds before each, by what the body does.
BODIES = {
    "is announced as 262145 bytes": ("content-length: 262145", [], 0.0),
    "has 20 chunks with long extensions": (
        "transfer-encoding: chunked",
        [b"1;" + b"e" * 15_000 + b"\r\nx\r\n"] * 20,
        0.0,
    ),
    "comes at one byte in 10 s": ("content-length: 1000", [b"x"] * 900, 10.0),
    "comes at one chunk of one byte in 10 s": (
        "transfer-encoding: chunked",
        [b"1\r\nx\r\n"] * 900,
        10.0,
    ),
}


def _send(context, line, pieces, gap) -> None:
    async def scenario(daemon):
        stream = await trio.open_tcp_stream(HOST, daemon.settings.clients.port)
        async with stream, trio.open_nursery() as nursery:
            await stream.send_all(f"{HEAD}{line}\r\n\r\n".encode())
            nursery.start_soon(_drip, stream, pieces, gap)
            context.status = await _status(stream)
            nursery.cancel_scope.cancel()

    _play(context, scenario)


@when("a caller sends a request whose body {body}")
def send_body(context, body):
    _send(context, *BODIES[body])


@when("a caller sends a body of {size:d} bytes at {rate:d} bytes a second")
def send_slowly(context, size, rate):
    pieces = [b"x" * min(rate, size - start) for start in range(0, size, rate)]
    _send(context, f"content-length: {size}", pieces, 1.0)


@then("the caller gets status {status}, and no searcher got it")
def refused_not_run(context, status):
    assert context.status == status, context.status
    assert not context.searcher.requests


@then("the caller gets status {status:d}")
def client_gets(context, status):
    assert context.status == str(status), context.status


@when("{count:d} bodies of 262144 bytes stay unfinished, and an ordinary request comes")
def unfinished(context, count):
    async def scenario(daemon):
        address = HOST, daemon.settings.clients.port
        streams = []
        for _ in range(count):
            stream = await trio.open_tcp_stream(*address)
            await stream.send_all(f"{HEAD}content-length: {MAX_BODY}\r\n\r\n".encode())
            with trio.move_on_after(1.0):
                await _drip(stream, [b"x" * (MAX_BODY - 1)], 0.0)
                # The kernel may take all of it; the instance waits before it closes a connection.
                await trio.sleep_forever()
            streams.append(stream)
        ordinary = await trio.open_tcp_stream(*address)
        body = b"y" * 1000
        await ordinary.send_all(f"{HEAD}content-length: 1000\r\n\r\n".encode() + body)
        context.status = await _status(ordinary)
        context.closed = daemon.account.closed_for_memory
        context.metrics = (await daemon._answer_metrics(None)).body.decode()
        for stream in (*streams, ordinary):
            await trio.aclose_forcefully(stream)

    _play(context, scenario)


@then("the ordinary request gets status 200, and no searcher got another one")
def ordinary_served(context):
    assert context.status == "200", context.status
    assert [len(request.body) for request in context.searcher.requests] == [1000]


@then("the connections that were closed are counted in the metrics")
def counted(context):
    assert context.closed >= 1
    line = f'rattanrelay_intake_closed_total{{instance="entry-1",lack="memory"}} {context.closed}'
    assert line in context.metrics, context.metrics
