"""Steps for the backoff of calls that the store does not answer."""

from collections import Counter
from random import Random

from behave import then, when

from rattanrelay.store.backoff import MAX_DELAY_S, Backoff

BINS = 10


@when("the store does not answer {calls:d} calls of an instance in a row")
def one_instance(context, calls):
    context.backoff = Backoff(Random(1))
    context.delays = [context.backoff.record_failure() for _ in range(calls)]


@then("each delay is between half and all of {texts} s")
def growing(context, texts):
    limits = [float(text) for text in texts.split()]
    pairs = list(zip(context.delays, limits, strict=True))
    assert all(limit / 2 <= delay <= limit for delay, limit in pairs), pairs


@then("the first delay after a response is at most {limit:g} s")
def starts_anew(context, limit):
    context.backoff.record_success()
    assert context.backoff.record_failure() <= limit


@when("the store does not answer {calls:d} calls of {instances:d} instances in a row")
def many_instances(context, calls, instances):
    context.ends = []
    for number in range(instances):
        backoff = Backoff(Random(f"entry-{number}"))
        context.ends.append(sum(backoff.record_failure() for _ in range(calls)))


@then("no tenth of the longest delay contains more than a fifth of their last calls")
def spread(context):
    bins = Counter(int(end / MAX_DELAY_S * BINS) for end in context.ends)
    assert max(bins.values()) <= len(context.ends) / 5, bins
