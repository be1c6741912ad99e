"""Keeps room for lasting tasks, and places for gangs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES
from .eligibility import BACKFILL_FACTOR, eligible_workers, is_restart, n_by_worker
from .fleet import CAPACITY_EPSILON
from .lateness import NO_OBJECTIVE
from .lostruns import lost_steps
from .model import JobState
from .packing import (
    SHORT_RUN_S,
    HeldRoom,
    Hold,
    Reservation,
    n_tasks_in,
    reserve,
    reserve_places,
    soonest_places,
)
from .placewait import WaitBounds, is_local, is_worthwhile, soonest_local

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from ..model import Resources
    from .fleet import Worker
    from .headroom import HeadroomLimit
    from .model import Queue
    from .packing import Amounts
    from .placer import Placer
    from .progress import StepRun

# Tasks covered by the reservation of a step that is not a gang: they can start one by
# one.
MAX_RESERVED_TASKS = 4
# Share of a pool's cores that may be kept for lasting tasks, though room for one task
# always may: batches go on when many workers are lost.
MAX_HELD_FRACTION = 0.25
# Share of a pool's cores that may be kept for gangs of the same or a higher priority,
# though one gang always may have all that it needs.
MAX_RESERVED_FRACTION = 0.25
# Places of gangs that are expected to be free within this time are deducted from the
# room beside the headroom; before that, short runs may use them.
RESERVED_AHEAD_S = BACKFILL_FACTOR * SHORT_RUN_S
# Steps for which room is kept in one decision, those with the earliest start first; it
# bounds the time of a decision after the loss of many workers.
MAX_HELD_STEPS = 50
# Room is kept for an interrupted task for this long: longer than a wait for leases and
# for batches to end, while a task that can't start for another reason holds none.
MAX_HOLD_S = 30.0


def reserve_room(
    placer: Placer,
    step_run: StepRun,
    pool: list[Worker],
    workers: list[Worker],
    n_startable: int,
    *,
    run_s: float,
    now: float,
) -> bool:
    """Reserve workers for a blocked step; return whether it counts as a reservation.

    Parameters
    ----------
    workers : list of Worker
        Workers of the pool that may run the step.
    """
    step = step_run.step
    n_tasks = min(n_startable, MAX_RESERVED_TASKS)
    if step.long_running:
        # For restarts room is kept already.
        if is_restart(step_run) or any(item.fits(step.need) for item in workers):
            return False
        n_tasks = _n_holdable(placer, step_run, pool, n_tasks)
        _hold_places(placer, step_run, workers, n_tasks, at=now, now=now)
        return True
    if run_s <= SHORT_RUN_S:
        return False
    reserved = reserve(step, workers, n_tasks, now, kept_amounts(placer))
    for worker_id, at in reserved.items():
        placer.reserved[worker_id] = min(at, placer.reserved.get(worker_id, math.inf))
    return True


def hold_room(
    placer: Placer,
    waiting: Iterable[tuple[StepRun, Queue, list[float]]],
    pools: dict[str, list[Worker]],
    now: float,
) -> None:
    """Keep room for lasting tasks that were interrupted or will be given up as lost.

    While such a task waits, for leases or advice, batches would take the room on the
    few workers that may run it. The same holds for tasks that are being moved, which
    were stopped because their target had room.
    """
    placer.held = {}
    for move in placer.moves.values():
        if move.target in placer.workers:
            hold = Hold(move.need, now)
            placer.held.setdefault(move.target, HeldRoom()).add(hold)
    claims = [
        (now, step_run, _n_held_for(placer, step_run, now))
        for step_run, _, _ in waiting
        if is_restart(step_run)
    ]
    claims += [
        (max(now, lapse), step_run, n_runs)
        for step_run, (n_runs, lapse) in lost_steps(placer).items()
        if step_run.step.long_running and not step_run.step.gang
    ]
    claims.sort(key=lambda claim: claim[0])
    for at, step_run, n_tasks in claims[:MAX_HELD_STEPS]:
        queue = placer.queue_of(placer.jobs[step_run.job.job_id])
        if queue is None or queue.pool not in pools:
            continue
        pool = pools[queue.pool]
        n_allowed = _n_holdable(placer, step_run, pool, n_tasks)
        if not n_allowed:
            continue
        workers = eligible_workers(placer, step_run, pool, 0.0, now)
        if queue.advice is not None:
            advice = placer.advice.for_step(step_run.name)
            workers = [item for item in workers if advice.permits(item.worker_id)]
        _hold_places(placer, step_run, workers, n_allowed, at=at, now=now)
    _renew_reservations(placer, pools, now)


def _renew_reservations(
    placer: Placer, pools: dict[str, list[Worker]], now: float
) -> None:
    """Keep the places of gangs; replace those that can no longer be used."""
    for name, reservation in list(placer.reservations.items()):
        step_run = reservation.step_run
        progress = placer.jobs.get(step_run.job.job_id)
        wanted = (
            progress is not None
            and not progress.cancelled
            and progress.state is not JobState.FAILED
            and progress.n_startable(step_run) >= step_run.step.n_tasks
            and placer.team_usage.limit(placer, step_run, step_run.step.n_tasks)
        )
        pool = pools.get(reservation.pool, [])
        if not (wanted and _choose_places(placer, reservation, pool, now)):
            del placer.reservations[name]
    placer.reserved_room = reserved_rooms(placer)


def reserved_rooms(placer: Placer, without: Container[str] = ()) -> dict[str, HeldRoom]:
    """Return the room that is kept for gangs, by worker.

    Parameters
    ----------
    without : container of str, optional
        Gangs that are left out.
    """
    rooms: dict[str, HeldRoom] = {}
    for name, reservation in placer.reservations.items():
        if name in without:
            continue
        hold = Hold(reservation.step_run.step.need, reservation.at, name)
        for worker_id, n_tasks in reservation.places.items():
            if worker_id not in placer.workers:
                continue
            room = rooms.setdefault(worker_id, HeldRoom())
            for _ in range(n_tasks):
                room.add(hold)
    return rooms


def reserve_for_gang(
    placer: Placer,
    step_run: StepRun,
    pool: list[Worker],
    core_limit: HeadroomLimit | None,
    *,
    now: float,
) -> None:
    """Keep places for a blocked gang until it starts.

    They are kept from decision to decision, however urgent the steps are that come
    later: what becomes free would never add up otherwise.
    """
    name, progress = step_run.name, placer.jobs[step_run.job.job_id]
    queue = placer.queue_of(progress)
    if queue is None or name in placer.reservations:
        return
    if progress.n_startable(step_run) < step_run.step.n_tasks:
        return
    reservation = Reservation(step_run, queue.pool, queue.priority, {}, now)
    others = [
        item.cores
        for item in placer.reservations.values()
        if item.pool == queue.pool and item.priority <= queue.priority
    ]
    capacity = sum(worker.entry.capacity.cores for worker in pool)
    if others and sum(others) + reservation.cores > MAX_RESERVED_FRACTION * capacity:
        return
    if _choose_places(placer, reservation, pool, now):
        placer.reservations[name] = reservation
        placer.reserved_room = reserved_rooms(placer)
        if core_limit is not None:
            _deduct_reservation(placer, reservation, core_limit, now)


def _choose_places(
    placer: Placer, reservation: Reservation, pool: list[Worker], now: float
) -> bool:
    """Choose the places of a gang anew; return whether it will fit."""
    step_run = reservation.step_run
    workers = eligible_workers(placer, step_run, pool, 0.0, now)
    queue = placer.queue_of(placer.jobs[step_run.job.job_id])
    if queue is not None and queue.advice is not None:
        advice = placer.advice.for_step(step_run.name)
        workers = [item for item in workers if advice.permits(item.worker_id)]
    earlier = reservation if reservation.places else None
    held = kept_amounts(placer, step_run.name)
    chosen = reserve_places(step_run.step, workers, now, held=held, earlier=earlier)
    if chosen is None:
        return False
    if is_local(step_run.step) and queue is not None:
        local = _local_places(
            placer, reservation, queue, workers, spread_at=chosen[1], now=now
        )
        chosen = local or chosen
    reservation.places, reservation.at = chosen
    return True


def _local_places(
    placer: Placer,
    reservation: Reservation,
    queue: Queue,
    workers: list[Worker],
    *,
    spread_at: float,
    now: float,
) -> tuple[dict[str, int], float] | None:
    """Return local places for a gang if these are worth a longer wait, or None.

    Parameters
    ----------
    workers : list of Worker
        Workers that may run the gang.
    spread_at : float, seconds
        When places on any racks are expected to be free.
    """
    step_run, slowdown = reservation.step_run, placer.remote_slowdown
    if slowdown <= 1.0 or step_run.n_interrupted:
        return None
    progress = placer.jobs[step_run.job.job_id]
    since = max(now, spread_at)
    idle_since = 0.0
    if not progress.n_assigned:
        idle_since = progress.idle_since or step_run.wait.since or now
    bounds = WaitBounds(
        placer.begun_at,
        step_run.wait.since or now,
        step_run.wait.place_since or since,
        idle_since,
        math.inf,
        full=queue.pool in placer.full_pools,
    )
    limit_s = bounds.until() - since
    if limit_s <= 0:
        return None
    held = kept_amounts(placer, step_run.name)
    best = soonest_local(reservation, workers, now, held)
    if best is None or best[1] <= since:
        return best
    run_s = placer.run_times(progress, step_run.occurrence)[step_run.number]
    worthwhile = is_worthwhile(
        NO_OBJECTIVE, best[1] - since, limit_s, run_s, run_s * slowdown
    )
    return best if worthwhile else None


def deduct_reservations(
    placer: Placer, limits: dict[str, HeadroomLimit], now: float
) -> None:
    """Deduct the places of gangs from what other steps may use on fast workers."""
    for reservation in placer.reservations.values():
        limit = limits.get(reservation.pool)
        if limit is not None:
            _deduct_reservation(placer, reservation, limit, now)


def _deduct_reservation(
    placer: Placer, reservation: Reservation, limit: HeadroomLimit, now: float
) -> None:
    if reservation.at - now > RESERVED_AHEAD_S:
        return
    for worker_id, n_tasks in reservation.places.items():
        free = max(0.0, placer.workers[worker_id].free.cores)
        limit.use_cores(
            worker_id, min(free, n_tasks * reservation.step_run.step.need.cores)
        )


def kept_amounts(placer: Placer, without: str = "") -> dict[str, Amounts]:
    """Return all room that is kept for lasting tasks and gangs, by worker.

    Parameters
    ----------
    without : str, optional
        Gang that is left out.
    """
    kept = _held_amounts(placer)
    for name, reservation in placer.reservations.items():
        if name == without:
            continue
        need = reservation.step_run.step.need
        for worker_id, n_tasks in reservation.places.items():
            if worker_id not in placer.workers:
                continue
            cores, memory_mb, accelerators = kept.get(worker_id, (0.0, 0.0, 0.0))
            for _ in range(n_tasks):
                cores += need.cores
                memory_mb += need.memory_mb
                accelerators += need.accelerators
            kept[worker_id] = cores, memory_mb, accelerators
    return kept


def _held_amounts(placer: Placer) -> dict[str, Amounts]:
    """Return the room that is kept for lasting tasks, by worker."""
    return {
        worker_id: (room.total.cores, room.total.memory_mb, room.total.accelerators)
        for worker_id, room in placer.held.items()
    }


def _n_held_for(placer: Placer, step_run: StepRun, now: float) -> int:
    """Return the number of interrupted tasks for which room is still kept."""
    tasks = step_run.tasks
    n_tasks = sum(
        now - max(tasks[index].away_since, placer.begun_at) <= MAX_HOLD_S
        for index in tasks.interrupted()
    )
    return placer.team_usage.limit(placer, step_run, n_tasks)


def _n_holdable(
    placer: Placer, step_run: StepRun, pool: list[Worker], n_tasks: int
) -> int:
    """Return for how many tasks of a step room may still be kept in a pool."""
    cores = step_run.step.need.cores
    if cores <= 0:
        return n_tasks
    held = [
        placer.held[worker.worker_id].total.cores
        for worker in pool
        if worker.worker_id in placer.held
    ]
    capacity = sum(worker.entry.capacity.cores for worker in pool)
    left = max(0.0, MAX_HELD_FRACTION * capacity - sum(held))
    return min(n_tasks, max(int(left // cores), not held))


def _hold_places(
    placer: Placer,
    step_run: StepRun,
    workers: list[Worker],
    n_tasks: int,
    *,
    at: float,
    now: float,
) -> None:
    """Keep room for tasks of a step where it is free soonest.

    Parameters
    ----------
    at : float, seconds
        Time from which the tasks may start.
    """
    step = step_run.step
    places = soonest_places(
        step,
        workers,
        n_tasks,
        now,
        held=_held_amounts(placer),
        n_by_worker=n_by_worker(step_run),
    )
    for worker_id, free_at in places:
        hold = Hold(step.need, max(at, free_at))
        placer.held.setdefault(worker_id, HeldRoom()).add(hold)


def _room_held_from(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    run_s: float,
    now: float,
) -> dict[str, Resources]:
    """Return the room on workers that a step leaves to lasting tasks.

    Short urgent work may use all of it, other work what it gives back in time. Workers
    without room for a task are left out.
    """
    if not placer.held or _is_short_urgent(queue, run_s):
        return {}
    return _rooms_until(placer, placer.held, step_run, run_s, now=now)


def _room_reserved_from(
    placer: Placer, step_run: StepRun, run_s: float, now: float
) -> dict[str, Resources]:
    """Return the room on workers that a step leaves to gangs.

    Workers without room for a task are left out.
    """
    name = step_run.name
    owner = name if name in placer.reservations else ""
    rooms = placer.reserved_room
    return _rooms_until(placer, rooms, step_run, run_s, now=now, owner=owner)


def _rooms_until(
    placer: Placer,
    rooms: dict[str, HeldRoom],
    step_run: StepRun,
    run_s: float,
    *,
    now: float,
    owner: str = "",
) -> dict[str, Resources]:
    """Return what a run of a step that starts now leaves of kept room, by worker."""
    if step_run.step.long_running:
        run_s = math.inf
    need, workers = step_run.step.need, placer.workers
    kept = {}
    for worker_id, room in rooms.items():
        worker = workers[worker_id]
        if worker.free.cores + CAPACITY_EPSILON < need.cores or not worker.fits(need):
            continue
        ends_at = now + BACKFILL_FACTOR * run_s / worker.health.speed
        kept[worker_id] = room.until(ends_at, owner)
    return kept


def kept_rooms(
    placer: Placer,
    step_run: StepRun,
    queue: Queue,
    run_s: float,
    *,
    idle: bool,
    now: float,
) -> list[dict[str, Resources]]:
    """Return the room on workers that a step leaves to others, by attempt.

    Short urgent work, and a job that waits idle, may use the places of gangs where
    nothing else is left. Another gang that waits idle may use only those whose own gang
    has no tickets though all of them are free: they would starve one another.

    Parameters
    ----------
    idle : bool
        Whether the job waits idle while the pool is not busy.
    """
    held = {} if idle else _room_held_from(placer, step_run, queue, run_s, now)
    if not placer.reserved_room:
        return [held]
    reserved = _room_reserved_from(placer, step_run, run_s, now)
    kept = _sum_rooms(held, reserved)
    if not (idle or _is_short_urgent(queue, run_s)):
        return [kept]
    if not step_run.step.gang:
        return [kept, held]
    unused = _gangs_without_tickets(placer, step_run, now) if idle else set()
    if not unused:
        return [kept]
    rooms = reserved_rooms(placer, {*unused, step_run.name})
    return [
        kept,
        _sum_rooms(held, _rooms_until(placer, rooms, step_run, run_s, now=now)),
    ]


def _gangs_without_tickets(placer: Placer, step_run: StepRun, now: float) -> set[str]:
    """Return the other gangs that lack only tickets: all of their places are free."""
    return {
        name
        for name, item in placer.reservations.items()
        if name != step_run.name
        and all(
            n_tasks_in(item.step_run.step, placer.workers[worker_id].free) >= n_tasks
            for worker_id, n_tasks in item.places.items()
        )
        and not _has_tickets(placer, item, now)
    }


def _has_tickets(placer: Placer, reservation: Reservation, now: float) -> bool:
    """Return whether a gang needs no tickets for its places, or has all of them."""
    step_run = reservation.step_run
    queue = placer.queue_of(placer.jobs[step_run.job.job_id])
    if queue is None or queue.advice is None:
        return True
    advice = placer.advice.for_step(step_run.name)
    sent_at = placer.sent_at(now, queue.advice, now)
    return all(
        advice.ticket(name, placer.workers[name].entry.incarnation, sent_at)
        for name in reservation.places
    )


def _sum_rooms(
    first: dict[str, Resources], second: dict[str, Resources]
) -> dict[str, Resources]:
    if not (first and second):
        return first or second
    total = dict(first)
    for worker_id, room in second.items():
        total[worker_id] = total[worker_id] + room if worker_id in total else room
    return total


def _is_short_urgent(queue: Queue, run_s: float) -> bool:
    return queue.priority == 0 and run_s <= SHORT_RUN_S


def with_unheld_room(
    step_run: StepRun, workers: list[Worker], held: dict[str, Resources]
) -> list[Worker]:
    """Leave out the workers whose room for a step is kept for other tasks.

    Otherwise the step would count on them and not ask for advice on others.

    Parameters
    ----------
    held : dict of str to Resources
        Kept room on workers that have room for a task.
    """
    need = step_run.step.need
    return [
        worker
        for worker in workers
        if (room := held.get(worker.worker_id)) is None
        or room is NO_RESOURCES
        or worker.fits(need, worker.free - room)
    ]
