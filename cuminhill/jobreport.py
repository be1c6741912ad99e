"""Where jobs lose time, worked out from the log lines of all VMs alone.

A missing line hides a part of a job's time, so jobs without all of their ends get no
causes, and dropped lines are reported beside the figures.
"""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_JSON_OBJECT = re.compile(r"\{.*\}")
# Rounds of the alternating fit of step lengths and worker speeds.
N_FIT_ROUNDS = 8
# Ends that a worker's speed has to outweigh: a worker with few ends counts as average.
SPEED_PRIOR_WEIGHT = 0.5
MIN_RUN_S = 0.001

# Causes of lost time, in the order of a job's path.
PLACER, ADVICE, ROOM, REPEAT, SLOW_WORKER, CALLER = (
    "placer",
    "advice",
    "room",
    "repeat",
    "slow_worker",
    "caller",
)
CAUSES = (PLACER, ADVICE, ROOM, REPEAT, SLOW_WORKER, CALLER)

StepKey = tuple[str, int, int]


class Run(NamedTuple):
    """One run of a task that ended as done."""

    worker: str
    task: int
    first_start_at: float
    start_at: float
    end_at: float


@dataclass(eq=False, slots=True)
class JobRecord:
    """What the logs say about one job.

    Parameters
    ----------
    accepted_at, taken_in_at, completed_at : float, seconds since the epoch
        When it was accepted, when a placer first took it in, and when its end was
        decided; 0 if no line says so.
    spent : dict
        Seconds of lost time by cause.
    """

    queue: str = ""
    n_steps: int = 0
    accepted_at: float = 0.0
    taken_in_at: float = 0.0
    completed_at: float = 0.0
    stretch: float = 0.0
    target_s: float = 0.0
    objective_s: float = 0.0
    spent: dict[str, float] = field(default_factory=lambda: dict.fromkeys(CAUSES, 0.0))

    @property
    def is_late(self) -> bool:
        """Whether the job is known to have missed its objective."""
        took_s = self.completed_at - self.accepted_at
        return bool(self.completed_at) and 0.0 < self.objective_s < took_s


@dataclass(eq=False)
class LogHistory:
    """Events of the jobs in some logs.

    Parameters
    ----------
    n_dropped : int
        Lines that the processes report as dropped.
    bad_lines : list of str
        ``"FILE:LINE"`` of lines with an object that cannot be read.
    """

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    refused: list[float] = field(default_factory=list)
    starts: dict[tuple[StepKey, int], list[tuple[float, int, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    ends: dict[tuple[StepKey, int], tuple[float, int, str]] = field(
        default_factory=dict
    )
    advised: dict[StepKey, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    n_dropped: int = 0
    bad_lines: list[str] = field(default_factory=list)

    def read(self, lines: Iterable[str], name: str) -> None:
        """Add the lines of one log; text before the object of a line is ignored."""
        for number, line in enumerate(lines, 1):
            match = _JSON_OBJECT.search(line)
            if match is None:
                continue
            try:
                self._add(orjson.loads(match[0]))
            except (KeyError, TypeError, ValueError, IndexError):
                self.bad_lines.append(f"{name}:{number}")

    def _add(self, row: Mapping[str, Any]) -> None:
        event = row.get("event")
        if event == "log lines dropped":
            self.n_dropped += int(row["count"])
            return
        handler = _HANDLERS.get(str(event))
        if handler is not None:
            at = datetime.fromisoformat(str(row["timestamp"])).timestamp()
            handler(self, row, at)

    def _job(self, row: Mapping[str, Any]) -> JobRecord:
        return self.jobs.setdefault(str(row["job"]), JobRecord())

    def _taken_in(self, row: Mapping[str, Any], at: float) -> None:
        job = self._job(row)
        if job.taken_in_at:
            return  # by a later placer
        job.queue, job.n_steps = str(row["queue"]), len(row["steps"])
        job.accepted_at, job.taken_in_at = float(row["accepted_at"]), at
        job.objective_s = float(row["objective_s"] or 0.0)
        job.stretch = float(row.get("stretch") or 0.0)
        job.target_s = float(row.get("target_s") or 0.0)

    def _completed(self, row: Mapping[str, Any], at: float) -> None:
        self._job(row).completed_at = at

    def _submitted(self, row: Mapping[str, Any], at: float) -> None:
        if row["outcome"] == "not_done":
            self.refused.append(at)

    def _started(self, row: Mapping[str, Any], at: float) -> None:
        step, task = _step_and_task(row)
        self.starts[step, task].append((at, int(row["run"]), str(row["worker"])))

    def _ended(self, row: Mapping[str, Any], at: float) -> None:
        if row["how"] == "done":
            step, task = _step_and_task(row)
            self.ends[step, task] = (at, int(row["run"]), str(row["worker"]))

    def _advised(self, row: Mapping[str, Any], at: float) -> None:
        job, occurrence, number = str(row["step"]).split(".")
        self.advised[job, int(occurrence), int(number)].append(at)

    def runs(self) -> dict[StepKey, list[Run]]:
        """Return the runs that ended as done, by step."""
        runs: dict[StepKey, list[Run]] = defaultdict(list)
        for (step, task), (end_at, number, worker) in self.ends.items():
            starts = self.starts.get((step, task), [])
            own = [at for at, run, _ in starts if run == number]
            if own:
                first_at = min(at for at, _, _ in starts)
                runs[step].append(Run(worker, task, first_at, max(own), end_at))
        return runs


_HANDLERS = {
    "job taken in": LogHistory._taken_in,
    "job completed": LogHistory._completed,
    "submission": LogHistory._submitted,
    "start": LogHistory._started,
    "run ended": LogHistory._ended,
    "advice": LogHistory._advised,
}


def _step_and_task(row: Mapping[str, Any]) -> tuple[StepKey, int]:
    occurrence, number, task = row["task"]
    return (str(row["job"]), int(occurrence), int(number)), int(task)


def fit_speeds(runs: Mapping[StepKey, list[Run]]) -> dict[str, float]:
    """Return the speed of each worker, compared within steps; 1 is the mean pace."""
    logs = [
        (step, run.worker, math.log(max(MIN_RUN_S, run.end_at - run.start_at)))
        for step, found in runs.items()
        for run in found
    ]
    speeds = {worker: 0.0 for _, worker, _ in logs}
    for _ in range(N_FIT_ROUNDS):
        lengths: dict[StepKey, list[float]] = defaultdict(list)
        for step, worker, took in logs:
            lengths[step].append(took + speeds[worker])
        means = {step: sum(found) / len(found) for step, found in lengths.items()}
        deviations: dict[str, list[float]] = defaultdict(list)
        for step, worker, took in logs:
            deviations[worker].append(means[step] - took)
        speeds = {
            worker: sum(found) / (len(found) + SPEED_PRIOR_WEIGHT)
            for worker, found in deviations.items()
        }
    pace = sum(math.exp(-value) for value in speeds.values()) / max(1, len(speeds))
    return {worker: math.exp(value) * pace for worker, value in speeds.items()}


def attribute_time(history: LogHistory) -> None:
    """Set the objective and the lost time of each completed job from its runs."""
    runs = history.runs()
    speeds = fit_speeds(runs)
    fastest = max(speeds.values(), default=1.0)
    by_job: dict[str, list[StepKey]] = defaultdict(list)
    for step in runs:
        by_job[step[0]].append(step)
    for job_id, steps in by_job.items():
        job = history.jobs.get(job_id)
        if job is None or not job.completed_at or len(steps) != job.n_steps:
            continue
        steps.sort(key=lambda step: min(run.first_start_at for run in runs[step]))
        work_s = sum(_mean_length_s(runs[step], speeds) for step in steps)
        if job.stretch:
            job.objective_s = job.stretch * work_s + job.target_s
        job.spent[PLACER] = max(0.0, job.taken_in_at - job.accepted_at)
        ready_at = job.taken_in_at
        for step in steps:
            last = max(runs[step], key=lambda run: run.end_at)
            advised = [at for at in history.advised.get(step, ()) if at > ready_at]
            advised_at = min([*advised, last.first_start_at])
            waited_s = max(0.0, last.first_start_at - ready_at)
            asked_s = min(waited_s, max(0.0, advised_at - ready_at)) if advised else 0.0
            job.spent[ADVICE] += asked_s
            job.spent[ROOM] += waited_s - asked_s
            job.spent[REPEAT] += last.start_at - last.first_start_at
            took_s = last.end_at - last.start_at
            job.spent[SLOW_WORKER] += took_s * (1.0 - speeds[last.worker] / fastest)
            ready_at = last.end_at
        job.spent[CALLER] = max(0.0, job.completed_at - ready_at)


def _mean_length_s(runs: list[Run], speeds: Mapping[str, float]) -> float:
    lengths = [(run.end_at - run.start_at) * speeds[run.worker] for run in runs]
    return sum(lengths) / len(lengths)


def report_by_queue(history: LogHistory) -> list[dict[str, Any]]:
    """Return a row per queue: jobs, late ones, and what the late ones lost most to."""
    rows = []
    for queue in sorted({job.queue for job in history.jobs.values() if job.queue}):
        jobs = [job for job in history.jobs.values() if job.queue == queue]
        late = [job for job in jobs if job.is_late]
        main = Counter(
            max(job.spent, key=job.spent.__getitem__)
            for job in late
            if any(job.spent.values())
        )
        row: dict[str, Any] = {
            "queue": queue,
            "jobs": len(jobs),
            "completed": sum(bool(job.completed_at) for job in jobs),
            "late": len(late),
        }
        row.update({cause: main[cause] for cause in CAUSES})
        rows.append(row)
    return rows


def report_by_window(history: LogHistory, window_s: float) -> list[dict[str, Any]]:
    """Return a row per window of time: jobs accepted in it, late ones and refusals."""
    jobs = [job for job in history.jobs.values() if job.accepted_at]
    moments = [job.accepted_at for job in jobs] + history.refused
    if not moments:
        return []
    first = min(moments)
    rows: dict[int, Counter[str]] = defaultdict(Counter)
    lost: dict[int, dict[str, float]] = defaultdict(lambda: dict.fromkeys(CAUSES, 0.0))
    for job in jobs:
        number = int((job.accepted_at - first) / window_s)
        rows[number]["jobs"] += 1
        if job.is_late:
            rows[number]["late"] += 1
            for cause in CAUSES:
                lost[number][cause] += job.spent[cause]
    for at in history.refused:
        rows[int((at - first) / window_s)]["refused"] += 1
    return [
        {
            "from_s": round(number * window_s, 3),
            "jobs": row["jobs"],
            "late": row["late"],
            "refused": row["refused"],
            **{f"{cause}_s": round(lost[number][cause], 2) for cause in CAUSES},
        }
        for number, row in sorted(rows.items())
    ]
