"""Interface to a worker and its HTTP client."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from ..coordination.fieldcheck import check_fields
from ..errors import (
    LeaseHeldError,
    ProtocolError,
    StaleEpochError,
    UnavailableError,
    UnknownOutcomeError,
)
from ..model import Resources
from ..util.http import make_http_client
from ..util.validation import brief

if TYPE_CHECKING:
    from ..model import Request
    from ..util.http import HttpClient

REPLY_SLACK_S = 0.5  # added to the wait requested from the worker


@dataclass(frozen=True, slots=True)
class TaskReport:
    """Task that a worker reports as running.

    Parameters
    ----------
    task_id, request_id : str
        Ids of the task and of its request.
    need : Resources
        Resources it was started with.
    run_s : float, seconds
        Time it has run so far.
    """

    task_id: str
    request_id: str
    need: Resources
    run_s: float


@dataclass(frozen=True, slots=True)
class TaskResult:
    """Task that a worker reports as ended.

    Parameters
    ----------
    ok : bool
        Whether it succeeded.
    detail : str
        Reason for the failure.
    value : object
        Return value.
    run_s : float, seconds
        Time it ran.
    remaining_s : float or None, seconds
        Declared run time left after a checkpoint.
    seq : int
        Sequence number among the results of the worker's current incarnation.
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
    """A worker's reply to an acquisition or renewal of its capacity lease.

    Parameters
    ----------
    dropped : bool
        Whether results were dropped before a holder acknowledged them; a task
        absent from the lists may then have run.
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
    """Client interface of one worker."""

    async def lease(
        self,
        holder: str,
        ttl_s: float,
        seq: int,
        ack: int,
        *,
        extend_tasks: bool,
        timeout_s: float,
    ) -> LeaseReply:
        """Acquire or renew the capacity lease and get the results after ``seq``."""

    async def release(self, holder: str, epoch: int, *, timeout_s: float) -> None:
        """Release the capacity lease."""

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
    """HTTP client of a worker."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def lease(
        self,
        holder: str,
        ttl_s: float,
        seq: int,
        ack: int,
        *,
        extend_tasks: bool,
        timeout_s: float,
    ) -> LeaseReply:
        """Acquire or renew the capacity lease and get the results after ``seq``.

        Parameters
        ----------
        holder : str
            Identifies one incarnation of a process.
        ttl_s : float, seconds
            Requested duration of the lease.
        seq : int
            Sequence number of the last result that this holder has.
        ack : int
            Sequence number up to which the worker may discard results.
        extend_tasks : bool
            Whether to renew the leases of the running tasks too.

        Raises
        ------
        LeaseHeldError
            If another holder has the lease.
        UnavailableError, UnknownOutcomeError
            If the worker cannot be reached or rejects the call.
        """
        status, value = await self._client.request(
            "POST",
            "/lease",
            {
                "holder": holder,
                "ttl_s": ttl_s,
                "seq": seq,
                "ack": ack,
                "extend_tasks": extend_tasks,
            },
            timeout_s=timeout_s,
        )
        if status == 409:
            holder, remaining_s = _holder(value, self._client.peer)
            raise LeaseHeldError(holder, remaining_s, peer=self._client.peer)
        self._expect(status, {200}, value, "lease")
        return _lease_reply(value, self._client.peer)

    async def release(self, holder: str, epoch: int, *, timeout_s: float) -> None:
        """Release the capacity lease."""
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
            Remaining declared run time; after a checkpoint it is shorter than the
            request's.

        Raises
        ------
        StaleEpochError
            If the worker rejected the fencing token; the task did not start.
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
                "fencing token rejected", step="start", peer=self._client.peer
            )
        self._expect(status, {200, 202}, value, "start")
        if status != 200:
            return None
        try:
            return _task_result(value)
        except (AttributeError, KeyError, TypeError) as exc:
            raise UnknownOutcomeError(
                brief(exc), step="start", peer=self._client.peer
            ) from exc

    async def control(
        self, task_id: str, verb: str, epoch: int, *, timeout_s: float
    ) -> None:
        """Stop, throttle or checkpoint a task; an unknown task is not an error."""
        status, value = await self._client.request(
            "POST", f"/tasks/{task_id}/{verb}", {"epoch": epoch}, timeout_s=timeout_s
        )
        if status == 409:
            raise StaleEpochError(
                "fencing token rejected", step=verb, peer=self._client.peer
            )
        self._expect(status, {200, 404}, value, verb)

    def _expect(self, status: int, wanted: set[int], value: Any, step: str) -> None:
        if status not in wanted:
            raise UnavailableError(
                f"status {status}: {brief(value)}", step=step, peer=self._client.peer
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


def _holder(value: Any, peer: str) -> tuple[str, float]:
    """Return who holds a lease that was refused, and for how long."""
    try:
        return str(value["holder"]), float(value["remaining_s"])
    except (KeyError, TypeError, ValueError) as exc:
        raise ProtocolError(brief(exc), step="lease", peer=peer) from exc


def _task_result(value: dict[str, Any]) -> TaskResult:
    result = TaskResult(
        value["task_id"],
        value["request_id"],
        value["ok"],
        value["detail"],
        value["value"],
        value["run_s"],
        value.get("remaining_s"),
        value["seq"],
    )
    check_fields(result)
    return result


def _resources(value: dict[str, float]) -> Resources:
    resources = Resources(**value)
    check_fields(resources)
    return resources


def _task_report(item: dict[str, Any]) -> TaskReport:
    report = TaskReport(
        item["task_id"], item["request_id"], _resources(item["need"]), item["run_s"]
    )
    check_fields(report)
    return report


def _lease_reply(value: dict[str, Any], peer: str) -> LeaseReply:
    try:
        reply = LeaseReply(
            epoch=value["epoch"],
            incarnation=value["incarnation"],
            seq=value["seq"],
            leaving=value["leaving"],
            capacity=_resources(value["capacity"]),
            rack=value["rack"],
            failure_domain=value["failure_domain"],
            speed=value["speed"],
            tasks=tuple(_task_report(item) for item in value["tasks"]),
            finished=tuple(_task_result(item) for item in value["finished"]),
            usage_cores=value["usage"]["cores"],
            usage_memory_mb=value["usage"]["memory_mb"],
            dropped=value.get("dropped", False),
        )
        check_fields(reply)
    except (AttributeError, KeyError, TypeError) as exc:
        raise ProtocolError(brief(exc), step="lease", peer=peer) from exc
    return reply


def make_worker(address: str, source_host: str = "") -> HttpWorker:
    """Return a client of the worker at ``"host:port"``."""
    return HttpWorker(make_http_client(address, 64, source_host=source_host))
