"""Sets up structured logging."""

from __future__ import annotations

import sys

import structlog


def set_up_logging(log_format: str, vm: str, log_level: str = "info") -> None:
    """Write log lines to standard error.

    Parameters
    ----------
    log_format : str
        ``"json"`` for programs, ``"text"`` for people.
    vm : str
        Name of the VM, added to each line.
    log_level : str, default="info"
        Less severe lines are dropped.
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
