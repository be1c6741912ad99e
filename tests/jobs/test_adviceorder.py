"""Tests of which calls for advice are made, and of their order."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminhill.jobs.advice import (
    LONG_CALL_S,
    MAX_ADVISER_QUEUE_S,
    AdviceCall,
    Adviser,
    CallRank,
    find_adviser,
    make_advice_call,
    search_key,
)
from cuminhill.jobs.adviceplans import FIRST_ANSWERS_S
from cuminhill.jobs.model import AdviceTerms

from .builders import (
    BEGUN_AT,
    WALL,
    make_job,
    make_placer,
    make_queue,
    make_step,
    mark_started,
    submit,
)

NOW = BEGUN_AT
TICK_S = 0.02
PERMITTED = 0.35  # share of the workers
LASTING = AdviceTerms(decide_s=0.45, per_worker_s=0.0065, valid_s=2.5)
PATIENT = AdviceTerms(decide_s=0.43, per_worker_s=0.0061, valid_s=2.5)
URGENT = AdviceTerms(decide_s=0.026, per_worker_s=0.00037, valid_s=2.5)
QUEUES = (
    make_queue("lasting", priority=1, stretch=2.2, target_s=2.5, advice=LASTING),
    make_queue("patient", priority=2, stretch=2.2, target_s=1.2, advice=PATIENT),
    make_queue("filler", priority=2),
)


def permits(step, worker_id):
    digest = hashlib.sha256(f"{step} {worker_id}".encode()).digest()
    return digest[0] < PERMITTED * 256


@dataclass(eq=False)
class Simulation:
    """Placer and an advice service that serves the calls of each VM in turn."""

    placer: object
    n_vms: int = 9
    now: float = NOW
    n_calls: int = 0
    calls: list = field(default_factory=list)
    started: dict = field(default_factory=dict)

    def __post_init__(self):
        self.advisers = [Adviser(f"vm{number}") for number in range(self.n_vms)]
        self.free_at = dict.fromkeys((item.vm for item in self.advisers), 0.0)
        self._answers = []

    def run_until(self, until):
        """Make decisions until a time."""
        while self.now < until:
            self.now += TICK_S
            self._deliver()
            self.placer.tick(self.now)
            placements, calls = self.placer.decide(self.now, WALL + self.now - NOW)
            mark_started(self.placer, placements, self.now)
            for item in placements:
                self.started.setdefault(item.key.step_name, []).append(self.now)
            for call in calls:
                self._send(call)

    def _send(self, call):
        adviser = find_adviser(self.advisers, call, self.now)
        if adviser is None:
            return
        self.calls.append((self.now, call.step))
        self.placer.advice.for_step(call.step).calling = True
        at = max(self.now, self.free_at[adviser.vm]) + call.cost_s
        self.free_at[adviser.vm] = at
        self._answers.append((at, adviser, call))

    def _deliver(self):
        due = [item for item in self._answers if item[0] <= self.now]
        self._answers = [item for item in self._answers if item[0] > self.now]
        for at, adviser, call in due:
            tickets = [(w, f"t-{w}") for w in call.workers if permits(call.step, w)]
            adviser.record_answer(self.now)
            advice = self.placer.advice.for_step(call.step)
            advice.store_answer(call.workers, tickets, at, call.valid_s)


def make_simulation(n_lasting, n_patient):
    """Return a simulation in which all lasting tasks run and no patient one fits."""
    placer = make_placer(*QUEUES, n_workers=24)
    sim = Simulation(placer)
    for number in range(n_lasting):
        step = make_step(1, 4.0, run_time_s=0.32, long_running=True)
        job = make_job(step, job_id=f"{number:016x}", queue="lasting")
        submit(placer, job)
    sim.run_until(NOW + 6.0)
    assert len(sim.started) == n_lasting
    for number in range(n_patient):
        step = make_step(13, 20.0, run_time_s=3.8)  # workers have 16 cores
        job = make_job(
            step,
            job_id=f"{1000 + number:016x}",
            queue="patient",
            accepted_at=WALL + sim.now - NOW,
        )
        submit(placer, job, sim.now)
    sim.run_until(sim.now + 4.0)
    return sim


def lose_workers(sim):
    """Lose all workers with lasting tasks at once; return when their leases lapse."""
    lapse = 0.0
    for worker in sim.placer.workers.values():
        if worker.slots:
            lease_s = sim.placer.times.lease.lease_s
            worker.record_lease(worker.lease_end_ms(sim.now, lease_s))
            sim.placer.worker_unreachable(worker.worker_id, sim.now)
            lapse = max(lapse, worker.lapse_at)
    return lapse


# Guards against lasting tasks that stand still for want of advice after the leases on
# their workers have lapsed: calls for them came after those of patient steps, too late
# to be answered by then, and calls for tasks that fit nowhere held the service.
@pytest.mark.parametrize(
    ("n_lasting", "n_patient", "new_term", "bound_s"),
    [
        (12, 10, False, 0.1),
        (12, 30, True, 0.1),
        (20, 30, True, 0.6),
        (20, 60, True, 1.2),
    ],
)
def test_lost_lasting_tasks_have_advice_when_their_leases_lapse(
    n_lasting, n_patient, new_term, bound_s
):
    sim = make_simulation(n_lasting, n_patient)
    lapse = lose_workers(sim)
    if new_term:  # it knows no advice of its predecessor's
        sim.placer.advice.steps.clear()
    lost_at = sim.now
    sim.run_until(lapse + 6.0)
    assert len(sim.started) == n_lasting
    assert all(len(times) == 2 for times in sim.started.values())
    assert max(times[-1] for times in sim.started.values()) - lapse < bound_s
    # One call for each step is enough.
    n_calls = sum(step in sim.started for at, step in sim.calls if at > lost_at)
    assert n_calls == n_lasting


# Guards against a lost lasting task for which a worker gets room while its tickets are
# being renewed, and that waits for the call.
def test_lost_lasting_tasks_without_room_have_tickets_at_any_time():
    sim = make_simulation(n_lasting=3, n_patient=0)
    lapse = lose_workers(sim)
    fillers = make_step(24, 14.0, run_time_s=60.0)
    submit(sim.placer, make_job(fillers, job_id=f"{99:016x}", queue="filler"), sim.now)
    lost = list(sim.started)
    sim.run_until(lapse + 0.2)
    calls_before = len(sim.calls)
    without_s = 0.0
    while sim.now < lapse + 8.0:
        sim.run_until(sim.now + TICK_S / 2)
        for step in lost:
            advice = sim.placer.advice.for_step(step)
            without_s += TICK_S * (not advice.has_valid_ticket(sim.now))
    assert all(len(sim.started[step]) == 1 for step in lost)
    assert without_s < 0.1
    # Their tickets are valid for 2.25 s, of which the next call takes a quarter.
    assert len(sim.calls) - calls_before <= len(lost) * 6


# Guards against calls that serve nothing until a task fits, and that hold the service
# meanwhile: renewals for steps that fit nowhere took all VMs.
def test_renewals_of_tickets_leave_vms_idle():
    advisers = [Adviser(f"vm{number}") for number in range(9)]
    renewal = make_advice_call("s", {"w1": 1}, PATIENT, CallRank.RENEW)
    taken = 0
    while find_adviser(advisers, renewal, NOW) is not None:
        taken += 1
    assert taken == 3
    place = make_advice_call("s", {"w1": 1}, PATIENT, CallRank.PLACE)
    adviser = find_adviser(advisers, place, NOW)
    assert adviser.busy_until == pytest.approx(NOW + place.cost_s)
    assert find_adviser([Adviser("only")], renewal, NOW) is not None


# Guards against patient calls that occupy the queues of all VMs in advance, so that
# those of lost lasting tasks come behind them.
def test_patient_calls_leave_the_queues_to_calls_for_lost_tasks():
    advisers = [Adviser(f"vm{number}") for number in range(9)]
    place = make_advice_call("s", {"w1": 1}, PATIENT, CallRank.PLACE)
    while find_adviser(advisers, place, NOW) is not None:
        pass
    back = make_advice_call("s", {"w1": 1}, LASTING, CallRank.RETURN)
    adviser = find_adviser(advisers, back, NOW)
    assert adviser.busy_until - NOW < place.cost_s + back.cost_s + 0.01
    assert adviser.busy_until - NOW < MAX_ADVISER_QUEUE_S + back.cost_s


# Guards against checks that wait behind calls for lost tasks.
def test_urgent_calls_find_a_vm_without_long_calls():
    advisers = [Adviser(f"vm{number}") for number in range(9)]
    for rank in CallRank:
        call = make_advice_call("s", {"w1": 1}, LASTING, rank)
        assert call.cost_s > LONG_CALL_S
        while find_adviser(advisers, call, NOW) is not None:
            pass
    urgent = make_advice_call("s", {"w1": 1}, URGENT, CallRank.URGENT)
    assert find_adviser(advisers, urgent, NOW).busy_until < NOW + 0.05


# Guards against an order of calls that follows the order of placement, in which lasting
# tasks that have been lost may come last.
def test_calls_are_ordered_by_what_they_are_for():
    queues = (*QUEUES, make_queue("urgent", priority=0, advice=URGENT))
    placer = make_placer(*queues, n_workers=24)
    sim = Simulation(placer)
    for number in range(2):
        step = make_step(1, 4.0, run_time_s=0.32, long_running=True)
        submit(placer, make_job(step, job_id=f"{number:016x}", queue="lasting"))
    sim.run_until(NOW + 3.0)
    assert len(sim.started) == 2
    lapse = lose_workers(sim)
    submitted_at = lapse - 1.0
    placer.advice.steps.clear()
    for number, queue in ((10, "patient"), (11, "urgent"), (12, "patient")):
        accepted_at = WALL + submitted_at - NOW
        job = make_job(
            make_step(1, 4.0),
            job_id=f"{number:016x}",
            queue=queue,
            accepted_at=accepted_at,
        )
        submit(placer, job, submitted_at)
    _, calls = placer.decide(submitted_at, WALL + submitted_at - NOW)
    assert [call.rank for call in calls] == [
        CallRank.URGENT,
        CallRank.RETURN,
        CallRank.RETURN,
        CallRank.PLACE,
        CallRank.PLACE,
    ]
    # The same when they have been lost.
    later = lapse + 0.1
    placer.tick(later)
    placer.advice.steps.clear()
    _, calls = placer.decide(later, WALL + later - NOW)
    assert [call.rank for call in calls][:3] == [
        CallRank.URGENT,
        CallRank.RETURN,
        CallRank.RETURN,
    ]


# Guards against calls for the tasks of all workers in the first moment of a term, in
# which none of them has answered yet.
def test_a_new_term_asks_for_no_advice_before_workers_can_have_answered():
    sim = make_simulation(n_lasting=2, n_patient=0)
    lapse = lose_workers(sim)
    sim.placer.advice.steps.clear()
    sim.placer.begun_at = lapse - 0.5
    now = sim.placer.begun_at + FIRST_ANSWERS_S / 2
    assert sim.placer.decide(now, WALL) == ([], [])
    now = sim.placer.begun_at + FIRST_ANSWERS_S + 0.01
    assert len(sim.placer.decide(now, WALL)[1]) == 2


@given(
    st.lists(
        st.tuples(
            st.sampled_from([0.0, 0.1, 0.31, 0.9]),  # how long the VM is busy
            st.sampled_from([0, 0, 1]),  # failures
            st.sampled_from([-9.0, -0.1, 0.0]),  # when it was last heard of
        ),
        max_size=7,
    ),
    st.lists(
        st.tuples(
            st.sampled_from(CallRank),
            st.sampled_from([0.01, 0.15, 0.4, 0.7]),
            st.sampled_from([None, -0.3]),
        ),
        max_size=25,
    ),
)
def test_calls_with_a_key_that_found_no_vm_are_left_out_without_effect(states, calls):
    """Guards against a step that isn't asked about since another one found no VM."""
    fleets = [
        [Adviser(f"vm{number}") for number in range(len(states))] for _ in range(2)
    ]
    for advisers in fleets:
        for adviser, (busy_s, n_failures, heard_s) in zip(
            advisers, states, strict=True
        ):
            adviser.busy_until, adviser.heard_at = NOW + busy_s, NOW + heard_s
            adviser.n_failures = adviser.n_unanswered = n_failures
            adviser.risk_s = 0.3 * n_failures
            adviser.failed_at = NOW - 0.5 if n_failures else adviser.failed_at
    unserved = set()
    for rank, cost_s, failed_s in calls:
        failed_at = None if failed_s is None else NOW + failed_s
        call = AdviceCall("step", {}, cost_s, 2.0, rank=rank, failed_at=failed_at)
        plain = find_adviser(fleets[0], call, NOW)
        if search_key(call) in unserved:
            assert plain is None
            continue
        found = find_adviser(fleets[1], call, NOW)
        assert (found and found.vm) == (plain and plain.vm)
        if found is None:
            unserved.add(search_key(call))
        else:
            unserved.clear()
