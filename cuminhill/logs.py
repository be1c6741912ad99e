"""Configuration of structured logging."""

from __future__ import annotations

import json
import os
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson
import structlog

if TYPE_CHECKING:
    from structlog.typing import EventDict

# Per process; further lines are dropped and counted.
MAX_LINES_PER_S = 600


def set_up_logging(log_format: str, vm: str, log_level: str = "info") -> None:
    """Configure logging to standard error.

    Parameters
    ----------
    log_format : str
        ``"json"`` for machine-readable lines, ``"text"`` for human-readable ones.
    vm : str
        Name of the VM, added to each line.
    log_level : str, default="info"
        Lines of a lower level are dropped.
    """
    renderer = (
        structlog.dev.ConsoleRenderer(colors=False)
        if log_format == "text"
        else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(log_level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(process_vm=vm)


@dataclass(eq=False)
class BoundedOutput:
    """Writes lines to a file descriptor without ever blocking.

    Lines above the rate limit are dropped, and so are lines that arrive while the pipe
    is full. The next line that is written reports how many.

    Parameters
    ----------
    fd : int
        File descriptor, which is set to non-blocking mode.
    max_lines_per_s : int
        Rate limit in lines per second.
    """

    fd: int
    max_lines_per_s: int = MAX_LINES_PER_S
    n_dropped: int = 0
    n_written: int = 0
    _window: int = 0
    _n_in_window: int = 0
    _n_reported: int = 0
    _unwritten: bytes = b""

    def __post_init__(self) -> None:
        os.set_blocking(self.fd, False)

    def write_line(self, line: str) -> None:
        """Write or drop one line."""
        if self.admits_line():
            self.write_admitted(line)

    def admits_line(self) -> bool:
        """Return whether the next line may be written; count it as dropped if not.

        It is asked before a line is rendered, which takes most of its processor time.
        """
        window = int(time.monotonic())
        if window != self._window:
            self._window, self._n_in_window = window, 0
        self._n_in_window += 1
        if self._n_in_window > self.max_lines_per_s or not self._flush():
            self.n_dropped += 1
            return False
        return True

    def write_admitted(self, line: str) -> None:
        """Write a line for which `admits_line` has returned True."""
        if self.n_dropped > self._n_reported:
            n_new = self.n_dropped - self._n_reported
            self._n_reported = self.n_dropped
            line = f'{{"event": "log lines dropped", "count": {n_new}}}\n{line}'
        self._unwritten = line.encode() + b"\n"
        self._flush()
        self.n_written += 1

    def _flush(self) -> bool:
        """Write the rest of the last line; return whether all of it is written."""
        if not self._unwritten:
            return True
        try:
            n_written = os.write(self.fd, self._unwritten)
        except (BlockingIOError, BrokenPipeError):
            return False
        self._unwritten = self._unwritten[n_written:]
        return not self._unwritten


def _to_json(fields: EventDict, **_options: object) -> str:
    """Return the JSON form of a line, with spaces only in texts.

    Values that have none, such as exceptions, are written as their representation.
    """
    try:
        return orjson.dumps(fields, default=repr).decode()
    except TypeError:
        # Texts with lone surrogates, integers beyond 64 bits, keys that are no texts.
        return json.dumps(fields, default=repr)


class _LineLogger:
    """Logger for structlog that passes rendered lines to an output.

    The first processor has asked the output whether it admits them.
    """

    def __init__(self, output: BoundedOutput) -> None:
        self._output = output

    def msg(self, message: str) -> None:
        """Write one line."""
        self._output.write_admitted(message)

    debug = info = warning = error = critical = exception = msg


def set_up_bounded_logging(vm: str, log_level: str = "info") -> BoundedOutput:
    """Configure rate-limited, non-blocking JSON logging to standard output.

    Returns
    -------
    BoundedOutput
        Output with counts of the lines written and dropped.
    """
    output = BoundedOutput(sys.stdout.fileno())

    def drop_excess(_logger: object, _method: str, event_dict: EventDict) -> EventDict:
        if not output.admits_line():
            raise structlog.DropEvent
        return event_dict

    structlog.configure(
        processors=[
            drop_excess,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(log_level),
        logger_factory=lambda *_: _LineLogger(output),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process_vm=vm)
    return output
