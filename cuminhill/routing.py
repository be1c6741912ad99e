"""Sends a request to the leader of a shard, here or on another entry VM."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import orjson

from .attempts import TRY_ELSEWHERE, Attempts, Gate, HeldBackError, call_outcome
from .clock import SystemClock
from .coordination.retry import CallOutcome, Deadline, make_backoff, may_retry
from .errors import BoundElsewhereError, CuminhillError, NotLeaderError
from .model import LOGGED_KINDS, Answer, AnswerState, Reason, Request, not_run
from .rpc import idl
from .util.hashing import rank

if TYPE_CHECKING:
    from .clock import Clock
    from .coordination.claims import RequestIndex
    from .coordination.membership import Member, Membership
    from .coordination.retry import Backoff
    from .peers import Peers
    from .shard import ShardDriver

CHECK_ATTEMPT_S = 0.6  # on top of the run time; leaves time for a second shard
LOGGED_ATTEMPT_S = 3.0
REPLY_MARGIN_S = 0.1  # time for the reply to a start right at the deadline
# A failover takes up to 1.3 s and urgent work is to start within 1.7 s.
BACKOFF_CAP_S = 0.1
MAX_WAIT_S = 60.0


@dataclass(eq=False)
class Router:
    """Finds the shard for a request and its leader.

    Parameters
    ----------
    drivers : dict of str to ShardDriver
        Shards of the own failure domain.
    membership : Membership
        Tells who leads which shard.
    peers : Peers
        Connections to other entry VMs.
    index : RequestIndex
        Tells to which shard an id is bound.
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
    gate: Gate = field(default_factory=Gate)
    n_reroutes: int = 0
    n_unknown_replies: int = 0

    async def submit(self, request: Request, wait_s: float) -> Answer:
        """Return the answer to a request, or accepted once ``wait_s`` is over."""
        if request.kind in LOGGED_KINDS:
            return await self._submit_logged(request, min(wait_s, MAX_WAIT_S))
        return await self._submit_check(request)

    async def submit_here(self, call: Any) -> Any:
        """Handle a request that another entry VM sent."""
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
        """Return the members that say they lead, by shard."""
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
            **self.gate.dump(),
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
        return attempts.refused or not_run(
            request.request_id, Reason.UNAVAILABLE, "no shard could be reached"
        )

    async def _try_shards(
        self, request: Request, deadline: Deadline, attempts: Attempts
    ) -> Answer | None:
        """Send a check to one shard after the other until one answers."""
        n_overloaded = 0
        # Ranking by id brings a repeat through another entry VM to the same
        # placer, whose answer cache spares a second run.
        shards = list(rank(request.request_id, self.leaders()))
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
            if answer.reason not in TRY_ELSEWHERE:
                return _unknown(request) if attempts.doubts(answer) else answer
            n_overloaded += answer.reason is Reason.OVERLOAD
        # An overload is told at once: waiting here would only add to it.
        if shards and n_overloaded == len(shards) and not attempts.may_have_run:
            return attempts.refused
        return None

    async def _submit_logged(self, request: Request, wait_s: float) -> Answer:
        started_at = self.clock.wall()
        give_up = Deadline(started_at + max(wait_s, LOGGED_ATTEMPT_S))
        if request.deadline != float("inf"):
            longest = Deadline(request.deadline).within(started_at, MAX_WAIT_S)
            give_up = max(give_up, longest, key=lambda item: item.at)
        backoff = self._make_backoff()
        attempts = Attempts()
        sent_to = ""  # a shard that may have claimed the id
        while (left_s := give_up.remaining(self.clock.wall())) > 0:
            entry = self.index.get(request.request_id)
            if entry is not None and entry.answer is not None:
                return Answer.from_dict(entry.answer)
            if entry is not None and self.clock.wall() - started_at >= wait_s:
                return Answer(request.request_id, AnswerState.ACCEPTED)
            shard = entry.shard if entry is not None else sent_to
            shard = shard or self._choose_shard(attempts.refused)
            wait_left_s = max(0.0, wait_s - (self.clock.wall() - started_at))
            had_refusal = attempts.refused is not None
            answer = None
            try:
                answer = await self._attempt(
                    shard, request, wait_left_s, left_s + LOGGED_ATTEMPT_S, attempts
                )
            except BoundElsewhereError as exc:
                sent_to = exc.shard
            # At the shard that may have claimed the id a repeat is idempotent,
            # at any other it is not.
            if not sent_to and not may_retry(False, attempts.outcome):
                sent_to = shard
            if answer is not None and not attempts.doubts(answer):
                if answer.reason not in TRY_ELSEWHERE or sent_to:
                    return answer
                # Unavailable passes when a new leader has heard its workers.
                if had_refusal and answer.reason is not Reason.UNAVAILABLE:
                    return answer
            await curio.sleep(backoff.next_delay())
        entry = self.index.get(request.request_id)
        if entry is not None:
            return Answer(request.request_id, AnswerState.ACCEPTED)
        if sent_to:
            return _unknown(request, f"{sent_to} is silent")
        return attempts.refused or not_run(
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
        """Call the leader of a shard once; None if it gave no answer."""
        try:
            return await self._call_leader(shard, request, wait_s, timeout_s, attempts)
        except BoundElsewhereError:
            raise
        except HeldBackError:
            return None
        except CuminhillError as exc:
            if call_outcome(exc) is CallOutcome.UNKNOWN:
                self.n_unknown_replies += 1
            else:
                self.n_reroutes += 1
            return None

    def _choose_shard(self, refused: Answer | None) -> str:
        """Return a shard for a new request: own failure domain, then freest."""
        leaders = self.leaders()
        own = [shard for shard in self.drivers if shard in leaders]
        if own and refused is None:
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
        """Call a leader if breaker and budget allow."""
        leaders = self.leaders()
        leader = leaders.get(shard)
        if leader is None:
            raise NotLeaderError("no leader is known", step="route", peer=shard)
        live = {_destination(name, member) for name, member in leaders.items()}
        destination = _destination(shard, leader)
        passage = self.gate.enter(destination, attempts, live, time.monotonic())
        try:
            if leader is self.membership.me:
                answer = await self.drivers[shard].submissions.submit(request, wait_s)
            else:
                answer = await self._call(leader, shard, request, wait_s, timeout_s)
        except (NotLeaderError, BoundElsewhereError):
            self.gate.turned_away(passage, time.monotonic())
            raise
        except CuminhillError as exc:
            outcome = call_outcome(exc)
            self.gate.failed(passage, outcome, time.monotonic())
            if outcome is CallOutcome.UNKNOWN:
                attempts.take_unknown(destination)
            raise
        attempts.take_answer(answer, destination)
        self.gate.answered(passage, answer, time.monotonic())
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
