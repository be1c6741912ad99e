"""Models that validate what comes from outside."""

from __future__ import annotations

import math
import time
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field
from pydantic import ValidationError as PydanticError

from .errors import ValidationError
from .model import Request, RequestKind, Resources

MAX_TASKS = 10_000
DEFAULT_ORDER_DEADLINE_S = 60.0
DEFAULT_CHECK_DEADLINE_S = 5.0

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")]
Amount = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]


class NeedModel(BaseModel):
    """What each task needs."""

    model_config = ConfigDict(extra="forbid")

    cores: Amount = 1.0
    memory_mb: Amount = 256.0
    accelerators: Amount = 0.0
    slots: Amount = 1.0
    connections: Amount = 1.0


class RequestModel(BaseModel):
    """Body of ``POST /v1/requests``."""

    model_config = ConfigDict(extra="forbid")

    request_id: Name
    kind: RequestKind
    team: Name = "default"
    need: NeedModel = Field(default_factory=NeedModel)
    n_tasks: Annotated[int, Field(ge=1, le=MAX_TASKS)] = 1
    priority: Annotated[int, Field(ge=-100, le=100)] = 0
    deadline_s: Annotated[float, Field(gt=0, le=30 * 86400)] | None = None
    issued_at: Annotated[float, Field(ge=0, allow_inf_nan=False)] | None = None
    run_time_s: Annotated[float, Field(ge=0, le=1e7)] = 1.0
    job_class: str = Field(default="", max_length=128)
    payload: dict[str, Any] = Field(default_factory=dict)


_DEFAULT_DEADLINES_S = {
    RequestKind.CHECK: DEFAULT_CHECK_DEADLINE_S,
    RequestKind.ORDER: DEFAULT_ORDER_DEADLINE_S,
}


def parse_request(value: Any, peer: str, now: float | None = None) -> Request:
    """Return the request described by a decoded body.

    Parameters
    ----------
    value : object
        Decoded JSON.
    peer : str
        Address of the caller, for the error.
    now : float, seconds since the epoch, default=None
        Wall-clock time from which deadlines count; None reads the system's.

    Raises
    ------
    ValidationError
        If a field is missing, unknown or out of range; the message names it.
    """
    try:
        model = RequestModel.model_validate(value)
    except PydanticError as exc:
        problems = [
            f"{'.'.join(str(part) for part in item['loc']) or 'body'}: {item['msg']}"
            for item in exc.errors()
        ]
        raise ValidationError("; ".join(problems), step="validate", peer=peer) from exc
    if model.kind is RequestKind.ORDER and model.issued_at is None:
        raise ValidationError(
            "issued_at: an order must carry the time at which it was first issued",
            step="validate",
            peer=peer,
        )
    now = time.time() if now is None else now
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
