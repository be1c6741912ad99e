"""Workers as their placer sees them: capacity, leases, fencing tokens and health."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import NO_RESOURCES, Resources
from .health import WorkerHealth, make_worker_health

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .model import RunningTask, TaskKey, WorkerEntry

# Share by which a worker's steady clock may be slow, from the platform's pages.
CLOCK_DRIFT = 0.02
# Seconds added to a computed end of a lease: the worker's timers fire late.
LAPSE_MARGIN_S = 0.3
# Bits below the term in a fencing token; they count the bumps within a term.
TOKEN_COUNTER_BITS = 20
CAPACITY_EPSILON = 1e-6  # cores or megabytes lost to rounding


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations that the placer derives its leases from, in seconds.

    Parameters
    ----------
    lease_s : float, seconds
        Lease that each renewal asks for.
    max_lease_s : float, seconds
        Longest lease that any worker grants.
    """

    lease_s: float = 5.0
    max_lease_s: float = 6.0


@dataclass(eq=False, slots=True)
class Slot:
    """Room taken by one run on a worker, from its decision to its proven end.

    Parameters
    ----------
    fencing_token : int
        Token of the start call; a higher token at the worker proves that the call
        can have no effect any more. 0 for a run adopted from an earlier term.
    sent : bool
        Whether the start call has been handed to the network.
    confirmed : bool
        Whether the worker has listed the run or answered that it started.
    confirmed_ms : int, milliseconds
        Worker's clock at that answer; an older report may lack the run.
    stopping_at : float, seconds
        When a stop was asked for; 0 if none was.
    urgent : bool
        Whether its queue comes before all others.
    full_run : bool
        Whether the time since `started_at` covers the whole task: the run was not
        resumed from a checkpoint, and it was started in this term.
    """

    key: TaskKey
    run: int
    need: Resources
    run_time_s: float
    fencing_token: int = 0
    sent: bool = False
    confirmed: bool = False
    confirmed_ms: int = 0
    started_at: float = 0.0
    stopping_at: float = 0.0
    percent: float = 0.0
    progressed_at: float = 0.0
    checkpoint: str = ""
    full_run: bool = False
    urgent: bool = False


@dataclass(eq=False)
class Worker:
    """One worker in one term of the placer.

    Parameters
    ----------
    entry : WorkerEntry
        Newest registration.
    fencing_token : int
        Token that the next call carries.
    lapse_at : float, seconds
        Time from which no lease on the worker can still hold unless it is renewed.
    registered : bool
        Whether the registration is still there.
    confirmed_token : int
        Token of the newest renewal that the worker has answered; 0 before any.
    slots : dict
        Runs that take room, by task and run number.
    reachable : bool
        Whether the newest renewal was answered.
    urgent_cores : float
        Cores that runs of urgent queues take.
    last_seen_end, last_acked_end : int
        Number of the newest end processed, and of the newest one in the journal.
    clock_ms, clock_at : int, float
        Newest reading of the worker's clock, and when it was received.
    report_ms : int, milliseconds
        Worker's clock at its newest report; older ones are ignored.
    """

    entry: WorkerEntry
    fencing_token: int
    lapse_at: float
    registered: bool = True
    confirmed_token: int = 0
    slots: dict[tuple[TaskKey, int], Slot] = field(default_factory=dict)
    free: Resources = NO_RESOURCES
    urgent_cores: float = 0.0
    health: WorkerHealth = field(default_factory=make_worker_health)
    reachable: bool = False
    last_seen_end: int = 0
    last_acked_end: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    report_ms: int = 0

    def __post_init__(self) -> None:
        self.free = self.entry.capacity

    @property
    def worker_id(self) -> str:
        """Identity of the worker."""
        return self.entry.worker_id

    @property
    def rack(self) -> str:
        """Label of the worker's rack; labels other than the kind name the rack."""
        return self.entry.labels[-1] if self.entry.labels else ""

    @property
    def kind(self) -> str:
        """Label of the worker's kind; empty if only the rack is named."""
        return self.entry.labels[0] if len(self.entry.labels) > 1 else ""

    def accepts_starts(self) -> bool:
        """Return whether new runs may be placed here."""
        return (
            self.registered
            and self.reachable
            and not self.entry.draining
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
        """Take room for a run that has none yet."""
        if (slot.key, slot.run) in self.slots:
            return
        self.slots[slot.key, slot.run] = slot
        self.free = self.free - slot.need
        if slot.urgent:
            self.urgent_cores += slot.need.cores

    def release(self, key: TaskKey, run: int) -> Slot | None:
        """Give the room of a run back; return its slot if it had one."""
        slot = self.slots.pop((key, run), None)
        if slot is not None:
            self.free = self.free + slot.need
            if slot.urgent:
                self.urgent_cores -= slot.need.cores
        return slot

    def update_clock(self, clock_ms: int, now: float) -> None:
        """Learn the worker's clock from an answer received at ``now``."""
        if clock_ms >= self.clock_ms:
            self.clock_ms, self.clock_at = clock_ms, now

    def lease_end_ms(self, now: float, lease_s: float) -> int:
        """Return the time on the worker's clock at which a new lease ends.

        The lease is counted from the answer that showed the clock, so that the
        result never lies further ahead than ``lease_s`` after the call arrives.
        """
        return self.clock_ms + int((now - self.clock_at + lease_s) * 1000)

    def record_lease(self, lease_until_ms: int) -> None:
        """Remember by when the leases of a sent call have certainly lapsed."""
        left_s = (lease_until_ms - self.clock_ms) / 1000
        end = self.clock_at + left_s / (1 - CLOCK_DRIFT) + LAPSE_MARGIN_S
        self.lapse_at = max(self.lapse_at, end)

    def bump_fencing_token(self) -> None:
        """Use a higher token from the next call on."""
        self.fencing_token += 1

    def expected_in_report(self, report_token: int, clock_ms: int) -> Iterator[Slot]:
        """Yield the runs that are not present if a report does not list them.

        A run whose start call carried a lower token than the report's renewal
        cannot begin any more; one that was confirmed before the report has ended.
        """
        for slot in list(self.slots.values()):
            outdated = slot.sent and slot.fencing_token < report_token
            if outdated or (slot.confirmed and slot.confirmed_ms < clock_ms):
                yield slot

    def update_run(self, row: RunningTask, now: float, clock_ms: int) -> None:
        """Update a run from a row of a report."""
        slot = self.slots[row.key, row.run]
        slot.confirmed, slot.confirmed_ms = True, clock_ms
        slot.checkpoint = row.checkpoint or slot.checkpoint
        if row.percent > slot.percent or not slot.progressed_at:
            slot.percent, slot.progressed_at = row.percent, now


def first_fencing_token(term: int) -> int:
    """Return the lowest fencing token of a term."""
    return term << TOKEN_COUNTER_BITS


def may_extend(now: float, confirmed_at: float, max_unconfirmed_s: float) -> bool:
    """Return whether a placer may still extend leases of running tasks.

    Parameters
    ----------
    confirmed_at : float, seconds
        When the newest journal write that succeeded was sent.
    max_unconfirmed_s : float, seconds
        How long a placer that cannot reach the journal keeps tasks alive.
    """
    return now - confirmed_at < max_unconfirmed_s
