"""Chance that a job meets its objective if its next step runs at some speed.

Lengths of steps, speeds of workers and failures are known only roughly, so the
logarithm of the time that a job still takes is treated as normal. The chance then
changes little with the speed for a job that has plenty of time or none left, and most
for one that is just in time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache
from statistics import NormalDist
from typing import TYPE_CHECKING

from .ordering import STALE_FACTOR, path_lengths
from .speeds import TASK_VAR

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .model import Queue
    from .progress import StepRun

# Part of a job's time that does not depend on worker speed: journal writes, start call,
# and the time until the caller sees the end.
OVERHEAD_S = 0.1
# Worth of a result within `STALE_FACTOR` times the objective, relative to one in time.
LATE_WORTH = 0.2
# Variance of the logarithm of a job's time that does not come from its declared times:
# unequal tasks, the error of a worker's speed, and tasks that run again.
OTHER_VAR = 0.2
# Price of speed for steps of lower priority, which leave fast workers to urgent work,
# and for urgent ones: callers wait for an answer that is late, too.
SPEED_PRICE, URGENT_SPEED_PRICE = 0.15, -0.3
MIN_LENGTH_S = 0.001  # so that the logarithm of a length exists
MAX_CACHED_FACTORS = 1024  # numbers of tasks of a step
_NORMAL = NormalDist()
_SQRT_2 = math.sqrt(2.0)


@dataclass(frozen=True, slots=True)
class Outlook:
    """What is known about the end of a job if a step of it starts now.

    Parameters
    ----------
    length_s : float, seconds
        Median of the length of the steps that are left, at a speed of 1.
    sigma : float
        Standard deviation of the logarithm of the time that the job still takes.
    stretch : float
        Time that the objective allows for each second of that length.
    known_s : float, seconds
        Part of the objective that does not depend on that length.
    elapsed_s : float, seconds
        Time since the job was accepted, and the overhead that is still to come.
    spread : float
        Expected time of the longest tasks on the path, relative to `length_s`.
    speed_price : float
        Worth that the step forgoes for a unit of the logarithm of a worker's speed.
    """

    length_s: float = 0.0
    sigma: float = 1.0
    stretch: float = 1.0
    known_s: float = 0.0
    elapsed_s: float = 0.0
    spread: float = 1.0
    speed_price: float = SPEED_PRICE

    def chance(self, speed: float, factor: float = 1.0) -> float:
        """Return the chance that the job ends within a multiple of its objective."""
        if not self.length_s:
            return 1.0
        allowed_s = factor * (self.stretch * self.length_s + self.known_s)
        allowed_s -= self.elapsed_s
        if allowed_s <= 0:
            return 0.0
        margin = math.log(allowed_s * speed / (self.spread * self.length_s))
        # The cumulative normal distribution; `NormalDist.cdf` takes twice as long.
        return 0.5 * (1.0 + math.erf(margin / self.sigma / _SQRT_2))

    def worth(self, speed: float) -> float:
        """Return the expected worth of the result, relative to one in time."""
        late = LATE_WORTH * self.chance(speed, STALE_FACTOR)
        return (1.0 - LATE_WORTH) * self.chance(speed) + late


# A step without an objective, such as one that runs until it is cancelled.
NO_OBJECTIVE = Outlook()


@lru_cache(maxsize=MAX_CACHED_FACTORS)
def longest_task_factor(n_tasks: int) -> float:
    """Return the expected length of the longest of some tasks relative to the median.

    A step ends with its longest task, while objectives count the mean.
    """
    # Blom's approximation of the expected maximum of normal variates.
    quantile = _NORMAL.inv_cdf((n_tasks - 0.375) / (n_tasks + 0.25))
    return math.exp(math.sqrt(TASK_VAR) * max(0.0, quantile))


def make_outlook(
    step_run: StepRun,
    queue: Queue,
    wall: float,
    run_times: Sequence[float],
    error_var: float,
) -> Outlook:
    """Return the outlook of a job if one of its steps starts now.

    Parameters
    ----------
    wall : float, seconds
        Current wall-clock time.
    run_times : sequence of float, seconds
        Expected run time of each step of the job at a speed of 1.
    error_var : float
        Variance of the logarithm of the error of those times.
    """
    if step_run.step.long_running:
        return NO_OBJECTIVE
    job = step_run.job
    begun_at = max(job.accepted_at, job.due_at(step_run.occurrence))
    lengths = path_lengths(job, run_times)
    left_s, whole_s = lengths[step_run.number], max(lengths)
    longest = [
        run_time_s * longest_task_factor(step.n_tasks)
        for step, run_time_s in zip(job.steps, run_times, strict=True)
    ]
    longest_s = path_lengths(job, longest)[step_run.number]
    return Outlook(
        max(MIN_LENGTH_S, left_s),
        math.sqrt(error_var + OTHER_VAR),
        queue.stretch,
        queue.stretch * (whole_s - left_s) + queue.target_s,
        wall - begun_at + OVERHEAD_S,
        max(1.0, longest_s / max(MIN_LENGTH_S, left_s)),
        URGENT_SPEED_PRICE if queue.priority == 0 else SPEED_PRICE,
    )
