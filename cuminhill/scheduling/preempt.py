"""Preemption of batch work by urgent work and by teams below their share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model import RequestKind
from .queueing import LEVELS, N_URGENT_LEVELS
from .state import Phase

if TYPE_CHECKING:
    from ..model import Resources
    from .shardstate import ShardState
    from .state import RequestState, TaskState, WorkerState

# Urgent work starts within 1.7 s: it waits at most this long for a task to end
# without preemption, then `reconcile.STOP_AFTER_S` for the checkpoint, and for two
# reports.
MAX_WAIT_S = 0.2
BASE_WAIT_S = 0.15  # with equal weights of waiting and control cost
PREEMPT_AGAIN_S = 1.2  # between preemptions for the same request
MAX_REQUESTS_PER_EVENT = 4
MAX_TASKS_PER_REQUEST = 4
N_WORKERS = 16  # workers compared to find the lowest cost
N_LENT_WORKERS = 64  # the same when only work on lent capacity may be preempted
MAX_PREEMPTIONS = 5  # of one task, except by checks and orders

BATCH_LEVEL = LEVELS[RequestKind.BATCH]


def preempt_batch(shard: ShardState, now: float) -> None:
    """Checkpoint batch tasks to place requests that have waited too long."""
    n_left = MAX_REQUESTS_PER_EVENT
    for level in range(BATCH_LEVEL):
        for state in shard.queue.waiting(level, MAX_REQUESTS_PER_EVENT):
            if n_left > 0 and _is_due(shard, state, now):
                n_left -= 1
                _preempt_for(shard, state, level, now)
    if not shard.teams.quotas:
        return
    for state in shard.queue.waiting(BATCH_LEVEL, len(shard.teams.quotas) + 8):
        team, need = state.request.team, state.request.need
        within_share = (
            shard.teams.fits_share(team, need) and state.kind is RequestKind.BATCH
        )
        if n_left > 0 and within_share and _is_due(shard, state, now):
            n_left -= 1
            _preempt_for(shard, state, BATCH_LEVEL, now)


def max_wait_s(shard: ShardState) -> float:
    """Return the maximum wait before a request preempts others, in seconds."""
    weights = shard.weights
    ratio = weights.control_cost / max(weights.waiting, 1e-3)
    return min(MAX_WAIT_S, BASE_WAIT_S * ratio)


def _is_due(shard: ShardState, state: RequestState, now: float) -> bool:
    waited_s = now - state.waiting_since
    return waited_s >= max_wait_s(shard) and now >= state.preempt_again_at


def _preempt_for(
    shard: ShardState, state: RequestState, level: int, now: float
) -> None:
    state.preempt_again_at = now + PREEMPT_AGAIN_S
    for _ in range(min(len(state.ready), MAX_TASKS_PER_REQUEST)):
        victims = _cheapest_victims(shard, state, level)
        if not victims:
            return
        state.waits_for = f"{len(victims)} batch tasks to be checkpointed"
        for task in victims:
            task.n_preempted += 1
            shard.n_preempted += 1
            shard.stop(task, now, "checkpoint")


def _cheapest_victims(
    shard: ShardState, state: RequestState, level: int
) -> list[TaskState]:
    """Return the tasks to preempt on the worker with the lowest cost."""
    need = state.request.need
    limit = N_LENT_WORKERS if level == BATCH_LEVEL else N_WORKERS
    best: list[TaskState] = []
    best_cost = float("inf")
    for worker_id in shard.free_capacity.reclaimable().fitting(
        need, tight=False, limit=limit
    ):
        worker = shard.workers[worker_id]
        victims = _victims_on(shard, worker, need, level)
        if not victims:
            continue
        cost = sum(1.0 + 0.5 * task.n_preempted for task in victims)
        if cost < best_cost:
            best, best_cost = victims, cost
    return best


def _victims_on(
    shard: ShardState, worker: WorkerState, need: Resources, level: int
) -> list[TaskState]:
    """Return a minimal set of batch tasks whose end frees enough capacity."""
    if level == 0:
        free = shard.free_capacity.free_of(worker)
    elif level < N_URGENT_LEVELS:
        free = shard.free_capacity.free_of(worker)
        check_reserve = shard.free_capacity.check_reserves.get(worker.worker_id)
        free = free if check_reserve is None else free - check_reserve
    else:
        free = shard.free_capacity.general_free(worker)
    if need.fits(free):
        return []  # fits without preemption; about to be placed
    chosen: list[TaskState] = []
    for task in _preemptible(shard, worker, level):
        chosen.append(task)
        free = free + task.need
        if need.fits(free):
            break
    else:
        return []
    for task in list(chosen):
        if need.fits(free - task.need):
            chosen.remove(task)
            free = free - task.need
    return chosen


def _preemptible(shard: ShardState, worker: WorkerState, level: int) -> list[TaskState]:
    """Return the preemptible batch tasks on a worker, cheapest first."""
    found = []
    for task in shard.tasks_on.get(worker.worker_id, {}).values():
        if task.phase is not Phase.RUNNING or task.owner.kind is not RequestKind.BATCH:
            continue
        if level >= N_URGENT_LEVELS and task.n_preempted >= MAX_PREEMPTIONS:
            continue
        if level == BATCH_LEVEL and not shard.teams.borrows(task.owner.request.team):
            continue
        found.append(task)
    found.sort(
        key=lambda t: (t.owner.request.priority, t.n_preempted, -t.phase_at, t.task_id)
    )
    return found
