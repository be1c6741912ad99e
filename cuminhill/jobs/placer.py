"""The placer of one term: events in, state and decisions out; no network, no clock.

`Placer` keeps the progress of all live jobs and the room of all workers. Its driver
journals `take_dirty` before it sends the starts that `decide` returned, and
acknowledges ends to a worker only after the journal has them.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, NamedTuple

import structlog

from .advice import AdviceBook, AdviceCall, make_advice_call
from .fleet import LeaseTimes, Slot, Worker, first_fence
from .model import EndKind, JobState, QueueTable, StartResult
from .ordering import chain_s, objective_s, order_key
from .packing import (
    SHORT_RUN_S,
    choose_named,
    make_offer,
    most_free,
    place_gang,
    reserve,
    room_for,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model import Resources
    from .model import (
        EndedTask,
        Queue,
        RunningTask,
        StartOrder,
        TaskKey,
        WorkerEntry,
        WorkerReport,
    )
    from .progress import Progress, StepRun, TaskState

logger = structlog.get_logger(__name__)

# Steps looked at in one decision; the rest waits for the next.
MAX_STEPS_PER_DECISION = 200
# Blocked steps for which room is kept, so that wide steps are not starved.
MAX_RESERVATIONS = 2
# Tasks of a step that is no gang for which room is kept: they start one by one.
MAX_RESERVED_TASKS = 4
# Workers named in a call that only keeps tickets fresh while nothing fits.
MAX_RENEWED_WORKERS = 8
# A stop is repeated after this time if the run is still listed.
STOP_REPEAT_S = 1.0
# A run whose share of work done has not moved for this time stands still; at least
# so long, and longer for long tasks, whose shares move slowly.
MIN_STALL_S = 2.5
STALL_SHARE = 0.25
ALL_DONE_PERCENT = 100  # a run that shows so much ends with its next report
# A full page of ends may lack later ones, so it proves nothing by omission.
MAX_LISTED_ENDS = 500
# Waits before a worker that has refused a start for want of room is tried again.
ROOM_BACKOFF_S = 0.3
UNHEALTHY_BACKOFF_S = 0.5


class StopOrder(NamedTuple):
    """A run that a worker is to stop."""

    worker_id: str
    key: TaskKey
    run: int
    reason: str


class Placement(NamedTuple):
    """A run that has been assigned and is to be started once that is journaled."""

    worker_id: str
    key: TaskKey
    run: int


@dataclass(frozen=True, slots=True)
class PlacerTimes:
    """Durations of the placer, in seconds.

    Parameters
    ----------
    lease : LeaseTimes
        Durations of worker leases.
    hold_s : float, seconds
        How long an earlier placer may have extended leases without the journal.
    """

    lease: LeaseTimes = field(default_factory=LeaseTimes)
    hold_s: float = 4.0


@dataclass(eq=False)
class Placer:
    """State of one term.

    Parameters
    ----------
    term : int
        Number of the term; fencing tokens derive from it.
    begun_at : float, seconds
        When the term began, on the monotonic clock.
    """

    term: int
    begun_at: float
    times: PlacerTimes = field(default_factory=PlacerTimes)
    table: QueueTable = field(default_factory=QueueTable)
    jobs: dict[str, Progress] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    advice: AdviceBook = field(default_factory=AdviceBook)
    counts: Counter[str] = field(default_factory=Counter)
    reserved: set[str] = field(default_factory=set)
    last_queues: dict[str, Queue] = field(default_factory=dict)
    _dirty: dict[str, Progress] = field(default_factory=dict)
    _stops: list[StopOrder] = field(default_factory=list)

    # Jobs

    def add_job(self, progress: Progress, now: float) -> None:
        """Take a job over from the journal, or a new one in."""
        job = progress.job
        job_id = job.job_id
        if job_id in self.jobs:
            return
        self.jobs[job_id] = progress
        queue = self._queue(progress)
        logger.info(
            "job taken in",
            job=job_id,
            queue=job.queue,
            term=self.term,
            steps=[step.n_tasks for step in job.steps],
            gang=[step.gang for step in job.steps],
            cores=[step.need.cores for step in job.steps],
            chain_s=round(chain_s(job), 2),
            objective_s=round(objective_s(job, queue), 2) if queue else None,
            accepted_at=round(job.accepted_at, 3),
            assigned=progress.n_assigned,
            config=self.table.version,
        )
        for key, task in progress.assigned():
            worker = self.workers.get(task.worker)
            if worker is None or worker.entry.life != task.life:
                continue
            self._adopt(worker, progress, key, task)
        if progress.cancelled:
            self.cancel_job(job_id, now)

    def _adopt(
        self, worker: Worker, progress: Progress, key: TaskKey, task: TaskState
    ) -> None:
        step = progress.job.steps[key.step]
        slot = Slot(key, task.run, step.need, step.run_time_s, sent=True)
        slot.started_at, slot.checkpoint = self.begun_at, task.checkpoint
        worker.add(slot)

    def cancel_job(self, job_id: str, now: float) -> None:
        """Stop the runs of a job that its caller has cancelled."""
        progress = self.jobs.get(job_id)
        if progress is None:
            return
        progress.cancelled = True
        self._stop_runs(progress, "cancelled", now)
        self._mark(progress)
        self._retire(progress)

    def _stop_runs(
        self, progress: Progress, reason: str, now: float, step: int | None = None
    ) -> None:
        for key, task in list(progress.assigned()):
            if step is not None and key.step != step:
                continue
            worker = self.workers.get(task.worker)
            slot = worker.slots.get((key, task.run)) if worker else None
            if worker is None or slot is None:
                continue
            if not slot.sent:
                worker.release(key, task.run)
                progress.unassign(key)
                self._mark(progress)
            else:
                self._stop(worker, slot, reason, now)

    def _stop(self, worker: Worker, slot: Slot, reason: str, now: float) -> None:
        if slot.stopping_at and now - slot.stopping_at < STOP_REPEAT_S:
            return
        slot.stopping_at = now
        self.counts[f"stops_{reason}"] += 1
        self._stops.append(StopOrder(worker.worker_id, slot.key, slot.run, reason))

    def _mark(self, progress: Progress) -> None:
        self._dirty[progress.job.job_id] = progress

    def _retire(self, progress: Progress) -> None:
        """Forget a job of which nothing is left to do once it has been journaled."""
        ended = progress.state in {JobState.COMPLETED, JobState.FAILED}
        if progress.n_assigned or not (ended or progress.cancelled):
            return
        job_id = progress.job.job_id
        if self.jobs.pop(job_id, None) is not None:
            self.advice.forget_job(job_id)

    def take_dirty(self) -> dict[str, Progress]:
        """Return, and forget, the jobs whose progress is to be journaled."""
        dirty, self._dirty = self._dirty, {}
        return dirty

    def take_stops(self) -> list[StopOrder]:
        """Return, and forget, the stops to send."""
        stops, self._stops = self._stops, []
        return stops

    # Workers

    def list_worker(self, entry: WorkerEntry, now: float) -> None:
        """Take a registration in, new or changed."""
        worker = self.workers.get(entry.worker_id)
        if worker is None:
            lapse_at = self.begun_at + self.times.hold_s
            lapse_at += self._longest_lease_s()
            worker = Worker(entry, first_fence(self.term), lapse_at)
            self.workers[entry.worker_id] = worker
            for progress in self.jobs.values():
                for key, task in progress.assigned():
                    if task.worker == entry.worker_id and task.life == entry.life:
                        self._adopt(worker, progress, key, task)
            return
        if entry.life < worker.entry.life:
            return  # an older life's record
        if entry.life > worker.entry.life:
            self._life_over(worker, now)
            self._begin_life(worker, entry)
            return
        if entry.draining and not worker.entry.draining:
            logger.info("worker draining", worker=entry.worker_id, life=entry.life)
        change = _difference(entry, worker.entry)
        if change is not None:
            worker.free = worker.free + change
        worker.entry, worker.listed = entry, True

    def _longest_lease_s(self) -> float:
        return self.times.lease.max_lease_s * 1.02 + 0.5

    def _begin_life(self, worker: Worker, entry: WorkerEntry) -> None:
        worker.entry, worker.listed = entry, True
        worker.free = entry.capacity
        worker.seen_ends = worker.noted_ends = 0
        worker.clock_ms = worker.report_ms = 0
        worker.settled_fence = 0
        worker.reachable = False
        worker.lapse_at = 0.0

    def unlist_worker(self, worker_id: str) -> None:
        """Note that a registration has gone."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            logger.info("worker unlisted", worker=worker_id, slots=len(worker.slots))

    def _life_over(self, worker: Worker, now: float) -> None:
        logger.info(
            "worker life over",
            worker=worker.worker_id,
            life=worker.entry.life,
            slots=len(worker.slots),
        )
        for slot in list(worker.slots.values()):
            self._lost(worker, slot, "worker restarted", now)

    def unreachable(self, worker_id: str, now: float) -> None:
        """Note that a renewal has got no answer."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.reachable:
            worker.reachable = False
            logger.info(
                "worker unreachable",
                worker=worker_id,
                slots=len(worker.slots),
                lapse_in_s=round(worker.lapse_at - now, 2),
            )

    def other_life(self, worker_id: str, life: int, now: float) -> None:
        """Note that another life answers at a worker's address."""
        worker = self.workers.get(worker_id)
        if worker is None or worker.entry.life != life:
            return
        self._life_over(worker, now)
        worker.listed = False

    def report(
        self, worker_id: str, fence: int, report: WorkerReport, now: float
    ) -> bool:
        """Take in the answer to a renewal that carried the token ``fence``.

        Returns
        -------
        news : bool
            Whether anything but the progress of runs has changed.
        """
        worker = self.workers.get(worker_id)
        if worker is None or report.clock_ms < worker.report_ms:
            return False  # overtaken by a newer answer
        if report.life and report.life != worker.entry.life:
            if report.life > worker.entry.life:
                self._life_over(worker, now)
                self._begin_life(worker, replace(worker.entry, life=report.life))
            return True
        news = not worker.reachable or fence > worker.settled_fence
        if not worker.reachable:
            worker.reachable = True
            logger.info(
                "worker reachable",
                worker=worker_id,
                fence=fence,
                running=len(report.running),
                ended=len(report.ended),
            )
        worker.report_ms = report.clock_ms
        worker.note_clock(report.clock_ms, now)
        if not worker.settled_fence:
            # From now on no earlier placer can extend leases here.
            worker.lapse_at = now + self._longest_lease_s()
        worker.settled_fence = max(worker.settled_fence, fence)
        listed = {(row.key, row.run) for row in report.running}
        listed.update((row.key, row.run) for row in report.ended)
        for end in sorted(report.ended, key=lambda row: row.number):
            if end.number > worker.seen_ends:
                worker.seen_ends = end.number
                self._ended(worker, end, now)
                news = True
        for row in report.running:
            self._running(worker, row, report.clock_ms, now)
        if len(report.ended) >= MAX_LISTED_ENDS:
            return news
        for slot in worker.unlisted(fence, report.clock_ms):
            if (slot.key, slot.run) not in listed:
                self._lost(worker, slot, "not listed", now)
                news = True
        return news

    def _running(
        self, worker: Worker, row: RunningTask, clock_ms: int, now: float
    ) -> None:
        slot = worker.slots.get((row.key, row.run))
        if slot is None:
            progress = self.jobs.get(row.key.job_id)
            if progress is not None and row.key.step < len(progress.job.steps):
                step = progress.job.steps[row.key.step]
                slot = Slot(row.key, row.run, step.need, step.run_time_s, sent=True)
                slot.started_at = now
                worker.add(slot)
            else:
                # The room of a run of an unknown job cannot be known; it is stopped.
                self._stops.append(
                    StopOrder(worker.worker_id, row.key, row.run, "unknown")
                )
                return
        worker.note_running(row, now, clock_ms)
        if not self._is_wanted(worker, row.key, row.run):
            self._stop(worker, slot, "superseded", now)

    def _is_wanted(self, worker: Worker, key: TaskKey, run: int) -> bool:
        progress = self.jobs.get(key.job_id)
        if progress is None or progress.cancelled:
            return False
        task = progress.task(key)
        if task is None:
            return False
        if task.done:
            # Members of a gang end together; one listed end stands for all.
            return progress.job.steps[key.step].gang
        return task.worker == worker.worker_id and task.run == run

    def _ended(self, worker: Worker, end: EndedTask, now: float) -> None:
        slot = worker.release(end.key, end.run)
        progress = self.jobs.get(end.key.job_id)
        task = progress.task(end.key) if progress is not None else None
        current = task is not None and (task.worker, task.run, task.life) == (
            worker.worker_id,
            end.run,
            worker.entry.life,
        )
        logger.info(
            "run ended",
            job=end.key.job_id,
            task=tuple(end.key[1:]),
            run=end.run,
            worker=worker.worker_id,
            how=end.kind,
            number=end.number,
            current=current,
        )
        self.counts[f"ends_{end.kind}"] += 1
        if progress is None or task is None or not current:
            return
        checkpoint = end.checkpoint or (slot.checkpoint if slot else "")
        if progress.job.steps[end.key.step].checkpoints and checkpoint:
            task.checkpoint = checkpoint
        progress.unassign(end.key)
        self._mark(progress)
        if end.kind is EndKind.DONE:
            self._done(worker, progress, end.key, slot, now)
        elif end.kind is EndKind.FAILED:
            self._failed(worker, progress, end.key, end.run, now)
        elif progress.job.steps[end.key.step].gang:
            self._stop_runs(progress, "gang", now, end.key.step)
        self._retire(progress)

    def _done(
        self,
        worker: Worker,
        progress: Progress,
        key: TaskKey,
        slot: Slot | None,
        now: float,
    ) -> None:
        step = progress.job.steps[key.step]
        if step.long_running:
            return  # it is restarted
        if slot is not None:
            worker.health.succeeded(slot.run_time_s, now - slot.started_at)
        if not step.gang:
            progress.finish_task(key)
        else:
            step_run = progress.step_run(key.occurrence, key.step)
            for index, task in enumerate(step_run.tasks):
                if task.worker:
                    progress.unassign(step_run.key(index))
                progress.finish_task(step_run.key(index))
        if progress.state is JobState.COMPLETED:
            logger.info("job completed", job=key.job_id, term=self.term)

    def _failed(
        self, worker: Worker, progress: Progress, key: TaskKey, run: int, now: float
    ) -> None:
        step_run = progress.step_run(key.occurrence, key.step)
        task = step_run.tasks[key.task]
        task.failed_on.add(worker.worker_id)
        if step_run.step.gang:
            counted = any(item.failed_run == run for item in step_run.tasks)
            n_failed = max(item.n_failed for item in step_run.tasks) + (not counted)
            for item in step_run.tasks:
                item.n_failed = n_failed
                item.failed_on.add(worker.worker_id)
        else:
            task.n_failed += 1
        task.failed_run = run
        if worker.health.failed(key.job_id, now):
            logger.info(
                "worker ejected",
                worker=worker.worker_id,
                until_s=round(worker.health.ejected_until - now, 1),
            )
        queue = self._queue(progress)
        max_attempts = queue.max_attempts if queue is not None else 1
        if task.n_failed >= max_attempts and not step_run.step.long_running:
            progress.state = JobState.FAILED
            logger.info(
                "job failed",
                job=key.job_id,
                task=tuple(key[1:]),
                n_failed=task.n_failed,
                max_attempts=max_attempts,
            )
            self._stop_runs(progress, "job failed", now)
        elif step_run.step.gang:
            self._stop_runs(progress, "gang", now, key.step)

    def _lost(self, worker: Worker, slot: Slot, why: str, now: float) -> None:
        """Give back a run that is certainly not present on its worker."""
        worker.release(slot.key, slot.run)
        progress = self.jobs.get(slot.key.job_id)
        task = progress.task(slot.key) if progress is not None else None
        current = task is not None and (task.worker, task.run) == (
            worker.worker_id,
            slot.run,
        )
        logger.info(
            "run lost",
            job=slot.key.job_id,
            task=tuple(slot.key[1:]),
            run=slot.run,
            worker=worker.worker_id,
            why=why,
            fence=slot.fence,
            current=current,
        )
        self.counts["runs_lost"] += 1
        if progress is None or task is None or not current:
            return
        step = progress.job.steps[slot.key.step]
        if step.checkpoints and slot.checkpoint:
            task.checkpoint = slot.checkpoint
        progress.unassign(slot.key)
        self._mark(progress)
        if step.gang:
            self._stop_runs(progress, "gang", now, slot.key.step)
        self._retire(progress)

    # Starts

    def sendable(self, placement: Placement, now: float) -> Slot | None:
        """Return the slot of a journaled start if it may still be sent.

        One that may not is given back.
        """
        worker = self.workers.get(placement.worker_id)
        slot = worker.slots.get((placement.key, placement.run)) if worker else None
        if worker is None or slot is None or slot.sent:
            return None
        progress = self.jobs.get(placement.key.job_id)
        wanted = progress is not None and not progress.cancelled
        running = progress is not None and progress.state is JobState.RUNNING
        if wanted and running and worker.takes_starts():
            return slot
        self._lost(worker, slot, "not sent", now)
        return None

    def give_back(self, placement: Placement, why: str, now: float) -> None:
        """Give back a run whose start has not been sent."""
        worker = self.workers.get(placement.worker_id)
        slot = worker.slots.get((placement.key, placement.run)) if worker else None
        if worker is not None and slot is not None and not slot.sent:
            self._lost(worker, slot, why, now)

    def ticket(self, placement: Placement, now: float) -> str | None:
        """Return the ticket of a sendable start, empty if its queue needs none.

        None if it has lapsed; the run is then given back.
        """
        worker = self.workers[placement.worker_id]
        key = placement.key
        queue = self._queue(self.jobs[key.job_id])
        if queue is None or queue.advice is None:
            return ""
        advice = self.advice.of(f"{key.job_id}.{key.occurrence}.{key.step}")
        ticket = advice.ticket(worker.worker_id, worker.entry.life, now)
        if ticket:
            return ticket
        self._lost(worker, worker.slots[key, placement.run], "ticket lapsed", now)
        return None

    def start_answered(
        self, order: StartOrder, result: StartResult, clock_ms: int, now: float
    ) -> None:
        """Take in the outcome of a start call."""
        worker = self.workers.get(order.worker_id)
        self.counts[f"starts_{result}"] += 1
        if worker is None:
            return
        slot = worker.slots.get((order.key, order.run))
        if result is not StartResult.STARTED:
            logger.info(
                "start failed",
                job=order.key.job_id,
                task=tuple(order.key[1:]),
                run=order.run,
                worker=order.worker_id,
                result=result,
                fence=order.fence,
            )
        if slot is None or slot.fence != order.fence:
            return
        if result is StartResult.STARTED:
            slot.confirmed = True
            slot.confirmed_ms = max(slot.confirmed_ms, clock_ms)
            return
        if result is StartResult.UNKNOWN:
            # A renewal with a higher token shows whether it took effect, and keeps
            # it from taking effect later.
            worker.bump_fence()
            return
        if slot.confirmed:
            return  # a report has listed it meanwhile
        if result is StartResult.OTHER_LIFE:
            self.other_life(order.worker_id, worker.entry.life, now)
            return
        if result is StartResult.BAD_TICKET:
            self._drop_ticket(order)
        elif result is StartResult.NO_ROOM:
            worker.health.ejected_until = max(
                worker.health.ejected_until, now + ROOM_BACKOFF_S
            )
        elif result in {StartResult.UNHEALTHY, StartResult.INVALID}:
            if worker.health.failed(order.key.job_id, now):
                logger.info("worker ejected", worker=order.worker_id, why=result)
            worker.health.ejected_until = max(
                worker.health.ejected_until, now + UNHEALTHY_BACKOFF_S
            )
        self._lost(worker, slot, result, now)

    def _drop_ticket(self, order: StartOrder) -> None:
        key = order.key
        advice = self.advice.of(f"{key.job_id}.{key.occurrence}.{key.step}")
        advice.drop_ticket(order.worker_id)

    # Time

    def tick(self, now: float) -> None:
        """Give up runs on lost workers; stop runs that stand still; repeat stops."""
        for worker_id, worker in list(self.workers.items()):
            if not worker.reachable and now > worker.lapse_at:
                for slot in list(worker.slots.values()):
                    self._lost(worker, slot, "lease lapsed", now)
                if not worker.listed:
                    del self.workers[worker_id]
                continue
            if worker.reachable:
                self._watch_slots(worker, now)
        for progress in self.jobs.values():
            self._give_up_unlisted(progress, now)

    def _watch_slots(self, worker: Worker, now: float) -> None:
        for slot in list(worker.slots.values()):
            if slot.stopping_at:
                self._stop(worker, slot, "repeated", now)
                continue
            if not self._stands_still(slot, now):
                continue
            worker.health.failed(slot.key.job_id, now)
            logger.info(
                "run stalled",
                job=slot.key.job_id,
                task=tuple(slot.key[1:]),
                run=slot.run,
                worker=worker.worker_id,
                percent=slot.percent,
                still_s=round(now - slot.moved_at, 2),
            )
            self._stop(worker, slot, "stalled", now)

    def _stands_still(self, slot: Slot, now: float) -> bool:
        """Return whether a run makes no progress where it should.

        A member of a gang that is ahead waits for the others, so a gang stands
        still only if none of its members moves.
        """
        progress = self.jobs.get(slot.key.job_id)
        if progress is None:
            return False
        step = progress.job.steps[slot.key.step]
        stall_s = max(MIN_STALL_S, STALL_SHARE * slot.run_time_s)
        if step.long_running or not slot.moved_at or now - slot.moved_at < stall_s:
            return False
        if not step.gang:
            return slot.percent < ALL_DONE_PERCENT
        step_run = progress.step_run(slot.key.occurrence, slot.key.step)
        for index, task in enumerate(step_run.tasks):
            worker = self.workers.get(task.worker)
            member = (
                worker.slots.get((step_run.key(index), task.run)) if worker else None
            )
            if member is None or now - (member.moved_at or now) < stall_s:
                return False
        return True

    def _give_up_unlisted(self, progress: Progress, now: float) -> None:
        """Give back runs on workers that have not been listed in this term."""
        if not progress.n_assigned:
            return
        if now < self.begun_at + self.times.hold_s + self._longest_lease_s():
            return
        for key, task in list(progress.assigned()):
            worker = self.workers.get(task.worker)
            if worker is not None and (key, task.run) in worker.slots:
                continue
            logger.info(
                "run lost",
                job=key.job_id,
                task=tuple(key[1:]),
                run=task.run,
                worker=task.worker,
                why="worker not listed",
            )
            progress.unassign(key)
            self._mark(progress)
            if progress.job.steps[key.step].gang:
                self._stop_runs(progress, "gang", now, key.step)
        self._retire(progress)

    # Decisions

    def _queue(self, progress: Progress) -> Queue | None:
        """Return the queue of a job; a dropped queue's last definition holds on."""
        name = progress.job.queue
        queue = self.table.queues.get(name)
        if queue is not None:
            self.last_queues[name] = queue
            return queue
        return self.last_queues.get(name)

    def waiting_steps(self, wall: float) -> list[tuple[StepRun, Queue]]:
        """Return the steps that have tasks to place, first come first placed."""
        rows = []
        for progress in self.jobs.values():
            if progress.cancelled or progress.state is JobState.FAILED:
                continue
            queue = self._queue(progress)
            if queue is None:
                continue
            for step_run in progress.ready_steps(wall):
                rows.append((order_key(step_run, queue, wall), step_run, queue))
        rows.sort(key=lambda row: row[0])
        return [row[1:] for row in rows[:MAX_STEPS_PER_DECISION]]

    def decide(
        self, now: float, wall: float
    ) -> tuple[list[Placement], list[AdviceCall]]:
        """Assign waiting tasks to workers.

        Returns
        -------
        placements : list of Placement
            Runs to start once the progress of their jobs has been journaled.
        calls : list of AdviceCall
            Calls for advice, the most urgent first.
        """
        placements: list[Placement] = []
        calls: list[AdviceCall] = []
        self.reserved = set()
        n_reservations = 0
        pools = self._open_workers(now)
        for step_run, queue in self.waiting_steps(wall):
            workers = self._candidates(step_run, pools.get(queue.pool, []))
            advised = self._advise(step_run, queue, workers, now, calls)
            placed = self._place(step_run, advised, now)
            placements.extend(placed)
            if placed or n_reservations >= MAX_RESERVATIONS or not advised:
                continue
            if step_run.step.gang or step_run.step.run_time_s > SHORT_RUN_S:
                n_tasks = step_run.n_waiting
                if not step_run.step.gang:
                    n_tasks = min(n_tasks, MAX_RESERVED_TASKS)
                self.reserved |= reserve(step_run.step, advised, n_tasks)
                n_reservations += 1
        return placements, calls

    def _open_workers(self, now: float) -> dict[str, list[Worker]]:
        """Return the workers that take starts now, by pool."""
        pools: dict[str, list[Worker]] = {}
        for worker in self.workers.values():
            if worker.takes_starts() and worker.health.may_take(now):
                pools.setdefault(worker.entry.pool, []).append(worker)
        return pools

    def _candidates(self, step_run: StepRun, pool: list[Worker]) -> list[Worker]:
        """Return the workers of a pool that a step may run on, advice aside."""
        step = step_run.step
        short = step.run_time_s <= SHORT_RUN_S
        if not step.required_label and (short or not self.reserved):
            return pool
        return [
            worker
            for worker in pool
            if (short or worker.worker_id not in self.reserved)
            and (not step.required_label or step.required_label in worker.entry.labels)
        ]

    def _advise(
        self,
        step_run: StepRun,
        queue: Queue,
        workers: list[Worker],
        now: float,
        calls: list[AdviceCall],
    ) -> list[Worker]:
        """Return the workers that may run the step; ask where that is not enough."""
        if queue.advice is None:
            return workers
        advice = self.advice.of(step_run.name)
        permitted = [item for item in workers if advice.permits(item.worker_id)]
        if advice.calling or now < advice.retry_at:
            return permitted
        step, wanted = step_run.step, step_run.n_waiting
        fitting = [item for item in permitted if item.fits(step.need)]
        usable = [
            item
            for item in fitting
            if advice.ticket(item.worker_id, item.entry.life, now)
        ]
        if room_for(step, usable) >= wanted:
            return permitted
        unasked = [item for item in workers if item.worker_id not in advice.asked]
        named = choose_named(step, wanted, fitting, unasked, usable)
        if not named and permitted and not usable and not step.gang:
            # Nothing fits now: a few fresh tickets let the next free room be used.
            tickets = advice.fresh(now)
            named = [] if tickets else most_free(permitted)[:MAX_RENEWED_WORKERS]
        if named:
            lives = {item.worker_id: item.entry.life for item in named}
            calls.append(make_advice_call(step_run.name, lives, queue.advice))
        return permitted

    def _place(
        self, step_run: StepRun, workers: Iterable[Worker], now: float
    ) -> list[Placement]:
        progress = self.jobs[step_run.job.job_id]
        queue = self._queue(progress)
        if queue is not None and queue.advice is not None:
            advice = self.advice.of(step_run.name)
            workers = [
                worker
                for worker in workers
                if advice.ticket(worker.worker_id, worker.entry.life, now)
            ]
        offer = make_offer(step_run.step, workers, _n_taken(step_run))
        if not offer.workers:
            return []
        if step_run.step.gang:
            if step_run.n_assigned or step_run.n_done:
                return []
            chosen = place_gang(offer)
            if chosen is None:
                return []
            run = max(task.run for task in step_run.tasks) + 1
            checkpoint = max(task.checkpoint for task in step_run.tasks)
            for task in step_run.tasks:
                task.checkpoint = checkpoint
            return [
                self._assign(progress, step_run, index, worker, run=run, now=now)
                for index, worker in enumerate(chosen)
            ]
        placed = []
        for index in list(step_run.waiting()):
            task = step_run.tasks[index]
            worker = offer.take(task.failed_on)
            if worker is None:
                break
            placed.append(
                self._assign(
                    progress, step_run, index, worker, run=task.run + 1, now=now
                )
            )
        return placed

    def _assign(
        self,
        progress: Progress,
        step_run: StepRun,
        index: int,
        worker: Worker,
        *,
        run: int,
        now: float,
    ) -> Placement:
        key = step_run.key(index)
        step = step_run.step
        slot = Slot(key, run, step.need, step.run_time_s)
        slot.started_at = now
        slot.checkpoint = step_run.tasks[index].checkpoint
        worker.add(slot)
        progress.assign(key, worker.worker_id, worker.entry.life, run)
        self._mark(progress)
        self.counts["placements"] += 1
        return Placement(worker.worker_id, key, run)


def _n_taken(step_run: StepRun) -> dict[str, int]:
    """Return the tasks of a step on each worker, if the step bounds them."""
    if not step_run.step.max_per_worker:
        return {}
    return dict(Counter(task.worker for task in step_run.tasks if task.worker))


def _difference(new: WorkerEntry, old: WorkerEntry) -> Resources | None:
    if new.capacity == old.capacity:
        return None
    return new.capacity - old.capacity


__all__ = ["Placement", "Placer", "PlacerTimes", "StopOrder", "chain_s"]
