"""Tests of the choice of workers by the chance that a job is late.

Pattern: urgent checks, patient batches and lasting tasks share a pool in which a third
of the workers is slow; declared run times are off by factors.
"""

from __future__ import annotations

import pytest

from cuminhill.jobs.lateness import NO_OBJECTIVE, make_outlook
from cuminhill.jobs.ordering import objective_s
from cuminhill.jobs.packing import choose_advised, make_candidates
from cuminhill.jobs.progress import Progress

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
    submit,
)
from .test_parts import make_worker

SLOW, FAST = 0.6, 1.45
DECLARED_VAR = 0.5
URGENT = make_queue("u", priority=0, stretch=1.5, target_s=0.25)
PATIENT = make_queue("p", priority=2, stretch=4.0, target_s=3.0)


def outlook_of(queue, run_time_s=0.8, elapsed_s=0.0, number=0, **more):
    """Return the outlook of a job of equal steps, one after the other."""
    steps = [make_step(6, run_time_s=run_time_s, **more)]
    steps += [
        make_step(6, run_time_s=run_time_s, after=(item,)) for item in range(number)
    ]
    step_run = Progress(make_job(*steps)).step_run(0, number)
    times = [step.run_time_s for step in steps]
    return make_outlook(step_run, queue, WALL + elapsed_s, times, DECLARED_VAR)


def pick(outlook, fill_slow=0.0):
    """Return the speed of the worker that gets a task; slow ones are in part used."""
    slow, fast = make_worker("slow"), make_worker("fast")
    slow.health.speed, fast.health.speed = SLOW, FAST
    slow.free = make_entry(cores=16.0 * (1 - fill_slow)).capacity
    worker = make_candidates(make_step(), [slow, fast], outlook=outlook).pick()
    return worker.health.speed


@pytest.mark.parametrize("run_time_s", [0.1, 0.8, 4.0])
@pytest.mark.parametrize("elapsed_s", [0.0, 0.6])
@pytest.mark.parametrize("fill_slow", [0.0, 0.75])
def test_a_check_runs_on_a_fast_worker_with_room(run_time_s, elapsed_s, fill_slow):
    """Guards against late checks on slow workers while fast ones have room.

    Nine in ten checks on slow workers were placed there because their declared time was
    short, because they looked late already, or because the slow worker was fuller.
    """
    assert pick(outlook_of(URGENT, run_time_s, elapsed_s), fill_slow) == FAST


def test_a_second_step_of_a_check_runs_on_a_fast_worker():
    """Guards against steps that lose what the steps before them have gained."""
    assert pick(outlook_of(URGENT, elapsed_s=0.9, number=1)) == FAST


def test_work_with_slack_leaves_the_fast_workers():
    """Guards against late checks because long work occupies the fast workers."""
    assert pick(outlook_of(PATIENT, run_time_s=2.2)) == SLOW


def test_work_that_is_late_whatever_is_done_leaves_the_fast_workers():
    """Guards against late work on workers that other work needs to end in time."""
    assert pick(outlook_of(PATIENT, run_time_s=2.0, elapsed_s=90.0)) == SLOW


def test_lasting_work_leaves_the_fast_workers():
    """Guards against tasks without an end on workers that checks need."""
    outlook = outlook_of(PATIENT, long_running=True)
    assert outlook is NO_OBJECTIVE
    assert pick(outlook) == SLOW


@pytest.mark.parametrize("queue", [URGENT, PATIENT])
def test_the_chance_rises_with_speed_and_falls_with_time(queue):
    """Guards against a choice that a small change of a speed or a time reverses."""
    chances = [outlook_of(queue).chance(speed) for speed in (0.3, 0.6, 1.0, 1.5)]
    assert chances == sorted(chances)
    waited = [outlook_of(queue, elapsed_s=s).worth(1.0) for s in (0, 0.5, 1, 5, 50)]
    assert waited == sorted(waited, reverse=True)
    assert all(0.0 <= value <= 1.0 for value in chances + waited)


@pytest.mark.parametrize("run_time_s", [0.0, 1e-9, 1e9])
def test_absurd_declared_times_give_a_chance(run_time_s):
    """Guards against an error in a decision because of one job's declared time."""
    assert 0.0 <= outlook_of(URGENT, run_time_s).worth(1.0) <= 1.0


def test_calls_name_fast_workers_for_urgent_steps():
    """Guards against tickets for slow workers only."""
    workers = [make_worker(f"w{number}") for number in range(60)]
    for number, worker in enumerate(workers):
        worker.health.speed = FAST if number >= 40 else SLOW
    named = choose_advised(make_step(2), 2, [], workers, [], outlook=outlook_of(URGENT))
    assert sum(worker.health.speed > 1 for worker in named) == 20


def test_a_step_that_took_longer_than_declared_extends_the_objective():
    """Guards against second steps that count as late because the first was long.

    Objectives follow the true length of the steps, so the observed one replaces the
    declared one as soon as a step is done.
    """
    placer = make_placer(URGENT, n_workers=1)
    job = make_job(make_step(1, run_time_s=0.2), make_step(1, after=(0,)), queue="u")
    progress = submit(placer, job)
    before = placer.run_times(progress)
    placements, _ = placer.decide(BEGUN_AT, WALL)
    mark_started(placer, placements)
    placer.workers["w1"].slots[placements[0].key, 1].started_at = BEGUN_AT
    answer_renewal(placer, "w1", BEGUN_AT + 2, ended=(ended_row(placements[0], 1),))
    after = placer.run_times(progress)
    assert after[0] > 2 * before[0]
    assert objective_s(job, URGENT, after) > objective_s(job, URGENT, before)


def test_speeds_are_relative_to_the_mean_pace_of_the_pool():
    """Guards against objectives counted from the fast workers of a pool.

    Callers count them from the mean, so that all jobs looked late on a pool whose
    workers differ.
    """
    placer = make_placer(URGENT, n_workers=3)
    for number in range(40):
        name = f"step{number}"
        for worker_id, took_s in (("w1", 0.7), ("w2", 0.7), ("w3", 1.7)):
            placer.speeds.observe(worker_id, 1, name, took_s)
        placer.speeds.step_done(name, "u", 1.0)
    placer.look_up_speeds()
    speeds = [placer.workers[f"w{number}"].health.speed for number in (1, 2, 3)]
    assert sum(1 / speed for speed in speeds) / 3 == pytest.approx(1.0)
    progress = submit(placer, make_job(make_step(run_time_s=1.0), queue="u"))
    assert placer.run_times(progress)[0] == pytest.approx(31 / 30, rel=0.1)
