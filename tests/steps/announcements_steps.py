"""Steps for the way of an announcement from the store to the last request."""

import random

import msgspec
import trio
from behave import given, then, when

from rattanrelay.decide.freshness import known_within
from rattanrelay.http import Request
from rattanrelay.platform import feed
from rattanrelay.platform.documents import HEADERS, SEARCHER_PREFIX
from rattanrelay.platform.feed import PlatformFeed
from rattanrelay.relay import (
    Catalog,
    Change,
    ClientLimits,
    DeploymentState,
    Instance,
    Listen,
    Peers,
    SearcherRecord,
)
from rattanrelay.relay.peers import SharedState
from tests.harness.relay_world import BOUNDS, StandInStore, run_on_mock_clock

#: Time in seconds in which the instances find their readers and no longer count as starting.
FLEET_SETTLE_S = 16.0
#: Time in seconds in which the use of a searcher that has left is observed.
MEASURED_S = 8.0
#: Time in seconds between two faults, after which instances have found another reader, between two
#: searchers that leave, and from the first one to the last fault.
FAULT_GAP_S = 1.0
LEAVE_GAP_S = 0.4
FAULT_AFTER_S = 1.3


async def _watch(store, after, wait_ms):
    target = f"/kv-watch?prefix=servers/&after={after}&wait_ms={wait_ms}"
    response = await store.answer("entry-1", Request("GET", target))
    return msgspec.json.decode(response.body)


@when("a change is written in the moment in which the wait of a watch ends, {count:d} times")
def write_at_end(context, count):
    async def scenario():
        for number in range(count):
            store = StandInStore()
            store.set_mode("up", "entry-1")
            answers = []

            async def first(store=store, answers=answers):
                answers.append(await _watch(store, store.revision, 1500))

            async with trio.open_nursery() as tasks:
                tasks.start_soon(first)
                await trio.sleep(1.5)
                store.write("servers/s1", {"sequence": number})
            seen = answers[0]["events"]
            if not seen:
                seen = (await _watch(store, answers[0]["store_revision"], 50))["events"]
            context.seen.append(len(seen))

    context.seen = []
    run_on_mock_clock(scenario)


@then("the next watch from the revision of its answer has the change each time")
def change_seen(context):
    assert context.seen and set(context.seen) == {1}, context.seen


@given("an answer of the store has at most {count:d} changes")
def small_answers(context, count):
    context.world.store.page = count


@given("readers batch changes for as long as in a large fleet")
def longest_batches(context):
    shortest, feed.MIN_BATCH_S = feed.MIN_BATCH_S, 60.0
    context.add_cleanup(setattr, feed, "MIN_BATCH_S", shortest)


@when("the store turns {who} away for {seconds:g} s, in which {count:d} entries change")
def turned_away(context, who, seconds, count):
    context.turned_away = who, seconds, count


@when("a searcher {leaves} {after:g} s after the end")
def leaves_after_return(context, leaves, after):
    who, seconds, count = context.turned_away

    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(FLEET_SETTLE_S)
            readers = _readers(world)
            followers = [name for name in world.daemons if name not in readers]
            names = {"a reader": readers[:1], "all readers": readers, "a follower": followers[:1]}
            chosen = names.get(who, list(world.daemons))
            world.store.set_mode("refuse", *chosen)
            for number in range(count):
                entry = world.searchers["s0"].entry(service="other", sequence=number)
                world.store.write(f"servers/other-{number % 60}", entry)
                await trio.sleep(seconds / count)
            world.store.set_mode("up", *chosen)
            await trio.sleep(after)
            world.let_leave("s1", leaves)
            context.used = (await world.record_use(MEASURED_S))["s1"]

    run_on_mock_clock(scenario)


#: Functions that cause a fault and return the instances that cannot reach the store after it.
FAULTS = {}


def fault(text):
    """Register a function under the words of a scenario."""

    def register(function):
        FAULTS[text] = function
        return function

    return register


def _readers(world):
    readers = [name for name, one in world.daemons.items() if one.feed.sharing.followed]
    assert readers, "no instance has followers"
    return readers


@fault("nothing else happens")
async def no_fault(world):
    return []


@fault("the connections of the readers to the store go silent")
async def readers_silent(world):
    for name in _readers(world):
        world.silence(f"store/{name}")
    return []


@fault("the connections of all to the store go silent")
async def all_silent(world):
    assert world.silence("store")
    return []


@fault("the links go silent")
async def links_silent(world):
    world.silence("instance")
    return []


@fault("a reader is refused by the store")
async def reader_refused(world):
    names = _readers(world)[:1]
    world.store.set_mode("refuse", *names)
    return names


@fault("a reader is cut off from the store")
async def reader_cut(world):
    names = _readers(world)[:1]
    world.store.set_mode("silent", *names)
    return names


@fault("all readers are cut off from the store")
async def readers_cut(world):
    names = _readers(world)
    world.store.set_mode("silent", *names)
    return names


@fault("a reader is killed")
async def reader_killed(world):
    for name in _readers(world)[:1]:
        world.kill(name)
    return []


@fault("all readers are killed")
async def readers_killed(world):
    for name in _readers(world):
        world.kill(name)
    return []


@fault("the entries of the readers are removed")
async def entries_removed(world):
    for name in _readers(world):
        world.store.remove(feed.INSTANCE_PREFIX + name)
    return []


@fault("all readers start again")
async def readers_restarted(world):
    names = _readers(world)
    for name in names:
        world.kill(name)
    for name in names:
        await world.start(name)
    await trio.sleep(4.0)
    return []


@when("{faults}, while {count:d} searchers leave one after the other")
def leave_around_faults(context, faults, count):
    async def scenario():
        async with context.world.open() as world:
            await trio.sleep(FLEET_SETTLE_S)
            [*names] = sorted(world.searchers)[1 : count + 1]
            async with trio.open_nursery() as nursery:

                async def leave():
                    for number, name in enumerate(names):
                        world.let_leave(name, ("says that it does", "loses its entry")[number % 2])
                        await trio.sleep(LEAVE_GAP_S)

                async def record():
                    context.used = await world.record_use(count * LEAVE_GAP_S + MEASURED_S)

                texts = faults.split(", ")
                for text in texts[:-1]:
                    context.exempt.update(await FAULTS[text](world))
                    await trio.sleep(FAULT_GAP_S)
                nursery.start_soon(leave)
                nursery.start_soon(record)
                await trio.sleep(FAULT_AFTER_S)
                context.exempt.update(await FAULTS[texts[-1]](world))

    context.used, context.exempt = {}, set()
    run_on_mock_clock(scenario)


@then("no other instance uses any of them later than the stated bound, which is below {drain:g} s")
def within_bound(context, drain):
    bound = known_within(drain)
    assert bound < drain
    late = {
        name: {one: used for one, used in times.items() if one not in context.exempt}
        for name, times in context.used.items()
    }
    late = {name: times for name, times in late.items() if max(times.values()) > bound}
    assert context.used and not late, (bound, late)


@given("an instance that the store turns away, which knows searchers up to revision {revision:d}")
def knows_searchers(context, revision):
    context.deployment = deployment = DeploymentState("entry-1", "a", HEADERS, BOUNDS)
    context.peers = peers = Peers(deployment, random.Random(1))
    instance = Instance("entry-1", "127.0.0.1", 1, "a")
    context.feed = PlatformFeed(Listen("127.0.0.1", 1), instance, random.Random(1))
    context.feed.deployment, context.feed.peers = deployment, peers
    context.revision = revision


@when("it pulls state with a leaving searcher from an instance whose {what}")
def pulls_state(context, what):
    catalog = Catalog(1, {}, {}, ClientLimits())
    ready = SearcherRecord("s1", "svc", "127.0.0.1", 1, "a", 2, False, 0.0, 1000)
    theirs = {
        SEARCHER_PREFIX: (0, context.revision + (-10 if "older" in what else 10)),
        feed.INSTANCE_PREFIX: (0, 1 if "instances" in what else context.revision + 10),
    }

    async def scenario():
        for prefix in (SEARCHER_PREFIX, feed.INSTANCE_PREFIX):
            context.feed._apply(Change(prefix, (), True, context.revision))
        context.deployment.apply_record(ready, 0.0)
        shared = SharedState(catalog, [ready._replace(draining=True)], [], theirs)
        context.peers._apply("entry-2", shared)

    run_on_mock_clock(scenario)


@then("the leaving searcher is {result}")
def leaving_searcher_is(context, result):
    used = context.deployment.searchers["s1"].usable(0.0)
    assert used == (result == "still used"), result
