"""Assigns waiting tasks to workers and selects the calls for placement advice."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from .advice import (
    TICKET_MARGIN_S,
    AdviceCall,
    CallRank,
    make_advice_call,
)
from .headroom import Headroom, HeadroomLimit, headroom_limit
from .leasebounds import lapse_at
from .model import JobState
from .ordering import order_key
from .packing import (
    SHORT_RUN_S,
    by_free_cores,
    choose_advised,
    make_candidates,
    n_fitting_tasks,
    place_gang,
    reserve,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Worker
    from .lateness import Outlook
    from .model import Queue, TaskKey
    from .packing import Candidates
    from .placer import Placer
    from .progress import Progress, StepRun

# Steps considered in one decision; the others wait for the next.
MAX_STEPS_PER_DECISION = 200
# Blocked steps with a reservation at a time; without one, steps that need many workers
# would starve.
MAX_RESERVATIONS = 2
# Tasks covered by the reservation of a step that is not a gang: they can start one by
# one.
MAX_RESERVED_TASKS = 4
# A run that is not short may use a reserved worker if this multiple of its expected run
# time fits before the reservation begins: expected run times are rough.
BACKFILL_FACTOR = 2.0
# Workers named in a call that only renews tickets while no task fits.
MAX_RENEWED_WORKERS = 8
# Tickets of lost lasting tasks are renewed so early that the answer comes before they
# lapse; decisions are at most this far apart.
MAX_DECISION_PAUSE_S = 0.25
# Steps for which advice is prefetched in one decision.
MAX_PREFETCHED_STEPS = 20
# Advice is prefetched if the step is expected to be ready within this fraction of the
# validity of its tickets.
PREFETCH_FRACTION = 0.5
# Advice for runs on lost workers is asked for early enough that many steps have it when
# their leases lapse, and its tickets stay valid for this time after that.
USE_LOST_TICKET_S = 0.75
# Rank of a call that only renews tickets.
RENEWAL_RANKS = {
    CallRank.RETURN: CallRank.RENEW_RETURN,
    CallRank.PLACE: CallRank.RENEW,
}
# Time in which the workers answer the first renewals of a term; until then they are not
# lost.
FIRST_ANSWERS_S = 0.3
# Rank of the steps whose tasks were stopped because a place for them was free.
MOVING_RANK = -1


class Placement(NamedTuple):
    """Run assigned to a worker; it is started once the assignment is journaled."""

    worker_id: str
    key: TaskKey
    run: int


def waiting_steps(
    placer: Placer, wall: float
) -> list[tuple[StepRun, Queue, list[float]]]:
    """Return the steps that have tasks to place, the most urgent first.

    Each step comes with its queue and the expected run times of all steps of its job.
    """
    rows = []
    moving = {key.step_name for key in placer.moves}
    for progress in placer.jobs.values():
        if progress.cancelled or progress.state is JobState.FAILED:
            continue
        queue = placer.queue_of(progress)
        if queue is None:
            continue
        for step_run in progress.ready_steps(wall):
            if not progress.n_startable(step_run):
                continue
            run_times = placer.run_times(progress, step_run.occurrence)
            key = order_key(step_run, queue, wall, run_times)
            if step_run.name in moving:
                key = (MOVING_RANK, *key[1:])
            rows.append((key, step_run, queue, run_times))
    rows.sort(key=lambda row: row[0])
    return [row[1:] for row in rows[:MAX_STEPS_PER_DECISION]]


def decide(
    placer: Placer, now: float, wall: float
) -> tuple[list[Placement], list[AdviceCall]]:
    """Assign waiting tasks to workers.

    Returns
    -------
    placements : list of Placement
        Runs to start once the progress of their jobs is in the journal.
    calls : list of AdviceCall
        Calls for advice, those of each rank in the order of their steps.
    """
    placements: list[Placement] = []
    calls: list[AdviceCall] = []
    placer.reserved = {}
    n_reservations = 0
    pools = available_workers(placer, now)
    limits = headroom_limits(placer, pools, now)
    for step_run, queue, run_times in waiting_steps(placer, wall):
        n_startable = placer.jobs[step_run.job.job_id].n_startable(step_run)
        run_s = run_times[step_run.number]
        pool = pools.get(queue.pool, [])
        workers = eligible_workers(placer, step_run, pool, run_s, now)
        outlook = placer.outlook(step_run, queue, wall, run_times)
        advised, call = advise(
            placer,
            step_run,
            queue,
            workers,
            outlook=outlook,
            now=now,
            n_wanted=n_startable,
            valid_at=now,
            rank=_waiting_rank(step_run, queue),
        )
        if call is not None:
            calls.append(call)
        placed = _place(
            placer,
            step_run,
            advised,
            outlook,
            now=now,
            core_limit=limits.get(queue.name),
        )
        placements.extend(placed)
        if placed or n_reservations >= MAX_RESERVATIONS or not advised:
            continue
        if step_run.step.gang or run_s > SHORT_RUN_S:
            n_tasks = n_startable
            if not step_run.step.gang:
                n_tasks = min(n_tasks, MAX_RESERVED_TASKS)
            reserved = reserve(step_run.step, advised, n_tasks, now)
            for worker_id, at in reserved.items():
                placer.reserved[worker_id] = min(
                    at, placer.reserved.get(worker_id, math.inf)
                )
            n_reservations += 1
    calls.extend(_advise_lost_runs(placer, pools, now, wall))
    calls.extend(_prefetch_advice(placer, pools, now, wall))
    return placements, calls


def _advise_lost_runs(
    placer: Placer, pools: dict[str, list[Worker]], now: float, wall: float
) -> list[AdviceCall]:
    """Return calls for steps whose runs on lost workers will be given up soon.

    The end of their leases is known, so the tickets can be at hand by then.
    """
    calls: list[AdviceCall] = []
    if now - placer.begun_at < FIRST_ANSWERS_S:
        return calls
    lost = sorted(_lost_steps(placer).items(), key=lambda row: row[1][1])
    for step_run, (n_runs, lapse) in lost:
        queue = placer.queue_of(placer.jobs[step_run.job.job_id])
        if queue is None or queue.advice is None or step_run.n_waiting:
            continue  # the decision on waiting tasks has made its own call
        kept_s = queue.advice.valid_s - TICKET_MARGIN_S - USE_LOST_TICKET_S
        if lapse - now > kept_s + queue.advice.decide_s:
            continue
        run_times = placer.run_times(
            placer.jobs[step_run.job.job_id], step_run.occurrence
        )
        pool = pools.get(queue.pool, [])
        _, call = advise(
            placer,
            step_run,
            queue,
            eligible_workers(placer, step_run, pool, 0.0, now),
            outlook=placer.outlook(step_run, queue, wall, run_times),
            now=now,
            n_wanted=n_runs,
            valid_at=max(now, lapse),
            rank=_lost_rank(step_run, queue),
        )
        if call is not None:
            calls.append(call)
        if len(calls) >= MAX_PREFETCHED_STEPS:
            break
    return calls


def _lost_rank(step_run: StepRun, queue: Queue) -> CallRank:
    """Return the rank of calls for a step of which tasks have been lost."""
    if queue.priority == 0:
        return CallRank.URGENT
    return CallRank.RETURN if step_run.step.long_running else CallRank.PLACE


def _waiting_rank(step_run: StepRun, queue: Queue) -> CallRank:
    """Return the rank of calls for a step with waiting tasks."""
    if step_run.n_open > step_run.n_assigned:  # some have run before
        return _lost_rank(step_run, queue)
    return CallRank.URGENT if queue.priority == 0 else CallRank.PLACE


def _lost_steps(placer: Placer) -> dict[StepRun, tuple[int, float]]:
    """Return the steps with runs on workers that are not reached.

    Each step comes with the number of these runs and when the first is given up.
    """
    lost = [
        (key, lapse_at(placer, task.life)) for key, task in placer.not_adopted.items()
    ]
    for worker in placer.workers.values():
        if not worker.reachable:
            lost.extend((slot.key, worker.lapse_at) for slot in worker.slots.values())
    steps: dict[StepRun, tuple[int, float]] = {}
    for key, lapse in lost:
        progress = placer.jobs.get(key.job_id)
        if progress is None or progress.cancelled or progress.task(key) is None:
            continue
        if progress.state is not JobState.RUNNING:
            continue
        step_run = progress.step_run(key.occurrence, key.step)
        n_runs, first = steps.get(step_run, (0, lapse))
        steps[step_run] = (n_runs + 1, min(first, lapse))
    return steps


def _prefetch_advice(
    placer: Placer, pools: dict[str, list[Worker]], now: float, wall: float
) -> list[AdviceCall]:
    """Return calls for steps that will be ready while their tickets are still valid.

    This matters for urgent jobs of several short steps: if the call were made only
    once a step is ready, nothing of the job would run during the call.
    """
    calls: list[AdviceCall] = []
    for progress in placer.jobs.values():
        queue = placer.queue_of(progress)
        if queue is None or queue.advice is None or not progress.n_assigned:
            continue
        pool = pools.get(queue.pool)
        if len(progress.job.steps) < 2 or progress.cancelled or not pool:
            continue
        for occurrence, number in list(progress.upcoming_steps(wall)):
            run_times = placer.run_times(progress, occurrence)
            advice = placer.advice.for_step(progress.step_run(occurrence, number).name)
            if advice.calling or advice.asked or now < advice.retry_at:
                continue
            step_run = progress.step_run(occurrence, number)
            left_s = _time_left_s(placer, step_run, run_times, now)
            if left_s > PREFETCH_FRACTION * queue.advice.valid_s:
                continue
            outlook = placer.outlook(step_run, queue, wall, run_times)
            step = step_run.step
            eligible = eligible_workers(placer, step_run, pool, 0.0, now)
            named = choose_advised(
                step, step.n_tasks, [], eligible, [], outlook=outlook
            )
            incarnations = {item.worker_id: item.entry.incarnation for item in named}
            if incarnations:
                rank = CallRank.AHEAD if queue.priority else CallRank.URGENT
                calls.append(
                    make_advice_call(step_run.name, incarnations, queue.advice, rank)
                )
            if len(calls) >= MAX_PREFETCHED_STEPS:
                return calls
    return calls


def _time_left_s(
    placer: Placer, step_run: StepRun, run_times: list[float], now: float
) -> float:
    """Return the expected time until all predecessors of a step are done."""
    progress = placer.jobs[step_run.job.job_id]
    left_s = 0.0
    for number in step_run.step.after:
        if (step_run.occurrence, number) in progress.finished:
            continue
        earlier = progress.step_run(step_run.occurrence, number)
        for index, task in enumerate(earlier.tasks):
            worker = placer.workers.get(task.worker)
            slot = worker.slots.get((earlier.key(index), task.run)) if worker else None
            if worker is None or slot is None:
                continue
            whole_s = run_times[number] / worker.health.speed
            left_s = max(left_s, whole_s - (now - slot.started_at))
    return left_s


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
    """Return the limit for the steps of each lower-priority queue, by queue.

    Headroom is kept only in pools that urgent and lower-priority queues share.
    """
    urgent: dict[str, bool] = {}
    for queue in placer.table.queues.values():
        urgent[queue.pool] = urgent.get(queue.pool, False) or queue.priority == 0
    by_pool = {
        pool: headroom_limit(placer.headroom.setdefault(pool, Headroom()), workers, now)
        for pool, workers in pools.items()
        if urgent.get(pool)
    }
    return {
        queue.name: by_pool[queue.pool]
        for queue in placer.table.queues.values()
        if queue.priority > 0 and queue.pool in by_pool
    }


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
        pool = [
            worker
            for worker in pool
            if now + BACKFILL_FACTOR * run_s / worker.health.speed
            <= placer.reserved.get(worker.worker_id, math.inf)
        ]
    if step.required_label:
        label = step.required_label
        pool = [worker for worker in pool if label in worker.entry.labels]
    if step.max_per_worker:
        taken, bound = _n_by_worker(step_run), step.max_per_worker
        pool = [worker for worker in pool if taken.get(worker.worker_id, 0) < bound]
    return pool


def advise(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    workers: list[Worker],
    *,
    outlook: Outlook,
    now: float,
    n_wanted: int,
    valid_at: float,
    rank: CallRank,
) -> tuple[list[Worker], AdviceCall | None]:
    """Return the workers that advice permits, and a call if they are not enough.

    Parameters
    ----------
    n_wanted : int
        Number of tasks to place.
    valid_at : float, seconds
        When the tickets will be used.
    rank : CallRank
        Rank of the call if it can help to place a task now.
    """
    if queue.advice is None:
        return workers, None
    advice = placer.advice.for_step(step_run.name)
    permitted = [item for item in workers if advice.permits(item.worker_id)]
    if advice.calling or now < advice.retry_at:
        return permitted, None
    step = step_run.step
    fitting = [item for item in permitted if item.fits(step.need)]
    with_ticket = [
        item
        for item in fitting
        if advice.ticket(item.worker_id, item.entry.incarnation, valid_at)
    ]
    if n_fitting_tasks(step, with_ticket) >= n_wanted:
        return permitted, None
    unasked = [item for item in workers if item.worker_id not in advice.asked]
    named = choose_advised(
        step, n_wanted, fitting, unasked, with_ticket, outlook=outlook
    )
    if not named and permitted and not with_ticket and not step.gang:
        # No task fits now. With a few valid tickets at hand, a task can start as soon
        # as capacity becomes free.
        renewed = by_free_cores(permitted)[:MAX_RENEWED_WORKERS]
        if rank is CallRank.RETURN:  # the next ones come before these lapse
            cost_s = queue.advice.decide_s + queue.advice.per_worker_s * len(renewed)
            valid_at += cost_s + MAX_DECISION_PAUSE_S
        kept = any(
            advice.ticket(item.worker_id, item.entry.incarnation, valid_at)
            for item in permitted
        )
        named = [] if kept else renewed
        rank = RENEWAL_RANKS.get(rank, rank)
    if not named:
        return permitted, None
    incarnations = {item.worker_id: item.entry.incarnation for item in named}
    return permitted, make_advice_call(step_run.name, incarnations, queue.advice, rank)


def step_candidates(
    placer: Placer,
    step_run: StepRun,
    workers: Iterable[Worker],
    outlook: Outlook,
    *,
    now: float,
    core_limit: HeadroomLimit | None,
    valid_at: float,
) -> Candidates:
    """Return the workers that can be sent tasks of a step.

    Parameters
    ----------
    valid_at : float, seconds
        When the tickets will be used.
    """
    progress = placer.jobs[step_run.job.job_id]
    queue = placer.queue_of(progress)
    if queue is not None and queue.advice is not None:
        advice = placer.advice.for_step(step_run.name)
        workers = [
            worker
            for worker in workers
            if advice.ticket(worker.worker_id, worker.entry.incarnation, valid_at)
        ]
    # The counter is checked first, since this runs for each worker and step.
    workers = [
        worker
        for worker in workers
        if not (worker.n_suspects and worker.suspect_starts(now))
    ]
    if core_limit is not None and step_run.step.gang and not core_limit.busy:
        core_limit = None
    return make_candidates(
        step_run.step, workers, _n_by_worker(step_run), outlook, core_limit
    )


def _place(
    placer: Placer,
    step_run: StepRun,
    workers: Iterable[Worker],
    outlook: Outlook,
    *,
    now: float,
    core_limit: HeadroomLimit | None,
) -> list[Placement]:
    progress = placer.jobs[step_run.job.job_id]
    candidates = step_candidates(
        placer,
        step_run,
        workers,
        outlook,
        now=now,
        core_limit=core_limit,
        valid_at=now,
    )
    if not candidates.workers:
        return []
    if step_run.step.gang:
        n_tasks = step_run.step.n_tasks
        if step_run.n_assigned or step_run.n_done:
            return []
        if progress.n_startable(step_run) < n_tasks:
            return []
        chosen = place_gang(candidates)
        if chosen is None:
            return []
        run = max(task.run for task in step_run.tasks) + 1
        checkpoint = max(task.checkpoint for task in step_run.tasks)
        for task in step_run.tasks:
            progress.store_checkpoint(task, checkpoint)
        return [
            _assign(placer, progress, step_run, index, worker, run=run, now=now)
            for index, worker in enumerate(chosen)
        ]
    placed = []
    n_startable = progress.n_startable(step_run)
    n_new = n_startable - (step_run.n_open - step_run.n_assigned)
    for index in list(step_run.waiting()):
        task = step_run.tasks[index]
        if not task.run and n_new <= 0:
            continue
        suspect = task.n_crashes > 0
        worker = candidates.pick(task.failed_on, suspect=suspect, now=now)
        if worker is None and suspect:
            continue  # the others may use workers that it may not
        if worker is None:
            break
        n_new -= not task.run
        placed.append(
            _assign(
                placer, progress, step_run, index, worker, run=task.run + 1, now=now
            )
        )
    return placed


def _assign(
    placer: Placer,
    progress: Progress,
    step_run: StepRun,
    index: int,
    worker: Worker,
    *,
    run: int,
    now: float,
) -> Placement:
    key = step_run.key(index)
    slot = placer.make_slot(progress, key, run)
    slot.started_at = now
    slot.checkpoint = step_run.tasks[index].checkpoint
    slot.full_run = not slot.checkpoint
    worker.add(slot)
    progress.assign(key, worker.worker_id, worker.entry.incarnation, run)
    placer.mark_dirty(progress)
    placer.counts["placements"] += 1
    return Placement(worker.worker_id, key, run)


def _n_by_worker(step_run: StepRun) -> dict[str, int]:
    """Return the number of a step's tasks on each worker; empty if it has no bound."""
    if not step_run.step.max_per_worker:
        return {}
    return dict(Counter(task.worker for task in step_run.tasks if task.worker))
