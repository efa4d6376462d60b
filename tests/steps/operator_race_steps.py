"""Steps for races of two operators at two instances over a store that fails at random."""

import json
import random
from types import SimpleNamespace

import trio
import trio.testing
from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from operator_fakes import AdminFixture, live_status, token_of
from operator_samples import sample_table

from rattanrelay.errors import RelayError
from rattanrelay.http import Request
from rattanrelay.node.documents import Documents
from rattanrelay.node.ports import Member
from rattanrelay.store import Entry
from rattanrelay.table import decode_table, encode_document
from rattanrelay.table.cells import apply_changes, table_at
from rattanrelay.table.columns import KINDS, rows_of

EDITS_PER_OPERATOR = 6
MAX_WRITE_DELAY_S = 8.0
SETTLE_TIME_S = 60.0
TOKENS = [
    {"token": name, "team": name, "scopes": "read, edit, operate", "services": "logging, booking"}
    for name in ("north", "south")
]


class UnreliableStore:
    """Store of one key that loses answers and applies writes at once, later or never."""

    def __init__(self, rng, nursery):
        self.rng = rng
        self.nursery = nursery
        self.entry = Entry("table", encode_document(sample_table()), 1)

    async def get(self, key):
        await self._delay()
        if self.rng.random() < 0.2:
            raise RelayError("store_unavailable", "no answer", step="store read")
        return self.entry

    async def put(self, key, value, expected):
        await self._delay()
        outcome = self.rng.choice(("ok", "ok", "ok", "refused", "silent", "late", "dropped"))
        if outcome == "refused":
            raise RelayError("store_unavailable", "refused", step="store write")
        if outcome in ("ok", "silent"):
            self._swap(value, expected)
        if outcome == "late":
            self.nursery.start_soon(self._swap_late, value, expected)
        if outcome != "ok":
            raise RelayError("store_unavailable", "no answer", step="store write", ran="unknown")
        return self.entry

    async def _delay(self):
        await trio.sleep(self.rng.choice((0.001, 0.01, 0.1, 0.6)))

    async def _swap_late(self, value, expected):
        await trio.sleep(self.rng.uniform(0, MAX_WRITE_DELAY_S))
        if expected == self.entry.version:
            self._swap(value, expected)

    def _swap(self, value, expected):
        if expected != self.entry.version:
            raise RelayError("version_conflict", "table", step="store write")
        self.entry = Entry("table", value, expected + 1)


class UnreliablePeers:
    """Pushes documents to the other instance and drops half of them."""

    def __init__(self, rng):
        self.rng = rng
        self.others = {}

    async def call(self, instance, message, timeout):
        if self.rng.random() < 0.5:
            raise RelayError("peer_unavailable", "no answer", step="push")
        return await self.others[instance].on_document(message)


def start_instance(name, store, peers):
    """Return an API with a documents task of its own, started as instance `name`."""
    names = ("north", "south")
    members = SimpleNamespace(
        instance=name,
        members=[Member(other, "i", "", "oviedo") for other in names],
        key="view",
        set_wanted=lambda wanted: None,
        use_weights=lambda weights: None,
        me=SimpleNamespace(failure_domain="oviedo"),
    )
    documents = Documents(store, peers, members)
    documents._adopt("table", store.entry.value)
    peers.others[name] = documents
    api = AdminFixture(sample_table(), TOKENS)
    api.documents = documents
    api.admin = api.start(live_status)
    return api


def random_edit(rng):
    """Return method, path and body of an edit that is valid if no other edit precedes it."""
    choices = [
        ("PUT", "/v1/table/services/logging/queue", {"value": rng.randint(1, 4)}),
        ("PUT", "/v1/table/services/booking/queue", {"value": rng.randint(1, 4)}),
        ("PUT", "/v1/table/servers/log-1/connections", {"value": rng.randint(25, 28)}),
        ("POST", f"/v1/services/logging/{rng.choice(('in', 'out'))}", None),
        ("DELETE", "/v1/table/servers/log-2", None),
    ]
    return rng.choice(choices)


async def operator(name, api, rng, answers):
    """Send edits one after the other and store their answers by note."""
    for number in range(EDITS_PER_OPERATOR):
        await trio.sleep(rng.uniform(0, 1))
        method, path, body = random_edit(rng)
        note = f"{name}-{number}"
        data = b"" if body is None else json.dumps(body).encode()
        headers = {"authorization": f"Bearer {token_of(name)}"}
        answer = await api.admin.handle(Request(method, f"{path}?note={note}", headers, data))
        answers[note] = answer


async def race(seed):
    rng = random.Random(seed)
    answers = {}
    async with trio.open_nursery() as nursery:
        store = UnreliableStore(rng, nursery)
        peers = UnreliablePeers(rng)
        apis = {name: start_instance(name, store, peers) for name in ("north", "south")}
        async with trio.open_nursery() as operators:
            for name, api in apis.items():
                operators.start_soon(operator, name, api, rng, answers)
        await trio.sleep(SETTLE_TIME_S)
    for api in apis.values():
        api.close()
    return answers, decode_table(store.entry.value)


def check_answers(answers, table, seen):
    entries = {}
    for entry in table.history:
        assert entry.note not in entries, f"{entry.note} was applied twice"
        entries[entry.note] = entry
    for note, answer in answers.items():
        seen[answer.status] = seen.get(answer.status, 0) + 1
        applied = entries.get(note)
        if answer.status == 200:
            assert applied is not None, (note, answer)
            assert applied.revision == answer.json()["revision"], (applied, answer)
            continue
        problem = answer.json()
        assert problem["code"] != "internal", problem
        if problem["outcome"] == "not_run":
            assert applied is None, (problem, applied)


def check_history(table):
    revisions = [entry.revision for entry in table.history]
    assert revisions == list(range(8, table.revision + 1)), revisions
    replayed = sample_table()
    for entry in table.history:
        replayed = apply_changes(replayed, entry.changes)
    for kind in KINDS:
        assert rows_of(replayed, kind) == rows_of(table, kind)
        assert rows_of(table_at(table, 7), kind) == rows_of(sample_table(), kind)


@then(
    "in {count:d} random races over two instances each answer is right about whether the edit was "
    "applied"
)
def then_races(context, count):
    seen = {}

    @settings(max_examples=count)
    @for_all(st.integers(0, 2**32))
    def check(seed):
        clock = trio.testing.MockClock(autojump_threshold=0)
        answers, table = trio.run(race, seed, clock=clock)
        check_answers(answers, table, seen)
        check_history(table)

    check()
    assert {200, 409, 503} <= set(seen), seen
