"""Reconciles tasks and capacity with the reports of the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model import RequestKind
from ..platform.worker import TaskResult
from .crashes import STAGGER_S, count_crash, is_given_up, record_lost
from .events import FenceWorker
from .overuse import monitor_usage
from .state import OCCUPYING, Phase, Ran, WorkerState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..platform.worker import LeaseReply, TaskReport
    from .events import RosterComplete, WorkerReported
    from .shardstate import ShardState
    from .state import TaskState

    ResultHandler = Callable[[WorkerState, TaskResult, float], None]

MAX_STOPPED = 50_000  # departed workers whose late replies are ignored
START_TIMEOUT_S = 10.0  # a start call without a reply for longer is uncertain
REPEAT_INTERVAL_S = 0.7  # between repeats of a stop or fence without effect
# A checkpoint without effect for this long becomes a stop. Together with the maximum
# wait before preemption, a tick and two reports, it must stay below the limit of 1.7 s
# for the start of urgent work.
STOP_AFTER_S = 0.7
REGROUP_STOP_AFTER_S = 10.0  # the same while a gang regroups: no urgent work waits
LOST_DELAY_S = 0.25  # before a task that its worker lost is retried


def handle_report(
    shard: ShardState, event: WorkerReported, handle_result: ResultHandler, now: float
) -> None:
    """Process a worker's reply to a lease renewal."""
    reply = event.reply
    worker = shard.workers.get(event.worker_id)
    stopped_at = shard.stopped_at.get(event.worker_id, event.sent_at)
    if event.sent_at < stopped_at:
        return  # sent before the tasks of the worker were declared stopped
    if worker is not None and _is_outdated(worker, event):
        return
    if worker is not None and worker.incarnation != reply.incarnation:
        record_lost(shard, worker)
        suspects = count_crash(shard, worker.worker_id, reply.incarnation, now)
        drop_worker(shard, worker, now, suspects)
        del shard.stopped_at[event.worker_id]  # this reply is newer
        worker = None
    if worker is not None and reply.epoch < worker.epoch:
        return
    if worker is not None:
        shard.lost.pop(worker.worker_id, None)  # it was only silent
    is_new = worker is None
    shard.observed_since = min(shard.observed_since, now)
    if worker is None:
        late = count_crash(shard, event.worker_id, reply.incarnation, now)
        for task in late.values():
            if task.phase is Phase.QUEUED and is_given_up(shard, task, now):
                _end_given_up(shard, task, now)
        worker = WorkerState(
            event.worker_id,
            reply.capacity,
            reply.rack,
            reply.failure_domain,
            reply.speed,
            reply.epoch,
            reply.incarnation,
        )
        worker.ejected = shard.health.is_ejected(event.worker_id)
        shard.workers[event.worker_id] = worker
    was_usable = worker.usable and not is_new
    worker.reported_at = event.sent_at
    worker.held = True
    worker.epoch = reply.epoch
    worker.leaving = worker.leaving or reply.leaving
    changed = worker.capacity != reply.capacity or was_usable != worker.usable
    worker.capacity = reply.capacity
    worker.usage_cores = reply.usage_cores
    worker.usage_memory_mb = reply.usage_memory_mb
    _reconcile(shard, worker, event, handle_result, now)
    if changed:
        shard.update_capacity(worker)
        shard.wake(worker)
        if is_new:
            shard.queue.reopen_all()  # totals and the feasibility of gangs have changed
    monitor_usage(shard, worker, now)


def _is_outdated(worker: WorkerState, event: WorkerReported) -> bool:
    """Return whether a later reply of the worker has been processed already."""
    if event.sent_at != worker.reported_at:
        return event.sent_at < worker.reported_at
    if event.reply.incarnation != worker.incarnation:
        return event.reply.epoch <= worker.epoch
    return event.reply.seq < worker.listed_seq


def drop_worker(
    shard: ShardState,
    worker: WorkerState,
    now: float,
    suspects: Mapping[str, TaskState] | None = None,
) -> None:
    """Remove a worker whose tasks have certainly stopped.

    Parameters
    ----------
    suspects : mapping of str to TaskState, optional
        Tasks that may have crashed it, in the order in which they start again.
    """
    order = {task_id: number for number, task_id in enumerate(suspects or {})}
    worker_id = worker.worker_id
    tasks = list(shard.tasks_on.get(worker_id, {}).values())
    shard.free_capacity.remove_worker(worker_id)
    shard.usage.pop(worker_id, None)
    del shard.workers[worker_id]
    shard.stopped_at[worker_id] = now
    while len(shard.stopped_at) > MAX_STOPPED:
        del shard.stopped_at[next(iter(shard.stopped_at))]
    shard.teams.set_total(shard.free_capacity.total)
    shard.unexpected_tasks.drop_worker(worker_id)
    for task in tasks:
        if task.phase is Phase.RECORDING:
            continue  # decided once its started record is read back
        if task.owner.kind is RequestKind.ORDER and task.phase is not Phase.STOPPING:
            shard.end_with_unknown_outcome(task, now)
            continue
        task.ran = max(task.ran, _ran_when_lost(task))
        if task.task_id in order and is_given_up(shard, task, now):
            _end_given_up(shard, task, now)
            continue
        delay_s = STAGGER_S * order.get(task.task_id, 0)
        _requeue_absent(shard, task, now, delay_s)


def _end_given_up(shard: ShardState, task: TaskState, now: float) -> None:
    detail = f"the task crashed {task.n_crashes} workers"
    result = TaskResult(task.task_id, task.request_id, False, detail, None, 0.0)
    task.ran = Ran.YES
    shard.end(task, result, now)


def complete_roster(shard: ShardState, event: RosterComplete, now: float) -> None:
    """Resolve inherited tasks that no worker lists."""
    shard.roster_complete = True
    for state in list(shard.requests.values()):
        for task in state.tasks:
            if task.phase is not Phase.HELD:
                continue
            if task.prior < 0:
                _requeue_absent(shard, task, now)
            elif task.worker_id not in event.worker_ids:
                shard.end_with_unknown_outcome(task, now)


def adopt(shard: ShardState, task: TaskState, worker: WorkerState, now: float) -> None:
    """Record that a task runs on the worker that lists it, or stop a duplicate."""
    worker.confirm(task.task_id, now)
    if task.worker_id == worker.worker_id and task.phase is Phase.RUNNING:
        return
    elsewhere = task.phase in OCCUPYING and task.worker_id != worker.worker_id
    if task.phase is Phase.ENDED or elsewhere:
        _stop_duplicate(shard, task, worker)
        return
    if task.phase is Phase.RECORDING:
        return  # the list is older than the record
    task.ran = Ran.YES
    if task.phase is Phase.STOPPING:
        repeat_stop(shard, task, now)
        return
    if task.phase is Phase.QUEUED:
        _remove_from_queue(shard, task)
    shard.occupy(task, worker, Phase.RUNNING, now)
    stop_if_unwanted(shard, task, now)


def stop_if_unwanted(shard: ShardState, task: TaskState, now: float) -> None:
    """Stop a running task whose request is over or regrouping."""
    if task.owner.over:
        shard.stop(task, now)
    elif task.owner.regrouping:
        shard.stop(task, now, "checkpoint")


def repeat_stop(shard: ShardState, task: TaskState, now: float) -> None:
    """Repeat a stop without effect; escalate a late checkpoint to a stop."""
    limit_s = REGROUP_STOP_AFTER_S if task.owner.regrouping else STOP_AFTER_S
    late = now - task.phase_at > limit_s or task.owner.over
    if late and task.verb != "stop":
        shard.stop(task, now)
    elif now - task.verb_at >= REPEAT_INTERVAL_S:
        shard.stop(task, now, task.verb)


def _reconcile(
    shard: ShardState,
    worker: WorkerState,
    event: WorkerReported,
    handle_result: ResultHandler,
    now: float,
) -> None:
    reply = event.reply
    for result in reply.finished:
        handle_result(worker, result, now)
    # Tasks whose result arrived before this list, which still shows them running.
    ended_since = {
        task_id for seq, task_id in worker.early_results.items() if seq > reply.seq
    }
    worker.mark_listed(reply.seq)
    listed = {r.task_id for r in reply.tasks if r.task_id not in ended_since}
    for report in reply.tasks:
        if report.task_id in listed:
            _handle_listed(shard, worker, report, now)
    for task_id in [key for key in worker.needs if key not in listed]:
        if not worker.proves_gone(task_id, reply.epoch, event.sent_at):
            continue
        task = shard.tasks.get(task_id)
        if task is None or task.worker_id != worker.worker_id:
            shard.unexpected_tasks.pop(task_id)
            shard.release_on(worker, task_id)
        else:
            _handle_absent(shard, worker, task, reply, now)
    for task in list(shard.tasks_on.get(worker.worker_id, {}).values()):
        if task.phase is not Phase.HELD:
            _check_unconfirmed(shard, task, now)
        elif task.task_id not in listed and task.epoch < reply.epoch:
            _handle_absent(shard, worker, task, reply, now)


def _handle_listed(
    shard: ShardState, worker: WorkerState, report: TaskReport, now: float
) -> None:
    task_id = report.task_id
    if worker.needs.get(task_id) != report.need:
        worker.reserve(task_id, report.need)
        shard.update_capacity(worker)
    task = shard.tasks.get(task_id)
    if task is not None:
        adopt(shard, task, worker, now)
    else:
        worker.confirm(task_id, now)
        shard.unexpected_tasks.put(task_id, worker.worker_id)


def _check_unconfirmed(shard: ShardState, task: TaskState, now: float) -> None:
    """Fence the worker of a task whose start stays unconfirmed for long."""
    if task.phase is Phase.STARTING and now - task.phase_at > START_TIMEOUT_S:
        shard.set_phase(task, Phase.UNCERTAIN, now)
        fence(shard, task, now)
    elif task.phase is Phase.UNCERTAIN and now - task.verb_at > REPEAT_INTERVAL_S:
        fence(shard, task, now)


def fence(shard: ShardState, task: TaskState, now: float) -> None:
    """Request a newer epoch, which shows whether a start took effect."""
    task.verb_at = now
    shard.actions.append(FenceWorker(task.worker_id))


def _handle_absent(
    shard: ShardState,
    worker: WorkerState,
    task: TaskState,
    reply: LeaseReply,
    now: float,
) -> None:
    """Handle a task that its worker no longer lists."""
    if task.phase in {Phase.RECORDING, Phase.STARTING}:
        return
    was_held = task.phase is Phase.HELD
    shard.release_on(worker, task.task_id)
    is_order = task.owner.kind is RequestKind.ORDER
    if task.phase is Phase.STOPPING:
        if is_order and not task.owner.over:
            shard.end_with_unknown_outcome(task, now)
        else:
            _requeue_absent(shard, task, now)
        return
    proven = task.incarnation == reply.incarnation and not reply.dropped
    if task.phase in {Phase.UNCERTAIN, Phase.HELD} and proven:
        # Same incarnation, newer epoch, neither listed nor finished: the start did
        # not take effect, and fencing prevents it from doing so later.
        if not is_order and was_held:
            task.ran = Ran.MAYBE
        _requeue_absent(shard, task, now)
    elif is_order:
        shard.end_with_unknown_outcome(task, now)
    else:
        task.ran = max(task.ran, _ran_when_lost(task))
        _requeue_absent(shard, task, now, LOST_DELAY_S)


def _requeue_absent(
    shard: ShardState, task: TaskState, now: float, delay_s: float = 0.0
) -> None:
    """Requeue a task that is on no worker, and regroup its gang."""
    state = task.owner
    shard.requeue(task, now, now + delay_s)
    if state.kind is RequestKind.GANG and not state.over:
        regroup(shard, task, now)


def regroup(shard: ShardState, task: TaskState, now: float) -> None:
    """Checkpoint the other tasks of a gang that lost one, to restart all together."""
    state = task.owner
    others = [t for t in state.tasks if t.phase in OCCUPYING]
    if not others:
        return
    state.regrouping = True
    for other in others:
        if other.phase is Phase.RUNNING:
            shard.stop(other, now, "checkpoint")


def _ran_when_lost(task: TaskState) -> Ran:
    return Ran.YES if task.phase in {Phase.RUNNING, Phase.STOPPING} else Ran.MAYBE


def _remove_from_queue(shard: ShardState, task: TaskState) -> None:
    if task in task.owner.ready:
        task.owner.ready.remove(task)
    task.not_before = 0.0
    shard.offer(task.owner)


def _stop_duplicate(shard: ShardState, task: TaskState, worker: WorkerState) -> None:
    """Stop a duplicate of a task that runs or has ended elsewhere."""
    if task.owner.kind is not RequestKind.ORDER:
        shard.stop_on(worker, task.task_id)
