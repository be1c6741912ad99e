"""Placement policy of each request kind."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from ..model import RequestKind, Resources

if TYPE_CHECKING:
    from .freecapacity import FreeCapacity
    from .state import TaskState, WorkerState

N_SPREAD_CANDIDATES = 32  # enough to see several racks
RACK_PENALTY = 4.0  # a shared rack outweighs any difference in load


@dataclass(frozen=True, slots=True)
class Weights:
    """Optimization goals of a site.

    Parameters
    ----------
    waiting : float, default=1
        Weight of waiting time: prefers faster workers and earlier preemption.
    packing : float, default=1
        Weight of packing: prefers tighter fits.
    control_cost : float, default=1
        Weight of control cost: prefers fewer preemptions.
    check_reserve : float, default=0.03
        Fraction of all slots reserved for checks.
    """

    waiting: float = 1.0
    packing: float = 1.0
    control_cost: float = 1.0
    check_reserve: float = 0.03


@dataclass(frozen=True, slots=True)
class CheckPolicy:
    """Prefers fast and idle workers; may use the check reserve as a last resort."""


@dataclass(frozen=True, slots=True)
class OrderPolicy:
    """Prefers fast and idle workers; may use capacity reserved for a gang."""


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Prefers racks with the fewest tasks of the service, then idle workers."""


@dataclass(frozen=True, slots=True)
class BatchPolicy:
    """Best fit: prefers the worker with the least left over in every dimension."""


@dataclass(frozen=True, slots=True)
class GangPolicy:
    """Best fit as for batch; all tasks are placed or none."""


Policy = CheckPolicy | OrderPolicy | ServicePolicy | BatchPolicy | GangPolicy

_POLICIES: dict[RequestKind, Policy] = {
    RequestKind.CHECK: CheckPolicy(),
    RequestKind.ORDER: OrderPolicy(),
    RequestKind.BATCH: BatchPolicy(),
    RequestKind.GANG: GangPolicy(),
    RequestKind.SERVICE: ServicePolicy(),
}


REASONS: dict[type[Policy], str] = {
    CheckPolicy: "fast and idle",
    OrderPolicy: "fast and idle",
    ServicePolicy: "shares its rack with fewest tasks of the service",
    BatchPolicy: "least is left over on the worker",
    GangPolicy: "least is left over on the worker",
}


def policy_for(kind: RequestKind) -> Policy:
    """Return the policy of a request kind."""
    return _POLICIES[kind]


@singledispatch
def score(
    policy: Policy,
    task: TaskState,
    worker: WorkerState,
    free_capacity: FreeCapacity,
    weights: Weights,
) -> float:
    """Return the score of a worker on which a task fits; larger is better."""
    raise TypeError(f"not a policy: {policy!r}")


@score.register(CheckPolicy)
@score.register(OrderPolicy)
def _(
    policy: Policy,
    task: TaskState,
    worker: WorkerState,
    free_capacity: FreeCapacity,
    weights: Weights,
) -> float:
    speed = math.log2(max(free_capacity.speed(worker), 1e-3))
    return weights.waiting * speed + idle_fraction(
        worker, free_capacity.free_of(worker)
    )


@score.register(ServicePolicy)
def _(
    policy: ServicePolicy,
    task: TaskState,
    worker: WorkerState,
    free_capacity: FreeCapacity,
    weights: Weights,
) -> float:
    shared = task.owner.racks[worker.rack]
    return idle_fraction(worker, free_capacity.free_of(worker)) - RACK_PENALTY * shared


@score.register(BatchPolicy)
@score.register(GangPolicy)
def _(
    policy: Policy,
    task: TaskState,
    worker: WorkerState,
    free_capacity: FreeCapacity,
    weights: Weights,
) -> float:
    speed = math.log2(max(free_capacity.speed(worker), 1e-3))
    fit = fit_score(task.need, free_capacity.free_of(worker), worker.capacity)
    return weights.packing * fit + 0.1 * weights.waiting * speed


@singledispatch
def candidates(
    policy: Policy, task: TaskState, free_capacity: FreeCapacity
) -> list[str]:
    """Return the workers to compare; empty only if the task fits on none."""
    raise TypeError(f"not a policy: {policy!r}")


@candidates.register(CheckPolicy)
@candidates.register(OrderPolicy)
def _(policy: Policy, task: TaskState, free_capacity: FreeCapacity) -> list[str]:
    excluded = _excluded(policy, free_capacity)
    found = free_capacity.general.fitting(task.need, tight=False, excluded=excluded)
    if found:
        return found
    if isinstance(policy, OrderPolicy):
        # Orders may use capacity reserved for a gang, but not the check reserve.
        excluded = excluded.union(free_capacity.check_reserves)
    return free_capacity.with_reserves.fitting(
        task.need, tight=False, excluded=excluded
    )


@candidates.register(ServicePolicy)
def _(policy: ServicePolicy, task: TaskState, free_capacity: FreeCapacity) -> list[str]:
    return free_capacity.general.fitting(
        task.need,
        tight=False,
        limit=N_SPREAD_CANDIDATES,
        excluded=_excluded(policy, free_capacity),
    )


@candidates.register(BatchPolicy)
@candidates.register(GangPolicy)
def _(policy: Policy, task: TaskState, free_capacity: FreeCapacity) -> list[str]:
    excluded = _excluded(policy, free_capacity)
    return free_capacity.general.fitting(task.need, tight=True, excluded=excluded)


def _excluded(policy: Policy, free_capacity: FreeCapacity) -> set[str]:
    """Return the workers that are left to one task of another kind, as a probe."""
    return set() if isinstance(policy, BatchPolicy) else free_capacity.probing


def choose(
    policy: Policy, task: TaskState, free_capacity: FreeCapacity, weights: Weights
) -> WorkerState | None:
    """Return the best worker on which a task fits, or None."""
    found = candidates(policy, task, free_capacity)
    if not found and free_capacity.needs_reserve(task.need):
        found = free_capacity.with_reserves.fitting(
            task.need, tight=True, excluded=_excluded(policy, free_capacity)
        )
    workers = free_capacity.workers
    # Excludes workers that may still run an earlier copy of this task.
    found = [key for key in found if task.task_id not in workers[key].needs]
    if task.failed_on:
        found = _prefer_untried(policy, task, found, free_capacity)
    if not found:
        return None
    best = max(
        (workers[key] for key in found),
        key=lambda worker: score(policy, task, worker, free_capacity, weights),
    )
    task.placed_because = f"{REASONS[type(policy)]}, best of {len(found)} compared"
    return best


def _prefer_untried(
    policy: Policy, task: TaskState, found: list[str], free_capacity: FreeCapacity
) -> list[str]:
    """Prefer workers on which the task has not failed yet."""
    if any(key not in task.failed_on for key in found):
        return [key for key in found if key not in task.failed_on]
    excluded = _excluded(policy, free_capacity).union(task.failed_on)
    more = free_capacity.general.fitting(
        task.need, tight=False, limit=1, excluded=excluded
    )
    return more or found


def idle_fraction(worker: WorkerState, free: Resources) -> float:
    """Return the smallest free fraction of a worker's cores and slots."""
    capacity = worker.capacity
    return min(
        free.cores / capacity.cores if capacity.cores else 1.0,
        free.slots / capacity.slots if capacity.slots else 1.0,
    )


def fit_score(need: Resources, free: Resources, capacity: Resources) -> float:
    """Return how well a need fills the free resources; 0 is a perfect fit.

    The score penalizes leftover resources and their imbalance, since a worker with
    cores but no memory left cannot run anything more.

    Parameters
    ----------
    need, free, capacity : Resources
        Of the task and the worker.
    """
    left = [
        (available - amount) / size
        for amount, available, size in (
            (need.cores, free.cores, capacity.cores),
            (need.memory_mb, free.memory_mb, capacity.memory_mb),
            (need.slots, free.slots, capacity.slots),
        )
        if size > 0
    ]
    # Work without accelerators avoids workers that have some free.
    wasted = 1.0 if free.accelerators > 0 and need.accelerators <= 0 else 0.0
    return -sum(left) / 3.0 - 0.5 * (max(left) - min(left)) - wasted
