"""Each checker accepts a small correct history and rejects an altered one."""

from __future__ import annotations

import pytest

from checks.history import (
    Call,
    ConfigRead,
    History,
    Leaving,
    PlannedStop,
    Publication,
    Run,
    add_worker_state,
)
from checks.promises import CHECKERS, check_all

NEED = {"cores": 2.0}


def submit(request_id, invoked_at, answered_at, state, *, kind="order", **fields):
    answer = {"request_id": request_id, "state": state, "reason": None, "results": []}
    if state == "done":
        answer["results"] = [{"task": 0, "ok": True, "value": "e"}]
    fields = {"vm": "a", "echo": "e", "answer": answer, **fields}
    return Call(
        "c", fields.pop("op", "submit"), request_id, kind, invoked_at=invoked_at,
        answered_at=answered_at, **fields,
    )  # fmt: skip


def run(task_id, started_at, ended_at, worker_id="w0", need=NEED):
    return Run(
        worker_id, task_id, task_id.partition("/")[0], started_at, ended_at, need, True
    )


def make_good():
    """Order o runs once; p is rejected, then submitted again and runs."""
    claim = {"type": "claim", "request_id": "o"}
    return History(
        calls=[
            submit("o", 1.0, 3.0, "done"),
            submit("o", 5.0, 5.1, "done", op="lookup", sweep=True),
            submit("p", 1.0, 2.0, "not_run"),
            submit("p", 2.1, 4.0, "done"),
            submit("s", 1.0, 1.1, "accepted", kind="service"),
        ],
        runs=[
            run("o/0", 1.5, 2.5),
            run("p/0", 2.5, 3.5),
            run("s/0", 1.5, None, "w1"),
        ],
        capacity={"w0": {"cores": 2.0}, "w1": {"cores": 2.0}},
        leaving=[Leaving("w0", 1.0)],
        stops=[PlannedStop("a", 4.5, 0)],
        log=[(0, claim)],
        publications=[Publication("a", 1.0, 1.5, True, 2, "x")],
        config_reads=[ConfigRead("a", 1.2, 1, "w"), ConfigRead("a", 20.0, 2, "x")],
        quiet_at=4.0,
        ended_at=30.0,
    )


def test_a_correct_history_is_accepted():
    """Guards against a checker that rejects correct runs."""
    assert check_all(make_good()) == []


def overfill(history):
    history.runs.append(run("q/0", 2.0, 2.2))


def run_twice_at_once(history):
    history.runs.append(run("o/0", 2.0, 2.4, "w1"))


def run_forever_and_again(history):
    history.runs[0].ended_at = None
    history.runs.append(run("o/0", 9.0, 9.4, "w1"))


def swap_answer(history):
    history.calls[0].answer["request_id"] = "p"


def drop_result(history):
    history.calls[0].answer["results"] = []


def give_value_of_another(history):
    history.calls[0].answer["results"][0]["value"] = "other"


def answer_before_the_run(history):
    history.runs[0].ended_at = 4.0


def change_answer(history):
    history.calls[1].answer = {**history.calls[0].answer, "state": "failed"}


def run_the_refused(history):
    del history.calls[3]


def run_the_refused_before_its_repeat(history):
    history.runs[1].started_at = 1.9


def run_what_a_lookup_denies(history):
    history.calls.append(submit("o", 6.0, 6.1, "not_run", op="lookup"))


def run_what_both_refuse(history):
    history.calls[3].answer = {**history.calls[2].answer}


def run_the_order_again(history):
    history.runs.append(run("o/0", 8.0, 9.0))


def place_on_leaving(history):
    history.runs.append(run("z/0", 4.1, 4.2, "w0"))


def cut_off(history):
    history.calls.append(
        submit("r", 4.0, None, "", answer=None, error="closed", kind="check")
    )


def exit_badly(history):
    history.stops[0].exit_code = 1


def revert(history):
    history.config_reads.append(ConfigRead("a", 21.0, 1, "w"))


def accept_two(history):
    history.publications.append(Publication("b", 1.0, 1.6, True, 2, "y"))


def never_apply(history):
    history.config_reads.append(ConfigRead("b", 19.0, 1, "w"))


def read_other_content(history):
    history.config_reads.append(ConfigRead("b", 19.0, 2, "z"))


def lose_the_end(history):
    history.calls[1].answer["state"] = "accepted"


def lose_the_lookup(history):
    del history.calls[1]


def run_the_cancelled_service(history):
    history.calls.append(submit("s", 1.2, 1.3, "", op="cancel", status=202))


def stop_the_service(history):
    history.runs[2].ended_at = 3.0


@pytest.mark.parametrize(
    ("promise", "break_it"),
    [
        ("P1", overfill),
        ("P2", run_twice_at_once),
        ("P2", run_forever_and_again),
        ("P3", swap_answer),
        ("P3", drop_result),
        ("P3", give_value_of_another),
        ("P3", answer_before_the_run),
        ("P3", change_answer),
        ("P4", run_the_refused),
        ("P4", run_the_refused_before_its_repeat),
        ("P4", run_what_a_lookup_denies),
        ("P4", run_what_both_refuse),
        ("P5", run_the_order_again),
        ("P6", place_on_leaving),
        ("P7", cut_off),
        ("P7", exit_badly),
        ("P8", revert),
        ("P8", accept_two),
        ("P8", never_apply),
        ("P8", read_other_content),
        ("lost", lose_the_end),
        ("lost", lose_the_lookup),
        ("lost", stop_the_service),
        ("lost", run_the_cancelled_service),
    ],
)
def test_a_bad_history_is_rejected(promise, break_it):
    """Guards against a checker that misses a violation."""
    history = make_good()
    break_it(history)
    assert CHECKERS[promise](history)


def test_worker_events_become_runs():
    """Guards against runs that are lost or paired with the wrong end."""
    start = {"event": "start", "request_id": "o", "task_id": "o/0", "need": NEED}
    end = {"event": "end", "ok": True, "detail": "", "task_id": "o/0"}
    history = History()
    add_worker_state(
        history,
        "w0",
        {
            "capacity": {"cores": 2.0},
            "violations": [],
            "history": [
                {**start, "run": 1, "at": 1.0},
                {**start, "run": 2, "at": 2.0},
                {"event": "leaving", "at": 2.5},
                {**end, "run": 1, "at": 3.0},
            ],
        },
    )
    assert [(item.started_at, item.ended_at) for item in history.runs] == [
        (1.0, 3.0),
        (2.0, None),
    ]
    assert history.leaving == [Leaving("w0", 2.5)]
