"""Learned run times and speeds, and measured usage."""

from __future__ import annotations

from .conftest import controls, finishes, starts


def run_one(harness, cores=16.0, run_s=1.0, **fields):
    """Run a batch task that takes ``run_s`` times the declared time."""
    harness.accept("batch", cores=cores, run_time_s=10.0, **fields)
    harness.run(0.1)
    (start,) = starts(harness.actions)[-1:]
    harness.running(start)
    harness.end(start, run_s=10.0 * run_s)


def test_correction_of_a_class_is_learned_and_bounded(harness):
    """Guards against unbounded corrections of wrong declarations."""
    harness.report("w0")
    for _ in range(40):
        run_one(harness, run_s=1000.0, job_class="wild")
        run_one(harness, run_s=2.0, job_class="late")
    shard = harness.placer._shard
    wild = shard.estimates.correction(harness.request("batch", job_class="wild"))
    late = shard.estimates.correction(harness.request("batch", job_class="late"))
    assert wild <= 8.0 + 1e-9
    assert 1.0 < late < 8.0


def test_fast_worker_is_preferred_for_orders_once_it_is_known(harness):
    """Guards against urgent work on workers slower than their reported speed."""
    for name in ("w0", "w1"):
        harness.report(name)
    for _ in range(30):
        _, given = harness.accept("batch", n_tasks=2, cores=16.0, run_time_s=10.0)
        for start in starts(given):
            harness.running(start)
            harness.end(start, run_s=30.0 if start.worker_id == "w0" else 10.0)
    assert len(finishes(harness.actions)) == 30
    (record,) = harness.accept("order")[1]
    assert record.worker_id == "w1"


def test_measured_usage_reduces_capacity_and_a_low_report_adds_none(harness):
    """Guards against overcommitment caused by the usage that a worker reports."""
    harness.report("w0")
    _, (start,) = harness.start_batch(cores=4.0, run_time_s=1e4)
    reported_tasks = [(start.task_id, start.request.need)]
    for _ in range(12):
        harness.now += 0.35
        harness.report("w0", reported_tasks, usage_cores=14.0)
    assert starts(harness.accept("batch", cores=4.0)[1]) == []
    for _ in range(12):
        harness.now += 0.35
        harness.report("w0", reported_tasks, usage_cores=0.5)
    harness.accept("batch", cores=8.0)
    assert len(starts(harness.actions)) == 3
    assert starts(harness.accept("batch", cores=1.0)[1]) == []


def test_overuse_is_throttled_then_checkpointed_then_stopped(harness):
    """Guards against stopping a task before throttling or checkpointing it."""
    harness.report("w0")
    _, (start,) = harness.start_batch(cores=4.0, run_time_s=1e4)
    _, (other,) = harness.start_batch(cores=4.0, run_time_s=1e4)
    for _ in range(60):
        harness.now += 0.35
        on = [a for a in (start, other) if a.task_id in harness.placer._shard.tasks]
        for action in controls(harness.actions, "checkpoint")[:1]:
            on = [a for a in on if a.task_id != action.task_id]
        harness.report(
            "w0", [(a.task_id, a.request.need) for a in on], usage_cores=20.0
        )
    verbs = [a.verb for a in harness.actions if hasattr(a, "verb")]
    assert verbs[:3] == ["throttle", "checkpoint", "stop"]
