"""Quality of placement on the streams of both sites, against the baselines."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Any

from cuminhill.model import RequestKind
from cuminhill.scheduling.placer import make_placer

from .baselines import BASELINES, make_baseline
from .bound import useful_bound
from .driver import run_stream
from .figures import figure, quantile
from .streams import SITES, make_stream

if TYPE_CHECKING:
    from .outcome import Outcome, PlacerLike
    from .streams import Site

BENCH = "placement"
SEEDS = (1, 2, 3)
HORIZON_S = 60.0
LOADS = (0.5, 0.8, 1.0, 1.2)
SATURATED = LOADS[-1]
PACKING_TARGET = 0.95  # fraction of the upper bound, on the stream of Malanad
CHECK_WAIT_TARGET = 0.1  # ratio to the p99 of the best baseline
OURS = "cuminhill"


def make_scheduler(name: str, seed: int) -> PlacerLike:
    """Return the placer or a baseline by name."""
    return make_placer("bench") if name == OURS else make_baseline(name, seed)


def run() -> list[dict[str, Any]]:
    """Return waiting times, packing and cost for each site and load."""
    rows = []
    for site in SITES:
        for load in LOADS:
            rows += _measure(site, load)
        rows += _failing_worker(site)
    return rows


def _measure(site: Site, load: float) -> list[dict[str, Any]]:
    streams = [make_stream(site, s, load=load, horizon_s=HORIZON_S) for s in SEEDS]
    bounds = [useful_bound(stream) for stream in streams]
    outcomes = {
        name: [
            run_stream(make_scheduler(name, seed), stream)
            for seed, stream in zip(SEEDS, streams, strict=True)
        ]
        for name in (OURS, *BASELINES)
    }
    packing = {
        name: statistics.fmean(
            item.useful_work / bound for item, bound in zip(found, bounds, strict=True)
        )
        for name, found in outcomes.items()
    }
    label = f"{site.name} load {load:g}"
    rows = []
    for name, found in outcomes.items():
        rows += _waits(f"{label} {name}", found)
        rows += _totals(f"{label} {name}", found)
        rows.append(
            figure(BENCH, f"{label} {name} useful/bound", packing[name], "share")
        )
    return rows + _compare(label, site, load, outcomes, packing)


def _waits(label: str, found: list[Outcome]) -> list[dict[str, Any]]:
    rows = []
    for kind in RequestKind:
        waits = [wait for item in found for wait in item.waits_s[kind]]
        for q in (0.5, 0.99):
            rows.append(
                figure(
                    BENCH, f"{label} {kind} wait p{q * 100:g}", quantile(waits, q), "s"
                )
            )
    gangs = [wait for item in found for wait in item.waits_s[RequestKind.GANG]]
    rows.append(figure(BENCH, f"{label} gang wait max", max(gangs, default=0.0), "s"))
    return rows


def _totals(label: str, found: list[Outcome]) -> list[dict[str, Any]]:
    n_with = sum(item.n_with_deadline for item in found)
    n_missed = sum(item.n_missed for item in found)
    broken = sum(
        item.n_overfilled + item.n_double_starts + item.n_split_gangs for item in found
    )
    cost_us = sum(sum(item.handle_ns) for item in found) / 1000
    n_starts = max(1, sum(item.n_starts for item in found))
    return [
        figure(BENCH, f"{label} deadlines missed", n_missed / max(1, n_with), "share"),
        figure(BENCH, f"{label} cpu per placement", cost_us / n_starts, "us"),
        figure(BENCH, f"{label} broken promises", broken, "count", target=0),
    ]


def _compare(
    label: str,
    site: Site,
    load: float,
    outcomes: dict[str, list[Outcome]],
    packing: dict[str, float],
) -> list[dict[str, Any]]:
    """Return our figures against the best baseline of the same run."""
    p99 = {
        name: quantile(
            [wait for item in found for wait in item.waits_s[RequestKind.CHECK]], 0.99
        )
        for name, found in outcomes.items()
    }
    best = min(BASELINES, key=p99.__getitem__)
    fullest = max(BASELINES, key=packing.__getitem__)
    saturated = load >= SATURATED
    malanad = site.name == "malanad"
    return [
        figure(
            BENCH,
            f"{label} check wait p99 vs best baseline",
            p99[OURS],
            "s",
            baseline=p99[best],
            target=CHECK_WAIT_TARGET if saturated else None,
            note=f"best baseline: {best}",
        ),
        figure(
            BENCH,
            f"{label} useful/bound vs best baseline",
            packing[OURS],
            "share",
            baseline=packing[fullest],
            note=f"best baseline: {fullest}"
            + (f"; target {PACKING_TARGET} of the bound" if malanad else ""),
        ),
    ]


def _failing_worker(site: Site) -> list[dict[str, Any]]:
    """Return the failed requests caused by one worker that fails every task."""
    stream = make_stream(
        site, SEEDS[0], load=0.9, horizon_s=HORIZON_S, failing_worker=True
    )
    failed = {
        name: run_stream(make_scheduler(name, SEEDS[0]), stream).n_failed
        for name in (OURS, *BASELINES)
    }
    best = min(BASELINES, key=failed.__getitem__)
    return [
        figure(
            BENCH,
            f"{site.name} load 0.9 requests failed with one failing worker",
            failed[OURS],
            "requests",
            baseline=failed[best],
            note=f"best baseline: {best}",
        )
    ]
