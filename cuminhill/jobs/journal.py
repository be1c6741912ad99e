"""Batched appends to a keyed log that distinguish stored, refused and unknown."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

import curio
import structlog

from ..clock import boottime
from ..errors import (
    CuminhillError,
    FencedError,
    ProtocolError,
    RejectedError,
    UnavailableError,
    UnknownOutcomeError,
)
from .records import MAX_RECORD_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .logreader import LogFollower
    from .records import JournalRecord

logger = structlog.get_logger(__name__)

# Bounds of the timeout of one append. It follows the observed latency: a lost answer
# costs one timeout, and a retry is deduplicated by its number.
MIN_APPEND_TIMEOUT_S = 0.45
MAX_APPEND_TIMEOUT_S = 2.0
APPEND_TIMEOUT_FACTOR = 6.0
# The first retry has the same timeout, since a single answer may be lost; after that it
# doubles, since a slow log executes every retry as well.
TIMEOUT_GROWTH = 2.0
# A log counts as unavailable when appends have failed for this time; a slow log answers
# sooner.
UNAVAILABLE_AFTER_S = 0.3
# Interval at which an outstanding append is checked.
ANSWER_POLL_S = 0.05
FINISH_POLL_S = 0.005
# An outstanding append is abandoned after this time if the log answers reads; on a
# slow log after this multiple of a read's time, since appends also wait in its queue.
# A retry is deduplicated by its number, so abandoning it too early costs one call.
MIN_ANSWER_WAIT_S = 0.25
SLOW_APPEND_FACTOR = 5.0
# Each attempt of a large append that is abandoned while the log answers reads, after
# the first one, has this multiple of the previous wait: its data may still be on its
# way over a slow link, and a retry sends all of it again.
ANSWER_WAIT_GROWTH = 2.0
MAX_ANSWER_WAIT_S = 16.0
# A smaller append arrives in about the time of a read, as it fits into the first
# packets that a new connection may send.
LARGE_APPEND_BYTES = 14_000
# A log that has answered nothing for this time counts as unresponsive.
UNRESPONSIVE_AFTER_S = 0.8
# A writer that has not appended for this time first probes the log.
CHECK_IDLE_S = 0.5
CHECK_TIMEOUT_S = 0.35
LATENCY_WEIGHT = 0.2  # of a new observation in the running mean
RETRY_S = 0.1  # least interval between attempts of a refused or failed append
REFUSAL_TIMEOUT_S = 0.25  # callers' records refused for this time are rejected
# Records still queued after this time, or after this multiple of an append's latency,
# are rejected, so that their caller can try another route.
QUEUE_TIMEOUT_S = 0.5
QUEUE_TIMEOUT_FACTOR = 2.0
MAX_BATCH_BYTES = 1 << 20  # of one append; half of the limit of a call
RECORD_OVERHEAD_BYTES = 5
MAX_QUEUED_RECORDS = 20_000  # further appends are rejected at once


@dataclass(frozen=True, slots=True)
class WriterToken:
    """Identity of one append: its writer, epoch and number.

    Within an epoch the numbers increase by one, and a repeated number is the same
    append. An append of an epoch below the newest one of its writer has no effect.
    """

    writer: str
    epoch: int
    number: int


class KeyedLog(Protocol):
    """Compacted log that keeps the newest record of each key."""

    async def read(
        self, offset: int, wait_s: float, timeout_s: float = 2.0
    ) -> tuple[int, list[JournalRecord]]:
        """Return the end offset and the records from an offset on."""

    async def end(self, timeout_s: float) -> int:
        """Return the end offset; little data is transferred."""

    async def newest(self) -> tuple[int, list[JournalRecord]]:
        """Return the offset to continue from and the newest record of each key."""

    async def append(
        self,
        records: list[tuple[str, bytes]],
        token: WriterToken | None = None,
        *,
        at: int | None = None,
        timeout_s: float,
    ) -> int:
        """Append records, all or none, and return the offset of the first."""


def record_bytes(key: str, value: bytes) -> int:
    """Return the length of a record in an append, with the lengths in front of it."""
    return RECORD_OVERHEAD_BYTES + len(key.encode()) + len(value)


def split_records(
    records: list[tuple[str, bytes]], max_bytes: int
) -> Iterator[list[tuple[str, bytes]]]:
    """Yield the records, in order, in lists of at most ``max_bytes`` each."""
    part: list[tuple[str, bytes]] = []
    n_bytes = 0
    for record in records:
        n_record = record_bytes(*record)
        if part and n_bytes + n_record > max_bytes:
            yield part
            part, n_bytes = [], 0
        part.append(record)
        n_bytes += n_record
    if part:
        yield part


@dataclass(eq=False, slots=True)
class _PendingAppend:
    """Records of one caller that wait for an append."""

    records: list[tuple[str, bytes]]
    give_up_at: float
    done: Any = field(default_factory=curio.Event)
    error: CuminhillError | None = None


@dataclass(eq=False, slots=True)
class _CallResult:
    """One call to the log and its result.

    Parameters
    ----------
    growth : float
        Factor of the time for which its answer is awaited.
    """

    growth: float = 1.0
    done: Any = field(default_factory=curio.Event)
    error: CuminhillError | None = None


@dataclass(eq=False)
class LogWriter:
    """Appends to a keyed log with one call in flight; queued records share the next.

    Parameters
    ----------
    log : KeyedLog
        The log to write to.
    writer : str
        Name by which the log deduplicates retries and fences earlier epochs.
    epoch : int
        First epoch.
    number : int
        Number of the first append.
    on_appended : callable or None
        Called with the time at which a successful append was sent; for one that was
        retried, its first attempt that may have been stored.
    reports : callable or None
        Takes a key; appends without such a record are not reported to `on_appended`.
        None if all are.
    keeps_epoch : bool
        Whether the epoch is the number of a term, so that the writer ends instead of
        raising it.
    reader : LogFollower or None
        Follower of the same log; its reads show whether a log with an outstanding
        append is slow, or was unresponsive and has recovered.
    checks_first : bool
        Whether to probe the log before a caller's records are sent, so that an outage
        fails a read, which has no effect, and not an append.
    refused_since : float, seconds
        Since when the log has refused every append; 0 while it does not, or after an
        append without an answer.
    superseded : bool
        Whether the log has refused an append because a later epoch had begun.
    """

    log: KeyedLog
    writer: str
    epoch: int
    number: int = 0
    on_appended: Callable[[float], None] | None = None
    reports: Callable[[str], bool] | None = None
    keeps_epoch: bool = False
    reader: LogFollower | None = None
    checks_first: bool = False
    latency_s: float = 0.01
    timeout_s: float = MIN_APPEND_TIMEOUT_S
    failing_since: float = 0.0
    n_appends: int = 0
    n_unknown: int = 0
    n_refused: int = 0
    fenced: bool = False
    superseded: bool = False
    refused_since: float = 0.0
    appended_at: float = 0.0
    _queue: list[_PendingAppend] = field(default_factory=list)
    _batch: list[_PendingAppend] = field(default_factory=list)
    _n_queued: int = 0
    _n_abandoned: int = 0  # attempts of the batch, while the log answered reads
    _wake: Any = field(default_factory=curio.Event)
    _batch_ended: Any = field(default_factory=curio.Event)
    _is_awaited: bool = False  # whether the end of the batch is awaited
    _caller: Any = None
    _to_call: Any = field(default_factory=curio.Queue)

    def is_unavailable(self) -> bool:
        """Return whether appends have been failing for a while."""
        return (
            self.failing_since > 0
            and boottime() - self.failing_since > UNAVAILABLE_AFTER_S
        )

    def is_refused(self) -> bool:
        """Return whether the log has refused every append for a while."""
        return (
            self.refused_since > 0
            and boottime() - self.refused_since > REFUSAL_TIMEOUT_S
        )

    @property
    def n_queued(self) -> int:
        """Number of queued records."""
        return self._n_queued

    async def append(self, records: list[tuple[str, bytes]], give_up_at: float) -> None:
        """Append records and return once they are stored.

        Parameters
        ----------
        give_up_at : float, seconds
            Boot time after which the append is not retried any more.

        Raises
        ------
        RejectedError
            If the log accepts such records never.
        UnavailableError
            If the records were not appended and never will be.
        UnknownOutcomeError
            If they may have been appended, or may be later.
        FencedError
            If a later epoch of the writer has begun.
        """
        if self.fenced:
            raise FencedError(
                "a later epoch has begun", step="append", peer=self.writer
            )
        for key, value in records:
            # One such record would have the log refuse the whole batch.
            if record_bytes(key, value) > MAX_RECORD_BYTES:
                raise RejectedError(
                    f"record of {len(value)} bytes", step="append", peer=self.writer
                )
        if self._n_queued + len(records) > MAX_QUEUED_RECORDS:
            raise UnavailableError(
                "append queue is full", step="append", peer=self.writer
            )
        if give_up_at < math.inf and self._batch and self.is_refused():
            raise UnavailableError(
                "log refuses appends", step="append", peer=self.writer
            )
        if self.checks_first:
            await self._check()
        item = _PendingAppend(records, give_up_at)
        self._queue.append(item)
        self._n_queued += len(records)
        await self._wake.set()
        async with curio.ignore_after(
            max(QUEUE_TIMEOUT_S, QUEUE_TIMEOUT_FACTOR * self.latency_s)
        ):
            await item.done.wait()
        if item in self._queue and give_up_at < math.inf:
            self._queue.remove(item)
            self._n_queued -= len(records)
            raise UnavailableError(
                "log is unresponsive", step="append", peer=self.writer
            )
        await item.done.wait()
        if item.error is not None:
            raise item.error

    async def await_free(self) -> None:
        """Wait until no append is in flight; what is appended then is sent at once."""
        while self._batch and not self.fenced:
            self._is_awaited = True
            await self._batch_ended.wait()

    async def _check(self) -> None:
        """Probe the log with a read, unless an append succeeded a moment ago.

        Raises
        ------
        UnavailableError
            If the log does not answer.
        """
        if self.reader is None or boottime() - self.appended_at < CHECK_IDLE_S:
            return
        if not self.reader.reachable or not await self.reader.probe(CHECK_TIMEOUT_S):
            raise UnavailableError(
                "log is unresponsive", step="check", peer=self.writer
            )

    async def run(self) -> None:
        """Append batches until a later epoch begins."""
        while not self.fenced:
            if not self._queue:
                self._wake.clear()
                await self._wake.wait()
                continue  # what was queued may have been rejected meanwhile
            self._batch = batch = self._next_batch()
            error = await self._append_batch()
            if isinstance(error, RejectedError) and len(batch) > 1:
                # Only the records that the log can't accept are to fail.
                for item in batch:
                    self._batch = [item]
                    await self._finish_batch(await self._append_batch())
                continue
            await self._finish_batch(error)
            if self._is_awaited:
                # Callers of `await_free` add their records to the next batch.
                self._is_awaited = False
                await curio.sleep(0)
        await self.close()

    async def _finish_batch(self, error: CuminhillError | None) -> None:
        for item in self._batch:
            item.error = error
            await item.done.set()
        self._batch = []
        await self._note_batch_ended()

    async def _note_batch_ended(self) -> None:
        await self._batch_ended.set()
        self._batch_ended.clear()

    async def finish(self, timeout_s: float) -> None:
        """Reject further appends and those still queued; await the one in flight.

        Closing the writer at once would leave the outcome of that one unknown.
        """
        await self._reject_queued()
        give_up_at = boottime() + timeout_s
        while self._batch and boottime() < give_up_at:
            await curio.sleep(FINISH_POLL_S)

    async def close(self) -> None:
        """Reject further appends and those still queued."""
        if self._caller is not None:
            await self._caller.cancel(blocking=False)
            self._caller = None
        await self._reject_queued()
        for item in self._batch:
            if item.error is None and not item.done.is_set():
                item.error = UnknownOutcomeError(
                    "writer closed", step="append", peer=self.writer
                )
                await item.done.set()
        self._batch = []
        await self._note_batch_ended()

    async def _reject_queued(self) -> None:
        self.fenced = True
        queued, self._queue = self._queue, []
        for item in queued:
            item.error = FencedError("fenced", step="append", peer=self.writer)
            await item.done.set()

    def _next_batch(self) -> list[_PendingAppend]:
        batch: list[_PendingAppend] = []
        n_bytes = 0
        while self._queue and n_bytes < MAX_BATCH_BYTES:
            item = self._queue.pop(0)
            self._n_queued -= len(item.records)
            n_bytes += sum(record_bytes(key, value) for key, value in item.records)
            batch.append(item)
        return batch

    async def _append_batch(self) -> CuminhillError | None:
        """Append the batch until it succeeds or no caller waits for it any more."""
        token = WriterToken(self.writer, self.epoch, self.number)
        begun_at = boottime()
        n_unknown = 0
        first_unknown_at = math.inf
        self._n_abandoned = 0
        while True:
            records = [record for item in self._batch for record in item.records]
            sent_at = boottime()
            try:
                await self._attempt(records, token)
            except FencedError as exc:
                return self._fenced(exc, n_unknown > 0)
            except ProtocolError as exc:
                # The log expects another number; a new epoch may start at any.
                logger.warning(
                    "append out of order", writer=self.writer, error=str(exc)
                )
                return self._give_up(exc)
            except RejectedError as exc:
                self.n_refused += 1
                logger.warning("append rejected", writer=self.writer, error=str(exc))
                return exc if not n_unknown else self._give_up(exc)
            except UnavailableError as exc:
                self._note_failure(exc)
                self.n_refused += 1
                if not n_unknown:
                    await self._release_refused(exc, sent_at, begun_at)
                    if not self._batch:
                        return None
                error: CuminhillError = exc
                await curio.sleep(RETRY_S)
            except CuminhillError as exc:
                self._note_failure(exc)
                self._note_unanswered(n_unknown)
                n_unknown += 1
                first_unknown_at = min(first_unknown_at, sent_at)
                error = exc
                # Limits the rate of calls to a log that resets connections.
                await curio.sleep(max(0.0, sent_at + RETRY_S - boottime()))
            else:
                # The log may answer a repeat after a later epoch has begun.
                self._succeeded(sent_at, min(sent_at, first_unknown_at))
                return None
            awaited = any(item.give_up_at > boottime() for item in self._batch)
            if n_unknown and not awaited and not self.keeps_epoch:
                return self._give_up(error)

    async def _attempt(
        self, records: list[tuple[str, bytes]], token: WriterToken
    ) -> None:
        """Make one call; abandon it once the log answers reads but not this call."""
        if self.reader is None:
            await self.log.append(records, token, timeout_s=self.timeout_s)
            return
        n_bytes = sum(record_bytes(key, value) for key, value in records)
        growth = 1.0
        if n_bytes >= LARGE_APPEND_BYTES:
            growth = ANSWER_WAIT_GROWTH ** max(0, self._n_abandoned - 1)
        result = _CallResult(growth)
        await self.start_caller()
        await self._to_call.put((records, token, result))
        sent_at = boottime()
        while not result.done.is_set():
            async with curio.ignore_after(ANSWER_POLL_S):
                await result.done.wait()
            if result.done.is_set() or await self._is_outstanding(sent_at, growth):
                continue
            await self._caller.cancel()
            self._caller = None
            self._note_abandoned(sent_at, growth)
            raise UnknownOutcomeError(
                "log did not answer", step="append", peer=self.writer
            )
        if result.error is not None:
            if isinstance(result.error, UnknownOutcomeError):
                self._note_abandoned(sent_at, growth)
            raise result.error

    def _note_abandoned(self, sent_at: float, growth: float) -> None:
        """Count an attempt that was not answered in time, unless the log was silent."""
        if self.reader is None or self.reader.answered_after(sent_at) is None:
            return
        if boottime() - sent_at >= growth * MIN_ANSWER_WAIT_S:
            self._n_abandoned += 1

    async def start_caller(self) -> None:
        """Start the task that makes the calls, unless it is running.

        It is started together with the writer, since spawning a task during the
        kernel's shutdown makes the shutdown fail.
        """
        if self._caller is None:
            self._caller = await curio.spawn(self._call, daemon=True)

    async def _call(self) -> None:
        """Make calls one after the other until one is abandoned."""
        while True:
            records, token, result = await self._to_call.get()
            try:
                await self.log.append(
                    records,
                    token,
                    timeout_s=min(
                        MAX_ANSWER_WAIT_S, result.growth * MAX_APPEND_TIMEOUT_S
                    ),
                )
            except CuminhillError as exc:
                result.error = exc
            await result.done.set()

    async def _is_outstanding(self, sent_at: float, growth: float) -> bool:
        """Return whether the answer to a call may still arrive."""
        now = boottime()
        waited_s = now - sent_at
        if waited_s < MIN_ANSWER_WAIT_S or self.reader is None:
            return True
        abandoned = all(item.give_up_at <= now for item in self._batch)
        if abandoned and not self.keeps_epoch:
            return False
        read_s = self.reader.answered_after(sent_at)
        if read_s is None:
            if waited_s > UNRESPONSIVE_AFTER_S:
                self._note_failure(
                    UnknownOutcomeError(
                        "log is unresponsive", step="append", peer=self.writer
                    )
                )
            await self.reader.request_probe()
            return True
        expected_s = SLOW_APPEND_FACTOR * max(read_s, self.latency_s)
        wait_s = growth * max(MIN_ANSWER_WAIT_S, expected_s)
        return waited_s < min(MAX_ANSWER_WAIT_S, wait_s)

    def _fenced(self, error: FencedError, outcome_unknown: bool) -> CuminhillError:
        self.fenced = self.superseded = True
        logger.warning("writer fenced", writer=self.writer, error=str(error))
        if not outcome_unknown:
            return error
        # An earlier attempt may have been stored before the later epoch began.
        return UnknownOutcomeError(error.message, step=error.step, peer=error.peer)

    async def _release_refused(
        self, error: CuminhillError, sent_at: float, begun_at: float
    ) -> None:
        """Reject callers' records once they have been refused for a while.

        Every attempt has been refused, so the batch may continue without them.
        """
        self.refused_since = self.refused_since or sent_at
        if boottime() - begun_at <= REFUSAL_TIMEOUT_S:
            return
        refused = [item for item in self._batch if item.give_up_at < math.inf]
        self._batch = [item for item in self._batch if item.give_up_at == math.inf]
        for item in refused:
            item.error = UnavailableError(
                error.message, step=error.step, peer=error.peer
            )
            await item.done.set()

    def _note_unanswered(self, n_before: int) -> None:
        self.n_unknown += 1
        self.refused_since = 0.0
        if n_before:
            grown = TIMEOUT_GROWTH * self.timeout_s
            self.timeout_s = min(MAX_APPEND_TIMEOUT_S, grown)

    def _note_failure(self, error: CuminhillError) -> None:
        if not self.failing_since:
            self.failing_since = boottime()
            logger.warning("append failing", writer=self.writer, error=str(error))

    def _succeeded(self, sent_at: float, first_sent_at: float) -> None:
        now = boottime()
        self.appended_at = sent_at
        self.latency_s += LATENCY_WEIGHT * (now - sent_at - self.latency_s)
        self.timeout_s = min(
            MAX_APPEND_TIMEOUT_S,
            max(MIN_APPEND_TIMEOUT_S, APPEND_TIMEOUT_FACTOR * self.latency_s),
        )
        if self.failing_since:
            logger.info(
                "append succeeded again",
                writer=self.writer,
                after_s=round(now - self.failing_since, 2),
            )
            self.failing_since = 0.0
        self.refused_since = 0.0
        self.number += 1
        self.n_appends += 1
        if self.on_appended is not None and self._is_reported():
            self.on_appended(first_sent_at)

    def _is_reported(self) -> bool:
        if self.reports is None:
            return True
        keys = (key for item in self._batch for key, _ in item.records)
        return any(self.reports(key) for key in keys)

    def _give_up(self, error: CuminhillError) -> CuminhillError:
        if self.keeps_epoch:
            self.fenced = True
        # The next append has a higher epoch, so it cannot be mistaken for a retry of
        # this one, and this one cannot take effect after it.
        self.epoch += 1
        return UnknownOutcomeError(error.message, step=error.step, peer=error.peer)
