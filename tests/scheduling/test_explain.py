"""Explanations of placement decisions."""

from __future__ import annotations

from .conftest import starts


def test_waiting_request_tells_what_would_let_it_start(harness):
    """Guards against a waiting request without a useful explanation."""
    harness.report("w0")
    harness.start_batch(cores=14.0, run_time_s=1e4)
    request, _ = harness.accept("batch", cores=5.0)
    explained = harness.placer.explain(request.request_id, harness.now)
    assert explained["waits"]["for"] == "room on a worker"
    assert explained["waits"]["would_start_if"] == "w0 freed 3 cores"


def test_placed_task_tells_why_it_is_there(harness):
    """Guards against a placement without an explanation."""
    harness.report("w0")
    request, given = harness.accept("batch")
    (task,) = harness.placer.explain(request.request_id)["tasks"]
    assert (task["phase"], task["worker"]) == ("starting", "w0")
    assert "least is left over" in task["placed_because"]
    harness.end(starts(given)[0], ok=False)
    (task,) = harness.placer.explain(request.request_id, harness.now)["tasks"]
    assert "failed 1 times; the next try is in" in task["why"]


def test_waiting_gang_tells_its_reservation(harness):
    """Guards against a gang whose reserved capacity looks idle."""
    for name in ("w0", "w1"):
        harness.report(name)
    harness.start_batch(cores=16.0, run_time_s=30.0)
    request, _ = harness.accept("gang", n_tasks=2, cores=16.0)
    harness.run(1)
    waits = harness.placer.explain(request.request_id, harness.now)["waits"]
    assert len(waits["reserved_on"]) == 2
    assert len(waits["still_in_use"]) == 1
    assert 0 < waits["expected_in_s"] <= 30
