"""What a placer may do while others may believe that they lead the same shard.

A placer holds leases of workers. Two placers that cannot communicate may each hold
some of a shard's workers, so a lease alone does not decide which of them places a
request. Three rules decide without agreement between the placers:

- A placer that has held at least one worker without interruption may go on with
  the requests that it has accepted.
- A placer that takes over a shard does not place requests that an earlier placer
  may have accepted until it has heard from every worker of the shard under its own
  lease. Since the earlier placer then holds no worker, the two rules never apply to
  the same request at the same time.
- A leader record in the log separates the two: requests claimed after a placer's
  record, while that is the newest, belong to this placer from the start. A placer
  that reads a newer record of another placer ends its term.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(eq=False, slots=True)
class Term:
    """One period in which a placer leads a shard.

    Parameters
    ----------
    holder : str
        Incarnation of the process.
    number : int
        Number of the term within this incarnation.

    Attributes
    ----------
    leader_record_offset : int
        Offset of the term's leader record, -1 until it was read back.
    deposed : bool
        Whether a newer leader record of another placer was read.
    exclusive : bool
        Whether every worker was heard from under this term's leases.
    granted : bool
        Whether any worker has granted a lease.
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
        """Name of the term in leader records."""
        return f"{self.holder}#{self.number}"

    @property
    def confirmed(self) -> bool:
        """Whether the newest leader record that was read is this term's."""
        return self.leader_record_offset >= 0 and not self.deposed

    @property
    def may_extend(self) -> bool:
        """Whether tasks that an earlier placer started may be kept running."""
        return self.confirmed or self.exclusive

    def grant(self, valid_until: float, now: float) -> bool:
        """Record a grant or renewal of a worker's lease.

        Returns
        -------
        bool
            False if no worker was held any more: the term is broken and a new one
            has to begin.
        """
        if self.broken(now):
            return False
        self.granted = True
        self.held_until = max(self.held_until, valid_until)
        return True

    def broken(self, now: float) -> bool:
        """Return whether all leases have lapsed since the first grant."""
        return self.granted and now >= self.held_until

    def take_lead(self, offset: int, by: str) -> None:
        """Process a leader record of the shard."""
        if by == self.name:
            self.leader_record_offset = offset
        elif self.leader_record_offset >= 0 and by.rpartition("#")[0] != self.holder:
            # Until the own record is read back, any other record is older.
            self.deposed = True

    def owns(self, origin: int) -> bool:
        """Return whether a claim at an offset is this term's from the start."""
        return self.confirmed and origin > self.leader_record_offset


def make_term(holder: str, number: int) -> Term:
    """Return a term that holds no worker yet."""
    return Term(holder, number)
