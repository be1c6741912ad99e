"""Drives the placer of one shard: leases, start calls, records and answers."""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

import curio
import structlog

from .clock import SystemClock
from .configuration import placement_weights, team_quotas
from .coordination.admission import make_admission
from .coordination.claims import (
    Cancel,
    Claim,
    Done,
    Entry,
    Lead,
    Started,
    record_to_dict,
)
from .coordination.term import make_term
from .errors import (
    CuminhillError,
    StaleEpochError,
    UnavailableError,
)
from .leases import WorkerLeases
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
    QuotasChanged,
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
    WeightsChanged,
)
from .scheduling.placer import make_placer

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.admission import Admission
    from .coordination.claims import Record, RequestIndex
    from .follower import Follower, PendingRecord
    from .platform.vmlist import VmEntry
    from .platform.worker import Worker
    from .scheduling.placer import Placer
    from .settings import Settings
    from .siteconfig import SiteConfig

logger = structlog.get_logger(__name__)

TICK_S = 0.1
MAX_CACHED_ANSWERS = 20_000
CHECK_WAIT_S = 5.0
RECORD_WAIT_S = 0.5  # an answer is given unrecorded after this, if the log is down
HOLD_WAIT_S = 30.0  # how long a request without deadline waits for the log
ORPHAN_WAIT_S = 5.0  # records that explain a result are folded long before this
# Time before a deposed placer tries again; doubles, so that two placers that cannot
# see each other do not depose one another all the time.
HOLD_OFF_S = 1.0
HOLD_OFF_MAX_S = 30.0


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
    n_deposed: int = 0
    n_broken: int = 0
    answers: OrderedDict[str, Answer] = field(default_factory=OrderedDict)
    admission: Admission = field(default_factory=make_admission)
    _waiters: dict[str, _Waiter] = field(default_factory=dict)
    _unrecorded: dict[str, tuple[float, Answer]] = field(default_factory=dict)
    _tick_task: Any = None
    _site: SiteConfig | None = None
    _n_terms: int = 0
    _lead_sent: bool = False
    _hold_off_until: float = 0.0
    _continuing: bool = False

    def __post_init__(self) -> None:
        self.clock = SystemClock(self.settings.wall_clock_offset_s)
        self.term = make_term(self.holder, 0)
        self.placer = self._make_placer()
        self.leases = self._make_leases()

    def _make_placer(self) -> Placer:
        return make_placer(self.shard, clock_error_s=self.settings.clock_error_s)

    def _make_leases(self) -> WorkerLeases:
        return WorkerLeases(
            self.term,
            self.settings.lease,
            self.follower,
            self.make_client,
            self.apply,
            self._ack_seq,
        )

    def _ack_seq(self, worker_id: str) -> int:
        worker = self.placer.workers.get(worker_id)
        return worker.ack_seq if worker is not None else 0

    # Leadership

    @property
    def serving(self) -> bool:
        """Whether some worker of the shard is held by this VM.

        A VM may believe that it leads while another one still holds the workers;
        requests are to go to the one that holds them.
        """
        return self.leading and self.leases.any_held

    @property
    def may_lead(self) -> bool:
        """Whether this VM may try to lead, if it ranks first."""
        return time.monotonic() >= self._hold_off_until

    async def lead(self) -> None:
        """Begin a term: take over live requests and acquire the workers."""
        if self.leading or self.leases.workers:
            return  # the term before this one is still being ended
        self.leading = True
        self._n_terms += 1
        self.term = make_term(self.holder, self._n_terms)
        self.placer = self._make_placer()
        self.leases = self._make_leases()
        self.admission = make_admission()
        self._lead_sent = False
        logger.info("leading shard", shard=self.shard, term=self._n_terms)
        await self._apply_site()
        await self.resume()
        self._tick_task = await curio.spawn(self._run_ticks, daemon=True)

    async def resume(self) -> None:
        """Bring the placer in line with an index that has caught up.

        While the index replays old records they are not passed on one by one: a
        claim alone does not tell that its task was started long ago.
        """
        if not self.leading or not self.follower.caught_up:
            return
        for entry in self.index.live_in(self.shard):
            await self._take_over(entry)
        for request_id, state in list(self.placer.requests.items()):
            if state.kind in LOGGED_KINDS and not self._is_live(request_id):
                await self.apply(RequestEnded(request_id))

    async def step_down(self) -> None:
        """End the term: stop placing and give the workers' leases back."""
        if not self.leading:
            return
        self.leading = False
        await self._end_term()

    async def _end_term(self) -> None:
        logger.info("leaving shard", shard=self.shard, term=self._n_terms)
        if self._tick_task is not None:
            await self._tick_task.cancel()
        await self.leases.close()
        for waiter in list(self._waiters.values()):
            await waiter.event.set()

    async def set_roster(self, entries: list[VmEntry]) -> None:
        """Set the workers of the shard, as the VM list names them."""
        if self.leading:
            await self.leases.set_roster(entries)

    async def set_site(self, site: SiteConfig) -> None:
        """Apply a site configuration that came into force."""
        self._site = site
        await self._apply_site()

    async def _apply_site(self) -> None:
        if self._site is not None:
            domain = self.settings.failure_domain
            await self.apply(WeightsChanged(placement_weights(self._site)))
            await self.apply(QuotasChanged(team_quotas(self._site, domain)))

    async def take_lead(self, offset: int, record: Lead) -> None:
        """Take note of a lead record of this shard."""
        if not self.leading:
            return
        self.term.take_lead(offset, record.by)
        if self.term.deposed:
            self.n_deposed += 1
            delay_s = min(HOLD_OFF_MAX_S, HOLD_OFF_S * 2.0 ** min(self.n_deposed, 5))
            self._hold_off_until = time.monotonic() + delay_s
            logger.info("another placer leads", shard=self.shard, by=record.by)
            await self.step_down()

    async def apply(self, event: Event) -> None:
        """Hand an event to the placer and carry out its actions."""
        if self.leading and self.term.broken(time.monotonic()):
            # Another placer may have placed our requests meanwhile. The term ends
            # in a task of its own, as this one may be a loop that it cancels.
            self.leading = False
            self.n_broken += 1
            await curio.spawn(self._end_term, daemon=True)
        actions = self.placer.handle(event, time.monotonic(), self.clock.wall())
        for action in actions:
            await self._do(action)
        if self.placer.has_more and not self._continuing:
            self._continuing = True
            await curio.spawn(self._continue_placing, daemon=True)

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
        if (
            self.leading
            and self.follower.caught_up
            and bound is not None
            and bound.shard == self.shard
        ):
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
            "admission": self.admission.dump(now),
            "n_deposed": self.n_deposed,
            "n_broken": self.n_broken,
            "term": {
                "name": self.term.name,
                "confirmed": self.term.confirmed,
                "exclusive": self.term.exclusive,
            },
            "leases": self.leases.dump(),
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
            refused = refused or self._overload(request)
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

    def _overload(self, request: Request) -> Answer | None:
        """Return the refusal of a check that would start too late."""
        now = time.monotonic()
        left_s = request.deadline - self.clock.wall()
        refusal = self.admission.offer(request.request_id, left_s, now)
        if refusal is None:
            return None
        wait_s = self.admission.expected_wait(now)
        return not_run(
            request.request_id,
            Reason.OVERLOAD,
            f"{refusal}: {self.admission.n_waiting} checks wait, about {wait_s:.2f} s",
        )

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
        claim = Claim(request_id, self.shard, request.to_dict(), self.clock.wall())
        try:
            pending = await self._append(claim)
        except UnavailableError as exc:
            return not_run(request_id, Reason.OVERLOAD, exc.message)
        error_s = self.settings.clock_error_s
        losses = self.leases.n_losses if self.leases.all_held else None
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
            # The claim may stand in the log, but nobody starts the request after
            # this. A leader that has held every worker since, or that has read
            # the log to its end, knows that nobody has started it before.
            if self.leases.all_held and losses == self.leases.n_losses:
                return not_run(request_id, Reason.UNAVAILABLE, "the log is unreachable")
            if await self.follower.catch_up():
                if self.index.get(request_id) is not None:
                    return None
                return not_run(request_id, Reason.UNAVAILABLE, "the claim was lost")
        return Answer(
            request_id, AnswerState.UNKNOWN, detail="the claim's outcome is unknown"
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

    def _done_record(self, request_id: str, answer: Answer) -> Done:
        state = self.placer.requests.get(request_id)
        seen = max((task.prior for task in state.tasks), default=-1) if state else -1
        origin = self._origin(request_id)
        value = answer.to_dict()
        return Done(request_id, value, self.clock.wall(), self.shard, origin, seen)

    def _origin(self, request_id: str) -> int:
        bound = self.index.get(request_id)
        return bound.origin if bound is not None else -1

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
        if bound.request is not None and record.shard == self.shard:
            request = Request.from_dict(bound.request)
            inherited = not self.term.owns(bound.origin)
            await self.apply(RequestAccepted(request, inherited=inherited))

    @_follow.register
    async def _(self, record: Started, bound: Entry) -> None:
        if record.by != self.term.name:
            return
        counts = bound.started.get(record.task_id)
        offset = bound.started_offsets.get(record.task_id, -1)
        valid = counts == record
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
                self.term.name,
                action.prior,
                self._origin(action.request.request_id),
            )
        )

    @_do.register
    async def _(self, action: StartTask) -> None:
        if action.request.kind is RequestKind.CHECK:
            self.admission.started(action.request.request_id, time.monotonic())
        await curio.spawn(self._start, action, daemon=True)

    @_do.register
    async def _(self, action: ControlTask) -> None:
        await curio.spawn(self._control, action, daemon=True)

    @_do.register
    async def _(self, action: FenceWorker) -> None:
        self.leases.fence(action.worker_id)

    @_do.register
    async def _(self, action: Finish) -> None:
        request, answer = action.request, action.answer
        if request.kind in LOGGED_KINDS:
            if answer.state is AnswerState.NOT_RUN and not self.leases.any_held:
                return  # another placer may have run it; its next placer decides
            self._unrecorded[request.request_id] = (time.monotonic(), answer)
            await self._append(self._done_record(request.request_id, answer))
            return
        self.admission.withdrawn(request.request_id, time.monotonic())
        self.answers[request.request_id] = answer
        if len(self.answers) > MAX_CACHED_ANSWERS:
            self.answers.popitem(last=False)
        await self.apply(RequestEnded(request.request_id))
        waiter = self._waiters.get(request.request_id)
        if waiter is not None:
            await waiter.event.set()

    async def _start(self, action: StartTask) -> None:
        lease = self.leases.usable(action.worker_id, action.epoch)
        if lease is None:
            self.n_lapsed += 1
            await self._start_replied(action, StartOutcome.REFUSED)
            return
        is_check = action.request.kind is RequestKind.CHECK
        try:
            result = await lease.client.start(
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
        if result is None:
            await self._start_replied(action, StartOutcome.RUNNING)
        else:
            await self.apply(TaskEnded(action.worker_id, result))

    async def _start_replied(self, action: StartTask, outcome: StartOutcome) -> None:
        await self.apply(
            StartReplied(
                action.task_id,
                action.worker_id,
                outcome,
                action.epoch,
                action.number,
            )
        )

    async def _control(self, action: ControlTask) -> None:
        lease = self.leases.usable(action.worker_id, action.epoch)
        if lease is None:
            return
        try:
            await lease.client.control(
                action.task_id, action.verb, action.epoch, timeout_s=1.0
            )
        except CuminhillError as exc:
            logger.info("control call failed", verb=action.verb, error=str(exc))

    # Background tasks

    async def _continue_placing(self) -> None:
        """Place what one decision left over, giving way to other work."""
        try:
            while self.leading and self.placer.has_more:
                await curio.sleep(0)
                await self.apply(Tick())
        finally:
            self._continuing = False

    async def _run_ticks(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            await self.apply(Tick())
            await self._keep_term()
            for waiter in [
                self._waiters[key] for key in self._unrecorded if key in self._waiters
            ]:
                await waiter.event.set()

    async def _keep_term(self) -> None:
        """Announce the term, note when all workers were heard, and tidy up."""
        if not self.leading:
            return
        if not self._lead_sent and self.leases.any_held:
            self._lead_sent = True
            await self._append(Lead(self.shard, self.term.name))
        heard = self.leases.roster()
        if heard is not None and not self.term.exclusive:
            self.term.exclusive = True
            await self.apply(RosterComplete(heard))
        if self.follower.reachable and self.follower.caught_up:
            before = time.monotonic() - ORPHAN_WAIT_S
            for request_id in self.placer.orphan_requests(before):
                if not self._is_live(request_id):
                    await self.apply(RequestEnded(request_id))

    def _is_live(self, request_id: str) -> bool:
        entry = self.index.get(request_id)
        return entry is not None and entry.live
