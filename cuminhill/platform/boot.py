"""Settings of a process on the users' platform, and the node built from them.

The platform renders the settings file from the template ``deploy/node.toml``.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationInfo, field_validator

from ..clock import PROCESS_STARTED_AT
from ..errors import SettingsError
from ..jobs.fleet import LeaseTimes
from ..jobs.node import Backends, JobNode, NodeOptions
from ..jobs.packing import REMOTE_SLOWDOWN
from ..jobs.placer import PlacerTimes
from ..rpc import RpcLimits
from ..util.http import MAX_HEADER_BYTES, HttpLimits, HttpServer
from ..util.receiving import HANDLING_COST, RECEIVING_COST, ReceiveBudget
from ..util.tables import describe_problems, read_toml, validate_model
from .jobapi import JobApi
from .store import CONFIG_TOPIC, JOURNAL_TOPIC, WORKERS_TOPIC, make_topic
from .wire import decode_queue_table, decode_worker_entry
from .workerclient import PlatformWorkerClient, make_advice_client

if TYPE_CHECKING:
    from pathlib import Path

# Lease requested by each renewal. It outlasts a change of the placer, which takes 2 to
# 3 s, and is short enough that a lost worker's tasks are soon placed elsewhere.
LEASE_S = 5.0
# Processor and link capacity that a placer of 350 workers needs: it uses 0.3 of a core
# on average on a heavy day, and cannot keep up on a link of 10 Mbit/s.
PLACER_CORES = 1.0
PLACER_LINK_MBPS = 100.0
RPC_PORT_INDEX = 0  # offset from `first_free_port`
MAX_CALLER_CONNECTIONS = 1000
# File descriptors left for connections to the store, workers and other VMs.
RESERVED_DESCRIPTORS = 400
CALLER_IDLE_TIMEOUT_S = 120.0
# An open connection takes about 22 KB, and up to 16 KB of a further request.
CALLERS_PER_MB = 4
MIN_CALLER_CONNECTIONS = 50
# The smallest VM of a known deployment, if the settings don't tell the memory.
DEFAULT_MEMORY_MB = 160.0
MAX_MEMORY_MB = 1e9
# Fraction of the memory for requests that are received and not yet handled, of which
# a half is for unfinished ones and a quarter each for callers' and peers' requests.
BUDGET_FRACTION = 0.1
# Full-size bodies that must fit besides each other.
MIN_FULL_BODIES = 4
# Records above 256 KB are refused by the journal, so no larger body has a use.
FULL_BODY_BYTES = 1 << 18
MAX_BODY_BYTES = 1 << 20  # whatever the configuration permits
# One connection for each of up to 300 other VMs, and some more after a partition. A
# frame contains a record of 250 KB at most, which doubles if all of its characters are
# escaped.
RPC_LIMITS = RpcLimits(
    max_connections=512, max_frame_bytes=640 << 10, max_calls=512, max_total_calls=1024
)
READY_LIMITS = HttpLimits(max_connections=16, max_body_bytes=4096)


class PlatformSettings(BaseModel):
    """Settings of one process; the fields are the keys of the template."""

    model_config = ConfigDict(extra="forbid")

    vm: str
    failure_domain: str
    host: str
    front_address: str
    ready_address: str
    first_free_port: int
    inspection_address: str
    store_address: str
    advice_address: str = ""
    max_descriptors: int = 1024
    processor_share: float = 1.0
    processor_speed: float = 1.0
    link_mbps: float = 1000.0
    max_lease_ms: float = 6000.0
    keep_state_s: float = 120.0
    grace_s: float = 6.0
    remote_slowdown: float = Field(default=REMOTE_SLOWDOWN, ge=1.0, le=100.0)
    max_wait_factor: float = Field(0.0, ge=0.0)
    memory_mb: float = DEFAULT_MEMORY_MB
    receive_budget_mb: float = 0.0

    @field_validator("memory_mb", "remote_slowdown", mode="before")
    @classmethod
    def _default_for_no_text(cls, value: Any, info: ValidationInfo) -> Any:
        """Return the default for the text that a template gives without a value."""
        if value == "" and info.field_name is not None:
            return cls.model_fields[info.field_name].default
        return value

    @field_validator("memory_mb", "receive_budget_mb")
    @classmethod
    def _check_size(cls, value: float) -> float:
        if not 0 <= value < MAX_MEMORY_MB:
            raise ValueError(f"from 0 to {MAX_MEMORY_MB}")
        return value


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and validate the settings of this process.

    Raises
    ------
    SettingsError
        If the file cannot be read or a setting is wrong.
    """
    content = read_toml(path, "settings")
    value, problems = validate_model(PlatformSettings, content)
    if value is None:
        lines = describe_problems(problems, [(str(path), content)])
        raise SettingsError("; ".join(lines), step="settings", peer=str(path))
    return value


def placer_fitness(cfg: PlatformSettings) -> float:
    """Return how well suited this VM is to be the placer, from 0 to 1."""
    cores = cfg.processor_share * cfg.processor_speed
    fitness = min(1.0, cores / PLACER_CORES) * min(
        1.0, cfg.link_mbps / PLACER_LINK_MBPS
    )
    return round(fitness, 1)


def make_budget(cfg: PlatformSettings) -> ReceiveBudget:
    """Return the memory for requests that are received and not yet handled."""
    total = int((cfg.receive_budget_mb or cfg.memory_mb * BUDGET_FRACTION) * (1 << 20))
    full_body = FULL_BODY_BYTES + MAX_HEADER_BYTES
    budget = ReceiveBudget(
        max(total // 2, MIN_FULL_BODIES * RECEIVING_COST * full_body)
    )
    for name in ("callers", "peers"):
        budget.share(name).limit_bytes = max(total // 4, HANDLING_COST * full_body)
    return budget


def make_node(cfg: PlatformSettings) -> JobNode:
    """Return a node built from the settings."""
    rng = random.Random(f"{cfg.vm}.{time.time_ns()}")
    backends = Backends(
        journal=make_topic(JOURNAL_TOPIC, cfg.store_address, cfg.host),
        config=make_topic(CONFIG_TOPIC, cfg.store_address, cfg.host),
        registry=make_topic(WORKERS_TOPIC, cfg.store_address, cfg.host),
        calls=PlatformWorkerClient(cfg.host),
        advice=make_advice_client(cfg.advice_address or cfg.store_address, cfg.host),
        decode_table=decode_queue_table,
        decode_worker=decode_worker_entry,
        config_key="config",
    )
    max_lease_s = cfg.max_lease_ms / 1000
    lease = LeaseTimes(min(LEASE_S, max_lease_s), max_lease_s)
    options = NodeOptions(
        vm=cfg.vm,
        rpc_address=f"{cfg.host}:{cfg.first_free_port + RPC_PORT_INDEX}",
        times=PlacerTimes(lease),
        keep_ended_s=cfg.keep_state_s,
        fitness=placer_fitness(cfg),
        started_at=PROCESS_STARTED_AT,
        rpc_limits=RPC_LIMITS,
        budget=make_budget(cfg),
        max_wait_factor=cfg.max_wait_factor,
        remote_slowdown=cfg.remote_slowdown,
    )
    return JobNode(options, backends, rng)


def make_http_servers(
    cfg: PlatformSettings, node: JobNode
) -> tuple[HttpServer, HttpServer]:
    """Return the servers for callers and for the platform's readiness probe."""
    api = JobApi(node, time.time)
    max_connections = min(
        MAX_CALLER_CONNECTIONS,
        cfg.max_descriptors - RESERVED_DESCRIPTORS,
        int(cfg.memory_mb * CALLERS_PER_MB),
    )
    limits = HttpLimits(
        max_connections=max(MIN_CALLER_CONNECTIONS, max_connections),
        max_body_bytes=MAX_BODY_BYTES,
        idle_timeout_s=CALLER_IDLE_TIMEOUT_S,
    )
    budget = node.budget
    return (
        HttpServer(
            api.handle, limits, budget, "callers", lambda: node.table.max_body_bytes
        ),
        HttpServer(api.handle_ready, READY_LIMITS, budget, "readiness"),
    )
