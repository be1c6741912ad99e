"""Selects the workers to name in calls for placement advice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .advice import TICKET_MARGIN_S, AdviceCall, CallRank, make_advice_call
from .decisionbudget import AHEAD_SHARE
from .eligibility import eligible_workers, make_allowance, queue_limit
from .lostruns import lost_steps
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
    min_asked_workers,
    with_room,
)
from .teamusage import TeamAmounts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .decisions import Placement
    from .fleet import Worker
    from .headroom import HeadroomLimit
    from .lateness import Outlook
    from .model import AdviceTerms, Queue, Step
    from .placer import Placer
    from .progress import StepRun

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


def advise_lost_runs(
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
                queue_limit(placer, limits, queue),
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
    rank = waiting_rank(step_run, queue)
    return make_advice_call(step_run.name, incarnations, queue.advice, rank)


def _lost_rank(step_run: StepRun, queue: Queue) -> CallRank:
    """Return the rank of calls for a step of which tasks have been lost."""
    if queue.priority == 0:
        return CallRank.URGENT
    return CallRank.RETURN if step_run.step.long_running else CallRank.PLACE


def waiting_rank(step_run: StepRun, queue: Queue) -> CallRank:
    """Return the rank of calls for a step with waiting tasks."""
    if step_run.n_interrupted:
        return _lost_rank(step_run, queue)
    return CallRank.URGENT if queue.priority == 0 else CallRank.PLACE


def prefetch_advice(
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
        if placer.budget.is_used(AHEAD_SHARE):
            return calls
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
            limit = queue_limit(placer, limits, queue)
            allowance = make_allowance(placer, step_run, limit, now)
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
        for index, task in earlier.tasks.known():
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
