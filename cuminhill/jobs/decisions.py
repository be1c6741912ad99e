"""Assigns waiting tasks to workers and selects the calls for placement advice."""

from __future__ import annotations

import math
from collections import defaultdict
from heapq import nsmallest
from typing import TYPE_CHECKING, Any, NamedTuple

import structlog

from .advice import (
    TICKET_MARGIN_S,
    AdviceCall,
    CallRank,
    make_advice_call,
)
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
    kept_amounts,
    kept_rooms,
    reserve_for_gang,
    reserve_room,
    reserved_rooms,
    with_unheld_room,
)
from .lostruns import lost_steps
from .model import JobState
from .ordering import STALE_FACTOR, Rank, objective_s, order_key
from .packing import (
    MAX_ADVISED_WORKERS,
    MIN_ASKED_WORKERS,
    PERMITTED_FACTOR,
    Allowance,
    Reservation,
    by_free_cores,
    by_suitability,
    choose_advised,
    covering,
    is_near,
    min_asked_workers,
    n_fitting_tasks,
    place_gang,
    slowdown_on,
    with_room,
)
from .placewait import (
    FULL_FRACTION,
    WaitBounds,
    gang_slowdown,
    is_local,
    local_groups,
    plan_gang,
    plan_tasks,
)
from .teamusage import TeamAmounts, TeamUsage
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
    from .fleet import Worker
    from .lateness import Outlook
    from .model import AdviceTerms, Queue, Step, TaskKey
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
# Workers named in a call that only renews tickets while no task fits.
MAX_RENEWED_WORKERS = 8
# Least number of permitted workers in a call for tickets while few of them have room:
# it takes half a second for a large step, and by then others may have room instead.
MIN_NAMED_WORKERS = 16
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
            _plan_wait(
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
        advised, call = _advise_waiting(
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
    calls.extend(_advise_lost_runs(placer, pools, limits, now, wall))
    calls.extend(_prefetch_advice(placer, pools, limits, now, wall))
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


def _plan_wait(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    workers: list[Worker],
    *,
    n_wanted: int,
    run_times: list[float],
    allowance: Allowance,
    outlook: Outlook,
    busy: bool,
    now: float,
    wall: float,
) -> PlaceWait | None:
    """Return whether tasks wait for a local placement instead of starting elsewhere.

    Tasks that were interrupted don't wait: how much of their work is left is not known.

    Parameters
    ----------
    workers : list of Worker
        Workers that may run the step, regardless of advice.
    """
    step, slowdown = step_run.step, placer.remote_slowdown
    if slowdown <= 1.0 or step_run.n_interrupted:
        return None
    if step.gang and n_wanted < step.n_tasks:
        return None
    bounds = _wait_bounds(placer, step_run, queue, run_times, now=now, wall=wall)
    until = bounds.until()
    if now >= until:
        return None
    usable, ask_s = _permitted_or_unasked(placer, step_run, queue, workers, now)
    roomy = with_room(step.need, usable)
    # Room that the step may not use now, such as headroom, is no place to wait for, nor
    # one to leave unused.
    closed = {item.worker_id for item in roomy if not allowance.accepts(item)}
    if closed:
        roomy = [item for item in roomy if item.worker_id not in closed]
        usable = [item for item in usable if item.worker_id not in closed]
    far = roomy if step.gang else [item for item in roomy if not is_near(step, item)]
    if not far or (step.gang and n_fitting_tasks(step, far) < step.n_tasks):
        return None
    run_s = run_times[step_run.number]
    held = kept_amounts(placer, step_run.name)
    if step.gang:
        return plan_gang(
            step,
            local_groups(step, usable),
            ask_s=ask_s,
            run_s=run_s,
            slowdown=slowdown,
            outlook=outlook,
            until=until,
            now=now,
            held=held,
            busy=busy,
        )
    return plan_tasks(
        step,
        [item for item in usable if is_near(step, item)],
        n_wanted,
        ask_s=ask_s,
        run_s=run_s,
        far_s=slowdown * run_s / max(item.health.speed for item in far),
        outlook=outlook,
        until=until,
        now=now,
        held=held,
        n_by_worker=n_by_worker(step_run),
    )


def _permitted_or_unasked(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    workers: list[Worker],
    now: float,
) -> tuple[list[Worker], dict[str, float]]:
    """Return the workers that advice does not forbid, and when they have tickets.

    Returns
    -------
    usable : list of Worker
        The permitted workers and those that no call has named yet.
    ask_s : dict of str to float, seconds
        Expected time of a call, for each of them without a valid ticket.
    """
    if queue.advice is None:
        return workers, {}
    advice = placer.advice.for_step(step_run.name)
    sent_at = placer.sent_at(now, queue.advice, now)
    call_s = _call_s(queue.advice)
    usable, ask_s = [], {}
    for worker in workers:
        name = worker.worker_id
        if name in advice.asked and not advice.permits(name):
            continue
        usable.append(worker)
        if not advice.ticket(name, worker.entry.incarnation, sent_at):
            ask_s[name] = call_s
    return usable, ask_s


def _call_s(terms: AdviceTerms) -> float:
    """Return the expected time until a call for advice is answered and used."""
    cost_s = terms.decide_s + terms.per_worker_s * MIN_ASKED_WORKERS
    return cost_s + MAX_DECISION_PAUSE_S


def _wait_bounds(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    run_times: list[float],
    *,
    now: float,
    wall: float,
) -> WaitBounds:
    """Return what bounds the wait of a step for a local placement."""
    job, progress = step_run.job, placer.jobs[step_run.job.job_id]
    begun_at = now - (wall - max(job.accepted_at, job.due_at(step_run.occurrence)))
    # The times of scheduled jobs without a run are not counted; they have their due
    # time instead.
    idle_since = 0.0
    if not progress.n_assigned:
        idle_since = progress.idle_since or begun_at
    return WaitBounds(
        placer.begun_at,
        step_run.wait.since or now,
        step_run.wait.place_since or now,
        idle_since,
        begun_at + STALE_FACTOR * objective_s(job, queue, run_times),
        step_run.n_assigned > 0,
        queue.pool in placer.full_pools,
    )


def _advise_waiting(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    workers: list[Worker],
    place_wait: PlaceWait | None,
    *,
    outlook: Outlook,
    now: float,
    n_wanted: int,
    pool: list[Worker],
    allowance: Allowance,
) -> tuple[list[Worker], AdviceCall | None]:
    """Return the workers that advice permits, and a call, as `advise` does.

    While tasks wait for local places, tickets for the workers there are kept valid, as
    tickets for workers elsewhere would do for all tasks. Those are asked about again in
    time for the end of the wait.
    """
    local, n_local = None, n_wanted
    if place_wait is not None and queue.advice is not None:
        advice = placer.advice.for_step(step_run.name)
        ends_soon = place_wait.until - now <= _call_s(queue.advice)
        n_ready = allowance.n_startable(
            item
            for item in with_room(step_run.step.need, workers)
            if item.worker_id not in place_wait.local
            and advice.ticket(item.worker_id, item.entry.incarnation, now)
        )
        if advice.asked and not ends_soon and n_ready >= place_wait.n_far:
            local = set(place_wait.local)
            n_local = n_wanted - place_wait.n_far
            reservation = placer.reservations.get(step_run.name)
            local.update(reservation.places if reservation is not None else ())
    permitted, call = advise(
        placer,
        step_run,
        queue,
        workers if local is None else _named(workers, local),
        outlook=outlook,
        now=now,
        n_wanted=n_local,
        valid_at=now,
        rank=_waiting_rank(step_run, queue),
        pool=pool if local is None else _named(pool, local),
        allowance=allowance,
    )
    if local is not None:
        permitted = [item for item in workers if advice.permits(item.worker_id)]
    return permitted, call


def _named(workers: list[Worker], names: set[str]) -> list[Worker]:
    return [item for item in workers if item.worker_id in names]


def _advise_lost_runs(
    placer: Placer,
    pools: dict[str, list[Worker]],
    limits: dict[str, HeadroomLimit],
    now: float,
    wall: float,
) -> list[AdviceCall]:
    """Return calls for steps whose runs on lost workers will be given up soon.

    The end of their leases is known, so the tickets can be at hand by then.
    """
    calls: list[AdviceCall] = []
    if now - max(placer.begun_at, placer.calls_since) < FIRST_ANSWERS_S:
        return calls
    lost = sorted(lost_steps(placer).items(), key=lambda row: row[1][1])
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
            allowance=make_allowance(
                placer,
                step_run,
                limits.get(queue.name),
                now,
                restart=step_run.step.long_running and not step_run.step.gang,
            ),
        )
        if call is not None:
            calls.append(call)
        if len(calls) >= MAX_PREFETCHED_STEPS:
            break
    return calls


def late_start_call(
    placer: Placer, waiting: Iterable[Placement], now: float
) -> AdviceCall | None:
    """Return a call for the tickets of starts of one step, None if none can be made.

    Only the workers of these starts are named, so the call is short.
    """
    starts = list(waiting)
    key = starts[0].key
    progress = placer.jobs[key.job_id]
    queue = placer.queue_of(progress)
    step_run = progress.step_run(key.occurrence, key.step)
    advice = placer.advice.for_step(step_run.name)
    if queue is None or queue.advice is None:
        return None
    if advice.calling or now < advice.retry_at:
        return None
    names = list(dict.fromkeys(item.worker_id for item in starts))
    incarnations = {
        name: placer.workers[name].entry.incarnation
        for name in names[:MAX_ADVISED_WORKERS]
    }
    rank = _waiting_rank(step_run, queue)
    return make_advice_call(step_run.name, incarnations, queue.advice, rank)


def _lost_rank(step_run: StepRun, queue: Queue) -> CallRank:
    """Return the rank of calls for a step of which tasks have been lost."""
    if queue.priority == 0:
        return CallRank.URGENT
    return CallRank.RETURN if step_run.step.long_running else CallRank.PLACE


def _waiting_rank(step_run: StepRun, queue: Queue) -> CallRank:
    """Return the rank of calls for a step with waiting tasks."""
    if step_run.n_interrupted:
        return _lost_rank(step_run, queue)
    return CallRank.URGENT if queue.priority == 0 else CallRank.PLACE


def _prefetch_advice(
    placer: Placer,
    pools: dict[str, list[Worker]],
    limits: dict[str, HeadroomLimit],
    now: float,
    wall: float,
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
            n_wanted = _n_admitted_next(placer, step_run)
            if not n_wanted:
                continue
            outlook = placer.outlook(step_run, queue, wall, run_times)
            step = step_run.step
            eligible = eligible_workers(placer, step_run, pool, 0.0, now)
            allowance = make_allowance(placer, step_run, limits.get(queue.name), now)
            named = choose_advised(
                step,
                n_wanted,
                [],
                eligible,
                [],
                outlook=outlook,
                allowance=allowance,
                min_asked=min_asked_workers(step, queue.advice),
            )
            incarnations = {item.worker_id: item.entry.incarnation for item in named}
            if incarnations:
                surplus = placer.shares.is_surplus(placer, step_run.job, wall)
                ahead = queue.priority or surplus
                rank = CallRank.AHEAD if ahead else CallRank.URGENT
                calls.append(
                    make_advice_call(step_run.name, incarnations, queue.advice, rank)
                )
            if len(calls) >= MAX_PREFETCHED_STEPS:
                return calls
    return calls


def _n_admitted_next(placer: Placer, step_run: StepRun) -> int:
    """Return how many tasks of a step a cap admits once the steps before it end."""
    freed = TeamAmounts()
    for number in step_run.step.after:
        earlier = placer.jobs[step_run.job.job_id].step_run(step_run.occurrence, number)
        freed = freed.plus(earlier.step.need, earlier.n_assigned)
    n_tasks = step_run.step.n_tasks
    return placer.team_usage.limit(placer, step_run, n_tasks, freed)


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
    pool: list[Worker] | None = None,
    allowance: Allowance | None = None,
) -> tuple[list[Worker], AdviceCall | None]:
    """Return the workers that advice permits, and a call if they are not enough.

    Parameters
    ----------
    n_wanted : int
        Number of tasks to place.
    valid_at : float, seconds
        When the starts that use the tickets will be decided.
    rank : CallRank
        Rank of the call if it can help to place a task now.
    pool : list of Worker, optional
        All workers of the pool. A gang asks about those without room as well, since it
        may wait for room there.
    allowance : Allowance, optional
        Room that the step may use now; by default that of interrupted lasting tasks.
    """
    if queue.advice is None:
        return workers, None
    advice = placer.advice.for_step(step_run.name)
    advice.is_new = False
    known = advice.permitted
    permitted = [item for item in workers if item.worker_id in known]
    if advice.calling or now < advice.retry_at or step_run.name in placer.late_starts:
        return permitted, None
    step = step_run.step
    valid_at = placer.sent_at(valid_at, queue.advice, now)
    allowance = allowance or make_allowance(placer, step_run, None, now, restart=True)
    fitting = with_room(step.need, permitted)
    fitting = [item for item in fitting if allowance.accepts(item)]
    with_ticket = [
        item
        for item in fitting
        if advice.ticket(item.worker_id, item.entry.incarnation, valid_at)
    ]
    if allowance.n_startable(with_ticket) >= n_wanted:
        return permitted, None
    askable = workers
    if step.gang and pool is not None:
        askable = eligible_workers(placer, step_run, pool, 0.0, now)
    asked = advice.asked
    unasked = [item for item in askable if item.worker_id not in asked]
    # Patient steps leave the service to others while all room is in use.
    only_usable = rank is CallRank.PLACE and bool(permitted) and not step.gang
    reservation = placer.reservations.get(step_run.name)
    if reservation is None:
        named = choose_advised(
            step,
            n_wanted,
            fitting,
            unasked,
            with_ticket,
            outlook=outlook,
            allowance=allowance,
            only_usable=only_usable,
            min_asked=min_asked_workers(step, queue.advice),
        )
        if named and not step.gang:
            n_short = n_wanted * PERMITTED_FACTOR - allowance.n_startable(fitting)
            named = _with_spare(named, permitted) if n_short > 0 else named
    else:
        named = _advised_for_reservation(
            placer,
            reservation,
            queue.advice,
            fitting,
            unasked,
            outlook=outlook,
            now=now,
        )
    if not named and permitted and not with_ticket and not step.gang:
        # No task may start now. With a few valid tickets at hand, a task can start as
        # soon as capacity becomes free or the headroom is left.
        renewed, blocked = _choose_renewed(step, permitted)
        if unasked:
            more = MAX_ADVISED_WORKERS - len(renewed)
            renewed += by_free_cores(unasked)[:more]
        if rank is CallRank.RETURN:  # the next ones come before these lapse
            cost_s = queue.advice.decide_s + queue.advice.per_worker_s * len(renewed)
            valid_at += cost_s + MAX_DECISION_PAUSE_S
        kept = any(
            advice.ticket(item.worker_id, item.entry.incarnation, valid_at)
            for item in permitted
        )
        named = [] if kept else renewed
        if not (blocked or unasked):
            rank = RENEWAL_RANKS.get(rank, rank)
    if not named:
        return permitted, None
    incarnations = {item.worker_id: item.entry.incarnation for item in named}
    return permitted, make_advice_call(step_run.name, incarnations, queue.advice, rank)


def _with_spare(named: list[Worker], permitted: list[Worker]) -> list[Worker]:
    """Add permitted workers to those named in a call, on which room may become free."""
    n_spare = min(MIN_NAMED_WORKERS, len(permitted)) - len(named)
    if n_spare <= 0:
        return named
    names = {item.worker_id for item in named}
    others = [item for item in permitted if item.worker_id not in names]
    return named + by_free_cores(others)[:n_spare]


def _choose_renewed(
    step: Step, permitted: list[Worker]
) -> tuple[list[Worker], list[Worker]]:
    """Return the workers for which tickets are renewed while no task may start.

    Half of them have room that is kept for others if there are such workers.

    Returns
    -------
    renewed, blocked : list of Worker
        The workers to name, and all those with room that is kept.
    """
    by_room = by_free_cores(permitted)
    blocked = [item for item in by_room if item.fits(step.need)]
    others = [item for item in by_room if not item.fits(step.need)]
    n_others = min(len(others), MAX_RENEWED_WORKERS // 2)
    renewed = blocked[: MAX_RENEWED_WORKERS - n_others]
    return renewed + others[: MAX_RENEWED_WORKERS - len(renewed)], blocked


def _advised_for_reservation(
    placer: Placer,
    reservation: Reservation,
    terms: AdviceTerms,
    fitting: list[Worker],
    unasked: list[Worker],
    *,
    outlook: Outlook,
    now: float,
) -> list[Worker]:
    """Return the workers to name for a gang for which places are kept.

    Its tickets are at hand from when all places are expected to be free until it
    starts. Before that it asks about the workers that no call has named.

    Parameters
    ----------
    fitting : list of Worker
        Permitted workers with room for a task now; some are named as well, since a
        place may be replaced.
    """
    step_run = reservation.step_run
    step, advice = step_run.step, placer.advice.for_step(step_run.name)
    ranked = by_suitability(step, step.n_tasks, fitting, outlook)
    spare = covering(step, step.n_tasks * PERMITTED_FACTOR, ranked)
    names = dict.fromkeys([*reservation.places, *(item.worker_id for item in spare)])
    named = [placer.workers[name] for name in names][:MAX_ADVISED_WORKERS]
    cost_s = terms.decide_s + terms.per_worker_s * len(named)
    ahead_s = cost_s + MAX_DECISION_PAUSE_S
    if reservation.at - now > ahead_s:
        if len(unasked) < MIN_ASKED_WORKERS:
            return []
        return by_suitability(step, step.n_tasks, unasked, outlook)[
            :MAX_ADVISED_WORKERS
        ]
    valid_at = placer.sent_at(max(reservation.at, now + ahead_s), terms, now)
    kept = all(
        advice.ticket(name, placer.workers[name].entry.incarnation, valid_at)
        for name in reservation.places
    )
    return [] if kept else named


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
