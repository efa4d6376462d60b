"""Steps that compare the OpenAPI file with the running administration API."""

import json
from urllib.parse import urlsplit

from behave import then, when
from operator_fakes import AdminFixture, call_admin
from operator_samples import sample_table

from rattanrelay.errors import RelayError
from rattanrelay.node.admin_fleet import openapi_text
from rattanrelay.node.admin_routes import ROUTES, match_route
from rattanrelay.table import CellChange, DomainRow
from rattanrelay.table.cells import remove_row, set_cell
from rattanrelay.table.columns import COLUMNS

TYPES = {
    "string": str,
    "integer": int,
    "number": (int, float),
    "boolean": bool,
    "object": dict,
    "array": list,
    "null": type(None),
}
SCHEMA_KEYWORDS = {
    "$ref", "type", "enum", "anyOf", "properties", "required", "additionalProperties", "items",
    "minimum", "maximum", "maxLength", "description",
}  # fmt: skip


def load():
    return json.loads(openapi_text())


def resolve(document, part):
    while "$ref" in part:
        target = document
        for word in part["$ref"].removeprefix("#/").split("/"):
            target = target[word]
        part = target
    return part


def has_type(value, name):
    if isinstance(value, bool) and name != "boolean":
        return False
    return isinstance(value, TYPES[name])


def mismatches(document, schema, value, path="$"):
    """Return a message for each place where a value does not match a schema.

    Only the schema keywords that the file uses are supported.
    """
    assert set(schema) <= SCHEMA_KEYWORDS, schema
    schema = resolve(document, schema)
    if "anyOf" in schema:
        matches = [not mismatches(document, option, value, path) for option in schema["anyOf"]]
        return [] if any(matches) else [f"{path}: matches no option"]
    names = schema.get("type", [])
    names = [names] if isinstance(names, str) else names
    if names and not any(has_type(value, name) for name in names):
        return [f"{path}: {value!r} is not {names}"]
    found = []
    if value not in schema.get("enum", [value]):
        found.append(f"{path}: {value!r} is not one of {schema['enum']}")
    if "minimum" in schema and not schema["minimum"] <= value <= schema.get("maximum", value):
        found.append(f"{path}: {value!r} is out of range")
    if isinstance(value, dict):
        found += mismatches_of_object(document, schema, value, path)
    if isinstance(value, list) and "items" in schema:
        for number, item in enumerate(value):
            found += mismatches(document, schema["items"], item, f"{path}[{number}]")
    return found


def mismatches_of_object(document, schema, value, path):
    known = schema.get("properties", {})
    other = schema.get("additionalProperties", True)
    found = [f"{path}: lacks {name}" for name in schema.get("required", []) if name not in value]
    for name, item in value.items():
        part = known.get(name, other)
        if part is False:
            found.append(f"{path}: {name} is not described")
        elif isinstance(part, dict):
            found += mismatches(document, part, item, f"{path}.{name}")
    return found


@then("the file lists exactly the registered paths and methods")
def then_paths(context):
    listed = {(method.upper(), path) for path, item in load()["paths"].items() for method in item}
    assert listed == {(entry.method, entry.path) for entry in ROUTES}
    for path, item in load()["paths"].items():
        for method, operation in item.items():
            entry = next(r for r in ROUTES if (r.method, r.path) == (method.upper(), path))
            assert bool(operation["security"]) == bool(entry.scope), operation
            if entry.scope:
                assert f"scope {entry.scope}." in operation["description"], operation
            names = {resolve(load(), part)["name"] for part in operation.get("parameters", [])}
            assert {part.strip("{}") for part in path.split("/") if "{" in part} <= names


@then("each row schema has the types, ranges and choices of its columns")
def then_rows(context):
    document = load()
    table = document["components"]["schemas"]["Table"]["properties"]
    words = {str: "string", int: "integer", float: "number", bool: "boolean"}
    for kind, columns in COLUMNS.items():
        row = resolve(document, table[kind]["additionalProperties"])
        assert list(row["properties"]) == list(columns) == row["required"]
        for name, column in columns.items():
            schema = row["properties"][name]
            limits = (schema.get("minimum", 0), schema.get("maximum", 0))
            assert schema["type"] == words[column.type], (kind, name)
            assert limits == (column.minimum, column.maximum), (kind, name)
            assert tuple(schema.get("enum", ())) == column.choices, (kind, name)


def other_edit(word, method, path):
    """Return an edit by another operator that conflicts with a call."""
    table = sample_table()
    kind, name = path.split("?")[0].removeprefix("/v1/").removeprefix("table/").split("/")[:2]
    if kind == "import":
        kind, name = name, "museum"
    if word == "add":
        return CellChange(kind, name, "", None, tuple(DomainRow(name, 7)))
    if word == "touch":
        return set_cell(table, kind, name, "max_in_flight", 7)
    return remove_row(table, kind, name)


class ApiChecker:
    """Makes each call to a new API and records the statuses and mismatches of each operation."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.document = load()
        self.seen = set()
        self.mismatches = []

    def call(self, status, token, method, path, body, headers=None, prepare=lambda api: None):
        """Make one call to a new API and compare its answer with the file."""
        api = AdminFixture(sample_table(), self.tokens)
        try:
            prepare(api)
            answer = call_admin(api, token, method, path, body, headers)
        finally:
            api.close()
        assert answer.status == status, (method, path, status, answer)
        pattern = match_route(method, urlsplit(path).path)[0].path
        self.seen.add((method, pattern, str(status)))
        self.compare(method, pattern, answer)

    def compare(self, method, pattern, answer):
        operation = f"{method} {pattern} {answer.status}"
        responses = self.document["paths"][pattern][method.lower()]["responses"]
        if str(answer.status) not in responses:
            self.mismatches.append(f"{operation}: status is not described")
            return
        content = resolve(self.document, responses[str(answer.status)]).get("content", {})
        if not content:
            assert answer.body == b"", operation
            return
        ((kind, media),) = content.items()
        if answer.headers["content-type"].partition(";")[0] != kind:
            self.mismatches.append(f"{operation}: {answer.headers['content-type']} is not {kind}")
        elif kind.endswith("json"):
            found = mismatches(self.document, media["schema"], answer.json())
            self.mismatches += [f"{operation} {mismatch}" for mismatch in found]


@when("these calls are made, each to a fresh API")
def when_calls(context):
    context.checker = ApiChecker(context.token_rows)
    context.calls = []
    for row in context.table:
        body = json.loads(row["body"])
        status = int(row["status"])
        context.checker.call(status, "fleet", row["method"], row["path"], body)
        if status < 300:
            context.calls.append((row["method"], row["path"], body, row["other"]))


def fails_with(code, ran="not_run"):
    """Return a function that makes the store and the members task of an API fail."""

    def prepare(api):
        failure = RelayError(code, "failure set by the feature", step="store write", ran=ran)
        api.documents.failure = api.members.failure = failure

    return prepare


@when("each successful call is made without token, without scope, with old ETags and with failures")
def when_failures(context):
    check = context.checker.call
    for method, path, body, other in context.calls:
        entry = match_route(method, urlsplit(path).path)[0]
        if not entry.scope:
            continue
        check(401, None, method, path, body)
        if path == "/metrics":
            check(403, "viewer", method, path, body)
            check(403, "gauges", method, path, body)
        elif entry.scope != "read":
            check(403, "viewer", method, path, body)
            check(503, "fleet", method, path, body, prepare=fails_with("store_unavailable"))
        else:
            check(403, "writer", method, path, body)
        responses = context.checker.document["paths"][entry.path][method.lower()]["responses"]
        if "304" in responses:
            check(304, "fleet", method, path, body, {"if-none-match": '"7"'})
        if "412" in responses:
            check(412, "fleet", method, path, body, {"if-match": '"3"'})
            unknown = fails_with("outcome_unknown", "unknown")
            check(504, "fleet", method, path, body, prepare=unknown)
        if other:
            check(409, "fleet", method, path, body, prepare=preceded_by(other, method, path))


def preceded_by(other, method, path):
    """Return a function that stores a conflicting edit by another operator first."""
    change = other_edit(other, method, path)
    return lambda api: api.documents.concurrent_changes.append(change)


@then("each answer matches the file and each documented status occurred")
def then_all_match(context):
    checker = context.checker
    assert not checker.mismatches, checker.mismatches
    documented = {
        (method.upper(), path, status)
        for path, item in checker.document["paths"].items()
        for method, operation in item.items()
        for status in operation["responses"]
    }
    assert documented == checker.seen, documented ^ checker.seen
