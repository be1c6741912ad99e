"""Tests of the queue of calls to the advice service, which serves a VM's in turn."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Any

import curio
import pytest

from cuminhill.clock import boottime
from cuminhill.errors import (
    OverloadedError,
    ProtocolError,
    UnavailableError,
    UnknownOutcomeError,
)
from cuminhill.jobs.advice import (
    EXCLUDE_S,
    MAX_ADVISER_QUEUE_S,
    Adviser,
    make_advice_call,
)
from cuminhill.jobs.advicequeue import SERVICE_SLACK_S
from cuminhill.jobs.jobindex import JobIndex
from cuminhill.jobs.journal import LogWriter
from cuminhill.jobs.leadership import Leadership
from cuminhill.jobs.model import AdviceTerms
from cuminhill.jobs.nodemetrics import make_node_metrics
from cuminhill.jobs.peers import JobPeers
from cuminhill.jobs.placer import Placer
from cuminhill.jobs.records import LeaderRecord, Member
from cuminhill.rpc import RpcServer, idl
from standins.job_platform import LogView, MemoryLog

WORKERS = {"w1": 1, "w2": 1}
COST_S = 0.2
TERMS = AdviceTerms(decide_s=COST_S, per_worker_s=0.0, valid_s=2.5)
SHORT_TERMS = AdviceTerms(decide_s=0.02, per_worker_s=0.0, valid_s=2.5)
LONG_TERMS = AdviceTerms(decide_s=0.6, per_worker_s=0.0, valid_s=2.5)


@dataclass(eq=False)
class SerialService:
    """Advice service as one VM sees it: calls in turn, also if their caller gave up."""

    costs: dict[str, float] = field(default_factory=dict)
    served: list[str] = field(default_factory=list)
    error: Exception | None = None
    _lock: Any = field(default_factory=curio.Lock)

    async def ask(self, step, workers, timeout_s):
        """Return a ticket for each worker."""
        if self.error is not None:
            raise self.error
        answered = curio.Event()
        await curio.spawn(self._serve, step, answered, daemon=True)
        try:
            async with curio.timeout_after(timeout_s):
                await answered.wait()
        except curio.TaskTimeout:
            raise UnknownOutcomeError("time-out", step="http") from None
        return [(worker, f"{step}-{worker}") for worker in workers]

    async def _serve(self, step, answered):
        async with self._lock:
            await curio.sleep(self.costs.get(step, COST_S))
        self.served.append(step)
        await answered.set()


def make_peers(service, vm="a"):
    writer = LogWriter(LogView(MemoryLog()), vm, 1)
    return JobPeers(
        vm, service, writer, random.Random(1), lambda _: True, lambda _: None
    )


def make_call(step, terms=TERMS, term=0):
    return replace(make_advice_call(step, WORKERS, terms), term=term)


async def give_up(peers, call, wait_s):
    """Ask for advice; return the error, None after an answer."""
    try:
        await peers.ask_advice(peers.vm, call, wait_s)
    except (UnavailableError, UnknownOutcomeError) as exc:
        return exc
    return None


# Guards against calls that time out in a chain: the service worked on three calls whose
# callers had given up, and the calls behind them timed out as well.
def test_calls_that_were_given_up_are_not_sent_to_the_service():
    async def main():
        service = SerialService()
        peers = make_peers(service)
        tasks = [
            await curio.spawn(give_up, peers, make_call(f"old{number}"), COST_S * 1.2)
            for number in range(4)
        ]
        for task in tasks:
            await task.join()
        await peers.ask_advice("a", make_call("new"), COST_S * 2)
        assert service.served[-1] == "new"
        assert len(service.served) <= 2

    curio.run(main)


# Guards against a call that takes the service's time although it would be too late, and
# against a caller that waits for it in vain.
def test_a_call_that_cannot_be_answered_in_time_is_refused_at_once():
    async def main():
        service = SerialService()
        peers = make_peers(service)
        first = await curio.spawn(peers.ask_advice, "a", make_call("first"), 1.0)
        await curio.sleep(0.01)
        with pytest.raises(OverloadedError) as info:
            await peers.ask_advice("a", make_call("second"), COST_S * 1.5)
        assert service.served == []  # refused before the first one was answered
        assert 0 < info.value.backlog_s <= COST_S
        await first.join()
        assert service.served == ["first"]
        assert peers.advice_queue.backlog_s() == 0

    curio.run(main)


# Guards against checks that wait behind more than one call for advice on long work.
def test_a_short_call_waits_for_no_more_than_the_call_under_way():
    async def main():
        service = SerialService({"short": 0.02})
        peers = make_peers(service)
        for number in range(3):
            call = make_call(f"long{number}", replace(TERMS, decide_s=COST_S + 0.01))
            await curio.spawn(peers.ask_advice, "a", call, 2.0, daemon=True)
        await curio.sleep(0.01)
        await peers.ask_advice("a", make_call("short", SHORT_TERMS), 2.0)
        assert service.served == ["long0", "short"]

    curio.run(main)


# Guards against a new placer that waits for the calls of its predecessor.
def test_waiting_calls_of_an_earlier_term_are_dropped():
    async def main():
        service = SerialService()
        peers = make_peers(service)
        earlier = [
            await curio.spawn(give_up, peers, make_call(f"old{number}", term=3), 2.0)
            for number in range(3)
        ]
        await curio.sleep(0.01)
        await peers.ask_advice("a", make_call("new", term=4), COST_S * 2.5)
        assert service.served == ["old0", "new"]
        errors = [await task.join() for task in earlier]
        assert errors[0] is None
        assert all(isinstance(item, OverloadedError) for item in errors[1:])

    curio.run(main)


# Guards against a failure of the service that stops the calls behind it for good.
@pytest.mark.parametrize(
    "error",
    [
        UnavailableError("no", step="connect"),
        ProtocolError("odd", step="advise"),
        ValueError(),
        curio.TaskTimeout(0.0),
    ],
)
def test_calls_are_served_after_one_that_failed(error):
    async def main():
        service = SerialService(error=error)
        peers = make_peers(service)
        with pytest.raises((UnavailableError, UnknownOutcomeError, ProtocolError)):
            await peers.ask_advice("a", make_call("first"), 1.0)
        service.error = None
        await peers.ask_advice("a", make_call("second"), 1.0)

    curio.run(main)


# Guards against a VM that stays in use although the service does not answer it: the
# calls behind the one under way were refused as if its queue were long.
def test_calls_behind_one_that_is_not_answered_are_no_sign_of_a_long_queue():
    async def main():
        service = SerialService({"first": 10.0, "second": 0.01})
        peers = make_peers(service)
        tasks = [
            await curio.spawn(give_up, peers, make_call(step), wait_s)
            for step, wait_s in (("first", 0.6), ("second", 0.7))
        ]
        errors = [await task.join() for task in tasks]
        assert isinstance(errors[0], UnknownOutcomeError)
        assert isinstance(errors[1], UnavailableError)
        assert not isinstance(errors[1], OverloadedError)
        # The first is given up, so that later ones are tried.
        await curio.sleep(COST_S + SERVICE_SLACK_S - 0.7)
        service._lock = curio.Lock()
        await peers.ask_advice("a", make_call("second"), 0.5)

    curio.run(main)


# Guards against a queue that outlives a call of which the caller's connection ended.
def test_a_cancelled_call_leaves_the_queue():
    async def main():
        service = SerialService()
        peers = make_peers(service)
        first = await curio.spawn(peers.ask_advice, "a", make_call("first"), 1.0)
        second = await curio.spawn(peers.ask_advice, "a", make_call("second"), 1.0)
        await curio.sleep(0.01)
        await second.cancel()
        await first.join()
        await peers.ask_advice("a", make_call("third"), 1.0)
        assert service.served == ["first", "third"]

    curio.run(main)


@dataclass(eq=False)
class Server:
    """VM that serves calls over TCP, and a caller that knows it."""

    service: SerialService = field(default_factory=SerialService)
    caller: JobPeers = field(default_factory=lambda: make_peers(SerialService()))
    rpc: Any = None

    async def start(self, handlers=None):
        """Serve calls."""
        self.rpc = RpcServer(handlers or make_peers(self.service, "b").handlers())
        await self.rpc.start("127.0.0.1", 0)
        self.caller.members = {"b": Member(f"127.0.0.1:{self.rpc.port}")}
        return self.caller


# Guards against a placer that learns neither of the wait nor of the backlog of a VM.
def test_another_vm_tells_its_wait_and_its_backlog():
    async def main():
        server = Server()
        caller = await server.start()
        first = await curio.spawn(caller.ask_advice, "b", make_call("first"), 1.0)
        await curio.sleep(0.05)
        with pytest.raises(OverloadedError) as info:
            await caller.ask_advice("b", make_call("late"), COST_S * 1.1)
        assert 0 < info.value.backlog_s < COST_S
        answer = await caller.ask_advice("b", make_call("second"), 1.0)
        assert (await first.join()).waited_s < answer.waited_s
        assert answer.backlog_s == 0
        assert dict(answer.tickets)["w1"] == "second-w1"
        await server.rpc.close()

    curio.run(main)


# Guards against a roll-out in which builds do not understand each other's calls for
# advice: earlier ones tell neither costs nor terms, nor waits nor backlogs.
def test_calls_from_and_to_an_earlier_build_are_answered():
    async def advise(call):
        return idl.Reply("ok", b'[["w1","t"]]')

    async def main():
        server = Server()
        caller = await server.start()
        client = caller._client("b")
        message = idl.AdviseCall("step", ["w1"], 1.0)
        reply = await client.call("advise", message, timeout_s=1.0)
        assert (reply.status, reply.value) == ("ok", b'[["w1","step-w1"]]')
        await server.rpc.close()

        server = Server()
        caller = await server.start({"advise": advise})
        answer = await caller.ask_advice("b", make_call("step", term=3), 1.0)
        assert answer.tickets == [("w1", "t")]
        assert answer.waited_s < 0 and answer.backlog_s < 0
        await server.rpc.close()

    curio.run(main)


# Guards against numbers of another VM that make its queue look empty or endless.
@pytest.mark.parametrize("odd", [float("nan"), float("inf"), -5.0, 1e300])
def test_odd_backlogs_of_another_vm_are_ignored(odd):
    status = "ok"

    async def advise(call):
        return idl.Reply(status, b"[]", odd, odd)

    async def main():
        nonlocal status
        server = Server()
        caller = await server.start({"advise": advise})
        answer = await caller.ask_advice("b", make_call("step"), 1.0)
        assert answer == ([], -1.0, -1.0)
        status = "busy"
        with pytest.raises(OverloadedError) as info:
            await caller.ask_advice("b", make_call("step"), 1.0)
        assert info.value.backlog_s == 0
        await server.rpc.close()

    curio.run(main)


# Placers


def make_leadership(term, ask_advice, vms):
    leadership = Leadership(
        LeaderRecord(term, "a", "n"),
        Placer(term, boottime()),
        LogWriter(LogView(MemoryLog()), "placer", term),
        None,
        JobIndex(),
        ask_advice,
        "127.0.0.1:1",
        None,
        None,
        120.0,
        make_node_metrics(),
        confirmed_at=boottime(),
    )
    leadership.set_members(vms)
    return leadership


async def ask_for_all(leadership, steps, for_s):
    """Have a placer ask for advice on some steps until it has it for all."""
    begun_at = boottime()
    while boottime() - begun_at < for_s:
        now = boottime()
        missing = [
            advice
            for advice in map(leadership.placer.advice.for_step, steps)
            if not advice.has_valid_ticket(now)
        ]
        if not missing:
            break
        for step in steps:
            advice = leadership.placer.advice.for_step(step)
            if advice.calling or now < advice.retry_at or advice.has_valid_ticket(now):
                continue
            await leadership._schedule_advice(make_call(step, LONG_TERMS), now)
        await curio.sleep(0.02)
    return boottime() - begun_at


# Guards against a new term whose calls for advice time out through one VM after the
# other, since its predecessor's calls are still being served there.
def test_a_new_term_gets_advice_in_spite_of_its_predecessors_calls():
    vms = [f"vm{number}" for number in range(9)]
    failures = []

    async def main():
        peers = {vm: make_peers(SerialService({}), vm) for vm in vms}
        for item in peers.values():
            item.advice.costs = {
                f"{name}{number}": LONG_TERMS.decide_s
                for name in ("old", "new")
                for number in range(12)
            }

        async def ask(vm, call, wait_s):
            try:
                return await peers[vm].ask_advice(vm, call, wait_s)
            except UnknownOutcomeError as exc:
                failures.append((vm, call.step, str(exc)))
                raise

        earlier = make_leadership(1, ask, vms)
        old = [f"old{number}" for number in range(12)]
        await ask_for_all(earlier, old, 0.1)
        later = make_leadership(2, ask, vms)
        new = [f"new{number}" for number in range(6)]
        await ask_for_all(later, new, 8.0)
        assert not [item for item in failures if item[1] in new]
        # Each waits for no more than the call under way.
        served = [item.advice.served for item in peers.values()]
        waited = {name: row.index(name) for row in served for name in row}
        assert all(waited[name] <= 1 for name in new)

    curio.run(main)


# Guards against a service that takes longer than it states, as on a busy machine: each
# call timed out shortly before its answer, and was repeated through the next VM.
def test_a_service_that_is_slower_than_stated_is_waited_for():
    vms = [f"vm{number}" for number in range(3)]
    n_failures = []

    async def main():
        peers = {vm: make_peers(SerialService({}), vm) for vm in vms}
        steps = [f"s{number}" for number in range(6)]
        for item in peers.values():
            slow_s = 2.2 * LONG_TERMS.decide_s
            item.advice.costs = dict.fromkeys([*steps, "more"], slow_s)

        async def ask(vm, call, wait_s):
            try:
                return await peers[vm].ask_advice(vm, call, wait_s)
            except UnknownOutcomeError:
                n_failures.append(call.step)
                raise

        leadership = make_leadership(1, ask, vms)
        for step in steps[:2]:
            await ask_for_all(leadership, [step], 8.0)
        assert n_failures == []
        assert leadership.advice_pace > 1.5
        await ask_for_all(leadership, steps[2:], 8.0)
        assert n_failures == []
        # It is not believed to be slow for ever.
        for item in peers.values():
            item.advice.costs = dict.fromkeys(["more", *steps], 0.1)
        for _ in range(4):
            leadership.placer.advice.steps.clear()
            await ask_for_all(leadership, ["more"], 8.0)
        assert leadership.advice_pace == 1.0

    curio.run(main)


def fail(error):
    async def ask(vm, call, wait_s):
        raise error

    return ask


# Guards against one remedy for all causes: a VM with a long queue was treated as one
# that is cut off, and not asked for up to 4 s.
@pytest.mark.parametrize(
    ("error", "excluded", "busy_s", "cause"),
    [
        (OverloadedError("b", step="advise", backlog_s=0.4), False, 0.4, "refused"),
        (UnavailableError("no answer", step="ping"), True, 0.0, "unreachable"),
        (UnknownOutcomeError("time-out", step="http"), True, COST_S, "unanswered"),
    ],
    ids=["long queue", "cut off", "time-out"],
)
def test_a_failed_call_is_recorded_by_its_cause(error, excluded, busy_s, cause):
    async def main():
        leadership = make_leadership(1, fail(error), ["a"])
        now = boottime()
        await leadership._schedule_advice(make_call("step"), now)
        await curio.sleep(0.02)
        adviser = leadership.advisers["a"]
        assert (adviser.excluded_until > now) == excluded
        assert now + busy_s <= adviser.busy_until <= boottime() + busy_s
        assert adviser.n_calls == 0
        assert leadership.placer.counts[f"advice_{cause}"] == 1
        assert not leadership.placer.advice.for_step("step").calling

    curio.run(main)


# Guards against a VM that looks idle while the service works on calls through it.
def test_a_failure_does_not_make_a_vm_look_idle():
    adviser = Adviser("a", busy_until=10.0 + MAX_ADVISER_QUEUE_S, n_calls=2)
    adviser.record_failure(10.0)
    assert adviser.busy_until == 10.0 + MAX_ADVISER_QUEUE_S
    assert adviser.excluded_until == 10.0 + EXCLUDE_S


# Guards against a VM that looks busy for longer than it is, and against one that looks
# idle while a call to it is on its way.
def test_a_backlog_that_a_vm_tells_replaces_the_expected_one():
    adviser = Adviser("a", busy_until=12.0, n_calls=2)
    adviser.record_answer(10.0, backlog_s=0.3)
    assert adviser.busy_until == 12.0
    adviser.record_answer(10.1, backlog_s=0.3)
    assert adviser.busy_until == pytest.approx(10.4)


# Guards against pings of a term that go on after its end, and against a placer that
# calls a VM which has left, or forgets what it knows of those that stay.
def test_pings_end_with_the_term():
    begun, ended = [], []

    async def ping(vm):
        begun.append(vm)
        try:
            await curio.sleep(60.0)
        finally:
            ended.append(vm)

    async def main():
        leadership = make_leadership(1, fail(None), ["a", "b", "c"])
        leadership.ping = ping
        task = await curio.spawn(leadership._ping_advisers)
        leadership._tasks.append(task)
        while len(begun) < 2:
            await curio.sleep(0.01)
        await leadership.end()
        await curio.sleep(0.1)
        assert sorted(begun) == ["b", "c"]  # its own VM needs none
        assert sorted(ended) == ["b", "c"]
        assert task.terminated

    curio.run(main)


def test_vms_that_leave_take_no_calls():
    leadership = make_leadership(1, fail(None), ["a", "b", "c"])
    kept = leadership.advisers["c"]
    leadership.set_members(["c", "d"])
    assert list(leadership.advisers) == ["c", "d"]
    assert leadership.advisers["c"] is kept
    left = leadership.advisers["d"]
    leadership.set_members(["c"])
    leadership.set_members(["c", "d"])
    assert leadership.advisers["d"] is not left


# Guards against calls that are only made at the next tick of the placer, after the only
# VM that it can ask has come back.
def test_a_vm_that_is_back_wakes_the_placer():
    async def ping(vm):
        pass

    async def main():
        leadership = make_leadership(1, fail(None), ["b"])
        adviser = leadership.advisers["b"]
        adviser.record_failure(boottime(), unsent_s=0.1)
        await leadership._ping(ping, adviser)
        assert leadership._wake.is_set()
        assert adviser.takes_calls(boottime())

    curio.run(main)
