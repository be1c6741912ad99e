"""Dump of the whole state of a daemon."""

from __future__ import annotations

import time
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from .util.http import byte_counts

if TYPE_CHECKING:
    from .application import Application


def dump_state(app: Application) -> dict[str, Any]:
    """Return the state of a process in JSON-ready form, for operators and metrics."""
    now = time.monotonic()
    return {
        "vm": app.settings.vm,
        "failure_domain": app.settings.failure_domain,
        "incarnation": str(app.incarnation),
        "uptime_s": round(now - app.started_at, 3),
        "draining": app.draining,
        "not_ready_reason": app.not_ready_reason(),
        "members": [
            {
                "vm": member.vm,
                "state": app.membership.state(member.vm, now),
                "incarnation": str(member.incarnation),
                "shards": list(member.shards),
                "free_cores": member.free_cores,
                "log_offset": member.log_offset,
            }
            for member in app.membership.members()
        ],
        "log": {
            "reachable": app.follower.reachable,
            "next_offset": app.follower.next_offset,
            "n_pending": app.follower.n_pending,
            "n_appends": app.follower.n_appends,
            "n_append_failures": app.follower.n_append_failures,
            "n_read_failures": app.follower.n_read_failures,
            "n_gaps": app.follower.n_gaps,
            "n_replayed": app.follower.n_replayed,
            "n_bad_records": app.n_bad_records + app.follower.n_failed_records,
            "n_refreshes": app.log_retention.n_refreshes,
            "n_bookmarks": app.log_retention.n_bookmarks,
        },
        "config": app.config.dump(),
        "index": {
            "n_entries": len(app.index.entries),
            "n_lost_claims": app.index.n_lost_claims,
            "n_void_starts": app.index.n_void_starts,
        },
        "shards": {name: item.dump() for name, item in app.drivers.items()},
        "routing": app.router.dump(),
        "http": asdict(app.http.counters)
        | {"n_connections": app.http.n_connections, "n_busy": app.http.n_busy},
        "rpc": asdict(app.rpc.counters),
        "sent_received": {"rpc": app.peers.byte_counts(), "http": byte_counts()},
        "answers": dict(app.http_api.answers),
    }
