"""Random plays of placers that follow one another, on simulated time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cuminhill.jobs.fleet import LeaseTimes
from cuminhill.jobs.model import (
    EndedTask,
    EndKind,
    RunningTask,
    StartOrder,
    StartReply,
    StartResult,
)
from cuminhill.jobs.progress import decode_progress, encode_progress

from .builders import (
    BEGUN_AT,
    WALL,
    make_entry,
    make_job,
    make_placer,
    make_report,
    make_step,
    submit,
)

if TYPE_CHECKING:
    import random

NOW = BEGUN_AT
LEASE_S = LeaseTimes().lease_s


@dataclass
class ModelWorker:
    """What a worker runs in truth.

    Parameters
    ----------
    exits_at : float, seconds
        When it exits; 0 if it stays.
    highest : dict
        Highest run stopped or started of each task.
    """

    worker_id: str
    token: int = 0
    lease_until: float = 0.0
    exits_at: float = 0.0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    highest: dict = field(default_factory=dict)
    n_ends: int = 0

    def end(self, key, kind):
        """End a run."""
        self.n_ends += 1
        run = self.running.pop(key)
        self.ended.append(EndedTask(self.n_ends, key, run, kind, ""))

    def advance(self, now):
        """End all runs once the lease has lapsed."""
        if now > self.lease_until:
            for key in list(self.running):
                self.end(key, EndKind.LAPSED)

    def stop(self, key, run):
        """Stop a run; later starts of it are rejected."""
        if self.running.get(key, run + 1) <= run:
            self.end(key, EndKind.STOPPED)
        self.highest[key] = max(run, self.highest.get(key, 0))


@dataclass
class Play:
    """Play of tasks on workers that leave, under changing placers.

    By default the tasks last, and the journal holds all that the placer knows.

    Parameters
    ----------
    delayed : list of (float, callable)
        Calls under way and when they arrive.
    overlaps : list
        Starts of tasks that ran elsewhere at that moment.
    """

    rng: random.Random
    now: float = NOW
    term: int = 1
    workers: dict = field(default_factory=dict)
    delayed: list = field(default_factory=list)
    overlaps: list = field(default_factory=list)
    n_evacuated: int = 0
    n_changes: int = 0

    def __post_init__(self):
        self.placer = make_placer(n_workers=0)
        for _ in range(5):
            self.add_worker()
        self.add_jobs()

    def add_jobs(self):
        """Submit the jobs."""
        for number in range(4):
            step = make_step(
                self.rng.randint(1, 3),
                cores=self.rng.choice([2.0, 6.0]),
                long_running=True,
                may_miss=self.rng.randint(0, 2),
            )
            submit(self.placer, make_job(step, job_id=f"{number:016x}"))

    def add_worker(self):
        """Start a worker."""
        name = f"w{len(self.workers)}"
        self.workers[name] = ModelWorker(name)
        self.placer.register_worker(make_entry(name), self.now)

    def alive(self):
        """Return the workers that have not exited."""
        return [item for item in self.workers.values() if not self.gone(item)]

    def gone(self, worker):
        """Return whether a worker has exited."""
        return bool(worker.exits_at) and self.now >= worker.exits_at

    def renew(self, worker):
        """Renew the leases on a worker; its answer may get lost."""
        view = self.placer.workers.get(worker.worker_id)
        if view is None:
            return
        token = view.fencing_token
        extends = bool(view.clock_ms) and view.reachable
        if extends:
            view.record_lease(view.lease_end_ms(self.now, LEASE_S))
        if self.gone(worker) or token < worker.token or self.rng.random() < 0.05:
            self.placer.worker_unreachable(worker.worker_id, self.now)
            return
        worker.token = token
        worker.advance(self.now)
        if extends:
            worker.lease_until = self.now + LEASE_S
        worker.ended = [
            item for item in worker.ended if item.number > view.last_acked_end
        ]
        rows = tuple(
            RunningTask(key, run, "", 10.0) for key, run in worker.running.items()
        )
        report = make_report(self.now, rows, tuple(worker.ended))
        self.placer.process_report(worker.worker_id, token, report, self.now)
        self.note_shown(row.key.job_id for row in (*rows, *worker.ended))
        self.acknowledge(view)

    def note_shown(self, job_ids):
        """Note that the placer was shown runs of some jobs."""

    def acknowledge(self, view):
        """Acknowledge the ends that a worker has reported."""
        view.last_acked_end = view.last_seen_end

    def send_start(self, placement):
        """Send a start, which may arrive late or have its answer lost."""
        slot = self.placer.sendable_slot(placement, self.now)
        if slot is None:
            return
        view = self.placer.workers[placement.worker_id]
        slot.sent, slot.fencing_token = True, view.fencing_token
        slot.started_at = self.now
        view.record_lease(view.lease_end_ms(self.now, LEASE_S))
        order = StartOrder(
            placement.worker_id,
            "",
            placement.key,
            placement.run,
            "",
            0,
            view.fencing_token,
        )
        until = self.now + LEASE_S
        if self.rng.random() < 0.8:
            result = self.start(order, until)
        else:
            result = StartResult.UNKNOWN
            at = self.now + self.rng.choice([0.0, 0.5, 3.0])
            self.delayed.append((at, lambda: self.start(order, until)))
        clock_ms = int(self.now * 1000) if result is not StartResult.UNKNOWN else 0
        self.placer.handle_start_reply(order, StartReply(result, clock_ms), self.now)
        if result is StartResult.STARTED:
            self.note_shown([order.key.job_id])

    def start(self, order, until):
        """Have a worker begin a run, as the platform's pages say."""
        worker = self.workers[order.worker_id]
        if self.gone(worker):
            return StartResult.UNKNOWN
        worker.advance(self.now)
        if order.fencing_token < worker.token:
            return StartResult.FENCED
        worker.token = order.fencing_token
        if until < self.now:
            return StartResult.TOO_LATE
        if order.run <= worker.highest.get(order.key, 0):
            return StartResult.SUPERSEDED
        worker.lease_until = max(worker.lease_until, until)
        for other in self.alive():
            other.advance(self.now)
            if order.key in other.running:
                self.overlaps.append((order.key, order.run, other.worker_id))
        worker.running[order.key] = worker.highest[order.key] = order.run
        return StartResult.STARTED

    def send_stop(self, stop):
        """Send a stop, which may arrive late or get lost."""
        view = self.placer.workers.get(stop.worker_id)
        if view is None or self.rng.random() < 0.1:
            return
        worker, token = self.workers[stop.worker_id], view.fencing_token
        at = self.now + self.rng.choice([0.0, 0.2, 1.5])

        def arrive():
            if not self.gone(worker) and token >= worker.token:
                worker.token = token
                worker.advance(self.now)
                worker.stop(stop.key, stop.run)

        self.delayed.append((at, arrive))

    def leave(self):
        """Have a worker say that it leaves."""
        staying = [item for item in self.alive() if not item.exits_at]
        worker = self.rng.choice(staying)
        worker.exits_at = self.now + self.rng.choice([0.3, 2.0, 4.0, 8.0])
        entry = make_entry(worker.worker_id, draining=True, drain_left_s=2.0)
        self.placer.register_worker(entry, self.now)
        self.add_worker()

    def change_placer(self):
        """Replace the placer by one that knows what is in the journal."""
        self.term += 1
        self.n_changes += 1
        old, self.placer = self.placer, make_placer(n_workers=0, term=self.term)
        self.placer.begun_at = self.now
        for worker in self.workers.values():
            # Registrations of workers that have exited stay for a while.
            if not self.gone(worker) or self.rng.random() < 0.5:
                entry = old.workers.get(worker.worker_id)
                if entry is not None:
                    self.placer.register_worker(entry.entry, self.now)
        for copy in self.read_jobs(old):
            self.placer.add_job(copy, self.now)

    def read_jobs(self, old):
        """Return the jobs that the journal holds."""
        return [
            decode_progress(progress.job, encode_progress(progress))
            for progress in old.jobs.values()
        ]

    def tick(self, *, calm):
        """Play a moment of the workers and of the placer."""
        self.now += 0.1
        due = [item for item in self.delayed if item[0] <= self.now]
        self.delayed = [item for item in self.delayed if item[0] > self.now]
        for _, call in due:
            call()
        if not calm and self.rng.random() < 0.08:
            self.leave()
        if not calm and self.rng.random() < 0.03:
            self.change_placer()
        for worker in list(self.workers.values()):
            if self.gone(worker):
                self.placer.worker_unreachable(worker.worker_id, self.now)
                if self.rng.random() < 0.1:
                    self.placer.deregister_worker(worker.worker_id)
            if calm or self.rng.random() < 0.7:
                self.renew(worker)
        self.placer.tick(self.now)
        placements, _ = self.placer.decide(self.now, WALL)
        for stop in self.placer.take_stops():
            self.n_evacuated += stop.reason == "evacuated"
            self.send_stop(stop)
        self.write()
        for placement in placements:
            self.send_start(placement)

    def write(self):
        """Write the changed progress to the journal; starts are sent afterwards."""

    def run(self):
        """Play 20 s of trouble and 15 s of calm."""
        for number in range(350):
            self.tick(calm=number > 200)

    def standing_still(self):
        """Return the tasks that do not run."""
        running = {key for worker in self.alive() for key in worker.running}
        steps = [
            step_run
            for progress in self.placer.jobs.values()
            for step_run in progress.step_runs.values()
        ]
        keys = {item.key(index) for item in steps for index in range(len(item.tasks))}
        return sorted(keys - running)
