"""Workers that fail everything they start: ejection and probes."""

from __future__ import annotations

from dataclasses import dataclass, field

EJECT_AFTER = 3  # consecutive failures of different requests
PROBE_BASE_S = 5.0  # until the first probe; doubles with each failed one
PROBE_MAX_S = 300.0


@dataclass(eq=False, slots=True)
class WorkerHealth:
    """Recent failures of one worker.

    Parameters
    ----------
    failing : dict of str to None
        Requests that failed since the last success, oldest first.
    probe_at : float, seconds
        Monotonic time at which one task may be tried; 0 if not ejected.
    probing : str
        Task that is the probe; empty if none is under way.
    n_ejections : int
        Consecutive ejections, failed probes included.
    """

    failing: dict[str, None] = field(default_factory=dict)
    probe_at: float = 0.0
    probing: str = ""
    n_ejections: int = 0

    @property
    def ejected(self) -> bool:
        """Whether the worker gets no work but a probe."""
        return self.probe_at > 0.0

    def may_place(self, now: float) -> bool:
        """Return whether a task, or the probe, may be placed there now."""
        return not self.ejected or (now >= self.probe_at and not self.probing)

    def record_failure(self, task_id: str, request_id: str, now: float) -> bool:
        """Note a failure; return whether the worker is (still) ejected by it.

        One request that fails again and again says nothing about the worker.
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
        """Note that a probe ended without telling anything."""
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

    It outlives the leases: a worker that restarts is not healthy for that reason.
    """

    workers: dict[str, WorkerHealth] = field(default_factory=dict)

    def of(self, worker_id: str) -> WorkerHealth:
        """Return the health of a worker."""
        health = self.workers.get(worker_id)
        if health is None:
            health = self.workers[worker_id] = WorkerHealth()
        return health

    def record_success(self, worker_id: str) -> bool:
        """Note that a task ran to its end; return whether it had failed before."""
        return self.workers.pop(worker_id, None) is not None

    def is_ejected(self, worker_id: str) -> bool:
        """Return whether a worker gets no work but a probe."""
        health = self.workers.get(worker_id)
        return health is not None and health.ejected
