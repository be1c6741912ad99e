"""Starts stand-ins and daemons as separate processes on the loopback interface.

Used by tests, benchmarks and the fault matrix; the product itself starts no process.
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

from cuminhill.coordination.ownership import leader_of

from .cluster import first_publication

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

HOST = "127.0.0.1"
DAEMON_ENTRY = "from cuminhill.cmd.daemon import main; main()"
NO_FAULTS = {
    "down": False,
    "refuse": False,
    "delay_s": 0.0,
    "n_lost_replies": 0,
    "blocked": [],
    "lose_next": None,
    "release": "*",
}
SERVICES = frozenset({"log", "vm_list", "relays"})


def free_port(host: str = HOST) -> int:
    """Return a TCP port that is free now; another process may take it."""
    with socket.socket() as sock:
        sock.bind((host, 0))
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
    """Call ``check`` until it returns a true value, and return that.

    An `OSError` counts as false, since a process may not listen yet.

    Raises
    ------
    TimeoutError
        If no value is true in time.
    """
    give_up_at = time.monotonic() + timeout_s
    while time.monotonic() < give_up_at:
        with contextlib.suppress(OSError):
            value = check()
            if value:
                return value
        time.sleep(0.02)
    raise TimeoutError(f"{check} was not true within {timeout_s} s")


def _leads(dump: dict[str, Any], shard: str) -> bool:
    """Return whether a daemon leads a shard and has heard all of its workers."""
    state = dump["shards"][shard]
    return bool(state["leading"] and state["placer"]["roster_complete"])


def _alive_members(dump: dict[str, Any]) -> dict[str, str]:
    """Return the incarnation of each VM that a daemon considers alive."""
    return {
        item["vm"]: item["incarnation"]
        for item in dump["members"]
        if item["state"] == "alive"
    }


@dataclass(eq=False)
class DaemonProcess:
    """One daemon in a process of its own."""

    vm: str
    failure_domain: str
    http_address: str
    rpc_address: str
    settings_path: Path
    entry: str = DAEMON_ENTRY
    process: subprocess.Popen[bytes] | None = None

    def start(self, log_path: Path) -> None:
        """Start the process; its output is appended to a file."""
        with log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    self.entry,
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

    @property
    def host(self) -> str:
        """IP address of the daemon."""
        return self.rpc_address.rpartition(":")[0]

    @property
    def running(self) -> bool:
        """Whether the process exists; it may be paused."""
        return self.process is not None and self.process.poll() is None

    def ready(self) -> bool:
        """Return whether the daemon reports that it is ready."""
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
    relays : bool, default=False
        Whether daemons call each other through relays that can simulate partitions.
    entry : str
        Python statements that start a daemon; a test may patch the product first.
    """

    directory: Path
    standins: subprocess.Popen[bytes]
    addresses: dict[str, str]
    relays: bool = False
    entry: str = DAEMON_ENTRY
    daemons: dict[str, DaemonProcess] = field(default_factory=dict)

    def add_daemon(
        self, vm: str, failure_domain: str, **settings: Any
    ) -> DaemonProcess:
        """Start a daemon and register its VM in the VM list."""
        # Each daemon has its own IP address, so that faults can match the caller.
        host = f"127.0.0.{len(self.daemons) + 2}"
        daemon = DaemonProcess(
            vm,
            failure_domain,
            f"{host}:{free_port(host)}",
            f"{host}:{free_port(host)}",
            self.directory / f"{vm}.toml",
            self.entry,
        )
        advertised = self._relayed(daemon.rpc_address)
        values = {
            "vm": vm,
            "failure_domain": failure_domain,
            "http_address": daemon.http_address,
            "rpc_address": daemon.rpc_address,
            "rpc_advertise": advertised,
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
                "address": advertised,
                "failure_domain": failure_domain,
                "state": "live",
            },
        )
        daemon.start(self.directory / f"{vm}.log")
        self.daemons[vm] = daemon
        return daemon

    def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until every shard has its lasting leader and every daemon knows it.

        A leader that does not rank first among the running daemons of its failure
        domain is replaced as soon as the first-ranked one joins, and answers to checks
        do not survive that.
        """
        wait_until(self._settled, timeout_s)

    def _settled(self) -> bool:
        running = [item for item in self.daemons.values() if item.running]
        dumps = {daemon.vm: daemon.dump() for daemon in running}
        incarnations = {vm: dump["incarnation"] for vm, dump in dumps.items()}
        expected: dict[str, str] = {}
        for domain in {item.failure_domain for item in running}:
            shard = f"{domain}/0"
            vms = [item.vm for item in running if item.failure_domain == domain]
            leader = leader_of(shard, vms)
            assert leader is not None
            if not _leads(dumps[leader], shard):
                return False
            expected[shard] = leader
        return all(
            incarnations.items() <= _alive_members(dump).items()
            and dump["routing"]["leaders"] == expected
            for dump in dumps.values()
        )

    def leader(self, failure_domain: str) -> DaemonProcess | None:
        """Return the daemon that leads a domain's only shard, if one does."""
        for daemon in self.daemons.values():
            if daemon.failure_domain != failure_domain or not daemon.running:
                continue
            if _leads(daemon.dump(), f"{failure_domain}/0"):
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
            if name not in SERVICES
        }

    def restart(self, vm: str) -> None:
        """Start a daemon that has ended again, as a new incarnation of its VM."""
        daemon = self.daemons[vm]
        if daemon.process is not None:
            daemon.process.wait()
        daemon.start(self.directory / f"{vm}.log")

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Partition exactly these pairs of VMs; heal all others."""
        hosts = [[self.daemons[vm].host for vm in pair] for pair in pairs]
        call("POST", self.addresses["relays"], "/cuts", {"pairs": hosts})

    def block(self, names: list[str], vms: list[str]) -> None:
        """Make these stand-ins unreachable for exactly these VMs."""
        for name in names:
            self.set_faults(name, blocked=[self.daemons[vm].host for vm in vms])

    def n_held(self, name: str, gate: str) -> int:
        """Return the number of requests that a gate of a stand-in holds."""
        value = call("GET", self.addresses[name], "/faults")[1]
        return int(value["gates"].get(gate, 0))

    def clear_faults(self) -> None:
        """End all faults of the stand-ins and relays and release all gates."""
        for name, address in self.addresses.items():
            if name != "relays":
                call("POST", address, "/faults", NO_FAULTS)
            if name not in SERVICES:
                call("POST", address, "/set", {"fail_all": False, "frozen": False})
        call("POST", self.addresses["vm_list"], "/set", {"lag_s": 0, "frozen": False})
        self.cut()

    def _relayed(self, address: str) -> str:
        if not self.relays:
            return address
        body = {"host": HOST, "target": address}
        reply = call("POST", self.addresses["relays"], "/relays", body)[1]
        return str(reply["address"])

    def close(self) -> None:
        """Kill the daemons and the stand-ins."""
        processes = [item.process for item in self.daemons.values() if item.process]
        for process in [*processes, self.standins]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


@contextlib.contextmanager
def process_cluster(
    directory: Path,
    workers: dict[str, int],
    daemons: dict[str, int],
    *,
    relays: bool = False,
    entry: str = DAEMON_ENTRY,
    clock_offsets: dict[str, float] | None = None,
    **settings: Any,
) -> Iterator[ProcessCluster]:
    """Run stand-ins and daemons for the duration of a ``with`` block.

    Parameters
    ----------
    directory : Path
        Where settings and log files go.
    workers : dict of str to int
        Number of workers in each failure domain.
    daemons : dict of str to int
        Number of entry VMs in each failure domain.
    relays, entry
        As in `ProcessCluster`.
    clock_offsets : dict of str to float, default=None
        Offset of the wall clock of each VM, in seconds.
    settings : dict
        Further settings of every daemon.
    """
    domains = [f"--domain={name}={count}" for name, count in workers.items()]
    standins = subprocess.Popen(
        [sys.executable, "-m", "standins", *domains], stdout=subprocess.PIPE
    )
    assert standins.stdout is not None
    addresses = json.loads(standins.stdout.readline())
    cluster = ProcessCluster(directory, standins, addresses, relays, entry)
    call(
        "POST",
        addresses["log"],
        "/streams/config",
        {"records": [first_publication(time.time())]},
    )
    try:
        for domain, count in daemons.items():
            for index in range(count):
                vm = f"{domain.lower()}-e{index}"
                if clock_offsets is not None:
                    settings["wall_clock_offset_s"] = clock_offsets[vm]
                cluster.add_daemon(vm, domain, **settings)
        cluster.wait_ready()
        yield cluster
    finally:
        cluster.close()
