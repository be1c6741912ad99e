"""Tests of the headroom for urgent work on fast workers."""

from __future__ import annotations

import pytest

from cuminhill.jobs.headroom import (
    AVERAGING_TIME_S,
    BUSY_FRACTION,
    MAX_FRACTION,
    MIN_FRACTION,
    Headroom,
    headroom_limit,
)

from .builders import (
    BEGUN_AT,
    WALL,
    make_job,
    make_placer,
    make_queue,
    make_step,
    submit,
)

CAPACITY = 100.0
CHECKS = make_queue("checks", priority=0, stretch=1.5, target_s=0.25)
BATCHES = make_queue("batches", priority=2, stretch=2.2)


def make_filled_placer(n_batches=40):
    """Return a placer with 10 workers and enough batches to use all of their cores."""
    placer = make_placer(CHECKS, BATCHES, n_workers=10)
    for number in range(n_batches):
        step = make_step(4, cores=2.0, run_time_s=4.0)
        job = make_job(step, job_id=f"{number:016x}", queue="batches")
        submit(placer, job)
    placer.decide(BEGUN_AT, WALL)
    placer.decide(BEGUN_AT + 0.1, WALL)
    return placer


def free_cores(placer):
    """Return the free cores of all workers."""
    return sum(worker.free.cores for worker in placer.workers.values())


def test_bursts_of_checks_find_capacity_on_a_pool_that_batches_fill():
    """Guards against bursts of checks that wait for batches running for seconds."""
    placer = make_filled_placer()
    kept = MIN_FRACTION * 160.0
    assert free_cores(placer) == pytest.approx(kept, abs=2.0)
    check = make_job(make_step(5, cores=2.0), job_id="f" * 16, queue="checks")
    submit(placer, check)
    placements, _ = placer.decide(BEGUN_AT + 0.2, WALL)
    assert sum(item.key.job_id == "f" * 16 for item in placements) == 5


def test_cores_used_by_checks_count_towards_the_headroom():
    """Guards against keeping more cores idle the more checks run."""
    placer = make_filled_placer(4)
    workers = placer.workers.values()
    headroom = Headroom(mean_cores=10.0, observed_at=BEGUN_AT)
    for worker in workers:
        worker.free = worker.free - make_step(cores=worker.free.cores - 3.0).need
    unused = headroom_limit(headroom, workers, BEGUN_AT).cores
    for worker in workers:
        worker.urgent_cores = 2.0
    assert headroom_limit(headroom, workers, BEGUN_AT).cores == pytest.approx(
        unused + 20
    )


def test_a_gang_that_needs_the_whole_pool_starts_on_an_idle_one():
    """Guards against a gang that never starts because of unused headroom."""
    placer = make_placer(CHECKS, BATCHES, n_workers=10)
    submit(placer, make_job(make_step(10, cores=16.0, gang=True), queue="batches"))
    placements, _ = placer.decide(BEGUN_AT, WALL)
    assert len(placements) == 10


def test_slow_workers_are_filled():
    """Guards against headroom on slow workers, on which no check ends in time."""
    placer = make_filled_placer(0)
    for name in ("w1", "w2", "w3", "w4", "w5"):
        placer.workers[name].health.speed = 0.5
    for number in range(40):
        step = make_step(4, cores=2.0, run_time_s=4.0)
        submit(placer, make_job(step, job_id=f"{number:016x}", queue="batches"))
    for passed in range(3):
        placer.decide(BEGUN_AT + 0.1 * passed, WALL)
    slow = [placer.workers[name].free.cores for name in ("w1", "w2", "w3", "w4", "w5")]
    assert slow == [0.0] * 5


def test_pools_without_urgent_queues_have_no_headroom():
    """Guards against idle cores in a pool without urgent work."""
    placer = make_placer(BATCHES, n_workers=2)
    submit(placer, make_job(make_step(40, cores=2.0, run_time_s=4.0), queue="batches"))
    placer.decide(BEGUN_AT, WALL)
    assert free_cores(placer) == 0.0


def test_headroom_follows_the_load_within_its_bounds():
    """Guards against headroom for a burst that is long over, and beyond its bounds."""
    headroom = Headroom()
    assert headroom.target_cores(CAPACITY) == MIN_FRACTION * CAPACITY
    headroom.observe(50.0, 1.0)
    assert headroom.target_cores(CAPACITY) == MAX_FRACTION * CAPACITY
    for passed in range(1, 60):
        headroom.observe(0.0, 1.0 + passed * AVERAGING_TIME_S / 10)
    assert headroom.target_cores(CAPACITY) == MIN_FRACTION * CAPACITY
    assert 0 < BUSY_FRACTION < 1
