"""In-memory stand-in for the platform of jobs: keyed log, workers and advice.

It keeps the guarantees of the platform's interface, such as fencing tokens, and records
every start and end so that tests can check the guarantees of the scheduler.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio

from cuminhill.clock import boottime
from cuminhill.errors import (
    FencedError,
    HistoryGoneError,
    OtherIncarnationError,
    ProtocolError,
    RejectedError,
    UnavailableError,
    UnknownOutcomeError,
)
from cuminhill.jobs.journal import MAX_BATCH_BYTES, record_bytes
from cuminhill.jobs.model import (
    EndedTask,
    EndKind,
    RunningTask,
    StartOrder,
    StartReply,
    StartResult,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from cuminhill.jobs.records import MAX_RECORD_BYTES, JournalRecord

if TYPE_CHECKING:
    from cuminhill.jobs.journal import WriterToken
    from cuminhill.model import Resources

INITIAL_CLOCK_MS = 1000  # reading of a worker's clock at its start
POLL_INTERVAL_S = 0.002  # waits poll in place of notifications


@dataclass(eq=False)
class LogFaults:
    """Faults of a log as one VM sees it.

    Parameters
    ----------
    down : bool
        Calls are refused.
    unresponsive : bool
        Calls get no answer and have no effect.
    reset : bool
        Calls lose their connection at once and have no effect.
    lost_fraction : float
        Fraction of appends that take effect but get no answer.
    delay_s : float, seconds
        Latency added to each call.
    page_size : int
        Maximum number of records that one read returns; 0 for no limit.
    """

    down: bool = False
    unresponsive: bool = False
    reset: bool = False
    lost_fraction: float = 0.0
    delay_s: float = 0.0
    page_size: int = 0


@dataclass(eq=False)
class MemoryLog:
    """Keyed log in memory; implements `cuminhill.jobs.journal.KeyedLog`."""

    rng: random.Random = field(default_factory=lambda: random.Random(1))
    records: list[JournalRecord] = field(default_factory=list)
    first_offset: int = 0
    writers: dict[str, tuple[int, int]] = field(default_factory=dict)
    n_appends: int = 0
    max_record_bytes: int = MAX_RECORD_BYTES
    max_call_bytes: int = 2 * MAX_BATCH_BYTES
    n_rejected: int = 0

    def append_records(self, records: list[tuple[str, bytes]]) -> int:
        """Append records and return the offset of the first."""
        offset = len(self.records)
        for key, value in records:
            self.records.append(JournalRecord(len(self.records), key, value))
        self.n_appends += 1
        return offset

    def accept_token(self, token: WriterToken) -> bool:
        """Check and store a writer's token; return whether the append is new.

        Raises
        ------
        FencedError, ProtocolError
            If the epoch is stale, or the number is out of sequence, as the platform's
            log does.
        """
        epoch, number = self.writers.get(token.writer, (-1, -1))
        if token.epoch < epoch:
            raise FencedError("stale epoch of writer", step="append")
        if token.epoch == epoch:
            if token.number == number:
                return False
            if token.number != number + 1:
                raise ProtocolError("number out of sequence", step="append")
        self.writers[token.writer] = (token.epoch, token.number)
        return True

    def check_lengths(self, records: list[tuple[str, bytes]]) -> None:
        """Check that a call may append records.

        Raises
        ------
        RejectedError
            If a record, or all together, are too long.
        """
        lengths = [record_bytes(key, value) for key, value in records]
        if max(lengths) > self.max_record_bytes or sum(lengths) > self.max_call_bytes:
            self.n_rejected += 1
            raise RejectedError("status 413", step="append")

    def newest_per_key(self) -> list[JournalRecord]:
        """Return the newest record of each key, without deleted keys, by offset."""
        newest = {record.key: record for record in self.records}
        kept = [record for record in newest.values() if record.value]
        return sorted(kept, key=lambda record: record.offset)

    def compact(self) -> None:
        """Make reads from an earlier offset fail, as after a compaction.

        `newest_per_key` still returns the newest record of each key.
        """
        self.first_offset = len(self.records)


@dataclass(eq=False)
class LogView:
    """A log as one VM sees it, with the faults between the two."""

    log: MemoryLog
    faults: LogFaults = field(default_factory=LogFaults)

    async def _reach(self, timeout_s: float) -> None:
        if self.faults.unresponsive:
            await curio.sleep(timeout_s)
            raise UnknownOutcomeError("timed out", step="log")
        if self.faults.reset:
            raise UnknownOutcomeError("connection reset", step="log")
        if self.faults.delay_s:
            await curio.sleep(min(self.faults.delay_s, timeout_s))
            if self.faults.delay_s > timeout_s:
                raise UnknownOutcomeError("timed out", step="log")
        if self.faults.down:
            raise UnavailableError("log is down", step="log")

    async def read(
        self, offset: int, wait_s: float, timeout_s: float = 2.0
    ) -> tuple[int, list[JournalRecord]]:
        """Return the end offset and the records from an offset on."""
        await self._reach(timeout_s)
        give_up_at = boottime() + wait_s
        while len(self.log.records) <= offset and boottime() < give_up_at:
            await curio.sleep(POLL_INTERVAL_S)
            if self.faults.down or self.faults.unresponsive:
                await self._reach(timeout_s)
        if offset < self.log.first_offset:
            raise HistoryGoneError("offset was compacted", step="read")
        until = offset + self.faults.page_size if self.faults.page_size else None
        return len(self.log.records), self.log.records[offset:until]

    async def end(self, timeout_s: float) -> int:
        """Return the end offset."""
        await self._reach(timeout_s)
        return len(self.log.records)

    async def newest(self) -> tuple[int, list[JournalRecord]]:
        """Return the end offset and the newest record of each key."""
        await self._reach(1.0)
        return len(self.log.records), self.log.newest_per_key()

    async def append(
        self,
        records: list[tuple[str, bytes]],
        token: WriterToken | None = None,
        *,
        at: int | None = None,
        timeout_s: float,
    ) -> int:
        """Append records atomically and return the offset of the first."""
        await self._reach(timeout_s)
        self.log.check_lengths(records)
        if at is not None and at != len(self.log.records):
            raise FencedError("end of log has moved", step="append")
        if token is not None and not self.log.accept_token(token):
            return len(self.log.records)
        offset = self.log.append_records(records)
        if self.log.rng.random() < self.faults.lost_fraction:
            await curio.sleep(timeout_s)
            raise UnknownOutcomeError("answer lost", step="append")
        return offset


@dataclass(eq=False)
class RunRecord:
    """One run on a stand-in worker, recorded for checks."""

    key: TaskKey
    run: int
    worker_id: str
    begun_at: float
    payload: str
    ended_at: float = 0.0
    kind: EndKind | None = None
    end_number: int = 0


@dataclass(eq=False)
class MemoryWorker:
    """Worker in memory, with leases, fencing tokens and numbered ends of runs.

    Parameters
    ----------
    needs : dict of str to Resources
        Need of each task by its payload.
    ended : list of RunRecord
        Ended runs that the scheduler has not yet acknowledged.
    highest_runs : dict of TaskKey to int
        Highest run of each task; an order with a lower or equal one is superseded.
    unresponsive : bool
        Calls get no answer and have no effect.
    hang : bool
        Runs make no progress and do not end by themselves.
    fail : bool
        Runs end as failed.
    unhealthy : bool
        Starts are refused and have no effect.
    n_lost_start_replies : int
        Number of further starts that take effect but whose reply is lost.
    """

    entry: WorkerEntry
    run_time_s: float
    needs: dict[str, Resources]
    running: dict[TaskKey, RunRecord] = field(default_factory=dict)
    ended: list[RunRecord] = field(default_factory=list)
    history: list[RunRecord] = field(default_factory=list)
    highest_runs: dict[TaskKey, int] = field(default_factory=dict)
    fencing_token: int = 0
    lease_until_ms: int = 0
    n_ends: int = 0
    created_at: float = field(default_factory=boottime)
    unresponsive: bool = False
    hang: bool = False
    fail: bool = False
    unhealthy: bool = False
    n_lost_start_replies: int = 0
    max_used_cores: float = 0.0

    def clock_ms(self) -> int:
        """Return the reading of the worker's clock in milliseconds."""
        return int((boottime() - self.created_at) * 1000) + INITIAL_CLOCK_MS

    def advance(self) -> None:
        """End the runs that are complete or whose lease has lapsed."""
        now = boottime()
        lapsed = bool(self.running) and self.clock_ms() > self.lease_until_ms
        for record in list(self.running.values()):
            if lapsed:
                self._end(record, EndKind.LAPSED)
            elif now - record.begun_at >= self.run_time_s and not self.hang:
                self._end(record, EndKind.FAILED if self.fail else EndKind.DONE)

    def _end(self, record: RunRecord, kind: EndKind) -> None:
        self.n_ends += 1
        record.ended_at, record.kind, record.end_number = boottime(), kind, self.n_ends
        if kind is EndKind.LAPSED:
            record.ended_at = (
                self.created_at + (self.lease_until_ms - INITIAL_CLOCK_MS) / 1000
            )
        self.running.pop(record.key, None)
        self.ended.append(record)

    def check_fencing_token(self, fencing_token: int) -> None:
        """Accept a fencing token.

        Raises
        ------
        FencedError
            If a higher one has been accepted.
        """
        if fencing_token < self.fencing_token:
            raise FencedError(
                "stale fencing token", step="worker", peer=self.entry.worker_id
            )
        self.fencing_token = fencing_token

    def start_run(self, order: StartOrder) -> StartResult:
        """Start a run unless its fencing token, lease or run number is stale."""
        self.advance()
        if order.fencing_token < self.fencing_token:
            return StartResult.FENCED
        self.fencing_token = order.fencing_token
        if order.lease_until_ms < self.clock_ms():
            return StartResult.TOO_LATE
        self.lease_until_ms = max(self.lease_until_ms, order.lease_until_ms)
        present = self.running.get(order.key)
        if present is not None and present.run == order.run:
            return StartResult.STARTED
        if order.run <= self.highest_runs.get(order.key, 0):
            return StartResult.SUPERSEDED
        self.highest_runs[order.key] = order.run
        record = RunRecord(
            order.key, order.run, self.entry.worker_id, boottime(), order.payload
        )
        self.running[order.key] = record
        self.history.append(record)
        used = sum(self.needs[item.payload].cores for item in self.running.values())
        self.max_used_cores = max(self.max_used_cores, used)
        return StartResult.STARTED

    def stop_run(self, key: TaskKey, run: int) -> None:
        """Stop a run and prevent its start by a delayed order."""
        self.advance()
        record = self.running.get(key)
        if record is not None and record.run <= run:
            self._end(record, EndKind.STOPPED)
        self.highest_runs[key] = max(run, self.highest_runs.get(key, 0))

    def exit(self) -> None:
        """End all runs with the worker; nobody is told."""
        self.advance()
        for record in self.running.values():
            record.ended_at = boottime()
        self.running.clear()

    def report(self, last_acked_end: int) -> WorkerReport:
        """Return the running and ended runs; forget the acknowledged ends."""
        self.advance()
        self.ended = [item for item in self.ended if item.end_number > last_acked_end]
        running = tuple(
            RunningTask(item.key, item.run, "", self._percent(item))
            for item in self.running.values()
        )
        ended = tuple(
            EndedTask(
                item.end_number, item.key, item.run, item.kind or EndKind.DONE, ""
            )
            for item in self.ended
        )
        return WorkerReport(self.clock_ms(), self.entry.incarnation, running, ended)

    def _percent(self, record: RunRecord) -> float:
        if self.hang:
            return 0.0
        return min(99.0, 100 * (boottime() - record.begun_at) / self.run_time_s)


@dataclass(eq=False)
class MemoryWorkers:
    """Calls to stand-in workers; implements `cuminhill.jobs.leadership.WorkerCalls`.

    Parameters
    ----------
    ended : list of MemoryWorker
        Earlier incarnations of workers that have restarted under their identities.
    """

    workers: dict[str, MemoryWorker] = field(default_factory=dict)
    ended: list[MemoryWorker] = field(default_factory=list)
    n_renewals: int = 0

    async def _reach(self, worker_id: str, timeout_s: float) -> MemoryWorker:
        worker = self.workers.get(worker_id)
        if worker is None:
            raise UnavailableError("unknown worker", step="worker", peer=worker_id)
        if worker.unresponsive:
            await curio.sleep(timeout_s)
            raise UnknownOutcomeError("timed out", step="worker", peer=worker_id)
        return worker

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
        """Extend the leases on a worker and return its report."""
        worker = await self._reach(worker_id, 0.3)
        if worker.entry.worker_id != worker_id:
            raise OtherIncarnationError("another worker", step="worker", peer=worker_id)
        self.n_renewals += 1
        worker.check_fencing_token(fencing_token)
        worker.advance()
        if lease_until_ms is not None:
            worker.lease_until_ms = max(worker.lease_until_ms, lease_until_ms)
        give_up_at = boottime() + wait_s
        report = worker.report(last_acked_end)
        while not report.ended and boottime() < give_up_at:
            await curio.sleep(POLL_INTERVAL_S)
            report = worker.report(last_acked_end)
        return report

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        try:
            worker = await self._reach(order.worker_id, timeout_s)
        except UnavailableError:
            return StartReply(StartResult.UNHEALTHY)
        except UnknownOutcomeError:
            return StartReply(StartResult.UNKNOWN)
        if worker.unhealthy:
            return StartReply(StartResult.UNHEALTHY)
        result = worker.start_run(order)
        if worker.n_lost_start_replies:
            worker.n_lost_start_replies -= 1
            return StartReply(StartResult.UNKNOWN)
        return StartReply(result, worker.clock_ms(), worker.entry.incarnation)

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
        worker = await self._reach(worker_id, timeout_s)
        worker.check_fencing_token(fencing_token)
        worker.stop_run(key, run)

    async def disconnect(self, address: str) -> None:
        """Do nothing, since calls in memory have no connections."""

    def history(self) -> list[RunRecord]:
        """Return all runs on all workers."""
        workers = [*self.workers.values(), *self.ended]
        return [item for worker in workers for item in worker.history]


@dataclass(eq=False)
class MemoryAdvice:
    """Placement advice that permits all workers, or only those in ``permitted``."""

    permitted: set[str] | None = None
    n_calls: int = 0

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> list[tuple[str, str]]:
        """Return the permitted workers for a step, each with its ticket."""
        self.n_calls += 1
        chosen = [w for w in workers if self.permitted is None or w in self.permitted]
        return [(worker, f"ticket-{worker}") for worker in chosen]


def overlapping_runs(history: list[RunRecord]) -> list[tuple[RunRecord, RunRecord]]:
    """Return the pairs of consecutive runs of one task that overlap in time."""
    pairs: list[tuple[RunRecord, RunRecord]] = []
    by_key: dict[Any, list[RunRecord]] = {}
    for record in history:
        by_key.setdefault(record.key, []).append(record)
    for records in by_key.values():
        records.sort(key=lambda item: item.begun_at)
        for earlier, later in itertools.pairwise(records):
            if not earlier.ended_at or later.begun_at < earlier.ended_at:
                pairs.append((earlier, later))
    return pairs
