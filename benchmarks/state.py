"""Memory and processor time of the table and of ownership by number of searchers.

Command: python -m benchmarks.state
"""

from benchmarks.measure import cpu_per_call, fit, memory_of, print_line
from rattanrelay.decide.limits import effective_limits
from rattanrelay.decide.ownership import Member, owner
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


if __name__ == "__main__":
    measure_table()
    measure_ownership()
