"""State machine: a placer against a simulation with faults."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from cuminhill.scheduling import (
    capacity,
    dispatch,
    policies,
    queueing,
    reconcile,
    shardstate,
    state,
)
from cuminhill.scheduling.events import Tick

from .simulation import Simulation

SETTINGS = settings(
    max_examples=400,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
# Hypothesis draws constants from all imported modules, so the examples differ between
# a run of this file and one of the whole suite. A mutant is detected after 120 examples
# on average, after at most 312 in 12 seeds; the search ends there.
MUTANT_SETTINGS = settings(SETTINGS, max_examples=4000)
PICK = st.integers(0, 1 << 16)
KINDS = ["check", "order", "batch", "batch", "gang", "service"]


class NoTargetError(Exception):
    """A step has nothing to act on."""


def pick_from(items, pick):
    items = list(items)
    if not items:
        raise NoTargetError
    return items[pick % len(items)]


def submit(sim, kind, cores, n_tasks, deadline):
    deadline_s = [None, None, 3.0][deadline % 3]
    kind = KINDS[kind % len(KINDS)]
    sim.submit(kind, cores % 4 + 1, n_tasks % 4 + 1, deadline_s)


def start(sim, pick, outcome, *_):
    outcomes = ["reply", "reply", "reply", "late", "lost", "slow"]
    sim.start(pick_from(sim.calls, pick), pick_from(outcomes, outcome))


def reply_late(sim, pick, keep, *_):
    reply = pick_from(sim.replies, pick)
    if keep % 2:
        sim.replies.remove(reply)
    sim.send(reply)


def record(sim, pick, repeat, *_):
    entry = pick_from(sim.records, pick)
    sim.record(entry)
    if repeat % 2:
        sim.record(entry, repeat=True)


def old_report(sim, pick, repeat, *_):
    event = pick_from(sim.old_reports, pick)
    if repeat % 2:
        sim.old_reports.remove(event)
    sim.send(event)


def lapse(sim, pick, stopped, *_):
    worker = pick_from(sim.workers.values(), pick)
    sim.lapse(worker)
    if stopped % 2:
        sim.stop_tasks(worker)


def end_task(sim, pick, which, ok, notify):
    worker = pick_from([w for w in sim.workers.values() if w.running], pick)
    task_id = pick_from(worker.running, which)
    sim.end_task(worker, task_id, ok % 2 == 0, notify % 2 == 0)


def on_one(items, method, **fields):
    """Return a step that calls a method of the simulation with one of its items."""

    def step(sim, pick, *_):
        getattr(sim, method)(pick_from(items(sim), pick), **fields)

    return step


def workers(sim):
    return sim.workers.values()


# Steps and their weights; a step with nothing to act on is skipped.
STEPS = [
    (submit, 8),
    (start, 10),
    (reply_late, 3),
    (record, 6),
    (old_report, 1),
    (lapse, 1),
    (end_task, 6),
    (on_one(lambda sim: sim.late_calls, "arrive_late"), 3),
    (on_one(lambda sim: sim.controls, "control"), 3),
    (on_one(lambda sim: sim.controls, "control", lost=True), 1),
    (on_one(lambda sim: sim.endings, "end_request"), 4),
    (on_one(lambda sim: sim.requests, "cancel"), 1),
    (on_one(workers, "report"), 6),
    (on_one(workers, "report", fence=False), 2),
    (on_one(workers, "delay_report"), 1),
    (on_one(workers, "restart"), 1),
    (lambda sim, pick, *_: sim.send(Tick(), [0.1, 0.1, 2.0][pick % 3]), 4),
]
WEIGHTED = [step for step, weight in STEPS for _ in range(weight)]


class PlacerMachine(RuleBasedStateMachine):
    """Adversarial events in any order."""

    def __init__(self):
        super().__init__()
        self.sim = Simulation()

    @rule(numbers=st.lists(st.tuples(PICK, PICK, PICK, PICK, PICK), max_size=8))
    def act(self, numbers):
        for which, *arguments in numbers:
            with contextlib.suppress(NoTargetError):
                pick_from(WEIGHTED, which)(self.sim, *arguments)
            assert self.sim.violations == []

    @rule(chance=st.integers(0, 7))
    def fail_over(self, chance):
        if chance == 0:
            self.sim.fail_over()

    def teardown(self):
        self.sim.settle()
        assert self.sim.violations == []


def test_promises_hold_under_faults():
    """Guards against overcommitment, double runs, lost answers and partial gangs."""
    run_state_machine_as_test(PlacerMachine, settings=SETTINGS)


def place_some(shard, state, now):
    """Place tasks of a gang until one does not fit."""
    for task in list(state.ready):
        policy = policies.policy_for(state.kind)
        worker = policies.choose(policy, task, shard.free_capacity, policies.Weights())
        if worker is None:
            break
        shard.remove_ready(state, task)
        dispatch.start_on(shard, task, worker, now)
    shard.queue.discard(state)
    return 1


def never(*args, **kwargs):
    return None


def always(*args, **kwargs):
    return True


MUTANTS = {
    "room is free while a start is unconfirmed": (
        state.WorkerState,
        "proves_gone",
        always,
    ),
    "results are taken again": (state.WorkerState, "record_result", always),
    "every worker fits": (
        capacity.CapacityIndex,
        "fitting",
        lambda self, need, *, tight, limit=12, excluded=(): list(self._free)[:limit],
    ),
    "stops are not repeated": (reconcile, "repeat_stop", never),
    "unknown outcomes are retried": (
        shardstate.ShardState,
        "end_with_unknown_outcome",
        lambda self, task, now: self.requeue(task, now),
    ),
    "gangs are placed in part": (dispatch, "place_gang", place_some),
    "blocked requests are not woken": (queueing.Queue, "wake", never),
    "delayed tasks are forgotten": (shardstate.ShardState, "_make_ready", never),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_checks_catch(name, monkeypatch):
    """Guards against checks that pass for any behaviour of the placer."""
    owner, attribute, mutant = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, mutant)
    with pytest.raises(Exception, match=r"assert|violations|Flaky"):
        run_state_machine_as_test(PlacerMachine, settings=MUTANT_SETTINGS)
