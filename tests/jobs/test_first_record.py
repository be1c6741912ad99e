"""Tests of the time from a term's claim until its first record of leases is stored."""

from __future__ import annotations

import curio

from cuminhill.clock import boottime
from cuminhill.errors import RejectedError
from cuminhill.jobs.fleet import LeaseTimes
from cuminhill.jobs.placer import PlacerTimes
from cuminhill.jobs.records import CANCEL_PREFIX, LEASES_KEY
from cuminhill.util.kernel import run_to_end

from .builders import make_job, make_step

SLOW_APPEND_S = 0.35
MARGIN_S = 0.3
LONG_LEASE_S = 60.0


async def start_lasting_task(cluster):
    """Start two nodes and a task that lasts; return the second node, which follows."""
    first = await cluster.start_node("vm0")
    await cluster.wait_for(cluster.leader)
    for worker in cluster.workers.workers.values():
        worker.hang = True  # the task lasts
    await cluster.submit(first, make_job(make_step(long_running=True)))
    await cluster.wait_for(cluster.workers.history)
    second = await cluster.start_node("vm1")
    await cluster.wait_for(second.is_ready)
    return second


def use_long_leases(cluster):
    """Have leases outlast a change of the placer in a process that is held up."""
    lease = LeaseTimes(lease_s=LONG_LEASE_S, max_lease_s=LONG_LEASE_S)
    cluster.times = PlacerTimes(lease, max_hold_s=LONG_LEASE_S)


def watch_leases(cluster, monkeypatch) -> list[tuple[float, int | None]]:
    """Return a list to which the time and the lease of each renewal are added."""
    renewals: list[tuple[float, int | None]] = []
    renew = cluster.workers.renew

    async def note_renewal(*args, **kwargs):
        renewals.append((boottime(), kwargs["lease_until_ms"]))
        return await renew(*args, **kwargs)

    monkeypatch.setattr(cluster.workers, "renew", note_renewal)
    return renewals


# Guards against leases of a term whose first record the journal has rejected: the next
# term then counts from the records of the terms before.
def test_a_term_whose_first_record_is_rejected_extends_no_lease(cluster, monkeypatch):
    async def scenario():
        second = await start_lasting_task(cluster)
        view = cluster.views["vm1"][0]
        append = view.append

        async def reject_leases(records, *args, **kwargs):
            if any(key == LEASES_KEY for key, _ in records):
                raise RejectedError("status 400", step="append")
            return await append(records, *args, **kwargs)

        monkeypatch.setattr(view, "append", reject_leases)
        renewals = watch_leases(cluster, monkeypatch)
        await cluster.kill_node("vm0")
        renewals.clear()
        await cluster.wait_for(lambda: second.leadership is not None)
        await curio.sleep(1.0)
        assert not any(lease for _, lease in renewals)

    run_to_end(scenario)


# Guards against leases that a new term withholds from all workers with runs, since it
# takes the time in which it could not call them for their silence: on a slow journal
# they then lapsed during a change of the placer.
def test_a_term_on_a_slow_journal_extends_leases_once_its_record_is_stored(cluster):
    # The run must not lapse before the record: its worker then reports an end, and is
    # not renewed until that is in the journal.
    use_long_leases(cluster)

    async def scenario():
        second = await start_lasting_task(cluster)
        cluster.views["vm1"][0].faults.delay_s = SLOW_APPEND_S
        await cluster.kill_node("vm0")
        (run,) = cluster.workers.history()
        worker = cluster.workers.workers[run.worker_id]
        before = worker.lease_until_ms
        await cluster.wait_for(lambda: second.leadership is not None)
        await cluster.wait_for(second.leadership._recorded.is_set)
        # Timers fire in order even if the process is held up, unlike a reading of the
        # clock after the renewal.
        await curio.sleep(MARGIN_S)
        assert worker.lease_until_ms > before
        assert not run.ended_at

    run_to_end(scenario)


# Guards against stops that are dropped while a term has no stored record: the runs of
# a job that was cancelled without a placer then went on for a second more.
def test_a_job_cancelled_without_a_placer_is_stopped_once_a_term_may_act(cluster):
    async def scenario():
        second = await start_lasting_task(cluster)
        (run,) = cluster.workers.history()
        await cluster.kill_node("vm0")
        cluster.journal.append_records([(CANCEL_PREFIX + run.key.job_id, b"{}")])
        await cluster.wait_for(lambda: second.leadership is not None)
        await cluster.wait_for(second.leadership._recorded.is_set)
        recorded_at = boottime()
        await cluster.wait_for(lambda: run.ended_at)
        assert boottime() - recorded_at < MARGIN_S

    run_to_end(scenario)


# Guards against leases that a new term extends only once the ends of other runs on the
# worker are in the journal, which takes several appends: on a slow journal they lapsed.
def test_a_term_extends_leases_before_the_ends_that_a_worker_reports_are_stored(
    cluster,
):
    use_long_leases(cluster)
    for worker_id in ("w1", "w2"):
        cluster.remove_worker(worker_id)
    worker = cluster.workers.workers["w0"]

    async def scenario():
        second = await start_lasting_task(cluster)
        (lasting,) = cluster.workers.history()
        short = make_job(make_step(), job_id="00000000000000bb")
        await cluster.submit(cluster.nodes["vm0"], short)
        await cluster.wait_for(lambda: len(cluster.workers.history()) == 2)
        cluster.views["vm1"][0].faults.delay_s = SLOW_APPEND_S
        await cluster.kill_node("vm0")
        worker.stop_run(cluster.workers.history()[1].key, 1)
        before = worker.lease_until_ms
        await cluster.wait_for(lambda: second.leadership is not None)
        await cluster.wait_for(second.leadership._recorded.is_set)
        await curio.sleep(MARGIN_S)
        assert worker.lease_until_ms > before
        assert not lasting.ended_at

    run_to_end(scenario)
