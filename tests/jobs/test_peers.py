"""Tests of calls between VMs that do not answer."""

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
def silent_address():
    """Return an address that takes connections and never answers."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def make_peers(address):
    writer = LogWriter(LogView(MemoryLog()), "a", 1)
    peers = JobPeers("a", MemoryAdvice(), writer, random.Random(1))
    peers.members = {"b": Member(address)}
    return peers


def test_records_are_not_sent_to_a_placer_that_shows_no_sign_of_life(silent_address):
    """Guards against "uncertain" for callers of a VM behind a partition.

    Pattern: a failure domain that is cut off. Seen on okrnik trouble-3: the callers of
    the cut domain were told 504 for 3 s, although nothing had been sent on.
    """

    async def scenario():
        peers = make_peers(silent_address)
        asked_at = boottime()
        assert await peers.append_by_placer("b", RECORDS, 1.2) is None
        assert boottime() - asked_at < 0.6
        # The next caller is not held up.
        assert await peers.append_by_placer("b", RECORDS, 1.2) is None
        assert boottime() - asked_at < 0.7

    curio.run(scenario)


def test_other_vms_without_a_sign_of_life_leave_nothing_open(silent_address):
    """Guards against "uncertain" after asking VMs that cannot be reached."""

    async def scenario():
        peers = make_peers(silent_address)
        with pytest.raises(UnavailableError):
            await peers.append(RECORDS, 0.6)

    curio.run(scenario)
