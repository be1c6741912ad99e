"""Tests of records that another writer has left in the journal."""

from __future__ import annotations

import json

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.errors import ProtocolError
from cuminhill.jobs.fleet import first_fencing_token
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.model import AdviceTerms, JobState
from cuminhill.jobs.progress import Progress
from cuminhill.jobs.records import (
    MAX_TERM,
    JournalRecord,
    LeaderRecord,
    Member,
    decode_job,
    encode_job,
    encode_leader_record,
    encode_member,
)
from cuminhill.util.kernel import run_to_end

from .builders import JOB_ID, WALL, make_job, make_queue, make_step

NOW = 1.0
DEEP = {
    "100000 levels": b"[" * 100_000 + b"]" * 100_000,
    "1000 levels": b"[" * 1000 + b"]" * 1000,
    "open brackets": b"[" * 100_000,
    "digits": b"9" * 5000,
    "1e400": b"1e400",
    "NaN": b"NaN",
    "null": b"null",
    "text": b'"text"',
    "bytes": b"\x00\xff",
    "state in 1000 arrays": b'{"state":' + b"[" * 1000 + b"]" * 1000 + b"}",
}


def change(encoded, **fields):
    """Return a record with changed fields; bytes are inserted as raw JSON."""
    rows = [
        json.dumps(key).encode()
        + b":"
        + (value if isinstance(value, bytes) else json.dumps(value).encode())
        for key, value in (orjson.loads(encoded) | fields).items()
    ]
    return b"{" + b",".join(rows) + b"}"


CLAIM = encode_leader_record(LeaderRecord(1, "x", "n"))
MEMBER = encode_member(Member("127.0.0.1:1", 0.5))
JOB = encode_job(make_job())
RUN = orjson.dumps({"state": "running", "workers": [["", 0], ["w0", 1]], "steps": []})
STEP = orjson.loads(JOB)["steps"][0]
NESTED = b"[" * 900 + b"]" * 900
ODD_CLAIMS = [
    {"term": 1 << 64},
    {"term": 1 << 62},
    {"term": MAX_TERM + 1},
    {"term": b"9" * 4000},
    {"term": -1},
    {"term": "7"},
    {"term": True},
    {"term": 7.5},
    {"term": NESTED},
    {"vm": 7},
    {"vm": ""},
    {"vm": NESTED},
    {"vm": "x" * 100_000},
    {"nonce": ["n"]},
    {"latency_s": 1e300},
    {"latency_s": -1.0},
    {"latency_s": "slow"},
    {"latency_s": b"NaN"},
    {"resigned": "no"},
]
ODD_MEMBERS = [
    {"address": "127.0.0.1:65536"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1"},
    {"address": "...:80"},
    {"address": ""},
    {"address": 7},
    {"address": NESTED},
    {"fitness": b"NaN"},
    {"fitness": b"Infinity"},
    {"fitness": 1e300},
    {"fitness": -1},
    {"fitness": "1"},
    {"fitness": NESTED},
]
ODD_JOBS = [
    {"queue": 7},
    {"queue": NESTED},
    {"payload": None},
    {"payload": NESTED},
    {"accepted_at": "x"},
    {"accepted_at": 1e300},
    {"times": [1, None, 0.0]},
    {"times": [1 << 64, 0.0, 0.0]},
    {"times": [1 << 31, 0.0, 0.0]},
    {"times": [1, 0.0, -1.0]},
    {"steps": []},
    {"steps": 7},
    {"steps": [STEP | {"n": "many"}]},
    {"steps": [STEP | {"n": 1 << 40}]},
    {"steps": [STEP | {"n": -1}]},
    {"steps": [STEP | {"need": ["x", 1, 0]}]},
    {"steps": [STEP | {"need": [1e300, 1, 0]}]},
    {"steps": [STEP | {"need": [-1.0, 1, 0]}]},
    {"steps": [STEP | {"time": "long"}]},
    {"steps": [STEP | {"time": 1e300}]},
    {"steps": [STEP | {"after": [0]}]},
    {"steps": [STEP | {"after": [-1]}]},
    {"steps": [STEP | {"near_rack": ["r"]}]},
    {"steps": [STEP | {"gang": "yes"}]},
]
ODD_RUNS = [
    {"state": "lost"},
    {"state": 7},
    {"state": NESTED},
    {"steps": [[0, 0, [], [[0, "x", 1]]]]},
    {"steps": [[0, 0, [], [[0, 1 << 62, 1]]]]},
    {"steps": [[0, 0, [], [[0, 1, 9]]]]},
    {"steps": [[0, 0, [], [[-1, 1, 1]]]]},
    {"steps": [[0, 0, [], [[0, 1, 1], [0, 2, 1]]]]},
    {"steps": [[0, 0, [], [[0, 1, 1, "x", 0, ""]]]]},
    {"steps": [[0, 0, [], [[0, 1, 1, 0, 0, 7]]]]},
    {"steps": [[0, 0, ["x"], []]]},
    {"steps": [[0, 0, [9], []]]},
    {"steps": [[0, 9, [], []]]},
    {"steps": [[0, -1, [], []]]},
    {"steps": [[9, 0, [], []]]},
    {"steps": [[0, 0, [], []], [0, 0, [], []]]},
    {"steps": NESTED},
    {"workers": [["", 0], ["w0", 1 << 64]]},
    {"workers": [["", 0], [7, 1]], "steps": [[0, 0, [], [[0, 1, 1]]]]},
    {"crashes": [[0, 0, 0, "x", 1]]},
    {"crashes": [[0, 0, 0, 1 << 62, 1]]},
    {"still": [[0, 0, 0, 101.0, 1.0]]},
    {"still": [[0, 0, 0, 50.0, -1.0]]},
    {"still": [[0, 0, 0, 50.0, 1e300]]},
    {"still": [[0, 0, 9, 50.0, 1.0]]},
    {"still": [[0, 0, 0, "x", 1.0]]},
    {"unstarted": -1},
    {"unstarted": "1"},
    {"unstarted": True},
    {"unstarted": NESTED},
]
BAD_ID = "b" * 16
# Pairs of key and value that no reader may use.
IGNORED = [
    *[
        (key, value)
        for key in ("lead", "resigned", "vm/odd", f"job/{BAD_ID}", f"run/{BAD_ID}")
        for value in DEEP.values()
    ],
    *[("lead", change(CLAIM, **fields)) for fields in ODD_CLAIMS],
    *[("resigned", change(CLAIM, **fields)) for fields in ODD_CLAIMS],
    *[("vm/odd", change(MEMBER, **fields)) for fields in ODD_MEMBERS],
    *[(f"job/{BAD_ID}", change(JOB, **fields)) for fields in ODD_JOBS],
    ("run/" + BAD_ID, change(RUN, **ODD_RUNS[0])),
    ("run/" + BAD_ID, change(RUN, **ODD_RUNS[1])),
    ("run/" + BAD_ID, change(RUN, **ODD_RUNS[2])),
    ("run/" + BAD_ID, change(RUN, unstarted=-1)),
    ("run/" + BAD_ID, change(RUN, unstarted="1")),
    *[
        (f"{kind}/{job_id}", value)
        for kind, value in (("job", JOB), ("run", RUN), ("cancel", b"{}"))
        for job_id in ("", "a.b", "a\nb", "x" * 200, "\ufffd", "a/b")
    ],
]


# Guards against a record of another writer that raises an error in the fold, which made
# a VM skip the rest of the page or read its snapshot again and again, or that leaves a
# value that no writer of ours can have written.
@pytest.mark.parametrize(("key", "value"), IGNORED)
def test_odd_record_is_counted_and_changes_nothing(key, value):
    index = JobIndex()
    before = JobIndex()
    index.fold(JournalRecord(0, key, value), NOW)
    assert index.n_bad_records == 1
    for name in ("entries", "leader_record", "members", "heard_at", "n_placer_records"):
        assert getattr(index, name) == getattr(before, name), name


# Guards against a job whose progress cannot be read, or has values that end the term of
# each placer which writes them again.
@pytest.mark.parametrize("fields", ODD_RUNS)
def test_odd_progress_leaves_out_only_its_job(fields):
    index = JobIndex()
    index.fold(JournalRecord(0, "job/" + JOB_ID, JOB), NOW)
    index.fold(JournalRecord(1, "run/" + JOB_ID, change(RUN, **fields)), NOW)
    index.fold(JournalRecord(2, f"job/{BAD_ID}", JOB), NOW)
    assert [progress.job.job_id for progress in index.live()] == [BAD_ID]
    assert index.n_bad_records >= 1


def test_odd_progress_does_not_replace_the_newest_sound_one():
    """Guards against running work that a later placer does not know of."""
    index = JobIndex()
    sound = change(RUN, steps=[[0, 0, [], [[0, 1, 1]]]])
    for key, value in (("job/", JOB), ("run/", sound), ("run/", DEEP["bytes"])):
        index.fold(JournalRecord(0, key + JOB_ID, value), NOW)
    (progress,) = index.live()
    assert [task.worker for _, task in progress.assigned()] == ["w0"]


# Guards against odd records that end or stall a follower, a term or a process, whether
# a VM reads them as it starts or while it is the placer.
@pytest.mark.parametrize("when", ["before the start", "during the term"])
def test_odd_records_stop_nothing(cluster, when):
    odd = [
        *[pair for pair in IGNORED if pair[0] != "lead"],
        *[("speeds", value) for value in DEEP.values()],
        ("speeds", b'{"workers":{"w0":[1,"a",1e6,0.1]},"kinds":{},"queues":{}}'),
        ("unknown", DEEP["1000 levels"]),
        ("", b"x"),
    ]
    for number, fields in enumerate(ODD_RUNS):
        job_id = f"c{number}"
        odd.append((f"job/{job_id}", JOB))
        odd.append((f"run/{job_id}", change(RUN, **fields)))
    claims = [pair for pair in IGNORED if pair[0] == "lead"]

    async def main():
        if when == "before the start":
            cluster.journal.append_records(claims + odd)
        node = await cluster.start_node("vm1")
        await cluster.wait_for(cluster.leader)
        term = node.leadership.leader_record.term
        if when == "during the term":
            cluster.journal.append_records(odd + claims)
        await cluster.wait_for(lambda: node.job_index.n_bad_records)
        good = make_job(make_step(2), make_step(1, after=(0,)), job_id="a" * 16)
        await cluster.submit(node, good)
        await cluster.wait_for(
            lambda: cluster.state(node, good.job_id) is JobState.COMPLETED
        )
        assert node.leadership.leader_record.term == term
        assert node.journal.n_snapshots == 1
        assert set(node.job_index.members) == {"vm1"}

    run_to_end(main)


# Guards against an error in one configuration that ends the follower of them.
@pytest.mark.parametrize("error", [RecursionError, OverflowError, ValueError])
def test_odd_configuration_leaves_the_one_in_force(cluster, error):
    decode = cluster._decode_table

    def fail_once(value):
        if value == b"odd":
            raise error
        return decode(value)

    async def main():
        cluster._decode_table = fail_once
        node = await cluster.start_node("vm1")
        await cluster.wait_for(lambda: node.table.version)
        cluster.config.append_records([("config", b"odd")])
        await cluster.wait_for(lambda: node.n_bad_configs)
        assert node.table.queues
        cluster.publish(make_queue("other"))
        await cluster.wait_for(lambda: "other" in node.table.queues)

    run_to_end(main)


def test_worker_whose_reports_cannot_be_read_stops_only_itself(cluster):
    """Guards against a report of another form that ends the term."""
    renew = cluster.workers.renew

    async def renew_unless_odd(worker_id, *args, **more):
        if worker_id == "w0":
            raise ProtocolError("clock_ms", step="hold", peer=worker_id)
        return await renew(worker_id, *args, **more)

    async def main():
        cluster.workers.renew = renew_unless_odd
        node = await cluster.start_node("vm1")
        await cluster.wait_for(cluster.leader)
        term = node.leadership.leader_record.term
        job = make_job(make_step(6, cores=4.0))
        await cluster.submit(node, job)
        await cluster.wait_for(
            lambda: cluster.state(node, job.job_id) is JobState.COMPLETED
        )
        assert node.leadership.leader_record.term == term
        assert {run.worker_id for run in cluster.workers.history()} <= {"w1", "w2"}

    run_to_end(main)


def test_next_term_of_the_highest_claim_has_a_valid_token():
    """Guards against a fencing token beyond 64 bits, which no call can carry."""
    index = JobIndex()
    index.fold(JournalRecord(0, "lead", change(CLAIM, term=MAX_TERM)), NOW)
    assert index.leader_record.term == MAX_TERM
    orjson.dumps(first_fencing_token(MAX_TERM + 1))


NUMBERS = st.floats(0, 1e9, allow_nan=False) | st.integers(0, 1 << 31)


@settings(max_examples=60, deadline=None)
@given(NUMBERS, NUMBERS, st.integers(1, 10_000), st.booleans(), st.integers(0, 9))
def test_each_job_that_is_written_can_be_read(cores, run_time_s, n_tasks, flag, times):
    """Guards against bounds of the reader that refuse a job that was accepted."""
    step = make_step(n_tasks, float(cores), run_time_s=float(run_time_s), gang=flag)
    job = make_job(step, make_step(after=(0,)), n_times=times, period_s=1e9)
    assert decode_job(JOB_ID, encode_job(job)) == job
    assert Progress(job).job.accepted_at == WALL


# Guards against a job that the next placer can't read, or for another queue.
def test_the_definition_of_its_queue_is_stored_with_a_job():
    advice = AdviceTerms(0.1, 0.02, 2.0)
    for definition in (None, make_queue(), make_queue(priority=2, advice=advice)):
        job = make_job(make_step(), definition=definition)
        assert decode_job(JOB_ID, encode_job(job)) == job
