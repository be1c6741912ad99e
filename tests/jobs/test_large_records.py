"""Tests of jobs and progress that come near to the longest record of the journal."""

from __future__ import annotations

import random

import curio
import orjson
import pytest

from cuminhill.errors import RejectedError, ValidationError
from cuminhill.jobs.journal import MAX_BATCH_BYTES, LogWriter, record_bytes
from cuminhill.jobs.model import EndKind, JobState
from cuminhill.jobs.progress import (
    MAX_PROGRESS_BYTES,
    Progress,
    decode_progress,
    encode_progress,
    min_record_bytes,
)
from cuminhill.jobs.records import MAX_RECORD_BYTES, MAX_TASKS
from cuminhill.jobs.speeds import Evidence, encode_speeds
from cuminhill.platform.wire import MAX_CHECKPOINT_CHARS, decode_job_body
from standins.job_platform import LogView, MemoryLog

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    ended_row,
    make_entry,
    make_job,
    make_placer,
    make_step,
    mark_started,
    running_row,
    submit,
)

N_WORKERS = 8
LIFE = 1785153474905


def encoded(progress):
    """Return the encoded progress of a job; it must fit into a record."""
    value = encode_progress(progress)
    assert len(value) <= MAX_RECORD_BYTES
    return value


def run_to_end(placer, progress, end_kind=lambda: EndKind.DONE, saved=""):
    """Run a job until it ends; return the most tasks under way at a time."""
    now, most = BEGUN_AT, 0
    n_ends = dict.fromkeys(placer.workers, 0)
    while progress.state not in {JobState.COMPLETED, JobState.FAILED}:
        placements, _ = placer.decide(now, WALL)
        assert placements
        most = max(most, len(placements))
        encoded(progress)
        mark_started(placer, placements, now)
        now += 1.0
        for worker_id in placer.workers:
            rows = []
            for item in placements:
                if item.worker_id == worker_id:
                    n_ends[worker_id] += 1
                    rows.append(ended_row(item, n_ends[worker_id], end_kind(), saved))
            answer_renewal(placer, worker_id, now, ended=tuple(rows), incarnation=LIFE)
            encoded(progress)
    return most


@pytest.fixture
def placer():
    """Return a placer whose workers have room for all tasks of a test."""
    made = make_placer(n_workers=0)
    for number in range(N_WORKERS):
        entry = make_entry(f"i-{number:010x}", cores=64.0, incarnation=LIFE)
        made.register_worker(entry, BEGUN_AT)
        answer_renewal(made, entry.worker_id, incarnation=LIFE)
    return made


# Guards against a job whose progress the journal can't store, so that no placer gets on
# (rule LOST).
def test_a_job_of_many_tasks_runs_in_parts(placer):
    steps = [make_step(MAX_TASKS, cores=0.001, memory_mb=0.0)] * 3
    progress = submit(placer, make_job(*steps))
    most = run_to_end(placer, progress)
    assert progress.state is JobState.COMPLETED
    assert 1000 < most < MAX_TASKS


# Guards against rows that grow after their tasks have started: by failures, checkpoints
# and crashes.
def test_failures_and_checkpoints_do_not_make_a_record_too_long(placer):
    rng = random.Random(1)
    step = make_step(2000, cores=0.001, memory_mb=0.0, checkpoints=True)
    progress = submit(placer, make_job(step))

    def end_kind():
        return EndKind.DONE if rng.random() < 0.9 else EndKind.STOPPED

    run_to_end(placer, progress, end_kind, saved="c" * MAX_CHECKPOINT_CHARS)
    assert progress.state is JobState.COMPLETED
    assert progress.n_checkpoint_bytes == 0


# Guards against rows of absences for which a record has no room, beside crashes and the
# longest numbers.
def test_absences_do_not_make_a_record_too_long(placer):
    step = make_step(MAX_TASKS, cores=0.0001, memory_mb=0.0, long_running=True)
    progress = submit(placer, make_job(step))
    placements, _ = placer.decide(BEGUN_AT, WALL)
    assert len(placements) > 1000
    mark_started(placer, placements)
    for item in placements:
        task = progress.task(item.key)
        progress.assign(item.key, task.worker, task.incarnation, 1 << 31)
        task.n_failed = task.failed_run = 1 << 31
        progress.set_crashes(task, 1 << 31, 1 << 31)
        task.away_since = BEGUN_AT
    record = orjson.loads(encode_progress(progress, BEGUN_AT + 1e9))
    assert record["away"]
    assert len(record["crashes"]) == len(placements)
    assert len(encode_progress(progress, BEGUN_AT + 1e9)) <= MAX_RECORD_BYTES


# Guards against progress of a large step that the next placer reads otherwise.
def test_the_tasks_that_are_done_are_read_back():
    rng = random.Random(2)
    job = make_job(make_step(1501), make_step(400))
    progress = Progress(job)
    for number, step in enumerate(job.steps):
        step_run = progress.step_run(0, number)
        for index in range(step.n_tasks):
            if rng.random() < 0.5:
                progress.assign(step_run.key(index), "w1", 1, 1)
                progress.unassign(step_run.key(index))
                if rng.random() < 0.5:
                    progress.finish_task(step_run.key(index))
    copy = decode_progress(job, encode_progress(progress))
    assert encode_progress(copy) == encode_progress(progress)
    assert copy.n_open == progress.n_open > 0
    assert [run.tasks.done_indexes() for run in copy.step_runs.values()] == [
        run.tasks.done_indexes() for run in progress.step_runs.values()
    ]


# Guards against rows of runs without progress that make a record too long.
def test_runs_without_progress_do_not_make_a_record_too_long(placer):
    step = make_step(MAX_TASKS, cores=0.001, memory_mb=0.0)
    progress = submit(placer, make_job(step))
    placements, _ = placer.decide(BEGUN_AT, WALL)
    mark_started(placer, placements)
    for worker_id in placer.workers:
        rows = [
            running_row(item, 33.370000000000005)
            for item in placements
            if item.worker_id == worker_id
        ]
        for now in (BEGUN_AT + 0.01, BEGUN_AT + 12345.67):
            answer_renewal(placer, worker_id, now, running=rows, incarnation=LIFE)
    for _, task in progress.assigned():
        task.n_crashes, task.n_start_crashes = 3, 2
    assert len(placements) > 1000
    value = encoded(progress)
    assert len(value) <= MAX_PROGRESS_BYTES
    copy = decode_progress(progress.job, value)
    for (_, before), (_, after) in zip(
        progress.assigned(), copy.assigned(), strict=True
    ):
        assert after.still_percent == before.still_percent == 33.370000000000005
        assert before.still_s - 0.02 < after.still_s <= before.still_s


# Guards against gangs that are accepted and can never start.
def test_a_gang_whose_progress_no_record_holds_is_refused():
    step = b'{"count":9000,"cpu":1,"est_runtime_ms":1,"gang":true}'
    body = b'{"spec":"x","phases":[%s]}' % step
    with pytest.raises(ValidationError, match="too many"):
        decode_job_body("00000000000000aa", "q", body, WALL)


def test_any_other_accepted_job_can_run_one_task_at_a_time():
    """Guards against a limit that accepts a job of which no task may start."""
    job = make_job(*[make_step(MAX_TASKS)] * 200)
    assert min_record_bytes(job) <= MAX_PROGRESS_BYTES
    progress = Progress(job)
    assert all(progress.n_startable(item) > 0 for item in progress.ready_steps(WALL))


# Guards against one record that keeps the others of its batch from being stored.
@pytest.mark.parametrize("known", [True, False])
def test_a_record_that_the_log_rejects_fails_alone(known):
    async def main():
        log = MemoryLog() if known else MemoryLog(max_record_bytes=1000)
        writer = LogWriter(LogView(log), "a", 1, keeps_epoch=True)
        await curio.spawn(writer.run, daemon=True)
        n_bytes = MAX_RECORD_BYTES if known else 2000
        too_long = [("long", b"x" * n_bytes)]
        tasks = [
            await curio.spawn(writer.append, records, float("inf"))
            for records in ([("a", b"1")], too_long, [("b", b"2")])
        ]
        await tasks[0].join()
        await tasks[2].join()
        with pytest.raises(curio.TaskError) as caught:
            await tasks[1].join()
        assert isinstance(caught.value.__cause__, RejectedError)
        await writer.append([("c", b"3")], float("inf"))
        assert [record.key for record in log.records] == ["a", "b", "c"]

    curio.run(main)


# Guards against a term that can't go on since the journal rejects the progress of one
# job, for whatever reason: the other jobs run, and that one in smaller parts.
def test_rejected_progress_of_one_job_does_not_stop_the_others(cluster):
    async def main():
        cluster.journal.max_record_bytes = 700
        node = await cluster.start_node("vm-a")
        await cluster.wait_for(lambda: cluster.leader() is not None)
        wide = make_job(make_step(100, cores=0.1), job_id="a" * 16, accepted_at=0.0)
        small = make_job(make_step(2, cores=0.1), job_id="b" * 16, accepted_at=0.0)
        await cluster.submit(node, wide)
        await cluster.submit(node, small)
        for job in (small, wide):
            await cluster.wait_for(
                lambda job=job: cluster.state(node, job.job_id) is JobState.COMPLETED,
                20.0,
            )
        assert cluster.journal.n_rejected > 0
        assert node.job_index.leader_record.term == 1

    curio.run(main)


# Guards against changes of many jobs at once that are longer than a call may be.
def test_records_are_appended_in_calls_that_the_log_accepts(cluster):
    async def main():
        cluster.journal.max_call_bytes = MAX_BATCH_BYTES + MAX_RECORD_BYTES
        await cluster.start_node("vm-a")
        await cluster.wait_for(lambda: cluster.leader() is not None)
        records = [(f"job/{number}", b"x" * 200_000) for number in range(20)]
        assert sum(record_bytes(*item) for item in records) > (
            cluster.journal.max_call_bytes
        )
        part = cluster.leader().leadership
        assert await part._append_records(records) == set()
        assert cluster.journal.n_rejected == 0
        stored = {record.key for record in cluster.journal.records}
        assert stored.issuperset(key for key, _ in records)

    curio.run(main)


# Guards against a fleet so large that the record of its workers' speeds is not stored,
# and no placer gets on: the speeds alone are not handed on.
def test_speeds_that_no_record_holds_do_not_stop_the_placer(cluster):
    async def main():
        node = await cluster.start_node("vm-a")
        await cluster.wait_for(lambda: cluster.leader() is not None)
        part = cluster.leader().leadership
        for number in range(10_000):
            worker_id = f"i-{number:010x}"
            part.placer.speeds.speeds[worker_id] = Evidence(LIFE, "a", 0.1, 0.2)
            part.placer.workers[worker_id] = part.placer.workers["w1"]
        assert len(encode_speeds(part.placer.speeds)) > MAX_RECORD_BYTES
        await part._write_speeds()
        for number in range(10_000):
            del part.placer.workers[f"i-{number:010x}"]
        job = make_job(accepted_at=0.0)
        await cluster.submit(node, job)
        await cluster.wait_for(
            lambda: cluster.state(node, job.job_id) is JobState.COMPLETED
        )
        assert part.leader_record.term == node.job_index.leader_record.term == 1

    curio.run(main)


# Guards against a job that starts nothing on an idle pool for the rest of a term since
# one record of its progress was rejected: the number of its tasks under way was halved
# below the size of its gang, or to none.
@pytest.mark.parametrize(("n_tasks", "gang"), [(1, False), (12, True)])
def test_a_job_whose_record_was_rejected_once_starts_later_in_the_term(n_tasks, gang):
    placer = make_placer(n_workers=20)
    progress = submit(placer, make_job(make_step(n_tasks, 15.0, gang=gang)))
    placements, _ = placer.decide(BEGUN_AT, WALL)
    assert len(placements) == n_tasks
    placer.reject_progress(progress, placements)
    placed = []
    for second in range(1, 31):
        placed += placer.decide(BEGUN_AT + second, WALL + second)[0]
    assert len(placed) == n_tasks
