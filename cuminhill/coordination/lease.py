"""Leases judged on monotonic time, for the granting and the holding side."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations that both sides of a lease agree on.

    Parameters
    ----------
    ttl_s : float, seconds
        How long a grant lasts at the granting side.
    renew_s : float, seconds
        Time between renewals.
    drift : float, fraction
        Largest relative difference between two monotonic clocks.
    margin_s : float, seconds
        Time that a call needs from the last check to its effect.
    task_ttl_s : float, seconds
        A worker stops its tasks when no holder renewed for this long.
    """

    ttl_s: float = 1.0
    renew_s: float = 0.35
    drift: float = 0.01
    margin_s: float = 0.1
    task_ttl_s: float = 10.0

    def holder_expiry(self, sent_at: float) -> float:
        """Return until when a holder may act on a grant.

        Parameters
        ----------
        sent_at : float, seconds
            Monotonic time before the renewal was sent. Counting from the send
            and not from the reply keeps the holder's end before the granter's.
        """
        return sent_at + self.ttl_s * (1.0 - self.drift) - self.margin_s

    def tasks_stopped_at(self, lost_at: float) -> float:
        """Return when the tasks of a worker have certainly stopped.

        Parameters
        ----------
        lost_at : float, seconds
            Monotonic time after which no renewal can have reached the worker.
        """
        return lost_at + self.task_ttl_s * (1.0 + self.drift) + self.margin_s


@dataclass(slots=True)
class HeldLease:
    """Holder's view of one grant.

    Parameters
    ----------
    epoch : int
        Fencing token; rises with each change of holder.
    valid_until : float, seconds
        Monotonic time until which the holder may act.
    """

    epoch: int
    valid_until: float

    def valid(self, now: float) -> bool:
        """Return whether the holder may still act.

        To be asked after every wait, right before the effect.
        """
        return now < self.valid_until


@dataclass(frozen=True, slots=True)
class Granted:
    """The lease was granted or renewed."""

    epoch: int
    changed: bool


@dataclass(frozen=True, slots=True)
class Held:
    """Another holder has the lease."""

    holder: str
    remaining_s: float


@dataclass(slots=True)
class LeaseArbiter:
    """Granting side: at most one holder at a time.

    Notes
    -----
    Whoever guards the resource owns the arbiter, so that no agreement between
    processes is needed. See Gray and Cheriton, "Leases", SOSP 1989.
    """

    epoch: int = 0
    holder: str = ""
    expires_at: float = float("-inf")

    def acquire(self, holder: str, ttl_s: float, now: float) -> Granted | Held:
        """Grant or renew the lease unless another holder has it.

        Parameters
        ----------
        holder : str
            Name of one life of a process; a restarted process is another holder.
        ttl_s : float, seconds
            Duration of the grant.
        now : float, seconds
            Monotonic time.
        """
        if holder != self.holder and now < self.expires_at:
            return Held(self.holder, self.expires_at - now)
        # A holder that lapsed gets a new epoch too: calls it sent before may
        # still be on their way.
        changed = holder != self.holder or now >= self.expires_at
        if changed:
            self.epoch += 1
            self.holder = holder
        self.expires_at = now + ttl_s
        return Granted(self.epoch, changed)

    def release(self, holder: str, epoch: int) -> bool:
        """End the lease early; return whether it was this holder's."""
        if holder != self.holder or epoch != self.epoch:
            return False
        self.expires_at = float("-inf")
        return True

    def permits(self, epoch: int, now: float) -> bool:
        """Return whether a call with this fencing token may take effect."""
        return epoch == self.epoch and now < self.expires_at
