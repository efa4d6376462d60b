"""Memory and processor time of the table and of ownership by number of searchers.

Command: python -m benchmarks.state
"""

from benchmarks.measure import cpu_per_call, fit, memory_of, print_line
from rattanrelay.decide.limits import effective_limits, transition_limits
from rattanrelay.decide.ownership import Member, owner
from rattanrelay.decide.transition import TransitionLimits
from rattanrelay.table import (
    DomainRow,
    ServerRow,
    ServiceRow,
    Table,
    decode_table,
    encode_document,
)

SERVERS = (100, 1000, 10_000)
MEMBERS = (3, 6, 10, 15)
DOMAINS = 6
SERVICES = 40
SETTLE_S = 9.25
EDITS = 5


def build_table(servers: int) -> Table:
    """Return a table of servers with two searchers each."""
    rows = {}
    for number in range(servers):
        name = f"server-{number:05d}"
        addresses = f"10.0.{number % 250}.1:9001 10.0.{number % 250}.1:9002"
        service = f"service-{number % SERVICES}"
        rows[name] = ServerRow(name, service, f"domain-{number % DOMAINS}", addresses)
    services = {f"service-{one}": ServiceRow(f"service-{one}") for one in range(SERVICES)}
    domains = {f"domain-{one}": DomainRow(f"domain-{one}") for one in range(DOMAINS)}
    return Table(1, services, domains, rows)


def measure_table() -> None:
    """Print size, memory and processor time of the table at each size."""
    searchers = [2 * count for count in SERVERS]
    held = []
    decode = []
    for count in SERVERS:
        value = encode_document(build_table(count))
        _, size = memory_of(lambda value=value: decode_table(value))
        micros = cpu_per_call(lambda value=value: decode_table(value), 5)
        table = decode_table(value)
        limits = cpu_per_call(lambda table=table: effective_limits(table), 5)
        held.append(size)
        decode.append(micros)
        print_line(
            measure="table",
            searchers=2 * count,
            document_bytes=len(value),
            memory_bytes=size,
            decode_us=round(micros),
            limits_us=round(limits),
        )
    print_line(
        measure="table slopes",
        memory_bytes_per_searcher=round(fit(searchers, held)[0], 1),
        decode_us_per_searcher=round(fit(searchers, decode)[0], 3),
    )


def measure_ownership() -> None:
    """Print processor time of one owner lookup by size of the view."""
    for count in MEMBERS:
        members = tuple(
            Member(f"entry-{one}", "1", f"10.0.0.{one}:1", "domain-1") for one in range(count)
        )
        micros = cpu_per_call(lambda members=members: owner(members, "server-00001"), 20_000)
        print_line(measure="owner lookup", members=count, cpu_us=round(micros, 2))


def _edited(table: Table, kind: str, name: str, **cells) -> bytes:
    rows = getattr(table, kind)
    changed = {**rows, name: rows[name]._replace(**cells)}
    return encode_document(table._replace(revision=table.revision + 1, **{kind: changed}))


def _edits(table: Table) -> dict[str, bytes]:
    """Return documents that differ from a table in one cell, by the kind of the edit."""
    cap = table.domains["domain-1"].max_in_flight
    return {
        "server weight": _edited(table, "servers", "server-00007", weight=2),
        "server out": _edited(table, "servers", "server-00007", state="out"),
        "service limit": _edited(table, "services", "service-7", max_in_flight=cap // 2),
        "domain limit": _edited(table, "domains", "domain-1", max_in_flight=cap // 2),
        "domain out": _edited(table, "domains", "domain-1", state="out"),
        "service queue": _edited(table, "services", "service-7", queue=17),
    }


def _raised(table: Table) -> Table:
    """Return the table with rows of domains and services that do not bind."""
    cap = 10 * len(table.servers)
    domains = {key: row._replace(max_in_flight=cap) for key, row in table.domains.items()}
    services = {key: row._replace(max_in_flight=cap) for key, row in table.services.items()}
    return table._replace(domains=domains, services=services)


def _change_us(old: Table, new: Table) -> float:
    """Return the processor time of one change; the limits hold `old` before each."""
    total = 0.0
    limits = TransitionLimits()
    limits.replace(old, 0.0)
    for number in range(EDITS):
        limits.expire(SETTLE_S * (2 * number + 1))
        total += cpu_per_call(lambda: limits.replace(new, SETTLE_S), 1)
        limits.replace(old, SETTLE_S)
        limits.expire(SETTLE_S * (2 * number + 2))
    return total / EDITS


def measure_changes() -> None:
    """Print processor time of the limits after one edit, for rows that bind and that do not."""
    for count in SERVERS:
        for rows, table in (
            ("binding", build_table(count)),
            ("not binding", _raised(build_table(count))),
        ):
            old = decode_table(encode_document(table))
            for edit, value in _edits(table).items():
                new = decode_table(value)
                whole = cpu_per_call(lambda old=old, new=new: transition_limits([old], new), 1)
                print_line(
                    measure="limits after an edit",
                    searchers=2 * count,
                    rows=rows,
                    edit=edit,
                    whole_us=round(whole),
                    changed_us=round(_change_us(old, new)),
                )


if __name__ == "__main__":
    measure_table()
    measure_changes()
    measure_ownership()
