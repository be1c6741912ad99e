"""Tests of claims on a log that takes long to store what it has accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from cuminhill.clock import boottime
from cuminhill.errors import UnknownOutcomeError
from cuminhill.util.kernel import run_to_end

if TYPE_CHECKING:
    from standins.job_platform import LogView

STORE_S = 1.2  # from the acceptance of an append until it can be read


def make_slow(view: LogView) -> None:
    """Have a log refuse earlier epochs at once, and store what it accepts later."""
    log = view.log
    stored_at = {}

    async def append(records, token=None, *, at=None, timeout_s):
        if token is None or log.accept_token(token):
            stored_at[token] = boottime() + STORE_S
            await curio.spawn(store, records, daemon=True)
        wait_s = stored_at.get(token, 0.0) - boottime()
        if wait_s > timeout_s:
            await curio.sleep(timeout_s)
            raise UnknownOutcomeError("timed out", step="log")
        await curio.sleep(max(0.0, wait_s))
        return len(log.records)

    async def store(records):
        await curio.sleep(STORE_S)
        log.append_records(records)

    view.append = append


# Guards against claims that depose each other: while the winning claim waits in the
# queue of a slow log, the others are refused and do not find it in the journal, took
# the term for used up, and claimed the next one, so that nobody began any.
def test_a_claim_that_is_not_stored_yet_is_not_followed_by_one_of_a_higher_term(
    cluster,
):
    async def scenario():
        nodes = [await cluster.start_node(f"vm{number}") for number in range(4)]
        await cluster.wait_for(cluster.leader)
        for node in nodes:
            await cluster.wait_for(node.is_ready)
        first = cluster.leader()
        term = first.leadership.leader_record.term
        for views in cluster.views.values():
            make_slow(views[0])
        await cluster.kill_node(first.options.vm)
        await cluster.wait_for(
            lambda: cluster.leader() and cluster.leader().leadership._recorded.is_set(),
            20.0,
        )
        claimed, _ = cluster.journal.writers["placer"]
        assert claimed == term + 1

    run_to_end(scenario)
