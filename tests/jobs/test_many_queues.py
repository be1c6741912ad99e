"""Tests of work that grows with the number of queues in the configuration.

Pattern: a configuration grows to thousands of queues, nearly all of them idle.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminhill.jobs.eligibility import available_workers, headroom_limits, limit_of
from cuminhill.jobs.model import AdviceTerms, Queue, QueueTable
from cuminhill.jobs.progress import Progress

from .builders import (
    BEGUN_AT,
    JOB_ID,
    WALL,
    make_entry,
    make_job,
    make_placer,
    make_queue,
    make_step,
    make_table,
    make_team,
    mark_started,
    submit,
)

N_IDLE = 50
TERMS = AdviceTerms(decide_s=0.1, per_worker_s=0.01, valid_s=2.0)
URGENT = make_queue("urgent", priority=0, advice=TERMS)
PATIENT = make_queue("patient", priority=2)


class CountedQueue(Queue):
    """Idle queue; counts how often a field of any of them is read."""

    n_reads = 0

    def __getattribute__(self, name):
        CountedQueue.n_reads += 1
        return super().__getattribute__(name)


def make_idle_queues():
    """Return queues of both priorities on the pool of the others."""
    return [
        CountedQueue(
            f"idle{number}", "h.example", f"/idle{number}/", "pool", number % 2, 3, 2, 1
        )
        for number in range(N_IDLE)
    ]


# Guards against decisions that take milliseconds longer, some tens of times a second,
# for queues without jobs. Each part of the decision that asks for limits has work: a
# gang keeps places, a lasting task leaves a worker, and a later step needs advice.
@pytest.mark.parametrize("team", [None, make_team("t1", weight=100.0)])
def test_a_decision_does_not_look_at_idle_queues(team):
    placer = make_placer(*make_idle_queues(), URGENT, PATIENT, n_workers=4)
    if team is not None:
        placer.table = replace(placer.table, teams={"t1": team})
    lasting = make_step(long_running=True)
    submit(placer, make_job(lasting, job_id="b" * 16, queue="patient", team=team))
    steps = make_step(2, 12.0, run_time_s=0.5), make_step(after=(0,))
    submit(placer, make_job(*steps, queue="urgent", team=team))
    workers = dict.fromkeys(placer.workers, 1)
    advice = placer.advice.for_step(f"{JOB_ID}.0.0")
    advice.store_answer(workers, [(name, "t") for name in workers], BEGUN_AT, 2.0)
    placements, _ = placer.decide(BEGUN_AT, WALL)
    mark_started(placer, placements, BEGUN_AT)
    gang = make_step(3, 12.0, gang=True, run_time_s=4.0)
    submit(placer, make_job(gang, job_id="c" * 16, queue="patient", team=team))
    placer.decide(BEGUN_AT, WALL)
    name = next(item.worker_id for item in placements if item.key.job_id == "b" * 16)
    entry = replace(placer.workers[name].entry, draining=True, drain_left_s=2.0)
    placer.register_worker(entry, BEGUN_AT)
    before = CountedQueue.n_reads
    _, calls = placer.decide(BEGUN_AT + 0.1, WALL)
    assert CountedQueue.n_reads == before
    assert placer.reservations and calls
    assert [stop.reason for stop in placer.take_stops()] == ["evacuated"]


# Guards against a walk over all queues for each step of a team beyond its share.
def test_the_limit_of_a_surplus_step_does_not_look_at_idle_queues():
    placer = make_placer(*make_idle_queues(), URGENT, PATIENT)
    progress = submit(placer, make_job(queue="urgent"))
    step_run = progress.step_run(0, 0)
    placer.shares.surplus_steps.add(step_run.name)
    limits = headroom_limits(placer, available_workers(placer, BEGUN_AT), BEGUN_AT)
    before = CountedQueue.n_reads
    limit = limit_of(placer, limits, step_run, URGENT)
    assert CountedQueue.n_reads == before
    assert limit is not None and limit.fast == {"w1", "w2"}


def plain_limited_queues(placer, pools):
    """Return the names of the queues whose steps are limited, by the definition."""
    queues = placer.table.queues.values()
    urgent = {queue.pool for queue in queues if queue.priority == 0}
    return {
        queue.name
        for queue in queues
        if queue.priority > 0 and queue.pool in urgent and queue.pool in pools
    }


# Guards against queues that are limited by the headroom of another pool, or of one
# that urgent work does not share, and against headroom that is not observed.
@given(
    st.lists(
        st.tuples(st.sampled_from(["p1", "p2", "p3"]), st.integers(0, 2)), max_size=6
    )
)
def test_the_steps_of_a_queue_have_the_limit_of_its_pool(rows):
    queues = [
        make_queue(f"q{number}", pool=pool, priority=priority)
        for number, (pool, priority) in enumerate(rows)
    ]
    placer = make_placer(n_workers=0)
    placer.table = make_table(*queues)
    for name in ("p1", "p2"):
        placer.register_worker(make_entry(name, pool=name), BEGUN_AT)
    pools = {name: [worker] for name, worker in placer.workers.items()}
    limits = headroom_limits(placer, pools, BEGUN_AT)
    limited = plain_limited_queues(placer, pools)
    step_run = Progress(make_job()).step_run(0, 0)
    for queue in queues:
        limit = limit_of(placer, limits, step_run, queue)
        assert (limit is not None) == (queue.name in limited)
        assert limit is None or limit.fast == {queue.pool}
    # Also of pools without a patient queue: the configuration may add one.
    urgent = {queue.pool for queue in queues if queue.priority == 0}
    assert placer.headroom.keys() == urgent & pools.keys()


# Guards against a limit that is looked up by what a step's queue says: a removed queue
# has none, and the steps of an urgent one may come with a lower priority.
@pytest.mark.parametrize(
    ("queue", "expected"),
    [
        (make_queue("removed", priority=2), False),
        (replace(URGENT, priority=1), False),
        (replace(PATIENT, priority=0), True),
    ],
)
def test_the_configuration_in_force_tells_whether_a_queue_is_limited(queue, expected):
    placer = make_placer(URGENT, PATIENT)
    step_run = Progress(make_job()).step_run(0, 0)
    limits = headroom_limits(placer, available_workers(placer, BEGUN_AT), BEGUN_AT)
    limit = limit_of(placer, limits, step_run, queue)
    assert (limit is not None) is expected


# Guards against requests of callers that take longer the more queues there are, on the
# same host or on others. A request with an unknown path costs no more.
@pytest.mark.parametrize("host", ["h.example", "other.example"])
@pytest.mark.parametrize("path", ["/urgent/0123456789abcdef", "/unknown/"])
def test_a_request_does_not_look_at_idle_queues(host, path):
    table = make_table(*make_idle_queues(), replace(URGENT, host=host))
    before = CountedQueue.n_reads
    found = table.find(host, path)
    assert CountedQueue.n_reads == before
    assert (found is None) == (path == "/unknown/")


def plain_find(table, host, path):
    """Return the queue of a request by a look at each one."""
    best = None
    for queue in table.queues.values():
        if queue.host != host or not path.startswith(queue.path_prefix):
            continue
        if best is None or len(queue.path_prefix) > len(best.path_prefix):
            best = queue
    return best


_HOSTS = st.sampled_from(["h", "i", ""])
_PATHS = st.text("/ab\u00e9", max_size=5)


# Guards against requests that reach another queue than that with the longest prefix,
# or than the first one of several with the same prefix.
@given(st.lists(st.tuples(_HOSTS, _PATHS), max_size=8), _HOSTS, _PATHS)
def test_a_request_reaches_the_queue_with_the_longest_prefix(rows, host, path):
    queues = [
        make_queue(f"q{number}", host=queue_host, path_prefix=prefix)
        for number, (queue_host, prefix) in enumerate(rows)
    ]
    table = make_table(*queues)
    assert table.find(host, path) is plain_find(table, host, path)


# Guards against a table that answers by the queues of the one that it replaces, and
# against tables that differ only by when they were made.
def test_a_replaced_table_has_the_queues_that_it_is_given():
    table = make_table(URGENT)
    changed = replace(table, version=2, queues={"patient": PATIENT})
    assert changed.find("h.example", "/patient/") is PATIENT
    assert changed.find("h.example", "/urgent/") is None
    assert (changed.urgent_pools, changed.patient_pools) == (set(), {"pool"})
    assert changed == QueueTable(2, {"patient": PATIENT}) != table
