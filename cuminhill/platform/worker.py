"""Interface to a worker and its HTTP client."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from ..errors import (
    LeaseHeldError,
    ProtocolError,
    StaleEpochError,
    UnavailableError,
)
from ..model import Resources
from ..util.http import make_http_client

if TYPE_CHECKING:
    from ..model import Request
    from ..util.http import HttpClient

REPLY_SLACK_S = 0.5  # on top of the wait that the worker is asked for


@dataclass(frozen=True, slots=True)
class TaskReport:
    """Task that a worker says is running.

    Parameters
    ----------
    task_id, request_id : str
        Which task.
    need : Resources
        What it was started with.
    run_s : float, seconds
        How long it has run.
    """

    task_id: str
    request_id: str
    need: Resources
    run_s: float


@dataclass(frozen=True, slots=True)
class TaskResult:
    """Task that a worker says has ended.

    Parameters
    ----------
    ok : bool
        Whether it ran to its end.
    detail : str
        Why it did not.
    value : object
        What it returned.
    run_s : float, seconds
        How long it ran.
    remaining_s : float or None, seconds
        Declared run time left after a checkpoint.
    seq : int
        Position among the results of the worker's present life.
    """

    task_id: str
    request_id: str
    ok: bool
    detail: str
    value: Any
    run_s: float
    remaining_s: float | None = None
    seq: int = 0


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """What a worker tells its holder at each renewal.

    Parameters
    ----------
    dropped : bool
        Whether results were dropped before a holder acknowledged them; an
        absent task then proves nothing.
    """

    epoch: int
    incarnation: str
    seq: int
    leaving: bool
    capacity: Resources
    rack: str
    failure_domain: str
    speed: float
    tasks: tuple[TaskReport, ...]
    finished: tuple[TaskResult, ...]
    usage_cores: float
    usage_memory_mb: float
    dropped: bool = False


class Worker(Protocol):
    """One worker of the platform."""

    async def lease(
        self, holder: str, ttl_s: float, seq: int, ack: int, *, timeout_s: float
    ) -> LeaseReply:
        """Acquire or renew the capacity lease; tell results after ``seq``."""

    async def release(self, holder: str, epoch: int, *, timeout_s: float) -> None:
        """Give the capacity lease back."""

    async def start(
        self,
        request: Request,
        task_id: str,
        epoch: int,
        *,
        run_time_s: float,
        wait_s: float,
        timeout_s: float,
    ) -> TaskResult | None:
        """Start a task; return its result if it ends within ``wait_s``."""

    async def control(
        self, task_id: str, verb: str, epoch: int, *, timeout_s: float
    ) -> None:
        """Stop, throttle or checkpoint a task."""


class HttpWorker:
    """Worker behind HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def lease(
        self, holder: str, ttl_s: float, seq: int, ack: int, *, timeout_s: float
    ) -> LeaseReply:
        """Acquire or renew the capacity lease; tell results after ``seq``.

        Parameters
        ----------
        holder : str
            Name of one life of a process.
        ttl_s : float, seconds
            Duration of the grant.
        seq : int
            Last result that this holder knows.
        ack : int
            The worker may forget results up to this one.

        Raises
        ------
        LeaseHeldError
            If another holder has the lease.
        UnavailableError, UnknownOutcomeError
            If the worker cannot be reached or refuses.
        """
        status, value = await self._client.request(
            "POST",
            "/lease",
            {"holder": holder, "ttl_s": ttl_s, "seq": seq, "ack": ack},
            timeout_s=timeout_s,
        )
        if status == 409:
            raise LeaseHeldError(
                value["holder"], value["remaining_s"], peer=self._client.peer
            )
        self._expect(status, {200}, value, "lease")
        return _lease_reply(value, self._client.peer)

    async def release(self, holder: str, epoch: int, *, timeout_s: float) -> None:
        """Give the capacity lease back."""
        status, value = await self._client.request(
            "POST", "/release", {"holder": holder, "epoch": epoch}, timeout_s=timeout_s
        )
        self._expect(status, {200}, value, "release")

    async def start(
        self,
        request: Request,
        task_id: str,
        epoch: int,
        *,
        run_time_s: float,
        wait_s: float,
        timeout_s: float,
    ) -> TaskResult | None:
        """Start a task; return its result if it ends within ``wait_s``.

        Parameters
        ----------
        run_time_s : float, seconds
            Declared run time left; less than the request's after a checkpoint.

        Raises
        ------
        StaleEpochError
            If the worker refused the fencing token; the task did not start.
        UnavailableError
            If the task certainly did not start.
        UnknownOutcomeError
            If it may have started.
        """
        body = {
            "task_id": task_id,
            "request_id": request.request_id,
            "epoch": epoch,
            "need": resources_to_dict(request.need),
            "run_time_s": run_time_s,
            "payload": request.payload,
            "wait_s": wait_s,
        }
        status, value = await self._client.request(
            "POST", "/tasks", body, timeout_s=max(timeout_s, wait_s + REPLY_SLACK_S)
        )
        if status == 409:
            raise StaleEpochError(
                "fencing token refused", step="start", peer=self._client.peer
            )
        self._expect(status, {200, 202}, value, "start")
        return _task_result(value) if status == 200 else None

    async def control(
        self, task_id: str, verb: str, epoch: int, *, timeout_s: float
    ) -> None:
        """Stop, throttle or checkpoint a task; an unknown task is no error."""
        status, value = await self._client.request(
            "POST", f"/tasks/{task_id}/{verb}", {"epoch": epoch}, timeout_s=timeout_s
        )
        if status == 409:
            raise StaleEpochError(
                "fencing token refused", step=verb, peer=self._client.peer
            )
        self._expect(status, {200, 404}, value, verb)

    def _expect(self, status: int, wanted: set[int], value: Any, step: str) -> None:
        if status not in wanted:
            raise UnavailableError(
                f"status {status}: {value}", step=step, peer=self._client.peer
            )


def resources_to_dict(value: Resources) -> dict[str, float]:
    """Return the JSON-ready form of a resource vector."""
    return {
        "cores": value.cores,
        "memory_mb": value.memory_mb,
        "accelerators": value.accelerators,
        "slots": value.slots,
        "connections": value.connections,
    }


def _task_result(value: dict[str, Any]) -> TaskResult:
    return TaskResult(
        value["task_id"],
        value["request_id"],
        value["ok"],
        value["detail"],
        value["value"],
        value["run_s"],
        value.get("remaining_s"),
        value["seq"],
    )


def _lease_reply(value: dict[str, Any], peer: str) -> LeaseReply:
    try:
        return LeaseReply(
            epoch=value["epoch"],
            incarnation=value["incarnation"],
            seq=value["seq"],
            leaving=value["leaving"],
            capacity=Resources(**value["capacity"]),
            rack=value["rack"],
            failure_domain=value["failure_domain"],
            speed=value["speed"],
            tasks=tuple(
                TaskReport(
                    item["task_id"],
                    item["request_id"],
                    Resources(**item["need"]),
                    item["run_s"],
                )
                for item in value["tasks"]
            ),
            finished=tuple(_task_result(item) for item in value["finished"]),
            usage_cores=value["usage"]["cores"],
            usage_memory_mb=value["usage"]["memory_mb"],
            dropped=value.get("dropped", False),
        )
    except (KeyError, TypeError) as exc:
        raise ProtocolError(repr(exc), step="lease", peer=peer) from exc


def make_worker(address: str, source_host: str = "") -> HttpWorker:
    """Return a client of the worker at ``"host:port"``."""
    return HttpWorker(make_http_client(address, 64, source_host=source_host))
