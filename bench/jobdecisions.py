"""Processor time of the decisions of a term on a large site."""

from __future__ import annotations

import logging
import random
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import structlog

from cuminhill.jobs.decisions import MAX_STEPS_PER_DECISION
from cuminhill.jobs.model import (
    AdviceTerms,
    Job,
    Queue,
    QueueTable,
    Step,
    WorkerEntry,
    WorkerReport,
)
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import task_need

from .figures import figure, quantile

if TYPE_CHECKING:
    from collections.abc import Iterator

BENCH = "jobdecisions"
N_WORKERS = 270
BACKLOGS = (50, 400, 2_000)  # waiting jobs
N_QUEUES = (45, 1_446, 4_246)  # of the configuration, nearly all of them idle
N_DECISIONS = 12
N_REPEATS = 3  # of the yardstick
DECISION_S = 0.1  # time between decisions
TARGET_MS = 5.0  # of a decision with 2,000 waiting jobs (D21 of docs/decisions.md)
MAX_NAMED = 100
BEGUN_AT, WALL = 100.0, 1_000.0
# Queue; share of jobs; tasks, cores and seconds of a step; share of workers permitted;
# whether the tasks are a gang.
MIX = (
    ("checks", 125.0, 3, 9.9, 0.64, 0.7, False),
    ("plans", 4.3, 20, 18.0, 5.0, 0.35, True),
    ("runs", 11.2, 25, 6.9, 2.2, 0.45, False),
)
TERMS = {
    "checks": AdviceTerms(0.0072, 0.0001, 2.0),
    "plans": AdviceTerms(0.43, 0.0062, 2.0),
    "runs": AdviceTerms(0.08, 0.0011, 2.0),
}


@contextmanager
def quiet() -> Iterator[None]:
    """Leave out log lines, whose cost is not that of a decision."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    try:
        yield
    finally:
        structlog.reset_defaults()


def make_placer(rng: random.Random, n_workers: int) -> Placer:
    """Return a placer with the queues of the mix and idle workers."""
    placer = Placer(1, BEGUN_AT)
    queues = [
        Queue(name, "h", f"/{name}/", "pool", priority, 3, 2.0, 1.0, TERMS[name])
        for priority, (name, *_) in enumerate(MIX)
    ]
    placer.table = QueueTable(1, {queue.name: queue for queue in queues})
    register_workers(placer, rng, n_workers)
    return placer


def add_idle_queues(placer: Placer, n_queues: int) -> None:
    """Add idle queues on the pool of the others up to a total number."""
    queues = dict(placer.table.queues)
    for number in range(n_queues - len(queues)):
        name = f"idle{number}"
        queues[name] = Queue(name, "h", f"/{name}/", "pool", 1 + number % 2, 3, 2.0, 1)
    placer.table = QueueTable(1, queues)


def register_workers(placer: Placer, rng: random.Random, n_workers: int) -> None:
    """Register workers of 64 cores that have answered a renewal."""
    for number in range(n_workers):
        name = f"w{number}"
        capacity = task_need(64.0, 131_072.0, 0.0)
        labels = ("ab"[number % 2], f"r{number // 12}")
        entry = WorkerEntry(name, 1, "pool", "127.0.0.1:1", "d1", labels, capacity)
        placer.register_worker(entry, BEGUN_AT)
        token = placer.workers[name].fencing_token
        placer.process_report(
            name, token, WorkerReport(int(BEGUN_AT * 1000), 1, (), ()), BEGUN_AT
        )
        placer.workers[name].health.speed = rng.lognormvariate(0.0, 0.3)


def add_jobs(placer: Placer, rng: random.Random, n_jobs: int) -> None:
    """Add jobs of the mix, with advice on some of the workers."""
    for number in range(n_jobs):
        name, _, n_tasks, cores, run_s, permitted, gang = rng.choices(
            MIX, [row[1] for row in MIX]
        )[0]
        need = task_need(cores * rng.lognormvariate(0.0, 0.2), 1000.0, 0.0)
        step = Step(n_tasks, need, run_s, gang=gang)
        job_id = f"{number:016x}"
        job = Job(job_id, name, "", (step,), WALL - 5.0 * rng.random())
        placer.add_job(Progress(job), BEGUN_AT)
        named = rng.sample(list(placer.workers), MAX_NAMED)
        advice = placer.advice.for_step(f"{job_id}.0.0")
        tickets = [(item, "t") for item in named if rng.random() < permitted]
        advice.store_answer(dict.fromkeys(named, 1), tickets, BEGUN_AT, 2.0)


def decision_times(
    placer: Placer, n_decisions: int, begun_at: float = BEGUN_AT
) -> tuple[list[float], int]:
    """Return the processor time of each decision in milliseconds, and the placements.

    No run ends and no call for advice is answered, so the first ones place tasks, and
    the others find few.
    """
    times, n_placed = [], 0
    for number in range(n_decisions):
        now = begun_at + number * DECISION_S
        before = time.thread_time_ns()
        placer.tick(now)
        placements, _ = placer.decide(now, WALL + now - BEGUN_AT)
        times.append((time.thread_time_ns() - before) / 1e6)
        n_placed += len(placements)
    return times, n_placed


def _yardstick_ms() -> float:
    """Return the processor time of one division for each worker and step.

    That is for as many steps as a decision considers: a measure of the machine that
    does not change with the code that is measured.
    """
    free = [float(number) for number in range(N_WORKERS)]
    times = []
    for _ in range(N_REPEATS):
        before = time.thread_time_ns()
        for need in range(1, MAX_STEPS_PER_DECISION + 1):
            total = 0.0
            for cores in free:
                total += cores // need
        times.append((time.thread_time_ns() - before) / 1e6)
    return min(times)


def run() -> list[dict[str, Any]]:
    """Return the times of decisions with few and many waiting jobs and queues."""
    rows = []
    with quiet():
        for n_jobs in BACKLOGS:
            rng = random.Random(n_jobs)
            placer = make_placer(rng, N_WORKERS)
            add_jobs(placer, rng, n_jobs)
            baseline = _yardstick_ms()
            label = f"{N_WORKERS} workers, {n_jobs} waiting jobs"
            times, n_placed = decision_times(placer, N_DECISIONS)
            later = BEGUN_AT + 10.0  # the tickets have lapsed
            blocked, _ = decision_times(placer, N_DECISIONS, later)
            for name, values, more in (
                ("with tickets", times, f"{n_placed} placements"),
                ("without tickets", blocked, "calls are not answered"),
            ):
                rows.append(
                    figure(
                        BENCH,
                        f"{label}, decision {name}, median",
                        quantile(values, 0.5),
                        "ms",
                        baseline=baseline,
                        note=f"{N_DECISIONS} decisions, {more}; target "
                        f"{TARGET_MS} ms; baseline: a division per worker and step",
                    )
                )
        for n_queues in N_QUEUES:
            rng = random.Random(BACKLOGS[0])
            placer = make_placer(rng, N_WORKERS)
            add_idle_queues(placer, n_queues)
            add_jobs(placer, rng, BACKLOGS[0])
            baseline = _yardstick_ms()
            decision_times(placer, N_DECISIONS)
            blocked, _ = decision_times(placer, N_DECISIONS, BEGUN_AT + 10.0)
            rows.append(
                figure(
                    BENCH,
                    f"{N_WORKERS} workers, {BACKLOGS[0]} waiting jobs, {n_queues} "
                    "queues, decision without tickets, median",
                    quantile(blocked, 0.5),
                    "ms",
                    baseline=baseline,
                    note=f"{N_DECISIONS} decisions, calls are not answered; baseline: "
                    "a division per worker and step",
                )
            )
    return rows
