"""Tests of the decoding of JSON from other processes."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.errors import ProtocolError
from cuminhill.util.json_input import MAX_DEPTH, MAX_ERROR_CHARS, load_json

ODD = {
    "nothing": b"",
    "open brackets": b"[" * 100_000,
    "100000 levels": b"[" * 100_000 + b"]" * 100_000,
    "1000 levels": b"[" * 1000 + b"]" * 1000,
    "1000 objects": b'{"a":' * 1000 + b"1" + b"}" * 1000,
    "one level too many": b"[" * (MAX_DEPTH + 1) + b"]" * (MAX_DEPTH + 1),
    "1e400": b"1e400",
    "5000 digits": b"9" * 5000,
    "NaN": b"NaN",
    "Infinity": b"[-Infinity]",
    "invalid UTF-8": b'"\xff\xfe"',
    "half a surrogate pair": b'"\\ud800"',
    "text": b"nothing" * 1000,
}


# Guards against JSON that raises an error which no caller expects, at once or where the
# value is printed: 1000 levels raise RecursionError there.
@pytest.mark.parametrize("data", ODD.values(), ids=ODD.keys())
def test_odd_json_raises_a_protocol_error(data):
    with pytest.raises(ProtocolError) as caught:
        load_json(data, step="test", peer="p")
    assert len(caught.value.message) <= MAX_ERROR_CHARS


# Guards against a value that is refused because it is long, not because it is deep.
@pytest.mark.parametrize(
    "value", [[[1]] * 10_000, "[" * 1000, [{"a": "{" * 300}], -(1 << 63), (1 << 64) - 1]
)
def test_long_json_is_decoded(value):
    assert load_json(orjson.dumps(value), step="test") == value


def test_the_deepest_value_can_be_printed():
    """Guards against a limit that is too high for what is done with the value."""
    value = load_json(b"[" * MAX_DEPTH + b"]" * MAX_DEPTH, step="test")
    assert len(repr(value)) == 2 * MAX_DEPTH


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=100))
def test_arbitrary_bytes_raise_nothing_else(data):
    """Guards against errors of other types."""
    try:
        load_json(data, step="test")
    except ProtocolError as exc:
        assert exc.step == "test"
