"""Placer election: when a VM claims the next term; no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..util.hashing import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .records import LeaderRecord, Member

# Election timeout: seconds without a record of the placer after which another VM claims
# the next term. The journal's latency times the factor is added, so that a slow journal
# is not mistaken for a dead placer. A placer writes at least every 0.6 s.
PLACER_TIMEOUT_S = 1.4
LATENCY_FACTOR = 4.0
# Time in which the placer can write again after the journal was unreachable.
RECOVERY_GRACE_S = 0.5
# Delay between the claims of VMs, so that the others read the first one.
STAGGER_S = 0.25
MAX_STAGGER_S = 2.0
# Longest additional delay of an unfit VM after a resignation and at the first start;
# the fit ones have registered by then.
UNFIT_DELAY_S = 0.8
# A placer hands over to a VM whose fitness is higher by at least the gain, once its
# term is old enough for the change to pay, and then not again during the cooldown.
HANDOVER_GAIN = 0.5
MIN_TERM_S = 3.0
HANDOVER_COOLDOWN_S = 20.0
# A VM that is fitter than the placer repeats its registration at this interval, which
# shows that it is alive and reaches the journal; without one for the timeout it is not
# considered.
OFFER_INTERVAL_S = 1.0
ALIVE_TIMEOUT_S = 2.5


@dataclass(frozen=True, slots=True)
class JournalView:
    """State of one VM's access to the journal.

    Parameters
    ----------
    read_at : float, seconds
        When the newest complete read was sent.
    readable_since : float, seconds
        When reads succeeded again after a failure; 0 if none has failed.
    latency_s : float, seconds
        Mean time of an append.
    """

    read_at: float
    readable_since: float = 0.0
    latency_s: float = 0.0


@dataclass(eq=False)
class Election:
    """One VM's view of the current term.

    Parameters
    ----------
    vm : str
        Name of the VM.
    leader_record : LeaderRecord
        Newest claim that has won.
    newest_record_at : float, seconds
        When the newest record of the placer was read.
    n_records : int
        Count of all records that placers have written.
    fitness : float
        Suitability of this VM as the placer, from 0 to 1.
    refused_term : int
        Newest term that the log has shown, by a refusal, to be claimed.
    refused_at : float, seconds
        When it was last refused.
    """

    vm: str
    leader_record: LeaderRecord
    newest_record_at: float
    n_records: int = 0
    fitness: float = 1.0
    refused_term: int = 0
    refused_at: float = 0.0

    def observe(self, leader_record: LeaderRecord, n_records: int, now: float) -> None:
        """Update the view after records were folded.

        Parameters
        ----------
        n_records : int
            Count of all records that placers have written.
        """
        if leader_record != self.leader_record or n_records != self.n_records:
            self.leader_record, self.n_records = leader_record, n_records
            self.newest_record_at = now

    def note_refusal(self, term: int, now: float) -> None:
        """Note that the log has refused an append because a VM has claimed a term.

        The log refuses as soon as it has accepted the claim, and a slow one stores it
        seconds later. Until it can be read, its claimant gets the election timeout.
        """
        if term > self.leader_record.term:
            self.refused_term = max(self.refused_term, term)
            self.refused_at = now

    @property
    def awaits_claim(self) -> bool:
        """Whether a claim has been accepted by the log that has not been read."""
        return self.refused_term > self.leader_record.term

    @property
    def next_term(self) -> int:
        """The lowest term that may not have been claimed."""
        return max(self.leader_record.term, self.refused_term) + 1

    def claim_at(self, members: Mapping[str, Member], latency_s: float = 0.0) -> float:
        """Return the time from which this VM may claim to be the placer.

        The fittest VMs come first. VMs of equal fitness claim in an order that differs
        from term to term, so that a VM that fails repeatedly is not always first. A VM
        whose earlier incarnation was the placer does not wait, since it has ended.
        """
        if self._follows_itself:
            return self.newest_record_at
        fitness = {
            vm: member.fitness
            for vm, member in members.items()
            if vm != self.leader_record.vm
        }
        fitness[self.vm] = self.fitness
        order = rendezvous_order(str(self.leader_record.term), fitness)
        order.sort(key=lambda vm: -fitness[vm])
        delay_s = min(MAX_STAGGER_S, order.index(self.vm) * STAGGER_S)
        return self._first_claim_at(latency_s) + delay_s

    @property
    def _follows_itself(self) -> bool:
        """Whether the newest term is that of an earlier incarnation of this VM."""
        return (
            self.leader_record.vm == self.vm
            and self.leader_record.term > 0
            and not self.leader_record.resigned
            and not self.awaits_claim
        )

    def _first_claim_at(self, latency_s: float) -> float:
        """Return the time from which the first of the VMs may claim."""
        if self._follows_itself:
            return self.newest_record_at
        if self.leader_record.resigned and not self.awaits_claim:
            return self.newest_record_at + UNFIT_DELAY_S * (1 - self.fitness)
        since = self.newest_record_at
        if self.awaits_claim:
            since = max(since, self.refused_at)
        return since + (PLACER_TIMEOUT_S + LATENCY_FACTOR * latency_s)

    def may_claim(
        self, members: Mapping[str, Member], now: float, journal: JournalView
    ) -> bool:
        """Return whether to claim now.

        The election timeout runs only up to the newest complete read of the journal,
        and the placer gets time to write again after the journal was unreachable.
        """
        resigned = self.leader_record.resigned and not self.awaits_claim
        read_until = now if resigned else min(now, journal.read_at)
        if read_until < self._first_claim_at(journal.latency_s):
            return False  # without the order of all VMs, which each tick would compute
        claim_at = self.claim_at(members, journal.latency_s)
        if resigned:
            return now >= claim_at
        return read_until >= max(claim_at, journal.readable_since + RECOVERY_GRACE_S)

    def is_fitter(self, members: Mapping[str, Member]) -> bool:
        """Return whether this VM is fitter than the placer by the handover gain."""
        leader = members.get(self.leader_record.vm)
        if leader is None or self.leader_record.resigned:
            return False
        return self.fitness >= leader.fitness + HANDOVER_GAIN


def fitter_member(
    fitness: float, members: Mapping[str, Member], alive: Iterable[str]
) -> str | None:
    """Return the fittest VM that exceeds a fitness by the handover gain, or None.

    Parameters
    ----------
    fitness : float
        Fitness of the placer.
    alive : iterable of str
        VMs that have registered within the alive timeout.
    """
    known = [vm for vm in alive if vm in members]
    best = max(known, key=lambda vm: members[vm].fitness, default=None)
    if best is None or members[best].fitness < fitness + HANDOVER_GAIN:
        return None
    return best
