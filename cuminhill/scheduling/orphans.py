"""Results of tasks whose request this placer does not know yet.

A placer that takes over a shard receives results of tasks that its predecessor started;
the records of their requests may be folded later.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..platform.worker import TaskResult
    from .state import WorkerState

MAX_ORPHANS = 20_000


@dataclass(frozen=True, slots=True)
class Orphan:
    """Result of a task of an unknown request.

    Parameters
    ----------
    received_at : float, seconds
        Monotonic time of its arrival.
    """

    worker: WorkerState
    result: TaskResult
    received_at: float


@dataclass(eq=False, slots=True)
class Orphans:
    """Results by task id, oldest first; beyond the limit, the oldest are dropped."""

    by_task: OrderedDict[str, Orphan] = field(default_factory=OrderedDict)
    n_dropped: int = 0
    _of_request: dict[str, dict[str, None]] = field(default_factory=dict)

    def put(self, worker: WorkerState, result: TaskResult, now: float) -> None:
        """Keep a result, and have its worker keep it too."""
        worker.unsettled[result.seq] = result.request_id
        earlier = self.by_task.get(result.task_id)
        if earlier is not None:
            self._unlink(earlier.result)
        self.by_task[result.task_id] = Orphan(worker, result, now)
        self._of_request.setdefault(result.request_id, {})[result.task_id] = None
        if len(self.by_task) > MAX_ORPHANS:
            self.n_dropped += 1
            self._settle(self.by_task.popitem(last=False)[1])

    def pop_task(self, task_id: str) -> Orphan | None:
        """Remove and return the result of a task, or None."""
        orphan = self.by_task.pop(task_id, None)
        if orphan is not None:
            self._settle(orphan)
        return orphan

    def drop(self, request_id: str) -> None:
        """Drop the results of a request that has ended."""
        for task_id in list(self._of_request.get(request_id, ())):
            self.pop_task(task_id)

    def requests(self, before: float) -> set[str]:
        """Return the requests of results that arrived before a given time."""
        return {
            orphan.result.request_id
            for orphan in self.by_task.values()
            if orphan.received_at < before
        }

    def _settle(self, orphan: Orphan) -> None:
        orphan.worker.unsettled.pop(orphan.result.seq, None)
        self._unlink(orphan.result)

    def _unlink(self, result: TaskResult) -> None:
        """Remove a result from the index by request."""
        task_ids = self._of_request[result.request_id]
        del task_ids[result.task_id]
        if not task_ids:
            del self._of_request[result.request_id]
