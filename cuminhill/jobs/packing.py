"""Selects workers for the tasks of one step."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from itertools import takewhile
from operator import itemgetter
from typing import TYPE_CHECKING, NamedTuple

from ..model import NO_RESOURCES
from .fleet import CAPACITY_EPSILON
from .headroom import HeadroomLimit
from .lateness import NO_OBJECTIVE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from ..model import Resources
    from .fleet import Worker
    from .lateness import Outlook
    from .model import AdviceTerms, Step
    from .progress import StepRun

# Weight of how full a worker is in its score; a result in time weighs 1.
FIT_WEIGHT = 0.05
# Run time of a task outside the rack of its input data, relative to one inside it, and
# of a gang that is spread over racks although it should not be.
REMOTE_SLOWDOWN = 2.0
# Price in the score of a worker for a unit of the logarithm of the slowdown there: a
# slowed-down task holds its capacity for longer. It is above the price of speed, for
# which patient work would choose a slow worker near its data before a fast one.
REMOTE_PRICE = 0.3
# Workers for a call are ranked by the number of tasks that fit on them times their
# suitability to this power: a fast worker counts as much as two slow ones.
SUITABILITY_EXPONENT = 2
MIN_SUITABILITY = 0.05
# Price in the score of a worker for each run that would be lost if a task that may have
# crashed a worker crashes this one as well.
EXPOSURE_PRICE = 0.05
# The same if another run is starting there, which would leave the cause open.
STARTING_PRICE = 1.0
# Most workers that one call for advice may name (interface of the advice service).
MAX_ADVISED_WORKERS = 100
# Least number of workers that have not been asked about, and of permitted ones, in a
# call; each adds little to the fixed cost of the call.
MIN_ASKED_WORKERS = 24
MIN_RENEWED_WORKERS = 4
# A gang asks about so many workers at first that naming them takes this part of the
# fixed time of a call: it starts only when enough of them are permitted and have room,
# and each further call takes the fixed time again.
GANG_NAMED_FRACTION = 0.5
# Capacity that the workers named in a call should have, as a multiple of what the step
# needs: for permitted workers, whose capacity other steps may use in the meantime, and
# for workers not asked about yet, of which a third or more are permitted.
PERMITTED_FACTOR, UNASKED_FACTOR = 1.5, 4.0
# Runs that end within this time may use workers reserved for a blocked step.
SHORT_RUN_S = 1.5
# Number of tasks without any need that fit on a worker.
MAX_FITTING = 1 << 20
_NO_SCORE = -math.inf


@dataclass(eq=False)
class Candidates:
    """Workers that may get tasks of a step, and the capacity left on each.

    Parameters
    ----------
    free_by_worker : dict
        Free capacity of each worker, reduced as tasks are placed.
    n_by_worker : dict
        Number of the step's tasks on each worker, if the step limits it.
    outlook : Outlook
        Chance that the job ends in time.
    core_limit : HeadroomLimit
        Cores that the step may use on fast workers.
    restart : bool
        Whether the tasks last and were interrupted. The limit does not apply to them,
        though they count against it, and they may start beside suspects.
    remote_slowdown : float
        Run time of a task that is not near its data, relative to one that is.
    n_far : float
        Most tasks that may be placed away from the rack of their data. A gang with none
        is not spread over racks either.
    """

    step: Step
    workers: list[Worker]
    free_by_worker: dict[str, Resources]
    n_by_worker: dict[str, int] = field(default_factory=dict)
    outlook: Outlook = NO_OBJECTIVE
    core_limit: HeadroomLimit = field(default_factory=HeadroomLimit)
    restart: bool = False
    remote_slowdown: float = REMOTE_SLOWDOWN
    n_far: float = math.inf
    _suitability: dict[str, float] = field(default_factory=dict)
    _suspects_on: set[str] = field(default_factory=set)
    _apart_on: set[str] = field(default_factory=set)
    # Score of each worker regardless of the limit on cores, `_NO_SCORE` if no task
    # fits; computed at the first `pick`.
    _scores: list[float] = field(default_factory=list)
    _indexes: dict[str, int] = field(default_factory=dict)

    def pick(
        self,
        avoid: Iterable[str] = (),
        *,
        suspect: bool = False,
        apart: bool = True,
        now: float = 0.0,
    ) -> Worker | None:
        """Return the best worker for one more task and reserve its capacity there.

        Parameters
        ----------
        avoid : iterable of str
            Workers to choose only if no other worker scores nearly as well.
        suspect : bool, default=False
            Whether the task may have crashed a worker. It gets one that runs little.
        apart : bool, default=True
            Whether a suspect must not start beside another one, nor other tasks beside
            it.
        now : float, seconds
            Monotonic time; used where suspects start only.
        """
        taken = self._suspects_on if suspect and apart else self._apart_on
        if not (taken or suspect or self.restart):
            best = self._best_by_score(avoid)
        else:
            best = self._best_beside(
                taken, avoid, suspect=suspect, apart=apart, now=now
            )
        if best is not None:
            self._use_room(best)
            if suspect:
                self._suspects_on.add(best.worker_id)
            if suspect and apart:
                self._apart_on.add(best.worker_id)
        return best

    def _best_by_score(self, avoid: Iterable[str]) -> Worker | None:
        """Return the first worker with the highest score.

        Only the score of the chosen worker changes with a placement, so the others are
        kept from task to task.
        """
        if not self._scores:
            self._indexes = {
                worker.worker_id: index for index, worker in enumerate(self.workers)
            }
            self._scores = [self._room_score(worker) for worker in self.workers]
        scores = self._scores
        limit = self.core_limit
        if self.step.need.cores > limit.cores and limit.fast:
            fast = limit.fast
            scores = [
                _NO_SCORE if worker.worker_id in fast else score
                for worker, score in zip(self.workers, scores, strict=True)
            ]
        if avoid:
            scores = list(scores)
            for name in avoid:
                index = self._indexes.get(name)
                if index is not None and scores[index] > _NO_SCORE:
                    scores[index] -= 1.0
        best_score = max(scores, default=_NO_SCORE)
        if best_score == _NO_SCORE:
            return None
        return self.workers[scores.index(best_score)]

    def _best_beside(
        self,
        taken: set[str],
        avoid: Iterable[str],
        *,
        suspect: bool,
        apart: bool,
        now: float,
    ) -> Worker | None:
        """Return the best worker where suspects start, or may start beside a task.

        Parameters
        ----------
        taken : set of str
            Workers that are left out.
        """
        best, best_score = None, 0.0
        for worker in self.workers:
            if taken and worker.worker_id in taken:
                continue
            if not self._fits(worker):
                continue
            beside = self.restart and worker.suspect_starts(now)
            if beside and suspect and apart:
                continue
            score = self._score(worker) - (1.0 if worker.worker_id in avoid else 0.0)
            if suspect:
                score -= EXPOSURE_PRICE * len(worker.slots)
                score -= STARTING_PRICE * worker.has_starting(now)
            elif beside:
                score -= STARTING_PRICE
            if best is None or score > best_score:
                best, best_score = worker, score
        return best

    def _use_room(self, worker: Worker) -> None:
        """Reserve the capacity for one task on a worker."""
        name = worker.worker_id
        self.free_by_worker[name] = self.free_by_worker[name] - self.step.need
        self.n_by_worker[name] = self.n_by_worker.get(name, 0) + 1
        self.core_limit.use_cores(name, self.step.need.cores)
        if self._scores:
            self._scores[self._indexes[name]] = self._room_score(worker)
        if self.n_far < math.inf and not is_near(self.step, worker):
            self.limit_far(self.n_far - 1)

    def limit_far(self, n_far: float) -> None:
        """Limit the tasks that may be placed away from the rack of their data."""
        self.n_far = n_far
        if n_far <= 0:
            self.workers = [item for item in self.workers if is_near(self.step, item)]
            self._scores = []

    def _fits(self, worker: Worker) -> bool:
        allowed = self.core_limit.allows(worker.worker_id, self.step.need.cores)
        return (allowed or self.restart) and self._has_room(worker)

    def _has_room(self, worker: Worker) -> bool:
        """Return whether a task fits on a worker, regardless of the limit on cores."""
        bound = self.step.max_per_worker
        if bound and self.n_by_worker.get(worker.worker_id, 0) >= bound:
            return False
        return worker.fits(self.step.need, self.free_by_worker[worker.worker_id])

    def _room_score(self, worker: Worker) -> float:
        return self._score(worker) if self._has_room(worker) else _NO_SCORE

    def _score(self, worker: Worker) -> float:
        """Return a score that prefers workers on which the job is in time."""
        suits = self._suitability.get(worker.worker_id)
        if suits is None:
            slowdown = slowdown_on(self.step, worker, self.remote_slowdown)
            suits = suitability(worker.health.speed, self.outlook, slowdown)
            self._suitability[worker.worker_id] = suits
        free, capacity = self.free_by_worker[worker.worker_id], worker.entry.capacity
        used = 1.0 - free.cores / capacity.cores if capacity.cores else 0.0
        return suits + FIT_WEIGHT * used


@dataclass(eq=False, slots=True)
class Allowance:
    """Free room of workers that a step may use now, with tickets or without.

    Whether advice on more workers is needed depends on the same room as a placement.

    Parameters
    ----------
    held : mapping of str to Resources
        Room that is kept for other tasks, by worker.
    n_by_worker : mapping of str to int
        Number of the step's tasks on each worker, if the step limits it.
    core_limit : HeadroomLimit
        Cores that the step may use on fast workers.
    restart : bool
        Whether the tasks last and were interrupted; they may start beside suspects.
    now : float, seconds
        Monotonic time.
    """

    step: Step
    held: Mapping[str, Resources] = field(default_factory=dict)
    n_by_worker: Mapping[str, int] = field(default_factory=dict)
    core_limit: HeadroomLimit = field(default_factory=HeadroomLimit)
    restart: bool = False
    now: float = 0.0

    def accepts(self, worker: Worker) -> bool:
        """Return whether one task may start on a worker."""
        step, name = self.step, worker.worker_id
        if not self.core_limit.allows(name, step.need.cores):
            return False
        # The counter is checked first, since this runs for each worker and step.
        if worker.n_suspects and not takes_starts(
            worker, self.now, restart=self.restart
        ):
            return False
        bound = step.max_per_worker
        if bound and self.n_by_worker.get(name, 0) >= bound:
            return False
        return worker.fits(step.need, unheld_room(worker, self.held))

    def n_startable(self, workers: Iterable[Worker]) -> int:
        """Return how many tasks may start on workers that accept one."""
        step, fast = self.step, self.core_limit.fast
        n_fast = n_slow = 0
        for worker in workers:
            name = worker.worker_id
            n_fitting = _n_fitting(step.need, unheld_room(worker, self.held))
            if step.max_per_worker:
                left = step.max_per_worker - self.n_by_worker.get(name, 0)
                n_fitting = min(n_fitting, left)
            if name in fast:
                n_fast += n_fitting
            else:
                n_slow += n_fitting
        return n_slow + int(min(n_fast, self.n_limited))

    @property
    def n_limited(self) -> float:
        """Most tasks that may start on fast workers."""
        cores, left = self.step.need.cores, max(0.0, self.core_limit.cores)
        return left // cores if cores > 0 and left < math.inf else math.inf


def takes_starts(worker: Worker, now: float, *, restart: bool = False) -> bool:
    """Return whether tasks may start on a worker beside the suspects on it.

    Parameters
    ----------
    restart : bool, default=False
        Whether the tasks last and were interrupted.
    """
    return not worker.n_suspects or not (
        worker.starts_apart(now) if restart else worker.suspect_starts(now)
    )


def unheld_room(worker: Worker, held: Mapping[str, Resources]) -> Resources:
    """Return the free room of a worker that is not kept for other tasks."""
    if held and worker.worker_id in held:
        return worker.free - held[worker.worker_id]
    return worker.free


def is_near(step: Step, worker: Worker) -> bool:
    """Return whether a worker is on the rack of a step's data, if that has one."""
    return not step.near_rack or step.near_rack in worker.entry.labels


def slowdown_on(step: Step, worker: Worker, remote_slowdown: float) -> float:
    """Return the run time of a task on a worker relative to that near its data."""
    return 1.0 if is_near(step, worker) else remote_slowdown


def suitability(speed: float, outlook: Outlook, slowdown: float = 1.0) -> float:
    """Return how well a worker's speed suits a job with some outlook.

    On workers of different speeds, work that can wait leaves the fast workers to
    urgent work that ends in time only there. A slowdown by the distance of the data
    is no reason to prefer a worker, unlike one by its speed.

    Parameters
    ----------
    slowdown : float, default=1.0
        Run time there relative to that near the data.
    """
    suits = outlook.worth(speed / slowdown) - outlook.speed_price * math.log(speed)
    return suits - REMOTE_PRICE * math.log(slowdown) if slowdown > 1.0 else suits


def make_candidates(
    step: Step,
    workers: Iterable[Worker],
    n_by_worker: dict[str, int] | None = None,
    outlook: Outlook = NO_OBJECTIVE,
    core_limit: HeadroomLimit | None = None,
    *,
    held: Mapping[str, Resources] | None = None,
) -> Candidates:
    """Return the workers on which a task of a step fits now.

    Parameters
    ----------
    held : mapping of str to Resources, optional
        Room that is kept for other tasks, by worker.
    """
    chosen, free_by_worker = [], {}
    for worker in workers:
        free = unheld_room(worker, held or {})
        if worker.fits(step.need, free):
            chosen.append(worker)
            free_by_worker[worker.worker_id] = free
    return Candidates(
        step,
        chosen,
        free_by_worker,
        n_by_worker or {},
        outlook,
        core_limit or HeadroomLimit(),
    )


def place_gang(candidates: Candidates) -> list[Worker] | None:
    """Return a worker for each task of a gang, or None if not all of them fit."""
    step = candidates.step
    if step.same_rack:
        racks = sorted({worker.rack for worker in candidates.workers})
        racks.sort(key=lambda rack: rack != step.near_rack)
        for rack in racks:
            in_rack = [worker for worker in candidates.workers if worker.rack == rack]
            placed = _place_all(candidates, in_rack)
            if placed is not None:
                return placed
        if candidates.n_far <= 0:
            return None
    return _place_all(candidates, candidates.workers)


def _place_all(candidates: Candidates, workers: list[Worker]) -> list[Worker] | None:
    free_by_worker = {
        worker.worker_id: candidates.free_by_worker[worker.worker_id]
        for worker in workers
    }
    core_limit = replace(candidates.core_limit)
    trial = Candidates(
        candidates.step,
        workers,
        free_by_worker,
        dict(candidates.n_by_worker),
        candidates.outlook,
        core_limit,
        remote_slowdown=candidates.remote_slowdown,
        _suitability=candidates._suitability,
    )
    placed = []
    for _ in range(candidates.step.n_tasks):
        worker = trial.pick()
        if worker is None:
            return None
        placed.append(worker)
    candidates.core_limit.cores = core_limit.cores
    return placed


# Cores, memory in megabytes and accelerators. Sums of these are built for each worker
# and gang of a decision, which takes far longer with `Resources`.
Amounts = tuple[float, float, float]


class Hold(NamedTuple):
    """Room on a worker that is kept for a task until it starts.

    Parameters
    ----------
    at : float, seconds
        Time at which the task is expected to start.
    owner : str
        Name of the step if it is a gang.
    """

    need: Resources
    at: float
    owner: str = ""


@dataclass(eq=False, slots=True)
class HeldRoom:
    """Room on one worker that is kept for tasks until they start.

    Parameters
    ----------
    total : Resources
        Sum of the holds.
    first_at, last_at : float, seconds
        Earliest and latest time at which one of the tasks is expected to start.
    """

    holds: list[Hold] = field(default_factory=list)
    total: Resources = NO_RESOURCES
    first_at: float = math.inf
    last_at: float = -math.inf

    def add(self, hold: Hold) -> None:
        """Keep room for one more task."""
        self.holds.append(hold)
        self.total = self.total + hold.need
        self.first_at = min(self.first_at, hold.at)
        self.last_at = max(self.last_at, hold.at)

    def until(self, ends_at: float, owner: str = "") -> Resources:
        """Return the room that a run has to leave if it ends at a time.

        Parameters
        ----------
        owner : str, optional
            Step of the run; what is kept for that gang is not counted.
        """
        if ends_at <= self.first_at:
            return NO_RESOURCES
        if ends_at > self.last_at and not owner:
            return self.total
        held = NO_RESOURCES
        for hold in self.holds:
            if hold.at < ends_at and not (owner and hold.owner == owner):
                held = held + hold.need
        return held


@dataclass(eq=False, slots=True)
class Reservation:
    """Places on permitted workers that are kept for a gang until all are free.

    Parameters
    ----------
    places : dict of str to int
        Number of tasks by worker.
    at : float, seconds
        When all places are expected to be free. It is put off only if a place is lost,
        so that runs which use the room in the meantime end by then.
    """

    step_run: StepRun
    pool: str
    priority: int
    places: dict[str, int]
    at: float

    @property
    def cores(self) -> float:
        """Cores of all places."""
        step = self.step_run.step
        return step.n_tasks * step.need.cores


def reserve_places(
    step: Step,
    workers: Iterable[Worker],
    now: float,
    *,
    held: Mapping[str, Amounts],
    earlier: Reservation | None = None,
) -> tuple[dict[str, int], float] | None:
    """Return the places to keep for a gang, and when all are expected to be free.

    Places that are free are preferred, then those that were kept before, so that what
    becomes free adds up. The others are those that are expected to be free soonest.

    Parameters
    ----------
    workers : iterable of Worker
        Workers that may run the gang.
    held : mapping of str to Amounts
        Room that is kept for other tasks, by worker.
    earlier : Reservation, optional
        Places that have been kept for the gang so far.

    Returns
    -------
    places : (dict of str to int, float) or None
        Number of tasks by worker and a time in seconds; None if the tasks will not fit.
    """
    before = earlier.places if earlier is not None else {}
    rooms = {worker.worker_id: _Room(step, worker, held) for worker in workers}
    kept = [name for name in before if name in rooms]
    by_room = sorted(rooms, key=lambda name: -rooms[name].free[0])
    free = [(name, min(before[name], rooms[name].n_now)) for name in kept]
    free += [(name, rooms[name].n_now) for name in by_room]
    places: dict[str, int] = {}
    for name, n_fitting in free:
        _take(places, step.n_tasks, name, n_fitting)
    if sum(places.values()) == step.n_tasks:
        return places, now
    due = now
    # Mostly the workers with places are enough, and no others are looked at.
    known = [name for name in by_room if name in before]
    for at, name, n_fitting in _expected_rooms(rooms, known, now):
        if _take(places, step.n_tasks, name, min(n_fitting, before[name])):
            due = max(due, at)
    if earlier is not None and sum(places.values()) == step.n_tasks:
        return places, min(earlier.at, due)
    for at, name, n_fitting in _expected_rooms(rooms, by_room, now):
        if _take(places, step.n_tasks, name, n_fitting):
            due = max(due, at)
    return (places, due) if sum(places.values()) == step.n_tasks else None


def _expected_rooms(
    rooms: Mapping[str, _Room], names: Iterable[str], now: float
) -> list[tuple[float, str, int]]:
    """Return when more tasks will fit on some workers, and how many, soonest first."""
    later = [
        (at, name, n_fitting)
        for name in names
        for at, n_fitting in rooms[name].expected(now)
    ]
    later.sort(key=itemgetter(0))
    return later


def _take(places: dict[str, int], n_tasks: int, name: str, n_fitting: int) -> bool:
    """Take more places on a worker up to a number; return whether there were any."""
    n_here = places.get(name, 0)
    n_more = min(n_fitting - n_here, n_tasks - sum(places.values()))
    if n_more <= 0:
        return False
    places[name] = n_here + n_more
    return True


class _Room:
    """Room on one worker that is not kept for other tasks."""

    def __init__(self, step: Step, worker: Worker, held: Mapping[str, Amounts]) -> None:
        self.step, self.worker = step, worker
        self.free = _unheld(worker, held)
        self.limit = step.max_per_worker or math.inf
        self.n_now = int(min(self.limit, _n_within(step.need, *self.free)))

    def expected(self, now: float) -> Iterator[tuple[float, int]]:
        """Yield the times at which more tasks will fit, and how many."""
        return _expected_room(self.step, self.worker, now, self.free, self.limit)


def reserve(
    step: Step,
    workers: Iterable[Worker],
    n_tasks: int,
    now: float,
    held: Mapping[str, Amounts] | None = None,
) -> dict[str, float]:
    """Return the workers to reserve for a blocked step until it fits.

    These are the workers on which it is expected to fit soonest. Capacity that is held
    by runs without an end, or kept for them, never becomes free.

    Parameters
    ----------
    held : mapping of str to Amounts, optional
        Room that is kept for other tasks, by worker.

    Returns
    -------
    reserved : dict of str to float
        Time in seconds at which the step is expected to start on each worker. A gang
        starts on all of them at once. Empty if the tasks will not fit on all workers.
    """
    places = soonest_places(step, workers, n_tasks, now, held=held)
    if len(places) < n_tasks:
        return {}
    reserved = dict(places)
    if step.gang:
        return dict.fromkeys(reserved, max(reserved.values(), default=now))
    return reserved


def soonest_places(
    step: Step,
    workers: Iterable[Worker],
    n_tasks: int,
    now: float,
    *,
    held: Mapping[str, Amounts] | None = None,
    n_by_worker: Mapping[str, int] | None = None,
) -> list[tuple[str, float]]:
    """Return the workers on which tasks of a step are expected to fit soonest.

    Parameters
    ----------
    held : mapping of str to Amounts, optional
        Room that is kept for other tasks, by worker.
    n_by_worker : mapping of str to int, optional
        Number of the step's tasks on each worker, if the step limits it.

    Returns
    -------
    places : list of (str, float)
        Worker and time in seconds for each task, the soonest first; fewer than
        `n_tasks` if the others will not fit.
    """
    held, n_by_worker = held or {}, n_by_worker or {}
    chances, rooms = [], []
    for worker in workers:
        name, limit = worker.worker_id, math.inf
        free = _unheld(worker, held)
        if step.max_per_worker:
            limit = step.max_per_worker - n_by_worker.get(name, 0)
        n_fitting = int(min(limit, _n_within(step.need, *free)))
        if n_fitting > 0:
            chances.append((now, -free[0], name, n_fitting))
        rooms.append((worker, free, limit, n_fitting))
    if sum(chance[-1] for chance in chances) < n_tasks:
        chances += [
            (at, -free[0], worker.worker_id, n_fitting)
            for worker, free, limit, n_now in rooms
            for at, n_fitting in _expected_room(step, worker, now, free, limit)
            if n_fitting > n_now
        ]
    chances.sort()
    places: list[tuple[str, float]] = []
    n_chosen: dict[str, int] = {}
    for at, _, worker_id, n_fitting in chances:
        n_more = min(n_fitting - n_chosen.get(worker_id, 0), n_tasks - len(places))
        if n_more <= 0:
            continue
        n_chosen[worker_id] = n_chosen.get(worker_id, 0) + n_more
        places += [(worker_id, at)] * n_more
    return places


def _unheld(worker: Worker, held: Mapping[str, Amounts]) -> Amounts:
    """Return the room on a worker that is not kept for other tasks."""
    free = worker.free
    room = held.get(worker.worker_id)
    if room is None:
        return free.cores, free.memory_mb, free.accelerators
    return (
        free.cores - room[0],
        free.memory_mb - room[1],
        free.accelerators - room[2],
    )


def _expected_room(
    step: Step, worker: Worker, now: float, free: Amounts, limit: float
) -> Iterator[tuple[float, int]]:
    """Yield the times at which more tasks of a step will fit, and how many.

    Parameters
    ----------
    free : Amounts
        Free room that is not kept for other tasks.
    limit : float
        Most tasks of the step that may start on the worker.
    """
    need, speed = step.need, worker.health.speed
    cores, memory_mb, accelerators = free
    n_before = int(min(limit, _n_within(need, *free)))
    if n_before > 0:
        yield now, n_before
    else:
        n_before = 0
    ends = [(slot.expected_end(speed), slot.need) for slot in worker.slots.values()]
    ends.sort(key=itemgetter(0))
    for at, freed in ends:
        if at == math.inf:
            return
        cores += freed.cores
        memory_mb += freed.memory_mb
        accelerators += freed.accelerators
        n_fitting = _n_within(need, cores, memory_mb, accelerators)
        n_fitting = int(min(limit, n_fitting))
        if n_fitting > n_before:
            yield max(now, at), n_fitting
            n_before = n_fitting


def n_fitting_tasks(step: Step, workers: Iterable[Worker]) -> int:
    """Return how many tasks of a step fit on some workers now."""
    return sum(fitting_counts(step, workers))


def fitting_counts(step: Step, workers: Iterable[Worker]) -> list[int]:
    """Return how many tasks of a step fit on each of some workers now."""
    need, bound = step.need, step.max_per_worker
    counts = [_n_fitting(need, worker.free) for worker in workers]
    return [min(count, bound) for count in counts] if bound else counts


def n_tasks_in(step: Step, free: Resources) -> int:
    """Return how many tasks of a step fit into some room."""
    return _n_fitting(step.need, free)


def with_room(need: Resources, workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers on which a task fits now."""
    # As in `Worker.fits`, without a call for each worker.
    cores, memory_mb = need.cores, need.memory_mb
    accelerators = need.accelerators
    return [
        worker
        for worker in workers
        if cores <= (free := worker.free).cores + CAPACITY_EPSILON
        and memory_mb <= free.memory_mb + CAPACITY_EPSILON
        and accelerators <= free.accelerators + CAPACITY_EPSILON
    ]


def by_free_cores(workers: Iterable[Worker]) -> list[Worker]:
    """Return workers sorted by free cores times speed, the largest first."""
    return sorted(workers, key=lambda item: -item.free.cores * item.health.speed)


def by_suitability(
    step: Step, n_wanted: int, workers: list[Worker], outlook: Outlook
) -> list[Worker]:
    """Return workers sorted by how many tasks fit on them and how well they suit."""
    ranked = _rank(step, n_wanted, workers, outlook)
    chosen = [worker for worker, _ in ranked]
    if step.near_rack:  # a call names them first, and waits for places count on them
        chosen.sort(key=lambda worker: not is_near(step, worker))
    if step.gang and step.same_rack:
        chosen = _by_rack(ranked)
    return chosen + list(_rest(workers, chosen))


def _by_rack(ranked: list[tuple[Worker, int]]) -> list[Worker]:
    """Return ranked workers by rack, the rack on which most tasks fit first.

    Advice on some workers of each rack would leave none on which a gang fits.
    """
    n_in_rack: dict[str, int] = {}
    for worker, n_fitting in ranked:
        n_in_rack[worker.rack] = n_in_rack.get(worker.rack, 0) + n_fitting
    chosen = [worker for worker, _ in ranked]
    return sorted(chosen, key=lambda worker: (-n_in_rack[worker.rack], worker.rack))


def _rank(
    step: Step, n_wanted: int, workers: list[Worker], outlook: Outlook
) -> list[tuple[Worker, int]]:
    """Return the workers with room by suitability, with how many tasks fit on each."""
    # Workers of one kind have nearly the same speed, so few values are computed.
    values: dict[float, float] = {}
    rows: list[tuple[float, Worker, int]] = []
    found = with_room(step.need, workers)
    for worker, n_fitting in zip(found, fitting_counts(step, found), strict=True):
        n_held = min(n_fitting, n_wanted)
        if not n_held:
            continue
        speed = round(worker.health.speed, 2) or worker.health.speed
        value = values.get(speed)
        if value is None:
            suits = max(MIN_SUITABILITY, suitability(speed, outlook))
            value = values[speed] = suits**SUITABILITY_EXPONENT
        rows.append((-n_held * value, worker, n_fitting))
    rows.sort(key=itemgetter(0))
    return [row[1:] for row in rows]


def _rest(workers: list[Worker], chosen: list[Worker]) -> Iterator[Worker]:
    """Yield the workers that are not among some of them, in their order."""
    names = {worker.worker_id for worker in chosen}
    return (worker for worker in workers if worker.worker_id not in names)


def min_asked_workers(step: Step, terms: AdviceTerms) -> int:
    """Return the least number of workers not asked about in a call for a step."""
    if not (step.gang and terms.per_worker_s):
        return MIN_ASKED_WORKERS
    n_named = int(GANG_NAMED_FRACTION * terms.decide_s / terms.per_worker_s)
    return min(MAX_ADVISED_WORKERS, max(MIN_ASKED_WORKERS, n_named))


def choose_advised(
    step: Step,
    n_wanted: int,
    permitted: list[Worker],
    unasked: list[Worker],
    with_ticket: list[Worker],
    *,
    outlook: Outlook = NO_OBJECTIVE,
    allowance: Allowance | None = None,
    only_usable: bool = False,
    min_asked: int = MIN_ASKED_WORKERS,
) -> list[Worker]:
    """Return the workers to name in a call for advice; empty if it would not help.

    Parameters
    ----------
    n_wanted : int
        Number of tasks to place.
    permitted : list of Worker
        Workers that may run the step and accept a task now.
    unasked : list of Worker
        Workers that no call for the step has named yet.
    with_ticket : list of Worker
        Those of `permitted` with a valid ticket.
    outlook : Outlook
        Chance that the job ends in time.
    allowance : Allowance, optional
        Room that the step may use now; by default all free room.
    only_usable : bool, default=False
        Whether to ask only if a task could start now on workers not asked about yet.
    min_asked : int
        Least number of workers that have not been asked about in a call.
    """
    allowance = allowance or Allowance(step)
    ranked = by_suitability(step, n_wanted, permitted, outlook)
    named = _covering_usable(
        allowance, n_wanted, PERMITTED_FACTOR, ranked, MIN_RENEWED_WORKERS
    )
    n_startable = allowance.n_startable(permitted)
    may_ask = bool(unasked) and n_startable < n_wanted
    if may_ask and (not only_usable or _adds_room(allowance, permitted, unasked)):
        asked = _choose_asked(allowance, n_wanted, unasked, outlook, min_asked)
        return (named + asked)[:MAX_ADVISED_WORKERS]
    if step.gang and n_startable < n_wanted:
        return []
    if allowance.n_startable(named) <= allowance.n_startable(with_ticket):
        return []
    return named[:MAX_ADVISED_WORKERS]


def _adds_room(
    allowance: Allowance, permitted: list[Worker], unasked: list[Worker]
) -> bool:
    """Return whether more tasks could start now with workers not asked about yet."""
    n_startable, fast = allowance.n_startable(permitted), allowance.core_limit.fast
    roomy = with_room(allowance.step.need, unasked)
    for is_fast in (False, True) if fast else (False,):
        first = next(
            (
                item
                for item in roomy
                if (item.worker_id in fast) is is_fast and allowance.accepts(item)
            ),
            None,
        )
        if first and allowance.n_startable([*permitted, first]) > n_startable:
            return True
    return False


def _choose_asked(
    allowance: Allowance,
    n_wanted: int,
    unasked: list[Worker],
    outlook: Outlook,
    min_asked: int,
) -> list[Worker]:
    """Return the workers to ask about, those that the step may use now first."""
    step = allowance.step
    ranked = by_suitability(step, n_wanted, unasked, outlook)
    # Those without any room come last.
    roomy = list(takewhile(lambda worker: worker.fits(step.need), ranked))
    asked = _covering_usable(
        allowance, n_wanted, UNASKED_FACTOR, roomy, accepts=allowance.accepts
    )
    n_needed = n_wanted * UNASKED_FACTOR - n_fitting_tasks(step, asked)
    n_more = min_asked - len(asked)
    if n_needed <= 0 and n_more <= 0:
        return asked
    names = {item.worker_id for item in asked}
    others = [item for item in ranked if item.worker_id not in names]
    if step.near_rack:  # one without room may be a place to wait for
        others.sort(key=lambda worker: not is_near(step, worker))
    return asked + covering(step, n_needed, others, n_more)


def _covering_usable(
    allowance: Allowance,
    n_wanted: int,
    factor: float,
    ranked: list[Worker],
    at_least: int = 0,
    *,
    accepts: Callable[[Worker], bool] | None = None,
) -> list[Worker]:
    """Return the first workers on which a multiple of some tasks may start.

    Fast workers are taken for as many tasks as the headroom leaves there.

    Parameters
    ----------
    accepts : callable, optional
        Tells whether a worker accepts a task; needed unless all of them do.
    """
    step, n_fast = allowance.step, allowance.n_limited
    if n_fast >= n_wanted:
        usable = filter(accepts, ranked) if accepts else ranked
        return covering(step, n_wanted * factor, usable, at_least)
    names = allowance.core_limit.fast
    fast: Iterable[Worker] = (item for item in ranked if item.worker_id in names)
    slow: Iterable[Worker] = (item for item in ranked if item.worker_id not in names)
    if accepts:
        fast, slow = filter(accepts, fast), filter(accepts, slow)
    chosen = covering(step, n_fast * factor, fast) if n_fast else []
    n_slow = n_wanted - int(n_fast)
    return chosen + covering(step, n_slow * factor, slow, at_least - len(chosen))


def covering(
    step: Step, n_needed: float, workers: Iterable[Worker], at_least: int = 0
) -> list[Worker]:
    """Return the first workers that together have capacity for some tasks."""
    need, bound = step.need, step.max_per_worker
    chosen: list[Worker] = []
    covered = 0
    for worker in workers:
        if covered >= n_needed and len(chosen) >= at_least:
            break
        chosen.append(worker)
        n_fitting = _n_fitting(need, worker.free)
        covered += min(n_fitting, bound) if bound else n_fitting
    return chosen


def _n_fitting(need: Resources, free: Resources) -> int:
    return _n_within(need, free.cores, free.memory_mb, free.accelerators)


def _n_within(
    need: Resources, cores: float, memory_mb: float, accelerators: float
) -> int:
    """Return how many tasks fit; `MAX_FITTING` if they need nothing."""
    fewest: float = math.inf
    if need.cores > 0:
        fewest = cores // need.cores
    # Most steps that wait find no worker with enough cores.
    if fewest > 0 and need.memory_mb > 0:
        fewest = min(fewest, memory_mb // need.memory_mb)
    if fewest > 0 and need.accelerators > 0:
        fewest = min(fewest, accelerators // need.accelerators)
    if fewest == math.inf:
        return MAX_FITTING
    return int(fewest + CAPACITY_EPSILON) if fewest > 0 else 0
