"""A worker loses power and is soon back: runs on its new life start again."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

from review.harness.site import NotRunError, Site, job_id, route, run_case
from review.harness.worker import Worker

N_WORKERS, CPU = 8, 16000
TASK_CPU, TASK_S, N_TASKS = 1000, 1.5, 4
DARK_S = float(os.environ.get("DARK_S", "0.5"))
N_TIMES, EVERY_S = 20, 3.0
JOB_EVERY_S = 0.25


async def play(site: Site) -> str:
    """Return how the rule was broken, empty if it held."""
    await site.start(3, N_WORKERS, [route("batch")], CPU)
    load = asyncio.create_task(submit_jobs(site))
    await asyncio.sleep(3.0)
    for _ in range(N_TIMES):
        if site.trouble:
            worker = await next_worker(site)
            worker.go_dark()
            await asyncio.sleep(DARK_S)
            await worker.start()
        await asyncio.sleep(EVERY_S)
    load.cancel()
    await asyncio.sleep(3.0)
    twice = site.find_twice()
    for line in twice:
        site.record.add("twice", runs=line)
    if not twice:
        return ""
    return f"TWICE: {len(twice)} tasks ran twice at the same time, first {twice[0]}"


async def next_worker(site: Site) -> Worker:
    """Return a worker that is at work and has room for the next job."""
    room = CPU - N_TASKS * TASK_CPU
    for _ in range(200):
        able = [item for item in site.workers if 0 < item.used() <= room]
        if able:
            return max(able, key=Worker.used)
        await asyncio.sleep(0.02)
    raise NotRunError("no worker is at work and has room")


async def submit_jobs(site: Site) -> None:
    """Hand in jobs at a steady rate."""
    spec = json.dumps({"cpu": TASK_CPU, "ms": TASK_S * 1000})
    step = {
        "count": N_TASKS,
        "cpu": TASK_CPU,
        "mem_mb": 64,
        "est_runtime_ms": TASK_S * 1000,
    }
    while True:
        await site.submit("/batch/", job_id(), {"spec": spec, "phases": [step]})
        await asyncio.sleep(JOB_EVERY_S)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
