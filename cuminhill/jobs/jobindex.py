"""Index of jobs and members, folded from the journal on every entry VM."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import structlog

from ..errors import ProtocolError
from .jobload import JobLoad, WaitingGroup
from .leasebounds import (
    NO_INHERITED_LEASES,
    InheritedLeases,
    LeaseAges,
    LeaseQuery,
    LeaseReading,
)
from .model import FINAL_JOB_STATES, JobState
from .progress import Progress, decode_job_status, decode_progress
from .records import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    LEASES_KEY,
    MEMBER_PREFIX,
    NO_LEADER,
    NO_LEASES,
    RESIGNATION_KEY,
    RUN_PREFIX,
    SPEEDS_KEY,
    JournalRecord,
    LeaderRecord,
    LeaseRecord,
    Member,
    check_job_id,
    decode_job,
    decode_job_head,
    decode_leader_record,
    decode_lease_record,
    decode_member,
    is_placer_key,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from .progress import JobStatus

logger = structlog.get_logger(__name__)

MAX_LOGGED_CHARS = 120  # of a text from another writer
JOB_RECORD_PREFIXES = (JOB_PREFIX, RUN_PREFIX, CANCEL_PREFIX)


@dataclass(slots=True)
class JobEntry:
    """Newest records of one job.

    Parameters
    ----------
    job, run : bytes
        JSON forms of the job and of its progress; empty if not read yet.
    state : JobState
        State shown to callers.
    queue, team : str
        Names of the queue and of the team; empty until the job's own record has been
        read, and for a job without a team.
    cancelled : bool
        Whether a caller cancelled it before it ended.
    run_read_at : float, seconds
        When this VM read its progress.
    ended_at : float, seconds
        When this VM read its end; 0 while it has not ended.
    waiting_group : WaitingGroup or None
        Group in which the job is counted while it waits; None if its waits are not
        counted, or it has ended.
    placed_at : float or None, seconds
        When this VM read that a task has started or is assigned to a worker; None
        while the job waits for a place, also again because all starts were refused.
    """

    job: bytes = b""
    run: bytes = b""
    state: JobState = JobState.PENDING
    queue: str = ""
    team: str = ""
    cancelled: bool = False
    accepted_at: float = 0.0
    run_read_at: float = 0.0
    ended_at: float = 0.0
    waiting_group: WaitingGroup | None = None
    placed_at: float | None = None

    @property
    def is_placed(self) -> bool:
        """Whether a task has started or is assigned to a worker."""
        return self.placed_at is not None


@dataclass(eq=False)
class JobIndex:
    """All jobs in the journal.

    Folding the same records in the same order gives the same index on each VM, except
    for the local times.

    Parameters
    ----------
    leader_record : LeaderRecord
        Newest claim that has won.
    leases : LeaseRecord
        Newest ends of leases that a placer does not extend.
    leases_read_at : float, seconds
        When that record was read.
    leases_offset : int
        Position of that record in the journal.
    lease_reading : LeaseReading or None
        What the newest claim inherits, as this VM has read it by the claim; None if
        that bounds no leases. Later records of leases do not change it.
    members : dict
        Registered VMs.
    heard_at : dict
        When the newest registration of each VM was read, in seconds.
    changed : set of str
        Jobs that are new or newly cancelled.
    speeds : bytes
        Worker speeds as estimated by a placer; empty if there are none.
    placer_read_at : float, seconds
        When the newest record under a placer's key was read.
    recorded_since : int
        First term from which on, up to the newest, each term extends no lease before
        its first record of leases, by all claims that were read; 0 if the newest may.
    predecessor_read_at : float, seconds
        The same for the records before the first claim that has won after the newest
        term that can have extended leases.
    job_load : JobLoad
        Counters of accepted, waiting and placed jobs.
    """

    entries: dict[str, JobEntry] = field(default_factory=dict)
    leader_record: LeaderRecord = NO_LEADER
    leases: LeaseRecord = NO_LEASES
    leases_read_at: float = 0.0
    leases_offset: int = -1
    lease_reading: LeaseReading | None = None
    members: dict[str, Member] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    speeds: bytes = b""
    n_placer_records: int = 0
    n_bad_records: int = 0
    placer_read_at: float = 0.0
    recorded_since: int = 0
    predecessor_read_at: float = 0.0
    job_load: JobLoad = field(default_factory=JobLoad)

    def note_snapshot(self, now: float) -> None:
        """Note that records of placers may have been left out until now."""
        self.placer_read_at = now

    def fold(self, record: JournalRecord, now: float) -> None:
        """Apply one record.

        Parameters
        ----------
        record : JournalRecord
            Next record of the journal.
        now : float, seconds
            Used to expire ended jobs.
        """
        term = self.leader_record.term
        try:
            self._fold(record, now)
        except Exception as exc:
            # Not in our format. Of any type: a record of another writer must not keep
            # the others from being read.
            self.n_bad_records += 1
            logger.warning(
                "record ignored",
                key=ascii(record.key)[:MAX_LOGGED_CHARS],
                error=ascii(exc)[:MAX_LOGGED_CHARS],
            )
        if is_placer_key(record.key):
            # Also an unreadable one: it may have confirmed the term that wrote it.
            self.placer_read_at = now
            self.job_load.note_placer(now, is_new_term=self.leader_record.term > term)

    def fold_snapshot(self, records: Sequence[JournalRecord], now: float) -> None:
        """Apply the newest record of each key; drop the jobs that have none.

        Their records were deleted while the journal could not be read. An empty
        snapshot drops none: the journal holds at least the claim of a placer by then.
        """
        self.note_snapshot(now)
        if records:
            # Records of leases may have been replaced by one that follows the claim.
            self.leases = NO_LEASES
        for record in records:
            self.fold(record, now)
        self.job_load.note_snapshot(now)
        if not records:
            return
        held = {
            record.key.partition("/")[2]
            for record in records
            if record.value and record.key.startswith(JOB_RECORD_PREFIXES)
        }
        for job_id in self.entries.keys() - held:
            self._forget_wait(self.entries.pop(job_id))
        # Its records may be old, so they do not show that a VM is alive.
        self.heard_at.clear()

    def _fold(self, record: JournalRecord, now: float) -> None:
        key, value = record.key, record.value
        if key == LEADER_KEY:
            self._fold_leader_record(value)
        elif key == RESIGNATION_KEY:
            self._fold_resignation(value)
        elif key == LEASES_KEY:
            # The term of an unreadable one may have extended leases as well.
            self.leases = NO_LEASES
            self.leases, self.leases_read_at = decode_lease_record(value), now
            self.leases_offset = record.offset
            self.n_placer_records += 1
        elif key == SPEEDS_KEY:
            self.speeds = value
            self.n_placer_records += 1
        elif key.startswith(MEMBER_PREFIX):
            self._fold_member(key.removeprefix(MEMBER_PREFIX), value, now)
        elif key.startswith(RUN_PREFIX):
            self._fold_run(key.removeprefix(RUN_PREFIX), value, now)
        elif key.startswith(JOB_PREFIX):
            self._fold_job(key.removeprefix(JOB_PREFIX), value, now)
        elif key.startswith(CANCEL_PREFIX):
            self._fold_cancel(key.removeprefix(CANCEL_PREFIX), value, now)

    def _fold_leader_record(self, value: bytes) -> None:
        record = decode_leader_record(value)
        same = (record.term, record.nonce) == (
            self.leader_record.term,
            self.leader_record.nonce,
        )
        is_new = record.term > self.leader_record.term
        if is_new and not self._granted_nothing():
            self.predecessor_read_at = self.placer_read_at
        if is_new or same:
            self._note_recorded_since(record)
            self.leader_record = record
            self.n_placer_records += 1
        if is_new:
            self.lease_reading = self._read_leases()

    def _note_recorded_since(self, record: LeaderRecord) -> None:
        """Join what a claim says of the terms before it with what earlier claims say.

        A claim speaks only of claims that its writer had read, and that of the term
        before it may have been stored while its writer waited for the answer.
        """
        since = record.recorded_since
        if self.recorded_since and 0 < since <= self.leader_record.term + 1:
            since = min(since, self.recorded_since)
        self.recorded_since = since

    def _granted_nothing(self) -> bool:
        """Return whether the newest term can't have extended any lease."""
        leader = self.leader_record
        return leader.recorded_since > 0 and 0 < self.leases.term < leader.term

    def _fold_resignation(self, value: bytes) -> None:
        record = decode_leader_record(value)
        if (record.term, record.nonce) == (
            self.leader_record.term,
            self.leader_record.nonce,
        ):
            self.leader_record = record

    def _fold_member(self, vm: str, value: bytes, now: float) -> None:
        if value:
            self.members[vm] = decode_member(value)
        else:
            self.members.pop(vm, None)
        self.heard_at[vm] = now

    def _fold_job(self, job_id: str, value: bytes, now: float) -> None:
        if not value:
            return  # the job has ended; its state stays until its run record is deleted
        entry = self.entries.get(job_id)
        if entry is not None and entry.job:
            return  # a repeated submission
        head = decode_job_head(check_job_id(job_id), value)
        entry = self.entries.setdefault(job_id, JobEntry())
        if not entry.queue:  # otherwise its record was stored twice
            self.job_load.note_accepted(head.team, now)
        entry.queue, entry.accepted_at, entry.team = head[:3]
        if entry.state is JobState.PENDING and head.starts_at_once:
            group = self.job_load.begin_wait(head.queue, head.team, now)
            entry.waiting_group = group
            if entry.is_placed:
                self.job_load.end_wait(group)
        if entry.state not in FINAL_JOB_STATES:
            entry.job = value
        self.changed.add(job_id)

    def _fold_run(self, job_id: str, value: bytes, now: float) -> None:
        check_job_id(job_id)
        try:
            status = decode_job_status(value) if value else None
        except ProtocolError:
            entry = self.entries.get(job_id)
            if entry is not None and entry.job and not entry.run:
                entry.run = value  # keeps `load` from starting the job anew
            raise
        self.n_placer_records += 1
        if status is None:
            entry = self.entries.pop(job_id, None)
            if entry is not None:
                self._forget_wait(entry)
            return
        entry = self.entries.setdefault(job_id, JobEntry())
        entry.run, entry.run_read_at = value, now
        # After a snapshot, older records may be read again. A job that has started does
        # not wait again meanwhile.
        is_older = status.state is JobState.PENDING and entry.state is not status.state
        if not entry.cancelled and not is_older:
            entry.state = status.state
            self._note_placed(entry, status, now)
        if status.state in FINAL_JOB_STATES:
            self._end(entry, now)

    def _fold_cancel(self, job_id: str, value: bytes, now: float) -> None:
        entry = self.entries.get(job_id)
        if entry is None:
            if not value:
                return
            entry = self.entries[check_job_id(job_id)] = JobEntry()
        if not value or entry.state in {JobState.COMPLETED, JobState.FAILED}:
            return
        entry.cancelled, entry.state = True, JobState.CANCELLED
        self._forget_wait(entry)
        self.changed.add(job_id)

    def _end(self, entry: JobEntry, now: float) -> None:
        entry.ended_at = now
        entry.job = entry.run = b""
        self._forget_wait(entry)

    def _note_placed(self, entry: JobEntry, status: JobStatus, now: float) -> None:
        """Count that the job has a place, or waits for one again."""
        placed_at, group = entry.placed_at, entry.waiting_group
        if status.is_placed and placed_at is None:
            entry.placed_at = now
            if group is not None:
                self.job_load.end_wait(group)
                self.job_load.placed.add(entry.queue, now)
        elif not status.is_placed and placed_at is not None:
            entry.placed_at = None
            if group is not None:
                self.job_load.resume_wait(group)
                self.job_load.placed.discard(entry.queue, placed_at)

    def _forget_wait(self, entry: JobEntry) -> None:
        group, entry.waiting_group = entry.waiting_group, None
        if group is not None and not entry.is_placed:
            self.job_load.end_wait(group)

    def inherited_leases(self) -> InheritedLeases:
        """Return what the terms before the newest have left about leases."""
        reading = self.lease_reading
        return NO_INHERITED_LEASES if reading is None else reading.inherited()

    def lease_ages(self, query: LeaseQuery, now: float) -> LeaseAges | None:
        """Return how long ago this VM read what a claim inherits.

        Returns
        -------
        ages : LeaseAges or None
            None if the claim is not the newest one that this VM has read, or if this
            VM had read another lease record by then.
        """
        reading = self.lease_reading
        if reading is None or reading.query != query:
            return None
        return reading.ages(now)

    def _read_leases(self) -> LeaseReading | None:
        """Return what the newest claim inherits.

        The newest record bounds all leases if each term after it extends none before
        a record of its own.
        """
        leader = self.leader_record
        recorded_since = self.recorded_since or leader.term
        if not self.leases.term or not (
            recorded_since - 1 <= self.leases.term < leader.term
        ):
            return None
        return LeaseReading(
            LeaseQuery(leader.term, leader.nonce, self.leases_offset),
            self.leases,
            self.leases_read_at,
            self.predecessor_read_at,
        )

    def n_waiting(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue without a started task."""
        return sum(
            entry.state is JobState.PENDING and entry.queue == queue
            for entry in self.entries.values()
        )

    def expired(self, now: float, keep_s: float) -> list[str]:
        """Return the jobs that ended longer than ``keep_s`` ago."""
        return [
            job_id
            for job_id, entry in self.entries.items()
            if entry.ended_at and now - entry.ended_at > keep_s
        ]

    def load(self, job_id: str) -> Progress | None:
        """Return the progress of a job that has not ended, None otherwise.

        A job whose records cannot be read is left out: it must not start anew, since
        it may have run, and it must not keep the other jobs from being placed.
        """
        entry = self.entries.get(job_id)
        if entry is None or not entry.job:
            return None
        try:
            job = decode_job(job_id, entry.job)
            progress = Progress(job)
            if entry.run:
                progress = decode_progress(job, entry.run, entry.run_read_at)
        except Exception as exc:
            self.n_bad_records += 1
            logger.error(
                "job unreadable; not placed",
                job=job_id,
                error=ascii(exc)[:MAX_LOGGED_CHARS],
            )
            return None
        progress.cancelled, progress.read_at = entry.cancelled, entry.run_read_at
        return progress

    def live(self) -> Iterator[Progress]:
        """Yield the progress of all jobs that have not ended."""
        for job_id in list(self.entries):
            progress = self.load(job_id)
            if progress is not None:
                yield progress

    def pop_changed(self) -> Iterable[str]:
        """Return and clear the set of jobs that are new or newly cancelled."""
        changed, self.changed = self.changed, set()
        return changed
