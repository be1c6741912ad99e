"""Stand-in for a worker that does not guard its capacity, as PROTOCOL.md says.

A task's work is described by its spec, JSON with ``cpu`` (thousandths of a core) and
``ms`` (duration).
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .http import Request, Server

if TYPE_CHECKING:
    from .record import Record
    from .store import Store

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.05
TICK_S = 0.01
EXPIRY_HEARTBEATS = 3
MAX_LISTED = 500


@dataclass
class Run:
    """One run of a task on a worker."""

    task: str
    run: int
    cpu: int
    ms: float
    begun_at: float
    stop_at: float = 0.0

    def percent(self) -> int:
        """Return the share of the work that is done."""
        return min(99, int(100000 * (time.monotonic() - self.begun_at) / self.ms))


@dataclass
class Worker:
    """A worker with one identity and, after restarts, several incarnations."""

    worker_id: str
    store: Store
    record: Record
    host: str
    cpu: int = 16000
    service: str = "pool"
    labels: tuple[str, ...] = ("a", "r1-1")
    address: str = ""
    born: int = 0
    n_life: int = 0
    up: bool = False
    reaches_store: bool = True
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    n_ended: int = 0
    fence: int = 0
    deadline_ms: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    overfull: list[str] = field(default_factory=list)
    # Task, run, begin and end of each run that has ended, in seconds.
    history: list[tuple[str, int, float, float]] = field(default_factory=list)
    _started_at: float = 0.0
    _written_at: float = 0.0
    _server: Server | None = None
    _dark: list[Server] = field(default_factory=list)
    _tasks: list[Any] = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Begin an incarnation at the same address: register, then listen."""
        self.running, self.ended, self.highest = {}, [], {}
        self.n_ended = self.fence = self.deadline_ms = 0
        self.n_life += 1
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._server = Server(self._handle)
        port = int(self.address.rpartition(":")[2] or 0)
        self.up = True
        if self.address:
            self._register()
        self.address = await self._server.start(self.host, port)
        self._register()
        for server in self._dark:
            server.rebooted.set()
        self.record.add(
            "worker up", worker=self.worker_id, life=self.n_life, cpu=self.cpu
        )
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._beat()),
        ]

    def go_dark(self) -> None:
        """Lose power; everything that runs here ends."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.go_dark()
            self._dark.append(self._server)
            self._server = None
        self._lose_runs("worker dark")

    async def crash(self) -> None:
        """End without notice; everything that runs here ends with the worker."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        for server in [*self._dark, self._server]:
            if server is not None:
                await server.stop()
        self._lose_runs("worker crashed")

    def _lose_runs(self, event: str) -> None:
        now = time.monotonic()
        for item in self.running.values():
            self.history.append((item.task, item.run, item.begun_at, now))
        tasks = [f"{item.task} run {item.run}" for item in self.running.values()]
        self.record.add(event, worker=self.worker_id, life=self.n_life, lost=tasks)
        self.running = {}

    def used(self) -> int:
        """Return the cpu of all runs that are present."""
        return sum(item.cpu for item in self.running.values())

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * 1000) + 1

    def _register(self) -> None:
        if not (self.up and self.reaches_store):
            return
        self._written_at = time.monotonic()
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": list(self.labels),
            "clock_ms": self._clock_ms(),
            "born": self.born,
            "seq": self._clock_ms(),
        }
        value = json.dumps(entry).encode()
        self.store.put("keyed.servers", self.worker_id, value)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._register()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self._clock_ms() > self.deadline_ms
            for item in list(self.running.values()):
                if lapsed:
                    self._end(item, "lapsed")
                elif item.stop_at and now >= item.stop_at:
                    self._end(item, "stopped")
                elif now - item.begun_at >= item.ms / 1000:
                    self._end(item, "done")

    def _end(self, item: Run, how: str) -> None:
        del self.running[item.task]
        self.history.append((item.task, item.run, item.begun_at, time.monotonic()))
        self.n_ended += 1
        self.ended.append([self.n_ended, item.task, item.run, how, ""])
        self.record.add(
            "run ended",
            task=item.task,
            run=item.run,
            how=how,
            worker=self.worker_id,
            life=self.n_life,
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: Request) -> tuple[int, Any] | None:
        if req.headers.get("x-cuminhill-expect-instance", "") != self.worker_id:
            return 421, {"clock_ms": self._clock_ms(), "born": self.born}
        body = json.loads(req.body)
        status, value = await self._answer(req.path, body)
        return status, {"clock_ms": self._clock_ms(), "born": self.born, **value}

    async def _answer(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        if body.get("fence_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = max(self.fence, body.get("fence_token", 0))
        if path == "/-/run-start":
            return self._start(body)
        if path == "/-/run-stop":
            return self._stop(body)
        return await self._hold(body) if path == "/-/hold" else (404, {})

    def _extend(self, deadline_ms: int) -> None:
        latest = self._clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest))

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, run, spec = body["task"], body["run"], json.loads(body["spec"])
        if body["deadline_ms"] < self._clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["deadline_ms"])
        present = self.running.get(task)
        if present is not None and present.run == run:
            return 200, {}
        if run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        self.highest[task] = run
        self.running[task] = Run(task, run, spec["cpu"], spec["ms"], time.monotonic())
        used = self.used()
        self.record.add(
            "run started",
            task=task,
            run=run,
            worker=self.worker_id,
            life=self.n_life,
            used=used,
            cpu=self.cpu,
        )
        if used > self.cpu:
            self.overfull.append(
                f"{self.worker_id} life {self.n_life}: {used} of {self.cpu}"
            )
        return 200, {}

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, run = body["task"], body["run"]
        present = self.running.get(task)
        self.highest[task] = max(run, self.highest.get(task, 0))
        if present is not None and present.run <= run and not present.stop_at:
            present.stop_at = time.monotonic() + STOP_S
        return 200, {}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        cursor = body.get("ack_cursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        give_up_at = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self.ended and (left_s := give_up_at - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        running = [
            [item.task, item.run, "", item.percent()] for item in self.running.values()
        ]
        return 200, {"running": running, "ended": self.ended[:MAX_LISTED]}


async def expire_registrations(store: Store, workers: list[Worker]) -> None:
    """Remove the entries of workers that have been silent for three heartbeats."""
    while True:
        await asyncio.sleep(HEARTBEAT_S / 5)
        newest = store.topic("keyed.servers").newest
        for worker in workers:
            silent_s = time.monotonic() - worker._written_at
            if (
                worker.worker_id in newest
                and silent_s > EXPIRY_HEARTBEATS * HEARTBEAT_S
            ):
                store.put("keyed.servers", worker.worker_id, b"")
                worker.record.add("registration expired", worker=worker.worker_id)
