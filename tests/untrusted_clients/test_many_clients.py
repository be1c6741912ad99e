"""Tests that many clients at once neither end nor block a node's process.

They check what does not depend on speed: that the process is alive, how much memory
and how many descriptors it has used, and that ordinary requests are answered.
"""

from __future__ import annotations

import pytest

from .clients import (
    N_CLIENTS,
    announced_too_large,
    append_calls,
    ask,
    body_of_many_errors,
    endless_head,
    large_chunks_short,
    nothing,
    send_all,
    short_body,
    short_body_in_pieces,
    short_frame,
    tiny_chunks_short,
    unannounced_too_large,
    unread_replies,
    unread_responses,
    whole_invalid_body,
    whole_job,
    whole_job_in_chunks,
)
from .conftest import MAX_DESCRIPTORS

# Above the idle process. The smallest VM has 160 MB, an idle process takes 50 MB and
# the journal of a busy day the most of what is left.
MAX_PEAK_BYTES = 32 << 20
# That may stay once the clients are gone.
MAX_LEFT_BYTES = 16 << 20


def check_node(node, sockets):
    """Check the process with the clients connected, and after they have gone."""
    assert node.process.poll() is None
    n_descriptors = node.n_descriptors()
    for sock in sockets:
        sock.close()
    assert n_descriptors < MAX_DESCRIPTORS
    assert ask(node.front, "/q/").startswith(b"HTTP/1.1 200")
    assert ask(node.ready, "/-/ready").startswith(b"HTTP/1.1 ")
    assert ask(node.inspection, "/metrics").startswith(b"HTTP/1.1 200")
    assert node.process.poll() is None
    memory = node.memory()
    assert memory["VmHWM"] < node.idle["VmHWM"] + MAX_PEAK_BYTES
    assert memory["VmRSS"] < node.idle["VmRSS"] + MAX_LEFT_BYTES


# Guards against a process that runs out of memory, or answers nobody, because of
# requests that are large, slow or never complete.
@pytest.mark.parametrize(
    "parts",
    [
        short_body,
        short_body_in_pieces,
        whole_invalid_body,
        large_chunks_short,
        tiny_chunks_short,
        announced_too_large,
        unannounced_too_large,
        endless_head,
        unread_responses,
    ],
    ids=lambda parts: parts.__name__,
)
def test_many_requests_at_once(node, parts):
    sockets = send_all([(node.front, parts()) for _ in range(N_CLIENTS)])
    check_node(node, sockets)


# Guards against a body whose decoding takes many times its size: a few are enough.
def test_a_body_with_an_error_in_each_field(node):
    check_node(node, send_all([(node.front, body_of_many_errors()) for _ in range(4)]))


# Guards against bounds that only the listener of the callers has.
@pytest.mark.parametrize("listener", ["ready", "inspection"])
def test_many_bodies_at_another_listener(node, listener):
    address = getattr(node, listener)
    sockets = send_all([(address, short_body()) for _ in range(N_CLIENTS)])
    check_node(node, sockets)


# Guards against bounds that each listener has for itself: together they take too much.
def test_many_bodies_at_all_listeners(node):
    addresses = [node.front, node.ready, node.inspection]
    clients = [(item, short_body()) for item in addresses for _ in range(80)]
    clients += [(node.rpc, short_frame()) for _ in range(80)]
    check_node(node, send_all(clients))


# Guards against a process without descriptors for its connections to the store.
def test_many_silent_connections_at_all_listeners(node):
    addresses = [node.front, node.ready, node.inspection, node.rpc]
    clients = [(item, nothing()) for item in addresses for _ in range(300)]
    check_node(node, send_all(clients))


# Guards against frames between VMs that are not bounded in total.
@pytest.mark.parametrize(
    "parts", [short_frame, unread_replies], ids=lambda parts: parts.__name__
)
def test_many_frames_at_once(node, parts):
    check_node(node, send_all([(node.rpc, parts()) for _ in range(100)]))


# Guards against requests that were received whole and pile up behind a slow store.
@pytest.mark.parametrize("kind", ["jobs", "calls"])
def test_many_appends_while_the_store_does_not_answer(node, kind):
    node.store.stalled = True
    if kind == "jobs":
        clients = [(node.front, whole_job()) for _ in range(N_CLIENTS)]
    else:
        clients = [(node.rpc, append_calls()) for _ in range(10)]
    sockets = send_all(clients)
    node.store.stalled = False
    check_node(node, sockets)


# Guards against bounds that refuse a request that the interface permits.
@pytest.mark.parametrize(
    "parts", [whole_job, whole_job_in_chunks], ids=lambda parts: parts.__name__
)
def test_a_single_request_of_full_size_is_served(node, parts):
    (sock,) = send_all([(node.front, parts())])
    sock.settimeout(10)
    assert sock.recv(1000).startswith(b"HTTP/1.1 200")
    check_node(node, [sock])
