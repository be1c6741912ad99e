"""Tests of moving tasks off workers that are about to leave."""

from __future__ import annotations

import random
from dataclasses import replace

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.errors import UnknownOutcomeError
from cuminhill.jobs.evacuation import HOLD_S, MOVE_S
from cuminhill.jobs.fleet import Slot
from cuminhill.jobs.model import (
    AdviceTerms,
    EndKind,
)
from cuminhill.util.kernel import run_to_end
from standins.job_platform import overlapping_runs

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
    running_row,
    submit,
    task_key,
)
from .plays import Play

NOW = BEGUN_AT
ADVICE = AdviceTerms(decide_s=0.4, per_worker_s=0.01, valid_s=2.5)


def drain(placer, worker_id, now=NOW, left_s=2.0, **more):
    """Have a worker say that it leaves."""
    entry = placer.workers[worker_id].entry
    placer.register_worker(
        replace(entry, draining=True, drain_left_s=left_s, drain_read_at=now, **more),
        now,
    )


def place(placer, *steps, now=NOW, **more):
    """Submit a job, place its tasks and have them started; return the placements."""
    submit(placer, make_job(*steps, **more), now)
    placed, _ = placer.decide(now, WALL)
    mark_started(placer, placed, now)
    return placed


def evacuated(placer, now=NOW):
    """Decide once; return the workers and runs that are stopped to be moved."""
    placer.decide(now, WALL)
    return [
        (stop.worker_id, stop.key, stop.run)
        for stop in placer.take_stops()
        if stop.reason == "evacuated"
    ]


# Guards against a long-running task that stays on a worker until it exits, and then
# stands still until the leases there have lapsed.
def test_a_long_running_task_leaves_a_draining_worker():
    placer = make_placer()
    (run,) = place(placer, make_step(long_running=True))
    assert evacuated(placer) == []
    drain(placer, run.worker_id)
    assert evacuated(placer) == [(run.worker_id, run.key, run.run)]
    assert placer.counts["stops_evacuated"] == 1
    # Guards against a second run beside the first, whose end is not known yet.
    assert placer.decide(NOW + 0.1, WALL)[0] == []
    assert placer.take_stops() == []
    answer_renewal(
        placer, run.worker_id, NOW + 0.2, ended=(ended_row(run, 1, EndKind.STOPPED),)
    )
    (again,) = placer.decide(NOW + 0.2, WALL)[0]
    assert again.worker_id != run.worker_id
    assert again.run == run.run + 1


# Guards against a stop of a task for which there is no room elsewhere: it would stand
# still although its worker goes on for a while.
def test_a_task_without_a_place_elsewhere_stays():
    placer = make_placer()
    (run,) = place(placer, make_step(cores=10.0, long_running=True))
    drain(placer, run.worker_id)
    (other,) = place(placer, make_step(cores=10.0), job_id="00000000000000bb")
    assert other.worker_id != run.worker_id
    assert evacuated(placer) == []
    answer_renewal(placer, other.worker_id, NOW + 1, ended=(ended_row(other, 1),))
    assert evacuated(placer, NOW + 1) == [(run.worker_id, run.key, run.run)]


# Guards against a stop of a task that lacks a permitted worker with a valid ticket, and
# against advice that is asked for only after the task has been stopped.
def test_advice_is_asked_while_the_task_still_runs():
    placer = make_placer(make_queue(advice=ADVICE), n_workers=3)
    submit(placer, make_job(make_step(long_running=True)))
    step = task_key().step_name
    advice = placer.advice.for_step(step)
    advice.store_answer({"w1": 1, "w2": 1}, [("w1", "t1")], NOW, ADVICE.valid_s)
    placed, _ = placer.decide(NOW, WALL)
    mark_started(placer, placed)
    drain(placer, "w1", NOW + 1)
    _, calls = placer.decide(NOW + 1, WALL)
    assert [(call.step, set(call.workers)) for call in calls] == [(step, {"w3"})]
    assert placer.take_stops() == []
    advice.calling = True
    assert placer.decide(NOW + 1, WALL) == ([], [])
    advice.store_answer({"w3": 1}, [("w3", "t3")], NOW + 1, ADVICE.valid_s)
    assert evacuated(placer, NOW + 1.1) == [("w1", placed[0].key, 1)]


# Guards against a stop whose next start comes when the ticket has lapsed.
def test_a_ticket_that_lapses_during_the_move_is_renewed_first():
    placer = make_placer(make_queue(advice=ADVICE))
    submit(placer, make_job(make_step(long_running=True)))
    advice = placer.advice.for_step(task_key().step_name)
    tickets = [("w1", "t1"), ("w2", "t2")]
    advice.store_answer({"w1": 1, "w2": 1}, tickets, NOW, ADVICE.valid_s)
    placed, _ = placer.decide(NOW, WALL)
    mark_started(placer, placed)
    late = NOW + ADVICE.valid_s - MOVE_S
    drain(placer, placed[0].worker_id, late)
    _, calls = placer.decide(late, WALL)
    assert placer.take_stops() == []
    (target,) = {"w1", "w2"} - {placed[0].worker_id}
    assert [set(call.workers) for call in calls] == [{target}]


# Guards against a task that stays until its worker exits since starts take long to be
# sent: that time was added to the one of the move, and no ticket outlasted both.
def test_a_task_is_moved_with_a_new_ticket_though_starts_take_long_to_be_sent():
    placer = make_placer(make_queue(advice=ADVICE))
    step = make_step(long_running=True)
    submit(placer, make_job(step))
    advice = placer.advice.for_step(f"{JOB_ID}.0.0")
    advice.store_answer({"w1": 1}, [("w1", "t")], NOW, ADVICE.valid_s)
    placed, _ = placer.decide(NOW, WALL)
    mark_started(placer, placed, NOW)
    drain(placer, "w1", NOW + 10)
    placer.note_send_time(30.0)
    advice.store_answer({"w2": 1}, [("w2", "t")], NOW + 10, ADVICE.valid_s)
    assert evacuated(placer, NOW + 10.6) == [("w1", placed[0].key, 1)]


# Guards against a whole service that is stopped at once.
@pytest.mark.parametrize(("may_miss", "n_moved"), [(0, 1), (1, 1), (2, 2), (9, 4)])
def test_the_tasks_of_a_step_move_a_few_at_a_time(may_miss, n_moved):
    placer = make_placer(n_workers=1)
    step = make_step(4, long_running=True, may_miss=may_miss)
    runs = place(placer, step)
    placer.register_worker(make_entry("w2"), NOW)
    answer_renewal(placer, "w2")
    drain(placer, "w1")
    moved = evacuated(placer)
    assert len(moved) == n_moved
    assert evacuated(placer, NOW + 0.1) == []
    # The next ones follow once these run again.
    ends = tuple(
        ended_row(run, number, EndKind.STOPPED)
        for number, run in enumerate(runs[:n_moved], 1)
    )
    rows = tuple(running_row(run) for run in runs[n_moved:])
    answer_renewal(placer, "w1", NOW + 0.2, running=rows, ended=ends)
    placed, _ = placer.decide(NOW + 0.2, WALL)
    assert len(placed) == n_moved
    assert placer.take_stops() == []
    mark_started(placer, placed, NOW + 0.3)
    assert len(evacuated(placer, NOW + 0.3)) == min(n_moved, 4 - n_moved)


# Guards against a scarce place for a task whose worker stays longer than another.
def test_the_tasks_of_the_worker_that_leaves_first_move_first():
    placer = make_placer(n_workers=2)
    runs = place(placer, make_step(2, cores=9.0, long_running=True))
    assert [run.worker_id for run in runs] == ["w1", "w2"]
    placer.register_worker(make_entry("w3"), NOW)
    answer_renewal(placer, "w3")
    drain(placer, "w1", NOW, left_s=4.0)
    drain(placer, "w2", NOW, left_s=2.0)
    assert evacuated(placer) == [("w2", runs[1].key, runs[1].run)]


# Guards against two tasks that are stopped for the same free place.
def test_a_place_is_promised_to_one_task_only():
    placer = make_placer(n_workers=1)
    for job_id in ("00000000000000aa", "00000000000000bb"):
        place(placer, make_step(cores=6.0, long_running=True), job_id=job_id)
    placer.register_worker(make_entry("w2", cores=8.0), NOW)
    answer_renewal(placer, "w2")
    drain(placer, "w1")
    assert len(evacuated(placer)) == 1
    assert evacuated(placer, NOW + 0.1) == []


# Guards against a moved task that other waiting work overtakes: the place that it was
# stopped for would be gone.
def test_a_moved_task_is_placed_before_other_waiting_tasks():
    placer = make_placer()
    (run,) = place(placer, make_step(cores=12.0, long_running=True))
    drain(placer, run.worker_id)
    assert len(evacuated(placer)) == 1
    answer_renewal(
        placer, run.worker_id, NOW + 0.2, ended=(ended_row(run, 1, EndKind.STOPPED),)
    )
    submit(placer, make_job(make_step(cores=12.0), job_id="00000000000000bb"))
    (again,) = placer.decide(NOW + 0.2, WALL + 1000)[0]
    assert again.key == run.key


# Guards against a task that is stopped for a place which other work then takes: nothing
# ran the task any more, although its own worker had not left yet.
def test_a_batch_does_not_take_the_place_of_a_task_that_is_being_moved():
    lasting, patient = make_queue(priority=1), make_queue("p", priority=2)
    placer = make_placer(lasting, patient)
    (placed,) = place(placer, make_step(cores=12.0, long_running=True))
    answer_renewal(placer, placed.worker_id, NOW, running=(running_row(placed),))
    drain(placer, placed.worker_id)
    assert evacuated(placer) == [(placed.worker_id, placed.key, placed.run)]
    batch = make_step(cores=12.0, run_time_s=9.0)
    submit(placer, make_job(batch, job_id="b" * 16, queue="p"), NOW)
    taken, _ = placer.decide(NOW + 0.1, WALL)
    end = ended_row(placed, 1, EndKind.STOPPED)
    answer_renewal(placer, placed.worker_id, NOW + 0.3, ended=(end,))
    moved, _ = placer.decide(NOW + 0.3, WALL)
    assert [(item.key, item.run) for item in moved] == [(placed.key, 2)]
    assert taken == []


# Guards against a task that stays on a worker that leaves, and is lost with it, for the
# room elsewhere is kept for urgent work; once lost, it may use that room.
def test_a_task_moves_into_the_headroom_for_urgent_work():
    lasting, urgent = make_queue(priority=1), make_queue("u", priority=0)
    placer = make_placer(lasting, urgent)
    (placed,) = place(placer, make_step(cores=7.0, long_running=True))
    answer_renewal(placer, placed.worker_id, NOW, running=(running_row(placed),))
    placer.headroom["pool"].mean_cores = 1000.0
    (other,) = {"w1", "w2"} - {placed.worker_id}
    placer.workers[other].add(Slot(task_key(9), 1, make_step(cores=7.0).need, 60.0))
    drain(placer, placed.worker_id)
    assert evacuated(placer) == [(placed.worker_id, placed.key, placed.run)]


# Guards against a stay that each further record of the same notice prolongs.
def test_a_notice_counts_from_its_first_record(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        await cluster.wait_for(lambda: "w1" in node.workers)
        cluster.drain_worker("w0")
        await cluster.wait_for(lambda: node.workers["w0"].draining)
        first = node.workers["w0"].stays_until
        cluster.drain_worker("w0")
        cluster.drain_worker("w1")
        await cluster.wait_for(lambda: node.workers["w1"].draining)
        assert node.workers["w0"].stays_until == first
        assert node.workers["w1"].stays_until > first

    run_to_end(scenario)


# Guards against tasks that are stopped on a sound worker because another writer has
# overwritten its registration.
def test_tasks_stay_on_a_suspended_worker():
    placer = make_placer()
    (run,) = place(placer, make_step(long_running=True))
    entry = placer.workers[run.worker_id].entry
    placer.register_worker(replace(entry, suspended=True), NOW)
    assert evacuated(placer) == []
    assert not placer.workers[run.worker_id].accepts_starts()


# Guards against a gang of which some members are stopped, and against moves of tasks
# that end by themselves.
@pytest.mark.parametrize("step", [{"gang": True}, {"gang": True, "long_running": True}])
def test_gangs_stay(step):
    placer = make_placer()
    runs = place(placer, make_step(2, **step))
    for worker_id in {run.worker_id for run in runs}:
        drain(placer, worker_id)
    placer.register_worker(make_entry("w9"), NOW)
    answer_renewal(placer, "w9")
    assert evacuated(placer) == []


# Guards against a stop of a run that is not current, not known to run, or on a worker
# that does not answer: its leases decide then.
@pytest.mark.parametrize("case", ["unconfirmed", "silent", "cancelled"])
def test_only_current_runs_on_workers_that_answer_are_moved(case):
    placer = make_placer()
    (run,) = place(placer, make_step(long_running=True))
    worker = placer.workers[run.worker_id]
    if case == "unconfirmed":
        worker.slots[run.key, run.run].confirmed = False
    drain(placer, run.worker_id)
    if case == "silent":
        placer.worker_unreachable(run.worker_id, NOW)
    if case == "cancelled":
        placer.cancel_job(JOB_ID, NOW)
    assert evacuated(placer) == []


# Guards against room that stays promised to a task that was cancelled while it moved,
# or whose stop has got lost.
@pytest.mark.parametrize("case", ["cancelled", "lost"])
def test_a_promise_ends(case):
    placer = make_placer()
    (run,) = place(placer, make_step(long_running=True))
    drain(placer, run.worker_id)
    assert len(evacuated(placer)) == 1
    assert placer.moves
    later = NOW + 0.1
    if case == "cancelled":
        answer_renewal(
            placer, run.worker_id, later, ended=(ended_row(run, 1, EndKind.STOPPED),)
        )
        placer.cancel_job(JOB_ID, later)
    else:
        later = NOW + HOLD_S + 0.1
    placer.decide(later, WALL)
    assert not placer.moves


# Guards against a task that stands still from the exit of its worker until the leases
# there have lapsed, and against two runs at a time during the move.
def test_the_next_run_begins_before_a_draining_worker_exits(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        await cluster.submit(node, make_job(make_step(long_running=True)))
        await cluster.wait_for(cluster.workers.history)
        (first,) = cluster.workers.history()
        cluster.drain_worker(first.worker_id)
        await cluster.wait_for(lambda: len(cluster.workers.history()) > 1)
        assert first.kind is EndKind.STOPPED, "the worker has not exited yet"
        cluster.remove_worker(first.worker_id)
        await curio.sleep(0.5)
        (second,) = cluster.workers.history()
        assert (second.run, second.ended_at) == (2, 0.0)
        assert not overlapping_runs([first, second])

    run_to_end(scenario)


# Guards against a move that is given up, or that nobody sees, when its stop gets lost.
def test_a_lost_stop_is_repeated_and_the_dump_shows_the_move(cluster):
    n_lost = 0

    async def lose(worker_id, *args, **more):
        nonlocal n_lost
        n_lost += 1
        cluster.workers.stop = deliver
        raise UnknownOutcomeError("lost", step="worker", peer=worker_id)

    deliver = cluster.workers.stop
    cluster.workers.stop = lose

    async def scenario():
        node = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        await cluster.submit(node, make_job(make_step(long_running=True)))
        await cluster.wait_for(cluster.workers.history)
        (first,) = cluster.workers.history()
        cluster.drain_worker(first.worker_id)
        await cluster.wait_for(lambda: n_lost)
        ((*key, target),) = node.dump()["leading"]["moving"]
        assert tuple(key) == first.key
        assert target != first.worker_id
        await cluster.wait_for(lambda: len(cluster.workers.history()) > 1)
        assert not node.dump()["leading"]["moving"]

    run_to_end(scenario)


# Guards against two runs of a task, or a task that never runs again, when workers exit
# early or answer late and the placer changes during the moves.
@settings(max_examples=40, deadline=None, derandomize=True)
@given(seed=st.integers(0, 1 << 30))
def test_moves_never_make_two_runs(seed):
    play = Play(random.Random(seed))
    play.run()
    assert play.overlaps == []
    assert play.standing_still() == []


# Guards against a play in which nothing is moved, which would show nothing.
def test_the_plays_move_tasks():
    plays = [Play(random.Random(seed)) for seed in range(5)]
    for play in plays:
        play.run()
    assert sum(play.n_evacuated for play in plays) > 10
    assert sum(play.n_changes for play in plays) > 5
