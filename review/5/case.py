"""A gang that doesn't fit beside lasting tasks: smaller jobs don't start."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from review.harness.site import NotRunError, Site, job_id, route, run_case

N_WORKERS, CPU = 24, 32000
LASTING_CPU = 6700
N_GANG, GANG_CPU, GANG_S = 48, 16000, 9.6
PLAIN_CPU, PLAIN_S = 2500, 3.8
N_PLAIN = 3
FINISH_S, IDLE_S = 14.0, 3.0


async def play(site: Site) -> str:
    """Return how the rule was broken, empty if it held."""
    lasting = route("lasting", priority=1, target_duration_ms=2500)
    urgent = route("urgent", priority=0, stretch=2.2, target_duration_ms=1200)
    plain = route("plain", priority=2, stretch=4.0, target_duration_ms=3000)
    await site.start(3, N_WORKERS, [lasting, urgent, plain], CPU)
    step = phase(N_WORKERS, LASTING_CPU, 320)
    step |= {"long_running": True, "max_per_server": 1}
    await submit(site, "/lasting/", LASTING_CPU, 3_600_000, step)
    await asyncio.sleep(3.0)
    if len(site.starts()) != N_WORKERS:
        raise NotRunError("the lasting tasks do not run")
    if site.trouble:
        step = phase(N_GANG, GANG_CPU, GANG_S * 1000) | {"gang": True}
        await submit(site, "/urgent/", GANG_CPU, GANG_S * 1000, step)
        await asyncio.sleep(1.0)
    step = phase(1, PLAIN_CPU, PLAIN_S * 1000)
    jobs = [
        await submit(site, "/plain/", PLAIN_CPU, PLAIN_S * 1000, step)
        for _ in range(N_PLAIN)
    ]
    site.record.add("end of the traffic")
    return await site.watch_idle(jobs, FINISH_S, IDLE_S)


def phase(count: int, cpu: int, ms: float) -> dict[str, object]:
    """Return a step of a job."""
    return {"count": count, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": ms}


async def submit(
    site: Site, prefix: str, cpu: int, ms: float, step: dict[str, object]
) -> str:
    """Submit a job of one step; return its id."""
    job = job_id()
    spec = json.dumps({"cpu": cpu, "ms": ms})
    if await site.submit(prefix, job, {"spec": spec, "phases": [step]}) != 200:
        raise NotRunError("a job was not accepted")
    return job


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
