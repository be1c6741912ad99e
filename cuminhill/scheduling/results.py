"""Handling of task results and of replies to start calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model import RequestKind
from .reconcile import fence, regroup, stop_if_unwanted
from .state import OCCUPYING, Phase, Ran

if TYPE_CHECKING:
    from ..platform.worker import TaskResult
    from .events import StartReplied
    from .shardstate import ShardState
    from .state import TaskState, WorkerState

MAX_TRIES = 3  # on workers that are not ejected
MAX_TOTAL_TRIES = 9
# Many failing jobs at once must not take all workers out of service.
MAX_EJECTED_FRACTION = 0.34
RETRY_BASE_S = 0.2  # delay after the first failure; doubles with each one
RETRY_MAX_S = 30.0
STABLE_RUN_S = 10.0  # a service that ran for longer is restarted at once


def retry_delay_s(n_failures: int) -> float:
    """Return the delay before the next try, in seconds."""
    return float(min(RETRY_MAX_S, RETRY_BASE_S * 2.0 ** min(n_failures - 1, 30)))


def handle_result(
    shard: ShardState, worker: WorkerState, result: TaskResult, now: float
) -> None:
    """Process the result of a task, which may be delivered more than once."""
    if not worker.record_result(result.seq, result.task_id):
        return
    task = shard.tasks.get(result.task_id)
    shard.unexpected_tasks.pop(result.task_id)
    was_present = (
        task is not None
        and task.worker_id == worker.worker_id
        and task.phase in OCCUPYING
        and task.phase is not Phase.RECORDING
    )
    if task is None or was_present or task.worker_id != worker.worker_id:
        shard.release_on(worker, result.task_id)
    if task is None:
        shard.orphans.put(worker, result, now)
        return
    if task.phase is Phase.ENDED:
        return
    if not was_present and not _counts_late(task, result):
        _keep_progress(task, result)
        return
    settle(shard, worker, task, result, now)


def settle(
    shard: ShardState,
    worker: WorkerState,
    task: TaskState,
    result: TaskResult,
    now: float,
) -> None:
    """Apply a result, and have its worker keep it until the request is over."""
    if not task.owner.ended:
        worker.unsettled[result.seq] = task.request_id
        task.owner.results_at.append((worker.worker_id, result.seq))
    task.ran = Ran.YES
    _apply_result(shard, worker, task, result, now)
    kept = worker.unsettled.get(result.seq) is not None
    if kept and task.phase is not Phase.ENDED and result.remaining_s is None:
        # The task is retried, so this result is no longer needed.
        worker.unsettled.pop(result.seq, None)
        task.owner.results_at.pop()


def apply_orphan(shard: ShardState, task: TaskState, now: float) -> None:
    """Apply a result that arrived before its task was known to this placer."""
    orphan = shard.orphans.pop_task(task.task_id)
    if orphan is None:
        return
    if _counts_late(task, orphan.result):
        settle(shard, orphan.worker, task, orphan.result, now)
    else:
        _keep_progress(task, orphan.result)


def _counts_late(task: TaskState, result: TaskResult) -> bool:
    """Return whether a result counts although its task is not on that worker now.

    A task that a former placer started may have ended there, and one that was
    declared lost may have succeeded. A failure proves nothing, since a later try
    may run elsewhere; an order has no later try.
    """
    if task.phase not in {Phase.HELD, Phase.QUEUED}:
        return False
    if task.owner.kind is RequestKind.ORDER:
        return True
    return result.ok and task.owner.kind is not RequestKind.SERVICE


def _apply_result(
    shard: ShardState,
    worker: WorkerState,
    task: TaskState,
    result: TaskResult,
    now: float,
) -> None:
    state = task.owner
    was_stopped = task.phase is Phase.STOPPING
    _keep_progress(task, result)
    if not was_stopped and result.remaining_s is None:
        update_health(shard, worker, task, result, now)
    if state.over:
        # A result that precedes the effect of the stop is still the result.
        shard.end(task, result, now)
    elif (
        result.ok and state.kind is not RequestKind.SERVICE
    ) or state.kind is RequestKind.ORDER:
        shard.end(task, result, now)
    elif was_stopped or result.remaining_s is not None:
        _retry_later(shard, task, now)
    elif state.kind is RequestKind.SERVICE:
        _restart_service(shard, task, result, now)
    else:
        _retry_or_fail(shard, worker, task, result, now)


def _keep_progress(task: TaskState, result: TaskResult) -> None:
    """Reduce the remaining run time by the progress that a checkpoint saved."""
    if result.remaining_s is not None and not result.ok:
        task.remaining_s = max(0.0, min(task.remaining_s, result.remaining_s))


def _restart_service(
    shard: ShardState, task: TaskState, result: TaskResult, now: float
) -> None:
    if result.run_s >= STABLE_RUN_S:
        task.n_tries = 0
        _retry_later(shard, task, now)
        return
    task.n_tries += 1
    task.failed_on = (*task.failed_on, task.worker_id)[-MAX_TRIES:]
    _retry_later(shard, task, now, retry_delay_s(task.n_tries))


def _retry_or_fail(
    shard: ShardState,
    worker: WorkerState,
    task: TaskState,
    result: TaskResult,
    now: float,
) -> None:
    task.n_tries += 1
    task.failed_on = (*task.failed_on, worker.worker_id)
    # A failure on an ejected worker is not attributed to the job.
    n_blamed = sum(not shard.health.is_ejected(key) for key in task.failed_on)
    if n_blamed >= MAX_TRIES or task.n_tries >= MAX_TOTAL_TRIES:
        shard.end(task, result, now)
    else:
        _retry_later(shard, task, now, retry_delay_s(task.n_tries))


def update_health(
    shard: ShardState,
    worker: WorkerState,
    task: TaskState,
    result: TaskResult,
    now: float,
) -> None:
    """Update the health of a worker with a result; eject or readmit the worker."""
    if result.ok:
        shard.estimates.learn(
            task.owner.request, task.remaining_s, result.run_s, worker
        )
        if shard.health.record_success(worker.worker_id):
            shard.set_ejected(worker, ejected=False)
        return
    health = shard.health.of(worker.worker_id)
    elsewhere = [key for key in task.failed_on if key != worker.worker_id]
    if any(not shard.health.is_ejected(key) for key in elsewhere):
        return  # it fails on healthy workers too
    n_ejected = sum(other.ejected for other in shard.health.workers.values())
    allowed = max(1, int(MAX_EJECTED_FRACTION * len(shard.workers)))
    if not health.ejected and n_ejected >= allowed:
        return
    if health.record_failure(task.task_id, task.request_id, now):
        shard.set_ejected(worker, ejected=True)


def _retry_later(
    shard: ShardState, task: TaskState, now: float, delay_s: float = 0.0
) -> None:
    shard.requeue(task, now, now + delay_s)
    if task.owner.kind is RequestKind.GANG and not task.owner.over:
        regroup(shard, task, now)


def handle_start_reply(shard: ShardState, event: StartReplied, now: float) -> None:
    """Process the reply to a start call."""
    task = shard.tasks.get(event.task_id)
    if task is None or task.phase is not Phase.STARTING:
        return
    if task.worker_id != event.worker_id or event.epoch not in {0, task.epoch}:
        return  # reply to an earlier try
    if event.number not in {0, task.start_number}:
        return
    worker = shard.workers.get(task.worker_id)
    if event.outcome == "running":
        task.ran = Ran.YES
        shard.set_phase(task, Phase.RUNNING, now)
        if worker is not None:
            worker.confirm(task.task_id, now)
        stop_if_unwanted(shard, task, now)
    elif event.outcome == "unknown":
        shard.set_phase(task, Phase.UNCERTAIN, now)
        fence(shard, task, now)
    else:
        shard.pause_worker(task.worker_id)
        shard.release(task)
        _retry_later(shard, task, now)
