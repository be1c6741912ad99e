"""Membership by heartbeats: suspicion before death, incarnations, leaving.

A member is watched by members of its own failure domain, and failure domains watch
each other as a whole, so that the traffic of a process does not grow with the number
of members. Watchers spread what they detect by gossip.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..util.hashing import rendezvous_order
from .detector import ACCUSATIONS, SUSPECT_AFTER_S, Peer, assess_peer
from .gossip import make_gossip_queue
from .members import Heartbeat, Member, MemberState, make_incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable

from .gossip import GossipQueue

LOCAL_INTERVAL_S = 0.25
REMOTE_INTERVAL_S = 1.0
MIN_PAUSE_S = SUSPECT_AFTER_S
REJOIN_WAIT_S = 0.6  # two heartbeats, by which every watched peer has answered
# Must exceed the longest delay of a message: an evicted incarnation is forgotten, and a
# later message would bring it back.
EVICT_AFTER_S = 600.0
MAX_MEMBERS = 1024
MAX_LOCAL_TARGETS = 8
MAX_HEARTBEAT_ENTRIES = 16
N_LOCAL_REFRESHES = 1  # unchanged entries in a local heartbeat
N_REMOTE_REFRESHES = 8
# Number of times that an entry is sent as an update. The counts are separate since a
# process sends about thirty heartbeats within its failure domain for each one outside.
N_LOCAL_SENDS = 8
N_REMOTE_SENDS = 4
# One heartbeat in (members / this) repeats full entries, with the free capacity: every
# heartbeat in a small cell and few in a large one, so that the traffic stays constant.
MEMBERS_PER_FULL_HEARTBEAT = 16
NEW_PEER_S = 5.0  # a new peer is sent as many full entries as fit for this long
N_JOIN_SEEDS = 3


@dataclass(eq=False, slots=True)
class Membership:
    """View that one process has of the others and of itself.

    Times are monotonic seconds of this process. The driver calls ``tick`` before
    it sends, about every ``LOCAL_INTERVAL_S``.
    """

    me: Member
    _local: GossipQueue
    _remote: GossipQueue
    superseded_by: int = 0
    n_refused: int = 0
    n_pauses: int = 0
    _peers: dict[str, Peer] = field(default_factory=dict)
    _domain_heard_at: dict[str, float] = field(default_factory=dict)
    _leaving: frozenset[str] = frozenset()
    _watched: tuple[str, ...] = ()
    _ticked_at: float | None = None
    _resumed_at: float = float("-inf")
    _n_own_updates: int = 0
    _n_sent: int = 0

    # Own entry and time

    def update_me(self, **changes: object) -> Member:
        """Change the own entry and increase its counter."""
        old = self.me
        # Fields that are given by name have no common type.
        self.me = replace(old, counter=old.counter + 1, **changes)  # type: ignore[arg-type]
        if self.me.is_update_of(old):
            # Repeated so that every watched peer gets the change even if calls fail.
            self._n_own_updates = 4 * MAX_LOCAL_TARGETS
        return self.me

    def tick(self, now: float) -> None:
        """Detect own pauses and unresponsive members, and evict dead ones."""
        if self._ticked_at is not None and now - self._ticked_at >= MIN_PAUSE_S:
            self._resumed_at = now
            self.n_pauses += 1
        self._ticked_at = now
        self._choose_watched(now)
        for vm in list(self._peers):
            self._check_peer(vm, self._peers[vm], now)

    def stale(self, now: float) -> bool:
        """Return whether this process was paused and has not caught up yet.

        Callers should not take over shards from others while this holds.
        """
        if now < self._resumed_at + REJOIN_WAIT_S:
            return True
        return self._ticked_at is not None and now - self._ticked_at >= MIN_PAUSE_S

    # Entries received

    def receive(
        self,
        member: Member,
        now: float,
        state: MemberState = MemberState.ALIVE,
        *,
        direct: bool = False,
    ) -> None:
        """Process a received entry; an outdated one is ignored.

        Parameters
        ----------
        member : Member
            Full or compact entry.
        now : float, seconds
            Monotonic time.
        state : MemberState
            State in the sender's view; suspect and dead accuse this counter only.
        direct : bool, default=False
            Whether the member itself sent it.
        """
        if member.vm == self.me.vm:
            if member.incarnation > self.me.incarnation:
                self.superseded_by = max(self.superseded_by, member.incarnation)
            return
        peer = self._peers.get(member.vm)
        if peer is None or member.incarnation > peer.member.incarnation:
            if state not in ACCUSATIONS and member.address:
                self._add_incarnation(member, now, direct)
            return
        if member.incarnation < peer.member.incarnation:
            return
        if member.leaving and not peer.member.leaving:
            # Leaving is final within an incarnation, so order does not matter.
            peer.member = replace(peer.member, leaving=True)
            self._queue_update(member.vm)
        if state in ACCUSATIONS:
            self._apply_accusation(member, peer, state, now)
        elif member.counter > peer.member.counter:
            self._apply_refresh(member, peer, now)
        if direct and member.counter >= peer.member.counter:
            peer.direct_at = now

    def receive_heartbeat(self, message: Heartbeat, now: float) -> None:
        """Process a heartbeat or the reply to one."""
        for member, state in message.member_entries:
            self.receive(member, now, state)
        self.receive(message.sender, now, direct=True)

    def set_leaving(self, vms: Iterable[str]) -> None:
        """Set which VMs are leaving according to the platform's list.

        The list has no incarnations and lags behind, so a VM counts as leaving
        only while the list says so, and this is not passed on to others.
        """
        self._leaving = frozenset(vms)

    # Queries

    def state(self, vm: str, now: float) -> MemberState:
        """Return the state of a VM in this view."""
        if vm == self.me.vm:
            leaving = self.me.leaving or vm in self._leaving
            return MemberState.LEAVING if leaving else MemberState.ALIVE
        peer = self._peers.get(vm)
        if peer is None:
            return MemberState.DEAD
        state = self._assess(vm, peer, now)
        if state is MemberState.DEAD:
            return MemberState.DEAD
        if peer.member.leaving or vm in self._leaving:
            return MemberState.LEAVING
        paused = self._ticked_at is not None and now - self._ticked_at >= MIN_PAUSE_S
        if paused or peer.refreshed_at < self._resumed_at:
            return MemberState.SUSPECT
        return state

    def members(self) -> list[Member]:
        """Return all known members, the own one first."""
        return [self.me, *(self._peers[key].member for key in sorted(self._peers))]

    def alive(self, now: float) -> list[Member]:
        """Return the members that are neither suspect, leaving nor dead."""
        return [
            member
            for member in self.members()
            if self.state(member.vm, now) is MemberState.ALIVE
        ]

    # Messages to send

    def local_targets(self, now: float) -> list[Member]:
        """Return the members of the own failure domain to send a heartbeat to now.

        A peer that was just heard from is left out: one exchange updates both.
        """
        return [
            self._peers[vm].member
            for vm in self._watched
            if vm in self._peers
            and now - self._peers[vm].direct_at >= 0.6 * LOCAL_INTERVAL_S
        ]

    def remote_targets(
        self, now: float, rng: random.Random, seeds: Iterable[str] = ()
    ) -> list[str]:
        """Return the addresses to send to once per ``REMOTE_INTERVAL_S``.

        One random member of another failure domain and, while some members are
        dead or some seeds unknown, one of those, so that a healed partition is
        noticed.

        Parameters
        ----------
        now : float, seconds
            Monotonic time.
        rng : random.Random
            Selects the addresses.
        seeds : iterable of str
            Addresses from the settings or the VM list.
        """
        remote, unreachable, reachable = [], [], {self.me.address}
        for member in self.members()[1:]:
            if self.state(member.vm, now) is MemberState.DEAD:
                unreachable.append(member.address)
                continue
            reachable.add(member.address)
            if member.failure_domain != self.me.failure_domain:
                remote.append(member.address)
        unreachable += sorted(set(seeds) - reachable - set(unreachable))
        if not self._peers:
            return rng.sample(unreachable, min(N_JOIN_SEEDS, len(unreachable)))
        return [rng.choice(group) for group in (remote, unreachable) if group]

    def heartbeat(self, to: str | None, now: float) -> Heartbeat:
        """Return the message for a VM; None for one whose name is unknown."""
        peer = self._peers.get(to) if to is not None else None
        is_new = peer is None or now - peer.first_heard_at < NEW_PEER_S
        self._n_sent += 1
        if peer is not None:
            peer.n_sent_to += 1
        local = (
            peer is not None and peer.member.failure_domain == self.me.failure_domain
        )
        # Peers in other failure domains get too few heartbeats to count by peer.
        n_sent = peer.n_sent_to if peer is not None and local else self._n_sent
        full_every = max(1, len(self._peers) // MEMBERS_PER_FULL_HEARTBEAT)
        full = is_new or n_sent % full_every == 0
        entries = self._choose_entries(peer, local, is_new, full, now)
        if self._n_own_updates > 0:
            self._n_own_updates -= 1
            full = True
        return Heartbeat(self.me if full else self.me.compact(), tuple(entries))

    # Internal methods

    def _add_incarnation(self, member: Member, now: float, direct: bool) -> None:
        if member.vm not in self._peers and len(self._peers) >= MAX_MEMBERS:
            dead = [k for k, v in self._peers.items() if v.dead_at is not None]
            if not dead:
                self.n_refused += 1
                return
            self._evict(min(dead, key=lambda vm: self._peers[vm].dead_at or 0.0))
        peer = Peer(member, now, now, now if direct else float("-inf"), now)
        self._peers[member.vm] = peer
        self._domain_heard_at[member.failure_domain] = now
        self._queue_update(member.vm)
        self._choose_watched(now)

    def _apply_refresh(self, member: Member, peer: Peer, now: float) -> None:
        old = peer.member
        if not member.address:
            member = replace(old, counter=member.counter)
        elif old.leaving:
            member = replace(member, leaving=True)
        peer.member = member
        peer.refreshed_at = now
        self._domain_heard_at[member.failure_domain] = now
        if (
            peer.accused is not None
            or peer.dead_at is not None
            or member.is_update_of(old)
        ):
            self._queue_update(member.vm)
        peer.accused = peer.dead_at = None

    def _apply_accusation(
        self, member: Member, peer: Peer, state: MemberState, now: float
    ) -> None:
        if member.counter < peer.member.counter:
            self._queue_update(member.vm)  # a newer counter refutes it
            return
        if (
            ACCUSATIONS[state] <= ACCUSATIONS.get(peer.accused or state, 0)
            and peer.accused
        ):
            return
        peer.accused, peer.accused_at = state, now
        self._queue_update(member.vm)

    def _assess(self, vm: str, peer: Peer, now: float) -> MemberState:
        domain_heard_at = self._domain_heard_at[peer.member.failure_domain]
        return assess_peer(peer, vm in self._watched, domain_heard_at, now)

    def _check_peer(self, vm: str, peer: Peer, now: float) -> None:
        state = self._assess(vm, peer, now)
        if state is not MemberState.DEAD:
            peer.dead_at = None
        elif peer.dead_at is None:
            peer.dead_at = now
        elif now - peer.dead_at >= EVICT_AFTER_S:
            self._evict(vm)
            return
        # Missing heartbeats during an own pause are no reason to accuse a peer.
        silent_since = max(peer.refreshed_at, peer.watched_at, self._resumed_at)
        if vm not in self._watched or state not in ACCUSATIONS:
            return
        if state is not peer.accused and now - silent_since >= SUSPECT_AFTER_S:
            if peer.accused is None:
                peer.accused_at = now
            peer.accused = state
            self._queue_update(vm)

    def _choose_watched(self, now: float) -> None:
        """Choose the members of the own failure domain to exchange heartbeats with."""
        domain = self.me.failure_domain
        local = [
            vm
            for vm, peer in self._peers.items()
            if peer.member.failure_domain == domain and peer.dead_at is None
        ]
        if len(local) > MAX_LOCAL_TARGETS:
            local = rendezvous_order(self.me.vm, local)[:MAX_LOCAL_TARGETS]
        for vm in set(local).difference(self._watched):
            self._peers[vm].watched_at = now
        self._watched = tuple(local)

    def _evict(self, vm: str) -> None:
        domain = self._peers.pop(vm).member.failure_domain
        self._local.remove(vm)
        self._remote.remove(vm)
        if all(v.member.failure_domain != domain for v in self._peers.values()):
            self._domain_heard_at.pop(domain, None)

    def _queue_update(self, vm: str) -> None:
        self._local.add(vm)
        self._remote.add(vm)

    def _choose_entries(
        self, to: Peer | None, local: bool, is_new: bool, full: bool, now: float
    ) -> list[tuple[Member, MemberState]]:
        queue = self._local if local else self._remote
        n_refreshes = N_LOCAL_REFRESHES if local else N_REMOTE_REFRESHES
        if is_new:
            n_refreshes = MAX_HEARTBEAT_ENTRIES
        entries = []
        for vm, is_update in queue.take(MAX_HEARTBEAT_ENTRIES, n_refreshes):
            peer = self._peers[vm]
            if peer is to:
                continue
            if peer.accused is not None:
                entries.append((peer.member.compact(), peer.accused))
                continue
            if (
                peer.refreshed_at < self._resumed_at
                or self._assess(vm, peer, now) in ACCUSATIONS
            ):
                continue  # that nothing was heard here is no evidence for others
            member = peer.member if is_update or full else peer.member.compact()
            entries.append((member, MemberState.ALIVE))
        return entries


def make_membership(me: Member) -> Membership:
    """Return a membership that knows the own VM only."""
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
