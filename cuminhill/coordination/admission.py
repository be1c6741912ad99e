"""Admission by deadline, with a measured service rate and a bounded queue."""

from __future__ import annotations

import heapq
import itertools
import math
import statistics
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

MAX_WAITING = 10_000
N_SAMPLES = 9  # of the rate, over which the median is taken
MIN_SAMPLE_STARTS = 8  # starts that complete a sample
MIN_SAMPLE_S = 0.05  # shortest time that a sample covers
STALL_S = 0.5  # time after which a slow sample in progress counts
# Factor on the expected wait. Without it, an eighth of the goodput at twice the
# capacity was lost to answers just after the deadline (bench.flow).
WAIT_MARGIN_FACTOR = 1.25
STALL_FACTOR = 2.0  # how much slower than the median such a sample must be


class Refusal(StrEnum):
    """Why a request was not admitted."""

    DEADLINE = "deadline"  # it would start too late
    QUEUE_FULL = "queue_full"


@dataclass(eq=False, slots=True)
class ServiceRate:
    """Rate at which waiting requests are started, measured while requests wait.

    Time without a queue says nothing about capacity and is left out. The median
    of several samples is robust against a single pause or burst; a stall is
    detected from the sample in progress.
    """

    _samples: deque[float] = field(default_factory=lambda: deque(maxlen=N_SAMPLES))
    _n_starts: int = 0
    _busy_s: float = 0.0
    _busy_since: float | None = None

    def set_busy(self, busy: bool, now: float) -> None:
        """Set whether requests are waiting from now on."""
        if self._busy_since is not None:
            self._busy_s += max(0.0, now - self._busy_since)
        self._busy_since = now if busy else None

    def count_start(self, now: float) -> None:
        """Count the start of a request that was waiting."""
        self._n_starts += 1
        busy_s = self._sample_s(now)
        if self._n_starts < MIN_SAMPLE_STARTS or busy_s < MIN_SAMPLE_S:
            return
        self._samples.append(self._n_starts / busy_s)
        self._n_starts = 0
        self._busy_s = 0.0
        if self._busy_since is not None:
            self._busy_since = now

    def discard_current(self) -> None:
        """Drop the sample in progress."""
        self._n_starts = 0
        self._busy_s = 0.0

    def per_s(self, now: float) -> float:
        """Return the starts per second; infinite while nothing was measured."""
        busy_s = self._sample_s(now)
        current = (self._n_starts + 1) / busy_s if busy_s > 0 else math.inf
        if not self._samples:
            return current if busy_s >= MIN_SAMPLE_S else math.inf
        median = statistics.median(self._samples)
        if busy_s >= STALL_S and current * STALL_FACTOR < median:
            return current
        return median

    def _sample_s(self, now: float) -> float:
        since = self._busy_since
        return self._busy_s + (max(0.0, now - since) if since is not None else 0.0)


@dataclass(eq=False, slots=True)
class Admission:
    """Refuses requests whose expected start is after their deadline.

    Parameters
    ----------
    max_waiting : int
        Largest number of requests that wait for their start.
    enabled : bool
        If False, only ``max_waiting`` applies.
    """

    max_waiting: int = MAX_WAITING
    enabled: bool = True
    n_admitted: int = 0
    n_refused_deadline: int = 0
    n_refused_full: int = 0
    _rate: ServiceRate = field(default_factory=ServiceRate)
    _waiting: dict[str, float] = field(default_factory=dict)

    @property
    def n_waiting(self) -> int:
        """Number of admitted requests that have not started."""
        return len(self._waiting)

    def expected_wait(self, now: float) -> float:
        """Return how long a new request would wait, in seconds."""
        if not self._waiting:
            return 0.0
        return len(self._waiting) / self._rate.per_s(now)

    def offer(self, key: str, left_s: float, now: float) -> Refusal | None:
        """Admit a request, or return why it is refused.

        Parameters
        ----------
        key : str
            Id of the request; one that is already waiting is admitted again.
        left_s : float, seconds
            Time until its latest start.
        now : float, seconds
            Monotonic time.
        """
        if key in self._waiting:
            return None
        if len(self._waiting) >= self.max_waiting:
            self.n_refused_full += 1
            return Refusal.QUEUE_FULL
        if self.enabled and WAIT_MARGIN_FACTOR * self.expected_wait(now) > left_s:
            self.n_refused_deadline += 1
            return Refusal.DEADLINE
        self.n_admitted += 1
        if not self._waiting:
            self._rate.set_busy(True, now)
        self._waiting[key] = now
        return None

    def started(self, key: str, now: float) -> None:
        """Record that a request has started; a repeated call is ignored."""
        if self._waiting.pop(key, None) is None:
            return
        self._rate.count_start(now)
        if not self._waiting:
            self._rate.set_busy(False, now)

    def withdrawn(self, key: str, now: float) -> None:
        """Record that a request has left the queue without a start."""
        if self._waiting.pop(key, None) is None or self._waiting:
            return
        self._rate.set_busy(False, now)
        # The queue was emptied without being served. A past stall must not lower
        # the estimate for later requests.
        self._rate.discard_current()

    def dump(self, now: float) -> dict[str, float | int | None]:
        """Return the estimates and counters."""
        rate = self._rate.per_s(now)
        return {
            "n_waiting": self.n_waiting,
            "n_admitted": self.n_admitted,
            "n_refused_deadline": self.n_refused_deadline,
            "n_refused_full": self.n_refused_full,
            "expected_wait_s": round(self.expected_wait(now), 4),
            "starts_per_s": None if math.isinf(rate) else round(rate, 2),
        }


@dataclass(eq=False, slots=True)
class DeadlineQueue:
    """Bounded queue, earliest deadline first, that sheds late items.

    Parameters
    ----------
    max_items : int
        Bound; when it is reached, a new item is refused unless a late one can be
        shed instead.
    """

    max_items: int = MAX_WAITING
    n_shed: int = 0
    _heap: list[tuple[float, int, Any]] = field(default_factory=list)
    _order: itertools.count[int] = field(default_factory=itertools.count)

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, item: Any, deadline: float, now: float) -> bool:
        """Add an item; return False if the queue is full of items that are in time."""
        if len(self._heap) >= self.max_items:
            self.shed(now)
        if len(self._heap) >= self.max_items:
            return False
        heapq.heappush(self._heap, (deadline, next(self._order), item))
        return True

    def pop(self, now: float) -> Any | None:
        """Return the item with the earliest deadline that is not late, or None."""
        self.shed(now)
        return heapq.heappop(self._heap)[2] if self._heap else None

    def shed(self, now: float) -> list[Any]:
        """Remove and return the items whose deadline has passed."""
        late = []
        while self._heap and self._heap[0][0] < now:
            late.append(heapq.heappop(self._heap)[2])
        self.n_shed += len(late)
        return late


def make_admission(
    max_waiting: int = MAX_WAITING, *, enabled: bool = True
) -> Admission:
    """Return admission by deadline for one queue."""
    return Admission(max_waiting, enabled)
