"""Tests of ``cuminhill trace``."""

from __future__ import annotations

from click.testing import CliRunner

from cuminhill.cmd.cli import main
from cuminhill.cmd.exits import ExitCode

LINES = """\
  5.12 vm-a {"job": "b19e", "outcome": "ok", "event": "submission", \
"process_vm": "vm-a", "level": "info", "timestamp": "2026-04-09T10:30:59.1Z"}
{"job": "other", "event": "start", "timestamp": "2026-04-09T10:30:59.2Z"}
{"job": "b19e", "event": "start", "worker": "w1", "process_vm": "vm-b", \
"timestamp": "2026-04-09T10:31:02.5Z"}
not json b19e
{"job": "b19e", "event": "cut off
"""


def test_lines_of_one_id_are_printed_in_order_with_gaps(tmp_path):
    """Guards against a trace that omits a VM's lines or hides a gap."""
    path = tmp_path / "log"
    path.write_text(LINES)
    result = CliRunner().invoke(main, ["trace", "b19e", str(path)])
    assert result.exit_code == 0, result.output
    lines = result.output.splitlines()
    assert "submission: job=b19e outcome=ok" in lines[0]
    assert "3.4 s without a line" in lines[1]
    assert "vm-b" in lines[2]
    assert len(lines) == 3


def test_an_id_that_no_line_mentions_is_not_found():
    """Guards against empty output that looks like a successful trace."""
    result = CliRunner().invoke(main, ["trace", "ffff"], input=LINES)
    assert result.exit_code == ExitCode.NOT_FOUND
