"""The command-line tool ``cuminhill``."""

from __future__ import annotations

import click

from .completion import completion
from .config import config
from .exits import EXIT_HELP
from .operate import drain, dump, workers
from .report import report
from .requests import cancel, explain, jobs, status, submit
from .session import DEFAULT_ADDRESS, AddressType, Session
from .trace import trace


@click.group(epilog=EXIT_HELP)
@click.option(
    "--address",
    "addresses",
    type=AddressType(),
    multiple=True,
    envvar="CUMINHILL_ADDRESS",
    default=[DEFAULT_ADDRESS],
    show_default=True,
    help="HTTP address of an entry VM; repeat it to give several.",
)
@click.version_option(package_name="cuminhill")
@click.pass_context
def main(ctx: click.Context, addresses: tuple[str, ...]) -> None:
    """Submit and watch requests, and operate the scheduler.

    Calls go to the first address that can be reached. CUMINHILL_ADDRESS may hold
    several addresses separated by commas.

    \b
    Examples:
      export CUMINHILL_ADDRESS=10.0.0.1:8080,10.0.0.2:8080
      cuminhill submit batch --tasks 20 --wait 60
      cuminhill status nightly-17 --json
      cuminhill config publish config/formosa.toml --base-revision 12
    """
    ctx.obj = Session(addresses)


for command in (
    submit,
    status,
    cancel,
    jobs,
    explain,
    workers,
    drain,
    dump,
    config,
    completion,
    trace,
    report,
):
    main.add_command(command)
