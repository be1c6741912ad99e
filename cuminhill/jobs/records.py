"""Journal records of jobs and their JSON form.

The journal keeps the newest record of each key, so each record holds the complete state
for its key.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from ..model import Resources
from .model import Job, Step

if TYPE_CHECKING:
    from collections.abc import Mapping

JOB_PREFIX, RUN_PREFIX, CANCEL_PREFIX, LEADER_KEY, MEMBER_PREFIX = (
    "job/",
    "run/",
    "cancel/",
    "lead",
    "vm/",
)
SPEEDS_KEY = "speeds"  # of all workers, written by the placer
# Ends of the leases that the placer no longer extends. Not a part of its claim, since
# earlier builds read claims strictly.
LEASES_KEY = "leases"
# A resignation written through another VM. It has its own key: that VM's appends are
# not fenced by terms, so a late one would overwrite a newer claim under `LEADER_KEY`.
RESIGNATION_KEY = "resigned"


@dataclass(frozen=True, slots=True)
class JournalRecord:
    """One record read from the journal.

    Parameters
    ----------
    offset : int
        Position in the journal; -1 for a record of a snapshot.
    key : str
        Kind and identity of what the record describes.
    value : bytes
        JSON; empty for a deleted key.
    """

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Claim of a term as the placer.

    Parameters
    ----------
    term : int
        Number of the term; the first claim of the highest term wins.
    vm : str
        Claiming VM.
    nonce : str
        Distinguishes incarnations of the process and repeated claims.
    resigned : bool
        Whether the placer has resigned, so that another may claim at once.
    latency_s : float, seconds
        Mean latency of the placer's appends, so that others do not mistake a slow
        journal for a dead placer.
    """

    term: int
    vm: str
    nonce: str
    resigned: bool = False
    latency_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Member:
    """Registration of an entry VM.

    Parameters
    ----------
    address : str
        ``"host:port"`` at which other VMs call it.
    fitness : float
        Suitability as the placer, from 0 to 1; 1 if neither its processor nor its link
        would be a bottleneck.
    """

    address: str
    fitness: float = 1.0


@dataclass(frozen=True, slots=True)
class LeaseBound:
    """Worker whose leases a placer does not extend.

    Parameters
    ----------
    worker_id : str
        The worker.
    incarnation : int
        Its incarnation that holds the leases.
    left_s : float, seconds
        Time from the encoding of the record until all leases have lapsed.
    """

    worker_id: str
    incarnation: int
    left_s: float


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """All workers whose leases the placer of a term does not extend.

    A term extends no lease on a listed worker until a record without it is stored.

    Parameters
    ----------
    term : int
        The term that wrote the record.
    address : str
        ``"host:port"`` at which other VMs call the placer.
    earlier_left_s : float, seconds
        Time from the encoding of the record until all leases have lapsed that terms
        before this one can have granted on workers that it has not reached.
    bounds : tuple of LeaseBound
        The workers that carry runs and that the term does not reach.
    """

    term: int
    address: str = ""
    earlier_left_s: float = 0.0
    bounds: tuple[LeaseBound, ...] = ()


NO_LEASES = LeaseRecord(0)
NO_LEADER = LeaderRecord(0, "", "", resigned=True)


def encode_leader_record(record: LeaderRecord) -> bytes:
    """Return the JSON form of a claim."""
    return orjson.dumps(record)


def decode_leader_record(value: bytes) -> LeaderRecord:
    """Return the claim for its JSON form."""
    return LeaderRecord(**orjson.loads(value))


def encode_member(member: Member) -> bytes:
    """Return the JSON form of a registration."""
    return orjson.dumps(member)


def decode_member(value: bytes) -> Member:
    """Return the registration for its JSON form."""
    return Member(**orjson.loads(value))


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Return the JSON form of the ends of leases."""
    return orjson.dumps(
        {
            "term": record.term,
            "address": record.address,
            "earlier_left_ms": _to_ms(record.earlier_left_s),
            "left_ms": [
                [bound.worker_id, bound.incarnation, _to_ms(bound.left_s)]
                for bound in record.bounds
            ],
        }
    )


def _to_ms(left_s: float) -> int:
    return max(0, math.ceil(left_s * 1000))


def decode_lease_record(value: bytes) -> LeaseRecord:
    """Return the ends of leases for their JSON form.

    Raises
    ------
    ValueError, TypeError, KeyError, OverflowError
        If the record is malformed.
    """
    data = orjson.loads(value)
    return LeaseRecord(
        int(data["term"]),
        str(data["address"]),
        max(0, int(data["earlier_left_ms"])) / 1000,
        tuple(
            LeaseBound(str(worker_id), int(incarnation), max(0, int(left_ms)) / 1000)
            for worker_id, incarnation, left_ms in data["left_ms"]
        ),
    )


def encode_job(job: Job) -> bytes:
    """Return the JSON form of a job."""
    return orjson.dumps(
        {
            "queue": job.queue,
            "payload": job.payload,
            "accepted_at": job.accepted_at,
            "times": [job.n_times, job.first_due_at, job.period_s],
            "steps": [_step_to_dict(step) for step in job.steps],
        }
    )


def decode_job(job_id: str, value: bytes) -> Job:
    """Return the job for its JSON form."""
    data = orjson.loads(value)
    n_times, first_due_at, period_s = data["times"]
    return Job(
        job_id,
        data["queue"],
        data["payload"],
        tuple(_step_from_dict(item) for item in data["steps"]),
        data["accepted_at"],
        n_times,
        first_due_at,
        period_s,
    )


def _step_to_dict(step: Step) -> dict[str, Any]:
    need = step.need
    data: dict[str, Any] = {
        "n": step.n_tasks,
        "need": [need.cores, need.memory_mb, need.accelerators],
        "time": step.run_time_s,
    }
    for name in _OPTIONAL:
        value = getattr(step, name)
        if value:
            data[name] = value
    return data


_OPTIONAL = (
    "after",
    "checkpoints",
    "gang",
    "same_rack",
    "required_label",
    "near_rack",
    "max_per_worker",
    "speculative",
    "long_running",
    "may_miss",
    "fills",
)


def _step_from_dict(data: Mapping[str, Any]) -> Step:
    optional = {name: data[name] for name in _OPTIONAL if name in data}
    optional["after"] = tuple(optional.get("after", ()))
    need = task_need(*data["need"])
    return Step(data["n"], need, data["time"], **optional)


def task_need(cores: float, memory_mb: float, accelerators: float) -> Resources:
    """Return the resources of a task; tasks of jobs use no slots and connections."""
    return Resources(cores, memory_mb, accelerators, 0.0, 0.0)
