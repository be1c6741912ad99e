"""Tests of how long gangs wait on a pool whose placement needs advice.

Pattern: 176 workers of 32 cores that a stream of small jobs uses in part, a third of
the workers permitted for each step, and tickets that lapse after 2.5 s.
"""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, field
from typing import NamedTuple

import pytest

from cuminhill.jobs.advice import Adviser, find_adviser
from cuminhill.jobs.fleet import Slot
from cuminhill.jobs.model import AdviceTerms, EndKind
from cuminhill.jobs.packing import MAX_ADVISED_WORKERS

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

NOW = BEGUN_AT
TICK_S = 0.1
LASTING_S = 2000.0
PERMITTED = 0.33  # share of the workers
CORES, N_WORKERS = 32.0, 176
TERMS = AdviceTerms(decide_s=0.43, per_worker_s=0.0061, valid_s=2.5)
URGENT_TERMS = AdviceTerms(decide_s=0.026, per_worker_s=0.00037, valid_s=2.5)
URGENT = make_queue("u", priority=0, stretch=1.5, target_s=0.25, advice=URGENT_TERMS)
PATIENT = make_queue("p", priority=2, stretch=2.2, target_s=1.2, advice=TERMS)
CHECKS = make_queue("c", priority=0, stretch=1.5, target_s=0.25)
FREE = make_queue("f", priority=2, stretch=2.2, target_s=1.2)


def permits(step, worker_id):
    digest = hashlib.sha256(f"{step} {worker_id}".encode()).digest()
    return digest[0] < PERMITTED * 256


@dataclass(eq=False)
class Pool:
    """Placer, workers on which runs end, and an advice service with a queue a VM."""

    placer: object
    seed: int = 1
    n_vms: int = 9
    now: float = NOW
    spread: float = 0.3  # run times differ from the expected ones by this fraction
    on_tick: object = None
    calls: list = field(default_factory=list)
    started: dict = field(default_factory=dict)
    n_jobs: int = 0

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.advisers = [Adviser(f"vm{number}") for number in range(self.n_vms)]
        self.free_at = dict.fromkeys((item.vm for item in self.advisers), 0.0)
        self._answers = []
        self._ends = {}
        self._n_ends = {}

    def submit(self, queue, step, **more):
        """Submit a job that is accepted now; return its ID."""
        self.n_jobs += 1
        job_id = f"{self.n_jobs:016x}"
        accepted_at = WALL + self.now - NOW
        job = make_job(
            step, queue=queue, job_id=job_id, accepted_at=accepted_at, **more
        )
        submit(self.placer, job, self.now)
        return job_id

    def run_until(self, until):
        """Make decisions until a time."""
        while self.now < until - TICK_S / 2:
            self.now += TICK_S
            if self.on_tick:
                self.on_tick(self)
            self._deliver()
            self._end_runs()
            self.placer.tick(self.now)
            placements, calls = self.placer.decide(self.now, WALL + self.now - NOW)
            mark_started(self.placer, placements, self.now)
            for item in placements:
                self.started.setdefault(item.key.step_name, []).append(self.now)
                slot = self.placer.workers[item.worker_id].slots[item.key, item.run]
                if slot.run_time_s < LASTING_S:
                    factor = self.rng.uniform(1 - self.spread, 1 + self.spread)
                    end = self.now + slot.run_time_s * factor
                    self._ends[item.worker_id, item.key, item.run] = (
                        end,
                        item,
                        self.now,
                    )
            for call in calls:
                self._send(call)

    def used(self):
        """Return the share of the cores in use."""
        workers = self.placer.workers.values()
        return 1 - sum(w.free.cores for w in workers) / (CORES * len(workers))

    def _end_runs(self):
        ended = {}
        for key, (at, item, _) in list(self._ends.items()):
            worker = self.placer.workers[item.worker_id]
            if (item.key, item.run) not in worker.slots:
                del self._ends[key]
            elif at <= self.now:
                del self._ends[key]
                ended.setdefault(item.worker_id, []).append(item)
        for worker_id, items in ended.items():
            rows = []
            for item in items:
                number = self._n_ends[worker_id] = self._n_ends.get(worker_id, 0) + 1
                rows.append(ended_row(item, number, EndKind.DONE))
            gone = {(item.key, item.run) for item in items}
            slots = self.placer.workers[worker_id].slots
            running = tuple(
                running_row(RunKey(*name), self._percent(worker_id, *name))
                for name in slots
                if name not in gone
            )
            answer_renewal(
                self.placer, worker_id, self.now, running=running, ended=tuple(rows)
            )

    def _percent(self, worker_id, key, run):
        """Return the share of a run that is done; 0 if it lasts."""
        end, _, begun = self._ends.get((worker_id, key, run), (0.0, None, self.now))
        return 100 * (self.now - begun) / (end - begun)

    def _send(self, call):
        adviser = find_adviser(self.advisers, call, self.now)
        if adviser is None:
            return
        self.placer.advice.for_step(call.step).calling = True
        at = max(self.now, self.free_at[adviser.vm]) + call.cost_s
        self.calls.append((self.now, call.step, len(call.workers)))
        self.free_at[adviser.vm] = at
        self._answers.append((at, adviser, call))

    def _deliver(self):
        due = [item for item in self._answers if item[0] <= self.now]
        self._answers = [item for item in self._answers if item[0] > self.now]
        for at, adviser, call in due:
            tickets = [(w, f"t-{w}") for w in call.workers if permits(call.step, w)]
            adviser.record_answer(self.now)
            advice = self.placer.advice.for_step(call.step)
            advice.store_answer(call.workers, tickets, at, call.valid_s)


class RunKey(NamedTuple):
    """Task and number of a run."""

    key: object
    run: int


def make_pool(**more):
    """Return an empty pool of two kinds of workers."""
    placer = make_placer(URGENT, PATIENT, FREE, n_workers=0)
    for number in range(1, N_WORKERS + 1):
        labels = ("b" if number % 4 == 0 else "a", "r1-1")
        entry = make_entry(f"w{number}", cores=CORES, labels=labels)
        placer.register_worker(entry, BEGUN_AT)
        answer_renewal(placer, f"w{number}")
    return Pool(placer, **more)


def stream(load, run_s, *, seed, queues=("f",)):
    """Return a function that submits small jobs for a share of the cores."""
    rng = random.Random(seed)
    owed = 0.0

    def submit_more(pool):
        nonlocal owed
        owed += load * CORES * N_WORKERS * TICK_S
        while owed > 0:
            run_time_s, cores = rng.uniform(*run_s), rng.uniform(2.0, 8.0)
            n_tasks = rng.randint(1, 8)
            owed -= run_time_s * cores * n_tasks
            step = make_step(n_tasks, cores, run_time_s=run_time_s)
            pool.submit(rng.choice(queues), step)

    return submit_more


def make_busy_pool(run_s, lasting_cores, *, seed):
    """Return a pool just after a burst that has left a backlog of small jobs.

    Each worker also runs a lasting task of some cores.
    """
    usual = stream(0.3, run_s, seed=seed)
    burst = stream(1.6, run_s, seed=seed + 1)

    def on_tick(pool):
        usual(pool)
        if pool.now < NOW + 4.0:
            burst(pool)

    pool = make_pool(on_tick=on_tick, n_vms=16, seed=seed + 2)
    lasting = make_step(
        N_WORKERS,
        lasting_cores,
        run_time_s=LASTING_S,
        long_running=True,
        max_per_worker=1,
    )
    pool.submit("f", lasting)
    pool.run_until(NOW + 2.0)
    return pool


def call_s(n_workers):
    """Return the time of a call that names some workers."""
    return TERMS.decide_s + TERMS.per_worker_s * n_workers


def bound_s(n_tasks, longest_s):
    """Return the longest wait of a gang.

    Two calls name the whole pool, then the runs on its places end, and one more call
    brings the tickets; each may have to wait for a decision.
    """
    spare = int(1.5 * n_tasks)
    named_s = call_s(100) + call_s(N_WORKERS - 100)
    return named_s + longest_s * 1.3 + call_s(spare) + 5 * TICK_S


GANGS = ((24, 10.15), (18, 15.0), (23, 14.1))


# Guards against gangs that wait for 20 s and more: room was reserved for them only in
# decisions in which they were among the two most urgent blocked steps, and short runs
# could use it at any time.
@pytest.mark.parametrize(
    ("run_s", "lasting_cores", "gangs"),
    [
        ((0.8, 6.0), 6.0, GANGS),
        ((0.5, 1.4), 6.0, GANGS),
        ((0.8, 6.0), 10.0, ((40, 11.7),)),
        ((0.5, 1.4), 10.0, ((40, 11.7),)),
    ],
)
@pytest.mark.parametrize("seed", [3, 13])
def test_gangs_wait_for_runs_that_end_and_one_call(run_s, lasting_cores, gangs, seed):
    pool = make_busy_pool(run_s, lasting_cores, seed=seed)
    steps = {}
    for n_tasks, cores in gangs:
        step = make_step(n_tasks, cores, gang=True, run_time_s=4.0)
        steps[pool.submit("p", step) + ".0.0"] = n_tasks
    begun_at = pool.now
    pool.run_until(begun_at + bound_s(max(steps.values()), run_s[1]))
    waits = {name: pool.started.get(name, [math.inf])[0] - begun_at for name in steps}
    assert all(
        waits[name] <= bound_s(n_tasks, run_s[1]) for name, n_tasks in steps.items()
    ), waits


# The second shape: steps whose tasks start one by one, on few workers.
@pytest.mark.parametrize(
    "more", [{"max_per_worker": 1}, {"required_label": "b"}, {"max_per_worker": 2}]
)
def test_the_first_task_of_a_spread_step_waits_no_longer_than_a_gang(more):
    pool = make_busy_pool((0.8, 6.0), 6.0, seed=3)
    step = make_step(20, 14.1, run_time_s=4.0, **more)
    name = pool.submit("p", step) + ".0.0"
    begun_at = pool.now
    pool.run_until(begun_at + bound_s(20, 6.0))
    assert pool.started.get(name)


# Places of one gang


def fill(placer, worker_id, cores, run_time_s):
    """Have a worker run some other task."""
    key = task_key(int(worker_id[1:]), job_id="f" * 16)
    slot = Slot(key, 1, make_step(1, cores).need, run_time_s)
    slot.started_at = NOW
    placer.workers[worker_id].add(slot)


def make_blocked_gang(n_tasks=2, cores=16.0, n_workers=3, run_s=(3.0, 4.0, 9.0)):
    """Return a placer whose workers of 16 cores run something, and a waiting gang."""
    placer = make_placer(CHECKS, FREE, n_workers=n_workers)
    for worker_id, run_time_s in zip(placer.workers, run_s, strict=True):
        fill(placer, worker_id, 12.0, run_time_s)
    gang = make_step(n_tasks, cores, gang=True, run_time_s=4.0)
    submit(placer, make_job(gang, queue="f", job_id="a" * 16))
    assert placer.decide(NOW, WALL) == ([], [])
    return placer, placer.reservations["a" * 16 + ".0.0"]


# Guards against a gang that waits for a worker which takes no starts any more.
@pytest.mark.parametrize("how", ["lost", "drains", "ejected", "registered anew"])
def test_a_place_on_a_worker_that_is_gone_is_replaced(how):
    placer, reservation = make_blocked_gang()
    assert (reservation.places, reservation.at) == ({"w1": 1, "w2": 1}, NOW + 4.0)
    if how == "lost":
        placer.worker_unreachable("w2", NOW + 1)
    elif how == "drains":
        placer.register_worker(make_entry("w2", draining=True), NOW + 1)
    elif how == "ejected":
        placer.workers["w2"].health.ejected_until = NOW + 60.0
    else:
        placer.register_worker(make_entry("w2", incarnation=2), NOW + 1)
    placer.decide(NOW + 1, WALL)
    assert (reservation.places, reservation.at) == ({"w1": 1, "w3": 1}, NOW + 9.0)
    # What becomes free first counts.
    placer.workers["w3"].release(task_key(3, job_id="f" * 16), 1)
    placer.workers["w1"].release(task_key(1, job_id="f" * 16), 1)
    placements, _ = placer.decide(NOW + 2, WALL)
    assert {item.worker_id for item in placements} == {"w1", "w3"}
    assert not placer.reservations


# Guards against workers that stay idle for a gang that can't fit any more, or was
# cancelled.
@pytest.mark.parametrize("cancelled", [True, False])
def test_places_of_a_gang_that_will_not_start_are_given_up(cancelled):
    placer, _ = make_blocked_gang()
    if cancelled:
        placer.cancel_job("a" * 16, NOW + 1)
    else:
        for worker_id in ("w2", "w3"):
            placer.worker_unreachable(worker_id, NOW + 1)
    long = make_step(1, cores=2.0, run_time_s=60.0)
    submit(placer, make_job(long, queue="f", job_id="b" * 16))
    placements, _ = placer.decide(NOW + 1, WALL)
    assert [item.key.job_id for item in placements] == ["b" * 16]
    assert not placer.reservations


# Guards against a gang whose turn never comes, since the end that its places are
# expected at moves with each run that is late, and other runs use them until then.
def test_the_time_of_the_places_is_not_put_off_by_late_runs():
    placer, reservation = make_blocked_gang()
    placer.decide(NOW + 5, WALL)
    assert (reservation.places, reservation.at) == ({"w1": 1, "w2": 1}, NOW + 4.0)
    short = make_step(1, cores=4.0, run_time_s=0.5)
    for number, queue in enumerate(("f", "c")):
        submit(placer, make_job(short, queue=queue, job_id=f"{number:016x}"))
    placer.workers["w3"].withheld = True
    placements, _ = placer.decide(NOW + 5, WALL)
    # Short urgent work still starts where nothing else is left.
    assert [item.key.job_id for item in placements] == [f"{1:016x}"]


# Guards against urgent work on the places of a gang although there is room elsewhere.
def test_short_urgent_work_leaves_the_places_while_there_is_other_room():
    placer, reservation = make_blocked_gang()
    short = make_step(1, cores=4.0, run_time_s=0.5)
    submit(placer, make_job(short, queue="c", job_id="b" * 16))
    (run,), _ = placer.decide(NOW + 5, WALL)
    assert run.worker_id == "w3" and "w3" not in reservation.places


# Guards against a pool of which most is kept for gangs while other jobs wait: beside
# the first gang only a part of the pool is kept.
def test_gangs_keep_a_part_of_the_pool_but_the_first_one_all_that_it_needs():
    run_s = [60.0] * 12
    placer, reservation = make_blocked_gang(9, 16.0, n_workers=12, run_s=run_s)
    assert len(reservation.places) == 9
    small = make_step(3, 16.0, gang=True, run_time_s=4.0)
    submit(placer, make_job(small, queue="f", job_id="b" * 16))
    placer.decide(NOW, WALL)
    assert list(placer.reservations.values()) == [reservation]
    # An urgent gang does not wait for patient ones.
    submit(placer, make_job(small, queue="c", job_id="c" * 16))
    placer.decide(NOW, WALL)
    assert [name[0] for name in placer.reservations] == ["a", "c"]


# Guards against a call for advice after all places are free, in which others may use
# them: the tickets are at hand by then.
def test_tickets_are_renewed_before_the_places_are_expected_to_be_free():
    placer = make_placer(PATIENT, n_workers=4)
    for worker_id in placer.workers:
        fill(placer, worker_id, 12.0, 6.0)
    gang = make_step(2, 16.0, gang=True, run_time_s=4.0)
    submit(placer, make_job(gang, queue="p", job_id="a" * 16))
    (call,) = placer.decide(NOW, WALL)[1]
    assert set(call.workers) == set(placer.workers)  # though none has room
    advice = placer.advice.for_step(call.step)
    permitted = ("w1", "w2", "w3")

    def answer(call, at):
        tickets = [(name, "t") for name in call.workers if name in permitted]
        advice.store_answer(call.workers, tickets, at, TERMS.valid_s)

    answer(call, NOW)
    assert placer.decide(NOW + 3, WALL) == ([], [])
    (reservation,) = placer.reservations.values()
    ahead = NOW + 6.0 - call.cost_s - 0.2
    (call,) = placer.decide(ahead, WALL)[1]
    assert set(reservation.places) <= set(call.workers) <= set(permitted)
    answer(call, ahead + call.cost_s)
    for worker_id in reservation.places:
        key = task_key(int(worker_id[1:]), job_id="f" * 16)
        placer.workers[worker_id].release(key, 1)
    placements, _ = placer.decide(NOW + 6, WALL)
    assert {item.worker_id for item in placements} == set(reservation.places)


# Guards against workers without room that a waiting gang does not ask about while its
# places are a long time off.
def test_a_gang_that_waits_asks_about_the_rest_of_the_pool():
    placer = make_placer(PATIENT, n_workers=150)
    for worker_id in placer.workers:
        fill(placer, worker_id, 16.0, 20.0)
    gang = make_step(4, 16.0, gang=True, run_time_s=4.0)
    submit(placer, make_job(gang, queue="p", job_id="a" * 16))
    (call,) = placer.decide(NOW, WALL)[1]
    assert len(call.workers) == MAX_ADVISED_WORKERS
    advice = placer.advice.for_step(call.step)
    tickets = [(name, "t") for name in list(call.workers)[:33]]
    advice.store_answer(call.workers, tickets, NOW + 1, TERMS.valid_s)
    placer.decide(NOW + 1, WALL)
    assert placer.reservations
    (call,) = placer.decide(NOW + 1, WALL)[1]
    assert set(call.workers) == set(placer.workers) - set(advice.asked)


# Guards against a gang that waits beside its free places until all runs on fast workers
# have left the headroom for urgent work.
def test_a_gang_starts_on_its_places_though_the_headroom_is_used():
    placer, reservation = make_blocked_gang(n_workers=8, run_s=[3.0] * 8)
    placer.headroom["pool"].mean_cores = 1000.0
    for worker_id in reservation.places:
        key = task_key(int(worker_id[1:]), job_id="f" * 16)
        placer.workers[worker_id].release(key, 1)
    batch = make_step(1, 4.0, run_time_s=0.5)
    submit(placer, make_job(batch, queue="f", job_id="b" * 16))
    placements, _ = placer.decide(NOW + 3, WALL)
    assert [item.key.job_id for item in placements] == ["a" * 16] * 2
