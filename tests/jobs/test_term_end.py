"""Tests of what a term leaves in its process."""

from __future__ import annotations

import gc
import weakref

import curio

from cuminhill.util.kernel import run_to_end


# Guards against tasks that wait for ever after the end of their term: one for each
# worker, which kept the jobs and workers of each term in memory.
def test_a_term_that_has_ended_leaves_nothing_in_memory(cluster):
    async def scenario():
        await cluster.start_node("vm0")
        await cluster.start_node("vm1")
        await cluster.wait_for(cluster.leader)
        node = cluster.leader()
        await cluster.wait_for(node.leadership._recorded.is_set)
        placer = weakref.ref(node.leadership.placer)
        await node.drain()
        await cluster.wait_for(lambda: cluster.leader() not in {None, node})
        await curio.sleep(0.5)
        gc.collect()
        assert placer() is None

    run_to_end(scenario)
