"""Index of requests folded from the records of an append-only log.

Every process that folds the same records reaches the same state, so the log's
order decides races and no process has to ask another.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field, fields
from functools import singledispatchmethod

from .entries import Entry
from .horizon import Horizon
from .records import (
    Bookmark,
    Cancel,
    Claim,
    Done,
    LeaderRecord,
    Record,
    Refresh,
    Started,
    has_known_type,
    record_from_dict,
    record_to_dict,
)

DEDUPE_WINDOW_S = 1800.0
# A claim or refresh that reaches the log later than this is void. Entries are kept
# for the dedupe window and this delay, so that every other claim can be decided.
MAX_APPEND_DELAY_S = 300.0
MAX_ENTRIES = 400_000  # 120,000 live, and 300,000 a day kept for half an hour
MAX_UNBOUND_IDS = 4096
# After an incomplete start the log's time is taken from the newest of this many
# records, since the first one may have been appended late.
N_UNTRUSTED_RECORDS = 32
MAX_RECENT_RECORDS = 64


@dataclass(eq=False, slots=True)
class RequestIndex:
    """State folded from the stream of request records.

    Parameters
    ----------
    dedupe_window_s : float, seconds
        A finished request is known to claims made until this long after its end.
        Must be the same in every process.
    max_entries : int
        Claims are void while there are so many entries. Must be the same in
        every process.

    Attributes
    ----------
    next_offset : int
        Offset of the first record that has not been folded.
    log_time : float, seconds since the epoch
        Largest time in the records; the clock by which entries expire, so that
        expiry depends on the log alone.
    exact : bool
        Whether every relevant record was seen.
    entries : dict of str to Entry
        Entries by request id.
    live : dict of str to set of str
        Ids of the requests without a final answer, by shard.
    low : int
        Largest ``low`` of the bookmarks.
    trust_after : float, seconds since the epoch
        After an incomplete start, earlier claims may repeat a finished request.
    bookmark_offset : int
        Offset of the last bookmark, -1 without one.
    recent : dict of str to list of (int, Record)
        Offsets and records by request id that are folded again after a refresh.
    unbound : OrderedDict of str to None
        Ids of recent records without an entry, the oldest first.
    """

    dedupe_window_s: float = DEDUPE_WINDOW_S
    max_entries: int = MAX_ENTRIES
    next_offset: int = 0
    log_time: float = 0.0
    exact: bool = True
    entries: dict[str, Entry] = field(default_factory=dict)
    live: dict[str, set[str]] = field(default_factory=dict)
    low: int = 0
    n_lost_claims: int = 0
    n_void_claims: int = 0
    n_void_starts: int = 0
    n_void_dones: int = 0
    n_void_refreshes: int = 0
    n_gaps: int = 0
    n_expired: int = 0
    trust_after: float = float("-inf")
    bookmark_offset: int = -1
    horizon: Horizon = field(default_factory=Horizon)
    _expiry: list[tuple[float, str, int]] = field(default_factory=list)
    recent: dict[str, list[tuple[int, Record]]] = field(default_factory=dict)
    unbound: OrderedDict[str, None] = field(default_factory=OrderedDict)

    # Folding

    def reset_to(self, offset: int, log_time: float | None) -> None:
        """Clear the state and continue at an offset, see ``recovery.restart_point``.

        Parameters
        ----------
        offset : int
            First record that will be folded.
        log_time : float or None, seconds since the epoch
            From the bookmark; None if relevant records may be missing.
        """
        self.entries.clear()
        self.live.clear()
        self._expiry.clear()
        self.recent.clear()
        self.unbound.clear()
        self.horizon = Horizon()
        self.next_offset = offset
        self.log_time = log_time or 0.0
        self.exact = offset == 0 or log_time is not None
        self.trust_after = float("-inf")

    def apply(self, offset: int, record: Record) -> Entry | None:
        """Fold one record.

        Parameters
        ----------
        offset : int
            Offset of the record; offsets already folded are ignored. A gap means
            that retention dropped records, and the index is cleared.
        record : Record
            Record at the offset.

        Returns
        -------
        Entry or None
            The entry that the record changed, if it changed one.
        """
        if offset < self.next_offset:
            return None
        if offset > self.next_offset:
            self.n_gaps += 1
            self.reset_to(offset, None)
        marked = self.horizon.mark(offset, self.log_time)
        at = record_time(record)
        if at is not None:
            self.log_time = max(self.log_time, at)
        if not self.exact and offset - self.horizon.first_offset < N_UNTRUSTED_RECORDS:
            after = self.log_time + self.dedupe_window_s + MAX_APPEND_DELAY_S
            self.trust_after = max(self.trust_after, after)
        self.next_offset = offset + 1
        found = self._fold(record, offset)
        self._expire()
        if marked and not self.exact:
            self._update_exact()
        return found

    def skip(self, offset: int) -> None:
        """Pass over a record of an unknown type, unless it follows a gap.

        One of a known type must not be passed over: a build that can read it may bind
        a request by it.
        """
        if offset == self.next_offset:
            self.next_offset = offset + 1

    def adopt(self, other: RequestIndex) -> None:
        """Replace the state by that of another index; the counters stay."""
        for item in fields(self):
            if not item.name.startswith("n_"):
                setattr(self, item.name, getattr(other, item.name))

    def get(self, request_id: str) -> Entry | None:
        """Return the entry of a request."""
        return self.entries.get(request_id)

    def live_entries(self, shard: str) -> list[Entry]:
        """Return the entries of a shard that have no final answer."""
        found = [self.entries[key] for key in sorted(self.live.get(shard, ()))]
        return [entry for entry in found if entry.confirmed]

    @property
    def full(self) -> bool:
        """Whether the index has reached its bound, so that new claims are void."""
        return len(self.entries) >= self.max_entries

    # Internal methods

    @singledispatchmethod
    def _fold(self, record: Record, offset: int) -> Entry | None:
        raise TypeError(f"not a record: {record!r}")

    @_fold.register
    def _(self, record: Claim, offset: int) -> Entry | None:
        if record.at < self.log_time - MAX_APPEND_DELAY_S:
            self.n_void_claims += 1
            return None
        known = self.entries.get(record.request_id)
        if known is not None:
            if known.live or record.at <= known.at + self.dedupe_window_s:
                self.n_lost_claims += 1
                known.lost_offset = offset
                return None
            self._drop(known)
        if self.full:
            self.n_void_claims += 1
            return None
        entry = Entry(
            record.request_id, record.shard, record.request, record.at, offset, offset
        )
        if not self.exact and record.at < self.trust_after:
            # It may repeat a request whose end was dropped; a refresh confirms it.
            entry.confirmed = False
            self.schedule_expiry(entry)
        self._put(entry)
        return entry

    @_fold.register
    def _(self, record: Started, offset: int) -> Entry | None:
        self._keep_recent(record, offset)
        return self._apply_start(record, offset)

    def _apply_start(self, record: Started, offset: int) -> Entry | None:
        entry = self._entry_of(record)
        prior = -1
        if entry is not None:
            prior = entry.started_offsets.get(record.task_id, -1)
        if entry is None or entry.cancelled or prior != record.prior:
            self.n_void_starts += 1
            return None
        entry.started[record.task_id] = record
        entry.started_offsets[record.task_id] = offset
        return entry

    @_fold.register
    def _(self, record: Cancel, offset: int) -> Entry | None:
        self._keep_recent(record, offset)
        entry = self._entry_of(record)
        if entry is not None:
            entry.cancelled = True
        return entry

    @_fold.register
    def _(self, record: Done, offset: int) -> Entry | None:
        if record.request_id not in self.entries and not self.exact:
            return self._rebuild_finished(record, offset)
        entry = self._entry_of(record)
        if entry is None or self._has_unseen_start(entry, record):
            self.n_void_dones += 1
            self._keep_recent(record, offset)
            return None
        self.live[entry.shard].discard(record.request_id)
        if record.origin >= 0:
            entry.shard, entry.origin = record.shard, record.origin
        self._finish(entry, record)
        return entry

    @_fold.register
    def _(self, record: Refresh, offset: int) -> Entry | None:
        if record.as_of_time < self.log_time - MAX_APPEND_DELAY_S:
            self.n_void_refreshes += 1
            return None
        entry = self.entries.get(record.request_id)
        if entry is not None and not entry.live:
            return None
        if entry is not None and entry.origin == record.origin:
            entry.merge(record)
            return entry
        if entry is not None and entry.confirmed and entry.origin < record.origin:
            return None
        lost_offset = -1
        if entry is not None:
            # This claim had lost; it was folded because the winning one was dropped.
            lost_offset = max(entry.origin, entry.lost_offset)
            self._remove(entry)
        entry = Entry(
            record.request_id,
            record.shard,
            record.request,
            record.at,
            record.origin,
            record.as_of + 1,
            lost_offset=lost_offset,
        )
        entry.merge(record)
        self._put(entry)
        for later, item in self.recent.get(record.request_id, []):
            if later > record.as_of and isinstance(item, Started):
                self._apply_start(item, later)
            elif later > record.as_of:
                self._fold(item, later)
        return entry

    @_fold.register
    def _(self, record: Bookmark, offset: int) -> Entry | None:
        self.low = max(self.low, record.low)
        self.bookmark_offset = offset
        return None

    @_fold.register
    def _(self, record: LeaderRecord, offset: int) -> Entry | None:
        return None  # concerns the placers of the shard, not any request

    def _entry_of(self, record: Started | Cancel | Done) -> Entry | None:
        """Return the live entry of the claim to which a record belongs."""
        entry = self.entries.get(record.request_id)
        if entry is None or not entry.live:
            return None
        if entry.confirmed and record.origin not in {-1, entry.origin}:
            return None
        return entry

    def _has_unseen_start(self, entry: Entry, record: Done) -> bool:
        if record.seen is None or record.answer.get("state") != "not_run":
            return False
        return max(entry.started_offsets.values(), default=-1) > record.seen

    def _rebuild_finished(self, record: Done, offset: int) -> Entry | None:
        """Return an entry for a finished request whose claim was dropped."""
        if record.origin >= self.horizon.first_offset:
            self.n_void_dones += 1
            return None
        entry = Entry(
            record.request_id, record.shard, None, record.at, record.origin, offset
        )
        self.entries[record.request_id] = entry
        self._finish(entry, record)
        entry.confirmed = False  # the records from here on cannot rebuild it
        return entry

    def _finish(self, entry: Entry, record: Done) -> None:
        # A result that a log outage has delayed is kept as long as any other.
        entry.finish(record, max(record.at, self.log_time - MAX_APPEND_DELAY_S))
        self.recent.pop(entry.request_id, None)
        self.unbound.pop(entry.request_id, None)
        self.schedule_expiry(entry)

    def _update_exact(self) -> None:
        """Set ``exact`` once the gaps of an incomplete start no longer matter."""
        if self.log_time >= self.trust_after:
            self.exact = all(entry.confirmed for entry in self.entries.values())

    def _put(self, entry: Entry) -> None:
        self.entries[entry.request_id] = entry
        self.live.setdefault(entry.shard, set()).add(entry.request_id)
        self.unbound.pop(entry.request_id, None)

    def _drop(self, entry: Entry) -> None:
        self._remove(entry)
        self.recent.pop(entry.request_id, None)
        if entry.lost_offset > entry.last_offset:
            self.horizon.add_interval(entry.last_offset, entry.lost_offset)

    def _remove(self, entry: Entry) -> None:
        del self.entries[entry.request_id]
        self.live.get(entry.shard, set()).discard(entry.request_id)

    def _keep_recent(self, record: Started | Cancel | Done, offset: int) -> None:
        request_id = record.request_id
        entry = self.entries.get(request_id)
        if entry is not None and not entry.live:
            return
        items = self.recent.setdefault(request_id, [])
        if (offset, record) not in items:
            items.append((offset, record))
        del items[:-MAX_RECENT_RECORDS]
        if entry is None:
            self.unbound[request_id] = None
            if len(self.unbound) > MAX_UNBOUND_IDS:
                self.recent.pop(self.unbound.popitem(last=False)[0], None)

    def schedule_expiry(self, entry: Entry) -> None:
        """Schedule the removal of an entry at the end of its dedupe window."""
        heapq.heappush(self._expiry, (entry.at, entry.request_id, entry.origin))

    def _expire(self) -> None:
        """Drop entries to which only void claims can still refer."""
        before = self.log_time - self.dedupe_window_s - MAX_APPEND_DELAY_S
        while self._expiry and self._expiry[0][0] < before:
            at, request_id, origin = heapq.heappop(self._expiry)
            entry = self.entries.get(request_id)
            if entry is None or (entry.at, entry.origin) != (at, origin):
                continue
            if not entry.live or not entry.confirmed:
                self.n_expired += 1
                self._drop(entry)


def record_time(record: Record) -> float | None:
    """Return when a record was made, in seconds since the epoch, None if unknown."""
    if isinstance(record, Claim | Done):
        return record.at
    return record.written_at if isinstance(record, Refresh) else None


def make_request_index(dedupe_window_s: float = DEDUPE_WINDOW_S) -> RequestIndex:
    """Return the index before the first record of a stream."""
    return RequestIndex(dedupe_window_s)


__all__ = [
    "Bookmark",
    "Cancel",
    "Claim",
    "Done",
    "Entry",
    "LeaderRecord",
    "Record",
    "Refresh",
    "RequestIndex",
    "Started",
    "has_known_type",
    "make_request_index",
    "record_from_dict",
    "record_time",
    "record_to_dict",
]
