"""Counters of accepted, waiting and placed jobs, updated as the journal is folded.

A job has a place as soon as a task is assigned. If all its starts come to nothing, it
waits again.

All times are those at which this VM read a record. The acceptance time in a record is
the wall clock of another VM, which can differ by seconds and jump.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import KeysView

SLOT_S = 0.25  # resolution of the counts; the journal is read with this pause
RECENT_S = 5.0  # how far back acceptances and starts are counted
WAIT_SLOT_S = 0.5  # resolution of the time since when jobs have waited
# A job that has waited for longer probably can't be placed at all, such as one that no
# worker can hold, so it does not show that the pool is busy.
MAX_WAIT_SHOWN_S = 30.0
MAX_GROUPS = 5000  # bounds memory, and the time to find the jobs that wait for long
# The placer renews its term every 0.75 s at least, and a VM that is not the placer
# reads the journal with a pause. A longer silence means that nothing was placed.
MAX_PLACER_SILENCE_S = 2.5
# Records of a read after a longer gap count as accepted when the gap began: they came
# in over that time, not all at once. A team's burst of one second covers shorter gaps.
MAX_READ_GAP_S = 0.6
LATE_CACHE_S = 0.25  # how long the counts of late jobs are reused


@dataclass(eq=False, slots=True)
class WaitingGroup:
    """Jobs of one queue and team that were read within one slot and have no place.

    Parameters
    ----------
    read_at : float, seconds
        When this VM read the newest of them.
    n_jobs : int
        Number of those that still wait.
    is_listed : bool
        Whether the group is among those whose waits are counted.
    """

    queue: str
    team: str
    read_at: float
    n_jobs: int = 0
    is_listed: bool = True


@dataclass(eq=False)
class RecentCounts:
    """Events by key in the last `RECENT_S` seconds.

    Keys without a recent event are dropped, so the memory is bounded by the number of
    events in that time.
    """

    _slots: dict[str, Counter[int]] = field(default_factory=dict)
    _pruned_at: float = 0.0

    def add(self, key: str, at: float) -> None:
        """Count one event."""
        if abs(at - self._pruned_at) > RECENT_S:
            self._prune(at)
        self._slots.setdefault(key, Counter())[int(at / SLOT_S)] += 1

    def discard(self, key: str, at: float) -> None:
        """Take back an event that was counted at a time, if it is still counted."""
        slots, slot = self._slots.get(key), int(at / SLOT_S)
        if slots is not None and slots[slot] > 0:
            slots[slot] -= 1

    def _prune(self, now: float) -> None:
        self._pruned_at = now
        first = int((now - RECENT_S) / SLOT_S)
        for key, slots in list(self._slots.items()):
            for slot in [slot for slot in slots if slot < first]:
                del slots[slot]
            if not slots:
                del self._slots[key]

    def keys(self) -> KeysView[str]:
        """Return the keys that may have recent events."""
        return self._slots.keys()

    def recent(self, key: str, now: float) -> list[tuple[float, int]]:
        """Return the times and numbers of the recent events of a key, in order."""
        first = int((now - RECENT_S) / SLOT_S)
        slots = self._slots.get(key, Counter())
        return sorted((slot * SLOT_S, n) for slot, n in slots.items() if slot >= first)

    def total(self, key: str, now: float) -> int:
        """Return the number of recent events of a key."""
        return sum(n for _, n in self.recent(key, now))

    def clear(self) -> None:
        """Forget all events."""
        self._slots.clear()


@dataclass(eq=False)
class JobLoad:
    """Counters of the jobs in the journal.

    Scheduled jobs and those that run only on spare capacity count as accepted, but not
    as waiting: they do not begin as soon as the pool has room.

    Parameters
    ----------
    accepted : RecentCounts
        Accepted jobs by team.
    placed : RecentCounts
        Jobs that got a place, by queue.
    n_waiting : Counter
        Jobs by queue that have no place.
    placer_at : float, seconds
        When the newest record under a placer's key was read.
    resumed_at : float, seconds
        When the first record was read of the newest term, or after a silence of the
        placer. Jobs count as waiting from then on, since nothing was placed before.
    """

    accepted: RecentCounts = field(default_factory=RecentCounts)
    placed: RecentCounts = field(default_factory=RecentCounts)
    n_waiting: Counter[str] = field(default_factory=Counter)
    placer_at: float = 0.0
    resumed_at: float = 0.0
    _groups: deque[WaitingGroup] = field(default_factory=deque)
    # Groups of the current slot by queue and team, and the number of the slot.
    _open: dict[tuple[str, str], WaitingGroup] = field(default_factory=dict)
    _open_slot: int = 0
    _read_from: float | None = None
    _late: dict[str, Counter[str]] = field(default_factory=dict)
    _late_bounds: dict[str, float] = field(default_factory=dict)
    _late_at: float = -math.inf

    def begin_read(self, complete_at: float, now: float) -> None:
        """Note that the records to be folded are all newer than an earlier read.

        Parameters
        ----------
        complete_at : float, seconds
            When the newest complete read before this one was sent.
        """
        self._read_from = complete_at if now - complete_at > MAX_READ_GAP_S else None

    def end_read(self) -> None:
        """Note that the records of a read have been folded."""
        self._read_from = None

    def note_accepted(self, team: str, now: float) -> None:
        """Count the acceptance of a job of a team."""
        if team:
            self.accepted.add(team, now if self._read_from is None else self._read_from)

    def begin_wait(self, queue: str, team: str, now: float) -> WaitingGroup:
        """Count a job that waits; return the group to pass when it no longer does."""
        slot = int(now / WAIT_SLOT_S)
        if slot != self._open_slot:
            self._open.clear()
            self._open_slot = slot
        group = self._open.get((queue, team))
        if group is None:
            group = self._open[queue, team] = WaitingGroup(queue, team, now)
            self._groups.append(group)
            if len(self._groups) > MAX_GROUPS:
                self._drop_oldest_group()
        group.read_at = now
        group.n_jobs += 1
        self.n_waiting[queue] += 1
        return group

    def end_wait(self, group: WaitingGroup) -> None:
        """Count a job that no longer waits."""
        group.n_jobs -= 1
        self.n_waiting[group.queue] -= 1
        if not self.n_waiting[group.queue]:
            del self.n_waiting[group.queue]

    def resume_wait(self, group: WaitingGroup) -> None:
        """Count a job that waits again; its wait is counted from its acceptance."""
        group.n_jobs += 1
        self.n_waiting[group.queue] += 1
        if not group.is_listed and len(self._groups) < MAX_GROUPS:
            group.is_listed = True
            insort(self._groups, group, key=lambda item: item.read_at)

    def note_placer(self, now: float, *, is_new_term: bool) -> None:
        """Note that a record of a placer was read."""
        if is_new_term or now - self.placer_at > MAX_PLACER_SILENCE_S:
            self.resumed_at = now
        self.placer_at = max(self.placer_at, now)

    def note_snapshot(self, now: float) -> None:
        """Forget recent events: a snapshot does not tell when its records were made."""
        self.accepted.clear()
        self.placed.clear()
        self.resumed_at = now

    def late(self, bounds_s: dict[str, float], now: float) -> dict[str, Counter[str]]:
        """Return the number of jobs that wait for longer than a bound.

        A wait counts up to the newest record of the placer, since a silent placer says
        nothing about the room in its pools.

        Parameters
        ----------
        bounds_s : dict of str to float, seconds
            Bound of each queue; jobs of other queues are not counted.

        Returns
        -------
        late : dict of str to Counter
            Number of jobs by team, by queue.
        """
        known = self._late_bounds is bounds_s or self._late_bounds == bounds_s
        if known and 0 <= now - self._late_at < LATE_CACHE_S:
            return self._late
        shortest_s = min(bounds_s.values(), default=0.0)
        self._late_at, self._late_bounds, self._late = now, bounds_s, {}
        self._drop_old_groups()
        for group in self._groups:
            waited_s = self.placer_at - max(group.read_at, self.resumed_at)
            if waited_s <= shortest_s:
                break  # the others were read later, or in the same slot
            if group.n_jobs and waited_s > bounds_s.get(group.queue, math.inf):
                by_team = self._late.setdefault(group.queue, Counter())
                by_team[group.team] += group.n_jobs
        return self._late

    def _drop_old_groups(self) -> None:
        oldest = self.placer_at - MAX_WAIT_SHOWN_S
        while self._groups:
            group = self._groups[0]
            is_open = self._open.get((group.queue, group.team)) is group
            if is_open or (group.n_jobs and group.read_at >= oldest):
                break
            self._drop_oldest_group()

    def _drop_oldest_group(self) -> None:
        self._groups.popleft().is_listed = False
