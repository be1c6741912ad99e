"""What one placer may do while others may believe that they lead the same shard.

A placer holds leases of workers. Two placers that cannot talk may each hold some
of a shard's workers, so a lease alone does not tell who places a request. Three
rules decide, without agreement between the placers:

- A placer that has held at least one worker without a break may go on with the
  requests that it has taken.
- A placer that takes a shard over leaves requests that an earlier one may have
  taken alone until it has heard every worker of the shard under its own lease.
  Since the earlier one then holds none, both rules never apply at once.
- A lead record in the log separates the two: requests claimed after a placer's
  record, while it is the newest, are its own from the start. Who reads a newer
  record of another placer gives up.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(eq=False, slots=True)
class Term:
    """One time of leading a shard.

    Parameters
    ----------
    holder : str
        Life of the process.
    number : int
        Counts the terms of this life.

    Attributes
    ----------
    lead_offset : int
        Offset of the term's lead record, -1 before it was read back.
    deposed : bool
        Whether a newer lead record of another placer was read.
    exclusive : bool
        Whether every worker was heard under this term's leases.
    held_until : float, seconds
        Monotonic time until which at least one worker is certainly held.
    """

    holder: str
    number: int
    leader_record_offset: int = -1
    deposed: bool = False
    exclusive: bool = False
    granted: bool = False
    held_until: float = float("-inf")

    @property
    def name(self) -> str:
        """Name of the term in lead records."""
        return f"{self.holder}#{self.number}"

    @property
    def confirmed(self) -> bool:
        """Whether the newest lead record that was read is this term's."""
        return self.leader_record_offset >= 0 and not self.deposed

    @property
    def may_extend(self) -> bool:
        """Whether tasks that an earlier placer started may be kept running."""
        return self.confirmed or self.exclusive

    def grant(self, valid_until: float, now: float) -> bool:
        """Note a grant or renewal of some worker's lease.

        Returns
        -------
        bool
            False if no worker was held just before: the term is broken and a new
            one has to begin.
        """
        if self.broken(now):
            return False
        self.granted = True
        self.held_until = max(self.held_until, valid_until)
        return True

    def broken(self, now: float) -> bool:
        """Return whether there was a time without any worker after the first."""
        return self.granted and now >= self.held_until

    def take_lead(self, offset: int, by: str) -> None:
        """Take in a lead record of the shard."""
        if by == self.name:
            self.leader_record_offset = offset
        elif self.leader_record_offset >= 0 and by.rpartition("#")[0] != self.holder:
            # Before the own record is read back the other's is the older one.
            self.deposed = True

    def owns(self, origin: int) -> bool:
        """Return whether a claim at an offset is this term's from the start."""
        return self.confirmed and origin > self.leader_record_offset


def make_term(holder: str, number: int) -> Term:
    """Return a term that holds no worker yet."""
    return Term(holder, number)
