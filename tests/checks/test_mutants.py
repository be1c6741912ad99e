"""The checks fail if and only if one safety mechanism is removed."""

from __future__ import annotations

import random
import time

import pytest

from checks import mutants
from checks.collect import read_log
from checks.scenario import scenario
from standins.processes import (
    DAEMON_ENTRY,
    SERVICES,
    call,
    process_cluster,
    wait_until,
)

SEED = 3
PROVOCATION_BOUND_S = 20.0  # time for a step of a provocation on a busy machine


def judge(directory, entry, act):
    """Return the promises that a small cluster violates while ``act`` runs."""
    with (
        process_cluster(
            directory,
            {"Tainan": 2, "Chiayi": 2},
            {"Tainan": 2, "Chiayi": 1},
            relays=True,
            entry=entry,
        ) as cluster,
        scenario(cluster, "mutant", SEED, n_callers=0) as run,
    ):
        act(run)
        return {item.promise for item in run.finish()}


def make_spec(run, kind, request_id, **body):
    spec = run.load.make_spec(kind, request_id, random.Random(SEED))
    spec.body.update(body)
    spec.n_tasks = spec.body["n_tasks"]
    run.load.specs.append(spec)
    return spec


def wait_running(run):
    """Wait until a task runs, and return its worker."""

    def running():
        states = run.cluster.worker_states()
        return [name for name, state in states.items() if state["running"]]

    return wait_until(running, PROVOCATION_BOUND_S)[0]


def claims(run, request_id):
    """Return the offsets of the claims of an id in the log."""
    return [
        offset
        for offset, record in read_log(run.cluster, "requests")
        if record.get("type") == "claim" and record["request_id"] == request_id
    ]


def resume_a_stale_leader(run):
    """Pause a leader before it reads its claim back; its successor runs the batch."""
    for worker_id in run.workers():
        run.set_worker(worker_id, fencing=False)
    leader = run.leader()
    spec = make_spec(run, "batch", "mutant-b", n_tasks=2, run_time_s=8.0)
    run.gate(
        "reads",
        "log",
        method="GET",
        path="/streams/requests",
        peer=leader.host,
        when="after",
    )
    run.load.submit_later(spec, leader.vm, wait_s=1.0)
    # The gate also holds a read without records, so the claim itself is waited for.
    offset = wait_until(lambda: claims(run, "mutant-b"), PROVOCATION_BOUND_S)[0]
    assert run.wait_held("reads", ["log"], PROVOCATION_BOUND_S)
    run.pause(leader)
    run.cluster.set_faults("log", release="reads")
    wait_running(run)
    # Held renewals keep the stale leader from learning of its successor.
    for worker_id in run.workers():
        run.gate("renewals", worker_id, path="/lease", peer=leader.host)
    run.resume()
    wait_until(
        lambda: leader.dump()["log"]["next_offset"] > offset, PROVOCATION_BOUND_S
    )
    time.sleep(1.0)


def submit_in_two_domains(run):
    """Submit one batch through two failure domains before either claim is in the log.

    The claims and the starts of tasks are held until both domains have sent a claim.
    """
    spec = make_spec(run, "batch", "mutant-b", n_tasks=2, run_time_s=1.0)
    daemons = run.cluster.daemons.values()
    for daemon in daemons:
        run.gate(f"claim of {daemon.vm}", "log", record_type="claim", peer=daemon.host)
    workers = [name for name in run.cluster.addresses if name not in SERVICES]
    for worker_id in workers:
        run.gate("starts", worker_id, path="/tasks", text="run_time_s")
    for vm in ("tainan-e0", "chiayi-e0"):
        run.load.submit_later(spec, vm, wait_s=3.0)

    def both_sent():
        return {
            daemon.failure_domain
            for daemon in daemons
            if run.cluster.n_held("log", f"claim of {daemon.vm}")
        } == {"Tainan", "Chiayi"}

    wait_until(both_sent, PROVOCATION_BOUND_S)
    run.cluster.set_faults("log", release="*")
    for worker_id in workers:
        run.cluster.set_faults(worker_id, release="starts")
    time.sleep(2.0)


def lose_leader_and_worker(run):
    """Kill the leader and restart the worker while an order runs."""
    leader = run.leader()
    spec = make_spec(run, "order", "mutant-o", run_time_s=3.0, deadline_s=30.0)
    run.load.submit_later(spec, leader.vm, wait_s=0.0)
    worker_id = wait_running(run)
    run.kill(leader)
    call("POST", run.cluster.addresses[worker_id], "/die", {})
    time.sleep(3.0)


def drain_with_a_check_in_progress(run):
    """Drain the leader while a caller waits for the answer to a check."""
    leader = run.leader()
    spec = make_spec(run, "check", "mutant-c", run_time_s=1.0)
    run.load.submit_later(spec, leader.vm)
    wait_running(run)
    run.drain(leader)
    time.sleep(1.0)


@pytest.mark.parametrize(
    ("entry", "act", "broken"),
    [
        (mutants.NO_LEASE_CHECK, resume_a_stale_leader, "P2"),
        (mutants.NO_READ_BACK, submit_in_two_domains, "P2"),
        (mutants.NO_STARTED_RECORD, lose_leader_and_worker, "P5"),
        (mutants.EXIT_AT_ONCE, drain_with_a_check_in_progress, "P7"),
    ],
    ids=["lease check", "read-back", "started record", "drain"],
)
def test_checks_fail_without_the_mechanism(tmp_path, entry, act, broken):
    """Guards against checks that pass although the mechanism is missing.

    Without the lease check, and with workers that do not fence, a stale leader runs
    a batch that its successor is running (P2). Without the read-back of claims, two
    shards run one batch (P2). Without the started record, a new leader reruns an
    order whose worker was lost (P5). A drain that exits at once interrupts a check
    in progress (P7).
    """
    assert judge(tmp_path, DAEMON_ENTRY, act) == set()
    assert broken in judge(tmp_path, entry, act)
