"""HTTP/1.1 server and client on curio, with h11 on both sides."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import curio
import h11
import orjson
from curio import socket

from ..errors import ProtocolError, UnavailableError, UnknownOutcomeError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_SIZE = 65536  # bytes
MAX_HEADER_BYTES = 16384
LISTEN_BACKLOG = 1024
CONN_MAX_IDLE_S = (
    10.0  # below the servers' idle time-out, so reuse rarely races a close
)


@dataclass(slots=True)
class HttpRequest:
    """One request as a handler sees it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str

    def json(self) -> Any:
        """Return the decoded body.

        Raises
        ------
        ProtocolError
            If the body is not valid JSON.
        """
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as exc:
            raise ProtocolError(
                f"body is not valid JSON: {exc}", step="decode", peer=self.peer
            ) from exc


@dataclass(slots=True)
class HttpResponse:
    """Status, JSON value or raw bytes, and content type."""

    status: int = 200
    value: Any = None
    raw: bytes | None = None
    content_type: str = "application/json"

    def body(self) -> bytes:
        """Return the encoded body."""
        return orjson.dumps(self.value) if self.raw is None else self.raw


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds of a server.

    Parameters
    ----------
    max_connections : int
        Connections beyond this are closed at once.
    max_body_bytes : int
        Larger bodies get status 413.
    idle_timeout_s : float, seconds
        How long a connection may stay without a request.
    read_timeout_s : float, seconds
        How long a request may take to arrive once its first byte is there.
    write_timeout_s : float, seconds
        How long a response may take to leave.
    """

    max_connections: int = 4096
    max_body_bytes: int = 1 << 20
    idle_timeout_s: float = 30.0
    read_timeout_s: float = 5.0
    write_timeout_s: float = 10.0


@dataclass(slots=True)
class HttpCounters:
    """What a server has seen, by kind."""

    n_requests: int = 0
    n_refused_connections: int = 0
    n_bad_requests: int = 0
    n_too_large: int = 0
    n_read_timeouts: int = 0
    n_idle_closed: int = 0
    n_handler_errors: int = 0


@dataclass(slots=True)
class HttpTraffic:
    """Bytes of all HTTP clients of this process, without TCP and IP headers."""

    n_sent_bytes: int = 0
    n_received_bytes: int = 0


_CLIENT_TRAFFIC = HttpTraffic()


def byte_counts() -> tuple[int, int]:
    """Return the bytes sent and received by all HTTP clients of this process."""
    return _CLIENT_TRAFFIC.n_sent_bytes, _CLIENT_TRAFFIC.n_received_bytes


class _TooLargeError(Exception):
    """The body exceeds the limit."""


@dataclass(eq=False, slots=True)
class _Connection:
    """Server side of one connection."""

    sock: Any
    peer: str
    h11_conn: h11.Connection
    task: Any = None
    busy: bool = False


@dataclass(eq=False)
class HttpServer:
    """HTTP server whose handler maps a request to a response.

    Parameters
    ----------
    handler : callable
        Coroutine function from `HttpRequest` to `HttpResponse`; None closes the
        connection without a response.
    limits : HttpLimits
        Bounds of the server.
    """

    handler: Callable[[HttpRequest], Awaitable[HttpResponse | None]]
    limits: HttpLimits = field(default_factory=HttpLimits)
    counters: HttpCounters = field(default_factory=HttpCounters)
    host: str = ""
    port: int = 0
    _sock: Any = None
    _accept_task: Any = None
    _conns: set[_Connection] = field(default_factory=set)
    _closing: bool = False

    @property
    def n_connections(self) -> int:
        """Number of open connections."""
        return len(self._conns)

    @property
    def n_busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(conn.busy for conn in self._conns)

    async def start(self, host: str, port: int) -> None:
        """Bind, listen and accept in the background; port 0 takes a free one."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, port))
        self._sock.listen(LISTEN_BACKLOG)
        self.host, self.port = self._sock.getsockname()
        self._accept_task = await curio.spawn(self._accept, daemon=True)

    async def close(self, grace_s: float = 10.0) -> None:
        """Stop accepting, let requests in progress finish, then close.

        Parameters
        ----------
        grace_s : float, seconds
            Requests still in progress after this time are cut off.
        """
        self._closing = True
        if self._accept_task is not None:
            await self._accept_task.cancel()
            await self._sock.close()
        give_up_at = time.monotonic() + grace_s
        while self.n_busy and time.monotonic() < give_up_at:
            await curio.sleep(0.01)
        for conn in list(self._conns):
            await conn.task.cancel()

    async def _accept(self) -> None:
        while True:
            sock, address = await self._sock.accept()
            if len(self._conns) >= self.limits.max_connections:
                self.counters.n_refused_connections += 1
                await sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn = _Connection(
                sock,
                f"{address[0]}:{address[1]}",
                h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES),
            )
            self._conns.add(conn)
            conn.task = await curio.spawn(self._serve, conn, daemon=True)

    async def _serve(self, conn: _Connection) -> None:
        try:
            while await self._serve_one(conn):
                conn.h11_conn.start_next_cycle()
        except (OSError, h11.LocalProtocolError):
            pass  # the caller has gone; nobody is left to tell
        finally:
            self._conns.discard(conn)
            await conn.sock.close()

    async def _serve_one(self, conn: _Connection) -> bool:
        """Serve one request; return whether the connection can serve another."""
        try:
            req = await self._read_request(conn)
        except curio.TaskTimeout:
            self.counters.n_read_timeouts += 1
            await self._refuse(conn, 408, "request did not arrive in time")
            return False
        except _TooLargeError:
            self.counters.n_too_large += 1
            limit = self.limits.max_body_bytes
            await self._refuse(conn, 413, f"body exceeds {limit} bytes")
            return False
        except h11.RemoteProtocolError as exc:
            self.counters.n_bad_requests += 1
            await self._refuse(conn, exc.error_status_hint, str(exc))
            return False
        if req is None:
            return False
        self.counters.n_requests += 1
        conn.busy = True
        try:
            response = await self._handle(req)
            if response is None:
                return False
            await self._send(conn, response)
        finally:
            conn.busy = False
        return (
            not self._closing
            and conn.h11_conn.our_state is h11.DONE
            and conn.h11_conn.their_state is h11.DONE
        )

    async def _handle(self, req: HttpRequest) -> HttpResponse | None:
        try:
            return await self.handler(req)
        except ProtocolError as exc:
            self.counters.n_bad_requests += 1
            return HttpResponse(400, {"error": exc.message, "step": exc.step})
        except Exception as exc:
            self.counters.n_handler_errors += 1
            return HttpResponse(500, {"error": repr(exc), "step": "handle"})

    async def _refuse(self, conn: _Connection, status: int, message: str) -> None:
        if conn.h11_conn.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        await self._send(conn, HttpResponse(status, {"error": message, "step": "read"}))

    async def _read_request(self, conn: _Connection) -> HttpRequest | None:
        """Return the next request, or None when the connection ends in between."""
        if conn.h11_conn.trailing_data[0] == b"":
            try:
                async with curio.timeout_after(self.limits.idle_timeout_s):
                    data = await conn.sock.recv(READ_SIZE)
            except curio.TaskTimeout:
                self.counters.n_idle_closed += 1
                return None
            conn.h11_conn.receive_data(data)
        async with curio.timeout_after(self.limits.read_timeout_s):
            return await self._read_events(conn)

    async def _read_events(self, conn: _Connection) -> HttpRequest | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = conn.h11_conn.next_event()
            if event is h11.NEED_DATA:
                if conn.h11_conn.they_are_waiting_for_100_continue:
                    await conn.sock.sendall(
                        conn.h11_conn.send(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                    )
                conn.h11_conn.receive_data(await conn.sock.recv(READ_SIZE))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.max_body_bytes:
                    raise _TooLargeError
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, body, conn.peer)
            else:
                return None

    async def _send(self, conn: _Connection, response: HttpResponse) -> None:
        body = response.body()
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(body))),
        ]
        if self._closing:
            headers.append(("connection", "close"))
        h11_conn = conn.h11_conn
        head = h11.Response(status_code=response.status, headers=headers)
        data = h11_conn.send(head) or b""
        data += h11_conn.send(h11.Data(data=body)) or b""
        data += h11_conn.send(h11.EndOfMessage()) or b""
        async with curio.timeout_after(self.limits.write_timeout_s):
            await conn.sock.sendall(data)


def _make_request(head: h11.Request, body: bytes, peer: str) -> HttpRequest:
    parts = urlsplit(head.target.decode("ascii"))
    return HttpRequest(
        method=head.method.decode("ascii"),
        path=parts.path,
        query=dict(parse_qsl(parts.query)),
        headers={k.decode(): v.decode("latin-1") for k, v in head.headers},
        body=body,
        peer=peer,
    )


@dataclass(eq=False, slots=True)
class _PooledConnection:
    """Client side of one connection."""

    sock: Any
    h11_conn: h11.Connection
    used_at: float


@dataclass(eq=False)
class HttpClient:
    """HTTP client for one server, with a small pool of kept connections.

    Parameters
    ----------
    host : str
        IP address of the server.
    port : int
        TCP port of the server.
    max_idle : int, default=8
        Connections kept open between requests.
    """

    host: str
    port: int
    max_idle: int = 8
    _idle: list[_PooledConnection] = field(default_factory=list)

    @property
    def peer(self) -> str:
        """Address of the server."""
        return f"{self.host}:{self.port}"

    async def request(
        self, method: str, path: str, value: Any = None, *, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a request with a JSON body and return status and decoded body.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path with query.
        value : object, default=None
            JSON value of the body; None sends no body.
        timeout_s : float, seconds
            Bound on the whole exchange.

        Returns
        -------
        status : int
            HTTP status.
        value : object
            Decoded JSON body, or the text of a body of another type.

        Raises
        ------
        UnavailableError
            If the request was certainly not sent.
        UnknownOutcomeError
            If the connection or the time ran out after sending began.
        """
        give_up_at = time.monotonic() + timeout_s
        conn = await self._connect(timeout_s)
        try:
            async with curio.timeout_after(max(0.001, give_up_at - time.monotonic())):
                result = await self._exchange(conn, method, path, value)
        except curio.TaskTimeout as exc:
            await conn.sock.close()
            raise UnknownOutcomeError("time-out", step="http", peer=self.peer) from exc
        except (OSError, h11.ProtocolError) as exc:
            await conn.sock.close()
            raise UnknownOutcomeError(repr(exc), step="http", peer=self.peer) from exc
        except BaseException:
            await conn.sock.close()
            raise
        await self._give_back(conn)
        return result

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().sock.close()

    async def _connect(self, timeout_s: float) -> _PooledConnection:
        while self._idle:
            conn = self._idle.pop()
            if time.monotonic() - conn.used_at < CONN_MAX_IDLE_S:
                return conn
            await conn.sock.close()
        try:
            async with curio.timeout_after(timeout_s):
                sock = await curio.open_connection(self.host, self.port)
        except (OSError, curio.TaskTimeout) as exc:
            raise UnavailableError(repr(exc), step="connect", peer=self.peer) from exc
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _PooledConnection(sock, h11.Connection(h11.CLIENT), time.monotonic())

    async def _give_back(self, conn: _PooledConnection) -> None:
        states = {conn.h11_conn.our_state, conn.h11_conn.their_state}
        if states != {h11.DONE} or len(self._idle) >= self.max_idle:
            await conn.sock.close()
            return
        conn.h11_conn.start_next_cycle()
        conn.used_at = time.monotonic()
        self._idle.append(conn)

    async def _exchange(
        self, conn: _PooledConnection, method: str, path: str, value: Any
    ) -> tuple[int, Any]:
        body = b"" if value is None else orjson.dumps(value)
        headers = [("host", self.peer), ("content-length", str(len(body)))]
        head = h11.Request(method=method, target=path, headers=headers)
        data = conn.h11_conn.send(head) or b""
        if body:
            data += conn.h11_conn.send(h11.Data(data=body)) or b""
        data += conn.h11_conn.send(h11.EndOfMessage()) or b""
        await conn.sock.sendall(data)
        _CLIENT_TRAFFIC.n_sent_bytes += len(data)
        return await self._read_response(conn)

    async def _read_response(self, conn: _PooledConnection) -> tuple[int, Any]:
        status = 0
        is_json = False
        chunks: list[bytes] = []
        while True:
            event = conn.h11_conn.next_event()
            if event is h11.NEED_DATA:
                data = await conn.sock.recv(READ_SIZE)
                _CLIENT_TRAFFIC.n_received_bytes += len(data)
                conn.h11_conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                kinds = [v for k, v in event.headers if k == b"content-type"]
                is_json = b"application/json" in kinds
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                body = b"".join(chunks)
                return status, orjson.loads(body) if is_json else body.decode()
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the response was complete")


def make_http_client(address: str, max_idle: int = 8) -> HttpClient:
    """Return a client for ``"host:port"``."""
    host, _, port = address.rpartition(":")
    return HttpClient(host, int(port), max_idle)
