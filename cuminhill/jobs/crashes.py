"""Attributes crashes of workers to tasks, and limits how many a task may cause.

A crash is the end of a worker's incarnation without notice. It reports no ends of
runs, so the runs that were present are all that is known about its cause. A task that
crashes its worker does so as a rule when it starts: the candidates are the runs that
had not survived their start, or all runs if each had. Of these, the tasks that have
been suspected most are the suspects. The members of a gang count as one.

A suspect starts again on a worker on which no other suspect is starting, if possible
one on which nothing is starting, and nothing else is started there until it has
survived, so that the next crash has one candidate only and few victims. A task that is
the only candidate of its second crash is given up.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import structlog

from .fleet import PROBATION_S
from .model import JobState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Slot, Worker
    from .model import TaskKey, WorkerEntry
    from .placer import Placer
    from .progress import Progress, TaskState

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


class _Suspect(NamedTuple):
    """Task, or all tasks of a gang, that may have crashed a worker."""

    progress: Progress
    key: TaskKey
    tasks: list[TaskState]

    @property
    def n_crashes(self) -> int:
        return max(task.n_crashes for task in self.tasks)

    @property
    def n_start_crashes(self) -> int:
        return max(task.n_start_crashes for task in self.tasks)


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


def record_crash(placer: Placer, worker: Worker) -> list[_Suspect]:
    """Count the crash of a worker against the tasks that may have caused it.

    Returns
    -------
    given_up : list
        Tasks to pass to `give_up` once the runs of the worker are released.
    """
    lapsed = placer.lapsed.pop(worker.entry.address, None)
    if not worker.slots and lapsed is not None:
        return _count(placer, lapsed)
    return _count(placer, _gather(placer, worker))


def record_unseen_crash(
    placer: Placer, life: tuple[str, int], keys: Iterable[TaskKey]
) -> list[_Suspect]:
    """Count the crash of a worker that this term has not reached.

    Which of its runs had survived their start is not known, so none is to blame alone.

    Parameters
    ----------
    life : (str, int)
        Identity and incarnation of the worker.
    keys : iterable of TaskKey
        Tasks whose runs were present there.

    Returns
    -------
    given_up : list
        Tasks to pass to `give_up` once the runs of the worker are released.
    """
    suspects: dict[tuple[object, ...], _Suspect] = {}
    for key in keys:
        progress = placer.jobs.get(key.job_id)
        task = progress.task(key) if progress is not None else None
        if progress is not None and task is not None:
            _add_suspect(suspects, progress, key, task)
    n_present = len(suspects)
    return _count(placer, Evidence(*life, list(suspects.values()), 0, n_present, False))


def _add_suspect(
    suspects: dict[tuple[object, ...], _Suspect],
    progress: Progress,
    key: TaskKey,
    task: TaskState,
) -> None:
    """Add a task to the suspects, each gang once."""
    if progress.job.steps[key.step].gang:
        step_run = progress.step_run(key.occurrence, key.step)
        suspects[key[:3]] = _Suspect(progress, key, step_run.tasks)
    else:
        suspects[key] = _Suspect(progress, key, [task])


def record_lapse(placer: Placer, worker: Worker) -> None:
    """Remember the runs of a worker whose leases have lapsed.

    Whether it crashed shows only once another process answers at its address.
    """
    if not worker.slots or worker.entry.draining:
        return
    placer.lapsed.pop(worker.entry.address, None)
    placer.lapsed[worker.entry.address] = _gather(placer, worker)
    while len(placer.lapsed) > MAX_LAPSED:
        del placer.lapsed[next(iter(placer.lapsed))]


def record_registration(placer: Placer, entry: WorkerEntry, now: float) -> None:
    """Count the crash of a lapsed worker if a later one registers its address."""
    lapsed = placer.lapsed.get(entry.address)
    if lapsed is None or entry.incarnation <= lapsed.incarnation:
        return
    del placer.lapsed[entry.address]
    give_up(placer, _count(placer, lapsed), now)


def give_up(placer: Placer, suspects: Iterable[_Suspect], now: float) -> None:
    """Fail the jobs of tasks that have crashed too many workers."""
    for progress, key, tasks in suspects:
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
        task.n_start_crashes = 0
        placer.mark_dirty(progress)
    if ran_s >= CLEAR_S:
        task.n_crashes = 0
        worker.clear_suspect(slot)
        placer.mark_dirty(progress)


def _gather(placer: Placer, worker: Worker) -> Evidence:
    sent = [slot for slot in worker.slots.values() if slot.sent]
    starting = [slot for slot in sent if slot.on_probation(worker.heard_at)]
    all_seen = all(slot.present_at or slot.fencing_token for slot in starting)
    alone = not _is_one_of_many(placer, worker)
    slots = starting or sent if alone else starting
    return Evidence(
        worker.worker_id,
        worker.entry.incarnation,
        _candidates(placer, worker, slots),
        len(starting),
        len(sent),
        bool(starting) and all_seen and alone,
    )


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
    placer: Placer, worker: Worker, slots: Iterable[Slot]
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
        _add_suspect(candidates, progress, key, task)
    return list(candidates.values())


def _count(placer: Placer, evidence: Evidence) -> list[_Suspect]:
    """Count a crash; return the tasks that have caused too many."""
    live = [item for item in evidence.candidates if _is_live(placer, item, evidence)]
    n_crashes = max((item.n_crashes for item in live), default=0)
    suspects = [item for item in live if item.n_crashes == n_crashes]
    blamed = evidence.is_conclusive and len(evidence.candidates) == 1
    for suspect in suspects:
        n_start_crashes = suspect.n_start_crashes + bool(evidence.n_starting)
        for task in suspect.tasks:
            task.n_crashes, task.n_start_crashes = n_crashes + 1, n_start_crashes
        placer.mark_dirty(suspect.progress)
    placer.counts["worker_crashes"] += 1
    logger.info(
        "worker crashed",
        worker=evidence.worker_id,
        life=evidence.incarnation,
        suspects=[(item.key.job_id, *item.key[1:]) for item in suspects],
        crashes=n_crashes + bool(suspects),
        blamed=blamed and bool(suspects),
        starting=evidence.n_starting,
        present=evidence.n_present,
    )
    return [
        item
        for item in suspects
        if (blamed and item.n_start_crashes >= MAX_START_CRASHES)
        or item.n_crashes >= MAX_CRASHES
    ]


def _is_live(placer: Placer, suspect: _Suspect, evidence: Evidence) -> bool:
    """Return whether a task may start again and has not survived elsewhere since."""
    progress, key, _ = suspect
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
