"""The end of a program on curio's kernel."""

from __future__ import annotations

import curio
import pytest

from cuminhill.util.kernel import run_to_end


async def end_slowly():
    try:
        await curio.sleep(60.0)
    finally:
        await curio.sleep(0.01)


async def start_another(started):
    """Start a task while a newer task is being cancelled."""
    await curio.sleep(0.002)
    started.append(await curio.spawn(curio.sleep, 60.0, daemon=True))
    await curio.sleep(60.0)


@pytest.mark.parametrize("n_starters", [1, 5])
def test_a_task_started_during_the_shutdown_is_cancelled_too(n_starters):
    """Guards against exit code 1 of a daemon that has stopped gracefully (P7)."""
    started = []

    async def program():
        for _ in range(n_starters):
            await curio.spawn(start_another, started, daemon=True)
        await curio.spawn(end_slowly, daemon=True)
        await curio.sleep(0)
        return "stopped"

    assert run_to_end(program) == "stopped"
    assert [task.terminated for task in started] == [True] * n_starters


def test_an_error_of_the_program_is_raised():
    """Guards against a program that fails and still ends with exit code 0."""

    async def program():
        raise ValueError("wrong")

    with pytest.raises(ValueError, match="wrong"):
        run_to_end(program)
