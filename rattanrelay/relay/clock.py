"""Clock for trio that includes the time during which the machine is suspended."""

import time

import trio

__all__ = ["BootClock"]


class BootClock(trio.abc.Clock):
    """Seconds since boot, suspension included.

    The monotonic clock stops while a machine is suspended, so leases and deadlines that are
    measured with it would expire too late.
    """

    def start_clock(self) -> None:
        """Do nothing; the kernel's clock always runs."""

    def current_time(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self.current_time()
