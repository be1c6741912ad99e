"""The choice of workers against plain forms of the same rules.

The plain forms look at each worker for each task and each call; `jobs.packing` keeps
what can't have changed, and leaves out the workers that can't be chosen.
"""

from __future__ import annotations

import math
from dataclasses import replace
from itertools import takewhile
from statistics import NormalDist

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.jobs.fleet import CAPACITY_EPSILON, Slot, Worker
from cuminhill.jobs.headroom import HeadroomLimit
from cuminhill.jobs.lateness import Outlook
from cuminhill.jobs.ordering import critical_path_s, path_lengths
from cuminhill.jobs.packing import (
    MAX_ADVISED_WORKERS,
    MIN_ASKED_WORKERS,
    MIN_RENEWED_WORKERS,
    MIN_SUITABILITY,
    PERMITTED_FACTOR,
    SUITABILITY_EXPONENT,
    UNASKED_FACTOR,
    Reservation,
    by_suitability,
    choose_advised,
    covering,
    make_candidates,
    n_fitting_tasks,
    n_tasks_in,
    reserve_places,
    soonest_places,
    suitability,
    with_room,
)
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import task_need
from cuminhill.model import NO_RESOURCES

from .builders import make_entry, make_job, make_step, task_key

# Few values, so that equal scores and needs that just fit are frequent.
CORES = st.sampled_from([0.0, 0.5, 1.0, 2.9999999, 3.0, 7.5, 16.0])
MEMORY = st.sampled_from([0.0, 100.0, 1000.0, 30000.0])
SPEEDS = st.sampled_from([0.3, 0.7, 0.704, 1.0, 1.7])
OUTLOOKS = st.builds(
    Outlook,
    length_s=st.sampled_from([0.0, 0.5, 4.0]),
    stretch=st.just(2.0),
    known_s=st.sampled_from([0.0, 0.3, 3.0]),
    elapsed_s=st.sampled_from([0.1, 2.0, 30.0]),
    speed_price=st.sampled_from([0.15, -0.3]),
)


@st.composite
def fleets(draw, max_size=130):
    """Return workers of which some are full."""
    rows = draw(st.lists(st.tuples(CORES, MEMORY, SPEEDS), max_size=max_size))
    workers = []
    for number, (cores, memory_mb, speed) in enumerate(rows):
        entry = make_entry(f"w{number}", labels=("a", f"r{number % 3}"))
        worker = Worker(entry, 1, 0.0)
        worker.free = task_need(cores, memory_mb, float(number % 2))
        worker.health.speed = speed
        workers.append(worker)
    return workers


@st.composite
def steps(draw):
    """Return a step."""
    step = make_step(
        draw(st.integers(1, 30)),
        draw(CORES),
        memory_mb=draw(MEMORY),
        max_per_worker=draw(st.sampled_from([0, 0, 1, 3])),
        near_rack=draw(st.sampled_from(["", "r1"])),
        gang=draw(st.booleans()),
    )
    need = replace(step.need, accelerators=draw(st.sampled_from([0.0, 0.0, 1.0])))
    return replace(step, need=need)


def plain_n_fitting(step, worker):
    """Return how many tasks of a step fit on a worker."""
    need, free = step.need, worker.free
    counts = [
        has // takes
        for takes, has in (
            (need.cores, free.cores),
            (need.memory_mb, free.memory_mb),
            (need.accelerators, free.accelerators),
        )
        if takes > 0
    ]
    found = max(0, int(min(counts, default=1 << 20) + CAPACITY_EPSILON))
    return min(found, step.max_per_worker or found)


def is_far(step, worker):
    """Return whether a worker is on another rack than the data of a step."""
    return bool(step.near_rack) and step.near_rack not in worker.entry.labels


def plain_by_suitability(step, n_wanted, workers, outlook):
    """Return workers sorted by how many tasks fit and how well they suit.

    Those without room come last, of the others those near the data of the step first.
    """

    def value(worker):
        n_held = min(plain_n_fitting(step, worker), n_wanted)
        if not n_held:
            return 0.0
        speed = round(worker.health.speed, 2)
        suits = max(MIN_SUITABILITY, suitability(speed, outlook))
        return n_held * suits**SUITABILITY_EXPONENT

    def key(worker):
        found = value(worker)
        return not found, found > 0 and is_far(step, worker), -found

    return sorted(workers, key=key)


def plain_covering(step, n_needed, workers, at_least=0):
    """Return the first workers that together have capacity for some tasks."""
    chosen, covered = [], 0
    for worker in workers:
        if covered >= n_needed and len(chosen) >= at_least:
            break
        chosen.append(worker)
        covered += plain_n_fitting(step, worker)
    return chosen


def plain_choose_advised(step, n_wanted, permitted, unasked, with_ticket, *, outlook):
    """Return the workers to name in a call for advice."""

    def n_fitting(workers):
        return sum(plain_n_fitting(step, worker) for worker in workers)

    ranked = plain_by_suitability(step, n_wanted, permitted, outlook)
    needed = n_wanted * PERMITTED_FACTOR
    named = plain_covering(step, needed, ranked, MIN_RENEWED_WORKERS)
    n_startable = n_fitting(permitted)
    if n_startable < n_wanted and unasked:
        suitable = plain_by_suitability(step, n_wanted, unasked, outlook)
        rest = n_wanted * UNASKED_FACTOR
        if not step.near_rack:
            asked = plain_covering(step, rest, suitable, MIN_ASKED_WORKERS)
            return (named + asked)[:MAX_ADVISED_WORKERS]
        # Enough room comes first, then workers near the data, also without room.
        roomy = list(takewhile(lambda worker: worker.fits(step.need), suitable))
        asked = plain_covering(step, rest, roomy)
        others = [worker for worker in suitable if worker not in asked]
        others.sort(key=lambda worker: is_far(step, worker))
        n_covered = n_fitting(asked)
        asked += plain_covering(
            step, rest - n_covered, others, MIN_ASKED_WORKERS - len(asked)
        )
        return (named + asked)[:MAX_ADVISED_WORKERS]
    if step.gang and n_startable < n_wanted:
        return []
    if n_fitting(named) <= n_fitting(with_ticket):
        return []
    return named[:MAX_ADVISED_WORKERS]


@settings(max_examples=300, deadline=None)
@given(fleets(), steps(), st.integers(1, 40), OUTLOOKS, st.data())
def test_workers_named_in_calls_are_those_of_the_plain_rule(
    workers, step, n_wanted, outlook, data
):
    """Guards against a faster ranking that names other workers than the rule says."""
    assert n_fitting_tasks(step, workers) == sum(
        plain_n_fitting(step, worker) for worker in workers
    )
    ranked = by_suitability(step, n_wanted, workers, outlook)
    assert ranked == plain_by_suitability(step, n_wanted, workers, outlook)
    for at_least in (0, 5):
        assert covering(step, n_wanted, ranked, at_least) == plain_covering(
            step, n_wanted, ranked, at_least
        )
    n_permitted = data.draw(st.integers(0, len(workers)))
    permitted, unasked = workers[:n_permitted], workers[n_permitted:]
    permitted = [worker for worker in permitted if worker.fits(step.need)]
    with_ticket = permitted[: data.draw(st.integers(0, 5))]
    assert choose_advised(
        step, n_wanted, permitted, unasked, with_ticket, outlook=outlook
    ) == plain_choose_advised(
        step, n_wanted, permitted, unasked, with_ticket, outlook=outlook
    )


@given(fleets(), steps())
def test_room_for_a_task_is_what_each_worker_says(workers, step):
    """Guards against a filter that loses a worker with just enough room."""
    expected = [worker for worker in workers if worker.fits(step.need)]
    assert with_room(step.need, workers) == expected


def plain_pick(candidates, free_by_worker, cores_left, avoid):
    """Return the worker for one more task by looking at each."""
    step = candidates.step
    best, best_score = None, 0.0
    for worker in candidates.workers:
        name = worker.worker_id
        bound = step.max_per_worker
        if bound and candidates.n_by_worker.get(name, 0) >= bound:
            continue
        if name in candidates.core_limit.fast and step.need.cores > cores_left:
            continue
        if not worker.fits(step.need, free_by_worker[name]):
            continue
        score = candidates._score(worker) - (1.0 if name in avoid else 0.0)
        if best is None or score > best_score:
            best, best_score = worker, score
    return best


@settings(max_examples=300, deadline=None)
@given(
    fleets(max_size=12),
    steps(),
    OUTLOOKS,
    st.sampled_from([0.0, 3.0, 20.0, 1000.0]),
    st.lists(st.frozensets(st.sampled_from(["w0", "w1", "w2", "w99"])), max_size=30),
)
def test_tasks_go_to_the_worker_with_the_best_score_at_that_time(
    workers, step, outlook, cores_left, avoided
):
    """Guards against scores that are kept although a task was placed on the worker."""
    limit = HeadroomLimit({"w0", "w2", "w5"}, cores_left)
    candidates = make_candidates(step, workers, {"w1": 1}, outlook, limit)
    for avoid in avoided:
        expected = plain_pick(
            candidates, dict(candidates.free_by_worker), limit.cores, avoid
        )
        before = dict(candidates.free_by_worker)
        assert candidates.pick(avoid) is expected
        if expected is None:
            break
        name = expected.worker_id
        assert candidates.free_by_worker[name] == before[name] - step.need


@given(st.data(), st.lists(st.floats(0.0, 100.0), min_size=1, max_size=6))
def test_lengths_of_paths_are_those_of_the_recursive_definition(data, run_times):
    """Guards against objectives that leave out a branch of a job."""
    after = [
        tuple(data.draw(st.sets(st.integers(0, number - 1)))) if number else ()
        for number in range(len(run_times))
    ]
    job = make_job(*(make_step(after=earlier) for earlier in after))

    def length_s(number):
        behind = [
            length_s(later) for later in range(len(after)) if number in after[later]
        ]
        return run_times[number] + max(behind, default=0.0)

    expected = [length_s(number) for number in range(len(after))]
    assert list(path_lengths(job, run_times)) == expected
    assert critical_path_s(job, run_times=run_times) == max(expected)


@given(st.floats(0.01, 50.0), st.floats(0.01, 10.0), st.floats(0.1, 5.0))
def test_the_chance_is_that_of_the_normal_distribution(length_s, speed, sigma):
    """Guards against another distribution of the time that a job takes."""
    outlook = Outlook(length_s, sigma, 2.0, 0.3)
    margin = outlook.chance(speed)
    allowed_s = 2.0 * length_s + 0.3
    plain = NormalDist(0.0, 1.0).cdf(
        math.log(allowed_s * speed / (outlook.spread * length_s)) / sigma
    )
    assert margin == plain


def plain_expected(step, worker, now, held, limit):
    """Return when more tasks fit on a worker, by adding up resources."""
    free = worker.free - held.get(worker.worker_id, NO_RESOURCES)
    slots = sorted(
        worker.slots.values(),
        key=lambda slot: slot.expected_end(worker.health.speed),
    )
    rows, n_before = [], 0
    for slot in [None, *slots]:
        at = now if slot is None else slot.expected_end(worker.health.speed)
        if at == math.inf:
            break
        free = free if slot is None else free + slot.need
        n_fitting = n_tasks_in(step, free)
        n_fitting = int(min(limit, n_fitting))
        if n_fitting > n_before:
            rows.append((max(now, at), n_fitting))
            n_before = n_fitting
    return rows


@settings(max_examples=200, deadline=None)
@given(
    fleets(max_size=6),
    steps(),
    st.lists(
        st.tuples(st.integers(0, 5), CORES, st.sampled_from([0.5, 3.0, math.inf])),
        max_size=20,
    ),
    st.dictionaries(st.sampled_from(["w0", "w1", "w4"]), CORES),
)
def test_expected_places_are_those_of_sums_of_resources(workers, step, runs, kept):
    """Guards against places that are expected at other times or in kept room."""
    now = 10.0
    for index, (number, cores, run_s) in enumerate(runs):
        if number < len(workers):
            lasts = run_s == math.inf
            need = task_need(cores, 50.0, 0.0)
            slot = Slot(task_key(index), 1, need, run_s, long_running=lasts)
            slot.started_at = 9.0
            workers[number].slots[slot.key, 1] = slot
    held = {name: task_need(cores, 10.0, 0.0) for name, cores in kept.items()}
    amounts = {name: (room.cores, room.memory_mb, 0.0) for name, room in held.items()}
    limit = step.max_per_worker or math.inf
    chances = []
    for worker in workers:
        rows = plain_expected(step, worker, now, held, limit)
        chances += [(at, worker.worker_id, n_fitting) for at, n_fitting in rows]
    n_tasks = step.n_tasks
    places = soonest_places(step, workers, n_tasks, now, held=amounts)
    most = {name: 0 for _, name, _ in chances}
    for _, name, n_fitting in chances:
        most[name] = max(most[name], n_fitting)
    assert len(places) == min(n_tasks, sum(most.values()))
    for at in {at for _, at in places}:
        n_by = {name: 0 for name in most}
        for chance_at, name, n_fitting in chances:
            if chance_at <= at:
                n_by[name] = max(n_by[name], n_fitting)
        n_until = sum(chosen_at <= at for _, chosen_at in places)
        assert n_until == min(n_tasks, sum(n_by.values()))
    found = reserve_places(step, workers, now, held=amounts)
    assert (found is not None) == (sum(most.values()) >= n_tasks)
    if found is not None:
        assert sum(found[0].values()) == n_tasks
        assert found[1] == max(now, *(at for _, at in places))


def plain_reserve_places(step, workers, now, held, earlier):
    """Return the places to keep for a gang by looking at all workers."""
    before = earlier.places if earlier is not None else {}
    limit = step.max_per_worker or math.inf
    rooms = {worker.worker_id: worker for worker in workers}

    def free(name):
        return rooms[name].free - held.get(name, NO_RESOURCES)

    def take(name, n_fitting):
        n_here = places.get(name, 0)
        n_more = min(n_fitting - n_here, step.n_tasks - sum(places.values()))
        if n_more > 0:
            places[name] = n_here + n_more
        return n_more > 0

    n_now = {name: int(min(limit, n_tasks_in(step, free(name)))) for name in rooms}
    by_room = sorted(rooms, key=lambda name: -free(name).cores)
    places = {}
    for name in [name for name in before if name in rooms]:
        take(name, min(before[name], n_now[name]))
    for name in by_room:
        take(name, n_now[name])
    if sum(places.values()) == step.n_tasks:
        return places, now
    later = [
        (at, name, n_fitting)
        for name in by_room
        for at, n_fitting in plain_expected(step, rooms[name], now, held, limit)
    ]
    later.sort(key=lambda row: row[0])
    due = now
    for at, name, n_fitting in later:
        if take(name, min(n_fitting, before.get(name, 0))):
            due = max(due, at)
    if earlier is not None and sum(places.values()) == step.n_tasks:
        return places, min(earlier.at, due)
    for at, name, n_fitting in later:
        if take(name, n_fitting):
            due = max(due, at)
    return (places, due) if sum(places.values()) == step.n_tasks else None


@settings(max_examples=300, deadline=None)
@given(
    fleets(max_size=6),
    steps(),
    st.lists(
        st.tuples(st.integers(0, 5), CORES, st.sampled_from([0.5, 3.0, math.inf])),
        max_size=20,
    ),
    st.dictionaries(st.sampled_from(["w0", "w1", "w4"]), CORES),
    st.none()
    | st.dictionaries(st.sampled_from(["w0", "w2", "w3", "w9"]), st.integers(1, 9)),
)
def test_places_of_gangs_are_those_of_the_plain_rule(workers, step, runs, kept, before):
    """Guards against a gang that keeps other places than the rule says."""
    now = 10.0
    for index, (number, cores, run_s) in enumerate(runs):
        if number < len(workers):
            lasts = run_s == math.inf
            need = task_need(cores, 50.0, 0.0)
            slot = Slot(task_key(index), 1, need, run_s, long_running=lasts)
            slot.started_at = 9.0
            workers[number].slots[slot.key, 1] = slot
    held = {name: task_need(cores, 10.0, 0.0) for name, cores in kept.items()}
    amounts = {name: (room.cores, room.memory_mb, 0.0) for name, room in held.items()}
    earlier = None
    if before is not None:
        step_run = Progress(make_job(step)).step_run(0, 0)
        earlier = Reservation(step_run, "pool", 1, before, 11.0)
    expected = plain_reserve_places(step, workers, now, held, earlier)
    found = reserve_places(step, workers, now, held=amounts, earlier=earlier)
    assert found == expected
