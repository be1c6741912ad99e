"""Connections between entry VMs."""

from __future__ import annotations

import random

import curio

from cuminhill.coordination.membership import Member, make_membership
from cuminhill.peers import Peers


def test_connections_of_evicted_members_are_closed():
    """Guards against a connection table that grows with each replaced VM."""
    view = make_membership(Member("a", 1, 0, "a:1", "x"))
    view.receive(Member("b", 1, 1, "b:1", "x"), 0.0)
    peers = Peers(view, dict, ["seed:1"], random.Random(1))
    for address in ("b:1", "seed:1", "gone:1"):
        peers.client(address).counters.n_sent_bytes = 10
    curio.run(peers._close_unused)
    assert set(peers._clients) == {"b:1", "seed:1"}
    assert peers.byte_counts() == (30, 0)
