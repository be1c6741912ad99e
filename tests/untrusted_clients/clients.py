"""Loads of many clients: each opens connections, sends, and keeps them open.

A load ends when all of its clients have sent what they have, were refused or have
taken `SEND_S`, and `HOLD_S` later. The server may stop reading or close a connection
at any time.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from typing import TYPE_CHECKING

from cuminhill.frames import encode, idl

if TYPE_CHECKING:
    from collections.abc import Iterable

SEND_S = 3.0
# For which connections stay open afterwards, so that the process reads what arrived.
HOLD_S = 1.0
N_CLIENTS = 200
BODY_BYTES = 262_144
SHORT_BYTES = 100  # by which a request stops before its end
HEAD = b"POST /q/%016x HTTP/1.1\r\nhost: h.example\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
LARGE = bytes(b"x" * BODY_BYTES)
_numbers = itertools.count(1)


def ask(address: str, path: str, timeout_s: float = 10.0) -> bytes:
    """Send one ordinary request and return the response up to its end."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout_s) as sock:
        sock.sendall(
            b"GET %b HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n\r\n"
            % path.encode()
        )
        data = b""
        while part := sock.recv(65536):
            data += part
    return data


def head(*fields: bytes) -> bytes:
    """Return the head of a submission with an id of its own."""
    return HEAD % next(_numbers) + b"".join(fields)


def length(n_bytes: int) -> bytes:
    """Return the last field of a head that announces a body."""
    return b"content-length: %d\r\n\r\n" % n_bytes


def short_body() -> Iterable[bytes]:
    """Yield an announced body of full size but for its end."""
    yield head(length(BODY_BYTES)) + LARGE[SHORT_BYTES:]


def short_body_in_pieces() -> Iterable[bytes]:
    """Yield an announced body of full size in pieces of 4 KB, but for its end."""
    yield head(length(BODY_BYTES))
    for start in range(SHORT_BYTES, BODY_BYTES, 4096):
        yield LARGE[start : start + 4096]


def whole_invalid_body() -> Iterable[bytes]:
    """Yield a body of full size that is no valid job."""
    yield head(length(BODY_BYTES)) + LARGE


def body_of_many_errors() -> Iterable[bytes]:
    """Yield a body of full size with a wrong number in every three bytes."""
    body = b'{"spec":"x","phases":[{"count":1,"after":[-1%b]}]}' % (b",-1" * 87_000)
    yield head(length(len(body))) + body


def whole_job() -> Iterable[bytes]:
    """Yield a valid job of full size, most of which is padding."""
    body = b'{"phases":[{"count":1,"cpu":100}],"spec":"%b"}' % LARGE[:4000]
    yield head(length(BODY_BYTES)) + body.ljust(BODY_BYTES)


def whole_job_in_chunks() -> Iterable[bytes]:
    """Yield a valid job of full size in chunks of 16,000 bytes."""
    body = b'{"phases":[{"count":1,"cpu":100}],"spec":"x"}'.ljust(BODY_BYTES)
    yield head(CHUNKED)
    for start in range(0, BODY_BYTES, 16_000):
        part = body[start : start + 16_000]
        yield b"%x\r\n" % len(part) + part + b"\r\n"
    yield b"0\r\n\r\n"


def large_chunks_short() -> Iterable[bytes]:
    """Yield a body of nearly full size in chunks of 16,000 bytes without the last."""
    yield head(CHUNKED)
    for _ in range(16):
        yield b"%x\r\n" % 16_000 + LARGE[:16_000] + b"\r\n"


def tiny_chunks_short() -> Iterable[bytes]:
    """Yield 40,000 chunks of one byte without the last."""
    yield head(CHUNKED)
    for _ in range(20):
        yield b"1\r\nx\r\n" * 2000


def announced_too_large() -> Iterable[bytes]:
    """Yield a body of 64 MB that is announced, of which 2 MB are sent."""
    yield head(length(64 << 20))
    for _ in range(8):
        yield LARGE


def unannounced_too_large() -> Iterable[bytes]:
    """Yield 2 MB in chunks without a last one."""
    yield head(CHUNKED)
    for _ in range(8):
        yield b"%x\r\n" % BODY_BYTES + LARGE + b"\r\n"


def endless_head() -> Iterable[bytes]:
    """Yield a head that does not end."""
    yield head(b"x-long: ")
    for _ in range(8):
        yield LARGE[:8000]


def unread_responses() -> Iterable[bytes]:
    """Yield many requests; the client reads no response."""
    for _ in range(40):
        yield b"GET /q/ HTTP/1.1\r\nhost: h.example\r\n\r\n" * 200


def nothing() -> Iterable[bytes]:
    """Yield nothing; the connection stays silent."""
    return ()


def short_frame() -> Iterable[bytes]:
    """Yield a frame of 4 MB, of which 512 KB are sent."""
    yield struct.pack("!I", 4 << 20)
    yield LARGE
    yield LARGE


def frame(method: str, message: object) -> bytes:
    """Return the frame of a call between VMs."""
    call = idl.Envelope(next(_numbers), False, method, encode(message), "", False)
    data = encode(call)
    return struct.pack("!I", len(data)) + data


def append_calls() -> Iterable[bytes]:
    """Yield calls that append a large record each and wait for the store."""
    for _ in range(20):
        rows = b'[["job/%016x","%b"]]' % (next(_numbers), LARGE[:240_000])
        yield frame("append", idl.AppendCall(rows, 30.0))


def unread_replies() -> Iterable[bytes]:
    """Yield calls whose replies the client does not read."""
    for _ in range(20):
        yield frame("ping", idl.PingCall()) * 100


async def _send(address: str, parts: Iterable[bytes]) -> socket.socket:
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    try:
        async with asyncio.timeout(SEND_S):
            await loop.sock_connect(sock, (host, int(port)))
            for part in parts:
                await loop.sock_sendall(sock, part)
                await asyncio.sleep(0)
    except (OSError, TimeoutError):
        pass  # refused, closed, or not read
    return sock


async def _send_all(clients: list[tuple[str, Iterable[bytes]]]) -> list[socket.socket]:
    sockets = await asyncio.gather(*(_send(*client) for client in clients))
    await asyncio.sleep(HOLD_S)
    return sockets


def send_all(clients: list[tuple[str, Iterable[bytes]]]) -> list[socket.socket]:
    """Open a connection for each pair of address and parts; return the sockets."""
    return asyncio.run(_send_all(clients))
