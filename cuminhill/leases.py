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
HELD_SLACK_S = 0.005  # after another holder's lease has run out


@dataclass(eq=False, slots=True)
class WorkerLease:
    """Lease of one worker.

    Attributes
    ----------
    seq : int
        Last result that was heard.
    lost_at : float, seconds
        Monotonic time after which no renewal of the task leases that is known
        of has reached the worker.
    heard : bool
        Whether the worker was heard in this term.
    listed : bool
        Whether the VM list names the worker.
    stopped : bool
        Whether its tasks have certainly stopped.
    fenced_epoch : int
        A grant counts only under a newer epoch than this: start calls may still
        be on their way under the older ones.
    """

    entry: VmEntry
    client: Worker
    lost_at: float
    lease: HeldLease | None = None
    seq: int = 0
    incarnation: str = ""
    heard: bool = False
    listed: bool = True
    stopped: bool = False
    fenced_epoch: int = -1
    task: Any = None


@dataclass(eq=False)
class WorkerLeases:
    """Leases of all workers of a shard during one term.

    Parameters
    ----------
    term : Term
        The placer's term.
    terms : LeaseTerms
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
    terms: LeaseTerms
    follower: Follower
    make_client: Callable[[str], Worker]
    apply: Callable[[Event], Awaitable[None]]
    ack_seq: Callable[[str], int]
    workers: dict[str, WorkerLease] = field(default_factory=dict)
    n_losses: int = 0

    @property
    def any_held(self) -> bool:
        """Whether some worker is held now."""
        now = time.monotonic()
        return any(
            item.lease is not None and item.lease.valid(now)
            for item in self.workers.values()
        )

    @property
    def all_held(self) -> bool:
        """Whether every worker of the shard is held now."""
        now = time.monotonic()
        return bool(self.workers) and all(
            item.lease is not None and item.lease.valid(now)
            for item in self.workers.values()
        )

    def usable(self, worker_id: str, epoch: int) -> WorkerLease | None:
        """Return the lease of a worker if it is valid now under an epoch.

        To be asked right before a call: the lease may have lapsed in any wait.
        """
        item = self.workers.get(worker_id)
        if item is None or item.lease is None or item.lease.epoch != epoch:
            return None
        return item if item.lease.valid(time.monotonic()) else None

    def fence(self, worker_id: str) -> None:
        """Take the worker's lease anew, so that its epoch rises."""
        item = self.workers.get(worker_id)
        if item is not None and item.lease is not None:
            item.fenced_epoch = item.lease.epoch

    def roster(self) -> frozenset[str] | None:
        """Return the workers heard, or None while some are neither heard nor gone."""
        items = self.workers.values()
        if not items or not all(item.heard or item.stopped for item in items):
            return None
        return frozenset(item.entry.vm for item in items if item.heard)

    async def set_roster(self, entries: list[VmEntry]) -> None:
        """Set the workers of the shard, as the VM list names them."""
        listed = {entry.vm: entry for entry in entries}
        for vm, entry in listed.items():
            item = self.workers.get(vm)
            if item is not None and item.entry.address != entry.address:
                await self._drop(item)
                item = None
            if item is None:
                item = await self._add(entry)
            item.listed = True
            if entry.leaving and not item.entry.leaving:
                await self.apply(WorkerLeaving(vm))
            item.entry = entry
        for vm, item in list(self.workers.items()):
            item.listed = vm in listed
            if not item.listed and item.lease is None and item.stopped:
                await self._drop(item)

    async def close(self) -> None:
        """End the loops and give the leases back."""
        items, self.workers = list(self.workers.values()), {}
        for item in items:
            await item.task.cancel()
            await self.apply(WorkerUnreachable(item.entry.vm))
            if item.lease is not None:
                await curio.spawn(self._release, item, item.lease.epoch, daemon=True)

    def dump(self) -> dict[str, Any]:
        """Return the state in JSON-ready form."""
        now = time.monotonic()
        return {
            vm: {
                "epoch": item.lease.epoch if item.lease else None,
                "valid_for_s": round(item.lease.valid_until - now, 3)
                if item.lease
                else None,
                "heard": item.heard,
                "listed": item.listed,
                "stopped": item.stopped,
            }
            for vm, item in self.workers.items()
        }

    async def _add(self, entry: VmEntry) -> WorkerLease:
        client = self.make_client(entry.address)
        item = WorkerLease(entry, client, time.monotonic())
        self.workers[entry.vm] = item
        item.task = await curio.spawn(self._run, item, daemon=True)
        return item

    async def _drop(self, item: WorkerLease) -> None:
        await item.task.cancel()
        self.workers.pop(item.entry.vm, None)
        await self.apply(WorkerStopped(item.entry.vm))

    async def _run(self, item: WorkerLease) -> None:
        while True:
            delay_s = await self._renew(item)
            await self._note_lapse(item)
            if not item.stopped and self._has_stopped(item):
                item.stopped = True
                await self.apply(WorkerStopped(item.entry.vm))
            await curio.sleep(delay_s)

    async def _note_lapse(self, item: WorkerLease) -> None:
        now = time.monotonic()
        if item.lease is None or item.lease.valid(now):
            return
        item.fenced_epoch = max(item.fenced_epoch, item.lease.epoch)
        item.lease = None
        self.n_losses += 1
        await self.apply(WorkerUnreachable(item.entry.vm))

    def _has_stopped(self, item: WorkerLease) -> bool:
        """Return whether the tasks of a lost worker have certainly stopped.

        Another placer may hold the worker and keep its tasks running. If so its
        lead record is in the log, unless the log cannot be reached; a worker that
        this term has never heard may be held by one that cannot reach the log.
        """
        if item.lease is not None:
            return False
        stopped_at = self.terms.tasks_stopped_at(item.lost_at)
        if time.monotonic() < stopped_at:
            return False
        if not item.listed:
            return True
        asked = self.follower.complete_as_of >= stopped_at
        return item.heard and self.term.confirmed and asked

    async def _renew(self, item: WorkerLease) -> float:
        """Renew once; return the time until the next try, in seconds."""
        sent_at = time.monotonic()
        # While the lease is lost a renewal must not extend the tasks: it could
        # arrive late, after they were taken to have stopped.
        extend_tasks = item.lease is not None and self.term.may_extend
        try:
            reply = await item.client.lease(
                self.term.name,
                self.terms.ttl_s,
                item.seq,
                # A start reply may tell a result ahead of the list; results
                # that the list has not told yet must not be forgotten.
                min(self.ack_seq(item.entry.vm), item.seq),
                extend_tasks=extend_tasks,
                timeout_s=self.terms.renew_s,
            )
        except LeaseHeldError as exc:
            # Another holder renews, so the task lease runs on.
            item.lost_at = time.monotonic()
            return min(self.terms.renew_s, exc.remaining_s + HELD_SLACK_S)
        except CuminhillError:
            if extend_tasks:
                item.lost_at = time.monotonic()
            return self.terms.renew_s / 3
        item.lost_at = time.monotonic()
        return await self._take_grant(item, reply, sent_at)

    async def _take_grant(
        self, item: WorkerLease, reply: LeaseReply, sent_at: float
    ) -> float:
        await self._note_lapse(item)
        same_life = item.incarnation in {"", reply.incarnation}
        if same_life and reply.epoch <= item.fenced_epoch:
            item.lease = None
            released = await self._release(item, reply.epoch)
            return 0.0 if released else self.terms.renew_s / 3
        now = time.monotonic()
        valid_until = self.terms.holder_expiry(sent_at)
        if valid_until <= now:
            # A late reply proves no lease, yet the worker counts us as holder.
            await self._release(item, reply.epoch)
            return 0.0
        if not self.term.grant(valid_until, now):
            return self.terms.renew_s  # the term is broken and about to be ended
        if not same_life:
            # Results of the new life are numbered from one: ask for all of them.
            item.incarnation, item.seq = reply.incarnation, 0
            return 0.0
        item.lease = HeldLease(reply.epoch, valid_until)
        item.incarnation = reply.incarnation
        item.seq = max(item.seq, reply.seq)
        item.heard = True
        item.stopped = False
        await self.apply(WorkerReported(item.entry.vm, reply, sent_at))
        return self.terms.renew_s

    async def _release(self, item: WorkerLease, epoch: int) -> bool:
        try:
            await item.client.release(
                self.term.name, epoch, timeout_s=RELEASE_TIMEOUT_S
            )
        except CuminhillError as exc:
            logger.info("release failed", vm=item.entry.vm, error=str(exc))
            return False
        return True
