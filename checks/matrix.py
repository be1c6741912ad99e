"""Fault matrix: injects each fault at each step and checks the history."""

from __future__ import annotations

import json
import queue
import shutil
import sys
import threading
import time
import traceback
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import click

from standins.processes import call, process_cluster

from . import steps
from .scenario import scenario

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.processes import ProcessCluster

OUT = Path("out/matrix")
N_CLUSTERS = 4
WORKERS = {"Tainan": 4, "Chiayi": 3}
DAEMONS = {"Tainan": 3, "Chiayi": 2}
MAX_PRINTED = 3


@dataclass(slots=True)
class Cell:
    """One cell and its outcome: ``"ok"``, ``"FAIL"`` or ``"not run"``."""

    step: str
    faults: tuple[str, ...]
    outcome: str = ""
    notes: list[str] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def column(self) -> str:
        """Name of the column."""
        return " + ".join(self.faults)


def make_cells(row: str, column: str) -> list[Cell]:
    """Return the cells to run; an empty row or column selects all."""
    rows = list(steps.STEPS)
    cells = [Cell(step, (fault,)) for step in rows for fault in steps.FAULTS]
    cells += [Cell(step, pair) for pair in steps.PAIRS for step in steps.PAIR_STEPS]
    return [
        item for item in cells if row in {"", item.step} and column in {"", item.column}
    ]


def run_cell(cluster: ProcessCluster, cell: Cell, seed: int, number: int) -> None:
    """Run one cell on a cluster that has no faults, and record its outcome."""
    started_at = time.monotonic()
    with scenario(cluster, f"m{number}", seed, n_callers=5) as run:
        steps.STEPS[cell.step](run)
        # A pair is injected one after the other; faults that persist overlap.
        for name in cell.faults:
            steps.FAULTS[name](run)
        for name, address in cluster.addresses.items():
            if name != "relays":
                call("POST", address, "/faults", {"release": "step"})
        time.sleep(0.2)
        violations = run.finish()
        cell.notes = [f"{v.promise} {v.subject}: {v.detail}" for v in violations]
        cell.outcome = "FAIL" if violations else "ok"
        if not violations and not run.reached:
            cell.outcome, cell.notes = "not run", ["the step was not reached"]
        if violations:
            _keep(cluster, cell, run.history.write)
    cell.seconds = time.monotonic() - started_at


def _keep(
    cluster: ProcessCluster, cell: Cell, write: Callable[[Path], None] | None
) -> None:
    place = OUT / f"{cell.step}--{cell.column}".replace(" ", "_")
    place.mkdir(parents=True, exist_ok=True)
    if write is not None:
        write(place / "history.json")
    for path in cluster.directory.glob("*.log"):
        shutil.copy(path, place / path.name)


def _work(cells: queue.Queue[tuple[int, Cell]], seed: int, name: str) -> None:
    directory = OUT / name
    offsets = dict(zip(_vms(), steps.CLOCK_OFFSETS_S, strict=True))
    while True:
        directory.mkdir(parents=True, exist_ok=True)
        try:
            with process_cluster(
                directory,
                WORKERS,
                DAEMONS,
                relays=True,
                clock_offsets=offsets if name == "clocks" else None,
            ) as cluster:
                while True:
                    number, cell = cells.get_nowait()
                    try:
                        run_cell(cluster, cell, seed, number)
                    except Exception:  # a broken cluster fails only this cell
                        cell.outcome = "FAIL"
                        cell.notes = [traceback.format_exc()]
                        _keep(cluster, cell, None)
                    _report(cell)
                    if cell.outcome == "FAIL":
                        break  # the next cell gets a new cluster
        except queue.Empty:
            return


def _vms() -> list[str]:
    return [
        f"{domain.lower()}-e{index}"
        for domain, count in DAEMONS.items()
        for index in range(count)
    ]


def _report(cell: Cell) -> None:
    print(f"{cell.outcome:8s}{cell.seconds:6.1f} s  {cell.step} / {cell.column}")
    for note in cell.notes[:MAX_PRINTED]:
        print(f"         {note}")
    sys.stdout.flush()


def run_matrix(cells: list[Cell], seed: int, n_clusters: int) -> None:
    """Run cells on several clusters in parallel."""
    plain: queue.Queue[tuple[int, Cell]] = queue.Queue()
    clocks: queue.Queue[tuple[int, Cell]] = queue.Queue()
    for number, cell in enumerate(cells):
        reason = steps.reason_not_run(cell.step, cell.faults[0])
        if reason:
            cell.outcome, cell.notes = "not run", [reason]
        else:
            (clocks if "clock error" in cell.faults else plain).put((number, cell))
    jobs = [(clocks, "clocks")] if not clocks.empty() else []
    n_plain = min(plain.qsize(), n_clusters - len(jobs))
    jobs += [(plain, f"cluster{index}") for index in range(n_plain)]
    threads = [
        threading.Thread(target=_work, args=(cells_of, seed, name))
        for cells_of, name in jobs
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def print_table(cells: list[Cell]) -> None:
    """Print the outcomes with a line per fault or pair and a column per step."""
    columns = list(dict.fromkeys(item.column for item in cells))
    rows = list(dict.fromkeys(item.step for item in cells))
    outcomes = {(item.step, item.column): item.outcome for item in cells}
    width = max(len(name) for name in columns)
    print(f"{'':{width}s}  " + "  ".join(f"{row:>8s}" for row in rows))
    for column in columns:
        values = [outcomes.get((row, column), "") for row in rows]
        line = "  ".join(
            f"{value:>{max(8, len(row))}s}"
            for row, value in zip(rows, values, strict=True)
        )
        print(f"{column:{width}s}  {line}")
    for reason in sorted(
        {item.notes[0] for item in cells if item.outcome == "not run"}
    ):
        print(f"not run: {reason}")


@click.command()
@click.option("--row", default="", help="Run only this step.")
@click.option("--column", default="", help="Run only this fault or pair.")
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
@click.option("--clusters", default=N_CLUSTERS, show_default=True, help="At a time.")
def main(row: str, column: str, seed: int, clusters: int) -> None:
    """Run the fault matrix; the last line is a JSON summary."""
    cells = make_cells(row, column)
    run_matrix(cells, seed, clusters)
    print_table(cells)
    counts = {
        "cells": len(cells),
        "passed": sum(item.outcome == "ok" for item in cells),
        "failed": sum(item.outcome == "FAIL" for item in cells),
        "not_run": sum(item.outcome == "not run" for item in cells),
    }
    print(json.dumps(counts))
    sys.exit(1 if counts["failed"] else 0)


if __name__ == "__main__":
    main()
