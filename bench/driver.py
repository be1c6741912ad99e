"""Runs a stream against a placer in virtual time and measures the outcome."""

from __future__ import annotations

import heapq
import itertools
import time
from collections import defaultdict
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from cuminhill.model import NO_RESOURCES, AnswerState, Reason, RequestKind, Resources
from cuminhill.platform.worker import LeaseReply, TaskReport, TaskResult
from cuminhill.scheduling.events import (
    Action,
    CancelRequested,
    ControlTask,
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
    WorkerReported,
)

from .outcome import Outcome
from .streams import WALL0

if TYPE_CHECKING:
    from collections.abc import Callable

    from cuminhill.model import Answer
    from cuminhill.scheduling.events import Event

    from .outcome import PlacerLike
    from .streams import Arrival, Stream, WorkerSpec

TICK_S = 0.1  # as in cuminhill.shard
REPORT_INTERVAL_S = 1.0  # of the reports of one worker; 0.35 s in the daemon
FAIL_AFTER_S = 0.05  # run time of a task on a worker that fails everything
THROTTLED_RATE = 0.5
TOLERANCE = 1e-6  # allows for rounding errors in sums of needs


@dataclass(eq=False, slots=True)
class _Running:
    """One attempt of a task."""

    task_id: str
    arrival: Arrival
    index: int
    worker_id: str
    started_at: float
    left_s: float  # reference seconds until the attempt ends
    updated_at: float
    ok: bool
    rate: float = 1.0
    version: int = 0


@dataclass(eq=False, slots=True)
class _Worker:
    """State of one simulated worker."""

    spec: WorkerSpec
    epoch: int = 1
    seq: int = 0
    used: Resources = NO_RESOURCES
    used_cores: float = 0.0
    tasks: dict[str, _Running] = field(default_factory=dict)


class Driver:
    """Runs one stream against one placer.

    Parameters
    ----------
    placer : PlacerLike
        Scheduler under test.
    stream : Stream
        Arrivals, cancellations and workers.
    """

    def __init__(self, placer: PlacerLike, stream: Stream) -> None:
        self.placer = placer
        self.stream = stream
        self.outcome = Outcome()
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._offsets = itertools.count()
        self._workers = {item.worker_id: _Worker(item) for item in stream.workers}
        self._arrivals = {item.request.request_id: item for item in stream.arrivals}
        self._running: dict[str, _Running] = {}
        self._first_start: dict[str, float] = {}
        self._n_tries: dict[str, int] = defaultdict(int)
        self._left_s: dict[str, float] = {}  # after a checkpoint
        self._ended: dict[str, Answer] = {}
        self._accepted: set[str] = set()

    def run(self) -> Outcome:
        """Run the stream until its horizon and return the measurements."""
        for worker_id in self._workers:
            self._send(self._report(worker_id))
            self._at(REPORT_INTERVAL_S, self._on_report, worker_id)
        self._send(RosterComplete(frozenset(self._workers)))
        for arrival in self.stream.arrivals:
            self._at(arrival.at, self._on_arrival, arrival)
        for at, request_id in self.stream.cancels:
            self._at(at, self._on_cancel, request_id)
        self._at(TICK_S, self._on_tick)
        while self._heap and self._heap[0][0] <= self.stream.horizon_s:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)
        self.now = self.stream.horizon_s
        self._settle()
        return self.outcome

    # Events in virtual time

    def _at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._heap, (when, next(self._order), action, args))

    def _on_tick(self) -> None:
        self._send(Tick())
        self._at(self.now + TICK_S, self._on_tick)

    def _on_report(self, worker_id: str) -> None:
        self._send(self._report(worker_id))
        self._at(self.now + REPORT_INTERVAL_S, self._on_report, worker_id)

    def _on_arrival(self, arrival: Arrival) -> None:
        request = arrival.request
        answer = self.placer.refusal(request, WALL0 + self.now)
        if answer is not None:
            self.outcome.n_refused += 1
            self._ended[request.request_id] = answer
            return
        self._accepted.add(request.request_id)
        self._send(RequestAccepted(request))

    def _on_cancel(self, request_id: str) -> None:
        if request_id in self._accepted and request_id not in self._ended:
            self._send(CancelRequested(request_id))

    def _on_end(self, task_id: str, version: int) -> None:
        run = self._running.get(task_id)
        if run is not None and run.version == version:
            self._end(run, ok=run.ok, detail="" if run.ok else "task failed")

    # Events to the placer and its actions

    def _send(self, event: Event) -> None:
        started = time.thread_time_ns()
        actions = self.placer.handle(event, self.now, WALL0 + self.now)
        self.outcome.handle_ns.append(time.thread_time_ns() - started)
        self._check_gangs(actions)
        for action in actions:
            self._do(action)

    def _check_gangs(self, actions: list[Action]) -> None:
        """Count gangs of which only some tasks are started for the first time."""
        first: dict[str, int] = defaultdict(int)
        for action in actions:
            if isinstance(action, StartTask) and (
                action.request.kind is RequestKind.GANG
                and action.task_id not in self._first_start
            ):
                first[action.request.request_id] += 1
        for request_id, count in first.items():
            if count < self._arrivals[request_id].request.n_tasks:
                self.outcome.n_split_gangs += 1

    @singledispatchmethod
    def _do(self, action: Action) -> None:
        raise TypeError(f"not an action: {action!r}")

    @_do.register
    def _(self, action: RecordStart) -> None:
        offset = next(self._offsets)
        request_id = action.request.request_id
        # Scheduled, since the answer of a log never arrives within the call.
        self._at(
            self.now,
            self._send,
            StartRecorded(action.task_id, request_id, True, offset),
        )

    @_do.register
    def _(self, action: StartTask) -> None:
        worker = self._workers[action.worker_id]
        task_id = action.task_id
        arrival = self._arrivals[action.request.request_id]
        index = int(task_id.rpartition("/")[2])
        self.outcome.n_starts += 1
        self._first_start.setdefault(task_id, self.now)
        if task_id in self._running:
            self.outcome.n_double_starts += 1
            return
        self._n_tries[task_id] += 1
        ok = self._n_tries[task_id] > arrival.n_failures[index]
        left_s = arrival.true_s[index]
        if action.run_time_s < action.request.run_time_s:
            left_s = self._left_s.get(task_id, left_s)
        bad_from, bad_to = self.stream.failing.get(action.worker_id, (0.0, 0.0))
        if bad_from <= self.now < bad_to:
            ok, left_s = False, FAIL_AFTER_S * worker.spec.speed
        elif not ok:
            left_s /= 2
        run = _Running(
            task_id,
            arrival,
            index,
            action.worker_id,
            self.now,
            left_s,
            self.now,
            ok,
        )
        self._running[task_id] = worker.tasks[task_id] = run
        worker.used = worker.used + action.request.need
        worker.used_cores += action.request.need.cores * arrival.usage
        if not _within(worker.used, worker.spec.capacity):
            self.outcome.n_overfilled += 1
        self._schedule_end(run)
        if action.request.kind is not RequestKind.CHECK:
            reply = StartReplied(
                task_id,
                action.worker_id,
                StartOutcome.RUNNING,
                action.epoch,
                action.number,
            )
            self._at(self.now, self._send, reply)

    @_do.register
    def _(self, action: ControlTask) -> None:
        run = self._running.get(action.task_id)
        if run is None:
            return
        self._progress(run)
        if action.verb == "throttle":
            run.rate = THROTTLED_RATE
            self._schedule_end(run)
            return
        remaining_s = None
        if action.verb == "checkpoint":
            self._left_s[run.task_id] = run.left_s
            fraction_left = run.left_s / run.arrival.true_s[run.index]
            remaining_s = run.arrival.request.run_time_s * min(fraction_left, 0.999999)
            self._n_tries[run.task_id] -= 1
        self._end(run, ok=False, detail=action.verb, remaining_s=remaining_s)

    @_do.register
    def _(self, action: FenceWorker) -> None:
        self._workers[action.worker_id].epoch += 1
        self._at(self.now, self._on_fenced, action.worker_id)

    @_do.register
    def _(self, action: Finish) -> None:
        request_id = action.request.request_id
        self._ended[request_id] = action.answer
        self.outcome.n_failed += action.answer.state is AnswerState.FAILED
        self._at(self.now, self._send, RequestEnded(request_id))

    def _on_fenced(self, worker_id: str) -> None:
        self._send(self._report(worker_id))

    # Workers

    def _report(self, worker_id: str) -> WorkerReported:
        worker = self._workers[worker_id]
        spec = worker.spec
        tasks = tuple(
            TaskReport(
                run.task_id,
                run.arrival.request.request_id,
                run.arrival.request.need,
                self.now - run.started_at,
            )
            for run in worker.tasks.values()
        )
        reply = LeaseReply(
            worker.epoch,
            "1",
            worker.seq,
            False,
            spec.capacity,
            spec.rack,
            spec.failure_domain,
            spec.speed,
            tasks,
            (),
            worker.used_cores,
            worker.used.memory_mb,
        )
        return WorkerReported(worker_id, reply, self.now)

    def _schedule_end(self, run: _Running) -> None:
        run.version += 1
        speed = self._workers[run.worker_id].spec.speed * run.rate
        self._at(self.now + run.left_s / speed, self._on_end, run.task_id, run.version)

    def _progress(self, run: _Running) -> None:
        """Update the remaining work and add the work done to the outcome."""
        speed = self._workers[run.worker_id].spec.speed * run.rate
        done_s = min(run.left_s, (self.now - run.updated_at) * speed)
        run.left_s -= done_s
        run.updated_at = self.now
        if run.ok:
            self.outcome.useful_work += run.arrival.request.need.cores * done_s

    def _end(
        self, run: _Running, *, ok: bool, detail: str, remaining_s: float | None = None
    ) -> None:
        self._progress(run)
        worker = self._workers[run.worker_id]
        need = run.arrival.request.need
        if detail == "stop" and run.arrival.request.kind is not RequestKind.SERVICE:
            # The work of a stopped attempt is not useful.
            lost_s = run.arrival.true_s[run.index] - run.left_s
            self.outcome.useful_work -= need.cores * lost_s if run.ok else 0.0
        del self._running[run.task_id], worker.tasks[run.task_id]
        worker.used = worker.used - need if worker.tasks else NO_RESOURCES
        worker.used_cores = (
            worker.used_cores - need.cores * run.arrival.usage if worker.tasks else 0.0
        )
        worker.seq += 1
        result = TaskResult(
            run.task_id,
            run.arrival.request.request_id,
            ok,
            detail,
            None,
            self.now - run.started_at,
            remaining_s,
            worker.seq,
        )
        # Scheduled, since a stop is answered after the call that requested it.
        self._at(self.now, self._send, TaskEnded(run.worker_id, result))

    # Totals

    def _settle(self) -> None:
        for run in self._running.values():
            self._progress(run)
        for arrival in self.stream.arrivals:
            self._settle_request(arrival)

    def _settle_request(self, arrival: Arrival) -> None:
        request = arrival.request
        answer = self._ended.get(request.request_id)
        if answer is not None and answer.reason is Reason.INFEASIBLE:
            return
        until = min(self.now, request.deadline - WALL0)
        starts = [
            self._first_start.get(request.task_id(index))
            for index in range(request.n_tasks)
        ]
        cancelled = answer is not None and answer.state is AnswerState.CANCELLED
        unstarted = sum(at is None for at in starts)
        if not cancelled:
            self.outcome.n_unstarted += unstarted
        waits = [
            (until if at is None else at) - arrival.at
            for at in starts
            if at is not None or not cancelled
        ]
        if request.kind is RequestKind.GANG:
            waits = [max(waits)] if waits else []
        self.outcome.waits_s[request.kind].extend(waits)
        if request.deadline - WALL0 <= self.stream.horizon_s and not cancelled:
            self.outcome.n_with_deadline += 1
            self.outcome.n_missed += unstarted > 0


def _within(used: Resources, capacity: Resources) -> bool:
    return (
        used.cores <= capacity.cores + TOLERANCE
        and used.memory_mb <= capacity.memory_mb + TOLERANCE
        and used.slots <= capacity.slots + TOLERANCE
        and used.connections <= capacity.connections + TOLERANCE
    )


def run_stream(placer: PlacerLike, stream: Stream) -> Outcome:
    """Return the outcome of a placer on a stream."""
    return Driver(placer, stream).run()
