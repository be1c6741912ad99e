"""Processor time of placement decisions with 24 to 17,000 workers."""

from __future__ import annotations

import itertools
import random
import time
from collections import deque
from typing import TYPE_CHECKING, Any

from cuminhill.model import Request, RequestKind, Resources
from cuminhill.platform.worker import LeaseReply, TaskReport, TaskResult
from cuminhill.scheduling.events import (
    Finish,
    RecordStart,
    RequestAccepted,
    RequestEnded,
    RosterComplete,
    StartOutcome,
    StartReplied,
    StartTask,
    TaskEnded,
    WorkerReported,
)
from cuminhill.scheduling.placer import make_placer

from .figures import figure, quantile
from .streams import MALANAD, WALL0, make_workers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .outcome import PlacerLike
    from .streams import WorkerSpec

BENCH = "decisions"
# Workers, running tasks, target of the p99 decision time in microseconds.
SIZES = (
    (24, 168, 1_000.0),
    (100, 700, None),
    (945, 6_670, 5_000.0),
    (17_000, 120_000, None),
)
RATE_TARGET = 2_000.0  # placements per second at 945 workers
N_DECISIONS = 4_000
N_REPORTS = 1_000
BACKLOG_WORKERS = 945
N_QUEUED = 5_000
BUDGET_S = 20.0  # time limit of the fill and of the measurement of one size
N_PER_REQUEST = 50  # running tasks of each request in the fill
NEED = Resources(2.0, 2048.0)


class _LoadedPlacer:
    """A placer with workers and running tasks."""

    def __init__(self, n_workers: int) -> None:
        rng = random.Random(n_workers)
        self.placer: PlacerLike = make_placer("bench")
        self.specs = {w.worker_id: w for w in make_workers(MALANAD, rng, n_workers)}
        self.now = 0.0
        self.seq = 0
        self.n_running = 0
        self.held: dict[str, list[TaskReport]] = {name: [] for name in self.specs}

    def send(self, event: Any) -> list[Any]:
        """Pass one event to the placer; virtual time advances by 0.1 ms."""
        self.now += 1e-4
        return self.placer.handle(event, self.now, WALL0 + self.now)

    def fill(self, n_running: int) -> None:
        """Give the placer running tasks from reports, as after a failover.

        Adds no further requests after the time limit.
        """
        give_up_at = time.monotonic() + BUDGET_S
        tasks = _fill_tasks(list(self.specs), n_running)
        held = self.held
        requests: list[tuple[Request, list[str]]] = []
        while chunk := list(itertools.islice(tasks, N_PER_REQUEST)):
            request = _request(
                f"fill-{len(requests)}", RequestKind.BATCH, len(chunk), run_time_s=1e4
            )
            for index, worker_id in enumerate(chunk):
                held[worker_id].append(
                    TaskReport(request.task_id(index), request.request_id, NEED, 1.0)
                )
            requests.append((request, chunk))
        for worker_id, spec in self.specs.items():
            self.send(_report(spec, tuple(held[worker_id]), self.now))
        for request, chunk in requests:
            if time.monotonic() > give_up_at:
                break
            self.send(RequestAccepted(request, inherited=True))
            self.n_running += len(chunk)
        self.send(RosterComplete(frozenset(self.specs)))


def _fill_tasks(workers: list[str], n_running: int) -> Iterator[str]:
    """Yield the worker of each running task.

    Workers get 6 to 8 tasks, so that some have a free slot, unless all slots are
    to be occupied.
    """
    full = n_running >= 8 * len(workers)
    quota = {name: 8 if full else 6 + i % 3 for i, name in enumerate(workers)}
    count = 0
    for level in range(8):
        for name in workers:
            if level < quota[name] and count < n_running:
                count += 1
                yield name


def _request(
    name: str, kind: RequestKind, n_tasks: int = 1, run_time_s: float = 1.0
) -> Request:
    return Request(name, kind, "team0", NEED, n_tasks, run_time_s=run_time_s)


def _report(
    spec: WorkerSpec, tasks: tuple[TaskReport, ...], now: float
) -> WorkerReported:
    used = sum(task.need.cores for task in tasks)
    reply = LeaseReply(
        1,
        "1",
        0,
        False,
        spec.capacity,
        spec.rack,
        spec.failure_domain,
        spec.speed,
        tasks,
        (),
        used,
        0.0,
    )
    return WorkerReported(spec.worker_id, reply, now)


def _start(actions: list[Any]) -> StartTask | None:
    for action in actions:
        assert not isinstance(action, RecordStart)
        if isinstance(action, StartTask):
            return action
    return None


def _cycle(loaded: _LoadedPlacer) -> tuple[list[float], int, float]:
    """Accept, place and end tasks.

    The number of tasks in flight is a hundredth of the number of workers, so that
    the free slots move between workers.

    Returns
    -------
    tuple of (list of float, int, float)
        Decision times in microseconds, number of placements, total seconds.
    """
    kinds = (RequestKind.BATCH, RequestKind.CHECK, RequestKind.BATCH)
    in_flight: deque[StartTask] = deque()
    decisions: list[float] = []
    n_placed = 0
    began = time.thread_time_ns()
    give_up_at = time.monotonic() + BUDGET_S
    for index in range(N_DECISIONS):
        if time.monotonic() > give_up_at:
            break
        request = _request(f"r{index}", kinds[index % 3])
        before = time.thread_time_ns()
        start = _start(loaded.send(RequestAccepted(request)))
        decisions.append((time.thread_time_ns() - before) / 1000)
        if start is not None:
            n_placed += 1
            in_flight.append(start)
            if request.kind is not RequestKind.CHECK:
                loaded.send(
                    StartReplied(
                        start.task_id,
                        start.worker_id,
                        StartOutcome.RUNNING,
                        start.epoch,
                    )
                )
        if len(in_flight) > max(1, len(loaded.specs) // 100):
            started_later, n_more = _end(loaded, in_flight.popleft())
            in_flight.extend(started_later)
            n_placed += n_more
    while in_flight:
        in_flight.extend(_end(loaded, in_flight.popleft())[0])
    return decisions, n_placed, (time.thread_time_ns() - began) / 1e9


def _running(start: StartTask) -> StartReplied:
    return StartReplied(
        start.task_id,
        start.worker_id,
        StartOutcome.RUNNING,
        start.epoch,
        start.number,
    )


def _end(loaded: _LoadedPlacer, start: StartTask) -> tuple[list[StartTask], int]:
    loaded.seq += 1
    result = TaskResult(
        start.task_id,
        start.request.request_id,
        True,
        "",
        None,
        1.0,
        seq=loaded.seq,
    )
    actions = loaded.send(TaskEnded(start.worker_id, result))
    more = [action for action in actions if isinstance(action, StartTask)]
    for action in actions:
        if isinstance(action, Finish):
            later = loaded.send(RequestEnded(action.request.request_id))
            more += [item for item in later if isinstance(item, StartTask)]
    return more, len(more)


def _report_times(loaded: _LoadedPlacer) -> list[float]:
    """Return the processor time of each lease report without changes, in us."""
    found = []
    give_up_at = time.monotonic() + BUDGET_S / 4
    names = list(loaded.specs)
    for index in range(N_REPORTS):
        if time.monotonic() > give_up_at:
            break
        name = names[index % len(names)]
        event = _report(loaded.specs[name], tuple(loaded.held[name]), loaded.now)
        before = time.thread_time_ns()
        loaded.send(event)
        found.append((time.thread_time_ns() - before) / 1000)
    return found


def _backlog(n_workers: int) -> list[dict[str, Any]]:
    """Return the processor time of a task's end with full workers and a backlog."""
    loaded = _LoadedPlacer(n_workers)
    loaded.fill(8 * n_workers)
    give_up_at = time.monotonic() + BUDGET_S
    n_queued = 0
    while n_queued < N_QUEUED and time.monotonic() < give_up_at:
        loaded.send(RequestAccepted(_request(f"q{n_queued}", RequestKind.BATCH)))
        n_queued += 1
    times = []
    n_started = 0
    running = [(name, task) for name, found in loaded.held.items() for task in found]
    give_up_at = time.monotonic() + BUDGET_S
    for name, task in running[: n_queued // 2 or 1]:
        loaded.seq += 1
        result = TaskResult(
            task.task_id, task.request_id, True, "", None, 1.0, seq=loaded.seq
        )
        before = time.thread_time_ns()
        n_started += _start(loaded.send(TaskEnded(name, result))) is not None
        times.append((time.thread_time_ns() - before) / 1000)
        if time.monotonic() > give_up_at:
            break
    note = f"{n_queued} queued, {len(times)} ends, {n_started} of them led to a start"
    if n_queued < N_QUEUED:
        note = f"reduced from {N_QUEUED} queued: {note}"
    return [
        figure(
            BENCH,
            f"{n_workers} workers end with backlog p{q * 100:g}",
            quantile(times, q),
            "us",
            note=note,
        )
        for q in (0.5, 0.99)
    ]


def run() -> list[dict[str, Any]]:
    """Return decision times and rates at each size, and ends with a backlog."""
    rows = []
    for n_workers, n_running, target in SIZES:
        rows += _measure(n_workers, n_running, target)
    return rows + _backlog(BACKLOG_WORKERS)


def _measure(n_workers: int, n_running: int, target: float | None) -> list[Any]:
    loaded = _LoadedPlacer(n_workers)
    loaded.fill(n_running)
    decisions, n_placed, total_s = _cycle(loaded)
    label = f"{n_workers} workers"
    note = f"{loaded.n_running} running tasks, {len(decisions)} decisions"
    if loaded.n_running < 0.95 * n_running or len(decisions) < N_DECISIONS:
        note = f"reduced from {n_running} running, {N_DECISIONS} decisions: {note}"
    rows = [
        figure(
            BENCH,
            f"{label} decision p{q * 100:g}",
            quantile(decisions, q),
            "us",
            target=target if q == 0.99 else None,
            note=note,
        )
        for q in (0.5, 0.99)
    ]
    rows.append(
        figure(
            BENCH,
            f"{label} placements per second",
            n_placed / total_s,
            "1/s",
            target=RATE_TARGET if n_workers == 945 else None,
            note=f"accept, start reply, end and record; {note}",
        )
    )
    rows.append(
        figure(
            BENCH,
            f"{label} lease report p50",
            quantile(_report_times(loaded), 0.5),
            "us",
            note=note,
        )
    )
    return rows
