"""Steps for the decisions on how fresh the state of the searchers is."""

from behave import given, then, when

from rattanrelay.decide.freshness import WatchPace, freshness_times, known_within

CYCLE_S = 1.5
BATCH_S = 0.4


@given("answers of at most {count:d} changes so far")
def full_answers(context, count):
    context.pace = WatchPace(CYCLE_S)
    context.pace.record_changes(count, False, BATCH_S)


@when("an answer has {changes:d} changes and {may} be followed by more")
def answer(context, changes, may):
    context.pace.record_changes(changes, may == "cannot", BATCH_S)


@when("a call fails")
def call_fails(context):
    context.pace.record_failure()


@then("the next call comes after {pause:g} s and waits for {wait:g} s")
def next_call(context, pause, wait):
    found = round(context.pace.pause, 3), round(context.pace.wait, 3)
    assert found == (pause, wait), found


@then("the bound for searchers that serve for {drain:g} s is {bound:g} s")
def bound_is(context, drain, bound):
    context.drain = drain
    assert abs(known_within(drain) - bound) < 1e-9 and bound < drain, known_within(drain)


@then("the state of a reader and of its followers is given up {margin:g} s before it or earlier")
def given_up_before(context, margin):
    times = freshness_times(context.drain)
    ages = times.cycle, times.shared_cycle, times.passed_on, times.followed
    assert max(ages) <= known_within(context.drain) - margin + 1e-9, times
