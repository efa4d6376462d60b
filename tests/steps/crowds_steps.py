"""Steps for crowds of hostile clients."""

from behave import given, then, when

from tests.harness.crowd import FILE_FDS, MAX_FDS, Crowd, Host, OwnerHost
from tests.harness.floods import BYTES_OF, FLOODS, MAX_BODY


@given("an instance with small limits")
def small_instance(context):
    _start(context, Host())


@given("{count:d} instances with small limits")
def small_instances(context, count):
    _start(context, Host(count))


@given("an instance of `rattanrelay serve` with small limits")
def owner_instance(context):
    _start(context, OwnerHost())


def _start(context, host):
    context.add_cleanup(host.__exit__)
    context.host = host.__enter__()


@given("the others are suspended")
def suspend_others(context):
    for instance in context.host.instances[1:]:
        instance.process.pause()


@when("the others are resumed")
def resume_others(context):
    for instance in context.host.instances[1:]:
        instance.process.resume()


@when('{size:d} connections to its listener for {listener} send "{flood}"')
def crowd_sends(context, size, listener, flood):
    _crowd(context, listener, size).send(FLOODS[flood](), BYTES_OF.get(flood, 0))


@when('{size:d} clients with addresses of their own send "{flood}"')
def crowd_of_addresses_sends(context, size, flood):
    _crowd(context, "clients", size, own_addresses=True).send(FLOODS[flood]())


@when('{size:d} clients send "{flood}" and leave, {rounds:d} times')
@when(
    '{size:d} connections to its listener for {listener} send "{flood}" and leave, {rounds:d} times'
)
def crowd_returns(context, size, flood, rounds, listener="clients"):
    _crowd(context, listener, size).send_and_return(FLOODS[flood](), rounds)


def _crowd(context, listener, size, *, own_addresses=False):
    crowd = Crowd(context.host, listener, size, own_addresses=own_addresses)
    context.add_cleanup(crowd.close)
    return crowd


@when("one client sends a body of the largest size to {route}")
def one_body(context, route):
    context.answer = context.host.instances[0].ask_outcome(
        "clients", f"/{route}/1", b"x" * MAX_BODY
    )


@then("it is answered with 200")
def body_answered(context):
    assert context.answer == "200", context.answer


@then("the instance runs, within its memory and descriptors")
@then("all instances run, within their memory and descriptors")
def within_limits(context):
    context.host.measure()
    instances = context.host.instances
    context.outcomes = [outcome for one in instances for outcome in one.ask_ordinary()]
    context.host.measure()
    context.figures = "; ".join([*(one.figures for one in instances), str(context.outcomes)])
    print(context.figures)
    for instance in instances:
        assert instance.process.running, instance.process.tail()
        assert instance.peak_bytes <= instance.memory, context.figures
        assert instance.peak_sockets <= MAX_FDS - FILE_FDS, context.figures


@then("an ordinary request and a readiness check are answered with 200")
@then("an ordinary request and a readiness check of each are answered with 200")
def ordinary_answered(context):
    assert set(context.outcomes) == {"200"}, context.figures
