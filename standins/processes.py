"""Starts stand-ins and daemons as separate processes on loopback.

For tests, benchmarks and the fault matrix; the product itself starts no process.
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

HOST = "127.0.0.1"


def free_port() -> int:
    """Return a TCP port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def call(
    method: str, address: str, path: str, value: Any = None, timeout_s: float = 10.0
) -> tuple[int, Any]:
    """Send one HTTP request and return status and decoded body."""
    data = None if value is None else json.dumps(value).encode()
    req = urllib.request.Request(f"http://{address}{path}", data, method=method)
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as response:
            return response.status, _decode(response.read())
    except urllib.error.HTTPError as exc:
        return exc.code, _decode(exc.read())


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode()


def wait_until(check: Callable[[], Any], timeout_s: float = 10.0) -> Any:
    """Return the first true value of ``check``.

    Raises
    ------
    TimeoutError
        If there is none in time.
    """
    give_up_at = time.monotonic() + timeout_s
    while time.monotonic() < give_up_at:
        with contextlib.suppress(OSError):
            value = check()
            if value:
                return value
        time.sleep(0.02)
    raise TimeoutError(f"{check} was not true within {timeout_s} s")


@dataclass(eq=False)
class DaemonProcess:
    """One daemon as a process."""

    vm: str
    failure_domain: str
    http_address: str
    rpc_address: str
    settings_path: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self, log_path: Path) -> None:
        """Start the process; its log lines go to a file."""
        with log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    "from cuminhill.cmd.daemon import main; main()",
                    "--settings",
                    str(self.settings_path),
                ],
                stderr=log_file,
                stdout=log_file,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        assert self.process is not None
        self.process.send_signal(number)

    def ready(self) -> bool:
        """Return whether the daemon says it is ready."""
        return call("GET", self.http_address, "/readyz")[0] == 200

    def dump(self) -> dict[str, Any]:
        """Return the daemon's state dump."""
        return dict(call("GET", self.http_address, "/v1/dump")[1])


@dataclass(eq=False)
class ProcessCluster:
    """Stand-ins and daemons as separate processes.

    Parameters
    ----------
    directory : Path
        Where settings and log files go.
    """

    directory: Path
    standins: subprocess.Popen[bytes]
    addresses: dict[str, str]
    daemons: dict[str, DaemonProcess] = field(default_factory=dict)

    def add_daemon(
        self, vm: str, failure_domain: str, **settings: Any
    ) -> DaemonProcess:
        """Start a daemon and list its VM."""
        daemon = DaemonProcess(
            vm,
            failure_domain,
            f"{HOST}:{free_port()}",
            f"{HOST}:{free_port()}",
            self.directory / f"{vm}.toml",
        )
        values = {
            "vm": vm,
            "failure_domain": failure_domain,
            "http_address": daemon.http_address,
            "rpc_address": daemon.rpc_address,
            "log_address": self.addresses["log"],
            "vm_list_address": self.addresses["vm_list"],
            **settings,
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        daemon.settings_path.write_text("\n".join(lines) + "\n")
        call(
            "POST",
            self.addresses["vm_list"],
            "/vms",
            {
                "vm": vm,
                "role": "entry",
                "address": daemon.rpc_address,
                "failure_domain": failure_domain,
                "state": "live",
            },
        )
        daemon.start(self.directory / f"{vm}.log")
        self.daemons[vm] = daemon
        return daemon

    def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until each shard has a leader and every daemon knows all leaders."""
        wait_until(self._settled, timeout_s)

    def _settled(self) -> bool:
        domains = {item.failure_domain for item in self.daemons.values()}
        leaders = {domain: self.leader(domain) for domain in domains}
        expected = {
            f"{domain}/0": daemon.vm
            for domain, daemon in leaders.items()
            if daemon is not None
        }
        if len(expected) < len(domains):
            return False
        return all(
            daemon.dump()["routing"]["leaders"] == expected
            for daemon in self.daemons.values()
        )

    def leader(self, failure_domain: str) -> DaemonProcess | None:
        """Return the daemon that leads a domain's only shard, if one does."""
        for daemon in self.daemons.values():
            if daemon.failure_domain != failure_domain or daemon.process is None:
                continue
            if daemon.process.poll() is not None:
                continue
            shard = daemon.dump()["shards"][f"{failure_domain}/0"]
            if shard["leading"] and shard["placer"]["roster_complete"]:
                return daemon
        return None

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set the faults of a stand-in."""
        call("POST", self.addresses[name], "/faults", faults)

    def worker_states(self) -> dict[str, dict[str, Any]]:
        """Return the state of every worker, with violations and history."""
        return {
            name: call("GET", address, "/state")[1]
            for name, address in self.addresses.items()
            if name not in {"log", "vm_list"}
        }

    def close(self) -> None:
        """End all processes that this object started."""
        processes = [item.process for item in self.daemons.values() if item.process]
        for process in [*processes, self.standins]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


@contextlib.contextmanager
def process_cluster(
    directory: Path, workers: dict[str, int], daemons: dict[str, int], **settings: Any
) -> Iterator[ProcessCluster]:
    """Run stand-ins and daemons for the time of a ``with`` block.

    Parameters
    ----------
    directory : Path
        Where settings and log files go.
    workers : dict of str to int
        Number of workers in each failure domain.
    daemons : dict of str to int
        Number of entry VMs in each failure domain.
    settings : dict
        Further settings of every daemon.
    """
    domains = [f"--domain={name}={count}" for name, count in workers.items()]
    standins = subprocess.Popen(
        [sys.executable, "-m", "standins", *domains], stdout=subprocess.PIPE
    )
    assert standins.stdout is not None
    addresses = json.loads(standins.stdout.readline())
    cluster = ProcessCluster(directory, standins, addresses)
    try:
        for domain, count in daemons.items():
            for index in range(count):
                cluster.add_daemon(f"{domain.lower()}-e{index}", domain, **settings)
        cluster.wait_ready()
        yield cluster
    finally:
        cluster.close()
