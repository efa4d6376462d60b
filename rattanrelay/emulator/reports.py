"""Load and state that a searcher reports, which may lag or differ from the actual ones."""

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from .searcher import Searcher

__all__ = ["Reports"]

#: Number of past reports kept for `report_lag_ms`.
HISTORY = 1024


class Report(NamedTuple):
    """Load and state at a time on trio's clock."""

    time: float
    load: float
    state: str


class Reports:
    """Source of the headers `X-Boot-Id`, `X-Load` (slots in use / slots) and `X-State`."""

    def __init__(self, searcher: "Searcher") -> None:
        self.searcher = searcher
        self.history: deque[Report] = deque(maxlen=HISTORY)

    def current(self) -> Report:
        """Return what the searcher reports now."""
        faults = self.searcher.faults
        actual = self._actual()
        self.history.append(actual)
        past = self._as_of(actual.time - faults.report_lag_ms / 1000)
        load = past.load if faults.report_load is None else faults.report_load
        state = past.state if faults.report_state is None else faults.report_state
        return Report(past.time, load, state)

    def headers(self) -> dict[str, str]:
        """Return the headers that every answer carries."""
        report = self.current()
        return {
            "x-boot-id": self.searcher.boot_id,
            "x-load": f"{report.load:.3f}",
            "x-state": report.state,
        }

    def status(self) -> dict:
        """Return the body of `GET /status`."""
        report = self.current()
        return {
            "searcher": self.searcher.name,
            "boot_id": self.searcher.boot_id,
            "state": report.state,
            "load": report.load,
            "slots": self.searcher.server.slots,
            "snapshots": sorted(self.searcher.holdings),
        }

    def _actual(self) -> Report:
        searcher = self.searcher
        load = searcher.journal.working / searcher.server.slots
        return Report(trio.current_time(), load, searcher.state)

    def _as_of(self, time: float) -> Report:
        """Return the newest report from `time` or earlier, or else the oldest one."""
        for report in reversed(self.history):
            if report.time <= time:
                return report
        return self.history[0]
