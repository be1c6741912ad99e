"""Steps of the request path and the faults that the fault matrix injects at them."""

from __future__ import annotations

import contextlib
import random
import threading
import time
from typing import TYPE_CHECKING

from standins.processes import call

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.processes import DaemonProcess

    from .scenario import Scenario

    Action = Callable[[Scenario], None]

HOLD_BOUND_S = 4.0  # the scenario goes on if a step holds no request by then
PAUSE_S = 2.2  # longer than the lease (1 s) and the time until suspicion (0.8 s)
FAULT_S = 1.2
CLOCK_OFFSETS_S = (0.12, -0.12, 0.05, -0.1, 0.1)  # pairs differ by less than 0.25 s


def _hold_record(record_type: str, when: str = "before") -> Action:
    def hold(run: Scenario) -> None:
        run.gate("step", "log", method="POST", record_type=record_type, when=when)
        run.reached = run.wait_held("step", ["log"], HOLD_BOUND_S)

    return hold


def _hold_workers(path: str, text: str, when: str) -> Action:
    def hold(run: Scenario) -> None:
        for worker_id in run.workers():
            run.gate("step", worker_id, path=path, method="POST", text=text, when=when)
        run.reached = run.wait_held("step", run.workers(), HOLD_BOUND_S)

    return hold


def _accept(run: Scenario) -> None:
    """Send a burst of new requests to the leader."""
    rng = random.Random(run.load.seed)
    vm = run.leader().vm
    for index in range(8):
        kind = ["order", "batch", "gang", "check"][index % 4]
        spec = run.load.make_spec(kind, f"{run.load.prefix}-burst-{index}", rng)
        run.load.specs.append(spec)
        run.load.submit_later(spec, vm, wait_s=2.0)


def _run(run: Scenario) -> None:
    """Submit requests with longer tasks and give these time to start."""
    rng = random.Random(run.load.seed)
    vm = run.leader().vm
    for index, kind in enumerate(["order", "batch", "gang", "service"]):
        spec = run.load.make_spec(kind, f"{run.load.prefix}-long-{index}", rng)
        if kind != "service":
            spec.body["run_time_s"] = 1.5
        run.load.specs.append(spec)
        run.load.submit_later(spec, vm, wait_s=4.0)
    time.sleep(0.6)


def _hand_over(run: Scenario) -> None:
    """Hold the successor's first lease calls after the leader was killed."""
    run.kill(run.leader())
    for worker_id in run.workers()[:2]:
        run.gate("step", worker_id, path="/lease", method="POST")
    time.sleep(1.0)


def _drain(run: Scenario) -> None:
    """Keep the leader's drain in progress by holding its last records."""
    run.gate("step", "log", method="POST", record_type="done")
    run.reached = run.wait_held("step", ["log"], HOLD_BOUND_S)
    run.drain(run.leader())


def _look_up(run: Scenario) -> None:
    """Hold the daemons' reads of the log while look-ups go on."""
    run.gate("step", "log", method="GET", path="/streams/requests")
    time.sleep(0.5)


def _publish(run: Scenario) -> None:
    """Hold concurrent publications of operators before they reach the log."""
    run.start_operators()
    run.gate("step", "log", method="POST", record_type="publish")
    run.reached = run.wait_held("step", ["log"], HOLD_BOUND_S)


def _apply(run: Scenario) -> None:
    """Hold the daemons' reads of the configuration while operators publish."""
    run.start_operators()
    run.gate("step", "log", method="GET", path="/streams/config")
    time.sleep(0.5)


STEPS: dict[str, Action] = {
    "accept": _accept,
    "claim": _hold_record("claim"),
    "claimed": _hold_record("claim", "after"),
    "reserve": _hold_record("started"),
    "start": _hold_workers("/tasks", "run_time_s", "before"),
    "run": _run,
    "finish": _hold_workers("/lease", "", "after"),
    "answer": _hold_record("done"),
    "look-up": _look_up,
    "hand-over": _hand_over,
    "drain": _drain,
    "config publish": _publish,
    "config apply": _apply,
}


def _kill(run: Scenario) -> None:
    run.kill(_target(run))
    time.sleep(FAULT_S)


def _pause(run: Scenario) -> None:
    run.pause(_target(run))
    time.sleep(PAUSE_S)
    run.resume()


def _worker_dead(run: Scenario) -> None:
    run.kill_worker(run.workers()[0])
    time.sleep(FAULT_S)


def _worker_fails(run: Scenario) -> None:
    run.set_worker(run.workers()[0], fail_all=True)
    time.sleep(FAULT_S)


def _worker_frozen(run: Scenario) -> None:
    run.set_worker(run.workers()[0], frozen=True)
    time.sleep(PAUSE_S)


def _log_down(run: Scenario) -> None:
    run.cluster.set_faults("log", down=True)
    time.sleep(PAUSE_S)


def _log_slow(run: Scenario) -> None:
    run.cluster.set_faults("log", delay_s=0.5)
    time.sleep(PAUSE_S)


def _append_lost(run: Scenario) -> None:
    for record_type in ("claim", "started", "done"):
        match = {"method": "POST", "record_type": record_type}
        run.cluster.set_faults("log", lose_next=match)
    time.sleep(0.3)


def _start_lost(run: Scenario) -> None:
    for worker_id in run.workers():
        match = {"path": "/tasks", "text": "run_time_s"}
        run.cluster.set_faults(worker_id, lose_next=match)
    time.sleep(0.3)


def _cut(*, peers: bool, platform: bool) -> Action:
    def cut(run: Scenario) -> None:
        run.isolate(_target(run), peers=peers, platform=platform)
        time.sleep(PAUSE_S)

    return cut


def _list_lag(run: Scenario) -> None:
    """Let a worker leave while the VM list is frozen."""
    call("POST", run.cluster.addresses["vm_list"], "/set", {"frozen": True})
    run.set_worker(run.workers()[0], leaving=True)
    time.sleep(3.3)


def _operators(run: Scenario) -> None:
    """Let two operators drain two VMs at the same time."""
    others = [
        item
        for item in run.cluster.daemons.values()
        if item.running and item.failure_domain == run.domain
    ]
    threads = [threading.Thread(target=run.drain, args=(item,)) for item in others[:2]]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(0.3)


def _cancel_all(run: Scenario) -> None:
    rng = random.Random(run.load.seed)
    running = [vm for vm, item in run.cluster.daemons.items() if item.running]
    for spec in list(run.load.specs):
        run.load.cancel(spec, rng.choice(running))


def _clock(run: Scenario) -> None:
    """Pause the leader; the daemons of this cluster have inaccurate clocks."""
    _pause(run)


def _target(run: Scenario) -> DaemonProcess:
    """Return the leader, or any VM of the domain while there is none."""
    with contextlib.suppress(OSError):
        found = run.cluster.leader(run.domain)
        if found is not None and found not in run.paused:
            return found
    return next(
        item
        for item in run.cluster.daemons.values()
        if item.running and item.failure_domain == run.domain
    )


FAULTS: dict[str, Action] = {
    "killed": _kill,
    "paused": _pause,
    "worker dead": _worker_dead,
    "worker fails": _worker_fails,
    "worker frozen": _worker_frozen,
    "log down": _log_down,
    "log slow": _log_slow,
    "append lost": _append_lost,
    "start lost": _start_lost,
    "cut peers": _cut(peers=True, platform=False),
    "cut platform": _cut(peers=False, platform=True),
    "cut both": _cut(peers=True, platform=True),
    "list lags": _list_lag,
    "operators": _operators,
    "cancel wave": _cancel_all,
    "clock error": _clock,
}
PAIRS = (
    ("log down", "killed"),
    ("log slow", "killed"),
    ("log down", "paused"),
    ("cut platform", "killed"),
    ("start lost", "killed"),
    ("append lost", "paused"),
    ("worker dead", "killed"),
    ("cut both", "cancel wave"),
)
PAIR_STEPS = ("claim", "start", "run")


def reason_not_run(step: str, fault: str) -> str:
    """Return why a cell is meaningless; empty if it is to run."""
    if step == "drain" and fault == "killed":
        return "a killed VM has no planned stop left to judge"
    return ""
