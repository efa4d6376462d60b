"""Steps for the way of an announcement from the store to the last request."""

import msgspec
import trio
from behave import given, then, when

from rattanrelay.http import Request
from rattanrelay.platform import feed
from tests.harness.relay_world import StandInStore, run_on_mock_clock

#: Time in seconds in which the instances find their readers and no longer count as starting.
FLEET_SETTLE_S = 16.0
#: Time in seconds in which the use of a searcher that has left is observed.
MEASURED_S = 12.0


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
            readers = [name for name, one in world.daemons.items() if one.feed.sharing.followed]
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
            context.used = await world.used_for("s1", MEASURED_S)

    run_on_mock_clock(scenario)
