"""Headroom: capacity on fast workers that is kept free for urgent work.

Urgent work comes in bursts on pools that lower-priority work would fill. Since
lower-priority tasks run for seconds, an urgent step that finds all fast workers busy
misses its objective whatever is done then. The headroom follows the urgent work of the
last seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Worker

# Time constant of the running mean of the cores used by urgent work.
AVERAGING_TIME_S = 10.0
# Cores for urgent work, used and free, as a multiple of its mean use: its bursts are
# about twice the mean.
HEADROOM_FACTOR = 2.0
# Bounds of these cores as fractions of the fast workers' cores; the lower bound applies
# until urgent work has been observed.
MIN_FRACTION, MAX_FRACTION = 0.1, 0.35
# While less than this fraction of the fast workers' cores is in use, gangs may use the
# headroom: a gang that needs nearly all of them would never start otherwise.
BUSY_FRACTION = 0.5
# Share of the headroom that jobs which wait idle while the pool is not busy may use.
IDLE_FRACTION = 0.5
# Workers with at least this multiple of their pool's mean speed count as fast.
FAST_FACTOR = 0.9


@dataclass(eq=False, slots=True)
class Headroom:
    """Running mean of the cores used by the urgent work of one pool.

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
        """Update the mean with the cores that urgent work uses now."""
        elapsed_s = min(AVERAGING_TIME_S, max(0.0, now - self.observed_at))
        weight = (
            1 - math.exp(-elapsed_s / AVERAGING_TIME_S) if self.observed_at else 1.0
        )
        self.mean_cores += weight * (cores - self.mean_cores)
        self.observed_at = now

    def target_cores(self, capacity: float) -> float:
        """Return the cores for urgent work, used and free, out of some capacity."""
        target = HEADROOM_FACTOR * self.mean_cores
        return min(MAX_FRACTION * capacity, max(MIN_FRACTION * capacity, target))


@dataclass(eq=False)
class HeadroomLimit:
    """Limit on the use of a pool's fast workers by lower-priority steps.

    It is computed anew for each decision.

    Parameters
    ----------
    fast : set of str
        The fast workers; the others are not limited.
    cores : float
        Cores that lower-priority steps may still use on the fast workers.
    busy : bool
        Whether so much of the fast workers is in use that the limit applies to gangs.
    kept : float
        Cores that are kept free on the fast workers.
    common : HeadroomLimit or None
        Limit of the other steps if this is one for a single job.
    """

    fast: set[str] = field(default_factory=set)
    cores: float = math.inf
    busy: bool = False
    kept: float = 0.0
    common: HeadroomLimit | None = None

    def for_idle_job(self, cores: float) -> HeadroomLimit:
        """Return the limit for a job without a run on a pool that is not busy.

        Callers count it as lost though the free cores are headroom, so one task may use
        these while jobs of this kind leave enough of them.

        Parameters
        ----------
        cores : float
            Cores of a task.
        """
        if self.cores >= cores or self.cores - cores < -IDLE_FRACTION * self.kept:
            return self
        return replace(self, cores=cores, common=self)

    def allows(self, worker_id: str, cores: float) -> bool:
        """Return whether a task of a lower-priority step may run on a worker."""
        return worker_id not in self.fast or cores <= self.cores

    def use_cores(self, worker_id: str, cores: float) -> None:
        """Deduct the cores of a task placed on a worker."""
        if worker_id not in self.fast:
            return
        self.cores -= cores
        if self.common is not None:
            self.common.cores -= cores


def headroom_limit(
    headroom: Headroom, workers: Iterable[Worker], now: float
) -> HeadroomLimit:
    """Return the limit for lower-priority steps on a pool's workers."""
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
    names = {worker.worker_id for worker in fast}
    return HeadroomLimit(names, free - kept, busy, kept=kept)
