"""Metrics of a node, and the HTTP server for its metrics and state dump."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import boottime
from ..metrics import CONTENT_TYPE, MetricSet
from ..metrictable import COUNTER, GAUGE, HISTOGRAM, Metric
from ..util.http import HttpLimits, HttpRequest, HttpResponse, HttpServer

if TYPE_CHECKING:
    from .node import JobNode

# Requests for metrics and the dump: few bytes, from few processes. A response takes up
# to some megabytes.
INSPECTION_LIMITS = HttpLimits(max_connections=16, max_body_bytes=4096)

NODE_METRICS = (
    Metric(
        "callers_total",
        COUNTER,
        "Answers to callers by call and outcome.",
        ("outcome",),
        "callers.*",
    ),
    Metric(
        "submit_seconds",
        HISTOGRAM,
        "Time from a submission to its answer, in seconds.",
        ("outcome",),
    ),
    Metric(
        "refused_total",
        COUNTER,
        "Jobs refused by reason and team.",
        ("reason", "team"),
        "admission.refused.*.*",
    ),
    Metric(
        "estimated_wait_seconds",
        GAUGE,
        "Estimated wait of a new job until it begins, in seconds.",
        ("queue",),
        "admission.estimated_wait_s.*",
    ),
    Metric("jobs", GAUGE, "Jobs in the journal by state.", ("state",), "jobs.*"),
    Metric(
        "team_jobs",
        GAUGE,
        "Jobs in the journal by team of the configuration and state.",
        ("team", "state"),
        "teams.*.jobs.*",
    ),
    Metric(
        "team_keys",
        GAUGE,
        "Keys by team of the configuration.",
        ("team",),
        "teams.*.n_keys",
    ),
    Metric("node_ready", GAUGE, "Whether new callers should come.", (), "ready"),
    Metric("node_draining", GAUGE, "Whether the node stops.", (), "draining"),
    Metric("node_config_version", GAUGE, "Queue table in force.", (), "config_version"),
    Metric("node_term", GAUGE, "Newest term in the journal.", (), "lead.term"),
    Metric("node_leading", GAUGE, "1 on the placer.", (), "is_leading"),
    Metric("known_workers", GAUGE, "Registered workers.", (), "workers"),
    Metric(
        "ignored_total",
        COUNTER,
        "Records, registrations and configurations that could not be read.",
        ("kind",),
        "bad.*",
    ),
    Metric(
        "followed_age_seconds",
        GAUGE,
        "Age of the newest complete read of a log.",
        ("log",),
        "logs.*.age_s",
    ),
    Metric(
        "followed_errors_total",
        COUNTER,
        "Failed reads of a log.",
        ("log",),
        "logs.*.n_errors",
    ),
    Metric(
        "followed_snapshots_total",
        COUNTER,
        "Snapshots read of a log.",
        ("log",),
        "logs.*.n_snapshots",
    ),
    Metric(
        "followed_unreachable_seconds",
        GAUGE,
        "Time for which a log has not answered a read, 0 while it is reachable.",
        ("log",),
        "logs.*.unreachable_s",
    ),
    Metric(
        "followed_read_seconds",
        GAUGE,
        "Time of the newest answered read of a log, without its wait for records.",
        ("log",),
        "logs.*.newest_read_s",
    ),
    Metric(
        "held_up_seconds_total",
        COUNTER,
        "Time by which the event loop was late, in seconds.",
        (),
        "loop.held_up_s",
    ),
    Metric(
        "inspection_seconds",
        HISTOGRAM,
        "Time of the answers to readings of the metrics and the dump, in seconds; "
        "nothing else is done meanwhile.",
        ("path",),
    ),
    Metric(
        "http_bytes_total",
        COUNTER,
        "Bytes that the HTTP clients of the process have sent and received, without "
        "TCP and IP headers.",
        ("direction",),
        "http_bytes.*",
    ),
    Metric(
        "receiving_limit_bytes",
        GAUGE,
        "Limit of the memory for unfinished requests at all listeners.",
        (),
        "receiving.limit_bytes",
    ),
    Metric(
        "receiving_used_bytes",
        GAUGE,
        "Memory that unfinished requests take.",
        (),
        "receiving.used_bytes",
    ),
    Metric(
        "receiving_peak_bytes",
        GAUGE,
        "Most memory that unfinished requests have taken.",
        (),
        "receiving.peak_bytes",
    ),
    Metric(
        "receiving_refused_total",
        COUNTER,
        "Requests that were refused or given up before they were handled, and "
        "connections closed because a response was not read, by reason.",
        ("reason",),
        "receiving.refused.*",
    ),
    Metric(
        "handling_used_bytes",
        GAUGE,
        "Memory that requests take which are being handled.",
        ("listener",),
        "receiving.handling.*.used_bytes",
    ),
    Metric(
        "handling_limit_bytes",
        GAUGE,
        "Limit of the memory of requests that are being handled.",
        ("listener",),
        "receiving.handling.*.limit_bytes",
    ),
    Metric(
        "listener_connections",
        GAUGE,
        "Open connections.",
        ("listener",),
        "receiving.listeners.*.connections",
    ),
    Metric(
        "listener_evicted_total",
        COUNTER,
        "Idle or unfinished connections that were closed in favor of new ones.",
        ("listener",),
        "receiving.listeners.*.n_evicted",
    ),
    Metric(
        "listener_refused_total",
        COUNTER,
        "New connections that were closed because all others were in use.",
        ("listener",),
        "receiving.listeners.*.n_refused",
    ),
    Metric(
        "appends_total",
        COUNTER,
        "Successful appends by writer.",
        ("writer",),
        "writers.*.n_appends",
    ),
    Metric(
        "appends_refused_total",
        COUNTER,
        "Appends that the log refused.",
        ("writer",),
        "writers.*.n_refused",
    ),
    Metric(
        "appends_unknown_total",
        COUNTER,
        "Appends without an answer.",
        ("writer",),
        "writers.*.n_unknown",
    ),
    Metric(
        "append_latency_seconds",
        GAUGE,
        "Running mean of the time of an append.",
        ("writer",),
        "writers.*.latency_s",
    ),
    Metric(
        "records_queued",
        GAUGE,
        "Records that wait for an append.",
        ("writer",),
        "writers.*.n_queued",
    ),
    Metric(
        "placer_events_total",
        COUNTER,
        "Placements, starts, ends, stops and lost runs of the term.",
        ("event",),
        "leading.counts.*",
    ),
    Metric("placer_jobs", GAUGE, "Live jobs of the placer.", (), "leading.n_jobs"),
    Metric(
        "placer_workers",
        GAUGE,
        "Workers of the placer by state.",
        ("state",),
        "leading.worker_states.*",
    ),
    Metric(
        "placer_advisers",
        GAUGE,
        "VMs through which the placer asks for advice by state.",
        ("state",),
        "leading.adviser_states.*",
    ),
    Metric(
        "team_cores",
        GAUGE,
        "Cores that the runs of a team may hold, as they count for its cap.",
        ("team",),
        "leading.teams.*.cores",
    ),
    Metric(
        "team_memory_megabytes",
        GAUGE,
        "Memory that the runs of a team may hold.",
        ("team",),
        "leading.teams.*.memory_mb",
    ),
    Metric(
        "team_cap_cores",
        GAUGE,
        "Cap of a team's cores; 0 for no limit.",
        ("team",),
        "leading.teams.*.cap_cores",
    ),
    Metric(
        "team_cap_memory_megabytes",
        GAUGE,
        "Cap of a team's memory; 0 for no limit.",
        ("team",),
        "leading.teams.*.cap_memory_mb",
    ),
    Metric(
        "team_waiting_jobs",
        GAUGE,
        "Jobs of a team without a run.",
        ("team",),
        "leading.teams.*.n_waiting",
    ),
    Metric(
        "team_surplus_jobs",
        GAUGE,
        "Those of them beyond the rate to which the team is entitled.",
        ("team",),
        "leading.teams.*.n_surplus",
    ),
    Metric(
        "first_start_seconds",
        HISTOGRAM,
        "Time from the acceptance of a job to its first start, in seconds.",
        ("queue",),
    ),
    Metric(
        "completed_seconds",
        HISTOGRAM,
        "Time from the acceptance of a job to its completion, in seconds.",
        ("queue",),
    ),
    Metric(
        "step_wait_seconds",
        HISTOGRAM,
        "Time for which a ready step waited for the placement of its first or next "
        "task, if over a second, by the reason of most of it, in seconds.",
        ("reason",),
    ),
    Metric(
        "idle_seconds",
        HISTOGRAM,
        "Time from when a job was accepted, or its last run ended, to its next start, "
        "across changes of the placer, in seconds.",
        ("queue",),
    ),
    Metric(
        "away_seconds",
        HISTOGRAM,
        "Time between the end of a run of a long-running task and its next start, in "
        "seconds.",
        ("queue",),
    ),
    Metric(
        "restart_seconds",
        HISTOGRAM,
        "Time from when a run of a long-running task was given up to the next start of "
        "the task, in seconds.",
        ("queue",),
    ),
    Metric(
        "decision_seconds",
        HISTOGRAM,
        "Time of a decision of the placer, in seconds.",
    ),
    Metric(
        "send_seconds",
        HISTOGRAM,
        "Time from the decision on a start until it is sent, in seconds.",
    ),
    Metric(
        "advice_seconds",
        HISTOGRAM,
        "Time of a call for advice, in seconds.",
        ("through",),
    ),
    Metric(
        "advice_wait_seconds",
        HISTOGRAM,
        "Time for which a call for advice waited for earlier calls of its VM, in "
        "seconds.",
        ("through",),
    ),
    Metric(
        "log_lines_dropped_total",
        COUNTER,
        "Log lines dropped.",
        (),
        "log_lines.dropped",
    ),
)


def make_node_metrics() -> MetricSet:
    """Return the metrics of a node, without values."""
    return MetricSet(NODE_METRICS)


def make_inspection_server(node: JobNode) -> HttpServer:
    """Return a server for ``/metrics`` and ``/dump``."""

    async def handle(req: HttpRequest) -> HttpResponse:
        # One dump in a turn, whatever the number of requests: it takes milliseconds.
        await node.budget.take_turn()
        begun_at = boottime()
        response = inspect(node, req.path)
        if response.status == 200:
            took_s = boottime() - begun_at
            node.metrics.observe("inspection_seconds", took_s, path=req.path)
        return response

    return HttpServer(handle, INSPECTION_LIMITS, node.budget, "inspection")


def inspect(node: JobNode, path: str) -> HttpResponse:
    """Return the answer to a request for the metrics or the dump."""
    if path == "/dump":
        return HttpResponse(200, node.dump())
    if path == "/metrics":
        node.metrics.update_from(node.summary())
        return HttpResponse(200, raw=node.metrics.render(), content_type=CONTENT_TYPE)
    return HttpResponse(404, {"error": "/metrics or /dump"})
