"""Tests of the conversion of the users' platform's messages."""

from __future__ import annotations

import json
import struct
import traceback
import tracemalloc

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.errors import ProtocolError, ValidationError
from cuminhill.jobs.model import EndKind, TaskKey, Team
from cuminhill.jobs.records import decode_job, encode_job, task_need
from cuminhill.jobs.teamaccess import find_team
from cuminhill.platform.wire import (
    decode_job_body,
    decode_page,
    decode_queue_table,
    decode_report,
    decode_task_name,
    decode_worker_entry,
    encode_keyed_records,
    encode_task_name,
)

JOB_ID = "5c0e7a21d94b36f8"
BODY = {
    "spec": "(text)",
    "phases": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 900},
        {"count": 20, "cpu": 2000, "mem_mb": 1024, "after": [0], "checkpoints": True},
    ],
}


def decode_body(body):
    return decode_job_body(JOB_ID, "q", orjson.dumps(body), 10.0)


def test_a_job_is_decoded_in_the_products_units():
    """Guards against millicores taken for cores."""
    job = decode_body(BODY)
    assert [step.need.cores for step in job.steps] == [0.5, 2.0]
    assert job.steps[0].run_time_s == 0.9
    assert job.steps[1].after == (0,)
    assert decode_job(JOB_ID, encode_job(job)) == job


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"spec": 7}, "spec"),
        ({"spec": "x" * 4001}, "spec"),
        ({"phases": []}, "phases"),
        ({"phases": [{"count": 0}]}, "phases.0.count"),
        ({"phases": [{"count": 1, "cpu": -1}]}, "phases.0.cpu"),
        ({"phases": [{"count": 1, "mem_mb": "much"}]}, "phases.0.mem_mb"),
        ({"phases": [{"count": 1, "after": [0]}]}, "phases.0.after"),
        ({"phases": [{"count": 1}, {"count": 1, "after": [5]}]}, "phases.1.after"),
        ({"phases": [{"count": 1, "affinity": "r" * 201}]}, "phases.0.affinity"),
        (
            {"phases": [{"count": 1, "required_label": "x" * 250_000}]},
            "phases.0.required_label",
        ),
        ({"times": -1}, "times"),
        ({"times": 1 << 31}, "times"),
        ({"times": 1 << 63}, "times"),
        ({"times": 5001}, "times"),
    ],
)
def test_a_wrong_body_is_refused_with_the_name_of_the_field(change, field):
    """Guards against accepting a job that cannot be decoded."""
    with pytest.raises(ValidationError) as caught:
        decode_body(BODY | change)
    assert caught.value.message.startswith(field)


@settings(max_examples=60, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_as_a_body_raise_a_validation_error(body):
    """Guards against bodies that make the handler fail."""
    with pytest.raises(ValidationError):
        decode_job_body(JOB_ID, "q", body, 0.0)


def test_queues_of_a_configuration():
    """Guards against queue settings lost in the conversion."""
    table = decode_queue_table(
        orjson.dumps(
            {
                "version": 7,
                "routes": [
                    {
                        "name": "r",
                        "host": "h.example",
                        "path_prefix": "/a/",
                        "service": "s",
                        "target_duration_ms": 1000,
                        "priority": 1,
                        "max_attempts": 2,
                        "stretch": 2.2,
                        "advice": {"decide_ms": 656, "each_ms": 5.8, "valid_ms": 2500},
                    },
                    {
                        "name": "i",
                        "host": "h.example",
                        "path_prefix": "/a/b/",
                        "service": "s",
                    },
                ],
                "limits": {"max_body_bytes": 1000},
            }
        )
    )
    queue = table.find("h.example", "/a/0123")
    assert (queue.name, queue.target_s, queue.max_attempts) == ("r", 1.0, 2)
    assert queue.advice.decide_s == 0.656
    assert table.find("h.example", "/a/b/0123").name == "i"
    assert table.find("other.example", "/a/0123") is None


ENTRY = {
    "service": "s",
    "addr": "10.128.0.9:8080",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 5,
}


def test_a_registration_is_decoded():
    """Guards against a misread capacity of a worker."""
    entry = decode_worker_entry("w", orjson.dumps(ENTRY | {"more": 1}))
    assert (entry.capacity.cores, entry.capacity.memory_mb) == (16.0, 32768.0)
    assert (entry.incarnation, entry.draining) == (5, False)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "lost"},
        {"addr": "nowhere"},
        {"capacity": None},
        {"capacity": {"cpu": "16", "mem_mb": 1}},
        {"labels": 5},
        {"born": "x"},
    ],
)
def test_an_invalid_registration_raises_a_protocol_error(change):
    """Guards against entries that stop the reader or register a wrong worker."""
    with pytest.raises(ProtocolError):
        decode_worker_entry("w", orjson.dumps(ENTRY | change))


def test_task_names_round_trip():
    """Guards against an end recorded for another task."""
    key = TaskKey(JOB_ID, 2, 1, 17)
    assert encode_task_name(key) == f"{JOB_ID}.2.1.17"
    assert decode_task_name(encode_task_name(key)) == key


def test_a_report_is_decoded():
    """Guards against misread lists of runs."""
    report = decode_report(
        {
            "clock_ms": 482113,
            "born": 9,
            "running": [[f"{JOB_ID}.0.1.17", 2, "c", 41, 12]],
            "ended": [[58, f"{JOB_ID}.0.1.9", 1, "broken", ""]],
        },
        "w",
    )
    assert report.running[0].percent == 41
    assert report.ended[0].kind is EndKind.BROKEN
    with pytest.raises(ProtocolError):
        decode_report({"clock_ms": 1, "running": [["x", 1]]}, "w")


@settings(max_examples=50, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.text(st.characters(codec="ascii"), min_size=1, max_size=40),
            st.binary(max_size=50),
        ),
        max_size=10,
    ),
    st.integers(0, 1 << 40),
)
def test_keyed_records_round_trip(records, offset):
    """Guards against records split at a wrong position."""
    body = struct.pack(">QQ", offset + len(records), 0) + encode_keyed_records(records)
    end, _, read = decode_page(body, offset, "store")
    assert end == offset + len(records)
    assert [(row.key, row.value) for row in read] == records
    assert [row.offset for row in read] == list(range(offset, end))


def test_a_page_that_ends_within_a_record_yields_the_complete_ones():
    """Guards against folding an incomplete record."""
    body = struct.pack(">QQ", 2, 0) + encode_keyed_records(
        [("a", b"1"), ("b", b"2222")]
    )
    _, _, read = decode_page(body[:-2], 0, "store")
    assert [row.key for row in read] == ["a"]


# Guards against a job that is accepted and stored with a time that its reader refuses,
# or that ends each term: JSON has no infinity, so it was stored as null.
@pytest.mark.parametrize("field", ["first_run_ms", "period_ms"])
@pytest.mark.parametrize(
    "number", [b"1e400", b"Infinity", b"NaN", b"1e300", b"9" * 5000]
)
def test_a_time_without_end_is_refused(field, number):
    body = orjson.dumps(BODY | {field: 1}).replace(b":1}", b":" + number + b"}")
    with pytest.raises(ValidationError) as caught:
        decode_job_body(JOB_ID, "q", body, 0.0)
    assert len(caught.value.message) < 300


ROUTE = {"name": "r", "host": "h", "path_prefix": "/a/", "service": "s"}
ADVICE = {"decide_ms": 1, "each_ms": 1, "valid_ms": 1}
KEY = "gkcuyj8pjbvk9m68k7b2"
TEAM = {
    "name": "kaje80",
    "api_keys": [KEY],
    "priority": 1,
    "weight": 35,
    "cap": {"cpu": 3274112, "mem_mb": 5186107, "gpu": 0},
}
ODD_CONFIGS = {
    "100000 levels": b"[" * 100_000 + b"]" * 100_000,
    "1000 levels in a field": b'{"version":7,"routes":' + b"[" * 1000 + b"]" * 1000,
    "bytes": b"\xff\xfe",
    "version over 64 bits": {"version": 1 << 64},
    "version of 62 bits": {"version": 1 << 62},
    "version negative": {"version": -1},
    "version a text": {"version": "7"},
    "routes a number": {"routes": 7},
    "name empty": {"routes": [ROUTE | {"name": ""}]},
    "priority over 64 bits": {"routes": [ROUTE | {"priority": 1 << 64}]},
    "attempts over 64 bits": {"routes": [ROUTE | {"max_attempts": 1 << 64}]},
    "stretch infinite": {"routes": [ROUTE | {"stretch": float("inf")}]},
    "stretch NaN": {"routes": [ROUTE | {"stretch": float("nan")}]},
    "stretch negative": {"routes": [ROUTE | {"stretch": -1.0}]},
    "target infinite": {"routes": [ROUTE | {"target_duration_ms": float("inf")}]},
    "target too large": {"routes": [ROUTE | {"target_duration_ms": 1e300}]},
    "advice without end": {
        "routes": [ROUTE | {"advice": ADVICE | {"decide_ms": float("inf")}}]
    },
    "advice NaN": {"routes": [ROUTE | {"advice": ADVICE | {"each_ms": float("nan")}}]},
    "advice negative": {"routes": [ROUTE | {"advice": ADVICE | {"valid_ms": -1}}]},
    "tenants null": {"tenants": None},
    "tenants a text": {"tenants": "gkcuyj8pjbvk9m68k7b2"},
    "tenants an object": {"tenants": {"gkcuyj8pjbvk9m68k7b2": 1}},
    "a key in place of a team": {"tenants": ["gkcuyj8pjbvk9m68k7b2"]},
    "team without a name": {"tenants": [{"api_keys": ["gkcuyj8pjbvk9m68k7b2"]}]},
    "team with an empty name": {"tenants": [TEAM | {"name": ""}]},
    "two teams of one name": {"tenants": [TEAM, {"name": "kaje80"}]},
    "a key of two teams": {"tenants": [TEAM, TEAM | {"name": "other"}]},
    "keys a text": {"tenants": [TEAM | {"api_keys": "gkcuyj8pjbvk9m68k7b2"}]},
    "key a number": {"tenants": [TEAM | {"api_keys": [7]}]},
    "key empty": {"tenants": [TEAM | {"api_keys": [""]}]},
    "key with a space": {"tenants": [TEAM | {"api_keys": ["gkcuyj8pjbvk9m68k7b2 "]}]},
    "key with a line end": {
        "tenants": [TEAM | {"api_keys": ["gkcuyj8pjbvk9m68k7b2\n"]}]
    },
    "weight negative": {"tenants": [TEAM | {"weight": -1}]},
    "weight NaN": {"tenants": [TEAM | {"weight": float("nan")}]},
    "weight infinite": {"tenants": [TEAM | {"weight": float("inf")}]},
    "weight a text": {"tenants": [TEAM | {"weight": "35"}]},
    "cap null": {"tenants": [TEAM | {"cap": None}]},
    "cap negative": {"tenants": [TEAM | {"cap": {"cpu": -1}}]},
    "cap infinite": {"tenants": [TEAM | {"cap": {"gpu": float("inf")}}]},
    "cap of 62 bits": {"tenants": [TEAM | {"cap": {"mem_mb": 1 << 62}}]},
    "public a text": {"routes": [ROUTE | {"public": "true"}], "tenants": [TEAM]},
    "body limit zero": {"limits": {"max_body_bytes": 0}},
    "body limit over 64 bits": {"limits": {"max_body_bytes": 1 << 64}},
}


# Guards against a configuration with a number that stops each decision: advice without
# end kept every VM busy for good, and NaN compares as neither late nor in time.
@pytest.mark.parametrize("change", ODD_CONFIGS.values(), ids=ODD_CONFIGS.keys())
def test_an_odd_configuration_raises_a_protocol_error(change):
    value = change
    if isinstance(change, dict):
        value = json.dumps({"version": 7, "routes": [ROUTE]} | change).encode()
    with pytest.raises(ProtocolError) as caught:
        decode_queue_table(value)
    assert len(str(caught.value)) < 300
    # No key may be in the error or in those that caused it, as a traceback shows them.
    assert KEY not in "".join(traceback.format_exception(caught.value))


# Guards against a key that the error of an incomplete configuration quotes.
@pytest.mark.parametrize("end", ["", '"', '"]}', '"]}]', '\\x"]}]}', "\xff"])
def test_a_configuration_that_is_cut_off_shows_no_key(end):
    value = '{"version":7,"routes":[],"tenants":[{"name":"t","api_keys":["' + KEY
    with pytest.raises(ProtocolError) as caught:
        decode_queue_table((value + end).encode("latin-1"))
    assert KEY not in "".join(traceback.format_exception(caught.value))


def test_the_teams_of_a_configuration():
    """Guards against millicores taken for cores in a cap, and a lost key or weight."""
    body = {"version": 7, "routes": [ROUTE, ROUTE | {"name": "o", "public": True}]}
    cap = {"cpu": 1500.5, "mem_mb": 10.5}
    tenants = [TEAM, {"name": "bare"}, {"name": "share", "weight": 0.5, "cap": cap}]
    table = decode_queue_table(orjson.dumps(body | {"tenants": tenants}))
    assert table.teams == {
        "kaje80": Team("kaje80", 35.0, task_need(3274.112, 5186107.0, 0.0)),
        "bare": Team("bare", 1.0, task_need(0.0, 0.0, 0.0)),
        "share": Team("share", 0.5, task_need(1.5005, 10.5, 0.0)),
    }
    assert find_team(table, f"Bearer {KEY}").name == "kaje80"
    assert [table.queues[name].public for name in ("r", "o")] == [False, True]
    assert KEY not in repr(table)


def test_an_empty_list_of_teams_differs_from_none():
    """Guards against a check that ends with the removal of the last team."""
    body = {"version": 7, "routes": [ROUTE | {"public": True}]}
    table = decode_queue_table(orjson.dumps(body))
    assert (table.teams, table.keys) == (None, None)
    # It would be written to the journal, whose records stay as they were.
    assert not table.queues["r"].public
    assert decode_queue_table(orjson.dumps(body | {"tenants": []})).teams == {}


def test_the_keys_of_75_teams_take_less_than_a_megabyte():
    """Guards against a table of keys that is large for a VM of 160 MB."""
    tenants = [
        TEAM
        | {"name": f"t{team}", "api_keys": [f"{team:04}{n:016}" for n in range(20)]}
        for team in range(75)
    ]
    value = orjson.dumps({"version": 7, "routes": [], "tenants": tenants})
    decode_queue_table(value)  # what the first call caches is not counted
    tracemalloc.start()
    try:
        table = decode_queue_table(value)
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert table.keys.n_keys.total() == 1500
    assert size < 1 << 20
