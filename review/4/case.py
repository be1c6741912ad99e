"""A burst of urgent jobs for one kind of worker: jobs for the others don't start."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

from review.harness.site import NotRunError, Site, job_id, route, run_case

N_WORKERS, N_SPECIAL = 8, 2  # workers, and those of kind b among them
CPU = 16000
N_BURST, BURST_S, GROUP = 300, 4.0, 10
URGENT_CPU, URGENT_S = 4500, 6.2
PLAIN_CPU, PLAIN_S = 1000, 2.7
N_PLAIN = 3
FINISH_S, IDLE_S = 14.0, 3.0


async def play(site: Site) -> str:
    """Return how the rule was broken, empty if it held."""
    urgent = route("urgent", priority=0, stretch=2.2)
    plain = route("plain", priority=2, stretch=4.0, target_duration_ms=3000)
    await site.start(3, N_WORKERS, [urgent, plain], CPU, n_special=N_SPECIAL)
    await asyncio.gather(*(submit_urgent(site) for _ in range(N_SPECIAL)))
    await asyncio.sleep(2.0)
    if not site.starts():
        raise NotRunError("no job ran before")
    if site.trouble:
        for _ in range(N_BURST // GROUP):
            begun_at = time.monotonic()
            await asyncio.gather(*(submit_urgent(site) for _ in range(GROUP)))
            spent_s = time.monotonic() - begun_at
            await asyncio.sleep(max(0.0, BURST_S * GROUP / N_BURST - spent_s))
    jobs = [await submit_plain(site) for _ in range(N_PLAIN)]
    site.record.add("end of the traffic")
    return await site.watch_idle(jobs, FINISH_S, IDLE_S)


async def submit_urgent(site: Site) -> None:
    """Submit a job that needs a worker of kind b."""
    step = {
        "count": 1,
        "cpu": URGENT_CPU,
        "mem_mb": 64,
        "est_runtime_ms": URGENT_S * 1000,
        "required_label": "b",
    }
    spec = json.dumps({"cpu": URGENT_CPU, "ms": URGENT_S * 1000})
    await site.submit("/urgent/", job_id(), {"spec": spec, "phases": [step]})


async def submit_plain(site: Site) -> str:
    """Submit a job that any worker may run; return its id."""
    job = job_id()
    step = {
        "count": 1,
        "cpu": PLAIN_CPU,
        "mem_mb": 64,
        "est_runtime_ms": PLAIN_S * 1000,
    }
    spec = json.dumps({"cpu": PLAIN_CPU, "ms": PLAIN_S * 1000})
    if await site.submit("/plain/", job, {"spec": spec, "phases": [step]}) != 200:
        raise NotRunError("a plain job was not accepted")
    return job


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
