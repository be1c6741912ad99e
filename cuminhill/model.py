"""Data classes shared by the stages of the request path."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any


class RequestKind(StrEnum):
    """Kind of a request, which selects its placement policy."""

    CHECK = "check"
    ORDER = "order"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class AnswerState(StrEnum):
    """State of a request as reported to its caller."""

    ACCEPTED = "accepted"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Reason why a request was not run."""

    INFEASIBLE = "infeasible"
    QUOTA = "quota"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    DRAINING = "draining"
    CONFIGURATION = "configuration"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


FINAL_STATES = frozenset(AnswerState) - {AnswerState.ACCEPTED}
LOGGED_KINDS = frozenset(RequestKind) - {RequestKind.CHECK}


@dataclass(frozen=True, slots=True)
class Resources:
    """Vector of the resources that a task needs or a worker offers.

    Parameters
    ----------
    cores : float
        Processor cores.
    memory_mb : float
        Memory in megabytes.
    accelerators : float
        Number of accelerators.
    slots : float
        Number of task slots.
    connections : float
        Number of connections.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    slots: float = 1.0
    connections: float = 1.0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits(self, free: Resources) -> bool:
        """Return whether this need fits into ``free`` in every dimension."""
        return (
            self.cores <= free.cores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
            and self.slots <= free.slots
            and self.connections <= free.connections
        )


NO_RESOURCES = Resources(0.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class Request:
    """A validated request.

    Parameters
    ----------
    request_id : str
        Idempotency key chosen by the caller.
    kind : RequestKind
        Selects the placement policy.
    team : str
        Team whose quota is charged.
    need : Resources
        Resources that each task needs.
    n_tasks : int, default=1
        Number of tasks.
    priority : int, default=0
        Larger values are more urgent.
    deadline : float, seconds since the epoch, default=inf
        Latest wall-clock time at which a task may start.
    issued_at : float, seconds since the epoch, default=0
        When the caller first issued the request.
    run_time_s : float, seconds, default=1
        Declared run time of a task.
    job_class : str, default=""
        Label for which run times are estimated.
    payload : dict
        Passed to the worker unchanged.
    """

    request_id: str
    kind: RequestKind
    team: str
    need: Resources
    n_tasks: int = 1
    priority: int = 0
    deadline: float = float("inf")
    issued_at: float = 0.0
    run_time_s: float = 1.0
    job_class: str = ""
    payload: dict[str, Any] = field(default_factory=dict)

    def task_id(self, index: int) -> str:
        """Return the id of task number ``index``."""
        return f"{self.request_id}/{index}"

    def to_dict(self) -> dict[str, Any]:
        """Return a JSON-ready mapping; an infinite deadline becomes None."""
        data = asdict(self)
        if self.deadline == float("inf"):
            data["deadline"] = None
        return data

    @classmethod
    def from_dict(cls, data: dict[str, Any]) -> Request:
        """Build a request from the mapping made by ``to_dict``."""
        fields = dict(data)
        fields["kind"] = RequestKind(fields["kind"])
        fields["need"] = Resources(**fields["need"])
        if fields.get("deadline") is None:
            fields["deadline"] = float("inf")
        return cls(**fields)


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a request, as sent to its caller.

    Parameters
    ----------
    request_id : str
        Id of the request.
    state : AnswerState
        State of the request.
    reason : Reason or None, default=None
        Reason why it was not run.
    detail : str, default=""
        Human-readable explanation.
    results : list of dict
        One result per finished task, ordered by task number.
    """

    request_id: str
    state: AnswerState
    reason: Reason | None = None
    detail: str = ""
    results: list[dict[str, Any]] = field(default_factory=list)

    @property
    def final(self) -> bool:
        """Whether the answer can no longer change."""
        return self.state in FINAL_STATES

    def to_dict(self) -> dict[str, Any]:
        """Return a JSON-ready mapping."""
        return asdict(self)

    @classmethod
    def from_dict(cls, data: dict[str, Any]) -> Answer:
        """Build an answer from the mapping made by ``to_dict``."""
        fields = dict(data)
        fields["state"] = AnswerState(fields["state"])
        fields["reason"] = Reason(fields["reason"]) if fields["reason"] else None
        return cls(**fields)


def not_run(request_id: str, reason: Reason, detail: str = "") -> Answer:
    """Return the answer for a request that certainly did not run."""
    return Answer(request_id, AnswerState.NOT_RUN, reason, detail)
