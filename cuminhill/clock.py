"""Clock interface; pure code receives times as arguments instead."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return monotonic seconds; continues during a pause of the process."""

    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return monotonic seconds; continues during a pause of the process."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
