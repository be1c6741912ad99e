"""Disturbs a cluster of real processes and checks that lasting tasks run again in time.

Nine entry VMs, 24 workers, a store and a placement advice service run on loopback.
Callers submit tasks that last, beside batches and urgent work. In each cycle workers
are lost while VMs are killed or the store is away; then nothing is disturbed, and every
lasting task has to run again within the bounds of the rule LOST: a task may be absent
for `ABSENT_S`, and longer only until it has been calm for `CALM_S`.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from review.harness.http import Request, Server
from review.harness.nodes import Node, free_host
from review.harness.record import Record
from review.harness.site import Site, route
from review.harness.worker import Worker, expire_registrations

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OUT = Path("out/lasting")  # logs and record of the last run
ABSENT_S = 9.0  # since the last run of the task
CALM_S = 7.0  # since the last disturbance
IDLE_S = 3.0  # with room for the task twice over
MAX_PER_WORKER = 2  # tasks of one job
HOLD_MAX_MS = 10_000
N_NODES, N_WORKERS, CPU = 9, 24, 32_000
MEM_MB = 131_072
LOST_FRACTION = 0.25  # of the workers, in each cycle
WATCH_S = 0.05
WATCH_CYCLE_S = 14.0  # of calm after the disturbances of a cycle
SETTLE_S = 4.0  # before the first cycle
MAX_ADVICE_QUEUE = 32

# Queue, tasks of a step, cores in thousandths, run time and priority; time of a call
# for advice, time per worker named in it and permitted share.
LASTING = ("watch", 8, 6700, 3_600_000, 1)
ADVICE = {
    "watch": (0.45, 0.0065, 0.35),
    "batch": (0.43, 0.0061, 0.35),
    "check": (0.026, 0.00037, 0.7),
}
TICKET_S = 2.5


@dataclass
class Advice:
    """Placement advice service: serves the calls of each VM one after the other."""

    n_calls: Counter[str] = field(default_factory=Counter)
    tickets: dict[str, tuple[str, str, int, float]] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    queues: dict[str, str] = field(default_factory=dict)
    slowness: float = 1.0
    server: Server = field(init=False)
    _locks: dict[str, asyncio.Lock] = field(default_factory=dict)
    _n_waiting: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.server = Server(self._handle)

    async def _handle(self, req: Request) -> tuple[int, Any]:
        body = json.loads(req.body)
        step, names = body["step"], body["workers"]
        queue = self.queues.get(step.partition(".")[0], "batch")
        if self._n_waiting[req.peer] >= MAX_ADVICE_QUEUE:
            return 429, {}
        lock = self._locks.setdefault(req.peer, asyncio.Lock())
        self._n_waiting[req.peer] += 1
        try:
            return await asyncio.shield(self._serve(lock, queue, step, names))
        finally:
            self._n_waiting[req.peer] -= 1

    async def _serve(
        self, lock: asyncio.Lock, queue: str, step: str, names: list[str]
    ) -> tuple[int, Any]:
        # A call goes on although its caller has given up.
        decide_s, each_s, share = ADVICE[queue]
        async with lock:
            await asyncio.sleep(self.slowness * (decide_s + each_s * len(names)))
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


@dataclass
class AdvisedWorker(Worker):
    """Worker that checks the tickets of starts."""

    advice: Advice | None = None
    # A cut worker runs on and does not answer.
    cut: bool = False

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
        if self.cut:
            await asyncio.Event().wait()
        return await super()._handle(req)


@dataclass
class LastingSite(Site):
    """Deployment with advice whose disturbances are noted.

    Parameters
    ----------
    disturbed_at : float
        When the newest disturbance ended, in seconds.
    """

    advice: Advice = field(default_factory=Advice)
    rng: random.Random = field(default_factory=random.Random)
    lasting: dict[str, int] = field(default_factory=dict)
    disturbed_at: float = 0.0
    n_disturbing: int = 0
    store_away: bool = False
    violations: list[str] = field(default_factory=list)
    back_after: list[tuple[str, float, float]] = field(default_factory=list)
    _n_workers_made: int = 0
    _host: str = ""
    _reported: set[tuple[str, int]] = field(default_factory=set)
    _no_room_at: dict[str, float] = field(default_factory=dict)

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
        if self.store_away:
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

    def placer(self) -> Node | None:
        """Return the VM that has claimed the newest term."""
        newest = self.store.topic("keyed.cuminhill").newest.get("lead")
        if newest is None:
            return None
        name = json.loads(newest[1])["vm"]
        return next((node for node in self.nodes if node.name == name), None)

    def disturb(self, kind: str, **values: Any) -> None:
        """Note a disturbance."""
        self.record.add("disturbance", kind=kind, **values)
        self.disturbed_at = time.monotonic()

    async def kill(self, node: Node, down_s: float, *, back: bool = True) -> None:
        """Kill a VM's process; start it again after a time."""
        self.n_disturbing += back
        node.send_signal(signal.SIGKILL)
        await node.wait_for_end(5.0)
        self.disturb("kill", node=node.name, down_s=down_s, back=back)
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

    async def take_store_away(self, for_s: float) -> None:
        """Have the store refuse all calls for a time."""
        self.n_disturbing += 1
        self.store_away = True
        self.disturb("store away", for_s=for_s)
        await asyncio.sleep(for_s)
        self.store_away = False
        self.n_disturbing -= 1
        self.disturb("store back")

    async def lose_workers(self, fraction: float, *, how: str) -> list[AdvisedWorker]:
        """Lose workers for good: ``crash``, ``dark`` or ``cut``."""
        alive = [item for item in self.workers if item.up]
        count = max(1, round(fraction * len(alive)))
        lost: list[AdvisedWorker] = self.rng.sample(alive, count)  # type: ignore[arg-type]
        self.disturb("workers lost", how=how, workers=[w.worker_id for w in lost])
        for worker in lost:
            if how == "crash":
                await worker.crash()
            elif how == "dark":
                worker.go_dark()
            else:
                worker.cut = True
        return lost

    async def replace(self, lost: list[AdvisedWorker]) -> None:
        """Remove lost workers and start as many with new identities."""
        for worker in lost:
            if worker.up:
                await worker.crash()
            self.workers.remove(worker)
            await self.add_worker()
        self.disturb("workers replaced")

    # Load

    async def submit_lasting(self, n_jobs: int) -> None:
        """Submit jobs whose tasks last."""
        queue, n_tasks, cpu, ms, _ = LASTING
        for _ in range(n_jobs):
            step = {"count": n_tasks, "cpu": cpu, "mem_mb": 2048}
            step |= {
                "est_runtime_ms": 320,
                "long_running": True,
                "max_per_server": MAX_PER_WORKER,
            }
            job = await self._submit(queue, cpu, ms, [step])
            if job:
                self.lasting[job] = n_tasks

    async def _submit(
        self, queue: str, cpu: int, ms: float, steps: list[dict[str, Any]]
    ) -> str:
        job = f"{self.rng.getrandbits(64):016x}"
        self.advice.queues[job] = queue
        body = {"spec": json.dumps({"cpu": cpu, "ms": ms}), "phases": steps}
        return job if await self.submit(f"/{queue}/", job, body) == 200 else ""

    async def offer_load(
        self, queue: str, every_s: float, count: int, cpu: int, ms: float
    ) -> None:
        """Submit jobs of two steps at a mean interval."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / every_s))
            first = {"count": count, "cpu": cpu, "mem_mb": 1024, "est_runtime_ms": ms}
            steps: list[dict[str, Any]] = [first, first | {"after": [0]}]
            self._tasks.append(asyncio.create_task(self._submit(queue, cpu, ms, steps)))

    # Judge

    def absent(self) -> dict[str, float]:
        """Return when the newest run of each lasting task that is absent ended."""
        present: set[str] = set()
        ended: dict[str, float] = {}
        for worker in self.workers:
            if worker.up:
                present.update(worker.running)
            for task, _, _, ended_at in worker.history:
                ended[task] = max(ended_at, ended.get(task, 0.0))
        rows = {}
        for job, n_tasks in self.lasting.items():
            for index in range(n_tasks):
                task = f"{job}.0.0.{index}"
                if task not in present and task in ended:
                    rows[task] = ended[task]
        return rows

    def n_places(self, task: str) -> int:
        """Return how many tasks like an absent one fit on its permitted workers."""
        step = task.rpartition(".")[0]
        _, _, cpu, _, _ = LASTING
        total = 0
        for worker in self.workers:
            assert isinstance(worker, AdvisedWorker)
            if not worker.up or worker.cut:
                continue
            if not permits(step, worker.worker_id, ADVICE["watch"][2]):
                continue
            held = sum(item.rpartition(".")[0] == step for item in worker.running)
            fits = (worker.cpu - worker.used()) // cpu
            total += max(0, min(MAX_PER_WORKER - held, fits))
        return total

    async def watch(self) -> None:
        """Note each lasting task that is absent for longer than the rule allows.

        It counts only if its workers have had room for it twice over for `IDLE_S`.
        """
        while True:
            await asyncio.sleep(WATCH_S)
            now = time.monotonic()
            absent = self.absent()
            for task in absent:
                if self.n_places(task) < 2:
                    self._no_room_at[task] = now
            if self.n_disturbing or now - self.disturbed_at < CALM_S:
                continue
            for task, ended_at in absent.items():
                if now - ended_at < ABSENT_S or (task, int(ended_at)) in self._reported:
                    continue
                if now - self._no_room_at.get(task, 0.0) < IDLE_S:
                    continue
                self._reported.add((task, int(ended_at)))
                text = (
                    f"LOST: {task} absent for {now - ended_at:.2f} s,"
                    f" {now - self.disturbed_at:.2f} s after the last disturbance,"
                    f" room for {self.n_places(task)}"
                )
                self.violations.append(text)
                self.record.add("violation", text=text)

    async def measure(self, kind: str, watch_s: float) -> None:
        """Measure the calm time until all lasting tasks run again."""
        begun_at = time.monotonic()
        back_s = longest_s = 0.0
        while time.monotonic() - begun_at < watch_s:
            await asyncio.sleep(WATCH_S)
            absent, now = self.absent(), time.monotonic()
            if absent:
                back_s = now - self.disturbed_at
                if min(map(self.n_places, absent)) < 2:
                    kind = kind.rstrip("*") + "*"  # some had no room
                longest_s = max(longest_s, now - min(absent.values()))
                self.record.add(
                    "absent",
                    tasks={task: self.n_places(task) for task in absent},
                    used=sum(item.used() for item in self.workers if item.up),
                )
        self.back_after.append((kind, back_s, longest_s))
        self.record.add("calm", kind=kind, back_s=back_s, longest_s=longest_s)
        click.echo(
            f"{kind:24} all back {back_s:5.2f} s after the last disturbance, "
            f"longest absence {longest_s:5.2f} s, violations {len(self.violations)}"
        )


async def _kill_placer(site: LastingSite, down_s: float, how: str) -> None:
    placer = site.placer() or site.nodes[0]
    before = site.rng.random() < 0.5
    kill = asyncio.create_task(site.kill(placer, down_s))
    if before:
        await asyncio.sleep(0.2)
    await site.lose_workers(LOST_FRACTION, how=how)
    await kill


async def placer_killed_long(site: LastingSite) -> None:
    """Kill the placer for 3.5 s while workers crash."""
    await _kill_placer(site, 3.5, "crash")


async def placer_killed_short(site: LastingSite) -> None:
    """Kill the placer for 1 s while workers lose power."""
    await _kill_placer(site, 1.0, "dark")


async def placer_killed_cut(site: LastingSite) -> None:
    """Kill the placer for 3.5 s while workers are cut off."""
    await _kill_placer(site, 3.5, "cut")


async def placer_gone(site: LastingSite) -> None:
    """Kill the placer for good while workers crash."""
    placer = site.placer() or site.nodes[0]
    await site.lose_workers(LOST_FRACTION, how="crash")
    await site.kill(placer, 0.0, back=False)


async def placer_stopped(site: LastingSite) -> None:
    """Stop the placer with SIGTERM while workers crash."""
    placer = site.placer() or site.nodes[0]
    await site.lose_workers(LOST_FRACTION, how="crash")
    await site.stop_and_start(placer)


async def all_killed(site: LastingSite) -> None:
    """Kill all VMs for a second while workers crash."""
    await site.lose_workers(LOST_FRACTION, how="crash")
    await asyncio.gather(*(site.kill(node, 0.9) for node in site.nodes))


async def store_away(site: LastingSite) -> None:
    """Take the store away while workers crash, with the placer killed."""
    placer = site.placer() or site.nodes[0]
    away = asyncio.create_task(site.take_store_away(4.5))
    await asyncio.sleep(0.5)
    await site.lose_workers(LOST_FRACTION, how="crash")
    await site.kill(placer, 1.0)
    await away


async def one_worker(site: LastingSite) -> None:
    """Crash two workers one after the other, without any other disturbance."""
    await site.lose_workers(0.04, how="crash")
    await asyncio.sleep(0.3)
    await site.lose_workers(0.04, how="dark")


KINDS: dict[str, Callable[[LastingSite], Awaitable[None]]] = {
    item.__name__.replace("_", "-"): item
    for item in (
        placer_killed_long,
        placer_killed_short,
        placer_killed_cut,
        placer_gone,
        placer_stopped,
        all_killed,
        store_away,
        one_worker,
    )
}


async def play(site: LastingSite, kinds: list[str], *, n_jobs: int, busy: bool) -> None:
    """Play one cycle for each kind of disturbance."""
    advice = {
        name: {"decide_ms": 1000 * a, "each_ms": 1000 * b, "valid_ms": 1000 * TICKET_S}
        for name, (a, b, _) in ADVICE.items()
    }
    watch = route("watch", stretch=2.2, target_duration_ms=2500, max_attempts=3)
    batch = route("batch", stretch=2.2, target_duration_ms=1200, priority=2)
    check = route("check", stretch=1.5, target_duration_ms=250, priority=0)
    routes = [item | {"advice": advice[item["name"]]} for item in (watch, batch, check)]
    await site.start_all(routes)
    await site.submit_lasting(n_jobs)
    if busy:
        for args in (("batch", 4.0, 13, 5500, 3800), ("check", 0.32, 6, 2500, 800)):
            site._tasks.append(asyncio.create_task(site.offer_load(*args)))
    await asyncio.sleep(SETTLE_S)
    site.disturb("begun")
    site._tasks.append(asyncio.create_task(site.watch()))
    for kind in kinds:
        site.record.add("cycle", kind=kind)
        before = {w.worker_id for w in site.workers if w.up}
        gone = [node for node in site.nodes if node.process is None]
        assert not gone
        await KINDS[kind](site)
        await site.measure(kind, WATCH_CYCLE_S)
        lost = [
            item
            for item in site.workers
            if item.worker_id in before and (not item.up or getattr(item, "cut", False))
        ]
        await site.replace(lost)  # type: ignore[arg-type]
        for node in site.nodes:
            if node.process is not None and node.process.poll() is not None:
                node.start()
        await asyncio.sleep(SETTLE_S)
        site.disturb("restored")


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of what is drawn.")
@click.option("--rounds", default=1, show_default=True, help="Cycles of each kind.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(sorted(KINDS)),
    help="Kind of disturbance; repeatable. By default, all.",
)
@click.option("--jobs", default=4, show_default=True, help="Jobs whose tasks last.")
@click.option("--idle", is_flag=True, help="Only lasting tasks, no other load.")
def main(seed: int, rounds: int, kinds: tuple[str, ...], jobs: int, idle: bool) -> None:
    """Disturb a cluster and check that lasting tasks run again in time."""
    os.environ["PATH"] = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    rng = random.Random(seed)
    order = [kind for _ in range(rounds) for kind in kinds or KINDS]
    rng.shuffle(order)
    OUT.mkdir(parents=True, exist_ok=True)
    record = Record(OUT / f"record-{seed}.txt")

    async def run() -> LastingSite:
        with tempfile.TemporaryDirectory() as scratch:
            site = LastingSite(record, Path(scratch), True, rng=rng)
            try:
                await play(site, order, n_jobs=jobs, busy=not idle)
            finally:
                for path in Path(scratch).glob("*.log"):
                    (OUT / f"{seed}-{path.name}").write_bytes(path.read_bytes())
                await site.stop()
                await site.advice.server.stop()
            return site

    site = asyncio.run(run())
    for text in site.violations:
        click.echo(text)
    worst = max((back for _, back, _ in site.back_after), default=0.0)
    click.echo(
        json.dumps(
            {
                "cycles": len(site.back_after),
                "violations": len(site.violations),
                "worst_back_s": round(worst, 2),
            }
        )
    )
    sys.exit(1 if site.violations else 0)


if __name__ == "__main__":
    main()
