"""Chooses the steps to consider and assigns their tasks to workers."""

from __future__ import annotations

import math
from collections import defaultdict
from heapq import nsmallest
from typing import TYPE_CHECKING, Any, NamedTuple

import structlog

from .adviceplans import advise_lost_runs, prefetch_advice
from .crashes import starts_apart
from .eligibility import (
    available_workers,
    core_limit_of,
    eligible_workers,
    headroom_limits,
    is_restart,
    limit_of,
    make_allowance,
    n_by_worker,
    step_candidates,
)
from .headroom import BUSY_FRACTION, HeadroomLimit
from .keptrooms import (
    deduct_reservations,
    hold_room,
    kept_rooms,
    reserve_for_gang,
    reserve_room,
    reserved_rooms,
    with_unheld_room,
)
from .localwaits import advise_waiting, plan_wait
from .model import JobState
from .ordering import Rank, order_key
from .packing import place_gang, slowdown_on, with_room
from .placewait import FULL_FRACTION, gang_slowdown, is_local
from .teamusage import TeamUsage
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
    from collections.abc import Iterable, Iterator

    from ..model import Resources
    from .advice import AdviceCall
    from .fleet import Worker
    from .lateness import Outlook
    from .model import Queue, TaskKey
    from .packing import Candidates
    from .placer import Placer
    from .placewait import PlaceWait
    from .progress import Progress, StepRun

logger = structlog.get_logger(__name__)

# Steps considered in one decision: the most urgent ones, and some of the others in
# turn, for in a fixed order steps that can't be placed would keep out all behind them.
MAX_STEPS_PER_DECISION = 200
N_TURNS_PER_DECISION = 50
# Fewer steps are considered if decisions take longer than this: nothing else is done
# meanwhile, and tickets lapse between two of them.
MAX_DECISION_S = 0.25
MIN_STEPS_PER_DECISION = 20
STEPS_GROWTH = 1.25
# Blocked steps other than gangs with a reservation at a time; without one, steps that
# need many workers would starve.
MAX_RESERVATIONS = 2
# While a pool is not busy, a job without a run may use kept room after this wait, since
# callers count it as lost after 3 s.
MAX_IDLE_WAIT_S = 2.0


class Placement(NamedTuple):
    """Run assigned to a worker; it is started once the assignment is journaled."""

    worker_id: str
    key: TaskKey
    run: int


def waiting_steps(
    placer: Placer, wall: float
) -> list[tuple[StepRun, Queue, list[float]]]:
    """Return the steps to consider that have tasks to place, the most urgent first.

    Each step comes with its queue and the expected run times of all steps of its job.
    """
    rows: list[tuple[tuple[Any, ...], StepRun, Queue, list[float]]] = []
    moving = {key.step_name for key in placer.moves}
    for progress in placer.jobs.values():
        if progress.cancelled or progress.state is JobState.FAILED:
            continue
        queue = placer.queue_of(progress)
        if queue is None:
            continue
        for step_run in progress.ready_steps(wall):
            n_tasks = progress.n_startable(step_run)
            if n_tasks and progress.job.team is not None:
                if step_run.step.gang and n_tasks == step_run.step.n_tasks:
                    placer.team_usage.keep_part(placer, step_run, wall)
                n_tasks = placer.team_usage.limit(placer, step_run, n_tasks)
            if not n_tasks:
                continue
            run_times = placer.run_times(progress, step_run.occurrence)
            key = order_key(step_run, queue, wall, run_times)
            if moving and step_run.name in moving:
                key = (Rank.MOVING, *key[1:])
            rows.append((key, step_run, queue, run_times))
    if placer.team_usage.kept:  # some came before the gang
        rows = [row for row in rows if _n_startable(placer, row[1])]
    if placer.shares.buckets:
        rows = placer.shares.order(placer, rows, _pools_in_use(placer)[0], wall)
    else:
        rows.sort(key=lambda row: row[0])
    names = placer.team_usage.turn_order(placer, [row[1] for row in rows])
    chosen = _take_turns(placer, names)
    chosen.update(placer.reservations)  # their places may be free now
    return [row[1:] for row in rows if row[1].name in chosen]


def _take_turns(placer: Placer, names: list[str]) -> set[str]:
    """Return the steps to consider in this decision.

    Parameters
    ----------
    names : list of str
        All steps with tasks to place, the most urgent first.
    """
    n_first = n_most = min(placer.max_steps, MAX_STEPS_PER_DECISION)
    n_turns = n_most * N_TURNS_PER_DECISION // MAX_STEPS_PER_DECISION
    if len(names) > n_most:
        n_first -= n_turns
    rest = dict.fromkeys(names[n_first:])
    queue = [name for name in placer.left_out if name in rest]
    queue += [name for name in rest if name not in placer.left_out]
    # A step whose advice has come since its last turn may have tickets that lapse.
    queue.sort(key=lambda name: not placer.advice.is_new(name))
    placer.left_out = dict.fromkeys(queue[n_turns:])
    return {*names[:n_first], *queue[:n_turns]}


def limit_steps(n_considered: int, max_steps: int, took_s: float) -> int:
    """Return how many steps the next decision may consider.

    Parameters
    ----------
    n_considered, max_steps : int
        Steps that the newest decision has considered, and those that it might have.
    took_s : float, seconds
        Time of that decision.
    """
    if took_s > MAX_DECISION_S:
        n_steps = int(n_considered * MAX_DECISION_S / took_s)
        return max(MIN_STEPS_PER_DECISION, min(max_steps, n_steps))
    if n_considered < max_steps or took_s * STEPS_GROWTH > MAX_DECISION_S:
        return max_steps
    return min(MAX_STEPS_PER_DECISION, int(max_steps * STEPS_GROWTH))


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
    placer.reserved, placer.team_usage = {}, TeamUsage()
    n_reservations = 0
    pools = available_workers(placer, now)
    limits = headroom_limits(placer, pools, now)
    waiting = waiting_steps(placer, wall)
    placer.n_considered = len(waiting)
    busy, placer.full_pools = _pools_in_use(placer)
    hold_room(placer, waiting, pools, now)
    deduct_reservations(placer, limits, now)
    patient = False
    explained = _steps_to_explain(waiting, now)
    admitted = _still_admitted(placer, waiting, now)
    for step_run, queue, run_times, n_startable in admitted:
        restarts = is_restart(step_run)
        if not (patient or restarts or queue.priority == 0):
            patient = True
            if placements:  # they may use room that was kept
                hold_room(placer, waiting, pools, now)
        run_s = run_times[step_run.number]
        pool = pools.get(queue.pool, [])
        idle = queue.pool not in busy and _waits_idle(placer, step_run, wall)
        # It may use reserved workers.
        expected_s = 0.0 if idle or step_run.name in placer.reservations else run_s
        workers = eligible_workers(placer, step_run, pool, expected_s, now)
        rooms = kept_rooms(placer, step_run, queue, run_s, idle=idle, now=now)
        if rooms[-1] and not restarts:
            workers = with_unheld_room(step_run, workers, rooms[-1])
        outlook = placer.outlook(step_run, queue, wall, run_times)
        core_limit = core_limit_of(
            step_run, limit_of(placer, limits, step_run, queue), idle=idle
        )
        allowance = make_allowance(
            placer, step_run, core_limit, now, held=rooms[-1], restart=restarts
        )
        place_wait = (
            plan_wait(
                placer,
                step_run,
                queue,
                workers,
                n_wanted=n_startable,
                run_times=run_times,
                allowance=allowance,
                outlook=outlook,
                busy=queue.pool in busy,
                now=now,
                wall=wall,
            )
            if is_local(step_run.step)
            else None
        )
        advised, call = advise_waiting(
            placer,
            step_run,
            queue,
            workers,
            place_wait,
            outlook=outlook,
            now=now,
            n_wanted=n_startable,
            pool=pool,
            allowance=allowance,
        )
        calls += [call] if call is not None else []
        placed = _place(
            placer,
            step_run,
            # The candidates are among these; most steps that wait find none.
            with_room(step_run.step.need, advised),
            outlook,
            now=now,
            core_limit=core_limit,
            rooms=rooms,
            n_far=math.inf if place_wait is None else place_wait.n_far,
        )
        placements.extend(placed)
        if placed:
            _end_wait(placer, step_run, now)
        elif step_run in explained:
            _explain_wait(
                placer,
                step_run,
                queue,
                pool,
                n_wanted=n_startable,
                run_s=run_s,
                held=rooms[0],
                core_limit=core_limit,
                for_place=place_wait is not None,
                now=now,
            )
        _note_wait(placer, step_run, queue, workers, place_wait=place_wait, now=now)
        if placed or step_run.name in placer.shares.surplus_steps:
            continue
        if step_run.step.gang:
            reserve_for_gang(placer, step_run, pool, core_limit, now=now)
        elif advised and not place_wait and n_reservations < MAX_RESERVATIONS:
            n_reservations += reserve_room(
                placer, step_run, pool, advised, n_startable, run_s=run_s, now=now
            )
    note_unconsidered(placer, now, wall)
    calls.extend(advise_lost_runs(placer, pools, limits, now, wall))
    calls.extend(prefetch_advice(placer, pools, limits, now, wall))
    return placements, calls


def _n_startable(placer: Placer, step_run: StepRun) -> int:
    """Return how many tasks of a step its job and the cap of its team admit now."""
    n_tasks = placer.jobs[step_run.job.job_id].n_startable(step_run)
    n_tasks = placer.team_usage.limit(placer, step_run, n_tasks)
    return placer.shares.limit(placer, step_run, n_tasks)


def _still_admitted(
    placer: Placer, waiting: Iterable[tuple[StepRun, Queue, list[float]]], now: float
) -> Iterator[tuple[StepRun, Queue, list[float], int]]:
    """Yield the steps that the caps of their teams admit when it is their turn.

    Each comes with the number of its tasks that may start. The placements of a decision
    may take a team to its cap.
    """
    for row in waiting:
        n_tasks = _n_startable(placer, row[0])
        if n_tasks:
            yield *row, n_tasks
        else:
            row[0].wait.since = row[0].wait.since or now


def _pools_in_use(placer: Placer) -> tuple[set[str], set[str]]:
    """Return the pools with much of their reachable workers' cores in use.

    Workers that drain or are ejected count as well: callers count a job without a run
    as lost by the use of the whole pool.

    Returns
    -------
    busy, full : set of str
        Those with half of the cores in use, and with `FULL_FRACTION` of them.
    """
    capacity: defaultdict[str, float] = defaultdict(float)
    free: defaultdict[str, float] = defaultdict(float)
    for worker in placer.workers.values():
        if not (worker.registered and worker.reachable):
            continue
        pool = worker.entry.pool
        capacity[pool] += worker.entry.capacity.cores
        free[pool] += max(0.0, worker.free.cores)
    busy, full = (
        {
            pool
            for pool, cores in capacity.items()
            if free[pool] <= (1 - fraction) * cores
        }
        for fraction in (BUSY_FRACTION, FULL_FRACTION)
    )
    return busy, full


def _waits_idle(placer: Placer, step_run: StepRun, wall: float) -> bool:
    """Return whether a job has no run although it was accepted some time ago."""
    job = step_run.job
    begun_at = max(job.accepted_at, job.due_at(step_run.occurrence))
    idle = not placer.jobs[job.job_id].n_assigned
    return idle and wall - begun_at > MAX_IDLE_WAIT_S


def _place(
    placer: Placer,
    step_run: StepRun,
    workers: list[Worker],
    outlook: Outlook,
    *,
    now: float,
    core_limit: HeadroomLimit | None,
    rooms: list[dict[str, Resources]],
    n_far: float = math.inf,
) -> list[Placement]:
    """Assign waiting tasks of a step, those that last and were interrupted first.

    Parameters
    ----------
    n_far : float, optional
        Most tasks that may be placed away from the rack of their data; a gang with none
        is not spread over racks either.
    rooms : list of dict
        Room on workers that the step leaves to others: in the first attempt, and in a
        second one for tasks that found no place.
    """
    lasts = step_run.step.long_running and not step_run.step.gang
    placed: list[Placement] = []
    if not workers:
        return placed
    for held, restart in [(held, again) for held in rooms for again in (True, False)]:
        indexes = [
            index
            for index in step_run.waiting()
            if (lasts and step_run.tasks[index].run > 0) is restart
        ]
        if not indexes:
            continue
        candidates = step_candidates(
            placer,
            step_run,
            workers,
            outlook,
            now=now,
            core_limit=core_limit,
            valid_at=now,
            restart=restart,
            held=held,
        )
        if n_far < math.inf:
            candidates.limit_far(n_far)
        if candidates.workers:
            place = _place_gang if step_run.step.gang else _place_tasks
            placed += place(placer, step_run, indexes, candidates, now)
        n_far = candidates.n_far
    return placed


def _place_gang(
    placer: Placer,
    step_run: StepRun,
    indexes: list[int],
    candidates: Candidates,
    now: float,
) -> list[Placement]:
    progress = placer.jobs[step_run.job.job_id]
    n_tasks = step_run.step.n_tasks
    if len(indexes) < n_tasks or progress.n_startable(step_run) < n_tasks:
        return []
    if not placer.team_usage.limit(placer, step_run, n_tasks):
        return []
    chosen = place_gang(candidates)
    if chosen is None:
        return []
    run = max(task.run for task in step_run.tasks) + 1
    checkpoint = max(task.checkpoint for task in step_run.tasks)
    if placer.reservations.pop(step_run.name, None) is not None:
        placer.reserved_room = reserved_rooms(placer)
    for task in step_run.tasks:
        progress.store_checkpoint(task, checkpoint)
    slowdown = gang_slowdown(step_run.step, chosen, placer.remote_slowdown)
    return [
        _assign(
            placer,
            progress,
            step_run,
            index,
            worker,
            run=run,
            now=now,
            slowdown=slowdown,
        )
        for index, worker in enumerate(chosen)
    ]


def _place_tasks(
    placer: Placer,
    step_run: StepRun,
    indexes: list[int],
    candidates: Candidates,
    now: float,
) -> list[Placement]:
    progress = placer.jobs[step_run.job.job_id]
    placed: list[Placement] = []
    n_new = progress.n_startable(step_run) - step_run.n_interrupted
    n_admitted = placer.team_usage.limit(placer, step_run, len(indexes))
    n_admitted = placer.shares.limit(placer, step_run, n_admitted)
    for index in indexes:
        if len(placed) >= n_admitted:
            break
        task = step_run.tasks[index]
        if not task.run and n_new <= 0:
            continue
        suspect = task.n_crashes > 0
        worker = candidates.pick(
            task.failed_on,
            suspect=suspect,
            apart=starts_apart(step_run.step, task),
            now=now,
        )
        if worker is None and suspect:
            continue  # the others may use workers that it may not
        if worker is None:
            break
        n_new -= not task.run
        run = task.run + 1
        slowdown = slowdown_on(step_run.step, worker, placer.remote_slowdown)
        placed.append(
            _assign(
                placer,
                progress,
                step_run,
                index,
                worker,
                run=run,
                now=now,
                slowdown=slowdown,
            )
        )
    return placed


def _steps_to_explain(
    waiting: list[tuple[StepRun, Queue, list[float]]], now: float
) -> set[StepRun]:
    """Return the steps whose waits are explained in this decision."""
    due = [row[0] for row in waiting if row[0].wait.is_due(now)]
    return set(nsmallest(MAX_EXPLAINED_STEPS, due, key=lambda it: it.wait.explained_at))


def _note_wait(
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


def _explain_wait(
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


def _end_wait(placer: Placer, step_run: StepRun, now: float) -> None:
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
            elif step_run.name in placer.left_out:
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
    waiting = [
        step_run
        for progress in placer.jobs.values()
        for step_run in progress.step_runs.values()
        if step_run.wait.since and step_run.n_waiting and not progress.cancelled
    ]
    waiting.sort(key=lambda step_run: step_run.wait.since)
    return [
        {
            "step": step_run.name,
            **step_run.wait.fields(now),
            **placer.jobs[step_run.job.job_id].idle_fields(now),
            **(step_run.wait.cause.fields() if step_run.wait.cause else {}),
        }
        for step_run in waiting[:MAX_DUMPED_STEPS]
    ]


def _assign(
    placer: Placer,
    progress: Progress,
    step_run: StepRun,
    index: int,
    worker: Worker,
    *,
    run: int,
    now: float,
    slowdown: float,
) -> Placement:
    key = step_run.key(index)
    slot = placer.make_slot(progress, key, run)
    slot.run_time_s *= slowdown
    slot.started_at = now
    slot.checkpoint = step_run.tasks[index].checkpoint
    slot.full_run = not slot.checkpoint
    worker.add(slot)
    placer.team_usage.add(slot)
    placer.shares.use_room(worker.entry.pool, slot.need.cores)
    progress.assign(key, worker.worker_id, worker.entry.incarnation, run)
    placer.mark_dirty(progress)
    placer.counts["placements"] += 1
    return Placement(worker.worker_id, key, run)
