"""Edits of cells and rows, and their application to a table that may have changed since."""

from collections.abc import Callable, Iterable, Mapping

from ..errors import RelayError
from .checks import check_table, new_problems
from .columns import COLUMNS, KINDS, bad_cell, column_of, parse_cell, row_of, rows_of
from .model import CellChange, CellValue, HistoryEntry, Table

__all__ = [
    "HISTORY_CHANGES",
    "MAX_CHANGES",
    "add_row",
    "apply_changes",
    "cell_of",
    "commit",
    "describe",
    "parse_row",
    "remove_row",
    "set_cell",
    "set_state",
    "table_at",
]

#: Maximum number of cell changes in the history, which is sent to each instance with the table.
HISTORY_CHANGES = 100

#: Maximum number of cell changes in one edit.
MAX_CHANGES = 1000

#: Kinds whose rows have a `state` column.
KINDS_WITH_STATE = tuple(kind for kind, columns in COLUMNS.items() if "state" in columns)


def cell_of(table: Table, kind: str, name: str, column: str) -> CellValue:
    """Return a cell, or the row as a tuple if `column` is empty; None if there is no such row."""
    row = rows_of(table, kind).get(name)
    if row is None:
        return None
    return getattr(row, column) if column else tuple(row)


def set_cell(table: Table, kind: str, name: str, column: str, raw, before=None) -> CellChange:
    """Return the change of one cell; `before` is the value that the author saw, if known.

    Raises `not_found`, `bad_request` or `bad_table`.
    """
    spec = column_of(kind, column)
    if column == "name":
        raise bad_cell(
            kind, name, column, raw, "a row cannot be renamed; add a new row and remove this one"
        )
    row = row_of(table, kind, name)
    expected = getattr(row, column) if before is None else parse_cell(spec, name, before)
    return CellChange(kind, name, column, expected, parse_cell(spec, name, raw))


def set_state(table: Table, kind: str, name: str, state: str) -> CellChange:
    """Return the change that takes a row out of service or back; raises `not_found`."""
    if kind not in KINDS_WITH_STATE:
        allowed = ", ".join(KINDS_WITH_STATE)
        text = f"{kind} cannot be taken out of service; allowed: {allowed}"
        raise RelayError("bad_request", text, step="set state")
    return set_cell(table, kind, name, "state", state)


def parse_row(kind: str, name: str, values: Mapping):
    """Return a row built from texts or JSON values; omitted columns take their default."""
    cells = {}
    for column, raw in {**values, "name": name}.items():
        cells[column] = parse_cell(column_of(kind, column), name, raw)
    row_class = KINDS[kind]
    for column in row_class._fields:
        if column not in cells and column not in row_class._field_defaults:
            raise bad_cell(kind, name, column, "", COLUMNS[kind][column].allowed)
    return row_class(**cells)


def add_row(kind: str, name: str, values: Mapping) -> CellChange:
    """Return the change that adds a row; raises `bad_table` or `bad_request`."""
    return CellChange(kind, name, "", None, tuple(parse_row(kind, name, values)))


def remove_row(table: Table, kind: str, name: str) -> CellChange:
    """Return the change that removes a row; raises `not_found`."""
    return CellChange(kind, name, "", tuple(row_of(table, kind, name)), None)


def apply_changes(table: Table, changes: Iterable[CellChange]) -> Table:
    """Return the table with the changes, whose author may have seen an older table.

    A change is applied if its cell still holds the value that the author saw, or already holds the
    new value. Otherwise raises `edit_conflict`, which names the current value and its author.
    """
    return _apply(table, changes)[0]


def _apply(table: Table, changes: Iterable[CellChange]) -> tuple[Table, tuple[CellChange, ...]]:
    """Return the new table and the changes with the values that they actually replaced."""
    applied = []
    for change in changes:
        current = cell_of(table, change.kind, change.name, change.column)
        if current not in (change.before, change.after):
            raise _conflict(table, change, current)
        if current != change.after:
            table = _write_cell(table, change)
            applied.append(change._replace(before=current))
    return table, tuple(applied)


def commit(
    table: Table,
    changes: tuple[CellChange, ...],
    *,
    author: str,
    now: float,
    note: str = "",
    edit: str = "",
    visible: Callable[[str, str], bool] = lambda kind, name: True,
) -> Table:
    """Return the next revision: the table with the changes and a history entry, checked as a whole.

    `now` is Unix time in seconds, `edit` identifies the request, `visible` tells which rows
    an error may name. Raises `edit_conflict` or `bad_table`.
    """
    if len(changes) > MAX_CHANGES:
        text = f"an edit has at most {MAX_CHANGES} cell changes, this one has {len(changes)}"
        raise RelayError("bad_table", text, step="apply edit")
    edited, applied = _apply(table, changes)
    entry = HistoryEntry(table.revision + 1, author, now, note, applied, edit)
    edited = edited._replace(
        revision=entry.revision,
        author=author,
        change=describe(applied),
        history=_trim_history((*table.history, entry)),
    )
    found = new_problems(table, edited)
    shown = [problem for problem in found if visible(problem.kind, problem.name)]
    if found and not shown:
        raise RelayError(
            "bad_table", "the edit conflicts with rows of other teams", step="check table"
        )
    check_table(shown)
    return edited


def describe(changes: tuple[CellChange, ...]) -> str:
    """Return a one-line summary of the changes."""
    if not changes:
        return "no change"
    first = _describe_change(changes[0])
    return first if len(changes) == 1 else f"{first} and {len(changes) - 1} more"


def table_at(table: Table, revision: int) -> Table:
    """Return the table as it was at an earlier revision.

    Raises `precondition_failed` if the history does not reach back that far, or if `revision` is
    higher than that of `table`.
    """
    later = [entry for entry in table.history if entry.revision > revision]
    if revision > table.revision or len(later) != table.revision - revision:
        text = f"revision {revision} is not in the history of revision {table.revision}"
        raise RelayError("precondition_failed", text, step="find revision")
    for entry in reversed(later):
        for change in reversed(entry.changes):
            table = _write_cell(table, change._replace(after=change.before))
    return table._replace(revision=revision, history=table.history[: -len(later) or None])


def _describe_change(change: CellChange) -> str:
    path = f"{change.kind}/{change.name}"
    if change.column:
        return f"{path}/{change.column}: {change.before!r} to {change.after!r}"
    if change.before is None:
        return f"{path} added"
    return f"{path} removed" if change.after is None else f"{path} replaced"


def _write_cell(table: Table, change: CellChange) -> Table:
    rows = dict(rows_of(table, change.kind))
    if change.column:
        rows[change.name] = rows[change.name]._replace(**{change.column: change.after})
    elif change.after is None:
        rows.pop(change.name, None)
    else:
        rows[change.name] = KINDS[change.kind](*change.after)
    return table._replace(**{change.kind: rows})


def _conflict(table: Table, change: CellChange, current: CellValue) -> RelayError:
    path = f"{change.kind}/{change.name}" + (f"/{change.column}" if change.column else "")
    action = "removed the row" if current is None else f"wrote {_format_value(current)}"
    text = (
        f"{path}: {_last_author(table, change)} {action}; you saw {_format_value(change.before)} "
        f"and wrote {_format_value(change.after)}, which is not applied"
    )
    return RelayError("edit_conflict", text, step="apply edit")


def _format_value(value: CellValue) -> str:
    if value is None:
        return "no row"
    return repr(list(value)) if isinstance(value, tuple) else repr(value)


def _last_author(table: Table, change: CellChange) -> str:
    """Return the last author of the cell or its row, as far back as the history goes."""
    for entry in reversed(table.history):
        if any(_overlaps(change, other) for other in entry.changes):
            return f"{entry.author} (revision {entry.revision})"
    return "another operator"


def _overlaps(mine: CellChange, other: CellChange) -> bool:
    if (mine.kind, mine.name) != (other.kind, other.name):
        return False
    return "" in (mine.column, other.column) or mine.column == other.column


def _trim_history(history: tuple[HistoryEntry, ...]) -> tuple[HistoryEntry, ...]:
    """Discard the oldest entries beyond `HISTORY_CHANGES` but never the newest entry."""
    count = 0
    for index in range(len(history) - 1, -1, -1):
        count += max(1, len(history[index].changes))
        if count > HISTORY_CHANGES and index < len(history) - 1:
            return history[index + 1 :]
    return history
