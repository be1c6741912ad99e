"""The daemon, without sockets."""

from __future__ import annotations

import curio

from cuminhill.application import make_application
from cuminhill.settings import Settings
from cuminhill.shard import ShardDriver

ADDRESSES = ("http_address", "rpc_address", "log_address", "vm_list_address")


def test_a_drain_waits_for_callers_without_dumps_of_the_state(monkeypatch):
    """Guards against a graceful stop whose polls take most of the processor time.

    Each poll for waiting callers dumped the state of all requests and workers.
    """
    app = make_application(
        Settings("e0", "Tainan", **dict.fromkeys(ADDRESSES, "127.0.0.1:1"))
    )
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
