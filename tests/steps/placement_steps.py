"""Steps for the choice of searchers that tell their load, on a mock clock."""

import eliot
import trio
from behave import given, then, when

from tests.harness.relay_world import RelayWorld, StandInSearcher, run_on_mock_clock


@given("3 searchers that answer in {work:d} ms, of which one tells {queue} and the others {idle}")
def telling_searchers(context, work, queue, idle):
    context.searchers = [
        StandInSearcher(f"s{number}", "single", "a", work=work / 1000) for number in range(3)
    ]
    for number, searcher in enumerate(context.searchers):
        searcher.load = idle if number else queue


@when("{count:d} requests come, {rate:d} a second, and each choice is logged")
def send_requests(context, count, rate):
    messages = []

    async def scenario():
        world = RelayWorld(context.searchers)
        world.route("single", traffic_split=[{"service": "single", "weight": 1.0}])
        async with world.open():
            daemon = world.daemons["entry-1"]
            daemon.deployment.log_choices = True
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(world.ask, "single")
                    await trio.sleep(1 / rate)
            context.totals = daemon.deployment.costs.totals
            context.metrics = (await daemon._answer_metrics(None)).body.decode()

    eliot.add_destinations(messages.append)
    try:
        run_on_mock_clock(scenario)
    finally:
        eliot.remove_destination(messages.append)
    context.choices = [one for one in messages if one.get("message_type") == "searcher.chosen"]


@then("the searcher with the queue gets at most {most:d} of {count:d} requests")
def few_requests(context, most, count):
    ran = [len(searcher.ran) for searcher in context.searchers]
    assert sum(ran) >= count and ran[0] <= most, ran


@then("choices are logged with their offers, and expected costs are near {cost:d} ms")
def logged(context, cost):
    # The first requests find no searcher that has told its load.
    assert len(context.choices) >= 195, len(context.choices)
    assert all(len(choice["offers"]) in (2, 3) for choice in context.choices)
    totals = context.totals["single"]
    assert abs(totals.expected / totals.answers - cost / 1000) < 0.005, totals.expected
    assert 'rattanrelay_told_requests{instance="entry-1",state="waiting"} 12' in context.metrics
