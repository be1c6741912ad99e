"""Tests of the index of jobs that every VM folds from the journal."""

from __future__ import annotations

import orjson
import pytest

from cuminhill.errors import ProtocolError
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.model import JobState
from cuminhill.jobs.progress import Progress, encode_progress
from cuminhill.jobs.records import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    MEMBER_PREFIX,
    RUN_PREFIX,
    JournalRecord,
    LeaderRecord,
    decode_job,
    decode_job_head,
    encode_job,
    encode_leader_record,
)

from .builders import JOB_ID, make_job, make_queue, make_step


def fold(index, *pairs, now=1.0):
    for offset, (key, value) in enumerate(pairs):
        index.fold(JournalRecord(offset, key, value), now)


def run_value(state):
    return orjson.dumps({"state": state})


def test_states_follow_the_placers_records():
    """Guards against a state without a record."""
    index = JobIndex()
    fold(index, (JOB_PREFIX + JOB_ID, encode_job(make_job())))
    assert index.entries[JOB_ID].state is JobState.PENDING
    assert index.n_waiting("q") == 1
    fold(index, (RUN_PREFIX + JOB_ID, run_value("running")))
    assert index.entries[JOB_ID].state is JobState.RUNNING
    assert index.n_waiting("q") == 0
    fold(index, (RUN_PREFIX + JOB_ID, run_value("completed")))
    assert index.entries[JOB_ID].state is JobState.COMPLETED
    assert index.load(JOB_ID) is None


def test_a_cancellation_after_the_end_changes_nothing():
    """Guards against a completed job that is shown as cancelled."""
    index = JobIndex()
    fold(
        index,
        (JOB_PREFIX + JOB_ID, encode_job(make_job())),
        (RUN_PREFIX + JOB_ID, run_value("completed")),
        (CANCEL_PREFIX + JOB_ID, b"{}"),
    )
    assert index.entries[JOB_ID].state is JobState.COMPLETED


def test_an_end_after_the_cancellation_changes_nothing():
    """Guards against a cancelled job that is shown as completed."""
    index = JobIndex()
    fold(
        index,
        (JOB_PREFIX + JOB_ID, encode_job(make_job())),
        (CANCEL_PREFIX + JOB_ID, b"{}"),
        (RUN_PREFIX + JOB_ID, run_value("completed")),
    )
    assert index.entries[JOB_ID].state is JobState.CANCELLED


def test_a_repeated_submission_keeps_the_first():
    """Guards against a job that restarts when its submission is repeated."""
    index = JobIndex()
    again = make_job(accepted_at=2000.0)
    fold(
        index,
        (JOB_PREFIX + JOB_ID, encode_job(make_job())),
        (RUN_PREFIX + JOB_ID, run_value("completed")),
        (JOB_PREFIX + JOB_ID, encode_job(again)),
    )
    assert index.entries[JOB_ID].state is JobState.COMPLETED
    assert index.load(JOB_ID) is None


def test_a_snapshot_gives_the_same_index_as_the_history():
    """Guards against a restarted VM whose states differ from its peers'."""
    progress = Progress(make_job(make_step(2)))
    step_run = progress.step_run(0, 0)
    progress.assign(step_run.key(0), "w1", 7, 1)
    history = [
        (JOB_PREFIX + JOB_ID, encode_job(progress.job)),
        (RUN_PREFIX + JOB_ID, run_value("running")),
        (RUN_PREFIX + JOB_ID, encode_progress(progress)),
        (LEADER_KEY, encode_leader_record(LeaderRecord(1, "a", "x"))),
        (LEADER_KEY, encode_leader_record(LeaderRecord(2, "b", "y"))),
    ]
    newest = list(dict(history).items())
    complete, snapshot = JobIndex(), JobIndex()
    fold(complete, *history)
    fold(snapshot, *newest)
    for index in (complete, snapshot):
        loaded = index.load(JOB_ID)
        assert encode_progress(loaded) == encode_progress(progress)
        assert index.leader_record == LeaderRecord(2, "b", "y")


def test_only_a_higher_term_changes_the_placer():
    """Guards against two placers that each consider themselves winner of a term."""
    index = JobIndex()
    fold(
        index,
        (LEADER_KEY, encode_leader_record(LeaderRecord(4, "a", "x"))),
        (LEADER_KEY, encode_leader_record(LeaderRecord(4, "b", "y"))),
        (LEADER_KEY, encode_leader_record(LeaderRecord(3, "c", "z"))),
    )
    assert index.leader_record.vm == "a"
    fold(
        index,
        (LEADER_KEY, encode_leader_record(LeaderRecord(4, "a", "x", resigned=True))),
    )
    assert index.leader_record.resigned


def test_records_of_other_writers_are_counted_and_ignored():
    """Guards against a node that stops at a record it cannot decode."""
    index = JobIndex()
    fold(
        index,
        (LEADER_KEY, b"\xff"),
        (RUN_PREFIX + JOB_ID, b"[]"),
        (MEMBER_PREFIX + "a", b"{}"),
        ("other", b"x"),
    )
    assert index.n_bad_records == 3
    assert JOB_ID not in index.entries or index.entries[JOB_ID].run == b""


def test_ended_jobs_expire():
    """Guards against an index that grows without bound."""
    index = JobIndex()
    fold(
        index,
        (JOB_PREFIX + JOB_ID, encode_job(make_job())),
        (RUN_PREFIX + JOB_ID, run_value("completed")),
        now=10.0,
    )
    assert index.expired(20.0, 30.0) == []
    assert index.expired(41.0, 30.0) == [JOB_ID]
    fold(index, (RUN_PREFIX + JOB_ID, b""))
    assert index.entries == {}


def test_an_ended_job_keeps_its_state_without_its_own_record():
    """Guards against a journal whose ended jobs slow the start of every VM.

    On a site with links of 10 Mbit/s, no VM was ready 15 s after all had been killed.
    """
    index = JobIndex()
    fold(
        index,
        (JOB_PREFIX + JOB_ID, encode_job(make_job())),
        (RUN_PREFIX + JOB_ID, run_value("completed")),
        (JOB_PREFIX + JOB_ID, b""),
        (CANCEL_PREFIX + JOB_ID, b""),
    )
    assert index.entries[JOB_ID].state is JobState.COMPLETED
    restarted = JobIndex()
    fold(restarted, (RUN_PREFIX + JOB_ID, run_value("completed")))
    assert restarted.entries[JOB_ID].state is JobState.COMPLETED
    # A repeated submission does not restart the job.
    fold(restarted, (JOB_PREFIX + JOB_ID, encode_job(make_job())))
    assert restarted.load(JOB_ID) is None
    assert restarted.entries[JOB_ID].state is JobState.COMPLETED


ODD_VALUES = [None, -1, 0, "", "x", [], [0], [2.5], True, 1e300, 1 << 40, {}]


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("path", [(), ("steps", 0), ("steps", 1), ("definition",)])
def test_a_record_of_a_job_is_accepted_by_all_readers_or_by_none(path, value):
    """Guards against a job that a VM shows to callers and the placer can't read."""
    steps = make_step(3), make_step(2, after=(0,))
    job = make_job(*steps, n_times=2, period_s=1.0, definition=make_queue())
    data = orjson.loads(encode_job(job))
    place = data
    for part in path:
        place = place[part]
    for name in [*place, "after", "gang", "advice"]:
        kept, place[name] = place.get(name), value
        record = orjson.dumps(data)
        place[name] = kept
        outcomes = []
        for decode in (decode_job, decode_job_head):
            try:
                found = decode(job.job_id, record)
                outcomes.append((found.queue, found.accepted_at))
            except ProtocolError as exc:
                outcomes.append(str(exc))
        assert outcomes[0] == outcomes[1]
        if kept is None:
            del place[name]


def test_a_record_that_is_read_again_does_not_make_a_started_job_wait():
    """Guards against a count that rises while records before a snapshot are read."""
    index = JobIndex()
    placed = orjson.dumps({"state": "running", "unstarted": 1})
    fold(
        index,
        (JOB_PREFIX + JOB_ID, encode_job(make_job())),
        (RUN_PREFIX + JOB_ID, run_value("running")),
        (RUN_PREFIX + JOB_ID, placed),
    )
    assert index.entries[JOB_ID].state is JobState.RUNNING
    assert index.n_waiting("q") == 0
