"""Stand-ins of `checks.lasting`: advice, workers and a deployment that is disturbed."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from review.harness.http import Request, Server
from review.harness.nodes import Node, free_host
from review.harness.site import Site
from review.harness.worker import Worker, expire_registrations

from .lasting_judge import Absence, Absent, Judge

if TYPE_CHECKING:
    from collections.abc import Iterator

HOLD_MAX_MS = 10_000
N_NODES, N_WORKERS, CPU = 9, 24, 32_000
WATCH_S = 0.05
MAX_ADVICE_QUEUE = 32
TICKET_S = 2.5
# Time of a call for advice, time per worker named in it and permitted share.
ADVICE = {
    "watch": (0.45, 0.0065, 0.35),
    "batch": (0.43, 0.0061, 0.35),
    "check": (0.026, 0.00037, 0.7),
}


# The default form of these classes names each other with all records of the store: an
# error message of asyncio that shows a handler would take gigabytes.
@dataclass(eq=False, repr=False)
class Advice:
    """Placement advice service: serves the calls of each VM one after the other.

    Parameters
    ----------
    slowness : float
        Time of a call as a multiple of what is declared.
    released : asyncio.Event
        Calls are held while it is not set.
    """

    n_calls: Counter[str] = field(default_factory=Counter)
    tickets: dict[str, tuple[str, str, int, float]] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    queues: dict[str, str] = field(default_factory=dict)
    slowness: float = 1.0
    released: asyncio.Event = field(default_factory=asyncio.Event)
    server: Server = field(init=False)
    _locks: dict[str, asyncio.Lock] = field(default_factory=dict)
    _n_waiting: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.server = Server(self._handle)
        self.released.set()

    async def _handle(self, req: Request) -> tuple[int, Any]:
        body = json.loads(req.body)
        step, names = body["step"], body["workers"]
        queue = self.queues.get(step.partition(".")[0], "batch")
        if self._n_waiting[req.peer] >= MAX_ADVICE_QUEUE:
            return 429, {}
        lock = self._locks.setdefault(req.peer, asyncio.Lock())
        # A call goes on although its caller has given up.
        self._n_waiting[req.peer] += 1
        call = asyncio.create_task(self._serve(lock, req.peer, queue, step, names))
        return await asyncio.shield(call)

    async def _serve(
        self, lock: asyncio.Lock, peer: str, queue: str, step: str, names: list[str]
    ) -> tuple[int, Any]:
        decide_s, each_s, share = ADVICE[queue]
        async with lock:
            await self.released.wait()
            await asyncio.sleep(self.slowness * (decide_s + each_s * len(names)))
        self._n_waiting[peer] -= 1
        self.n_calls[queue] += 1
        rows = []
        for name in names:
            worker = self.workers.get(name)
            if worker is None or not permits(step, name, share):
                continue
            ticket = f"{random.getrandbits(64):016x}"
            until = time.monotonic() + TICKET_S
            self.tickets[ticket] = (step, name, worker.n_life, until)
            rows.append([name, ticket])
        return 200, {"good": rows}

    def is_valid(self, ticket: str, task: str, worker: Worker) -> bool:
        """Return whether a ticket permits the start of a task."""
        step, name, life, until = self.tickets.get(ticket, ("", "", 0, 0.0))
        return (
            task.rpartition(".")[0] == step
            and (name, life) == (worker.worker_id, worker.n_life)
            and time.monotonic() <= until
        )


def permits(step: str, worker_id: str, share: float) -> bool:
    """Return whether a policy allows a worker to run a step; it never changes."""
    digest = hashlib.sha256(f"{step} {worker_id}".encode()).digest()
    return int.from_bytes(digest[:4]) < share * (1 << 32)


@dataclass(eq=False, repr=False)
class AdvisedWorker(Worker):
    """Worker that checks the tickets of starts and can be cut off.

    Parameters
    ----------
    joined : asyncio.Event
        While it is not set, the worker runs on, and no call arrives and no answer
        leaves; these are delayed, as on a link without packets.
    """

    advice: Advice | None = None
    joined: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.joined.set()

    def __repr__(self) -> str:
        return f"AdvisedWorker({self.worker_id!r})"

    @property
    def cut(self) -> bool:
        """Whether the worker is cut off."""
        return not self.joined.is_set()

    def _extend(self, deadline_ms: int) -> None:
        latest = self._clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest))

    def _register(self) -> None:
        if not self.cut:
            super()._register()

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        assert self.advice is not None
        known = body["task"] in self.running
        ticket = body.get("ticket", "")
        if not known and not self.advice.is_valid(ticket, body["task"], self):
            return 409, {"reason": "ticket"}
        return super()._start(body)

    async def _handle(self, req: Request) -> tuple[int, Any] | None:
        await self.joined.wait()
        answer = await super()._handle(req)
        await self.joined.wait()
        return answer


@dataclass(eq=False, repr=False)
class LastingSite(Site):
    """Deployment with advice whose disturbances are noted.

    Parameters
    ----------
    lasting : dict
        Number of tasks, cores of each in thousandths and most tasks on a worker (0 for
        any number) of the jobs that last.
    away_from : set of str
        Addresses of VMs that the store does not serve.
    store_is_silent : bool
        Whether it does not answer these instead of refusing their calls.
    worst_lag_s : float
        Longest delay of the judge's own timer, a sign of a contended machine.
    past : list of Worker
        Workers that were replaced.
    """

    advice: Advice = field(default_factory=Advice)
    lasting: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    disturbed_at: float = 0.0
    n_disturbing: int = 0
    away_from: set[str] = field(default_factory=set)
    store_is_silent: bool = False
    judge: Judge = field(default_factory=Judge)
    worst_lag_s: float = 0.0
    past: list[Worker] = field(default_factory=list)
    _n_workers_made: int = 0
    _host: str = ""
    # Newest end of each lasting task, and the rows read of each worker's history.
    _ended: dict[str, float] = field(default_factory=dict)
    _n_read: Counter[str] = field(default_factory=Counter)

    def __repr__(self) -> str:
        return f"LastingSite({str(self.folder)!r})"

    async def start_all(self, routes: list[dict[str, Any]]) -> None:
        """Start everything and wait until all VMs are ready."""
        self._host = free_host()
        self.store.server.handler = self._handle_store
        address = await self.store.server.start(self._host)
        advice_address = await self.advice.server.start(free_host())
        self.configure(routes)
        for _ in range(N_WORKERS):
            await self.add_worker()
        expiry = expire_registrations(self.store, self.workers)
        self._tasks.append(asyncio.create_task(expiry))
        for number in range(N_NODES):
            node = Node(f"front-z1-{number + 1}", self.folder, address, self.record)
            text = node.path.read_text().replace(
                "max_lease_ms = 6000", f"max_lease_ms = {HOLD_MAX_MS}"
            )
            node.path.write_text(f'{text}advice_address = "{advice_address}"\n')
            self.nodes.append(node)
            node.start()
        await self.wait_ready()

    async def _handle_store(self, req: Request) -> tuple[int, Any] | None:
        if req.peer in self.away_from:
            if self.store_is_silent:
                await asyncio.Event().wait()
            return 503, {}
        return await self.store._handle(req)

    async def add_worker(self) -> None:
        """Start a worker with a new identity."""
        self._n_workers_made += 1
        number = self._n_workers_made
        worker = AdvisedWorker(
            f"i-{number:010x}",
            self.store,
            self.record,
            self._host,
            CPU,
            advice=self.advice,
        )
        worker.labels = ("a", f"r1-{number % 3 + 1}")
        await worker.start()
        self.workers.append(worker)
        self.advice.workers[worker.worker_id] = worker

    def placer(self) -> Node:
        """Return the VM that has claimed the newest term."""
        newest = self.store.topic("keyed.cuminhill").newest.get("lead")
        name = json.loads(newest[1])["vm"] if newest else ""
        return next((node for node in self.nodes if node.name == name), self.nodes[0])

    def disturb(self, kind: str, **values: Any) -> None:
        """Note a disturbance."""
        self.record.add("disturbance", kind=kind, **values)
        self.disturbed_at = time.monotonic()

    async def kill(self, node: Node, down_s: float, *, back: bool = True) -> None:
        """Kill a VM's process; start it again after a time."""
        self.n_disturbing += back
        node.send_signal(signal.SIGKILL)
        await node.wait_for_end(5.0)
        self.disturb("kill", node=node.name, down_s=round(down_s, 2), back=back)
        if not back:
            return
        await asyncio.sleep(down_s)
        node.start()
        self.n_disturbing -= 1
        self.disturb("started", node=node.name)

    async def stop_and_start(self, node: Node) -> None:
        """Stop a VM's process with SIGTERM and start it again."""
        self.n_disturbing += 1
        node.send_signal(signal.SIGTERM)
        await node.wait_for_end(7.0)
        await asyncio.sleep(0.5)
        node.start()
        self.n_disturbing -= 1
        self.disturb("started", node=node.name)

    async def freeze(self, node: Node, for_s: float) -> None:
        """Suspend a VM's process for a time."""
        self.n_disturbing += 1
        node.send_signal(signal.SIGSTOP)
        self.disturb("freeze", node=node.name, for_s=for_s)
        await asyncio.sleep(for_s)
        node.send_signal(signal.SIGCONT)
        self.n_disturbing -= 1
        self.disturb("goes on", node=node.name)

    async def take_store_away(
        self, nodes: list[Node], for_s: float, *, silent: bool
    ) -> None:
        """Have the store refuse all calls of some VMs for a time."""
        self.n_disturbing += 1
        self.away_from, self.store_is_silent = {node.host for node in nodes}, silent
        names = [node.name for node in nodes]
        self.disturb("store away", for_s=for_s, silent=silent, nodes=names)
        await asyncio.sleep(for_s)
        self.away_from = set()
        self.n_disturbing -= 1
        self.disturb("store back")

    async def hold_advice(self, for_s: float) -> None:
        """Have the advice service hold all calls for a time."""
        self.n_disturbing += 1
        self.advice.released.clear()
        self.disturb("advice held", for_s=for_s)
        await asyncio.sleep(for_s)
        self.advice.released.set()
        self.n_disturbing -= 1
        self.disturb("advice released")

    async def lose_workers(
        self, rng: random.Random, count: int, how: str
    ) -> list[AdvisedWorker]:
        """Lose workers that carry lasting tasks: ``crash``, ``dark`` or ``cut``."""
        alive = [w for w in self.workers if w.up and isinstance(w, AdvisedWorker)]
        rng.shuffle(alive)
        carriers = [
            item
            for item in alive
            if any(task.partition(".")[0] in self.lasting for task in item.running)
        ]
        lost = carriers[:count]
        self.disturb("workers lost", how=how, workers=[w.worker_id for w in lost])
        for worker in lost:
            if how == "crash":
                await worker.crash()
            elif how == "dark":
                worker.go_dark()
            else:
                worker.joined.clear()
        return lost

    async def bring_back(self, lost: list[AdvisedWorker], after_s: float) -> None:
        """Join workers that are cut off, and restart the others, after a time."""
        self.n_disturbing += 1
        await asyncio.sleep(after_s)
        for worker in lost:
            if worker.up:
                worker.joined.set()
            else:
                await worker.start()
        self.n_disturbing -= 1
        self.disturb("workers back")

    async def replace_lost(self) -> None:
        """Remove lost workers and start as many with new identities."""
        for worker in list(self.workers):
            assert isinstance(worker, AdvisedWorker)
            if worker.up and not worker.cut:
                continue
            if worker.up:
                await worker.crash()
            worker.joined.set()
            self.workers.remove(worker)
            self.past.append(worker)
            await self.add_worker()
        self.disturb("workers replaced")

    # Judge

    def _ended_runs(self) -> Iterator[tuple[str, int, float, float, str]]:
        """Yield task, run, begin and end of ended lasting runs, with their workers."""
        for worker in self.past + self.workers:
            for row in worker.history:
                if row[0].partition(".")[0] in self.lasting:
                    yield *row, worker.worker_id

    def absent(self) -> dict[str, Absent]:
        """Return the lasting tasks that have run and that nothing runs now."""
        for worker in self.past + self.workers:
            rows = worker.history[self._n_read[worker.worker_id] :]
            self._n_read[worker.worker_id] += len(rows)
            for task, _, _, ended_at in rows:
                if task.partition(".")[0] in self.lasting:
                    self._ended[task] = max(ended_at, self._ended.get(task, 0.0))
        present = {task for item in self.workers for task in item.running}
        return {
            task: Absent(at, self.n_places(task))
            for task, at in self._ended.items()
            if task not in present
        }

    def n_places(self, task: str) -> int:
        """Return how many tasks like an absent one fit on its permitted workers."""
        step = task.rpartition(".")[0]
        _, cpu, most = self.lasting[task.partition(".")[0]]
        total = 0
        for worker in self.workers:
            assert isinstance(worker, AdvisedWorker)
            if not worker.up or worker.cut:
                continue
            if not permits(step, worker.worker_id, ADVICE["watch"][2]):
                continue
            fits = (worker.cpu - worker.used()) // cpu
            if most:
                held = sum(item.rpartition(".")[0] == step for item in worker.running)
                fits = min(most - held, fits)
            total += max(0, fits)
        return total

    def n_permitted(self, step: str) -> int:
        """Return how many workers may run a lasting step."""
        share = ADVICE["watch"][2]
        return sum(permits(step, item.worker_id, share) for item in self.workers)

    def absences(self, since: float) -> list[Absence]:
        """Return the absences that have ended, of runs that ended after a time."""
        wall = time.time() - time.monotonic()
        now = time.monotonic()
        runs: dict[str, list[tuple[int, float, float, str]]] = {}
        for task, run, begun_at, ended_at, name in self._ended_runs():
            runs.setdefault(task, []).append((run, begun_at, ended_at, name))
        for worker in self.workers:
            for task, item in worker.running.items():
                if task in runs:
                    row = (item.run, item.begun_at, now, worker.worker_id)
                    runs[task].append(row)
        found = []
        for task, rows in runs.items():
            rows.sort()
            for earlier, later in itertools.pairwise(rows):
                if earlier[2] >= since:
                    ended_at, begun_at = earlier[2] + wall, later[1] + wall
                    found.append(
                        Absence(task, earlier[3], ended_at, later[0], begun_at)
                    )
        return found

    def find_doubles(self) -> list[str]:
        """Return the pairs of runs of one task that ran at the same time."""
        whole = Site(self.record, self.folder, self.trouble)
        whole.workers = self.past + self.workers
        return whole.find_twice()

    async def watch(self) -> None:
        """Judge the absent tasks again and again."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(WATCH_S)
            now = time.monotonic()
            self.worst_lag_s = max(self.worst_lag_s, now - before - WATCH_S)
            disturbed_at = float("inf") if self.n_disturbing else self.disturbed_at
            for text in self.judge.look(now, self.absent(), disturbed_at):
                self.record.add("violation", text=text)
