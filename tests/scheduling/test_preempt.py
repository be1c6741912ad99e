"""Preemption, quotas and lending."""

from __future__ import annotations

from cuminhill.model import Resources
from cuminhill.scheduling.events import QuotasChanged, RecordStart, WeightsChanged
from cuminhill.scheduling.policies import Weights
from cuminhill.scheduling.quotas import TeamQuota

from .conftest import controls, starts


def test_order_preempts_batch_and_the_batch_keeps_its_progress(harness):
    """Guards against urgent work that waits for batch, and against lost progress."""
    harness.report("w0")
    _, running = harness.start_batch(cores=8.0, n_tasks=2, run_time_s=100.0)
    harness.accept("order", cores=4.0)
    given = harness.run(1.0)
    (checkpoint,) = controls(given, "checkpoint")
    (victim,) = [a for a in running if a.task_id == checkpoint.task_id]
    _, given = harness.end(victim, ok=False, remaining_s=60.0)
    assert [a for a in given if isinstance(a, RecordStart)]
    for action in running:
        if action is not victim:
            harness.end(action)
    (again,) = [a for a in starts(harness.actions) if a.task_id == victim.task_id][1:]
    assert again.run_time_s == 60.0


def test_lost_checkpoint_becomes_a_stop_within_the_urgent_bound(harness):
    """Guards against urgent work that waits for a checkpoint that never ends."""
    harness.report("w0")
    _, (start,) = harness.start_batch(cores=16.0, run_time_s=100.0)
    harness.accept("order", cores=4.0)
    began = harness.now
    while not controls(harness.actions, "stop"):
        harness.run(0.3)
        harness.report("w0", [(start.task_id, start.request.need)])
        assert harness.now - began < 1.7


def test_lent_share_is_taken_back(harness):
    """Guards against a team that waits although its guaranteed share is lent."""
    harness.send(QuotasChanged({"a": TeamQuota(0.5), "b": TeamQuota(0.5)}))
    harness.report("w0")
    _, running = harness.start_batch(cores=4.0, n_tasks=4, run_time_s=1e4, team="a")
    wanted, given = harness.accept("batch", cores=4.0, n_tasks=4, team="b")
    assert starts(given) == []
    for _ in range(10):
        for checkpoint in controls(harness.run(0.5), "checkpoint"):
            (victim,) = [a for a in running if a.task_id == checkpoint.task_id]
            harness.end(victim, ok=False, remaining_s=1.0)
            for action in starts(harness.actions):
                harness.running(action)
    assert len([a for a in starts(harness.actions) if a.request == wanted]) == 2


def test_hard_limit_holds_and_refuses_only_what_it_rules_out(harness):
    """Guards against work beyond a hard limit and against needless rejection."""
    limit = TeamQuota(limit=Resources(4, 64_000, 0, 8, 64))
    harness.send(QuotasChanged({"t": limit}))
    harness.report("w0")
    fits = harness.request("batch", cores=3.0, n_tasks=5)
    gang = harness.request("gang", cores=3.0, n_tasks=2)
    assert harness.placer.refusal(fits, harness.now) is None
    assert harness.placer.refusal(gang, harness.now).reason == "quota"
    _, given = harness.accept("batch", cores=3.0, n_tasks=3)
    (first,) = starts(given)
    harness.running(first)
    assert len(starts(harness.end(first)[1])) == 1


def test_check_is_placed_under_saturating_batch_load(harness):
    """Guards against checks that wait behind batch work."""
    for index in range(8):
        harness.report(f"w{index}")
    harness.run(1.5)
    harness.start_batch(n_tasks=80, run_time_s=1e4)
    harness.run(1.5)
    assert len(starts(harness.accept("check")[1])) == 1


def test_weights_change_at_run_time(harness):
    """Guards against a changed weight that takes effect only after a restart."""
    harness.send(WeightsChanged(Weights(check_reserve=0.5)))
    for index in range(8):
        harness.report(f"w{index}")
    harness.run(1.5)
    harness.accept("batch", n_tasks=64)
    harness.run(1.5)
    assert len(starts(harness.actions)) == 60
    harness.send(WeightsChanged(Weights(check_reserve=0.0)))
    harness.run(1.5)
    assert len(starts(harness.actions)) == 64


def test_refusal_names_what_the_nearest_worker_lacks(harness):
    """Guards against a rejection that does not name the missing resources."""
    harness.report("w0")
    refused = harness.placer.refusal(harness.request("batch", cores=20.0), harness.now)
    assert refused.reason == "infeasible"
    assert "lacks 4 cores" in refused.detail
