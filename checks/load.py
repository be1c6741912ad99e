"""Concurrent callers that submit, repeat, cancel and look up requests."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .history import Call

if TYPE_CHECKING:
    from standins.processes import ProcessCluster

CONNECT_TIMEOUT_S = 1.0
MEAN_PAUSE_S = 0.05  # between two calls of one caller
MAX_SERVICES = 4
N_RECENT = 40  # newest requests, which repeats, look-ups and cancellations draw from
KINDS = ["check"] * 9 + ["order"] * 6 + ["batch"] * 3 + ["gang"] * 2 + ["service"]
OPS = ["submit"] * 14 + ["repeat"] * 3 + ["lookup"] * 2 + ["cancel"]


@dataclass(slots=True)
class RequestSpec:
    """A request that may be submitted more than once.

    Parameters
    ----------
    body : dict
        Body of the submission; repeats have the same ``issued_at``.
    """

    request_id: str
    kind: str
    body: dict[str, Any]
    n_tasks: int = 1


class Connection:
    """HTTP connection of one caller to one VM, reopened after errors."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._conn: http.client.HTTPConnection | None = None

    def send(
        self, call: Call, method: str, path: str, value: Any, timeout_s: float
    ) -> Any:
        """Send one call and record its outcome; return the decoded body."""
        call.invoked_at = time.monotonic()
        conn = self._conn
        if conn is None:
            host, _, port = self.address.rpartition(":")
            conn = http.client.HTTPConnection(host, int(port), CONNECT_TIMEOUT_S)
            try:
                conn.connect()
            except OSError:
                call.error = "refused"
                return None
        assert conn.sock is not None
        conn.sock.settimeout(timeout_s)
        self._conn = None
        try:
            conn.request(method, path, None if value is None else json.dumps(value))
            response = conn.getresponse()
            data = response.read()
        except TimeoutError:
            call.error = "timeout"
            conn.close()
            return None
        except (OSError, http.client.HTTPException):
            call.error = "closed"
            conn.close()
            return None
        call.answered_at = time.monotonic()
        call.status = response.status
        if not response.will_close:
            self._conn = conn
        return json.loads(data)

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()


@dataclass(eq=False)
class Load:
    """Concurrent callers of one run.

    Parameters
    ----------
    cluster : ProcessCluster
        Cluster to which requests are submitted.
    prefix : str
        Prefix of every request id.
    seed : int
        Seed of all random choices.
    vms : list of str
        Entry VMs that callers choose from; empty for all.
    """

    cluster: ProcessCluster
    prefix: str
    seed: int
    n_callers: int = 6
    vms: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=lambda: KINDS)
    calls: list[Call] = field(default_factory=list)
    specs: list[RequestSpec] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)
    _n_services: int = 0

    def start(self) -> None:
        """Start the callers."""
        self.vms = self.vms or sorted(self.cluster.daemons)
        for index in range(self.n_callers):
            thread = threading.Thread(target=self._run, args=(index,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self, timeout_s: float = 20.0) -> None:
        """Stop the callers after their current calls."""
        self._stopped.set()
        give_up_at = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, give_up_at - time.monotonic()))

    def submit(
        self, spec: RequestSpec, vm: str, *, wait_s: float = 2.0, caller: str = "main"
    ) -> Call:
        """Submit a request once through one VM and record it."""
        conn = self._connection(vm)
        return self._submit(
            caller, spec, conn, vm=vm, wait_s=wait_s, max_wait_s=wait_s + 6.0
        )

    def submit_later(self, spec: RequestSpec, vm: str, *, wait_s: float = 5.0) -> None:
        """Submit a request in a new thread."""
        thread = threading.Thread(
            target=lambda: self.submit(spec, vm, wait_s=wait_s), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def look_up(self, request_id: str, vm: str, wait_s: float, sweep: bool) -> Call:
        """Look a request up through one VM and record it."""
        conn = self._connection(vm)
        return self._look_up(
            "main", request_id, conn, vm=vm, wait_s=wait_s, sweep=sweep
        )

    def make_spec(self, kind: str, request_id: str, rng: random.Random) -> RequestSpec:
        """Return a new request of a kind with random parameters."""
        n_tasks = rng.randint(2, 5) if kind in {"batch", "gang"} else 1
        body: dict[str, Any] = {
            "request_id": request_id,
            "kind": kind,
            "n_tasks": n_tasks,
            "need": {"cores": rng.choice([1, 2, 4])},
            "run_time_s": 3600.0 if kind == "service" else rng.uniform(0.01, 0.2),
            "payload": {"echo": f"echo of {request_id}"},
        }
        if kind == "order":
            body["issued_at"] = time.time()
            body["deadline_s"] = rng.choice([1.5, 3.0, 8.0])
        return RequestSpec(request_id, kind, body, n_tasks)

    def _run(self, index: int) -> None:
        rng = random.Random(f"{self.seed} {self.prefix} {index}")
        caller = f"c{index}"
        conns = {vm: self._connection(vm) for vm in self.vms}
        count = 0
        while not self._stopped.is_set():
            vm = rng.choice(self.vms)
            op = rng.choice(OPS)
            spec = rng.choice(self.specs[-N_RECENT:]) if self.specs else None
            if op == "submit" or spec is None:
                count += 1
                kind = self._choose_kind(rng)
                request_id = f"{self.prefix}-{caller}-{count}"
                spec = self.make_spec(kind, request_id, rng)
                self.specs.append(spec)
                op = "repeat"
            wait_s = rng.choice([0.0, 0.5, 2.0])
            if op == "repeat":
                # One submission in ten times out early and is abandoned in progress.
                max_wait_s = rng.choice([0.3, *[wait_s + 8.0] * 9])
                self._submit(
                    caller, spec, conns[vm], vm=vm, wait_s=wait_s, max_wait_s=max_wait_s
                )
            elif op == "lookup":
                self._look_up(
                    caller,
                    spec.request_id,
                    conns[vm],
                    vm=vm,
                    wait_s=wait_s,
                    sweep=False,
                )
            else:
                self._cancel(caller, spec, conns[vm], vm)
            self._stopped.wait(rng.uniform(0, 2 * MEAN_PAUSE_S))
        for conn in conns.values():
            conn.close()

    def _choose_kind(self, rng: random.Random) -> str:
        kind = rng.choice(self.kinds)
        if kind == "service":
            self._n_services += 1
            if self._n_services > MAX_SERVICES:
                return "check"
        return kind

    def _connection(self, vm: str) -> Connection:
        return Connection(self.cluster.daemons[vm].http_address)

    def _submit(
        self,
        caller: str,
        spec: RequestSpec,
        conn: Connection,
        *,
        vm: str,
        wait_s: float,
        max_wait_s: float,
    ) -> Call:
        call = Call(caller, "submit", spec.request_id, spec.kind, vm, time.monotonic())
        call.n_tasks, call.echo = spec.n_tasks, spec.body["payload"]["echo"]
        self.calls.append(call)
        path = f"/v1/requests?wait_s={wait_s}"
        call.answer = conn.send(call, "POST", path, spec.body, max_wait_s)
        return call

    def _look_up(
        self,
        caller: str,
        request_id: str,
        conn: Connection,
        *,
        vm: str,
        wait_s: float,
        sweep: bool,
    ) -> Call:
        call = Call(caller, "lookup", request_id, "", vm, time.monotonic(), sweep=sweep)
        self.calls.append(call)
        path = f"/v1/requests/{request_id}?wait_s={wait_s}"
        call.answer = conn.send(call, "GET", path, None, wait_s + 5.0)
        return call

    def _cancel(
        self, caller: str, spec: RequestSpec, conn: Connection, vm: str
    ) -> Call:
        call = Call(caller, "cancel", spec.request_id, spec.kind, vm, time.monotonic())
        self.calls.append(call)
        path = f"/v1/requests/{spec.request_id}"
        call.answer = conn.send(call, "DELETE", path, None, 5.0)
        return call

    def cancel(self, spec: RequestSpec, vm: str) -> Call:
        """Cancel a request through one VM and record it."""
        return self._cancel("main", spec, self._connection(vm), vm)
