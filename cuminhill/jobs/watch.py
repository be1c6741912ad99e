"""Detects lost and stalled runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from .crashes import record_lapse
from .leasebounds import lapse_at, lapse_bound, silent_since
from .progress import ALL_DONE_PERCENT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Slot, Worker
    from .leasebounds import ReleasedRun
    from .model import TaskKey
    from .placer import Placer
    from .taskstates import TaskState

logger = structlog.get_logger(__name__)

# A run is stalled when its progress has not changed for the larger of this time and
# this fraction of its expected run time, since long tasks progress slowly.
MIN_STALL_S = 2.5
STALL_FRACTION = 0.25
# A run without progress is written to the journal after each such part of that time,
# so that the next placer goes on counting.
STORED_FRACTION = 0.25


def watch_runs(placer: Placer, now: float) -> None:
    """Release runs on lost workers, stop stalled runs and repeat stops."""
    for worker_id, worker in list(placer.workers.items()):
        if not worker.reachable and now > worker.lapse_at:
            record_lapse(placer, worker, now)
            for slot in list(worker.slots.values()):
                placer.run_lost(worker, slot, "lease lapsed", now)
            if not worker.registered:
                del placer.workers[worker_id]
            continue
        if worker.reachable:
            _watch_slots(placer, worker, now)
    _release_not_adopted(placer, now)


def _watch_slots(placer: Placer, worker: Worker, now: float) -> None:
    for slot in list(worker.slots.values()):
        if slot.stopping_at:
            placer.stop(worker, slot, "repeated", now)
            continue
        if _has_progressed(slot, now):
            continue
        if not _is_stalled(placer, slot, now):
            _store_time_without_progress(placer, slot)
            continue
        worker.health.record_failure(slot.key.job_id, now)
        logger.info(
            "run stalled",
            job=slot.key.job_id,
            task=tuple(slot.key[1:]),
            run=slot.run,
            worker=worker.worker_id,
            percent=slot.percent,
            still_s=round(now - slot.progressed_at, 2),
        )
        placer.stop(worker, slot, "stalled", now)


def _has_progressed(slot: Slot, now: float) -> bool:
    """Return whether a run has progressed so lately that there is nothing to do.

    That is so for nearly all runs. The time without progress of its task is at most
    that of the slot, and no run stalls or is written sooner than this.
    """
    if not slot.progressed_at:
        return False
    still_s = now - slot.progressed_at
    return (
        still_s < MIN_STALL_S
        and still_s - slot.stored_still_s < STORED_FRACTION * MIN_STALL_S
    )


def _is_stalled(placer: Placer, slot: Slot, now: float) -> bool:
    """Return whether a run makes no progress although it should.

    A member of a gang that is ahead waits for the others, so a gang is stalled only if
    none of its members progresses.
    """
    progress = placer.jobs.get(slot.key.job_id)
    if progress is None:
        return False
    step = progress.job.steps[slot.key.step]
    stall_s = _stall_s(slot)
    if (
        step.long_running
        or not slot.progressed_at
        or now - slot.progressed_at < stall_s
    ):
        return False
    if not step.gang:
        return slot.percent < ALL_DONE_PERCENT
    step_run = progress.step_run(slot.key.occurrence, slot.key.step)
    for index, task in enumerate(step_run.tasks):
        worker = placer.workers.get(task.worker)
        member = worker.slots.get((step_run.key(index), task.run)) if worker else None
        if member is None or now - (member.progressed_at or now) < stall_s:
            return False
    return True


def _stall_s(slot: Slot) -> float:
    return max(MIN_STALL_S, STALL_FRACTION * slot.run_time_s)


def inherit_progress(slot: Slot, task: TaskState, read_at: float) -> None:
    """Count the time that a run of an earlier term has been without progress.

    Parameters
    ----------
    read_at : float, seconds
        When the state of the task was read. The run had been without progress for
        `TaskState.still_s` by then, or for longer.
    """
    slot.still_percent = task.still_percent
    slot.still_since = read_at - task.still_s
    slot.stored_still_s = task.still_s


def note_progress(placer: Placer, slot: Slot, now: float) -> None:
    """Note what a report shows of the progress of a run for the next term."""
    progress = placer.jobs.get(slot.key.job_id)
    task = progress.task(slot.key) if progress is not None else None
    if task is None or slot.long_running:
        return
    has_risen = slot.progressed_at == now > slot.present_at
    task.still_percent = -1.0 if has_risen else slot.percent
    task.still_s = now - slot.progressed_at


def _store_time_without_progress(placer: Placer, slot: Slot) -> None:
    """Write how long a run has been without progress, a few times before it stalls."""
    progress = placer.jobs.get(slot.key.job_id)
    task = progress.task(slot.key) if progress is not None else None
    if progress is None or task is None or task.run != slot.run:
        return
    if task.still_percent < 0 or task.still_percent >= ALL_DONE_PERCENT:
        return
    if task.still_s - slot.stored_still_s >= STORED_FRACTION * _stall_s(slot):
        slot.stored_still_s = task.still_s
        placer.mark_dirty(progress)


def _release_not_adopted(placer: Placer, now: float) -> None:
    """Release runs whose worker has not registered in this term, after its lease."""
    for key, task in list(placer.not_adopted.items()):
        worker = placer.workers.get(task.worker)
        adopted = worker is not None and (key, task.run) in worker.slots
        if key.job_id not in placer.jobs or adopted or not task.worker:
            del placer.not_adopted[key]
        elif now >= lapse_at(placer, task.life):
            _release(placer, key, "worker not registered", now)


def release_gone(placer: Placer, released: Iterable[ReleasedRun], now: float) -> None:
    """Release lasting tasks whose runs the previous term knew to be gone.

    It may not have written so to the journal, and a worker that has left does not
    report it again.
    """
    for item in released:
        progress = placer.jobs.get(item.key.job_id)
        task = progress.task(item.key) if progress is not None else None
        if progress is None or task is None or not task.worker or task.run > item.run:
            continue
        if not progress.job.steps[item.key.step].long_running:
            continue
        worker = placer.workers.get(task.worker)
        slot = worker.slots.get((item.key, task.run)) if worker is not None else None
        if item.away_s and not task.away_since:
            task.away_since = now - item.away_s
        if item.key in placer.not_adopted:
            _release(placer, item.key, "gone in an earlier term", now)
        elif worker is not None and slot is not None and slot.is_unseen:
            placer.run_lost(worker, slot, "gone in an earlier term", now)


def _release(placer: Placer, key: TaskKey, why: str, now: float) -> None:
    """Release a task whose run was not adopted."""
    task = placer.not_adopted.pop(key)
    progress = placer.jobs.get(key.job_id)
    if progress is None or not task.worker:
        return
    logger.info(
        "run lost",
        job=key.job_id,
        task=tuple(key[1:]),
        run=task.run,
        worker=task.worker,
        why=why,
        waited_s=round(now - placer.begun_at, 2),
        bound=lapse_bound(placer, task.life),
    )
    life = task.life
    progress.unassign(key)
    since = task.away_since or silent_since(placer, life)
    progress.note_away(key, since, now)
    progress.note_idle(now, since)
    placer.mark_dirty(progress)
    if progress.job.steps[key.step].gang:
        placer.stop_runs(progress, "gang", now, key.step)
    placer.retire(progress)
