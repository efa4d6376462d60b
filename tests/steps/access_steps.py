"""Steps for the tokens and metrics of real processes."""

from behave import then, when

from tests.harness import http_call, wait_until
from tests.harness.cell import running
from tests.harness.client import AdminClient

NEW_OPERATORS_TOKEN = "another-token-of-the-operators"


def _status(client, path="/v1/table"):
    return client.call("GET", path).status


@then("the caller interface has probes but no metrics, and the administration interface has them")
def metrics_are_guarded(context):
    (entry,) = running(context.fleet)
    statuses = {
        path: http_call(entry.callers, "GET", path).status
        for path in ("/healthz", "/readyz", "/metrics")
    }
    assert statuses == {"/healthz": 200, "/readyz": 200, "/metrics": 404}, statuses
    assert _status(AdminClient(entry.admin), "/metrics") == 401
    reply = entry.admin_client.call("GET", "/metrics")
    assert reply.status == 200 and b"rattanrelay_admission_limit" in reply.body, reply


@when("the token file of the fleet gets a new token")
def replace_token(context):
    context.fleet.processes.write("operators.token", NEW_OPERATORS_TOKEN.encode())


@then("the new token is admitted and the old one refused on the running instance")
def token_replaced(context):
    (entry,) = running(context.fleet)
    new = AdminClient(entry.admin, NEW_OPERATORS_TOKEN)
    wait_until(lambda: _status(new) == 200, "the new token is admitted")
    assert _status(entry.admin_client) == 401
