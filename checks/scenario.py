"""A run under load: injects faults, ends them and checks the history."""

from __future__ import annotations

import contextlib
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from standins.processes import call, wait_until

from .collect import collect
from .history import History, Leaving, PlannedStop, add_worker_state
from .load import Load
from .operators import Operators
from .promises import CONFIG_BOUND_S, check_all

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.processes import DaemonProcess, ProcessCluster

    from .promises import Violation

DRAIN_BOUND_S = 40.0  # above the daemon's grace time for requests in progress
READY_BOUND_S = 25.0
WARM_UP_S = 0.4
CONFIG_SETTLE_S = 0.5  # reads go on past the bound, so that it is checked
PLATFORM_SERVICES = ["log", "vm_list"]


@dataclass(eq=False)
class Scenario:
    """A running cluster under load.

    Parameters
    ----------
    cluster : ProcessCluster
        Cluster under test, with relays if partitions are used.
    load : Load
        Load on the cluster.
    domain : str
        Failure domain in which faults are injected.
    since : float, seconds
        Monotonic start of the scenario.
    """

    cluster: ProcessCluster
    load: Load
    domain: str = "Tainan"
    history: History = field(default_factory=History)
    since: float = field(default_factory=time.monotonic)
    paused: list[DaemonProcess] = field(default_factory=list)
    dead_workers: set[str] = field(default_factory=set)
    operators: Operators | None = None
    reached: bool = True  # whether the step's gate held a request

    def start_operators(self) -> None:
        """Start operators that publish and read configurations until the end."""
        self.operators = Operators(
            self.cluster, self.history, self.load.seed, self.load.prefix
        )
        self.operators.start()

    def leader(self) -> DaemonProcess:
        """Wait until the domain has a leader, and return it."""
        found = wait_until(lambda: self.cluster.leader(self.domain), READY_BOUND_S)
        assert found is not None
        return found

    def workers(self) -> list[str]:
        """Return the workers of the domain."""
        prefix = f"{self.domain.lower()}-w"
        return sorted(
            name for name in self.cluster.addresses if name.startswith(prefix)
        )

    def kill(self, daemon: DaemonProcess) -> None:
        """Kill a daemon and wait for the end of its process."""
        daemon.send(signal.SIGKILL)
        assert daemon.process is not None
        daemon.process.wait()

    def pause(self, daemon: DaemonProcess) -> None:
        """Suspend a daemon's process until `resume`."""
        daemon.send(signal.SIGSTOP)
        self.paused.append(daemon)

    def resume(self) -> None:
        """Continue all paused processes."""
        while self.paused:
            daemon = self.paused.pop()
            if daemon.running:
                daemon.send(signal.SIGCONT)

    def drain(self, daemon: DaemonProcess) -> PlannedStop:
        """Request a graceful stop of a daemon and record it."""
        stop = PlannedStop(daemon.vm, time.monotonic(), None)
        with contextlib.suppress(OSError):
            call("POST", daemon.http_address, "/v1/drain", {})
        self.history.stops.append(stop)
        return stop

    def isolate(self, daemon: DaemonProcess, *, peers: bool, platform: bool) -> None:
        """Partition a daemon from its peers, the platform's services or both."""
        if peers:
            others = [vm for vm in self.cluster.daemons if vm != daemon.vm]
            self.cluster.cut(*((daemon.vm, vm) for vm in others))
        if platform:
            self.cluster.block(PLATFORM_SERVICES, [daemon.vm])

    def kill_worker(self, worker_id: str) -> None:
        """Restart a worker, which loses its tasks, and make it unreachable."""
        self.cluster.set_faults(worker_id, down=True)
        self.dead_workers.add(worker_id)
        call("POST", self.cluster.addresses[worker_id], "/die", {})

    def set_worker(self, worker_id: str, **values: Any) -> None:
        """Set attributes of a worker stand-in."""
        call("POST", self.cluster.addresses[worker_id], "/set", values)

    def gate(self, name: str, service: str, **match: Any) -> None:
        """Add a gate that holds matching requests at a stand-in."""
        self.cluster.set_faults(service, gate={"name": name, **match})

    def wait_held(self, name: str, services: list[str], timeout_s: float) -> bool:
        """Wait for a gate to hold a request; return whether it does in time."""
        with contextlib.suppress(TimeoutError):
            return bool(
                wait_until(
                    lambda: any(self.cluster.n_held(item, name) for item in services),
                    timeout_s,
                )
            )
        return False

    def end_faults(self) -> None:
        """End all faults and restart the daemons that were killed or drained."""
        self.resume()
        self.cluster.clear_faults()
        self.dead_workers.clear()
        for worker_id in {item.worker_id for item in self._leaving()}:
            call("POST", self.cluster.addresses[worker_id], "/die", {})
        for stop in self.history.stops:
            self._await_stop(stop)
        for daemon in self.cluster.daemons.values():
            if not daemon.running:
                self.cluster.restart(daemon.vm)
        self.cluster.wait_ready(READY_BOUND_S)
        self.history.quiet_at = time.monotonic()

    def finish(self) -> list[Violation]:
        """End the faults and the load, and return the violations."""
        self.end_faults()
        self.load.stop()
        if self.operators is not None:
            self.operators.stop(CONFIG_BOUND_S + CONFIG_SETTLE_S)
        collect(self.cluster, self.load, self.since, self.history)
        return check_all(self.history)

    def clean_up(self) -> None:
        """Cancel all services, so that the next scenario finds free workers."""
        vm = next(vm for vm, item in self.cluster.daemons.items() if item.running)
        for spec in self.load.specs:
            if spec.kind == "service":
                self.load.cancel(spec, vm)

    def _leaving(self) -> list[Leaving]:
        seen = History()
        for worker_id, state in self.cluster.worker_states().items():
            add_worker_state(seen, worker_id, state)
        return [item for item in seen.leaving if item.until == float("inf")]

    def _await_stop(self, stop: PlannedStop) -> None:
        process = self.cluster.daemons[stop.vm].process
        if process is None or stop.exit_code is not None:
            return
        with contextlib.suppress(TimeoutError):
            wait_until(lambda: process.poll() is not None, DRAIN_BOUND_S)
        stop.exit_code = process.poll()


@contextlib.contextmanager
def scenario(
    cluster: ProcessCluster, prefix: str, seed: int = 1, **load: Any
) -> Iterator[Scenario]:
    """Run load on a cluster for the duration of a ``with`` block."""
    running = Scenario(cluster, Load(cluster, prefix, seed, **load))
    running.load.start()
    time.sleep(WARM_UP_S)
    try:
        yield running
    finally:
        if running.operators is not None:
            running.operators.stop()
        running.resume()
        running.load.stop()
        cluster.clear_faults()
        with contextlib.suppress(OSError, StopIteration):
            running.clean_up()
