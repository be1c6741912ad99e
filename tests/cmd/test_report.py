"""Tests of ``cuminhill report``."""

from __future__ import annotations

import orjson
import pytest
from click.testing import CliRunner

from cuminhill.cmd.cli import main
from cuminhill.cmd.exits import ExitCode

DAY = "2026-05-15T10:00:"
MINUTE_AT = 1778839200.0  # of DAY


def line(at_s, event, **fields):
    """Return a log line, with the text that the platform puts before it."""
    row = {**fields, "event": event, "timestamp": f"{DAY}{at_s:09.6f}Z"}
    return f"{at_s:9.4f} vm-a {orjson.dumps(row).decode()}"


def lines_of_job(job, at_s, workers, *, took, advice_s=0.0, room_s=0.0, objective=9.9):
    """Return the lines of a job of one step with one task on each worker."""
    start_at = at_s + advice_s + room_s
    rows = [
        line(
            at_s,
            "job taken in",
            job=job,
            queue="checks",
            steps=[len(workers)],
            accepted_at=MINUTE_AT + at_s,
            objective_s=objective,
            stretch=1.5,
            target_s=0.25,
        )
    ]
    if advice_s:
        rows.append(line(at_s + advice_s, "advice", step=f"{job}.0.0"))
    for task, (worker, seconds) in enumerate(zip(workers, took, strict=True)):
        ids = {"job": job, "task": [0, 0, task], "run": 1, "worker": worker}
        rows.append(line(start_at, "start", **ids))
        rows.append(line(start_at + seconds, "run ended", how="done", **ids))
    rows.append(line(start_at + max(took), "job completed", job=job))
    return rows


# Workers s1 and s2 take 2.4 times as long as the others.
CALM = [
    row
    for number in range(6)
    for row in lines_of_job(
        f"calm{number}", number, ["f1", "f2", "f3", "s1"], took=[0.5, 0.5, 0.5, 1.2]
    )
]


def report(lines, *args):
    """Run the command on a log; return its result and its report."""
    result = CliRunner().invoke(
        main, ["report", "--json", *args], input="\n".join(lines)
    )
    start = result.stdout.find("{")
    return result, orjson.loads(result.stdout[start:]) if start >= 0 else None


@pytest.mark.parametrize(
    ("lost", "cause"),
    [
        ({"workers": ["f1", "f2", "s1"], "took": [0.5, 0.5, 1.9]}, "slow_worker"),
        ({"workers": ["f1"], "took": [0.5], "advice_s": 2.0}, "advice"),
        ({"workers": ["f1"], "took": [0.5], "room_s": 2.0}, "room"),
    ],
)
def test_a_late_job_is_counted_under_what_it_lost_most_to(lost, cause):
    """Guards against figures that send an operator to the wrong cause."""
    _, value = report([*CALM, *lines_of_job("late", 20.0, **lost)])
    (row,) = value["queues"]
    assert row["jobs"] == row["completed"] == 7
    assert row[cause] >= 1
    last = value["windows"][-1]
    assert (last["from_s"], last["jobs"], last["late"]) == (20.0, 1, 1)


def test_refusals_are_counted_by_window():
    """Guards against an outage in which refused callers do not show."""
    refused = [line(11.0, "submission", job=f"r{n}", outcome="not_done") for n in "abc"]
    _, value = report([*CALM, *refused])
    assert [row["refused"] for row in value["windows"]] == [0, 0, 3]


def test_bad_and_dropped_lines_are_named_and_the_rest_is_read():
    """Guards against a report that hides that it does not see everything."""
    bad = [
        'vm-a {"event": "start", "timestamp": "yesterday", "task": [0, 0, 0]}',
        'vm-a {"event": "log lines dropped", "count": 12}',
        "vm-a {cut off}",
        'vm-a {"event": "start", "timestamp": "2026-05-15T10:00:00Z", "task": 3}',
        "no object",
    ]
    result, value = report([*bad, *CALM])
    assert value["lines_dropped"] == 12
    assert [place.rpartition(":")[2] for place in value["bad_lines"]] == ["1", "3", "4"]
    assert "12 lines were dropped" in result.stderr
    assert value["queues"][0]["completed"] == 6


def test_a_log_without_jobs_is_an_error():
    """Guards against an empty report that looks like a day without late jobs."""
    result, _ = report(["nothing", "vm-a {broken"])
    assert result.exit_code == ExitCode.NOT_FOUND


def test_a_table_is_printed_for_people():
    """Guards against a report that only programs can read."""
    result = CliRunner().invoke(main, ["report"], input="\n".join(CALM))
    assert result.exit_code == 0
    assert "QUEUE" in result.output and "FROM_S" in result.output
