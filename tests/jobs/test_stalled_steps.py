"""Paths by which a step of an idle site might get no turn, advice or place."""

from __future__ import annotations

from functools import partial

import curio
import pytest

from cuminhill.jobs.model import AdviceTerms, JobState
from cuminhill.jobs.placer import Placer
from cuminhill.util.kernel import run_to_end

from .builders import JOB_ID, make_job, make_queue, make_step

ADVICE = AdviceTerms(decide_s=0.02, per_worker_s=0.0, valid_s=2.5)
OTHER_ID = "00000000000000bb"


async def begin(cluster, *, advice=None):
    """Start a node and return it once it leads."""
    if advice is not None:
        cluster.publish(make_queue(advice=advice))
    node = await cluster.start_node("a")
    await cluster.wait_for(cluster.leader)
    n_versions = len(cluster.tables)
    await cluster.wait_for(lambda: node.table.version == n_versions)
    return node


def is_completed(cluster, node, job_id=JOB_ID):
    return cluster.state(node, job_id) is JobState.COMPLETED


# Guards against a step that gets no advice for the rest of the term, since a call that
# ended with an unexpected error stays marked as under way.
@pytest.mark.parametrize("error", [ValueError("unexpected"), curio.TaskTimeout(0.0)])
def test_a_call_for_advice_that_ends_unexpectedly_is_repeated(cluster, error):
    async def scenario():
        node = await begin(cluster, advice=ADVICE)
        leadership, asked = node.leadership, []
        ask = leadership.ask_advice

        async def fail_first(vm, call, wait_s):
            asked.append(call.step)
            if asked.count(call.step) == 1:
                raise error
            return await ask(vm, call, wait_s)

        leadership.ask_advice = fail_first
        await cluster.submit(node, make_job(make_step(), make_step(after=(0,))))
        await cluster.wait_for(partial(is_completed, cluster, node))
        assert node.leadership is leadership
        assert not any(item.n_calls for item in leadership.advisers.values())

    run_to_end(scenario)


# Guards against jobs that are never taken in by a term that was told of them together
# with one that it could not take in.
def test_a_job_that_cannot_be_taken_in_keeps_no_other_from_being_placed(cluster):
    async def scenario():
        node = await begin(cluster)
        index, placer = node.job_index, node.leadership.placer
        add_job, pop_changed = placer.add_job, index.pop_changed

        def fail_one(progress, now):
            if progress.job.job_id == JOB_ID:
                raise KeyError("unexpected")
            add_job(progress, now)

        placer.add_job = fail_one
        # The placer hears of both at once.
        index.pop_changed = lambda: (
            sorted(pop_changed()) if len(index.entries) == 2 else []
        )
        for job_id in (JOB_ID, OTHER_ID):
            await cluster.submit(node, make_job(job_id=job_id))
        await cluster.wait_for(partial(is_completed, cluster, node, OTHER_ID))
        assert node.leadership.placer is placer

    run_to_end(scenario)


# Guards against a worker that is registered but not called for the rest of the term.
def test_a_worker_that_registers_again_while_it_is_dropped_is_called(cluster):
    async def scenario():
        node = await begin(cluster)
        leadership = node.leadership
        workers, disconnect = leadership.placer.workers, leadership.calls.disconnect

        async def register_meanwhile(address):
            cluster.add_worker("w0", incarnation=2)
            await cluster.wait_for(lambda: "w0" in workers)
            await curio.sleep(0.1)
            await disconnect(address)

        await cluster.wait_for(lambda: workers["w0"].reachable)
        for worker_id in ("w1", "w2"):  # all have one address
            cluster.remove_worker(worker_id)
        await cluster.wait_for(lambda: len(workers) == 1)
        leadership.calls.disconnect = register_meanwhile
        cluster.remove_worker("w0")
        await cluster.wait_for(lambda: "w0" not in workers)
        await cluster.wait_for(lambda: "w0" in workers and workers["w0"].reachable)

    run_to_end(scenario)


# Guards against VMs that claim one term after the other, each of which ends before it
# has begun, for one job that cannot be taken in.
def test_a_job_that_cannot_be_taken_in_keeps_no_term_from_beginning(
    cluster, monkeypatch
):
    add_job = Placer.add_job

    def fail_one(placer, progress, now):
        if progress.job.job_id == JOB_ID:
            raise KeyError("unexpected")
        add_job(placer, progress, now)

    async def scenario():
        first = await begin(cluster)
        for worker in cluster.workers.workers.values():
            worker.run_time_s = 2.0
        for job_id in (JOB_ID, OTHER_ID):
            await cluster.submit(first, make_job(make_step(), job_id=job_id))
        await cluster.wait_for(lambda: len(cluster.workers.history()) == 2)
        monkeypatch.setattr(Placer, "add_job", fail_one)
        second = await cluster.start_node("b")
        await first.drain()
        await cluster.wait_for(lambda: second.leadership is not None)
        assert second.leadership.leader_record.term == 2
        await cluster.wait_for(partial(is_completed, cluster, second, OTHER_ID))

    run_to_end(scenario)
