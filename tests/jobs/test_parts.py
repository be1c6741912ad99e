"""Tests of ordering, packing, health, leases and advice."""

from __future__ import annotations

from cuminhill.jobs.advice import (
    EXCLUDE_S,
    MAX_EXCLUDE_S,
    TICKET_MARGIN_S,
    Adviser,
    StepAdvice,
    choose_adviser,
)
from cuminhill.jobs.fleet import Slot, Worker, first_fencing_token
from cuminhill.jobs.health import EJECT_S, N_FAILURES_TO_EJECT, make_worker_health
from cuminhill.jobs.ordering import (
    critical_path_s,
    objective_s,
    order_key,
)
from cuminhill.jobs.packing import (
    choose_advised,
    make_candidates,
    n_fitting_tasks,
    place_gang,
    reserve,
)
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import task_need

from .builders import WALL, make_entry, make_job, make_queue, make_step, task_key


def make_worker(worker_id="w1", **more):
    return Worker(make_entry(worker_id, **more), first_fencing_token(1), 0.0)


def first_step(job):
    return Progress(job).step_run(0, 0)


# Ordering


def test_critical_path_is_the_longest_path():
    """Guards against an objective based on the sum of parallel steps."""
    job = make_job(
        make_step(run_time_s=1.0),
        make_step(run_time_s=5.0),
        make_step(run_time_s=2.0, after=(0,)),
        make_step(run_time_s=1.0, after=(0, 1)),
    )
    assert critical_path_s(job) == 6.0
    assert critical_path_s(job, 0, first_only=True) == 3.0
    assert objective_s(job, make_queue(stretch=2.0, target_s=0.5)) == 12.5


def test_mixed_urgency_checks_go_before_long_work_that_is_still_in_time():
    """Guards against urgent checks behind a backlog of long jobs."""
    check = first_step(make_job(make_step(run_time_s=1.0), accepted_at=WALL))
    long = first_step(make_job(make_step(run_time_s=6.0), accepted_at=WALL - 5))
    urgent = make_queue("u", priority=0, stretch=1.5, target_s=0.25)
    later = make_queue("l", priority=1, stretch=2.2)
    assert order_key(check, urgent, WALL) < order_key(long, later, WALL)


def test_overload_late_work_goes_after_work_that_can_still_be_in_time():
    """Guards against a backlog that makes one job after the other late."""
    queue = make_queue(stretch=2.0, target_s=1.0)
    late = first_step(make_job(make_step(run_time_s=2.0), accepted_at=WALL - 8))
    fresh = first_step(make_job(make_step(run_time_s=2.0), accepted_at=WALL))
    stale = first_step(make_job(make_step(run_time_s=2.0), accepted_at=WALL - 60))
    keys = [order_key(item, queue, WALL) for item in (fresh, late, stale)]
    assert keys == sorted(keys)


def test_overload_a_late_check_goes_before_long_work_that_is_in_time():
    """Guards against delaying work with waiting callers for work without.

    A check with a far too short declared time looks late from the start, but its
    caller still waits for it.
    """
    urgent = make_queue("u", priority=0, stretch=1.5, target_s=0.25)
    later = make_queue("l", priority=2, stretch=2.2)
    late = first_step(make_job(make_step(run_time_s=0.5), accepted_at=WALL - 1))
    long = first_step(make_job(make_step(run_time_s=6.0), accepted_at=WALL))
    stale = first_step(make_job(make_step(run_time_s=0.5), accepted_at=WALL - 60))
    keys = [order_key(late, urgent, WALL), order_key(long, later, WALL)]
    assert [*keys, order_key(stale, urgent, WALL)] == sorted(
        [*keys, order_key(stale, urgent, WALL)]
    )


# Packing


def test_failed_tasks_avoid_the_worker_that_failed_them():
    """Guards against running all attempts of a task on one bad worker."""
    workers = [make_worker("w1"), make_worker("w2")]
    workers[0].health.speed = 1.5
    assert make_candidates(make_step(), workers).pick(avoid={"w1"}) is workers[1]


def test_a_gang_prefers_one_rack_and_else_uses_any():
    """Guards against gangs spread over racks without need, and gangs never placed."""
    workers = [
        make_worker("w1", labels=("a", "r1")),
        make_worker("w2", labels=("a", "r2")),
        make_worker("w3", labels=("a", "r2")),
    ]
    workers[0].health.speed = 2.0
    step = make_step(2, cores=10.0, gang=True, same_rack=True)
    placed = place_gang(make_candidates(step, workers))
    assert {worker.rack for worker in placed} == {"r2"}
    wide = make_step(3, cores=10.0, gang=True, same_rack=True)
    assert len(place_gang(make_candidates(wide, workers))) == 3


def make_slot(cores, index, **more):
    """Return the slot of a run that takes some cores."""
    run_time_s = more.pop("run_time_s", 1.0)
    return Slot(task_key(index), 1, task_need(cores, 0.0, 0.0), run_time_s, **more)


def test_workers_are_reserved_only_for_a_gang_that_can_fit():
    """Guards against workers reserved for a gang that never fits."""
    workers = [make_worker("w1"), make_worker("w2")]
    now = 10.0
    reserved = {"w1": now, "w2": now}
    assert reserve(make_step(2, cores=16.0), workers, 2, now) == reserved
    assert reserve(make_step(3, cores=16.0), workers, 3, now) == {}


# Guards against workers reserved for a gang that never fits beside tasks that last.
def test_capacity_that_never_becomes_free_is_not_reserved():
    workers = [make_worker("w1"), make_worker("w2")]
    workers[0].add(make_slot(7.0, 0, long_running=True))
    assert reserve(make_step(2, cores=8.0), workers, 2, 10.0)
    assert reserve(make_step(4, cores=8.0, gang=True), workers, 4, 10.0) == {}


# Guards against workers that stay idle until the last run has ended elsewhere.
def test_a_reservation_begins_when_the_step_is_expected_to_fit():
    workers = [make_worker("w1"), make_worker("w2")]
    workers[0].add(make_slot(10.0, 0, run_time_s=5.0, started_at=8.0))
    workers[1].add(make_slot(10.0, 1, run_time_s=60.0, started_at=8.0))
    gang = make_step(2, cores=10.0, gang=True)
    assert reserve(gang, workers, 2, 10.0) == {"w1": 68.0, "w2": 68.0}
    plain = make_step(2, cores=10.0)
    assert reserve(plain, workers, 2, 10.0) == {"w1": 13.0, "w2": 68.0}
    assert reserve(plain, workers, 1, 10.0) == {"w1": 13.0}


# Health


def test_a_worker_that_fails_different_jobs_is_ejected_longer_each_time():
    """Guards against a worker that fails all runs and so always has free capacity."""
    health = make_worker_health()
    for number in range(N_FAILURES_TO_EJECT):
        ejected = health.record_failure(f"job{number}", 10.0)
    assert ejected
    assert not health.accepts_runs(10.0 + EJECT_S - 0.1)
    assert health.accepts_runs(10.0 + EJECT_S + 0.1)
    assert health.record_failure("another", 20.0)
    assert health.ejected_until == 20.0 + 2 * EJECT_S


def test_a_job_that_always_fails_does_not_eject_workers():
    """Guards against one faulty job that gets healthy workers ejected."""
    health = make_worker_health()
    assert not any(health.record_failure("same", 1.0) for _ in range(10))


# Leases


def test_the_end_of_a_lease_counts_the_slow_clock():
    """Guards against a second run while a worker with a slow clock still runs it."""
    worker = make_worker()
    worker.update_clock(50_000, 100.0)
    until_ms = worker.lease_end_ms(101.0, 5.0)
    assert until_ms == 56_000
    worker.record_lease(until_ms)
    assert worker.lapse_at > 100.0 + 6.0 / 0.98


def test_fencing_tokens_of_a_later_term_are_higher_than_all_of_an_earlier_one():
    """Guards against accepting the token of an earlier placer as the newer one."""
    assert first_fencing_token(3) > first_fencing_token(2) + 100_000


# Advice


def test_a_ticket_is_void_near_its_end_and_for_another_incarnation():
    """Guards against starts that the worker rejects because of the ticket."""
    advice = StepAdvice()
    advice.store_answer({"w1": 7, "w2": 7}, [("w1", "t")], 10.0, 2.5)
    assert advice.permits("w1")
    assert not advice.permits("w2")
    assert advice.ticket("w1", 7, 11.0) == "t"
    assert advice.ticket("w1", 8, 11.0) == ""
    assert advice.ticket("w1", 7, 12.5 - TICKET_MARGIN_S / 2) == ""


def test_calls_for_advice_are_spread_over_vms():
    """Guards against all steps waiting for one VM's queue at the service."""
    advisers = [Adviser("a"), Adviser("b")]
    chosen = [choose_adviser(advisers, 0.0, 0.5, 0.8).vm for _ in range(4)]
    assert sorted(chosen) == ["a", "a", "b", "b"]
    assert choose_adviser(advisers, 0.0, 0.5, 0.8) is None
    advisers[0].excluded_until = 5.0
    assert choose_adviser(advisers, 2.0, 0.5, 0.8).vm == "b"


def test_long_calls_leave_vms_to_the_short_calls_of_urgent_steps():
    """Guards against checks that wait behind calls for advice on long work.

    On okrnik, checks with a slack of 0.25 s waited for half a second this way before
    their first start.
    """
    advisers = [Adviser(f"vm{number}") for number in range(9)]
    while choose_adviser(advisers, 0.0, 0.6, 0.8) is not None:
        pass
    for _ in range(3):
        assert choose_adviser(advisers, 0.0, 0.05, 0.8).busy_until <= 0.05
    assert choose_adviser([Adviser("only")], 0.0, 0.6, 0.8) is not None


def test_calls_for_advice_follow_the_free_capacity_of_a_large_pool():
    """Guards against steps that all ask about the same workers of a large pool.

    On a pool of 350 workers, the first 100 were named each time, and gangs waited for
    30 s while most of the pool was free.
    """
    workers = [make_worker(f"w{number:03}") for number in range(350)]
    for worker in workers[:120]:
        worker.free = worker.free - worker.entry.capacity
    step = make_step(20, cores=8.0, gang=True)
    named = choose_advised(step, 20, [], workers, [])
    assert {item.worker_id for item in named} <= {
        item.worker_id for item in workers[120:]
    }
    assert n_fitting_tasks(step, named) >= 4 * 20


def test_blocked_gang_asks_for_tickets_only_when_it_can_fit():
    """Guards against renewing tickets for a gang that does not fit."""
    workers = [make_worker("w1"), make_worker("w2")]
    step = make_step(5, cores=8.0, gang=True)
    assert choose_advised(step, 5, workers, [], []) == []
    assert choose_advised(step, 4, workers, [], []) == workers


def test_a_cut_failure_domain_takes_no_calls_for_advice():
    """Guards against calls for advice that are lost one after the other.

    A VM that did not answer looked idle and so was asked again at once; with a failure
    domain cut off, checks waited for 1.5 s and more.
    """
    cut, alive = Adviser("cut"), Adviser("alive")
    for _ in range(5):  # calls that were in flight together
        cut.record_failure(10.0)
    alive.busy_until = 10.3
    assert choose_adviser([cut, alive], 10.1, 0.1, 0.8) is alive
    assert cut.excluded_until == 10.0 + EXCLUDE_S
    cut.record_failure(11.5)
    cut.record_failure(14.0)
    cut.record_failure(18.5)
    assert cut.excluded_until == 18.5 + MAX_EXCLUDE_S
    cut.record_answer(29.0)
    cut.record_failure(30.0)
    assert cut.excluded_until == 30.0 + EXCLUDE_S


def test_vms_that_answer_are_asked_first_after_a_failure():
    """Guards against trying all VMs of a cut failure domain in turn.

    They fail together, and each call that is sent to one of them is lost time.
    """
    first, second, alive = Adviser("first"), Adviser("second"), Adviser("alive")
    for adviser in (first, second, alive):
        adviser.record_answer(10.0)
    alive.record_answer(13.4)
    alive.busy_until = 14.3
    first.record_failure(14.0)
    assert choose_adviser([first, second, alive], 14.1, 0.05, 0.8) is alive
    alive.busy_until = 15.5  # too busy
    assert choose_adviser([first, second, alive], 14.1, 0.05, 0.8) is second
    second.busy_until = alive.busy_until = 0.0
    # They come last until they have answered, not for a time.
    assert choose_adviser([first, second, alive], 20.0, 0.05, 0.8) is alive
    alive.busy_until = 0.0
    second.begin_ping(20.0)
    second.record_ping(20.1, answered=True)
    assert choose_adviser([first, second, alive], 20.2, 0.05, 0.8) is second
    first.begin_ping(20.2)
    first.record_ping(20.3, answered=True)
    second.busy_until = alive.busy_until = 21.5
    first.excluded_until = 0.0
    assert choose_adviser([first, second, alive], 20.4, 0.05, 0.8) is first
