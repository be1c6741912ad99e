"""Placer of one shard: takes events with their time, gives actions."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from ..model import Answer, Request, RequestKind, Resources
from .book import Book
from .dispatch import call_start, place_queued
from .events import (
    Action,
    CancelRequested,
    Event,
    QuotasChanged,
    RequestAccepted,
    RequestEnded,
    RosterComplete,
    StartRecorded,
    StartReplied,
    TaskEnded,
    Tick,
    WeightsChanged,
    WorkerLeaving,
    WorkerReported,
    WorkerStopped,
    WorkerUnreachable,
)
from .explain import explain
from .gangs import backfill, serve_gangs
from .intake import accept, cancel, end_request, give_up_if_lost, refusal
from .policies import Weights
from .preempt import make_room
from .reconcile import complete_roster, forget_worker, take_report
from .results import take_result, take_start_reply
from .state import OCCUPYING, Phase, Ran

if TYPE_CHECKING:
    from .state import RequestState, WorkerState


class Placer:
    """Decides which worker of a shard runs which task.

    Parameters
    ----------
    book : Book
        State of the shard.

    Attributes
    ----------
    has_more : bool
        Whether the bound on one decision left requests that may fit; the driver
        then sends another event soon.
    """

    def __init__(self, book: Book) -> None:
        self._book = book
        self.has_more = False
        self._deferred: dict[str, RequestAccepted] = {}

    @property
    def shard(self) -> str:
        """Name of the shard."""
        return self._book.shard

    @property
    def workers(self) -> dict[str, WorkerState]:
        """Workers by name."""
        return self._book.workers

    @property
    def requests(self) -> dict[str, RequestState]:
        """Requests without a recorded answer, by id."""
        return self._book.requests

    @property
    def roster_complete(self) -> bool:
        """Whether every worker was heard or has certainly stopped its tasks."""
        return self._book.roster_complete

    @property
    def n_placed(self) -> int:
        """Number of start calls so far."""
        return self._book.n_placed

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
        book = self._book
        self._on(event, now, wall)
        book.pass_time(now, wall)
        serve_gangs(book, now)
        self.has_more = place_queued(book, backfill, now, wall)
        make_room(book, now)
        actions, book.actions = book.actions, []
        return actions

    def refusal(self, request: Request, wall: float) -> Answer | None:
        """Return why a request is not taken, or None if it is."""
        return refusal(self._book, request, wall)

    def orphan_requests(self, before: float) -> set[str]:
        """Return unknown requests of which results were heard before a time.

        Parameters
        ----------
        before : float, seconds
            Monotonic time. The caller ends those that the log does not hold as
            live with `RequestEnded`, so that the workers may forget the results.
        """
        return self._book.orphans.requests(before)

    def free(self) -> Resources:
        """Return what is free on all usable workers together."""
        return self._book.room.total_free

    def explain(
        self, request_id: str, now: float | None = None
    ) -> dict[str, Any] | None:
        """Return why a request waits or where it runs; None if unknown here.

        Parameters
        ----------
        now : float or None, seconds
            Monotonic time; None leaves out how long things will take.
        """
        return explain(self._book, request_id, now)

    def dump(self) -> dict[str, Any]:
        """Return the state in JSON-ready form."""
        return {
            "shard": self.shard,
            "roster_complete": self.roster_complete,
            "n_placed": self.n_placed,
            "n_queued": self._book.n_queued,
            "n_preempted": self._book.n_preempted,
            "requests": sorted(self.requests),
            "strays": dict(self._book.strays),
            "n_orphans": len(self._book.orphans.found),
            "workers": {
                worker.worker_id: {
                    "epoch": worker.epoch,
                    "held": worker.held,
                    "leaving": worker.leaving,
                    "ejected": worker.ejected,
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
        book = self._book
        for worker_id in book.room.set_reserve(book.weights.check_reserve, now):
            book.wake(book.workers[worker_id])
        book.open_probes(now)

    @_on.register
    def _(self, event: WeightsChanged, now: float, wall: float) -> None:
        self._book.weights = event.weights
        self._book.room.refresh_reserve()

    @_on.register
    def _(self, event: QuotasChanged, now: float, wall: float) -> None:
        self._book.teams.set_quotas(event.quotas)
        self._book.queue.uncap()

    # Requests

    @_on.register
    def _(self, event: RequestAccepted, now: float, wall: float) -> None:
        if not accept(self._book, event, now):
            self._deferred[event.request.request_id] = event

    @_on.register
    def _(self, event: RequestEnded, now: float, wall: float) -> None:
        self._deferred.pop(event.request_id, None)
        end_request(self._book, event.request_id, now)

    @_on.register
    def _(self, event: CancelRequested, now: float, wall: float) -> None:
        cancel(self._book, event.request_id, now)

    # Starts

    @_on.register
    def _(self, event: StartRecorded, now: float, wall: float) -> None:
        book = self._book
        task = book.tasks.get(event.task_id)
        if task is None or task.phase is not Phase.RECORDING:
            return
        if event.valid and event.offset <= task.prior:
            return  # told again; the record of the present try is yet to come
        if event.valid:
            task.prior = event.offset
        worker = book.workers.get(task.worker_id)
        current = (
            worker is not None
            and worker.usable
            and worker.epoch == task.epoch
            and worker.incarnation == task.incarnation
            and task.task_id in worker.needs
        )
        if event.valid and current and book.may_start(task, wall):
            book.set_phase(task, Phase.STARTING, now)
            call_start(book, task)
            return
        book.release(task)
        if event.valid or task.owner.over:
            book.requeue(task, now)  # the worker was never called
            return
        book.set_phase(task, Phase.HELD, now)  # another placer has it
        book.detach(task)
        if event.other is not None:
            task.prior = event.offset
            task.epoch = event.other.epoch
            task.incarnation = event.other.incarnation
            book.attach(task, event.other.worker_id)
            give_up_if_lost(book, task, now)

    @_on.register
    def _(self, event: StartReplied, now: float, wall: float) -> None:
        take_start_reply(self._book, event, now)

    @_on.register
    def _(self, event: TaskEnded, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            take_result(self._book, worker, event.result, now)

    # Workers

    @_on.register
    def _(self, event: WorkerReported, now: float, wall: float) -> None:
        book = self._book
        take_report(book, event, lambda w, r, at: take_result(book, w, r, at), now)
        self._accept_deferred(now)

    @_on.register
    def _(self, event: WorkerLeaving, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            worker.leaving = True
            self._book.touch(worker)

    @_on.register
    def _(self, event: WorkerUnreachable, now: float, wall: float) -> None:
        book = self._book
        book.pause_worker(event.worker_id)
        for task in list(book.tasks_on.get(event.worker_id, {}).values()):
            # A check is idempotent and urgent: it does not wait for the task
            # lease to lapse. The old worker still counts it until it is heard.
            if task.phase in OCCUPYING and task.owner.kind is RequestKind.CHECK:
                task.ran = max(task.ran, Ran.MAYBE)
                book.requeue(task, now)

    @_on.register
    def _(self, event: WorkerStopped, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            forget_worker(self._book, worker, now)
        self._accept_deferred(now)

    @_on.register
    def _(self, event: RosterComplete, now: float, wall: float) -> None:
        complete_roster(self._book, event, now)

    def _accept_deferred(self, now: float) -> None:
        for request_id, event in list(self._deferred.items()):
            if accept(self._book, event, now):
                del self._deferred[request_id]


def make_placer(
    shard: str, *, clock_error_s: float = 0.25, weights: Weights | None = None
) -> Placer:
    """Return a placer that holds no workers yet.

    Parameters
    ----------
    shard : str
        Name of the shard.
    clock_error_s : float, seconds
        Largest difference between the wall clocks of two VMs.
    weights : Weights or None, default=None
        What the site wants optimized; None for equal weights.
    """
    return Placer(Book(shard, clock_error_s, weights or Weights()))
