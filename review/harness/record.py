"""Log of what was sent, answered and run."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from pathlib import Path


@dataclass
class Record:
    """Writes one line for each event to ``record.txt``."""

    path: Path
    begun_at: float = field(default_factory=time.monotonic)
    _file: TextIO = field(init=False)

    def __post_init__(self) -> None:
        self._file = self.path.open("w")

    def add(self, event: str, **values: Any) -> None:
        """Write an event."""
        now_s = time.monotonic() - self.begun_at
        text = " ".join(f"{key}={json.dumps(val)}" for key, val in values.items())
        self._file.write(f"{now_s:8.3f} {event} {text}\n".rstrip() + "\n")
        self._file.flush()
