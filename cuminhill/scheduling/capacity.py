"""Index of workers by free resources."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

if TYPE_CHECKING:
    from collections.abc import Container, Iterator

    from ..model import Resources

N_CANDIDATES = 12  # fitting workers that a policy compares at most
N_SAMPLED = 24  # members of a cell that the first pass examines
MAX_ACCELERATOR_LEVEL = 4

Cell = tuple[int, int, int, int]


@dataclass(eq=False, slots=True)
class _Members:
    """Members of one cell, in a list so that they can be sampled."""

    ids: list[str] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)

    def add(self, worker_id: str) -> None:
        self.positions[worker_id] = len(self.ids)
        self.ids.append(worker_id)

    def remove(self, worker_id: str) -> None:
        position = self.positions.pop(worker_id)
        last = self.ids.pop()
        if last != worker_id:
            self.ids[position] = last
            self.positions[last] = position


def _level(amount: float) -> int:
    return int(2.0 * math.log2(amount + 1.0)) if amount > 0 else 0


def _cell(free: Resources, speed: float) -> Cell:
    return (
        _level(free.cores),
        _level(free.memory_mb / 1024.0),
        min(MAX_ACCELERATOR_LEVEL, int(free.accelerators)),
        max(-3, min(3, round(2.0 * math.log2(speed)))) if speed > 0 else -3,
    )


@dataclass(eq=False, slots=True)
class CapacityIndex:
    """Workers grouped in cells of similar free resources.

    The number of non-empty cells depends on the variety of the workers and not on
    their number, and a search examines only a few workers of each cell.
    """

    _free: dict[str, Resources] = field(default_factory=dict)
    _cells: dict[str, Cell] = field(default_factory=dict)
    _members: SortedDict = field(default_factory=SortedDict)
    _rotation: int = 0

    def __len__(self) -> int:
        return len(self._free)

    def put(self, worker_id: str, free: Resources, speed: float) -> None:
        """Add a worker or update its free resources.

        A worker without a free slot or connection is not indexed.
        """
        if free.slots <= 0 or free.connections <= 0 or free.cores < 0:
            self.drop(worker_id)
            return
        self._free[worker_id] = free
        cell = _cell(free, speed)
        old = self._cells.get(worker_id)
        if old == cell:
            return
        if old is not None:
            self._remove_member(worker_id, old)
        self._cells[worker_id] = cell
        members = self._members.get(cell)
        if members is None:
            members = self._members[cell] = _Members()
        members.add(worker_id)

    def drop(self, worker_id: str) -> None:
        """Remove a worker; unknown workers are ignored."""
        cell = self._cells.pop(worker_id, None)
        if cell is None:
            return
        del self._free[worker_id]
        self._remove_member(worker_id, cell)

    def free_of(self, worker_id: str) -> Resources | None:
        """Return the indexed free resources of a worker."""
        return self._free.get(worker_id)

    def fitting(
        self,
        need: Resources,
        *,
        tight: bool,
        limit: int = N_CANDIDATES,
        excluded: Container[str] = (),
    ) -> list[str]:
        """Return up to ``limit`` workers on which a task fits.

        Parameters
        ----------
        need : Resources
            What the task needs.
        tight : bool
            Whether the workers with the least free resources come first, or else
            those with the most.
        limit : int, default=N_CANDIDATES
            Maximum number of workers to return.
        excluded : container of str, default=()
            Workers on which the task may not run.

        Returns
        -------
        list of str
            Empty only if the task fits on none of the other indexed workers.
        """
        self._rotation += 1
        found: list[str] = []
        partly_seen: list[_Members] = []
        free = self._free
        for members in self._matching(need, tight):
            ids = members.ids
            size = len(ids)
            if size > N_SAMPLED:
                partly_seen.append(members)
            step = size // N_SAMPLED + 1 if size > N_SAMPLED else 1
            position = self._rotation % size
            for _ in range(min(size, N_SAMPLED)):
                worker_id = ids[position]
                if worker_id not in excluded and need.fits(free[worker_id]):
                    found.append(worker_id)
                    if len(found) >= limit:
                        return found
                position = (position + step) % size
        if found:
            return found
        # The sample can miss the only worker that fits, and an empty result must be
        # exact.
        for members in partly_seen:
            for worker_id in members.ids:
                if worker_id not in excluded and need.fits(free[worker_id]):
                    return [worker_id]
        return []

    def _matching(self, need: Resources, tight: bool) -> Iterator[_Members]:
        cores = _level(need.cores)
        memory = _level(need.memory_mb / 1024.0)
        accelerators = min(MAX_ACCELERATOR_LEVEL, math.ceil(need.accelerators))
        cells = self._members.irange(minimum=(cores, memory), reverse=not tight)
        for cell in cells:
            if cell[1] >= memory and cell[2] >= accelerators:
                yield self._members[cell]

    def _remove_member(self, worker_id: str, cell: Cell) -> None:
        members = self._members[cell]
        members.remove(worker_id)
        if not members.ids:
            del self._members[cell]
