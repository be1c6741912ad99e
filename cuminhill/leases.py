"""Holds the leases of a shard's workers, with a renewal loop for each of them."""

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
HELD_RETRY_SLACK_S = 0.005  # delay after the expiry of another holder's lease


@dataclass(eq=False, slots=True)
class WorkerLease:
    """Lease of one worker.

    Attributes
    ----------
    last_extension_at : float, seconds
        Latest monotonic time at which a renewal may have extended the worker's
        task leases.
    seq : int
        Sequence number of the newest result received from the worker.
    has_reported : bool
        Whether the worker has granted this term a lease and reported its state.
    listed : bool
        Whether the VM list names the worker.
    tasks_stopped : bool
        Whether the worker's tasks have certainly stopped.
    fenced_epoch : int
        Newest epoch that is fenced. Start calls under it or an older epoch may
        still be in flight, so a grant is used only under a newer one.
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
        Durations that leases and task leases are counted by.
    follower : Follower
        Tells up to which time the log has been read.
    make_client : callable
        Returns the client of a worker for its address.
    apply : callable
        Coroutine function that passes an event to the placer.
    ack_seq : callable
        Returns the sequence number up to which a worker may discard its results.
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
        """Whether this term holds a valid lease of at least one worker."""
        now = time.monotonic()
        return any(
            worker.lease is not None and worker.lease.valid(now)
            for worker in self.workers.values()
        )

    @property
    def all_held(self) -> bool:
        """Whether this term holds a valid lease of every worker of the shard."""
        now = time.monotonic()
        return bool(self.workers) and all(
            worker.lease is not None and worker.lease.valid(now)
            for worker in self.workers.values()
        )

    def valid_lease(self, worker_id: str, epoch: int) -> WorkerLease | None:
        """Return the lease of a worker if it is valid under the given epoch.

        Call it right before the lease is used: it may lapse during any await.
        """
        worker = self.workers.get(worker_id)
        if worker is None or worker.lease is None or worker.lease.epoch != epoch:
            return None
        return worker if worker.lease.valid(time.monotonic()) else None

    def fence(self, worker_id: str) -> None:
        """Have the next renewal acquire the worker's lease under a new epoch."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.lease is not None:
            worker.fenced_epoch = worker.lease.epoch

    def full_roster(self) -> frozenset[str] | None:
        """Return the workers that have reported, None while the roster is incomplete.

        It is complete once every worker has reported or its tasks have stopped.
        """
        workers = self.workers.values()
        if not workers or not all(
            worker.has_reported or worker.tasks_stopped for worker in workers
        ):
            return None
        return frozenset(worker.entry.vm for worker in workers if worker.has_reported)

    async def set_roster(self, entries: list[VmEntry]) -> None:
        """Set the workers of the shard to those that the VM list names."""
        listed = {entry.vm: entry for entry in entries}
        for vm, entry in listed.items():
            worker = self.workers.get(vm)
            if worker is not None and worker.entry.address != entry.address:
                await self._remove_worker(worker)
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
                await self._remove_worker(worker)

    async def close(self) -> None:
        """Stop the renewal loops and release the leases."""
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

    async def _remove_worker(self, worker: WorkerLease) -> None:
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
        """Return whether the tasks of a worker without a lease have certainly stopped.

        Another placer may hold the worker and extend its task leases. In that case
        its leader record is in the log, so the log has to be read past the expiry of
        the task leases first. A placer that cannot reach the log may hold a worker
        that has never reported to this term, so its tasks may go on.
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
        """Renew once; return the time until the next attempt, in seconds."""
        sent_at = time.monotonic()
        # Without a valid lease a renewal must not extend the task leases: it could
        # arrive late, after the tasks have been declared stopped.
        extend_tasks = worker.lease is not None and self.term.may_extend
        try:
            reply = await worker.client.lease(
                self.term.name,
                self.lease_terms.ttl_s,
                worker.seq,
                # A start reply may carry a result before the list of results does.
                # The worker must keep results that the list has not delivered yet.
                min(self.ack_seq(worker.entry.vm), worker.seq),
                extend_tasks=extend_tasks,
                timeout_s=self.lease_terms.renew_s,
            )
        except LeaseHeldError as exc:
            # Another holder renews, which extends the task leases.
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
            # The reply came too late to be used, but the worker records this term as
            # the holder.
            await self._release(worker, reply.epoch)
            return 0.0
        if not self.term.grant(valid_until, now):
            return self.lease_terms.renew_s  # the term is broken and about to end
        if not same_incarnation:
            # A new incarnation numbers its results from 1: request all of them.
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
