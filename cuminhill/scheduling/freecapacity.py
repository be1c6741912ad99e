"""Free capacity of a shard, as used by the placement policies."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, RequestKind, Resources
from .capacity import CapacityIndex
from .state import Phase

if TYPE_CHECKING:
    from .state import TaskState, WorkerState

# Expected need of a check; each reserved slot holds this much.
CHECK_NEED = Resources(1.0, 512.0, 0.0, 1.0, 1.0)
RESERVE_PERIOD_S = 1.0  # sorting the workers on each change would be quadratic


@dataclass(eq=False, slots=True)
class FreeCapacity:
    """Indexes over the free resources of all usable workers.

    Parameters
    ----------
    general : CapacityIndex
        Free for all kinds: excludes check reserves and gang reservations.
    with_reserves : CapacityIndex
        Free for urgent work: includes the reserves.
    check_reserves : dict of str to Resources
        Reserved for checks, by worker.
    gang_reserves : dict of str to Resources
        Reserved for a waiting gang, by worker.
    probing : set of str
        Ejected workers that accept one batch task as a probe.
    total : Resources
        Capacity of all usable workers.
    total_free : Resources
        Free resources on them by the declared needs.
    """

    workers: dict[str, WorkerState]
    tasks_on: dict[str, dict[str, TaskState]]
    speeds: dict[str, float] = field(default_factory=dict)
    general: CapacityIndex = field(default_factory=CapacityIndex)
    with_reserves: CapacityIndex = field(default_factory=CapacityIndex)
    check_reserves: dict[str, Resources] = field(default_factory=dict)
    gang_reserves: dict[str, Resources] = field(default_factory=dict)
    probing: set[str] = field(default_factory=set)
    total: Resources = NO_RESOURCES
    total_free: Resources = NO_RESOURCES
    shapes: Counter[Resources] = field(default_factory=Counter)
    _reclaim: CapacityIndex = field(default_factory=CapacityIndex)
    _dirty: dict[str, None] = field(default_factory=dict)
    _counted_capacity: dict[str, Resources] = field(default_factory=dict)
    _counted_free: dict[str, Resources] = field(default_factory=dict)
    _shape_of: dict[str, Resources] = field(default_factory=dict)
    _reserve_due_at: float = 0.0
    _reserve_stale: bool = True
    _unreserved_capacities: list[Resources] | None = None

    def update_worker(self, worker: WorkerState) -> None:
        """Update the indexes after a change of a worker."""
        worker_id = worker.worker_id
        self._count(worker_id, worker.capacity if worker.usable else None)
        if self._shape_of.get(worker_id) != worker.capacity:
            self._set_shape(worker_id, worker.capacity)
        self._dirty[worker_id] = None
        self._count_free(worker_id, worker.free if worker.usable else None)
        if not worker.usable:
            self.general.drop(worker_id)
            self.with_reserves.drop(worker_id)
            return
        speed = self.speed(worker)
        free = self.free_of(worker)
        self.with_reserves.put(worker_id, free, speed)
        self.general.put(worker_id, self._unreserved(worker_id, free), speed)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that has left."""
        self._count(worker_id, None)
        self._count_free(worker_id, None)
        self._set_shape(worker_id, None)
        for index in (self.general, self.with_reserves, self._reclaim):
            index.drop(worker_id)
        self.check_reserves.pop(worker_id, None)
        self.gang_reserves.pop(worker_id, None)

    def speed(self, worker: WorkerState) -> float:
        """Return the learned speed of a worker, or the reported one."""
        return self.speeds.get(worker.worker_id, worker.speed)

    def free_of(self, worker: WorkerState) -> Resources:
        """Return the free resources by declared needs and measured usage."""
        if worker.excess is NO_RESOURCES:
            return worker.free
        return worker.free - worker.excess

    def general_free(self, worker: WorkerState) -> Resources:
        """Return the free resources of a worker, without its reserves."""
        return self._unreserved(worker.worker_id, self.free_of(worker))

    def reclaimable(self) -> CapacityIndex:
        """Return the index over resources that are free or used by running batch."""
        for worker_id in self._dirty:
            worker = self.workers.get(worker_id)
            if worker is None or not worker.usable:
                self._reclaim.drop(worker_id)
                continue
            free = self.free_of(worker)
            for task in self.tasks_on.get(worker_id, {}).values():
                if task.phase is Phase.RUNNING and task.owner.kind is RequestKind.BATCH:
                    free = free + task.need
            self._reclaim.put(worker_id, free, self.speed(worker))
        self._dirty.clear()
        return self._reclaim

    def ever_fits(self, need: Resources, n_tasks: int = 1) -> bool:
        """Return whether ``n_tasks`` fit at a time on the known workers when idle."""
        n_places = 0
        for capacity, n_workers in self.shapes.items():
            n_places += n_workers * n_fitting(need, capacity)
            if n_places >= n_tasks:
                return True
        return False

    def needs_reserve(self, need: Resources) -> bool:
        """Return whether a need only fits into capacity reserved for checks."""
        if not self.check_reserves:
            return False
        if self._unreserved_capacities is None:
            self._unreserved_capacities = list(
                {
                    capacity - self.check_reserves.get(worker_id, NO_RESOURCES)
                    for worker_id, capacity in self._counted_capacity.items()
                }
            )
        return not any(need.fits(capacity) for capacity in self._unreserved_capacities)

    def set_reserve(self, fraction: float, now: float) -> list[str]:
        """Reserve a fraction of all slots for checks, on the slowest workers.

        Returns
        -------
        list of str
            Workers whose reserve has changed.
        """
        if not self._reserve_stale or now < self._reserve_due_at:
            return []
        self._reserve_stale = False
        self._reserve_due_at = now + RESERVE_PERIOD_S
        n_slots = int(fraction * self.total.slots)
        usable = [w for w in self.workers.values() if w.usable]
        # A reserved slot wastes the least capacity on a slow worker; checks use it
        # only when all other workers are full.
        usable.sort(key=lambda w: (self.speed(w), w.worker_id))
        # At most one slot per worker and half of the workers, so that a task that
        # needs a whole worker still finds one.
        chosen = {w.worker_id for w in usable[: min(n_slots, len(usable) // 2)]}
        changed = chosen.symmetric_difference(self.check_reserves)
        self.check_reserves = {worker_id: CHECK_NEED for worker_id in sorted(chosen)}
        self._unreserved_capacities = None
        for worker_id in changed:
            self.update_worker(self.workers[worker_id])
        return sorted(changed)

    def refresh_reserve(self) -> None:
        """Have the check reserves chosen again, after a change of their fraction."""
        self._reserve_stale = True

    def _unreserved(self, worker_id: str, free: Resources) -> Resources:
        check_reserve = self.check_reserves.get(worker_id)
        if check_reserve is not None:
            free = free - check_reserve
        gang_reserve = self.gang_reserves.get(worker_id)
        return free if gang_reserve is None else free - gang_reserve

    def _count(self, worker_id: str, capacity: Resources | None) -> None:
        old = self._counted_capacity.get(worker_id)
        if old is capacity or old == capacity:
            return
        self._reserve_stale = True
        self._unreserved_capacities = None
        if old is not None:
            self.total = self.total - old
            del self._counted_capacity[worker_id]
        if capacity is not None:
            self.total = self.total + capacity
            self._counted_capacity[worker_id] = capacity

    def _count_free(self, worker_id: str, free: Resources | None) -> None:
        old = self._counted_free.pop(worker_id, None)
        if old is not None:
            self.total_free = self.total_free - old
        if free is not None:
            self.total_free = self.total_free + free
            self._counted_free[worker_id] = free
        if not self._counted_free:
            self.total_free = NO_RESOURCES  # rounding errors do not accumulate

    def _set_shape(self, worker_id: str, capacity: Resources | None) -> None:
        old = self._shape_of.pop(worker_id, None)
        if old is not None:
            self.shapes[old] -= 1
            if not self.shapes[old]:
                del self.shapes[old]
        if capacity is not None:
            self._shape_of[worker_id] = capacity
            self.shapes[capacity] += 1


def n_fitting(need: Resources, free: Resources) -> int:
    """Return how many tasks with this need fit into ``free``."""
    pairs = (
        (need.cores, free.cores),
        (need.memory_mb, free.memory_mb),
        (need.accelerators, free.accelerators),
        (need.slots, free.slots),
        (need.connections, free.connections),
    )
    count = 10**9
    for amount, available in pairs:
        if amount > 0:
            count = min(count, int(available // amount))
    return max(0, count)
