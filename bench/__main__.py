"""Runs the benchmarks: ``python -m bench [MODULE ...]``."""

from __future__ import annotations

import importlib
import json
import pkgutil
import sys
import traceback
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

import bench

from .plots import draw

if TYPE_CHECKING:
    from collections.abc import Iterator

OUT = Path("out")
NOT_BENCHES = {"__main__", "plots"}


def _modules(names: tuple[str, ...]) -> Iterator[tuple[str, Any]]:
    """Yield the name and module of each benchmark, or its import error."""
    found = names or tuple(
        info.name
        for info in pkgutil.iter_modules(bench.__path__)
        if info.name not in NOT_BENCHES
    )
    for name in found:
        try:
            module = importlib.import_module(f"bench.{name}")
        except Exception as exc:
            traceback.print_exc()
            yield name, exc
            continue
        if hasattr(module, "run"):
            yield name, module
        elif names:
            yield name, AttributeError(f"bench.{name} has no run()")


def _run_one(name: str, module: Any) -> tuple[list[dict[str, Any]], bool]:
    """Return the figures of one module and whether it succeeded."""
    try:
        if isinstance(module, Exception):
            raise module
        return list(module.run()), True
    except Exception as exc:
        traceback.print_exc()
        return [{"bench": name, "error": repr(exc)}], False


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Print one JSON line per figure; write out/bench.json and plots."""
    rows: list[dict[str, Any]] = []
    n_failed = 0
    for name, module in _modules(names):
        figures, ok = _run_one(name, module)
        n_failed += not ok
        rows += figures
        for row in figures:
            print(json.dumps(row), flush=True)
    OUT.mkdir(exist_ok=True)
    (OUT / "bench.json").write_text(json.dumps(rows, indent=1) + "\n")
    draw(rows, OUT)
    sys.exit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
