"""Tests of when a VM claims to be the placer."""

from __future__ import annotations

from cuminhill.jobs.election import (
    RETURN_S,
    SILENCE_S,
    Election,
    JournalView,
)
from cuminhill.jobs.records import NO_LEAD, Lead

MEMBERS = ["a", "b", "c"]


def make_election(vm="a", lead=None):
    return Election(vm, lead or Lead(3, "c", "n"), 100.0)


def claims_at(election, at, read_at=None, **view):
    return election.may_claim(
        MEMBERS, at, JournalView(at if read_at is None else read_at, **view)
    )


def test_nobody_claims_while_the_placer_writes():
    """Guards against a change of the placer without need."""
    election = make_election()
    for number in range(1, 50):
        at = 100.0 + number
        election.observe(election.lead, number, at)
        assert not claims_at(election, at + SILENCE_S / 2)


def test_vms_claim_one_after_the_other():
    """Guards against claims of all VMs at the same moment."""
    times = sorted(make_election(vm).claim_at(MEMBERS) for vm in MEMBERS[:2])
    assert times[0] >= 100.0 + SILENCE_S
    assert times[1] - times[0] > 0.1


def test_silence_counts_only_as_far_as_the_journal_was_read():
    """Guards against a claim by a VM that cannot see the placer's records."""
    election = make_election()
    assert not claims_at(election, 110.0, read_at=100.5)
    assert claims_at(election, 110.0)


def test_the_placer_may_write_again_after_the_journal_was_away():
    """Guards against a claim at the very return of a journal that was down."""
    election = make_election()
    assert not claims_at(election, 110.0, readable_since=110.0 - RETURN_S / 2)
    assert claims_at(election, 110.0, readable_since=110.0 - 2 * RETURN_S)


def test_a_slow_journal_does_not_look_like_a_dead_placer():
    """Guards against one change of the placer after another on a slow store."""
    election = make_election()
    at = election.claim_at(MEMBERS) + 0.1
    assert claims_at(election, at)
    assert not claims_at(election, at, latency_s=0.8)


def test_a_resignation_is_followed_at_once():
    """Guards against a pause of a whole silence when a VM is stopped as planned."""
    lead = Lead(3, "c", "n", resigned=True)
    election = make_election(lead=lead)
    assert claims_at(election, 101.0, read_at=90.0)


def test_an_own_earlier_life_is_known_to_be_over():
    """Guards against waiting for oneself after a restart."""
    election = make_election("c")
    assert claims_at(election, 100.1)


def test_the_first_claim_of_all_waits_for_nobody():
    """Guards against a first start that waits for a placer that never was."""
    assert claims_at(make_election(lead=NO_LEAD), 101.0)
