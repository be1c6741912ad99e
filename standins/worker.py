"""Stand-in for a worker: runs tasks under leases and records violations.

Work beyond its capacity is accepted and recorded as a violation, so that a check can
see it.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import curio

from cuminhill.coordination.lease import Held, LeaseArbiter
from cuminhill.model import NO_RESOURCES, Resources
from cuminhill.platform.worker import resources_to_dict
from cuminhill.util.http import HttpRequest, HttpResponse

MAX_FINISHED = 10000
TASK_TTL_S = 10.0
WATCHDOG_POLL_S = 0.1
FREEZE_POLL_S = 0.02
CONTROL_VERBS = ("stop", "throttle", "checkpoint")


@dataclass(slots=True)
class RunningTask:
    """Task in progress.

    Parameters
    ----------
    remaining_s : float, seconds
        Run time left at full speed.
    progress_at : float, seconds
        Monotonic time of the last update of ``remaining_s``.
    rate : float, default=1
        Fraction of the full speed; lower after a throttle.
    run : int
        Number of the run on this worker.
    """

    task_id: str
    request_id: str
    epoch: int
    need: Resources
    payload: dict[str, Any]
    remaining_s: float
    progress_at: float
    started_at: float
    rate: float = 1.0
    run: int = 0
    done: Any = field(default_factory=curio.Event)
    changed: Any = field(default_factory=curio.Event)
    result: dict[str, Any] | None = None


@dataclass(slots=True)
class Worker:
    """One worker.

    Parameters
    ----------
    worker_id : str
        Name of the worker.
    capacity : Resources
        Resources that the worker offers.
    rack : str
        Rack that the worker is in.
    failure_domain : str
        Failure domain that the worker is in.
    speed : float, default=1
        Divisor of run times.
    fencing : bool, default=True
        Whether calls with a stale epoch are rejected.
    fail_all : bool, default=False
        Every task fails as soon as it starts.
    frozen : bool, default=False
        No call is answered and no task ends while this is set.
    usage_lag_s : float, seconds, default=1
        Age of the reported usage.
    """

    worker_id: str
    capacity: Resources
    rack: str = "r0"
    failure_domain: str = ""
    speed: float = 1.0
    fencing: bool = True
    fail_all: bool = False
    frozen: bool = False
    leaving: bool = False
    usage_lag_s: float = 1.0
    # Epochs start at the wall-clock time, so that they increase across restarts.
    arbiter: LeaseArbiter = field(
        default_factory=lambda: LeaseArbiter(epoch=time.time_ns() // 1_000_000)
    )
    incarnation: str = field(default_factory=lambda: str(time.time_ns()))
    running: dict[int, RunningTask] = field(default_factory=dict)  # by run
    finished: deque[dict[str, Any]] = field(default_factory=deque)
    dropped: bool = False
    seq: int = 0
    n_runs: int = 0
    starts: Counter[str] = field(default_factory=Counter)
    violations: list[dict[str, Any]] = field(default_factory=list)
    renewed_at: float = 0.0
    history: list[dict[str, Any]] = field(default_factory=list)

    def used(self) -> Resources:
        """Return the total need of all running tasks."""
        total = NO_RESOURCES
        for task in self.running.values():
            total = total + task.need
        return total

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Serve the worker's HTTP interface."""
        if req.path in {"/state", "/set", "/die"}:
            return await self._administer(req)
        await self._wait_until_unfrozen()
        now = time.monotonic()
        if req.path == "/lease":
            return await self._lease(req.json(), now)
        if req.path == "/release":
            body = req.json()
            released = self.arbiter.release(body["holder"], body["epoch"])
            return HttpResponse(200, {"released": released})
        if req.path == "/tasks":
            return await self._start(req.json(), now)
        if req.path.startswith("/tasks/"):
            return await self._control(req.path.split("/")[2:], req.json(), now)
        return HttpResponse(404, {"error": "not found"})

    async def die(self) -> None:
        """Restart: end all tasks and begin a new incarnation without their state."""
        for task in list(self.running.values()):
            await self._end(task, ok=False, detail="worker died")
        if self.leaving:
            self.leaving = False
            self.history.append({"event": "returned", "at": time.monotonic()})
        self.finished.clear()
        self.dropped = False
        self.seq = 0
        self.arbiter = LeaseArbiter(epoch=time.time_ns() // 1_000_000)
        self.incarnation = str(time.time_ns())

    async def _administer(self, req: HttpRequest) -> HttpResponse:
        if req.path == "/state":
            return HttpResponse(200, self._state())
        if req.path == "/die":
            await self.die()
            return HttpResponse(200, {})
        values = req.json()
        if values.get("leaving") and not self.leaving:
            self.history.append({"event": "leaving", "at": time.monotonic()})
        for name, value in values.items():
            setattr(self, name, value)
        return HttpResponse(200, {})

    async def _wait_until_unfrozen(self) -> None:
        while self.frozen:
            await curio.sleep(FREEZE_POLL_S)

    async def run_watchdog(self) -> None:
        """Stop the tasks whose task lease has lapsed."""
        while True:
            await curio.sleep(WATCHDOG_POLL_S)
            await self._wait_until_unfrozen()
            await self._end_lapsed()

    async def _end_lapsed(self) -> None:
        # Ends tasks one poll early, so that none outlives its task lease.
        before = time.monotonic() - TASK_TTL_S + WATCHDOG_POLL_S
        for task in list(self.running.values()):
            if max(self.renewed_at, task.started_at) < before:
                await self._end(task, ok=False, detail="task lease lapsed")

    async def _lease(self, body: dict[str, Any], now: float) -> HttpResponse:
        await self._end_lapsed()  # a renewal does not revive a lapsed task lease
        grant = self.arbiter.acquire(body["holder"], body["ttl_s"], now)
        if isinstance(grant, Held):
            value = {"holder": grant.holder, "remaining_s": grant.remaining_s}
            return HttpResponse(409, value)
        if body.get("extend_tasks", True):
            self.renewed_at = now
        since = body.get("seq", 0)
        while self.finished and self.finished[0]["seq"] <= body.get("ack", 0):
            self.finished.popleft()
        used = self.used()
        value = {
            "epoch": grant.epoch,
            "incarnation": self.incarnation,
            "seq": self.seq,
            "leaving": self.leaving,
            "dropped": self.dropped,
            "capacity": resources_to_dict(self.capacity),
            "rack": self.rack,
            "failure_domain": self.failure_domain,
            "speed": self.speed,
            "tasks": [
                {
                    "task_id": task.task_id,
                    "request_id": task.request_id,
                    "need": resources_to_dict(task.need),
                    "run_s": now - task.started_at,
                }
                for task in self.running.values()
            ],
            "finished": [item for item in self.finished if item["seq"] > since],
            "usage": {"cores": used.cores, "memory_mb": used.memory_mb},
        }
        return HttpResponse(200, value)

    async def _start(self, body: dict[str, Any], now: float) -> HttpResponse:
        if self.fencing and not self.arbiter.permits(body["epoch"], now):
            return HttpResponse(409, {"error": "stale epoch"})
        task = RunningTask(
            body["task_id"],
            body["request_id"],
            body["epoch"],
            Resources(**body["need"]),
            body.get("payload") or {},
            body.get("run_time_s", 0.0) / self.speed,
            now,
            now,
        )
        self.n_runs += 1
        task.run = self.n_runs
        self._record_start(task)
        self.running[task.run] = task
        self._check_capacity(task)
        await curio.spawn(self._run, task, daemon=True)
        wait_s = body.get("wait_s", 0.0)
        if wait_s <= 0:
            return HttpResponse(202, {"state": "running"})
        try:
            async with curio.timeout_after(wait_s):
                await task.done.wait()
        except curio.TaskTimeout:
            return HttpResponse(202, {"state": "running"})
        return HttpResponse(200, task.result)

    async def _control(
        self, path: list[str], body: dict[str, Any], now: float
    ) -> HttpResponse:
        task_id, verb = "/".join(path[:-1]), path[-1]
        if verb not in CONTROL_VERBS:
            return HttpResponse(404, {"error": "not found"})
        if self.fencing and not self.arbiter.permits(body["epoch"], now):
            return HttpResponse(409, {"error": "stale epoch"})
        runs = [item for item in self.running.values() if item.task_id == task_id]
        task = runs[0] if runs else None
        if task is None:
            return HttpResponse(404, {"error": "no such task"})
        if verb == "throttle":
            task.remaining_s -= (now - task.progress_at) * task.rate
            task.progress_at = now
            task.rate = float(body.get("rate", 0.5))
            await task.changed.set()
            return HttpResponse(200, {})
        progress_s = (now - task.progress_at) * task.rate
        left_s = max(0.0, task.remaining_s - progress_s)
        saved = {"remaining_s": left_s * self.speed if verb == "checkpoint" else None}
        await self._end(task, ok=False, detail=verb, extra=saved)
        return HttpResponse(200, saved)

    async def _run(self, task: RunningTask) -> None:
        if self.fail_all or task.payload.get("fail"):
            await self._end(task, ok=False, detail="task failed")
            return
        while task.run in self.running:
            task.changed.clear()
            try:
                async with curio.timeout_after(task.remaining_s / task.rate):
                    await task.changed.wait()
            except curio.TaskTimeout:
                await self._wait_until_unfrozen()
                await self._end(task, ok=True, detail="")

    async def _end(
        self,
        task: RunningTask,
        *,
        ok: bool,
        detail: str,
        extra: dict[str, Any] | None = None,
    ) -> None:
        if self.running.pop(task.run, None) is None:
            return
        now = time.monotonic()
        self.seq += 1
        task.result = {
            "task_id": task.task_id,
            "request_id": task.request_id,
            "ok": ok,
            "detail": detail,
            "value": task.payload.get("echo"),
            "run_s": now - task.started_at,
            "seq": self.seq,
            **(extra or {}),
        }
        self.finished.append(task.result)
        if len(self.finished) > MAX_FINISHED:
            self.finished.popleft()
            self.dropped = True
        self.history.append(
            {
                "event": "end",
                "run": task.run,
                "task_id": task.task_id,
                "at": now,
                "ok": ok,
                "detail": detail,
            }
        )
        await task.changed.set()
        await task.done.set()

    def _record_start(self, task: RunningTask) -> None:
        self.starts[task.task_id] += 1
        self.history.append(
            {
                "event": "start",
                "run": task.run,
                "task_id": task.task_id,
                "request_id": task.request_id,
                "need": resources_to_dict(task.need),
                "at": task.started_at,
                "epoch": task.epoch,
                "leaving": self.leaving,
            }
        )
        if any(item.task_id == task.task_id for item in self.running.values()):
            self.violations.append({"kind": "double start", "task_id": task.task_id})

    def _check_capacity(self, task: RunningTask) -> None:
        if not self.used().fits(self.capacity):
            self.violations.append({"kind": "capacity", "task_id": task.task_id})

    def _state(self) -> dict[str, Any]:
        return {
            "worker_id": self.worker_id,
            "capacity": resources_to_dict(self.capacity),
            "epoch": self.arbiter.epoch,
            "holder": self.arbiter.holder,
            "running": sorted(item.task_id for item in self.running.values()),
            "starts": dict(self.starts),
            "violations": self.violations,
            "history": self.history,
        }
