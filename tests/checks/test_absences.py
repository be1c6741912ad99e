"""The list of absences in the logs of plays, as `checks.absences` prints it."""

from __future__ import annotations

import json

import pytest

from checks.absences import find_absences, main, parse_lines

TASK = {"job": "00000000000000aa", "task": [0, 0, 0]}
NAME = "00000000000000aa.0.0.0"


def log(*rows):
    """Return lines of a play from rows of seconds, VM, event and fields."""
    lines = ["built in 0.2 s; 31457 lines in 174 files", "  -1.0 vm {cut"]
    for at, vm, event, fields in rows:
        lines.append(f"  {at:.4f} {vm} {json.dumps({**fields, 'event': event})}")
    return [*lines, "", "rules broken: LOST 1"]


def start(at, run, worker, vm="n1", **more):
    """Return the row of a start."""
    return at, vm, "start", {**TASK, "run": run, "worker": worker, **more}


def back(at, run, worker, vm, away_s):
    """Return the row of a start that ends an absence."""
    return start(at, run, worker, vm, away_s=away_s, away_from="term begun")


def absences(*rows):
    """Return the absences in the log of some rows."""
    return find_absences(parse_lines(log(*rows)))


# Guards against a margin that leaves out the time before the newest term.
def test_an_absence_counts_across_terms_and_vms():
    not_adopted = {**TASK, "run": 1, "worker": "w1", "life": 7, "registered_life": None}
    (item,) = absences(
        start(1.0, 1, "w1"),
        (5.0, "n1", "worker unreachable", {"worker": "w1"}),
        (6.0, "n2", "term begun", {"term": 2}),
        (6.0, "n2", "run not adopted", not_adopted | {"bound": "x", "wait_s": 9.4}),
        (8.0, "n3", "term begun", {"term": 4}),
        (8.0, "n3", "run not adopted", not_adopted | {"bound": "y", "wait_s": 3.0}),
        (11.0, "n3", "run lost", {**TASK, "run": 1, "worker": "w1"}),
        back(11.5, 2, "w2", "n3", 3.5),
    )
    assert (item.task, item.earlier_run, item.run) == (NAME, 1, 2)
    assert (item.began_at, item.ended_at, item.length_s) == (5.0, 11.5, 6.5)
    assert item.source == "worker unreachable"
    assert (item.reported_s, item.reported_from) == (3.5, "term begun")
    assert item.terms == (2, 4)
    assert item.waits == ("x 9.4 s (n2)", "y 3.0 s (n3)")


# Guards against the end of a run that counts only from when a later term gave it up.
def test_an_end_that_no_term_has_journaled_begins_the_absence():
    end = {**TASK, "run": 1, "worker": "w1", "how": "stopped"}
    (item,) = absences(
        start(1.0, 1, "w1"),
        (2.0, "n1", "run ended", end),
        (3.0, "n2", "worker reachable", {"worker": "w1"}),
        (3.0, "n2", "run ended", end),
        back(14.0, 2, "w2", "n3", 6.0),
    )
    assert (item.began_at, item.source) == (2.0, "run ended, stopped")


# Guards against absences that never were: a worker that answers again with its run, and
# tasks that do not last.
def test_silences_without_effect_and_other_tasks_are_no_absences():
    (item,) = absences(
        start(1.0, 1, "w1"),
        (2.0, "n1", "worker unreachable", {"worker": "w1"}),
        (3.0, "n1", "worker reachable", {"worker": "w1"}),
        (9.0, "n1", "worker unreachable", {"worker": "w1"}),
        back(12.0, 2, "w2", "n1", 2.9),
    )
    assert item.began_at == 9.0
    assert not absences(
        start(1.0, 1, "w1"),
        (2.0, "n1", "run ended", {**TASK, "run": 1, "worker": "w1", "how": "failed"}),
        start(12.0, 2, "w2"),
    )


# Guards against an absence that a start without effect seems to end, and against one
# that is left out since the task never ran again.
def test_a_start_that_failed_does_not_end_an_absence():
    rows = [
        start(1.0, 1, "w1"),
        (2.0, "n1", "run ended", {**TASK, "run": 1, "worker": "w1", "how": "lapsed"}),
        back(3.0, 2, "w2", "n1", 1.0),
        (3.1, "n1", "start failed", {**TASK, "run": 2, "worker": "w2"}),
    ]
    (item,) = absences(*rows, back(8.0, 3, "w3", "n1", 6.0))
    assert (item.began_at, item.ended_at, item.run) == (2.0, 8.0, 3)
    (item,) = absences(*rows, (20.0, "n1", "claiming", {"term": 3}))
    assert (item.began_at, item.ended_at, item.run) == (2.0, 20.0, 0)
    cancelled = (4.0, "n1", "job cancelled", {"job": TASK["job"]})
    (item,) = absences(*rows, cancelled, (20.0, "n1", "claiming", {"term": 3}))
    assert item.ended_at == 4.0


# Guards against a list that is not sorted across logs, or longer than ten lines.
def test_the_ten_longest_absences_of_all_logs_are_printed(tmp_path, capsys):
    paths = []
    for number in range(12):
        path = tmp_path / f"{number}.log"
        rows = [start(1.0, 1, "w1"), back(20.0 + number, 2, "w2", "n2", 1.0 + number)]
        path.write_text("\n".join(log(*rows)))
        paths.append(str(path))
    assert main(paths) == 0
    lines = capsys.readouterr().out.splitlines()
    lengths = [float(line.split()[0]) for line in lines]
    assert lengths == [12.0 - number for number in range(10)]
    assert f"11.log  {NAME}  run 1 to 2" in lines[0]


# Guards against a traceback, or a clean list, for a path that is not the log of a play.
@pytest.mark.parametrize("text", [None, "", "rules broken: LOST 1\n"])
def test_a_file_without_log_lines_is_refused(tmp_path, capsys, text):
    path = tmp_path / "play.log"
    if text is not None:
        path.write_text(text)
    assert main([str(path)]) == 2
    out, err = capsys.readouterr()
    assert not out
    assert len(err.splitlines()) == 1
    assert str(path) in err
