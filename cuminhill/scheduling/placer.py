"""Placer of one shard: takes events with their time, gives actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from ..model import (
    Answer,
    AnswerState,
    Reason,
    Request,
    RequestKind,
    Resources,
    not_run,
)
from .events import (
    Action,
    CancelRequested,
    ControlTask,
    Event,
    FenceWorker,
    Finish,
    RecordStart,
    RequestAccepted,
    RequestEnded,
    RosterComplete,
    StartOutcome,
    StartRecorded,
    StartReplied,
    StartTask,
    TaskEnded,
    Tick,
    WorkerLeaving,
    WorkerReported,
    WorkerStopped,
    WorkerUnreachable,
)
from .policies import choose, policy_for
from .state import (
    OCCUPYING,
    Phase,
    RequestState,
    TaskState,
    WorkerState,
    make_request_state,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..coordination.claims import Started
    from ..platform.worker import LeaseReply, TaskResult

MAX_TRIES = 3
MAX_QUEUED_TASKS = 200_000

_URGENCY = {
    RequestKind.CHECK: 0,
    RequestKind.ORDER: 1,
    RequestKind.SERVICE: 2,
    RequestKind.GANG: 3,
    RequestKind.BATCH: 4,
}


@dataclass(eq=False)
class Placer:
    """Decides which worker of a shard runs which task.

    Parameters
    ----------
    shard : str
        Name of the shard.
    clock_error_s : float, seconds
        Largest difference between the wall clocks of two VMs.
    """

    shard: str
    clock_error_s: float = 0.25
    workers: dict[str, WorkerState] = field(default_factory=dict)
    requests: dict[str, RequestState] = field(default_factory=dict)
    roster_complete: bool = False
    n_placed: int = 0
    _tasks: dict[str, TaskState] = field(default_factory=dict)
    _actions: list[Action] = field(default_factory=list)

    def handle(self, event: Event, now: float, wall: float) -> list[Action]:
        """Take one event and return what is to be done.

        Parameters
        ----------
        event : Event
            What happened.
        now : float, seconds
            Monotonic time.
        wall : float, seconds since the epoch
            Wall-clock time, used for deadlines only.

        Returns
        -------
        list of Action
            In the order in which they are to be carried out.
        """
        self._on(event, now, wall)
        self._expire_deadlines(wall)
        self._place_queued(now, wall)
        actions, self._actions = self._actions, []
        return actions

    def refusal(self, request: Request, wall: float) -> Answer | None:
        """Return why a request is not taken, or None if it is."""
        request_id = request.request_id
        if request.deadline <= wall:
            return not_run(request_id, Reason.DEADLINE, "deadline has passed")
        if len(self._tasks) + request.n_tasks > MAX_QUEUED_TASKS:
            return not_run(request_id, Reason.OVERLOAD, "queue is full")
        if not self.workers:
            return not_run(request_id, Reason.UNAVAILABLE, "no worker is held")
        if not any(request.need.fits(w.capacity) for w in self.workers.values()):
            return not_run(
                request_id, Reason.INFEASIBLE, "a task fits on no worker here"
            )
        return None

    def free(self) -> Resources:
        """Return what is free on all usable workers together."""
        total = Resources(0.0, 0.0, 0.0, 0.0, 0.0)
        for worker in self.workers.values():
            if worker.usable:
                total = total + worker.free
        return total

    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Return why a request waits or where it runs; None if unknown here."""
        state = self.requests.get(request_id)
        if state is None:
            return None
        return {
            "request_id": request_id,
            "shard": self.shard,
            "tasks": [
                {
                    "task_id": task.task_id,
                    "phase": task.phase,
                    "worker": task.worker_id,
                    "n_tries": task.n_tries,
                }
                for task in state.tasks
            ],
        }

    def dump(self) -> dict[str, Any]:
        """Return the state in JSON-ready form."""
        return {
            "shard": self.shard,
            "roster_complete": self.roster_complete,
            "n_placed": self.n_placed,
            "requests": sorted(self.requests),
            "workers": {
                worker.worker_id: {
                    "epoch": worker.epoch,
                    "held": worker.held,
                    "leaving": worker.leaving,
                    "cores_used": worker.used.cores,
                    "cores": worker.capacity.cores,
                    "tasks": sorted(worker.needs),
                }
                for worker in self.workers.values()
            },
        }

    @singledispatchmethod
    def _on(self, event: Event, now: float, wall: float) -> None:
        raise TypeError(f"not an event: {event!r}")

    @_on.register
    def _(self, event: Tick, now: float, wall: float) -> None:
        pass

    # Requests

    @_on.register
    def _(self, event: RequestAccepted, now: float, wall: float) -> None:
        request = event.request
        if request.request_id in self.requests:
            return
        state = make_request_state(request, now)
        self.requests[request.request_id] = state
        for task in state.tasks:
            self._tasks[task.task_id] = task
            started = event.started.get(task.task_id)
            if started is not None:
                task.phase = Phase.HELD
                task.prior = event.started_offsets[task.task_id]
                task.worker_id = started.worker_id
                task.epoch = started.epoch
                task.incarnation = started.incarnation
            elif event.inherited and not self.roster_complete:
                task.phase = Phase.HELD
            self._adopt_if_listed(task, now)

    @_on.register
    def _(self, event: RequestEnded, now: float, wall: float) -> None:
        state = self.requests.pop(event.request_id, None)
        for worker in self.workers.values():
            for seq in [
                k for k, v in worker.unsettled.items() if v == event.request_id
            ]:
                del worker.unsettled[seq]
        if state is None:
            return
        for task in state.tasks:
            self._tasks.pop(task.task_id, None)
            if task.phase in OCCUPYING and task.phase is not Phase.RECORDING:
                # Still running for a request that is over: the worker's list
                # frees the capacity when the stop has taken effect.
                self._stop(task)
            else:
                self._release(task)

    @_on.register
    def _(self, event: CancelRequested, now: float, wall: float) -> None:
        state = self.requests.get(event.request_id)
        if state is None or state.finished:
            return
        state.cancelled = True
        for task in state.tasks:
            if task.phase is Phase.QUEUED:
                self._set_phase(task, Phase.ENDED, now)
            elif task.phase in {Phase.RUNNING, Phase.UNCERTAIN}:
                self._stop(task)
        self._finish_if_over(state)

    # Starts

    @_on.register
    def _(self, event: StartRecorded, now: float, wall: float) -> None:
        task = self._tasks.get(event.task_id)
        if task is None:
            return
        if event.other is not None and task.phase in {Phase.HELD, Phase.QUEUED}:
            self._hold_for(event.other, event.offset, task, now)
        if task.phase is not Phase.RECORDING:
            return
        state = self.requests[task.request_id]
        if event.valid:
            task.prior = event.offset
        worker = self.workers.get(task.worker_id)
        current = (
            worker is not None
            and worker.usable
            and worker.epoch == task.epoch
            and worker.incarnation == task.incarnation
        )
        if event.valid and current and self._may_start(state, wall):
            self._start(state, task, now)
            return
        self._release(task)
        if state.cancelled:
            self._set_phase(task, Phase.ENDED, now)
            self._finish_if_over(state)
        elif event.valid:
            self._requeue(task, now)  # the worker was never called
        elif event.other is not None:
            self._hold_for(event.other, event.offset, task, now)
        else:
            self._set_phase(task, Phase.HELD, now)  # its final answer follows

    @_on.register
    def _(self, event: StartReplied, now: float, wall: float) -> None:
        task = self._tasks.get(event.task_id)
        if task is None or task.phase is not Phase.STARTING:
            return
        if (task.worker_id, task.epoch) != (event.worker_id, event.epoch):
            return
        if event.outcome is StartOutcome.RUNNING:
            self._set_phase(task, Phase.RUNNING, now)
        elif event.outcome is StartOutcome.UNKNOWN:
            self._set_phase(task, Phase.UNCERTAIN, now)
            self._actions.append(FenceWorker(event.worker_id))
        else:
            self._release(task)
            self._pause_worker(event.worker_id)
            self._requeue(task, now)
        if self.requests[task.request_id].cancelled and task.phase is Phase.RUNNING:
            self._stop(task)

    @_on.register
    def _(self, event: TaskEnded, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            self._take_result(worker, event.result, now)

    # Workers

    @_on.register
    def _(self, event: WorkerReported, now: float, wall: float) -> None:
        reply = event.reply
        worker = self.workers.get(event.worker_id)
        if worker is not None and worker.incarnation != reply.incarnation:
            self._forget_worker(worker, now)
            worker = None
        if worker is None:
            worker = WorkerState(
                event.worker_id,
                reply.capacity,
                reply.rack,
                reply.failure_domain,
                reply.speed,
                reply.epoch,
                reply.incarnation,
            )
            self.workers[event.worker_id] = worker
        worker.held = True
        worker.epoch = reply.epoch
        worker.leaving = worker.leaving or reply.leaving
        worker.usage_cores = reply.usage_cores
        worker.usage_memory_mb = reply.usage_memory_mb
        self._reconcile(worker, reply, event.sent_at, now)

    @_on.register
    def _(self, event: WorkerLeaving, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            worker.leaving = True

    @_on.register
    def _(self, event: WorkerUnreachable, now: float, wall: float) -> None:
        self._pause_worker(event.worker_id)
        for task in list(self._tasks.values()):
            if task.worker_id != event.worker_id or task.phase not in OCCUPYING:
                continue
            # A check is idempotent and urgent: it does not wait for the task
            # lease to lapse. The old worker still counts it until it is heard.
            if self.requests[task.request_id].kind is RequestKind.CHECK:
                self._requeue(task, now)

    @_on.register
    def _(self, event: WorkerStopped, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            self._forget_worker(worker, now)

    @_on.register
    def _(self, event: RosterComplete, now: float, wall: float) -> None:
        self.roster_complete = True
        for state in list(self.requests.values()):
            for task in state.tasks:
                if task.phase is not Phase.HELD:
                    continue
                if task.prior < 0:
                    self._requeue(task, now)
                elif task.worker_id not in event.worker_ids:
                    self._outcome_unknown(state, task, now)

    def _reconcile(
        self, worker: WorkerState, reply: LeaseReply, sent_at: float, now: float
    ) -> None:
        """Bring tasks and capacity in line with the worker's own list."""
        for result in reply.finished:
            self._take_result(worker, result, now)
        worker.last_seq = max(worker.last_seq, reply.seq)
        listed = {report.task_id for report in reply.tasks}
        for report in reply.tasks:
            worker.reserve(report.task_id, report.need)
            task = self._tasks.get(report.task_id)
            if task is not None:
                self._adopt_if_listed(task, now)
        for task_id in [key for key in worker.needs if key not in listed]:
            task = self._tasks.get(task_id)
            if task is None or task.worker_id != worker.worker_id:
                worker.free_task(task_id)
            elif task.phase_at < sent_at:
                self._missing(worker, task, reply, now)
        for task in self._held_on(worker):
            if task.task_id not in listed and task.epoch < reply.epoch:
                self._missing(worker, task, reply, now)

    def _missing(
        self, worker: WorkerState, task: TaskState, reply: LeaseReply, now: float
    ) -> None:
        """Handle a task of ours that its worker lists no more."""
        if task.phase in {Phase.RECORDING, Phase.STARTING}:
            return
        state = self.requests[task.request_id]
        if task.phase is Phase.STOPPING:
            worker.free_task(task.task_id)
            self._set_phase(task, Phase.ENDED, now)
            self._finish_if_over(state)
            return
        if task.phase is Phase.UNCERTAIN and task.epoch >= reply.epoch:
            return  # the start call may still be on its way under this epoch
        worker.free_task(task.task_id)
        if state.kind is not RequestKind.ORDER:
            self._requeue(task, now)
        elif task.phase in {Phase.UNCERTAIN, Phase.HELD} and (
            task.incarnation == reply.incarnation and not reply.dropped
        ):
            # Same life, newer epoch, neither listed nor finished: the start
            # never took effect, and fencing keeps it from doing so later.
            self._requeue(task, now)
        else:
            self._outcome_unknown(state, task, now)

    def _hold_for(
        self, started: Started, offset: int, task: TaskState, now: float
    ) -> None:
        """Leave a task to the worker that another placer's record names.

        The worker's next list under a newer epoch tells whether it started.
        """
        task.prior = offset
        task.worker_id = started.worker_id
        task.epoch = started.epoch
        task.incarnation = started.incarnation
        self._set_phase(task, Phase.HELD, now)
        self._adopt_if_listed(task, now)
        lost = self.roster_complete and started.worker_id not in self.workers
        if lost and task.phase is Phase.HELD:
            self._outcome_unknown(self.requests[task.request_id], task, now)

    def _pause_worker(self, worker_id: str) -> None:
        """Place nothing more on a worker until it is heard again."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.held = False

    def _held_on(self, worker: WorkerState) -> Iterator[TaskState]:
        held = [
            task
            for task in self._tasks.values()
            if task.phase is Phase.HELD and task.worker_id == worker.worker_id
        ]
        return iter(held)

    def _adopt_if_listed(self, task: TaskState, now: float) -> None:
        """Take over a task that some worker lists as running."""
        if task.phase is Phase.STARTING:
            return  # the start call itself will tell
        if task.phase in {Phase.RUNNING, Phase.STOPPING, Phase.ENDED}:
            return
        for worker in self.workers.values():
            if task.task_id not in worker.needs:
                continue
            if task.phase is Phase.RECORDING:
                return
            task.worker_id = worker.worker_id
            task.epoch = worker.epoch
            task.incarnation = worker.incarnation
            self._set_phase(task, Phase.RUNNING, now)
            if self.requests[task.request_id].cancelled:
                self._stop(task)
            return

    def _forget_worker(self, worker: WorkerState, now: float) -> None:
        """Drop a worker whose tasks have certainly stopped."""
        del self.workers[worker.worker_id]
        for task in list(self._tasks.values()):
            if task.worker_id != worker.worker_id:
                continue
            state = self.requests[task.request_id]
            if task.phase is Phase.STOPPING:
                self._set_phase(task, Phase.ENDED, now)
                self._finish_if_over(state)
            elif task.phase is Phase.RECORDING:
                continue  # decided when the record is read back
            elif task.phase in OCCUPYING or task.phase is Phase.HELD:
                if state.kind is RequestKind.ORDER:
                    self._outcome_unknown(state, task, now)
                else:
                    self._requeue(task, now)

    # Tasks

    def _take_result(self, worker: WorkerState, result: TaskResult, now: float) -> None:
        worker.last_seq = max(worker.last_seq, result.seq)
        worker.free_task(result.task_id)
        task = self._tasks.get(result.task_id)
        if task is None or task.phase is Phase.ENDED:
            return
        state = self.requests[task.request_id]
        worker.unsettled[result.seq] = task.request_id
        task.worker_id = worker.worker_id
        if state.kind is RequestKind.SERVICE and not state.cancelled:
            self._requeue(task, now)
            return
        failed_by_stop = task.phase is Phase.STOPPING
        if result.ok or state.kind is RequestKind.ORDER or failed_by_stop:
            task.result = result
            self._set_phase(task, Phase.ENDED, now)
        else:
            task.n_tries += 1
            if task.n_tries >= MAX_TRIES:
                task.result = result
                self._set_phase(task, Phase.ENDED, now)
            else:
                self._requeue(task, now)
        self._finish_if_over(state)

    def _requeue(self, task: TaskState, now: float) -> None:
        """Let a task that certainly does not run wait for a start, unless cancelled."""
        task.worker_id = ""
        state = self.requests[task.request_id]
        if state.cancelled:
            self._set_phase(task, Phase.ENDED, now)
            self._finish_if_over(state)
        else:
            self._set_phase(task, Phase.QUEUED, now)

    def _outcome_unknown(
        self, state: RequestState, task: TaskState, now: float
    ) -> None:
        self._set_phase(task, Phase.ENDED, now)
        self._finish(
            state,
            AnswerState.UNKNOWN,
            detail=f"worker {task.worker_id} was lost after the start",
        )

    def _stop(self, task: TaskState) -> None:
        worker = self.workers.get(task.worker_id)
        task.phase = Phase.STOPPING
        if worker is not None:
            self._actions.append(
                ControlTask(task.task_id, task.worker_id, "stop", worker.epoch)
            )

    def _release(self, task: TaskState) -> None:
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            worker.free_task(task.task_id)

    def _set_phase(self, task: TaskState, phase: Phase, now: float) -> None:
        task.phase = phase
        task.phase_at = now

    # Answers

    def _finish_if_over(self, state: RequestState) -> None:
        if any(task.phase is not Phase.ENDED for task in state.tasks):
            return
        results = [task.result for task in state.tasks]
        if state.cancelled and not all(r is not None and r.ok for r in results):
            self._finish(state, AnswerState.CANCELLED)
            return
        failed = [r for r in results if r is not None and not r.ok]
        if failed:
            self._finish(state, AnswerState.FAILED, detail=failed[0].detail)
        else:
            self._finish(state, AnswerState.DONE)

    def _finish(
        self, state: RequestState, answer_state: AnswerState, detail: str = ""
    ) -> None:
        if state.finished:
            return
        state.finished = True
        results = [
            {"task": task.index, "ok": task.result.ok, "value": task.result.value}
            for task in state.tasks
            if task.result is not None
        ]
        answer = Answer(state.request.request_id, answer_state, None, detail, results)
        self._actions.append(Finish(state.request, answer))

    def _clock_error(self, state: RequestState) -> float:
        # A check lives in one process only, so one clock judges its deadline.
        return 0.0 if state.kind is RequestKind.CHECK else self.clock_error_s

    def _may_start(self, state: RequestState, wall: float) -> bool:
        if state.cancelled or state.finished:
            return False
        return wall < state.request.deadline - self._clock_error(state)

    def _expire_deadlines(self, wall: float) -> None:
        for state in self.requests.values():
            if state.finished or state.request.deadline == float("inf"):
                continue
            if state.kind is not RequestKind.CHECK and not self.roster_complete:
                continue  # an earlier placer may have started it
            late = wall > state.request.deadline + self._clock_error(state)
            if late and state.untouched:
                state.finished = True
                answer = not_run(
                    state.request.request_id, Reason.DEADLINE, "no worker in time"
                )
                self._actions.append(Finish(state.request, answer))

    # Placement

    def _queued(self, wall: float) -> Iterator[RequestState]:
        waiting = [
            state
            for state in self.requests.values()
            if self._may_start(state, wall)
            and any(task.phase is Phase.QUEUED for task in state.tasks)
        ]
        waiting.sort(
            key=lambda s: (_URGENCY[s.kind], -s.request.priority, s.accepted_at)
        )
        return iter(waiting)

    def _place_queued(self, now: float, wall: float) -> None:
        for state in self._queued(wall):
            tasks = [task for task in state.tasks if task.phase is Phase.QUEUED]
            chosen = self._assign(state, tasks)
            for task, worker in chosen:
                task.worker_id = worker.worker_id
                task.epoch = worker.epoch
                task.incarnation = worker.incarnation
                if state.kind is RequestKind.ORDER:
                    self._record_start(state, task, now)
                else:
                    self._start(state, task, now)

    def _assign(
        self, state: RequestState, tasks: list[TaskState]
    ) -> list[tuple[TaskState, WorkerState]]:
        """Reserve a worker for each task that fits; all or none for a gang."""
        policy = policy_for(state.kind)
        chosen: list[tuple[TaskState, WorkerState]] = []
        for task in tasks:
            worker = choose(policy, task, self.workers.values())
            if worker is None:
                break
            worker.reserve(task.task_id, task.need)
            chosen.append((task, worker))
        if state.kind is RequestKind.GANG and len(chosen) < len(tasks):
            for task, worker in chosen:
                worker.free_task(task.task_id)
            return []
        return chosen

    def _record_start(self, state: RequestState, task: TaskState, now: float) -> None:
        self._set_phase(task, Phase.RECORDING, now)
        self._actions.append(
            RecordStart(
                task.task_id,
                state.request,
                task.worker_id,
                task.epoch,
                task.incarnation,
                task.prior,
            )
        )

    def _start(self, state: RequestState, task: TaskState, now: float) -> None:
        self._set_phase(task, Phase.STARTING, now)
        self.n_placed += 1
        self._actions.append(
            StartTask(
                task.task_id,
                state.request,
                task.worker_id,
                task.epoch,
                task.remaining_s,
            )
        )


def make_placer(shard: str, *, clock_error_s: float = 0.25) -> Placer:
    """Return a placer that holds no workers yet.

    Parameters
    ----------
    shard : str
        Name of the shard.
    clock_error_s : float, seconds
        Largest difference between the wall clocks of two VMs.
    """
    return Placer(shard, clock_error_s)
