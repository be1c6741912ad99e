"""Room on fast workers that is kept free of work that can wait.

Pattern: bursts of urgent work on a pool that patient work fills. Patient tasks run for
seconds, so an urgent step that finds the fast workers full is late whatever is done
then. What is kept follows the urgent work of the last seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Worker

# Time over which the cores used by urgent work are averaged, in seconds.
AVERAGING_TIME_S = 10.0
# Room for urgent work, used and free, in multiples of what it uses on average: its
# bursts are about twice the mean.
HEADROOM_FACTOR = 2.0
# Bounds of that room as shares of the fast workers' cores; before anything is known
# the lower one holds.
MIN_FRACTION, MAX_FRACTION = 0.1, 0.35
# Gangs may take all room while less than this share of the fast workers' cores is in
# use: one that needs nearly all of them would never start otherwise.
BUSY_FRACTION = 0.5
# A worker counts as fast from this multiple of its pool's mean speed on.
FAST_FACTOR = 0.9


@dataclass(eq=False, slots=True)
class Headroom:
    """Cores that urgent work of one pool uses, averaged.

    Parameters
    ----------
    mean_cores : float
        Running mean of the cores in use by urgent work.
    observed_at : float, seconds
        Time of the newest observation.
    """

    mean_cores: float = 0.0
    observed_at: float = 0.0

    def observe(self, cores: float, now: float) -> None:
        """Take in the cores that urgent work uses now."""
        elapsed_s = min(AVERAGING_TIME_S, max(0.0, now - self.observed_at))
        weight = (
            1 - math.exp(-elapsed_s / AVERAGING_TIME_S) if self.observed_at else 1.0
        )
        self.mean_cores += weight * (cores - self.mean_cores)
        self.observed_at = now

    def target_cores(self, capacity: float) -> float:
        """Return the room for urgent work, used and free, of some capacity in cores."""
        wanted = HEADROOM_FACTOR * self.mean_cores
        return min(MAX_FRACTION * capacity, max(MIN_FRACTION * capacity, wanted))


@dataclass(eq=False)
class HeadroomLimit:
    """What patient steps may take of a pool's fast workers in one decision.

    Parameters
    ----------
    fast : set of str
        The fast workers; all others can be filled.
    cores : float
        Cores that patient steps may still take there.
    busy : bool
        Whether the fast workers are so much in use that gangs leave the room as well.
    """

    fast: set[str] = field(default_factory=set)
    cores: float = math.inf
    busy: bool = False

    def allows(self, worker_id: str, cores: float) -> bool:
        """Return whether a task of a patient step may be placed on a worker."""
        return worker_id not in self.fast or cores <= self.cores

    def use_cores(self, worker_id: str, cores: float) -> None:
        """Note a task that has been placed."""
        if worker_id in self.fast:
            self.cores -= cores


def headroom_limit(
    headroom: Headroom, workers: Iterable[Worker], now: float
) -> HeadroomLimit:
    """Return what patient steps may take of a pool's workers."""
    pool = list(workers)
    capacity = sum(worker.entry.capacity.cores for worker in pool)
    if not capacity:
        return HeadroomLimit()
    urgent = sum(worker.urgent_cores for worker in pool)
    headroom.observe(urgent, now)
    weighted = sum(w.entry.capacity.cores * w.health.speed for w in pool)
    threshold = FAST_FACTOR * weighted / capacity
    fast = [worker for worker in pool if worker.health.speed >= threshold]
    fast_capacity = sum(worker.entry.capacity.cores for worker in fast)
    free = sum(max(0.0, worker.free.cores) for worker in fast)
    kept = max(0.0, headroom.target_cores(fast_capacity) - urgent)
    busy = free < (1 - BUSY_FRACTION) * fast_capacity
    return HeadroomLimit({worker.worker_id for worker in fast}, free - kept, busy)
