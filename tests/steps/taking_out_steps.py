"""Steps for taking parts out of service, checked against the searchers' journals."""

import time

from behave import given, then, when

from tests.harness import Fleet, wait_until
from tests.harness.cell import dispatching, open_fleet, running, status, wait_owned
from tests.harness.traffic import Traffic

#: Seconds after which no new work reaches a part that is out or leaving (design, G4 and G8).
NO_NEW_WORK_S = 3.0
#: Number of answers to wait for after the bound, so that a late arrival is seen.
ANSWERS_AFTER = 100
RUNS_BEFORE = 20
#: Completed requests after which the owner gives a cold searcher one more slot.
RUNS_PER_SLOT = 8
THREADS = 8


@given("a proxied fleet of {count:d} instances under load")
def loaded_fleet(context, count):
    options = {"services": ("logging", "sample-booking"), "scale": 0.3}
    fleet = Fleet("norte", entries=count, own_routes=True, **options)
    open_fleet(context, fleet)
    context.traffic = Traffic(
        fleet,
        query_services=("logging",),
        action_services=("sample-booking",),
        threads=THREADS,
    )
    context.traffic.__enter__()
    context.add_cleanup(context.traffic.stop)
    # Each server must have run work and finished its slow start before the fault.
    wait_until(
        lambda: min(map(len, _runs(context, 0.0, services=["logging"]).values())) >= RUNS_BEFORE,
        "each searcher has run queries",
    )


def _runs(context, since, **select):
    """Return the runs of each selected searcher that arrived later than `since`."""
    journals = context.fleet.journals(since, **select)
    return {name: journal["runs"] for name, journal in journals.items()}


def _state(context, path, state):
    entry = running(context.fleet)[0]
    reply = entry.admin_client.call("POST", f"/v1/{path}/{state}")
    accepted = time.time()
    assert reply.status == 200, reply
    return accepted


def _select(path):
    kind, _, name = path.partition("/")
    return {kind: [name]}


@when("row {path} is taken out")
def take_out(context, path):
    if path == 'of the owner of "logging-01"':
        context.out_instance = _owner(context, "logging-01")
        path = f"instances/{context.out_instance.name}"
    else:
        context.select = _select(path)
    context.out_at = _state(context, path, "out")


@when("row {path} is taken out and the store goes down at once")
def take_out_and_down(context, path):
    take_out(context, path)
    context.fleet.platform.set_store_faults(down="refuse")


def _owner(context, server):
    entries = running(context.fleet)
    return next(entry for entry in entries if server in dispatching(entry))


@then("its servers get no new work later than 3 s after that")
def no_new_work(context):
    bound = context.out_at + NO_NEW_WORK_S
    _wait_answers(context, bound)
    late = [run for runs in _runs(context, bound, **context.select).values() for run in runs]
    assert not late, (len(late), bound, late[:3])


def _wait_answers(context, bound):
    wait_until(
        lambda: sum(one.status == 200 for one in context.traffic.since(bound)) >= ANSWERS_AFTER,
        f"{ANSWERS_AFTER} answers after the bound",
    )


@then("the work in flight there has ended")
def in_flight_ended(context):
    journals = context.fleet.journals(context.out_at - NO_NEW_WORK_S, **context.select)
    runs = [run for journal in journals.values() for run in journal["runs"]]
    assert runs, "there was no work in flight"
    cut = [run for run in runs if run["end"] is None or run["client_gone"]]
    assert not cut, cut[:3]
    unexpected = [run for run in runs if run["outcome"] not in ("done", "cancelled")]
    # A run may also have ended at its own deadline, which the edit does not cause.
    unexpected = [
        run for run in unexpected if run["outcome"] != "deadline" or run["end"] < run["deadline"]
    ]
    assert not unexpected, unexpected[:3]


@when("row {path} is returned")
def return_row(context, path):
    if path == "of that instance":
        path = f"instances/{context.out_instance.name}"
    context.back_at = time.time()
    _state(context, path, "in")


@then("its servers take work again, at first within the limit of a cold server")
def cold_at_first(context):
    def all_work():
        found = _runs(context, context.back_at, **context.select, services=["logging"])
        return min(map(len, found.values())) > 2 * RUNS_PER_SLOT and found

    found = wait_until(all_work, "each returned searcher takes work")
    rows = context.fleet.deployment.table.servers
    for name, runs in found.items():
        limit = rows[name.rpartition("/")[0]].cold_slots
        assert _peak_while_cold(runs) <= limit, (name, _peak_while_cold(runs))


def _peak_while_cold(runs):
    """Return the peak number of concurrent runs until enough have ended for another slot."""
    peak = 0
    started = [run for run in runs if run["start"] is not None]
    for run in started:
        at = run["start"]
        ended = sum(one["end"] is not None and one["end"] <= at for one in started)
        if ended < RUNS_PER_SLOT:
            begun = sum(one["start"] <= at for one in started)
            peak = max(peak, begun - ended)
    return peak


@when('backend server "{name}" begins to leave by itself and still accepts work')
def leave(context, name):
    context.select = {"servers": [name]}
    for control in context.fleet.backends:
        control.set_faults(context.select, leaving_accepts=True)
    context.out_at = time.time()
    context.fleet.post("searchers/leave", context.select)


@when('backend server "{name}" comes back')
def come_back(context, name):
    context.back_at = time.time()
    context.fleet.post("searchers/return", {"servers": [name]})


@then("no server gets new work from it later than 3 s after that")
def none_from_instance(context):
    bound = context.out_at + NO_NEW_WORK_S
    _wait_answers(context, bound)
    prefix = f"{context.out_instance.name}-"
    runs = [run for found in _runs(context, 0.0).values() for run in found]
    sent = [run for run in runs if run["request_id"].startswith(prefix)]
    assert sent, "the instance has sent nothing before it was taken out"
    late = [run for run in sent if run["arrived"] > bound]
    assert not late, (len(late), bound, late[:3])


@then("that instance reports that it is not ready and each server has another owner")
def others_own(context):
    assert not context.out_instance.caller_client.ready()
    servers = set(context.fleet.deployment.table.servers)
    others = [one for one in running(context.fleet) if one is not context.out_instance]
    wait_until(
        lambda: set().union(*(dispatching(entry) for entry in others)) == servers,
        "the others own all servers",
    )


@then("that instance is ready and owns backend servers again")
def owns_again(context):
    context.fleet.wait_ready(context.out_instance.name)
    wait_owned(context.fleet)
    assert dispatching(context.out_instance), status(context.out_instance)


@then("all answers were correct and no limit was exceeded")
def answers_correct(context):
    context.traffic.stop()
    assert not context.traffic.wrong(), context.traffic.wrong()[:3]
    assert not context.traffic.untrue_actions(), context.traffic.untrue_actions()[:3]
    assert not context.fleet.violations(), context.fleet.violations()[:3]
