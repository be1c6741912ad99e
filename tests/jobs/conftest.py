"""Fixtures for the tests of jobs: a cluster of nodes in one process."""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.errors import ProtocolError
from cuminhill.jobs.node import Backends, JobNode, NodeOptions
from cuminhill.jobs.placer import PlacerTimes
from standins.job_platform import (
    LogView,
    MemoryAdvice,
    MemoryLog,
    MemoryWorker,
    MemoryWorkers,
)

from .builders import make_entry, make_queue, make_table

if TYPE_CHECKING:
    from cuminhill.jobs.model import Job, JobState
    from cuminhill.jobs.records import JournalRecord
    from cuminhill.model import Resources

RUN_TIME_S = 0.3
DRAIN_S = 2.0  # least time that a worker stays after it has said that it leaves


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@dataclass(eq=False)
class Cluster:
    """Nodes, workers and logs in one process."""

    journal: MemoryLog = field(default_factory=MemoryLog)
    config: MemoryLog = field(default_factory=MemoryLog)
    registry: MemoryLog = field(default_factory=MemoryLog)
    workers: MemoryWorkers = field(default_factory=MemoryWorkers)
    advice: MemoryAdvice = field(default_factory=MemoryAdvice)
    nodes: dict[str, JobNode] = field(default_factory=dict)
    views: dict[str, list[LogView]] = field(default_factory=dict)
    tasks: dict[str, object] = field(default_factory=dict)
    needs: dict[str, Resources] = field(default_factory=dict)
    tables: list = field(default_factory=lambda: [make_table(make_queue())])
    times: PlacerTimes = field(default_factory=PlacerTimes)

    def add_worker(
        self, worker_id: str, incarnation: int = 1, **more: float
    ) -> MemoryWorker:
        """Add a worker and its registration."""
        entry = make_entry(worker_id, incarnation=incarnation)
        worker = MemoryWorker(entry, more.get("run_time_s", RUN_TIME_S), self.needs)
        self.workers.workers[worker_id] = worker
        self.registry.append_records([(worker_id, str(incarnation).encode())])
        return worker

    async def restart_worker(self, worker_id: str, register_after_s: float) -> None:
        """Restart a worker under its identity; it registers a moment later."""
        earlier = self.workers.workers[worker_id]
        earlier.exit()
        self.workers.ended.append(earlier)
        entry = replace(earlier.entry, incarnation=earlier.entry.incarnation + 1)
        worker = MemoryWorker(entry, earlier.run_time_s, self.needs)
        self.workers.workers[worker_id] = worker
        await curio.sleep(register_after_s)
        self.registry.append_records([(worker_id, str(entry.incarnation).encode())])

    def drain_worker(self, worker_id: str) -> None:
        """Have a worker say that it leaves."""
        incarnation = self.workers.workers[worker_id].entry.incarnation
        self.registry.append_records([(worker_id, b"%d draining" % incarnation)])

    def remove_worker(self, worker_id: str) -> MemoryWorker:
        """End a worker and all of its runs, and remove its registration."""
        worker = self.workers.workers.pop(worker_id)
        worker.exit()
        self.registry.append_records([(worker_id, b"")])
        return worker

    def publish(self, *queues, teams=None) -> None:
        """Publish a configuration."""
        version = len(self.tables) + 1
        self.tables.append(make_table(*queues, version=version, teams=teams))
        self.config.append_records([("config", str(len(self.tables) - 1).encode())])

    def _decode_table(self, value: bytes):
        return self.tables[int(value)]

    def _decode_worker(self, worker_id: str, value: bytes):
        number, _, state = value.partition(b" ")
        if not number.isdigit() or state not in {b"", b"draining"}:
            raise ProtocolError("not an incarnation", step="registry", peer=worker_id)
        return make_entry(
            worker_id,
            incarnation=int(number),
            draining=bool(state),
            drain_left_s=DRAIN_S if state else 0.0,
        )

    async def start_node(
        self,
        vm: str,
        seed: int = 1,
        fitness: float = 1.0,
        address: str = "",
        *,
        journal_down: bool = False,
    ) -> JobNode:
        """Start a node, by default at an address of its own."""
        views = [LogView(log) for log in (self.journal, self.config, self.registry)]
        views[0].faults.down = journal_down
        self.views[vm] = views
        backends = Backends(
            *views,
            calls=self.workers,
            advice=self.advice,
            decode_table=self._decode_table,
            decode_worker=self._decode_worker,
            config_key="config",
        )
        address = address or f"127.0.0.1:{free_port()}"
        options = NodeOptions(vm, address, self.times, 120.0, fitness)
        node = JobNode(options, backends, random.Random(f"{vm}.{seed}"))
        self.nodes[vm] = node
        await node.start()
        return node

    async def kill_node(self, vm: str) -> None:
        """Isolate a node from all services at once, as a power loss does."""
        for view in self.views[vm]:
            view.faults.unresponsive = True
        node = self.nodes.pop(vm)
        if node.leadership is not None:
            await node.leadership.end()
            node.leadership.calls = MemoryWorkers()
        node.draining = True
        await node.rpc.close()

    def leader(self) -> JobNode | None:
        """Return the node that leads."""
        for node in self.nodes.values():
            if node.leadership is not None and not node.leadership.ended:
                return node
        return None

    async def wait_for(self, condition, timeout_s: float = 10.0) -> None:
        """Wait until a condition holds."""
        give_up_at = boottime() + timeout_s
        while not condition():
            assert boottime() < give_up_at, "condition not met in time"
            await curio.sleep(0.01)

    async def submit(self, node: JobNode, job: Job):
        """Submit a job and return the outcome."""
        self.needs[job.payload] = job.steps[0].need
        return await node.service.submit(job, 2.0)

    def state(self, node: JobNode, job_id: str) -> JobState | None:
        """Return the state of a job as a node sees it."""
        entry = node.job_index.entries.get(job_id)
        return entry.state if entry else None

    def stored(self, key: str) -> JournalRecord | None:
        """Return the newest record of a key in the journal."""
        found = [record for record in self.journal.records if record.key == key]
        return found[-1] if found else None


@pytest.fixture
def cluster():
    """Return a cluster with a configuration and three workers, but no nodes."""
    made = Cluster()
    made.config.append_records([("config", b"0")])
    for number in range(3):
        made.add_worker(f"w{number}")
    return made
