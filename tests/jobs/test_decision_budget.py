"""Tests of decisions that their input would make too long."""

from __future__ import annotations

import itertools

import orjson
import pytest

from cuminhill.jobs import decisions, ordering
from cuminhill.jobs.decisionbudget import MAX_DECISION_S, steps_in_turn
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import decode_job, encode_job
from cuminhill.platform.wire import decode_job_body

from .builders import (
    BEGUN_AT,
    JOB_ID,
    WALL,
    make_job,
    make_placer,
    make_queue,
    make_step,
    submit,
)

N_JOBS, N_STEPS = 20, 100
N_CHECKS = 20  # looks at the clock until the time of a decision is used
MANY_JOBS = 60


def make_graph():
    """Return steps of which each of one half waits for all of the other half."""
    steps = [make_step()] * N_STEPS
    return steps + [make_step(after=tuple(range(N_STEPS)))] * N_STEPS


@pytest.fixture
def considered(monkeypatch):
    """Return a list with the names of the steps of each decision."""
    found = []

    def record(placer, rows):
        found.append([])
        for row in steps_in_turn(placer, rows):
            found[-1].append(row[0].name)
            yield row

    monkeypatch.setattr(decisions, "steps_in_turn", record)
    return found


def make_slow_placer():
    """Return a placer without workers each of whose looks at the clock takes long."""
    queues = make_queue("urgent", priority=0), make_queue("patient", priority=2)
    placer = make_placer(*queues, n_workers=0)
    ticks = itertools.count()
    placer.budget.clock = lambda: next(ticks) * MAX_DECISION_S / N_CHECKS
    return placer


def submit_many(placer, queue, n_jobs=MANY_JOBS, letter="a"):
    """Submit jobs of one step; return the names of their steps."""
    ids = [f"{number:015d}{letter}" for number in range(n_jobs)]
    for job_id in ids:
        submit(placer, make_job(job_id=job_id, queue=queue))
    return {f"{job_id}.0.0" for job_id in ids}


def test_repeated_predecessors_count_once():
    """Guards against bodies of legal size that make each decision take seconds."""
    phases = [{"count": 1}, {"count": 1}, {"count": 1, "after": [1, 0] * 50_000}]
    body = orjson.dumps({"spec": "x", "phases": phases})
    job = decode_job_body(JOB_ID, "q", body, WALL)
    assert job.steps[2].after == (0, 1)
    assert len(encode_job(job)) < 1000


def test_repeated_predecessors_of_a_stored_job_count_once():
    """Guards against such a body that an earlier build has accepted."""
    job = make_job(make_step(), make_step(after=(0,)))
    stored = orjson.loads(encode_job(job))
    stored["steps"][1]["after"] = [0] * 10_000
    assert decode_job(JOB_ID, orjson.dumps(stored)) == job


def test_the_graph_of_a_job_is_walked_once(monkeypatch):
    """Guards against decisions that walk the graph of a job for each waiting step."""
    n_walks = n_searches = 0
    walk, search = ordering._find_path_lengths, Progress._find_frontier

    def count_walk(*args):
        nonlocal n_walks
        n_walks += 1
        return walk(*args)

    def count_search(*args):
        nonlocal n_searches
        n_searches += 1
        return search(*args)

    monkeypatch.setattr(ordering, "_find_path_lengths", count_walk)
    monkeypatch.setattr(Progress, "_find_frontier", count_search)
    placer = make_placer()
    for number in range(N_JOBS):
        submit(placer, make_job(*make_graph(), job_id=f"{number:016d}"))
    for number in range(10):
        placer.decide(BEGUN_AT + number, WALL + number)
    assert N_JOBS <= n_walks <= 2 * N_JOBS  # by mean and by longest tasks
    assert N_JOBS <= n_searches <= 2 * N_JOBS


def test_the_frontier_follows_the_steps_that_are_finished():
    """Guards against steps that start too early, or not at all."""
    graph = [(), (), (0,), (0, 1), (2,), (3, 4)]
    job = make_job(*(make_step(after=after) for after in graph), n_times=2)
    progress = Progress(job)

    def finish(occurrence, number):
        key = progress.step_run(occurrence, number).key(0)
        progress.assign(key, "w1", 1, 1)
        upcoming = set(progress.upcoming_steps(WALL))
        progress.unassign(key)
        progress.finish_task(key)
        return upcoming

    for occurrence, number in itertools.product((0, 1), range(len(graph))):
        upcoming = finish(occurrence, number)
        for other, after in enumerate(graph):
            before = {(occurrence, item) for item in after} - progress.finished
            assert ((occurrence, other) in upcoming) is (number in after and not before)
        ready = {(item.occurrence, item.number) for item in progress.ready_steps(WALL)}
        assert ready == {
            (time, other)
            for time, other in itertools.product((0, 1), range(len(graph)))
            if progress.is_ready(time, other, WALL)
        }
    assert not ready


@pytest.mark.parametrize("queue", ["urgent", "patient"])
def test_each_step_has_its_turn_though_no_decision_has_time_for_all(considered, queue):
    """Guards against steps that are left out for ever since others come before them."""
    placer = make_slow_placer()
    names = submit_many(placer, queue)
    for number in range(MANY_JOBS // 2):
        placer.decide(BEGUN_AT, WALL + number)
    assert set().union(*considered) == names
    assert all(0 < len(found) <= N_CHECKS for found in considered)


def test_urgent_steps_do_not_wait_for_those_that_had_no_turn(considered):
    """Guards against an urgent job that is looked at after all others have been."""
    placer = make_slow_placer()
    submit_many(placer, "patient")
    for _ in range(3):
        placer.decide(BEGUN_AT, WALL)
    names = submit_many(placer, "urgent", 1, "b")
    placer.decide(BEGUN_AT, WALL)
    assert names == {considered[-1][0]}
    assert len(considered[-1]) > 1


def test_patient_steps_have_their_turn_beside_many_urgent_ones(considered):
    """Guards against patient jobs that no decision looks at while urgent ones come."""
    placer = make_slow_placer()
    submit_many(placer, "urgent")
    names = submit_many(placer, "patient", letter="b")
    for number in range(MANY_JOBS):
        placer.decide(BEGUN_AT, WALL + number)
    assert names <= set().union(*considered)


def test_a_decision_that_has_time_considers_all_steps(considered):
    """Guards against a budget that leaves out steps without need."""
    placer = make_slow_placer()
    placer.budget.clock = lambda: 0.0
    names = submit_many(placer, "patient")
    placer.decide(BEGUN_AT, WALL)
    assert set(considered[0]) == names
    assert not placer.budget.unseen_jobs
    assert not placer.budget.unreached_steps
