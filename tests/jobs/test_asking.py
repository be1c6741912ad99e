"""Tests of how long steps wait for advice on workers that they may use now.

Pattern: 176 workers of 32 cores of which other work uses more than half, every second
one slow. A third of them is permitted for a step, and tickets lapse after 2.5 s.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest

from cuminhill.jobs.headroom import MAX_FRACTION, Headroom, HeadroomLimit
from cuminhill.jobs.model import AdviceTerms
from cuminhill.jobs.packing import Allowance, make_candidates

from .builders import (
    BEGUN_AT,
    WALL,
    make_job,
    make_placer,
    make_queue,
    make_step,
    make_table,
    submit,
)
from .test_gang_waits import NOW, TICK_S, call_s, make_pool, permits
from .test_parts import make_worker

SLOW = 0.42
ROOM_S = 0.5  # time for which a worker has room while others use the pool
URGENT_STEP = make_step(4, 6.0, run_time_s=1.0)


def is_slow(worker_id):
    """Return whether a worker of the pool is slow."""
    return int(worker_id[1:]) % 2 == 0


def use(pool, worker_id, cores):
    """Have other work use some more cores of a worker; fewer if negative."""
    worker = pool.placer.workers[worker_id]
    need = make_step(1, abs(cores), memory_mb=0.0).need
    worker.free = worker.free - need if cores > 0 else worker.free + need


def make_used_pool(fast_cores, slow_cores, **more):
    """Return a pool of which other work uses some cores of each worker.

    As much as possible of the fast workers is kept for urgent work.
    """
    pool = make_pool(n_vms=16, **more)
    for worker in pool.placer.workers.values():
        slow = is_slow(worker.worker_id)
        worker.health.speed = SLOW if slow else 1.0
        use(pool, worker.worker_id, slow_cores if slow else fast_cores)
    pool.placer.headroom["pool"] = headroom = Headroom(1e6, BEGUN_AT)
    assert headroom.target_cores(1.0) == MAX_FRACTION
    return pool


def first_start(pool, name, limit_s):
    """Return how long a step waits for its first start from now on, in seconds."""
    begun_at = pool.now
    while name not in pool.started and pool.now < begun_at + limit_s:
        pool.run_until(pool.now + TICK_S)
    return pool.started.get(name, [math.inf])[0] - begun_at


def named_bound_s(*n_named):
    """Return the time of calls that name some workers, and of the decisions."""
    return sum(call_s(n_workers) for n_workers in n_named) + 4 * TICK_S


# Guards against a step that neither starts nor asks: the permitted workers with tickets
# are fast ones, with room that is kept for urgent work, so it counted on them, while
# unasked slow workers had room.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "more", [{}, {"max_per_worker": 1}, {"gang": True}, {"long_running": True}]
)
def test_a_step_asks_about_slow_workers_while_the_headroom_is_used(more, seed):
    pool = make_used_pool(21.0, 16.0, seed=seed)
    for number in range(2, 65, 2):
        use(pool, f"w{number}", 16.0)
    pool.n_jobs = 10 * seed  # other workers are permitted
    name = pool.submit("p", make_step(7, 9.4, run_time_s=4.0, **more)) + ".0.0"
    assert first_start(pool, name, 15.0) <= named_bound_s(40, 100)
    # A call must be able to help.
    pool.run_until(NOW + 15.0)
    assert len(pool.calls) <= 15.0 / call_s(8) / 2


# Guards against fast workers that are asked about first although the step may not use
# them now.
def test_the_first_call_names_workers_that_the_step_may_use():
    pool = make_used_pool(21.0, 16.0)
    step = make_step(7, 9.4, run_time_s=4.0)
    name = pool.submit("p", step) + ".0.0"
    assert first_start(pool, name, 15.0) <= named_bound_s(40)


# The same for advice that is asked while the step before still runs.
def test_advice_asked_ahead_is_for_workers_that_the_step_may_use():
    pool = make_used_pool(2.0, 16.0)
    first = make_step(1, 1.0, run_time_s=1.5)
    second = make_step(7, 9.4, run_time_s=4.0, after=(0,))
    job = make_job(first, second, queue="p", accepted_at=WALL)
    submit(pool.placer, job, pool.now)
    assert first_start(pool, f"{job.job_id}.0.0", 5.0) < 5.0
    begun_at = pool.now
    for worker_id in pool.placer.workers:
        if not is_slow(worker_id):
            use(pool, worker_id, 19.0)
    pool.run_until(begun_at + 1.0)
    name = f"{job.job_id}.0.1"
    assert name in [step for _, step, _ in pool.calls]
    pool.run_until(begun_at + 1.0 + call_s(40))
    asked = pool.placer.advice.for_step(name).asked
    assert asked and all(is_slow(worker_id) for worker_id in asked)


# The second shape: all fast workers are ejected, so slow ones count as fast.
def test_a_step_asks_about_the_rest_while_all_fast_workers_are_ejected():
    pool = make_used_pool(21.0, 21.0)
    for worker in pool.placer.workers.values():
        if not is_slow(worker.worker_id):
            worker.health.ejected_until = NOW + 60.0
        elif int(worker.worker_id[1:]) % 4 == 0:
            worker.health.speed = SLOW / 2
    name = pool.submit("p", make_step(7, 9.4, run_time_s=4.0)) + ".0.0"
    assert first_start(pool, name, 15.0) <= named_bound_s(40, 88)


def breathe(pool, n_workers):
    """Have some workers at a time have room for a short while, each in its turn.

    Calls for other steps keep all VMs busy in the meantime.
    """
    rng = random.Random(pool.seed)
    names = list(pool.placer.workers)
    opened = []

    def on_tick(pool):
        for adviser in pool.advisers:
            until = max(pool.free_at[adviser.vm], pool.now + 0.25)
            pool.free_at[adviser.vm] = adviser.busy_until = until
        while opened and opened[0][0] <= pool.now:
            use(pool, opened.pop(0)[1], 16.0)
        taken = {name for _, name in opened}
        while len(opened) < n_workers:
            name = rng.choice([name for name in names if name not in taken])
            taken.add(name)
            use(pool, name, -16.0)
            opened.append((pool.now + rng.uniform(0.5, 1.5) * ROOM_S, name))
            opened.sort()

    pool.on_tick = on_tick


def answer_before(pool, name):
    """Have advice on all workers for a step be known, with tickets that have lapsed."""
    workers = dict.fromkeys(pool.placer.workers, 1)
    tickets = [(item, "t") for item in workers if permits(name, item)]
    advice = pool.placer.advice.for_step(name)
    advice.store_answer(workers, tickets, pool.now - 5.0, 2.5)


# Guards against tickets that only come for workers on which the room is used again by
# then: a call named the few permitted workers that had room when it was made.
@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize("more", [{}, {"max_per_worker": 1}])
def test_a_step_has_tickets_for_workers_on_which_room_becomes_free(more, seed):
    pool = make_used_pool(27.0, 27.0, seed=seed)
    pool.placer.headroom.clear()
    queues = [item for item in pool.placer.table.queues.values() if item.name != "u"]
    pool.placer.table = make_table(*queues)
    pool.n_jobs = 20 * seed
    breathe(pool, 4)
    pool.run_until(NOW + 1.0)
    name = pool.submit("p", make_step(7, 14.1, run_time_s=4.0)) + ".0.0"
    answer_before(pool, name)
    assert first_start(pool, name, 20.0) <= 5.0


# Guards against a job that is lost (nothing runs for 3 s while less than half of the
# capacity is in use): the headroom counts fast workers only, and the step may run on no
# others.
@pytest.mark.parametrize("queue", ["f", "p"])
def test_a_job_that_waits_idle_may_start_one_task_in_the_headroom(queue):
    pool = make_used_pool(21.0, 2.0)
    for worker in pool.placer.workers.values():
        if not is_slow(worker.worker_id):
            worker.entry = replace(worker.entry, labels=("fast", "r1-1"))
    step = make_step(7, 9.4, run_time_s=4.0, required_label="fast")
    name = pool.submit(queue, step) + ".0.0"
    assert first_start(pool, name, 10.0) <= 2.6
    assert len(pool.started[name]) == 1
    # Its other tasks leave the headroom to urgent work.
    pool.run_until(pool.now + 2.0)
    assert len(pool.started[name]) == 1


# Guards against idle jobs that use up the headroom while the pool is not busy.
def test_jobs_that_wait_idle_leave_half_of_the_headroom():
    pool = make_used_pool(21.0, 2.0)
    for worker in pool.placer.workers.values():
        if not is_slow(worker.worker_id):
            worker.entry = replace(worker.entry, labels=("fast", "r1-1"))
    step = make_step(1, 9.4, run_time_s=400.0, required_label="fast")
    for _ in range(100):
        pool.submit("f", step)
    pool.run_until(NOW + 10.0)
    fast = [w for w in pool.placer.workers.values() if not is_slow(w.worker_id)]
    kept = MAX_FRACTION * 32.0 * len(fast)
    assert pool.started
    assert sum(worker.free.cores for worker in fast) >= kept / 2
    name = pool.submit("u", URGENT_STEP) + ".0.0"
    assert first_start(pool, name, 5.0) <= 0.5


# Guards against headroom that patient jobs use up while the pool is busy.
def test_patient_jobs_leave_the_headroom_of_a_busy_pool():
    pool = make_used_pool(21.0, 29.0)
    for _ in range(20):
        pool.submit("f", make_step(2, 9.4, run_time_s=4.0))
    pool.run_until(NOW + 5.0)
    assert not pool.started
    name = pool.submit("u", URGENT_STEP) + ".0.0"
    assert first_start(pool, name, 5.0) <= 0.5


# Guards against urgent steps that ask for advice only once a worker has room.
def test_an_urgent_step_asks_about_all_workers_of_a_full_pool():
    pool = make_used_pool(32.0, 32.0)
    name = pool.submit("u", URGENT_STEP) + ".0.0"
    pool.run_until(NOW + 1.0)
    assert len(pool.placer.advice.for_step(name).asked) == len(pool.placer.workers)


# Guards against calls of patient steps for workers without room, of which each takes a
# second of the service, while its tickets are valid.
def test_a_patient_step_with_tickets_does_not_ask_about_the_rest_of_a_full_pool():
    pool = make_used_pool(32.0, 32.0)
    pool.submit("p", make_step(7, 9.4, run_time_s=4.0))
    pool.run_until(NOW + call_s(100) + 1.0)
    assert [n_workers for _, _, n_workers in pool.calls] == [100]
    # With the renewal of the tickets it does.
    pool.run_until(NOW + 6.0)
    assert sum(n_workers for _, _, n_workers in pool.calls) >= len(pool.placer.workers)


# Guards against steps that don't ask for advice since they count on room that their
# placement then refuses, and the other way round.
@pytest.mark.parametrize("restart", [False, True])
def test_as_many_tasks_count_as_startable_as_a_placement_starts(restart):
    rng = random.Random(7)
    for _ in range(200):
        workers = [make_worker(f"w{number}") for number in range(8)]
        held = {}
        for worker in workers:
            used = rng.choice((0.0, 4.0, 9.5, 13.0, 16.0))
            worker.free = worker.free - make_step(1, used, memory_mb=0.0).need
            if rng.random() < 0.3:
                held[worker.worker_id] = make_step(1, rng.choice((2.0, 8.0))).need
        step = make_step(200, rng.choice((1.5, 4.0, 7.0)), max_per_worker=2)
        n_by_worker = {worker.worker_id: rng.randint(0, 2) for worker in workers}
        fast = {item.worker_id for item in workers if rng.random() < 0.6}
        limit = HeadroomLimit(fast, rng.choice((-3.0, 0.0, 2.0, 9.0, 40.0)))
        if restart:
            held, limit = {}, HeadroomLimit()
        allowance = Allowance(step, held, n_by_worker, limit, restart)
        accepting = [item for item in workers if allowance.accepts(item)]
        n_startable = allowance.n_startable(accepting)
        candidates = make_candidates(
            step, workers, dict(n_by_worker), core_limit=limit, held=held
        )
        candidates.restart = restart
        used_workers = set()
        n_started = 0
        while (worker := candidates.pick()) is not None:
            used_workers.add(worker.worker_id)
            n_started += 1
        assert n_started == n_startable
        # With too few cores left for all, some of the fast workers get none.
        accepted = {item.worker_id for item in accepting}
        assert used_workers <= accepted
        assert accepted - used_workers <= fast


@pytest.mark.parametrize(("gang", "n_named"), [(True, 55), (False, 24)])
def test_the_first_call_of_a_gang_names_so_many_workers_that_one_is_enough(
    gang, n_named
):
    """Guards against gangs that wait for a second call before their first start.

    Load: 13 tasks on a third of an idle pool, with calls of 0.69 s and 6 ms a worker.
    A call that names 24 workers permits too few of them, and a second one takes 0.9 s.
    """
    terms = AdviceTerms(0.688, 0.0062, 2.5)
    placer = make_placer(make_queue(advice=terms), n_workers=100)
    submit(placer, make_job(make_step(6, cores=8.0, gang=gang)))
    _, (call,) = placer.decide(BEGUN_AT, WALL)
    assert len(call.workers) == n_named
