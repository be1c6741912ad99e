"""Health of one worker: recent failures, ejection and estimated speed."""

from __future__ import annotations

from dataclasses import dataclass

# Consecutive failures of different jobs after which a worker is ejected; single
# failures are mostly caused by the job itself.
N_FAILURES_TO_EJECT = 2
# Duration of the first ejection, doubled for each further one up to MAX_EJECT_S. It is
# short, since two failures in a row also happen on healthy workers.
EJECT_S = 1.5
MAX_EJECT_S = 6.0


@dataclass(eq=False, slots=True)
class WorkerHealth:
    """Health of a worker, derived from its recent runs.

    Parameters
    ----------
    speed : float
        Nominal run time divided by actual run time, from `speeds.SpeedModel`.
    n_failures : int
        Failed runs and rejected starts since the last success.
    n_ejections : int
        Ejections since the last success.
    ejected_until : float, seconds
        Time until which no run is placed on the worker.
    last_failed_job : str
        Job whose failure was counted last; empty after a success.
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
        """Record a failed run; return whether it caused the worker to be ejected."""
        if job_id == self.last_failed_job:
            return False  # a job that fails everywhere says nothing about its workers
        self.last_failed_job = job_id
        self.n_failures += 1
        if self.n_failures < N_FAILURES_TO_EJECT:
            return False
        self.eject(now)
        return True

    def eject(self, now: float) -> None:
        """Eject the worker, each time for longer."""
        delay_s = min(MAX_EJECT_S, EJECT_S * 2**self.n_ejections)
        self.ejected_until = now + delay_s
        self.n_ejections += 1
        # A single failure after the ejection causes the next one.
        self.n_failures = N_FAILURES_TO_EJECT - 1

    def record_success(self) -> None:
        """Record a run that ended as done."""
        self.n_failures = self.n_ejections = 0
        self.last_failed_job = ""


def make_worker_health() -> WorkerHealth:
    """Return the health of a new worker."""
    return WorkerHealth()
