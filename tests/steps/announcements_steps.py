"""Steps for the way of an announcement from the store to the last request."""

import msgspec
import trio
from behave import then, when

from rattanrelay.http import Request
from tests.harness.relay_world import StandInStore, run_on_mock_clock


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
