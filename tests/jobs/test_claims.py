"""Tests of claims whose answers are lost, that are stored late, or come too late."""

from __future__ import annotations

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.errors import UnavailableError, UnknownOutcomeError
from cuminhill.jobs.election import PLACER_TIMEOUT_S
from cuminhill.jobs.node import PLACER_WRITER
from cuminhill.jobs.records import (
    LEADER_KEY,
    LeaderRecord,
    decode_leader_record,
    encode_leader_record,
)
from cuminhill.util.kernel import run_to_end

STORED_AFTER_S = 1.2  # the log takes this long for a claim that it has accepted


class LateClaims:
    """Has the log accept claims at once, store them late and lose their answers."""

    def __init__(self, cluster, vms, delay_s=STORED_AFTER_S):
        self.cluster, self.delay_s = cluster, delay_s
        self.accepted = []
        self.stored = set()
        for vm in vms:
            view = cluster.views[vm][0]
            view.append = self._wrap(view.append)

    def _wrap(self, append):
        async def append_late(records, token=None, *, at=None, timeout_s):
            key, value = records[0]
            record = decode_leader_record(value) if key == LEADER_KEY else None
            if record is None or not self._claims(token):
                return await append(records, token, at=at, timeout_s=timeout_s)
            if self.cluster.journal.accept_token(token):
                self.accepted.append(record)
                await curio.spawn(self._store, records, token, daemon=True)
            await curio.sleep(timeout_s)
            raise UnknownOutcomeError("answer lost", step="append")

        return append_late

    def _claims(self, token):
        epoch, _ = self.cluster.journal.writers.get(PLACER_WRITER, (0, 0))
        accepted = any(claim.term == token.epoch for claim in self.accepted)
        return token.epoch > epoch or (accepted and token.epoch not in self.stored)

    async def _store(self, records, token):
        await curio.sleep(self.delay_s)
        self.cluster.journal.append_records(records)
        self.stored.add(token.epoch)


def claims(cluster):
    """Return the claims in the journal, without their renewals."""
    records = [
        decode_leader_record(record.value)
        for record in cluster.journal.records
        if record.key == LEADER_KEY
    ]
    return {(record.term, record.nonce): record for record in records}


async def start_nodes(cluster, *vms):
    """Start nodes, the first of which leads."""
    nodes = [await cluster.start_node(vms[0])]
    await cluster.wait_for(cluster.leader)
    nodes += [await cluster.start_node(vm) for vm in vms[1:]]
    await cluster.wait_for(lambda: all(node.is_ready() for node in nodes))
    return nodes


# Guards against terms that nobody begins: a claimant that got no answer in time made
# another claim, and did not know its first one when the journal showed it.
@pytest.mark.parametrize(
    "delay_s", [0.0, STORED_AFTER_S], ids=["lost", "lost and slow"]
)
def test_a_claim_whose_answer_is_lost_is_begun(cluster, delay_s):
    async def scenario():
        node = await cluster.start_node("vm0")
        late = LateClaims(cluster, ["vm0"], delay_s)
        await cluster.wait_for(cluster.leader)
        assert late.accepted == [node.leadership.leader_record]

    run_to_end(scenario)


# Guards against a term that a VM begins after it has answered that it never will, by
# repeats of the claim.
def test_a_claim_that_was_disclaimed_is_neither_repeated_nor_begun(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        late = LateClaims(cluster, ["vm0"])
        await cluster.wait_for(lambda: late.accepted)
        claim = late.accepted[0]
        assert node._disclaim_term(claim.term) is not None
        await cluster.wait_for(cluster.leader)
        assert node.leadership.leader_record.term > claim.term

    run_to_end(scenario)


# Guards against a claim that takes the term from a placer which writes again, after
# an outage in which neither was answered.
def test_a_claim_is_not_repeated_once_the_placer_writes_again(cluster):
    async def scenario():
        first, second = await start_nodes(cluster, "vm0", "vm1")
        views = [cluster.views[vm][0] for vm in ("vm0", "vm1")]
        attempts = []

        async def lose(records, token=None, *, at=None, timeout_s):
            if token.writer != PLACER_WRITER:
                raise UnavailableError("refused", step="append")
            attempts.append(boottime())
            await curio.sleep(timeout_s)
            raise UnknownOutcomeError("not executed", step="append")

        append, views[1].append = views[1].append, lose
        views[0].faults.unresponsive = True
        await cluster.wait_for(lambda: attempts)
        views[0].faults.unresponsive = False
        writer = first.leadership.writer
        await cluster.wait_for(lambda: not writer.failing_since)
        await curio.sleep(1.0)
        views[1].append = append
        await curio.sleep(2 * PLACER_TIMEOUT_S)
        assert cluster.leader() is first
        assert second.leadership is None

    run_to_end(scenario)


# Guards against a claim of one more term by each VM that is refused, while the log has
# accepted the first claim and does not show it yet: each fenced the one before.
def test_a_refused_claim_is_not_followed_by_one_of_the_next_term(cluster):
    async def scenario():
        vms = ["vm0", "vm1", "vm2", "vm3"]
        await start_nodes(cluster, *vms)
        late = LateClaims(cluster, vms[1:])
        await cluster.kill_node("vm0")
        await cluster.wait_for(cluster.leader)
        await curio.sleep(PLACER_TIMEOUT_S)
        assert [claim.term for claim in late.accepted] == [2]
        assert cluster.leader().leadership.leader_record == late.accepted[0]

    run_to_end(scenario)


# Guards against a placer that is fenced by a claim and claims the next term at once,
# since the journal still shows its own term as the newest.
def test_a_fenced_placer_leaves_time_for_the_claim_that_fenced_it(cluster):
    async def scenario():
        (node,) = await start_nodes(cluster, "vm0")
        late = LateClaims(cluster, ["vm0"])
        leadership = node.leadership
        term = leadership.leader_record.term
        cluster.journal.writers[PLACER_WRITER] = (term + 1, 17)
        await cluster.wait_for(lambda: leadership.ended)
        await curio.sleep(STORED_AFTER_S)
        assert not late.accepted
        other = LeaderRecord(term + 1, "vm1", "n1", recorded_since=1)
        cluster.journal.append_records([(LEADER_KEY, encode_leader_record(other))])
        # Nobody begins that term either, so its silence counts from the claim.
        await cluster.wait_for(cluster.leader)
        assert node.leadership.leader_record.term == term + 2

    run_to_end(scenario)


# Guards against a term that a stopping VM wins and nobody begins: the others took it
# for a silent placer, after a claim whose answer came too late for the VM.
@pytest.mark.parametrize("drains", ["claim accepted", "claim stored", "claim read"])
def test_a_vm_that_wins_while_it_stops_resigns(cluster, drains):
    async def scenario():
        first, second = await start_nodes(cluster, "vm0", "vm1")
        late = LateClaims(cluster, ["vm1"])
        catch_up = second.registry.catch_up

        async def drain_first(timeout_s):
            await second.drain()
            return await catch_up(timeout_s)

        if drains == "claim read":
            second.registry.catch_up = drain_first
        await first.drain()
        await cluster.wait_for(lambda: late.accepted)
        claim = late.accepted[0]
        if drains == "claim stored":
            await cluster.wait_for(lambda: late.stored)
        if drains != "claim read":
            await second.drain()
        key = claim.term, claim.nonce
        await cluster.wait_for(lambda: key in claims(cluster))
        await cluster.wait_for(lambda: claims(cluster)[key].resigned, PLACER_TIMEOUT_S)
        await curio.sleep(PLACER_TIMEOUT_S)
        assert late.accepted == [claim]
        assert second.leadership is None

    run_to_end(scenario)


# Guards against others that take a slow log for a silent placer until the first renewal
# of the claim, since the claim said that the log was fast.
def test_a_claim_tells_the_latency_of_the_log(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        node.writer.latency_s = 0.5
        await cluster.wait_for(cluster.leader)
        assert node.leadership.leader_record.latency_s == pytest.approx(0.5, abs=0.2)

    run_to_end(scenario)
