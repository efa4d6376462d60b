"""Sample table and random tables for the features of the operators' table and interfaces."""

from hypothesis import strategies as st

from rattanrelay.table import DomainRow, InstanceRow, ServerRow, ServiceRow, Table, TenantRow
from rattanrelay.table.columns import COLUMNS, KINDS, rows_of

__all__ = ["by_name", "independent_edits", "sample_table", "tables"]

DOMAINS = ("oviedo", "torrelavega", "ponferrada", "leonardo")


def by_name(rows):
    """Return a map of row names to rows."""
    return {row.name: row for row in rows}


def sample_table():
    """Return revision 7 of a small table of two teams."""
    servers = [
        ServerRow(f"log-{n}", "logging", DOMAINS[n - 1], f"10.0.1.{n}:9000 10.0.1.{n}:9001")
        for n in (1, 2, 3)
    ]
    servers.append(ServerRow("book-1", "booking", "oviedo", "10.0.2.1:9000", connections=110))
    return Table(
        7,
        by_name([ServiceRow("logging"), ServiceRow("booking", policy="coverage")]),
        by_name([DomainRow(name) for name in DOMAINS]),
        by_name(servers),
        by_name([InstanceRow("entry-1", "oviedo"), InstanceRow("entry-2", "torrelavega")]),
        by_name([TenantRow("museum", "north"), TenantRow("archive", "south")]),
        author="operators",
    )


NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True)


def cell_strategy(column):
    """Return a strategy for cells of a column; texts include characters that CSV must quote."""
    if column.choices:
        return st.sampled_from(column.choices)
    if column.type is bool:
        return st.booleans()
    if column.type is int:
        return st.integers(int(column.minimum), int(column.maximum))
    if column.type is float:
        return st.floats(column.minimum, column.maximum)
    return st.text(st.sampled_from("abc ,\"\n\r;'#=é"), max_size=8)


@st.composite
def tables(draw):
    """Draw a table whose cells have valid types but need not be consistent."""
    table = Table(draw(st.integers(1, 10**6)))
    for kind, row_class in KINDS.items():
        names = draw(st.lists(NAMES, max_size=3, unique=True))
        others = [cell_strategy(column) for name, column in COLUMNS[kind].items() if name != "name"]
        rows = [row_class(name, *(draw(other) for other in others)) for name in names]
        table = table._replace(**{kind: by_name(rows)})
    return table


EDITABLE_CELLS = {
    ("services", "max_in_flight"): st.integers(1, 6),
    ("services", "weight"): st.integers(1, 3),
    ("domains", "state"): st.sampled_from(("in", "out")),
    ("servers", "connections"): st.integers(25, 28),
    ("tenants", "team"): st.sampled_from(("north", "south", "")),
}


@st.composite
def independent_edits(draw, table):
    """Draw edits `(kind, row, column, value)` of different cells; column "" removes the row."""
    cell_paths = [
        (kind, name, column)
        for kind, column in EDITABLE_CELLS
        for name in sorted(rows_of(table, kind))
    ]
    chosen = draw(st.lists(st.sampled_from(cell_paths), min_size=1, max_size=4, unique=True))
    edits = [(*place, draw(EDITABLE_CELLS[place[0], place[2]])) for place in chosen]
    removable = [("tenants", "museum"), ("servers", "log-2")]
    gone = [place for place in removable if draw(st.integers(0, 5)) == 0]
    kept = [edit for edit in edits if edit[:2] not in gone]
    return kept + [(*place, "", None) for place in gone if place[1] in rows_of(table, place[0])]
