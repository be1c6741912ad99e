"""TCP relays that simulate network partitions between pairs of daemons.

A cut withholds the bytes in both directions and keeps the connections open, as a
network partition does. The bytes are delivered once the cut is healed.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import Any

import curio
from curio import socket

from cuminhill.util.http import HttpRequest, HttpResponse

READ_SIZE = 65536
LISTEN_BACKLOG = 128


@dataclass(eq=False)
class Relays:
    """The TCP relays of a cluster.

    Parameters
    ----------
    cuts : set of frozenset of str
        Pairs of IP addresses that cannot reach each other.
    """

    cuts: set[frozenset[str]] = field(default_factory=set)
    _healed: Any = field(default_factory=curio.Event)

    async def add(self, host: str, target: str) -> str:
        """Relay from a free port of ``host`` to a target; return the address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind((host, 0))
        sock.listen(LISTEN_BACKLOG)
        await curio.spawn(self._accept, sock, target, daemon=True)
        return f"{host}:{sock.getsockname()[1]}"

    async def set_cuts(self, pairs: list[list[str]]) -> None:
        """Replace all cuts."""
        self.cuts = {frozenset(pair) for pair in pairs}
        await self._healed.set()
        self._healed = curio.Event()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Serve ``POST /relays`` and ``POST /cuts``."""
        if req.path == "/relays":
            body = req.json()
            address = await self.add(body["host"], body["target"])
            return HttpResponse(200, {"address": address})
        if req.path == "/cuts":
            await self.set_cuts(req.json()["pairs"])
            return HttpResponse(200, {})
        return HttpResponse(404, {"error": "not found"})

    async def _accept(self, sock: Any, target: str) -> None:
        while True:
            client, address = await sock.accept()
            await curio.spawn(self._serve, client, address[0], target, daemon=True)

    async def _serve(self, client: Any, source: str, target: str) -> None:
        host, _, port = target.rpartition(":")
        pair = frozenset({source, host})
        await self._wait_until_healed(pair)
        try:
            server = await curio.open_connection(
                host, int(port), source_addr=(source, 0)
            )
        except OSError:
            await client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = await curio.spawn(self._pump, server, client, pair, daemon=True)
        await self._pump(client, server, pair)
        await back.cancel()
        await client.close()
        await server.close()

    async def _pump(self, source: Any, target: Any, pair: frozenset[str]) -> None:
        try:
            while data := await source.recv(READ_SIZE):
                await self._wait_until_healed(pair)
                await target.sendall(data)
            await self._wait_until_healed(pair)
            await target.shutdown(socket.SHUT_WR)
        except OSError:
            # Also ends the other direction. A close would free the descriptor while
            # the task of that direction still waits on it.
            with contextlib.suppress(OSError):
                await target.shutdown(socket.SHUT_RDWR)

    async def _wait_until_healed(self, pair: frozenset[str]) -> None:
        while pair in self.cuts:
            await self._healed.wait()
