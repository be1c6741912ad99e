"""The list of jobs with nothing running, as `checks.idlewaits` prints it."""

from __future__ import annotations

import json

import pytest

from checks.absences import parse_lines
from checks.idlewaits import find_idle_waits, main

JOB = "00000000000000aa"


def log(*rows):
    """Return lines of a play from rows of seconds, event and fields."""
    return [
        f"  {at:.4f} n1 {json.dumps({**fields, 'event': event})}"
        for at, event, fields in rows
    ]


def waits(*rows):
    """Return the longest wait of each job in the log of some rows."""
    return find_idle_waits(parse_lines(log(*rows)))


def taken_in(at, accepted_s_ago=0.0, job=JOB, **more):
    """Return the row of a job with a step of two tasks, and one of a gang."""
    steps = {"steps": [2, 3], "cores": [4.0, 8.0], "gang": [False, True]}
    wall = 1767225600.0  # 2026-01-01T00:00:00Z
    return (
        at,
        "job taken in",
        {
            "job": job,
            **steps,
            "accepted_at": wall - accepted_s_ago,
            "timestamp": "2026-01-01T00:00:00.000000Z",
            **more,
        },
    )


def run(at, event, task=(0, 0, 0), number=1, job=JOB, **more):
    """Return a row about a run."""
    fields = {"job": job, "task": task, "run": number, "worker": "w1", **more}
    return at, event, fields


def step_waits(at, reason, waited_s, **more):
    """Return a row of the placer that says why a step waits."""
    fields = {"job": JOB, "step": f"{JOB}.0.0", "reason": reason, **more}
    return at, "step waits", {**fields, "waited_s": waited_s}


END = 40.0, "claiming", {"term": 3}


# Guards against a wait that counts only from when the placer had read of the job.
def test_the_first_wait_counts_from_the_acceptance():
    (item,) = waits(
        (0.0, "started", {}),
        taken_in(5.0, 1.5),
        step_waits(6.2, "advice_failed", 1.2, used_share=0.25),
        step_waits(8.0, "no_room", 3.0, used_share=0.75),
        run(9.0, "start", step_waits={"advice_failed": 1.5, "no_room": 1.0}),
        END,
    )
    assert (item.began_at, item.ended_at, item.length_s) == (3.5, 9.0, 5.5)
    assert (item.began_with, item.ended_with, item.step) == ("accepted", "start", "0.0")
    assert item.needs == "2x4.0 3x8.0 gang"
    assert item.reasons == (
        "advice_failed at 1.2 s, used 0.25",
        "no_room at 3.0 s, used 0.75",
        "in all advice_failed 1.5 s, no_room 1.0 s",
    )


# Guards against a gap between two steps, or after a lost run, that is left out, and
# against one that counts while another task of the job runs.
@pytest.mark.parametrize(
    ("event", "more"),
    [("run ended", {"how": "done"}), ("run lost", {"why": "lease lapsed"})],
)
def test_a_wait_between_runs_counts_while_nothing_runs(event, more):
    rows = [
        taken_in(1.0),
        run(1.1, "start"),
        run(1.2, "start", (0, 0, 1)),
        run(4.0, event, **more),
        run(6.0, event, (0, 0, 1), **more),
    ]
    (item,) = waits(*rows, run(10.0, "start", (0, 1, 0)), END)
    assert (item.began_at, item.ended_at, item.step) == (6.0, 10.0, "0.1")
    assert item.began_with == f"{event}, {next(iter(more.values()))}"
    (item,) = waits(*rows, (7.0, "job completed", {"job": JOB}), END)
    assert (item.ended_at, item.ended_with) == (7.0, "job completed")


# Guards against a start without effect that seems to end a wait, and against one whose
# answer alone was lost.
@pytest.mark.parametrize(
    ("after", "length_s"),
    [
        (run(2.2, "start failed", result="no_room"), 8.0),
        (run(2.2, "run lost", sent=False, why="ticket lapsed"), 8.0),
        (run(2.2, "start failed", result="unknown"), 1.0),
    ],
)
def test_a_start_counts_if_it_had_an_effect(after, length_s):
    (item,) = waits(
        taken_in(1.0), run(2.0, "start"), after, run(9.0, "start", number=2), END
    )
    assert item.length_s == length_s


# Guards against jobs that never started and are missing from the list: these break the
# rule.
def test_a_job_that_never_starts_waits_to_the_end_of_the_log():
    (item,) = waits(taken_in(1.0), END)
    assert (item.length_s, item.ended_with, item.step) == (39.0, "log ends", "")
    (item,) = waits(taken_in(1.0), (5.0, "job cancelled", {"job": JOB}), END)
    assert (item.length_s, item.ended_with) == (4.0, "job cancelled")


# Guards against the time between two times of a scheduled job, which is no wait.
@pytest.mark.parametrize("told", [True, False])
def test_a_scheduled_job_waits_only_as_its_starts_say(told):
    times = {"times": 2} if told else {}  # earlier builds don't say it
    rows = [
        taken_in(1.0, **times),
        run(10.0, "start"),
        run(12.0, "run ended", how="done"),
        run(13.5, "start", (0, 1, 0)),
        run(14.0, "run ended", (0, 1, 0), how="done"),
    ]
    later = run(30.0, "start", (1, 0, 0), step_waited_s=2.5)
    (item,) = waits(*rows, later, END)
    assert (item.began_at, item.ended_at, item.step) == (27.5, 30.0, "1.0")
    (item,) = waits(*rows, run(30.0, "start", (1, 0, 0)), END)
    assert (item.began_at, item.ended_at) == (12.0, 13.5)


# Guards against the longest waits of a list that never were: the lines of the starts or
# of the ends of their jobs are among those that the placer has dropped.
def test_a_wait_that_a_dropped_line_may_have_ended_is_marked_or_left_out():
    dropped = (3.0, "log lines dropped", {"count": 9})
    assert waits(taken_in(1.0), dropped, END) == []
    (item,) = waits(taken_in(1.0), dropped, run(5.0, "start"), END)
    assert (item.length_s, item.is_sure, item.used) == (4.0, False, None)
    waiting = step_waits(31.0, "headroom", 30.0)
    (item,) = waits(taken_in(1.0), dropped, waiting, END)
    assert (item.length_s, item.is_sure) == (39.0, False)
    ended = run(8.0, "run ended", how="done")  # its start was dropped
    (item,) = waits(taken_in(1.0), dropped, ended, run(9.0, "start", (0, 1, 0)), END)
    assert (item.began_at, item.ended_at) == (8.0, 9.0)


# Guards against a share that counts workers that are gone, or runs that have ended.
def test_the_share_of_cores_in_use_is_told():
    other = "00000000000000bb"
    (item, _) = waits(
        (0.0, "worker registered", {"worker": "w1", "cores": 16.0}),
        (0.0, "worker registered", {"worker": "w2", "cores": 16.0}),
        taken_in(0.0, job=other),
        run(0.1, "start", job=other),
        run(0.2, "start", (0, 0, 1), job=other),
        taken_in(1.0),
        run(3.0, "run ended", job=other, how="done"),
        (4.0, "worker unreachable", {"worker": "w2"}),
        (6.0, "worker reachable", {"worker": "w2"}),
        run(9.0, "start"),
        END,
    )
    assert (item.job, item.length_s, item.used) == (JOB, 8.0, (0.125, 0.25))


# Guards against a list that is not sorted across logs or longer than ten lines, and
# against a traceback for a path that is not the log of a play.
def test_the_ten_longest_waits_of_all_logs_are_printed(tmp_path, capsys):
    paths = []
    for number in range(12):
        path = tmp_path / f"{number}.log"
        rows = [taken_in(1.0), run(2.0 + number, "start")]
        path.write_text("\n".join(log(*rows)))
        paths.append(str(path))
    assert main(paths) == 0
    lines = capsys.readouterr().out.splitlines()
    listed, summaries = lines[:10], lines[10:]
    assert [float(line.split()[0]) for line in listed] == [12.0 - n for n in range(10)]
    assert f"11.log  {JOB}  step 0.0" in lines[0]
    assert len(summaries) == 12
    assert "3.log: longest 4.000 s" in summaries[3]
    path.write_text("rules broken: LOST 1\n")
    assert main([str(path)]) == 2
    assert str(path) in capsys.readouterr().err


# Guards against a wait that is shorter than the placer says, since the lines of its
# begin were dropped or it began in an earlier term.
@pytest.mark.parametrize("assigned", [0, 2])
def test_a_start_tells_how_long_its_job_had_no_run_across_terms(assigned):
    (item,) = waits(
        (0.0, "started", {}),
        taken_in(20.0, assigned=assigned),
        run(26.0, "start", idle_s=9.5, idle_from="earlier term"),
        run(26.1, "start", (0, 0, 1), idle_s=9.6, idle_from="earlier term"),
        END,
    )
    assert (item.began_at, item.ended_at) == (16.5, 26.0)


# Guards against a margin that is read from the length of a wait alone: a wait on a full
# site keeps the promise, and a short one on an idle site is near to breaking it.
def test_the_longest_time_with_under_half_of_the_cores_in_use_is_told(tmp_path, capsys):
    other = "00000000000000bb"
    rows = [
        (0.0, "worker registered", {"worker": "w1", "cores": 10.0}),
        taken_in(0.0, job=other),
        run(0.5, "start", job=other),
        taken_in(1.0),
        run(3.0, "start", (0, 0, 1), job=other),
        run(6.0, "run ended", (0, 0, 1), job=other, how="done"),
        run(9.5, "start"),
        END,
    ]
    (item, _) = waits(*rows)
    assert (item.length_s, item.below_half_s) == (8.5, 3.5)
    path = tmp_path / "play.log"
    path.write_text("\n".join(log(*rows)))
    assert main([str(path)]) == 0
    summary = capsys.readouterr().out.splitlines()[-1]
    assert f"longest 8.500 s ({JOB})" in summary
    assert f"under half of the cores in use 3.500 s ({JOB})" in summary


# Guards against a margin that is unknown in each play that drops lines, which all do.
def test_the_placer_tells_the_cores_in_use_where_lines_were_dropped():
    dropped = (2.0, "log lines dropped", {"count": 9})
    rows = [taken_in(1.0), dropped, run(12.0, "start"), END]
    (item,) = waits(*rows)
    assert item.below_half_s is None
    told = [
        step_waits(3.0, "headroom", 2.0, used_share=0.4),
        step_waits(5.0, "headroom", 4.0, used_share=0.7),
        step_waits(8.0, "headroom", 7.0, used_share=0.1),
    ]
    (item,) = waits(*rows[:2], *told, *rows[2:])
    assert (item.length_s, item.below_half_s) == (11.0, 4.0)


# Guards against the longest wait of a play that is missing, since the line of its job
# was dropped.
def test_a_job_whose_own_line_was_dropped_is_listed_as_its_starts_tell():
    (item,) = waits(
        (0.0, "log lines dropped", {"count": 9}),
        run(3.0, "start", idle_s=1.0, idle_from="accepted"),
        run(9.0, "start", (0, 1, 0), idle_s=5.0, idle_from="last run"),
        run(9.1, "start", (0, 1, 1)),
        END,
    )
    assert (item.began_at, item.ended_at, item.step) == (4.0, 9.0, "0.1")
    assert item.began_with == "last run"
