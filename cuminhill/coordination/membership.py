"""Membership by heartbeats: suspicion before death, incarnations, leaving.

Members are watched within their failure domain, and failure domains are watched
as a whole by each other, so that the traffic of a process does not grow with the
number of members. What a watcher finds is passed on as news.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..util.hashing import rank
from .detector import ACCUSATIONS, SUSPECT_AFTER_S, Known, judge
from .gossip import make_gossip_queue
from .members import Heartbeat, Member, MemberState, make_incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable

from .gossip import GossipQueue

LOCAL_INTERVAL_S = 0.25
REMOTE_INTERVAL_S = 1.0
PAUSE_AFTER_S = SUSPECT_AFTER_S
REJOIN_WAIT_S = 0.6  # two heartbeats: every watched peer has answered by then
# Must exceed the longest delay of a message: an evicted life is not remembered.
EVICT_AFTER_S = 600.0
MAX_MEMBERS = 1024
MAX_LOCAL_TARGETS = 8
MAX_HEARTBEAT_ENTRIES = 16
N_LOCAL_REFRESHES = 1  # entries without news in a local heartbeat
N_REMOTE_REFRESHES = 8
# An entry is news until it has been sent so often, counted apart since a process
# sends about thirty heartbeats within its failure domain for each one outside.
N_LOCAL_SENDS = 8
N_REMOTE_SENDS = 4
# One heartbeat in (members / this) repeats whole entries, with the free capacity:
# each one in a small cell, few in a large one, so that the traffic stays level.
MEMBERS_PER_WHOLE = 16
WELCOME_S = 5.0  # a new peer gets as many whole entries as fit for so long
N_JOIN_SEEDS = 3


@dataclass(eq=False, slots=True)
class Membership:
    """What one process knows of the others and of itself.

    Times are monotonic seconds of this process. The driver calls ``tick`` before
    it sends, about every ``LOCAL_INTERVAL_S``.
    """

    me: Member
    _local: GossipQueue
    _remote: GossipQueue
    superseded_by: int = 0
    n_refused: int = 0
    n_pauses: int = 0
    _known: dict[str, Known] = field(default_factory=dict)
    _domain_at: dict[str, float] = field(default_factory=dict)
    _leaving: frozenset[str] = frozenset()
    _watched: tuple[str, ...] = ()
    _ticked_at: float | None = None
    _resumed_at: float = float("-inf")
    _n_news_of_me: int = 0
    _n_sent: int = 0

    # The own entry and the time

    def update_me(self, **changes: object) -> Member:
        """Change the own entry and count one more heartbeat."""
        old = self.me
        self.me = replace(old, counter=old.counter + 1, **changes)  # type: ignore[arg-type]
        if self.me.news(old):
            # Every watched peer is to get the change, also if a call fails.
            self._n_news_of_me = 4 * MAX_LOCAL_TARGETS
        return self.me

    def tick(self, now: float) -> None:
        """Note that time has passed: find pauses, silence and members to evict."""
        if self._ticked_at is not None and now - self._ticked_at >= PAUSE_AFTER_S:
            self._resumed_at = now
            self.n_pauses += 1
        self._ticked_at = now
        self._watch(now)
        for vm in list(self._known):
            self._review(vm, self._known[vm], now)

    def stale(self, now: float) -> bool:
        """Return whether this process was paused and has not caught up yet.

        A caller should not take over anything from others while this holds.
        """
        if now < self._resumed_at + REJOIN_WAIT_S:
            return True
        return self._ticked_at is not None and now - self._ticked_at >= PAUSE_AFTER_S

    # What others say

    def receive(
        self,
        member: Member,
        now: float,
        state: MemberState = MemberState.ALIVE,
        *,
        direct: bool = False,
    ) -> None:
        """Take in an entry; older news are ignored.

        Parameters
        ----------
        member : Member
            Whole or brief entry.
        now : float, seconds
            Monotonic time.
        state : MemberState
            What its sender believes; suspect and dead accuse this counter only.
        direct : bool, default=False
            Whether the member itself has sent it.
        """
        if member.vm == self.me.vm:
            if member.incarnation > self.me.incarnation:
                self.superseded_by = max(self.superseded_by, member.incarnation)
            return
        known = self._known.get(member.vm)
        if known is None or member.incarnation > known.member.incarnation:
            if state not in ACCUSATIONS and member.address:
                self._take_life(member, now, direct)
            return
        if member.incarnation < known.member.incarnation:
            return
        if member.leaving and not known.member.leaving:
            # Leaving is not taken back within a life, so order does not matter.
            known.member = replace(known.member, leaving=True)
            self._spread(member.vm)
        if state in ACCUSATIONS:
            self._take_accusation(member, known, state, now)
        elif member.counter > known.member.counter:
            self._take_refresh(member, known, now)
        if direct and member.counter >= known.member.counter:
            known.direct_at = now

    def receive_heartbeat(self, message: Heartbeat, now: float) -> None:
        """Take in a heartbeat or the reply to one."""
        for member, state in message.member_entries:
            self.receive(member, now, state)
        self.receive(message.sender, now, direct=True)

    def set_leaving(self, vms: Iterable[str]) -> None:
        """Set which VMs the platform's list says are leaving.

        The list knows no incarnations and lags, so the hint holds as long as the
        list repeats it and is not passed on.
        """
        self._leaving = frozenset(vms)

    # What is believed

    def state(self, vm: str, now: float) -> MemberState:
        """Return what is believed of a VM."""
        if vm == self.me.vm:
            leaving = self.me.leaving or vm in self._leaving
            return MemberState.LEAVING if leaving else MemberState.ALIVE
        known = self._known.get(vm)
        if known is None:
            return MemberState.DEAD
        found = self._found(vm, known, now)
        if found is MemberState.DEAD:
            return MemberState.DEAD
        if known.member.leaving or vm in self._leaving:
            return MemberState.LEAVING
        paused = self._ticked_at is not None and now - self._ticked_at >= PAUSE_AFTER_S
        if paused or known.at < self._resumed_at:
            return MemberState.SUSPECT
        return found

    def members(self) -> list[Member]:
        """Return all known members, ourselves first."""
        return [self.me, *(self._known[key].member for key in sorted(self._known))]

    def alive(self, now: float) -> list[Member]:
        """Return the members that are neither suspect, leaving nor dead."""
        return [
            member
            for member in self.members()
            if self.state(member.vm, now) is MemberState.ALIVE
        ]

    # What to send

    def local_targets(self, now: float) -> list[Member]:
        """Return the members of the own failure domain to greet now.

        A peer that has just been heard is left out: its exchange served both.
        """
        return [
            self._known[vm].member
            for vm in self._watched
            if vm in self._known
            and now - self._known[vm].direct_at >= 0.6 * LOCAL_INTERVAL_S
        ]

    def remote_targets(
        self, now: float, rng: random.Random, seeds: Iterable[str] = ()
    ) -> list[str]:
        """Return the addresses to greet once per ``REMOTE_INTERVAL_S``.

        One random member of another failure domain and, while some are dead or
        listed and unknown, one of those, so that a healed partition is noticed.

        Parameters
        ----------
        now : float, seconds
            Monotonic time.
        rng : random.Random
            Chooses.
        seeds : iterable of str
            Addresses from the settings or the VM list.
        """
        remote, lost, usable = [], [], {self.me.address}
        for member in self.members()[1:]:
            if self.state(member.vm, now) is MemberState.DEAD:
                lost.append(member.address)
                continue
            usable.add(member.address)
            if member.failure_domain != self.me.failure_domain:
                remote.append(member.address)
        lost += sorted(set(seeds) - usable - set(lost))
        if not self._known:
            return rng.sample(lost, min(N_JOIN_SEEDS, len(lost)))
        return [rng.choice(group) for group in (remote, lost) if group]

    def heartbeat(self, to: str | None, now: float) -> Heartbeat:
        """Return the message for a VM; None for one whose name is unknown."""
        known = self._known.get(to) if to is not None else None
        welcome = known is None or now - known.since < WELCOME_S
        self._n_sent += 1
        if known is not None:
            known.n_sent_to += 1
        local = (
            known is not None and known.member.failure_domain == self.me.failure_domain
        )
        # Another failure domain is greeted too seldom to count by peer.
        n_sent = known.n_sent_to if known is not None and local else self._n_sent
        whole_every = max(1, len(self._known) // MEMBERS_PER_WHOLE)
        whole = welcome or n_sent % whole_every == 0
        entries = self._carry(known, local, welcome, whole, now)
        if self._n_news_of_me > 0:
            self._n_news_of_me -= 1
            whole = True
        return Heartbeat(self.me if whole else self.me.brief(), tuple(entries))

    # Details

    def _take_life(self, member: Member, now: float, direct: bool) -> None:
        if member.vm not in self._known and len(self._known) >= MAX_MEMBERS:
            dead = [k for k, v in self._known.items() if v.dead_at is not None]
            if not dead:
                self.n_refused += 1
                return
            self._evict(min(dead, key=lambda vm: self._known[vm].dead_at or 0.0))
        known = Known(member, now, now, now if direct else float("-inf"), now)
        self._known[member.vm] = known
        self._domain_at[member.failure_domain] = now
        self._spread(member.vm)
        self._watch(now)

    def _take_refresh(self, member: Member, known: Known, now: float) -> None:
        old = known.member
        if not member.address:
            member = replace(old, counter=member.counter)
        elif old.leaving:
            member = replace(member, leaving=True)
        known.member = member
        known.at = now
        self._domain_at[member.failure_domain] = now
        if known.accused is not None or known.dead_at is not None or member.news(old):
            self._spread(member.vm)
        known.accused = known.dead_at = None

    def _take_accusation(
        self, member: Member, known: Known, state: MemberState, now: float
    ) -> None:
        if member.counter < known.member.counter:
            self._spread(member.vm)  # a newer counter refutes it
            return
        if (
            ACCUSATIONS[state] <= ACCUSATIONS.get(known.accused or state, 0)
            and known.accused
        ):
            return
        known.accused, known.accused_at = state, now
        self._spread(member.vm)

    def _found(self, vm: str, known: Known, now: float) -> MemberState:
        domain_at = self._domain_at[known.member.failure_domain]
        return judge(known, vm in self._watched, domain_at, now)

    def _review(self, vm: str, known: Known, now: float) -> None:
        found = self._found(vm, known, now)
        if found is not MemberState.DEAD:
            known.dead_at = None
        elif known.dead_at is None:
            known.dead_at = now
        elif now - known.dead_at >= EVICT_AFTER_S:
            self._evict(vm)
            return
        # A process that was just paused heard nobody, which accuses nobody.
        since = max(known.at, known.watched_at, self._resumed_at)
        if vm not in self._watched or found not in ACCUSATIONS:
            return
        if found is not known.accused and now - since >= SUSPECT_AFTER_S:
            if known.accused is None:
                known.accused_at = now
            known.accused = found
            self._spread(vm)

    def _watch(self, now: float) -> None:
        """Choose whom to greet and to watch in the own failure domain."""
        domain = self.me.failure_domain
        local = [
            vm
            for vm, known in self._known.items()
            if known.member.failure_domain == domain and known.dead_at is None
        ]
        if len(local) > MAX_LOCAL_TARGETS:
            local = rank(self.me.vm, local)[:MAX_LOCAL_TARGETS]
        for vm in set(local).difference(self._watched):
            self._known[vm].watched_at = now
        self._watched = tuple(local)

    def _evict(self, vm: str) -> None:
        domain = self._known.pop(vm).member.failure_domain
        self._local.remove(vm)
        self._remote.remove(vm)
        if all(v.member.failure_domain != domain for v in self._known.values()):
            self._domain_at.pop(domain, None)

    def _spread(self, vm: str) -> None:
        self._local.add(vm)
        self._remote.add(vm)

    def _carry(
        self, to: Known | None, local: bool, welcome: bool, whole: bool, now: float
    ) -> list[tuple[Member, MemberState]]:
        queue = self._local if local else self._remote
        n_refreshes = N_LOCAL_REFRESHES if local else N_REMOTE_REFRESHES
        if welcome:
            n_refreshes = MAX_HEARTBEAT_ENTRIES
        entries = []
        for vm, is_news in queue.take(MAX_HEARTBEAT_ENTRIES, n_refreshes):
            known = self._known[vm]
            if known is to:
                continue
            if known.accused is not None:
                entries.append((known.member.brief(), known.accused))
                continue
            if (
                known.at < self._resumed_at
                or self._found(vm, known, now) in ACCUSATIONS
            ):
                continue  # the own silence proves nothing to others
            member = known.member if is_news or whole else known.member.brief()
            entries.append((member, MemberState.ALIVE))
        return entries


def make_membership(me: Member) -> Membership:
    """Return a membership that knows only the own VM."""
    rng = random.Random(f"{me.vm} {me.incarnation}")
    return Membership(
        me,
        make_gossip_queue(N_LOCAL_SENDS, rng),
        make_gossip_queue(N_REMOTE_SENDS, rng),
    )


__all__ = [
    "Heartbeat",
    "Member",
    "MemberState",
    "Membership",
    "make_incarnation",
    "make_membership",
]
