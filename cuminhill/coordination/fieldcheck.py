"""Checks that the fields of a record from a log have the types that it declares."""

from __future__ import annotations

import types
from typing import Any, Union, get_args, get_origin, get_type_hints

MAX_NUMBER = 1 << 53  # integers up to it are exact in every JSON parser

# For each data class, the name of each field and the classes of its values.
_kinds_by_type: dict[type, list[tuple[str, tuple[type, ...]]]] = {}


def check_fields(record: Any) -> None:
    """Check the fields of a data class; containers only by their own type.

    Raises
    ------
    TypeError
        If a field is of another type, or a number is not finite or too large.
    """
    for name, kinds in _field_kinds(type(record)):
        value = getattr(record, name)
        if isinstance(value, bool) and bool not in kinds:
            raise TypeError(f"{name} is a truth value")
        if not isinstance(value, kinds):
            raise TypeError(f"{name} is of type {type(value).__name__}")
        if isinstance(value, int | float) and not abs(value) <= MAX_NUMBER:
            raise TypeError(f"{name} is out of range")


def _field_kinds(kind: type) -> list[tuple[str, tuple[type, ...]]]:
    found = _kinds_by_type.get(kind)
    if found is None:
        hints = get_type_hints(kind)
        found = [(name, _kinds(hint)) for name, hint in hints.items()]
        _kinds_by_type[kind] = found
    return found


def _kinds(hint: Any) -> tuple[type, ...]:
    """Return the classes that a value with a type annotation may have."""
    if get_origin(hint) in {Union, types.UnionType}:
        return tuple(kind for part in get_args(hint) for kind in _kinds(part))
    if hint is Any:
        return (object,)
    if hint is float:
        return (int, float)
    return (get_origin(hint) or hint,)
