"""Attempts of one request, limited by circuit breakers and retry budgets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .coordination.breaker import Breakers
from .coordination.retry import CallOutcome, RetryBudgets
from .errors import CuminhillError, ProtocolError, UnknownOutcomeError
from .model import AnswerState, Reason

if TYPE_CHECKING:
    from .coordination.breaker import Permit
    from .model import Answer

RETRYABLE_REASONS = frozenset({Reason.OVERLOAD, Reason.UNAVAILABLE, Reason.DRAINING})


class AttemptDeniedError(CuminhillError):
    """Nothing was sent: the breaker is open or the retry budget is spent."""


def call_outcome(exc: CuminhillError) -> CallOutcome:
    """Return what an error says of the effect of the call."""
    # After a protocol error the peer may have failed half-way through the call.
    if isinstance(exc, UnknownOutcomeError | ProtocolError):
        return CallOutcome.UNKNOWN
    return CallOutcome.NOT_SENT


@dataclass(eq=False, slots=True)
class Attempts:
    """Combined outcome of the attempts of one request.

    Parameters
    ----------
    outcome : CallOutcome
        Unknown if any attempt may have taken effect.
    loaded_destinations : set of str
        Destinations at which an attempt may have caused work.
    last_refusal : Answer or None
        Latest answer stating that nothing ran.
    """

    outcome: CallOutcome = CallOutcome.NOT_SENT
    loaded_destinations: set[str] = field(default_factory=set)
    last_refusal: Answer | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt may have run, so that "not run" must not be answered."""
        return self.outcome is CallOutcome.UNKNOWN

    def add_answer(self, answer: Answer, destination: str) -> None:
        """Record the answer to an attempt."""
        if answer.reason not in RETRYABLE_REASONS:
            return
        self.last_refusal = answer
        if answer.reason is Reason.OVERLOAD:
            self.loaded_destinations.add(destination)
        if not self.may_have_run:
            self.outcome = CallOutcome.REFUSED

    def add_unknown(self, destination: str) -> None:
        """Record an attempt that may have taken effect."""
        self.outcome = CallOutcome.UNKNOWN
        self.loaded_destinations.add(destination)

    def is_retry(self, live: set[str]) -> bool:
        """Return whether a further attempt adds to the load of live destinations.

        Work sent to a leader that has been replaced since is lost. If sending it
        again cost tokens, the checks that a paused leader held would use up the
        budget of its successor and wait until their deadline.
        """
        return not self.loaded_destinations.isdisjoint(live)

    def may_contradict(self, answer: Answer) -> bool:
        """Return whether an answer "not run" may be wrong after an earlier attempt."""
        return self.may_have_run and answer.state is AnswerState.NOT_RUN


@dataclass(frozen=True, slots=True)
class AttemptPermit:
    """Permission for one attempt.

    Parameters
    ----------
    token_spent : bool
        Whether a retry token was spent.
    """

    destination: str
    breaker_permit: Permit
    token_spent: bool


@dataclass(eq=False)
class AttemptLimiter:
    """Limits attempts by the breaker and the retry budget of each destination."""

    budgets: RetryBudgets = field(default_factory=RetryBudgets)
    breakers: Breakers = field(default_factory=Breakers)
    n_denied_attempts: int = 0

    def begin_attempt(
        self, destination: str, attempts: Attempts, live: set[str], now: float
    ) -> AttemptPermit:
        """Return the permit for an attempt.

        Parameters
        ----------
        live : set of str
            All current destinations.

        Raises
        ------
        AttemptDeniedError
            If the breaker is open or the budget has no token for a retry.
        """
        breaker = self.breakers.get(destination)
        if breaker.would_allow(now):
            is_retry = attempts.is_retry(live)
            if is_retry and not self.budgets.get(destination).try_spend():
                self.n_denied_attempts += 1
                raise AttemptDeniedError(
                    "the retry budget is spent", step="route", peer=destination
                )
            breaker_permit = breaker.acquire(now)
            assert breaker_permit is not None
            return AttemptPermit(destination, breaker_permit, is_retry)
        breaker.n_rejected += 1
        self.n_denied_attempts += 1
        raise AttemptDeniedError("breaker is open", step="route", peer=destination)

    def answered(self, permit: AttemptPermit, answer: Answer, now: float) -> None:
        """Record that the destination answered the attempt."""
        self.breakers.get(permit.destination).record(permit.breaker_permit, True, now)
        if answer.reason not in RETRYABLE_REASONS:
            self.budgets.get(permit.destination).earn()
        elif answer.reason is not Reason.OVERLOAD:
            self._refund(permit)

    def rejected(self, permit: AttemptPermit, now: float) -> None:
        """Record that the destination responded but does not handle the request."""
        self.breakers.get(permit.destination).record(permit.breaker_permit, True, now)
        self._refund(permit)

    def failed(self, permit: AttemptPermit, outcome: CallOutcome, now: float) -> None:
        """Record that the attempt got no answer."""
        self.breakers.get(permit.destination).record(permit.breaker_permit, False, now)
        if outcome is CallOutcome.NOT_SENT:
            self._refund(permit)

    def dump(self) -> dict[str, Any]:
        """Return budgets, breakers and counters in JSON-ready form."""
        return {
            "n_held_back": self.n_denied_attempts,
            "retry_budgets": self.budgets.dump(),
            "breakers": self.breakers.dump(),
        }

    def _refund(self, permit: AttemptPermit) -> None:
        # The attempt caused no work at the destination. Without the refund the polls
        # for a new leader during a failover would use up the retries needed after it.
        if permit.token_spent:
            self.budgets.get(permit.destination).refund()
