"""Finds why no task of a ready step was placed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .packing import n_tasks_in
from .waits import WaitCause, WaitCounts, WaitReason

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ..model import Resources
    from .advice import StepAdvice
    from .fleet import Worker
    from .headroom import HeadroomLimit
    from .model import Step


@dataclass(eq=False, slots=True)
class _Tally:
    """Counts, with some that only the order of the reasons needs.

    Parameters
    ----------
    n_labelled : int
        Workers of the pool that have the label of the step.
    n_unlimited, n_any : int
        Tasks that fit on these, without and with the most tasks per worker.
    n_permitted : int
        Tasks that fit on permitted workers, in room that is neither reserved nor kept.
    n_fast, n_slow : int
        Tasks that fit on workers with tickets to which the headroom limit applies, and
        on the others.
    """

    counts: WaitCounts = field(default_factory=WaitCounts)
    n_labelled: int = 0
    n_unlimited: int = 0
    n_any: int = 0
    n_permitted: int = 0
    n_fast: int = 0
    n_slow: int = 0


def explain_wait(
    step: Step,
    pool: Iterable[Worker],
    unreserved: Collection[str],
    n_by_worker: Mapping[str, int],
    *,
    n_wanted: int,
    advice: StepAdvice | None,
    held: Mapping[str, Resources],
    core_limit: HeadroomLimit | None,
    now: float,
    for_place: bool = False,
) -> WaitCause:
    """Return why no task of a step was placed.

    Parameters
    ----------
    pool : iterable of Worker
        Workers of the pool that accept starts.
    unreserved : collection of str
        Those that are not reserved for other steps.
    n_by_worker : mapping of str to int
        Number of the step's tasks on each worker, if the step limits it.
    n_wanted : int
        Tasks that may start.
    advice : StepAdvice or None
        Advice for the step; None if its queue needs none.
    held : mapping of str to Resources
        Room on workers that the step leaves to lasting tasks.
    core_limit : HeadroomLimit or None
        Cores that the step may use on fast workers.
    for_place : bool, default=False
        Whether the step leaves room unused for a local placement.
    """
    tally = _Tally()
    counts = tally.counts
    capacity = free_cores = 0.0
    for worker in pool:
        counts.pool += 1
        capacity += worker.entry.capacity.cores
        free_cores += max(0.0, worker.free.cores)
        if step.required_label and step.required_label not in worker.entry.labels:
            continue
        tally.n_labelled += 1
        n_fitting = n_tasks_in(step, worker.free)
        tally.n_unlimited += n_fitting
        if step.max_per_worker:
            left = step.max_per_worker - n_by_worker.get(worker.worker_id, 0)
            if left <= 0:
                continue
            n_fitting = min(n_fitting, left)
        tally.n_any += n_fitting
        is_reserved = worker.worker_id not in unreserved
        counts.eligible += 1
        counts.reserved += is_reserved
        n_fitting = _count_permitted(tally, worker, n_fitting, advice)
        if not n_fitting or is_reserved:
            continue
        counts.unreserved += n_fitting
        room = held.get(worker.worker_id)
        if room is not None:
            n_fitting = min(n_fitting, n_tasks_in(step, worker.free - room))
        _count_startable(tally, worker, n_fitting, advice, core_limit, now=now)
    if core_limit is not None and step.need.cores > 0:
        n_allowed = max(0.0, core_limit.cores) // step.need.cores
        tally.n_fast = int(min(tally.n_fast, n_allowed))
    counts.used_share = round(1 - free_cores / capacity, 3) if capacity else 0.0
    reason = WaitReason.NEAR_PLACE
    if not for_place:
        reason = _find_reason(step, tally, advice, n_wanted)
    return WaitCause(reason, n_wanted, counts)


def _count_permitted(
    tally: _Tally, worker: Worker, n_fitting: int, advice: StepAdvice | None
) -> int:
    """Count an eligible worker; return how many tasks it may get."""
    counts, name = tally.counts, worker.worker_id
    if advice is not None:
        counts.asked += name in advice.asked
        if name in advice.asked and not advice.permits(name):
            return 0
    counts.permitted += advice is None or advice.permits(name)
    counts.room += n_fitting > 0
    counts.fitting += n_fitting
    return n_fitting


def _count_startable(
    tally: _Tally,
    worker: Worker,
    n_fitting: int,
    advice: StepAdvice | None,
    core_limit: HeadroomLimit | None,
    *,
    now: float,
) -> None:
    """Count the tasks that fit in room that is neither reserved nor kept."""
    counts, name = tally.counts, worker.worker_id
    counts.unheld += n_fitting
    if advice is not None:
        tally.n_permitted += n_fitting * advice.permits(name)
        if not advice.ticket(name, worker.entry.incarnation, now):
            return
    counts.ticket += 1
    counts.startable += n_fitting
    if core_limit is not None and name in core_limit.fast:
        tally.n_fast += n_fitting
    else:
        tally.n_slow += n_fitting


def _find_reason(
    step: Step, tally: _Tally, advice: StepAdvice | None, n_wanted: int
) -> WaitReason:
    """Return the first condition of a placement that is not met."""
    counts = tally.counts
    n_needed = step.n_tasks if step.gang else 1
    all_asked = advice is not None and counts.asked == counts.eligible
    limited = WaitReason.GANG_ENDING if step.gang else WaitReason.RECORD_LIMIT
    unmet = (
        (n_wanted < n_needed, limited),
        (not counts.pool, WaitReason.NO_WORKERS),
        (not tally.n_labelled, WaitReason.LABEL),
        (not counts.eligible, WaitReason.MAX_PER_WORKER),
        (tally.n_unlimited >= n_needed > tally.n_any, WaitReason.MAX_PER_WORKER),
        (all_asked and not counts.permitted, WaitReason.NOT_PERMITTED),
        (tally.n_any >= n_needed > counts.fitting, WaitReason.NOT_PERMITTED),
        (counts.fitting < n_needed, WaitReason.NO_ROOM),
        (counts.unreserved < n_needed, WaitReason.RESERVED),
        (counts.unheld < n_needed, WaitReason.HELD),
        (counts.startable < n_needed, _advice_reason(tally, advice, n_needed)),
        (tally.n_fast + tally.n_slow < n_needed, WaitReason.HEADROOM),
    )
    return next((reason for is_unmet, reason in unmet if is_unmet), WaitReason.OTHER)


def _advice_reason(
    tally: _Tally, advice: StepAdvice | None, n_needed: int
) -> WaitReason:
    """Return why workers with room have no valid tickets."""
    if tally.n_permitted >= n_needed:
        return WaitReason.TICKETS_LAPSED
    if advice is not None and advice.calling:
        return WaitReason.ADVICE_CALLING
    if advice is not None and advice.has_failed:
        return WaitReason.ADVICE_FAILED
    return WaitReason.ADVICE_NOT_ASKED
