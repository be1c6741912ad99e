"""Tests of starts whose tickets lapse between the decision and the sending."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.jobs.model import (
    AdviceTerms,
    JobState,
    StartReply,
    StartResult,
)
from cuminhill.jobs.records import JOB_PREFIX, encode_job
from standins.job_platform import MemoryAdvice, MemoryWorkers

from .builders import make_job, make_queue, make_step, make_table

# A ticket is usable for 0.75 s, of which the call that brings it takes nothing.
TERMS = AdviceTerms(0.15, 0.002, 1.0)
N_JOBS = 5
STEP = {"n_tasks": 12, "cores": 4.0, "run_time_s": 0.3}


@dataclass(eq=False)
class SlowAdvice(MemoryAdvice):
    """Advice that takes its time; its tickets tell when they were issued."""

    terms: AdviceTerms = TERMS
    named: list = field(default_factory=list)

    async def ask(self, step, workers, timeout_s):
        """Return the permitted workers for a step, each with its ticket."""
        self.named.append(len(workers))
        await curio.sleep(self.terms.decide_s + self.terms.per_worker_s * len(workers))
        answer = await super().ask(step, workers, timeout_s)
        return [(worker, f"{boottime()}") for worker, _ in answer]


@dataclass(eq=False)
class TicketedWorkers(MemoryWorkers):
    """Workers that refuse lapsed tickets and may answer starts late.

    Parameters
    ----------
    start_s : float, seconds
        Time of a start call.
    """

    start_s: float = 0.0
    n_refused: int = 0

    async def start(self, order, timeout_s):
        """Start a run if its ticket is valid."""
        await curio.sleep(self.start_s)
        if boottime() > float(order.ticket or "inf") + TERMS.valid_s:
            self.n_refused += 1
            return StartReply(StartResult.BAD_TICKET)
        return await super().start(order, timeout_s)


async def _start(cluster):
    cluster.workers = TicketedWorkers(cluster.workers.workers)
    cluster.advice = SlowAdvice()
    cluster.tables = [make_table(make_queue(advice=TERMS))]
    node = await cluster.start_node("vm1")
    await cluster.wait_for(
        lambda: cluster.leader() is node and node.leadership.may_act()
    )
    return node


def _submit(cluster, n_jobs=N_JOBS, **step):
    job_ids = [f"{number:016x}" for number in range(1, n_jobs + 1)]
    for job_id in job_ids:
        job = make_job(make_step(**(STEP | step)), job_id=job_id)
        cluster.needs[job.payload] = job.steps[0].need
        cluster.journal.append_records([(JOB_PREFIX + job_id, encode_job(job))])
    return job_ids


async def _wait_until_completed(cluster, node, job_ids, timeout_s):
    def completed():
        states = [cluster.state(node, job_id) for job_id in job_ids]
        return states.count(JobState.COMPLETED)

    give_up_at = boottime() + timeout_s
    while completed() < len(job_ids) and boottime() < give_up_at:
        await curio.sleep(0.02)
    assert completed() == len(job_ids)


def _slow_journal(cluster, node):
    cluster.views["vm1"][0].faults.delay_s = 0.85


def _slow_decisions(cluster, node):
    cluster.views["vm1"][0].faults.delay_s = 0.05
    decide = node.leadership.placer.decide

    def slow_decide(now, wall):
        time.sleep(0.45)  # holds up all tasks of the process, as a long decision does
        return decide(now, wall)

    node.leadership.placer.decide = slow_decide


def _slow_starts(cluster, node):
    cluster.workers.start_s = 0.3


# Guards against tasks that are assigned and released without end since their tickets
# lapse while the assignment is written, by whatever the time is taken (issue 49).
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("make_slow", [_slow_journal, _slow_decisions, _slow_starts])
def test_tasks_start_though_tickets_lapse_before_their_starts_are_sent(
    cluster, make_slow, gang
):
    async def scenario():
        node = await _start(cluster)
        make_slow(cluster, node)
        if gang:  # the first end of a member is that of all
            for worker in cluster.workers.workers.values():
                worker.run_time_s = 1.5
        job_ids = _submit(cluster, gang=gang)
        await _wait_until_completed(cluster, node, job_ids, 25.0)
        counts = node.leadership.placer.counts
        n_tasks = N_JOBS * STEP["n_tasks"]
        # Tasks that are assigned anew cost a call for advice and two records each time.
        assert counts["placements"] <= 1.2 * n_tasks
        assert cluster.workers.n_refused <= 0.1 * n_tasks

    curio.run(scenario)
