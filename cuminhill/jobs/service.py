"""Calls of callers to an entry VM: submit a job, look up its state, cancel it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import structlog

from ..clock import boottime
from ..errors import CuminhillError, UnavailableError, UnknownOutcomeError
from .admission import Admission, IndexState
from .jobload import JobLoad
from .model import FINAL_JOB_STATES, JobState, Outcome, QueueTable
from .nodemetrics import make_node_metrics
from .records import CANCEL_PREFIX, JOB_PREFIX, JournalRecord, encode_job

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..metrics import MetricSet
    from .admission import Refusal
    from .jobindex import JobEntry, JobIndex
    from .journal import LogWriter
    from .logreader import LogFollower
    from .model import Job, Queue

logger = structlog.get_logger(__name__)

# A caller whose append has no answer by then is told that the outcome is uncertain.
APPEND_TIMEOUT_S = 1.2
# Time for appending through other VMs while this one cannot append.
PEER_APPEND_TIMEOUT_S = 0.6
# Time for reading the journal up to its end when the job of a look-up is unknown.
CATCH_UP_TIMEOUT_S = 1.0
# Callers ask right after a job's last task has ended, before that is in the journal,
# and ask again only later. A look-up of a started job waits this long for its end:
# longer than the record of an end takes to be stored and read in calm.
LOOK_UP_WAIT_S = 0.2
# The wait is for queues with a constant part of the objective below this: for others it
# makes no difference.
MAX_WAITING_TARGET_S = 2.0
# Age up to which the index may tell the length of a queue, as promised to callers.
MAX_COUNT_AGE_S = 2.0
# Retry-After of a rejected call. Callers wait for a few seconds in total, so after a
# short outage a longer pause would cost them their answer.
RETRY_AFTER_S = 1
# Before a job is refused, the journal is read up to its end, since another VM may have
# accepted the job a moment ago.
REFUSAL_READ_TIMEOUT_S = 0.5
# Ids of submissions with an uncertain outcome that are remembered, 100 bytes each.
MAX_UNCERTAIN_IDS = 10_000


@dataclass(eq=False)
class JobService:
    """Serves callers from the journal.

    Parameters
    ----------
    job_index : JobIndex
        Folded journal.
    follower : LogFollower
        Reads the journal.
    writer : LogWriter
        This VM's own appends to the journal.
    append_by_placer : callable
        Coroutine function that appends through the placer and returns the outcome,
        None if no placer can be called.
    append_by_peer : callable
        Coroutine function that appends through any other VM.
    find_queue : callable
        Returns the queue of a name in the newest configuration.
    admission : Admission
        Decides which new jobs are refused.
    find_table : callable
        Returns the newest configuration.
    """

    job_index: JobIndex
    follower: LogFollower
    writer: LogWriter
    append_by_placer: Callable[
        [list[tuple[str, bytes]], float], Awaitable[Outcome | None]
    ]
    append_by_peer: Callable[[list[tuple[str, bytes]], float], Awaitable[None]]
    find_queue: Callable[[str], Queue | None]
    metrics: MetricSet = field(default_factory=make_node_metrics)
    counts: Counter[str] = field(default_factory=Counter)
    admission: Admission = field(default_factory=lambda: Admission(JobLoad()))
    find_table: Callable[[], QueueTable] = QueueTable
    # Submissions of a job that this VM may have stored already, so that it must not be
    # refused: the number of appends under way, and those with an uncertain outcome.
    _in_flight: Counter[str] = field(default_factory=Counter)
    _uncertain: dict[str, None] = field(default_factory=dict)

    async def submit(self, job: Job, wait_s: float) -> Outcome:
        """Accept a job; it is durable once the outcome is `Outcome.OK`.

        The outcome `Outcome.REFUSED` means that the job is not stored and never runs.

        Parameters
        ----------
        wait_s : float, seconds
            How long the caller waits.
        """
        if job.job_id in self.job_index.entries:
            self.counts["repeated"] += 1
            return Outcome.OK
        asked_at = boottime()
        refused = await self._refuse(job, wait_s)
        if refused is not None:
            return refused
        # The queue may be removed before the job has ended, and any VM may restart.
        job = replace(job, definition=self.find_queue(job.queue))
        outcome, way = await self._store(
            job, max(0.0, wait_s - (boottime() - asked_at))
        )
        self.counts[f"submit_{outcome}"] += 1
        self.metrics.observe("submit_seconds", boottime() - asked_at, outcome=outcome)
        logger.info(
            "submission",
            job=job.job_id,
            queue=job.queue,
            steps=len(job.steps),
            outcome=outcome,
            way=way,
            journal_age_s=round(self.follower.age(boottime()), 2),
        )
        return outcome

    def retry_after_s(self, job: Job) -> int:
        """Return after how many seconds a job that was refused may be accepted."""
        refusal = self._decide(job)
        return RETRY_AFTER_S if refusal is None else refusal.retry_after_s

    def log_refusals(self, now: float) -> None:
        """Log for which teams refusals have begun or ceased."""
        for change in self.admission.pop_changes(now):
            if change.begins:
                logger.info("refusals begin", team=change.team, reason=change.reason)
            else:
                logger.info(
                    "refusals ceased",
                    team=change.team,
                    reason=change.reason,
                    refused=change.n_refused,
                    lasted_s=round(change.lasted_s, 1),
                )

    def _index_state(self, now: float) -> IndexState:
        return IndexState(
            self.follower.age(now),
            self.job_index.leader_record.latency_s,
            max(1, len(self.job_index.members)),
        )

    async def _refuse(self, job: Job, wait_s: float) -> Outcome | None:
        """Return the outcome of a job that is not to be stored, None for the others.

        A job is refused only after a read of the journal up to its end, sent after the
        submission, has not shown it. If the read fails, the outcome is uncertain, since
        another VM may have accepted the job.
        """
        if self._may_be_stored(job.job_id) or self._decide(job) is None:
            return None
        timeout_s = min(wait_s, REFUSAL_READ_TIMEOUT_S)
        is_current = await self.follower.catch_up_in_turn(timeout_s)
        if job.job_id in self.job_index.entries:
            self.counts["repeated"] += 1
            return Outcome.OK
        now = boottime()
        refusal = self._decide(job)
        if refusal is None or self._may_be_stored(job.job_id):
            return None
        outcome = Outcome.REFUSED if is_current else Outcome.UNCERTAIN
        self.counts[f"submit_{outcome}"] += 1
        if is_current:
            self.admission.note_refusal(job, refusal, now)
            self.log_refusals(now)
        return outcome

    def _decide(self, job: Job) -> Refusal | None:
        now = boottime()
        state = self._index_state(now)
        return self.admission.decide(job, self.find_table(), state, now)

    def _may_be_stored(self, job_id: str) -> bool:
        return job_id in self._in_flight or job_id in self._uncertain

    async def _store(self, job: Job, wait_s: float) -> tuple[Outcome, str]:
        """Append the record of a job that is not refused."""
        now = boottime()
        self.admission.begin_append(job, self.find_table(), self._index_state(now), now)
        self._in_flight[job.job_id] += 1
        outcome = Outcome.UNCERTAIN  # also if the caller's task is cancelled
        try:
            outcome, way = await self._append(
                JOB_PREFIX + job.job_id, encode_job(job), wait_s
            )
        finally:
            self.admission.end_append(job)
            self._in_flight[job.job_id] -= 1
            if not self._in_flight[job.job_id]:
                del self._in_flight[job.job_id]
            if outcome is Outcome.UNCERTAIN:
                self._uncertain[job.job_id] = None
                if len(self._uncertain) > MAX_UNCERTAIN_IDS:
                    del self._uncertain[next(iter(self._uncertain))]
        return outcome, way

    async def cancel(self, job_id: str, wait_s: float) -> Outcome:
        """Cancel a job unless it has ended."""
        entry = await self._find(job_id)
        if isinstance(entry, Outcome):
            return entry
        if entry.state in FINAL_JOB_STATES:
            return Outcome.OK
        outcome, way = await self._append(CANCEL_PREFIX + job_id, b"{}", wait_s)
        self.counts[f"cancel_{outcome}"] += 1
        logger.info(
            "cancellation", job=job_id, outcome=outcome, way=way, state=entry.state
        )
        return outcome

    async def state(self, job_id: str) -> JobState | Outcome:
        """Return the state of a job."""
        entry = await self._find(job_id)
        if isinstance(entry, Outcome):
            return entry
        if self._may_wait_for_end(entry):
            await self._await_end(entry)
        return entry.state

    def _may_wait_for_end(self, entry: JobEntry) -> bool:
        """Return whether a look-up may wait a little for a job to end.

        An unreachable journal would not show the end in time.
        """
        if not _may_end_soon(entry) or not self.follower.reachable:
            return False
        queue = self.find_queue(entry.queue)
        return queue is not None and queue.target_s < MAX_WAITING_TARGET_S

    async def _await_end(self, entry: JobEntry) -> None:
        """Wait until a job has ended, or for the longest time of a look-up."""
        self.counts["awaited"] += 1
        give_up_at = boottime() + LOOK_UP_WAIT_S
        while _may_end_soon(entry):
            left_s = give_up_at - boottime()
            if left_s <= 0:
                return
            await self.follower.await_records(left_s)

    def n_waiting(self, queue: str) -> int | Outcome:
        """Return the number of accepted jobs of a queue without a started task.

        Returns
        -------
        n_waiting : int or Outcome
            `Outcome.NOT_DONE` if the index is too old to tell.
        """
        age_s = self.follower.age(boottime())
        if not self.follower.synced or age_s > MAX_COUNT_AGE_S:
            return Outcome.NOT_DONE
        return self.job_index.n_waiting(queue)

    async def _find(self, job_id: str) -> JobEntry | Outcome:
        """Return the entry of a job, or the outcome of a call about it without one.

        A job does not exist only if a read of the journal up to its end, sent after the
        call came, has not shown it: another VM may have accepted it a moment ago.
        """
        entry = self.job_index.entries.get(job_id)
        if entry is not None:
            return entry
        asked_at = boottime()
        is_current = await self.follower.catch_up(CATCH_UP_TIMEOUT_S)
        entry = self.job_index.entries.get(job_id)
        logger.info(
            "look-up of an unknown job",
            job=job_id,
            found=entry is not None,
            current=is_current,
            journal_age_s=round(self.follower.age(asked_at), 2),
        )
        if entry is not None:
            return entry
        self.counts["unknown" if is_current else "not_looked_up"] += 1
        return Outcome.UNKNOWN_JOB if is_current else Outcome.NOT_DONE

    async def _append(
        self, key: str, value: bytes, wait_s: float
    ) -> tuple[Outcome, str]:
        """Append one record, through the placer if there is one.

        The placer batches the records of all VMs, so that they do not each call a slow
        journal: an append that the placer reports as refused or unanswered is not tried
        by another route. The record may be stored twice, which has no further effect.

        Returns
        -------
        outcome : Outcome
            Whether the record is stored.
        way : str
            Route that gave the outcome: ``placer``, ``here``, ``elsewhere`` or
            ``nobody``.
        """
        records = [(key, value)]
        give_up_at = boottime() + min(wait_s, APPEND_TIMEOUT_S)
        uncertain = False
        outcome, way = None, "placer"
        try:
            outcome = await self.append_by_placer(records, give_up_at - boottime())
        except UnknownOutcomeError as exc:
            uncertain = True
            logger.info("placer did not answer", key=key, error=str(exc))
        if outcome is None:
            outcome, way = await self._append_without_placer(records, give_up_at)
            if uncertain and outcome is Outcome.NOT_DONE:
                # The placer may have stored the record nevertheless.
                outcome = Outcome.UNCERTAIN
        if outcome is Outcome.OK:
            self.job_index.fold(JournalRecord(-1, key, value), boottime())
        return outcome, way

    async def _append_without_placer(
        self, records: list[tuple[str, bytes]], give_up_at: float
    ) -> tuple[Outcome, str]:
        uncertain = False
        for way, append in (
            ("here", self._append_locally),
            ("elsewhere", self._append_by_peer),
        ):
            left_s = give_up_at - boottime()
            if left_s <= 0:
                break
            try:
                await append(records, left_s)
            except UnavailableError as exc:
                logger.debug("append failed; trying the next route", error=str(exc))
            except CuminhillError as exc:
                uncertain = True
                logger.info("append outcome unknown", error=str(exc))
            else:
                return Outcome.OK, way
        return Outcome.UNCERTAIN if uncertain else Outcome.NOT_DONE, "nobody"

    async def _append_locally(
        self, records: list[tuple[str, bytes]], left_s: float
    ) -> None:
        if self.writer.failing_since:
            raise UnavailableError("appends of this VM are failing", step="append")
        await self.writer.append(records, boottime() + left_s)

    async def _append_by_peer(
        self, records: list[tuple[str, bytes]], left_s: float
    ) -> None:
        await self.append_by_peer(records, min(left_s, PEER_APPEND_TIMEOUT_S))


def _may_end_soon(entry: JobEntry) -> bool:
    """Return whether a job has a place and has not ended.

    A short one may end before the journal shows that it has started.
    """
    return entry.is_placed and entry.state not in FINAL_JOB_STATES
