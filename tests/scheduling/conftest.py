"""Helpers that drive a placer with individual events."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from cuminhill.model import Request, RequestKind, Resources
from cuminhill.platform.worker import LeaseReply, TaskReport, TaskResult
from cuminhill.scheduling.events import (
    ControlTask,
    Finish,
    RequestAccepted,
    StartOutcome,
    StartReplied,
    StartTask,
    TaskEnded,
    Tick,
    WorkerReported,
)
from cuminhill.scheduling.placer import make_placer

CAPACITY = Resources(16, 64_000, 0, 8, 64)


class Harness:
    """A placer, its clock and all actions that it has returned."""

    def __init__(self):
        self.placer = make_placer("Tainan/0")
        self.now = 100.0
        self.actions = []
        self.numbers = itertools.count()
        self.seqs = {}

    def send(self, event, step_s=0.01):
        self.now += step_s
        given = self.placer.handle(event, self.now, self.now)
        self.actions += given
        return given

    def tick(self, step_s=0.01):
        return self.send(Tick(), step_s)

    def run(self, seconds):
        given = []
        for _ in range(round(seconds * 10)):
            given += self.tick(0.1)
        return given

    def report(self, worker_id, tasks=(), finished=(), **fields):
        """Send a lease reply; ``tasks`` are (task id, need) pairs."""
        sent_at = fields.pop("sent_at", self.now + 0.005)
        seq = max([self.seqs.get(worker_id, 0), *(r.seq for r in finished)])
        self.seqs[worker_id] = seq
        reply = LeaseReply(
            epoch=1,
            incarnation="i0",
            seq=seq,
            leaving=False,
            capacity=CAPACITY,
            rack="r0",
            failure_domain="Tainan",
            speed=1.0,
            tasks=tuple(
                TaskReport(task_id, task_id.split("/")[0], need, 0.0)
                for task_id, need in tasks
            ),
            finished=tuple(finished),
            usage_cores=0.0,
            usage_memory_mb=0.0,
        )
        return self.send(WorkerReported(worker_id, replace(reply, **fields), sent_at))

    def request(self, kind, *, cores=1.0, **fields):
        fields.setdefault("request_id", f"{kind}{next(self.numbers)}")
        fields.setdefault("team", "t")
        fields.setdefault("need", Resources(cores, 256, 0, 1, 1))
        return Request(kind=RequestKind(kind), **fields)

    def accept(self, kind, *, inherited=False, started=None, offsets=None, **fields):
        request = self.request(kind, **fields)
        return request, self.send(
            RequestAccepted(request, started or {}, offsets or {}, inherited)
        )

    def running(self, action):
        return self.send(
            StartReplied(action.task_id, action.worker_id, StartOutcome.RUNNING)
        )

    def end(self, action, ok=True, **fields):
        seq = self.seqs.get(action.worker_id, 0) + 1
        self.seqs[action.worker_id] = seq
        result = TaskResult(
            action.task_id, action.request.request_id, ok, "", None, 0.1, seq=seq
        )
        result = replace(result, **fields)
        return result, self.send(TaskEnded(action.worker_id, result))

    def start_batch(self, **fields):
        """Accept a batch request and confirm all of its starts."""
        request, given = self.accept("batch", **fields)
        given = starts(given)
        for action in given:
            self.running(action)
        return request, given


def starts(actions):
    return [action for action in actions if isinstance(action, StartTask)]


def finishes(actions):
    return [action.answer for action in actions if isinstance(action, Finish)]


def controls(actions, verb="stop"):
    return [a for a in actions if isinstance(a, ControlTask) and a.verb == verb]


@pytest.fixture
def harness():
    return Harness()
