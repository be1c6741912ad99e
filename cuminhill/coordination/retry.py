"""Retries: budgets, backoff, deadlines and which calls may be retried."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

EARN_PER_SUCCESS = 0.1  # tokens; retries add at most a tenth to the load
MAX_TOKENS = 10.0
RETRY_COST = 1.0  # tokens
MAX_DESTINATIONS = 1024
BACKOFF_BASE_S = 0.02
BACKOFF_FACTOR = 2.0
BACKOFF_CAP_S = 0.5


class CallOutcome(StrEnum):
    """What is known of the effect of a failed call."""

    NOT_SENT = "not_sent"  # certainly no effect
    REFUSED = "refused"  # the other side answered that it took no effect
    UNKNOWN = "unknown"  # may have taken effect


def may_retry(idempotent: bool, outcome: CallOutcome) -> bool:
    """Return whether a call may be sent again.

    Parameters
    ----------
    idempotent : bool
        Whether the call may take effect twice without harm.
    outcome : CallOutcome
        Outcome of the earlier attempt.
    """
    return idempotent or outcome is not CallOutcome.UNKNOWN


@dataclass(frozen=True, slots=True)
class Deadline:
    """Deadline that is passed along the path of a request.

    Parameters
    ----------
    at : float, seconds
        Time on the clock on which ``now`` is given.
    """

    at: float

    def remaining(self, now: float) -> float:
        """Return the time left, in seconds; never negative."""
        return max(0.0, self.at - now)

    def fits(self, now: float, duration_s: float) -> bool:
        """Return whether something that takes ``duration_s`` ends in time."""
        return now + duration_s <= self.at

    def within(self, now: float, limit_s: float) -> Deadline:
        """Return the earlier of this deadline and ``limit_s`` from now."""
        return Deadline(min(self.at, now + limit_s))


@dataclass(slots=True)
class RetryBudget:
    """Tokens for retries to one destination.

    Parameters
    ----------
    tokens : float
        Tokens left; a new destination starts with a full budget.
    """

    tokens: float = MAX_TOKENS
    n_spent: int = 0
    n_denied: int = 0

    def earn(self) -> None:
        """Count a success."""
        self.tokens = min(MAX_TOKENS, self.tokens + EARN_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Spend the cost of one retry; return whether the budget allowed it."""
        # Ten earned tenths sum to slightly less than one in floating point.
        if self.tokens < RETRY_COST - 1e-9:
            self.n_denied += 1
            return False
        self.tokens = max(0.0, self.tokens - RETRY_COST)
        self.n_spent += 1
        return True

    def refund(self) -> None:
        """Return the token of a retry that cost the destination no work."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_COST)
        self.n_spent -= 1


@dataclass(eq=False, slots=True)
class RetryBudgets:
    """Budgets by destination; the least recently used is dropped at the bound.

    Parameters
    ----------
    max_destinations : int
        Largest number of budgets that are kept.
    """

    max_destinations: int = MAX_DESTINATIONS
    _budgets: OrderedDict[str, RetryBudget] = field(default_factory=OrderedDict)

    def get(self, destination: str) -> RetryBudget:
        """Return the budget of a destination, a full one if it is new."""
        budget = self._budgets.setdefault(destination, RetryBudget())
        self._budgets.move_to_end(destination)
        if len(self._budgets) > self.max_destinations:
            self._budgets.popitem(last=False)
        return budget

    def dump(self) -> dict[str, dict[str, float]]:
        """Return tokens and counters by destination."""
        return {
            name: {
                "tokens": round(item.tokens, 3),
                "n_spent": item.n_spent,
                "n_denied": item.n_denied,
            }
            for name, item in self._budgets.items()
        }


@dataclass(eq=False, slots=True)
class Backoff:
    """Exponential delays with full jitter and a cap.

    Parameters
    ----------
    rng : random.Random
        Draws the jitter.
    base_s, cap_s : float, seconds
        Upper end of the first delay and of every delay.
    factor : float
        Growth of the upper end from one delay to the next.

    Notes
    -----
    With full jitter a delay is uniform between zero and its upper end, which
    spreads the retries of callers that failed at the same moment.
    """

    rng: random.Random
    base_s: float = BACKOFF_BASE_S
    cap_s: float = BACKOFF_CAP_S
    factor: float = BACKOFF_FACTOR
    _upper_s: float = 0.0

    def next_delay(self) -> float:
        """Return the next delay, in seconds."""
        if self._upper_s == 0.0:
            self._upper_s = min(self.base_s, self.cap_s)
        delay_s = self.rng.uniform(0.0, self._upper_s)
        self._upper_s = min(self.cap_s, self._upper_s * self.factor)
        return delay_s

    def reset(self) -> None:
        """Restart with the first delay."""
        self._upper_s = 0.0


def make_backoff(
    rng: random.Random,
    *,
    base_s: float = BACKOFF_BASE_S,
    cap_s: float = BACKOFF_CAP_S,
) -> Backoff:
    """Return delays that start at up to ``base_s`` and stay below ``cap_s``."""
    return Backoff(rng, base_s, cap_s)
