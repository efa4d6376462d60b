"""Export of rows as CSV, and the cell changes between an edited CSV file and a table."""

import csv
import io
from typing import NamedTuple

from ..errors import RelayError
from .cells import add_row
from .columns import COLUMNS, KINDS, bad_cell, parse_cell, rows_of
from .model import CellChange, CellValue, Table

__all__ = ["Sheet", "export_rows", "import_changes", "parse_sheet"]

#: First cell of the first line of an export; the next cells are the kind and the revision.
EXPORT_MARKER = "#rattanrelay"


class Sheet(NamedTuple):
    """A parsed CSV file; `revision` is None if the file does not start with the line of an export.

    `rows` maps row names to cells by column, for the columns that the file has.
    """

    kind: str
    revision: int | None
    rows: dict[str, dict[str, CellValue]]


def export_rows(table: Table, kind: str) -> str:
    """Return CSV text: a line with kind and revision, a header, and the rows sorted by name."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\r\n")
    writer.writerow([EXPORT_MARKER, kind, table.revision])
    writer.writerow(COLUMNS[kind])
    for _, row in sorted(rows_of(table, kind).items()):
        writer.writerow([_cell_text(cell) for cell in row])
    return out.getvalue()


def parse_sheet(text: str, kind: str | None = None) -> Sheet:
    """Parse the text of a CSV file; `kind` is required if the file does not state its kind.

    Columns may be in any order. Omitted columns keep their value in existing rows and take their
    default in new rows. Raises `bad_table`.
    """
    records = _split_records(text)
    marked_kind, revision = (
        _parse_marker(records[0]) if records and records[0][0] == EXPORT_MARKER else (None, None)
    )
    if marked_kind:
        records = records[1:]
    kind = _resolve_kind(marked_kind, kind)
    if not records:
        raise _bad_csv("the file has no header line")
    columns = _parse_header(kind, records[0])
    rows: dict[str, dict[str, CellValue]] = {}
    for number, texts in enumerate(records[1:], start=1):
        cells = _parse_record(kind, columns, texts, number)
        name = cells["name"]
        if name in rows:
            raise bad_cell(kind, name, "name", name, "each name once in the file")
        rows[name] = cells
    return Sheet(kind, revision, rows)


def import_changes(
    base: Table, sheet: Sheet, *, remove_missing: bool = False
) -> tuple[CellChange, ...]:
    """Return the changes that turn `base`, the exported table, into the content of the file.

    Rows missing from the file are removed only with `remove_missing`, since files often hold only a
    part of the rows.
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


def _split_records(text: str) -> list[list[str]]:
    """Return the non-empty records of a CSV text; a byte order mark is ignored."""
    try:
        records = list(
            csv.reader(io.StringIO(text.removeprefix("\ufeff"), newline=""), strict=True)
        )
    except csv.Error as error:
        raise _bad_csv(f"the file is not CSV: {error}") from None
    return [record for record in records if any(cell.strip() for cell in record)]


def _parse_marker(cells: list[str]) -> tuple[str, int]:
    kind, revision = (*cells[1:3], "", "")[:2]
    if kind not in KINDS or not revision.isdecimal():
        raise _bad_csv(f"line 1: {kind!r} and {revision!r} are not a kind and a revision")
    return kind, int(revision)


def _resolve_kind(marked_kind: str | None, given_kind: str | None) -> str:
    kind = marked_kind or given_kind
    if kind is None:
        raise _bad_csv(f"the kind of the rows is not known; allowed: {', '.join(KINDS)}")
    if marked_kind and given_kind and marked_kind != given_kind:
        raise _bad_csv(f"the file holds {marked_kind}, not {given_kind}")
    return kind


def _parse_header(kind: str, cells: list[str]) -> tuple[str, ...]:
    columns = tuple(cells)
    while columns and not columns[-1]:
        columns = columns[:-1]
    known = COLUMNS[kind]
    for column in columns:
        if column not in known:
            raise _bad_csv(f"{kind} have no column {column!r}; allowed: {', '.join(known)}")
    if len(set(columns)) != len(columns) or "name" not in columns:
        raise _bad_csv(f"the header {','.join(columns)!r} must have name, and each column once")
    return columns


def _parse_record(kind: str, columns: tuple[str, ...], texts: list[str], number: int) -> dict:
    """Return the cells of one record by column."""
    extra = [text for text in texts[len(columns) :] if text]
    if len(texts) < len(columns) or extra:
        raise _bad_csv(f"row {number} has {len(texts)} cells, the header has {len(columns)}")
    values = dict(zip(columns, texts, strict=False))
    known = COLUMNS[kind]
    return {name: parse_cell(known[name], values["name"], text) for name, text in values.items()}


def _bad_csv(text: str) -> RelayError:
    return RelayError("bad_table", text, step="read CSV")
