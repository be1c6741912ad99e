"""Upper bound on the useful work of any scheduler on a stream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import numpy as np
from numpy.typing import NDArray

from .streams import DIMENSIONS, N_FAILURES_ALWAYS, reference_capacity, work_s

if TYPE_CHECKING:
    from .streams import Stream

N_STEPS = 64  # number of times at which the bound is evaluated

_Array = NDArray[np.floating[Any]]


def useful_bound(stream: Stream) -> float:
    r"""Return a fractional upper bound on useful work, in reference core-seconds.

    Work is measured as declared cores times run time at speed 1; a worker of
    speed :math:`s` with :math:`C` cores does :math:`sC` of it a second. Let
    :math:`a_i` be the arrival of task :math:`i`, :math:`n_{ir}` its need in
    dimension :math:`r` with :math:`c_i` its cores, :math:`\hat s` the highest
    speed, :math:`T` the horizon, :math:`K_r = \sum_w s_w C_{wr}`, and
    :math:`t_i` its run time at speed 1, but at most :math:`\hat s(T - a_i)`, and 0
    for a task that can never succeed. By time :math:`t` at most
    :math:`A(t) = \sum_i c_i \min(t_i, \hat s (t - a_i)^+)` has been done; the
    rest must be done after it. So for every :math:`t` and :math:`r`

    .. math:: U \le \min(A(t), K_c t) + \max_x \Bigl\{\sum_i x_i c_i t_i :
        \sum_i x_i n_{ir} t_i \le K_r (T - t),\ 0 \le x_i \le 1\Bigr\}

    and the bound is the smallest right side. The inner problem is a fractional
    knapsack, solved exactly by taking tasks in order of :math:`c_i / n_{ir}`.
    Fragmentation, all-or-none and deadlines are ignored, so no scheduler can
    reach more than this.
    """
    capacity = reference_capacity(stream.workers)
    top_speed = max(worker.speed for worker in stream.workers)
    rows = [
        (
            item.at,
            work_s(item, index, stream.horizon_s, top_speed),
            *(getattr(item.request.need, name) for name in DIMENSIONS),
        )
        for item in stream.arrivals
        for index in range(item.request.n_tasks)
        if item.n_failures[index] < N_FAILURES_ALWAYS
    ]
    table = np.array(rows)
    at, full_s, cores = table[:, 0], table[:, 1], table[:, 2]
    curves = [
        _knapsack_curve(cores * full_s, table[:, 2 + r] * full_s)
        for r in range(len(DIMENSIONS))
    ]
    bound = math.inf
    for t in np.linspace(0.0, stream.horizon_s, N_STEPS):
        done = np.minimum(full_s, top_speed * np.maximum(0.0, t - at))
        before = min(float(cores @ done), capacity["cores"] * t)
        for name, (cost, value) in zip(DIMENSIONS, curves, strict=True):
            remaining = capacity[name] * (stream.horizon_s - t)
            bound = min(bound, before + float(np.interp(remaining, cost, value)))
    return bound


def _knapsack_curve(value: _Array, cost: _Array) -> tuple[_Array, _Array]:
    """Return capacities and best values of a fractional knapsack, as a polyline."""
    order = np.argsort(-value / cost, kind="stable")
    zero = np.zeros(1)
    return (
        np.concatenate([zero, np.cumsum(cost[order])]),
        np.concatenate([zero, np.cumsum(value[order])]),
    )
