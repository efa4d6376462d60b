"""Journal of a searcher: its requests, its peaks of concurrency and violations of its limits."""

from collections import Counter
from collections.abc import Iterable
from itertools import accumulate
from typing import NamedTuple

import msgspec

__all__ = ["MAX_RUNS", "Journal", "Run", "Violation", "find_duplicate_runs", "peak_concurrent"]

#: Requests kept for each searcher; further ones are only counted in `dropped`.
MAX_RUNS = 200_000


class Run(msgspec.Struct):
    """A search or action; times in Unix seconds, None until they are known.

    `outcome` is `running`, `done`, `cancelled`, `crashed` or the code of the refusal. `ran` is True
    if the work may have had an effect. It is False for refusals and for work that was cancelled or
    dropped at its deadline, since an action takes effect only at its end.
    """

    number: int
    request_id: str
    kind: str
    shard: str
    snapshot: str
    #: Digest of a query, or canonical JSON of an action.
    body: str
    boot_id: str
    peer: str
    deadline: float | None
    arrived: float
    start: float | None = None
    end: float | None = None
    outcome: str = "running"
    ran: bool = False
    #: Whether the client closed its connection before the answer.
    client_gone: bool = False
    #: Number of the connection among those that this searcher accepted.
    connection: int = 0


class Violation(NamedTuple):
    """A limit that was exceeded: `slots`, `cold`, `cold_unannounced` or `connections`."""

    time: float
    kind: str
    request_id: str
    #: Number in use including this request or connection, and the limit that it exceeds.
    reached: int
    limit: int


class Journal:
    """Records of one searcher across all of its boots."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.dropped = 0
        self.requests = 0
        self.violations: list[Violation] = []
        self.outcomes: Counter[str] = Counter()
        self.working = 0
        self.peak_work = 0
        self.connections = 0
        self.peak_connections = 0
        self.connections_opened = 0
        #: Unix seconds at which connections were accepted.
        self.opened_at: list[float] = []
        #: Unix seconds of the last arrival of a search or action, and of the last start.
        self.last_arrival: float | None = None
        self.last_start: float | None = None

    def record_arrival(self, run: Run) -> None:
        """Record the arrival of a search or action."""
        self.requests += 1
        self.last_arrival = run.arrived
        if len(self.runs) < MAX_RUNS:
            self.runs.append(run)
        else:
            self.dropped += 1

    def start(self, run: Run, now: float) -> None:
        """Record that a run starts and occupies a slot."""
        run.start = now
        self.last_start = now
        self.working += 1
        self.peak_work = max(self.peak_work, self.working)

    def finish(self, run: Run, now: float, outcome: str, *, ran: bool) -> None:
        """Record the outcome of a run and free its slot if it had started."""
        run.end = now
        run.outcome = outcome
        run.ran = ran
        self.outcomes[outcome] += 1
        if run.start is not None:
            self.working -= 1

    def record_connection(self, now: float) -> None:
        """Record an accepted connection."""
        self.opened_at.append(now)
        self.connections += 1
        self.connections_opened += 1
        self.peak_connections = max(self.peak_connections, self.connections)

    def record_disconnection(self) -> None:
        """Record the end of a connection."""
        self.connections -= 1

    def record_violation(self, violation: Violation) -> None:
        """Record an exceeded limit."""
        self.violations.append(violation)

    def clear(self) -> None:
        """Discard what has ended; runs in flight and open connections stay counted."""
        self.runs = [run for run in self.runs if run.end is None]
        self.dropped = 0
        self.requests = 0
        self.violations = []
        self.outcomes = Counter()
        self.peak_work = self.working
        self.peak_connections = self.connections
        self.connections_opened = 0
        self.opened_at = []
        self.last_arrival = None
        self.last_start = None

    def summary(self) -> dict:
        """Return counts and peaks as JSON values."""
        return {
            "requests": self.requests,
            "dropped": self.dropped,
            "outcomes": dict(self.outcomes),
            "violations": len(self.violations),
            "working": self.working,
            "peak_work": self.peak_work,
            "connections": self.connections,
            "peak_connections": self.peak_connections,
            "connections_opened": self.connections_opened,
            "last_arrival": self.last_arrival,
            "last_start": self.last_start,
        }

    def report(self, since: float = 0.0) -> dict:
        """Return the journal as JSON values, with the runs that arrived at `since` or later."""
        return {
            **self.summary(),
            "runs": [msgspec.to_builtins(run) for run in self.runs if run.arrived >= since],
            "violations": [violation._asdict() for violation in self.violations],
            "opened_at": [time for time in self.opened_at if time >= since],
        }


def find_duplicate_runs(runs: Iterable[Run]) -> dict[str, list[Run]]:
    """Return the actions that may have had an effect more than once, by request id and body.

    Pass the runs of all searchers together, since a repeated action may reach another searcher.
    """
    groups: dict[str, list[Run]] = {}
    for run in runs:
        if run.kind == "action" and run.start is not None and (run.ran or run.end is None):
            groups.setdefault(f"request {run.request_id}", []).append(run)
            groups.setdefault(f"body {run.body}", []).append(run)
    return {name: group for name, group in groups.items() if len(group) > 1}


def peak_concurrent(runs: Iterable[Run]) -> int:
    """Return the highest number of runs that held a slot at the same time.

    The runs may come from several searchers, such as those of a failure domain. A run that ends at
    the moment another one starts does not overlap with it.
    """
    changes = []
    for run in runs:
        if run.start is not None:
            changes.append((run.start, 1))
        if run.start is not None and run.end is not None:
            changes.append((run.end, -1))
    return max(accumulate((step for _, step in sorted(changes)), initial=0))
