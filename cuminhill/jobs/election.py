"""Decides when a VM claims to be the placer; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..util.hashing import rank

if TYPE_CHECKING:
    from .records import Lead

# Seconds without a record of the placer after which another VM claims its place, and
# multiple of the journal's latency that is added, so that a slow journal does not look
# like a dead placer. A placer writes at least every 0.6 s.
SILENCE_S = 1.4
LATENCY_X = 4.0
# Seconds that the placer has to write again after the journal was out of reach.
RETURN_S = 0.5
# Seconds between the claims of VMs, so that the first one is seen by the others.
STAGGER_S = 0.25
MAX_STAGGER_S = 2.0


@dataclass(frozen=True, slots=True)
class JournalView:
    """How well a VM sees the journal.

    Parameters
    ----------
    read_at : float, seconds
        When the newest complete read was sent.
    readable_since : float, seconds
        When reads began to succeed after a failure; 0 if none has failed.
    latency_s : float, seconds
        Mean time of an append.
    """

    read_at: float
    readable_since: float = 0.0
    latency_s: float = 0.0


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

    def claim_at(self, members: list[str], latency_s: float = 0.0) -> float:
        """Return the time from which this VM may claim to be the placer.

        VMs claim in an order that differs from term to term, so that a VM that
        fails again and again does not always come first. A VM whose earlier life
        was the placer does not wait: that life is over.
        """
        if self.lead.vm == self.vm and self.lead.term:
            return self.seen_at
        others = [vm for vm in members if vm != self.lead.vm]
        order = rank(str(self.lead.term), {*others, self.vm})
        delay_s = min(MAX_STAGGER_S, order.index(self.vm) * STAGGER_S)
        silence_s = SILENCE_S + LATENCY_X * latency_s
        if self.lead.resigned:
            silence_s = 0.0
        return self.seen_at + silence_s + delay_s

    def may_claim(self, members: list[str], now: float, journal: JournalView) -> bool:
        """Return whether to claim now.

        Silence counts only as far as the journal has been read, and the placer has
        some time to write again when the journal has been out of reach.
        """
        claim_at = self.claim_at(members, journal.latency_s)
        if self.lead.resigned:
            return now >= claim_at
        seen_until = min(now, journal.read_at)
        return seen_until >= max(claim_at, journal.readable_since + RETURN_S)
