"""Records of the stream of requests."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from .fieldcheck import check_fields


@dataclass(frozen=True, slots=True)
class Claim:
    """Binds a request id to a shard; the claim at the smallest offset wins.

    Parameters
    ----------
    at : float, seconds since the epoch
        When it was made; void if it is appended more than ``MAX_APPEND_DELAY_S``
        later.
    """

    request_id: str
    shard: str
    request: dict[str, Any]
    at: float


@dataclass(frozen=True, slots=True)
class Started:
    """Announces the start of a task before the worker is called.

    Parameters
    ----------
    request_id, task_id, worker_id : str
        Task that is started, and its worker.
    epoch : int
        Lease epoch under which the worker will be called.
    incarnation : str
        Incarnation of the worker.
    by : str
        Incarnation of the process that appends the record.
    prior : int, default=-1
        Offset of the started record that this one replaces, -1 for the first.
    origin : int, default=-1
        Offset of the claim that it belongs to, -1 if not given.
    """

    request_id: str
    task_id: str
    worker_id: str
    epoch: int
    incarnation: str
    by: str
    prior: int = -1
    origin: int = -1


@dataclass(frozen=True, slots=True)
class Done:
    """Final answer to a request; the first one counts.

    Parameters
    ----------
    shard, origin : str, int
        Shard and offset of the claim that it belongs to; void if the id was
        claimed anew since. An origin of -1 is not checked.
    seen : int or None
        Largest offset of a started record that the author knows, -1 for none.
        The answer "not_run" is void if there is a later one, because another
        placer has started a task.
    """

    request_id: str
    answer: dict[str, Any]
    at: float
    shard: str = ""
    origin: int = -1
    seen: int | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """No task of the request may start after this record."""

    request_id: str
    origin: int = -1


@dataclass(frozen=True, slots=True)
class Refresh:
    """Repeats a live request before retention drops its older records.

    Parameters
    ----------
    as_of : int
        Offset through which the author had folded the log; later records still
        apply.
    as_of_time : float, seconds since the epoch
        The log's time at that offset; the refresh is void if the log's time is
        more than ``MAX_APPEND_DELAY_S`` later.
    written_at : float, seconds since the epoch
        When the author made it.
    """

    request_id: str
    shard: str
    request: dict[str, Any]
    at: float
    origin: int
    started: dict[str, dict[str, Any]]
    started_offsets: dict[str, int]
    cancelled: bool
    as_of: int
    as_of_time: float
    written_at: float


@dataclass(frozen=True, slots=True)
class Bookmark:
    """No record before ``low`` is needed to rebuild the state.

    Parameters
    ----------
    log_time : float, seconds since the epoch
        Largest time of all records before ``low``, which decides what has expired.
    """

    low: int
    log_time: float


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Announces that a placer holds workers of a shard; the newest one counts.

    Parameters
    ----------
    by : str
        Name of the placer's term.
    """

    shard: str
    by: str


Record = Claim | Started | Done | Cancel | Refresh | Bookmark | LeaderRecord

_TYPES: dict[str, type[Any]] = {
    "claim": Claim,
    "started": Started,
    "done": Done,
    "cancel": Cancel,
    "refresh": Refresh,
    "bookmark": Bookmark,
    "lead": LeaderRecord,
}
_NAMES = {kind: name for name, kind in _TYPES.items()}


def record_to_dict(record: Record) -> dict[str, Any]:
    """Return the JSON-ready form of a record."""
    return {"type": _NAMES[type(record)], **asdict(record)}


def has_known_type(data: object) -> bool:
    """Return whether a value has the type of a record, even if it is none."""
    kind = data.get("type") if isinstance(data, dict) else None
    return isinstance(kind, str) and kind in _TYPES


def record_from_dict(data: dict[str, Any]) -> Record:
    """Return the record for a mapping made by ``record_to_dict``.

    Raises
    ------
    KeyError, TypeError
        If the value is not a record, or a field is of another type.
    """
    if not isinstance(data, dict):
        raise TypeError("not a mapping")
    fields = dict(data)
    record: Record = _TYPES[fields.pop("type")](**fields)
    check_fields(record)
    if isinstance(record, Refresh):
        for task_id, offset in record.started_offsets.items():
            if not isinstance(offset, int):
                raise TypeError("offset of a start is not a number")
            check_fields(Started(**record.started[task_id]))
    return record
