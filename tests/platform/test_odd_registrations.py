"""Tests of registrations that another writer has left among those of the workers."""

from __future__ import annotations

import json

import curio
import pytest

from cuminhill.errors import ProtocolError
from cuminhill.jobs.model import JobState
from cuminhill.platform.wire import decode_worker_entry
from standins.job_platform import overlapping_runs
from tests.jobs.builders import make_job, make_step
from tests.jobs.conftest import Cluster

MAX_LOGGED = 400  # characters of the log line of a registration
BORN_MS = 1_700_000_000_000
ENTRY = {
    "service": "pool",
    "addr": "127.0.0.1:8080",
    "zone": "d1",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
    "labels": ["a", "r1-1"],
    "born": BORN_MS,
}
DEPTH = 100_000
DIGITS = "9" * 5000


def encode(**fields):
    """Return a registration; a value given as bytes is inserted as raw JSON."""
    rows = [
        json.dumps(key).encode()
        + b":"
        + (value if isinstance(value, bytes) else json.dumps(value).encode())
        for key, value in (ENTRY | fields).items()
    ]
    return b"{" + b",".join(rows) + b"}"


ODD = {
    "open brackets": b"[" * DEPTH,
    "nested unknown field": encode(more=b"[" * DEPTH + b"]" * DEPTH),
    "nested objects": encode(more=b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    "nested labels": encode(labels=b"[" * DEPTH + b"]" * DEPTH),
    "label in 500 arrays": encode(labels=b"[" * 500 + b'"a"' + b"]" * 500),
    "born of 5000 digits": encode(born=DIGITS.encode()),
    "born of 4000 digits": encode(born=b"9" * 4000),
    "born over 64 bits": encode(born=1 << 64),
    "born of 64 bits": encode(born=1 << 63),
    "born in seconds x 1e6": encode(born=BORN_MS * 1000),
    "born 1e400": encode(born=b"1e400"),
    "born NaN": encode(born=b"NaN"),
    "born negative": encode(born=-1),
    "born zero": encode(born=0),
    "born null": encode(born=None),
    "born true": encode(born=True),
    "born a fraction": encode(born=1.5),
    "born missing": json.dumps(
        {k: v for k, v in ENTRY.items() if k != "born"}
    ).encode(),
    "drain time NaN": encode(drain_remaining_ms=b"NaN"),
    "drain time infinite": encode(drain_remaining_ms=b"Infinity"),
    "drain time 1e400": encode(drain_remaining_ms=b"1e400"),
    "drain time of 400 digits": encode(drain_remaining_ms=b"9" * 400),
    "drain time negative": encode(drain_remaining_ms=-1),
    "port 0": encode(addr="127.0.0.1:0"),
    "port 65536": encode(addr="127.0.0.1:65536"),
    "port 99999": encode(addr="127.0.0.1:99999"),
    "port of 5000 digits": encode(addr=f"127.0.0.1:{DIGITS}"),
    "empty octet": encode(addr="127..0.1:80"),
    "empty octets": encode(addr="...:80"),
    "octet over 255": encode(addr="127.0.0.256:80"),
    "three octets": encode(addr="127.0.1:80"),
    "no address": encode(addr="0.0.0.0:80"),
    "port with a line break": encode(addr="127.0.0.1:80\n"),
    "port in other digits": encode(addr="127.0.0.1:٨٠"),
    "service empty": encode(service=""),
    "service huge": encode(service="x" * 1_000_000),
    "zone empty": encode(zone=""),
    "invalid UTF-8": encode().replace(b'"pool"', b'"\xff\xfe"'),
    "half a surrogate pair": encode(service=b'"\\ud800"'),
    "labels null": encode(labels=None),
    "label null": encode(labels=[None]),
    "label an array": encode(labels=[["a"]]),
    "label empty": encode(labels=["", ""]),
    "label huge": encode(labels=["x" * 1_000_000, "r1-1"]),
    "labels of huge number": encode(labels=[str(n) for n in range(100_000)]),
    "capacity null": encode(capacity=None),
    "processor negative": encode(capacity={"cpu": -1, "mem_mb": 1}),
    "processor 1e400": encode(capacity=b'{"cpu":1e400,"mem_mb":1}'),
    "processor too large": encode(capacity={"cpu": 1 << 31, "mem_mb": 1}),
    "memory too large": encode(capacity={"cpu": 1, "mem_mb": 1 << 31}),
    "state unknown": encode(state="lost"),
    "not JSON": b"\x00\x01\x02",
    "byte-order mark": b"\xef\xbb\xbf" + encode(),
    "a number": b"7",
    "null": b"null",
    "an array": b"[]",
    "an empty object": b"{}",
}
ODD_KEYS = ["", "w 1", "w\n1", "w\x00", "w\ufffd", "ä", "x" * 255]


# Guards against an odd registration that is used as a worker, or that raises an error
# which the reader does not handle.
@pytest.mark.parametrize("value", ODD.values(), ids=ODD.keys())
def test_odd_registration_raises_a_protocol_error(value):
    with pytest.raises(ProtocolError) as caught:
        decode_worker_entry("w0", value)
    assert len(str(caught.value)) <= MAX_LOGGED
    assert "\n" not in str(caught.value)


# Guards against a worker whose id cannot be sent in the header of a call.
@pytest.mark.parametrize("key", ODD_KEYS)
def test_registration_under_an_odd_key_raises_a_protocol_error(key):
    with pytest.raises(ProtocolError):
        decode_worker_entry(key, encode())


# Guards against the opposite fault, a sound worker that is ignored.
@pytest.mark.parametrize(
    "value",
    [
        encode(),
        encode(labels=[]),
        encode(labels=["a", "a"]),
        encode(more=b"[" * 50 + b"]" * 50),
        encode(capacity={"cpu": 0, "mem_mb": 0}),
        encode(state="draining", drain_remaining_ms=4500),
        encode(slots=1 << 70, seq=b"1e300"),
    ],
)
def test_sound_registration_is_accepted(value):
    assert decode_worker_entry("w0", value).incarnation == BORN_MS


@pytest.fixture
def cluster():
    """Return a cluster whose registrations have the platform's format."""
    made = Cluster()
    made._decode_worker = decode_worker_entry
    made.config.append_records([("config", b"0")])
    for number in range(2):
        made.add_worker(f"w{number}", BORN_MS)
    made.registry.records.clear()
    for number in range(2):
        made.registry.append_records([(f"w{number}", encode())])
    return made


# Guards against an odd entry that ends or stalls a follower, a term or a process.
@pytest.mark.parametrize("when", ["before the start", "during the term"])
def test_odd_registrations_stop_nothing(cluster, when):
    odd = [(f"odd{number}", value) for number, value in enumerate(ODD.values())]
    odd += [(key, encode()) for key in ODD_KEYS]

    async def main():
        if when == "before the start":
            cluster.registry.append_records(odd)
        node = await cluster.start_node("vm1")
        await cluster.wait_for(cluster.leader)
        term = node.leadership.leader_record.term
        if when == "during the term":
            cluster.registry.append_records(odd)
        await cluster.wait_for(lambda: node.n_bad_registrations >= len(odd))
        cluster.registry.append_records([("w1", b"")])
        await cluster.wait_for(lambda: set(node.workers) == {"w0"})
        job = make_job(make_step(2))
        await cluster.submit(node, job)
        await cluster.wait_for(
            lambda: cluster.state(node, job.job_id) is JobState.COMPLETED
        )
        assert node.leadership.leader_record.term == term
        assert node.n_bad_registrations == len(odd)
        assert node.dump()["bad"]["registrations"] == len(odd)

    curio.run(main)


# Guards against an error of an unexpected type, in one registration, that makes the
# follower skip the others of its page or read its snapshot again and again.
@pytest.mark.parametrize("error", [RecursionError, OverflowError, MemoryError])
def test_unexpected_error_in_a_registration_skips_only_it(cluster, error):
    def decode(worker_id, value):
        if worker_id == "odd":
            raise error
        return decode_worker_entry(worker_id, value)

    async def main():
        cluster._decode_worker = decode
        cluster.registry.append_records([("odd", encode()), ("w2", encode())])
        node = await cluster.start_node("vm1")
        await cluster.wait_for(lambda: node.registry.synced)
        assert set(node.workers) == {"w0", "w1", "w2"}
        assert node.registry.n_snapshots == node.n_bad_registrations == 1

    curio.run(main)


# Guards against running work that is started twice or given up, and against new starts,
# when another writer overwrites the registration of a worker that is in use.
@pytest.mark.parametrize("change_placer", [False, True])
def test_overwritten_registration_leaves_running_work_and_takes_no_starts(
    cluster, change_placer
):
    async def main():
        cluster.registry.append_records([("w1", b"")])
        cluster.workers.workers["w0"].run_time_s = 2.0
        nodes = [await cluster.start_node("vm1"), await cluster.start_node("vm2")]
        await cluster.wait_for(lambda: cluster.leader() and cluster.leader().workers)
        first, second = make_job(job_id="a" * 16), make_job(job_id="b" * 16)
        await cluster.submit(cluster.leader(), first)
        await cluster.wait_for(cluster.workers.history)
        cluster.registry.append_records([("w0", ODD["port 65536"])])
        await cluster.wait_for(lambda: all(node.n_bad_registrations for node in nodes))
        if change_placer:
            await cluster.kill_node(cluster.leader().options.vm)
            await cluster.wait_for(cluster.leader)
        leader = cluster.leader()
        await cluster.submit(leader, second)
        await cluster.wait_for(
            lambda: cluster.state(leader, first.job_id) is JobState.COMPLETED
        )
        await curio.sleep(0.3)
        assert [run.key.job_id for run in cluster.workers.history()] == [first.job_id]
        # The worker's own next registration makes it usable again.
        cluster.registry.append_records([("w0", encode(seq=2))])
        await cluster.wait_for(
            lambda: cluster.state(leader, second.job_id) is JobState.COMPLETED
        )
        history = cluster.workers.history()
        assert len(history) == 2
        assert not overlapping_runs(history)

    curio.run(main)


# Guards against a log that fills with the lines of one entry, or a line without bound.
def test_an_odd_entry_that_is_written_repeatedly_is_logged_once(cluster, capsys):
    async def main():
        cluster.registry.append_records([("odd", ODD["service huge"])])
        node = await cluster.start_node("vm1")
        await cluster.wait_for(lambda: node.registry.synced)
        cluster.registry.append_records([("odd", ODD["service huge"])] * 20)
        await cluster.wait_for(lambda: node.n_bad_registrations >= 20)

    curio.run(main)
    lines = [line for line in capsys.readouterr().out.splitlines() if "odd" in line]
    assert len(lines) == 1
    assert len(lines[0]) <= MAX_LOGGED
