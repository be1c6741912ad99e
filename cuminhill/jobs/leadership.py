"""Runs the placer of one term: renewals, starts, stops, advice and the journal."""

from __future__ import annotations

import math
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from itertools import islice
from typing import TYPE_CHECKING, Any, Protocol

import curio
import structlog

from ..clock import boottime
from ..errors import (
    ConnectionClosedError,
    CuminhillError,
    FencedError,
    OtherIncarnationError,
    OverloadedError,
    ProtocolError,
    RejectedError,
    UnavailableError,
)
from ..util.hashing import rendezvous_order
from .advice import (
    LONG_CALL_S,
    AdviceCall,
    Adviser,
    find_adviser,
    next_ping,
    ping_spacing_s,
    search_key,
)
from .fleet import may_extend
from .journal import MAX_BATCH_BYTES, split_records
from .leasebounds import (
    DoneRun,
    LeaseJournal,
    ReleasedRun,
    latest_lapse_at,
    note_predecessor_ended,
)
from .model import JobState, StartOrder, StartResult
from .placer import Placement, Placer, StopOrder
from .progress import Progress, encode_progress
from .records import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    LEASES_KEY,
    RESIGNATION_KEY,
    RUN_PREFIX,
    SPEEDS_KEY,
    LeaderRecord,
    encode_leader_record,
    encode_lease_record,
)
from .speeds import encode_speeds, load_speeds
from .waitnotes import note_unconsidered
from .watch import release_gone

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from ..metrics import MetricSet
    from .advice import AdviceAnswer, SearchKey
    from .fleet import Worker
    from .jobindex import JobIndex
    from .journal import LogWriter
    from .leasebounds import LeaseAges, LeaseQuery, LeaseReading, TermEnd
    from .model import QueueTable, StartReply, TaskKey, WorkerEntry, WorkerReport

logger = structlog.get_logger(__name__)

# Longest time that a worker delays its answer to a renewal until a run ends.
RENEW_WAIT_S = 1.0
# Pause after a renewal with changes, so that ends close together share one renewal.
RENEW_PAUSE_S = 0.03
RENEW_RETRY_S = 0.25  # pause after a failed renewal
# Longest pause while ends wait to be journaled: a worker with unacknowledged ends
# answers a renewal at once, so without the pause it would be renewed in a busy loop
# during an outage of the journal.
ACK_WAIT_S = 0.8
ACK_POLL_S = 0.02
START_TIMEOUT_S = 0.6
STOP_TIMEOUT_S = 0.6
# Pause between decisions; limits the rate of journal appends.
DECIDE_PAUSE_S = 0.015
# Pause as a multiple of the time of the decision before it. A decision holds up all
# other tasks of the process, and a start needs several steps of them until it is sent.
DECIDE_PAUSE_FACTOR = 1.0
# Longest time without a decision; lapsed leases and stalled runs are detected then.
TICK_S = 0.25
# The placer writes at least at this interval, so that others see that it is alive.
TERM_RENEWAL_S = 0.6
RESIGN_TIMEOUT_S = 0.6  # of writing a resignation
# That a process tells the next term of; bounds its answer, which must come in time.
MAX_RELEASED_RUNS = 2000
ASK_INTERVAL_S = 0.25  # between questions to VMs about the inherited leases
# VMs that are asked when they read the records about leases. One that has followed the
# journal is enough, and even if most VMs have just started, some of so many have; it
# bounds the calls of a hand-over on a site with hundreds of VMs.
MAX_READERS = 16
# A placer whose appends have failed for this time resigns if another VM's succeed.
ISOLATED_AFTER_S = 0.3
# Added to the expected time of a call for advice and its queue, the larger of the time
# and the multiple of the call's own. The service works on a call that was given up, so
# one that it answers late must not be repeated through the next VM.
ADVICE_SLACK_S, ADVICE_SLACK_FACTOR = 0.6, 2.0
# Pause of the pings while none is due.
PING_IDLE_S = 0.05
# Weight of an answer in the pace of the service, and bound of the pace.
PACE_WEIGHT, MAX_PACE = 0.5, 4.0
# Ended jobs are deleted from the journal after this time in addition to the time for
# which the platform can query them.
EXPIRY_MARGIN_S = 30.0
EXPIRY_INTERVAL_S = 5.0
EXPIRY_BATCH = 500
# Interval between records of the workers' speeds, which every VM reads.
SPEEDS_INTERVAL_S = 5.0
NO_DEADLINE = float("inf")  # a placer's appends are retried until its term ends


class WorkerCalls(Protocol):
    """Calls to workers."""

    async def renew(
        self,
        worker_id: str,
        address: str,
        fencing_token: int,
        *,
        last_acked_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> WorkerReport:
        """Extend the leases on a worker and return its lists of runs."""

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""

    async def stop(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        *,
        fencing_token: int,
        timeout_s: float,
    ) -> None:
        """Ask a worker to stop a run."""

    async def disconnect(self, address: str) -> None:
        """Close the connections to a worker that has deregistered."""


@dataclass(eq=False)
class Leadership:
    """One term of this VM as the placer.

    Parameters
    ----------
    leader_record : LeaderRecord
        The claim that has won.
    placer : Placer
        State and decisions.
    writer : LogWriter
        Journal writer with the epoch of the term.
    calls : WorkerCalls
        Calls to workers.
    ask_advice : callable
        Coroutine function that requests advice through a VM.
    address : str
        ``"host:port"`` at which other VMs call this process.
    ask_term_ended : callable
        Coroutine function that asks the process at an address whether it extends no
        lease for a term and never will, and since when; None if it still may.
    ask_lease_ages : callable
        Coroutine function that asks a VM how long ago it read the records about leases
        that a claim inherits; None if it has not read them.
    keep_ended_s : float, seconds
        How long ended jobs stay in the journal.
    metrics : MetricSet
        Records the times of jobs and of calls for advice.
    advice_pace : float
        Time that the advice service takes for a call as a multiple of the stated one.
    confirmed_at : float, seconds
        When the newest successful append was sent that carries a record under a key
        of placers.
    ping : callable
        Coroutine function that returns if a VM can be reached, and raises if not.
    resigning : bool
        Whether a resignation is being written; the term ends with it.
    """

    leader_record: LeaderRecord
    placer: Placer
    writer: LogWriter
    calls: WorkerCalls
    job_index: JobIndex
    ask_advice: Callable[[str, AdviceCall, float], Awaitable[AdviceAnswer]]
    address: str
    ask_term_ended: Callable[[str, int], Awaitable[TermEnd | None]]
    ask_lease_ages: Callable[[str, LeaseQuery], Awaitable[LeaseAges | None]]
    keep_ended_s: float
    metrics: MetricSet
    confirmed_at: float
    ping: Callable[[str], Awaitable[None]] | None = None
    ended: bool = False
    resigning: bool = False
    advice_pace: float = 1.0
    lease_journal: LeaseJournal = field(init=False)
    advisers: dict[str, Adviser] = field(default_factory=dict)
    _wake: Any = field(default_factory=curio.Event)
    _tasks: list[Any] = field(default_factory=list)
    _renewers: dict[str, Any] = field(default_factory=dict)
    _send_queues: dict[str, curio.Queue] = field(default_factory=dict)
    # Tasks of the pings under way.
    _pings: dict[Adviser, Any] = field(default_factory=dict)
    _to_journal: Any = field(default_factory=curio.Event)
    # Set once the term's first record of leases is stored. Before that it extends no
    # lease and starts nothing, so that a term without a record has granted nothing.
    _recorded: Any = field(default_factory=curio.Event)
    _unjournaled: list[Placement] = field(default_factory=list)
    # When the oldest of these was decided, and the oldest that are being written.
    _unjournaled_since: float = math.inf
    _writing_since: float = math.inf
    # Progress that is being appended.
    _unstored: dict[str, Progress] = field(default_factory=dict)
    # When a record was sent by which others see that the placer is alive: progress of
    # jobs or its claim. Earlier builds do not count records of leases.
    _shown_at: float = 0.0
    # What the claim inherits, by the earliest times known of its reading.
    _reading: LeaseReading | None = None
    # Since when the process of the inherited term says that it extends no lease.
    _told_ended_at: float = math.inf
    # VMs that are being asked when they read the records, those that need not be asked
    # again, and the number of questions to each.
    _readers_calling: set[str] = field(default_factory=set)
    _readers_done: set[str] = field(default_factory=set)
    _reader_calls: Counter[str] = field(default_factory=Counter)
    _expired_at: float = 0.0
    _speeds_written_at: float = 0.0

    def __post_init__(self) -> None:
        self.lease_journal = LeaseJournal(self.placer, self.address)

    def note_appended(self, sent_at: float) -> None:
        """Handle a successful append with a record of the placer's own."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def lease_s(self, now: float) -> float:
        """Return the length of a lease granted now, in seconds; 0 for none."""
        if self.ended or self.writer.fenced or not self._recorded.is_set():
            return 0.0
        return self.placer.times.lease_s_at(now, self.confirmed_at)

    def may_act(self) -> bool:
        """Return whether the term is confirmed, so that runs may be started."""
        held = self._recorded.is_set() and may_extend(
            boottime(), self.confirmed_at, self.placer.times.max_unconfirmed_s
        )
        return held and not self.ended and not self.writer.fenced

    def load(
        self, table: QueueTable, entries: Iterable[WorkerEntry], members: Iterable[str]
    ) -> None:
        """Load all registered workers and all jobs that have not ended."""
        now = boottime()
        self.placer.table = table
        self.placer.inherited = self.job_index.inherited_leases()
        self._reading = self.job_index.lease_reading
        self._load_speeds()
        for entry in entries:
            self._register(entry, now)
        self.placer.look_up_speeds()
        n_jobs = 0
        for job_id, job in self.job_index.entries.items():
            if job.team:  # of jobs that have ended as well
                self.placer.shares.note_accepted(job.team, job_id, job.accepted_at)
        self.job_index.pop_changed()
        for progress in self.job_index.live():
            n_jobs += self._take_in(progress, now)
        self.set_members(members)
        logger.info(
            "term begun",
            term=self.leader_record.term,
            jobs=n_jobs,
            workers=len(self.placer.workers),
            not_adopted=self.placer.counts["runs_not_adopted"],
            config=table.version,
        )

    def _load_speeds(self) -> None:
        if not self.job_index.speeds:
            return
        try:
            load_speeds(self.placer.speeds, self.job_index.speeds)
        except CuminhillError as exc:
            logger.warning("speeds unreadable; estimating them anew", error=str(exc))

    async def start(self) -> None:
        """Start the tasks of the term."""
        await self.writer.start_caller()
        for name, run in (
            ("writer", self.writer.run),
            ("place", self._place),
            ("journal", self._journal),
            ("renew term", self._renew_term),
            ("ask predecessor", self._ask_predecessor),
            ("ask readers", self._ask_readers),
            ("ping", self._ping_advisers),
        ):
            self._tasks.append(await curio.spawn(self._guard, name, run, daemon=True))
        await self._spawn_renewers()

    async def _ask_predecessor(self) -> None:
        """Ask the process of the inherited term until it has ended that term.

        Whichever process answers at its address has ended that term or was started
        later. An answer may still shorten the wait when no lease can be granted any
        more, since it tells since when.
        """
        inherited = self.placer.inherited
        if not inherited.term:
            return
        while not self.ended and boottime() < latest_lapse_at(self.placer):
            try:
                end = await self.ask_term_ended(inherited.address, inherited.term)
            except CuminhillError:
                end = None  # the longest lease counts until it answers
            if end is not None:
                now = boottime()
                self._told_ended_at = end.ended_at(now)
                note_predecessor_ended(self.placer, self._told_ended_at)
                release_gone(self.placer, end.released, now)
                for item in end.done:
                    self.placer.note_done(item.key, item.run, now)
                await self._wake.set()
                logger.info(
                    "predecessor ended",
                    term=inherited.term,
                    address=inherited.address,
                    after_s=round(now - self.placer.begun_at, 2),
                    for_s=round(end.for_s, 2),
                    released=len(end.released),
                    done=len(end.done),
                )
                return
            await curio.sleep(ASK_INTERVAL_S)

    async def _ask_readers(self) -> None:
        """Ask other VMs when they read the records about leases that are inherited.

        This VM may have read them long after they were written, from a snapshot after
        its own start. A VM that has not read the claim yet, or that does not answer, is
        asked again while a lease may still run.
        """
        while self._reading is not None and not self.ended:
            if boottime() >= latest_lapse_at(self.placer):
                return
            for vm in self._next_readers():
                self._readers_calling.add(vm)
                self._reader_calls[vm] += 1
                await curio.spawn(
                    self._guard,
                    "ask reader",
                    self._ask_reader,
                    vm,
                    self._reading,
                    daemon=True,
                )
            if len(self._readers_done) >= MAX_READERS:
                return
            await curio.sleep(ASK_INTERVAL_S)

    def _next_readers(self) -> list[str]:
        """Return the VMs to ask now, those first that were asked least often."""
        busy = self._readers_calling | self._readers_done | {self.leader_record.vm}
        others = [vm for vm in self.job_index.members if vm not in busy]
        others = rendezvous_order(self.leader_record.nonce, others)
        others.sort(key=lambda vm: self._reader_calls[vm])
        n_busy = len(self._readers_calling) + len(self._readers_done)
        return others[: max(0, MAX_READERS - n_busy)]

    async def _ask_reader(self, vm: str, reading: LeaseReading) -> None:
        """Ask one VM, and count from its times if they are earlier."""
        try:
            ages = await self.ask_lease_ages(vm, reading.query)
        except ProtocolError:
            self._readers_done.add(vm)  # an earlier build
            return
        except CuminhillError:
            return
        finally:
            self._readers_calling.discard(vm)
        if ages is None or self._reading is None:
            return
        self._readers_done.add(vm)
        before = self._reading
        self._reading = before.with_ages(ages, boottime())
        if self._reading == before:
            return
        logger.info(
            "leases read earlier",
            term=self.leader_record.term,
            by=vm,
            record_s=round(before.read_at - self._reading.read_at, 2),
            newest_s=round(before.newest_read_at - self._reading.newest_read_at, 2),
        )
        self.placer.inherited = self._reading.inherited()
        note_predecessor_ended(self.placer, self._told_ended_at)
        await self._wake.set()

    async def _guard(self, name: str, run: Callable[..., Any], *args: Any) -> None:
        """Run a task of the term; a failure ends the term, and another one follows."""
        try:
            await run(*args)
        except (Exception, curio.TaskTimeout) as exc:  # a time-out is no Exception
            logger.error(
                "task failed", task=name, term=self.leader_record.term, exc_info=exc
            )
            self.ended = True

    async def end(self) -> None:
        """End the term."""
        if not self.ended:
            logger.info("term ended", term=self.leader_record.term)
        self.ended = True
        for task in [*self._tasks, *self._renewers.values(), *self._pings.values()]:
            await task.cancel(blocking=False)
        for queue in self._send_queues.values():
            await queue.put(None)
        # Callers' records queued here are then appended by their VMs.
        await self.writer.close()

    def released_runs(self, now: float) -> tuple[ReleasedRun, ...]:
        """Return the runs of lasting tasks that are known to be gone.

        A run is started only after the one before it is gone, and after its start is in
        the journal, which the next term has read.
        """
        waiting, assigned = [], []
        for progress in self.placer.jobs.values():
            for step_run in progress.step_runs.values():
                if not step_run.step.long_running:
                    continue
                for index, task in step_run.tasks.known():
                    key = step_run.key(index)
                    away_s = now - task.away_since if task.away_since else 0.0
                    if task.run and not task.worker:
                        waiting.append(ReleasedRun(key, task.run, away_s))
                    elif task.run > 1:
                        assigned.append(ReleasedRun(key, task.run - 1, away_s))
        return tuple([*waiting, *assigned][:MAX_RELEASED_RUNS])

    def done_runs(self) -> tuple[DoneRun, ...]:
        """Return the runs known to be done that may not be in the journal.

        A worker that has left does not report them again.
        """
        unstored = self._unstored | self.placer.unwritten()
        found = (
            DoneRun(step_run.key(index), run)
            for progress in unstored.values()
            for step_run in progress.step_runs.values()
            for index, run in step_run.tasks.done_runs()
        )
        return tuple(islice(found, MAX_RELEASED_RUNS))

    def _resignation(self) -> bytes:
        return encode_leader_record(replace(self.leader_record, resigned=True))

    async def resign(self) -> bool:
        """Write a resignation and end the term; return whether it was written."""
        if self.writer.failing_since:
            return False
        self.resigning = True
        lease_record = self.lease_journal.prepare_resignation(boottime())
        records = [
            (LEASES_KEY, encode_lease_record(lease_record)),
            (LEADER_KEY, self._resignation()),
        ]
        try:
            async with curio.timeout_after(RESIGN_TIMEOUT_S):
                await self.writer.append(records, NO_DEADLINE)
            await self.writer.finish(RESIGN_TIMEOUT_S)
        except (CuminhillError, curio.TaskTimeout) as exc:
            logger.info("resignation not written", error=str(exc))
            return False
        finally:
            self.resigning = False
        logger.info("resigned", term=self.leader_record.term)
        await self.end()
        return True

    async def resign_through(
        self, append: Callable[[list[tuple[str, bytes]], float], Awaitable[None]]
    ) -> bool:
        """Resign through another VM if the journal refuses this one for a while.

        No task is started in the meantime, since no start can be journaled; leases are
        extended until the resignation is confirmed.

        Returns
        -------
        resigned : bool
            Whether the resignation is written.
        """
        failing_since = self.writer.failing_since
        if not failing_since or boottime() - failing_since < ISOLATED_AFTER_S:
            return False
        try:
            await append([(RESIGNATION_KEY, self._resignation())], RESIGN_TIMEOUT_S)
        except CuminhillError as exc:
            logger.info("resignation not written", error=str(exc))
            return False
        logger.info("resigned through another VM", term=self.leader_record.term)
        await self.end()
        return True

    def set_members(self, vms: Iterable[str]) -> None:
        """Set the VMs through which advice can be requested.

        Calls through a VM that is no longer among them go on.
        """
        names = list(vms)
        if names == list(self.advisers):
            return
        known, own = self.advisers, self.leader_record.vm
        self.advisers = {vm: known.get(vm) or Adviser(vm, vm == own) for vm in names}

    async def jobs_changed(self, job_ids: Iterable[str]) -> None:
        """Add jobs that are new in the journal and cancel those newly cancelled."""
        now = boottime()
        for job_id in job_ids:
            known = self.placer.jobs.get(job_id)
            entry = self.job_index.entries.get(job_id)
            if known is not None:
                if entry is not None and entry.cancelled and not known.cancelled:
                    logger.info("job cancelled", job=job_id, state=known.state)
                    self.placer.cancel_job(job_id, now)
                continue
            progress = self.job_index.load(job_id)
            if progress is not None:
                self._take_in(progress, now)
        await self._wake.set()

    def _take_in(self, progress: Progress, now: float) -> bool:
        """Add a job to the placer; return whether that succeeded.

        One that cannot be added must not keep the others from being placed, in this
        term or, if it has been in the journal before, in each later one.
        """
        try:
            progress.begin_idle(now, time.time())
            self.placer.add_job(progress, now)
        except Exception as exc:
            job_id = progress.job.job_id
            self.placer.jobs.pop(job_id, None)
            self.placer.counts["jobs_not_taken_in"] += 1
            logger.error("job not taken in", job=job_id, exc_info=exc)
            return False
        return True

    async def workers_changed(
        self, entries: Iterable[WorkerEntry], deregistered: Iterable[str]
    ) -> None:
        """Apply changes of the registrations."""
        now = boottime()
        for entry in entries:
            self._register(entry, now)
        for worker_id in deregistered:
            self.placer.deregister_worker(worker_id)
        await self._spawn_renewers()
        await self._wake.set()

    def _register(self, entry: WorkerEntry, now: float) -> None:
        """Register a worker; one that cannot be added keeps out no other."""
        try:
            self.placer.register_worker(entry, now)
        except Exception as exc:
            logger.error("worker not taken in", worker=entry.worker_id, exc_info=exc)

    async def _spawn_renewers(self) -> None:
        if self.ended:
            return  # tasks that are spawned now would not be cancelled
        for worker_id in self.placer.workers:
            if worker_id not in self._renewers:
                queue = self._send_queues[worker_id] = curio.Queue()
                self._renewers[worker_id] = await curio.spawn(
                    self._guard, "renew", self._renew_worker, worker_id, daemon=True
                )
                await curio.spawn(
                    self._guard, "send", self._send_calls, queue, daemon=True
                )

    # Renewals

    async def _renew_worker(self, worker_id: str) -> None:
        address = ""
        await self._recorded.wait()
        while not self.ended:
            worker = self.placer.workers.get(worker_id)
            if worker is None:
                break
            address = worker.entry.address
            if not self.lease_s(boottime()):
                await curio.sleep(RENEW_RETRY_S)
                continue
            if not await self._renew_once(worker):
                await curio.sleep(RENEW_RETRY_S)
        # First, since the worker gets a new task if it registers again meanwhile.
        self._renewers.pop(worker_id, None)
        queue = self._send_queues.pop(worker_id, None)
        if queue is not None:
            await queue.put(None)
        if not self.ended:
            await self._disconnect(address)

    async def _disconnect(self, address: str) -> None:
        """Close the connections to an address unless another worker uses it."""
        in_use = {item.entry.address for item in self.placer.workers.values()}
        if address not in in_use:
            await self.calls.disconnect(address)

    async def _renew_once(self, worker: Worker) -> bool:
        now = boottime()
        fencing_token = worker.fencing_token
        incarnation = worker.entry.incarnation
        lease_until_ms = None
        settled = worker.confirmed_token >= fencing_token
        lease_s = self.lease_s(now)
        if worker.may_extend_leases() and lease_s:
            lease_until_ms = worker.lease_end_ms(now, lease_s)
            worker.record_lease(lease_until_ms)
        wait_s = RENEW_WAIT_S if settled and worker.reachable else 0.0
        try:
            report = await self.calls.renew(
                worker.worker_id,
                worker.entry.address,
                fencing_token,
                last_acked_end=worker.last_acked_end,
                lease_until_ms=lease_until_ms,
                wait_s=wait_s,
            )
        except FencedError as exc:
            await self._handle_fencing(worker, fencing_token, exc)
            return False
        except OtherIncarnationError as exc:
            logger.info("worker replaced", worker=worker.worker_id, error=str(exc))
            self.placer.other_incarnation(worker.worker_id, incarnation, boottime())
            await self._wake.set()
            return False
        except CuminhillError as exc:
            if worker.reachable:
                logger.info("renewal failed", worker=worker.worker_id, error=str(exc))
            closed = isinstance(exc, ConnectionClosedError)
            self.placer.worker_unreachable(worker.worker_id, boottime(), closed=closed)
            return False
        changed = self.placer.process_report(
            worker.worker_id, fencing_token, report, boottime()
        )
        if changed:
            await self._wake.set()
            await curio.sleep(RENEW_PAUSE_S)
        if lease_until_ms is None and worker.may_extend_leases():
            return True  # the next renewal extends the leases; the ends can wait
        give_up_at = boottime() + ACK_WAIT_S
        while worker.last_acked_end < worker.last_seen_end and boottime() < give_up_at:
            await curio.sleep(ACK_POLL_S)
        return True

    async def _handle_fencing(
        self, worker: Worker, fencing_token: int, exc: FencedError
    ) -> None:
        """Check whether another term has begun; if not, raise the token."""
        if fencing_token < worker.fencing_token:
            return  # a concurrent call has a newer token already
        logger.info(
            "worker fenced",
            worker=worker.worker_id,
            fence=fencing_token,
            error=str(exc),
        )
        try:
            await self._write_leader_record()
        except CuminhillError as write_exc:
            logger.info("term not confirmed", error=str(write_exc))
            return
        worker.bump_fencing_token()

    # Starts and stops

    async def _send_calls(self, queue: curio.Queue) -> None:
        while not self.ended:
            item = await queue.get()
            if item is None:
                return
            if isinstance(item, StopOrder):
                await self._send_stop(item)
            else:
                await self._send_start(item)

    async def _send_start(self, placement: Placement) -> None:
        now = boottime()
        if not self.may_act():
            self.placer.release_unsent(placement, "term not confirmed", now)
            return
        slot = self.placer.sendable_slot(placement, now)
        if slot is None:
            return
        decided_at = slot.started_at
        worker = self.placer.workers[placement.worker_id]
        progress = self.placer.jobs[placement.key.job_id]
        ticket = self.placer.ticket(placement, now)
        if ticket is None:
            await self._wake.set()
            return
        order = StartOrder(
            worker_id=worker.worker_id,
            address=worker.entry.address,
            key=placement.key,
            run=placement.run,
            payload=progress.job.payload,
            lease_until_ms=worker.lease_end_ms(now, self.lease_s(now)),
            fencing_token=worker.fencing_token,
            checkpoint=slot.checkpoint,
            ticket=ticket,
        )
        slot.sent, slot.fencing_token, slot.started_at = True, order.fencing_token, now
        self.metrics.observe("send_seconds", now - decided_at)
        worker.record_lease(order.lease_until_ms)
        logger.info(
            "start",
            job=order.key.job_id,
            task=tuple(order.key[1:]),
            run=order.run,
            worker=order.worker_id,
            fence=order.fencing_token,
            config=self.placer.table.version,
            decided_s=round(now - decided_at, 3),
            **self._absence(progress, order.key, now),
            **progress.idle_fields(now),
            **progress.step_run(order.key.occurrence, order.key.step).take_waited(),
        )
        task = progress.task(order.key)
        away = (task.away_since, task.given_up_at) if task else (0.0, 0.0)
        reply = await self.calls.start(order, START_TIMEOUT_S)
        idle_since = progress.idle_since
        result = self.placer.handle_start_reply(order, reply, boottime())
        if idle_since and not progress.idle_since:
            idle_s = boottime() - idle_since
            self.metrics.observe("idle_seconds", idle_s, queue=progress.job.queue)
        if result is StartResult.STARTED:
            self._observe_return(progress, order.key, *away)
        else:
            await self._wake.set()
        if result is StartResult.UNKNOWN:
            # The renewal in flight has the older token; this one resolves the outcome.
            await curio.spawn(self._renew_once, worker, daemon=True)

    def _observe_first_starts(self) -> None:
        for start in self.placer.first_starts.pop_new():
            job = start.progress.job
            if job.n_times:
                continue
            wall = time.time() - (boottime() - start.at)
            waited_s = max(0.0, wall - job.accepted_at)
            self.metrics.observe("first_start_seconds", waited_s, queue=job.queue)

    def _absence(
        self, progress: Progress, key: TaskKey, now: float
    ) -> dict[str, object]:
        """Return how long a long-running task that starts again was away, and why.

        Of a run that an earlier term gave up without a word of when it ended, it is
        only known that the task has been away since this term began.
        """
        task = progress.task(key)
        if task is None or not progress.job.steps[key.step].long_running:
            return {}
        if task.run < 2 and not task.away_since:
            return {}
        since = task.away_since or self.placer.begun_at
        step_run = progress.step_run(key.occurrence, key.step)
        return {
            "away_s": round(now - since, 3),
            "away_from": _absence_source(since, self.placer.begun_at),
            "given_up_s": round(now - task.given_up_at, 3)
            if task.given_up_at
            else None,
            "advice_s": round(step_run.advice_s, 3),
            "room_s": round(step_run.room_s, 3),
        }

    def _observe_return(
        self, progress: Progress, key: TaskKey, since: float, given_up_at: float
    ) -> None:
        """Record an absence that a start has ended.

        Parameters
        ----------
        since, given_up_at : float, seconds
            Absence of the task when the start was sent.
        """
        if not since:
            return
        if progress.job.steps[key.step].long_running:
            now, queue = boottime(), progress.job.queue
            self.metrics.observe("away_seconds", now - since, queue=queue)
            if given_up_at:
                restart_s = now - given_up_at
                self.metrics.observe("restart_seconds", restart_s, queue=queue)
        task = progress.task(key)
        if task is not None and task.away_since == since:
            self.placer.note_back(key)

    def _observe_waits(self) -> None:
        waits = self.placer.ended_waits
        while waits:
            reason, waited_s = waits.popleft()
            self.metrics.observe("step_wait_seconds", waited_s, reason=reason)

    def _observe_ends(self, progresses: Iterable[Progress]) -> None:
        for progress in progresses:
            job = progress.job
            if progress.state is JobState.COMPLETED and not job.n_times:
                took_s = max(0.0, time.time() - job.accepted_at)
                self.metrics.observe("completed_seconds", took_s, queue=job.queue)

    async def _send_stop(self, stop: StopOrder) -> None:
        worker = self.placer.workers.get(stop.worker_id)
        if worker is None or not self.may_act():
            return
        logger.info(
            "stop",
            job=stop.key.job_id,
            task=tuple(stop.key[1:]),
            run=stop.run,
            worker=stop.worker_id,
            why=stop.reason,
        )
        try:
            await self.calls.stop(
                stop.worker_id,
                worker.entry.address,
                stop.key,
                stop.run,
                fencing_token=worker.fencing_token,
                timeout_s=STOP_TIMEOUT_S,
            )
        except CuminhillError as exc:
            # Repeated while the worker still lists the run.
            logger.info("stop failed", worker=stop.worker_id, error=str(exc))

    # Decisions

    async def _place(self) -> None:
        while not self.ended and not self.writer.fenced:
            begun_at = boottime()
            await self._place_once()
            took_s = boottime() - begun_at
            await curio.sleep(max(DECIDE_PAUSE_S, DECIDE_PAUSE_FACTOR * took_s))
            async with curio.ignore_after(TICK_S):
                await self._wake.wait()
        self.ended = True

    async def _place_once(self) -> None:
        """Decide once; the placements are sent when they are journaled.

        Decisions do not wait for the journal: on a slow one, a job needs several of
        them before its tasks can start, and each would take one or two appends.
        """
        self._wake.clear()
        now = boottime()
        self.placer.tick(now)
        self._observe_first_starts()
        calls = await self._send_late_starts()
        # Placements made while nothing can be journaled would hold capacity and tickets
        # until they lapse.
        if self.may_act() and not self.writer.failing_since:
            self.placer.unsent_since = min(self._writing_since, self._unjournaled_since)
            placements, more = self.placer.decide(now, time.time())
            calls = sorted([*calls, *more], key=lambda call: call.rank)
            decided_s = boottime() - now
            self.metrics.observe("decision_seconds", decided_s)
            self.placer.note_decision_time(decided_s)
            self._unjournaled.extend(placements)
            if placements:
                self._unjournaled_since = min(self._unjournaled_since, now)
            self._observe_waits()
        else:
            note_unconsidered(self.placer, now, time.time(), may_act=False)
        unserved: set[SearchKey] = set()
        for call in calls:
            await self._schedule_advice(call, now, unserved)
        if self._recorded.is_set():
            # Before that they would be dropped, and repeated only after a while.
            for stop in self.placer.take_stops():
                await self._enqueue(stop.worker_id, stop)
        await self._to_journal.set()

    async def _journal(self) -> None:
        """Write the progress of changed jobs; then send starts and acknowledge ends."""
        try:
            await self._record_leases()
            while not self.ended:
                await self._to_journal.wait()
                self._to_journal.clear()
                # Progress made while another append is in flight is in the next one.
                await self.writer.await_free()
                await self._journal_progress()
        except CuminhillError as exc:
            logger.warning(
                "term cannot go on", term=self.leader_record.term, error=str(exc)
            )
            self.ended = True

    async def _record_leases(self) -> None:
        """Write the term's first record of leases."""
        record = self.lease_journal.prepare(boottime())
        if record is not None:
            encoded = encode_lease_record(record)
            if await self._append_records([(LEASES_KEY, encoded)]):
                # The next term would count from the records of the terms before.
                raise RejectedError("first record of leases", step="append")
        self.lease_journal.note_stored()
        self.placer.calls_since = boottime()
        await self._recorded.set()
        await self._wake.set()

    async def _enqueue(self, worker_id: str, item: Placement | StopOrder) -> None:
        queue = self._send_queues.get(worker_id)
        if queue is not None:
            await queue.put(item)
        elif isinstance(item, Placement):
            self.placer.release_unsent(item, "worker gone", boottime())

    async def _journal_progress(self) -> None:
        self._unstored = dirty = self.placer.take_dirty()
        lease_record = self.lease_journal.prepare(boottime())
        placements, self._unjournaled = self._unjournaled, []
        self._writing_since, self._unjournaled_since = self._unjournaled_since, math.inf
        seen = {
            worker.worker_id: (worker.entry.incarnation, worker.last_seen_end)
            for worker in self.placer.workers.values()
            if worker.last_seen_end > worker.last_acked_end
        }
        records = []
        for job_id, progress in dirty.items():
            value = encode_progress(progress, boottime())
            records.append((RUN_PREFIX + job_id, value))
            if progress.is_over():
                # Only its state is queried from now on; a starting VM reads all
                # records, possibly over a slow link.
                records += [
                    (JOB_PREFIX + job_id, b""),
                    (CANCEL_PREFIX + job_id, b""),
                ]
        if lease_record is not None:
            records.append((LEASES_KEY, encode_lease_record(lease_record)))
        rejected: set[str] = set()
        if records:
            sent_at = boottime()
            rejected = await self._append_records(records)
            self._unstored = {}
            if dirty:
                self._shown_at = sent_at
            self._observe_ends(dirty.values())
            placements = self._process_rejected(dirty, rejected, placements)
        if LEASES_KEY not in rejected:
            self.lease_journal.note_stored()
        if rejected:
            seen = {}  # ends that may not be in the journal are not acknowledged
        for worker_id, (incarnation, number) in seen.items():
            worker = self.placer.workers.get(worker_id)
            if worker is not None and worker.entry.incarnation == incarnation:
                worker.last_acked_end = max(worker.last_acked_end, number)
        await self._send_journaled(placements)
        await self._write_speeds()
        if not records:
            await self._expire_ended()

    async def _send_journaled(self, placements: list[Placement]) -> None:
        """Send the starts of placements; ask for new tickets for those that lapsed."""
        now, decided_at = boottime(), self._writing_since
        self._writing_since = math.inf
        if not placements:
            return
        self.placer.note_send_time(now - decided_at)
        for placement in placements:
            if self.placer.sendable_slot(placement, now) is None:
                continue
            if self.placer.ticket(placement, now) is not None:
                await self._enqueue(placement.worker_id, placement)
        await self._renew_tickets()

    async def _renew_tickets(self, step: str = "") -> None:
        """Send the late starts that have new tickets; ask for those of the others.

        Parameters
        ----------
        step : str, optional
            Name of the only step to process.
        """
        now = boottime()
        for call in await self._send_late_starts(step):
            await self._schedule_advice(call, now)

    async def _send_late_starts(self, step: str = "") -> list[AdviceCall]:
        """Send the late starts that have new tickets; return calls for the others."""
        if self.ended:
            return []
        sendable, calls = self.placer.renew_tickets(boottime(), step)
        for placement in sendable:
            await self._enqueue(placement.worker_id, placement)
        return calls

    async def _append_records(self, records: list[tuple[str, bytes]]) -> set[str]:
        """Append records; return the keys of those that the journal rejects for good.

        Each of them stops only what it belongs to.
        """
        rejected: set[str] = set()
        for part in split_records(records, MAX_BATCH_BYTES):
            try:
                await self.writer.append(part, NO_DEADLINE)
            except RejectedError as exc:
                if len(part) > 1:
                    for record in part:
                        rejected |= await self._append_records([record])
                    continue
                logger.error("record rejected", key=part[0][0], error=str(exc))
                rejected.add(part[0][0])
        return rejected

    def _process_rejected(
        self,
        dirty: dict[str, Progress],
        rejected: set[str],
        placements: list[Placement],
    ) -> list[Placement]:
        """Process records of progress that were rejected; return other placements."""
        if not rejected:
            return placements
        for job_id, progress in dirty.items():
            if RUN_PREFIX + job_id in rejected:
                ours = [item for item in placements if item.key.job_id == job_id]
                self.placer.reject_progress(progress, ours)
        return [
            item for item in placements if RUN_PREFIX + item.key.job_id not in rejected
        ]

    async def _write_speeds(self) -> None:
        """Write the estimated speeds for the next placer."""
        now = boottime()
        if (
            now - self._speeds_written_at < SPEEDS_INTERVAL_S
            or not self.placer.speeds.speeds
        ):
            return
        self._speeds_written_at = now
        gone = self.placer.speeds.speeds.keys() - self.placer.workers.keys()
        self.placer.speeds.forget(gone)
        value = encode_speeds(self.placer.speeds)
        await self._append_records([(SPEEDS_KEY, value)])

    async def _expire_ended(self) -> None:
        now = boottime()
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        expired = self.job_index.expired(now, self.keep_ended_s + EXPIRY_MARGIN_S)
        records = [
            (prefix + job_id, b"")
            for job_id in expired[:EXPIRY_BATCH]
            for prefix in (JOB_PREFIX, CANCEL_PREFIX, RUN_PREFIX)
        ]
        if records:
            await self.writer.append(records, NO_DEADLINE)

    async def _write_leader_record(self) -> None:
        record = replace(self.leader_record, latency_s=round(self.writer.latency_s, 4))
        sent_at = boottime()
        await self.writer.append(
            [(LEADER_KEY, encode_leader_record(record))], NO_DEADLINE
        )
        self._shown_at = sent_at

    async def _renew_term(self) -> None:
        while not self.ended:
            await curio.sleep(TERM_RENEWAL_S / 4)
            if boottime() - self._shown_at < TERM_RENEWAL_S:
                continue
            try:
                await self._write_leader_record()
            except FencedError:
                self.ended = True
            except CuminhillError as exc:
                logger.info("term not renewed", error=str(exc))

    # Advice

    async def _ping_advisers(self) -> None:
        """Ping the VMs of which it is not known whether they answer.

        A call for advice then goes to a VM that has answered, and its step does not
        wait until another one is found out of reach.
        """
        while not self.ended and self.ping is not None:
            adviser = next_ping(self.advisers.values(), boottime())
            if adviser is None:
                await curio.sleep(PING_IDLE_S)
                continue
            adviser.begin_ping(boottime())
            self._pings[adviser] = await curio.spawn(
                self._guard, "ping", self._ping, self.ping, adviser, daemon=True
            )
            await curio.sleep(ping_spacing_s(adviser))

    async def _ping(
        self, ping: Callable[[str], Awaitable[None]], adviser: Adviser
    ) -> None:
        """Ping one VM."""
        was_out = adviser.out_of_reach
        error: CuminhillError | None = None
        try:
            if not self.ended:
                await ping(adviser.vm)
        except CuminhillError as exc:
            error = exc
        finally:
            self._pings.pop(adviser, None)
        adviser.record_ping(boottime(), answered=error is None)
        if adviser.out_of_reach == was_out:
            return
        if adviser.out_of_reach:
            logger.info("adviser out of reach", vm=adviser.vm, error=str(error))
            return
        logger.info("adviser in reach again", vm=adviser.vm)
        await self._wake.set()

    async def _schedule_advice(
        self, call: AdviceCall, now: float, unserved: set[SearchKey] | None = None
    ) -> None:
        """Make a call through a VM if one is free for it.

        Parameters
        ----------
        unserved : set of SearchKey, optional
            Calls of this decision for which no VM is free; updated.
        """
        advice = self.placer.advice.for_step(call.step)
        if advice.calling:
            return
        unserved = set() if unserved is None else unserved
        stated_s = call.cost_s
        call = replace(
            call,
            cost_s=stated_s * self.advice_pace,
            failed_at=advice.failed_at,
        )
        key = search_key(call)
        if key in unserved:
            return
        adviser = find_adviser(self.advisers.values(), call, now)
        if adviser is None:
            unserved.add(key)
            return
        unserved.clear()  # a busier VM may be a reason to try a doubtful one
        advice.calling = True
        sent = replace(call, term=self.leader_record.term)
        await curio.spawn(self._fetch_advice, adviser, sent, stated_s, daemon=True)

    async def _fetch_advice(
        self, adviser: Adviser, call: AdviceCall, stated_s: float
    ) -> None:
        """Make a call for advice and store its answer.

        Parameters
        ----------
        stated_s : float, seconds
            Time of the service for the call, as the service states it.
        """
        sent_at = boottime()
        planned_s = max(0.0, adviser.busy_until - sent_at)
        advice = self.placer.advice.for_step(call.step)
        # The wait for earlier calls that the placer counts with, and the service's own
        # time, are told apart from the wait that the VM reports.
        fields = {
            "step": call.step,
            "through": adviser.vm,
            "rank": call.rank.name.lower(),
            "named": len(call.workers),
            "cost_ms": round(call.cost_s * 1000),
            "planned_wait_ms": round(max(0.0, planned_s - call.cost_s) * 1000),
        }
        try:
            slack_s = max(ADVICE_SLACK_S, ADVICE_SLACK_FACTOR * call.cost_s)
            answer = await self.ask_advice(adviser.vm, call, planned_s + slack_s)
        except (Exception, curio.TaskTimeout) as exc:
            # Of any type: the step would get no further call in this term.
            now = boottime()
            cause = _record_failed_call(adviser, call, exc, now, now - sent_at)
            self.placer.counts[f"advice_{cause}"] += 1
            logger.info(
                "advice failed",
                **fields,
                cause=cause,
                took_ms=round((now - sent_at) * 1000),
                backlog_ms=round(max(0.0, adviser.busy_until - now) * 1000),
                error=str(exc) if isinstance(exc, CuminhillError) else repr(exc),
            )
            advice.record_failure(now, refused=cause == "refused")
        else:
            now = boottime()
            # Tickets count from their issue. The service takes at least the time that
            # it states; the answer may then have waited for other work of this process.
            issued_at = sent_at + max(0.0, answer.waited_s) + stated_s
            adviser.record_answer(now, answer.backlog_s)
            self.metrics.observe("advice_seconds", now - sent_at, through=adviser.vm)
            if answer.waited_s >= 0:
                self.metrics.observe(
                    "advice_wait_seconds", answer.waited_s, through=adviser.vm
                )
                self._observe_pace(call, now - sent_at - answer.waited_s)
            advice.store_answer(
                call.workers,
                answer.tickets,
                max(sent_at, min(issued_at, now - 0.02)),
                call.valid_s,
            )
            logger.info(
                "advice",
                **fields,
                permitted=len(answer.tickets),
                took_ms=round((now - sent_at) * 1000),
                waited_ms=round(answer.waited_s * 1000),
            )
        await self._renew_tickets(call.step)
        await self._wake.set()

    def _observe_pace(self, call: AdviceCall, service_s: float) -> None:
        """Update the pace of the service; short calls tell more of the network."""
        if call.cost_s < LONG_CALL_S:
            return
        ratio = service_s / call.cost_s
        pace = self.advice_pace * (1 + PACE_WEIGHT * (ratio - 1))
        self.advice_pace = min(MAX_PACE, max(1.0, pace))


def _absence_source(since: float, begun_at: float) -> str:
    """Return from what on an absence counts, for log lines."""
    if since == begun_at:
        return "term begun"
    return "earlier term" if since < begun_at else "last run"


def _record_failed_call(
    adviser: Adviser,
    call: AdviceCall,
    error: BaseException,
    now: float,
    took_s: float,
) -> str:
    """Record a failed call for advice with its VM; return the cause.

    A VM that refuses a call for the others that it has is asked again when it has
    answered those. After any other failure it has to answer a ping first.
    """
    if isinstance(error, OverloadedError):
        adviser.record_refusal(now, error.backlog_s)
        return "refused"
    if isinstance(error, UnavailableError):
        adviser.record_failure(now, call.cost_s, took_s)
        return "unreachable"
    adviser.record_failure(now, lost_s=took_s)
    return "unanswered"
