"""Steps for the rolling replacement of a whole fleet."""

import time
from typing import NamedTuple

from behave import given, then, when

from tests.harness import Fleet
from tests.harness.cell import dispatching, open_fleet, running, status, wait_owned
from tests.harness.logs import DRAIN_PHASES, logged, phases_of_drain
from tests.harness.traffic import Traffic

#: Seconds within which a graceful shutdown ends (design, section 5).
STOP_TIMEOUT_S = 15.0
#: Few callers, as the processes share one machine with those of other features.
THREADS = 2


class Stopped(NamedTuple):
    """A process that was stopped; `owned` has the servers that the others owned at its exit."""

    name: str
    pid: int
    signalled: float
    exited: float
    status: int
    members: list[str]
    owned: set[str]


@given('a fleet of "{deployment}" with {count:d} instances, one more name and services "{names}"')
def fleet_with_spare(context, deployment, count, names):
    services = tuple(name.strip() for name in names.split(","))
    fleet = Fleet(deployment, entries=count + 1, services=services, scale=0.3)
    context.first = tuple(fleet.entries)[:count]
    context.spare = tuple(fleet.entries)[count]
    open_fleet(context, fleet, context.first)


@given("a few callers that send through the balancer")
def few_callers(context):
    context.traffic = Traffic(
        context.fleet,
        query_services=("logging",),
        action_services=("sample-booking",),
        threads=THREADS,
        balanced=True,
    )
    context.traffic.__enter__()
    context.add_cleanup(context.traffic.stop)


@when("each instance in turn is stopped with SIGTERM after a new one has joined")
def replace_all(context):
    context.pids = {name: context.fleet.entries[name].process.child.pid for name in context.first}
    context.stops = []
    new = context.spare
    for old in context.first:
        _join(context.fleet, new)
        context.stops.append(_stop(context.fleet, old))
        new = old


def _join(fleet, name):
    """Start an instance and wait until it is a member and each server has an owner."""
    fleet.start_entry(name)
    fleet.wait_ready(name)
    fleet.list_instance(name)
    wait_owned(fleet)


def _stop(fleet, name):
    entry = fleet.entries[name]
    pid = entry.process.child.pid
    fleet.list_instance(name, "leaving")
    signalled = time.time()
    code = entry.process.stop()
    exited = time.time()
    others = running(fleet)
    owned = set().union(*(dispatching(one) for one in others))
    members = [member["instance"] for member in status(others[0])["members"]]
    return Stopped(name, pid, signalled, exited, code, members, owned)


@then("all nine processes of the beginning have ended and nine others run")
def all_replaced(context):
    assert {stop.name: stop.pid for stop in context.stops} == context.pids
    now = {one.process.child.pid for one in running(context.fleet)}
    assert len(context.pids) == len(now) == 9 and not now & set(context.pids.values()), now
    took = context.stops[-1].exited - context.stops[0].signalled
    stops = [round(stop.exited - stop.signalled, 2) for stop in context.stops]
    print(f"{len(context.traffic.since(0))} requests; {took:.1f} s; stops {stops} s")


@then("each stop ended with status {code:d}, within 15 s, with each phase done")
def stops_complete(context, code):
    for stop in context.stops:
        process = context.fleet.entries[stop.name].process
        assert stop.status == code, (stop, process.tail())
        assert stop.exited - stop.signalled <= STOP_TIMEOUT_S, stop
        phases = phases_of_drain(process, stop.signalled)
        assert phases == dict.fromkeys(DRAIN_PHASES, "done"), (stop, phases)
        (drained,) = logged(process, "daemon.drained", stop.signalled)
        assert drained["complete"] and drained["outcomes_not_stored"] == 0, drained


@then("the balancer still sent to each instance after its SIGTERM")
def sent_while_stopping(context):
    for stop in context.stops:
        process = context.fleet.entries[stop.name].process
        signalled = logged(process, "daemon.stopping", stop.signalled)[0]["timestamp"]
        after = logged(process, "request", signalled)
        assert after, stop


@then("at each exit all backend servers had other owners")
def moved_before_exit(context):
    servers = set(context.fleet.deployment.table.servers)
    for stop in context.stops:
        assert stop.name not in stop.members and len(stop.members) == 9, stop
        assert stop.owned == servers, (stop, servers - stop.owned)
