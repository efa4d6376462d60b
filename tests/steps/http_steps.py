"""Steps for settings and the HTTP layer."""

import ssl
import tempfile
import tracemalloc
from functools import partial
from pathlib import Path

import trio
import trio.lowlevel
import trustme
from behave import given, then, when
from http_parsing_steps import ENDLESS

from rattanrelay.decide.intake import IntakeLimits, Lane
from rattanrelay.errors import RelayError
from rattanrelay.http import HttpConnection, HttpLimits, Request, json_response, serve_http
from rattanrelay.http.intake import Account
from rattanrelay.settings import load_settings

HANG_LIMIT_S = 20.0
LIMITS = HttpLimits(max_body=2048, max_headers=2048, request_timeout=0.3)

SETTINGS = """
instance = "entry-1"
failure_domain = "oviedo"
callers = { host = "127.0.0.1", port = 8000 }
peers = { host = "127.0.0.1", port = 8001 }
admin = { host = "127.0.0.1", port = 8002 }
store = { host = "127.0.0.1", port = 8003 }
instance_list = { host = "127.0.0.1", port = 8004 }
"""


def _changed(change):
    if change == "nothing is wrong":
        return SETTINGS
    if change == "the TOML is truncated":
        return SETTINGS[:-3]
    if change.endswith(" is missing"):
        name = change.split()[0]
        return "".join(one + "\n" for one in SETTINGS.splitlines() if not one.startswith(name))
    key, _, value = change.partition(" = ")
    if key == "callers.port":
        return SETTINGS.replace("port = 8000", f"port = {value}")
    lines = [one for one in SETTINGS.splitlines() if not one.startswith(f"{key} =")]
    return "\n".join([*lines, change])


@when("a settings file is read in which {change}")
def read_settings(context, change):
    context.settings = context.error = None
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        path.write_text(_changed(change), "utf-8")
        try:
            context.settings = load_settings(path)
        except RelayError as error:
            context.error = error


@then('it is refused with "{code}" and names "{words}"')
def settings_refused(context, code, words):
    assert context.error is not None and context.error.code == code
    for word in words.split(", "):
        assert word in context.error.message, (word, context.error.message)


@then("all values are those of the file and the defaults")
def settings_read(context):
    assert context.error is None, context.error
    assert (context.settings.instance, context.settings.callers.port) == ("entry-1", 8000)
    assert (context.settings.stop_timeout, context.settings.max_body) == (15.0, 1024 * 1024)


# HTTP server.


async def _echo(request):
    return json_response(200, {"path": request.path, "bytes": len(request.body)})


async def _listen():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    return listeners, listeners[0].socket.getsockname()[1]


def _run(main, *args):
    async def bounded():
        with trio.fail_after(HANG_LIMIT_S):
            async with trio.open_nursery() as nursery:
                await main(nursery, *args)
                nursery.cancel_scope.cancel()

    trio.run(bounded)


@given("an HTTP server with small limits")
def small_limits(context):
    context.limits = LIMITS


REQUESTS = {
    "garbage": b"\x16\x03\x01 nonsense\r\n\r\n",
    "a huge header": b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 8000,
    "a huge body": b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n" + b"z" * 5000,
    "half a request": b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nz",
}


@when("a client sends {request}")
def faulty_request(context, request):
    async def main(nursery):
        listeners, port = await _listen()
        nursery.start_soon(lambda: serve_http(_echo, listeners, limits=context.limits))
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(REQUESTS[request])
        other = await HttpConnection.open("127.0.0.1", port)
        context.other = await other.request(Request("GET", "/other"))
        data = b""
        while piece := await stream.receive_some(65536):
            data += piece
        context.answer = data

    _run(main)


@then('it gets status {status:d} and code "{code}", and another client is served meanwhile')
def faulty_refused(context, status, code):
    head, _, body = context.answer.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode()), head
    assert f'"code":"{code}"'.encode() in body and b'"outcome":"not_run"' in body, body
    assert context.other.status == 200


@when("it is stopped while one connection is idle and one request is in flight")
def stop_server(context):
    async def main(nursery):
        listeners, port = await _listen()
        stopping, ended, started, proceed = (trio.Event() for _ in range(4))

        async def slow(request):
            if request.path == "/slow":
                started.set()
                await proceed.wait()
            return json_response(200, {})

        async def serve():
            await serve_http(slow, listeners, limits=context.limits, stopping=stopping)
            ended.set()

        nursery.start_soon(serve)
        idle = await HttpConnection.open("127.0.0.1", port)
        await idle.request(Request("GET", "/"))
        busy = await HttpConnection.open("127.0.0.1", port)
        answers = []

        async def ask():
            answers.append(await busy.request(Request("GET", "/slow")))

        async with trio.open_nursery() as asking:
            asking.start_soon(ask)
            await started.wait()
            stopping.set()
            context.idle_end = await idle.stream.receive_some(1)
            context.ended_early = ended.is_set()
            proceed.set()
        await ended.wait()
        context.answer = answers[0]
        context.busy_usable = busy.usable
        try:
            await HttpConnection.open("127.0.0.1", port)
            context.accepted = True
        except RelayError:
            context.accepted = False

    _run(main)


@then("the request is answered, both connections end and no new one is accepted")
def stopped(context):
    assert context.answer.status == 200
    assert context.idle_end == b"" and not context.ended_early
    assert not context.busy_usable and not context.accepted


@given("a backend that {fault}")
def broken_server(context, fault):
    context.fault = fault


@when("the client sends a request")
def client_sends(context):
    answers = {
        "closes after the request": b"",
        "closes in the middle of a response": b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\npart",
        "responds with garbage": b"what?\r\n\r\n",
    }

    async def main(nursery):
        listeners, port = await _listen()

        async def answer(stream):
            await stream.receive_some(65536)
            await stream.send_all(answers[context.fault])
            await stream.aclose()

        if context.fault == "does not listen":
            await listeners[0].aclose()
        else:
            nursery.start_soon(trio.serve_listeners, answer, listeners)
        context.error = None
        try:
            connection = await HttpConnection.open("127.0.0.1", port)
            await connection.request(Request("POST", "/", body=b"x"))
        except RelayError as error:
            context.error = error

    _run(main)


@then('the error is "{code}" with ran "{ran}"')
def client_error(context, code, ran):
    assert context.error is not None
    assert (context.error.code, context.error.ran) == (code, ran), context.error


@given("a certificate for 127.0.0.1")
def certificate(context):
    context.authority = trustme.CA()
    context.certificate = context.authority.issue_cert("127.0.0.1")


@when("a request is sent to an HTTP server over TLS")
def over_tls(context):
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.certificate.configure_cert(server)
    trusting = ssl.create_default_context()
    context.authority.configure_trust(trusting)

    async def ask(port, client):
        plain = await trio.open_tcp_stream("127.0.0.1", port)
        stream = trio.SSLStream(plain, client, server_hostname="127.0.0.1", https_compatible=True)
        return await HttpConnection(stream, "tls").request(Request("GET", "/safe"))

    async def main(nursery):
        listeners, port = await _listen()
        secured = [trio.SSLListener(one, server, https_compatible=True) for one in listeners]
        nursery.start_soon(serve_http, _echo, secured)
        context.answer = await ask(port, trusting)
        context.refused = False
        try:
            await ask(port, ssl.create_default_context())
        except RelayError as error:
            context.refused = "certificate" in str(error.__cause__.__cause__).lower()
        context.again = await ask(port, trusting)

    _run(main)


@then("it is answered, and a client without trust in the certificate is refused")
def tls_answers(context):
    assert context.answer.json()["path"] == "/safe"
    assert context.refused
    assert context.again.status == 200


@given("an HTTP server whose handler fails for one path")
def failing_handler(context):
    async def handler(request):
        if request.path == "/fails":
            raise ValueError("unexpected")
        return await _echo(request)

    context.handler = handler


@when("a client asks for that path, and another one for a different path")
def ask_both(context):
    async def main():
        listeners, port = await _listen()
        context.outcomes = []
        with trio.fail_after(HANG_LIMIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, context.handler, listeners)
                for path in ("/fails", "/works"):
                    connection = await HttpConnection.open("127.0.0.1", port)
                    try:
                        response = await connection.request(Request("GET", path))
                        context.outcomes.append(response.status)
                    except RelayError as error:
                        context.outcomes.append(error.code)
                    await connection.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)


@then("the first connection is closed and the second request is answered")
def only_first_closed(context):
    assert context.outcomes == ["connection_lost", 200], context.outcomes


@given("a server whose responses are {part} without an end")
def endless_server(context, part):
    start, more = ENDLESS[part]
    context.endless = start, more * (65536 // len(more))


@when("{count:d} requests whose responses may have 8 MiB are sent at once, and then one elsewhere")
def ask_endless(context, count):
    context.outcomes = []
    start, more = context.endless

    async def send_endlessly(stream):
        try:
            await stream.receive_some()
            await stream.send_all(start)
            while True:
                await stream.send_all(more)
                # All responses grow at the same rate.
                await trio.sleep(0.005)
        except trio.BrokenResourceError:
            pass

    async def ask(port):
        connection = await HttpConnection.open("127.0.0.1", port)
        try:
            context.outcomes.append((await connection.request(Request("GET", "/x"))).status)
        except RelayError as error:
            context.outcomes.append(error.code)
        await connection.aclose()

    async def main():
        endless, endless_port = await _listen()
        sound, sound_port = await _listen()
        with trio.fail_after(HANG_LIMIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, send_endlessly, endless)
                nursery.start_soon(serve_http, _echo, sound)
                async with trio.open_nursery() as clients:
                    for _ in range(count):
                        clients.start_soon(ask, endless_port)
                await ask(sound_port)
                nursery.cancel_scope.cancel()

    tracemalloc.start()
    try:
        trio.run(main)
        context.peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@then('all {count:d} fail with "{code}", and the other one is answered')
def endless_failed(context, count, code):
    assert context.outcomes == [code] * count + [200], context.outcomes


@then("the client took at most {most:d} MiB of memory")
def peak_bounded(context, most):
    assert context.peak <= most * 1024 * 1024, context.peak


#: Addresses that name no host, by what is wrong with them.
NO_HOSTS = {
    "a null character": "\0",
    "a scope with a null character": "::1%\0",
    "a scope of no interface": "::1%none0",
    "a scope with an empty label": "::1%a..b",
    "a scope with a line separator": "::1%\u2028",
    "a scope that is not ASCII": "::1%\u00e9",
    "a name with an empty label": "a..b",
    "a label of 300 letters": "a" * 300,
    "half of a surrogate pair": "\ud800",
}


@then('opening a connection to {what} raises "{code}"')
def open_raises(context, what, code):
    async def attempt():
        with trio.fail_after(HANG_LIMIT_S):
            await HttpConnection.open(NO_HOSTS[what], 80)

    try:
        trio.run(attempt)
    except RelayError as error:
        assert error.code == code, error
        return
    raise AssertionError("connected")


# Memory account of a server.

UNFINISHED = {
    "a body of 100,000 bytes": b"content-length: 100001\r\n\r\n" + b"x" * 100_000,
    "one chunk of 100,000 bytes": b"transfer-encoding: chunked\r\n\r\n186a1\r\n" + b"x" * 100_000,
    "2,000 chunks of one byte": b"transfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 2000,
    "headers of 10,000 bytes": b"x: " + b"y" * 10_000,
    "nothing": None,
}


@given("an HTTP server whose memory account has 1 MB for messages and 40 connections")
def server_with_account(context):
    connections = dict.fromkeys(Lane, 40)
    context.account_limits = IntakeLimits(1024 * 1024, 1024 * 1024, 0, connections, 0)


@when("100 connections leave {what} unfinished, and another client sends a request")
def crowd_on_server(context, what):
    data = UNFINISHED[what]
    request = b"" if data is None else b"POST / HTTP/1.1\r\nhost: a\r\n" + data

    async def crowd_member(port):
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        try:
            await stream.send_all(request)
            await trio.sleep_forever()
        except trio.BrokenResourceError:
            await trio.aclose_forcefully(stream)

    async def main(nursery):
        account = Account(context.account_limits)
        context.most = (0, 0)

        async def watch():
            while True:
                open_now = account.intake.counts[Lane.CLIENTS]
                held = max(context.most[0], account.intake.total)
                context.most = held, max(context.most[1], open_now)
                await trio.lowlevel.checkpoint()

        listeners, port = await _listen()
        nursery.start_soon(partial(serve_http, _echo, listeners, account=account))
        nursery.start_soon(watch)
        for _ in range(100):
            nursery.start_soon(crowd_member, port)
        # Until the crowd has sent what the server takes.
        with trio.move_on_after(1.0):
            await trio.sleep_forever()
        other = await HttpConnection.open("127.0.0.1", port)
        context.other = await other.request(Request("POST", "/other", {}, b"z" * 1000))

    _run(main)


@then("the request gets status 200, the account held at most 1 MB and 40 connections")
def account_kept(context):
    assert context.other.status == 200, context.other
    assert context.most[0] <= 1024 * 1024 and context.most[1] <= 40, context.most
