"""Leases measured on monotonic clocks, for the granting and the holding side.

The lease ends at the holder before it ends at the granter: a renewal is sent at
``s`` and granted at ``g >= s``. The holder acts until ``ttl * (1 - drift) - margin``
after ``s`` on its own clock, which is at most ``ttl - margin / (1 - drift)`` on the
granter's if the holder's clock is slower by at most ``drift``. An effect follows its
check by at most ``margin``, so it comes before ``g + ttl``, when the lease can be
granted to another holder. A pause between the check and the effect is not covered:
then the call is refused because of its fencing token.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_TTL_S = 60.0  # bounds the wait for the lease of a crashed holder


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
        A worker stops its tasks when no holder has renewed for this long.
    stop_s : float, seconds
        Time that a worker needs to notice that and to stop them.
    """

    ttl_s: float = 1.0
    renew_s: float = 0.35
    drift: float = 0.01
    margin_s: float = 0.1
    task_ttl_s: float = 10.0
    stop_s: float = 0.5

    def __post_init__(self) -> None:
        if not 0.0 <= self.drift < 1.0:
            raise ValueError(f"drift: {self.drift} is not in the range 0 <= drift < 1")
        if self.holder_expiry(0.0) <= self.renew_s:
            raise ValueError(
                f"ttl_s: a lease of {self.ttl_s} s ends before its renewal"
                f" after {self.renew_s} s"
            )

    def holder_expiry(self, sent_at: float) -> float:
        """Return until when a holder may act on a grant.

        Parameters
        ----------
        sent_at : float, seconds
            Monotonic time before the renewal was sent. Counting from the send
            and not from the reply ends the lease at the holder first.
        """
        return sent_at + self.ttl_s * (1.0 - self.drift) - self.margin_s

    def tasks_stopped_at(self, lost_at: float) -> float:
        """Return when the tasks of a worker have certainly stopped.

        Parameters
        ----------
        lost_at : float, seconds
            Monotonic time after which no renewal can have reached the worker.
        """
        # Divides because the worker's clock may be the slower one.
        stopped_s = (self.task_ttl_s + self.stop_s) / (1.0 - self.drift)
        return lost_at + stopped_s + self.margin_s


@dataclass(slots=True)
class HeldLease:
    """Holder's view of one grant.

    Parameters
    ----------
    epoch : int
        Fencing token; rises with each change of holder.
    valid_until : float, seconds
        Monotonic time until which the holder may act.
    ended : bool, default=False
        Whether the holder has released this epoch.
    """

    epoch: int
    valid_until: float
    ended: bool = False

    def valid(self, now: float) -> bool:
        """Return whether the holder may still act.

        Must be checked after every wait, right before the effect.
        """
        return now < self.valid_until

    def apply_grant(self, epoch: int, valid_until: float) -> bool:
        """Apply a grant; return False if its epoch is older or has ended.

        Replies can arrive out of order, and a late one must not revive an epoch
        that has ended.
        """
        if epoch < self.epoch or (epoch == self.epoch and self.ended):
            return False
        if epoch > self.epoch:
            self.epoch, self.valid_until, self.ended = epoch, valid_until, False
        self.valid_until = max(self.valid_until, valid_until)
        return True

    def end(self) -> None:
        """Stop acting; must be called before a release is sent, not after.

        A reply that arrives later does not revive the epoch. If the release is
        lost, it has to be repeated or the lease left to lapse.
        """
        self.valid_until = float("-inf")
        self.ended = True


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
    max_ttl_s: float = MAX_TTL_S

    def acquire(self, holder: str, ttl_s: float, now: float) -> Granted | Held:
        """Grant or renew the lease unless another holder has it.

        Parameters
        ----------
        holder : str
            Name of one incarnation of a process; a restarted one is another holder.
        ttl_s : float, seconds
            Duration of the grant.
        now : float, seconds
            Monotonic time.

        Raises
        ------
        ValueError
            If the duration is not positive or is too long.
        """
        if not 0.0 < ttl_s <= self.max_ttl_s:
            raise ValueError(
                f"ttl_s: {ttl_s} is not above 0 and at most {self.max_ttl_s}"
            )
        if holder != self.holder and now < self.expires_at:
            return Held(self.holder, self.expires_at - now)
        # A holder whose lease lapsed gets a new epoch too: calls that it sent
        # before may still be in flight.
        changed = holder != self.holder or now >= self.expires_at
        if changed:
            self.epoch += 1
            self.holder = holder
        # A shorter renewal must not shorten a lease that was granted before.
        start = now if changed else max(now, self.expires_at - ttl_s)
        self.expires_at = start + ttl_s
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


def make_arbiter(epoch: int, now: float, max_ttl_s: float = MAX_TTL_S) -> LeaseArbiter:
    """Return an arbiter for a granter that may have restarted.

    Nothing is granted until every lease that an earlier incarnation may have
    granted has ended, since its holder may still act.

    Parameters
    ----------
    epoch : int
        At least as large as any that an earlier incarnation used, for example the
        start time in milliseconds since the epoch.
    now : float, seconds
        Monotonic time.
    max_ttl_s : float, seconds
        Longest lease that is or was ever granted.
    """
    return LeaseArbiter(epoch, "", now + max_ttl_s, max_ttl_s)
