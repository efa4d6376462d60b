"""Text for people: rows, edits, capacity and history."""

import sys
import time
from datetime import UTC, datetime
from typing import Any

import msgspec

from ..errors import RelayError
from .client import AdminClient

__all__ = [
    "cell_text",
    "print_capacity",
    "print_edit",
    "print_history",
    "print_json",
    "print_rows",
    "wait_in_force",
]

WAIT_LIMIT_S = 10.0
WAIT_PAUSE_S = 0.2


def print_json(value) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def cell_text(value) -> str:
    """Return a cell as it is written in a CSV file."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "-" if value is None else str(value)


def print_rows(header: list[str], rows: list[list[Any]]) -> None:
    """Print lines with aligned columns."""
    lines = [header, *([cell_text(cell) for cell in row] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_edit(client: AdminClient, value: dict[str, Any], *, wait: bool = False) -> None:
    """Print an accepted edit, what remains after it, and on request when it is in force."""
    print(f"revision {value['revision']}: {value['change']}")
    if "capacity" in value:
        print_capacity(value["capacity"])
    if wait:
        wait_in_force(client, value["revision"])


def print_capacity(capacity: dict[str, Any]) -> None:
    """Print slots and instances before and after, then the warnings on standard error."""
    rows = [
        [line["service"], line["domain"], line["before"], line["after"], line["load_factor"]]
        for line in capacity["services"]
    ]
    print_rows(["service", "domain", "slots before", "slots after", "load factor"], rows)
    for line in capacity["instances"]:
        if line["before"] != line["after"]:
            print(f"instances in {line['domain']}: {line['before']} before, {line['after']} after")
    for warning in capacity["warnings"]:
        print(f"warning: {warning}", file=sys.stderr)


def print_history(entries: list[dict[str, Any]]) -> None:
    """Print one line for each changed cell, newest revision first."""
    for entry in entries:
        moment = datetime.fromtimestamp(entry["time"], UTC).strftime("%Y-%m-%d %H:%M:%S")
        note = f" ({entry['note']})" if entry["note"] else ""
        print(f"revision {entry['revision']}  {moment} UTC  {entry['author']}{note}")
        for change in entry["changes"]:
            print(f"  {_change_text(change)}")


def _change_text(change: dict[str, Any]) -> str:
    place = f"{change['kind']}/{change['name']}"
    if change["column"]:
        before, after = cell_text(change["before"]), cell_text(change["after"])
        return f"{place}/{change['column']}: {before} to {after}"
    return f"{place} {'removed' if change['after'] is None else 'added'}"


def wait_in_force(client: AdminClient, revision: int) -> None:
    """Return once each member is known to have a table revision; raises `deadline`."""
    limit = time.monotonic() + WAIT_LIMIT_S
    while True:
        status = client.call("GET", "/v1/status").json()
        if status["in_force_everywhere"] >= revision:
            count = len(status["members"])
            print(f"revision {revision} is in force on all {count} members of the view")
            return
        if time.monotonic() > limit:
            break
        time.sleep(WAIT_PAUSE_S)
    behind = [
        member["instance"]
        for member in status["members"]
        if member["revisions"].get("table", 0) < revision
    ]
    text = f"revision {revision} is not known to be in force on {', '.join(behind) or 'any member'}"
    raise RelayError("deadline", text, step="wait", peer=str(client.places[0]), ran="done")
