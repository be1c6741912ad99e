"""Longest decision on many waiting jobs, and on jobs that make one long.

Nothing else is done in the process meanwhile, so it bounds how late a term confirms
itself, starts are sent and callers are answered.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from cuminhill.jobs.model import Job, Step
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import task_need

from .figures import figure
from .jobdecisions import (
    BEGUN_AT,
    WALL,
    add_jobs,
    decision_times,
    make_placer,
    quiet,
)

if TYPE_CHECKING:
    from cuminhill.jobs.placer import Placer

BENCH = "longdecisions"
SIZES = [(270, 2_000), (270, 20_000), (945, 2_000), (945, 20_000)]
N_DECISIONS = 20
N_BODIES = 80
NEED = task_need(0.5, 64.0, 0.0)
REPEATS = (Step(1, NEED, 0.5), Step(1, NEED, 0.5, after=(0,) * 115_000))
# Each step of one half waits for all of the other half.
GRAPH = (
    *[Step(1, NEED, 0.5)] * 100,
    *[Step(1, NEED, 0.5, after=tuple(range(100)))] * 100,
)


def _longest(name: str, placer: Placer) -> dict[str, Any]:
    times, n_placed = decision_times(placer, N_DECISIONS)
    note = f"processor time, {N_DECISIONS} decisions, {n_placed} placements"
    return figure(BENCH, f"longest decision, {name}", max(times), "ms", note=note)


def run() -> list[dict[str, Any]]:
    """Return the longest decision for each number of workers and jobs."""
    rows = []
    with quiet():
        for n_workers, n_jobs in SIZES:
            rng = random.Random(n_jobs)
            placer = make_placer(rng, n_workers)
            add_jobs(placer, rng, n_jobs)
            name = f"{n_workers} workers, {n_jobs} waiting jobs"
            rows.append(_longest(name, placer))
        for kind, steps in (("repeated", REPEATS), ("dense", GRAPH)):
            placer = make_placer(random.Random(1), 270)
            for number in range(N_BODIES):
                job = Job(f"{number:016x}", "runs", "", steps, WALL)
                placer.add_job(Progress(job), BEGUN_AT)
            name = f"270 workers, {N_BODIES} jobs with {kind} predecessors"
            rows.append(_longest(name, placer))
    return rows
