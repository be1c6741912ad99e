"""Gangs: all-or-none placement, reservation and backfill."""

from __future__ import annotations

import pytest

from .conftest import controls, starts


def fill(harness, n_workers, run_time_s=5.0):
    """Fill each worker with one task; return their start actions."""
    for index in range(n_workers):
        harness.report(f"w{index}")
    _, given = harness.start_batch(n_tasks=n_workers, cores=16.0, run_time_s=run_time_s)
    return given


def test_two_big_gangs_both_run(harness):
    """Guards against a deadlock of two gangs that hold what the other needs."""
    filled = fill(harness, 4)
    gangs = [harness.accept("gang", n_tasks=3, cores=16.0)[0] for _ in range(2)]
    harness.actions.clear()
    for action in filled:
        harness.end(action)
        harness.run(1)
    for action in starts(harness.actions):
        harness.running(action)
        harness.end(action)
    harness.run(3)
    order = starts(harness.actions)
    ids = [action.request.request_id for action in order]
    assert ids == [gangs[0].request_id] * 3 + [gangs[1].request_id] * 3


def test_gang_is_not_starved_by_a_stream_of_small_tasks(harness):
    """Guards against small tasks that keep using the capacity that a gang needs."""
    running = fill(harness, 2)
    gang, _ = harness.accept("gang", n_tasks=2, cores=16.0)
    harness.run(1)
    for _ in range(30):
        harness.accept("batch", cores=8.0, run_time_s=100.0)
        if running:
            harness.end(running.pop(0))
        harness.run(0.3)
    assert len([a for a in starts(harness.actions) if a.request == gang]) == 2


def test_short_task_is_backfilled_behind_a_gang(harness):
    """Guards against reserved capacity that idles although a task would fit."""
    running = fill(harness, 2, run_time_s=60.0)
    harness.accept("gang", n_tasks=2, cores=16.0)
    harness.end(running[0])
    harness.run(1)
    assert len(starts(harness.accept("batch", cores=8.0, run_time_s=5.0)[1])) == 1
    assert starts(harness.accept("batch", cores=8.0, run_time_s=500.0)[1]) == []


def test_gang_starts_soon_and_checkpoints_what_is_in_its_way(harness):
    """Guards against reserved capacity that idles until the last task ends."""
    running = fill(harness, 2, run_time_s=1e4)
    gang, _ = harness.accept("gang", n_tasks=2, cores=16.0)
    harness.run(2.5)
    assert len(controls(harness.actions, "checkpoint")) == 2
    harness.actions.clear()
    for action in running:
        harness.end(action, ok=False, remaining_s=5.0)
    assert [a.request for a in starts(harness.actions)] == [gang, gang]


@pytest.mark.parametrize("overrun_s", [3.0, 30.0])
def test_gang_does_not_wait_for_an_overdue_task_beside_idle_workers(harness, overrun_s):
    """Guards against a ready gang that waits while enough workers are idle.

    A task that runs longer than estimated was expected to end at once, so that its
    worker was reserved as if it were free, and the gang with the reservation was
    tried on no other worker.
    """
    for index in range(3):
        harness.report(f"w{index}")
    given = []
    for _ in range(3):
        given += starts(harness.accept("gang", cores=16.0, run_time_s=1.0)[1])
    running = {action.worker_id: action for action in given}
    for action in given:
        harness.running(action)
    gang, _ = harness.accept("gang", n_tasks=2, cores=16.0)
    harness.run(overrun_s)
    harness.end(running["w1"])
    harness.end(running["w2"])
    harness.run(2.5)  # the reservation is replaced after 2 s
    started = [a.worker_id for a in starts(harness.actions) if a.request == gang]
    assert sorted(started) == ["w1", "w2"]
