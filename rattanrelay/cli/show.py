"""Human-readable output of rows, edits, capacity and history."""

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
    "print_findings",
    "print_history",
    "print_json",
    "print_rows",
    "wait_in_force",
]

WAIT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.2


def print_json(value) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def cell_text(value) -> str:
    """Return a cell as text, as in a CSV file; None is shown as `-`."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "-" if value is None else str(value)


def print_rows(header: list[str], rows: list[list[Any]]) -> None:
    """Print a header and rows as aligned columns."""
    lines = [header, *([cell_text(cell) for cell in row] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_edit(client: AdminClient, value: dict[str, Any], *, wait: bool = False) -> None:
    """Print an accepted edit and the remaining capacity; optionally wait until it is in force."""
    print(f"revision {value['revision']}: {value['change']}")
    if "capacity" in value:
        print_capacity(value["capacity"])
    if wait:
        wait_in_force(client, value["revision"])


def print_capacity(capacity: dict[str, Any]) -> None:
    """Print slots and instances before and after an edit, and warnings to standard error."""
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


def print_findings(file: str, version: int | None, findings: list, differences: list) -> None:
    """Print each finding of a check and each difference on one line, and their numbers."""
    for one in findings:
        print(_printable(f"{one.severity} {one.code} {one.entry}: {one.message}"))
    for one in differences:
        if one.field:
            before, after = cell_text(one.before), cell_text(one.after)
            print(_printable(f"changed {one.entry} {one.field}: {before} to {after}"))
        else:
            print(_printable(f"{'removed' if one.after is None else 'added'} {one.entry}"))
    errors = sum(one.severity == "error" for one in findings)
    counts = f"{errors} errors, {len(findings) - errors} warnings, {len(differences)} differences"
    print(_printable(f"{file}: version {cell_text(version)}: {counts}"))


def _printable(text: str) -> str:
    """Return a text with line breaks and other control characters escaped."""
    return "".join(char if char.isprintable() else repr(char)[1:-1] for char in text)


def print_history(entries: list[dict[str, Any]]) -> None:
    """Print each revision and its changes, newest first."""
    for entry in entries:
        timestamp = datetime.fromtimestamp(entry["time"], UTC).strftime("%Y-%m-%d %H:%M:%S")
        note = f" ({entry['note']})" if entry["note"] else ""
        print(f"revision {entry['revision']}  {timestamp} UTC  {entry['author']}{note}")
        for change in entry["changes"]:
            print(f"  {_change_text(change)}")


def _change_text(change: dict[str, Any]) -> str:
    path = f"{change['kind']}/{change['name']}"
    if change["column"]:
        before, after = cell_text(change["before"]), cell_text(change["after"])
        return f"{path}/{change['column']}: {before} to {after}"
    return f"{path} {'removed' if change['after'] is None else 'added'}"


def wait_in_force(client: AdminClient, revision: int) -> None:
    """Wait until every member is known to have a table revision; raises `deadline`."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        status = client.call("GET", "/v1/status").json()
        if status["in_force_everywhere"] >= revision:
            count = len(status["members"])
            print(f"revision {revision} is in force on all {count} members of the view")
            return
        if time.monotonic() > deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    behind = [
        member["instance"]
        for member in status["members"]
        if member["revisions"].get("table", 0) < revision
    ]
    text = f"revision {revision} is not known to be in force on {', '.join(behind) or 'any member'}"
    raise RelayError("deadline", text, step="wait", peer=str(client.addresses[0]), ran="done")
