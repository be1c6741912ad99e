"""State of a placer: workers, requests and tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, RequestKind, Resources

if TYPE_CHECKING:
    from ..model import Request
    from ..platform.worker import TaskResult


class Phase(StrEnum):
    """Where a task is on its way."""

    HELD = "held"  # an earlier placer may have started it; not yet known
    QUEUED = "queued"
    RECORDING = "recording"  # its started record is on the way to the log
    STARTING = "starting"  # the start call is in flight
    UNCERTAIN = "uncertain"  # the start call may have taken effect
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


# Phases in which the task occupies its worker. Unconfirmed starts count, since a
# worker must never be given more than it can hold.
OCCUPYING = frozenset(
    {
        Phase.RECORDING,
        Phase.STARTING,
        Phase.UNCERTAIN,
        Phase.RUNNING,
        Phase.STOPPING,
    }
)


@dataclass(eq=False, slots=True)
class TaskState:
    """One task of a request.

    Parameters
    ----------
    epoch : int
        Lease epoch under which it was started.
    incarnation : str
        Life of the worker on which it was started.
    prior : int
        Offset of its valid started record; -1 for none.
    n_tries : int
        Number of starts that failed.
    remaining_s : float, seconds
        Declared run time left; less than the request's after a checkpoint.
    phase_at : float, seconds
        Monotonic time of the last change of phase.
    """

    task_id: str
    request_id: str
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


@dataclass(eq=False, slots=True)
class RequestState:
    """One request that the placer is responsible for."""

    request: Request
    tasks: list[TaskState]
    accepted_at: float
    cancelled: bool = False
    finished: bool = False
    detail: str = ""

    @property
    def kind(self) -> RequestKind:
        """Kind of the request."""
        return self.request.kind

    @property
    def untouched(self) -> bool:
        """Whether certainly none of its tasks has ever started."""
        return all(
            task.phase is Phase.QUEUED
            and task.n_tries == 0
            and task.remaining_s == self.request.run_time_s
            for task in self.tasks
        )


@dataclass(eq=False, slots=True)
class WorkerState:
    """One worker under this placer's lease.

    Parameters
    ----------
    used : Resources
        Sum over all tasks that may be running.
    needs : dict of str to Resources
        What each of those tasks occupies, by task id.
    unsettled : dict of int to str
        Results whose request has no recorded final answer: seq to request id.
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
    used: Resources = NO_RESOURCES
    needs: dict[str, Resources] = field(default_factory=dict)
    unsettled: dict[int, str] = field(default_factory=dict)
    last_seq: int = 0
    usage_cores: float = 0.0
    usage_memory_mb: float = 0.0

    @property
    def free(self) -> Resources:
        """What is left of the capacity."""
        return self.capacity - self.used

    @property
    def usable(self) -> bool:
        """Whether new work may be placed here."""
        return self.held and not self.leaving

    def reserve(self, task_id: str, need: Resources) -> None:
        """Count a task; counting it again replaces the earlier amount."""
        self.free_task(task_id)
        self.needs[task_id] = need
        self.used = self.used + need

    def free_task(self, task_id: str) -> None:
        """Stop counting a task; an unknown task is no error."""
        need = self.needs.pop(task_id, None)
        if need is None:
            return
        # The sum starts again from zero, so rounding errors cannot add up.
        self.used = self.used - need if self.needs else NO_RESOURCES

    @property
    def ack_seq(self) -> int:
        """Result up to which the worker may forget."""
        if not self.unsettled:
            return self.last_seq
        return min(self.unsettled) - 1


def make_request_state(request: Request, now: float) -> RequestState:
    """Return the state of a newly accepted request.

    Parameters
    ----------
    request : Request
        What was accepted.
    now : float, seconds
        Monotonic time.
    """
    tasks = [
        TaskState(
            request.task_id(index),
            request.request_id,
            index,
            request.need,
            request.run_time_s,
            phase_at=now,
        )
        for index in range(request.n_tasks)
    ]
    return RequestState(request, tasks, now)
