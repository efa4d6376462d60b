"""Routes of the administration API that read and edit the table."""

from typing import Any

import msgspec

from ..errors import RelayError
from ..http import Response, json_response
from ..table import CellChange, Table
from ..table.cells import add_row, remove_row, set_cell, set_state, table_at
from ..table.columns import COLUMNS, KINDS, column_of, row_of, rows_of
from ..table.csv import export_rows, import_changes, parse_sheet
from .admin_routes import Call, route

__all__ = ["etag", "row_json"]

DEFAULT_HISTORY = 50


class CellBody(msgspec.Struct, forbid_unknown_fields=True):
    """New value of a cell; if `before` is given, the edit is refused if the cell holds another."""

    value: str | int | float | bool
    before: str | int | float | bool | None = None


class CellsBody(msgspec.Struct, forbid_unknown_fields=True):
    """New values by column, and optionally the values that the cells must hold before."""

    cells: dict[str, str | int | float | bool]
    before: dict[str, str | int | float | bool] = {}


def etag(table: Table) -> dict[str, str]:
    """Return the `etag` header for the revision of a table."""
    return {"etag": f'"{table.revision}"'}


def row_json(row) -> dict[str, Any]:
    """Return the values of a row by column name."""
    return row._asdict()


def _table_response(call: Call, table: Table, value) -> Response:
    headers = etag(table)
    if call.request.headers.get("if-none-match") == headers["etag"]:
        return Response(304, headers)
    return json_response(200, value, headers)


def _rows_json(table: Table, kind: str) -> dict[str, Any]:
    return {name: row_json(row) for name, row in sorted(rows_of(table, kind).items())}


@route("GET", "/v1/table", "read")
async def get_table(admin, call: Call) -> Response:
    """Return all rows that the team may read."""
    table = admin.visible(call)
    rows = {kind: _rows_json(table, kind) for kind in KINDS}
    return _table_response(call, table, {"revision": table.revision, **rows})


@route("GET", "/v1/columns", "read")
async def get_columns(admin, call: Call) -> Response:
    """Return the type, unit, meaning and allowed values of each column."""
    columns = {
        kind: [
            {
                "name": column.name,
                "type": column.type.__name__,
                "unit": column.unit,
                "meaning": column.meaning,
                "allowed": column.allowed,
            }
            for column in by_name.values()
        ]
        for kind, by_name in COLUMNS.items()
    }
    return json_response(200, columns)


@route("GET", "/v1/table/{kind}", "read")
async def get_rows(admin, call: Call) -> Response:
    """Return the rows of a kind."""
    table = admin.visible(call)
    value = {"revision": table.revision, "rows": _rows_json(table, call.kind)}
    return _table_response(call, table, value)


@route("GET", "/v1/table/{kind}/{name}", "read")
async def get_row(admin, call: Call) -> Response:
    """Return one row."""
    table = admin.visible(call)
    row = row_of(table, call.kind, call.params["name"])
    return _table_response(call, table, {"revision": table.revision, "row": row_json(row)})


@route("GET", "/v1/table/{kind}/{name}/{column}", "read")
async def get_cell(admin, call: Call) -> Response:
    """Return one cell."""
    table = admin.visible(call)
    row = row_of(table, call.kind, call.params["name"])
    column = column_of(call.kind, call.params["column"])
    value = {"revision": table.revision, "value": getattr(row, column.name)}
    return _table_response(call, table, value)


@route("PUT", "/v1/table/{kind}/{name}/{column}", "edit")
async def put_cell(admin, call: Call) -> Response:
    """Change one cell."""
    body = call.body(CellBody)
    table = admin.visible(call)
    kind, name, column = call.kind, call.params["name"], call.params["column"]
    return await admin.edit(call, (set_cell(table, kind, name, column, body.value, body.before),))


@route("PATCH", "/v1/table/{kind}/{name}", "edit")
async def patch_row(admin, call: Call) -> Response:
    """Change one or more cells of a row."""
    body = call.body(CellsBody)
    table = admin.visible(call)
    kind, name = call.kind, call.params["name"]
    changes = tuple(
        set_cell(table, kind, name, column, value, body.before.get(column))
        for column, value in body.cells.items()
    )
    if not changes:
        raise RelayError("bad_body", "cells is empty", step="read body")
    return await admin.edit(call, changes)


@route("PUT", "/v1/table/{kind}/{name}", "edit")
async def put_row(admin, call: Call) -> Response:
    """Add a row or set all cells of an existing one; omitted columns get their default."""
    values = call.body(dict[str, str | int | float | bool])
    table = admin.visible(call)
    kind, name = call.kind, call.params["name"]
    added = add_row(kind, name, values)
    present = rows_of(table, kind).get(name)
    if present is None or call.request.headers.get("if-none-match") == "*":
        return await admin.edit(call, (added,), status=201)
    row = KINDS[kind](*added.after)
    changes = tuple(
        CellChange(kind, name, column, getattr(present, column), getattr(row, column))
        for column in row._fields
        if getattr(present, column) != getattr(row, column)
    )
    return await admin.edit(call, changes)


@route("DELETE", "/v1/table/{kind}/{name}", "edit")
async def delete_row(admin, call: Call) -> Response:
    """Remove a row."""
    change = remove_row(admin.visible(call), call.kind, call.params["name"])
    return await admin.edit(call, (change,))


@route("GET", "/v1/export/{kind}", "read")
async def get_export(admin, call: Call) -> Response:
    """Return the rows of a kind as CSV."""
    table = admin.visible(call)
    headers = {"content-type": "text/csv; charset=utf-8", **etag(table)}
    return Response(200, headers, export_rows(table, call.kind).encode())


@route("POST", "/v1/import/{kind}", "edit")
async def post_import(admin, call: Call) -> Response:
    """Apply the differences between a CSV file and the revision it was exported from."""
    try:
        text = call.request.body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise RelayError("bad_body", f"the file is not UTF-8: {error}", step="read body") from None
    sheet = parse_sheet(text, call.kind)
    table = admin.table
    revision = table.revision if sheet.revision is None else sheet.revision
    base = call.access.visible(table_at(table, revision))
    changes = import_changes(base, sheet, remove_missing=call.flag("remove_missing"))
    if call.flag("dry_run"):
        return admin.preview(call, changes)
    if not changes:
        return admin.edit_response(200, table, ())
    return await admin.edit(call, changes)


@route("GET", "/v1/history", "read")
async def get_history(admin, call: Call) -> Response:
    """Return the latest changes, newest first."""
    text = call.request.query.get("limit", str(DEFAULT_HISTORY))
    if not text.isdecimal() or not 1 <= int(text) <= 1000:
        raise RelayError(
            "bad_request", f"limit: value {text!r} is not allowed: 1 to 1000", step="read request"
        )
    table = admin.visible(call)
    entries = [
        {**entry._asdict(), "changes": [change._asdict() for change in entry.changes]}
        for entry in reversed(table.history[-int(text) :])
    ]
    return _table_response(call, table, {"revision": table.revision, "history": entries})


async def _set_state(admin, call: Call, state: str) -> Response:
    table = admin.visible(call)
    change = set_state(table, call.kind, call.params["name"], state)
    capacity = admin.capacity(call) if state == "out" else None
    return await admin.edit(call, (change,), capacity=capacity)


@route("POST", "/v1/{kind}/{name}/out", "operate")
async def post_out(admin, call: Call) -> Response:
    """Take a service, domain, server or instance out of service."""
    return await _set_state(admin, call, "out")


@route("POST", "/v1/{kind}/{name}/in", "operate")
async def post_in(admin, call: Call) -> Response:
    """Return a service, domain, server or instance to service."""
    return await _set_state(admin, call, "in")


@route("GET", "/v1/capacity/{kind}/{name}", "read")
async def get_capacity(admin, call: Call) -> Response:
    """Return the capacity that remains without a service, domain, server or instance."""
    return json_response(200, admin.capacity(call), etag(admin.table))
