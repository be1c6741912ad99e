"""Progress of one job: which tasks are done, assigned and waiting."""

from __future__ import annotations

import base64
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

import orjson
from pydantic import Field

from ..errors import ProtocolError
from ..util.json_input import load_json
from ..util.validation import MAX_COUNT, MAX_INTEGER, Message, validate_json
from .model import Job, JobState, TaskKey
from .records import MAX_RECORD_BYTES
from .taskstates import TaskState, TaskStates
from .waits import EXPLAINED_AFTER_S, StepWait

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from .model import Step
    from .waits import WaitCause


# Length that the progress of one job may have by the estimates below. The rest of a
# record is left for names of workers that are longer than usual.
MAX_PROGRESS_BYTES = MAX_RECORD_BYTES * 3 // 4
BASE_BYTES = 100
FINISHED_BYTES = 20  # numbers of an occurrence and a step
INDEX_BYTES = 6
ALL_DONE_PERCENT = 100  # a run that reports this ends with its next report
# Rows of a task without its checkpoint, its worker's name, and its rows of crashes and
# of the time away or without progress.
ROW_BYTES = 128
MAX_AWAY_MS = 10_000_000  # bounds an absence and the time without a run
# Steps of a scheduled job that are considered at a time, the earliest of each number; a
# step of a later time differs only in when it was due.
MAX_READY_STEPS = 400
NOT_BEGUN = -1  # in place of the number of an occurrence without a finished step
# A step with more tasks has those that are done as bits in place of a list.
MAX_LISTED_TASKS = 500
# Names of their own, since Python 3.11 looks up and hashes members of an enumeration in
# Python code, and each decision and dump asks for the state of all jobs.
_COMPLETED, _FAILED = JobState.COMPLETED, JobState.FAILED


@dataclass(eq=False, slots=True)
class StepRun:
    """One step of one occurrence.

    Parameters
    ----------
    n_assigned : int
        Number of tasks that a worker may be running.
    n_open : int
        Number of tasks that were assigned at least once and are not done.
    waits_for : str
        What tasks of a long-running step waited for after the newest decision:
        ``"advice"`` or ``"room"``; empty if none waited.
    waits_since : float, seconds
        When that decision was made.
    advice_s, room_s : float, seconds
        How long tasks of a long-running step have waited for each, in this term, since
        none last waited.
    wait : StepWait
        Wait for the placement of the first or next task.
    waited : dict
        Fields that tell of the newest wait that was explained, until a start has them.
    name : str
        Name of the step, unique among all jobs.
    """

    job: Job
    occurrence: int
    number: int
    tasks: TaskStates
    n_assigned: int = 0
    n_open: int = 0
    waits_for: str = ""
    waits_since: float = 0.0
    advice_s: float = 0.0
    room_s: float = 0.0
    wait: StepWait = field(default_factory=StepWait)
    waited: dict[str, Any] = field(default_factory=dict)
    # Read several times for each step of a decision.
    name: str = field(init=False)

    def __post_init__(self) -> None:
        self.name = f"{self.job.job_id}.{self.occurrence}.{self.number}"

    @property
    def n_done(self) -> int:
        """Number of tasks that are done."""
        return self.tasks.n_done

    @property
    def is_open(self) -> bool:
        """Whether the journal lists tasks of the step one by one."""
        n_done = self.tasks.n_done
        return n_done + self.n_open > 0 and n_done < self.tasks.n_tasks

    @property
    def step(self) -> Step:
        """Definition of the step."""
        return self.job.steps[self.number]

    @property
    def n_waiting(self) -> int:
        """Number of tasks that are neither done nor assigned."""
        return self.tasks.n_tasks - self.tasks.n_done - self.n_assigned

    @property
    def n_interrupted(self) -> int:
        """Number of waiting tasks that have run before."""
        return self.n_open - self.n_assigned

    def note_wait(self, waits_for: str, now: float) -> None:
        """Note what tasks wait for after a decision; empty if none waits."""
        waited_s = now - self.waits_since
        if self.waits_for == "advice":
            self.advice_s += waited_s
        elif self.waits_for == "room":
            self.room_s += waited_s
        self.waits_for, self.waits_since = waits_for, now

    def note_cause(self, cause: WaitCause, now: float) -> None:
        """Note why the step waits, as found after a decision."""
        self.wait.count(now)
        self.wait.cause, self.wait.explained_at = cause, now
        if self.step.long_running:
            self.note_wait(cause.reason.kind, now)

    def end_wait(self, now: float) -> float:
        """Note that a task was placed; return how long the step had waited for it."""
        self.wait.count(now)
        if self.step.long_running:
            self.note_wait("", now)
        waited_s = now - self.wait.since if self.wait.since else 0.0
        if waited_s >= EXPLAINED_AFTER_S:
            self.waited = self.wait.fields(now)
        self.wait = StepWait(now if self.n_waiting else 0.0)
        return waited_s

    def take_waited(self) -> dict[str, Any]:
        """Return and clear the fields that tell of the newest explained wait."""
        waited, self.waited = self.waited, {}
        return waited

    def key(self, index: int) -> TaskKey:
        """Return the identity of a task."""
        return TaskKey(self.job.job_id, self.occurrence, self.number, index)


class _Frontier(NamedTuple):
    """Steps of an occurrence that are not finished and next to those that are.

    Parameters
    ----------
    open : tuple of int
        Steps whose predecessors are finished.
    behind : tuple of (int, tuple of int)
        Steps that wait only for open ones, with these.
    """

    open: tuple[int, ...]
    behind: tuple[tuple[int, tuple[int, ...]], ...]


@dataclass(eq=False, slots=True)
class Progress:
    """State of a job as its placer keeps it.

    The journal holds it as one record, written before a start is sent and before
    the end of a run is acknowledged to its worker.

    Parameters
    ----------
    state : JobState
        State shown to callers. An assignment alone does not change it: its start may
        still be refused.
    lengths : dict
        Observed length of steps that are done, in seconds at a speed of 1; not kept
        in the journal.
    n_checkpoint_bytes : int
        Total length of the checkpoints in the record.
    max_open : int
        Most tasks that may have started and not be done; lowered if the journal has
        rejected the record for its length.
    read_at : float, seconds
        When the record from which it was decoded was read; 0 if that is not known.
    idle_since : float, seconds
        Since when the job has had no run, across terms; 0 while a run is known to be
        present. The journal keeps how long ago that was.
    idle_from : str
        What that counts from: ``"accepted"``, ``"last run"``, ``"earlier term"``, or
        ``"record read"`` for a record of an earlier build, which tells less.
    ended_at : float, seconds
        When the newest run ended, or its worker stopped answering; 0 if that is not
        known.
    has_crashes : bool
        Whether `set_crashes` was called for one of its tasks: only then are they looked
        at for the rows of crashes in a record or a dump.
    """

    job: Job
    state: JobState = JobState.PENDING
    cancelled: bool = False
    step_runs: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    finished: set[tuple[int, int]] = field(default_factory=set)
    lengths: dict[tuple[int, int], float] = field(default_factory=dict)
    n_assigned: int = 0
    n_checkpoint_bytes: int = 0
    max_open: int = MAX_RECORD_BYTES // ROW_BYTES
    read_at: float = 0.0
    idle_since: float = 0.0
    idle_from: str = ""
    ended_at: float = 0.0
    has_crashes: bool = False
    # Results of `n_open` and `_max_bytes` until a task changes.
    _n_open: int | None = None
    _n_bytes: int | None = None
    # Of the occurrences that have a finished step, None if it is to be found anew; all
    # others share one.
    _frontiers: dict[int, _Frontier | None] = field(default_factory=dict)

    def is_ready(self, occurrence: int, number: int, wall: float) -> bool:
        """Return whether the tasks of a step may start."""
        if (occurrence, number) in self.finished or self.job.due_at(occurrence) > wall:
            return False
        after = self.job.steps[number].after
        return all((occurrence, earlier) in self.finished for earlier in after)

    def ready_steps(self, wall: float) -> Iterator[StepRun]:
        """Yield the steps with tasks that may start now."""
        job = self.job
        n_most = max(2, MAX_READY_STEPS // len(job.steps))
        n_ready = [0] * len(job.steps)
        for occurrence in range(job.n_occurrences):
            if job.due_at(occurrence) > wall:
                return
            for number in self._frontier(occurrence).open:
                if n_ready[number] >= n_most:
                    continue
                step_run = self.step_run(occurrence, number)
                if step_run.n_waiting:
                    n_ready[number] += 1
                    yield step_run
            if min(n_ready) >= n_most:
                return

    def n_startable(self, step_run: StepRun) -> int:
        """Return how many waiting tasks of a step may start.

        A task that starts for the first time gets a row in the record of the job,
        which has a maximum length. The others wait until earlier tasks are done.
        """
        n_again = step_run.n_interrupted
        n_new = step_run.n_waiting - n_again
        left = MAX_PROGRESS_BYTES - self._max_bytes()
        if not step_run.is_open:
            left -= _step_bytes(step_run.step.n_tasks)
        n_rows = min(left // ROW_BYTES, self.max_open - self.n_open)
        return n_again + max(0, min(n_new, n_rows))

    @property
    def n_open(self) -> int:
        """Number of tasks that were assigned at least once and are not done."""
        if self._n_open is None:
            self._n_open = sum(item.n_open for item in self.step_runs.values())
        return self._n_open

    def _max_bytes(self) -> int:
        """Return an upper estimate of the length of the job's record."""
        if self._n_bytes is not None:
            return self._n_bytes + self.n_checkpoint_bytes
        n_bytes = BASE_BYTES + FINISHED_BYTES * len(self.finished)
        for step_run in self.step_runs.values():
            if step_run.is_open:
                n_bytes += _step_bytes(step_run.step.n_tasks)
                n_bytes += ROW_BYTES * step_run.n_open
        self._n_bytes = n_bytes
        return n_bytes + self.n_checkpoint_bytes

    def store_checkpoint(self, task: TaskState, checkpoint: str) -> None:
        """Keep a checkpoint of a task unless the record would become too long."""
        grown = _checkpoint_bytes(checkpoint) - _checkpoint_bytes(task.checkpoint)
        if grown > 0 and self._max_bytes() + grown > MAX_PROGRESS_BYTES:
            return  # the task continues from the earlier one
        task.checkpoint = checkpoint
        self.n_checkpoint_bytes += grown

    def upcoming_steps(self, wall: float) -> Iterator[tuple[int, int]]:
        """Yield the steps that wait only for tasks that are assigned or done."""
        for occurrence in range(self.job.n_occurrences):
            if self.job.due_at(occurrence) > wall:
                return
            for number, before in self._frontier(occurrence).behind:
                if all(self._is_fully_assigned(occurrence, item) for item in before):
                    yield occurrence, number

    def _frontier(self, occurrence: int) -> _Frontier:
        """Return the open steps of an occurrence; found anew once one is finished."""
        if occurrence not in self._frontiers:
            occurrence = NOT_BEGUN
        found = self._frontiers.get(occurrence)
        if found is None:
            found = self._frontiers[occurrence] = self._find_frontier(occurrence)
        return found

    def _find_frontier(self, occurrence: int) -> _Frontier:
        steps: list[int] = []
        behind: list[tuple[int, tuple[int, ...]]] = []
        is_open = [False] * len(self.job.steps)
        for number, step in enumerate(self.job.steps):
            if (occurrence, number) in self.finished:
                continue
            before = [
                earlier
                for earlier in step.after
                if (occurrence, earlier) not in self.finished
            ]
            if not before:
                steps.append(number)
                is_open[number] = True
            elif all(is_open[earlier] for earlier in before):
                behind.append((number, tuple(before)))
        return _Frontier(tuple(steps), tuple(behind))

    def _is_fully_assigned(self, occurrence: int, number: int) -> bool:
        step_run = self.step_runs.get((occurrence, number))
        return step_run is not None and not step_run.n_waiting

    def step_run(self, occurrence: int, number: int) -> StepRun:
        """Return the state of a step, created if missing."""
        step_run = self.step_runs.get((occurrence, number))
        if step_run is None:
            tasks = TaskStates(self.job.steps[number].n_tasks)
            step_run = StepRun(self.job, occurrence, number, tasks)
            self.step_runs[occurrence, number] = step_run
        return step_run

    @property
    def has_ended(self) -> bool:
        """Whether the job is completed or failed; runs of it may be present still."""
        return self.state is _COMPLETED or self.state is _FAILED

    def is_over(self) -> bool:
        """Return whether the job has ended and its final state can be journaled."""
        return self.has_ended or (self.cancelled and not self.n_assigned)

    def note_started(self) -> bool:
        """Note that a run has been present; return whether it is the job's first."""
        if self.state is not JobState.PENDING:
            return False
        self.state = JobState.RUNNING
        return True

    def task(self, key: TaskKey) -> TaskState | None:
        """Return the state of a task, None if its step is finished or unknown."""
        step_run = self.step_runs.get((key.occurrence, key.step))
        if step_run is None or not 0 <= key.task < step_run.tasks.n_tasks:
            return None
        return step_run.tasks[key.task]

    def assign(self, key: TaskKey, worker: str, incarnation: int, run: int) -> None:
        """Assign a task to a worker, on which its run may be present from now on."""
        step_run = self.step_runs[key.occurrence, key.step]
        task = step_run.tasks[key.task]
        self._n_open = self._n_bytes = None
        step_run.n_open += not task.run
        task.run, task.worker, task.incarnation = run, worker, incarnation
        task.still_percent, task.still_s = -1.0, 0.0
        step_run.n_assigned += 1
        self.n_assigned += 1

    def withdraw(self, key: TaskKey) -> None:
        """Take back an assignment that is not in the journal and was not sent."""
        self.unassign(key)
        step_run = self.step_runs[key.occurrence, key.step]
        task = step_run.tasks[key.task]
        task.run -= 1
        step_run.n_open -= not task.run
        self._n_open = self._n_bytes = None

    def set_crashes(
        self, task: TaskState, n_crashes: int, n_start_crashes: int
    ) -> None:
        """Set how many crashes of workers one of the tasks may have caused."""
        task.n_crashes, task.n_start_crashes = n_crashes, n_start_crashes
        self.has_crashes = True

    def unassign(self, key: TaskKey) -> None:
        """Release a task whose run is certainly not present on any worker."""
        step_run = self.step_runs[key.occurrence, key.step]
        task = step_run.tasks[key.task]
        task.worker, task.incarnation = "", 0
        step_run.n_assigned -= 1
        self.n_assigned -= 1

    def note_away(self, key: TaskKey, since: float, now: float) -> None:
        """Note that the run of an unassigned task was given up.

        Parameters
        ----------
        since : float, seconds
            Since when the task is away.

        Notes
        -----
        If no other task of its step waits, what they wait for is counted anew.
        """
        step_run = self.step_runs[key.occurrence, key.step]
        task = step_run.tasks[key.task]
        task.away_since, task.given_up_at = since, now
        if step_run.n_waiting <= 1:
            step_run.waits_for, step_run.advice_s, step_run.room_s = "", 0.0, 0.0
            step_run.wait = StepWait()

    def note_back(self, key: TaskKey) -> bool:
        """Note that the run of a task is present; return whether its record is stale.

        That is so if the journal says that the task is away.
        """
        step_run = self.step_runs[key.occurrence, key.step]
        task = step_run.tasks[key.task]
        was_away = task.away_since > 0
        task.away_since = task.given_up_at = 0.0
        return was_away and step_run.step.long_running

    def begin_idle(self, now: float, wall: float) -> None:
        """Count the time without a run from what is known when a term takes the job in.

        Between the times of a scheduled job no task waits, so it is not counted for
        these.

        Parameters
        ----------
        wall : float, seconds
            Wall-clock time.
        """
        if self.n_assigned or self.idle_since or self.job.n_times:
            return
        if self.step_runs:
            self.idle_since, self.idle_from = self.read_at or now, "record read"
            return
        self.idle_since = now - max(0.0, wall - self.job.accepted_at)
        self.idle_from = "accepted"

    def note_idle(self, now: float, ended_at: float) -> None:
        """Note that a run was released; the job is idle if it has no other one.

        Parameters
        ----------
        ended_at : float, seconds
            When it ended, or its worker stopped answering; 0 if it was never present.
        """
        self.ended_at = max(self.ended_at, ended_at)
        if self.n_assigned or self.idle_since or self.job.n_times:
            return
        self.idle_since, self.idle_from = self.ended_at or now, "last run"

    def note_running(self) -> None:
        """Note that a run is known to be present."""
        self.idle_since, self.idle_from = 0.0, ""

    def idle_fields(self, now: float) -> dict[str, Any]:
        """Return the fields of log lines and dumps about the time without a run."""
        if not self.idle_since:
            return {}
        return {
            "idle_s": round(now - self.idle_since, 3),
            "idle_from": self.idle_from,
        }

    def finish_task(self, key: TaskKey) -> bool:
        """Mark an unassigned task as done; return whether its step is now done."""
        step_run = self.step_runs[key.occurrence, key.step]
        task = step_run.tasks[key.task]
        if task.done:
            return False
        self._n_open = self._n_bytes = None
        step_run.n_open -= task.run > 0
        self.store_checkpoint(task, "")
        step_run.tasks.mark_done(key.task)
        if step_run.n_done < step_run.tasks.n_tasks:
            return False
        self.note_finished(key.occurrence, key.step)
        if len(self.finished) == self.job.n_occurrences * len(self.job.steps):
            self.state = JobState.COMPLETED
        return True

    def note_finished(self, occurrence: int, number: int) -> None:
        """Note that all tasks of a step are done."""
        self.finished.add((occurrence, number))
        self._frontiers[occurrence] = None

    def assigned(self) -> Iterator[tuple[TaskKey, TaskState]]:
        """Yield the tasks whose runs may be present on a worker."""
        for step_run in self.step_runs.values():
            if not step_run.n_assigned:
                continue
            for index, task in step_run.tasks.known():
                if task.worker:
                    yield step_run.key(index), task


def encode_progress(progress: Progress, now: float | None = None) -> bytes:
    """Return the JSON form of a job's progress.

    Parameters
    ----------
    now : float, seconds
        From which on the record counts the absences of tasks that last and the time
        without a run; None leaves them out.
    """
    if progress.is_over():
        state = progress.state if progress.has_ended else JobState.CANCELLED
        return orjson.dumps({"state": state})
    # Every VM reads each record, so records are kept small: each worker is listed once
    # and referred to by index, and the trailing defaults of a row are left out.
    workers: dict[tuple[str, int], int] = {("", 0): 0}
    steps = _step_rows(progress, workers)
    data: dict[str, Any] = {
        # Builds without `unstarted` take a job with an assigned task for running.
        "state": JobState.RUNNING,
        "workers": list(workers),
        "steps": steps,
    }
    if progress.state is JobState.PENDING:
        data["unstarted"] = progress.n_assigned
    crashes = crash_rows(progress)
    if crashes:
        data["crashes"] = crashes  # a key of its own: older builds ignore it
    away = away_rows(progress, now) if now is not None else []
    if away:
        data["away"] = away
    if now is not None and 0 < progress.idle_since <= now:
        idle_ms = int((now - progress.idle_since) * 1000)
        data["idle"] = min(MAX_AWAY_MS, idle_ms)
    still = _still_rows(progress)
    if still:
        data["still"] = still
    return orjson.dumps(data)


def _step_rows(
    progress: Progress, workers: dict[tuple[str, int], int]
) -> list[list[Any]]:
    """Return the steps that have begun; number the workers that they refer to."""
    steps: list[list[Any]] = []
    for (occurrence, number), step_run in progress.step_runs.items():
        if (occurrence, number) in progress.finished and not step_run.n_assigned:
            steps.append([occurrence, number])
            continue
        done_indexes = step_run.tasks.done_indexes()
        done: list[int] | str = done_indexes
        if step_run.tasks.n_tasks > MAX_LISTED_TASKS:
            done = _encode_bits(done_indexes, step_run.tasks.n_tasks)
        rows = []
        for index, task in step_run.tasks.known():
            if not task.run or (task.done and not task.worker):
                continue
            where = workers.setdefault((task.worker, task.incarnation), len(workers))
            row: list[Any] = [index, task.run, where]
            if task.n_failed or task.failed_run or task.checkpoint:
                row += [task.n_failed, task.failed_run, task.checkpoint]
            rows.append(row)
        if step_run.n_done or rows:
            steps.append([occurrence, number, done, rows])
    return steps


def min_record_bytes(job: Job) -> int:
    """Return the least length that the record of a job must be allowed to have.

    That is enough for one task at a time, and for all tasks of a gang.
    """
    n_steps = job.n_occurrences * len(job.steps)
    rows = max(
        _step_bytes(step.n_tasks) + ROW_BYTES * (step.n_tasks if step.gang else 1)
        for step in job.steps
    )
    return BASE_BYTES + FINISHED_BYTES * n_steps + rows


def least_open(job: Job) -> int:
    """Return the least number of open tasks with which a job can go on.

    That is one task, or all tasks of its largest gang.
    """
    return max([1, *(step.n_tasks for step in job.steps if step.gang)])


def _step_bytes(n_tasks: int) -> int:
    """Return the longest form of a step without the rows of its tasks."""
    n_done_bytes = INDEX_BYTES * n_tasks
    if n_tasks > MAX_LISTED_TASKS:
        n_done_bytes = n_tasks // 6 + INDEX_BYTES  # six bits a character
    return FINISHED_BYTES + n_done_bytes


def _checkpoint_bytes(checkpoint: str) -> int:
    return len(orjson.dumps(checkpoint)) if checkpoint else 0


def _encode_bits(indexes: Iterable[int], n_bits: int) -> str:
    bits = bytearray(n_bits // 8 + 1)
    for index in indexes:
        bits[index // 8] |= 1 << index % 8
    return base64.b64encode(bits).decode()


def _decode_bits(text: str, n_bits: int) -> list[int]:
    """Return the indexes of the bits that are set.

    Raises
    ------
    ProtocolError
        If the text is malformed.
    """
    try:
        bits = base64.b64decode(text, validate=True)
    except ValueError as exc:
        raise ProtocolError(f"done: {exc}", step="progress") from exc
    if len(bits) != n_bits // 8 + 1:
        raise ProtocolError("done: wrong length", step="progress")
    return [index for index in range(n_bits) if bits[index // 8] >> index % 8 & 1]


def crash_rows(progress: Progress) -> list[list[int]]:
    """Return the tasks that may have crashed workers.

    Returns
    -------
    rows : list of [occurrence, step, task, n_crashes, n_start_crashes]
        One row for each task that is not done.
    """
    if not progress.has_crashes:
        return []
    return [
        [*step_run.key(index)[1:], task.n_crashes, task.n_start_crashes]
        for step_run in progress.step_runs.values()
        for index, task in step_run.tasks.known()
        if task.n_crashes and not task.done
    ]


def away_rows(progress: Progress, now: float) -> list[list[int]]:
    """Return the tasks that last and are away.

    A task that was assigned again is listed until its new run is known to be present.

    Returns
    -------
    rows : list of [occurrence, step, task, away_ms]
        With the time since the last run ended or its worker stopped answering.
    """
    return [
        [*step_run.key(index)[1:], min(MAX_AWAY_MS, int((now - since) * 1000))]
        for step_run in progress.step_runs.values()
        if step_run.step.long_running
        for index, task in step_run.tasks.known()
        if task.run and not task.done and 0 < (since := task.away_since) <= now
    ]


def _still_rows(progress: Progress) -> list[list[float]]:
    """Return the runs whose newest report has not shown more progress.

    Returns
    -------
    rows : list of [occurrence, step, task, percent, still_s]
        The share is not rounded, since a report that shows more than it ends the time
        without progress.
    """
    return [
        [
            *step_run.key(index)[1:],
            task.still_percent,
            min(int(task.still_s * 100) / 100, MAX_COUNT),
        ]
        for step_run in progress.step_runs.values()
        if step_run.n_assigned
        for index, task in step_run.tasks.known()
        if task.worker and task.still_percent >= 0
    ]


_Number = Annotated[int, Field(ge=0, le=MAX_COUNT)]
_Percent = Annotated[float, Field(ge=0, le=ALL_DONE_PERCENT)]
_Seconds = Annotated[float, Field(ge=0, le=MAX_COUNT)]
_Incarnation = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
# Task, run and index of its worker; with failures, the failed runs and a checkpoint.
_Row = Annotated[
    tuple[_Number, _Number, _Number]
    | tuple[_Number, _Number, _Number, _Number, _Number, str],
    Field(union_mode="left_to_right"),
]
# Occurrence and step; unless all is done, the tasks that are done and the others.
# In a step of many tasks, the tasks that are done are bits.
_StepRow = Annotated[
    tuple[_Number, _Number]
    | tuple[_Number, _Number, tuple[_Number, ...] | str, tuple[_Row, ...]],
    Field(union_mode="left_to_right"),
]


class _ProgressBody(Message):
    state: Annotated[JobState, Field(strict=False)]
    workers: tuple[tuple[str, _Incarnation], ...] = ()
    steps: tuple[_StepRow, ...] = ()
    crashes: tuple[tuple[_Number, _Number, _Number, _Number, _Number], ...] = ()
    away: tuple[tuple[_Number, _Number, _Number, _Number], ...] = ()
    still: tuple[tuple[_Number, _Number, _Number, _Percent, _Seconds], ...] = ()
    idle: _Number | None = None
    # Number of assigned tasks as long as no run of the job is known to have started.
    unstarted: _Number | None = None


class JobStatus(NamedTuple):
    """What the progress of a job says to VMs other than its placer.

    Parameters
    ----------
    state : JobState
        State shown to callers.
    is_placed : bool
        Whether a task has started, or is assigned to a worker that may start it.
    """

    state: JobState
    is_placed: bool


def decode_job_status(value: bytes) -> JobStatus:
    """Return the status of a job for the JSON form of its progress.

    Every VM reads each record, so the rest of it is not checked.

    Raises
    ------
    ProtocolError
        If it has no valid state, or no valid number of assigned tasks.
    """
    data = load_json(value, step="progress")
    try:
        state, n_unstarted = JobState(data["state"]), data.get("unstarted")
    except (KeyError, TypeError, ValueError) as exc:
        raise ProtocolError(f"state: {exc}", step="progress") from exc
    if n_unstarted is not None and (type(n_unstarted) is not int or n_unstarted < 0):
        raise ProtocolError("unstarted: not a number of tasks", step="progress")
    state = _shown_state(state, n_unstarted)
    return JobStatus(state, state is not JobState.PENDING or bool(n_unstarted))


def _shown_state(state: JobState, n_unstarted: int | None) -> JobState:
    """Return the state shown for that of a record."""
    if state is JobState.RUNNING and n_unstarted is not None:
        return JobState.PENDING
    return state


def decode_progress(job: Job, value: bytes, read_at: float | None = None) -> Progress:
    """Return the progress of a job for its JSON form.

    Parameters
    ----------
    read_at : float, seconds
        When the record was read; absences in it and the time without a run count from
        then, later than they were written. None leaves them out.

    Raises
    ------
    ProtocolError, IndexError
        If a field is missing, malformed or out of range, or names an unknown step,
        task or worker.
    """
    data = validate_json(_ProgressBody, value, step="progress", peer=job.job_id)
    progress = Progress(job, _shown_state(data.state, data.unstarted))
    step_rows: tuple[Any, ...] = data.steps
    for occurrence, number, *rest in step_rows:
        _check_unseen(progress, occurrence, number)
        step_run = progress.step_run(occurrence, number)
        if rest:
            _decode_tasks(progress, step_run, *rest, workers=data.workers)
        else:
            step_run.tasks.mark_all_done()
        if step_run.n_done == step_run.tasks.n_tasks:
            progress.note_finished(occurrence, number)
    for occurrence, number, index, n_crashes, n_start_crashes in data.crashes:
        task = progress.step_run(occurrence, number).tasks[index]
        progress.set_crashes(task, n_crashes, n_start_crashes)
        task.start_exposure_s = math.inf if task.n_start_crashes else 0.0
    if read_at is not None:
        _decode_times(progress, data, read_at)
    for occurrence, number, index, percent, still_s in data.still:
        task = progress.step_run(occurrence, number).tasks[index]
        task.still_percent, task.still_s = percent, still_s
    return progress


def _decode_tasks(
    progress: Progress,
    step_run: StepRun,
    done: Iterable[int] | str,
    rows: Iterable[Any],
    *,
    workers: Sequence[tuple[str, int]],
) -> None:
    """Decode the tasks of a step that is not finished.

    Parameters
    ----------
    done : iterable of int, or str
        Indexes of the tasks that are done, or the form that has them as bits.
    workers : sequence of (str, int)
        Workers that the rows refer to.
    """
    tasks = step_run.tasks
    for index, run, where, *failures in rows:
        task = tasks[index]
        if task.run:
            raise ProtocolError("task listed twice", step="progress")
        task.run = run
        task.worker, task.incarnation = workers[where]
        if failures:
            task.n_failed, task.failed_run, task.checkpoint = failures
            progress.n_checkpoint_bytes += _checkpoint_bytes(task.checkpoint)
        if task.worker:
            step_run.n_assigned += 1
            progress.n_assigned += 1
    if isinstance(done, str):
        done = _decode_bits(done, tasks.n_tasks)
    for index in done:
        tasks.mark_done(index)
    step_run.n_open = sum(not tasks.is_done(row[0]) for row in rows)


def _decode_times(progress: Progress, data: _ProgressBody, read_at: float) -> None:
    """Decode since when tasks that last are away, and the job has had no run."""
    for occurrence, number, index, away_ms in data.away:
        task = progress.step_run(occurrence, number).tasks[index]
        task.away_since = read_at - away_ms / 1000
    if data.idle is not None:
        progress.idle_since = read_at - data.idle / 1000
        progress.idle_from = "earlier term"


def _check_unseen(progress: Progress, occurrence: int, number: int) -> None:
    if occurrence >= progress.job.n_occurrences:
        raise ProtocolError("unknown occurrence", step="progress")
    if (occurrence, number) in progress.step_runs:
        raise ProtocolError("step listed twice", step="progress")
