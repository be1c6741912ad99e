"""Workers as their placer sees them: capacity, leases, fencing tokens and health."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, Resources
from .health import WorkerHealth, make_worker_health

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .model import RunningTask, TaskKey, WorkerEntry

# Fraction by which a worker's monotonic clock may run slow (platform specification).
CLOCK_DRIFT = 0.02
# Added to the computed end of a lease, since the worker's timers fire late.
LAPSE_MARGIN_S = 0.3
# Low bits of a fencing token, which count its increments within a term; the bits above
# hold the term.
TOKEN_COUNTER_BITS = 20
# A run that its worker has carried for this long has survived its start.
PROBATION_S = 0.5
# A restart is noticed within this time, so an answer with a higher clock is not that of
# an incarnation that was not noticed yet.
MIN_LIFE_MS = 5000
OVERTAKING_MS = 1000  # answers on different connections may overtake each other
# From this progress on, the end of a run is extrapolated; before, it is estimated.
MIN_PERCENT = 5.0
CAPACITY_EPSILON = 1e-6  # tolerance for rounding, in cores or megabytes


def lapse_after_s(lease_s: float) -> float:
    """Return the time after which a lease has lapsed on any worker's clock."""
    return lease_s / (1 - CLOCK_DRIFT) + LAPSE_MARGIN_S


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of worker leases.

    Parameters
    ----------
    lease_s : float, seconds
        Lease requested by each renewal and each start, at most what workers grant.
    max_lease_s : float, seconds
        Longest lease that workers grant.
    """

    lease_s: float = 5.0
    max_lease_s: float = 5.0

    @property
    def lapse_s(self) -> float:
        """Time after which a lease granted now has lapsed on any worker's clock."""
        return lapse_after_s(self.lease_s)

    @property
    def max_lapse_s(self) -> float:
        """Time after which any lease granted now has lapsed on any worker's clock."""
        return lapse_after_s(self.max_lease_s)


@dataclass(eq=False, slots=True)
class Slot:
    """Capacity held by one run on a worker.

    It is held from the decision to place the run until the run is known to have ended.

    Parameters
    ----------
    fencing_token : int
        Token of the start call. Once the worker has seen a higher token, the call
        can no longer take effect. 0 for a run adopted from an earlier term.
    sent : bool
        Whether the start call has been sent.
    late_since : float, seconds
        When the ticket first lapsed before the start was sent; 0 if it did not.
    confirmed : bool
        Whether the worker has reported the run or acknowledged its start.
    confirmed_ms : int, milliseconds
        Worker's clock at that answer; an older report may not list the run.
    present_at, present_ms : float, int
        When an answer of the worker first showed that the run is present, in seconds,
        and the worker's clock in that answer, in milliseconds; 0 before.
    seen_at : float, seconds
        When an answer last showed it; 0 before.
    incarnation : int
        Incarnation of the worker that has shown the run, or to which an earlier term
        assigned it; 0 while it is not known which one received the start.
    stopping_at : float, seconds
        When a stop was requested; 0 if none was.
    percent : float
        Share of the work that is done, 0 to 100.
    progressed_at : float, seconds
        When `percent` last rose; 0 if the run has not been reported yet. In an earlier
        term if the first report in this one shows `still_percent`.
    still_percent : float
        Share of the work that was done according to an earlier term; negative if
        that is not known.
    still_since : float, seconds
        A time since which no more was done if a report still shows that share.
    stored_still_s : float, seconds
        Time without progress for which the journal was last written.
    urgent : bool
        Whether the queue of the run has the highest priority, 0.
    full_run : bool
        Whether the time since `started_at` covers the whole task: the run was not
        resumed from a checkpoint, and it was started in this term.
    suspect : bool
        Whether the task may have crashed a worker before.
    starts_apart : bool
        Whether nothing may be started beside the run until it has survived its start.
    long_running : bool
        Whether the run goes on until it is stopped.
    team : str
        Name of the team of the job, which may be retired before the run has ended;
        empty for none.
    """

    key: TaskKey
    run: int
    need: Resources
    run_time_s: float
    fencing_token: int = 0
    sent: bool = False
    late_since: float = 0.0
    confirmed: bool = False
    confirmed_ms: int = 0
    started_at: float = 0.0
    present_at: float = 0.0
    present_ms: int = 0
    seen_at: float = 0.0
    incarnation: int = 0
    stopping_at: float = 0.0
    percent: float = 0.0
    progressed_at: float = 0.0
    still_percent: float = -1.0
    still_since: float = 0.0
    stored_still_s: float = 0.0
    checkpoint: str = ""
    full_run: bool = False
    urgent: bool = False
    suspect: bool = False
    starts_apart: bool = False
    long_running: bool = False
    team: str = ""

    def expected_end(self, speed: float) -> float:
        """Return when the run is expected to end, infinite if it lasts.

        Parameters
        ----------
        speed : float
            Speed of its worker.
        """
        if self.long_running:
            return math.inf
        if self.full_run and self.percent >= MIN_PERCENT:
            elapsed_s = self.progressed_at - self.started_at
            return self.started_at + elapsed_s * 100 / self.percent
        return self.started_at + self.run_time_s / speed

    def mark_present(self, clock_ms: int, now: float, incarnation: int) -> None:
        """Note an answer that shows that the run is present."""
        self.confirmed, self.incarnation = True, incarnation
        self.seen_at = now
        self.confirmed_ms = max(self.confirmed_ms, clock_ms)
        if not self.present_at:
            self.present_at, self.present_ms = now, clock_ms

    def mark_unknown(self) -> None:
        """Note that another incarnation of the worker may have received the start."""
        self.confirmed, self.confirmed_ms = False, 0
        self.present_at, self.present_ms, self.seen_at = 0.0, 0, 0.0
        self.percent, self.progressed_at = 0.0, 0.0
        self.still_percent = -1.0

    @property
    def is_unseen(self) -> bool:
        """Whether the run is of an earlier term and was not seen in this one."""
        return not self.fencing_token and not self.present_at

    def on_probation(self, now: float) -> bool:
        """Return whether the run may not have survived its start yet."""
        return not self.present_at or now - self.present_at < PROBATION_S


@dataclass(eq=False)
class Worker:
    """One worker, as known to the placer of one term.

    Parameters
    ----------
    entry : WorkerEntry
        Newest registration.
    fencing_token : int
        Token of the next call.
    lapse_at : float, seconds
        Time by which all leases on the worker have lapsed unless they are renewed.
    registered : bool
        Whether the worker is still registered.
    withheld : bool
        Whether a lease record that may be stored lists the worker, so that its leases
        must not be extended.
    confirmed_token : int
        Token of the newest renewal that the worker has answered; 0 before the first.
    slots : dict
        Runs that hold capacity, by task and run number.
    free : Resources
        Capacity that no run holds.
    reachable : bool
        Whether the newest renewal was answered.
    urgent_cores : float
        Cores held by runs of urgent queues.
    n_suspects : int
        Runs of tasks that may have crashed a worker before.
    has_unknown_runs : bool
        Whether the newest report lists a run of a job that is not known.
    heard_at : float, seconds
        Latest time at which the worker is known to have been alive: that of its newest
        answer, or that at which it closed a connection.
    silent_at : float, seconds
        When it last stopped answering; 0 before.
    last_seen_end, last_acked_end : int
        Number of the newest end processed, and of the newest one in the journal.
    clock_ms, clock_at : int, float
        Newest reading of the worker's clock, and when it was received.
    report_ms : int, milliseconds
        Worker's clock at its newest report; older ones are ignored.
    has_predecessor : bool
        Whether calls meant for an earlier incarnation may have extended the leases.
    worker_id : str
        Identity of the worker; each registration that replaces `entry` has the same.
    """

    entry: WorkerEntry
    fencing_token: int
    lapse_at: float
    registered: bool = True
    withheld: bool = False
    confirmed_token: int = 0
    slots: dict[tuple[TaskKey, int], Slot] = field(default_factory=dict)
    free: Resources = NO_RESOURCES
    urgent_cores: float = 0.0
    n_suspects: int = 0
    health: WorkerHealth = field(default_factory=make_worker_health)
    reachable: bool = False
    has_unknown_runs: bool = False
    heard_at: float = 0.0
    silent_at: float = 0.0
    last_seen_end: int = 0
    last_acked_end: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    report_ms: int = 0
    has_predecessor: bool = False
    # Read for each worker and step of a decision, so it is not looked up in `entry`.
    worker_id: str = field(init=False)

    def __post_init__(self) -> None:
        self.free = self.entry.capacity
        self.worker_id = self.entry.worker_id

    @property
    def life(self) -> tuple[str, int]:
        """Identity and incarnation of the worker."""
        return self.entry.worker_id, self.entry.incarnation

    @property
    def rack(self) -> str:
        """Rack of the worker, its last label; empty if it has no labels."""
        return self.entry.labels[-1] if self.entry.labels else ""

    @property
    def kind(self) -> str:
        """Kind of the worker, its first label; empty if the rack is the only label."""
        return self.entry.labels[0] if len(self.entry.labels) > 1 else ""

    @property
    def has_closed(self) -> bool:
        """Whether the worker does not answer and has closed its connections."""
        return not self.reachable and self.silent_at == self.heard_at > 0

    def accepts_starts(self) -> bool:
        """Return whether new runs may be placed here."""
        return (
            self.registered
            and self.reachable
            and not self.entry.draining
            and not self.entry.suspended
            and not self.withheld
            and not self.has_unknown_runs
            and self.confirmed_token > 0
        )

    def fits(self, need: Resources, free: Resources | None = None) -> bool:
        """Return whether a task fits into ``free``, by default the free capacity."""
        available = self.free if free is None else free
        return (
            need.cores <= available.cores + CAPACITY_EPSILON
            and need.memory_mb <= available.memory_mb + CAPACITY_EPSILON
            and need.accelerators <= available.accelerators + CAPACITY_EPSILON
        )

    def add(self, slot: Slot) -> None:
        """Allocate the capacity for a run, unless the run has a slot already."""
        if (slot.key, slot.run) in self.slots:
            return
        self.slots[slot.key, slot.run] = slot
        self.free = self.free - slot.need
        self.n_suspects += slot.suspect
        if slot.urgent:
            self.urgent_cores += slot.need.cores

    def release(self, key: TaskKey, run: int) -> Slot | None:
        """Free the capacity of a run; return its slot if it had one."""
        slot = self.slots.pop((key, run), None)
        if slot is not None:
            self.free = self.free + slot.need
            self.n_suspects -= slot.suspect
            if slot.urgent:
                self.urgent_cores -= slot.need.cores
        return slot

    def suspect_starts(self, now: float) -> bool:
        """Return whether a task that may have crashed a worker is starting here."""
        return any(
            slot.suspect and slot.on_probation(now) for slot in self.slots.values()
        )

    def starts_apart(self, now: float) -> bool:
        """Return whether a task is starting here beside which nothing may start."""
        return any(
            slot.starts_apart and slot.on_probation(now) for slot in self.slots.values()
        )

    def has_starting(self, now: float) -> bool:
        """Return whether a run here may not have survived its start yet."""
        return any(slot.on_probation(now) for slot in self.slots.values())

    def clear_suspect(self, slot: Slot) -> None:
        """Note that the task of a run is no longer suspected."""
        self.n_suspects -= slot.suspect
        slot.suspect = False

    def update_clock(self, clock_ms: int, now: float) -> None:
        """Store the reading of the worker's clock in an answer received at ``now``."""
        if clock_ms >= self.clock_ms:
            self.clock_ms, self.clock_at = clock_ms, now

    def answering_life(self, clock_ms: int, incarnation: int) -> int:
        """Return the incarnation that gave an answer; 0 if that is not known.

        Parameters
        ----------
        clock_ms : int, milliseconds
            Worker's clock in the answer.
        incarnation : int
            Incarnation that the answer names; 0 if it names none.
        """
        if incarnation:
            return incarnation
        # The clock of each incarnation starts anew.
        oldest_ms = max(MIN_LIFE_MS, self.clock_ms - OVERTAKING_MS)
        return self.entry.incarnation if clock_ms >= oldest_ms else 0

    def may_extend_leases(self) -> bool:
        """Return whether a renewal may extend the leases.

        A renewal without an answer may have arrived, so one to an unresponsive worker
        extends no lease; otherwise it would never be certain that they lapsed.
        """
        return self.clock_ms > 0 and self.reachable and not self.withheld

    def lease_end_ms(self, now: float, lease_s: float) -> int:
        """Return the time on the worker's clock at which a new lease ends.

        The worker's clock is extrapolated from its newest reading, taken before the
        answer arrived here, so the lease ends no later than ``lease_s`` after the
        call arrives.
        """
        return self.clock_ms + int((now - self.clock_at + lease_s) * 1000)

    def record_lease(self, lease_until_ms: int) -> None:
        """Update the time by which all leases have lapsed for a call that is sent."""
        left_s = (lease_until_ms - self.clock_ms) / 1000
        end = self.clock_at + left_s / (1 - CLOCK_DRIFT) + LAPSE_MARGIN_S
        self.lapse_at = max(self.lapse_at, end)

    def bump_fencing_token(self) -> None:
        """Use a higher token for all further calls."""
        self.fencing_token += 1

    def expected_in_report(self, report_token: int, clock_ms: int) -> Iterator[Slot]:
        """Yield the runs that a report must list if they are present on the worker.

        If such a run is missing from the report, it is not present: a run whose start
        call carried a lower token than the report's renewal can no longer start, and a
        run that was confirmed before the report has ended.
        """
        for slot in list(self.slots.values()):
            outdated = slot.sent and slot.fencing_token < report_token
            if outdated or (slot.confirmed and slot.confirmed_ms < clock_ms):
                yield slot

    def update_run(self, row: RunningTask, now: float, clock_ms: int) -> None:
        """Update a run from its row in a report."""
        slot = self.slots[row.key, row.run]
        slot.mark_present(clock_ms, now, self.entry.incarnation)
        slot.checkpoint = row.checkpoint or slot.checkpoint
        if not slot.progressed_at and row.percent == slot.still_percent:
            slot.percent, slot.progressed_at = row.percent, slot.still_since
        elif row.percent > slot.percent or not slot.progressed_at:
            slot.percent, slot.progressed_at = row.percent, now
            slot.stored_still_s = 0.0


def first_fencing_token(term: int) -> int:
    """Return the lowest fencing token of a term."""
    return term << TOKEN_COUNTER_BITS


def may_extend(now: float, confirmed_at: float, max_unconfirmed_s: float) -> bool:
    """Return whether a placer may still act for its term, which may have ended.

    Parameters
    ----------
    confirmed_at : float, seconds
        When the newest successful journal write was sent.
    max_unconfirmed_s : float, seconds
        How long it may after that write.
    """
    return now - confirmed_at < max_unconfirmed_s
