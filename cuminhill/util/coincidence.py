"""Probability that crashes of workers meet a task by chance.

A task that seems to crash its workers is given up only if chance does not explain its
crashes: where workers crash often by themselves, some tasks meet several crashes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A task is given up below this probability. Thousands of tasks may run while workers
# crash by themselves.
MAX_COINCIDENCE = 1e-5
# Times over which the rate of crashes is observed; the highest rate counts, since
# workers that were sound for a while may begin to crash in series.
RATE_WINDOWS_S = (5.0, 15.0, 60.0)
MIN_OBSERVED_S = 1.0


def crash_rate(
    crashes_at: Iterable[float],
    n_workers: int,
    now: float,
    begun_at: float,
    n_excepted: int = 0,
) -> float:
    """Return the rate at which one worker crashes, per second.

    Parameters
    ----------
    crashes_at : iterable of float, seconds
        Times of the crashes observed on all workers.
    n_workers : int
        Number of workers.
    begun_at : float, seconds
        When the observation began.
    n_excepted : int, default=0
        Number of crashes to leave out, those under one task.

    Notes
    -----
    Over the longest time, no crash counts as one: a short observation without a crash
    does not show that workers never crash.
    """
    ages = [now - at for at in crashes_at]
    rates = []
    for window_s in RATE_WINDOWS_S:
        observed_s = max(MIN_OBSERVED_S, min(window_s, now - begun_at))
        n_crashes = sum(age <= window_s for age in ages) - n_excepted
        if window_s == max(RATE_WINDOWS_S):
            n_crashes = max(1, n_crashes)
        rates.append(n_crashes / (observed_s * max(1, n_workers)))
    return max(rates)


def coincidence(rate: float, exposures: Iterable[tuple[float, int]]) -> float:
    """Return the probability that a task without fault meets all of its crashes.

    Parameters
    ----------
    rate : float, per second
        Rate at which one worker crashes for other reasons.
    exposures : iterable of (float, int)
        Time in seconds for which the task was exposed to a crash, and the number of
        crashes that it met in such times.
    """
    return math.prod(
        min(1.0, rate * exposed_s) ** n_crashes for exposed_s, n_crashes in exposures
    )


__all__ = ["MAX_COINCIDENCE", "RATE_WINDOWS_S", "coincidence", "crash_rate"]
