"""Processor time of one h11 exchange and one thrift call, both ends in one process.

Command: python -m benchmarks.transport
"""

import time

import h11
import trio

from benchmarks.measure import print_line
from rattanrelay.http import HttpConnection, Request, json_response, serve_http
from rattanrelay.wire import Document, Handlers, Pull, open_link, serve_peers

EXCHANGES = 3000
BODY_BYTES = (50, 500, 5000)


async def _listen():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    return listeners, listeners[0].socket.getsockname()[1]


async def _timed(call, count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        await call()
    return (time.process_time() - started) / count * 1e6


async def _http(nursery: trio.Nursery, size: int) -> None:
    listeners, port = await _listen()
    answer = {"text": "x" * size}

    async def handler(request):
        return json_response(200, answer)

    nursery.start_soon(serve_http, handler, listeners)
    connection = await HttpConnection.open("127.0.0.1", port)
    request = Request("POST", "/search", {"x-request-id": "1"}, b"x" * size)
    micros = await _timed(lambda: connection.request(request), EXCHANGES)
    print_line(measure="h11 exchange", body_bytes=size, cpu_us=round(micros, 1))


async def _thrift(nursery: trio.Nursery, size: int) -> None:
    listeners, port = await _listen()
    handlers = Handlers()
    body = b"x" * size

    @handlers.on(Pull)
    async def pull(message: Pull) -> Document:
        return Document(message.name, 1, body)

    nursery.start_soon(serve_peers, handlers, listeners)
    async with open_link("127.0.0.1", port) as link:
        micros = await _timed(lambda: link.call(Pull("table", 0)), EXCHANGES)
    print_line(measure="thrift call", body_bytes=size, cpu_us=round(micros, 1))


def _h11_alone(size: int) -> None:
    """Client and server state machines without sockets: the floor of an exchange."""
    client, server = h11.Connection(h11.CLIENT), h11.Connection(h11.SERVER)
    body = b"x" * size
    headers = [("host", "127.0.0.1:1"), ("x-request-id", "1"), ("content-length", str(size))]
    answer = [("content-type", "application/json"), ("content-length", str(size))]
    started = time.process_time()
    for _ in range(EXCHANGES):
        _half(client, server, h11.Request(method="POST", target="/search", headers=headers), body)
        _half(server, client, h11.Response(status_code=200, headers=answer), body)
        client.start_next_cycle()
        server.start_next_cycle()
    micros = (time.process_time() - started) / EXCHANGES * 1e6
    print_line(measure="h11 alone", body_bytes=size, cpu_us=round(micros, 1))


def _half(sender: h11.Connection, receiver: h11.Connection, head, body: bytes) -> None:
    data = sender.send(head) + sender.send(h11.Data(data=body)) + sender.send(h11.EndOfMessage())
    receiver.receive_data(data)
    while not isinstance(receiver.next_event(), h11.EndOfMessage):
        pass


async def _echo(nursery: trio.Nursery, size: int) -> None:
    """A plain echo over TCP: the floor of a round trip."""
    listeners, port = await _listen()

    async def answer(stream: trio.SocketStream) -> None:
        while data := await stream.receive_some(65536):
            await stream.send_all(data)

    nursery.start_soon(trio.serve_listeners, answer, listeners)
    stream = await trio.open_tcp_stream("127.0.0.1", port)

    async def turn() -> None:
        await stream.send_all(b"x" * size)
        await stream.receive_some(65536)

    print_line(measure="trio echo", body_bytes=size, cpu_us=round(await _timed(turn, EXCHANGES), 1))


async def main() -> None:
    """Run all measurements."""
    async with trio.open_nursery() as nursery:
        for size in BODY_BYTES[:2]:
            _h11_alone(size)
            await _echo(nursery, size)
        for size in BODY_BYTES:
            await _http(nursery, size)
            await _thrift(nursery, size)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
