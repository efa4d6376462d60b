"""Documents of an instance (table and catalogs): propagation, and edits in the store."""

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Literal, NamedTuple

import trio

from ..charts.interpreter import Chart
from ..decide.revision import HeldDocument, HeldDocuments, Readiness, resolve_write
from ..decide.succession import Weights
from ..errors import DECODE_ERRORS, RelayError
from ..log import event
from ..store import WATCHERS, Entry, StoreClient, follow
from ..store.backoff import Backoff
from ..store.client import ABSENT
from ..table import Catalog, Table, decode_catalog, decode_table
from ..wire import Accepted, Document, DocumentRevision, Handlers, Pull
from .members import Members
from .peers import Peers
from .ports import Configuration, Latest

__all__ = ["CATALOG_PREFIX", "TABLE_NAME", "Documents", "catalog_name", "revision_of"]

TABLE_NAME = "table"
CATALOG_PREFIX = "catalog/"

#: Interval at which the watchers list the catalogs in the store to find new ones.
LIST_INTERVAL_S = 30.0
PULL_TIMEOUT_S = 1.0
#: Number of instances whose reported revisions are kept; a cell has at most 15 members at a time.
MAX_REPORTS = 64
PULL_RETRY_S = 0.5
MAX_PULLS = 8
PUSH_TIMEOUT_S = 1.0
EDIT_ATTEMPTS = 8
EDIT_RETRY_S = 0.05
#: Time of reads after an unanswered write until its outcome is reported as unknown.
VERIFY_TIMEOUT_S = 5.0
VERIFY_RETRY_S = 0.25
START_RETRY_S = 1.0
#: With the reads of the view, 3,400 instances that restart during an outage of the store stay
#: below 2,000 calls/s.
START_RETRY_LIMIT_S = 8.0

Change = Callable[[bytes | None], bytes]

#: `lost`: another write came first. `replaced`: the write had no answer and another one is stored
#: now; this one may have been in effect in between.
_SwapOutcome = Literal["applied", "lost", "replaced"]


class _Stored(NamedTuple):
    """Version of a store entry and its document, None without a valid one."""

    version: int
    held: HeldDocument | None


def catalog_name(service: str) -> str:
    """Return the name and store key of a service's catalog."""
    return CATALOG_PREFIX + service


def revision_of(name: str, value: bytes) -> int:
    """Return the revision in an encoded document.

    Raises `bad_answer` for a malformed value or a name that is not a document.
    """
    return _decoded(name, value).revision


def _decoded(name: str, value: bytes) -> Table | Catalog:
    try:
        if name == TABLE_NAME:
            return decode_table(value)
        if name.startswith(CATALOG_PREFIX):
            return decode_catalog(value)
    except DECODE_ERRORS as error:
        raise RelayError("bad_answer", f"{name}: {error}", step="decode document") from error
    raise RelayError("bad_answer", f"{name} is not a document", step="decode document")


class Documents:
    """Replicas of the documents on this instance; other tasks read them from `configuration`."""

    def __init__(
        self,
        store: StoreClient,
        peers: Peers,
        members: Members,
        rng: Random | None = None,
    ) -> None:
        self.rng = rng or Random(members.instance)
        self.store = store
        self.peers = peers
        self.members = members
        self.configuration: Latest[Configuration] = Latest(Configuration())
        self.replicas = HeldDocuments()
        self.readiness = Readiness()
        self.chart = Chart("table_revision", members.instance)
        self.was_ready = False
        #: Trio time at which readiness was first checked with a view, None before.
        self.first_checked_at: float | None = None
        #: Newest revision in digests of peers that is missing here, and its instance, by name.
        self.wanted: dict[str, tuple[int, str]] = {}
        #: Last reported revisions of each peer, by instance and document name.
        self.reported: dict[str, dict[str, int]] = {}
        self.pulling: set[str] = set()
        self.watching: set[str] = set()
        self._nursery: trio.Nursery | None = None

    @property
    def ready(self) -> bool:
        """Whether a table is in force that was compared with the store or the peers.

        An instance that has become ready stays ready.
        """
        if not self.was_ready and not self.wanted and self.members.epoch:
            self.was_ready = self._is_checked()
            if self.was_ready:
                event(
                    "documents.checked",
                    revisions=self.digest(),
                    store_read=self.readiness.store_read,
                    compared=sorted(self.readiness.compared),
                )
        return self.was_ready

    def _is_checked(self) -> bool:
        now = trio.current_time()
        if self.first_checked_at is None:
            self.first_checked_at = now
        others = [one for one in self.members.members if one.instance != self.members.instance]
        return self.readiness.ready(
            self.configuration.value.table is not None,
            self.peers.connected(),
            alone=not others,
            waited=now - self.first_checked_at,
        )

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for documents, among them the view of `Members`."""
        handlers.on(Pull)(self.on_pull)
        handlers.on(Document)(self.on_document)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Keep the documents up to date from the store and the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._first_read)
            nursery.start_soon(self._find_catalogs)
            nursery.start_soon(self._watch, TABLE_NAME)
            nursery.start_soon(self._retry_pulls)
            task_status.started()
            await trio.sleep_forever()

    # Digests.

    def digest(self) -> dict[str, int]:
        """Return the revision in force of each document, by name."""
        return self.replicas.digest()

    def record_digest(
        self, instance: str, entries: Iterable[DocumentRevision], whole: bool
    ) -> None:
        """Record the digest of a peer and pull the documents that are newer there.

        `whole` tells that it has the revisions of all documents of the peer.
        """
        entries = tuple(entries)
        if whole and instance not in self.readiness.compared:
            self.readiness.compared.add(instance)
            event("documents.compared", peer=instance, revisions=dict(entries))
        self._record_report(instance, entries)
        for name, revision in self.replicas.newer_entries(entries):
            if revision >= self.wanted.get(name, (0, ""))[0]:
                self.wanted[name] = (revision, instance)
                self._update_chart(name, "newer_seen")
            self._start_pull(name)

    def _record_report(self, instance: str, entries: tuple[DocumentRevision, ...]) -> None:
        """Record the revisions that a peer reports; evict those of the least recent reporter.

        A peer reports each revision once, possibly before the view here has it as a member, so the
        reports of instances that are not members are kept as well.
        """
        known = self.reported.pop(instance, {})
        known.update({entry.name: entry.revision for entry in entries})
        self.reported[instance] = known
        while len(self.reported) > MAX_REPORTS:
            del self.reported[next(iter(self.reported))]

    # Messages.

    async def on_pull(self, message: Pull) -> Document:
        """Return the document, with an empty value if the requester has the same or a newer one."""
        if message.name == self.members.key:
            document = self.members.document()
        else:
            held = self.replicas.held.get(message.name, HeldDocument(0, b""))
            document = Document(message.name, held.revision, held.value)
        if document.revision <= message.revision:
            return document._replace(value=b"")
        return document

    async def on_document(self, message: Document) -> Accepted:
        """Accept a document that a peer has pushed, if it is newer."""
        if message.name == self.members.key:
            return Accepted(self.members.adopt_document(message))
        return Accepted(self._adopt(message.name, message.value))

    # Edits.

    async def edit(self, name: str, change: Change) -> Document:
        """Apply `change` to the newest value in the store and push the result to the peers.

        `change` gets the old value (None if there is none) and returns the new one, with a higher
        revision; it is called again after another write came first, and an exception in it ends the
        edit. A write without an answer may have taken effect before another one replaced it, so
        `change` must recognise its own result in the old value. Raises `version_conflict` after too
        many concurrent writes, `store_unavailable` if nothing was written, or `outcome_unknown` if
        it could not be found out whether a write without an answer took effect.
        """
        outcome: _SwapOutcome = "lost"
        for attempt in range(EDIT_ATTEMPTS):
            stored = await self._read_for_attempt(name, outcome)
            base = self._base(name, stored)
            value = change(base.value if base else None)
            written = HeldDocument(revision_of(name, value), value)
            if written.revision <= (base.revision if base else 0):
                raise RelayError("internal", f"{name}: the revision did not rise", step="edit")
            outcome = await self._swap(name, written, stored.version)
            if outcome == "applied":
                self._adopt(name, value)
                await self._push(Document(name, written.revision, value))
                return Document(name, written.revision, value)
            await trio.sleep(EDIT_RETRY_S * (attempt + 1))
        if outcome == "replaced":
            raise _unknown(name, "the store answered too seldom")
        raise RelayError("version_conflict", f"{name} changes too often", step="edit")

    async def _read_for_attempt(self, name: str, outcome: _SwapOutcome) -> _Stored:
        """Read for the next attempt; raise `outcome_unknown` on failure after a replaced write."""
        try:
            return await self._read(name)
        except RelayError as error:
            if outcome == "replaced":
                raise _unknown(name, error.message) from error
            raise

    def _base(self, name: str, stored: _Stored) -> HeldDocument | None:
        """Return the newer of the stored document and the one in force."""
        return self.replicas.newer_than_stored(name, _revision(stored)) or stored.held

    async def _swap(self, name: str, written: HeldDocument, expected: int) -> _SwapOutcome:
        """Write if the store still has the expected version."""
        try:
            await self.store.put(name, written.value, expected)
        except RelayError as error:
            if error.code == "version_conflict":
                return "lost"
            if error.code == "store_unavailable" and error.ran == "unknown":
                applied = await self._verify_write(name, written, expected)
                return "applied" if applied else "replaced"
            raise
        return "applied"

    async def _verify_write(self, name: str, written: HeldDocument, expected: int) -> bool:
        """Return whether an unanswered write took effect, found out by reads.

        As long as the expected version is stored, the write may still be applied later. So the same
        write is repeated until it or another one has replaced that version.
        """
        with trio.move_on_after(VERIFY_TIMEOUT_S):
            while True:
                outcome = await self._read_outcome(name, written, expected)
                if outcome == "applied":
                    return True
                if outcome == "lost":
                    return False
                if outcome == "pending" and await self._repeat_write(name, written, expected):
                    return True
                await trio.sleep(VERIFY_RETRY_S)
        raise _unknown(name, "the store did not answer")

    async def _read_outcome(self, name: str, written: HeldDocument, expected: int) -> str:
        try:
            stored = await self._read(name)
        except RelayError:
            return ""
        return resolve_write(written, expected, stored.version, stored.held)

    async def _repeat_write(self, name: str, written: HeldDocument, expected: int) -> bool:
        try:
            await self.store.put(name, written.value, expected)
        except RelayError:
            return False
        return True

    async def _push(self, document: Document) -> None:
        """Send a document to all peers; return when each has answered or timed out."""
        async with trio.open_nursery() as nursery:
            for member in self.members.members:
                if member.instance != self.members.instance:
                    nursery.start_soon(self._push_to, member.instance, document)

    async def _push_to(self, instance: str, document: Document) -> None:
        try:
            await self.peers.call(instance, document, PUSH_TIMEOUT_S)
        except RelayError as error:
            event("documents.push_failed", peer=instance, document=document.name, code=error.code)

    # Putting documents in force.

    def _adopt(self, name: str, value: bytes) -> bool:
        """Put a document in force if it is newer; return whether it was. Log a malformed one."""
        try:
            decoded = _decoded(name, value)
        except RelayError as error:
            event("documents.refused", document=name, error=error.message)
            return False
        if not self.replicas.accept(name, decoded.revision, value):
            return False
        if self.wanted.get(name, (0, ""))[0] <= decoded.revision:
            self.wanted.pop(name, None)
            self._update_chart(name, "taken")
        event("documents.in_force", document=name, revision=decoded.revision)
        self._publish(decoded)
        self._start_watch(name)
        return True

    def _publish(self, decoded: Table | Catalog) -> None:
        current = self.configuration.value
        if isinstance(decoded, Table):
            self.configuration.set(current._replace(table=decoded))
            self.members.use_weights(_weights(decoded))
            self.members.set_wanted(self._in_service(decoded))
            return
        catalogs = {**current.catalogs, decoded.service: decoded}
        self.configuration.set(current._replace(catalogs=catalogs))

    def _in_service(self, table: Table) -> bool:
        """Return whether the rows of this instance and its domain, if any, are `in`."""
        instance = table.instances.get(self.members.instance)
        domain = table.domains.get(self.members.me.failure_domain)
        return all(row is None or row.state == "in" for row in (instance, domain))

    # Pulls from peers.

    def _start_pull(self, name: str) -> None:
        if self._nursery is None or name in self.pulling or len(self.pulling) >= MAX_PULLS:
            return
        self.pulling.add(name)
        self._nursery.start_soon(self._pull, name)

    async def _pull(self, name: str) -> None:
        try:
            _, instance = self.wanted[name]
            message = Pull(name, self.replicas.revision(name))
            reply = await self.peers.call(instance, message, PULL_TIMEOUT_S)
            if reply.value:
                self._adopt(name, reply.value)
        except (KeyError, RelayError):
            return
        finally:
            self.pulling.discard(name)

    async def _retry_pulls(self) -> None:
        """Repeat failed pulls; discard those from instances that are no longer peers."""
        while True:
            await trio.sleep(PULL_RETRY_S)
            for name, (_, instance) in list(self.wanted.items()):
                if not self.peers.has_peer(instance):
                    del self.wanted[name]
                    continue
                self._start_pull(name)

    # The store.

    async def _first_read(self) -> None:
        """Read all documents once, with backoff; an instance may become ready after that."""
        backoff = Backoff(self.rng, first=START_RETRY_S, longest=START_RETRY_LIMIT_S)
        while not self.readiness.store_read:
            try:
                await self._refresh(TABLE_NAME)
                for name in await self.store.list(CATALOG_PREFIX):
                    await self._refresh(name)
            except RelayError as error:
                _log_failure(error)
                await trio.sleep(backoff.record_failure())
                continue
            self.readiness.store_read = True

    async def _find_catalogs(self) -> None:
        while True:
            await trio.sleep(LIST_INTERVAL_S)
            if not self._watches():
                continue
            try:
                for name in await self.store.list(CATALOG_PREFIX):
                    self._start_watch(name)
            except RelayError as error:
                _log_failure(error)

    def _watches(self) -> bool:
        """Return whether this instance is one of the watchers of the documents."""
        return self.members.is_selected("watch", WATCHERS)

    def _start_watch(self, name: str) -> None:
        if self._nursery is not None and name != TABLE_NAME and name not in self.watching:
            self.watching.add(name)
            self._nursery.start_soon(self._watch, name)

    async def _watch(self, name: str) -> None:
        """Watch one document in the store while this instance is one of the watchers."""

        async def take(entry: Entry) -> None:
            await self._apply_stored(name, _stored(name, entry))

        await follow(
            self.store,
            name,
            wanted=self._watches,
            on_entry=take,
            on_missing=partial(self._refresh, name),
            on_error=_log_failure,
            backoff=Backoff(self.rng),
        )

    async def _refresh(self, name: str) -> None:
        await self._apply_stored(name, await self._read(name))

    async def _apply_stored(self, name: str, stored: _Stored) -> None:
        """Put the stored document in force if it is newer; write back a newer one."""
        if stored.held is not None:
            self._adopt(name, stored.held.value)
        newer = self.replicas.newer_than_stored(name, _revision(stored))
        if newer is None:
            self._update_chart(name, "stored")
            return
        self._update_chart(name, "older_stored")
        event("documents.write_back", document=name, stored=_revision(stored), held=newer.revision)
        try:
            await self.store.put(name, newer.value, stored.version)
        except RelayError as error:
            if error.code != "version_conflict":
                raise
            return
        self._update_chart(name, "stored")

    def _update_chart(self, name: str, condition: str) -> None:
        if name == TABLE_NAME:
            self.chart.send(condition, cause=f"revision {self.replicas.revision(name)}")

    async def _read(self, name: str) -> _Stored:
        entry = await self.store.get(name)
        return _stored(name, entry) if entry else _Stored(ABSENT, None)


def _log_failure(error: RelayError) -> None:
    event("documents.store_error", code=error.code, error=error.message)


def _weights(table: Table) -> Weights:
    weights = {name: row.weight for name, row in table.instances.items()}
    return Weights(table.revision, weights)


def _revision(stored: _Stored) -> int:
    return stored.held.revision if stored.held else 0


def _stored(name: str, entry: Entry) -> _Stored:
    """Decode an entry; a malformed value is taken as none, so that a valid one replaces it."""
    try:
        return _Stored(entry.version, HeldDocument(revision_of(name, entry.value), entry.value))
    except RelayError as error:
        event("documents.refused", document=name, error=error.message)
        return _Stored(entry.version, None)


def _unknown(name: str, reason: str) -> RelayError:
    return RelayError("outcome_unknown", f"{name}: {reason}", step="edit", ran="unknown")
