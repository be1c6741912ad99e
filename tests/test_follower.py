"""Tests of the follower of a stream of the log over a link of little capacity."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager

import curio

from cuminhill.errors import UnknownOutcomeError
from cuminhill.follower import Follower
from cuminhill.platform.log import LogPage, make_log
from cuminhill.util.http import HttpLimits, HttpServer
from standins.log_service import LogService
from standins.slow_link import SlowLink

HOST = "127.0.0.1"
STREAM = "s"
TICK_S = 0.02
LIMITS = HttpLimits(max_connections=50, max_body_bytes=8 << 20)


@asynccontextmanager
async def slow_log(bytes_s):
    """Yield a log service, a client of it over a slow link, and the link."""
    service = LogService()
    server = HttpServer(service.handle, LIMITS)
    await server.start(HOST, 0)
    link = SlowLink(HOST, server.port, bytes_s)
    yield service, make_log(await link.start()), link
    await link.close()
    await server.close(0)


def make_follower(log, seen):
    """Return a follower that collects the offsets of the records."""

    async def on_record(offset, value):
        seen.append(offset)

    async def ignore(*_):
        pass

    return Follower(log, STREAM, on_record, ignore, ignore)


async def wait_until(condition, limit_s):
    """Wait until a condition holds, at most for a time."""
    give_up_at = time.monotonic() + limit_s
    while not condition() and time.monotonic() < give_up_at:
        await curio.sleep(TICK_S)


def test_a_stream_is_read_over_a_slow_link():
    """Guards against a page that is transferred again and again (issue 46).

    A page of configurations takes longer than the time-out of a read, and the next
    read transfers all of it again.
    """

    async def scenario():
        async with slow_log(400_000.0) as (service, log, _):
            service.append(STREAM, ["x" * 500_000] * 4, time.monotonic())
            seen = []
            follower = make_follower(log, seen)
            task = await curio.spawn(follower.run_reads)
            await wait_until(lambda: follower.caught_up, 20.0)
            await task.cancel()
            assert seen == [0, 1, 2, 3]

    curio.run(scenario)


def test_records_are_appended_over_a_slow_link():
    """Guards against a batch that is sent again and again.

    The log may store it each time, and the follower sent it again nevertheless.
    """

    async def scenario():
        async with slow_log(250_000.0) as (_, log, link):
            seen = []
            follower = make_follower(log, seen)
            tasks = [
                await curio.spawn(run)
                for run in (follower.run_reads, follower.run_appends)
            ]
            await wait_until(lambda: follower.caught_up, 5.0)
            for _ in range(400):
                await follower.append({"value": "x" * 2_000})
            await wait_until(lambda: not follower.n_pending, 20.0)
            for task in tasks:
                await task.cancel()
            assert not follower.n_pending
            assert link.n_uploaded_bytes < 4 * 800_000

    curio.run(scenario)


class LimitedLog:
    """A log whose larger pages never arrive."""

    def __init__(self, n_records, max_limit):
        self.n_records = n_records
        self.max_limit = max_limit
        self.limits = []

    async def read(self, stream, offset, *, limit=1000, wait_s=0.0):
        """Return records from an offset on."""
        self.limits.append(limit)
        await curio.sleep(0.001)
        last = min(self.n_records, offset + limit)
        if last - offset > self.max_limit:
            raise UnknownOutcomeError("time-out", step="http")
        if offset == last:
            await curio.sleep(0.05)
        records = [(number, {}) for number in range(offset, last)]
        return LogPage(0, self.n_records, records)


def test_a_page_that_never_arrives_is_read_in_parts():
    """Guards against a follower that asks for the same too large page for ever."""

    async def scenario():
        seen = []
        log = LimitedLog(n_records=300, max_limit=100)
        follower = make_follower(log, seen)
        task = await curio.spawn(follower.run_reads)
        await wait_until(lambda: follower.caught_up, 10.0)
        await wait_until(lambda: log.limits[-1] == 1000, 5.0)
        await task.cancel()
        assert seen == list(range(300))
        assert log.limits[-1] == 1000  # grows again once pages arrive

    curio.run(scenario)
