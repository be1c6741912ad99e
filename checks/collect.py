"""Collects the history of a run from callers, stand-ins and the log."""

from __future__ import annotations

import contextlib
import random
import time
from typing import TYPE_CHECKING, Any

from standins.processes import call as http_call

from .history import History, add_worker_state

if TYPE_CHECKING:
    from standins.processes import ProcessCluster

    from .load import Load

SETTLE_BOUND_S = 30.0  # maximum time from the last fault to the final answers
PAGE_SIZE = 1000


def read_log(cluster: ProcessCluster, stream: str) -> list[tuple[int, dict[str, Any]]]:
    """Return the records of a stream that are still retained."""
    found: list[tuple[int, dict[str, Any]]] = []
    offset = 0
    while True:
        path = f"/streams/{stream}?from={offset}&limit={PAGE_SIZE}"
        page = http_call("GET", cluster.addresses["log"], path)[1]
        if not page["records"]:
            return found
        found += [(item[0], item[1]) for item in page["records"]]
        offset = found[-1][0] + 1


def wait_appended(cluster: ProcessCluster, timeout_s: float = SETTLE_BOUND_S) -> bool:
    """Wait until every daemon knows that all of its records are in the log.

    Returns
    -------
    bool
        False if this is not so in time.
    """
    give_up_at = time.monotonic() + timeout_s
    while time.monotonic() < give_up_at:
        with contextlib.suppress(OSError):
            dumps = [item.dump() for item in cluster.daemons.values() if item.running]
            if all(item["log"]["n_pending"] == 0 for item in dumps):
                return True
        time.sleep(0.05)
    return False


def collect(
    cluster: ProcessCluster, load: Load, since: float, history: History
) -> History:
    """Collect a history after the faults have stopped.

    Every accepted request is looked up until it has its final answer or the bound
    has passed.

    Parameters
    ----------
    cluster : ProcessCluster
        Cluster on which the load ran.
    load : Load
        Load whose callers have stopped.
    since : float, seconds
        Runs that ended before this monotonic time are omitted.
    history : History
        Receives the records.
    """
    give_up_at = history.quiet_at + SETTLE_BOUND_S
    wait_appended(cluster)
    prefix = f"{load.prefix}-"
    history.log = [
        (offset, record)
        for offset, record in read_log(cluster, "requests")
        if str(record.get("request_id", "")).startswith(prefix)
    ]
    _sweep(cluster, load, history, give_up_at)
    history.calls = list(load.calls)
    while True:
        history.runs.clear()
        history.violations.clear()
        history.leaving.clear()
        for worker_id, state in cluster.worker_states().items():
            add_worker_state(history, worker_id, state)
        if _services_converged(history) or time.monotonic() > give_up_at:
            break
        time.sleep(0.1)
    history.runs = [
        run for run in history.runs if run.ended_at is None or run.ended_at >= since
    ]
    history.ended_at = time.monotonic()
    return history


def _sweep(
    cluster: ProcessCluster, load: Load, history: History, give_up_at: float
) -> None:
    rng = random.Random(load.seed)
    vms = sorted(vm for vm, item in cluster.daemons.items() if item.running)
    cancelled = {item.request_id for item in load.calls if item.op == "cancel"}
    services = {item.request_id for item in load.specs if item.kind == "service"}
    ids = {item.request_id for item in load.calls if item.state == "accepted"} | {
        record["request_id"] for _, record in history.log
    }
    for request_id in sorted(ids):
        is_service = request_id in services - cancelled
        while True:
            left_s = max(0.0, give_up_at - time.monotonic())
            wait_s = 0.0 if is_service else min(1.0, left_s)
            found = load.look_up(request_id, rng.choice(vms), wait_s, sweep=True)
            if found.state not in {"", "accepted"} or left_s <= 0:
                break
            if is_service and found.state == "accepted":
                break


def _services_converged(history: History) -> bool:
    """Return whether exactly the services in state ``accepted`` run."""
    last = {item.request_id: item for item in history.calls if item.sweep}
    services = {item.request_id for item in history.calls if item.kind == "service"}
    running = {run.request_id for run in history.runs if run.ended_at is None}
    return all(
        (request_id in running) == (last[request_id].state == "accepted")
        for request_id in services & set(last)
    )
