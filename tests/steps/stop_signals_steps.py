"""Steps for stop signals."""

import signal

from behave import then, when

from tests.harness import wait_until
from tests.harness.cell import status
from tests.harness.logs import DRAIN_PHASES, logged, phases_of_drain

#: Seconds within which a graceful shutdown ends (design, section 5).
STOP_TIMEOUT_S = 15.0
#: Phases that need the store even without work in flight.
STORE_PHASES = ("leaving_view", "handing_over")


def _in_phase(entry, phase):
    """Return whether status and metrics of an instance show a phase of its graceful shutdown."""
    text = entry.admin_client.call("GET", "/metrics").body.decode()
    lines = [line for line in text.splitlines() if line.startswith("rattanrelay_drain_state{")]
    active = [line for line in lines if line.endswith(" 1")]
    shown = len(active) == 1 and f'state="{phase}"' in active[0]
    return shown and status(entry)["drain"]["state"] == phase


@when('"{name}" gets SIGTERM, and again while its status and metrics show phase "{phase}"')
def two_signals(context, name, phase):
    entry = context.fleet.entries[name]
    context.stopped = entry.process
    assert _in_phase(entry, "serving")
    context.stopped.signal(signal.SIGTERM)
    wait_until(lambda: _in_phase(entry, phase), f"the shutdown is in phase {phase}")
    context.stopped.signal(signal.SIGTERM)
    context.status = context.stopped.wait()


@then("it has ended with status {code:d} without finishing its shutdown")
def ended_at_once(context, code):
    assert context.status == code, (context.status, context.stopped.tail())
    assert phases_of_drain(context.stopped) == {"not_ready": "second_signal"}
    changes = [one for one in logged(context.stopped, "state_changed") if one["chart"] == "drain"]
    assert [one["after"] for one in changes] == ["not_ready", "cut_short"], changes
    assert not logged(context.stopped, "daemon.drained"), context.stopped.tail()
    assert "Traceback" not in context.stopped.log.read_text(), context.stopped.tail()


@when('the store is down so that it {down}s, and "{name}" gets SIGTERM')
def stop_without_store(context, down, name):
    context.fleet.platform.set_store_faults(down=down)
    context.stopped = context.fleet.entries[name].process
    context.status = context.stopped.stop()


@then("it ended with status {code:d} within its stop timeout and lists phases that need the store")
def ended_in_time(context, code):
    assert context.status == code, (context.status, context.stopped.tail())
    phases = phases_of_drain(context.stopped)
    assert tuple(phases) == DRAIN_PHASES, phases
    # Outcomes wait for the store only if requests ran during the outage.
    down = {phase for phase, ended in phases.items() if ended == "store_down"}
    assert set(STORE_PHASES) <= down <= {*STORE_PHASES, "flushing_claims"}, phases
    assert all(phases[phase] == "done" for phase in phases.keys() - down), phases
    (drained,) = logged(context.stopped, "daemon.drained")
    assert not drained["complete"] and set(drained["unfinished"]) == down, drained
    took = sum(one["seconds"] for one in logged(context.stopped, "drain.phase_ended"))
    assert took <= STOP_TIMEOUT_S, took
