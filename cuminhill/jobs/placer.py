"""State machine of the placer for one term, without network access or a clock.

`Placer` holds the progress of all live jobs and the free capacity of all workers. Its
driver, `leadership.Leadership`, writes the progress returned by `take_dirty` to the
journal before it sends the starts that `decide` returned, and acknowledges the ends of
runs to a worker only after they are in the journal.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, NamedTuple

import structlog

from ..model import NO_RESOURCES
from .advice import TICKET_MARGIN_S, AdviceTable
from .adviceplans import late_start_call
from .crashes import (
    clear_survivor,
    give_up,
    record_crash,
    record_inherited_crashes,
    record_registration,
    starts_apart,
)
from .decisionbudget import DecisionBudget
from .decisions import (
    MAX_STEPS_PER_DECISION,
    Placement,
    decide,
    limit_steps,
)
from .evacuation import Move, evacuate
from .firststarts import FirstStarts
from .fleet import LeaseTimes, Slot, Worker, first_fencing_token, lapse_after_s
from .lateness import make_outlook
from .leasebounds import NO_INHERITED_LEASES, lapse_at, lapse_bound, silent_since
from .model import EndKind, JobState, QueueTable, StartResult
from .ordering import critical_path_s, objective_s
from .packing import REMOTE_SLOWDOWN, slowdown_on
from .progress import least_open
from .shares import Shares
from .speeds import SpeedModel
from .teamusage import TeamUsage
from .waits import LineLimit
from .watch import inherit_progress, note_progress, watch_runs

if TYPE_CHECKING:
    from ..model import Resources
    from .advice import AdviceCall
    from .crashes import Evidence
    from .headroom import Headroom
    from .lateness import Outlook
    from .leasebounds import InheritedLeases
    from .model import (
        AdviceTerms,
        EndedTask,
        Queue,
        RunningTask,
        StartOrder,
        StartReply,
        TaskKey,
        WorkerEntry,
        WorkerReport,
    )
    from .packing import HeldRoom, Reservation
    from .progress import Progress, StepRun
    from .taskstates import TaskState

logger = structlog.get_logger(__name__)

# A stop is repeated after this time if the worker still lists the run.
STOP_REPEAT_S = 1.0
# A report with this many ends may be truncated, so that a run missing from it may
# still have ended.
MAX_LISTED_ENDS = 500
# Delay before the next start on a worker that refused one for lack of capacity.
CAPACITY_BACKOFF_S = 0.3
UNHEALTHY_BACKOFF_S = 0.5
# A start whose ticket has lapsed keeps its worker for this time: longer than two calls
# for advice, while others may use the capacity if advice is not to be had.
MAX_LATE_START_S = 3.0
# The others of a gang wait for a late member for this time from the first that is sent.
# Workers end a member that has waited 3 s for the others, and stops take time.
MAX_GANG_WAIT_S = 1.5
# The time that starts take to be sent is added to the time until they are decided up to
# this part of the validity of a ticket. With more, no ticket would be usable when its
# answer waits for a decision.
MAX_SEND_FRACTION = 0.5
# Weight of a shorter time in the expected time until a start is sent. A longer one
# counts at once, since a ticket that has lapsed costs another call.
SEND_WEIGHT = 0.25
# A job of which the journal has rejected each record starts nothing for this time: a
# rejected batch is sent again record by record.
REJECTED_PAUSE_S = 5.0
MAX_SILENT_TIMES = 1000  # more than stop answering within a restart
MAX_ENDED_WAITS = 1000  # more than end in one decision


class StopOrder(NamedTuple):
    """Stop call to send to a worker."""

    worker_id: str
    key: TaskKey
    run: int
    reason: str


@dataclass(frozen=True, slots=True)
class PlacerTimes:
    """Durations of the placer, in seconds.

    Parameters
    ----------
    lease : LeaseTimes
        Durations of worker leases.
    max_unconfirmed_s : float, seconds
        How long a placer starts runs after its last confirmed journal write. Earlier
        builds extend leases in full for this time, and then not at all.
    max_hold_s : float, seconds
        Leases end at most this time after the last confirmed journal write. Shorter
        than the outages of the journal that tasks are to survive makes them start
        anew; a new placer waits for it on workers that it does not reach.
    """

    lease: LeaseTimes = field(default_factory=LeaseTimes)
    max_unconfirmed_s: float = 4.0
    max_hold_s: float = 7.5

    @property
    def hold_s(self) -> float:
        """Time after the last confirmation at which the last lease ends."""
        return min(self.max_hold_s, self.max_unconfirmed_s + self.lease.lease_s)

    @property
    def unconfirmed_lapse_s(self) -> float:
        """Time after the last confirmation until all leases have lapsed."""
        return lapse_after_s(self.hold_s)

    def lease_s_at(self, now: float, confirmed_at: float) -> float:
        """Return the length of a lease granted now, in seconds; 0 for none."""
        return max(0.0, min(self.lease.lease_s, confirmed_at + self.hold_s - now))


@dataclass(eq=False)
class Placer:
    """Jobs and workers of one term.

    Parameters
    ----------
    term : int
        Number of the term; fencing tokens are derived from it.
    begun_at : float, seconds
        When the term began, on the monotonic clock.
    calls_since : float, seconds
        Since when workers are called; 0 if since the term began.
    reserved : dict of str to float
        Workers reserved for blocked steps other than gangs in the newest decision, with
        the times in seconds at which these are expected to start there.
    left_out : dict of str to None
        Names of waiting steps that the newest decision did not consider, those that
        have waited for their turn for longest first.
    held : dict
        Room that the newest decision keeps for lasting tasks, by worker.
    reservations : dict of str to Reservation
        Places that are kept for gangs, by the names of their steps; the oldest first.
    reserved_room : dict
        Room of these places in the newest decision, by worker.
    headroom : dict
        Headroom for urgent work, by pool.
    mean_pace : dict
        Mean time that a worker takes for a second of work at a speed of 1, by pool. It
        is divided out of speeds and run times, so that 1 is the pool's mean pace.
    inherited : InheritedLeases
        What the newest earlier term with a record has left about leases.
    predecessor_ended_at : float, seconds
        Since when that term extends no lease any more; infinite while that is
        not known.
    not_adopted : dict
        Tasks assigned to an incarnation that has not registered in this term, by key.
    listed : set of (str, int)
        Workers in the newest lease record that was made, with their incarnations.
    lapsed : dict
        Runs of workers whose leases have lapsed, by address.
    moves : dict
        Tasks that are being moved off workers that leave.
    silent_times : deque of (float, bool)
        When workers stopped answering, in seconds, and whether a suspect was starting
        there; the newest last.
    ended_waits : deque of (str, float)
        Waits of steps that have ended with a placement: the longest reason and the
        length in seconds; for the metrics.
    wait_lines : LineLimit
        Limits the log lines about waits.
    waits_noted_at : float, seconds
        When the waits of steps that are not considered were noted.
    budget : DecisionBudget
        Processor time of a decision, and what the newest one did not get to.
    max_steps, n_considered : int
        Steps that a decision may consider, and that the newest one has considered.
    send_s : float, seconds
        Expected time from a decision until the starts that it makes are sent.
    unsent_since : float, seconds
        When the oldest start was decided that is not in the journal yet; infinite if
        there is none.
    late_starts : dict
        Starts in the journal that wait for a new ticket, by the names of their steps,
        with the times in seconds at which their first ones lapsed.
    team_usage : TeamUsage
        Usage of the teams in the newest decision.
    shares : Shares
        Surplus jobs and shares of the teams.
    remote_slowdown : float
        Run time of a task away from its data, or in a gang that is spread over racks
        although it should not be, relative to a local one.
    full_pools : set of str
        Pools that were nearly full at the newest decision (`placewait.FULL_FRACTION`).
    first_starts : FirstStarts
        First starts of jobs that the journal does not show yet.
    rejected : dict of str to float
        Jobs that may start nothing since the journal has rejected their records, with
        the time in seconds until then; infinite until the next decision.
    """

    term: int
    begun_at: float
    times: PlacerTimes = field(default_factory=PlacerTimes)
    calls_since: float = 0.0
    table: QueueTable = field(default_factory=QueueTable)
    jobs: dict[str, Progress] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    advice: AdviceTable = field(default_factory=AdviceTable)
    counts: Counter[str] = field(default_factory=Counter)
    speeds: SpeedModel = field(default_factory=SpeedModel)
    reserved: dict[str, float] = field(default_factory=dict)
    left_out: dict[str, None] = field(default_factory=dict)
    held: dict[str, HeldRoom] = field(default_factory=dict)
    reservations: dict[str, Reservation] = field(default_factory=dict)
    reserved_room: dict[str, HeldRoom] = field(default_factory=dict)
    headroom: dict[str, Headroom] = field(default_factory=dict)
    mean_pace: dict[str, float] = field(default_factory=dict)
    inherited: InheritedLeases = NO_INHERITED_LEASES
    predecessor_ended_at: float = math.inf
    not_adopted: dict[TaskKey, TaskState] = field(default_factory=dict)
    listed: set[tuple[str, int]] = field(default_factory=set)
    lapsed: dict[str, Evidence] = field(default_factory=dict)
    moves: dict[TaskKey, Move] = field(default_factory=dict)
    silent_times: deque[tuple[float, bool]] = field(
        default_factory=lambda: deque(maxlen=MAX_SILENT_TIMES)
    )
    ended_waits: deque[tuple[str, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED_WAITS)
    )
    wait_lines: LineLimit = field(default_factory=LineLimit)
    waits_noted_at: float = 0.0
    budget: DecisionBudget = field(default_factory=DecisionBudget)
    max_steps: int = MAX_STEPS_PER_DECISION
    n_considered: int = 0
    send_s: float = 0.0
    unsent_since: float = math.inf
    late_starts: dict[str, dict[Placement, float]] = field(default_factory=dict)
    team_usage: TeamUsage = field(default_factory=TeamUsage)
    shares: Shares = field(default_factory=Shares)
    remote_slowdown: float = REMOTE_SLOWDOWN
    full_pools: set[str] = field(default_factory=set)
    first_starts: FirstStarts = field(default_factory=FirstStarts)
    rejected: dict[str, float] = field(default_factory=dict)
    _dirty: dict[str, Progress] = field(default_factory=dict)
    _stops: list[StopOrder] = field(default_factory=list)

    # Jobs

    def add_job(self, progress: Progress, now: float) -> None:
        """Add a new job, or one that an earlier term left in the journal."""
        job = progress.job
        job_id = job.job_id
        if job_id in self.jobs:
            return
        self.jobs[job_id] = progress
        if job.team is not None:
            self.shares.note_accepted(job.team.name, job_id, job.accepted_at)
        queue = self.queue_of(progress)
        if job.definition is None:  # accepted by an earlier build
            job = progress.job = replace(job, definition=queue)
        logger.info(
            "job taken in",
            job=job_id,
            queue=job.queue,
            term=self.term,
            steps=[step.n_tasks for step in job.steps],
            gang=[step.gang for step in job.steps],
            cores=[step.need.cores for step in job.steps],
            chain_s=round(critical_path_s(job), 2),
            objective_s=round(objective_s(job, queue, self.run_times(progress)), 2)
            if queue
            else None,
            stretch=queue.stretch if queue else None,
            target_s=queue.target_s if queue else None,
            accepted_at=round(job.accepted_at, 3),
            times=job.n_times,
            assigned=progress.n_assigned,
            config=self.table.version,
        )
        for key, task in progress.assigned():
            worker = self.workers.get(task.worker)
            if worker is None or worker.entry.incarnation < task.incarnation:
                self._note_not_adopted(key, task, worker, now)
                continue
            self._adopt(worker, progress, key, task)
        if progress.cancelled:
            self.cancel_job(job_id, now)

    def _adopt_registered(self, worker: Worker) -> None:
        """Adopt the runs that were assigned to a worker before it registered here."""
        for key, task in list(self.not_adopted.items()):
            if task.worker != worker.worker_id:
                continue
            if task.incarnation > worker.entry.incarnation:
                continue
            del self.not_adopted[key]
            progress = self.jobs.get(key.job_id)
            if progress is not None:
                self._adopt(worker, progress, key, task)

    def _adopt(
        self, worker: Worker, progress: Progress, key: TaskKey, task: TaskState
    ) -> None:
        """Give a run of an earlier term its capacity.

        A later incarnation of the worker may run it as well, if the earlier placer did
        not know of that incarnation when it sent the start.
        """
        slot = self.make_slot(progress, key, task.run)
        step = progress.job.steps[key.step]
        slot.run_time_s *= slowdown_on(step, worker, self.remote_slowdown)
        slot.sent, slot.started_at = True, self.begun_at
        slot.incarnation = task.incarnation
        slot.checkpoint = task.checkpoint
        worker.add(slot)
        if task.incarnation < worker.entry.incarnation:
            self._reassign(worker, slot)
        else:
            inherit_progress(slot, task, progress.read_at or self.begun_at)

    def _note_not_adopted(
        self, key: TaskKey, task: TaskState, worker: Worker | None, now: float
    ) -> None:
        self.counts["runs_not_adopted"] += 1
        self.not_adopted[key] = task
        logger.info(
            "run not adopted",
            job=key.job_id,
            task=tuple(key[1:]),
            run=task.run,
            worker=task.worker,
            life=task.incarnation,
            registered_life=worker.entry.incarnation if worker else None,
            wait_s=round(lapse_at(self, task.life) - now, 2),
            bound=lapse_bound(self, task.life),
        )

    def make_slot(self, progress: Progress, key: TaskKey, run: int) -> Slot:
        """Return the slot for a run of a task."""
        step = progress.job.steps[key.step]
        queue = self.queue_of(progress)
        urgent = queue is not None and queue.priority == 0
        task = progress.task(key)
        suspect = task is not None and task.n_crashes > 0
        return Slot(
            key,
            run,
            step.need,
            step.run_time_s,
            urgent=urgent,
            suspect=suspect,
            starts_apart=task is not None and starts_apart(step, task),
            long_running=step.long_running,
            team=progress.job.team.name if progress.job.team is not None else "",
        )

    def cancel_job(self, job_id: str, now: float) -> None:
        """Stop the runs of a job that its caller has cancelled."""
        progress = self.jobs.get(job_id)
        if progress is None:
            return
        progress.cancelled = True
        self.stop_runs(progress, "cancelled", now)
        self.mark_dirty(progress)
        self.retire(progress)

    def stop_runs(
        self, progress: Progress, reason: str, now: float, step: int | None = None
    ) -> None:
        """Stop all runs of a job or of one of its steps; release those not yet sent."""
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
                self.mark_dirty(progress)
            else:
                self.stop(worker, slot, reason, now)

    def stop(self, worker: Worker, slot: Slot, reason: str, now: float) -> None:
        """Request that a run is stopped, at most once in `STOP_REPEAT_S`."""
        if slot.stopping_at and now - slot.stopping_at < STOP_REPEAT_S:
            return
        slot.stopping_at = now
        self.counts[f"stops_{reason}"] += 1
        self._stops.append(StopOrder(worker.worker_id, slot.key, slot.run, reason))

    def mark_dirty(self, progress: Progress) -> None:
        """Schedule the progress of a job to be written to the journal."""
        self._dirty[progress.job.job_id] = progress

    def retire(self, progress: Progress) -> None:
        """Remove a job that has ended or was cancelled and has no runs left."""
        if progress.n_assigned or not (progress.has_ended or progress.cancelled):
            return
        job_id = progress.job.job_id
        if self.jobs.pop(job_id, None) is not None:
            self.advice.forget_job(job_id)

    def take_dirty(self) -> dict[str, Progress]:
        """Return and clear the jobs whose progress is to be written to the journal."""
        dirty, self._dirty = self._dirty, {}
        self.first_starts.forget(dirty)
        return dirty

    def unwritten(self) -> dict[str, Progress]:
        """Return the jobs that `take_dirty` would return."""
        return dict(self._dirty)

    def take_stops(self) -> list[StopOrder]:
        """Return and clear the stops to send."""
        stops, self._stops = self._stops, []
        return stops

    # Workers

    def register_worker(self, entry: WorkerEntry, now: float) -> None:
        """Process a new or changed registration."""
        record_registration(self, entry, now)
        worker = self.workers.get(entry.worker_id)
        if worker is None:
            life = (entry.worker_id, entry.incarnation)
            worker = Worker(entry, first_fencing_token(self.term), lapse_at(self, life))
            worker.withheld = life in self.listed
            self._look_up_speed(worker)
            self.workers[entry.worker_id] = worker
            logger.info(
                "worker registered",
                worker=entry.worker_id,
                life=entry.incarnation,
                cores=entry.capacity.cores,
                memory_mb=entry.capacity.memory_mb,
                failure_domain=entry.failure_domain,
                labels=entry.labels,
                draining=entry.draining,
                speed=round(worker.health.speed, 2),
            )
            self._adopt_registered(worker)
            return
        if entry.incarnation < worker.entry.incarnation:
            return  # record of an older incarnation
        if entry.incarnation > worker.entry.incarnation:
            self._replace_incarnation(worker, entry, now)
            return
        if entry.draining and not worker.entry.draining:
            logger.info(
                "worker draining", worker=entry.worker_id, life=entry.incarnation
            )
        change = _difference(entry, worker.entry)
        if change is not None:
            worker.free = worker.free + change
        worker.entry, worker.registered = entry, True

    def _replace_incarnation(
        self, worker: Worker, entry: WorkerEntry, now: float
    ) -> None:
        """Process the restart of a worker under its identity.

        Calls that were meant for the earlier incarnation may have reached the new one.
        A start that the earlier one has not shown keeps its slot until a report tells
        whether the new one runs it, and its token is out of date from then on.
        """
        unknown = [
            slot
            for slot in worker.slots.values()
            if slot.sent
            and (slot.is_unseen or slot.incarnation != worker.entry.incarnation)
        ]
        for slot in unknown:
            worker.release(slot.key, slot.run)
        self._end_incarnation(worker, now)
        self._begin_incarnation(worker, entry)
        worker.bump_fencing_token()
        worker.has_predecessor = True
        worker.lapse_at = max(worker.lapse_at, now + self.times.lease.max_lapse_s)
        for slot in unknown:
            slot.mark_unknown()
            worker.add(slot)
            self._reassign(worker, slot)

    def _reassign(self, worker: Worker, slot: Slot) -> None:
        """Assign a task to the incarnation that may run it."""
        progress = self.jobs.get(slot.key.job_id)
        task = progress.task(slot.key) if progress is not None else None
        if progress is None or task is None:
            return
        if (task.worker, task.run) == (worker.worker_id, slot.run):
            task.incarnation = worker.entry.incarnation
            task.still_percent = -1.0  # of the earlier incarnation
            self.mark_dirty(progress)

    def _begin_incarnation(self, worker: Worker, entry: WorkerEntry) -> None:
        worker.entry, worker.registered = entry, True
        worker.free = entry.capacity
        worker.last_seen_end = worker.last_acked_end = 0
        worker.clock_ms = worker.report_ms = 0
        worker.confirmed_token = 0
        worker.reachable = False
        worker.withheld = worker.life in self.listed
        worker.lapse_at = 0.0
        self._look_up_speed(worker)
        self._adopt_registered(worker)
        if worker.slots:
            # An earlier term has read of this incarnation first.
            worker.lapse_at = lapse_at(self, worker.life)

    def _look_up_speed(self, worker: Worker) -> None:
        speed = self.speeds.speed(
            worker.worker_id, worker.entry.incarnation, worker.kind
        )
        worker.health.speed = speed * self.mean_pace.get(worker.entry.pool, 1.0)

    def look_up_speeds(self) -> None:
        """Update the speeds of all workers, relative to the mean of their pool."""
        paces: dict[str, list[float]] = {}
        speeds = []
        for worker in self.workers.values():
            entry = worker.entry
            speed = self.speeds.speed(worker.worker_id, entry.incarnation, worker.kind)
            speeds.append(speed)
            if worker.registered:
                paces.setdefault(entry.pool, []).append(1.0 / speed)
        for pool, values in paces.items():
            self.mean_pace[pool] = sum(values) / len(values)
        for worker, speed in zip(self.workers.values(), speeds, strict=True):
            worker.health.speed = speed * self.mean_pace.get(worker.entry.pool, 1.0)

    def run_times(self, progress: Progress, occurrence: int = 0) -> list[float]:
        """Return the run time of each step of a job, in seconds.

        It is that on a worker of the mean pace of the pool, from which callers count
        their objectives: as observed for the steps that are done, as expected for the
        others.
        """
        name = progress.job.queue
        queue = self.queue_of(progress)
        pace = self.mean_pace.get(queue.pool, 1.0) if queue is not None else 1.0
        return [
            pace
            * progress.lengths.get(
                (occurrence, number), self.speeds.run_time_s(name, step.run_time_s)
            )
            for number, step in enumerate(progress.job.steps)
        ]

    def outlook(
        self, step_run: StepRun, queue: Queue, wall: float, run_times: list[float]
    ) -> Outlook:
        """Return the outlook of a job if one of its steps starts now."""
        return make_outlook(
            step_run,
            queue,
            wall,
            run_times,
            self.speeds.error_var(queue.name),
        )

    def deregister_worker(self, worker_id: str) -> None:
        """Process the removal of a registration."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.registered:
            worker.registered = False
            logger.info(
                "worker deregistered", worker=worker_id, slots=len(worker.slots)
            )

    def _end_incarnation(self, worker: Worker, now: float) -> None:
        logger.info(
            "worker incarnation ended",
            worker=worker.worker_id,
            life=worker.entry.incarnation,
            slots=len(worker.slots),
            draining=worker.entry.draining,
            silent_s=round(now - worker.heard_at, 3) if worker.heard_at else None,
            free_cores=round(worker.free.cores, 3),
            free_memory_mb=round(worker.free.memory_mb, 1),
        )
        if worker.reachable:
            self._note_silent(worker, now)
        seen = worker.slots or worker.confirmed_token
        crashed = seen and not worker.entry.draining
        given_up = record_crash(self, worker, now) if crashed else []
        for slot in list(worker.slots.values()):
            self.run_lost(worker, slot, "worker restarted", now)
        give_up(self, given_up, now)

    def worker_unreachable(
        self, worker_id: str, now: float, *, closed: bool = False
    ) -> None:
        """Process a renewal that was not answered.

        Parameters
        ----------
        closed : bool, default=False
            Whether the worker closed the connection, so that it was alive until now.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and worker.reachable:
            self._note_silent(worker, now)
            worker.reachable = False
            if closed:
                worker.heard_at = now
            logger.info(
                "worker unreachable",
                worker=worker_id,
                closed=closed,
                slots=len(worker.slots),
                lapse_in_s=round(worker.lapse_at - now, 2),
            )

    def _note_silent(self, worker: Worker, now: float) -> None:
        worker.silent_at = now
        if not worker.entry.draining:
            self.silent_times.append((now, worker.suspect_starts(now)))

    def other_incarnation(self, worker_id: str, incarnation: int, now: float) -> None:
        """Process an answer by another incarnation at a worker's address."""
        worker = self.workers.get(worker_id)
        if worker is None or worker.entry.incarnation != incarnation:
            return
        self._end_incarnation(worker, now)
        # Nothing of it is left, so it is dropped at the next tick.
        worker.registered = worker.reachable = False
        worker.lapse_at = 0.0

    def _note_incarnation(self, worker: Worker, incarnation: int, now: float) -> None:
        """Process an answer that names an incarnation."""
        if incarnation <= worker.entry.incarnation:
            return  # not newer; a late answer
        # Its capacity and labels are not known before it has registered.
        entry = replace(worker.entry, incarnation=incarnation, suspended=True)
        self._replace_incarnation(worker, entry, now)

    def process_report(
        self, worker_id: str, fencing_token: int, report: WorkerReport, now: float
    ) -> bool:
        """Process the answer to a renewal that carried ``fencing_token``.

        Returns
        -------
        changed : bool
            Whether anything other than the progress of runs has changed.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return False
        if report.incarnation and report.incarnation != worker.entry.incarnation:
            self._note_incarnation(worker, report.incarnation, now)
            return True
        if report.clock_ms < worker.report_ms:
            return False  # a newer answer arrived first
        changed = not worker.reachable or fencing_token > worker.confirmed_token
        if not worker.reachable:
            worker.reachable = True
            self.lapsed.pop(worker.entry.address, None)
            logger.info(
                "worker reachable",
                worker=worker_id,
                fence=fencing_token,
                running=len(report.running),
                ended=len(report.ended),
            )
        worker.report_ms = report.clock_ms
        worker.heard_at = now
        worker.update_clock(report.clock_ms, now)
        if not worker.confirmed_token:
            # The worker now rejects the older tokens of earlier placers, so they can
            # no longer extend leases on it.
            lease = self.times.lease
            granted_s = lease.max_lapse_s if worker.has_predecessor else lease.lapse_s
            worker.lapse_at = now + granted_s
        worker.confirmed_token = max(worker.confirmed_token, fencing_token)
        listed = {(row.key, row.run) for row in report.running}
        listed.update((row.key, row.run) for row in report.ended)
        for end in sorted(report.ended, key=lambda row: row.number):
            if end.number > worker.last_seen_end:
                worker.last_seen_end = end.number
                self._handle_end(worker, end, now)
                changed = True
        worker.has_unknown_runs = False
        for row in report.running:
            self._handle_running(worker, row, report.clock_ms, now)
        if len(report.ended) >= MAX_LISTED_ENDS:
            return changed
        absent = [
            slot
            for slot in worker.expected_in_report(fencing_token, report.clock_ms)
            if (slot.key, slot.run) not in listed
        ]
        given_up = record_inherited_crashes(self, worker, absent, now)
        for slot in absent:
            self.run_lost(worker, slot, "not listed", now)
        give_up(self, given_up, now)
        return changed or bool(absent)

    def _handle_running(
        self, worker: Worker, row: RunningTask, clock_ms: int, now: float
    ) -> None:
        slot = worker.slots.get((row.key, row.run))
        if slot is None:
            progress = self.jobs.get(row.key.job_id)
            if progress is not None and row.key.step < len(progress.job.steps):
                slot = self.make_slot(progress, row.key, row.run)
                slot.sent, slot.started_at = True, now
                worker.add(slot)
            else:
                # The capacity that a run of an unknown job uses is unknown as well, so
                # the run is stopped, and nothing is started before it has ended.
                worker.has_unknown_runs = True
                self._stops.append(
                    StopOrder(worker.worker_id, row.key, row.run, "unknown")
                )
                return
        self._note_started(row.key.job_id, now, is_old=slot.is_unseen)
        worker.update_run(row, now, clock_ms)
        if slot.suspect:
            clear_survivor(self, worker, slot, clock_ms)
        if not self._is_current_run(worker, row.key, row.run):
            self.stop(worker, slot, "superseded", now)
            return
        self.jobs[row.key.job_id].note_running()
        if slot.long_running:
            self.note_back(row.key)
        note_progress(self, slot, now)

    def note_back(self, key: TaskKey) -> None:
        """Note that the newest run of a task is present."""
        progress = self.jobs.get(key.job_id)
        if progress is not None and progress.note_back(key):
            self.mark_dirty(progress)

    def _is_current_run(self, worker: Worker, key: TaskKey, run: int) -> bool:
        progress = self.jobs.get(key.job_id)
        if progress is None or progress.cancelled:
            return False
        task = progress.task(key)
        if task is None:
            return False
        if task.done:
            # The members of a gang end together: the first end reported completes all.
            return progress.job.steps[key.step].gang
        return task.worker == worker.worker_id and task.run == run

    def _handle_end(self, worker: Worker, end: EndedTask, now: float) -> None:
        slot = worker.release(end.key, end.run)
        progress = self.jobs.get(end.key.job_id)
        task = progress.task(end.key) if progress is not None else None
        current = task is not None and (task.worker, task.run, task.incarnation) == (
            worker.worker_id,
            end.run,
            worker.entry.incarnation,
        )
        late = (
            progress is not None
            and task is not None
            and _counts_late(progress, task, end)
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
            late=late,
            seen_s=_seconds_since(slot.seen_at, now) if slot else None,
        )
        self.counts[f"ends_{end.kind}"] += 1
        if progress is None or task is None:
            return
        self._note_started(end.key.job_id, now, is_old=True)
        if not (current or late):
            return
        if late:
            self.counts["late_ends"] += 1
            self.mark_dirty(progress)
            self._handle_done(worker, progress, end.key, slot, now)
            self.retire(progress)
            return
        checkpoint = end.checkpoint or (slot.checkpoint if slot else "")
        if progress.job.steps[end.key.step].checkpoints and checkpoint:
            progress.store_checkpoint(task, checkpoint)
        progress.unassign(end.key)
        progress.note_away(end.key, now, now)
        progress.note_idle(now, now)
        self.mark_dirty(progress)
        if end.kind is EndKind.DONE:
            self._handle_done(worker, progress, end.key, slot, now)
        elif end.kind is EndKind.FAILED:
            self._handle_failure(worker, progress, end.key, end.run, now)
        elif progress.job.steps[end.key.step].gang:
            self.stop_runs(progress, "gang", now, end.key.step)
        self.retire(progress)

    def note_done(self, key: TaskKey, run: int, now: float) -> None:
        """Process that the previous term knew a run to have ended as done.

        It counts unless the journal names a later run. If its worker reports the end
        as well, that changes nothing.
        """
        progress = self.jobs.get(key.job_id)
        task = progress.task(key) if progress is not None else None
        if progress is None or task is None or task.run != run or task.done:
            return
        if progress.has_ended or progress.cancelled:
            return
        if progress.job.steps[key.step].long_running:
            return
        self._note_started(key.job_id, now, is_old=True)
        worker = self.workers.get(task.worker)
        logger.info(
            "run done in an earlier term",
            job=key.job_id,
            task=tuple(key[1:]),
            run=run,
            worker=task.worker,
        )
        if worker is not None:
            worker.release(key, run)
        if task.worker:
            progress.unassign(key)
        progress.note_idle(now, now)
        self.mark_dirty(progress)
        self._handle_done(worker, progress, key, None, now)
        self.retire(progress)

    def _handle_done(
        self,
        worker: Worker | None,
        progress: Progress,
        key: TaskKey,
        slot: Slot | None,
        now: float,
    ) -> None:
        step = progress.job.steps[key.step]
        if step.long_running:
            return  # the task will be restarted
        if worker is not None:
            worker.health.record_success()
        if step.gang:
            step_run = progress.step_run(key.occurrence, key.step)
            for index, task in enumerate(step_run.tasks):
                if task.worker:
                    progress.unassign(step_run.key(index))
                progress.finish_task(step_run.key(index))
            progress.note_idle(now, now)
        else:
            self._finish_task(worker, progress, key, slot, now)
        if progress.state is JobState.COMPLETED:
            logger.info("job completed", job=key.job_id, term=self.term)

    def _finish_task(
        self,
        worker: Worker | None,
        progress: Progress,
        key: TaskKey,
        slot: Slot | None,
        now: float,
    ) -> None:
        """Finish a task outside a gang; update the speeds if its step is done."""
        step = progress.job.steps[key.step]
        name = progress.step_run(key.occurrence, key.step).name
        if worker is not None and slot is not None and slot.full_run:
            # The distance of the data says nothing about the worker's speed.
            slowdown = slowdown_on(step, worker, self.remote_slowdown)
            actual_s = (now - slot.started_at) / slowdown
            incarnation = worker.entry.incarnation
            self.speeds.observe(
                worker.worker_id, incarnation, name, actual_s, worker.kind
            )
        if not progress.finish_task(key):
            return
        length_s = self.speeds.step_done(name, progress.job.queue, step.run_time_s)
        if length_s is not None:
            progress.lengths[key.occurrence, key.step] = length_s
            self.look_up_speeds()

    def _handle_failure(
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
        if worker.health.record_failure(key.job_id, now):
            logger.info(
                "worker ejected",
                worker=worker.worker_id,
                until_s=round(worker.health.ejected_until - now, 1),
            )
        queue = self.queue_of(progress)
        max_attempts = queue.max_attempts if queue is not None else 1
        if task.n_failed >= max_attempts and not step_run.step.long_running:
            self.fail_job(progress, key, task, now, max_attempts=max_attempts)
        elif step_run.step.gang:
            self.stop_runs(progress, "gang", now, key.step)

    def fail_job(
        self,
        progress: Progress,
        key: TaskKey,
        task: TaskState,
        now: float,
        **limits: int,
    ) -> None:
        """End a job as failed for one of its tasks, and stop its runs."""
        progress.state = JobState.FAILED
        self.mark_dirty(progress)
        logger.info(
            "job failed",
            job=key.job_id,
            task=tuple(key[1:]),
            n_failed=task.n_failed,
            n_crashes=task.n_crashes,
            n_start_crashes=task.n_start_crashes,
            **limits,
        )
        self.stop_runs(progress, "job failed", now)

    def run_lost(self, worker: Worker, slot: Slot, why: str, now: float) -> None:
        """Release a run that is certainly not present on its worker."""
        worker.release(slot.key, slot.run)
        progress = self.jobs.get(slot.key.job_id)
        task = progress.task(slot.key) if progress is not None else None
        current = task is not None and (task.worker, task.run) == (
            worker.worker_id,
            slot.run,
        )
        unseen = slot.sent and slot.is_unseen
        logger.info(
            "run lost",
            job=slot.key.job_id,
            task=tuple(slot.key[1:]),
            run=slot.run,
            worker=worker.worker_id,
            why=why,
            fence=slot.fencing_token,
            current=current,
            sent=slot.sent,
            decided_s=None if slot.sent else round(now - slot.started_at, 3),
            ran_s=round(worker.heard_at - slot.present_at, 3)
            if slot.present_at
            else None,
            seen_s=_seconds_since(slot.seen_at, now),
            silent_s=None
            if worker.reachable
            else _seconds_since(worker.silent_at, now),
            # Nothing earlier is known of a run of an earlier term.
            waited_s=round(now - self.begun_at, 2) if unseen else None,
            bound=self._lease_bound(worker) if why == "lease lapsed" else None,
        )
        self.counts["runs_lost"] += 1
        if progress is None or task is None or not current:
            return
        step = progress.job.steps[slot.key.step]
        if step.checkpoints and slot.checkpoint:
            progress.store_checkpoint(task, slot.checkpoint)
        progress.unassign(slot.key)
        self._note_away(worker, slot, progress, task, now)
        was_present = slot.present_at or unseen
        progress.note_idle(now, task.away_since if was_present else 0.0)
        self.mark_dirty(progress)
        if step.gang:
            self.stop_runs(progress, "gang", now, slot.key.step)
        self.retire(progress)

    def _lease_bound(self, worker: Worker) -> str:
        """Return the name of the bound by which a worker's leases have lapsed."""
        if worker.confirmed_token:
            return "renewal"
        if worker.has_predecessor:
            return "later incarnation"
        return lapse_bound(self, worker.life)

    def _note_away(
        self,
        worker: Worker,
        slot: Slot,
        progress: Progress,
        task: TaskState,
        now: float,
    ) -> None:
        """Note since when a task is away whose run was released.

        A start that had no effect does not end an earlier absence, also if an earlier
        term had sent it.
        """
        if not slot.sent and task.away_since:
            return
        unseen = slot.sent and slot.is_unseen
        earlier = 0.0 if slot.present_at else task.away_since
        if not worker.reachable:
            since = silent_since(self, worker.life) if unseen else worker.silent_at
            progress.note_away(slot.key, earlier or since or now, now)
        elif slot.present_at or unseen or not task.away_since:
            progress.note_away(slot.key, earlier or now, now)

    def queue_of(self, progress: Progress) -> Queue | None:
        """Return the queue of a job; as the job was accepted if it was removed."""
        job = progress.job
        return self.table.queues.get(job.queue, job.definition)

    # Starts

    def sendable_slot(self, placement: Placement, now: float) -> Slot | None:
        """Return the slot of a journaled start if it may still be sent.

        Otherwise the run is released and None is returned.
        """
        worker = self.workers.get(placement.worker_id)
        slot = worker.slots.get((placement.key, placement.run)) if worker else None
        if worker is None or slot is None or slot.sent:
            return None
        progress = self.jobs.get(placement.key.job_id)
        wanted = progress is not None and not progress.cancelled
        running = progress is not None and not progress.has_ended
        # The capacity may have shrunk while the start was journaled.
        fits = worker.fits(NO_RESOURCES)
        if wanted and running and fits and worker.accepts_starts():
            return slot
        self.run_lost(worker, slot, "not sent" if fits else "no room", now)
        return None

    def reject_progress(self, progress: Progress, placements: list[Placement]) -> None:
        """Process that the journal has rejected the progress of a job.

        The placements, which only that record contains, are withdrawn, and fewer tasks
        of the job may be under way from now on; none for a while if that is too few to
        start any.
        """
        self.counts["records_rejected"] += 1
        progress.max_open = progress.n_open // 2
        if progress.max_open < least_open(progress.job):
            self.rejected.setdefault(progress.job.job_id, math.inf)
        logger.error(
            "progress rejected by the journal",
            job=progress.job.job_id,
            max_open=progress.max_open,
        )
        for placement in placements:
            worker = self.workers.get(placement.worker_id)
            if worker is not None and worker.release(placement.key, placement.run):
                progress.withdraw(placement.key)
        self.mark_dirty(progress)
        self.retire(progress)

    def release_unsent(self, placement: Placement, why: str, now: float) -> None:
        """Release a run whose start has not been sent."""
        worker = self.workers.get(placement.worker_id)
        slot = worker.slots.get((placement.key, placement.run)) if worker else None
        if worker is not None and slot is not None and not slot.sent:
            self.run_lost(worker, slot, why, now)

    def ticket(self, placement: Placement, now: float) -> str | None:
        """Return the ticket for a start, or an empty string if its queue needs none.

        If the ticket has lapsed, the start waits for another one and None is returned.
        The assignment stands: placing the task anew would take a longer call for advice
        and two more records, which make the next tickets lapse as well.
        """
        ticket = self._valid_ticket(placement, now)
        if ticket is None:
            self.counts["tickets_lapsed"] += 1
            slot = self.workers[placement.worker_id].slots[placement.key, placement.run]
            slot.late_since = slot.late_since or now
            waiting = self.late_starts.setdefault(placement.key.step_name, {})
            waiting[placement] = slot.late_since
        return ticket

    def _valid_ticket(self, placement: Placement, now: float) -> str | None:
        """Return the ticket for a start; None if it needs one and has none."""
        worker, key = self.workers[placement.worker_id], placement.key
        queue = self.queue_of(self.jobs[key.job_id])
        if queue is None or queue.advice is None:
            return ""
        advice = self.advice.for_step(key.step_name)
        return advice.ticket(worker.worker_id, worker.entry.incarnation, now) or None

    def renew_tickets(
        self, now: float, step: str = ""
    ) -> tuple[list[Placement], list[AdviceCall]]:
        """Process the starts that wait for a new ticket.

        Parameters
        ----------
        step : str, optional
            Name of the only step to process.

        Returns
        -------
        sendable : list of Placement
            Starts that have one now.
        calls : list of AdviceCall
            Calls for advice on the workers of the others, the most urgent first.
        """
        sendable, calls = [], []
        for name in [step] if step else list(self.late_starts):
            waiting = self.late_starts.get(name, {})
            for placement, since in list(waiting.items()):
                slot = self.sendable_slot(placement, now)
                if slot is None:
                    del waiting[placement]
                elif self._valid_ticket(placement, now) is not None:
                    del waiting[placement]
                    sendable.append(placement)
                elif now > self._late_until(placement.key, since):
                    del waiting[placement]
                    self.release_unsent(placement, "ticket lapsed", now)
            # The release of a member has released the other members of its gang.
            for placement in [item for item in waiting if not self._is_unsent(item)]:
                del waiting[placement]
            if not waiting:
                self.late_starts.pop(name, None)
                continue
            call = late_start_call(self, waiting, now)
            if call is not None:
                calls.append(call)
        return sendable, sorted(calls, key=lambda call: call.rank)

    def _late_until(self, key: TaskKey, since: float) -> float:
        """Return when a start is released whose first ticket lapsed at a time."""
        until = since + MAX_LATE_START_S
        progress = self.jobs[key.job_id]
        if not progress.job.steps[key.step].gang:
            return until
        step_run = progress.step_run(key.occurrence, key.step)
        for index, task in enumerate(step_run.tasks):
            worker = self.workers.get(task.worker)
            slot = worker.slots.get((step_run.key(index), task.run)) if worker else None
            if slot is not None and slot.sent:
                until = min(until, slot.started_at + MAX_GANG_WAIT_S)
        return until

    def _is_unsent(self, placement: Placement) -> bool:
        worker = self.workers.get(placement.worker_id)
        slot = worker.slots.get((placement.key, placement.run)) if worker else None
        return slot is not None and not slot.sent

    def note_send_time(self, send_s: float) -> None:
        """Update the expected time from a decision until its starts are sent."""
        weight = 1.0 if send_s > self.send_s else SEND_WEIGHT
        self.send_s += weight * (send_s - self.send_s)

    def note_decision_time(self, took_s: float) -> None:
        """Limit the steps of the next decision by the time that one has taken."""
        self.max_steps = limit_steps(self.n_considered, self.max_steps, took_s)

    def sent_at(self, decided_at: float, terms: AdviceTerms, now: float) -> float:
        """Return when a start is expected to be sent, for the choice of its ticket.

        Parameters
        ----------
        decided_at : float, seconds
            When it will be decided.
        """
        usable_s = max(0.0, terms.valid_s - TICKET_MARGIN_S)
        latest = now + MAX_SEND_FRACTION * usable_s
        return max(decided_at, min(decided_at + self.send_s, latest))

    def may_decide_starts(self, terms: AdviceTerms, now: float) -> bool:
        """Return whether tickets outlast the starts that are not in the journal yet.

        While they don't, further starts would hold capacity until all are written.
        """
        return now - self.unsent_since < terms.valid_s - TICKET_MARGIN_S

    def handle_start_reply(
        self, order: StartOrder, reply: StartReply, now: float
    ) -> StartResult:
        """Process the reply to a start call.

        Returns
        -------
        result : StartResult
            Result of the call; unknown if it is not known which incarnation replied.
        """
        if reply.result is StartResult.STARTED:
            # Whichever incarnation has replied, and also if the run was given up.
            self._note_started(order.key.job_id, now)
        worker = self.workers.get(order.worker_id)
        if worker is None:
            self.counts[f"starts_{reply.result}"] += 1
            return reply.result
        result = reply.result
        life = worker.answering_life(reply.clock_ms, reply.incarnation)
        if life:
            self._note_incarnation(worker, life, now)
        elif result is StartResult.STARTED:
            result = StartResult.UNKNOWN
        self.counts[f"starts_{result}"] += 1
        self._handle_start_result(worker, order, replace(reply, result=result), now)
        return result

    def _handle_start_result(
        self, worker: Worker, order: StartOrder, reply: StartReply, now: float
    ) -> None:
        result = reply.result
        slot = worker.slots.get((order.key, order.run))
        if result is not StartResult.STARTED:
            logger.info(
                "start failed",
                job=order.key.job_id,
                task=tuple(order.key[1:]),
                run=order.run,
                worker=order.worker_id,
                result=result,
                fence=order.fencing_token,
            )
        if slot is None or slot.fencing_token != order.fencing_token:
            return
        life = worker.answering_life(reply.clock_ms, reply.incarnation)
        if 0 < life < worker.entry.incarnation:
            # It has ended, and a call takes effect once only.
            self.run_lost(worker, slot, "worker restarted", now)
            return
        if result is StartResult.STARTED:
            slot.mark_present(reply.clock_ms, now, worker.entry.incarnation)
            worker.heard_at = now
            progress = self.jobs.get(order.key.job_id)
            if progress is not None:
                progress.note_running()
            return
        if result is StartResult.UNKNOWN:
            # The report for a renewal with a higher token shows whether the call took
            # effect; after that renewal the worker rejects the call if it is still on
            # its way.
            worker.bump_fencing_token()
            return
        if slot.confirmed:
            return  # a report listed the run in the meantime
        if result is StartResult.OTHER_INCARNATION:
            # The call had no effect, so the run can't have ended the incarnation.
            self.run_lost(worker, slot, result, now)
            self.other_incarnation(order.worker_id, worker.entry.incarnation, now)
            return
        if result is StartResult.BAD_TICKET:
            self._drop_ticket(order)
        elif result is StartResult.NO_ROOM:
            worker.health.ejected_until = max(
                worker.health.ejected_until, now + CAPACITY_BACKOFF_S
            )
        elif result in {StartResult.UNHEALTHY, StartResult.INVALID}:
            if worker.health.record_failure(order.key.job_id, now):
                logger.info("worker ejected", worker=order.worker_id, why=result)
            worker.health.ejected_until = max(
                worker.health.ejected_until, now + UNHEALTHY_BACKOFF_S
            )
        self.run_lost(worker, slot, result, now)

    def _drop_ticket(self, order: StartOrder) -> None:
        key = order.key
        advice = self.advice.for_step(f"{key.job_id}.{key.occurrence}.{key.step}")
        advice.drop_ticket(order.worker_id)

    def _note_started(self, job_id: str, now: float, *, is_old: bool = False) -> None:
        """Note that a run of a job is, or has been, present on a worker.

        Parameters
        ----------
        is_old : bool, default=False
            Whether it may have started long ago, in an earlier term.
        """
        progress = self.jobs.get(job_id)
        if progress is not None and progress.note_started():
            self.first_starts.note(progress, now, is_old=is_old)

    def tick(self, now: float) -> None:
        """Release runs on lost workers, stop stalled runs and repeat stops.

        Jobs whose first start the journal does not show for a while are written to it.
        """
        watch_runs(self, now)
        for progress in self.first_starts.due(now):
            self.mark_dirty(progress)

    def decide(
        self, now: float, wall: float
    ) -> tuple[list[Placement], list[AdviceCall]]:
        """Assign waiting tasks to workers.

        Returns
        -------
        placements : list of Placement
            Runs to start once the progress of their jobs is in the journal.
        calls : list of AdviceCall
            Calls for advice, the most urgent first.
        """
        self._retry_rejected(now)
        self.budget.begin()
        placements, calls = decide(self, now, wall)
        self.budget.end()
        calls += evacuate(self, now)
        return placements, sorted(calls, key=lambda call: call.rank)

    def _retry_rejected(self, now: float) -> None:
        """Let jobs start again some time after the journal has rejected their records.

        It may have been the record of another moment, or of an end that is not needed
        any more.
        """
        for job_id, until in list(self.rejected.items()):
            if until == math.inf:
                self.rejected[job_id] = now + REJECTED_PAUSE_S
            elif now >= until:
                del self.rejected[job_id]
                progress = self.jobs.get(job_id)
                if progress is not None:
                    progress.max_open = least_open(progress.job)


def _seconds_since(at: float, now: float) -> float | None:
    """Return the seconds since a time, None if it is 0, for log lines."""
    return round(now - at, 3) if at else None


def _counts_late(progress: Progress, task: TaskState, end: EndedTask) -> bool:
    """Return whether a run has done a task although it was given up as lost.

    Its end arrives late if its worker could not be reached until its leases had
    lapsed. It counts as long as no later run has been assigned.
    """
    step = progress.job.steps[end.key.step]
    return (
        end.kind is EndKind.DONE
        and not task.worker
        and not task.done
        and task.run == end.run
        and not (step.long_running or step.gang)
        and not progress.has_ended
        and not progress.cancelled
    )


def _difference(new: WorkerEntry, old: WorkerEntry) -> Resources | None:
    if new.capacity == old.capacity:
        return None
    return new.capacity - old.capacity


__all__ = ["Placement", "Placer", "PlacerTimes", "StopOrder", "critical_path_s"]
