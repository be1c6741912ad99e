"""Processor time of the HTTP server for ordinary requests, against another build.

``CUMINHILL_BASELINE`` names a checkout of that build; without it there is no ratio.
"""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import curio

from cuminhill.util.http import make_http_client
from standins.processes import HOST

from .figures import figure

if TYPE_CHECKING:
    from collections.abc import Iterator

BENCH = "requests"
ROOT = Path(__file__).parents[1]
SERVE = "from bench.end_to_end import serve_bare; serve_bare()"
BODY_BYTES = {"200 B": 200, "2 KB": 2000, "256 KB": 260_000}
N_REQUESTS = {"200 B": 500, "2 KB": 500, "256 KB": 100}
N_ROUNDS = 30  # builds take turns, so that other load slows both
N_WARM_UP = 50


def run() -> list[dict[str, Any]]:
    """Return the least processor time of a request by the size of its body."""
    baseline = os.environ.get("CUMINHILL_BASELINE")
    roots = [ROOT, Path(baseline)] if baseline else [ROOT]
    least: dict[tuple[Path, str], float] = {}
    with contextlib.ExitStack() as stack:
        servers = [(root, *stack.enter_context(_server(root))) for root in roots]
        for _ in range(N_ROUNDS):
            for name in BODY_BYTES:
                for root, pid, address in servers:
                    used = curio.run(_measure, pid, address, name)
                    least[root, name] = min(used, least.get((root, name), used))
    return [
        figure(
            BENCH,
            f"server processor time per request, body of {name}",
            least[ROOT, name] * 1e6,
            "us",
            baseline=least[roots[1], name] * 1e6 if baseline else None,
        )
        for name in BODY_BYTES
    ]


@contextlib.contextmanager
def _server(root: Path) -> Iterator[tuple[int, str]]:
    process = subprocess.Popen(
        [sys.executable, "-c", SERVE],
        cwd=root,
        env=os.environ | {"PYTHONPATH": str(root)},
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        yield process.pid, f"{HOST}:{int(process.stdout.readline())}"
    finally:
        process.kill()
        process.wait()


def _processor_s(pid: int) -> float:
    """Return the processor time of a process in user and kernel mode."""
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


async def _measure(pid: int, address: str, name: str) -> float:
    client = make_http_client(address)
    value = "x" * BODY_BYTES[name]
    n_requests = N_REQUESTS[name]
    for _ in range(N_WARM_UP):
        await client.request("POST", "/", value)
    before = _processor_s(pid)
    for _ in range(n_requests):
        status, _ = await client.request("POST", "/", value)
        if status != 200:
            raise RuntimeError(f"status {status}")
    used = _processor_s(pid) - before
    await client.close()
    return used / n_requests
