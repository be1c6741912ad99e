"""Processor time of a reading of the metrics, by the number of queues and jobs."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

from cuminhill.clock import boottime
from cuminhill.jobs.jobload import RECENT_S
from cuminhill.jobs.model import Queue, QueueTable, WorkerEntry
from cuminhill.jobs.node import Backends, JobNode, NodeOptions
from cuminhill.jobs.nodemetrics import inspect
from cuminhill.jobs.placer import PlacerTimes
from cuminhill.jobs.records import task_need
from standins.job_platform import (
    LogView,
    MemoryAdvice,
    MemoryLog,
    MemoryWorkers,
)

from .figures import figure

if TYPE_CHECKING:
    from collections.abc import Iterator

BENCH = "inspection"
# Queues of a configuration, and those of them with jobs that wait and were placed.
SIZES = ((45, 1), (45, 45), (4_246, 1), (4_246, 45), (4_246, 4_246))
N_READINGS = 5
NEED = task_need(1.0, 64.0, 0.0)
# A VM with 0.4 of a core that is read each 5 s keeps 99% of it for its own work.
TARGET_MS = 20.0


def _make_node(n_queues: int) -> JobNode:
    """Return a node that has not been started, with a configuration in force."""
    backends = Backends(
        journal=LogView(MemoryLog()),
        config=LogView(MemoryLog()),
        registry=LogView(MemoryLog()),
        calls=MemoryWorkers(),
        advice=MemoryAdvice(),
        decode_table=lambda _: QueueTable(),
        decode_worker=lambda name, _: WorkerEntry(name, 1, "pool", "", "", (), NEED),
        config_key="config",
    )
    options = NodeOptions("vm0", "127.0.0.1:0", PlacerTimes(), 120.0)
    node = JobNode(options, backends, random.Random(1))
    queues = {
        name: Queue(name, "h", f"/{name}/", "pool", number % 3, 3, 2.0, 1.0)
        for number, name in enumerate(f"q{number}" for number in range(n_queues))
    }
    node.table = QueueTable(1, queues)
    return node


def _reading_ms(n_queues: int, n_with_jobs: int) -> float:
    """Return the least processor time of a reading, in milliseconds."""
    node, now = _make_node(n_queues), boottime()
    load = node.job_index.job_load
    for number in range(n_with_jobs):
        load.begin_wait(f"q{number}", "", now)
        load.placed.add(f"q{number}", now)
    times = []
    for _ in range(N_READINGS):
        begun_at = time.thread_time()
        inspect(node, "/metrics")
        times.append(time.thread_time() - begun_at)
    assert boottime() - now < RECENT_S, "the starts are no longer recent"
    return 1000 * min(times)


def run() -> Iterator[dict[str, Any]]:
    """Yield the figures."""
    for n_queues, n_with_jobs in SIZES:
        metric = f"reading_ms_{n_queues}_queues_{n_with_jobs}_with_jobs"
        target = TARGET_MS if n_with_jobs < n_queues else None
        yield figure(
            BENCH, metric, _reading_ms(n_queues, n_with_jobs), "ms", target=target
        )
