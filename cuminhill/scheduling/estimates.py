"""Run times and speeds learned from finished tasks; measured resource usage."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from ..model import Request
    from .state import WorkerState

CLASS_LEARNING_RATE = 0.2  # weight of one result in the correction of a job class
SPEED_LEARNING_RATE = 0.1  # weight of one result in the speed of a worker
MAX_CORRECTION = 8.0  # largest factor applied to declared run times
MAX_SPEED_CORRECTION = 4.0  # the same for reported worker speeds
MAX_CLASSES = 10_000
MAX_SPEEDS = 50_000  # beyond this, the oldest entries are dropped
MIN_RUN_S = 0.02  # shorter runs measure the startup of a task, not its work
USAGE_LAG_S = 3.0  # reported usage may be this old


@dataclass(eq=False, slots=True)
class Estimates:
    """Corrections as logarithms, so that halving and doubling weigh the same.

    Parameters
    ----------
    classes : OrderedDict
        Logarithm of true over declared run time, by team and job class.
    speeds : dict of str to float
        Speed of each worker from which a result was seen.
    """

    classes: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)
    speeds: dict[str, float] = field(default_factory=dict)

    def correction(self, request: Request) -> float:
        """Return the factor between the true and the declared run time."""
        return math.exp(self.classes.get((request.team, request.job_class), 0.0))

    def learn(
        self, request: Request, declared_s: float, run_s: float, worker: WorkerState
    ) -> None:
        """Update the estimates with the run time of a completed task.

        Parameters
        ----------
        declared_s : float, seconds
            Declared run time, at speed 1, of the part that ran.
        run_s : float, seconds
            Measured run time.
        """
        if declared_s <= 0.0 or run_s < MIN_RUN_S:
            return
        key = (request.team, request.job_class)
        speed = self.speeds.get(worker.worker_id, worker.speed)
        known = self.classes.get(key)
        seen = math.log(run_s * max(speed, 1e-3) / declared_s)
        limit = math.log(MAX_CORRECTION)
        seen = max(-limit, min(limit, seen))
        if known is not None:
            # The residual of the class is attributed to the worker.
            self._learn_speed(worker, speed, seen - known)
        value = seen if known is None else known + CLASS_LEARNING_RATE * (seen - known)
        self.classes[key] = value
        self.classes.move_to_end(key)
        if len(self.classes) > MAX_CLASSES:
            self.classes.popitem(last=False)

    def _learn_speed(self, worker: WorkerState, speed: float, slower: float) -> None:
        new = speed * math.exp(-SPEED_LEARNING_RATE * slower)
        while len(self.speeds) >= MAX_SPEEDS:
            del self.speeds[next(iter(self.speeds))]
        low = worker.speed / MAX_SPEED_CORRECTION
        self.speeds[worker.worker_id] = max(
            low, min(worker.speed * MAX_SPEED_CORRECTION, new)
        )


@dataclass(eq=False, slots=True)
class UsageMonitor:
    """Compares the reported usage of a worker with the declared needs.

    The report lags, so it is compared with the largest sum of needs within the
    lag; otherwise each task that ends would look like undeclared usage.

    Parameters
    ----------
    stage : int
        Number of consecutive steps taken against usage beyond the capacity.
    step_at : float, seconds
        Monotonic time of the last step.
    """

    peaks: deque[tuple[float, float, float]] = field(default_factory=deque)
    stage: int = 0
    step_at: float = 0.0

    def excess(self, worker: WorkerState, now: float) -> Resources:
        """Return the measured usage beyond the declared needs.

        It is never negative: a low report does not prove that a declared need is
        too large.
        """
        used = worker.used
        self.peaks.append((now, used.cores, used.memory_mb))
        while self.peaks[0][0] < now - USAGE_LAG_S:
            self.peaks.popleft()
        cores = worker.usage_cores - max(peak[1] for peak in self.peaks)
        memory_mb = worker.usage_memory_mb - max(peak[2] for peak in self.peaks)
        if cores <= 0 and memory_mb <= 0:
            return NO_RESOURCES
        return Resources(max(0.0, cores), max(0.0, memory_mb), 0.0, 0.0, 0.0)
