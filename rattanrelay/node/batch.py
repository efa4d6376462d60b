"""Sub-requests of one message: the targets of a sub-query, or one action."""

from collections.abc import Awaitable, Callable

import msgspec
import trio

from ..errors import CODES, DECODE_ERRORS, RelayError
from ..wire import ActionResult, RunAction, ShardResult, ShardResults, SubQuery, Target
from .leased_trial import LeasedTrial
from .pool import Pool
from .server import Searcher
from .subrequest import Outcome, SubRequest
from .trials import Trial

__all__ = ["ActionRun", "Batch", "Emit", "OpenJobs", "action_result", "check_json"]

#: Sends shard results to the instance that asked for them.
Emit = Callable[[ShardResults], Awaitable[None]]

#: Unfinished sub-requests by query id, shard and searcher.
OpenJobs = dict[tuple[str, str, str], tuple["Batch", SubRequest]]


class Batch:
    """The targets of one sub-query and the results that are ready to be emitted.

    `deadline` is trio time; `absence_reason` returns the reason why a searcher is not in
    `searchers`. Unfinished sub-requests are listed in `open_jobs`, where a `Cancel` finds them.
    """

    def __init__(
        self,
        query: SubQuery,
        deadline: float,
        searchers: dict[str, Searcher],
        absence_reason: Callable[[str], str],
        open_jobs: OpenJobs,
    ) -> None:
        check_json(query.body)
        self.query = query
        self.deadline = deadline
        self.searchers = searchers
        self.absence_reason = absence_reason
        self.open_jobs = open_jobs
        self.labels = {"service": query.svc, "kind": query.kind}
        self.jobs: dict[SubRequest, Target] = {}
        self.pools: dict[SubRequest, Pool] = {}
        self.trial: Trial | None = None
        self.ready: list[ShardResult] = []
        self.wake = trio.Event()

    def start(self) -> None:
        """Submit all targets."""
        for target in self.query.targets:
            searcher = self.searchers.get(target.searcher)
            if searcher is None:
                reason = self.absence_reason(target.searcher)
                self._add(target, Outcome(reason, "not_run"))
            else:
                self._submit(target, searcher)
        if self.trial is not None and not self.jobs:
            self.trial.abandon()

    async def emit_all(self, emit: Emit) -> None:
        """Emit results until each target has one; at the deadline the remaining targets fail."""
        while self.jobs or self.ready:
            if not self.ready:
                with trio.move_on_at(self.deadline):
                    await self.wake.wait()
                if trio.current_time() >= self.deadline:
                    self._expire()
            self.wake = trio.Event()
            results, self.ready = tuple(self.ready), []
            if results:
                await emit(ShardResults(results))

    def cancel(self, job: SubRequest) -> None:
        """Cancel one sub-request; it has no result."""
        self._remove(job)
        pool = self.pools[job]
        if pool.remove_queued(job):
            pool.refuse(job, "cancelled")
        else:
            job.abandon(Outcome("cancelled", "unknown"))
            pool.cancel(job)
        self.wake.set()

    def cancel_all(self) -> None:
        """Cancel all unfinished sub-requests."""
        for job in list(self.jobs):
            self.cancel(job)

    def refuse(self, reason: str) -> None:
        """Add a failed result for each target; nothing is sent."""
        for target in self.query.targets:
            self._add(target, Outcome(reason, "not_run"))

    def _submit(self, target: Target, searcher: Searcher) -> None:
        query = self.query
        job = SubRequest(
            "search",
            target.shard,
            query.snapshot,
            query.body,
            query.tenant,
            self.deadline,
            query.deadline_ms,
            self.labels,
            self._finished,
        )
        self.jobs[job] = target
        self.pools[job] = searcher.pool
        if self.trial is not None:
            job.on_settled = self.trial.settle
        self.open_jobs[query.query_id, target.shard, target.searcher] = (self, job)
        searcher.pool.submit(job)

    def _finished(self, job: SubRequest, outcome: Outcome) -> None:
        target = self._remove(job)
        if target is not None:
            self._add(target, outcome)

    def _remove(self, job: SubRequest) -> Target | None:
        target = self.jobs.pop(job, None)
        if target is not None:
            key = (self.query.query_id, target.shard, target.searcher)
            if self.open_jobs.get(key, (None, None))[1] is job:
                del self.open_jobs[key]
        return target

    def _add(self, target: Target, outcome: Outcome) -> None:
        self.ready.append(_shard_result(self.query, target, outcome))
        self.wake.set()

    def _expire(self) -> None:
        """Fail the unfinished sub-requests at the deadline; the server ends its work by itself."""
        for job in list(self.jobs):
            pool = self.pools[job]
            if pool.remove_queued(job):
                pool.refuse(job, "deadline")
            else:
                job.abandon(pool.with_measurements(job, Outcome("deadline", "unknown")))


class ActionRun:
    """One run of a non-idempotent request."""

    def __init__(
        self, order: RunAction, searcher: Searcher, deadline: float, trial: LeasedTrial | None
    ) -> None:
        self.searcher = searcher
        self.deadline = deadline
        self.ended = trio.Event()
        self.outcome: Outcome | None = None
        self.job = SubRequest(
            "action",
            order.shard,
            "",
            order.body,
            order.tenant,
            deadline,
            order.deadline_ms,
            {"service": order.svc, "kind": "action"},
            self._finished,
        )
        if trial is not None:
            self.job.on_settled = trial.settle

    async def run(self) -> ActionResult:
        """Submit the request and return its outcome.

        A request that was sent is awaited past the deadline, until its work has certainly ended.
        """
        pool = self.searcher.pool
        pool.submit(self.job)
        try:
            with trio.move_on_at(self.deadline):
                await self.ended.wait()
        finally:
            if pool.remove_queued(self.job):
                pool.refuse(self.job, "deadline")
        await self.ended.wait()
        return action_result(self.outcome)

    def _finished(self, job: SubRequest, outcome: Outcome) -> None:
        self.outcome = outcome
        self.ended.set()


def check_json(body: bytes) -> None:
    """Raise `bad_body` unless the body is one JSON value, since it is embedded in another one."""
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except DECODE_ERRORS as error:
        raise RelayError("bad_body", str(error), step="check body") from error


def _shard_result(query: SubQuery, target: Target, outcome: Outcome) -> ShardResult:
    return ShardResult(
        query.query_id,
        target.shard,
        target.searcher,
        "failed" if outcome.reason else "ok",
        outcome.reason,
        "" if outcome.reason else query.snapshot,
        outcome.payload,
        outcome.held,
        int(outcome.service * 1e6),
        int(outcome.queued * 1e6),
        outcome.in_flight,
        outcome.limit,
    )


def action_result(outcome: Outcome) -> ActionResult:
    """Return the result of an action; `not_run` only if it is certain that nothing ran."""
    if not outcome.reason:
        return ActionResult("done", payload=outcome.payload)
    if outcome.ran == "not_run":
        code = outcome.reason if outcome.reason in CODES else "internal"
        return ActionResult("not_run", code, outcome.reason)
    return ActionResult("unknown", "outcome_unknown", outcome.reason)
