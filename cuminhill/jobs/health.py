"""Failures of one worker, learned from the ends of runs, and its present speed."""

from __future__ import annotations

from dataclasses import dataclass

# Consecutive failures of different jobs after which a worker is left out; single
# failures are mostly the job's own.
N_FAILURES_TO_EJECT = 2
# Seconds for which a worker is left out, doubled each time up to the bound. It is
# short, since two failures in a row also happen on good workers.
EJECT_S = 1.5
MAX_EJECT_S = 6.0


@dataclass(eq=False, slots=True)
class WorkerHealth:
    """What recent runs say about a worker.

    Parameters
    ----------
    speed : float
        Nominal run time divided by actual run time, from `speeds.SpeedModel`.
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

    def accepts_runs(self, now: float) -> bool:
        """Return whether runs may be placed on the worker."""
        return now >= self.ejected_until

    def record_failure(self, job_id: str, now: float) -> bool:
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

    def record_success(self) -> None:
        """Note a run that ended as done."""
        self.n_failures = self.n_ejections = 0
        self.last_failed_job = ""


def make_worker_health() -> WorkerHealth:
    """Return the health of a worker about which nothing is known."""
    return WorkerHealth()
