"""Interface of the schedulers under test, and the measurements of a run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cuminhill.model import Answer, Request, RequestKind
    from cuminhill.scheduling.events import Action, Event


class PlacerLike(Protocol):
    """Interface of `cuminhill.scheduling.placer.Placer` and of the baselines."""

    def handle(self, event: Event, now: float, wall: float) -> list[Action]:
        """Process one event and return the actions to take."""

    def refusal(self, request: Request, wall: float) -> Answer | None:
        """Return why a request is rejected, or None."""


@dataclass(eq=False)
class Outcome:
    """Measurements of one run.

    Parameters
    ----------
    waits_s : dict of RequestKind to list of float, seconds
        From arrival to the first start of each task (of the last task for a
        gang); tasks that never started count until the horizon or deadline.
    useful_work : float, reference core-seconds
        Work of attempts that succeeded or were succeeding at the horizon.
    handle_ns : list of int, nanoseconds
        Processor time of each call of the placer.
    """

    waits_s: dict[RequestKind, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    useful_work: float = 0.0
    n_starts: int = 0
    n_with_deadline: int = 0
    n_missed: int = 0
    n_refused: int = 0
    n_overfilled: int = 0
    n_double_starts: int = 0
    n_split_gangs: int = 0
    n_failed: int = 0
    n_unstarted: int = 0
    handle_ns: list[int] = field(default_factory=list)

    @property
    def us_per_placement(self) -> float:
        """Processor time per start, in microseconds."""
        return sum(self.handle_ns) / 1000 / max(1, self.n_starts)
