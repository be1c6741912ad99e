"""Events that a placer processes and actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..coordination.claims import Started
    from ..model import Answer, Request
    from ..platform.worker import LeaseReply, TaskResult
    from .policies import Weights
    from .quotas import TeamQuota


class StartOutcome(StrEnum):
    """Outcome of a start call that returned no result."""

    RUNNING = "running"
    REFUSED = "refused"  # certainly not started
    UNKNOWN = "unknown"  # may have started; resolved by the worker's next list


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker granted or renewed the lease.

    Parameters
    ----------
    sent_at : float, seconds
        Monotonic time before the renewal was sent: tasks started later may be
        missing from its list.
    """

    worker_id: str
    reply: LeaseReply
    sent_at: float


@dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """The lease is no longer held; tasks may still run."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class WorkerStopped:
    """The task leases of a lost worker have certainly lapsed."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class WorkerLeaving:
    """The platform is removing the worker; it gets no new work."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class RequestAccepted:
    """A request is to be placed.

    Parameters
    ----------
    request : Request
        The request to place.
    started : dict of str to Started
        Started records by task id, for an inherited request.
    started_offsets : dict of str to int
        Offsets of those records.
    inherited : bool
        Whether an earlier placer may have started tasks of it.
    """

    request: Request
    started: dict[str, Started] = field(default_factory=dict)
    started_offsets: dict[str, int] = field(default_factory=dict)
    inherited: bool = False


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The log holds the final answer; no task of the request may start."""

    request_id: str


@dataclass(frozen=True, slots=True)
class StartRecorded:
    """The started record was read back.

    Parameters
    ----------
    valid : bool
        Whether this placer's record is the valid one.
    offset : int
        Offset of the valid record.
    other : Started or None, default=None
        The valid record, if it is another placer's.
    """

    task_id: str
    request_id: str
    valid: bool
    offset: int
    other: Started | None = None


@dataclass(frozen=True, slots=True)
class StartReplied:
    """The start call ended without a result.

    Parameters
    ----------
    epoch : int, default=0
        Epoch that the call carried; 0 if unknown. It distinguishes the reply to an
        earlier try on the same worker from the reply to the current one.
    number : int, default=0
        Number of the call as in `StartTask`; 0 if unknown. It distinguishes two
        tries under the same epoch.
    """

    task_id: str
    worker_id: str
    outcome: StartOutcome
    epoch: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task ended, as reported by its worker."""

    worker_id: str
    result: TaskResult


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The request is cancelled (for logged kinds: its record was read back)."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RosterComplete:
    """Every worker of the shard has reported, or its task leases have lapsed.

    Parameters
    ----------
    worker_ids : frozenset of str
        Workers that reported under this placer's lease.
    """

    worker_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class WeightsChanged:
    """The configuration changed the policy weights."""

    weights: Weights


@dataclass(frozen=True, slots=True)
class QuotasChanged:
    """The configuration changed the quotas.

    Parameters
    ----------
    quotas : dict of str to TeamQuota
        Quota of each team in this shard; a team without one has no guaranteed
        share and no limit.
    """

    quotas: dict[str, TeamQuota]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    WorkerReported
    | WorkerUnreachable
    | WorkerStopped
    | WorkerLeaving
    | RequestAccepted
    | RequestEnded
    | StartRecorded
    | StartReplied
    | TaskEnded
    | CancelRequested
    | RosterComplete
    | WeightsChanged
    | QuotasChanged
    | Tick
)


@dataclass(frozen=True, slots=True)
class RecordStart:
    """Append a started record; `StartRecorded` follows."""

    task_id: str
    request: Request
    worker_id: str
    epoch: int
    incarnation: str
    prior: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Call the worker; `TaskEnded` or `StartReplied` follows.

    Parameters
    ----------
    run_time_s : float, seconds
        Remaining declared run time.
    number : int, default=0
        Number of the call, to be echoed in `StartReplied`.
    """

    task_id: str
    request: Request
    worker_id: str
    epoch: int
    run_time_s: float
    number: int = 0


@dataclass(frozen=True, slots=True)
class ControlTask:
    """Stop, throttle or checkpoint a running task."""

    task_id: str
    worker_id: str
    verb: str
    epoch: int


@dataclass(frozen=True, slots=True)
class FenceWorker:
    """Release and reacquire the lease, which increments its epoch.

    Start calls still in flight are then refused, and the next list resolves tasks
    whose start is unconfirmed.
    """

    worker_id: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The request has its final answer."""

    request: Request
    answer: Answer


Action = RecordStart | StartTask | ControlTask | FenceWorker | Finish
