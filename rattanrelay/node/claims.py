"""Coordinator of non-idempotent requests: claims a key, dispatches once, stores the outcome."""

import time
import uuid
from collections.abc import Callable

import trio

from ..decide.claims import (
    BUCKETS,
    Claim,
    Finish,
    Record,
    Release,
    Verdict,
    bucket_name,
    bucket_of,
    expired_slices,
    fingerprint,
    key_time,
    slice_key,
)
from ..decide.routing import action_targets
from ..errors import RelayError
from ..log import event
from ..store import StoreClient
from ..table import server_of
from ..wire import Action, ActionResult, Handlers, RunAction
from .claim_log import ClaimLog
from .ports import Configuration, DispatchPort, Latest, Member, MembersPort, PeersPort

__all__ = ["Claims"]

#: Share of the remaining time that another coordinator gets, so that its refusal arrives in time.
FORWARD_SHARE = 0.7
#: Share of the remaining time after which this instance coordinates the request itself.
TAKEOVER_SHARE = 0.8
CLEANUP_INTERVAL_S = 600.0
#: Longest wait for another owner after the last replica was refused with `no_owner`, in seconds and
#: as a share of the remaining time. All members adopt a new view with the next heartbeats.
OWNER_CHANGE_S = 0.5
OWNER_CHANGE_SHARE = 0.5
OWNER_POLL_S = 0.02
#: The wait for a claim ends this long before the deadline, so that a refusal reaches the caller.
ANSWER_RESERVE_S = 0.02
#: Share of the remaining time that searchers get. A searcher refuses at the deadline that it was
#: given, and the outcome is `not_run` only if the refusal arrives before the caller's deadline.
RUN_SHARE = 0.9


class _Run:
    """A request in progress; repeated requests with its key wait for the same result."""

    def __init__(self, request_fingerprint: str) -> None:
        self.fingerprint = request_fingerprint
        self.result: ActionResult | None = None
        self.done = trio.Event()


class Claims:
    """Runs each non-idempotent request at most once across all instances."""

    def __init__(
        self,
        configuration: Latest[Configuration],
        members: MembersPort,
        peers: PeersPort,
        store: StoreClient,
        dispatch: DispatchPort,
        *,
        instance: str,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.configuration = configuration
        self.members = members
        self.peers = peers
        self.store = store
        self.dispatch = dispatch
        self.instance = instance
        self.wall = wall
        self.logs = [ClaimLog(store, bucket_name(bucket)) for bucket in range(BUCKETS)]
        self.runs: dict[str, _Run] = {}
        self._nursery: trio.Nursery | None = None

    def register(self, handlers: Handlers) -> None:
        """Register the handler for requests that other instances forward."""

        @handlers.on(Action)
        async def run_here(action: Action) -> ActionResult:
            return await self.coordinate(action)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Write claims, run requests and delete expired slices until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for log in self.logs:
                nursery.start_soon(log.serve)
            nursery.start_soon(self._delete_expired)
            task_status.started()

    async def drain(self) -> None:
        """Return when no request is in progress and all outcomes are in the store."""
        while self.runs:
            await next(iter(self.runs.values())).done.wait()
        for log in self.logs:
            await log.flushed()

    @property
    def pending_writes(self) -> int:
        """Number of claims, outcomes and releases that are not stored yet."""
        return sum(log.waiting for log in self.logs)

    async def submit(self, action: Action) -> ActionResult:
        """Run an action at the coordinator of its key, or here if that does not answer."""
        key_time(action.key, self.wall())
        owner = self.members.owner(bucket_name(bucket_of(action.key)))
        if owner is None or owner.instance == self.instance:
            return await self.coordinate(action)
        remaining = self._remaining(action)
        deadline_ms = int((self.wall() + remaining * FORWARD_SHARE) * 1000)
        forwarded = action._replace(deadline_ms=deadline_ms)
        try:
            return await self.peers.call(owner.instance, forwarded, remaining * TAKEOVER_SHARE)
        except RelayError as error:
            # The claim in the store decides which coordinator runs the action, so a second
            # coordinator is harmless.
            event("claims.forward_failed", key=action.key, peer=owner.instance, code=error.code)
            result = await self.coordinate(action)
            return result if error.ran == "not_run" else _as_unknown(result)

    def _remaining(self, action: Action) -> float:
        return action.deadline_ms / 1000 - self.wall()

    async def coordinate(self, action: Action) -> ActionResult:
        """Run an action here, or wait for its result if it is already in progress here."""
        request_fingerprint = fingerprint(action.tenant, action.svc, action.route, action.body)
        run = self.runs.get(action.key)
        if run is None:
            run = self.runs[action.key] = _Run(request_fingerprint)
            self._nursery.start_soon(self._run, action, run)
        elif run.fingerprint != request_fingerprint:
            return _refused("key_reused", "the key was used with another body")
        with trio.move_on_after(max(0.0, self._remaining(action))):
            await run.done.wait()
        if run.result is None:
            return ActionResult("unknown", "outcome_unknown", "the request is still in progress")
        return run.result

    async def _run(self, action: Action, run: _Run) -> None:
        try:
            run.result = await self._claim_and_dispatch(action, run.fingerprint)
        except RelayError as error:
            run.result = ActionResult(error.ran, error.code, error.message)
        finally:
            del self.runs[action.key]
            run.done.set()

    async def _claim_and_dispatch(self, action: Action, request_fingerprint: str) -> ActionResult:
        created = key_time(action.key, self.wall())
        store_key = slice_key(action.key, created)
        log = self.logs[bucket_of(action.key)]
        record = log.known_record(store_key, action.key)
        if record is not None and record.state == "done":
            return _stored_result(record, request_fingerprint)
        claim = Claim(action.key, request_fingerprint, uuid.uuid4().hex)
        timeout = max(0.0, self._remaining(action) - ANSWER_RESERVE_S)
        with trio.move_on_after(timeout) as scope:
            verdict = await log.claim(store_key, claim)
        if scope.cancelled_caught:
            return _refused("store_unavailable", "the claim could not be stored in time")
        if verdict.kind != "granted":
            return _result_without_claim(verdict, request_fingerprint)
        owners = self._owners(action)
        result = await self._dispatch(action)
        if (result.outcome, result.code) == ("not_run", "no_owner"):
            await self._wait_for_new_owners(action, owners)
            result = await self._dispatch(action)
        if result.outcome == "not_run":
            log.record(store_key, Release(action.key, claim.claim_id))
        elif result.outcome == "done":
            log.record(
                store_key,
                Finish(
                    action.key, request_fingerprint, claim.claim_id, result.code, result.payload
                ),
            )
        return result

    async def _dispatch(self, action: Action) -> ActionResult:
        """Try the replicas in order until one has run the request or may have run it."""
        result = _refused("no_replica", "no replica of the shard can take work")
        run_until = self.wall() + self._remaining(action) * RUN_SHARE
        for shard, searcher in action_targets(self.configuration.value, action.svc, action.route):
            if run_until <= self.wall():
                return _refused("deadline", "the deadline passed before dispatch")
            message = RunAction(
                request_id=action.request_id,
                svc=action.svc,
                shard=shard,
                searcher=searcher,
                tenant=action.tenant,
                body=action.body,
                deadline_ms=int(run_until * 1000),
                epoch=self.members.epoch,
            )
            result = await self._run_at_owner(message, self._remaining(action))
            if result.outcome != "not_run":
                return result
        return result

    async def _wait_for_new_owners(self, action: Action, before: list[Member | None]) -> None:
        """Wait a short time until the owners differ from `before`.

        The caller retries in any case, since the same owners may have finished a takeover.
        """
        timeout = min(OWNER_CHANGE_S, self._remaining(action) * OWNER_CHANGE_SHARE)
        with trio.move_on_after(max(0.0, timeout)):
            while self._owners(action) == before:  # noqa: ASYNC110
                await trio.sleep(OWNER_POLL_S)

    def _owners(self, action: Action) -> list[Member | None]:
        targets = action_targets(self.configuration.value, action.svc, action.route)
        return [self.members.owner(server_of(searcher)) for _, searcher in targets]

    async def _run_at_owner(self, message: RunAction, timeout: float) -> ActionResult:
        owner = self.members.owner(server_of(message.searcher))
        if owner is None:
            return _refused("no_owner", "no instance owns the backend server")
        try:
            if owner.instance == self.instance:
                return await self.dispatch.run_action(message)
            return await self.peers.call(owner.instance, message, timeout)
        except RelayError as error:
            return ActionResult(error.ran, error.code, error.message)

    async def _delete_expired(self) -> None:
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            for bucket in range(BUCKETS):
                owner = self.members.owner(bucket_name(bucket))
                if owner is not None and owner.instance == self.instance:
                    await self._delete_slices(bucket)

    async def _delete_slices(self, bucket: int) -> None:
        try:
            keys = await self.store.list(f"{bucket_name(bucket)}/")
            for key in expired_slices(keys, self.wall()):
                await self.store.delete(key)
                self.logs[bucket].cache.pop(key, None)
        except RelayError as error:
            event("claims.cleanup_failed", bucket=bucket, code=error.code)


def _refused(code: str, message: str) -> ActionResult:
    return ActionResult("not_run", code, message)


def _as_unknown(result: ActionResult) -> ActionResult:
    """Turn `not_run` into `unknown`, since another coordinator may still run the request."""
    if result.outcome != "not_run" or result.code == "key_reused":
        return result
    return ActionResult("unknown", "outcome_unknown", result.message)


def _stored_result(record: Record, request_fingerprint: str) -> ActionResult:
    if record.fingerprint != request_fingerprint:
        return _refused("key_reused", "the key was used with another body")
    return ActionResult("done", record.code, "stored outcome of an earlier request", record.payload)


def _result_without_claim(verdict: Verdict, request_fingerprint: str) -> ActionResult:
    if verdict.kind == "full":
        return _refused("overloaded", "too many requests with keys from the same time slice")
    if verdict.kind == "unknown":
        text = "an earlier request with this key may have run"
        return ActionResult("unknown", "outcome_unknown", text)
    return _stored_result(verdict.record, request_fingerprint)
