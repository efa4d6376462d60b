"""Rows of one kind as CSV, and the cell changes between an edited CSV file and a table."""

import csv
import io
from typing import NamedTuple

from ..errors import RelayError
from .cells import parse_row
from .columns import COLUMNS, KINDS, bad_cell, rows_of
from .model import CellChange, Table

__all__ = ["Sheet", "export_rows", "import_changes", "parse_sheet"]

#: First cell of the first line, which names the kind and the revision of an export.
MARK = "#rattanrelay"


class Sheet(NamedTuple):
    """A parsed CSV file; `revision` is None for a file without a first line that states it."""

    kind: str
    revision: int | None
    columns: tuple[str, ...]
    rows: dict[str, tuple]


def export_rows(table: Table, kind: str) -> str:
    """Return the rows of a kind, sorted by name, after a line with kind and revision."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\r\n")
    writer.writerow([MARK, kind, table.revision])
    writer.writerow(COLUMNS[kind])
    for _, row in sorted(rows_of(table, kind).items()):
        writer.writerow([_cell_text(cell) for cell in row])
    return out.getvalue()


def parse_sheet(text: str, kind: str | None = None) -> Sheet:
    """Read a CSV file; `kind` is needed if the file has no first line with its kind.

    Columns may be in any order. Columns that are left out keep their value in existing rows and
    take the default in new rows. Raises `bad_table`.
    """
    lines = _lines(text)
    marked, revision = _mark(lines[0]) if lines and lines[0][0] == MARK else (None, None)
    if marked:
        lines = lines[1:]
    kind = _agreed_kind(marked, kind)
    if not lines:
        raise _bad("the file has no header line")
    columns = _header(kind, lines[0])
    rows: dict[str, tuple] = {}
    for number, cells in enumerate(lines[1:], start=1):
        row = _row(kind, columns, cells, number)
        if row.name in rows:
            raise bad_cell(kind, row.name, "name", row.name, "each name once in the file")
        rows[row.name] = row
    return Sheet(kind, revision, columns, rows)


def import_changes(
    base: Table, sheet: Sheet, *, remove_missing: bool = False
) -> tuple[CellChange, ...]:
    """Return the changes from `base`, the table that was exported, to the file.

    Rows that the file lacks are removed only with `remove_missing`, since a part of a table is a
    common file.
    """
    changes: list[CellChange] = []
    present = rows_of(base, sheet.kind)
    for name, row in sheet.rows.items():
        if name in present:
            changes += _cell_changes(sheet, present[name], row)
        else:
            changes.append(CellChange(sheet.kind, name, "", None, tuple(row)))
    for name in sorted(present) if remove_missing else ():
        if name not in sheet.rows:
            changes.append(CellChange(sheet.kind, name, "", tuple(present[name]), None))
    return tuple(changes)


def _cell_changes(sheet: Sheet, old, new) -> list[CellChange]:
    changes = []
    for column in sheet.columns:
        before = getattr(old, column)
        after = getattr(new, column)
        if before != after:
            changes.append(CellChange(sheet.kind, old.name, column, before, after))
    return changes


def _cell_text(cell) -> str:
    if isinstance(cell, bool):
        return "true" if cell else "false"
    return str(cell)


def _lines(text: str) -> list[list[str]]:
    """Split into records without the empty ones; a byte order mark is dropped."""
    try:
        records = list(
            csv.reader(io.StringIO(text.removeprefix("\ufeff"), newline=""), strict=True)
        )
    except csv.Error as error:
        raise _bad(f"the file is not CSV: {error}") from None
    return [record for record in records if any(cell.strip() for cell in record)]


def _mark(cells: list[str]) -> tuple[str, int]:
    kind, revision = (*cells[1:3], "", "")[:2]
    if kind not in KINDS or not revision.isdecimal():
        raise _bad(f"line 1: {kind!r} and {revision!r} are not a kind and a revision")
    return kind, int(revision)


def _agreed_kind(marked: str | None, given: str | None) -> str:
    kind = marked or given
    if kind is None:
        raise _bad(f"the kind of the rows is not known; allowed: {', '.join(KINDS)}")
    if marked and given and marked != given:
        raise _bad(f"the file holds {marked}, not {given}")
    return kind


def _header(kind: str, cells: list[str]) -> tuple[str, ...]:
    columns = tuple(cells)
    while columns and not columns[-1]:
        columns = columns[:-1]
    known = COLUMNS[kind]
    for column in columns:
        if column not in known:
            raise _bad(f"{kind} have no column {column!r}; allowed: {', '.join(known)}")
    if len(set(columns)) != len(columns) or "name" not in columns:
        raise _bad(f"the header {','.join(columns)!r} must have name, and each column once")
    return columns


def _row(kind: str, columns: tuple[str, ...], cells: list[str], number: int):
    extra = [cell for cell in cells[len(columns) :] if cell]
    if len(cells) < len(columns) or extra:
        raise _bad(f"row {number} has {len(cells)} cells, the header has {len(columns)}")
    values = dict(zip(columns, cells, strict=False))
    return parse_row(kind, values["name"], values)


def _bad(text: str) -> RelayError:
    return RelayError("bad_table", text, step="read CSV")
