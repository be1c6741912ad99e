"""Tests of the keys of teams in requests of callers."""

from __future__ import annotations

import random

import curio
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from jobs.builders import make_queue, make_team
from jobs.conftest import Cluster
from structlog.testing import capture_logs
from test_jobapi import BODY, JOB_ID, make_need, request, start_job_api

from cuminhill.jobs.model import JobState
from cuminhill.jobs.node import FOLLOW_WAIT_S, Backends, JobNode, NodeOptions
from cuminhill.jobs.placer import PlacerTimes
from cuminhill.jobs.records import JournalRecord, decode_job
from cuminhill.jobs.teamaccess import find_team
from cuminhill.platform.jobapi import JobApi
from cuminhill.platform.wire import decode_queue_table, decode_worker_entry
from cuminhill.util.http import HttpServer
from cuminhill.util.kernel import run_to_end
from standins.job_platform import LogView, MemoryAdvice, MemoryLog, MemoryWorkers

KEY, OTHER_KEY = "gkcuyj8pjbvk9m68k7b2", "p2w3hx0d5m1n8q7r6s4t"
TEAMS = {"kaje80": (KEY,), "other": (OTHER_KEY,)}


def with_key(method, path, key, body=b""):
    return request(method, path, body, authorization=f"Bearer {key}")


@pytest.fixture
def cluster():
    """Return a cluster with teams, a queue ``q`` and a public queue ``open``."""
    made = Cluster()
    made.publish(make_queue(), make_queue("open", public=True), teams=TEAMS)
    made.add_worker("w0")
    made.needs["payload"] = make_need()
    return made


async def republish(cluster, node, teams, *queues):
    """Publish other teams and wait until the node has read them."""
    cluster.publish(
        *(queues or (make_queue(), make_queue("open", public=True))), teams=teams
    )
    await cluster.wait_for(lambda: node.table is cluster.tables[-1])


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", f"/q/{JOB_ID}", BODY),
        ("POST", f"/q/{JOB_ID}", b"{"),
        ("GET", f"/q/{JOB_ID}", b""),
        ("DELETE", f"/q/{JOB_ID}", b""),
        ("GET", "/q/", b""),
        ("PUT", f"/q/{JOB_ID}", b""),
        ("POST", "/q/xyz", BODY),
    ],
)
@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"authorization": "Bearer unknown"},
        {"authorization": "Bearer"},
        {"authorization": "Bearer "},
        {"authorization": KEY},
        {"authorization": f"Basic {KEY}"},
        {"authorization": f"Bearer {KEY}x"},
        {"authorization": f"Bearer {KEY} {KEY}"},
        {"authorization": "Bearer \xff\ud800"},
    ],
)
def test_a_request_without_a_valid_key_is_not_served(
    cluster, method, path, body, headers
):
    """Guards against any kind of request that is served without a key."""

    async def scenario():
        api = await start_job_api(cluster)
        response = await api.handle(request(method, path, body, **headers))
        assert response.status == 401
        assert ("www-authenticate", "Bearer") in response.headers
        assert "valid key of a team" in response.value["error"]
        assert KEY not in str(response.value)
        assert api.node.job_index.entries == {}
        assert api.node.dump()["callers"] == {"unauthorized": 1}

    run_to_end(scenario)


def test_no_such_queue_comes_before_the_key(cluster):
    """Guards against 401 for a queue that does not exist, which no key can mend."""

    async def scenario():
        api = await start_job_api(cluster)
        response = await api.handle(request("POST", f"/none/{JOB_ID}", BODY))
        assert response.status == 404

    run_to_end(scenario)


@pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER", "Bearer  "])
def test_a_valid_key_stores_its_team_with_the_job(cluster, scheme):
    """Guards against a job that is not counted against its team."""

    async def scenario():
        api = await start_job_api(cluster)
        value = f"{scheme} {KEY}"
        post = request("POST", f"/q/{JOB_ID}", BODY, authorization=value)
        assert (await api.handle(post)).status == 200
        stored = decode_job(JOB_ID, cluster.stored(f"job/{JOB_ID}").value)
        assert stored.team == make_team("kaje80")
        assert api.node.job_index.entries[JOB_ID].team == "kaje80"
        get = await api.handle(with_key("GET", f"/q/{JOB_ID}", KEY))
        assert get.status == 200
        assert (await api.handle(with_key("GET", "/q/", KEY))).status == 200
        delete = await api.handle(with_key("DELETE", f"/q/{JOB_ID}", KEY))
        assert delete.status == 200

    run_to_end(scenario)


@pytest.mark.parametrize(
    ("key", "team"), [(KEY, "kaje80"), ("unknown", None), ("", None)]
)
def test_a_public_queue_serves_all_and_assigns_the_team_of_a_known_key(
    cluster, key, team
):
    """Guards against 401 on a public queue, and jobs there that no team is charged."""

    async def scenario():
        api = await start_job_api(cluster)
        post = await api.handle(with_key("POST", f"/open/{JOB_ID}", key, BODY))
        assert post.status == 200
        stored = decode_job(JOB_ID, cluster.stored(f"job/{JOB_ID}").value)
        assert (stored.team and stored.team.name) == team
        # Without a key too, since the queue needs none.
        assert (await api.handle(request("GET", f"/open/{JOB_ID}"))).status == 200
        assert (await api.handle(request("GET", "/open/"))).status == 200

    run_to_end(scenario)


def test_without_teams_no_key_is_read():
    """Guards against a deployment without teams that refuses, or stores teams."""

    async def scenario():
        cluster = Cluster()
        cluster.config.append_records([("config", b"0")])
        cluster.add_worker("w0")
        cluster.needs["payload"] = make_need()
        api = await start_job_api(cluster)
        post = await api.handle(with_key("POST", f"/q/{JOB_ID}", KEY, BODY))
        assert post.status == 200
        value = cluster.stored(f"job/{JOB_ID}").value
        assert b'"team"' not in value
        assert b'"public"' not in value
        assert "teams" not in api.node.dump()

    run_to_end(scenario)


@pytest.mark.parametrize("method", ["GET", "DELETE", "POST"])
def test_a_job_of_another_team_is_neither_shown_nor_cancelled(cluster, method):
    """Guards against a team that reads or cancels the jobs of another one."""

    async def scenario():
        api = await start_job_api(cluster)
        post = await api.handle(with_key("POST", f"/q/{JOB_ID}", KEY, BODY))
        assert post.status == 200
        body = BODY if method == "POST" else b""
        path = f"/q/{JOB_ID}"
        response = await api.handle(with_key(method, path, OTHER_KEY, body))
        assert response.status == 403
        # The path of a public queue gives no access to the jobs of other queues.
        path = f"/open/{JOB_ID}"
        assert (await api.handle(request(method, path, body))).status == 403
        assert api.node.dump()["callers"]["forbidden"] == 2
        await cluster.wait_for(
            lambda: cluster.state(api.node, JOB_ID) is JobState.COMPLETED
        )

    run_to_end(scenario)


def test_a_job_whose_team_is_unknown_is_not_refused(cluster):
    """Guards against 403 on a VM that has read only the run record of a job."""

    async def scenario():
        api = await start_job_api(cluster)
        post = await api.handle(with_key("POST", f"/q/{JOB_ID}", KEY, BODY))
        assert post.status == 200
        api.node.job_index.entries[JOB_ID].team = ""
        for method in ("GET", "DELETE", "POST"):
            path = f"/q/{JOB_ID}"
            response = await api.handle(with_key(method, path, OTHER_KEY, BODY))
            assert response.status == 200

    run_to_end(scenario)


def test_a_new_version_adds_moves_and_removes_keys(cluster):
    """Guards against keys of an older version, or of none, that count."""

    async def scenario():
        api = await start_job_api(cluster)

        async def status(key):
            return (await api.handle(with_key("GET", "/q/", key))).status

        async def team_of(job_id, key):
            await api.handle(with_key("POST", f"/q/{job_id}", key, BODY))
            return api.node.job_index.entries[job_id].team

        assert await status("added") == 401
        moved = {"kaje80": ("added",), "other": (OTHER_KEY, KEY)}
        await republish(cluster, api.node, moved)
        assert await status("added") == 200
        assert await team_of("00000000000000b1", KEY) == "other"
        await republish(cluster, api.node, {"kaje80": ("added",)})
        assert [await status(key) for key in (KEY, OTHER_KEY)] == [401, 401]
        assert await status("added") == 200
        # An older version that is read again doesn't bring its keys back.
        cluster.config.append_records([("config", b"1")])
        cluster.config.append_records([("config", b"99")])  # unreadable
        await cluster.wait_for(lambda: api.node.n_bad_configs == 1)
        assert await status(KEY) == 401
        await republish(cluster, api.node, {})
        assert await status("added") == 401
        await republish(cluster, api.node, None)
        assert await status("added") == 200

    run_to_end(scenario)


def test_a_job_outlives_its_team_and_keeps_it(cluster):
    """Guards against a job that is lost, or counted nowhere, once its team is gone."""

    async def scenario():
        api = await start_job_api(cluster)
        cluster.workers.workers["w0"].run_time_s = 1.0
        post = await api.handle(with_key("POST", f"/q/{JOB_ID}", KEY, BODY))
        assert post.status == 200
        await republish(cluster, api.node, {"other": (OTHER_KEY,)})
        job = decode_job(JOB_ID, cluster.stored(f"job/{JOB_ID}").value)
        assert api.node.table.team(job) == make_team("kaje80")
        await cluster.wait_for(
            lambda: cluster.state(api.node, JOB_ID) is JobState.COMPLETED
        )

    run_to_end(scenario)


def test_a_removed_key_is_refused_on_an_open_connection(cluster):
    """Guards against a connection that outlives the key with which it began."""

    async def scenario():
        api = await start_job_api(cluster)
        server = HttpServer(api.handle)
        await server.start("127.0.0.1", 0)
        sock = await curio.open_connection("127.0.0.1", server.port)
        head = f"Host: h.example\r\nAuthorization: Bearer {KEY}\r\n\r\n"

        async def ask():
            await sock.sendall(f"GET /q/ HTTP/1.1\r\n{head}".encode())
            return await sock.recv(65536)

        assert b"200" in (await ask()).partition(b"\r\n")[0]
        await republish(cluster, api.node, {"other": (OTHER_KEY,)})
        for _ in range(2):  # the connection stays open after a 401
            answer = await ask()
            assert b"401" in answer.partition(b"\r\n")[0]
            assert b"www-authenticate: bearer" in answer.lower()
            assert KEY.encode() not in answer
        assert server.counters.connections.n_accepted == 1
        await sock.close()
        await server.close()

    run_to_end(scenario)


def test_a_vm_that_is_cut_off_goes_on_with_the_newest_version_it_has_read(cluster):
    """Guards against a VM that refuses or serves all callers while it is cut off."""

    async def scenario():
        api = await start_job_api(cluster)
        faults = cluster.views["a"][1].faults
        other = await cluster.start_node("b")
        faults.unresponsive = True
        await republish(cluster, other, {"other": (OTHER_KEY,)})
        assert api.node.table.version == 2
        assert (await api.handle(with_key("GET", "/q/", KEY))).status == 200
        assert (await api.handle(with_key("GET", "/q/", "unknown"))).status == 401
        faults.unresponsive = False
        await cluster.wait_for(lambda: api.node.table.version == 3)
        assert (await api.handle(with_key("GET", "/q/", KEY))).status == 401

    run_to_end(scenario)


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_a_vm_that_has_not_read_a_job_yet_reads_its_team_first(cluster, method):
    """Guards against a cancellation through a VM whose index is behind."""

    async def scenario():
        api = await start_job_api(cluster)
        other = await cluster.start_node("b")
        await cluster.wait_for(other.is_ready)
        other.journal.pause_s = 60.0
        await curio.sleep(FOLLOW_WAIT_S + 0.3)  # a read may have been waiting
        post = await api.handle(with_key("POST", f"/q/{JOB_ID}", KEY, BODY))
        assert post.status == 200
        assert JOB_ID not in other.job_index.entries
        behind = JobApi(other, lambda: 1000.0)
        path = f"/q/{JOB_ID}"
        response = await behind.handle(with_key(method, path, OTHER_KEY))
        assert response.status == 403
        assert cluster.stored(f"cancel/{JOB_ID}") is None

    run_to_end(scenario)


def test_keys_appear_nowhere(cluster):
    """Guards against keys in logs, metrics, dumps, responses and the journal."""

    async def scenario():
        with capture_logs() as logs:
            api = await start_job_api(cluster)
            responses = []
            for method, path in (
                ("POST", f"/q/{JOB_ID}"),
                ("GET", f"/q/{JOB_ID}"),
                ("POST", "/q/xyz"),
                ("DELETE", f"/q/{JOB_ID}"),
                ("DELETE", "/q/00000000000000b1"),
            ):
                for key in (KEY, OTHER_KEY, f"{KEY}x", f"x{KEY}"):
                    req = with_key(method, path, key, BODY)
                    responses.append(await api.handle(req))
            cluster.config.append_records([("config", b"99")])
            await cluster.wait_for(lambda: api.node.n_bad_configs == 1)
        node = api.node
        node.metrics.update_from(node.dump())
        metrics = node.metrics.render().decode()
        assert 'cuminhill_team_keys{team="kaje80"} 1' in metrics
        assert 'cuminhill_team_jobs{state="cancelled",team="kaje80"} 1' in metrics
        assert 'cuminhill_callers_total{outcome="unauthorized"} 10' in metrics
        journal = [(record.key, record.value) for record in cluster.journal.records]
        texts = [
            str(logs),
            metrics,
            orjson.dumps(node.dump()).decode(),
            str([(item.status, item.headers, item.value) for item in responses]),
            str(journal),
        ]
        secrets = [KEY, OTHER_KEY, *(str(item)[2:-1] for item in digests(node))]
        assert not [text for text in texts for item in secrets if item in text]

    run_to_end(scenario)


def digests(node):
    return node.table.keys._names


VERSIONS = st.fixed_dictionaries(
    {
        "version": st.integers(0, 6),
        "tenants": st.one_of(
            st.none(),  # the field is left out
            st.lists(
                st.fixed_dictionaries(
                    {
                        "name": st.sampled_from(["a", "b", "c"]),
                        "api_keys": st.lists(
                            st.sampled_from(["k1", "k2", "k3"]), max_size=2
                        ),
                    }
                ),
                max_size=3,
            ),
            st.sampled_from(["k1", [7], [{"name": "a", "api_keys": [""]}]]),
        ),
    }
)


def owners_of(body):
    """Return the team of each key, None without teams; False if malformed."""
    tenants = body["tenants"]
    if tenants is None:
        return None
    if not all(isinstance(item, dict) for item in tenants):
        return False
    names = [item["name"] for item in tenants]
    pairs = {(key, item["name"]) for item in tenants for key in item["api_keys"]}
    owners = dict(pairs)
    if len(set(names)) < len(names) or len(owners) < len(pairs) or "" in owners:
        return False
    return owners


@settings(max_examples=300, deadline=None)
@given(st.lists(VERSIONS, max_size=8))
def test_the_newest_usable_version_decides_alone(bodies):
    """Guards against keys left of other versions, in whatever order they are read."""
    node = make_table_node()
    newest, expected = 0, None
    for body in bodies:
        fields = {key: value for key, value in body.items() if value is not None}
        value = orjson.dumps({"routes": []} | fields)
        node._fold_config([JournalRecord(0, "config", value)], False)
        owners = owners_of(body)
        if owners is not False and body["version"] > newest:
            newest, expected = body["version"], owners
        assert node.table.version == newest
        assert (node.table.teams is None) is (expected is None)
        for key in ("k1", "k2", "k3"):
            team = find_team(node.table, f"Bearer {key}")
            assert (team and team.name) == (expected or {}).get(key)


def make_table_node():
    """Return a node that decodes configurations as on the platform, not started."""
    log = LogView(MemoryLog())
    backends = Backends(
        *(log, log, log),
        calls=MemoryWorkers(),
        advice=MemoryAdvice(),
        decode_table=decode_queue_table,
        decode_worker=decode_worker_entry,
        config_key="config",
    )
    options = NodeOptions("a", "127.0.0.1:1", PlacerTimes(), 120.0)
    return JobNode(options, backends, random.Random(1))
