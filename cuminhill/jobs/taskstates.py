"""States of the tasks of a step, kept for those that were assigned.

A job may have far more tasks than can run at a time. One that has never been assigned
needs no state, and of one that is done only the number of its run is needed: until that
is in the journal, it is told to the next term.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Marks of tasks. A lower number is that of the run that was done, plus 1.
NOT_DONE = 0
DONE_EARLIER = 1  # by a run that the journal no longer names
DONE_BY_LATE_RUN = 255


@dataclass(slots=True)
class TaskState:
    """State of one task.

    Parameters
    ----------
    run : int
        Highest run number used so far; run numbers increase by one.
    n_failed : int
        Number of runs that ended as failed.
    worker : str
        Worker on which the run may be present; empty if the task is not assigned.
    incarnation : int
        Incarnation of that worker.
    checkpoint : str
        Newest checkpoint; empty if there is none.
    done : bool
        Whether a run has ended as done.
    failed_run : int
        Number of the newest run that ended as failed.
    failed_on : set of str
        Workers on which runs failed; not kept in the journal.
    n_crashes : int
        Crashes of workers that the task may have caused.
    n_start_crashes : int
        Those at its start, since a run last survived it.
    start_exposure_s : float, seconds
        Longest time for which a run had been present at one of those; not kept in the
        journal, infinite if it is not known.
    away_since : float, seconds
        When the last run ended, or its worker stopped answering; 0 while the task runs
        and before its first run. The journal keeps how long ago that was, for tasks
        that last.
    given_up_at : float, seconds
        When that run was given up, so that the task might start again; 0 if it was not
        in this term. Not kept in the journal.
    still_percent : float
        Share of the work that its run had done at the newest report; negative if none
        is known, or if that report has shown more than the one before.
    still_s : float, seconds
        How long that share had not risen at that report.
    """

    run: int = 0
    n_failed: int = 0
    worker: str = ""
    incarnation: int = 0
    checkpoint: str = ""
    done: bool = False
    failed_run: int = 0
    failed_on: set[str] = field(default_factory=set)
    n_crashes: int = 0
    n_start_crashes: int = 0
    start_exposure_s: float = 0.0
    away_since: float = 0.0
    given_up_at: float = 0.0
    still_percent: float = -1.0
    still_s: float = 0.0

    @property
    def life(self) -> tuple[str, int]:
        """Worker on which the run may be present, with its incarnation."""
        return self.worker, self.incarnation


class TaskStates:
    """States of all tasks of a step, by index.

    Looking one up by index makes it if it is missing; `known` yields only those that
    are kept.

    Parameters
    ----------
    n_tasks : int
        Number of tasks.
    """

    __slots__ = ("_kept", "_late_runs", "_marks", "n_done", "n_tasks")

    def __init__(self, n_tasks: int) -> None:
        self.n_tasks = n_tasks
        self.n_done = 0
        self._kept: dict[int, TaskState] = {}
        # Empty while no task is done, and if the journal says that all are.
        self._marks = bytearray()
        self._late_runs: dict[int, int] = {}

    def __len__(self) -> int:
        return self.n_tasks

    def __getitem__(self, index: int) -> TaskState:
        task = self._kept.get(index)
        if task is not None:
            return task
        if not 0 <= index < self.n_tasks:
            raise IndexError(f"no task {index}")
        if self.is_done(index):
            return TaskState(self._done_run(index), done=True)
        task = self._kept[index] = TaskState()
        return task

    def __iter__(self) -> Iterator[TaskState]:
        return (self[index] for index in range(self.n_tasks))

    def known(self) -> Iterator[tuple[int, TaskState]]:
        """Yield the index and state of the tasks whose state is kept, by index."""
        return iter(sorted(self._kept.items()))

    def is_done(self, index: int) -> bool:
        """Return whether a run of a task has ended as done."""
        if self._marks:
            return self._marks[index] != NOT_DONE
        return self.n_done == self.n_tasks

    def _done_run(self, index: int) -> int:
        """Return the number of the run by which a task is done, 0 if not known."""
        mark = self._marks[index] if self._marks else DONE_EARLIER
        return self._late_runs[index] if mark == DONE_BY_LATE_RUN else mark - 1

    def mark_done(self, index: int) -> None:
        """Mark a task as done; its state is dropped unless a run may be present."""
        task = self[index]
        if task.done:
            return
        if not self._marks:
            self._marks = bytearray(self.n_tasks)
        mark = task.run + DONE_EARLIER
        if mark >= DONE_BY_LATE_RUN:
            self._late_runs[index] = task.run
        self._marks[index] = min(mark, DONE_BY_LATE_RUN)
        self.n_done += 1
        task.done = True
        if not task.worker:
            del self._kept[index]

    def mark_all_done(self) -> None:
        """Mark all tasks as done by runs that the journal no longer names."""
        self.n_done = self.n_tasks

    def done_indexes(self) -> list[int]:
        """Return the indexes of the tasks that are done."""
        if self._marks:
            return [index for index, mark in enumerate(self._marks) if mark]
        return list(range(self.n_done))

    def done_runs(self) -> Iterator[tuple[int, int]]:
        """Yield the index and number of the runs that are known to be done."""
        for index, mark in enumerate(self._marks):
            if mark > DONE_EARLIER:
                yield index, self._done_run(index)

    def waiting(self) -> Iterator[int]:
        """Yield the indexes of the tasks that are neither done nor assigned."""
        if self.n_done == self.n_tasks:
            return
        index = -1
        while True:
            index = self._next_undone(index + 1)
            if index >= self.n_tasks:
                return
            task = self._kept.get(index)
            if task is None or not task.worker:
                yield index

    def _next_undone(self, start: int) -> int:
        """Return the first index from `start` on of a task that is not done."""
        if not self._marks:
            return start
        index = self._marks.find(NOT_DONE, start)
        return index if index >= 0 else self.n_tasks

    def unstarted(self) -> Iterator[int]:
        """Yield the indexes of the tasks that have never been assigned."""
        for index in self.waiting():
            task = self._kept.get(index)
            if task is None or not task.run:
                yield index

    def interrupted(self) -> Iterator[int]:
        """Yield the indexes of the waiting tasks that have been assigned before."""
        for index, task in self.known():
            if task.run and not task.worker and not task.done:
                yield index
