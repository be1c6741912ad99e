"""How long a step waits for a local placement.

Tasks with input data on a rack take longer on the other racks, and so do gangs that are
spread over racks although they should not be. Such a step may leave room elsewhere
unused while a local place is expected soon enough to end sooner, or to use less of the
pool. The wait is bounded whatever is expected, since run times are rough estimates.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, NamedTuple

from .packing import is_near, reserve_places, soonest_places

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from .fleet import Worker
    from .lateness import Outlook
    from .model import Step
    from .packing import Amounts, Reservation

# Longest wait of a step of which no task runs. Callers count a job as lost if it has
# had nothing running for 3 s; the start and its call for advice take the rest.
MAX_WAIT_S = 2.0
# Longest wait of the other tasks of a step, from the newest placement on.
MAX_PARTIAL_WAIT_S = 10.0
# While this share of a pool is in use, a job does not count as lost, so the wait counts
# from when room was first left unused; below, from when the job became idle. The share
# leaves a margin above the half at which jobs count.
FULL_FRACTION = 0.75
# Probability that a place is free when it is expected to be. Others may take it, and
# the runs on it may take longer.
PLACE_CHANCE = 0.8
# Worth of a unit of the logarithm of the slowdown that a wait avoids: a slowed-down run
# holds its capacity for longer. The same as the price of a worker's speed.
LOCAL_PRICE = 0.15
# Worth of the room that a gang keeps while it waits in a busy pool, if it kept all of
# its places for the length of its run.
HELD_PRICE = 0.15
# A run that is overdue is expected to end after this time.
OVERDUE_S = 0.5


@dataclass(frozen=True, slots=True)
class WaitBounds:
    """What bounds the wait of a step; all times are in seconds on the placer's clock.

    Parameters
    ----------
    begun_at : float, seconds
        When the term began.
    waits_since : float, seconds
        Since when the step has waited, in this term and since its newest placement.
    held_since : float, seconds
        Since when, in this term and since the newest placement, room elsewhere was left
        unused for the step.
    idle_since : float, seconds
        Since when the job has had no run, across terms; 0 while it has one.
    stale_at : float, seconds
        From when the result is of no use; counted from the acceptance, so that the
        waits of all terms together end.
    partial : bool
        Whether other tasks of the step run.
    full : bool
        Whether `FULL_FRACTION` of the pool is in use.
    """

    begun_at: float
    waits_since: float
    held_since: float
    idle_since: float
    stale_at: float
    partial: bool = False
    full: bool = False

    def until(self) -> float:
        """Return until when the step may wait for a local placement."""
        longest_s = MAX_PARTIAL_WAIT_S if self.partial else MAX_WAIT_S
        until = min(self.stale_at, self.held_since + longest_s)
        if not (self.partial or self.full):
            until = min(until, self.waits_since + MAX_WAIT_S)
        if not self.idle_since:
            return until
        # What an earlier term has waited is not known, but it began with the idle time.
        inherited = self.idle_since < self.begun_at
        if inherited or not self.full:
            until = min(until, self.idle_since + MAX_WAIT_S)
        return until


class PlaceWait(NamedTuple):
    """Decision to wait for local places.

    Parameters
    ----------
    n_far : int
        Most tasks that may be placed elsewhere now; 0 for a gang that waits.
    until : float, seconds
        When the wait ends at the latest.
    local : frozenset of str
        Workers with the places that the step waits for.
    """

    n_far: int
    until: float
    local: frozenset[str] = frozenset()


def is_local(step: Step) -> bool:
    """Return whether a step may wait for a local placement; lasting ones never do."""
    if step.long_running:
        return False
    return bool(step.near_rack or (step.gang and step.same_rack))


def local_groups(step: Step, workers: Iterable[Worker]) -> list[list[Worker]]:
    """Return the groups of workers in each of which all tasks of a step are local."""
    if step.near_rack:
        workers = [item for item in workers if step.near_rack in item.entry.labels]
    if not (step.gang and step.same_rack):
        return [list(workers)]
    by_rack: dict[str, list[Worker]] = {}
    for worker in workers:
        by_rack.setdefault(worker.rack, []).append(worker)
    return [by_rack[rack] for rack in sorted(by_rack)]


def gang_slowdown(
    step: Step, workers: Iterable[Worker], remote_slowdown: float
) -> float:
    """Return the run time of a gang on some workers relative to a local placement."""
    if not is_local(step):
        return 1.0
    placed = list(workers)
    n_racks = len({worker.rack for worker in placed})
    local = all(is_near(step, worker) for worker in placed)
    return 1.0 if local and (n_racks == 1 or not step.same_rack) else remote_slowdown


def is_worthwhile(
    outlook: Outlook,
    wait_s: float,
    limit_s: float,
    local_s: float,
    far_s: float,
    *,
    held_share: float = 0.0,
) -> bool:
    """Return whether a wait for a local place is better than a start elsewhere now.

    If the place does not come, the task starts elsewhere at the end of the longest
    wait.

    Parameters
    ----------
    wait_s, limit_s : float, seconds
        Expected wait and longest one.
    local_s, far_s : float, seconds
        Expected run times on the local place and elsewhere.
    held_share : float
        Share of the step's room that is kept from others during the wait.
    """
    slower_s = far_s - local_s
    if wait_s >= slower_s or wait_s > limit_s:
        return False
    saved = PLACE_CHANCE * LOCAL_PRICE * math.log(far_s / local_s)
    cost = HELD_PRICE * held_share * wait_s / local_s
    waiting = PLACE_CHANCE * _worth_after(outlook, wait_s)
    waiting += (1.0 - PLACE_CHANCE) * _worth_after(outlook, limit_s + slower_s)
    return waiting + saved - cost > _worth_after(outlook, slower_s)


def _worth_after(outlook: Outlook, delay_s: float) -> float:
    """Return the expected worth of a job that takes longer by some time."""
    return replace(outlook, elapsed_s=outlook.elapsed_s + delay_s).worth(1.0)


def plan_tasks(
    step: Step,
    near: Sequence[Worker],
    n_wanted: int,
    *,
    ask_s: Mapping[str, float],
    run_s: float,
    far_s: float,
    outlook: Outlook,
    until: float,
    now: float,
    held: Mapping[str, Amounts],
    n_by_worker: Mapping[str, int],
) -> PlaceWait | None:
    """Return how many tasks of a step that is not a gang wait; None if none does.

    Each task for which a local place is worth the wait leaves the room elsewhere to
    others; the rest is placed wherever there is room.

    Parameters
    ----------
    near : sequence of Worker
        Local workers that may run the step, with or without room.
    ask_s : mapping of str to float, seconds
        Time until a ticket is at hand, by worker; those that are not listed need none.
    run_s, far_s : float, seconds
        Run time on a worker with a speed of 1, and on the best place elsewhere.
    until : float, seconds
        When the wait ends at the latest.
    held : mapping of str to Amounts
        Room that is kept for others, by worker.
    n_by_worker : mapping of str to int
        Number of the step's tasks on each worker, if the step limits it.
    """
    if now >= until:
        return None
    places = soonest_places(
        step, near, n_wanted, now, held=held, n_by_worker=n_by_worker
    )
    by_name = {worker.worker_id: worker for worker in near}
    n_local = 0
    for name, at in places:
        worker = by_name[name]
        wait_s = _wait_s(step, worker, at, now, held)
        wait_s = max(wait_s, ask_s.get(name, 0.0))
        local_s = run_s / worker.health.speed
        if wait_s:
            limit_s = until - now
            n_local += is_worthwhile(outlook, wait_s, limit_s, local_s, far_s)
        else:
            n_local += local_s < far_s
    if not n_local:
        return None
    return PlaceWait(n_wanted - n_local, until, frozenset(by_name))


def plan_gang(
    step: Step,
    groups: Iterable[Sequence[Worker]],
    *,
    ask_s: Mapping[str, float],
    run_s: float,
    slowdown: float,
    outlook: Outlook,
    until: float,
    now: float,
    held: Mapping[str, Amounts],
    busy: bool,
) -> PlaceWait | None:
    """Return the decision to wait of a gang that could start spread; None if not to.

    Parameters
    ----------
    groups : iterable of sequence of Worker
        Workers that may run the gang, by `local_groups`.
    slowdown : float
        Run time if the gang is spread, relative to a local one.
    busy : bool
        Whether others would use the room that the gang keeps while it waits.
    """
    if now >= until:
        return None
    best: tuple[float, PlaceWait] | None = None
    for group in groups:
        places = soonest_places(step, group, step.n_tasks, now, held=held)
        if len(places) < step.n_tasks:
            continue
        by_name = {worker.worker_id: worker for worker in group}
        waits = [
            max(_wait_s(step, by_name[name], at, now, held), ask_s.get(name, 0.0))
            for name, at in places
        ]
        local_s = run_s / min(by_name[name].health.speed for name, _ in places)
        n_free = sum(at <= now for _, at in places)
        worthwhile = is_worthwhile(
            outlook,
            max(waits),
            until - now,
            local_s,
            local_s * slowdown,
            held_share=n_free / step.n_tasks if busy else 0.0,
        )
        if worthwhile and (best is None or max(waits) < best[0]):
            best = max(waits), PlaceWait(0, until, frozenset(by_name))
    return best[1] if best is not None else None


def soonest_local(
    reservation: Reservation,
    workers: Iterable[Worker],
    now: float,
    held: Mapping[str, Amounts],
) -> tuple[dict[str, int], float] | None:
    """Return the local places for a gang that are free soonest; None if there are none.

    The group of those that are kept already is not left while its places are expected
    as before, so that what becomes free adds up.

    Parameters
    ----------
    workers : iterable of Worker
        Workers that may run the gang.
    held : mapping of str to Amounts
        Room that is kept for others, by worker.

    Returns
    -------
    places : (dict of str to int, float) or None
        Number of tasks by worker, and when all places are expected to be free.
    """
    step, before = reservation.step_run.step, reservation.places.keys()
    needed = step.n_tasks * step.need.cores
    groups = [
        group
        for group in local_groups(step, workers)
        if sum(worker.entry.capacity.cores for worker in group) >= needed
    ]
    best: tuple[dict[str, int], float] | None = None
    kept = -1
    for number, group in enumerate(groups):
        if before and before <= {worker.worker_id for worker in group}:
            kept = number
            best = reserve_places(step, group, now, held=held, earlier=reservation)
            if best is not None and best[1] <= reservation.at:
                return best
    for number, group in enumerate(groups):
        if best is not None and best[1] <= now:
            break
        found = None
        if number != kept:
            found = reserve_places(step, group, now, held=held)
        if found is not None and (best is None or found[1] < best[1]):
            best = found
    return best


def _wait_s(
    step: Step, worker: Worker, at: float, now: float, held: Mapping[str, Amounts]
) -> float:
    """Return the expected wait for a place; an overdue run has not ended yet."""
    if at > now:
        return at - now
    cores, memory_mb, accelerators = held.get(worker.worker_id, (0.0, 0.0, 0.0))
    free = worker.free
    need = step.need
    fits = (
        need.cores <= free.cores - cores
        and need.memory_mb <= free.memory_mb - memory_mb
        and need.accelerators <= free.accelerators - accelerators
    )
    return 0.0 if fits else OVERDUE_S
