"""Clock interface; code without I/O receives times as arguments instead."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return monotonic seconds; continues during a pause of the process."""

    def wall(self) -> float:
        """Return seconds since the epoch."""


@dataclass(frozen=True, slots=True)
class SystemClock:
    """Clock of the operating system.

    Parameters
    ----------
    wall_offset_s : float, seconds
        Added to the wall clock; nonzero only in tests of clock errors.
    """

    wall_offset_s: float = 0.0

    def monotonic(self) -> float:
        """Return monotonic seconds; continues during a pause of the process."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time() + self.wall_offset_s


def boottime() -> float:
    """Return seconds since boot, counting the time for which a VM was suspended.

    Leases are judged by it: the monotonic clock stands still during a suspension, so
    a lease that has lapsed would still look valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Boot time at which this process is known to have been running. The package imports
# this module first, since its other imports take some tenths of a second.
PROCESS_STARTED_AT = boottime()
