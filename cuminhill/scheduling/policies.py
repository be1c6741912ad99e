"""Placement policy of each request kind."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from ..model import RequestKind
from .state import WorkerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .state import TaskState


@dataclass(frozen=True, slots=True)
class SpreadPolicy:
    """Prefers workers that hold least: short waits and few shared failures."""


@dataclass(frozen=True, slots=True)
class PackPolicy:
    """Prefers the fullest worker that still fits."""


Policy = SpreadPolicy | PackPolicy

_POLICIES: dict[RequestKind, Policy] = {
    RequestKind.CHECK: SpreadPolicy(),
    RequestKind.ORDER: SpreadPolicy(),
    RequestKind.BATCH: PackPolicy(),
    RequestKind.GANG: PackPolicy(),
    RequestKind.SERVICE: SpreadPolicy(),
}


def policy_for(kind: RequestKind) -> Policy:
    """Return the policy of a request kind."""
    return _POLICIES[kind]


@singledispatch
def score(policy: Policy, worker: WorkerState) -> float:
    """Return how well a worker suits; larger is better."""
    raise TypeError(f"not a policy: {policy!r}")


@score.register
def _(policy: SpreadPolicy, worker: WorkerState) -> float:
    return worker.free.cores / worker.capacity.cores


@score.register
def _(policy: PackPolicy, worker: WorkerState) -> float:
    return -worker.free.cores / worker.capacity.cores


def choose(
    policy: Policy, task: TaskState, workers: Iterable[WorkerState]
) -> WorkerState | None:
    """Return the best usable worker that the task fits on, or None."""
    fitting = [
        worker for worker in workers if worker.usable and task.need.fits(worker.free)
    ]
    return max(fitting, key=lambda worker: score(policy, worker), default=None)
