"""Tests of the metrics."""

from __future__ import annotations

import re
from pathlib import Path

import curio
import pytest

from cuminhill.application import make_application
from cuminhill.jobs.nodemetrics import NODE_METRICS
from cuminhill.metrics import make_metrics
from cuminhill.metrictable import HISTOGRAM, METRICS
from cuminhill.settings import Settings
from cuminhill.util.http import HttpRequest

LINE = re.compile(r'^(cuminhill_\w+)(\{(\w+="[^"\n]*",?)+\})? -?[0-9.e+-]+$')


def parse(text):
    """Return the value of each series; assert that every line is in text format."""
    lines = [line for line in text.decode().splitlines() if line[:1] not in ("#", "")]
    assert [line for line in lines if not LINE.match(line)] == []
    return {key: float(value) for key, value in (line.rsplit(" ", 1) for line in lines)}


@pytest.fixture
def app():
    """Return a daemon that is not started."""
    addresses = dict.fromkeys(
        ("http_address", "rpc_address", "log_address", "vm_list_address"), "127.0.0.1:1"
    )
    return make_application(Settings("e0", "Tainan", **addresses))


def scrape(app):
    req = HttpRequest("GET", "/metrics", {}, {}, b"", "peer")
    response = curio.run(app.http_api.handle, req)
    assert (response.status, response.content_type[:10]) == (200, "text/plain")
    return parse(response.body())


def test_names_are_unique_and_follow_the_conventions():
    """Guards against duplicate names and names that mislead in a dashboard."""
    assert len({item.name for item in METRICS}) == len(METRICS)
    for item in METRICS:
        assert item.name.endswith("_total") == (item.kind.__name__ == "Counter")
        assert item.help.endswith(".")
        if item.source and item.kind is not HISTOGRAM:
            assert item.source.count("*") == len(item.labels), item.name


def test_every_source_is_in_the_dump_of_a_daemon(app):
    """Guards against a metric that silently disappears when the dump changes."""
    series = scrape(app)
    names = {key.partition("{")[0] for key in series}
    missing = {item.name for item in METRICS if f"cuminhill_{item.name}" not in names}
    # These get their first values with the first request and leader.
    assert missing == {
        "requests_total",
        "answer_seconds",
        "leader_changes_total",
    }
    assert series["cuminhill_config_revision"] == 0
    assert series['cuminhill_leading{shard="Tainan/0"}'] == 0
    assert series['cuminhill_members{state="alive"}'] == 1
    assert 'cuminhill_read_timeouts_total{server="http"}' in series
    assert 'cuminhill_read_timeouts_total{server="rpc"}' in series


def test_documentation_names_only_existing_metrics():
    """Guards against an alert that can never fire."""
    text = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    names = {f"cuminhill_{item.name}" for item in (*METRICS, *NODE_METRICS)}
    for name in re.findall(r"cuminhill_\w+", text):
        assert name.removesuffix("_bucket") in names


def test_answers_and_waits_are_counted_by_kind_and_outcome(app):
    """Guards against requests that no metric counts."""
    app.draining = True
    for body in (b'{"request_id": "r", "kind": "batch"}', b"{"):
        req = HttpRequest("POST", "/v1/requests", {}, {}, body, "peer")
        curio.run(app.http_api.handle, req)
    series = scrape(app)
    key = 'cuminhill_requests_total{kind="batch",outcome="draining"}'
    assert series[key] == 1
    assert series['cuminhill_requests_total{kind="none",outcome="invalid"}'] == 1
    assert series['cuminhill_answer_seconds_count{kind="batch"}'] == 1


def test_values_follow_the_dump_and_old_series_disappear():
    """Guards against a dashboard that shows stale values of removed shards."""
    metrics = make_metrics()
    workers = {"w0": {"held": True}, "w1": {"held": False}}
    row = {"n_waiters": 2, "placer": {"workers": workers, "requests": ["r"]}}
    metrics.update_from({"shards": {"T/0": row}, "config": {"revision": 7}})
    series = parse(metrics.render())
    assert series["cuminhill_config_revision"] == 7
    assert series['cuminhill_callers_waiting{shard="T/0"}'] == 2
    assert series['cuminhill_workers_held{shard="T/0"}'] == 1
    assert series['cuminhill_requests_live{shard="T/0"}'] == 1
    metrics.update_from({"shards": {}, "uptime_s": None, "draining": float("nan")})
    assert not [key for key in parse(metrics.render()) if "T/0" in key]


def test_changes_of_leader_are_counted():
    """Guards against unnoticed changes of leader."""
    metrics = make_metrics()
    for vm in ("e0", "e0", "e1", "e0"):
        metrics.update_from({"routing": {"leaders": {"T/0": vm}}})
    series = parse(metrics.render())
    assert series['cuminhill_leader_changes_total{shard="T/0"}'] == 2


def test_label_values_cannot_break_the_format():
    """Guards against a label value that makes the whole scrape unparsable."""
    metrics = make_metrics()
    metrics.set("leading", 1, shard='a"b\\c\nd')
    assert rb'{shard="a\"b\\c\nd"} 1' in metrics.render()
    with pytest.raises(ValueError, match="labels"):
        metrics.set("leading", 1, vm="e0")
