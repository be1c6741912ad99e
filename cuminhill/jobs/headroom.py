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
MEAN_OVER_S = 10.0
# Room for urgent work, used and free, in multiples of what it uses on average: its
# bursts are about twice the mean.
HEADROOM_X = 2.0
# Bounds of that room as shares of the fast workers' cores; before anything is known
# the lower one holds.
MIN_SHARE, MAX_SHARE = 0.1, 0.35
# Gangs may take all room while less than this share of the fast workers' cores is in
# use: one that needs nearly all of them would never start otherwise.
BUSY_SHARE = 0.5
# A worker counts as fast from this multiple of its pool's mean speed on.
FAST_X = 0.9


@dataclass(eq=False, slots=True)
class Headroom:
    """Cores that urgent work of one pool uses, averaged.

    Parameters
    ----------
    mean_cores : float
        Running mean of the cores in use by urgent work.
    seen_at : float, seconds
        Time of the newest observation.
    """

    mean_cores: float = 0.0
    seen_at: float = 0.0

    def observe(self, cores: float, now: float) -> None:
        """Take in the cores that urgent work uses now."""
        passed_s = min(MEAN_OVER_S, max(0.0, now - self.seen_at))
        weight = 1 - math.exp(-passed_s / MEAN_OVER_S) if self.seen_at else 1.0
        self.mean_cores += weight * (cores - self.mean_cores)
        self.seen_at = now

    def wanted(self, capacity: float) -> float:
        """Return the room for urgent work, used and free, of some capacity in cores."""
        wanted = HEADROOM_X * self.mean_cores
        return min(MAX_SHARE * capacity, max(MIN_SHARE * capacity, wanted))


@dataclass(eq=False)
class KeptRoom:
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

    def take(self, worker_id: str, cores: float) -> None:
        """Note a task that has been placed."""
        if worker_id in self.fast:
            self.cores -= cores


def keep_room(headroom: Headroom, workers: Iterable[Worker], now: float) -> KeptRoom:
    """Return what patient steps may take of a pool's workers."""
    pool = list(workers)
    capacity = sum(worker.entry.capacity.cores for worker in pool)
    if not capacity:
        return KeptRoom()
    urgent = sum(worker.urgent_cores for worker in pool)
    headroom.observe(urgent, now)
    weighted = sum(w.entry.capacity.cores * w.health.speed for w in pool)
    threshold = FAST_X * weighted / capacity
    fast = [worker for worker in pool if worker.health.speed >= threshold]
    fast_capacity = sum(worker.entry.capacity.cores for worker in fast)
    free = sum(max(0.0, worker.free.cores) for worker in fast)
    kept = max(0.0, headroom.wanted(fast_capacity) - urgent)
    busy = free < (1 - BUSY_SHARE) * fast_capacity
    return KeptRoom({worker.worker_id for worker in fast}, free - kept, busy)
