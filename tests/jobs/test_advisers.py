"""Tests of the choice of VMs for advice while many of them do not answer."""

from __future__ import annotations

import heapq
import itertools
import math
import socket
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import curio
import pytest

from cuminhill.jobs.advice import (
    EXCLUDE_S,
    FIRST_PING_S,
    MAX_ADVISER_QUEUE_S,
    MAX_PING_PAUSE_S,
    MAX_PINGS,
    REPEATED_PING_SPACING_S,
    RETRY_S,
    Adviser,
    CallRank,
    adviser_states,
    choose_adviser,
    find_adviser,
    make_advice_call,
    next_ping,
    ping_spacing_s,
)
from cuminhill.jobs.leadership import ADVICE_SLACK_FACTOR, ADVICE_SLACK_S, PING_IDLE_S
from cuminhill.jobs.model import AdviceTerms, JobState
from cuminhill.jobs.peers import PING_TIMEOUT_S, REPLY_SLACK_S
from cuminhill.jobs.records import MEMBER_PREFIX, Member, encode_member

from .builders import make_job, make_queue, make_step

if TYPE_CHECKING:
    from collections.abc import Callable

# The simulations have three ticks of 0.01 s for each decision of the placer.
TICK_S = 0.01
DECIDE_TICKS = 3
LASTING = AdviceTerms(decide_s=0.8, per_worker_s=0.0, valid_s=2.5)
PATIENT = AdviceTerms(decide_s=0.7, per_worker_s=0.0, valid_s=2.5)
SHORT = AdviceTerms(decide_s=0.03, per_worker_s=0.0, valid_s=2.5)
FIRST_CALLS_S = 0.3  # from the begin of a term to its first calls
# A call for a lost task waits for at most this once a VM is known to answer: for the
# calls that such a VM has, and then for its own time and a decision.
WAIT_S = MAX_ADVISER_QUEUE_S + 2 * LASTING.decide_s
FAILED_PING_S = PING_TIMEOUT_S + RETRY_S + DECIDE_TICKS * TICK_S


@dataclass(eq=False)
class StepWait:
    """Step that asks for advice until it has it."""

    asked_at: float
    rank: CallRank
    terms: AdviceTerms
    retry_at: float = 0.0
    calling: bool = False
    failed_at: float | None = None
    n_failed: int = 0
    has_advice_at: float = 0.0
    through: str = ""

    @property
    def waited_s(self) -> float:
        """Time from the first wish to the answer, in seconds."""
        assert self.has_advice_at, "no advice"
        return self.has_advice_at - self.asked_at


def always(_vm: int, _now: float) -> bool:
    return True


@dataclass(eq=False)
class Site:
    """VMs that serve calls in turn as a placer sees them, with explicit times.

    Parameters
    ----------
    reachable, serves : callable
        Take the number of a VM and a time, and return whether the VM can be reached,
        and whether the advice service answers it.
    """

    n_vms: int
    reachable: Callable[[int, float], bool] = always
    serves: Callable[[int, float], bool] = always
    now: float = 0.0
    steps: list[StepWait] = field(default_factory=list)
    n_calls: Counter = field(default_factory=Counter)
    failures: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self):
        self.advisers = [Adviser(f"vm{number}") for number in range(self.n_vms)]
        self._free_at = [0.0] * self.n_vms
        self._events = []
        self._order = itertools.count()
        self._ticks = 0
        self._next_ping_at = 0.0
        self.pinged: list[tuple[float, str]] = []

    def ask(self, rank=CallRank.RETURN, terms=LASTING) -> StepWait:
        """Add a step that needs advice from now on."""
        step = StepWait(self.now, rank, terms)
        self.steps.append(step)
        return step

    def run_until(self, until):
        """Let time pass."""
        while self.now < until:
            self.now += TICK_S
            self._ticks += 1
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._ping()
            if self._ticks % DECIDE_TICKS == 0:
                self._decide()

    def run_with(self, until, every_s, rank=CallRank.PLACE, terms=PATIENT):
        """Let time pass; a further step needs advice at an interval."""
        while self.now < until:
            self.ask(rank, terms)
            self.run_until(min(until, self.now + every_s))

    def _at(self, at, run):
        heapq.heappush(self._events, (at, next(self._order), run))

    def _ping(self):
        if self.now < self._next_ping_at:
            return
        adviser = next_ping(self.advisers, self.now)
        if adviser is None:
            self._next_ping_at = self.now + PING_IDLE_S
            return
        self._next_ping_at = self.now + ping_spacing_s(adviser)
        adviser.begin_ping(self.now)
        self.pinged.append((self.now, adviser.vm))
        answers = self.reachable(int(adviser.vm[2:]), self.now)
        ends_at = self.now + (TICK_S if answers else PING_TIMEOUT_S)
        self._at(ends_at, lambda: adviser.record_ping(self.now, answered=answers))

    def _decide(self):
        waiting = [
            item
            for item in self.steps
            if not (item.calling or item.has_advice_at or self.now < item.retry_at)
        ]
        for step in sorted(waiting, key=lambda item: item.rank):
            self._call(step)

    def _call(self, step):
        call = make_advice_call("s", {"w": 1}, step.terms, step.rank)
        call = replace(call, failed_at=step.failed_at)
        adviser = find_adviser(self.advisers, call, self.now)
        if adviser is None:
            return
        vm, cost_s = int(adviser.vm[2:]), call.cost_s
        step.calling = True
        self.n_calls[adviser.vm] += 1
        if not self.reachable(vm, self.now):
            fails_at = self.now + PING_TIMEOUT_S
            self._at(
                fails_at, lambda: self._fail(step, adviser, cost_s, PING_TIMEOUT_S)
            )
            return
        limit_s = max(ADVICE_SLACK_S, ADVICE_SLACK_FACTOR * cost_s) + REPLY_SLACK_S
        give_up_at = adviser.busy_until + limit_s
        ends_at = max(self.now, self._free_at[vm]) + cost_s
        if not (self.serves(vm, self.now) and self.reachable(vm, ends_at)):
            lost_s = give_up_at - self.now
            self._at(give_up_at, lambda: self._fail(step, adviser, 0.0, lost_s))
            return
        self._free_at[vm] = ends_at
        self._at(ends_at, lambda: self._answer(step, adviser))

    def _answer(self, step, adviser):
        adviser.record_answer(self.now)
        step.calling, step.has_advice_at = False, self.now
        step.through = adviser.vm

    def _fail(self, step, adviser, unsent_s, lost_s):
        adviser.record_failure(self.now, unsent_s, lost_s)
        step.calling, step.retry_at = False, self.now + RETRY_S
        step.failed_at = self.now
        step.n_failed += 1
        self.failures.append((self.now, adviser.vm))


def spread_out(n_vms, n_answering):
    """Return evenly spread numbers of VMs."""
    return {
        round(n_vms * (number + 0.5) / n_answering) for number in range(n_answering)
    }


# Guards against a lost task that waits for advice through one VM after the other, each
# of which is found out by a time-out, while a VM that answers is known (issue 46).
@pytest.mark.parametrize(
    "answering",
    [{0}, {39}, {3, 7}, set(range(6)), spread_out(40, 6)],
    ids=["the first", "the last", "two without long calls", "a third of them", "six"],
)
@pytest.mark.parametrize("age_s", [FIRST_CALLS_S, 5.0, 60.0])
def test_lost_tasks_get_advice_while_most_vms_are_out_of_reach(answering, age_s):
    site = Site(40, reachable=lambda vm, _: vm in answering)
    site.run_until(age_s)
    step = site.ask()
    site.run_until(age_s + 30.0)
    # A term that has just begun may meet one VM that does not answer.
    n_allowed = int(age_s < 1.0)
    assert step.n_failed <= n_allowed
    assert step.waited_s <= WAIT_S + n_allowed * FAILED_PING_S


# Guards against the same for urgent steps, whose calls are short.
def test_urgent_steps_get_advice_while_most_vms_are_out_of_reach():
    site = Site(40, reachable=lambda vm, _: vm in {5, 30})
    site.run_until(5.0)
    for _ in range(20):
        site.ask(CallRank.URGENT, SHORT)
        site.run_until(site.now + 0.5)
    assert [item.n_failed for item in site.steps] == [0] * 20
    assert max(item.waited_s for item in site.steps) < 0.2


# Guards against the same while patient steps ask all the time, as in the incident.
def test_vms_that_are_out_of_reach_take_no_calls_again_and_again():
    answering = spread_out(40, 6)
    site = Site(40, reachable=lambda vm, _: vm in answering)
    site.run_with(60.0, every_s=0.4)
    lost = [site.ask() for _ in range(3)]
    site.run_with(80.0, every_s=0.4)
    assert [item.n_failed for item in lost] == [0, 0, 0]
    assert max(item.waited_s for item in lost) <= WAIT_S
    assert sum(item.n_failed for item in site.steps) <= 4
    assert max(item.n_failed for item in site.steps) <= 1


# Guards against calls that go to one VM after the other when a failure domain is cut
# off while the others answer.
@pytest.mark.parametrize("n_vms", [39, 300])
def test_a_domain_that_is_cut_off_costs_a_step_one_call(n_vms):
    cut_at = 20.0
    site = Site(n_vms, reachable=lambda vm, now: vm % 3 or now < cut_at)
    site.run_with(cut_at + 0.05, every_s=0.1)
    lost = [site.ask() for _ in range(5)]
    site.run_with(cut_at + 10.0, every_s=0.1)
    late = [site.ask() for _ in range(5)]
    site.run_with(cut_at + 15.0, every_s=0.1)
    assert max(item.n_failed for item in site.steps if item.asked_at < cut_at + 13) <= 1
    assert [item.n_failed for item in late] == [0] * 5
    one_failure_s = 2 * LASTING.decide_s + ADVICE_SLACK_S + REPLY_SLACK_S
    assert max(item.waited_s for item in lost) <= WAIT_S + one_failure_s


# Guards against VMs that answer pings, and of which every call times out: they look
# idle, and are chosen before those that answer.
def test_vms_whose_calls_time_out_are_seldom_chosen():
    broken = set(range(0, 39, 3))
    site = Site(39, serves=lambda vm, _: vm not in broken)
    site.run_with(20.0, every_s=0.1)
    lost = []
    while site.now < 80.0:
        lost.append(site.ask())
        site.run_with(site.now + 2.0, every_s=0.1)
    assert sum(item.n_failed for item in lost) <= 1
    assert max(item.n_failed for item in site.steps if item.asked_at < 70.0) <= 1


# Guards against a chain of such calls in a term that knows nothing of any VM yet.
def test_a_new_term_finds_the_vms_whose_calls_are_answered():
    answered = spread_out(40, 6)
    site = Site(40, serves=lambda vm, _: vm in answered)
    site.run_until(FIRST_CALLS_S)
    lost = [site.ask() for _ in range(20)]
    site.run_until(60.0)
    # A step whose call has failed makes a second trial only after a wait of its cost.
    assert max(item.n_failed for item in lost) <= 2
    time_out_s = LASTING.decide_s * (1 + ADVICE_SLACK_FACTOR) + REPLY_SLACK_S
    n_long = 6 - 6 // 3
    serial_s = len(lost) / n_long * LASTING.decide_s
    assert max(item.waited_s for item in lost) <= serial_s + 2 * time_out_s


# Guards against VMs that stay unused when the service answers them again.
def test_vms_whose_calls_timed_out_are_used_again():
    broken = set(range(0, 39, 3))
    site = Site(39, serves=lambda vm, now: vm not in broken or now > 20.0)
    site.run_with(20.0, every_s=0.03)
    site.n_calls.clear()
    site.run_with(40.0, every_s=0.03)
    used = {int(vm[2:]) for vm in site.n_calls}
    # The first third of the VMs takes no long calls.
    assert broken - set(range(13)) <= used


# Guards against a long wait after an outage of everything: it should end soon after the
# first VM answers again, and with all of them in use.
@pytest.mark.parametrize("n_vms", [1, 2, 39])
@pytest.mark.parametrize("outage_s", [0.5, 3.0, 30.0])
def test_advice_comes_soon_after_all_vms_were_out_of_reach(n_vms, outage_s):
    cut_at = 10.0
    back_at = cut_at + outage_s
    site = Site(n_vms, reachable=lambda _, now: not cut_at <= now < back_at)
    site.run_until(cut_at)
    step = site.ask()
    site.run_until(back_at + 20.0)
    # A failed ping or call that ends after the return, the pause after it, the call.
    longest_s = PING_TIMEOUT_S + 1.0 + FAILED_PING_S + LASTING.decide_s
    assert step.has_advice_at - back_at <= longest_s


# Guards against an outage of the service for all VMs after which only few are used.
def test_all_vms_are_used_again_after_the_service_did_not_answer_any():
    site = Site(39, serves=lambda _, now: not 10.0 < now < 14.0)
    site.run_with(30.0, every_s=0.05)
    late = [item for item in site.steps if 20.0 < item.asked_at < 27.0]
    assert max(item.waited_s for item in late) <= 2 * PATIENT.decide_s


# Guards against a placer that is busy with pings on a large site, and against VMs that
# it finds in reach late.
def test_pings_are_bounded_on_a_large_site():
    back_at = 20.0
    site = Site(300, reachable=lambda vm, now: vm % 3 == 0 or now >= back_at)
    most = 0
    while site.now < back_at:
        site.run_until(site.now + 0.05)
        under_way = sum(item.pinged_at < math.inf for item in site.advisers)
        most = max(most, under_way)
    assert most <= MAX_PINGS
    assert sum(item.out_of_reach for item in site.advisers) == 200
    # Each VM is pinged once, the others again and again.
    longest = back_at / REPEATED_PING_SPACING_S
    assert len(site.pinged) <= 300 + longest
    counts = Counter(vm for _, vm in site.pinged)
    assert all(counts[f"vm{vm}"] == 1 for vm in range(0, 300, 3))
    assert max(counts.values()) - min(counts[f"vm{vm}"] for vm in (1, 2, 298)) <= 2
    # A ping that was under way, and a pause behind each.
    found_s = (
        PING_TIMEOUT_S + MAX_PING_PAUSE_S + 200 * (REPEATED_PING_SPACING_S + TICK_S)
    )
    site.run_until(back_at + found_s)
    assert not any(item.out_of_reach for item in site.advisers)
    n_before = len(site.pinged)
    site.run_until(site.now + 60.0)
    assert len(site.pinged) == n_before  # none are needed any more


# Guards against a VM that stays out of use although it was out of reach for a moment.
def test_a_vm_that_was_out_of_reach_for_a_moment_is_soon_used_again():
    site = Site(1, reachable=lambda _, now: not 10.0 <= now < 10.1)
    site.run_until(9.99)
    step = site.ask()
    site.run_until(13.0)
    assert step.n_failed == 1
    limit_s = FIRST_PING_S + PING_IDLE_S + 2 * TICK_S + DECIDE_TICKS * TICK_S
    assert step.waited_s <= 0.05 + FAILED_PING_S + limit_s + LASTING.decide_s


# Guards against a VM that is taken for out of reach although it answers calls.
def test_an_answer_shows_that_a_vm_is_in_reach():
    adviser = Adviser("a", n_calls=3)
    adviser.record_failure(10.0, unsent_s=0.1)
    assert not adviser.takes_calls(10.0)
    adviser.record_answer(10.1)
    assert adviser.takes_calls(10.1)
    adviser.begin_ping(10.2)
    adviser.record_refusal(10.3, 0.5)
    adviser.record_ping(10.6, answered=False)
    assert adviser.takes_calls(10.6)


# Guards against a placer that holds its own VM for cut off from it.
def test_the_placers_own_vm_needs_no_ping():
    own = Adviser("own", is_local=True)
    others = [Adviser(f"vm{number}") for number in range(9)]
    others[0].record_failure(10.0, unsent_s=0.5)
    known = [*others, own]
    assert choose_adviser(known, 10.1, 0.5, 0.8) is own
    own.record_failure(11.0)  # the service did not answer it
    assert choose_adviser(known, 11.1, 0.5, 0.8) is not own
    pinged = set()
    while (adviser := next_ping(known, 11.1)) is not None:
        adviser.begin_ping(11.1)
        pinged.add(adviser.vm)
    assert pinged == {item.vm for item in others}
    assert choose_adviser([own], 11.0 + EXCLUDE_S, 0.5, 0.8) is own


# Guards against a gauge that counts a VM twice or not at all.
def test_the_states_of_vms_add_up():
    advisers = [Adviser(f"vm{number}") for number in range(4)]
    assert adviser_states(advisers, 10.0) == {
        "in_use": 4,
        "doubtful": 0,
        "out_of_reach": 0,
        "excluded": 0,
    }
    advisers[0].record_failure(10.0, unsent_s=0.5)
    advisers[1].record_failure(10.0)
    advisers[2].record_ping(10.0, answered=True)
    advisers[1].record_ping(10.2, answered=True)
    # The last one has not been heard of; nor has the third one answered a call, while
    # one of the second was not answered.
    assert adviser_states(advisers, 10.3) == {
        "in_use": 0,
        "doubtful": 2,
        "out_of_reach": 1,
        "excluded": 1,
    }


TERMS = AdviceTerms(decide_s=0.3, per_worker_s=0.0, valid_s=2.5)


@pytest.fixture
def unresponsive_addresses():
    """Return addresses that accept connections and never answer."""
    socks = [socket.socket() for _ in range(20)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
    yield [f"127.0.0.1:{sock.getsockname()[1]}" for sock in socks]
    for sock in socks:
        sock.close()


# Guards against the same with real calls: the one VM that answers is the placer's own.
def test_a_placer_asks_only_vms_that_answer(cluster, unresponsive_addresses):
    async def main():
        cluster.publish(make_queue(advice=TERMS))
        for number, address in enumerate(unresponsive_addresses):
            key = f"{MEMBER_PREFIX}gone{number}"
            cluster.journal.append_records([(key, encode_member(Member(address)))])
        node = await cluster.start_node("a")
        await cluster.wait_for(lambda: node.leadership and node.is_ready())
        await curio.sleep(3 * PING_TIMEOUT_S)
        for number in range(4):
            job = make_job(make_step(), job_id=f"{number:016x}")
            await cluster.submit(node, job)
            await cluster.wait_for(
                lambda job=job: cluster.state(node, job.job_id) is JobState.COMPLETED,
                30.0,
            )
        counts = node.leadership.placer.counts
        assert counts["advice_unreachable"] + counts["advice_unanswered"] == 0

    curio.run(main)
