"""Goodput of checks under overload, with and without admission by deadline."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, Protocol

from cuminhill.coordination.admission import Admission, DeadlineQueue, make_admission
from cuminhill.model import Answer, Reason, Request, RequestKind, Resources, not_run
from cuminhill.scheduling.events import Finish, StartTask
from cuminhill.scheduling.placer import make_placer

from .driver import Driver
from .figures import figure, quantile
from .streams import FORMOSA, WALL0, Arrival, Stream, make_workers

if TYPE_CHECKING:
    from cuminhill.scheduling.events import Action, Event

    from .outcome import PlacerLike

BENCH = "flow"
SEED = 5
LOADS = (1.0, 2.0, 4.0)
GOODPUT_TARGET = 0.95  # at a load of 2, as a fraction of the goodput at load 1
N_SERVERS = 8
SERVICE_S = 0.01
MAX_WAIT_S = 0.25  # callers time out after this; later answers do not count
SERVER_HORIZON_S = 60.0
N_WORKERS = 2
CHECK_S = 0.06
START_DEADLINE_S = 0.5
PLACER_HORIZON_S = 4.0
UNBOUNDED = 1_000_000


class Queue(Protocol):
    """Queue in front of a server."""

    def push(self, item: Any, deadline: float, now: float) -> bool:
        """Add an item; return whether it was accepted."""

    def pop(self, now: float) -> Any | None:
        """Return the next item or None."""


@dataclass(eq=False)
class FifoQueue:
    """Unbounded queue in order of arrival that also returns late items."""

    items: deque[Any] = field(default_factory=deque)

    def push(self, item: Any, deadline: float, now: float) -> bool:
        """Add an item."""
        self.items.append(item)
        return True

    def pop(self, now: float) -> Any | None:
        """Return the oldest item or None."""
        return self.items.popleft() if self.items else None


def run() -> list[dict[str, Any]]:
    """Return goodput at 1, 2 and 4 times the capacity."""
    return [*_run_server(), *_run_placer()]


# A server with a queue


def _serve(load: float, admission: Admission, queue: Queue) -> float:
    """Return the goodput of a server with a queue, in answers per second."""
    rng = random.Random(SEED)
    capacity = N_SERVERS / SERVICE_S
    order = itertools.count()
    events: list[
        tuple[float, int, float | None]
    ] = []  # third: arrival time if it is a completion
    at = 0.0
    while at < SERVER_HORIZON_S:
        at += rng.expovariate(load * capacity)
        heapq.heappush(events, (at, next(order), None))
    n_idle = N_SERVERS
    n_good = 0
    while events:
        now, number, arrived = heapq.heappop(events)
        if now > SERVER_HORIZON_S:
            break
        if arrived is None:
            if admission.offer(str(number), MAX_WAIT_S - SERVICE_S, now) is None:
                queue.push((number, now), now + MAX_WAIT_S - SERVICE_S, now)
        else:
            n_idle += 1
            n_good += now - arrived <= MAX_WAIT_S
        while n_idle and (item := queue.pop(now)) is not None:
            n_idle -= 1
            admission.started(str(item[0]), now)
            end = now + rng.expovariate(1 / SERVICE_S)
            heapq.heappush(events, (end, next(order), item[1]))
    return n_good / SERVER_HORIZON_S


@dataclass(eq=False)
class _SheddingQueue(DeadlineQueue):
    """Deadline queue that reports shed items to admission."""

    admission: Admission = field(default_factory=make_admission)

    def shed(self, now: float) -> list[Any]:
        """Remove the late items."""
        late = DeadlineQueue.shed(self, now)
        for item in late:
            self.admission.withdrawn(str(item[0]), now)
        return late


def _run_server() -> list[dict[str, Any]]:
    rows = []
    at_capacity = 0.0
    for load in LOADS:
        admission = make_admission()
        queue = _SheddingQueue(admission=admission)
        with_admission = _serve(load, admission, queue)
        without_admission = _serve(
            load, make_admission(UNBOUNDED, enabled=False), FifoQueue()
        )
        at_capacity = at_capacity or with_admission
        rows.append(
            figure(
                BENCH,
                f"server load {load:g} goodput",
                with_admission,
                "1/s",
                baseline=without_admission,
                note="baseline: the same server without admission",
            )
        )
        rows.append(
            figure(
                BENCH,
                f"server load {load:g} goodput vs load 1",
                with_admission / at_capacity,
                "share",
                target=GOODPUT_TARGET if load == 2.0 else None,
            )
        )
    return rows


# The check path: placer and admission as in cuminhill.shard


@dataclass(eq=False)
class _AdmissionPlacer:
    """A placer behind admission, as in the shard driver."""

    placer: PlacerLike
    admission: Admission
    now: float = 0.0
    n_good: int = 0
    waits_s: list[float] = field(default_factory=list)
    refusal_s: list[float] = field(default_factory=list)

    def handle(self, event: Event, now: float, wall: float) -> list[Action]:
        """Pass an event to the placer and record starts and answers."""
        self.now = now
        actions = self.placer.handle(event, now, wall)
        for action in actions:
            if isinstance(action, StartTask):
                self.admission.started(action.request.request_id, now)
                self.waits_s.append(wall - action.request.issued_at)
            elif isinstance(action, Finish):
                self.admission.withdrawn(action.request.request_id, now)
                self._record_answer(action.request, action.answer, wall)
        return actions

    def refusal(self, request: Request, wall: float) -> Answer | None:
        """Return the refusal by the placer or by admission, or None."""
        refused = self.placer.refusal(request, wall)
        now = wall - WALL0
        if refused is None and self.admission.offer(
            request.request_id, request.deadline - wall, now
        ):
            refused = not_run(request.request_id, Reason.OVERLOAD)
        if refused is not None:
            self.refusal_s.append(0.0)
        return refused

    def _record_answer(self, request: Request, answer: Answer, wall: float) -> None:
        if answer.reason is None:
            self.n_good += 1
        else:
            self.refusal_s.append(wall - request.issued_at)


def _check_stream(load: float) -> Stream:
    rng = random.Random(SEED)
    workers = tuple(
        replace(item, speed=1.0) for item in make_workers(FORMOSA, rng, N_WORKERS)
    )
    rate = load * sum(item.capacity.slots for item in workers) / CHECK_S
    arrivals: list[Arrival] = []
    at = rng.expovariate(rate)
    while at < PLACER_HORIZON_S:
        request = Request(
            f"c{len(arrivals)}",
            RequestKind.CHECK,
            "team",
            Resources(0.5, 128.0),
            deadline=WALL0 + at + START_DEADLINE_S,
            issued_at=WALL0 + at,
            run_time_s=CHECK_S,
        )
        true_s = rng.uniform(0.5 * CHECK_S, 1.5 * CHECK_S)
        arrivals.append(Arrival(at, request, (true_s,), (0,)))
        at += rng.expovariate(rate)
    return Stream("flow", PLACER_HORIZON_S, workers, tuple(arrivals), ())


def _run_placer() -> list[dict[str, Any]]:
    rows = []
    for load in LOADS:
        stream = _check_stream(load)
        found = {}
        for enabled in (True, False):
            admission = make_admission(UNBOUNDED, enabled=enabled)
            found[enabled] = _AdmissionPlacer(make_placer("bench"), admission)
            Driver(found[enabled], stream).run()
        with_admission, without_admission = found[True], found[False]
        label = f"placer load {load:g}"
        for metric, unit, value, baseline in (
            (
                "goodput",
                "1/s",
                with_admission.n_good / PLACER_HORIZON_S,
                without_admission.n_good / PLACER_HORIZON_S,
            ),
            (
                "time to a refusal p50",
                "s",
                quantile(with_admission.refusal_s, 0.5),
                quantile(without_admission.refusal_s, 0.5),
            ),
            (
                "wait of started checks p50",
                "s",
                quantile(with_admission.waits_s, 0.5),
                quantile(without_admission.waits_s, 0.5),
            ),
        ):
            rows.append(
                figure(BENCH, f"{label} {metric}", value, unit, baseline=baseline)
            )
    return rows
