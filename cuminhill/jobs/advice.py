"""Placement advice: which workers may run a step, and tickets for them.

The set of permitted workers of a step never changes, so it is learned once; tickets
lapse and are renewed for a few workers when the step is about to be placed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .model import AdviceTerms

# A ticket is not used this short before it expires, so that the start arrives in time.
TICKET_MARGIN_S = 0.25
# Failed calls are repeated after this time.
RETRY_S = 0.2
# Calls that take longer leave this share of the VMs to shorter ones: an urgent step
# would wait behind them for longer than its own call takes.
LONG_CALL_S = 0.2
SHORT_CALL_FRACTION = 1 / 3


@dataclass(eq=False, slots=True)
class StepAdvice:
    """What is known about the workers of one step.

    Parameters
    ----------
    permitted : dict
        Permitted workers and the newest ticket for each.
    ticket_incarnations : dict
        Incarnation of the worker for which each ticket was issued; the ticket is
        void for any other.
    ticket_until : dict
        Time at which each ticket lapses, in seconds.
    asked : dict
        Workers that were named in an answered call, permitted or not, and their
        incarnations.
    calling : bool
        Whether a call is in progress.
    retry_at : float, seconds
        Time before which no call is made after a failed one.
    """

    permitted: dict[str, str] = field(default_factory=dict)
    ticket_incarnations: dict[str, int] = field(default_factory=dict)
    ticket_until: dict[str, float] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)
    calling: bool = False
    retry_at: float = 0.0

    def ticket(self, worker_id: str, incarnation: int, now: float) -> str:
        """Return a ticket that is still good for a start, or an empty string."""
        if self.ticket_incarnations.get(worker_id) != incarnation:
            return ""
        if now > self.ticket_until.get(worker_id, 0.0) - TICKET_MARGIN_S:
            return ""
        return self.permitted.get(worker_id, "")

    def permits(self, worker_id: str) -> bool:
        """Return whether a worker may run the step, with a ticket or without."""
        return worker_id in self.permitted

    def has_valid_ticket(self, now: float) -> bool:
        """Return whether any ticket is still good."""
        return any(
            now <= until - TICKET_MARGIN_S for until in self.ticket_until.values()
        )

    def drop_ticket(self, worker_id: str) -> None:
        """Forget a ticket that a worker has refused."""
        self.ticket_until.pop(worker_id, None)

    def record_answer(
        self,
        named: dict[str, int],
        tickets: Iterable[tuple[str, str]],
        asked_at: float,
        valid_s: float,
    ) -> None:
        """Take in the answer to a call.

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
        self.asked.update(named)
        for worker_id, ticket in tickets:
            self.permitted[worker_id] = ticket
            self.ticket_incarnations[worker_id] = named.get(worker_id, 0)
            self.ticket_until[worker_id] = asked_at + valid_s

    def record_failure(self, now: float) -> None:
        """Note a call without an answer."""
        self.calling = False
        self.retry_at = now + RETRY_S


@dataclass(frozen=True, slots=True)
class AdviceCall:
    """A call to make.

    Parameters
    ----------
    step : str
        Name of the step.
    workers : dict
        Workers to name and their incarnations.
    cost_s : float, seconds
        Expected time of the call at the service.
    """

    step: str
    workers: dict[str, int]
    cost_s: float
    valid_s: float


def make_advice_call(
    step: str, workers: dict[str, int], terms: AdviceTerms
) -> AdviceCall:
    """Return a call for a step that names some workers."""
    cost_s = terms.decide_s + terms.per_worker_s * len(workers)
    return AdviceCall(step, workers, cost_s, terms.valid_s)


@dataclass(eq=False)
class AdviceTable:
    """Advice for all steps that wait."""

    steps: dict[str, StepAdvice] = field(default_factory=dict)

    def for_step(self, step: str) -> StepAdvice:
        """Return the advice for a step, made if it is new."""
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
    """VM that can call the service, and how busy its queue there is."""

    vm: str
    busy_until: float = 0.0
    excluded_until: float = 0.0


def choose_adviser(
    advisers: Iterable[Adviser], now: float, cost_s: float, max_wait_s: float
) -> Adviser | None:
    """Return the VM whose calls end first, None if all are too busy.

    The service serves the calls of one VM in turn, so calls are spread over VMs.

    Pattern: cheap calls of urgent steps beside dear calls of patient ones. A third of
    the VMs takes no dear calls, so that a cheap one never waits for a dear one.
    """
    able = [adviser for adviser in advisers if now >= adviser.excluded_until]
    if cost_s > LONG_CALL_S:
        able = able[int(SHORT_CALL_FRACTION * len(able)) :]
    best = min(able, key=lambda item: max(now, item.busy_until), default=None)
    if best is None or best.busy_until - now > max_wait_s:
        return None
    best.busy_until = max(now, best.busy_until) + cost_s
    return best
