"""Order of waiting steps: objectives and latest start times.

While all jobs can meet their objectives, starting the step with the earliest latest
start time first lets most of them do so. Under overload, a job that can no longer meet
its objective would only make others late as well, so it is placed after jobs of its
priority class that still can. Urgent work comes first even when it is late: it is
short, and its callers wait for it.

Tasks that last have no end to be in time for: each second without them is lost to their
callers, however long ago the job was accepted. Those that were interrupted come right
after urgent work, the longest absent first.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .model import Job, Queue, Step
    from .progress import StepRun

# A step counts as late once its latest start time has passed by this fraction of the
# objective; declared run times are rough estimates.
LATE_FRACTION = 0.15
# After this multiple of its objective, the result of a job is of no use to its caller.
STALE_FACTOR = 3.0
# Of a job: by declared run times and by expected ones, of mean and of longest tasks.
MAX_CACHED_PATHS = 4


class Rank(IntEnum):
    """Classes of waiting steps; steps of a lower one are placed first."""

    MOVING = 0  # tasks that were stopped because a place for them was free
    URGENT = 1
    URGENT_LATE = 2
    RESTART = 3  # tasks that last and have run before
    PATIENT = 4
    PATIENT_LATE = 5
    STALE = 6
    SURPLUS = 7  # beyond the rate to which the team is entitled


def critical_path_s(
    job: Job,
    first: int = 0,
    first_only: bool = False,
    run_times: Sequence[float] | None = None,
) -> float:
    """Return the length of a job's critical path, in seconds.

    Parameters
    ----------
    first : int, default=0
        Step at which the path starts if ``first_only`` is set.
    first_only : bool, default=False
        Consider only paths that start at ``first``.
    run_times : sequence of float, seconds, or None
        Expected run time of each step; the declared run times if None.
    """
    lengths = path_lengths(job, run_times)
    return lengths[first] if first_only else max(lengths)


def path_lengths(
    job: Job, run_times: Sequence[float] | None = None
) -> tuple[float, ...]:
    """Return the length of the longest path from each step on, in seconds.

    Parameters
    ----------
    run_times : sequence of float, seconds, or None
        Expected run time of each step; the declared run times if None.
    """
    if run_times is None:
        run_times = [step.run_time_s for step in job.steps]
    key = tuple(run_times)
    lengths = job.paths.get(key)
    if lengths is None:
        if len(job.paths) >= MAX_CACHED_PATHS:
            job.paths.clear()
        lengths = job.paths[key] = _find_path_lengths(job.steps, key)
    return lengths


def _find_path_lengths(
    steps: Sequence[Step], run_times: Sequence[float]
) -> tuple[float, ...]:
    # The paths behind each step grow while the later steps are visited.
    behind = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        length = behind[number] = run_times[number] + behind[number]
        for earlier in steps[number].after:
            behind[earlier] = max(behind[earlier], length)
    return tuple(behind)


def objective_s(
    job: Job, queue: Queue, run_times: Sequence[float] | None = None
) -> float:
    """Return the time after acceptance within which a job should end, in seconds."""
    return queue.stretch * critical_path_s(job, run_times=run_times) + queue.target_s


def order_key(
    step_run: StepRun,
    queue: Queue,
    wall: float,
    run_times: Sequence[float] | None = None,
) -> tuple[int, int, float, str]:
    """Return the sort key of a waiting step; lower keys are placed first.

    Parameters
    ----------
    wall : float, seconds
        Current wall-clock time.
    run_times : sequence of float, seconds, or None
        Expected run time of each step of the job.
    """
    job, lasts = step_run.job, step_run.step.long_running
    urgent = queue.priority == 0
    if lasts and not urgent and step_run.n_interrupted:
        return Rank.RESTART, queue.priority, _absent_since(step_run), step_run.name
    begun_at = max(job.accepted_at, job.due_at(step_run.occurrence))
    lengths = path_lengths(job, run_times)
    objective = queue.stretch * max(lengths) + queue.target_s
    left_s = lengths[step_run.number]
    latest_start = begun_at + objective - left_s
    if not lasts and wall > begun_at + STALE_FACTOR * objective - left_s:
        return Rank.STALE, queue.priority, begun_at, step_run.name
    late = wall > latest_start + LATE_FRACTION * objective
    if urgent and late:
        return Rank.URGENT_LATE, queue.priority, left_s, step_run.name
    if late and not lasts:
        return Rank.PATIENT_LATE, queue.priority, left_s, step_run.name
    return Rank.URGENT if urgent else Rank.PATIENT, 0, latest_start, step_run.name


def _absent_since(step_run: StepRun) -> float:
    """Return since when a waiting task of a step has been absent, the longest one.

    It is 0 if an earlier term has left no word of when that was.
    """
    tasks = step_run.tasks
    away = (tasks[index].away_since for index in tasks.interrupted())
    return min(away, default=0.0)
