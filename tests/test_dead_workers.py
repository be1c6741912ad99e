"""Tasks of workers that die beside changes of the placer, in clusters of processes."""

from __future__ import annotations

import random
import time

import pytest

from checks.scenario import scenario
from cuminhill.coordination.lease import LeaseTerms
from standins.processes import call, process_cluster, wait_until

SEED = 7
# Until the tasks of a worker have certainly stopped after its last renewal.
STOPPED_S = LeaseTerms().tasks_stopped_at(0.0)
# A renewal that may have arrived, two reads of an idle log and the delay of lost tasks.
SLACK_S = 6.5


@pytest.fixture
def cluster(tmp_path):
    """Three entry VMs and three workers of one failure domain."""
    with process_cluster(tmp_path, {"Tainan": 3}, {"Tainan": 3}) as running:
        yield running


def starts(cluster, request_id):
    """Return the worker of each start of a request, by its time."""
    return sorted(
        (event["at"], worker_id)
        for worker_id, state in cluster.worker_states().items()
        for event in state["history"]
        if event.get("request_id") == request_id and event["event"] == "start"
    )


def kill_worker_of_a_batch(run, request_id):
    """Start a batch of one task and kill its worker; return that and the time."""
    spec = run.load.make_spec("batch", request_id, random.Random(SEED))
    spec.body |= {"n_tasks": 1, "run_time_s": 60.0, "need": {"cores": 1}}
    run.load.submit_later(spec, run.leader().vm, wait_s=0.0)
    ((_, worker_id),) = wait_until(lambda: starts(run.cluster, request_id), 5.0)
    time.sleep(1.0)  # the worker is renewed meanwhile
    run.kill_worker(worker_id)
    return worker_id, time.monotonic()


def away_s(run, request_id, died_at, limit_s):
    """Return the time until the task has started again, at most the limit."""
    left_s = died_at + limit_s - time.monotonic()
    wait_until(lambda: len(starts(run.cluster, request_id)) == 2, left_s)
    return starts(run.cluster, request_id)[-1][0] - died_at


def remove_from_list(run, worker_id):
    address = run.cluster.addresses["vm_list"]
    call("POST", address, "/vms", {"vm": worker_id, "state": "gone"})


# Guards against a task that waits longer for the end of its lease than it may last.
@pytest.mark.parametrize("listed", [True, False])
def test_a_task_of_a_dead_worker_starts_again_within_one_term(cluster, listed):
    with scenario(cluster, "dead", SEED, n_callers=0) as run:
        worker_id, died_at = kill_worker_of_a_batch(run, "dead-b")
        if not listed:
            time.sleep(2.0)
            remove_from_list(run, worker_id)
        assert away_s(run, "dead-b", died_at, STOPPED_S + SLACK_S) >= STOPPED_S - 1.0


# Guards against a task that stands still for as long as the list names its dead worker:
# a term that has never reached it does not know that its predecessor had lost it.
def test_a_new_placer_does_not_wait_for_a_dead_worker_that_stays_listed(cluster):
    with scenario(cluster, "listed", SEED, n_callers=0) as run:
        _, died_at = kill_worker_of_a_batch(run, "listed-b")
        time.sleep(4.0)
        run.kill(run.leader())
        away_s(run, "listed-b", died_at, STOPPED_S + SLACK_S)


# Guards against a wait for the end of a lease that each term begins anew.
def test_a_new_placer_does_not_begin_the_wait_for_an_unlisted_worker_anew(cluster):
    with scenario(cluster, "unlisted", SEED, n_callers=0) as run:
        worker_id, died_at = kill_worker_of_a_batch(run, "unlisted-b")
        time.sleep(9.0)
        run.kill(run.leader())
        time.sleep(3.0)  # the next term has begun and has read the list
        remove_from_list(run, worker_id)
        away_s(run, "unlisted-b", died_at, STOPPED_S + SLACK_S)
