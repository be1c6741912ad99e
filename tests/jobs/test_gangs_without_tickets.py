"""Tests of gangs beside one that has places but gets no tickets."""

from __future__ import annotations

import pytest

from cuminhill.jobs.model import AdviceTerms

from .builders import (
    BEGUN_AT,
    WALL,
    make_job,
    make_placer,
    make_queue,
    make_step,
    submit,
)

VALID_S = 2.5
STEP_S = 0.05  # between decisions
MAX_IDLE_S = 3.0  # a job that waits for longer on an idle pool counts as lost


def answer(advice, call, now, *, age_s=0.0):
    tickets = [(worker, "ticket") for worker in call.workers]
    advice.store_answer(call.workers, tickets, now - age_s, VALID_S)


# Guards against a gang that does not start on an idle pool, since the places are kept
# for another one that cannot start: its tickets lapse on their way, or no call for them
# is answered any more.
@pytest.mark.parametrize("how", ["lapsed", "failing"])
def test_a_gang_without_tickets_keeps_no_other_gang_from_an_idle_pool(how):
    queue = make_queue(advice=AdviceTerms(0.05, 0.0005, VALID_S))
    placer = make_placer(queue, n_workers=20)
    submit(placer, make_job(make_step(12, 15.0, gang=True), job_id="a" * 16))
    submit(placer, make_job(make_step(10, 11.9, gang=True), job_id="b" * 16))
    n_asked, started = 0, set()
    for number in range(int(MAX_IDLE_S / STEP_S)):
        now = BEGUN_AT + number * STEP_S
        placements, calls = placer.decide(now, WALL + number * STEP_S)
        started |= {item.key.job_id[0] for item in placements}
        for call in calls:
            advice = placer.advice.for_step(call.step)
            if call.step.startswith("b"):
                answer(advice, call, now)
            elif how == "lapsed" or not n_asked:
                n_asked += 1
                answer(advice, call, now, age_s=VALID_S)
            else:
                advice.record_failure(now)
    assert started == {"b"}


# Guards against a gang whose places another one takes in the decision in which it would
# start: the tickets of both have come, and the other one has its turn first.
def test_a_gang_that_has_its_tickets_keeps_its_places():
    queue = make_queue(advice=AdviceTerms(0.05, 0.0005, VALID_S))
    placer = make_placer(queue, n_workers=20)
    submit(placer, make_job(make_step(12, 15.0, gang=True), job_id="a" * 16))
    other = make_job(
        make_step(10, 11.9, gang=True), job_id="b" * 16, accepted_at=WALL - 0.5
    )
    n_other = 0
    for number in range(int(MAX_IDLE_S / STEP_S)):
        now = BEGUN_AT + number * STEP_S
        if number == 1:
            submit(placer, other, now)
        placements, calls = placer.decide(now, WALL + number * STEP_S)
        assert not placements
        for call in calls:
            n_other += call.step.startswith("b")
            answer(placer.advice.for_step(call.step), call, now, age_s=VALID_S)
    assert n_other and list(placer.reservations) == ["a" * 16 + ".0.0"]
    for advice in placer.advice.steps.values():
        for worker in advice.ticket_until:
            advice.ticket_until[worker] = now + VALID_S
    placements, _ = placer.decide(now + STEP_S, WALL + MAX_IDLE_S)
    assert {item.key.job_id[0] for item in placements} == {"a"}
