"""HTTP/1.1 server based on curio and h11; the client is in `http_client`."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import curio
import h11
import orjson
import structlog
from curio import socket

from ..errors import ProtocolError
from .http_client import HttpClient, byte_counts, make_http_client
from .json_input import load_json
from .listener import Connection, Listener, ListenerCounters
from .receiving import HandlingShare, Holding, ReceiveBudget

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = structlog.get_logger(__name__)

READ_SIZE = 65536  # bytes
MAX_HEADER_BYTES = 16384
# Of the first read of a request: many connections may stop after it.
FIRST_READ_SIZE = 16384
# Events of the parser within one turn; a chunk of one byte takes 7 µs.
EVENTS_PER_TURN = 32
# Beyond this number of chunks, they must have `MIN_MEAN_CHUNK_BYTES` on average while
# more than `MAX_CALM_REQUESTS` are unfinished; otherwise they may have any size.
FREE_CHUNKS = 2048
MIN_MEAN_CHUNK_BYTES = 32
MAX_CALM_REQUESTS = 8
# Of a body with its chunk headers, besides twice the body's limit: in all, and for each
# chunk.
MAX_FRAMING_BYTES = 65536
FRAMING_BYTES_PER_CHUNK = 16
RETRY_AFTER_S = 1  # of a request that is refused because others are being handled
# After an error response the rest of the request is read for this long, since closing
# a socket with unread input resets the connection and can discard the response.
LINGER_S = 1.0
MAX_LINGER_BYTES = 4 << 20


@dataclass(slots=True)
class HttpRequest:
    """A request as passed to the handler."""

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
            return load_json(self.body, step="decode", peer=self.peer)
        except ProtocolError as exc:
            raise ProtocolError(
                f"body is not valid JSON: {exc.message}",
                step=exc.step,
                peer=self.peer,
            ) from exc


@dataclass(slots=True)
class HttpResponse:
    """A response whose body is either a JSON value or raw bytes."""

    status: int = 200
    value: Any = None
    raw: bytes | None = None
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()

    def body(self) -> bytes:
        """Return the encoded body."""
        return orjson.dumps(self.value) if self.raw is None else self.raw


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a server.

    Parameters
    ----------
    max_connections : int
        At this number, the connection idle the longest is closed for a new one; if
        none is idle, the new one is closed.
    max_body_bytes : int
        Larger request bodies get status 413.
    idle_timeout_s : float, seconds
        Time limit for a connection without a request.
    read_timeout_s : float, seconds
        Time limit for receiving a request, counted from its first byte.
    write_timeout_s : float, seconds
        Time limit for sending a response.
    """

    max_connections: int = 4096
    max_body_bytes: int = 1 << 20
    idle_timeout_s: float = 30.0
    read_timeout_s: float = 5.0
    write_timeout_s: float = 10.0


@dataclass(slots=True)
class HttpCounters:
    """Counters of a server."""

    n_requests: int = 0
    n_bad_requests: int = 0
    n_too_large: int = 0
    n_read_timeouts: int = 0
    n_write_timeouts: int = 0
    n_idle_closed: int = 0
    n_handler_errors: int = 0
    connections: ListenerCounters = field(default_factory=ListenerCounters)


class _TooLargeError(Exception):
    """The request body exceeds `HttpLimits.max_body_bytes`."""


class _SmallChunksError(Exception):
    """The body consists of many very small chunks."""


class _LongHeadError(Exception):
    """The head exceeds `MAX_HEADER_BYTES`."""


class _RevokedError(Exception):
    """The request has been given up for lack of memory; it must not be handled."""


class _BadTargetError(Exception):
    """The request target cannot be parsed."""


@dataclass(frozen=True, slots=True)
class _Rejection:
    """Why a request is refused."""

    status: int
    message: str


@dataclass(eq=False, slots=True)
class _Body:
    """Body that is arriving, within its bounds.

    Parameters
    ----------
    max_bytes : int, bytes
        Limit of its length.
    n_declared : int, bytes
        Its length by the head; 0 if it is sent in chunks.
    """

    max_bytes: int
    content: bytearray
    n_declared: int = 0
    n_chunks: int = 0

    def begin(self, head: h11.Request, n_read: int) -> None:
        """Take in the head, of which at most ``n_read`` bytes have been read.

        Raises
        ------
        _LongHeadError, _TooLargeError
            If the head is too long, or announces a body that is.
        """
        if n_read > MAX_HEADER_BYTES and _head_length(head) > MAX_HEADER_BYTES:
            raise _LongHeadError
        self.n_declared = _declared_length(head)
        if self.n_declared > self.max_bytes:
            raise _TooLargeError

    def max_framed_bytes(self) -> int:
        """Return how many bytes may have been read of the request so far."""
        framing = MAX_FRAMING_BYTES + self.n_chunks * FRAMING_BYTES_PER_CHUNK
        return 2 * self.max_bytes + framing

    def add(self, event: h11.Data, *, calm: bool) -> None:
        """Add a part.

        Raises
        ------
        _TooLargeError, _SmallChunksError
            If the body is too long or its chunks are too small.
        """
        self.content += event.data
        if len(self.content) > self.max_bytes:
            raise _TooLargeError
        self.n_chunks += event.chunk_start
        least = self.n_chunks * MIN_MEAN_CHUNK_BYTES
        if not calm and self.n_chunks > FREE_CHUNKS and len(self.content) < least:
            raise _SmallChunksError

    def read_size(self) -> int:
        """Return how much to read next.

        What follows a request stays in the parser's buffer while it is handled, so no
        more than a head is read beyond its end.
        """
        n_left = self.n_declared - len(self.content)
        return max(FIRST_READ_SIZE, min(READ_SIZE, n_left))


@dataclass(eq=False, slots=True)
class _Exchange:
    """Parser state of one connection and the method of its current request."""

    conn: Connection
    h11_conn: h11.Connection
    holding: Holding
    method: str = ""


@dataclass(eq=False)
class HttpServer:
    """HTTP server that passes each request to a handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that takes an `HttpRequest` and returns an
        `HttpResponse`, or None to close the connection without a response.
    limits : HttpLimits
        Bounds of the server.
    budget : ReceiveBudget
        Memory for unfinished requests, shared with other servers of the process.
    name : str
        Name of the server in the budget's dump.
    max_body : callable or None
        Returns the limit of a body now, in bytes; at most that of ``limits`` is used.
    """

    handler: Callable[[HttpRequest], Awaitable[HttpResponse | None]]
    limits: HttpLimits = field(default_factory=HttpLimits)
    budget: ReceiveBudget = field(default_factory=ReceiveBudget)
    name: str = "http"
    max_body: Callable[[], int] | None = None
    counters: HttpCounters = field(default_factory=HttpCounters)
    n_busy: int = 0
    listener: Listener = field(init=False)
    _share: HandlingShare = field(init=False)
    _closing: bool = False

    def __post_init__(self) -> None:
        self.listener = Listener(
            self._serve, self.limits.max_connections, self.counters.connections
        )
        self.budget.listeners[self.name] = self.listener
        self._share = self.budget.share(self.name)

    @property
    def max_body_bytes(self) -> int:
        """Limit of a request's body."""
        if self.max_body is None:
            return self.limits.max_body_bytes
        return min(self.max_body(), self.limits.max_body_bytes)

    @property
    def host(self) -> str:
        """IP address at which the server listens."""
        return self.listener.host

    @property
    def port(self) -> int:
        """TCP port at which the server listens."""
        return self.listener.port

    @property
    def n_connections(self) -> int:
        """Number of open connections."""
        return len(self.listener.conns)

    async def start(self, host: str, port: int) -> None:
        """Bind, listen and accept in the background; port 0 picks a free port."""
        await self.listener.start(host, port)

    def announce_close(self) -> None:
        """Close each connection after its next response; keep accepting new ones."""
        self._closing = True

    async def close(self, grace_s: float = 10.0) -> None:
        """Stop accepting, let requests in progress finish, then close.

        Parameters
        ----------
        grace_s : float, seconds
            Requests still in progress after this time are cancelled.
        """
        self._closing = True
        await self.listener.stop_accepting()
        give_up_at = time.monotonic() + grace_s
        while self.n_busy and time.monotonic() < give_up_at:
            await curio.sleep(0.01)
        await self.listener.close_all()

    async def _serve(self, conn: Connection) -> None:
        exchange = _Exchange(
            conn,
            h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES),
            Holding(conn),
        )
        try:
            while await self._serve_request(exchange):
                exchange.h11_conn.start_next_cycle()
                if exchange.h11_conn.trailing_data[0]:
                    # Lets other tasks run between pipelined requests.
                    await self.budget.take_turn()
        except curio.TaskTimeout:
            self.counters.n_write_timeouts += 1
            self.budget.counts["slow_reader"] += 1
        except (OSError, h11.LocalProtocolError, _RevokedError):
            pass  # the caller has disconnected, or the request was given up
        finally:
            self.budget.release(exchange.holding)

    async def _serve_request(self, exchange: _Exchange) -> bool:
        """Serve one request; return whether the connection can serve another."""
        req = await self._receive_request(exchange)
        if isinstance(req, _Rejection):
            await self._send_error(exchange, req.status, req.message)
            return False
        if req is None or exchange.conn not in self.listener.conns:
            return False  # being closed in favor of a new connection
        self.counters.n_requests += 1
        self.n_busy += 1
        self.listener.mark_busy(exchange.conn)
        try:
            response = await self._admit_and_handle(req)
            del req  # not needed while a caller that reads slowly takes the response
            if response is None:
                return False
            await self._send(exchange, response, self._closing)
        finally:
            self.n_busy -= 1
            self.listener.mark_idle(exchange.conn)
        states = {exchange.h11_conn.our_state, exchange.h11_conn.their_state}
        return not self._closing and states == {h11.DONE}

    async def _receive_request(
        self, exchange: _Exchange
    ) -> HttpRequest | _Rejection | None:
        """Return the next request, why it is refused, or None to close.

        Refusals are sent after the exception is gone: its frames hold what was read.
        """
        counters, counts = self.counters, self.budget.counts
        try:
            return await self._read_request(exchange)
        except curio.TaskTimeout:
            counters.n_read_timeouts += 1
            counts["slow_request"] += 1
            return _Rejection(408, "request did not arrive in time")
        except _TooLargeError:
            counters.n_too_large += 1
            counts["large_body"] += 1
            return _Rejection(413, f"body exceeds {self.max_body_bytes} bytes")
        except _SmallChunksError:
            counters.n_bad_requests += 1
            counts["small_chunks"] += 1
            return _Rejection(
                400,
                f"over {FREE_CHUNKS} chunks of fewer than {MIN_MEAN_CHUNK_BYTES} bytes "
                "on average",
            )
        except _LongHeadError:
            counters.n_bad_requests += 1
            counts["long_head"] += 1
            return _Rejection(431, f"head exceeds {MAX_HEADER_BYTES} bytes")
        except _BadTargetError as exc:
            counters.n_bad_requests += 1
            return _Rejection(400, str(exc))
        except h11.RemoteProtocolError as exc:
            counters.n_bad_requests += 1
            # Without the line that is wrong: it may be the one with the caller's key.
            problem = str(exc).partition(": ")[0]
            return _Rejection(exc.error_status_hint, problem)

    async def _admit_and_handle(self, req: HttpRequest) -> HttpResponse | None:
        if not req.body:  # such as a look-up; there is nothing to bound
            return await self._handle(req)
        n_admitted = self._share.admit(len(req.body))
        if not n_admitted:
            self.budget.counts["busy"] += 1
            return _busy_response()
        try:
            return await self._handle(req)
        finally:
            self._share.release(n_admitted)

    async def _handle(self, req: HttpRequest) -> HttpResponse | None:
        try:
            return await self.handler(req)
        except ProtocolError as exc:
            self.counters.n_bad_requests += 1
            return HttpResponse(400, {"error": exc.message, "step": exc.step})
        except (Exception, curio.TaskTimeout) as exc:
            self.counters.n_handler_errors += 1
            logger.error("handler failed", path=req.path, peer=req.peer, exc_info=exc)
            return HttpResponse(500, {"error": repr(exc), "step": "handle"})

    async def _send_error(self, exchange: _Exchange, status: int, message: str) -> None:
        if exchange.h11_conn.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = HttpResponse(status, {"error": message, "step": "read"})
        # Nothing more is parsed: what has arrived need not be kept.
        exchange.holding.buffer = bytearray()
        await self._send(exchange, response, True)
        exchange.h11_conn = h11.Connection(h11.SERVER)
        self.budget.release(exchange.holding)
        await self._linger(exchange.conn.sock)

    async def _read_request(self, exchange: _Exchange) -> HttpRequest | None:
        """Return the next request, or None if the connection closed or idled out."""
        n_read = len(exchange.h11_conn.trailing_data[0])
        if not n_read:
            try:
                async with curio.timeout_after(self.limits.idle_timeout_s):
                    data = await exchange.conn.sock.recv(FIRST_READ_SIZE)
            except curio.TaskTimeout:
                self.counters.n_idle_closed += 1
                return None
            exchange.h11_conn.receive_data(data)
            n_read = len(data)
            del data  # would be kept while the rest of the request arrives
        async with curio.timeout_after(self.limits.read_timeout_s):
            return await self._read_events(exchange, n_read)

    async def _read_events(
        self, exchange: _Exchange, n_read: int
    ) -> HttpRequest | None:
        h11_conn, holding = exchange.h11_conn, exchange.holding
        body = _Body(self.max_body_bytes, holding.buffer)
        head: h11.Request | None = None
        n_events = 0
        while True:
            n_events += 1
            if n_events % EVENTS_PER_TURN == 0:
                await self.budget.take_turn()
                _check_holding(holding)
            event = h11_conn.next_event()
            if event is h11.NEED_DATA:
                n_read += await self._read_more(exchange, body.read_size(), n_read)
                if n_read > body.max_framed_bytes():
                    raise _TooLargeError
            elif isinstance(event, h11.Request):
                head = event
                exchange.method = head.method.decode("ascii")
                body.begin(head, n_read)
            elif isinstance(event, h11.Data):
                calm = self.budget.n_unfinished <= MAX_CALM_REQUESTS
                body.add(event, calm=calm)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self.budget.release(holding)
                holding.buffer = bytearray()
                return _make_request(head, bytes(body.content), exchange.conn.peer)
            else:
                return None

    async def _read_more(self, exchange: _Exchange, size: int, n_read: int) -> int:
        """Pass more data to the parser; return how much.

        Raises
        ------
        _RevokedError
            If the request has been given up.
        """
        h11_conn, sock = exchange.h11_conn, exchange.conn.sock
        # Most requests are complete with the first read and do not get here.
        if not await self.budget.hold(exchange.holding, n_read):
            raise _RevokedError
        if h11_conn.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await sock.sendall(h11_conn.send(interim))
        data = await sock.recv(size)
        _check_holding(exchange.holding)
        h11_conn.receive_data(data)
        return len(data)

    async def _linger(self, sock: Any) -> None:
        """Discard what the caller still sends, within limits, before the close."""
        n_read = 0
        try:
            await sock.shutdown(socket.SHUT_WR)
            async with curio.ignore_after(LINGER_S):
                while n_read < MAX_LINGER_BYTES and (
                    data := await sock.recv(READ_SIZE)
                ):
                    n_read += len(data)
                    del data
                    await self.budget.take_turn()
        except OSError:
            pass  # the caller has closed the connection too

    async def _send(
        self, exchange: _Exchange, response: HttpResponse, close: bool
    ) -> None:
        body = response.body()
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(body))),
            *response.headers,
        ]
        if close:
            headers.append(("connection", "close"))
        h11_conn = exchange.h11_conn
        head = h11.Response(status_code=response.status, headers=headers)
        data = h11_conn.send(head) or b""
        if exchange.method != "HEAD":
            data += h11_conn.send(h11.Data(data=body)) or b""
        data += h11_conn.send(h11.EndOfMessage()) or b""
        async with curio.timeout_after(self.limits.write_timeout_s):
            await exchange.conn.sock.sendall(data)


def _declared_length(head: h11.Request) -> int:
    # h11 rejects values that are not numbers.
    values = [int(value) for key, value in head.headers if key == b"content-length"]
    return values[0] if values else 0


def _head_length(head: h11.Request) -> int:
    fields = sum(len(key) + len(value) + 4 for key, value in head.headers)
    return len(head.method) + len(head.target) + fields


def _check_holding(holding: Holding) -> None:
    """Check that a request may still be received.

    Raises
    ------
    _RevokedError
        If its connection is being closed.
    """
    if holding.revoked:
        raise _RevokedError


def _busy_response() -> HttpResponse:
    message = "too many requests are being handled; this one had no effect"
    headers = (("retry-after", str(RETRY_AFTER_S)),)
    return HttpResponse(503, {"error": message, "step": "handle"}, headers=headers)


def _make_request(head: h11.Request, body: bytes, peer: str) -> HttpRequest:
    target = head.target.decode("ascii")
    try:
        parts = urlsplit(target)
    except ValueError as exc:
        raise _BadTargetError(f"target {target!r}: {exc}") from exc
    return HttpRequest(
        method=head.method.decode("ascii"),
        path=parts.path,
        query=dict(parse_qsl(parts.query)),
        headers={k.decode(): v.decode("latin-1") for k, v in head.headers},
        body=body,
        peer=peer,
    )


__all__ = [
    "HttpClient",
    "HttpCounters",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "byte_counts",
    "make_http_client",
]
