"""Which team a caller belongs to, and which jobs it may ask for or cancel."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .jobindex import JobEntry
    from .model import QueueTable, Team


def find_team(table: QueueTable, authorization: str) -> Team | None:
    """Return the team of a caller's ``Authorization`` header.

    Without teams in the configuration, the header is not read.
    """
    if table.teams is None or table.keys is None:
        return None
    return table.teams.get(table.keys.find_name(authorization))


def is_foreign(table: QueueTable, team: Team | None, entry: JobEntry | None) -> bool:
    """Return whether a job is another team's than the caller's.

    Parameters
    ----------
    team : Team or None
        The caller's team; None if the caller has sent no valid key, which only public
        queues permit.
    entry : JobEntry or None
        The job. If it, or its team, is not known to this VM, nothing is refused.
    """
    if table.teams is None or entry is None or not entry.team:
        return False
    if team is not None:
        return team.name != entry.team
    # The queue in the path of the request may be another one than the job's: the path
    # of a public queue must not give access to the jobs of other queues.
    queue = table.queues.get(entry.queue)
    return queue is None or not queue.public


def dump_teams(table: QueueTable, entries: Iterable[JobEntry]) -> dict[str, Any]:
    """Return the teams of the configuration and their jobs by state, for a dump.

    Jobs of removed teams are left out, so that teams that come and go add no series to
    the metrics.
    """
    jobs: dict[str, Counter[str]] = {name: Counter() for name in table.teams or ()}
    for entry in entries:
        if entry.team in jobs:
            jobs[entry.team][entry.state.value] += 1
    n_keys = table.keys.n_keys if table.keys is not None else Counter[str]()
    return {
        name: {
            "weight": team.weight,
            "cap": {
                "cores": team.cap.cores,
                "memory_mb": team.cap.memory_mb,
                "accelerators": team.cap.accelerators,
            },
            "n_keys": n_keys[name],
            "jobs": dict(jobs[name]),
        }
        for name, team in (table.teams or {}).items()
    }
