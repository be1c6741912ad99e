"""Runs a program on curio's kernel and cancels the tasks that are left at its end."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import curio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_SHUTDOWN_ROUNDS = 10


def run_to_end(corofunc: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a coroutine function, cancel the tasks that are left, and return its result.

    `curio.run` fails if one of these tasks starts another one before its own turn to be
    cancelled, such as a call to a peer that has just connected; a process that has
    stopped gracefully then ends with exit code 1. Here such tasks are cancelled too.
    """
    with curio.Kernel() as kernel:
        result = kernel.run(corofunc, *args)
        _cancel_remaining(kernel)
        return result


def _cancel_remaining(kernel: curio.Kernel) -> None:
    for _ in range(MAX_SHUTDOWN_ROUNDS - 1):
        # Curio asserts that no task was started while it cancelled the others.
        with contextlib.suppress(AssertionError):
            kernel.run(shutdown=True)
            return
    kernel.run(shutdown=True)
