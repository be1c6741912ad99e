"""Follows a keyed log and detects outages and recovery quickly."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import structlog

from ..clock import boottime
from ..errors import CuminhillError, HistoryGoneError
from ..util.http_client import byte_counts

if TYPE_CHECKING:
    from collections.abc import Callable

    from .journal import KeyedLog
    from .records import JournalRecord

logger = structlog.get_logger(__name__)

# Timeout of a read, in addition to the wait that it requests.
READ_TIMEOUT_S = 0.6
# While the log does not answer, a probe is sent at this interval, each on its own
# connection and with its own timeout: a call sent during an outage is never answered,
# and a slow log answers the first of them. Probes transfer no records: parallel reads
# of one large record would share the link, and none of them would end in time.
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 2.4
PROBE_POLL_S = 0.03
N_PROBERS = math.ceil(PROBE_TIMEOUT_S / PROBE_INTERVAL_S)  # most concurrent probes
# A waiting read that is answered within this time shows the log's latency; a later
# answer may have waited for a record.
QUICK_READ_S = 0.1
# Least time between two reads up to the end that clients can cause at any rate.
CATCH_UP_INTERVAL_S = 0.1
# Reads of a slow log have this multiple of the newest read's time as their timeout.
SLOW_READ_FACTOR = 3.0


@dataclass(eq=False)
class LogFollower:
    """Reads a keyed log continuously and passes its records on in order.

    Parameters
    ----------
    name : str
        Name in log lines and dumps.
    log : KeyedLog
        The log to read.
    on_records : callable
        Called with a list of records and whether they are a snapshot of all keys.
    wait_s : float, seconds
        How long a read waits for a record.
    pause_s : float, seconds
        Pause between reads; limits the rate of calls under load. There is none while a
        caller of `await_records` waits.
    unreachable_since : float, seconds
        When a read failed for the first time since the log last answered; 0 while it is
        reachable.
    """

    name: str
    log: KeyedLog
    on_records: Callable[[list[JournalRecord], bool], None]
    wait_s: float
    pause_s: float
    offset: int = 0
    synced: bool = False
    read_at: float = 0.0
    reachable: bool = True
    reachable_since: float = 0.0
    n_snapshots: int = 0
    n_errors: int = 0
    unreachable_since: float = 0.0
    # Failed reads and received bytes of the process when the log became unreachable.
    _counts_before: tuple[int, int] = (0, 0)
    _is_reading: bool = False  # whether a read of `run` is outstanding
    _newest_answer: tuple[float, float] = (0.0, 0.0)
    _probe_requested_at: float = 0.0
    _n_probers: int = 0
    _probe_requests: Any = field(default_factory=curio.Queue)
    # Task that sends the reads of `catch_up`, the time when one was last requested, and
    # when the newest failed one was sent.
    _catch_up_task: Any = None
    _catch_up_requested: Any = field(default_factory=curio.Event)
    _catch_up_read_ended: Any = field(default_factory=curio.Event)
    _catch_up_asked_at: float = 0.0
    _catch_up_failed_at: float = 0.0
    _unpaused_until: float = 0.0
    _turn_at: float = 0.0  # when the newest read of `catch_up_in_turn` was due
    _unpause: Any = field(default_factory=curio.Event)

    def age(self, now: float) -> float:
        """Return the age of the newest complete read, in seconds."""
        return now - self.read_at

    def unreachable_s(self, now: float) -> float:
        """Return for how long the log has been unreachable, in seconds."""
        return now - self.unreachable_since if self.unreachable_since else 0.0

    @property
    def newest_read_s(self) -> float:
        """Duration of the newest answered read or probe, without a wait for records.

        A read that may have waited for a record is not counted.
        """
        return self._newest_answer[1]

    def answered_after(self, sent_at: float) -> float | None:
        """Return the duration of the newest answered call if it was sent later.

        Returns
        -------
        read_s : float or None, seconds
            Time between call and answer; None if there is no such call.
        """
        read_sent_at, read_s = self._newest_answer
        return read_s if read_sent_at > sent_at else None

    async def start_probers(self) -> None:
        """Start the tasks that send probes and reads in parallel to those of `run`.

        They are started before they are needed, since spawning a task during the
        kernel's shutdown makes the shutdown fail.
        """
        while self._n_probers < N_PROBERS:
            self._n_probers += 1
            await curio.spawn(self._probe_on_demand, daemon=True)
        await self._start_catch_up_task()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            try:
                if not self.reachable:
                    await self._await_answer()
                if not self.synced:
                    await self._load()
                at_end = await self._read_on()
            except HistoryGoneError as exc:
                logger.info("history gone", log=self.name, error=str(exc))
                self.synced = False
                continue
            except CuminhillError as exc:
                self._failed(exc)
                if not self.synced:
                    await curio.sleep(PROBE_INTERVAL_S)
                continue
            if not self.reachable:
                self._note_reachable(boottime())
            if at_end:
                await self._pause()

    async def _pause(self) -> None:
        if boottime() < self._unpaused_until:
            return
        self._unpause.clear()
        async with curio.ignore_after(self.pause_s):
            await self._unpause.wait()

    async def await_records(self, timeout_s: float) -> None:
        """Wait for the next read of `run` up to the end, without pauses between reads.

        Parameters
        ----------
        timeout_s : float, seconds
            Longest wait; also how long reads are not paused.
        """
        until = boottime() + timeout_s
        self._unpaused_until = max(self._unpaused_until, until)
        await self._unpause.set()
        async with curio.ignore_after(timeout_s):
            await self._catch_up_read_ended.wait()

    async def _read_on(self) -> bool:
        self._is_reading = True
        try:
            wait_s = self.wait_s if self.reachable else 0.0
            return await self.read(wait_s, self._timeout_s())
        finally:
            self._is_reading = False

    def _timeout_s(self) -> float:
        slow_s = SLOW_READ_FACTOR * self._newest_answer[1]
        return min(PROBE_TIMEOUT_S, max(READ_TIMEOUT_S, slow_s))

    async def read(self, wait_s: float, timeout_s: float = 2.0) -> bool:
        """Read once and pass the new records on.

        Returns
        -------
        at_end : bool
            Whether the end of the log was reached.

        Raises
        ------
        CuminhillError
            If the log gives no usable answer.
        """
        sent_at = boottime()
        try:
            end, records = await self.log.read(self.offset, wait_s, timeout_s)
        except HistoryGoneError:
            self._note_answer(sent_at, 0.0)
            raise
        self._note_answer(sent_at, wait_s)
        if not self.synced:
            return False  # a snapshot must be loaded first
        fresh = [record for record in records if record.offset >= self.offset]
        if fresh:
            self.offset = fresh[-1].offset + 1
            self.on_records(fresh, False)
        at_end = self.offset >= end
        if at_end:
            # Conservative: a waiting read without records shows the state at its end.
            await self._note_complete(sent_at)
        return at_end

    def _note_answer(self, sent_at: float, wait_s: float) -> None:
        took_s = boottime() - sent_at
        if QUICK_READ_S < took_s < wait_s or sent_at <= self._newest_answer[0]:
            return
        self._newest_answer = sent_at, max(0.0, took_s - wait_s) or took_s

    async def catch_up(self, timeout_s: float) -> bool:
        """Read up to the current end; return whether that succeeded.

        Concurrent callers share a read that was sent after each of them asked. It goes
        on when a caller gives up, so that the next one need not begin it anew.
        """
        return await self._catch_up_since(boottime(), timeout_s)

    async def _catch_up_since(self, asked_at: float, timeout_s: float) -> bool:
        """Read up to the end at some time after `asked_at`; see `catch_up`."""
        try:
            async with curio.timeout_after(timeout_s):
                while self.synced and self.read_at < asked_at:
                    if self._catch_up_failed_at >= asked_at:
                        return False
                    self._catch_up_asked_at = max(self._catch_up_asked_at, asked_at)
                    await self._start_catch_up_task()
                    await self._catch_up_requested.set()
                    await self._catch_up_read_ended.wait()
        except curio.TaskTimeout as exc:
            self.n_errors += 1
            logger.info("catch-up failed", log=self.name, error=str(exc))
            return False
        return self.synced

    async def catch_up_in_turn(self, timeout_s: float) -> bool:
        """Read up to the current end, for calls that clients can cause at any rate.

        Those within `CATCH_UP_INTERVAL_S` share one read.
        """
        asked_at = boottime()
        read_at = max(asked_at, self._turn_at + CATCH_UP_INTERVAL_S)
        if read_at > asked_at:
            await curio.sleep(read_at - asked_at)
        self._turn_at = max(self._turn_at, read_at)
        # Those that wake up later than the first share the read that it asks for.
        return await self._catch_up_since(asked_at, timeout_s)

    async def _start_catch_up_task(self) -> None:
        if self._catch_up_task is None or self._catch_up_task.terminated:
            self._catch_up_task = await curio.spawn(
                self._catch_up_on_demand, daemon=True
            )

    async def _catch_up_on_demand(self) -> None:
        while True:
            await self._catch_up_requested.wait()
            self._catch_up_requested.clear()
            while self.synced and self.read_at < self._catch_up_asked_at:
                sent_at = boottime()
                try:
                    await self._read_to_end()
                except CuminhillError as exc:
                    self.n_errors += 1
                    self._catch_up_failed_at = sent_at
                    logger.info("catch-up failed", log=self.name, error=str(exc))
                    break
            await self._wake_callers()

    async def _read_to_end(self) -> None:
        """Read up to the end that the log has now.

        What the outstanding read of `run` brings is not read again, since both
        transfers would share the link.
        """
        sent_at = boottime()
        end = await self._find_end(self._timeout_s())
        while self.synced and self.offset < end:
            if self._is_reading:
                await curio.sleep(PROBE_POLL_S)
            else:
                await self.read(0.0, self._timeout_s())
        if self.synced:
            await self._note_complete(sent_at)

    async def _find_end(self, timeout_s: float) -> int:
        """Return the end of the log, which also shows whether records are missing."""
        sent_at = boottime()
        end = await self.log.end(timeout_s)
        self._note_answer(sent_at, 0.0)
        if self.synced and self.offset >= end:
            await self._note_complete(sent_at)
        return end

    async def _note_complete(self, sent_at: float) -> None:
        """Note that all records have been read that were in the log at a time."""
        self.read_at = max(self.read_at, sent_at)
        await self._wake_callers()

    async def _wake_callers(self) -> None:
        await self._catch_up_read_ended.set()
        self._catch_up_read_ended.clear()

    async def probe(self, timeout_s: float) -> bool:
        """Return whether the log answers within the timeout."""
        try:
            async with curio.timeout_after(timeout_s):
                await self._find_end(timeout_s)
        except (Exception, curio.TaskTimeout):
            # Of any type: a task that ends is not replaced.
            self.n_errors += 1
            return False
        return True

    async def request_probe(self) -> None:
        """Send a probe, unless one was sent within the probe interval."""
        now = boottime()
        due = now - self._probe_requested_at >= PROBE_INTERVAL_S
        if self._n_probers and due and self._probe_requests.empty():
            self._probe_requested_at = now
            await self._probe_requests.put(PROBE_TIMEOUT_S)

    async def _probe_on_demand(self) -> None:
        while True:
            await self.probe(await self._probe_requests.get())

    async def _await_answer(self) -> None:
        """Probe until the log answers."""
        begun_at = boottime()
        while self.answered_after(begun_at) is None:
            if not self._n_probers:
                await self.probe(PROBE_TIMEOUT_S)
            await self.request_probe()
            await curio.sleep(PROBE_POLL_S)

    async def _load(self) -> None:
        sent_at = boottime()
        offset, records = await self.log.newest()
        self.offset = offset
        self.on_records(records, True)
        self.n_snapshots += 1
        self.synced = True
        self.read_at = max(self.read_at, sent_at)
        logger.info("snapshot read", log=self.name, offset=offset, records=len(records))

    def _failed(self, exc: CuminhillError) -> None:
        self.n_errors += 1
        if self.reachable:
            self.reachable, self.unreachable_since = False, boottime()
            self._counts_before = self.n_errors - 1, byte_counts()[1]
            logger.warning("log unreachable", log=self.name, error=str(exc))

    def _note_reachable(self, now: float) -> None:
        n_errors, n_bytes = self._counts_before
        logger.info(
            "log reachable",
            log=self.name,
            offset=self.offset,
            unreachable_s=round(self.unreachable_s(now), 3),
            failed_reads=self.n_errors - n_errors,
            newest_read_s=round(self.newest_read_s, 3),
            received_bytes=byte_counts()[1] - n_bytes,
        )
        self.reachable, self.reachable_since = True, now
        self.unreachable_since = 0.0
