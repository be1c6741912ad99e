"""Tests of RPC between entry VMs over real sockets."""

from __future__ import annotations

import functools
import random
import socket
import struct

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill import rpc
from cuminhill.errors import ProtocolError, UnavailableError, UnknownOutcomeError
from cuminhill.frames import MAX_CALLS_WHEN_BUSY
from cuminhill.rpc import RpcClient, RpcLimits, RpcServer, decode, encode, idl
from cuminhill.util.kernel import run_to_end
from cuminhill.util.listener import Listener
from cuminhill.util.thriftcheck import MAX_ELEMENTS

HOST = "127.0.0.1"
LIMITS = RpcLimits(
    max_connections=20,
    max_frame_bytes=100_000,
    max_calls=8,
    frame_timeout_s=0.15,
    write_timeout_s=0.2,
    idle_timeout_s=0.3,
)
MEMBER = idl.Member("a", 1, 2, "alive", "x:1", "T", ["T/0"], 1.0, 1, 1)
HEARTBEAT = encode(idl.Heartbeat(MEMBER, [MEMBER] * 4))


def frame(method, body, call_id=1):
    data = encode(idl.Envelope(call_id, False, method, body, "", False))
    return struct.pack("!I", len(data)) + data


LOOKUP = frame("lookup", encode(idl.LookupCall("r", 0.0)))
LARGE_HELD_CALL = frame("lookup", encode(idl.LookupCall("hold" + "x" * 3000, 0.0)))


class Handlers:
    """Serves look-ups; the request id selects the behaviour."""

    def __init__(self):
        self.release = curio.Event()
        self.n_running = 0
        self.max_running = 0

    async def lookup(self, call):
        """Reply with the request id as status."""
        self.n_running += 1
        self.max_running = max(self.max_running, self.n_running)
        try:
            if call.request_id.startswith("hold"):
                await self.release.wait()
            if call.request_id == "error":
                raise KeyError("bug")
            size = 200_000 if call.request_id == "large" else 1
            size = 90_000 if call.request_id == "big" else size
            return idl.Reply(call.request_id, b"x" * size)
        finally:
            self.n_running -= 1


def with_server(limits=LIMITS):
    """Run an async test with a server; another client must be served throughout."""

    def wrap(test):
        @functools.wraps(test)
        def run():
            curio.run(main)

        async def main():
            handlers = Handlers()
            server = RpcServer({"lookup": handlers.lookup}, limits)
            await server.start(HOST, 0)
            other_client = RpcClient(f"{HOST}:{server.port}", limits=limits)
            async with curio.timeout_after(20):
                assert await lookup(other_client, "before")
                await test(server, handlers)
                assert await lookup(other_client, "after")
            await other_client.close()
            await server.close()

        del run.__wrapped__  # pytest would take the arguments for fixtures
        return run

    return wrap


async def lookup(client, request_id, timeout_s=2.0):
    call = idl.LookupCall(request_id, 0.0)
    return (await client.call("lookup", call, timeout_s=timeout_s)).status


async def exchange(server, data):
    """Send bytes and return the envelopes received until the server closes."""
    sock = await curio.open_connection(HOST, server.port)
    await sock.sendall(data)
    received = b""
    while chunk := await sock.recv(65536):
        received += chunk
    await sock.close()
    replies = []
    while received:
        (length,) = struct.unpack_from("!I", received)
        replies.append(decode(idl.Envelope, received[4 : 4 + length], "server"))
        received = received[4 + length :]
    return replies


INVALID_FRAMES = {
    "absurd length": (b"\xff\xff\xff\xff", "n_bad_frames"),
    "HTTP": (b"GET / HTTP/1.1\r\n\r\n", "n_bad_frames"),
    "above the limit": (struct.pack("!I", 100_001) + b"x", "n_bad_frames"),
    "empty frame": (b"\0\0\0\0", "n_bad_frames"),
    "garbage": (struct.pack("!I", 50) + random.Random(3).randbytes(50), "n_bad_frames"),
    "no fields": (struct.pack("!I", 1) + b"\0", "n_bad_frames"),
    "length too short": (
        struct.pack("!I", len(LOOKUP) - 9) + LOOKUP[4:],
        "n_bad_frames",
    ),
    "length too long": (
        struct.pack("!I", len(LOOKUP) + 9) + LOOKUP[4:],
        "n_read_timeouts",
    ),
    "half a length": (LOOKUP[:2], "n_read_timeouts"),
    "half a frame": (LOOKUP[:-5], "n_read_timeouts"),
    "reply to no call": (
        LOOKUP.replace(b"\x02\x00\x02\x00", b"\x02\x00\x02\x01"),
        "n_bad_frames",
    ),
}


@pytest.mark.parametrize("fault", INVALID_FRAMES)
def test_invalid_frame_closes_only_its_own_connection(fault):
    """Guards against invalid data that blocks or stops the server."""
    data, counter = INVALID_FRAMES[fault]

    @with_server()
    async def run(server, handlers):
        replies = await exchange(server, LOOKUP + data)
        assert [item.error for item in replies] in ([""], [])
        assert getattr(server.counters, counter) == 1

    run()


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (frame("format", b"\0"), "unknown method 'format'"),
        (frame("explain", encode(idl.ExplainCall("r"))), "unknown method 'explain'"),
        (frame("lookup", b""), "decode"),
        (frame("lookup", b"\0"), "LookupCall.request_id is missing"),
        (frame("lookup", b"\x0b\0\1\x7f\xff\xff\xff"), "exceeds the data"),
        (frame("lookup", HEARTBEAT), "is missing"),
    ],
    ids=["method", "no handler", "no body", "no fields", "bad length", "other type"],
)
def test_invalid_call_in_a_valid_frame_is_refused_and_the_connection_stays(
    data, message
):
    """Guards against one invalid call that fails the others on its connection."""

    @with_server()
    async def run(server, handlers):
        refused, served = await exchange(server, data + LOOKUP)
        assert refused.refused
        assert message in refused.error
        assert (served.error, served.refused) == ("", False)

    run()


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, len(HEARTBEAT) - 1), st.integers(0, 255)), min_size=1
    )
)
def test_altered_message_is_decoded_whole_or_refused(changes):
    """Guards against corrupt lengths that thriftpy2 trusts: one allocated 4 GB."""
    data = bytearray(HEARTBEAT)
    for index, value in changes:
        data[index] = value
    try:
        message = decode(idl.Heartbeat, bytes(data), "peer")
    except ProtocolError:
        return
    assert len(message.members) in {0, 4}
    assert isinstance(message.sender.vm, str)


@pytest.mark.parametrize(
    "data",
    [
        HEARTBEAT + b"\0",
        HEARTBEAT[:-1],
        b"\x0f\0\2\x0c"
        + struct.pack("!i", MAX_ELEMENTS + 1)
        + b"\0" * (MAX_ELEMENTS + 2),
        b"\x0f\0\2\x0c" + struct.pack("!i", -1) + b"\0",
        b"\x0d\0\x09\x0b\x0b" + struct.pack("!i", 1 << 30) + b"\0",
        b"\x0c\0\x09" * 100 + b"\0" * 101,
        b"\x63\0\1\0",
        b"\x0b\0\1" + struct.pack("!i", -7) + b"\0",
    ],
    ids=["left over", "cut", "items", "negative", "map", "depth", "type", "back"],
)
def test_structure_beyond_the_bounds_is_refused(data):
    """Guards against messages that cost far more than their size suggests."""
    with pytest.raises(ProtocolError, match="StructureError"):
        decode(idl.Heartbeat, data, "peer")


def test_field_with_a_default_may_be_missing():
    """Guards against rejecting calls of daemons that lack a newer field."""
    data = encode(idl.Envelope(1, False, "lookup", b"", "", None))
    assert decode(idl.Envelope, data, "peer").refused is False


@with_server()
async def test_calls_without_effect_are_told_from_unknown_outcomes(server, handlers):
    """Guards against 'not run' for a call that may have taken effect."""
    client = RpcClient(f"{HOST}:{server.port}", limits=LIMITS)
    for request_id in ("error", "large"):
        with pytest.raises(UnknownOutcomeError):
            await lookup(client, request_id)
    with pytest.raises(ProtocolError, match="unknown method"):
        await client.call("cancel", idl.CancelCall("r"), timeout_s=2)
    with pytest.raises(ProtocolError, match="frame of"):
        await lookup(client, "x" * 100_001)
    with pytest.raises(UnknownOutcomeError):
        await lookup(client, "hold", 0.05)
    assert await lookup(client, "ok") == "ok"
    await client.close()
    with pytest.raises(UnavailableError):
        await lookup(RpcClient(f"{HOST}:1"), "r")


@with_server(RpcLimits(max_connections=30))
async def test_idle_connections_do_not_lock_out_peers(server, handlers):
    """Guards against peers refused because others hold idle connections."""
    idle = [await curio.open_connection(HOST, server.port) for _ in range(300)]
    client = RpcClient(f"{HOST}:{server.port}")
    assert await lookup(client, "r") == "r"
    assert server.n_connections <= 30
    assert server.counters.connections.n_evicted > 250
    await client.close()
    for sock in idle:
        await sock.close()


@with_server()
async def test_silent_connection_is_closed(server, handlers):
    """Guards against connections of vanished peers that are never closed."""
    assert await exchange(server, b"") == []
    assert server.counters.n_idle_closed >= 1


@with_server()
async def test_idle_timeout_does_not_end_a_long_call(server, handlers):
    """Guards against losing the reply to a call longer than the idle timeout."""
    client = RpcClient(f"{HOST}:{server.port}", limits=LIMITS)
    held = await curio.spawn(lookup, client, "hold", 10.0)
    await curio.sleep(2 * LIMITS.idle_timeout_s)
    await handlers.release.set()
    assert await held.join() == "hold"
    await client.close()


@with_server()
async def test_calls_beyond_the_bound_wait_unread(server, handlers):
    """Guards against a peer that starts an unlimited number of calls."""
    calls = [frame("lookup", encode(idl.LookupCall("hold", 0.0)), n) for n in range(30)]
    task = await curio.spawn(exchange, server, b"".join(calls))
    while handlers.n_running < LIMITS.max_calls:
        await curio.sleep(0.01)
    await curio.sleep(0.1)
    await handlers.release.set()
    replies = await task.join()
    assert {item.call_id for item in replies} == set(range(30))
    assert handlers.max_running == LIMITS.max_calls


# Guards against large calls that pile up behind a slow handler, and against a refusal
# that the caller takes for an unknown outcome. Small calls, such as pings, are served.
@with_server()
async def test_large_calls_beyond_the_share_are_refused_without_effect(
    server, handlers
):
    server.budget.share("peers").limit_bytes = 10_000
    client = RpcClient(f"{HOST}:{server.port}", limits=LIMITS)
    task = await curio.spawn(exchange, server, LARGE_HELD_CALL)
    while not handlers.n_running:
        await curio.sleep(0.01)
    with pytest.raises(ProtocolError, match="too many calls"):
        await lookup(client, "x" * 4000)
    assert handlers.max_running == 1
    assert await lookup(client, "ok") == "ok"
    await handlers.release.set()
    await task.join()
    assert await lookup(client, "x" * 4000) == "x" * 4000
    assert server.budget.share("peers").used_bytes == 0
    await client.close()


# Guards against many connections that each start as many calls as one may.
@with_server(RpcLimits(max_calls=40, max_total_calls=40, idle_timeout_s=0.3))
async def test_calls_of_all_connections_are_bounded(server, handlers):
    calls = [frame("lookup", encode(idl.LookupCall("hold", 0.0)), n) for n in range(40)]
    tasks = [await curio.spawn(exchange, server, b"".join(calls)) for _ in range(3)]
    # How many run depends on which connection is read first: 48 if they take turns.
    while handlers.n_running < 40:
        await curio.sleep(0.01)
    n_before = 0
    while handlers.n_running > n_before:
        n_before = handlers.n_running
        await curio.sleep(0.1)
    assert handlers.n_running <= 40 + 3 * MAX_CALLS_WHEN_BUSY
    await handlers.release.set()
    for task in tasks:
        assert len(await task.join()) == 40


@with_server(RpcLimits(write_timeout_s=0.2))
async def test_peer_that_reads_no_replies_is_cut_off(server, handlers):
    """Guards against replies that accumulate for a peer that does not read them."""
    sock = await curio.open_connection(HOST, server.port)
    await sock.sendall(frame("lookup", encode(idl.LookupCall("big", 0.0))) * 200)
    while server.n_connections != 1:
        await curio.sleep(0.01)
    assert server.counters.n_write_timeouts
    await sock.close()


@with_server(RpcLimits(max_connections=5))
async def test_connection_with_a_call_in_progress_is_kept(server, handlers):
    """Guards against many new connections that close one with a call in progress."""
    client = RpcClient(f"{HOST}:{server.port}")
    held = await curio.spawn(lookup, client, "hold", 10.0)
    while not handlers.n_running:
        await curio.sleep(0.01)
    idle = [await curio.open_connection(HOST, server.port) for _ in range(50)]
    while server.counters.connections.n_accepted < 50:
        await curio.sleep(0.01)
    await handlers.release.set()
    assert await held.join() == "hold"
    await client.close()
    for sock in idle:
        await sock.close()


def test_pending_calls_fail_when_the_server_sends_garbage():
    """Guards against a client that waits for a reply after invalid data arrived."""

    async def serve(conn):
        await conn.sock.recv(1000)
        await conn.sock.sendall(b"\xff" * 100)
        await conn.sock.recv(1000)

    async def main():
        listener = Listener(serve, 10)
        await listener.start(HOST, 0)
        client = RpcClient(f"{HOST}:{listener.port}", limits=LIMITS)
        with pytest.raises(UnknownOutcomeError, match="connection lost"):
            await lookup(client, "r", 20.0)
        assert client.counters.n_bad_frames == 1

    curio.run(main)


def test_client_closes_a_connection_after_a_truncated_frame(monkeypatch):
    """Guards against a peer that reads a frame as the rest of a truncated one."""
    monkeypatch.setattr(rpc, "TCP_USER_TIMEOUT_MS", 60_000)

    async def serve(conn):
        await curio.sleep(60)

    async def main():
        listener = Listener(serve, 10)
        await listener.start(HOST, 0)
        client = RpcClient(f"{HOST}:{listener.port}", limits=LIMITS)
        waiting = await curio.spawn(lookup, client, "r", 30.0)
        # The time-out below is for the write: it must not run out while connecting.
        while client._stream is None:
            await curio.sleep(0.01)
        while not waiting.terminated:
            with pytest.raises(UnknownOutcomeError):
                await lookup(client, "x" * 99_000, 0.02)
        assert "connection lost" in str(waiting.exception)

    curio.run(main)


# Guards against a call that fails with an error that its caller does not handle: for
# advice, its step was then never asked for again.
@pytest.mark.parametrize(
    "address", ["", "nowhere", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:x", "..:1"]
)
def test_impossible_address_is_an_unavailable_peer(address):
    with pytest.raises(UnavailableError):
        curio.run(lookup, RpcClient(address), "any")


def test_a_connection_closed_under_a_blocked_write_disturbs_no_other():
    """Guards against calls of others that fail since they get the closed descriptor."""

    async def write(client):
        call = idl.AppendCall(b"x" * 900_000, 1.0)
        with pytest.raises(UnknownOutcomeError):
            await client.call("append", call, timeout_s=2.0)

    async def scenario():
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind((HOST, 0))
        listener.listen()  # connections are made, but nothing is read from them
        address = f"{HOST}:{listener.getsockname()[1]}"
        client = RpcClient(address)
        writers = [await curio.spawn(write, client) for _ in range(8)]
        await curio.sleep(0.3)
        number = client._sock.fileno()
        await client.close()
        other = RpcClient(address)
        with pytest.raises(UnknownOutcomeError, match="TaskTimeout"):
            await other.call("ping", idl.PingCall(), timeout_s=0.2)
        assert number == other._sock.fileno()
        for task in writers:
            await task.join()
        await other.close()
        listener.close()

    run_to_end(scenario)


@with_server(RpcLimits(write_timeout_s=30.0))
async def test_replies_to_a_peer_that_is_gone_do_not_stay_blocked(server, handlers):
    """Guards against tasks that write to a closed connection without an end."""
    sock = await curio.open_connection(HOST, server.port)
    call = frame("lookup", encode(idl.LookupCall("big", 0.0)))
    await sock.sendall(call * 200)
    while not any(item.writers for item in server._served):
        await curio.sleep(0.01)
    await curio.sleep(0.2)  # until one of them is blocked
    served = next(item for item in server._served if item.writers)
    assert not server.counters.n_failed_calls
    await sock.shutdown(socket.SHUT_WR)
    while server.n_connections != 1 or served.n_calls:
        await curio.sleep(0.01)
    assert not served.writers
    await sock.close()
