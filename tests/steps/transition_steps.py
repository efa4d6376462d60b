"""Steps for limits that are updated incrementally with each table."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.decide.limits import effective_limits, transition_limits
from rattanrelay.decide.transition import TransitionLimits
from rattanrelay.table import DomainRow, ServerRow, ServiceRow, Table, TenantRow

SETTLE_S = 9.0
NAMES = [f"s{number}" for number in range(6)]
ADDRESSES = ["h:1", "h:1 h:2", "h:1 h:2 h:3"]
CAPS = st.integers(0, 16)
WEIGHTS = st.sampled_from([1, 1, 1, 2, 3, 0])
STATES = st.sampled_from(["in", "in", "in", "out"])
SERVER_ROWS = st.builds(
    ServerRow,
    st.sampled_from(NAMES),
    st.sampled_from("lm"),
    st.sampled_from("ab"),
    st.sampled_from(ADDRESSES),
    st.integers(0, 4),
    st.integers(0, 40),
    weight=WEIGHTS,
    state=STATES,
)
DOMAIN_ROWS = st.builds(DomainRow, st.sampled_from("ab"), CAPS, WEIGHTS, STATES)
SERVICE_ROWS = st.builds(
    ServiceRow, st.sampled_from("lm"), max_in_flight=CAPS, weight=WEIGHTS, state=STATES
)
ROWS = st.one_of(SERVER_ROWS, SERVER_ROWS, DOMAIN_ROWS, SERVICE_ROWS)
MAPS = {ServerRow: "servers", DomainRow: "domains", ServiceRow: "services"}


@st.composite
def cell_edits(draw, table):
    """Draw the table with one cell of a server changed."""
    name = draw(st.sampled_from(sorted(table.servers)))
    row = table.servers[name]
    changed = draw(
        st.sampled_from(
            [
                row._replace(weight=draw(WEIGHTS)),
                row._replace(slots=draw(st.integers(0, 4))),
                row._replace(service=draw(st.sampled_from("lm"))),
                row._replace(failure_domain=draw(st.sampled_from("ab"))),
                row._replace(addresses=draw(st.sampled_from(ADDRESSES))),
                row._replace(connections=draw(st.integers(0, 40))),
            ]
        )
    )
    return table._replace(servers={**table.servers, name: changed})


@st.composite
def edited(draw, table):
    """Draw the table after one edit: a row set or removed, or a cell of a server changed."""
    if table.servers and draw(st.booleans()):
        return draw(cell_edits(table))
    row = draw(ROWS)
    kind = MAPS[type(row)]
    rows = {**getattr(table, kind), row.name: row}
    if draw(st.integers(0, 5)) == 0:
        del rows[row.name]
    return table._replace(**{kind: rows})


@st.composite
def histories(draw):
    """Draw successive tables with the time of each; a revision has one or several edits."""
    servers = [draw(SERVER_ROWS)._replace(name=name) for name in NAMES]
    domains = [DomainRow(name, draw(CAPS)) for name in "ab"]
    services = [ServiceRow(name, max_in_flight=draw(CAPS)) for name in "lm"]
    table = Table(1, *({row.name: row for row in rows} for rows in (services, domains, servers)))
    now = 0.0
    history = [(now, table)]
    for _ in range(draw(st.integers(1, 8))):
        now += draw(st.sampled_from([0.0, 1.0, 4.0, 10.0]))
        for _ in range(draw(st.integers(1, 3))):
            table = draw(edited(table))
        table = table._replace(revision=table.revision + 1)
        history.append((now, table))
    return history


def _searchers(table):
    return [searcher for row in table.servers.values() for searcher in row.searchers]


@then("after any sequence of edits each limit equals the one derived from all tables in use")
def incremental_equals_full(context):
    @settings(max_examples=300, deadline=None)
    @for_all(histories())
    def check(history):
        limits, recent, previous = TransitionLimits(), [], None
        for now, table in history:
            limits.expire(now)
            recent = [(end, old) for end, old in recent if end > now]
            if previous is not None:
                recent.append((now + SETTLE_S, previous))
            limits.replace(table, now + SETTLE_S)
            previous = table
            found = {name: limits.limit(name) for name in _searchers(table)}
            assert found == transition_limits([old for _, old in recent], table), (recent, table)
        limits.expire(now + SETTLE_S)
        found = {name: limits.limit(name) for name in _searchers(table)}
        assert found == effective_limits(table)
        assert not any(limits.excess.values())

    check()


class CountedLimits(TransitionLimits):
    """Counts the domains and services that a change recomputes."""

    derived = (0, 0)

    def _share_domain(self, name, servers):
        self.derived = self.derived[0] + 1, self.derived[1]
        return super()._share_domain(name, servers)

    def _share_service(self, name, searchers, replaced):
        self.derived = self.derived[0], self.derived[1] + 1
        return super()._share_service(name, searchers, replaced)


@given("the limits of a table of 4 services, 2 domains and 40 servers")
def counted_limits(context):
    servers = {}
    for number in range(40):
        name = f"server-{number:02d}"
        servers[name] = ServerRow(name, f"service-{number % 4}", f"domain-{number // 20}", "h:1")
    services = {f"service-{number}": ServiceRow(f"service-{number}") for number in range(4)}
    domains = {f"domain-{number}": DomainRow(f"domain-{number}") for number in range(2)}
    context.rows = Table(1, services, domains, servers)
    context.limits = CountedLimits()
    context.limits.replace(context.rows, SETTLE_S)
    context.limits.derived = (0, 0)


EDITS = {
    "the connections of a server": ("servers", "server-07", {"connections": 99}),
    "the queue of a service": ("services", "service-1", {"queue": 3}),
    "a tenant": ("tenants", "crew", {"weight": 2}),
    "the weight of a server": ("servers", "server-07", {"weight": 3}),
    "the limit of a service": ("services", "service-1", {"max_in_flight": 4}),
    "the limit of a domain to what is in use": ("domains", "domain-1", {"max_in_flight": 40}),
    "a server out": ("servers", "server-07", {"state": "out"}),
}


@when("the table is edited: {edit}")
def edit_table(context, edit):
    kind, name, cells = EDITS[edit]
    rows = getattr(context.rows, kind)
    row = rows.get(name) or TenantRow(name)
    table = context.rows._replace(revision=2, **{kind: {**rows, name: row._replace(**cells)}})
    context.limits.replace(table, SETTLE_S)


@then("the limits of {domains:d} domains and {services:d} services are recomputed")
def recomputed(context, domains, services):
    assert context.limits.derived == (domains, services), context.limits.derived
