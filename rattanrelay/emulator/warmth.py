"""Slow start of a cold searcher, by completed requests or by time."""

import trio

from .config import ServerConfig

__all__ = ["Warmth"]


class Warmth:
    """Slow start of a searcher; it gains one slot after each `warm_work` completed requests."""

    def __init__(self, server: ServerConfig, *, cold: bool, announced: bool = True) -> None:
        self.server = server
        self.cold = cold
        #: Whether a new boot id or a reported state announced the cold start.
        self.announced = announced
        self.completed = 0
        self.cold_since = trio.current_time() if cold else 0.0

    def allowed_slots(self) -> int:
        """Return the number of slots that may be used now."""
        if not self.is_cold():
            return self.server.slots
        return min(self._ramped_slots(), self.server.slots)

    def is_cold(self) -> bool:
        """Return whether the searcher is still cold; a warm one stays warm."""
        if self.cold and (self._warm_time_elapsed() or self._ramped_slots() >= self.server.slots):
            self.cold = False
        return self.cold

    def record_completion(self) -> None:
        """Record a completed request."""
        self.completed += 1

    def factor(self) -> float:
        """Return the factor by which the service time is multiplied now."""
        return self.server.cold_factor if self.is_cold() else 1.0

    def _ramped_slots(self) -> int:
        added_slots = self.completed // max(self.server.warm_work, 1)
        return self.server.cold_slots + added_slots

    def _warm_time_elapsed(self) -> bool:
        warm_ms = self.server.warm_ms
        return warm_ms > 0 and trio.current_time() - self.cold_since >= warm_ms / 1000
