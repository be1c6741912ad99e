"""Refreshes and bookmarks, which keep a restart possible and short."""

from __future__ import annotations

import heapq
from dataclasses import asdict
from typing import TYPE_CHECKING

from .records import Bookmark, Refresh

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .claims import RequestIndex
    from .entries import Entry

REFRESH_FRACTION = 0.25  # of the retention; leaves time for three more attempts
BOOKMARK_EVERY_RECORDS = 1000
SCAN_RECORDS = 2 * BOOKMARK_EVERY_RECORDS  # that a restart searches for one


def first_needed_offset(index: RequestIndex) -> int:
    """Return the first offset that a rebuild of this state needs."""
    low = min(
        (entry.last_offset for entry in index.entries.values()),
        default=index.next_offset,
    )
    return index.horizon.safe_start(low)


def due_refreshes(
    index: RequestIndex,
    now: float,
    retention_s: float,
    n_entries: int,
    shards: Iterable[str],
) -> list[Entry]:
    """Return live entries to refresh now, the oldest first.

    Parameters
    ----------
    now : float, seconds since the epoch
        Wall-clock time.
    retention_s : float, seconds
        Age at which the log drops records.
    n_entries : int
        Largest number of entries to return.
    shards : iterable of str
        Shards that this process is responsible for.
    """
    if not index.exact:
        return []
    # An entry is refreshed at half of the retention at the latest: an idle time of
    # less than a quarter may hide the age of the records before it.
    before_time = now - REFRESH_FRACTION * retention_s
    before = index.next_offset
    if index.log_time >= before_time:
        before = index.horizon.offset_at(before_time)
    due = [
        entry
        for shard in shards
        for entry in index.live_entries(shard)
        if entry.last_offset < before
    ]
    return heapq.nsmallest(n_entries, due, key=lambda entry: entry.last_offset)


def refresh_record(index: RequestIndex, entry: Entry, now: float) -> Refresh:
    """Return the record that repeats a live entry as it is now."""
    return Refresh(
        entry.request_id,
        entry.shard,
        entry.request or {},
        entry.at,
        entry.origin,
        {key: asdict(started) for key, started in entry.started.items()},
        dict(entry.started_offsets),
        entry.cancelled,
        index.next_offset - 1,
        index.log_time,
        now,
    )


def bookmark_due(index: RequestIndex) -> bool:
    """Return whether enough was folded since the last bookmark to write another."""
    n_records = index.next_offset - 1 - index.bookmark_offset
    return index.exact and n_records >= BOOKMARK_EVERY_RECORDS


def bookmark_record(index: RequestIndex) -> Bookmark | None:
    """Return a record of where a restart may begin, None if that is unknown."""
    if not index.exact:
        return None
    mark = index.horizon.mark_before(first_needed_offset(index))
    return Bookmark(*mark) if mark is not None else None
