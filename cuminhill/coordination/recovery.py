"""Restart of the index of requests, from the log or from a peer's snapshot."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from .claims import RequestIndex
from .entries import entry_from_dict, entry_to_dict
from .horizon import Horizon
from .records import Bookmark, record_from_dict, record_to_dict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .records import Record


def to_snapshot(index: RequestIndex) -> dict[str, Any]:
    """Return the whole state in JSON-ready form, for a peer that starts."""
    return {
        "dedupe_window_s": index.dedupe_window_s,
        "max_entries": index.max_entries,
        "next_offset": index.next_offset,
        "log_time": index.log_time,
        "exact": index.exact,
        "trust_after": index.trust_after if not index.exact else None,
        "low": index.low,
        "bookmark_offset": index.bookmark_offset,
        "horizon": index.horizon.to_dict(),
        "entries": [entry_to_dict(entry) for entry in index.entries.values()],
        "recent": {
            key: [[offset, record_to_dict(record)] for offset, record in items]
            for key, items in index.recent.items()
        },
        "unbound": list(index.unbound),
    }


def restart_point(
    records: Iterable[tuple[int, Record]], log_start: int
) -> tuple[int, float | None]:
    """Return where a restarting process starts to fold, for ``RequestIndex.reset_to``.

    Parameters
    ----------
    records : iterable of (int, Record)
        About the last ``SCAN_RECORDS`` records of the stream.
    log_start : int
        Offset of the first record that the log still has.

    Returns
    -------
    tuple of (int, float or None)
        Offset, and the log's time there if it is known.
    """
    marks = [item for _, item in records if isinstance(item, Bookmark)]
    usable = [item for item in marks if item.low >= log_start]
    if not usable:
        return log_start, None
    newest = max(usable, key=lambda item: item.low)
    return newest.low, newest.log_time


def from_snapshot(data: dict[str, Any]) -> RequestIndex:
    """Return the index for a mapping made by ``to_snapshot``.

    Raises
    ------
    KeyError, TypeError
        If the mapping is not a snapshot.
    """
    index = RequestIndex(data["dedupe_window_s"], data["max_entries"])
    index.reset_to(data["next_offset"], data["log_time"])
    index.exact = data["exact"]
    index.low = data["low"]
    if not index.exact:
        index.trust_after = data["trust_after"]
    index.bookmark_offset = data["bookmark_offset"]
    index.horizon = Horizon.from_dict(data["horizon"])
    for item in data["entries"]:
        entry = entry_from_dict(item)
        index.entries[entry.request_id] = entry
        if entry.live:
            index.live.setdefault(entry.shard, set()).add(entry.request_id)
        if not entry.live or not entry.confirmed:
            index.schedule_expiry(entry)
    for key, items in data["recent"].items():
        index.recent[key] = [(at, record_from_dict(value)) for at, value in items]
    index.unbound = OrderedDict.fromkeys(data["unbound"])
    return index
