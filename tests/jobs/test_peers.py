"""Tests of calls to VMs that do not answer."""

from __future__ import annotations

import random
import socket
from dataclasses import replace

import curio
import orjson
import pytest

from cuminhill.clock import boottime
from cuminhill.errors import ProtocolError, UnavailableError, UnknownOutcomeError
from cuminhill.jobs.advice import AdviceCall
from cuminhill.jobs.journal import LogWriter
from cuminhill.jobs.leasebounds import (
    DoneRun,
    LeaseAges,
    LeaseQuery,
    ReleasedRun,
    TermEnd,
)
from cuminhill.jobs.model import TaskKey
from cuminhill.jobs.peers import (
    CONTACT_VALID_S,
    MAX_FAILED_PINGS,
    PING_TIMEOUT_S,
    STATUS_OK,
    JobPeers,
)
from cuminhill.jobs.records import Member
from cuminhill.rpc import RpcClient, RpcServer, idl
from standins.job_platform import LogView, MemoryAdvice, MemoryLog

RECORDS = [("job/a", b"{}")]
LEASE_QUERY, LEASE_AGES = LeaseQuery(2, "n2", 7), LeaseAges(3.5, 1.25)


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
        "a",
        MemoryAdvice(),
        writer,
        random.Random(1),
        lambda term: TermEnd(2.5) if term < 3 else None,
        lambda query: LEASE_AGES if query == LEASE_QUERY else None,
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


def row(key="job/a", value="{}"):
    return orjson.dumps([[key, value]])


ODD_APPENDS = {
    "nothing": b"",
    "open brackets": b"[" * 100_000,
    "1000 levels": b"[" * 1000 + b"]" * 1000,
    "a number": b"7",
    "an object": b'{"a":"b"}',
    "a text": b'["ab"]',
    "three parts": b'[["a","b","c"]]',
    "a key that is a number": b'[[7,"b"]]',
    "a value that is null": b'[["a",null]]',
    "no key": row(key=""),
    "a key of 256 bytes": row(key="x" * 256),
    "a key of 200 letters of 2 bytes": row(key="ä" * 200),
    "a record of 300 KB": row(value="x" * 300_000),
}


async def serve(peers, method, message):
    """Call a VM that serves the handlers, and check that it still serves others."""
    server = RpcServer(peers.handlers())
    await server.start("127.0.0.1", 0)
    await curio.spawn(peers.writer.run, daemon=True)
    client = RpcClient(f"127.0.0.1:{server.port}")
    try:
        with pytest.raises(UnknownOutcomeError):
            await client.call(method, message, timeout_s=1.0)
        sound = idl.AppendCall(row("job/b"), 1.0)
        reply = await client.call("append", sound, timeout_s=1.0)
        assert reply.status == STATUS_OK
    finally:
        await client.close()
        await server.close()


# Guards against a message of another VM that makes the append of everybody else's
# records fail, in the term of a placer for good.
@pytest.mark.parametrize("records", ODD_APPENDS.values(), ids=ODD_APPENDS.keys())
def test_odd_records_of_another_vm_stop_no_other_append(records):
    peers = make_peers("127.0.0.1:1")
    curio.run(serve, peers, "append", idl.AppendCall(records, 1.0))
    assert [item.key for item in peers.writer.log.log.records] == ["job/b"]


@pytest.mark.parametrize("method", ["append", "advise"])
@pytest.mark.parametrize("wait_s", [-1.0, 1e300, float("inf"), float("nan")])
def test_odd_wait_of_another_vm_is_refused(method, wait_s):
    """Guards against timeouts in an order that the kernel cannot keep."""
    peers = make_peers("127.0.0.1:1")
    message = (
        idl.AppendCall(row(), wait_s)
        if method == "append"
        else idl.AdviseCall("s", ["w"], wait_s)
    )
    curio.run(serve, peers, method, message)


# Guards against an answer to a request for advice that raises an error which the placer
# does not handle; its step was then never asked for again.
@pytest.mark.parametrize("value", [*ODD_APPENDS.values()][:9])
def test_odd_advice_of_another_vm_raises_a_protocol_error(value):
    async def advise(_):
        return idl.Reply(STATUS_OK, value)

    async def main():
        server = RpcServer({"advise": advise, "ping": peers._serve_ping})
        await server.start("127.0.0.1", 0)
        peers.members = {"b": Member(f"127.0.0.1:{server.port}")}
        try:
            with pytest.raises(ProtocolError):
                await peers.ask_advice("b", AdviceCall("s", {"w": 1}, 0.1, 1.0), 1.0)
        finally:
            await server.close()

    peers = make_peers("")
    curio.run(main)


async def ask_about_terms(handlers, *terms):
    """Return the answers of a VM that serves the handlers to questions about terms."""
    server = RpcServer(handlers)
    await server.start("127.0.0.1", 0)
    address = f"127.0.0.1:{server.port}"
    try:
        peers = make_peers(address)
        return [await peers.ask_term_ended(address, term) for term in terms]
    finally:
        await server.close()


# Guards against a wait for leases that counts from the answer of a process that was
# started long after the term had ended.
def test_the_answer_about_a_term_says_since_when_it_has_ended():
    handlers = make_peers("").handlers()
    answers = curio.run(ask_about_terms, handlers, 2, 3)
    assert answers == [TermEnd(2.5), None]


# Guards against runs that were gone in a term and are waited for in the next one.
def test_the_answer_about_a_term_names_the_runs_that_it_knew_to_be_gone():
    gone = TermEnd(2.5, (ReleasedRun(TaskKey("00aa", 0, 1, 2), 3, 1.25),))
    peers = make_peers("")
    peers.end_term = lambda _: gone
    assert curio.run(ask_about_terms, peers.handlers(), 2) == [gone]


# Guards against runs that were done in a term and are started again in the next one.
def test_the_answer_about_a_term_names_the_runs_that_it_knew_to_be_done():
    end = TermEnd(2.5, (), (DoneRun(TaskKey("00aa", 0, 1, 2), 3),))
    peers = make_peers("")
    peers.end_term = lambda _: end
    assert curio.run(ask_about_terms, peers.handlers(), 2) == [end]


# Guards against an answer that the asker rejects as a whole, for a task that has been
# away for weeks: the wait for all leases then counted from the answer.
def test_the_answer_about_a_term_is_readable_however_long_a_task_was_away():
    gone = ReleasedRun(TaskKey("00aa", 0, 1, 2), 3, 60 * 86400.0)
    peers = make_peers("")
    peers.end_term = lambda _: TermEnd(2.5, (gone,))
    (end,) = curio.run(ask_about_terms, peers.handlers(), 2)
    assert end is not None
    assert end.for_s == 2.5
    assert [(item.key, item.run) for item in end.released] == [(gone.key, 3)]


# Guards against a time on the wire that ends the wait for leases before they lapse;
# builds before the field send none.
@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b"2.5",
        b'{"for_s":-1.0}',
        b'{"for_s":NaN}',
        b'{"for_s":1e999}',
        b'{"for_s":1e300}',
        b'{"for_s":"2.5"}',
        b'{"for_s":null}',
        b'{"for_s":2.5,"released":null}',
        b'{"for_s":2.5,"released":[["00aa",0,0,0,1]]}',
        b'{"for_s":2.5,"released":[["00aa",0,0,-1,1,0]]}',
        b'{"for_s":2.5,"released":[["00aa",0,0,0,1,1e999]]}',
        b"[" * 100_000,
    ],
)
def test_an_odd_time_since_a_term_has_ended_is_not_believed(value):
    async def answer(_):
        return idl.Reply(STATUS_OK, value)

    handlers = {"term_ended": answer}
    assert curio.run(ask_about_terms, handlers, 1) == [TermEnd(0.0)]


async def ask_for_ages(handlers, query=LEASE_QUERY):
    """Return the answer of a VM that serves the handlers."""
    server = RpcServer(handlers)
    await server.start("127.0.0.1", 0)
    try:
        peers = make_peers(f"127.0.0.1:{server.port}")
        return await peers.ask_lease_ages("b", query)
    finally:
        await server.close()


# Guards against an answer about another claim, or another record of the same term.
def test_a_vm_tells_only_when_it_read_the_record_that_is_asked_for():
    handlers = make_peers("").handlers()
    assert curio.run(ask_for_ages, handlers) == LEASE_AGES
    for other in [{"term": 3}, {"nonce": "n3"}, {"offset": 8}]:
        query = replace(LEASE_QUERY, **other)
        assert curio.run(ask_for_ages, handlers, query) is None


# Guards against ages on the wire that end the wait for leases before they lapse, and
# against a placer that fails on a VM of an earlier build.
@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b"[3.5,1.25]",
        b'{"record_s":3.5}',
        b'{"record_s":3.5,"newest_s":-1.0}',
        b'{"record_s":NaN,"newest_s":1.0}',
        b'{"record_s":1e999,"newest_s":1.0}',
        b'{"record_s":1e300,"newest_s":1.0}',
        b'{"record_s":"3.5","newest_s":1.0}',
        b'{"record_s":1.0,"newest_s":3.5}',
        b"[" * 100_000,
        None,
    ],
)
def test_odd_ages_of_the_records_about_leases_are_not_believed(value):
    async def answer(_):
        return idl.Reply(STATUS_OK, value)

    handlers = {} if value is None else {"lease_ages": answer}
    with pytest.raises(ProtocolError):
        curio.run(ask_for_ages, handlers)


# Guards against a ping that ends the calls under way on its connection: a VM that was
# slow for a moment then lost a call for advice that it had nearly answered.
def test_a_ping_without_an_answer_ends_no_other_call():
    async def advise(_):
        await curio.sleep(PING_TIMEOUT_S + 0.3)
        return idl.Reply(STATUS_OK, b'[["w","t"]]')

    async def ping(_):
        nonlocal n_pings
        n_pings += 1
        if n_pings > 1:
            await curio.sleep(60.0)
        return idl.Reply(STATUS_OK, b"")

    async def main():
        server = RpcServer({"advise": advise, "ping": ping})
        await server.start("127.0.0.1", 0)
        peers = make_peers(f"127.0.0.1:{server.port}")
        call = AdviceCall("s", {"w": 1}, 0.1, 1.0)
        first = await curio.spawn(peers.ask_advice, "b", call, 2.0)
        await curio.sleep(CONTACT_VALID_S + 0.02)
        # The second call is not sent, since the VM answers no ping.
        with pytest.raises(UnavailableError):
            await peers.ask_advice("b", call, 2.0)
        assert (await first.join()).tickets == [("w", "t")]
        await server.close()

    n_pings = 0
    curio.run(main)


# Guards against pings under way at the same time that count as several in a row: one
# moment of silence then ended a call for advice that was nearly answered.
def test_concurrent_pings_without_an_answer_end_no_other_call():
    async def advise(_):
        await curio.sleep(PING_TIMEOUT_S + 0.3)
        return idl.Reply(STATUS_OK, b'[["w","t"]]')

    async def ping(_):
        await curio.sleep(60.0)
        return idl.Reply(STATUS_OK, b"")

    async def main():
        server = RpcServer({"advise": advise, "ping": ping})
        await server.start("127.0.0.1", 0)
        peers = make_peers(f"127.0.0.1:{server.port}")
        peers._contacted_at["b"] = boottime()
        call = AdviceCall("s", {"w": 1}, 0.1, 1.0)
        first = await curio.spawn(peers.ask_advice, "b", call, 2.0)
        await curio.sleep(0.05)
        pings = [
            await curio.spawn(peers.ping, "b") for _ in range(MAX_FAILED_PINGS + 1)
        ]
        for task in pings:
            with pytest.raises(curio.TaskError):
                await task.join()
        assert (await first.join()).tickets == [("w", "t")]
        await server.close()

    curio.run(main)


# Guards against a dead connection that calls without an answer keep open: a VM that is
# back after a partition is then out of use until they time out.
def test_pings_without_an_answer_close_a_connection_with_calls_under_way(
    unresponsive_address,
):
    async def main():
        peers = make_peers(unresponsive_address)
        peers._contacted_at["b"] = boottime()
        call = AdviceCall("s", {"w": 1}, 0.1, 1.0)
        await curio.spawn(ask_in_vain, peers, call, daemon=True)
        await curio.sleep(0.05)
        client = peers._client("b")
        for n_failed in range(1, MAX_FAILED_PINGS + 1):
            with pytest.raises(UnavailableError):
                await peers.ping("b")
            assert (client._stream is None) == (n_failed == MAX_FAILED_PINGS)

    async def ask_in_vain(peers, call):
        with pytest.raises(UnknownOutcomeError):
            await peers.ask_advice("b", call, 10.0)

    curio.run(main)


# Guards against calls on a connection that died in a partition: the next one has to use
# a new one.
def test_a_ping_without_an_answer_closes_an_idle_connection(unresponsive_address):
    async def main():
        peers = make_peers(unresponsive_address)
        for _ in range(2):
            with pytest.raises(UnavailableError):
                await peers.ask_advice("b", AdviceCall("s", {"w": 1}, 0.1, 1.0), 1.0)
            assert peers._client("b")._stream is None

    curio.run(main)
