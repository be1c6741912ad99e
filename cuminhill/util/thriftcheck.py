"""Validates the structure of a binary thrift struct before it is decoded.

thriftpy2 trusts the lengths that it reads: a few corrupt bytes made it allocate 4 GB
and block for 3 s. This module rejects lengths that exceed the data.
"""

from __future__ import annotations

import struct

MAX_DEPTH = 8
MAX_ELEMENTS = 4096  # total over all containers of one message

_STOP, _STRING, _STRUCT, _MAP, _SET, _LIST = 0, 11, 12, 13, 14, 15
# Bytes of the types of fixed size: bool, byte, double, i16, i32, i64.
_FIXED_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
_FIELD_HEADER_BYTES = 3  # type and number of a field
_LENGTH = struct.Struct("!i")
_LIST_HEADER = struct.Struct("!bi")
_MAP_HEADER = struct.Struct("!bbi")


class StructureError(ValueError):
    """The data is not exactly one well-formed struct."""


class _StructScanner:
    """Skips over the values of a struct, checking lengths and limits."""

    __slots__ = ("data", "n_elements", "pos")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.pos = 0
        self.n_elements = 0

    def skip_fields(self, depth: int) -> None:
        """Skip the fields of a struct."""
        if depth > MAX_DEPTH:
            raise StructureError(f"nested deeper than {MAX_DEPTH}")
        # Scalars and strings are skipped inline; a call for each doubles the time.
        data, pos = self.data, self.pos
        n_bytes = len(data)
        while (type_id := data[pos]) != _STOP:
            pos += _FIELD_HEADER_BYTES
            if type_id in _FIXED_SIZES:
                pos += _FIXED_SIZES[type_id]
            elif type_id == _STRING:
                (length,) = _LENGTH.unpack_from(data, pos)
                pos += _LENGTH.size + length
                if length < 0:
                    raise StructureError(f"length {length}")
            else:
                self.pos = pos
                self.skip_value(type_id, depth)
                pos = self.pos
            if pos > n_bytes:
                raise StructureError("a length exceeds the data")
        self.pos = pos + 1

    def skip_value(self, type_id: int, depth: int) -> None:
        """Skip one value."""
        size = _FIXED_SIZES.get(type_id)
        if size is not None:
            self.skip_bytes(size)
        elif type_id == _STRING:
            (length,) = _LENGTH.unpack_from(self.data, self.pos)
            self.pos += _LENGTH.size
            self.skip_bytes(length)
        elif type_id == _STRUCT:
            self.skip_fields(depth + 1)
        elif type_id in {_LIST, _SET}:
            item, count = _LIST_HEADER.unpack_from(self.data, self.pos)
            self.pos += _LIST_HEADER.size
            self.skip_elements((item,), count, depth)
        elif type_id == _MAP:
            key, item, count = _MAP_HEADER.unpack_from(self.data, self.pos)
            self.pos += _MAP_HEADER.size
            self.skip_elements((key, item), count, depth)
        else:
            raise StructureError(f"unknown type {type_id}")

    def skip_elements(self, type_ids: tuple[int, ...], count: int, depth: int) -> None:
        """Skip the elements of a container."""
        self.n_elements += count
        if count < 0 or self.n_elements > MAX_ELEMENTS:
            raise StructureError(f"container of {count} elements")
        if depth >= MAX_DEPTH:
            raise StructureError(f"nested deeper than {MAX_DEPTH}")
        for _ in range(count):
            for type_id in type_ids:
                self.skip_value(type_id, depth + 1)

    def skip_bytes(self, size: int) -> None:
        """Skip ``size`` bytes, which must be present."""
        end = self.pos + size
        if size < 0 or end > len(self.data):
            raise StructureError("a length exceeds the data")
        self.pos = end


def check_struct(data: bytes) -> None:
    """Check that the data is exactly one well-formed struct.

    Raises
    ------
    StructureError
        If a length, type or nesting depth is invalid, or if bytes are missing or
        left over.
    """
    scanner = _StructScanner(data)
    try:
        scanner.skip_fields(1)
    except (IndexError, struct.error) as exc:
        raise StructureError(f"ends at byte {len(data)}") from exc
    if scanner.pos != len(data):
        raise StructureError(f"{len(data) - scanner.pos} bytes are left over")
