"""Accepts and cancels requests, and removes those that have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model import Answer, Reason, Request, RequestKind, not_run
from .queueing import MAX_QUEUED_TASKS, MAX_REQUESTS
from .reconcile import adopt
from .results import apply_orphan
from .state import Phase, Ran, make_request_state

if TYPE_CHECKING:
    from ..model import Resources
    from .events import RequestAccepted
    from .shardstate import ShardState
    from .state import TaskState


def refusal(shard: ShardState, request: Request, wall: float) -> Answer | None:
    """Return the rejection of a request, or None if it is accepted.

    Parameters
    ----------
    wall : float, seconds since the epoch
        Wall-clock time.
    """
    request_id = request.request_id
    if request.deadline <= wall:
        return not_run(request_id, Reason.DEADLINE, "deadline has passed")
    n_queued = shard.n_queued + request.n_tasks
    if n_queued > MAX_QUEUED_TASKS or len(shard.requests) >= MAX_REQUESTS:
        return not_run(request_id, Reason.OVERLOAD, "queue is full")
    if not shard.workers:
        return not_run(request_id, Reason.UNAVAILABLE, "no worker is held")
    if not shard.free_capacity.ever_fits(request.need):
        return not_run(request_id, Reason.INFEASIBLE, nearest_fit(shard, request.need))
    is_gang = request.kind is RequestKind.GANG
    n_at_once = request.n_tasks if is_gang else 1
    if not shard.teams.ever_within_limit(request.team, request.need, n_at_once):
        return not_run(
            request_id,
            Reason.QUOTA,
            f"beyond the hard limit of team {request.team}: "
            f"{shard.teams.quota(request.team).limit}",
        )
    if is_gang and not shard.free_capacity.ever_fits(request.need, request.n_tasks):
        return not_run(
            request_id, Reason.INFEASIBLE, "the tasks do not fit here at once"
        )
    return None


def nearest_fit(shard: ShardState, need: Resources) -> str:
    """Return which worker shape comes closest to a need, and what it lacks."""

    def lacks(capacity: Resources) -> dict[str, float]:
        return {
            name: getattr(need, name) - getattr(capacity, name)
            for name in need.__dataclass_fields__
            if getattr(need, name) > getattr(capacity, name)
        }

    shapes = sorted(shard.free_capacity.shapes, key=lambda c: (-c.cores, -c.memory_mb))
    nearest = min(
        shapes,
        key=lambda capacity: sum(
            amount / max(getattr(need, name), 1e-9)
            for name, amount in lacks(capacity).items()
        ),
    )
    missing = ", ".join(f"{amount:g} {name}" for name, amount in lacks(nearest).items())
    return f"a task fits on no worker here; the nearest one lacks {missing}"


def accept(shard: ShardState, event: RequestAccepted, now: float) -> bool:
    """Add a request and its tasks to the shard.

    Returns
    -------
    bool
        False if tasks of an ended request with this id are still being stopped;
        the caller then accepts the request later.
    """
    request = event.request
    if request.request_id in shard.requests:
        return True
    if any(request.task_id(i) in shard.tasks for i in range(request.n_tasks)):
        return False
    state = make_request_state(request, now)
    shard.requests[request.request_id] = state
    shard.watch_deadline(state)
    for task in state.tasks:
        shard.tasks[task.task_id] = task
        _admit(shard, task, event, now)
    shard.offer(state)
    return True


def end_if_worker_lost(shard: ShardState, task: TaskState, now: float) -> None:
    """End a held order task whose worker can no longer report its outcome."""
    if task.phase is not Phase.HELD or task.prior < 0:
        return
    worker = shard.workers.get(task.worker_id)
    if worker is None:
        lost = shard.roster_complete
    else:
        lost = worker.incarnation != task.incarnation
    if lost:
        shard.end_with_unknown_outcome(task, now)


def end_request(shard: ShardState, request_id: str, now: float) -> None:
    """Remove a request whose answer is recorded, and stop its remaining tasks."""
    state = shard.requests.pop(request_id, None)
    if state is None:
        _stop_unexpected_tasks(shard, request_id)
        shard.orphans.drop(request_id)
        return
    for worker_id, seq in state.results_at:
        worker = shard.workers.get(worker_id)
        if worker and worker.unsettled.get(seq) == request_id:
            del worker.unsettled[seq]
    shard.queue.discard(state)
    state.ready.clear()
    state.ended = True
    for task in state.tasks:
        if task.phase is Phase.ENDED:
            shard.tasks.pop(task.task_id, None)
        elif task.phase is Phase.RUNNING:
            # Its capacity is released once the worker no longer lists it.
            shard.stop(task, now)
        elif task.phase is Phase.RECORDING:
            shard.release(task)
            shard.end(task, None, now)
        elif task.phase in {Phase.QUEUED, Phase.HELD}:
            shard.end(task, None, now)


def cancel(shard: ShardState, request_id: str, now: float) -> None:
    """Cancel a request: stop its running tasks and start no further ones."""
    state = shard.requests.get(request_id)
    if state is None or state.finished or state.cancelled:
        return
    state.cancelled = True
    shard.queue.discard(state)
    state.ready.clear()
    for task in state.tasks:
        if task.phase is Phase.QUEUED:
            shard.end(task, None, now)
        elif task.phase is Phase.RUNNING:
            shard.stop(task, now)
    shard.finish_if_ended(state)


def _admit(
    shard: ShardState, task: TaskState, event: RequestAccepted, now: float
) -> None:
    started = event.started.get(task.task_id)
    if started is not None:
        task.prior = event.started_offsets[task.task_id]
        task.epoch = started.epoch
        task.incarnation = started.incarnation
        shard.attach(task, started.worker_id)
        shard.set_phase(task, Phase.HELD, now)
        shard.n_queued += 1  # set_phase has subtracted it, but it was not counted yet
    elif event.inherited:
        # An order without a started record has certainly not started.
        is_order = event.request.kind is RequestKind.ORDER
        task.ran = Ran.NEVER if is_order else Ran.MAYBE
        if not shard.roster_complete:
            shard.set_phase(task, Phase.HELD, now)
            shard.n_queued += 1
    if task.phase is Phase.QUEUED:
        shard.n_queued += 1
        task.owner.ready.append(task)
    listed_on = shard.unexpected_tasks.pop(task.task_id)
    if listed_on in shard.workers:
        adopt(shard, task, shard.workers[listed_on], now)
    apply_orphan(shard, task, now)
    end_if_worker_lost(shard, task, now)


def _stop_unexpected_tasks(shard: ShardState, request_id: str) -> None:
    """Stop tasks of a request that ended before it was known here."""
    for task_id, worker_id in shard.unexpected_tasks.of_request(request_id):
        worker = shard.workers.get(worker_id)
        if worker is not None:
            shard.stop_on(worker, task_id)
