"""Metrics of the daemon in the Prometheus text format.

`metrictable` declares every metric. Most values are read from the state dump on each
scrape, so that they add no cost to the request path.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Any

from aioprometheus import Histogram, Registry
from aioprometheus.formats.text import TEXT_CONTENT_TYPE, TextFormatter

from .coordination.membership import MemberState
from .metrictable import HISTOGRAM, METRICS, Metric

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

PREFIX = "cuminhill_"
CONTENT_TYPE = TEXT_CONTENT_TYPE
# 1.7 s is the time limit within which urgent work has to start.
# fmt: off
WAIT_BUCKETS_S = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 5.0, 10.0, 15.0, 60.0,
]
# fmt: on
# Most series of a histogram, one for each VM of the largest sites. Further label values
# share one: they may be queues, of which a configuration may have thousands, and each
# series takes fifteen lines in all later readings.
MAX_HISTOGRAM_SERIES = 300
OTHER = "other"
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class MetricSet:
    """Registry of the metrics of one table.

    Parameters
    ----------
    table : iterable of Metric
        Declarations of the metrics.
    """

    def __init__(self, table: Iterable[Metric]) -> None:
        self._registry = Registry()
        self._formatter = TextFormatter()
        self._metrics = {item.name: item for item in table}
        # Label values of the series of each histogram.
        self._series: dict[str, set[tuple[str, ...]]] = {}
        self._collectors = {
            item.name: self._register(item) for item in self._metrics.values()
        }

    def _register(self, metric: Metric) -> Any:
        name = PREFIX + metric.name
        if metric.kind is HISTOGRAM:
            return Histogram(
                name, metric.help, registry=self._registry, buckets=WAIT_BUCKETS_S
            )
        return metric.kind(name, metric.help, registry=self._registry)

    def add(self, name: str, value: float = 1, **labels: Any) -> None:
        """Increase a counter."""
        self._collectors[name].add(self._labels(name, labels), value)

    def set(self, name: str, value: float, **labels: Any) -> None:
        """Set a gauge, or a counter whose value is kept elsewhere."""
        self._collectors[name].set(self._labels(name, labels), value)

    def observe(self, name: str, value: float, **labels: Any) -> None:
        """Add an observation to a histogram.

        Beyond `MAX_HISTOGRAM_SERIES` it goes to a series with ``"other"`` as labels.
        """
        found = self._labels(name, labels)
        known = self._series.setdefault(name, set())
        key = tuple(found.values())
        if key not in known:
            if len(known) >= MAX_HISTOGRAM_SERIES:
                found = dict.fromkeys(found, OTHER)
            else:
                known.add(key)
        self._collectors[name].observe(found, value)

    def update_from(self, dump: Mapping[str, Any]) -> None:
        """Set the metrics that have a path in the state dump.

        Parameters
        ----------
        dump : dict
            JSON-ready state of a process; metrics that it lacks get no values.
        """
        for metric in self._metrics.values():
            if not metric.source:
                continue
            self._collectors[metric.name].values.clear()
            for labels, value in _find_values(dump, metric.source.split(".")):
                number = _to_number(value)
                if number is not None:
                    label_values = dict(zip(metric.labels, labels, strict=True))
                    self.set(metric.name, number, **label_values)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        text: bytes = self._formatter.marshall(self._registry)
        return text

    def _labels(self, name: str, labels: Mapping[str, Any]) -> dict[str, str]:
        expected = self._metrics[name].labels
        if set(labels) != set(expected):
            raise ValueError(f"{name} has the labels {expected}, not {set(labels)}")
        # The formatter does not escape label values.
        return {key: str(labels[key]).translate(_ESCAPES) for key in expected}


class Metrics(MetricSet):
    """Registry of the metrics of one daemon."""

    def __init__(self) -> None:
        super().__init__(METRICS)
        self._leaders: dict[str, str] = {}

    def update_from(self, dump: Mapping[str, Any]) -> None:
        """Set the metrics whose values come from the dump of an `Application`."""
        super().update_from(dump)
        self._update_answers(dump.get("answers", {}))
        self._update_members(dump.get("members", []))
        self._update_shards(dump.get("shards", {}))
        self._update_leaders(dump.get("routing", {}).get("leaders", {}))

    def _update_answers(self, answers: Mapping[str, int]) -> None:
        for key, count in answers.items():
            kind, _, outcome = key.partition(":")
            if not outcome:  # rejected before its kind was known
                kind, outcome = "none", kind
            self.set("requests_total", count, kind=kind, outcome=outcome)

    def _update_members(self, members: list[Mapping[str, Any]]) -> None:
        n_by_state = Counter(str(item.get("state")) for item in members)
        for state in MemberState:
            self.set("members", n_by_state[str(state)], state=state)

    def _update_shards(self, shards: Mapping[str, Any]) -> None:
        for name in ("requests_live", "workers_held"):
            self._collectors[name].values.clear()
        for shard, row in shards.items():
            placer = row.get("placer", {})
            held = [
                bool(item.get("held")) for item in placer.get("workers", {}).values()
            ]
            self.set("requests_live", len(placer.get("requests", [])), shard=shard)
            self.set("workers_held", sum(held), shard=shard)

    def _update_leaders(self, leaders: Mapping[str, str]) -> None:
        for shard, vm in leaders.items():
            changed = self._leaders.get(shard, vm) != vm
            self.add("leader_changes_total", int(changed), shard=shard)
            self._leaders[shard] = vm


def make_metrics() -> Metrics:
    """Return the metrics of a daemon, without values."""
    return Metrics()


def _find_values(
    node: Any, path: list[str], labels: tuple[str, ...] = ()
) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yield the values at a path, each with the keys that match its ``*``."""
    if not path:
        yield labels, node
        return
    if not isinstance(node, dict):
        return
    if path[0] == "*":
        for key, child in node.items():
            yield from _find_values(child, path[1:], (*labels, key))
    elif path[0] in node:
        yield from _find_values(node[path[0]], path[1:], labels)


def _to_number(value: Any) -> float | None:
    if isinstance(value, bool):
        return int(value)
    if isinstance(value, int | float) and math.isfinite(value):
        return value
    return None
