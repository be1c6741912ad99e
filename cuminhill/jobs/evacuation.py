"""Moves tasks off workers that are about to leave.

Everything on a draining worker ends when it exits, and its tasks then wait for the
leases on it. A task that is stopped before can start elsewhere as soon as its end is
reported, so it is stopped once another worker can take it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import structlog

from .advice import CallRank
from .adviceplans import advise
from .eligibility import (
    available_workers,
    eligible_workers,
    headroom_limits,
    queue_limit,
    step_candidates,
)
from .lateness import NO_OBJECTIVE
from .teamusage import TeamAmounts

if TYPE_CHECKING:
    from ..model import Resources
    from .advice import AdviceCall
    from .fleet import Slot, Worker
    from .headroom import HeadroomLimit
    from .model import Queue
    from .packing import Candidates
    from .placer import Placer
    from .progress import StepRun

logger = structlog.get_logger(__name__)

# Time from the decision to move a task to its next start: the stop, the report of its
# end and a journal append. A ticket must be valid for this long.
MOVE_S = 0.6
# The place chosen for a task is kept for it at most this long.
HOLD_S = 2.0


class Move(NamedTuple):
    """Task that was stopped on a leaving worker because another one can take it.

    Parameters
    ----------
    run : int
        Run that was stopped.
    target : str
        Worker that had room for the task.
    need : Resources
        What the task needs there.
    until : float, seconds
        Time until which the room is kept from other moves.
    """

    run: int
    target: str
    need: Resources
    until: float


class Leaving(NamedTuple):
    """Run on a worker that is about to leave."""

    worker: Worker
    slot: Slot


def evacuate(placer: Placer, now: float) -> list[AdviceCall]:
    """Stop tasks on leaving workers for which there is a place elsewhere.

    Returns
    -------
    calls : list of AdviceCall
        Calls for advice on where the others may run.
    """
    _forget_moves(placer, now)
    steps = _leaving_steps(placer)
    if not steps:
        return []
    calls = []
    pools = available_workers(placer, now)
    limits = headroom_limits(placer, pools, now)
    for limit in limits.values():
        for move in placer.moves.values():
            limit.use_cores(move.target, move.need.cores)
    for step_run, leaving in steps:
        queue = placer.queue_of(placer.jobs[step_run.job.job_id])
        if queue is None:
            continue
        # Above a cap that was lowered, a task that is stopped would not start again.
        need = TeamAmounts().plus(step_run.step.need)
        if not placer.team_usage.n_admitted(placer, step_run, need):
            continue
        call = _move_step(
            placer,
            step_run,
            queue,
            leaving,
            pool=pools.get(queue.pool, []),
            core_limit=queue_limit(placer, limits, queue),
            now=now,
        )
        if call is not None:
            calls.append(call)
    return calls


def _forget_moves(placer: Placer, now: float) -> None:
    """Forget moves that are complete or were given up."""
    for key, move in list(placer.moves.items()):
        progress = placer.jobs.get(key.job_id)
        task = progress.task(key) if progress is not None else None
        if task is None or task.run != move.run or now > move.until:
            del placer.moves[key]


def _leaving_steps(placer: Placer) -> list[tuple[StepRun, list[Leaving]]]:
    """Return the steps with tasks to move, each with their runs."""
    steps: dict[str, tuple[StepRun, list[Leaving]]] = {}
    for worker in placer.workers.values():
        if not (worker.entry.draining and worker.registered and worker.reachable):
            continue
        for slot in worker.slots.values():
            step_run = _movable(placer, worker, slot)
            if step_run is not None:
                row = steps.setdefault(step_run.name, (step_run, []))
                row[1].append(Leaving(worker, slot))
    for _, leaving in steps.values():
        leaving.sort(key=lambda item: item.worker.entry.stays_until)
    return sorted(steps.values(), key=lambda row: row[1][0].worker.entry.stays_until)


def _movable(placer: Placer, worker: Worker, slot: Slot) -> StepRun | None:
    """Return the step of a run that may be moved, None for any other run."""
    key = slot.key
    progress = placer.jobs.get(key.job_id)
    if not slot.confirmed or slot.stopping_at or progress is None:
        return None
    if progress.cancelled or progress.has_ended:
        return None
    step = progress.job.steps[key.step]
    task = progress.task(key)
    if task is None or (task.worker, task.run) != (worker.worker_id, slot.run):
        return None
    if not step.long_running or step.gang:
        return None
    return progress.step_run(key.occurrence, key.step)


def _move_step(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    leaving: list[Leaving],
    *,
    pool: list[Worker],
    core_limit: HeadroomLimit | None,
    now: float,
) -> AdviceCall | None:
    """Move tasks of one step; return a call for advice if it lacks places."""
    workers = eligible_workers(placer, step_run, pool, math.inf, now)
    advised, call = advise(
        placer,
        step_run,
        queue,
        workers,
        outlook=NO_OBJECTIVE,
        now=now,
        n_wanted=len(leaving),
        valid_at=now + MOVE_S,
        rank=CallRank.RETURN,
    )
    candidates = step_candidates(
        placer,
        step_run,
        advised,
        NO_OBJECTIVE,
        now=now,
        core_limit=core_limit,
        valid_at=now + MOVE_S,
        restart=True,
    )
    _keep_promises(placer, candidates)
    n_movable = max(1, step_run.step.may_miss) - _n_away(placer, step_run)
    for worker, slot in leaving[: max(0, n_movable)]:
        task = step_run.tasks[slot.key.task]
        target = candidates.pick(task.failed_on, suspect=slot.suspect, now=now)
        if target is None:
            break
        _move(placer, worker, slot, target, now)
    # The decision on waiting tasks of the step has made its own call.
    return None if step_run.n_waiting else call


def _keep_promises(placer: Placer, candidates: Candidates) -> None:
    """Deduct the room that is kept for tasks that are being moved."""
    for move in placer.moves.values():
        free = candidates.free_by_worker.get(move.target)
        if free is not None:
            candidates.free_by_worker[move.target] = free - move.need


def _n_away(placer: Placer, step_run: StepRun) -> int:
    """Return how many tasks of a step do not run, or are being stopped."""
    n_away = step_run.n_waiting
    for index, task in step_run.tasks.known():
        worker = placer.workers.get(task.worker)
        slot = worker.slots.get((step_run.key(index), task.run)) if worker else None
        if task.worker and (slot is None or slot.stopping_at or not slot.confirmed):
            n_away += 1
    return n_away


def _move(
    placer: Placer, worker: Worker, slot: Slot, target: Worker, now: float
) -> None:
    logger.info(
        "run evacuated",
        job=slot.key.job_id,
        task=tuple(slot.key[1:]),
        run=slot.run,
        worker=worker.worker_id,
        target=target.worker_id,
        percent=slot.percent,
    )
    placer.moves[slot.key] = Move(slot.run, target.worker_id, slot.need, now + HOLD_S)
    placer.stop(worker, slot, "evacuated", now)
