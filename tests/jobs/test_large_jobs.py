"""Tests of jobs with far more tasks than can run at a time."""

from __future__ import annotations

import base64
import tracemalloc

import orjson
import pytest

from cuminhill.jobs.model import JobState
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import Progress, decode_progress, encode_progress
from cuminhill.jobs.records import MAX_RECORD_BYTES, MAX_STEPS, MAX_TASKS, encode_job
from cuminhill.util.kernel import run_to_end

from .builders import (
    BEGUN_AT,
    JOB_ID,
    WALL,
    answer_renewal,
    ended_row,
    make_job,
    make_placer,
    make_step,
    mark_started,
    submit,
)

MAX_JOB_BYTES = 2_350_000  # a hundredth of the memory of the smallest VM in use
MANY_STEPS = [make_step(MAX_TASKS, cores=0.5, memory_mb=64.0)] * 100
OTHER_ID = "00000000000000bb"


@pytest.fixture
def used_bytes():
    """Return a function for the memory in use, and the most since the last call."""
    tracemalloc.start()

    def read():
        found = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        return found

    yield read
    tracemalloc.stop()


def run_placements(placer, placements, now):
    """Let the runs of some placements end as done."""
    mark_started(placer, placements, now)
    for worker_id in {item.worker_id for item in placements}:
        number = placer.workers[worker_id].last_seen_end
        rows = []
        for item in placements:
            if item.worker_id == worker_id:
                number += 1
                rows.append(ended_row(item, number))
        answer_renewal(placer, worker_id, now + 1.0, ended=tuple(rows))


def test_waiting_tasks_take_no_memory(used_bytes):
    """Guards against a request of 6 KB that takes all memory of each placer in turn."""
    placer = make_placer()
    before, _ = used_bytes()
    submit(placer, make_job(*MANY_STEPS))
    for number in range(3):
        placer.decide(BEGUN_AT + number, WALL + number)
    assert used_bytes()[1] - before < MAX_JOB_BYTES


def test_tasks_that_are_done_take_no_memory(used_bytes):
    """Guards against states of ended tasks that are kept until their job has ended."""
    placer, now = make_placer(), BEGUN_AT
    progress = submit(placer, make_job(make_step(MAX_TASKS, cores=0.05, memory_mb=0.0)))
    before, _ = used_bytes()
    while progress.state is not JobState.COMPLETED:
        placements, _ = placer.decide(now, WALL)
        assert placements
        run_placements(placer, placements, now)
        del placements
        encode_progress(progress)
        assert used_bytes()[0] - before < MAX_JOB_BYTES
        now += 2.0


def test_the_record_of_a_large_job_takes_little_memory(used_bytes):
    """Guards against a job, stored by an earlier build, that ends each new placer."""
    half = base64.b64encode(b"\x55" * (MAX_TASKS // 8 + 1)).decode()
    rows = [[0, number, half, []] for number in range(len(MANY_STEPS))]
    value = orjson.dumps({"state": "running", "workers": [], "steps": rows})
    assert len(value) < MAX_RECORD_BYTES
    job = make_job(*MANY_STEPS)
    before, _ = used_bytes()
    progress = decode_progress(job, value)
    assert all(item.n_waiting == MAX_TASKS // 2 for item in progress.ready_steps(WALL))
    assert used_bytes()[0] - before < MAX_JOB_BYTES


@pytest.mark.parametrize(
    ("steps", "n_times"),
    [
        ([make_step(MAX_TASKS, cores=0.5)] * MAX_STEPS, 50),
        ([make_step(MAX_TASKS, cores=0.5)], 10_000),
        ([make_step(required_label="none"), make_step(after=(0,))], 5000),
    ],
)
def test_the_later_times_of_a_scheduled_job_take_no_memory(used_bytes, steps, n_times):
    """Guards against state for each of 10,000 steps that are due at once."""
    placer = make_placer()
    before, _ = used_bytes()
    progress = submit(placer, make_job(*steps, n_times=n_times))
    placer.decide(BEGUN_AT, WALL)
    assert list(progress.ready_steps(WALL))
    assert used_bytes()[1] - before < MAX_JOB_BYTES


def test_a_blocked_step_keeps_no_later_time_of_others_from_starting():
    """Guards against times of a job that wait behind a step that fits nowhere."""
    steps = [make_step(required_label="none"), make_step(cores=0.05, memory_mb=0.0)]
    placer, now = make_placer(), BEGUN_AT
    progress = submit(placer, make_job(*steps, n_times=1000))
    while placements := placer.decide(now, WALL)[0]:
        run_placements(placer, placements, now)
        now += 2.0
    assert progress.finished == {(number, 1) for number in range(1000)}


def test_a_run_that_was_done_is_told_to_the_next_term():
    """Guards against a task that starts again since its state was dropped."""
    placer = make_placer()
    progress = submit(placer, make_job(make_step(3), make_step(1, after=(0,))))
    step_run = progress.step_run(0, 0)
    for index, run in ((0, 1), (1, 300), (2, 4)):
        progress.assign(step_run.key(index), "w1", 1, run)
    for index in (0, 1):
        progress.unassign(step_run.key(index))
        progress.finish_task(step_run.key(index))
    assert list(step_run.tasks.done_runs()) == [(0, 1), (1, 300)]
    assert [step_run.tasks[index].run for index in range(3)] == [1, 300, 4]
    assert not list(step_run.tasks.waiting())
    assert not progress.finish_task(step_run.key(0))
    assert step_run.n_done == 2


def test_a_job_that_can_not_be_taken_in_is_set_aside(cluster, monkeypatch):
    """Guards against one stored job that keeps each new placer from placing others."""
    add_job = Placer.add_job

    def run_out_of_memory(placer, progress, now):
        if progress.job.job_id == OTHER_ID:
            raise MemoryError
        add_job(placer, progress, now)

    async def main():
        monkeypatch.setattr(Placer, "add_job", run_out_of_memory)
        other = make_job(job_id=OTHER_ID)
        cluster.journal.append_records([(f"job/{OTHER_ID}", encode_job(other))])
        node = await cluster.start_node("vm1")
        await cluster.wait_for(lambda: cluster.leader() is not None)
        await cluster.submit(node, make_job())
        await cluster.wait_for(
            lambda: cluster.state(node, JOB_ID) is JobState.COMPLETED
        )
        assert node.leadership.placer.counts["jobs_not_taken_in"] == 1
        assert cluster.state(node, OTHER_ID) is JobState.PENDING

    run_to_end(main)


def test_marks_of_done_tasks_are_those_of_a_plain_list():
    """Guards against tasks that are left out, or assigned although they are done."""
    progress = Progress(make_job(make_step(40)))
    step_run, done, assigned = progress.step_run(0, 0), set(), set()
    for number in range(400):
        index = number * 7 % 40
        key = step_run.key(index)
        if index in assigned:
            progress.unassign(key)
            assigned.remove(index)
            if number % 3 == 0:
                progress.finish_task(key)
                done.add(index)
        elif index not in done:
            progress.assign(key, "w1", 1, step_run.tasks[index].run + 1)
            assigned.add(index)
        tasks, begun = step_run.tasks, {index for index, _ in step_run.tasks.known()}
        waiting = [item for item in range(40) if item not in done | assigned]
        assert tasks.done_indexes() == sorted(done)
        assert list(tasks.waiting()) == waiting
        assert list(tasks.interrupted()) == [item for item in waiting if item in begun]
        assert list(tasks.unstarted()) == [
            item for item in waiting if item not in begun
        ]
        assert step_run.n_waiting == len(waiting)
    assert done
