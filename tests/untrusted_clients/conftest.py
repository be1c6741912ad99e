"""Fixtures of the tests with many clients: the node's process and its stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from review.harness.nodes import free_host
from review.harness.store import Store
from standins.processes import wait_until

from .clients import ask

ROOT = Path(__file__).parents[2]
HOST_NAME = "h.example"
# The settings that are lowered exist in all builds, so that the same tests can be run
# on an older one. No setting tells the memory of the VM: the smallest one is assumed.
MAX_DESCRIPTORS = 700
# Below the ports that the system gives to connections: the node connects to the store
# from the same address before all of its listeners are open.
LISTENER_PORTS = range(20_000, 32_000)


class StallingStore(Store):
    """Store whose appends by the node can be held without an answer."""

    stalled = False

    async def _append(self, name, req):
        while self.stalled:
            await asyncio.sleep(0.02)
        return await super()._append(name, req)


@dataclass
class NodeProcess:
    """A node in a process of its own, with a store in a thread of this process."""

    store: Any
    front: str
    ready: str
    inspection: str
    rpc: str
    process: Any = None
    idle: dict[str, int] = field(default_factory=dict)

    def memory(self) -> dict[str, int]:
        """Return VmHWM and VmRSS in bytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        rows = (line.partition(":") for line in status.splitlines())
        return {
            key: int(value.split()[0]) << 10
            for key, _, value in rows
            if key in {"VmHWM", "VmRSS"}
        }

    def n_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def _run_store(store: Any, host: str, addresses: list[str], listening: Any) -> None:
    async def main() -> None:
        addresses.append(await store.server.start(host))
        listening.set()
        await asyncio.Event().wait()

    asyncio.run(main())


@pytest.fixture
def node(tmp_path):
    """Start a node with one queue and wait until it is ready."""
    host, store, addresses = free_host(), StallingStore(), []
    listening = threading.Event()
    route = {
        "name": "q",
        "host": HOST_NAME,
        "path_prefix": "/q/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_duration_ms": 1000,
        "priority": 1,
        "service": "pool",
        "max_attempts": 4,
        "stretch": 2.0,
    }
    config = {"version": 1, "routes": [route], "limits": {"max_body_bytes": 262_144}}
    store.put("keyed.op", "config", json.dumps(config).encode())
    threading.Thread(
        target=_run_store, args=(store, host, addresses, listening), daemon=True
    ).start()
    assert listening.wait(10)
    *others, port = random.sample(LISTENER_PORTS, 4)
    front, ready, inspection = (f"{host}:{other}" for other in others)
    settings = {
        "vm": "front-1",
        "failure_domain": "z1",
        "host": host,
        "front_address": front,
        "ready_address": ready,
        "inspection_address": inspection,
        "first_free_port": port,
        "store_address": addresses[0],
        "max_descriptors": MAX_DESCRIPTORS,
    }
    path = tmp_path / "node.toml"
    lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
    path.write_text("\n".join(lines) + "\n")
    found = NodeProcess(store, front, ready, inspection, f"{host}:{port}")
    with (tmp_path / "node.log").open("wb") as log:
        found.process = subprocess.Popen(
            [sys.executable, "-m", "cuminhill.cmd.node", "--settings", str(path)],
            cwd=ROOT,
            stdout=log,
            stderr=log,
        )
    try:
        wait_until(lambda: _is_ready(found), 30)
        time.sleep(0.5)  # the first term begins and takes its memory
        found.idle = found.memory()
        yield found
    finally:
        found.process.kill()
        found.process.wait()


def _is_ready(found: NodeProcess) -> bool:
    assert found.process.poll() is None
    if not ask(found.ready, "/-/ready", 2.0).startswith(b"HTTP/1.1 200"):
        return False
    return b'"is_leading":true' in ask(found.inspection, "/dump", 2.0)
