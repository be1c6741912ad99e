"""Baseline schedulers behind the same events and actions as the placer.

All four keep one queue in order of arrival and know declared needs only. "First
come first served with first fit" stops at the first request that fits nowhere;
the others go on to later requests, so that they waste no free worker.
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
class _Node:
    """One worker."""

    worker_id: str
    capacity: Resources
    free: Resources
    epoch: int
    needs: dict[str, Resources] = field(default_factory=dict)

    def take(self, task_id: str, need: Resources) -> None:
        """Count a task."""
        self.needs[task_id] = need
        self.free = self.free - need

    def give_back(self, task_id: str) -> None:
        """Stop counting a task."""
        need = self.needs.pop(task_id, None)
        if need is not None:
            self.free = self.free + need if self.needs else self.capacity


@dataclass(eq=False, slots=True)
class _Job:
    """One request."""

    request: Request
    queued: list[str]
    n_left: int
    n_failed: int = 0
    cancelled: bool = False
    started: bool = False
    n_tries: dict[str, int] = field(default_factory=dict)
    running: dict[str, _Node] = field(default_factory=dict)


def first_fit(nodes: list[_Node], need: Resources) -> _Node | None:
    """Return the first worker that the task fits on."""
    for node in nodes:
        if need.fits(node.free):
            return node
    return None


def least_loaded(nodes: list[_Node], need: Resources) -> _Node | None:
    """Return the worker with the largest free share of cores."""
    fitting = [node for node in nodes if need.fits(node.free)]
    return max(fitting, key=lambda n: n.free.cores / n.capacity.cores, default=None)


def best_fit(nodes: list[_Node], need: Resources) -> _Node | None:
    """Return the worker that has least left, over cores and memory."""
    fitting = [node for node in nodes if need.fits(node.free)]
    return min(
        fitting,
        key=lambda n: (
            n.free.cores / n.capacity.cores + n.free.memory_mb / n.capacity.memory_mb
        ),
        default=None,
    )


@dataclass(eq=False, slots=True)
class TwoChoices:
    """Draws two workers and takes the less loaded one that fits."""

    rng: random.Random

    def __call__(self, nodes: list[_Node], need: Resources) -> _Node | None:
        """Return one of two random workers, or None if the task fits on neither."""
        return least_loaded(self.rng.sample(nodes, min(2, len(nodes))), need)


@dataclass(eq=False)
class Baseline:
    """Queue in order of arrival with a rule that chooses the worker.

    Parameters
    ----------
    choose : callable
        From workers and need to a worker, or None.
    blocking : bool
        Whether a request that fits nowhere holds up later ones.
    randomized : bool
        Whether a failed choice proves nothing about equal needs.
    """

    choose: Callable[[list[_Node], Resources], _Node | None]
    blocking: bool = False
    randomized: bool = False
    _nodes: dict[str, _Node] = field(default_factory=dict)
    _jobs: dict[str, _Job] = field(default_factory=dict)
    _queue: dict[str, _Job] = field(default_factory=dict)
    _actions: list[Action] = field(default_factory=list)
    _changed: bool = False

    def handle(self, event: Event, now: float, wall: float) -> list[Action]:
        """Take one event and return what is to be done."""
        self._on(event, now)
        if isinstance(event, Tick):
            self._expire(wall)
        if self._changed:
            self._changed = False
            self._place(wall)
        actions, self._actions = self._actions, []
        return actions

    def refusal(self, request: Request, wall: float) -> Answer | None:
        """Return why a request is not taken, or None."""
        if any(request.need.fits(node.capacity) for node in self._nodes.values()):
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
        if event.worker_id not in self._nodes:
            self._nodes[event.worker_id] = _Node(
                event.worker_id, reply.capacity, reply.capacity, reply.epoch
            )
            self._changed = True

    @_on.register
    def _(self, event: RequestAccepted, now: float) -> None:
        request = event.request
        tasks = [request.task_id(index) for index in range(request.n_tasks)]
        job = _Job(request, tasks, request.n_tasks)
        self._jobs[request.request_id] = self._queue[request.request_id] = job
        self._changed = True

    @_on.register
    def _(self, event: CancelRequested, now: float) -> None:
        job = self._jobs.get(event.request_id)
        if job is None:
            return
        job.cancelled = True
        job.n_left -= len(job.queued)
        job.queued.clear()
        self._queue.pop(event.request_id, None)
        for task_id, node in job.running.items():
            self._actions.append(
                ControlTask(task_id, node.worker_id, "stop", node.epoch)
            )
        self._finish_if_over(job)

    @_on.register
    def _(self, event: TaskEnded, now: float) -> None:
        result = event.result
        node = self._nodes[event.worker_id]
        node.give_back(result.task_id)
        self._changed = True
        job = self._jobs.get(result.request_id)
        if job is None:
            return
        job.running.pop(result.task_id, None)
        retry = not result.ok and not job.cancelled
        retry = retry and job.request.kind is not RequestKind.ORDER
        tries = job.n_tries[result.task_id] = job.n_tries.get(result.task_id, 0) + 1
        if retry and tries < MAX_TRIES:
            job.queued.append(result.task_id)
            self._queue[result.request_id] = job
            return
        job.n_left -= 1
        job.n_failed += not result.ok
        self._finish_if_over(job)

    @_on.register
    def _(self, event: RequestEnded, now: float) -> None:
        self._jobs.pop(event.request_id, None)
        self._queue.pop(event.request_id, None)

    def _finish_if_over(self, job: _Job) -> None:
        if job.n_left > 0:
            return
        state = AnswerState.FAILED if job.n_failed else AnswerState.DONE
        if job.cancelled:
            state = AnswerState.CANCELLED
        self._actions.append(Finish(job.request, Answer(job.request.request_id, state)))

    def _expire(self, wall: float) -> None:
        for job in list(self._queue.values()):
            if wall > job.request.deadline and not job.started:
                answer = not_run(job.request.request_id, Reason.DEADLINE)
                self._actions.append(Finish(job.request, answer))
                del self._queue[job.request.request_id]

    def _place(self, wall: float) -> None:
        nodes = list(self._nodes.values())
        hopeless: set[Resources] = set()  # needs that fit nowhere in this pass
        for request_id, job in list(self._queue.items()):
            need = job.request.need
            if need in hopeless or wall >= job.request.deadline:
                continue
            chosen = self._assign(job, nodes)
            for task_id, node in chosen:
                job.running[task_id] = node
                self._actions.append(
                    StartTask(
                        task_id,
                        job.request,
                        node.worker_id,
                        node.epoch,
                        job.request.run_time_s,
                    )
                )
            job.started = job.started or bool(chosen)
            if not job.queued:
                del self._queue[request_id]
                continue
            if self.blocking or not any(node.free.slots >= 1 for node in nodes):
                return
            if not self.randomized and job.request.kind is not RequestKind.GANG:
                hopeless.add(need)

    def _assign(self, job: _Job, nodes: list[_Node]) -> list[tuple[str, _Node]]:
        chosen: list[tuple[str, _Node]] = []
        need = job.request.need
        for task_id in job.queued:
            node = self.choose(nodes, need)
            if node is None:
                break
            node.take(task_id, need)
            chosen.append((task_id, node))
        all_or_none = job.request.kind is RequestKind.GANG and not job.started
        if all_or_none and len(chosen) < len(job.queued):
            for task_id, node in chosen:
                node.give_back(task_id)
            return []
        del job.queued[: len(chosen)]
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
