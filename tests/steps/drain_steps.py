"""Steps for the planned stop of an instance, on a mock clock."""

import trio
import trio.testing
from behave import then, when
from drain_fakes import STOP_TIMEOUT_S, FakePort

from rattanrelay.charts.interpreter import load_chart
from rattanrelay.metrics import Metrics
from rattanrelay.node.drain import PHASES, Drain
from tests.harness.logs import DRAIN_PHASES as ORDER

#: Longer than the grace period for peers, with which the last phase begins.
SIGNAL_AFTER_S = 0.5


def _drain(context, port, signal_in=""):
    """Run a drain; with `signal_in`, send the second signal while that phase runs."""

    async def send_second_signal():
        while context.drain.state != signal_in:  # noqa: ASYNC110
            await trio.sleep(0.01)
        await trio.sleep(SIGNAL_AFTER_S)
        context.signalled = trio.current_time()
        context.drain.cut_short()

    async def main():
        context.metrics = Metrics("entry-1")
        context.drain = Drain("entry-1", port, context.metrics, stop_timeout=STOP_TIMEOUT_S)
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            if signal_in:
                nursery.start_soon(send_second_signal)
            await context.drain.run()
            context.ended = trio.current_time()
            context.took = context.ended - started

    context.port = port
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@when("an instance drains and each phase takes {seconds:g} s")
def drain_normally(context, seconds):
    _drain(context, FakePort(seconds=seconds))


@when('an instance drains, phase "{phase}" hangs and the store is {store}')
def drain_hanging(context, phase, store):
    _drain(context, FakePort(hanging=(phase,), down=store == "down"))


@when('an instance drains and all phases from "{phase}" on hang')
def drain_all_hanging(context, phase):
    _drain(context, FakePort(hanging=ORDER[ORDER.index(phase) :]))


@when('an instance drains and a second signal arrives in phase "{phase}"')
def drain_cut_short(context, phase):
    hanging = () if phase == "not_ready" else (phase,)
    _drain(context, FakePort(hanging=hanging), phase)


@then('the drain is in state "{state}"')
def in_state(context, state):
    assert context.drain.state == state, context.drain.status()


@then('the drain is in state "{state}" and each phase was done, in the order of the chart')
def all_done(context, state):
    in_state(context, state)
    assert context.drain.complete and not context.drain.unfinished()
    assert [one.phase for one in context.drain.ended] == list(ORDER), context.drain.ended
    assert context.port.begun == list(ORDER), context.port.begun


@then('phase "{phase}" ended as "{ended}" at its limit of {limit:g} s, and the others were done')
def one_hanging(context, phase, ended, limit):
    found = {one.phase: one for one in context.drain.ended}
    assert found.keys() == set(ORDER), found
    assert (found[phase].ended, found[phase].seconds) == (ended, limit), found[phase]
    assert not context.drain.complete
    assert context.drain.unfinished() == [phase], context.drain.ended


@then('the drain is in state "{state}" and has taken the stop timeout of {limit:g} s')
def bounded(context, state, limit):
    in_state(context, state)
    assert abs(context.took - limit) < 1e-6, context.took
    assert [one.phase for one in context.drain.ended] == list(ORDER), context.drain.ended


@then('the drain is in state "{state}" at the moment of the signal')
def ended_at_signal(context, state):
    in_state(context, state)
    assert context.ended == context.signalled, (context.ended, context.signalled)
    assert not context.drain.complete


@then('no phase after "{phase}" has begun')
def nothing_after(context, phase):
    until = list(ORDER[: ORDER.index(phase) + 1])
    assert context.port.begun == until, context.port.begun
    assert [one.phase for one in context.drain.ended] == until, context.drain.ended
    assert context.drain.ended[-1].ended == "second_signal", context.drain.ended


@then("the metrics show the state and how each phase ended")
def shown(context):
    text = context.metrics.text()[0].decode()
    lines = [line for line in text.splitlines() if line.startswith("rattanrelay_drain_")]
    state = context.drain.state
    held = [line for line in lines if "drain_state" in line and line.endswith(" 1")]
    assert len(held) == 1 and f'state="{state}"' in held[0], lines
    for one in context.drain.ended:
        found = [line for line in lines if f'phase="{one.phase}"' in line]
        assert len(found) == 1 and f'ended="{one.ended}"' in found[0], found
        assert float(found[0].split()[-1]) == one.seconds, found


@then('each phase in the code is a state of the chart that "{event}" ends')
def phases_are_states(context, event):
    chart = load_chart("drain")
    ended = {step.source for step in chart.transitions if step.event == event and step.target}
    assert PHASES.keys() | {"serving"} == ended, ended
