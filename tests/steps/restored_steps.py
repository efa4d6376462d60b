"""Steps for a store that returns from a copy."""

import random

import msgspec
import trio
from behave import then, when

from rattanrelay.platform import feed
from rattanrelay.platform.documents import HEADERS
from rattanrelay.relay import Catalog, ClientLimits, DeploymentState, Peers, SearcherRecord
from rattanrelay.relay.peers import SharedState
from tests.harness.relay_world import BOUNDS, run_on_mock_clock

#: Time in seconds in which all instances register and find their readers.
SETTLE_S = 20.0
#: Time in seconds within which a change must be in force.
IN_FORCE_S = 3.0


@when(
    "the store is down for {down:g} s, returns from a copy 9 s old, and has {other:d} other changes"
)
def restored(context, down, other):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            for _ in range(3):
                world.configure()
                world.store.write("servers/s2", world.searchers["s2"].entry(sequence=world.version))
                await trio.sleep(2.0)
            if down:
                world.store.set_mode("refuse")
                await trio.sleep(down)
            world.store.restore(9.0)
            if not other:
                world.store.set_mode("up")
                await trio.sleep(0.5)
            world.store.write_again()
            world.route("added", service="svc")
            world.configure()
            world.store.write("servers/s1", world.searchers["s1"].entry(state="draining"))
            # The new history passes the old one before anyone has watched it.
            for number in range(other):
                world.store.write("other", {"number": number})
            world.store.set_mode("up")
            await trio.sleep(IN_FORCE_S)
            context.late = [
                (name, daemon.deployment.catalog.version)
                for name, daemon in world.daemons.items()
                if daemon.deployment.catalog.version != world.version
                or _used(daemon, "a searcher drains")
            ]

    run_on_mock_clock(scenario)


@then("each instance knows a later change of the configuration and a searcher within 3 s")
def change_known(context):
    assert context.late == [], context.late


def _used(daemon, what):
    now = trio.current_time()
    if what == "a domain is taken out":
        return "b" not in daemon.deployment.excluded_domains
    searcher = daemon.deployment.searchers.get("s1")
    return searcher is not None and searcher.usable(now)


@when("{what} 5 s before the store returns from a copy 9 s old, and is written again 3 s later")
def lost_and_written_again(context, what):
    async def scenario():
        context.users = set()
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            world.store.write("servers/s3", world.searchers["s3"].entry(sequence=2))
            await trio.sleep(6.0)
            if what == "a domain is taken out":
                world.store.write("op/evacuate/b", {})
            elif what == "a searcher drains":
                world.store.write("servers/s1", world.searchers["s1"].entry(state="draining"))
            else:
                world.store.remove("servers/s1")
            await trio.sleep(5.0)
            assert not any(_used(daemon, what) for daemon in world.daemons.values())
            world.store.set_mode("refuse")
            await trio.sleep(2.0)
            world.store.restore(9.0)
            world.store.set_mode("up")
            for step in range(100):
                if step == 30:
                    world.store.write_again()
                context.users |= {name for name, one in world.daemons.items() if _used(one, what)}
                await trio.sleep(0.1)

    run_on_mock_clock(scenario)


@then("no instance uses it after the restore")
def not_used(context):
    assert context.users == set(), context.users


@when("the store returns from a copy without their leases, whose numbers others get")
def leases_lost(context):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(SETTLE_S)
            store = world.store
            others = set(store.leases)
            store.restore(SETTLE_S + 60.0)
            for key in [key for key in store.items if key.startswith(feed.INSTANCE_PREFIX)]:
                store.remove(key)
            store.leases = set(others)
            store.write_again()
            await trio.sleep(6.0)
            keys = {feed.INSTANCE_PREFIX + name for name in world.daemons}
            context.unlisted = keys - store.items.keys()
            listed = keys & store.items.keys()
            context.foreign = {key for key in listed if store.items[key]["lease"] in others}

    run_on_mock_clock(scenario)


@then("all instances are listed 6 s later, and none under a lease of the others")
def own_leases(context):
    assert context.unlisted == set(), context.unlisted
    assert context.foreign == set(), context.foreign


READY = SearcherRecord("s1", "svc", "127.0.0.1", 1, "a", 2, False, 0.0, 1000)
CATALOG = Catalog(1, {}, {}, ClientLimits())


def _position(text):
    """Return era and revision of a text such as `era 1, revision 50`."""
    era, revision = (int(part.split()[1]) for part in text.split(", "))
    return era, revision


@when("an instance without the store knows {known} and another one shares {shared}")
def shares_state(context, known, shared):
    async def scenario():
        deployment = DeploymentState("entry-1", "a", HEADERS, BOUNDS)
        if known != "nothing":
            deployment.positions["servers/"] = _position(known)
        state = SharedState(CATALOG, [READY], [], {"servers/": _position(shared)})
        state = msgspec.msgpack.decode(msgspec.msgpack.encode(state), type=SharedState)
        Peers(deployment, random.Random(1))._apply("entry-2", state)
        context.taken = "s1" in deployment.searchers

    run_on_mock_clock(scenario)


@then("the shared state is {result}")
def state_result(context, result):
    assert context.taken == (result == "taken"), context.taken
