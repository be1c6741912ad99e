"""Lists the longest times for which jobs had nothing running, in the logs of plays.

Reads the output of a play with ``--log all``, as `checks.absences` does. For each job
it finds the longest time without a run while the turn of a step had come: from when the
job was accepted or its last run was gone, as the log shows it, until the next start
that had an effect, the end of the job or that of the log. Absences of single tasks of a
job of which others run are left to `checks.absences`.

Between the times of a scheduled job, only the wait that a start tells counts. Where log
lines were dropped, the start of a run may be missing: a wait is marked if it ends with
a start or the newest line of its job says that a step waits, and left out otherwise.
The time without a run that a start tells (`idle_s`) counts across terms, and may begin
a wait earlier than the lines that were kept.

For each log it ends with the longest wait, and the longest time within one for which
under half of the cores were in use: a job that stands still so long at the end of a day
while its tasks would fit breaks the promise that accepted work is done.
"""

from __future__ import annotations

import argparse
import sys
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, replace
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .absences import DROPPED, JOB_ENDS, N_LISTED, WORKER_GONE, read_logs

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .absences import Row

LOG_ENDS = "log ends"
# A process tells within this time that it has dropped lines.
DROPS_TOLD_S = 1.0
# Share of the cores below which a site counts as idle.
HALF = 0.5
RUN_ENDS = frozenset({"run ended", "run lost"})
# Lines that show that a worker may be used.
WORKER_PRESENT = frozenset({"worker registered", "worker reachable"})


@dataclass(frozen=True, slots=True)
class IdleWait:
    """Time for which a job had nothing running.

    Parameters
    ----------
    began_at, ended_at : float, seconds
        Times of the play.
    began_with, ended_with : str
        What the log shows at both.
    step : str
        Occurrence and number of the step that was started; empty if none was.
    needs : str
        What the job takes: tasks, cores and gangs of its steps.
    reasons : tuple of str
        Why the placer started nothing, as its lines say.
    used : tuple of (float, float) or None
        Least and largest share of the cores of all workers in use meanwhile.
    below_half_s : float or None, seconds
        Longest time on end, in any wait of the job, for which under half of the cores
        were in use: those of all workers or, where log lines were dropped before the
        end of the wait, those of the pool as the placer's lines about it say. None if
        none does.
    is_sure : bool
        Whether no log lines were dropped meanwhile.
    """

    job: str
    began_at: float
    ended_at: float
    began_with: str
    ended_with: str
    step: str = ""
    needs: str = ""
    reasons: tuple[str, ...] = ()
    used: tuple[float, float] | None = None
    below_half_s: float | None = None
    is_sure: bool = True

    @property
    def length_s(self) -> float:
        """Length of the wait."""
        return self.ended_at - self.began_at


@dataclass(eq=False)
class UsedCores:
    """Share of the cores of all workers in use, over the time of a log."""

    times: list[float]
    shares: list[float]

    def between(self, began_at: float, ended_at: float) -> tuple[float, float] | None:
        """Return the least and the largest share in some time; None if unknown."""
        first = max(0, bisect_right(self.times, began_at) - 1)
        shares = self.shares[first : bisect_left(self.times, ended_at)]
        return (min(shares), max(shares)) if shares else None

    def rows(self, began_at: float, ended_at: float) -> list[tuple[float, float]]:
        """Return the times in some time from which on a share counts, and the share."""
        first = max(0, bisect_right(self.times, began_at) - 1)
        last = bisect_left(self.times, ended_at)
        return list(zip(self.times[first:last], self.shares[first:last], strict=True))


def find_idle_waits(rows: Sequence[Row]) -> list[IdleWait]:
    """Return the longest wait of each job, the longest first."""
    by_job: dict[str, list[Row]] = defaultdict(list)
    for row in rows:
        if "job" in row.fields:
            by_job[row.fields["job"]].append(row)
    dropped = [row.at for row in rows if row.event == DROPPED]
    used = _used_cores(rows)
    found = []
    for own in by_job.values():
        waits = [
            item
            for each in _job_waits(own, rows[0].at, rows[-1].at)
            if (item := _check_dropped(each, own, dropped)) is not None
        ]
        if waits:
            waits = [_add_context(item, own, dropped, used) for item in waits]
            longest = max(waits, key=lambda item: item.length_s)
            below = [
                item.below_half_s for item in waits if item.below_half_s is not None
            ]
            found.append(replace(longest, below_half_s=max(below, default=None)))
    return sorted(found, key=lambda item: -item.length_s)


def _job_waits(
    own: Sequence[Row], first_at: float, last_at: float
) -> Iterator[IdleWait]:
    """Yield the times in which a job had nothing running."""
    taken_in = next((row for row in own if row.event == "job taken in"), None)
    if taken_in is None:  # its line was dropped
        yield from _told_waits(own)
        return
    job, failed, is_timed = taken_in.fields["job"], _failed_starts(own), _is_timed(own)
    end = next((row for row in own if row.event in JOB_ENDS), None)
    running: set[tuple[Any, ...]] = set()
    newest = -1  # occurrence
    began_at: float | None = max(first_at, _accepted_at(taken_in))
    began_with = "accepted"
    if taken_in.fields.get("assigned"):
        began_at = None  # what runs is known from its next lines only
    for row in own if end is None else own[: own.index(end)]:
        run = _run_of(row)
        if run is None or run in failed:
            continue
        if row.event == "start":
            if is_timed and run[0] > newest and began_at is not None:
                began_at = row.at - row.fields.get("step_waited_s", 0.0)
            elif not running and "idle_s" in row.fields:
                told_at = row.at - row.fields["idle_s"]
                if began_at is None:
                    began_with = row.fields.get("idle_from", "")
                began_at = told_at if began_at is None else min(began_at, told_at)
            if began_at is not None:
                step = f"{run[0]}.{run[1]}"
                yield IdleWait(job, began_at, row.at, began_with, "start", step)
            running.add(run)
            newest, began_at = max(newest, run[0]), None
        elif row.event in RUN_ENDS and (run in running or began_at is not None):
            # Without a start in the log, its line was dropped.
            running.discard(run)
            if not running:
                began_at, began_with = row.at, _describe(row)
    if began_at is not None and not is_timed:
        ended_at, ended_with = (end.at, end.event) if end else (last_at, LOG_ENDS)
        yield IdleWait(job, began_at, ended_at, began_with, ended_with)


def _told_waits(own: Sequence[Row]) -> Iterator[IdleWait]:
    """Yield the times without a run that the starts of a job tell."""
    for row in own:
        if row.event == "start" and "idle_s" in row.fields:
            step = "{}.{}".format(*row.fields["task"])
            began_at = row.at - row.fields["idle_s"]
            began_with = row.fields.get("idle_from", "")
            job = row.fields["job"]
            yield IdleWait(job, began_at, row.at, began_with, "start", step)


def _check_dropped(
    item: IdleWait, own: Sequence[Row], dropped: Sequence[float]
) -> IdleWait | None:
    """Return a wait with a mark if log lines were dropped; None if it is not shown."""
    if not any(item.began_at <= at <= item.ended_at + DROPS_TOLD_S for at in dropped):
        return item
    seen = [row for row in own if row.event not in JOB_ENDS]
    is_shown = item.ended_with == "start" or seen[-1].event == "step waits"
    return replace(item, is_sure=False) if is_shown else None


def _run_of(row: Row) -> tuple[Any, ...] | None:
    if "task" not in row.fields or "run" not in row.fields:
        return None
    return (*row.fields["task"], row.fields["run"])


def _failed_starts(own: Sequence[Row]) -> set[tuple[Any, ...]]:
    """Return the runs whose starts had no effect, as far as the log says.

    Of a start with an unknown outcome, a later end of the run shows that it had one.
    """
    ended = {_run_of(row) for row in own if row.event == "run ended"}
    lost = {_run_of(row) for row in own if row.event == "run lost"}
    failed = set()
    for row in own:
        run = _run_of(row)
        if run is None or run in ended:
            continue
        unsent = row.event == "run lost" and row.fields.get("sent") is False
        refused = row.event == "start failed" and (
            run in lost or row.fields.get("result") != "unknown"
        )
        if unsent or refused:
            failed.add(run)
    return failed


def _is_timed(own: Sequence[Row]) -> bool:
    """Return whether a job runs at several times; earlier builds don't say so."""
    for row in own:
        if row.event == "job taken in" and row.fields.get("times"):
            return True
        if row.event == "start" and row.fields["task"][0] > 0:
            return True
    return False


def _accepted_at(taken_in: Row) -> float:
    """Return when a job was accepted, in seconds of the play."""
    try:
        wall = datetime.fromisoformat(taken_in.fields["timestamp"]).timestamp()
        age_s = wall - taken_in.fields["accepted_at"]
    except (KeyError, TypeError, ValueError):
        return taken_in.at
    return taken_in.at - max(0.0, age_s)


def _describe(row: Row) -> str:
    how = row.fields.get("how") or row.fields.get("why")
    return f"{row.event}, {how}" if how else row.event


def _add_context(
    item: IdleWait, own: Sequence[Row], dropped: Sequence[float], used: UsedCores
) -> IdleWait:
    """Return a wait with its reasons and the cores in use."""
    taken_in = next((row for row in own if row.event == "job taken in"), None)
    reasons: list[str] = []
    for row in own:
        if not item.began_at <= row.at <= item.ended_at:
            continue
        if row.event == "step waits":
            reasons.append(
                f"{row.fields['reason']} at {row.fields['waited_s']} s, "
                f"used {row.fields.get('used_share')}"
            )
        elif row.event == "start" and row.fields.get("step_waits"):
            times = row.fields["step_waits"].items()
            reasons.append("in all " + ", ".join(f"{why} {s} s" for why, s in times))
    # After a drop, runs may be counted that have ended.
    is_known = not any(at <= item.ended_at for at in dropped)
    shares = used.rows(item.began_at, item.ended_at) if is_known else _told_shares(own)
    return replace(
        item,
        needs=_needs(taken_in) if taken_in is not None else "",
        reasons=tuple(reasons),
        used=used.between(item.began_at, item.ended_at) if is_known else None,
        below_half_s=_longest_below_half(shares, item.began_at, item.ended_at),
    )


def _told_shares(own: Sequence[Row]) -> list[tuple[float, float]]:
    """Return the shares of a pool's cores in use that lines about waits tell."""
    return [
        (row.at, row.fields["used_share"])
        for row in own
        if row.event == "step waits" and row.fields.get("used_share") is not None
    ]


def _longest_below_half(
    shares: Sequence[tuple[float, float]], began_at: float, ended_at: float
) -> float | None:
    """Return the longest time on end with a share under a half; None if none is known.

    A share counts until the next one, and the first one from the begin of the wait on.
    """
    in_time = [(at, share) for at, share in shares if at < ended_at]
    before = [row for row in in_time if row[0] <= began_at][-1:]
    in_time = before + [row for row in in_time if row[0] > began_at]
    if not in_time:
        return None
    longest_s = 0.0
    since: float | None = None
    for number, (at, share) in enumerate(in_time):
        begins_at = at if number else began_at
        if share >= HALF:
            since = None
            continue
        since = begins_at if since is None else since
        is_last = number + 1 == len(in_time)
        until = ended_at if is_last else in_time[number + 1][0]
        longest_s = max(longest_s, until - since)
    return longest_s


def _needs(taken_in: Row) -> str:
    fields = taken_in.fields
    rows = zip(
        fields.get("steps", ()),
        fields.get("cores", ()),
        fields.get("gang", ()),
        strict=False,
    )
    return " ".join(
        f"{n_tasks}x{cores}{' gang' if gang else ''}" for n_tasks, cores, gang in rows
    )


def _used_cores(rows: Sequence[Row]) -> UsedCores:
    """Return the share of cores in use after each line that changes it."""
    cores: dict[str, float] = {}
    present: set[str] = set()
    needs: dict[str, list[float]] = {}
    running: dict[tuple[Any, ...], tuple[str, float]] = {}
    in_use: dict[str, float] = defaultdict(float)
    found = UsedCores([], [])
    for row in rows:
        worker, run = row.fields.get("worker", ""), _run_of(row)
        if row.event == "job taken in":
            needs[row.fields["job"]] = row.fields.get("cores", [])
        elif row.event in WORKER_PRESENT:
            cores[worker] = row.fields.get("cores", cores.get(worker, 0.0))
            present.add(worker)
        elif row.event in WORKER_GONE:
            present.discard(worker)
        elif run is not None and row.event in {"start", *RUN_ENDS}:
            key = (row.fields["job"], *run)
            name, need = running.pop(key, ("", 0.0))
            in_use[name] -= need
            if row.event == "start":
                need = dict(enumerate(needs.get(key[0], ()))).get(run[1], 0.0)
                running[key] = worker, need
                in_use[worker] += need
        else:
            continue
        capacity = sum(cores[name] for name in present)
        if capacity:
            found.times.append(row.at)
            found.shares.append(sum(in_use[name] for name in present) / capacity)
    return found


def format_idle_wait(name: str, item: IdleWait) -> str:
    """Return one line that tells a wait in the log of a name."""
    step = f"step {item.step}" if item.step else "not started"
    parts = [
        f"{item.length_s:7.3f} s  {name}  {item.job}  {step}  ({item.needs})",
        f"{item.began_at:.3f} ({item.began_with}) to {item.ended_at:.3f} s "
        f"({item.ended_with})",
    ]
    if item.used is not None:
        parts.append(f"cores in use {item.used[0]:.0%} to {item.used[1]:.0%}")
    if item.below_half_s is not None:
        parts.append(f"under half of them for {item.below_half_s:.3f} s")
    if item.reasons:
        parts.append("waits " + "; ".join(item.reasons))
    if not item.is_sure:
        parts.append("log lines dropped meanwhile")
    return "  ".join(parts)


def format_summary(name: str, found: Sequence[IdleWait]) -> str:
    """Return one line about the longest waits in the log of a name.

    Parameters
    ----------
    found : sequence of IdleWait
        Longest wait of each job, the longest first.
    """
    if not found:
        return f"{name}: no jobs"
    text = f"{name}: longest {found[0].length_s:.3f} s ({found[0].job})"
    known = [item for item in found if item.below_half_s is not None]
    if known:
        worst = max(known, key=lambda item: item.below_half_s or 0.0)
        text += (
            f"; with under half of the cores in use {worst.below_half_s:.3f} s "
            f"({worst.job})"
        )
    if len(known) < len(found):
        text += f"; cores in use not known for {len(found) - len(known)} jobs"
    return text


def main(argv: Sequence[str] | None = None) -> int:
    """Print the longest waits in logs of plays; return the exit code."""
    parser = argparse.ArgumentParser(prog="checks.idlewaits", description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    logs = read_logs("checks.idlewaits", parser.parse_args(argv).logs)
    if logs is None:
        return 2
    by_name = [(name, find_idle_waits(rows)) for name, rows in logs]
    found = [(name, item) for name, items in by_name for item in items]
    found.sort(key=lambda pair: -pair[1].length_s)
    for name, item in found[:N_LISTED]:
        print(format_idle_wait(name, item))
    for name, items in by_name:
        print(format_summary(name, items))
    return 0


if __name__ == "__main__":
    sys.exit(main())
