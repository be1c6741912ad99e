"""Queue of requests that wait for a worker."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from ..model import RequestKind, Resources

if TYPE_CHECKING:
    from collections.abc import Callable

    from .state import RequestState

MAX_QUEUED_TASKS = 200_000
MAX_REQUESTS = 400_000

# Gangs and batch requests share a lane, so that neither starves the other.
LANES = {
    RequestKind.CHECK: 0,
    RequestKind.ORDER: 1,
    RequestKind.SERVICE: 2,
    RequestKind.GANG: 3,
    RequestKind.BATCH: 3,
}
# Among batch and gang requests of about the same age the larger ones come first,
# since small ones fill what they leave; a longer step packs better and lets small
# ones wait.
AGE_STEP_S = 10.0
N_URGENT_LANES = 2  # lanes that are ordered without regard to fair shares

Shape = tuple[object, ...]
OrderKey = tuple[float, float, float, float, float, str]


def order_key(state: RequestState) -> OrderKey:
    """Return the position of a request among those of its team and lane."""
    request = state.request
    age = state.accepted_at
    size = step = 0.0
    if LANES[state.kind] == LANES[RequestKind.BATCH]:
        step = age // AGE_STEP_S
        is_gang = state.kind is RequestKind.GANG
        size = request.need.cores * (request.n_tasks if is_gang else 1)
    return (-request.priority, request.deadline, step, -size, age, request.request_id)


def shape_of(state: RequestState) -> Shape:
    """Return the class of needs to which a request belongs.

    Needs of a class differ by less than a fifth, so that one failed attempt
    stands for all of them and the number of classes stays small.
    """
    if state.kind is RequestKind.GANG:
        return ("gang", state.request.request_id)
    need = state.request.need
    return (
        int(4.0 * math.log2(need.cores + 1.0)),
        int(4.0 * math.log2(need.memory_mb / 256.0 + 1.0)),
        need.accelerators,
        need.slots,
    )


@dataclass(eq=False, slots=True)
class _Lane:
    """Requests of one urgency.

    Parameters
    ----------
    shapes : dict
        Sorted entries by shape and team.
    open : dict
        Shapes of which a request may fit, in order of opening.
    blocked : dict
        What the last attempt needed in vain, by shape; None for a gang.
    floors : dict
        No request of the shape needs less than this; not kept for gangs.
    """

    shapes: dict[Shape, dict[str, SortedList]] = field(default_factory=dict)
    open: dict[Shape, None] = field(default_factory=dict)
    blocked: dict[Shape, Resources | None] = field(default_factory=dict)
    floors: dict[Shape, Resources] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Queue:
    """Requests with tasks that may start, in the order in which to place them.

    Parameters
    ----------
    rank : callable
        Gives a team's use relative to its share; the smallest comes first.
    """

    rank: Callable[[str], float]
    _lanes: list[_Lane] = field(default_factory=list)
    _entries: dict[str, tuple[int, Shape, OrderKey, RequestState]] = field(
        default_factory=dict
    )
    _capped: dict[str, set[Shape]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._lanes = [_Lane() for _ in range(max(LANES.values()) + 1)]

    def __contains__(self, state: RequestState) -> bool:
        return state.request.request_id in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def has_open(self) -> bool:
        """Whether some request may fit."""
        return any(lane.open for lane in self._lanes)

    def add(self, state: RequestState) -> None:
        """Enter a request; entering it again changes nothing."""
        request = state.request
        if request.request_id in self._entries:
            return
        index, shape, key = LANES[state.kind], shape_of(state), order_key(state)
        self._entries[request.request_id] = (index, shape, key, state)
        lane = self._lanes[index]
        teams = lane.shapes.setdefault(shape, {})
        teams.setdefault(request.team, SortedList()).add(key)
        if state.kind is not RequestKind.GANG:
            floor = lane.floors.get(shape, request.need)
            lane.floors[shape] = smaller(floor, request.need)
        blocked = lane.blocked.get(shape)
        if shape not in lane.blocked:
            lane.open[shape] = None
        elif blocked is not None and not blocked.fits(request.need):
            self._open(lane, shape)  # it needs less than what was in vain

    def discard(self, state: RequestState) -> None:
        """Leave a request out; an unknown one is no error."""
        request = state.request
        entry = self._entries.pop(request.request_id, None)
        if entry is None:
            return
        index, shape, key, _ = entry
        lane = self._lanes[index]
        teams = lane.shapes[shape]
        teams[request.team].remove(key)
        if not teams[request.team]:
            del teams[request.team]
        if not teams:
            del lane.shapes[shape]
            lane.open.pop(shape, None)
            lane.blocked.pop(shape, None)
            lane.floors.pop(shape, None)
        elif shape in lane.blocked and request.kind is not RequestKind.GANG:
            # The others may need less than the one for which it was blocked.
            lane.blocked[shape] = lane.floors[shape]

    def best(self) -> RequestState | None:
        """Return the request to place next, or None if none may fit."""
        for index, lane in enumerate(self._lanes):
            if not lane.open:
                continue
            found = self._best_in(lane, index < N_URGENT_LANES)
            if found is not None:
                return found
        return None

    def waiting(self, lane: int, limit: int) -> list[RequestState]:
        """Return first requests of each shape and team of a lane that is blocked."""
        found = []
        shapes = self._lanes[lane].shapes
        for shape in self._lanes[lane].blocked:
            for entries in shapes[shape].values():
                found.append(self._entries[entries[0][-1]][3])
                if len(found) >= limit:
                    return found
        return found

    def block(self, state: RequestState) -> None:
        """Note that no worker has room for a task of this request."""
        index, shape, _, _ = self._entries[state.request.request_id]
        lane = self._lanes[index]
        lane.open.pop(shape, None)
        if state.kind is RequestKind.GANG:
            lane.blocked[shape] = None
            return
        need = state.request.need
        lane.blocked[shape] = need
        for other in [s for s in lane.open if s in lane.floors]:
            if need.fits(lane.floors[other]):  # it needs as much or more
                del lane.open[other]
                lane.blocked[other] = lane.floors[other]

    def cap(self, state: RequestState) -> None:
        """Note that the hard limit of its team keeps this request back."""
        shape = self._entries[state.request.request_id][1]
        self._capped.setdefault(state.request.team, set()).add(shape)

    def uncap(self, team: str | None = None) -> None:
        """Note that a team (or every team) uses less or may use more."""
        if team is None:
            self._capped.clear()
        else:
            self._capped.pop(team, None)

    def wake(self, general: Resources, whole: Resources) -> None:
        """Reopen what fits on a worker on which room was made.

        Parameters
        ----------
        general : Resources
            Free for all kinds.
        whole : Resources
            Free for urgent kinds.
        """
        for index, lane in enumerate(self._lanes):
            if not lane.blocked:
                continue
            free = whole if index < N_URGENT_LANES else general
            opened = [
                shape
                for shape, need in lane.blocked.items()
                if need is not None and need.fits(free)
            ]
            for shape in opened:
                self._open(lane, shape)

    def reopen(self, state: RequestState) -> None:
        """Let a blocked request be tried again."""
        entry = self._entries.get(state.request.request_id)
        if entry is not None:
            self._open(self._lanes[entry[0]], entry[1])

    def reopen_all(self) -> None:
        """Let everything be tried again."""
        for lane in self._lanes:
            for shape in list(lane.blocked):
                self._open(lane, shape)

    def blocked_gangs(self) -> list[RequestState]:
        """Return the gangs that did not fit, oldest first."""
        lane = self._lanes[LANES[RequestKind.GANG]]
        states = [
            self._entries[str(shape[1])][3]
            for shape, need in lane.blocked.items()
            if need is None
        ]
        return sorted(states, key=lambda s: (s.accepted_at, s.request.request_id))

    def _open(self, lane: _Lane, shape: Shape) -> None:
        lane.blocked.pop(shape, None)
        lane.open[shape] = None

    def _best_in(self, lane: _Lane, urgent: bool) -> RequestState | None:
        best: tuple[float, OrderKey] | None = None
        rank, capped = self.rank, self._capped
        for shape in lane.open:
            for team, entries in lane.shapes[shape].items():
                if capped and shape in capped.get(team, ()):
                    continue
                candidate = (0.0 if urgent else rank(team), entries[0])
                if best is None or candidate < best:
                    best = candidate
        return None if best is None else self._entries[best[1][-1]][3]


def smaller(first: Resources, second: Resources) -> Resources:
    """Return the smaller amount in every dimension."""
    if first == second:
        return first
    return Resources(
        min(first.cores, second.cores),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
        min(first.slots, second.slots),
        min(first.connections, second.connections),
    )
