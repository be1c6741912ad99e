"""Tests of answers of workers, of the advice and of the store that cannot be used."""

from __future__ import annotations

import base64
import struct

import curio
import pytest

from cuminhill.errors import OverloadedError, ProtocolError, UnavailableError
from cuminhill.jobs.model import StartOrder, StartReply, StartResult, TaskKey
from cuminhill.platform.store import MAX_PAGE_KB, PlatformTopic
from cuminhill.platform.wire import (
    MAX_CHECKPOINT_CHARS,
    UNREADABLE,
    decode_report,
    decode_worker_entry,
)
from cuminhill.platform.workerclient import PlatformAdviceClient, PlatformWorkerClient
from cuminhill.util.json_input import MAX_DEPTH
from cuminhill.util.validation import MAX_INTEGER

TASK = "5c0e7a21d94b36f8.0.1.17"
ORDER = StartOrder(
    "w", "127.0.0.1:1", TaskKey("5c0e7a21d94b36f8", 0, 1, 17), 1, "", 0, 0
)


def nested():
    """Return a value of the greatest depth that the clients let through."""
    value = []
    for _ in range(MAX_DEPTH - 5):
        value = [value]
    return value


ODD_NUMBERS = {
    "negative": -1,
    "over 53 bits": MAX_INTEGER + 1,
    "of 300 digits": 10**300,
    "1e300": 1e300,
    "a fraction": 0.5,
    "infinite": float("inf"),
    "NaN": float("nan"),
    "a text": "7",
    "true": True,
    "null": None,
    "nested": nested(),
}


class OddClient:
    """HTTP client that returns one answer."""

    peer = "odd"

    def __init__(self, status, value):
        self.answer = status, value

    async def request(self, *args, **more):
        return self.answer


def odd_worker(status, value):
    calls = PlatformWorkerClient()
    calls._clients[ORDER.address] = OddClient(status, value)
    return calls


# Guards against a number in a report that no call can carry, that hides all later
# reports of the worker, or that names another run: the renewal must count as failed.
@pytest.mark.parametrize("number", ODD_NUMBERS.values(), ids=ODD_NUMBERS.keys())
@pytest.mark.parametrize("place", ["clock", "born", "run", "end", "ended run"])
def test_report_with_an_odd_number_raises_a_protocol_error(place, number):
    def at(name, value):
        return number if place == name else value

    body = {
        "clock_ms": at("clock", 5),
        "born": at("born", 1),
        "running": [[TASK, at("run", 1), "", 5]],
        "ended": [[at("end", 1), TASK, at("ended run", 1), "done", ""]],
    }
    with pytest.raises(ProtocolError) as caught:
        decode_report(body, "w")
    assert len(str(caught.value)) < 300


# Guards against a report of another form that ends the task which renews the leases.
@pytest.mark.parametrize(
    "value",
    [
        None,
        b"\xff",
        "text",
        [],
        7,
        nested(),
        {},
        {"clock_ms": 1, "running": 7},
        {"clock_ms": 1, "running": [7]},
        {"clock_ms": 1, "running": [[]]},
        {"clock_ms": 1, "running": nested()},
        {"clock_ms": 1, "running": {"a": 1}},
        {"clock_ms": 1, "running": [[nested(), 1, "", 1]]},
        *[
            {"clock_ms": 1, "running": [[name, 1, "", 1]]}
            for name in (
                "",
                "a.b",
                "a.0.-1.0",
                "a.0.0. 1",
                "a.0.0.1_0",
                "a.0.0.٣",
                "a.b.0.0.0",
            )
        ],
        {"clock_ms": 1, "ended": [[1, TASK, 1, "exploded", ""]]},
        {"clock_ms": 1, "ended": [[1, TASK, 1, nested(), ""]]},
    ],
)
def test_report_of_another_form_raises_a_protocol_error(value):
    calls = odd_worker(200, value)
    with pytest.raises(ProtocolError) as caught:
        curio.run(renew, calls)
    assert len(str(caught.value)) < 300


async def renew(calls):
    return await calls.renew(
        "w", ORDER.address, 1, last_acked_end=0, lease_until_ms=None, wait_s=0.0
    )


# Guards against a checkpoint that makes the record of its job too large to be written.
@pytest.mark.parametrize("saved", [7, None, nested(), "x" * (MAX_CHECKPOINT_CHARS + 1)])
def test_odd_checkpoint_counts_as_none(saved):
    body = {
        "clock_ms": 1,
        "running": [[TASK, 1, saved, 5]],
        "ended": [[1, TASK, 1, "done", saved]],
    }
    report = decode_report(body, "w")
    assert (report.running[0].checkpoint, report.ended[0].checkpoint) == ("", "")


# Guards against an answer to a start that ends the task which sends calls, and with it
# the term.
@pytest.mark.parametrize("clock", [-1, MAX_INTEGER + 1, 1e300, "7", None, [], nested()])
@pytest.mark.parametrize("status", [200, 409])
def test_start_with_an_odd_clock_keeps_its_result(status, clock):
    calls = odd_worker(status, {"clock_ms": clock, "reason": "room"})
    expected = StartResult.STARTED if status == 200 else StartResult.NO_ROOM
    assert curio.run(calls.start, ORDER, 1.0) == StartReply(expected)


@pytest.mark.parametrize("reason", [7, None, [], {}, nested(), "x" * 100_000])
def test_start_that_is_refused_for_an_odd_reason_is_invalid(reason):
    """Guards against an unhashable reason that ends the term."""
    calls = odd_worker(409, {"clock_ms": 5, "reason": reason})
    assert curio.run(calls.start, ORDER, 1.0) == StartReply(StartResult.INVALID, 5)


@pytest.mark.parametrize("value", [None, 7, [], "text", nested(), {"good": 7}, {}])
def test_advice_of_another_form_raises_a_protocol_error(value):
    """Guards against a step that is never asked for again."""
    with pytest.raises(ProtocolError):
        curio.run(PlatformAdviceClient(OddClient(200, value)).ask, "s", ["w"], 1.0)


def test_odd_tickets_are_left_out():
    """Guards against one odd row of advice that hides the others."""
    rows = [["w", "t"], 7, [], ["w"], ["w", 7], [7, "t"], ["w", ""], nested(), "ab"]
    rows.append(["w", "x" * 1_000_000])
    client = PlatformAdviceClient(OddClient(200, {"good": rows}))
    assert curio.run(client.ask, "s", ["w"], 1.0) == [("w", "t")]


class OddStore:
    """HTTP client of a store whose answers are given by path and number of the call."""

    peer = "store"

    def __init__(self, *answers):
        self.answers = list(answers)
        self.paths = []

    async def request(self, method, path, *args, **more):
        self.paths.append(path)
        return 200, self.answers[min(len(self.paths), len(self.answers)) - 1]


def make_topic(*answers):
    client = OddStore(*answers)
    return PlatformTopic("keyed.t", client, client)


def item(key, value=b"{}", offset=1):
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "offset": offset}


# Guards against one malformed record of a snapshot that keeps a VM from reading it, or
# that counts as the removal of its key.
@pytest.mark.parametrize(
    "change",
    [
        {"value": "x"},
        {"value": None},
        {"value": 7},
        {"value": nested()},
        {"value": "ä"},
        {"offset": "x"},
        {"offset": -1},
        {"offset": 1e300},
        {"offset": None},
        {"offset": nested()},
    ],
)
def test_malformed_record_of_a_snapshot_is_unreadable(change):
    page = {"items": [item("a"), item("b") | change, item("c")], "end": 9}
    end, records = curio.run(make_topic(page).newest)
    found = {record.key: record.value for record in records}
    assert (end, found) == (9, {"a": b"{}", "b": UNREADABLE, "c": b"{}"})
    with pytest.raises(ProtocolError):
        decode_worker_entry("b", found["b"])


@pytest.mark.parametrize("odd", [7, None, [], {}, {"key": 7}, {"key": nested()}])
def test_record_without_a_key_is_left_out(odd):
    """Guards against one malformed record that keeps a VM from reading a snapshot."""
    page = {"items": [item("a"), odd, item("c")], "end": 9}
    _, records = curio.run(make_topic(page).newest)
    assert [record.key for record in records] == ["a", "c"]


# Guards against an answer that ends the follower of a log, or that it repeats without
# end. A ProtocolError makes it pause and try again.
@pytest.mark.parametrize(
    "page",
    [
        None,
        7,
        [],
        "text",
        b"\xff",
        nested(),
        {},
        {"items": [], "end": "x"},
        {"items": [], "end": -1},
        {"items": [], "end": None},
        {"items": [], "end": 1e300},
        {"items": 7, "end": 1},
        {"items": nested()[0], "end": nested()},
        {"items": [], "end": 1, "more": True},
        {"items": [item("a")], "end": 1, "more": True},
    ],
)
def test_snapshot_of_another_form_raises_a_protocol_error(page):
    topic = make_topic(page)
    with pytest.raises(ProtocolError) as caught:
        curio.run(topic.newest)
    assert len(str(caught.value)) < 300
    assert len(topic.reader.paths) <= 2


@pytest.mark.parametrize("body", [None, 7, [], {}, b"", b"1234", "ä" * 7, nested()])
def test_page_of_another_form_raises_a_protocol_error(body):
    """Guards against an answer that ends the follower of a log."""
    with pytest.raises(ProtocolError):
        curio.run(make_topic(body).read, 0, 0.0)


def page_of(*contents, end=None):
    body = struct.pack(">QQ", len(contents) if end is None else end, 0)
    return body + b"".join(struct.pack(">I", len(item)) + item for item in contents)


def test_record_with_a_cut_key_hides_no_other():
    """Guards against a malformed record that counts as the removal of another key."""
    body = page_of(b"\x01a{}", b"\x05w", b"", b"\x01c{}")
    _, records = curio.run(make_topic(body).read, 0, 0.0)
    assert [(row.offset, row.key) for row in records] == [
        (0, "a"),
        (1, ""),
        (2, ""),
        (3, "c"),
    ]


def test_record_larger_than_a_page_does_not_stall_the_reader():
    """Guards against a follower that reads the same page again and again."""
    full = page_of(b"\x01a" + b"x" * 200_000, b"\x01b{}")
    topic = make_topic(full[: MAX_PAGE_KB * 1024], full)
    _, records = curio.run(topic.read, 0, 0.0)
    assert [record.key for record in records] == ["a", "b"]


def test_page_without_a_record_is_not_read_without_pause():
    """Guards against a length beyond the page that keeps the reader busy."""
    body = page_of(end=5) + b"\xff\xff\xff\xff"
    topic = make_topic(body)
    with pytest.raises(ProtocolError):
        curio.run(topic.read, 0, 0.0)
    assert len(topic.reader.paths) == 2


@pytest.mark.parametrize("offset", [None, "x", [], 1e300, nested()])
def test_append_with_an_odd_offset_is_stored(offset):
    """Guards against an acknowledged append that ends the task which makes calls."""
    topic = make_topic({"offset": offset, "end": 1})
    assert curio.run(append, topic) == 0


async def append(topic):
    return await topic.append([("a", b"1")], timeout_s=1.0)


# Guards against a VM that is treated as cut off since it has too many calls waiting.
def test_advice_refused_for_the_number_of_calls_is_told_apart():
    client = PlatformAdviceClient(OddClient(429, {}))
    with pytest.raises(OverloadedError) as info:
        curio.run(client.ask, "s", ["w"], 1.0)
    assert info.value.backlog_s > 0
    with pytest.raises(UnavailableError) as info:
        curio.run(PlatformAdviceClient(OddClient(503, {})).ask, "s", ["w"], 1.0)
    assert not isinstance(info.value, OverloadedError)
