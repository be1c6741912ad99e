"""Tests of the validation of request bodies."""

from __future__ import annotations

import math
import time

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.errors import ValidationError
from cuminhill.model import Request, RequestKind
from cuminhill.schema import MAX_PAYLOAD_BYTES, MAX_PAYLOAD_DEPTH, parse_request

VALID = {"request_id": "r-1", "kind": "batch"}


def nested(depth):
    value = {}
    for _ in range(depth - 1):
        value = {"a": value}
    return value


@pytest.mark.parametrize("kind", list(RequestKind))
def test_smallest_request_of_each_kind_is_accepted(kind):
    """Guards against a field that becomes required without notice to callers."""
    body = {"request_id": "r-1", "kind": str(kind)}
    if kind is RequestKind.ORDER:
        body["issued_at"] = time.time()
    request = parse_request(body, "peer")
    assert request.kind is kind
    assert Request.from_dict(orjson.loads(orjson.dumps(request.to_dict()))) == request


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"request_id": None}, "request_id = None: expected a valid string"),
        ({"request_id": "a/b"}, "request_id = 'a/b': expected match pattern"),
        ({"request_id": "a\n"}, "request_id = 'a\\n'"),
        ({"request_id": "x" * 129}, "request_id = "),
        ({"kind": "cron"}, "kind = 'cron': expected 'check', 'order'"),
        ({"kind": ["check"]}, "kind = ['check']"),
        ({"colour": 1}, "colour = 1: expected one of: request_id, kind, team"),
        ({"need": {"core": 1}}, "need.core = 1: expected one of: cores, memory_mb"),
        ({"need": {"cores": -1}}, "need.cores = -1: expected greater than or equal"),
        ({"need": {"cores": 1e10}}, "need.cores = 10000000000.0: expected less than"),
        ({"need": {"cores": math.nan}}, "need.cores = nan: expected a finite number"),
        ({"need": {"memory_mb": math.inf}}, "need.memory_mb = inf"),
        ({"need": {"cores": "4"}}, "need.cores = '4': expected a valid number"),
        ({"need": {"cores": True}}, "need.cores = True"),
        ({"need": {"slots": 0}}, "need.slots = 0: expected greater than or equal to 1"),
        ({"need": []}, "need = []"),
        ({"n_tasks": 0}, "n_tasks = 0"),
        ({"n_tasks": 10_001}, "n_tasks = 10001: expected less than or equal to 10000"),
        ({"n_tasks": 1.5}, "n_tasks = 1.5"),
        ({"n_tasks": True}, "n_tasks = True"),
        ({"priority": 101}, "priority = 101"),
        ({"deadline_s": 0}, "deadline_s = 0: expected greater than 0"),
        ({"deadline_s": math.inf}, "deadline_s = inf"),
        ({"run_time_s": -1}, "run_time_s = -1"),
        ({"run_time_s": math.nan}, "run_time_s = nan"),
        ({"issued_at": math.nan}, "issued_at = nan"),
        ({"issued_at": 1e18}, "issued_at = 1e+18: expected a time at most 60 s ahead"),
        ({"job_class": "x" * 129}, "job_class = "),
        ({"payload": []}, "payload = []"),
        ({"payload": nested(MAX_PAYLOAD_DEPTH + 1)}, "payload: nested deeper than 32"),
        ({"payload": {"a": "x" * MAX_PAYLOAD_BYTES}}, "payload: 65544 bytes exceed"),
    ],
)
def test_invalid_field_is_named_with_value_and_expectation(change, message):
    """Guards against accepting a value that later stages cannot handle."""
    with pytest.raises(ValidationError) as caught:
        parse_request(VALID | change, "peer")
    assert message in caught.value.message
    assert caught.value.peer == "peer"


@pytest.mark.parametrize("body", [None, 1, "x", [], [VALID]])
def test_body_that_is_no_object_is_rejected(body):
    """Guards against a traceback for JSON that is not an object."""
    with pytest.raises(ValidationError, match="body: content = "):
        parse_request(body, "peer")


def test_order_without_issue_time_is_rejected():
    """Guards against an order that runs again if repeated after log retention."""
    with pytest.raises(ValidationError, match="issued_at"):
        parse_request(VALID | {"kind": "order"}, "peer")


def test_message_about_many_problems_is_short():
    """Guards against an error message larger than the body that caused it."""
    body = VALID | {f"x{index}" * 50: [index] * 1000 for index in range(1000)}
    with pytest.raises(ValidationError) as caught:
        parse_request(body, "peer")
    assert len(caught.value.message) < 10_000


def test_deepest_and_largest_payloads_can_be_serialized():
    """Guards against accepting a payload that cannot be logged."""
    payload = nested(MAX_PAYLOAD_DEPTH) | {"b": "x" * (MAX_PAYLOAD_BYTES // 2)}
    request = parse_request(VALID | {"payload": payload}, "peer")
    assert orjson.loads(orjson.dumps(request.to_dict()))["payload"] == payload


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=10,
)


@settings(derandomize=True, deadline=None)
@given(st.sampled_from([*Request.__dataclass_fields__, "deadline_s", "x"]), JSON)
def test_any_value_is_accepted_or_rejected_with_a_validation_error(name, value):
    """Guards against other exceptions, which callers receive as status 500."""
    try:
        request = parse_request(VALID | {name: value}, "peer")
    except ValidationError:
        return
    assert Request.from_dict(request.to_dict()) == request
