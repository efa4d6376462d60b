"""Read the log events of an instance."""

import json

from .processes import Process

__all__ = ["DRAIN_PHASES", "logged", "phases_of_drain"]

#: Phases of a graceful shutdown in order.
DRAIN_PHASES = (
    "not_ready",
    "finishing",
    "leaving_view",
    "handing_over",
    "flushing_claims",
    "closing",
)


def logged(process: Process, name: str, since: float = 0.0) -> list[dict]:
    """Return the events with a name from a Unix time on, oldest first."""
    found = []
    for line in process.log.read_text().splitlines():
        if f'"{name}"' in line:
            entry = json.loads(line)
            if entry["message_type"] == name and entry["timestamp"] >= since:
                found.append(entry)
    return found


def phases_of_drain(process: Process, since: float = 0.0) -> dict[str, str]:
    """Return the phases of a graceful shutdown in order, each with the event that ended it."""
    return {one["phase"]: one["ended"] for one in logged(process, "drain.phase_ended", since)}
