"""Memory of waiting tasks, and an ordinary load beside a job of 1,000,000 tasks.

The load runs in a child process that has a node, its log and its workers, so that the
peak of the memory is that of one play.
"""

from __future__ import annotations

import json
import random
import socket
import subprocess
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any

import curio

from cuminhill.clock import boottime
from cuminhill.jobs.model import Job, Queue, QueueTable, Step, WorkerEntry
from cuminhill.jobs.node import Backends, JobNode, NodeOptions
from cuminhill.jobs.placer import PlacerTimes
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import MAX_TASKS, task_need
from standins.job_platform import (
    LogView,
    MemoryAdvice,
    MemoryLog,
    MemoryWorker,
    MemoryWorkers,
)

from .figures import figure, quantile
from .jobdecisions import quiet

BENCH = "largejobs"
N_STEPS = 100
LARGE_ID = "f" * 16
NEED = task_need(0.5, 64.0, 0.0)
N_WORKERS, CORES, RUN_TIME_S = 12, 16.0, 0.3
LOAD_S, INTERVAL_S, N_SMALL_TASKS = 10.0, 0.05, 2
SETTLE_S = 3.0  # until the jobs submitted last have started
MAX_VM_MB = 235.0  # memory of the smallest VM in use


def _large_job() -> Job:
    steps = (Step(MAX_TASKS, NEED, RUN_TIME_S),) * N_STEPS
    return Job(LARGE_ID, "runs", "", steps, time.time())


def _bytes_per_task() -> float:
    """Return the memory of a placer for each task of a job that may start."""
    progress = Progress(_large_job())
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    n_tasks = sum(item.n_waiting for item in progress.ready_steps(time.time()))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / n_tasks


def _decode_worker(worker_id: str, value: bytes) -> WorkerEntry:
    capacity = task_need(CORES, 65_536.0, 0.0)
    return WorkerEntry(
        worker_id, int(value), "pool", "127.0.0.1:1", "d1", ("a",), capacity
    )


async def _start_node(workers: MemoryWorkers) -> JobNode:
    journal, config, registry = MemoryLog(), MemoryLog(), MemoryLog()
    config.append_records([("config", b"1")])
    for number in range(N_WORKERS):
        name = f"w{number}"
        worker = MemoryWorker(_decode_worker(name, b"1"), RUN_TIME_S, {"": NEED})
        workers.workers[name] = worker
        registry.append_records([(name, b"1")])
    queue = Queue("runs", "h", "/runs/", "pool", 2, 3, 2.0, 1.0)
    backends = Backends(
        LogView(journal),
        LogView(config),
        LogView(registry),
        calls=workers,
        advice=MemoryAdvice(),
        decode_table=lambda value: QueueTable(1, {queue.name: queue}),
        decode_worker=_decode_worker,
        config_key="config",
    )
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    options = NodeOptions("vm1", address, PlacerTimes(), 120.0, 1.0)
    node = JobNode(options, backends, random.Random(1))
    await node.start()
    while node.leadership is None:
        await curio.sleep(0.01)
    return node


async def _play(with_large_job: bool) -> dict[str, Any]:
    """Submit the load; return how long each job waited for its first start."""
    workers = MemoryWorkers()
    node = await _start_node(workers)
    if with_large_job:
        await node.service.submit(_large_job(), 2.0)
    submitted: dict[str, float] = {}
    begun_at = boottime()
    step = Step(N_SMALL_TASKS, NEED, RUN_TIME_S)
    while boottime() < begun_at + LOAD_S:
        job = Job(f"{len(submitted):016x}", "runs", "", (step,), time.time())
        submitted[job.job_id] = boottime()
        await node.service.submit(job, 2.0)
        await curio.sleep(INTERVAL_S)
    await curio.sleep(SETTLE_S)
    first: dict[str, float] = {}
    for item in workers.history():
        job_id = item.key.job_id
        first[job_id] = min(first.get(job_id, item.begun_at), item.begun_at)
    waits = [first[name] - at for name, at in submitted.items() if name in first]
    return {
        "waits_s": waits,
        "n_unstarted": len(submitted) - len(waits),
        "n_large": sum(item.key.job_id == LARGE_ID for item in workers.history()),
        "peak_mb": _peak_mb(),
    }


def _peak_mb() -> float:
    """Return the peak of this process; that of `resource` includes its parent's."""
    status = Path("/proc/self/status").read_text()
    lines = dict(line.split(":", 1) for line in status.splitlines())
    return float(lines["VmHWM"].split()[0]) / 1024


def _play_in_child(with_large_job: bool) -> dict[str, Any]:
    command = [sys.executable, "-m", "bench.largejobs", str(int(with_large_job))]
    done = subprocess.run(command, check=True, capture_output=True, timeout=120)
    found: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
    return found


def run() -> list[dict[str, Any]]:
    """Return the memory of waiting tasks and the waits of jobs beside the large one."""
    rows = [figure(BENCH, "memory of a waiting task", _bytes_per_task(), "bytes")]
    without, beside = _play_in_child(False), _play_in_child(True)
    note = (
        f"{beside['n_large']} tasks of the large job started; "
        f"{beside['n_unstarted']} jobs of the load did not; baseline: without it"
    )
    rows.append(
        figure(
            BENCH,
            "peak memory of a node, its log and workers beside a large job",
            beside["peak_mb"],
            "MB",
            baseline=without["peak_mb"],
            note=f"a VM has {MAX_VM_MB:.0f} MB; {note}",
        )
    )
    rows += [
        figure(
            BENCH,
            f"wait for the first start beside a large job, {name}",
            quantile(beside["waits_s"], q),
            "s",
            baseline=quantile(without["waits_s"], q),
            note=note,
        )
        for name, q in (("median", 0.5), ("95th percentile", 0.95))
    ]
    return rows


if __name__ == "__main__":
    with quiet():
        print(json.dumps(curio.run(_play, sys.argv[1] == "1")))
