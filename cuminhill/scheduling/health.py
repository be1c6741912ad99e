"""Ejection and probing of workers that fail every task."""

from __future__ import annotations

from dataclasses import dataclass, field

EJECT_AFTER = 3  # consecutive failures of different requests
PROBE_BASE_S = 5.0  # delay before the first probe; doubles with each failed one
PROBE_MAX_S = 300.0


@dataclass(eq=False, slots=True)
class WorkerHealth:
    """Recent failures of one worker.

    Parameters
    ----------
    failing : dict of str to None
        Requests that failed since the last success, oldest first.
    probe_at : float, seconds
        Monotonic time from which one task may be placed as a probe; 0 if not
        ejected.
    probing : str
        Task that serves as the probe; empty if none is running.
    n_ejections : int
        Consecutive ejections, failed probes included.
    """

    failing: dict[str, None] = field(default_factory=dict)
    probe_at: float = 0.0
    probing: str = ""
    n_ejections: int = 0

    @property
    def ejected(self) -> bool:
        """Whether the worker gets no tasks except probes."""
        return self.probe_at > 0.0

    def may_place(self, now: float) -> bool:
        """Return whether a task, or the next probe, may be placed there now."""
        return not self.ejected or (now >= self.probe_at and not self.probing)

    def record_failure(self, task_id: str, request_id: str, now: float) -> bool:
        """Record a failure; return whether the worker is ejected afterwards.

        Repeated failures of one request do not count against the worker.
        """
        self.failing[request_id] = None
        is_probe = self.probing == task_id
        if self.ejected and not is_probe:
            return True  # a task from before the ejection
        if not is_probe and len(self.failing) < EJECT_AFTER:
            return False
        self._eject(now)
        return True

    def abandon_probe(self, task_id: str, now: float) -> None:
        """Reschedule a probe that ended without a result."""
        if self.probing == task_id:
            self.probing = ""
            self.probe_at = now + PROBE_BASE_S

    def _eject(self, now: float) -> None:
        while len(self.failing) > EJECT_AFTER:
            del self.failing[next(iter(self.failing))]
        delay_s = min(PROBE_MAX_S, PROBE_BASE_S * 2.0 ** min(self.n_ejections, 10))
        self.n_ejections += 1
        self.probe_at = now + delay_s
        self.probing = ""


@dataclass(eq=False, slots=True)
class HealthTable:
    """Workers of a shard that have failed since their last success, by name.

    It outlives the leases, since a restart does not make a worker healthy.
    """

    workers: dict[str, WorkerHealth] = field(default_factory=dict)

    def of(self, worker_id: str) -> WorkerHealth:
        """Return the health of a worker."""
        health = self.workers.get(worker_id)
        if health is None:
            health = self.workers[worker_id] = WorkerHealth()
        return health

    def record_success(self, worker_id: str) -> bool:
        """Record a success; return whether the worker had failed before."""
        return self.workers.pop(worker_id, None) is not None

    def is_ejected(self, worker_id: str) -> bool:
        """Return whether a worker gets no tasks except probes."""
        health = self.workers.get(worker_id)
        return health is not None and health.ejected
