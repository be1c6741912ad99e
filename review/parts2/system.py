"""Starts the system's own processes, and calls them as consumers do."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .platform import Platform

ROOT = Path(__file__).resolve().parents[2]
HOST = "nony24.example"
# Settings of a small deployment, as ``deploy/node.toml`` gets them from the platform.
BOUNDS = {
    "max_lease_ms": 6000,
    "keep_state_s": 120,
    "grace_s": 6,
    "remote_slowdown": "2",
}
MEMORY_MB = 235
HELD, BROKEN, NOT_RUN = 0, 1, 2
CASE_TIMEOUT_S = 105
RESTART_S = 1.0  # until the platform starts a process again that has ended
# The rule on faults counts processes that end this often, on this many machines.
MIN_MACHINES, MIN_ENDS = 2, 3


class NotRunError(Exception):
    """The case could not be brought about."""


def is_troubled() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    """Return a queue of the desired state."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_duration_ms": 3000,
        "priority": 1,
        "service": "pump-dispatch",
        "max_attempts": 4,
        "stretch": 4.0,
        **more,
    }


@dataclass(eq=False)
class Record:
    """What was sent, answered and run, with times since the start."""

    path: Path
    begun_at: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Add a line."""
        line = f"{time.monotonic() - self.begun_at:8.3f}  {text}"
        self.lines.append(line)
        print(line, flush=True)

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass(eq=False)
class Node:
    """One entry VM: a process with the command of the deploy file."""

    name: str
    host: str
    zone: str
    folder: Path
    front: str = ""
    ready: str = ""
    proc: subprocess.Popen[bytes] | None = None

    def prepare(self, platform: Platform, memory_mb: int = MEMORY_MB) -> None:
        """Write the settings file."""
        self.front = f"{self.host}:{free_port(self.host)}"
        self.ready = f"{self.host}:{free_port(self.host)}"
        values = {
            "vm": self.name,
            "failure_domain": self.zone,
            "host": self.host,
            "front_address": self.front,
            "ready_address": self.ready,
            "inspection_address": f"{self.host}:{free_port(self.host)}",
            "first_free_port": free_port(self.host),
            "store_address": platform.store_address,
            "processor_share": 1.0,
            "processor_speed": 1,
            "link_mbps": 1000.0,
            "max_descriptors": 3075,
            "memory_mb": str(memory_mb),
            **BOUNDS,
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        (self.folder / f"{self.name}.toml").write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process."""
        env = {k: v for k, v in os.environ.items() if k in {"PATH", "HOME", "LANG"}}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CUMINHILL_BOOT"] = str(self.folder / f"{self.name}.toml")
        log = (self.folder / f"{self.name}.log").open("ab")
        self.proc = subprocess.Popen(
            [*deploy_command()], cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    def send(self, signum: int) -> None:
        """Send a signal to the process."""
        if self.proc is not None and self.proc.poll() is None:
            self.proc.send_signal(signum)

    def end(self) -> None:
        """End the process."""
        if self.proc is None:
            return
        if self.proc.poll() is None:
            self.proc.send_signal(signal.SIGCONT)
            self.proc.kill()
        self.proc.wait()

    def alive(self) -> bool:
        """Return whether the process runs."""
        return self.proc is not None and self.proc.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        if self.proc is None:
            return 0.0
        try:
            text = Path(f"/proc/{self.proc.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    def log_text(self) -> str:
        """Return what the process has logged."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


def deploy_command() -> list[str]:
    """Return the command of the role in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    found = re.search(r'^run = "(.*)"$', text, re.M)
    if found is None:
        raise NotRunError("no command in the deploy file")
    words = found[1].split()
    return [sys.executable, *words[1:]] if words[0] == "python3" else words


async def call(
    address: str, method: str, path: str, value: Any = None, timeout_s: float = 3.0
) -> tuple[int, Any]:
    """Send one request as a consumer; status 0 if there is no answer."""
    host, _, port = address.rpartition(":")
    body = (
        json.dumps(value, separators=(",", ":")).encode() if value is not None else b""
    )
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
        "Content-Type: application/json\r\nX-Cuminhill-Deadline-Ms: 3000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            data = await reader.read(-1)
        status = int(data.split(b" ", 2)[1])
        content = data.partition(b"\r\n\r\n")[2]
        return status, json.loads(content) if content else None
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


async def wait_ready(nodes: list[Node], timeout_s: float = 25.0) -> None:
    """Wait until all nodes say that they are ready."""
    until = time.monotonic() + timeout_s
    for node in nodes:
        while (await call(node.ready, "GET", "/-/ready", timeout_s=1.0))[0] != 200:
            if time.monotonic() > until or not node.alive():
                raise NotRunError(f"{node.name} is not ready")
            await asyncio.sleep(0.1)


def leader_of(nodes: list[Node]) -> Node | None:
    """Return the node that has begun the newest term, by the logs."""
    newest, found = -1, None
    for node in nodes:
        for item in re.finditer(r"^.*term begun.*$", node.log_text(), re.M):
            term = re.search(r'term"?[=:] ?"?(\d+)', item[0].replace("term begun", ""))
            if term is not None and int(term[1]) > newest:
                newest, found = int(term[1]), node
    return found


async def wait_leader(nodes: list[Node], timeout_s: float = 15.0) -> Node:
    """Wait until one node leads; return it."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        node = leader_of(nodes)
        if node is not None:
            return node
        await asyncio.sleep(0.1)
    raise NotRunError("no term has begun")


async def _run_within(case: Awaitable[int], nodes: list[Node]) -> int:
    """Run a case within its time; end the processes before the stand-ins."""
    try:
        return await asyncio.wait_for(case, CASE_TIMEOUT_S)
    finally:
        for node in nodes:
            node.end()
        await asyncio.sleep(0.2)


def run_case(
    folder: Path, case: Callable[[Record, Path, list[Node]], Awaitable[int]]
) -> int:
    """Run a case; return the exit code, and end all processes."""
    record = Record(folder / "record.txt")
    scratch = Path(tempfile.mkdtemp(prefix="cuminhill-review-"))
    nodes: list[Node] = []
    try:
        code = asyncio.run(_run_within(case(record, scratch, nodes), nodes))
    except (NotRunError, TimeoutError) as exc:
        record.note(f"not run: {exc!r}")
        code = NOT_RUN
    finally:
        for node in nodes:
            node.end()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {scratch}")
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.note({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code])
    record.write()
    return code


def make_nodes(n: int, scratch: Path, platform: Platform) -> list[Node]:
    """Return nodes with settings, one loopback address each."""
    zones = ("tainan", "chiayi", "pingtung")
    nodes = []
    for number in range(n):
        zone = zones[number % len(zones)]
        node = Node(f"front-{zone}-{number}", f"127.0.0.{number + 11}", zone, scratch)
        node.prepare(platform)
        nodes.append(node)
    return nodes


async def enforce_memory(record: Record, nodes: list[Node], ends: list[str]) -> None:
    """Kill processes over their memory and start them again, as the platform does."""
    while True:
        for node in nodes:
            used_mb = node.memory_mb()
            if used_mb > MEMORY_MB:
                record.note(f"{node.name} uses {used_mb:.0f} of {MEMORY_MB} MB: killed")
                node.send(signal.SIGKILL)
                node.end()
                ends.append(node.name)
                await asyncio.sleep(RESTART_S)
                node.start()
        await asyncio.sleep(0.05)


def is_fault(record: Record, nodes: list[Node], ends: list[str]) -> bool:
    """Return whether processes ended three times on a tenth of the machines, two."""
    record.note(f"{len(ends)} processes over their memory: {', '.join(ends)}")
    often = [node for node in nodes if ends.count(node.name) >= MIN_ENDS]
    record.note(f"{len(often)} machines on which a process ended {MIN_ENDS} times")
    return len(often) >= max(MIN_MACHINES, len(nodes) / 10)
