"""Dispatch of queued requests: chooses the next task and its worker."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..model import RequestKind
from .events import RecordStart, StartTask
from .policies import choose, policy_for
from .quotas import scale
from .state import Phase

if TYPE_CHECKING:
    from .shardstate import ShardState
    from .state import RequestState, TaskState, WorkerState

# Limits on the work of one decision; the rest is processed at the next event.
MAX_STARTS_PER_EVENT = 16
MAX_ATTEMPTS_PER_EVENT = 24


Backfill = Callable[["ShardState", "TaskState", float], "WorkerState | None"]


def place_queued(
    shard: ShardState, backfill: Backfill, now: float, wall: float
) -> bool:
    """Start queued tasks; return whether the limits left some for later.

    Parameters
    ----------
    backfill : callable
        Finds capacity reserved for a gang when there is no other.
    """
    n_left = MAX_STARTS_PER_EVENT
    for _ in range(MAX_ATTEMPTS_PER_EVENT):
        state = shard.queue.best()
        if state is None:
            return False
        if n_left <= 0:
            return True
        n_left -= place_request(shard, state, backfill, now, wall)
    return shard.queue.has_open


def place_request(
    shard: ShardState, state: RequestState, backfill: Backfill, now: float, wall: float
) -> int:
    """Place the next task of a request (of a gang, all); return how many started."""
    task = state.ready[0]
    if not shard.may_start(task, wall):
        shard.queue.discard(state)  # too close to its deadline, whose timer answers it
        return 0
    if state.kind is RequestKind.GANG:
        return place_gang(shard, state, now)
    if not shard.teams.within_limit(state.request.team, task.need):
        state.waits_for = "the team's hard limit"
        shard.queue.cap(state)
        return 0
    worker = choose(policy_for(state.kind), task, shard.free_capacity, shard.weights)
    if worker is None:
        worker = backfill(shard, task, now)
    if worker is None:
        state.waits_for = "room on a worker"
        shard.queue.block(state)
        return 0
    shard.remove_ready(state, task)
    start_on(shard, task, worker, now)
    return 1


def start_on(
    shard: ShardState, task: TaskState, worker: WorkerState, now: float
) -> None:
    """Assign a task to a worker; the start of an order is recorded first."""
    if task.owner.kind is RequestKind.ORDER:
        shard.occupy(task, worker, Phase.RECORDING, now)
        shard.actions.append(
            RecordStart(
                task.task_id,
                task.owner.request,
                task.worker_id,
                task.epoch,
                task.incarnation,
                task.prior,
            )
        )
        return
    shard.occupy(task, worker, Phase.STARTING, now)
    shard.mark_probe_started(task, worker)
    call_start(shard, task)


def call_start(shard: ShardState, task: TaskState) -> None:
    """Request the start call to the worker."""
    shard.n_placed += 1
    task.start_number = shard.n_placed
    shard.actions.append(
        StartTask(
            task.task_id,
            task.owner.request,
            task.worker_id,
            task.epoch,
            task.remaining_s,
            task.start_number,
        )
    )


def place_gang(shard: ShardState, state: RequestState, now: float) -> int:
    """Place all tasks of a gang, or none."""
    tasks = list(state.ready)
    if not shard.teams.within_limit(
        state.request.team, scale(state.request.need, len(tasks))
    ):
        state.waits_for = "the team's hard limit"
        shard.queue.cap(state)
        return 0
    policy = policy_for(state.kind)
    chosen: list[tuple[TaskState, WorkerState]] = []
    for task in tasks:
        worker = choose(policy, task, shard.free_capacity, shard.weights)
        if worker is None:
            break
        worker.reserve(task.task_id, task.need)
        shard.free_capacity.update_worker(worker)
        chosen.append((task, worker))
    if len(chosen) < len(tasks):
        for task, worker in chosen:
            worker.free_task(task.task_id)
            shard.free_capacity.update_worker(worker)
        state.waits_for = f"room for {len(tasks)} tasks at once"
        shard.queue.block(state)
        return 0
    for task, worker in chosen:
        shard.remove_ready(state, task)
        start_on(shard, task, worker, now)
    return len(chosen)
