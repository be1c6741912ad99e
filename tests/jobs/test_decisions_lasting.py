"""Tests of the place that lasting tasks get when they start again.

Pattern: lasting tasks share a pool with a stream of patient batches and with urgent
checks, as on okrnik-grid; their workers crash or are cut off long after the jobs were
accepted.
"""

from __future__ import annotations

import pytest

from cuminhill.jobs.fleet import Slot
from cuminhill.jobs.model import EndKind

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
    mark_started,
    running_row,
    submit,
    task_key,
)

URGENT = make_queue("u", priority=0, stretch=1.5, target_s=0.25)
LASTING = make_queue("l", priority=1, stretch=2.2, target_s=2.5)
PATIENT = make_queue("p", priority=2, stretch=2.2, target_s=1.2)
LATER_S = 30.0  # more than three times the objective of a lasting job
LASTING_ID, OTHER_ID, PATIENT_ID, URGENT_ID = "a" * 16, "b" * 16, "c" * 16, "d" * 16
NOW = BEGUN_AT + LATER_S


def start_lasting(placer, n_tasks=1, cores=12.0, job_id=LASTING_ID, **more):
    """Submit a lasting job and start its tasks; return their placements."""
    step = make_step(n_tasks, cores, run_time_s=0.32, long_running=True, **more)
    submit(placer, make_job(step, queue="l", job_id=job_id))
    placements, _ = placer.decide(BEGUN_AT, WALL)
    mark_started(placer, placements)
    return placements


def submit_patient(placer, n_tasks=1, cores=12.0, job_id=PATIENT_ID, **more):
    """Submit a batch that has just been accepted."""
    step = make_step(n_tasks, cores, run_time_s=more.pop("run_time_s", 3.8), **more)
    job = make_job(step, queue="p", job_id=job_id, accepted_at=WALL + LATER_S)
    return submit(placer, job, NOW)


def submit_urgent(placer, n_tasks=1, cores=12.0, run_time_s=0.8):
    """Submit a check that has just been accepted."""
    step = make_step(n_tasks, cores, run_time_s=run_time_s)
    job = make_job(step, queue="u", job_id=URGENT_ID, accepted_at=WALL + LATER_S)
    return submit(placer, job, NOW)


def add_worker(placer, worker_id, now, **more):
    """Register a worker that has answered its first renewal."""
    placer.register_worker(make_entry(worker_id, **more), now)
    answer_renewal(placer, worker_id, now)


def fill(placer, *worker_ids, cores, **more):
    """Have workers run some other task."""
    for number, worker_id in enumerate(worker_ids):
        key = task_key(number, job_id="f" * 16)
        need = make_step(1, cores).need
        placer.workers[worker_id].add(Slot(key, 1, need, more.get("run_time_s", 60.0)))


def job_ids(placements):
    """Return the jobs of some placements, in their order."""
    return [item.key.job_id for item in placements]


# Order


# Guards against a lasting task that stands still behind a stream of batches: it counted
# as stale once three times its objective had passed since its job was accepted.
@pytest.mark.parametrize("kind", [EndKind.FAILED, EndKind.LAPSED, EndKind.DONE])
def test_an_interrupted_lasting_task_starts_before_batches(kind):
    placer = make_placer(URGENT, LASTING, PATIENT, n_workers=1)
    (run,) = start_lasting(placer)
    submit_patient(placer)
    end = ended_row(run, 1, kind)
    answer_renewal(placer, run.worker_id, NOW, ended=(end,))
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert job_ids(placements) == [LASTING_ID]


# Guards against urgent checks that wait for the restarts of lasting tasks.
def test_a_check_starts_before_an_interrupted_lasting_task():
    placer = make_placer(URGENT, LASTING, PATIENT, n_workers=1)
    (run,) = start_lasting(placer)
    submit_urgent(placer)
    end = ended_row(run, 1, EndKind.FAILED)
    answer_renewal(placer, run.worker_id, NOW, ended=(end,))
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert job_ids(placements) == [URGENT_ID]


# Guards against a task that stands still for longer and longer while others that were
# interrupted after it start again: the order followed the acceptance of the jobs.
def test_the_lasting_task_that_is_absent_for_longest_starts_first():
    placer = make_placer(URGENT, LASTING, PATIENT, n_workers=2)
    (first,) = start_lasting(placer)
    (second,) = start_lasting(placer, job_id=OTHER_ID)
    ends = {run.worker_id: ended_row(run, 1, EndKind.FAILED) for run in (first, second)}
    placer.deregister_worker(second.worker_id)
    answer_renewal(placer, second.worker_id, NOW - 1, ended=(ends[second.worker_id],))
    answer_renewal(placer, first.worker_id, NOW, ended=(ends[first.worker_id],))
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert job_ids(placements) == [OTHER_ID]


# Guards against a lasting job that never starts: once it was late, all batches that
# came after it were placed first.
def test_a_lasting_job_that_has_not_started_goes_before_later_batches():
    placer = make_placer(URGENT, LASTING, PATIENT, n_workers=0)
    start_lasting(placer)
    submit_patient(placer)
    add_worker(placer, "w1", NOW)
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert job_ids(placements) == [LASTING_ID]


# Guards against a lasting job that goes before earlier batches that are still in time.
def test_a_lasting_job_that_has_not_started_waits_for_earlier_batches():
    placer = make_placer(URGENT, LASTING, PATIENT, n_workers=0)
    submit_patient(placer)
    step = make_step(1, 12.0, run_time_s=0.32, long_running=True)
    accepted_at = WALL + LATER_S + 9.0
    job = make_job(step, queue="l", job_id=LASTING_ID, accepted_at=accepted_at)
    submit(placer, job, NOW)
    add_worker(placer, "w1", NOW)
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert job_ids(placements) == [PATIENT_ID]


# Room


# Guards against a lasting task that stands still beside free workers, since their room
# is kept for urgent work. Callers count its absence however full the pool is.
def test_the_headroom_for_urgent_work_does_not_keep_a_restart_waiting():
    placer = make_placer(URGENT, LASTING, PATIENT, n_workers=2)
    (run,) = start_lasting(placer, cores=7.0)
    kept = {"w1", "w2"} - {run.worker_id}
    placer.headroom["pool"].mean_cores = 1000.0
    placer.workers[run.worker_id].withheld = True
    fill(placer, *kept, cores=7.0)
    end = ended_row(run, 1, EndKind.FAILED)
    answer_renewal(placer, run.worker_id, NOW, ended=(end,))
    submit_patient(placer, cores=7.0)
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert job_ids(placements) == [LASTING_ID]


# Guards against headroom that lasting jobs use up when they start: only what was
# interrupted may use it, and what it uses is no longer free for batches.
def test_first_starts_of_lasting_tasks_leave_the_headroom():
    placer = make_placer(URGENT, LASTING, PATIENT, n_workers=1)
    runs = start_lasting(placer, n_tasks=3, cores=5.0)
    assert len(runs) == 2  # with a third one, only 1 of 16 cores would be free
    end = ended_row(runs[1], 1, EndKind.FAILED)
    answer_renewal(placer, "w1", NOW, running=(running_row(runs[0]),), ended=(end,))
    submit_patient(placer, cores=5.0)
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert [(item.key.task, item.run) for item in placements] == [(runs[1].key.task, 2)]


# Guards against an interrupted task that finds no room because tasks of its step that
# have never run were placed first.
def test_interrupted_tasks_start_before_new_tasks_of_their_step():
    placer = make_placer(LASTING, n_workers=1)
    runs = start_lasting(placer, n_tasks=2, cores=12.0)
    progress = placer.jobs[LASTING_ID]
    step_run = progress.step_run(0, 0)
    step_run.tasks.reverse()  # the task that has run is the second one now
    worker = placer.workers["w1"]
    slot = worker.release(runs[0].key, runs[0].run)
    slot.key = step_run.key(1)
    worker.add(slot)
    placer.run_lost(worker, slot, "test", NOW)
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert [(item.key.task, item.run) for item in placements] == [(1, 2)]
