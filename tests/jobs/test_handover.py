"""Tests of tasks that outlive several terms of the placer."""

from __future__ import annotations

import math
from dataclasses import replace
from functools import partial

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.errors import ProtocolError, UnavailableError
from cuminhill.jobs import election
from cuminhill.jobs.fleet import LeaseTimes, lapse_after_s
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.journal import LogWriter
from cuminhill.jobs.leadership import (
    ASK_INTERVAL_S,
    MAX_READERS,
    RENEW_WAIT_S,
    Leadership,
)
from cuminhill.jobs.leasebounds import (
    MAX_READ_LAG_S,
    NO_INHERITED_LEASES,
    REWRITE_INTERVAL_S,
    LeaseAges,
    TermEnd,
    note_predecessor_ended,
)
from cuminhill.jobs.model import JobState, QueueTable
from cuminhill.jobs.node import JobNode
from cuminhill.jobs.nodemetrics import make_node_metrics
from cuminhill.jobs.placer import Placer, PlacerTimes
from cuminhill.jobs.records import (
    JOB_PREFIX,
    LEADER_KEY,
    LEASES_KEY,
    JournalRecord,
    LeaderRecord,
    LeaseBound,
    LeaseRecord,
    Member,
    decode_leader_record,
    decode_lease_record,
    encode_job,
    encode_leader_record,
    encode_lease_record,
)
from cuminhill.util.kernel import run_to_end
from standins.job_platform import (
    LogView,
    MemoryLog,
    MemoryWorkers,
    overlapping_runs,
)

from .builders import make_job, make_queue, make_step

# Leases that lapse within two of the intervals between changes of the placer.
TIMES = PlacerTimes(lease=LeaseTimes(lease_s=2.0), max_unconfirmed_s=2.0)
CHANGE_INTERVAL_S = 1.0
N_CHANGES = 4
# A renewal in flight hides the end of its worker for up to one second.
NOTICED_S, UNNOTICED_S = 2.0, 0.2
LATE_S = 1.2  # from the end of a placer until the process that follows it starts
MAX_ABSENT_S = 9.0  # longest time for which a lasting task may not run


async def lose_worker_of_task(cluster, leaves: bool) -> None:
    """Start a task that lasts and end its worker; if it leaves, deregister it too."""
    await cluster.wait_for(cluster.leader)
    for worker in cluster.workers.workers.values():
        worker.hang = True  # the task lasts
    await cluster.submit(cluster.leader(), make_job(make_step(long_running=True)))
    await cluster.wait_for(cluster.workers.history)
    (run,) = cluster.workers.history()
    await curio.sleep(2 * CHANGE_INTERVAL_S)
    del cluster.workers.workers[run.worker_id]
    if leaves:
        cluster.registry.append_records([(run.worker_id, b"")])


async def change_placer(cluster) -> None:
    """Stop the placer and wait for the next one."""
    node = cluster.leader()
    await node.drain()
    await cluster.wait_for(lambda: cluster.leader() not in {None, node})


def has_second_run(cluster) -> bool:
    return any(item.run == 2 for item in cluster.workers.history())


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
        await lose_worker_of_task(cluster, leaves)
        await curio.sleep(before_s)
        for _ in range(N_CHANGES):
            await change_placer(cluster)
            await curio.sleep(CHANGE_INTERVAL_S)
        assert has_second_run(cluster), "the task stood still during all changes"

    run_to_end(scenario)


# Guards against a VM that takes the ends of leases in the journal for new because it
# reads them for the first time after its own start.
def test_a_vm_that_has_just_started_does_not_prolong_the_wait_for_a_lost_worker(
    cluster,
):
    cluster.times = PlacerTimes(lease=LeaseTimes(lease_s=4.0), max_unconfirmed_s=2.0)

    async def scenario():
        await cluster.start_node("vm0")
        await lose_worker_of_task(cluster, leaves=True)
        await curio.sleep(NOTICED_S)
        for number in range(1, N_CHANGES + 1):
            node = await cluster.start_node(f"vm{number}")
            await cluster.wait_for(node.is_ready)
            await change_placer(cluster)
            await curio.sleep(CHANGE_INTERVAL_S)
        assert has_second_run(cluster), "the task stood still during all changes"

    run_to_end(scenario)


# Guards against a job that waits for ever because its queue was removed before the
# placer changed, and the next placer does not know where its tasks may run.
def test_a_task_of_a_removed_queue_starts_again_after_a_change_of_the_placer(cluster):
    cluster.times = TIMES

    async def scenario():
        for number in range(2):
            await cluster.start_node(f"vm{number}")
        await lose_worker_of_task(cluster, leaves=True)
        cluster.publish(make_queue("other"))
        await cluster.wait_for(
            lambda: all(node.table.version == 2 for node in cluster.nodes.values())
        )
        await change_placer(cluster)
        await cluster.wait_for(lambda: has_second_run(cluster))

    run_to_end(scenario)


# Guards against a job that waits for ever because its queue was removed and every VM
# has been restarted since (rule LOST).
def test_a_job_of_a_removed_queue_outlasts_all_processes_that_knew_the_queue(cluster):
    cluster.times = TIMES

    async def scenario():
        await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        job = make_job(make_step(), make_step(after=(0,)), accepted_at=0.0)
        await cluster.submit(cluster.leader(), job)
        await cluster.wait_for(cluster.workers.history)
        cluster.publish(make_queue("other"))
        await cluster.wait_for(lambda: cluster.nodes["vm0"].table.version == 2)
        late = await cluster.start_node("vm1")
        await cluster.wait_for(late.is_ready)
        await cluster.kill_node("vm0")
        await cluster.wait_for(
            lambda: cluster.state(late, job.job_id) is JobState.COMPLETED
        )

    run_to_end(scenario)


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

    run_to_end(scenario)


# Guards against leases that a VM extends although its claim is old, as after a pause
# between the claim and the begin of the term: a later placer may have begun meanwhile.
def test_a_term_is_confirmed_from_the_time_at_which_it_was_claimed(
    cluster, monkeypatch
):
    claimed_at, confirmed_at = [], []
    start, make_claim = Leadership.start, JobNode._make_claim

    async def claim_slowly(node):
        claimed_at.append(boottime())
        await make_claim(node)
        await curio.sleep(0.3)

    async def note_start(leadership):
        confirmed_at.append(leadership.confirmed_at)
        await start(leadership)

    monkeypatch.setattr(JobNode, "_make_claim", claim_slowly)
    monkeypatch.setattr(Leadership, "start", note_start)

    async def scenario():
        await cluster.start_node("vm0")
        await cluster.wait_for(lambda: confirmed_at)
        assert confirmed_at[0] < claimed_at[0] + 0.3

    run_to_end(scenario)


# Guards against a wait for leases that counts from the answer of a restarted process,
# which comes as long after their end as the process takes to start and to be asked.
@pytest.mark.parametrize("own", [True, False], ids=["own address", "other VM"])
def test_leases_of_a_killed_placer_count_from_the_start_of_its_next_process(
    cluster, own
):
    async def scenario():
        first = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        await cluster.wait_for(lambda: first.job_index.leases.term)
        if not own:
            other = await cluster.start_node("vm1")
            await cluster.wait_for(other.is_ready)
        address = first.options.rpc_address
        await cluster.kill_node("vm0")
        killed_at = boottime()
        second = await cluster.start_node("vm0", seed=2, address=address)
        second.draining = not own
        if own:
            # It claims once it knows a configuration.
            cluster.views["vm0"][1].faults.unresponsive = True
            await curio.sleep(1.0)
            cluster.views["vm0"][1].faults.unresponsive = False
        await cluster.wait_for(cluster.leader)
        placer = cluster.leader().leadership.placer
        assert placer.begun_at > killed_at + 0.8
        await cluster.wait_for(lambda: placer.predecessor_ended_at < killed_at + 0.3)
        assert placer.predecessor_ended_at >= killed_at

    run_to_end(scenario)


# Guards against a placer that only callers' records confirm, although the next term
# counts from the newest record of the placer's own.
def test_records_of_callers_do_not_confirm_a_term(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        leadership = node.leadership
        leadership._shown_at = math.inf  # no renewal of the claim
        await curio.sleep(0.5)
        before = leadership.confirmed_at
        await leadership.writer.append([("cancel/a", b"1")], math.inf)
        assert leadership.confirmed_at == before
        await leadership._write_leader_record()
        assert leadership.confirmed_at > before

    run_to_end(scenario)


# Guards against a placer without the journal that extends leases beyond the time for
# which the next term waits, or that gives up its tasks long before.
def test_a_placer_without_the_journal_shortens_its_leases(cluster):
    lease = LeaseTimes(lease_s=2.0, max_lease_s=2.0)
    cluster.times = PlacerTimes(lease, max_unconfirmed_s=2.0, max_hold_s=3.0)

    async def scenario():
        node = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        await cluster.submit(node, make_job(make_step(long_running=True)))
        await cluster.wait_for(cluster.workers.history)
        (run,) = cluster.workers.history()
        worker = cluster.workers.workers[run.worker_id]
        await curio.sleep(1.0)
        cluster.views["vm0"][0].faults.unresponsive = True
        await curio.sleep(0.2)
        confirmed_at = node.leadership.confirmed_at
        await curio.sleep(confirmed_at + 2.7 - boottime())
        worker.advance()
        assert worker.running
        await curio.sleep(confirmed_at + 3.1 - boottime())
        worker.advance()
        assert not worker.running
        assert node.leadership.confirmed_at == confirmed_at

    run_to_end(scenario)


# Guards against leases that a process extends until it ends its term, while the next
# term counts from the start of the process.
def test_a_process_that_has_led_a_term_says_when_it_ended_it(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        term = node.leadership.leader_record.term
        await curio.sleep(0.5)
        assert node._disclaim_term(term) is None
        ended_at = boottime()
        await node.drain()
        assert node._disclaim_term(term) == TermEnd(0.0)
        await cluster.wait_for(lambda: node.leadership is None)
        await curio.sleep(0.3)
        for_s = node._disclaim_term(term).for_s
        assert 0.3 <= for_s <= boottime() - ended_at

    run_to_end(scenario)


# Guards against a VM that never leads again after an odd question of another one.
def test_a_question_about_a_term_of_the_future_does_not_keep_a_vm_from_leading(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        assert await node.peers.ask_term_ended(node.options.rpc_address, 1 << 62)
        await cluster.wait_for(cluster.leader)

    run_to_end(scenario)


# Guards against bounds of a term that others followed: the records of a snapshot carry
# their offsets in the log, so an offset does not show that claims were left out.
def test_claims_that_a_snapshot_skips_are_not_taken_for_read(cluster):
    async def scenario():
        node = await cluster.start_node("vm0")
        node.draining = True
        index = node.job_index = JobIndex()

        def fold(snapshot, *rows):
            records = [JournalRecord(*row) for row in rows]
            node._fold_journal(records, snapshot)

        def claim(term):
            record = LeaderRecord(term, f"vm{term}", f"n{term}")
            return LEADER_KEY, encode_leader_record(record)

        bounds = LeaseRecord(11, "127.0.0.1:1", 0.0, (LeaseBound("w1", 1, 0.0),))
        leases = LEASES_KEY, encode_lease_record(bounds)
        fold(False, (100, *claim(11)), (101, *leases))
        # Claim 12 was overwritten by claim 13 before the snapshot was read.
        fold(True, (101, *leases), (250, *claim(13)))
        assert index.inherited_leases() == NO_INHERITED_LEASES

    run_to_end(scenario)


# Guards against a wait for the longest lease that begins with a term after terms
# without a record: their claimants did not learn that they had won, so what the last
# placer had left in the journal counted for nothing.
def test_terms_that_were_not_begun_do_not_begin_the_wait_anew(cluster, monkeypatch):
    async def begin_later(node, begin):
        if node.job_index.leader_record.term > 3:
            await begin()

    async def scenario():
        await cluster.start_node("vm0")
        await lose_worker_of_task(cluster, leaves=False)
        lost_at = boottime()
        nodes = [await cluster.start_node(f"vm{number}") for number in (1, 2, 3)]
        for node in nodes:
            await cluster.wait_for(node.is_ready)
            begin = node._begin_term
            monkeypatch.setattr(node, "_begin_term", partial(begin_later, node, begin))
        await cluster.kill_node("vm0")
        await cluster.wait_for(lambda: nodes[0].job_index.leader_record.term == 3)
        leases = decode_lease_record(cluster.stored(LEASES_KEY).value)
        assert leases.term == 1
        await cluster.wait_for(lambda: has_second_run(cluster), 20.0)
        assert cluster.leader().leadership.leader_record.term > 3
        assert boottime() - lost_at < MAX_ABSENT_S

    run_to_end(scenario)


# Guards against leases that a term grants before its first record is stored: the
# next term then counts from the records of the terms before.
def test_a_term_without_a_record_of_leases_extends_none_and_starts_nothing(
    cluster, monkeypatch
):
    async def scenario():
        first = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        await cluster.submit(first, make_job(make_step(long_running=True)))
        await cluster.wait_for(cluster.workers.history)
        second = await cluster.start_node("vm1")
        await cluster.wait_for(second.is_ready)
        leases, held = [], [True]
        view, renew = cluster.views["vm1"][0], cluster.workers.renew
        append = view.append

        async def hold_leases(records, *args, **kwargs):
            if held and any(key == LEASES_KEY for key, _ in records):
                raise UnavailableError("held", step="append")
            return await append(records, *args, **kwargs)

        async def note_renewal(*args, **kwargs):
            leases.append(kwargs["lease_until_ms"])
            return await renew(*args, **kwargs)

        monkeypatch.setattr(view, "append", hold_leases)
        monkeypatch.setattr(cluster.workers, "renew", note_renewal)
        await cluster.kill_node("vm0")
        leases.clear()
        await cluster.wait_for(lambda: second.leadership is not None)
        job = make_job(make_step(), job_id="second")
        cluster.journal.append_records([(JOB_PREFIX + job.job_id, encode_job(job))])
        await curio.sleep(1.5)
        assert cluster.leader() is second
        assert not any(leases)
        assert len(cluster.workers.history()) == 1
        held.clear()
        await cluster.wait_for(lambda: len(cluster.workers.history()) == 2)
        await cluster.wait_for(lambda: any(leases))

    run_to_end(scenario)


# Guards against a change of the placer in a rolling upgrade: VMs of the earlier build
# take no notice of lease records, so the placer has to write others as well.
def test_a_build_without_lease_records_sees_that_the_placer_is_alive(
    cluster, monkeypatch
):
    async def scenario():
        first = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        earlier = await cluster.start_node("vm1")
        fold = earlier.job_index._fold

        def fold_as_before(record, now):
            if record.key != LEASES_KEY:
                fold(record, now)

        monkeypatch.setattr(earlier.job_index, "_fold", fold_as_before)
        term = first.leadership.leader_record.term
        await curio.sleep(5.0)
        assert cluster.leader() is first
        assert first.leadership.leader_record.term == term

    run_to_end(scenario)


# Guards against two runs of a task: a term that had listed a worker extends the leases
# there once it registers, is cut off from the journal, and the next term believes the
# journal.
def test_a_worker_that_registers_late_keeps_its_run_to_itself(cluster):
    cluster.times = PlacerTimes(lease=LeaseTimes(lease_s=2.0), max_unconfirmed_s=2.0)

    async def scenario():
        first = await cluster.start_node("vm0")
        await cluster.wait_for(cluster.leader)
        # By then no lease of a term before the first one can run.
        await curio.sleep(cluster.times.max_unconfirmed_s + 2.5)
        for worker in cluster.workers.workers.values():
            worker.hang = True  # the task lasts
        await cluster.submit(first, make_job(make_step(long_running=True)))
        await cluster.wait_for(cluster.workers.history)
        (run,) = cluster.workers.history()
        lost = run.worker_id
        # Deregistered by an outage of the registry; the process goes on.
        cluster.registry.append_records([(lost, b"")])
        second = await cluster.start_node("vm1")
        await cluster.wait_for(second.is_ready)
        await cluster.wait_for(lambda: lost not in first.workers)
        await cluster.wait_for(lambda: lost not in second.workers)
        await first.drain()
        await cluster.wait_for(lambda: second.leadership is not None)
        third = await cluster.start_node("vm2")
        calls = MemoryWorkers(dict(cluster.workers.workers))
        del calls.workers[lost]  # the third VM does not reach the worker
        third.backends = replace(third.backends, calls=calls)
        await cluster.wait_for(third.is_ready)
        await curio.sleep(1.0)
        cluster.views["vm1"][0].faults.unresponsive = True
        cluster.registry.append_records([(lost, b"1")])
        await cluster.wait_for(lambda: third.leadership is not None)
        give_up_at = boottime() + 6.0
        while boottime() < give_up_at:
            for worker in cluster.workers.workers.values():
                worker.advance()
            assert not overlapping_runs(cluster.workers.history())
            await curio.sleep(0.05)

    run_to_end(scenario)


# Guards against a wait for the longest lease from the begin of a term whose predecessor
# was killed between its claim and its first record of leases: what the terms before it
# have left in the journal then counts for nothing, and nobody is asked.
def test_a_placer_killed_right_after_its_claim_does_not_begin_the_wait_anew(cluster):
    def is_claimed(term):
        stored = cluster.stored(LEADER_KEY)
        return stored is not None and decode_leader_record(stored.value).term == term

    async def scenario():
        await cluster.start_node("vm0")
        await lose_worker_of_task(cluster, leaves=False)
        lost_at = boottime()
        nodes = [await cluster.start_node(f"vm{number}") for number in (1, 2)]
        for node in nodes:
            await cluster.wait_for(node.is_ready)
        await cluster.kill_node("vm0")
        await cluster.wait_for(lambda: is_claimed(2))
        claim = decode_leader_record(cluster.stored(LEADER_KEY).value)
        claimant = cluster.nodes[claim.vm]
        address = claimant.options.rpc_address
        await cluster.kill_node(claim.vm)
        leases = decode_lease_record(cluster.stored(LEASES_KEY).value)
        assert leases.term == 1, "the claimant was not killed soon enough"
        await cluster.start_node(claim.vm, seed=2, address=address)
        await cluster.wait_for(lambda: has_second_run(cluster), 20.0)
        assert boottime() - lost_at < MAX_ABSENT_S

    run_to_end(scenario)


def has_recorded(node, term) -> bool:
    return node.job_index.leases.term == term


# Guards against a wait that each placer prolongs by the time for which a record was
# stored before it read it: VMs that have just started lead one after the other, and
# only one that does not lead has followed the journal all the while.
@pytest.mark.parametrize(
    ("times", "is_listed", "most_s"),
    [
        (PlacerTimes(max_hold_s=6.5), False, MAX_ABSENT_S),
        # Leases that outlast both changes of the placer, of which the last one counts
        # from a renewal in flight.
        (
            PlacerTimes(LeaseTimes(lease_s=8.0, max_lease_s=8.0), max_hold_s=12.0),
            True,
            lapse_after_s(8.0) + RENEW_WAIT_S + 2.0,
        ),
    ],
    ids=["new", "listed"],
)
def test_placers_that_read_records_late_do_not_prolong_the_wait(
    cluster, monkeypatch, times, is_listed, most_s
):
    cluster.times = times
    monkeypatch.setattr(election, "PLACER_TIMEOUT_S", 0.3)

    async def scenario():
        await cluster.start_node("vm0")
        await lose_worker_of_task(cluster, leaves=False)
        lost_at = boottime()
        follower = await cluster.start_node("follower")
        follower.draining = True  # it never claims
        await cluster.wait_for(lambda: follower.job_index.leases.term)
        if is_listed:
            await cluster.wait_for(lambda: follower.job_index.leases.bounds)
        for term in (2, 3):
            await cluster.kill_node(cluster.leader().options.vm)
            await curio.sleep(LATE_S)
            await cluster.start_node(f"vm{term}")
            await cluster.wait_for(partial(has_recorded, follower, term))
            # By then a record is stored with what other VMs have answered.
            await curio.sleep(2 * REWRITE_INTERVAL_S)
        await cluster.wait_for(lambda: has_second_run(cluster), 20.0)
        assert boottime() - lost_at < most_s

    run_to_end(scenario)


def lead_with_members(n_members, ask_lease_ages):
    """Return a leadership of a late reader with other VMs and leases that may run."""
    now = boottime()
    index = JobIndex()
    leases = LeaseRecord(1, "127.0.0.1:1", 60.0)
    claim = LeaderRecord(2, "vm0", "n2", recorded_since=1)
    for offset, (key, value) in enumerate(
        [
            (LEASES_KEY, encode_lease_record(leases)),
            (LEADER_KEY, encode_leader_record(claim)),
        ]
    ):
        index.fold(JournalRecord(offset, key, value), now)
    index.members = {f"vm{i}": Member("127.0.0.1:1") for i in range(n_members)}
    writer = LogWriter(LogView(MemoryLog()), "placer", 2)
    placer = Placer(2, now)
    return Leadership(
        claim,
        placer,
        writer,
        None,
        index,
        None,
        "127.0.0.1:1",
        None,
        ask_lease_ages,
        120.0,
        make_node_metrics(),
        confirmed_at=now,
    )


async def ask_readers(leadership, is_enough, for_s=10.0):
    """Let a placer ask other VMs for a while, or until that is enough."""
    leadership.load(QueueTable(), [], [])
    task = await curio.spawn(leadership._ask_readers, daemon=True)
    give_up_at = boottime() + for_s
    while boottime() < give_up_at and not is_enough():
        await curio.sleep(0.01)
    await task.cancel()


# Guards against a call to each VM of a large site at each hand-over, and against a
# second one to VMs that have answered or are of an earlier build.
@pytest.mark.parametrize("earlier_build", [False, True])
def test_a_new_placer_asks_a_bounded_number_of_vms_once(earlier_build):
    asked = []

    async def ask(vm, query):
        asked.append(vm)
        if earlier_build:
            raise ProtocolError("unknown method", step="call")
        return LeaseAges(2.0, 1.0)

    async def scenario():
        leadership = lead_with_members(300, ask)
        read_at = leadership.job_index.leases_read_at
        await ask_readers(leadership, lambda: False, 3 * ASK_INTERVAL_S)
        assert len(asked) == len(set(asked)) == MAX_READERS
        assert "vm0" not in asked
        earlier_at = leadership.placer.inherited.newest_read_at
        assert earlier_at == read_at if earlier_build else earlier_at < read_at - 0.9

    run_to_end(scenario)


# Guards against a placer that asks the same VMs again and again while others would
# answer, and against one that gives up VMs that have not read its claim yet.
@pytest.mark.parametrize("n_members", [300, 3])
def test_vms_without_an_answer_are_asked_again_after_the_others(n_members):
    asked = []

    async def ask(vm, query):
        asked.append(vm)
        if len(asked) % 2:
            raise UnavailableError("cut off", step="connect", peer=vm)

    async def scenario():
        n_others = n_members - 1
        n_calls = 3 * min(MAX_READERS, n_others)
        leadership = lead_with_members(n_members, ask)
        await ask_readers(leadership, lambda: len(asked) >= n_calls)
        assert len(asked) == n_calls
        assert len(set(asked)) == min(n_calls, n_others)

    run_to_end(scenario)


# Guards against questions without end, for leases that have lapsed.
def test_a_new_placer_asks_nobody_when_all_leases_have_lapsed():
    async def scenario():
        leadership = lead_with_members(3, None)
        leadership.placer.predecessor_ended_at = boottime() - 60
        late = replace(leadership.job_index.leases, earlier_left_s=0.0)
        reading = leadership.job_index.lease_reading
        leadership.job_index.lease_reading = replace(reading, record=late)
        await ask_readers(leadership, lambda: False, ASK_INTERVAL_S)
        assert not leadership._reader_calls

    run_to_end(scenario)


# Guards against a time since the end of the previous term that stays bounded by the
# late reading of a record, although another VM has read the record in time.
def test_an_earlier_reading_counts_for_the_end_of_the_predecessor_told_before():
    async def ask(vm, query):
        return LeaseAges(8.0, 4.0)

    async def scenario():
        leadership = lead_with_members(2, ask)
        now = boottime()
        leadership._told_ended_at = now - 6
        leadership.load(QueueTable(), [], [])
        note_predecessor_ended(leadership.placer, now - 6)
        placer = leadership.placer
        earliest = placer.inherited.newest_read_at - MAX_READ_LAG_S
        assert placer.predecessor_ended_at == earliest > now - 6
        await ask_readers(leadership, lambda: placer.predecessor_ended_at < earliest)
        assert placer.predecessor_ended_at == now - 6

    run_to_end(scenario)
