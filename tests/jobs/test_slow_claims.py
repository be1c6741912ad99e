"""Tests of claims on a log that takes long to store what it has accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from cuminhill.clock import boottime
from cuminhill.errors import UnknownOutcomeError
from cuminhill.jobs.records import LEADER_KEY
from cuminhill.util.kernel import run_to_end

if TYPE_CHECKING:
    from standins.job_platform import LogView

STORE_S = 1.2  # from the acceptance of an append until it can be read
ANSWER_S = 0.01  # from then until the answer
UNREADABLE_S = 2.5  # longer than a claimant tries to read its claim


def make_slow(view: LogView) -> None:
    """Have a log refuse earlier epochs at once, and store what it accepts later."""
    log = view.log
    stored_at = {}

    async def append(records, token=None, *, at=None, timeout_s):
        if token is None or log.accept_token(token):
            stored_at[token] = boottime() + STORE_S + ANSWER_S
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


# Guards against a claimant that claims anew because it can't read its claim, which the
# log has stored and acknowledged: it then knew only the newer claim, which was refused.
def test_a_claimant_that_cannot_read_its_claim_begins_that_term(cluster, monkeypatch):
    async def scenario():
        first = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        second = await cluster.start_node("vm1")
        await cluster.wait_for(second.is_ready)
        view = cluster.views["vm1"][0]
        read, append = view.read, view.append
        unreadable_until = [0.0]

        async def claim(records, *args, **kwargs):
            offset = await append(records, *args, **kwargs)
            if records[0][0] == LEADER_KEY and not unreadable_until[0]:
                unreadable_until[0] = boottime() + UNREADABLE_S
            return offset

        async def read_later(offset, wait_s, timeout_s=2.0):
            if boottime() < unreadable_until[0]:
                await curio.sleep(timeout_s)
                raise UnknownOutcomeError("timed out", step="log")
            return await read(offset, wait_s, timeout_s)

        monkeypatch.setattr(view, "append", claim)
        monkeypatch.setattr(view, "read", read_later)
        await first.drain()
        await cluster.wait_for(lambda: cluster.leader() is second, 2 * UNREADABLE_S)
        assert second.leadership.leader_record.term == 2

    run_to_end(scenario)
