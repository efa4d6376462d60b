"""Steps for the links between instances and for a cell over sockets."""

import msgspec
import trio
from behave import given, then, when
from trio.testing import MockClock

from rattanrelay.decide.ownership import Member
from rattanrelay.emulator.config import StoreConfig
from rattanrelay.emulator.store import KeyValueStore, StoreFaults
from rattanrelay.errors import RelayError
from rattanrelay.node.documents import Documents
from rattanrelay.node.members import Members
from rattanrelay.node.peers import LINGER_S, Peers
from rattanrelay.store import StoreClient
from rattanrelay.table import Table, decode_table, encode_document
from rattanrelay.wire import Document, Handlers, Pull, serve_peers

HOST = "127.0.0.1"
HANG_LIMIT_S = 120.0
#: Real time without any event after which the mock clock jumps to the next deadline.
IDLE_S = 0.05
RETRY_S = 0.1


def _on_mock_clock(flow):
    async def main():
        with trio.fail_after(HANG_LIMIT_S):
            async with trio.open_nursery() as nursery:
                result = await flow(nursery)
                nursery.cancel_scope.cancel()
        return result

    return trio.run(main, clock=MockClock(autojump_threshold=IDLE_S))


def _answering():
    handlers = Handlers()

    @handlers.on(Pull)
    async def pull(message):
        return Document(message.name, message.revision + 1)

    return handlers


async def _listen(port=0):
    listeners = await trio.open_tcp_listeners(port, host=HOST)
    return listeners, listeners[0].socket.getsockname()[1]


async def _start_peer(nursery, handlers, port=0):
    """Serve a peer; return its port and the scope that ends it."""
    listeners, port = await _listen(port)
    scope = trio.CancelScope()

    async def serve():
        with scope:
            await serve_peers(handlers, listeners)

    nursery.start_soon(serve)
    return port, scope


async def _start_silent(nursery, seen):
    """Accept connections without answers and append them to `seen`; return the port."""
    listeners, port = await _listen()

    async def swallow(stream):
        seen.append(stream)
        async for _ in stream:
            pass

    nursery.start_soon(trio.serve_listeners, swallow, listeners)
    return port


async def _peers(nursery, **ports):
    peers = Peers("me")
    await nursery.start(peers.serve)
    peers.update(_members(**ports))
    return peers


def _members(**ports):
    return [Member(name, "i", f"{HOST}:{port}", "d") for name, port in ports.items()]


async def _call_until_answered(peers, name):
    while True:
        try:
            return await peers.call(name, Pull("doc", 1), 1.0)
        except RelayError:
            await trio.sleep(RETRY_S)


async def _error_of(peers, name, limit=1.0):
    try:
        return await peers.call(name, Pull("doc", 1), limit)
    except RelayError as error:
        return error


@when("a peer is called, restarts, and is called again")
def call_across_restart(context):
    async def flow(nursery):
        port, scope = await _start_peer(nursery, _answering())
        peers = await _peers(nursery, other=port)
        first = await _call_until_answered(peers, "other")
        scope.cancel()
        await _until(lambda: not peers.connected())
        await _start_peer(nursery, _answering(), port)
        return first, await _call_until_answered(peers, "other")

    context.result = _on_mock_clock(flow)


@then("both calls get an answer")
def both_answered(context):
    assert context.result == (Document("doc", 2), Document("doc", 2)), context.result


@when("a peer that does not listen is called")
def call_absent(context):
    async def flow(nursery):
        listeners, port = await _listen()
        await listeners[0].aclose()
        return await _error_of(await _peers(nursery, other=port), "other")

    context.result = _on_mock_clock(flow)


@when("an unknown peer is called")
def call_unknown(context):
    async def flow(nursery):
        return await _error_of(await _peers(nursery), "other")

    context.result = _on_mock_clock(flow)


@then('the peer call fails with "{code}" and "{ran}"')
def peer_call_failed(context, code, ran):
    assert isinstance(context.result, RelayError), context.result
    assert (context.result.code, context.result.ran) == (code, ran), context.result


@when("a silent peer is called while another one is called {count:d} times")
def call_both(context, count):
    context.answers = []

    async def flow(nursery):
        silent = await _start_silent(nursery, [])
        port, _ = await _start_peer(nursery, _answering())
        peers = await _peers(nursery, silent=silent, other=port)

        async def call():
            context.answers.append(await _call_until_answered(peers, "other"))

        for _ in range(count):
            nursery.start_soon(call)
        return await _error_of(peers, "silent")

    context.result = _on_mock_clock(flow)


@then("the calls to the other peer get their answers")
def others_answered(context):
    assert context.answers == [Document("doc", 2)] * 20, context.answers


@when("a silent peer is called {count:d} times with a limit of {limit:d} s")
def call_silent(context, count, limit):
    async def flow(nursery):
        seen = []
        peers = await _peers(nursery, silent=await _start_silent(nursery, seen))
        for _ in range(count):
            await _error_of(peers, "silent", limit)
        return len(seen)

    context.result = _on_mock_clock(flow)


@then("the silent peer has seen {count:d} connections")
def connections_seen(context, count):
    assert context.result == count, context.result


@when("a peer is called and removed from the peers")
def call_removed(context):
    async def flow(nursery):
        port, _ = await _start_peer(nursery, _answering())
        peers = await _peers(nursery, other=port)
        await _call_until_answered(peers, "other")
        peers.update([])
        soon = await _error_of(peers, "other")
        await trio.sleep(2 * LINGER_S)
        return soon, await _error_of(peers, "other")

    context.result = _on_mock_clock(flow)


@then("it can be called for a while, but not later")
def removed_later(context):
    soon, later = context.result
    assert soon == Document("doc", 2), soon
    assert later.code == "peer_unavailable", later


# A cell over sockets.


async def _start_instance(nursery, store, number):
    handlers = Handlers()
    port, _ = await _start_peer(nursery, handlers)
    name = f"entry-{number}"
    peers = Peers(name)
    client = StoreClient(HOST, store.endpoint.port.port)
    parts = {}
    parts["members"] = Members(
        name,
        f"i{number}",
        f"{HOST}:{port}",
        "d",
        "main",
        client,
        peers,
        digest=lambda: parts["documents"].digest(),
        on_digest=lambda *report: parts["documents"].record_digest(*report),
    )
    parts["documents"] = Documents(client, peers, parts["members"])
    for part in parts.values():
        part.register(handlers)
    for serve in (peers.serve, parts["members"].serve, parts["documents"].serve):
        await nursery.start(serve)
    return parts["members"], parts["documents"]


@given("{count:d} instances over sockets and the emulated store")
def cell_over_sockets(context, count):
    context.count = count


@when("an edit loses its answer, and the store is rolled back to before it")
def edit_and_roll_back(context):
    async def flow(nursery):
        store = KeyValueStore(StoreConfig(), trio.current_time)
        await nursery.start(store.run)
        store.put("table", encode_document(Table(1)))
        instances = [
            await _start_instance(nursery, store, number) for number in range(context.count)
        ]
        await _until(lambda: _joined(instances))
        version = store.data.version
        store.set_faults(msgspec.convert({"lose_answers": 1, "prefix": "table"}, StoreFaults))
        _, documents = instances[0]
        await documents.edit("table", lambda _: encode_document(Table(2, author="operator")))
        store.roll_back(version)
        await _until(lambda: decode_table(store.read("table").value).revision == 2)
        return [documents.configuration.value.table for _, documents in instances]

    context.result = _on_mock_clock(flow)


async def _until(condition):
    while not condition():  # noqa: ASYNC110
        await trio.sleep(RETRY_S)


def _joined(instances):
    return all(
        len(members.members) == len(instances) and documents.configuration.value.table
        for members, documents in instances
    )


@then("the edit is in force on all {count:d} instances and in the emulated store")
def edit_in_force(context, count):
    assert context.result == [Table(2, author="operator")] * count, context.result
