"""Tests of the rate-limited, non-blocking log output."""

from __future__ import annotations

import os

from cuminhill.logs import BoundedOutput


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
