"""Clusters of processes under faults; checks of the recorded history decide."""

from __future__ import annotations

import random
import time

import pytest

from checks.scenario import scenario
from standins.processes import process_cluster, wait_until

SEED = 7


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    """Three entry VMs in Tainan and two in Chiayi behind relays."""
    directory = tmp_path_factory.mktemp("faults")
    with process_cluster(
        directory, {"Tainan": 4, "Chiayi": 3}, {"Tainan": 3, "Chiayi": 2}, relays=True
    ) as running:
        yield running


def gate_starts(run, when="before"):
    for worker_id in run.workers():
        run.gate(
            "start",
            worker_id,
            path="/tasks",
            method="POST",
            text="run_time_s",
            when=when,
        )


def n_runs(cluster, request_id):
    return sum(
        event.get("request_id") == request_id and event["event"] == "start"
        for state in cluster.worker_states().values()
        for event in state["history"]
    )


def test_without_faults_every_answer_is_known(cluster):
    """Guards against results that are lost between a worker and its placer."""
    with scenario(cluster, "calm", SEED) as run:
        time.sleep(2.0)
        assert run.finish() == []
    unknown = [item for item in run.history.answers() if item.state == "unknown"]
    assert unknown == []


@pytest.mark.parametrize(
    ("step", "record_type"), [("claim", "claim"), ("started", "started")]
)
def test_leader_is_killed_while_orders_and_checks_are_in_flight(
    cluster, step, record_type
):
    """Guards against orders that are lost or run twice at failover."""
    with scenario(cluster, f"kill-{step}", SEED) as run:
        run.gate("log", "log", method="POST", record_type=record_type)
        assert run.wait_held("log", ["log"], 5.0)
        run.kill(run.leader())
        time.sleep(0.5)
        assert run.finish() == []


def test_leader_is_paused_past_its_lease_and_continues(cluster):
    """Guards against a stale leader that starts what its successor has started."""
    with scenario(cluster, "pause", SEED) as run:
        gate_starts(run)
        assert run.wait_held("start", run.workers(), 5.0)
        run.pause(run.leader())
        time.sleep(2.5)
        run.resume()
        time.sleep(0.5)
        assert run.finish() == []


def test_log_outage_holds_orders_and_answers_checks(cluster):
    """Guards against speculative orders and against checks that wait for the log."""
    with scenario(cluster, "log", SEED) as run:
        cluster.set_faults("log", down=True)
        since = time.monotonic()
        # The callers may all wait for orders, so two checks are submitted for certain.
        rng = random.Random(SEED)
        for number, vm in enumerate(("tainan-e0", "chiayi-e0")):
            spec = run.load.make_spec(
                "check", f"{run.load.prefix}-outage-{number}", rng
            )
            run.load.submit_later(spec, vm, wait_s=3.0)
        time.sleep(4.0)
        until = time.monotonic()
        assert run.finish() == []
    checks = [
        item
        for item in run.history.calls
        if item.kind == "check"
        and item.op == "submit"
        and item.invoked_at > since
        and (item.answered_at or until) < until
    ]
    assert checks
    assert {item.state for item in checks if item.state} == {"done"}


@pytest.mark.parametrize("record_type", ["claim", "started", "done"])
def test_append_reply_is_lost(cluster, record_type):
    """Guards against a record that counts twice because its append was repeated."""
    with scenario(cluster, f"append-{record_type}", SEED) as run:
        for _ in range(3):
            cluster.set_faults(
                "log", lose_next={"method": "POST", "record_type": record_type}
            )
        time.sleep(1.5)
        assert run.finish() == []


def test_start_reply_is_lost(cluster):
    """Guards against a second start of a task whose first start took effect."""
    with scenario(cluster, "start", SEED) as run:
        for worker_id in run.workers():
            for _ in range(2):
                cluster.set_faults(
                    worker_id, lose_next={"path": "/tasks", "text": "run_time_s"}
                )
        time.sleep(2.0)
        assert run.finish() == []


@pytest.mark.parametrize("platform", [False, True])
def test_leader_is_partitioned(cluster, platform):
    """Guards against two leaders that both run the same request."""
    with scenario(cluster, f"cut-{platform}", SEED) as run:
        run.isolate(run.leader(), peers=True, platform=platform)
        time.sleep(2.5)
        assert run.finish() == []


@pytest.mark.parametrize("fault", ["lost reply", "log down", "leader killed"])
def test_racing_operators_agree_on_every_revision(cluster, fault):
    """Guards against a configuration that reverts, is lost or is accepted twice."""
    with scenario(cluster, f"config-{fault[:3]}", SEED, n_callers=2) as run:
        run.start_operators()
        time.sleep(0.5)
        if fault == "lost reply":
            for _ in range(3):
                cluster.set_faults(
                    "log", lose_next={"method": "POST", "record_type": "publish"}
                )
        elif fault == "log down":
            cluster.set_faults("log", down=True)
        else:
            run.kill(run.leader())
        time.sleep(1.5)
        assert run.finish() == []
    accepted = [item for item in run.history.publications if item.accepted]
    assert len({item.revision for item in accepted}) == len(accepted) > 1


def test_drain_of_the_leader_interrupts_nothing(cluster):
    """Guards against answers that are cut off by a planned stop (P7)."""
    with scenario(cluster, "drain", SEED, n_callers=10) as run:
        run.drain(run.leader())
        time.sleep(1.0)
        assert run.finish() == []


def test_leaving_worker_gets_no_new_work(cluster):
    """Guards against new work on a worker that is about to leave (P6)."""
    with scenario(cluster, "leave", SEED) as run:
        run.set_worker(run.workers()[0], leaving=True)
        time.sleep(4.0)
        assert run.finish() == []
    assert run.history.leaving


def test_order_that_ended_before_its_successor_knew_it_runs_once(cluster):
    """Guards against a result that is discarded before its claim is read (P5)."""
    with scenario(cluster, "lag", SEED, n_callers=0) as run:
        leader = run.leader()
        for daemon in cluster.daemons.values():
            if daemon is not leader:
                name = f"reads of {daemon.vm}"
                run.gate(name, "log", method="GET", peer=daemon.host, when="after")
        spec = run.load.make_spec("order", "lag-order", random.Random(SEED))
        spec.body |= {"deadline_s": 8.0, "run_time_s": 0.3}
        run.load.submit_later(spec, leader.vm, wait_s=0.0)
        wait_until(lambda: n_runs(cluster, "lag-order"), 5.0)
        run.kill(leader)
        time.sleep(3.0)  # the successor acquires the workers and acknowledges results
        assert run.finish() == []
        assert n_runs(cluster, "lag-order") == 1


def test_repeat_with_short_deadline_during_a_pause_is_not_denied(cluster):
    """Guards against "not run" for an order that the successor has run (P4)."""
    rng = random.Random(SEED)
    with scenario(cluster, "deny", SEED) as run:
        leader = run.leader()
        run.gate("log", "log", method="POST", text="deny-order", when="after")
        spec = run.load.make_spec("order", "deny-order", rng)
        spec.body["deadline_s"] = 3.0
        run.load.submit_later(spec, leader.vm)
        assert run.wait_held("log", ["log"], 5.0)
        # The claim is in the log, but its leader gets no reply and cannot read it.
        run.isolate(leader, peers=True, platform=True)
        run.pause(leader)
        time.sleep(4.0)
        run.resume()
        time.sleep(1.0)
        assert run.finish() == []
        assert [item for item in run.history.runs if item.request_id == spec.request_id]


def test_cancellation_answered_before_its_record_is_not_contradicted(cluster):
    """Guards against an answer that a successor replaces by another one (P3).

    The leader stops the tasks of a cancelled batch, and its record of the answer never
    reaches the log. Its successor has no results of the stopped tasks.
    """
    with scenario(cluster, "unrecorded", SEED, n_callers=0) as run:
        leader = run.leader()
        spec = run.load.make_spec("batch", "unrecorded-b", random.Random(SEED))
        spec.body |= {"run_time_s": 5.0}
        run.load.specs.append(spec)
        run.load.submit_later(spec, leader.vm, wait_s=2.5)
        wait_until(lambda: n_runs(cluster, "unrecorded-b") == spec.n_tasks, 10.0)
        run.gate("log", "log", record_type="done", peer=leader.host)
        run.load.cancel(spec, leader.vm)
        assert run.wait_held("log", ["log"], 10.0)
        # The answer used to be given without its record after half a second.
        wait_until(lambda: run.load.calls[0].answered_at is not None, 10.0)
        cluster.block(["log"], [leader.vm])
        run.kill(leader)
        cluster.set_faults("log", release="log")  # the held append has no effect
        assert run.finish() == []
    assert {item.state for item in run.history.answers()} >= {"cancelled"}
