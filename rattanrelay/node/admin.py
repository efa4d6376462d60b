"""Administration API over HTTP for a cluster that several teams share."""

import time
from collections.abc import Callable
from typing import Any

import msgspec
import trio
import uuid6

from ..errors import CODES, DECODE_ERRORS, RelayError
from ..http import Request, Response, json_response
from ..log import event
from ..metrics import Metrics
from ..settings import Settings
from ..table import CellChange, Table, decode_table, encode_document
from ..table.capacity import capacity_without
from ..table.cells import commit, describe
from ..table.columns import rows_of
from . import admin_fleet, admin_table
from .admin_access import Tokens
from .admin_ports import DocumentsPort, MembershipPort, StatusSource
from .admin_routes import Call, match_route, methods_of

__all__ = ["PROBLEM_TYPE", "Admin"]

#: Media type of an error body, as in RFC 9457.
PROBLEM_TYPE = "application/problem+json"

TABLE_NAME = "table"

#: Interval between checks of the token files for changes, in seconds.
TOKEN_POLL_S = 1.0


class _AppliedError(Exception):
    """Raised when the stored table already contains the edit, in revision `table`."""

    def __init__(self, table: Table) -> None:
        super().__init__(table.revision)
        self.table = table


class Admin:
    """Handler of administration requests.

    `handle` turns each exception into an error response and never raises one.
    """

    def __init__(
        self,
        settings: Settings,
        documents: DocumentsPort,
        members: MembershipPort,
        status: StatusSource,
        metrics: Metrics,
        *,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Read the token files; raises `bad_settings`. `clock` returns Unix time in seconds."""
        self.tokens = Tokens(settings.admin_tokens)
        self.documents = documents
        self.members = members
        self.status = status
        self.metrics = metrics
        self.clock = clock
        self.openapi = admin_fleet.openapi_text()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Reload token files that change, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(TOKEN_POLL_S)
            self.tokens.refresh()

    async def handle(self, request: Request) -> Response:
        """Return the response to one request; the body of an error is a problem detail."""
        try:
            entry, params = match_route(request.method, request.path)
            access = None
            if entry.scope:
                access = self.tokens.find(request.headers)
                access.require(entry.scope)
            return await entry.function(self, Call(request, params, access))
        except RelayError as error:
            return self._problem_response(request, error)
        except Exception as error:
            event("admin.internal", path=request.path, error=f"{type(error).__name__}: {error}")
            text = "an internal error, see the log of the instance"
            failure = RelayError("internal", text, step="answer request", ran="unknown")
            return self._problem_response(request, failure)

    @property
    def table(self) -> Table:
        """The table in force on this instance, or an empty table of revision 0 before the first."""
        return self.documents.configuration.value.table or Table(0)

    def visible(self, call: Call) -> Table:
        """Return the table in force on this instance without the rows of other teams."""
        return call.access.visible(self.table)

    async def edit(
        self,
        call: Call,
        changes: tuple[CellChange, ...],
        *,
        status: int = 200,
        capacity: dict[str, Any] | None = None,
    ) -> Response:
        """Write changes to the store and return a response with the accepted revision.

        If another edit has replaced the stored table in the meantime, the changes are applied to
        the newer table.
        """
        call.access.check(self.table, changes)
        table = await self._write(call, changes)
        self.log("admin.edit", call, revision=table.revision, change=table.change)
        return self.edit_response(status, table, table.history[-1].changes, capacity)

    async def _write(self, call: Call, changes: tuple[CellChange, ...]) -> Table:
        """Replace the stored table by its next revision and return that revision."""
        edit = str(uuid6.uuid7())
        written: list[Table] = []

        def change(value: bytes | None) -> bytes:
            table = self._decode(value)
            _raise_if_applied(table, edit)
            written[:] = [self._next_table(call, changes, table, edit)]
            return encode_document(written[0])

        try:
            await self.documents.edit(TABLE_NAME, change)
        except _AppliedError as applied:
            return applied.table
        return written[0]

    def preview(self, call: Call, changes: tuple[CellChange, ...]) -> Response:
        """Check changes against the table in force on this instance, without writing them."""
        call.access.check(self.table, changes)
        self._commit(call, changes, self.table, "")
        return self.edit_response(200, self.table, changes)

    def edit_response(
        self,
        status: int,
        table: Table,
        changes: tuple[CellChange, ...],
        capacity: dict[str, Any] | None = None,
    ) -> Response:
        """Return the response to an edit."""
        value = {
            "revision": table.revision,
            "change": describe(changes),
            "changes": [change._asdict() for change in changes],
        }
        if capacity is not None:
            value["capacity"] = capacity
        return json_response(status, value, admin_table.etag(table))

    def capacity(self, call: Call) -> dict[str, Any]:
        """Return the capacity that remains without the row in the path.

        Only rows that the team may read are counted.
        """
        table = self.visible(call)
        catalogs = {
            name: catalog
            for name, catalog in self.documents.configuration.value.catalogs.items()
            if name in table.services
        }
        report = capacity_without(table, catalogs, call.kind, call.params["name"])
        instances = [
            {"domain": domain, "before": before, "after": report.instances_after[domain]}
            for domain, before in report.instances_before.items()
        ]
        return {
            "services": [line._asdict() for line in report.lines],
            "instances": instances,
            "warnings": list(report.warnings),
        }

    def log(self, name: str, call: Call, **fields) -> None:
        """Log an action with its author and peer, without the token."""
        event(name, author=call.author, peer=call.request.peer, **fields)

    def _next_table(
        self, call: Call, changes: tuple[CellChange, ...], table: Table, edit: str
    ) -> Table:
        self._check_if_match(call, table)
        call.access.check(table, changes)
        return self._commit(call, changes, table, edit)

    def _commit(
        self, call: Call, changes: tuple[CellChange, ...], table: Table, edit: str
    ) -> Table:
        def visible(kind: str, name: str) -> bool:
            row = rows_of(table, kind).get(name) if hasattr(table, kind) else None
            return row is None or call.access.can_read(kind, row)

        return commit(
            table,
            changes,
            author=call.author,
            now=self.clock(),
            note=call.note,
            edit=edit,
            visible=visible,
        )

    @staticmethod
    def _decode(value: bytes | None) -> Table:
        if value is None:
            return Table(0)
        try:
            return decode_table(value)
        except DECODE_ERRORS as error:
            raise RelayError("bad_answer", f"stored table: {error}", step="read table") from None

    @staticmethod
    def _check_if_match(call: Call, table: Table) -> None:
        wanted = call.request.headers.get("if-match", "*")
        tags = [tag.strip() for tag in wanted.split(",")]
        if "*" in tags or f'"{table.revision}"' in tags:
            return
        text = f"If-Match names {wanted}, the table has revision {table.revision}"
        raise RelayError("precondition_failed", text, step="check If-Match")

    def _problem_response(self, request: Request, error: RelayError) -> Response:
        self.metrics.refusals.inc({"service": "admin", "code": error.code})
        event(
            "admin.refused",
            method=request.method,
            path=request.path,
            peer=request.peer,
            code=error.code,
            error=error.message,
        )
        body = {
            "type": f"urn:rattanrelay:error:{error.code}",
            "title": CODES[error.code].meaning,
            "status": error.status,
            "detail": error.message,
            "code": error.code,
            "step": error.step,
            "peer": error.peer,
            "outcome": error.ran,
        }
        headers = {"content-type": PROBLEM_TYPE}
        if error.code == "unauthorized":
            headers["www-authenticate"] = "Bearer"
        if error.code == "method_not_allowed":
            headers["allow"] = ", ".join(methods_of(request.path))
        return Response(error.status, headers, msgspec.json.encode(body))


def _raise_if_applied(table: Table, edit: str) -> None:
    """Raise `_AppliedError` with the revision written by an earlier attempt of the same edit.

    A write whose response is lost can take effect and be followed by another operator's edit. A
    second attempt would then report a conflict although the edit was applied.
    """
    for index, entry in enumerate(table.history):
        if entry.edit == edit:
            history = table.history[: index + 1]
            found = table._replace(
                revision=entry.revision, change=describe(entry.changes), history=history
            )
            raise _AppliedError(found)
