"""Runs the stand-ins of a platform: log service, VM list and workers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import curio

from cuminhill.coordination.configstream import Publication, config_record_to_dict
from cuminhill.model import Resources
from cuminhill.siteconfig import load_config
from cuminhill.util.http import HttpServer

from .faults import Faults, with_faults
from .log_service import LogService
from .relay import Relays
from .vm_list import VmList
from .worker import Worker

if TYPE_CHECKING:
    from .faults import Handler

HOST = "127.0.0.1"
SITE_FILE = Path(__file__).parent.parent / "config" / "formosa.toml"


def first_publication(at: float) -> dict[str, Any]:
    """Return the record that publishes the configuration of Formosa.

    Parameters
    ----------
    at : float, seconds since the epoch
        Time of the record.
    """
    site = load_config(SITE_FILE).to_dict()
    return config_record_to_dict(Publication("first", "stand-in", 0, site, at))


@dataclass(eq=False)
class ServedStandin:
    """A stand-in behind its HTTP server."""

    server: HttpServer
    faults: Faults

    @property
    def address(self) -> str:
        """``"host:port"`` of the server."""
        return f"{self.server.host}:{self.server.port}"


@dataclass(eq=False)
class Cluster:
    """The stand-ins of a platform in this process."""

    log: LogService = field(default_factory=LogService)
    vm_list: VmList = field(default_factory=VmList)
    relays: Relays = field(default_factory=Relays)
    workers: dict[str, Worker] = field(default_factory=dict)
    served: dict[str, ServedStandin] = field(default_factory=dict)

    async def serve(self, name: str, handler: Handler, port: int = 0) -> ServedStandin:
        """Serve a handler with fault injection; port 0 chooses a free one."""
        faults = Faults()
        server = HttpServer(with_faults(handler, faults))
        await server.start(HOST, port)
        self.served[name] = ServedStandin(server, faults)
        return self.served[name]

    async def add_worker(self, worker: Worker) -> None:
        """Serve a worker and register it in the VM list."""
        served = await self.serve(worker.worker_id, worker.handle)
        self.workers[worker.worker_id] = worker
        await curio.spawn(worker.run_watchdog, daemon=True)
        self.vm_list.put(
            {
                "vm": worker.worker_id,
                "role": "worker",
                "address": served.address,
                "failure_domain": worker.failure_domain,
                "state": "live",
            },
            time.monotonic(),
        )

    def add_entry_vm(self, vm: str, address: str, failure_domain: str) -> None:
        """Register an entry VM in the VM list."""
        self.vm_list.put(
            {
                "vm": vm,
                "role": "entry",
                "address": address,
                "failure_domain": failure_domain,
                "state": "live",
            },
            time.monotonic(),
        )


async def make_cluster(
    failure_domains: dict[str, int],
    *,
    cores: float = 16.0,
    memory_mb: float = 65536.0,
    slots: float = 8.0,
    connections: float = 64.0,
    workers_per_rack: int = 8,
) -> Cluster:
    """Serve a log, a VM list and some workers.

    Parameters
    ----------
    failure_domains : dict of str to int
        Number of workers in each failure domain.
    cores, memory_mb, slots, connections : float
        Capacity of each worker.
    workers_per_rack : int
        Number of workers in a rack.
    """
    cluster = Cluster()
    await cluster.serve("log", cluster.log.handle)
    await cluster.serve("vm_list", cluster.vm_list.handle)
    await cluster.serve("relays", cluster.relays.handle)
    for failure_domain, n_workers in failure_domains.items():
        for index in range(n_workers):
            await cluster.add_worker(
                Worker(
                    f"{failure_domain.lower()}-w{index}",
                    Resources(cores, memory_mb, 0.0, slots, connections),
                    rack=f"{failure_domain.lower()}-r{index // workers_per_rack}",
                    failure_domain=failure_domain,
                )
            )
    return cluster
