"""Starts the daemons of entry VMs with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .http import request

if TYPE_CHECKING:
    from .record import Record

ROOT = Path(__file__).resolve().parents[2]
ROLE = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]


def free_host() -> str:
    """Return a loopback address that nothing else is likely to use."""
    return f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.2"


def free_port(host: str) -> int:
    """Return a TCP port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def render(template: str, settings: dict[str, Any]) -> str:
    """Fill in the settings template as DEPLOY.md says, for the forms it uses."""

    def look_up(name: str) -> Any:
        value: Any = settings
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        return value

    def section(match: re.Match[str]) -> str:
        return match[2] if look_up(match[1]) else ""

    def fill(match: re.Match[str]) -> str:
        value = look_up(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


@dataclass
class Node:
    """One entry VM."""

    name: str
    folder: Path
    store_address: str
    record: Record
    zone: str = "z1"
    host: str = field(default_factory=free_host)
    front: str = ""
    ready: str = ""
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        self.front = f"{self.host}:{free_port(self.host)}"
        self.ready = f"{self.host}:{free_port(self.host)}"
        settings = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.host,
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [free_port(self.host)],
            "platform": {"addr": self.store_address},
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "link_mbps": 1000.0,
                "max_fds": 4100,
            },
            "bounds": {"hold_max_ms": 6000, "status_s": 120, "grace_s": 6},
            "advice": None,
        }
        template = (ROOT / ROLE["template"]).read_text()
        self.path = self.folder / f"{self.name}.toml"
        self.path.write_text(render(template, settings))

    def start(self) -> None:
        """Start the process."""
        path = os.pathsep.join([str(ROOT / "target/deps"), str(ROOT)])
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {"PYTHONPATH": path, "CUMINHILL_BOOT": str(self.path)}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ROLE["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.add("node started", node=self.name, pid=self.process.pid)

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record.add("signal", node=self.name, signal=signum.name)
            self.process.send_signal(signum)

    async def wait_for_end(self, timeout_s: float) -> None:
        """Wait until the process has ended; kill it after the timeout."""
        for _ in range(int(timeout_s / 0.02)):
            if self.process is None or self.process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        else:
            self.send_signal(signal.SIGKILL)
        if self.process is not None:
            status = self.process.wait()
            self.record.add("node ended", node=self.name, status=status)

    async def is_ready(self) -> bool:
        """Return whether the platform would send callers here."""
        status, _ = await request(self.ready, "GET", "/-/ready", timeout_s=1.0)
        return status == 200
