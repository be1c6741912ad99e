"""Tests of tasks that outlive several terms of the placer."""

from __future__ import annotations

import curio
import pytest

from cuminhill.jobs.fleet import LeaseTimes
from cuminhill.jobs.placer import PlacerTimes
from cuminhill.jobs.records import LEADER_KEY, LeaderRecord, encode_leader_record

from .builders import make_job, make_step

# Leases that lapse within two of the intervals between changes of the placer.
TIMES = PlacerTimes(lease=LeaseTimes(lease_s=2.0), max_unconfirmed_s=2.0)
CHANGE_INTERVAL_S = 1.0
N_CHANGES = 4
# A renewal in flight hides the end of its worker for up to one second.
NOTICED_S, UNNOTICED_S = 2.0, 0.2


# Guards against a wait for the leases of a lost worker that each new placer begins
# anew: long-running tasks stood still while the placer kept changing, and 9 s more.
@pytest.mark.parametrize("before_s", [NOTICED_S, UNNOTICED_S], ids=["noticed", "new"])
@pytest.mark.parametrize("leaves", [True, False], ids=["leaves", "crashes"])
def test_changes_of_the_placer_do_not_prolong_the_wait_for_a_lost_worker(
    cluster, leaves, before_s
):
    cluster.times = TIMES

    async def scenario():
        for number in range(N_CHANGES + 1):
            await cluster.start_node(f"vm{number}")
        await cluster.wait_for(cluster.leader)
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        job = make_job(make_step(long_running=True))
        await cluster.submit(cluster.leader(), job)
        await cluster.wait_for(cluster.workers.history)
        (run,) = cluster.workers.history()
        await curio.sleep(2 * CHANGE_INTERVAL_S)
        del cluster.workers.workers[run.worker_id]
        if leaves:
            cluster.registry.append_records([(run.worker_id, b"")])
        await curio.sleep(before_s)
        for _ in range(N_CHANGES):
            node = cluster.leader()
            await node.drain()
            await cluster.wait_for(
                lambda node=node: cluster.leader() not in {None, node}
            )
            await curio.sleep(CHANGE_INTERVAL_S)
        runs = [item for item in cluster.workers.history() if item.run == 2]
        assert runs, "the task stood still during all changes of the placer"

    curio.run(scenario)


# Guards against a bound on leases that a process breaks later, by a claim that it had
# made before it was asked.
def test_a_process_that_is_asked_about_a_term_does_not_begin_it_afterwards(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        term = node.leadership.leader_record.term
        assert not await node.peers.ask_term_ended(node.options.rpc_address, term)
        assert await node.peers.ask_term_ended(node.options.rpc_address, term - 1)
        await node.drain()
        await cluster.wait_for(lambda: node.leadership is None)
        claim = node._claim = LeaderRecord(term + 1, "vm0", "late")
        assert await node.peers.ask_term_ended(node.options.rpc_address, claim.term)
        cluster.journal.append_records([(LEADER_KEY, encode_leader_record(claim))])
        await cluster.wait_for(lambda: node.job_index.leader_record == claim)
        node.draining = False
        await curio.sleep(0.3)
        begun = node.leadership and node.leadership.leader_record.term
        assert begun != claim.term

    curio.run(scenario)


# Guards against a VM that never leads again after an odd question of another one.
def test_a_question_about_a_term_of_the_future_has_no_effect(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        assert await node.peers.ask_term_ended(node.options.rpc_address, 1 << 62)
        await cluster.wait_for(cluster.leader)

    curio.run(scenario)
