"""Reconciliation of tasks with the reports of their workers."""

from __future__ import annotations

import pytest

from cuminhill.coordination.claims import Started
from cuminhill.model import Resources
from cuminhill.platform.worker import TaskResult
from cuminhill.scheduling.events import (
    CancelRequested,
    FenceWorker,
    RecordStart,
    RequestEnded,
    RosterComplete,
    StartOutcome,
    StartRecorded,
    StartReplied,
    TaskEnded,
    WorkerStopped,
    WorkerUnreachable,
)

from .conftest import Harness, controls, finishes, starts

ONE = Resources(1, 256, 0, 1, 1)
WHOLE = Resources(16, 256, 0, 1, 1)


def unknown(action):
    return StartReplied(action.task_id, action.worker_id, StartOutcome.UNKNOWN)


def refused(action):
    return StartReplied(action.task_id, action.worker_id, StartOutcome.REFUSED)


def test_lost_stop_call_is_repeated(harness):
    """Guards against a cancelled task that runs on because its stop was lost."""
    harness.report("w0")
    request, (start,) = harness.start_batch(run_time_s=1e6)
    assert controls(harness.send(CancelRequested(request.request_id)))
    harness.now += 2.0
    assert controls(harness.report("w0", [(start.task_id, ONE)]))


def test_cancelled_uncertain_start_keeps_its_capacity(harness):
    """Guards against capacity reused while a start call may still take effect."""
    harness.report("w0")
    request, given = harness.accept("batch", need=WHOLE)
    (start,) = starts(given)
    assert FenceWorker("w0") in harness.send(unknown(start))
    given = harness.send(CancelRequested(request.request_id))
    given += harness.report("w0")
    assert finishes(given) == []
    assert starts(harness.accept("batch", need=WHOLE)[1]) == []
    given = harness.report("w0", epoch=2)
    assert [answer.state for answer in finishes(given)] == ["cancelled"]
    assert len(starts(given)) == 1


def test_ended_request_keeps_its_capacity_until_the_start_call_is_over(harness):
    """Guards against overcommitment by a start in flight of an ended request."""
    harness.report("w0")
    request, given = harness.accept("batch", need=WHOLE)
    harness.send(RequestEnded(request.request_id))
    harness.report("w0")
    assert starts(harness.accept("batch", need=WHOLE)[1]) == []
    given = harness.send(refused(starts(given)[0])) if starts(given) else []
    assert len(starts(given + harness.report("w0"))) == 1


def test_late_reply_of_another_worker_is_ignored(harness):
    """Guards against a second start when the reply of the first worker is late."""
    harness.report("w0")
    _, given = harness.accept("check")
    (first,) = starts(given)
    harness.report("w1")
    (second,) = starts(harness.send(WorkerUnreachable("w0")))
    assert second.worker_id == "w1"
    assert starts(harness.send(refused(first))) == []
    assert harness.placer.workers["w1"].needs


def test_redelivered_result_of_earlier_try_is_ignored(harness):
    """Guards against a double run when a failed result is delivered twice."""
    harness.report("w0")
    _, (start,) = harness.start_batch(run_time_s=5.0)
    result, given = harness.end(start, ok=False)
    (again,) = starts(given + harness.run(5))
    harness.running(again)
    given = harness.report("w0", [(again.task_id, ONE)], [result])
    given += harness.send(TaskEnded("w0", result)) + harness.run(5)
    assert starts(given) == []
    assert again.task_id in harness.placer.workers["w0"].needs


def test_result_of_earlier_worker_leaves_the_present_try_alone(harness):
    """Guards against lost capacity when a removed worker returns with a result."""
    harness.report("w0")
    _, (start,) = harness.start_batch(need=WHOLE)
    result, _ = harness.end(start, ok=False, seq=1), harness.now
    harness.report("w1")
    harness.send(WorkerStopped("w0"))
    (again,) = starts(harness.run(5)) or starts(harness.actions)[1:]
    assert again.worker_id == "w1"
    harness.running(again)
    given = harness.report("w0", [], [result[0]], epoch=2)
    assert starts(given) == []
    assert again.task_id in harness.placer.workers["w1"].needs


@pytest.mark.parametrize("cause", ["restart", "stopped"])
def test_cancelled_task_of_lost_worker_ends(harness, cause):
    """Guards against a cancelled request that never gets its answer."""
    harness.report("w0")
    request, _ = harness.accept("batch")
    given = harness.send(CancelRequested(request.request_id))
    if cause == "restart":
        given += harness.report("w0", epoch=9, incarnation="i1")
    else:
        given += harness.send(WorkerStopped("w0"))
    assert [answer.state for answer in finishes(given)] == ["cancelled"]


def test_cancelled_held_task_ends(harness):
    """Guards against an inherited cancelled request that never gets its answer."""
    request, _ = harness.accept("batch", inherited=True)
    given = harness.send(CancelRequested(request.request_id))
    given += harness.send(RosterComplete(frozenset()))
    assert [answer.state for answer in finishes(given)] == ["cancelled"]


def test_request_that_ran_is_not_answered_not_run(harness):
    """Guards against "not run" for a request whose task has run (P4)."""
    harness.report("w0")
    harness.start_batch(deadline=harness.now + 3.0, run_time_s=50.0)
    harness.send(WorkerStopped("w0"))
    answers = finishes(harness.run(5))
    assert all(answer.state != "not_run" for answer in answers)


def test_rest_of_partly_run_request_ends_after_its_deadline(harness):
    """Guards against a request without an answer when its tasks start too late."""
    harness.report("w0")
    harness.accept("batch", n_tasks=2, cores=16.0, deadline=harness.now + 3.0)
    (start,) = starts(harness.actions)
    harness.running(start)
    assert finishes(harness.run(5)) == []
    _, given = harness.end(start)
    assert [answer.state for answer in finishes(given)] == ["failed"]


def test_older_report_is_ignored(harness):
    """Guards against an epoch that an older reply sets back."""
    harness.report("w0")
    harness.report("w0", epoch=5, incarnation="i1")
    harness.report("w0", epoch=1, sent_at=harness.now - 5.0)
    worker = harness.placer.workers["w0"]
    assert (worker.epoch, worker.incarnation) == (5, "i1")


def test_results_of_restarted_service_are_settled(harness):
    """Guards against a worker that must keep every result of a live service."""
    harness.report("w0")
    _, given = harness.accept("service", run_time_s=1e6)
    (start,) = starts(given)
    harness.running(start)
    harness.end(start, ok=False, run_s=500.0)
    harness.report("w0")
    assert harness.placer.workers["w0"].ack_seq == 1


def test_other_tasks_of_an_order_run_on_when_one_is_unknown(harness):
    """Guards against interrupting order tasks because another was lost."""
    for name in ("w0", "w1"):
        harness.report(name)
    request, given = harness.accept("order", n_tasks=2, cores=16.0)
    records = [action for action in given if isinstance(action, RecordStart)]
    for offset, record in enumerate(records):
        recorded = StartRecorded(record.task_id, request.request_id, True, offset)
        (start,) = starts(harness.send(recorded))
        harness.running(start)
    given = harness.send(WorkerStopped(records[0].worker_id))
    assert finishes(given) == []
    _, given = harness.end(starts(harness.actions)[1])
    (answer,) = finishes(given)
    assert (answer.state, len(answer.results)) == ("unknown", 1)


def test_order_started_by_another_placer_is_resolved(harness):
    """Guards against an order that never resolves after a lost started record."""
    harness.report("w0", epoch=7)
    request, given = harness.accept("order")
    (record,) = [action for action in given if isinstance(action, RecordStart)]
    other = Started(request.request_id, record.task_id, "w0", 3, "i0", "other")
    harness.send(
        StartRecorded(record.task_id, request.request_id, False, 9, other=other)
    )
    (record,) = [a for a in harness.report("w0", epoch=7) if isinstance(a, RecordStart)]
    assert record.prior == 9


def test_gang_is_regrouped_when_one_start_is_refused(harness):
    """Guards against a gang of which only a part runs."""
    harness.report("w0")
    harness.report("w1")
    _, given = harness.accept("gang", n_tasks=2, cores=16.0)
    first, second = starts(given)
    harness.running(first)
    given = harness.send(refused(second))
    assert starts(given) == []
    given += harness.report(second.worker_id)
    verbs = [a.verb for a in given if hasattr(a, "verb")]
    assert verbs == ["checkpoint"]
    _, given = harness.end(first, ok=False, remaining_s=0.4)
    again = starts(given + harness.run(5))
    assert sorted(action.run_time_s for action in again) == [0.4, 1.0]


def test_failing_service_is_not_restarted_in_a_loop(harness):
    """Guards against a restart loop of a service that fails immediately."""
    harness.report("w0")
    harness.accept("service")
    for _ in range(200):
        for action in starts(harness.actions[-1:]):
            harness.end(action, ok=False, run_s=0.0)
        harness.tick(0.01)
    assert len(starts(harness.actions)) <= 8


def end_unknown_requests(harness, n_lines, n_requests):
    """Return the work for the ends of some requests with an unexpected task each."""
    ids = [f"id-{number}" for number in range(n_requests)]
    harness.report("w0", [(f"{name}/0", ONE) for name in ids], epoch=2)
    assert len(harness.placer.dump()["strays"]) == n_requests

    def end_all():
        for name in ids:
            stopped = [a.task_id for a in controls(harness.send(RequestEnded(name)))]
            assert stopped == [f"{name}/0"]

    return n_lines(end_all)


def test_ends_of_unknown_requests_do_not_search_all_unexpected_tasks(n_lines):
    """Guards against a takeover that is held up for seconds.

    Each end looked at all tasks of unknown requests that the workers list.
    """
    few, many = (end_unknown_requests(Harness(), n_lines, n) for n in (50, 200))
    assert many < 5 * few


def lose_first_worker(harness, n_lines, n_workers):
    """Return the work for the loss of one of some workers with unexpected tasks."""
    for number in range(n_workers):
        harness.report(f"w{number}", [(f"id-{number}/0", ONE)])
    n_executed = n_lines(lambda: harness.send(WorkerStopped("w0")))
    strays = harness.placer.dump()["strays"]
    assert (len(strays), "id-0/0" in strays) == (n_workers - 1, False)
    return n_executed


def test_a_lost_worker_does_not_search_the_unexpected_tasks_of_others(n_lines):
    """Guards against the loss of a failure domain that is quadratic in its tasks."""
    few, many = (lose_first_worker(Harness(), n_lines, n) for n in (50, 200))
    assert many < 1.2 * few


def test_a_task_that_another_worker_lists_is_stopped_there(harness):
    """Guards against the stop of an unexpected task on a worker that it has left."""
    for name in ("w0", "w1"):
        harness.report(name, [("id-a/0", ONE), ("id/0", ONE)])
    harness.send(WorkerStopped("w0"))
    stops = controls(harness.send(RequestEnded("id")))
    assert [(a.task_id, a.worker_id) for a in stops] == [("id/0", "w1")]
    stops = controls(harness.send(RequestEnded("id-a")))
    assert [(a.task_id, a.worker_id) for a in stops] == [("id-a/0", "w1")]


def end_orphan_requests(harness, n_lines, n_requests):
    """Return the work for the ends of some unknown requests with a result each."""
    results = [
        TaskResult(f"id-{number}/0", f"id-{number}", True, "", None, 0.1, seq=number)
        for number in range(1, n_requests + 1)
    ]
    harness.report("w0", finished=results)
    assert harness.placer.orphan_requests(harness.now + 1.0) == {
        result.request_id for result in results
    }

    def end_all():
        for result in results:
            harness.send(RequestEnded(result.request_id))

    n_executed = n_lines(end_all)
    assert harness.placer.dump()["n_orphans"] == 0
    assert harness.placer.workers["w0"].ack_seq == n_requests
    return n_executed


def test_ends_of_unknown_requests_do_not_search_all_results(n_lines):
    """Guards against a takeover that is held up for seconds.

    Each end looked at all results whose request was unknown.
    """
    few, many = (end_orphan_requests(Harness(), n_lines, n) for n in (50, 200))
    assert many < 5 * few


def test_a_repeated_result_of_an_unknown_request_is_dropped_once(harness):
    """Guards against an unexpected error after two runs of a task have ended."""
    for seq, name in enumerate(("w0", "w1"), start=1):
        result = TaskResult("id/0", "id", True, "", None, 0.1, seq=seq)
        harness.report(name, finished=[result])
    assert harness.placer.dump()["n_orphans"] == 1
    harness.send(RequestEnded("id"))
    harness.send(RequestEnded("id"))
    assert harness.placer.dump()["n_orphans"] == 0
