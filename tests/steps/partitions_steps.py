"""Steps for partitions between instances."""

import time

from behave import given, then, when

from rattanrelay.decide.lease import LEASE_S
from tests.harness import Fleet, wait_until
from tests.harness.cell import dispatching, open_fleet, running, wait_owned
from tests.harness.traffic import Traffic

#: Seconds within which a searcher records a request that was sent under the lease.
RECORDED_S = 1.0
#: Number of answers that must be seen after the bound during a partition.
ANSWERS = 20

#: Directions that are cut on the links that the minority opens, and on those opened to it.
CUTS = {
    "are cut from the others in both ways": ("both", "both"),
    "cannot send to the others": ("to_target", "to_client"),
    "cannot receive from the others": ("to_client", "to_target"),
    "are cut from the others and the store": ("both", "both"),
}


@given("a partitioned fleet of {count:d} instances under load")
def partitioned_fleet(context, count):
    options = {"services": ("logging", "sample-booking"), "scale": 0.3}
    open_fleet(context, Fleet("norte", entries=count, own_routes=True, **options))
    context.traffic = Traffic(
        context.fleet, query_services=("logging",), action_services=("sample-booking",)
    )
    context.traffic.__enter__()
    context.add_cleanup(context.traffic.stop)


def _names(text):
    return [name.strip() for name in text.split(",")]


def _register(cut):
    @when(f'instances "{{names}}" {cut}')
    def partition(context, names):
        fleet = context.fleet
        context.minority = _names(names)
        context.majority = [name for name in fleet.entries if name not in context.minority]
        wait_until(lambda: _sent_by(context, context.minority, 0.0), "work sent by the minority")
        own, others = CUTS[cut]
        for one in context.minority:
            for other in context.majority:
                fleet.cut_peers(one, other, own)
                fleet.cut_peers(other, one, others)
        if cut.endswith("store"):
            fleet.cut_store(*context.minority)
        context.cut_at = time.time()


for _cut in CUTS:
    _register(_cut)


def _sent_by(context, names, since):
    """Return the runs sent by the named instances that arrived later than `since`."""
    prefixes = tuple(f"{name}-" for name in names)
    runs = context.fleet.runs(since)
    return [run for run in runs if run.request_id.startswith(prefixes)]


@then("no server gets work from them later than their lease allows")
def minority_stops(context):
    bound = context.cut_at + LEASE_S + RECORDED_S
    wait_until(
        lambda: len(context.traffic.since(bound, "query")) >= ANSWERS, "answers after the bound"
    )
    late = _sent_by(context, context.minority, bound)
    assert not late, (len(late), bound, late[:2])


@then("the other instances own all servers and answer queries completely")
def majority_continues(context):
    fleet = context.fleet
    servers = set(fleet.deployment.table.servers)
    entries = [fleet.entries[name] for name in context.majority]
    wait_until(
        lambda: set().union(*(dispatching(entry) for entry in entries)) == servers,
        "the majority owns all servers",
    )
    start = time.time()
    for name in context.majority:
        wait_until(lambda name=name: _complete(context, start, name), f"answers of {name}")


def _complete(context, start, name):
    answers = [one for one in context.traffic.since(start, "query") if one.instance == name]
    return any(one.status == 200 and not one.answer["coverage"]["missing"] for one in answers)


@then("queries through them get correct answers")
def minority_answers(context):
    start = time.time()
    for name in context.minority:
        wait_until(
            lambda name=name: any(
                one.instance == name for one in context.traffic.since(start, "query")
            ),
            f"answers of {name}",
        )
    assert not context.traffic.wrong(), context.traffic.wrong()[:3]


@when('instances "{one}" and "{other}" lose contact with each other')
def pair_cut(context, one, other):
    context.fleet.cut_peers(one, other)
    context.fleet.cut_peers(other, one)
    context.cut_at = time.time()


@then("each server has an owner again while they have no contact")
def owners_again(context):
    fleet = context.fleet
    servers = set(fleet.deployment.table.servers)
    bound = context.cut_at + LEASE_S + RECORDED_S
    wait_until(
        lambda: len(context.traffic.since(bound, "query")) >= ANSWERS, "answers after the cut"
    )
    wait_until(
        lambda: set().union(*(dispatching(entry) for entry in running(fleet))) == servers,
        "each server has an owner",
    )


@when("the partition heals")
def heal(context):
    context.fleet.heal_routes()


@then("all instances are in one view again and each server has an owner")
def one_view(context):
    wait_owned(context.fleet)


@then("no limit was exceeded and every answer was correct")
def nothing_exceeded(context):
    context.traffic.stop()
    assert not context.traffic.wrong(), context.traffic.wrong()[:3]
    assert not context.traffic.untrue_actions(), context.traffic.untrue_actions()[:3]
    assert not context.fleet.violations(), context.fleet.violations()[:3]
