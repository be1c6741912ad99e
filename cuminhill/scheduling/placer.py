"""Placer of one shard: turns timestamped events into actions, without I/O."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from ..model import Answer, Request, RequestKind, Resources
from .crashes import record_lost
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
from .gangs import backfill, place_gangs
from .intake import accept, cancel, end_if_worker_lost, end_request, refusal
from .policies import Weights
from .preempt import preempt_batch
from .reconcile import complete_roster, drop_worker, handle_report
from .results import handle_result, handle_start_reply
from .shardstate import ShardState
from .state import OCCUPYING, Phase, Ran

if TYPE_CHECKING:
    from .state import RequestState, WorkerState

# Restarts of a check on another worker before the tasks of its first one have certainly
# stopped.
MAX_EARLY_RESTARTS = 1


class Placer:
    """Decides which worker of a shard runs which task.

    Parameters
    ----------
    shard : ShardState
        State of the shard.

    Attributes
    ----------
    has_more : bool
        Whether the limit on the work of one decision left requests that may fit;
        the driver then sends another event soon.
    """

    def __init__(self, shard: ShardState) -> None:
        self._shard = shard
        self.has_more = False
        self._deferred: dict[str, RequestAccepted] = {}

    @property
    def shard(self) -> str:
        """Name of the shard."""
        return self._shard.shard_name

    @property
    def workers(self) -> dict[str, WorkerState]:
        """Workers by name."""
        return self._shard.workers

    @property
    def requests(self) -> dict[str, RequestState]:
        """Requests without a recorded answer, by id."""
        return self._shard.requests

    @property
    def roster_complete(self) -> bool:
        """Whether every worker has reported or has certainly stopped its tasks."""
        return self._shard.roster_complete

    @property
    def n_placed(self) -> int:
        """Number of start calls so far."""
        return self._shard.n_placed

    def handle(self, event: Event, now: float, wall: float) -> list[Action]:
        """Process one event and return the resulting actions.

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
            In the order in which they must be executed.
        """
        shard = self._shard
        self._on(event, now, wall)
        shard.process_timers(now, wall)
        place_gangs(shard, now)
        self.has_more = place_queued(shard, backfill, now, wall)
        preempt_batch(shard, now)
        actions, shard.actions = shard.actions, []
        return actions

    def refusal(self, request: Request, wall: float) -> Answer | None:
        """Return the rejection of a request, or None if it is accepted."""
        return refusal(self._shard, request, wall)

    def orphan_requests(self, before: float) -> set[str]:
        """Return unknown requests whose results arrived before a given time.

        Parameters
        ----------
        before : float, seconds
            Monotonic time. The caller sends `RequestEnded` for those that are not
            live according to the log, so that the workers may drop the results.
        """
        return self._shard.orphans.requests(before)

    def free(self) -> Resources:
        """Return the total free resources of all usable workers."""
        return self._shard.free_capacity.total_free

    def explain(
        self, request_id: str, now: float | None = None
    ) -> dict[str, Any] | None:
        """Return why a request waits or where it runs; None if unknown here.

        Parameters
        ----------
        now : float or None, seconds
            Monotonic time; None omits all durations.
        """
        return explain(self._shard, request_id, now)

    def dump(self) -> dict[str, Any]:
        """Return the state in JSON-ready form."""
        return {
            "shard": self.shard,
            "roster_complete": self.roster_complete,
            "n_placed": self.n_placed,
            "n_queued": self._shard.n_queued,
            "n_preempted": self._shard.n_preempted,
            "n_worker_crashes": self._shard.n_crashes,
            "requests": sorted(self.requests),
            "strays": dict(self._shard.unexpected_tasks.worker_of),
            "n_orphans": len(self._shard.orphans.by_task),
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
        shard = self._shard
        for worker_id in shard.free_capacity.set_reserve(
            shard.weights.check_reserve, now
        ):
            shard.wake(shard.workers[worker_id])
        shard.open_probes(now)

    @_on.register
    def _(self, event: WeightsChanged, now: float, wall: float) -> None:
        self._shard.weights = event.weights
        self._shard.free_capacity.refresh_reserve()

    @_on.register
    def _(self, event: QuotasChanged, now: float, wall: float) -> None:
        self._shard.teams.set_quotas(event.quotas)
        self._shard.queue.uncap()

    # Requests

    @_on.register
    def _(self, event: RequestAccepted, now: float, wall: float) -> None:
        if not accept(self._shard, event, now):
            self._deferred[event.request.request_id] = event

    @_on.register
    def _(self, event: RequestEnded, now: float, wall: float) -> None:
        self._deferred.pop(event.request_id, None)
        end_request(self._shard, event.request_id, now)

    @_on.register
    def _(self, event: CancelRequested, now: float, wall: float) -> None:
        cancel(self._shard, event.request_id, now)

    # Starts

    @_on.register
    def _(self, event: StartRecorded, now: float, wall: float) -> None:
        shard = self._shard
        task = shard.tasks.get(event.task_id)
        if task is None or task.phase is not Phase.RECORDING:
            return
        if event.valid and event.offset <= task.prior:
            return  # redelivered; the record of the current try is still to come
        if event.valid:
            task.prior = event.offset
        worker = shard.workers.get(task.worker_id)
        current = (
            worker is not None
            and worker.usable
            and worker.epoch == task.epoch
            and worker.incarnation == task.incarnation
            and task.task_id in worker.needs
        )
        if event.valid and current and shard.may_start(task, wall):
            shard.set_phase(task, Phase.STARTING, now)
            call_start(shard, task)
            return
        shard.release(task)
        if event.valid or task.owner.over:
            shard.requeue(task, now)  # the worker was never called
            return
        shard.set_phase(task, Phase.HELD, now)  # another placer started it
        shard.detach(task)
        if event.other is not None:
            task.prior = event.offset
            task.epoch = event.other.epoch
            task.incarnation = event.other.incarnation
            shard.attach(task, event.other.worker_id)
            end_if_worker_lost(shard, task, now)

    @_on.register
    def _(self, event: StartReplied, now: float, wall: float) -> None:
        handle_start_reply(self._shard, event, now)

    @_on.register
    def _(self, event: TaskEnded, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            handle_result(self._shard, worker, event.result, now)

    # Workers

    @_on.register
    def _(self, event: WorkerReported, now: float, wall: float) -> None:
        shard = self._shard
        handle_report(
            shard, event, lambda w, r, at: handle_result(shard, w, r, at), now
        )
        self._accept_deferred(now)

    @_on.register
    def _(self, event: WorkerLeaving, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            worker.leaving = True
            self._shard.update_capacity(worker)

    @_on.register
    def _(self, event: WorkerUnreachable, now: float, wall: float) -> None:
        shard = self._shard
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            record_lost(shard, worker)
        shard.pause_worker(event.worker_id)
        for task in list(shard.tasks_on.get(event.worker_id, {}).values()):
            # A check is idempotent and urgent, so it is restarted without waiting
            # for the task lease to lapse. It still counts against the old worker
            # until that worker reports. It is restarted so once only: it may be what
            # crashes the workers.
            if task.phase in OCCUPYING and task.owner.kind is RequestKind.CHECK:
                if task.n_early_restarts >= MAX_EARLY_RESTARTS:
                    continue
                task.n_early_restarts += 1
                task.ran = max(task.ran, Ran.MAYBE)
                shard.requeue(task, now)

    @_on.register
    def _(self, event: WorkerStopped, now: float, wall: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is not None:
            record_lost(self._shard, worker)
            drop_worker(self._shard, worker, now)
        self._accept_deferred(now)

    @_on.register
    def _(self, event: RosterComplete, now: float, wall: float) -> None:
        complete_roster(self._shard, event, now)

    def _accept_deferred(self, now: float) -> None:
        for request_id, event in list(self._deferred.items()):
            if accept(self._shard, event, now):
                del self._deferred[request_id]


def make_placer(
    shard: str, *, clock_error_s: float = 0.25, weights: Weights | None = None
) -> Placer:
    """Return a placer that has no workers yet.

    Parameters
    ----------
    shard : str
        Name of the shard.
    clock_error_s : float, seconds
        Largest difference between the wall clocks of two VMs.
    weights : Weights or None, default=None
        Optimization goals of the site; None for equal weights.
    """
    return Placer(ShardState(shard, clock_error_s, weights or Weights()))
