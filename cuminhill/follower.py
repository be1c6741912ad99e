"""Reads one stream of the log as it grows and appends to it in batches."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import structlog

from .errors import CuminhillError, UnavailableError
from .util.validation import brief

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .platform.log import Log, LogPage

logger = structlog.get_logger(__name__)

APPEND_INTERVAL_S = 0.05  # limits a daemon to 20 appends a second
APPEND_TIMEOUT_S = 2.0
# The timeout doubles up to this one while appends fail and the log answers reads: the
# data may take longer on a slow link, and a retry sends all of it again.
MAX_APPEND_TIMEOUT_S = 8.0
MAX_BATCH_RECORDS = 500
MAX_PENDING_RECORDS = 50_000
MAX_READ_RECORDS = 1000  # halved while reads fail
READ_WAIT_S = 2.0  # bounds the age of the last complete view of an idle stream
CATCH_UP_TIMEOUT_S = 2.0
CATCH_UP_POLL_S = 0.01
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0


@dataclass(eq=False, slots=True)
class PendingRecord:
    """Record that is not known to be in the log.

    Parameters
    ----------
    sent : bool
        Whether an append that contains it may have taken effect.
    """

    value: dict[str, Any]
    sent: bool = False


@dataclass(eq=False)
class Follower:
    """Reader of one stream that also appends to it in batches.

    Appends are repeated until one succeeds, so a record may be in the log more than
    once, and the fold of the stream has to be idempotent.

    Parameters
    ----------
    log : Log
        The log service.
    stream : str
        Name of the stream.
    on_record : callable
        Coroutine function called with the offset and each record, in order.
    on_gap : callable
        Coroutine function called with the first remaining offset when retention
        has dropped records that were not read.
    on_caught_up : callable
        Coroutine function called when the end of the stream is first reached after
        the start or a gap.

    Attributes
    ----------
    complete_as_of : float, seconds
        Every record that was in the stream at this monotonic time has been folded.
    """

    log: Log
    stream: str
    on_record: Callable[[int, dict[str, Any]], Awaitable[None]]
    on_gap: Callable[[int], Awaitable[None]]
    on_caught_up: Callable[[], Awaitable[None]]
    next_offset: int = 0
    caught_up: bool = False
    n_replayed: int = 0
    n_appends: int = 0
    n_append_failures: int = 0
    n_read_failures: int = 0
    n_gaps: int = 0
    n_failed_records: int = 0
    read_ok_at: float = float("-inf")
    complete_as_of: float = float("-inf")
    reachable: bool = False
    _n_read: int = MAX_READ_RECORDS
    _append_timeout_s: float = APPEND_TIMEOUT_S
    _pending: deque[PendingRecord] = field(default_factory=deque)
    _in_flight: list[PendingRecord] = field(default_factory=list)
    _wake: Any = field(default_factory=curio.Event)

    @property
    def n_pending(self) -> int:
        """Number of records that are not known to be in the log."""
        return len(self._pending) + len(self._in_flight)

    async def append(self, value: dict[str, Any]) -> PendingRecord:
        """Queue a record for the next batch.

        Raises
        ------
        UnavailableError
            If the queue is full; the record is not accepted.
        """
        if self.n_pending >= MAX_PENDING_RECORDS:
            raise UnavailableError("append queue is full", step="append")
        record = PendingRecord(value)
        self._pending.append(record)
        await self._wake.set()
        return record

    def withdraw(self, record: PendingRecord) -> bool:
        """Withdraw a queued record; return whether it was certainly never sent."""
        if record.sent:
            return False
        try:
            self._pending.remove(record)
        except ValueError:
            return False
        return True

    async def catch_up(self, timeout_s: float = CATCH_UP_TIMEOUT_S) -> bool:
        """Wait until everything now in the log is folded; return whether it is."""
        give_up_at = time.monotonic() + timeout_s
        try:
            page = await self.log.read(self.stream, self.next_offset, limit=1)
        except CuminhillError:
            return False
        while self.next_offset < page.end:
            if time.monotonic() >= give_up_at:
                return False
            await curio.sleep(CATCH_UP_POLL_S)
        return True

    async def mark_caught_up(self) -> None:
        """Continue from a state that was loaded from a snapshot."""
        self.caught_up = True
        await self.on_caught_up()

    async def run_appends(self) -> None:
        """Append batches in an endless loop, one at a time."""
        delay_s = RETRY_MIN_S
        while True:
            if not self.n_pending:
                await self._wake.wait()
            self._wake.clear()
            if await self._append_batch():
                delay_s = RETRY_MIN_S
                await curio.sleep(APPEND_INTERVAL_S)
            else:
                await curio.sleep(delay_s)
                delay_s = min(RETRY_MAX_S, delay_s * 2)

    async def run_reads(self) -> None:
        """Read the stream in an endless loop and pass each record on."""
        while True:
            asked_at = time.monotonic()
            try:
                wait_s = READ_WAIT_S if self.caught_up else 0.0
                page = await self.log.read(
                    self.stream, self.next_offset, limit=self._n_read, wait_s=wait_s
                )
            except CuminhillError as exc:
                self.n_read_failures += 1
                if not isinstance(exc, UnavailableError):
                    # The page did not arrive in time; not all of it is read again.
                    self._n_read = max(1, self._n_read // 2)
                self._set_reachable(False, str(exc))
                await curio.sleep(RETRY_MIN_S)
                continue
            self._set_reachable(True, "")
            self.read_ok_at = time.monotonic()
            self._n_read = min(MAX_READ_RECORDS, 2 * self._n_read)
            await self._apply_page(page)
            if self.next_offset >= page.end:
                self.complete_as_of = asked_at

    async def _apply_page(self, page: LogPage) -> None:
        if page.start > self.next_offset:
            # A state that misses records cannot be repaired by reading on: requests
            # that ended in the gap would stay live for ever.
            if self.next_offset > 0:
                self.n_gaps += 1
                self.caught_up = False
                await self.on_gap(page.start)
            self.next_offset = page.start
        for offset, value in page.records:
            if offset < self.next_offset:
                continue
            self.next_offset = offset + 1
            self.n_replayed += not self.caught_up
            try:
                await self.on_record(offset, value)
            except Exception as exc:
                # Of any type: one record must not end the task that reads the others.
                self.n_failed_records += 1
                logger.error(
                    "record skipped",
                    stream=self.stream,
                    offset=offset,
                    error=brief(exc),
                )
        if not self.caught_up and self.next_offset >= page.end:
            self.caught_up = True
            await self.on_caught_up()

    async def _append_batch(self) -> bool:
        while self._pending and len(self._in_flight) < MAX_BATCH_RECORDS:
            self._in_flight.append(self._pending.popleft())
        if not self._in_flight:
            return True
        unsent = [record for record in self._in_flight if not record.sent]
        for record in unsent:
            record.sent = True
        sent_at = time.monotonic()
        try:
            await self.log.append(
                self.stream,
                [record.value for record in self._in_flight],
                timeout_s=self._append_timeout_s,
            )
        except UnavailableError:
            # Certainly not appended: records that no earlier attempt contained can
            # be withdrawn again.
            for record in unsent:
                record.sent = False
            self._pending.extendleft(reversed(unsent))
            self._in_flight = [item for item in self._in_flight if item.sent]
            self.n_append_failures += 1
            return False
        except CuminhillError:
            self.n_append_failures += 1
            answers_reads = self.read_ok_at > sent_at
            self._append_timeout_s = (
                min(MAX_APPEND_TIMEOUT_S, 2 * self._append_timeout_s)
                if answers_reads
                else APPEND_TIMEOUT_S
            )
            return False
        self._append_timeout_s = APPEND_TIMEOUT_S
        self.n_appends += 1
        self._in_flight.clear()
        return True

    def _set_reachable(self, reachable: bool, detail: str) -> None:
        if reachable is self.reachable:
            return
        self.reachable = reachable
        logger.info(
            "log reachable" if reachable else "log unreachable",
            stream=self.stream,
            detail=detail,
        )
