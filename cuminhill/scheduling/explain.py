"""Explanations of placement decisions, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..model import RequestKind
from .quotas import scale
from .state import Phase

if TYPE_CHECKING:
    from .shardstate import ShardState
    from .state import RequestState, TaskState

MAX_TASKS = 200  # tasks listed individually
N_NEAREST = 3  # workers named as closest to having enough capacity

_PHASES = {
    Phase.HELD: "an earlier placer may have started it; its worker has not told yet",
    Phase.RECORDING: "its start is being recorded in the log",
    Phase.STARTING: "the start call is in flight",
    Phase.UNCERTAIN: "the start call had no reply; the worker's next list decides",
    Phase.RUNNING: "runs",
    Phase.ENDED: "has ended",
}


def explain(
    shard: ShardState, request_id: str, now: float | None
) -> dict[str, Any] | None:
    """Return why a request waits or where it runs; None if unknown here.

    Parameters
    ----------
    now : float or None, seconds
        Monotonic time; None omits all durations.
    """
    state = shard.requests.get(request_id)
    if state is None:
        return None
    return {
        "request_id": request_id,
        "shard": shard.shard_name,
        "kind": state.kind,
        "team": state.request.team,
        "waits": _waits(shard, state, now),
        "n_tasks": len(state.tasks),
        "n_open": state.n_open,
        "tasks": [_task(shard, task, now) for task in state.tasks[:MAX_TASKS]],
    }


def _task(shard: ShardState, task: TaskState, now: float | None) -> dict[str, Any]:
    return {
        "task_id": task.task_id,
        "phase": task.phase,
        "worker": task.worker_id,
        "n_tries": task.n_tries,
        "n_preempted": task.n_preempted,
        "failed_on": list(task.failed_on),
        "why": _why(task, now),
        "placed_because": task.placed_because if task.worker_id else "",
    }


def _why(task: TaskState, now: float | None) -> str:
    if task.phase is Phase.STOPPING:
        return f"a {task.verb} is under way"
    if task.phase is not Phase.QUEUED:
        return _PHASES[task.phase]
    if task.owner.regrouping:
        return "waits until the other tasks of the gang have been checkpointed"
    if task.not_before and (now is None or task.not_before > now):
        left = "" if now is None else f" in {task.not_before - now:.1f} s"
        return f"failed {task.n_tries} times; the next try is{left or ' later'}"
    return task.owner.waits_for or "waits for its turn"


def _waits(
    shard: ShardState, state: RequestState, now: float | None
) -> dict[str, Any] | None:
    """Return why a request waits and what would allow its next start."""
    if not state.ready:
        return None
    need, team = state.request.need, state.request.team
    waits: dict[str, Any] = {
        "for": state.waits_for or "its turn",
        "since_s": None if now is None else round(now - state.waiting_since, 3),
        "team_dominant_share": round(shard.teams.dominant_share(team), 4),
        "team_share": shard.teams.quota(team).share,
    }
    is_gang = state.kind is RequestKind.GANG
    whole = scale(need, len(state.ready)) if is_gang else need
    if not shard.teams.within_limit(team, whole):
        limit = shard.teams.quota(team).limit
        waits["would_start_if"] = f"team {team} used less of its limit {limit}"
    elif not shard.free_capacity.ever_fits(need, len(state.ready) if is_gang else 1):
        waits["would_start_if"] = "larger workers joined the shard"
    else:
        waits["would_start_if"] = _nearest(shard, state)
    if shard.reservation is not None and shard.reservation.state is state:
        reservation = shard.reservation
        waits["reserved_on"] = dict(reservation.n_tasks_on)
        waits["still_in_use"] = sorted(reservation.still_in_use)
        if now is not None:
            waits["expected_in_s"] = round(max(0.0, reservation.start_at - now), 3)
    return waits


def _nearest(shard: ShardState, state: RequestState) -> str:
    """Name the workers that lack the least for a task, and what they lack."""
    need = state.request.need
    gaps = []
    for worker in shard.workers.values():
        if not worker.usable:
            continue
        free = shard.free_capacity.general_free(worker)
        lacks = {
            name: getattr(need, name) - getattr(free, name)
            for name in ("cores", "memory_mb", "accelerators", "slots", "connections")
            if getattr(need, name) > getattr(free, name)
        }
        size = sum(
            amount / max(getattr(worker.capacity, name), 1.0)
            for name, amount in lacks.items()
        )
        gaps.append((size, worker.worker_id, lacks))
    if not gaps:
        return "a worker became usable"
    parts = []
    for _, worker_id, lacks in sorted(gaps, key=lambda gap: gap[:2])[:N_NEAREST]:
        amounts = ", ".join(f"{amount:g} {name}" for name, amount in lacks.items())
        parts.append(f"{worker_id} freed {amounts}" if amounts else f"{worker_id}")
    return " or ".join(parts)
