"""Cost of a leader by the number of its workers, as used in docs/CAPACITY.md."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from typing import Any

from standins.processes import process_cluster

from .end_to_end import _cpu_s, _memory_mb, _rate, _traffic
from .figures import figure

BENCH = "capacity"
SIZES = (8, 24, 72)  # workers of one shard
SETTLE_S = 4.0
MEASURE_S = 8.0


def run() -> list[dict[str, Any]]:
    """Return processor, memory and traffic of an idle leader at three sizes."""
    return [row for n_workers in SIZES for row in _leader_cost(n_workers)]


def _leader_cost(n_workers: int) -> list[dict[str, Any]]:
    with (
        tempfile.TemporaryDirectory() as directory,
        process_cluster(
            Path(directory), {"Tainan": n_workers}, {"Tainan": 2}
        ) as cluster,
    ):
        time.sleep(SETTLE_S)
        leader = cluster.leader("Tainan")
        assert leader is not None
        assert leader.process is not None
        pid = leader.process.pid
        traffic, cpu_s, at = _traffic(leader), _cpu_s(pid), time.monotonic()
        time.sleep(MEASURE_S)
        cpu_fraction = (_cpu_s(pid) - cpu_s) / (time.monotonic() - at)
        rates = _rate(leader, traffic, at)
        memory_mb = _memory_mb(pid)
    rows = [
        ("processor", cpu_fraction, "share of a core"),
        ("memory", memory_mb, "MB"),
        ("traffic", sum(rates.values()), "bytes/s"),
    ]
    note = f"idle leader, {MEASURE_S:g} s"
    return [
        figure(BENCH, f"{n_workers} workers {name}", value, unit, note=note)
        for name, value, unit in rows
    ]
