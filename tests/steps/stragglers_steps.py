"""Steps for scenarios with slow searchers and real processes."""

import time
from collections import Counter, defaultdict

from behave import given, then, when

from rattanrelay.decide.budget import BURST, RATIO
from tests.harness import wait_until
from tests.harness.openload import load, open_for_load
from tests.harness.traffic import Traffic

SHARES = {"tenant-1": 1.0, "tenant-2": 1.0}
#: Seconds and queries per second, far below the capacity of the searchers and the machine.
WARM_UP = (4.0, 30.0)
RUN = (9.0, 40.0)
INSTANCES = 2
SERVICE_MS = 30.0
SLOW_FACTOR = 4.0
SLOW_SHARE = 0.25
MIN_RESERVATIONS = 15
#: Seconds after the first answer by which a slower copy should have been cancelled.
CANCEL_MARGIN_S = 0.05


@given('a warm fleet for stragglers with services "{service}"')
def warm_fleet(context, service):
    fleet = open_for_load(
        context,
        service,
        entries=INSTANCES,
        backend_processes=2,
        scale=0.3,
        service_ms=SERVICE_MS,
    )
    context.service = service
    load(fleet, service, [WARM_UP], shares=SHARES, seed=2)


@when('searcher "{name}" takes 4 times as long and reports no load')
def slow_searcher(context, name):
    _slow(context, {"searchers": [name]}, report_load=0.0, report_state="warm")


@when('failure domain "{name}" takes 4 times as long and reports its load of 5 s ago')
def slow_domain(context, name):
    _slow(context, {"domains": [name]}, report_lag_ms=5000.0)


def _slow(context, select, **reports):
    changes = {"straggle": SLOW_FACTOR, **reports}
    context.slow = set(context.fleet.post("searchers/faults", select, set=changes))


@when("a load of different queries runs")
def run_queries(context):
    context.record = load(context.fleet, context.service, [RUN], shares=SHARES)
    context.by_searcher = {
        name: [run for run in journal["runs"] if run["kind"] == "search"]
        for name, journal in context.fleet.journals(context.record.started).items()
    }


@then("each straggler got at most 25% of the work of its shards")
def work_moved(context):
    snapshot = context.fleet.deployment.catalogs[context.service].snapshots[0]
    received = Counter()
    for name, runs in context.by_searcher.items():
        received.update((name, run["shard"]) for run in runs)
    for shard in snapshot.shards:
        total = sum(received[name, shard.name] for name in shard.searchers)
        assert total >= 100, (shard, total)
        for name in context.slow.intersection(shard.searchers):
            share = received[name, shard.name] / total
            assert share <= SLOW_SHARE, (name, shard.name, share)


@then("the extra sub-requests stayed within 2% and the bursts of the instances")
def extra_bounded(context):
    first = len(context.record.arrivals())
    extra = context.record.extra()
    assert first >= 500 and extra <= RATIO * first + BURST * INSTANCES, (extra, first)


@then("some straggling sub-requests were hedged, and the slower copies were cancelled")
def slower_copies_cancelled(context):
    runs_by_part = defaultdict(list)
    for name, runs in context.by_searcher.items():
        for run in runs:
            runs_by_part[run["body"], run["shard"]].append((name, run))
    cancelled, finished = 0, []
    for found in runs_by_part.values():
        slow = [run for name, run in found if name in context.slow]
        fast = [run for name, run in found if name not in context.slow and run["end"]]
        if not slow or not fast:
            continue
        cancelled += slow[0]["outcome"] == "cancelled"
        if slow[0]["outcome"] == "done" and slow[0]["end"] > fast[0]["end"] + CANCEL_MARGIN_S:
            finished.append(slow[0])
    assert cancelled >= 3 and len(finished) <= 0.1 * cancelled, (cancelled, finished[:2])


@then("each query got a correct and complete answer and no limit was exceeded")
def correct_and_complete(context):
    record = context.record
    assert not record.untrue(), record.untrue()[:3]
    partial = [one.answer for one in record.asked if not one.complete]
    assert len(record.asked) >= 100 and not partial, partial[:3]
    assert not context.fleet.violations(), context.fleet.violations()[:3]


@when("reservations run until the slow searcher ran {count:d} reservations")
def run_reservations(context, count):
    service = context.service
    [slow] = context.slow

    def ran():
        journals = context.fleet.journals(context.since)
        counts = {
            name: sum(run["kind"] == "action" for run in journal["runs"])
            for name, journal in journals.items()
        }
        return counts[slow] >= count and sum(counts.values()) >= MIN_RESERVATIONS

    context.since = time.time()
    context.traffic = Traffic(context.fleet, action_services=(service,), timeout_ms=2000)
    with context.traffic:
        wait_until(ran, f"{slow} ran {count} reservations")


@then("each reservation reached one searcher at most once and its outcome is correct")
def reserved_once(context):
    arrivals = Counter(
        run.body for run in context.fleet.runs(context.since) if run.kind == "action"
    )
    repeated = {body: count for body, count in arrivals.items() if count > 1}
    assert len(arrivals) >= MIN_RESERVATIONS and not repeated, (len(arrivals), repeated)
    assert not context.traffic.untrue_actions(), context.traffic.untrue_actions()[:3]
