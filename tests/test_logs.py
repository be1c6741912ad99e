"""Tests of the rate-limited, non-blocking log output."""

from __future__ import annotations

import json
import os
import sys

import pytest
import structlog

from cuminhill.logs import BoundedOutput, _to_json, set_up_bounded_logging


def test_a_reader_that_does_not_read_never_blocks_the_writer():
    """Guards against a process that blocks because nothing reads its output."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, max_lines_per_s=1_000_000)
    for number in range(20_000):
        output.write_line(f"line {number} " + "x" * 80)
    assert output.n_dropped > 0
    # The output consists of whole lines once the rest of the last one is written.
    data = b""
    os.set_blocking(reader, False)
    for _ in range(2000):
        try:
            data += os.read(reader, 1 << 16)
        except BlockingIOError:
            break
    output.write_line("after")
    data += os.read(reader, 1 << 20)
    lines = data.decode().splitlines()
    assert lines[-1] == "after"
    assert "log lines dropped" in lines[-2]
    assert all(line.startswith(("line ", "{", "after")) for line in lines)
    os.close(reader)
    os.close(writer)


def test_the_rate_of_lines_is_bounded():
    """Guards against logging that uses too much CPU time."""
    with open(os.devnull, "wb") as sink:
        output = BoundedOutput(sink.fileno(), max_lines_per_s=10)
        for _ in range(1000):
            output.write_line("x")
        assert output.n_written <= 20
        assert output.n_dropped >= 980


def test_a_line_above_the_rate_is_never_rendered(monkeypatch):
    """Guards against processor time for rendering lines that are dropped."""

    class Text:
        n_rendered = 0

        def __repr__(self):
            Text.n_rendered += 1
            return "text"

    with open(os.devnull, "wb") as sink:
        monkeypatch.setattr(sys, "stdout", sink)
        try:
            output = set_up_bounded_logging("vm1")
            output.max_lines_per_s = 10
            logger = structlog.get_logger("test")
            for _ in range(1000):
                logger.info("line", text=Text())
        finally:
            structlog.reset_defaults()
            structlog.contextvars.clear_contextvars()
    assert output.n_written == Text.n_rendered <= 20
    assert output.n_dropped == 1000 - output.n_written


@pytest.mark.parametrize(
    "value", ["plain", "\ud800", 1 << 70, {1: "key"}, ValueError("x"), ("a", 1), None]
)
def test_any_value_has_a_json_form(value):
    """Guards against a log line that raises where it is written."""
    fields = {"event": "line", "value": value}
    assert json.loads(_to_json(fields)) == json.loads(json.dumps(fields, default=repr))
