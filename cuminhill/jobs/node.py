"""Daemon of an entry VM on a platform with a keyed log."""

from __future__ import annotations

import math
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

import curio
import structlog

from ..clock import boottime
from ..errors import CuminhillError
from ..rpc import RpcLimits, RpcServer
from ..util.http_client import byte_counts
from ..util.looplag import LoopLag
from ..util.receiving import ReceiveBudget
from .admission import Admission
from .advice import adviser_states
from .election import (
    ALIVE_TIMEOUT_S,
    HANDOVER_COOLDOWN_S,
    MIN_TERM_S,
    OFFER_INTERVAL_S,
    Election,
    JournalView,
    fitter_member,
)
from .jobindex import JobIndex
from .journal import KeyedLog, LogWriter
from .leadership import Leadership, WorkerCalls
from .leasebounds import DoneRun, LeaseAges, LeaseQuery, ReleasedRun, TermEnd
from .logreader import LogFollower
from .model import Outcome, Queue, QueueTable, WorkerEntry
from .nodemetrics import make_node_metrics
from .packing import REMOTE_SLOWDOWN
from .peers import JobPeers
from .placer import Placer, PlacerTimes
from .progress import crash_rows
from .records import (
    LEADER_KEY,
    MAX_LATENCY_S,
    MEMBER_PREFIX,
    JournalRecord,
    LeaderRecord,
    Member,
    encode_leader_record,
    encode_member,
    is_placer_key,
    make_claim,
)
from .service import JobService
from .shares import dump_team_usage
from .teamaccess import dump_teams
from .waitnotes import longest_waits

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..logs import BoundedOutput
    from ..metrics import MetricSet
    from .advicequeue import AdviceService
    from .fleet import Worker

logger = structlog.get_logger(__name__)

PLACER_WRITER = "placer"  # name of the journal writer shared by all terms
# How long a read of the journal waits for a record, and the pause between reads: the
# placer needs new jobs at once, while other VMs may show states that are 2 s old.
FOLLOW_WAIT_S = 0.5
FOLLOW_PAUSE_S = 0.25
PLACER_PAUSE_S = 0.01
REGISTRY_PAUSE_S, PLACER_REGISTRY_PAUSE_S = 1.5, 0.3
CONFIG_WAIT_S = 2.0
CONFIG_PAUSE_S = 0.02
ELECTION_TICK_S = 0.05
CLAIM_TIMEOUT_S = 1.0
# A VM whose newest read is older, or whose appends have failed for longer, reports not
# ready, so that new callers go to other VMs.
READY_MAX_AGE_S = 1.6
READY_MAX_FAILING_S = 0.5
PROBE_INTERVAL_S = 0.5  # between attempts to append while appends fail
# Interval between an isolated placer's attempts to resign through other VMs.
RESIGN_RETRY_S = 0.25
MAX_LOGGED_CHARS = 120  # of a text from another writer
# Ids whose unusable registration has been logged; beyond it, they are logged again.
MAX_IGNORED_IDS = 1000


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Settings of a node.

    Parameters
    ----------
    vm : str
        Name of the VM.
    rpc_address : str
        ``"host:port"`` at which other VMs call this one.
    times : PlacerTimes
        Timings of the placer.
    keep_ended_s : float, seconds
        How long the state of ended jobs can be queried.
    fitness : float
        Suitability of the VM as the placer, from 0 to 1.
    started_at : float or None, seconds
        Boot time by which this process had started. Any earlier process at the same
        address had ended by then. None if the process has other nodes: then it counts
        from the creation of the node.
    rpc_limits : RpcLimits
        Bounds of the calls between VMs.
    budget : ReceiveBudget or None
        Memory for unfinished requests at all listeners of the process; None: unbounded.
    max_wait_factor : float
        New jobs whose estimated wait is longer than this multiple of their objective
        are refused; 0 refuses none for that reason.
    remote_slowdown : float
        Run time of a task away from its data, relative to one near it.
    """

    vm: str
    rpc_address: str
    times: PlacerTimes
    keep_ended_s: float
    fitness: float = 1.0
    started_at: float | None = None
    rpc_limits: RpcLimits = field(default_factory=RpcLimits)
    budget: ReceiveBudget | None = None
    max_wait_factor: float = 0.0
    remote_slowdown: float = REMOTE_SLOWDOWN


@dataclass(frozen=True, slots=True)
class Backends:
    """Services that a node depends on.

    Parameters
    ----------
    journal, config, registry : KeyedLog
        The node's journal, the operator's configuration and the workers' registrations.
    calls : WorkerCalls
        Calls to workers.
    advice : AdviceService
        Placement advice.
    decode_table, decode_worker : callable
        Decode the newest configuration and one registration; they raise
        `ProtocolError`.
    config_key : str
        Key of the newest configuration.
    """

    journal: KeyedLog
    config: KeyedLog
    registry: KeyedLog
    calls: WorkerCalls
    advice: AdviceService
    decode_table: Callable[[bytes], QueueTable]
    decode_worker: Callable[[str, bytes], WorkerEntry]
    config_key: str


@dataclass(eq=False)
class JobNode:
    """One entry VM: follows the journal, serves callers and may be the placer."""

    options: NodeOptions
    backends: Backends
    rng: random.Random
    job_index: JobIndex = field(default_factory=JobIndex)
    table: QueueTable = field(default_factory=QueueTable)
    workers: dict[str, WorkerEntry] = field(default_factory=dict)
    leadership: Leadership | None = None
    draining: bool = False
    metrics: MetricSet = field(default_factory=make_node_metrics)
    loop_lag: LoopLag = field(default_factory=LoopLag)
    log_output: BoundedOutput | None = None
    n_bad_registrations: int = 0
    n_bad_configs: int = 0
    _claim: LeaderRecord | None = None
    _claim_number: int = 0
    _claimed_at: float = 0.0
    # Since when no earlier process at this address, and no term of this one that has
    # been removed, extends leases.
    _idle_since: float = 0.0
    # Newest term led by this process that has ended, when that was, and the runs that
    # it knew to be gone and to be done by then.
    _led_term: int = 0
    _led_until: float = 0.0
    _released: tuple[ReleasedRun, ...] = ()
    _done: tuple[DoneRun, ...] = ()
    _may_hand_over_at: float = 0.0
    _next_resign_at: float = 0.0
    _deregistered: set[str] = field(default_factory=set)
    _registered: dict[str, WorkerEntry] = field(default_factory=dict)
    _ignored_ids: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        options, backends = self.options, self.backends
        self._idle_since = boottime()
        if options.started_at is not None:
            self._idle_since = min(self._idle_since, options.started_at)
        self.journal = LogFollower(
            "journal",
            backends.journal,
            self._fold_journal,
            FOLLOW_WAIT_S,
            FOLLOW_PAUSE_S,
        )
        self.config = LogFollower(
            "config", backends.config, self._fold_config, CONFIG_WAIT_S, CONFIG_PAUSE_S
        )
        self.registry = LogFollower(
            "registry",
            backends.registry,
            self._fold_registry,
            FOLLOW_WAIT_S,
            REGISTRY_PAUSE_S,
        )
        nonce = f"{self.rng.getrandbits(48):012x}"
        self.writer = LogWriter(
            backends.journal,
            f"{options.vm}.{nonce}",
            1,
            self.rng.randrange(1 << 20),
            reader=self.journal,
            checks_first=True,
        )
        self.peers = JobPeers(
            options.vm,
            backends.advice,
            self.writer,
            self.rng,
            self._disclaim_term,
            self._lease_ages,
        )
        self.service = JobService(
            self.job_index,
            self.journal,
            self.writer,
            self._append_by_placer,
            self.peers.append,
            self._find_queue,
            self.metrics,
            admission=Admission(self.job_index.job_load, options.max_wait_factor),
            find_table=lambda: self.table,
        )
        self.election = Election(
            options.vm,
            self.job_index.leader_record,
            boottime(),
            fitness=options.fitness,
        )
        self.budget = options.budget or ReceiveBudget()
        self.rpc = RpcServer(self.peers.handlers(), options.rpc_limits, self.budget)

    async def start(self) -> None:
        """Begin to follow the logs and to serve other VMs."""
        host, _, port = self.options.rpc_address.rpartition(":")
        await self.rpc.start(host, int(port))
        for follower in (self.journal, self.config, self.registry):
            await follower.start_probers()
        await self.writer.start_caller()
        for name, run in (
            ("journal", self.journal.run),
            ("config", self.config.run),
            ("registry", self.registry.run),
            ("writer", self.writer.run),
            ("announce", self._announce),
            ("elect", self._elect),
            ("deliver", self._deliver),
            ("loop lag", self.loop_lag.run),
        ):
            await curio.spawn(_supervise, name, run, daemon=True)

    async def drain(self) -> None:
        """Stop leading and report not ready; callers are still served."""
        self.draining = True
        logger.info("draining", leading=self.leadership is not None)
        while self.leadership is not None and not self.leadership.ended:
            if await self.leadership.resign():
                return
            # Without the journal no other VM can take over, and leases must be renewed.
            await curio.sleep(ELECTION_TICK_S)

    def is_ready(self) -> bool:
        """Return whether new callers should be sent to this VM."""
        if self.draining or not self.table.version or not self.journal.synced:
            return False
        now = boottime()
        failing_s = self.writer.failing_since and now - self.writer.failing_since
        return (
            self.journal.age(now) < READY_MAX_AGE_S and failing_s < READY_MAX_FAILING_S
        )

    async def _append_by_placer(
        self, records: list[tuple[str, bytes]], wait_s: float
    ) -> Outcome | None:
        leader = self.job_index.leader_record
        if leader.resigned:
            return None
        return await self.peers.append_by_placer(leader.vm, records, wait_s)

    # Folds

    def _fold_journal(self, records: list[JournalRecord], snapshot: bool) -> None:
        now = boottime()
        if snapshot:
            self.job_index.fold_snapshot(records, now)
        else:
            self.job_index.job_load.begin_read(self.journal.read_at, now)
            for record in records:
                self.job_index.fold(record, now)
            self.job_index.job_load.end_read()
        self.service.log_refusals(now)
        self.peers.members = self.job_index.members
        self.election.observe(
            self.job_index.leader_record, self.job_index.n_placer_records, now
        )

    def _fold_config(self, records: list[JournalRecord], snapshot: bool) -> None:
        for record in records:
            if record.key != self.backends.config_key or not record.value:
                continue
            try:
                table = self.backends.decode_table(record.value)
            except Exception as exc:
                # Of any type: the configuration in force stays, and the next counts.
                self.n_bad_configs += 1
                logger.warning(
                    "configuration unreadable", error=ascii(exc)[:MAX_LOGGED_CHARS]
                )
                continue
            if table.version <= self.table.version:
                continue  # an older version was read again
            logger.info(
                "configuration in force",
                version=table.version,
                before=self.table.version,
                queues=len(table.queues),
                teams=None if table.teams is None else len(table.teams),
            )
            self.table = table
            if self.leadership is not None:
                self.leadership.placer.table = table

    def _fold_registry(self, records: list[JournalRecord], snapshot: bool) -> None:
        seen = set()
        for record in records:
            seen.add(record.key)
            if not record.value:
                self._deregister(record.key)
                continue
            try:
                entry = self.backends.decode_worker(record.key, record.value)
            except Exception as exc:
                # Of any type: one entry must not keep the others from being read.
                self._ignore_registration(record.key, exc)
                continue
            if entry.draining:
                entry = _date_notice(entry, self.workers.get(record.key), boottime())
            self.workers[record.key] = self._registered[record.key] = entry
            self._deregistered.discard(record.key)
            self._ignored_ids.discard(record.key)
        if snapshot:
            for worker_id in self.workers.keys() - seen:
                self._deregister(worker_id)

    def _ignore_registration(self, worker_id: str, exc: Exception) -> None:
        """Count an unusable registration; start nothing more on a worker of its id.

        The last usable entry is kept, since the other one may be of another writer and
        the runs there go on: their leases are renewed, also by a new placer.
        """
        self.n_bad_registrations += 1
        known = self.workers.get(worker_id)
        if known is not None and not known.suspended:
            suspended = replace(known, suspended=True)
            self.workers[worker_id] = self._registered[worker_id] = suspended
        if worker_id in self._ignored_ids:
            return
        if len(self._ignored_ids) >= MAX_IGNORED_IDS:
            self._ignored_ids.clear()
        self._ignored_ids.add(worker_id)
        logger.warning(
            "registration ignored",
            worker=ascii(worker_id)[:MAX_LOGGED_CHARS],
            known=known is not None,
            error=ascii(exc)[:MAX_LOGGED_CHARS],
        )

    def _deregister(self, worker_id: str) -> None:
        self.workers.pop(worker_id, None)
        self._registered.pop(worker_id, None)
        self._deregistered.add(worker_id)
        self._ignored_ids.discard(worker_id)

    async def _deliver(self) -> None:
        """Pass folded changes to the leadership if this VM is the placer."""
        while True:
            leads = self.leadership is not None
            await curio.sleep(PLACER_PAUSE_S if leads else ELECTION_TICK_S)
            leadership = self.leadership
            if leadership is None:
                self._registered.clear()
                self._deregistered.clear()
                continue
            if self.job_index.changed:
                await leadership.jobs_changed(self.job_index.pop_changed())
            if self._registered or self._deregistered:
                registered, deregistered = (
                    list(self._registered.values()),
                    set(self._deregistered),
                )
                self._registered.clear()
                self._deregistered.clear()
                await leadership.workers_changed(registered, deregistered)
            leadership.set_members(self.job_index.members)

    # Membership and election

    async def _announce(self) -> None:
        """Register this VM, and again while appends fail, to detect when they recover.

        Callers' records go through other VMs in the meantime. A VM that is fitter than
        the placer repeats its registration as an offer to take over.
        """
        member = Member(self.options.rpc_address, self.options.fitness)
        record = encode_member(member)
        registered = False
        offer_at = 0.0
        while True:
            offers = not self.draining and self.election.is_fitter(
                self.job_index.members
            )
            offers = offers and boottime() >= offer_at
            if not registered or self.writer.failing_since or offers:
                offer_at = boottime() + OFFER_INTERVAL_S
                try:
                    await self.writer.append(
                        [(MEMBER_PREFIX + self.options.vm, record)],
                        boottime() + PROBE_INTERVAL_S,
                    )
                    registered = True
                except CuminhillError as exc:
                    logger.info("registration failed", error=str(exc))
            await curio.sleep(PROBE_INTERVAL_S)

    async def _elect(self) -> None:
        while True:
            await curio.sleep(ELECTION_TICK_S)
            await self._end_term_if_over()
            if self.leadership is not None:
                await self._hand_over_if_unfit(self.leadership)
                await self._hand_over_if_isolated(self.leadership)
                continue
            if self._has_won():
                if self.draining:
                    await self._resign_claim()
                else:
                    await self._begin_term()
                continue
            if self._may_claim():
                await self._make_claim()

    def _has_won(self) -> bool:
        """Return whether the newest term is that of this process's own claim."""
        leader = self.job_index.leader_record
        return (
            self._claim is not None
            and leader.nonce == self._claim.nonce
            and not leader.resigned
        )

    def _may_claim(self) -> bool:
        """Return whether this VM may claim the next term, or repeat its claim."""
        view = JournalView(
            self.journal.read_at,
            self.journal.reachable_since,
            max(self.writer.latency_s, self.job_index.leader_record.latency_s),
        )
        ready = self.table.version and self.journal.synced and self.registry.synced
        # The placer gets time to write once the journal is reachable again.
        if self.draining or not ready or not self.journal.reachable:
            return False
        return self.election.may_claim(self.job_index.members, boottime(), view)

    async def _hand_over_if_unfit(self, leadership: Leadership) -> None:
        """Resign if a clearly fitter VM is alive."""
        now = boottime()
        term_s = now - leadership.placer.begun_at
        if term_s < MIN_TERM_S or now < self._may_hand_over_at or self.draining:
            return
        heard_at = self.job_index.heard_at
        alive = [vm for vm, at in heard_at.items() if now - at < ALIVE_TIMEOUT_S]
        fitness = self.options.fitness
        fitter = fitter_member(fitness, self.job_index.members, alive)
        if fitter is None:
            return
        self._may_hand_over_at = now + HANDOVER_COOLDOWN_S
        logger.info(
            "handing over",
            term=leadership.leader_record.term,
            fitness=fitness,
            fitter=fitter,
            fitter_fitness=self.job_index.members[fitter].fitness,
            term_s=round(term_s, 1),
        )
        await leadership.resign()

    async def _hand_over_if_isolated(self, leadership: Leadership) -> None:
        """Resign if the journal refuses appends of this VM but accepts others."""
        now = boottime()
        if leadership.ended or now < self._next_resign_at:
            return
        if not leadership.writer.failing_since:
            return
        self._next_resign_at = now + RESIGN_RETRY_S
        await leadership.resign_through(self.peers.append)

    async def _make_claim(self) -> None:
        """Append a claim; of several claims of one term only the first is stored.

        A claim is the first append of its term's epoch, so the log itself refuses later
        claims of that term and claims of earlier terms. A claim with an unknown outcome
        is repeated, never replaced by another one: it may be stored seconds later, and
        the term would then have a placer that does not know that it has won.
        """
        claim = self._claim
        leader = self.job_index.leader_record
        if claim is None or claim.term <= leader.term:
            nonce = f"{self.rng.getrandbits(48):012x}"
            term = self.election.next_term
            latency_s = min(MAX_LATENCY_S, self.writer.latency_s)
            claim = make_claim(
                term, self.options.vm, nonce, self._newest_claim(), latency_s
            )
            self._claim, self._claim_number = claim, self.rng.randrange(1, 1 << 20)
            self._claimed_at = boottime()
        silent_s = boottime() - self.election.newest_record_at
        logger.info(
            "claiming",
            term=claim.term,
            before=leader.vm,
            silent_s=round(silent_s, 2),
            since_s=round(boottime() - self._claimed_at, 2),
            offset=self.journal.offset,
        )
        stored = await self._append_as_placer(
            claim, self._claim_number, lambda: self._may_repeat(claim)
        )
        if stored is None:
            # If it was stored nevertheless, the journal will show it.
            logger.info("claim outcome unknown", term=claim.term)
        elif not stored:
            logger.info("claim refused", term=claim.term)
            if self._claim is claim:
                self._claim = None
        await self.journal.catch_up(CLAIM_TIMEOUT_S)

    async def _resign_claim(self) -> None:
        """Resign from a term that was not begun, so that others claim at once.

        It has the number after that of the claim, which has been read, so the log
        refuses it only once a later term has been claimed.
        """
        leader = self.job_index.leader_record
        stored = await self._append_as_placer(
            replace(leader, resigned=True),
            self._claim_number + 1,
            lambda: self.job_index.leader_record == leader,
        )
        logger.info("resigned a term not begun", term=leader.term, stored=stored)
        if stored is False:
            self._claim = None  # a later term has been claimed
        await self.journal.catch_up(CLAIM_TIMEOUT_S)

    def _may_repeat(self, claim: LeaderRecord) -> bool:
        return (
            self._claim is claim
            and self.job_index.leader_record.term < claim.term
            and self._may_claim()
        )

    async def _append_as_placer(
        self, record: LeaderRecord, number: int, is_wanted: Callable[[], bool]
    ) -> bool | None:
        """Append a record under the epoch of its term until the outcome is known.

        Parameters
        ----------
        is_wanted : callable
            Returns whether to go on.

        Returns
        -------
        stored : bool or None
            False if the log refuses the append for good; None if the outcome is
            unknown.
        """
        writer = LogWriter(
            self.backends.journal,
            PLACER_WRITER,
            record.term,
            number,
            keeps_epoch=True,
            reader=self.journal,
        )
        await writer.start_caller()
        records = [(LEADER_KEY, encode_leader_record(record))]
        run = await curio.spawn(writer.run, daemon=True)
        stored: list[bool] = []
        append = await curio.spawn(_note_append, writer, records, stored, daemon=True)
        try:
            while not append.terminated and is_wanted():
                async with curio.ignore_after(ELECTION_TICK_S):
                    await append.wait()
            refused = writer.fenced
            if refused:
                term = record.term + 1 if writer.superseded else record.term
                self.election.note_refusal(term, boottime())
        finally:
            await run.cancel()
            await writer.close()
        await append.wait()
        return stored[0] if stored and (stored[0] or refused) else None

    def _newest_claim(self) -> LeaderRecord:
        """Return the newest claim, with all that is known of the terms before it."""
        index = self.job_index
        return replace(index.leader_record, recorded_since=index.recorded_since)

    def _disclaim_term(self, term: int) -> TermEnd | None:
        """Abandon a claim of a term that was not begun; return since when it is over.

        A later placer asks, and counts on it that this process extends no lease for
        the term and never will. A process that has led the term itself may have
        extended leases until it ended the term.

        Returns
        -------
        end : TermEnd or None
            None if this process may still extend leases for the term.
        """
        leadership = self.leadership
        if leadership is not None and leadership.leader_record.term <= term:
            if not leadership.ended:
                return None
            self._note_released(leadership)
            return TermEnd(0.0, *self._known_of(term))
        if self._claim is not None and self._claim.term <= term:
            self._claim = None
        for_s = max(0.0, boottime() - self._idle_since)
        return TermEnd(for_s, *self._known_of(term))

    def _note_released(self, leadership: Leadership) -> None:
        """Keep what a term that has ended knew of runs that are gone or done."""
        now = boottime()
        self._led_term, self._led_until = leadership.leader_record.term, now
        self._released = leadership.released_runs(now)
        self._done = leadership.done_runs()

    def _known_of(
        self, term: int
    ) -> tuple[tuple[ReleasedRun, ...], tuple[DoneRun, ...]]:
        """Return the runs that this process knew to be gone, or done, in its term."""
        if self._led_term != term:
            return (), ()
        for_s = boottime() - self._led_until
        released = tuple(
            replace(item, away_s=item.away_s + for_s if item.away_s else 0.0)
            for item in self._released
        )
        return released, self._done

    def _lease_ages(self, query: LeaseQuery) -> LeaseAges | None:
        return self.job_index.lease_ages(query, boottime())

    def _find_queue(self, name: str) -> Queue | None:
        return self.table.queues.get(name)

    async def _begin_term(self) -> None:
        # Its renewals hand on what this VM has read, also to those who read a snapshot.
        claim = self._newest_claim()
        now = boottime()
        writer = LogWriter(
            self.backends.journal,
            PLACER_WRITER,
            claim.term,
            self._claim_number + 1,
            # The next term counts from the newest record of the placer that it reads,
            # so appends that carry only callers' records do not confirm this one.
            reports=is_placer_key,
            keeps_epoch=True,
            reader=self.journal,
        )
        placer = Placer(claim.term, now, self.options.times)
        placer.remote_slowdown = self.options.remote_slowdown
        leadership = Leadership(
            claim,
            placer,
            writer,
            self.backends.calls,
            self.job_index,
            self.peers.ask_advice,
            self.options.rpc_address,
            self._ask_term_ended,
            self.peers.ask_lease_ages,
            self.options.keep_ended_s,
            self.metrics,
            # The newest write of the term: the claim may have been read much later.
            confirmed_at=self._claimed_at,
            ping=self.peers.ping,
        )
        writer.on_appended = leadership.note_appended
        # A draining worker must be known before any task is started on it.
        await self.registry.catch_up(CLAIM_TIMEOUT_S)
        if self.draining or not self._has_won():
            return
        self.journal.pause_s = PLACER_PAUSE_S
        self.registry.pause_s = PLACER_REGISTRY_PAUSE_S
        # Nothing may be delivered to the term before it has loaded all jobs: ends of
        # jobs that it does not know yet would be acknowledged and lost.
        leadership.load(
            self.table, list(self.workers.values()), list(self.job_index.members)
        )
        self.leadership = leadership
        self.peers.placer_writer = writer
        await leadership.start()

    async def _ask_term_ended(self, address: str, term: int) -> TermEnd | None:
        if address == self.options.rpc_address:
            return self._disclaim_term(term)
        return await self.peers.ask_term_ended(address, term)

    async def _end_term_if_over(self) -> None:
        leadership = self.leadership
        if leadership is None or leadership.resigning:
            return
        leader = self.job_index.leader_record
        replaced = (leader.term, leader.nonce) != (
            leadership.leader_record.term,
            leadership.leader_record.nonce,
        )
        if replaced or leader.resigned or leadership.ended or leadership.writer.fenced:
            await leadership.end()
            self._note_released(leadership)
            self._idle_since = boottime()
            if leadership.writer.superseded:
                term = leadership.leader_record.term + 1
                self.election.note_refusal(term, boottime())
            self.leadership = self.peers.placer_writer = None
            self._claim = None
            self.journal.pause_s = FOLLOW_PAUSE_S
            self.registry.pause_s = REGISTRY_PAUSE_S

    # Dump

    def dump(self) -> dict[str, Any]:
        """Return the state of the node as a JSON-serialisable dict."""
        value = self.summary()
        if self.leadership is not None:
            value["leading"] |= _dump_rows(self.leadership.placer, boottime())
        return value

    def summary(self) -> dict[str, Any]:
        """Return the dump without the rows of the placer's jobs and workers.

        The metrics come from it: they are read every few seconds, and nothing else is
        done meanwhile.
        """
        now = boottime()
        states: dict[str, int] = {}
        for entry in self.job_index.entries.values():
            state = entry.state.value  # keys of JSON objects must be of type str
            states[state] = states.get(state, 0) + 1
        value: dict[str, Any] = {
            "vm": self.options.vm,
            "ready": self.is_ready(),
            "draining": self.draining,
            "wall": time.time(),
            "config_version": self.table.version,
            "jobs": states,
            "lead": {
                "term": self.job_index.leader_record.term,
                "vm": self.job_index.leader_record.vm,
                "resigned": self.job_index.leader_record.resigned,
            },
            "members": {
                vm: {"address": member.address, "fitness": member.fitness}
                for vm, member in self.job_index.members.items()
            },
            "workers": len(self.workers),
            "callers": dict(self.service.counts),
            "admission": self.service.admission.dump(self.table, now),
            "bad": {
                "records": self.job_index.n_bad_records,
                "registrations": self.n_bad_registrations,
                "configs": self.n_bad_configs,
            },
            "logs": {
                item.name: {
                    "offset": item.offset,
                    "age_s": round(item.age(now), 3),
                    "n_errors": item.n_errors,
                    "n_snapshots": item.n_snapshots,
                    "unreachable_s": round(item.unreachable_s(now), 3),
                    "newest_read_s": round(item.newest_read_s, 4),
                }
                for item in (self.journal, self.config, self.registry)
            },
            "http_bytes": dict(zip(("sent", "received"), byte_counts(), strict=True)),
            "receiving": self.budget.dump(),
            "loop": self.loop_lag.dump(),
            "is_leading": self.leadership is not None,
            "writers": {"own": _dump_writer(self.writer)},
        }
        if self.table.teams is not None:
            value["teams"] = dump_teams(self.table, self.job_index.entries.values())
        if self.log_output is not None:
            value["log_lines"] = {
                "written": self.log_output.n_written,
                "dropped": self.log_output.n_dropped,
            }
        if self.leadership is not None:
            value["leading"] = _summarize_leadership(self.leadership, now)
            value["writers"]["placer"] = _dump_writer(self.leadership.writer)
        return value


def _dump_writer(writer: LogWriter) -> dict[str, Any]:
    return {
        "n_appends": writer.n_appends,
        "n_queued": writer.n_queued,
        "n_refused": writer.n_refused,
        "n_unknown": writer.n_unknown,
        "latency_s": round(writer.latency_s, 4),
        "timeout_s": round(writer.timeout_s, 3),
    }


def _summarize_leadership(leadership: Leadership, now: float) -> dict[str, Any]:
    placer = leadership.placer
    return {
        "term": placer.term,
        "counts": dict(placer.counts),
        "n_jobs": len(placer.jobs),
        "worker_states": dict(
            Counter(_worker_state(item, now) for item in placer.workers.values())
        ),
        "adviser_states": adviser_states(leadership.advisers.values(), now),
        "confirmed_age_s": round(now - leadership.confirmed_at, 3),
        "teams": dump_team_usage(placer, time.time()),
    }


def _dump_rows(placer: Placer, now: float) -> dict[str, Any]:
    """Return the rows of a placer's jobs and workers."""
    return {
        "jobs": {
            job_id: {
                "state": item.state,
                "n_assigned": item.n_assigned,
                "crashes": crash_rows(item),
            }
            for job_id, item in placer.jobs.items()
        },
        "moving": [[*key, move.target] for key, move in placer.moves.items()],
        "waiting": longest_waits(placer, now),
        "workers": {
            worker.worker_id: {
                "free_cores": round(worker.free.cores, 3),
                "free_memory_mb": worker.free.memory_mb,
                "n_slots": len(worker.slots),
                "reachable": worker.reachable,
                "listed": worker.registered,
                "draining": worker.entry.draining,
                "speed": round(worker.health.speed, 3),
                "ejected": not worker.health.accepts_runs(now),
            }
            for worker in placer.workers.values()
        },
    }


def _date_notice(
    entry: WorkerEntry, earlier: WorkerEntry | None, now: float
) -> WorkerEntry:
    """Return the registration of a draining worker, dated by its first notice."""
    read_at = now
    if (
        earlier is not None
        and earlier.draining
        and (earlier.incarnation, earlier.drain_left_s)
        == (entry.incarnation, entry.drain_left_s)
    ):
        read_at = earlier.drain_read_at
    return replace(entry, drain_read_at=read_at)


def _worker_state(worker: Worker, now: float) -> str:
    if not worker.reachable:
        return "unreachable"
    if worker.entry.suspended:
        return "suspended"
    if worker.entry.draining or not worker.registered:
        return "leaving"
    return "ready" if worker.health.accepts_runs(now) else "ejected"


async def _note_append(
    writer: LogWriter, records: list[tuple[str, bytes]], stored: list[bool]
) -> None:
    """Append records and add to a list whether that succeeded."""
    try:
        await writer.append(records, math.inf)
    except CuminhillError:
        stored.append(False)
    else:
        stored.append(True)


async def _supervise(name: str, run: Callable[[], Any]) -> None:
    """Run a task; log a failure and restart it."""
    while True:
        try:
            await run()
        except (Exception, curio.TaskTimeout) as exc:  # a time-out is no Exception
            logger.error("task failed", task=name, exc_info=exc)
            await curio.sleep(ELECTION_TICK_S)
        else:
            return
