"""Tests of starts whose tickets lapse between the decision and the sending."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.jobs import decisions
from cuminhill.jobs.advice import AdviceAnswer, CallRank
from cuminhill.jobs.decisions import (
    MAX_STEPS_PER_DECISION,
    MIN_STEPS_PER_DECISION,
    limit_steps,
)
from cuminhill.jobs.model import (
    AdviceTerms,
    JobState,
    StartReply,
    StartResult,
)
from cuminhill.jobs.placer import MAX_LATE_START_S
from cuminhill.jobs.records import JOB_PREFIX, encode_job
from standins.job_platform import MemoryAdvice, MemoryWorkers

from .builders import (
    BEGUN_AT,
    WALL,
    make_entry,
    make_job,
    make_placer,
    make_queue,
    make_step,
    make_table,
    submit,
)

NOW = BEGUN_AT + 1.0
# A ticket is usable for 0.75 s, of which the call that brings it takes nothing.
TERMS = AdviceTerms(0.15, 0.002, 1.0)
N_JOBS = 3
GANG_TIMEOUT_S = 3.0  # for which members of a gang wait for the others
STEP = {"n_tasks": 12, "cores": 4.0, "run_time_s": 0.3}


@dataclass(eq=False)
class SlowAdvice(MemoryAdvice):
    """Advice that takes its time; its tickets tell when they were issued."""

    terms: AdviceTerms = TERMS
    named: list = field(default_factory=list)

    async def ask(self, step, workers, timeout_s):
        """Return the permitted workers for a step, each with its ticket."""
        self.named.append(len(workers))
        await curio.sleep(self.terms.decide_s + self.terms.per_worker_s * len(workers))
        answer = await super().ask(step, workers, timeout_s)
        return [(worker, f"{boottime()}") for worker, _ in answer]


@dataclass(eq=False)
class TicketedWorkers(MemoryWorkers):
    """Workers that refuse lapsed tickets and may answer starts late.

    Parameters
    ----------
    start_s : float, seconds
        Time of a start call.
    """

    start_s: float = 0.0
    n_refused: int = 0

    async def start(self, order, timeout_s):
        """Start a run if its ticket is valid."""
        await curio.sleep(self.start_s)
        if boottime() > float(order.ticket or "inf") + TERMS.valid_s:
            self.n_refused += 1
            return StartReply(StartResult.BAD_TICKET)
        return await super().start(order, timeout_s)


async def _start(cluster, terms=TERMS):
    cluster.workers = TicketedWorkers(cluster.workers.workers)
    cluster.advice = SlowAdvice(terms=terms)
    cluster.tables = [make_table(make_queue(advice=terms))]
    node = await cluster.start_node("vm1")
    await cluster.wait_for(
        lambda: cluster.leader() is node and node.leadership.may_act()
    )
    return node


def _submit(cluster, n_jobs=N_JOBS, **step):
    job_ids = [f"{number:016x}" for number in range(1, n_jobs + 1)]
    for job_id in job_ids:
        job = make_job(make_step(**(STEP | step)), job_id=job_id)
        cluster.needs[job.payload] = job.steps[0].need
        cluster.journal.append_records([(JOB_PREFIX + job_id, encode_job(job))])
    return job_ids


async def _wait_until_completed(cluster, node, job_ids, timeout_s):
    def completed():
        states = [cluster.state(node, job_id) for job_id in job_ids]
        return states.count(JobState.COMPLETED)

    give_up_at = boottime() + timeout_s
    while completed() < len(job_ids) and boottime() < give_up_at:
        await curio.sleep(0.02)
    assert completed() == len(job_ids)


def _slow_journal(cluster, node):
    cluster.views["vm1"][0].faults.delay_s = 0.6


def _slow_decisions(cluster, node):
    cluster.views["vm1"][0].faults.delay_s = 0.05
    decide = node.leadership.placer.decide

    def slow_decide(now, wall):
        time.sleep(0.45)  # holds up all tasks of the process, as a long decision does
        return decide(now, wall)

    node.leadership.placer.decide = slow_decide


def _slow_starts(cluster, node):
    cluster.workers.start_s = 0.3


# Guards against tasks that are assigned and released without end since their tickets
# lapse while the assignment is written, by whatever the time is taken (issue 49).
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("make_slow", [_slow_journal, _slow_decisions, _slow_starts])
def test_tasks_start_though_tickets_lapse_before_their_starts_are_sent(
    cluster, make_slow, gang
):
    async def scenario():
        node = await _start(cluster)
        make_slow(cluster, node)
        if gang:  # the first end of a member is that of all
            for worker in cluster.workers.workers.values():
                worker.run_time_s = 1.5
        job_ids = _submit(cluster, gang=gang)
        await _wait_until_completed(cluster, node, job_ids, 25.0)
        counts = node.leadership.placer.counts
        n_tasks = N_JOBS * STEP["n_tasks"]
        # Tasks that are assigned anew cost a call for advice and two records each time.
        assert counts["placements"] <= 1.2 * n_tasks
        assert cluster.workers.n_refused <= 0.1 * n_tasks

    curio.run(scenario)


def _make_placed(n_workers=3, n_tasks=6, **step):
    """Return a placer with a step that was placed at NOW, and its placements."""
    placer = make_placer(make_queue(advice=TERMS), n_workers=n_workers)
    submit(placer, make_job(make_step(n_tasks, 4.0, **step)))
    _answer(placer, placer.decide(NOW, WALL)[1], NOW)
    placements, _ = placer.decide(NOW, WALL)
    assert len(placements) == n_tasks
    return placer, placements


def _answer(placer, calls, now):
    """Have advice permit all workers named."""
    for call in calls:
        advice = placer.advice.for_step(call.step)
        tickets = [(worker, "t") for worker in call.workers]
        advice.store_answer(call.workers, tickets, now, call.valid_s)


# Guards against one call for advice for each start of a step, and against calls that
# name the whole pool once more.
@pytest.mark.parametrize("gang", [False, True])
def test_late_starts_of_a_step_get_their_tickets_from_one_call(gang):
    placer, placements = _make_placed(n_workers=30, gang=gang)
    late = NOW + TERMS.valid_s
    assert [placer.ticket(item, late) for item in placements] == [None] * 6
    sendable, (call,) = placer.renew_tickets(late)
    assert not sendable
    assert set(call.workers) == {item.worker_id for item in placements}
    assert call.cost_s < 0.17
    _answer(placer, [call], late + 0.2)
    assert placer.renew_tickets(late + 0.2) == (placements, [])
    assert [placer.ticket(item, late + 0.2) for item in placements] == ["t"] * 6


# Guards against two calls at a time for one step, of which the decision makes one.
def test_a_step_with_late_starts_makes_no_other_call():
    placer, placements = _make_placed(n_workers=1, n_tasks=4)
    late = NOW + TERMS.valid_s
    for item in placements[2:]:
        placer.release_unsent(item, "lost", late)
    (call,) = placer.decide(late, WALL)[1]  # for the two tasks that wait again
    for item in placements[:2]:
        placer.ticket(item, late)
    assert placer.decide(late, WALL)[1] == []
    placer.advice.for_step(call.step).calling = True
    assert placer.renew_tickets(late) == ([], [])


# Guards against a start on a worker that has ended, and against a gang of which some
# members wait for tickets while the others have been released.
@pytest.mark.parametrize("gang", [False, True])
def test_late_starts_on_a_lost_worker_are_released(gang):
    placer, placements = _make_placed(gang=gang)
    late = NOW + TERMS.valid_s
    for item in placements:
        placer.ticket(item, late)
    gone = placements[0].worker_id
    placer.register_worker(make_entry(gone, incarnation=2), late)
    _, calls = placer.renew_tickets(late)
    if gang:
        assert not calls
        assert not placer.late_starts
        return
    assert [gone in call.workers for call in calls] == [False]
    _answer(placer, calls, late)
    sendable, _ = placer.renew_tickets(late)
    assert sendable == [item for item in placements if item.worker_id != gone]


# Guards against a member of a gang that gives up its wait for the others (`alone`)
# while one of them still waits for a new ticket.
def test_a_gang_does_not_wait_on_its_workers_for_a_late_start():
    placer, placements = _make_placed(gang=True)
    early = {item.worker_id: 1 for item in placements[:1]}
    advice = placer.advice.for_step(placements[0].key.step_name)
    late = NOW + TERMS.valid_s
    advice.store_answer(early, [(name, "t") for name in early], late, TERMS.valid_s)
    for item in placements:
        if placer.ticket(item, late) is not None:
            slot = placer.sendable_slot(item, late)
            slot.sent, slot.started_at = True, late
    assert 0 < len(placer.late_starts[placements[0].key.step_name]) < 6
    assert placer.renew_tickets(late + 1.0)[1]
    assert placer.renew_tickets(late + GANG_TIMEOUT_S / 2 + 0.1) == ([], [])
    assert not placer.late_starts
    stops = {(item.key, item.reason) for item in placer.take_stops()}
    assert stops == {
        (item.key, "gang") for item in placements if item.worker_id in early
    }


# Guards against a start that keeps its worker without end, since each new ticket lapses
# behind the earlier starts on that worker: another one may be free.
def test_a_start_whose_new_tickets_lapse_as_well_is_released():
    placer, placements = _make_placed(n_workers=1, n_tasks=1)
    first_late = at = NOW + TERMS.valid_s
    while at <= first_late + MAX_LATE_START_S:
        assert placer.ticket(placements[0], at) is None
        _answer(placer, placer.renew_tickets(at)[1], at)
        assert placer.renew_tickets(at) == (placements, [])
        at += TERMS.valid_s
    assert placer.ticket(placements[0], at) is None
    assert placer.renew_tickets(at) == ([], [])
    assert placer.workers["w1"].free.cores == 16.0


def test_late_starts_of_a_cancelled_job_are_dropped():
    """Guards against calls for advice for a job that has ended."""
    placer, placements = _make_placed()
    for item in placements:
        placer.ticket(item, NOW + TERMS.valid_s)
    placer.cancel_job(placements[0].key.job_id, NOW + TERMS.valid_s)
    assert placer.renew_tickets(NOW + TERMS.valid_s) == ([], [])
    assert not placer.late_starts


# Guards against tickets that are valid when a start is decided and not when it is sent.
def test_tickets_are_used_only_if_they_outlast_the_usual_time_until_a_start_is_sent():
    placer = make_placer(make_queue(advice=TERMS))
    submit(placer, make_job())
    _answer(placer, placer.decide(NOW, WALL)[1], NOW)
    placer.note_send_time(0.3)
    at = NOW + 0.5
    placements, calls = placer.decide(at, WALL)
    assert (placements, len(calls)) == ([], 1)
    _answer(placer, calls, at)
    assert len(placer.decide(at, WALL)[0]) == 1


# Guards against an estimate that no ticket outlasts, after which nothing is sent that
# could lower it.
def test_a_new_ticket_is_used_whatever_the_time_until_starts_are_sent():
    placer = make_placer(make_queue(advice=TERMS))
    submit(placer, make_job())
    placer.note_send_time(30.0)
    _answer(placer, placer.decide(NOW, WALL)[1], NOW)
    assert len(placer.decide(NOW + 0.1, WALL)[0]) == 1
    placer.note_send_time(0.1)
    assert placer.send_s < 30.0


# Guards against starts without number that wait for a journal that stores nothing.
def test_nothing_is_placed_while_earlier_starts_have_waited_for_a_ticket_s_time():
    placer = make_placer(make_queue(advice=TERMS), make_queue("free"))
    submit(placer, make_job())
    submit(placer, make_job(queue="free", job_id="b" * 16))
    _answer(placer, placer.decide(NOW, WALL)[1], NOW)
    placer.unsent_since = NOW - TERMS.valid_s
    submit(placer, make_job(queue="free", job_id="c" * 16))
    placements, calls = placer.decide(NOW + 0.1, WALL)
    assert [item.key.job_id for item in placements] == ["c" * 16]
    assert not calls
    placer.unsent_since = math.inf
    assert len(placer.decide(NOW + 0.2, WALL)[0]) == 1


# Guards against starts that a worker rejects since the answer with their tickets has
# waited for the process of the placer, which then counted their validity from too late.
def test_tickets_count_from_their_issue_though_the_answer_waits_for_the_process(
    cluster,
):
    async def scenario():
        node = await _start(cluster)
        _submit(cluster, n_jobs=1, n_tasks=1)
        await cluster.wait_for(lambda: cluster.advice.named)
        asked_at = boottime()
        time.sleep(0.6)  # the answer, after 0.15 s, is not read meanwhile
        advice = node.leadership.placer.advice.for_step(f"{1:016x}.0.0")
        await cluster.wait_for(lambda: advice.ticket_until)
        assert max(advice.ticket_until.values()) < asked_at + 0.3 + TERMS.valid_s

    curio.run(scenario)


# Guards against decisions that take so long, since many steps wait, that all tickets
# have lapsed by the next one: nothing starts then, and ever more steps wait (issue 49).
def test_tasks_start_though_a_decision_on_all_waiting_steps_outlasts_the_tickets(
    cluster, monkeypatch
):
    find_waiting = decisions.waiting_steps

    def slow_waiting_steps(placer, wall):
        rows = find_waiting(placer, wall)
        time.sleep(0.01 * len(rows))
        return rows

    async def scenario():
        node = await _start(cluster, AdviceTerms(0.01, 0.001, TERMS.valid_s))
        monkeypatch.setattr(decisions, "waiting_steps", slow_waiting_steps)
        job_ids = _submit(cluster, n_jobs=120, n_tasks=1)
        await _wait_until_completed(cluster, node, job_ids, 25.0)
        assert node.leadership.placer.counts["placements"] <= 1.2 * len(job_ids)

    curio.run(scenario)


# Guards against calls for advice of a term that has ended, beside the next one's.
def test_a_term_that_has_ended_asks_for_no_new_tickets(cluster):
    async def scenario():
        node = await _start(cluster)
        leadership = node.leadership
        asked, ask = [], leadership.ask_advice

        async def permit_no_late_start(vm, call, timeout_s):
            if call.step not in leadership.placer.late_starts:
                return await ask(vm, call, timeout_s)
            asked.append(call)
            await curio.sleep(0.1)
            return AdviceAnswer([])

        leadership.ask_advice = permit_no_late_start
        _slow_journal(cluster, node)
        _submit(cluster, n_jobs=1, n_tasks=1)
        await cluster.wait_for(lambda: asked)
        await leadership.end()
        n_asked = len(asked)
        await curio.sleep(0.5)
        assert len(asked) == n_asked

    curio.run(scenario)


# Guards against an urgent step whose call waits behind those for the late starts of
# patient ones, since these took the VMs that were free.
def test_calls_for_late_starts_have_the_rank_of_their_steps(cluster):
    async def scenario():
        node = await _start(cluster)
        tables = make_table(
            make_queue(advice=TERMS, priority=1), make_queue("urgent", advice=TERMS)
        )
        leadership, ranks = node.leadership, []
        placer = leadership.placer
        placer.table = tables
        submit(placer, make_job(make_step(1, 4.0)), boottime())
        _answer(placer, placer.decide(boottime(), time.time())[1], boottime())
        (late,), _ = placer.decide(boottime(), time.time())
        placer.advice.for_step(late.key.step_name).drop_ticket(late.worker_id)
        assert placer.ticket(late, boottime()) is None
        submit(placer, make_job(queue="urgent", job_id="b" * 16), boottime())

        async def note_call(call, now, unserved=None):
            ranks.append(call.rank)

        leadership._schedule_advice = note_call
        await leadership._place_once()
        assert ranks == [CallRank.URGENT, CallRank.PLACE]

    curio.run(scenario)


def test_a_decision_considers_as_many_steps_as_its_time_allows():
    """Guards against long decisions, and few steps when they are short again."""
    assert limit_steps(200, 200, 1.0) == 50
    assert limit_steps(100, 200, 0.5) == 50
    assert limit_steps(200, 200, 60.0) == MIN_STEPS_PER_DECISION
    # The time is not that of the steps if few are considered.
    assert limit_steps(10, 50, 0.1) == 50
    n_steps = MIN_STEPS_PER_DECISION
    for _ in range(20):
        n_steps = limit_steps(n_steps, n_steps, 0.01)
    assert n_steps == MAX_STEPS_PER_DECISION


# Guards against calls for advice whose tickets lapse before the turn of their step.
def test_steps_with_new_advice_have_their_turn_first():
    placer = make_placer(make_queue(advice=TERMS))
    for number in range(MAX_STEPS_PER_DECISION + 100):
        submit(placer, make_job(job_id=f"{number:016x}"))
    names = [row[0].name for row in decisions.waiting_steps(placer, WALL)]
    left = list(placer.left_out)
    placer.advice.for_step(left[-1]).store_answer({"w1": 1}, [], NOW, TERMS.valid_s)
    names = [row[0].name for row in decisions.waiting_steps(placer, WALL)]
    assert left[-1] in names
    assert placer.decide(NOW, WALL)
    assert not placer.advice.is_new(left[-1])
