"""Drives the placer of one shard: leases, start calls, records and answers."""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

import curio
import structlog

from .clock import SystemClock
from .coordination.claims import (
    Cancel,
    Claim,
    Done,
    Entry,
    Started,
    record_to_dict,
)
from .coordination.lease import HeldLease
from .errors import (
    CuminhillError,
    LeaseHeldError,
    StaleEpochError,
    UnavailableError,
)
from .model import (
    LOGGED_KINDS,
    Answer,
    AnswerState,
    Reason,
    Request,
    RequestKind,
    not_run,
)
from .platform.worker import make_worker
from .scheduling.events import (
    Action,
    CancelRequested,
    ControlTask,
    Event,
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
    WorkerLeaving,
    WorkerReported,
    WorkerStopped,
    WorkerUnreachable,
)
from .scheduling.placer import make_placer
from .scheduling.state import Phase

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.claims import Record, RequestIndex
    from .follower import Follower, PendingRecord
    from .platform.vmlist import VmEntry
    from .platform.worker import LeaseReply, TaskResult, Worker
    from .settings import Settings

logger = structlog.get_logger(__name__)

TICK_S = 0.1
MAX_CACHED_ANSWERS = 20_000
CHECK_WAIT_S = 5.0
RECORD_WAIT_S = 0.5  # an answer is given unrecorded after this, if the log is down
MAX_UNCLAIMED_RESULTS = 10_000  # per worker; the oldest are then given up
HOLD_WAIT_S = 30.0  # how long a request without deadline waits for the log


class NotLeaderError(CuminhillError):
    """The shard is led by another VM."""


class BoundElsewhereError(CuminhillError):
    """The request id belongs to another shard.

    Parameters
    ----------
    shard : str
        Shard that won the claim.
    """

    def __init__(self, shard: str) -> None:
        super().__init__(f"bound to {shard}", step="claim")
        self.shard = shard


@dataclass(eq=False, slots=True)
class _WorkerLoop:
    """Lease of one worker."""

    entry: VmEntry
    client: Worker
    lease: HeldLease | None = None
    seq: int = 0
    incarnation: str = ""
    lost_at: float = 0.0
    heard: bool = False
    stopped: bool = False
    # A grant counts only under a newer epoch than this: start calls may still be
    # on their way under the older ones.
    fenced_epoch: int = -1
    # Results whose request is not known here, by seq, with the time of hearing.
    unclaimed: OrderedDict[int, tuple[TaskResult, float]] = field(
        default_factory=OrderedDict
    )
    told: set[int] = field(default_factory=set)  # results that start replies told
    n_starting: int = 0  # start calls on their way
    epoch: int = 0  # of the last grant to this VM; 0 if another has the lease
    task: Any = None


@dataclass(eq=False, slots=True)
class _Waiter:
    """Callers that wait for news of one request."""

    event: Any = field(default_factory=curio.Event)
    n_users: int = 0


@dataclass(eq=False)
class ShardDriver:
    """Everything that the leader of a shard does.

    Parameters
    ----------
    shard : str
        Name of the shard.
    holder : str
        Name of this life of the process, used as lease holder.
    settings : Settings
        Settings of the process.
    follower : Follower
        Stream of request records.
    index : RequestIndex
        State folded from that stream.
    """

    shard: str
    holder: str
    settings: Settings
    follower: Follower
    index: RequestIndex
    make_client: Callable[[str], Worker] = make_worker
    leading: bool = False
    n_stale_starts: int = 0
    n_unknown_starts: int = 0
    n_lapsed: int = 0
    answers: OrderedDict[str, Answer] = field(default_factory=OrderedDict)
    _loops: dict[str, _WorkerLoop] = field(default_factory=dict)
    _waiters: dict[str, _Waiter] = field(default_factory=dict)
    _unrecorded: dict[str, tuple[float, Answer]] = field(default_factory=dict)
    _own_claims: set[str] = field(default_factory=set)
    _tick_task: Any = None
    _n_losses: int = 0  # how often some worker may have had another holder
    _roster_announced: bool = False
    _roster_asked_at: float = 0.0

    def __post_init__(self) -> None:
        self.clock = SystemClock(self.settings.wall_clock_offset_s)
        self.placer = make_placer(self.shard, clock_error_s=self.settings.clock_error_s)

    # Leadership

    async def lead(self) -> None:
        """Begin to lead: take over live requests and acquire the workers."""
        if self.leading:
            return
        self.leading = True
        logger.info("leading shard", shard=self.shard)
        await self._begin()
        self._tick_task = await curio.spawn(self._run_ticks, daemon=True)

    async def _begin(self) -> None:
        self.placer = make_placer(self.shard, clock_error_s=self.settings.clock_error_s)
        self._own_claims.clear()
        self._n_losses += 1
        self._hear_roster_again()
        for entry in self.index.live_in(self.shard):
            await self._take_over(entry)

    async def _begin_again(self) -> None:
        """Take the shard over anew after another holder had one of its workers.

        The other holder may have placed any request that waits here.
        """
        logger.info("beginning again", shard=self.shard)
        for loop in self._loops.values():
            loop.seq = 0
            loop.told.clear()
            loop.unclaimed.clear()
            if loop.lease is not None and loop.n_starting:
                loop.fenced_epoch = loop.lease.epoch
                loop.lease = None
        await self._begin()

    def _hear_roster_again(self) -> None:
        """Start nothing that another placer may have started until all are heard."""
        self.placer.roster_complete = False
        self._roster_announced = False
        self._roster_asked_at = time.monotonic()
        for loop in self._loops.values():
            loop.heard = False

    async def step_down(self) -> None:
        """Stop placing and give the workers' leases back."""
        if not self.leading:
            return
        self.leading = False
        logger.info("leaving shard", shard=self.shard)
        if self._tick_task is not None:
            await self._tick_task.cancel()
        loops, self._loops = self._loops, {}
        for loop in loops.values():
            await loop.task.cancel()
            await self.apply(WorkerUnreachable(loop.entry.vm))
            if loop.lease is not None:
                await curio.spawn(self._release, loop, loop.lease.epoch, daemon=True)
        for waiter in list(self._waiters.values()):
            await waiter.event.set()

    async def set_roster(self, entries: list[VmEntry]) -> None:
        """Set the workers of the shard, as the VM list names them."""
        if not self.leading:
            return
        listed = {entry.vm: entry for entry in entries}
        for vm, entry in listed.items():
            loop = self._loops.get(vm)
            if loop is not None and loop.entry.address != entry.address:
                await self._drop_loop(loop)
                loop = None
            if loop is None:
                loop = _WorkerLoop(entry, self.make_client(entry.address))
                loop.lost_at = time.monotonic()
                self._loops[vm] = loop
                loop.task = await curio.spawn(self._run_lease, loop, daemon=True)
            if entry.leaving and not loop.entry.leaving:
                loop.entry = entry
                await self.apply(WorkerLeaving(vm))
        for vm, loop in list(self._loops.items()):
            if vm not in listed and loop.lease is None and loop.stopped:
                await self._drop_loop(loop)

    async def apply(self, event: Event) -> None:
        """Hand an event to the placer and carry out its actions."""
        actions = self.placer.handle(event, time.monotonic(), self.clock.wall())
        for action in actions:
            await self._do(action)

    # Requests

    async def submit(self, request: Request, wait_s: float) -> Answer:
        """Take a request and return its answer, or accepted after ``wait_s``.

        Raises
        ------
        NotLeaderError
            If this VM does not lead the shard; the request was not taken here.
        BoundElsewhereError
            If the id belongs to another shard.
        """
        if request.kind in LOGGED_KINDS:
            return await self._submit_logged(request, wait_s)
        return await self._submit_check(request)

    async def wait(self, request_id: str, wait_s: float) -> Answer | None:
        """Return the answer to a logged request, None if it is unknown here."""
        give_up_at = time.monotonic() + wait_s
        while True:
            answer = self.known_answer(request_id)
            if answer is None or answer.final:
                return answer
            left_s = give_up_at - time.monotonic()
            if left_s <= 0:
                return answer
            await self._wait_for_news(request_id, min(left_s, RECORD_WAIT_S))

    def known_answer(self, request_id: str) -> Answer | None:
        """Return what can be said of a request now."""
        entry = self.index.get(request_id)
        if entry is None:
            return self.answers.get(request_id)
        if entry.answer is not None:
            return Answer.from_dict(entry.answer)
        unrecorded = self._unrecorded.get(request_id)
        if unrecorded and time.monotonic() - unrecorded[0] >= RECORD_WAIT_S:
            return unrecorded[1]
        return Answer(request_id, AnswerState.ACCEPTED)

    async def cancel(self, request_id: str) -> None:
        """Ask that a request be cancelled."""
        if self.index.get(request_id) is not None:
            await self._append(Cancel(request_id))
        else:
            await self.apply(CancelRequested(request_id))

    async def on_folded(self, record: Record) -> None:
        """Take note of a record that the index has folded."""
        request_id = getattr(record, "request_id", "")
        bound = self.index.get(request_id)
        if self.leading and bound is not None and bound.shard == self.shard:
            await self._follow(record, bound)
        waiter = self._waiters.get(request_id)
        if waiter is not None:
            await waiter.event.set()

    def dump(self) -> dict[str, Any]:
        """Return the state in JSON-ready form."""
        now = time.monotonic()
        return {
            "leading": self.leading,
            "placer": self.placer.dump(),
            "n_cached_answers": len(self.answers),
            "n_waiters": len(self._waiters),
            "n_unrecorded": len(self._unrecorded),
            "n_stale_starts": self.n_stale_starts,
            "n_unknown_starts": self.n_unknown_starts,
            "n_lapsed": self.n_lapsed,
            "leases": {
                vm: {
                    "epoch": loop.lease.epoch,
                    "valid_for_s": round(loop.lease.valid_until - now, 3),
                }
                if loop.lease
                else None
                for vm, loop in self._loops.items()
            },
        }

    async def _submit_check(self, request: Request) -> Answer:
        request_id = request.request_id
        cached = self.answers.get(request_id)
        if cached is not None:
            return cached
        if not self.leading:
            raise NotLeaderError("not leading", step="submit", peer=self.shard)
        if request_id not in self.placer.requests:
            refused = self.placer.refusal(request, self.clock.wall())
            if refused is not None:
                return refused
            await self.apply(RequestAccepted(request))
        give_up_at = time.monotonic() + CHECK_WAIT_S
        while time.monotonic() < give_up_at:
            cached = self.answers.get(request_id)
            if cached is not None:
                return cached
            state = self.placer.requests.get(request_id)
            if state is None or (not self.leading and state.untouched):
                raise NotLeaderError("stepped down", step="submit", peer=self.shard)
            await self._wait_for_news(request_id, give_up_at - time.monotonic())
        return Answer(request_id, AnswerState.UNKNOWN, detail="no result in time")

    async def _submit_logged(self, request: Request, wait_s: float) -> Answer:
        request_id = request.request_id
        entry = self.index.get(request_id)
        if entry is None:
            if not self.leading:
                raise NotLeaderError("not leading", step="submit", peer=self.shard)
            refused = self._refusal(request)
            if refused is not None:
                return refused
            answer = await self._claim(request)
            if answer is not None:
                return answer
            entry = self.index.get(request_id)
        if entry is None:
            raise NotLeaderError("claim was lost", step="claim", peer=self.shard)
        if entry.shard != self.shard:
            raise BoundElsewhereError(entry.shard)
        if entry.live and not self.leading:
            raise NotLeaderError("not leading", step="submit", peer=self.shard)
        answer = await self.wait(request_id, wait_s)
        return answer or Answer(request_id, AnswerState.ACCEPTED)

    def _refusal(self, request: Request) -> Answer | None:
        wall = self.clock.wall()
        window_s = self.settings.dedupe_window_s
        if request.kind is RequestKind.ORDER and request.issued_at < wall - window_s:
            return not_run(
                request.request_id,
                Reason.EXPIRED,
                f"issued more than {window_s:g} s ago",
            )
        return self.placer.refusal(request, wall)

    async def _claim(self, request: Request) -> Answer | None:
        """Bind the id to this shard; return an answer only if that failed."""
        request_id = request.request_id
        n_losses = self._n_losses if self._holds_all() else -1
        self._own_claims.add(request_id)
        claim = Claim(request_id, self.shard, request.to_dict(), self.clock.wall())
        try:
            pending = await self._append(claim)
        except UnavailableError as exc:
            return not_run(request_id, Reason.OVERLOAD, exc.message)
        # Beyond the deadline and the clock error nobody starts the request, so
        # "not run" is true even if the claim has reached the log.
        error_s = self.settings.clock_error_s
        until = min(request.deadline + error_s, self.clock.wall() + HOLD_WAIT_S)
        while self.clock.wall() <= until:
            if self.index.get(request_id) is not None:
                return None
            await self._wait_for_news(request_id, max(0.01, until - self.clock.wall()))
        if self.index.get(request_id) is not None:
            return None
        if self.follower.withdraw(pending):
            return not_run(request_id, Reason.UNAVAILABLE, "the log is unreachable")
        if self.clock.wall() > request.deadline + error_s:
            # The claim may stand in the log. Only a leader that has held every
            # worker since, or that has read the log, knows that nobody acted on it.
            if n_losses == self._n_losses and self._holds_all():
                return not_run(request_id, Reason.UNAVAILABLE, "the log is unreachable")
            if await self.follower.catch_up():
                if self.index.get(request_id) is not None:
                    return None
                return not_run(request_id, Reason.UNAVAILABLE, "the claim was lost")
        return Answer(
            request_id, AnswerState.UNKNOWN, detail="the claim's outcome is unknown"
        )

    def _holds_all(self) -> bool:
        """Return whether this VM holds every worker of the shard now."""
        now = time.monotonic()
        return self.leading and all(
            loop.lease is not None and loop.lease.valid(now)
            for loop in self._loops.values()
        )

    async def _wait_for_news(self, request_id: str, timeout_s: float) -> None:
        waiter = self._waiters.setdefault(request_id, _Waiter())
        waiter.n_users += 1
        waiter.event.clear()
        try:
            async with curio.timeout_after(max(0.0, timeout_s)):
                await waiter.event.wait()
        except curio.TaskTimeout:
            pass
        finally:
            waiter.n_users -= 1
            if not waiter.n_users:
                self._waiters.pop(request_id, None)

    # Records

    async def _append(self, record: Record) -> PendingRecord:
        return await self.follower.append(record_to_dict(record))

    async def _take_over(self, entry: Entry) -> None:
        if entry.request is None:
            return
        request = Request.from_dict(entry.request)
        await self.apply(
            RequestAccepted(
                request, dict(entry.started), dict(entry.started_offsets), True
            )
        )
        if entry.cancelled:
            await self.apply(CancelRequested(entry.request_id))

    @singledispatchmethod
    async def _follow(self, record: Record, bound: Entry) -> None:
        """Pass a folded record on to the placer."""

    @_follow.register
    async def _(self, record: Claim, bound: Entry) -> None:
        if bound.request is None or record.shard != self.shard:
            return
        foreign = record.request_id not in self._own_claims
        self._own_claims.discard(record.request_id)
        if foreign:
            # Another VM believed to lead when it claimed, and may have started
            # tasks on a worker that this VM has lost without knowing it yet.
            self._hear_roster_again()
        await self.apply(
            RequestAccepted(Request.from_dict(bound.request), inherited=foreign)
        )
        await self._take_unclaimed(record.request_id)

    @_follow.register
    async def _(self, record: Started, bound: Entry) -> None:
        counts = bound.started.get(record.task_id)
        valid = counts == record and record.by == self.holder
        if not valid and record.by != self.holder and counts != record:
            return  # void, and not ours
        offset = bound.started_offsets.get(record.task_id, -1)
        await self.apply(
            StartRecorded(
                record.task_id,
                record.request_id,
                valid,
                offset,
                None if valid else counts,
            )
        )

    @_follow.register
    async def _(self, record: Cancel, bound: Entry) -> None:
        if bound.live:
            await self.apply(CancelRequested(record.request_id))

    @_follow.register
    async def _(self, record: Done, bound: Entry) -> None:
        self._unrecorded.pop(record.request_id, None)
        await self.apply(RequestEnded(record.request_id))

    # Actions

    @singledispatchmethod
    async def _do(self, action: Action) -> None:
        raise TypeError(f"not an action: {action!r}")

    @_do.register
    async def _(self, action: RecordStart) -> None:
        await self._append(
            Started(
                action.request.request_id,
                action.task_id,
                action.worker_id,
                action.epoch,
                action.incarnation,
                self.holder,
                action.prior,
            )
        )

    @_do.register
    async def _(self, action: StartTask) -> None:
        await curio.spawn(self._start, action, daemon=True)

    @_do.register
    async def _(self, action: ControlTask) -> None:
        await curio.spawn(self._control, action, daemon=True)

    @_do.register
    async def _(self, action: FenceWorker) -> None:
        loop = self._loops.get(action.worker_id)
        if loop is not None and loop.lease is not None:
            loop.fenced_epoch = loop.lease.epoch

    @_do.register
    async def _(self, action: Finish) -> None:
        request, answer = action.request, action.answer
        if answer.state is AnswerState.NOT_RUN and request.kind in LOGGED_KINDS:
            await curio.spawn(self._finish_not_run, action, daemon=True)
            return
        if request.kind in LOGGED_KINDS:
            self._unrecorded[request.request_id] = (time.monotonic(), answer)
            await self._append(
                Done(request.request_id, answer.to_dict(), self.clock.wall())
            )
            return
        self.answers[request.request_id] = answer
        if len(self.answers) > MAX_CACHED_ANSWERS:
            self.answers.popitem(last=False)
        await self.apply(RequestEnded(request.request_id))
        waiter = self._waiters.get(request.request_id)
        if waiter is not None:
            await waiter.event.set()

    async def _finish_not_run(self, action: Finish) -> None:
        """Record "not run" once the log shows that no other placer started it."""
        request_id = action.request.request_id
        placer = self.placer
        while not (placer.roster_complete and await self.follower.catch_up()):
            await curio.sleep(TICK_S)
            if not self.leading or placer is not self.placer:
                return  # whoever leads now decides anew
        entry = self.index.get(request_id)
        if entry is None or not entry.live:
            return
        state = placer.requests.get(request_id)
        judged = {task.task_id: task.prior for task in state.tasks} if state else {}
        if any(judged.get(key) != at for key, at in entry.started_offsets.items()):
            await self._begin_again()  # a start that the placer did not know of
            return
        await self._append(Done(request_id, action.answer.to_dict(), self.clock.wall()))

    async def _start(self, action: StartTask) -> None:
        loop = self._loops.get(action.worker_id)
        lease = loop.lease if loop is not None else None
        if (
            loop is None
            or lease is None
            or lease.epoch != action.epoch
            or not lease.valid(time.monotonic())
        ):
            self.n_lapsed += 1
            await self._start_replied(action, StartOutcome.REFUSED)
            return
        is_check = action.request.kind is RequestKind.CHECK
        loop.n_starting += 1
        try:
            result = await loop.client.start(
                action.request,
                action.task_id,
                action.epoch,
                run_time_s=action.run_time_s,
                wait_s=CHECK_WAIT_S if is_check else 0.0,
                timeout_s=self.settings.lease.ttl_s,
            )
        except (StaleEpochError, UnavailableError):
            self.n_stale_starts += 1
            await self._start_replied(action, StartOutcome.REFUSED)
            return
        except CuminhillError:
            self.n_unknown_starts += 1
            await self._start_replied(action, StartOutcome.UNKNOWN)
            return
        finally:
            loop.n_starting -= 1
        if result is None:
            await self._start_replied(action, StartOutcome.RUNNING)
        elif result.seq > loop.seq:  # else the worker's list has told it before
            loop.told.add(result.seq)
            await self.apply(TaskEnded(action.worker_id, result))

    async def _start_replied(self, action: StartTask, outcome: StartOutcome) -> None:
        await self.apply(
            StartReplied(action.task_id, action.worker_id, outcome, action.epoch)
        )

    async def _control(self, action: ControlTask) -> None:
        loop = self._loops.get(action.worker_id)
        if loop is None:
            return
        try:
            await loop.client.control(
                action.task_id, action.verb, action.epoch, timeout_s=1.0
            )
        except CuminhillError as exc:
            logger.info("control call failed", verb=action.verb, error=str(exc))

    # Leases

    async def _run_lease(self, loop: _WorkerLoop) -> None:
        terms = self.settings.lease
        while True:
            delay_s = await self._renew(loop)
            now = time.monotonic()
            if loop.lease is not None and not loop.lease.valid(now):
                loop.fenced_epoch = max(loop.fenced_epoch, loop.lease.epoch)
                loop.lease = None
                loop.lost_at = now
                self._n_losses += 1
                await self.apply(WorkerUnreachable(loop.entry.vm))
            if (
                loop.lease is None
                and not loop.stopped
                and now >= terms.tasks_stopped_at(loop.lost_at)
            ):
                loop.stopped = True
                await self.apply(WorkerStopped(loop.entry.vm))
            await self._announce_roster()
            await curio.sleep(delay_s)

    async def _renew(self, loop: _WorkerLoop) -> float:
        """Renew once; return the time until the next try, in seconds."""
        terms = self.settings.lease
        sent_at = time.monotonic()
        placer = self.placer
        known = placer.workers.get(loop.entry.vm)
        try:
            reply = await loop.client.lease(
                self.holder,
                terms.ttl_s,
                loop.seq,
                # A start reply may tell a result ahead of the list; results
                # that the list has not told yet must not be forgotten.
                self._ack(loop, known.ack_seq) if known else 0,
                timeout_s=terms.renew_s,
            )
        except LeaseHeldError as exc:
            # Another holder renews, so the task lease runs on.
            loop.lost_at = time.monotonic()
            if loop.epoch:
                loop.epoch = 0
                await self._begin_again()
            return min(terms.renew_s, exc.remaining_s + 0.005)
        except CuminhillError:
            return terms.renew_s / 3
        valid_until = terms.holder_expiry(sent_at)
        loop.lost_at = time.monotonic()  # this call renewed the task lease as well
        same_life = loop.incarnation in {"", reply.incarnation}
        last_epoch, loop.epoch = loop.epoch, reply.epoch
        if same_life and last_epoch and reply.epoch > last_epoch + 1:
            await self._begin_again()
            return 0.0  # asks for the whole list
        if placer is not self.placer:
            return 0.0
        if not same_life:
            loop.incarnation, loop.seq = reply.incarnation, 0
            loop.told.clear()
            loop.unclaimed.clear()
            return 0.0
        if reply.epoch <= loop.fenced_epoch:
            loop.lease = None
            released = await self._release(loop, reply.epoch)
            return 0.0 if released else terms.renew_s / 3
        loop.lease = HeldLease(reply.epoch, valid_until)
        loop.incarnation = reply.incarnation
        loop.seq = max(loop.seq, reply.seq)
        loop.heard = loop.heard or sent_at >= self._roster_asked_at
        loop.stopped = False
        news = [item for item in reply.finished if item.seq not in loop.told]
        loop.told = {seq for seq in loop.told if seq > reply.seq}
        reply = replace(reply, finished=tuple(news))
        self._keep_unclaimed(loop, reply)
        await self.apply(WorkerReported(loop.entry.vm, reply, sent_at))
        await self._stop_leftovers(loop, reply)
        return terms.renew_s

    def _ack(self, loop: _WorkerLoop, ack_seq: int) -> int:
        """Return the result up to which a worker may forget.

        A result may belong to a request whose claim has not been read yet; it is
        kept until the log as of its hearing has been read.
        """
        for seq, (_, heard_at) in list(loop.unclaimed.items()):
            if heard_at < self.follower.folded_at:
                del loop.unclaimed[seq]
        first = min(loop.unclaimed, default=ack_seq + 1)
        return min(ack_seq, loop.seq, first - 1)

    def _keep_unclaimed(self, loop: _WorkerLoop, reply: LeaseReply) -> None:
        for result in reply.finished:
            if result.request_id in self.placer.requests:
                continue
            if self.index.get(result.request_id) is None:
                loop.unclaimed[result.seq] = (result, time.monotonic())
        while len(loop.unclaimed) > MAX_UNCLAIMED_RESULTS:
            loop.unclaimed.popitem(last=False)

    async def _take_unclaimed(self, request_id: str) -> None:
        for loop in self._loops.values():
            for seq, (result, _) in list(loop.unclaimed.items()):
                if result.request_id == request_id:
                    del loop.unclaimed[seq]
                    await self.apply(TaskEnded(loop.entry.vm, result))

    async def _stop_leftovers(self, loop: _WorkerLoop, reply: LeaseReply) -> None:
        """Stop listed tasks that are to be over: an earlier stop call was lost."""
        for report in reply.tasks:
            state = self.placer.requests.get(report.request_id)
            entry = self.index.get(report.request_id)
            if state is not None:
                over = any(
                    task.task_id == report.task_id and task.phase is Phase.STOPPING
                    for task in state.tasks
                )
            else:
                over = entry is not None and not entry.live
            if over:
                stop = ControlTask(report.task_id, loop.entry.vm, "stop", reply.epoch)
                await curio.spawn(self._control, stop, daemon=True)

    async def _release(self, loop: _WorkerLoop, epoch: int) -> bool:
        try:
            await loop.client.release(self.holder, epoch, timeout_s=0.5)
        except CuminhillError as exc:
            logger.info("release failed", vm=loop.entry.vm, error=str(exc))
            return False
        return True

    async def _drop_loop(self, loop: _WorkerLoop) -> None:
        await loop.task.cancel()
        self._loops.pop(loop.entry.vm, None)
        await self.apply(WorkerStopped(loop.entry.vm))

    async def _announce_roster(self) -> None:
        loops = list(self._loops.values())
        if self._roster_announced or not loops:
            return
        if all(loop.heard or loop.stopped for loop in loops):
            self._roster_announced = True
            heard = frozenset(loop.entry.vm for loop in loops if loop.heard)
            await self.apply(RosterComplete(heard))

    async def _run_ticks(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            await self.apply(Tick())
            for waiter in [
                self._waiters[key] for key in self._unrecorded if key in self._waiters
            ]:
                await waiter.event.set()
