"""Tests of decisions on more waiting steps than one of them considers.

Pattern: a burst of hundreds of urgent jobs for one kind of worker, beside patient jobs
that any worker may run.
"""

from __future__ import annotations

import math

from cuminhill.jobs.decisions import (
    MAX_STEPS_PER_DECISION,
    N_TURNS_PER_DECISION,
    waiting_steps,
)
from cuminhill.jobs.ordering import order_key

from .builders import (
    BEGUN_AT,
    WALL,
    make_job,
    make_placer,
    make_queue,
    make_step,
    mark_started,
    submit,
)

URGENT = make_queue("u", priority=0, stretch=2.2)
PATIENT = make_queue("p", priority=2, stretch=4.0, target_s=3.0)
N_BURST = MAX_STEPS_PER_DECISION + 100
INTERVAL_S = 0.1  # between decisions


def make_backlog(n_patient):
    """Return a placer with a burst of urgent jobs that have no place now."""
    placer = make_placer(URGENT, PATIENT, n_workers=6)
    for number in range(N_BURST):
        submit_urgent(placer, number)
    for number in range(n_patient):
        step = make_step(1, 1.0, run_time_s=2.7)
        job = make_job(step, queue="p", job_id=f"{number:08x}" + "f" * 8)
        submit(placer, job)
    return placer


def submit_urgent(placer, number):
    """Submit a job for a kind of worker that is not there."""
    step = make_step(1, 4.5, run_time_s=6.2, required_label="b")
    submit(placer, make_job(step, queue="u", job_id=f"{number:016x}"))


def all_steps(placer):
    """Return all waiting steps, in the order in which they are placed."""
    rows = []
    for job_id, progress in placer.jobs.items():
        single = make_placer(URGENT, PATIENT, n_workers=0)
        single.jobs = {job_id: progress}
        rows += waiting_steps(single, WALL)
    return sorted(rows, key=lambda row: order_key(row[0], row[1], WALL, row[2]))


# Guards against jobs that never start beside empty workers (rule LOST): each decision
# considered the same steps, none of which had a place.
def test_a_burst_without_a_place_does_not_keep_other_jobs_from_starting():
    placer = make_backlog(n_patient=3)
    started = set()
    for number in range(2 + N_BURST // N_TURNS_PER_DECISION):
        now = BEGUN_AT + INTERVAL_S * number
        placements, _ = placer.decide(now, WALL + INTERVAL_S * number)
        mark_started(placer, placements, now)
        started.update(item.key.job_id for item in placements)
    assert started == {f"{number:08x}" + "f" * 8 for number in range(3)}


# Guards against a decision whose work grows with the backlog, and against steps that
# newer ones keep from being considered.
def test_each_step_of_a_backlog_gets_its_turn():
    placer = make_backlog(n_patient=N_BURST)
    names = {step_run.name for step_run, _, _ in all_steps(placer)}
    n_rest = len(names) - MAX_STEPS_PER_DECISION + N_TURNS_PER_DECISION
    considered = set()
    for number in range(math.ceil(n_rest / N_TURNS_PER_DECISION) + 1):
        rows = waiting_steps(placer, WALL)
        assert len(rows) <= MAX_STEPS_PER_DECISION
        considered.update(step_run.name for step_run, _, _ in rows)
        for more in range(N_TURNS_PER_DECISION):
            submit_urgent(placer, N_BURST * (number + 2) + more)
    assert names <= considered


# Guards against urgent steps that others are placed before.
def test_the_most_urgent_steps_are_considered_each_time():
    placer = make_backlog(n_patient=0)
    first = [step_run.name for step_run, _, _ in all_steps(placer)]
    n_first = MAX_STEPS_PER_DECISION - N_TURNS_PER_DECISION
    for _ in range(5):
        rows = waiting_steps(placer, WALL)
        names = [step_run.name for step_run, _, _ in rows]
        assert names[:n_first] == first[:n_first]
        assert names == sorted(names, key=first.index)


# Guards against turns that are wasted while all steps can be considered.
def test_a_short_backlog_is_considered_as_a_whole():
    placer = make_placer(URGENT, n_workers=1)
    for number in range(MAX_STEPS_PER_DECISION):
        submit_urgent(placer, number)
    for _ in range(2):
        assert len(waiting_steps(placer, WALL)) == MAX_STEPS_PER_DECISION
