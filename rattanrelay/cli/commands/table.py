"""`rattanrelay table`: reads and edits the operators' table, and checks the platform's."""

import sys
from pathlib import Path
from urllib.parse import quote, urlencode

from ...errors import RelayError
from ...table.columns import COLUMNS, column_of, kind_of
from ...table.csv import parse_sheet
from ..client import AdminClient
from ..files import read_bytes, read_text
from ..options import Edit, admin_command, edit_command
from ..registry import command
from ..show import cell_text, print_findings, print_history, print_json, print_rows

__all__: list[str] = []


def _path(kind: str, *parts: str, **query) -> str:
    parameters = {name: value for name, value in query.items() if value != ""}
    path = "/".join(quote(part, safe="") for part in (kind_of(kind), *parts))
    return f"/v1/table/{path}" + (f"?{urlencode(parameters)}" if parameters else "")


def _if_match(revision: int) -> dict[str, str]:
    return {"if-match": f'"{revision}"'} if revision else {}


@admin_command("table", "show")
def show(client: AdminClient, kind: str, name: str = "", *, json: bool = False) -> None:
    """Print the rows of a kind, or one row with the unit and meaning of each cell.

    :param kind: services, domains, servers, instances or tenants
    :param name: name of one row
    :param json: print JSON
    """
    columns = COLUMNS[kind_of(kind)]
    value = client.call("GET", _path(kind, *filter(None, [name]))).json()
    if json:
        print_json(value)
    elif name:
        rows = [
            [column.name, value["row"][column.name], column.unit, column.meaning]
            for column in columns.values()
        ]
        print_rows(["column", "value", "unit", "meaning"], rows)
    else:
        print_rows(list(columns), [list(row.values()) for row in value["rows"].values()])
    if not json:
        print(f"revision {value['revision']}")


@command("table", "columns")
def columns(kind: str) -> None:
    """Print the columns of a kind: unit, allowed values and meaning. Needs no connection.

    :param kind: services, domains, servers, instances or tenants
    """
    rows = [
        [column.name, column.unit or "-", column.allowed, column.meaning]
        for column in COLUMNS[kind_of(kind)].values()
    ]
    print_rows(["column", "unit", "allowed", "meaning"], rows)


@admin_command("table", "get")
def get(client: AdminClient, kind: str, name: str, column: str) -> None:
    """Print one cell.

    :param kind: services, domains, servers, instances or tenants
    :param name: name of the row
    :param column: name of the column
    """
    column_of(kind_of(kind), column)
    print(cell_text(client.call("GET", _path(kind, name, column)).json()["value"]))


@edit_command("table", "set")
def set_(
    edit: Edit,
    kind: str,
    name: str,
    column: str,
    value: str,
    *,
    was: str = "",
    revision: int = 0,
) -> None:
    """Change one cell.

    :param kind: services, domains, servers, instances or tenants
    :param name: name of the row
    :param column: name of the column
    :param value: new value
    :param was: the value that you saw; the edit is refused if the cell has another value now
    :param revision: the edit is refused unless the table has this revision
    """
    column_of(kind_of(kind), column)
    body = {"value": value, "before": was} if was else {"value": value}
    path = _path(kind, name, column, note=edit.note)
    answer = edit.client.call("PUT", path, body, _if_match(revision))
    edit.print_result(answer.json())


@edit_command("table", "add")
def add(
    edit: Edit,
    kind: str,
    name: str,
    *cells: str,
) -> None:
    """Add a row; omitted columns take their default.

    :param kind: services, domains, servers, instances or tenants
    :param name: name of the new row
    :param cells: cells as column=value
    """
    values = {}
    for cell in cells:
        column, separator, value = cell.partition("=")
        if not separator:
            text = f"cells: value {cell!r} is not allowed: column=value"
            raise RelayError("bad_arguments", text, step="read arguments")
        values[column_of(kind_of(kind), column).name] = value
    answer = edit.client.call(
        "PUT", _path(kind, name, note=edit.note), values, {"if-none-match": "*"}
    )
    edit.print_result(answer.json())


@edit_command("table", "remove")
def remove(
    edit: Edit,
    kind: str,
    name: str,
    *,
    revision: int = 0,
) -> None:
    """Remove a row.

    :param kind: services, domains, servers, instances or tenants
    :param name: name of the row
    :param revision: the edit is refused unless the table has this revision
    """
    answer = edit.client.call(
        "DELETE", _path(kind, name, note=edit.note), None, _if_match(revision)
    )
    edit.print_result(answer.json())


@admin_command("table", "export")
def export(client: AdminClient, kind: str, *, file: str = "") -> None:
    """Write the rows of a kind as CSV, with their revision in the first line.

    :param kind: services, domains, servers, instances or tenants
    :param file: path of the file; standard output if it is not given
    """
    data = client.call("GET", f"/v1/export/{kind_of(kind)}").body
    if not file:
        sys.stdout.buffer.write(data)
        return
    try:
        Path(file).write_bytes(data)
    except OSError as error:
        raise RelayError("bad_arguments", f"{file}: {error.strerror}", step="write file") from None


@edit_command("table", "import")
def import_(
    edit: Edit,
    file: str,
    *,
    kind: str = "",
    remove_missing: bool = False,
    dry_run: bool = False,
) -> None:
    """Apply the cells of a CSV file that differ from the revision that it was exported from.

    :param file: path of the CSV file
    :param kind: kind of the rows, for a file without the first line of an export
    :param remove_missing: remove the rows that are missing from the file
    :param dry_run: only print the changes
    """
    text = read_text(file)
    try:
        sheet = parse_sheet(text, kind_of(kind) if kind else None)
    except RelayError as error:
        raise RelayError(error.code, f"{file}: {error.message}", step=error.step) from None
    flags = {"remove_missing": remove_missing, "dry_run": dry_run}
    query = {name: str(flag).lower() for name, flag in flags.items()}
    path = f"/v1/import/{sheet.kind}?{urlencode({**query, 'note': edit.note})}"
    value = edit.client.call("POST", path, text).json()
    if not dry_run:
        edit.print_result(value)
        return
    for change in value["changes"]:
        print(" ".join(cell_text(change[part]) for part in ("kind", "name", "column")), end=": ")
        print(f"{cell_text(change['before'])} to {cell_text(change['after'])}")
    print(f"{len(value['changes'])} changes to revision {value['revision']}, nothing written")


@admin_command("table", "history")
def history(client: AdminClient, *, limit: int = 20, json: bool = False) -> None:
    """Print the revisions with their author and changes, newest first.

    :param limit: number of revisions
    :param json: print JSON
    """
    value = client.call("GET", f"/v1/history?limit={limit}").json()
    if json:
        print_json(value)
    else:
        print_history(value["history"])


@command("table", "check")
def check(file: str, *, against: str = "", searchers: str = "", json: bool = False) -> int:
    """Check a configuration document of the users' platform before it is written.

    Exits with 0 without a finding, 1 with warnings only, 2 if instances would not load it. Keys are
    shown as digests only.

    :param file: path of the document, as it is under op/config
    :param against: path of the version in force; what differs is listed, which is no finding
    :param searchers: path of the platform's list of searchers, for their number
    :param json: print JSON
    """
    # Imported here since it loads the whole relay, which other uses of the command do not need.
    from ...platform import config_form
    from ...relay import config_check

    value, known, in_force = read_bytes(file), None, None
    if searchers:
        known = config_form.read_searchers(read_bytes(searchers))
    if against:
        try:
            in_force = config_form.read_configuration(read_bytes(against))
        except ValueError as error:
            raise RelayError("bad_arguments", f"{against}: {error}", step="read file") from None
    version, differences = None, []
    try:
        configuration = config_form.read_configuration(value)
    except ValueError as error:
        findings = [config_form.unreadable(error)]
    else:
        version = configuration.catalog.version
        findings = config_check.check_configuration(configuration, known)
        if in_force is not None:
            findings = config_check.version_findings(configuration, in_force) + findings
            differences = config_check.differences(in_force, configuration)
    if json:
        rows = {"findings": findings, "differences": differences}
        listed = {name: [row._asdict() for row in found] for name, found in rows.items()}
        print_json({"file": file, "version": version, **listed})
    else:
        print_findings(file, version, findings, differences)
    return 2 if any(one.severity == "error" for one in findings) else int(bool(findings))
