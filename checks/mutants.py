"""Daemons that lack one safety mechanism, to verify that the checks detect it.

Each constant holds the Python statements that start such a daemon in place of the
regular one. They replace parts of the product by name.
"""

from __future__ import annotations

_MAIN = "from cuminhill.cmd.daemon import main; main()\n"

NO_LEASE_CHECK = (
    """
from cuminhill.coordination.lease import HeldLease
from cuminhill.coordination.term import Term
HeldLease.valid = lambda self, now: True
Term.broken = lambda self, now: False  # judges the same leases by time
"""
    + _MAIN
)

NO_READ_BACK = (
    """
from expression import Ok

from cuminhill import submissions
from cuminhill.coordination.claims import Claim, Entry
from cuminhill.scheduling.events import RequestAccepted

async def claim_without_read_back(self, request):
    driver = self._driver
    wall = driver.clock.wall()
    record = Claim(request.request_id, driver.shard, request.to_dict(), wall)
    driver.index._put(
        Entry(request.request_id, driver.shard, request.to_dict(), wall, 0, 0)
    )
    await driver.append(record)
    await driver.apply(RequestAccepted(request))
    return Ok(driver.index.get(request.request_id))

submissions.Submissions._claim = claim_without_read_back
"""
    + _MAIN
)

NO_STARTED_RECORD = (
    """
from cuminhill.scheduling import dispatch
from cuminhill.scheduling.state import Phase

def start_unrecorded(shard, task, worker, now):
    shard.occupy(task, worker, Phase.STARTING, now)
    dispatch.call_start(shard, task)

dispatch.start_on = start_unrecorded
"""
    + _MAIN
)

EXIT_AT_ONCE = (
    """
from cuminhill import application

async def exit_at_once(self):
    await self.stopped.set()

application.DRAIN_GRACE_S = 0.0
application.Application._drain = exit_at_once
"""
    + _MAIN
)
