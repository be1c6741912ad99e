"""Figures that benchmarks report."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


def quantile(values: Sequence[float], q: float) -> float:
    """Return the q-quantile by the nearest-rank rule; 0 for no values."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return float(ranked[min(len(ranked) - 1, int(q * len(ranked)))])


def figure(
    bench: str,
    metric: str,
    value: float,
    unit: str,
    *,
    baseline: float | None = None,
    target: float | None = None,
    note: str = "",
) -> dict[str, Any]:
    """Return one figure as a JSON-ready mapping.

    Parameters
    ----------
    bench, metric : str
        Benchmark module, and name of the quantity.
    value : float
        Measured value.
    unit : str
        Unit of the value.
    baseline : float or None
        Figure of the baseline in the same run; the ratio is value to baseline.
    target : float or None
        Target for the value, or for the ratio if there is a baseline.
    note : str
        Remarks, such as a reduced size.
    """
    row: dict[str, Any] = {
        "bench": bench,
        "metric": metric,
        "value": round(value, 6),
        "unit": unit,
        "baseline": None if baseline is None else round(baseline, 6),
        "ratio": round(value / baseline, 4) if baseline else None,
        "target": target,
    }
    if note:
        row["note"] = note
    return row
