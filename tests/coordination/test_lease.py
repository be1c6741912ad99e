"""Leases end at the holder before the granter, under drift and pauses."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminhill.coordination.lease import (
    Granted,
    Held,
    HeldLease,
    LeaseArbiter,
    LeaseTerms,
    make_arbiter,
)

TERMS = LeaseTerms()


def test_shorter_renewal_does_not_shorten_a_lease():
    """Guards against a second holder while the first trusts a longer grant."""
    arbiter = LeaseArbiter()
    arbiter.acquire("a", 10.0, 0.0)
    arbiter.acquire("a", 1.0, 0.5)
    assert isinstance(arbiter.acquire("b", 1.0, 5.0), Held)
    assert isinstance(arbiter.acquire("b", 1.0, 10.0), Granted)


def test_restarted_granter_waits_for_older_leases():
    """Guards against a second holder after a restart of the granter."""
    arbiter = make_arbiter(7, 100.0, max_ttl_s=2.0)
    assert isinstance(arbiter.acquire("b", 1.0, 101.9), Held)
    assert arbiter.acquire("b", 1.0, 102.0) == Granted(8, True)


@pytest.mark.parametrize("ttl_s", [0.0, -1.0, 61.0, float("inf"), float("nan")])
def test_unreasonable_durations_are_refused(ttl_s):
    """Guards against a caller that locks a resource forever."""
    with pytest.raises(ValueError, match="ttl_s"):
        LeaseArbiter().acquire("a", ttl_s, 0.0)


@pytest.mark.parametrize("terms", [{"ttl_s": 0.4}, {"drift": 1.0}, {"margin_s": 0.9}])
def test_terms_that_cannot_hold_are_refused(terms):
    """Guards against settings under which a lease ends before its renewal."""
    with pytest.raises(ValueError, match=r"ttl_s|drift"):
        LeaseTerms(**terms)


def test_late_reply_does_not_revive_an_epoch():
    """Guards against acting under an epoch that has ended or was released."""
    lease = HeldLease(3, 10.0)
    assert not lease.apply_grant(2, 99.0)
    assert lease.apply_grant(3, 9.0)
    assert lease == HeldLease(3, 10.0)
    assert lease.apply_grant(4, 5.0)
    lease.end()
    assert not lease.apply_grant(4, 9.0)
    assert not lease.valid(0.0)
    assert lease.apply_grant(5, 9.0)


class Holder:
    """One process with its own clock."""

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.lease = HeldLease(0, float("-inf"))
        self.paused = False


class LeaseMachine(RuleBasedStateMachine):
    """Drifting clocks, pauses, delayed and lost messages, early releases."""

    terms = TERMS
    # Two clocks differ by at most the drift allowance.
    rates = (1.0, 1.0 - TERMS.drift, 1.0 / (1.0 - TERMS.drift))

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.arbiter = LeaseArbiter()
        self.holders = [Holder(f"h{i}", rate) for i, rate in enumerate(self.rates)]
        self.requests = []
        self.replies = []
        self.effects = []

    def expiry(self, sent_at, replied_at):
        """Return until when a holder acts, on its own clock."""
        return self.terms.holder_expiry(sent_at)

    number = st.integers(0, 2)

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.1, 0.3, 0.89, 0.9, 1.0]))
    def wait(self, seconds):
        """Let time pass, in which effects that were checked before take place."""
        self.now += seconds

    @rule(number=number)
    def pause_or_resume(self, number):
        """Pause a process or resume it with its old state."""
        self.holders[number].paused = not self.holders[number].paused

    @rule(number=number)
    def send(self, number):
        """Send a renewal."""
        holder = self.holders[number]
        if not holder.paused:
            self.requests.append((holder, self.now * holder.rate))

    @rule(choice=st.integers(0, 9), keep=st.booleans())
    def grant(self, choice, keep):
        """Deliver a request, perhaps twice; the reply may be late."""
        if not self.requests:
            return
        index = choice % len(self.requests)
        holder, sent_at = self.requests[index]
        if not keep:
            del self.requests[index]
        grant = self.arbiter.acquire(holder.name, self.terms.ttl_s, self.now)
        if isinstance(grant, Granted):
            self.replies.append((holder, grant.epoch, sent_at))

    @rule(choice=st.integers(0, 9))
    def reply(self, choice):
        """Deliver a reply in any order."""
        if not self.replies:
            return
        holder, epoch, sent_at = self.replies.pop(choice % len(self.replies))
        if not holder.paused:
            until = self.expiry(sent_at, self.now * holder.rate)
            holder.lease.apply_grant(epoch, until)

    @rule(number=number)
    def release(self, number):
        """Release the lease."""
        holder = self.holders[number]
        if not holder.paused:
            holder.lease.end()
            self.arbiter.release(holder.name, holder.lease.epoch)

    @invariant()
    def at_most_one_valid_holder(self):
        """No two processes act now or within the margin after their check."""
        valid = [h for h in self.holders if h.lease.valid(self.now * h.rate)]
        assert len(valid) <= 1
        for holder in valid:
            assert self.arbiter.holder == holder.name
            last_effect = holder.lease.valid_until / holder.rate + self.terms.margin_s
            assert last_effect <= self.arbiter.expires_at + 1e-9


MACHINE = settings(
    settings.get_profile("machine"), max_examples=300, stateful_step_count=40
)
# More examples, since they depend on the modules that are loaded; the search for a
# seeded fault ends at the first failure.
SEARCH = settings(MACHINE, max_examples=3000)


def test_never_two_valid_holders():
    """Guards against two placers of one shard that both start tasks."""
    run_state_machine_as_test(LeaseMachine, settings=MACHINE)


class _CountsFromReply(LeaseMachine):
    """Seeded fault: counts the lease from the reply instead of the send."""

    def expiry(self, sent_at, replied_at):
        """Return a time that a delayed reply extends."""
        return self.terms.holder_expiry(replied_at)


class _NoMargin(LeaseMachine):
    """Seeded fault: allows neither for drift nor for the time to the effect."""

    def expiry(self, sent_at, replied_at):
        """Return the granted duration as it is."""
        return sent_at + self.terms.ttl_s


class _KeepsAfterRelease(LeaseMachine):
    """Seeded fault: acts until its release is answered."""

    @rule(number=LeaseMachine.number)
    def release(self, number):
        """Release the lease without ending it on the holder's side."""
        holder = self.holders[number]
        self.arbiter.release(holder.name, holder.lease.epoch)


@pytest.mark.parametrize("fault", [_CountsFromReply, _NoMargin, _KeepsAfterRelease])
def test_machine_finds_seeded_faults(fault):
    """Guards against a state machine that would not notice two holders."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(fault, settings=SEARCH)


@pytest.mark.parametrize("rate", LeaseMachine.rates)
def test_tasks_have_stopped_when_they_are_counted_as_stopped(rate):
    """Guards against a second start while a slow worker still runs the first."""
    worker_s = (TERMS.task_ttl_s + TERMS.stop_s) / rate
    assert TERMS.tasks_stopped_at(0.0) >= worker_s
