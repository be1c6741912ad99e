"""Throttling and stopping of tasks on workers with usage beyond their capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model import RequestKind
from .estimates import USAGE_LAG_S, UsageMonitor
from .events import ControlTask
from .state import Phase

if TYPE_CHECKING:
    from .shardstate import ShardState
    from .state import TaskState, WorkerState

VERBS = ("throttle", "checkpoint", "stop")
# The reports show the effect of a step only after their lag.
STEP_INTERVAL_S = USAGE_LAG_S + 1.0

# Order in which kinds yield; checks and orders never do.
_YIELD_ORDER = {RequestKind.BATCH: 0, RequestKind.GANG: 1, RequestKind.SERVICE: 2}


def monitor_usage(shard: ShardState, worker: WorkerState, now: float) -> None:
    """Adjust a worker's free capacity to its measured usage, and act on overuse."""
    monitor = shard.usage.get(worker.worker_id)
    if monitor is None:
        if worker.usage_cores <= 0 and worker.usage_memory_mb <= 0:
            return
        monitor = shard.usage[worker.worker_id] = UsageMonitor()
    excess = monitor.excess(worker, now)
    if excess != worker.excess:
        worker.excess = excess
        shard.update_capacity(worker)
        shard.wake(worker)
    over = (
        worker.usage_cores > worker.capacity.cores
        or worker.usage_memory_mb > worker.capacity.memory_mb
    )
    if not over:
        monitor.stage = 0
    elif now - monitor.step_at >= STEP_INTERVAL_S:
        monitor.step_at = now
        _reduce_usage(shard, worker, monitor, now)


def _reduce_usage(
    shard: ShardState, worker: WorkerState, monitor: UsageMonitor, now: float
) -> None:
    task = _first_to_yield(shard, worker)
    if task is None:
        return
    verb = VERBS[min(monitor.stage, len(VERBS) - 1)]
    monitor.stage += 1
    shard.n_overuse_steps += 1
    if verb == "throttle":
        shard.actions.append(
            ControlTask(task.task_id, worker.worker_id, verb, worker.epoch)
        )
    else:
        shard.stop(task, now, verb)


def _first_to_yield(shard: ShardState, worker: WorkerState) -> TaskState | None:
    """Return the task that yields first: the youngest of the least urgent kind."""
    running = [
        task
        for task in shard.tasks_on.get(worker.worker_id, {}).values()
        if task.phase is Phase.RUNNING and task.owner.kind in _YIELD_ORDER
    ]
    return min(
        running,
        key=lambda t: (
            _YIELD_ORDER[t.owner.kind],
            t.owner.request.priority,
            -t.phase_at,
        ),
        default=None,
    )
