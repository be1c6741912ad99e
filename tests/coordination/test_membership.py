"""Membership: suspicion, incarnations, leaving, pauses and bounds."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bench.cell import make_cell
from cuminhill.coordination import membership
from cuminhill.coordination.detector import DOMAIN_DEAD_AFTER_S
from cuminhill.coordination.membership import (
    MAX_HEARTBEAT_ENTRIES,
    MAX_LOCAL_TARGETS,
    Member,
    Membership,
    MemberState,
    make_incarnation,
    make_membership,
)
from cuminhill.peers import heartbeat_from_thrift, heartbeat_to_thrift
from cuminhill.rpc import decode, encode, idl

ME = Member("a", 1, 0, "a:1", "x")
PEER = Member("b", 5, 1, "b:1", "x", shards=("x/0",), free_cores=2.0)
CONVERGED_S = 2.0 * DOMAIN_DEAD_AFTER_S  # two waves: domains, then members


def heard(now=0.0):
    view = make_membership(ME)
    view.tick(now)
    view.receive(PEER, now, direct=True)
    return view


def run_ticks(view, start, end):
    for index in range(round((end - start) / 0.25) + 1):
        view.tick(start + index * 0.25)


def test_suspicion_precedes_death_and_eviction():
    """Guards against a member that is dead without suspicion, or never evicted."""
    view = heard()
    found = []
    for index in range(int((membership.EVICT_AFTER_S + 10) / 0.25)):
        view.tick(index * 0.25)
        found.append(view.state("b", index * 0.25))
    assert list(dict.fromkeys(found)) == [
        MemberState.ALIVE,
        MemberState.SUSPECT,
        MemberState.DEAD,
    ]
    assert view.members() == [view.me]


def test_older_incarnation_is_ignored():
    """Guards against a late message that restores an older incarnation."""
    view = heard()
    view.receive(Member("b", 4, 99, "old:1", "x"), 0.1, direct=True)
    view.receive(Member("b", 4, 100, "old:1", "x", leaving=True), 0.1)
    assert view.members()[1] == PEER
    view.receive(Member("b", 6, 0, "new:1", "x"), 0.2)
    assert (view.members()[1].address, view.state("b", 0.2)) == ("new:1", "alive")


def test_accusation_of_an_older_counter_is_refuted():
    """Guards against a paused accuser that makes healthy members suspect."""
    view = heard()
    view.receive(Member("b", 5, 3), 0.1, direct=True)
    view.receive(Member("b", 5, 2), 0.2, MemberState.SUSPECT)
    assert view.state("b", 0.2) is MemberState.ALIVE
    view.receive(Member("b", 5, 3), 0.3, MemberState.SUSPECT)
    assert view.state("b", 0.3) is MemberState.SUSPECT
    view.receive(Member("b", 5, 4), 0.4)
    assert view.state("b", 0.4) is MemberState.ALIVE


@pytest.mark.parametrize("source", ["late entry", "list"])
def test_leaving_wins_at_once(source):
    """Guards against new work for a VM that is about to be removed."""
    view = heard()
    view.receive(Member("b", 5, 7), 0.1, direct=True)
    if source == "list":
        view.set_leaving(["b"])
    else:
        view.receive(Member("b", 5, 2, leaving=True), 0.2)
        view.receive(Member("b", 5, 8, "b:1", "x"), 0.3, direct=True)
    assert view.state("b", 0.3) is MemberState.LEAVING


def test_leaving_ends_with_the_list():
    """Guards against a new incarnation that counts as leaving like the old one."""
    view = heard()
    view.set_leaving(["b"])
    view.set_leaving([])
    assert view.state("b", 0.1) is MemberState.ALIVE


def test_paused_process_trusts_nobody_until_heard_again():
    """Guards against a takeover based on a view from before a pause."""
    view = heard()
    other = Member("c", 1, 1, "c:1", "far")
    view.receive(other, 0.0)
    assert not view.stale(0.5)
    assert view.stale(2.0)
    assert view.state("c", 2.0) is MemberState.SUSPECT
    view.tick(2.0)
    view.receive(Member("b", 5, 2), 2.1, direct=True)
    assert view.stale(2.1)
    assert view.state("b", 2.1) is MemberState.ALIVE
    assert view.state("c", 2.1) is MemberState.SUSPECT
    run_ticks(view, 2.25, 2.75)
    assert not view.stale(2.75)


def test_paused_process_accuses_nobody():
    """Guards against accusations whose only cause is the own pause."""
    view = heard()
    view.receive(Member("c", 1, 1, "c:1", "x"), 0.0, direct=True)
    view.tick(30.0)
    entries = view.heartbeat("b", 30.0).member_entries
    assert [state for _, state in entries] == []


def test_newer_incarnation_of_the_own_vm_is_reported():
    """Guards against two incarnations of one VM that both act as current."""
    view = heard()
    view.receive(Member("a", 9, 1, "a:1", "x"), 0.1)
    assert view.superseded_by == 9
    again = make_incarnation(5, random.Random(1), after=view.superseded_by)
    assert again > 9


def test_targets_entries_and_table_are_bounded(monkeypatch):
    """Guards against traffic and memory that grow with the cell."""
    monkeypatch.setattr(membership, "MAX_MEMBERS", 50)
    view = make_membership(ME)
    for index in range(60):
        domain = "x" if index % 2 else f"y{index}"
        view.receive(Member(f"m{index}", 1, 1, f"m{index}:1", domain), 0.0)
    view.tick(0.2)
    assert len(view.members()) == 51
    assert view.n_refused == 10
    assert len(view.local_targets(0.2)) == MAX_LOCAL_TARGETS
    assert len(view.remote_targets(0.2, random.Random(1))) == 1
    assert len(view.heartbeat(None, 0.2).member_entries) == MAX_HEARTBEAT_ENTRIES


def test_updates_are_sent_before_refreshes():
    """Guards against a change that waits behind entries sent many times."""
    view = heard()
    for index in range(40):
        view.receive(Member(f"m{index}", 1, 1, f"m{index}:1", "x"), 0.0)
    sent = set()
    for _ in range(3):
        sent |= {member.vm for member, _ in view.heartbeat("b", 9.0).member_entries}
    assert len(sent) == 0  # none was heard from, which is no evidence for others
    for index in range(40):
        view.receive(Member(f"m{index}", 1, 2, f"m{index}:1", "x"), 9.0)
    for _ in range(3):
        sent |= {member.vm for member, _ in view.heartbeat("b", 9.1).member_entries}
    assert len(sent) == 40


def test_entries_survive_the_wire():
    """Guards against a state or field that is lost between two processes."""
    view = heard()
    view.receive(Member("c", 1, 1, "c:1", "x"), 0.0)
    view.receive(Member("c", 1, 1), 0.0, MemberState.DEAD)
    message = view.heartbeat(None, 0.1)
    data = encode(heartbeat_to_thrift(message))
    assert heartbeat_from_thrift(decode(idl.Heartbeat, data, "peer")) == message
    assert dict((m.vm, s) for m, s in message.member_entries) == {
        "b": MemberState.ALIVE,
        "c": MemberState.DEAD,
    }


def test_failure_is_spread_to_other_domains(cell):
    """Guards against remote members that never learn of a failure."""
    cell.processes["domain1-e0"].paused = True
    cell.run(5.0)
    for process in cell.processes.values():
        if not process.paused:
            assert process.view.state("domain1-e0", cell.now) != MemberState.ALIVE


def test_joining_process_is_known_soon(cell):
    """Guards against a new process of which only compact entries are sent."""
    joiner = cell.start("domain0-new", "domain0")
    cell.run(3.0)
    assert len(joiner.view.alive(cell.now)) == 10
    assert all(len(p.view.alive(cell.now)) == 10 for p in cell.processes.values())


class CellMachine(RuleBasedStateMachine):
    """Crashes, restarts, pauses and partitions, then a time without faults."""

    make_view = staticmethod(make_membership)

    def __init__(self):
        super().__init__()
        self.cell = make_cell(7, 3, make_view=self.make_view)
        self.incarnations = {}
        self.n_incarnations = 1

    @initialize()
    def meet(self):
        """Let all processes learn of each other."""
        self.cell.run(5.0)

    @rule(duration_s=st.sampled_from([0.3, 1.0, 4.0, 12.0]))
    def wait(self, duration_s):
        """Let time pass."""
        self.cell.run(duration_s)

    @rule(index=st.integers(0, 6))
    def restart(self, index):
        """Replace a process by a new incarnation."""
        vm = sorted(self.cell.processes)[index]
        old = self.cell.processes[vm]
        self.n_incarnations += 1
        self.late = old.view.update_me()
        self.cell.start(vm, old.view.me.failure_domain, self.n_incarnations)
        self.incarnations.pop(vm, None)

    @rule(index=st.integers(0, 6))
    def pause_or_resume(self, index):
        """Pause or resume a process."""
        process = self.cell.processes[sorted(self.cell.processes)[index]]
        process.paused = not process.paused

    @rule(one=st.integers(0, 2), other=st.integers(0, 2))
    def cut_or_heal(self, one, other):
        """Cut or heal the link of two failure domains, or within one."""
        self.cell.cut ^= {frozenset({f"domain{one}", f"domain{other}"})}

    @rule(one=st.integers(0, 2), duration_s=st.sampled_from([1.0, 12.0]))
    def isolate(self, one, duration_s):
        """Separate a failure domain from all others for some time."""
        others = {f"domain{index}" for index in range(3)} - {f"domain{one}"}
        self.cell.cut |= {frozenset({f"domain{one}", name}) for name in others}
        self.cell.run(duration_s)

    @rule()
    def late_message(self):
        """Deliver the last entry of a replaced incarnation to all processes."""
        if hasattr(self, "late"):
            for process in self.cell.processes.values():
                process.view.receive(self.late, self.cell.now, direct=True)

    @invariant()
    def no_older_incarnation_returns(self):
        """Compare the incarnations with those seen before."""
        for vm, process in self.cell.processes.items():
            seen = self.incarnations.setdefault(vm, {})
            for member in process.view.members():
                assert member.incarnation >= seen.get(member.vm, 0)
                seen[member.vm] = member.incarnation

    def teardown(self):
        """End all faults and expect equal views."""
        self.cell.cut.clear()
        for process in self.cell.processes.values():
            process.paused = False
        self.cell.run(CONVERGED_S)
        current = {vm: p.view.me.incarnation for vm, p in self.cell.processes.items()}
        for process in self.cell.processes.values():
            alive = process.view.alive(self.cell.now)
            assert {item.vm: item.incarnation for item in alive} == current


MACHINE = settings(
    settings.get_profile("machine"), max_examples=40, stateful_step_count=15
)
# More examples, since they depend on the modules that are loaded; the search for a
# seeded fault ends at the first failure.
SEARCH = settings(MACHINE, max_examples=3000)


def test_views_converge_when_faults_stop():
    """Guards against views that stay different and incarnations that come back."""
    run_state_machine_as_test(CellMachine, settings=MACHINE)


class _ForgetfulView(Membership):
    """Seeded fault: takes whatever arrives last for the newest incarnation."""

    def receive(self, member, now, state=MemberState.ALIVE, *, direct=False):
        """Evict a newer incarnation."""
        peer = self._peers.get(member.vm)
        if peer is not None and member.incarnation < peer.member.incarnation:
            self._evict(member.vm)
        super().receive(member, now, state, direct=direct)


class _NoReconnectView(Membership):
    """Seeded fault: sends no heartbeat to a member that it considers dead."""

    def remote_targets(self, now, rng, seeds=()):
        """Return only members that are alive."""
        alive = {member.address for member in self.alive(now)}
        found = super().remote_targets(now, rng, seeds)
        return [item for item in found if item in alive or not self._peers]


@pytest.mark.parametrize("fault", [_ForgetfulView, _NoReconnectView])
def test_machine_finds_seeded_faults(fault):
    """Guards against a state machine that would not notice a wrong view."""

    def make_view(me):
        view = make_membership(me)
        return fault(view.me, view._local, view._remote)

    machine = type("Faulty", (CellMachine,), {"make_view": staticmethod(make_view)})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SEARCH)
