"""Open-loop load on a fleet, with each answer kept to compare with the searchers' records."""

import time
from collections import Counter
from typing import NamedTuple

import msgspec
import trio

from rattanrelay.emulator.corpus import query_digest
from rattanrelay.emulator.journal import Run
from rattanrelay.load import LoadPlan, Phase, run_load
from rattanrelay.load.runner import Clients

from .fleet import Fleet
from .processes import wait_until
from .traffic import check_query_answer

__all__ = ["Asked", "LoadRecord", "load", "open_for_load"]


def open_for_load(context, service: str, **options) -> Fleet:
    """Start a fleet of nl-midden with one service and wait for its first answer."""
    context.fleet = fleet = Fleet("nl-midden", services=(service,), **options)
    fleet.__enter__()
    context.add_cleanup(fleet.close)
    fleet.start_entries()
    wait_until(
        lambda: fleet.balancer.query(service, timeout_ms=2000).status == 200, "a first answer"
    )
    return fleet


class Asked(NamedTuple):
    """A query and its answer; `at` is Unix seconds, `digest` identifies the query in journals."""

    at: float
    tenant: str
    query: dict
    digest: str
    status: int
    answer: dict

    @property
    def complete(self) -> bool:
        """Whether all shards were answered."""
        return self.status == 200 and not self.answer["coverage"]["missing"]


class LoadRecord(NamedTuple):
    """The queries of a load run, and the searchers' runs for them."""

    fleet: Fleet
    service: str
    started: float
    asked: list[Asked]
    runs: list[Run]

    def untrue(self) -> list[str]:
        """Return the errors in answers and refusals."""
        ran = {run.body for run in self.runs if run.start is not None}
        wrong = []
        for one in self.asked:
            if one.status == 200:
                wrong.append(check_query_answer(self.fleet, self.service, one.query, one.answer))
            elif one.answer.get("outcome") == "not_run" and one.digest in ran:
                wrong.append(f"not_run but a searcher ran a part of it: {one.answer}")
            elif "outcome" not in one.answer:
                wrong.append(f"refusal without an outcome: {one.status} {one.answer}")
        return [text for text in wrong if text]

    def arrivals(self) -> Counter[tuple[str, str]]:
        """Return the number of sub-requests that reached searchers, by query digest and shard."""
        return Counter((run.body, run.shard) for run in self.runs)

    def extra(self) -> int:
        """Return the number of sub-requests beyond one for each query and shard."""
        return sum(count - 1 for count in self.arrivals().values())

    def between(self, start: float, end: float) -> list[Asked]:
        """Return the queries sent in a span, in seconds since the start of the load."""
        return [one for one in self.asked if start <= one.at - self.started < end]


class _Recorder(Clients):
    """Clients that record each query with its answer."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: list[Asked] = []

    async def send(self, target, request):
        at = time.time()
        response = await super().send(target, request)
        query = msgspec.json.decode(request.body)
        tenant = request.headers["x-tenant"]
        digest = query_digest(query)
        self.asked.append(Asked(at, tenant, query, digest, response.status, response.json()))
        return response


def load(
    fleet: Fleet,
    service: str,
    phases: list[tuple[float, float]],
    *,
    shares: dict[str, float],
    seed: int = 1,
    timeout_ms: int = 2000,
) -> LoadRecord:
    """Send different queries through all instances; `phases` are (seconds, queries per second)."""
    total = sum(seconds * rate for seconds, rate in phases)
    plan = LoadPlan(
        targets=tuple(entry.callers for entry in fleet.entries.values()),
        service=service,
        phases=tuple(Phase(*phase) for phase in phases),
        shares=shares,
        seed=seed,
        timeout_ms=timeout_ms,
        limit=5,
        distinct=10 * round(total),
    )
    clients = _Recorder()
    started = time.time()

    async def run() -> None:
        await run_load(plan, clients=clients)

    trio.run(run)
    runs = [run for run in fleet.runs(started, services=[service]) if run.kind == "search"]
    return LoadRecord(fleet, service, started, clients.asked, runs)
