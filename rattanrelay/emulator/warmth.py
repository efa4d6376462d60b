"""Warming of a cold searcher: by completed work, or by time."""

import trio

from .config import ServerConfig

__all__ = ["Warmth"]


class Warmth:
    """What a searcher bears now; one more slot after each `warm_work` completed requests."""

    def __init__(self, server: ServerConfig, *, cold: bool, announced: bool = True) -> None:
        self.server = server
        self.cold = cold
        #: False when no new boot and no report told of the cold start.
        self.announced = announced
        self.completed = 0
        self.since = trio.current_time() if cold else 0.0

    def allowed(self) -> int:
        """Return the slots that the searcher bears now."""
        if not self.is_cold():
            return self.server.slots
        return min(self._ramped(), self.server.slots)

    def is_cold(self) -> bool:
        """Say whether the searcher is still cold; a warm one stays warm."""
        if self.cold and (self._time_is_up() or self._ramped() >= self.server.slots):
            self.cold = False
        return self.cold

    def complete(self) -> None:
        """Count a completed request."""
        self.completed += 1

    def factor(self) -> float:
        """Return the factor on the service time."""
        return self.server.cold_factor if self.is_cold() else 1.0

    def _ramped(self) -> int:
        steps = self.completed // max(self.server.warm_work, 1)
        return self.server.cold_slots + steps

    def _time_is_up(self) -> bool:
        warm_ms = self.server.warm_ms
        return warm_ms > 0 and trio.current_time() - self.since >= warm_ms / 1000
