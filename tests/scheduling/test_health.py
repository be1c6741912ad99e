"""Workers that fail every task, and jobs that fail on every worker."""

from __future__ import annotations

from cuminhill.scheduling.events import StartTask

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
