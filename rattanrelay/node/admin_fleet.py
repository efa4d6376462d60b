"""Routes of the administration API for membership, status, metrics and the OpenAPI file."""

import inspect
from pathlib import Path

from ..http import Response, json_response
from ..table import Table
from ..table.capacity import has_work
from .admin_routes import Call, route

__all__ = ["OPENAPI_FILE", "openapi_text"]

OPENAPI_FILE = Path(__file__).with_name("openapi.json")

TABLE_DOCUMENT = "table"


def openapi_text() -> bytes:
    """Return the OpenAPI description of the administration API as JSON."""
    return OPENAPI_FILE.read_bytes()


@route("GET", "/v1/openapi.json", "")
async def get_openapi(admin, call: Call) -> Response:
    """Return the OpenAPI description; the request needs no token."""
    return Response(200, {"content-type": "application/json"}, admin.openapi)


@route("GET", "/metrics", "metrics")
async def get_metrics(admin, call: Call) -> Response:
    """Return the metrics of this instance.

    The token must cover all rows because the labels name the tenants of all teams.
    """
    call.access.require_fleet_wide("reading the metrics")
    text, headers = admin.metrics.text(call.request.headers.get("accept", "text/plain"))
    return Response(200, headers, text)


@route("GET", "/v1/members", "read")
async def get_members(admin, call: Call) -> Response:
    """Return the members of the view and the owners of the backend servers."""
    owners = {}
    for name in sorted(admin.visible(call).servers):
        owner = admin.members.owner(name)
        owners[name] = owner.instance if owner else None
    members = [member._asdict() for member in admin.members.members]
    value = {"epoch": admin.members.epoch, "members": members, "owners": owners}
    return json_response(200, value)


@route("POST", "/v1/instances/{name}/confirm-stopped", "operate")
async def post_confirm_stopped(admin, call: Call) -> Response:
    """Record an operator's confirmation that all processes of an instance have stopped."""
    call.access.require_fleet_wide("confirm-stopped")
    name = call.params["name"]
    await admin.members.confirm_stopped(name)
    admin.log("admin.confirm_stopped", call, instance=name)
    return json_response(200, {"instance": name, "epoch": admin.members.epoch})


@route("GET", "/v1/status", "read")
async def get_status(admin, call: Call) -> Response:
    """Return the live status, with the document revisions of members and the server states."""
    status = admin.status()
    if inspect.isawaitable(status):
        status = await status
    table = admin.visible(call)
    revisions = status.get("revisions", {})
    members = [
        {**member._asdict(), "revisions": revisions.get(member.instance, {})}
        for member in admin.members.members
    ]
    searchers = status.get("searchers", [])
    value = {
        "instance": admin.members.instance,
        "ready": status.get("ready", False),
        "reason": status.get("reason", ""),
        "epoch": admin.members.epoch,
        "lease_left_s": status.get("lease_left_s", 0.0),
        "table_revision": table.revision,
        "in_force_everywhere": _lowest_revision(members),
        "members": members,
        "departed": list(status.get("departed", [])),
        "degraded": list(status.get("degraded", [])),
        "servers": {name: _server(admin, table, name) for name in sorted(table.servers)},
        "searchers": [item for item in searchers if item["server"] in table.servers],
        "blocked": list(status.get("blocked", [])),
        "store_calls": dict(status.get("store_calls", {})),
        "drain": dict(status.get("drain", {})),
    }
    return json_response(200, value)


def _server(admin, table: Table, name: str) -> dict:
    owner = admin.members.owner(name)
    return {
        "owner": owner.instance if owner else None,
        "in_service": has_work(table, name),
        "dispatching": admin.members.may_dispatch(name),
    }


def _lowest_revision(members: list[dict]) -> int:
    """Return the highest table revision that all members are known to have reached."""
    reached = [member["revisions"].get(TABLE_DOCUMENT, 0) for member in members]
    return min(reached, default=0)
