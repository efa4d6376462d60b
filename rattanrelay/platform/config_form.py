"""Read a configuration document of the platform for its check, with the rows that have no effect.

A document that an instance loads is one that `documents.catalog` decodes; nothing else is refused
here.
"""

import base64
import re
from collections import Counter

import msgspec

from ..decide.access import key_digest
from ..errors import DECODE_ERRORS, RelayError
from ..relay.config_check import Configuration, Finding, RouteRow, WorkspaceRow
from ..relay.model import ServiceRow, Workspace
from . import documents

__all__ = ["read_configuration", "read_searchers", "unreadable"]

#: Keys that a header can carry unchanged: h11 strips spaces, and instances compare ASCII only.
CARRIED_KEY = re.compile(r"[!-~]([ -~]*[!-~])?")
ROUTE_TYPES = frozenset({"idempotent", "non_idempotent"})


class _Item(msgspec.Struct):
    key: str
    #: Value in Base64.
    value: str | None = None


class _Range(msgspec.Struct):
    """Answer of the store's `/kv-range`."""

    items: list[_Item]


def read_configuration(value: bytes) -> Configuration:
    """Decode a configuration as an instance does; raises `ValueError` if it would not load it."""
    catalog = documents.catalog(value)
    config = documents.decode_json(value, documents._Config)
    return Configuration(
        catalog,
        routes=tuple(_route_row(row) for row in config.routes),
        services=tuple(
            ServiceRow(row.name, row.max_connections, row.warmup_per_s or None)
            for row in config.services
        ),
        workspaces=(
            None if config.tenants is None else tuple(_workspace_row(row) for row in config.tenants)
        ),
    )


def unreadable(error: ValueError) -> Finding:
    """Return the finding for a document that no instance loads."""
    return Finding("error", "not_loaded", "document", f"an instance rejects it: {error}")


def read_searchers(value: bytes) -> Counter[str]:
    """Return the number of searchers by service in an answer of the store's `/kv-range`.

    Entries that instances do not use are left out. Raises `bad_arguments` for other documents.
    """
    try:
        answer = msgspec.json.decode(value, type=_Range)
        values = {item.key: base64.b64decode(item.value or "") for item in answer.items}
    except (*DECODE_ERRORS, ValueError) as error:
        text = f"no answer of the store: {error}"
        raise RelayError("bad_arguments", text, step="read searchers") from None
    records = (documents.searcher_record(key, data) for key, data in values.items() if data)
    return Counter(record.service for record in records if record and not record.draining)


def _route_row(row: documents._Route) -> RouteRow:
    ignored = tuple(part.service for part in row.traffic_split) if row.service else ()
    return RouteRow(documents._route(row), ignored, row.type in ROUTE_TYPES, row.attempts)


def _workspace_row(row: documents._Tenant) -> WorkspaceRow:
    usable = [key for key in row.api_keys if CARRIED_KEY.fullmatch(key)]
    return WorkspaceRow(
        Workspace(row.name, row.priority, row.rate_per_s, row.burst),
        tuple(key_digest(key) for key in usable),
        len(row.api_keys) - len(usable),
    )
