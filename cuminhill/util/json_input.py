"""Bounded decoding of JSON that another process has written."""

from __future__ import annotations

from typing import Any

import orjson

from ..errors import ProtocolError

# orjson reads 1024 levels and writes 254. Deeper values exhaust Python's stack where
# they are printed, copied or compared.
MAX_DEPTH = 254
MAX_ERROR_CHARS = 200


def load_json(data: bytes, *, step: str, peer: str = "") -> Any:
    """Decode JSON.

    Numbers beyond 64 bits become floats; infinite ones are errors, and so is NaN.

    Parameters
    ----------
    step, peer : str
        Step and peer of the error.

    Raises
    ------
    ProtocolError
        If the data is not valid JSON, or is nested deeper than `MAX_DEPTH`.
    """
    try:
        value = orjson.loads(data)
    except (ValueError, RecursionError) as exc:
        raise ProtocolError(str(exc)[:MAX_ERROR_CHARS], step=step, peer=peer) from exc
    if data.count(b"[") + data.count(b"{") > MAX_DEPTH and _is_too_deep(value):
        raise ProtocolError(
            f"nested deeper than {MAX_DEPTH} levels", step=step, peer=peer
        )
    return value


def _is_too_deep(value: Any) -> bool:
    try:
        orjson.dumps(value)
    except TypeError:
        return True  # the only value that `orjson.loads` returns and cannot be written
    return False
