"""Paths by which a step of an idle site might get no turn, advice or place."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.jobs.advice import (
    MAX_ADVISER_QUEUE_S,
    MAX_EXCLUDE_S,
    MAX_PING_PAUSE_S,
    Adviser,
    CallRank,
    find_adviser,
    make_advice_call,
    next_ping,
)
from cuminhill.jobs.model import AdviceTerms, JobState
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import decode_progress, encode_progress
from cuminhill.util.kernel import run_to_end

from .builders import (
    BEGUN_AT,
    JOB_ID,
    WALL,
    answer_renewal,
    ended_row,
    make_entry,
    make_job,
    make_placer,
    make_queue,
    make_step,
    mark_started,
    submit,
)

ADVICE = AdviceTerms(decide_s=0.02, per_worker_s=0.0, valid_s=2.5)
OTHER_ID = "00000000000000bb"


async def begin(cluster, *, advice=None):
    """Start a node and return it once it leads."""
    if advice is not None:
        cluster.publish(make_queue(advice=advice))
    node = await cluster.start_node("a")
    await cluster.wait_for(cluster.leader)
    n_versions = len(cluster.tables)
    await cluster.wait_for(lambda: node.table.version == n_versions)
    return node


def is_completed(cluster, node, job_id=JOB_ID):
    return cluster.state(node, job_id) is JobState.COMPLETED


# Guards against a step that gets no advice for the rest of the term, since a call that
# ended with an unexpected error stays marked as under way.
@pytest.mark.parametrize("error", [ValueError("unexpected"), curio.TaskTimeout(0.0)])
def test_a_call_for_advice_that_ends_unexpectedly_is_repeated(cluster, error):
    async def scenario():
        node = await begin(cluster, advice=ADVICE)
        leadership, asked = node.leadership, []
        ask = leadership.ask_advice

        async def fail_first(vm, call, wait_s):
            asked.append(call.step)
            if asked.count(call.step) == 1:
                raise error
            return await ask(vm, call, wait_s)

        leadership.ask_advice = fail_first
        await cluster.submit(node, make_job(make_step(), make_step(after=(0,))))
        await cluster.wait_for(partial(is_completed, cluster, node))
        assert node.leadership is leadership
        assert not any(item.n_calls for item in leadership.advisers.values())

    run_to_end(scenario)


# Guards against jobs that are never taken in by a term that was told of them together
# with one that it could not take in.
def test_a_job_that_cannot_be_taken_in_keeps_no_other_from_being_placed(cluster):
    async def scenario():
        node = await begin(cluster)
        index, placer = node.job_index, node.leadership.placer
        add_job, pop_changed = placer.add_job, index.pop_changed

        def fail_one(progress, now):
            if progress.job.job_id == JOB_ID:
                raise KeyError("unexpected")
            add_job(progress, now)

        placer.add_job = fail_one
        # The placer hears of both at once.
        index.pop_changed = lambda: (
            sorted(pop_changed()) if len(index.entries) == 2 else []
        )
        for job_id in (JOB_ID, OTHER_ID):
            await cluster.submit(node, make_job(job_id=job_id))
        await cluster.wait_for(partial(is_completed, cluster, node, OTHER_ID))
        assert node.leadership.placer is placer

    run_to_end(scenario)


# Guards against a worker that is registered but not called for the rest of the term.
def test_a_worker_that_registers_again_while_it_is_dropped_is_called(cluster):
    async def scenario():
        node = await begin(cluster)
        leadership = node.leadership
        workers, disconnect = leadership.placer.workers, leadership.calls.disconnect

        async def register_meanwhile(address):
            cluster.add_worker("w0", incarnation=2)
            await cluster.wait_for(lambda: "w0" in workers)
            await curio.sleep(0.1)
            await disconnect(address)

        await cluster.wait_for(lambda: workers["w0"].reachable)
        for worker_id in ("w1", "w2"):  # all have one address
            cluster.remove_worker(worker_id)
        await cluster.wait_for(lambda: len(workers) == 1)
        leadership.calls.disconnect = register_meanwhile
        cluster.remove_worker("w0")
        await cluster.wait_for(lambda: "w0" not in workers)
        await cluster.wait_for(lambda: "w0" in workers and workers["w0"].reachable)

    run_to_end(scenario)


# Guards against VMs that claim one term after the other, each of which ends before it
# has begun, for one job that cannot be taken in.
def test_a_job_that_cannot_be_taken_in_keeps_no_term_from_beginning(
    cluster, monkeypatch
):
    add_job = Placer.add_job

    def fail_one(placer, progress, now):
        if progress.job.job_id == JOB_ID:
            raise KeyError("unexpected")
        add_job(placer, progress, now)

    async def scenario():
        first = await begin(cluster)
        for worker in cluster.workers.workers.values():
            worker.run_time_s = 2.0
        for job_id in (JOB_ID, OTHER_ID):
            await cluster.submit(first, make_job(make_step(), job_id=job_id))
        await cluster.wait_for(lambda: len(cluster.workers.history()) == 2)
        monkeypatch.setattr(Placer, "add_job", fail_one)
        second = await cluster.start_node("b")
        await first.drain()
        await cluster.wait_for(lambda: second.leadership is not None)
        assert second.leadership.leader_record.term == 2
        await cluster.wait_for(partial(is_completed, cluster, second, OTHER_ID))

    run_to_end(scenario)


# Guards against a second step without a turn in a term that begins before the end of
# the first one is in the journal: the worker reports that end again.
@pytest.mark.parametrize("gang", [False, True])
def test_an_end_that_the_journal_has_not_taken_counts_in_the_next_term(gang):
    steps = make_step(2, gang=gang), make_step(3, after=(0,))
    earlier = make_placer()
    progress = submit(earlier, make_job(*steps))
    placed, _ = earlier.decide(BEGUN_AT, WALL)
    mark_started(earlier, placed)
    stored = encode_progress(progress, BEGUN_AT + 1)
    ends = {}
    for number, item in enumerate(placed, 1):
        ends.setdefault(item.worker_id, []).append(ended_row(item, number))
    for worker_id, rows in ends.items():
        answer_renewal(earlier, worker_id, BEGUN_AT + 2, ended=tuple(rows))
    assert progress.is_ready(0, 1, WALL)
    later = Placer(2, BEGUN_AT + 3)
    later.table = earlier.table
    copy = decode_progress(progress.job, stored, BEGUN_AT + 2.5)
    later.add_job(copy, BEGUN_AT + 3)
    for worker_id in ("w1", "w2"):
        later.register_worker(make_entry(worker_id), BEGUN_AT + 3)
        rows = tuple(ends.get(worker_id, ()))
        answer_renewal(later, worker_id, BEGUN_AT + 3, ended=rows)
    started, _ = later.decide(BEGUN_AT + 3, WALL + 3)
    assert [item.key.step for item in started] == [1, 1, 1]
    assert copy.idle_fields(BEGUN_AT + 3)["idle_from"] == "last run"


HISTORY = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(["answer", "refuse", "unsent", "unanswered", "ping", "silent"]),
        st.floats(0.0, 1.0),
    ),
    max_size=60,
)


# Guards against calls that no VM gets although all of them answer, after whatever has
# happened to earlier calls.
@settings(max_examples=300, deadline=None)
@given(HISTORY, st.sampled_from(list(CallRank)))
def test_a_call_finds_a_vm_soon_after_all_answer_again(history, rank):
    advisers = [Adviser(f"vm{number}", is_local=not number) for number in range(6)]
    terms = AdviceTerms(decide_s=0.4, per_worker_s=0.005, valid_s=2.5)
    call = make_advice_call("s", {f"w{number}": 1 for number in range(30)}, terms, rank)
    now = BEGUN_AT
    for number, event, passed_s in history:
        now += passed_s
        adviser = find_adviser(advisers, call, now) or advisers[number]
        if event == "answer":
            adviser.record_answer(now, passed_s)
        elif event == "refuse":
            adviser.record_refusal(now, passed_s)
        elif event == "unsent":
            adviser.record_failure(now, call.cost_s, passed_s)
        elif event == "unanswered":
            adviser.record_failure(now, lost_s=passed_s)
        else:
            adviser.begin_ping(now)
            adviser.record_ping(now, answered=event == "ping")
    # Each ping out is answered, and no call is under way any more.
    give_up_at = now + MAX_EXCLUDE_S + MAX_PING_PAUSE_S + MAX_ADVISER_QUEUE_S
    call = replace(call, failed_at=now)
    while find_adviser(advisers, call, now) is None:
        assert now < give_up_at
        now += 0.05
        adviser = next_ping(advisers, now)
        if adviser is not None:
            adviser.begin_ping(now)
            adviser.record_ping(now + 0.01, answered=True)


# Guards against a VM that renews its term but no longer places tasks, or no longer
# follows a log, since the task was ended by a time-out, which is no Exception.
def test_a_task_that_a_time_out_ends_is_replaced(cluster):
    async def scenario():
        node = await begin(cluster)
        leadership = node.leadership

        def run_out_of_time(*_):
            raise curio.TaskTimeout(0.0)

        leadership.placer.tick = run_out_of_time
        await cluster.wait_for(lambda: node.leadership not in {None, leadership})
        deliver = node.leadership.jobs_changed
        n_failed = []

        async def fail_once(job_ids):
            if not n_failed:
                n_failed.append(1)
                raise curio.TaskTimeout(0.0)
            await deliver(job_ids)

        node.leadership.jobs_changed = fail_once
        await cluster.submit(node, make_job())
        await cluster.wait_for(lambda: n_failed)
        await cluster.submit(node, make_job(job_id=OTHER_ID))
        await cluster.wait_for(partial(is_completed, cluster, node, OTHER_ID))

    run_to_end(scenario)


# Guards against registrations that are lost to a term, since it was told of them
# together with one that it could not take in.
@pytest.mark.parametrize("at_begin", [True, False])
def test_a_worker_that_cannot_be_taken_in_keeps_out_no_other(
    cluster, monkeypatch, at_begin
):
    register = Placer.register_worker

    def fail_one(placer, entry, now):
        if entry.worker_id == "w0":
            raise KeyError("unexpected")
        register(placer, entry, now)

    async def scenario():
        if at_begin:
            monkeypatch.setattr(Placer, "register_worker", fail_one)
        node = await begin(cluster)
        monkeypatch.setattr(Placer, "register_worker", fail_one)
        entries = [make_entry(worker_id) for worker_id in ("w0", "w9")]
        cluster.add_worker("w9")
        await node.leadership.workers_changed(entries, [])
        workers = node.leadership.placer.workers
        await cluster.wait_for(lambda: "w9" in workers and workers["w9"].reachable)
        assert "w1" in workers

    run_to_end(scenario)
