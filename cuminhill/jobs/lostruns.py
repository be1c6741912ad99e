"""Finds the steps with runs on workers that are not reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .leasebounds import lapse_at
from .teamusage import TeamAmounts

if TYPE_CHECKING:
    from .placer import Placer
    from .progress import StepRun


def lost_steps(placer: Placer) -> dict[StepRun, tuple[int, float]]:
    """Return the steps with runs on workers that are not reached.

    Each step comes with the number of these runs and when the first is given up.
    """
    lost = [
        (key, lapse_at(placer, task.life)) for key, task in placer.not_adopted.items()
    ]
    for worker in placer.workers.values():
        if not worker.reachable:
            lost.extend((slot.key, worker.lapse_at) for slot in worker.slots.values())
    steps: dict[StepRun, tuple[int, float]] = {}
    for key, lapse in lost:
        progress = placer.jobs.get(key.job_id)
        if progress is None or progress.cancelled or progress.task(key) is None:
            continue
        if progress.has_ended:
            continue
        step_run = progress.step_run(key.occurrence, key.step)
        n_runs, first = steps.get(step_run, (0, lapse))
        steps[step_run] = (n_runs + 1, min(first, lapse))
    return {
        step_run: (n_admitted, lapse)
        for step_run, (n_runs, lapse) in steps.items()
        if (n_admitted := _n_replaceable(placer, step_run, n_runs))
    }


def _n_replaceable(placer: Placer, step_run: StepRun, n_runs: int) -> int:
    """Return how many lost runs of a step the cap of its team admits again."""
    n_freed = step_run.n_assigned if step_run.step.gang else n_runs
    freed = TeamAmounts().plus(step_run.step.need, n_freed)
    return placer.team_usage.limit(placer, step_run, n_runs, freed)
