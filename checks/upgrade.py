"""Rolls the entry VMs of a cluster between two builds and checks the promises.

Every daemon starts on the build of another checkout. One VM after the other is drained
and started on this build, leaders are killed, and all VMs are rolled back. Callers
submit requests of every kind and operators publish configurations meanwhile.
"""

from __future__ import annotations

import json
import random
import shutil
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import click

from standins.processes import process_cluster, wait_until

from .load import KINDS
from .scenario import DRAIN_BOUND_S, READY_BOUND_S, scenario

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.processes import DaemonProcess, ProcessCluster

    from .promises import Violation
    from .scenario import Scenario

OUT = Path("out/upgrade")  # logs of the last run with violations
WORKERS = {"Tainan": 4, "Chiayi": 3}
DAEMONS = {"Tainan": 3, "Chiayi": 2}
VIEWS = (["workers"], ["jobs"], ["dump"], ["config", "show"], ["config", "history"])


def load_build(checkout: Path, module: str) -> str:
    """Return statements that run ``main`` of a module of a checkout.

    They print where the package was loaded from, to standard error.
    """
    return (
        f"import sys; sys.path[0] = {str(checkout)!r}; import cuminhill; "
        "print(cuminhill.__file__, file=sys.stderr, flush=True); "
        f"from {module} import main; main()"
    )


def drain(run: Scenario, daemon: DaemonProcess) -> None:
    """Drain a daemon and wait until its process has ended."""
    stop = run.drain(daemon)
    process = daemon.process
    assert process is not None
    wait_until(lambda: process.poll() is not None, DRAIN_BOUND_S)
    stop.exit_code = process.poll()


def start(run: Scenario, daemon: DaemonProcess, checkout: Path) -> None:
    """Start a daemon that has ended on the build of a checkout."""
    daemon.entry = load_build(checkout, "cuminhill.cmd.daemon")
    run.cluster.restart(daemon.vm)
    run.cluster.wait_ready(READY_BOUND_S)


def submit_each_kind(run: Scenario, prefix: str) -> Counter[str]:
    """Submit a request of each kind through every VM and count the answers."""
    rng = random.Random(run.load.seed)
    answers: Counter[str] = Counter()
    for vm in run.cluster.daemons:
        for kind in dict.fromkeys(KINDS):
            request_id = f"{run.load.prefix}-{prefix}-{vm}-{kind}"
            spec = run.load.make_spec(kind, request_id, rng)
            run.load.specs.append(spec)
            state = run.load.submit(spec, vm).state or "no answer"
            answers[f"{kind} {state}"] += 1
            if kind == "service":
                run.load.cancel(spec, vm)
    return answers


def roll(run: Scenario, checkout: Path) -> Counter[str]:
    """Drain one VM after the other and start it on the build of a checkout."""
    answers: Counter[str] = Counter()
    for daemon in list(run.cluster.daemons.values()):
        drain(run, daemon)
        start(run, daemon, checkout)
        answers += submit_each_kind(run, daemon.vm)
    return answers


def kill_leaders(run: Scenario, checkouts: list[Path]) -> Counter[str]:
    """Kill the leader once for each checkout and start its VM on that build."""
    answers: Counter[str] = Counter()
    for number, checkout in enumerate(checkouts):
        leader = run.leader()
        run.kill(leader)
        run.leader()
        start(run, leader, checkout)
        answers += submit_each_kind(run, f"kill{number}")
    return answers


def compare_views(daemon: DaemonProcess, checkouts: list[Path]) -> list[str]:
    """Return the views whose ``--json`` keys differ between the tools of two builds."""
    differences = []
    for view in VIEWS:
        shapes = []
        for checkout in checkouts:
            code = load_build(checkout, "cuminhill.cmd.cli")
            args = ["--address", daemon.http_address, *view, "--json"]
            result = subprocess.run(
                [sys.executable, "-c", code, *args],
                capture_output=True,
                text=True,
                check=True,
            )
            shapes.append(_shape(json.loads(result.stdout)))
        if shapes[0] != shapes[1]:
            differences.append(f"{' '.join(view)}: {shapes[0]} / {shapes[1]}")
    return differences


def _shape(value: object) -> object:
    if isinstance(value, list):
        return [_shape(value[0])] if value else []
    if isinstance(value, dict):
        return {key: _shape(item) for key, item in value.items()}
    return None


def run_phase(
    cluster: ProcessCluster,
    name: str,
    seed: int,
    act: Callable[[Scenario], Counter[str]],
) -> list[Violation]:
    """Run one phase under load, print its answers and return the violations."""
    with scenario(cluster, f"{name}{seed}", seed, n_callers=5) as run:
        run.start_operators()
        answers = act(run)
        violations = run.finish()
    exit_codes = [item.exit_code for item in run.history.stops]
    print(f"{name}: {len(run.history.calls)} calls, exit codes of drains {exit_codes}")
    print("   ", ", ".join(f"{key} {count}" for key, count in sorted(answers.items())))
    for item in violations:
        print(f"    {item.promise} {item.subject}: {item.detail}")
    sys.stdout.flush()
    return violations


@click.command()
@click.option(
    "--other",
    required=True,
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Checkout of the build that runs first; the current folder is rolled out.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
def main(other: Path, seed: int) -> None:
    """Roll out this build over another one and back; the last line is a summary."""
    old, new = other.resolve(), Path.cwd()
    with (
        tempfile.TemporaryDirectory() as directory,
        process_cluster(
            Path(directory),
            WORKERS,
            DAEMONS,
            relays=True,
            entry=load_build(old, "cuminhill.cmd.daemon"),
        ) as cluster,
    ):
        violations = run_phase(cluster, "roll-out", seed, lambda run: roll(run, new))
        # The other build takes over from this one, and this one from the other.
        violations += run_phase(
            cluster,
            "take-over",
            seed,
            lambda run: kill_leaders(run, [old, new, old, old, new]),
        )
        differences = compare_views(next(iter(cluster.daemons.values())), [old, new])
        violations += run_phase(cluster, "roll-back", seed, lambda run: roll(run, old))
        loaded = {
            vm: [
                line.split("/cuminhill/")[0]
                for line in (Path(directory) / f"{vm}.log").read_text().splitlines()
                if line.endswith("/cuminhill/__init__.py")
            ]
            for vm in cluster.daemons
        }
        if violations:
            shutil.copytree(directory, OUT, dirs_exist_ok=True)
    for text in differences:
        print(f"different keys: {text}")
    counts = Counter(item.promise for item in violations)
    print(json.dumps({"builds": loaded, "different_views": len(differences)}))
    print(json.dumps({"violations": dict(counts)}))
    sys.exit(1 if violations or differences else 0)


if __name__ == "__main__":
    main()
