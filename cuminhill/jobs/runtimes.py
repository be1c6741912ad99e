"""Run times of a queue's steps, estimated from declared ones that are rough.

Pattern: estimates that are off by factors. Where declared times say little, a step's
length is better guessed from the other steps of its queue; where they are good, they
are believed. A regression of actual on declared times finds out which holds.

All quantities are natural logarithms of seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# What is assumed before anything is known: declared times are right, and steps of one
# queue differ by a factor of 1.7. It counts as much as so many observed steps.
PRIOR_WEIGHT = 3.0
PRIOR_VAR = 0.3
# Weight of all that is known, so that a queue whose steps change is learned again.
MAX_WEIGHT = 200.0
PRIOR_ERROR_VAR = 0.25  # of an estimate
MIN_ERROR_VAR = 0.02
ERROR_WEIGHT = 0.05  # of a step in the running variance of errors
# Shortest declared time, in seconds, so that its logarithm exists.
MIN_DECLARED_S = 0.001


@dataclass(slots=True)
class RunTimes:
    """Regression of actual on declared run times of one queue's steps.

    Parameters
    ----------
    weight : float
        Number of steps that the moments stand for.
    declared, actual : float
        Means of declared and of actual times.
    var, cov : float
        Variance of declared times, and their covariance with actual ones.
    error_var : float
        Variance of an estimate.
    """

    weight: float = 0.0
    declared: float = 0.0
    actual: float = 0.0
    var: float = PRIOR_VAR
    cov: float = PRIOR_VAR
    error_var: float = PRIOR_ERROR_VAR

    @property
    def slope(self) -> float:
        """Share of a declared deviation from the queue's mean that is believed."""
        return min(1.0, max(0.0, self.cov / self.var))

    def estimate(self, declared: float) -> float:
        """Return the expected logarithm of the actual time of a step."""
        if not self.weight:
            return declared
        return self.actual + self.slope * (declared - self.declared)

    def estimate_s(self, declared_s: float) -> float:
        """Return the expected run time of a step at a speed of 1, in seconds."""
        if declared_s <= 0:
            return math.exp(self.actual) if self.weight else 0.0
        return math.exp(self.estimate(math.log(max(MIN_DECLARED_S, declared_s))))

    def observe(self, declared: float, actual: float) -> None:
        """Learn from a step that has ended."""
        error = actual - self.estimate(declared)
        self.error_var += ERROR_WEIGHT * (error * error - self.error_var)
        self.error_var = max(MIN_ERROR_VAR, self.error_var)
        if not self.weight:
            self.declared = self.actual = declared
            self.weight = PRIOR_WEIGHT
        self.weight = min(MAX_WEIGHT, self.weight + 1)
        off_declared, off_actual = declared - self.declared, actual - self.actual
        self.declared += off_declared / self.weight
        self.actual += off_actual / self.weight
        rest = 1 - 1 / self.weight
        self.var += (rest * off_declared * off_declared - self.var) / self.weight
        self.cov += (rest * off_declared * off_actual - self.cov) / self.weight
