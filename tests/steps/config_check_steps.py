"""Steps for the check of configuration documents."""

import base64
import contextlib
import copy
import io
import json
import tempfile
from pathlib import Path

import msgspec
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.cli.main import main
from rattanrelay.decide.access import key_digest
from rattanrelay.platform import config_form, documents
from rattanrelay.platform.documents import HEADERS
from rattanrelay.relay import DeploymentState
from rattanrelay.relay.config_check import check_configuration, differences
from tests.harness.relay_world import BOUNDS

KEYS = {"w1": "first-workspace-key", "w2": "second-workspace-key"}
ROUTE = {"hostname": "test.example", "type": "idempotent", "timeout_ms": 1000, "attempts": 2}
BASE = {
    "version": 8,
    "routes": [
        {**ROUTE, "name": "one", "prefix": "/one/", "service": "a", "target_latency_ms": 100},
        {
            **ROUTE,
            "name": "divided",
            "prefix": "/divided/",
            "traffic_split": [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}],
        },
        {**ROUTE, "name": "all", "prefix": "/all/", "gather": ["a", "b"], "top_k": 5},
    ],
    "services": [{"name": "a", "max_connections": 30}, {"name": "b"}],
    "tenants": [{"name": name, "api_keys": [key]} for name, key in KEYS.items()],
    "limits": {"idle_timeout_ms": 15000},
}
SEARCHER = {
    "service": "a",
    "address": "10.0.0.1:80",
    "state": "ready",
    "zone": "z",
    "version": "v1",
    "concurrency": 2,
    "warmup_left_ms": 0,
    "sequence": 1,
}


def _route(**fields):
    return lambda document: document["routes"][0].update(fields)


def _workspace(**fields):
    return lambda document: document["tenants"][1].update(fields)


def _weights(*weights):
    def change(document):
        for part, weight in zip(document["routes"][1]["traffic_split"], weights, strict=True):
            part["weight"] = weight

    return change


def _add_route(**fields):
    return lambda document: document["routes"].append({**document["routes"][0], **fields})


#: Changes of the document, by their name in the feature.
CHANGES = {
    "nothing changed": lambda document: None,
    "no routes": lambda document: document.pop("routes"),
    "a timeout that is text": _route(timeout_ms="1000"),
    "a tenant without a name": _workspace(name=""),
    "a version of 10^30": lambda document: document.update(version=10**30),
    "an older version": lambda document: document.update(version=6),
    "a second route like the first": _add_route(name="twin", timeout_ms=500),
    "a prefix without a slash": _route(prefix="one/"),
    "a host with a port": _route(hostname="test.example:80"),
    "a split with weight 0": _weights(3, 0),
    "a split with weights 0 only": _weights(0, 0),
    "a split beside a service": lambda document: document["routes"][1].update(service="a"),
    "a service that nothing names": lambda document: document["services"].append({"name": "extra"}),
    "a service that is not listed": _route(service="absent"),
    "a key that two workspaces hold": _workspace(api_keys=list(KEYS.values())),
    "a key that no header can carry": _workspace(api_keys=[KEYS["w2"], "s\u00e9cret key"]),
    "a workspace without keys": _workspace(api_keys=[]),
    "a route without a service": _route(service=""),
    "two routes of one name": _add_route(prefix="/two/"),
    "an unknown route type": _route(type="idempotnet"),
    "a shard named twice": lambda document: document["routes"][2].update(gather=["a", "b", "a"]),
    "a target above the timeout": _route(target_latency_ms=1001),
    "more attempts than searchers": _route(attempts=4),
    "no attempts": _route(attempts=0),
    "a burst without a rate": _workspace(burst=5),
    "a body limit of 0": lambda document: document["limits"].update(max_body_bytes=0),
}


def _run(*documents_given, options=()):
    """Check documents by the command; return its exit status and output."""
    with tempfile.TemporaryDirectory() as folder:
        names = []
        for number, document in enumerate(documents_given):
            path = Path(folder, f"{number}.json")
            path.write_bytes(document)
            names.append(str(path))
        arguments = ["table", "check", names[0], "--against", names[1], *options]
        if len(names) > 2:
            arguments += ["--searchers", names[2]]
        with contextlib.redirect_stdout(io.StringIO()) as output:
            status = main(arguments)
    return status, output.getvalue()


def _encoded(document):
    return json.dumps(document).encode()


def _searchers():
    """Return an answer of the store that lists three searchers of service a and two of b."""
    items = []
    for number in range(5):
        value = _encoded({**SEARCHER, "service": "a" if number < 3 else "b"})
        items.append({"key": f"servers/s{number}", "value": base64.b64encode(value).decode()})
    return _encoded({"items": items, "store_revision": 1, "has_more": False})


@when("a configuration with {change} is checked")
def check_changed(context, change):
    document = copy.deepcopy(BASE)
    if change == "bytes that are no JSON":
        value = b'{"version": 8, "rou\xff'
    else:
        CHANGES[change](document)
        value = _encoded(document)
    in_force = _encoded({**BASE, "version": 7})
    context.status, text = _run(value, in_force, _searchers(), options=["--json"])
    context.findings = json.loads(text)["findings"]


@then("there are no findings and the exit status is 0")
def no_findings(context):
    assert (context.findings, context.status) == ([], 0), context.findings


@then("it reports the {severity} {code} at {entry}, with exit status {status:d}")
def reported(context, severity, code, entry, status):
    found = {(one["severity"], one["code"], one["entry"]) for one in context.findings}
    assert (severity, code, entry) in found and context.status == status, context.findings


@when("a configuration with another timeout, service and key is checked against the one in force")
def check_differences(context):
    document = copy.deepcopy(BASE)
    document["version"] = 9
    document["routes"][0].update(timeout_ms=2000)
    document["services"].append({"name": "c"})
    document["tenants"][0]["api_keys"] = ["third-workspace-key"]
    given = _encoded(document), _encoded(BASE)
    context.outputs = _run(*given)[1], _run(*given, options=["--json"])[1]


@then("it lists these differences and no key, as text and as JSON")
def differences_listed(context):
    text, in_json = context.outputs
    old, new = key_digest(KEYS["w1"]), key_digest("third-workspace-key")
    lines = (
        "changed version version: 8 to 9",
        "changed routes/one timeout: 1.0 to 2.0",
        "added services/c",
        f"removed keys/{old}",
        f"added keys/{new}",
    )
    assert all(f"{line}\n" in text for line in lines), text
    entries = {row["entry"] for row in json.loads(in_json)["differences"]}
    assert entries == {"version", "routes/one", "services/c", f"keys/{old}", f"keys/{new}"}
    assert not any("workspace-key" in output for output in context.outputs)


#: Values that stand for any field of a document.
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=2**62, max_value=2**66),
    st.floats(),
    st.text(max_size=5),
    st.just([]),
    st.just({}),
    st.lists(st.sampled_from(["a", "b"]), max_size=3),
    st.sampled_from([-1, 0, 1, 5, 0.5, "a", "b", "one", "/", "w1", True]),
)


def _loads(value):
    """Return whether an instance loads a configuration; it must be able to use and share it."""
    try:
        catalog = documents.catalog(value)
    except ValueError:
        return False
    deployment = DeploymentState("entry-1", "a", HEADERS, BOUNDS)
    assert deployment.apply_catalog(catalog)
    deployment.update_own_shards(0.0)
    for rows in catalog.routes.values():
        for route in rows:
            assert catalog.route(route.host, route.prefix) is not None
            if route.split:
                deployment.next_service(route)
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


def _edit(document, path, action, value):
    """Replace or remove the value at a path, if it is still there, or repeat it in its list."""
    *outer, last = path
    try:
        for name in outer:
            document = document[name]
        if action == "replace":
            document[last] = copy.deepcopy(value)
        elif action == "remove":
            del document[last]
        else:
            document.append(copy.deepcopy(document[last]))
    except (LookupError, TypeError, AttributeError):
        pass


@when("{count:d} generated configurations are checked")
def check_generated(context, count):
    template = copy.deepcopy(BASE)
    template["tenants"][0].update(
        api_keys=["a-long-secret"], priority=1, rate_per_s=10.0, burst=10.0
    )
    places = st.sampled_from(list(_places(template)))
    edits = st.tuples(places, st.sampled_from(["replace", "remove", "repeat"]), ODD_VALUES)
    context.wrong, context.loaded, context.rejected, context.shown = [], 0, 0, []
    before = config_form.read_configuration(_encoded(BASE))

    @settings(max_examples=count, deadline=None)
    @for_all(st.lists(edits, max_size=3), st.sampled_from([b"", b"", b"", b"x", b"\xff"]))
    def check(changes, rest):
        document = copy.deepcopy(template)
        for path, action, value in changes:
            _edit(document, path, action, value)
        value = _encoded(document) + rest
        loads = _loads(value)
        try:
            configuration = config_form.read_configuration(value)
            found = check_configuration(configuration, {"a": 1})
            found += differences(before, configuration)
        except ValueError as error:
            found = [config_form.unreadable(error)]
        severities = {getattr(one, "severity", "") for one in found}
        if loads == ("error" in severities):
            context.wrong.append((value, found))
        if "secret" in str(found):
            context.shown.append((value, found))
        context.loaded += loads
        context.rejected += not loads

    check()


@then("an error is reported for exactly those that an instance does not load")
def exactly_rejected(context):
    assert context.loaded >= 50 and context.rejected >= 50, (context.loaded, context.rejected)
    assert not context.wrong, context.wrong[:3]


@then("no finding or difference contains a key")
def no_key_shown(context):
    assert not context.shown, context.shown[:3]
