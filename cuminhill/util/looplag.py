"""Notices that the event loop of a process was held up."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio
import structlog

from ..clock import boottime

if TYPE_CHECKING:
    from collections.abc import Callable

logger = structlog.get_logger(__name__)

PROBE_INTERVAL_S = 0.2
# Delays of a wake-up from this on are counted: heartbeats, renewals and answers to
# callers are as late.
MIN_HELD_UP_S = 0.25
LINE_INTERVAL_S = 1.0  # least time between two log lines


@dataclass(eq=False)
class LoopLag:
    """Delays of the event loop.

    Parameters
    ----------
    clock, cpu_clock : callable
        Return the time and the processor time used so far, in seconds. A delay with
        little processor time is due to other processes of the machine.
    n_delays : int
        Number of delays.
    held_up_s : float, seconds
        Sum of the delays.
    """

    clock: Callable[[], float] = boottime
    cpu_clock: Callable[[], float] = time.thread_time
    n_delays: int = 0
    held_up_s: float = 0.0
    _told_at: float = 0.0

    async def run(self) -> None:
        """Count delays until cancelled."""
        while True:
            due, cpu_s = self.clock() + PROBE_INTERVAL_S, self.cpu_clock()
            await curio.sleep(PROBE_INTERVAL_S)
            self.note_wake_up(due, self.clock(), self.cpu_clock() - cpu_s)

    def note_wake_up(self, due: float, now: float, cpu_s: float) -> None:
        """Count the delay of one wake-up.

        Parameters
        ----------
        due, now : float, seconds
            When it should have come, and when it came.
        cpu_s : float, seconds
            Processor time used since the one before.
        """
        late_s = now - due
        if late_s < MIN_HELD_UP_S:
            return
        self.n_delays += 1
        self.held_up_s += late_s
        if now - self._told_at < LINE_INTERVAL_S:
            return
        self._told_at = now
        logger.info(
            "process held up",
            held_up_s=round(late_s, 3),
            cpu_s=round(cpu_s, 3),
            delays=self.n_delays,
        )

    def dump(self) -> dict[str, float]:
        """Return the state as a JSON-serialisable dict."""
        return {"n_delays": self.n_delays, "held_up_s": round(self.held_up_s, 3)}
