"""Fakes of the tasks that the administration API uses."""

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

__all__ = ["AdminFixture", "FakeDocuments", "FakeMembers", "call_admin", "token_of"]

NOW = 1_700_000_000.0


def token_of(name):
    """Return the bearer token for a name in a feature."""
    return f"{name}-token-0123456789"


class FakeDocuments:
    """Documents task with a store in memory.

    `concurrent_changes` are changes by another operator that are stored during the next edit,
    before it.
    """

    def __init__(self, table):
        self.configuration = Latest(Configuration(table))
        self.value = encode_document(table)
        self.concurrent_changes = []
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
        while self.concurrent_changes:
            await trio.lowlevel.checkpoint()
            self.write_elsewhere(self.concurrent_changes.pop(0))
            value = change(self.value)
        self.value = value
        self.configuration.set(self.configuration.value._replace(table=self.table))
        return Document(name, self.table.revision, value)

    def write_elsewhere(self, change):
        """Store another operator's change without putting it in force on this instance."""
        edited = commit(self.table, (change,), author="operators/anna", now=NOW)
        self.value = encode_document(edited)


class FakeMembers:
    """Members task with a view of two members."""

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
        """Return True, since this instance owns all servers."""
        return True

    async def confirm_stopped(self, instance):
        if self.failure:
            raise self.failure
        if instance == self.instance:
            raise RelayError("bad_request", "this instance runs", step="confirm stopped")
        self.stopped.append(instance)


def live_status():
    """Return a status in which one member has an older table revision."""
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


class AdminFixture:
    """An `Admin` with fake tasks, and token files in a temporary directory."""

    def __init__(self, table, tokens):
        self.directory = tempfile.TemporaryDirectory()
        self.documents = FakeDocuments(table)
        self.members = FakeMembers()
        self.tokens = [self.write_token_file(**token) for token in tokens]
        self.admin = self.start()

    def write_token_file(self, token, team, scopes, services, text=None):
        """Write a token file and return its entry of the settings."""
        file = Path(self.directory.name) / token
        file.write_text(text or token_of(token))
        listed = [name for name in services.split(", ") if name]
        return AdminToken(team, str(file), scopes.split(", "), listed)

    def start(self, status=live_status):
        """Return a new `Admin`; raises `bad_settings`."""
        listen = Address("127.0.0.1", 0)
        settings = Settings(
            "entry-1", "oviedo", listen, listen, listen, listen, listen, admin_tokens=self.tokens
        )
        metrics = Metrics("entry-1")
        return Admin(settings, self.documents, self.members, status, metrics, clock=lambda: NOW)

    def close(self):
        """Remove the token files."""
        self.directory.cleanup()


def call_admin(api, token, method, path, body=None, headers=None):
    """Send one request to the handler; a `str` body is sent unchanged, any other as JSON."""
    text = body if isinstance(body, str) else json.dumps(body)
    data = b"" if body is None else text.encode()
    sent = dict(headers or {})
    if token:
        sent["authorization"] = f"Bearer {token_of(token)}"
    return trio.run(api.admin.handle, Request(method, path, sent, data, "10.9.9.9:1"))
