"""Simulated workers, log and calls in flight around a placer, with faults."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cuminhill.coordination.claims import Started
from cuminhill.model import NO_RESOURCES, Request, RequestKind, Resources
from cuminhill.platform.worker import LeaseReply, TaskReport, TaskResult
from cuminhill.scheduling.events import (
    CancelRequested,
    ControlTask,
    FenceWorker,
    Finish,
    RecordStart,
    RequestAccepted,
    RequestEnded,
    RosterComplete,
    StartOutcome,
    StartRecorded,
    StartReplied,
    StartTask,
    TaskEnded,
    Tick,
    WorkerReported,
    WorkerStopped,
    WorkerUnreachable,
)
from cuminhill.scheduling.placer import make_placer

CAPACITY = Resources(4, 4096, 0, 4, 16)


@dataclass
class FakeWorker:
    """Runs every task that it is sent, without a check of its own capacity."""

    name: str
    epoch: int = 1
    incarnation: int = 0
    lapsed: bool = False
    fence: bool = False
    has_reported: bool = False
    running: dict = field(default_factory=dict)
    finished: list = field(default_factory=list)
    seq: int = 0

    def end(self, task_id, ok, detail="", remaining_s=None):
        request = self.running.pop(task_id)
        self.seq += 1
        result = TaskResult(
            task_id, request.request_id, ok, detail, None, 0.1, remaining_s, self.seq
        )
        self.finished.append(result)
        return result

    def reply(self):
        return LeaseReply(
            epoch=self.epoch,
            incarnation=str(self.incarnation),
            seq=self.seq,
            leaving=False,
            capacity=CAPACITY,
            rack=self.name,
            failure_domain="d",
            speed=1.0,
            tasks=tuple(
                TaskReport(task_id, request.request_id, request.need, 0.0)
                for task_id, request in self.running.items()
            ),
            finished=tuple(self.finished),
            usage_cores=0.0,
            usage_memory_mb=0.0,
        )


class Simulation:
    """Environment of a placer; ``violations`` lists the guarantees that broke."""

    def __init__(self, n_workers=3):
        self.now = 100.0
        self.workers = {f"w{i}": FakeWorker(f"w{i}") for i in range(n_workers)}
        self.requests = {}
        self.cancelled = set()
        self.started = {}  # task id: (Started, offset) of the valid record
        self.done = {}
        self.n_answers = Counter()
        self.n_runs = Counter()
        self.violations = []
        self.offset = 0
        self.calls, self.late_calls, self.replies = [], [], []
        self.controls, self.records, self.endings, self.old_reports = [], [], [], []
        self.placer = make_placer("s")
        self.roster_sent = True
        for worker in self.workers.values():
            self.report(worker)
        self.send(RosterComplete(frozenset(self.workers)))

    # The placer

    def send(self, event, step_s=0.001):
        self.now += step_s
        actions = self.placer.handle(event, self.now, self.now)
        self.check_gangs(actions)
        for action in actions:
            self.execute(action)
        free = NO_RESOURCES
        for worker in self.placer.workers.values():
            free = free + worker.free if worker.usable else free
            if not worker.used.fits(worker.capacity):
                self.violations.append(f"{worker.worker_id} is counted beyond capacity")

        if free != self.placer.free():
            self.violations.append("the sum of free resources is wrong")

    def execute(self, action):
        if isinstance(action, StartTask):
            self.calls.append(action)
        elif isinstance(action, RecordStart):
            self.records.append((self.placer, action))
        elif isinstance(action, ControlTask):
            self.controls.append(action)
        elif isinstance(action, FenceWorker):
            self.workers[action.worker_id].fence = True
        elif isinstance(action, Finish):
            request_id = action.request.request_id
            self.n_answers[id(self.placer), request_id] += 1
            if self.n_answers[id(self.placer), request_id] > 1:
                self.violations.append(f"{request_id} is answered twice")
            self.done.setdefault(request_id, action.answer)
            self.endings.append(request_id)
            if action.answer.state == "not_run" and self.ran(request_id):
                self.violations.append(f"{request_id} ran but is answered not run")

    def check_gangs(self, actions):
        started = Counter(
            action.request.request_id
            for action in actions
            if isinstance(action, StartTask) and action.request.kind == "gang"
        )
        for request_id, n_started in started.items():
            state = self.placer.requests[request_id]
            n_wanted = sum(task.phase != "ended" for task in state.tasks)
            if n_started != n_wanted:
                self.violations.append(f"{n_started} of {n_wanted} of {request_id}")

    def ran(self, request_id):
        return any(
            self.n_runs[task_id]
            for task_id in self.n_runs
            if task_id.startswith(f"{request_id}/")
        )

    # Requests

    def submit(self, kind, cores, n_tasks, deadline_s=None):
        deadline = float("inf") if deadline_s is None else self.now + deadline_s
        request = Request(
            f"{kind}{len(self.requests)}",
            RequestKind(kind),
            "t",
            Resources(cores, 256, 0, 1, 1),
            n_tasks,
            deadline=deadline,
            run_time_s=2.0,
        )
        if self.placer.refusal(request, self.now) is None:
            self.requests[request.request_id] = request
            self.send(RequestAccepted(request))

    def cancel(self, request_id):
        if request_id not in self.done:
            self.cancelled.add(request_id)
            self.send(CancelRequested(request_id))

    def end_request(self, request_id):
        self.endings.remove(request_id)
        self.send(RequestEnded(request_id))

    # Calls

    def arrive(self, call):
        """Deliver a start call to its worker; return the outcome."""
        worker = self.workers[call.worker_id]
        if worker.lapsed or call.epoch != worker.epoch:
            return StartOutcome.REFUSED
        others = [w for w in self.workers.values() if call.task_id in w.running]
        if others and call.request.kind != "check":
            self.violations.append(f"{call.task_id} runs twice at a time")
        if worker in others:
            self.violations.append(f"{call.task_id} is started twice on a worker")
        if call.request.request_id in self.done:
            answer = self.done[call.request.request_id]
            if answer.state == "not_run":
                self.violations.append(f"{call.task_id} runs after not run")
        self.n_runs[call.task_id] += 1
        if call.request.kind == "order" and self.n_runs[call.task_id] > 1:
            self.violations.append(f"{call.task_id} of an order runs again")
        worker.running[call.task_id] = call.request
        used = NO_RESOURCES
        for request in worker.running.values():
            used = used + request.need
        if not used.fits(CAPACITY):
            self.violations.append(f"{worker.name} is overcommitted")
        return StartOutcome.RUNNING

    def start(self, call, outcome="reply"):
        """Deliver a start call; its reply arrives, is late, or is lost."""
        self.calls.remove(call)
        if outcome == "slow":  # the caller times out first; the call is still in flight
            self.late_calls.append(call)
            said = StartOutcome.UNKNOWN
        else:
            said = self.arrive(call)
        if outcome == "lost":
            said = StartOutcome.UNKNOWN
        reply = StartReplied(
            call.task_id, call.worker_id, said, call.epoch, call.number
        )
        if outcome == "late":
            self.replies.append(reply)
        else:
            self.send(reply)

    def arrive_late(self, call):
        self.late_calls.remove(call)
        self.arrive(call)

    def control(self, action, lost=False):
        self.controls.remove(action)
        worker = self.workers[action.worker_id]
        stale = worker.lapsed or worker.epoch != action.epoch
        if lost or stale or action.task_id not in worker.running:
            return
        if action.verb != "throttle":
            left_s = 1.0 if action.verb == "checkpoint" else None
            worker.end(action.task_id, ok=False, detail=action.verb, remaining_s=left_s)

    def record(self, entry, repeat=False):
        """Append a started record to the log and notify the placer."""
        if not repeat:
            self.records.remove(entry)
        placer, action = entry
        request_id, task_id = action.request.request_id, action.task_id
        record = Started(
            request_id,
            task_id,
            action.worker_id,
            action.epoch,
            action.incarnation,
            str(id(placer)),
            action.prior,
        )
        void = request_id in self.done or request_id in self.cancelled
        _, prior = self.started.get(task_id, (None, -1))
        self.offset += 1
        if not void and prior == action.prior and not repeat:
            self.started[task_id] = (record, self.offset)
        counts, offset = self.started.get(task_id, (None, -1))
        if placer is self.placer:
            valid = counts == record
            other = None if valid else counts
            self.send(StartRecorded(task_id, request_id, valid, offset, other))

    # Workers

    def report(self, worker, fence=True):
        """Renew the lease; a renewal already in flight does not apply a fence."""
        if worker.lapsed or (worker.fence and fence):
            worker.epoch += 1
            worker.fence = False
        worker.lapsed = False
        worker.has_reported = True
        self.send(WorkerReported(worker.name, worker.reply(), self.now))
        if not self.roster_sent and all(w.has_reported for w in self.workers.values()):
            self.roster_sent = True
            self.send(RosterComplete(frozenset(self.workers)))

    def delay_report(self, worker):
        if not worker.lapsed:
            self.old_reports.append(
                WorkerReported(worker.name, worker.reply(), self.now)
            )

    def lapse(self, worker):
        worker.lapsed = True
        self.send(WorkerUnreachable(worker.name))

    def stop_tasks(self, worker):
        """Let the task leases of a lapsed worker expire."""
        for task_id in list(worker.running):
            worker.end(task_id, ok=False, detail="task lease lapsed")
        self.send(WorkerStopped(worker.name))

    def restart(self, worker):
        worker.running, worker.finished, worker.seq = {}, [], 0
        worker.incarnation += 1
        worker.epoch += 1
        self.report(worker)

    def end_task(self, worker, task_id, ok, notify):
        result = worker.end(task_id, ok)
        if notify and worker.name in self.placer.workers and not worker.lapsed:
            self.send(TaskEnded(worker.name, result))

    def fail_over(self):
        """Replace the placer by a new one that recovers from the log."""
        self.placer = make_placer("s")
        self.roster_sent = False
        self.controls, self.replies, self.endings, self.old_reports = [], [], [], []
        self.late_calls += self.calls
        self.calls = []
        for worker in self.workers.values():
            worker.lapsed, worker.has_reported = True, False
        for request_id, request in self.requests.items():
            if request_id in self.done or request.kind == "check":
                self.done.setdefault(request_id, None)
                continue
            records = {
                task_id: entry
                for task_id, entry in self.started.items()
                if entry[0].request_id == request_id
            }
            self.send(
                RequestAccepted(
                    request,
                    {key: entry[0] for key, entry in records.items()},
                    {key: entry[1] for key, entry in records.items()},
                    True,
                )
            )
            if request_id in self.cancelled:
                self.send(CancelRequested(request_id))

    # Completion

    def settle(self, n_rounds=150):
        """Stop all faults and run until every request has its answer."""
        for request_id, request in self.requests.items():
            if request.kind == "service":
                self.cancel(request_id)
        self.controls.clear()  # the last fault: loses these calls
        for _ in range(n_rounds):
            self.deliver_all()
            for worker in self.workers.values():
                for task_id in list(worker.running):
                    if worker.running[task_id].kind != "service":
                        worker.end(task_id, ok=True)
                self.report(worker)
            self.send(Tick(), 0.5)
            if len(self.done) == len(self.requests) and not self.endings:
                break
        for request_id in self.requests:
            if request_id not in self.done:
                self.violations.append(f"{request_id} has no answer")

    def deliver_all(self):
        """Deliver everything that is in flight."""
        for call in list(self.calls):
            self.start(call)
        for call in list(self.late_calls):
            self.arrive_late(call)
        for reply in list(self.replies):
            self.replies.remove(reply)
            self.send(reply)
        for entry in list(self.records):
            self.record(entry)
        for action in list(self.controls):
            self.control(action)
        for request_id in list(self.endings):
            self.end_request(request_id)
