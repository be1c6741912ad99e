"""Reads, merges, compares and validates nested tables from TOML or JSON."""

from __future__ import annotations

import re
import reprlib
import tomllib
from dataclasses import dataclass
from functools import cache
from typing import TYPE_CHECKING, Any, TypeVar

from pydantic import BaseModel
from pydantic import ValidationError as PydanticError

from ..errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping
    from pathlib import Path

ABSENT = "absent"
MAX_SHOWN_CHARS = 80
MAX_PROBLEMS = 20  # a malicious body can contain a hundred thousand
# Start of pydantic's messages; the rest describes the expected value.
_MESSAGE_PREFIX = re.compile(r"^(Input|Value|String|Dictionary|List) should (be )?")

Model = TypeVar("Model", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid value in a file or body.

    Parameters
    ----------
    key : tuple of str
        Path of the key.
    value : object
        Value at the key, or `ABSENT`.
    expected : str
        What was expected.
    """

    key: tuple[str, ...]
    value: Any
    expected: str


@dataclass(frozen=True, slots=True)
class Change:
    """A value that differs between two tables; `ABSENT` stands for a missing one."""

    key: str
    old: Any
    new: Any


def read_toml(path: Path, step: str = "config") -> dict[str, Any]:
    """Return the content of a TOML file.

    Raises
    ------
    SettingsError
        If it cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(path.read_text())
    except OSError as exc:
        raise SettingsError(
            f"cannot be read: {exc.strerror}", step=step, peer=str(path)
        ) from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(
            f"is not valid TOML: {exc}", step=step, peer=str(path)
        ) from exc


def merge_tables(base: Mapping[str, Any], overlay: Mapping[str, Any]) -> dict[str, Any]:
    """Return ``base`` with ``overlay`` applied: tables merge, other values replace."""
    merged = dict(base)
    for key, value in overlay.items():
        old = merged.get(key)
        both_tables = isinstance(old, dict) and isinstance(value, dict)
        merged[key] = merge_tables(old or {}, value) if both_tables else value
    return merged


def diff_tables(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Change]:
    """Return the differences between two nested tables, sorted by key."""
    before, after = dict(_flatten(old)), dict(_flatten(new))
    keys = sorted(before.keys() | after.keys())
    return [
        Change(".".join(key), before.get(key, ABSENT), after.get(key, ABSENT))
        for key in keys
        if before.get(key, ABSENT) != after.get(key, ABSENT)
    ]


def validate_model(
    model: type[Model], value: Any
) -> tuple[Model | None, list[Problem]]:
    """Return the validated model, or None and its problems."""
    try:
        return model.model_validate(value), []
    except PydanticError as exc:
        found = exc.errors(include_url=False)[:MAX_PROBLEMS]
        return None, [_make_problem(model, item) for item in found]


def describe_problems(
    problems: list[Problem], layers: list[tuple[str, Any]]
) -> list[str]:
    """Return one line per problem, starting with the layer that set the key."""
    return [
        f"{_find_source(item.key, layers)}: {_format_key(item.key)} = "
        f"{_format_value(item.value)}: expected {item.expected}"
        for item in problems
    ]


def _make_problem(model: type[BaseModel], item: Any) -> Problem:
    key = tuple(str(part) for part in item["loc"] if part != "[key]")
    if item["type"] == "missing":
        return Problem(key, ABSENT, "a value")
    if item["type"] == "extra_forbidden":
        return Problem(
            key, item["input"], f"one of: {', '.join(_allowed_keys(model, key))}"
        )
    message = item["msg"].removeprefix("Value error, ")
    return Problem(key, item["input"], _MESSAGE_PREFIX.sub("", message))


def _allowed_keys(model: type[BaseModel], key: tuple[str, ...]) -> list[str]:
    """Return the names that are allowed in place of an unknown key."""
    schema = _json_schema(model)
    node: Any = schema
    for part in key[:-1]:
        node = node.get("properties", {}).get(part) or _value_schema(node)
        ref = node.get("$ref", "")
        if ref:
            node = schema["$defs"][ref.rpartition("/")[2]]
    return list(node.get("properties", {}))


@cache
def _json_schema(model: type[BaseModel]) -> dict[str, Any]:
    return model.model_json_schema()


def _value_schema(node: Any) -> Any:
    """Return the schema of the values of a table with arbitrary keys."""
    found = node.get("additionalProperties")
    if isinstance(found, dict):
        return found
    return next(iter(node.get("patternProperties", {}).values()), {})


def _find_source(key: tuple[str, ...], layers: list[tuple[str, Any]]) -> str:
    """Return the last layer that sets a key or, failing that, its closest parent."""
    for end in range(len(key), 0, -1):
        for source, content in reversed(layers):
            if _has_key(content, key[:end]):
                return source
    return layers[-1][0]


def _has_key(content: Any, key: tuple[str, ...]) -> bool:
    for part in key:
        if not isinstance(content, dict) or part not in content:
            return False
        content = content[part]
    return True


def _format_key(key: tuple[str, ...]) -> str:
    """Return the dotted path of a key, truncated for a message."""
    text = ".".join(key) or "content"
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f"{text[: MAX_SHOWN_CHARS - 3]}..."


def _format_value(value: Any) -> str:
    text = value if value is ABSENT else reprlib.repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[: MAX_SHOWN_CHARS - 3]}..."


def _flatten(
    value: Mapping[str, Any], prefix: tuple[str, ...] = ()
) -> Iterator[tuple[tuple[str, ...], Any]]:
    for key, item in value.items():
        if isinstance(item, dict):
            yield from _flatten(item, (*prefix, key))
        else:
            yield (*prefix, key), item
