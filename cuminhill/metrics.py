"""Metrics of the daemon in the Prometheus text format.

One table declares every metric. Most values are read from the state dump when they
are asked for, so that the request path pays nothing for them.
"""

from __future__ import annotations

import math
from collections import Counter as Tally
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TEXT_CONTENT_TYPE, TextFormatter

from .coordination.membership import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

PREFIX = "cuminhill_"
CONTENT_TYPE = TEXT_CONTENT_TYPE
COUNTER, GAUGE, HISTOGRAM = Counter, Gauge, Histogram
# Seconds; 1.7 s is the bound within which urgent work has to start.
WAIT_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 5.0, 15.0, 60.0]
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


@dataclass(frozen=True, slots=True)
class Metric:
    """One row of the table of metrics.

    Parameters
    ----------
    name : str
        Name without the prefix ``cuminhill_``.
    kind : type
        `COUNTER`, `GAUGE` or `HISTOGRAM`.
    help : str
        Sentence for the reader of a dashboard.
    labels : tuple of str
        Names of the labels.
    source : str
        Path in the state dump; each ``*`` stands for all keys there and gives the
        value of the next label. Empty if the value comes from elsewhere.
    """

    name: str
    kind: Any
    help: str
    labels: tuple[str, ...] = ()
    source: str = ""


METRICS = (
    Metric("requests_total", COUNTER, "Answers given.", ("kind", "outcome")),
    Metric(
        "answer_seconds",
        HISTOGRAM,
        "Time from a submission to its answer, in seconds.",
        ("kind",),
    ),
    Metric(
        "callers_waiting",
        GAUGE,
        "Callers that wait for an answer.",
        ("shard",),
        "shards.*.n_waiters",
    ),
    Metric("requests_live", GAUGE, "Requests that are queued or run.", ("shard",)),
    Metric(
        "placements_total",
        COUNTER,
        "Tasks placed on a worker.",
        ("shard",),
        "shards.*.placer.n_placed",
    ),
    Metric(
        "starts_refused_total",
        COUNTER,
        "Starts refused by a worker for a stale epoch.",
        ("shard",),
        "shards.*.n_stale_starts",
    ),
    Metric(
        "starts_unknown_total",
        COUNTER,
        "Starts whose outcome is not known.",
        ("shard",),
        "shards.*.n_unknown_starts",
    ),
    Metric(
        "starts_lapsed_total",
        COUNTER,
        "Starts dropped because the lease had lapsed.",
        ("shard",),
        "shards.*.n_lapsed",
    ),
    Metric(
        "records_unrecorded",
        GAUGE,
        "Results that are not in the log yet.",
        ("shard",),
        "shards.*.n_unrecorded",
    ),
    Metric(
        "leading",
        GAUGE,
        "1 if this VM leads the shard.",
        ("shard",),
        "shards.*.leading",
    ),
    Metric("workers_held", GAUGE, "Workers whose lease is held.", ("shard",)),
    Metric(
        "leader_changes_total",
        COUNTER,
        "Changes of leader seen between two readings of the metrics.",
        ("shard",),
    ),
    Metric("log_reachable", GAUGE, "1 if the log can be read.", (), "log.reachable"),
    Metric(
        "log_offset", GAUGE, "Next offset of the log to read.", (), "log.next_offset"
    ),
    Metric(
        "log_pending", GAUGE, "Records that wait to be appended.", (), "log.n_pending"
    ),
    Metric(
        "log_appends_total",
        COUNTER,
        "Batches appended to the log.",
        (),
        "log.n_appends",
    ),
    Metric(
        "log_append_failures_total",
        COUNTER,
        "Appends that failed or may have failed.",
        (),
        "log.n_append_failures",
    ),
    Metric(
        "log_read_failures_total",
        COUNTER,
        "Reads that failed.",
        (),
        "log.n_read_failures",
    ),
    Metric(
        "log_gaps_total",
        COUNTER,
        "Ranges that retention dropped before they were read.",
        (),
        "log.n_gaps",
    ),
    Metric(
        "log_bad_records_total",
        COUNTER,
        "Records that could not be understood.",
        (),
        "log.n_bad_records",
    ),
    Metric(
        "claims_lost_total",
        COUNTER,
        "Claims that another shard made first.",
        (),
        "index.n_lost_claims",
    ),
    Metric("index_entries", GAUGE, "Requests remembered.", (), "index.n_entries"),
    Metric(
        "retries_total",
        COUNTER,
        "Requests sent on to another placer.",
        (),
        "routing.n_reroutes",
    ),
    Metric(
        "unknown_replies_total",
        COUNTER,
        "Calls to a placer whose outcome is not known.",
        (),
        "routing.n_unknown_replies",
    ),
    Metric(
        "config_revision",
        GAUGE,
        "Revision of the configuration in force.",
        (),
        "config.revision",
    ),
    Metric("members", GAUGE, "Entry VMs known, by state.", ("state",)),
    Metric("draining", GAUGE, "1 while the daemon drains.", (), "draining"),
    Metric("uptime_seconds", GAUGE, "Seconds since the start.", (), "uptime_s"),
    Metric(
        "connections",
        GAUGE,
        "Open connections of callers.",
        (),
        "http.n_connections",
    ),
    Metric(
        "connections_accepted_total",
        COUNTER,
        "Connections accepted.",
        ("server",),
        "*.connections.n_accepted",
    ),
    Metric(
        "connections_refused_total",
        COUNTER,
        "Connections refused because all others were busy.",
        ("server",),
        "*.connections.n_refused",
    ),
    Metric(
        "connections_evicted_total",
        COUNTER,
        "Idle connections closed in favour of new ones.",
        ("server",),
        "*.connections.n_evicted",
    ),
    Metric(
        "accept_errors_total",
        COUNTER,
        "Failed accepts, most likely for a lack of file descriptors.",
        ("server",),
        "*.connections.n_accept_errors",
    ),
    Metric(
        "idle_closed_total",
        COUNTER,
        "Connections closed after the idle time-out.",
        ("server",),
        "*.n_idle_closed",
    ),
    Metric(
        "read_timeouts_total",
        COUNTER,
        "Requests or frames that arrived too slowly.",
        ("server",),
        "*.n_read_timeouts",
    ),
    Metric(
        "write_timeouts_total",
        COUNTER,
        "Responses that the other side did not read in time.",
        ("server",),
        "*.n_write_timeouts",
    ),
    Metric(
        "bad_requests_total",
        COUNTER,
        "Requests that are malformed.",
        (),
        "http.n_bad_requests",
    ),
    Metric(
        "too_large_total",
        COUNTER,
        "Requests whose body was too large.",
        (),
        "http.n_too_large",
    ),
    Metric(
        "handler_errors_total",
        COUNTER,
        "Requests that ended in an unexpected exception.",
        (),
        "http.n_handler_errors",
    ),
    Metric(
        "bad_frames_total",
        COUNTER,
        "Malformed frames or calls of peers.",
        (),
        "rpc.n_bad_frames",
    ),
    Metric(
        "unknown_methods_total",
        COUNTER,
        "Calls of methods that this version lacks.",
        (),
        "rpc.n_unknown_methods",
    ),
    Metric(
        "rpc_failed_calls_total",
        COUNTER,
        "Calls of peers whose handler failed or whose reply was lost.",
        (),
        "rpc.n_failed_calls",
    ),
)


class Metrics:
    """Registry of the metrics of one daemon."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._formatter = TextFormatter()
        self._leaders: dict[str, str] = {}
        self._metrics = {item.name: item for item in METRICS}
        self._collectors = {item.name: self._register(item) for item in METRICS}

    def _register(self, metric: Metric) -> Any:
        name = PREFIX + metric.name
        if metric.kind is HISTOGRAM:
            return Histogram(
                name, metric.help, registry=self._registry, buckets=WAIT_BUCKETS_S
            )
        return metric.kind(name, metric.help, registry=self._registry)

    def add(self, name: str, value: float = 1, **labels: Any) -> None:
        """Add to a counter."""
        self._collectors[name].add(self._labels(name, labels), value)

    def set(self, name: str, value: float, **labels: Any) -> None:
        """Set a gauge, or a counter that is counted elsewhere."""
        self._collectors[name].set(self._labels(name, labels), value)

    def observe(self, name: str, value: float, **labels: Any) -> None:
        """Add an observation to a histogram."""
        self._collectors[name].observe(self._labels(name, labels), value)

    def fill(self, dump: Mapping[str, Any]) -> None:
        """Set the metrics whose values are in a state dump.

        Parameters
        ----------
        dump : dict
            Result of ``Application.dump()``; what it lacks is left out.
        """
        for metric in METRICS:
            if not metric.source:
                continue
            self._collectors[metric.name].values.clear()
            for labels, value in _find(dump, metric.source.split(".")):
                number = _number(value)
                if number is not None:
                    named = dict(zip(metric.labels, labels, strict=True))
                    self.set(metric.name, number, **named)
        self._fill_answers(dump.get("answers", {}))
        self._fill_members(dump.get("members", []))
        self._fill_shards(dump.get("shards", {}))
        self._fill_leaders(dump.get("routing", {}).get("leaders", {}))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        text: bytes = self._formatter.marshall(self._registry)
        return text

    def _labels(self, name: str, labels: Mapping[str, Any]) -> dict[str, str]:
        expected = self._metrics[name].labels
        if set(labels) != set(expected):
            raise ValueError(f"{name} has the labels {expected}, not {set(labels)}")
        # The formatter writes label values as they are.
        return {key: str(labels[key]).translate(_ESCAPES) for key in expected}

    def _fill_answers(self, answers: Mapping[str, int]) -> None:
        for key, count in answers.items():
            kind, _, outcome = key.partition(":")
            if not outcome:  # refused before its kind was known
                kind, outcome = "none", kind
            self.set("requests_total", count, kind=kind, outcome=outcome)

    def _fill_members(self, members: list[Mapping[str, Any]]) -> None:
        tally = Tally(str(item.get("state")) for item in members)
        for state in MemberState:
            self.set("members", tally[str(state)], state=state)

    def _fill_shards(self, shards: Mapping[str, Any]) -> None:
        for name in ("requests_live", "workers_held"):
            self._collectors[name].values.clear()
        for shard, row in shards.items():
            placer = row.get("placer", {})
            held = [
                bool(item.get("held")) for item in placer.get("workers", {}).values()
            ]
            self.set("requests_live", len(placer.get("requests", [])), shard=shard)
            self.set("workers_held", sum(held), shard=shard)

    def _fill_leaders(self, leaders: Mapping[str, str]) -> None:
        for shard, vm in leaders.items():
            changed = self._leaders.get(shard, vm) != vm
            self.add("leader_changes_total", int(changed), shard=shard)
            self._leaders[shard] = vm


def make_metrics() -> Metrics:
    """Return a registry without values."""
    return Metrics()


def _find(
    node: Any, path: list[str], labels: tuple[str, ...] = ()
) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yield the values at a path, with the keys that its ``*`` stand for."""
    if not path:
        yield labels, node
        return
    if not isinstance(node, dict):
        return
    if path[0] == "*":
        for key, child in node.items():
            yield from _find(child, path[1:], (*labels, key))
    elif path[0] in node:
        yield from _find(node[path[0]], path[1:], labels)


def _number(value: Any) -> float | None:
    if isinstance(value, bool):
        return int(value)
    if isinstance(value, int | float) and math.isfinite(value):
        return value
    return None
