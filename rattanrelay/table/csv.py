"""Rows of one kind as CSV, and the cell changes between an edited CSV file and a table."""

import csv
import io
from typing import NamedTuple

from ..errors import RelayError
from .cells import add_row
from .columns import COLUMNS, KINDS, bad_cell, parse_cell, rows_of
from .model import CellChange, CellValue, Table

__all__ = ["Sheet", "export_rows", "import_changes", "parse_sheet"]

#: First cell of the first line, which names the kind and the revision of an export.
MARK = "#rattanrelay"


class Sheet(NamedTuple):
    """A parsed CSV file; `revision` is None for a file without a first line that states it.

    `rows` holds the cells of each row by column, for the columns that the file has.
    """

    kind: str
    revision: int | None
    rows: dict[str, dict[str, CellValue]]


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
    take their default in new rows. Raises `bad_table`.
    """
    lines = _lines(text)
    marked, revision = _mark(lines[0]) if lines and lines[0][0] == MARK else (None, None)
    if marked:
        lines = lines[1:]
    kind = _agreed_kind(marked, kind)
    if not lines:
        raise _bad("the file has no header line")
    columns = _header(kind, lines[0])
    rows: dict[str, dict[str, CellValue]] = {}
    for number, texts in enumerate(lines[1:], start=1):
        cells = _cells(kind, columns, texts, number)
        name = cells["name"]
        if name in rows:
            raise bad_cell(kind, name, "name", name, "each name once in the file")
        rows[name] = cells
    return Sheet(kind, revision, rows)


def import_changes(
    base: Table, sheet: Sheet, *, remove_missing: bool = False
) -> tuple[CellChange, ...]:
    """Return the changes from `base`, the table that was exported, to the file.

    Rows that the file lacks are removed only with `remove_missing`, since a part of a table is a
    common file.
    """
    changes: list[CellChange] = []
    present = rows_of(base, sheet.kind)
    for name, cells in sheet.rows.items():
        if name in present:
            changes += _cell_changes(sheet.kind, present[name], cells)
        else:
            changes.append(add_row(sheet.kind, name, cells))
    for name in sorted(present) if remove_missing else ():
        if name not in sheet.rows:
            changes.append(CellChange(sheet.kind, name, "", tuple(present[name]), None))
    return tuple(changes)


def _cell_changes(kind: str, row, cells: dict[str, CellValue]) -> list[CellChange]:
    return [
        CellChange(kind, row.name, column, getattr(row, column), after)
        for column, after in cells.items()
        if getattr(row, column) != after
    ]


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


def _cells(kind: str, columns: tuple[str, ...], texts: list[str], number: int) -> dict:
    """Return the cells of one record by column."""
    extra = [text for text in texts[len(columns) :] if text]
    if len(texts) < len(columns) or extra:
        raise _bad(f"row {number} has {len(texts)} cells, the header has {len(columns)}")
    values = dict(zip(columns, texts, strict=False))
    known = COLUMNS[kind]
    return {name: parse_cell(known[name], values["name"], text) for name, text in values.items()}


def _bad(text: str) -> RelayError:
    return RelayError("bad_table", text, step="read CSV")
