"""Steps for overload scenarios with real processes."""

from behave import given, then, when

from rattanrelay.decide.admission import WINDOW_S, ConcurrencyLimit
from tests.harness.openload import load, open_for_load

SERVICE = "register-search"
INSTANCES = 2
#: Long enough that the searchers and not the processor are the bottleneck.
SERVICE_MS = 200.0
#: Servers, searchers per server and slots per searcher; each shard has two searchers.
SERVERS, SEARCHERS, SLOTS = 4, 2, 2
SHARDS = SERVERS * SEARCHERS // 2
CAPACITY = SERVERS * SEARCHERS * SLOTS / (SERVICE_MS / 1000) / SHARDS
SHARES = {"tenant-1": 1.0, "tenant-2": 1.0, "tenant-3": 1.0}
#: Status of a refusal by admission control; a query without any answered shard has another one.
REFUSED = 429
WARM_UP = (6.0, CAPACITY / 2)
#: Seconds at the start of the overload during which admission control adapts.
ADAPT_S = 2.0


@given("a small fleet whose capacity is {capacity:d} queries a second")
def small_fleet(context, capacity):
    assert capacity == CAPACITY
    fleet = open_for_load(
        context,
        SERVICE,
        entries=INSTANCES,
        backend_processes=1,
        scale=0.2,
        service_ms=SERVICE_MS,
        service_shape="constant",
    )
    assert len(fleet.deployment.shards(SERVICE)) == SHARDS


@when("it gets {w:d} s of {a:d}, {x:d} s of {b:d}, {y:d} s of {c:d} and {z:d} s of {d:d} {unit}")
def phases(context, w, a, x, b, y, c, z, d, unit):
    assert unit == "queries a second"
    context.overload = (w + ADAPT_S, w + x)
    context.last = (w + x + y, w + x + y + z)
    spans = [(w, a), (x, b), (y, c), (z, d)]
    context.record = load(context.fleet, SERVICE, spans, shares=SHARES)


@when('the other tenants send {few:d} queries a second and "{greedy}" sends {many:d} for {s:d} s')
def greedy_tenant(context, few, greedy, many, s):
    load(context.fleet, SERVICE, [WARM_UP], shares=SHARES, seed=2)
    others = [name for name in SHARES if name != greedy]
    shares = {greedy: many, **dict.fromkeys(others, few / len(others))}
    context.greedy = greedy
    context.record = load(context.fleet, SERVICE, [(s, many + few)], shares=shares)


@then("in the overload the searchers spent at least {percent:d}% of their capacity on {what}")
def goodput(context, percent, what):
    assert what == "answered queries"
    record = context.record
    start, end = (record.started + edge for edge in context.overload)
    answered = {one.digest for one in record.asked if one.status == 200}
    useful = sum(
        max(0.0, min(run.end, end) - max(run.start, start))
        for run in record.runs
        if run.outcome == "done" and run.body in answered
    )
    share = useful / ((end - start) * SERVERS * SEARCHERS * SLOTS)
    assert share * 100 >= percent, share


@then("the searchers got at most {most:g} sub-requests for each shard of a query that {rest}")
def no_retry_storm(context, most, rest):
    arrivals = context.record.arrivals()
    worked_on = {body for body, _ in arrivals}
    assert sum(arrivals.values()) <= most * len(worked_on) * SHARDS


@then("no sub-request was hedged while the service was overloaded")
def no_hedges(context):
    record = context.record
    start, end = (record.started + edge for edge in context.overload)
    first = {}
    extra = []
    for run in sorted(record.runs, key=lambda run: run.arrived):
        key = run.body, run.shard
        if key in first and start <= run.arrived < end:
            extra.append((first[key], run))
        first.setdefault(key, run)
    assert not extra, extra[:2]


@then("each answer was correct, each refusal came before any part ran, and no limit was exceeded")
def all_correct(context):
    untrue = context.record.untrue()
    assert not untrue, untrue[:3]
    refused = [one for one in context.record.asked if one.status == REFUSED]
    assert len(refused) >= 20
    assert all(one.answer["outcome"] == "not_run" for one in refused), refused[:3]
    assert not context.fleet.violations(), context.fleet.violations()[:3]


@then("in the last phase each query got a complete answer")
def normal_again(context):
    asked = context.record.between(*context.last)
    partial = [one.answer for one in asked if not one.complete]
    assert len(asked) >= 20 and not partial, partial[:3]


@then("at least {percent:d}% of the other tenants' queries got a complete answer")
def others_served(context, percent):
    asked = [one for one in context.record.asked if one.tenant != context.greedy]
    complete = sum(one.complete for one in asked)
    left = [
        (round(one.at - context.record.started, 1), one.status) for one in asked if not one.complete
    ]
    assert len(asked) >= 20 and complete * 100 >= percent * len(asked), (len(asked), left)


@when("all of {count:d} queries that started together end late, one each 0.1 s")
def late_batch(context, count):
    context.limit = ConcurrencyLimit()
    context.before = context.limit.value
    for number in range(1, count + 1):
        context.limit.finished(10, 10, number * WINDOW_S, started=0.0)


@then("the limit is half of what it was, and the next late query lowers it further")
def lowered_once(context):
    limit = context.limit
    assert limit.value == context.before / 2, limit.value
    limit.finished(10, 10, 100.0, started=50.0)
    assert limit.value == context.before / 4, limit.value
