"""Processor time of a decision, and the order of what one has no time for.

Nothing else is done in the process while a decision is made, and a term that does not
confirm itself in time is replaced. So a decision ends when its time is used, whatever
jobs were accepted. What it did not get to has its turn in the next one, beside the most
urgent steps, so that neither keeps the other out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import zip_longest
from time import thread_time
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .placer import Placer
    from .progress import Progress, StepRun

    Row = TypeVar("Row", bound=tuple[StepRun, *tuple[object, ...]])

MAX_DECISION_S = 0.25
# Parts of that time after which no further job is looked at; steps that an earlier
# decision had no time for have their turn; advice is not fetched ahead any more, and
# waits are not explained.
LOOK_SHARE = 0.4
URGENT_SHARE = 0.7
AHEAD_SHARE = 1.2


@dataclass(eq=False, slots=True)
class DecisionBudget:
    """Time that a decision may take, and what earlier ones had none for.

    Parameters
    ----------
    clock : callable
        Returns the processor time used so far, in seconds: a process that is not run
        for a while has not done more work.
    unseen_jobs : dict of str to None
        Jobs that the newest decision has not looked at.
    unreached_steps : dict of str to None
        Steps that it was to consider and did not.
    """

    clock: Callable[[], float] = thread_time
    unseen_jobs: dict[str, None] = field(default_factory=dict)
    unreached_steps: dict[str, None] = field(default_factory=dict)
    _begun_at: float = math.inf

    def begin(self) -> None:
        """Begin a decision."""
        self._begun_at = self.clock()

    def end(self) -> None:
        """End a decision; what is done until the next one has no limit."""
        self._begun_at = math.inf

    def is_used(self, share: float = 1.0) -> bool:
        """Return whether a part of the time of the decision has passed."""
        return self.clock() - self._begun_at >= share * MAX_DECISION_S


def is_postponed(placer: Placer, step_run: StepRun) -> bool:
    """Return whether the newest decision had no time for a step."""
    budget = placer.budget
    is_unseen = step_run.job.job_id in budget.unseen_jobs
    return is_unseen or step_run.name in budget.unreached_steps


def jobs_in_turn(placer: Placer) -> Iterator[Progress]:
    """Yield the jobs that a decision has the time to look at."""
    budget = placer.budget
    jobs = list(placer.jobs.values())
    if budget.unseen_jobs:
        jobs = _unseen_first(placer)
    budget.unseen_jobs = {}
    for number, progress in enumerate(jobs):
        if number and budget.is_used(LOOK_SHARE):
            left = (item.job.job_id for item in jobs[number:])
            budget.unseen_jobs = dict.fromkeys(left)
            return
        yield progress


def _unseen_first(placer: Placer) -> list[Progress]:
    """Return all jobs, those of urgent queues and the others in turns.

    Of either, those that the newest decision has not looked at come first.
    """
    unseen = placer.budget.unseen_jobs
    order = [job_id for job_id in unseen if job_id in placer.jobs]
    order += [job_id for job_id in placer.jobs if job_id not in unseen]
    urgent: list[Progress] = []
    others: list[Progress] = []
    for job_id in order:
        progress = placer.jobs[job_id]
        queue = placer.queue_of(progress)
        is_urgent = queue is not None and queue.priority == 0
        (urgent if is_urgent else others).append(progress)
    pairs = zip_longest(urgent, others)
    return [item for pair in pairs for item in pair if item is not None]


def steps_in_turn(placer: Placer, rows: Iterable[Row]) -> Iterator[Row]:
    """Yield the steps that a decision has the time to consider.

    Parameters
    ----------
    rows : iterable of (StepRun, ...)
        The steps to consider, the most urgent first.
    """
    budget = placer.budget
    by_name = {row[0].name: row for row in rows}
    late = [name for name in budget.unreached_steps if name in by_name]
    left = dict.fromkeys([*late, *by_name])
    urgent_share = URGENT_SHARE if late else 1.0
    for number, (name, row) in enumerate(by_name.items()):
        if number and budget.is_used(urgent_share):
            break
        del left[name]
        yield row
    for number, name in enumerate(list(left)):
        if (number or not late) and budget.is_used():
            break
        del left[name]
        yield by_name[name]
    budget.unreached_steps = left
