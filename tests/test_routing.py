"""Routing with scripted leaders."""

from __future__ import annotations

import random
import time

import curio
import orjson
import pytest

from cuminhill.coordination.breaker import MAX_FAILURES
from cuminhill.coordination.claims import RequestIndex
from cuminhill.coordination.membership import Member, make_membership
from cuminhill.coordination.retry import MAX_TOKENS
from cuminhill.errors import ProtocolError, UnavailableError, UnknownOutcomeError
from cuminhill.model import (
    Answer,
    AnswerState,
    Reason,
    Request,
    RequestKind,
    Resources,
    not_run,
)
from cuminhill.routing import CHECK_ATTEMPT_S, REPLY_MARGIN_S, make_router
from cuminhill.rpc import idl

DONE = "done"
LOSS_DELAY_S = 0.02  # before a call fails, so that several are in flight
LOST = UnknownOutcomeError("time-out", step="submit", peer="b")


class _FakePeers:
    """Answers the calls to each address from a script; the last step repeats."""

    def __init__(self, scripts):
        self.scripts = scripts
        self.calls = []

    def client(self, address):
        return _FakeClient(self, address)

    def n_calls(self, address):
        return sum(call[0] == address for call in self.calls)


class _FakeClient:
    """Connection to one address of `_FakePeers`."""

    def __init__(self, peers, address):
        self.peers = peers
        self.address = address

    async def call(self, method, message, *, timeout_s):
        request_id = orjson.loads(message.request)["request_id"]
        self.peers.calls.append((self.address, request_id, timeout_s))
        script = self.peers.scripts[self.address]
        step = script.pop(0) if len(script) > 1 else script[0]
        if isinstance(step, Exception):
            await curio.sleep(LOSS_DELAY_S)
            raise step
        if step == "not_leader":
            return idl.Reply("not_leader", b"")
        answer = Answer(request_id, AnswerState.DONE)
        if isinstance(step, Reason):
            answer = not_run(request_id, step)
        return idl.Reply("answer", orjson.dumps(answer.to_dict()))


def scripted_router(scripts):
    """Return a router whose only leaders are the scripted ones."""
    membership = make_membership(Member("me", 1, 0, "me", "home"))
    now = time.monotonic() + 60.0  # no suspicion during the test
    for name in scripts:
        member = Member(name, 1, 1, name, f"domain-{name}", shards=(f"s-{name}",))
        membership.receive(member, now)
    peers = _FakePeers({name: list(script) for name, script in scripts.items()})
    router = make_router({}, membership, peers, RequestIndex(), rng=random.Random(1))
    return router, peers


def make_request(request_id="c", deadline_s=0.3, kind=RequestKind.CHECK):
    deadline = time.time() + deadline_s
    return Request(
        request_id, kind, "t", Resources(), deadline=deadline, run_time_s=0.05
    )


def submit(router, request):
    return curio.run(router.submit, request, 0.0)


@pytest.mark.parametrize("later", [Reason.DEADLINE, Reason.OVERLOAD, Reason.QUOTA])
@pytest.mark.parametrize("error", [LOST, ProtocolError("half-way", step="submit")])
def test_not_run_is_not_answered_after_an_unknown_attempt(later, error):
    """Guards against "not run" for a check that an earlier attempt has run."""
    router, _ = scripted_router({"b": [error, later]})
    assert submit(router, make_request()).state is AnswerState.UNKNOWN


def test_retries_are_bounded_by_the_budget():
    """Guards against a retry storm against a leader that loses every reply."""
    router, peers = scripted_router({"b": [LOST, LOST, DONE] * 40})
    router.limiter.breakers.get("s-b@b").max_failures = 10**6  # only the budget limits

    async def many():
        tasks = [
            await curio.spawn(router.submit, make_request(f"c{index}"), 0.0)
            for index in range(40)
        ]
        for task in tasks:
            await task.join()

    curio.run(many)
    budget = router.dump()["retry_budgets"]["s-b@b"]
    assert budget["n_denied"] > 0
    n_retries = peers.n_calls("b") - 40
    assert n_retries == budget["n_spent"] <= MAX_TOKENS + 0.1 * peers.n_calls("b")


def test_unresponsive_leader_gets_few_calls():
    """Guards against checks that each wait for the time-out of a paused leader."""
    router, peers = scripted_router({"b": [LOST], "c": [DONE]})
    answers = [submit(router, make_request(f"c{index}")) for index in range(60)]
    assert all(answer.state is AnswerState.DONE for answer in answers)
    assert peers.n_calls("b") == MAX_FAILURES
    assert router.dump()["breakers"]["s-b@b"]["state"] == "open"


def test_checks_of_a_replaced_leader_move_without_retry_tokens():
    """Guards against a failover whose checks wait for their deadline."""
    router, peers = scripted_router({"b": [LOST]})
    peers.scripts["c"] = [DONE]

    async def fail_over():
        tasks = [
            await curio.spawn(router.submit, make_request(f"c{index}", 5.0), 0.0)
            for index in range(40)
        ]
        await curio.sleep(3 * LOSS_DELAY_S)
        router.membership.set_leaving(["b"])
        successor = Member("c", 1, 1, "c", "domain-b", shards=("s-b",))
        router.membership.receive(successor, time.monotonic())
        return [await task.join() for task in tasks]

    answers = curio.run(fail_over)
    assert [answer.state for answer in answers] == [AnswerState.DONE] * 40
    assert peers.n_calls("c") == 40
    assert router.dump()["retry_budgets"]["s-b@c"]["n_denied"] == 0


def test_overload_everywhere_is_reported_at_once():
    """Guards against refused checks that wait and retry until their deadline."""
    router, peers = scripted_router({"b": [Reason.OVERLOAD], "c": [Reason.OVERLOAD]})
    answer = submit(router, make_request(deadline_s=30.0))
    assert answer.reason is Reason.OVERLOAD
    assert len(peers.calls) == 2


@pytest.mark.parametrize(
    "step",
    [Reason.UNAVAILABLE, "not_leader", UnavailableError("refused", step="connect")],
)
def test_polls_for_a_new_leader_cost_no_retry(step):
    """Guards against a failover that uses up the retries needed after it."""
    # Two refused connections stay below the number that opens the breaker.
    router, _ = scripted_router({"b": [LOST, step, step, DONE]})
    assert submit(router, make_request(deadline_s=20.0)).state is AnswerState.DONE
    budget = router.dump()["retry_budgets"]["s-b@b"]
    assert budget["n_spent"] == 1


def test_attempts_end_with_the_deadline():
    """Guards against calls that outlive the deadline of their request."""
    router, peers = scripted_router({"b": [Reason.UNAVAILABLE]})
    request = make_request(deadline_s=0.25)
    answer = submit(router, request)
    assert answer.reason is Reason.UNAVAILABLE
    for _, _, timeout_s in peers.calls:
        assert timeout_s <= request.run_time_s + 0.25 + REPLY_MARGIN_S
        assert timeout_s <= request.run_time_s + CHECK_ATTEMPT_S


def test_order_stays_with_the_shard_that_may_have_claimed_it():
    """Guards against a second claim of an order whose reply was lost."""
    router, peers = scripted_router({"b": [LOST, LOST, DONE], "c": [LOST, LOST, DONE]})
    order = make_request("o", deadline_s=5.0, kind=RequestKind.ORDER)
    assert submit(router, order).state is AnswerState.DONE
    assert len({address for address, _, _ in peers.calls}) == 1
    assert len(peers.calls) == 3


def test_order_that_may_be_claimed_is_not_reported_as_not_run(monkeypatch):
    """Guards against "not run" for an order whose claim reaches the log later."""
    monkeypatch.setattr("cuminhill.routing.LOGGED_ATTEMPT_S", 0.3)
    router, _ = scripted_router({"b": [LOST, Reason.OVERLOAD]})
    order = make_request("o", deadline_s=0.3, kind=RequestKind.ORDER)
    assert submit(router, order).state is AnswerState.UNKNOWN
