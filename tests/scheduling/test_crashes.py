"""Tests of the limit on tasks of requests that crash the workers that start them."""

from __future__ import annotations

import pytest

from cuminhill.scheduling.crashes import MAX_CRASHES
from cuminhill.scheduling.events import WorkerLeaving, WorkerStopped, WorkerUnreachable
from cuminhill.util.coincidence import RATE_WINDOWS_S

from .conftest import finishes, starts

MAX_STARTS = 5  # three crashes and two more starts


def restart(harness, worker_id, number):
    """Have the next incarnation of a worker answer a renewal."""
    return harness.report(worker_id, incarnation=f"i{number}", epoch=number + 1)


def n_crashes(harness):
    """Return the crashes counted against each task."""
    tasks = harness.placer._shard.tasks
    return {task_id: task.n_crashes for task_id, task in tasks.items()}


@pytest.fixture
def workers(harness):
    """Register six workers, none of which crashes for a minute."""
    for now in (harness.now, harness.now + max(RATE_WINDOWS_S)):
        harness.now = now
        for number in range(6):
            harness.report(f"w{number}")
    return harness


# Guards against one request that takes down worker after worker without end.
@pytest.mark.parametrize("kind", ["batch", "check", "service"])
def test_a_task_that_crashes_each_worker_is_given_up(workers, kind):
    _, given = workers.accept(kind)
    n_starts, answers = 0, []
    for number in range(1, MAX_STARTS + 2):
        begun = starts(given)
        if not begun:
            break
        n_starts += len(begun)
        workers.running(begun[0])
        given = restart(workers, begun[0].worker_id, number)
        given += workers.run(1.0)
        answers += finishes(given)
    assert n_starts == 2
    assert [answer.state for answer in answers] == ["failed"]
    assert "crashed 2 workers" in answers[0].detail


# Guards against failed requests on a day on which workers lose power in series: starts
# that never arrived, and crashes that met a task by chance, are no proof.
def test_workers_that_crash_in_series_blame_no_task(workers):
    _, given = workers.accept("batch")
    answers = finishes(given)
    for number in range(1, 2 * MAX_CRASHES):
        (begun,) = starts(given)
        for other in range(6):  # all workers crash, one after the other
            worker_id = f"w{other}"
            if worker_id != begun.worker_id:
                restart(workers, worker_id, number)
        given = restart(workers, begun.worker_id, number)
        given += workers.run(1.0)
        answers += finishes(given)
    assert answers == []


# Guards against blame for a worker that a start need not have reached.
def test_a_start_without_an_answer_is_no_proof(workers):
    _, given = workers.accept("batch")
    (start,) = starts(given)
    restart(workers, start.worker_id, 1)
    task = workers.placer._shard.tasks[start.task_id]
    assert (task.n_crashes, task.n_blamed) == (1, 0)


# Guards against a check that crashes a worker with each restart that does not wait.
def test_a_check_is_restarted_early_only_once(workers):
    _, given = workers.accept("check")
    for n_restarts in (1, 0):
        (start,) = starts(given)
        workers.running(start)
        given = workers.send(WorkerUnreachable(start.worker_id))
        given += workers.run(1.0)
        assert len(starts(given)) == n_restarts
    given = workers.send(WorkerStopped(start.worker_id))
    assert len(starts(given + workers.run(1.0))) == 1


# Guards against failed requests whose tasks only ran on a worker that crashed.
def test_tasks_that_have_survived_their_start_are_not_suspected(workers):
    request, (start,) = workers.start_batch(run_time_s=100.0)
    workers.now += 5.0
    workers.report(start.worker_id, [(start.task_id, request.need)])
    _, given = workers.accept("batch", cores=1.0)
    (deadly,) = starts(given)
    assert deadly.worker_id == start.worker_id
    workers.running(deadly)
    restart(workers, start.worker_id, 1)
    assert n_crashes(workers) == {start.task_id: 0, deadly.task_id: 1}


# Guards against a crash with several suspects, which would leave the cause open again.
def test_suspects_start_one_after_the_other(workers):
    _, given = workers.accept("batch", n_tasks=3)
    begun = starts(given)
    worker_id = begun[0].worker_id
    same = [start for start in begun if start.worker_id == worker_id]
    for start in begun:
        workers.running(start)
    given = restart(workers, worker_id, 1)
    n_again = [len(starts(given))]
    for _ in range(3):
        n_again.append(len(starts(workers.run(0.6))))
    assert sum(n_again) == len(same)
    assert max(n_again) == 1


# Guards against a limit that a long absence of the crashed worker evades.
def test_a_crash_counts_when_it_shows_only_after_the_lease(workers):
    _, given = workers.accept("batch")
    (start,) = starts(given)
    workers.running(start)
    workers.send(WorkerUnreachable(start.worker_id))
    workers.send(WorkerStopped(start.worker_id))
    workers.now += 1.0
    restart(workers, start.worker_id, 1)
    task = workers.placer._shard.tasks[start.task_id]
    assert (task.n_crashes, task.n_blamed) == (1, 1)


# Guards against blame for a worker that the platform removes, or that was only silent.
def test_neither_a_planned_exit_nor_silence_is_a_crash(workers):
    _, given = workers.accept("batch")
    (start,) = starts(given)
    workers.running(start)
    workers.send(WorkerLeaving(start.worker_id))
    (again,) = starts(restart(workers, start.worker_id, 1) + workers.run(1.0))
    task = workers.placer._shard.tasks[start.task_id]
    for _ in range(MAX_CRASHES + 1):
        workers.running(again)
        workers.send(WorkerUnreachable(again.worker_id))
        (again,) = starts(workers.send(WorkerStopped(again.worker_id)))
    assert (task.n_crashes, task.n_blamed) == (0, 0)


# Guards against evidence of an earlier silence that hides what is on the worker now.
def test_the_evidence_of_a_silence_ends_with_it(workers):
    _, given = workers.accept("batch")
    (start,) = starts(given)
    workers.running(start)
    workers.send(WorkerUnreachable(start.worker_id))
    workers.report(start.worker_id, [(start.task_id, start.request.need)])
    workers.now += 5.0
    workers.report(start.worker_id, [(start.task_id, start.request.need)])
    _, given = workers.accept("batch")
    (deadly,) = starts(given)
    assert deadly.worker_id == start.worker_id
    workers.running(deadly)
    restart(workers, start.worker_id, 1)
    assert n_crashes(workers) == {start.task_id: 0, deadly.task_id: 1}
