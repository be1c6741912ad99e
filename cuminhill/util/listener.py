"""Accepts a limited number of TCP connections and spawns a task for each."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import chain, islice
from typing import TYPE_CHECKING, Any

import curio
from curio import socket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

LISTEN_BACKLOG = 1024
ACCEPT_RETRY_DELAY_S = 0.05
N_EVICTED_ON_ERROR = 16
# Fraction of all connections beyond which new ones are closed before served ones.
MAX_NEW_FRACTION = 0.5


@dataclass(eq=False, slots=True)
class Connection:
    """One accepted connection.

    Parameters
    ----------
    sock : object
        Curio socket.
    peer : str
        ``"host:port"`` of the other side.
    task : object
        Task that serves it.
    """

    sock: Any
    peer: str
    task: Any = None


@dataclass(slots=True)
class ListenerCounters:
    """Counters of a listener."""

    n_accepted: int = 0
    n_refused: int = 0
    n_evicted: int = 0
    n_accept_errors: int = 0


@dataclass(eq=False)
class Listener:
    """Accepts connections and, at the limit, closes the one idle the longest.

    A connection is idle if it is new or was passed to `mark_idle`. Closing idle
    connections prevents callers that hold many of them from locking out others. While
    most connections are new, only these are closed: many callers that connect and send
    nothing do not end the connections of those that have been served.

    Parameters
    ----------
    serve : callable
        Coroutine function that serves one connection until it ends.
    max_connections : int
        Maximum number of open connections.
    """

    serve: Callable[[Connection], Awaitable[None]]
    max_connections: int
    counters: ListenerCounters = field(default_factory=ListenerCounters)
    host: str = ""
    port: int = 0
    conns: set[Connection] = field(default_factory=set)
    _idle: dict[Connection, None] = field(default_factory=dict)
    _new: dict[Connection, None] = field(default_factory=dict)
    _sock: Any = None
    _task: Any = None

    async def start(self, host: str, port: int) -> None:
        """Bind, listen and accept in the background; port 0 picks a free port."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, port))
        self._sock.listen(LISTEN_BACKLOG)
        self.host, self.port = self._sock.getsockname()
        self._task = await curio.spawn(self._accept, daemon=True)

    async def stop_accepting(self) -> None:
        """Close the listening socket and keep open connections."""
        if self._task is not None:
            await self._task.cancel()
            await self._sock.close()
            self._task = None

    async def close_all(self) -> None:
        """Cancel the tasks of all connections."""
        for conn in list(self.conns):
            if conn.task is not None:
                await conn.task.cancel()

    def mark_idle(self, conn: Connection) -> None:
        """Allow the connection to be closed in favour of a new one."""
        if conn in self.conns:
            self._idle[conn] = None

    def mark_busy(self, conn: Connection) -> None:
        """Protect the connection until `mark_idle` is called again."""
        self._idle.pop(conn, None)
        self._new.pop(conn, None)

    async def _accept(self) -> None:
        while True:
            try:
                sock, address = await self._sock.accept()
            except OSError:
                # Most likely out of file descriptors: free some and retry.
                self.counters.n_accept_errors += 1
                await self._evict(N_EVICTED_ON_ERROR)
                await curio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            if len(self.conns) >= self.max_connections:
                if not await self._evict(1):
                    self.counters.n_refused += 1
                    await sock.close()
                    continue
                # Its task closes the socket before the next one is accepted: in a
                # burst of connections, the descriptors would exceed the limit.
                await curio.sleep(0)
            await self._start_serving(Connection(sock, f"{address[0]}:{address[1]}"))

    async def _start_serving(self, conn: Connection) -> None:
        try:
            conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # reset before it was accepted
            await conn.sock.close()
            return
        self.counters.n_accepted += 1
        self.conns.add(conn)
        self._new[conn] = None
        conn.task = await curio.spawn(self._run, conn, daemon=True)

    async def _run(self, conn: Connection) -> None:
        try:
            await self.serve(conn)
        finally:
            self._untrack(conn)
            await conn.sock.close()

    async def _evict(self, n_wanted: int) -> int:
        """Close up to ``n_wanted`` connections idle the longest; return how many."""
        n_evicted = 0
        for conn in list(islice(self._evictable(), n_wanted)):
            self._untrack(conn)
            n_evicted += 1
            if conn.task is not None:
                await conn.task.cancel(blocking=False)
        self.counters.n_evicted += n_evicted
        return n_evicted

    def _evictable(self) -> Iterator[Connection]:
        if len(self._new) > self.max_connections * MAX_NEW_FRACTION:
            return chain(self._new, self._idle)
        return chain(self._idle, self._new)

    def _untrack(self, conn: Connection) -> None:
        self.conns.discard(conn)
        self.mark_busy(conn)
