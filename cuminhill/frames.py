"""Length-prefixed frames of thrift messages, exchanged between entry VMs.

A field added to a message needs a default in ``idl/peer.thrift``: messages of older
daemons lack the field, and a missing field without a default is an error.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import curio
import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TType
from thriftpy2.utils import deserialize, serialize

from .errors import ProtocolError
from .util.listener import ListenerCounters
from .util.thriftcheck import check_struct

if TYPE_CHECKING:
    from .util.receiving import Holding, ReceiveBudget

MAX_FRAME_BYTES = 4 << 20
MAX_CALLS_PER_CONNECTION = 4096
MAX_TOTAL_CALLS = 1 << 20
MAX_CALLS_WHEN_BUSY = 16
READS_PER_TURN = 4
FIRST_READ_SIZE = 16384  # bytes

idl = thriftpy2.load(
    str(Path(__file__).parent / "idl" / "peer.thrift"), module_name="peer_thrift"
)
_PROTOCOL = TCyBinaryProtocolFactory(strict_decode=True)
_LENGTH = struct.Struct("!I")

CALL_TYPES = {
    "heartbeat": idl.Heartbeat,
    "submit": idl.SubmitCall,
    "lookup": idl.LookupCall,
    "cancel": idl.CancelCall,
    "explain": idl.ExplainCall,
    "snapshot": idl.SnapshotCall,
    "ping": idl.PingCall,
    "append": idl.AppendCall,
    "advise": idl.AdviseCall,
    "term_ended": idl.TermCall,
    "lease_ages": idl.LeaseAgesCall,
}
REPLY_TYPES = {name: idl.Reply for name in CALL_TYPES} | {"heartbeat": idl.Heartbeat}


# For each struct type, the name of each field and whether it contains structs.
_struct_fields: dict[Any, list[tuple[str, bool]]] = {}


def encode(message: Any) -> bytes:
    """Return the binary form of a thrift struct."""
    return serialize(message, proto_factory=_PROTOCOL)


def decode(struct_type: Any, data: bytes, peer: str) -> Any:
    """Decode the binary form of a thrift struct.

    Raises
    ------
    ProtocolError
        If the bytes are not a complete struct of that type.
    """
    try:
        check_struct(data)
        message = deserialize(struct_type(), data, proto_factory=_PROTOCOL)
        _check_required_fields(message)
    except Exception as exc:  # thriftpy2 raises many types on malformed input
        raise ProtocolError(repr(exc), step="decode", peer=peer) from exc
    return message


def _check_required_fields(message: Any) -> None:
    """Raise ValueError if a field without a default is missing."""
    struct_type = type(message)
    fields = _struct_fields.get(struct_type)
    if fields is None:
        fields = _struct_fields[struct_type] = [
            (spec[1], spec[0] == TType.STRUCT or _is_struct_list(spec))
            for spec in struct_type.thrift_spec.values()
        ]
    for name, nested in fields:
        value = getattr(message, name)
        if value is None:
            raise ValueError(f"{struct_type.__name__}.{name} is missing")
        if nested:
            for item in value if isinstance(value, list) else [value]:
                _check_required_fields(item)


def _is_struct_list(spec: Any) -> bool:
    return spec[0] == TType.LIST and isinstance(spec[2], tuple)


@dataclass(frozen=True, slots=True)
class RpcLimits:
    """Limits of a server or client.

    Parameters
    ----------
    max_connections : int
        At this number, the connection idle the longest is closed for a new one.
    max_frame_bytes : int
        Larger frames are not sent; receiving one closes the connection.
    max_calls : int
        Calls in progress on one connection; further calls are not read until one ends.
    max_total_calls : int
        Beyond this number of calls in progress on all connections, ``max_calls`` is
        `MAX_CALLS_WHEN_BUSY`.
    frame_timeout_s : float, seconds
        Time limit for receiving a frame, counted from its first byte.
    write_timeout_s : float, seconds
        Time limit for sending a reply.
    idle_timeout_s : float, seconds
        How long a connection may stay idle; closes those whose peer is gone.
    """

    max_connections: int = 1024
    max_frame_bytes: int = MAX_FRAME_BYTES
    max_calls: int = MAX_CALLS_PER_CONNECTION
    max_total_calls: int = MAX_TOTAL_CALLS
    frame_timeout_s: float = 5.0
    write_timeout_s: float = 5.0
    idle_timeout_s: float = 600.0


@dataclass(slots=True)
class RpcCounters:
    """Counters of a server or client."""

    n_calls: int = 0
    n_bad_frames: int = 0
    n_unknown_methods: int = 0
    n_read_timeouts: int = 0
    n_write_timeouts: int = 0
    n_idle_closed: int = 0
    n_lost_connections: int = 0
    n_failed_calls: int = 0
    n_sent_bytes: int = 0
    n_received_bytes: int = 0
    connections: ListenerCounters = field(default_factory=ListenerCounters)


class FrameStream:
    """Reads and writes length-prefixed frames on one socket."""

    def __init__(
        self,
        sock: Any,
        peer: str,
        counters: RpcCounters,
        limits: RpcLimits,
        *,
        budget: ReceiveBudget | None = None,
        holding: Holding | None = None,
    ) -> None:
        self._sock = sock
        self._peer = peer
        self._counters = counters
        self._limits = limits
        self._write_lock = curio.Lock()
        self._buffer = bytearray() if holding is None else holding.buffer
        # Both are given for a stream from a process outside of this one's control.
        self._budget = budget
        self._holding = holding
        self._n_reads = 0
        self.broken = False

    @property
    def n_buffered(self) -> int:
        """Number of bytes of the frame that is arriving."""
        return len(self._buffer)

    async def write(self, envelope: Any) -> None:
        """Send one envelope.

        Raises
        ------
        ProtocolError
            If it exceeds ``max_frame_bytes``; nothing was sent.
        """
        data = encode(envelope)
        if len(data) > self._limits.max_frame_bytes:
            raise ProtocolError(
                f"frame of {len(data)} bytes", step="write", peer=self._peer
            )
        async with self._write_lock:
            if self.broken:
                raise ConnectionResetError("an earlier frame was cut off")
            try:
                await self._sock.sendall(_LENGTH.pack(len(data)) + data)
            except BaseException:
                # The peer may have received part of the frame and would take the next
                # frame for the rest of it.
                self.broken = True
                raise
        self._counters.n_sent_bytes += len(data) + _LENGTH.size

    async def close(self) -> None:
        """Close the socket once no task is blocked in a write to it.

        A task that is left would still be registered for the descriptor, and the next
        socket with the same one could not be waited for.
        """
        self.broken = True
        with contextlib.suppress(OSError):  # the peer may have closed it
            await self._sock.shutdown(socket.SHUT_RDWR)  # wakes the task
        async with self._write_lock:
            await self._sock.close()

    async def read(self) -> Any:
        """Return the next envelope, or None at the end of the stream.

        Raises
        ------
        ProtocolError
            If the data is not a valid frame, or the frame does not arrive in time.
        """
        frame = self._pop_frame()
        if frame is None and not self._buffer:
            if not await self._receive():
                return None
            frame = self._pop_frame()
        if frame is None:
            try:
                async with curio.timeout_after(self._limits.frame_timeout_s):
                    while (frame := self._pop_frame()) is None:
                        await self._hold()
                        if not await self._receive():
                            return None
                        self._check_holding()
            except curio.TaskTimeout:
                self._counters.n_read_timeouts += 1
                raise ProtocolError(
                    "frame did not arrive in time", step="read", peer=self._peer
                ) from None
        return decode(idl.Envelope, frame, self._peer)

    async def _hold(self) -> None:
        """Count the frame that is arriving; let others run during a long one.

        Raises
        ------
        ProtocolError
            If the connection has to be closed for lack of memory.
        """
        if self._budget is None or self._holding is None:
            return
        await self._budget.hold(self._holding, len(self._buffer))
        self._n_reads += 1
        if self._n_reads % READS_PER_TURN == 0:
            await self._budget.take_turn()
        self._check_holding()

    def _check_holding(self) -> None:
        if self._holding is not None and self._holding.revoked:
            raise ProtocolError("frame given up", step="read", peer=self._peer)

    async def _receive(self) -> bool:
        # Of a peer that may not be one, little is kept beyond the frame that is read.
        size = 65536 if self._buffer or self._holding is None else FIRST_READ_SIZE
        data = await self._sock.recv(size)
        self._counters.n_received_bytes += len(data)
        self._buffer += data
        return bool(data)

    def _pop_frame(self) -> bytes | None:
        """Remove and return the next frame if the buffer has all of it, else None."""
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > self._limits.max_frame_bytes:
            raise ProtocolError(
                f"frame of {length} bytes", step="read", peer=self._peer
            )
        end = _LENGTH.size + length
        if len(self._buffer) < end:
            return None
        with memoryview(self._buffer) as view:
            frame = bytes(view[_LENGTH.size : end])
        del self._buffer[:end]
        if self._budget is not None and self._holding is not None:
            self._budget.release(self._holding)
        return frame
