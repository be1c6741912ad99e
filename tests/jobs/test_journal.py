"""Tests of the writer and the follower of a keyed log."""

from __future__ import annotations

import math
import random

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.clock import boottime
from cuminhill.errors import FencedError, UnavailableError, UnknownOutcomeError
from cuminhill.jobs.journal import (
    MIN_APPEND_TIMEOUT_S,
    QUEUE_TIMEOUT_S,
    REFUSAL_TIMEOUT_S,
    LogWriter,
)
from cuminhill.jobs.logreader import LogFollower
from standins.job_platform import LogFaults, LogView, MemoryLog


async def make_writer(log, faults=None, **more):
    view = LogView(log, faults or LogFaults())
    writer = LogWriter(view, more.pop("writer", "a"), more.pop("epoch", 1), **more)
    await curio.spawn(writer.run, daemon=True)
    return writer


def keys(log):
    return [record.key for record in log.records]


def test_appends_that_come_together_share_a_call():
    """Guards against one call for each record under load."""

    async def scenario():
        log = MemoryLog()
        writer = await make_writer(log, LogFaults(delay_s=0.02))
        tasks = [
            await curio.spawn(writer.append, [(str(n), b"x")], boottime() + 5)
            for n in range(20)
        ]
        for task in tasks:
            await task.join()
        assert sorted(keys(log)) == sorted(str(n) for n in range(20))
        assert log.n_appends <= 3

    curio.run(scenario)


def test_records_made_when_an_append_ends_join_the_next_one():
    """Guards against progress that waits for two appends in flight.

    The placer encodes its records when the writer is free; they share the next call
    with the records that callers have queued meanwhile.
    """

    async def scenario():
        log = MemoryLog()
        writer = await make_writer(log, LogFaults(delay_s=0.05))

        async def append_when_free():
            await writer.await_free()
            assert keys(log)[:1] == ["first"]
            await writer.append([("progress", b"x")], boottime() + 5)

        first = await curio.spawn(writer.append, [("first", b"x")], boottime() + 5)
        await curio.sleep(0.01)
        queued = await curio.spawn(writer.append, [("queued", b"x")], boottime() + 5)
        progress = await curio.spawn(append_when_free)
        for task in (first, queued, progress):
            await task.join()
        assert keys(log) == ["first", "queued", "progress"]
        assert log.n_appends == 2

    curio.run(scenario)


def test_a_closed_writer_is_free():
    """Guards against a term that can't end since it waits for its own append."""

    async def scenario():
        writer = await make_writer(MemoryLog(), LogFaults(unresponsive=True))
        append = await curio.spawn(writer.append, [("a", b"x")], math.inf, daemon=True)
        await curio.sleep(0.01)
        waiter = await curio.spawn(writer.await_free)
        await curio.sleep(0.01)
        await writer.close()
        await waiter.join()
        await append.cancel()

    curio.run(scenario)


def test_a_refused_append_has_had_no_effect_and_never_will():
    """Guards against a refused record that is stored later."""

    async def scenario():
        log = MemoryLog()
        faults = LogFaults(down=True)
        writer = await make_writer(log, faults)
        with pytest.raises(UnavailableError):
            await writer.append([("k", b"x")], boottime() + 1)
        faults.down = False
        await writer.append([("l", b"x")], boottime() + 1)
        assert keys(log) == ["l"]

    curio.run(scenario)


def test_appends_queued_behind_an_unanswered_call_are_rejected_soon():
    """Guards against callers that wait behind an append without an answer."""

    async def scenario():
        writer = await make_writer(MemoryLog(), LogFaults(unresponsive=True))
        first = await curio.spawn(writer.append, [("a", b"x")], boottime() + 1.0)
        await curio.sleep(0.05)
        asked_at = boottime()
        with pytest.raises(UnavailableError):
            await writer.append([("b", b"x")], boottime() + 1.0)
        assert boottime() - asked_at < QUEUE_TIMEOUT_S + 0.3
        with pytest.raises(curio.TaskError) as caught:
            await first.join()
        assert isinstance(caught.value.__cause__, UnknownOutcomeError)

    curio.run(scenario)


def test_callers_are_rejected_while_the_placers_records_wait_for_the_log():
    """Guards against "uncertain" from a log that has refused every attempt.

    While a store answered 503 for 5 s, 102 callers got a 504, since their records
    shared a batch with records that are retried without a deadline.
    """

    async def scenario():
        log = MemoryLog()
        faults = LogFaults(down=True)
        writer = await make_writer(log, faults, keeps_epoch=True)
        own = await curio.spawn(writer.append, [("own", b"x")], math.inf)
        asked_at = boottime()
        for key in ("a", "b"):
            with pytest.raises(UnavailableError):
                async with curio.timeout_after(2.0):
                    await writer.append([(key, b"x")], boottime() + 1.2)
        assert boottime() - asked_at < REFUSAL_TIMEOUT_S + 0.3
        assert writer.is_refused()
        faults.down = False
        await own.join()
        await writer.append([("c", b"x")], boottime() + 1)
        assert keys(log) == ["own", "c"]

    curio.run(scenario)


def test_a_record_in_an_unanswered_append_is_never_reported_as_refused():
    """Guards against "not done" for a record that an earlier attempt stored."""

    async def scenario():
        log = MemoryLog()
        faults = LogFaults(lost_fraction=1.0)
        writer = await make_writer(log, faults)
        writer.timeout_s = 0.05
        task = await curio.spawn(writer.append, [("a", b"x")], boottime() + 0.6)
        while not log.records:
            await curio.sleep(0.01)
        faults.down = True
        with pytest.raises(curio.TaskError) as caught:
            await task.join()
        assert isinstance(caught.value.__cause__, UnknownOutcomeError)

    curio.run(scenario)


def test_an_abandoned_append_cannot_be_mistaken_for_a_later_one():
    """Guards against an answer to an earlier append with the same number."""

    async def scenario():
        log = MemoryLog()
        faults = LogFaults(lost_fraction=1.0)
        writer = await make_writer(log, faults)
        with pytest.raises(UnknownOutcomeError):
            await writer.append([("a", b"x")], boottime() + 0.2)
        faults.lost_fraction = 0.0
        await writer.append([("b", b"x")], boottime() + 1)
        assert keys(log)[-1] == "b"
        assert writer.epoch == 2

    curio.run(scenario)


def test_a_fenced_writer_ends():
    """Guards against a placer that writes after another term began."""

    async def scenario():
        log = MemoryLog()
        old = await make_writer(log, epoch=1, keeps_epoch=True)
        await old.append([("a", b"x")], boottime() + 1)
        new = await make_writer(log, epoch=2, keeps_epoch=True)
        await new.append([("b", b"x")], boottime() + 1)
        for _ in range(2):
            with pytest.raises(FencedError):
                await old.append([("c", b"x")], boottime() + 1)
        assert keys(log) == ["a", "b"]

    curio.run(scenario)


@settings(max_examples=15, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    lost_share=st.sampled_from([0.0, 0.3, 0.6]),
    n_records=st.integers(1, 12),
)
def test_confirmed_records_are_stored_once_and_in_order(seed, lost_share, n_records):
    """Guards against lost, duplicated or reordered records when answers are lost."""

    async def scenario():
        log = MemoryLog(rng=random.Random(seed))
        writer = await make_writer(log, LogFaults(lost_fraction=lost_share))
        writer.timeout_s = 0.02
        for number in range(n_records):
            await writer.append([(str(number), b"x")], boottime() + 30)
        assert keys(log) == [str(number) for number in range(n_records)]

    curio.run(scenario)


def test_a_follower_delivers_each_record_once_in_order():
    """Guards against records that a concurrent read delivers again."""

    async def scenario():
        log = MemoryLog()
        seen = []
        follower = LogFollower(
            "t", LogView(log), lambda rows, _: seen.extend(rows), 0.1, 0.01
        )
        await curio.spawn(follower.run, daemon=True)
        await curio.sleep(0.05)
        for number in range(30):
            log.append_records([(str(number), b"x")])
            assert await follower.catch_up(1.0)
            assert len(seen) == number + 1
        assert [row.key for row in seen] == [str(number) for number in range(30)]

    curio.run(scenario)


def test_a_follower_that_lags_reads_without_a_pause():
    """Guards against a VM that lags behind the log after a partition.

    On a site with links of 10 Mbit/s, small VMs still read records from the partition
    15 s after its end, and reported outdated states to callers.
    """

    async def scenario():
        log = MemoryLog()
        follower = LogFollower(
            "t",
            LogView(log, LogFaults(page_size=10)),
            lambda rows, _: None,
            0.1,
            1.0,
        )
        task = await curio.spawn(follower.run, daemon=True)
        await curio.sleep(0.05)
        log.append_records([(str(number), b"x") for number in range(100)])
        await curio.sleep(1.5)
        assert follower.offset == 100
        await task.cancel()

    curio.run(scenario)


def test_a_follower_detects_an_outage_of_the_log_and_its_end():
    """Guards against a configuration that takes effect seconds late after an outage.

    With an unresponsive store, a read of 4.5 s delayed a version by 3.1 s.
    """

    async def scenario():
        log = MemoryLog()
        faults = LogFaults()
        seen = []
        follower = LogFollower(
            "t", LogView(log, faults), lambda rows, _: seen.extend(rows), 1.0, 0.01
        )
        await curio.spawn(follower.run, daemon=True)
        await curio.sleep(0.1)
        faults.unresponsive = True
        await curio.sleep(3.0)
        assert not follower.reachable
        log.append_records([("k", b"x")])
        faults.unresponsive = False
        returned_at = boottime()
        while not seen:
            await curio.sleep(0.01)
        assert boottime() - returned_at < 2.6

    curio.run(scenario)


def test_one_lost_answer_costs_one_timeout():
    """Guards against a placer that writes nothing for long after two lost answers.

    Incident inc-7bb9: 1.8 s without a record caused two changes of the placer.
    """

    async def scenario():
        log = MemoryLog()
        writer = LogWriter(LogView(log, LogFaults(unresponsive=True)), "a", 1)
        await curio.spawn(writer.run, daemon=True)
        task = await curio.spawn(writer.append, [("k", b"x")], boottime() + 1.2)
        await curio.sleep(2.5 * MIN_APPEND_TIMEOUT_S)
        assert writer.n_unknown == 2
        with pytest.raises(curio.TaskError):
            await task.join()

    curio.run(scenario)


async def make_follower(view):
    follower = LogFollower("t", view, lambda rows, _: None, 0.5, 0.25)
    await follower.start_probers()
    await curio.spawn(follower.run, daemon=True)
    while not follower.synced:
        await curio.sleep(0.01)
    return follower


@pytest.mark.parametrize("fault", ["unresponsive", "reset"])
def test_a_recovered_log_is_used_again_at_once(fault):
    """Guards against callers rejected for seconds after an outage of the log.

    After the log had recovered, the placer waited 1.5 s for a call sent during the
    outage before it sent its next append.
    """

    async def scenario():
        log = MemoryLog()
        faults = LogFaults()
        view = LogView(log, faults)
        follower = await make_follower(view)
        writer = LogWriter(view, "a", 1, keeps_epoch=True, reader=follower)
        await curio.spawn(writer.run, daemon=True)
        await writer.append([("a", b"x")], math.inf)
        setattr(faults, fault, True)
        task = await curio.spawn(writer.append, [("b", b"x")], math.inf)
        await curio.sleep(2.0)
        assert not follower.reachable
        setattr(faults, fault, False)
        returned_at = boottime()
        await task.join()
        assert boottime() - returned_at < 0.8
        assert keys(log) == ["a", "b"]
        while not follower.reachable:
            await curio.sleep(0.01)
        assert boottime() - returned_at < 0.8

    curio.run(scenario)


def test_appends_to_a_slow_log_are_not_retried():
    """Guards against retries that a slow log executes one after the other.

    The log's answers take 90 times as long as usual.
    """

    async def scenario():
        view = LogView(MemoryLog(), LogFaults(delay_s=0.4))
        follower = await make_follower(view)
        writer = LogWriter(view, "a", 1, keeps_epoch=True, reader=follower)
        await curio.spawn(writer.run, daemon=True)
        for number in range(3):
            await writer.append([(str(number), b"x")], math.inf)
        assert writer.n_unknown == 0

    curio.run(scenario)


def test_calls_to_a_log_that_resets_connections_are_rate_limited():
    """Guards against thousands of calls during an outage.

    A day with such an outage had 13,240 calls, twice as many as other days.
    """

    async def scenario():
        log = MemoryLog()
        view = LogView(log, LogFaults(reset=True))
        writer = LogWriter(view, "a", 1, keeps_epoch=True)
        await curio.spawn(writer.run, daemon=True)
        await curio.spawn(writer.append, [("a", b"x")], math.inf, daemon=True)
        await curio.sleep(1.0)
        assert 3 <= writer.n_unknown <= 12

    curio.run(scenario)


@pytest.mark.parametrize("fault", ["unresponsive", "reset", "down"])
def test_a_read_detects_an_outage_before_callers_records_are_sent(fault):
    """Guards against "uncertain" for records that need not have been sent.

    It matters for callers who may not retry after an uncertain reply.
    """

    async def scenario():
        log = MemoryLog()
        faults = LogFaults(**{fault: True})
        view = LogView(log, faults)
        follower = LogFollower("t", view, lambda rows, _: None, 0.5, 0.25)
        writer = LogWriter(view, "a", 1, reader=follower, checks_first=True)
        await curio.spawn(writer.run, daemon=True)
        asked_at = boottime()
        with pytest.raises(UnavailableError):
            await writer.append([("a", b"x")], boottime() + 1.2)
        assert boottime() - asked_at < 0.6
        setattr(faults, fault, False)
        await writer.append([("b", b"x")], boottime() + 1.2)
        assert keys(log) == ["b"]

    curio.run(scenario)


def test_an_append_in_flight_at_a_resignation_has_a_known_outcome():
    """Guards against callers who are told "uncertain" because the placer resigned.

    The writer was closed with an append in flight, whose outcome was then unknown.
    """

    async def scenario():
        log = MemoryLog()
        writer = await make_writer(log, LogFaults(delay_s=0.1))
        in_flight = await curio.spawn(writer.append, [("a", b"x")], boottime() + 2)
        await curio.sleep(0.03)
        queued = await curio.spawn(writer.append, [("b", b"x")], boottime() + 2)
        await curio.sleep(0.03)
        await writer.finish(1.0)
        await writer.close()
        await in_flight.join()
        with pytest.raises(curio.TaskError) as error:
            await queued.join()
        assert isinstance(error.value.__cause__, FencedError)
        with pytest.raises(FencedError):
            await writer.append([("c", b"x")], boottime() + 2)
        assert keys(log) == ["a"]

    curio.run(scenario)


def test_a_writer_that_ends_before_it_sends_a_record_sends_no_empty_append(monkeypatch):
    """Guards against a call without records, which the log may refuse or fail on.

    A record that is queued while a resignation ends is rejected before the writer wakes
    for it.
    """

    async def scenario():
        writer = await make_writer(MemoryLog())
        sent = []

        async def note_append(records, *args, **kwargs):
            sent.append(records)

        monkeypatch.setattr(writer.log, "append", note_append)
        await writer.start_caller()
        await curio.sleep(0)
        append = await curio.spawn(writer.append, [("a", b"x")], math.inf)
        finish = await curio.spawn(writer.finish, 1.0)
        await finish.join()
        await append.wait()
        assert isinstance(append.exception, FencedError)
        await curio.sleep(0.01)
        assert sent == []

    curio.run(scenario)


# Guards against a placer that extends leases because of an append that the log stored
# long ago, but answered only when it was retried, after another term had begun.
def test_an_append_is_confirmed_from_its_first_unanswered_attempt():
    confirmed = []

    async def scenario():
        faults = LogFaults(lost_fraction=1.0)
        writer = await make_writer(MemoryLog(), faults, on_appended=confirmed.append)
        sent_at = boottime()
        task = await curio.spawn(writer.append, [("k", b"x")], math.inf)
        while not writer.n_unknown:
            await curio.sleep(0.01)
        faults.lost_fraction = 0.0
        await task.join()
        assert sent_at <= confirmed[0] < sent_at + MIN_APPEND_TIMEOUT_S / 2

    curio.run(scenario)


# Guards against a placer that extends leases because of callers' records, which the
# next term does not take for a sign of it.
def test_only_appends_with_a_reported_record_are_reported():
    reported = []

    async def scenario():
        writer = await make_writer(
            MemoryLog(),
            LogFaults(delay_s=0.02),
            on_appended=reported.append,
            reports=lambda key: key == "own",
        )
        await writer.append([("k", b"x")], math.inf)
        assert reported == []
        # Both share an append.
        tasks = [
            await curio.spawn(writer.append, [(key, b"x")], math.inf)
            for key in ("k", "k", "own", "k")
        ]
        for task in tasks:
            await task.join()
        assert len(reported) == 1

    curio.run(scenario)
