"""Expected run times of a queue's steps, estimated from rough declared ones.

Declared times may be wrong by factors. A regression of actual on declared run times
learns how far to rely on them: if they are good, the declared time is used; if not, the
estimate moves towards the mean of the queue's other steps.

All quantities are natural logarithms of seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Prior: declared times are right, and the steps of one queue differ by a factor of 1.7.
# It counts as much as PRIOR_WEIGHT observed steps.
PRIOR_WEIGHT = 3.0
PRIOR_VAR = 0.3
# Bound of the total weight, so that the estimate adapts when a queue's steps change.
MAX_WEIGHT = 200.0
PRIOR_ERROR_VAR = 0.25  # variance of the error of an estimate
MIN_ERROR_VAR = 0.02
ERROR_WEIGHT = 0.05  # weight of one step in the running variance of the error
# Declared times are raised to this, so that their logarithm exists.
MIN_DECLARED_S = 0.001


@dataclass(slots=True)
class RunTimes:
    """Regression of actual on declared run times of one queue's steps.

    Parameters
    ----------
    weight : float
        Number of steps in the means and variances, bounded by `MAX_WEIGHT`.
    declared, actual : float
        Means of the declared and of the actual times.
    var, cov : float
        Variance of the declared times and their covariance with the actual ones.
    error_var : float
        Variance of the error of an estimate.
    """

    weight: float = 0.0
    declared: float = 0.0
    actual: float = 0.0
    var: float = PRIOR_VAR
    cov: float = PRIOR_VAR
    error_var: float = PRIOR_ERROR_VAR

    @property
    def slope(self) -> float:
        """Slope of the regression: the weight of a declared time against the mean.

        If all declared times were the same, their variance vanishes, and the slope is
        that of the prior.
        """
        if self.var <= 0:
            return 1.0
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
        """Update the regression with a step that has ended."""
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
