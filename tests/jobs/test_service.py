"""Tests of the outcomes that callers get."""

from __future__ import annotations

import curio
import orjson
import pytest

from cuminhill.clock import boottime
from cuminhill.errors import FencedError, UnavailableError, UnknownOutcomeError
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.journal import LogWriter
from cuminhill.jobs.logreader import LogFollower
from cuminhill.jobs.model import JobState, Outcome
from cuminhill.jobs.records import JOB_PREFIX, RUN_PREFIX, encode_job
from cuminhill.jobs.service import JobService
from standins.job_platform import LogFaults, LogView, MemoryLog

from .builders import make_job, make_queue


def answers(value):
    async def append(records, wait_s):
        if isinstance(value, Exception):
            raise value
        return value

    return append


UNKNOWN = UnknownOutcomeError("no answer", step="append")
UNAVAILABLE = UnavailableError("not sent", step="append")


@pytest.mark.parametrize(
    ("by_placer", "here_is_down", "elsewhere", "expected"),
    [
        (Outcome.OK, True, UNAVAILABLE, Outcome.OK),
        (Outcome.NOT_DONE, False, None, Outcome.NOT_DONE),
        (Outcome.UNCERTAIN, False, None, Outcome.UNCERTAIN),
        (None, False, UNAVAILABLE, Outcome.OK),
        (None, True, None, Outcome.OK),
        (None, True, UNAVAILABLE, Outcome.NOT_DONE),
        (None, True, UNKNOWN, Outcome.UNCERTAIN),
        (UNKNOWN, False, UNAVAILABLE, Outcome.OK),
        (UNKNOWN, True, UNAVAILABLE, Outcome.UNCERTAIN),
    ],
)
def test_not_done_is_reported_only_if_no_record_can_be_stored(
    by_placer, here_is_down, elsewhere, expected
):
    """Guards against "not accepted" for a job that another VM has stored.

    On five of seven days on which the placer lost power, the check REFUSED failed.
    """

    async def scenario():
        log = LogView(MemoryLog(), LogFaults(down=here_is_down))
        writer = LogWriter(log, "a", 1)
        await curio.spawn(writer.run, daemon=True)
        follower = LogFollower("t", log, lambda rows, _: None, 0.1, 0.1)
        service = JobService(
            JobIndex(),
            follower,
            writer,
            answers(by_placer),
            answers(elsewhere),
            lambda name: None,
        )
        assert await service.submit(make_job(), 2.0) is expected

    curio.run(scenario)


def test_a_fenced_writer_does_not_deny_what_it_may_have_stored():
    """Guards against "not done" for an append stored before the next term."""

    async def scenario():
        log = MemoryLog()
        faults = LogFaults(lost_fraction=1.0)
        writer = LogWriter(LogView(log, faults), "placer", 1, keeps_epoch=True)
        writer.timeout_s = 0.05
        await curio.spawn(writer.run, daemon=True)
        task = await curio.spawn(writer.append, [("k", b"x")], boottime() + 5)
        while not log.records:
            await curio.sleep(0.01)
        log.writers["placer"] = (2, 0)
        with pytest.raises(curio.TaskError) as caught:
            await task.join()
        assert isinstance(caught.value.__cause__, UnknownOutcomeError)
        with pytest.raises(FencedError):
            await writer.append([("l", b"x")], boottime() + 1)

    curio.run(scenario)


@pytest.mark.parametrize(
    ("target_s", "reachable", "expected"),
    [
        (0.25, True, JobState.COMPLETED),
        (3600.0, True, JobState.RUNNING),
        (0.25, False, JobState.RUNNING),
    ],
)
def test_a_look_up_of_a_started_job_awaits_its_end(target_s, reachable, expected):
    """Guards against callers of short jobs that see the end one look-up too late.

    They ask when the last task has ended, while its record is on its way, and ask again
    after 0.25 s, as long as the constant part of an urgent objective. A queue with a
    long objective needs no wait, and an unreachable journal would not end one.
    """

    async def scenario():
        log, index = MemoryLog(), JobIndex()
        follower = LogFollower(
            "t",
            LogView(log),
            lambda rows, _: [index.fold(row, boottime()) for row in rows],
            0.5,
            3600.0,  # the wait must end the pause between reads
        )
        job = make_job()
        run_key = RUN_PREFIX + job.job_id
        running = orjson.dumps({"state": JobState.RUNNING})
        log.append_records([(JOB_PREFIX + job.job_id, encode_job(job))])
        log.append_records([(run_key, running)])
        await curio.spawn(follower.run, daemon=True)
        while job.job_id not in index.entries or not follower.read_at:
            await curio.sleep(0.01)
        await curio.sleep(0.6)  # the first read has ended; the pause has begun
        follower.reachable = reachable
        service = JobService(
            index,
            follower,
            LogWriter(LogView(log), "a", 1),
            answers(None),
            answers(None),
            lambda name: make_queue(target_s=target_s),
        )
        look_up = await curio.spawn(service.state, job.job_id)
        await curio.sleep(0)
        log.append_records([(run_key, orjson.dumps({"state": JobState.COMPLETED}))])
        assert await look_up.join() is expected

    curio.run(scenario)
