"""Operators that publish configurations concurrently, and a reader of the result."""

from __future__ import annotations

import contextlib
import random
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from cuminhill.siteconfig import parse_config
from standins.processes import call

from .history import ConfigRead, Publication

if TYPE_CHECKING:
    from standins.processes import DaemonProcess, ProcessCluster

    from .history import History

CALL_TIMEOUT_S = 7.0
READ_INTERVAL_S = 0.05
PUBLISH_INTERVAL_S = 0.1
WEIGHT_STEP = 0.001  # makes the weight of each publication unique


@dataclass(eq=False)
class Operators:
    """Threads that publish and read configurations until `stop`.

    Parameters
    ----------
    cluster : ProcessCluster
        Cluster on which they run.
    history : History
        Receives the publications and reads.
    seed : int
        Seed of the choice of entry VMs.
    prefix : str
        Prefix of the publication ids. It must differ between runs on one cluster,
        since a repeated id gets the outcome of its first publication.
    n_operators : int, default=2
        Number of concurrent operators.
    """

    cluster: ProcessCluster
    history: History
    seed: int
    prefix: str
    n_operators: int = 2
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start the threads."""
        for number in range(self.n_operators):
            thread = threading.Thread(target=self._publish, args=(number,))
            self._threads.append(thread)
        self._threads.append(threading.Thread(target=self._read))
        for thread in self._threads:
            thread.start()

    def stop(self, settle_s: float = 0.0) -> None:
        """Let the threads go on for a time to settle, then stop them."""
        time.sleep(settle_s)
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _daemons(self) -> list[DaemonProcess]:
        return [item for item in self.cluster.daemons.values() if item.running]

    def _publish(self, number: int) -> None:
        rng = random.Random(self.seed * 100 + number)
        count = 0
        while not self._stopped.is_set():
            time.sleep(rng.uniform(0.0, PUBLISH_INTERVAL_S))
            daemon = rng.choice(self._daemons())
            with contextlib.suppress(OSError):
                count += 1
                self._publish_once(daemon, number, count)

    def _publish_once(self, daemon: DaemonProcess, number: int, count: int) -> None:
        status, now = call("GET", daemon.http_address, "/v1/config", timeout_s=2.0)
        if status != 200:
            return
        config: dict[str, Any] = now["config"]
        config["weights"]["waiting"] = 1.0 + WEIGHT_STEP * (
            number + 10 * count + self.seed
        )
        digest = parse_config(config, "operator").digest()
        body = {
            "publication_id": f"{self.prefix}-{number}-{count}",
            "author": f"operator-{number}",
            "base_revision": now["revision"],
            "config": config,
        }
        invoked_at = time.monotonic()
        status, value = call(
            "POST", daemon.http_address, "/v1/config", body, timeout_s=CALL_TIMEOUT_S
        )
        accepted = status == 200
        if status not in {200, 409}:
            return
        self.history.publications.append(
            Publication(
                daemon.vm,
                invoked_at,
                time.monotonic(),
                accepted,
                value["revision"],
                digest if accepted else "",
            )
        )

    def _read(self) -> None:
        while not self._stopped.is_set():
            for daemon in self._daemons():
                with contextlib.suppress(OSError):
                    self._read_once(daemon)
            time.sleep(READ_INTERVAL_S)

    def _read_once(self, daemon: DaemonProcess) -> None:
        before = time.monotonic()
        status, now = call("GET", daemon.http_address, "/v1/config", timeout_s=0.5)
        if status == 200:
            # A read is judged by the time of its request: a configuration that came
            # into force while the answer was in transit need not be in it.
            self.history.config_reads.append(
                ConfigRead(daemon.vm, before, now["revision"], now["digest"])
            )
