"""Accepts requests at the leader of a shard and answers their callers."""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from .coordination.claims import Cancel, Claim
from .errors import BoundElsewhereError, NotLeaderError, UnavailableError
from .model import (
    LOGGED_KINDS,
    Answer,
    AnswerState,
    Reason,
    Request,
    RequestKind,
    not_run,
)
from .scheduling.events import CancelRequested, RequestAccepted
from .waiters import Waiters

if TYPE_CHECKING:
    from .coordination.claims import Entry
    from .shard import ShardDriver

MAX_CACHED_ANSWERS = 20_000
CHECK_WAIT_S = 5.0
RECORD_WAIT_S = 0.5  # an unrecorded answer is returned after this
# A successor may answer differently until these are recorded: it tries failed tasks
# again, and it has no results of the tasks that were stopped.
RECORDED_STATES = frozenset({AnswerState.FAILED, AnswerState.CANCELLED})
CLAIM_WAIT_S = 30.0  # how long a request without deadline waits for its claim


@dataclass(eq=False)
class Submissions:
    """Requests and answers of one shard.

    Attributes
    ----------
    answers : OrderedDict of str to Answer
        Answers to checks, returned again for repeated ids.
    unrecorded : dict of str to (float, Answer)
        Final answers to logged requests that have not been read back from the log,
        with the monotonic time of each.
    """

    _driver: ShardDriver
    answers: OrderedDict[str, Answer] = field(default_factory=OrderedDict)
    unrecorded: dict[str, tuple[float, Answer]] = field(default_factory=dict)
    waiters: Waiters = field(default_factory=Waiters)

    async def submit(self, request: Request, wait_s: float) -> Answer:
        """Accept a request; return its answer, or "accepted" after ``wait_s``.

        Raises
        ------
        NotLeaderError
            If this VM does not lead the shard; the request was not accepted here.
        BoundElsewhereError
            If the request id is bound to another shard.
        """
        if request.kind in LOGGED_KINDS:
            return await self._submit_logged(request, wait_s)
        return await self._submit_check(request)

    async def wait(self, request_id: str, wait_s: float) -> Answer | None:
        """Return the answer to a logged request, None if it is unknown here."""
        give_up_at = time.monotonic() + wait_s
        while True:
            answer = self.known_answer(request_id)
            if answer is None or answer.final:
                return answer
            left_s = give_up_at - time.monotonic()
            if left_s <= 0:
                return answer
            await self.waiters.wait(request_id, min(left_s, RECORD_WAIT_S))

    def known_answer(self, request_id: str) -> Answer | None:
        """Return the answer to a request as far as it is known now."""
        entry = self._driver.index.get(request_id)
        if entry is None:
            return self.answers.get(request_id)
        if entry.answer is not None:
            return Answer.from_dict(entry.answer)
        unrecorded = self.unrecorded.get(request_id)
        if unrecorded and time.monotonic() - unrecorded[0] >= RECORD_WAIT_S:
            answer = unrecorded[1]
            if answer.state not in RECORDED_STATES:
                return answer
        return Answer(request_id, AnswerState.ACCEPTED)

    async def cancel(self, request_id: str) -> None:
        """Ask for the cancellation of a request."""
        if self._driver.index.get(request_id) is not None:
            await self._driver.append(Cancel(request_id))
        else:
            await self._driver.apply(CancelRequested(request_id))

    async def _submit_check(self, request: Request) -> Answer:
        request_id = request.request_id
        cached = self.answers.get(request_id)
        if cached is not None:
            return cached
        if not self._driver.leading:
            raise NotLeaderError("not leading", step="submit", peer=self._driver.shard)
        if request_id not in self._driver.placer.requests:
            refusal = self._driver.placer.refusal(request, self._driver.clock.wall())
            refusal = refusal or self._admission_refusal(request)
            if refusal is not None:
                return refusal
            await self._driver.apply(RequestAccepted(request))
        give_up_at = time.monotonic() + CHECK_WAIT_S
        while time.monotonic() < give_up_at:
            cached = self.answers.get(request_id)
            if cached is not None:
                return cached
            state = self._driver.placer.requests.get(request_id)
            if state is None or (not self._driver.leading and state.never_started):
                raise NotLeaderError(
                    "stepped down", step="submit", peer=self._driver.shard
                )
            await self.waiters.wait(request_id, give_up_at - time.monotonic())
        return Answer(request_id, AnswerState.UNKNOWN, detail="no result in time")

    def _admission_refusal(self, request: Request) -> Answer | None:
        """Return the refusal of a check that would start after its deadline."""
        now = time.monotonic()
        left_s = request.deadline - self._driver.clock.wall()
        refusal = self._driver.admission.offer(request.request_id, left_s, now)
        if refusal is None:
            return None
        wait_s = self._driver.admission.expected_wait(now)
        n_waiting = self._driver.admission.n_waiting
        detail = f"{refusal}: {n_waiting} checks wait, about {wait_s:.2f} s"
        return not_run(request.request_id, Reason.OVERLOAD, detail)

    async def _submit_logged(self, request: Request, wait_s: float) -> Answer:
        request_id = request.request_id
        entry = self._driver.index.get(request_id)
        if entry is None:
            if not self._driver.leading:
                raise NotLeaderError(
                    "not leading", step="submit", peer=self._driver.shard
                )
            refusal = self._refusal(request)
            if refusal is not None:
                return refusal
            claimed = await self._claim(request)
            if claimed.is_error():
                return claimed.error
            entry = claimed.ok
        if entry.shard != self._driver.shard:
            raise BoundElsewhereError(entry.shard)
        if entry.live and not self._driver.leading:
            raise NotLeaderError("not leading", step="submit", peer=self._driver.shard)
        answer = await self.wait(request_id, wait_s)
        return answer or Answer(request_id, AnswerState.ACCEPTED)

    def _refusal(self, request: Request) -> Answer | None:
        wall = self._driver.clock.wall()
        window_s = self._driver.settings.dedupe_window_s
        if request.kind is RequestKind.ORDER and request.issued_at < wall - window_s:
            return not_run(
                request.request_id,
                Reason.EXPIRED,
                f"issued more than {window_s:g} s ago",
            )
        return self._driver.placer.refusal(request, wall)

    async def _claim(self, request: Request) -> Result[Entry, Answer]:
        """Claim the id for this shard; return its entry, or why there is none.

        The entry may belong to another shard whose claim came first.
        """
        driver = self._driver
        request_id = request.request_id
        wall = driver.clock.wall()
        n_lapses = driver.leases.n_lapses if driver.leases.all_held else None
        try:
            pending = await driver.append(
                Claim(request_id, driver.shard, request.to_dict(), wall)
            )
        except UnavailableError as exc:
            return Error(not_run(request_id, Reason.OVERLOAD, exc.message))
        latest_start = request.deadline + driver.settings.clock_error_s
        entry = await self._wait_for_entry(
            request_id, min(latest_start, wall + CLAIM_WAIT_S)
        )
        if entry is not None:
            return Ok(entry)
        if driver.follower.withdraw(pending):
            return Error(_log_unreachable(request_id))
        return await self._resolve_claim(request_id, latest_start, n_lapses)

    async def _wait_for_entry(self, request_id: str, until: float) -> Entry | None:
        """Return the entry of an id once it is folded, None after ``until``."""
        driver = self._driver
        while (left_s := until - driver.clock.wall()) >= 0:
            entry = driver.index.get(request_id)
            if entry is not None:
                return entry
            await self.waiters.wait(request_id, max(0.01, left_s))
        return driver.index.get(request_id)

    async def _resolve_claim(
        self, request_id: str, latest_start: float, n_lapses: int | None
    ) -> Result[Entry, Answer]:
        """Resolve a claim that may be in the log but was not read back.

        No leader starts the request after its deadline. A leader that has held the
        leases of all workers since the claim, or that has read the log to its end,
        knows that it was not started earlier either.

        Parameters
        ----------
        latest_start : float, seconds
            Wall-clock time after which no leader starts the request.
        n_lapses : int or None
            Lapsed leases before the claim; None if some worker was not held then.
        """
        driver = self._driver
        if driver.clock.wall() > latest_start:
            if driver.leases.all_held and n_lapses == driver.leases.n_lapses:
                return Error(_log_unreachable(request_id))
            if await driver.follower.catch_up():
                entry = driver.index.get(request_id)
                if entry is not None:
                    return Ok(entry)
                return Error(
                    not_run(request_id, Reason.UNAVAILABLE, "the claim was lost")
                )
        detail = "the claim's outcome is unknown"
        return Error(Answer(request_id, AnswerState.UNKNOWN, detail=detail))

    def cache_answer(self, request_id: str, answer: Answer) -> None:
        """Cache the answer to a check for repeated ids."""
        self.answers[request_id] = answer
        if len(self.answers) > MAX_CACHED_ANSWERS:
            self.answers.popitem(last=False)


def _log_unreachable(request_id: str) -> Answer:
    return not_run(request_id, Reason.UNAVAILABLE, "the log is unreachable")
