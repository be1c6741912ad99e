"""The daemon ``cuminhilld``."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Any

import click
import curio

from ..application import Application, make_application
from ..errors import SettingsError
from ..logs import set_up_logging
from ..settings import Settings, load_settings
from ..util.kernel import run_to_end


async def serve(settings: Settings) -> None:
    """Run one daemon until it has drained."""
    app = make_application(settings)
    stop_requested = curio.UniversalEvent()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stop_requested.set())
    await app.start()
    await curio.spawn(_drain_when, stop_requested, app, daemon=True)
    await app.stopped.wait()
    await app.close()


async def _drain_when(stop_requested: Any, app: Application) -> None:
    await stop_requested.wait()
    await app.drain()


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="TOML file with the settings of this process.",
)
@click.option("--check", is_flag=True, help="Validate the settings and exit.")
@click.version_option(package_name="cuminhill")
def main(path: Path, check: bool) -> None:
    """Run one entry VM's daemon; SIGTERM stops it gracefully.

    \b
    Examples:
      cuminhilld --settings /etc/cuminhill.toml --check
      cuminhilld --settings /etc/cuminhill.toml

    Exit codes: 0 stopped after a drain, 2 wrong settings.
    """
    try:
        settings = load_settings(path)
    except SettingsError as exc:
        click.echo(f"cuminhilld: {exc.message}", err=True)
        sys.exit(2)
    if check:
        click.echo(f"{path}: valid")
        return
    set_up_logging(settings.log_format, settings.vm, settings.log_level)
    run_to_end(serve, settings)
