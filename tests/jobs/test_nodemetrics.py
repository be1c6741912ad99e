"""Tests of the work that a reading of a node's metrics takes.

Load: a configuration of 4,246 queues of which few have jobs, read each 5 s on VMs with
0.4 of a core. Work is counted, not timed.
"""

from __future__ import annotations

import math
import random
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.jobs.admission import Admission, IndexState
from cuminhill.jobs.jobload import RECENT_S, JobLoad, RecentCounts
from cuminhill.jobs.model import QueueTable
from cuminhill.jobs.nodemetrics import NODE_METRICS, inspect, make_node_metrics
from cuminhill.metrics import MAX_HISTOGRAM_SERIES
from cuminhill.util.kernel import run_to_end

from .builders import make_queue

NOW = 100.0
N_QUEUES = 4246
# Looks at a queue of the table, or at the recent starts of one, for each queue.
MAX_LOOKS_PER_QUEUE = 4


class CountedQueues(dict):
    """Queues by name that count how often one is looked at."""

    n_looks = 0

    def __getitem__(self, name):
        self.n_looks += 1
        return super().__getitem__(name)

    def get(self, name, default=None):
        self.n_looks += 1
        return super().get(name, default)

    def values(self):
        for queue in super().values():
            self.n_looks += 1
            yield queue

    def items(self):
        for item in super().items():
            self.n_looks += 1
            yield item


class CountedStarts(RecentCounts):
    """Recent starts that count how often those of a queue are summed up."""

    n_looks = 0

    def recent(self, key, now):
        self.n_looks += 1
        return super().recent(key, now)


class CountedPriority(int):
    """Priority that counts how often any is compared."""

    n_looks = 0

    def __lt__(self, other):
        CountedPriority.n_looks += 1
        return int(self) < other

    def __gt__(self, other):
        CountedPriority.n_looks += 1
        return int(self) > other


def make_counted_table(n_queues, n_pools=1, n_priorities=3):
    """Return a table of queues with all pairs of a pool and a priority."""
    names = CountedQueues()
    for number in range(n_queues):
        name, pool = f"q{number}", f"pool{number % n_pools}"
        priority = number // n_pools % n_priorities
        names[name] = make_queue(name, pool=pool, priority=priority)
    return QueueTable(1, names)


# Guards against a VM that is held up for seconds by each reading of its metrics: the
# wait of each queue was estimated by a look at all queues of its pool.
@pytest.mark.parametrize("n_priorities", [3, N_QUEUES])
@pytest.mark.parametrize("n_with_jobs", [0, 1, 40, N_QUEUES])
def test_the_work_of_a_dump_grows_no_faster_than_the_number_of_queues(
    n_with_jobs, n_priorities
):
    table = make_counted_table(N_QUEUES, n_priorities=n_priorities)
    load = JobLoad(placed=CountedStarts())
    for number in range(n_with_jobs):
        load.begin_wait(f"q{number}", "", NOW)
        load.placed.add(f"q{number}", NOW)
    admission = Admission(load)
    table.queues.n_looks = 0
    admission.dump(table, NOW)
    n_looks = table.queues.n_looks + load.placed.n_looks
    assert n_looks <= MAX_LOOKS_PER_QUEUE * N_QUEUES


# Guards against estimates that go through all waiting jobs, or all queues with such
# jobs, for each queue, without a look at the table.
def test_the_comparisons_of_a_dump_grow_no_faster_than_those_of_a_sort():
    names = {}
    for number in range(N_QUEUES):
        name = f"q{number}"
        names[name] = make_queue(name, priority=CountedPriority(number))
    load = JobLoad()
    for name in names:
        load.begin_wait(name, "", NOW)
    CountedPriority.n_looks = 0
    Admission(load).dump(QueueTable(1, names), NOW)
    assert CountedPriority.n_looks <= 4 * N_QUEUES * math.log2(N_QUEUES)


# Guards against a series in the metrics for each of thousands of idle queues, which a
# VM would render and send with each reading.
def test_a_dump_lists_only_queues_with_jobs():
    table = make_counted_table(N_QUEUES)
    load = JobLoad()
    load.begin_wait("q0", "", NOW)
    load.placed.add("q4", NOW)
    shown = Admission(load).dump(table, NOW)["estimated_wait_s"]
    assert set(shown) == {"q0", "q4"}
    later = Admission(load).dump(table, NOW + 2 * RECENT_S)["estimated_wait_s"]
    assert set(later) == {"q0"}


# Guards against submissions that each look at all queues of the configuration.
def test_the_estimate_for_one_job_looks_only_at_queues_with_jobs():
    table = make_counted_table(N_QUEUES)
    load = JobLoad(placed=CountedStarts())
    load.begin_wait("q0", "", NOW)
    load.placed.add("q4", NOW)
    queue = table.queues["q2"]
    table.queues.n_looks = 0
    assert Admission(load).estimated_wait_s(queue, table, NOW) == RECENT_S
    assert table.queues.n_looks + load.placed.n_looks <= 10


# Guards against submissions of busy teams that each look at all queues.
def test_whether_a_pool_is_under_pressure_is_told_without_a_look_at_idle_queues():
    table, state = make_counted_table(N_QUEUES), IndexState()
    admission = Admission(JobLoad())
    for number in range(10):
        now = NOW + number
        assert not admission.is_under_pressure("pool0", table, state, now, "t")
    assert table.queues.n_looks <= 2 * N_QUEUES
    # A slower journal and another configuration have bounds of their own.
    slow = admission._late_bounds_s(table, 0.3)["q0"]
    assert slow == pytest.approx(admission._late_bounds_s(table, 0.0)["q0"] + 0.3)
    other = make_counted_table(1)
    assert admission._late_bounds_s(other, 0.0).keys() == {"q0"}


# Guards against a placer whose readings of metrics list each of its jobs and workers,
# though no metric shows them.
def test_every_metric_comes_from_the_summary(cluster):
    async def scenario():
        cluster.add_worker("w1")
        await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        node = cluster.leader()
        dump, summary = node.dump(), node.summary()
        rows = {"jobs", "moving", "waiting", "workers"}
        assert dump["leading"].keys() - summary["leading"].keys() == rows
        assert dump.keys() == summary.keys()
        sources = {tuple(item.source.split(".")[:2]) for item in NODE_METRICS}
        assert not sources & {("leading", name) for name in rows}

    run_to_end(scenario)


# Guards against a placer whose readings of metrics grow with all queues that have ever
# had a job, also of configurations that are gone.
def test_the_series_of_a_histogram_are_bounded():
    metrics = make_node_metrics()
    for number in range(2 * MAX_HISTOGRAM_SERIES):
        metrics.observe("idle_seconds", 1.0, queue=f"q{number}")
        metrics.observe("idle_seconds", 1.0, queue=f"q{number}")
    counts = re.findall(
        rb'cuminhill_idle_seconds_count\{queue="(\w+)"\} (\d+)', metrics.render()
    )
    assert len(counts) == MAX_HISTOGRAM_SERIES + 1
    by_queue = {name.decode(): int(count) for name, count in counts}
    assert by_queue.pop("other") == 2 * MAX_HISTOGRAM_SERIES
    assert set(by_queue.values()) == {2}


# Guards against a reading of the metrics that makes the whole dump.
def test_a_reading_of_the_metrics_makes_no_dump(cluster, monkeypatch):
    async def scenario():
        await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        node = cluster.leader()
        monkeypatch.setattr(node, "dump", lambda: pytest.fail("a dump was made"))
        assert inspect(node, "/metrics").status == 200

    run_to_end(scenario)


def reference_wait_s(load, queue, table, now):
    """Return the estimate as its definition says, by a look at all queues."""
    pool = [item for item in table.queues.values() if item.pool == queue.pool]
    n_ahead = sum(
        load.n_waiting.get(item.name, 0)
        for item in pool
        if item.priority < queue.priority or item.name == queue.name
    )
    n_placed = sum(load.placed.total(item.name, now) for item in pool)
    return n_ahead * RECENT_S / max(1, n_placed) if n_ahead else 0.0


# Guards against estimates that differ from their definition, with queues that have been
# removed, pools of their own and priorities that leave out numbers.
@settings(max_examples=200, deadline=None)
@given(
    st.integers(1, 12),
    st.integers(1, 3),
    st.integers(1, 5),
    st.lists(st.tuples(st.integers(0, 15), st.integers(0, 3), st.integers(0, 3))),
    st.integers(0, 2**32),
)
def test_drawn_loads_give_the_estimates_of_the_definition(
    n_queues, n_pools, n_priorities, jobs, seed
):
    table = make_counted_table(n_queues, n_pools, n_priorities)
    load, rng = JobLoad(placed=CountedStarts()), random.Random(seed)
    for number, n_waiting, n_placed in jobs:
        for _ in range(n_waiting):
            load.begin_wait(f"q{number}", "", NOW)
        for _ in range(n_placed):
            load.placed.add(f"q{number}", NOW - rng.uniform(0, 2 * RECENT_S))
    admission = Admission(load)
    table.queues.n_looks = load.placed.n_looks = 0
    shown = admission.dump(table, NOW)["estimated_wait_s"]
    n_used = len({number for number, *_ in jobs})
    n_looks = table.queues.n_looks + load.placed.n_looks
    assert n_looks <= MAX_LOOKS_PER_QUEUE * max(n_queues, n_used)
    for name, queue in dict.items(table.queues):
        wait_s = reference_wait_s(load, queue, table, NOW)
        assert admission.estimated_wait_s(queue, table, NOW) == wait_s
        if name in shown:
            assert shown[name] == round(wait_s, 2)
        else:
            assert not (load.n_waiting[name] or load.placed.total(name, NOW))
