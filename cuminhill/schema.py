"""Models that validate the bodies of HTTP requests."""

from __future__ import annotations

import math
import time
from typing import Annotated, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field

from .errors import ValidationError
from .model import Request, RequestKind, Resources
from .util.tables import describe_problems, validate_model

MAX_TASKS = 10_000
# Payloads are part of log records and start calls, and results are of similar size.
MAX_PAYLOAD_BYTES = 65_536
# orjson parses 1024 levels but serializes only 254, so a deeper payload could be
# accepted but not logged.
MAX_PAYLOAD_DEPTH = 32
# A repeat of an order issued in the future would be accepted for that much longer than
# the deduplication window.
MAX_ISSUED_AHEAD_S = 60.0
DEFAULT_ORDER_DEADLINE_S = 60.0
DEFAULT_CHECK_DEADLINE_S = 5.0

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")]
Amount = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]


class NeedModel(BaseModel):
    """Resources that each task needs."""

    model_config = ConfigDict(extra="forbid", strict=True)

    cores: Amount = 1.0
    memory_mb: Amount = 256.0
    accelerators: Amount = 0.0
    # Without a slot, any number of tasks would fit on one worker.
    slots: Annotated[float, Field(ge=1, le=1e6, allow_inf_nan=False)] = 1.0
    connections: Amount = 1.0


class RequestModel(BaseModel):
    """Body of ``POST /v1/requests``."""

    model_config = ConfigDict(extra="forbid", strict=True)

    request_id: Name
    kind: Annotated[RequestKind, Field(strict=False)]
    team: Name = "default"
    need: NeedModel = Field(default_factory=NeedModel)
    n_tasks: Annotated[int, Field(ge=1, le=MAX_TASKS)] = 1
    priority: Annotated[int, Field(ge=-100, le=100)] = 0
    deadline_s: (
        Annotated[float, Field(gt=0, le=30 * 86400, allow_inf_nan=False)] | None
    ) = None
    issued_at: Annotated[float, Field(ge=0, allow_inf_nan=False)] | None = None
    run_time_s: Annotated[float, Field(ge=0, le=1e7, allow_inf_nan=False)] = 1.0
    job_class: str = Field(default="", max_length=128)
    payload: dict[str, Any] = Field(default_factory=dict)


_DEFAULT_DEADLINES_S = {
    RequestKind.CHECK: DEFAULT_CHECK_DEADLINE_S,
    RequestKind.ORDER: DEFAULT_ORDER_DEADLINE_S,
}


def parse_request(value: Any, peer: str, now: float | None = None) -> Request:
    """Validate a decoded request body and return the request.

    Parameters
    ----------
    value : object
        Decoded JSON.
    peer : str
        Address of the caller, for error messages.
    now : float, seconds since the epoch, default=None
        Wall-clock time from which deadlines count; None reads the system clock.

    Raises
    ------
    ValidationError
        If a field is missing, unknown or out of range; the message names it, its
        value and what was expected.
    """
    model, problems = validate_model(RequestModel, value)
    if model is None:
        lines = describe_problems(problems, [("body", value)])
        raise _validation_error("; ".join(lines), peer)
    if model.kind is RequestKind.ORDER and model.issued_at is None:
        raise _validation_error(
            "issued_at: an order must carry the time at which it was first issued", peer
        )
    _check_payload(model.payload, peer)
    now = time.time() if now is None else now
    ahead_s = (model.issued_at or 0.0) - now
    if ahead_s > MAX_ISSUED_AHEAD_S:
        raise _validation_error(
            f"issued_at = {model.issued_at}: expected a time at most "
            f"{MAX_ISSUED_AHEAD_S:g} s ahead of this VM's clock, not {ahead_s:.0f} s",
            peer,
        )
    deadline_s = model.deadline_s or _DEFAULT_DEADLINES_S.get(model.kind, math.inf)
    return Request(
        request_id=model.request_id,
        kind=model.kind,
        team=model.team,
        need=Resources(**model.need.model_dump()),
        n_tasks=model.n_tasks,
        priority=model.priority,
        deadline=now + deadline_s,
        issued_at=now if model.issued_at is None else model.issued_at,
        run_time_s=model.run_time_s,
        job_class=model.job_class,
        payload=model.payload,
    )


def _check_payload(payload: dict[str, Any], peer: str) -> None:
    """Raise `ValidationError` if a payload is too deep, too large or not JSON."""
    level: list[Any] = [payload]
    for _ in range(MAX_PAYLOAD_DEPTH):
        level = [
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, dict | list)
        ]
        if not level:
            break
    else:
        raise _validation_error(
            f"payload: nested deeper than {MAX_PAYLOAD_DEPTH} levels", peer
        )
    try:
        size = len(orjson.dumps(payload))
    except orjson.JSONEncodeError as exc:
        raise _validation_error(f"payload: {exc}", peer) from exc
    if size > MAX_PAYLOAD_BYTES:
        raise _validation_error(
            f"payload: {size} bytes exceed {MAX_PAYLOAD_BYTES}", peer
        )


def _validation_error(message: str, peer: str) -> ValidationError:
    return ValidationError(message, step="validate", peer=peer)


class PublicationModel(BaseModel):
    """Body of ``POST /v1/config``."""

    model_config = ConfigDict(extra="forbid")

    publication_id: Name
    author: Name
    base_revision: Annotated[int, Field(ge=0)]
    config: dict[str, Any]


def parse_publication(value: Any, peer: str) -> PublicationModel:
    """Validate a decoded publication and return its model.

    Raises
    ------
    ValidationError
        If a field is missing, unknown or out of range; the message names it, its
        value and what was expected.
    """
    model, problems = validate_model(PublicationModel, value)
    if model is None:
        raise _validation_error(
            "; ".join(describe_problems(problems, [("body", value)])), peer
        )
    return model
