"""Data classes for the workers, requests and tasks of a shard."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, RequestKind, Resources

if TYPE_CHECKING:
    from ..model import Request
    from ..platform.worker import TaskResult


class Phase(StrEnum):
    """Phase of the life cycle of a task."""

    HELD = "held"  # an earlier placer may have started it; unresolved
    QUEUED = "queued"
    RECORDING = "recording"  # its started record is being appended to the log
    STARTING = "starting"  # the start call is in flight
    UNCERTAIN = "uncertain"  # the start call may have taken effect
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


# Phases in which the task occupies its worker. Unconfirmed starts count, since a
# worker must never be overcommitted.
OCCUPYING = frozenset(
    {
        Phase.RECORDING,
        Phase.STARTING,
        Phase.UNCERTAIN,
        Phase.RUNNING,
        Phase.STOPPING,
    }
)


class Ran(IntEnum):
    """Whether a task has ever run."""

    NEVER = 0  # provably not
    MAYBE = 1  # an earlier placer may have started it
    YES = 2


@dataclass(eq=False, slots=True)
class TaskState:
    """One task of a request.

    Parameters
    ----------
    owner : RequestState
        Request that it belongs to.
    epoch : int
        Lease epoch under which it was started.
    incarnation : str
        Incarnation of the worker on which it was started.
    prior : int
        Offset of its valid started record; -1 for none.
    n_tries : int
        Number of failed starts.
    remaining_s : float, seconds
        Remaining declared run time; less than the request's after a checkpoint.
    phase_at : float, seconds
        Monotonic time of the last phase change.
    failed_on : tuple of str
        Workers on which it failed.
    not_before : float, seconds
        Monotonic time before which it is not retried.
    verb : str
        Control call that stops it: stop or checkpoint.
    verb_at : float, seconds
        Monotonic time of the last such call.
    placed_because : str
        Why its worker was chosen.
    rack : str
        Rack on which it is counted.
    start_number : int
        Number of its current start call.
    n_crashes, n_blamed : int
        Crashes of workers that it may have caused, and those at its start of which
        nothing else was suspected.
    n_early_restarts : int
        Restarts of a check before it was known what happened to its worker.
    """

    task_id: str
    owner: RequestState
    index: int
    need: Resources
    remaining_s: float
    phase: Phase = Phase.QUEUED
    phase_at: float = 0.0
    worker_id: str = ""
    epoch: int = 0
    incarnation: str = ""
    prior: int = -1
    n_tries: int = 0
    result: TaskResult | None = None
    ran: Ran = Ran.NEVER
    failed_on: tuple[str, ...] = ()
    not_before: float = 0.0
    verb: str = ""
    verb_at: float = 0.0
    n_preempted: int = 0
    placed_because: str = ""
    rack: str = ""
    start_number: int = 0
    n_crashes: int = 0
    n_blamed: int = 0
    n_early_restarts: int = 0

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.owner.request.request_id


@dataclass(eq=False, slots=True)
class RequestState:
    """One request that the placer is responsible for.

    Parameters
    ----------
    ready : deque of TaskState
        Queued tasks that may start now; the others wait for their retry delay.
    n_open : int
        Number of tasks that have not ended.
    finished : bool
        Whether the final answer has been given.
    ended : bool
        Whether the log holds the final answer; tasks that still run are stopped.
    unknown : str
        Why the outcome of one of its tasks can no longer be determined.
    waits_for : str
        Why none of its tasks could be placed at the last attempt.
    racks : Counter of str
        Number of its tasks on each rack.
    results_at : list of tuple
        Workers and sequence numbers of the results that they keep for it.
    regrouping : bool
        Whether the tasks of a gang are being stopped to restart together.
    """

    request: Request
    tasks: list[TaskState]
    accepted_at: float
    cancelled: bool = False
    finished: bool = False
    ended: bool = False
    expired: bool = False
    detail: str = ""
    unknown: str = ""
    waits_for: str = ""
    ready: deque[TaskState] = field(default_factory=deque)
    n_open: int = 0
    racks: Counter[str] = field(default_factory=Counter)
    results_at: list[tuple[str, int]] = field(default_factory=list)
    regrouping: bool = False
    preempt_again_at: float = 0.0
    waiting_since: float = 0.0

    @property
    def kind(self) -> RequestKind:
        """Kind of the request."""
        return self.request.kind

    @property
    def over(self) -> bool:
        """Whether none of its tasks may start any more."""
        return self.cancelled or self.finished or self.ended

    @property
    def never_started(self) -> bool:
        """Whether certainly none of its tasks has ever started."""
        return all(
            task.ran is Ran.NEVER and task.phase in {Phase.QUEUED, Phase.ENDED}
            for task in self.tasks
        )


@dataclass(eq=False, slots=True)
class StartCall:
    """Start call of a task that is counted on a worker.

    Parameters
    ----------
    epoch : int
        Epoch that the call carried.
    confirmed_at : float, seconds
        Monotonic time at which the start was known to have taken effect;
        infinite before. Only a list that was requested later, or under a newer
        epoch, proves by omitting the task that it is gone.
    """

    epoch: int
    confirmed_at: float = float("inf")


@dataclass(eq=False, slots=True)
class WorkerState:
    """One worker under this placer's lease.

    Parameters
    ----------
    used : Resources
        Sum of the needs of all tasks that may be running.
    needs : dict of str to Resources
        Need of each of those tasks, by task id.
    start_calls : dict of str to StartCall
        Start call of each of those tasks.
    tasks : dict of str to TaskState
        Tasks of known requests that are believed to be on this worker.
    excess : Resources
        Measured usage beyond the declared needs.
    unsettled : dict of int to str
        Results whose request has no recorded final answer: seq to request id.
    early_results : dict of int to str
        Results that arrived before the list that includes them: seq to task id.
    listed_seq : int
        Last result covered by the lists that were processed.
    """

    worker_id: str
    capacity: Resources
    rack: str
    failure_domain: str
    speed: float
    epoch: int
    incarnation: str
    held: bool = True
    leaving: bool = False
    ejected: bool = False
    used: Resources = NO_RESOURCES
    needs: dict[str, Resources] = field(default_factory=dict)
    start_calls: dict[str, StartCall] = field(default_factory=dict)
    tasks: dict[str, TaskState] = field(default_factory=dict)
    excess: Resources = NO_RESOURCES
    unsettled: dict[int, str] = field(default_factory=dict)
    early_results: dict[int, str] = field(default_factory=dict)
    listed_seq: int = 0
    last_seq: int = 0
    reported_at: float = float("-inf")
    usage_cores: float = 0.0
    usage_memory_mb: float = 0.0

    @property
    def free(self) -> Resources:
        """Free resources by the declared needs."""
        return self.capacity - self.used

    @property
    def usable(self) -> bool:
        """Whether new work may be placed here."""
        return self.held and not self.leaving and not self.ejected

    def reserve(self, task_id: str, need: Resources, epoch: int = 0) -> None:
        """Count a task; a repeated call replaces the earlier need."""
        self.free_task(task_id)
        self.needs[task_id] = need
        self.start_calls[task_id] = StartCall(epoch or self.epoch)
        self.used = self.used + need

    def confirm(self, task_id: str, now: float) -> None:
        """Record that the start of a task has taken effect."""
        start_call = self.start_calls.get(task_id)
        if start_call is not None:
            start_call.confirmed_at = min(start_call.confirmed_at, now)

    def proves_gone(self, task_id: str, epoch: int, sent_at: float) -> bool:
        """Return whether a list that omits the task proves that it is gone.

        Parameters
        ----------
        epoch : int
            Epoch of the list.
        sent_at : float, seconds
            Monotonic time before the list was requested.
        """
        start_call = self.start_calls.get(task_id)
        return (
            start_call is None
            or start_call.epoch < epoch
            or start_call.confirmed_at < sent_at
        )

    def free_task(self, task_id: str) -> None:
        """Stop counting a task; unknown tasks are ignored."""
        need = self.needs.pop(task_id, None)
        if need is None:
            return
        self.start_calls.pop(task_id, None)
        # Restarts from zero when empty, so that rounding errors do not accumulate.
        self.used = self.used - need if self.needs else NO_RESOURCES

    def record_result(self, seq: int, task_id: str) -> bool:
        """Record a result; return whether it is new."""
        self.last_seq = max(self.last_seq, seq)
        if seq <= self.listed_seq or seq in self.early_results:
            return False
        self.early_results[seq] = task_id
        return True

    def mark_listed(self, seq: int) -> None:
        """Record that the worker's results up to ``seq`` have been processed."""
        self.last_seq = max(self.last_seq, seq)
        self.listed_seq = max(self.listed_seq, seq)
        for key in [key for key in self.early_results if key <= seq]:
            del self.early_results[key]

    @property
    def ack_seq(self) -> int:
        """Sequence number up to which the worker may drop its results."""
        if not self.unsettled:
            return self.last_seq
        return min(self.unsettled) - 1


def make_request_state(request: Request, now: float) -> RequestState:
    """Return the state of a newly accepted request.

    Parameters
    ----------
    request : Request
        The accepted request.
    now : float, seconds
        Monotonic time.
    """
    state = RequestState(request, [], now, waiting_since=now)
    state.tasks = [
        TaskState(
            request.task_id(index),
            state,
            index,
            request.need,
            request.run_time_s,
            phase_at=now,
        )
        for index in range(request.n_tasks)
    ]
    state.n_open = len(state.tasks)
    return state
