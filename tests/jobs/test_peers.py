"""Tests of calls to VMs that do not answer."""

from __future__ import annotations

import random
import socket

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.errors import UnavailableError
from cuminhill.jobs.journal import LogWriter
from cuminhill.jobs.peers import JobPeers
from cuminhill.jobs.records import Member
from standins.job_platform import LogView, MemoryAdvice, MemoryLog

RECORDS = [("job/a", b"{}")]


@pytest.fixture
def unresponsive_address():
    """Return an address that accepts connections and never answers."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def make_peers(address):
    writer = LogWriter(LogView(MemoryLog()), "a", 1)
    peers = JobPeers(
        "a", MemoryAdvice(), writer, random.Random(1), lambda term: term < 3
    )
    peers.members = {"b": Member(address)}
    return peers


def test_records_are_not_sent_to_a_placer_that_does_not_answer_a_ping(
    unresponsive_address,
):
    """Guards against "uncertain" for callers of a partitioned VM.

    During a partition of a failure domain its callers got a 504 for 3 s, although no
    record had been sent to the placer.
    """

    async def scenario():
        peers = make_peers(unresponsive_address)
        asked_at = boottime()
        assert await peers.append_by_placer("b", RECORDS, 1.2) is None
        assert boottime() - asked_at < 0.6
        # The next caller does not wait.
        assert await peers.append_by_placer("b", RECORDS, 1.2) is None
        assert boottime() - asked_at < 0.7

    curio.run(scenario)


def test_unreachable_vms_leave_no_outcome_unknown(unresponsive_address):
    """Guards against "uncertain" after calls to VMs that cannot be reached."""

    async def scenario():
        peers = make_peers(unresponsive_address)
        with pytest.raises(UnavailableError):
            await peers.append(RECORDS, 0.6)

    curio.run(scenario)
