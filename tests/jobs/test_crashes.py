"""Tests of the limit on tasks that crash the workers that start them."""

from __future__ import annotations

from cuminhill.jobs.model import JobState

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    make_entry,
    make_job,
    make_placer,
    mark_started,
    submit,
)

NOW = BEGUN_AT
# A crashing worker closes its connections this long after the start of the task.
CRASH_AFTER_S = 0.01
RESTART_S = 3.0
MAX_STARTS = 5  # three crashes and two more starts


def crash_worker(placer, worker_id, at):
    """Crash a worker, and have a process with another id start at its address."""
    worker = placer.workers[worker_id]
    placer.worker_unreachable(worker_id, at, closed=True)
    placer.other_incarnation(worker_id, worker.entry.incarnation, at + RESTART_S)
    placer.tick(at + RESTART_S)


def add_worker(placer, worker_id, at):
    """Register a worker that has answered its first renewal."""
    placer.register_worker(make_entry(worker_id, incarnation=int(at * 1000)), at)
    answer_renewal(placer, worker_id, at, incarnation=int(at * 1000))


# Guards against one task that takes down worker after worker without end (rule BUDGET).
def test_a_task_that_crashes_each_worker_is_given_up():
    placer = make_placer(n_workers=6)
    progress = submit(placer, make_job())
    now, n_starts = NOW, 0
    while progress.state is not JobState.FAILED and n_starts <= MAX_STARTS:
        placements, _ = placer.decide(now, WALL)
        for placement in placements:
            mark_started(placer, [placement], now)
            n_starts += 1
            crash_worker(placer, placement.worker_id, now + CRASH_AFTER_S)
            add_worker(placer, f"n{n_starts}", now + RESTART_S)
        now += RESTART_S + 0.5
    assert progress.state is JobState.FAILED
    assert 2 <= n_starts <= 3
    assert not placer.jobs
