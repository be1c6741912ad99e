"""Workers that fail every task, and jobs that fail on every worker."""

from __future__ import annotations

import pytest

from cuminhill.scheduling.events import StartTask
from cuminhill.scheduling.health import EJECT_AFTER, PROBE_BASE_S

from .conftest import finishes, starts


def drive(harness, fails, seconds):
    """Run a stream; ``fails(action)`` selects the tasks that fail at once."""
    seen = 0
    for _ in range(round(seconds * 10)):
        harness.run(0.1)
        while seen < len(harness.actions):
            action = harness.actions[seen]
            seen += 1
            if isinstance(action, StartTask):
                harness.end(action, ok=not fails(action))


def test_black_hole_gets_a_bounded_number_of_tasks(harness):
    """Guards against a worker that attracts and fails all work."""
    for index in range(4):
        harness.report(f"w{index}")
    for _ in range(30):
        harness.accept("batch", n_tasks=2)
    drive(harness, lambda action: action.worker_id == "w1", 10)
    answers = finishes(harness.actions)
    n_failed = sum(a.worker_id == "w1" for a in starts(harness.actions))
    assert [answer.state for answer in answers] == ["done"] * 30
    assert n_failed <= 20  # 16 may be placed before the first failure is reported


def test_ejected_worker_returns_after_a_good_probe(harness):
    """Guards against a repaired worker that stays out of service."""
    for name in ("w0", "w1", "w2"):
        harness.report(name)
    for _ in range(20):
        harness.accept("batch", cores=8.0)
    drive(harness, lambda action: action.worker_id == "w1", 3)
    harness.actions.clear()
    for _ in range(4):
        harness.accept("order")  # none of them may serve as a probe
    harness.run(10)
    given = starts(harness.actions)
    assert all(action.worker_id != "w1" for action in given)
    for _ in range(6):
        harness.accept("batch", cores=16.0)
    drive(harness, lambda action: False, 10)
    assert not harness.placer.workers["w1"].ejected


def test_poison_job_stops_and_takes_no_worker_with_it(harness):
    """Guards against endless retries of a failing job and ejections due to it."""
    for index in range(6):
        harness.report(f"w{index}")
    request, _ = harness.accept("batch")
    drive(harness, lambda action: action.request == request, 20)
    given = [a for a in starts(harness.actions) if a.request == request]
    assert len({action.worker_id for action in given}) == len(given) == 3
    assert [answer.state for answer in finishes(harness.actions)] == ["failed"]
    assert not any(worker.ejected for worker in harness.placer.workers.values())


@pytest.mark.parametrize(("kind", "n_ejected"), [("check", 20), ("service", 40)])
def test_many_workers_due_for_a_probe_hide_no_healthy_one(harness, kind, n_ejected):
    """Guards against a ready task that waits beside a worker with room.

    Idle workers that are due for a probe come first in the order of free capacity, and
    a search stopped after 12 or 32 of them, none of which may run such a task.
    """
    for index in range(n_ejected + 1):
        harness.report(f"w{index}")
    shard = harness.placer._shard
    for index in range(n_ejected):
        health = shard.health.of(f"w{index}")
        for number in range(EJECT_AFTER):
            health.record_failure(f"t{number}", f"r{number}", harness.now)
        shard.set_ejected(shard.workers[f"w{index}"], ejected=True)
    _, given = harness.start_batch(cores=1.0, run_time_s=1e4)
    assert [action.worker_id for action in given] == [f"w{n_ejected}"]
    harness.run(PROBE_BASE_S + 1.0)
    harness.actions.clear()
    request, _ = harness.accept(kind, cores=1.0)
    harness.run(3)
    given = starts(harness.actions)
    assert [(a.request, a.worker_id) for a in given] == [(request, f"w{n_ejected}")]
