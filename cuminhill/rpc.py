"""RPC between entry VMs: a server and a client that exchange thrift messages."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
from curio import socket

from .errors import ProtocolError, UnavailableError, UnknownOutcomeError
from .frames import (
    CALL_TYPES,
    MAX_CALLS_WHEN_BUSY,
    REPLY_TYPES,
    FrameStream,
    RpcCounters,
    RpcLimits,
    decode,
    encode,
    idl,
)
from .util.addresses import BAD_ADDRESS_ERRORS, check_port
from .util.http_client import source_address
from .util.listener import Connection, Listener
from .util.receiving import HandlingShare, Holding, ReceiveBudget

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CONNECT_TIMEOUT_S = 0.5
# Calls of one connection that are started before others have their turn.
CALLS_PER_TURN = 16
# Smaller calls, such as pings, are not refused while others fill the memory for calls.
SMALL_CALL_BYTES = 1024
# Closes a connection whose peer is gone or partitioned away, so that calls after the
# partition use a new one instead of waiting for the kernel's retransmission backoff.
TCP_USER_TIMEOUT_MS = 5000


class _RefusedError(ProtocolError):
    """The call was rejected before it reached a handler; it took no effect."""


@dataclass(eq=False, slots=True)
class _ServedConnection:
    """Server side of one connection and its calls in progress.

    ``writers`` maps the task of each reply being written to the time at which the
    write began.
    """

    conn: Connection
    stream: FrameStream
    holding: Holding
    call_finished: Any = field(default_factory=curio.Event)
    n_calls: int = 0
    last_used_at: float = field(default_factory=time.monotonic)
    writers: dict[Any, float] = field(default_factory=dict)


@dataclass(eq=False)
class RpcServer:
    """Serves calls of other entry VMs.

    Parameters
    ----------
    handlers : dict
        Maps a method name to a coroutine function that takes the call struct and
        returns the reply struct.
    limits : RpcLimits
        Bounds of the server.
    budget : ReceiveBudget
        Memory for unfinished frames, shared with other servers of the process.
    """

    handlers: dict[str, Callable[[Any], Awaitable[Any]]]
    limits: RpcLimits = field(default_factory=RpcLimits)
    budget: ReceiveBudget = field(default_factory=ReceiveBudget)
    counters: RpcCounters = field(default_factory=RpcCounters)
    listener: Listener = field(init=False)
    n_calls: int = 0  # in progress
    _share: HandlingShare = field(init=False)
    _served: set[_ServedConnection] = field(default_factory=set)
    _sweeper: Any = None

    def __post_init__(self) -> None:
        self.listener = Listener(
            self._serve, self.limits.max_connections, self.counters.connections
        )
        self.budget.listeners["peers"] = self.listener
        self._share = self.budget.share("peers")

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
        self._sweeper = await curio.spawn(self._sweep, daemon=True)

    async def close(self) -> None:
        """Stop accepting and close every connection."""
        await self.listener.stop_accepting()
        if self._sweeper is not None:
            await self._sweeper.cancel()
        await self.listener.close_all()

    async def _serve(self, conn: Connection) -> None:
        holding = Holding(conn)
        stream = FrameStream(
            conn.sock,
            conn.peer,
            self.counters,
            self.limits,
            budget=self.budget,
            holding=holding,
        )
        served = _ServedConnection(conn, stream, holding)
        self._served.add(served)
        n_started = 0
        try:
            while (envelope := await stream.read()) is not None and not stream.broken:
                if conn not in self.listener.conns:
                    break  # being closed in favor of a new connection
                await self._start_call(served, envelope)
                n_started += 1
                if n_started % CALLS_PER_TURN == 0:
                    await self.budget.take_turn()
        except ProtocolError:
            self.counters.n_bad_frames += 1
        except OSError:
            pass  # the peer disconnected; its client reports the lost reply
        finally:
            self._served.discard(served)
            self.budget.release(holding)
            await stream.close()

    async def _start_call(self, served: _ServedConnection, envelope: Any) -> None:
        """Start a call once fewer than ``max_calls`` are in progress."""
        if envelope.is_reply:
            raise ProtocolError("unexpected reply", step="read", peer=served.conn.peer)
        while served.n_calls >= self._max_calls():
            if not await self.budget.hold(served.holding, len(envelope.body)):
                raise ProtocolError("call given up", step="wait", peer=served.conn.peer)
            served.call_finished.clear()
            await served.call_finished.wait()
        if served.holding.revoked:
            raise ProtocolError("call given up", step="wait", peer=served.conn.peer)
        self.budget.release(served.holding)
        served.n_calls += 1
        self.n_calls += 1
        self.listener.mark_busy(served.conn)
        await curio.spawn(self._run_call, served, envelope, daemon=True)

    def _max_calls(self) -> int:
        if self.n_calls < self.limits.max_total_calls:
            return self.limits.max_calls
        return min(MAX_CALLS_WHEN_BUSY, self.limits.max_calls)

    async def _run_call(self, served: _ServedConnection, envelope: Any) -> None:
        try:
            await self._handle_call(served, envelope)
        finally:
            served.n_calls -= 1
            self.n_calls -= 1
            served.last_used_at = time.monotonic()
            if not served.n_calls:
                self.listener.mark_idle(served.conn)
            await served.call_finished.set()

    async def _sweep(self) -> None:
        """Close idle connections and those whose peers do not read their replies.

        One task checks all connections, because a timeout around each read and
        write would cost a third of a call.
        """
        interval_s = min(self.limits.idle_timeout_s, self.limits.write_timeout_s) / 4
        while True:
            await curio.sleep(interval_s)
            now = time.monotonic()
            for served in list(self._served):
                if self._has_timed_out(served, now):
                    for task in list(served.writers):
                        await task.cancel(blocking=False)
                    self._served.discard(served)
                    await served.conn.task.cancel(blocking=False)

    def _has_timed_out(self, served: _ServedConnection, now: float) -> bool:
        """Return whether a connection has timed out, and count the timeout."""
        oldest = min(served.writers.values(), default=now)
        if now - oldest > self.limits.write_timeout_s:
            self.counters.n_write_timeouts += 1
            return True
        if served.n_calls or now - served.last_used_at <= self.limits.idle_timeout_s:
            return False
        self.counters.n_idle_closed += 1
        return True

    async def _handle_call(self, served: _ServedConnection, envelope: Any) -> None:
        self.counters.n_calls += 1
        reply = idl.Envelope(envelope.call_id, True, envelope.method, b"", "", False)
        n_admitted = 0
        try:
            n_admitted = self._admit(envelope, served.conn.peer)
            handler, call = self._decode_call(envelope, served.conn.peer)
            reply.body = encode(await handler(call))
        except _RefusedError as exc:
            reply.error, reply.refused = str(exc), True
        except (Exception, curio.TaskTimeout) as exc:
            self.counters.n_failed_calls += 1
            reply.error = repr(exc)
        finally:
            self._share.release(n_admitted)
        envelope.body = b""  # not needed while the reply is written
        task = await curio.current_task()
        served.writers[task] = time.monotonic()
        try:
            await _write_reply(served.stream, reply)
        except OSError:
            self.counters.n_failed_calls += 1
        finally:
            del served.writers[task]

    def _admit(self, envelope: Any, peer: str) -> int:
        """Return the bytes that a call counts for until it is handled.

        Raises
        ------
        _RefusedError
            If too many calls are being handled.
        """
        n_bytes = len(envelope.body)
        if n_bytes <= SMALL_CALL_BYTES:
            return 0
        n_admitted = self._share.admit(n_bytes)
        if not n_admitted:
            self.budget.counts["busy_peers"] += 1
            raise _RefusedError("too many calls", step="admit", peer=peer)
        return n_admitted

    def _decode_call(self, envelope: Any, peer: str) -> tuple[Any, Any]:
        """Return the handler of a call and its decoded struct.

        Raises
        ------
        _RefusedError
            If the method is unknown or the call cannot be decoded.
        """
        handler = self.handlers.get(envelope.method)
        if handler is None or envelope.method not in CALL_TYPES:
            self.counters.n_unknown_methods += 1
            raise _RefusedError(
                f"unknown method {envelope.method!r}", step="decode", peer=peer
            )
        try:
            return handler, decode(CALL_TYPES[envelope.method], envelope.body, peer)
        except ProtocolError as exc:
            self.counters.n_bad_frames += 1
            raise _RefusedError(exc.message, step="decode", peer=peer) from exc


async def _write_reply(stream: FrameStream, reply: Any) -> None:
    try:
        await stream.write(reply)
    except ProtocolError as exc:  # too large; send the error instead
        reply.body, reply.error = b"", str(exc)
        await stream.write(reply)


@dataclass(eq=False)
class _PendingCall:
    """Call whose reply has not arrived."""

    method: str
    event: Any
    stream: FrameStream
    reply: Any = None


async def _await_large_reply(
    pending: _PendingCall, begin_by: float, stall_s: float
) -> None:
    """Wait for a reply for as long as a frame goes on arriving.

    Raises
    ------
    TimeoutError
        If none arrives, or its transfer stalls.
    """
    limit_s = max(0.001, begin_by - time.monotonic())
    n_buffered = 0
    while True:
        async with curio.ignore_after(limit_s):
            await pending.event.wait()
            return
        if pending.stream.n_buffered in {0, n_buffered}:
            raise TimeoutError(f"no data for {limit_s:.3g} s")
        n_buffered, limit_s = pending.stream.n_buffered, stall_s


@dataclass(eq=False)
class RpcClient:
    """Calls one other entry VM; concurrent calls share one connection.

    Parameters
    ----------
    address : str
        ``"host:port"`` of the peer's RPC server.
    source_host : str, default=""
        Local IP address of the connections; empty lets the system choose.
    """

    address: str
    source_host: str = ""
    counters: RpcCounters = field(default_factory=RpcCounters)
    limits: RpcLimits = field(default_factory=RpcLimits)
    _stream: FrameStream | None = None
    _sock: Any = None
    _reader: Any = None
    _pending: dict[int, _PendingCall] = field(default_factory=dict)
    _next_id: int = 1
    _last_used_at: float = 0.0
    _connect_lock: Any = field(default_factory=curio.Lock)

    async def call(
        self,
        method: str,
        message: Any,
        *,
        timeout_s: float,
        stall_s: float | None = None,
    ) -> Any:
        """Call a method and return its reply struct.

        Parameters
        ----------
        method : str
            Name of the method.
        message : object
            Call struct of that method.
        timeout_s : float, seconds
            Limit for the whole call, including connecting. With ``stall_s``, limit
            until a reply begins.
        stall_s : float or None, seconds
            Limit between two parts of a reply that may be large: one that goes on
            arriving over a slow link has the time of a frame (`RpcLimits`).

        Raises
        ------
        UnavailableError
            If the call was certainly not sent.
        UnknownOutcomeError
            If the call was sent but no reply arrived, the handler failed, or the
            reply cannot be decoded.
        ProtocolError
            If the peer refused the call before handling it, or the call is too
            large to send; it took no effect.
        """
        give_up_at = time.monotonic() + timeout_s
        stream = await self._get_stream(min(timeout_s, CONNECT_TIMEOUT_S))
        self._last_used_at = time.monotonic()
        call_id = self._next_id
        self._next_id += 1
        pending = self._pending[call_id] = _PendingCall(method, curio.Event(), stream)
        envelope = idl.Envelope(call_id, False, method, encode(message), "", False)
        self.counters.n_calls += 1
        try:
            async with curio.timeout_after(max(0.001, give_up_at - time.monotonic())):
                await stream.write(envelope)
                if stall_s is None:
                    await pending.event.wait()
            if stall_s is not None:
                async with curio.timeout_after(self.limits.frame_timeout_s + timeout_s):
                    await _await_large_reply(pending, give_up_at, stall_s)
        except (OSError, curio.TaskTimeout) as exc:
            self.counters.n_failed_calls += 1
            raise UnknownOutcomeError(
                repr(exc), step=method, peer=self.address
            ) from exc
        finally:
            self._pending.pop(call_id, None)
            self._last_used_at = time.monotonic()
            if stream.broken:
                await self._discard(stream)
        reply = pending.reply
        if reply is None:
            raise UnknownOutcomeError("connection lost", step=method, peer=self.address)
        if reply.refused:
            raise ProtocolError(reply.error, step=method, peer=self.address)
        if reply.error:
            raise UnknownOutcomeError(reply.error, step=method, peer=self.address)
        try:
            return decode(REPLY_TYPES[method], reply.body, self.address)
        except ProtocolError as exc:
            self.counters.n_bad_frames += 1
            raise UnknownOutcomeError(
                exc.message, step=method, peer=self.address
            ) from exc

    def has_calls_except(self, method: str) -> bool:
        """Return whether calls of other methods wait for their replies."""
        return any(item.method != method for item in self._pending.values())

    async def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._reader is not None:
            await self._reader.cancel()

    async def _discard(self, stream: FrameStream) -> None:
        """Close a connection unless it has been replaced already."""
        if self._stream is stream:
            self._stream = None
            await self._reader.cancel(blocking=False)

    def _is_stale(self, stream: FrameStream) -> bool:
        """Return whether a connection is close to the server's idle timeout.

        Connections are replaced after half of that timeout, so that no call is sent
        on a connection that the server is closing.
        """
        idle_s = time.monotonic() - self._last_used_at
        if idle_s <= self.limits.idle_timeout_s / 2:
            return False
        return not any(item.stream is stream for item in self._pending.values())

    async def _get_stream(self, timeout_s: float) -> FrameStream:
        """Return the open connection, or open one within ``timeout_s``."""
        try:
            async with curio.timeout_after(timeout_s), self._connect_lock:
                if self._stream is not None and self._is_stale(self._stream):
                    self.counters.n_idle_closed += 1
                    await self._discard(self._stream)
                if self._stream is None:
                    await self._connect()
        except (OSError, *BAD_ADDRESS_ERRORS, curio.TaskTimeout) as exc:
            raise UnavailableError(
                repr(exc), step="connect", peer=self.address
            ) from exc
        if self._stream is None:
            raise UnavailableError("closed", step="connect", peer=self.address)
        return self._stream

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._sock = await curio.open_connection(
            host, check_port(int(port)), source_addr=source_address(self.source_host)
        )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._stream = FrameStream(self._sock, self.address, self.counters, self.limits)
        self._reader = await curio.spawn(self._read_replies, self._stream, daemon=True)

    async def _read_replies(self, stream: FrameStream) -> None:
        try:
            while (envelope := await stream.read()) is not None:
                pending = self._pending.get(envelope.call_id)
                if pending is not None and pending.stream is stream:
                    pending.reply = envelope
                    await pending.event.set()
        except ProtocolError:
            self.counters.n_bad_frames += 1
        except OSError:
            self.counters.n_lost_connections += 1
        finally:
            if self._stream is stream:
                self._stream = None
            for pending in list(self._pending.values()):
                if pending.stream is stream:
                    await pending.event.set()
            await stream.close()


__all__ = [
    "RpcClient",
    "RpcCounters",
    "RpcLimits",
    "RpcServer",
    "decode",
    "encode",
    "idl",
]
