"""History of a concurrent run as recorded by callers, workers and the log.

All times are in seconds of the monotonic clock of one machine.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

LOGGED_KINDS = frozenset({"order", "batch", "gang", "service"})


@dataclass(slots=True)
class Call:
    """One call of a caller and its outcome.

    Parameters
    ----------
    op : str
        ``"submit"``, ``"lookup"``, ``"cancel"``.
    answered_at : float or None, seconds
        None while no complete answer has arrived.
    answer : dict or None
        Decoded body.
    error : str
        ``"refused"`` if no connection was made, so that the call was not sent;
        ``"timeout"`` or ``"closed"`` if its outcome is unknown to the caller.
    sweep : bool
        Whether this is a final look-up, after the faults have stopped.
    """

    caller: str
    op: str
    request_id: str
    kind: str
    vm: str
    invoked_at: float
    answered_at: float | None = None
    status: int = 0
    answer: dict[str, Any] | None = None
    error: str = ""
    n_tasks: int = 1
    echo: Any = None
    sweep: bool = False

    @property
    def state(self) -> str:
        """State in the answer; empty without one."""
        return (self.answer or {}).get("state", "")

    @property
    def sent(self) -> bool:
        """Whether the call may have reached the VM."""
        return self.error != "refused"


@dataclass(slots=True)
class Run:
    """One run of a task on a worker; ``ended_at`` is None while it runs."""

    worker_id: str
    task_id: str
    request_id: str
    started_at: float
    ended_at: float | None = None
    need: dict[str, float] = field(default_factory=dict)
    ok: bool = False
    detail: str = ""


@dataclass(slots=True)
class Leaving:
    """Interval in which a worker was leaving; a new incarnation of it may return."""

    worker_id: str
    at: float
    until: float = float("inf")


@dataclass(slots=True)
class PlannedStop:
    """A drain of a VM.

    Parameters
    ----------
    exit_code : int or None
        Exit code of the process; None if it did not end in time.
    """

    vm: str
    at: float
    exit_code: int | None = 0


@dataclass(slots=True)
class Publication:
    """Attempt to publish a configuration; ``answered_at`` is None if unknown."""

    vm: str
    invoked_at: float
    answered_at: float | None
    accepted: bool
    revision: int
    digest: str


@dataclass(slots=True)
class ConfigRead:
    """Configuration that a VM reported to be in force."""

    vm: str
    at: float
    revision: int
    digest: str


@dataclass(slots=True)
class History:
    """Records that the checkers judge.

    Parameters
    ----------
    quiet_at : float, seconds
        When the last fault stopped.
    ended_at : float, seconds
        When the records were collected.
    violations : list of dict
        Violations that the worker stand-ins recorded.
    """

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    capacity: dict[str, dict[str, float]] = field(default_factory=dict)
    leaving: list[Leaving] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    log: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    publications: list[Publication] = field(default_factory=list)
    config_reads: list[ConfigRead] = field(default_factory=list)
    quiet_at: float = 0.0
    ended_at: float = float("inf")
    violations: list[dict[str, Any]] = field(default_factory=list)

    def submissions(self) -> dict[str, list[Call]]:
        """Return the submissions that may have reached a VM, by request id."""
        found: dict[str, list[Call]] = {}
        for call in self.calls:
            if call.op == "submit" and call.sent:
                found.setdefault(call.request_id, []).append(call)
        return found

    def runs_by_task(self) -> dict[str, list[Run]]:
        """Return the runs of each task, ordered by start."""
        found: dict[str, list[Run]] = {}
        for run in sorted(self.runs, key=lambda item: item.started_at):
            found.setdefault(run.task_id, []).append(run)
        return found

    def runs_by_request(self) -> dict[str, list[Run]]:
        """Return the runs of each request."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.request_id, []).append(run)
        return found

    def logged_ids(self) -> set[str]:
        """Return the ids of requests of a logged kind or with a claim in the log."""
        ids = {call.request_id for call in self.calls if call.kind in LOGGED_KINDS}
        return ids | {
            record["request_id"]
            for _, record in self.log
            if record.get("type") == "claim"
        }

    def answers(self) -> Iterator[Call]:
        """Return the submissions and look-ups with a complete answer."""
        return (
            call
            for call in self.calls
            if call.answered_at is not None and call.state and call.op != "cancel"
        )

    def write(self, path: Path) -> None:
        """Write the history as JSON."""
        path.write_text(json.dumps(asdict(self), indent=1, default=str))


def add_worker_state(history: History, worker_id: str, state: dict[str, Any]) -> None:
    """Add the events of one worker stand-in to a history."""
    history.capacity[worker_id] = state["capacity"]
    history.violations += [
        {"worker_id": worker_id, **item} for item in state["violations"]
    ]
    runs: dict[int, Run] = {}
    for event in state["history"]:
        if event["event"] == "start":
            run = Run(
                worker_id,
                event["task_id"],
                event["request_id"],
                event["at"],
                need=event["need"],
            )
            runs[event["run"]] = run
            history.runs.append(run)
        elif event["event"] == "end":
            run = runs[event["run"]]
            run.ended_at = event["at"]
            run.ok, run.detail = event["ok"], event["detail"]
        elif event["event"] == "leaving":
            history.leaving.append(Leaving(worker_id, event["at"]))
        elif event["event"] == "returned":
            history.leaving[-1].until = event["at"]
