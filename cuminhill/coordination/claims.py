"""Index of requests folded from the records of an append-only log.

Every process that folds the same records reaches the same state, so the log's
order decides races and no process has to ask another.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from functools import singledispatchmethod
from typing import Any


@dataclass(frozen=True, slots=True)
class Claim:
    """Binds a request id to a shard; the smallest origin offset wins."""

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
        What is started where.
    epoch : int
        Lease epoch under which the worker will be called.
    incarnation : str
        Life of the worker.
    by : str
        Life of the process that appends the record.
    prior : int, default=-1
        Offset of the started record that this one replaces; -1 for the first.
    """

    request_id: str
    task_id: str
    worker_id: str
    epoch: int
    incarnation: str
    by: str
    prior: int = -1


@dataclass(frozen=True, slots=True)
class Done:
    """Final answer to a request; the first one counts."""

    request_id: str
    answer: dict[str, Any]
    at: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """No task of the request may start after this record."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refresh:
    """Repeats a live request before retention drops its older records."""

    request_id: str
    shard: str
    request: dict[str, Any]
    at: float
    origin: int
    started: dict[str, dict[str, Any]]
    started_offsets: dict[str, int]
    cancelled: bool


@dataclass(frozen=True, slots=True)
class Bookmark:
    """No record before ``low`` is needed to rebuild the state."""

    low: int


Record = Claim | Started | Done | Cancel | Refresh | Bookmark

_TYPES: dict[str, type[Any]] = {
    "claim": Claim,
    "started": Started,
    "done": Done,
    "cancel": Cancel,
    "refresh": Refresh,
    "bookmark": Bookmark,
}
_NAMES = {kind: name for name, kind in _TYPES.items()}


def record_to_dict(record: Record) -> dict[str, Any]:
    """Return the JSON-ready form of a record."""
    return {"type": _NAMES[type(record)], **asdict(record)}


def record_from_dict(data: dict[str, Any]) -> Record:
    """Return the record for a mapping made by ``record_to_dict``.

    Raises
    ------
    KeyError, TypeError
        If the mapping is not a record.
    """
    fields = dict(data)
    return _TYPES[fields.pop("type")](**fields)


@dataclass(slots=True)
class Entry:
    """What the log says of one request.

    Parameters
    ----------
    origin : int
        Offset of the winning claim.
    last_offset : int
        Offset from which the entry can be rebuilt.
    """

    request_id: str
    shard: str
    request: dict[str, Any] | None
    at: float
    origin: int
    last_offset: int
    started: dict[str, Started] = field(default_factory=dict)
    started_offsets: dict[str, int] = field(default_factory=dict)
    cancelled: bool = False
    answer: dict[str, Any] | None = None

    @property
    def live(self) -> bool:
        """Whether the request has no final answer yet."""
        return self.answer is None


@dataclass(slots=True)
class RequestIndex:
    """State folded from the stream of request records.

    Parameters
    ----------
    next_offset : int
        Offset of the first record that has not been folded.
    """

    next_offset: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)
    live: dict[str, set[str]] = field(default_factory=dict)
    low: int = 0
    n_lost_claims: int = 0
    n_void_starts: int = 0

    def apply(self, offset: int, record: Record) -> Entry | None:
        """Fold one record.

        Parameters
        ----------
        offset : int
            Offset of the record; offsets already folded are ignored.
        record : Record
            What stands there.

        Returns
        -------
        Entry or None
            The entry that the record changed, if it changed one.
        """
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        return self._fold(record, offset)

    def get(self, request_id: str) -> Entry | None:
        """Return the entry of a request."""
        return self.entries.get(request_id)

    def clear(self) -> None:
        """Forget everything, to be folded again from the records that are left."""
        self.entries.clear()
        self.live.clear()
        self.next_offset = 0

    def live_in(self, shard: str) -> list[Entry]:
        """Return the entries of a shard that have no final answer."""
        return [self.entries[key] for key in sorted(self.live.get(shard, ()))]

    def expire(self, before: float) -> int:
        """Drop finished entries last written before a wall-clock time.

        Returns
        -------
        int
            Number of entries dropped.
        """
        old = [
            key
            for key, entry in self.entries.items()
            if not entry.live and entry.at < before
        ]
        for key in old:
            del self.entries[key]
        return len(old)

    def low_offset(self) -> int:
        """Return the smallest offset that a rebuild of this state needs."""
        return min(
            (entry.last_offset for entry in self.entries.values()),
            default=self.next_offset,
        )

    def refresh_record(self, entry: Entry) -> Refresh:
        """Return the record that repeats a live entry."""
        return Refresh(
            entry.request_id,
            entry.shard,
            entry.request or {},
            entry.at,
            entry.origin,
            {key: asdict(started) for key, started in entry.started.items()},
            dict(entry.started_offsets),
            entry.cancelled,
        )

    @singledispatchmethod
    def _fold(self, record: Record, offset: int) -> Entry | None:
        raise TypeError(f"not a record: {record!r}")

    @_fold.register
    def _(self, record: Claim, offset: int) -> Entry | None:
        if record.request_id in self.entries:
            self.n_lost_claims += 1
            return None
        entry = Entry(
            record.request_id, record.shard, record.request, record.at, offset, offset
        )
        self._put(entry)
        return entry

    @_fold.register
    def _(self, record: Started, offset: int) -> Entry | None:
        entry = self.entries.get(record.request_id)
        if entry is None or not entry.live or entry.cancelled:
            self.n_void_starts += 1
            return None
        if entry.started_offsets.get(record.task_id, -1) != record.prior:
            self.n_void_starts += 1
            return None
        entry.started[record.task_id] = record
        entry.started_offsets[record.task_id] = offset
        return entry

    @_fold.register
    def _(self, record: Done, offset: int) -> Entry | None:
        entry = self.entries.get(record.request_id)
        if entry is None or not entry.live:
            return None
        entry.answer = record.answer
        entry.request = None  # finished requests keep only their answer
        entry.started.clear()
        entry.started_offsets.clear()
        entry.at = record.at
        self.live[entry.shard].discard(record.request_id)
        return entry

    @_fold.register
    def _(self, record: Cancel, offset: int) -> Entry | None:
        entry = self.entries.get(record.request_id)
        if entry is None or not entry.live:
            return None
        entry.cancelled = True
        return entry

    @_fold.register
    def _(self, record: Refresh, offset: int) -> Entry | None:
        entry = self.entries.get(record.request_id)
        if entry is not None and entry.origin < record.origin:
            return None
        if entry is not None and entry.origin == record.origin:
            # The entry knows all that the record repeats, and perhaps more.
            if entry.live:
                entry.last_offset = offset
            return None
        if entry is not None:
            self.live[entry.shard].discard(record.request_id)
        entry = Entry(
            record.request_id,
            record.shard,
            record.request,
            record.at,
            record.origin,
            offset,
            {key: Started(**value) for key, value in record.started.items()},
            dict(record.started_offsets),
            record.cancelled,
        )
        self._put(entry)
        return entry

    @_fold.register
    def _(self, record: Bookmark, offset: int) -> Entry | None:
        self.low = max(self.low, record.low)
        return None

    def _put(self, entry: Entry) -> None:
        self.entries[entry.request_id] = entry
        self.live.setdefault(entry.shard, set()).add(entry.request_id)
