"""Tests of the circuit breaker and of outlier ejection."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cuminhill.coordination.breaker import (
    EJECT_AFTER_FAILURES,
    EJECT_PROBE_S,
    EJECT_S,
    MAX_EJECT_S,
    MAX_FAILURES,
    MAX_OPEN_S,
    OPEN_S,
    PROBE_TIMEOUT_S,
    Breakers,
    BreakerState,
    CircuitBreaker,
    make_ejector,
)


def open_breaker(now=0.0):
    breaker = CircuitBreaker()
    for _ in range(MAX_FAILURES):
        breaker.record(breaker.acquire(now), False, now)
    return breaker


class _BreakerMachine(RuleBasedStateMachine):
    """At most one probe is in flight and a dead destination gets few calls."""

    def __init__(self):
        super().__init__()
        self.breaker = CircuitBreaker()
        self.now = 0.0
        self.calls = []
        self.probe_at = None

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def call(self):
        closed = self.breaker.state is BreakerState.CLOSED
        permit = self.breaker.acquire(self.now)
        if closed:
            assert permit is not None
        if permit is None:
            return
        self.calls.append(permit)
        if not closed:
            lost = self.probe_at is None or (
                self.now >= self.probe_at + PROBE_TIMEOUT_S
            )
            assert lost, "second probe while the first is in flight"
            self.probe_at = self.now

    @precondition(lambda self: self.calls)
    @rule(data=st.data(), ok=st.booleans())
    def end(self, data, ok):
        index = data.draw(st.integers(0, len(self.calls) - 1))
        before = self.breaker.state
        self.breaker.record(self.calls.pop(index), ok, self.now)
        if before is not self.breaker.state:
            self.probe_at = None

    @invariant()
    def never_stuck(self):
        later = self.now + max(MAX_OPEN_S, PROBE_TIMEOUT_S)
        assert self.breaker.would_allow(later)


TestBreaker = _BreakerMachine.TestCase
TestBreaker.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=40
)


def test_breaker_opens_probes_and_closes():
    """Guards against a breaker that never opens or never recovers."""
    breaker = open_breaker()
    assert breaker.acquire(OPEN_S / 2) is None
    probe = breaker.acquire(OPEN_S)
    assert breaker.state is BreakerState.HALF_OPEN
    assert breaker.acquire(OPEN_S) is None
    breaker.record(probe, True, OPEN_S)
    assert breaker.state is BreakerState.CLOSED
    assert (breaker.n_opened, breaker.n_rejected) == (1, 2)


def test_failed_probes_wait_longer_up_to_the_bound():
    """Guards against probes that overload a destination that stays down."""
    breaker = open_breaker()
    now = waited = OPEN_S
    for _ in range(10):
        breaker.record(breaker.acquire(now), False, now)
        waited = min(MAX_OPEN_S, 2 * waited)
        assert not breaker.would_allow(now + waited - 0.01)
        now += waited
        assert breaker.would_allow(now)


def test_results_from_before_the_opening_do_not_close_it():
    """Guards against late replies that count as the probe's result."""
    breaker = CircuitBreaker()
    early = breaker.acquire(0.0)
    for _ in range(MAX_FAILURES):
        breaker.record(breaker.acquire(0.0), False, 0.0)
    breaker.acquire(OPEN_S)
    breaker.record(early, True, OPEN_S)
    assert breaker.state is BreakerState.HALF_OPEN


def test_failures_must_be_consecutive():
    """Guards against a breaker that opens on scattered failures."""
    breaker = CircuitBreaker()
    for index in range(10 * MAX_FAILURES):
        ok = index % MAX_FAILURES == MAX_FAILURES - 1
        breaker.record(breaker.acquire(0.0), ok, 0.0)
    assert breaker.state is BreakerState.CLOSED


def test_table_of_breakers_is_bounded():
    """Guards against memory that grows with every address ever seen."""
    breakers = Breakers(max_breakers=2)
    for name in "abc":
        breakers.get(name)
    assert list(breakers.dump()) == ["b", "c"]


NAMES = [f"w{index}" for index in range(7)]


class _EjectorMachine(RuleBasedStateMachine):
    """Never more than the fraction is ejected, and every ejection ends."""

    def __init__(self):
        super().__init__()
        self.ejector = make_ejector(NAMES)
        self.now = 0.0

    @rule(seconds=st.floats(0.0, 2 * EJECT_S))
    def wait(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(NAMES), ok=st.booleans(), count=st.integers(1, 4))
    def results(self, name, ok, count):
        for _ in range(count):
            self.ejector.record(name, ok, self.now)

    @rule(name=st.sampled_from(NAMES))
    def call(self, name):
        if not self.ejector.usable(name, self.now):
            return
        self.ejector.record_call(name, self.now)
        if name in self.ejector.ejected():
            assert not self.ejector.usable(name, self.now), "second probe"

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1))
    def resize(self, names):
        self.ejector.set_destinations(sorted(names))

    @invariant()
    def bounded(self):
        assert len(self.ejector.ejected()) <= self.ejector.max_ejected
        later = self.now + MAX_EJECT_S + EJECT_PROBE_S
        assert all(self.ejector.usable(name, later) for name in NAMES)


TestEjector = _EjectorMachine.TestCase
TestEjector.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=40
)


def test_a_worker_that_fails_everything_is_ejected_and_probed():
    """Guards against a failing worker that is given one task after another."""
    ejector = make_ejector(NAMES)
    n_tasks = 0
    while ejector.usable("w3", 0.0):
        ejector.record("w3", False, 0.0)
        n_tasks += 1
    assert n_tasks == EJECT_AFTER_FAILURES
    assert not ejector.usable("w3", EJECT_S - 0.1)
    assert ejector.usable("w3", EJECT_S)
    ejector.record_call("w3", EJECT_S)
    ejector.record("w3", False, EJECT_S)
    assert not ejector.usable("w3", 3 * EJECT_S - 0.1)
    ejector.record("w3", True, 3 * EJECT_S)
    assert ejector.ejected() == frozenset()


def test_a_common_fault_ejects_only_a_fraction():
    """Guards against a cell without workers after a fault that affects all."""
    ejector = make_ejector(NAMES)
    for name in NAMES * EJECT_AFTER_FAILURES:
        ejector.record(name, False, 0.0)
    assert len(ejector.ejected()) == ejector.max_ejected == 2
    assert ejector.n_overflows > 0
