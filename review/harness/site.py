"""A small deployment: store, workers, entry VMs, an operator and clients."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
import traceback
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .http import request
from .nodes import Node, free_host
from .record import Record
from .store import Store
from .worker import Worker, expire_registrations

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST_NAME = "jobs.example"
READY_TIMEOUT_S = 20.0
MAX_RUN_S = 112.0  # a script may run for 120 s
RETRY_STATUSES = (0, 502, 504)


class NotRunError(Exception):
    """The case could not be run."""


@dataclass
class Site:
    """The deployment of one case."""

    record: Record
    folder: Path
    trouble: bool
    store: Store = field(default_factory=Store)
    workers: list[Worker] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    version: int = 0
    _tasks: list[Any] = field(default_factory=list)

    async def start(
        self,
        n_nodes: int,
        n_workers: int,
        routes: list[dict[str, Any]],
        cpu: int,
        *,
        n_special: int = 0,
    ) -> None:
        """Start everything and wait until all VMs are ready.

        Parameters
        ----------
        n_special : int
            Number of workers of kind ``b``; the others are of kind ``a``.
        """
        host = free_host()
        address = await self.store.server.start(host)
        self.configure(routes)
        for number in range(n_workers):
            kind = "b" if number < n_special else "a"
            worker = Worker(f"i-{number:010x}", self.store, self.record, host, cpu)
            worker.labels = (kind, f"r1-{number // 4 + 1}")
            await worker.start()
            self.workers.append(worker)
        expiry = expire_registrations(self.store, self.workers)
        self._tasks.append(asyncio.create_task(expiry))
        for number in range(n_nodes):
            node = Node(f"front-z1-{number + 1}", self.folder, address, self.record)
            self.nodes.append(node)
            node.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all VMs are ready."""
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            if all([await node.is_ready() for node in self.nodes]):
                self.record.add("all nodes ready")
                return
            await asyncio.sleep(0.1)
        raise NotRunError("the nodes did not become ready")

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Write a version of the desired state; the write is acknowledged at once."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "pool", "admission_check": False, "spare": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        names = [item["name"] for item in routes]
        self.record.add("desired state", version=self.version, routes=names)

    async def submit(self, prefix: str, job_id: str, body: dict[str, Any]) -> int:
        """Submit a job as a client does; return the last status.

        After no response, a 502 or a 504, the request is repeated at another node.
        """
        return await self._call("POST", prefix + job_id, body)

    async def look_up(self, prefix: str, job_id: str) -> tuple[int, Any]:
        """Return the status and the body of a job's state."""
        node = random.choice(self.nodes)
        status, value = await request(
            node.front, "GET", prefix + job_id, headers={"Host": HOST_NAME}
        )
        self.record.add("state", job=job_id, node=node.name, status=status, body=value)
        return status, value

    async def _call(self, method: str, path: str, body: Any) -> int:
        status = 0
        for _ in range(5):
            node = random.choice(self.nodes)
            status, value = await request(
                node.front, method, path, body, headers={"Host": HOST_NAME}
            )
            self.record.add(
                "call",
                method=method,
                path=path,
                node=node.name,
                status=status,
                body=value,
            )
            if status not in RETRY_STATUSES:
                break
            await asyncio.sleep(0.2)
        return status

    def starts(self) -> list[str]:
        """Return the tasks that are running now."""
        return [task for item in self.workers if item.up for task in item.running]

    def find_twice(self) -> list[str]:
        """Return the pairs of runs of one task that ran at the same time."""
        runs: dict[str, list[tuple[float, float, int, str]]] = {}
        now = time.monotonic()
        for worker in self.workers:
            rows = list(worker.history)
            rows += [(i.task, i.run, i.begun_at, now) for i in worker.running.values()]
            for task, run, begun_at, ended_at in rows:
                row = (begun_at, ended_at, run, worker.worker_id)
                runs.setdefault(task, []).append(row)
        found = []
        for task, rows in runs.items():
            rows.sort()
            for i, earlier in enumerate(rows):
                for later in rows[i + 1 :]:
                    overlap_ms = (min(earlier[1], later[1]) - later[0]) * 1000
                    if overlap_ms > 0:
                        found.append(
                            f"{task}: run {earlier[2]} on {earlier[3]} and run"
                            f" {later[2]} on {later[3]}, for {overlap_ms:.0f} ms"
                        )
        return found

    async def watch_idle(self, jobs: list[str], finish_s: float, idle_s: float) -> str:
        """Watch jobs of one short task after the end of the traffic.

        Returns
        -------
        broken : str
            How the rule LOST was broken: jobs that have nothing running for
            ``idle_s`` at the end of ``finish_s``, although their turn has come and
            under half of the capacity is in use. Empty if it held.
        """
        end_at = time.monotonic()
        idle_since = dict.fromkeys(jobs, end_at)
        capacity = sum(item.cpu for item in self.workers)
        while time.monotonic() - end_at < finish_s + idle_s:
            await asyncio.sleep(0.05)
            used = sum(item.used() for item in self.workers)
            begun = {task.partition(".")[0] for w in self.workers for task in w.highest}
            for job in jobs:
                # A job of one task that has begun has none that waits.
                if job in begun or used > capacity / 2:
                    idle_since[job] = time.monotonic()
        now = time.monotonic()
        lost = [job for job, at in idle_since.items() if now - at > idle_s]
        in_use = [f"{w.worker_id}: {w.used()} of {w.cpu}" for w in self.workers]
        self.record.add("in use at the end", workers=in_use, lost=lost)
        if not lost:
            return ""
        longest_s = now - min(idle_since[job] for job in lost)
        return (
            f"LOST: {len(lost)} accepted jobs of one task have had nothing running for"
            f" {longest_s:.0f} s at {now - end_at:.0f} s after the end of the traffic,"
            f" with under half of the capacity in use"
        )

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        await self.store.server.stop()


def route(name: str, **values: Any) -> dict[str, Any]:
    """Return a route of the desired state."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_duration_ms": 1000,
        "priority": 1,
        "service": "pool",
        "max_attempts": 4,
        "stretch": 2.0,
    } | values


def job_id() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def run_case(folder: Path, play: Callable[[Site], Awaitable[str]]) -> None:
    """Play a case and exit with its result.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    play : callable
        Coroutine function that returns how the rule was broken, empty if it held.
    """
    record = Record(folder / "record.txt")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as scratch:
            trouble = os.environ.get("TROUBLE", "1") != "0"
            site = Site(record, Path(scratch), trouble)
            record.add("case", name=folder.name, trouble=trouble)
            loop, task = asyncio.get_running_loop(), asyncio.current_task()
            if task is not None:
                loop.add_signal_handler(signal.SIGTERM, task.cancel)
            try:
                async with asyncio.timeout(MAX_RUN_S):
                    broken = await play(site)
            except (Exception, asyncio.CancelledError) as exc:
                traceback.print_exc()
                record.add("not run", error=repr(exc))
                return NOT_RUN
            finally:
                if keep := os.environ.get("KEEP_LOGS"):
                    for path in Path(scratch).glob("*.log"):
                        Path(keep, path.name).write_bytes(path.read_bytes())
                await site.stop()
            record.add("result", broken=broken or "no")
            print(f"{folder.name}: {broken or 'the rule held'}")
            return BROKEN if broken else HELD

    sys.exit(asyncio.run(main()))
