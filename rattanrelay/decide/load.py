"""What a searcher tells of its load in its responses."""

import math
from typing import NamedTuple

__all__ = ["ToldLoad", "parse_load"]

#: Largest number of requests or slots that is believed.
MAX_REQUESTS = 1_000_000
#: Range of the pace that is believed.
MIN_PACE = 0.1
MAX_PACE = 100.0


class ToldLoad(NamedTuple):
    """Load of a searcher, as one of its responses told it."""

    running: int
    waiting: int
    slots: int
    #: How long work takes on its machine, as a multiple of the usual time.
    pace: float
    #: Time at which the response arrived.
    at: float
    #: Whether the response told the pace.
    paced: bool = False


def parse_load(text: str | None, now: float) -> ToldLoad | None:
    """Decode `running,waiting,slots` or `running,waiting,slots,pace`; None if it is unusable.

    The pace is in hundredths of the usual time.
    """
    try:
        numbers = [float(part) for part in (text or "").split(",")]
    except ValueError:
        return None
    if len(numbers) < 3 or not all(0.0 <= number <= MAX_REQUESTS for number in numbers):
        return None
    running, waiting, slots = (math.floor(number) for number in numbers[:3])
    if slots < 1:
        return None
    pace = numbers[3] / 100.0 if len(numbers) > 3 else 1.0
    pace = min(max(pace, MIN_PACE), MAX_PACE)
    return ToldLoad(running, waiting, slots, pace, now, len(numbers) > 3)
