"""Queue of a VM's calls to the placement advice service.

The service handles the calls of one VM in turn and goes on with a call whose caller
has given up. So the VM holds the queue itself and has one call under way at a time: a
call that is no longer wanted is never sent, and one that cannot be answered in time is
refused at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import curio

from ..clock import boottime
from ..errors import (
    CuminhillError,
    OverloadedError,
    UnavailableError,
    UnknownOutcomeError,
)
from .advice import LONG_CALL_S, AdviceAnswer

if TYPE_CHECKING:
    from collections.abc import Iterator

# Time beyond its expected one after which a call that was sent is given up. The
# service may first serve a call that an earlier process of this VM has left there.
SERVICE_SLACK_S = 1.2
# Time beyond its expected one after which a call under way counts as not answered, so
# that the calls behind it are no sign of a long queue.
OVERDUE_S = 0.25
# Calls that wait; the service itself takes 32 of a VM.
MAX_WAITING = 32


class AdviceService(Protocol):
    """Placement advice."""

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> list[tuple[str, str]]:
        """Return the workers that may run a step and the ticket for each."""


class AdviceRequest(NamedTuple):
    """Request for advice as a VM receives it.

    Parameters
    ----------
    cost_s : float, seconds
        Expected time that the service takes; 0 if the caller has not told it.
    term : int
        Term of the placer that asks; 0 if the caller has not told it.
    """

    step: str
    workers: list[str]
    cost_s: float = 0.0
    term: int = 0


@dataclass(eq=False, slots=True)
class _QueuedCall:
    """Call that waits for its turn or is under way."""

    request: AdviceRequest
    number: int
    queued_at: float
    give_up_at: float
    ended: Any = field(default_factory=curio.Event)
    sent_at: float = 0.0
    tickets: list[tuple[str, str]] | None = None
    error: CuminhillError | None = None

    def sort_key(self) -> tuple[bool, int]:
        """Return the order of service: short calls come first.

        Calls of unknown length keep their order among the long ones.
        """
        return not 0.0 < self.request.cost_s <= LONG_CALL_S, self.number


@dataclass(eq=False)
class AdviceQueue:
    """Queue of this VM's calls to the advice service."""

    service: AdviceService
    _waiting: list[_QueuedCall] = field(default_factory=list)
    _sent: _QueuedCall | None = None
    _serving: bool = False
    _numbers: Iterator[int] = field(default_factory=count)

    async def ask(self, request: AdviceRequest, wait_s: float) -> AdviceAnswer:
        """Request advice when the earlier calls have been answered.

        Raises
        ------
        OverloadedError
            If the call would not be answered in time; it was not sent.
        UnavailableError, UnknownOutcomeError, ProtocolError
            If the service gave no usable answer.
        """
        now = boottime()
        await self._drop_earlier_terms(request.term)
        call = _QueuedCall(request, next(self._numbers), now, now + wait_s)
        ahead = [item for item in self._waiting if item.sort_key() < call.sort_key()]
        needed_s = self._remaining_s(ahead, now) + request.cost_s
        if len(self._waiting) >= MAX_WAITING or (request.cost_s and needed_s > wait_s):
            raise self._refusal("queue too long")
        self._waiting.append(call)
        if not self._serving:
            self._serving = True
            await curio.spawn(self._serve, daemon=True)
        try:
            async with curio.timeout_after(wait_s):
                await call.ended.wait()
        except curio.TaskTimeout:
            if call.sent_at:
                raise UnknownOutcomeError("time-out", step="advise") from None
            raise self._not_sent() from None
        finally:
            if call in self._waiting:
                self._waiting.remove(call)
        if call.error is not None:
            raise call.error
        waited_s = call.sent_at - call.queued_at
        return AdviceAnswer(call.tickets or [], waited_s, self.backlog_s())

    def backlog_s(self) -> float:
        """Return the expected time until all calls have been answered, in seconds."""
        return self._remaining_s(self._waiting, boottime())

    def _remaining_s(self, calls: list[_QueuedCall], now: float) -> float:
        """Return the expected time for the call under way and some others."""
        total_s = sum(item.request.cost_s for item in calls)
        if self._sent is not None:
            expected_at = self._sent.sent_at + self._sent.request.cost_s
            total_s += max(0.0, expected_at - now)
        return total_s

    def _refusal(self, why: str) -> OverloadedError:
        return OverloadedError(why, step="advise", backlog_s=self.backlog_s())

    def _not_sent(self) -> CuminhillError:
        """Return the error of a call whose turn has not come in time."""
        sent = self._sent
        if sent is None or (
            boottime() < sent.sent_at + sent.request.cost_s + OVERDUE_S
        ):
            return self._refusal("not sent in time")
        return UnavailableError("the service does not answer", step="advise")

    async def _drop_earlier_terms(self, term: int) -> None:
        """Drop the waiting calls of placers of earlier terms."""
        for call in list(self._waiting):
            if 0 < call.request.term < term:
                self._waiting.remove(call)
                await self._end(call, self._refusal("a later term asks"))

    async def _end(self, call: _QueuedCall, error: CuminhillError) -> None:
        call.error = error
        await call.ended.set()

    async def _serve(self) -> None:
        """Send the waiting calls one after the other."""
        try:
            while self._waiting:
                call = min(self._waiting, key=_QueuedCall.sort_key)
                self._waiting.remove(call)
                now = boottime()
                if now + call.request.cost_s > call.give_up_at:
                    await self._end(call, self._refusal("not sent in time"))
                    continue
                call.sent_at, self._sent = now, call
                await self._send(call, now)
                self._sent = None
                await call.ended.set()
        finally:
            self._serving, self._sent = False, None

    async def _send(self, call: _QueuedCall, now: float) -> None:
        """Make a call; it goes on after its caller has given up."""
        request = call.request
        limit_s = max(call.give_up_at - now, request.cost_s + SERVICE_SLACK_S)
        try:
            call.tickets = await self.service.ask(
                request.step, request.workers, limit_s
            )
        except CuminhillError as exc:
            call.error = exc
        except Exception as exc:
            # The calls behind it are served nevertheless.
            call.error = UnknownOutcomeError(repr(exc), step="advise")
