"""Starting a fleet and reading what its instances report about the cell and the table."""

import json

from rattanrelay.table import Table, decode_table

from .client import http_call
from .fleet import Entry, Fleet
from .processes import wait_until

__all__ = [
    "dispatching",
    "open_fleet",
    "running",
    "status",
    "stored_table",
    "table_revision",
    "wait_owned",
]


def open_fleet(context, fleet: Fleet, names: tuple[str, ...] = ()) -> None:
    """Start a fleet, with all entries if `names` is empty; wait until each server has an owner."""
    context.fleet = fleet
    fleet.__enter__()
    context.add_cleanup(fleet.close)
    fleet.start_entries(names)
    for entry in running(fleet):
        fleet.list_instance(entry.name)
    wait_owned(fleet)


def running(fleet: Fleet) -> list[Entry]:
    """Return the entries whose process is running."""
    return [one for one in fleet.entries.values() if one.process and one.process.running]


def status(entry: Entry) -> dict:
    """Return the status that an instance reports."""
    return json.loads(entry.admin_client.call("GET", "/v1/status").body)


def dispatching(entry: Entry) -> set[str]:
    """Return the backend servers to which an instance may dispatch."""
    servers = status(entry)["servers"]
    return {name for name, server in servers.items() if server["dispatching"]}


def wait_owned(fleet: Fleet, members: int = 0) -> None:
    """Wait until each server has an owner that may dispatch.

    The view of each running entry must have `members` members, by default all running entries.
    """
    entries = running(fleet)
    count = members or len(entries)
    servers = set(fleet.deployment.table.servers)

    def owned() -> bool:
        if any(len(status(entry)["members"]) != count for entry in entries):
            return False
        return set().union(*(dispatching(entry) for entry in entries)) == servers

    wait_until(owned, "each backend server has an owner that may dispatch")


def table_revision(entry: Entry) -> int:
    """Return the revision of the table that is in force at an instance."""
    return entry.admin_client.call("GET", "/v1/table/services").json()["revision"]


def stored_table(fleet: Fleet) -> Table:
    """Return the table in the store."""
    return decode_table(http_call(fleet.hosts["store"], "GET", "/v1/kv/table").body)
