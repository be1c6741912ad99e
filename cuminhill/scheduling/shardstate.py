"""State of a shard: all changes of its tasks, their capacity and their answers."""

from __future__ import annotations

import contextlib
import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import Answer, AnswerState, Reason, RequestKind, not_run
from .estimates import Estimates, UsageMonitor
from .events import ControlTask, Finish
from .freecapacity import FreeCapacity
from .health import HealthTable
from .orphans import Orphans
from .policies import Weights
from .queueing import Queue
from .quotas import TeamUsage
from .state import OCCUPYING, Phase, Ran, RequestState, TaskState, WorkerState
from .unexpected import UnexpectedTasks

if TYPE_CHECKING:
    from ..platform.worker import TaskResult
    from .crashes import LostTasks
    from .events import Action
    from .gangs import GangReservation

INFINITY = float("inf")
MAX_CRASHES_KEPT = 1000  # beyond it, the oldest is dropped


@dataclass(eq=False)
class ShardState:
    """State of one shard and the elementary operations on it.

    Parameters
    ----------
    tasks : dict of str to TaskState
        Tasks that have not ended, and those of requests without an answer.
    tasks_on : dict of str to dict
        Tasks by the worker on which they are believed to be.
    unexpected_tasks : UnexpectedTasks
        Tasks that a worker lists but whose request is unknown.
    orphans : Orphans
        Results of tasks whose request is unknown.
    stopped_at : dict of str to float, seconds
        When the tasks of each lost worker were declared stopped, so that a late
        reply does not readmit the worker.
    lost : dict of str to LostTasks
        Tasks on workers that no longer answer, by worker.
    crashes_at : deque of float, seconds
        When crashes of workers were counted, the newest last.
    observed_since : float, seconds
        When the first worker reported; infinite before.
    """

    shard_name: str
    clock_error_s: float
    weights: Weights = field(default_factory=Weights)
    workers: dict[str, WorkerState] = field(default_factory=dict)
    requests: dict[str, RequestState] = field(default_factory=dict)
    tasks: dict[str, TaskState] = field(default_factory=dict)
    tasks_on: dict[str, dict[str, TaskState]] = field(default_factory=dict)
    unexpected_tasks: UnexpectedTasks = field(default_factory=UnexpectedTasks)
    stopped_at: dict[str, float] = field(default_factory=dict)
    orphans: Orphans = field(default_factory=Orphans)
    actions: list[Action] = field(default_factory=list)
    roster_complete: bool = False
    n_placed: int = 0
    n_queued: int = 0
    n_preempted: int = 0
    n_overuse_steps: int = 0
    n_crashes: int = 0
    crashes_at: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_CRASHES_KEPT)
    )
    observed_since: float = INFINITY
    lost: dict[str, LostTasks] = field(default_factory=dict)
    reservation: GangReservation | None = None
    gangs_due_at: float = 0.0
    next_gang: int = 0
    freed_workers: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.teams = TeamUsage()
        self.queue = Queue(self.teams.rank)
        self.health = HealthTable()
        self.estimates = Estimates()
        self.usage: dict[str, UsageMonitor] = {}
        self.free_capacity = FreeCapacity(
            self.workers, self.tasks_on, self.estimates.speeds
        )
        self._wakeups: list[tuple[float, int, TaskState]] = []
        self._deadlines: list[tuple[float, str]] = []
        self._numbers = itertools.count()

    # Workers

    def update_capacity(self, worker: WorkerState) -> None:
        """Update the capacity indexes after a change of a worker."""
        self.free_capacity.update_worker(worker)
        self.teams.set_total(self.free_capacity.total)

    def wake(self, worker: WorkerState) -> None:
        """Retry waiting requests after capacity was freed on a worker."""
        if not worker.usable:
            return
        free = self.free_capacity.free_of(worker)
        is_awaited = (
            self.reservation is not None
            and worker.worker_id in self.reservation.still_in_use
        )
        if is_awaited:
            self.freed_workers.append(worker.worker_id)
        # Short tasks may be backfilled on workers that are reserved for a gang.
        is_reserved = worker.worker_id in self.free_capacity.gang_reserves
        self.queue.wake(
            free if is_reserved else self.free_capacity.general_free(worker), free
        )

    def release_on(self, worker: WorkerState, task_id: str) -> None:
        """Release the capacity of a task that has left a worker."""
        if task_id not in worker.needs:
            return
        worker.free_task(task_id)
        self.update_capacity(worker)
        self.wake(worker)

    def pause_worker(self, worker_id: str) -> None:
        """Place nothing more on a worker until its next report."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.held:
            worker.held = False
            self.update_capacity(worker)

    def set_ejected(self, worker: WorkerState, *, ejected: bool) -> None:
        """Eject a worker, so that it gets no new tasks, or readmit it."""
        self.free_capacity.probing.discard(worker.worker_id)
        if worker.ejected != ejected:
            worker.ejected = ejected
            self.update_capacity(worker)
            self.wake(worker)

    def mark_probe_started(self, task: TaskState, worker: WorkerState) -> None:
        """Close a worker to further tasks once its probe has started."""
        if worker.worker_id in self.free_capacity.probing:
            self.health.of(worker.worker_id).probing = task.task_id
            self.set_ejected(worker, ejected=True)

    def open_probes(self, now: float) -> None:
        """Open each ejected worker that is due for a probe to one batch task."""
        for worker_id, health in self.health.workers.items():
            if not health.ejected:
                continue
            if health.probing not in {"", *self.tasks_on.get(worker_id, {})}:
                health.abandon_probe(health.probing, now)
            worker = self.workers.get(worker_id)
            if worker is not None and health.may_place(now):
                self.set_ejected(worker, ejected=False)
                self.free_capacity.probing.add(worker_id)

    def run_time_s(self, task: TaskState, worker: WorkerState) -> float:
        """Return the expected run time of a task on a worker, in seconds."""
        factor = self.estimates.correction(task.owner.request)
        return task.remaining_s * factor / max(self.free_capacity.speed(worker), 1e-3)

    # Tasks

    def set_phase(self, task: TaskState, phase: Phase, now: float) -> None:
        """Change the phase of a task and update the usage of its team."""
        was, becomes = task.phase in OCCUPYING, phase in OCCUPYING
        if was != becomes:
            self._count(task, occupies=becomes)
        if phase is Phase.QUEUED or task.phase is Phase.QUEUED:
            self.n_queued += (phase is Phase.QUEUED) - (task.phase is Phase.QUEUED)
        task.phase = phase
        task.phase_at = now

    def attach(self, task: TaskState, worker_id: str) -> None:
        """Record on which worker a task is."""
        self.detach(task)
        task.worker_id = worker_id
        self.tasks_on.setdefault(worker_id, {})[task.task_id] = task

    def detach(self, task: TaskState) -> None:
        """Record that a task is on no worker; its capacity is released separately."""
        on = self.tasks_on.get(task.worker_id)
        if on is not None and on.get(task.task_id) is task:
            del on[task.task_id]
            if not on:
                del self.tasks_on[task.worker_id]
        task.worker_id = ""

    def occupy(
        self, task: TaskState, worker: WorkerState, phase: Phase, now: float
    ) -> None:
        """Assign a task to a worker and count its need there."""
        if task.phase in OCCUPYING:
            self._count(task, occupies=False)  # the rack may change
            task.phase = Phase.HELD
        self.attach(task, worker.worker_id)
        task.epoch = worker.epoch
        task.incarnation = worker.incarnation
        if task.task_id not in worker.needs:
            worker.reserve(task.task_id, task.need)
            self.update_capacity(worker)
        self.set_phase(task, phase, now)

    def release(self, task: TaskState) -> None:
        """Release the capacity of a task on its current worker."""
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            self.release_on(worker, task.task_id)

    def requeue(self, task: TaskState, now: float, not_before: float = 0.0) -> None:
        """Queue a task that is on no worker, or end it if it may not start again."""
        state = task.owner
        if state.over or (state.expired and not self._may_restart(task)):
            self.end(task, None, now)
            return
        self.set_phase(task, Phase.QUEUED, now)
        self.detach(task)
        if not state.ready:
            state.waiting_since = now
        if not_before > now:
            task.not_before = not_before
            entry = (not_before, next(self._numbers), task)
            heapq.heappush(self._wakeups, entry)
        else:
            self._make_ready(task)
        self.offer(state)

    def offer(self, state: RequestState) -> None:
        """Queue a request if it has tasks to place, else remove it from the queue."""
        wanted = len(state.ready) > 0 and not state.over
        if state.kind is RequestKind.GANG:
            wanted = wanted and len(state.ready) == state.n_open
        if wanted:
            state.regrouping = False
            self.queue.add(state)
        else:
            self.queue.discard(state)

    def remove_ready(self, state: RequestState, task: TaskState) -> None:
        """Remove a task that is being placed from its request's ready tasks."""
        if state.ready and state.ready[0] is task:
            state.ready.popleft()
        else:
            state.ready.remove(task)
        if not state.ready:
            self.queue.discard(state)

    def end(self, task: TaskState, result: TaskResult | None, now: float) -> None:
        """End a task; it will not run again."""
        if task.phase is Phase.ENDED:
            return
        state = task.owner
        if task.phase is Phase.QUEUED and task.not_before <= now:
            with contextlib.suppress(ValueError):
                state.ready.remove(task)
        self.set_phase(task, Phase.ENDED, now)
        self.detach(task)
        if result is not None:
            task.result = result
        state.n_open -= 1
        if state.ended:
            self.tasks.pop(task.task_id, None)
            return
        if not state.ready or state.kind is RequestKind.GANG:
            self.offer(state)
        self.finish_if_ended(state)

    def stop(self, task: TaskState, now: float, verb: str = "stop") -> None:
        """Stop a running task, or repeat the stop call."""
        worker = self.workers.get(task.worker_id)
        if task.phase is not Phase.STOPPING:
            self.set_phase(task, Phase.STOPPING, now)
        task.verb = verb
        task.verb_at = now
        if worker is not None:
            self.free_capacity.update_worker(worker)  # less can be reclaimed
            self.actions.append(
                ControlTask(task.task_id, task.worker_id, verb, worker.epoch)
            )

    def stop_on(self, worker: WorkerState, task_id: str) -> None:
        """Stop a task on a worker, also one that is unexpected or a duplicate."""
        self.actions.append(
            ControlTask(task_id, worker.worker_id, "stop", worker.epoch)
        )

    # Time

    def watch_deadline(self, state: RequestState) -> None:
        """Schedule the expiry of a request at its deadline."""
        deadline = state.request.deadline
        if deadline < INFINITY:
            entry = (deadline + self.clock_error(state), state.request.request_id)
            heapq.heappush(self._deadlines, entry)

    def process_timers(self, now: float, wall: float) -> None:
        """Process the deadlines and retry delays that have passed."""
        while self._wakeups and self._wakeups[0][0] <= now:
            _, _, task = heapq.heappop(self._wakeups)
            if task.phase is Phase.QUEUED and 0.0 < task.not_before <= now:
                task.not_before = 0.0
                self._make_ready(task)
                self.offer(task.owner)
        while self._deadlines and self._deadlines[0][0] < wall:
            _, request_id = heapq.heappop(self._deadlines)
            state = self.requests.get(request_id)
            if state is not None and not state.finished:
                self._expire(state, now)

    def clock_error(self, state: RequestState) -> float:
        """Return the tolerated clock difference for a deadline, in seconds."""
        # A check stays within one process, so its deadline is read from one clock.
        return 0.0 if state.kind is RequestKind.CHECK else self.clock_error_s

    def may_start(self, task: TaskState, wall: float) -> bool:
        """Return whether a task may start now.

        The deadline limits first starts: a task that has certainly run before
        may be started again after it.
        """
        state = task.owner
        if state.over:
            return False
        if wall < state.request.deadline - self.clock_error(state):
            return True
        return self._may_restart(task)

    # Answers

    def finish_if_ended(self, state: RequestState) -> None:
        """Answer a request once all of its tasks have ended."""
        if state.n_open > 0 or state.finished or state.ended:
            return
        results = [task.result for task in state.tasks]
        if state.unknown:
            self._finish(state, AnswerState.UNKNOWN, state.unknown)
        elif state.cancelled and not all(r is not None and r.ok for r in results):
            self._finish(state, AnswerState.CANCELLED)
        elif failed := [r for r in results if r is not None and not r.ok]:
            self._finish(state, AnswerState.FAILED, failed[0].detail)
        elif state.expired and None in results:
            if all(task.ran is Ran.NEVER for task in state.tasks):
                self._finish_not_run(state)
            else:
                self._finish(
                    state,
                    AnswerState.FAILED,
                    "not all started in time",
                )
        else:
            self._finish(state, AnswerState.DONE)

    def end_with_unknown_outcome(self, task: TaskState, now: float) -> None:
        """End a task of an order whose outcome can no longer be determined."""
        task.owner.unknown = f"worker {task.worker_id} was lost after the start"
        self.end(task, None, now)

    def _finish(
        self, state: RequestState, answer_state: AnswerState, detail: str = ""
    ) -> None:
        state.finished = True
        results = [
            {"task": task.index, "ok": task.result.ok, "value": task.result.value}
            for task in state.tasks
            if task.result is not None
        ]
        answer = Answer(state.request.request_id, answer_state, None, detail, results)
        self.actions.append(Finish(state.request, answer))

    def _finish_not_run(self, state: RequestState) -> None:
        state.finished = True
        answer = not_run(
            state.request.request_id,
            Reason.DEADLINE,
            "no worker in time",
        )
        self.actions.append(Finish(state.request, answer))

    def _expire(self, state: RequestState, now: float) -> None:
        state.expired = True
        for task in state.tasks:
            if task.phase is Phase.QUEUED and not self._may_restart(task):
                self.end(task, None, now)
        self.offer(state)

    def _may_restart(self, task: TaskState) -> bool:
        state = task.owner
        if state.kind is RequestKind.GANG:
            return any(other.ran is Ran.YES for other in state.tasks)
        return task.ran is Ran.YES

    def _make_ready(self, task: TaskState) -> None:
        task.not_before = 0.0
        task.owner.ready.append(task)

    def _count(self, task: TaskState, *, occupies: bool) -> None:
        state = task.owner
        if occupies:
            worker = self.workers.get(task.worker_id)
            task.rack = worker.rack if worker is not None else ""
            self.teams.charge(state.request.team, task.need)
            state.racks[task.rack] += 1
            return
        self.teams.credit(state.request.team, task.need)
        state.racks[task.rack] -= 1
        self.queue.uncap(state.request.team)
