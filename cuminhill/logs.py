"""Configuration of structured logging."""

from __future__ import annotations

import os
import sys
import time
from dataclasses import dataclass

import structlog

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
        window = int(time.monotonic())
        if window != self._window:
            self._window, self._n_in_window = window, 0
        self._n_in_window += 1
        if self._n_in_window > self.max_lines_per_s or not self._flush():
            self.n_dropped += 1
            return
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


class _LineLogger:
    """Logger for structlog that passes rendered lines to an output."""

    def __init__(self, output: BoundedOutput) -> None:
        self._output = output

    def msg(self, message: str) -> None:
        """Write one line."""
        self._output.write_line(message)

    debug = info = warning = error = critical = exception = msg


def set_up_bounded_logging(vm: str, log_level: str = "info") -> BoundedOutput:
    """Configure rate-limited, non-blocking JSON logging to standard output.

    Returns
    -------
    BoundedOutput
        Output with counts of the lines written and dropped.
    """
    output = BoundedOutput(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(log_level),
        logger_factory=lambda *_: _LineLogger(output),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process_vm=vm)
    return output
