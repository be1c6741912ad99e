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

# Urgency level of each kind. Gangs and batch requests share one, so that neither
# starves the other.
LEVELS = {
    RequestKind.CHECK: 0,
    RequestKind.ORDER: 1,
    RequestKind.SERVICE: 2,
    RequestKind.GANG: 3,
    RequestKind.BATCH: 3,
}
# Batch and gang requests of the same age step are placed largest first, since small
# ones fit into the remaining capacity; a longer step packs better but delays small
# requests.
AGE_STEP_S = 10.0
N_URGENT_LEVELS = 2  # levels that are ordered without regard to fair shares

Shape = tuple[object, ...]
OrderKey = tuple[float, float, float, float, float, str]


def order_key(state: RequestState) -> OrderKey:
    """Return the sort key of a request within its team and level."""
    request = state.request
    age = state.accepted_at
    size = step = 0.0
    if LEVELS[state.kind] == LEVELS[RequestKind.BATCH]:
        step = age // AGE_STEP_S
        is_gang = state.kind is RequestKind.GANG
        size = request.need.cores * (request.n_tasks if is_gang else 1)
    return (-request.priority, request.deadline, step, -size, age, request.request_id)


def shape_of(state: RequestState) -> Shape:
    """Return the class of similar needs that a request belongs to.

    Needs of a class differ by less than a fifth, so that one failed attempt
    represents all of them and the number of classes stays small.
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
class _Level:
    """Requests of one urgency level.

    Parameters
    ----------
    shapes : dict
        Sorted entries by shape and team.
    open : dict
        Shapes with requests that may fit, in the order in which they were opened.
    blocked : dict
        Need of the last failed attempt, by shape; None for a gang.
    min_needs : dict
        Lower bound of the needs, by shape; not kept for gangs.
    """

    shapes: dict[Shape, dict[str, SortedList]] = field(default_factory=dict)
    open: dict[Shape, None] = field(default_factory=dict)
    blocked: dict[Shape, Resources | None] = field(default_factory=dict)
    min_needs: dict[Shape, Resources] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Queue:
    """Requests with tasks that may start, in the order in which to place them.

    Parameters
    ----------
    rank : callable
        Returns a team's usage relative to its share; the smallest comes first.
    """

    rank: Callable[[str], float]
    _levels: list[_Level] = field(default_factory=list)
    _entries: dict[str, tuple[int, Shape, OrderKey, RequestState]] = field(
        default_factory=dict
    )
    _capped: dict[str, set[Shape]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._levels = [_Level() for _ in range(max(LEVELS.values()) + 1)]

    def __contains__(self, state: RequestState) -> bool:
        return state.request.request_id in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def has_open(self) -> bool:
        """Whether some request may fit."""
        return any(level.open for level in self._levels)

    def add(self, state: RequestState) -> None:
        """Add a request; a repeated call has no effect."""
        request = state.request
        if request.request_id in self._entries:
            return
        index, shape, key = LEVELS[state.kind], shape_of(state), order_key(state)
        self._entries[request.request_id] = (index, shape, key, state)
        level = self._levels[index]
        teams = level.shapes.setdefault(shape, {})
        teams.setdefault(request.team, SortedList()).add(key)
        if state.kind is not RequestKind.GANG:
            min_need = level.min_needs.get(shape, request.need)
            level.min_needs[shape] = elementwise_min(min_need, request.need)
        blocked = level.blocked.get(shape)
        if shape not in level.blocked:
            level.open[shape] = None
        elif blocked is not None and not blocked.fits(request.need):
            self._open(level, shape)  # it needs less than the failed attempt

    def discard(self, state: RequestState) -> None:
        """Remove a request; unknown requests are ignored."""
        request = state.request
        entry = self._entries.pop(request.request_id, None)
        if entry is None:
            return
        index, shape, key, _ = entry
        level = self._levels[index]
        teams = level.shapes[shape]
        teams[request.team].remove(key)
        if not teams[request.team]:
            del teams[request.team]
        if not teams:
            del level.shapes[shape]
            level.open.pop(shape, None)
            level.blocked.pop(shape, None)
            level.min_needs.pop(shape, None)
        elif shape in level.blocked and request.kind is not RequestKind.GANG:
            # The others may need less than the request that blocked the shape.
            level.blocked[shape] = level.min_needs[shape]

    def best(self) -> RequestState | None:
        """Return the request to place next, or None if none may fit."""
        for index, level in enumerate(self._levels):
            if not level.open:
                continue
            found = self._best_in(level, index < N_URGENT_LEVELS)
            if found is not None:
                return found
        return None

    def waiting(self, level: int, limit: int) -> list[RequestState]:
        """Return the first requests of each blocked shape and team of a level."""
        found = []
        shapes = self._levels[level].shapes
        for shape in self._levels[level].blocked:
            for entries in shapes[shape].values():
                found.append(self._entries[entries[0][-1]][3])
                if len(found) >= limit:
                    return found
        return found

    def block(self, state: RequestState) -> None:
        """Block the shape of a request that fits on no worker, and larger shapes."""
        index, shape, _, _ = self._entries[state.request.request_id]
        level = self._levels[index]
        level.open.pop(shape, None)
        if state.kind is RequestKind.GANG:
            level.blocked[shape] = None
            return
        need = state.request.need
        level.blocked[shape] = need
        for other in [s for s in level.open if s in level.min_needs]:
            if need.fits(level.min_needs[other]):  # its requests need as much or more
                del level.open[other]
                level.blocked[other] = level.min_needs[other]

    def cap(self, state: RequestState) -> None:
        """Skip the shape of a request while its team is at its hard limit."""
        shape = self._entries[state.request.request_id][1]
        self._capped.setdefault(state.request.team, set()).add(shape)

    def uncap(self, team: str | None = None) -> None:
        """Undo `cap` for a team, or for all, after its usage or limit has changed."""
        if team is None:
            self._capped.clear()
        else:
            self._capped.pop(team, None)

    def wake(self, general: Resources, with_reserves: Resources) -> None:
        """Reopen the shapes that fit on a worker with newly freed capacity.

        Parameters
        ----------
        general : Resources
            Free for all kinds.
        with_reserves : Resources
            Free for urgent kinds.
        """
        for index, level in enumerate(self._levels):
            if not level.blocked:
                continue
            free = with_reserves if index < N_URGENT_LEVELS else general
            opened = [
                shape
                for shape, need in level.blocked.items()
                if need is not None and need.fits(free)
            ]
            for shape in opened:
                self._open(level, shape)

    def reopen(self, state: RequestState) -> None:
        """Reopen the shape of a blocked request."""
        entry = self._entries.get(state.request.request_id)
        if entry is not None:
            self._open(self._levels[entry[0]], entry[1])

    def reopen_all(self) -> None:
        """Reopen all shapes."""
        for level in self._levels:
            for shape in list(level.blocked):
                self._open(level, shape)

    def blocked_gangs(self) -> list[RequestState]:
        """Return the gangs that did not fit, oldest first."""
        level = self._levels[LEVELS[RequestKind.GANG]]
        states = [
            self._entries[str(shape[1])][3]
            for shape, need in level.blocked.items()
            if need is None
        ]
        return sorted(states, key=lambda s: (s.accepted_at, s.request.request_id))

    def _open(self, level: _Level, shape: Shape) -> None:
        level.blocked.pop(shape, None)
        level.open[shape] = None

    def _best_in(self, level: _Level, urgent: bool) -> RequestState | None:
        best: tuple[float, OrderKey] | None = None
        rank, capped = self.rank, self._capped
        for shape in level.open:
            for team, entries in level.shapes[shape].items():
                if capped and shape in capped.get(team, ()):
                    continue
                candidate = (0.0 if urgent else rank(team), entries[0])
                if best is None or candidate < best:
                    best = candidate
        return None if best is None else self._entries[best[1][-1]][3]


def elementwise_min(first: Resources, second: Resources) -> Resources:
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
