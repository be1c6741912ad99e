"""Heartbeats and calls between entry VMs."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio

from .coordination.membership import Member, MemberState
from .errors import CuminhillError
from .rpc import RpcClient, idl

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .coordination.membership import Membership

LOCAL_INTERVAL_S = 0.25
REMOTE_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 0.5
MAX_CARRIED_MEMBERS = 16


@dataclass(eq=False)
class Peers:
    """Other entry VMs: one connection to each, heartbeats in the background.

    Parameters
    ----------
    membership : Membership
        Where heartbeats are taken in.
    describe : callable
        Returns the fields of the own entry that change.
    seeds : list of str
        RPC addresses to greet until their names are known.
    rng : random.Random
        Chooses remote peers and the entries that are passed on.
    source_host : str, default=""
        IP address that connections are bound to.
    """

    membership: Membership
    describe: Callable[[], dict[str, Any]]
    seeds: list[str]
    rng: random.Random
    source_host: str = ""
    _clients: dict[str, RpcClient] = field(default_factory=dict)

    def client(self, address: str) -> RpcClient:
        """Return the connection to an address."""
        if address not in self._clients:
            self._clients[address] = RpcClient(address, self.source_host)
        return self._clients[address]

    def byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received by all clients."""
        counters = [client.counters for client in self._clients.values()]
        return (
            sum(item.n_sent_bytes for item in counters),
            sum(item.n_received_bytes for item in counters),
        )

    def heartbeat(self, now: float) -> Any:
        """Return the heartbeat to send or to answer with."""
        me = self.membership.update_me(**self.describe())
        others = [
            member
            for member in self.membership.members()[1:]
            if self.membership.state(member.vm, now) is not MemberState.DEAD
        ]
        if len(others) > MAX_CARRIED_MEMBERS:
            others = self.rng.sample(others, MAX_CARRIED_MEMBERS)
        return idl.Heartbeat(_to_thrift(me), [_to_thrift(item) for item in others])

    def receive(self, message: Any, now: float) -> None:
        """Take in a heartbeat."""
        for item in [message.sender, *message.members]:
            self.membership.receive(_from_thrift(item), now)

    async def run(self) -> None:
        """Send heartbeats for ever."""
        remote_at = 0.0
        while True:
            now = time.monotonic()
            for address in self._local_addresses(now):
                await curio.spawn(self._greet, address, daemon=True)
            if now >= remote_at:
                remote_at = now + REMOTE_INTERVAL_S
                remote = self._remote_address(now)
                if remote is not None:
                    await curio.spawn(self._greet, remote, daemon=True)
            await curio.sleep(LOCAL_INTERVAL_S)

    async def announce(self) -> None:
        """Send one heartbeat to every known peer at once."""
        for member in self.membership.members()[1:]:
            await curio.spawn(self._greet, member.address, daemon=True)

    async def _greet(self, address: str) -> None:
        message = self.heartbeat(time.monotonic())
        try:
            reply = await self.client(address).call(
                "heartbeat", message, timeout_s=HEARTBEAT_TIMEOUT_S
            )
        except CuminhillError:
            return  # silence is what the failure detector counts
        self.receive(reply, time.monotonic())

    def _local_addresses(self, now: float) -> list[str]:
        me = self.membership.me
        return [
            member.address
            for member in self.membership.members()[1:]
            if member.failure_domain == me.failure_domain
        ]

    def _remote_address(self, now: float) -> str | None:
        me = self.membership.me
        members = self.membership.members()[1:]
        known = {member.address for member in members} | {me.address}
        remote = [
            member.address
            for member in members
            if member.failure_domain != me.failure_domain
        ]
        remote += [address for address in self.seeds if address not in known]
        return self.rng.choice(remote) if remote else None


def _to_thrift(member: Member) -> Any:
    state = MemberState.LEAVING if member.leaving else MemberState.ALIVE
    return idl.Member(
        member.vm,
        member.incarnation,
        member.counter,
        str(state),
        member.address,
        member.failure_domain,
        list(member.shards),
        member.free_cores,
        member.config_revision,
        member.log_offset,
    )


def _from_thrift(item: Any) -> Member:
    return Member(
        item.vm,
        item.incarnation,
        item.counter,
        item.address,
        item.failure_domain,
        item.state == MemberState.LEAVING,
        tuple(item.shards or ()),
        item.free_cores,
        item.config_revision,
        item.log_offset,
    )
