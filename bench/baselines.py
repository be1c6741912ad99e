"""Baseline schedulers with the same events and actions as the placer.

All four have one queue in order of arrival and use declared needs only. First come,
first served with first fit stops at the first request that fits on no worker; the
others go on to later requests, so that they leave no usable worker idle.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from cuminhill.model import (
    Answer,
    AnswerState,
    Reason,
    Request,
    RequestKind,
    Resources,
    not_run,
)
from cuminhill.scheduling.events import (
    Action,
    CancelRequested,
    ControlTask,
    Event,
    Finish,
    RequestAccepted,
    RequestEnded,
    RosterComplete,
    StartReplied,
    StartTask,
    TaskEnded,
    Tick,
    WorkerReported,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_TRIES = 3  # as in cuminhill.scheduling.placer


@dataclass(eq=False, slots=True)
class _Worker:
    """Capacity and tasks of one worker."""

    worker_id: str
    capacity: Resources
    free: Resources
    epoch: int
    needs: dict[str, Resources] = field(default_factory=dict)

    def reserve(self, task_id: str, need: Resources) -> None:
        """Reserve the resources of a task."""
        self.needs[task_id] = need
        self.free = self.free - need

    def release(self, task_id: str) -> None:
        """Release the resources of a task."""
        need = self.needs.pop(task_id, None)
        if need is not None:
            self.free = self.free + need if self.needs else self.capacity


@dataclass(eq=False, slots=True)
class _RequestState:
    """State of one request."""

    request: Request
    queued: list[str]
    n_left: int
    n_failed: int = 0
    cancelled: bool = False
    started: bool = False
    n_tries: dict[str, int] = field(default_factory=dict)
    running: dict[str, _Worker] = field(default_factory=dict)


def first_fit(workers: list[_Worker], need: Resources) -> _Worker | None:
    """Return the first worker that the task fits on."""
    for worker in workers:
        if need.fits(worker.free):
            return worker
    return None


def least_loaded(workers: list[_Worker], need: Resources) -> _Worker | None:
    """Return the worker with the largest fraction of free cores."""
    fitting = [worker for worker in workers if need.fits(worker.free)]
    return max(fitting, key=lambda n: n.free.cores / n.capacity.cores, default=None)


def best_fit(workers: list[_Worker], need: Resources) -> _Worker | None:
    """Return the worker with the least free cores and memory, as fractions."""
    fitting = [worker for worker in workers if need.fits(worker.free)]
    return min(
        fitting,
        key=lambda n: (
            n.free.cores / n.capacity.cores + n.free.memory_mb / n.capacity.memory_mb
        ),
        default=None,
    )


@dataclass(eq=False, slots=True)
class TwoChoices:
    """Samples two workers and chooses the less loaded one that fits."""

    rng: random.Random

    def __call__(self, workers: list[_Worker], need: Resources) -> _Worker | None:
        """Return one of two random workers, or None if the task fits on neither."""
        return least_loaded(self.rng.sample(workers, min(2, len(workers))), need)


@dataclass(eq=False)
class Baseline:
    """Scheduler with a queue in order of arrival and a rule to choose workers.

    Parameters
    ----------
    choose : callable
        Called with workers and need; returns a worker or None.
    blocking : bool
        Whether a request that fits on no worker blocks later ones.
    randomized : bool
        Whether another choice for the same need may succeed after a failed one.
    """

    choose: Callable[[list[_Worker], Resources], _Worker | None]
    blocking: bool = False
    randomized: bool = False
    _workers: dict[str, _Worker] = field(default_factory=dict)
    _requests: dict[str, _RequestState] = field(default_factory=dict)
    _queue: dict[str, _RequestState] = field(default_factory=dict)
    _actions: list[Action] = field(default_factory=list)
    _changed: bool = False

    def handle(self, event: Event, now: float, wall: float) -> list[Action]:
        """Process one event and return the actions to take."""
        self._on(event, now)
        if isinstance(event, Tick):
            self._expire(wall)
        if self._changed:
            self._changed = False
            self._place(wall)
        actions, self._actions = self._actions, []
        return actions

    def refusal(self, request: Request, wall: float) -> Answer | None:
        """Return why a request is rejected, or None."""
        if any(request.need.fits(worker.capacity) for worker in self._workers.values()):
            return None
        return not_run(request.request_id, Reason.INFEASIBLE)

    @singledispatchmethod
    def _on(self, event: Event, now: float) -> None:
        raise TypeError(f"not an event: {event!r}")

    @_on.register(Tick)
    @_on.register(StartReplied)
    @_on.register(RosterComplete)
    def _(self, event: Tick | StartReplied | RosterComplete, now: float) -> None:
        pass

    @_on.register
    def _(self, event: WorkerReported, now: float) -> None:
        reply = event.reply
        if event.worker_id not in self._workers:
            self._workers[event.worker_id] = _Worker(
                event.worker_id, reply.capacity, reply.capacity, reply.epoch
            )
            self._changed = True

    @_on.register
    def _(self, event: RequestAccepted, now: float) -> None:
        request = event.request
        tasks = [request.task_id(index) for index in range(request.n_tasks)]
        req_state = _RequestState(request, tasks, request.n_tasks)
        self._requests[request.request_id] = self._queue[request.request_id] = req_state
        self._changed = True

    @_on.register
    def _(self, event: CancelRequested, now: float) -> None:
        req_state = self._requests.get(event.request_id)
        if req_state is None:
            return
        req_state.cancelled = True
        req_state.n_left -= len(req_state.queued)
        req_state.queued.clear()
        self._queue.pop(event.request_id, None)
        for task_id, worker in req_state.running.items():
            self._actions.append(
                ControlTask(task_id, worker.worker_id, "stop", worker.epoch)
            )
        self._finish_if_over(req_state)

    @_on.register
    def _(self, event: TaskEnded, now: float) -> None:
        result = event.result
        worker = self._workers[event.worker_id]
        worker.release(result.task_id)
        self._changed = True
        req_state = self._requests.get(result.request_id)
        if req_state is None:
            return
        req_state.running.pop(result.task_id, None)
        retry = not result.ok and not req_state.cancelled
        retry = retry and req_state.request.kind is not RequestKind.ORDER
        tries = req_state.n_tries[result.task_id] = (
            req_state.n_tries.get(result.task_id, 0) + 1
        )
        if retry and tries < MAX_TRIES:
            req_state.queued.append(result.task_id)
            self._queue[result.request_id] = req_state
            return
        req_state.n_left -= 1
        req_state.n_failed += not result.ok
        self._finish_if_over(req_state)

    @_on.register
    def _(self, event: RequestEnded, now: float) -> None:
        self._requests.pop(event.request_id, None)
        self._queue.pop(event.request_id, None)

    def _finish_if_over(self, req_state: _RequestState) -> None:
        if req_state.n_left > 0:
            return
        state = AnswerState.FAILED if req_state.n_failed else AnswerState.DONE
        if req_state.cancelled:
            state = AnswerState.CANCELLED
        self._actions.append(
            Finish(req_state.request, Answer(req_state.request.request_id, state))
        )

    def _expire(self, wall: float) -> None:
        for req_state in list(self._queue.values()):
            if wall > req_state.request.deadline and not req_state.started:
                answer = not_run(req_state.request.request_id, Reason.DEADLINE)
                self._actions.append(Finish(req_state.request, answer))
                del self._queue[req_state.request.request_id]

    def _place(self, wall: float) -> None:
        workers = list(self._workers.values())
        unplaceable: set[Resources] = set()  # needs that fit on no worker in this pass
        for request_id, req_state in list(self._queue.items()):
            need = req_state.request.need
            if need in unplaceable or wall >= req_state.request.deadline:
                continue
            chosen = self._assign(req_state, workers)
            for task_id, worker in chosen:
                req_state.running[task_id] = worker
                self._actions.append(
                    StartTask(
                        task_id,
                        req_state.request,
                        worker.worker_id,
                        worker.epoch,
                        req_state.request.run_time_s,
                    )
                )
            req_state.started = req_state.started or bool(chosen)
            if not req_state.queued:
                del self._queue[request_id]
                continue
            if self.blocking or not any(worker.free.slots >= 1 for worker in workers):
                return
            if not self.randomized and req_state.request.kind is not RequestKind.GANG:
                unplaceable.add(need)

    def _assign(
        self, req_state: _RequestState, workers: list[_Worker]
    ) -> list[tuple[str, _Worker]]:
        chosen: list[tuple[str, _Worker]] = []
        need = req_state.request.need
        for task_id in req_state.queued:
            worker = self.choose(workers, need)
            if worker is None:
                break
            worker.reserve(task_id, need)
            chosen.append((task_id, worker))
        all_or_none = (
            req_state.request.kind is RequestKind.GANG and not req_state.started
        )
        if all_or_none and len(chosen) < len(req_state.queued):
            for task_id, worker in chosen:
                worker.release(task_id)
            return []
        del req_state.queued[: len(chosen)]
        return chosen


BASELINES = ("fcfs_first_fit", "least_loaded", "two_choices", "best_fit")


def make_baseline(name: str, seed: int = 0) -> Baseline:
    """Return a baseline by name.

    Parameters
    ----------
    name : str
        One of `BASELINES`.
    seed : int
        Seed of the random choices.
    """
    match name:
        case "fcfs_first_fit":
            return Baseline(first_fit, blocking=True)
        case "least_loaded":
            return Baseline(least_loaded)
        case "two_choices":
            return Baseline(TwoChoices(random.Random(seed)), randomized=True)
        case "best_fit":
            return Baseline(best_fit)
    raise ValueError(f"no such baseline: {name!r}")
