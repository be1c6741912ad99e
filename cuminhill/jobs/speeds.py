"""Worker speeds, estimated from the run times of completed tasks.

Workers differ in speed, and declared run times may be wrong by factors. The tasks of
one step have nearly the same length, so their run times on different workers compare
these workers even if the declared time is useless. A step is evaluated only once all
its tasks are done: the first ends come from fast workers and would make the step look
short. Workers of one kind often have the same speed, so each end also updates the
estimate for workers of its kind that have not run anything yet.

All quantities are natural logarithms with a variance.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, NamedTuple

import orjson
from pydantic import Field

from ..util.validation import MAX_INTEGER, Message, validate_json
from .runtimes import (
    MAX_WEIGHT,
    MIN_DECLARED_S,
    MIN_ERROR_VAR,
    PRIOR_ERROR_VAR,
    RunTimes,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Variances are those of natural logarithms.
# Workers that differ in age by years run at 0.5 to 2 times each other's speed.
PRIOR_SPEED_VAR = 0.2
# Lower bound, so that new ends keep some weight: a worker may become slow at any time.
MIN_SPEED_VAR = 0.02
# Lower bound of the variance among the workers of one kind. The estimate starts at
# PRIOR_SPEED_VAR, as if the kind had no influence on the speed.
MIN_KIND_SPREAD = 0.01
KIND_SPREAD_WEIGHT = 0.05  # weight of one end in the running variance of a kind
# Tasks of one step differ in length by a tenth to a third, and ends are observed with a
# delay.
TASK_VAR = 0.1
# Deviations from the expected run time are clipped to this factor, since a stalled run
# says nothing about its worker's speed.
MAX_DEVIATION_FACTOR = 8.0
# Unfinished steps whose ends are kept; beyond it, the oldest step is dropped.
MAX_STEPS = 2000
# Bound of the logarithms that are read from the journal; the exponential of a larger
# one has no use, or overflows.
MAX_LOG = 50.0


@dataclass(slots=True)
class Estimate:
    """Estimate of a logarithm as a normal distribution."""

    mean: float
    var: float

    def update(self, observed: float, var: float) -> None:
        """Update the estimate with an observation of some variance."""
        gain = self.var / (self.var + var)
        self.mean += gain * (observed - self.mean)
        self.var *= 1 - gain


@dataclass(slots=True)
class Evidence:
    """Estimate of a worker's speed from its own ends only.

    The variance is infinite until the first end.

    Parameters
    ----------
    incarnation : int
        Incarnation of the worker that the ends belong to.
    kind : str
        Kind of the worker; empty if it names none.
    """

    incarnation: int
    kind: str
    mean: float = 0.0
    var: float = math.inf

    def update(self, observed: float, var: float) -> None:
        """Update the estimate with an observation of some variance."""
        gain = 1.0 if math.isinf(self.var) else self.var / (self.var + var)
        self.mean += gain * (observed - self.mean)
        self.var = 1 / (1 / self.var + 1 / var)
        self.var = max(MIN_SPEED_VAR, self.var)


@dataclass(slots=True)
class Kind:
    """Mean speed of the workers of one kind, and their spread around it."""

    speed: Estimate = field(default_factory=lambda: Estimate(0.0, PRIOR_SPEED_VAR))
    spread: float = PRIOR_SPEED_VAR

    def observe(self, observed: float, var: float) -> None:
        """Update the kind with the speed of one worker observed in one end."""
        deviation = observed - self.speed.mean
        excess = max(0.0, deviation * deviation - var - self.speed.var)
        self.spread += KIND_SPREAD_WEIGHT * (excess - self.spread)
        self.spread = max(MIN_KIND_SPREAD, self.spread)
        self.speed.update(observed, var + self.spread)
        self.speed.var = max(MIN_SPEED_VAR / 10, self.speed.var)


class RunEnd(NamedTuple):
    """Run that ended as done."""

    worker_id: str
    incarnation: int
    kind: str
    actual_s: float


@dataclass(eq=False)
class SpeedModel:
    """Estimates of worker speeds and of run times.

    Parameters
    ----------
    speeds : dict
        Estimate from each worker's own ends.
    kinds : dict
        Estimate for each kind of worker.
    ends : dict
        Ends of each step that is not done yet.
    run_times : dict
        For each queue, the regression of actual on declared run times at a speed of 1.
    """

    speeds: dict[str, Evidence] = field(default_factory=dict)
    kinds: dict[str, Kind] = field(default_factory=dict)
    ends: dict[str, list[RunEnd]] = field(default_factory=dict)
    run_times: dict[str, RunTimes] = field(default_factory=dict)

    def speed(self, worker_id: str, incarnation: int, kind: str = "") -> float:
        """Return the estimated speed of a worker; 1 if there is no data on it."""
        # The mean of `_posterior`, without the objects: this is called for each worker
        # at the end of each step.
        of_kind = self.kinds.get(kind) if kind else None
        mean, var = 0.0, PRIOR_SPEED_VAR
        if of_kind is not None:
            mean, var = of_kind.speed.mean, of_kind.speed.var + of_kind.spread
        known = self.speeds.get(worker_id)
        if (
            known is not None
            and known.incarnation == incarnation
            and known.var != math.inf
        ):
            mean += var / (var + known.var) * (known.mean - mean)
        return math.exp(mean)

    def _posterior(self, worker_id: str, incarnation: int, kind: str) -> Estimate:
        of_kind = self.kinds.get(kind) if kind else None
        if of_kind is None:
            posterior = Estimate(0.0, PRIOR_SPEED_VAR)
        else:
            var = of_kind.speed.var + of_kind.spread
            posterior = Estimate(of_kind.speed.mean, var)
        known = self.speeds.get(worker_id)
        if (
            known is not None
            and known.incarnation == incarnation
            and not math.isinf(known.var)
        ):
            posterior.update(known.mean, known.var)
        return posterior

    def run_time_s(self, queue: str, declared_s: float) -> float:
        """Return the expected run time of a step at a speed of 1, in seconds."""
        known = self.run_times.get(queue)
        return declared_s if known is None else known.estimate_s(declared_s)

    def error_var(self, queue: str) -> float:
        """Return the variance of the error of a queue's expected run times."""
        known = self.run_times.get(queue)
        return PRIOR_ERROR_VAR if known is None else known.error_var

    def observe(
        self,
        worker_id: str,
        incarnation: int,
        step: str,
        actual_s: float,
        kind: str = "",
    ) -> None:
        """Add a run that ended as done.

        Parameters
        ----------
        step : str
            Name of the step, unique among all jobs.
        actual_s : float, seconds
            Run time of the whole task.
        kind : str
            Kind of the worker; empty if it names none.
        """
        if actual_s <= 0:
            return
        self.ends.setdefault(step, []).append(
            RunEnd(worker_id, incarnation, kind, actual_s)
        )
        if len(self.ends) > MAX_STEPS:
            del self.ends[next(iter(self.ends))]

    def step_done(self, step: str, queue: str, declared_s: float) -> float | None:
        """Update the estimates from all ends of a step.

        Returns
        -------
        length_s : float or None, seconds
            Run time of the step's tasks at a speed of 1; None if nothing is known.
        """
        ends = self.ends.pop(step, [])
        if not ends or declared_s <= 0:
            return None
        run_times = self.run_times.setdefault(queue, RunTimes())
        declared = math.log(max(MIN_DECLARED_S, declared_s))
        expected, error_var = run_times.estimate(declared), run_times.error_var
        bound = math.log(MAX_DEVIATION_FACTOR)
        rows = []
        for end in ends:
            deviation = max(-bound, min(bound, math.log(end.actual_s) - expected))
            speed = self._posterior(end.worker_id, end.incarnation, end.kind)
            rows.append((speed, expected + deviation))
        # Precision-weighted mean of the step's length: the declared estimate and one
        # observation from each end.
        weights = [1 / (speed.var + TASK_VAR) for speed, _ in rows]
        precision = 1 / error_var + sum(weights)
        weighted = expected / error_var + sum(
            weight * (actual + speed.mean)
            for weight, (speed, actual) in zip(weights, rows, strict=True)
        )
        for weight, (speed, actual), end in zip(weights, rows, ends, strict=True):
            # The length that a worker is compared with leaves out its own end.
            rest = precision - weight
            length = (weighted - weight * (actual + speed.mean)) / rest
            self._learn(end, length - actual, 1 / rest + TASK_VAR)
        run_times.observe(declared, weighted / precision)
        return math.exp(weighted / precision)

    def _learn(self, end: RunEnd, observed: float, var: float) -> None:
        known = self.speeds.get(end.worker_id)
        if known is None or known.incarnation != end.incarnation:
            known = self.speeds[end.worker_id] = Evidence(end.incarnation, end.kind)
        known.update(observed, var)
        if end.kind:
            self.kinds.setdefault(end.kind, Kind()).observe(observed, var)

    def forget(self, worker_ids: Iterable[str]) -> None:
        """Drop the estimates of workers that are gone."""
        for worker_id in worker_ids:
            self.speeds.pop(worker_id, None)


def encode_speeds(model: SpeedModel) -> bytes:
    """Return the estimates as JSON, for the next placer."""
    workers = {
        worker_id: [
            item.incarnation,
            item.kind,
            round(item.mean, 2),
            round(item.var, 2),
        ]
        for worker_id, item in model.speeds.items()
    }
    kinds = {
        name: [round(value, 3) for value in (kind.speed.mean, kind.speed.var)]
        + [round(kind.spread, 3)]
        for name, kind in model.kinds.items()
    }
    queues = {
        name: [round(getattr(item, part), 3) for part in RunTimes.__slots__]
        for name, item in model.run_times.items()
    }
    return orjson.dumps({"workers": workers, "kinds": kinds, "queues": queues})


_LogSpeed = Annotated[float, Field(ge=-MAX_LOG, le=MAX_LOG)]
_Var = Annotated[float, Field(ge=0, le=MAX_LOG * MAX_LOG)]
_Incarnation = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
_Weight = Annotated[float, Field(ge=0, le=MAX_WEIGHT)]
_Cov = Annotated[float, Field(ge=-MAX_LOG * MAX_LOG, le=MAX_LOG * MAX_LOG)]


class _SpeedsBody(Message):
    workers: dict[str, tuple[_Incarnation, str, _LogSpeed, _Var]]
    kinds: dict[str, tuple[_LogSpeed, _Var, _Var]]
    queues: dict[str, tuple[_Weight, _LogSpeed, _LogSpeed, _Var, _Cov, _Var]]


def load_speeds(model: SpeedModel, value: bytes) -> None:
    """Load the estimates of an earlier placer, all or none.

    Raises
    ------
    ProtocolError
        If the value is not in the format of `encode_speeds`, or a number is out of
        range.
    """
    body = validate_json(_SpeedsBody, value, step="speeds")
    for worker_id, (incarnation, kind, mean, var) in body.workers.items():
        known_var = max(MIN_SPEED_VAR, var)
        model.speeds[worker_id] = Evidence(incarnation, kind, mean, known_var)
    for name, (mean, var, spread) in body.kinds.items():
        speed = Estimate(mean, max(MIN_SPEED_VAR / 10, var))
        model.kinds[name] = Kind(speed, max(MIN_KIND_SPREAD, spread))
    for name, parts in body.queues.items():
        run_times = model.run_times[name] = RunTimes(*parts)
        run_times.error_var = max(MIN_ERROR_VAR, run_times.error_var)
