"""Steps about planned changes of ownership, on a mock clock."""

import time
from collections import Counter

import trio
from behave import given, then, when
from dispatch_bench import Bench
from entry_fakes import SHARDS, make_entry, make_query, ok_result, refused_result, run_entry

from rattanrelay.errors import RelayError
from rattanrelay.node.retries import MAX_REROUTES
from tests.harness import wait_until
from tests.harness.cell import dispatching, running, status, table_revision

#: Replicas of each shard in the fake catalog.
REPLICAS = 2


@given("a new owner with a handover that ends after {seconds:g} s")
def bench_in_handover(context, seconds):
    context.bench = Bench(slots=2, connections=25)
    context.handover_s = seconds


@given("a new owner whose former owner is silent")
def bench_without_handover(context):
    context.bench = Bench(slots=2, connections=25)
    context.handover_s = 0.0
    context.bench.members.may_dispatch = lambda server: False


@when('shards "{shards}" are asked for during the handover within {timeout:g} s')
def ask_during_handover(context, shards, timeout):
    async def end_handover(bench):
        await trio.sleep(context.handover_s)
        context.early = len(bench.searcher.requests)
        bench.members.pending = False

    async def use(bench):
        bench.members.pending = context.handover_s > 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_handover, bench)
            started = trio.current_time()
            await bench.dispatcher.run(bench.query("q", shards.split(), timeout), bench.emit)
            context.took = trio.current_time() - started
        await trio.sleep(1)

    context.bench.run(use)


@then("{count:d} of them are answered, and nothing was sent before the handover ended")
def answered_after_handover(context, count):
    outcomes = context.bench.outcomes()
    assert sum(reason == "ok" for _, reason in outcomes) == count, outcomes
    assert len(outcomes) == 3, outcomes
    assert context.early == 0, context.early
    assert len(context.bench.searcher.requests) == count, context.bench.searcher.requests


@then("they are refused at once as no_owner")
def refused_at_once(context):
    assert [reason for _, reason in context.bench.outcomes()] == ["no_owner"] * 3
    assert context.took == 0.0, context.took


@when("a query meets owners that have all just handed their servers over")
def query_old_view(context):
    moved_at = 0.015

    def answer(target, sub):
        if trio.current_time() < moved_at:
            return 0.001, [refused_result(target, sub, "no_owner")]
        return 0.001, [ok_result(target, sub)]

    _run_query(context, answer)


@when("a query meets owners that refuse all work as no_owner")
def query_without_owners(context):
    _run_query(context, lambda target, sub: (0.0, [refused_result(target, sub, "no_owner")]))


def _run_query(context, answer):
    asked = Counter()

    def counted(target, sub):
        seconds, results = answer(target, sub)
        asked[target.searcher, target.shard, results[0].status] += 1
        return seconds, results

    async def main():
        entry, _ = make_entry(counted, policy="tail")
        try:
            context.answer = await entry.query(make_query())
        except RelayError as error:
            context.error = error

    context.error = None
    context.asked = asked
    run_entry(main)


@then("its answer misses nothing and each server got each shard at most once")
def whole_answer(context):
    assert context.error is None, context.error
    assert context.answer.coverage.answered == SHARDS, context.answer.coverage
    done = [count for (_, _, verdict), count in context.asked.items() if verdict == "ok"]
    assert len(done) == SHARDS and set(done) == {1}, done


@then("each replica was asked a bounded number of times and the query fails as not run")
def bounded(context):
    assert (context.error.code, context.error.ran) == ("no_owner", "not_run"), context.error
    assert len(context.asked) == REPLICAS * SHARDS, len(context.asked)
    assert max(context.asked.values()) <= 1 + MAX_REROUTES, max(context.asked.values())


# With real processes.

ANSWERS_AFTER_MOVE = 100


@given('a soft deadline of {milliseconds:d} ms for "{service}"')
def soft_deadline(context, milliseconds, service):
    entries = running(context.fleet)
    path = f"/v1/table/services/{service}/soft_deadline_ms"
    reply = entries[0].admin_client.call("PUT", path, {"value": milliseconds})
    assert reply.status == 200, reply
    revision = reply.json()["revision"]
    wait_until(lambda: min(map(table_revision, entries)) >= revision, "the edit is in force")
    context.moved_at = time.time()


@when('instance "{name}" is stopped with SIGTERM and started again under load')
def stop_and_start(context, name):
    fleet = context.fleet
    fleet.list_instance(name, "leaving")
    assert fleet.entries[name].process.stop() == 0
    fleet.start_entry(name)
    fleet.wait_ready(name)
    fleet.list_instance(name)


@then("the new owners answer and no answer misses a shard for want of one")
def no_gap(context):
    fleet, traffic = context.fleet, context.traffic
    servers = set(fleet.deployment.table.servers)
    wait_until(
        lambda: set().union(*(dispatching(entry) for entry in running(fleet))) == servers,
        "each server has an owner",
    )
    now = time.time()
    wait_until(lambda: len(traffic.since(now, "query")) >= ANSWERS_AFTER_MOVE, "more answers")
    gaps = [
        one
        for one in traffic.since(context.moved_at, "query")
        if one.answer.get("code") == "no_owner" or "no_owner" in _reasons(one)
    ]
    assert not gaps, (len(gaps), gaps[0])


def _reasons(one):
    coverage = one.answer.get("coverage", {"missing": []})
    return {item["reason"] for item in coverage["missing"]}


@when('the weight of instance "{name}" is set to {weight:d} under load')
def set_weight(context, name, weight):
    entries = running(context.fleet)
    before = dispatching(context.fleet.entries[name])
    context.owned = getattr(context, "owned", before)
    path = f"/v1/table/instances/{name}/weight"
    reply = entries[0].admin_client.call("PUT", path, {"value": weight})
    assert reply.status == 200, reply

    def in_view():
        members = [member for entry in entries for member in status(entry)["members"]]
        found = [member["weight"] for member in members if member["instance"] == name]
        return found == [weight] * len(entries)

    wait_until(in_view, "each instance has a view with the weight")


@then('instance "{name}" is a member of the view and dispatches to no server')
def member_without_servers(context, name):
    assert context.owned
    assert dispatching(context.fleet.entries[name]) == set()
    assert context.fleet.entries[name].caller_client.ready()


@then('instance "{name}" dispatches to more servers than with weight 1')
def more_servers(context, name):
    entry = context.fleet.entries[name]
    wait_until(lambda: len(dispatching(entry)) > len(context.owned), "it took servers over")
