"""Entries of the index of requests."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field, fields
from typing import TYPE_CHECKING, Any

from .records import Started

if TYPE_CHECKING:
    from .records import Done, Refresh

MIN_ENTRY_BYTES = 150  # of the JSON form of an entry, without its values


@dataclass(slots=True)
class Entry:
    """State of one request according to the log.

    Parameters
    ----------
    at : float, seconds since the epoch
        When the request was claimed or, once it is finished, when it ended.
    origin : int
        Offset of the winning claim.
    last_offset : int
        Offset from which the entry can be rebuilt.
    lost_offset : int
        Offset of the last claim that lost against this one.
    confirmed : bool
        False if the claim may repeat a finished request whose end was not seen.
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
    lost_offset: int = -1
    confirmed: bool = True

    @property
    def live(self) -> bool:
        """Whether the request has no final answer yet."""
        return self.answer is None

    def merge(self, record: Refresh) -> None:
        """Apply a refresh; newer starts that were folded before it stay."""
        for task_id, offset in record.started_offsets.items():
            if offset > self.started_offsets.get(task_id, -1):
                self.started[task_id] = Started(**record.started[task_id])
                self.started_offsets[task_id] = offset
        self.cancelled = self.cancelled or record.cancelled
        self.confirmed = True
        self.last_offset = max(self.last_offset, record.as_of + 1)

    def finish(self, record: Done, at: float) -> None:
        """Set the final answer and drop what only a live request needs."""
        self.answer = record.answer
        self.request = None
        self.started.clear()
        self.started_offsets.clear()
        self.at = at
        self.confirmed = True


_FIELDS = tuple(item.name for item in fields(Entry))


def entry_to_dict(entry: Entry) -> dict[str, Any]:
    """Return the JSON-ready form of an entry, which shares its request and answer.

    A deep copy, as by `asdict`, took most of the time of a snapshot.
    """
    data = {name: getattr(entry, name) for name in _FIELDS}
    data["started"] = {key: asdict(item) for key, item in entry.started.items()}
    data["started_offsets"] = dict(entry.started_offsets)
    return data


def entry_from_dict(data: dict[str, Any]) -> Entry:
    """Return the entry for a mapping made by ``entry_to_dict``."""
    values = dict(data)
    values["started"] = {
        key: Started(**value) for key, value in values["started"].items()
    }
    return Entry(**values)
