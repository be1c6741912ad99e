"""Tasks that workers list but whose request this placer does not know."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(eq=False, slots=True)
class UnexpectedTasks:
    """Unexpected tasks by id, indexed by request and by worker.

    After a takeover there may be thousands, and as many requests of which the log says
    that they have ended.

    Parameters
    ----------
    worker_of : dict of str to str
        Worker that lists each task.
    """

    worker_of: dict[str, str] = field(default_factory=dict)
    _of_request: dict[str, dict[str, None]] = field(default_factory=dict)
    _on_worker: dict[str, dict[str, None]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.worker_of)

    def put(self, task_id: str, worker_id: str) -> None:
        """Add a task, or replace the worker that lists it."""
        if self.worker_of.get(task_id) == worker_id:
            return
        self.pop(task_id)
        self.worker_of[task_id] = worker_id
        self._of_request.setdefault(_request_of(task_id), {})[task_id] = None
        self._on_worker.setdefault(worker_id, {})[task_id] = None

    def pop(self, task_id: str) -> str | None:
        """Remove a task; return its worker, None if it is unknown."""
        worker_id = self.worker_of.pop(task_id, None)
        if worker_id is not None:
            _discard(self._of_request, _request_of(task_id), task_id)
            _discard(self._on_worker, worker_id, task_id)
        return worker_id

    def of_request(self, request_id: str) -> list[tuple[str, str]]:
        """Return the tasks of a request with their workers."""
        task_ids = self._of_request.get(request_id, ())
        return [(task_id, self.worker_of[task_id]) for task_id in task_ids]

    def drop_worker(self, worker_id: str) -> None:
        """Remove all tasks of a worker."""
        for task_id in list(self._on_worker.get(worker_id, ())):
            self.pop(task_id)


def _request_of(task_id: str) -> str:
    """Return the id of the request of a task, see `Request.task_id`."""
    return task_id.rpartition("/")[0]


def _discard(index: dict[str, dict[str, None]], key: str, task_id: str) -> None:
    task_ids = index[key]
    del task_ids[task_id]
    if not task_ids:
        del index[key]
