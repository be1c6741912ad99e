"""A checker for each promise of the design page, as a pure function."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .history import Call, History, Run

LEAVING_BOUND_S = 3.0  # P6: no new work on a leaving worker after this
CONFIG_BOUND_S = 2.0  # P8: an accepted configuration is in force after this
# Processes read their wall and monotonic clocks one after the other.
TIME_SLACK_S = 0.002
# Without "not_run", since a later submission of the same id may still run.
FINAL_STATES = frozenset({"done", "failed", "cancelled"})
OPEN_STATES = frozenset({"", "accepted"})


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a promise."""

    promise: str
    subject: str
    detail: str


def check_p1(history: History) -> list[Violation]:
    """Check that the running tasks of a worker never exceed its capacity."""
    found = []
    for worker_id, capacity in history.capacity.items():
        runs = [run for run in history.runs if run.worker_id == worker_id]
        found += _capacity_violations(worker_id, capacity, runs)
    return found


def _capacity_violations(
    worker_id: str, capacity: dict[str, float], runs: list[Run]
) -> list[Violation]:
    # Ends sort before starts at the same time: the worker releases first.
    events = [(run.started_at, 1, run) for run in runs]
    events += [(run.ended_at, 0, run) for run in runs if run.ended_at is not None]
    events.sort(key=lambda item: item[:2])
    used: dict[str, float] = defaultdict(float)
    found = []
    for at, is_start, run in events:
        for name, amount in run.need.items():
            used[name] += amount if is_start else -amount
            if is_start and used[name] > capacity[name] + 1e-6:
                detail = f"{used[name]:g} {name} of {capacity[name]:g} at {at:.3f}"
                found.append(Violation("P1", f"{worker_id} {run.task_id}", detail))
    return found


def check_p2(history: History) -> list[Violation]:
    """Check that no task of a logged request has two runs at the same time."""
    logged = history.logged_ids()
    found = []
    for task_id, runs in history.runs_by_task().items():
        if runs[0].request_id not in logged:
            continue
        for first, second in pairwise(runs):
            if first.ended_at is None or second.started_at < first.ended_at:
                detail = (
                    f"on {first.worker_id} from {first.started_at:.3f} to "
                    f"{first.ended_at} and on {second.worker_id} from "
                    f"{second.started_at:.3f}"
                )
                found.append(Violation("P2", task_id, detail))
    return found


def check_p3(history: History) -> list[Violation]:
    """Check that answers are complete, consistent and about their request."""
    submissions = history.submissions()
    runs = history.runs_by_task()
    final_answers: dict[str, dict[str, object]] = {}
    found = []
    for call in sorted(history.answers(), key=lambda item: item.answered_at or 0.0):
        problem = _answer_problem(call, submissions.get(call.request_id, []), runs)
        if not problem and call.state in FINAL_STATES and call.kind != "check":
            answer = {key: (call.answer or {}).get(key) for key in ("state", "results")}
            if final_answers.setdefault(call.request_id, answer) != answer:
                problem = f"{answer} after {final_answers[call.request_id]}"
        if problem:
            found.append(Violation("P3", f"{call.request_id} via {call.vm}", problem))
    return found


def _answer_problem(
    call: Call, submissions: list[Call], runs: dict[str, list[Run]]
) -> str:
    answer = call.answer or {}
    if answer.get("request_id") != call.request_id:
        return f"answer is about {answer.get('request_id')!r}"
    if call.state != "done" or not submissions:
        return ""
    submission = submissions[0]
    results = answer.get("results") or []
    if [item.get("task") for item in results] != list(range(submission.n_tasks)):
        return f"{len(results)} results of {submission.n_tasks}"
    for index, item in enumerate(results):
        if item.get("value") != submission.echo:
            return f"result {index} is {item.get('value')!r}, not {submission.echo!r}"
        ran = any(
            run.ok and (run.ended_at or 0.0) <= (call.answered_at or 0.0) + TIME_SLACK_S
            for run in runs.get(f"{call.request_id}/{index}", [])
            if run.ended_at is not None
        )
        if not ran:
            return f"task {index} had not run when the answer was given"
    return ""


def check_p4(history: History) -> list[Violation]:
    """Check that a request answered "not run" did not run.

    After the rejected submission began, a start of the id is permitted only if
    another submission, concurrent or later and not itself rejected, began before it.
    """
    submissions = history.submissions()
    runs = history.runs_by_request()
    found = []
    for call in history.answers():
        if call.state != "not_run":
            continue
        others = [
            item
            for item in submissions.get(call.request_id, [])
            if item is not call
            and item.state != "not_run"
            and (item.answered_at is None or item.answered_at >= call.invoked_at)
        ]
        for run in runs.get(call.request_id, []):
            if run.started_at < _rejected_since(call, submissions):
                continue
            if not any(item.invoked_at <= run.started_at for item in others):
                detail = (
                    f"refused via {call.vm} from {call.invoked_at:.3f} to "
                    f"{call.answered_at:.3f} ({(call.answer or {}).get('reason')}), "
                    f"started on {run.worker_id} at {run.started_at:.3f}"
                )
                found.append(Violation("P4", call.request_id, detail))
    return found


def _rejected_since(call: Call, submissions: dict[str, list[Call]]) -> float:
    """Return the time from which on a start contradicts the answer.

    The answer to a look-up, or to the only submission of an id, covers all the time
    since the first submission.
    """
    same_id = submissions.get(call.request_id, [])
    if call.op == "lookup" or len(same_id) <= 1:
        return float("-inf")
    return call.invoked_at


def check_p5(history: History) -> list[Violation]:
    """Check that no order starts more than once."""
    orders = {call.request_id for call in history.calls if call.kind == "order"}
    return [
        Violation(
            "P5",
            task_id,
            ", ".join(f"{run.worker_id} at {run.started_at:.3f}" for run in runs),
        )
        for task_id, runs in history.runs_by_task().items()
        if runs[0].request_id in orders and len(runs) > 1
    ]


def check_p6(history: History) -> list[Violation]:
    """Check that no task starts on a leaving worker after the bound."""
    return [
        Violation(
            "P6",
            run.worker_id,
            f"{run.task_id} started {run.started_at - item.at:.3f} s after it "
            "began to leave",
        )
        for item in history.leaving
        for run in history.runs
        if run.worker_id == item.worker_id
        and item.at + LEAVING_BOUND_S < run.started_at < item.until
    ]


def check_p7(history: History) -> list[Violation]:
    """Check that a planned stop interrupts no request in progress."""
    found = []
    for stop in history.stops:
        if stop.exit_code != 0:
            found.append(Violation("P7", stop.vm, f"exit code {stop.exit_code}"))
        for call in history.calls:
            in_progress = (
                call.vm == stop.vm
                and call.invoked_at < stop.at
                and (call.answered_at is None or call.answered_at >= stop.at)
            )
            if in_progress and call.error == "closed":
                detail = f"{call.op} of {call.request_id} was cut off"
                found.append(Violation("P7", stop.vm, detail))
    return found


def check_p8(history: History) -> list[Violation]:
    """Check that accepted configurations come into force and are never reverted."""
    found = []
    digests: dict[int, str] = {}
    for item in history.publications:
        if not item.accepted:
            continue
        if digests.setdefault(item.revision, item.digest) != item.digest:
            detail = f"revision {item.revision} was accepted twice"
            found.append(Violation("P8", item.vm, detail))
    highest: dict[str, int] = {}
    for read in sorted(history.config_reads, key=lambda item: item.at):
        if digests.setdefault(read.revision, read.digest) != read.digest:
            detail = f"revision {read.revision} has two contents"
            found.append(Violation("P8", read.vm, detail))
        if read.revision < highest.get(read.vm, 0):
            detail = f"revision {read.revision} after {highest[read.vm]}"
            found.append(Violation("P8", read.vm, detail))
        highest[read.vm] = max(read.revision, highest.get(read.vm, 0))
        due = [
            item.revision
            for item in history.publications
            if item.accepted
            and item.answered_at is not None
            and read.at > max(item.answered_at, history.quiet_at) + CONFIG_BOUND_S
        ]
        if due and read.revision < max(due):
            detail = f"revision {read.revision} in force, {max(due)} was accepted"
            found.append(Violation("P8", read.vm, detail))
    return found


def check_nothing_lost(history: History) -> list[Violation]:
    """Check that every accepted request has its final answer at the end.

    A service must run, or be cancelled if that was requested.
    """
    claimed = {
        record["request_id"]
        for _, record in history.log
        if record.get("type") == "claim"
    }
    accepted = {
        call.request_id for call in history.answers() if call.state == "accepted"
    }
    last = {call.request_id: call for call in history.calls if call.sweep}
    services = {call.request_id for call in history.calls if call.kind == "service"}
    running = {run.request_id for run in history.runs if run.ended_at is None}
    cancelled = _certainly_cancelled(history)
    found = []
    for request_id in sorted(claimed | accepted):
        state = last[request_id].state if request_id in last else ""
        if request_id in services:
            if state in OPEN_STATES and request_id not in running:
                found.append(Violation("lost", request_id, "service does not run"))
            elif state in OPEN_STATES and request_id in cancelled:
                found.append(Violation("lost", request_id, "cancelled service runs"))
        elif state in OPEN_STATES:
            detail = f"no final answer, state {state!r}"
            found.append(Violation("lost", request_id, detail))
    return found


def _certainly_cancelled(history: History) -> set[str]:
    """Return the requests whose cancellation began after their acceptance.

    A cancellation that is concurrent with the submission may take effect before it.
    """
    accepted_at = {
        call.request_id: call.answered_at
        for call in sorted(
            history.answers(), key=lambda item: -(item.answered_at or 0.0)
        )
    }
    return {
        call.request_id
        for call in history.calls
        if call.op == "cancel"
        and call.status == 202
        and call.invoked_at > (accepted_at.get(call.request_id) or float("inf"))
    }


CHECKERS: dict[str, Callable[[History], list[Violation]]] = {
    "P1": check_p1,
    "P2": check_p2,
    "P3": check_p3,
    "P4": check_p4,
    "P5": check_p5,
    "P6": check_p6,
    "P7": check_p7,
    "P8": check_p8,
    "lost": check_nothing_lost,
}


def check_all(history: History) -> list[Violation]:
    """Run every checker."""
    return [item for check in CHECKERS.values() for item in check(history)]
