"""Runs one daemon with the stand-ins in this process and submits each kind."""

from __future__ import annotations

import sys
from collections import Counter

import click
import curio
from click.testing import CliRunner

from cuminhill.application import make_application
from cuminhill.cmd.cli import main as cli
from cuminhill.logs import set_up_logging
from cuminhill.settings import Settings

from .cluster import HOST, Cluster, make_cluster
from .processes import free_port

COMMANDS = [
    ("check", ["--run-time", "0.05"]),
    ("order", ["--run-time", "0.2"]),
    ("batch", ["--tasks", "20", "--run-time", "0.2"]),
    ("gang", ["--tasks", "6", "--run-time", "0.3"]),
    ("service", ["--run-time", "3600", "--wait", "0"]),
]


def _run_tool(address: str, *args: str) -> str:
    result = CliRunner().invoke(cli, ["--address", address, *args])
    if result.exit_code != 0:
        raise RuntimeError(f"cuminhill {' '.join(args)}: {result.output}")
    return str(result.output)


def _submit_all(address: str) -> Counter[str]:
    states: Counter[str] = Counter()
    for kind, options in COMMANDS:
        click.echo(f"$ cuminhill submit {kind} --id quick-{kind} {' '.join(options)}")
        output = _run_tool(address, "submit", kind, "--id", f"quick-{kind}", *options)
        click.echo(output)
        states["accepted" if '"accepted"' in output else "done"] += 1
    click.echo("$ cuminhill cancel quick-service")
    _run_tool(address, "cancel", "quick-service")
    click.echo(_run_tool(address, "status", "quick-service", "--wait", "5"))
    return states


async def _serve(cluster: Cluster) -> int:
    settings = Settings(
        vm="tainan-e0",
        failure_domain="Tainan",
        http_address=f"{HOST}:{free_port()}",
        rpc_address=f"{HOST}:{free_port()}",
        log_address=cluster.served["log"].address,
        vm_list_address=cluster.served["vm_list"].address,
    )
    app = make_application(settings)
    cluster.add_entry_vm(settings.vm, settings.rpc_address, settings.failure_domain)
    await app.start()
    while app.not_ready_reason():
        await curio.sleep(0.05)
    states = await curio.run_in_thread(_submit_all, settings.http_address)
    await app.drain()
    await app.stopped.wait()
    await app.close()
    n_violations = sum(len(worker.violations) for worker in cluster.workers.values())
    click.echo(
        f"summary: {sum(states.values())} requests, {dict(states)}, "
        f"{n_violations} capacity violations"
    )
    return 1 if n_violations else 0


async def _main() -> int:
    return await _serve(await make_cluster({"Tainan": 8}))


if __name__ == "__main__":
    set_up_logging("text", "tainan-e0")
    sys.exit(curio.run(_main))
