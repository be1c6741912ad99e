"""Data classes of jobs, queues and workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model import Resources
    from .teamkeys import KeyTable


@dataclass(frozen=True, slots=True)
class Team:
    """Team on whose behalf callers submit jobs.

    Parameters
    ----------
    name : str
        Name, unique among teams.
    weight : float
        Share relative to the other teams when not everything can run; also the number
        of jobs a second up to which the team has a claim to be served.
    cap : Resources
        Most resources that the team's runs may hold over all workers; an amount of 0
        is no limit.
    """

    name: str
    weight: float
    cap: Resources


class JobState(StrEnum):
    """State of a job, as shown to its caller."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Outcome(StrEnum):
    """Outcome of a caller's call."""

    OK = "ok"
    UNKNOWN_JOB = "unknown_job"
    # The call had no effect and never will.
    NOT_DONE = "not_done"
    # The job was not accepted and never runs; it may be submitted again later.
    REFUSED = "refused"
    # The call may have taken effect; it is safe to repeat it.
    UNCERTAIN = "uncertain"


class TaskKey(NamedTuple):
    """Identity of a task: job, occurrence, step and number within the step."""

    job_id: str
    occurrence: int
    step: int
    task: int

    @property
    def step_name(self) -> str:
        """Name of the task's step, unique among all jobs."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind within a job.

    Parameters
    ----------
    n_tasks : int
        Number of tasks.
    need : Resources
        Resources that each task uses on a worker.
    run_time_s : float, seconds
        Declared run time of a task; a rough estimate.
    after : tuple of int
        Numbers of the steps that must be done first, each once and in order.
    checkpoints : bool
        Whether an interrupted task can continue from a checkpoint.
    gang : bool
        Whether the tasks must all run at the same time.
    same_rack : bool
        Whether the tasks run slower if they are spread over several racks.
    required_label : str
        Label that the worker must have; empty for none.
    near_rack : str
        Rack of the input data; tasks run slower elsewhere. Empty for none.
    max_per_worker : int
        Most tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    long_running : bool
        Whether the tasks run until the job is cancelled and are restarted if they end.
    may_miss : int
        Number of tasks of a long-running step that may be down at a time through the
        placer's own actions.
    fills : bool
        Whether the tasks run only on capacity that other tasks leave unused.
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

    def __post_init__(self) -> None:
        if len(self.after) > 1:
            object.__setattr__(self, "after", tuple(sorted(set(self.after))))


@dataclass(frozen=True, slots=True)
class Job:
    """A validated job.

    Parameters
    ----------
    job_id : str
        Identity chosen by the caller, which serves as the idempotency key.
    queue : str
        Name of the queue that it was submitted to.
    payload : str
        Passed unchanged to each task.
    steps : tuple of Step
        Steps in the order of their numbers.
    accepted_at : float, seconds
        Wall-clock time at which an entry VM received it.
    n_times : int
        Number of occurrences of a scheduled job; 0 for a job that runs once, at once.
    first_due_at : float, seconds
        Wall-clock time at which the first occurrence is due.
    period_s : float, seconds
        Time between occurrences.
    definition : Queue or None
        The queue as it was when the job was accepted, by which the job goes on if the
        queue is removed; None if an earlier build accepted the job.
    team : Team or None
        The team as it was when the job was accepted, for good; its newest weight and
        cap are in the configuration. None where the configuration has no teams.
    paths : dict
        Results of `path_lengths` by the run times of the steps: they take a walk over
        the whole graph, and each decision needs them.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float
    n_times: int = 0
    first_due_at: float = 0.0
    period_s: float = 0.0
    definition: Queue | None = None
    team: Team | None = None
    paths: dict[tuple[float, ...], tuple[float, ...]] = field(
        default_factory=dict, init=False, compare=False, repr=False
    )

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
    """Cost of a call for placement advice and validity of its tickets.

    Parameters
    ----------
    decide_s : float, seconds
        Fixed time of a call.
    per_worker_s : float, seconds
        Additional time for each worker named.
    valid_s : float, seconds
        Validity of a ticket.
    """

    decide_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue to which callers submit jobs, with the rules for running them.

    Parameters
    ----------
    name : str
        Name, unique among queues.
    host, path_prefix : str
        Requests with this host and path prefix belong to the queue.
    pool : str
        Pool of workers that run its jobs.
    priority : int
        0 is the highest.
    max_attempts : int
        A job fails once a task, or a gang, has failed this many times.
    stretch : float
        Multiple of a job's critical path in its objective.
    target_s : float, seconds
        Constant part of a job's objective.
    advice : AdviceTerms or None
        Set if placement needs tickets.
    public : bool
        Whether callers need no key of a team.
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
    public: bool = False


class _HostIndex(NamedTuple):
    """Queues of one host.

    Parameters
    ----------
    lengths : tuple of int
        Lengths of their path prefixes, the longest first.
    queues : dict of str to Queue
        Queues by path prefix.
    """

    lengths: tuple[int, ...]
    queues: dict[str, Queue]


def _index_by_host(queues: Iterable[Queue]) -> dict[str, _HostIndex]:
    by_host: dict[str, dict[str, Queue]] = {}
    for queue in queues:
        # Of queues with the same host and prefix, the first one counts.
        by_host.setdefault(queue.host, {}).setdefault(queue.path_prefix, queue)
    return {
        host: _HostIndex(tuple(sorted({len(it) for it in found}, reverse=True)), found)
        for host, found in by_host.items()
    }


@dataclass(frozen=True, slots=True)
class QueueTable:
    """All queues and teams of one version of the configuration.

    Parameters
    ----------
    teams : dict of str to Team, or None
        Teams by name; None if the configuration has none, so that callers need no keys.
    keys : KeyTable or None
        Keys of the teams; in one object with them, so that both change at once.
    urgent_pools, patient_pools : frozenset of str
        Pools of the queues of priority 0, and of the others. They are collected once,
        since each decision needs them and a configuration may have thousands of queues.
    """

    version: int = 0
    queues: dict[str, Queue] = field(default_factory=dict)
    max_body_bytes: int = 1 << 18
    teams: dict[str, Team] | None = None
    keys: KeyTable | None = field(default=None, repr=False, compare=False)
    urgent_pools: frozenset[str] = field(init=False, repr=False, compare=False)
    patient_pools: frozenset[str] = field(init=False, repr=False, compare=False)
    _by_host: dict[str, _HostIndex] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        queues = self.queues.values()
        urgent = frozenset(queue.pool for queue in queues if queue.priority == 0)
        patient = frozenset(queue.pool for queue in queues if queue.priority > 0)
        object.__setattr__(self, "urgent_pools", urgent)
        object.__setattr__(self, "patient_pools", patient)
        object.__setattr__(self, "_by_host", _index_by_host(queues))

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix, None if none matches."""
        index = self._by_host.get(host)
        if index is None:
            return None
        found = (index.queues.get(path[:length]) for length in index.lengths)
        return next((queue for queue in found if queue is not None), None)

    def team(self, job: Job) -> Team | None:
        """Return the team of a job; as the job was accepted if it was removed."""
        if job.team is None or self.teams is None:
            return job.team
        return self.teams.get(job.team.name, job.team)


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Registration of a worker.

    Parameters
    ----------
    worker_id : str
        Identity of the worker.
    incarnation : int, milliseconds since the epoch
        Start time of the worker process; a restarted worker has no state of earlier
        incarnations.
    pool : str
        Pool to which it belongs.
    address : str
        ``"host:port"`` of its HTTP interface.
    failure_domain : str
        Failure domain in which it runs.
    labels : tuple of str
        Labels, its rack among them.
    capacity : Resources
        Resources for all of its tasks together.
    draining : bool
        Whether it accepts no new runs because it is about to leave.
    drain_left_s : float, seconds
        Least time for which a draining worker stays.
    drain_read_at : float, seconds
        When this VM first read that time, on the monotonic clock.
    suspended : bool
        Whether a later registration cannot be used, so that nothing is started there.
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
    drain_read_at: float = 0.0
    suspended: bool = False

    @property
    def stays_until(self) -> float:
        """Time before which a draining worker does not exit."""
        return self.drain_read_at + self.drain_left_s


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
    """Run that a worker reports as running.

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
    """Run that a worker reports as ended; `number` increases within an incarnation."""

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
        Reading of the worker's monotonic clock when it answered.
    incarnation : int
        Incarnation that answered; 0 if the answer does not name it.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class StartResult(StrEnum):
    """Result of a start call."""

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
class StartReply:
    """Answer of a worker to a start call.

    Parameters
    ----------
    clock_ms : int, milliseconds
        Reading of the worker's monotonic clock when it answered; 0 without an answer.
    incarnation : int
        Incarnation that answered; 0 if the answer does not name it.
    """

    result: StartResult
    clock_ms: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start call to send to a worker.

    Parameters
    ----------
    lease_until_ms : int, milliseconds
        Time on the worker's clock until which its leases are valid.
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
