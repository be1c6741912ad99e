"""Tests of the commands for callers."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest

from cuminhill.cmd.exits import ExitCode
from cuminhill.cmd.session import Progress
from cuminhill.model import AnswerState, Reason, RequestKind
from cuminhill.util.http import HttpResponse

SUBMIT = ("POST", "/v1/requests")


def answer(state, status=200, **fields):
    body = {"request_id": "r", "state": state, "reason": None, "detail": ""}
    return HttpResponse(status, body | {"results": []} | fields)


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        (answer("done"), ExitCode.OK),
        (answer("failed"), ExitCode.FAILED),
        (answer("cancelled"), ExitCode.FAILED),
        (answer("not_run", 503, reason="overload"), ExitCode.NOT_RUN),
        (answer("not_run", 422, reason="infeasible"), ExitCode.NOT_RUN),
        (answer("unknown"), ExitCode.UNKNOWN),
        (HttpResponse(400, {"error": "bad", "step": "validate"}), ExitCode.INVALID),
        (HttpResponse(500, {"error": "bug", "step": "handle"}), ExitCode.UNKNOWN),
        (HttpResponse(200, raw=b"hi", content_type="text/plain"), ExitCode.UNKNOWN),
        (HttpResponse(200, raw=b"{"), ExitCode.UNKNOWN),
        (HttpResponse(200, {"state": ["done"]}), ExitCode.UNKNOWN),
    ],
)
def test_submit_exits_with_the_documented_code(make_daemon, run, reply, code):
    """Guards against exit code 0 for a rejection or an unknown outcome."""
    result = run([make_daemon({SUBMIT: reply})], "submit", "check", "--id", "r")
    assert result.exit_code == code, result.output


def test_submit_retries_elsewhere_with_the_same_id_and_time(
    make_daemon, run, closed_address
):
    """Guards against a retry that the placers take for another request."""
    lost = make_daemon({SUBMIT: answer("done")}, n_lost_replies=1)
    leaving = make_daemon({SUBMIT: answer("not_run", 503, reason="draining")})
    last = make_daemon({SUBMIT: answer("done")})
    result = run([closed_address, lost, leaving, last], "submit", "order", "--json")
    assert result.exit_code == ExitCode.OK
    assert json.loads(result.output)["state"] == "done"
    assert lost.seen == leaving.seen == last.seen
    assert len(last.seen) == 1
    assert last.seen[0][2]["issued_at"] > 0


def test_lost_reply_at_the_last_address_is_unknown_and_says_how_to_repeat(
    make_daemon, run, closed_address
):
    """Guards against an order reported as not run although it may have run."""
    daemon = make_daemon({SUBMIT: answer("done")}, n_lost_replies=1)
    result = run([daemon, closed_address], "submit", "order", "--id", "o-1")
    assert result.exit_code == ExitCode.UNKNOWN
    issued_at = daemon.seen[0][2]["issued_at"]
    assert f"--id o-1 --issued-at {issued_at!r}" in result.output


def test_refusal_after_a_lost_reply_is_unknown(make_daemon, run):
    """Guards against 'did not run' when an earlier attempt may have been accepted."""
    first = make_daemon({SUBMIT: answer("accepted", 202)}, n_lost_replies=1)
    second = make_daemon({SUBMIT: answer("not_run", 503, reason="unavailable")})
    result = run([first, second], "submit", "order", "--id", "r")
    assert result.exit_code == ExitCode.UNKNOWN
    assert "not_run (unavailable)" in result.output
    assert "--id r --issued-at" in result.output


def test_no_address_listens(run, closed_address):
    """Guards against a traceback, or an unknown outcome, when nothing was sent."""
    result = run([closed_address, closed_address], "submit", "order")
    assert result.exit_code == ExitCode.UNREACHABLE
    assert result.output.count(closed_address) == 2


def test_submit_waits_beyond_the_daemons_longest_wait(make_daemon, run):
    """Guards against a wait that the daemon rejects or that ends early."""
    replies = [answer("accepted"), answer("accepted"), answer("done")]
    daemon = make_daemon({SUBMIT: answer("accepted", 202),
                          ("GET", "/v1/requests/r"): replies})  # fmt: skip
    result = run([daemon], "submit", "batch", "--id", "r", "--wait", "300")
    assert (result.exit_code, result.output) == (ExitCode.OK, "r: done\n")
    assert len(daemon.seen) == 4


@pytest.mark.parametrize("is_terminal", [True, False])
def test_progress_is_shown_on_a_terminal_only(monkeypatch, capsys, is_terminal):
    """Guards against control characters in the logs of scripts."""
    monkeypatch.setattr("sys.stderr.isatty", lambda: is_terminal)
    progress = Progress("waiting for r", 60, time.monotonic() - 45)
    progress.show()
    progress.clear()
    shown = "\r\x1b[Kwaiting for r: 45 s of 60 s\r\x1b[K"
    assert capsys.readouterr().err == (shown if is_terminal else "")


def test_status_names_failed_tasks_and_unknown_requests(make_daemon, run):
    """Guards against a failure hidden among successes, and a missing request."""
    results = [{"task": 0, "ok": True, "value": None},
               {"task": 1, "ok": False, "value": "out of\x1b[2J memory"}]  # fmt: skip
    reply = answer("failed", results=results, age_s=3.5)
    daemon = make_daemon({("GET", "/v1/requests/r"): reply})
    result = run([daemon], "status", "r")
    assert result.exit_code == ExitCode.FAILED
    assert "1 of 2 tasks succeeded" in result.output
    assert "as of 3.5 s ago" in result.output
    assert "out of?[2J memory" in result.output
    assert run([daemon], "status", "other").exit_code == ExitCode.NOT_FOUND


@pytest.mark.parametrize("payload", ["[1]", "{", "@/no/such/file"])
def test_payload_that_is_no_object_is_refused(run, closed_address, payload):
    """Guards against sending a payload that the daemon would reject."""
    result = run([closed_address], "submit", "batch", "--payload", payload)
    assert result.exit_code == ExitCode.INVALID
    assert "--payload" in result.output


def test_jobs_filters_and_cancel_and_explain_name_the_request(make_daemon, run):
    """Guards against filters that drop rows, and ids that change the path."""
    states = [("order", "done"), ("batch", "done"), ("order", "accepted")]
    rows = [
        {"request_id": f"r{index}", "kind": kind, "state": state}
        for index, (kind, state) in enumerate(states)
    ]
    daemon = make_daemon({
        ("GET", "/v1/requests"): HttpResponse(200, {"requests": rows}),
        ("DELETE", "/v1/requests/a:1"): HttpResponse(202, {"request_id": "a:1"}),
        ("GET", "/v1/requests/a:1/explain"): HttpResponse(
            200, {"request_id": "a:1", "tasks": [{"phase": "queued"}]}),
    })  # fmt: skip
    result = run([daemon], "jobs", "--kind", "order", "--json")
    assert [row["request_id"] for row in json.loads(result.output)] == ["r0", "r2"]
    result = run([daemon], "jobs", "--state", "done", "--limit", "1")
    assert "r1" in result.output and "r0" not in result.output
    assert "a:1: cancellation accepted" in run([daemon], "cancel", "a:1").output
    assert "PHASE\n  queued" in run([daemon], "explain", "a:1").output
    assert run([daemon], "cancel", "a/../b").exit_code == ExitCode.NOT_FOUND


def test_manual_lists_every_answer_reason_and_exit_code():
    """Guards against an answer that the callers' manual does not document."""
    path = Path(__file__).parent.parent.parent / "docs" / "CALLING.md"
    rows = [line for line in path.read_text().splitlines() if line[:1] == "|"]
    for value in (*AnswerState, *Reason, *RequestKind):
        assert any(f"`{value}`" in row for row in rows), value
    for code in ExitCode:
        assert f"| {code.value} | {code.meaning} |" in rows
