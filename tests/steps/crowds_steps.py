"""Steps for crowds of hostile clients."""

from behave import given, then, when

from tests.harness.crowd import (
    BYTES_OF,
    FILE_FDS,
    FLOODS,
    MAX_FDS,
    MEMORY_MB,
    Crowd,
    LoneInstance,
)

MB = 1024 * 1024


@given("an instance with small limits")
def small_instance(context):
    instance = LoneInstance()
    context.add_cleanup(instance.__exit__)
    context.instance = instance.__enter__()


@when('{size:d} connections to its listener for {listener} send "{flood}"')
def crowd_sends(context, size, listener, flood):
    crowd = Crowd(context.instance, listener, size)
    context.add_cleanup(crowd.close)
    crowd.send(FLOODS[flood](), BYTES_OF.get(flood, 0))


@then("the instance runs, within its memory and descriptors")
def within_limits(context):
    instance = context.instance
    instance.measure()
    outcomes = [
        instance.ask_outcome("clients", "/box/1", b"ordinary"),
        instance.ask_outcome("readiness", "/ready"),
    ]
    instance.measure()
    context.outcomes = outcomes
    context.figures = (
        f"peak {instance.peak_bytes / MB:.1f} MB of {MEMORY_MB},"
        f" {instance.peak_unread / MB:.1f} of them unread, {instance.peak_sockets} sockets of"
        f" {MAX_FDS - FILE_FDS}, answers {outcomes}"
    )
    print(context.figures)
    assert instance.process.running, instance.process.tail()
    assert instance.peak_bytes <= MEMORY_MB * MB, context.figures
    assert instance.peak_sockets <= MAX_FDS - FILE_FDS, context.figures


@then("an ordinary request and a readiness check are answered with 200")
def ordinary_answered(context):
    assert context.outcomes == ["200", "200"], context.figures
