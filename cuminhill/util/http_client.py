"""HTTP/1.1 client based on curio and h11, with persistent connections."""

from __future__ import annotations

import math
import select
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import h11
import orjson
from curio import socket

from ..errors import (
    ConnectionClosedError,
    ProtocolError,
    UnavailableError,
    UnknownOutcomeError,
)
from .addresses import BAD_ADDRESS_ERRORS, check_port
from .json_input import load_json

if TYPE_CHECKING:
    from collections.abc import Sequence

JSON_TYPE, RAW_TYPE = b"application/json", b"application/octet-stream"
READ_SIZE = 65536  # bytes
# Bounds a response with `stall_s` that arrives in small parts without an end.
MAX_TRANSFER_S = 30.0
MAX_RESPONSE_BYTES = 64 << 20
# Below the servers' idle timeout, so that a request is rarely sent on a connection
# that the server is closing.
CONN_MAX_IDLE_S = 10.0


@dataclass(slots=True)
class HttpTraffic:
    """Bytes sent and received by HTTP clients, without TCP and IP headers."""

    n_sent_bytes: int = 0
    n_received_bytes: int = 0


_CLIENT_TRAFFIC = HttpTraffic()


def byte_counts() -> tuple[int, int]:
    """Return the bytes sent and received by all HTTP clients of this process."""
    return _CLIENT_TRAFFIC.n_sent_bytes, _CLIENT_TRAFFIC.n_received_bytes


class _TooLargeError(ValueError):
    """The response exceeds `MAX_RESPONSE_BYTES`."""


@dataclass(eq=False, slots=True)
class _PooledConnection:
    """Client side of one connection."""

    sock: Any
    h11_conn: h11.Connection
    last_used_at: float


@dataclass(eq=False)
class HttpClient:
    """HTTP client for one server, with a small pool of persistent connections.

    Parameters
    ----------
    host : str
        IP address of the server.
    port : int
        TCP port of the server.
    max_idle : int, default=8
        Maximum number of idle connections in the pool.
    connect_timeout_s : float, seconds, default=inf
        Limit for connecting; the limit for the whole request applies as well.
    source_host : str, default=""
        Local IP address of the connections; empty lets the system choose.
    """

    host: str
    port: int
    max_idle: int = 8
    connect_timeout_s: float = math.inf
    source_host: str = ""
    _idle: list[_PooledConnection] = field(default_factory=list)

    @property
    def peer(self) -> str:
        """Address of the server."""
        return f"{self.host}:{self.port}"

    async def request(
        self,
        method: str,
        path: str,
        value: Any = None,
        *,
        timeout_s: float = 5.0,
        stall_s: float | None = None,
        headers: Sequence[tuple[str, str]] = (),
    ) -> tuple[int, Any]:
        """Send a request and return status and decoded body.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path with query.
        value : object, default=None
            Body: bytes are sent unchanged, other values as JSON, None as no body.
        timeout_s : float, seconds
            Limit for the whole request, including connecting. With ``stall_s``, limit
            until the response begins.
        stall_s : float or None, seconds
            Limit between two parts of the response, for one that may be large: a
            transfer over a slow link that goes on is not given up before it has taken
            `MAX_TRANSFER_S`.
        headers : sequence of (str, str)
            Headers in addition to host, content type and content length.

        Returns
        -------
        status : int
            HTTP status.
        value : object
            Decoded body: JSON value, bytes if the content type is
            ``application/octet-stream``, text for any other type.

        Raises
        ------
        UnavailableError
            If the request was certainly not sent, also because the address or the body
            is impossible.
        ConnectionClosedError
            If the server closed the connection after sending began.
        UnknownOutcomeError
            If the connection failed in another way or the time ran out after sending
            began, or the response cannot be decoded.
        """
        give_up_at = time.monotonic() + timeout_s
        try:
            content = _encode(value)
        except TypeError as exc:  # such as an integer beyond 64 bits
            raise UnavailableError(repr(exc), step="encode", peer=self.peer) from exc
        conn = await self._connect(timeout_s)
        try:
            limit_s = give_up_at - time.monotonic()
            if stall_s is not None:
                limit_s += MAX_TRANSFER_S
            async with curio.timeout_after(max(0.001, limit_s)):
                await self._send(conn, method, path, content, headers)
                result = await self._read_response(conn, give_up_at, stall_s)
        except curio.TaskTimeout as exc:
            await conn.sock.close()
            raise UnknownOutcomeError("time-out", step="http", peer=self.peer) from exc
        except ConnectionError as exc:
            await conn.sock.close()
            raise ConnectionClosedError(repr(exc), step="http", peer=self.peer) from exc
        except (OSError, h11.ProtocolError, ProtocolError, ValueError) as exc:
            # An undecodable body leaves the outcome unknown as well.
            await conn.sock.close()
            raise UnknownOutcomeError(repr(exc), step="http", peer=self.peer) from exc
        except BaseException:
            await conn.sock.close()
            raise
        await self._return_to_pool(conn)
        return result

    async def close(self) -> None:
        """Close the idle connections of the pool."""
        while self._idle:
            await self._idle.pop().sock.close()

    async def _connect(self, timeout_s: float) -> _PooledConnection:
        while self._idle:
            conn = self._idle.pop()
            fresh = time.monotonic() - conn.last_used_at < CONN_MAX_IDLE_S
            if fresh and not _has_input(conn.sock):
                return conn
            await conn.sock.close()
        try:
            async with curio.timeout_after(min(timeout_s, self.connect_timeout_s)):
                sock = await curio.open_connection(
                    self.host,
                    check_port(self.port),
                    source_addr=source_address(self.source_host),
                )
        except (OSError, *BAD_ADDRESS_ERRORS, curio.TaskTimeout) as exc:
            raise UnavailableError(repr(exc), step="connect", peer=self.peer) from exc
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _PooledConnection(sock, h11.Connection(h11.CLIENT), time.monotonic())

    async def _return_to_pool(self, conn: _PooledConnection) -> None:
        states = {conn.h11_conn.our_state, conn.h11_conn.their_state}
        if states != {h11.DONE} or len(self._idle) >= self.max_idle:
            await conn.sock.close()
            return
        conn.h11_conn.start_next_cycle()
        conn.last_used_at = time.monotonic()
        self._idle.append(conn)

    async def _send(
        self,
        conn: _PooledConnection,
        method: str,
        path: str,
        content: tuple[bytes, str],
        headers: Sequence[tuple[str, str]],
    ) -> None:
        body, content_type = content
        all_headers = [
            ("host", self.peer),
            ("content-length", str(len(body))),
            *([("content-type", content_type)] if content_type else []),
            *headers,
        ]
        head = h11.Request(method=method, target=path, headers=all_headers)
        data = conn.h11_conn.send(head) or b""
        if body:
            data += conn.h11_conn.send(h11.Data(data=body)) or b""
        data += conn.h11_conn.send(h11.EndOfMessage()) or b""
        await conn.sock.sendall(data)
        _CLIENT_TRAFFIC.n_sent_bytes += len(data)

    async def _read_response(
        self, conn: _PooledConnection, begin_by: float, stall_s: float | None
    ) -> tuple[int, Any]:
        limit_s: float | None = None
        if stall_s is not None:
            limit_s = max(0.001, begin_by - time.monotonic())
        status = 0
        content_type = b""
        body = bytearray()
        while True:
            event = conn.h11_conn.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive(conn, limit_s)
                limit_s = stall_s
                _CLIENT_TRAFFIC.n_received_bytes += len(data)
                if not data and not status:
                    raise ConnectionResetError("closed before the response")
                conn.h11_conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                content_types = [v for k, v in event.headers if k == b"content-type"]
                content_type = content_types[0] if content_types else b""
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise _TooLargeError(f"response of over {len(body)} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return status, _decode(content_type, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the response was complete")

    async def _receive(self, conn: _PooledConnection, limit_s: float | None) -> bytes:
        """Return the next part of a response.

        Raises
        ------
        UnknownOutcomeError
            If none arrives within the limit.
        """
        if limit_s is None:
            return await conn.sock.recv(READ_SIZE)
        try:
            async with curio.timeout_after(limit_s):
                return await conn.sock.recv(READ_SIZE)
        except curio.TaskTimeout as exc:
            raise UnknownOutcomeError("time-out", step="http", peer=self.peer) from exc


def _encode(value: Any) -> tuple[bytes, str]:
    if value is None:
        return b"", ""
    if isinstance(value, bytes):
        return value, RAW_TYPE.decode()
    return orjson.dumps(value), JSON_TYPE.decode()


def _decode(content_type: bytes, body: bytes) -> Any:
    if content_type == JSON_TYPE:
        return load_json(body, step="http") if body else None
    return body if content_type == RAW_TYPE else body.decode()


def source_address(host: str) -> tuple[str, int] | None:
    """Return the local address of an outgoing connection, None for any."""
    return (host, 0) if host else None


def make_http_client(
    address: str,
    max_idle: int = 8,
    connect_timeout_s: float = math.inf,
    *,
    source_host: str = "",
) -> HttpClient:
    """Return a client for ``"host:port"``."""
    host, _, port = address.rpartition(":")
    return HttpClient(host, int(port), max_idle, connect_timeout_s, source_host)


def _has_input(sock: Any) -> bool:
    """Return whether an idle connection has input, so was closed by the server."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
