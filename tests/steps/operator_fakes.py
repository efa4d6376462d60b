"""Stand-ins for the tasks that the administration API talks to."""

import json
import tempfile
from pathlib import Path

import trio

from rattanrelay.errors import RelayError
from rattanrelay.http import Request
from rattanrelay.metrics import Metrics
from rattanrelay.node.admin import Admin
from rattanrelay.node.ports import Configuration, Latest, Member
from rattanrelay.node.server import SearcherStatus
from rattanrelay.settings import Address, AdminToken, Settings
from rattanrelay.table import decode_table, encode_document
from rattanrelay.table.cells import commit
from rattanrelay.wire import BlockedRequest, Document

__all__ = ["FakeDocuments", "FakeMembers", "Lab", "call_admin", "token_of"]

NOW = 1_700_000_000.0


def token_of(name):
    """Return the secret of a token by its name in a feature."""
    return f"{name}-token-0123456789"


class FakeDocuments:
    """A store in memory; `others` are edits by another operator that win the next swaps."""

    def __init__(self, table):
        self.configuration = Latest(Configuration(table))
        self.value = encode_document(table)
        self.others = []
        self.failure = None

    @property
    def table(self):
        """The stored table."""
        return decode_table(self.value)

    async def edit(self, name, change):
        assert name == "table"
        if self.failure:
            raise self.failure
        value = change(self.value)
        while self.others:
            await trio.lowlevel.checkpoint()
            self.write_elsewhere(self.others.pop(0))
            value = change(self.value)
        self.value = value
        self.configuration.set(self.configuration.value._replace(table=self.table))
        return Document(name, self.table.revision, value)

    def write_elsewhere(self, change):
        """Store another operator's change without putting it in force here."""
        edited = commit(self.table, (change,), author="operators/anna", now=NOW)
        self.value = encode_document(edited)


class FakeMembers:
    """A view of two members, and one former member."""

    instance = "entry-1"
    epoch = 4
    members = (
        Member("entry-1", "i1", "10.0.0.1:7000", "oviedo"),
        Member("entry-2", "i2", "10.0.0.2:7000", "torrelavega"),
    )

    def __init__(self):
        self.stopped = []
        self.failure = None

    def owner(self, name):
        """Return the first member as owner of all servers."""
        return self.members[0]

    def may_dispatch(self, server):
        """Say that this instance, the owner of all servers, may send work."""
        return True

    async def confirm_stopped(self, instance):
        if self.failure:
            raise self.failure
        if instance == self.instance:
            raise RelayError("bad_request", "this instance runs", step="confirm stopped")
        self.stopped.append(instance)


def live_status():
    """Return a status in which one member lags."""
    searchers = [
        SearcherStatus(f"{server}/0", server, "warm", True, 0, 2, 2, 0, 1, "b1")
        for server in ("log-1", "book-1")
    ]
    return {
        "ready": True,
        "reason": "",
        "lease_left_s": 1.5,
        "degraded": ["store_down"],
        "revisions": {"entry-1": {"table": 7}, "entry-2": {"table": 6}},
        "searchers": [searcher._asdict() for searcher in searchers],
        "blocked": [BlockedRequest("f1", 20)._asdict()],
        "store_calls": {"read": 3},
        "departed": ["entry-3"],
        "drain": {
            "state": "finishing",
            "seconds": 0.5,
            "phases": [{"phase": "not_ready", "ended": "done", "seconds": 3.0}],
        },
    }


class Lab:
    """An `Admin` with its stand-ins and token files in a directory that it removes."""

    def __init__(self, table, tokens):
        self.directory = tempfile.TemporaryDirectory()
        self.documents = FakeDocuments(table)
        self.members = FakeMembers()
        self.tokens = [self.entry(**token) for token in tokens]
        self.admin = self.start()

    def entry(self, token, team, scopes, services, text=None):
        """Write a token file and return its settings."""
        file = Path(self.directory.name) / token
        file.write_text(text or token_of(token))
        listed = [name for name in services.split(", ") if name]
        return AdminToken(team, str(file), scopes.split(", "), listed)

    def start(self, status=live_status):
        """Build the `Admin`; raises `bad_settings`."""
        place = Address("127.0.0.1", 0)
        settings = Settings(
            "entry-1", "oviedo", place, place, place, place, place, admin_tokens=self.tokens
        )
        metrics = Metrics("entry-1")
        return Admin(settings, self.documents, self.members, status, metrics, clock=lambda: NOW)

    def close(self):
        """Remove the token files."""
        self.directory.cleanup()


def call_admin(lab, token, method, path, body=None, headers=None):
    """Send one request to the handler; a text body is sent as it is, others as JSON."""
    text = body if isinstance(body, str) else json.dumps(body)
    data = b"" if body is None else text.encode()
    sent = dict(headers or {})
    if token:
        sent["authorization"] = f"Bearer {token_of(token)}"
    return trio.run(lab.admin.handle, Request(method, path, sent, data, "10.9.9.9:1"))
