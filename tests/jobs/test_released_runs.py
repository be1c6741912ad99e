"""Tests of runs whose end a term has learned and could not write to the journal."""

from __future__ import annotations

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.jobs.leasebounds import ReleasedRun
from cuminhill.jobs.model import JobState
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import decode_progress, encode_progress
from cuminhill.jobs.watch import release_gone
from cuminhill.util.kernel import run_to_end

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    ended_row,
    make_entry,
    make_job,
    make_placer,
    make_queue,
    make_step,
    make_table,
    mark_started,
    running_row,
    submit,
    task_key,
)

# A term begins within 3 s when the one before it can't write; the leases of the worker
# take longer to lapse.
IN_TIME_S = 4.5


# Guards against a task that is moved from a leaving worker and stands still until the
# leases there have lapsed: its placer knew that the run had ended but could not write
# it, and the worker was gone when the next term asked (rule LOST).
def test_the_next_term_learns_of_an_end_that_was_not_written(cluster):
    async def scenario():
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        for vm in ("vm0", "vm1", "vm2"):
            await cluster.start_node(vm)
        await cluster.wait_for(cluster.leader)
        leader = cluster.leader()
        vm = next(vm for vm, node in cluster.nodes.items() if node is leader)
        job = make_job(make_step(long_running=True))
        await cluster.submit(leader, job)
        await cluster.wait_for(cluster.workers.history)
        (run,) = cluster.workers.history()
        await curio.sleep(1.0)
        stop = cluster.workers.stop

        async def stop_and_cut(*args, **more):
            cluster.views[vm][0].faults.unresponsive = True
            await stop(*args, **more)

        cluster.workers.stop = stop_and_cut
        cluster.drain_worker(run.worker_id)
        progress = leader.leadership.placer.jobs[job.job_id]
        await cluster.wait_for(lambda: not progress.task(task_key()).worker)
        ended_at = boottime()
        cluster.remove_worker(run.worker_id)
        await cluster.wait_for(
            lambda: any(item.run == 2 for item in cluster.workers.history()), 20.0
        )
        assert boottime() - ended_at < IN_TIME_S

    run_to_end(scenario)


# Guards against a step without a turn until the leases on a worker that has left have
# lapsed, and the step before it has run again: its placer knew that it was done but
# could not write it, and the worker was gone when the next term asked (rule LOST).
@pytest.mark.parametrize(("n_steps", "gang"), [(2, False), (2, True), (1, False)])
def test_the_next_term_learns_that_a_run_is_done(cluster, n_steps, gang):
    async def scenario():
        for worker in cluster.workers.workers.values():
            worker.run_time_s = 1.5
        for vm in ("vm0", "vm1", "vm2"):
            await cluster.start_node(vm)
        await cluster.wait_for(cluster.leader)
        leader = cluster.leader()
        vm = next(vm for vm, node in cluster.nodes.items() if node is leader)
        steps = make_step(gang=gang), make_step(after=(0,))
        job = make_job(*steps[:n_steps])
        await cluster.submit(leader, job)
        await cluster.wait_for(cluster.workers.history)
        await curio.sleep(0.5)
        (run,) = cluster.workers.history()
        progress = leader.leadership.placer.jobs[job.job_id]
        cluster.views[vm][0].faults.unresponsive = True
        await cluster.wait_for(lambda: (0, 0) in progress.finished)
        ended_at = boottime()
        cluster.remove_worker(run.worker_id)

        def is_next():
            if n_steps > 1:
                return any(item.key.step for item in cluster.workers.history())
            other = cluster.leader()
            return other and cluster.state(other, job.job_id) is JobState.COMPLETED

        await cluster.wait_for(is_next, 20.0)
        assert boottime() - ended_at < IN_TIME_S
        assert all(item.run == 1 for item in cluster.workers.history())

    run_to_end(scenario)


def next_term(long_running=True, registered=False):
    """Return a term that has not adopted run 1 of a task, and its task."""
    first = make_placer(n_workers=1)
    progress = submit(first, make_job(make_step(long_running=long_running)))
    mark_started(first, first.decide(BEGUN_AT, WALL)[0])
    second = Placer(2, BEGUN_AT + 1)
    second.table = make_table(make_queue())
    if registered:
        second.register_worker(make_entry("w1"), BEGUN_AT + 1)
    copy = decode_progress(progress.job, encode_progress(progress))
    second.add_job(copy, BEGUN_AT + 1)
    return second, copy.task(task_key())


# Guards against a wait for the leases on a worker that is still registered, and against
# an absence that seems to begin with the term.
@pytest.mark.parametrize("registered", [True, False])
def test_a_run_that_is_gone_is_released_at_once(registered):
    placer, task = next_term(registered=registered)
    release_gone(placer, [ReleasedRun(task_key(), 1, 3.0)], BEGUN_AT + 2)
    assert not task.worker
    assert task.away_since == BEGUN_AT - 1
    assert len(placer.take_dirty()) == 1
    assert not placer.not_adopted
    release_gone(placer, [ReleasedRun(task_key(), 1, 3.0)], BEGUN_AT + 3)
    assert task.given_up_at == BEGUN_AT + 2


# Guards against a second run beside one that the answer does not speak of: a later one,
# one of another task, and one that does not last and whose end may still count.
@pytest.mark.parametrize("case", ["later", "other", "short"])
def test_other_runs_are_not_released(case):
    placer, task = next_term(long_running=case != "short")
    key = task_key(step=1) if case == "other" else task_key()
    run = 0 if case == "later" else 1
    release_gone(placer, [ReleasedRun(key, run, 3.0)], BEGUN_AT + 2)
    assert (task.run, task.worker) == (1, "w1")
    assert task.away_since == 0.0
    assert not placer.take_dirty()


# Guards against a step that starts before the one ahead of it is done: the statement
# speaks of an earlier run, or of a task that lasts, or the job was cancelled.
@pytest.mark.parametrize("case", ["earlier", "lasting", "cancelled", "unknown"])
def test_a_statement_that_a_run_is_done_counts_for_that_run_only(case):
    placer, task = next_term(long_running=case == "lasting", registered=True)
    run = {"earlier": 0}.get(case, 1)
    if case == "cancelled":
        placer.cancel_job(task_key().job_id, BEGUN_AT + 1)
        placer.take_dirty()
    key = task_key(7) if case == "unknown" else task_key()
    placer.note_done(key, run, BEGUN_AT + 2)
    assert (task.run, task.worker, task.done) == (1, "w1", False)
    assert not placer.take_dirty()


# Guards against an end that counts twice, and against room that a done run holds on.
def test_a_worker_may_report_a_run_that_an_earlier_term_knew_to_be_done():
    first = make_placer(n_workers=1)
    submit(first, make_job(make_step()))
    ((run,), _) = first.decide(BEGUN_AT, WALL)
    placer, task = next_term(long_running=False, registered=True)
    placer.note_done(task_key(), 1, BEGUN_AT + 2)
    assert task.done
    assert not placer.jobs
    assert placer.workers["w1"].free.cores == 16.0
    assert [item.state for item in placer.take_dirty().values()] == ["completed"]
    answer_renewal(placer, "w1", BEGUN_AT + 3, ended=(ended_row(run, 1),))
    assert not placer.take_dirty()
    assert placer.workers["w1"].last_seen_end == 1


# Guards against statements about runs that are in the journal, which would grow with
# the jobs of a term.
def test_a_term_states_only_the_done_runs_that_may_not_be_stored(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        job = make_job(make_step(2), make_step(after=(0,)))
        await cluster.submit(node, job)
        leadership = node.leadership
        await cluster.wait_for(
            lambda: cluster.state(node, job.job_id) is JobState.COMPLETED
        )
        assert leadership.done_runs() == ()

    run_to_end(scenario)


# Guards against a second run beside one that its worker reports.
def test_a_run_that_is_present_is_not_released():
    first = make_placer(n_workers=1)
    submit(first, make_job(make_step(long_running=True)))
    ((run,), _) = first.decide(BEGUN_AT, WALL)
    placer, task = next_term(registered=True)
    answer_renewal(placer, "w1", BEGUN_AT + 1.5, running=(running_row(run),))
    release_gone(placer, [ReleasedRun(task_key(), 1, 3.0)], BEGUN_AT + 2)
    assert (task.run, task.worker) == (1, "w1")


# Guards against a statement about a run that is under way: the next run of a task was
# assigned, and perhaps started, when its term ended.
def test_a_term_says_of_an_assigned_task_only_that_its_earlier_runs_are_gone(cluster):
    async def scenario():
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        node = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        job = make_job(make_step(2, long_running=True), make_step())
        await cluster.submit(node, job)
        await cluster.wait_for(lambda: len(cluster.workers.history()) >= 2)
        part, term = node.leadership, node.leadership.leader_record.term
        progress = part.placer.jobs[job.job_id]
        assert part.released_runs(boottime()) == ()
        key = task_key(1)
        progress.unassign(key)
        progress.note_away(key, boottime() - 2.0, boottime())
        (gone,) = part.released_runs(boottime())
        assert (gone.key, gone.run) == (key, 1)
        assert 2.0 <= gone.away_s < 3.0
        progress.assign(key, "w1", 1, 2)
        (gone,) = part.released_runs(boottime())
        assert (gone.key, gone.run) == (key, 1)
        await node.drain()
        for _ in range(2):  # before and after the term is removed
            (answered,) = node._disclaim_term(term).released
            assert (answered.key, answered.run) == (key, 1)
            assert not node._disclaim_term(term + 1).released
            await cluster.wait_for(lambda: node.leadership is None)

    run_to_end(scenario)
