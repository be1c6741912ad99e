"""Clients of the workers and of the placement advice on the users' platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..errors import (
    FencedError,
    OtherIncarnationError,
    OverloadedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ..jobs.model import StartReply, StartResult
from ..util.http_client import make_http_client
from ..util.validation import brief
from .wire import (
    decode_clock,
    decode_incarnation,
    decode_report,
    decode_tickets,
    encode_task_name,
)

if TYPE_CHECKING:
    from ..jobs.model import StartOrder, TaskKey, WorkerReport
    from ..util.http_client import HttpClient

# Idle connections to each worker: one for renewals, one for starts and stops.
MAX_IDLE_PER_WORKER = 2
CONNECT_TIMEOUT_S = 0.5
REPLY_SLACK_S = 0.6  # added to the wait requested from the worker
# Time for which the advice service takes no further call after it has refused one for
# the number that waits; it does not tell how long those take.
FULL_QUEUE_S = 1.0
INCARNATION_HEADER = "X-Cuminhill-Expect-Instance"

_REFUSALS = {
    "fence": StartResult.FENCED,
    "old": StartResult.SUPERSEDED,
    "late": StartResult.TOO_LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.BAD_TICKET,
}


@dataclass(eq=False)
class PlatformWorkerClient:
    """Client of the workers; implements `jobs.leadership.WorkerCalls`."""

    source_host: str = ""
    _clients: dict[str, HttpClient] = field(default_factory=dict)

    def _client(self, address: str) -> HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = make_http_client(
                address,
                MAX_IDLE_PER_WORKER,
                CONNECT_TIMEOUT_S,
                source_host=self.source_host,
            )
        return client

    async def renew(
        self,
        worker_id: str,
        address: str,
        fencing_token: int,
        *,
        last_acked_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> WorkerReport:
        """Extend the leases on a worker and return its lists of runs.

        Parameters
        ----------
        last_acked_end : int
            Sequence number up to which the worker may discard ends.
        lease_until_ms : int or None, milliseconds
            New expiry on the worker's clock; None leaves the leases unchanged.
        wait_s : float, seconds
            How long the worker may delay its reply until a run ends.

        Raises
        ------
        FencedError
            If the worker has seen a higher token.
        OtherIncarnationError
            If another worker answers at the address.
        UnavailableError, UnknownOutcomeError, ProtocolError
            If there is no valid reply.
        """
        body: dict[str, Any] = {
            "fence_token": fencing_token,
            "ack_cursor": last_acked_end,
        }
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        status, value = await self._client(address).request(
            "POST",
            "/-/hold",
            body,
            timeout_s=wait_s + REPLY_SLACK_S,
            headers=[(INCARNATION_HEADER, worker_id)],
        )
        if status == 200:
            return decode_report(value, address)
        if status == 409:
            raise FencedError(brief(value), step="hold", peer=worker_id)
        if status == 421:
            raise OtherIncarnationError(
                "another worker at the address", step="hold", peer=worker_id
            )
        raise UnavailableError(f"status {status}", step="hold", peer=worker_id)

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        body: dict[str, Any] = {
            "task": encode_task_name(order.key),
            "run": order.run,
            "spec": order.payload,
            "deadline_ms": order.lease_until_ms,
            "fence_token": order.fencing_token,
        }
        if order.checkpoint:
            body["last_checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        try:
            status, value = await self._client(order.address).request(
                "POST",
                "/-/run-start",
                body,
                timeout_s=timeout_s,
                headers=[(INCARNATION_HEADER, order.worker_id)],
            )
        except UnavailableError:
            return StartReply(StartResult.UNHEALTHY)  # the call was not sent
        except UnknownOutcomeError:
            return StartReply(StartResult.UNKNOWN)
        reason = value.get("reason") if isinstance(value, dict) else None
        result = _start_result(status, str(reason))
        return StartReply(result, decode_clock(value), decode_incarnation(value))

    async def stop(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        *,
        fencing_token: int,
        timeout_s: float,
    ) -> None:
        """Ask a worker to stop a run; a later report lists its end.

        Raises
        ------
        UnavailableError, UnknownOutcomeError
            If the call may have had no effect; it can be repeated.
        """
        body = {"task": encode_task_name(key), "run": run, "fence_token": fencing_token}
        status, _ = await self._client(address).request(
            "POST",
            "/-/run-stop",
            body,
            timeout_s=timeout_s,
            headers=[(INCARNATION_HEADER, worker_id)],
        )
        if status != 200:
            raise UnavailableError(f"status {status}", step="stop", peer=worker_id)

    async def disconnect(self, address: str) -> None:
        """Close the connections to a worker that is no longer used."""
        client = self._clients.pop(address, None)
        if client is not None:
            await client.close()


def _start_result(status: int, reason: str) -> StartResult:
    if status == 200:
        return StartResult.STARTED
    if status == 409:
        return _REFUSALS.get(reason, StartResult.INVALID)
    if status == 421:
        return StartResult.OTHER_INCARNATION
    if status in {429, 503}:
        return StartResult.UNHEALTHY
    return StartResult.INVALID if status == 400 else StartResult.UNKNOWN


@dataclass(eq=False)
class PlatformAdviceClient:
    """Client of the placement advice; implements `jobs.advicequeue.AdviceService`."""

    client: HttpClient

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> list[tuple[str, str]]:
        """Return the workers that may run a step and the ticket for each.

        Raises
        ------
        UnavailableError, UnknownOutcomeError, ProtocolError
            If there is no valid reply; the call can be repeated.
        """
        status, value = await self.client.request(
            "POST",
            "/-/advise",
            {"step": step, "workers": workers},
            timeout_s=timeout_s,
        )
        if status == 429:
            raise OverloadedError(
                f"status {status}",
                step="advise",
                peer=self.client.peer,
                backlog_s=FULL_QUEUE_S,
            )
        if status != 200:
            raise UnavailableError(
                f"status {status}", step="advise", peer=self.client.peer
            )
        rows = value.get("good") if isinstance(value, dict) else None
        return decode_tickets(rows, self.client.peer)


def make_advice_client(address: str, source_host: str = "") -> PlatformAdviceClient:
    """Return a client of the placement advice at ``"host:port"``."""
    return PlatformAdviceClient(
        make_http_client(address, 4, CONNECT_TIMEOUT_S, source_host=source_host)
    )
