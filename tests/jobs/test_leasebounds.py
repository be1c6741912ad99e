"""Tests of the ends of leases that one term hands to the next."""

from __future__ import annotations

import math
from dataclasses import replace

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cuminhill.jobs.fleet import CLOCK_DRIFT, LeaseTimes
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.leasebounds import (
    LIST_AFTER_S,
    MAX_READ_LAG_S,
    NO_INHERITED_LEASES,
    REWRITE_INTERVAL_S,
    InheritedLeases,
    LeaseAges,
    LeaseJournal,
    LeaseQuery,
    TermEnd,
    lapse_at,
    latest_lapse_at,
    list_unreached,
    note_predecessor_ended,
)
from cuminhill.jobs.placer import Placer, PlacerTimes
from cuminhill.jobs.progress import decode_progress, encode_progress
from cuminhill.jobs.records import (
    LEADER_KEY,
    LEASES_KEY,
    MAX_RECORD_BYTES,
    JournalRecord,
    LeaderRecord,
    LeaseBound,
    LeaseRecord,
    decode_lease_record,
    encode_leader_record,
    encode_lease_record,
    is_placer_key,
    make_claim,
)
from cuminhill.jobs.taskstates import TaskState

from .builders import (
    BEGUN_AT,
    WALL,
    answer_renewal,
    make_entry,
    make_job,
    make_placer,
    make_queue,
    make_report,
    make_step,
    make_table,
    mark_started,
    running_row,
    submit,
    task_key,
)

NOW = BEGUN_AT
LIFE = ("w1", 1)
ADDRESS = "127.0.0.1:1"
STEP_S = 0.25
RENEWAL_S = 3 * STEP_S  # between records of a placer that has nothing else to write
ABSENT_S = 9.0  # longest time for which a lasting task may not run
ROUNDING_S = 1e-6
START_S = 2.0  # until the process that replaces a killed one answers


def fold_claim(
    index: JobIndex, term: int, now: float, earlier_build: bool = False
) -> None:
    record = make_claim(term, f"vm{term}", f"n{term}", index.leader_record)
    if earlier_build:
        record = LeaderRecord(record.term, record.vm, record.nonce)
    index.fold(JournalRecord(0, LEADER_KEY, encode_leader_record(record)), now)


def fold_leases(index: JobIndex, term: int, left_s: float, now: float) -> None:
    record = LeaseRecord(term, ADDRESS, 2.0, (LeaseBound(*LIFE, left_s),))
    index.fold(JournalRecord(0, LEASES_KEY, encode_lease_record(record)), now)


def lose_worker(placer: Placer, now: float) -> float:
    """Have w1 run a task and stop answering; return when its leases have lapsed."""
    worker = placer.workers["w1"]
    worker.record_lease(worker.lease_end_ms(now, placer.times.lease.lease_s))
    placer.worker_unreachable("w1", now, closed=True)
    return worker.lapse_at


def next_term(before: Placer, now: float, bounds: dict) -> Placer:
    """Return the placer of the next term with the jobs of an earlier one."""
    placer = Placer(before.term + 1, now)
    placer.table = before.table
    placer.inherited = InheritedLeases(before.term, ADDRESS, now, bounds)
    placer.register_worker(make_entry("w2"), now)
    for progress in before.jobs.values():
        copy = decode_progress(progress.job, encode_progress(progress))
        placer.add_job(copy, now)
    answer_renewal(placer, "w2", now)
    return placer


# Guards against bounds of a term that another term of an earlier build followed, which
# may have extended the leases since, without a record of its own.
@pytest.mark.parametrize("earlier", [2, 3])
def test_a_record_does_not_count_after_a_term_that_may_have_left_none(earlier):
    index = JobIndex()
    fold_claim(index, 1, NOW)
    fold_leases(index, 1, 3.0, NOW + 1)
    for term in (2, 3, 4):
        fold_claim(index, term, NOW + term, earlier_build=term == earlier)
    assert index.inherited_leases() == NO_INHERITED_LEASES
    fold_leases(index, 4, 1.0, NOW + 5)
    fold_claim(index, 5, NOW + 6)
    assert index.inherited_leases().term == 4


# Guards against a wait that begins anew with terms that were claimed and not begun, or
# that ended before their first record of leases: they have extended no lease.
def test_a_record_counts_until_a_later_term_has_stored_one():
    index = JobIndex()
    fold_claim(index, 1, NOW)
    fold_leases(index, 1, 3.0, NOW + 1)
    expected = InheritedLeases(
        1,
        ADDRESS,
        NOW + 3,
        {LIFE: NOW + 4},
        newest_read_at=NOW + 1,
        silent_since={LIFE: NOW + 1},
    )
    for term in (2, 3, 4):
        fold_claim(index, term, NOW + term)
        assert index.inherited_leases() == expected
    fold_leases(index, 4, 1.0, NOW + 5)
    fold_claim(index, 5, NOW + 6)
    expected = InheritedLeases(
        4,
        ADDRESS,
        NOW + 7,
        {LIFE: NOW + 6},
        newest_read_at=NOW + 5,
        silent_since={LIFE: NOW + 5},
    )
    assert index.inherited_leases() == expected


# Guards against a wait that begins anew with a claim whose writer had not read the one
# before it: a slow store refuses further claims of a term before it shows the first.
def test_a_record_counts_after_claims_that_do_not_know_of_each_other():
    index = JobIndex()
    fold_claim(index, 1, NOW)
    first = index.leader_record
    fold_leases(index, 1, 3.0, NOW + 1)
    for term in (2, 3):
        claim = make_claim(term, f"vm{term}", f"n{term}", first)
        value = encode_leader_record(claim)
        index.fold(JournalRecord(0, LEADER_KEY, value), NOW + term)
    assert claim.recorded_since == 3
    assert index.inherited_leases().term == 1
    fold_claim(index, 4, NOW + 4)
    assert index.inherited_leases().term == 1
    assert index.recorded_since == 1
    # A renewal of the newest claim does not change what earlier claims say.
    fold_claim(index, 4, NOW + 5)
    assert index.recorded_since == 1


# Guards against bounds of a term of an earlier build before claims that say so of none.
def test_a_claim_does_not_speak_for_a_term_of_an_earlier_build():
    index = JobIndex()
    fold_claim(index, 1, NOW)
    fold_leases(index, 1, 3.0, NOW + 1)
    first = index.leader_record
    fold_claim(index, 2, NOW + 2, earlier_build=True)
    claim = make_claim(3, "vm3", "n3", first)
    value = encode_leader_record(claim)
    index.fold(JournalRecord(0, LEADER_KEY, value), NOW + 3)
    assert index.inherited_leases() == NO_INHERITED_LEASES


# Guards against bounds of a record that is no longer the newest: a snapshot shows the
# claim before the record of its own term, which has replaced that of the term before.
def test_a_record_from_before_a_snapshot_does_not_count_for_its_claim():
    index = JobIndex()
    fold_claim(index, 1, NOW)
    fold_leases(index, 1, 3.0, NOW + 1)
    claim = make_claim(3, "vm3", "n3", LeaderRecord(2, "vm2", "n2", recorded_since=1))
    leases = encode_lease_record(LeaseRecord(3, ADDRESS))
    index.fold_snapshot(
        [
            JournalRecord(20, LEADER_KEY, encode_leader_record(claim)),
            JournalRecord(21, LEASES_KEY, leases),
        ],
        NOW + 9,
    )
    assert index.inherited_leases() == NO_INHERITED_LEASES


# Guards against bounds of a term that another term of an earlier build followed.
def test_only_the_record_of_the_previous_term_of_an_earlier_build_counts():
    index = JobIndex()
    fold_claim(index, 1, NOW, earlier_build=True)
    fold_leases(index, 1, 3.0, NOW + 1)
    fold_claim(index, 2, NOW + 2, earlier_build=True)
    expected = InheritedLeases(
        1,
        ADDRESS,
        NOW + 3,
        {LIFE: NOW + 4},
        newest_read_at=NOW + 1,
        silent_since={LIFE: NOW + 1},
    )
    assert index.inherited_leases() == expected
    fold_claim(index, 3, NOW + 3, earlier_build=True)
    assert index.inherited_leases() == NO_INHERITED_LEASES
    fold_leases(index, 3, 1.0, NOW + 3)
    fold_claim(index, 4, NOW + 3.5, earlier_build=True)
    expected = InheritedLeases(
        3,
        ADDRESS,
        NOW + 5,
        {LIFE: NOW + 4},
        newest_read_at=NOW + 3,
        silent_since={LIFE: NOW + 3},
    )
    assert index.inherited_leases() == expected


# Guards against trust in a record after claims that were not read, since a snapshot
# has left them out.
def test_a_record_does_not_count_after_a_claim_that_was_not_read():
    index = JobIndex()
    fold_claim(index, 1, NOW)
    fold_leases(index, 1, 3.0, NOW)
    fold_claim(index, 3, NOW + 1)
    assert index.inherited_leases() == NO_INHERITED_LEASES


# Guards against a record of another writer that stops a VM or gives a false bound.
@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[1",
        b"7",
        b'{"term":1}',
        b'{"term":1,"address":"a:1","earlier_left_ms":0,"left_ms":[["w1",1]]}',
        b'{"term":1,"address":"a:1","earlier_left_ms":0,"left_ms":[["w1",1,"soon"]]}',
        b'{"term":1,"address":"a:1","earlier_left_ms":0,"left_ms":[["w1",1,1e999]]}',
        b'{"term":1,"address":"a:1","earlier_left_ms":null,"left_ms":[]}',
        b'{"term":1,"address":"a:1","earlier_left_ms":0,"left_ms":[],"lapse_ms":-1}',
        b'{"term":1,"address":"a:1","earlier_left_ms":0,"left_ms":[],"lapse_ms":1.5}',
        b'{"term":1,"address":"a:1","earlier_left_ms":0,"left_ms":[],"silent_ms":[1]}',
        b"[" * 100_000,
    ],
)
def test_an_odd_lease_record_is_counted_and_ignored(value):
    index = JobIndex()
    fold_claim(index, 1, NOW)
    index.fold(JournalRecord(1, LEASES_KEY, value), NOW)
    fold_claim(index, 2, NOW)
    assert index.n_bad_records == 1
    assert index.inherited_leases() == NO_INHERITED_LEASES


# Guards against bounds of an earlier term after one whose record can't be read, such as
# one of a later build: it may have extended the leases since.
def test_an_earlier_record_does_not_count_after_an_unreadable_one():
    index = JobIndex()
    fold_claim(index, 1, NOW)
    fold_leases(index, 1, 3.0, NOW)
    fold_claim(index, 2, NOW + 1)
    assert index.inherited_leases().term == 1
    index.fold(JournalRecord(1, LEASES_KEY, b'{"term":2}'), NOW + 2)
    fold_claim(index, 3, NOW + 3)
    assert index.inherited_leases() == NO_INHERITED_LEASES


# Guards against a wait that begins anew with each term, for a worker that has left.
def test_a_task_starts_when_the_leases_have_lapsed_whatever_the_number_of_terms():
    placer = make_placer(n_workers=1)
    submit(placer, make_job(make_step(long_running=True)))
    mark_started(placer, placer.decide(NOW, WALL)[0])
    lapse = lose_worker(placer, NOW)
    for number in range(4):
        now = NOW + 1 + number
        bounds = list_unreached(placer, now)
        assert bounds == {LIFE: pytest.approx(lapse, abs=0.01)}
        placer = next_term(placer, now, bounds)
        placer.tick(now)
        assert placer.decide(now, WALL)[0] == []
    placer.tick(lapse + 0.1)
    (run,) = placer.decide(lapse + 0.1, WALL)[0]
    assert (run.worker_id, run.run) == ("w2", 2)


# Guards against a wait for a predecessor that has ended, and against a wait that ends
# while a placer before it may still extend leases.
@pytest.mark.parametrize("earlier_s", [0.0, 8.0])
def test_the_longest_lease_counts_from_the_end_of_all_earlier_terms(earlier_s):
    placer = Placer(3, NOW)
    times = placer.times
    latest = NOW + times.max_unconfirmed_s + times.lease.lapse_s
    assert latest_lapse_at(placer) == latest
    placer.inherited = InheritedLeases(2, ADDRESS, NOW + earlier_s, {})
    placer.register_worker(make_entry("w1"), NOW)
    assert placer.workers["w1"].lapse_at == latest
    note_predecessor_ended(placer, NOW + 0.5)
    expected = NOW + max(0.5 + times.lease.lapse_s, earlier_s)
    assert latest_lapse_at(placer) == expected
    assert lapse_at(placer, ("w9", 1)) == expected
    assert placer.workers["w1"].lapse_at == expected


# Guards against a wait that counts from the begin of a term, although its predecessor
# was last confirmed earlier, and against one that is too short because appends that
# only carry callers' records confirm a predecessor of an earlier build.
@pytest.mark.parametrize("lapse_s", [6.0, math.inf])
def test_the_longest_lease_counts_from_the_newest_record_of_the_predecessor(lapse_s):
    index = JobIndex()
    fold_claim(index, 1, NOW)
    record = LeaseRecord(1, ADDRESS, 0.0, (), lapse_s)
    index.fold(JournalRecord(0, LEASES_KEY, encode_lease_record(record)), NOW + 1)
    fold_claim(index, 2, NOW + 5)
    placer = Placer(2, NOW + 5)
    placer.inherited = index.inherited_leases()
    legacy = NOW + 5 + placer.times.max_unconfirmed_s + placer.times.lease.lapse_s
    assert latest_lapse_at(placer) == min(NOW + 1 + lapse_s, legacy)


# Guards against a record that confirms a placer and that the next term does not count:
# its wait for leases would end too early.
@pytest.mark.parametrize(
    ("key", "value", "counts"),
    [
        (LEADER_KEY, encode_leader_record(LeaderRecord(1, "vm1", "n1")), True),
        (LEADER_KEY, b"[1", True),
        (LEASES_KEY, b"[1", True),
        ("speeds", b"{}", True),
        ("run/a", b"", True),
        ("run/a", b"[1", True),
        ("job/a", b"", False),
        ("cancel/a", b"1", False),
        ("vm/a", b"", False),
        ("resigned", b"[1", False),
        ("odd", b"", False),
    ],
)
def test_the_newest_record_of_a_placer_is_one_under_a_key_of_placers(
    key, value, counts
):
    index = JobIndex()
    fold_claim(index, 1, NOW)
    fold_leases(index, 1, 3.0, NOW)
    index.fold(JournalRecord(0, key, value), NOW + 1)
    fold_claim(index, 2, NOW + 2)
    assert index.predecessor_read_at == NOW + counts
    assert is_placer_key(key) == counts


# Guards against a wait that counts from a record read before a snapshot, which leaves
# out all but the newest record of each key.
def test_records_that_a_snapshot_leaves_out_count_as_read_with_it():
    index = JobIndex()
    fold_claim(index, 1, NOW)
    fold_leases(index, 1, 3.0, NOW)
    index.note_snapshot(NOW + 3)
    fold_claim(index, 2, NOW + 3)
    assert index.predecessor_read_at == NOW + 3


# Guards against a false time since the end of the previous term.
def test_no_process_has_ended_a_term_long_before_its_newest_record():
    placer = Placer(2, NOW)
    placer.inherited = InheritedLeases(1, ADDRESS, NOW, {}, newest_read_at=NOW - 1.5)
    note_predecessor_ended(placer, TermEnd(1e9).ended_at(NOW))
    assert placer.predecessor_ended_at == NOW - 1.5 - MAX_READ_LAG_S


# Guards against a clock that runs fast in the process that tells since when a term has
# ended, and against a time that counts from the question.
def test_the_time_since_the_end_of_a_term_counts_back_from_the_answer():
    assert TermEnd().ended_at(NOW) == NOW
    assert TermEnd(2.0).ended_at(NOW) == pytest.approx(NOW - 2.0 * (1 - CLOCK_DRIFT))


def fold_at(index: JobIndex, offset: int, key: str, value: bytes, now: float) -> None:
    index.fold(JournalRecord(offset, key, value), now)


def list_worker(left_s: float) -> bytes:
    record = LeaseRecord(1, ADDRESS, 2.0, (LeaseBound(*LIFE, left_s),), 6.0)
    return encode_lease_record(record)


def read_late(records: list[tuple[int, str, bytes]], now: float) -> JobIndex:
    """Return the index of a VM that reads the records with a snapshot."""
    index = JobIndex()
    index.fold_snapshot([JournalRecord(*row) for row in records], now)
    return index


FIRST_CLAIM = encode_leader_record(make_claim(1, "vm1", "n1"))


# Guards against waits that count from the reading of a snapshot although another VM has
# read the same records when they were written.
def test_all_waits_count_from_the_earliest_reading_of_the_same_records():
    records = [(0, LEADER_KEY, FIRST_CLAIM), (1, LEASES_KEY, list_worker(4.0))]
    follower = JobIndex()
    for offset, key, value in records:
        fold_at(follower, offset, key, value, NOW + offset)
    late = read_late(records, NOW + 3)
    for index in (follower, late):
        fold_claim(index, 2, NOW + 4)
    # Neither a record of the new term nor a renewal of its claim changes the answer.
    later = encode_lease_record(LeaseRecord(2, ADDRESS))
    fold_at(follower, 3, LEASES_KEY, later, NOW + 4.5)
    fold_claim(follower, 2, NOW + 4.5)
    assert follower.leases.term == 2
    placer = Placer(2, NOW + 4)
    placer.inherited = late.inherited_leases()
    placer.register_worker(make_entry("w1"), NOW + 4)
    assert lapse_at(placer, LIFE) == NOW + 7
    assert latest_lapse_at(placer) == NOW + 9
    reading = late.lease_reading
    ages = follower.lease_ages(reading.query, NOW + 5)
    assert ages == LeaseAges(4.0, 4.0)
    reading = reading.with_ages(ages, NOW + 5)
    placer.inherited = reading.inherited()
    note_predecessor_ended(placer, math.inf)
    drift_s = 4 * CLOCK_DRIFT
    assert lapse_at(placer, LIFE) == pytest.approx(NOW + 5 + drift_s)
    assert placer.workers["w1"].lapse_at == lapse_at(placer, LIFE)
    assert lapse_at(placer, ("w9", 1)) == pytest.approx(NOW + 7 + drift_s)
    assert placer.inherited.earlier_lapse_at == pytest.approx(NOW + 3 + drift_s)
    # A VM that has read them later changes nothing.
    assert reading.with_ages(LeaseAges(1.0, 0.5), NOW + 5) == reading


# Guards against two runs of a task: a VM that has not read the newest record of a term
# counts from an earlier one, in which a worker was listed whose leases the term has
# extended since.
def test_a_vm_that_has_read_another_record_of_the_term_does_not_answer():
    records = [(0, LEADER_KEY, FIRST_CLAIM), (2, LEASES_KEY, list_worker(4.0))]
    other = read_late([records[0], (1, LEASES_KEY, list_worker(4.0))], NOW)
    late = read_late(records, NOW + 3)
    for index in (other, late):
        fold_claim(index, 2, NOW + 4)
    assert other.lease_ages(late.lease_reading.query, NOW + 5) is None
    assert late.lease_ages(late.lease_reading.query, NOW + 5) == LeaseAges(2.0, 2.0)


# Guards against a VM that answers for a claim that it has not read, so that records of
# terms before it may still follow.
def test_a_vm_answers_only_about_the_newest_claim_that_it_has_read():
    index = JobIndex()
    fold_at(index, 0, LEADER_KEY, FIRST_CLAIM, NOW)
    fold_at(index, 1, LEASES_KEY, list_worker(4.0), NOW)
    query = LeaseQuery(2, "n2", 1)
    assert index.lease_ages(query, NOW) is None
    fold_claim(index, 2, NOW + 1)
    assert index.lease_ages(query, NOW + 1) == LeaseAges(1.0, 1.0)
    assert index.lease_ages(replace(query, nonce="other"), NOW + 1) is None
    fold_claim(index, 3, NOW + 2)
    assert index.lease_ages(query, NOW + 2) is None


# Guards against a shorter wait for a worker that has answered this term meanwhile.
def test_the_end_of_the_predecessor_changes_nothing_for_a_worker_that_has_answered():
    placer = make_placer(n_workers=1)
    placer.inherited = InheritedLeases(1, ADDRESS, NOW, {})
    lapse = lose_worker(placer, NOW + 3)
    note_predecessor_ended(placer, NOW + 3)
    assert placer.workers["w1"].lapse_at == lapse


# Guards against two runs of a task: a new incarnation may have accepted a start of this
# term that was meant for the one before, and its lease outlasts those of the previous
# term.
def test_the_end_of_the_predecessor_changes_nothing_for_a_restarted_worker():
    placer = make_placer(n_workers=1)
    placer.inherited = InheritedLeases(1, ADDRESS, NOW - 9, {})
    submit(placer, make_job(make_step(long_running=True)))
    (run,) = placer.decide(NOW, WALL)[0]
    slot = placer.sendable_slot(run, NOW + 2)
    slot.sent, slot.fencing_token = True, placer.workers["w1"].fencing_token
    placer.register_worker(make_entry("w1", incarnation=2), NOW + 2)
    note_predecessor_ended(placer, NOW - 2)
    assert placer.workers["w1"].lapse_at >= NOW + 2 + placer.times.lease.lapse_s


# Guards against leases that are extended although the journal says that they lapse.
def test_a_listed_worker_is_used_again_once_a_record_without_it_is_stored():
    placer = make_placer(n_workers=1)
    submit(placer, make_job(make_step(1, long_running=True)))
    runs = placer.decide(NOW, WALL)[0]
    mark_started(placer, runs)
    lose_worker(placer, NOW)
    worker = placer.workers["w1"]
    journal = LeaseJournal(placer, ADDRESS)
    assert journal.prepare(NOW + LIST_AFTER_S / 2).bounds == ()
    journal.note_stored()
    assert journal.prepare(NOW + 2 * LIST_AFTER_S).bounds
    journal.note_stored()
    answer_renewal(placer, "w1", NOW + 1, running=(running_row(runs[0]),))
    assert worker.reachable
    assert not worker.may_extend_leases()
    assert not worker.accepts_starts()
    assert journal.prepare(NOW + 1).bounds == ()
    assert not worker.may_extend_leases()
    journal.note_stored()
    assert worker.may_extend_leases()
    assert worker.accepts_starts()


# Guards against leases that are extended on a worker that the journal lists: its runs
# were listed before it had registered in this term.
def test_a_listed_worker_that_registers_later_gets_no_lease_before_the_next_record():
    first = make_placer(n_workers=1)
    progress = submit(first, make_job(make_step(long_running=True)))
    runs = first.decide(NOW, WALL)[0]
    mark_started(first, runs)
    second = Placer(2, NOW)
    second.table = make_table(make_queue())
    second.add_job(decode_progress(progress.job, encode_progress(progress)), NOW)
    journal = LeaseJournal(second, ADDRESS)
    assert [row.worker_id for row in journal.prepare(NOW).bounds] == ["w1"]
    journal.note_stored()
    second.register_worker(make_entry("w1"), NOW + 1)
    answer_renewal(second, "w1", NOW + 1, running=(running_row(runs[0]),))
    assert not second.workers["w1"].may_extend_leases()
    assert not second.workers["w1"].accepts_starts()


# Guards against a healthy worker that is listed on each short silence, because an
# earlier term had listed it: it gets no lease and no start until two appends are
# stored.
def test_a_worker_that_answered_this_term_is_listed_only_after_a_silence():
    first = make_placer(n_workers=1)
    progress = submit(first, make_job(make_step(long_running=True)))
    runs = first.decide(NOW, WALL)[0]
    mark_started(first, runs)
    second = Placer(2, NOW)
    second.table = first.table
    second.inherited = InheritedLeases(1, ADDRESS, NOW, {("w1", 1): NOW + 3})
    second.register_worker(make_entry("w1"), NOW)
    second.add_job(decode_progress(progress.job, encode_progress(progress)), NOW)
    answer_renewal(second, "w1", NOW, running=(running_row(runs[0]),))
    journal = LeaseJournal(second, ADDRESS)
    journal.prepare(NOW)
    journal.note_stored()
    second.worker_unreachable("w1", NOW + 60, closed=True)
    journal.prepare(NOW + 60 + LIST_AFTER_S / 2)
    answer_renewal(second, "w1", NOW + 60.2, running=(running_row(runs[0]),))
    assert second.workers["w1"].may_extend_leases()


# Guards against a wait for a record that a VM read late, which is longer than any lease
# that can have been granted.
def test_an_inherited_bound_does_not_prolong_the_wait():
    placer = Placer(2, NOW)
    placer.inherited = InheritedLeases(1, ADDRESS, NOW, {LIFE: NOW + 60})
    assert lapse_at(placer, LIFE) == latest_lapse_at(placer)


# Guards against a bound that counts from the wrong moment.
def test_the_record_holds_the_time_left_when_it_is_made():
    placer = Placer(3, NOW)
    bounds = {LIFE: NOW + 2.5, ("w0", 4): NOW - 1}
    placer.inherited = InheritedLeases(2, ADDRESS, NOW, bounds)
    for worker_id, incarnation in bounds:
        task = TaskState(1, worker=worker_id, incarnation=incarnation)
        placer.not_adopted[task_key(len(placer.not_adopted))] = task
    record = LeaseJournal(placer, ADDRESS).prepare(NOW)
    left_s = pytest.approx(latest_lapse_at(placer) - NOW)
    rows = (LeaseBound("w0", 4, 0.0), LeaseBound(*LIFE, 2.5))
    lapse_s = placer.times.unconfirmed_lapse_s
    assert record == LeaseRecord(3, ADDRESS, left_s, rows, lapse_s)
    decoded = decode_lease_record(encode_lease_record(record))
    assert decoded.bounds == rows
    assert decoded.lapse_s == pytest.approx(lapse_s, abs=0.001)
    assert decoded.lapse_s >= lapse_s


# Guards against records that a VM takes for new when it reads them after its start,
# and against writing them for ever.
def test_a_record_is_made_anew_only_while_a_lease_may_run():
    placer = make_placer(n_workers=1)
    journal = LeaseJournal(placer, ADDRESS)
    over = latest_lapse_at(placer)
    assert journal.prepare(over).earlier_left_s == 0
    journal.note_stored()
    assert journal.prepare(over + 60) is None
    submit(placer, make_job())
    mark_started(placer, placer.decide(over, WALL)[0], over)
    lapse = lose_worker(placer, over + 60)
    left = []
    for step in range(4):
        now = over + 61 + step * REWRITE_INTERVAL_S
        record = journal.prepare(now)
        journal.note_stored()
        left.append(record.bounds[0].left_s)
        assert journal.prepare(now) is None
    expected = [lapse - over - 61 - step * REWRITE_INTERVAL_S for step in range(4)]
    assert left == pytest.approx(expected)
    placer.tick(lapse + 0.1)
    assert journal.prepare(lapse + 0.1).bounds == ()
    journal.note_stored()
    assert journal.prepare(lapse + 60) is None


# Guards against leases that are extended although the record of a resignation whose
# outcome is unknown says that they lapse.
def test_only_a_record_after_that_of_a_resignation_allows_to_extend_leases():
    placer = make_placer(n_workers=1)
    submit(placer, make_job())
    mark_started(placer, placer.decide(NOW, WALL)[0])
    journal = LeaseJournal(placer, ADDRESS)
    journal.prepare(NOW)
    lose_worker(placer, NOW)
    listed = journal.prepare_resignation(NOW + 1).bounds
    assert [bound.worker_id for bound in listed] == ["w1"]
    placer.workers["w1"].reachable = True
    journal.note_stored()
    assert not placer.workers["w1"].may_extend_leases()
    assert journal.prepare(NOW + 1).bounds == ()
    assert not placer.workers["w1"].may_extend_leases()
    journal.note_stored()
    assert placer.workers["w1"].may_extend_leases()


# Guards against a term that never extends a lease because the log rejects its first
# record, which lists more workers than a record holds.
def test_a_record_of_leases_fits_into_the_log_whatever_the_number_of_workers():
    bounds = {
        (f"worker-{number:06}", 1 << 41): NOW + number for number in range(17_000)
    }
    placer = make_placer(n_workers=0)
    journal = LeaseJournal(placer, ADDRESS)
    record = journal._make(bounds, NOW)
    assert len(encode_lease_record(record)) < MAX_RECORD_BYTES - len(LEASES_KEY)
    listed = {(item.worker_id, item.incarnation) for item in record.bounds}
    assert placer.listed == listed == set(list(bounds)[: len(listed)])
    assert len(listed) > 2000


class _SimWorker:
    """Worker process behind links that may be cut, with leases on its own clock."""

    def __init__(self, clock_rate: float) -> None:
        self.clock_rate = clock_rate
        self.up = True
        self.cut = False
        self.runs: dict = {}
        self.lease_until = 0.0
        self.fencing_token = 0

    def clock(self, now: float) -> float:
        return NOW + (now - NOW) * self.clock_rate

    def alive_runs(self, now: float) -> dict:
        if not self.up or self.clock(now) > self.lease_until:
            self.runs = {}
        return self.runs


# Workers that are cut off, and whether also from the earlier placers.
CUTS = [
    ((), True),
    (("w1",), True),
    (("w1",), False),
    (("w2",), True),
    (("w1", "w3"), True),
    (("w1", "w3"), False),
]


class LeaseMachine(RuleBasedStateMachine):
    """Workers that crash or are cut off while placers follow one another.

    Guards against two runs of a task at a time, and against a wait that is longer than
    the longest lease which the newest term cannot exclude. A placer may read the
    records late, from a snapshot, and ask a VM that has read them in time or that has
    missed some.
    """

    @initialize()
    def begin(self) -> None:
        self.now = NOW
        rates = [1.0 - CLOCK_DRIFT, 1.0, 1.0 - CLOCK_DRIFT]
        self.sims = {f"w{i + 1}": _SimWorker(rate) for i, rate in enumerate(rates)}
        self.store_up = True
        # Indexes of a VM that reads all records at once, of the placer, and of the VM
        # that the placer asks when it read them.
        self.index = self.own_index = JobIndex()
        self.other = JobIndex()
        self.other_reads = self.other_in_time = True
        self.answers_at = math.inf
        self.stored: dict[str, JournalRecord] = {}
        self.n_stored = 0
        self.journal: dict = {}
        self.placer = Placer(1, NOW)
        self.isolated: list[Placer] = []
        self.cut_all = True  # whether workers are cut off from earlier placers as well
        self.confirmed_at: dict[int, float] = {}
        self.earlier_builds: set[int] = set()
        self.recorded: set[int] = set()  # terms with a record of leases
        # When the process of a term has ended, and from when on it says so.
        self.ends: dict[int, tuple[float, float]] = {}
        self._begin_term(self.placer)
        job = make_job(make_step(2, cores=10.0, long_running=True))
        submit(self.placer, job)
        self.job = job
        self._write(self.placer)  # its first record of leases
        self._renew(self.placer)
        self._write(self.placer)

    def _begin_term(self, placer: Placer) -> None:
        self._claim(placer.term, self.own_index, placer.term in self.earlier_builds)
        self.confirmed_at[placer.term] = self.now
        placer.table = make_table(make_queue())
        placer.inherited = self.own_index.inherited_leases()
        self.reading = self.own_index.lease_reading
        self.timely = self.index.lease_reading
        for worker_id in self.sims:
            placer.register_worker(make_entry(worker_id), self.now)
        self.lease_journal = LeaseJournal(placer, ADDRESS)

    def _claim(self, term: int, index: JobIndex, earlier_build: bool = False) -> None:
        claim = make_claim(term, f"vm{term}", f"n{term}", index.leader_record)
        if earlier_build:
            claim = LeaderRecord(claim.term, claim.vm, claim.nonce)
        self._store(LEADER_KEY, encode_leader_record(claim))

    def _store(self, key: str, value: bytes) -> None:
        """Store a record, which the VMs that reach the journal read at once."""
        record = self.stored[key] = JournalRecord(self.n_stored, key, value)
        self.n_stored += 1
        readers = [self.index, *([self.other] if self.other_reads else [])]
        if self.own_index is not self.index:
            readers.append(self.own_index)
        for index in readers:
            index.fold(record, self.now)

    def _read_snapshot(self, index: JobIndex) -> None:
        records = sorted(self.stored.values(), key=lambda record: record.offset)
        index.fold_snapshot(records, self.now)

    def _ask_reader(self) -> None:
        """Have the placer learn when another VM read what it inherits."""
        if self.now < self.answers_at or self.reading is None:
            return
        ages = self.other.lease_ages(self.reading.query, self.now)
        if ages is None:
            return
        # The other VM's clock runs fast.
        ages = LeaseAges(
            ages.record_s / (1 - CLOCK_DRIFT), ages.newest_s / (1 - CLOCK_DRIFT)
        )
        self.reading = self.reading.with_ages(ages, self.now)
        self.placer.inherited = self.reading.inherited()
        note_predecessor_ended(self.placer, math.inf)

    def _lease_s(self, placer: Placer) -> float:
        """Return the lease that a placer grants now, 0 for none."""
        confirmed_at = self.confirmed_at[placer.term]
        if placer.term not in self.earlier_builds:
            if placer.term not in self.recorded:
                return 0.0
            return placer.times.lease_s_at(self.now, confirmed_at)
        if self.now - confirmed_at >= placer.times.max_unconfirmed_s:
            return 0.0
        return placer.times.lease.lease_s

    def _append(self, placer: Placer, key: str, value: bytes) -> None:
        """Store a record of a placer."""
        self._store(key, value)
        self.confirmed_at[placer.term] = self.now

    def _renew(self, placer: Placer) -> None:
        lease_s = self._lease_s(placer)
        if lease_s <= 0:
            return
        for worker_id, sim in self.sims.items():
            worker = placer.workers[worker_id]
            until = None
            if worker.may_extend_leases():
                until = worker.lease_end_ms(self.now, lease_s)
                worker.record_lease(until)
            fenced = worker.fencing_token < sim.fencing_token
            reached = not sim.cut or (placer is not self.placer and not self.cut_all)
            if not sim.up or not reached or fenced:
                placer.worker_unreachable(worker_id, self.now)
                continue
            sim.alive_runs(self.now)
            sim.fencing_token = worker.fencing_token
            if until is not None:
                sim.lease_until = max(sim.lease_until, until / 1000)
            rows = tuple(running_row(run) for run in sim.runs.values())
            report = make_report(sim.clock(self.now), running=rows)
            placer.process_report(worker_id, worker.fencing_token, report, self.now)

    def _write(self, placer: Placer) -> None:
        if not self.store_up:
            list_unreached(placer, self.now)
            return
        record = self.lease_journal.prepare(self.now)
        placements = placer.decide(self.now, WALL)[0]
        if record is not None:
            if placer.term in self.earlier_builds:
                record = replace(record, lapse_s=math.inf)
            self._append(placer, LEASES_KEY, encode_lease_record(record))
            self.recorded.add(placer.term)
        self.lease_journal.note_stored()
        for job_id, progress in placer.take_dirty().items():
            self.journal[job_id] = encode_progress(progress)
            self._append(placer, f"run/{job_id}", self.journal[job_id])
        if placer.term in self.earlier_builds:
            # Appends that carry only callers' records confirm it as well.
            self.confirmed_at[placer.term] = self.now
        if self.now - self.confirmed_at[placer.term] >= RENEWAL_S:
            claim = encode_leader_record(self.index.leader_record)
            self._append(placer, LEADER_KEY, claim)
        for run in placements:
            slot = placer.sendable_slot(run, self.now)
            worker, sim = placer.workers[run.worker_id], self.sims[run.worker_id]
            if slot is None:
                continue
            slot.sent, slot.fencing_token = True, worker.fencing_token
            until = worker.lease_end_ms(self.now, self._lease_s(placer))
            worker.record_lease(until)
            if not sim.up or sim.cut or worker.fencing_token < sim.fencing_token:
                worker.bump_fencing_token()
                continue
            sim.alive_runs(self.now)
            sim.lease_until = max(sim.lease_until, until / 1000)
            sim.runs[run.key] = run
            clock_ms = int(sim.clock(self.now) * 1000)
            slot.mark_present(clock_ms, self.now, worker.entry.incarnation)
        placer.take_stops()

    def _play(self, duration_s: float) -> None:
        for _ in range(int(duration_s / STEP_S)):
            self.now += STEP_S
            for earlier in self.isolated:
                self._renew(earlier)
            # The process of the inherited term is asked, which need not be the newest:
            # terms between them may have extended no lease.
            inherited_term = self.placer.inherited.term
            ended_at, known_at = self.ends.get(inherited_term, (math.inf, math.inf))
            if self.now >= known_at:
                note_predecessor_ended(self.placer, ended_at)
            self._ask_reader()
            self._renew(self.placer)
            self.placer.tick(self.now)
            self._write(self.placer)
            self.no_task_runs_twice()
        self.answer_makes_up_for_late_reading()

    def answer_makes_up_for_late_reading(self) -> None:
        """Check that the placer waits no longer than one that has read in time."""
        asked = self.now >= self.answers_at and self.other_in_time
        if self.timely is None or not asked:
            return
        timely, known = self.timely.inherited(), self.placer.inherited
        assert known.own_lapse_at <= timely.own_lapse_at + ROUNDING_S
        assert known.earlier_lapse_at <= timely.earlier_lapse_at + ROUNDING_S
        for life, at in timely.bounds.items():
            assert known.bounds[life] <= at + ROUNDING_S
        for worker in self.placer.workers.values():
            if not worker.confirmed_token:
                assert worker.lapse_at <= lapse_at(self.placer, worker.life)

    @rule(
        cut=st.sampled_from(CUTS),
        store_up=st.sampled_from([True, True, False]),
        change=st.sampled_from(["", "", "ended", "restarted", "killed", "isolated"]),
        earlier_build=st.sampled_from([False, False, True]),
        n_unbegun=st.sampled_from([0, 0, 1, 3]),
        late_s=st.sampled_from([None, 0.0, 2.0, 5.0]),
        answer_s=st.sampled_from([0.0, 0.5, 3.0, math.inf]),
        other_reads=st.sampled_from([True, True, True, False]),
        duration_s=st.sampled_from([0.5, 1.0, 4.0, 10.0]),
    )
    def play(
        self,
        cut,
        store_up,
        change,
        earlier_build,
        duration_s,
        *,
        n_unbegun=0,
        late_s=None,
        answer_s=math.inf,
        other_reads=True,
    ):
        cut, self.cut_all = cut
        if other_reads and not self.other_reads:
            self._read_snapshot(self.other)
        self.other_reads = other_reads
        self.other_in_time = self.other_in_time and other_reads
        if change:
            self._change_placer(change, earlier_build, n_unbegun, late_s, answer_s)
        for worker_id, sim in self.sims.items():
            sim.cut = worker_id in cut
        self.store_up = store_up
        self._play(duration_s)

    @precondition(lambda self: sum(sim.up for sim in self.sims.values()) > 2)
    @rule(worker_id=st.sampled_from(["w1", "w2", "w3"]))
    def crash(self, worker_id):
        self.sims[worker_id].up = False

    def _change_placer(
        self,
        change: str,
        earlier_build: bool,
        n_unbegun: int = 0,
        late_s: float | None = None,
        answer_s: float = math.inf,
    ) -> None:
        """Begin a term; an isolated placer goes on renewing without the journal.

        Some terms before it are claimed and not begun. If ``late_s`` is given, the new
        placer reads all records only after this time; another VM tells it when it read
        them ``answer_s`` after the claim.
        """
        before = self.placer
        if change == "isolated":
            self.isolated.append(before)
        known_s = {"ended": 0.0, "restarted": START_S}.get(change, math.inf)
        self.ends[before.term] = self.now, self.now + known_s
        term = before.term + 1 + n_unbegun
        for unbegun in range(before.term + 1, term):
            self._claim(unbegun, self.index)
            self.now += STEP_S
        self.own_index = self.index
        if late_s is not None:
            until = self.now + late_s
            while self.now < until:
                self.now += STEP_S
                for earlier in self.isolated:
                    self._renew(earlier)
                self.no_task_runs_twice()
            self.own_index = JobIndex()
            self._read_snapshot(self.own_index)
        self.answers_at = math.inf if earlier_build else self.now + answer_s
        self.placer = Placer(term, self.now)
        if earlier_build:
            self.earlier_builds.add(self.placer.term)
        self._begin_term(self.placer)
        value = self.journal[self.job.job_id]
        self.placer.add_job(decode_progress(self.job, value), self.now)

    @invariant()
    def no_task_runs_twice(self):
        if not hasattr(self, "sims"):
            return
        keys = [key for sim in self.sims.values() for key in sim.alive_runs(self.now)]
        assert len(keys) == len(set(keys))

    def teardown(self):
        """Check that both tasks run within the longest wait and two retries."""
        if not hasattr(self, "sims"):
            return
        self.store_up = True
        for sim in self.sims.values():
            sim.cut = False
        times, inherited = self.placer.times, self.placer.inherited
        wait_s = times.max_unconfirmed_s + times.lease.lapse_s
        if inherited.term and inherited.term not in self.earlier_builds:
            earlier_s = inherited.earlier_lapse_at - self.now
            wait_s = min(wait_s, max(times.unconfirmed_lapse_s, earlier_s))
            wait_s = min(wait_s, self._timely_wait_s())
        self._play(wait_s + 2 * LIST_AFTER_S + 2.0)
        n_running = sum(len(sim.alive_runs(self.now)) for sim in self.sims.values())
        assert n_running == 2

    def _timely_wait_s(self) -> float:
        """Return the longest wait if a VM has read all records in time, and answers."""
        timely = self.own_index is self.index or self.other_in_time
        if self.timely is None or not timely:
            return math.inf
        inherited = self.timely.inherited()
        bounds = [inherited.own_lapse_at, inherited.earlier_lapse_at]
        if self.own_index is not self.index:
            bounds.append(self.answers_at)
        return max(self.placer.times.lease.lapse_s, max(bounds) - self.now)


def test_no_task_runs_twice_after_a_cut_off_term_whose_successor_reads_late():
    """Guards against a second run while the lease of the first has not lapsed.

    The placer loses the store, and its successor, told that it has ended, reads the
    records 5 s late, while the worker of the run is cut off.
    """
    machine = LeaseMachine()
    machine.begin()
    machine.crash(worker_id="w2")
    steps = {
        "answer_s": 0.0,
        "change": "",
        "cut": ((), True),
        "duration_s": 0.5,
        "earlier_build": False,
        "late_s": None,
        "n_unbegun": 0,
        "other_reads": True,
        "store_up": True,
    }
    plays = [
        *[steps] * 7,
        {**steps, "change": "isolated", "store_up": False},
        {**steps, "change": "ended", "cut": (("w1",), True), "late_s": 5.0},
    ]
    for play in plays:
        machine.play(**play)
        machine.no_task_runs_twice()


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(max_examples=150, stateful_step_count=15, deadline=None)


# Guards against a task that starts anew while a placer that does not reach the journal
# still extends the leases on its worker, whose clock is slow: one of this build, or of
# an earlier one, which callers' records confirm and which leaves no bound.
@pytest.mark.parametrize("earlier_build", [False, True], ids=["this", "earlier"])
@pytest.mark.parametrize("cut", CUTS[1:], ids=str)
def test_no_task_runs_twice_beside_an_isolated_placer(cut, earlier_build):
    machine = LeaseMachine()
    machine.begin()
    machine.play(CUTS[0], True, "killed", earlier_build, 12.0)
    machine.play(cut, True, "isolated", False, 12.0)
    machine.teardown()


# Guards against a wait that counts from the time at which the VM that is asked read an
# earlier record of the same term, in which the worker was listed as well: the term has
# extended its leases in between.
def test_no_task_runs_twice_if_the_vm_that_is_asked_has_missed_records():
    machine = LeaseMachine()
    machine.begin()
    uncut, cut = CUTS[0], (("w1", "w2"), True)
    machine.play(cut, True, "", False, 1.0)
    assert machine.other.leases.bounds
    machine.play(uncut, True, "", False, 10.0, other_reads=False)
    machine.play(cut, True, "", False, 1.0, other_reads=False)
    assert machine.index.leases.bounds
    late = {"late_s": 0.0, "answer_s": 0.0}
    machine.play(cut, True, "killed", False, 0.5, other_reads=False, **late)
    machine.play(cut, True, "", False, 10.0)
    machine.teardown()


# Guards against a wait that moves on with each placer that reads the records late.
@pytest.mark.parametrize("cut", CUTS, ids=str)
def test_late_placers_wait_no_longer_than_one_that_has_read_in_time(cut):
    machine = LeaseMachine()
    machine.begin()
    machine.play(CUTS[0], True, "", False, 10.0)
    machine.play(cut, True, "", False, 0.5)
    for _ in range(3):
        machine.play(cut, True, "killed", False, 1.0, late_s=2.0, answer_s=0.5)
    machine.teardown()


# Guards against leases that outlast the bound that the next term counts with, and
# against ones that end sooner in an outage of the journal than they have to.
def test_leases_end_a_fixed_time_after_the_last_confirmation():
    times = PlacerTimes()
    lengths = [
        times.lease_s_at(NOW + age, NOW) for age in (0.0, 2.5, 4.5, 7.0, 7.5, 60)
    ]
    assert lengths == [5.0, 5.0, 3.0, 0.5, 0.0, 0.0]
    short = PlacerTimes(LeaseTimes(lease_s=2.0))
    lengths = [short.lease_s_at(NOW + age, NOW) for age in (0.0, 4.0, 5.0, 6.0)]
    assert lengths == [2.0, 2.0, 1.0, 0.0]
    for given in (times, short):
        longest_s = given.max_unconfirmed_s + given.lease.lapse_s
        assert given.hold_s < given.unconfirmed_lapse_s <= longest_s + 0.1


# Guards against tasks that end in an outage of the journal that their leases can
# outlast, and against leases that run on after it.
@pytest.mark.parametrize(("outage_s", "survive"), [(7.0, True), (9.0, False)])
def test_tasks_outlast_a_short_outage_of_the_journal(outage_s, survive):
    machine = LeaseMachine()
    machine.begin()
    machine.play(CUTS[0], True, "", False, 12.0)
    before = [dict(sim.alive_runs(machine.now)) for sim in machine.sims.values()]
    assert sum(map(len, before)) == 2
    machine.now = machine.confirmed_at[1]
    machine.play(CUTS[0], False, "", False, outage_s)
    after = [sim.alive_runs(machine.now) for sim in machine.sims.values()]
    assert after == (before if survive else [{}, {}, {}])
    machine.teardown()


# Guards against a wait for a predecessor that never answers which counts from the begin
# of the term, or from the last lease that it can have granted by then.
def test_a_task_of_a_placer_that_never_returns_starts_again_after_its_last_record():
    machine = LeaseMachine()
    machine.begin()
    machine.play(CUTS[0], True, "ended", False, 12.0)
    placer, index = machine.placer, machine.index
    (worker_id, run), *_ = [
        (name, run) for name, sim in machine.sims.items() for run in sim.runs.values()
    ]
    machine.sims[worker_id].up = False
    record_at = index.placer_read_at
    machine.now += 1.5  # an election timeout later
    machine.play(CUTS[0], True, "killed", False, 0.25)
    lapse_s = placer.times.unconfirmed_lapse_s
    assert lapse_s + 0.5 < ABSENT_S
    machine.play(CUTS[0], True, "", False, record_at + lapse_s + 0.5 - machine.now)
    runs = [item for sim in machine.sims.values() for item in sim.runs.values()]
    assert run.run + 1 in [item.run for item in runs if item.key == run.key]
    machine.teardown()
