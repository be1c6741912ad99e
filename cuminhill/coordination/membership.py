"""Membership by heartbeats: suspicion before death, incarnations, leaving."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

SUSPECT_AFTER_S = 0.8
DEAD_AFTER_S = 5.0


class MemberState(StrEnum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """One entry VM as it describes itself.

    Parameters
    ----------
    incarnation : int
        Life of the process; a larger one replaces a smaller one.
    counter : int
        Rises with each heartbeat of one life.
    """

    vm: str
    incarnation: int
    counter: int
    address: str
    failure_domain: str
    leaving: bool = False
    shards: tuple[str, ...] = ()
    free_cores: float = 0.0
    config_revision: int = 0
    log_offset: int = 0


@dataclass(slots=True)
class _Heard:
    member: Member
    at: float


@dataclass(eq=False, slots=True)
class Membership:
    """What one entry VM knows of the others and of itself."""

    me: Member
    heard: dict[str, _Heard] = field(default_factory=dict)

    def update_me(self, **changes: object) -> Member:
        """Change the own entry and count one more heartbeat."""
        self.me = replace(self.me, counter=self.me.counter + 1, **changes)  # type: ignore[arg-type]
        return self.me

    def receive(self, member: Member, now: float) -> None:
        """Take in an entry, direct or passed on; older news are ignored."""
        if member.vm == self.me.vm:
            return
        known = self.heard.get(member.vm)
        if known is not None:
            old = known.member
            if (member.incarnation, member.counter) <= (old.incarnation, old.counter):
                return
        self.heard[member.vm] = _Heard(member, now)

    def state(self, vm: str, now: float) -> MemberState:
        """Return what is believed of a VM."""
        if vm == self.me.vm:
            return MemberState.LEAVING if self.me.leaving else MemberState.ALIVE
        known = self.heard.get(vm)
        if known is None or now - known.at >= DEAD_AFTER_S:
            return MemberState.DEAD
        if known.member.leaving:
            return MemberState.LEAVING
        if now - known.at >= SUSPECT_AFTER_S:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def members(self) -> list[Member]:
        """Return all known members, ourselves first."""
        others = [self.heard[key].member for key in sorted(self.heard)]
        return [self.me, *others]

    def alive(self, now: float) -> list[Member]:
        """Return the members that are neither suspect, leaving nor dead."""
        return [
            member
            for member in self.members()
            if self.state(member.vm, now) is MemberState.ALIVE
        ]


def make_membership(me: Member) -> Membership:
    """Return a membership that knows only the own VM."""
    return Membership(me)
