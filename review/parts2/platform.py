"""Stand-in for the platform: metadata store, workers and placement advice over HTTP.

It follows the users' pages: fence numbers, leases, numbered ends, keyed topics with
epochs of producers. One process serves all of it on loopback addresses and records
what the system's processes do, so that a case can check a rule from it.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import struct
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

JSON, RAW = "application/json", "application/octet-stream"
REASONS = {200: "OK", 409: "Conflict", 421: "Misdirected Request", 503: "Unavailable"}
INITIAL_CLOCK_MS = 1000
HOLD_MAX_MS = 6000
STOP_MS = 100  # time that a stop takes, below `stop_timeout_ms`
POLL_S = 0.005


class Drop(Exception):  # noqa: N818
    """The connection is closed without an answer."""


@dataclass(eq=False)
class Call:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    source: str

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


Reply = tuple[int, bytes, str]


def reply(status: int, value: Any = None) -> Reply:
    """Return a JSON answer."""
    return status, json.dumps({} if value is None else value).encode(), JSON


async def serve(
    handler: Callable[[Call], Awaitable[Reply]],
    address: str,
    open_writers: set[asyncio.StreamWriter] | None = None,
) -> Any:
    """Serve HTTP/1.1 at ``"host:port"``; port 0 picks a free one.

    Parameters
    ----------
    open_writers : set or None
        Updated to hold the open connections.
    """
    writers = set() if open_writers is None else open_writers

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.add(writer)
        source = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                call = Call(method, parts.path, query, headers, body, source)
                status, content, kind = await handler(call)
                reason = REASONS.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\ncontent-type: {kind}\r\n"
                    f"content-length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (Drop, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(talk, host, int(port), limit=1 << 21)


@dataclass(eq=False)
class Topic:
    """Partition 0 of a keyed topic."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    producers: dict[str, tuple[int, int, list[tuple[int, int]]]] = field(
        default_factory=dict
    )

    def append(self, records: list[tuple[str, bytes]]) -> int:
        """Append records; return the offset of the first."""
        offset = len(self.records)
        for key, value in records:
            if value:
                self.newest[key] = len(self.records)
            else:
                self.newest.pop(key, None)
            self.records.append((key, value))
        return offset


@dataclass(eq=False)
class Store:
    """The platform's store; it may refuse single machines with status 503.

    Parameters
    ----------
    refused : set of str
        Source addresses whose calls get 503, waiting reads as well.
    silent : set of str
        Source addresses whose calls get no answer and are not carried out.
    """

    topics: dict[str, Topic] = field(default_factory=lambda: defaultdict(Topic))
    refused: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record as the operator or a worker does."""
        data = json.dumps(value).encode() if value is not None else b""
        self.topics[topic].append([(key, data)])

    async def _gate(self, call: Call) -> Reply | None:
        while call.source in self.silent:
            await asyncio.sleep(POLL_S)
            if call.source not in self.silent:
                raise Drop
        return reply(503) if call.source in self.refused else None

    async def handle(self, call: Call) -> Reply:
        """Handle one call of a machine."""
        refusal = await self._gate(call)
        if refusal is not None:
            return refusal
        name = call.query.get("topic", "")
        if call.path == "/-/log-append":
            return self._append(call, self.topics[name])
        if call.path == "/-/log-read":
            return await self._read(call, self.topics[name])
        if call.path == "/-/log-newest":
            return self._newest(call, self.topics[name])
        return reply(404)

    def _append(self, call: Call, topic: Topic) -> Reply:
        records, pos = [], 0
        while pos < len(call.body):
            (length,) = struct.unpack_from(">I", call.body, pos)
            content = call.body[pos + 4 : pos + 4 + length]
            pos += 4 + length
            n_key = content[0]
            records.append((content[1 : 1 + n_key].decode(), content[1 + n_key :]))
        producer = call.query.get("producer")
        if producer is not None:
            epoch, seq = int(call.query["epoch"]), int(call.query["seq"])
            known, last, answers = topic.producers.get(producer, (-1, -1, []))
            if epoch < known:
                return reply(409, {"reason": "fenced"})
            if epoch == known:
                for number, offset in answers[-5:]:
                    if number == seq:
                        return reply(200, {"offset": offset, "end": offset})
                if seq != last + 1:
                    return reply(409, {"reason": "seq", "expected": last + 1})
            else:
                answers = []
            offset = topic.append(records)
            topic.producers[producer] = (epoch, seq, [*answers, (seq, offset)][-5:])
        else:
            offset = topic.append(records)
        return reply(200, {"offset": offset, "end": len(topic.records)})

    async def _read(self, call: Call, topic: Topic) -> Reply:
        offset = int(call.query["from"])
        until = time.monotonic() + int(call.query.get("wait_ms", 0)) / 1000
        while len(topic.records) <= offset and time.monotonic() < until:
            await asyncio.sleep(POLL_S)
            refusal = await self._gate(call)
            if refusal is not None:
                return refusal
        limit = int(call.query.get("max_kb", 1024)) * 1024
        parts, n_bytes = [struct.pack(">QQ", len(topic.records), 0)], 0
        for key, value in topic.records[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            n_bytes += 4 + len(content)
            if n_bytes > limit and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts), RAW

    def _newest(self, call: Call, topic: Topic) -> Reply:
        keys = [k for k in sorted(topic.newest) if k > call.query.get("after", "")]
        items = []
        for key in keys[:500]:
            offset = topic.newest[key]
            value = base64.b64encode(topic.records[offset][1]).decode()
            items.append({"key": key, "value": value, "offset": offset})
        end = len(topic.records)
        return reply(200, {"items": items, "more": len(keys) > 500, "end": end})


@dataclass(eq=False)
class Run:
    """One run on a worker."""

    task: str
    number: int
    worker: str
    begun_at: float
    work_s: float
    source: str
    fence: int
    ended_at: float = 0.0
    how: str = ""
    end_number: int = 0
    acked_at: float = 0.0
    lasts: bool = False


@dataclass(eq=False)
class Worker:
    """Worker that starts whatever it is told to start (`admission_check` false).

    Parameters
    ----------
    work_s : callable
        Takes a task's name and its payload; returns how long the task works, infinite
        for one that lasts.
    """

    name: str
    address: str
    service: str
    zone: str
    work_s: Callable[[str, str], float]
    history: list[Run]
    rack: str = "r1-1"
    cpu: int = 16000
    mem_mb: int = 64000
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    created_at: float = field(default_factory=time.monotonic)
    fence: int = 0
    deadline_ms: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[Run] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    n_ends: int = 0
    up: bool = True
    unhealthy: bool = False
    kind: str = "a"
    server: Any = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def entry(self, seq: int, state: str = "ready") -> dict[str, Any]:
        """Return the registration."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq": seq,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": [self.kind, self.rack],
        }

    async def listen(self) -> None:
        """Serve at the worker's address; the first time at a free port."""
        address = self.address or "127.0.0.1:0"
        self.server = await serve(self.handle, address, self.writers)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def crash(self) -> None:
        """End the incarnation; runs are gone and nothing is reported.

        Its connections are reset and new ones are refused, as when a process dies.
        """
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for run in self.running.values():
            run.ended_at, run.how = time.monotonic(), "crash"
        self.running.clear()

    async def restart(self) -> None:
        """Start a new incarnation under the same id, at the same address."""
        self.born, self.created_at = int(time.time() * 1000), time.monotonic()
        self.fence = self.deadline_ms = self.n_ends = 0
        self.running, self.ended, self.highest = {}, [], {}
        self.up = True
        await self.listen()

    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return int((time.monotonic() - self.created_at) * 1000) + INITIAL_CLOCK_MS

    def _end(self, run: Run, how: str, at: float) -> None:
        self.n_ends += 1
        run.ended_at, run.how, run.end_number = at, how, self.n_ends
        self.running.pop(run.task, None)
        self.ended.append(run)

    def advance(self) -> None:
        """End the runs that are done or whose lease has lapsed."""
        now = time.monotonic()
        lapse_at = self.created_at + (self.deadline_ms - INITIAL_CLOCK_MS) / 1000
        for run in list(self.running.values()):
            done_at = run.begun_at + run.work_s
            if done_at <= min(now, lapse_at):
                self._end(run, "done", done_at)
            elif lapse_at < now:
                self._end(run, "lapsed", lapse_at)

    def _answer(self, status: int, **more: Any) -> Reply:
        return reply(status, {"clock_ms": self.clock_ms(), "born": self.born, **more})

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            most = self.clock_ms() + HOLD_MAX_MS
            self.deadline_ms = max(self.deadline_ms, min(most, int(deadline_ms)))

    async def handle(self, call: Call) -> Reply:
        """Handle one call of a machine of the system."""
        if not self.up:
            raise Drop
        if call.path == "/health":
            return reply(503 if self.unhealthy else 200)
        if call.headers.get("x-cuminhill-expect-instance", self.name) != self.name:
            return self._answer(421)
        body = call.json()
        self.advance()
        fence = int(body.get("fence_token", 0))
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        if call.path == "/-/run-start" and self.unhealthy:
            return self._answer(503)
        if call.path == "/-/run-start":
            return self._start(body, call.source, fence)
        if call.path == "/-/run-stop":
            return await self._stop(body)
        if call.path == "/-/hold":
            return await self._hold(body)
        return reply(404)

    def _start(self, body: dict[str, Any], source: str, fence: int) -> Reply:
        task, number = body["task"], int(body["run"])
        if int(body["deadline_ms"]) < self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return self._answer(200)
        if number <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        self.highest[task] = number
        work_s = self.work_s(task, body["spec"])
        run = Run(task, number, self.name, time.monotonic(), work_s, source, fence)
        self.running[task] = run
        self.history.append(run)
        return self._answer(200)

    async def _stop(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], int(body["run"])
        run = self.running.get(task)
        if run is not None and run.number <= number:
            await asyncio.sleep(STOP_MS / 1000)
            if self.running.get(task) is run:
                self._end(run, "stopped", time.monotonic())
        self.highest[task] = max(number, self.highest.get(task, 0))
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> Reply:
        self._extend(body.get("deadline_ms"))
        acked = int(body.get("ack_cursor", 0))
        for run in self.ended:
            if run.end_number <= acked:
                run.acked_at = time.monotonic()
        self.ended = [run for run in self.ended if run.end_number > acked]
        until = time.monotonic() + min(2000, int(body.get("wait_ms", 0))) / 1000
        while not self.ended and time.monotonic() < until and self.up:
            await asyncio.sleep(POLL_S)
            self.advance()
        if not self.up:
            raise Drop
        now = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now), 0]
            for run in self.running.values()
        ]
        ended = [
            [run.end_number, run.task, run.number, run.how, ""]
            for run in self.ended[:500]
        ]
        return self._answer(200, running=running, ended=ended)

    @staticmethod
    def _percent(run: Run, now: float) -> int:
        if run.work_s == float("inf"):
            return 100
        return min(99, int(100 * (now - run.begun_at) / run.work_s))


@dataclass(eq=False)
class Platform:
    """Store, workers and registrations."""

    store: Store = field(default_factory=Store)
    workers: list[Worker] = field(default_factory=list)
    history: list[Run] = field(default_factory=list)
    servers: list[Any] = field(default_factory=list)
    store_address: str = ""
    _seq: Any = field(default_factory=lambda: itertools.count(1))

    async def start(
        self,
        n_workers: int,
        work_s: Callable[[str, str], float],
        zones: tuple[str, ...] = ("tainan", "chiayi", "pingtung"),
    ) -> None:
        """Serve the store and the workers; register the workers."""
        server = await serve(self.store.handle, "127.0.0.1:0")
        self.servers.append(server)
        self.store_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for number in range(n_workers):
            worker = Worker(
                f"w{number:03}",
                "",
                "pump-dispatch",
                zones[number % len(zones)],
                work_s,
                self.history,
                rack=f"r{number % len(zones)}-{number // 8}",
            )
            await worker.listen()
            self.workers.append(worker)
        self._beat_task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            for worker in self.workers:
                if worker.up:
                    self.register(worker)
            await asyncio.sleep(1.5)

    def register(self, worker: Worker) -> None:
        """Write a worker's registration, as it does at its start."""
        self.store.put("keyed.servers", worker.name, worker.entry(next(self._seq)))

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a desired state."""
        value = {
            "version": version,
            "routes": routes,
            "services": [{"name": "pump-dispatch", "admission_check": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("keyed.op", "config", value)
