"""The judge of lasting tasks reports what the rule LOST forbids, and nothing else."""

from __future__ import annotations

import json
import math
from datetime import UTC, datetime

import pytest

from checks.lasting_judge import (
    ABSENT_S,
    CALM_S,
    IDLE_S,
    PARTS,
    Absence,
    Absent,
    Judge,
    parse_lines,
    split_absences,
)
from checks.lasting_site import ADVICE, AdvisedWorker, LastingSite, permits
from review.harness.record import Record
from review.harness.worker import Run

TASK = "00000000000000aa.0.0.0"
STEP_S = 0.05
DISTURBED_AT = 100.0


def watch(judge, ended_at, until, *, places=lambda now: 2, disturbed=DISTURBED_AT):
    """Have a judge look at one absent task from the end of its run on."""
    now = ended_at
    while now < until:
        now += STEP_S
        judge.look(now, {TASK: Absent(ended_at, places(now))}, disturbed)
    return judge.violations


# Guards against a judge that never reports: a task was absent for 11 s, and 9 s after
# the last disturbance nothing ran it.
def test_a_task_that_is_absent_too_long_is_reported_once():
    judge = Judge()
    (text,) = watch(judge, DISTURBED_AT - 2.0, DISTURBED_AT + 9.0)
    assert text.startswith(f"LOST: {TASK} absent for 9.0")
    assert judge.n_ripe == 1


# Guards against a second absence of a task that hides behind the report of its first.
def test_each_absence_of_a_task_is_reported():
    judge = Judge()
    watch(judge, DISTURBED_AT, DISTURBED_AT + 10.0)
    assert len(watch(judge, DISTURBED_AT + 20.0, DISTURBED_AT + 30.0)) == 2


# Guards against reports of what the rule allows: 9 s since the last run, 7 s since the
# last disturbance, and 3 s with room for the task twice over.
@pytest.mark.parametrize("case", ["soon back", "not calm", "disturbed", "no room"])
def test_an_absence_that_the_rule_allows_is_not_reported(case):
    judge = Judge()
    ended_at, until, disturbed = DISTURBED_AT, DISTURBED_AT + 30.0, DISTURBED_AT
    places = 2
    if case == "soon back":
        until = ended_at + ABSENT_S - 2 * STEP_S
    elif case == "not calm":
        ended_at = DISTURBED_AT - 20.0
        until = DISTURBED_AT + CALM_S - 2 * STEP_S
    elif case == "disturbed":
        disturbed = math.inf
    else:
        places = 1
    assert not watch(
        judge, ended_at, until, places=lambda _: places, disturbed=disturbed
    )


# Guards against a report as soon as there is room, though the rule counts 3 s with it.
def test_room_counts_only_once_it_has_lasted():
    free_at = DISTURBED_AT + 15.0

    def places(now):
        return 2 if now >= free_at else 1

    early = Judge()
    until = free_at + IDLE_S - 3 * STEP_S
    assert not watch(early, DISTURBED_AT, until, places=places)
    assert early.n_ripe == 1
    assert watch(Judge(), DISTURBED_AT, free_at + IDLE_S + 1.0, places=places)


def log_line(event, at, vm="vm1", **more):
    """Return a log line of a VM."""
    time = datetime.fromtimestamp(at, UTC).isoformat().replace("+00:00", "Z")
    return json.dumps({"event": event, "process_vm": vm, "timestamp": time, **more})


def task_line(event, at, run, vm="vm1", **more):
    """Return a log line about the task."""
    job = TASK.partition(".")[0]
    return log_line(event, at, vm, job=job, task=[0, 0, 0], run=run, **more)


def split(*lines):
    """Return the parts of an absence of 8 s that begins at 1000 s."""
    absence = Absence(TASK, "w1", 1000.0, 2, 1008.0)
    ((_, parts),) = split_absences([absence], parse_lines(lines))
    assert sum(parts.values()) == pytest.approx(8.0)
    assert set(parts) == set(PARTS)
    return {name: round(value, 3) for name, value in parts.items() if value}


# Guards against parts of an absence that are counted twice or for the wrong cause.
def test_an_absence_is_split_as_its_term_has_seen_it():
    parts = split(
        log_line("worker unreachable", 1000.5, worker="w1"),
        log_line("worker unreachable", 1000.6, worker="w2"),
        task_line("run lost", 1006.0, 1, current=True),
        task_line("start", 1007.8, 2, advice_s=1.0, room_s=0.5),
        "cut",
    )
    expected = {"notice": 0.5, "leases": 5.5, "advice": 1.0, "room": 0.5, "start": 0.5}
    assert parts == expected


# Guards against a wait of a new term that counts as that for a worker's notice, and
# against the line of a run that was not adopted, which has no field "current".
def test_an_absence_across_terms_counts_the_change_of_the_term():
    parts = split(
        log_line("worker unreachable", 1000.1, "vm1", worker="w1"),
        log_line("term begun", 1002.0, "vm2"),
        log_line("term begun", 1004.0, "vm3"),
        task_line("run lost", 1007.5, 1, "vm2", why="worker not registered"),
        task_line("start", 1007.9, 2, "vm2"),
    )
    assert parts == {"term": 2.0, "leases": 5.5, "start": 0.5}


# Guards against an earlier or a superseded run whose loss counts for this absence.
def test_lines_of_other_runs_do_not_count():
    parts = split(
        task_line("run lost", 990.0, 1, current=True),
        task_line("run lost", 1001.0, 1, current=False),
        task_line("run ended", 1006.0, 1, current=True, how="lapsed"),
        task_line("start", 995.0, 2, advice_s=3.0),
    )
    assert parts == {"leases": 6.0, "start": 2.0}


@pytest.fixture
def site(tmp_path):
    """Return a site of three workers with room for two tasks each, all permitted."""
    record = Record(tmp_path / "record.txt")
    made = LastingSite(record, tmp_path, True)
    made.lasting[TASK.partition(".")[0]] = (1, 16_000, 0)
    number = 0
    while len(made.workers) < 3:
        number += 1
        worker = AdvisedWorker(f"w{number}", made.store, record, "", 32_000)
        if permits(TASK.rpartition(".")[0], worker.worker_id, ADVICE["watch"][2]):
            worker.up = True
            made.workers.append(worker)
            made.advice.workers[worker.worker_id] = worker
    return made


# Guards against room that no start can use: on workers that are lost or cut off, that
# advice does not permit or that are full.
def test_only_workers_that_can_start_the_task_have_room(site):
    assert site.n_places(TASK) == 6
    site.workers[0].up = False
    site.workers[1].joined.clear()
    assert site.n_places(TASK) == 2
    site.workers[2].running["other"] = Run("other", 1, 20_000, 1000.0, 0.0)
    assert site.n_places(TASK) == 0
    denied = AdvisedWorker("", site.store, site.record, "", 32_000, up=True)
    while permits(TASK.rpartition(".")[0], denied.worker_id, ADVICE["watch"][2]):
        denied.worker_id += "x"
    site.workers.append(denied)
    assert site.n_places(TASK) == 0


# Guards against an absence that ends with the worker that carried the task, once that
# worker is replaced, and against one of a task that has never run.
def test_the_last_run_on_a_replaced_worker_counts(site):
    assert site.absent() == {}
    site.past.append(site.workers.pop())
    site.past[0].history.append((TASK, 1, 5.0, 7.0))
    site.workers[0].history.append((TASK, 2, 8.0, 9.0))
    assert site.absent() == {TASK: Absent(9.0, 4)}
    site.workers[0].running[TASK] = Run(TASK, 3, 16_000, 1000.0, 12.0)
    assert site.absent() == {}
    assert [(item.run, round(item.length_s, 3)) for item in site.absences(6.0)] == [
        (2, 1.0),
        (3, 3.0),
    ]


# Guards against a double run that is overlooked since one worker was replaced.
def test_runs_at_the_same_time_are_found_on_replaced_workers(site):
    site.workers[0].history.append((TASK, 2, 8.0, 9.0))
    assert not site.find_doubles()
    site.past.append(site.workers.pop())
    site.past[0].history.append((TASK, 1, 5.0, 8.5))
    (found,) = site.find_doubles()
    assert found.endswith("for 500 ms")


# Guards against gigabytes of memory for one error message that shows a handler.
def test_the_stand_ins_have_a_short_representation(site):
    assert len(repr((site, site.advice, site.workers, site.advice.server))) < 2000


def test_lines_without_spaces_are_read_like_those_of_earlier_builds():
    """Guards against a judge that finds no event in the lines of a newer build."""
    line = log_line("run lost", 12.0)
    compact = json.dumps(json.loads(line), separators=(",", ":"))
    assert parse_lines([compact]) == parse_lines([line]) != []
