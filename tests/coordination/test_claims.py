"""Index of requests: races, expiry, refreshes, restarts and bounds."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminhill.coordination import claims, horizon
from cuminhill.coordination.claims import (
    Bookmark,
    Cancel,
    Claim,
    Done,
    Refresh,
    RequestIndex,
    Started,
    make_request_index,
    record_from_dict,
    record_to_dict,
)
from cuminhill.coordination.recovery import from_snapshot, restart_point, to_snapshot
from cuminhill.coordination.retention import (
    bookmark_due,
    bookmark_record,
    due_refreshes,
    first_needed_offset,
    refresh_record,
)

WINDOW_S = 1000.0
RETENTION_S = 4.0 * WINDOW_S
IDS = ("r0", "r1", "r2")


@pytest.fixture(autouse=True)
def _fine_marks(monkeypatch):
    """Let short logs have restart points at every record."""
    monkeypatch.setattr(horizon, "MARK_EVERY_RECORDS", 1)


def claim(request_id="r", shard="a", at=0.0):
    return Claim(request_id, shard, {"id": request_id}, at)


def started(prior=-1, by="p", request_id="r", origin=-1):
    return Started(request_id, f"{request_id}/0", "w", 1, "i", by, prior, origin)


def done(at, state="done", request_id="r", **fields):
    return Done(request_id, {"state": state}, at, **fields)


def folded(*records, start=0):
    index = make_request_index(WINDOW_S)
    for offset, record in enumerate(records, start):
        index.apply(offset, record)
    return index


def view(index):
    """Return what must be the same in every process."""
    return {
        key: (
            entry.shard,
            entry.origin,
            entry.at,
            dict(entry.started_offsets),
            entry.cancelled,
            entry.answer,
        )
        for key, entry in index.entries.items()
    }


@pytest.mark.parametrize(
    ("first", "second", "n_valid"),
    [
        (Cancel("r"), started(), 0),
        (started(), Cancel("r"), 1),
        (done(1.0), started(), 0),
        (started(), started(), 1),
        (started(by="p"), started(by="q"), 1),
        (started(origin=7), started(origin=0), 1),
    ],
)
def test_first_of_two_racing_records_counts(first, second, n_valid):
    """Guards against a start after a cancel, an end or another start."""
    index = folded(claim(), first, second)
    assert len(index.get("r").started) == n_valid
    assert index.n_void_starts + n_valid == 1 + isinstance(first, Started) * (
        isinstance(second, Started)
    )


def test_not_run_is_void_after_an_unseen_start():
    """Guards against a paused placer that denies another placer's start."""
    records = [claim(), started(by="q"), done(9.0, "not_run", seen=-1)]
    assert folded(*records).get("r").live
    assert not folded(*records, done(9.0, "not_run", seen=1)).get("r").live
    assert not folded(claim(), done(9.0, "not_run", seen=-1)).get("r").live


def test_repeated_records_are_harmless():
    """Guards against a lost append reply that claims or ends twice."""
    once = folded(claim(), started(), done(5.0))
    twice = folded(claim(), claim(), started(), started(), done(5.0), claim())
    assert once.get("r").answer == twice.get("r").answer
    assert twice.n_lost_claims == 2


@pytest.mark.parametrize(
    ("at", "known"), [(WINDOW_S + 10.0, True), (WINDOW_S + 10.1, False)]
)
def test_expiry_depends_on_the_records_alone(at, known):
    """Guards against processes that disagree whether a repeat is new."""
    index = folded(claim(), done(10.0), claim(shard="b", at=at))
    assert index.get("r").live is not known
    assert index.get("r").shard == ("a" if known else "b")


def test_records_of_a_paused_placer_are_void():
    """Guards against a late claim, refresh, start or end for an id claimed anew."""
    before = folded(claim())
    late_refresh = refresh_record(before, before.get("r"), 1.0)
    late = [
        claim(shard="z", at=1.0),
        late_refresh,
        started(origin=0),
        done(1.0, origin=0),
        Cancel("r", origin=0),
    ]
    again = claim(shard="b", at=3000.0)
    index = folded(claim(), done(10.0), again, *late)
    assert view(index) == view(folded(claim(), done(10.0), again))


def test_delayed_result_is_kept():
    """Guards against a result that expires at once when recorded after an outage."""
    index = folded(claim(), claim("x", at=9000.0), done(10.0))
    assert index.get("r").answer is not None


def test_losing_claim_stays_void_when_the_winning_one_is_dropped():
    """Guards against a restart that folds a losing claim first."""
    base = [claim(), claim(shard="b", at=1.0), claim("x", at=2.0)]
    full = folded(*base)
    refresh = refresh_record(full, full.get("r"), 3.0)
    full.apply(3, refresh)
    late = make_request_index(WINDOW_S)
    late.reset_to(1, 0.0)
    for offset, record in enumerate([*base[1:], refresh], 1):
        late.apply(offset, record)
    assert view(late)["r"] == view(full)["r"]
    ended = folded(claim(), done(5.0), claim("x", at=6.0), claim(shard="b", at=7.0))
    ended.apply(4, claim("y", at=5000.0))
    assert "r" not in ended.entries
    # "x" needs 2, and the losing claim at 3 must not be folded without the claim at 0.
    assert first_needed_offset(ended) == 0


def test_records_between_as_of_and_refresh_count():
    """Guards against a restart that loses a start, so that the order runs twice."""
    full = folded(claim())
    refresh = refresh_record(full, full.get("r"), 1.0)
    for offset, record in enumerate([started(), refresh], 1):
        full.apply(offset, record)
    assert first_needed_offset(full) == 1
    late = make_request_index(WINDOW_S)
    late.reset_to(1, 0.0)
    late.apply(1, started())
    late.apply(2, refresh)
    assert view(late) == view(full)
    assert late.get("r").started_offsets == {"r/0": 1}


def test_unconfirmed_claims_are_not_placed():
    """Guards against a replay from the log's start that runs a finished order again."""
    index = folded(claim(at=50.0), claim("x", at=60.0), start=7)
    assert not index.exact
    assert (index.live_entries("a"), bookmark_record(index)) == ([], None)
    other = folded(claim("x", at=60.0))
    index.apply(9, replace(refresh_record(other, other.get("x"), 61.0), origin=5))
    assert [entry.request_id for entry in index.live_entries("a")] == ["x"]


def test_index_becomes_exact_again():
    """Guards against a process without bookmarks after an incomplete start."""
    index = folded(*[claim(f"r{i}", at=i * 20.0) for i in range(600)], start=5)
    for i in range(600):
        index.apply(605 + i, done(12000.0 + i * 20.0, request_id=f"r{i}"))
    for i in range(600):
        index.apply(1205 + i, claim(f"s{i}", at=24000.0 + i * 20.0))
    assert index.exact


def test_bounds(monkeypatch):
    """Guards against unbounded growth of entries and of records without a claim."""
    monkeypatch.setattr(claims, "MAX_UNBOUND_IDS", 5)
    index = RequestIndex(WINDOW_S, max_entries=10)
    for offset in range(40):
        index.apply(offset, claim(f"r{offset}"))
    assert (len(index.entries), index.full, index.n_void_claims) == (10, True, 30)
    for offset in range(40, 80):
        index.apply(offset, started(request_id=f"s{offset}"))
    assert len(index.recent) == 5


def test_bookmarks_and_refreshes_move_the_restart_point():
    """Guards against a replay of the whole history at each restart."""
    index = make_request_index(WINDOW_S)
    log = []

    def append(record):
        log.append(record)
        index.apply(len(log) - 1, record)

    append(claim("service"))
    for i in range(4000):
        append(claim(f"r{i}", at=i * 3.0))
        append(done(i * 3.0, request_id=f"r{i}"))
        for entry in due_refreshes(index, i * 3.0, RETENTION_S, 9, ["a"]):
            append(refresh_record(index, entry, i * 3.0))
        if bookmark_due(index):
            append(bookmark_record(index))
    tail = list(enumerate(log))[-2000:]
    start, log_time = restart_point(tail, 0)
    assert 0 < start < len(log)
    again = make_request_index(WINDOW_S)
    again.reset_to(start, log_time)
    for offset in range(start, len(log)):
        again.apply(offset, log[offset])
    assert view(again) == view(index)
    assert restart_point(tail, len(log) - 10) == (len(log) - 10, None)
    assert sum(isinstance(record, Refresh) for record in log) < 30


class LogMachine(RuleBasedStateMachine):
    """Placers that append to one log and fold it, under faults."""

    make_index = staticmethod(make_request_index)
    n_readers = 3

    def __init__(self):
        super().__init__()
        self.log = []
        self.times = []
        self.start = 0
        self.now = 0.0
        self.oracle = make_request_index(WINDOW_S)
        self.readers = [self.make_index(WINDOW_S) for _ in range(self.n_readers)]
        self.pending = []
        self.starts = {}

    def append(self, record):
        """Append to the log; the oracle sees every record."""
        self.oracle.apply(len(self.log), record)
        self.log.append(record_to_dict(record))
        self.times.append(self.now)

    def read(self, number, n_records=10**6):
        """Let one process fold records."""
        index = self.readers[number]
        first = max(index.next_offset, self.start)
        for offset in range(first, min(len(self.log), first + n_records)):
            record = record_from_dict(self.log[offset])
            before = index.get(getattr(record, "request_id", ""))
            finished = before is not None and not before.live
            changed = index.apply(offset, record)
            if isinstance(record, Started) and changed is not None and index.exact:
                assert not finished
                key = (record.request_id, changed.origin, record.task_id, record.prior)
                assert self.starts.setdefault(key, offset) == offset

    def send(self, record, n_appends, keep):
        """Append ``n_appends`` times now and, if ``keep``, once more later."""
        for _ in range(n_appends):
            self.append(record)
        if keep:
            self.pending.append(record)

    reader = st.integers(0, n_readers - 1)

    @rule(
        number=reader,
        request_id=st.sampled_from(IDS),
        n_appends=st.integers(0, 2),
        keep=st.booleans(),
    )
    def claim(self, number, request_id, n_appends, keep):
        """Claim an id for a placer's shard."""
        self.send(claim(request_id, f"s{number}", self.now), n_appends, keep)

    @rule(
        number=reader,
        request_id=st.sampled_from(IDS),
        kind=st.sampled_from(["start", "start", "cancel", "done", "not_run"]),
        n_appends=st.integers(0, 2),
        keep=st.booleans(),
        fresh=st.booleans(),
    )
    def act(self, *, number, request_id, kind, n_appends, keep, fresh):
        """Let a placer act on what it has folded, or first read the whole log."""
        if fresh:
            self.read(number)
        self.append_decision(number, request_id, kind, n_appends, keep)

    def append_decision(self, number, request_id, kind, n_appends, keep):
        """Append what a placer decides for a live request."""
        entry = self.readers[number].get(request_id)
        if entry is None or not entry.live or not entry.confirmed:
            return
        prior = entry.started_offsets.get(f"{request_id}/0", -1)
        if kind == "start":
            record = started(prior, f"p{number}", request_id, entry.origin)
        elif kind == "cancel":
            record = Cancel(request_id, entry.origin)
        else:
            record = Done(
                request_id, {"state": kind}, self.now, entry.shard, entry.origin, prior
            )
        self.send(record, n_appends, keep)

    @rule(
        number=reader,
        request_id=st.sampled_from(IDS),
        n_appends=st.integers(0, 2),
        keep=st.booleans(),
    )
    def refresh(self, number, request_id, n_appends, keep):
        """Append a refresh that is not due yet, perhaps late."""
        index = self.readers[number]
        entry = index.get(request_id)
        if entry is not None and entry.live and index.exact:
            self.send(refresh_record(index, entry, self.now), n_appends, keep)

    @rule(request_id=st.sampled_from(IDS))
    def start_during_refresh(self, request_id):
        """Append a start after the refreshes were made and before they are appended."""
        self.read(0)
        index = self.readers[0]
        live = [item for item in index.entries.values() if item.live and index.exact]
        records = [refresh_record(index, item, self.now) for item in live]
        self.append_decision(0, request_id, "start", 1, False)
        for record in records:
            self.append(record)
        self.read(0)
        self.write_bookmark(0, False)

    @rule(number=reader, keep=st.booleans())
    def write_bookmark(self, number, keep):
        """Write a bookmark, perhaps late."""
        record = bookmark_record(self.readers[number])
        if record is not None:
            self.send(record, 1, keep)

    @rule(choice=st.integers(0, 9))
    def append_late(self, choice):
        """Append a delayed record."""
        if self.pending:
            self.append(self.pending.pop(choice % len(self.pending)))

    @rule(number=reader, n_records=st.integers(1, 5))
    def read_on(self, number, n_records):
        """Let one process read some records."""
        self.read(number, n_records)

    @rule(n_steps=st.sampled_from([1, 3, 12, 30]))
    def wait(self, n_steps):
        """Let time pass, with refreshes and retention."""
        for _ in range(n_steps):
            self.now += 100.0
            self.read(0)
            shards = list(self.readers[0].live)
            for entry in due_refreshes(
                self.readers[0], self.now, RETENTION_S, 99, shards
            ):
                self.append(refresh_record(self.readers[0], entry, self.now))
            while self.start < len(self.log) and (
                self.times[self.start] < self.now - RETENTION_S
            ):
                self.start += 1

    @rule(number=st.integers(1, n_readers - 1), source=st.sampled_from(["log", "peer"]))
    def restart(self, number, source):
        """Restart from the newest bookmark or from a peer."""
        if source == "peer":
            data = json.loads(json.dumps(to_snapshot(self.readers[0])))
            self.readers[number] = from_snapshot(data)
            return
        tail = [
            (offset, record_from_dict(self.log[offset]))
            for offset in range(self.start, len(self.log))
        ]
        index = self.readers[number] = self.make_index(WINDOW_S)
        index.reset_to(*restart_point(tail, self.start))

    @invariant()
    def all_that_read_everything_agree(self):
        """Compare with the oracle."""
        for index in self.readers:
            if index.next_offset < len(self.log):
                continue
            if index.exact:
                assert view(index) == view(self.oracle)
            for shard in index.live:
                for entry in index.live_entries(shard):
                    assert (
                        view(index)[entry.request_id]
                        == (view(self.oracle)[entry.request_id])
                    )

    @invariant()
    def first_claim_wins(self):
        """Compare the oracle with the order of the log."""
        for key, entry in self.oracle.entries.items():
            if entry.live:
                first = self.log[entry.origin]
                assert (first["type"], first["request_id"]) == ("claim", key)
                assert first["shard"] == entry.shard

    def teardown(self):
        """Let every process read to the end."""
        for number in range(self.n_readers):
            self.read(number)
        self.all_that_read_everything_agree()


MACHINE = settings(
    settings.get_profile("machine"), max_examples=400, stateful_step_count=40
)
# More examples, since they depend on the modules that are loaded; the search for a
# seeded fault ends at the first failure.
SEARCH = settings(MACHINE, max_examples=3000)


def test_all_indexes_agree():
    """Guards against processes that fold one log to different states."""
    run_state_machine_as_test(LogMachine, settings=MACHINE)


class _LastClaimWins(RequestIndex):
    """Seeded fault: a later claim replaces a live one."""

    def _fold(self, record, offset):
        if isinstance(record, Claim) and record.request_id in self.entries:
            self._drop(self.entries[record.request_id])
        return super()._fold(record, offset)


class _TrustingRefresh(RequestIndex):
    """Seeded fault: reads a refresh as the state at its own offset."""

    def _fold(self, record, offset):
        if isinstance(record, Refresh):
            record = replace(record, as_of=offset - 1)
        return super()._fold(record, offset)


class _AnyStart(RequestIndex):
    """Seeded fault: does not compare the prior of a start."""

    def _apply_start(self, record, offset):
        entry = self._entry_of(record)
        if entry is not None:
            prior = entry.started_offsets.get(record.task_id, -1)
            record = replace(record, prior=prior)
        return super()._apply_start(record, offset)


class _LocalExpiry(RequestIndex):
    """Seeded fault: drops finished requests independently of the log."""

    def _fold(self, record, offset):
        found = super()._fold(record, offset)
        if isinstance(record, Bookmark):
            for entry in [item for item in self.entries.values() if not item.live]:
                self._drop(entry)
        return found


@pytest.mark.parametrize(
    "fault", [_LastClaimWins, _TrustingRefresh, _AnyStart, _LocalExpiry]
)
def test_machine_finds_seeded_faults(fault):
    """Guards against a state machine that would not notice a wrong fold."""
    machine = type("Faulty", (LogMachine,), {"make_index": staticmethod(fault)})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SEARCH)
