"""Tests of when a VM claims to be the placer."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminhill.jobs.election import (
    PLACER_TIMEOUT_S,
    RECOVERY_GRACE_S,
    STAGGER_S,
    Election,
    JournalView,
    fitter_member,
)
from cuminhill.jobs.records import NO_LEADER, LeaderRecord, Member

MEMBERS = {vm: Member(f"{vm}:1") for vm in "abc"}


def make_election(vm="a", leader_record=None):
    return Election(vm, leader_record or LeaderRecord(3, "c", "n"), 100.0)


def claims_at(election, at, read_at=None, **view):
    return election.may_claim(
        MEMBERS, at, JournalView(at if read_at is None else read_at, **view)
    )


def test_nobody_claims_while_the_placer_writes():
    """Guards against a needless change of the placer."""
    election = make_election()
    for number in range(1, 50):
        at = 100.0 + number
        election.observe(election.leader_record, number, at)
        assert not claims_at(election, at + PLACER_TIMEOUT_S / 2)


def test_vms_claim_one_after_the_other():
    """Guards against claims of all VMs at the same moment."""
    times = sorted(make_election(vm).claim_at(MEMBERS) for vm in "ab")
    assert times[0] >= 100.0 + PLACER_TIMEOUT_S
    assert times[1] - times[0] > 0.1


def test_the_election_timeout_runs_only_up_to_the_newest_read():
    """Guards against a claim by a VM that cannot see the placer's records."""
    election = make_election()
    assert not claims_at(election, 110.0, read_at=100.5)
    assert claims_at(election, 110.0)


def test_the_placer_may_write_again_after_the_journal_was_unavailable():
    """Guards against a claim as soon as an unavailable journal recovers."""
    election = make_election()
    assert not claims_at(election, 110.0, readable_since=110.0 - RECOVERY_GRACE_S / 2)
    assert claims_at(election, 110.0, readable_since=110.0 - 2 * RECOVERY_GRACE_S)


def test_a_slow_journal_does_not_look_like_a_dead_placer():
    """Guards against repeated changes of the placer on a slow store."""
    election = make_election()
    at = election.claim_at(MEMBERS) + 0.1
    assert claims_at(election, at)
    assert not claims_at(election, at, latency_s=0.8)


def test_a_resignation_is_followed_at_once():
    """Guards against waiting for the election timeout when a VM is drained."""
    leader_record = LeaderRecord(3, "c", "n", resigned=True)
    election = make_election(leader_record=leader_record)
    assert claims_at(election, 101.0, read_at=90.0)


def test_a_restarted_vm_does_not_wait_for_its_earlier_term():
    """Guards against waiting for its own earlier incarnation after a restart."""
    election = make_election("c")
    assert claims_at(election, 100.1)


def test_the_first_claim_waits_for_no_placer():
    """Guards against a first start that waits for a placer that never existed."""
    assert claims_at(make_election(leader_record=NO_LEADER), 101.0)


@pytest.mark.parametrize("term", range(1, 9))
@pytest.mark.parametrize("resigned", [False, True])
def test_the_fittest_vm_claims_first(term, resigned):
    """Guards against a placer whose processor or link cannot carry the site.

    On sites with a few large VMs among many small ones, a placer with 0.4 of a core and
    10 Mbit/s fell behind permanently, and the site earned 0.33 of the possible value.
    """
    members = {"big": Member("b:1", 1.0)} | {
        f"small{number}": Member("s:1", 0.1) for number in range(20)
    }
    leader_record = LeaderRecord(term, "gone", "n", resigned=resigned)
    times = {
        vm: Election(vm, leader_record, 100.0, fitness=member.fitness).claim_at(members)
        for vm, member in members.items()
    }
    first = times.pop("big")
    assert min(times.values()) >= first + STAGGER_S


def test_a_small_vm_waits_for_large_ones_at_the_first_start():
    """Guards against a small placer that does not know the larger VMs yet."""
    small = Election("a", NO_LEADER, 100.0, fitness=0.0)
    large = Election("b", NO_LEADER, 100.0, fitness=1.0)
    assert small.claim_at({}) > large.claim_at({}) + 2 * STAGGER_S


@pytest.mark.parametrize(
    ("fitness", "alive", "expected"),
    [
        (0.1, ["big", "small"], "big"),
        (0.1, ["small"], None),
        (0.1, ["unknown"], None),
        (0.1, [], None),
        (0.6, ["big"], None),
        (1.0, ["big"], None),
    ],
)
def test_a_placer_hands_over_only_to_a_clearly_fitter_vm_that_is_alive(
    fitness, alive, expected
):
    """Guards against changes of the placer that gain little or cannot succeed."""
    members = {"big": Member("b:1", 1.0), "small": Member("s:1", 0.1)}
    assert fitter_member(fitness, members, alive) == expected


@given(
    st.integers(0, 4),
    st.sampled_from("abc"),
    st.booleans(),
    st.sampled_from([0, 5]),
    st.tuples(st.floats(95.0, 106.0), st.floats(95.0, 106.0)),
)
def test_a_vm_claims_from_the_time_that_the_order_gives_it(
    term, placer, resigned, refused_term, times
):
    """Guards against an early answer that differs from that of the whole order."""
    now, read_at = times
    leader_record = LeaderRecord(term, placer, "n", resigned=resigned)
    election = make_election("a", leader_record)
    election.note_refusal(refused_term, 101.0)
    view = JournalView(read_at, 0.0, 0.2)
    claim_at = election.claim_at(MEMBERS, view.latency_s)
    if resigned and not election.awaits_claim:
        expected = now >= claim_at
    else:
        expected = min(now, read_at) >= max(claim_at, RECOVERY_GRACE_S)
    assert election.may_claim(MEMBERS, now, view) is expected
