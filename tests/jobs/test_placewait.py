"""Tests of how long steps wait for a local placement; each names its load."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from cuminhill.jobs import decisions, keptrooms
from cuminhill.jobs.fleet import Slot
from cuminhill.jobs.lateness import NO_OBJECTIVE, Outlook
from cuminhill.jobs.model import AdviceTerms
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.placewait import (
    MAX_PARTIAL_WAIT_S,
    MAX_WAIT_S,
    WaitBounds,
    is_worthwhile,
)
from cuminhill.jobs.records import task_need
from cuminhill.jobs.waitnotes import longest_waits

from .builders import (
    BEGUN_AT,
    JOB_ID,
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

NOW = BEGUN_AT
TICK_S = 0.25
PATIENT = make_queue(priority=2, stretch=2.2, target_s=1.2)
URGENT = make_queue(priority=0, stretch=1.5, target_s=0.25)
TERMS = AdviceTerms(decide_s=0.1, per_worker_s=0.002, valid_s=2.5)
ADVISED = make_queue(priority=2, stretch=2.2, target_s=1.2, advice=TERMS)
CORES = 16.0


def make_racks(*queues, n_racks=3, per_rack=2, slowdown=2.0, term=1):
    """Return a placer with workers on some racks: w1-1 and w1-2 on rack r1, ..."""
    placer = Placer(term, BEGUN_AT, remote_slowdown=slowdown)
    placer.table = make_table(*(queues or (PATIENT,)))
    for rack in range(1, n_racks + 1):
        for number in range(1, per_rack + 1):
            name = f"w{rack}-{number}"
            placer.register_worker(make_entry(name, labels=("a", f"r{rack}")), NOW)
            answer_renewal(placer, name)
    return placer


def fill(placer, worker_id, *, ends_in_s, cores=CORES):
    """Have a run use cores of a worker until some seconds after the start."""
    worker = placer.workers[worker_id]
    index = sum(len(item.slots) for item in placer.workers.values())
    key = task_key(index, job_id="f" * 16)
    slot = Slot(key, 1, task_need(cores, 0.0, 0.0), ends_in_s)
    slot.started_at, slot.sent = NOW, True
    slot.mark_present(int(NOW * 1000), NOW, 1)
    worker.add(slot)
    return key


def end(placer, worker_id, key):
    """End a run that `fill` has added."""
    placer.workers[worker_id].release(key, 1)


def near_job(n_tasks=1, cores=CORES, **more):
    """Return a job with its data on rack r1."""
    run_time_s = more.pop("run_time_s", 8.0)
    step = make_step(n_tasks, cores, run_time_s=run_time_s, near_rack="r1", **more)
    return make_job(step)


def decide_until(placer, until_s, begin_s=0.0, on_tick=None, started=None):
    """Decide until some seconds after the start; return starts as (time, worker)."""
    started = [] if started is None else started
    at = begin_s
    while at <= until_s + 1e-6:
        if on_tick:
            on_tick(at)
        placements, calls = placer.decide(NOW + at, WALL + at)
        mark_started(placer, placements, NOW + at)
        started += [
            (at, item.worker_id) for item in placements if item.key.job_id == JOB_ID
        ]
        for call in calls:
            answer(placer, call, NOW + at)
        at += TICK_S
    return started


def answer(placer, call, now, forbidden=()):
    """Answer a call for advice at once."""
    permitted = [name for name in call.workers if name not in forbidden]
    advice = placer.advice.for_step(call.step)
    tickets = [(name, "t") for name in permitted]
    advice.store_answer(call.workers, tickets, now, call.valid_s)


# Load: the data rack is full with runs that end soon.


def test_a_task_waits_for_a_place_near_its_data_that_is_free_soon():
    """Guards against runs that take twice as long since a place came a moment later."""
    placer = make_racks()
    keys = [fill(placer, f"w1-{number}", ends_in_s=1.0) for number in (1, 2)]
    submit(placer, near_job())
    started = decide_until(placer, 0.75)
    assert started == []
    end(placer, "w1-2", keys[1])
    assert decide_until(placer, 2.0, 1.0) == [(1.0, "w1-2")]


def test_only_the_tasks_that_find_a_place_soon_wait():
    """Guards against a wide step that waits as a whole for a few local places."""
    placer = make_racks()
    fill(placer, "w1-1", ends_in_s=1.0)
    fill(placer, "w1-2", ends_in_s=60.0)
    submit(placer, near_job(n_tasks=4))
    started = decide_until(placer, 0.0)
    assert len(started) == 3
    assert all(not name.startswith("w1") for _, name in started)
    assert len(decide_until(placer, 0.75, TICK_S)) == 0


def test_room_left_unused_by_a_step_that_waits_is_there_for_others():
    """Guards against a wait that keeps other racks from steps behind it."""
    placer = make_racks(n_racks=2, per_rack=1)
    fill(placer, "w1-1", ends_in_s=1.0)
    submit(placer, near_job())
    other = make_job(make_step(1, CORES, run_time_s=8.0), job_id="b" * 16)
    submit(placer, other)
    placements, _ = placer.decide(NOW, WALL)
    assert [(item.key.job_id, item.worker_id) for item in placements] == [
        ("b" * 16, "w2-1")
    ]
    assert not placer.reserved


def test_the_wait_ends_if_the_place_does_not_come():
    """Guards against a job that counts as lost beside room on other racks."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.0)  # but they go on
    submit(placer, near_job())
    ((at, worker),) = decide_until(placer, 4.0)
    assert 1.0 < at <= MAX_WAIT_S
    assert not worker.startswith("w1")


def test_the_wait_counts_from_the_acceptance_where_the_pool_has_room():
    """Guards against a wait that comes on top of the wait for the first decision."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.9)  # but they go on
    submit(placer, near_job())
    ((at, _),) = decide_until(placer, 4.0, begin_s=1.5)
    assert 1.5 < at <= MAX_WAIT_S


def test_a_new_term_does_not_begin_the_wait_anew():
    """Guards against waits that add up over changes of the placer."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.0)
    job = near_job()
    submit(placer, job)
    assert decide_until(placer, 1.0) == []
    # Its term begins 1.5 s after the acceptance, and the whole pool but one is in use.
    later = make_racks(term=2)
    later.begun_at = NOW + 1.5
    for name in ("w1-1", "w1-2", "w2-1", "w2-2", "w3-1"):
        fill(later, name, ends_in_s=2.0)
    submit(later, job)
    assert decide_until(later, 4.0, begin_s=1.75) == [(MAX_WAIT_S, "w3-2")]


def test_a_job_that_has_waited_for_room_in_a_full_pool_may_wait_for_its_rack():
    """Guards against slow runs on a pool that is short of capacity."""
    placer = make_racks(n_racks=2)
    keys = {
        name: fill(placer, name, ends_in_s=ends_in_s)
        for name, ends_in_s in (("w1-1", 4.5), ("w1-2", 9), ("w2-1", 9), ("w2-2", 9))
    }
    submit(placer, near_job())
    assert decide_until(placer, 3.0) == []
    end(placer, "w2-1", keys["w2-1"])
    assert decide_until(placer, 4.25, 3.25) == []
    end(placer, "w1-1", keys["w1-1"])
    assert decide_until(placer, 5.0, 4.5) == [(4.5, "w1-1")]


def test_the_wait_in_a_full_pool_is_bounded_from_when_room_was_left():
    """Guards against a job of a full pool that leaves room unused without an end."""
    placer = make_racks(n_racks=2)
    keys = {
        name: fill(placer, name, ends_in_s=ends_in_s)
        for name, ends_in_s in (("w1-1", 4.5), ("w1-2", 4.5), ("w2-1", 9), ("w2-2", 9))
    }
    submit(placer, near_job(run_time_s=20.0))
    assert decide_until(placer, 3.0) == []
    end(placer, "w2-1", keys["w2-1"])
    ((at, worker),) = decide_until(placer, 9.0, 3.25)
    assert worker == "w2-1"
    assert 4.5 < at <= 3.25 + MAX_WAIT_S


def test_a_step_of_a_job_that_runs_waits_within_its_bound():
    """Guards against a second step that nothing starts while the first one runs."""
    placer = make_racks(n_racks=2)
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.0)  # but they go on
    first = make_step(1, CORES, run_time_s=30.0)
    second = make_step(1, CORES, run_time_s=30.0, near_rack="r1")
    submit(placer, make_job(first, second))
    (begun, (at, worker)) = decide_until(placer, 9.0)
    assert begun[0] == 0.0
    assert 1.0 < at <= MAX_WAIT_S
    assert worker.startswith("w2")


def test_a_step_of_a_job_that_runs_counts_its_wait_for_room():
    """Guards against a step without a run for 2 s for room and 2 s for its place."""
    placer = make_racks()
    keys = {
        name: fill(placer, name, ends_in_s=1.9 if name.startswith("w1") else 9.0)
        for name in ("w1-1", "w1-2", "w2-1", "w2-2", "w3-1")
    }
    first = make_step(1, CORES, run_time_s=30.0)
    second = make_step(1, CORES, run_time_s=30.0, near_rack="r1")
    submit(placer, make_job(first, second))
    assert decide_until(placer, 1.0) == [(0.0, "w3-2")]
    for name in ("w2-1", "w2-2", "w3-1"):  # less than .75 of the pool is left in use
        end(placer, name, keys[name])
    ((at, worker),) = decide_until(placer, 9.0, 1.25)
    assert 1.25 < at <= MAX_WAIT_S
    assert not worker.startswith("w1")


def test_the_other_tasks_of_a_step_wait_longer_but_not_without_a_bound():
    """Guards against a wide step whose last tasks never start."""
    placer = make_racks(n_racks=2)
    key = fill(placer, "w1-1", ends_in_s=60.0)
    fill(placer, "w1-2", ends_in_s=1.0)  # but it goes on
    end(placer, "w1-1", key)
    submit(placer, near_job(n_tasks=2, run_time_s=30.0))
    (first, (at, worker)) = decide_until(placer, 15.0)
    assert first == (0.0, "w1-1")
    assert MAX_WAIT_S < at <= MAX_PARTIAL_WAIT_S
    assert worker.startswith("w2")


# Load: the data rack is full with runs that end late.


def test_a_task_does_not_wait_for_runs_that_end_late():
    """Guards against a wait that is longer than what a local run saves."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.8)
    submit(placer, near_job(run_time_s=1.0))
    ((at, _),) = decide_until(placer, 1.0)
    assert at == 0.0
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=60.0)
    submit(placer, near_job())
    ((at, _),) = decide_until(placer, 1.0)
    assert at == 0.0


def test_runs_that_last_are_not_waited_for():
    """Guards against a wait for capacity that is never given back."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.0)
        for slot in placer.workers[f"w1-{number}"].slots.values():
            slot.long_running = True
    submit(placer, near_job())
    assert len(decide_until(placer, 0.0)) == 1


def test_a_rack_whose_workers_drain_is_not_waited_for():
    """Guards against a wait for workers that take no more tasks."""
    placer = make_racks()
    for number in (1, 2):
        name = f"w1-{number}"
        fill(placer, name, ends_in_s=1.0)
        entry = make_entry(name, labels=("a", "r1"), draining=True, drain_left_s=9.0)
        placer.register_worker(entry, NOW)
    submit(placer, near_job())
    assert len(decide_until(placer, 0.0)) == 1


def test_lasting_tasks_do_not_wait():
    """Guards against callers without a service since its data is on a full rack."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=0.5)
    submit(placer, near_job(long_running=True))
    assert len(decide_until(placer, 0.0)) == 1


def test_interrupted_tasks_do_not_wait():
    """Guards against a second delay of tasks whose worker was lost."""
    placer = make_racks()
    job = near_job()
    progress = submit(placer, job)
    ((_, name),) = decide_until(placer, 0.0)
    worker = placer.workers[name]
    (slot,) = worker.slots.values()
    placer.run_lost(worker, slot, "test", NOW)
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=0.5)
    assert progress.step_run(0, 0).n_interrupted == 1
    assert len(decide_until(placer, TICK_S, TICK_S)) == 1


def test_nothing_waits_where_the_distance_costs_nothing():
    """Guards against waits on a deployment whose slowdown is 1."""
    placer = make_racks(slowdown=1.0)
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=0.5)
    submit(placer, near_job())
    assert len(decide_until(placer, 0.0)) == 1


# Load: an idle pool.


@pytest.mark.parametrize("queue", [PATIENT, URGENT])
def test_tasks_on_an_idle_pool_start_at_once_near_their_data(queue):
    """Guards against patient tasks that prefer a place where they take longer.

    The price of speed, by which patient work leaves fast workers to urgent work, was
    taken for the distance of the data as well.
    """
    placer = make_racks(queue)
    submit(placer, near_job(n_tasks=2, run_time_s=1.0))
    assert sorted(decide_until(placer, 0.0)) == [(0.0, "w1-1"), (0.0, "w1-2")]


def test_tasks_that_find_no_room_near_their_data_start_elsewhere_on_an_idle_pool():
    """Guards against a wait for a rack that is too small for the step."""
    placer = make_racks()
    submit(placer, near_job(n_tasks=5, run_time_s=1.0))
    started = decide_until(placer, 0.0)
    assert len(started) == 5


# Load: a gang that could start spread over racks.


def gang_job(n_tasks=2, **more):
    return make_job(
        make_step(
            n_tasks,
            CORES,
            run_time_s=more.pop("run_time_s", 8.0),
            gang=True,
            same_rack=True,
            **more,
        )
    )


def racks_of(started):
    return {name.partition("-")[0] for _, name in started}


def test_a_gang_waits_for_a_rack_that_is_free_soon():
    """Guards against a gang that is spread over racks a moment too early."""
    placer = make_racks()
    keys = {
        name: fill(placer, name, ends_in_s=ends_in_s)
        for name, ends_in_s in (("w1-2", 60.0), ("w2-2", 1.0), ("w3-2", 60.0))
    }
    submit(placer, gang_job())
    assert decide_until(placer, 0.75) == []
    (reservation,) = placer.reservations.values()
    assert reservation.places == {"w2-1": 1, "w2-2": 1}
    end(placer, "w2-2", keys["w2-2"])
    started = decide_until(placer, 1.0, 1.0)
    assert started == [(1.0, "w2-1"), (1.0, "w2-2")]
    assert not placer.reservations


def test_a_gang_is_spread_at_once_if_each_rack_is_in_use_for_long():
    """Guards against a gang that waits longer than a spread one would take."""
    placer = make_racks()
    for rack in (1, 2, 3):
        fill(placer, f"w{rack}-2", ends_in_s=60.0)
    submit(placer, gang_job())
    started = decide_until(placer, 0.0)
    assert len(started) == 2
    assert len(racks_of(started)) == 2


def test_a_gang_too_large_for_a_rack_is_spread_at_once():
    """Guards against a wait for a rack on which the gang never fits."""
    placer = make_racks()
    submit(placer, gang_job(n_tasks=3))
    assert len(decide_until(placer, 0.0)) == 3


def test_a_gang_starts_spread_when_its_rack_does_not_become_free():
    """Guards against a gang that counts as lost beside room on several racks."""
    placer = make_racks()
    for rack in (1, 2, 3):
        fill(placer, f"w{rack}-2", ends_in_s=1.0)
    submit(placer, gang_job())
    started = decide_until(placer, 4.0)
    assert len(started) == 2
    assert all(1.0 < at <= MAX_WAIT_S for at, _ in started)
    assert len(racks_of(started)) == 2


def test_a_gang_near_its_data_waits_as_a_whole():
    """Guards against a gang of which one member far from the data slows the others."""
    placer = make_racks()
    key = fill(placer, "w1-2", ends_in_s=1.0)
    submit(placer, near_job(n_tasks=2, gang=True))
    assert decide_until(placer, 0.75) == []
    end(placer, "w1-2", key)
    assert racks_of(decide_until(placer, 1.0, 1.0)) == {"w1"}


def test_a_gang_on_an_idle_pool_starts_on_the_rack_of_its_data():
    """Guards against a gang on one rack, but away from its data."""
    placer = make_racks()
    job = make_job(
        make_step(2, CORES, gang=True, same_rack=True, near_rack="r3", run_time_s=8.0)
    )
    submit(placer, job)
    assert racks_of(decide_until(placer, 0.0)) == {"w3"}


# Load: a pool whose free room is headroom for urgent work.


def test_headroom_is_neither_waited_for_nor_left_unused():
    """Guards against a wait that names a place, while the step may not use any room."""
    placer = make_racks(PATIENT, make_queue("u", priority=0))
    for name in list(placer.workers)[1:]:
        fill(placer, name, ends_in_s=60.0, cores=15.0)
    fill(placer, "w1-1", ends_in_s=1.0, cores=12.0)
    progress = submit(placer, near_job(cores=1.0))
    assert decide_until(placer, 1.0) == []
    wait = progress.step_run(0, 0).wait
    assert wait.place_since == 0.0
    assert wait.cause.reason == "headroom"


# Load: placement that needs advice.


def test_a_local_worker_that_advice_forbids_is_not_waited_for():
    """Guards against a wait for a place on which the task may never run."""
    placer = make_racks(ADVISED)
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.0)
    submit(placer, near_job())
    _, (call,) = placer.decide(NOW, WALL)
    answer(placer, call, NOW, forbidden=("w1-1", "w1-2"))
    placements, _ = placer.decide(NOW + TICK_S, WALL + TICK_S)
    assert len(placements) == 1


def test_a_local_worker_that_was_not_asked_about_is_asked_about_first():
    """Guards against a task that starts elsewhere for want of a ticket for its rack."""
    placer = make_racks(ADVISED)
    progress = submit(placer, near_job())
    advice = placer.advice.for_step(progress.step_run(0, 0).name)
    others = {"w2-1": 1, "w2-2": 1}
    advice.store_answer(others, [(name, "t") for name in others], NOW, 2.5)
    placements, (call,) = placer.decide(NOW, WALL)
    assert placements == []
    assert set(call.workers) == {"w1-1", "w1-2"}
    answer(placer, call, NOW)
    ((_, name),) = decide_until(placer, TICK_S, TICK_S)
    assert name.startswith("w1")


def test_the_first_call_names_the_local_workers_first_also_those_without_room():
    """Guards against a pool so large that the call leaves out the rack of the data."""
    placer = make_racks(ADVISED, n_racks=40)
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.0)
    submit(placer, near_job())
    _, (call,) = placer.decide(NOW, WALL)
    assert {"w1-1", "w1-2"} <= set(call.workers)


def test_tickets_for_other_racks_are_at_hand_when_the_wait_ends():
    """Guards against a call for advice on top of the longest wait."""
    placer = make_racks(ADVISED)
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.0)  # but they go on
    submit(placer, near_job())
    ((at, worker),) = decide_until(placer, 4.0)
    assert 1.0 < at <= MAX_WAIT_S
    assert not worker.startswith("w1")


def test_a_gang_keeps_tickets_for_the_rack_that_it_waits_for():
    """Guards against a rack that becomes free while its tickets have lapsed."""
    terms = AdviceTerms(decide_s=0.1, per_worker_s=0.002, valid_s=1.25)
    placer = make_racks(make_queue(priority=2, stretch=9.0, advice=terms), n_racks=20)
    keys = {
        f"w{rack}-2": fill(placer, f"w{rack}-2", ends_in_s=1.5 if rack == 20 else 60.0)
        for rack in range(1, 21)
    }
    progress = submit(placer, gang_job())
    assert decide_until(placer, 1.25) == []
    end(placer, "w20-2", keys["w20-2"])
    advice = placer.advice.for_step(progress.step_run(0, 0).name)
    assert advice.ticket("w20-1", 1, NOW + 1.5)
    assert advice.ticket("w20-2", 1, NOW + 1.5)
    started = decide_until(placer, 1.5, 1.5)
    assert racks_of(started) == {"w20"}


# What is known of runs that are not local.


def test_a_run_far_from_its_data_is_expected_to_take_longer():
    """Guards against steps that wait for the end of a run that takes twice as long."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=60.0)
    submit(placer, near_job(run_time_s=4.0))
    ((_, name),) = decide_until(placer, 0.0)
    worker = placer.workers[name]
    (slot,) = worker.slots.values()
    assert slot.expected_end(1.0) == NOW + 8.0


def test_a_spread_gang_is_expected_to_take_longer():
    """Guards against a reservation for the time at which a spread gang goes on."""
    placer = make_racks()
    submit(placer, gang_job(n_tasks=3, run_time_s=4.0))
    decide_until(placer, 0.0)
    ends = {
        slot.expected_end(1.0)
        for worker in placer.workers.values()
        for slot in worker.slots.values()
    }
    assert ends == {NOW + 8.0}
    placer = make_racks()
    submit(placer, gang_job(n_tasks=2, run_time_s=4.0))
    decide_until(placer, 0.0)
    ends = {
        slot.expected_end(1.0)
        for worker in placer.workers.values()
        for slot in worker.slots.values()
    }
    assert ends == {NOW + 4.0}


def test_a_worker_does_not_count_as_slow_for_a_run_far_from_its_data():
    """Guards against speeds that fall with the number of runs far from their data."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=60.0)
    submit(placer, near_job(n_tasks=2, run_time_s=4.0))
    placements, _ = placer.decide(NOW, WALL)
    mark_started(placer, placements, NOW)
    first, second = placements
    answer_renewal(
        placer,
        first.worker_id,
        NOW + 8.0,
        running=() if second.worker_id != first.worker_id else (running_row(second),),
        ended=(ended_row(first, 1),),
    )
    ((observed,),) = placer.speeds.ends.values()
    assert observed.actual_s == pytest.approx(4.0)


# What operators see.


def test_the_reason_is_named_in_the_log_and_the_dump():
    """Guards against a wait beside free workers that nothing explains."""
    placer = make_racks()
    for number in (1, 2):
        fill(placer, f"w1-{number}", ends_in_s=1.8)
    submit(placer, near_job())
    with capture_logs() as logs:
        assert decide_until(placer, 1.5) == []
    (line,) = [row for row in logs if row["event"] == "step waits"]
    assert line["reason"] == "near_place"
    (row,) = longest_waits(placer, NOW + 1.5)
    assert row["reason"] == "near_place"
    assert placer.counts["place_waits"] == 1


# The rule itself.


def test_a_wait_is_worth_less_the_longer_it_is():
    """Guards against a wait beyond what a local run saves."""
    assert is_worthwhile(NO_OBJECTIVE, 0.5, 2.0, 8.0, 16.0)
    assert not is_worthwhile(NO_OBJECTIVE, 2.5, 2.0, 8.0, 16.0)
    assert not is_worthwhile(NO_OBJECTIVE, 1.0, 2.0, 2.0, 3.0)
    assert not is_worthwhile(NO_OBJECTIVE, 0.0, 2.0, 3.0, 3.0)


def test_a_job_that_is_just_in_time_elsewhere_does_not_risk_a_wait():
    """Guards against a job that is late since the place did not come."""
    outlook = Outlook(1.0, 0.1, stretch=3.2, elapsed_s=0.1)
    assert not is_worthwhile(outlook, 0.9, 2.0, 1.0, 2.0)
    assert is_worthwhile(NO_OBJECTIVE, 0.9, 2.0, 1.0, 2.0)


def test_room_kept_in_a_busy_pool_counts_against_the_wait_of_a_gang():
    """Guards against a gang that holds most of a rack for as long as it would run."""
    assert is_worthwhile(NO_OBJECTIVE, 1.9, 2.0, 2.0, 4.0)
    assert not is_worthwhile(NO_OBJECTIVE, 1.9, 2.0, 2.0, 4.0, held_share=0.9)


TIMES = st.floats(0.0, 60.0)


BOUNDS = st.builds(
    WaitBounds,
    TIMES,
    TIMES,
    TIMES,
    st.just(0.0) | TIMES,
    TIMES,
    st.booleans(),
    st.booleans(),
)


@given(BOUNDS)
def test_no_wait_is_longer_than_its_bound(bounds):
    """Guards against a combination of times for which a step waits without a bound."""
    until = bounds.until()
    longest_s = MAX_PARTIAL_WAIT_S if bounds.partial else MAX_WAIT_S
    assert until <= bounds.stale_at
    assert until <= bounds.held_since + longest_s
    if not (bounds.partial or bounds.full):
        assert until <= bounds.waits_since + MAX_WAIT_S
    inherited = bounds.idle_since < bounds.begun_at
    if bounds.idle_since and (inherited or not bounds.full):
        assert until <= bounds.idle_since + MAX_WAIT_S


RUNS = st.lists(
    st.tuples(
        st.sampled_from(
            [f"w{rack}-{number}" for rack in (1, 2, 3) for number in (1, 2)]
        ),
        st.sampled_from([4.0, 8.0, 16.0]),
        st.sampled_from([0.3, 1.0, 3.0, 20.0, math.inf]),  # when they end
        st.sampled_from([0.3, 1.0, 3.0, 20.0]),  # when they are expected to end
    ),
    max_size=10,
)
STEPS = st.builds(
    make_step,
    st.integers(1, 4),
    st.sampled_from([4.0, 16.0]),
    run_time_s=st.sampled_from([0.5, 2.0, 8.0]),
    near_rack=st.sampled_from(["", "r1"]),
    gang=st.booleans(),
    same_rack=st.booleans(),
)


def play(placer, runs, jobs, begin_tick=0):
    """Play 6 s of a load; return when and where each task of the jobs started.

    Runs end at their own times, which are other ones than the placer expects.
    """
    ends = {}
    for name, cores, end_s, expected_s in runs:
        if placer.workers[name].free.cores >= cores:
            ends[name, fill(placer, name, ends_in_s=expected_s, cores=cores)] = end_s
    for job in jobs:
        submit(placer, job)
    started = []
    for tick in range(begin_tick, begin_tick + 25):
        at = tick * TICK_S
        for (name, key), end_s in list(ends.items()):
            if end_s <= at:
                end(placer, name, key)
                del ends[name, key]
        placements, calls = placer.decide(NOW + at, WALL + at)
        mark_started(placer, placements, NOW + at)
        started += [(at, *item) for item in placements]
        for call in calls:
            answer(placer, call, NOW + at)
        yield at, started


def first_start(runs, step, queue, slowdown):
    """Return when the first task of a step starts; infinite if none does in time."""
    placer = make_racks(queue, slowdown=slowdown)
    for at, started in play(placer, runs, [make_job(step)]):
        if started:
            return at
        step_run = next(iter(placer.jobs.values())).step_run(0, 0)
        since = step_run.wait.place_since
        assert not since or NOW + at < since + MAX_WAIT_S
    return math.inf


@settings(max_examples=150, deadline=None)
@given(RUNS, STEPS, st.sampled_from([PATIENT, URGENT, ADVISED]))
def test_no_load_makes_a_job_wait_longer_than_the_bound_for_its_place(
    runs, step, queue
):
    """Guards against a load on which a job counts as lost beside room for it.

    With a slowdown of 1 the same job starts as soon as there is room anywhere.
    """
    without = first_start(runs, step, queue, 1.0)
    started = first_start(runs, step, queue, 2.0)
    assert started <= without + MAX_WAIT_S


@settings(max_examples=60, deadline=None)
@given(
    RUNS,
    st.lists(STEPS, min_size=1, max_size=5),
    st.sampled_from([PATIENT, URGENT, ADVISED]),
    st.integers(0, 24),
)
def test_idle_jobs_wait_for_places_within_the_bound_across_terms(
    runs, steps, queue, change_tick
):
    """Guards against waits beside each other, or in two terms, that add up.

    The placer changes once; the jobs that have not started are taken in again.
    """
    waits = {}
    plan = decisions.plan_wait

    def spy(placer, step_run, *args, **more):
        found = plan(placer, step_run, *args, **more)
        if found is not None and not step_run.n_assigned:
            waits.setdefault(step_run.name, []).append(more["now"])
            if queue.pool not in placer.full_pools:
                assert more["now"] < NOW + MAX_WAIT_S
        return found

    jobs = [
        make_job(step, job_id=f"{number:016x}") for number, step in enumerate(steps)
    ]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(decisions, "plan_wait", spy)
        begun = set()
        for at, started in play(make_racks(queue), runs, jobs):
            begun = {item[2].job_id for item in started}
            if at >= change_tick * TICK_S:
                break
        later = make_racks(queue, term=2)
        later.begun_at = NOW + at + TICK_S
        left = [job for job in jobs if job.job_id not in begun]
        for _ in play(later, runs, left, begin_tick=change_tick + 1):
            pass
    for times in waits.values():
        assert max(times) - min(times) < MAX_WAIT_S


@settings(max_examples=40, deadline=None)
@given(
    RUNS,
    st.lists(
        st.builds(
            make_step,
            st.integers(1, 4),
            st.sampled_from([4.0, 16.0]),
            run_time_s=st.sampled_from([0.5, 2.0, 8.0]),
            gang=st.booleans(),
        ),
        min_size=1,
        max_size=4,
    ),
    st.sampled_from([PATIENT, URGENT, ADVISED]),
)
def test_steps_without_a_rack_are_placed_as_without_the_rule(runs, steps, queue):
    """Guards against a cost or a change for steps to which locality is nothing."""
    jobs = [
        make_job(step, job_id=f"{number:016x}") for number, step in enumerate(steps)
    ]
    found = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(decisions, "plan_wait", None)  # a call would fail
        patch.setattr(keptrooms, "_local_places", None)
        for slowdown in (1.0, 2.0, 10.0):
            placer = make_racks(queue, slowdown=slowdown)
            *_, (_, started) = play(placer, runs, jobs)
            assert placer.counts["place_waits"] == 0
            found.append(started)
    assert found[0] == found[1] == found[2]


def test_the_default_slowdown_is_that_of_a_placer_without_a_setting():
    """Guards against a deployment without the setting that waits for nothing."""
    assert make_placer().remote_slowdown == 2.0
