"""Lists the longest absences of lasting tasks in the logs of plays, across terms.

Reads the output of a play with ``--log all``: lines of the seconds of the play, the VM
and a log line as JSON. Times are in seconds of the play.

An absence counts from the earliest moment at which the log of any VM shows that the run
was gone or that its worker did not answer. It is longer than the real one if the worker
was only cut off, since the run then goes on until its lease lapses. Where a VM has
dropped log lines, the start of a run may be missing; an absence that it may have ended
is only as long as the next start says.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

N_LISTED = 10
DROPPED = "log lines dropped"
LINE = re.compile(r"\s*(-?\d+(?:\.\d+)?) (\S+) (\{.*\})\s*")
# Ends of a job, after which its tasks are not to run.
JOB_ENDS = frozenset({"job cancelled", "job completed", "job failed"})
WORKER_GONE = frozenset(
    {"worker unreachable", "worker deregistered", "worker incarnation ended"}
)


class Row(NamedTuple):
    """One log line of a play."""

    at: float
    vm: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Name of the event."""
        return str(self.fields["event"])


@dataclass(frozen=True, slots=True)
class Absence:
    """Time between two runs of a task.

    Parameters
    ----------
    task : str
        Job, occurrence, step and index.
    earlier_run, run : int
        Numbers of the runs; `run` is 0 if the log ends before the task runs again.
    began_at, ended_at : float, seconds
        When the earlier run was gone at the latest, and when the next one was started.
    source : str
        Log line that shows the beginning.
    reported_s : float or None, seconds
        What the start says, ``away_s``.
    reported_from : str
        ``away_from`` of the start.
    terms : tuple of int
        Terms that have begun meanwhile.
    waits : tuple of str
        What each of them has waited for, as its log names the bound.
    """

    task: str
    earlier_run: int
    run: int
    began_at: float
    ended_at: float
    source: str
    reported_s: float | None = None
    reported_from: str = ""
    terms: tuple[int, ...] = ()
    waits: tuple[str, ...] = ()

    @property
    def length_s(self) -> float:
        """Length of the absence."""
        return self.ended_at - self.began_at


def parse_lines(lines: Iterable[str]) -> list[Row]:
    """Return the log lines among those of a play, sorted by time."""
    rows = []
    for line in lines:
        found = LINE.fullmatch(line)
        if found is None:
            continue
        try:
            fields = json.loads(found[3])
        except ValueError:
            continue  # cut by the end of a process
        if "event" in fields:
            rows.append(Row(float(found[1]), found[2], fields))
    return sorted(rows, key=lambda row: row.at)


def find_absences(rows: Sequence[Row]) -> list[Absence]:
    """Return the absences of the tasks that last, the longest first.

    A task lasts if a start of it says how long it was away.
    """
    by_task: dict[str, list[Row]] = defaultdict(list)
    by_worker: dict[str, list[Row]] = defaultdict(list)
    terms = []
    job_ends: dict[str, float] = {}
    for row in rows:
        if "task" in row.fields and "job" in row.fields:
            by_task[_task_name(row)].append(row)
        elif row.event == "term begun":
            terms.append(row)
        elif row.event in JOB_ENDS:
            job_ends.setdefault(row.fields["job"], row.at)
        elif "worker" in row.fields:
            by_worker[row.fields["worker"]].append(row)
    dropped = [row.at for row in rows if row.event == DROPPED]
    found = []
    for task, own in by_task.items():
        if not any("away_s" in row.fields for row in own):
            continue
        over_at = job_ends.get(task.partition(".")[0], rows[-1].at)
        for earlier, later in _pairs(_effective_starts(own)):
            next_run = later.fields["run"] if later is not None else 0
            if next_run != earlier.fields["run"] + 1 and any(
                at > earlier.at for at in dropped
            ):
                # A start between the two may be missing.
                item = _find_absence(earlier, later, (), {}, over_at)
            else:
                item = _find_absence(earlier, later, own, by_worker, over_at)
            if item is not None:
                found.append(_add_terms(item, own, terms))
    return sorted(found, key=lambda item: -item.length_s)


def _task_name(row: Row) -> str:
    return ".".join(map(str, (row.fields["job"], *row.fields["task"])))


def _effective_starts(own: Sequence[Row]) -> list[Row]:
    """Return the starts of a task that had an effect, as far as its lines say."""
    failed = {row.fields["run"] for row in own if row.event == "start failed"}
    failed -= {row.fields["run"] for row in own if row.event == "run ended"}
    return [
        row for row in own if row.event == "start" and row.fields["run"] not in failed
    ]


def _pairs(starts: list[Row]) -> Iterable[tuple[Row, Row | None]]:
    return zip(starts, [*starts[1:], None], strict=True)


def _find_absence(
    earlier: Row,
    later: Row | None,
    own: Sequence[Row],
    by_worker: dict[str, list[Row]],
    over_at: float,
) -> Absence | None:
    """Return the absence between two starts, or from one to the end of the log."""
    until = later.at if later is not None else over_at
    signs = [
        (row.at, _describe(row))
        for row in _end_lines(earlier, own, by_worker.get(earlier.fields["worker"], ()))
        if row.at <= until
    ]
    fields = later.fields if later is not None else {}
    reported_s = fields.get("away_s")
    if later is not None and reported_s is not None:
        began_at = max(earlier.at, later.at - reported_s)
        signs.append((began_at, f"start, {fields.get('away_from')}"))
    if not signs:
        return None
    began_at, source = min(signs)
    return Absence(
        _task_name(earlier),
        earlier.fields["run"],
        fields.get("run", 0),
        began_at,
        until,
        source,
        reported_s,
        fields.get("away_from", ""),
    )


def _end_lines(start: Row, own: Sequence[Row], worker: Sequence[Row]) -> list[Row]:
    """Return the lines after a start that show that its run, or its worker, is gone."""
    run = start.fields["run"]
    ends = [
        row
        for row in own
        if row.at > start.at and row.fields["run"] == run and _shows_gone(row)
    ]
    silences: list[Row] = []
    for row in worker:
        if row.at > start.at and row.event == "worker reachable":
            # The report lists the run, or else a line of the run's end follows.
            silences.clear()
        elif row.at > start.at and row.event in WORKER_GONE:
            silences.append(row)
    return ends + silences


def _shows_gone(row: Row) -> bool:
    if row.event == "run not adopted":
        return bool(row.fields.get("registered_life") != row.fields.get("life"))
    return row.event in {"run ended", "run lost"}


def _describe(row: Row) -> str:
    how = row.fields.get("how") or row.fields.get("why")
    return f"{row.event}, {how}" if how else row.event


def _add_terms(item: Absence, own: Sequence[Row], terms: Sequence[Row]) -> Absence:
    """Return an absence with the terms that it spans and what they waited for."""

    def during(rows: Iterable[Row]) -> list[Row]:
        return [row for row in rows if item.began_at <= row.at <= item.ended_at]

    waits = [
        f"{row.fields.get('bound')} {row.fields.get('wait_s')} s ({row.vm})"
        for row in during(own)
        if row.event == "run not adopted"
    ]
    return Absence(
        item.task,
        item.earlier_run,
        item.run,
        item.began_at,
        item.ended_at,
        item.source,
        item.reported_s,
        item.reported_from,
        tuple(row.fields["term"] for row in during(terms)),
        tuple(waits),
    )


def format_absence(name: str, item: Absence) -> str:
    """Return one line that tells an absence in the log of a name."""
    run = f"run {item.earlier_run} to {item.run}" if item.run else "not started again"
    parts = [
        f"{item.length_s:7.3f} s  {name}  {item.task}  {run}",
        f"{item.began_at:.3f} ({item.source}) to {item.ended_at:.3f} s",
    ]
    if item.reported_s is not None:
        parts.append(f"away_s {item.reported_s} from {item.reported_from}")
    if item.terms:
        parts.append("terms " + " ".join(map(str, item.terms)))
    if item.waits:
        parts.append("waits " + "; ".join(item.waits))
    return "  ".join(parts)


def read_logs(
    program: str, paths: Iterable[Path]
) -> list[tuple[str, list[Row]]] | None:
    """Return the names and lines of logs; None, with a message, if one has none."""
    logs = []
    for path in paths:
        try:
            rows = parse_lines(path.read_text(errors="replace").splitlines())
        except OSError as exc:
            print(f"{program}: {path}: {exc.strerror}", file=sys.stderr)
            return None
        if not rows:
            print(f"{program}: {path}: no log lines of a play", file=sys.stderr)
            return None
        logs.append((path.name, rows))
        n_dropped = sum(
            row.fields.get("count", 0) for row in rows if row.event == DROPPED
        )
        if n_dropped:
            print(f"{path.name}: {n_dropped} log lines were dropped", file=sys.stderr)
    return logs


def main(argv: Sequence[str] | None = None) -> int:
    """Print the longest absences in logs of plays; return the exit code."""
    parser = argparse.ArgumentParser(prog="checks.absences", description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    logs = read_logs("checks.absences", parser.parse_args(argv).logs)
    if logs is None:
        return 2
    found = [(name, item) for name, rows in logs for item in find_absences(rows)]
    found.sort(key=lambda pair: -pair[1].length_s)
    for name, item in found[:N_LISTED]:
        print(format_absence(name, item))
    if not found:
        print("no absences of tasks that last")
    return 0


if __name__ == "__main__":
    sys.exit(main())
