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
# Time for which a VM that has not answered a call takes no others, doubled for each
# further failure: only another call shows whether the service answers it again.
EXCLUDE_S, MAX_EXCLUDE_S = 1.0, 4.0
# A VM whose last answer is older than the failure of another one by more than this is
# doubtful: VMs fail together when their failure domain is cut off.
RECENT_S = 1.0
# Time lost by a call through a VM that is out of reach: the time-out of the ping before
# it and the pause after it.
UNREACHED_S = 0.45
# Pause between a failure of a VM and the first ping to it, which tells soon whether it
# was out of reach for a moment only, and between further pings, doubled each time.
FIRST_PING_S = 0.05
PING_PAUSE_S, MAX_PING_PAUSE_S = 0.25, 1.0
# Pings under way; a VM that is cut off holds one for the whole time-out.
MAX_PINGS = 32
# Pause behind a ping, and behind one to a VM that has not answered the one before. They
# bound the load of the placer on a site with hundreds of VMs.
PING_SPACING_S, REPEATED_PING_SPACING_S = 0.01, 0.03


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
    failed_at : float or None, seconds
        When the newest call failed; None if it did not.
    is_new : bool
        Whether no decision has considered the newest answer.
    """

    permitted: dict[str, str] = field(default_factory=dict)
    ticket_incarnations: dict[str, int] = field(default_factory=dict)
    ticket_until: dict[str, float] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)
    calling: bool = False
    retry_at: float = 0.0
    failed_at: float | None = None
    is_new: bool = False

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
        self.calling, self.failed_at = False, None
        self.is_new = True
        self.retry_at = 0.0
        self.asked.update(named)
        for worker_id, ticket in tickets:
            self.permitted[worker_id] = ticket
            self.ticket_incarnations[worker_id] = named.get(worker_id, 0)
            self.ticket_until[worker_id] = asked_at + valid_s

    def record_failure(self, now: float, *, refused: bool = False) -> None:
        """Record that a call failed, or that the VM refused it since it is busy."""
        self.calling = False
        self.failed_at = None if refused else now
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
    failed_at : float or None, seconds
        When the call failed that it repeats; None if it repeats none.
    """

    step: str
    workers: dict[str, int]
    cost_s: float
    valid_s: float
    term: int = 0
    rank: CallRank = CallRank.PLACE
    failed_at: float | None = None


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

    def is_new(self, step: str) -> bool:
        """Return whether no decision has considered the newest answer for a step."""
        advice = self.steps.get(step)
        return advice is not None and advice.is_new

    def forget_job(self, job_id: str) -> None:
        """Drop the advice for all steps of a job."""
        prefix = f"{job_id}."
        for step in [name for name in self.steps if name.startswith(prefix)]:
            del self.steps[step]


@dataclass(eq=False, slots=True)
class Adviser:
    """VM through which the advice service can be called.

    A VM of which a call or a ping has failed is out of reach until it has answered a
    ping or an earlier call; the placer pings it meanwhile. So calls don't find out
    whether a VM answers, and the steps that wait for them don't wait for time-outs.

    Parameters
    ----------
    is_local : bool
        Whether it is the placer's own VM, which needs no network.
    busy_until : float, seconds
        When the service is expected to have answered all calls of the VM.
    excluded_until : float, seconds
        Time until which no call is made through the VM since the service has not
        answered one.
    n_failures : int
        Failed calls since the last one that was answered; those made before another
        one had failed do not count.
    n_unanswered : int
        Those of them that the service had taken, or may have.
    risk_s : float, seconds
        Time lost by the failed calls.
    has_advised : bool
        Whether a call has been answered.
    heard_at, failed_at : float, seconds
        When the VM last answered a call or a ping, and when a call last failed while
        it was taken for in reach.
    out_of_reach : bool
        Whether it has answered nothing since a call or a ping failed.
    n_calls : int
        Calls under way.
    n_pings : int
        Failed pings since the last answer.
    pinged_at, ping_at : float, seconds
        When the ping under way was sent, infinite if there is none, and the earliest
        time of the next one.
    """

    vm: str
    is_local: bool = False
    busy_until: float = 0.0
    excluded_until: float = 0.0
    n_failures: int = 0
    n_unanswered: int = 0
    risk_s: float = 0.0
    has_advised: bool = False
    heard_at: float = -math.inf
    failed_at: float = -math.inf
    out_of_reach: bool = False
    n_calls: int = 0
    n_pings: int = 0
    pinged_at: float = math.inf
    ping_at: float = -math.inf

    @property
    def is_unheard(self) -> bool:
        """Whether it isn't known yet whether the VM can be reached."""
        return self.heard_at == -math.inf and not self.is_local

    def wait_s(self, now: float) -> float:
        """Return the expected wait of a call for the earlier ones, in seconds."""
        return max(0.0, self.busy_until - now)

    def takes_calls(self, now: float) -> bool:
        """Return whether calls may be made through the VM."""
        return now >= self.excluded_until and not self.out_of_reach

    def record_answer(self, now: float, backlog_s: float = -1.0) -> None:
        """Record that the VM has answered a call.

        Parameters
        ----------
        backlog_s : float, seconds
            When it expects to have answered the others that it has; negative if
            unknown.
        """
        self.n_failures, self.n_unanswered, self.risk_s = 0, 0, 0.0
        self.has_advised = True
        self.excluded_until = min(self.excluded_until, now)
        self._note_heard(now)
        self._end_call()
        if backlog_s < 0:
            return
        if self.n_calls:  # some may not have reached it yet
            self.busy_until = max(self.busy_until, now + backlog_s)
        else:
            self.busy_until = now + backlog_s

    def record_refusal(self, now: float, backlog_s: float) -> None:
        """Record that the VM has refused a call since it has too many."""
        self._note_heard(now)
        self._end_call()
        self.busy_until = now + backlog_s

    def record_failure(
        self, now: float, unsent_s: float = 0.0, lost_s: float = UNREACHED_S
    ) -> None:
        """Record that a call failed.

        The service may still be working on a call that was sent, and only a later call
        shows whether it answers the VM again; so the VM is excluded, each time for
        longer. Calls that fail while it is were sent earlier and do not count.

        Parameters
        ----------
        unsent_s : float, seconds
            Expected time of the call if it was certainly not sent to the service.
        lost_s : float, seconds
            Time that the call has cost its step.
        """
        self._end_call()
        self.busy_until -= unsent_s
        was_in_reach = not self.out_of_reach
        if was_in_reach and not self.is_local:
            self.out_of_reach, self.failed_at = True, now
            self.ping_at = now + FIRST_PING_S
        unanswered = self.is_local or not unsent_s
        if now < self.excluded_until or not (unanswered or was_in_reach):
            return
        if unanswered:
            self.n_unanswered += 1
            delay_s = min(MAX_EXCLUDE_S, EXCLUDE_S * 2**self.n_failures)
            self.excluded_until = now + delay_s
        self.n_failures += 1
        self.risk_s += lost_s

    def begin_ping(self, now: float) -> None:
        """Record that a ping is sent."""
        self.pinged_at = now

    def record_ping(self, now: float, *, answered: bool) -> None:
        """Record the end of a ping.

        Parameters
        ----------
        answered : bool
            Whether the VM has answered it.
        """
        sent_at, self.pinged_at = self.pinged_at, math.inf
        if answered:
            self._note_heard(now)
        elif self.heard_at < sent_at:  # nor has it answered a call meanwhile
            self.out_of_reach = True
            pause_s = min(MAX_PING_PAUSE_S, PING_PAUSE_S * 2 ** min(9, self.n_pings))
            self.ping_at = now + pause_s
            self.n_pings += 1

    def _note_heard(self, now: float) -> None:
        self.heard_at = now
        self.out_of_reach, self.n_pings = False, 0

    def _end_call(self) -> None:
        self.n_calls = max(0, self.n_calls - 1)


class Evidence(NamedTuple):
    """What the placer knows of the VMs that take calls.

    Parameters
    ----------
    proven : list of Adviser
        VMs of which nothing suggests that they do not answer.
    doubtful : list of Adviser
        VMs with a failed call since the last one that was answered, those that have not
        been heard of since others failed, and those that have only answered pings while
        calls through others are not answered.
    unanswered_s : float, seconds
        Time lost by a call that is not answered; that of one that is not sent if all
        were answered.
    """

    proven: list[Adviser]
    doubtful: list[Adviser]
    unanswered_s: float

    def risk_s(self, adviser: Adviser) -> float:
        """Return the time that a call through a doubtful VM may cost, in seconds."""
        if adviser.n_failures:
            return adviser.risk_s
        return UNREACHED_S if adviser.has_advised else self.unanswered_s


def weigh_evidence(advisers: Iterable[Adviser], now: float) -> Evidence:
    """Return the VMs that take calls, those apart that may not answer."""
    known = list(advisers)
    failed_at, unanswered_s, any_out = -math.inf, 0.0, False
    for item in known:
        failed_at = max(failed_at, item.failed_at)
        any_out = any_out or item.out_of_reach
        if item.n_unanswered:
            unanswered_s = max(unanswered_s, item.risk_s / item.n_failures)
    any_failed = any_out or failed_at > -math.inf
    suspect_since = failed_at - RECENT_S
    proven, doubtful = [], []
    for item in known:
        if not item.takes_calls(now):
            continue
        if (
            item.n_failures
            or (any_failed and item.is_unheard)
            or (unanswered_s and not item.has_advised)
            or (item.heard_at < suspect_since and not item.is_local)
        ):
            doubtful.append(item)
        else:
            proven.append(item)
    return Evidence(proven, doubtful, unanswered_s or UNREACHED_S)


def _newest_failure(advisers: Iterable[Adviser]) -> float:
    return max((item.failed_at for item in advisers), default=-math.inf)


def next_ping(advisers: Iterable[Adviser], now: float) -> Adviser | None:
    """Return the VM to ping now, None if there is none or enough are under way.

    These are the VMs out of reach and those of which it isn't known whether they are in
    reach: a term has heard of none at its begin, and when one fails the others of its
    failure domain may have failed as well.
    """
    known = [item for item in advisers if not item.is_local]
    if sum(item.pinged_at < math.inf for item in known) >= MAX_PINGS:
        return None
    # An answer before the failed call was sent does not count.
    unproven_since = _newest_failure(known) - UNREACHED_S
    due = (
        item
        for item in known
        if item.pinged_at == math.inf
        and now >= item.ping_at
        and (item.out_of_reach or item.is_unheard or item.heard_at < unproven_since)
    )
    return min(due, key=lambda item: (item.n_pings > 0, item.ping_at), default=None)


def ping_spacing_s(adviser: Adviser) -> float:
    """Return the pause behind a ping to a VM before the next one, in seconds."""
    return REPEATED_PING_SPACING_S if adviser.n_pings else PING_SPACING_S


def adviser_states(advisers: Iterable[Adviser], now: float) -> dict[str, int]:
    """Return the numbers of VMs by whether calls for advice are made through them."""
    known = list(advisers)
    evidence = weigh_evidence(known, now)
    n_out = sum(item.out_of_reach for item in known)
    n_able = len(evidence.proven) + len(evidence.doubtful)
    return {
        "in_use": len(evidence.proven),
        "doubtful": len(evidence.doubtful),
        "out_of_reach": n_out,
        "excluded": len(known) - n_able - n_out,
    }


def find_adviser(
    advisers: Iterable[Adviser], call: AdviceCall, now: float
) -> Adviser | None:
    """Return the VM through which a call is made now, None if it has to wait."""
    known = list(advisers)
    if call.rank <= CallRank.RETURN:
        max_wait_s = MAX_ADVISER_QUEUE_S
    elif call.rank <= CallRank.AHEAD or call.cost_s <= LONG_CALL_S:
        max_wait_s = MAX_PATIENT_QUEUE_S
    else:
        max_wait_s = 0.0
        evidence = weigh_evidence(known, now)
        able = _able(evidence.proven or evidence.doubtful, call.cost_s)
        n_idle = sum(adviser.busy_until <= now for adviser in able)
        if n_idle <= SPARE_FRACTION * len(able):
            return None
    return choose_adviser(known, now, call.cost_s, max_wait_s, call.failed_at)


def _able(advisers: list[Adviser], cost_s: float) -> list[Adviser]:
    """Return the VMs that may get a call of some length."""
    if cost_s > LONG_CALL_S:
        return advisers[int(SHORT_CALL_FRACTION * len(advisers)) :]
    return advisers


def choose_adviser(
    advisers: Iterable[Adviser],
    now: float,
    cost_s: float,
    max_wait_s: float,
    failed_at: float | None = None,
) -> Adviser | None:
    """Return the VM whose calls end first, None if all are too busy.

    The service handles the calls of one VM one after the other, so calls are spread
    over the VMs. A third of the VMs get no long calls, such as those of large
    lower-priority steps, so that the short call of an urgent step never waits for one.
    It is a third of those that answer, however few these are.

    Parameters
    ----------
    max_wait_s : float, seconds
        Longest wait for a VM's earlier calls.
    failed_at : float or None, seconds
        When the call failed that this one repeats; None if it repeats none.
    """
    evidence = weigh_evidence(advisers, now)

    def rank(item: Adviser) -> tuple[float, bool]:
        busy_until = item.busy_until
        return busy_until if busy_until > now else now, item.is_unheard

    best = min(_able(evidence.proven, cost_s), key=rank, default=None)
    if best is None or best.wait_s(now) > max_wait_s:
        trial = _choose_trial(evidence, best, now, cost_s, failed_at)
        best = trial or best
    if best is None or best.wait_s(now) > max_wait_s:
        return None
    best.busy_until = max(now, best.busy_until) + cost_s
    best.n_calls += 1
    return best


def _choose_trial(
    evidence: Evidence,
    best: Adviser | None,
    now: float,
    cost_s: float,
    failed_at: float | None,
) -> Adviser | None:
    """Return the doubtful VM to try while the others are too busy, None for none.

    At most as many are tried at a time as answer, each with one call: few calls are
    lost, and after an outage of all VMs these are soon in use again. A call that has
    failed before is only lost again if it has waited for as long as that may cost.
    """
    able = _able(evidence.doubtful, cost_s)
    if best is None:
        return min(
            able,
            key=lambda item: item.wait_s(now) + evidence.risk_s(item),
            default=None,
        )
    n_trials = sum(item.n_calls > 0 for item in evidence.doubtful)
    able = [item for item in able if not item.n_calls and item.busy_until <= now]
    trial = min(able, key=evidence.risk_s, default=None)
    if trial is None or n_trials >= max(1, len(evidence.proven)):
        return None
    if failed_at is not None:
        waiting_s = now - failed_at + best.wait_s(now)
        if waiting_s < evidence.risk_s(trial):
            return None
    return trial
