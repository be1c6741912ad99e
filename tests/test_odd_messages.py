"""Tests of odd records, lists and answers at the project's own interfaces."""

from __future__ import annotations

import curio
import pytest

from cuminhill.application import Application
from cuminhill.clock import SystemClock
from cuminhill.configuration import Configuration
from cuminhill.coordination.claims import (
    Claim,
    Done,
    Refresh,
    RequestIndex,
    Started,
    record_from_dict,
    record_to_dict,
)
from cuminhill.coordination.configstream import (
    ConfigBookmark,
    Publication,
    Revision,
    config_record_from_dict,
    config_record_to_dict,
)
from cuminhill.errors import ProtocolError, UnknownOutcomeError
from cuminhill.follower import Follower
from cuminhill.model import Request, RequestKind, Resources
from cuminhill.platform.log import HttpLog, LogPage
from cuminhill.platform.vmlist import HttpVmListing
from cuminhill.platform.worker import HttpWorker
from cuminhill.settings import make_settings

CLAIM = Claim("r", "s", {}, 1.0)
STARTED = Started("r", "t", "w", 1, "i", "by")
REFRESH = Refresh(
    "r", "s", {}, 1.0, 0, {"t": record_to_dict(STARTED)}, {"t": 1}, False, 1, 1.0, 1.0
)
ODD_VALUES = [None, 7, True, "text", [], {"a": 1}, 1e300, 1 << 64, float("nan")]
ADDRESS = {"vm": "a", "role": "entry", "address": "127.0.0.1:1", "failure_domain": "d"}


def nested():
    value = []
    for _ in range(240):
        value = [value]
    return value


def is_same_kind(value, sound):
    if isinstance(value, bool) or isinstance(sound, bool):
        return isinstance(value, bool) and isinstance(sound, bool)
    if isinstance(value, int | float):
        return isinstance(sound, int | float) and value == 7
    return type(value) is type(sound)


ODD_RECORDS = [
    (decode, to_dict(record) | {name: value})
    for decode, to_dict, record in (
        (record_from_dict, record_to_dict, CLAIM),
        (record_from_dict, record_to_dict, STARTED),
        (record_from_dict, record_to_dict, Done("r", {}, 1.0)),
        (
            config_record_from_dict,
            config_record_to_dict,
            Publication("p", "o", 0, {}, 1),
        ),
        (
            config_record_from_dict,
            config_record_to_dict,
            ConfigBookmark(1, 1.0, (Revision(1, "p", "o", 1.0),), {}, 1.0),
        ),
    )
    for name, sound in to_dict(record).items()
    for value in ODD_VALUES
    if name not in {"history", "seen"}
    and not is_same_kind(value, sound)
    and name != "type"
]


# Guards against a record with a field of another type that fails half-way in the fold,
# which then takes the next record for one after a gap and forgets all requests.
@pytest.mark.parametrize(("decode", "value"), ODD_RECORDS)
def test_record_with_a_field_of_another_type_is_refused(decode, value):
    with pytest.raises((KeyError, TypeError)):
        decode(value)


@pytest.mark.parametrize("decode", [record_from_dict, config_record_from_dict])
@pytest.mark.parametrize("value", [None, 7, "ab", [], {}, nested(), {"type": nested()}])
def test_value_that_is_no_record_is_refused(decode, value):
    """Guards against an error that ends the task which reads the log."""
    with pytest.raises((KeyError, TypeError)):
        decode(value)


@pytest.mark.parametrize(
    "change",
    [
        {"started": {}},
        {"started": {"t": 7}},
        {"started": {"t": {"epoch": 1}}},
        {"started_offsets": {"t": "x"}},
        {"started": {"t": record_to_dict(STARTED) | {"epoch": "x"}}},
    ],
)
def test_refresh_with_odd_starts_is_refused(change):
    """Guards against a record that is folded in part."""
    value = record_to_dict(REFRESH)
    value["started"] = {"t": {k: v for k, v in value["started"]["t"].items()}}
    with pytest.raises((KeyError, TypeError)):
        record_from_dict(value | change)


def test_error_in_one_record_does_not_end_the_reading_of_a_log():
    """Guards against a follower that stops at one record for good."""
    seen = []

    async def fold(offset, value):
        if value == "odd":
            raise RecursionError
        seen.append(offset)

    async def ignore(*_):
        pass

    async def main():
        follower = Follower(None, "requests", fold, ignore, ignore)
        await follower._apply_page(LogPage(0, 3, [(0, {}), (1, "odd"), (2, {})]))
        assert (seen, follower.next_offset) == ([0, 2], 3)
        assert (follower.n_failed_records, follower.caught_up) == (1, True)

    curio.run(main)


def test_sound_records_are_folded_after_odd_ones():
    """Guards against an index that is cleared because one record was skipped."""
    index = RequestIndex()
    index.apply(0, CLAIM)
    with pytest.raises(TypeError):
        record_from_dict(record_to_dict(CLAIM) | {"at": "x"})
    assert index.get("r") is not None


UNREADABLE = [{"type": "of a later build"}, {"type": []}, {}, 7]


def make_application():
    names = ("http_address", "rpc_address", "log_address", "vm_list_address")
    values = {name: "127.0.0.1:1" for name in names}
    return Application(make_settings({"vm": "e0", "failure_domain": "d", **values}))


def fold_records(reader, *records):
    """Have the reader of a stream read records or their JSON-ready forms."""

    async def main():
        for offset, record in enumerate(records):
            known = isinstance(record, Claim | Started)
            await reader._on_record(offset, record_to_dict(record) if known else record)

    curio.run(main)


# Guards against accepted requests that all VMs forget because of one record that they
# can't read, such as one of a later build.
@pytest.mark.parametrize("value", UNREADABLE)
def test_an_unreadable_record_does_not_clear_the_index_of_requests(value):
    app = make_application()
    fold_records(app, CLAIM, value, STARTED)
    assert app.n_bad_records == 1
    assert app.index.n_gaps == 0
    assert app.index.exact
    assert app.index.get("r").started["t"] == STARTED


# Guards against a second run of a request whose claim only a later build can read: the
# claim that follows must not count as the first one.
def test_an_unreadable_claim_makes_the_index_inexact():
    app = make_application()
    fold_records(app, record_to_dict(CLAIM) | {"new": 1}, CLAIM)
    assert app.index.n_gaps == 1
    assert app.index.live_entries("s") == []


# Guards against a configuration that no VM can change after one unreadable record.
@pytest.mark.parametrize("value", UNREADABLE)
def test_an_unreadable_record_does_not_stop_changes_of_the_configuration(value):
    config = Configuration(None, SystemClock(), None)
    publication = config_record_to_dict(Publication("p", "o", 0, {}, 1.0))
    fold_records(config, value, publication)
    assert config.n_bad_records == 1
    assert config.state.n_gaps == 0
    assert config.state.in_force.revision == 1


# Guards against revisions that VMs of two builds count differently.
def test_an_unreadable_publication_is_not_passed_over():
    config = Configuration(None, SystemClock(), None)
    publication = config_record_to_dict(Publication("p", "o", 0, {}, 1.0))
    fold_records(config, publication | {"new": 1}, publication)
    assert config.state.n_gaps == 1
    assert not config.state.in_sync


# Guards against records that retention has dropped and that count as unreadable ones.
def test_an_unreadable_record_after_a_gap_does_not_hide_the_gap():
    index = RequestIndex()
    index.apply(0, CLAIM)
    index.skip(5)
    index.apply(6, STARTED)
    assert index.n_gaps == 1
    assert not index.exact


class OddClient:
    """HTTP client that returns one answer."""

    peer = "odd"

    def __init__(self, value, status=200):
        self.answer = status, value

    async def request(self, *args, **more):
        return self.answer


ODD_ANSWERS = [None, 7, "text", b"\xff", [], {}, nested()]


@pytest.mark.parametrize(
    "value",
    [
        *ODD_ANSWERS,
        {"records": 7, "start": 0, "end": 0},
        {"records": [7], "start": 0, "end": 0},
        {"records": [["x", {}]], "start": 0, "end": 0},
        {"records": [], "start": "x", "end": 0},
        {"records": [], "start": 0, "end": None},
    ],
)
def test_page_of_another_form_raises_a_protocol_error(value):
    """Guards against an answer that ends the task which reads the log."""
    with pytest.raises(ProtocolError):
        curio.run(HttpLog(OddClient(value)).read, "requests", 0)


@pytest.mark.parametrize("value", ODD_ANSWERS)
def test_append_without_its_offset_has_an_unknown_outcome(value):
    """Guards against an answer that ends the task which appends."""

    async def main():
        with pytest.raises(UnknownOutcomeError):
            await HttpLog(OddClient(value)).append("requests", [], timeout_s=1.0)

    curio.run(main)


@pytest.mark.parametrize("value", [*ODD_ANSWERS, {"vms": 7}])
def test_vm_list_of_another_form_raises_a_protocol_error(value):
    """Guards against an answer that ends the task which reads the list."""
    with pytest.raises(ProtocolError):
        curio.run(HttpVmListing(OddClient(value)).read)


def test_odd_entries_of_the_vm_list_are_left_out():
    """Guards against one entry that hides all VMs."""
    odd = [7, None, [], {}, nested(), "text"]
    odd += [ADDRESS | {name: value} for name in ADDRESS for value in (None, 7, "", [])]
    odd += [ADDRESS | {"address": text} for text in ("a", "127.0.0.1:65536", "..:1")]
    found = curio.run(HttpVmListing(OddClient({"vms": [*odd, ADDRESS]})).read)
    assert [entry.vm for entry in found] == ["a"]


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("value", ODD_ANSWERS)
def test_odd_answer_to_a_lease_raises_a_protocol_error(status, value):
    """Guards against an answer that ends the task which renews the leases."""

    async def main():
        worker = HttpWorker(OddClient(value, status))
        with pytest.raises(ProtocolError):
            await worker.lease("h", 1.0, 0, 0, extend_tasks=True, timeout_s=1.0)

    curio.run(main)


@pytest.mark.parametrize("value", ODD_ANSWERS)
def test_odd_result_of_a_start_leaves_its_outcome_unknown(value):
    """Guards against a task that counts as not started although it may run."""
    request = Request("r", RequestKind.CHECK, "team", Resources())

    async def main():
        with pytest.raises(UnknownOutcomeError):
            await HttpWorker(OddClient(value)).start(
                request, "t", 1, run_time_s=1.0, wait_s=0.0, timeout_s=1.0
            )

    curio.run(main)
