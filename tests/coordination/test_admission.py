"""Tests of admission by deadline."""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cuminhill.coordination.admission import (
    WAIT_MARGIN_FACTOR,
    DeadlineQueue,
    Refusal,
    ServiceRate,
    make_admission,
)


def serve(admission, keys, rate, now=0.0):
    """Start the given waiting requests at a steady rate; return the time."""
    for key in keys:
        now += 1.0 / rate
        admission.started(key, now)
    return now


def loaded(rate=100.0, n_left=50):
    """Return admission with a measured rate and a queue, and the time."""
    admission = make_admission()
    for index in range(200):
        admission.offer(str(index), math.inf, 0.0)
    now = serve(admission, map(str, range(200 - n_left)), rate)
    return admission, now


def test_refuses_what_would_start_after_its_deadline():
    """Guards against work for callers that have given up."""
    admission, now = loaded()
    assert 0.4 <= admission.expected_wait(now) <= 0.6
    assert admission.offer("late", 0.3, now) is Refusal.DEADLINE
    assert admission.offer("in time", 0.7, now) is None
    assert admission.dump(now)["n_refused_deadline"] == 1


def test_an_idle_server_refuses_nothing():
    """Guards against a rate that idle time makes look low."""
    admission = make_admission()
    now = 0.0
    for index in range(100):
        now += 10.0
        assert admission.offer(str(index), 0.001, now) is None
        admission.started(str(index), now)
    assert admission.expected_wait(now) == 0.0


def test_one_pause_does_not_distort_the_estimate():
    """Guards against refusals for minutes after one paused process."""
    admission, now = loaded(n_left=100)
    admission.started("100", now + 5.0)
    now = serve(admission, map(str, range(101, 150)), 100.0, now + 5.0)
    assert admission.expected_wait(now) <= 1.0


def test_a_stall_is_detected_before_the_next_start():
    """Guards against admission at an old rate while nothing starts any more."""
    admission, now = loaded(n_left=10)
    assert admission.offer("before", 0.5, now) is None
    assert admission.offer("during", 0.5, now + 3.0) is Refusal.DEADLINE


def test_a_stall_is_forgotten_once_its_queue_is_empty():
    """Guards against refusals after all waiting requests have expired."""
    admission = make_admission()
    admission.offer("stuck", 5.0, 0.0)
    assert admission.offer("next", 4.0, 5.0) is Refusal.DEADLINE
    admission.withdrawn("stuck", 5.0)
    assert admission.offer("first", 1.0, 5.0) is None
    assert admission.offer("second", 1.0, 5.0) is None


def test_queue_is_bounded_even_without_admission():
    """Guards against a queue that grows without limit."""
    admission = make_admission(2, enabled=False)
    assert admission.offer("a", 0.0, 0.0) is None
    assert admission.offer("b", 0.0, 0.0) is None
    assert admission.offer("b", 0.0, 0.0) is None
    assert admission.offer("c", 9.0, 0.0) is Refusal.QUEUE_FULL
    admission.withdrawn("a", 1.0)
    assert admission.offer("c", 9.0, 1.0) is None


def test_unknown_rate_is_infinite():
    """Guards against refusals before anything was measured."""
    assert ServiceRate().per_s(5.0) == math.inf


class _AdmissionMachine(RuleBasedStateMachine):
    """The queue is counted correctly and bounded, and an empty one admits."""

    BOUND = 12

    def __init__(self):
        super().__init__()
        self.admission = make_admission(self.BOUND)
        self.waiting = []
        self.n_keys = 0
        self.now = 0.0

    @rule(seconds=st.sampled_from([0.0, 0.001, 0.02, 0.3, 2.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(left_s=st.sampled_from([0.0, 0.05, 1.0, math.inf]))
    def offer(self, left_s):
        self.n_keys += 1
        expected = self.admission.expected_wait(self.now)
        refusal = self.admission.offer(str(self.n_keys), left_s, self.now)
        if refusal is None:
            assert WAIT_MARGIN_FACTOR * expected <= left_s
            self.waiting.append(str(self.n_keys))
        elif refusal is Refusal.DEADLINE:
            assert self.waiting
            assert WAIT_MARGIN_FACTOR * expected > left_s
        else:
            assert len(self.waiting) == self.BOUND

    @precondition(lambda self: self.waiting)
    @rule(repeated=st.booleans())
    def start(self, repeated):
        key = self.waiting.pop(0)
        self.admission.started(key, self.now)
        if repeated:
            self.admission.started(key, self.now)

    @precondition(lambda self: self.waiting)
    @rule()
    def withdraw(self):
        self.admission.withdrawn(self.waiting.pop(), self.now)

    @invariant()
    def consistent(self):
        assert self.admission.n_waiting == len(self.waiting) <= self.BOUND
        assert self.admission.expected_wait(self.now) >= 0.0


TestAdmission = _AdmissionMachine.TestCase
TestAdmission.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50
)


class _QueueMachine(RuleBasedStateMachine):
    """No late item is returned, and no item in time is lost."""

    BOUND = 6

    def __init__(self):
        super().__init__()
        self.queue = DeadlineQueue(self.BOUND)
        self.items = {}
        self.now = 0.0

    @rule(seconds=st.sampled_from([0.0, 1.0, 3.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(left_s=st.integers(0, 5))
    def push(self, left_s):
        item = object()
        taken = self.queue.push(item, self.now + left_s, self.now)
        n_in_time = sum(at >= self.now for at in self.items.values())
        assert taken == (len(self.items) < self.BOUND or n_in_time < self.BOUND)
        if not taken:
            return
        if len(self.items) >= self.BOUND:
            self._drop_late()
        self.items[item] = self.now + left_s

    @rule()
    def pop(self):
        item = self.queue.pop(self.now)
        self._drop_late()
        if item is None:
            assert not self.items
        else:
            assert self.items.pop(item) <= min(self.items.values(), default=math.inf)

    def _drop_late(self):
        self.items = {k: at for k, at in self.items.items() if at >= self.now}

    @invariant()
    def bounded(self):
        assert len(self.queue) == len(self.items) <= self.BOUND


TestQueue = _QueueMachine.TestCase
TestQueue.settings = settings(derandomize=True, max_examples=80, stateful_step_count=40)
