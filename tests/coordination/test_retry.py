"""Tests of retry budgets, backoff, deadlines and the retry rule."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cuminhill.coordination.retry import (
    EARN_PER_SUCCESS,
    MAX_TOKENS,
    CallOutcome,
    Deadline,
    RetryBudget,
    RetryBudgets,
    make_backoff,
    may_retry,
)


@pytest.mark.parametrize(
    ("idempotent", "outcome", "expected"),
    [
        (False, CallOutcome.NOT_SENT, True),
        (False, CallOutcome.REFUSED, True),
        (False, CallOutcome.UNKNOWN, False),
        (True, CallOutcome.NOT_SENT, True),
        (True, CallOutcome.REFUSED, True),
        (True, CallOutcome.UNKNOWN, True),
    ],
)
def test_only_idempotent_calls_are_retried_after_an_unknown_outcome(
    idempotent, outcome, expected
):
    """Guards against a second effect of an order whose reply was lost."""
    assert may_retry(idempotent, outcome) is expected


class _BudgetMachine(RuleBasedStateMachine):
    """Retries never exceed the initial tokens and a tenth of the successes."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget()
        self.n_successes = 0
        self.n_retries = 0

    @rule(count=st.integers(1, 30))
    def succeed(self, count):
        for _ in range(count):
            self.budget.earn()
        self.n_successes += count

    @rule()
    def retry(self):
        self.n_retries += self.budget.try_spend()

    @rule()
    def retry_and_refund(self):
        if self.budget.try_spend():
            self.budget.refund()

    @invariant()
    def bounded(self):
        assert 0.0 <= self.budget.tokens <= MAX_TOKENS
        earned = EARN_PER_SUCCESS * self.n_successes
        assert self.n_retries <= MAX_TOKENS + earned + 1e-6


TestBudget = _BudgetMachine.TestCase
TestBudget.settings = settings(derandomize=True, max_examples=60)


def test_an_empty_budget_allows_one_retry_after_ten_successes():
    """Guards against rounding that asks for eleven successes."""
    budget = RetryBudget(tokens=0.0)
    for _ in range(9):
        budget.earn()
    assert not budget.try_spend()
    budget.earn()
    assert budget.try_spend()
    assert (budget.n_spent, budget.n_denied) == (1, 1)


def test_table_of_budgets_is_bounded():
    """Guards against memory that grows with every address ever seen."""
    budgets = RetryBudgets(max_destinations=3)
    for name in "abcd":
        budgets.get(name)
    assert list(budgets.dump()) == ["b", "c", "d"]


@given(seed=st.integers(0, 1000), n=st.integers(1, 20))
@settings(derandomize=True, max_examples=50)
def test_backoff_grows_up_to_its_cap_and_starts_again(seed, n):
    """Guards against delays beyond the cap and a schedule without jitter."""
    backoff = make_backoff(random.Random(seed), base_s=0.1, cap_s=1.0)
    for index in range(n):
        assert 0.0 <= backoff.next_delay() <= min(1.0, 0.1 * 2**index)
    backoff.reset()
    assert backoff.next_delay() <= 0.1


def test_backoff_spreads_callers_and_follows_its_seed():
    """Guards against callers that retry at the same moment."""
    first = [make_backoff(random.Random(seed)).next_delay() for seed in range(20)]
    again = [make_backoff(random.Random(seed)).next_delay() for seed in range(20)]
    assert first == again
    assert len(set(first)) == len(first)


def test_deadline_along_a_path():
    """Guards against a stage that takes more time than is left."""
    deadline = Deadline(10.0)
    assert deadline.remaining(7.5) == 2.5
    assert deadline.remaining(11.0) == 0.0
    assert deadline.fits(9.0, 1.0)
    assert not deadline.fits(9.0, 1.1)
    assert deadline.within(9.0, 5.0) == deadline
    assert deadline.within(2.0, 5.0) == Deadline(7.0)
