"""Messages of the users' platform, converted from and to the product's types.

Each model mirrors one message. Comments explain fields whose name on the wire is
misleading. These names are not used outside this package.
"""

from __future__ import annotations

import base64
import functools
import ipaddress
import math
import re
import struct
from typing import TYPE_CHECKING, Annotated, Any, Literal

import pydantic
from pydantic import AfterValidator, ConfigDict, FailFast, Field

from ..errors import ProtocolError, ValidationError
from ..jobs.model import (
    AdviceTerms,
    EndedTask,
    EndKind,
    Job,
    Queue,
    QueueTable,
    RunningTask,
    Step,
    TaskKey,
    Team,
    WorkerEntry,
    WorkerReport,
)
from ..jobs.progress import MAX_PROGRESS_BYTES, min_record_bytes
from ..jobs.records import (
    MAX_STEP_RUNS,
    MAX_STEPS,
    MAX_TASKS,
    MAX_TIME_S,
    MAX_WEIGHT,
    JournalRecord,
    task_need,
)
from ..jobs.teamkeys import KeyTable, make_key_table
from ..util.addresses import check_address
from ..util.validation import (
    MAX_COUNT,
    MAX_INTEGER,
    Count,
    Message,
    Name,
    brief,
    first_problem,
    validate_json,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

MS_PER_S = 1000.0
MILLICORES_PER_CORE = 1000.0  # the platform counts processors in millicores
MAX_SPEC_BYTES = 4000
MAX_BORN_MS = 4_102_444_800_000  # the year 2100
MAX_DRAIN_MS = 1e10
MAX_STRETCH = 1e6
MAX_TEAMS = 10_000
MAX_TEAM_KEYS = 1000
# Capacity of one worker, far above any machine.
MAX_WORKER_MILLICORES = 1 << 24
MAX_WORKER_MEMORY_MB = 1 << 28
MAX_WORKER_GPUS = 1 << 12
MAX_LABELS = 32
MAX_CACHED_ADDRESSES = 4096  # of workers
MAX_LABEL_CHARS = 200  # of a worker; a job that asks for a longer one never runs
MAX_CHECKPOINT_CHARS = 4096
MAX_TICKET_CHARS = 4096
MAX_LOGGED_NAME = 80  # characters of a name in an error
# Each report of a worker repeats the names of its tasks; more than run at a time on a
# site with 270 workers.
MAX_CACHED_NAMES = 4096
_TASK_NAME = re.compile(
    r"([0-9A-Za-z_-]{1,64})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})"
)
# An id is sent in a header of each call, so it has no spaces and control characters.
WORKER_ID = re.compile(r"[!-~]{1,200}")


# Each worker repeats its registration about every second.
@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _check_worker_address(value: str) -> str:
    host = ipaddress.IPv4Address(check_address(value).rpartition(":")[0])
    if host.is_unspecified or host.is_multicast:
        raise ValueError("address of one machine")
    return value


WorkerAddress = Annotated[str, AfterValidator(_check_worker_address)]


Label = Annotated[str, Field(max_length=MAX_LABEL_CHARS)]
_Duration = Annotated[float, Field(ge=0, le=MAX_TIME_S * MS_PER_S)]
_Number = Annotated[int, Field(ge=0, le=MAX_INTEGER)]


class _StepBody(Message):
    count: Annotated[int, Field(ge=1, le=MAX_TASKS)]
    cpu: Count = 0  # millicores
    mem_mb: Count = 0
    gpu: Count = 0
    est_runtime_ms: Annotated[float, Field(ge=0, le=1e10)] = 0.0
    # Only the first error is told; one for each wrong number of a body would take
    # 1.5 KB apiece.
    after: Annotated[tuple[Count, ...], FailFast()] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: Label = ""
    affinity: Label = ""  # rack of the input data
    max_per_server: Count = 0
    speculative: bool = False
    long_running: bool = False
    may_miss: Count = 0
    fills: bool = False


class _JobBody(Message):
    spec: Annotated[str, Field(max_length=MAX_SPEC_BYTES)]
    # Steps of the job; the platform's documentation calls them steps as well.
    phases: Annotated[list[_StepBody], Field(min_length=1, max_length=MAX_STEPS)]
    times: Count = 0
    # The journal reads back what is within these bounds.
    first_run_ms: _Duration = 0.0
    period_ms: _Duration = 0.0


def decode_job_body(job_id: str, queue: str, body: bytes, wall: float) -> Job:
    """Decode the body of a job submission.

    Raises
    ------
    ValidationError
        If a field is missing, of a wrong type or out of range, or a step depends on
        itself or a later step; the message names the field.
    """
    try:
        message = _JobBody.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise ValidationError(first_problem(exc), step="decode") from exc
    if max(1, message.times) * len(message.phases) > MAX_STEP_RUNS:
        raise ValidationError(
            f"times: over {MAX_STEP_RUNS} runs of steps", step="decode"
        )
    steps = []
    for number, item in enumerate(message.phases):
        if any(earlier >= number for earlier in item.after):
            raise ValidationError(
                f"phases.{number}.after: names a step that is not earlier",
                step="decode",
            )
        steps.append(_decode_step(item))
    job = Job(
        job_id,
        queue,
        message.spec,
        tuple(steps),
        wall,
        message.times,
        message.first_run_ms / MS_PER_S,
        message.period_ms / MS_PER_S,
    )
    _check_progress_length(job)
    return job


def _check_progress_length(job: Job) -> None:
    """Check that the journal can store the progress of a job.

    Raises
    ------
    ValidationError
        If it can't.
    """
    if min_record_bytes(job) > MAX_PROGRESS_BYTES:
        raise ValidationError("phases: too many tasks at a time", step="decode")


def _decode_step(item: _StepBody) -> Step:
    return Step(
        n_tasks=item.count,
        need=task_need(
            item.cpu / MILLICORES_PER_CORE, float(item.mem_mb), float(item.gpu)
        ),
        run_time_s=item.est_runtime_ms / MS_PER_S,
        after=item.after,
        checkpoints=item.checkpoints,
        gang=item.gang,
        same_rack=item.same_rack,
        required_label=item.required_label,
        near_rack=item.affinity,
        max_per_worker=item.max_per_server,
        speculative=item.speculative,
        long_running=item.long_running,
        may_miss=item.may_miss,
        fills=item.fills,
    )


class _AdviceBody(Message):
    decide_ms: _Duration
    each_ms: _Duration  # per worker named in a call
    valid_ms: _Duration


class _RouteBody(Message):
    name: Name
    host: str
    path_prefix: str
    service: Name  # worker pool that runs the queue's jobs
    priority: _Number = 0
    max_attempts: _Number = 0
    stretch: Annotated[float, Field(ge=0, le=MAX_STRETCH)] = 1.0
    target_duration_ms: _Duration = 0.0
    advice: _AdviceBody | None = None
    public: bool = False


# Also one with a fraction: a cap may be computed as a share of a pool.
_CapAmount = Annotated[float, Field(ge=0, le=MAX_INTEGER)]


class _CapBody(Message):
    # Of a team's runs over all workers; 0 is no limit.
    cpu: _CapAmount = 0.0  # millicores
    mem_mb: _CapAmount = 0.0
    gpu: _CapAmount = 0.0


# A header can carry no other characters.
_ApiKey = Annotated[str, Field(pattern=r"^[!-~]{1,200}$")]


class _TeamBody(Message):
    name: Name
    api_keys: Annotated[tuple[_ApiKey, ...], Field(max_length=MAX_TEAM_KEYS)] = ()
    weight: Annotated[float, Field(ge=0, le=MAX_WEIGHT)] = 1.0
    cap: _CapBody = _CapBody()


class _LimitsBody(Message):
    max_body_bytes: Annotated[int, Field(ge=1, le=MAX_INTEGER)] = 1 << 18


class _ConfigBody(Message):
    # The text of a validation error would quote keys.
    model_config = ConfigDict(hide_input_in_errors=True)

    version: _Number
    routes: list[_RouteBody]
    limits: _LimitsBody = _LimitsBody()
    # Teams. No teams (an empty list) differs from no list: callers then need keys, and
    # there are none. Null is malformed, so that it can't turn the check off.
    tenants: Annotated[tuple[_TeamBody, ...], Field(max_length=MAX_TEAMS)] = ()


def decode_queue_table(value: bytes) -> QueueTable:
    """Decode the queues and teams of an operator's configuration.

    Raises
    ------
    ProtocolError
        If the configuration is malformed, a team is named twice or two teams have the
        same key; the message contains no key.
    """
    message = validate_json(_ConfigBody, value, step="config", peer="op/config")
    teams, keys = None, None
    if "tenants" in message.model_fields_set:
        teams, keys = _make_teams(message.tenants)
    queues = {}
    for route in message.routes:
        advice = route.advice
        queues[route.name] = Queue(
            name=route.name,
            host=route.host,
            path_prefix=route.path_prefix,
            pool=route.service,
            priority=route.priority,
            max_attempts=max(1, route.max_attempts),
            stretch=route.stretch,
            target_s=route.target_duration_ms / MS_PER_S,
            advice=None
            if advice is None
            else AdviceTerms(
                advice.decide_ms / MS_PER_S,
                advice.each_ms / MS_PER_S,
                advice.valid_ms / MS_PER_S,
            ),
            public=teams is not None and route.public,
        )
    return QueueTable(
        message.version, queues, message.limits.max_body_bytes, teams, keys
    )


def _make_teams(items: tuple[_TeamBody, ...]) -> tuple[dict[str, Team], KeyTable]:
    teams: dict[str, Team] = {}
    for number, item in enumerate(items):
        if item.name in teams:
            raise ProtocolError(
                f"tenants.{number}.name: repeated", step="config", peer="op/config"
            )
        cap = task_need(
            item.cap.cpu / MILLICORES_PER_CORE, item.cap.mem_mb, item.cap.gpu
        )
        teams[item.name] = Team(item.name, item.weight, cap)
    try:
        keys = make_key_table((item.name, item.api_keys) for item in items)
    except ValidationError as exc:
        raise ProtocolError(exc.message, step="config", peer="op/config") from exc
    return teams, keys


class _CapacityBody(Message):
    cpu: Annotated[int, Field(ge=0, le=MAX_WORKER_MILLICORES)]
    mem_mb: Annotated[int, Field(ge=0, le=MAX_WORKER_MEMORY_MB)]
    gpu: Annotated[int, Field(ge=0, le=MAX_WORKER_GPUS)] = 0


class _ServerBody(Message):
    service: Name
    addr: WorkerAddress
    zone: Name
    state: Literal["ready", "draining"]
    capacity: _CapacityBody
    labels: Annotated[tuple[Name, ...], Field(max_length=MAX_LABELS)] = ()
    born: Annotated[int, Field(ge=1, le=MAX_BORN_MS)]
    drain_remaining_ms: Annotated[float, Field(ge=0, le=MAX_DRAIN_MS)] = 0.0


def decode_worker_entry(worker_id: str, value: bytes) -> WorkerEntry:
    """Decode the registration of a worker.

    Raises
    ------
    ProtocolError
        If the id or a field is missing, malformed or out of range; the registration
        then names no worker that can be used.
    """
    if WORKER_ID.fullmatch(worker_id) is None:
        raise ProtocolError("malformed id", step="registry", peer=repr(worker_id))
    message = validate_json(_ServerBody, value, step="registry", peer=worker_id)
    capacity = message.capacity
    return WorkerEntry(
        worker_id=worker_id,
        incarnation=message.born,
        pool=message.service,
        address=message.addr,
        failure_domain=message.zone,
        labels=message.labels,
        capacity=task_need(
            capacity.cpu / MILLICORES_PER_CORE,
            float(capacity.mem_mb),
            float(capacity.gpu),
        ),
        draining=message.state == "draining",
        drain_left_s=message.drain_remaining_ms / MS_PER_S,
    )


def encode_task_name(key: TaskKey) -> str:
    """Return a task's name on the platform."""
    return f"{key.job_id}.{key.occurrence}.{key.step}.{key.task}"


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def decode_task_name(name: str) -> TaskKey:
    """Decode a task's name on the platform.

    Raises
    ------
    ValueError
        If the name is malformed.
    """
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise ValueError(f"task name {name[:MAX_LOGGED_NAME]!r}")
    job_id, occurrence, step, index = match.groups()
    return TaskKey(job_id, int(occurrence), int(step), int(index))


def decode_integer(value: Any, high: int, low: int = 0) -> int:
    """Return a whole number that a peer has sent.

    Raises
    ------
    ValueError
        If it is of another type or out of range.
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{type(value).__name__} instead of a whole number")
    if not low <= value <= high:
        raise ValueError("number out of range")
    return value


def decode_clock(value: Any) -> int:
    """Return the worker's clock in an answer, 0 if it names none that can be used."""
    try:
        return decode_integer(value["clock_ms"], MAX_INTEGER)
    except (KeyError, TypeError, ValueError):
        return 0


def decode_incarnation(value: Any) -> int:
    """Return the incarnation of the worker in an answer; 0 if missing or malformed."""
    try:
        return decode_integer(value["born"], MAX_BORN_MS)
    except (KeyError, TypeError, ValueError):
        return 0


def _decode_checkpoint(value: Any) -> str:
    """Return a checkpoint; empty, as for none, if it is malformed or too long.

    It is written with the progress of its job, whose record must stay small.
    """
    usable = isinstance(value, str) and len(value) <= MAX_CHECKPOINT_CHARS
    return value if usable else ""


def _decode_percent(row: list[Any]) -> float:
    """Return the progress of a run in percent; 0 if it is missing or malformed.

    A malformed value must not invalidate the row: without it the run would count as
    lost and be started a second time.
    """
    percent = row[3] if len(row) > 3 else None
    if isinstance(percent, bool) or not isinstance(percent, int | float):
        return 0.0
    return 0.0 if math.isnan(percent) else float(min(100, max(0, percent)))


def decode_report(value: Any, peer: str) -> WorkerReport:
    """Decode a worker's lists of running and ended runs.

    Raises
    ------
    ProtocolError
        If the body is malformed.
    """
    try:
        running = tuple(
            RunningTask(
                decode_task_name(row[0]),
                decode_integer(row[1], MAX_COUNT),
                _decode_checkpoint(row[2]),
                _decode_percent(row),
            )
            for row in value.get("running") or ()
        )
        ended = tuple(
            EndedTask(
                decode_integer(row[0], MAX_INTEGER),
                decode_task_name(row[1]),
                decode_integer(row[2], MAX_COUNT),
                EndKind(row[3]),
                _decode_checkpoint(row[4]),
            )
            for row in value.get("ended") or ()
        )
        clock_ms = decode_integer(value["clock_ms"], MAX_INTEGER)
        incarnation = decode_integer(value.get("born", 0), MAX_BORN_MS)
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as exc:
        raise ProtocolError(brief(exc), step="hold", peer=peer) from exc
    return WorkerReport(clock_ms, incarnation, running, ended)


def decode_tickets(rows: Any, peer: str) -> list[tuple[str, str]]:
    """Decode rows of a permitted worker and its ticket; malformed ones are left out.

    Raises
    ------
    ProtocolError
        If the value is not a list.
    """
    if not isinstance(rows, list):
        raise ProtocolError("no list of tickets", step="advise", peer=peer)
    return [(row[0], row[1]) for row in rows if _is_ticket(row)]


def _is_ticket(row: Any) -> bool:
    if not isinstance(row, list) or len(row) < 2:
        return False
    worker_id, ticket = row[:2]
    return (
        isinstance(worker_id, str)
        and isinstance(ticket, str)
        and 0 < len(ticket) <= MAX_TICKET_CHARS
    )


UNREADABLE = b"\xff"  # value of a record whose own could not be read; not JSON
_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")


def encode_keyed_records(records: Iterable[tuple[str, bytes]]) -> bytes:
    """Return the body of an append to a topic that keeps the newest record per key."""
    parts = []
    for key, value in records:
        name = key.encode()
        parts += [_LENGTH.pack(1 + len(name) + len(value)), bytes([len(name)])]
        parts += [name, value]
    return b"".join(parts)


def decode_page(
    body: bytes, offset: int, peer: str
) -> tuple[int, int, list[JournalRecord]]:
    """Return end, first retained offset and records of a page read from ``offset``.

    Raises
    ------
    ProtocolError
        If the page is malformed.
    """
    try:
        end, first = _BOUNDS.unpack_from(body)
        pos = _BOUNDS.size
        records = []
        while pos < len(body):
            (length,) = _LENGTH.unpack_from(body, pos)
            pos += _LENGTH.size
            content = body[pos : pos + length]
            if len(content) < length:
                break  # incomplete record at the end; the next read starts there
            pos += length
            records.append(_decode_keyed_record(offset, content))
            offset += 1
        return end, first, records
    except (struct.error, IndexError) as exc:
        raise ProtocolError(repr(exc), step="read", peer=peer) from exc


def _decode_keyed_record(offset: int, content: bytes) -> JournalRecord:
    """Return a record; one without a complete key has none and the value `UNREADABLE`.

    Cut off, the key could be that of another record, which would count as deleted.
    """
    n_key = content[0] if content else 0
    if len(content) < 1 + n_key:
        return JournalRecord(offset, "", UNREADABLE)
    key = content[1 : 1 + n_key].decode("utf-8", "replace")
    return JournalRecord(offset, key, content[1 + n_key :])


def decode_newest_records(items: Any) -> list[JournalRecord]:
    """Decode the newest records of a topic.

    A record with a malformed field has the value `UNREADABLE`, so that whoever knows
    its key can tell it from one that is deleted. One without a key is left out.

    Raises
    ------
    TypeError
        If the value is not a list.
    """
    if not isinstance(items, list):
        raise TypeError("no list of records")
    return [
        _decode_newest_record(item)
        for item in items
        if isinstance(item, dict) and isinstance(item.get("key"), str)
    ]


def _decode_newest_record(item: dict[str, Any]) -> JournalRecord:
    try:
        offset = decode_integer(item.get("offset"), MAX_INTEGER)
        value = base64.b64decode(item["value"])
    except (KeyError, TypeError, ValueError):
        return JournalRecord(0, item["key"], UNREADABLE)
    return JournalRecord(offset, item["key"], value)
