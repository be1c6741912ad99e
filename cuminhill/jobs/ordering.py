"""Order of the steps that wait, by what their callers still gain.

Pattern: mixed urgency under overload. Earliest latest-start first serves most jobs in
time while all of them can be; a job that can no longer meet its objective would only
make others late as well, so it goes behind those that still can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import Job, Queue
    from .progress import StepRun

# A step counts as late when its latest start has passed by this share of its
# objective; declared run times are rough.
LATE_SHARE = 0.15
# Beyond this multiple of its objective a job's answer has lost its use for the caller.
STALE_X = 3.0
# Time of a job that no worker's speed shortens, in seconds: advice, journal, start, and
# until the end is seen by whoever asks.
OVERHEAD_S = 0.3
# Declared run times are off by this factor often.
DECLARED_MARGIN_X = 1.5
MIN_WANTED_SPEED, MAX_WANTED_SPEED = 0.3, 4.0


def chain_s(job: Job, first: int = 0, only: bool = False) -> float:
    """Return the longest chain of declared run times, in seconds.

    Parameters
    ----------
    first : int, default=0
        Step at which the chain starts if ``only`` is set.
    only : bool, default=False
        Count only chains that start at ``first``.
    """
    n_steps = len(job.steps)
    longest = [0.0] * n_steps
    for number in range(n_steps - 1, -1, -1):
        behind = [
            longest[later]
            for later in range(number + 1, n_steps)
            if number in job.steps[later].after
        ]
        longest[number] = job.steps[number].run_time_s + max(behind, default=0.0)
    return longest[first] if only else max(longest)


def objective_s(job: Job, queue: Queue) -> float:
    """Return the time after acceptance within which a job should be done."""
    return queue.stretch * chain_s(job) + queue.target_s


def order_key(
    step_run: StepRun, queue: Queue, wall: float
) -> tuple[int, int, float, str]:
    """Return the key by which waiting steps are sorted; lower goes first.

    Parameters
    ----------
    wall : float, seconds
        Present wall-clock time.
    """
    job = step_run.job
    begun_at = max(job.accepted_at, job.due_at(step_run.occurrence))
    objective = objective_s(job, queue)
    left_s = chain_s(job, step_run.number, only=True)
    latest_start = begun_at + objective - left_s
    if wall > begun_at + STALE_X * objective - left_s:
        return 2, queue.priority, begun_at, step_run.name
    if wall > latest_start + LATE_SHARE * objective:
        return 1, queue.priority, left_s, step_run.name
    return 0, 0 if queue.priority == 0 else 1, latest_start, step_run.name


def wanted_speed(
    step_run: StepRun, queue: Queue, wall: float, factor: float = 1.0
) -> float:
    """Return the speed of a worker on which a step that starts now ends in time.

    A job that cannot be in time any more is to end while its answer is of use.

    Parameters
    ----------
    factor : float
        What the declared run times of the queue are to be multiplied by.
    """
    job = step_run.job
    begun_at = max(job.accepted_at, job.due_at(step_run.occurrence))
    left_s = factor * chain_s(job, step_run.number, only=True)
    objective = factor * (objective_s(job, queue) - queue.target_s) + queue.target_s
    for stale_x in (1.0, STALE_X):
        until_s = begun_at + stale_x * objective - wall - OVERHEAD_S
        if until_s * MAX_WANTED_SPEED > DECLARED_MARGIN_X * left_s:
            return max(MIN_WANTED_SPEED, DECLARED_MARGIN_X * left_s / until_s)
    return MIN_WANTED_SPEED
