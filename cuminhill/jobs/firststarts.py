"""First starts of jobs that the journal does not show yet.

A job counts as waiting until the journal says that one of its tasks has started. Its
placer learns of that from the worker, a moment after the assignment was journaled.
Every VM reads each record, and a further one for each start would nearly double what
the journal holds of a short job. So the next record of the job shows the start, or one
that is written after `RECORD_DELAY_S`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .progress import Progress

# Callers may be told of a start up to 2 s late. The rest is for the decision after the
# delay, the append, and the pause between reads of the journal.
RECORD_DELAY_S = 1.0
MAX_NEW_STARTS = 1000  # more than are known between two decisions


class FirstStart(NamedTuple):
    """First start of a job.

    Parameters
    ----------
    at : float, seconds
        When it was known to have taken effect.
    """

    progress: Progress
    at: float


@dataclass(eq=False, slots=True)
class FirstStarts:
    """First starts that are known in one term.

    Parameters
    ----------
    unrecorded : dict of str to (Progress, float)
        Jobs whose start the journal does not show, by id, and when they are to be
        written to it, in seconds.
    """

    unrecorded: dict[str, tuple[Progress, float]] = field(default_factory=dict)
    _new: deque[FirstStart] = field(
        default_factory=lambda: deque(maxlen=MAX_NEW_STARTS)
    )

    def note(self, progress: Progress, now: float, *, is_old: bool = False) -> None:
        """Note the first start of a job.

        Parameters
        ----------
        is_old : bool, default=False
            Whether the task may have started long ago, in an earlier term.
        """
        due_at = now if is_old else now + RECORD_DELAY_S
        self.unrecorded[progress.job.job_id] = progress, due_at
        self._new.append(FirstStart(progress, now))

    def due(self, now: float) -> list[Progress]:
        """Return the jobs whose start is to be written to the journal now."""
        return [
            progress for progress, due_at in self.unrecorded.values() if due_at <= now
        ]

    def forget(self, job_ids: Iterable[str]) -> None:
        """Note that the newest progress of some jobs is being written."""
        for job_id in job_ids:
            self.unrecorded.pop(job_id, None)

    def pop_new(self) -> list[FirstStart]:
        """Return and clear the starts that were noted since the last call."""
        new = list(self._new)
        self._new.clear()
        return new
