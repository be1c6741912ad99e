"""The whole path of a request, with separate processes over loopback."""

from __future__ import annotations

import time

import pytest

from standins.processes import call


def submit(daemon, request_id, kind, *, wait_s=5, **fields):
    body = {"request_id": request_id, "kind": kind, "run_time_s": 0.05, **fields}
    if kind == "order":
        body.setdefault("issued_at", time.time())
    return call("POST", daemon.http_address, f"/v1/requests?wait_s={wait_s}", body)


def n_starts(cluster, request_id):
    return sum(
        count
        for state in cluster.worker_states().values()
        for task_id, count in state["starts"].items()
        if task_id.startswith(f"{request_id}/")
    )


@pytest.mark.parametrize(
    ("kind", "n_tasks"), [("check", 1), ("order", 1), ("batch", 5), ("gang", 4)]
)
def test_request_is_answered_and_its_repeat_runs_nothing(cluster, kind, n_tasks):
    """Guards against a lost answer and against a second run of the same id."""
    request_id = f"{kind}-1"
    payload = {"echo": f"value of {kind}"}
    answers = []
    for vm in ("tainan-e0", "chiayi-e1", "tainan-e2"):
        status, answer = submit(
            cluster.daemons[vm], request_id, kind, n_tasks=n_tasks, payload=payload
        )
        assert status == 200, answer
        answers.append(answer)
    assert [item["value"] for item in answers[0]["results"]] == [
        payload["echo"]
    ] * n_tasks
    assert answers[0] == answers[1] == answers[2]
    assert n_starts(cluster, request_id) == n_tasks


def test_service_is_accepted_and_cancelled(cluster):
    """Guards against a service that survives its cancellation."""
    daemon = cluster.daemons["chiayi-e0"]
    status, answer = submit(daemon, "service-1", "service", run_time_s=1000, wait_s=0)
    assert (status, answer["state"]) == (202, "accepted")
    call("DELETE", cluster.daemons["tainan-e1"].http_address, "/v1/requests/service-1")
    _, answer = call("GET", daemon.http_address, "/v1/requests/service-1?wait_s=5")
    assert answer["state"] == "cancelled"


def test_infeasible_request_is_refused(cluster):
    """Guards against a request that waits although no worker can ever hold it."""
    status, answer = submit(
        cluster.daemons["tainan-e0"], "big-1", "batch", need={"cores": 1000}
    )
    assert (status, answer["reason"]) == (422, "infeasible")


def test_no_worker_was_overfilled(cluster):
    """Guards against work beyond a worker's capacity."""
    for index in range(60):
        submit(
            cluster.daemons["tainan-e0"],
            f"load-{index}",
            "batch",
            n_tasks=3,
            run_time_s=0.02,
            need={"cores": 3},
            wait_s=0,
        )
    call(
        "GET",
        cluster.daemons["tainan-e0"].http_address,
        "/v1/requests/load-59?wait_s=20",
        timeout_s=25,
    )
    states = cluster.worker_states()
    assert [
        state["violations"] for state in states.values() if state["violations"]
    ] == []
