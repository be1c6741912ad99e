"""Limits how many crashes of workers a task of a request may cause.

Candidates and suspects are those of `cuminhill.jobs.crashes`, for tasks whose workers
report lists under capacity leases. Suspects are not placed apart but started one after
the other. A task is given up after two crashes at its start of which it was the only
suspect, or four in all, unless chance may explain them. Workers that crash together
count like others. Orders never start a second time and need no limit. The counts are
kept in memory: the limit holds for each term of a placer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..model import RequestKind
from ..util.coincidence import MAX_COINCIDENCE, coincidence, crash_rate
from .state import OCCUPYING, Phase

if TYPE_CHECKING:
    from .shardstate import ShardState
    from .state import TaskState, WorkerState

# A task that its worker has run for this long has survived its start.
PROBATION_S = 0.5
# Crashes at the start of a task, with no other suspect, after which it is given up.
MAX_BLAMED = 2
# Crashes with any suspects after which a task is given up.
MAX_CRASHES = 4
# Delay between the starts of suspects of one crash: one has survived before the next.
STAGGER_S = 0.6
# A crash counts as one at the start of a task if it comes within this time: the next
# report, by default 0.35 s later, would have shown that the task survived.
START_EXPOSURE_S = PROBATION_S + 0.35
# Largest usual run time of a task as a multiple of the declared one, a rough estimate.
RUN_TIME_FACTOR = 5.0
SERVICE_EXPOSURE_S = 30.0  # of a task that runs without end, between two crashes
UNANSWERED = frozenset({Phase.STARTING, Phase.UNCERTAIN})
MAX_LOST = 1000  # workers whose tasks are remembered; beyond it, the oldest is dropped


@dataclass(frozen=True, slots=True)
class LostTasks:
    """Tasks on a worker when it was last heard.

    Parameters
    ----------
    incarnation : str
        Incarnation of the worker.
    tasks : list of TaskState
        Tasks that had not survived their start, or all tasks if each had.
    is_conclusive : bool
        Whether a single suspect is to blame.
    """

    incarnation: str
    tasks: list[TaskState]
    is_conclusive: bool


def record_lost(shard: ShardState, worker: WorkerState) -> None:
    """Remember the tasks on a worker that no longer answers and was not to leave."""
    if worker.leaving:
        return
    known = shard.lost.get(worker.worker_id)
    if known is not None and known.incarnation == worker.incarnation:
        return  # checks may have been moved since
    present = [
        task
        for task in shard.tasks_on.get(worker.worker_id, {}).values()
        if task.phase in OCCUPYING and task.phase is not Phase.RECORDING
    ]
    starting = [task for task in present if is_starting(task, worker)]
    # A start without an answer need not have arrived.
    answered = all(task.phase not in UNANSWERED for task in starting)
    shard.lost.pop(worker.worker_id, None)
    shard.lost[worker.worker_id] = LostTasks(
        worker.incarnation, starting or present, bool(starting) and answered
    )
    while len(shard.lost) > MAX_LOST:
        del shard.lost[next(iter(shard.lost))]


def is_starting(task: TaskState, worker: WorkerState) -> bool:
    """Return whether a task had not survived its start when its worker was heard."""
    if task.phase in UNANSWERED:
        return True
    return (
        task.phase is Phase.RUNNING and worker.reported_at - task.phase_at < PROBATION_S
    )


def count_crash(
    shard: ShardState, worker_id: str, incarnation: str, now: float
) -> dict[str, TaskState]:
    """Count a crash against its suspects, once another incarnation has answered.

    Returns
    -------
    suspects : dict of str to TaskState
        Suspects by task id, those that wait for an answer most urgently first.
    """
    lost = shard.lost.pop(worker_id, None)
    if lost is None or lost.incarnation == incarnation:
        return {}
    live = [task for task in lost.tasks if not task.owner.over]
    n_crashes = max((task.n_crashes for task in live), default=0)
    suspects = [task for task in live if task.n_crashes == n_crashes]
    n_units = len({_unit(task) for task in suspects})
    for task in suspects:
        task.n_crashes += 1
        task.n_blamed += lost.is_conclusive and n_units == 1
    suspects.sort(key=lambda task: task.owner.kind is not RequestKind.CHECK)
    shard.n_crashes += 1
    shard.crashes_at.append(now)
    return {task.task_id: task for task in suspects}


def is_given_up(shard: ShardState, task: TaskState, now: float) -> bool:
    """Return whether a task has caused too many crashes to start again."""
    if task.n_blamed < MAX_BLAMED and task.n_crashes < MAX_CRASHES:
        return False
    rate = crash_rate(
        shard.crashes_at,
        len(shard.workers),
        now,
        shard.observed_since,
        n_excepted=task.n_crashes,
    )
    owner = task.owner
    run_s = RUN_TIME_FACTOR * task.remaining_s
    if owner.kind is RequestKind.SERVICE:
        run_s = SERVICE_EXPOSURE_S
    n_members = len(owner.tasks) if owner.kind is RequestKind.GANG else 1
    by_chance = coincidence(
        rate * n_members,
        [
            (START_EXPOSURE_S, task.n_blamed),
            (max(START_EXPOSURE_S, run_s), task.n_crashes - task.n_blamed),
        ],
    )
    return by_chance < MAX_COINCIDENCE


def _unit(task: TaskState) -> str:
    """Return what counts as one suspect: a task, or a whole gang."""
    is_gang = task.owner.kind is RequestKind.GANG
    return task.request_id if is_gang else task.task_id
