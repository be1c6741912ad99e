"""Offsets that a rebuild of the index needs, and the log's time at some of them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from typing import Any

MARK_EVERY_RECORDS = 256
MARK_EVERY_S = 10.0
MAX_MARKS = 65_536


@dataclass(eq=False, slots=True)
class Horizon:
    """Marks (offset, log time before it) and intervals that must not be split.

    A losing claim must not be folded without the request that it lost against,
    even after that request has expired. Such intervals are kept as (first, last)
    until a rebuild starts after them.
    """

    marks: list[tuple[int, float]] = field(default_factory=list)
    intervals: list[tuple[int, int]] = field(default_factory=list)
    first_offset: int = 0

    def mark(self, offset: int, log_time: float) -> bool:
        """Mark the time before an offset if a mark is due; return whether it was."""
        if not self.marks:
            self.first_offset = offset
        else:
            last_offset, last_time = self.marks[-1]
            near = offset - last_offset < MARK_EVERY_RECORDS
            if near and log_time - last_time < MARK_EVERY_S:
                return False
        self.marks.append((offset, log_time))
        if len(self.marks) > MAX_MARKS:
            del self.marks[1 : MAX_MARKS // 2]
        return True

    def add_interval(self, first: int, last: int) -> None:
        """Add offsets of which the last must not be folded without the first."""
        self.intervals.append((first, last))

    def safe_start(self, low: int) -> int:
        """Return the largest offset up to ``low`` that splits no interval."""
        changed = True
        while changed:
            cut = [first for first, last in self.intervals if first < low <= last]
            changed = bool(cut)
            low = min([low, *cut])
        self.intervals = [item for item in self.intervals if item[1] >= low]
        return low

    def mark_before(self, low: int) -> tuple[int, float] | None:
        """Return the last mark that is not after an offset, if there is one."""
        index = bisect_right(self.marks, (low, float("inf"))) - 1
        return self.marks[index] if index >= 0 else None

    def offset_at(self, time: float) -> int:
        """Return an offset before which all records were made before a time."""
        times = [item[1] for item in self.marks]
        index = bisect_left(times, time)
        return self.marks[index - 1][0] if index else 0

    def to_dict(self) -> dict[str, Any]:
        """Return a JSON-ready mapping."""
        return {
            "marks": [list(item) for item in self.marks],
            "intervals": [list(item) for item in self.intervals],
            "first_offset": self.first_offset,
        }

    @classmethod
    def from_dict(cls, data: dict[str, Any]) -> Horizon:
        """Build a horizon from the mapping made by ``to_dict``."""
        return cls(
            [(item[0], item[1]) for item in data["marks"]],
            [(item[0], item[1]) for item in data["intervals"]],
            data["first_offset"],
        )
