"""The command-line tool ``cuminhill``."""

from __future__ import annotations

import json
import sys
import time
import uuid
from typing import Any

import click
import curio
import orjson

from ..errors import CuminhillError
from ..model import RequestKind
from ..util.http import make_http_client

DEFAULT_ADDRESS = "127.0.0.1:8080"
CALL_SLACK_S = 10.0


async def _call(
    address: str, method: str, path: str, value: Any, timeout_s: float
) -> tuple[int, Any]:
    client = make_http_client(address)
    try:
        return await client.request(method, path, value, timeout_s=timeout_s)
    finally:
        await client.close()


def call(
    ctx: click.Context, method: str, path: str, value: Any = None, wait_s: float = 0.0
) -> Any:
    """Call the daemon and return the decoded body, or exit with status 3."""
    address = ctx.obj["address"]
    try:
        status, body = curio.run(
            _call, address, method, path, value, wait_s + CALL_SLACK_S
        )
    except CuminhillError as exc:
        click.echo(f"cuminhill: {exc}", err=True)
        sys.exit(3)
    if status >= 400 and "state" not in body:
        click.echo(f"cuminhill: {json.dumps(body)}", err=True)
        sys.exit(2)
    return body


def show(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


@click.group()
@click.option(
    "--address",
    envvar="CUMINHILL_ADDRESS",
    default=DEFAULT_ADDRESS,
    show_default=True,
    help="HTTP address of an entry VM.",
)
@click.version_option(package_name="cuminhill")
@click.pass_context
def main(ctx: click.Context, address: str) -> None:
    """Submit and watch requests, and operate the scheduler."""
    ctx.obj = {"address": address}


@main.command()
@click.argument("kind", type=click.Choice([str(kind) for kind in RequestKind]))
@click.option("--id", "request_id", help="Idempotency key; made up if not given.")
@click.option("--tasks", "n_tasks", default=1, show_default=True)
@click.option("--cores", default=1.0, show_default=True)
@click.option("--memory-mb", default=256.0, show_default=True)
@click.option("--run-time", "run_time_s", default=1.0, show_default=True)
@click.option("--wait", "wait_s", default=10.0, show_default=True)
@click.pass_context
def submit(
    ctx: click.Context,
    kind: str,
    request_id: str | None,
    n_tasks: int,
    cores: float,
    memory_mb: float,
    run_time_s: float,
    wait_s: float,
) -> None:
    """Submit a request and print its answer."""
    body = {
        "request_id": request_id or str(uuid.uuid4()),
        "kind": kind,
        "n_tasks": n_tasks,
        "need": {"cores": cores, "memory_mb": memory_mb},
        "run_time_s": run_time_s,
        "issued_at": time.time(),
    }
    show(call(ctx, "POST", f"/v1/requests?wait_s={wait_s}", body, wait_s))


@main.command()
@click.argument("request_id")
@click.option("--wait", "wait_s", default=0.0, show_default=True)
@click.pass_context
def status(ctx: click.Context, request_id: str, wait_s: float) -> None:
    """Print what is known of a request."""
    show(call(ctx, "GET", f"/v1/requests/{request_id}?wait_s={wait_s}", None, wait_s))


@main.command()
@click.argument("request_id")
@click.pass_context
def cancel(ctx: click.Context, request_id: str) -> None:
    """Cancel a request."""
    show(call(ctx, "DELETE", f"/v1/requests/{request_id}"))


@main.command()
@click.pass_context
def dump(ctx: click.Context) -> None:
    """Print the whole state of one daemon."""
    show(call(ctx, "GET", "/v1/dump"))
