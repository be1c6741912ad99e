"""Decides when a VM claims to be the placer; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..util.hashing import rank

if TYPE_CHECKING:
    from .records import Lead

# Seconds without a record of the placer after which another VM claims its place.
SILENCE_S = 2.0
# Seconds between the claims of VMs, so that the first one is seen by the others.
STAGGER_S = 0.25
MAX_STAGGER_S = 2.0


@dataclass(eq=False)
class Election:
    """View of one VM on who is the placer.

    Parameters
    ----------
    vm : str
        Name of the VM.
    seen_at : float, seconds
        When the newest record of the placer was read.
    """

    vm: str
    lead: Lead
    seen_at: float
    n_records: int = 0

    def observe(self, lead: Lead, n_records: int, now: float) -> None:
        """Note what has been folded so far.

        Parameters
        ----------
        n_records : int
            Count of all records that placers have written.
        """
        if lead != self.lead or n_records != self.n_records:
            self.lead, self.n_records = lead, n_records
            self.seen_at = now

    def claim_at(self, members: list[str]) -> float:
        """Return the time from which this VM may claim to be the placer.

        VMs claim in an order that differs from term to term, so that a VM that
        fails again and again does not always come first.
        """
        others = [vm for vm in members if vm != self.lead.vm]
        order = rank(str(self.lead.term), {*others, self.vm})
        delay_s = min(MAX_STAGGER_S, order.index(self.vm) * STAGGER_S)
        silence_s = 0.0 if self.lead.resigned else SILENCE_S
        return self.seen_at + silence_s + delay_s

    def may_claim(self, members: list[str], now: float, read_at: float) -> bool:
        """Return whether to claim now.

        Parameters
        ----------
        read_at : float, seconds
            When the newest complete read of the journal was sent: silence counts
            only as far as the journal has been read.
        """
        return min(now, read_at) >= self.claim_at(members)
