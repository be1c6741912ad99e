"""Gang scheduling: retries, one reservation at a time, and backfill."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, RequestKind, Resources
from .dispatch import place_gang, start_on
from .freecapacity import n_fitting
from .quotas import scale
from .state import Phase

if TYPE_CHECKING:
    from .shardstate import ShardState
    from .state import RequestState, TaskState, WorkerState

RETRY_S = 0.25  # between attempts to place gangs that did not fit
MAX_RETRIES = 4  # gangs per attempt
# Gives the gang time to fit without a reservation, which leaves capacity idle.
RESERVE_AFTER_S = 0.5
RESERVATION_PERIOD_S = 2.0  # then it is replaced, since estimates are inexact
MIN_RESERVATION_WORKERS = 64  # workers examined for a reservation, at least
HOLD_S = 1.0  # with equal weights of control cost and packing
N_BACKFILL = 16  # reserved workers examined for one backfilled task


ENDING = frozenset({Phase.STARTING, Phase.RUNNING, Phase.STOPPING})


@dataclass(eq=False, slots=True)
class GangReservation:
    """Capacity that is reserved for a waiting gang.

    Only one gang at a time has a reservation, and it starts in one decision, so
    two gangs can never deadlock by each holding capacity that the other needs.

    Parameters
    ----------
    first_at : float, seconds
        Monotonic time of the first reservation for this gang.
    checkpointed : bool
        Whether the batch tasks on the reserved capacity have been checkpointed.
    n_tasks_on : dict of str to int
        Number of its tasks by worker.
    still_in_use : set of str
        Workers whose reserved capacity is still in use.
    start_at : float, seconds
        Monotonic time at which all reserved capacity is expected to be free.
    made_at : float, seconds
        Monotonic time at which the reservation was made.
    """

    state: RequestState
    first_at: float = 0.0
    checkpointed: bool = False
    n_tasks_on: dict[str, int] = field(default_factory=dict)
    still_in_use: set[str] = field(default_factory=set)
    start_at: float = 0.0
    made_at: float = 0.0


def place_gangs(shard: ShardState, now: float) -> None:
    """Start the gang with the reservation if possible; retry the other gangs."""
    reservation = shard.reservation
    freed_workers, shard.freed_workers = shard.freed_workers, []
    if reservation is not None:
        for worker_id in reservation.still_in_use.intersection(freed_workers):
            _recheck_worker(shard, reservation, worker_id)
        if reservation.state not in shard.queue:
            drop_reservation(shard)
        elif not reservation.still_in_use and _start_reserved(shard, reservation, now):
            return
        elif (
            now - reservation.first_at >= hold_s(shard) and not reservation.checkpointed
        ):
            _checkpoint_blocking(shard, reservation, now)
    if now < shard.gangs_due_at:
        return
    shard.gangs_due_at = now + RETRY_S
    gangs = [
        state
        for state in shard.queue.blocked_gangs()
        if shard.teams.within_limit(state.request.team, total_need(state))
    ]
    if not gangs:
        return
    _retry(shard, gangs, now)
    _reserve_for_oldest(shard, now)


def total_need(state: RequestState) -> Resources:
    """Return the total need of the waiting tasks of a gang."""
    return scale(state.request.need, len(state.ready))


def drop_reservation(shard: ShardState) -> None:
    """Release the reservation, if any."""
    reservation, shard.reservation = shard.reservation, None
    if reservation is None:
        return
    for worker_id in reservation.n_tasks_on:
        shard.free_capacity.gang_reserves.pop(worker_id, None)
        worker = shard.workers.get(worker_id)
        if worker is not None:
            shard.free_capacity.update_worker(worker)
            shard.wake(worker)


def backfill(shard: ShardState, task: TaskState, now: float) -> WorkerState | None:
    """Return a reserved worker on which a batch task ends before the gang starts."""
    reservation = shard.reservation
    if reservation is None or task.owner.kind is not RequestKind.BATCH:
        return None
    for worker_id in list(reservation.n_tasks_on)[:N_BACKFILL]:
        worker = shard.workers.get(worker_id)
        if worker is None or not worker.usable or task.task_id in worker.needs:
            continue
        if now + shard.run_time_s(task, worker) > reservation.start_at:
            continue
        if task.need.fits(_reservable(shard, worker)):
            reservation.still_in_use.add(worker_id)
            task.placed_because = "ends before the room is needed by a gang"
            return worker
    return None


def _retry(shard: ShardState, gangs: list[RequestState], now: float) -> None:
    reserved_state = shard.reservation.state if shard.reservation is not None else None
    first = shard.next_gang % len(gangs)
    shard.next_gang += MAX_RETRIES
    for state in (gangs[first:] + gangs[:first])[:MAX_RETRIES]:
        if state is not reserved_state and state in shard.queue:
            place_gang(shard, state, now)


def _reserve_for_oldest(shard: ShardState, now: float) -> None:
    old = shard.reservation
    if old is not None and now - old.made_at < RESERVATION_PERIOD_S:
        return
    drop_reservation(shard)
    for state in shard.queue.blocked_gangs():
        if now - state.waiting_since < RESERVE_AFTER_S:
            continue
        if not shard.teams.within_limit(state.request.team, total_need(state)):
            continue
        reservation = make_reservation(shard, state, now)
        if reservation is not None:
            if old is not None and old.state is state:
                reservation.first_at = old.first_at
            _set_reservation(shard, reservation)
            return


def _set_reservation(shard: ShardState, reservation: GangReservation) -> None:
    shard.reservation = reservation
    need = reservation.state.request.need
    for worker_id, n_tasks in reservation.n_tasks_on.items():
        worker = shard.workers[worker_id]
        shard.free_capacity.gang_reserves[worker_id] = scale(need, n_tasks)
        if not _has_capacity(shard, reservation, worker):
            reservation.still_in_use.add(worker_id)
        shard.free_capacity.update_worker(worker)


def make_reservation(
    shard: ShardState, state: RequestState, now: float
) -> GangReservation | None:
    """Choose the workers on which a gang is expected to fit soonest.

    Returns
    -------
    GangReservation or None
        None if the known workers cannot hold all of its tasks at once.
    """
    need, n_left = state.request.need, len(state.ready)
    expected: list[tuple[float, str, int]] = []
    n_seen = n_expected = 0
    for worker in shard.workers.values():
        if not worker.usable:
            continue
        mine = _expected_capacity(shard, worker, need, now)
        expected += mine
        n_seen += 1
        n_expected += mine[-1][2] if mine else 0
        if n_seen >= MIN_RESERVATION_WORKERS and n_expected >= 2 * n_left:
            break
    expected.sort()
    reservation = GangReservation(state, first_at=now, made_at=now, start_at=now)
    for at, worker_id, n_tasks in expected:
        had = reservation.n_tasks_on.get(worker_id, 0)
        more = min(n_tasks - had, n_left)
        if more > 0:
            reservation.n_tasks_on[worker_id] = had + more
            reservation.start_at = max(reservation.start_at, at)
            n_left -= more
        if n_left == 0:
            return reservation
    return None


def hold_s(shard: ShardState) -> float:
    """Return how long capacity is held before batch is checkpointed, in seconds.

    Held capacity is unavailable to other work, so the packing weight shortens the
    time; each checkpoint costs calls, so the control cost weight lengthens it.
    """
    weights = shard.weights
    return HOLD_S * weights.control_cost / max(weights.packing, 1e-3)


def _checkpoint_blocking(
    shard: ShardState, reservation: GangReservation, now: float
) -> None:
    """Checkpoint the batch tasks that occupy the reserved capacity."""
    reservation.checkpointed = True
    reservation.made_at = reservation.start_at = now  # no more backfill
    for worker_id in sorted(reservation.still_in_use):
        worker = shard.workers.get(worker_id)
        if worker is None or not worker.usable:
            continue
        free = _reservable(shard, worker)
        tasks = [
            task
            for task in shard.tasks_on.get(worker_id, {}).values()
            if task.phase is Phase.RUNNING and task.owner.kind is RequestKind.BATCH
        ]
        for task in sorted(tasks, key=lambda t: (t.n_preempted, -t.phase_at)):
            if (
                n_fitting(reservation.state.request.need, free)
                >= reservation.n_tasks_on[worker_id]
            ):
                break
            free = free + task.need
            task.n_preempted += 1
            shard.n_preempted += 1
            shard.stop(task, now, "checkpoint")


def _expected_capacity(
    shard: ShardState, worker: WorkerState, need: Resources, now: float
) -> list[tuple[float, str, int]]:
    """Return (time, worker, number of tasks that then fit) for a worker."""
    free = _reservable(shard, worker)
    tasks = shard.tasks_on.get(worker.worker_id, {}).values()
    ends = sorted(
        (_expected_end(task, shard.run_time_s(task, worker), now), task.task_id)
        for task in tasks
        if task.phase in ENDING and task.owner.kind is not RequestKind.SERVICE
    )
    count = n_fitting(need, free)
    found = [(now, worker.worker_id, count)] if count else []
    for end_at, task_id in ends:
        free = free + worker.needs.get(task_id, NO_RESOURCES)
        if n_fitting(need, free) > count:
            count = n_fitting(need, free)
            found.append((end_at, worker.worker_id, count))
    return found


def _expected_end(task: TaskState, run_time_s: float, now: float) -> float:
    """Return the time at which a task is expected to end.

    A task that runs longer than estimated is not expected to end at once, since its
    worker would then be reserved as if it were free.
    """
    end_at = task.phase_at + run_time_s
    return end_at if end_at > now else now + RESERVATION_PERIOD_S


def _reservable(shard: ShardState, worker: WorkerState) -> Resources:
    free = shard.free_capacity.free_of(worker)
    check_reserve = shard.free_capacity.check_reserves.get(worker.worker_id)
    return free if check_reserve is None else free - check_reserve


def _has_capacity(
    shard: ShardState, reservation: GangReservation, worker: WorkerState
) -> bool:
    n_tasks = reservation.n_tasks_on[worker.worker_id]
    need = reservation.state.request.need
    return worker.usable and n_fitting(need, _reservable(shard, worker)) >= n_tasks


def _recheck_worker(
    shard: ShardState, reservation: GangReservation, worker_id: str
) -> None:
    worker = shard.workers.get(worker_id)
    if worker is not None and _has_capacity(shard, reservation, worker):
        reservation.still_in_use.discard(worker_id)


def _start_reserved(
    shard: ShardState, reservation: GangReservation, now: float
) -> bool:
    """Start the gang if all of its reserved capacity is free."""
    for worker_id in reservation.n_tasks_on:
        worker = shard.workers.get(worker_id)
        if worker is None:
            drop_reservation(shard)
            return False
        if not _has_capacity(shard, reservation, worker):
            reservation.still_in_use.add(worker_id)
    if reservation.still_in_use or len(reservation.state.ready) != sum(
        reservation.n_tasks_on.values()
    ):
        return False
    need = total_need(reservation.state)
    if not shard.teams.within_limit(reservation.state.request.team, need):
        return False
    tasks = list(reservation.state.ready)
    for worker_id, n_tasks in reservation.n_tasks_on.items():
        for _ in range(n_tasks):
            task = tasks.pop()
            if task.phase is Phase.QUEUED:
                shard.remove_ready(reservation.state, task)
                task.placed_because = "the room was kept for the gang"
                start_on(shard, task, shard.workers[worker_id], now)
    drop_reservation(shard)
    return True
