"""``cuminhill report``: where late jobs lost their time, from the logs alone."""

from __future__ import annotations

import sys
from typing import Any

import click

from ..jobreport import (
    LogHistory,
    attribute_time,
    report_by_queue,
    report_by_window,
)
from .exits import EXIT_HELP, CommandError, ExitCode
from .output import emit, json_option, render_table

DEFAULT_WINDOW_S = 5.0


@click.command(epilog=EXIT_HELP)
@click.option(
    "--window",
    "window_s",
    type=click.FloatRange(min=0.1),
    default=DEFAULT_WINDOW_S,
    show_default=True,
    help="Length of a window in seconds.",
)
@json_option
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
def report(window_s: float, as_json: bool, files: tuple[Any, ...]) -> None:
    """Tell how many jobs were late and what they lost most time to.

    Reads the logs of all VMs: the given files, or standard input if there are none.
    The columns of causes count late jobs by queue, and add up their lost seconds by
    window. Jobs without a logged end are not counted as late.

    \b
    Examples:
      cuminhill report vm1.log vm2.log
      zcat logs/*.gz | cuminhill report --window 2 --json
    """
    history = LogHistory()
    for file in files or (sys.stdin,):
        history.read(file, getattr(file, "name", "-"))
    if not history.jobs:
        where = f"; first bad line {history.bad_lines[0]}" if history.bad_lines else ""
        raise CommandError(f"the logs name no job{where}", ExitCode.NOT_FOUND)
    attribute_time(history)
    value = {
        "queues": report_by_queue(history),
        "windows": report_by_window(history, window_s),
        "lines_dropped": history.n_dropped,
        "bad_lines": history.bad_lines,
    }
    if history.n_dropped:
        click.echo(f"cuminhill: {history.n_dropped} lines were dropped", err=True)
    for place in history.bad_lines:
        click.echo(f"cuminhill: {place}: not a log line of cuminhill", err=True)
    emit(value, as_json, _render)


def _render(value: dict[str, Any]) -> str:
    return "\n\n".join(
        render_table(value[name], empty="no jobs") for name in ("queues", "windows")
    )
