"""Journal records of jobs and their JSON form.

The journal keeps the newest record of each key, so each record holds the complete state
for its key.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, fields
from typing import Annotated, Any, NamedTuple

import orjson
from pydantic import AfterValidator, Field

from ..errors import ProtocolError
from ..model import Resources
from ..util.addresses import check_address
from ..util.validation import MAX_INTEGER, Count, Message, Name, validate_json
from .model import AdviceTerms, Job, Queue, Step, Team

JOB_PREFIX, RUN_PREFIX, CANCEL_PREFIX, LEADER_KEY, MEMBER_PREFIX = (
    "job/",
    "run/",
    "cancel/",
    "lead",
    "vm/",
)
SPEEDS_KEY = "speeds"  # of all workers, written by the placer
# Ends of the leases that the placer no longer extends. Not a part of its claim, which
# is stored before the claimant has read the last records of its predecessor.
LEASES_KEY = "leases"
# A resignation written through another VM. It has its own key: that VM's appends are
# not fenced by terms, so a late one would overwrite a newer claim under `LEADER_KEY`.
RESIGNATION_KEY = "resigned"

# Keys under which only placers write; records of jobs have a prefix.
_PLACER_KEYS = {LEADER_KEY, LEASES_KEY, SPEEDS_KEY}

# Longest record, key and value together, that the journal stores.
MAX_RECORD_BYTES = 262_144
MAX_TASKS = 10_000  # of one step; bounds the memory that one request can use
MAX_STEPS = 200
# Of one job, over all occurrences. Each one that is done is listed in the progress of
# the job, a record of at most 256 KB.
MAX_STEP_RUNS = 10_000
# A fencing token is the term shifted by 20 bits and must fit into 63 bits.
MAX_TERM = 1 << 40
MAX_LATENCY_S = 60.0  # beyond it, a claim would delay the next election without end
MAX_LOGGED_ID = 40  # characters of an id in an error
MAX_WEIGHT = 1e9  # of a team
MAX_TIME_S = 1e11  # of times and durations; the year 5138


@dataclass(frozen=True, slots=True)
class JournalRecord:
    """One record read from the journal.

    Parameters
    ----------
    offset : int
        Position in the journal; -1 for a record that was not read from it.
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
    recorded_since : int
        First term from which on, up to this one, each term extends no lease before its
        first record of leases is stored; 0 if this term may do so, as in builds
        without the field.
    """

    term: int
    vm: str
    nonce: str
    resigned: bool = False
    latency_s: float = 0.0
    recorded_since: int = 0


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
    silent_s : float, seconds
        For how long the worker had not answered at the encoding; 0 if not known.
    """

    worker_id: str
    incarnation: int
    left_s: float
    silent_s: float = 0.0


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
    lapse_s : float, seconds
        Time from the sending of the newest append with a record under a placer's key
        until all leases of the term have lapsed. Infinite for builds that extend
        leases also after other appends.
    """

    term: int
    address: str = ""
    earlier_left_s: float = 0.0
    bounds: tuple[LeaseBound, ...] = ()
    lapse_s: float = math.inf


NO_LEASES = LeaseRecord(0)
NO_LEADER = LeaderRecord(0, "", "", resigned=True)


def make_claim(
    term: int,
    vm: str,
    nonce: str,
    newest: LeaderRecord = NO_LEADER,
    latency_s: float = 0.0,
) -> LeaderRecord:
    """Return a claim of a term that extends no lease before its first record.

    Parameters
    ----------
    newest : LeaderRecord
        Newest claim that the claimant has read.
    latency_s : float, seconds
        Mean latency of the claimant's appends.
    """
    follows = newest.term == term - 1 and newest.recorded_since
    since = newest.recorded_since if follows else term
    return LeaderRecord(
        term, vm, nonce, latency_s=round(latency_s, 4), recorded_since=since
    )


def is_placer_key(key: str) -> bool:
    """Return whether only placers write records under a key, also to delete them."""
    return key in _PLACER_KEYS or key.startswith(RUN_PREFIX)


def encode_leader_record(record: LeaderRecord) -> bytes:
    """Return the JSON form of a claim."""
    return orjson.dumps(record)


class _LeaderBody(Message):
    term: Annotated[int, Field(ge=1, le=MAX_TERM)]
    vm: Name
    nonce: Name
    resigned: bool = False
    latency_s: Annotated[float, Field(ge=0, le=MAX_LATENCY_S)] = 0.0
    recorded_since: Annotated[int, Field(ge=0, le=MAX_TERM)] = 0


def decode_leader_record(value: bytes) -> LeaderRecord:
    """Return the claim for its JSON form.

    Raises
    ------
    ProtocolError
        If a field is missing, malformed or out of range.
    """
    return LeaderRecord(**dict(validate_json(_LeaderBody, value, step="claim")))


def encode_member(member: Member) -> bytes:
    """Return the JSON form of a registration."""
    return orjson.dumps(member)


class _MemberBody(Message):
    address: Annotated[str, AfterValidator(check_address)]
    fitness: Annotated[float, Field(ge=0, le=1)] = 1.0


def decode_member(value: bytes) -> Member:
    """Return the registration for its JSON form.

    Raises
    ------
    ProtocolError
        If a field is missing, malformed or out of range.
    """
    return Member(**dict(validate_json(_MemberBody, value, step="member")))


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Return the JSON form of the ends of leases."""
    data: dict[str, Any] = {
        "term": record.term,
        "address": record.address,
        "earlier_left_ms": _to_ms(record.earlier_left_s),
        "left_ms": [
            [bound.worker_id, bound.incarnation, _to_ms(bound.left_s)]
            for bound in record.bounds
        ],
    }
    if any(bound.silent_s > 0 for bound in record.bounds):
        # A list of its own: earlier builds reject rows with another column.
        data["silent_ms"] = [int(bound.silent_s * 1000) for bound in record.bounds]
    if record.lapse_s < math.inf:
        data["lapse_ms"] = _to_ms(record.lapse_s)
    return orjson.dumps(data)


def _to_ms(left_s: float) -> int:
    return max(0, math.ceil(left_s * 1000))


# Worker, incarnation and the time left in milliseconds.
_LeaseRow = tuple[Name, Annotated[int, Field(ge=0, le=MAX_INTEGER)], Count]


class _LeaseBody(Message):
    term: Annotated[int, Field(ge=1, le=MAX_TERM)]
    address: Annotated[str, AfterValidator(check_address)]
    earlier_left_ms: Count
    left_ms: tuple[_LeaseRow, ...]
    silent_ms: tuple[Count, ...] = ()
    lapse_ms: Count | None = None


def decode_lease_record(value: bytes) -> LeaseRecord:
    """Return the ends of leases for their JSON form.

    Raises
    ------
    ProtocolError
        If a field is missing, malformed or out of range.
    """
    body = validate_json(_LeaseBody, value, step="leases")
    silent_ms = body.silent_ms or (0,) * len(body.left_ms)
    if len(silent_ms) != len(body.left_ms):
        raise ProtocolError("silent_ms: wrong length", step="leases")
    return LeaseRecord(
        body.term,
        body.address,
        body.earlier_left_ms / 1000,
        tuple(
            LeaseBound(*row[:2], row[2] / 1000, silent / 1000)
            for row, silent in zip(body.left_ms, silent_ms, strict=True)
        ),
        math.inf if body.lapse_ms is None else body.lapse_ms / 1000,
    )


def encode_job(job: Job) -> bytes:
    """Return the JSON form of a job."""
    data = {
        "queue": job.queue,
        "payload": job.payload,
        "accepted_at": job.accepted_at,
        "times": [job.n_times, job.first_due_at, job.period_s],
        "steps": [_step_to_dict(step) for step in job.steps],
    }
    if job.definition is not None:
        data["definition"] = _queue_to_dict(job.definition)
    if job.team is not None:
        data["team"] = _team_to_dict(job.team)
    return orjson.dumps(data)


def _queue_to_dict(queue: Queue) -> dict[str, Any]:
    data = {item.name: getattr(queue, item.name) for item in fields(queue)}
    if not queue.public:
        # Without teams, records have the same bytes as those of earlier builds.
        del data["public"]
    return data


def _team_to_dict(team: Team) -> dict[str, Any]:
    cap = team.cap
    return {
        "name": team.name,
        "weight": team.weight,
        "cap": [cap.cores, cap.memory_mb, cap.accelerators],
    }


_JOB_ID = re.compile(r"[0-9A-Za-z_-]{1,64}", re.ASCII)
_Amount = Annotated[float, Field(ge=0, le=1 << 31)]
_TeamAmount = Annotated[float, Field(ge=0, le=MAX_INTEGER)]  # over all workers
_Time = Annotated[float, Field(ge=-MAX_TIME_S, le=MAX_TIME_S)]
_Duration = Annotated[float, Field(ge=0, le=MAX_TIME_S)]


class _StepBody(Message):
    n: Annotated[int, Field(ge=1, le=MAX_TASKS)]
    need: tuple[_Amount, _Amount, _Amount]
    time: _Duration
    after: tuple[Count, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    near_rack: str = ""
    max_per_worker: Count = 0
    speculative: bool = False
    long_running: bool = False
    may_miss: Count = 0
    fills: bool = False


class _AdviceBody(Message):
    decide_s: _Duration
    per_worker_s: _Duration
    valid_s: _Duration


class _QueueBody(Message):
    name: Name
    host: str
    path_prefix: str
    pool: Name
    priority: int
    max_attempts: Count
    stretch: _Duration
    target_s: _Duration
    advice: _AdviceBody | None = None
    public: bool = False


class _TeamBody(Message):
    name: Name
    weight: Annotated[float, Field(ge=0, le=MAX_WEIGHT)]
    cap: tuple[_TeamAmount, _TeamAmount, _TeamAmount]


class _JobBody(Message):
    queue: Name
    payload: str
    accepted_at: _Time
    times: tuple[Count, _Time, _Duration]
    steps: Annotated[list[_StepBody], Field(min_length=1, max_length=MAX_STEPS)]
    definition: _QueueBody | None = None
    team: _TeamBody | None = None


def check_job_id(job_id: str) -> str:
    """Return a job's id unchanged if it is valid.

    An id with a dot would make the name of its tasks unreadable, and with it each
    report of a worker that runs one.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    if _JOB_ID.fullmatch(job_id) is None:
        raise ProtocolError("malformed job id", step="job")
    return job_id


def _validate_job(job_id: str, value: bytes) -> _JobBody:
    body = validate_json(_JobBody, value, step="job", peer=job_id[:MAX_LOGGED_ID])
    n_times = body.times[0]
    if max(1, n_times) * len(body.steps) > MAX_STEP_RUNS:
        raise ProtocolError("times: too many", step="job", peer=job_id[:MAX_LOGGED_ID])
    for number, item in enumerate(body.steps):
        if any(earlier >= number for earlier in item.after):
            raise ProtocolError(
                f"steps.{number}.after: not earlier",
                step="job",
                peer=job_id[:MAX_LOGGED_ID],
            )
    return body


class JobHead(NamedTuple):
    """What every VM keeps of a job.

    Parameters
    ----------
    accepted_at : float, seconds
        Wall-clock time of the acceptance.
    team : str
        Name of the team; empty for a job without one.
    starts_at_once : bool
        Whether the job begins as soon as there is room: not one that runs at set times
        or on spare capacity only.
    """

    queue: str
    accepted_at: float
    team: str = ""
    starts_at_once: bool = True


def decode_job_head(job_id: str, value: bytes) -> JobHead:
    """Check the JSON form of a job as `decode_job` does; return a part of it.

    Every VM reads each record, while only the placer needs the job itself.

    Raises
    ------
    ProtocolError
        If a field is missing, malformed or out of range.
    """
    body = _validate_job(job_id, value)
    team = body.team.name if body.team else ""
    starts_at_once = not body.times[0] and not body.steps[0].fills
    return JobHead(body.queue, body.accepted_at, team, starts_at_once)


def decode_job(job_id: str, value: bytes) -> Job:
    """Return the job for its JSON form.

    Raises
    ------
    ProtocolError
        If a field is missing, malformed or out of range.
    """
    body = _validate_job(job_id, value)
    steps = []
    for item in body.steps:
        optional = {name: getattr(item, name) for name in _OPTIONAL}
        steps.append(Step(item.n, task_need(*item.need), item.time, **optional))
    return Job(
        job_id,
        body.queue,
        body.payload,
        tuple(steps),
        body.accepted_at,
        *body.times,
        definition=_make_queue(body.definition) if body.definition else None,
        team=_make_team(body.team) if body.team else None,
    )


def _make_team(body: _TeamBody) -> Team:
    return Team(body.name, body.weight, task_need(*body.cap))


def _make_queue(body: _QueueBody) -> Queue:
    values = dict(body)
    advice = values.pop("advice")
    return Queue(**values, advice=AdviceTerms(**dict(advice)) if advice else None)


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


def task_need(cores: float, memory_mb: float, accelerators: float) -> Resources:
    """Return the resources of a task; tasks of jobs use no slots and connections."""
    return Resources(cores, memory_mb, accelerators, 0.0, 0.0)
