"""Chooses the steps to consider and assigns their tasks to workers."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple

from .adviceplans import advise_lost_runs, prefetch_advice
from .crashes import starts_apart
from .decisionbudget import MAX_DECISION_S, jobs_in_turn, steps_in_turn
from .eligibility import (
    available_workers,
    core_limit_of,
    eligible_workers,
    headroom_limits,
    is_restart,
    limit_of,
    make_allowance,
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
from .waitnotes import (
    end_wait,
    explain_unplaced,
    note_unconsidered,
    note_wait,
    steps_to_explain,
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
    from .progress import Progress, StepRun

# Steps considered in one decision: the most urgent ones, and some of the others in
# turn, for in a fixed order steps that can't be placed would keep out all behind them.
MAX_STEPS_PER_DECISION = 200
N_TURNS_PER_DECISION = 50
# Fewer steps are considered, this many at least, if decisions take longer than
# `MAX_DECISION_S`: tickets lapse between two of them.
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
    for progress in jobs_in_turn(placer):
        if progress.cancelled or progress.state is JobState.FAILED:
            continue
        queue = placer.queue_of(progress)
        if queue is None:
            continue
        occurrence, run_times = -1, []
        for step_run in progress.ready_steps(wall):
            n_tasks = progress.n_startable(step_run)
            if n_tasks and progress.job.team is not None:
                if step_run.step.gang and n_tasks == step_run.step.n_tasks:
                    placer.team_usage.keep_part(placer, step_run, wall)
                n_tasks = placer.team_usage.limit(placer, step_run, n_tasks)
            if not n_tasks:
                continue
            if step_run.occurrence != occurrence:  # the steps of one share the list
                occurrence = step_run.occurrence
                run_times = placer.run_times(progress, occurrence)
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
    # Steps of jobs that were not looked at keep their places.
    unseen = placer.budget.unseen_jobs
    kept = [name for name in placer.left_out if name.partition(".")[0] in unseen]
    placer.left_out = dict.fromkeys([*queue[n_turns:], *kept])
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
    busy, placer.full_pools = _pools_in_use(placer)
    hold_room(placer, waiting, pools, now)
    deduct_reservations(placer, limits, now)
    patient = False
    explained = steps_to_explain(waiting, now)
    for step_run, queue, run_times, n_startable in _still_admitted(
        placer, steps_in_turn(placer, waiting), now
    ):
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
            end_wait(placer, step_run, now)
        elif step_run in explained:
            explain_unplaced(
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
        note_wait(placer, step_run, queue, workers, place_wait=place_wait, now=now)
        if placed or step_run.name in placer.shares.surplus_steps:
            continue
        if step_run.step.gang:
            reserve_for_gang(placer, step_run, pool, core_limit, now=now)
        elif advised and not place_wait and n_reservations < MAX_RESERVATIONS:
            n_reservations += reserve_room(
                placer, step_run, pool, advised, n_startable, run_s=run_s, now=now
            )
    placer.n_considered = len(waiting) - len(placer.budget.unreached_steps)
    note_unconsidered(placer, now, wall)
    calls += advise_lost_runs(placer, pools, limits, now, wall)
    calls += prefetch_advice(placer, pools, limits, now, wall)
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
        n_again = step_run.n_interrupted if lasts else 0
        if not (n_again if restart else step_run.n_waiting - n_again):
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
            if step_run.step.gang:
                placed += _place_gang(placer, step_run, candidates, now)
            else:
                placed += _place_tasks(
                    placer, step_run, candidates, restart=restart, now=now
                )
        n_far = candidates.n_far
    return placed


def _place_gang(
    placer: Placer,
    step_run: StepRun,
    candidates: Candidates,
    now: float,
) -> list[Placement]:
    progress = placer.jobs[step_run.job.job_id]
    n_tasks = step_run.step.n_tasks
    if step_run.n_waiting < n_tasks or progress.n_startable(step_run) < n_tasks:
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
    candidates: Candidates,
    *,
    restart: bool,
    now: float,
) -> list[Placement]:
    """Assign waiting tasks.

    Parameters
    ----------
    restart : bool
        Whether to assign tasks of a step that lasts that have run before, in place of
        those that have not.
    """
    progress = placer.jobs[step_run.job.job_id]
    placed: list[Placement] = []
    n_again = step_run.n_interrupted
    n_new = progress.n_startable(step_run) - n_again
    tasks, n_waiting = step_run.tasks, step_run.n_waiting
    indexes = tasks.waiting() if n_new > 0 else tasks.interrupted()
    if step_run.step.long_running:
        n_waiting = n_again if restart else n_waiting - n_again
        indexes = tasks.interrupted() if restart else tasks.unstarted()
    n_admitted = placer.team_usage.limit(placer, step_run, n_waiting)
    n_admitted = placer.shares.limit(placer, step_run, n_admitted)
    for index in indexes:
        if len(placed) >= n_admitted:
            break
        task = tasks[index]
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
