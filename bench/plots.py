"""Plots of waiting time and packing against load."""

from __future__ import annotations

import re
from collections import defaultdict
from typing import TYPE_CHECKING, Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

if TYPE_CHECKING:
    from pathlib import Path

_PATTERN = re.compile(
    r"(?P<site>\w+) load (?P<load>[\d.]+) (?P<name>\w+) "
    r"(?P<what>check wait p99|batch wait p50|useful/bound)$"
)
_FILES = {
    "check wait p99": ("wait_checks", "p99 wait of checks (s)"),
    "batch wait p50": ("wait_batch", "p50 wait of batch tasks (s)"),
    "useful/bound": ("packing", "useful work / fractional bound"),
}


def draw(rows: list[dict[str, Any]], directory: Path) -> list[Path]:
    """Write one plot per site and quantity, and return the paths."""
    series: dict[tuple[str, str], dict[str, list[tuple[float, float]]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for row in rows:
        match = _PATTERN.match(row.get("metric", ""))
        if match is not None:
            key = (match["site"], match["what"])
            series[key][match["name"]].append((float(match["load"]), row["value"]))
    paths = []
    for (site, what), lines in series.items():
        stem, label = _FILES[what]
        fig, axes = plt.subplots(figsize=(6, 4))
        for name, points in lines.items():
            axes.plot(*zip(*sorted(points), strict=True), marker="o", label=name)
        axes.set(xlabel="offered load / capacity", ylabel=label, title=site)
        if what != "useful/bound":
            axes.set_yscale("symlog", linthresh=0.01)
        axes.legend(fontsize="small")
        fig.tight_layout()
        paths.append(directory / f"{stem}_{site}.png")
        fig.savefig(paths[-1])
        plt.close(fig)
    return paths
