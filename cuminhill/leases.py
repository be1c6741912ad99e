"""Holds the leases of a shard's workers: one loop of renewals for each."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import structlog

from .coordination.lease import HeldLease
from .errors import CuminhillError, LeaseHeldError
from .scheduling.events import (
    Event,
    WorkerLeaving,
    WorkerReported,
    WorkerStopped,
    WorkerUnreachable,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .coordination.lease import LeaseTerms
    from .coordination.term import Term
    from .follower import Follower
    from .platform.vmlist import VmEntry
    from .platform.worker import LeaseReply, Worker

logger = structlog.get_logger(__name__)

RELEASE_TIMEOUT_S = 0.5
HELD_RETRY_SLACK_S = 0.005  # after another holder's lease has run out


@dataclass(eq=False, slots=True)
class WorkerLease:
    """Lease of one worker.

    Attributes
    ----------
    seq : int
        Last result that was heard.
    last_extension_at : float, seconds
        Monotonic time after which no renewal of the task leases that is known
        of has reached the worker.
    has_reported : bool
        Whether the worker was heard in this term.
    listed : bool
        Whether the VM list names the worker.
    tasks_stopped : bool
        Whether its tasks have certainly stopped.
    fenced_epoch : int
        A grant counts only under a newer epoch than this: start calls may still
        be on their way under the older ones.
    """

    entry: VmEntry
    client: Worker
    last_extension_at: float
    lease: HeldLease | None = None
    seq: int = 0
    incarnation: str = ""
    has_reported: bool = False
    listed: bool = True
    tasks_stopped: bool = False
    fenced_epoch: int = -1
    renewal_task: Any = None


@dataclass(eq=False)
class WorkerLeases:
    """Leases of all workers of a shard during one term.

    Parameters
    ----------
    term : Term
        The placer's term.
    lease_terms : LeaseTerms
        Durations.
    follower : Follower
        Tells up to when the log was read.
    make_client : callable
        Returns the client of a worker for its address.
    apply : callable
        Coroutine function that hands an event to the placer.
    ack_seq : callable
        Returns up to which result a worker may forget.
    """

    term: Term
    lease_terms: LeaseTerms
    follower: Follower
    make_client: Callable[[str], Worker]
    apply: Callable[[Event], Awaitable[None]]
    ack_seq: Callable[[str], int]
    workers: dict[str, WorkerLease] = field(default_factory=dict)
    n_lapses: int = 0

    @property
    def any_held(self) -> bool:
        """Whether some worker is held now."""
        now = time.monotonic()
        return any(
            worker.lease is not None and worker.lease.valid(now)
            for worker in self.workers.values()
        )

    @property
    def all_held(self) -> bool:
        """Whether every worker of the shard is held now."""
        now = time.monotonic()
        return bool(self.workers) and all(
            worker.lease is not None and worker.lease.valid(now)
            for worker in self.workers.values()
        )

    def valid_lease(self, worker_id: str, epoch: int) -> WorkerLease | None:
        """Return the lease of a worker if it is valid now under an epoch.

        To be asked right before a call: the lease may have lapsed in any wait.
        """
        worker = self.workers.get(worker_id)
        if worker is None or worker.lease is None or worker.lease.epoch != epoch:
            return None
        return worker if worker.lease.valid(time.monotonic()) else None

    def fence(self, worker_id: str) -> None:
        """Take the worker's lease anew, so that its epoch rises."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.lease is not None:
            worker.fenced_epoch = worker.lease.epoch

    def full_roster(self) -> frozenset[str] | None:
        """Return the workers heard, or None while some are neither heard nor gone."""
        workers = self.workers.values()
        if not workers or not all(
            worker.has_reported or worker.tasks_stopped for worker in workers
        ):
            return None
        return frozenset(worker.entry.vm for worker in workers if worker.has_reported)

    async def set_roster(self, entries: list[VmEntry]) -> None:
        """Set the workers of the shard, as the VM list names them."""
        listed = {entry.vm: entry for entry in entries}
        for vm, entry in listed.items():
            worker = self.workers.get(vm)
            if worker is not None and worker.entry.address != entry.address:
                await self._remove(worker)
                worker = None
            if worker is None:
                worker = await self._add(entry)
            worker.listed = True
            if entry.leaving and not worker.entry.leaving:
                await self.apply(WorkerLeaving(vm))
            worker.entry = entry
        for vm, worker in list(self.workers.items()):
            worker.listed = vm in listed
            if not worker.listed and worker.lease is None and worker.tasks_stopped:
                await self._remove(worker)

    async def close(self) -> None:
        """End the loops and give the leases back."""
        workers, self.workers = list(self.workers.values()), {}
        for worker in workers:
            await worker.renewal_task.cancel()
            await self.apply(WorkerUnreachable(worker.entry.vm))
            if worker.lease is not None:
                await curio.spawn(
                    self._release, worker, worker.lease.epoch, daemon=True
                )

    def dump(self) -> dict[str, Any]:
        """Return the state in JSON-ready form."""
        now = time.monotonic()
        return {
            vm: {
                "epoch": worker.lease.epoch if worker.lease else None,
                "valid_for_s": round(worker.lease.valid_until - now, 3)
                if worker.lease
                else None,
                "heard": worker.has_reported,
                "listed": worker.listed,
                "stopped": worker.tasks_stopped,
            }
            for vm, worker in self.workers.items()
        }

    async def _add(self, entry: VmEntry) -> WorkerLease:
        client = self.make_client(entry.address)
        worker = WorkerLease(entry, client, time.monotonic())
        self.workers[entry.vm] = worker
        worker.renewal_task = await curio.spawn(self._run_renewals, worker, daemon=True)
        return worker

    async def _remove(self, worker: WorkerLease) -> None:
        await worker.renewal_task.cancel()
        self.workers.pop(worker.entry.vm, None)
        await self.apply(WorkerStopped(worker.entry.vm))

    async def _run_renewals(self, worker: WorkerLease) -> None:
        while True:
            delay_s = await self._renew(worker)
            await self._check_lapse(worker)
            if not worker.tasks_stopped and self._tasks_have_stopped(worker):
                worker.tasks_stopped = True
                await self.apply(WorkerStopped(worker.entry.vm))
            await curio.sleep(delay_s)

    async def _check_lapse(self, worker: WorkerLease) -> None:
        now = time.monotonic()
        if worker.lease is None or worker.lease.valid(now):
            return
        worker.fenced_epoch = max(worker.fenced_epoch, worker.lease.epoch)
        worker.lease = None
        self.n_lapses += 1
        await self.apply(WorkerUnreachable(worker.entry.vm))

    def _tasks_have_stopped(self, worker: WorkerLease) -> bool:
        """Return whether the tasks of a lost worker have certainly stopped.

        Another placer may hold the worker and keep its tasks running. If so its
        lead record is in the log, unless the log cannot be reached; a worker that
        this term has never heard may be held by one that cannot reach the log.
        """
        if worker.lease is not None:
            return False
        stopped_at = self.lease_terms.tasks_stopped_at(worker.last_extension_at)
        if time.monotonic() < stopped_at:
            return False
        if not worker.listed:
            return True
        log_is_current = self.follower.complete_as_of >= stopped_at
        return worker.has_reported and self.term.confirmed and log_is_current

    async def _renew(self, worker: WorkerLease) -> float:
        """Renew once; return the time until the next try, in seconds."""
        sent_at = time.monotonic()
        # While the lease is lost a renewal must not extend the tasks: it could
        # arrive late, after they were taken to have stopped.
        extend_tasks = worker.lease is not None and self.term.may_extend
        try:
            reply = await worker.client.lease(
                self.term.name,
                self.lease_terms.ttl_s,
                worker.seq,
                # A start reply may tell a result ahead of the list; results
                # that the list has not told yet must not be forgotten.
                min(self.ack_seq(worker.entry.vm), worker.seq),
                extend_tasks=extend_tasks,
                timeout_s=self.lease_terms.renew_s,
            )
        except LeaseHeldError as exc:
            # Another holder renews, so the task lease runs on.
            worker.last_extension_at = time.monotonic()
            return min(self.lease_terms.renew_s, exc.remaining_s + HELD_RETRY_SLACK_S)
        except CuminhillError:
            if extend_tasks:
                worker.last_extension_at = time.monotonic()
            return self.lease_terms.renew_s / 3
        worker.last_extension_at = time.monotonic()
        return await self._handle_grant(worker, reply, sent_at)

    async def _handle_grant(
        self, worker: WorkerLease, reply: LeaseReply, sent_at: float
    ) -> float:
        await self._check_lapse(worker)
        same_incarnation = worker.incarnation in {"", reply.incarnation}
        if same_incarnation and reply.epoch <= worker.fenced_epoch:
            worker.lease = None
            released = await self._release(worker, reply.epoch)
            return 0.0 if released else self.lease_terms.renew_s / 3
        now = time.monotonic()
        valid_until = self.lease_terms.holder_expiry(sent_at)
        if valid_until <= now:
            # A late reply proves no lease, yet the worker counts us as holder.
            await self._release(worker, reply.epoch)
            return 0.0
        if not self.term.grant(valid_until, now):
            return self.lease_terms.renew_s  # the term is broken and about to be ended
        if not same_incarnation:
            # Results of the new life are numbered from one: ask for all of them.
            worker.incarnation, worker.seq = reply.incarnation, 0
            return 0.0
        worker.lease = HeldLease(reply.epoch, valid_until)
        worker.incarnation = reply.incarnation
        worker.seq = max(worker.seq, reply.seq)
        worker.has_reported = True
        worker.tasks_stopped = False
        await self.apply(WorkerReported(worker.entry.vm, reply, sent_at))
        return self.lease_terms.renew_s

    async def _release(self, worker: WorkerLease, epoch: int) -> bool:
        try:
            await worker.client.release(
                self.term.name, epoch, timeout_s=RELEASE_TIMEOUT_S
            )
        except CuminhillError as exc:
            logger.info("release failed", vm=worker.entry.vm, error=str(exc))
            return False
        return True
