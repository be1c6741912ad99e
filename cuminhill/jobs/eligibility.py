"""Selects the workers, and the room on them, that a step may use now."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .headroom import Headroom, HeadroomLimit, headroom_limit
from .packing import SHORT_RUN_S, Allowance, make_candidates, takes_starts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model import Resources
    from .fleet import Worker
    from .lateness import Outlook
    from .model import Queue
    from .packing import Candidates
    from .placer import Placer
    from .progress import StepRun

# A run that is not short may use a reserved worker if this multiple of its expected run
# time fits before the reservation begins: expected run times are rough.
BACKFILL_FACTOR = 2.0


def is_restart(step_run: StepRun) -> bool:
    """Return whether tasks of a step wait that last and were interrupted."""
    step = step_run.step
    return step.long_running and not step.gang and step_run.n_interrupted > 0


def available_workers(placer: Placer, now: float) -> dict[str, list[Worker]]:
    """Return the workers that accept starts now, by pool."""
    pools: dict[str, list[Worker]] = {}
    for worker in placer.workers.values():
        if worker.accepts_starts() and worker.health.accepts_runs(now):
            pools.setdefault(worker.entry.pool, []).append(worker)
    return pools


def headroom_limits(
    placer: Placer, pools: dict[str, list[Worker]], now: float
) -> dict[str, HeadroomLimit]:
    """Return the limit for the steps of lower-priority queues, by pool.

    Headroom is kept only in pools that urgent and lower-priority queues share.
    """
    table = placer.table
    limits = {
        pool: headroom_limit(placer.headroom.setdefault(pool, Headroom()), workers, now)
        for pool, workers in pools.items()
        if pool in table.urgent_pools
    }
    return {pool: it for pool, it in limits.items() if pool in table.patient_pools}


def queue_limit(
    placer: Placer, limits: dict[str, HeadroomLimit], queue: Queue
) -> HeadroomLimit | None:
    """Return the limit for the steps of a queue, None for none.

    Urgent queues and those that were removed from the configuration have none.
    """
    configured = placer.table.queues.get(queue.name)
    if configured is None or configured.priority == 0:
        return None
    return limits.get(configured.pool)


def eligible_workers(
    placer: Placer, step_run: StepRun, pool: list[Worker], run_s: float, now: float
) -> list[Worker]:
    """Return the workers of a pool that a step may run on, regardless of advice.

    Runs may use workers reserved for a blocked step if they are short or will end well
    before that step is expected to start there (backfill). Workers that already hold
    the step's maximum of tasks per worker are left out.

    Parameters
    ----------
    run_s : float, seconds
        Expected run time of a task at a speed of 1.
    """
    step = step_run.step
    if run_s > SHORT_RUN_S and placer.reserved:
        reserved = placer.reserved
        pool = [
            worker
            for worker in pool
            if worker.worker_id not in reserved
            or now + BACKFILL_FACTOR * run_s / worker.health.speed
            <= reserved[worker.worker_id]
        ]
    if step.required_label:
        label = step.required_label
        pool = [worker for worker in pool if label in worker.entry.labels]
    if step.max_per_worker:
        taken, bound = n_by_worker(step_run), step.max_per_worker
        pool = [worker for worker in pool if taken.get(worker.worker_id, 0) < bound]
    return pool


def make_allowance(
    placer: Placer,
    step_run: StepRun,
    core_limit: HeadroomLimit | None,
    now: float,
    *,
    held: dict[str, Resources] | None = None,
    restart: bool = False,
) -> Allowance:
    """Return the room that a step may use now.

    Parameters
    ----------
    held : dict of str to Resources, optional
        Room that other tasks leave to lasting tasks and gangs, by worker.
    restart : bool, default=False
        Whether the tasks last and were interrupted. They may use all free room.
    """
    limit = None if restart else _limit_for(placer, step_run, core_limit)
    return Allowance(
        step_run.step,
        {} if restart else held or {},
        n_by_worker(step_run),
        limit or HeadroomLimit(),
        restart,
        now,
    )


def limit_of(
    placer: Placer, limits: dict[str, HeadroomLimit], step_run: StepRun, queue: Queue
) -> HeadroomLimit | None:
    """Return the limit for a step in this decision, None for none.

    Surplus work of an urgent queue has the limit of the other queues of its pool.
    """
    limit = queue_limit(placer, limits, queue)
    if limit is not None or step_run.name not in placer.shares.surplus_steps:
        return limit
    return limits.get(queue.pool)


def core_limit_of(
    step_run: StepRun, core_limit: HeadroomLimit | None, *, idle: bool
) -> HeadroomLimit | None:
    """Return the limit on the use of fast workers by a step in this decision.

    Parameters
    ----------
    idle : bool
        Whether the job waits idle while the pool is not busy.
    """
    if core_limit is None or not idle or step_run.step.gang:
        return core_limit
    return core_limit.for_idle_job(step_run.step.need.cores)


def _limit_for(
    placer: Placer, step_run: StepRun, core_limit: HeadroomLimit | None
) -> HeadroomLimit | None:
    """Return the limit on the use of fast workers by a step, None for no limit."""
    if core_limit is None or not step_run.step.gang:
        return core_limit
    # The limit of the others leaves a gang the places that are kept for it.
    limited = core_limit.busy and step_run.name not in placer.reservations
    return core_limit if limited else None


def step_candidates(
    placer: Placer,
    step_run: StepRun,
    workers: Iterable[Worker],
    outlook: Outlook,
    *,
    now: float,
    core_limit: HeadroomLimit | None,
    valid_at: float,
    restart: bool = False,
    held: dict[str, Resources] | None = None,
) -> Candidates:
    """Return the workers that can be sent tasks of a step.

    Parameters
    ----------
    valid_at : float, seconds
        When the starts that use the tickets will be decided.
    restart : bool, default=False
        Whether the tasks last and were interrupted. They may use the headroom, and room
        that is kept for such tasks.
    held : dict of str to Resources, optional
        Room that other tasks leave to those, by worker.
    """
    progress = placer.jobs[step_run.job.job_id]
    queue = placer.queue_of(progress)
    if queue is not None and queue.advice is not None:
        advice = placer.advice.for_step(step_run.name)
        valid_at = placer.sent_at(valid_at, queue.advice, now)
        may_start = placer.may_decide_starts(queue.advice, now)
        workers = [
            worker
            for worker in workers
            if may_start
            and advice.ticket(worker.worker_id, worker.entry.incarnation, valid_at)
        ]
    # The counter is checked first, since this runs for each worker and step.
    workers = [
        worker
        for worker in workers
        if not worker.n_suspects or takes_starts(worker, now, restart=restart)
    ]
    core_limit = _limit_for(placer, step_run, core_limit)
    candidates = make_candidates(
        step_run.step,
        workers,
        n_by_worker(step_run),
        outlook,
        core_limit,
        held=None if restart else held,
    )
    candidates.restart = restart
    candidates.remote_slowdown = placer.remote_slowdown
    return candidates


def n_by_worker(step_run: StepRun) -> dict[str, int]:
    """Return the number of a step's tasks on each worker; empty if it has no bound."""
    if not step_run.step.max_per_worker:
        return {}
    return dict(
        Counter(task.worker for _, task in step_run.tasks.known() if task.worker)
    )
