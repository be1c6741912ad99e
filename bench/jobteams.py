"""Processor time of the decisions of a term with many teams, and of their sums."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

from cuminhill.jobs.fleet import Slot
from cuminhill.jobs.model import Job, Queue, QueueTable, Step, TaskKey, Team
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import task_need
from cuminhill.jobs.teamusage import TeamUsage
from cuminhill.model import Resources

from .figures import figure, quantile
from .jobdecisions import BEGUN_AT, DECISION_S, WALL, quiet, register_workers

if TYPE_CHECKING:
    from collections.abc import Iterator

BENCH = "jobteams"
N_WORKERS = 350
N_RUNS = 4_000
N_WAITING = 2_000
N_TEAMS = (20, 2_000)
N_DECISIONS = 12
N_SUMS = 20
TARGET_SUM_MS = 3.0
NO_CAP = Resources(0.0, 0.0, 0.0)


def _make_teams(n_teams: int, capped: bool) -> list[Team]:
    """Return teams of which the caps together are above all workers' capacity."""
    cores = 1.5 * N_WORKERS * 64.0 / n_teams if n_teams else 0.0
    cap = Resources(cores, 0.0, 0.0) if capped else NO_CAP
    return [Team(f"t{number}", 35.0, cap) for number in range(n_teams)]


def _make_placer(rng: random.Random, teams: list[Team]) -> Placer:
    """Return a placer with runs and waiting jobs, without advice."""
    placer = Placer(1, BEGUN_AT)
    queues = [
        Queue("checks", "h", "/checks/", "pool", 0, 3, 2.0, 1.0),
        Queue("runs", "h", "/runs/", "pool", 2, 3, 2.0, 1.0),
    ]
    placer.table = QueueTable(
        1,
        {queue.name: queue for queue in queues},
        teams={team.name: team for team in teams} if teams else None,
    )
    register_workers(placer, rng, N_WORKERS)
    names = list(placer.workers)
    for number in range(N_RUNS):
        team = rng.choice(teams).name if teams else ""
        key = TaskKey(f"{number:015x}f", 0, 0, 0)
        need = task_need(4.0, 1000.0, 0.0)
        slot = Slot(key, 1, need, 60.0, sent=True, confirmed=True, team=team)
        placer.workers[names[number % N_WORKERS]].add(slot)
    for number in range(N_WAITING):
        step = Step(4, task_need(rng.choice((4.0, 8.0)), 1000.0, 0.0), 60.0)
        job = Job(
            f"{number:016x}",
            rng.choice(queues).name,
            "",
            (step,),
            WALL - 5.0 * rng.random(),
            team=rng.choice(teams) if teams else None,
        )
        placer.add_job(Progress(job), BEGUN_AT)
    return placer


def _times_ms(placer: Placer) -> Iterator[tuple[float, int]]:
    """Yield the processor time of each decision and its placements."""
    for number in range(N_DECISIONS):
        now = BEGUN_AT + number * DECISION_S
        before = time.thread_time_ns()
        placements, _ = placer.decide(now, WALL + now - BEGUN_AT)
        yield (time.thread_time_ns() - before) / 1e6, len(placements)


def _sum_ms(placer: Placer) -> float:
    """Return the median processor time of the sums of one decision."""
    times = []
    for _ in range(N_SUMS):
        usage = TeamUsage()
        before = time.thread_time_ns()
        usage.by_pool(placer)
        times.append((time.thread_time_ns() - before) / 1e6)
    return quantile(times, 0.5)


def run() -> list[dict[str, Any]]:
    """Return the times with few and with many teams, against those without teams."""
    rows = []
    size = f"{N_WORKERS} workers, {N_RUNS} runs, {N_WAITING} waiting jobs"
    with quiet():
        without = list(_times_ms(_make_placer(random.Random(1), [])))
        baseline = quantile([took for took, _ in without], 0.5)
        for n_teams in N_TEAMS:
            for capped in (False, True):
                teams = _make_teams(n_teams, capped)
                placer = _make_placer(random.Random(1), teams)
                label = f"{n_teams} teams {'with' if capped else 'without'} caps"
                sum_ms = _sum_ms(placer)
                times = list(_times_ms(placer))
                n_placed = sum(count for _, count in times)
                rows.append(
                    figure(
                        BENCH,
                        f"{label}, decision, median",
                        quantile([took for took, _ in times], 0.5),
                        "ms",
                        baseline=baseline,
                        note=f"{size}; {n_placed} placements; baseline: no teams",
                    )
                )
                if capped:
                    rows.append(
                        figure(
                            BENCH,
                            f"{label}, sum of the usage, median",
                            sum_ms,
                            "ms",
                            target=TARGET_SUM_MS,
                            note=size,
                        )
                    )
    return rows
