"""Tests of the HTTP API for callers on the users' platform."""

from __future__ import annotations

from collections import Counter

import curio
import orjson
import pytest
from jobs.builders import make_job, make_queue, make_step, make_table
from jobs.conftest import Cluster

from cuminhill.clock import boottime
from cuminhill.jobs.logreader import CATCH_UP_INTERVAL_S
from cuminhill.jobs.model import JobState, Outcome
from cuminhill.jobs.records import task_need
from cuminhill.platform.jobapi import (
    DEADLINE_FRACTION,
    DEFAULT_DEADLINE_MS,
    JobApi,
    _deadline_s,
)
from cuminhill.util.http import HttpRequest
from cuminhill.util.kernel import run_to_end

JOB_ID = "5c0e7a21d94b36f8"
BODY = orjson.dumps({"spec": "payload", "phases": [{"count": 2, "cpu": 500}]})


@pytest.fixture
def cluster():
    """Return a cluster with a configuration and two workers."""
    made = Cluster()
    made.config.append_records([("config", b"0")])
    for number in range(2):
        made.add_worker(f"w{number}")
    return made


def request(method, path, body=b"", host="h.example", **headers):
    names = {"host": host} | {
        key.replace("_", "-"): value for key, value in headers.items()
    }
    return HttpRequest(method, path, {}, names, body, "caller")


KEYS = ("a-key",)


async def start_job_api(cluster):
    node = await cluster.start_node("a")
    await cluster.wait_for(lambda: node.is_ready() and cluster.leader())
    return JobApi(node, lambda: 1000.0)


def test_a_submitted_job_completes(cluster):
    """Guards against a break anywhere between the HTTP API and the workers."""

    async def scenario():
        api = await start_job_api(cluster)
        cluster.needs["payload"] = make_need()
        response = await api.handle(request("POST", f"/q/{JOB_ID}", BODY))
        assert response.status == 200
        await cluster.wait_for(
            lambda: cluster.state(api.node, JOB_ID) is JobState.COMPLETED
        )
        response = await api.handle(request("GET", f"/q/{JOB_ID}"))
        assert (response.status, response.value) == (200, {"state": "completed"})
        assert (await api.handle(request("GET", "/q/"))).value == {"waiting": 0}

    run_to_end(scenario)


def make_need():
    return task_need(0.5, 0.0, 0.0)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", f"/none/{JOB_ID}", BODY, 404),
        ("GET", f"/q/{JOB_ID}", b"", 410),
        ("DELETE", f"/q/{JOB_ID}", b"", 410),
        ("POST", "/q/xyz", BODY, 400),
        ("POST", f"/q/{JOB_ID}", b"{", 400),
        ("POST", f"/q/{JOB_ID}", b'{"spec": "x", "phases": [{"count": -1}]}', 400),
        ("PUT", f"/q/{JOB_ID}", b"", 405),
    ],
)
def test_an_invalid_request_gets_its_error_status(cluster, method, path, body, status):
    """Guards against a status that callers misinterpret."""

    async def scenario():
        api = await start_job_api(cluster)
        response = await api.handle(request(method, path, body))
        assert response.status == status
        assert api.node.job_index.entries == {}

    run_to_end(scenario)


def test_without_a_configuration_a_node_refuses_and_is_not_ready():
    """Guards against 404 for a queue that exists but has not been read yet."""

    async def scenario():
        cluster = Cluster()
        node = await cluster.start_node("a")
        api = JobApi(node, lambda: 1000.0)
        response = await api.handle(request("POST", f"/q/{JOB_ID}", BODY))
        assert response.status == 503
        assert ("retry-after", "1") in response.headers
        assert (await api.handle_ready(request("GET", "/-/ready"))).status == 503

    run_to_end(scenario)


def test_a_refusal_has_a_retry_after_header(cluster):
    """Guards against callers that retry at once or too late."""

    async def scenario():
        api = await start_job_api(cluster)
        await api.node.leadership.end()
        cluster.views["a"][0].faults.down = True
        response = await api.handle(request("POST", f"/q/{JOB_ID}", BODY))
        assert response.status == 503
        assert ("retry-after", "1") in response.headers

    run_to_end(scenario)


def test_a_job_beyond_the_weight_of_its_team_gets_429(cluster):
    """Guards against a refusal without Retry-After, or one whose job runs.

    Load: one team submits ten jobs at once while jobs of two others wait for long.
    """

    async def scenario():
        api = await start_job_api(cluster)
        cluster.needs["payload"] = make_need()
        node = api.node
        node.table = make_table(
            *node.table.queues.values(), version=node.table.version, teams={"t": KEYS}
        )
        node.job_index.job_load.late = lambda bounds_s, now: {
            "q": Counter({"a": 5, "b": 5})
        }
        authorized = {"authorization": "Bearer a-key"}
        ids = [f"{number:016x}" for number in range(10)]
        responses = [
            await api.handle(request("POST", f"/q/{job_id}", BODY, **authorized))
            for job_id in ids
        ]
        statuses = Counter(response.status for response in responses)
        assert set(statuses) == {200, 429}
        assert statuses[200] <= 3
        for job_id, response in zip(ids, responses, strict=True):
            stored = cluster.stored(f"job/{job_id}") is not None
            assert stored == (response.status == 200)
            if response.status == 429:
                ((name, value),) = response.headers
                assert name == "retry-after"
                assert int(value) >= 1
        # A repeated submission of an accepted job is not refused.
        repeated = await api.handle(request("POST", f"/q/{ids[0]}", BODY, **authorized))
        assert repeated.status == 200
        dump = node.dump()["admission"]
        assert dump["refused"] == {"surplus": {"t": statuses[429]}}
        node.metrics.update_from(node.dump())
        text = node.metrics.render()
        assert b'cuminhill_refused_total{reason="surplus",team="t"}' in text
        assert b"cuminhill_estimated_wait_seconds" in text

    run_to_end(scenario)


def test_a_draining_node_is_not_ready_and_still_serves(cluster):
    """Guards against requests that are rejected during a planned stop."""

    async def scenario():
        api = await start_job_api(cluster)
        cluster.needs["payload"] = make_need()
        await api.node.drain()
        assert (await api.handle_ready(request("GET", "/-/ready"))).status == 503
        response = await api.handle(request("POST", f"/q/{JOB_ID}", BODY))
        assert response.status == 200

    run_to_end(scenario)


def test_a_removed_queue_is_not_found_and_a_new_one_is(cluster):
    """Guards against serving the queues of an older configuration."""

    async def scenario():
        api = await start_job_api(cluster)
        cluster.publish(make_queue("n"))
        await cluster.wait_for(lambda: api.node.table.version == 2)
        assert (await api.handle(request("GET", "/q/"))).status == 404
        assert (await api.handle(request("GET", "/n/"))).status == 200

    run_to_end(scenario)


@pytest.mark.parametrize(
    "deadline", ["nan", "inf", "-inf", "-1", "1e400", "9" * 5000, "[" * 100, ""]
)
def test_an_odd_deadline_counts_as_none(cluster, deadline):
    """Guards against a wait of NaN, or without end, in the timeouts of all callers."""

    async def scenario():
        api = await start_job_api(cluster)
        cluster.needs["payload"] = make_need()
        odd = {"x_cuminhill_deadline_ms": deadline}
        response = await api.handle(request("POST", f"/q/{JOB_ID}", BODY, **odd))
        assert response.status == 200

    assert _deadline_s(request("GET", "/", x_cuminhill_deadline_ms=deadline)) == (
        DEFAULT_DEADLINE_MS / 1000 * DEADLINE_FRACTION
    )
    run_to_end(scenario)


def test_a_node_tells_no_length_of_a_queue_that_it_cannot_know(cluster):
    """Guards against 0 from a node that has not read the journal, and old counts.

    A count may be 2 s old.
    """
    job = make_job(make_step(cores=99.0))  # no worker holds it

    async def scenario():
        api = await start_job_api(cluster)
        assert await cluster.submit(api.node, job) is Outcome.OK
        other = await cluster.start_node("b", journal_down=True)
        await cluster.wait_for(lambda: other.table.version)
        new_api = JobApi(other, lambda: 1000.0)
        response = await new_api.handle(request("GET", "/q/"))
        assert response.status == 503
        assert ("retry-after", "1") in response.headers
        cluster.views["b"][0].faults.down = False
        await cluster.wait_for(other.is_ready)
        for item in (api, new_api):
            response = await item.handle(request("GET", "/q/"))
            assert (response.status, response.value) == (200, {"waiting": 1})
        cluster.views["b"][0].faults.down = True
        await curio.sleep(2.5)
        assert (await new_api.handle(request("GET", "/q/"))).status == 503
        assert (await api.handle(request("GET", "/q/"))).value == {"waiting": 1}

    run_to_end(scenario)


@pytest.mark.parametrize("fault", ["down", "unresponsive"])
def test_a_queue_that_was_just_added_is_not_unknown(cluster, fault):
    """Guards against 404 for a queue that exists, from a node that is cut off."""

    async def scenario():
        api = await start_job_api(cluster)
        faults = cluster.views["a"][1].faults
        setattr(faults, fault, True)
        cluster.publish(make_queue(), make_queue("new"))
        await curio.sleep(0.1)
        response = await api.handle(request("GET", "/new/"))
        assert response.status == 503
        assert ("retry-after", "1") in response.headers
        assert (await api.handle(request("GET", "/q/"))).status == 200
        setattr(faults, fault, False)
        await cluster.wait_for(lambda: api.node.config.reachable)
        assert (await api.handle(request("GET", "/new/"))).value == {"waiting": 0}
        assert (await api.handle(request("GET", "/none/"))).status == 404

    run_to_end(scenario)


def test_requests_for_unknown_queues_share_reads(cluster):
    """Guards against a call of the store for each request with any path.

    Load: 40 requests one after the other, from a client outside control.
    """

    async def scenario():
        api = await start_job_api(cluster)
        view, n_calls = cluster.views["a"][1], 0
        end = view.end

        async def count(timeout_s):
            nonlocal n_calls
            n_calls += 1
            return await end(timeout_s)

        view.end = count
        begun_at = boottime()
        tasks = [
            await curio.spawn(api.handle, request("GET", f"/none{number}/"))
            for number in range(40)
        ]
        assert {(await task.join()).status for task in tasks} == {404}
        assert n_calls <= 2 + (boottime() - begun_at) / CATCH_UP_INTERVAL_S

    run_to_end(scenario)
