"""Speed and failures of one worker, learned from the ends of runs."""

from __future__ import annotations

from dataclasses import dataclass

# Consecutive failures of different jobs after which a worker is left out; single
# failures are mostly the job's own.
N_FAILURES_TO_EJECT = 2
# Seconds for which a worker is left out, doubled each time up to the bound. It is
# short, since two failures in a row also happen on good workers.
EJECT_S = 1.5
MAX_EJECT_S = 6.0
# Least weight of a new observation in the running mean of the speed; the first ones
# weigh more. Declared run times are off by factors, so the mean is geometric.
SPEED_WEIGHT = 0.08
PRIOR_OBSERVATIONS = 2  # how many runs the assumption of a speed of 1 is worth
MIN_SPEED, MAX_SPEED = 0.1, 4.0


@dataclass(eq=False, slots=True)
class WorkerHealth:
    """What recent runs say about a worker.

    Parameters
    ----------
    speed : float
        Declared run time divided by actual run time; 1 for a worker as declared.
    n_failures : int
        Failures and refusals since the last success.
    ejected_until : float, seconds
        Time until which no run is placed on the worker.
    """

    speed: float = 1.0
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float = 0.0
    last_failed_job: str = ""
    n_runs: int = 0

    def may_take(self, now: float) -> bool:
        """Return whether runs may be placed on the worker."""
        return now >= self.ejected_until

    def failed(self, job_id: str, now: float) -> bool:
        """Note a failed run; return whether the worker is left out from now on."""
        if job_id == self.last_failed_job:
            return False  # a job that fails everywhere says nothing about workers
        self.last_failed_job = job_id
        self.n_failures += 1
        if self.n_failures < N_FAILURES_TO_EJECT:
            return False
        self.eject(now)
        return True

    def eject(self, now: float) -> None:
        """Leave the worker out for a while, longer each time."""
        delay_s = min(MAX_EJECT_S, EJECT_S * 2**self.n_ejections)
        self.ejected_until = now + delay_s
        self.n_ejections += 1
        # One more failure after the return ejects again.
        self.n_failures = N_FAILURES_TO_EJECT - 1

    def succeeded(self, declared_s: float, actual_s: float) -> None:
        """Note a run that ended as done."""
        self.n_failures = self.n_ejections = 0
        self.last_failed_job = ""
        if declared_s <= 0 or actual_s <= 0:
            return
        observed = min(MAX_SPEED, max(MIN_SPEED, declared_s / actual_s))
        self.n_runs += 1
        weight = max(SPEED_WEIGHT, 1 / (PRIOR_OBSERVATIONS + self.n_runs))
        self.speed *= (observed / self.speed) ** weight


def make_worker_health() -> WorkerHealth:
    """Return the health of a worker about which nothing is known."""
    return WorkerHealth()
