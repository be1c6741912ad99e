"""Request times of a daemon against a bare HTTP server; cost of idle daemons."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import curio

from cuminhill.util.http import HttpResponse, HttpServer, make_http_client
from standins.processes import HOST, process_cluster

from .figures import figure, quantile

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cuminhill.util.http import HttpRequest
    from standins.processes import DaemonProcess

BENCH = "end_to_end"
N_WARM_UP = 100
N_REQUESTS = 800  # to each server in one round
N_ROUNDS = 3  # servers take turns, so that other load slows all of them
CONCURRENCIES = (1, 8)
FLOOR_TARGET = 3.0  # ratio to the bare server, which is the floor
IDLE_S = 10.0
SETTLE_S = 3.0
CORE_TARGET = 0.026  # fraction of a core, per node
MEMORY_TARGET_MB = 256.0
TRAFFIC_TARGET = 9000.0  # bytes per second, per node
MB = 1024.0 * 1024.0


def run() -> list[dict[str, Any]]:
    """Return request times against the bare server, and idle cost."""
    return [*_request_times(), *_idle_cost()]


# Request times


def serve_bare(backend: str = "") -> None:
    """Run an HTTP server that only decodes and echoes; print its port.

    Parameters
    ----------
    backend : str
        Address of another such server to forward requests to; empty for none.
    """

    async def main() -> None:
        client = make_http_client(backend, max_idle=64) if backend else None

        async def handle(req: HttpRequest) -> HttpResponse:
            value = req.json()
            if client is not None:
                _, value = await client.request("POST", req.path, value)
            return HttpResponse(200, value)

        server = HttpServer(handle)
        await server.start(HOST, 0)
        print(server.port, flush=True)
        await curio.sleep(3600.0)

    curio.run(main)


@contextlib.contextmanager
def _bare_server(backend: str = "") -> Iterator[str]:
    code = f"from bench.end_to_end import serve_bare; serve_bare({backend!r})"
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    assert process.stdout is not None
    try:
        yield f"{HOST}:{int(process.stdout.readline())}"
    finally:
        process.kill()
        process.wait()


def _body(name: str) -> dict[str, Any]:
    return {
        "request_id": name,
        "kind": "check",
        "run_time_s": 0.0,
        "need": {"cores": 0.1},
    }


async def _load(
    address: str, concurrency: int, label: str
) -> tuple[list[float], float]:
    """Return the time of each request and the total time, in seconds."""
    client = make_http_client(address, max_idle=concurrency)
    times: list[float] = []

    async def send(first: int, last: int) -> None:
        for index in range(first, last):
            body = _body(f"{label}-{index}")
            before = time.perf_counter()
            status, value = await client.request("POST", "/v1/requests", body)
            times.append(time.perf_counter() - before)
            if status != 200:
                raise RuntimeError(f"status {status}: {value}")

    await send(-N_WARM_UP, 0)
    times.clear()
    n_each = N_REQUESTS // concurrency
    began = time.perf_counter()
    tasks = [
        await curio.spawn(send, index * n_each, (index + 1) * n_each)
        for index in range(concurrency)
    ]
    for task in tasks:
        await task.join()
    total_s = time.perf_counter() - began
    await client.close()
    return times, total_s


def _request_times() -> list[dict[str, Any]]:
    rows = []
    with (
        tempfile.TemporaryDirectory() as directory,
        process_cluster(Path(directory), {"Tainan": 8}, {"Tainan": 1}) as cluster,
        _bare_server() as bare,
        _bare_server(bare) as forwarder,
    ):
        (daemon,) = cluster.daemons.values()
        addresses = (bare, forwarder, daemon.http_address)
        for concurrency in CONCURRENCIES:
            label = f"{concurrency} at a time"
            floor, two_hops, ours = _in_turn(addresses, concurrency)
            rows += _compare(f"check, {label}", ours, floor, FLOOR_TARGET)
            rows += _compare(f"bare forwarder, {label}", two_hops, floor, None)
    return rows


def _in_turn(
    addresses: tuple[str, ...], concurrency: int
) -> list[tuple[list[float], float]]:
    """Return the request times of each server and its requests per second."""
    times: list[list[float]] = [[] for _ in addresses]
    totals_s = [0.0] * len(addresses)
    for number in range(N_ROUNDS):
        for index, address in enumerate(addresses):
            name = f"r{number}-{concurrency}"
            found, took_s = curio.run(_load, address, concurrency, name)
            times[index] += found
            totals_s[index] += took_s
    return [
        (found, len(found) / total_s)
        for found, total_s in zip(times, totals_s, strict=True)
    ]


def _compare(
    label: str,
    ours: tuple[list[float], float],
    floor: tuple[list[float], float],
    target: float | None,
) -> list[dict[str, Any]]:
    """Return times against the floor, which makes no second call per request."""
    values = [
        (f"p{q * 100:g}", quantile(ours[0], q), quantile(floor[0], q))
        for q in (0.5, 0.99)
    ]
    values.append(("time per request", 1 / ours[1], 1 / floor[1]))
    return [
        figure(
            BENCH,
            f"{label}, {what}",
            value * 1000,
            "ms",
            baseline=bare * 1000,
            target=target,
            note=f"{ours[1]:.0f} requests/s, floor {floor[1]:.0f}",
        )
        for what, value, bare in values
    ]


# Idle cost


def _cpu_s(pid: int) -> float:
    """Return the processor time used so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    """Return resident memory in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB


def _traffic(daemon: DaemonProcess) -> dict[str, int]:
    """Return bytes sent and received so far, without the HTTP of callers."""
    dump = daemon.dump()
    return {
        "heartbeats in": dump["rpc"]["n_sent_bytes"] + dump["rpc"]["n_received_bytes"],
        "heartbeats out": sum(dump["sent_received"]["rpc"]),
        "leases and log": sum(dump["sent_received"]["http"]),
    }


def _idle_cost() -> list[dict[str, Any]]:
    """Return processor fraction, memory and traffic of idle daemons.

    Nine daemons in three failure domains with eight workers each, as at Formosa.
    The leaders of the three shards renew the leases, so that they cost most.
    """
    domains = ("Tainan", "Chiayi", "Pingtung")
    with (
        tempfile.TemporaryDirectory() as directory,
        process_cluster(
            Path(directory), dict.fromkeys(domains, 8), dict.fromkeys(domains, 3)
        ) as cluster,
    ):
        time.sleep(SETTLE_S)
        items = list(cluster.daemons.items())
        pids = {vm: item.process.pid for vm, item in items if item.process}
        traffic = {vm: (_traffic(item), time.monotonic()) for vm, item in items}
        cpu = {vm: (_cpu_s(pid), time.monotonic()) for vm, pid in pids.items()}
        time.sleep(IDLE_S)
        cpu_fraction = [
            (_cpu_s(pids[vm]) - used) / (time.monotonic() - at)
            for vm, (used, at) in cpu.items()
        ]
        rates = [_rate(item, *traffic[vm]) for vm, item in items]
        memory_mb = [_memory_mb(pid) for pid in pids.values()]
    columns: list[tuple[str, list[float], str, float | None]] = [
        ("processor", cpu_fraction, "share of a core", CORE_TARGET),
        ("memory", memory_mb, "MB", MEMORY_TARGET_MB),
        ("traffic", [sum(r.values()) for r in rates], "bytes/s", TRAFFIC_TARGET),
    ]
    columns += [
        (f"traffic for {name}", [r[name] for r in rates], "bytes/s", None)
        for name in rates[0]
    ]
    note = f"{len(items)} daemons in 3 domains of 8 workers, {IDLE_S:g} s"
    return [
        figure(BENCH, f"idle {name} {which}", value, unit, target=target, note=note)
        for name, values, unit, target in columns
        for which, value in (("mean", sum(values) / len(values)), ("max", max(values)))
    ]


def _rate(daemon: DaemonProcess, before: dict[str, int], at: float) -> dict[str, float]:
    """Return bytes per second since an earlier reading, without TCP/IP headers."""
    after = _traffic(daemon)
    elapsed_s = time.monotonic() - at
    return {name: (after[name] - before[name]) / elapsed_s for name in before}
