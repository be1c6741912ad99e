"""Shares of teams: which jobs are surplus, and which teams use more than their share.

A team's weight is the number of jobs a second up to which it has a claim to be served,
and its share relative to the others when not everything can run. Jobs beyond that rate
are surplus: they stay accepted and run on what the others leave.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import Counter
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from ..model import NO_RESOURCES
from .ordering import Rank
from .teamusage import NOTHING, TeamUsage

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .model import Job, Queue, Team
    from .placer import Placer
    from .progress import StepRun

    # Sort key, step, its queue and the expected run times of the steps of its job.
    Row = tuple[tuple[Any, ...], StepRun, Queue, list[float]]

# No job waits longer than this for its team's share alone; afterwards it is placed as
# if its team had no share.
MAX_SHARE_WAIT_S = 30.0
# Acceptances of this time are kept one by one, so that one that is read late is put in
# its place; earlier ones are summed up in the level of the bucket.
HISTORY_S = 2 * MAX_SHARE_WAIT_S
# Surplus jobs leave this fraction of a pool's cores to jobs that are not, which would
# have to wait for the end of surplus runs otherwise.
FREE_FRACTION = 0.1
ROUNDING = 1e-9  # of the level of a bucket


@dataclass(eq=False, slots=True)
class Bucket:
    """Token bucket of one team over the times at which its jobs were accepted.

    It holds a second's worth of jobs, and at least one. The result depends only on
    these times and the rate, so a later placer arrives at the same one.

    Parameters
    ----------
    times : list of (float, str)
        When jobs were accepted, in seconds of the wall clock, with their ids; sorted.
    surplus : set of str
        Those jobs that found the bucket empty.
    """

    times: list[tuple[float, str]] = field(default_factory=list)
    surplus: set[str] = field(default_factory=set)
    _known: set[str] = field(default_factory=set)
    _rate: float = 0.0
    _stale: bool = True
    # Time before which all acceptances are summed up.
    _since: float = -math.inf
    # Level and time before the first of `times`, and after the last.
    _first: tuple[float, float] = (math.inf, -math.inf)
    _last: tuple[float, float] = (math.inf, -math.inf)

    def note(self, job_id: str, accepted_at: float) -> None:
        """Note that a job was accepted."""
        if job_id in self._known or accepted_at < self._since:
            return
        self._known.add(job_id)
        row = (accepted_at, job_id)
        if self.times and row < self.times[-1]:
            self._stale = True
            insort(self.times, row)
            return
        self.times.append(row)
        if not self._stale:
            self._last = self._take([row], self._last)
        if self.times[0][0] < accepted_at - 2 * HISTORY_S:
            self._forget(accepted_at - HISTORY_S)

    def has_surplus(self, job_id: str, rate: float) -> bool:
        """Return whether a job is surplus at a rate in jobs per second."""
        if self._stale or rate != self._rate:
            self._rate, self._stale = rate, False
            self.surplus.clear()
            self._last = self._take(self.times, self._first)
        return job_id in self.surplus

    def _take(
        self, rows: Iterable[tuple[float, str]], state: tuple[float, float]
    ) -> tuple[float, float]:
        """Take a token for each job; return the level and the time afterwards."""
        level, at = state
        burst = max(1.0, self._rate)
        for accepted_at, job_id in rows:
            passed_s = max(0.0, accepted_at - at)
            refilled = level + self._rate * passed_s if self._rate else level
            level, at = min(burst, refilled), max(at, accepted_at)
            if level < 1.0 - ROUNDING:
                self.surplus.add(job_id)
            else:
                level -= 1.0
        return level, at

    def _forget(self, before: float) -> None:
        """Sum up the acceptances before a time."""
        self._since = before
        n_old = next(i for i, row in enumerate(self.times) if row[0] >= before)
        old, self.times = self.times[:n_old], self.times[n_old:]
        if self._rate:
            self._first = self._take(old, self._first)
        for _, job_id in old:
            self._known.discard(job_id)
            self.surplus.discard(job_id)


@dataclass(eq=False, slots=True)
class Shares:
    """Shares of the teams in one term.

    Parameters
    ----------
    buckets : dict of str to Bucket
        Buckets by team; empty as long as no job has a team.
    surplus_steps : set of str
        Steps of surplus jobs in the newest decision.
    held : set of str
        Those of them that leave the free cores to others.
    """

    buckets: dict[str, Bucket] = field(default_factory=dict)
    surplus_steps: set[str] = field(default_factory=set)
    held: set[str] = field(default_factory=set)
    _busy: Collection[str] = ()
    _room: dict[str, float] = field(default_factory=dict)

    def note_accepted(self, team: str, job_id: str, accepted_at: float) -> None:
        """Note a job of a team in the journal, whether or not it has ended."""
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = self.buckets[team] = Bucket()
        bucket.note(job_id, accepted_at)

    def is_surplus(self, placer: Placer, job: Job, wall: float) -> bool:
        """Return whether a job is placed after all jobs that are not surplus."""
        team = placer.table.team(job)
        # A VM whose clock is ahead must not keep a job surplus for longer.
        if team is None or abs(wall - job.accepted_at) > MAX_SHARE_WAIT_S:
            return False
        bucket = self.buckets.get(team.name)
        return bucket is not None and bucket.has_surplus(job.job_id, team.weight)

    def order(
        self, placer: Placer, rows: list[Row], busy: Collection[str], wall: float
    ) -> list[Row]:
        """Return the waiting steps in the order of their placement.

        Parameters
        ----------
        rows : list of tuple
            Sort key of the order without shares, step, queue and run times.
        busy : collection of str
            Pools of which so much is in use that shares count.
        """
        self.surplus_steps.clear()
        self.held.clear()
        self._room.clear()
        self._busy = busy
        over = _teams_over_share(placer, rows, busy)
        ordered: list[Row] = []
        for key, step_run, queue, run_times in rows:
            job = step_run.job
            if key[0] != Rank.MOVING and self.is_surplus(placer, job, wall):
                self.surplus_steps.add(step_run.name)
                last = (Rank.SURPLUS, False, job.accepted_at, step_run.name)
                ordered.append((last, step_run, _demoted(queue), run_times))
                continue
            begun_at = max(job.accepted_at, job.due_at(step_run.occurrence))
            defers = (
                job.team is not None
                and (queue.pool, job.team.name) in over
                and abs(wall - begun_at) <= MAX_SHARE_WAIT_S
            )
            shared = (key[0], defers, *key[1:])
            ordered.append((shared, step_run, queue, run_times))
        ordered.sort(key=lambda row: row[0])
        return ordered

    def limit(self, placer: Placer, step_run: StepRun, n_tasks: int) -> int:
        """Return how many of some tasks of a step fit beside what surplus jobs leave.

        Every task does if the job is not surplus. While the pool is not busy, one task
        or a gang always does, since callers count a job without a run as lost then.
        """
        if step_run.name not in self.surplus_steps or not n_tasks:
            return n_tasks
        queue = placer.queue_of(placer.jobs[step_run.job.job_id])
        step = step_run.step
        if queue is None or step.need.cores <= 0:
            return n_tasks
        idle = queue.pool not in self._busy
        n_fitting = max(0, int(self._room_of(placer, queue.pool) // step.need.cores))
        if step.gang:
            n_tasks = n_tasks if idle or n_fitting >= step.n_tasks else 0
        else:
            n_tasks = min(n_tasks, max(n_fitting, int(idle)))
        if not n_tasks:
            self.held.add(step_run.name)
        return n_tasks

    def use_room(self, pool: str, cores: float) -> None:
        """Deduct the cores of a task that was placed in a pool."""
        if pool in self._room:
            self._room[pool] -= cores

    def _room_of(self, placer: Placer, pool: str) -> float:
        """Return the cores that surplus jobs may still use in a pool."""
        room = self._room.get(pool)
        if room is None:
            capacity = free = 0.0
            for worker in placer.workers.values():
                if worker.entry.pool == pool and worker.accepts_starts():
                    capacity += worker.entry.capacity.cores
                    free += max(0.0, worker.free.cores)
            room = self._room[pool] = free - FREE_FRACTION * capacity
        return room


def dump_team_usage(placer: Placer, wall: float) -> dict[str, dict[str, float]]:
    """Return what each team uses, its cap, and its jobs without a run, by name.

    Teams that were removed are included as long as they have jobs or runs.

    Parameters
    ----------
    wall : float, seconds
        Current wall-clock time.
    """
    teams = dict(placer.table.teams or {})
    waiting: Counter[str] = Counter()
    surplus: Counter[str] = Counter()
    for progress in placer.jobs.values():
        job = progress.job
        if job.team is None:
            continue
        name = job.team.name
        if name not in teams:
            teams[name] = job.team
        if progress.n_assigned or progress.is_over():
            continue
        waiting[name] += 1
        # Most jobs of a long queue were accepted too long ago to be surplus.
        if abs(wall - job.accepted_at) <= MAX_SHARE_WAIT_S:
            surplus[name] += placer.shares.is_surplus(placer, job, wall)
    used_by_team = TeamUsage().by_team(placer)
    rows = {}
    for name in dict.fromkeys([*teams, *used_by_team]):
        used, team = used_by_team.get(name, NOTHING), teams.get(name)
        cap = team.cap if team is not None else NO_RESOURCES
        rows[name] = {
            "cores": round(used.cores, 3),
            "memory_mb": round(used.memory_mb, 1),
            "accelerators": round(used.accelerators, 3),
            "cap_cores": cap.cores,
            "cap_memory_mb": cap.memory_mb,
            "cap_accelerators": cap.accelerators,
            "n_waiting": waiting[name],
            "n_surplus": surplus[name],
        }
    return rows


@lru_cache(maxsize=256)
def _demoted(queue: Queue) -> Queue:
    """Return a queue whose steps have no privilege of urgent work."""
    return replace(queue, priority=max(1, queue.priority))


def _teams_over_share(
    placer: Placer, rows: Iterable[Row], busy: Collection[str]
) -> set[tuple[str, str]]:
    """Return the teams that use more of a busy pool than their share.

    The share is that of what the teams with waiting steps use there, by their weights.
    """
    waiting: dict[str, dict[str, Team]] = {}
    for _, step_run, queue, _ in rows:
        if step_run.job.team is None or queue.pool not in busy:
            continue
        team = placer.table.team(step_run.job)
        if team is not None:
            waiting.setdefault(queue.pool, {})[team.name] = team
    over = set()
    for pool, teams in waiting.items():
        if len(teams) < 2:
            continue
        used = {name: _pool_use(placer, pool, name) for name in teams}
        total = sum(used.values())
        weight = sum(team.weight for team in teams.values())
        for name, team in teams.items():
            if used[name] * weight > total * team.weight * (1 + ROUNDING):
                over.add((pool, name))
    return over


def _pool_use(placer: Placer, pool: str, team: str) -> float:
    row = placer.team_usage.by_pool(placer).get(pool, {}).get(team)
    return row[0] if row is not None else 0.0
