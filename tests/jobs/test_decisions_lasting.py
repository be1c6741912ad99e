"""Tests of the place that lasting tasks get when they start again.

Pattern: lasting tasks share a pool with a stream of patient batches and with urgent
checks, as on okrnik-grid; their workers crash or are cut off long after the jobs were
accepted.
"""

from __future__ import annotations

import itertools

import pytest

from cuminhill.jobs.decisions import MAX_IDLE_WAIT_S
from cuminhill.jobs.fleet import PROBATION_S, Slot
from cuminhill.jobs.keptrooms import MAX_HOLD_S
from cuminhill.jobs.model import AdviceTerms, EndKind

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


def fill(placer, *worker_ids, cores, run_time_s=60.0, job_id="f" * 16):
    """Have workers run some other task."""
    need = make_step(1, cores).need
    for number, worker_id in enumerate(worker_ids):
        slot = Slot(task_key(number, job_id=job_id), 1, need, run_time_s)
        slot.started_at = NOW
        placer.workers[worker_id].add(slot)


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
    progress.withdraw(runs[0].key)  # the task that has run is the second one now
    progress.assign(step_run.key(1), "w1", 1, 1)
    worker = placer.workers["w1"]
    slot = worker.release(runs[0].key, runs[0].run)
    slot.key = step_run.key(1)
    worker.add(slot)
    placer.run_lost(worker, slot, "test", NOW)
    placements, _ = placer.decide(NOW, WALL + LATER_S)
    assert [(item.key.task, item.run) for item in placements] == [(1, 2)]


def lose_worker(placer, worker_id, now=NOW):
    """Have a worker stop answering; return when the leases on it have lapsed."""
    worker = placer.workers[worker_id]
    worker.update_clock(int(now * 1000), now)
    worker.record_lease(worker.lease_end_ms(now, placer.times.lease.lease_s))
    placer.worker_unreachable(worker_id, now)
    return worker.lapse_at


def decide_at(placer, now):
    """Return the jobs of the placements of one decision; mark them as started."""
    placer.tick(now)
    placements, _ = placer.decide(now, WALL + now - BEGUN_AT)
    mark_started(placer, placements, now)
    return job_ids(placements)


# Guards against lost tasks that find all room taken once the leases have lapsed, since
# batches filled it while the tasks had to wait.
def test_room_is_kept_for_a_task_whose_worker_is_lost():
    placer = make_placer(URGENT, LASTING, PATIENT, n_workers=2)
    (run,) = start_lasting(placer, cores=12.0)
    lapse_at = lose_worker(placer, run.worker_id)
    submit_patient(placer, cores=4.0, run_time_s=9.0)
    assert decide_at(placer, NOW + 0.1) == [PATIENT_ID]  # beside the room kept
    submit_patient(placer, cores=4.0, run_time_s=9.0, job_id=OTHER_ID)
    assert decide_at(placer, NOW + 0.2) == []
    assert decide_at(placer, lapse_at + 0.1) == [LASTING_ID]


# Guards against room that stays unused during the wait for the leases.
def test_batches_that_end_in_time_use_the_room_of_a_lost_task():
    placer = make_placer(LASTING, PATIENT, n_workers=2)
    (run,) = start_lasting(placer, cores=12.0)
    lapse_at = lose_worker(placer, run.worker_id)
    submit_patient(placer, cores=12.0, run_time_s=2.0)
    assert decide_at(placer, NOW + 0.1) == [PATIENT_ID]
    submit_patient(placer, cores=4.0, run_time_s=2.0, job_id=OTHER_ID)
    assert decide_at(placer, lapse_at - 2.0) == []


# Guards against urgent checks that wait although there is room for them.
@pytest.mark.parametrize(("run_time_s", "starts"), [(0.8, True), (9.0, False)])
def test_short_urgent_work_uses_the_room_of_a_lost_task(run_time_s, starts):
    placer = make_placer(URGENT, LASTING, n_workers=2)
    (run,) = start_lasting(placer, cores=7.0)
    lapse_at = lose_worker(placer, run.worker_id)
    (kept,) = {"w1", "w2"} - {run.worker_id}
    fill(placer, kept, cores=9.0)  # the pool is busy
    submit_urgent(placer, cores=7.0, run_time_s=run_time_s)
    assert (decide_at(placer, lapse_at - 0.5) == [URGENT_ID]) is starts


# Guards against batches that take what becomes free piece by piece, so that the room
# for a lasting task is never free at once.
def test_what_becomes_free_is_kept_for_an_interrupted_task():
    placer = make_placer(LASTING, PATIENT, n_workers=1)
    (run,) = start_lasting(placer, cores=7.0)
    fill(placer, "w1", cores=9.0, run_time_s=1.0)  # ended by now, by its estimate
    add_worker(placer, "w2", NOW)
    fill(placer, "w2", cores=4.0, run_time_s=3.0)
    fill(placer, "w2", cores=6.0, job_id="e" * 16)
    placer.deregister_worker("w1")
    end = ended_row(run, 1, EndKind.FAILED)
    answer_renewal(placer, "w1", NOW, ended=(end,))
    submit_patient(placer, cores=2.0)
    assert decide_at(placer, NOW + 0.1) == []
    placer.workers["w2"].release(task_key(job_id="f" * 16), 1)
    assert decide_at(placer, NOW + 1) == [LASTING_ID, PATIENT_ID]


# Guards against batches that don't start because of tasks that can't start either.
def test_room_is_kept_only_in_part_of_a_pool_and_for_a_time():
    placer = make_placer(LASTING, PATIENT, n_workers=12)
    runs = start_lasting(placer, n_tasks=8, cores=12.0, max_per_worker=1)
    lost = {run.worker_id for run in runs}
    for worker_id in lost:
        lose_worker(placer, worker_id)
    submit_patient(placer, 64, cores=4.0, run_time_s=9.0)
    # Four workers of 16 cores are left, and room for one task is a quarter of them.
    assert len(decide_at(placer, NOW + 0.1)) == 13
    placer = make_placer(LASTING, PATIENT, n_workers=1)
    (run,) = start_lasting(placer, cores=12.0)
    answer_renewal(placer, "w1", NOW, ended=(ended_row(run, 1, EndKind.FAILED),))
    placer.workers["w1"].health.ejected_until = NOW + MAX_HOLD_S - 1
    add_worker(placer, "w2", NOW)
    fill(placer, "w2", cores=8.0, run_time_s=3.0)
    submit_patient(placer, cores=8.0)
    assert decide_at(placer, NOW + 1) == []
    placer.workers["w1"].health.ejected_until = NOW + 1000
    assert decide_at(placer, NOW + MAX_HOLD_S + 1) == [PATIENT_ID]


# Guards against batches that have advice for workers with kept room only, and don't ask
# about others since they would fit there.
def test_a_batch_asks_for_other_workers_than_those_with_kept_room():
    terms = AdviceTerms(0.1, 0.01, 2.5)
    patient = make_queue("p", priority=2, advice=terms)
    placer = make_placer(LASTING, patient, n_workers=2)
    (run,) = start_lasting(placer, cores=12.0)
    lose_worker(placer, run.worker_id)
    (kept,) = {"w1", "w2"} - {run.worker_id}
    progress = submit_patient(placer, cores=8.0, run_time_s=9.0)
    advice = placer.advice.for_step(progress.step_run(0, 0).name)
    advice.store_answer({kept: 1}, [(kept, "t")], NOW, terms.valid_s)
    assert placer.decide(NOW + 0.1, WALL + LATER_S) == ([], [])
    add_worker(placer, "w3", NOW)
    placements, calls = placer.decide(NOW + 0.2, WALL + LATER_S)
    assert placements == []
    assert [set(call.workers) for call in calls] == [{"w3"}]


# Guards against whole workers that are reserved for a batch on room which it will not
# get, since that is kept for a lasting task (the fault of issue 36).
def test_kept_room_is_not_reserved_for_a_batch():
    placer = make_placer(LASTING, PATIENT, n_workers=2)
    (run,) = start_lasting(placer, cores=8.0)
    lose_worker(placer, run.worker_id)
    (kept,) = {"w1", "w2"} - {run.worker_id}
    fill(placer, kept, cores=4.0, run_time_s=1.0)
    submit_patient(placer, cores=13.0, run_time_s=9.0)
    submit_patient(placer, cores=2.0, run_time_s=9.5, job_id=OTHER_ID)
    assert decide_at(placer, NOW + 0.1) == [OTHER_ID]


# Guards against a lasting job that never starts, since batches take what becomes free.
def test_room_is_kept_for_first_starts_of_a_blocked_lasting_step():
    placer = make_placer(LASTING, PATIENT, n_workers=1)
    fill(placer, "w1", cores=10.0, run_time_s=3.0)
    start_lasting(placer, cores=8.0)
    submit_patient(placer, cores=4.0)
    assert decide_at(placer, NOW) == []
    placer.workers["w1"].release(task_key(job_id="f" * 16), 1)
    assert decide_at(placer, NOW + 1) == [LASTING_ID, PATIENT_ID]


# Suspects


def crash_workers(placer, worker_ids, at):
    """Crash workers whose runs have survived their start."""
    for worker_id in worker_ids:
        placer.worker_unreachable(worker_id, at, closed=True)
    for worker_id in worker_ids:
        incarnation = placer.workers[worker_id].entry.incarnation
        placer.other_incarnation(worker_id, incarnation, at + 0.1)


def start_times(placer, now, for_s=5.0):
    """Decide for some time; return when each task was started, and its worker."""
    starts = {}
    for number in range(int(for_s / 0.1)):
        at = now + 0.1 * number
        placer.tick(at)
        placements, _ = placer.decide(at, WALL + at - BEGUN_AT)
        mark_started(placer, placements, at)
        starts.update({item.key: (at, item.worker_id) for item in placements})
    return starts


def start_on(placer, worker_ids, n_tasks, cores=1.0):
    """Start lasting tasks, which fill some workers and then have survived."""
    runs = []
    for number in range(n_tasks):
        job_id = f"{number:016x}"
        runs += start_lasting(
            placer, len(worker_ids), cores, job_id=job_id, max_per_worker=1
        )
    assert {run.worker_id for run in runs} == set(worker_ids)
    return runs


# Guards against lasting tasks that stand still for seconds although their workers have
# room: as suspects of a crash they started one after the other, 0.5 s apart.
@pytest.mark.parametrize("n_crashed", [1, 2])
@pytest.mark.parametrize("n_tasks", [3, 5])
def test_tasks_of_a_crashed_worker_start_at_once_on_few_workers(n_crashed, n_tasks):
    placer = make_placer(LASTING, n_workers=n_crashed)
    crashed = list(placer.workers)
    runs = start_on(placer, crashed, n_tasks)
    for number in range(n_crashed):
        add_worker(placer, f"n{number}", NOW)
    crash_workers(placer, crashed, NOW)
    starts = start_times(placer, NOW + 0.2)
    assert len(starts) == len(runs)
    assert max(at for at, _ in starts.values()) - NOW < 1.0


# Guards against the next crash with many candidates and victims although there was room
# to start the suspects apart.
def test_suspected_lasting_tasks_start_apart_where_there_is_room():
    placer = make_placer(LASTING, PATIENT, n_workers=1)
    runs = start_on(placer, ["w1"], 4)
    for number in range(4):
        add_worker(placer, f"n{number}", NOW)
    crash_workers(placer, ["w1"], NOW)
    starts = start_times(placer, NOW + 0.2, 0.1)
    assert len({worker_id for _, worker_id in starts.values()}) == len(runs)
    submit_patient(placer, 4, cores=1.0)
    assert decide_at(placer, NOW + 0.3) == []  # nothing else starts beside them


# Guards against a deadly lasting task that hides among others which start beside it.
def test_a_lasting_task_that_crashed_at_its_start_starts_alone():
    placer = make_placer(LASTING, n_workers=1)
    runs = start_on(placer, ["w1"], 3)
    add_worker(placer, "n1", NOW)
    for key in (run.key for run in runs):
        task = placer.jobs[key.job_id].task(key)
        task.n_crashes = task.n_start_crashes = 1
    crash_workers(placer, ["w1"], NOW)
    starts = start_times(placer, NOW + 0.2)
    times = sorted(at for at, _ in starts.values())
    assert len(times) == 3
    assert min(b - a for a, b in itertools.pairwise(times)) >= PROBATION_S


# Guards against a suspect that starts alone and is joined by a task a moment later.
def test_nothing_starts_beside_a_task_that_crashed_at_its_start():
    placer = make_placer(LASTING, n_workers=1)
    runs = start_on(placer, ["w1"], 2)
    add_worker(placer, "n1", NOW)
    task = placer.jobs[runs[0].key.job_id].task(runs[0].key)
    task.n_crashes = task.n_start_crashes = 1
    crash_workers(placer, ["w1"], NOW)
    starts = start_times(placer, NOW + 0.2)
    (first, _), (second, _) = starts[runs[0].key], starts[runs[1].key]
    assert abs(first - second) >= PROBATION_S


# Guards against jobs that have nothing running beside idle workers for as long as room
# is kept there (rule LOST).
def test_a_job_without_a_run_does_not_wait_for_long_on_an_idle_pool():
    placer = make_placer(LASTING, PATIENT, n_workers=2)
    (run,) = start_lasting(placer, cores=12.0)
    lose_worker(placer, run.worker_id)
    submit_patient(placer, 2, cores=5.0, run_time_s=9.0)
    assert decide_at(placer, NOW + 1.0) == []
    late = NOW + MAX_IDLE_WAIT_S + 0.1
    assert decide_at(placer, late) == [PATIENT_ID] * 2


# Guards against a backlog of batches that takes the room kept on a pool in use.
def test_a_backlog_does_not_use_kept_room():
    placer = make_placer(LASTING, PATIENT, n_workers=2)
    (run,) = start_lasting(placer, cores=7.0)
    lapse_at = lose_worker(placer, run.worker_id)
    (kept,) = {"w1", "w2"} - {run.worker_id}
    fill(placer, kept, cores=8.0)
    for number in range(9):
        submit_patient(placer, cores=2.0, job_id=f"{number:016x}")
    for passed in (1.0, MAX_IDLE_WAIT_S + 0.1, lapse_at - NOW - 0.1):
        assert decide_at(placer, NOW + passed) == []
    assert decide_at(placer, lapse_at + 0.1) == [LASTING_ID]


# Guards against room kept for first starts that lack a ticket, not room.
def test_no_room_is_kept_for_a_first_start_that_has_room():
    terms = AdviceTerms(0.1, 0.01, 2.5)
    placer = make_placer(make_queue("l", priority=1, advice=terms), PATIENT)
    step = make_step(1, 12.0, run_time_s=0.32, long_running=True)
    progress = submit(placer, make_job(step, queue="l", job_id=LASTING_ID))
    advice = placer.advice.for_step(progress.step_run(0, 0).name)
    advice.store_answer({"w1": 1, "w2": 1}, [("w1", "t")], BEGUN_AT, terms.valid_s)
    submit_patient(placer, 2, cores=12.0)
    assert decide_at(placer, NOW) == [PATIENT_ID] * 2
