"""Configuration stream: compare-and-set, bookmarks, adoption, history."""

from __future__ import annotations

import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminhill.coordination import configstream
from cuminhill.coordination.configstream import (
    Accepted,
    ConfigBookmark,
    ConfigState,
    Lost,
    Publication,
    Revision,
    config_record_from_dict,
    config_record_to_dict,
    make_config_state,
)


def publish(name, base, at=0.0):
    return Publication(name, f"author of {name}", base, {"name": name}, at)


def folded(*records):
    state = make_config_state()
    for offset, record in enumerate(records):
        state.apply(offset, record)
    return state


def test_one_of_two_racing_operators_wins():
    """Guards against a change that silently replaces another operator's."""
    state = folded(publish("a", 0), publish("b", 0), publish("c", 1))
    assert state.config == {"name": "c"}
    assert state.outcome("a") == Accepted("a", 1)
    assert state.outcome("b") == Lost("b", Revision(1, "a", "author of a", 0.0))
    assert state.outcome("d") is None


def test_repeat_after_a_lost_reply_keeps_its_outcome():
    """Guards against an operator who is told that its own change lost."""
    state = folded(publish("a", 0), publish("a", 0), publish("b", 1), publish("a", 0))
    assert state.outcome("a") == Accepted("a", 1)
    assert (state.in_force.revision, state.config) == (2, {"name": "b"})


def test_records_survive_json():
    """Guards against a record that another process reads differently."""
    bookmark = folded(publish("a", 0)).bookmark(5.0)
    for record in (publish("a", 0), bookmark):
        data = json.loads(json.dumps(config_record_to_dict(record)))
        assert config_record_from_dict(data) == record
    for bad in (
        {"type": "publish"},
        {**config_record_to_dict(bookmark), "history": []},
    ):
        with pytest.raises((KeyError, TypeError)):
            config_record_from_dict(bad)


def test_bookmark_before_the_log_start_is_ignored():
    """Guards against a start that misses records that retention dropped."""
    early = folded(publish("a", 0)).bookmark(1.0)
    state = make_config_state()
    state.apply(7, early)
    assert (state.in_sync, state.ready, state.n_ignored_bookmarks) == (False, False, 1)


def test_publications_before_the_bookmark_are_decided_later():
    """Guards against publications lost between as_of and the bookmark."""
    author = folded(*[publish(str(index), index) for index in range(5)])
    late = author.bookmark(1.0)
    state = make_config_state()
    state.apply(4, publish("4", 4))
    state.apply(5, publish("5", 5))
    state.apply(6, publish("lost", 4))
    assert state.outcome("5") is None
    state.apply(7, late)
    assert state.in_force.revision == 6
    assert state.outcome("5") == Accepted("5", 6)
    assert isinstance(state.outcome("lost"), Lost)


def test_quiet_stream_keeps_a_usable_bookmark():
    """Guards against a bookmark whose as_of is dropped right after it."""
    state = folded(publish("a", 0))
    log = [(0.0, publish("a", 0))]
    for now in range(0, 2000, 5):
        if state.bookmark_due(float(now), 100.0):
            bookmark = state.bookmark(float(now))
            state.apply(len(log), bookmark)
            log.append((float(now), bookmark))
    start = next(i for i, (at, _) in enumerate(log) if at >= 2000 - 100)
    fresh = make_config_state()
    for offset in range(start, len(log)):
        fresh.apply(offset, log[offset][1])
    assert (fresh.in_sync, fresh.config) == (True, {"name": "a"})
    assert len(log) < 200


def test_peer_snapshot_is_in_force_without_the_log():
    """Guards against a new process without configuration in a log outage."""
    source = folded(publish("a", 0), publish("b", 1))
    state = make_config_state()
    assert state.adopt(source.bookmark(1.0)).revision == 2
    assert state.adopt(folded(publish("a", 0)).bookmark(1.0)) is None
    assert state.config == {"name": "b"}
    state.apply(1, publish("b", 1))
    state.apply(2, publish("c", 2))
    assert state.outcome("c") == Accepted("c", 3)


def test_memory_is_bounded(monkeypatch):
    """Guards against unbounded outcomes, history and unresolved records."""
    monkeypatch.setattr(configstream, "MAX_OUTCOMES", 10)
    monkeypatch.setattr(configstream, "MAX_UNRESOLVED", 10)
    state = folded(*[publish(str(index), index) for index in range(200)])
    assert len(state.history) == configstream.MAX_HISTORY
    assert len(state._outcomes) == 10
    late = make_config_state()
    for offset in range(50, 100):
        late.apply(offset, publish(str(offset), offset))
    assert len(late._unresolved) == 10
    assert late.complete_from == 90


class StreamMachine(RuleBasedStateMachine):
    """Three readers of one log with repeats, retention, restarts and outages."""

    make_state = staticmethod(make_config_state)

    def __init__(self):
        super().__init__()
        self.log = []
        self.start = 0
        self.readers = [self.make_state() for _ in range(3)]
        self.oracle = make_config_state()
        self.accepted = {}
        self.revisions = [0] * 3
        self.pending = []
        self.n = 0

    def append(self, record):
        """Append to the log and to the oracle, which sees everything."""
        self.oracle.apply(len(self.log), record)
        self.log.append(config_record_to_dict(record))
        self.accepted[self.oracle.folded.revision] = self.oracle.folded

    def read(self, index, n_records=10**6):
        """Let one reader read on."""
        state = self.readers[index]
        first = max(state.next_offset, self.start)
        for offset in range(first, min(len(self.log), first + n_records)):
            state.apply(offset, config_record_from_dict(self.log[offset]))

    @rule(
        index=st.integers(0, 2),
        n_appends=st.integers(0, 2),
        keep=st.booleans(),
        fresh=st.booleans(),
    )
    def propose(self, index, n_appends, keep, fresh):
        """Publish; the reply may be lost and the record appended again."""
        if fresh:
            self.read(index)
        state = self.readers[index]
        if not state.in_sync:
            return
        self.n += 1
        record = state.publication(f"p{self.n}", f"o{index}", {"n": self.n}, self.n)
        for _ in range(n_appends):
            self.append(record)
        if keep:
            self.pending.append(record)

    @rule(index=st.integers(0, 2), delay=st.booleans())
    def write_bookmark(self, index, delay):
        """Append the state of a reader, perhaps late."""
        record = self.readers[index].bookmark(float(self.n))
        if record is not None and delay:
            self.pending.append(record)
        elif record is not None:
            self.append(record)

    @rule(choice=st.integers(0, 9))
    def append_late(self, choice):
        """Append a delayed record."""
        if self.pending:
            self.append(self.pending.pop(choice % len(self.pending)))

    @rule(index=st.integers(0, 2), n_records=st.integers(1, 6))
    def read_on(self, index, n_records):
        """Let one reader read some records."""
        self.read(index, n_records)

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        """Replace a reader by one without state."""
        self.readers[index] = self.make_state()
        self.revisions[index] = 0

    @rule(index=st.integers(0, 2), source=st.integers(0, 2))
    def adopt(self, index, source):
        """Adopt the state of a peer."""
        snapshot = self.readers[source].bookmark(float(self.n))
        if snapshot is not None:
            self.readers[index].adopt(snapshot)

    @rule(n_records=st.integers(1, 8))
    def truncate(self, n_records):
        """Drop old records, up to the newest bookmark's as_of."""
        marks = [item["as_of"] for item in self.log if item["type"] == "bookmark"]
        self.start = max(self.start, min(self.start + n_records, max(marks, default=0)))

    @invariant()
    def nothing_reverts_and_all_agree(self):
        """Compare each reader with what was accepted."""
        for index, state in enumerate(self.readers):
            assert state.in_force.revision >= self.revisions[index]
            self.revisions[index] = state.in_force.revision
            for item in (state.in_force, state.folded):
                if item.revision:
                    assert self.accepted[item.revision] == item

    def teardown(self):
        """Let all and a new reader read to the end and compare."""
        self.readers.append(self.make_state())
        for index, state in enumerate(self.readers):
            self.read(index)
            assert state.in_sync
            assert (state.folded, state.config) == (
                self.oracle.folded,
                self.oracle.config,
            )


MACHINE = settings(
    settings.get_profile("machine"), max_examples=300, stateful_step_count=30
)
# More examples, since they depend on the modules that are loaded; the search for a
# seeded fault ends at the first failure.
SEARCH = settings(MACHINE, max_examples=3000)


def test_readers_agree_on_every_revision():
    """Guards against readers that accept different publications or revert."""
    run_state_machine_as_test(StreamMachine, settings=MACHINE)


class _CarelessState(ConfigState):
    """Seeded fault: reads a bookmark as the state at its own offset."""

    def apply(self, offset, record):
        """Replace as_of."""
        if isinstance(record, ConfigBookmark):
            record = ConfigBookmark(
                offset - 1, record.as_of_at, record.history, record.config, record.at
            )
        return super().apply(offset, record)


class _LastWinsState(ConfigState):
    """Seeded fault: the last publication from a base wins."""

    def _resolve(self, record):
        if record.base == self.folded.revision - 1:
            accepted = Revision(
                record.base + 1, record.publication_id, record.author, 0.0
            )
            self._advance(accepted, record.config)
        super()._resolve(record)


class _RevertingState(ConfigState):
    """Seeded fault: puts a peer's revision in force even if it is older."""

    def _put_in_force(self, accepted, config):
        self.in_force, self.config = accepted, config


@pytest.mark.parametrize("fault", [_CarelessState, _LastWinsState, _RevertingState])
def test_machine_finds_seeded_faults(fault):
    """Guards against a state machine that would not notice a wrong fold."""
    machine = type("Faulty", (StreamMachine,), {"make_state": staticmethod(fault)})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SEARCH)
