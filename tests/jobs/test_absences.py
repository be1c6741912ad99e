"""Tests of what the log lines say about the absence of a long-running task."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from cuminhill.jobs.leasebounds import InheritedLeases, lapse_at, lapse_bound
from cuminhill.jobs.model import AdviceTerms, EndKind
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.progress import decode_progress, encode_progress
from cuminhill.util.kernel import run_to_end

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    ended_row,
    make_entry,
    make_job,
    make_placer,
    make_queue,
    make_step,
    make_table,
    mark_started,
    running_row,
    submit,
    task_key,
)

NOW = BEGUN_AT
LIFE = ("w1", 1)


def lasting(**more):
    """Return a job of one long-running task."""
    return make_job(make_step(long_running=True, **more))


def started(placer):
    """Submit a job of one long-running task and start it on w1."""
    progress = submit(placer, lasting())
    (run,) = placer.decide(NOW, WALL)[0]
    mark_started(placer, [run])
    return progress, run


def line(logs, event):
    """Return the only line of an event."""
    (found,) = [row for row in logs if row["event"] == event]
    return found


def taken_over(progress, *, inherited=None):
    """Return the next term with a job of an earlier one whose worker is not known."""
    second = Placer(2, NOW + 10)
    second.table = make_table(make_queue())
    if inherited is not None:
        second.inherited = inherited
    copy = decode_progress(progress.job, encode_progress(progress))
    second.add_job(copy, NOW + 10)
    return second, copy


# Guards against a line from which the wait for the leases can't be told from the time
# until the end of the worker was noticed.
def test_a_lost_run_is_logged_with_when_it_was_seen_and_its_worker_stopped_answering():
    placer = make_placer(n_workers=1)
    _, run = started(placer)
    answer_renewal(placer, "w1", NOW + 1, running=(running_row(run),))
    placer.worker_unreachable("w1", NOW + 1.5)
    late = placer.workers["w1"].lapse_at + 0.25
    with capture_logs() as logs:
        placer.tick(late)
    row = line(logs, "run lost")
    assert row["seen_s"] == round(late - NOW - 1, 3)
    assert row["silent_s"] == round(late - NOW - 1.5, 3)
    assert (row["waited_s"], row["bound"]) == (None, "renewal")


# Guards against an end that seems to be as old as its report.
def test_an_ended_run_is_logged_with_when_it_was_seen():
    placer = make_placer(n_workers=1)
    _, run = started(placer)
    answer_renewal(placer, "w1", NOW + 1, running=(running_row(run),))
    with capture_logs() as logs:
        ended = (ended_row(run, 1, EndKind.LAPSED),)
        answer_renewal(placer, "w1", NOW + 4, ended=ended)
    assert line(logs, "run ended")["seen_s"] == 3.0


# Guards against a wait of a new term whose cause can't be found.
@pytest.mark.parametrize(
    "bound", ["listed", "predecessor ended", "earlier terms", "longest lease"]
)
def test_the_lines_of_a_run_that_is_not_adopted_name_the_bound(bound):
    progress, _ = started(make_placer(n_workers=1))
    now = NOW + 10
    inherited = {
        "listed": InheritedLeases(1, "", now + 3, {LIFE: now + 2}),
        "predecessor ended": InheritedLeases(1, "", now),
        "earlier terms": InheritedLeases(1, "", now + 3),
    }.get(bound, InheritedLeases(1))
    with capture_logs() as logs:
        second, copy = taken_over(progress, inherited=inherited)
        if bound in {"predecessor ended", "earlier terms"}:
            second.predecessor_ended_at = now + 1 if "pre" in bound else now - 9
        assert lapse_bound(second, LIFE) == bound
        second.tick(lapse_at(second, LIFE))
    row = line(logs, "run lost")
    assert row["bound"] == bound
    expected = "longest lease" if bound != "listed" else "listed"
    assert line(logs, "run not adopted")["bound"] == expected
    assert copy.step_run(0, 0).tasks[0].given_up_at == lapse_at(second, LIFE)


# Guards against a run of an earlier term on a registered worker that counts as away
# only from the end of the wait.
def test_a_run_on_a_worker_that_a_new_term_never_reached_counts_from_its_begin():
    progress, _ = started(make_placer(n_workers=1))
    second, copy = taken_over(progress)
    second.register_worker(make_entry("w1"), NOW + 10)
    with capture_logs() as logs:
        second.tick(second.workers["w1"].lapse_at + 0.1)
    row = line(logs, "run lost")
    assert (row["seen_s"], row["silent_s"]) == (None, None)
    assert row["waited_s"] == round(second.workers["w1"].lapse_at + 0.1 - NOW - 10, 2)
    assert copy.step_run(0, 0).tasks[0].away_since == second.begun_at


# Guards against an absence that seems to begin with the newest start that was refused.
def test_a_start_without_effect_does_not_end_an_absence():
    placer = make_placer(n_workers=2)
    progress, run = started(placer)
    placer.worker_unreachable(run.worker_id, NOW + 1)
    late = placer.workers[run.worker_id].lapse_at + 0.1
    placer.tick(late)
    (again,) = placer.decide(late, WALL)[0]
    placer.release_unsent(again, "term not confirmed", late + 1)
    task = progress.task(task_key())
    assert (task.away_since, task.given_up_at) == (NOW + 1, late)


# Guards against a wait for advice that is taken for one for room, and the reverse.
@pytest.mark.parametrize("cause", ["advice", "room"])
def test_a_waiting_step_counts_what_it_waits_for(cause):
    queue = (
        make_queue(advice=AdviceTerms(0.4, 0.01, 2.5)) if cause == "advice" else None
    )
    placer = make_placer(*([queue] if queue else []), n_workers=1)
    cores = 1.0 if cause == "advice" else 99.0
    progress = submit(placer, lasting(cores=cores))
    for at in (0.0, 0.5, 2.0):
        assert placer.decide(NOW + at, WALL)[0] == []
    step_run = progress.step_run(0, 0)
    assert step_run.waits_for == cause
    waited = {"advice": step_run.advice_s, "room": step_run.room_s}
    assert waited.pop(cause) == 2.0
    assert list(waited.values()) == [0.0]


# Guards against a start that does not say how long its task was away, in the term that
# saw its worker go and in one that has not.
@pytest.mark.parametrize("change", [False, True])
def test_the_start_of_a_task_that_had_run_says_how_long_it_was_away(cluster, change):
    async def main():
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        await cluster.start_node("n1")
        await cluster.wait_for(cluster.leader)
        first = cluster.leader()
        await cluster.submit(first, lasting())
        await cluster.wait_for(
            lambda: any(item.running for item in cluster.workers.workers.values())
        )
        workers = cluster.workers.workers
        name = next(name for name, item in workers.items() if item.running)
        with capture_logs() as logs:
            del workers[name]  # it answers no call from now on
            if change:
                await cluster.kill_node("n1")
                await cluster.start_node("n2")
            await cluster.wait_for(
                lambda: any(item.running for item in workers.values()), 20.0
            )
        for vm in list(cluster.nodes):
            await cluster.kill_node(vm)
        return logs

    logs = run_to_end(main)
    row = line(logs, "start")
    assert row["run"] == 2
    assert row["away_from"] == ("term begun" if change else "last run")
    assert row["away_s"] > row["given_up_s"] >= 0.0
    assert (row["advice_s"], row["room_s"]) == (0.0, 0.0)
