"""Heartbeats and calls between entry VMs."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio

from .coordination.members import Heartbeat, Member, MemberState
from .coordination.membership import LOCAL_INTERVAL_S, REMOTE_INTERVAL_S
from .errors import CuminhillError
from .rpc import RpcClient, idl

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .coordination.membership import Membership

HEARTBEAT_TIMEOUT_S = 0.5
MAX_LOCAL_SEED_HEARTBEATS = 8


@dataclass(eq=False)
class Peers:
    """Other entry VMs: one connection to each, heartbeats in the background.

    Parameters
    ----------
    membership : Membership
        Receives the heartbeats of the peers.
    describe : callable
        Returns the changing fields of this VM's own member entry.
    seeds : list of str
        RPC addresses that get heartbeats until their names are known.
    rng : random.Random
        Chooses remote peers.
    source_host : str, default=""
        IP address that connections are bound to.
    local_seeds : list of str
        Seeds in the own failure domain.
    """

    membership: Membership
    describe: Callable[[], dict[str, Any]]
    seeds: list[str]
    rng: random.Random
    source_host: str = ""
    local_seeds: list[str] = field(default_factory=list)
    _clients: dict[str, RpcClient] = field(default_factory=dict)
    _n_closed_sent_bytes: int = 0
    _n_closed_received_bytes: int = 0

    def client(self, address: str) -> RpcClient:
        """Return the connection to an address."""
        if address not in self._clients:
            self._clients[address] = RpcClient(address, self.source_host)
        return self._clients[address]

    def byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received by all clients."""
        counters = [client.counters for client in self._clients.values()]
        sent = sum(item.n_sent_bytes for item in counters)
        received = sum(item.n_received_bytes for item in counters)
        return (
            self._n_closed_sent_bytes + sent,
            self._n_closed_received_bytes + received,
        )

    def heartbeat(self, now: float, to: str | None = None) -> Any:
        """Return the heartbeat to send to a VM, or to answer its own with."""
        self.membership.update_me(**self.describe())
        return heartbeat_to_thrift(self.membership.heartbeat(to, now))

    def receive(self, message: Any, now: float) -> None:
        """Process a received heartbeat."""
        self.membership.receive_heartbeat(heartbeat_from_thrift(message), now)

    async def run(self) -> None:
        """Send heartbeats in an endless loop."""
        remote_at = 0.0
        while True:
            now = time.monotonic()
            self.membership.tick(now)
            for member in self.membership.local_targets(now):
                await curio.spawn(
                    self._send_heartbeat, member.address, member.vm, daemon=True
                )
            for address in self._unknown_local_seeds():
                await curio.spawn(self._send_heartbeat, address, None, daemon=True)
            if now >= remote_at:
                remote_at = now + REMOTE_INTERVAL_S
                await self._close_unused()
                names = {item.address: item.vm for item in self.membership.members()}
                for address in self.membership.remote_targets(
                    now, self.rng, self.seeds
                ):
                    vm = names.get(address)
                    await curio.spawn(self._send_heartbeat, address, vm, daemon=True)
            await curio.sleep(LOCAL_INTERVAL_S)

    def _unknown_local_seeds(self) -> list[str]:
        """Return the local seeds that are not the address of a known member.

        They get heartbeats at the local interval, so that a starting VM does not try
        to lead before it knows the other VMs of its failure domain.
        """
        known = {member.address for member in self.membership.members()}
        unknown = [item for item in self.local_seeds if item not in known]
        return unknown[:MAX_LOCAL_SEED_HEARTBEATS]

    async def announce(self) -> None:
        """Send a heartbeat to every known peer immediately."""
        for member in self.membership.members()[1:]:
            await curio.spawn(
                self._send_heartbeat, member.address, member.vm, daemon=True
            )

    async def _close_unused(self) -> None:
        """Close connections to addresses that no member and no seed has."""
        used = {member.address for member in self.membership.members()}
        for address in self._clients.keys() - used.union(self.seeds):
            client = self._clients.pop(address)
            self._n_closed_sent_bytes += client.counters.n_sent_bytes
            self._n_closed_received_bytes += client.counters.n_received_bytes
            await client.close()

    async def _send_heartbeat(self, address: str, vm: str | None) -> None:
        message = self.heartbeat(time.monotonic(), vm)
        try:
            reply = await self.client(address).call(
                "heartbeat", message, timeout_s=HEARTBEAT_TIMEOUT_S
            )
        except CuminhillError:
            return  # the failure detector counts missing heartbeats
        self.receive(reply, time.monotonic())


def heartbeat_to_thrift(message: Heartbeat) -> Any:
    """Return the thrift form of a heartbeat."""
    return idl.Heartbeat(
        _to_thrift(message.sender, MemberState.ALIVE),
        [_to_thrift(member, state) for member, state in message.member_entries],
    )


def heartbeat_from_thrift(message: Any) -> Heartbeat:
    """Return the heartbeat for its thrift form."""
    return Heartbeat(
        _from_thrift(message.sender),
        tuple((_from_thrift(item), _state(item)) for item in message.members or ()),
    )


def _to_thrift(member: Member, state: MemberState) -> Any:
    if member.leaving and state is MemberState.ALIVE:
        state = MemberState.LEAVING
    # None omits a field from the message; the reader then uses its default.
    omitted = [None] * 7
    item = idl.Member(member.vm, member.incarnation, member.counter, *omitted)
    if state is not MemberState.ALIVE:
        item.state = str(state)
    if member.address:
        item.address = member.address
        item.failure_domain = member.failure_domain
        item.shards = list(member.shards)
        item.free_cores = member.free_cores
        item.config_revision = member.config_revision
        item.log_offset = member.log_offset
    return item


def _state(item: Any) -> MemberState:
    if item.state in {MemberState.SUSPECT, MemberState.DEAD}:
        return MemberState(item.state)
    return MemberState.ALIVE


def _from_thrift(item: Any) -> Member:
    return Member(
        item.vm,
        item.incarnation,
        item.counter,
        item.address or "",
        item.failure_domain or "",
        item.state == MemberState.LEAVING,
        tuple(item.shards or ()),
        item.free_cores or 0.0,
        item.config_revision or 0,
        item.log_offset or 0,
    )
