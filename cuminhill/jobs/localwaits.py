"""Decides whether the tasks of a step wait for local places."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .adviceplans import MAX_DECISION_PAUSE_S, advise, waiting_rank
from .eligibility import n_by_worker
from .keptrooms import kept_amounts
from .ordering import STALE_FACTOR, objective_s
from .packing import MIN_ASKED_WORKERS, Allowance, is_near, n_fitting_tasks, with_room
from .placewait import WaitBounds, local_groups, plan_gang, plan_tasks

if TYPE_CHECKING:
    from .advice import AdviceCall
    from .fleet import Worker
    from .lateness import Outlook
    from .model import AdviceTerms, Queue
    from .placer import Placer
    from .placewait import PlaceWait
    from .progress import StepRun


def plan_wait(
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


def advise_waiting(
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
        rank=waiting_rank(step_run, queue),
        pool=pool if local is None else _named(pool, local),
        allowance=allowance,
    )
    if local is not None:
        permitted = [item for item in workers if advice.permits(item.worker_id)]
    return permitted, call


def _named(workers: list[Worker], names: set[str]) -> list[Worker]:
    return [item for item in workers if item.worker_id in names]
