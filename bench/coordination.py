"""Cost of membership, of a restart and of the index of requests."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

import orjson

from cuminhill.coordination.claims import (
    Claim,
    Done,
    RequestIndex,
    Started,
    make_request_index,
    record_from_dict,
    record_to_dict,
)
from cuminhill.coordination.members import Heartbeat, Member, MemberState
from cuminhill.coordination.membership import (
    LOCAL_INTERVAL_S,
    MAX_HEARTBEAT_ENTRIES,
    REMOTE_INTERVAL_S,
)
from cuminhill.coordination.recovery import restart_point
from cuminhill.coordination.retention import (
    SCAN_RECORDS,
    bookmark_due,
    bookmark_record,
    due_refreshes,
    refresh_record,
)
from cuminhill.model import Request, RequestKind, Resources
from cuminhill.peers import heartbeat_from_thrift, heartbeat_to_thrift
from cuminhill.rpc import decode, encode, idl

from .cell import Process, make_cell

if TYPE_CHECKING:
    from cuminhill.coordination.records import Record

FRAME_HEADER_BYTES = 4
MAX_BYTES_PER_S = 9000.0  # control traffic per node, section 1 of the design
MAX_CPU_US_PER_S = 26_000.0  # 2.6% of a core
MEASURED_S = 5.0
# Members, failure domains, and seconds until all members know of all starts.
CELLS = ((9, 3, 20.0), (54, 9, 20.0), (330, 18, 45.0))
INDEX_SIZES = (10_000, 100_000, 300_000)
N_FOLDED = 30_000
REQUESTS_PER_S = 0.5
SERVICE_EVERY = 500  # one request in 500 never ends
WINDOW_S = 1800.0
RETENTIONS_H = (1, 6, 24)


def run() -> list[dict[str, Any]]:
    """Return one row per figure."""
    rows = []
    for n_members, n_domains, settle_s in CELLS:
        rows += measure_membership(n_members, n_domains, settle_s)
    for retention_h in RETENTIONS_H:
        rows += measure_restart(3600.0 * retention_h, f"{retention_h} h")
    return rows + measure_index()


def measure_membership(
    n_members: int, n_domains: int, settle_s: float
) -> list[dict[str, Any]]:
    """Return bytes and processor time per second of one process.

    The baseline of the bytes is an earlier protocol, in which every message had 16
    random full entries and a heartbeat went to every member of the failure domain.
    """
    cell = make_cell(n_members, n_domains)
    cell.run(settle_s)
    n_bytes = 0

    def transmit(sender: Process, message: Heartbeat) -> None:
        nonlocal n_bytes
        body = encode(heartbeat_to_thrift(message))
        n_bytes += _n_wire_bytes(body)
        heartbeat_from_thrift(decode(idl.Heartbeat, body, sender.view.me.vm))

    cell.on_message = transmit
    gc.collect()
    started_at = time.process_time()
    cell.run(MEASURED_S)
    cpu_us = (time.process_time() - started_at) * 1e6
    per_process = 1.0 / (MEASURED_S * n_members)
    metric = f"membership of {n_members}"
    return [
        _row(
            f"{metric}, sent",
            n_bytes * per_process,
            "B/s",
            _earlier_bytes_per_s(n_members, n_domains),
            MAX_BYTES_PER_S,
        ),
        _row(
            f"{metric}, processor time",
            cpu_us * per_process,
            "us/s",
            None,
            MAX_CPU_US_PER_S,
        ),
    ]


def measure_restart(retention_s: float, label: str) -> list[dict[str, Any]]:
    """Return the records read at a restart; the baseline is without bookmarks."""
    log, log_start = _make_log(retention_s)
    scanned = max(log_start, len(log) - SCAN_RECORDS)
    start, _ = restart_point(list(enumerate(log))[scanned:], log_start)
    n_read = len(log) - min(start, scanned)  # scanned records are not read again
    baseline = len(log) - log_start
    metric = f"records read at restart, retention {label}"
    return [_row(metric, n_read, "records", baseline, None)]


def measure_index() -> list[dict[str, Any]]:
    """Return time per folded record by size of the index, and memory per entry."""
    rows: list[dict[str, Any]] = []
    smallest = None
    for n_entries in INDEX_SIZES:
        index, us = _fold_at_size(n_entries)
        smallest = smallest or us
        metric = f"fold one record, {n_entries} entries"
        rows.append(_row(metric, us, "us", smallest, None))
        del index
    for n_records, state in ((1, "claimed"), (2, "started"), (3, "finished")):
        n_bytes = _entry_bytes(n_records)
        rows.append(_row(f"index entry of a {state} order", n_bytes, "B", None, None))
    return rows


def _row(
    metric: str, value: float, unit: str, baseline: float | None, target: float | None
) -> dict[str, Any]:
    return {
        "bench": "coordination",
        "metric": metric,
        "value": round(value, 2),
        "unit": unit,
        "baseline": None if baseline is None else round(baseline, 2),
        "ratio": round(value / baseline, 3) if baseline else None,
        "target": target,
    }


def _n_wire_bytes(body: bytes) -> int:
    envelope = idl.Envelope(1 << 20, False, "heartbeat", body, "")
    return len(encode(envelope)) + FRAME_HEADER_BYTES


def _earlier_bytes_per_s(n_members: int, n_domains: int) -> float:
    entries = [
        (
            Member(
                f"domain{index % n_domains}-e{index // n_domains}",
                time.time_ns(),
                100_000,
                f"10.0.0.{index}:7000",
                f"domain{index % n_domains}",
            ),
            MemberState.ALIVE,
        )
        for index in range(min(n_members, MAX_HEARTBEAT_ENTRIES + 1))
    ]
    message = Heartbeat(entries[0][0], tuple(entries[1:]))
    n_local = n_members // n_domains - 1
    # Each heartbeat is answered, and on average as many arrive as are sent.
    n_messages = 2.0 * (n_local / LOCAL_INTERVAL_S + 1.0 / REMOTE_INTERVAL_S)
    return n_messages * _n_wire_bytes(encode(heartbeat_to_thrift(message)))


def _make_request(request_id: str, at: float) -> dict[str, Any]:
    need = Resources(1.0, 256.0)
    request = Request(request_id, RequestKind.ORDER, "pumps", need, deadline=at + 60.0)
    return request.to_dict()


def _wire(record: Record) -> Record:
    data: dict[str, Any] = orjson.loads(orjson.dumps(record_to_dict(record)))
    return record_from_dict(data)


def _records_of(number: int, at: float, offset: int) -> tuple[Claim, Started, Done]:
    """Return the records of one order whose claim has a given offset."""
    request_id = f"order-{number}"
    task_id = f"{request_id}/0"
    answer = {"request_id": request_id, "state": "done", "results": []}
    return (
        Claim(request_id, "Tainan/0", _make_request(request_id, at), at),
        Started(request_id, task_id, "w1", 1, "life", "e1@1", -1, offset),
        Done(request_id, answer, at + 1.0, "Tainan/0", offset, offset + 1),
    )


def _make_log(retention_s: float) -> tuple[list[Record], int]:
    """Return a generated log of 1.5 retention periods, and its first offset."""
    rng = random.Random(1)
    index = make_request_index(WINDOW_S)
    log: list[Record] = []
    times: list[float] = []
    at = 1e9

    def append(record: Record) -> None:
        index.apply(len(log), record)
        log.append(record)
        times.append(at)

    end_at = at + 1.5 * retention_s
    number = 0
    next_refresh_at = at
    while at < end_at:
        at += rng.expovariate(REQUESTS_PER_S)
        number += 1
        claim, start, done = _records_of(number, at, len(log))
        append(claim)
        append(start)
        if number % SERVICE_EVERY:
            append(done)
        if at >= next_refresh_at:
            next_refresh_at = at + 30.0
            for entry in due_refreshes(index, at, retention_s, 100, ["Tainan/0"]):
                append(refresh_record(index, entry, at))
        if bookmark_due(index):
            found = bookmark_record(index)
            if found is not None:
                append(found)
    log_start = sum(1 for item in times if item < at - retention_s)
    return log, log_start


def _fold_at_size(n_entries: int) -> tuple[RequestIndex, float]:
    """Return an index with some entries, and microseconds per further record."""
    index = make_request_index(WINDOW_S)
    at = 1e9
    for number in range(n_entries):
        index.apply(number, _wire(_records_of(number, at, number)[0]))
    offset = index.next_offset
    folded: list[dict[str, Any]] = []
    for number in range(n_entries, n_entries + N_FOLDED // 3):
        at += 1.0
        records = _records_of(number, at, offset + len(folded))
        folded += [record_to_dict(record) for record in records]
    gc.collect()
    started_at = time.process_time()
    for data in folded:
        index.apply(offset, record_from_dict(data))
        offset += 1
    us = (time.process_time() - started_at) * 1e6 / len(folded)
    return index, us


def _entry_bytes(n_records: int) -> float:
    """Return the bytes per entry after a number of records of each order."""
    n_entries = 10_000
    gc.collect()
    tracemalloc.start()
    index = make_request_index(WINDOW_S)
    offset = 0
    for number in range(n_entries):
        for record in _records_of(number, 1e9, offset)[:n_records]:
            index.apply(offset, _wire(record))
            offset += 1
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return n_bytes / n_entries
