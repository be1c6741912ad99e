"""Ends of leases on workers that a placer does not reach, handed on from term to term.

A placer stops extending the leases on a worker that does not answer, so it knows when
they have lapsed. It keeps that time in the journal, for a new term would otherwise
have to assume that its predecessor went on extending them, and each change of the
placer would begin the wait for them anew.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .records import LeaseBound, LeaseRecord

if TYPE_CHECKING:
    from .placer import Placer

# A worker that does not answer is listed after this time; most of those whose
# connections were only reset answer sooner.
LIST_AFTER_S = 0.3


def lapse_at(placer: Placer, life: tuple[str, int]) -> float:
    """Return when the leases on a worker that this term has not reached have lapsed.

    Parameters
    ----------
    life : (str, int)
        Identity and incarnation of the worker.

    Returns
    -------
    lapse_at : float, seconds
        As the previous term knew it, or else by the longest lease that it can have
        granted.
    """
    return min(placer.inherited.get(life, math.inf), placer.unknown_lapse_at())


def withhold_leases(placer: Placer, now: float) -> dict[tuple[str, int], float]:
    """Return the workers with runs that are not reached, and when their leases lapse.

    From now on their leases are not extended, until `release_leases` is called after a
    record without them was stored.
    """
    bounds = {
        (task.worker, task.incarnation): lapse_at(
            placer, (task.worker, task.incarnation)
        )
        for task in placer.not_adopted.values()
    }
    for worker in placer.workers.values():
        if worker.reachable or not worker.slots:
            continue
        silent_s = now - max(worker.silent_at, placer.begun_at)
        known = worker.withheld or worker.life in placer.inherited
        if known or silent_s >= LIST_AFTER_S:
            worker.withheld = True
            bounds[worker.life] = worker.lapse_at
    return bounds


def release_leases(placer: Placer, listed: set[tuple[str, int]]) -> None:
    """Allow that leases are extended on all workers that the stored record leaves out.

    Parameters
    ----------
    listed : set of (str, int)
        The workers in that record, with their incarnations.
    """
    for worker in placer.workers.values():
        if worker.withheld and worker.life not in listed:
            worker.withheld = False


def make_lease_record(
    term: int, bounds: dict[tuple[str, int], float], now: float
) -> LeaseRecord:
    """Return the record of some ends of leases, to be encoded and written at once."""
    return LeaseRecord(
        term,
        tuple(
            LeaseBound(worker_id, incarnation, max(0.0, at - now))
            for (worker_id, incarnation), at in sorted(bounds.items())
        ),
    )
