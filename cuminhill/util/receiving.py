"""Bound on the memory of requests that a process has received and not yet handled."""

from __future__ import annotations

import ctypes
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio

if TYPE_CHECKING:
    from .listener import Connection, Listener

UNBOUNDED = 1 << 62  # bytes
# Bytes of memory for a byte of an unfinished request: its buffer has spare capacity,
# and the complete request is copied once.
RECEIVING_COST = 2
# Bytes of memory for a byte of a request in handling: the request, what is decoded from
# it, the record and the append.
HANDLING_COST = 3
# Each request in handling has a task and a decoded form besides its bytes.
HANDLING_BASE_BYTES = 2048
# Fraction of the limit that remains in use after connections have been closed for lack
# of it, so that not every further read closes one.
KEPT_FRACTION = 0.875
TRIM_INTERVAL_S = 1.0
MIN_CLOSED_FOR_TRIM = 50  # connections within an interval

# Option of mallopt, and its default value in bytes. Unless it is set, the C library
# raises it to the size of the largest freed block, and large buffers then come from
# the heap: 200 bodies of 256 KB within a limit of 8 MB took 54 MB, now 6 MB.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 128 << 10


def limit_fragmentation() -> None:
    """Make the C library map large buffers one by one, so that freed ones go back."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


@dataclass(eq=False, slots=True)
class Holding:
    """What one connection has received and not yet handled.

    Parameters
    ----------
    conn : Connection
        Connection that is closed if the limit is exceeded.
    n_bytes : int, bytes
        Memory that its request takes.
    since : float, seconds
        When the request began.
    buffer : bytearray
        What has arrived; it is emptied when the request is given up, since the task of
        the connection may run only after others that receive more.
    revoked : bool
        The connection is being closed: what it has received must not be handled.
    """

    conn: Connection
    n_bytes: int = 0
    since: float = 0.0
    buffer: bytearray = field(default_factory=bytearray)
    revoked: bool = False


@dataclass(eq=False)
class HandlingShare:
    """Bound on the requests of one listener that are being handled.

    Parameters
    ----------
    limit_bytes : int, bytes
        Requests beyond it are refused; a single one is always admitted.
    """

    limit_bytes: int = UNBOUNDED
    used_bytes: int = 0

    def admit(self, n_received: int) -> int:
        """Admit a request; return the bytes to pass to `release`, 0 if refused."""
        n_bytes = HANDLING_BASE_BYTES + HANDLING_COST * n_received
        if self.used_bytes and self.used_bytes + n_bytes > self.limit_bytes:
            return 0
        self.used_bytes += n_bytes
        return n_bytes

    def release(self, n_bytes: int) -> None:
        """Give back what `admit` returned."""
        self.used_bytes -= n_bytes


@dataclass(eq=False)
class ReceiveBudget:
    """Memory for requests that are arriving, shared by the listeners of a process.

    At the limit, the connections with the highest product of bytes and age are closed:
    a request that stops short of its end or trickles gets there, and a small one that
    has just begun does not.

    Parameters
    ----------
    limit_bytes : int, bytes
        Memory of all unfinished requests together.
    counts : Counter
        Refused requests and closed connections by reason.
    listeners : dict of str to Listener
        Listeners of the process by name.
    shares : dict of str to HandlingShare
        Bounds on requests in handling, by listener.
    turns : curio.Lock
        Held for one turn of the kernel by a connection whose request needs many steps,
        so that one such connection works in each turn and others are served meanwhile.
    """

    limit_bytes: int = UNBOUNDED
    used_bytes: int = 0
    peak_bytes: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    listeners: dict[str, Listener] = field(default_factory=dict)
    shares: dict[str, HandlingShare] = field(default_factory=dict)
    turns: Any = field(default_factory=curio.Lock)
    _holdings: set[Holding] = field(default_factory=set)
    _peak_since_trim: int = 0

    def share(self, name: str) -> HandlingShare:
        """Return the bound of a listener on its requests in handling."""
        return self.shares.setdefault(name, HandlingShare())

    async def hold(self, holding: Holding, n_received: int) -> bool:
        """Set how many bytes a connection has received of an unfinished request.

        Returns
        -------
        keeps : bool
            False if the connection has to be closed now; nothing of the request may be
            handled then.
        """
        if holding.revoked:
            return False
        n_bytes = RECEIVING_COST * n_received
        if holding not in self._holdings:
            holding.since = time.monotonic()
            self._holdings.add(holding)
        self.used_bytes += n_bytes - holding.n_bytes
        holding.n_bytes = n_bytes
        if self.used_bytes > self.limit_bytes:
            await self._close_heaviest(holding)
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        self._peak_since_trim = max(self._peak_since_trim, self.used_bytes)
        return not holding.revoked

    def release(self, holding: Holding) -> None:
        """Count a connection's request no longer: it is complete or given up."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.used_bytes -= holding.n_bytes
            holding.n_bytes = 0

    @property
    def n_unfinished(self) -> int:
        """Number of requests that are arriving."""
        return len(self._holdings)

    async def take_turn(self) -> None:
        """Let other tasks run before a connection continues with a long request."""
        async with self.turns:
            await curio.sleep(0)

    async def _close_heaviest(self, asking: Holding) -> None:
        now = time.monotonic()
        order = sorted(
            self._holdings,
            key=lambda item: item.n_bytes * (now - item.since),
            reverse=True,
        )
        for holding in order:
            if self.used_bytes <= KEPT_FRACTION * self.limit_bytes:
                break
            if holding not in self._holdings:
                continue  # complete meanwhile
            holding.revoked = True
            holding.buffer.clear()
            self.release(holding)
            self.counts["memory"] += 1
            if holding is not asking and holding.conn.task is not None:
                await holding.conn.task.cancel(blocking=False)

    async def trim_after_peaks(self) -> None:
        """Return free memory to the system after a peak, for ever.

        The C library keeps what is free between blocks in use.
        """
        trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
        n_before = 0
        while trim is not None:
            await curio.sleep(TRIM_INTERVAL_S)
            n_conns = sum(len(item.conns) for item in self.listeners.values())
            n_closed, n_before = n_before - n_conns, n_conns
            if (
                self._peak_since_trim > self.limit_bytes / 4
                and self.used_bytes < self.limit_bytes / 8
            ) or n_closed > MIN_CLOSED_FOR_TRIM:
                self._peak_since_trim = self.used_bytes
                trim(0)

    def dump(self) -> dict[str, Any]:
        """Return the state as a JSON-serializable dict."""
        return {
            "limit_bytes": self.limit_bytes,
            "used_bytes": self.used_bytes,
            "peak_bytes": self.peak_bytes,
            "refused": dict(self.counts),
            "handling": {
                name: {"limit_bytes": item.limit_bytes, "used_bytes": item.used_bytes}
                for name, item in self.shares.items()
                if item.limit_bytes < UNBOUNDED
            },
            "listeners": {
                name: {
                    "connections": len(item.conns),
                    "max_connections": item.max_connections,
                    "n_evicted": item.counters.n_evicted,
                    "n_refused": item.counters.n_refused,
                }
                for name, item in self.listeners.items()
            },
        }
