"""Tests of the choice of VMs for advice while many of them do not answer."""

from __future__ import annotations

import heapq
import itertools
import socket
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio
import pytest

from cuminhill.jobs.advice import (
    MAX_ADVISER_QUEUE_S,
    RETRY_S,
    Adviser,
    CallRank,
    find_adviser,
    make_advice_call,
)
from cuminhill.jobs.leadership import ADVICE_SLACK_FACTOR, ADVICE_SLACK_S
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
            if self._ticks % DECIDE_TICKS == 0:
                self._decide()

    def run_with(self, until, every_s, rank=CallRank.PLACE, terms=PATIENT):
        """Let time pass; a further step needs advice at an interval."""
        while self.now < until:
            self.ask(rank, terms)
            self.run_until(min(until, self.now + every_s))

    def _at(self, at, run):
        heapq.heappush(self._events, (at, next(self._order), run))

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
        adviser = find_adviser(self.advisers, call, self.now)
        if adviser is None:
            return
        vm, cost_s = int(adviser.vm[2:]), call.cost_s
        step.calling = True
        self.n_calls[adviser.vm] += 1
        if not self.reachable(vm, self.now):
            fails_at = self.now + PING_TIMEOUT_S
            self._at(fails_at, lambda: self._fail(step, adviser, cost_s))
            return
        limit_s = max(ADVICE_SLACK_S, ADVICE_SLACK_FACTOR * cost_s) + REPLY_SLACK_S
        give_up_at = adviser.busy_until + limit_s
        ends_at = max(self.now, self._free_at[vm]) + cost_s
        if not (self.serves(vm, self.now) and self.reachable(vm, ends_at)):
            self._at(give_up_at, lambda: self._fail(step, adviser, 0.0))
            return
        self._free_at[vm] = ends_at
        self._at(ends_at, lambda: self._answer(step, adviser))

    def _answer(self, step, adviser):
        adviser.record_answer(self.now)
        step.calling, step.has_advice_at = False, self.now
        step.through = adviser.vm

    def _fail(self, step, adviser, unsent_s):
        adviser.record_failure(self.now, unsent_s)
        step.calling, step.retry_at = False, self.now + RETRY_S
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
