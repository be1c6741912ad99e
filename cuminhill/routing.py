"""Sends a request to the leader of a shard, here or on another entry VM."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import orjson

from .attempts import (
    RETRYABLE_REASONS,
    AttemptDeniedError,
    AttemptLimiter,
    Attempts,
    call_outcome,
)
from .clock import SystemClock
from .coordination.retry import CallOutcome, Deadline, make_backoff, may_retry
from .errors import BoundElsewhereError, CuminhillError, NotLeaderError
from .model import LOGGED_KINDS, Answer, AnswerState, Reason, Request, not_run
from .rpc import idl
from .util.hashing import rendezvous_order

if TYPE_CHECKING:
    from .clock import Clock
    from .coordination.claims import RequestIndex
    from .coordination.membership import Member, Membership
    from .coordination.retry import Backoff
    from .peers import Peers
    from .shard import ShardDriver

CHECK_ATTEMPT_S = 0.6  # in addition to the run time; leaves time for a second shard
LOGGED_ATTEMPT_S = 3.0
REPLY_MARGIN_S = 0.1  # time for the reply to a start right at the deadline
# A failover takes up to 1.3 s, and urgent work has to start within 1.7 s.
BACKOFF_CAP_S = 0.1
MAX_WAIT_S = 60.0


@dataclass(eq=False)
class Router:
    """Chooses a shard for each request and sends the request to its leader.

    Parameters
    ----------
    drivers : dict of str to ShardDriver
        Drivers of the shards of this VM's failure domain.
    membership : Membership
        Knows which member leads which shard.
    peers : Peers
        Connections to other entry VMs.
    index : RequestIndex
        Knows to which shard a request id is bound.
    rng : random.Random
        Draws the jitter of delays.
    clock : Clock
        Wall clock for deadlines.
    """

    drivers: dict[str, ShardDriver]
    membership: Membership
    peers: Peers
    index: RequestIndex
    rng: random.Random
    clock: Clock
    limiter: AttemptLimiter = field(default_factory=AttemptLimiter)
    n_reroutes: int = 0
    n_unknown_replies: int = 0

    async def submit(self, request: Request, wait_s: float) -> Answer:
        """Return the answer to a request, or "accepted" after ``wait_s``."""
        if request.kind in LOGGED_KINDS:
            return await self._submit_logged(request, min(wait_s, MAX_WAIT_S))
        return await self._submit_check(request)

    async def submit_here(self, call: Any) -> Any:
        """Handle a request that another entry VM has forwarded."""
        driver = self.drivers.get(call.shard)
        if driver is None:
            return idl.Reply("not_leader", b"")
        request = Request.from_dict(orjson.loads(call.request))
        try:
            answer = await driver.submissions.submit(request, call.wait_s)
        except NotLeaderError:
            return idl.Reply("not_leader", b"")
        except BoundElsewhereError as exc:
            return idl.Reply("bound", exc.shard.encode())
        return idl.Reply("answer", orjson.dumps(answer.to_dict()))

    def leaders(self) -> dict[str, Member]:
        """Return the members that announce themselves as leaders, by shard."""
        found: dict[str, Member] = {}
        for member in self.membership.alive(time.monotonic()):
            for shard in member.shards:
                found.setdefault(shard, member)
        for shard, driver in self.drivers.items():
            if driver.serving:
                found[shard] = self.membership.me
        return found

    def dump(self) -> dict[str, Any]:
        """Return leaders, budgets, breakers and counters in JSON-ready form."""
        return {
            "leaders": {shard: member.vm for shard, member in self.leaders().items()},
            "n_reroutes": self.n_reroutes,
            "n_unknown_replies": self.n_unknown_replies,
            **self.limiter.dump(),
        }

    async def _submit_check(self, request: Request) -> Answer:
        now = self.clock.wall()
        deadline = Deadline(request.deadline).within(now, MAX_WAIT_S)
        backoff = self._make_backoff()
        attempts = Attempts()
        while True:
            answer = await self._try_shards(request, deadline, attempts)
            if answer is not None:
                return answer
            delay_s = backoff.next_delay()
            if not deadline.fits(self.clock.wall(), delay_s):
                break
            await curio.sleep(delay_s)
        if attempts.may_have_run:
            return _unknown(request)
        return attempts.last_refusal or not_run(
            request.request_id, Reason.UNAVAILABLE, "no shard could be reached"
        )

    async def _try_shards(
        self, request: Request, deadline: Deadline, attempts: Attempts
    ) -> Answer | None:
        """Send a check to the shards in turn until one answers."""
        n_overloaded = 0
        # Ranking by request id sends a repeat that came through another entry VM to
        # the same placer, whose answer cache avoids a second run.
        shards = list(rendezvous_order(request.request_id, self.leaders()))
        for shard in shards:
            left_s = deadline.remaining(self.clock.wall())
            if left_s <= 0:
                return None
            limit_s = min(CHECK_ATTEMPT_S, left_s + REPLY_MARGIN_S)
            answer = await self._attempt(
                shard, request, 0.0, request.run_time_s + limit_s, attempts
            )
            if answer is None:
                continue
            if answer.reason not in RETRYABLE_REASONS:
                return _unknown(request) if attempts.may_contradict(answer) else answer
            n_overloaded += answer.reason is Reason.OVERLOAD
        # An overload is reported at once: waiting here would only add to it.
        if shards and n_overloaded == len(shards) and not attempts.may_have_run:
            return attempts.last_refusal
        return None

    async def _submit_logged(self, request: Request, wait_s: float) -> Answer:
        started_at = self.clock.wall()
        retry_deadline = Deadline(started_at + max(wait_s, LOGGED_ATTEMPT_S))
        if request.deadline != float("inf"):
            request_deadline = Deadline(request.deadline).within(started_at, MAX_WAIT_S)
            retry_deadline = max(
                retry_deadline, request_deadline, key=lambda item: item.at
            )
        backoff = self._make_backoff()
        attempts = Attempts()
        claiming_shard = ""  # the shard that may have claimed the id
        while (left_s := retry_deadline.remaining(self.clock.wall())) > 0:
            entry = self.index.get(request.request_id)
            if entry is not None and entry.answer is not None:
                return Answer.from_dict(entry.answer)
            if entry is not None and self.clock.wall() - started_at >= wait_s:
                return Answer(request.request_id, AnswerState.ACCEPTED)
            shard = entry.shard if entry is not None else claiming_shard
            shard = shard or self._choose_shard(attempts.last_refusal)
            wait_left_s = max(0.0, wait_s - (self.clock.wall() - started_at))
            had_refusal = attempts.last_refusal is not None
            answer = None
            try:
                answer = await self._attempt(
                    shard, request, wait_left_s, left_s + LOGGED_ATTEMPT_S, attempts
                )
            except BoundElsewhereError as exc:
                claiming_shard = exc.shard
            # A repeat is idempotent at the shard that may have claimed the id, and
            # only there.
            if not claiming_shard and not may_retry(False, attempts.outcome):
                claiming_shard = shard
            if answer is not None and not attempts.may_contradict(answer):
                if answer.reason not in RETRYABLE_REASONS or claiming_shard:
                    return answer
                # "Unavailable" ends when a new leader holds its workers.
                if had_refusal and answer.reason is not Reason.UNAVAILABLE:
                    return answer
            await curio.sleep(backoff.next_delay())
        entry = self.index.get(request.request_id)
        if entry is not None:
            return Answer(request.request_id, AnswerState.ACCEPTED)
        if claiming_shard:
            return _unknown(request, f"{claiming_shard} is unresponsive")
        return attempts.last_refusal or not_run(
            request.request_id, Reason.UNAVAILABLE, "no shard could be reached"
        )

    def _make_backoff(self) -> Backoff:
        return make_backoff(self.rng, cap_s=BACKOFF_CAP_S)

    async def _attempt(
        self,
        shard: str,
        request: Request,
        wait_s: float,
        timeout_s: float,
        attempts: Attempts,
    ) -> Answer | None:
        """Call the leader of a shard once; return None if it gave no answer."""
        try:
            return await self._call_leader(shard, request, wait_s, timeout_s, attempts)
        except BoundElsewhereError:
            raise
        except AttemptDeniedError:
            return None
        except CuminhillError as exc:
            if call_outcome(exc) is CallOutcome.UNKNOWN:
                self.n_unknown_replies += 1
            else:
                self.n_reroutes += 1
            return None

    def _choose_shard(self, last_refusal: Answer | None) -> str:
        """Return a shard for a new request: local first, then by free cores."""
        leaders = self.leaders()
        own = [shard for shard in self.drivers if shard in leaders]
        if own and last_refusal is None:
            return own[0]
        others = sorted(
            (shard for shard in leaders if shard not in self.drivers),
            key=lambda shard: -leaders[shard].free_cores,
        )
        return (others or own or [""])[0]

    async def _call_leader(
        self,
        shard: str,
        request: Request,
        wait_s: float,
        timeout_s: float,
        attempts: Attempts,
    ) -> Answer:
        """Call the leader of a shard if the limiter permits it."""
        leaders = self.leaders()
        leader = leaders.get(shard)
        if leader is None:
            raise NotLeaderError("no leader is known", step="route", peer=shard)
        live = {_destination(name, member) for name, member in leaders.items()}
        destination = _destination(shard, leader)
        permit = self.limiter.begin_attempt(
            destination, attempts, live, time.monotonic()
        )
        try:
            if leader is self.membership.me:
                answer = await self.drivers[shard].submissions.submit(request, wait_s)
            else:
                answer = await self._call(leader, shard, request, wait_s, timeout_s)
        except (NotLeaderError, BoundElsewhereError):
            self.limiter.rejected(permit, time.monotonic())
            raise
        except CuminhillError as exc:
            outcome = call_outcome(exc)
            self.limiter.failed(permit, outcome, time.monotonic())
            if outcome is CallOutcome.UNKNOWN:
                attempts.add_unknown(destination)
            raise
        attempts.add_answer(answer, destination)
        self.limiter.answered(permit, answer, time.monotonic())
        return answer

    async def _call(
        self,
        leader: Member,
        shard: str,
        request: Request,
        wait_s: float,
        timeout_s: float,
    ) -> Answer:
        call = idl.SubmitCall(shard, orjson.dumps(request.to_dict()), wait_s)
        reply = await self.peers.client(leader.address).call(
            "submit", call, timeout_s=timeout_s
        )
        if reply.status == "bound":
            raise BoundElsewhereError(reply.value.decode())
        if reply.status != "answer":
            raise NotLeaderError("not leading", step="route", peer=leader.address)
        return Answer.from_dict(orjson.loads(reply.value))


def _destination(shard: str, leader: Member) -> str:
    return f"{shard}@{leader.vm}"


def _unknown(request: Request, detail: str = "") -> Answer:
    return Answer(request.request_id, AnswerState.UNKNOWN, detail=detail)


def make_router(
    drivers: dict[str, ShardDriver],
    membership: Membership,
    peers: Peers,
    index: RequestIndex,
    *,
    rng: random.Random | None = None,
    clock: Clock | None = None,
) -> Router:
    """Return a router over the given parts.

    Parameters
    ----------
    rng : random.Random or None
        Draws the jitter of delays; seeded with the incarnation by default.
    clock : Clock or None
        Wall clock for deadlines; the system's by default.
    """
    rng = rng or random.Random(membership.me.incarnation)
    return Router(drivers, membership, peers, index, rng, clock or SystemClock())
