"""Callers that wait for a change of their request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(eq=False, slots=True)
class _Waiter:
    """Event that the waiting callers of one request share."""

    event: Any = field(default_factory=curio.Event)
    n_users: int = 0


@dataclass(eq=False, slots=True)
class Waiters:
    """Waiting callers by request id."""

    _waiting: dict[str, _Waiter] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(self, request_id: str, timeout_s: float) -> None:
        """Wait for the next change of a request, or until the timeout expires."""
        waiter = self._waiting.setdefault(request_id, _Waiter())
        waiter.n_users += 1
        waiter.event.clear()
        try:
            async with curio.timeout_after(max(0.0, timeout_s)):
                await waiter.event.wait()
        except curio.TaskTimeout:
            pass
        finally:
            waiter.n_users -= 1
            if not waiter.n_users:
                self._waiting.pop(request_id, None)

    async def wake(self, request_ids: Iterable[str]) -> None:
        """Wake the callers that wait for any of the requests."""
        for request_id in request_ids:
            waiter = self._waiting.get(request_id)
            if waiter is not None:
                await waiter.event.set()

    async def wake_all(self) -> None:
        """Wake all waiting callers."""
        await self.wake(list(self._waiting))
