"""``cuminhill trace``: the log lines of all VMs about one id, sorted by time."""

from __future__ import annotations

import re
import sys
from typing import TYPE_CHECKING, Any

import click
import orjson

from .exits import EXIT_HELP, CommandError, ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Longer gaps between lines are marked; a change of the placer takes about as long.
MIN_GAP_S = 1.5
# Present in every line; printed first or omitted.
_COMMON_KEYS = ("timestamp", "process_vm", "event", "level")
_JSON_OBJECT = re.compile(r"\{.*\}")


def parse_lines(lines: Iterable[str], wanted: str) -> Iterator[dict[str, Any]]:
    """Yield the structured lines that mention an id.

    Parameters
    ----------
    lines : iterable of str
        Log lines; text before the JSON object of a line is ignored.
    wanted : str
        Id of a job, a worker or a VM.
    """
    for line in lines:
        if wanted not in line:
            continue
        match = _JSON_OBJECT.search(line)
        if match is None:
            continue
        try:
            value = orjson.loads(match[0])
        except orjson.JSONDecodeError:
            continue
        if isinstance(value, dict) and "event" in value and "timestamp" in value:
            yield value


def format_rows(rows: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Yield one readable line per structured line, sorted by time, with gaps marked."""
    previous_at = None
    for row in sorted(rows, key=lambda item: str(item["timestamp"])):
        at = _seconds_of_day(str(row["timestamp"]))
        if previous_at is not None and at - previous_at > MIN_GAP_S:
            yield f"  ... {at - previous_at:.1f} s without a line"
        previous_at = at
        rest = " ".join(
            f"{key}={value}" for key, value in row.items() if key not in _COMMON_KEYS
        )
        vm = row.get("process_vm", "?")
        yield f"{row['timestamp']} {vm:<20} {row['event']}: {rest}"


def _seconds_of_day(timestamp: str) -> float:
    """Return the second of the day of an ISO timestamp."""
    hours, minutes, seconds = timestamp.partition("T")[2].rstrip("Z").split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


@click.command(epilog=EXIT_HELP)
@click.argument("wanted", metavar="ID")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
def trace(wanted: str, files: tuple[Any, ...]) -> None:
    """Print what the logs say about one job, worker or VM, in order.

    Reads the given files, or standard input if there are none.

    \b
    Examples:
      cuminhill trace b19e7e5ba2ffae91 vm1.log vm2.log
      zcat logs/*.gz | cuminhill trace i-89e9d81f19
    """
    sources: list[Iterable[str]] = [*files]
    if not sources:
        sources = [sys.stdin]
    rows = [row for source in sources for row in parse_lines(source, wanted)]
    for line in format_rows(rows):
        click.echo(line)
    if not rows:
        raise CommandError(f"no line mentions {wanted}", ExitCode.NOT_FOUND)
