"""Generated streams of arrivals that model the two sites."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from cuminhill.model import Request, RequestKind, Resources

WALL0 = 1_000_000.0  # wall-clock time of the stream's start, s since the epoch
SERVICE_RUN_S = 1e6  # services run until they are cancelled
CHECK_DEADLINE_S = 5.0
ORDER_DEADLINE_S = 60.0
FAIL_ONCE_FRACTION = 0.02  # of tasks, whose first attempt fails
FAIL_ALWAYS_FRACTION = 0.01  # of batch requests, which never succeed
N_FAILURES_ALWAYS = 1_000_000  # number of failures that means "never succeeds"
OVERSIZED_FRACTION = 0.01  # of batch requests, which fit on no worker
CANCEL_FRACTION = 0.03  # of batch requests, cancelled in each wave
N_WAVES = 2
DIMENSIONS = ("cores", "memory_mb", "slots", "connections")


@dataclass(frozen=True, slots=True)
class Site:
    """Parameters of the workers and batch tasks of one site.

    Parameters
    ----------
    core_choices : tuple of float
        Cores that a batch task may declare.
    mb_per_core : tuple of float
        Range of declared memory for each core, in megabytes.
    """

    name: str
    n_workers: int
    cores: float
    memory_mb: float
    workers_per_rack: int
    core_choices: tuple[float, ...]
    mb_per_core: tuple[float, float]


FORMOSA = Site("formosa", 24, 16.0, 65536.0, 8, (1.0, 2.0, 2.0, 4.0), (512.0, 6144.0))
MALANAD = Site(
    "malanad", 24, 64.0, 131072.0, 6, (4.0, 8.0, 8.0, 12.0, 16.0), (256.0, 2560.0)
)
SITES = (FORMOSA, MALANAD)


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """One worker; reference run times are divided by its speed."""

    worker_id: str
    capacity: Resources
    rack: str
    speed: float
    failure_domain: str = "cell"


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request and the actual behaviour of its tasks, hidden from the placer.

    Parameters
    ----------
    at : float, seconds
        Time of arrival from the stream's start.
    true_s : tuple of float, seconds
        Run time of each task on a worker of speed 1.
    n_failures : tuple of int
        Number of attempts of each task that fail.
    usage : float
        Used cores as a fraction of the declared ones.
    """

    at: float
    request: Request
    true_s: tuple[float, ...]
    n_failures: tuple[int, ...]
    usage: float = 1.0


@dataclass(frozen=True, slots=True)
class Stream:
    """Arrivals, cancellations and workers of one run.

    Parameters
    ----------
    horizon_s : float, seconds
        Length of the run.
    cancels : tuple of (float, str)
        Time and request id of each cancellation.
    failing : dict of str to (float, float)
        Workers that fail every task, with the start and end of that interval.
    """

    site: str
    horizon_s: float
    workers: tuple[WorkerSpec, ...]
    arrivals: tuple[Arrival, ...]
    cancels: tuple[tuple[float, str], ...]
    failing: dict[str, tuple[float, float]] = field(default_factory=dict)


def make_workers(
    site: Site, rng: random.Random, n_workers: int = 0
) -> tuple[WorkerSpec, ...]:
    """Return the workers of a site with speeds from 0.5 to 2, log-uniform."""
    capacity = Resources(site.cores, site.memory_mb, 0.0, 8.0, 64.0)
    return tuple(
        WorkerSpec(
            f"w{index}",
            capacity,
            f"r{index // site.workers_per_rack}",
            2.0 ** rng.uniform(-1.0, 1.0),
        )
        for index in range(n_workers or site.n_workers)
    )


def make_stream(
    site: Site,
    seed: int,
    *,
    load: float,
    horizon_s: float = 60.0,
    failing_worker: bool = False,
) -> Stream:
    """Return a stream whose offered load is a multiple of the capacity.

    Parameters
    ----------
    site : Site
        Parameters of the workers and of batch tasks.
    seed : int
        Seed of all random choices.
    load : float
        Offered work in the scarcest dimension as a fraction of the capacity over
        the horizon; batch requests are added until it is reached.
    horizon_s : float, seconds
        Length of the run.
    failing_worker : bool
        Whether one worker fails every task in the middle third of the run.
    """
    rng = random.Random(seed)
    workers = make_workers(site, rng)
    generator = _ArrivalGenerator(site, rng, horizon_s)
    arrivals = [
        *generator.services(),
        *generator.checks(rate=20.0),
        *generator.orders(rate=2.0),
        *generator.gangs(every_s=12.0),
    ]
    capacity = reference_capacity(workers)
    work = dict.fromkeys(DIMENSIONS, 0.0)
    for item in arrivals:
        _add_work(work, item, horizon_s)
    batches: list[Arrival] = []
    while max(work[d] / (capacity[d] * horizon_s) for d in DIMENSIONS) < load:
        batches.append(generator.batch(len(batches)))
        _add_work(work, batches[-1], horizon_s)
    cancels = generator.cancel_waves(batches)
    arrivals = sorted([*arrivals, *batches], key=lambda item: item.at)
    failing = {}
    if failing_worker:
        failing[workers[0].worker_id] = (horizon_s / 3, 2 * horizon_s / 3)
    return Stream(site.name, horizon_s, workers, tuple(arrivals), cancels, failing)


@dataclass(eq=False)
class _ArrivalGenerator:
    """Generates requests of each kind at random."""

    site: Site
    rng: random.Random
    horizon_s: float

    def checks(self, rate: float) -> list[Arrival]:
        """Return checks at a constant rate, five times that in a burst of 1/12 run."""
        found: list[Arrival] = []
        at = 0.0
        while True:
            bursting = 0.5 <= at / self.horizon_s < 0.5 + 1 / 12
            at += self.rng.expovariate(rate * (5.0 if bursting else 1.0))
            if at >= self.horizon_s:
                return found
            need = Resources(0.5, 128.0)
            true_s = self.rng.uniform(0.02, 0.1)
            found.append(
                self._arrival(
                    at,
                    RequestKind.CHECK,
                    len(found),
                    need,
                    [true_s],
                    deadline_s=CHECK_DEADLINE_S,
                )
            )

    def orders(self, rate: float) -> list[Arrival]:
        """Return orders at a constant rate."""
        found: list[Arrival] = []
        at = self.rng.expovariate(rate)
        while at < self.horizon_s:
            true_s = self.rng.uniform(0.2, 1.0)
            found.append(
                self._arrival(
                    at,
                    RequestKind.ORDER,
                    len(found),
                    Resources(1.0, 512.0),
                    [true_s],
                    deadline_s=ORDER_DEADLINE_S,
                )
            )
            at += self.rng.expovariate(rate)
        return found

    def gangs(self, every_s: float) -> list[Arrival]:
        """Return gangs of 4 to 16 tasks."""
        found: list[Arrival] = []
        at = self.rng.expovariate(1.0 / every_s)
        while at < self.horizon_s:
            cores = self.site.cores / 4
            need = Resources(cores, cores * self.site.mb_per_core[0])
            true_s = self.rng.uniform(2.0, 6.0)
            times = [true_s] * self.rng.randint(4, 16)
            found.append(self._arrival(at, RequestKind.GANG, len(found), need, times))
            at += self.rng.expovariate(1.0 / every_s)
        return found

    def services(self) -> list[Arrival]:
        """Return services that together occupy about a tenth of the slots."""
        need = Resources(self.site.cores / 16, self.site.memory_mb / 32)
        return [
            self._arrival(
                self.rng.uniform(0.0, self.horizon_s / 4),
                RequestKind.SERVICE,
                index,
                need,
                [SERVICE_RUN_S] * 3,
            )
            for index in range(max(1, self.site.n_workers // 4))
        ]

    def batch(self, index: int) -> Arrival:
        """Return a batch request; a third of them arrive in four bursts."""
        rng = self.rng
        at = rng.uniform(0.0, self.horizon_s)
        if rng.random() < 0.33:
            start = rng.randrange(4) * self.horizon_s / 4
            at = rng.uniform(start, start + self.horizon_s / 100)
        cores = rng.choice(self.site.core_choices)
        oversized = rng.random() < OVERSIZED_FRACTION
        if oversized:
            cores = 2 * self.site.cores
        low, high = self.site.mb_per_core
        need = Resources(cores, cores * rng.uniform(low, high))
        n_tasks = min(40, 1 + int(rng.expovariate(1 / 12)))
        median_s = rng.choice((1.0, 3.0, 8.0))
        times = [
            min(30.0, rng.lognormvariate(math.log(median_s), 0.5))
            for _ in range(n_tasks)
        ]
        deadline_s = rng.uniform(20.0, 60.0) if rng.random() < 0.2 else math.inf
        return self._arrival(
            at,
            RequestKind.BATCH,
            index,
            need,
            times,
            deadline_s=deadline_s,
            fails_always=oversized or rng.random() < FAIL_ALWAYS_FRACTION,
        )

    def cancel_waves(self, batches: list[Arrival]) -> tuple[tuple[float, str], ...]:
        """Return cancellations of earlier batch requests in simultaneous waves."""
        cancels = []
        for wave in range(1, N_WAVES + 1):
            at = wave * self.horizon_s / (N_WAVES + 1)
            for item in batches:
                if item.at < at and self.rng.random() < CANCEL_FRACTION:
                    cancels.append((at, item.request.request_id))
        return tuple(cancels)

    def _arrival(
        self,
        at: float,
        kind: RequestKind,
        index: int,
        need: Resources,
        true_s: list[float],
        *,
        deadline_s: float = math.inf,
        fails_always: bool = False,
    ) -> Arrival:
        rng = self.rng
        # Declared run times are mostly off by a factor of 2, and a few by one of 10.
        sigma = 2.3 if rng.random() < 0.05 else 0.7
        declared_s = sum(true_s) / len(true_s) * rng.lognormvariate(0.0, sigma)
        if kind is RequestKind.SERVICE:
            declared_s = true_s[0]
        usage = rng.uniform(1.0, 1.3) if rng.random() < 0.05 else rng.uniform(0.4, 1.0)
        one_shot = kind in {RequestKind.ORDER, RequestKind.SERVICE}
        failures = [
            N_FAILURES_ALWAYS
            if fails_always
            else int(not one_shot and rng.random() < FAIL_ONCE_FRACTION)
            for _ in true_s
        ]
        team = f"team{rng.randrange(6)}"
        request = Request(
            f"{kind}-{index}",
            kind,
            team,
            need,
            len(true_s),
            0,
            WALL0 + at + deadline_s,
            WALL0 + at,
            declared_s,
            f"{kind}-{need.cores:g}",
        )
        return Arrival(at, request, tuple(true_s), tuple(failures), usage)


def work_s(item: Arrival, index: int, horizon_s: float, speed: float) -> float:
    """Return the reference seconds of a task that can run until the horizon."""
    return min(item.true_s[index], speed * (horizon_s - item.at))


def _add_work(work: dict[str, float], item: Arrival, horizon_s: float) -> None:
    for index in range(item.request.n_tasks):
        for name in DIMENSIONS:
            work[name] += getattr(item.request.need, name) * work_s(
                item, index, horizon_s, 1.0
            )


def reference_capacity(workers: tuple[WorkerSpec, ...]) -> dict[str, float]:
    """Return the reference capacity per second in each dimension."""
    return {
        name: sum(item.speed * getattr(item.capacity, name) for item in workers)
        for name in DIMENSIONS
    }
