"""Remote calls between entry VMs: thrift messages in frames over TCP."""

from __future__ import annotations

import struct
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import curio
import thriftpy2
from curio import socket
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from .errors import ProtocolError, UnavailableError, UnknownOutcomeError
from .util.http import source_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_FRAME_BYTES = 4 << 20
MAX_CALLS_PER_CONNECTION = 4096
LISTEN_BACKLOG = 128
CONNECT_TIMEOUT_S = 0.5

idl = thriftpy2.load(
    str(Path(__file__).parent / "idl" / "peer.thrift"), module_name="peer_thrift"
)
_PROTOCOL = TCyBinaryProtocolFactory()
_LENGTH = struct.Struct("!I")

CALL_TYPES = {
    "heartbeat": idl.Heartbeat,
    "submit": idl.SubmitCall,
    "lookup": idl.LookupCall,
    "cancel": idl.CancelCall,
    "explain": idl.ExplainCall,
    "snapshot": idl.SnapshotCall,
}
REPLY_TYPES = {name: idl.Reply for name in CALL_TYPES} | {"heartbeat": idl.Heartbeat}


def encode(message: Any) -> bytes:
    """Return the binary form of a thrift struct."""
    return serialize(message, proto_factory=_PROTOCOL)


def decode(kind: Any, data: bytes, peer: str) -> Any:
    """Return the struct of a type read from its binary form.

    Raises
    ------
    ProtocolError
        If the bytes are not a struct of that type.
    """
    try:
        return deserialize(kind(), data, proto_factory=_PROTOCOL)
    except Exception as exc:  # thriftpy2 raises many types on malformed input
        raise ProtocolError(repr(exc), step="decode", peer=peer) from exc


@dataclass(slots=True)
class RpcCounters:
    """Traffic of a server or client."""

    n_calls: int = 0
    n_bad_frames: int = 0
    n_failed_calls: int = 0
    n_sent_bytes: int = 0
    n_received_bytes: int = 0


class _FrameStream:
    """Reads and writes length-prefixed frames on one socket."""

    def __init__(self, sock: Any, peer: str, counters: RpcCounters) -> None:
        self._sock = sock
        self._peer = peer
        self._counters = counters
        self._write_lock = curio.Lock()
        self._buffer = bytearray()

    async def write(self, envelope: Any) -> None:
        """Send one envelope."""
        data = encode(envelope)
        async with self._write_lock:
            await self._sock.sendall(_LENGTH.pack(len(data)) + data)
        self._counters.n_sent_bytes += len(data) + _LENGTH.size

    async def read(self) -> Any:
        """Return the next envelope, or None at the end of the stream."""
        while True:
            if len(self._buffer) >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(self._buffer)
                if length > MAX_FRAME_BYTES:
                    raise ProtocolError(
                        f"frame of {length} bytes", step="read", peer=self._peer
                    )
                end = _LENGTH.size + length
                if len(self._buffer) >= end:
                    data = bytes(self._buffer[_LENGTH.size : end])
                    del self._buffer[:end]
                    return decode(idl.Envelope, data, self._peer)
            data = await self._sock.recv(65536)
            if not data:
                return None
            self._counters.n_received_bytes += len(data)
            self._buffer += data


@dataclass(eq=False)
class RpcServer:
    """Serves calls of other entry VMs.

    Parameters
    ----------
    handlers : dict
        Method name to coroutine function from call struct to reply struct.
    """

    handlers: dict[str, Callable[[Any], Awaitable[Any]]]
    counters: RpcCounters = field(default_factory=RpcCounters)
    host: str = ""
    port: int = 0
    _sock: Any = None
    _accept_task: Any = None
    _conn_tasks: set[Any] = field(default_factory=set)

    async def start(self, host: str, port: int) -> None:
        """Bind, listen and accept in the background; port 0 takes a free one."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, port))
        self._sock.listen(LISTEN_BACKLOG)
        self.host, self.port = self._sock.getsockname()
        self._accept_task = await curio.spawn(self._accept, daemon=True)

    async def close(self) -> None:
        """Stop accepting and close every connection."""
        if self._accept_task is not None:
            await self._accept_task.cancel()
            await self._sock.close()
        for task in list(self._conn_tasks):
            await task.cancel()

    async def _accept(self) -> None:
        while True:
            sock, address = await self._sock.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer = f"{address[0]}:{address[1]}"
            self._conn_tasks.add(
                await curio.spawn(self._serve, sock, peer, daemon=True)
            )

    async def _serve(self, sock: Any, peer: str) -> None:
        stream = _FrameStream(sock, peer, self.counters)
        calls: set[Any] = set()
        try:
            while (envelope := await stream.read()) is not None:
                if len(calls) >= MAX_CALLS_PER_CONNECTION:
                    break
                task = await curio.spawn(
                    self._call, stream, envelope, peer, calls, daemon=True
                )
                calls.add(task)
        except ProtocolError:
            self.counters.n_bad_frames += 1
        except OSError:
            pass  # the peer has gone; its callers handle the lost reply
        finally:
            self._conn_tasks.discard(await curio.current_task())
            await sock.close()

    async def _call(
        self, stream: _FrameStream, envelope: Any, peer: str, calls: set[Any]
    ) -> None:
        self.counters.n_calls += 1
        reply = idl.Envelope(envelope.call_id, True, envelope.method, b"", "")
        try:
            call = decode(CALL_TYPES[envelope.method], envelope.body, peer)
            result = await self.handlers[envelope.method](call)
            reply.body = encode(result)
        except KeyError:
            reply.error = f"unknown method {envelope.method!r}"
        except ProtocolError as exc:
            self.counters.n_bad_frames += 1
            reply.error = str(exc)
        except Exception as exc:
            self.counters.n_failed_calls += 1
            reply.error = repr(exc)
        finally:
            calls.discard(await curio.current_task())
        try:
            await stream.write(reply)
        except OSError:
            self.counters.n_failed_calls += 1


@dataclass(eq=False)
class _PendingCall:
    """Call whose reply has not arrived."""

    event: Any
    reply: Any = None


@dataclass(eq=False)
class RpcClient:
    """Calls one other entry VM over one connection, many calls at a time.

    Parameters
    ----------
    address : str
        ``"host:port"`` of the peer's RPC server.
    source_host : str, default=""
        IP address that connections are bound to; empty leaves it to the system.
    """

    address: str
    source_host: str = ""
    counters: RpcCounters = field(default_factory=RpcCounters)
    _stream: _FrameStream | None = None
    _sock: Any = None
    _reader: Any = None
    _pending: dict[int, _PendingCall] = field(default_factory=dict)
    _next_id: int = 1
    _connect_lock: Any = field(default_factory=curio.Lock)

    async def call(self, method: str, message: Any, *, timeout_s: float) -> Any:
        """Call a method and return its reply struct.

        Parameters
        ----------
        method : str
            Name of the method.
        message : object
            Call struct of that method.
        timeout_s : float, seconds
            Bound on the whole call.

        Raises
        ------
        UnavailableError
            If the call was certainly not sent.
        UnknownOutcomeError
            If it was sent and no reply came.
        ProtocolError
            If the peer could not handle the call.
        """
        give_up_at = time.monotonic() + timeout_s
        stream = await self._connected(min(timeout_s, CONNECT_TIMEOUT_S))
        call_id = self._next_id
        self._next_id += 1
        pending = self._pending[call_id] = _PendingCall(curio.Event())
        envelope = idl.Envelope(call_id, False, method, encode(message), "")
        self.counters.n_calls += 1
        try:
            async with curio.timeout_after(max(0.001, give_up_at - time.monotonic())):
                await stream.write(envelope)
                await pending.event.wait()
        except (OSError, curio.TaskTimeout) as exc:
            self.counters.n_failed_calls += 1
            raise UnknownOutcomeError(
                repr(exc), step=method, peer=self.address
            ) from exc
        finally:
            self._pending.pop(call_id, None)
        reply = pending.reply
        if reply is None:
            raise UnknownOutcomeError("connection lost", step=method, peer=self.address)
        if reply.error:
            raise ProtocolError(reply.error, step=method, peer=self.address)
        return decode(REPLY_TYPES[method], reply.body, self.address)

    async def close(self) -> None:
        """Close the connection."""
        if self._reader is not None:
            await self._reader.cancel()

    async def _connected(self, timeout_s: float) -> _FrameStream:
        try:
            async with curio.timeout_after(timeout_s), self._connect_lock:
                if self._stream is None:
                    await self._connect()
        except (OSError, curio.TaskTimeout) as exc:
            raise UnavailableError(
                repr(exc), step="connect", peer=self.address
            ) from exc
        if self._stream is None:
            raise UnavailableError("closed", step="connect", peer=self.address)
        return self._stream

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._sock = await curio.open_connection(
            host, int(port), source_addr=source_address(self.source_host)
        )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream = _FrameStream(self._sock, self.address, self.counters)
        self._reader = await curio.spawn(
            self._read, self._sock, self._stream, daemon=True
        )

    async def _read(self, sock: Any, stream: _FrameStream) -> None:
        try:
            while (envelope := await stream.read()) is not None:
                pending = self._pending.get(envelope.call_id)
                if pending is not None:
                    pending.reply = envelope
                    await pending.event.set()
        except (OSError, ProtocolError):
            self.counters.n_bad_frames += 1
        finally:
            if self._stream is stream:
                self._stream = None
                for pending in list(self._pending.values()):
                    await pending.event.set()
            await sock.close()
