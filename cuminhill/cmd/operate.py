"""Commands for operators: workers, drain, dump."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import click

from .exits import EXIT_HELP, CommandError, ExitCode
from .output import emit, json_option, render_table
from .session import check_reply, rows_of

if TYPE_CHECKING:
    from .session import Session

POLL_INTERVAL_S = 0.2


@click.command(epilog=EXIT_HELP)
@json_option
@click.pass_obj
def workers(session: Session, as_json: bool) -> None:
    """List the workers that the given entry VMs hold.

    A VM lists the workers of the shards that it leads; give the addresses of all
    entry VMs to see all workers. Addresses that do not answer are named on
    standard error.

    \b
    Example:
      cuminhill --address 10.0.0.1:8080 --address 10.0.0.2:8080 workers
    """
    replies, errors = session.call_all("/v1/workers")
    for exc in errors:
        click.echo(f"cuminhill: {exc}", err=True)
    rows = [row for reply in replies for row in rows_of(reply, "workers")]
    rows.sort(key=lambda row: str(row.get("worker")))
    emit(rows, as_json, lambda found: render_table(found, empty="no workers held"))


@click.command(epilog=EXIT_HELP)
@click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(min=0.0, max=3600.0),
    default=0.0,
    show_default=True,
    help="Seconds to wait until the daemon has stopped.",
)
@json_option
@click.pass_obj
def drain(session: Session, wait_s: float, as_json: bool) -> None:
    """Stop one daemon gracefully: it hands over its shards and answers its callers.

    \b
    Example:
      cuminhill --address 10.0.0.1:8080 drain --wait 60 && replace-vm 10.0.0.1
    """
    session = session.only_address()
    body = check_reply(session.call("POST", "/v1/drain"))
    if wait_s and not _wait_stopped(session, wait_s):
        raise CommandError(f"still draining after {wait_s:g} s", ExitCode.FAILED)
    done = "stopped" if wait_s else "draining"
    emit(body, as_json, lambda _: f"{session.addresses[0]}: {done}")


@click.command(epilog=EXIT_HELP)
@json_option
@click.pass_obj
def dump(session: Session, as_json: bool) -> None:
    """Print the whole state of the first daemon that answers.

    \b
    Examples:
      cuminhill --address 10.0.0.1:8080 dump
      cuminhill dump --json | jq .log
    """
    emit(check_reply(session.call("GET", "/v1/dump")), as_json)


def _wait_stopped(session: Session, wait_s: float) -> bool:
    give_up_at = time.monotonic() + wait_s
    while time.monotonic() < give_up_at:
        if not session.is_listening():
            return True
        time.sleep(POLL_INTERVAL_S)
    return False
