"""Simulation of members that exchange heartbeats, in one process."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cuminhill.coordination.members import Heartbeat, Member
from cuminhill.coordination.membership import (
    LOCAL_INTERVAL_S,
    REMOTE_INTERVAL_S,
    Membership,
    make_membership,
)

if TYPE_CHECKING:
    from collections.abc import Callable

N_SEEDS = 9


@dataclass(eq=False)
class Process:
    """A simulated process.

    Parameters
    ----------
    paused : bool
        Whether the process neither sends nor answers.
    next_at, remote_at : float, seconds
        Time of the next heartbeats, and of the next ones to other failure domains.
    """

    view: Membership
    next_at: float
    remote_at: float
    paused: bool = False


@dataclass(eq=False)
class Cell:
    """All simulated processes of a cell.

    Parameters
    ----------
    cut : set of frozenset of str
        Pairs of failure domains that cannot reach each other.
    on_message : callable
        Called with every message and its sender, request or reply.
    """

    rng: random.Random
    make_view: Callable[[Member], Membership] = make_membership
    now: float = 0.0
    processes: dict[str, Process] = field(default_factory=dict)
    by_address: dict[str, str] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    on_message: Callable[[Process, Heartbeat], None] = lambda *_: None

    def start(self, vm: str, failure_domain: str, incarnation: int = 1) -> Process:
        """Start a process, in place of an earlier incarnation of the same name."""
        address = f"10.0.0.{len(self.by_address)}:7000"
        self.by_address[address] = vm
        view = self.make_view(Member(vm, incarnation, 0, address, failure_domain))
        offset_s = self.rng.uniform(0.0, LOCAL_INTERVAL_S)
        process = Process(view, self.now + offset_s, self.now + offset_s)
        self.processes[vm] = process
        return process

    def run(self, duration_s: float) -> None:
        """Advance the simulated time."""
        until = self.now + duration_s
        while True:
            process = min(self.processes.values(), key=lambda item: item.next_at)
            if process.next_at >= until:
                break
            self.now = process.next_at
            process.next_at += LOCAL_INTERVAL_S
            if not process.paused:
                self.step(process)
        self.now = until

    def step(self, process: Process) -> None:
        """Send the heartbeats of one process that are due."""
        view = process.view
        view.tick(self.now)
        for member in view.local_targets(self.now):
            self.exchange_heartbeat(process, member.address)
        if self.now >= process.remote_at:
            process.remote_at = self.now + REMOTE_INTERVAL_S
            seeds = list(self.by_address)[:N_SEEDS]
            for address in view.remote_targets(self.now, self.rng, seeds):
                self.exchange_heartbeat(process, address)

    def exchange_heartbeat(self, sender: Process, address: str) -> None:
        """Exchange one heartbeat unless a pause or partition prevents it."""
        vm = self.by_address[address]
        receiver = self.processes.get(vm)
        known = {item.address: item.vm for item in sender.view.members()}
        sender.view.update_me()
        message = sender.view.heartbeat(known.get(address), self.now)
        self.on_message(sender, message)
        if receiver is None or receiver.paused or not self._connected(sender, receiver):
            return
        receiver.view.receive_heartbeat(message, self.now)
        receiver.view.update_me()
        reply = receiver.view.heartbeat(message.sender.vm, self.now)
        self.on_message(receiver, reply)
        sender.view.receive_heartbeat(reply, self.now)

    def _connected(self, one: Process, other: Process) -> bool:
        domains = {one.view.me.failure_domain, other.view.me.failure_domain}
        return frozenset(domains) not in self.cut


def make_cell(
    n_members: int,
    n_domains: int,
    seed: int = 1,
    make_view: Callable[[Member], Membership] = make_membership,
) -> Cell:
    """Return a cell whose processes have just been started.

    Parameters
    ----------
    n_members : int
        Number of processes, spread evenly.
    n_domains : int
        Number of failure domains.
    seed : int, default=1
        Seed of every random choice.
    make_view : callable
        Returns the membership view of a process, given its own entry.
    """
    cell = Cell(random.Random(seed), make_view)
    for index in range(n_members):
        domain = index % n_domains
        cell.start(f"domain{domain}-e{index // n_domains}", f"domain{domain}")
    return cell
