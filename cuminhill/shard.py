"""Drives the placer of one shard: leases, start calls, records and answers."""

from __future__ import annotations

import time
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
    LeaderRecord,
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
    Request,
    RequestKind,
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
from .submissions import CHECK_WAIT_S, Submissions

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
ORPHAN_WAIT_S = 5.0  # the records that explain a result are folded well before
# Time before a deposed placer may lead again. It doubles, so that two placers that
# cannot reach each other do not depose one another in a loop.
TERM_BACKOFF_S = 1.0
TERM_BACKOFF_MAX_S = 30.0
TERM_BACKOFF_RESET_S = 60.0  # a term that lasted longer did not end in such a loop


@dataclass(eq=False)
class ShardDriver:
    """Leads a shard: carries out what its placer decides and feeds events to it.

    Parameters
    ----------
    shard : str
        Name of the shard.
    holder : str
        Name of this incarnation of the process, used as lease holder.
    settings : Settings
        Settings of the process.
    follower : Follower
        Reads and appends to the stream of request records.
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
    n_lapsed_starts: int = 0
    n_deposed_terms: int = 0
    n_broken_terms: int = 0
    admission: Admission = field(default_factory=make_admission)
    _tick_task: Any = None
    _site: SiteConfig | None = None
    _n_terms: int = 0
    _n_short_terms: int = 0
    _term_began_at: float = 0.0
    _leader_record_sent: bool = False
    _backoff_until: float = 0.0
    _placing_remaining: bool = False

    def __post_init__(self) -> None:
        self.clock = SystemClock(self.settings.wall_clock_offset_s)
        self.term = make_term(self.holder, 0)
        self.placer = self._make_placer()
        self.leases = self._make_leases()
        self.submissions = Submissions(self)

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
        """Whether this VM leads and holds a valid lease of a worker.

        A VM may consider itself the leader while another one still holds the
        workers; requests have to go to the VM that holds them.
        """
        return self.leading and self.leases.any_held

    @property
    def may_lead(self) -> bool:
        """Whether this VM may begin a term if it ranks first."""
        return time.monotonic() >= self._backoff_until

    async def begin_term(self) -> None:
        """Begin a term: take over live requests and acquire the workers."""
        if self.leading or self.leases.workers:
            return  # the previous term is still ending
        self.leading = True
        self._n_terms += 1
        self.term = make_term(self.holder, self._n_terms)
        self.placer = self._make_placer()
        self.leases = self._make_leases()
        self.admission = make_admission()
        self._leader_record_sent = False
        self._term_began_at = time.monotonic()
        logger.info("leading shard", shard=self.shard, term=self._n_terms)
        await self._apply_site()
        await self.reconcile_requests()
        self._tick_task = await curio.spawn(self._run_ticks, daemon=True)

    async def reconcile_requests(self) -> None:
        """Bring the placer in line with the index once that has caught up.

        Records are not forwarded one by one during the replay: a claim alone does
        not show whether its tasks have been started since.
        """
        if not self.leading or not self.follower.caught_up:
            return
        for entry in self.index.live_entries(self.shard):
            await self._restore_request(entry)
        for request_id, state in list(self.placer.requests.items()):
            if state.kind in LOGGED_KINDS and not self._is_live(request_id):
                await self.apply(RequestEnded(request_id))

    async def step_down(self) -> None:
        """End the term: stop placing and release the workers' leases."""
        if not self.leading:
            return
        self.leading = False
        await self._disclaim_term()

    async def _disclaim_term(self) -> None:
        logger.info("leaving shard", shard=self.shard, term=self._n_terms)
        if self._tick_task is not None:
            await self._tick_task.cancel()
        await self.leases.close()
        await self.submissions.waiters.wake_all()

    async def set_roster(self, entries: list[VmEntry]) -> None:
        """Set the workers of the shard to those that the VM list names."""
        if self.leading:
            await self.leases.set_roster(entries)

    async def set_site(self, site: SiteConfig) -> None:
        """Apply a site configuration that has come into force."""
        self._site = site
        await self._apply_site()

    async def _apply_site(self) -> None:
        if self._site is not None:
            domain = self.settings.failure_domain
            await self.apply(WeightsChanged(placement_weights(self._site)))
            await self.apply(QuotasChanged(team_quotas(self._site, domain)))

    async def on_leader_record(self, offset: int, record: LeaderRecord) -> None:
        """Handle a leader record of this shard; step down if it deposes this term."""
        if not self.leading:
            return
        self.term.take_lead(offset, record.by)
        if self.term.deposed:
            self._back_off()
            logger.info("another placer leads", shard=self.shard, by=record.by)
            await self.step_down()

    def _back_off(self) -> None:
        """Delay the next term, twice as long for each short term in a row."""
        now = time.monotonic()
        if now - self._term_began_at > TERM_BACKOFF_RESET_S:
            self._n_short_terms = 0
        self.n_deposed_terms += 1
        self._n_short_terms += 1
        delay_s = TERM_BACKOFF_S * 2.0 ** min(self._n_short_terms - 1, 10)
        self._backoff_until = now + min(TERM_BACKOFF_MAX_S, delay_s)

    async def apply(self, event: Event) -> None:
        """Pass an event to the placer and carry out its actions."""
        if self.leading and self.term.broken(time.monotonic()):
            # Another placer may have placed the requests in the meantime. The term
            # ends in a separate task, since it may cancel the task that runs here.
            self.leading = False
            self.n_broken_terms += 1
            await curio.spawn(self._disclaim_term, daemon=True)
        actions = self.placer.handle(event, time.monotonic(), self.clock.wall())
        for action in actions:
            await self._execute(action)
        if self.placer.has_more and not self._placing_remaining:
            self._placing_remaining = True
            await curio.spawn(self._place_remaining, daemon=True)

    # Records

    async def on_folded(self, record: Record) -> None:
        """Handle a record that the index has folded."""
        request_id = getattr(record, "request_id", "")
        entry = self.index.get(request_id)
        if (
            self.leading
            and self.follower.caught_up
            and entry is not None
            and entry.shard == self.shard
        ):
            await self._forward_record(record, entry)
        if isinstance(record, Done) and not self._is_live(request_id):
            self.submissions.unrecorded.pop(request_id, None)
        await self.submissions.waiters.wake([request_id])

    def dump(self) -> dict[str, Any]:
        """Return the state in JSON-ready form."""
        now = time.monotonic()
        return {
            "leading": self.leading,
            "placer": self.placer.dump(),
            "n_cached_answers": len(self.submissions.answers),
            "n_waiters": len(self.submissions.waiters),
            "n_unrecorded": len(self.submissions.unrecorded),
            "n_stale_starts": self.n_stale_starts,
            "n_unknown_starts": self.n_unknown_starts,
            "n_lapsed": self.n_lapsed_starts,
            "admission": self.admission.dump(now),
            "n_deposed": self.n_deposed_terms,
            "n_broken": self.n_broken_terms,
            "term": {
                "name": self.term.name,
                "confirmed": self.term.confirmed,
                "exclusive": self.term.exclusive,
            },
            "leases": self.leases.dump(),
        }

    async def append(self, record: Record) -> PendingRecord:
        """Queue a record for the log; see `Follower.append`."""
        return await self.follower.append(record_to_dict(record))

    def _done_record(self, request_id: str, answer: Answer) -> Done:
        state = self.placer.requests.get(request_id)
        seen = max((task.prior for task in state.tasks), default=-1) if state else -1
        origin = self._origin(request_id)
        value = answer.to_dict()
        return Done(request_id, value, self.clock.wall(), self.shard, origin, seen)

    def _origin(self, request_id: str) -> int:
        entry = self.index.get(request_id)
        return entry.origin if entry is not None else -1

    async def _restore_request(self, entry: Entry) -> None:
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
    async def _forward_record(self, record: Record, entry: Entry) -> None:
        """Forward a folded record to the placer."""

    @_forward_record.register
    async def _(self, record: Claim, entry: Entry) -> None:
        if entry.request is not None and record.shard == self.shard:
            request = Request.from_dict(entry.request)
            inherited = not self.term.owns(entry.origin)
            await self.apply(RequestAccepted(request, inherited=inherited))

    @_forward_record.register
    async def _(self, record: Started, entry: Entry) -> None:
        if record.by != self.term.name:
            return
        effective = entry.started.get(record.task_id)
        offset = entry.started_offsets.get(record.task_id, -1)
        valid = effective == record
        await self.apply(
            StartRecorded(
                record.task_id,
                record.request_id,
                valid,
                offset,
                None if valid else effective,
            )
        )

    @_forward_record.register
    async def _(self, record: Cancel, entry: Entry) -> None:
        if entry.live and entry.cancelled:
            await self.apply(CancelRequested(record.request_id))

    @_forward_record.register
    async def _(self, record: Done, entry: Entry) -> None:
        if entry.live:
            return  # void: another placer started it, or it belongs to another claim
        await self.apply(RequestEnded(record.request_id))

    # Actions

    @singledispatchmethod
    async def _execute(self, action: Action) -> None:
        raise TypeError(f"not an action: {action!r}")

    @_execute.register
    async def _(self, action: RecordStart) -> None:
        await self.append(
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

    @_execute.register
    async def _(self, action: StartTask) -> None:
        if action.request.kind is RequestKind.CHECK:
            self.admission.started(action.request.request_id, time.monotonic())
        await curio.spawn(self._start, action, daemon=True)

    @_execute.register
    async def _(self, action: ControlTask) -> None:
        await curio.spawn(self._control, action, daemon=True)

    @_execute.register
    async def _(self, action: FenceWorker) -> None:
        self.leases.fence(action.worker_id)

    @_execute.register
    async def _(self, action: Finish) -> None:
        request, answer = action.request, action.answer
        if request.kind in LOGGED_KINDS:
            if answer.state is AnswerState.NOT_RUN and not self.leases.any_held:
                return  # another placer may have run it; the next leader decides
            self.submissions.unrecorded[request.request_id] = (
                time.monotonic(),
                answer,
            )
            await self.append(self._done_record(request.request_id, answer))
            return
        self.admission.withdrawn(request.request_id, time.monotonic())
        self.submissions.cache_answer(request.request_id, answer)
        await self.apply(RequestEnded(request.request_id))
        await self.submissions.waiters.wake([request.request_id])

    async def _start(self, action: StartTask) -> None:
        lease = self.leases.valid_lease(action.worker_id, action.epoch)
        if lease is None:
            self.n_lapsed_starts += 1
            await self._apply_start_outcome(action, StartOutcome.REFUSED)
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
            await self._apply_start_outcome(action, StartOutcome.REFUSED)
            return
        except CuminhillError:
            self.n_unknown_starts += 1
            await self._apply_start_outcome(action, StartOutcome.UNKNOWN)
            return
        if result is None:
            await self._apply_start_outcome(action, StartOutcome.RUNNING)
        else:
            await self.apply(TaskEnded(action.worker_id, result))

    async def _apply_start_outcome(
        self, action: StartTask, outcome: StartOutcome
    ) -> None:
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
        lease = self.leases.valid_lease(action.worker_id, action.epoch)
        if lease is None:
            return
        try:
            await lease.client.control(
                action.task_id, action.verb, action.epoch, timeout_s=1.0
            )
        except CuminhillError as exc:
            logger.info("control call failed", verb=action.verb, error=str(exc))

    # Background tasks

    async def _place_remaining(self) -> None:
        """Go on placing what the last decision left, yielding to other tasks."""
        try:
            while self.leading and self.placer.has_more:
                await curio.sleep(0)
                await self.apply(Tick())
        finally:
            self._placing_remaining = False

    async def _run_ticks(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            await self.apply(Tick())
            await self._maintain_term()
            await self.submissions.waiters.wake(list(self.submissions.unrecorded))

    async def _maintain_term(self) -> None:
        """Announce the term, detect a full roster and end orphaned requests."""
        if not self.leading:
            return
        if not self._leader_record_sent and self.leases.any_held:
            self._leader_record_sent = True
            await self.append(LeaderRecord(self.shard, self.term.name))
        roster = self.leases.full_roster()
        if roster is not None and not self.term.exclusive:
            self.term.exclusive = True
            await self.apply(RosterComplete(roster))
        if self.follower.reachable and self.follower.caught_up:
            before = time.monotonic() - ORPHAN_WAIT_S
            for request_id in self.placer.orphan_requests(before):
                if not self._is_live(request_id):
                    await self.apply(RequestEnded(request_id))

    def _is_live(self, request_id: str) -> bool:
        entry = self.index.get(request_id)
        return entry is not None and entry.live
