"""Tests of snapshots that peers send over a link of little capacity."""

from __future__ import annotations

from types import SimpleNamespace

import curio
import orjson

from cuminhill.application import Application
from cuminhill.rpc import RpcClient, RpcServer, idl
from standins.slow_link import SlowLink

HOST = "127.0.0.1"
SNAPSHOT = {"config": "x" * 600_000}


class SnapshotServer:
    """A peer behind a slow link; its reply may be withheld."""

    def __init__(self, is_silent=False):
        self.is_silent = is_silent
        self.n_calls = 0

    async def snapshot(self, call):
        """Reply with the snapshot."""
        self.n_calls += 1
        if self.is_silent:
            await curio.sleep(60.0)
        return idl.Reply("snapshot", orjson.dumps(SNAPSHOT))


async def fetch(*servers):
    """Return the snapshot of the first peer that sends one, and its links."""
    links, clients = [], {}
    for server in servers:
        rpc = RpcServer({"snapshot": server.snapshot})
        await rpc.start(HOST, 0)
        link = SlowLink(HOST, rpc.port, 250_000.0)
        address = await link.start()
        links.append(link)
        clients[address] = RpcClient(address)
    members = [SimpleNamespace(address=address) for address in ["self", *clients]]
    app = SimpleNamespace(
        membership=SimpleNamespace(alive=lambda _: members),
        peers=SimpleNamespace(client=clients.__getitem__),
    )
    async with curio.ignore_after(20.0):
        return await Application._fetch_snapshot(app, "s", lambda _: True), links
    return None, links


def test_a_snapshot_is_received_over_a_slow_link():
    """Guards against a configuration that all peers send again and again (issue 46).

    A transfer was given up after 1 s, and the next peer was asked for the same while
    the reply of the first one was still on its way.
    """

    async def scenario():
        servers = SnapshotServer(), SnapshotServer()
        value, links = await fetch(*servers)
        assert value == SNAPSHOT
        assert [server.n_calls for server in servers] == [1, 0]
        assert sum(link.n_downloaded_bytes for link in links) < 2 * 600_000

    curio.run(scenario)


def test_a_peer_that_sends_no_snapshot_is_given_up():
    """Guards against a peer without an answer that keeps others from being asked."""

    async def scenario():
        servers = SnapshotServer(is_silent=True), SnapshotServer()
        value, _ = await fetch(*servers)
        assert value == SNAPSHOT
        assert [server.n_calls for server in servers] == [1, 1]

    curio.run(scenario)
