"""Table of the daemon's metrics, with their paths in the state dump."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from aioprometheus import Counter, Gauge, Histogram

COUNTER, GAUGE, HISTOGRAM = Counter, Gauge, Histogram


@dataclass(frozen=True, slots=True)
class Metric:
    """Declaration of one metric.

    Parameters
    ----------
    name : str
        Name without the prefix ``cuminhill_``.
    kind : type
        `COUNTER`, `GAUGE` or `HISTOGRAM`.
    help : str
        Help text, shown by dashboards.
    labels : tuple of str
        Names of the labels.
    source : str
        Path in the state dump; each ``*`` matches all keys at its level, which are
        the values of the next label. Empty if the value is not in the dump.
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
