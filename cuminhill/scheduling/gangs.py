"""All-at-once jobs: a reservation for the oldest that does not fit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, RequestKind, Resources
from .dispatch import place_gang, start_on
from .freecapacity import n_fitting
from .quotas import times
from .state import Phase

if TYPE_CHECKING:
    from .shardstate import ShardState
    from .state import RequestState, TaskState, WorkerState

RETRY_S = 0.25  # between attempts to place gangs that did not fit
MAX_RETRIES = 4  # gangs tried at a time
PLAN_AFTER_S = 0.5  # room may turn up by itself; a reservation leaves some unused
REPLAN_S = 2.0  # a reservation is made anew after this, as estimates are off
MIN_PLAN_WORKERS = 64  # workers looked at for a reservation, at least
HOLD_S = 1.0  # with equal weights of control cost and packing
N_BACKFILL = 16  # reserved workers looked at for one backfilled task


ENDING = frozenset({Phase.STARTING, Phase.RUNNING, Phase.STOPPING})


@dataclass(eq=False, slots=True)
class GangPlan:
    """Room that is kept for a waiting gang.

    Only one gang at a time has a plan, and it starts in one decision, so two
    gangs can never each hold a part of what the other needs.

    Parameters
    ----------
    first_at : float, seconds
        Monotonic time at which room was first kept for this gang.
    cleared : bool
        Whether the batch tasks in the way have been checkpointed.
    n_tasks_on : dict of str to int
        Number of its tasks by worker.
    missing : set of str
        Workers on which room is still in use.
    start_at : float, seconds
        Monotonic time at which all room is expected to be free.
    made_at : float, seconds
        Monotonic time at which the plan was made.
    """

    state: RequestState
    first_at: float = 0.0
    cleared: bool = False
    n_tasks_on: dict[str, int] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)
    start_at: float = 0.0
    made_at: float = 0.0


def serve_gangs(shard: ShardState, now: float) -> None:
    """Start the planned gang if its room is free; retry and plan others."""
    plan = shard.plan
    made_room, shard.made_room = shard.made_room, []
    if plan is not None:
        for worker_id in plan.missing.intersection(made_room):
            _note_room(shard, plan, worker_id)
        if plan.state not in shard.queue:
            drop_plan(shard)
        elif not plan.missing and _start_planned(shard, plan, now):
            return
        elif now - plan.first_at >= hold_s(shard) and not plan.cleared:
            _clear(shard, plan, now)
    if now < shard.gangs_due_at:
        return
    shard.gangs_due_at = now + RETRY_S
    gangs = [
        state
        for state in shard.queue.blocked_gangs()
        if shard.teams.within_limit(state.request.team, whole_need(state))
    ]
    if not gangs:
        return
    _retry(shard, gangs, now)
    _plan_oldest(shard, now)


def whole_need(state: RequestState) -> Resources:
    """Return what the waiting tasks of a gang need together."""
    return times(state.request.need, len(state.ready))


def drop_plan(shard: ShardState) -> None:
    """Give up the reservation."""
    plan, shard.plan = shard.plan, None
    if plan is None:
        return
    for worker_id in plan.n_tasks_on:
        shard.free_capacity.planned.pop(worker_id, None)
        worker = shard.workers.get(worker_id)
        if worker is not None:
            shard.free_capacity.touch(worker)
            shard.wake(worker)


def backfill(shard: ShardState, task: TaskState, now: float) -> WorkerState | None:
    """Return a reserved worker that a short batch task leaves in time."""
    plan = shard.plan
    if plan is None or task.owner.kind is not RequestKind.BATCH:
        return None
    for worker_id in list(plan.n_tasks_on)[:N_BACKFILL]:
        worker = shard.workers.get(worker_id)
        if worker is None or not worker.usable or task.task_id in worker.needs:
            continue
        if now + shard.run_time_s(task, worker) > plan.start_at:
            continue
        if task.need.fits(_room_for_plan(shard, worker)):
            plan.missing.add(worker_id)
            task.placed_because = "ends before the room is needed by a gang"
            return worker
    return None


def _retry(shard: ShardState, gangs: list[RequestState], now: float) -> None:
    planned = shard.plan.state if shard.plan is not None else None
    first = shard.gang_turn % len(gangs)
    shard.gang_turn += MAX_RETRIES
    for state in (gangs[first:] + gangs[:first])[:MAX_RETRIES]:
        if state is not planned and state in shard.queue:
            place_gang(shard, state, now)


def _plan_oldest(shard: ShardState, now: float) -> None:
    old = shard.plan
    if old is not None and now - old.made_at < REPLAN_S:
        return
    drop_plan(shard)
    for state in shard.queue.blocked_gangs():
        if now - state.waiting_since < PLAN_AFTER_S:
            continue
        if not shard.teams.within_limit(state.request.team, whole_need(state)):
            continue
        plan = make_plan(shard, state, now)
        if plan is not None:
            if old is not None and old.state is state:
                plan.first_at = old.first_at
            _keep_room(shard, plan)
            return


def _keep_room(shard: ShardState, plan: GangPlan) -> None:
    shard.plan = plan
    need = plan.state.request.need
    for worker_id, n_tasks in plan.n_tasks_on.items():
        worker = shard.workers[worker_id]
        shard.free_capacity.planned[worker_id] = times(need, n_tasks)
        if not _has_room(shard, plan, worker):
            plan.missing.add(worker_id)
        shard.free_capacity.touch(worker)


def make_plan(shard: ShardState, state: RequestState, now: float) -> GangPlan | None:
    """Choose the workers that will have room for a gang soonest.

    Returns
    -------
    GangPlan or None
        None if the known workers cannot hold it at once.
    """
    need, n_left = state.request.need, len(state.ready)
    offers: list[tuple[float, str, int]] = []
    n_seen = n_offered = 0
    for worker in shard.workers.values():
        if not worker.usable:
            continue
        mine = _offers(shard, worker, need, now)
        offers += mine
        n_seen += 1
        n_offered += mine[-1][2] if mine else 0
        if n_seen >= MIN_PLAN_WORKERS and n_offered >= 2 * n_left:
            break
    offers.sort()
    plan = GangPlan(state, first_at=now, made_at=now, start_at=now)
    for at, worker_id, n_tasks in offers:
        had = plan.n_tasks_on.get(worker_id, 0)
        more = min(n_tasks - had, n_left)
        if more > 0:
            plan.n_tasks_on[worker_id] = had + more
            plan.start_at = max(plan.start_at, at)
            n_left -= more
        if n_left == 0:
            return plan
    return None


def hold_s(shard: ShardState) -> float:
    """Return how long room is kept before batch tasks are checkpointed, in seconds.

    Room that waits for the last task to end is lost to all others, so packing
    shortens it; each checkpoint costs calls, so control cost lengthens it.
    """
    weights = shard.weights
    return HOLD_S * weights.control_cost / max(weights.packing, 1e-3)


def _clear(shard: ShardState, plan: GangPlan, now: float) -> None:
    """Checkpoint the batch tasks that are still in the way of a gang."""
    plan.cleared = True
    plan.made_at = plan.start_at = now  # no more backfill
    for worker_id in sorted(plan.missing):
        worker = shard.workers.get(worker_id)
        if worker is None or not worker.usable:
            continue
        free = _room_for_plan(shard, worker)
        tasks = [
            task
            for task in shard.tasks_on.get(worker_id, {}).values()
            if task.phase is Phase.RUNNING and task.owner.kind is RequestKind.BATCH
        ]
        for task in sorted(tasks, key=lambda t: (t.n_preempted, -t.phase_at)):
            if n_fitting(plan.state.request.need, free) >= plan.n_tasks_on[worker_id]:
                break
            free = free + task.need
            task.n_preempted += 1
            shard.n_preempted += 1
            shard.stop(task, now, "checkpoint")


def _offers(
    shard: ShardState, worker: WorkerState, need: Resources, now: float
) -> list[tuple[float, str, int]]:
    """Return when a worker is expected to have room for how many tasks."""
    free = _room_for_plan(shard, worker)
    tasks = shard.tasks_on.get(worker.worker_id, {}).values()
    ends = sorted(
        (max(now, task.phase_at + shard.run_time_s(task, worker)), task.task_id)
        for task in tasks
        if task.phase in ENDING and task.owner.kind is not RequestKind.SERVICE
    )
    count = n_fitting(need, free)
    found = [(now, worker.worker_id, count)] if count else []
    for end_at, task_id in ends:
        free = free + worker.needs.get(task_id, NO_RESOURCES)
        if n_fitting(need, free) > count:
            count = n_fitting(need, free)
            found.append((end_at, worker.worker_id, count))
    return found


def _room_for_plan(shard: ShardState, worker: WorkerState) -> Resources:
    free = shard.free_capacity.free_of(worker)
    kept = shard.free_capacity.reserves.get(worker.worker_id)
    return free if kept is None else free - kept


def _has_room(shard: ShardState, plan: GangPlan, worker: WorkerState) -> bool:
    n_tasks = plan.n_tasks_on[worker.worker_id]
    need = plan.state.request.need
    return worker.usable and n_fitting(need, _room_for_plan(shard, worker)) >= n_tasks


def _note_room(shard: ShardState, plan: GangPlan, worker_id: str) -> None:
    worker = shard.workers.get(worker_id)
    if worker is not None and _has_room(shard, plan, worker):
        plan.missing.discard(worker_id)


def _start_planned(shard: ShardState, plan: GangPlan, now: float) -> bool:
    """Start the planned gang if really all of its room is free."""
    for worker_id in plan.n_tasks_on:
        worker = shard.workers.get(worker_id)
        if worker is None:
            drop_plan(shard)
            return False
        if not _has_room(shard, plan, worker):
            plan.missing.add(worker_id)
    if plan.missing or len(plan.state.ready) != sum(plan.n_tasks_on.values()):
        return False
    need = whole_need(plan.state)
    if not shard.teams.within_limit(plan.state.request.team, need):
        return False
    tasks = list(plan.state.ready)
    for worker_id, n_tasks in plan.n_tasks_on.items():
        for _ in range(n_tasks):
            task = tasks.pop()
            if task.phase is Phase.QUEUED:
                shard.take_ready(plan.state, task)
                task.placed_because = "the room was kept for the gang"
                start_on(shard, task, shard.workers[worker_id], now)
    drop_plan(shard)
    return True
