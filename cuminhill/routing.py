"""Sends a request to the leader of a shard, here or on another entry VM."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import orjson

from .clock import SystemClock
from .errors import CuminhillError, UnknownOutcomeError
from .model import LOGGED_KINDS, Answer, AnswerState, Reason, Request, not_run
from .rpc import idl
from .shard import BoundElsewhereError, NotLeaderError
from .util.hashing import rank

if TYPE_CHECKING:
    from .clock import Clock
    from .coordination.claims import RequestIndex
    from .coordination.membership import Member, Membership
    from .peers import Peers
    from .shard import ShardDriver

CHECK_ATTEMPT_S = 0.6  # on top of the run time; leaves time for a second shard
LOGGED_ATTEMPT_S = 3.0
RETRY_DELAY_S = 0.05
MAX_WAIT_S = 60.0
TRY_ELSEWHERE = frozenset({Reason.OVERLOAD, Reason.UNAVAILABLE, Reason.DRAINING})


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
    clock : Clock
        Wall clock for deadlines.
    """

    drivers: dict[str, ShardDriver]
    membership: Membership
    peers: Peers
    index: RequestIndex
    clock: Clock = field(default_factory=SystemClock)
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
            answer = await driver.submit(request, call.wait_s)
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
            if driver.leading:
                found[shard] = self.membership.me
        return found

    async def _submit_check(self, request: Request) -> Answer:
        give_up_at = min(request.deadline, self.clock.wall() + MAX_WAIT_S)
        refused: Answer | None = None
        may_have_run = False
        while True:
            # Ranking by id brings a repeat through another entry VM to the same
            # placer, whose answer cache spares a second run.
            for shard in rank(request.request_id, self.leaders()):
                try:
                    answer = await self._call(
                        shard, request, 0.0, request.run_time_s + CHECK_ATTEMPT_S
                    )
                except UnknownOutcomeError:
                    may_have_run = True
                    self.n_unknown_replies += 1
                    continue
                except CuminhillError:
                    self.n_reroutes += 1
                    continue
                if answer.reason not in TRY_ELSEWHERE:
                    return answer
                refused = answer
            if self.clock.wall() + RETRY_DELAY_S >= give_up_at:
                break
            await curio.sleep(RETRY_DELAY_S)
        if may_have_run:
            return Answer(request.request_id, AnswerState.UNKNOWN)
        return refused or not_run(
            request.request_id, Reason.UNAVAILABLE, "no shard could be reached"
        )

    async def _submit_logged(self, request: Request, wait_s: float) -> Answer:
        started_at = self.clock.wall()
        give_up_at = _give_up_at(request, wait_s, started_at)
        sent_to = ""  # a shard that may have claimed the id
        refused: Answer | None = None
        while self.clock.wall() < give_up_at:
            entry = self.index.get(request.request_id)
            if entry is not None and entry.answer is not None:
                return Answer.from_dict(entry.answer)
            if entry is not None and self.clock.wall() - started_at >= wait_s:
                return Answer(request.request_id, AnswerState.ACCEPTED)
            shard = entry.shard if entry is not None else sent_to
            shard = shard or self._choose_shard(refused)
            left_s = max(0.0, wait_s - (self.clock.wall() - started_at))
            try:
                answer = await self._call(
                    shard,
                    request,
                    left_s,
                    give_up_at - self.clock.wall() + LOGGED_ATTEMPT_S,
                )
            except UnknownOutcomeError:
                sent_to = shard
                self.n_unknown_replies += 1
            except BoundElsewhereError as exc:
                sent_to = exc.shard
            except CuminhillError:
                self.n_reroutes += 1
            else:
                if answer.state is not AnswerState.NOT_RUN:
                    return answer
                # A refusal says nothing of an earlier attempt that may have
                # claimed the id; the own index will tell.
                if not sent_to and _is_last_word(answer, refused):
                    return answer
                refused = refused if sent_to else answer
            await curio.sleep(RETRY_DELAY_S)
        entry = self.index.get(request.request_id)
        if entry is not None:
            return Answer(request.request_id, AnswerState.ACCEPTED)
        if sent_to:
            return Answer(
                request.request_id, AnswerState.UNKNOWN, detail=f"{sent_to} is silent"
            )
        return refused or not_run(
            request.request_id, Reason.UNAVAILABLE, "no shard could be reached"
        )

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

    async def _call(
        self, shard: str, request: Request, wait_s: float, timeout_s: float
    ) -> Answer:
        leader = self.leaders().get(shard)
        if leader is None:
            raise NotLeaderError("no leader is known", step="route", peer=shard)
        if leader is self.membership.me:
            return await self.drivers[shard].submit(request, wait_s)
        call = idl.SubmitCall(shard, orjson.dumps(request.to_dict()), wait_s)
        reply = await self.peers.client(leader.address).call(
            "submit", call, timeout_s=timeout_s
        )
        if reply.status == "bound":
            raise BoundElsewhereError(reply.value.decode())
        if reply.status != "answer":
            raise NotLeaderError("not leading", step="route", peer=leader.address)
        return Answer.from_dict(orjson.loads(reply.value))


def _give_up_at(request: Request, wait_s: float, now: float) -> float:
    """Return until when, in wall-clock seconds, a logged request is tried."""
    at_least = now + max(wait_s, LOGGED_ATTEMPT_S)
    if request.deadline == float("inf"):
        return at_least
    return max(at_least, min(request.deadline, now + MAX_WAIT_S))


def _is_last_word(answer: Answer, refused: Answer | None) -> bool:
    """Return whether a refusal is passed on instead of trying elsewhere."""
    if answer.reason not in TRY_ELSEWHERE:
        return True
    # Unavailable passes when a new leader has heard its workers.
    return refused is not None and answer.reason is not Reason.UNAVAILABLE


def make_router(
    drivers: dict[str, ShardDriver],
    membership: Membership,
    peers: Peers,
    index: RequestIndex,
    clock: Clock,
) -> Router:
    """Return a router over the given parts."""
    return Router(drivers, membership, peers, index, clock)
