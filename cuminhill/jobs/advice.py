"""Placement advice: which workers may run a step, and tickets for them.

The set of workers permitted for a step never changes, so the answers are cached.
Tickets lapse and are renewed for a few workers when the step is about to be placed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .model import AdviceTerms

# A ticket is not used if it lapses within this time, so that the start arrives in time.
TICKET_MARGIN_S = 0.25
# Delay before a failed call is repeated, through another VM.
RETRY_S = 0.05
# Calls longer than LONG_CALL_S leave this fraction of the VMs to shorter calls: the
# call of an urgent step would wait behind them for longer than it takes itself.
LONG_CALL_S = 0.2
SHORT_CALL_FRACTION = 1 / 3
# Most calls for advice queued on one VM, as their total service time. A step that is
# not urgent gets a call only shortly before a VM has answered the others, so that calls
# of more urgent steps do not wait for it; the time covers the pause between decisions.
MAX_ADVISER_QUEUE_S, MAX_PATIENT_QUEUE_S = 0.8, 0.3
# Calls that only renew tickets start on idle VMs, and leave this fraction of them idle.
SPARE_FRACTION = 0.5
# Time for which a VM that has not answered takes no calls, doubled for each further
# failure: a call into a partition costs its step the whole time-out.
EXCLUDE_S, MAX_EXCLUDE_S = 1.0, 4.0
# Time after the failure of a call for which VMs without a recent answer come last.
SUSPECT_S = 2.0


@dataclass(eq=False, slots=True)
class StepAdvice:
    """Cached advice for one step.

    Parameters
    ----------
    permitted : dict
        Permitted workers and the newest ticket for each.
    ticket_incarnations : dict
        Incarnation of the worker for which each ticket was issued; the ticket is
        void for any other.
    ticket_until : dict
        When each ticket lapses, in seconds.
    asked : dict
        Workers that were named in an answered call, permitted or not, and their
        incarnations.
    calling : bool
        Whether a call is in progress.
    retry_at : float, seconds
        Time before which no call is made after a failed one; 0 unless the newest call
        with an outcome has failed.
    """

    permitted: dict[str, str] = field(default_factory=dict)
    ticket_incarnations: dict[str, int] = field(default_factory=dict)
    ticket_until: dict[str, float] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)
    calling: bool = False
    retry_at: float = 0.0

    def ticket(self, worker_id: str, incarnation: int, now: float) -> str:
        """Return a ticket that is valid for a start now, or an empty string."""
        if self.ticket_incarnations.get(worker_id) != incarnation:
            return ""
        if now > self.ticket_until.get(worker_id, 0.0) - TICKET_MARGIN_S:
            return ""
        return self.permitted.get(worker_id, "")

    @property
    def has_failed(self) -> bool:
        """Whether the newest call with an outcome has failed."""
        return self.retry_at > 0

    def permits(self, worker_id: str) -> bool:
        """Return whether a worker may run the step, with or without a valid ticket."""
        return worker_id in self.permitted

    def has_valid_ticket(self, now: float) -> bool:
        """Return whether any ticket is valid."""
        return any(
            now <= until - TICKET_MARGIN_S for until in self.ticket_until.values()
        )

    def drop_ticket(self, worker_id: str) -> None:
        """Drop a ticket that its worker has rejected."""
        self.ticket_until.pop(worker_id, None)

    def store_answer(
        self,
        named: dict[str, int],
        tickets: Iterable[tuple[str, str]],
        asked_at: float,
        valid_s: float,
    ) -> None:
        """Store the answer to a call.

        Parameters
        ----------
        named : dict
            Workers named in the call and their incarnations.
        tickets : iterable of (str, str)
            Permitted workers and their tickets.
        asked_at : float, seconds
            Time from which the validity of the tickets is counted.
        valid_s : float, seconds
            Validity of the tickets.
        """
        self.calling = False
        self.retry_at = 0.0
        self.asked.update(named)
        for worker_id, ticket in tickets:
            self.permitted[worker_id] = ticket
            self.ticket_incarnations[worker_id] = named.get(worker_id, 0)
            self.ticket_until[worker_id] = asked_at + valid_s

    def record_failure(self, now: float) -> None:
        """Record that a call failed."""
        self.calling = False
        self.retry_at = now + RETRY_S


class CallRank(IntEnum):
    """Order of calls for advice; lower ranks are made first."""

    URGENT = 0
    RETURN = 1  # lasting tasks that have been lost, or will be given up soon
    PLACE = 2
    AHEAD = 3  # steps that are not ready
    RENEW_RETURN = 4  # lost lasting tasks of which none fits now
    RENEW = 5  # other steps of which no task fits now


@dataclass(frozen=True, slots=True)
class AdviceCall:
    """Call for advice that is to be made.

    Parameters
    ----------
    step : str
        Name of the step.
    workers : dict
        Workers to name and their incarnations.
    cost_s : float, seconds
        Expected time that the service takes for the call.
    valid_s : float, seconds
        Validity of the tickets in the answer.
    term : int
        Term of the placer that makes the call.
    rank : CallRank
        What the call is for.
    """

    step: str
    workers: dict[str, int]
    cost_s: float
    valid_s: float
    term: int = 0
    rank: CallRank = CallRank.PLACE


class AdviceAnswer(NamedTuple):
    """Answer to a call for advice.

    Parameters
    ----------
    tickets : list of (str, str)
        Permitted workers and their tickets.
    waited_s : float, seconds
        How long the call waited for earlier calls of its VM; negative if unknown.
    backlog_s : float, seconds
        When the VM expects to have answered its other calls; negative if unknown.
    """

    tickets: list[tuple[str, str]]
    waited_s: float = -1.0
    backlog_s: float = -1.0


def make_advice_call(
    step: str,
    workers: dict[str, int],
    terms: AdviceTerms,
    rank: CallRank = CallRank.PLACE,
) -> AdviceCall:
    """Return a call for advice on some workers for a step."""
    cost_s = terms.decide_s + terms.per_worker_s * len(workers)
    return AdviceCall(step, workers, cost_s, terms.valid_s, rank=rank)


@dataclass(eq=False)
class AdviceTable:
    """Cached advice for all waiting steps."""

    steps: dict[str, StepAdvice] = field(default_factory=dict)

    def for_step(self, step: str) -> StepAdvice:
        """Return the advice for a step, created if missing."""
        advice = self.steps.get(step)
        if advice is None:
            advice = self.steps[step] = StepAdvice()
        return advice

    def forget_job(self, job_id: str) -> None:
        """Drop the advice for all steps of a job."""
        prefix = f"{job_id}."
        for step in [name for name in self.steps if name.startswith(prefix)]:
            del self.steps[step]


@dataclass(eq=False, slots=True)
class Adviser:
    """VM through which the advice service can be called.

    Parameters
    ----------
    busy_until : float, seconds
        When the service is expected to have answered all calls of the VM.
    excluded_until : float, seconds
        Time until which no call is made through the VM.
    n_failures : int
        Exclusions since the last answer.
    answered_at, failed_at : float, seconds
        When the VM last answered a call, and when a call through it last failed.
    n_calls : int
        Calls under way.
    """

    vm: str
    busy_until: float = 0.0
    excluded_until: float = 0.0
    n_failures: int = 0
    answered_at: float = 0.0
    failed_at: float = -math.inf
    n_calls: int = 0

    def record_answer(self, now: float, backlog_s: float = -1.0) -> None:
        """Record that the VM has answered a call.

        Parameters
        ----------
        backlog_s : float, seconds
            When it expects to have answered the others that it has; negative if
            unknown.
        """
        self.n_failures = 0
        self.answered_at = now
        self._end_call()
        if backlog_s < 0:
            return
        if self.n_calls:  # some may not have reached it yet
            self.busy_until = max(self.busy_until, now + backlog_s)
        else:
            self.busy_until = now + backlog_s

    def record_refusal(self, now: float, backlog_s: float) -> None:
        """Record that the VM has refused a call since it has too many."""
        self.answered_at = now
        self._end_call()
        self.busy_until = now + backlog_s

    def record_failure(self, now: float, unsent_s: float = 0.0) -> None:
        """Exclude the VM, each time for longer.

        Calls that fail while it is excluded were sent earlier and do not count. The
        service may still be working on the calls that were sent.

        Parameters
        ----------
        unsent_s : float, seconds
            Expected time of the call if it was certainly not sent to the service.
        """
        self.failed_at = now
        self._end_call()
        self.busy_until -= unsent_s
        if now < self.excluded_until:
            return
        delay_s = min(MAX_EXCLUDE_S, EXCLUDE_S * 2**self.n_failures)
        self.excluded_until = now + delay_s
        self.n_failures += 1

    def _end_call(self) -> None:
        self.n_calls = max(0, self.n_calls - 1)


def find_adviser(
    advisers: Iterable[Adviser], call: AdviceCall, now: float
) -> Adviser | None:
    """Return the VM through which a call is made now, None if it has to wait."""
    known = list(advisers)
    if call.rank <= CallRank.RETURN:
        return choose_adviser(known, now, call.cost_s, MAX_ADVISER_QUEUE_S)
    if call.rank <= CallRank.AHEAD or call.cost_s <= LONG_CALL_S:
        return choose_adviser(known, now, call.cost_s, MAX_PATIENT_QUEUE_S)
    able = _able(known, now, call.cost_s)
    n_idle = sum(adviser.busy_until <= now for adviser in able)
    if n_idle <= SPARE_FRACTION * len(able):
        return None
    return choose_adviser(known, now, call.cost_s, 0.0)


def _able(advisers: Iterable[Adviser], now: float, cost_s: float) -> list[Adviser]:
    """Return the VMs that may get a call of some length, excluded ones left out."""
    able = [adviser for adviser in advisers if now >= adviser.excluded_until]
    if cost_s > LONG_CALL_S:
        able = able[int(SHORT_CALL_FRACTION * len(able)) :]
    return able


def choose_adviser(
    advisers: Iterable[Adviser], now: float, cost_s: float, max_wait_s: float
) -> Adviser | None:
    """Return the VM whose calls end first, None if all are too busy.

    The service handles the calls of one VM one after the other, so calls are spread
    over the VMs. A third of the VMs get no long calls, such as those of large
    lower-priority steps, so that the short call of an urgent step never waits for one.
    """
    known = list(advisers)
    able = _able(known, now, cost_s)
    # VMs fail together when their failure domain is cut off, so after a failure those
    # that have answered since are asked first.
    failed_at = max((item.failed_at for item in known), default=-math.inf)
    if now - failed_at < SUSPECT_S:
        proven = [item for item in able if item.answered_at > failed_at - SUSPECT_S / 2]
        able = [item for item in proven if item.busy_until - now <= max_wait_s] or able
    best = min(able, key=lambda item: max(now, item.busy_until), default=None)
    if best is None or best.busy_until - now > max_wait_s:
        return None
    best.busy_until = max(now, best.busy_until) + cost_s
    best.n_calls += 1
    return best
