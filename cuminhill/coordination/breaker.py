"""Circuit breaker per destination, and outlier ejection over a set of them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_FAILURES = 5  # in a row that open a breaker
OPEN_S = 0.5  # how long a breaker stays open at first
MAX_OPEN_S = 8.0
PROBE_TIMEOUT_S = 1.0  # after which a probe without a result counts as lost
MAX_BREAKERS = 1024
EJECT_AFTER_FAILURES = 3  # in a row that eject a destination
EJECT_S = 5.0  # how long a destination stays ejected at first
MAX_EJECT_S = 300.0
EJECT_PROBE_S = 5.0  # after which another probe may be sent, as a task may run for long
MAX_EJECTED_FRACTION = 0.34


class BreakerState(StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission for one call.

    Parameters
    ----------
    generation : int
        Number of state changes before the call; results of calls that were
        sent before the last change are ignored.
    """

    generation: int


@dataclass(eq=False, slots=True)
class CircuitBreaker:
    """Rejects calls to a destination that fails, and probes it later.

    Parameters
    ----------
    max_failures : int
        Failures in a row that open it.
    open_s, max_open_s : float, seconds
        How long it stays open at first and at most; doubles with each failed
        probe.
    """

    max_failures: int = MAX_FAILURES
    open_s: float = OPEN_S
    max_open_s: float = MAX_OPEN_S
    state: BreakerState = BreakerState.CLOSED
    n_opened: int = 0
    n_rejected: int = 0
    _generation: int = 0
    _n_failures: int = 0
    _wait_s: float = 0.0
    _blocked_until: float = 0.0  # end of the open state or of the wait for a probe

    def acquire(self, now: float) -> Permit | None:
        """Return permission for a call, or None while the destination is avoided."""
        if self.state is BreakerState.CLOSED:
            return Permit(self._generation)
        if now < self._blocked_until:
            self.n_rejected += 1
            return None
        # Also reached when the probe was lost without a result.
        self._change(BreakerState.HALF_OPEN)
        self._blocked_until = now + PROBE_TIMEOUT_S
        return Permit(self._generation)

    def record(self, permit: Permit, ok: bool, now: float) -> None:
        """Record the result of a call."""
        if permit.generation != self._generation:
            return
        if ok:
            self._n_failures = 0
            if self.state is BreakerState.HALF_OPEN:
                self._wait_s = 0.0
                self._change(BreakerState.CLOSED)
            return
        self._n_failures += 1
        if self.state is BreakerState.HALF_OPEN or (
            self._n_failures >= self.max_failures
        ):
            self._open(now)

    def would_allow(self, now: float) -> bool:
        """Return whether ``acquire`` would permit a call, without a change of state."""
        return self.state is BreakerState.CLOSED or now >= self._blocked_until

    def _open(self, now: float) -> None:
        self._wait_s = min(self.max_open_s, 2 * self._wait_s or self.open_s)
        self._blocked_until = now + self._wait_s
        self._n_failures = 0
        self.n_opened += 1
        self._change(BreakerState.OPEN)

    def _change(self, state: BreakerState) -> None:
        self.state = state
        self._generation += 1


@dataclass(eq=False, slots=True)
class Breakers:
    """Breakers by destination; the least recently used is dropped at the bound."""

    max_breakers: int = MAX_BREAKERS
    _breakers: OrderedDict[str, CircuitBreaker] = field(default_factory=OrderedDict)

    def get(self, destination: str) -> CircuitBreaker:
        """Return the breaker of a destination, a closed one if it is new."""
        breaker = self._breakers.setdefault(destination, CircuitBreaker())
        self._breakers.move_to_end(destination)
        if len(self._breakers) > self.max_breakers:
            self._breakers.popitem(last=False)
        return breaker

    def dump(self) -> dict[str, dict[str, str | int]]:
        """Return state and counters by destination."""
        return {
            name: {
                "state": str(item.state),
                "n_opened": item.n_opened,
                "n_rejected": item.n_rejected,
            }
            for name, item in self._breakers.items()
        }


@dataclass(eq=False, slots=True)
class _Destination:
    """State of one destination under outlier ejection."""

    n_failures: int = 0
    n_ejections: int = 0
    ejection_ends_at: float | None = None  # end of the ejection; None if not ejected
    probing_until: float = 0.0


@dataclass(eq=False, slots=True)
class OutlierEjector:
    """Ejects destinations that fail while others do not, up to a fraction of all.

    Parameters
    ----------
    max_fraction : float, fraction
        Largest fraction of the destinations that is ejected at a time. If more
        of them fail, they likely share a cause, and ejection would only shift the
        load.
    eject_after_failures : int
        Failures in a row that eject a destination.
    eject_s, max_eject_s : float, seconds
        How long it stays ejected at first and at most; doubles each time.
    """

    max_fraction: float = MAX_EJECTED_FRACTION
    eject_after_failures: int = EJECT_AFTER_FAILURES
    eject_s: float = EJECT_S
    max_eject_s: float = MAX_EJECT_S
    n_ejected_total: int = 0
    n_overflows: int = 0  # ejections that the fraction prevented
    _destinations: dict[str, _Destination] = field(default_factory=dict)

    @property
    def max_ejected(self) -> int:
        """Number of destinations that may be ejected at a time."""
        return int(self.max_fraction * len(self._destinations))

    def set_destinations(self, names: Iterable[str]) -> None:
        """Set the destinations; known ones keep their state."""
        old = self._destinations
        self._destinations = {name: old.get(name) or _Destination() for name in names}
        over = self._ejected()
        over.sort(key=lambda name: self._destinations[name].ejection_ends_at or 0.0)
        for name in over[: max(0, len(over) - self.max_ejected)]:
            self._destinations[name].ejection_ends_at = None

    def ejected(self) -> frozenset[str]:
        """Return the destinations that are ejected or being probed."""
        return frozenset(self._ejected())

    def usable(self, name: str, now: float) -> bool:
        """Return whether a call may be sent, without a change of state."""
        destination = self._destinations.get(name)
        if destination is None or destination.ejection_ends_at is None:
            return True
        return now >= destination.ejection_ends_at and now >= destination.probing_until

    def record_call(self, name: str, now: float) -> None:
        """Record that a call was sent; to an ejected destination it is the probe."""
        destination = self._destinations.get(name)
        if destination is not None and destination.ejection_ends_at is not None:
            destination.probing_until = now + EJECT_PROBE_S

    def record(self, name: str, ok: bool, now: float) -> None:
        """Record the result of a call to a destination."""
        destination = self._destinations.get(name)
        if destination is None:
            return
        if destination.ejection_ends_at is not None:
            self._record_probe(destination, ok, now)
            return
        if ok:
            destination.n_failures = destination.n_ejections = 0
            return
        destination.n_failures += 1
        if destination.n_failures < self.eject_after_failures:
            return
        if len(self._ejected()) >= self.max_ejected:
            self.n_overflows += 1
            return
        self._eject(destination, now)

    def _record_probe(self, destination: _Destination, ok: bool, now: float) -> None:
        assert destination.ejection_ends_at is not None
        if now < destination.ejection_ends_at:
            return  # result of a call sent before the ejection
        if ok:
            destination.ejection_ends_at = None
            destination.n_failures = 0
        else:
            self._eject(destination, now)

    def _eject(self, destination: _Destination, now: float) -> None:
        wait_s = min(self.max_eject_s, self.eject_s * 2.0**destination.n_ejections)
        destination.ejection_ends_at = now + wait_s
        destination.probing_until = 0.0
        destination.n_failures = 0
        destination.n_ejections = min(destination.n_ejections + 1, 32)
        self.n_ejected_total += 1

    def _ejected(self) -> list[str]:
        return [
            name
            for name, item in self._destinations.items()
            if item.ejection_ends_at is not None
        ]


def make_ejector(
    names: Iterable[str], *, max_fraction: float = MAX_EJECTED_FRACTION
) -> OutlierEjector:
    """Return outlier ejection over the given destinations."""
    ejector = OutlierEjector(max_fraction)
    ejector.set_destinations(names)
    return ejector
