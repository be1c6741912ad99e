"""What each team has running, and how much more its cap admits.

All capacity that a run of a team may hold counts: runs that are being stopped, starts
of unknown outcome, runs on workers out of reach, runs that an earlier term assigned to
workers that have not registered in this one, and tasks that were stopped to be moved
and have not started again. The sums are made anew for each decision, so that no event
that was missed makes them drift.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..model import NO_RESOURCES, Resources
from .waits import TeamCounts, WaitCause, WaitReason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .fleet import Slot
    from .model import TaskKey, Team
    from .placer import Placer
    from .progress import Progress, StepRun

UNLIMITED = 1 << 30  # tasks; more than all steps have
# After this time since its job was accepted, a gang that waits has its part of the cap
# kept for it: the smaller steps of its team would fill what becomes free.
GANG_WAIT_S = 5.0
# A team that uses less than this fraction of its cap is never held back for a gang.
OPEN_FRACTION = 0.5
# Tolerance for the rounding of sums, as a fraction of a cap.
ROUNDING = 1e-9


class TeamAmounts(NamedTuple):
    """Amounts of the resources that have a cap."""

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    def plus(self, need: Resources, n_tasks: int = 1) -> TeamAmounts:
        """Return the amounts with those of some tasks added."""
        return TeamAmounts(
            self.cores + n_tasks * need.cores,
            self.memory_mb + n_tasks * need.memory_mb,
            self.accelerators + n_tasks * need.accelerators,
        )


NOTHING = TeamAmounts()


class KeptPart(NamedTuple):
    """Part of a team's cap that is kept for a gang.

    Parameters
    ----------
    since : float, seconds
        Wall-clock time at which the job of the gang was accepted or became due.
    step : str
        Name of the step.
    cap : Resources
        What the other steps of the team may use together.
    """

    since: float
    step: str
    cap: Resources


@dataclass(eq=False, slots=True)
class TeamUsage:
    """Usage of all teams in one decision.

    It is summed when it is first needed; without a team with a cap it never is.

    Parameters
    ----------
    moving : dict
        Tasks that were stopped to be moved and have not started again; they keep their
        part of the cap.
    kept : dict of str to KeptPart
        What is kept for gangs, by team: for the one that has waited for longest.
    """

    moving: dict[TaskKey, Resources] = field(default_factory=dict)
    kept: dict[str, KeptPart] = field(default_factory=dict)
    # Amounts in the order of `TeamAmounts`, by pool and team; lists, since building
    # thousands of tuples takes as long as the sums.
    _pools: defaultdict[str, dict[str, list[float]]] | None = None

    def n_admitted(
        self, placer: Placer, step_run: StepRun, freed: TeamAmounts = NOTHING
    ) -> int:
        """Return how many more tasks of a step the cap of its team admits now.

        Parameters
        ----------
        freed : TeamAmounts, optional
            Amounts that the team will no longer use when the tasks start.
        """
        cap = _cap_of(placer, step_run)
        if cap is None:
            return UNLIMITED
        used = self.used_for(placer, step_run)
        if freed is not NOTHING:
            used = TeamAmounts(*(a - b for a, b in zip(used, freed, strict=True)))
        step, n_tasks = step_run.step, _n_within(cap, used, step_run.step.need)
        kept = self._kept_from(step_run)
        if kept is None:
            return n_tasks
        n_least = min(n_tasks, step.n_tasks if step.gang else 1)
        if not _is_below(OPEN_FRACTION, cap, used):
            n_least = 0
        return max(n_least, min(n_tasks, _n_within(kept.cap, used, step.need)))

    def _kept_from(self, step_run: StepRun) -> KeptPart | None:
        """Return what a step leaves to a gang of its team."""
        team = step_run.job.team
        kept = self.kept.get(team.name) if self.kept and team is not None else None
        return None if kept is None or kept.step == step_run.name else kept

    def keep_part(self, placer: Placer, step_run: StepRun, wall: float) -> None:
        """Keep a part of the cap for a gang that has waited for long.

        None is kept for a gang that waits for something else: the cap admits it, its
        wait was last explained otherwise, and no places are reserved for it either.

        Parameters
        ----------
        wall : float, seconds
            Current wall-clock time.
        """
        job, step = step_run.job, step_run.step
        cap = _cap_of(placer, step_run)
        since = max(job.accepted_at, job.due_at(step_run.occurrence))
        if cap is None or job.team is None or wall - since < GANG_WAIT_S:
            return
        if _n_within(cap, NOTHING, step.need) < step.n_tasks:
            return  # it never starts
        cause = step_run.wait.cause
        waits_for_cap = cause is not None and cause.reason is WaitReason.TEAM_CAP
        if not waits_for_cap and step_run.name not in placer.reservations:
            used = self.used_for(placer, step_run)
            if _n_within(cap, used, step.need) >= step.n_tasks:
                return
        if placer.shares.is_surplus(placer, job, wall):
            return
        earlier = self.kept.get(job.team.name)
        if earlier is not None and earlier[:2] <= (since, step_run.name):
            return
        need = NOTHING.plus(step.need, step.n_tasks)
        left = Resources(
            max(OPEN_FRACTION * cap.cores, cap.cores - need.cores),
            max(OPEN_FRACTION * cap.memory_mb, cap.memory_mb - need.memory_mb),
            max(OPEN_FRACTION * cap.accelerators, cap.accelerators - need.accelerators),
        )
        self.kept[job.team.name] = KeptPart(since, step_run.name, left)

    def limit(
        self,
        placer: Placer,
        step_run: StepRun,
        n_tasks: int,
        freed: TeamAmounts = NOTHING,
    ) -> int:
        """Return how many of some tasks of a step the cap of its team admits now.

        That is 0 for a gang that it does not admit as a whole.
        """
        if step_run.job.team is None:
            return n_tasks
        n_admitted = self.n_admitted(placer, step_run, freed)
        if step_run.step.gang:
            return n_tasks if n_admitted >= step_run.step.n_tasks else 0
        return min(n_tasks, n_admitted)

    def used_for(self, placer: Placer, step_run: StepRun) -> TeamAmounts:
        """Return what the team of a step uses, without what is kept for its moves."""
        team = step_run.job.team
        if team is None:
            return NOTHING
        used = self.used(placer, team.name)
        for key, need in self.moving.items():
            if key.step_name == step_run.name:
                used = used.plus(need, -1)
        return used

    def used(self, placer: Placer, team: str) -> TeamAmounts:
        """Return what a team uses in all pools."""
        cores = memory_mb = accelerators = 0.0
        for sums in self.by_pool(placer).values():
            row = sums.get(team)
            if row is not None:
                cores += row[0]
                memory_mb += row[1]
                accelerators += row[2]
        return TeamAmounts(cores, memory_mb, accelerators)

    def by_team(self, placer: Placer) -> dict[str, TeamAmounts]:
        """Return what each team uses in all pools."""
        totals: dict[str, list[float]] = {}
        for sums in self.by_pool(placer).values():
            for team, row in sums.items():
                total = totals.setdefault(team, [0.0, 0.0, 0.0])
                for index, amount in enumerate(row):
                    total[index] += amount
        return {team: TeamAmounts(*total) for team, total in totals.items()}

    def by_pool(self, placer: Placer) -> dict[str, dict[str, list[float]]]:
        """Return the amounts that teams use, by pool and team.

        Those of runs that were placed in this decision are under an empty name.
        """
        if self._pools is None:
            self._pools = self._sum(placer)
        return self._pools

    def add(self, slot: Slot) -> None:
        """Add a run that was placed in this decision."""
        if self._pools is None or not slot.team:
            return
        _add(self._pools[""], slot.team, slot.need)
        moved = self.moving.pop(slot.key, None)
        if moved is not None:
            _add(self._pools[""], slot.team, NO_RESOURCES - moved)

    def turn_order(self, placer: Placer, step_runs: list[StepRun]) -> list[str]:
        """Return the names of waiting steps in the order in which they get a turn.

        Those that a cap admits only if the team's steps before them do not start come
        last. Otherwise the many steps of a team that is about to reach its cap would
        take the turns of others.
        """
        if self._pools is None:
            return [step_run.name for step_run in step_runs]
        first, last = [], []
        planned: dict[str, TeamAmounts] = {}
        for step_run in step_runs:
            cap, team = _cap_of(placer, step_run), step_run.job.team
            if cap is None or team is None:
                first.append(step_run.name)
                continue
            step = step_run.step
            used = planned.get(team.name)
            if used is None:
                used = self.used_for(placer, step_run)
            n_tasks = min(_n_within(cap, used, step.need), step_run.n_waiting)
            if n_tasks < (step.n_tasks if step.gang else 1):
                last.append(step_run.name)
                continue
            first.append(step_run.name)
            planned[team.name] = used.plus(step.need, n_tasks)
        return first + last

    def explain(
        self, placer: Placer, step_run: StepRun, n_wanted: int
    ) -> WaitCause | None:
        """Return why a step waits if that is the cap of its team, otherwise None."""
        team = placer.table.team(step_run.job)
        if team is None or self.limit(placer, step_run, n_wanted):
            return None
        step = step_run.step
        n_needed = step.n_tasks if step.gang else 1
        fits = _n_within(team.cap, NOTHING, step.need) >= n_needed
        reason = WaitReason.TEAM_CAP if fits else WaitReason.OVER_TEAM_CAP
        return WaitCause(reason, n_wanted, self._counts(placer, team))

    def _counts(self, placer: Placer, team: Team) -> TeamCounts:
        used = self.used(placer, team.name)
        return TeamCounts(
            team.name,
            round(used.cores, 3),
            round(used.memory_mb, 1),
            round(used.accelerators, 3),
            team.cap.cores,
            team.cap.memory_mb,
            team.cap.accelerators,
        )

    def _sum(self, placer: Placer) -> defaultdict[str, dict[str, list[float]]]:
        """Return what each team uses, from the state of the placer."""
        pools: defaultdict[str, dict[str, list[float]]] = defaultdict(dict)
        for worker in placer.workers.values():
            sums = pools[worker.entry.pool]
            for slot in worker.slots.values():
                if slot.team:
                    _add(sums, slot.team, slot.need)
        for pool, team, need in _not_adopted(placer):
            _add(pools[pool], team, need)
        self.moving = {}
        for pool, team, key, need in _moving(placer):
            self.moving[key] = need
            _add(pools[pool], team, need)
        return pools


def _cap_of(placer: Placer, step_run: StepRun) -> Resources | None:
    """Return the cap of the team of a step, None without a limit."""
    job = step_run.job
    if job.team is None:
        return None
    team = placer.table.team(job)
    return team.cap if team is not None and has_cap(team) else None


def has_cap(team: Team) -> bool:
    """Return whether the cap of a team limits any resource."""
    cap = team.cap
    return cap.cores > 0 or cap.memory_mb > 0 or cap.accelerators > 0


def _n_within(cap: Resources, used: TeamAmounts, need: Resources) -> int:
    """Return how many more tasks a cap admits; 0 if any usage is above it already."""
    n_tasks = UNLIMITED
    for limit, taken, amount in (
        (cap.cores, used.cores, need.cores),
        (cap.memory_mb, used.memory_mb, need.memory_mb),
        (cap.accelerators, used.accelerators, need.accelerators),
    ):
        if limit <= 0:
            continue
        left = limit - taken + ROUNDING * limit
        if left < 0:
            return 0
        if amount > 0:
            n_tasks = min(n_tasks, int(left // amount))
    return n_tasks


def _is_below(fraction: float, cap: Resources, used: TeamAmounts) -> bool:
    """Return whether each usage is below a fraction of its cap."""
    return all(
        limit <= 0 or taken < fraction * limit
        for limit, taken in (
            (cap.cores, used.cores),
            (cap.memory_mb, used.memory_mb),
            (cap.accelerators, used.accelerators),
        )
    )


def _add(sums: dict[str, list[float]], team: str, need: Resources) -> None:
    row = sums.get(team)
    if row is None:
        sums[team] = [need.cores, need.memory_mb, need.accelerators]
        return
    row[0] += need.cores
    row[1] += need.memory_mb
    row[2] += need.accelerators


def _not_adopted(placer: Placer) -> Iterator[tuple[str, str, Resources]]:
    """Yield the runs on workers that have not registered in this term."""
    for key, task in placer.not_adopted.items():
        progress = placer.jobs.get(key.job_id)
        if progress is None or progress.job.team is None:
            continue
        step = progress.job.steps[key.step]
        worker = placer.workers.get(task.worker)
        if worker is not None and (key, task.run) in worker.slots:
            continue
        # The first end of a gang's member completes all, though others may still run.
        if task.worker or step.gang:
            yield _pool_of(placer, progress), progress.job.team.name, step.need


def _moving(placer: Placer) -> Iterator[tuple[str, str, TaskKey, Resources]]:
    """Yield the tasks whose run has ended for a move and that have no new one."""
    for key, move in placer.moves.items():
        progress = placer.jobs.get(key.job_id)
        if progress is None or progress.job.team is None or progress.cancelled:
            continue
        task = progress.task(key)
        if progress.has_ended or task is None:
            continue
        if task.run == move.run and not task.worker and not task.done:
            pool = _pool_of(placer, progress)
            yield pool, progress.job.team.name, key, move.need


def _pool_of(placer: Placer, progress: Progress) -> str:
    queue = placer.queue_of(progress)
    return queue.pool if queue is not None else ""
