"""Data classes of jobs, queues and workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..model import Resources


class JobState(StrEnum):
    """What has become of a job, as told to its caller."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Outcome(StrEnum):
    """Outcome of a call by a caller."""

    OK = "ok"
    UNKNOWN_JOB = "unknown_job"
    # Certainly not done, and never will be.
    NOT_DONE = "not_done"
    # It may have been done; the same call may be repeated.
    UNCERTAIN = "uncertain"


class TaskKey(NamedTuple):
    """Identity of a task: job, occurrence, step and number within the step."""

    job_id: str
    occurrence: int
    step: int
    task: int


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind within a job.

    Parameters
    ----------
    n_tasks : int
        Number of tasks.
    need : Resources
        What each task takes on a worker.
    run_time_s : float, seconds
        Declared run time of a task; a rough estimate.
    after : tuple of int
        Steps whose tasks must all be done first.
    checkpoints : bool
        Whether an interrupted task can continue from a checkpoint.
    gang : bool
        Whether the tasks work only while all of them run.
    same_rack : bool
        Whether the tasks run slower on more than one rack.
    required_label : str
        Label that the worker must have; empty for none.
    near_rack : str
        Rack of the input data; tasks run slower elsewhere. Empty for none.
    max_per_worker : int
        Most tasks of the step on one worker; 0 for no bound.
    speculative : bool
        Whether copies of a task may run in parallel.
    long_running : bool
        Whether tasks run until the job is cancelled and are restarted when they end.
    may_miss : int
        Tasks of a long-running step that may be away through the placer's own actions.
    fills : bool
        Whether the tasks use only capacity that other tasks leave unused.
    """

    n_tasks: int
    need: Resources
    run_time_s: float
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    near_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    may_miss: int = 0
    fills: bool = False


@dataclass(frozen=True, slots=True)
class Job:
    """A validated job.

    Parameters
    ----------
    job_id : str
        Identity chosen by the caller; it is the idempotency key.
    queue : str
        Name of the queue that it was submitted to.
    payload : str
        Passed on to each task as it is.
    steps : tuple of Step
        Steps in the order of their numbers.
    accepted_at : float, seconds
        Wall-clock time at which an entry VM received it.
    n_times : int
        Occurrences of a scheduled job; 0 for a job that runs once, at once.
    first_due_at : float, seconds
        Wall-clock time at which the first occurrence is due.
    period_s : float, seconds
        Time between occurrences.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float
    n_times: int = 0
    first_due_at: float = 0.0
    period_s: float = 0.0

    @property
    def n_occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.n_times)

    def due_at(self, occurrence: int) -> float:
        """Return the wall-clock time from which an occurrence may start."""
        if not self.n_times:
            return 0.0
        return self.first_due_at + occurrence * self.period_s


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """What a call for placement advice costs and how long its tickets hold.

    Parameters
    ----------
    decide_s : float, seconds
        Fixed part of a call.
    per_worker_s : float, seconds
        Additional time for each worker named.
    valid_s : float, seconds
        Life of a ticket.
    """

    decide_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers submit jobs, and how its jobs are run.

    Parameters
    ----------
    name : str
        Name, unique among queues.
    host, path_prefix : str
        Requests with this host and path prefix belong to the queue.
    pool : str
        Pool of workers that run its jobs.
    priority : int
        0 comes first.
    max_attempts : int
        A job fails when a task, or a gang, has failed so often.
    stretch : float
        Objective of a job in multiples of its longest chain of work.
    target_s : float, seconds
        Added to the objective.
    advice : AdviceTerms or None
        Set where placement needs tickets.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_s: float
    advice: AdviceTerms | None = None


@dataclass(frozen=True, slots=True)
class QueueTable:
    """All queues of one version of the configuration."""

    version: int = 0
    queues: dict[str, Queue] = field(default_factory=dict)
    max_body_bytes: int = 1 << 18

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of the longest matching prefix, if there is one."""
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker as it registered itself.

    Parameters
    ----------
    worker_id : str
        Identity of the worker.
    incarnation : int, milliseconds since the epoch
        Start time of the worker process; a restarted worker has no state of earlier
        incarnations.
    pool : str
        Pool that it belongs to.
    address : str
        ``"host:port"`` of its HTTP interface.
    failure_domain : str
        Where it stands.
    labels : tuple of str
        Labels, its rack among them.
    capacity : Resources
        What its tasks may take in total.
    draining : bool
        Whether it is about to leave.
    drain_left_s : float, seconds
        Least time that it stays while draining.
    """

    worker_id: str
    incarnation: int
    pool: str
    address: str
    failure_domain: str
    labels: tuple[str, ...]
    capacity: Resources
    draining: bool = False
    drain_left_s: float = 0.0


class EndKind(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Run that a worker lists as running.

    Parameters
    ----------
    checkpoint : str
        Newest checkpoint; empty if there is none.
    percent : float
        Share of the work that is done, 0 to 100.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: float


@dataclass(frozen=True, slots=True)
class EndedTask:
    """Run that a worker lists as ended; `number` increases within an incarnation."""

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to a renewal of its leases.

    Parameters
    ----------
    clock_ms : int, milliseconds
        Steady clock of the worker when it answered.
    incarnation : int
        Incarnation that answered; 0 if the answer does not name it.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class StartResult(StrEnum):
    """Outcome of a start call."""

    STARTED = "started"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other_life"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """One start call.

    Parameters
    ----------
    lease_until_ms : int, milliseconds
        Time on the worker's clock until which the worker's leases hold.
    fencing_token : int
        Fencing token.
    ticket : str
        Ticket of the placement advice; empty if none is needed.
    """

    worker_id: str
    address: str
    key: TaskKey
    run: int
    payload: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""
