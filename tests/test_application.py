"""The daemon, without sockets."""

from __future__ import annotations

import curio
import orjson
import pytest

from cuminhill import application
from cuminhill.application import make_application
from cuminhill.coordination.claims import Claim
from cuminhill.coordination.entries import MIN_ENTRY_BYTES, Entry, entry_to_dict
from cuminhill.rpc import idl
from cuminhill.settings import Settings
from cuminhill.shard import ShardDriver

ADDRESSES = ("http_address", "rpc_address", "log_address", "vm_list_address")


@pytest.fixture
def app():
    """Return a daemon that is not started."""
    return make_application(
        Settings("e0", "Tainan", **dict.fromkeys(ADDRESSES, "127.0.0.1:1"))
    )


def test_a_drain_waits_for_callers_without_dumps_of_the_state(app, monkeypatch):
    """Guards against a graceful stop whose polls take most of the processor time.

    Each poll for waiting callers dumped the state of all requests and workers.
    """
    waiters = next(iter(app.drivers.values())).submissions.waiters
    dump, dumped = ShardDriver.dump, []

    def count(driver):
        dumped.append(driver.shard)
        return dump(driver)

    monkeypatch.setattr(ShardDriver, "dump", count)

    async def drain_beside_a_caller():
        waiting = await curio.spawn(waiters.wait, "id-1", 60.0)
        await curio.sleep(0)
        await app.drain()
        await curio.sleep(0.05)
        assert not app.stopped.is_set()
        await waiters.wake(["id-1"])
        await waiting.join()
        async with curio.timeout_after(5.0):
            await app.stopped.wait()

    curio.run(drain_beside_a_caller)
    assert dumped == []


@pytest.mark.parametrize("fits", [True, False])
def test_an_index_that_is_too_large_to_send_is_not_made_a_snapshot(
    app, monkeypatch, fits
):
    """Guards against VMs that are held up for seconds while the log is unreachable.

    Each starting VM asks them for their index, which was copied before its length was
    compared with the limit.
    """
    app.follower.caught_up = True
    for number in range(100):
        app.index.apply(number, Claim(f"id-{number}", "Tainan/0", {}, 1000.0))
    made = []

    def to_snapshot(index):
        made.append(len(index.entries))
        return {"next_offset": index.next_offset}

    monkeypatch.setattr(application, "to_snapshot", to_snapshot)
    limit = 100 * MIN_ENTRY_BYTES - (not fits)
    monkeypatch.setattr(application, "MAX_SNAPSHOT_BYTES", limit)
    reply = curio.run(app._on_snapshot, idl.SnapshotCall("requests"))
    assert (reply.status, made) == (("snapshot", [100]) if fits else ("none", []))


def test_no_index_that_can_be_sent_is_held_back():
    """Guards against an estimate of the length of a snapshot that is too high."""
    smallest = entry_to_dict(Entry("", "", None, 0, 0, 0))
    assert len(orjson.dumps(smallest)) >= MIN_ENTRY_BYTES


def test_a_snapshot_does_not_copy_the_bodies_of_requests(n_lines):
    """Guards against a snapshot whose work grows with all that callers have sent."""
    few, many = (
        Entry("id", "Tainan/0", {f"key-{n}": [n] for n in range(size)}, 0.0, 0, 0)
        for size in (2, 200)
    )
    n_lines_of_few = n_lines(lambda: entry_to_dict(few))
    assert n_lines(lambda: entry_to_dict(many)) == n_lines_of_few
    assert entry_to_dict(many)["request"] == many.request
