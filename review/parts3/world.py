"""Stand-ins for the platform, its workers and a caller, and the VMs under test.

They speak what PROTOCOL.md says, on loopback addresses, with the standard library only.
The VMs are processes of their own, started with the command of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "lab"
HOST_HEADER = "jobs.example"
STORE_HOST, ADVICE_HOST, CALLER_HOST = "127.0.7.1", "127.0.7.2", "127.0.7.3"
WORKER_NET, VM_NET = "127.0.8", "127.0.9"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_TIMEOUT_S = 0.2
SAVED_STARTS = 5  # appends of a producer whose repeat gets its first response
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


def free_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


@dataclass(eq=False)
class Request:
    """One HTTP request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class HttpServer:
    """HTTP/1.1 server; a handler returns status and body, or None to say nothing."""

    def __init__(self, handler: Any) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True
        )

    async def abort(self) -> None:
        """Stop listening and break all connections off, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {key: row[0] for key, row in parse_qs(parts.query).items()}
                reply = await self._handler(
                    Request(method, parts.path, query, headers, body, peer)
                )
                if reply is None:
                    await asyncio.sleep(3600)
                    return
                status, value = reply
                kind = "application/json"
                if isinstance(value, bytes):
                    kind, data = "application/octet-stream", value
                else:
                    data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # the peer, or the end of the case, has broken it off
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass(eq=False)
class Topic:
    """Partition 0 of one topic."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    producers: dict[str, tuple[int, int]] = field(default_factory=dict)
    answers: dict[str, deque[tuple[int, int, dict[str, int]]]] = field(
        default_factory=dict
    )
    grown: asyncio.Event = field(default_factory=asyncio.Event)
    first: int = 0  # first offset that is retained

    def add(self, rows: list[tuple[str, bytes]]) -> dict[str, int]:
        """Append records."""
        offset = len(self.records)
        self.records.extend(rows)
        self.grown.set()
        self.grown = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}


def encode_rows(rows: list[tuple[str, bytes]]) -> bytes:
    """Return the wire form of records of a keyed topic."""
    parts = []
    for key, value in rows:
        name = key.encode()
        parts.append(struct.pack(">I", 1 + len(name) + len(value)))
        parts.append(bytes([len(name)]) + name + value)
    return b"".join(parts)


def decode_rows(body: bytes) -> list[tuple[str, bytes]]:
    """Return the records of an append to a keyed topic."""
    rows, pos = [], 0
    while pos < len(body):
        (length,) = struct.unpack_from(">I", body, pos)
        content = body[pos + 4 : pos + 4 + length]
        pos += 4 + length
        n_key = content[0]
        rows.append((content[1 : 1 + n_key].decode(), content[1 + n_key :]))
    return rows


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.server = HttpServer(self.handle)
        self.append_s = 0.004
        # Called before each call with the request; may delay, or return a response.
        self.intercept: Any = None
        # Called after an append took effect; returns True to withhold its answer.
        self.lose_answer: Any = None

    def topic(self, name: str) -> Topic:
        """Return a topic, made on first use."""
        return self.topics.setdefault(name, Topic())

    async def handle(self, req: Request) -> tuple[int, Any] | None:
        """Handle a call."""
        if self.intercept is not None:
            done, reply = await self.intercept(req)
            if done:
                return reply
        topic = self.topic(req.query.get("topic", ""))
        if req.path == "/-/log-append":
            await asyncio.sleep(self.append_s)
            reply = self.append(topic, req)
            if self.lose_answer is not None and self.lose_answer(req, reply):
                return None
            return reply
        if req.path == "/-/log-read":
            return await self.read(topic, req)
        if req.path == "/-/log-newest":
            return self.newest(topic, req)
        return 404, {}

    def append(self, topic: Topic, req: Request) -> tuple[int, Any]:
        """Append the records of a call unless its condition does not hold."""
        query = req.query
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, {"end": len(topic.records)}
        if "producer" in query:
            name, epoch, seq = query["producer"], int(query["epoch"]), int(query["seq"])
            known_epoch, known_seq = topic.producers.get(name, (-1, -1))
            if epoch < known_epoch:
                return 409, {"reason": "fenced"}
            if epoch == known_epoch and seq != known_seq + 1:
                for row in topic.answers[name]:
                    if row[:2] == (epoch, seq):
                        return 200, row[2]
                return 409, {"reason": "seq", "seq": known_seq + 1}
            topic.producers[name] = (epoch, seq)
            answer = topic.add(decode_rows(req.body))
            kept = topic.answers.setdefault(name, deque(maxlen=SAVED_STARTS))
            kept.append((epoch, seq, answer))
            return 200, answer
        return 200, topic.add(decode_rows(req.body))

    async def read(self, topic: Topic, req: Request) -> tuple[int, Any]:
        """Return records from an offset on."""
        start = int(req.query["from"])
        if start < topic.first:
            return 410, {"first": topic.first}
        give_up_at = time.monotonic() + int(req.query.get("wait_ms", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < give_up_at:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    topic.grown.wait(), max(0.001, give_up_at - time.monotonic())
                )
        rows, n_bytes = [], 0
        max_bytes = int(req.query.get("max_kb", 1024)) * 1024
        for row in topic.records[start : start + 5000]:
            n_bytes += len(row[1])
            if rows and n_bytes > max_bytes:
                break
            rows.append(row)
        bounds = struct.pack(">QQ", len(topic.records), topic.first)
        return 200, bounds + encode_rows(rows)

    def newest(self, topic: Topic, req: Request) -> tuple[int, Any]:
        """Return the newest record of each key, in pages."""
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(topic.records):
            newest[key] = (offset, value)
        names = sorted(
            key
            for key, row in newest.items()
            if row[1] and key > req.query.get("after", "")
        )
        items, n_bytes = [], 0
        for key in names[:500]:
            offset, value = newest[key]
            n_bytes += len(value)
            if items and n_bytes > 1 << 20:
                break
            data = base64.b64encode(value).decode()
            items.append({"key": key, "value": data, "offset": offset})
        more = len(items) < len(names)
        return 200, {"items": items, "more": more, "end": len(topic.records)}

    def write_key(self, topic: str, key: str, value: Any) -> None:
        """Write a record as the operator or a worker does; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).add([(key, data)])


@dataclass(eq=False)
class Run:
    """One run on a worker."""

    task: str
    number: int
    begun_at: float
    ends_at: float
    fails: bool = False


class Worker:
    """One worker of the service; each start of it is a new life."""

    def __init__(
        self, world: World, name: str, host: str, labels: list[str], cores: int = 16
    ) -> None:
        self.world, self.name, self.host = world, name, host
        self.labels, self.cores = labels, cores
        self.port = free_port(host)
        self.life = 0
        self.up = False
        self.on_start: Any = None
        self._beat: Any = None
        self._tasks: list[Any] = []

    @property
    def worker_id(self) -> str:
        """Identity of this life."""
        return f"i-{self.name}-{self.life}"

    async def start(self) -> None:
        """Begin a new life."""
        self.life += 1
        self.born = int(time.time() * 1000)
        self.begun_at = time.monotonic() - 1.0
        self.fence = 0
        self.deadline_ms = 0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.n_ends = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        await self.server.start(self.host, self.port)
        self.up = True
        self.world.note("worker up", worker=self.worker_id)
        self._tasks = [
            asyncio.create_task(self._register()),
            asyncio.create_task(self._work()),
        ]

    async def crash(self) -> None:
        """End without notice; all that runs here ends with it."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        self.world.note(
            "worker crashed", worker=self.worker_id, running=sorted(self.running)
        )
        for run in self.running.values():
            self.world.note(
                "run gone", task=run.task, run=run.number, worker=self.worker_id
            )
        self.running = {}
        worker_id = self.worker_id
        await self.server.abort()

        async def expire() -> None:
            await asyncio.sleep(3 * HEARTBEAT_S)
            if not self.up or self.worker_id != worker_id:
                self.world.store.write_key("keyed.servers", worker_id, None)

        self.world.spawn(expire())

    def clock_ms(self) -> int:
        """Return the reading of the clock of this life."""
        return int((time.monotonic() - self.begun_at) * 1000)

    async def _register(self) -> None:
        seq = 0
        while True:
            seq += 1
            self.world.store.write_key(
                "keyed.servers",
                self.worker_id,
                {
                    "service": SERVICE,
                    "addr": f"{self.host}:{self.port}",
                    "zone": "a",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "capacity": {"cpu": 1000 * self.cores, "mem_mb": 65536, "gpu": 0},
                    "labels": self.labels,
                    "clock_ms": self.clock_ms(),
                    "seq": seq,
                    "born": self.born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self.clock_ms() > self.deadline_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                if now >= run.ends_at:
                    self._end(run, "failed" if run.fails else "done")

    def _end(self, run: Run, how: str) -> None:
        if self.running.pop(run.task, None) is None:
            return
        self.n_ends += 1
        self.ended.append([self.n_ends, run.task, run.number, how, ""])
        self.world.note(
            "run ended", task=run.task, run=run.number, how=how, worker=self.worker_id
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(until_ms, longest))

    async def handle(self, req: Request) -> tuple[int, Any] | None:
        """Handle a call of the system."""
        if req.path == "/health":
            return 200, {}
        if req.headers.get("x-cuminhill-expect-instance") != self.worker_id:
            return 421, {"clock_ms": self.clock_ms()}
        body = req.json()
        fence = int(body.get("fence_token", 0))
        if fence < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if req.path == "/-/hold":
            return await self._hold(body)
        if req.path == "/-/run-start":
            return await self._start(body, req.peer)
        if req.path == "/-/run-stop":
            return self._stop(body)
        return 400, {"clock_ms": self.clock_ms()}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        if "deadline_ms" in body:
            self._extend(int(body["deadline_ms"]))
        cursor = int(body["ack_cursor"])
        self.ended = [row for row in self.ended if row[0] > cursor]
        wait_s = min(2000, int(body.get("wait_ms", 0))) / 1000
        if wait_s and not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        now = time.monotonic()
        rows = [
            [run.task, run.number, "", self._percent(run, now)]
            for run in self.running.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": rows,
            "ended": self.ended[:500],
        }

    def _percent(self, run: Run, now: float) -> float:
        if run.ends_at == float("inf"):
            return 100
        return min(99.0, 100 * (now - run.begun_at) / (run.ends_at - run.begun_at))

    async def _start(self, body: dict[str, Any], peer: str) -> tuple[int, Any]:
        task, number = str(body["task"]), int(body["run"])
        clock = {"clock_ms": self.clock_ms()}
        if int(body["deadline_ms"]) < self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self._extend(int(body["deadline_ms"]))
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, clock
        if number <= self.highest.get(task, 0):
            return 409, {**clock, "reason": "old"}
        self.highest[task] = number
        spec = json.loads(body["spec"])
        now = time.monotonic()
        run_s = float(spec.get("run_s", 0)) or float("inf")
        self.running[task] = Run(task, number, now, now + run_s)
        self.world.note(
            "run started",
            task=task,
            run=number,
            worker=self.worker_id,
            fence=body["fence_token"],
            by=peer,
        )
        if self.on_start is not None:
            self.world.spawn(self.on_start(self, task, number))
        return 200, clock

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = str(body["task"]), int(body["run"])
        run = self.running.get(task)
        if run is not None and run.number <= number:
            self._end(run, "stopped")
        self.highest[task] = max(number, self.highest.get(task, 0))
        return 200, {"clock_ms": self.clock_ms()}


class Vm:
    """One entry VM: the process of the deploy file's role."""

    def __init__(self, world: World, name: str, host: str) -> None:
        self.world, self.name, self.host = world, name, host
        self.front_port = free_port(host)
        self.ready_port = free_port(host)
        self.rpc_port = free_port(host)
        self.inspection_port = free_port(host)
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[int] = []

    async def start(self) -> None:
        """Start the process."""
        settings = self.world.folder / f"{self.name}.toml"
        lines = {
            "vm": self.name,
            "failure_domain": "a",
            "host": self.host,
            "front_address": f"{self.host}:{self.front_port}",
            "ready_address": f"{self.host}:{self.ready_port}",
            "inspection_address": f"{self.host}:{self.inspection_port}",
            "first_free_port": self.rpc_port,
            "store_address": f"{STORE_HOST}:{self.world.store_port}",
            "advice_address": f"{ADVICE_HOST}:{self.world.advice_port}",
            "processor_share": 0.817,
            "processor_speed": 1,
            "link_mbps": 375.0,
            "max_descriptors": 1638,
            "max_lease_ms": HOLD_MAX_MS,
            "keep_state_s": 120,
            "grace_s": 6,
            "memory_mb": "235",
            "remote_slowdown": "2",
        }
        settings.write_text(
            "".join(f"{key} = {json.dumps(value)}\n" for key, value in lines.items())
        )
        with (ROOT / "deploy/system.toml").open("rb") as file:
            words = shlex.split(tomllib.load(file)["roles"]["entry"]["run"])
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {
            "CUMINHILL_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.world.note("vm started", vm=self.name)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        assert self.process is not None
        self.world.note("signal", vm=self.name, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        for number in (signal.SIGCONT, signal.SIGKILL):
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
        await self.process.wait()
        self.process = None

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None


class World:
    """Stand-ins and VMs of one case."""

    def __init__(
        self,
        record: Path,
        *,
        n_vms: int = 3,
        n_workers: int = 24,
        labels: Any = None,
        max_attempts: int = 3,
    ) -> None:
        self.begun_at = time.monotonic()
        self._record = record.open("w")
        self._temp = tempfile.TemporaryDirectory(prefix="cuminhill-review-")
        self.folder = Path(self._temp.name)
        self.notes: list[dict[str, Any]] = []
        self.store = Store()
        self.store_port = free_port(STORE_HOST)
        self.advice_port = free_port(ADVICE_HOST)
        self.max_attempts = max_attempts
        names = labels or (lambda index: ["a", f"r1-{index // 8}"])
        self.workers = [
            Worker(self, f"w{index:02}", f"{WORKER_NET}.{index + 1}", names(index))
            for index in range(n_workers)
        ]
        self.vms = [
            Vm(self, f"front-a-{index + 1}", f"{VM_NET}.{index + 1}")
            for index in range(n_vms)
        ]
        self._spawned: set[Any] = set()

    def spawn(self, coro: Any) -> Any:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coro)
        self._spawned.add(task)
        task.add_done_callback(self._spawned.discard)
        return task

    def now(self) -> float:
        """Return seconds since the world began."""
        return time.monotonic() - self.begun_at

    def note(self, event: str, **fields: Any) -> None:
        """Write one line to the record."""
        row = {"at_s": round(self.now(), 3), "event": event, **fields}
        self.notes.append(row)
        self._record.write(json.dumps(row) + "\n")
        self._record.flush()

    def config(self, version: int = 1) -> dict[str, Any]:
        """Return the desired state: one queue for each kind of job."""
        queue = {
            "host": HOST_HEADER,
            "kind": "unsafe",
            "timeout_ms": 3000,
            "service": SERVICE,
            "max_attempts": self.max_attempts,
            "stretch": 2.2,
        }
        rows = (("check", 0, 250), ("batch", 2, 1200), ("watch", 1, 2500))
        return {
            "version": version,
            "routes": [
                {
                    **queue,
                    "name": f"r-{name}",
                    "path_prefix": f"/{name}/",
                    "priority": priority,
                    "target_duration_ms": target_ms,
                }
                for name, priority, target_ms in rows
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "admission_check": False,
                    "spare": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

    async def start(self) -> None:
        """Start everything and wait until the VMs are ready and one places jobs."""
        await self.store.server.start(STORE_HOST, self.store_port)
        self.store.write_key("keyed.op", "config", self.config())
        for worker in self.workers:
            await worker.start()
        for vm in self.vms:
            await vm.start()
        give_up_at = time.monotonic() + 20
        while time.monotonic() < give_up_at:
            states = [await self.is_ready(vm) for vm in self.vms]
            if all(states):
                await asyncio.sleep(3.0)
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the VMs are not ready")

    async def is_ready(self, vm: Vm) -> bool:
        """Return whether a VM answers the platform's probe with 200."""
        status, _ = await self.call(vm, "GET", "/-/ready", port=vm.ready_port)
        return status == 200

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for vm in self.vms:
            await vm.end()
        for task in list(self._spawned):
            task.cancel()
        for worker in self.workers:
            if worker.up:
                worker.up = False
                for task in worker._tasks:
                    task.cancel()
                await worker.server.abort()
        await self.store.server.abort()
        self._record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temp.cleanup()

    async def call(
        self,
        vm: Vm,
        method: str,
        path: str,
        value: Any = None,
        *,
        port: int = 0,
        timeout_s: float = 3.0,
    ) -> tuple[int, Any]:
        """Make one call as a caller; the status is 0 if there is no answer."""
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    vm.host, port or vm.front_port, local_addr=(CALLER_HOST, 0)
                )
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
                    f"X-Cuminhill-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                return int(first.split(" ")[1]), json.loads(body or b"null")
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, None
        finally:
            if writer is not None:
                writer.close()

    async def submit(
        self,
        queue: str,
        job_id: str,
        spec: dict[str, Any],
        phases: list[Any],
        **more: Any,
    ) -> int:
        """Hand a job in, again at other VMs until the answer is definite."""
        body = {"spec": json.dumps(spec), "phases": phases, **more}
        status = 0
        for attempt in range(8):
            vm = self.vms[attempt % len(self.vms)]
            status, _ = await self.call(vm, "POST", f"/{queue}/{job_id}", body)
            self.note("submitted", job=job_id, vm=vm.name, status=status)
            if status in {200, 201, 202, 400, 404, 429, 503}:
                return status
        return status

    async def state(self, queue: str, job_id: str, vm: Vm | None = None) -> Any:
        """Return the state that a VM tells of a job, or the status without one."""
        asked = vm or self.vms[0]
        status, value = await self.call(asked, "GET", f"/{queue}/{job_id}")
        shown = value.get("state") if status == 200 else status
        self.note("state", job=job_id, vm=asked.name, shown=shown)
        return shown


def trouble() -> bool:
    """Return whether the disruption of a case takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Any, record: Path, **options: Any) -> None:
    """Run a case within its time and exit with its result.

    Parameters
    ----------
    case : callable
        Coroutine function that takes the world and returns whether the rule held.
    """

    async def play() -> int:
        world = World(record, **options)
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                await world.start()
                held = await case(world)
                world.note("result", held=held, trouble=trouble())
                return HELD if held else BROKEN
        except (asyncio.CancelledError, OSError, RuntimeError) as exc:
            world.note("not run", error=repr(exc))  # a time-out is an OSError
            return NOT_RUN
        finally:
            await world.close()

    sys.exit(asyncio.run(play()))
