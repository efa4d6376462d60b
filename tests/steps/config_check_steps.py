"""Steps for the check of configuration documents."""

import base64
import contextlib
import copy
import io
import json
import tempfile
from collections import Counter
from pathlib import Path

import msgspec
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from platform_documents_steps import entry

from rattanrelay.cli.main import main
from rattanrelay.decide.access import key_digest
from rattanrelay.platform import config_form, documents
from rattanrelay.relay import DeploymentState
from rattanrelay.relay.config_check import check_configuration, differences
from tests.harness.relay_world import BOUNDS

ROUTE = {"hostname": "test.example", "type": "idempotent", "timeout_ms": 1000, "attempts": 2}
SPLIT = [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
BASE = {
    "version": 8,
    "routes": [
        {**ROUTE, "name": "one", "prefix": "/one/", "service": "a", "target_latency_ms": 100},
        {**ROUTE, "name": "divided", "prefix": "/divided/", "traffic_split": SPLIT},
        {**ROUTE, "name": "all", "prefix": "/all/", "gather": ["a", "b"], "top_k": 5},
    ],
    "services": [{"name": "a", "max_connections": 30}, {"name": "b"}],
    "tenants": [
        {"name": "w1", "api_keys": ["first-secret"], "priority": 1, "rate_per_s": 10, "burst": 10},
        {"name": "w2", "api_keys": ["second-secret"]},
    ],
    "limits": {"idle_timeout_ms": 15000},
}
IN_FORCE = {**BASE, "version": 7}
#: Answer of the store that lists three searchers of service a and two of b.
SEARCHERS = {
    "items": [
        {"key": f"servers/s{number}", "value": base64.b64encode(entry(service=name)).decode()}
        for number, name in enumerate("aaabb")
    ]
}


def _changed(*changes):
    """Return the document with values set at paths, where these are still there."""
    document = copy.deepcopy(BASE)
    for path, value in changes:
        *outer, last = path
        inner = document
        with contextlib.suppress(LookupError, TypeError):
            for name in outer:
                inner = inner[name]
            inner[last] = copy.deepcopy(value)
    return document


def _run(document, *options):
    with tempfile.TemporaryDirectory() as folder:
        names = [f"{folder}/{name}" for name in ("new", "--against", "--searchers")]
        for name, given in zip(names, (document, IN_FORCE, SEARCHERS), strict=True):
            Path(name).write_text(json.dumps(given))
        names = [names[0], "--against", names[1], "--searchers", names[2]]
        with contextlib.redirect_stdout(io.StringIO()) as output:
            return main(["table", "check", *names, *options]), output.getvalue()


@when('a configuration is checked whose "{field}" is {value}')
def check_changed(context, field, value):
    path = [int(part) if part.isdigit() else part for part in field.split("/")]
    document = _changed((path, json.loads(value)))
    context.status, text = _run(document, "--json")
    context.result = json.loads(text)
    context.outputs = text, _run(document)[1]


@then("there are no findings and the exit status is 0")
def no_findings(context):
    assert (context.result["findings"], context.status) == ([], 0), context.result


@then("it reports {code} at {place}, with exit status {status:d}")
def reported(context, code, place, status):
    severity = "error" if status == 2 else "warning"
    found = {(one["severity"], one["code"], one["entry"]) for one in context.result["findings"]}
    assert (severity, code, place) in found and context.status == status, context.result


@then("it lists the digests of both keys and the versions as differences, and no key")
def differences_listed(context):
    old, new = f"keys/{key_digest('first-secret')}", f"keys/{key_digest('third-secret')}"
    assert {row["entry"] for row in context.result["differences"]} == {"version", old, new}
    for line in ("changed version version: 7 to 8", f"removed {old}", f"added {new}"):
        assert f"{line}\n" in context.outputs[1], context.outputs
    assert not any("secret" in output for output in context.outputs), context.outputs


def _loads(value):
    """Return whether an instance loads a configuration; it must be able to use and share it."""
    try:
        catalog = documents.catalog(value)
    except ValueError:
        return False
    deployment = DeploymentState("entry-1", "a", documents.HEADERS, BOUNDS)
    assert deployment.apply_catalog(catalog)
    deployment.update_own_shards(0.0)
    for route in (route for rows in catalog.routes.values() for route in rows):
        assert catalog.route(route.host, route.prefix) is not None
        assert not route.split or deployment.next_service(route) is not None
    shared = msgspec.msgpack.decode(msgspec.msgpack.encode(catalog), type=type(catalog))
    assert shared == catalog, (shared, catalog)
    return True


def _places(value, path=()):
    """Yield the path of each value in a document."""
    if path:
        yield path
    pairs = enumerate(value) if isinstance(value, list) else getattr(value, "items", tuple)()
    for name, inner in pairs:
        yield from _places(inner, (*path, name))


@then("of {count:d} generated configurations it rejects those that an instance does not load")
def check_generated(context, count):
    odd = [None, True, [], {}, ["a", "a"], "a", "b", "/", "w1", -1, 0, 0.5, 2**63, 10**30, 1e300]
    values = st.one_of(
        st.sampled_from(odd), st.integers(-9, 9), st.floats(0, 9), st.text(max_size=5)
    )
    places = st.sampled_from(list(_places(BASE)))
    before = config_form.read_configuration(json.dumps(BASE).encode())
    loaded = Counter()

    @settings(max_examples=count, deadline=None)
    @for_all(st.lists(st.tuples(places, values), max_size=2))
    def check(changes):
        value = json.dumps(_changed(*changes)).encode()
        loads = _loads(value)
        loaded[loads] += 1
        try:
            configuration = config_form.read_configuration(value)
            found = check_configuration(configuration, {"a": 1})
            found += differences(before, configuration)
        except ValueError as error:
            found = [config_form.unreadable(error)]
        errors = [one for one in found if getattr(one, "severity", "") == "error"]
        assert bool(errors) != loads and "secret" not in str(found), (value, found)

    check()
    assert min(loaded[True], loaded[False]) >= count // 8, loaded
