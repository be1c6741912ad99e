"""Speeds of workers, learned from the ends of runs whose declared times are rough.

Pattern: unlike workers and estimates that are off by factors. Tasks of one step have
nearly the same length, so a step's ends on different workers compare these workers
whatever the step's declared time is worth. A step is looked at once all its tasks are
done: the first ends come from fast workers, and alone would say that the step is short.

Every quantity is a logarithm with a variance.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable

# All variances are those of natural logarithms.
# Workers whose age differs by years run at 0.5 to 2 times the speed of each other.
PRIOR_SPEED_VAR = 0.2
# A worker may turn slow at any time, so that the newest ends keep some weight.
MIN_SPEED_VAR = 0.02
# Tasks of one step differ by a tenth to a third in length, and ends are seen late.
TASK_VAR = 0.1
# Declared times before anything is known about a queue: off by a factor of 1.6.
PRIOR_DECLARED_VAR = 0.25
# Weight of a step in the running mean and variance of its queue's declared times.
DECLARED_WEIGHT = 0.05
# Bounds of what one end may say, as a factor; a stalled run says nothing about speed.
MAX_FACTOR = 8.0
# Steps whose ends are remembered; the oldest is dropped.
MAX_STEPS = 2000


@dataclass(slots=True)
class Estimate:
    """Normal estimate of a logarithm."""

    mean: float
    var: float

    def update(self, observed: float, var: float) -> None:
        """Take in an observation with its own variance."""
        gain = self.var / (self.var + var)
        self.mean += gain * (observed - self.mean)
        self.var *= 1 - gain


@dataclass(eq=False)
class SpeedModel:
    """What is known about the speeds of workers.

    Parameters
    ----------
    speeds : dict
        Life and logarithm of the speed of each worker.
    ends : dict
        Workers, their lives and run times of the ends of each step that is not done.
    declared : dict
        Mean and variance of the logarithm of actual to declared run times, at a speed
        of 1, of each queue.
    """

    speeds: dict[str, tuple[int, Estimate]] = field(default_factory=dict)
    ends: dict[str, list[tuple[str, int, float]]] = field(default_factory=dict)
    declared: dict[str, Estimate] = field(default_factory=dict)

    def speed(self, worker_id: str, life: int) -> float:
        """Return the speed of a worker; 1 if nothing is known about it."""
        known_life, estimate = self.speeds.get(worker_id, (0, None))
        if estimate is None or known_life != life:
            return 1.0
        return math.exp(estimate.mean)

    def factor(self, queue: str) -> float:
        """Return what the declared run times of a queue are to be multiplied by."""
        declared = self.declared.get(queue)
        return 1.0 if declared is None else math.exp(declared.mean)

    def observe(self, worker_id: str, life: int, step: str, actual_s: float) -> None:
        """Take in the end of a run that was done.

        Parameters
        ----------
        step : str
            Name of the step, unique among all jobs.
        actual_s : float, seconds
            Time of the whole run.
        """
        if actual_s <= 0:
            return
        self.ends.setdefault(step, []).append((worker_id, life, actual_s))
        if len(self.ends) > MAX_STEPS:
            del self.ends[next(iter(self.ends))]

    def step_done(self, step: str, queue: str, declared_s: float) -> list[str]:
        """Learn from all ends of a step; return the workers whose speeds are new."""
        ends = self.ends.pop(step, [])
        if not ends or declared_s <= 0:
            return []
        declared = self.declared.setdefault(queue, Estimate(0.0, PRIOR_DECLARED_VAR))
        expected = math.log(declared_s) + declared.mean
        bound = math.log(MAX_FACTOR)
        rows = []
        for worker_id, life, actual_s in ends:
            off = max(-bound, min(bound, math.log(actual_s) - expected))
            rows.append((self._estimate(worker_id, life), expected + off))
        # Precision and weighted sum of what each end says of the step's length.
        weights = [1 / (speed.var + TASK_VAR) for speed, _ in rows]
        precision = 1 / declared.var + sum(weights)
        weighted = expected / declared.var + sum(
            weight * (actual + speed.mean)
            for weight, (speed, actual) in zip(weights, rows, strict=True)
        )
        observed = []
        for weight, (speed, actual) in zip(weights, rows, strict=True):
            # An end says nothing about its own worker's part in the length.
            rest = precision - weight
            length = (weighted - weight * (actual + speed.mean)) / rest
            observed.append((speed, length - actual, 1 / rest + TASK_VAR))
        for speed, value, var in observed:
            speed.update(value, var)
            speed.var = max(MIN_SPEED_VAR, speed.var)
        self._learn_declared(declared, weighted / precision - expected)
        return [worker_id for worker_id, _, _ in ends]

    def _estimate(self, worker_id: str, life: int) -> Estimate:
        known_life, speed = self.speeds.get(worker_id, (0, None))
        if speed is None or known_life != life:
            speed = Estimate(0.0, PRIOR_SPEED_VAR)
            self.speeds[worker_id] = (life, speed)
        return speed

    @staticmethod
    def _learn_declared(declared: Estimate, error: float) -> None:
        declared.mean += DECLARED_WEIGHT * error
        declared.var += DECLARED_WEIGHT * (error * error - declared.var)
        declared.var = max(MIN_SPEED_VAR, declared.var)

    def forget(self, worker_ids: Iterable[str]) -> None:
        """Drop workers that have gone."""
        for worker_id in worker_ids:
            self.speeds.pop(worker_id, None)


def encode_speeds(model: SpeedModel) -> bytes:
    """Return the JSON form of the speeds, for the next placer."""
    rows = {
        worker_id: [life, round(estimate.mean, 2), round(estimate.var, 2)]
        for worker_id, (life, estimate) in model.speeds.items()
    }
    return orjson.dumps(rows)


def load_speeds(model: SpeedModel, value: bytes) -> None:
    """Take the speeds of an earlier placer over.

    Raises
    ------
    ValueError, TypeError
        If it is not their JSON form.
    """
    for worker_id, (life, mean, var) in orjson.loads(value).items():
        estimate = Estimate(float(mean), max(MIN_SPEED_VAR, float(var)))
        model.speeds[worker_id] = (int(life), estimate)
