"""The daemon of an entry VM on the users' platform."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path
from typing import Any

import click
import curio
import structlog

from ..errors import SettingsError
from ..jobs.nodemetrics import make_inspection_server
from ..logs import BoundedOutput, set_up_bounded_logging
from ..platform.boot import (
    PlatformSettings,
    load_platform_settings,
    make_http_servers,
    make_node,
)
from ..util.kernel import run_to_end
from ..util.receiving import limit_fragmentation

logger = structlog.get_logger(__name__)

# Fraction of the time between SIGTERM and SIGKILL during which callers are still
# served: the platform needs about 3 s to send new connections elsewhere.
SERVE_FRACTION = 0.62
FINISH_FRACTION = 0.2  # of the same time, for requests still in progress


async def serve(cfg: PlatformSettings, path: Path, output: BoundedOutput) -> None:
    """Run one node until it has drained."""
    stop_requested, reload_requested = curio.UniversalEvent(), curio.UniversalEvent()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stop_requested.set())
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
    node = make_node(cfg)
    node.log_output = output
    api_server, ready_server = make_http_servers(cfg, node)
    inspection_server = make_inspection_server(node)
    await node.start()
    for server, address in (
        (api_server, cfg.front_address),
        (ready_server, cfg.ready_address),
        (inspection_server, cfg.inspection_address),
    ):
        host, _, port = address.rpartition(":")
        await server.start(host, int(port))
    logger.info("started", front=cfg.front_address, store=cfg.store_address)
    await curio.spawn(_log_reloads, reload_requested, cfg, path, daemon=True)
    await curio.spawn(node.budget.trim_after_peaks, daemon=True)
    await stop_requested.wait()
    stop_at = time.monotonic() + cfg.grace_s * SERVE_FRACTION
    logger.info(
        "stop asked for", busy=api_server.n_busy, connections=api_server.n_connections
    )
    api_server.announce_close()
    await curio.spawn(node.drain, daemon=True)
    await curio.sleep(max(0.0, stop_at - time.monotonic()))
    await api_server.close(cfg.grace_s * FINISH_FRACTION)
    logger.info("stopped", busy=api_server.n_busy)


async def _log_reloads(
    reload_requested: Any, cfg: PlatformSettings, path: Path
) -> None:
    """Log which settings a reload would change; they take effect at the next start."""
    while True:
        await reload_requested.wait()
        reload_requested.clear()
        try:
            new = load_platform_settings(path)
        except SettingsError as exc:
            logger.warning("reload asked for, settings wrong", error=str(exc))
            continue
        before, after = cfg.model_dump(), new.model_dump()
        changed = sorted(key for key in after if after[key] != before[key])
        logger.info("reload asked for", changed=changed)


@click.command()
@click.option(
    "--settings",
    "path",
    envvar="CUMINHILL_BOOT",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="TOML file with the settings of this process.",
)
@click.option("--check", is_flag=True, help="Validate the settings and exit.")
def main(path: Path, check: bool) -> None:
    """Run one entry VM's daemon on the users' platform; SIGTERM stops it gracefully.

    Exit codes: 0 stopped after a drain, 2 wrong settings.
    """
    try:
        cfg = load_platform_settings(path)
    except SettingsError as exc:
        click.echo(f"cuminhill-node: {exc.message}", err=True)
        sys.exit(2)
    if check:
        click.echo(f"{path}: valid")
        return
    limit_fragmentation()
    run_to_end(serve, cfg, path, set_up_bounded_logging(cfg.vm))


if __name__ == "__main__":
    main()
