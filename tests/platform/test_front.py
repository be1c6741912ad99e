"""Tests of the platform's interface for callers."""

from __future__ import annotations

import curio
import orjson
import pytest
from jobs.builders import make_queue
from jobs.conftest import Cluster

from cuminhill.jobs.model import JobState
from cuminhill.jobs.records import task_need
from cuminhill.platform.front import Front
from cuminhill.util.http import HttpRequest

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


async def ready_front(cluster):
    node = await cluster.start_node("a")
    await cluster.wait_for(lambda: node.is_ready() and cluster.leader())
    return Front(node, lambda: 1000.0)


def test_a_job_goes_from_its_post_to_completed(cluster):
    """Guards against a path that breaks between the interface and the workers."""

    async def scenario():
        front = await ready_front(cluster)
        cluster.needs["payload"] = make_need()
        response = await front.handle(request("POST", f"/q/{JOB_ID}", BODY))
        assert response.status == 200
        await cluster.wait_for(
            lambda: cluster.state(front.node, JOB_ID) is JobState.COMPLETED
        )
        response = await front.handle(request("GET", f"/q/{JOB_ID}"))
        assert (response.status, response.value) == (200, {"state": "completed"})
        assert (await front.handle(request("GET", "/q/"))).value == {"waiting": 0}

    curio.run(scenario)


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
def test_what_cannot_be_served_is_refused_with_the_right_status(
    cluster, method, path, body, status
):
    """Guards against a wrong status, which callers take for something else."""

    async def scenario():
        front = await ready_front(cluster)
        response = await front.handle(request(method, path, body))
        assert response.status == status
        assert front.node.job_index.entries == {}

    curio.run(scenario)


def test_without_a_configuration_a_node_refuses_and_is_not_ready():
    """Guards against 404 for a queue that exists but has not been read yet."""

    async def scenario():
        cluster = Cluster()
        node = await cluster.start_node("a")
        front = Front(node, lambda: 1000.0)
        response = await front.handle(request("POST", f"/q/{JOB_ID}", BODY))
        assert response.status == 503
        assert ("retry-after", "1") in response.headers
        assert (await front.handle_ready(request("GET", "/-/ready"))).status == 503

    curio.run(scenario)


def test_a_refusal_tells_when_to_come_back(cluster):
    """Guards against callers that come back at once, or too late."""

    async def scenario():
        front = await ready_front(cluster)
        await front.node.leadership.end()
        cluster.views["a"][0].faults.down = True
        response = await front.handle(request("POST", f"/q/{JOB_ID}", BODY))
        assert response.status == 503
        assert ("retry-after", "1") in response.headers

    curio.run(scenario)


def test_a_draining_node_is_not_ready_and_still_serves(cluster):
    """Guards against requests that are cut off by a planned stop."""

    async def scenario():
        front = await ready_front(cluster)
        cluster.needs["payload"] = make_need()
        await front.node.drain()
        assert (await front.handle_ready(request("GET", "/-/ready"))).status == 503
        response = await front.handle(request("POST", f"/q/{JOB_ID}", BODY))
        assert response.status == 200

    curio.run(scenario)


def test_a_removed_queue_is_not_found_and_a_new_one_is(cluster):
    """Guards against queues of an older configuration."""

    async def scenario():
        front = await ready_front(cluster)
        cluster.publish(make_queue("n"))
        await cluster.wait_for(lambda: front.node.table.version == 2)
        assert (await front.handle(request("GET", "/q/"))).status == 404
        assert (await front.handle(request("GET", "/n/"))).status == 200

    curio.run(scenario)
