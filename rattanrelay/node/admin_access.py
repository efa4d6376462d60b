"""Bearer tokens of the administration API, and the rows and cells a team may read and change.

A service belongs to the teams whose tokens list it, a server to the team of its service, and a
tenant to the team in its row. Failure domains and instances belong to the operators, but each team
may read them because its servers refer to them. A token of team `operators` without a list of
services covers all rows. Weights divide capacity between teams, so only such a token may change
them or add services and tenants.
"""

import hashlib
import hmac
import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import NamedTuple

from ..errors import RelayError
from ..log import event
from ..settings import AdminToken
from ..table import CellChange, Table
from ..table.cells import cell_of
from ..table.columns import KINDS, rows_of

__all__ = ["OPERATORS", "Access", "Tokens"]

#: Team whose tokens cover all rows unless they list services.
OPERATORS = "operators"

MIN_TOKEN_LENGTH = 16

#: Kinds of rows that belong to the operators and that each team may read.
SHARED_KINDS = ("domains", "instances")

#: Kind and column of the cells that determine a team's share of the common capacity.
RESERVED_COLUMNS = {
    ("services", "weight"),
    ("servers", "weight"),
    ("tenants", "weight"),
    ("tenants", "team"),
}

#: Kinds whose rows only a token that covers all rows may add, remove or replace.
RESERVED_KINDS = ("services", "tenants", *SHARED_KINDS)


class Access(NamedTuple):
    """Permissions of one token."""

    team: str
    scopes: frozenset[str]
    services: frozenset[str]

    @property
    def fleet_wide(self) -> bool:
        """Whether the token covers all rows of the table."""
        return self.team == OPERATORS and not self.services

    def require(self, scope: str) -> None:
        """Raise `forbidden` unless the token has the scope."""
        if scope not in self.scopes:
            text = f"the token of team {self.team} lacks the scope {scope}"
            raise RelayError("forbidden", text, step="check token")

    def require_fleet_wide(self, what: str) -> None:
        """Raise `forbidden` unless the token covers all rows; `what` names the action."""
        if not self.fleet_wide:
            text = f"{what} needs a token of team {OPERATORS} that covers all services"
            raise RelayError("forbidden", text, step="check token")

    def can_read(self, kind: str, row) -> bool:
        """Return whether the team may read a row."""
        return self.fleet_wide or kind in SHARED_KINDS or self.owns(kind, row)

    def owns(self, kind: str, row) -> bool:
        """Return whether a row belongs to the team."""
        if self.fleet_wide:
            return True
        if kind == "services":
            return row.name in self.services
        if kind == "servers":
            return row.service in self.services
        return kind == "tenants" and row.team == self.team

    def visible(self, table: Table) -> Table:
        """Return the table without the rows and the history of other teams."""
        if self.fleet_wide:
            return table
        parts = {
            kind: {
                name: row for name, row in rows_of(table, kind).items() if self.can_read(kind, row)
            }
            for kind in KINDS
        }
        history = []
        for entry in table.history:
            changes = tuple(
                change for change in entry.changes if self._can_read_change(table, change)
            )
            if changes:
                note = entry.note if changes == entry.changes else ""
                history.append(entry._replace(changes=changes, note=note))
        return table._replace(**parts, history=tuple(history), author="", change="")

    def check(self, table: Table, changes: Iterable[CellChange]) -> None:
        """Raise `forbidden`, `not_found` or `edit_conflict` unless the changes are permitted."""
        for change in changes:
            self._check_state(table, change)
            if not self.fleet_wide:
                self._check_change(table, change)

    def _check_state(self, table: Table, change: CellChange) -> None:
        """Raise `forbidden` for a change of state without the scope `operate`.

        Removing a row that has a state needs this scope too: it takes the row out of service like
        state `out`, and adding the row again would set state `in`.
        """
        removed = change.column == "" and change.after is None
        if change.column == "state" or (removed and "state" in KINDS[change.kind]._fields):
            self.require("operate")

    def _check_change(self, table: Table, change: CellChange) -> None:
        kind, name, column = change.kind, change.name, change.column
        row = rows_of(table, kind).get(name)
        if row is not None and not self.can_read(kind, row):
            if column == "" and change.before is None:
                text = f"{kind}/{name}: the name is taken; choose another"
                raise RelayError("edit_conflict", text, step="check token")
            raise RelayError("not_found", f"{kind} have no row {name!r}", step="find row")
        if column == "" and kind in RESERVED_KINDS:
            self.require_fleet_wide(f"adding or removing rows of {kind}")
        if kind in SHARED_KINDS or (kind, column) in RESERVED_COLUMNS:
            self.require_fleet_wide(f"a change of {kind}/{name}/{column}")
        after = _row_after(table, change)
        if after is not None and not self.owns(kind, after):
            raise RelayError(
                "forbidden", f"{kind}/{name} would belong to another team", step="check token"
            )
        if column == "" and after is not None and after.weight != 1:
            self.require_fleet_wide("a weight other than 1")

    def _can_read_change(self, table: Table, change: CellChange) -> bool:
        row = rows_of(table, change.kind).get(change.name)
        if row is not None:
            return self.can_read(change.kind, row)
        whole = change.before if change.before is not None else change.after
        if change.column or not isinstance(whole, tuple):
            return change.kind in SHARED_KINDS
        return self.can_read(change.kind, KINDS[change.kind](*whole))


class _TokenFile:
    """Token file of one settings entry, with the hash of its token and the stamp of the file."""

    def __init__(self, entry: AdminToken, number: int) -> None:
        self.entry = entry
        self.number = number
        self.access = Access(entry.team, frozenset(entry.scopes), frozenset(entry.services))
        self.stamp = _stamp(entry.file)
        self.digest = _hash(_read_token(entry.file, number))

    def read_if_changed(self) -> tuple[tuple[int, ...], bytes]:
        """Return the current file stamp and token hash; raises `bad_settings`."""
        stamp = _stamp(self.entry.file)
        if stamp == self.stamp:
            return stamp, self.digest
        return stamp, _hash(_read_token(self.entry.file, self.number))


class Tokens:
    """Permissions by bearer token; only the hashes of the tokens are kept in memory."""

    def __init__(self, entries: Iterable[AdminToken]) -> None:
        """Read the token files; raises `bad_settings`."""
        self.files = [_TokenFile(entry, number) for number, entry in enumerate(entries)]
        self.by_hash: dict[bytes, Access] = self._access_by_hash(
            [file.digest for file in self.files]
        )
        #: Errors of the last `refresh`; an error that persists is logged only once.
        self.errors: tuple[str, ...] = ()

    def refresh(self) -> None:
        """Reload the files that have changed; the old token of an invalid file stays valid."""
        errors = []
        found = []
        for file in self.files:
            try:
                found.append(file.read_if_changed())
            except RelayError as error:
                errors.append(error.message)
                found.append((file.stamp, file.digest))
        try:
            access_by_hash = self._access_by_hash([digest for _, digest in found])
        except RelayError as error:
            errors.append(error.message)
        else:
            self._replace_tokens(found, access_by_hash)
        self._log_errors(tuple(errors))

    def _replace_tokens(
        self, found: list[tuple[tuple[int, ...], bytes]], access_by_hash: dict[bytes, Access]
    ) -> None:
        self.by_hash = access_by_hash
        for file, (stamp, digest) in zip(self.files, found, strict=True):
            if digest != file.digest:
                event("admin.token_replaced", team=file.entry.team, file=file.entry.file)
            file.stamp, file.digest = stamp, digest

    def _log_errors(self, errors: tuple[str, ...]) -> None:
        for error in errors:
            if error not in self.errors:
                event("admin.token_refused", error=error)
        self.errors = errors

    def _access_by_hash(self, digests: list[bytes]) -> dict[bytes, Access]:
        """Return the permissions by token hash.

        Raises `bad_settings` if two files have the same token.
        """
        access_by_hash = {}
        for file, digest in zip(self.files, digests, strict=True):
            if digest in access_by_hash:
                reason = "the same token as in another file"
                raise _token_file_error(file.entry.file, file.number, reason)
            access_by_hash[digest] = file.access
        return access_by_hash

    def find(self, headers: Mapping[str, str]) -> Access:
        """Return the permissions of a request's bearer token; raises `unauthorized`.

        All known tokens are compared, each in constant time, so that the response time reveals
        nothing about them.
        """
        scheme, _, token = headers.get("authorization", "").partition(" ")
        given = _hash(token.strip())
        found = None
        for digest, access in self.by_hash.items():
            if hmac.compare_digest(digest, given):
                found = access
        if found is None or scheme.lower() != "bearer":
            text = "the request has no bearer token, or an unknown one"
            raise RelayError("unauthorized", text, step="check token")
        return found


def _row_after(table: Table, change: CellChange):
    """Return the row after a change, or None if it does not exist then."""
    if not change.column:
        return None if change.after is None else KINDS[change.kind](*change.after)
    if cell_of(table, change.kind, change.name, "") is None:
        return None
    row = rows_of(table, change.kind)[change.name]
    return row._replace(**{change.column: change.after})


def _hash(token: str) -> bytes:
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()


def _stamp(path: str) -> tuple[int, ...]:
    """Return modification time, size and inode of a file, or an empty tuple if it is missing."""
    try:
        status = os.stat(path)
    except OSError:
        return ()
    return status.st_mtime_ns, status.st_size, status.st_ino


def _read_token(path: str, number: int) -> str:
    try:
        token = Path(path).read_text("ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not ASCII"
        raise _token_file_error(path, number, reason) from None
    if len(token) < MIN_TOKEN_LENGTH or not token.isprintable() or " " in token:
        text = f"the file must hold one token of at least {MIN_TOKEN_LENGTH} printable characters"
        raise _token_file_error(path, number, text)
    return token


def _token_file_error(path: str, number: int, reason: str) -> RelayError:
    text = f"key admin_tokens[{number}].file: value {path!r} is not allowed: {reason}"
    return RelayError("bad_settings", text, step="read token")
