"""Steps for the callers' HTTP interface, with fake owners behind it."""

import random
import re
import uuid
from types import SimpleNamespace

import uuid6
from behave import then, when
from entry_fakes import BODY, make_entry, ok_result, run_entry

from rattanrelay.errors import CODES
from rattanrelay.http import Request
from rattanrelay.node.callers import CallerApi
from rattanrelay.node.ports import Configuration, Latest
from rattanrelay.node.report import Report
from rattanrelay.wire import ActionResult

QUERY_PATH = "/v1/services/log/query"
ACTION_PATH = "/v1/services/log/actions"
BODIES = {
    "many hits": b'{"filter":{},"limit":1001}',
    "deep": b'{"filter":{"a":' + b"[" * 5000 + b"]" * 5000 + b"}}",
    "action": b'{"route":"r","action":{"core":1}}',
}
KEYS = {
    "version 4": str(uuid.UUID(int=5, version=4)),
    "version 7": str(uuid6.uuid7()),
    "braces": "{" + str(uuid6.uuid7()) + "}",
}


def _answer(target, sub):
    return 0.01, [ok_result(target, sub)]


def _send(context, requests, between=lambda api: None):
    """Send the requests one after another; call `between` after the first one."""

    async def main():
        entry, context.owners = make_entry(_answer)
        context.claims = entry.claims
        context.metrics = entry.metrics
        api = CallerApi(entry, entry.metrics)
        context.responses = []
        for request in requests:
            context.responses.append(await api.handle(request))
            if len(context.responses) == 1:
                between(api)

    run_entry(main)


@when("a caller sends {method} {path} with headers {headers} and body {body}")
def entry_caller_sends(context, method, path, headers, body):
    pairs = [] if headers == "none" else [pair.split("=", 1) for pair in headers.split(",")]
    named = {name: KEYS.get(value, value) for name, value in pairs}
    _send(context, [Request(method, path, named, BODIES.get(body, body.encode()))])


@then('the refusal is {status:d} "{code}" with outcome "{outcome}"')
def entry_refusal(context, status, code, outcome):
    response = context.responses[0]
    body = response.json()
    assert (response.status, body["code"], body["outcome"]) == (status, code, outcome), body
    assert body["message"] and body["request_id"] == response.headers["x-request-id"]


@then("nothing was sent to an owner or coordinator")
def entry_nothing_sent(context):
    assert not context.owners.subs and not context.claims.actions


def _random_request(chance):
    method = chance.choice(["GET", "POST", "POST", "POST", "PUT"])
    path = chance.choice(
        [QUERY_PATH, ACTION_PATH, "/readyz", "/metrics", "/healthz", "/v1/%zz", "*", "//[x"]
    )
    values = ["hog", "", "\xff\x00", "9" * 400, "500", KEYS["version 7"], "none"]
    names = ["x-tenant", "x-request-id", "x-timeout-ms", "x-class", "idempotency-key", "accept"]
    headers = {name: chance.choice(values) for name in names if chance.random() < 0.3}
    if chance.random() < 0.7:
        headers["x-tenant"] = "hog"
    if chance.random() < 0.5:
        headers["idempotency-key"] = KEYS["version 7"]
    body = bytearray(chance.choice([BODY, *BODIES.values(), b"", b'{"filter":{"a":"\\ud800"}}']))
    for _ in range(chance.choice([0, 0, 0, 1, 3])):
        if body:
            body[chance.randrange(len(body))] = chance.randrange(256)
    return Request(method, path, headers, bytes(body))


@when("{count:d} random requests are sent")
def entry_random_requests(context, count):
    chance = random.Random(8)
    _send(context, [_random_request(chance) for _ in range(count)])


@then("each answer has a registered code or is a success, and none is internal")
def entry_no_internal(context):
    seen = set()
    for response in context.responses:
        seen.add(response.status)
        if response.status != 200:
            body = response.json()
            assert CODES[body["code"]].status == response.status < 500, body
            assert body["outcome"] == "not_run", body
    assert {200, 400, 404, 405} <= seen, seen


@when("the entry fails with a bug")
def entry_bug(context):
    async def main():
        entry, _ = make_entry(_answer)
        entry.ports.rng = None
        api = CallerApi(entry, entry.metrics)
        context.responses = [await api.handle(_query({}))]

    run_entry(main)


def _query(headers):
    return Request("POST", QUERY_PATH, {"x-tenant": "hog", **headers}, BODY)


@then('the answer is 500 "internal" with outcome "unknown" and no traceback')
def entry_internal(context):
    response = context.responses[0]
    body = response.json()
    assert (response.status, body["code"], body["outcome"]) == (500, "internal", "unknown")
    assert not re.search(rb"Traceback|File|Error|NoneType", response.body), response.body


@when("queries are sent with and without a request id")
def entry_request_ids(context):
    _send(context, [_query({"x-request-id": "my.id-1"}), _query({}), _query({})])


@then("the answers carry the given id or a new one in body and header")
def entry_ids(context):
    ids = [response.json()["request_id"] for response in context.responses]
    assert ids == [response.headers["x-request-id"] for response in context.responses]
    assert ids[0] == "my.id-1" and len(set(ids)) == 3
    assert {uuid.UUID(one).version for one in ids[1:]} == {7}


@when("the instance stops between two queries")
def entry_stops(context):
    ready = Request("GET", "/readyz")
    _send(context, [ready, ready, _query({})], between=CallerApi.stop)


@then("readiness is 503, and the second query is answered on a connection that then closes")
def entry_stopped(context):
    before, after, query = context.responses
    assert (before.status, after.status, query.status) == (200, 503, 200)
    assert query.headers["connection"] == "close"
    assert query.json()["coverage"]["answered"] == 20


@when("an action is sent with a key")
def entry_action(context):
    headers = {"x-tenant": "hog", "idempotency-key": KEYS["version 7"], "x-timeout-ms": "200"}
    _send(context, [Request("POST", ACTION_PATH, headers, BODIES["action"])])


@then("the coordinator gets it once, and the answer is done with its result")
def entry_action_done(context):
    (action,) = context.claims.actions
    assert (action.key, action.svc, action.route) == (KEYS["version 7"], "log", "r")
    assert (action.tenant, action.body) == ("hog", b'{"core":1}')
    assert action.deadline_ms == 1_000_000_200
    body = context.responses[0].json()
    assert (body["outcome"], body["result"]) == ("done", {"receipt": 1}), body


@when("queries of {count:d} classes are sent")
def entry_classes(context, count):
    _send(context, [_query({"x-class": f"class{number}"}) for number in range(count)])


@then("the metrics have the latency of at most {count:d} classes")
def entry_class_metrics(context, count):
    text = context.metrics.text()[0].decode()
    pattern = r"rattanrelay_query_latency_seconds_count\{([^}]*)\}"
    labels = re.findall(pattern, text)
    assert all('service="log"' in one and 'tenant="hog"' in one for one in labels), labels
    classes = {re.search(r'class="([^"]*)"', one)[1] for one in labels}
    assert {"class0", "other"} <= classes and len(classes) <= count, classes


@when('the coordinator answers an action with "{code}" and outcome "{outcome}"')
def entry_coordinator_answers(context, code, outcome):
    context.expected = (code, outcome)

    async def main():
        entry, _ = make_entry(_answer)

        async def submit(action):
            return ActionResult(outcome, code, "text")

        entry.claims.submit = submit
        headers = {"x-tenant": "hog", "idempotency-key": KEYS["version 7"]}
        request = Request("POST", ACTION_PATH, headers, BODIES["action"])
        context.responses = [await CallerApi(entry, entry.metrics).handle(request)]

    run_entry(main)


@then("the status is {status:d} with that code and outcome")
def entry_action_status(context, status):
    response = context.responses[0]
    body = response.json()
    assert response.status == status, response.status
    assert (body["code"], body["outcome"]) == context.expected, body


@when("the report of the instance refreshes the metrics after a query")
def entry_report(context):
    async def main():
        entry, _ = make_entry(_answer)
        api = CallerApi(entry, entry.metrics)
        assert (await api.handle(_query({}))).status == 200
        before = entry.metrics.text()[0].decode()
        assert "rattanrelay_admission_limit{" not in before
        daemon = SimpleNamespace(
            entry=entry,
            metrics=entry.metrics,
            store=SimpleNamespace(calls={}),
            store_down=lambda: False,
            documents=SimpleNamespace(digest=dict, configuration=Latest(Configuration())),
            members=SimpleNamespace(epoch=0),
        )
        Report(daemon)._refresh()
        context.metrics = entry.metrics
        context.limit = entry.services["log"].admission.limit.value

    run_entry(main)


@then("the metrics have the admission limit of the service")
def entry_admission_limit(context):
    lines = context.metrics.text()[0].decode().splitlines()
    (line,) = [line for line in lines if line.startswith("rattanrelay_admission_limit{")]
    assert 'service="log"' in line and float(line.split()[-1]) == context.limit, line
