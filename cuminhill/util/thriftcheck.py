"""Checks the structure of a thrift struct in binary form before it is decoded.

thriftpy2 believes the lengths that it reads: a few wrong bytes made it allocate
4 GB and block for 3 s. This walk accepts only lengths that the data can hold.
"""

from __future__ import annotations

import struct

MAX_DEPTH = 8
MAX_ITEMS = 4096  # elements of all containers of one message

_STOP, _STRING, _STRUCT, _MAP, _SET, _LIST = 0, 11, 12, 13, 14, 15
# Bytes of types with a fixed size: bool, byte, double, i16, i32, i64.
_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
_FIELD = struct.Struct("!bh")
_LENGTH = struct.Struct("!i")
_LIST_HEAD = struct.Struct("!bi")
_MAP_HEAD = struct.Struct("!bbi")


class StructureError(ValueError):
    """The bytes are not one well-formed struct."""


class _Walk:
    """Position in the data and what is left of the bounds."""

    __slots__ = ("data", "n_items", "pos")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.pos = 0
        self.n_items = 0

    def fields(self, depth: int) -> None:
        """Pass over the fields of a struct."""
        if depth > MAX_DEPTH:
            raise StructureError(f"nested deeper than {MAX_DEPTH}")
        while self.data[self.pos] != _STOP:
            kind, _ = _FIELD.unpack_from(self.data, self.pos)
            self.pos += _FIELD.size
            self.value(kind, depth)
        self.pos += 1

    def value(self, kind: int, depth: int) -> None:
        """Pass over one value."""
        size = _SIZES.get(kind)
        if size is not None:
            self.skip(size)
        elif kind == _STRING:
            (length,) = _LENGTH.unpack_from(self.data, self.pos)
            self.pos += _LENGTH.size
            self.skip(length)
        elif kind == _STRUCT:
            self.fields(depth + 1)
        elif kind in {_LIST, _SET}:
            item, count = _LIST_HEAD.unpack_from(self.data, self.pos)
            self.pos += _LIST_HEAD.size
            self.items((item,), count, depth)
        elif kind == _MAP:
            key, item, count = _MAP_HEAD.unpack_from(self.data, self.pos)
            self.pos += _MAP_HEAD.size
            self.items((key, item), count, depth)
        else:
            raise StructureError(f"unknown type {kind}")

    def items(self, kinds: tuple[int, ...], count: int, depth: int) -> None:
        """Pass over the elements of a container."""
        self.n_items += count
        if count < 0 or self.n_items > MAX_ITEMS:
            raise StructureError(f"container of {count} elements")
        if depth >= MAX_DEPTH:
            raise StructureError(f"nested deeper than {MAX_DEPTH}")
        for _ in range(count):
            for kind in kinds:
                self.value(kind, depth + 1)

    def skip(self, size: int) -> None:
        """Pass over bytes that must be there."""
        end = self.pos + size
        if size < 0 or end > len(self.data):
            raise StructureError(f"length {size} exceeds the data")
        self.pos = end


def check_struct(data: bytes) -> None:
    """Return if the data is exactly one well-formed struct.

    Raises
    ------
    StructureError
        If a length, type or depth is wrong, or bytes are missing or left over.
    """
    walk = _Walk(data)
    try:
        walk.fields(1)
    except (IndexError, struct.error) as exc:
        raise StructureError(f"ends at byte {len(data)}") from exc
    if walk.pos != len(data):
        raise StructureError(f"{len(data) - walk.pos} bytes are left over")
