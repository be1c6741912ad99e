"""Validation of JSON from other processes against models."""

from __future__ import annotations

from typing import Annotated, TypeVar

import pydantic
from pydantic import BaseModel, ConfigDict, Field

from ..errors import ProtocolError

MAX_ERROR_CHARS = 200
MAX_COUNT = 1 << 31
MAX_INTEGER = 1 << 53  # up to it, integers are exact in every JSON parser
Name = Annotated[str, Field(min_length=1, max_length=200)]
Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]


class Message(BaseModel):
    """Base of models of JSON from other processes.

    Unknown fields are ignored, no types are coerced, and numbers must be finite.
    """

    model_config = ConfigDict(extra="ignore", strict=True, allow_inf_nan=False)


def brief(value: object) -> str:
    """Return a printable form of bounded length, for errors and log lines."""
    return ascii(value)[:MAX_ERROR_CHARS]


Model = TypeVar("Model", bound=Message)


def first_problem(exc: pydantic.ValidationError) -> str:
    """Return the first wrong field and what is wrong, on one line."""
    first = exc.errors(include_url=False, include_input=False)[0]
    field = ".".join(str(part) for part in first["loc"])
    return f"{field}: {first['msg']}"[:MAX_ERROR_CHARS]


def validate_json(
    kind: type[Model], data: bytes, *, step: str, peer: str = ""
) -> Model:
    """Return the model for its JSON form.

    Parameters
    ----------
    step, peer : str
        Step and peer of the error.

    Raises
    ------
    ProtocolError
        If the data is not JSON or does not match the model; the message names the
        first wrong field.
    """
    try:
        return kind.model_validate_json(data)
    except pydantic.ValidationError as exc:
        raise ProtocolError(first_problem(exc), step=step, peer=peer) from exc
