"""Serves the stand-ins in one process and prints their addresses as JSON."""

from __future__ import annotations

import json

import click
import curio

from .cluster import make_cluster


async def _serve(failure_domains: dict[str, int]) -> None:
    cluster = await make_cluster(failure_domains)
    print(
        json.dumps({name: item.address for name, item in cluster.served.items()}),
        flush=True,
    )
    while True:
        await curio.sleep(3600.0)


@click.command()
@click.option(
    "--domain",
    "domains",
    multiple=True,
    help="Failure domain and its number of workers, as NAME=N.",
)
def main(domains: tuple[str, ...]) -> None:
    """Serve a log, a VM list and workers until the process is ended."""
    pairs = (item.partition("=") for item in domains)
    curio.run(_serve, {name: int(count) for name, _, count in pairs})


if __name__ == "__main__":
    main()
