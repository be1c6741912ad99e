"""Order of the steps that wait, by what their callers still gain.

Pattern: mixed urgency under overload. Earliest latest-start first serves most jobs in
time while all of them can be; a job that can no longer meet its objective would only
make others late as well, so it goes behind those of its urgency that still can. Urgent
work goes before the rest also when it is late: it is short, and its callers wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .model import Job, Queue
    from .progress import StepRun

# A step counts as late when its latest start has passed by this share of its
# objective; declared run times are rough.
LATE_FRACTION = 0.15
# Beyond this multiple of its objective a job's answer has lost its use for the caller.
STALE_FACTOR = 3.0
# Time of a job that no worker's speed shortens, in seconds: advice, journal, start, and
# until the end is seen by whoever asks.
OVERHEAD_S = 0.3
# Declared run times are off by this factor often.
DECLARED_MARGIN_FACTOR = 1.5
MIN_REQUIRED_SPEED, MAX_REQUIRED_SPEED = 0.3, 4.0


def critical_path_s(
    job: Job,
    first: int = 0,
    first_only: bool = False,
    run_times: Sequence[float] | None = None,
) -> float:
    """Return the longest chain of run times, in seconds.

    Parameters
    ----------
    first : int, default=0
        Step at which the chain starts if ``only`` is set.
    only : bool, default=False
        Count only chains that start at ``first``.
    run_times : sequence of float, seconds, or None
        Expected run time of each step; the declared ones if it is None.
    """
    if run_times is None:
        run_times = [step.run_time_s for step in job.steps]
    n_steps = len(job.steps)
    longest = [0.0] * n_steps
    for number in range(n_steps - 1, -1, -1):
        behind = [
            longest[later]
            for later in range(number + 1, n_steps)
            if number in job.steps[later].after
        ]
        longest[number] = run_times[number] + max(behind, default=0.0)
    return longest[first] if first_only else max(longest)


def objective_s(
    job: Job, queue: Queue, run_times: Sequence[float] | None = None
) -> float:
    """Return the time after acceptance within which a job should be done."""
    return queue.stretch * critical_path_s(job, run_times=run_times) + queue.target_s


def order_key(
    step_run: StepRun,
    queue: Queue,
    wall: float,
    run_times: Sequence[float] | None = None,
) -> tuple[int, int, float, str]:
    """Return the key by which waiting steps are sorted; lower goes first.

    Parameters
    ----------
    wall : float, seconds
        Present wall-clock time.
    run_times : sequence of float, seconds, or None
        Expected run time of each step of the job.
    """
    job = step_run.job
    begun_at = max(job.accepted_at, job.due_at(step_run.occurrence))
    objective = objective_s(job, queue, run_times)
    left_s = critical_path_s(job, step_run.number, first_only=True, run_times=run_times)
    latest_start = begun_at + objective - left_s
    if wall > begun_at + STALE_FACTOR * objective - left_s:
        return 4, queue.priority, begun_at, step_run.name
    rank = 0 if queue.priority == 0 else 2
    if wall > latest_start + LATE_FRACTION * objective:
        return rank + 1, queue.priority, left_s, step_run.name
    return rank, 0, latest_start, step_run.name


def required_speed(
    step_run: StepRun,
    queue: Queue,
    wall: float,
    run_times: Sequence[float] | None = None,
) -> float:
    """Return the speed of a worker on which a step that starts now ends in time.

    A job that cannot be in time any more is to end while its answer is of use.
    """
    job = step_run.job
    begun_at = max(job.accepted_at, job.due_at(step_run.occurrence))
    left_s = critical_path_s(job, step_run.number, first_only=True, run_times=run_times)
    objective = objective_s(job, queue, run_times)
    for factor in (1.0, STALE_FACTOR):
        until_s = begun_at + factor * objective - wall - OVERHEAD_S
        if until_s * MAX_REQUIRED_SPEED > DECLARED_MARGIN_FACTOR * left_s:
            return max(MIN_REQUIRED_SPEED, DECLARED_MARGIN_FACTOR * left_s / until_s)
    return MIN_REQUIRED_SPEED
