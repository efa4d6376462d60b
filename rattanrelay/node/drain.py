"""Planned stop of an instance in the phases of the chart `drain`, each with a time limit."""

import math
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

import trio

from ..charts.interpreter import Chart
from ..log import event
from ..metrics import Metrics

__all__ = [
    "CLOSE_LIMIT_S",
    "FINISH_LIMIT_S",
    "FLUSH_LIMIT_S",
    "HAND_OVER_LIMIT_S",
    "LEAVE_VIEW_LIMIT_S",
    "PEER_GRACE_S",
    "PHASES",
    "Drain",
    "DrainPort",
    "EndedPhase",
]

#: Time to answer the requests in flight; those that take longer go on while the next phases run.
FINISH_LIMIT_S = 4.0
LEAVE_VIEW_LIMIT_S = 2.5
#: Longer than a sub-request with its margin, so that work sent before the view change ends.
HAND_OVER_LIMIT_S = 2.5
#: Requests whose outcome is not stored by then are answered with `unknown` when they are repeated.
FLUSH_LIMIT_S = 5.0
CLOSE_LIMIT_S = 5.0
#: Time for which peers still get answers after this instance has left the view.
PEER_GRACE_S = 0.3
DRAINED = "drained"


class DrainPort(Protocol):
    """Operations of the other tasks of a daemon that a planned stop uses."""

    #: Seconds for which the balancer may still send requests to an instance that is not ready.
    balancer_grace: float

    def stop_ready(self) -> None:
        """Report not ready from now on."""

    async def finish_requests(self) -> None:
        """Accept no new requests of callers; return when all have been answered."""

    async def leave_view(self) -> None:
        """Leave the view; return when this instance is not in it."""

    async def hand_over(self) -> None:
        """Return when the members know that no work is left here."""

    async def flush_claims(self) -> None:
        """Write the outcomes of claims; return when the store has all of them."""

    def store_down(self) -> bool:
        """Return whether the last call to the store failed."""


class EndedPhase(NamedTuple):
    """An ended phase, the event of the chart that ended it, and its duration in seconds."""

    phase: str
    ended: str
    seconds: float


class _Phase(NamedTuple):
    run: Callable[[DrainPort], Awaitable[None]]
    #: Time limit in seconds; `stop_timeout` bounds all phases.
    limit: float
    needs_store: bool


#: The phases by their state in the chart.
PHASES: dict[str, _Phase] = {}


def _phase(state: str, limit: float, *, needs_store: bool = False):
    def register(run: Callable[[DrainPort], Awaitable[None]]):
        PHASES[state] = _Phase(run, limit, needs_store)
        return run

    return register


@_phase("not_ready", math.inf)
async def _wait_for_balancer(port: DrainPort) -> None:
    port.stop_ready()
    await trio.sleep(port.balancer_grace)


@_phase("finishing", FINISH_LIMIT_S)
async def _finish(port: DrainPort) -> None:
    await port.finish_requests()


@_phase("leaving_view", LEAVE_VIEW_LIMIT_S, needs_store=True)
async def _leave_view(port: DrainPort) -> None:
    await port.leave_view()


@_phase("handing_over", HAND_OVER_LIMIT_S, needs_store=True)
async def _hand_over(port: DrainPort) -> None:
    await port.hand_over()


@_phase("flushing_claims", FLUSH_LIMIT_S, needs_store=True)
async def _flush(port: DrainPort) -> None:
    await port.flush_claims()


@_phase("closing", CLOSE_LIMIT_S)
async def _close(port: DrainPort) -> None:
    await trio.sleep(PEER_GRACE_S)
    await port.finish_requests()


class Drain:
    """The planned stop of one instance; `stop_timeout` bounds all phases together, in seconds."""

    def __init__(
        self, instance: str, port: DrainPort, metrics: Metrics, *, stop_timeout: float
    ) -> None:
        self.port = port
        self.metrics = metrics
        self.stop_timeout = stop_timeout
        self.chart = Chart("drain", instance)
        self.ended: list[EndedPhase] = []
        self.entered_at = trio.current_time()
        self.scope = trio.CancelScope()
        self._set_state_metrics()

    @property
    def state(self) -> str:
        """Current state of the chart `drain`."""
        return self.chart.state

    @property
    def complete(self) -> bool:
        """Return whether the stop has ended and each phase has completed."""
        return self.state == DRAINED

    def unfinished(self) -> list[str]:
        """Return the ended phases that have not completed."""
        return [one.phase for one in self.ended if one.ended != "done"]

    def status(self) -> dict[str, Any]:
        """Return the state, the seconds spent in it and the ended phases as JSON values."""
        return {
            "state": self.state,
            "seconds": round(trio.current_time() - self.entered_at, 3),
            "phases": [one._asdict() for one in self.ended],
        }

    async def run(self) -> None:
        """Run the phases until the chart reaches its end or `cut_short` is called."""
        deadline = trio.current_time() + self.stop_timeout
        self._send_event("stop", "signal")
        with self.scope:
            while self.state in PHASES:
                await self._run_phase(deadline)

    def cut_short(self) -> None:
        """End the stop at once, because of a second signal."""
        if self.state in PHASES:
            self._end_phase("second_signal")
        else:
            self._send_event("second_signal", "signal")
        self.scope.cancel()

    async def _run_phase(self, deadline: float) -> None:
        phase = PHASES[self.state]
        with trio.move_on_at(min(trio.current_time() + phase.limit, deadline)) as scope:
            await phase.run(self.port)
        if not scope.cancelled_caught:
            self._end_phase("done")
        elif phase.needs_store and self.port.store_down():
            self._end_phase("store_down")
        else:
            self._end_phase("timed_out")

    def _end_phase(self, ended: str) -> None:
        phase = self.state
        seconds = round(trio.current_time() - self.entered_at, 3)
        self.ended.append(EndedPhase(phase, ended, seconds))
        event("drain.phase_ended", phase=phase, ended=ended, seconds=seconds)
        self.metrics.drain_phase.set({"phase": phase, "ended": ended}, seconds)
        self._send_event(ended, f"{phase} after {seconds} s")

    def _send_event(self, name: str, cause: str) -> None:
        if self.chart.send(name, cause):
            self.entered_at = trio.current_time()
            self._set_state_metrics()

    def _set_state_metrics(self) -> None:
        for state in self.chart.leaves:
            self.metrics.drain_state.set({"state": state}, int(state == self.state))
