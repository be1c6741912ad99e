"""Judges absences of lasting tasks and tells their parts from the log lines."""

from __future__ import annotations

import json
import re
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Bounds of the rule LOST: 6 s and 3 s since the last run, 4 s and 3 s of calm, 3 s with
# room for the task twice over.
ABSENT_S = 9.0
CALM_S = 7.0
IDLE_S = 3.0
N_PLACES = 2
# Difference between the time of a log line and that of the event in the harness.
TOLERANCE_S = 0.1
PARTS = ("notice", "term", "leases", "advice", "room", "start")


class Absent(NamedTuple):
    """Task that nothing runs.

    Parameters
    ----------
    ended_at : float, seconds
        When its newest run ended.
    n_places : int
        How many tasks like it fit on the workers that may run it.
    """

    ended_at: float
    n_places: int


@dataclass
class Judge:
    """Reports each absence that the rule LOST does not allow, once.

    Parameters
    ----------
    n_ripe : int
        Absences that were long and calm enough, whether there was room or not.
    """

    violations: list[str] = field(default_factory=list)
    n_ripe: int = 0
    _no_room_at: dict[str, float] = field(default_factory=dict)
    _reported: set[tuple[str, float]] = field(default_factory=set)
    _ripe: set[tuple[str, float]] = field(default_factory=set)

    def look(
        self, now: float, absent: Mapping[str, Absent], disturbed_at: float
    ) -> list[str]:
        """Return the violations that show now.

        Parameters
        ----------
        disturbed_at : float, seconds
            When the newest disturbance ended; infinite while there is one.
        """
        for task, item in absent.items():
            if item.n_places < N_PLACES:
                self._no_room_at[task] = now
        if now - disturbed_at < CALM_S:
            return []
        found = []
        for task, item in absent.items():
            case = (task, item.ended_at)
            if now - item.ended_at < ABSENT_S or case in self._reported:
                continue
            if case not in self._ripe:
                self._ripe.add(case)
                self.n_ripe += 1
            if now - self._no_room_at.get(task, 0.0) < IDLE_S:
                continue
            self._reported.add(case)
            found.append(
                f"LOST: {task} absent for {now - item.ended_at:.2f} s,"
                f" {now - disturbed_at:.2f} s after the last disturbance,"
                f" room for {item.n_places}"
            )
        self.violations += found
        return found


class Absence(NamedTuple):
    """Time between two runs of a task, in seconds on the wall clock.

    Parameters
    ----------
    worker : str
        Worker of the earlier run.
    run : int
        Number of the later run.
    """

    task: str
    worker: str
    ended_at: float
    run: int
    begun_at: float

    @property
    def length_s(self) -> float:
        """Time for which the task was absent."""
        return self.begun_at - self.ended_at


# Earlier builds write a space before each value.
EVENT = re.compile(
    r'"event": ?"(worker unreachable|term begun|run lost|run ended|start)"'
)


def parse_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines that matter for absences, with their times as ``at``."""
    rows = []
    for line in lines:
        if not EVENT.search(line):
            continue
        try:
            row = json.loads(line)
            row["at"] = datetime.fromisoformat(row["timestamp"]).timestamp()
        except (ValueError, KeyError):
            continue  # cut by the end of a process
        rows.append(row)
    return sorted(rows, key=lambda row: row["at"])


def _task_name(row: Mapping[str, Any]) -> str:
    return ".".join(map(str, (row["job"], *row["task"])))


def split_absences(
    absences: Iterable[Absence], rows: Iterable[dict[str, Any]]
) -> list[tuple[Absence, dict[str, float]]]:
    """Return the parts of each absence, in seconds.

    Returns
    -------
    parts : list of (Absence, dict)
        ``notice`` until the worker is noticed not to answer; ``term`` instead until a
        term begins that did not see it go; ``leases`` until the run is given up;
        ``advice`` and ``room`` as the start says; ``start`` the rest.
    """
    by_task: dict[str, list[dict[str, Any]]] = defaultdict(list)
    by_worker: dict[str, list[float]] = defaultdict(list)
    terms: dict[str, list[float]] = defaultdict(list)
    for row in rows:
        if row["event"] == "worker unreachable":
            by_worker[row["worker"]].append(row["at"])
        elif row["event"] == "term begun":
            terms[row["process_vm"]].append(row["at"])
        else:
            by_task[_task_name(row)].append(row)
    found = []
    for item in absences:
        earliest = item.ended_at - TOLERANCE_S
        own = [
            row
            for row in by_task[item.task]
            if earliest <= row["at"] <= item.begun_at + TOLERANCE_S
        ]
        given_up = [
            row
            for row in own
            if row["event"] != "start"
            and row["run"] < item.run
            # A run that was not adopted is always the current one.
            and row.get("current", True)
        ]
        starts = [
            row for row in own if row["event"] == "start" and row["run"] == item.run
        ]
        parts = dict.fromkeys(PARTS, 0.0)
        at = item.ended_at
        if given_up:
            first = given_up[0]
            seen = [
                moment
                for moment in by_worker[item.worker]
                if earliest <= moment <= first["at"]
            ]
            begun = [
                moment
                for moment in terms[first["process_vm"]]
                if earliest <= moment <= first["at"]
            ]
            if begun:
                parts["term"] = max(0.0, begun[-1] - at)
                at = max(at, begun[-1])
            elif seen:
                parts["notice"] = max(0.0, seen[0] - at)
                at = max(at, seen[0])
            parts["leases"] = max(0.0, first["at"] - at)
            at = max(at, first["at"])
        if starts:
            left_s = max(0.0, item.begun_at - at)
            parts["advice"] = min(left_s, starts[-1].get("advice_s") or 0.0)
            left_s -= parts["advice"]
            parts["room"] = min(left_s, starts[-1].get("room_s") or 0.0)
        parts["start"] = max(0.0, item.length_s - sum(parts.values()))
        found.append((item, parts))
    return found
