"""Attributes crashes of workers to tasks, and limits how many a task may cause.

A crash is the end of a worker's incarnation without notice. It reports no ends of
runs, so the runs that were present are all that is known about its cause. A task that
crashes its worker does so as a rule when it starts: the candidates are the runs that
had not survived their start, or all runs if each had. Of these, the tasks that have
been suspected most are the suspects. The members of a gang count as one.

A start that a silent worker has not answered need not have arrived, so its task is no
candidate.

A suspect starts again on a worker on which no other suspect is starting, if possible
one on which nothing is starting, and nothing else is started there until it has
survived, so that the next crash has one candidate only and few victims. Lasting tasks
that have survived their starts need not wait for that: any of several may have caused
the crash, none at its start, and their callers count each second without them. They
start apart where there is room, and beside each other where there is not.

A task that is the only candidate of its second crash is given up, unless workers crash
so often by themselves that the crashes may well have met the task by chance.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import structlog

from ..util.coincidence import (
    MAX_COINCIDENCE,
    coincidence,
    crash_rate,
)
from .fleet import PROBATION_S
from .model import JobState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Slot, Worker
    from .model import Step, TaskKey, WorkerEntry
    from .placer import Placer
    from .progress import Progress
    from .taskstates import TaskState

logger = structlog.get_logger(__name__)

# Crashes at the start of a task after which it is given up, if it was the only
# candidate of the last. One may be a coincidence on a day on which many workers crash.
MAX_START_CRASHES = 2
# Crashes with any candidates after which a task is given up: one that crashes its
# workers late is never the only candidate if others keep running beside it.
MAX_CRASHES = 4
# A run that its worker has carried for this long clears its task.
CLEAR_S = 30.0
# Workers that stop answering within this time of each other may have one cause, such as
# a rack without power. If more than this number without a starting suspect do, or more
# than this fraction of all workers, no single task is to blame.
TOGETHER_S = 0.1
MAX_TOGETHER = 2
MAX_TOGETHER_FRACTION = 0.15
# Workers remembered after their leases have lapsed; beyond it, the oldest is dropped.
MAX_LAPSED = 1000
# Largest usual run time of a task as a multiple of the declared one, a rough estimate.
RUN_TIME_FACTOR = 5.0
# Shortest time after a start for which a crash is counted as one at that start: answers
# arrive with some delay.
MIN_EXPOSURE_S = 0.05


class _Suspect(NamedTuple):
    """Task, or all tasks of a gang, that may have crashed a worker.

    Parameters
    ----------
    exposed_s : float, seconds
        How long its run had been present at most when the worker ended.
    """

    progress: Progress
    key: TaskKey
    tasks: list[TaskState]
    exposed_s: float

    @property
    def n_crashes(self) -> int:
        return max(task.n_crashes for task in self.tasks)

    @property
    def n_start_crashes(self) -> int:
        return max(task.n_start_crashes for task in self.tasks)

    @property
    def start_exposure_s(self) -> float:
        return max(task.start_exposure_s for task in self.tasks)


@dataclass(frozen=True, slots=True)
class Evidence:
    """Runs on a worker that did not end there.

    Parameters
    ----------
    worker_id : str
        The worker.
    incarnation : int
        Its incarnation that carried the runs.
    candidates : list
        Tasks that had not survived their start. If each had, all tasks, unless several
        workers stopped answering together.
    n_starting, n_present : int
        Number of runs that had not survived their start, and of all runs.
    is_conclusive : bool
        Whether a single candidate is to blame. It is not if all runs had survived their
        start, if a run of an earlier term was not seen in this one, or if several
        workers stopped answering together.
    """

    worker_id: str
    incarnation: int
    candidates: list[_Suspect]
    n_starting: int
    n_present: int
    is_conclusive: bool


def record_crash(placer: Placer, worker: Worker, now: float) -> list[_Suspect]:
    """Count the crash of a worker against the tasks that may have caused it.

    Returns
    -------
    given_up : list
        Tasks to pass to `give_up` once the runs of the worker are released.
    """
    lapsed = placer.lapsed.pop(worker.entry.address, None)
    if not worker.slots and lapsed is not None:
        return _count(placer, lapsed, now)
    return _count(placer, _gather(placer, worker, now), now)


def record_inherited_crashes(
    placer: Placer, worker: Worker, absent: Iterable[Slot], now: float
) -> list[_Suspect]:
    """Count the crashes of earlier incarnations that an earlier term sent runs to.

    Which of the runs had survived their start is not known, so none is to blame alone.

    Parameters
    ----------
    absent : iterable of Slot
        Runs that the worker does not list.

    Returns
    -------
    given_up : list
        Tasks to pass to `give_up` once the runs are released.
    """
    ended: dict[int, list[Slot]] = {}
    for slot in absent:
        if slot.is_unseen and 0 < slot.incarnation < worker.entry.incarnation:
            ended.setdefault(slot.incarnation, []).append(slot)
    given_up = []
    for incarnation, slots in ended.items():
        candidates = _candidates(placer, worker, slots, math.inf)
        evidence = Evidence(
            worker.worker_id, incarnation, candidates, 0, len(slots), False
        )
        given_up += _count(placer, evidence, now)
    return given_up


def _add_suspect(
    suspects: dict[tuple[object, ...], _Suspect],
    progress: Progress,
    key: TaskKey,
    task: TaskState,
    exposed_s: float,
) -> None:
    """Add a task to the suspects, each gang once."""
    if progress.job.steps[key.step].gang:
        step_run = progress.step_run(key.occurrence, key.step)
        suspects[key[:3]] = _Suspect(progress, key, list(step_run.tasks), exposed_s)
    else:
        suspects[key] = _Suspect(progress, key, [task], exposed_s)


def record_lapse(placer: Placer, worker: Worker, now: float) -> None:
    """Remember the runs of a worker whose leases have lapsed.

    Whether it crashed shows only once another process answers at its address.
    """
    if not worker.slots or worker.entry.draining:
        return
    placer.lapsed.pop(worker.entry.address, None)
    placer.lapsed[worker.entry.address] = _gather(placer, worker, now)
    while len(placer.lapsed) > MAX_LAPSED:
        del placer.lapsed[next(iter(placer.lapsed))]


def record_registration(placer: Placer, entry: WorkerEntry, now: float) -> None:
    """Count the crash of a lapsed worker if a later one registers its address."""
    lapsed = placer.lapsed.get(entry.address)
    if lapsed is None or entry.incarnation <= lapsed.incarnation:
        return
    del placer.lapsed[entry.address]
    give_up(placer, _count(placer, lapsed, now), now)


def starts_apart(step: Step, task: TaskState) -> bool:
    """Return whether nothing may start beside a task until it has survived.

    Parameters
    ----------
    step : Step
        Step of the task.
    """
    if step.long_running and not step.gang:
        return task.n_start_crashes > 0
    return task.n_crashes > 0


def give_up(placer: Placer, suspects: Iterable[_Suspect], now: float) -> None:
    """Fail the jobs of tasks that have crashed too many workers."""
    for progress, key, tasks, _ in suspects:
        placer.counts["given_up"] += 1
        placer.fail_job(progress, key, tasks[0], now)
        placer.retire(progress)


def clear_survivor(placer: Placer, worker: Worker, slot: Slot, clock_ms: int) -> None:
    """Clear the task of a suspected run that has survived.

    Parameters
    ----------
    clock_ms : int, milliseconds
        Worker's clock when it listed the run.
    """
    ran_s = (clock_ms - slot.present_ms) / 1000
    progress = placer.jobs.get(slot.key.job_id)
    task = progress.task(slot.key) if progress is not None else None
    if ran_s < PROBATION_S or progress is None or task is None:
        return
    if task.n_start_crashes:
        task.n_start_crashes, task.start_exposure_s = 0, 0.0
        placer.mark_dirty(progress)
    if ran_s >= CLEAR_S:
        task.n_crashes = 0
        worker.clear_suspect(slot)
        placer.mark_dirty(progress)


def _gather(placer: Placer, worker: Worker, now: float) -> Evidence:
    present = [slot for slot in worker.slots.values() if _was_present(worker, slot)]
    # Until it is noticed that a worker does not answer, its runs may have gone on.
    ended_by = now if worker.reachable else worker.silent_at
    seen = [slot for slot in present if not slot.is_unseen]
    starting = [slot for slot in seen if slot.on_probation(ended_by)]
    alone = not _is_one_of_many(placer, worker)
    slots = starting or present if alone else starting
    return Evidence(
        worker.worker_id,
        worker.entry.incarnation,
        _candidates(placer, worker, slots, ended_by),
        len(starting),
        len(present),
        bool(starting) and len(seen) == len(present) and alone,
    )


def _was_present(worker: Worker, slot: Slot) -> bool:
    """Return whether a run may have been present when its worker ended.

    A start that was not answered counts only if the worker closed its connections: it
    was alive until then, while a silent worker may have been gone before the start.
    """
    if not slot.sent:
        return False
    return slot.present_at > 0 or slot.is_unseen or worker.has_closed


def _is_one_of_many(placer: Placer, worker: Worker) -> bool:
    """Return whether so many workers stopped answering that no task is to blame.

    Suspects of crashes at about the same time start again at about the same time, so a
    few workers with a starting suspect each may crash together.
    """
    at = worker.silent_at
    together = [
        has_suspect
        for other, has_suspect in placer.silent_times
        if abs(other - at) < TOGETHER_S
    ]
    n_unexplained = len(together) - sum(together)
    limit = max(MAX_TOGETHER, MAX_TOGETHER_FRACTION * len(placer.workers))
    return n_unexplained > MAX_TOGETHER or len(together) > limit


def _candidates(
    placer: Placer, worker: Worker, slots: Iterable[Slot], ended_by: float
) -> list[_Suspect]:
    """Return the tasks of the current runs among some slots, each gang once."""
    candidates: dict[tuple[object, ...], _Suspect] = {}
    for slot in slots:
        key = slot.key
        progress = placer.jobs.get(key.job_id)
        task = progress.task(key) if progress is not None else None
        if progress is None or task is None:
            continue
        if (task.worker, task.run) != (worker.worker_id, slot.run):
            continue
        began_at = slot.present_at or slot.started_at
        _add_suspect(candidates, progress, key, task, ended_by - began_at)
    return list(candidates.values())


def _count(placer: Placer, evidence: Evidence, now: float) -> list[_Suspect]:
    """Count a crash; return the tasks that have caused too many."""
    live = [item for item in evidence.candidates if _is_live(placer, item, evidence)]
    n_crashes = max((item.n_crashes for item in live), default=0)
    suspects = [item for item in live if item.n_crashes == n_crashes]
    blamed = evidence.is_conclusive and len(evidence.candidates) == 1
    for suspect in suspects:
        n_start_crashes = suspect.n_start_crashes
        start_exposure_s = suspect.start_exposure_s
        if evidence.n_starting:
            n_start_crashes += 1
            start_exposure_s = max(start_exposure_s, suspect.exposed_s)
        for task in suspect.tasks:
            suspect.progress.set_crashes(task, n_crashes + 1, n_start_crashes)
            task.start_exposure_s = start_exposure_s
        placer.mark_dirty(suspect.progress)
    placer.counts["worker_crashes"] += 1
    by_chance = [_coincidence(placer, suspect, now) for suspect in suspects]
    logger.info(
        "worker crashed",
        worker=evidence.worker_id,
        life=evidence.incarnation,
        suspects=[(item.key.job_id, *item.key[1:]) for item in suspects],
        crashes=n_crashes + bool(suspects),
        blamed=blamed and bool(suspects),
        starting=evidence.n_starting,
        present=evidence.n_present,
        coincidence=f"{min(by_chance, default=1.0):.1e}",
    )
    return [item for item in suspects if _is_given_up(placer, item, blamed, now)]


def _is_given_up(placer: Placer, suspect: _Suspect, blamed: bool, now: float) -> bool:
    """Return whether a task has caused too many crashes to start again."""
    enough = blamed and suspect.n_start_crashes >= MAX_START_CRASHES
    if not enough and suspect.n_crashes < MAX_CRASHES:
        return False
    return _coincidence(placer, suspect, now) < MAX_COINCIDENCE


def _coincidence(placer: Placer, suspect: _Suspect, now: float) -> float:
    """Return the probability that a task meets its crashes without causing any."""
    n_late_crashes = suspect.n_crashes - suspect.n_start_crashes
    # A crash while a suspect was starting is taken to be that suspect's.
    unexplained = [at for at, has_suspect in placer.silent_times if not has_suspect]
    rate = crash_rate(
        unexplained,
        len(placer.workers),
        now,
        placer.begun_at,
        n_excepted=max(1, n_late_crashes),
    )
    step = suspect.progress.job.steps[suspect.key.step]
    run_s = CLEAR_S if step.long_running else RUN_TIME_FACTOR * step.run_time_s
    start_s = min(PROBATION_S, max(MIN_EXPOSURE_S, suspect.start_exposure_s))
    return coincidence(
        rate * len(suspect.tasks),
        [
            (start_s, suspect.n_start_crashes),
            (max(PROBATION_S, min(CLEAR_S, run_s)), n_late_crashes),
        ],
    )


def _is_live(placer: Placer, suspect: _Suspect, evidence: Evidence) -> bool:
    """Return whether a task may start again and has not survived elsewhere since."""
    progress, key = suspect.progress, suspect.key
    task = progress.task(key)
    if task is None or task.done or progress.cancelled:
        return False
    if progress.state is JobState.FAILED or key.job_id not in placer.jobs:
        return False
    if task.worker == evidence.worker_id and task.incarnation == evidence.incarnation:
        return True
    worker = placer.workers.get(task.worker)
    slot = worker.slots.get((key, task.run)) if worker is not None else None
    if worker is None or slot is None or not worker.reachable:
        return True
    return slot.on_probation(worker.heard_at)
