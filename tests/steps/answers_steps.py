"""Steps of the features on snapshots, coverage, outcomes, crashing requests and cold starts."""

import itertools
import time
from collections import Counter

from behave import given, then, when

from rattanrelay.emulator.answers import ANSWER_FAULTS
from rattanrelay.emulator.corpus import query_digest
from tests.harness import Fleet, wait_until
from tests.harness.traffic import Traffic, check_query_answer

#: More distinct queries than any scenario sends.
ALL_DISTINCT = 10**12
FLIP_S = 0.25
#: Answers that must arrive before a phase of a scenario counts as seen.
ENOUGH = 60


@given('a small fleet of "{deployment}" with service "{service}"')
def small_fleet(context, deployment, service):
    open_fleet(context, deployment, service)


def open_fleet(context, deployment, service, **options):
    """Start 3 instances in front of the servers of one service at a small scale."""
    settings = {"entries": 3, "services": (service,), "scale": 0.3, **options}
    context.service = service
    context.traffic = None
    context.numbers = itertools.count(1)
    context.fleet = fleet = Fleet(deployment, **settings)
    fleet.__enter__()
    context.add_cleanup(fleet.close)
    fleet.start_entries()
    for client in clients(context):
        wait_until(
            lambda client=client: _is_complete(ask(context, client)[1]),
            "each instance answers completely",
        )


def clients(context):
    """Return the caller clients of all instances."""
    return [entry.caller_client for entry in context.fleet.entries.values()]


def ask(context, client, **options):
    """Send a query that no one else sends; returns the query and the reply."""
    query = {"filter": {"term": f"own-{next(context.numbers)}"}, "limit": 5}
    reply = client.query(context.service, query["filter"], 5, timeout_ms=3000, **options)
    return query, reply


def _is_complete(reply):
    return reply.status == 200 and not reply.json()["coverage"]["missing"]


def newest(context):
    """Return the newest snapshot of the service under test."""
    return context.fleet.deployment.catalogs[context.service].snapshots[0]


def answered(context, since=0.0):
    """Return the answers to queries that were sent after a time."""
    return [one.answer for one in context.traffic.since(since, "query") if one.status == 200]


def complete(context, since=0.0):
    """Return the answers that cover all shards."""
    return [one for one in answered(context, since) if not one["coverage"]["missing"]]


@given("answer callers that send distinct queries")
def distinct_callers(context):
    context.traffic = Traffic(
        context.fleet,
        query_services=(context.service,),
        threads=6,
        distinct_queries=ALL_DISTINCT,
    )
    context.traffic.__enter__()
    context.add_cleanup(context.traffic.stop)


@when("the index version flips {rate:d} times a second until {count:d} queries were answered")
def flip(context, rate, count):
    def flip_once():
        previous = newest(context).name
        context.fleet.add_snapshot(context.service, f"v-{next(context.numbers)}")
        context.fleet.drop_snapshot(context.service, previous)
        time.sleep(1 / rate)
        return len(answered(context)) >= count

    wait_until(flip_once, f"{count} answers")


@when("the shards are repartitioned {count:d} times while slow queries run")
def repartition(context, count):
    context.fleet.post("searchers/faults", {}, set={"straggle": 3.0})
    sizes = itertools.cycle((9, 5, 12, 6))
    for size in itertools.islice(sizes, count):
        start = time.time()
        context.fleet.add_snapshot(context.service, f"v-{next(context.numbers)}", size)
        new = newest(context).name
        # Some shards of the new version must have been answered before the next change.
        wait_until(
            lambda start=start, new=new: any(
                one["snapshot"] == new for one in answered(context, start)
            ),
            "an answer from the new partition",
        )


@then("no answer mixed snapshots and each gap was named")
def no_mix(context):
    context.traffic.stop()
    assert not context.traffic.wrong(), context.traffic.wrong()[:3]
    assert len(answered(context)) >= ENOUGH
    hits = [hit for one in answered(context) for hit in one["hits"]]
    assert hits
    mixed = [
        one
        for one in answered(context)
        if {hit["snapshot"] for hit in one["hits"]} - {one["snapshot"]}
    ]
    assert not mixed, mixed[:3]


@then("no query was run against more than two snapshots")
def at_most_two(context):
    asked = {}
    for run in context.fleet.runs():
        asked.setdefault(run.body, set()).add(run.snapshot)
    assert len(asked) >= ENOUGH
    assert max(map(len, asked.values())) <= 2, max(asked.items(), key=lambda item: len(item[1]))


@then("complete answers came from at least {count:d} versions")
def versions(context, count):
    found = {one["snapshot"] for one in complete(context)}
    assert len(found) >= count, found


@when("the replicas of each shard keep only the old or only the new version")
def split_versions(context):
    context.old = newest(context)
    context.fleet.add_snapshot(context.service, "split")
    context.new = newest(context)
    hold(context, lambda number, replica: replica == 0)
    context.since = time.time()


@when("no version is held for all shards")
def halves(context):
    hold(context, lambda number, replica: number % 3 == 0)
    context.since = time.time()


def hold(context, keeps_old):
    """Let each replica hold one version of its shards; `keeps_old(shard number, replica)`."""
    holdings = {}
    for snapshot, is_old in ((context.old, True), (context.new, False)):
        for number, shard in enumerate(snapshot.shards):
            for replica, searcher in enumerate(shard.searchers):
                names = holdings.setdefault(searcher, {}).setdefault(snapshot.name, [])
                if keeps_old(number, replica) == is_old:
                    names.append(shard.name)
    for control in context.fleet.backends:
        own = control.searchers().keys() & holdings.keys()
        control.post("searchers/hold", holdings={one: holdings[one] for one in own})


@then("new queries are answered completely")
def new_complete(context):
    wait_until(
        lambda: len(complete(context, context.since)) >= ENOUGH, "complete answers after the split"
    )


@then('new queries name the shards that lack the version as "{reason}"')
def named_gaps(context, reason):
    names = [shard.name for shard in context.new.shards]
    lacking = {
        context.old.name: {name for number, name in enumerate(names) if number % 3},
        context.new.name: {name for number, name in enumerate(names) if number % 3 == 0},
    }

    def seen():
        exact = 0
        for one in answered(context, context.since):
            gaps = {gap["shard"]: gap["reason"] for gap in one["coverage"]["missing"]}
            assert lacking[one["snapshot"]] <= gaps.keys(), one
            exact += gaps == dict.fromkeys(lacking[one["snapshot"]], reason)
        return exact >= ENOUGH

    wait_until(seen, "answers with exactly the gaps of their version")


@when("the version in use is dropped by all searchers")
def drop_in_use(context):
    context.old = newest(context)
    context.fleet.add_snapshot(context.service, "short-lived")
    new = newest(context).name
    for client in clients(context):
        wait_until(
            lambda client=client: ask(context, client)[1].json().get("snapshot") == new,
            "each instance uses the new version",
        )
    context.fleet.drop_snapshot(context.service, new)


@then("each instance answers its next query completely from the other version after one new run")
def restarted(context):
    for client in clients(context):
        query, reply = ask(context, client)
        answer = reply.json()
        assert reply.status == 200, answer
        assert answer["snapshot"] == context.old.name, answer
        assert not check_query_answer(context.fleet, context.service, query, answer)
        asked = {run.snapshot for run in context.fleet.runs() if run.body == query_digest(query)}
        assert asked == {"short-lived", context.old.name}, asked


@given('a proxied fleet of "{deployment}" with service "{service}"')
def proxied_fleet(context, deployment, service):
    open_fleet(context, deployment, service, proxied_servers=True)


def domain_searchers(context):
    """Return the names of the searchers of the first failure domain."""
    domain = context.fleet.deployment.servers[0].failure_domain
    found = context.fleet.searchers().items()
    return [name for name, one in found if one["failure_domain"] == domain]


def wait_answers(context, since, count=ENOUGH):
    """Wait until callers got answers to queries that they sent after a time."""
    wait_until(lambda: len(answered(context, since)) >= count, f"{count} answers")


def wait_healed(context):
    """Wait until several answers in turn cover all shards."""
    start = time.time()
    wait_until(lambda: len(complete(context, start)) >= ENOUGH, "complete answers again")


@when("the answers of one failure domain are spoilt in turn as")
def spoil_in_turn(context):
    names = domain_searchers(context)
    context.spoilt = {}
    for row in context.table:
        context.fleet.post("searchers/faults", {"searchers": names}, set={"answer": row["fault"]})
        start = time.time()

        def done(start=start):
            runs = context.fleet.runs(start, searchers=names)
            return [run for run in runs if run.outcome == "done" and run.start >= start]

        wait_until(lambda done=done: len(done()) >= 5, f"5 answers spoilt as {row['fault']}")
        wait_answers(context, start)
        context.spoilt[row["fault"]] = done()
        context.fleet.post("searchers/faults", {}, set={}, reset=True)
        wait_healed(context)


@then("no connection was used again after a spoilt answer")
def not_used_again(context):
    assert len(context.spoilt) == len(ANSWER_FAULTS), context.spoilt.keys()
    for fault, runs in context.spoilt.items():
        peers = Counter(run.peer for run in runs)
        assert max(peers.values()) == 1, (fault, peers)


@then("no answer claimed more or less than the shards it covers")
def true_coverage(context):
    context.traffic.stop()
    assert not context.traffic.wrong(), context.traffic.wrong()[:3]
    assert len(answered(context)) >= ENOUGH
    broken = [one for one in context.traffic.since(0) if not one.status]
    assert not broken, broken[:3]
    assert not context.fleet.violations(), context.fleet.violations()[:3]


@when("one failure domain suffers in turn")
def suffer_in_turn(context):
    names = domain_searchers(context)
    for row in context.table:
        disturb, calm = DISTURBANCES[row["disturbance"]]
        start = time.time()
        disturb(context, names)
        wait_answers(context, start)
        calm(context, names)
        wait_healed(context)


def _post(path, **body):
    return lambda context, names: context.fleet.post(path, {"searchers": names}, **body)


def _proxy(**faults):
    def change(context, names):
        context.fleet.platform.set_proxy_faults(*names, **faults)

    return change


def _cut(context, names):
    """Reset all connections of the searchers several times while queries run on them."""
    for _ in range(5):
        context.fleet.platform.post("proxies/cut", routes=names)
        time.sleep(0.1)


def _nothing(context, names):
    pass


HEALTHY = _post("searchers/faults", set={}, reset=True)

#: How each disturbance starts and how it ends.
DISTURBANCES = {
    "crash": (_post("searchers/crash"), _nothing),
    "cut": (_cut, _nothing),
    "partition": (_proxy(black_hole="both"), _proxy()),
    "shed": (_post("searchers/faults", set={"shed": True}), HEALTHY),
    "hang": (_post("searchers/faults", set={"hang": True}), HEALTHY),
    "late": (_post("searchers/faults", set={"straggle": 30.0, "ignore_cancel": True}), HEALTHY),
    "pieces": (_proxy(piece_bytes=64, piece_gap_ms=0.2), _proxy()),
    "leave": (_post("searchers/leave"), _post("searchers/return")),
}


@when("both searchers of one shard fail in turn and the shard is named with the reason")
def shard_without_replica(context):
    shard = newest(context).shards[0]
    names = list(shard.searchers)
    for row in context.table:
        fault = row["fault"]
        start = time.time()
        if fault == "crash":
            context.fleet.post("searchers/crash", {"searchers": names}, down_ms=3000)
        else:
            faults = {fault: True} if fault in ("shed", "hang") else {"answer": fault}
            context.fleet.post("searchers/faults", {"searchers": names}, set=faults)

        def named(start=start, reason=row["reason"]):
            gaps = [
                (gap["shard"], gap["reason"])
                for one in answered(context, start)
                for gap in one["coverage"]["missing"]
            ]
            return gaps.count((shard.name, reason)) >= 3

        wait_until(named, f"{shard.name} is named with {row['reason']} during {fault}")
        HEALTHY(context, names)
        wait_healed(context)


@then("no query was refused as one that crashes servers")
def none_blocked(context):
    codes = Counter(one.answer.get("code") for one in context.traffic.since(0, "query"))
    assert not codes["request_blocked"], codes
