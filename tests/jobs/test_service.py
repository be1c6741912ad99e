"""Tests of the outcomes that callers get."""

from __future__ import annotations

import curio
import orjson
import pytest
from structlog.testing import capture_logs

from cuminhill.clock import boottime
from cuminhill.errors import FencedError, UnavailableError, UnknownOutcomeError
from cuminhill.jobs.admission import CEASE_S, Admission, Reason, Refusal
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.journal import LogWriter
from cuminhill.jobs.logreader import CATCH_UP_INTERVAL_S, LogFollower
from cuminhill.jobs.model import JobState, Outcome, Team
from cuminhill.jobs.records import JOB_PREFIX, RUN_PREFIX, encode_job, task_need
from cuminhill.jobs.service import JobService
from standins.job_platform import LogFaults, LogView, MemoryLog

from .builders import JOB_ID, make_job, make_queue


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
    ("target_s", "reachable", "record", "expected"),
    [
        (0.25, True, {}, JobState.COMPLETED),
        (3600.0, True, {}, JobState.RUNNING),
        (0.25, False, {}, JobState.RUNNING),
        # A short job may end before the journal shows its start.
        (0.25, True, {"unstarted": 1}, JobState.COMPLETED),
        (0.25, True, {"unstarted": 0}, JobState.PENDING),
    ],
)
def test_a_look_up_of_a_placed_job_awaits_its_end(
    target_s, reachable, record, expected
):
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
        running = orjson.dumps({"state": JobState.RUNNING, **record})
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


class RefuseAll(Admission):
    """Admission that refuses every job, as beyond a team's weight on a busy pool."""

    def decide(self, job, table, state, now):
        return Refusal(Reason.SURPLUS, 3)


async def make_refusing_service(log, append=None):
    """Return a service that refuses all jobs and follows a log."""
    view, index = LogView(log), JobIndex()

    def fold(records, snapshot):
        for record in records:
            index.fold(record, boottime())

    follower = LogFollower("t", view, fold, 0.1, 0.1)
    await follower._load()
    service = JobService(
        index,
        follower,
        LogWriter(view, "a", 1),
        append or answers(Outcome.OK),
        answers(UNAVAILABLE),
        lambda name: None,
        admission=RefuseAll(index.job_load),
    )
    return service, view


def test_a_refused_job_is_not_stored():
    """Guards against a job that runs although its caller was told that it never does.

    Load: a job of a team beyond its weight.
    """

    async def scenario():
        log, sent = MemoryLog(), []

        async def append(records, wait_s):
            sent.extend(records)
            return Outcome.OK

        service, _ = await make_refusing_service(log, append)
        assert await service.submit(make_job(), 2.0) is Outcome.REFUSED
        assert service.retry_after_s(make_job()) == 3
        assert not sent
        assert JOB_ID not in service.job_index.entries
        assert service.counts["submit_refused"] == 1

    curio.run(scenario)


def test_a_job_that_another_vm_has_just_accepted_is_not_refused():
    """Guards against "never runs" for an accepted job that the index does not show yet.

    Load: a caller repeats, at a VM whose index is a moment old, what another VM has
    accepted, and the VM refuses new jobs of the team.
    """

    async def scenario():
        log = MemoryLog()
        service, _ = await make_refusing_service(log)
        log.append_records([(JOB_PREFIX + JOB_ID, encode_job(make_job()))])
        assert JOB_ID not in service.job_index.entries
        assert await service.submit(make_job(), 2.0) is Outcome.OK
        other = make_job(job_id="00000000000000bb")
        assert await service.submit(other, 2.0) is Outcome.REFUSED

    curio.run(scenario)


@pytest.mark.parametrize("fault", ["unresponsive", "down"])
def test_without_the_journal_a_job_beyond_the_weight_is_uncertain(fault):
    """Guards against "never runs" where the VM cannot know what was accepted.

    Load: a team beyond its weight on a VM that is cut off from the journal.
    """

    async def scenario():
        service, view = await make_refusing_service(MemoryLog())
        setattr(view.faults, fault, True)
        assert await service.submit(make_job(), 2.0) is Outcome.UNCERTAIN
        assert not service.admission.refused

    curio.run(scenario)


@pytest.mark.parametrize("first", [Outcome.OK, Outcome.UNCERTAIN, Outcome.NOT_DONE])
def test_a_job_that_this_vm_may_have_stored_is_not_refused(first):
    """Guards against "never runs" for a job whose first submission is under way.

    Load: a caller repeats a submission while the append of the first one has no answer
    yet, or after an uncertain outcome.
    """

    async def scenario():
        outcomes, answered = [first, Outcome.OK], curio.Event()

        async def append(records, wait_s):
            outcome = outcomes.pop(0)
            if len(outcomes) == 1:
                await answered.wait()
            return outcome

        service, _ = await make_refusing_service(MemoryLog(), append)
        admission = service.admission
        service.admission = Admission(service.job_index.job_load)
        task = await curio.spawn(service.submit, make_job(), 2.0)
        await curio.sleep(0.01)
        service.admission = admission
        if first is Outcome.UNCERTAIN:
            await answered.set()
            assert await task.join() is first
        assert await service.submit(make_job(), 2.0) is Outcome.OK
        await answered.set()
        await task.join()
        other = make_job(job_id="00000000000000bb")
        assert await service.submit(other, 2.0) is Outcome.REFUSED
        assert not service._in_flight

    curio.run(scenario)


def test_refusals_share_reads_of_the_journal():
    """Guards against a read of the journal for each job of a team beyond its weight.

    Load: 100 such jobs, one every 4 ms.
    """

    async def scenario():
        service, view = await make_refusing_service(MemoryLog())
        n_reads, end = 0, view.end

        async def count(timeout_s):
            nonlocal n_reads
            n_reads += 1
            return await end(timeout_s)

        view.end = count
        tasks, begun_at = [], boottime()
        for number in range(100):
            job = make_job(job_id=f"{number:016x}")
            tasks.append(await curio.spawn(service.submit, job, 2.0))
            await curio.sleep(0.004)
        assert [await task.join() for task in tasks] == [Outcome.REFUSED] * 100
        assert n_reads <= 2 + (boottime() - begun_at) / CATCH_UP_INTERVAL_S

    curio.run(scenario)


def test_refusals_are_logged_by_their_begin_and_end():
    """Guards against a log line for each refusal, and an end that is not logged.

    Load: 20 jobs of a team beyond its weight, then none.
    """

    async def scenario():
        service, _ = await make_refusing_service(MemoryLog())
        team = Team("t", 1.0, task_need(0.0, 0.0, 0.0))
        for number in range(20):
            job = make_job(job_id=f"{number:016x}", team=team)
            service.admission.note_refusal(job, service._decide(job), boottime())
            service.log_refusals(boottime())
        service.log_refusals(boottime() + 2 * CEASE_S)

    with capture_logs() as lines:
        curio.run(scenario)
    lines = [line for line in lines if line["event"].startswith("refus")]
    assert [(line["event"], line["team"]) for line in lines] == [
        ("refusals begin", "t"),
        ("refusals ceased", "t"),
    ]
    assert lines[1]["refused"] == 20
