"""Notes and logs why steps wait."""

from __future__ import annotations

import math
from bisect import insort
from heapq import nsmallest
from typing import TYPE_CHECKING, Any

import structlog

from .decisionbudget import AHEAD_SHARE, is_postponed
from .eligibility import eligible_workers, is_restart, n_by_worker
from .model import JobState
from .waitcauses import explain_wait
from .waits import (
    EXPLAIN_INTERVAL_S,
    EXPLAINED_AFTER_S,
    MAX_DUMPED_STEPS,
    MAX_EXPLAINED_STEPS,
    WaitCause,
    WaitReason,
)

if TYPE_CHECKING:
    from ..model import Resources
    from .fleet import Worker
    from .headroom import HeadroomLimit
    from .model import Queue
    from .placer import Placer
    from .placewait import PlaceWait
    from .progress import StepRun

logger = structlog.get_logger(__name__)


def steps_to_explain(
    waiting: list[tuple[StepRun, Queue, list[float]]], now: float
) -> set[StepRun]:
    """Return the steps whose waits are explained in this decision."""
    due = [row[0] for row in waiting if row[0].wait.is_due(now)]
    return set(nsmallest(MAX_EXPLAINED_STEPS, due, key=lambda it: it.wait.explained_at))


def note_wait(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    workers: list[Worker],
    *,
    place_wait: PlaceWait | None,
    now: float,
) -> None:
    """Note that the tasks of a step that were not placed wait, and what for.

    Unless the wait was explained, they wait for advice as long as a worker with room
    for one is not known to be permitted or forbidden, or has no valid ticket. Only
    absences of tasks that last need this in the first second.
    """
    if not step_run.n_waiting:
        return
    wait = step_run.wait
    wait.since = wait.since or now
    if place_wait is not None and not wait.place_since:
        wait.place_since = now
        placer.counts["place_waits"] += 1
    if not step_run.step.long_running:
        return
    if wait.cause is not None:
        step_run.note_wait(wait.cause.reason.kind, now)
        return
    waits_for = "room"
    if queue.advice is not None:
        advice = placer.advice.for_step(step_run.name)
        sent_at = placer.sent_at(now, queue.advice, now)
        for worker in workers:
            asked = worker.worker_id in advice.asked
            if asked and not advice.permits(worker.worker_id):
                continue
            if not worker.fits(step_run.step.need):
                continue
            if not advice.ticket(worker.worker_id, worker.entry.incarnation, sent_at):
                waits_for = "advice"
                break
    step_run.note_wait(waits_for, now)


def explain_unplaced(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    pool: list[Worker],
    *,
    n_wanted: int,
    run_s: float,
    held: dict[str, Resources],
    core_limit: HeadroomLimit | None,
    now: float,
    for_place: bool = False,
) -> None:
    """Find and note why no task of a step was placed.

    Parameters
    ----------
    for_place : bool, default=False
        Whether it leaves room unused for a local placement.
    """
    step, restarts = step_run.step, is_restart(step_run)
    if restarts or (step.gang and core_limit is not None and not core_limit.busy):
        core_limit = None
    unreserved = eligible_workers(placer, step_run, pool, run_s, now)
    cause = explain_wait(
        step,
        pool,
        {worker.worker_id for worker in unreserved},
        n_by_worker(step_run),
        n_wanted=n_wanted,
        advice=placer.advice.for_step(step_run.name) if queue.advice else None,
        held={} if restarts else held,
        core_limit=core_limit,
        now=placer.sent_at(now, queue.advice, now) if queue.advice else now,
        for_place=for_place,
    )
    step_run.note_cause(cause, now)
    _tell_wait(placer, step_run, now)


def end_wait(placer: Placer, step_run: StepRun, now: float) -> None:
    """End the wait of a step; keep its length for the metrics if it was explained."""
    wait = step_run.wait
    waited_s = step_run.end_wait(now)
    if waited_s >= EXPLAINED_AFTER_S:
        placer.ended_waits.append((wait.longest_reason(), waited_s))


def _tell_wait(placer: Placer, step_run: StepRun, now: float) -> None:
    """Log why a step waits if a line is due."""
    wait, step = step_run.wait, step_run.step
    if wait.cause is None or not placer.wait_lines.has_left(now):
        return
    if not wait.take_line(now):
        return
    placer.wait_lines.n_lines += 1
    logger.info(
        "step waits",
        job=step_run.job.job_id,
        step=step_run.name,
        queue=step_run.job.queue,
        waited_s=round(now - wait.since, 3),
        gang=step.gang,
        cores=step.need.cores,
        **placer.jobs[step_run.job.job_id].idle_fields(now),
        **wait.cause.fields(),
    )


def note_unconsidered(
    placer: Placer, now: float, wall: float, *, may_act: bool = True
) -> None:
    """Note the waits of ready steps that the newest decision did not consider.

    Parameters
    ----------
    may_act : bool, default=True
        Whether the term may start tasks; otherwise no step is considered.
    """
    if now - placer.waits_noted_at < EXPLAIN_INTERVAL_S:
        return
    placer.waits_noted_at = now
    for progress in placer.jobs.values():
        if placer.budget.is_used(AHEAD_SHARE):
            break  # the others were accepted later
        if progress.cancelled or progress.state is JobState.FAILED:
            continue
        queue = placer.queue_of(progress)
        for step_run in progress.ready_steps(wall):
            n_wanted = progress.n_startable(step_run)
            if not may_act:
                reason = WaitReason.TERM_INACTIVE
            elif queue is None:
                reason = WaitReason.QUEUE_GONE
            elif not n_wanted:
                reason = WaitReason.RECORD_LIMIT
            elif cause := placer.team_usage.explain(placer, step_run, n_wanted):
                _note_cause_due(placer, step_run, cause, now)
                continue
            elif step_run.name in placer.shares.held:
                reason = WaitReason.SURPLUS
            elif step_run.name in placer.left_out or is_postponed(placer, step_run):
                reason = WaitReason.NOT_CONSIDERED
            else:
                continue
            _note_cause_due(placer, step_run, WaitCause(reason, n_wanted), now)


def _note_cause_due(
    placer: Placer, step_run: StepRun, cause: WaitCause, now: float
) -> None:
    """Note why a step that was not considered waits if an explanation is due."""
    step_run.wait.since = step_run.wait.since or now
    if step_run.wait.is_due(now):
        step_run.note_cause(cause, now)
        _tell_wait(placer, step_run, now)


def longest_waits(placer: Placer, now: float) -> list[dict[str, Any]]:
    """Return the steps that have waited for longest, for the dump."""
    waiting: list[StepRun] = []
    before = math.inf
    for progress in placer.jobs.values():
        if progress.cancelled:
            continue
        for step_run in progress.step_runs.values():
            since = step_run.wait.since
            if since and since < before and step_run.n_waiting:
                insort(waiting, step_run, key=lambda item: item.wait.since)
                del waiting[MAX_DUMPED_STEPS:]
                if len(waiting) == MAX_DUMPED_STEPS:
                    before = waiting[-1].wait.since
    return [
        {
            "step": step_run.name,
            **step_run.wait.fields(now),
            **placer.jobs[step_run.job.job_id].idle_fields(now),
            **(step_run.wait.cause.fields() if step_run.wait.cause else {}),
        }
        for step_run in waiting
    ]
