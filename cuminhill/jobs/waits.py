"""Waits of ready steps, for log lines, metrics and the dump."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any

# Waits shorter than this, which starts and calls for advice take, are not explained.
EXPLAINED_AFTER_S = 1.0
# Time between two explanations of a step, and most of them in a decision: each looks at
# all workers of a pool, which takes longer than to find that the step can't be placed.
EXPLAIN_INTERVAL_S = 0.5
MAX_EXPLAINED_STEPS = 5
# A line about a step is written at a change of the reason or when its wait has passed
# one of these times, and at most once in the interval.
WAIT_LEVELS_S = (1.0, 3.0, 10.0, 30.0)
LINE_INTERVAL_S = 1.0
# Lines about waits in a second; the log of a process takes 600 of all kinds.
MAX_LINES_PER_S = 30
# Waiting steps in the dump of the placer.
MAX_DUMPED_STEPS = 10


class WaitReason(StrEnum):
    """Why no task of a ready step was placed."""

    ADVICE_CALLING = "advice_calling"  # a call for advice is under way
    ADVICE_FAILED = "advice_failed"  # the newest call failed
    ADVICE_NOT_ASKED = "advice_not_asked"  # no call has been made for the workers
    TICKETS_LAPSED = "tickets_lapsed"  # permitted workers with room have no ticket
    NOT_PERMITTED = "not_permitted"  # advice permits no worker, or too few with room
    NO_WORKERS = "no_workers"  # no worker of the pool accepts starts
    LABEL = "label"  # none of them has the label that the step requires
    MAX_PER_WORKER = "max_per_worker"  # workers hold the most tasks that they may
    NO_ROOM = "no_room"
    TEAM_CAP = "team_cap"  # the cap of the team admits no more now
    # The gang, or a single task, needs more than the whole cap of its team.
    OVER_TEAM_CAP = "over_team_cap"
    SURPLUS = "surplus"  # the free cores are left to jobs that are not surplus
    RESERVED = "reserved"  # the room is reserved for other steps
    HELD = "held"  # the room is kept for lasting tasks
    HEADROOM = "headroom"  # the room is headroom for urgent work
    NEAR_PLACE = "near_place"  # a local place is worth leaving other room unused
    GANG_ENDING = "gang_ending"  # other tasks of the gang have not been stopped yet
    RECORD_LIMIT = "record_limit"  # the record of the job has no row for more tasks
    NOT_CONSIDERED = "not_considered"  # other steps had their turn
    QUEUE_GONE = "queue_gone"
    TERM_INACTIVE = "term_inactive"  # the term may not start tasks
    OTHER = "other"  # such as a worker on which a suspect starts

    @property
    def kind(self) -> str:
        """``"advice"`` for a wait for advice or tickets, otherwise ``"room"``."""
        return "advice" if self in _FOR_ADVICE else "room"


_FOR_ADVICE = frozenset(
    {
        WaitReason.ADVICE_CALLING,
        WaitReason.ADVICE_FAILED,
        WaitReason.ADVICE_NOT_ASKED,
        WaitReason.TICKETS_LAPSED,
    }
)


@dataclass(slots=True)
class WaitCounts:
    """Counts of workers and room behind a reason.

    Parameters
    ----------
    pool : int
        Workers of the pool that accept starts.
    eligible : int
        Those with the label of the step and fewer than its most tasks per worker.
    asked, permitted : int
        Eligible workers named in a call for advice, and permitted.
    ticket : int
        Permitted workers with a valid ticket and room that the step may use.
    room : int
        Eligible workers with room for a task that advice does not forbid.
    fitting : int
        Tasks that fit on these together.
    unreserved, unheld, startable : int
        Those of them that fit in room that is not reserved, that is not kept for
        lasting tasks either, and that has tickets besides.
    reserved : int
        Eligible workers reserved for other steps.
    used_share : float
        Share of the pool's cores in use.
    """

    pool: int = 0
    eligible: int = 0
    asked: int = 0
    permitted: int = 0
    ticket: int = 0
    room: int = 0
    fitting: int = 0
    unreserved: int = 0
    unheld: int = 0
    startable: int = 0
    reserved: int = 0
    used_share: float = 0.0


@dataclass(frozen=True, slots=True)
class TeamCounts:
    """Usage and cap of a team behind a reason; an amount of 0 is no limit."""

    team: str
    team_cores: float
    team_memory_mb: float
    team_accelerators: float
    cap_cores: float
    cap_memory_mb: float
    cap_accelerators: float


@dataclass(frozen=True, slots=True)
class WaitCause:
    """Why a step waits.

    Parameters
    ----------
    n_wanted : int
        Tasks that may start.
    """

    reason: WaitReason
    n_wanted: int
    counts: WaitCounts | TeamCounts | None = None

    def fields(self) -> dict[str, Any]:
        """Return the fields of log lines and dumps."""
        found = asdict(self.counts) if self.counts is not None else {}
        return {"reason": str(self.reason), "wanted": self.n_wanted, **found}


@dataclass(eq=False, slots=True)
class StepWait:
    """Wait of a ready step for the placement of its first or next task, in this term.

    Parameters
    ----------
    since : float, seconds
        When the step was first seen to wait; 0 if none of its tasks waits.
    cause : WaitCause or None
        What was found last; None in the first second.
    counted_at, explained_at : float, seconds
        Up to when the times by reason count, and when the cause was found.
    by_reason : dict of str to float
        Seconds by reason.
    place_since : float, seconds
        When room was first left unused for a local placement; 0 if it was not.
    told_reason, told_level, told_at
        Reason and number of `WAIT_LEVELS_S` in the newest log line, and when it was
        written.
    """

    since: float = 0.0
    cause: WaitCause | None = None
    counted_at: float = 0.0
    explained_at: float = 0.0
    by_reason: dict[str, float] = field(default_factory=dict)
    place_since: float = 0.0
    told_reason: str = ""
    told_level: int = 0
    told_at: float = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the wait is to be explained now."""
        return (
            0 < self.since <= now - EXPLAINED_AFTER_S
            and now - self.explained_at >= EXPLAIN_INTERVAL_S
        )

    def count(self, now: float) -> None:
        """Add the time since the last call to the reason that was found last."""
        if self.cause is not None:
            name = str(self.cause.reason)
            passed_s = now - self.counted_at
            self.by_reason[name] = self.by_reason.get(name, 0.0) + passed_s
        self.counted_at = now

    def longest_reason(self) -> str:
        """Return the reason that accounts for most of the wait."""
        return max(self.by_reason, key=self.by_reason.__getitem__, default="unknown")

    def fields(self, now: float) -> dict[str, Any]:
        """Return the fields that tell the whole wait."""
        times = {name: round(time_s, 3) for name, time_s in self.by_reason.items()}
        return {"step_waited_s": round(now - self.since, 3), "step_waits": times}

    def take_line(self, now: float) -> bool:
        """Return whether a log line is to be written now, and note that it is."""
        waited_s = now - self.since
        level = sum(waited_s >= limit for limit in WAIT_LEVELS_S)
        if self.cause is None or not level or now - self.told_at < LINE_INTERVAL_S:
            return False
        if self.cause.reason == self.told_reason and level <= self.told_level:
            return False
        self.told_reason, self.told_level = self.cause.reason, level
        self.told_at = now
        return True


@dataclass(eq=False, slots=True)
class LineLimit:
    """Limits the log lines about waits in a second."""

    began_at: float = 0.0
    n_lines: int = 0

    def has_left(self, now: float) -> bool:
        """Return whether a line may be written now."""
        if now - self.began_at >= 1.0:
            self.began_at, self.n_lines = now, 0
        return self.n_lines < MAX_LINES_PER_S
