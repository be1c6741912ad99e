"""Tests of the bounds on requests that have been received and not yet handled."""

from __future__ import annotations

import socket

import curio
import pytest

from cuminhill.util.http import (
    FREE_CHUNKS,
    MAX_CALM_REQUESTS,
    MAX_HEADER_BYTES,
    HttpLimits,
    HttpResponse,
    HttpServer,
)
from cuminhill.util.listener import Connection, Listener
from cuminhill.util.receiving import HandlingShare, Holding, ReceiveBudget

HOST = "127.0.0.1"
POST = b"POST /p HTTP/1.1\r\nhost: x\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
GET = b"GET /g HTTP/1.1\r\nhost: x\r\n\r\n"


class Task:
    """Task of a connection; records whether it was cancelled."""

    cancelled = False

    async def cancel(self, blocking=True):
        """Record the call."""
        self.cancelled = True


def make_holding():
    return Holding(Connection(None, "peer", Task()))


class Requests:
    """Handler that records requests in order; ``/p`` may be held."""

    def __init__(self):
        self.paths = []
        self.bodies = []
        self.released = curio.Event()

    async def __call__(self, req):
        """Record one request."""
        self.paths.append(req.path)
        self.bodies.append(req.body)
        if req.headers.get("x-hold"):
            await self.released.wait()
        return HttpResponse(200, {})


def play(scenario, **options):
    """Run a scenario with a server."""

    async def main():
        server = HttpServer(Requests(), **options)
        await server.start(HOST, 0)
        async with curio.timeout_after(20):
            await scenario(server)
        await server.close(0)

    curio.run(main)


async def read_all(sock):
    data = b""
    try:
        while part := await sock.recv(65536):
            data += part
    except OSError:
        pass
    await sock.close()
    return data


# Guards against a budget that closes the small request that has just begun, or the one
# whose bytes are the last straw, in place of the large one that stands still.
def test_the_oldest_large_request_is_given_up_first(monkeypatch):
    clock = iter(range(100))
    monkeypatch.setattr("time.monotonic", lambda: next(clock))

    async def scenario():
        budget = ReceiveBudget(limit_bytes=4000)
        large, recent, small = make_holding(), make_holding(), make_holding()
        large.buffer += b"x" * 900
        assert await budget.hold(large, 900)
        assert await budget.hold(small, 10)
        assert await budget.hold(recent, 900)
        assert await budget.hold(recent, 1200)
        assert large.revoked
        assert large.conn.task.cancelled
        assert not large.buffer  # given back before the task runs
        assert not (small.revoked or recent.revoked)
        assert budget.used_bytes == 2 * 1210
        assert not await budget.hold(large, 1000)

    curio.run(scenario)


# Guards against a bound on requests in handling below which nothing is served, or that
# is used up by requests that have ended.
def test_a_single_request_is_always_admitted_for_handling():
    share = HandlingShare(limit_bytes=10_000)
    first = share.admit(1_000_000)
    assert first
    assert not share.admit(1)
    share.release(first)
    assert share.admit(1)


# Guards against a request that is handled though its connection was closed for lack of
# memory: the caller was told that it was not.
def test_a_request_that_was_given_up_is_not_handled():
    async def scenario(server):
        socks = []
        for _ in range(8):
            sock = await curio.open_connection(HOST, server.port)
            await sock.sendall(POST + b"content-length: 4000\r\n\r\n" + b"x" * 3000)
            socks.append(sock)
        while not server.budget.counts["memory"]:
            await curio.sleep(0.01)
        for sock in socks:
            try:
                await sock.sendall(b"x" * 1000)
            except OSError:
                continue
        answers = [await read_all(sock) for sock in socks]
        n_served = sum(item.startswith(b"HTTP/1.1 200") for item in answers)
        assert len(server.handler.paths) == n_served
        assert n_served + server.budget.counts["memory"] == 8
        assert set(server.handler.bodies) <= {b"x" * 4000}

    limits = HttpLimits(idle_timeout_s=0.3)
    play(scenario, limits=limits, budget=ReceiveBudget(limit_bytes=20_000))


# Guards against a caller that is told of a failure though its request was handled, or
# left without a pause to wait for.
def test_requests_beyond_the_bound_on_handling_are_refused_unhandled():
    async def scenario(server):
        server.budget.share("http").limit_bytes = 10_000
        first = await curio.open_connection(HOST, server.port)
        body = b"x" * 3000
        head = POST + b"x-hold: 1\r\ncontent-length: 3000\r\n\r\n"
        await first.sendall(head + body)
        while not server.n_busy:
            await curio.sleep(0.01)
        second = await curio.open_connection(HOST, server.port)
        await second.sendall(head + body)
        answer = await second.recv(1000)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1" in answer.lower()
        assert server.handler.paths == ["/p"]
        # A look-up has no body, and the connection is still of use.
        await second.sendall(GET)
        assert (await second.recv(1000)).startswith(b"HTTP/1.1 200")
        await second.close()
        await server.handler.released.set()
        assert (await first.recv(1000)).startswith(b"HTTP/1.1 200")
        await first.close()

    play(scenario)


REFUSED = {
    "long chunk headers": (
        CHUNKED + (b"1;" + b"e" * 8000 + b"\r\nx\r\n") * 30,
        413,
        "large_body",
    ),
    "long head in one piece": (
        GET[:-2] + b"a: %b\r\n\r\n" % (b"x" * MAX_HEADER_BYTES),
        431,
        "",
    ),
}


# Guards against forms of a request that cost far more than its bytes.
@pytest.mark.parametrize("form", REFUSED)
def test_costly_forms_of_a_request_are_refused_and_counted(form):
    data, status, reason = REFUSED[form]

    async def scenario(server):
        sock = await curio.open_connection(HOST, server.port)
        await sock.sendall(data)
        assert (await read_all(sock)).startswith(b"HTTP/1.1 %d " % status)
        assert not server.handler.paths
        assert not reason or server.budget.counts[reason] == 1

    play(scenario, limits=HttpLimits(max_body_bytes=70_000))


# Guards against many bodies in small chunks, which cost far more than their bytes.
def test_small_chunks_are_refused_while_many_requests_are_unfinished():
    async def scenario(server):
        others = []
        for _ in range(MAX_CALM_REQUESTS + 1):
            sock = await curio.open_connection(HOST, server.port)
            await sock.sendall(CHUNKED + b"1\r\nx\r\n")
            others.append(sock)
        while server.budget.n_unfinished <= MAX_CALM_REQUESTS:
            await curio.sleep(0.01)
        sock = await curio.open_connection(HOST, server.port)
        await sock.sendall(CHUNKED + b"1\r\nx\r\n" * (FREE_CHUNKS + 1))
        assert (await read_all(sock)).startswith(b"HTTP/1.1 400 ")
        assert not server.handler.paths
        assert server.budget.counts["small_chunks"] == 1
        for sock in others:
            await sock.close()

    play(scenario)


# Guards against bounds that refuse a single request within the limits of the interface.
def test_a_full_body_in_chunks_of_one_byte_is_served_in_calm():
    async def scenario(server):
        sock = await curio.open_connection(HOST, server.port)
        await sock.sendall(CHUNKED + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n")
        assert (await sock.recv(1000)).startswith(b"HTTP/1.1 200")
        assert server.handler.bodies == [b"x" * 60_000]
        await sock.close()

    play(scenario, limits=HttpLimits(max_body_bytes=60_000))


# Guards against a bound on chunks that refuses a body in chunks of ordinary size.
def test_a_body_in_many_chunks_of_ordinary_size_is_served():
    async def scenario(server):
        sock = await curio.open_connection(HOST, server.port)
        n_chunks = 2 * FREE_CHUNKS
        chunk = b"28\r\n" + b"x" * 40 + b"\r\n"
        await sock.sendall(CHUNKED + chunk * n_chunks + b"0\r\n\r\n")
        assert (await sock.recv(1000)).startswith(b"HTTP/1.1 200")
        assert server.handler.bodies == [b"x" * 40 * n_chunks]
        await sock.close()

    play(scenario)


# Guards against one body in small chunks that is parsed in one go: other callers wait.
def test_other_requests_are_served_while_small_chunks_are_parsed():
    async def scenario(server):
        # All requests are there before the server has its first turn.
        body = CHUNKED + b"1\r\nx\r\n" * 2000 + b"0\r\n\r\n"
        socks = []
        for data in [body] * 20 + [GET]:
            sock = socket.create_connection((HOST, server.port))
            sock.sendall(data)
            socks.append(sock)
        while len(server.handler.paths) < 21:
            await curio.sleep(0)
        assert server.handler.paths.index("/g") < 3
        for sock in socks:
            sock.close()

    play(scenario)


# Guards against a limit of a body that does not follow the configuration.
def test_the_limit_of_a_body_may_change():
    bound = [100]

    async def scenario(server):
        for limit, status in ((100, 413), (200, 200)):
            bound[0] = limit
            sock = await curio.open_connection(HOST, server.port)
            await sock.sendall(POST + b"content-length: 150\r\n\r\n" + b"x" * 150)
            assert (await sock.recv(1000)).startswith(b"HTTP/1.1 %d " % status)
            await sock.close()

    play(scenario, max_body=lambda: bound[0])


# Guards against many silent connections that end those of callers which are in use.
def test_connections_that_were_served_outlast_a_burst_of_silent_ones():
    async def scenario(server):
        used = [await curio.open_connection(HOST, server.port) for _ in range(4)]
        for sock in used:
            await sock.sendall(GET)
            await sock.recv(1000)
        silent = [await curio.open_connection(HOST, server.port) for _ in range(40)]
        while server.listener.counters.n_accepted < 44:
            await curio.sleep(0.01)
        assert server.n_connections <= 10
        for sock in used:
            await sock.sendall(GET)
            assert (await sock.recv(1000)).startswith(b"HTTP/1.1 200")
        for sock in [*used, *silent]:
            await sock.close()

    play(scenario, limits=HttpLimits(max_connections=10))


# Guards against new callers that are closed at once because the connections of others,
# idle but once served, fill the listener.
def test_new_connections_close_idle_ones_while_few_are_new():
    listener = Listener(None, max_connections=4)
    conns = [Connection(None, str(number)) for number in range(4)]
    for conn in conns[:3]:
        listener.conns.add(conn)
        listener.mark_idle(conn)
    listener._new[conns[3]] = None
    assert list(listener._evictable()) == conns
