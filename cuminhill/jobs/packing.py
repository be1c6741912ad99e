"""Chooses workers for the tasks of one step."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from .fleet import ROOM_EPSILON
from .headroom import KeptRoom
from .ordering import MAX_WANTED_SPEED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model import Resources
    from .fleet import Worker
    from .model import Step

# Weights in the choice of a worker, relative to each other: a lack of speed and speed
# that the task does not need but an urgent one might (both by the logarithm), and how
# tightly the task fills the worker. A lack of speed by a fifth outweighs any fit.
SPEED_WEIGHT, SPARE_WEIGHT = 2.0, 0.15
FIT_WEIGHT = 0.3
# Speed of a task away from the rack of its data, relative to one beside it.
FAR_SPEED = 0.5
# Power of a worker's suitability against the number of tasks that it holds, when the
# workers of a call are chosen: a fast one counts as much as two slow ones.
SUITABILITY_POWER = 2
MIN_SUITABILITY = 0.05
# Workers that one call for advice may name, from the service's interface.
MAX_ADVISED_WORKERS = 100
# Least number of workers in a call about workers that are not known: each costs little
# beside the fixed part of a call.
MIN_ASKED_WORKERS = 24
MIN_RENEWED_WORKERS = 4
# Room that a call should cover, in multiples of what the step needs: of the permitted
# workers, whose room others may take meanwhile, and of unknown ones, of which a third
# or more are permitted.
KNOWN_ROOM_X, UNKNOWN_ROOM_X = 1.5, 4.0
# Runs that end within this time may use room that is kept for a blocked gang.
SHORT_RUN_S = 1.5


@dataclass(eq=False)
class Offer:
    """Workers that may take tasks of a step, and the room left on each.

    Parameters
    ----------
    room : dict
        Free room by worker while tasks are being placed.
    n_taken : dict
        Tasks of the step on each worker, where the step bounds them.
    speed : float
        Speed at which the step ends in time.
    kept : KeptRoom
        Room that is kept for urgent work.
    """

    step: Step
    workers: list[Worker]
    room: dict[str, Resources]
    n_taken: dict[str, int] = field(default_factory=dict)
    speed: float = MAX_WANTED_SPEED
    kept: KeptRoom = field(default_factory=KeptRoom)

    def take(self, avoid: Iterable[str] = ()) -> Worker | None:
        """Return the best worker for one more task, with its room taken."""
        best, best_score = None, 0.0
        for worker in self.workers:
            if not self._has_room(worker):
                continue
            score = self._score(worker) - (1.0 if worker.worker_id in avoid else 0.0)
            if best is None or score > best_score:
                best, best_score = worker, score
        if best is not None:
            name = best.worker_id
            self.room[name] = self.room[name] - self.step.need
            self.n_taken[name] = self.n_taken.get(name, 0) + 1
            self.kept.take(name, self.step.need.cores)
        return best

    def _has_room(self, worker: Worker) -> bool:
        bound = self.step.max_per_worker
        if bound and self.n_taken.get(worker.worker_id, 0) >= bound:
            return False
        if not self.kept.allows(worker.worker_id, self.step.need.cores):
            return False
        return worker.fits(self.step.need, self.room[worker.worker_id])

    def _score(self, worker: Worker) -> float:
        """Prefer workers that are fast enough, then those that the task fills more."""
        speed = worker.health.speed
        if self.step.near_rack and self.step.near_rack not in worker.entry.labels:
            speed *= FAR_SPEED
        room, capacity = self.room[worker.worker_id], worker.entry.capacity
        used = 1.0 - room.cores / capacity.cores if capacity.cores else 0.0
        return suitability(speed, self.speed) + FIT_WEIGHT * used


def suitability(speed: float, wanted: float) -> float:
    """Return how well a worker's speed suits a step that wants some speed.

    Pattern: urgent and patient work on unlike workers. Work that can wait leaves the
    fast workers to work that is only in time there.
    """
    ratio = math.log(speed / wanted)
    return 1.0 - SPEED_WEIGHT * max(0.0, -ratio) - SPARE_WEIGHT * max(0.0, ratio)


def make_offer(
    step: Step,
    workers: Iterable[Worker],
    n_taken: dict[str, int] | None = None,
    speed: float = MAX_WANTED_SPEED,
    kept: KeptRoom | None = None,
) -> Offer:
    """Return an offer of the present free room of some workers."""
    chosen = [worker for worker in workers if worker.fits(step.need)]
    room = {worker.worker_id: worker.free for worker in chosen}
    return Offer(step, chosen, room, n_taken or {}, speed, kept or KeptRoom())


def place_gang(offer: Offer) -> list[Worker] | None:
    """Return a worker for each task of a gang, None if they do not all fit."""
    if offer.step.same_rack:
        for rack in sorted({worker.rack for worker in offer.workers}):
            beside = [worker for worker in offer.workers if worker.rack == rack]
            placed = _place_all(offer, beside)
            if placed is not None:
                return placed
    return _place_all(offer, offer.workers)


def _place_all(offer: Offer, workers: list[Worker]) -> list[Worker] | None:
    room = {worker.worker_id: offer.room[worker.worker_id] for worker in workers}
    kept = replace(offer.kept)
    part = Offer(offer.step, workers, room, dict(offer.n_taken), offer.speed, kept)
    placed = []
    for _ in range(offer.step.n_tasks):
        worker = part.take()
        if worker is None:
            return None
        placed.append(worker)
    offer.kept.cores = kept.cores
    return placed


def reserve(step: Step, workers: Iterable[Worker], n_tasks: int) -> set[str]:
    """Return workers to keep for a blocked step until it fits.

    Takes the workers with the most free cores first, as many as the step needs if
    they were empty; none if even all of them together are too small.
    """
    kept: set[str] = set()
    n_kept = 0
    for worker in sorted(workers, key=lambda item: -item.free.cores):
        if n_kept >= n_tasks:
            break
        n_fitting = _n_fitting(step.need, worker.entry.capacity)
        if step.max_per_worker:
            n_fitting = min(n_fitting, step.max_per_worker)
        if n_fitting:
            kept.add(worker.worker_id)
            n_kept += n_fitting
    return kept if n_kept >= n_tasks else set()


def room_for(step: Step, workers: Iterable[Worker]) -> int:
    """Return how many tasks of a step fit on some workers now."""
    total = 0
    for worker in workers:
        n_fitting = _n_fitting(step.need, worker.free)
        total += min(n_fitting, step.max_per_worker or n_fitting)
    return total


def most_free(workers: Iterable[Worker]) -> list[Worker]:
    """Return workers with the most free cores first, fast ones before slow ones."""
    return sorted(workers, key=lambda item: -item.free.cores * item.health.speed)


def most_suitable(
    step: Step, wanted: int, workers: Iterable[Worker], speed: float
) -> list[Worker]:
    """Return workers by how many of some tasks they hold, and how well they suit."""

    def value(worker: Worker) -> float:
        n_held = min(room_for(step, [worker]), wanted)
        suits = max(MIN_SUITABILITY, suitability(worker.health.speed, speed))
        return n_held * suits**SUITABILITY_POWER

    return sorted(workers, key=lambda worker: -value(worker))


def choose_named(
    step: Step,
    wanted: int,
    permitted: list[Worker],
    unasked: list[Worker],
    usable: list[Worker],
    *,
    speed: float = MAX_WANTED_SPEED,
) -> list[Worker]:
    """Return the workers to name in a call for advice, none if it would not help.

    Parameters
    ----------
    wanted : int
        Tasks to place.
    permitted : list of Worker
        Workers with room that may run the step.
    unasked : list of Worker
        Workers about which nothing is known.
    usable : list of Worker
        Those of the permitted for which there are good tickets.
    speed : float
        Speed at which the step ends in time.
    """
    ready = most_suitable(step, wanted, permitted, speed)
    named = _covering(step, wanted * KNOWN_ROOM_X, ready, MIN_RENEWED_WORKERS)
    if room_for(step, named) < wanted and unasked:
        rest = wanted * UNKNOWN_ROOM_X
        suitable = most_suitable(step, wanted, unasked, speed)
        asked = _covering(step, rest, suitable, MIN_ASKED_WORKERS)
        return (named + asked)[:MAX_ADVISED_WORKERS]
    if len(named) <= len(usable) or (step.gang and room_for(step, named) < wanted):
        return []
    return named[:MAX_ADVISED_WORKERS]


def _covering(
    step: Step, room: float, workers: list[Worker], at_least: int = 0
) -> list[Worker]:
    """Return the first workers that together have room for so many tasks."""
    chosen: list[Worker] = []
    covered = 0
    for worker in workers:
        if covered >= room and len(chosen) >= at_least:
            break
        chosen.append(worker)
        covered += room_for(step, [worker])
    return chosen


def _n_fitting(need: Resources, room: Resources) -> int:
    counts = [
        has // takes
        for takes, has in (
            (need.cores, room.cores),
            (need.memory_mb, room.memory_mb),
            (need.accelerators, room.accelerators),
        )
        if takes > 0
    ]
    return max(0, int(min(counts, default=1 << 20) + ROOM_EPSILON))
