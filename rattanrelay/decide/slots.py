"""Slots in use at one searcher: one for each sub-request whose work may still be running."""

import math

__all__ = ["Slots"]


class Slots:
    """Slots in use by the id of their sub-request; times are seconds on any monotonic clock.

    A slot is freed by the server's answer, by a confirmed cancellation, or at `free_at`, when the
    server must have discarded the work. Cancelled work keeps its slot until one of these happens.
    """

    def __init__(self) -> None:
        self.held: dict[str, float] = {}
        self.cancelled: set[str] = set()

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return len(self.held)

    def reserve(self, request_id: str, free_at: float, limit: int) -> bool:
        """Reserve a slot unless `limit` slots are in use or the id already has one.

        Returns whether the slot was reserved.
        """
        if len(self.held) >= limit or request_id in self.held:
            return False
        self.held[request_id] = free_at
        return True

    def cancel(self, request_id: str) -> bool:
        """Record a cancellation; return whether to notify the server, which is done only once."""
        if request_id not in self.held or request_id in self.cancelled:
            return False
        self.cancelled.add(request_id)
        return True

    def free(self, request_id: str) -> bool:
        """Free the slot after an answer or confirmed cancellation; return whether it was in use."""
        self.cancelled.discard(request_id)
        return self.held.pop(request_id, None) is not None

    def expire(self, now: float) -> tuple[str, ...]:
        """Free the slots whose `free_at` has passed; return their ids."""
        passed = tuple(name for name, free_at in self.held.items() if free_at <= now)
        for name in passed:
            self.free(name)
        return passed

    def next_expiry(self) -> float:
        """Return the earliest `free_at`, infinity when no slot is in use."""
        return min(self.held.values(), default=math.inf)
