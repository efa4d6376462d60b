"""`rattanrelay status`: prints members, revisions, degraded conditions and backend servers."""

import sys
from typing import Any

from ...errors import RelayError
from ..client import AdminClient
from ..main import EXIT_OK, EXIT_REFUSED
from ..options import admin_command
from ..show import print_json, print_rows, wait_in_force

__all__ = ["status"]

#: State of an instance without a planned stop.
SERVING = "serving"


@admin_command("status")
def status(client: AdminClient, *, until: int = 0, json: bool = False) -> int:
    """Print the status of each given instance; the exit code is 1 if one of them does not respond.

    :param until: wait until each member is known to have this table revision
    :param json: print JSON
    """
    if until:
        wait_in_force(client, until)
    results = client.get_each("/v1/status")
    answers = [result.json() for result in results if not isinstance(result, RelayError)]
    errors = [result for result in results if isinstance(result, RelayError)]
    if json:
        print_json(answers)
    else:
        for answer in answers:
            _print_instance(answer)
        _print_searchers(answers)
    for error in errors:
        print(error, file=sys.stderr)
    return EXIT_REFUSED if errors else EXIT_OK


def _print_instance(answer: dict[str, Any]) -> None:
    ready = "ready" if answer["ready"] else f"not ready ({answer['reason']})"
    print(
        f"instance {answer['instance']}: {ready}, epoch {answer['epoch']}, "
        f"lease {answer['lease_left_s']:.1f} s, table revision {answer['table_revision']}, "
        f"in force everywhere {answer['in_force_everywhere']}"
    )
    _print_drain(answer["drain"])
    for condition in answer["degraded"]:
        print(f"  degraded: {condition}")
    for instance in answer["departed"]:
        print(f"  departed and not known to have stopped: {instance}")
    for item in answer["blocked"]:
        print(f"  blocked request {item['fingerprint']} for {item['seconds_left']} s")
    rows = [
        [
            member["instance"],
            member["failure_domain"],
            member["address"],
            member.get("weight", ""),
            member["revisions"].get("table"),
        ]
        for member in answer["members"]
    ]
    print_rows(["member", "domain", "address", "weight", "table revision"], rows)


def _print_drain(drain: dict[str, Any]) -> None:
    """Print the state and finished phases of a planned stop, if there is one."""
    if drain["state"] == SERVING:
        return
    print(f"  stopping: {drain['state']} for {drain['seconds']:.1f} s")
    for phase in drain["phases"]:
        print(f"    {phase['phase']}: {phase['ended']} after {phase['seconds']:.1f} s")


def _print_searchers(answers: list[dict[str, Any]]) -> None:
    """Print the searchers that these instances own, and the servers that none of them owns."""
    owned = [item for answer in answers for item in answer["searchers"] if item["owned"]]
    rows = [
        [
            item["searcher"],
            item["state"],
            item["slots_in_use"],
            item["allowance"],
            item["limit"],
            item["queued"],
            item["connections"],
        ]
        for item in sorted(owned, key=lambda item: item["searcher"])
    ]
    if rows:
        print_rows(
            ["searcher", "state", "in use", "allowed now", "limit", "queued", "connections"], rows
        )
    servers = {name: entry for answer in answers for name, entry in answer["servers"].items()}
    owned_servers = {item["server"] for item in owned}
    for name, entry in sorted(servers.items()):
        if name not in owned_servers:
            where = f"owned by {entry['owner']}" if entry["owner"] else "without an owner"
            print(f"server {name}: {'in' if entry['in_service'] else 'out'}, {where}")
