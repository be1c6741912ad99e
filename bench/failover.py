"""Time of a failover and of a new configuration, and appends to the log."""

from __future__ import annotations

import signal
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins.processes import call, process_cluster, wait_until

from .figures import figure

if TYPE_CHECKING:
    from standins.processes import ProcessCluster

BENCH = "failover"
DOMAINS = ("Tainan", "Chiayi", "Pingtung")
URGENT_TARGET_S = 1.7
CONFIG_TARGET_S = 2.0
N_KILLS = 3
N_CONFIGS = 10
N_BATCHES = 100
TASKS_PER_BATCH = 10
CHECK_INTERVAL_S = 0.02
CHECKS_FOR_S = 3.0


def run() -> list[dict[str, Any]]:
    """Return the longest waits and the appends per 1,000 starts."""
    return [*_take_over(), *_configuration_and_appends()]


def _take_over() -> list[dict[str, Any]]:
    """Kill the leader of the only shard while checks arrive at another entry VM."""
    longest: list[float] = []
    n_not_done = 0
    for number in range(N_KILLS):
        with (
            tempfile.TemporaryDirectory() as directory,
            process_cluster(Path(directory), {"Tainan": 8}, {"Tainan": 3}) as cluster,
        ):
            leader = cluster.leader("Tainan")
            assert leader is not None
            other = next(d for d in cluster.daemons.values() if d.vm != leader.vm)
            times: list[float] = []
            states: list[str] = []

            def check(
                index: int,
                address: str = other.http_address,
                times: list[float] = times,
                states: list[str] = states,
                number: int = number,
            ) -> None:
                body = {
                    "request_id": f"c{number}-{index}",
                    "kind": "check",
                    "run_time_s": 0.01,
                }
                at = time.monotonic()
                states.append(call("POST", address, "/v1/requests", body)[1]["state"])
                times.append(time.monotonic() - at)

            threads = []
            for index in range(int(CHECKS_FOR_S / CHECK_INTERVAL_S)):
                if index == 20:
                    leader.send(signal.SIGKILL)
                threads.append(threading.Thread(target=check, args=(index,)))
                threads[-1].start()
                time.sleep(CHECK_INTERVAL_S)
            for thread in threads:
                thread.join()
            longest.append(max(times))
            n_not_done += sum(state != "done" for state in states)
    note = (
        f"one shard, leader killed, {N_KILLS} runs of 150 checks, {n_not_done} not done"
    )
    return [
        figure(
            BENCH,
            "longest check at a take-over",
            max(longest),
            "s",
            target=URGENT_TARGET_S,
            note=note,
        )
    ]


def _configuration_and_appends() -> list[dict[str, Any]]:
    with (
        tempfile.TemporaryDirectory() as directory,
        process_cluster(
            Path(directory), dict.fromkeys(DOMAINS, 8), dict.fromkeys(DOMAINS, 3)
        ) as cluster,
    ):
        times = [_publish(cluster, number) for number in range(N_CONFIGS)]
        appends = _appends(cluster)
    return [
        figure(
            BENCH,
            "accepted configuration in force on 9 daemons",
            max(times),
            "s",
            target=CONFIG_TARGET_S,
            note=f"longest of {N_CONFIGS}",
        ),
        figure(BENCH, "appends for 1,000 batch task starts", appends, "appends"),
    ]


def _publish(cluster: ProcessCluster, number: int) -> float:
    daemons = list(cluster.daemons.values())
    address = daemons[number % len(daemons)].http_address
    _, now = call("GET", address, "/v1/config")
    now["config"]["weights"]["waiting"] = 20.0 + number
    body = {
        "publication_id": f"bench-{number}",
        "author": "bench",
        "base_revision": now["revision"],
        "config": now["config"],
    }
    status, value = call("POST", address, "/v1/config", body)
    assert status == 200, value
    accepted_at = time.monotonic()
    wait_until(
        lambda: all(
            call("GET", item.http_address, "/v1/config")[1]["revision"]
            >= value["revision"]
            for item in daemons
        )
    )
    return time.monotonic() - accepted_at


def _appends(cluster: ProcessCluster) -> float:
    log = cluster.addresses["log"]
    daemons = list(cluster.daemons.values())
    before = call("GET", log, "/stats")[1]["n_appends"]
    for index in range(N_BATCHES):
        body = {
            "request_id": f"batch-{index}",
            "kind": "batch",
            "n_tasks": TASKS_PER_BATCH,
            "run_time_s": 0.05,
        }
        address = daemons[index % len(daemons)].http_address
        call("POST", address, "/v1/requests?wait_s=0", body)
    for index in range(N_BATCHES):
        path = f"/v1/requests/batch-{index}?wait_s=30"
        call("GET", daemons[0].http_address, path, timeout_s=40.0)
    after = call("GET", log, "/stats")[1]["n_appends"]
    return (after - before) / (N_BATCHES * TASKS_PER_BATCH) * 1000.0
