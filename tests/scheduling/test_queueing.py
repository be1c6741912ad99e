"""Queue order: urgency, fair shares, priority, deadline, age."""

from __future__ import annotations

import pytest

from cuminhill.scheduling import intake
from cuminhill.scheduling.events import CancelRequested

from .conftest import finishes, starts


def started(harness, running):
    """End the tasks of one full worker and return what starts in their place."""
    harness.actions.clear()
    for action in running:
        harness.end(action)
    return [action.request for action in starts(harness.actions)]


@pytest.fixture
def full(harness):
    """Tasks that fill the only worker."""
    harness.report("w0")
    return harness.start_batch(cores=16.0, run_time_s=1e4, team="other")[1]


def test_urgent_then_priority_then_deadline_then_age(harness, full):
    """Guards against urgent or important work behind older work."""
    soon = harness.now + 1000.0
    old, _ = harness.accept("batch", cores=4.0)
    dated, _ = harness.accept("batch", cores=4.0, deadline=soon)
    vital, _ = harness.accept("batch", cores=4.0, priority=5)
    check, _ = harness.accept("check", cores=4.0)
    assert started(harness, full) == [check, vital, dated, old]


def test_teams_share_by_their_dominant_resource(harness, full):
    """Guards against a team that gets more because it submitted first."""
    first = [harness.accept("batch", cores=2.0, team="a")[0] for _ in range(20)]
    harness.accept("batch", cores=2.0, team="b", n_tasks=20)
    given = started(harness, full)
    assert len(given) == 8
    assert sum(request in first for request in given) == 4


def test_smaller_task_starts_where_a_larger_does_not_fit(harness):
    """Guards against idle capacity while the first in the queue does not fit."""
    harness.report("w0")
    harness.start_batch(cores=10.0, run_time_s=1e4)
    harness.accept("batch", cores=12.0)
    assert len(starts(harness.accept("batch", cores=6.0)[1])) == 1


def test_wave_of_cancellations_leaves_the_rest_in_order(harness, full):
    """Guards against a queue that a burst of cancellations corrupts."""
    requests = [harness.accept("batch", cores=4.0)[0] for _ in range(200)]
    for request in requests[:-3]:
        harness.send(CancelRequested(request.request_id))
    assert len(finishes(harness.actions)) == 197
    assert started(harness, full) == requests[-3:]


def test_full_queue_refuses_as_overload(harness, monkeypatch):
    """Guards against an unbounded queue."""
    harness.report("w0")
    monkeypatch.setattr(intake, "MAX_QUEUED_TASKS", 10)
    harness.accept("batch", cores=16.0, n_tasks=10)
    refused = harness.placer.refusal(harness.request("batch", n_tasks=2), harness.now)
    assert refused.reason == "overload"
