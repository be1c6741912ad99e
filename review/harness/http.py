"""Small HTTP/1.1 server and client based on asyncio."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

RAW, JSON = "application/octet-stream", "application/json"


@dataclass
class Request:
    """One request as passed to a handler."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str


Handler = Callable[[Request], Awaitable[tuple[int, Any] | None]]


@dataclass
class Server:
    """HTTP server; a handler that returns None gives no answer and closes."""

    handler: Handler
    address: str = ""
    dark: bool = False
    rebooted: asyncio.Event = field(default_factory=asyncio.Event)
    _server: Any = None
    _writers: set[Any] = field(default_factory=set)
    _tasks: set[Any] = field(default_factory=set)

    async def start(self, host: str, port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 22
        )
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def go_dark(self) -> None:
        """Act as a machine without power.

        What was being answered stays without an answer for good. A channel on which
        something is sent is reset once the machine is up again.
        """
        self.dark = True
        self._server.close()

    async def _serve(self, reader: Any, writer: Any) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _serve_request(self, reader: Any, writer: Any) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {}
        for line in head[1:]:
            key, _, value = line.partition(":")
            headers[key.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        parts = urlsplit(target)
        peer = writer.get_extra_info("peername")[0]
        req = Request(
            method, parts.path, dict(parse_qsl(parts.query)), headers, body, peer
        )
        if self.dark:
            await self.rebooted.wait()
            writer.transport.abort()
            return False
        answer = await self.handler(req)
        if self.dark:
            await asyncio.Event().wait()
        if answer is None:
            return False
        status, value = answer
        kind = RAW if isinstance(value, bytes) else JSON
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\n"
            f"content-length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True


async def request(
    address: str,
    method: str,
    path: str,
    value: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Send one request on a new connection; return 0 and the error if it fails."""
    body = b"" if value is None else json.dumps(value).encode()
    lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}"]
    fields = {"Host": address} | (headers or {})
    lines += [f"{key}: {text}" for key, text in fields.items()]
    lines.append(f"content-type: {JSON}")
    lines.append("connection: close")
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(head.split(" ")[1])
                data = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        return 0, repr(exc)
    try:
        return status, json.loads(data)
    except ValueError:
        return status, data.decode("latin-1")
