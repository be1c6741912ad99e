"""Runs a daemon and the stand-ins in one process and submits a request of each kind."""

from __future__ import annotations

import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import click
import curio
from click.testing import CliRunner

from cuminhill.application import make_application
from cuminhill.cmd.cli import main as cli
from cuminhill.cmd.exits import ExitCode
from cuminhill.logs import set_up_logging
from cuminhill.settings import Settings

from .cluster import HOST, Cluster, first_publication, make_cluster
from .processes import free_port

SUBMISSIONS = [
    ["check", "--run-time", "0.05"],
    ["order", "--run-time", "0.2"],
    ["batch", "--tasks", "20", "--run-time", "0.2"],
    ["gang", "--tasks", "6", "--run-time", "0.3"],
    ["service", "--run-time", "3600"],
]
FOLLOW_UPS = [
    (["explain", "quick-service"], ExitCode.OK),
    (["workers"], ExitCode.OK),
    (["cancel", "quick-service"], ExitCode.OK),
    (["status", "quick-service", "--wait", "5"], ExitCode.FAILED),
    (["submit", "batch", "--id", "too-big", "--cores", "1000"], ExitCode.NOT_RUN),
    (["jobs"], ExitCode.OK),
]


@dataclass
class CommandRunner:
    """Runs commands of the tool, prints them and records unexpected exit codes.

    Parameters
    ----------
    outcomes : Counter of str
        Number of submissions that ended in each state.
    unexpected : list of str
        Commands whose exit code was not the expected one.
    """

    address: str
    outcomes: Counter[str] = field(default_factory=Counter)
    unexpected: list[str] = field(default_factory=list)

    def run(self, args: list[str], expected: ExitCode = ExitCode.OK) -> str:
        """Run one command, print it and its output, and return the output."""
        result = CliRunner().invoke(cli, ["--address", self.address, *args])
        click.echo(f"$ cuminhill {' '.join(args)}\n{result.output}")
        if result.exit_code != expected:
            self.unexpected.append(f"{' '.join(args)}: exit code {result.exit_code}")
        return str(result.output)

    def run_all(self) -> None:
        """Submit a request of each kind, then inspect and cancel some of them."""
        for kind, *options in SUBMISSIONS:
            output = self.run(["submit", kind, "--id", f"quick-{kind}", *options])
            state = output.split(": ")[1].split(",")[0].strip()
            self.outcomes[state] += 1
        for args, expected in FOLLOW_UPS:
            self.run(args, expected)


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
    # The first publication, as by an operator; no VM is ready without it.
    cluster.log.append("config", [first_publication(time.time())], time.monotonic())
    await app.start()
    while app.not_ready_reason():
        await curio.sleep(0.05)
    runner = CommandRunner(settings.http_address)
    started_at = time.monotonic()
    await curio.run_in_thread(runner.run_all)
    took_s = time.monotonic() - started_at
    await app.drain()
    await app.stopped.wait()
    await app.close()
    n_violations = sum(len(worker.violations) for worker in cluster.workers.values())
    n_starts = sum(
        count for worker in cluster.workers.values() for count in worker.starts.values()
    )
    outcomes = ", ".join(f"{count} {state}" for state, count in runner.outcomes.items())
    click.echo(
        f"summary: {len(SUBMISSIONS)} requests ({outcomes}), {n_starts} task starts on "
        f"{len(cluster.workers)} workers, {n_violations} capacity violations, "
        f"{len(runner.unexpected)} surprises, {took_s:.1f} s"
    )
    for text in runner.unexpected:
        click.echo(f"surprise: {text}")
    return 1 if n_violations or runner.unexpected else 0


async def _main() -> int:
    return await _serve(await make_cluster({"Tainan": 8}))


if __name__ == "__main__":
    set_up_logging("text", "tainan-e0")
    sys.exit(curio.run(_main))
