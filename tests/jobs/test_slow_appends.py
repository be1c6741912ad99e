"""Tests of large appends over a link of little capacity."""

from __future__ import annotations

import math

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.jobs.journal import LogWriter
from cuminhill.jobs.logreader import LogFollower
from standins.job_platform import LogFaults, MemoryLog

from .slowlinks import Link, LinkedLog

RECORD_BYTES = 250_000
LIMIT_S = 20.0


async def _make_writer(view, **more):
    follower = LogFollower("t", view, lambda rows, _: None, 0.1, 0.01)
    await follower.start_probers()
    await curio.spawn(follower.run, daemon=True)
    while not follower.synced:
        await curio.sleep(0.01)
    writer = LogWriter(view, "a", 1, reader=follower, **more)
    await curio.spawn(writer.run, daemon=True)
    return writer


@pytest.mark.parametrize(
    ("bytes_s", "delay_s"), [(1_000_000.0, 0.0), (250_000.0, 0.0), (250_000.0, 0.5)]
)
def test_a_large_append_over_a_slow_link_is_stored(bytes_s, delay_s):
    """Guards against an append that is sent again and again (issue 46).

    The log answered a probe, which transfers little, within milliseconds, so each
    attempt was given up after 0.25 s, or after 2 s at the latest. The next one began
    from the first byte.
    """

    async def scenario():
        log, link = MemoryLog(), Link(bytes_s)
        writer = await _make_writer(LinkedLog(log, LogFaults(delay_s=delay_s), link))
        records = [(f"k{number}", b"x" * RECORD_BYTES) for number in range(3)]
        async with curio.ignore_after(LIMIT_S):
            await writer.append(records, math.inf)
        assert [record.key for record in log.records] == ["k0", "k1", "k2"]

    curio.run(scenario)


def test_records_of_many_callers_over_a_slow_link_are_stored():
    """Guards against callers whose shared append is never stored.

    Each record takes little time; those that were queued together take longer than an
    attempt had.
    """

    async def scenario():
        log, link = MemoryLog(), Link(250_000.0)
        writer = await _make_writer(LinkedLog(log, LogFaults(), link))
        give_up_at = boottime() + LIMIT_S
        tasks = [
            await curio.spawn(writer.append, [(f"k{n}", b"x" * 10_000)], give_up_at)
            for n in range(20)
        ]
        for task in tasks:
            await task.wait()
        assert not [task for task in tasks if task.exception]
        assert len(log.records) == len(tasks)

    curio.run(scenario)


def test_a_large_append_is_stored_at_once_after_an_outage():
    """Guards against a wait that has grown while the log answered nothing."""

    async def scenario():
        log, link = MemoryLog(), Link(1_000_000.0)
        view = LinkedLog(log, LogFaults(), link)
        writer = await _make_writer(view)
        view.faults.unresponsive = True
        record = ("k", b"x" * 100_000)  # takes 0.1 s of the link
        task = await curio.spawn(writer.append, [record], math.inf)
        await curio.sleep(9.0)
        view.faults.unresponsive = False
        returned_at = boottime()
        await task.join()
        # A probe each 0.25 s, the least wait of 0.25 s, and the transfer.
        assert boottime() - returned_at < 1.5
        assert len(log.records) == 1

    curio.run(scenario)
