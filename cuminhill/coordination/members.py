"""Entries and messages of a membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class MemberState(StrEnum):
    """State of a member in the view of one process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """One process as it describes itself.

    Parameters
    ----------
    incarnation : int
        Incarnation of the process; a larger one replaces a smaller one.
    counter : int
        Increases with each heartbeat of one incarnation.
    address : str
        Empty in a compact entry, which only repeats the counter.
    """

    vm: str
    incarnation: int
    counter: int
    address: str = ""
    failure_domain: str = ""
    leaving: bool = False
    shards: tuple[str, ...] = ()
    free_cores: float = 0.0
    config_revision: int = 0
    log_offset: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Order of the entries of one VM."""
        return (self.incarnation, self.counter)

    def compact(self) -> Member:
        """Return the compact entry, without the fields that seldom change."""
        return Member(self.vm, self.incarnation, self.counter, leaving=self.leaving)

    def is_update_of(self, old: Member) -> bool:
        """Return whether more than the counter and the load have changed."""
        return (
            self.incarnation != old.incarnation
            or self.leaving != old.leaving
            or self.shards != old.shards
            or self.config_revision != old.config_revision
            or self.address != old.address
        )


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Message with the sender's entry and entries that it passes on."""

    sender: Member
    member_entries: tuple[tuple[Member, MemberState], ...] = ()


def make_incarnation(wall_ns: int, rng: random.Random, after: int = 0) -> int:
    """Return the incarnation of a starting process.

    Parameters
    ----------
    wall_ns : int, nanoseconds since the epoch
        Start time; the lowest 16 bits are replaced by random ones.
    rng : random.Random
        Tells two processes apart that start at the same time.
    after : int, default=0
        Incarnation to exceed, see ``Membership.superseded_by``: after the clock
        was set back, the new incarnation would otherwise be taken for an old one.
    """
    return max((wall_ns >> 16 << 16) | rng.getrandbits(16), after + 1)
