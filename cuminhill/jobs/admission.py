"""Admission of new jobs: which ones a VM refuses before anything is stored.

A team is entitled to service for as many jobs per second as its weight. While a pool is
under pressure, jobs of a team beyond that are refused. Every VM decides from its own
index of the journal, in which it reads what all VMs have accepted.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import Counter
from dataclasses import InitVar, dataclass, field
from enum import StrEnum
from itertools import accumulate
from typing import TYPE_CHECKING, Any, NamedTuple

from .jobload import MAX_PLACER_SILENCE_S, RECENT_S, RecentCounts
from .ordering import objective_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .jobload import JobLoad
    from .model import Job, Queue, QueueTable, Team

# An index that is older says too little about the load.
MAX_INDEX_AGE_S = 2.0
# With slower appends, waits in the index show the journal and not the pool. Besides, an
# earlier submission of the same job may still be on its way through another VM.
MAX_LATENCY_S = 0.5
# A job is late once it has waited for this part of the constant part of its queue's
# objective, within bounds: a few seconds are no sign of pressure where work is patient,
# and under 2 s a job may wait for advice or for a change of the placer.
LATE_FRACTION = 0.5
MIN_LATE_S, MAX_LATE_S = 2.0, 10.0
# A pool is under pressure with this many late jobs: single ones are late in an idle
# pool as well, for a label or for a gang's places.
MIN_LATE_JOBS = 5
# Rate at which a team of weight 0 may submit under pressure, in jobs per second. No job
# should wait for longer than 30 s because of shares alone.
MIN_RATE = 1 / 30
MAX_RETRY_AFTER_S = 30
# Refusals for a team have ceased if there was none for this time.
CEASE_S = 5.0
_TOLERANCE = 1e-6


class Reason(StrEnum):
    """Why a job is refused."""

    SURPLUS = "surplus"
    # The index is old and the VM alone has accepted as many jobs as the team's weight.
    OLD_INDEX = "old_index"
    BACKLOG = "backlog"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Decision not to accept a job.

    Parameters
    ----------
    retry_after_s : int, seconds
        Estimate of the time after which the job would be accepted; at least 1.
    """

    reason: Reason
    retry_after_s: int


@dataclass(frozen=True, slots=True)
class IndexState:
    """How far a VM's index can be relied on.

    Parameters
    ----------
    age_s : float, seconds
        Time since the newest complete read of the journal was sent.
    latency_s : float, seconds
        Mean time of an append to the journal.
    n_vms : int
        Number of VMs that accept jobs.
    """

    age_s: float = 0.0
    latency_s: float = 0.0
    n_vms: int = 1


@dataclass(frozen=True, slots=True)
class RefusalChange:
    """Begin or end of refusals for a team.

    Parameters
    ----------
    begins : bool
        Whether refusals begin.
    n_refused : int
        Number of refusals since they began.
    lasted_s : float, seconds
        Time from the first to the last of them.
    """

    team: str
    reason: Reason
    begins: bool
    n_refused: int = 0
    lasted_s: float = 0.0


@dataclass(slots=True)
class _Bucket:
    """Token bucket without debt.

    Parameters
    ----------
    used : float
        Tokens in use.
    at : float, seconds
        Time of that number.
    """

    used: float = 0.0
    at: float = 0.0

    def used_at(self, rate: float, now: float) -> float:
        """Return the number of tokens in use at a time."""
        return max(0.0, self.used - rate * (now - self.at))

    def take(self, rate: float, size: float, now: float) -> None:
        """Take a token if there is one; a job that finds none takes none later."""
        used = self.used_at(rate, now)
        if used + 1 <= size + _TOLERANCE:
            used += 1
        self.used, self.at = used, now


@dataclass(slots=True)
class _Refusals:
    reason: Reason
    begun_at: float
    newest_at: float
    n_refused: int = 0


class QueueLoad(NamedTuple):
    """A queue with jobs that wait or were placed in the last `RECENT_S` seconds."""

    queue: Queue
    n_waiting: int
    n_placed: int


@dataclass(eq=False)
class PoolBacklog:
    """Jobs of one pool that wait, and those that were placed lately.

    Parameters
    ----------
    loads : iterable of QueueLoad
        The pool's queues with such jobs.
    """

    loads: InitVar[Iterable[QueueLoad]]
    n_placed: int = 0
    # Priorities with waiting jobs, and the number of jobs before each and in all.
    _priorities: list[int] = field(init=False)
    _n_before: list[int] = field(init=False)

    def __post_init__(self, loads: Iterable[QueueLoad]) -> None:
        waiting: Counter[int] = Counter()
        for load in loads:
            waiting[load.queue.priority] += load.n_waiting
            self.n_placed += load.n_placed
        self._priorities = sorted(waiting)
        counts = (waiting[priority] for priority in self._priorities)
        self._n_before = [0, *accumulate(counts)]

    def wait_s(self, queue: Queue, n_waiting: int) -> float:
        """Return how long a new job is expected to wait, in seconds.

        Without a placement in the last seconds, one is assumed for that time.

        Parameters
        ----------
        n_waiting : int
            Jobs of the same queue that wait.
        """
        n_urgent = self._n_before[bisect_left(self._priorities, queue.priority)]
        return (n_urgent + n_waiting) * RECENT_S / max(1, self.n_placed)


def tokens_used(events: Sequence[tuple[float, int]], rate: float, now: float) -> float:
    """Return how much of a token bucket is in use after some events.

    It may exceed the bucket, since other VMs accept jobs of which this one reads later.

    Parameters
    ----------
    events : sequence of (float, int)
        Times, in seconds and in order, and numbers of jobs.
    rate : float
        Jobs per second.
    """
    level, last_at = 0.0, now
    for at, n in events:
        level = max(0.0, level - rate * max(0.0, at - last_at)) + n
        last_at = at
    return max(0.0, level - rate * max(0.0, now - last_at))


def bucket_size(weight: float) -> float:
    """Return the burst that a team may submit: one second's worth, at least one job."""
    return max(1.0, weight)


@dataclass(eq=False)
class Admission:
    """Decides on new jobs.

    Parameters
    ----------
    load : JobLoad
        Counters of the journal.
    max_wait_factor : float
        Jobs whose estimated wait is longer than this multiple of their objective are
        refused; 0 refuses none for that reason.
    refused : Counter
        Number of refusals by reason and team.
    """

    load: JobLoad
    max_wait_factor: float = 0.0
    refused: Counter[tuple[Reason, str]] = field(default_factory=Counter)
    # Jobs of each team that this VM has accepted, and those of them whose append has
    # not ended, so that they are not in the index yet.
    _own: RecentCounts = field(default_factory=RecentCounts)
    _pending: Counter[str] = field(default_factory=Counter)
    # This VM's part of each team's rate.
    _parts: dict[str, _Bucket] = field(default_factory=dict)
    _recent_refusals: RecentCounts = field(default_factory=RecentCounts)
    _refusals: dict[str, _Refusals] = field(default_factory=dict)
    _changes: list[RefusalChange] = field(default_factory=list)
    # Bounds of late jobs, and what they were made for.
    _bounds_s: dict[str, float] = field(default_factory=dict)
    _bounds_table: QueueTable | None = None
    _bounds_latency_s: float = 0.0

    def decide(
        self, job: Job, table: QueueTable, state: IndexState, now: float
    ) -> Refusal | None:
        """Return why a new job is refused, None if it is accepted."""
        queue = table.queues.get(job.queue)
        if queue is None:
            return None
        team = table.team(job) if table.teams is not None else None
        if not self._is_current(state, now):
            return None if team is None else self._decide_alone(team, now)
        if team is not None:
            refusal = self._decide_surplus(team, queue, table, state, now)
            if refusal is not None:
                return refusal
        return self._decide_backlog(job, queue, table, now)

    def begin_append(
        self, job: Job, table: QueueTable, state: IndexState, now: float
    ) -> None:
        """Note that an accepted job is about to be stored."""
        team = table.team(job)
        if team is None:
            return
        self._own.add(team.name, now)
        self._pending[team.name] += 1
        rate = _rate(team) / state.n_vms
        part = self._parts.setdefault(team.name, _Bucket())
        part.take(rate, bucket_size(rate), now)

    def end_append(self, job: Job) -> None:
        """Note that the append of an accepted job has ended, with any outcome."""
        if job.team is not None:
            self._pending[job.team.name] -= 1
            if not self._pending[job.team.name]:
                del self._pending[job.team.name]

    def note_refusal(self, job: Job, refusal: Refusal, now: float) -> None:
        """Count a refusal."""
        team = job.team.name if job.team is not None else ""
        self.refused[refusal.reason, team] += 1
        self._recent_refusals.add(team, now)
        refusals = self._refusals.get(team)
        if refusals is None:
            refusals = self._refusals[team] = _Refusals(refusal.reason, now, now)
            self._changes.append(RefusalChange(team, refusal.reason, begins=True))
        refusals.newest_at = now
        refusals.n_refused += 1

    def pop_changes(self, now: float) -> list[RefusalChange]:
        """Return for which teams refusals have begun or ceased since the last call."""
        for team, item in list(self._refusals.items()):
            if now - item.newest_at > CEASE_S:
                del self._refusals[team]
                lasted_s = item.newest_at - item.begun_at
                self._changes.append(
                    RefusalChange(team, item.reason, False, item.n_refused, lasted_s)
                )
        changes, self._changes = self._changes, []
        return changes

    def estimated_wait_s(self, queue: Queue, table: QueueTable, now: float) -> float:
        """Return how long a new job of a queue is expected to wait, in seconds."""
        loads = [
            load
            for load in self._queue_loads(table, now)
            if load.queue.pool == queue.pool
        ]
        return PoolBacklog(loads).wait_s(queue, self.load.n_waiting.get(queue.name, 0))

    def _queue_loads(self, table: QueueTable, now: float) -> list[QueueLoad]:
        """Return the queues of the configuration that have jobs.

        The others are not looked at: there may be thousands.
        """
        loads = []
        placed = self.load.placed
        for name in self.load.n_waiting.keys() | placed.keys():
            queue = table.queues.get(name)
            n_waiting, n_placed = self.load.n_waiting[name], placed.total(name, now)
            if queue is not None and (n_waiting or n_placed):
                loads.append(QueueLoad(queue, n_waiting, n_placed))
        return loads

    def _estimated_waits_s(self, table: QueueTable, now: float) -> dict[str, float]:
        """Return the expected waits of new jobs by queue, of the queues with jobs."""
        by_pool: dict[str, list[QueueLoad]] = {}
        for load in self._queue_loads(table, now):
            by_pool.setdefault(load.queue.pool, []).append(load)
        waits = {}
        for loads in by_pool.values():
            backlog = PoolBacklog(loads)
            for queue, n_waiting, _ in loads:
                waits[queue.name] = round(backlog.wait_s(queue, n_waiting), 2)
        return waits

    def is_under_pressure(
        self,
        pool: str,
        table: QueueTable,
        state: IndexState,
        now: float,
        team: str,
    ) -> bool:
        """Return whether a pool is under pressure as far as a team is concerned.

        Late jobs of one other team do not count, the one with the most of them: they
        may all wait because that team has reached its cap.
        """
        by_team = self._late_jobs(pool, table, state, now)
        n_late = by_team.total()
        others = [n for name, n in by_team.items() if name != team]
        return n_late - max(others, default=0) >= MIN_LATE_JOBS

    def dump(self, table: QueueTable, now: float) -> dict[str, Any]:
        """Return the state as a JSON-serialisable dict.

        Waits are listed for the queues with jobs that wait or were placed lately.
        """
        refused: dict[str, dict[str, int]] = {}
        for (reason, team), n in self.refused.items():
            refused.setdefault(reason, {})[team] = n
        return {
            "refused": refused,
            "refusing": sorted(self._refusals),
            "waiting": dict(self.load.n_waiting),
            "estimated_wait_s": self._estimated_waits_s(table, now),
        }

    def _is_current(self, state: IndexState, now: float) -> bool:
        return (
            state.age_s <= MAX_INDEX_AGE_S
            and state.latency_s <= MAX_LATENCY_S
            and now - self.load.placer_at <= MAX_PLACER_SILENCE_S
        )

    def _decide_alone(self, team: Team, now: float) -> Refusal | None:
        """Decide from what this VM alone has accepted."""
        rate = _rate(team)
        used = tokens_used(self._own.recent(team.name, now), rate, now)
        excess = used + 1 - bucket_size(team.weight)
        if excess <= _TOLERANCE:
            return None
        wait_s = (excess + self._n_refused(team, now)) / rate
        return Refusal(Reason.OLD_INDEX, _whole_s(wait_s))

    def _decide_surplus(
        self,
        team: Team,
        queue: Queue,
        table: QueueTable,
        state: IndexState,
        now: float,
    ) -> Refusal | None:
        """Decide from what all VMs have accepted.

        This VM's part of the rate is always accepted. Otherwise all VMs, which read of
        one another's acceptances with a delay, would accept and refuse in turn.
        """
        rate = _rate(team)
        accepted = self.load.accepted.recent(team.name, now)
        used = tokens_used(accepted, rate, now) + self._pending[team.name]
        excess = used + 1 - bucket_size(team.weight)
        if excess <= _TOLERANCE:
            return None
        part_rate = rate / state.n_vms
        part = self._parts.get(team.name, _Bucket())
        part_excess = part.used_at(part_rate, now) + 1 - bucket_size(part_rate)
        if part_excess <= _TOLERANCE:
            return None
        if not self.is_under_pressure(queue.pool, table, state, now, team.name):
            return None
        n_before = self._n_refused(team, now)
        wait_s = min(
            min(RECENT_S, excess / rate) + n_before / rate,
            (part_excess + n_before) / part_rate,
        )
        return Refusal(Reason.SURPLUS, _whole_s(wait_s))

    def _n_refused(self, team: Team, now: float) -> int:
        """Return how many jobs of a team this VM has refused lately.

        Their callers come back before that of a new one, and need tokens as well.
        """
        return self._recent_refusals.total(team.name, now)

    def _decide_backlog(
        self, job: Job, queue: Queue, table: QueueTable, now: float
    ) -> Refusal | None:
        if not self.max_wait_factor:
            return None
        excess_s = self.estimated_wait_s(queue, table, now)
        excess_s -= self.max_wait_factor * objective_s(job, queue)
        return Refusal(Reason.BACKLOG, _whole_s(excess_s)) if excess_s > 0 else None

    def _late_jobs(
        self, pool: str, table: QueueTable, state: IndexState, now: float
    ) -> Counter[str]:
        """Return the number of late jobs of a pool by team."""
        bounds_s = self._late_bounds_s(table, round(state.latency_s, 1))
        by_team: Counter[str] = Counter()
        for name, counts in self.load.late(bounds_s, now).items():
            if table.queues[name].pool == pool:
                by_team.update(counts)
        return by_team

    def _late_bounds_s(self, table: QueueTable, latency_s: float) -> dict[str, float]:
        """Return the waits of all queues after which jobs are late.

        They are kept, since a configuration may have thousands of queues.
        """
        if self._bounds_table is not table or self._bounds_latency_s != latency_s:
            self._bounds_table, self._bounds_latency_s = table, latency_s
            self._bounds_s = {
                queue.name: _late_after_s(queue) + latency_s
                for queue in table.queues.values()
            }
        return self._bounds_s


def _late_after_s(queue: Queue) -> float:
    return min(MAX_LATE_S, max(MIN_LATE_S, LATE_FRACTION * queue.target_s))


def _rate(team: Team) -> float:
    return max(MIN_RATE, team.weight)


def _whole_s(seconds: float) -> int:
    return max(1, min(MAX_RETRY_AFTER_S, math.ceil(seconds)))
