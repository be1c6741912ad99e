"""Builders for the objects used by the tests of `cuminhill.jobs`."""

from __future__ import annotations

from typing import Any

from cuminhill.jobs.model import (
    EndedTask,
    EndKind,
    Job,
    Queue,
    QueueTable,
    RunningTask,
    StartOrder,
    StartReply,
    StartResult,
    Step,
    TaskKey,
    Team,
    WorkerEntry,
    WorkerReport,
)
from cuminhill.jobs.placer import Placement, Placer
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import task_need
from cuminhill.jobs.teamkeys import make_key_table

WALL = 1000.0
BEGUN_AT = 100.0
JOB_ID = "00000000000000aa"


def make_step(n_tasks: int = 1, cores: float = 1.0, **more: Any) -> Step:
    """Return a step whose tasks take some cores and little memory."""
    need = task_need(cores, more.pop("memory_mb", 100.0), 0.0)
    return Step(n_tasks, need, more.pop("run_time_s", 2.0), **more)


def make_job(*steps: Step, job_id: str = JOB_ID, **more: Any) -> Job:
    """Return a job of the queue ``q``."""
    return Job(
        job_id,
        more.pop("queue", "q"),
        "payload",
        steps or (make_step(),),
        more.pop("accepted_at", WALL),
        **more,
    )


def make_queue(name: str = "q", **more: Any) -> Queue:
    """Return a queue on the pool ``pool``."""
    values = {
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "pool": "pool",
        "priority": 0,
        "max_attempts": 3,
        "stretch": 2.0,
        "target_s": 1.0,
    }
    return Queue(name, **(values | more))


def make_table(
    *queues: Queue,
    version: int = 1,
    teams: dict[str, tuple[str, ...]] | None = None,
) -> QueueTable:
    """Return a table of queues, and of teams with their keys."""
    by_name = {queue.name: queue for queue in queues}
    if teams is None:
        return QueueTable(version, by_name)
    return QueueTable(
        version,
        by_name,
        teams={name: make_team(name) for name in teams},
        keys=make_key_table(teams.items()),
    )


def make_team(name: str = "t1", **more: Any) -> Team:
    """Return a team without a cap."""
    return Team(
        name, more.pop("weight", 1.0), more.pop("cap", task_need(0.0, 0.0, 0.0))
    )


def make_entry(worker_id: str = "w1", **more: Any) -> WorkerEntry:
    """Return the registration of a worker with 16 cores."""
    return WorkerEntry(
        worker_id,
        more.pop("incarnation", 1),
        more.pop("pool", "pool"),
        more.pop("address", "127.0.0.1:1"),
        more.pop("failure_domain", "d1"),
        more.pop("labels", ("a", "r1-1")),
        task_need(more.pop("cores", 16.0), more.pop("memory_mb", 65536.0), 0.0),
        **more,
    )


def make_placer(*queues: Queue, n_workers: int = 2, term: int = 1) -> Placer:
    """Return a placer whose workers have answered their first renewal."""
    placer = Placer(term, BEGUN_AT)
    # A collection of garbage in a large test process would use the time of a decision.
    placer.budget.clock = lambda: 0.0
    placer.table = make_table(*(queues or (make_queue(),)))
    for number in range(1, n_workers + 1):
        placer.register_worker(make_entry(f"w{number}"), BEGUN_AT)
        answer_renewal(placer, f"w{number}")
    return placer


def answer_renewal(
    placer: Placer, worker_id: str, now: float = BEGUN_AT, **rows: Any
) -> bool:
    """Have a worker answer a renewal that carries its current token."""
    return placer.process_report(
        worker_id,
        placer.workers[worker_id].fencing_token,
        make_report(now, **rows),
        now,
    )


def make_report(
    now: float,
    running: tuple[RunningTask, ...] = (),
    ended: tuple[EndedTask, ...] = (),
    incarnation: int = 1,
) -> WorkerReport:
    """Return a worker's report; its clock shows the time of the test."""
    return WorkerReport(int(now * 1000), incarnation, running, ended)


def running_row(placement: Placement, percent: float = 10.0) -> RunningTask:
    """Return the row of a report for a running task."""
    return RunningTask(placement.key, placement.run, "", percent)


def ended_row(
    placement: Placement, number: int, kind: EndKind = EndKind.DONE, saved: str = ""
) -> EndedTask:
    """Return the row of a report for an ended task."""
    return EndedTask(number, placement.key, placement.run, kind, saved)


def mark_started(
    placer: Placer, placements: list[Placement], now: float = BEGUN_AT
) -> None:
    """Mark runs as started, as the driver does after a successful start call."""
    for placement in placements:
        life = placer.workers[placement.worker_id].entry.incarnation
        reply = StartReply(StartResult.STARTED, int(now * 1000), life)
        send_start(placer, placement, reply, now)


def send_start(
    placer: Placer, placement: Placement, reply: StartReply, now: float = BEGUN_AT
) -> None:
    """Send a start and process the reply to it."""
    slot = placer.sendable_slot(placement, now)
    assert slot is not None
    token = placer.workers[placement.worker_id].fencing_token
    slot.sent, slot.started_at, slot.fencing_token = True, now, token
    order = StartOrder(
        placement.worker_id, "", placement.key, placement.run, "", 0, token
    )
    placer.handle_start_reply(order, reply, now)


def submit(placer: Placer, job: Job, now: float = BEGUN_AT) -> Progress:
    """Add a new job to a placer."""
    progress = Progress(job)
    placer.add_job(progress, now)
    return progress


def task_key(index: int = 0, step: int = 0, job_id: str = JOB_ID) -> TaskKey:
    """Return the key of a task."""
    return TaskKey(job_id, 0, step, index)
