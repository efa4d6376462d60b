"""Freshness of what an instance knows of the searchers.

The load: entries of searchers change one by one, in bursts while an index is divided anew, and by
thousands while an instance is cut off. Batching keeps the calls of its readers few, and must not
delay a change that is older already.
"""

__all__ = ["WatchPace"]

#: Answers with fewer changes than this are complete: even large entries fit into one answer.
SHORT_ANSWER = 8
#: Time in seconds for which a watch waits that shows whether there are more changes.
PROBE_WAIT_S = 0.05


class WatchPace:
    """Pause and wait of the next watch of a prefix; times in seconds."""

    def __init__(self, cycle: float) -> None:
        #: Longest time without an answer while nothing changes.
        self.cycle = cycle
        #: Whether all changes up to the last answer are known.
        self.caught_up = False
        #: Pause before the next call, in which changes are batched.
        self.pause = 0.0
        #: Largest number of changes in an answer. The store states no limit of it.
        self.longest_answer = 0

    @property
    def wait(self) -> float:
        """Time for which the next watch waits for a change."""
        return max(PROBE_WAIT_S, self.cycle - self.pause) if self.caught_up else PROBE_WAIT_S

    def record_failure(self) -> None:
        """Record that a call had no answer, so that changes may be missing."""
        self.caught_up = False
        self.pause = 0.0

    def record_list(self) -> None:
        """Record a list of all items."""
        self.caught_up = True
        self.pause = 0.0

    def record_changes(self, changes: int, to_latest: bool, batch: float) -> None:
        """Record an answer with some changes.

        `to_latest` is whether it covers more than these changes, so that none can follow them.
        Changes are batched for `batch` seconds, unless the answer may be a full one.
        """
        full = changes >= max(SHORT_ANSWER, self.longest_answer / 2)
        self.longest_answer = max(self.longest_answer, changes)
        self.caught_up = to_latest or not full
        self.pause = batch if self.caught_up and changes else 0.0
