"""A job of many tasks is accepted: its progress does not fit into a record."""

from __future__ import annotations

import asyncio
import json
import os
import time
from pathlib import Path

from review.harness.site import NotRunError, Site, job_id, route, run_case

N_PHASES = int(os.environ.get("N_PHASES", "3"))
COUNT = int(os.environ.get("COUNT", "10000"))
TASK_CPU = 1
TASK_S = 2.0
WATCH_S = 45.0
FINISH_S = 14.0
IDLE_S = 3.0


async def play(site: Site) -> str:
    """Return how the rule was broken, empty if it held."""
    await site.start(n_nodes=3, n_workers=8, routes=[route("batch")], cpu=64000)
    await submit_small(site)
    await asyncio.sleep(3.0)
    if not any(item.highest for item in site.workers):
        raise NotRunError("no job ran before")
    if site.trouble:
        large = {"count": COUNT, "cpu": TASK_CPU, "est_runtime_ms": TASK_S * 1000}
        body = {"spec": spec(TASK_CPU), "phases": [large] * N_PHASES}
        if await site.submit("/batch/", job_id(), body) != 200:
            raise NotRunError("the large job was not accepted")
    waiting: dict[str, float] = {}
    begun_at = time.monotonic()
    submitted_at = 0.0
    while time.monotonic() - begun_at < WATCH_S:
        await asyncio.sleep(0.1)
        elapsed_s = time.monotonic() - begun_at
        if elapsed_s < WATCH_S - 2 * FINISH_S and elapsed_s - submitted_at > 1.0:
            submitted_at = elapsed_s
            job = await submit_small(site)
            if job:
                waiting[job] = time.monotonic()
        seen = {task.partition(".")[0] for w in site.workers for task in w.highest}
        for job in seen & waiting.keys():
            del waiting[job]
    site.record.add("appends refused for their size", n=site.store.refusals)
    lost = [j for j, at in waiting.items() if time.monotonic() - at > FINISH_S]
    if lost:
        return (
            f"LOST: {len(lost)} accepted small jobs have not begun {FINISH_S:.0f} s"
            f" after the last was handed in"
        )
    return ""


async def submit_small(site: Site) -> str:
    """Submit a job of one short task; return its id if it was accepted."""
    job = job_id()
    step = {"count": 1, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 500}
    body = {"spec": spec(1000, 0.5), "phases": [step]}
    return job if await site.submit("/batch/", job, body) == 200 else ""


def spec(cpu: int, seconds: float = TASK_S) -> str:
    """Return the spec by which the stand-in workers know a task."""
    return json.dumps({"cpu": cpu, "ms": seconds * 1000})


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
