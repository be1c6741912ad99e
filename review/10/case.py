"""A queue's length leaves out jobs whose starts an unhealthy worker has refused."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts2.platform import Platform
from parts2.system import (
    BROKEN,
    HELD,
    Node,
    NotRunError,
    Record,
    call,
    is_troubled,
    make_nodes,
    route,
    run_case,
    wait_leader,
    wait_ready,
)

PREFIX = "/pufi791/"
N_WORKERS = 24
N_JOBS = 5
WORK_S = 2.0
UNHEALTHY_S = 6.5
SHOWN_AFTER_S = 3.0 + 2.0  # visible_ms and two seconds


async def case(record: Record, scratch: Path, nodes: list[Node]) -> int:
    """Run the case."""
    platform = Platform()
    await platform.start(N_WORKERS, lambda task, spec: WORK_S)
    special = platform.workers[:2]
    for worker in special:
        worker.kind = "b"
    platform.configure(1, [route("fault-diag", PREFIX)])
    nodes += make_nodes(3, scratch, platform)
    for node in nodes:
        node.start()
    await wait_ready(nodes)
    leader = await wait_leader(nodes)
    record.note(f"the placer is {leader.name}")
    await asyncio.sleep(4)
    if is_troubled():
        for worker in special:
            worker.unhealthy = True
        record.note("the two workers of kind b answer starts with 503")
    begun_at = time.monotonic()
    step = {"count": 1, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 2000}
    body = {"spec": "x", "phases": [{**step, "required_label": "b"}]}
    for number in range(N_JOBS):
        node = nodes[number % len(nodes)]
        status, _ = await call(node.front, "POST", f"{PREFIX}{number:016x}", body)
        record.note(f"POST of job {number} at {node.name}: {status}")
        if status != 200:
            raise NotRunError("a job was not accepted")
    accepted_at = time.monotonic()
    wrong = 0
    while time.monotonic() < begun_at + UNHEALTHY_S - 0.3:
        await asyncio.sleep(0.5)
        if time.monotonic() < accepted_at + SHOWN_AFTER_S:
            continue
        for node in nodes:
            status, value = await call(node.front, "GET", PREFIX)
            begun = {run.task.partition(".")[0] for run in platform.history}
            n_waiting = N_JOBS - len(begun)
            record.note(
                f"GET of the queue at {node.name}: {status} {value}; {n_waiting} jobs "
                f"accepted over {SHOWN_AFTER_S} s before have not begun"
            )
            wrong += status == 200 and value["waiting"] < n_waiting / 2
    for number in range(N_JOBS):
        _, value = await call(nodes[0].front, "GET", f"{PREFIX}{number:016x}")
        record.note(f"GET of job {number}: {value}")
    for worker in special:
        worker.unhealthy = False
    record.note("the workers are healthy again")
    await asyncio.sleep(6)
    for run in platform.history:
        record.note(f"{run.task} run {run.number} on {run.worker}: {run.how}")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
