"""Steps of the load generator."""

import itertools
import json
from collections import Counter
from random import Random

import trio
import trio.testing
from behave import given, then, when

from rattanrelay.load import Arrival, LoadPlan, Phase, Recorder, arrivals, render_json, render_table
from rattanrelay.load import runner as load_runner
from rattanrelay.load.arrivals import parse_phases, parse_shares

PHASES = [Phase(50, 20), Phase(50, 80)]
SHARES = {"a": 1.0, "b": 3.0}


@then("the same seed gives the same arrivals, and another seed gives others")
def same_seed(context):
    first = list(arrivals(PHASES, SHARES, Random(1)))
    assert first == list(arrivals(PHASES, SHARES, Random(1)))
    assert first != list(arrivals(PHASES, SHARES, Random(2)))
    context.arrivals = first


@then("rates and tenant shares of a long schedule are those of the plan")
def rates(context):
    phases = Counter(one.phase for one in context.arrivals)
    tenants = Counter(one.tenant for one in context.arrivals)
    assert 850 < phases[0] < 1150, phases
    assert 3700 < phases[1] < 4300, phases
    assert 2.6 < tenants["b"] / tenants["a"] < 3.4, tenants
    assert all(one.at < later.at for one, later in itertools.pairwise(context.arrivals))


class StallingServer:
    """Sends no answer before `stall_s`, and answers immediately from then on."""

    def __init__(self, stall_s):
        self.stall_s = stall_s

    async def send(self, target, request):
        await trio.sleep_until(self.stall_s)
        body = json.dumps({"outcome": "done"}).encode()
        return load_runner.Response(200, {}, body)

    async def aclose(self):
        """Do nothing, since no connection is open."""


@given("a server that stalls for {seconds:d} s and then answers at once")
def stalling(context, seconds):
    context.server = StallingServer(seconds)


@when("{rate:d} requests a second are sent for {seconds:d} s")
def send(context, rate, seconds):
    plan = LoadPlan(("x:1",), "logging", (Phase(seconds, rate),), {"a": 1.0}, seed=3)

    async def main():
        # The mock clock starts at 0, which is the start of the schedule.
        return await load_runner.run_load(plan, clients=context.server)

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.recorder = trio.run(main, clock=clock)
    context.plan = plan


@then("the latency of requests sent during the stall includes the whole wait")
def latency_includes_wait(context):
    schedule = list(arrivals(list(context.plan.phases), {"a": 1.0}, Random(3)))
    stalled = [one for one in schedule if one.at < context.server.stall_s]
    expected = max(context.server.stall_s - one.at for one in stalled)
    total = context.recorder.summary()["total"]
    assert total["requests"] == len(schedule)
    assert abs(total["max_ms"] / 1000 - expected) < 0.01, (total, expected)


@when('phases "{phases}" and tenants "{tenants}" are read')
def read_plan(context, phases, tenants):
    context.error = ""
    try:
        parse_phases(phases)
        parse_shares(tenants)
    except ValueError as error:
        context.error = str(error)


@then('the plan is refused because of "{cause}"')
def refused(context, cause):
    assert repr(cause) in context.error, context.error


@given("answers that are complete, partial and refused")
def answers(context):
    recorder = Recorder()
    arrival = Arrival(0, 0.0, "a", 0)
    complete = {"outcome": "done", "coverage": {"shards": 4, "answered": 4, "missing": []}}
    missing = {"shard": "s1", "reason": "deadline"}
    partial = {"outcome": "done", "coverage": {"shards": 4, "answered": 3, "missing": [missing]}}
    recorder.add(arrival, 0.010, 200, complete)
    recorder.add(arrival, 0.020, 200, partial)
    recorder.add(arrival, 0.001, 429, {"outcome": "not_run", "code": "overloaded"})
    context.summary = recorder.summary()


@then("the table and the JSON report state coverage, missing shards and refusals")
def reports(context):
    table = render_table(context.summary)
    assert "refused overloaded: 1" in table and "missing deadline: 1" in table, table
    total = json.loads(render_json(context.summary))["total"]
    assert (total["requests"], total["done"], total["complete"]) == (3, 2, 0.5)
    assert total["coverage"] == 0.875
    assert total["outcomes"] == {"done": 2, "not_run": 1}
