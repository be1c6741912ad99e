"""Faults that operators of similar systems reported, one test for each."""

from __future__ import annotations

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.jobs.fleet import may_extend
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.model import EndKind, JobState, StartOrder, StartReply, StartResult
from cuminhill.jobs.placer import PlacerTimes
from cuminhill.jobs.progress import decode_progress, encode_progress
from cuminhill.jobs.records import JournalRecord, encode_job
from cuminhill.platform.wire import decode_report
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
    make_table,
    mark_started,
    running_row,
    submit,
)

NOW = BEGUN_AT


def started(placer, *steps):
    """Return the placements of a job that has been started."""
    submit(placer, make_job(*(steps or (make_step(1),))))
    placements, _ = placer.decide(NOW, WALL)
    mark_started(placer, placements)
    return placements


@pytest.mark.parametrize("silent_s", [0.5, 2.0, 4.5])
def test_unresponsive_machine_keeps_its_running_work(silent_s):
    """Guards against restarting the work of a machine that is only unresponsive."""
    placer = make_placer(n_workers=2)
    (run,) = started(placer)
    worker = placer.workers[run.worker_id]
    worker.update_clock(int(NOW * 1000), NOW)
    worker.record_lease(worker.lease_end_ms(NOW, placer.times.lease.lease_s))
    placer.worker_unreachable(run.worker_id, NOW + 0.1)
    placer.tick(NOW + silent_s)
    assert placer.decide(NOW + silent_s, WALL)[0] == []
    answer_renewal(placer, run.worker_id, NOW + silent_s, running=(running_row(run),))
    placer.tick(NOW + silent_s)
    assert placer.decide(NOW + silent_s, WALL)[0] == []
    assert placer.take_stops() == []


def test_deregistered_machine_that_answers_keeps_its_running_work():
    """Guards against giving up work because the registry dropped a live worker."""
    placer = make_placer(n_workers=2)
    (run,) = started(placer)
    placer.deregister_worker(run.worker_id)
    answer_renewal(placer, run.worker_id, NOW + 1, running=(running_row(run),))
    placer.tick(NOW + 1)
    assert placer.decide(NOW + 1, WALL)[0] == []


def test_handover_leaves_running_work_where_it_is():
    """Guards against an order sent by both placers of a handover."""
    first = make_placer(n_workers=2)
    (run,) = started(first)
    progress = first.jobs[JOB_ID]
    second = make_placer(n_workers=2, term=2)
    second.add_job(decode_progress(progress.job, encode_progress(progress)), NOW)
    answer_renewal(second, run.worker_id, NOW + 0.2, running=(running_row(run),))
    assert second.decide(NOW + 0.2, WALL)[0] == []
    worker = second.workers[run.worker_id]
    assert worker.fencing_token > first.workers[run.worker_id].fencing_token


def test_paused_placer_may_not_act_on_an_unconfirmed_term():
    """Guards against leases extended, and starts sent, after a pause."""
    max_unconfirmed_s = PlacerTimes().max_unconfirmed_s
    assert may_extend(NOW + max_unconfirmed_s - 0.1, NOW, max_unconfirmed_s)
    assert not may_extend(NOW + max_unconfirmed_s, NOW, max_unconfirmed_s)


def test_paused_placer_sends_nothing_that_was_decided_before_the_pause(cluster):
    """Guards against a start whose journal record is older than the next term."""

    async def scenario():
        node = await cluster.start_node("a")
        await cluster.wait_for(cluster.leader)
        leadership = node.leadership
        for view in cluster.views["a"]:
            view.faults.unresponsive = True
        max_unconfirmed_s = leadership.placer.times.max_unconfirmed_s
        leadership.confirmed_at = boottime() - max_unconfirmed_s
        assert not leadership.may_act()
        submit(leadership.placer, make_job(), boottime())
        await curio.sleep(0.3)
        assert cluster.workers.history() == []

    run_to_end(scenario)


@pytest.mark.parametrize("percent", ["high", None, [], True, 1e9, float("nan")])
def test_malformed_share_of_work_neither_ends_the_term_nor_hides_the_run(percent):
    """Guards against one malformed report that ends the placer's term.

    The share was used unchecked, and comparing it failed in the task that renews the
    worker's leases, which ended the term.
    """
    placer = make_placer(n_workers=1)
    (run,) = started(placer)
    key = run.key
    name = f"{key.job_id}.{key.occurrence}.{key.step}.{key.task}"
    body = {
        "clock_ms": int(NOW * 1000) + 500,
        "born": 1,
        "running": [[name, run.run, "", percent]],
        "ended": [],
    }
    answer = decode_report(body, "w1")
    for passed in (0.5, 0.6):
        placer.process_report(
            "w1", placer.workers["w1"].fencing_token, answer, NOW + passed
        )
    assert (key, run.run) in placer.workers["w1"].slots
    assert placer.decide(NOW + 0.6, WALL)[0] == []


def test_row_without_its_share_of_work_is_still_a_run():
    """Guards against a run that counts as lost because its row is short."""
    name = f"{JOB_ID}.0.0.0"
    body = {"clock_ms": 1, "running": [[name, 1, ""]], "ended": []}
    assert decode_report(body, "w1").running[0].percent == 0.0


def test_restarted_vm_does_not_use_a_worker_that_had_left(cluster):
    """Guards against using a worker after a restart that had left before it."""

    async def scenario():
        cluster.registry.append_records([("w0", b"")])
        node = await cluster.start_node("a")
        await cluster.wait_for(cluster.leader)
        assert "w0" not in node.leadership.placer.workers

    run_to_end(scenario)


def test_restarted_placer_does_not_restore_a_withdrawn_queue():
    """Guards against jobs for a queue that was withdrawn before the restart."""
    placer = make_placer(make_queue("q"))
    placer.table = make_table(make_queue("other"), version=2)
    submit(placer, make_job())
    assert placer.decide(NOW, WALL)[0] == []
    assert placer.table.find("h.example", "/q/") is None


def test_lost_answer_to_a_start_whose_work_has_run_does_not_run_it_again():
    """Guards against a second run after the answer to the first start was lost."""
    placer = make_placer(n_workers=1)
    submit(placer, make_job())
    (run,), _ = placer.decide(NOW, WALL)
    slot = placer.sendable_slot(run, NOW)
    slot.sent, slot.fencing_token = True, placer.workers["w1"].fencing_token
    order = StartOrder("w1", "", run.key, run.run, "", 0, slot.fencing_token)
    placer.handle_start_reply(order, StartReply(StartResult.UNKNOWN), NOW + 0.6)
    assert placer.decide(NOW + 0.6, WALL)[0] == []
    answer_renewal(placer, "w1", NOW + 1, ended=(ended_row(run, 1, EndKind.DONE),))
    assert placer.decide(NOW + 1, WALL)[0] == []
    assert JOB_ID not in placer.jobs


def test_entry_of_an_earlier_incarnation_does_not_replace_the_newer_one():
    """Guards against a registration from before a restart that is read after it."""
    placer = make_placer(n_workers=1)
    placer.register_worker(make_entry("w1", incarnation=3), NOW)
    placer.register_worker(make_entry("w1", incarnation=2), NOW)
    assert placer.workers["w1"].entry.incarnation == 3


def test_unreadable_record_does_not_end_the_fold():
    """Guards against one record of another writer that stops a VM."""
    index = JobIndex()
    for key in ("lead", "resigned", "run/x", "job/x", "vm/a", "cancel/x"):
        index.fold(JournalRecord(0, key, b"[1"), NOW)
        index.fold(JournalRecord(0, key, b"7"), NOW)
    assert index.n_bad_records >= 8


# Guards against one unreadable job that keeps each VM from being the placer.
@pytest.mark.parametrize(
    "value",
    [
        b'{"state":"running","steps":7}',
        b'{"state":"running","workers":[["",0]],"steps":[[0,0,[],[[5,1,0]]]]}',
        b'{"state":"running","crashes":[[0,0,9,1,1]]}',
        b'{"state":"running","crashes":[[0,0]]}',
    ],
)
def test_an_unreadable_job_does_not_keep_the_others_from_being_placed(cluster, value):
    async def main():
        bad, good = make_job(job_id="b" * 16), make_job(job_id="a" * 16)
        cluster.journal.append_records(
            [(f"job/{bad.job_id}", encode_job(bad)), (f"run/{bad.job_id}", value)]
        )
        node = await cluster.start_node("vm1")
        await cluster.wait_for(lambda: cluster.leader() is not None)
        await cluster.submit(node, good)
        await cluster.wait_for(
            lambda: cluster.state(node, good.job_id) is JobState.COMPLETED
        )
        assert node.job_index.n_bad_records
        assert {run.key.job_id for run in cluster.workers.history()} == {good.job_id}

    run_to_end(main)
